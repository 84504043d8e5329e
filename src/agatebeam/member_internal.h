#ifndef AGB_MEMBER_INTERNAL_H
#define AGB_MEMBER_INTERNAL_H

/**
 * DOC: member_internal
 *
 * State shared by the files of the member module: what is known of the other
 * instances (member.c) and how it is told to operators (member_status.c).
 */

#include <uthash.h>

#include "member.h"

/* Age at which a member is no longer reported. */
#define MEMBER_MAX_AGE (30 * AGB_SEC)

/* An entry instance, from the list or from its own heartbeat. */
struct member_peer {
	agb_name instance;
	agb_name region;
	agb_name domain;
	agb_addr rpc;
	enum agb_instance_state state;
	uint64_t env_version;
	agb_time last_seen;
	UT_hash_handle hh;
};

struct member_shard {
	struct agb_shard_view view;
	agb_time next_summary_at;
	agb_time next_lists_at;
	uint64_t lists_epoch; /* of the owner that was told of teams */
	UT_hash_handle hh;
};

/* Use of each team in one other shard, as its owner last told. */
struct member_team_usage {
	agb_name domain;
	uint64_t epoch;
	uint64_t serial;
	agb_x_team_use *items;
	u_int len;
	UT_hash_handle hh;
};

struct agb_member {
	struct agb_member_config cfg;
	struct member_peer *peers;
	struct member_shard *shards;
	struct member_team_usage *usage;
	uint64_t serial;
	uint64_t highest_version;
	agb_addr highest_version_peer;
	agb_time next_heartbeat_at;
	agb_time next_summary_at;
	agb_time owner_replied_at;
	bool owner_replied;
	unsigned short rng[3];
};

/**
 * member_age_ms() - time since @at in milliseconds, at most UINT32_MAX
 */
uint32_t member_age_ms(agb_time now, agb_time at);

/**
 * member_fill_shard() - view of a shard as a message
 * @x: zeroed by the caller; filled with new strings
 */
void member_fill_shard(
    const struct agb_shard_view *v, agb_time now, agb_x_shard *x);

#endif

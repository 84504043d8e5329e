#ifndef AGB_MEMBER_INTERNAL_H
#define AGB_MEMBER_INTERNAL_H

/**
 * DOC: member_internal
 *
 * State shared by the files of the member module: tracking of the other
 * instances (member.c) and the status report for operators (member_status.c).
 */

#include <uthash.h>

#include "member.h"

/* Peers not seen for longer than this are left out of reports. */
#define MEMBER_MAX_AGE (30 * AGB_SEC)

/**
 * struct member_peer - an entry instance, from the platform's list or from a
 * heartbeat
 * @last_seen: time of its last heartbeat, as far as known here; 0 if none
 */
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

/**
 * struct member_shard - a shard and the state of the exchange with its owner
 * @next_summary_at: when the next summary is sent
 * @next_lists_at: earliest time for a summary that includes the lists of teams
 *	and members
 * @lists_epoch: epoch of the owner that last received these lists
 */
struct member_shard {
	struct agb_shard_view view;
	agb_time next_summary_at;
	agb_time next_lists_at;
	uint64_t lists_epoch;
	UT_hash_handle hh;
};

/**
 * struct member_team_usage - usage per team in another shard, as last reported
 * by its owner
 * @epoch: epoch of the owner
 * @serial: sequence number of the report within the epoch
 */
struct member_team_usage {
	agb_name domain;
	uint64_t epoch;
	uint64_t serial;
	agb_x_team_use *items;
	u_int len;
	UT_hash_handle hh;
};

/**
 * struct agb_member - state of the membership sub-reducer
 * @serial: sequence number of the last summary of the owned shard
 * @highest_version: highest document version reported by a peer
 * @highest_version_peer: RPC address of that peer
 * @owner_replied_at: last reply of the local domain's owner to a heartbeat;
 *	valid if @owner_replied
 */
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
 * member_age_ms() - milliseconds elapsed since @at, capped at UINT32_MAX
 */
uint32_t member_age_ms(agb_time now, agb_time at);

/**
 * member_fill_shard() - convert the state of a shard to a message
 * @x: zeroed by the caller; the strings are newly allocated
 */
void member_fill_shard(
    const struct agb_shard_view *v, agb_time now, agb_x_shard *x);

#endif

#ifndef AGB_MEMBER_H
#define AGB_MEMBER_H

/**
 * DOC: member
 *
 * What an entry instance knows of the others: entry instances from the
 * platform's lagging list, heartbeats inside the domain, load summaries and
 * team usage exchanged between the owners of the shards. Traffic grows with
 * the number of instances: members talk to their owner, owners to owners.
 */

#include <json-c/json.h>

#include "effect.h"
#include "env.h"
#include "event.h"

/**
 * struct agb_member_config - fixed facts of this entry instance
 */
struct agb_member_config {
	agb_name instance;
	agb_name region;
	agb_name domain;
	agb_addr rpc;
	uint64_t seed;
};

/**
 * struct agb_shard_view - what is known of one shard
 * @domain: its failure domain
 * @region: its region, "" while unknown
 * @owner: RPC address of its owner
 * @measured_at: when its owner measured it, by this instance's clock
 */
struct agb_shard_view {
	agb_name domain;
	agb_name region;
	agb_addr owner;
	uint64_t epoch;
	uint64_t serial;
	agb_time measured_at;
	uint32_t slots_free;
	uint32_t quick_queued;
	uint32_t tasks_queued;
	uint32_t wait_ms;
	struct agb_resources free;
};

struct agb_member;

/**
 * agb_member_new() - create the sub-reducer knowing nobody
 * Return: never NULL.
 */
struct agb_member *agb_member_new(const struct agb_member_config *cfg);

/**
 * agb_member_free() - free it
 * @m: may be NULL
 */
void agb_member_free(struct agb_member *m);

/**
 * struct agb_member_input - state of the other sub-reducers that heartbeats
 * and summaries carry
 * @env: document in force, or NULL
 * @env_version: its version, or 0
 * @owner: RPC address of the owner of the own domain, or ""
 * @is_owner: this instance is that owner
 * @leaving: this instance is shutting down
 * @shard: summary of the owned shard when @is_owner
 * @team_used: use of each team of @env in the owned shard when @is_owner
 */
struct agb_member_input {
	const struct agb_env *env;
	uint64_t env_version;
	const char *owner;
	bool is_owner;
	bool leaving;
	const agb_x_shard *shard;
	const struct agb_resources *team_used;
};

/**
 * agb_member_step() - take one event
 *
 * Takes TICK, LIST, RPC_REPLY with a tag of AGB_TAG_MEMBER, and RPC_CALL of
 * HEARTBEAT and SUMMARY.
 */
void agb_member_step(struct agb_member *m, agb_time now,
    const struct agb_event *ev, const struct agb_member_input *in,
    struct agb_effects *out);

/**
 * agb_member_owner_responsive() - whether the own domain's owner answers heartbeats
 */
bool agb_member_owner_responsive(const struct agb_member *m, agb_time now);

/**
 * agb_member_shard_find() - view of the shard of a domain
 * Return: NULL when nothing fresh is known of it.
 */
const struct agb_shard_view *agb_member_shard_find(
    const struct agb_member *m, agb_time now, const char *domain);

/**
 * agb_member_remote_team_usage() - use of a team in all other shards together
 */
struct agb_resources agb_member_remote_team_usage(
    const struct agb_member *m, const char *team);

/**
 * agb_member_highest_version() - highest document version shown by a peer
 * @peer: set to its RPC address, "" when none has been seen
 * Return: the version, or 0.
 */
uint64_t agb_member_highest_version(
    const struct agb_member *m, const char **peer);

/**
 * agb_member_status_json() - the instances and shards that are known, as JSON
 * @to: object that gets the keys "shards" and "members"
 */
void agb_member_status_json(const struct agb_member *m, agb_time now,
    const struct agb_member_input *in, json_object *to);

/**
 * agb_member_next_tick() - when it wants its next AGB_EV_TICK
 */
agb_time agb_member_next_tick(const struct agb_member *m);

#endif

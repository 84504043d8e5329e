#ifndef AGB_MEMBER_H
#define AGB_MEMBER_H

/**
 * DOC: member
 *
 * Membership: tracks the other entry instances and the shards. Instances are
 * discovered from the platform's eventually consistent list, send heartbeats to
 * the owner of their domain's shard, and shard owners exchange summaries of
 * load and team usage. Instances send only to their own owner, and owners only
 * to other owners, so that the traffic grows with the number of instances and
 * not with the number of pairs. An owner probes a random instance of a domain
 * whose owner is unknown or silent.
 */

#include <json-c/json.h>

#include "effect.h"
#include "env.h"
#include "event.h"

/**
 * struct agb_member_config - static configuration of this entry instance
 * @rpc: ONC RPC address of this instance
 * @seed: seed for random choices
 */
struct agb_member_config {
	agb_name instance;
	agb_name region;
	agb_name domain;
	agb_addr rpc;
	uint64_t seed;
};

/**
 * struct agb_shard_view - latest known state of a shard
 * @domain: failure domain that the shard serves
 * @region: region of the domain, "" while unknown
 * @owner: RPC address of the shard's owner, "" while unknown
 * @epoch: epoch of the owner
 * @serial: sequence number of the summary within the epoch
 * @measured_at: local time at which the owner measured the values
 * @wait_ms: expected queueing delay of a quick request
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
 * agb_member_new() - create the member sub-reducer (see node.h), without
 * any known peers
 * Return: never NULL.
 */
struct agb_member *agb_member_new(const struct agb_member_config *cfg);

/**
 * agb_member_free() - free the sub-reducer
 * @m: may be NULL
 */
void agb_member_free(struct agb_member *m);

/**
 * struct agb_member_input - state of the other sub-reducers that is sent in
 * heartbeats and summaries
 * @env: active environment document, or NULL
 * @env_version: version of @env, or 0
 * @owner: RPC address of the owner of the local domain's shard, or ""
 * @is_owner: this instance is that owner
 * @leaving: this instance is shutting down
 * @shard: summary of the owned shard if @is_owner
 * @team_used: resource usage of each team of @env in the owned shard if
 *	@is_owner
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
 * agb_member_step() - process one event
 *
 * Handles TICK, INSTANCES, RPC_REPLY events tagged AGB_TAG_MEMBER, and RPC_CALL
 * for HEARTBEAT and SUMMARY.
 */
void agb_member_step(struct agb_member *m, agb_time now,
    const struct agb_event *ev, const struct agb_member_input *in,
    struct agb_effects *out);

/**
 * agb_member_owner_responsive() - whether the local domain's owner has recently
 * replied to a heartbeat
 */
bool agb_member_owner_responsive(const struct agb_member *m, agb_time now);

/**
 * agb_member_shard_find() - look up the shard of a domain
 * Return: NULL if its state is unknown or too old.
 */
const struct agb_shard_view *agb_member_shard_find(
    const struct agb_member *m, agb_time now, const char *domain);

/**
 * agb_member_remote_team_usage() - total usage of a team in all other shards
 */
struct agb_resources agb_member_remote_team_usage(
    const struct agb_member *m, const char *team);

/**
 * agb_member_highest_version() - highest document version reported by a peer
 * @peer: set to the RPC address of that peer, or "" if none has reported
 * Return: the version, or 0.
 */
uint64_t agb_member_highest_version(
    const struct agb_member *m, const char **peer);

/**
 * agb_member_status_json() - add the known instances and shards to a JSON
 * object
 * @to: receives the keys "shards" and "members"
 */
void agb_member_status_json(const struct agb_member *m, agb_time now,
    const struct agb_member_input *in, json_object *to);

/**
 * agb_member_next_tick() - time at which the next AGB_EV_TICK is due
 */
agb_time agb_member_next_tick(const struct agb_member *m);

#endif

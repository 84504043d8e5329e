#ifndef AGB_OWNER_H
#define AGB_OWNER_H

/**
 * DOC: owner
 *
 * The part of an entry instance that can own the shard of its failure domain:
 * leader election, epoch, journal, recovery and worker sessions. While it owns
 * the shard, it runs the shard's scheduler (sched.h).
 */

#include "effect.h"
#include "env.h"
#include "event.h"

/**
 * struct agb_owner_config - static configuration of this entry instance
 * @environment: name of the environment, part of each store key
 * @rpc: its ONC RPC address, published in the owner key
 * @seed: seed of the jitter in delays
 */
struct agb_owner_config {
	agb_name instance;
	agb_name domain;
	agb_name environment;
	agb_addr rpc;
	uint64_t seed;
};

struct agb_owner;

/**
 * agb_owner_new() - create the owner sub-reducer (see node.h), as a follower
 * Return: never NULL.
 */
struct agb_owner *agb_owner_new(const struct agb_owner_config *cfg);

/**
 * agb_owner_free() - free the sub-reducer
 * @o: may be NULL
 */
void agb_owner_free(struct agb_owner *o);

/**
 * agb_owner_step() - process one event
 *
 * Handles TICK, TERM, INSTANCES, SESSION, RENEW, COMMANDS, STORE and WATCH with
 * a tag of AGB_TAG_OWNER, and RPC_CALL of GRANT, RELEASE, SUBMIT, JOB_GET,
 * CANCEL and EXPLAIN. Every such RPC_CALL is answered by exactly one
 * AGB_EF_RPC_REPLY, at once or later.
 *
 * While this instance does not own the shard, GRANT and SUBMIT are answered
 * with outcome NOT_RUN, and JOB_GET and CANCEL with found unset. The reason is
 * then NO_OWNER, NO_DOCUMENT or DRAINING. The reason NOT_FOUND comes only from
 * the active owner, which knows that the team has no such job. The outcome
 * field of an accepted SUBMIT has no meaning.
 */
void agb_owner_step(struct agb_owner *o, agb_time now,
    const struct agb_event *ev, struct agb_effects *out);

/**
 * agb_owner_env_set() - apply a new environment document
 * @env: must stay valid until the next call
 */
void agb_owner_env_set(struct agb_owner *o, agb_time now,
    const struct agb_env *env, struct agb_effects *out);

/**
 * agb_owner_set_remote_usage() - set a team's usage in all other shards
 */
void agb_owner_set_remote_usage(struct agb_owner *o, agb_time now,
    uint16_t team, const struct agb_resources *used, struct agb_effects *out);

/**
 * agb_owner_local_usage() - resources held by a team's running work in this
 * shard
 */
struct agb_resources agb_owner_local_usage(
    const struct agb_owner *o, uint16_t team);

/**
 * agb_owner_active() - whether this instance owns its shard, has recovered
 * the journal and is not shutting down
 */
bool agb_owner_active(const struct agb_owner *o, agb_time now);

/**
 * agb_owner_rpc_address() - RPC address of the owner of this domain's shard
 * Return: "" while no owner is known; this instance's own address while it
 * serves the shard.
 */
const char *agb_owner_rpc_address(const struct agb_owner *o);

/**
 * agb_owner_shard_summary() - summary of the owned shard for other instances
 * @out: filled with new strings; the caller frees it with xdr_free()
 * Return: false, with @out zeroed, when this instance is not active.
 */
bool agb_owner_shard_summary(
    const struct agb_owner *o, agb_time now, agb_x_shard *out);

/**
 * agb_owner_next_tick() - when the next AGB_EV_TICK is due
 * Return: a time, or AGB_TIME_MAX.
 */
agb_time agb_owner_next_tick(const struct agb_owner *o, agb_time now);

/**
 * agb_owner_drained() - whether the shutdown begun by AGB_EV_TERM is complete
 * Return: true once the owner role has been handed over or given up.
 */
bool agb_owner_drained(const struct agb_owner *o);

#endif

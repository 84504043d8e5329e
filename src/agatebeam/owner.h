#ifndef AGB_OWNER_H
#define AGB_OWNER_H

/**
 * DOC: owner
 *
 * The part of an entry instance that may own the shard of its failure
 * domain: election, epoch, journal, recovery, worker sessions. It drives
 * the shard's placement (sched).
 */

#include "effect.h"
#include "env.h"
#include "event.h"

/**
 * struct agb_owner_config - fixed facts of this entry instance
 * @environment: name of the environment, part of each store key
 * @rpc: its ONC RPC address, published as the shard's owner
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
 * agb_owner_new() - create the sub-reducer, not owning anything
 * Return: never NULL.
 */
struct agb_owner *agb_owner_new(const struct agb_owner_config *cfg);

/**
 * agb_owner_free() - free it
 * @o: may be NULL
 */
void agb_owner_free(struct agb_owner *o);

/**
 * agb_owner_step() - take one event
 *
 * Takes TICK, TERM, LIST, SESSION, RENEW, COMMANDS, STORE and WATCH with a
 * tag of AGB_TAG_OWNER, and RPC_CALL of GRANT, RELEASE, SUBMIT, JOB_GET,
 * CANCEL and EXPLAIN. Every such RPC_CALL is answered by exactly one
 * AGB_EF_RPC_REPLY, at once or later.
 *
 * While it does not own the shard, GRANT and SUBMIT are answered NOT_RUN, and
 * JOB_GET and CANCEL with found unset; the reason is then NO_OWNER,
 * NO_DOCUMENT or DRAINING, and NOT_FOUND only from an owner that knows that
 * the team has no such job. The outcome of an accepted SUBMIT says nothing.
 */
void agb_owner_step(struct agb_owner *o, agb_time now,
    const struct agb_event *ev, struct agb_effects *out);

/**
 * agb_owner_env_set() - put an environment document in force
 * @env: stays valid until the next call
 */
void agb_owner_env_set(struct agb_owner *o, agb_time now,
    const struct agb_env *env, struct agb_effects *out);

/**
 * agb_owner_set_remote_usage() - what a team uses in all other shards together
 */
void agb_owner_set_remote_usage(struct agb_owner *o, agb_time now,
    uint16_t team, const struct agb_resources *used, struct agb_effects *out);

/**
 * agb_owner_local_usage() - what a team's running work holds in this shard
 */
struct agb_resources agb_owner_local_usage(
    const struct agb_owner *o, uint16_t team);

/**
 * agb_owner_active() - whether this instance owns its shard and has
 * recovered its journal
 */
bool agb_owner_active(const struct agb_owner *o, agb_time now);

/**
 * agb_owner_rpc_address() - RPC address of the owner of this domain's shard
 * Return: "" while none is known; its own address while it is active.
 */
const char *agb_owner_rpc_address(const struct agb_owner *o);

/**
 * agb_owner_shard_summary() - summary of the owned shard for other instances
 * @out: zeroed, then filled with new strings; freed by xdr_free()
 * Return: false when it is not active.
 */
bool agb_owner_shard_summary(
    const struct agb_owner *o, agb_time now, agb_x_shard *out);

/**
 * agb_owner_next_tick() - when it wants its next AGB_EV_TICK
 * Return: a time, or AGB_TIME_MAX.
 */
agb_time agb_owner_next_tick(const struct agb_owner *o, agb_time now);

/**
 * agb_owner_drained() - after AGB_EV_TERM: whether the role is handed over
 */
bool agb_owner_drained(const struct agb_owner *o);

#endif

#ifndef AGB_ROUTE_H
#define AGB_ROUTE_H

/**
 * DOC: route
 *
 * The entry part of an instance: it takes callers' requests, chooses the
 * shard that is asked for each, sends attempts to runners, tries again
 * where that is allowed, and tells every caller the outcome.
 */

#include "effect.h"
#include "env.h"
#include "event.h"
#include "member.h"

/**
 * struct agb_route_config - fixed facts of this entry instance
 * @call_timeout_ms: deadline of a request that has none
 */
struct agb_route_config {
	agb_name instance;
	agb_name region;
	agb_name domain;
	uint32_t call_timeout_ms;
	uint64_t seed;
};

/**
 * struct agb_route_input - state of the other sub-reducers
 * @env: document in force, or NULL
 * @member: views of the shards
 * @owner: RPC address of the owner of the own domain's shard, or ""
 * @shard: summary of the own shard when this instance owns it, else NULL
 */
struct agb_route_input {
	const struct agb_env *env;
	const struct agb_member *member;
	const char *owner;
	const agb_x_shard *shard;
};

struct agb_route;

/**
 * agb_route_new() - create the sub-reducer without requests
 * Return: never NULL.
 */
struct agb_route *agb_route_new(const struct agb_route_config *cfg);

/**
 * agb_route_free() - free it
 * @r: may be NULL
 */
void agb_route_free(struct agb_route *r);

/**
 * agb_route_step() - take one event
 *
 * Takes TICK, TERM, CALL (all but AGB_CALL_STATUS), CALL_GONE, UPSTREAM and
 * RPC_REPLY with a tag of AGB_TAG_ROUTE. Each CALL is answered by exactly
 * one AGB_EF_REPLY or AGB_EF_FORWARD unless CALL_GONE comes first.
 */
void agb_route_step(struct agb_route *r, agb_time now,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * agb_route_pending() - requests that are not answered yet, and releases
 * that no owner has taken yet
 */
size_t agb_route_pending(const struct agb_route *r);

/**
 * agb_route_next_tick() - when it wants its next AGB_EV_TICK
 */
agb_time agb_route_next_tick(const struct agb_route *r);

#endif

#ifndef AGB_ROUTE_H
#define AGB_ROUTE_H

/**
 * DOC: route
 *
 * Request routing of an entry instance. It accepts client requests, selects a
 * shard for each, sends attempts to the runners that the shard's owner grants,
 * retries where that is safe, and reports the outcome to the client.
 */

#include "effect.h"
#include "env.h"
#include "event.h"
#include "member.h"

/**
 * struct agb_route_config - static configuration of this entry instance
 * @call_timeout_ms: timeout of requests that specify no deadline
 * @seed: seed for jitter and request ids
 */
struct agb_route_config {
	agb_name instance;
	agb_name region;
	agb_name domain;
	uint32_t call_timeout_ms;
	uint64_t seed;
};

/**
 * struct agb_route_input - state of the other sub-reducers (see node.h)
 * @env: active environment document, or NULL
 * @member: state of the other shards
 * @owner: RPC address of the owner of the local domain's shard, or ""
 * @shard: summary of the local shard if this instance owns it, else NULL
 */
struct agb_route_input {
	const struct agb_env *env;
	const struct agb_member *member;
	const char *owner;
	const agb_x_shard *shard;
};

struct agb_route;

/**
 * agb_route_new() - create the route sub-reducer (see node.h), with no requests
 * Return: never NULL.
 */
struct agb_route *agb_route_new(const struct agb_route_config *cfg);

/**
 * agb_route_free() - free the sub-reducer
 * @r: may be NULL
 */
void agb_route_free(struct agb_route *r);

/**
 * agb_route_step() - process one event
 *
 * Handles TICK, TERM, CALL (except AGB_CALL_STATUS), CALL_CLOSED, UPSTREAM and
 * RPC_REPLY events tagged AGB_TAG_ROUTE. Each CALL results in exactly one
 * AGB_EF_REPLY or AGB_EF_FORWARD unless CALL_CLOSED comes first.
 */
void agb_route_step(struct agb_route *r, agb_time now,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * agb_route_pending() - number of unanswered requests and unacknowledged
 * releases
 */
size_t agb_route_pending(const struct agb_route *r);

/**
 * agb_route_next_tick() - time at which the next AGB_EV_TICK is due
 */
agb_time agb_route_next_tick(const struct agb_route *r);

#endif

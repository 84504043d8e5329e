#ifndef AGB_NODE_H
#define AGB_NODE_H

/**
 * DOC: node
 *
 * Top-level reducer of an entry instance. It takes every event together with
 * the current time and returns the resulting effects as data, without any I/O.
 * Each event is dispatched to the sub-reducer responsible for it (route, owner,
 * envsync, member). The node passes state between the sub-reducers and handles
 * RPCs of the instance to itself locally.
 */

#include "effect.h"
#include "env.h"
#include "event.h"

/**
 * struct agb_node_config - static configuration of this entry instance
 * @rpc: ONC RPC address of this instance
 * @call_timeout_ms: timeout of requests that specify no deadline
 * @drain_ms: maximum time from AGB_EV_TERM to AGB_EF_EXIT
 * @seed: seed for jitter and random choices
 */
struct agb_node_config {
	agb_name instance;
	agb_name environment;
	agb_name region;
	agb_name domain;
	agb_addr rpc;
	uint32_t call_timeout_ms;
	uint32_t drain_ms;
	uint64_t seed;
};

struct agb_node;

/**
 * agb_node_new() - create the reducer in its initial state
 * Return: never NULL.
 */
struct agb_node *agb_node_new(const struct agb_node_config *cfg);

/**
 * agb_node_free() - free the reducer
 * @n: may be NULL
 */
void agb_node_free(struct agb_node *n);

/**
 * agb_node_step() - process one event
 * @now: current time; must not be earlier than in the previous step
 * @ev: the event; the caller keeps ownership
 * @out: effects are appended in the order in which they must be performed
 */
void agb_node_step(struct agb_node *n, agb_time now, const struct agb_event *ev,
    struct agb_effects *out);

/**
 * agb_node_next_tick() - time at which the next AGB_EV_TICK is due
 */
agb_time agb_node_next_tick(const struct agb_node *n, agb_time now);

/**
 * agb_node_env() - active environment document, or NULL
 */
const struct agb_env *agb_node_env(const struct agb_node *n);

/**
 * agb_node_is_owner() - whether this instance currently owns its shard
 */
bool agb_node_is_owner(const struct agb_node *n, agb_time now);

#endif

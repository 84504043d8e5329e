#ifndef AGB_NODE_H
#define AGB_NODE_H

/**
 * DOC: node
 *
 * The reducer of an entry instance: every event enters here with the present
 * time, every effect leaves here as data. It hands each event to the
 * sub-reducer that it belongs to (route, owner, envsync, member), carries
 * what one of them shows to the others, and short-circuits calls that an
 * instance makes to itself.
 */

#include "effect.h"
#include "env.h"
#include "event.h"

/**
 * struct agb_node_config - fixed facts of this entry instance
 * @call_timeout_ms: deadline of a request that has none
 * @drain_ms: longest time from AGB_EV_TERM to AGB_EF_EXIT
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
 * agb_node_new() - create the reducer with empty memory
 * Return: never NULL.
 */
struct agb_node *agb_node_new(const struct agb_node_config *cfg);

/**
 * agb_node_free() - free it
 * @n: may be NULL
 */
void agb_node_free(struct agb_node *n);

/**
 * agb_node_step() - take one event
 * @now: present time; never before that of the last step
 * @ev: the event; it stays the caller's
 * @out: effects are appended in the order in which they are to be done
 */
void agb_node_step(struct agb_node *n, agb_time now, const struct agb_event *ev,
    struct agb_effects *out);

/**
 * agb_node_next_tick() - when it wants its next AGB_EV_TICK
 */
agb_time agb_node_next_tick(const struct agb_node *n, agb_time now);

/**
 * agb_node_env() - document in force, or NULL
 */
const struct agb_env *agb_node_env(const struct agb_node *n);

/**
 * agb_node_is_owner() - whether the instance owns its shard
 */
bool agb_node_is_owner(const struct agb_node *n, agb_time now);

#endif

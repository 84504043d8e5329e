#ifndef AGB_ENVSYNC_H
#define AGB_ENVSYNC_H

/**
 * DOC: envsync
 *
 * Distributes the environment document to the entry instances. The shard owner
 * watches the document's key in the store. Other instances fetch the document
 * from a peer that reports a higher version, and poll the store only while no
 * owner is reachable. A document is applied only if its store revision is
 * higher, so the active version never decreases.
 */

#include "effect.h"
#include "env.h"
#include "event.h"

struct agb_envsync;

/**
 * agb_envsync_new() - create the envsync sub-reducer (see node.h), with no
 * active document
 * @environment: name of the environment, part of the store key
 * Return: never NULL.
 */
struct agb_envsync *agb_envsync_new(const char *environment);

/**
 * agb_envsync_free() - free the sub-reducer and its documents
 * @es: may be NULL
 */
void agb_envsync_free(struct agb_envsync *es);

/**
 * agb_envsync_step() - process one event
 *
 * Handles TICK; STORE, WATCH and RPC_REPLY events tagged AGB_TAG_ENVSYNC; and
 * RPC_CALL for ENV_GET.
 */
void agb_envsync_step(struct agb_envsync *es, agb_time now,
    const struct agb_event *ev, struct agb_effects *out);

/**
 * agb_envsync_owner_set() - select the source of new documents
 * @is_owner: this instance owns its shard and watches the store
 * @owner_relays: another instance owns the shard and replies to heartbeats, so
 *	the store need not be polled
 */
void agb_envsync_owner_set(struct agb_envsync *es, agb_time now, bool is_owner,
    bool owner_relays, struct agb_effects *out);

/**
 * agb_envsync_peer_version() - report the active version of a peer
 * @version: fetched from the peer if higher than the local version
 * @peer: ONC RPC address of the peer; "" if unknown, then nothing is fetched
 */
void agb_envsync_peer_version(struct agb_envsync *es, agb_time now,
    uint64_t version, const char *peer, struct agb_effects *out);

/**
 * agb_envsync_env() - active environment document
 * Return: NULL while none is known. The document stays valid until it has been
 * replaced and agb_envsync_free_replaced() is called.
 */
const struct agb_env *agb_envsync_env(const struct agb_envsync *es);

/**
 * agb_envsync_version() - store revision of the active document, or 0
 */
uint64_t agb_envsync_version(const struct agb_envsync *es);

/**
 * agb_envsync_free_replaced() - free the previous document; the caller
 * guarantees that it is no longer in use
 */
void agb_envsync_free_replaced(struct agb_envsync *es);

/**
 * agb_envsync_next_tick() - time at which the next AGB_EV_TICK is due
 */
agb_time agb_envsync_next_tick(const struct agb_envsync *es);

#endif

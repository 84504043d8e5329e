#ifndef AGB_ENVSYNC_H
#define AGB_ENVSYNC_H

/**
 * DOC: envsync
 *
 * Which environment document is in force on this entry instance. The shard
 * owner watches the store's key and relays the document; every other
 * instance fetches it from a peer that has shown a higher version, and reads
 * the store itself only when no owner relays. Only a higher store revision
 * is taken, so that the version in force never goes back.
 */

#include "effect.h"
#include "env.h"
#include "event.h"

struct agb_envsync;

/**
 * agb_envsync_new() - create the sub-reducer without a document
 * @environment: name of the environment, part of the store key
 * Return: never NULL.
 */
struct agb_envsync *agb_envsync_new(const char *environment);

/**
 * agb_envsync_free() - free it with its documents
 * @es: may be NULL
 */
void agb_envsync_free(struct agb_envsync *es);

/**
 * agb_envsync_step() - take one event
 *
 * Takes TICK, STORE, WATCH and RPC_REPLY with a tag of AGB_TAG_ENVSYNC, and
 * RPC_CALL of ENV_GET.
 */
void agb_envsync_step(struct agb_envsync *es, agb_time now,
    const struct agb_event *ev, struct agb_effects *out);

/**
 * agb_envsync_owner_set() - whether this instance should watch the store
 * @is_owner: it owns its shard
 * @owner_relays: another instance owns the shard and answers heartbeats
 */
void agb_envsync_owner_set(struct agb_envsync *es, agb_time now, bool is_owner,
    bool owner_relays, struct agb_effects *out);

/**
 * agb_envsync_peer_version() - a peer has shown the version in force there
 * @peer: its ONC RPC address; nothing is asked when it is ""
 */
void agb_envsync_peer_version(struct agb_envsync *es, agb_time now,
    uint64_t version, const char *peer, struct agb_effects *out);

/**
 * agb_envsync_env() - document in force
 * Return: NULL while none is known. Stays valid until
 * agb_envsync_free_replaced() after the next change.
 */
const struct agb_env *agb_envsync_env(const struct agb_envsync *es);

/**
 * agb_envsync_version() - store revision of the document in force, or 0
 */
uint64_t agb_envsync_version(const struct agb_envsync *es);

/**
 * agb_envsync_free_replaced() - free the replaced document once nothing uses it
 */
void agb_envsync_free_replaced(struct agb_envsync *es);

/**
 * agb_envsync_next_tick() - when it wants its next AGB_EV_TICK
 */
agb_time agb_envsync_next_tick(const struct agb_envsync *es);

#endif

#ifndef HISTORY_FAKE_STORE_H
#define HISTORY_FAKE_STORE_H

/**
 * DOC: fake_store
 *
 * In-memory fake of the platform's key-value store with revisions,
 * transactions and leases. Every operation completes at once; the simulation
 * decides when to apply it and whether the client receives the result.
 */

#include "store.h"

#define FAKE_LEASES_MAX 64

/**
 * struct fake_store - keys and leases
 * @kvs: keys, sorted by name
 * @revision: revision of the latest change
 * @last_lease_id: id of the lease granted last
 * @leases: entries with id 0 are free
 * @changes: changes since the last fake_store_take_changes(), for watches
 * @calls: number of operations applied
 */
struct fake_store {
	struct agb_store_kv *kvs;
	size_t len;
	size_t cap;
	uint64_t revision;
	int64_t last_lease_id;
	struct {
		int64_t id;
		agb_time ttl;
		agb_time expires_at;
	} leases[FAKE_LEASES_MAX];
	struct agb_store_kv *changes;
	size_t changes_len;
	uint64_t calls;
};

/**
 * fake_store_apply() - apply an operation
 * @res: overwritten; the caller frees it with agb_store_result_free()
 */
void fake_store_apply(struct fake_store *s, agb_time now,
    const struct agb_store_op *op, struct agb_store_result *res);

/**
 * fake_store_expire() - remove expired leases and their keys
 */
void fake_store_expire(struct fake_store *s, agb_time now);

/**
 * fake_store_next_expiry() - time at which the next lease expires
 * Return: AGB_TIME_MAX when there is no lease.
 */
agb_time fake_store_next_expiry(const struct fake_store *s);

/**
 * fake_store_take_changes() - return and clear the list of changes
 * @len: set to the number of changes
 * Return: changes since the last call, oldest first; the caller frees them
 * with agb_store_kvs_free().
 */
struct agb_store_kv *fake_store_take_changes(struct fake_store *s, size_t *len);

/**
 * fake_store_kv_copy() - make a deep copy of a key and its value
 */
void fake_store_kv_copy(
    struct agb_store_kv *dst, const struct agb_store_kv *src);

void fake_store_free(struct fake_store *s);

#endif

#ifndef HISTORY_FAKE_STORE_H
#define HISTORY_FAKE_STORE_H

/**
 * DOC: fake_store
 *
 * The platform's key-value service in memory: revisions, transactions,
 * leases. Nothing of it waits; the driver decides when an operation takes
 * effect and whether its answer arrives.
 */

#include "store.h"

#define FAKE_LEASES_MAX 64

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
	/* Changes since the driver last took them, for the watches. */
	struct agb_store_kv *changes;
	size_t changes_len;
	uint64_t calls;
};

/**
 * fake_store_apply() - carry out an operation
 * @res: filled in; freed by agb_store_result_free()
 */
void fake_store_apply(struct fake_store *s, agb_time now,
    const struct agb_store_op *op, struct agb_store_result *res);

/**
 * fake_store_expire() - delete the keys of lapsed leases
 */
void fake_store_expire(struct fake_store *s, agb_time now);

/**
 * fake_store_next_expiry() - when the next lease lapses, or AGB_TIME_MAX
 */
agb_time fake_store_next_expiry(const struct fake_store *s);

/**
 * fake_store_changes() - take the changes made since the last call
 * @len: set to their number
 * Return: freed by agb_store_kvs_free().
 */
struct agb_store_kv *fake_store_take_changes(struct fake_store *s, size_t *len);

/**
 * fake_store_kv_copy() - deep copy of one key
 */
void fake_store_kv_copy(
    struct agb_store_kv *dst, const struct agb_store_kv *src);

/**
 * fake_store_free() - free all keys
 */
void fake_store_free(struct fake_store *s);

#endif

#ifndef AGB_STORE_H
#define AGB_STORE_H

/**
 * DOC: store
 *
 * The platform's key-value service as the reducer sees it: operations and
 * results as data, and a vtable for the client that carries them out.
 */

#include "types.h"

struct agb_buf;

/* Largest value that the platform's store holds. */
#define AGB_STORE_VALUE_MAX ((size_t)1024 * 1024)

enum agb_store_op_kind {
	AGB_STORE_RANGE,	   /* key, range_end, limit, keys_only */
	AGB_STORE_TXN,		   /* cmps, writes; all or nothing */
	AGB_STORE_LEASE_GRANT,	   /* ttl_s */
	AGB_STORE_LEASE_KEEPALIVE, /* lease */
	AGB_STORE_LEASE_REVOKE,	   /* lease */
};

/**
 * enum agb_store_cmp_target - what a transaction compares with @rev
 * @AGB_STORE_CMP_CREATE_REV: create revision of the key; 0 when it is absent
 * @AGB_STORE_CMP_MOD_REV: revision of the key's last change
 */
enum agb_store_cmp_target {
	AGB_STORE_CMP_CREATE_REV,
	AGB_STORE_CMP_MOD_REV,
};

struct agb_store_cmp {
	char *key;
	enum agb_store_cmp_target target;
	uint64_t rev;
};

/**
 * struct agb_store_write - one change in a transaction
 * @key: the key
 * @range_end: with @is_delete, end of a range to delete, or NULL
 * @val: value bytes, owned; may be NULL when @val_len is 0
 * @lease: lease that the key is attached to, or 0
 * @is_delete: deletes instead of putting
 */
struct agb_store_write {
	char *key;
	char *range_end;
	char *val;
	size_t val_len;
	int64_t lease;
	bool is_delete;
};

/**
 * struct agb_store_op - one call of the store; owns all it points to
 */
struct agb_store_op {
	enum agb_store_op_kind kind;
	char *key;
	char *range_end;
	uint32_t limit;
	bool keys_only;
	struct agb_store_cmp *cmps;
	size_t cmps_len;
	struct agb_store_write *writes;
	size_t writes_len;
	int64_t lease;
	uint32_t ttl_s;
	uint32_t ttl_ms; /* finer than ttl_s where the store has it; or 0 */
};

/**
 * struct agb_store_kv - one key as read or watched
 * @deleted: the key is gone; only @key and @mod_rev hold
 */
struct agb_store_kv {
	char *key;
	char *val;
	size_t val_len;
	uint64_t create_rev;
	uint64_t mod_rev;
	int64_t lease;
	bool deleted;
};

/**
 * enum agb_store_status - what is known of a call
 * @AGB_STORE_OK: answered
 * @AGB_STORE_REFUSED: certainly had no effect
 * @AGB_STORE_LOST: no answer; a write may have taken effect
 */
enum agb_store_status {
	AGB_STORE_OK,
	AGB_STORE_REFUSED,
	AGB_STORE_LOST,
};

/**
 * struct agb_store_result - answer to a call; owns all it points to
 * @succeeded: the transaction's comparisons held
 * @revision: store revision of the answer
 * @kvs: the range that was read
 * @more: the range holds more than @limit keys
 * @lease: lease granted; @ttl_s 0 after a keep-alive means it has lapsed
 */
struct agb_store_result {
	enum agb_store_status status;
	bool succeeded;
	bool more;
	uint64_t revision;
	struct agb_store_kv *kvs;
	size_t kvs_len;
	int64_t lease;
	uint32_t ttl_s;
};

/**
 * agb_store_op_init() - empty operation of a kind
 */
void agb_store_op_init(struct agb_store_op *op, enum agb_store_op_kind kind);

/**
 * agb_store_op_init_range() - operation that reads a key, or [key, range_end)
 * @range_end: NULL for one key; agb_store_prefix_end() gives a prefix's end
 */
void agb_store_op_init_range(struct agb_store_op *op, const char *key,
    const char *range_end, uint32_t limit);

/**
 * agb_store_op_add_cmp() - add a comparison to a transaction
 */
void agb_store_op_add_cmp(struct agb_store_op *op, const char *key,
    enum agb_store_cmp_target target, uint64_t rev);

/**
 * agb_store_op_add_put() - add a put to a transaction; copies key and value
 */
void agb_store_op_add_put(struct agb_store_op *op, const char *key,
    const char *val, size_t val_len, int64_t lease);

/**
 * agb_store_op_add_delete() - add the deletion of a key or range to a
 * transaction
 * @range_end: NULL for one key
 */
void agb_store_op_add_delete(
    struct agb_store_op *op, const char *key, const char *range_end);

/**
 * agb_store_op_free() - free what an operation owns and empty it
 */
void agb_store_op_free(struct agb_store_op *op);

/**
 * agb_store_result_free() - free what a result owns and empty it
 */
void agb_store_result_free(struct agb_store_result *r);

/**
 * agb_store_kvs_free() - free an array of keys
 */
void agb_store_kvs_free(struct agb_store_kv *kvs, size_t len);

/**
 * agb_store_prefix_end() - first key after all keys with a prefix
 * @prefix: not empty
 * Return: a new string, freed by the caller.
 */
char *agb_store_prefix_end(const char *prefix);

struct agb_store;

typedef void (*agb_store_cb)(
    void *arg, uint64_t tag, struct agb_store_result *res);
typedef void (*agb_store_watch_cb)(void *arg, uint64_t tag,
    struct agb_store_kv *kvs, size_t kvs_len, uint64_t revision, bool broken);

/**
 * struct agb_store_ops - a client of the platform's store
 * @call: carries out @op (which it takes over); @cb is called once, later,
 *	with a result that the callee owns
 * @watch: watches [key, range_end) from @from_rev on (0: from now); the
 *	watch callback gets changes until it is called with broken set, after
 *	which the watch is gone. The callee owns the keys.
 * @unwatch: ends a watch without a further callback
 * @set_watch_interval: least time between two deliveries of a watch, so that changes come
 *	in batches; NULL where the store sends changes by itself
 * @call_count: number of calls made so far, a waiting watch counted as one
 * @close: ends all, without further callbacks, and frees the client
 */
struct agb_store_ops {
	void (*call)(struct agb_store *s, uint64_t tag, struct agb_store_op *op,
	    uint32_t timeout_ms);
	void (*watch)(struct agb_store *s, uint64_t tag, const char *key,
	    const char *range_end, uint64_t from_rev);
	void (*unwatch)(struct agb_store *s, uint64_t tag);
	void (*set_watch_interval)(
	    struct agb_store *s, uint64_t tag, uint32_t gap_ms);
	uint64_t (*call_count)(const struct agb_store *s);
	void (*close)(struct agb_store *s);
};

/**
 * struct agb_store - base of a store client
 * @ops: must stay the first member
 */
struct agb_store {
	const struct agb_store_ops *ops;
	agb_store_cb cb;
	agb_store_watch_cb watch_cb;
	void *arg;
};

#endif

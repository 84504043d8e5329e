#ifndef AGB_STORE_H
#define AGB_STORE_H

/**
 * DOC: store
 *
 * Interface to the platform's key-value store: operations and results as plain
 * data, and a vtable for the client that carries out the operations.
 */

#include "types.h"

struct agb_buf;

/* Maximum size of a value in bytes, a limit of the platform's store. */
#define AGB_STORE_VALUE_MAX ((size_t)1024 * 1024)

/* The comments name the fields of struct agb_store_op that the kind uses. */
enum agb_store_op_kind {
	AGB_STORE_RANGE,	   /* key, range_end, limit, keys_only */
	AGB_STORE_TXN,		   /* cmps, writes; atomic */
	AGB_STORE_LEASE_GRANT,	   /* ttl_s, ttl_ms */
	AGB_STORE_LEASE_KEEPALIVE, /* lease */
	AGB_STORE_LEASE_REVOKE,	   /* lease */
};

/**
 * enum agb_store_cmp_target - revision of a key that a transaction compares
 * @AGB_STORE_CMP_CREATE_REV: revision at which the key was created; 0 when it
 *	does not exist
 * @AGB_STORE_CMP_MOD_REV: revision of the key's last change
 */
enum agb_store_cmp_target {
	AGB_STORE_CMP_CREATE_REV,
	AGB_STORE_CMP_MOD_REV,
};

/**
 * struct agb_store_cmp - condition of a transaction
 * @rev: value that the revision must have
 */
struct agb_store_cmp {
	char *key;
	enum agb_store_cmp_target target;
	uint64_t rev;
};

/**
 * struct agb_store_write - put or deletion in a transaction; owns its strings
 * @range_end: with @is_delete, exclusive end of the range of keys to delete;
 *	NULL deletes @key alone
 * @val: value to put; may be NULL when @val_len is 0
 * @lease: lease that the key is attached to, or 0
 * @is_delete: deletes instead of putting @val
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
 * struct agb_store_op - one operation on the store; owns all it points to
 * @range_end: exclusive end of the range to read; NULL reads @key alone
 * @limit: maximum number of keys to read; 0 for no limit
 * @cmps: conditions of a transaction, all of which must hold
 * @writes: writes of a transaction, made if the conditions hold
 * @ttl_ms: time to live where the store supports milliseconds; 0 to use @ttl_s
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
	uint32_t ttl_ms;
};

/**
 * struct agb_store_kv - a key and its value as read or reported by a watch
 * @lease: lease that the key is attached to, or 0
 * @deleted: the key has been deleted; only @key and @mod_rev are valid
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
 * enum agb_store_status - outcome of a call
 * @AGB_STORE_OK: the store has answered
 * @AGB_STORE_REFUSED: the call was not sent or was rejected; it had no effect
 * @AGB_STORE_LOST: no valid answer arrived; a write may have taken effect
 */
enum agb_store_status {
	AGB_STORE_OK,
	AGB_STORE_REFUSED,
	AGB_STORE_LOST,
};

/**
 * struct agb_store_result - result of a call; owns all it points to
 * @succeeded: the conditions of the transaction held
 * @more: the range has more keys than the limit of the operation
 * @revision: revision of the store at which the call was answered
 * @kvs: keys that were read
 * @lease: lease that was granted or kept alive
 * @ttl_s: time to live of the lease; 0 after a keep-alive if it has expired
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
 * agb_store_op_init() - initialise an empty operation of a kind
 */
void agb_store_op_init(struct agb_store_op *op, enum agb_store_op_kind kind);

/**
 * agb_store_op_init_range() - initialise an operation that reads a key or the
 * keys in [key, range_end)
 * @range_end: NULL for one key; agb_store_prefix_end() computes it for a prefix
 * @limit: maximum number of keys; 0 for no limit
 */
void agb_store_op_init_range(struct agb_store_op *op, const char *key,
    const char *range_end, uint32_t limit);

/**
 * agb_store_op_add_cmp() - add a condition to a transaction
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
 * agb_store_op_free() - free what an operation owns, and zero it
 */
void agb_store_op_free(struct agb_store_op *op);

/**
 * agb_store_result_free() - free what a result owns, and zero it
 */
void agb_store_result_free(struct agb_store_result *r);

/**
 * agb_store_kvs_free() - free an array of keys and values
 */
void agb_store_kvs_free(struct agb_store_kv *kvs, size_t len);

/**
 * agb_store_prefix_end() - exclusive end of the range of keys with a prefix
 * @prefix: not empty
 * Return: a new string, freed by the caller.
 */
char *agb_store_prefix_end(const char *prefix);

struct agb_store;

/**
 * agb_store_cb - called with the result of a call
 * @tag: passed to the call operation
 * @res: the callee frees what it owns
 */
typedef void (*agb_store_cb)(
    void *arg, uint64_t tag, struct agb_store_result *res);
/**
 * agb_store_watch_cb - called with the changes that a watch reports
 * @tag: passed to the watch operation
 * @kvs: changed keys, owned by the callee
 * @revision: revision of the last change
 * @broken: the watch has ended with an error and reports nothing more
 */
typedef void (*agb_store_watch_cb)(void *arg, uint64_t tag,
    struct agb_store_kv *kvs, size_t kvs_len, uint64_t revision, bool broken);

/* Calls whose answers can be large. */
enum agb_store_read {
	AGB_STORE_POLL,	     /* of a watch */
	AGB_STORE_FULL_READ, /* a page of a range with an end */
};

/**
 * enum agb_store_give_up_reason - why a poll or read was given up
 * @AGB_STORE_NO_RESPONSE: no byte of the answer arrived in time
 * @AGB_STORE_STALLED: the answer began, and made no progress any more
 * @AGB_STORE_TOO_SLOW: the answer was still arriving at the limit of the call
 */
enum agb_store_give_up_reason {
	AGB_STORE_NO_RESPONSE = 1,
	AGB_STORE_STALLED,
	AGB_STORE_TOO_SLOW,
};

/**
 * struct agb_store_give_up - a poll or read that was given up
 * @received: bytes of the answer that had arrived
 */
struct agb_store_give_up {
	enum agb_store_read read;
	enum agb_store_give_up_reason reason;
	const char *prefix;
	uint64_t elapsed_ms;
	uint64_t received;
};

/**
 * agb_store_give_up_cb - called when a poll or read is given up, before its
 * result is reported or it is repeated
 */
typedef void (*agb_store_give_up_cb)(
    void *arg, const struct agb_store_give_up *g);

/**
 * struct agb_store_ops - operations of a store client
 * @call: carries out @op, whose contents it takes over; the result callback is
 *	called once, after this function has returned
 *	For a range with an end, @timeout_ms limits the time until the answer
 *	begins and the time for which it makes no progress, as all keys together
 *	can take long on a slow link; for other calls, the whole time.
 * @watch: watches the keys in [key, range_end) from revision @from_rev on, or
 *	from the present one if it is 0. The watch callback is called until
 *	@unwatch, or until it reports that the watch is broken.
 * @unwatch: ends a watch without a further callback
 * @set_watch_interval: sets the minimum time between two callbacks of a watch,
 *	so that changes arrive in batches; NULL if the store pushes changes
 * @call_count: number of calls made so far; a pending watch counts as one
 * @close: ends all calls and watches without further callbacks, and frees the
 *	client
 */
struct agb_store_ops {
	void (*call)(struct agb_store *s, uint64_t tag, struct agb_store_op *op,
	    uint32_t timeout_ms);
	void (*watch)(struct agb_store *s, uint64_t tag, const char *key,
	    const char *range_end, uint64_t from_rev);
	void (*unwatch)(struct agb_store *s, uint64_t tag);
	void (*set_watch_interval)(
	    struct agb_store *s, uint64_t tag, uint32_t interval_ms);
	uint64_t (*call_count)(const struct agb_store *s);
	void (*close)(struct agb_store *s);
};

/**
 * struct agb_store - base of a store client
 * @ops: must stay the first member
 * @give_up_cb: NULL until the owner sets it
 */
struct agb_store {
	const struct agb_store_ops *ops;
	agb_store_cb cb;
	agb_store_watch_cb watch_cb;
	agb_store_give_up_cb give_up_cb;
	void *arg;
};

#endif

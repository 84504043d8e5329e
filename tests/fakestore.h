#ifndef FAKESTORE_H
#define FAKESTORE_H

/**
 * DOC: fakestore
 *
 * In-memory store that implements struct agb_store_ops for one call at a time.
 * The test decides when a call is carried out, can make calls fail, and can
 * change the store right before or after a transaction.
 */

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "store.h"

#define FAKESTORE_KEYS_MAX 256

/**
 * enum fakestore_fault - fault of a call
 * @FAKESTORE_REFUSED: has no effect and is reported as AGB_STORE_REFUSED
 * @FAKESTORE_LOST_REPLY: takes effect, but is reported as AGB_STORE_LOST
 * @FAKESTORE_LOST_REQUEST: has no effect, but is reported as AGB_STORE_LOST
 */
enum fakestore_fault {
	FAKESTORE_NO_FAULT,
	FAKESTORE_REFUSED,
	FAKESTORE_LOST_REPLY,
	FAKESTORE_LOST_REQUEST,
};

struct fakestore;
typedef void (*fakestore_hook)(struct fakestore *s);

/**
 * struct fakestore - in-memory store and the faults to inject
 * @kvs: keys in ascending order
 * @txn_count: number of transactions carried out, failed ones included
 * @before_txn: hook called once, before the next transaction
 * @after_txn: hook called once, after the next transaction
 * @txn_fault: fault of the next transaction only
 * @failing_reads: number of reads, from the next one on, that are refused
 * @has_pending: @op has not been carried out; @tag is that of its call
 */
struct fakestore {
	struct agb_store base;
	struct agb_store_kv kvs[FAKESTORE_KEYS_MAX];
	size_t kvs_len;
	uint64_t revision;
	unsigned txn_count;
	fakestore_hook before_txn;
	fakestore_hook after_txn;
	enum fakestore_fault txn_fault;
	unsigned failing_reads;
	bool has_pending;
	uint64_t tag;
	struct agb_store_op op;
};

static inline size_t
fakestore_lower_bound(const struct fakestore *s, const char *key)
{
	size_t i = 0;

	while (i < s->kvs_len && strcmp(s->kvs[i].key, key) < 0)
		i++;
	return i;
}

static inline struct agb_store_kv *
fakestore_get(struct fakestore *s, const char *key)
{
	const size_t i = fakestore_lower_bound(s, key);

	if (i < s->kvs_len && strcmp(s->kvs[i].key, key) == 0)
		return &s->kvs[i];
	return NULL;
}

static inline void
fakestore_remove(struct fakestore *s, size_t i)
{
	free(s->kvs[i].key);
	free(s->kvs[i].val);
	s->kvs_len--;
	memmove(
	    &s->kvs[i], &s->kvs[i + 1], (s->kvs_len - i) * sizeof(s->kvs[0]));
}

static inline void
fakestore_put(struct fakestore *s, const struct agb_store_write *p)
{
	const size_t i = fakestore_lower_bound(s, p->key);
	struct agb_store_kv *kv = fakestore_get(s, p->key);

	if (kv == NULL) {
		if (s->kvs_len == FAKESTORE_KEYS_MAX)
			abort();
		kv = &s->kvs[i];
		memmove(kv + 1, kv, (s->kvs_len++ - i) * sizeof(*kv));
		memset(kv, 0, sizeof(*kv));
		kv->key = agb_xstrdup(p->key);
		kv->create_rev = s->revision;
	}
	free(kv->val);
	kv->val = agb_xmemdup(p->val, p->val_len);
	kv->val_len = p->val_len;
	kv->mod_rev = s->revision;
}

static inline void
fakestore_delete(struct fakestore *s, const struct agb_store_write *p)
{
	size_t i = fakestore_lower_bound(s, p->key);

	while (i < s->kvs_len &&
	    (p->range_end != NULL ? strcmp(s->kvs[i].key, p->range_end) < 0
				  : strcmp(s->kvs[i].key, p->key) == 0))
		fakestore_remove(s, i);
}

static inline void
fakestore_txn(struct fakestore *s, struct agb_store_result *res)
{
	const struct agb_store_op *const op = &s->op;
	const struct agb_store_cmp *c;
	const struct agb_store_kv *kv;
	uint64_t rev;
	size_t i;

	for (i = 0; i < op->cmps_len; i++) {
		c = &op->cmps[i];
		kv = fakestore_get(s, c->key);
		rev = kv == NULL			    ? 0
		    : c->target == AGB_STORE_CMP_CREATE_REV ? kv->create_rev
							    : kv->mod_rev;
		if (rev != c->rev)
			return;
	}
	s->revision++;
	for (i = 0; i < op->writes_len; i++) {
		if (op->writes[i].is_delete)
			fakestore_delete(s, &op->writes[i]);
		else
			fakestore_put(s, &op->writes[i]);
	}
	res->succeeded = true;
}

static inline void
fakestore_range(struct fakestore *s, struct agb_store_result *res)
{
	const struct agb_store_op *const op = &s->op;
	struct agb_store_kv *kv;
	size_t i;

	for (i = fakestore_lower_bound(s, op->key); i < s->kvs_len; i++) {
		if (op->range_end != NULL
			? strcmp(s->kvs[i].key, op->range_end) >= 0
			: strcmp(s->kvs[i].key, op->key) != 0)
			break;
		res->kvs = agb_xreallocarray(
		    res->kvs, res->kvs_len + 1, sizeof(*res->kvs));
		kv = &res->kvs[res->kvs_len++];
		*kv = s->kvs[i];
		kv->key = agb_xstrdup(kv->key);
		kv->val =
		    op->keys_only ? NULL : agb_xmemdup(kv->val, kv->val_len);
		if (op->keys_only)
			kv->val_len = 0;
	}
}

static inline void
fakestore_call(struct agb_store *base, uint64_t tag, struct agb_store_op *op,
    uint32_t timeout_ms)
{
	struct fakestore *const s = (struct fakestore *)base;

	(void)timeout_ms;
	s->has_pending = true;
	s->tag = tag;
	s->op = *op;
	memset(op, 0, sizeof(*op));
}

/**
 * fakestore_run_pending() - carry out the pending call and report its result
 * @arg: struct fakestore with a pending call
 */
static inline void
fakestore_run_pending(void *arg)
{
	struct fakestore *const s = arg;
	struct agb_store_result res = {.status = AGB_STORE_OK};
	enum fakestore_fault fault = FAKESTORE_NO_FAULT;
	fakestore_hook hook;

	if (!s->has_pending)
		abort();
	s->has_pending = false;
	if (s->op.kind == AGB_STORE_TXN) {
		s->txn_count++;
		hook = s->before_txn;
		s->before_txn = NULL;
		if (hook != NULL)
			hook(s);
		fault = s->txn_fault;
		s->txn_fault = FAKESTORE_NO_FAULT;
		if (fault == FAKESTORE_NO_FAULT ||
		    fault == FAKESTORE_LOST_REPLY)
			fakestore_txn(s, &res);
		hook = s->after_txn;
		s->after_txn = NULL;
		if (hook != NULL)
			hook(s);
	} else if (s->failing_reads > 0) {
		s->failing_reads--;
		fault = FAKESTORE_REFUSED;
	} else {
		fakestore_range(s, &res);
	}
	agb_store_op_free(&s->op);
	res.revision = s->revision;
	if (fault == FAKESTORE_REFUSED)
		res.status = AGB_STORE_REFUSED;
	else if (fault != FAKESTORE_NO_FAULT)
		res.status = AGB_STORE_LOST;
	s->base.cb(s->base.arg, s->tag, &res);
}

static const struct agb_store_ops fakestore_ops = {.call = fakestore_call};

static inline void
fakestore_init(struct fakestore *s)
{
	memset(s, 0, sizeof(*s));
	s->base.ops = &fakestore_ops;
	s->revision = 1;
}

static inline void
fakestore_free(struct fakestore *s)
{
	while (s->kvs_len > 0)
		fakestore_remove(s, s->kvs_len - 1);
}

/**
 * fakestore_set() - set a key directly, as a write of another client does
 */
static inline void
fakestore_set(struct fakestore *s, const char *key, const char *val)
{
	struct agb_store_write p = {.val_len = strlen(val)};

	p.key = agb_xstrdup(key);
	p.val = agb_xstrdup(val);
	s->revision++;
	fakestore_put(s, &p);
	free(p.key);
	free(p.val);
}

#endif

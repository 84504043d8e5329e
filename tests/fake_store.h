#ifndef FAKE_STORE_H
#define FAKE_STORE_H

/**
 * DOC: fake_store
 *
 * In-memory replacement of the platform's store with key revisions, leases and
 * transactions. Tests can inject faults: a reply lost after the call took
 * effect, a call lost before it took effect, a refusal, or an outage.
 */

#include <stdlib.h>
#include <string.h>

#include "event.h"
#include "mem.h"
#include "store.h"

#define FAKE_KEYS_MAX 512
#define FAKE_LEASES_MAX 64

enum fake_fault {
	FAKE_OK,
	FAKE_LOSE_REPLY, /* the call takes effect but its reply is lost */
	FAKE_LOSE_CALL,	 /* the call is lost before it takes effect */
	FAKE_REFUSE,	 /* refused without effect */
};

/**
 * struct fake_store - state of the store and injected faults
 * @kvs: keys in ascending order
 * @down: outage; every call is lost without taking effect
 * @fault: applied once, to the next transaction that puts a key whose name
 *	contains @fault_key
 * @txns: number of transactions that reached the store
 * @changes: all changes since the test started, for watches
 */
struct fake_store {
	struct agb_store_kv kvs[FAKE_KEYS_MAX];
	size_t len;
	uint64_t revision;
	struct {
		int64_t id;
		agb_time expires_at;
	} leases[FAKE_LEASES_MAX];
	size_t leases_len;
	bool down;
	enum fake_fault fault;
	const char *fault_key;
	unsigned txns;
	struct agb_store_kv changes[4 * FAKE_KEYS_MAX];
	size_t changes_len;
};

static inline struct agb_store_kv
fake_kv_copy(const struct agb_store_kv *kv)
{
	struct agb_store_kv c = *kv;

	c.key = agb_xstrdup(kv->key);
	c.val = kv->val != NULL ? agb_xmemdup(kv->val, kv->val_len) : NULL;
	return c;
}

static inline struct agb_store_kv *
fake_store_find(struct fake_store *s, const char *key)
{
	size_t i;

	for (i = 0; i < s->len; i++) {
		if (strcmp(s->kvs[i].key, key) == 0)
			return &s->kvs[i];
	}
	return NULL;
}

static inline void
fake_store_record_change(struct fake_store *s, const struct agb_store_kv *kv)
{
	if (s->changes_len < 4 * FAKE_KEYS_MAX)
		s->changes[s->changes_len++] = fake_kv_copy(kv);
}

static inline void
fake_store_put(struct fake_store *s, const struct agb_store_write *p)
{
	struct agb_store_kv *kv = fake_store_find(s, p->key);
	size_t i;

	if (kv == NULL) {
		for (i = s->len; i > 0 && strcmp(s->kvs[i - 1].key, p->key) > 0;
		     i--)
			s->kvs[i] = s->kvs[i - 1];
		kv = &s->kvs[i];
		memset(kv, 0, sizeof(*kv));
		kv->key = agb_xstrdup(p->key);
		kv->create_rev = s->revision;
		s->len++;
	}
	free(kv->val);
	kv->val = agb_xmemdup(p->val, p->val_len);
	kv->val_len = p->val_len;
	kv->mod_rev = s->revision;
	kv->lease = p->lease;
	fake_store_record_change(s, kv);
}

static inline bool
fake_in_range(const char *key, const char *from, const char *end)
{
	if (end == NULL)
		return strcmp(key, from) == 0;
	return strcmp(key, from) >= 0 && strcmp(key, end) < 0;
}

static inline void
fake_store_remove(struct fake_store *s, size_t i)
{
	struct agb_store_kv removed = s->kvs[i];

	removed.deleted = true;
	removed.mod_rev = s->revision;
	fake_store_record_change(s, &removed);
	free(removed.key);
	free(removed.val);
	memmove(&s->kvs[i], &s->kvs[i + 1], (--s->len - i) * sizeof(s->kvs[0]));
}

static inline void
fake_store_delete(struct fake_store *s, const char *from, const char *end)
{
	size_t i = s->len;

	while (i-- > 0) {
		if (fake_in_range(s->kvs[i].key, from, end))
			fake_store_remove(s, i);
	}
}

static inline void
fake_store_lease_end(struct fake_store *s, int64_t lease)
{
	size_t i = s->len;

	s->revision++;
	while (i-- > 0) {
		if (s->kvs[i].lease == lease)
			fake_store_remove(s, i);
	}
	for (i = 0; i < s->leases_len; i++) {
		if (s->leases[i].id == lease)
			s->leases[i].expires_at = 0;
	}
}

static inline void
fake_store_expire(struct fake_store *s, agb_time now)
{
	size_t i;

	for (i = 0; i < s->leases_len && !s->down; i++) {
		if (s->leases[i].expires_at != 0 &&
		    s->leases[i].expires_at <= now)
			fake_store_lease_end(s, s->leases[i].id);
	}
}

static inline bool
fake_store_compare(struct fake_store *s, const struct agb_store_op *op)
{
	size_t i;

	for (i = 0; i < op->cmps_len; i++) {
		const struct agb_store_cmp *const c = &op->cmps[i];
		const struct agb_store_kv *const kv =
		    fake_store_find(s, c->key);
		const uint64_t rev = kv == NULL		 ? 0
		    : c->target == AGB_STORE_CMP_MOD_REV ? kv->mod_rev
							 : kv->create_rev;

		if (rev != c->rev)
			return false;
	}
	return true;
}

static inline agb_time *
fake_store_lease_expiry(struct fake_store *s, int64_t id)
{
	size_t i;

	for (i = 0; i < s->leases_len; i++) {
		if (s->leases[i].id == id && s->leases[i].expires_at != 0)
			return &s->leases[i].expires_at;
	}
	return NULL;
}

static inline void
fake_store_txn(struct fake_store *s, const struct agb_store_op *op,
    struct agb_store_result *res)
{
	size_t i;

	s->txns++;
	for (i = 0; i < op->writes_len; i++) {
		if (op->writes[i].lease != 0 &&
		    fake_store_lease_expiry(s, op->writes[i].lease) == NULL) {
			res->status = AGB_STORE_REFUSED;
			return;
		}
	}
	res->succeeded = fake_store_compare(s, op);
	if (res->succeeded) {
		s->revision++;
		for (i = 0; i < op->writes_len; i++) {
			if (op->writes[i].is_delete)
				fake_store_delete(s, op->writes[i].key,
				    op->writes[i].range_end);
			else
				fake_store_put(s, &op->writes[i]);
		}
	}
	res->revision = s->revision;
}

static inline enum fake_fault
fake_store_next_fault(struct fake_store *s, const struct agb_store_op *op)
{
	enum fake_fault f;
	size_t i;

	if (s->down)
		return FAKE_LOSE_CALL;
	for (i = 0; s->fault != FAKE_OK && i < op->writes_len; i++) {
		if (strstr(op->writes[i].key, s->fault_key) != NULL) {
			f = s->fault;
			s->fault = FAKE_OK;
			return f;
		}
	}
	return FAKE_OK;
}

/* Executes one call. The caller owns the result. */
static inline struct agb_store_result
fake_store_call(
    struct fake_store *s, agb_time now, const struct agb_store_op *op)
{
	const enum fake_fault fault = fake_store_next_fault(s, op);
	struct agb_store_result r = {.status = AGB_STORE_OK};
	agb_time *expires_at;
	size_t i;

	if (fault == FAKE_LOSE_CALL || fault == FAKE_REFUSE) {
		r.status =
		    fault == FAKE_REFUSE ? AGB_STORE_REFUSED : AGB_STORE_LOST;
		return r;
	}
	fake_store_expire(s, now);
	r.revision = s->revision;
	switch (op->kind) {
	case AGB_STORE_RANGE:
		r.kvs = agb_xcalloc(op->limit + 1, sizeof(*r.kvs));
		for (i = 0; i < s->len; i++) {
			if (!fake_in_range(
				s->kvs[i].key, op->key, op->range_end))
				continue;
			if (r.kvs_len == op->limit) {
				r.more = true;
				break;
			}
			r.kvs[r.kvs_len++] = fake_kv_copy(&s->kvs[i]);
		}
		break;
	case AGB_STORE_TXN:
		fake_store_txn(s, op, &r);
		break;
	case AGB_STORE_LEASE_GRANT:
		s->leases[s->leases_len].id = (int64_t)s->leases_len + 1;
		s->leases[s->leases_len].expires_at = now + op->ttl_s * AGB_SEC;
		r.lease = s->leases[s->leases_len++].id;
		r.ttl_s = op->ttl_s;
		break;
	case AGB_STORE_LEASE_KEEPALIVE:
		expires_at = fake_store_lease_expiry(s, op->lease);
		if (expires_at != NULL) {
			*expires_at = now + 2 * AGB_SEC;
			r.ttl_s = 2;
		}
		break;
	case AGB_STORE_LEASE_REVOKE:
		fake_store_lease_end(s, op->lease);
		break;
	}
	if (fault == FAKE_LOSE_REPLY) {
		agb_store_result_free(&r);
		r.status = AGB_STORE_LOST;
	}
	return r;
}

static inline void
fake_store_free(struct fake_store *s)
{
	size_t i;

	for (i = 0; i < s->len; i++) {
		free(s->kvs[i].key);
		free(s->kvs[i].val);
	}
	for (i = 0; i < s->changes_len; i++) {
		free(s->changes[i].key);
		free(s->changes[i].val);
	}
	free(s);
}

#endif

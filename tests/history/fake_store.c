#include "fake_store.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void
fake_store_kv_copy(struct agb_store_kv *dst, const struct agb_store_kv *src)
{
	*dst = *src;
	dst->key = agb_xstrdup(src->key);
	dst->val =
	    src->val != NULL ? agb_xmemdup(src->val, src->val_len) : NULL;
}

/* Returns the index of the first key that is not less than @key. */
static size_t
lower_bound(const struct fake_store *s, const char *key)
{
	size_t lo, hi, mid;

	lo = 0;
	hi = s->len;
	while (lo < hi) {
		mid = (lo + hi) / 2;
		if (strcmp(s->kvs[mid].key, key) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static struct agb_store_kv *
find_key(const struct fake_store *s, const char *key)
{
	const size_t i = lower_bound(s, key);

	if (i < s->len && strcmp(s->kvs[i].key, key) == 0)
		return &s->kvs[i];
	return NULL;
}

static void
record_change(struct fake_store *s, const struct agb_store_kv *kv)
{
	s->changes = agb_xreallocarray(
	    s->changes, s->changes_len + 1, sizeof(*s->changes));
	fake_store_kv_copy(&s->changes[s->changes_len++], kv);
}

static void
put_key(struct fake_store *s, const struct agb_store_write *p)
{
	struct agb_store_kv *kv;
	size_t i;

	kv = find_key(s, p->key);
	if (kv == NULL) {
		if (s->len == s->cap) {
			s->cap = s->cap > 0 ? s->cap * 2 : 64;
			s->kvs =
			    agb_xreallocarray(s->kvs, s->cap, sizeof(*s->kvs));
		}
		i = lower_bound(s, p->key);
		memmove(
		    &s->kvs[i + 1], &s->kvs[i], (s->len - i) * sizeof(*s->kvs));
		s->len++;
		kv = &s->kvs[i];
		memset(kv, 0, sizeof(*kv));
		kv->key = agb_xstrdup(p->key);
		kv->create_rev = s->revision;
	}
	free(kv->val);
	kv->val = agb_xmemdup(p->val != NULL ? p->val : "", p->val_len);
	kv->val_len = p->val_len;
	kv->lease = p->lease;
	kv->mod_rev = s->revision;
	record_change(s, kv);
}

static void
delete_at(struct fake_store *s, size_t i)
{
	struct agb_store_kv gone = s->kvs[i];

	s->len--;
	memmove(&s->kvs[i], &s->kvs[i + 1], (s->len - i) * sizeof(*s->kvs));
	free(gone.val);
	gone.val = NULL;
	gone.val_len = 0;
	gone.deleted = true;
	gone.mod_rev = s->revision;
	record_change(s, &gone);
	free(gone.key);
}

static void
delete_range(struct fake_store *s, const char *key, const char *end)
{
	size_t i;

	for (i = lower_bound(s, key); i < s->len;) {
		if (end == NULL ? strcmp(s->kvs[i].key, key) != 0
				: strcmp(s->kvs[i].key, end) >= 0)
			break;
		delete_at(s, i);
	}
}

static void
read_range(const struct fake_store *s, const struct agb_store_op *op,
    struct agb_store_result *res)
{
	size_t i;

	for (i = lower_bound(s, op->key); i < s->len; i++) {
		if (op->range_end == NULL
			? strcmp(s->kvs[i].key, op->key) != 0
			: strcmp(s->kvs[i].key, op->range_end) >= 0)
			break;
		if (op->limit > 0 && res->kvs_len == op->limit) {
			res->more = true;
			break;
		}
		res->kvs = agb_xreallocarray(
		    res->kvs, res->kvs_len + 1, sizeof(*res->kvs));
		fake_store_kv_copy(&res->kvs[res->kvs_len++], &s->kvs[i]);
	}
}

static bool
compare_holds(const struct fake_store *s, const struct agb_store_cmp *c)
{
	const struct agb_store_kv *const kv = find_key(s, c->key);
	uint64_t have;

	if (kv == NULL)
		have = 0;
	else
		have = c->target == AGB_STORE_CMP_CREATE_REV ? kv->create_rev
							     : kv->mod_rev;
	return have == c->rev;
}

static bool
lease_alive(const struct fake_store *s, int64_t id)
{
	size_t i;

	for (i = 0; i < FAKE_LEASES_MAX; i++) {
		if (s->leases[i].id == id)
			return true;
	}
	return false;
}

static void
apply_txn(struct fake_store *s, const struct agb_store_op *op,
    struct agb_store_result *res)
{
	size_t i;

	for (i = 0; i < op->cmps_len; i++) {
		if (!compare_holds(s, &op->cmps[i]))
			return;
	}
	for (i = 0; i < op->writes_len; i++) {
		if (op->writes[i].lease != 0 &&
		    !lease_alive(s, op->writes[i].lease)) {
			res->status = AGB_STORE_REFUSED;
			return;
		}
	}
	res->succeeded = true;
	if (op->writes_len == 0)
		return;
	s->revision++;
	for (i = 0; i < op->writes_len; i++) {
		if (op->writes[i].is_delete)
			delete_range(
			    s, op->writes[i].key, op->writes[i].range_end);
		else
			put_key(s, &op->writes[i]);
	}
}

static void
lease_grant(struct fake_store *s, agb_time now, const struct agb_store_op *op,
    struct agb_store_result *res)
{
	size_t i;

	for (i = 0; i < FAKE_LEASES_MAX; i++) {
		if (s->leases[i].id != 0)
			continue;
		s->leases[i].id = ++s->last_lease_id;
		s->leases[i].ttl = op->ttl_s * AGB_SEC;
		s->leases[i].expires_at = now + s->leases[i].ttl;
		res->lease = s->leases[i].id;
		res->ttl_s = op->ttl_s;
		return;
	}
	res->status = AGB_STORE_REFUSED;
}

static void
lease_remove(struct fake_store *s, size_t i)
{
	const int64_t id = s->leases[i].id;
	size_t j;

	s->leases[i].id = 0;
	s->revision++;
	for (j = 0; j < s->len;) {
		if (s->kvs[j].lease == id)
			delete_at(s, j);
		else
			j++;
	}
}

static void
lease_renew_or_revoke(struct fake_store *s, agb_time now,
    const struct agb_store_op *op, struct agb_store_result *res)
{
	size_t i;

	res->lease = op->lease;
	for (i = 0; i < FAKE_LEASES_MAX; i++) {
		if (op->lease == 0 || s->leases[i].id != op->lease)
			continue;
		if (op->kind == AGB_STORE_LEASE_REVOKE) {
			lease_remove(s, i);
		} else {
			s->leases[i].expires_at = now + s->leases[i].ttl;
			res->ttl_s = (uint32_t)(s->leases[i].ttl / AGB_SEC);
		}
		return;
	}
}

void
fake_store_apply(struct fake_store *s, agb_time now,
    const struct agb_store_op *op, struct agb_store_result *res)
{
	memset(res, 0, sizeof(*res));
	res->status = AGB_STORE_OK;
	s->calls++;
	fake_store_expire(s, now);
	switch (op->kind) {
	case AGB_STORE_RANGE:
		read_range(s, op, res);
		break;
	case AGB_STORE_TXN:
		apply_txn(s, op, res);
		break;
	case AGB_STORE_LEASE_GRANT:
		lease_grant(s, now, op, res);
		break;
	case AGB_STORE_LEASE_KEEPALIVE:
	case AGB_STORE_LEASE_REVOKE:
		lease_renew_or_revoke(s, now, op, res);
		break;
	}
	res->revision = s->revision;
}

void
fake_store_expire(struct fake_store *s, agb_time now)
{
	size_t i;

	for (i = 0; i < FAKE_LEASES_MAX; i++) {
		if (s->leases[i].id != 0 && now >= s->leases[i].expires_at)
			lease_remove(s, i);
	}
}

agb_time
fake_store_next_expiry(const struct fake_store *s)
{
	agb_time t;
	size_t i;

	t = AGB_TIME_MAX;
	for (i = 0; i < FAKE_LEASES_MAX; i++) {
		if (s->leases[i].id != 0 && s->leases[i].expires_at < t)
			t = s->leases[i].expires_at;
	}
	return t;
}

struct agb_store_kv *
fake_store_take_changes(struct fake_store *s, size_t *len)
{
	struct agb_store_kv *const c = s->changes;

	*len = s->changes_len;
	s->changes = NULL;
	s->changes_len = 0;
	return c;
}

void
fake_store_free(struct fake_store *s)
{
	agb_store_kvs_free(s->kvs, s->len);
	agb_store_kvs_free(s->changes, s->changes_len);
	memset(s, 0, sizeof(*s));
}

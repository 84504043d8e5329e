/* Stand-in of the store: keys, leases, transactions, and the feeds of the
 * instances. */

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_table.h"
#include "world.h"

/* Round trips that a full read of all jobs or states takes with a slow
 * store. */
#define FULL_READ_PAGES 4
/* Approximate sizes of a call, and of a write in it without its value, in
 * bytes. */
#define STORE_CALL_BYTES 300
#define STORE_WRITE_BYTES 120

static struct sim_kv *
kv_find(struct sim *s, const char *key)
{
	size_t i;

	for (i = 0; i < s->kvs_len; i++) {
		if (!s->kvs[i].deleted && strcmp(s->kvs[i].key, key) == 0)
			return &s->kvs[i];
	}
	return NULL;
}

static void
history_add(struct sim *s, const struct sim_kv *it)
{
	struct sim_kv *l;

	s->history = agb_xreallocarray(
	    s->history, s->history_len + 1, sizeof(*s->history));
	l = &s->history[s->history_len++];
	*l = *it;
	l->key = agb_xstrdup(it->key);
	l->val = agb_xmemdup(it->val != NULL ? it->val : "", it->len);
}

static void
kv_put(
    struct sim *s, const char *key, const char *val, size_t len, int64_t lease)
{
	struct sim_kv *it;
	size_t i;

	it = kv_find(s, key);
	if (it == NULL) {
		for (i = 0; i < s->kvs_len && !s->kvs[i].deleted; i++)
			;
		if (i == s->kvs_len) {
			s->kvs = agb_xreallocarray(
			    s->kvs, s->kvs_len + 1, sizeof(*s->kvs));
			s->kvs_len++;
		} else {
			free(s->kvs[i].key);
			free(s->kvs[i].val);
		}
		it = &s->kvs[i];
		memset(it, 0, sizeof(*it));
		it->key = agb_xstrdup(key);
		it->create_rev = s->rev;
	}
	free(it->val);
	it->val = agb_xmemdup(val != NULL ? val : "", len);
	it->len = len;
	it->mod_rev = s->rev;
	it->lease = lease;
	history_add(s, it);
}

static void
kv_delete(struct sim *s, const char *key)
{
	struct sim_kv *const it = kv_find(s, key);

	if (it == NULL)
		return;
	it->deleted = true;
	it->mod_rev = s->rev;
	history_add(s, it);
}

static void
lease_end(struct sim *s, int64_t id)
{
	size_t i;

	for (i = 0; i < s->leases_len; i++) {
		if (s->leases[i].id == id)
			break;
	}
	if (i == s->leases_len)
		return;
	s->leases[i] = s->leases[--s->leases_len];
	s->rev++;
	for (i = 0; i < s->kvs_len; i++) {
		if (!s->kvs[i].deleted && s->kvs[i].lease == id)
			kv_delete(s, s->kvs[i].key);
	}
}

void
sim_expire_leases(struct sim *s, struct sim_event *e)
{
	size_t i;

	if (s->store == SIM_STORE_UP) {
		for (i = s->leases_len; i > 0; i--) {
			if (s->now >= s->leases[i - 1].until)
				lease_end(s, s->leases[i - 1].id);
		}
	}
	sim_schedule(s, 20 * SIM_MS, sim_expire_leases);
}

static void
copy_kv(const struct sim_kv *it, struct agb_store_kv *kv)
{
	memset(kv, 0, sizeof(*kv));
	kv->key = agb_xstrdup(it->key);
	kv->val = agb_xmemdup(it->val != NULL ? it->val : "", it->len);
	kv->val_len = it->len;
	kv->create_rev = it->create_rev;
	kv->mod_rev = it->mod_rev;
	kv->lease = it->lease;
	kv->deleted = it->deleted;
}

static struct lease *
lease_find(struct sim *s, int64_t id)
{
	size_t i;

	for (i = 0; i < s->leases_len; i++) {
		if (s->leases[i].id == id)
			return &s->leases[i];
	}
	return NULL;
}

static void
do_txn(
    struct sim *s, const struct agb_store_op *op, struct agb_store_result *res)
{
	struct sim_kv *it;
	size_t i;

	for (i = 0; i < op->writes_len; i++) {
		if (op->writes[i].lease != 0 &&
		    lease_find(s, op->writes[i].lease) == NULL)
			return;
	}
	res->succeeded = true;
	for (i = 0; i < op->cmps_len; i++) {
		it = kv_find(s, op->cmps[i].key);
		if ((it != NULL ? it->mod_rev : 0) != op->cmps[i].rev)
			res->succeeded = false;
	}
	if (!res->succeeded) {
		res->kvs = agb_xcalloc(op->cmps_len + 1, sizeof(*res->kvs));
		for (i = 0; i < op->cmps_len; i++) {
			it = kv_find(s, op->cmps[i].key);
			if (it != NULL)
				copy_kv(it, &res->kvs[res->kvs_len++]);
		}
		return;
	}
	res->revision = ++s->rev;
	for (i = 0; i < op->writes_len; i++) {
		if (op->writes[i].is_delete)
			kv_delete(s, op->writes[i].key);
		else
			kv_put(s, op->writes[i].key, op->writes[i].val,
			    op->writes[i].val_len, op->writes[i].lease);
	}
}

static void
do_op(
    struct sim *s, const struct agb_store_op *op, struct agb_store_result *res)
{
	struct lease *l;
	struct sim_kv *it;

	res->status = AGB_STORE_OK;
	switch (op->kind) {
	case AGB_STORE_RANGE:
		res->revision = s->rev;
		it = kv_find(s, op->key);
		if (it == NULL)
			break;
		res->kvs = agb_xcalloc(1, sizeof(*res->kvs));
		copy_kv(it, &res->kvs[res->kvs_len++]);
		break;
	case AGB_STORE_TXN:
		do_txn(s, op, res);
		break;
	case AGB_STORE_LEASE_GRANT:
		s->leases = agb_xreallocarray(
		    s->leases, s->leases_len + 1, sizeof(*s->leases));
		l = &s->leases[s->leases_len++];
		l->id = ++s->next_lease;
		l->ttl_ms = op->ttl_ms;
		l->until = s->now + op->ttl_ms * SIM_MS;
		res->lease = l->id;
		res->ttl_s = 1;
		break;
	case AGB_STORE_LEASE_KEEPALIVE:
		l = lease_find(s, op->lease);
		if (l == NULL)
			break;
		l->until = s->now + l->ttl_ms * SIM_MS;
		res->ttl_s = 1;
		break;
	case AGB_STORE_LEASE_REVOKE:
		lease_end(s, op->lease);
		break;
	}
}

void
sim_store_call_free(void *data)
{
	struct store_call *const c = data;

	agb_store_op_free(&c->op);
	agb_store_result_free(&c->res);
	free(c);
}

void
sim_store_answer_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_STORE, .tag = e->tag};
	struct store_call *const c = e->data;

	if (!sim_deliver_or_postpone(s, e, sim_store_answer_arrives)) {
		if (e->data != NULL)
			sim_store_call_free(c);
		return;
	}
	ev.flag = c->made_by_peer;
	ev.u.store = &c->res;
	sim_handle_event(s, e->core, &ev);
	sim_store_call_free(c);
}

static void
apply_late_store_op(struct sim *s, struct sim_event *e)
{
	struct store_call *const c = e->data;

	do_op(s, &c->op, &c->res);
	sim_store_call_free(c);
}

/* Carries out a call after @ms, without an answer. */
static void
carry_out_late(struct sim *s, struct store_call *c, unsigned ms)
{
	struct store_call *const copy = agb_xcalloc(1, sizeof(*copy));

	copy->op = c->op;
	memset(&c->op, 0, sizeof(c->op));
	sim_attach(sim_schedule(s, ms * SIM_MS, apply_late_store_op), copy,
	    sim_store_call_free);
	c->res.status = AGB_STORE_LOST;
}

static bool
writes_submission(const struct agb_store_op *op)
{
	const size_t len = strlen(WF_PREFIX_JOBS);
	const char *key;

	if (op->kind != AGB_STORE_TXN || op->writes_len != 1)
		return false;
	key = op->writes[0].key;
	return strncmp(key, WF_PREFIX_JOBS, len) == 0 &&
	    strlen(key + len) == WF_JOB_DIGITS;
}

static void
store_arrives(struct sim *s, struct sim_event *e)
{
	const enum sim_store_mode mode =
	    s->store != SIM_STORE_UP ? s->store : s->cores[e->core].store;
	struct store_call *const c = e->data;
	unsigned *const late_write_ms = &s->cores[e->core].late_write_ms;
	agb_time back;
	struct sim_event *r;

	s->store_calls++;
	back = (s->o.latency_ms + s->store_slow_ms) * SIM_MS;
	if (mode == SIM_STORE_REFUSES) {
		c->res.status = AGB_STORE_REFUSED;
	} else if (mode == SIM_STORE_SILENT) {
		c->res.status = AGB_STORE_LOST;
		back = e->a * SIM_MS;
	} else if ((c->op.kind == AGB_STORE_TXN &&
		       sim_chance(s, s->o.store_lost_percent)) ||
	    (c->op.kind != AGB_STORE_RANGE &&
		sim_chance(s, s->store_loss_percent))) {
		/* Carried out now or later; the reply is lost. */
		carry_out_late(s, c, sim_chance(s, 50) ? 0 : sim_rnd(s, 4000));
		back = e->a * SIM_MS;
	} else if (*late_write_ms > 0 && writes_submission(&c->op)) {
		carry_out_late(s, c, *late_write_ms);
		*late_write_ms = 0;
		back = e->a * SIM_MS;
	} else {
		do_op(s, &c->op, &c->res);
	}
	r = sim_schedule(s, back, sim_store_answer_arrives);
	r->core = e->core;
	r->gen = e->gen;
	r->tag = e->tag;
	sim_attach(r, c, sim_store_call_free);
}

/* Values travel as base64 text. */
static size_t
store_op_bytes(const struct agb_store_op *op)
{
	size_t i, n = STORE_CALL_BYTES;

	for (i = 0; i < op->writes_len; i++)
		n += STORE_WRITE_BYTES + op->writes[i].val_len * 4 / 3;
	return n;
}

void
sim_send_store(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct store_call *const c = agb_xcalloc(1, sizeof(*c));
	struct sim_event *const e = sim_schedule_core(s, ci,
	    sim_link_send(s, ci, store_op_bytes(&ef->u.store)), store_arrives);

	c->op = ef->u.store;
	memset(&ef->u.store, 0, sizeof(ef->u.store));
	e->tag = ef->tag;
	e->a = ef->timeout_ms;
	sim_attach(e, c, sim_store_call_free);
}

static bool
in_feed(enum wf_feed_id id, const char *key)
{
	static const char *const prefixes[WF_FEEDS] = {
	    WF_PREFIX_CONTROL, WF_PREFIX_JOBS, WF_PREFIX_STATES};

	return strncmp(key, prefixes[id], strlen(prefixes[id])) == 0;
}

static void
send_feed(struct sim *s, unsigned ci, enum wf_feed_id id, bool full)
{
	const struct sim_kv *const from = full ? s->kvs : s->history;
	const size_t len = full ? s->kvs_len : s->history_len;
	const uint64_t delivered = s->cores[ci].feeds[id].delivered_rev;
	struct wf_event ev = {.type = WF_EV_FEED};
	struct agb_store_kv *kvs;
	size_t i, n;

	kvs = agb_xcalloc(len + 1, sizeof(*kvs));
	n = 0;
	i = 0;
	if (!full) {
		for (i = len; i > 0 && from[i - 1].mod_rev > delivered; i--)
			;
	}
	for (; i < len; i++) {
		if (!(full && from[i].deleted) && in_feed(id, from[i].key))
			copy_kv(&from[i], &kvs[n++]);
	}
	s->cores[ci].feeds[id].delivered_rev = s->rev;
	s->cores[ci].feeds[id].synced = true;
	ev.u.feed.id = id;
	ev.u.feed.full = full;
	ev.u.feed.revision = s->rev;
	ev.u.feed.items = kvs;
	ev.u.feed.items_len = n;
	if (n > 0 || full)
		sim_handle_event(s, ci, &ev);
	agb_store_kvs_free(kvs, n);
}

static void
poll_feed(struct sim *s, struct sim_event *e)
{
	struct sim_core *const c = &s->cores[e->core];
	const enum wf_feed_id id = (enum wf_feed_id)e->a;
	struct sim_event *again;
	uint64_t generation;
	uint32_t wait_ms;

	if (!sim_deliver_or_postpone(s, e, poll_feed))
		return;
	generation = e->b;
	if (!c->feeds[id].watched || c->feeds[id].generation != generation)
		return;
	if (s->store == SIM_STORE_UP && c->store == SIM_STORE_UP) {
		if (!c->feeds[id].synced ||
		    c->feeds[id].delivered_rev < s->compacted_rev)
			send_feed(s, e->core, id, true);
		else if (c->feeds[id].delivered_rev < s->rev)
			send_feed(s, e->core, id, false);
	}
	if (!c->up || !c->feeds[id].watched ||
	    c->feeds[id].generation != generation)
		return;
	wait_ms = c->feeds[id].interval_ms > 5 ? c->feeds[id].interval_ms : 5;
	/* A slow store answers a watch as late as any other call. */
	wait_ms = wait_ms > s->store_slow_ms ? wait_ms : s->store_slow_ms;
	again = sim_schedule_core(s, e->core, wait_ms * SIM_MS, poll_feed);
	again->a = e->a;
	again->b = generation;
}

void
sim_watch_feed(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	struct sim_core *const c = &s->cores[ci];
	struct sim_event *e;

	c->feeds[ef->feed].watched = ef->flag;
	c->feeds[ef->feed].synced = false;
	c->feeds[ef->feed].interval_ms = 0;
	c->feeds[ef->feed].generation++;
	if (!ef->flag)
		return;
	s->full_reads += ef->feed == WF_FEED_JOBS;
	e = sim_schedule_core(s, ci,
	    (5 +
		s->store_slow_ms *
		    (ef->feed == WF_FEED_CONTROL ? 1 : FULL_READ_PAGES)) *
		SIM_MS,
	    poll_feed);
	e->a = ef->feed;
	e->b = c->feeds[ef->feed].generation;
}

void
sim_set_store_mode(struct sim *s, enum sim_store_mode mode)
{
	s->store = mode;
}

void
sim_set_store_loss(struct sim *s, unsigned percent)
{
	s->store_loss_percent = percent;
}

void
sim_set_store_delay(struct sim *s, unsigned ms)
{
	s->store_slow_ms = ms;
}

void
sim_restart_leases(struct sim *s)
{
	size_t i;

	for (i = 0; i < s->leases_len; i++)
		s->leases[i].until = s->now + s->leases[i].ttl_ms * SIM_MS;
}

void
sim_set_core_store_mode(struct sim *s, unsigned ci, enum sim_store_mode mode)
{
	s->cores[ci].store = mode;
}

void
sim_delay_submission(struct sim *s, unsigned ci, unsigned ms)
{
	s->cores[ci].late_write_ms = ms;
}

bool
sim_has_record(struct sim *s, char kind, const char *id)
{
	char key[WF_KEY_MAX];

	wf_table_make_key(key, kind, id);
	return kv_find(s, key) != NULL;
}

void
sim_compact_store(struct sim *s)
{
	s->compacted_rev = s->rev;
}

char *
sim_state_record(struct sim *s, const char *id, size_t *len)
{
	const struct sim_kv *it;
	char key[WF_KEY_MAX];

	wf_table_make_key(key, 's', id);
	it = kv_find(s, key);
	if (it == NULL)
		return NULL;
	*len = it->len;
	return agb_xmemdup(it->val, it->len);
}

void
sim_set_state_record(struct sim *s, const char *id, const char *val, size_t len)
{
	char key[WF_KEY_MAX];

	wf_table_make_key(key, 's', id);
	s->rev++;
	kv_put(s, key, val, len, 0);
}

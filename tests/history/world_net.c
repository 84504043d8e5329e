#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "proto.h"
#include "world.h"

/* A store call that is lost is given up by the client after its timeout. */
#define STORE_TIMEOUT_MIN (200 * AGB_MS)
/* Changes become visible in the instance list after this lag. */
#define LIST_LAG (1500 * AGB_MS)

bool
w_linked(const struct world *w, uint32_t a, uint32_t b)
{
	if (strcmp(w->nodes[a].domain, w->nodes[b].domain) == 0)
		return true;
	return !w->nodes[a].cut && !w->nodes[b].cut;
}

static bool
lost(struct world *w)
{
	return w->loss > 0 && w_draw(w) < w->loss;
}

static struct agb_effect *
keep(const struct agb_effect *ef)
{
	struct agb_effect *const k = agb_xcalloc(1, sizeof(*k));

	*k = *ef;
	return k;
}

static void
rpc_send(struct world *w, agb_time at, uint32_t to, size_t id,
    const struct agb_effect *ef)
{
	struct msg *const m = w_push(w, at, M_RPC_REQ);

	m->node = to;
	m->incarnation = w->nodes[to].incarnation;
	m->x = id;
	m->ef = keep(ef);
}

void
w_rpc_call(struct world *w, uint32_t n, struct agb_effect *ef)
{
	struct agb_effect twice;
	agb_time at;
	struct msg *m;
	struct rpc *r;
	uint32_t to;
	size_t id;

	w->rpcs = agb_xreallocarray(w->rpcs, w->rpcs_len + 1, sizeof(*r));
	id = w->rpcs_len++;
	r = &w->rpcs[id];
	memset(r, 0, sizeof(*r));
	r->node = n;
	r->incarnation = w->nodes[n].incarnation;
	r->tag = ef->tag;
	for (to = 0; to < W_NODES; to++) {
		if (strcmp(w->nodes[to].rpc, ef->peer) == 0)
			break;
	}
	if (to == W_NODES || (!w->nodes[to].up && w_linked(w, n, to))) {
		m = w_push(w, w->now + w_delay(w), M_RPC_LOST);
		m->x = id;
		agb_effect_free(ef);
		return;
	}
	m = w_push(w, w->now + ef->timeout_ms * AGB_MS, M_RPC_LOST);
	m->x = id;
	m->flag = true;
	if (!w_linked(w, n, to) || lost(w)) {
		agb_effect_free(ef);
		return;
	}
	at = w->now + w_delay(w);
	if (lost(w)) {
		/* A doubled request follows the first at once: one connection
		 * carries both, so that none comes after the answer. */
		twice = *ef;
		agb_proto_clone((xdrproc_t)xdr_agb_x_args, &twice.u.rpc_args,
		    &ef->u.rpc_args, sizeof(agb_x_args));
		rpc_send(w, at, to, id, &twice);
	}
	rpc_send(w, at, to, id, ef);
}

void
w_rpc_reply(struct world *w, struct agb_effect *ef)
{
	const size_t id = (size_t)ef->token - 1;
	struct msg *m;

	if (id >= w->rpcs_len || w->rpcs[id].done || lost(w)) {
		agb_effect_free(ef);
		return;
	}
	m = w_push(w, w->now + w_delay(w), M_RPC_RES);
	m->x = id;
	m->ef = keep(ef);
}

static void
rpc_request(struct world *w, struct msg *m)
{
	struct agb_event ev = {.type = AGB_EV_RPC_CALL};
	const struct wnode *const to = &w->nodes[m->node];
	struct msg *back;

	if (!w_linked(w, w->rpcs[m->x].node, m->node))
		return;
	if (!to->up || to->incarnation != m->incarnation) {
		back = w_push(w, w->now + w_delay(w), M_RPC_LOST);
		back->x = m->x;
		back->flag = true;
		return;
	}
	ev.token = m->x + 1;
	ev.u.rpc_args = m->ef->u.rpc_args;
	w_event(w, m->node, &ev);
}

void
w_rpc_msg(struct world *w, struct msg *m)
{
	struct agb_event ev = {.type = AGB_EV_RPC_REPLY};
	struct rpc *r;

	if (m->kind == M_RPC_REQ) {
		rpc_request(w, m);
		return;
	}
	r = &w->rpcs[m->x];
	if (r->done || w->nodes[r->node].incarnation != r->incarnation)
		return;
	r->done = true;
	ev.tag = r->tag;
	ev.rpc_ok = m->kind == M_RPC_RES;
	ev.rpc_sent = m->flag;
	if (ev.rpc_ok)
		ev.u.rpc_res = m->ef->u.rpc_res;
	w_event(w, r->node, &ev);
}

static void
watch_tell(struct world *w, struct watch *v, const struct agb_store_kv *kvs,
    size_t len, bool broken)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct agb_ev_watch *const e = &ev->u.watch;
	struct msg *m;
	size_t i;

	ev->type = AGB_EV_WATCH;
	ev->tag = v->tag;
	e->broken = broken;
	e->revision = w->store.revision;
	for (i = 0; i < len; i++) {
		e->kvs =
		    agb_xreallocarray(e->kvs, e->kvs_len + 1, sizeof(*e->kvs));
		fake_store_kv_copy(&e->kvs[e->kvs_len++], &kvs[i]);
	}
	/* One connection carries a watch, so its changes keep their order. */
	v->last_at = (v->last_at > w->now ? v->last_at : w->now) + 500;
	m = w_push(w, v->last_at, M_EVENT);
	m->node = v->node;
	m->incarnation = v->incarnation;
	m->ev = ev;
}

static bool
watched(const struct watch *v, const char *key)
{
	if (v->range_end == NULL)
		return strcmp(key, v->key) == 0;
	return strcmp(key, v->key) >= 0 && strcmp(key, v->range_end) < 0;
}

static bool
watch_reachable(const struct world *w, const struct watch *v)
{
	return !w->store_down && !w->nodes[v->node].cut;
}

/* Passes the changes of the store on to the watches. */
static void
spread_changes(struct world *w)
{
	struct agb_store_kv *kvs;
	struct watch *v;
	size_t len, i, j;

	kvs = fake_store_changes(&w->store, &len);
	if (len == 0)
		return;
	for (i = 0; i < w->watches_len; i++) {
		v = &w->watches[i];
		for (j = 0; j < len && !v->broken; j++) {
			if (watched(v, kvs[j].key) && watch_reachable(w, v))
				watch_tell(w, v, &kvs[j], 1, false);
		}
	}
	w->log = agb_xreallocarray(w->log, w->log_len + len, sizeof(*w->log));
	memcpy(w->log + w->log_len, kvs, len * sizeof(*kvs));
	w->log_len += len;
	free(kvs);
}

void
w_watch_open(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	const struct agb_ef_watch *const e = &ef->u.watch;
	struct watch *v;
	size_t i;

	w->watches =
	    agb_xreallocarray(w->watches, w->watches_len + 1, sizeof(*v));
	v = &w->watches[w->watches_len++];
	memset(v, 0, sizeof(*v));
	v->node = n;
	v->incarnation = w->nodes[n].incarnation;
	v->tag = ef->tag;
	v->key = agb_xstrdup(e->key);
	v->range_end = e->range_end != NULL ? agb_xstrdup(e->range_end) : NULL;
	if (!watch_reachable(w, v)) {
		v->broken = true;
		watch_tell(w, v, NULL, 0, true);
		return;
	}
	for (i = 0; i < w->log_len && e->from_rev > 0; i++) {
		if (w->log[i].mod_rev >= e->from_rev &&
		    watched(v, w->log[i].key))
			watch_tell(w, v, &w->log[i], 1, false);
	}
}

void
w_watch_close(struct world *w, uint32_t n, uint64_t tag)
{
	size_t i;

	for (i = 0; i < w->watches_len; i++) {
		if (w->watches[i].node == n && w->watches[i].tag == tag)
			w->watches[i].broken = true;
	}
}

/* Called when an outage or a cut ends: connections that missed changes are
 * found broken. */
void
w_watches_break(struct world *w)
{
	struct watch *v;
	size_t i;

	for (i = 0; i < w->watches_len; i++) {
		v = &w->watches[i];
		if (v->broken || !w->nodes[v->node].up ||
		    v->incarnation != w->nodes[v->node].incarnation)
			continue;
		v->broken = true;
		watch_tell(w, v, NULL, 0, true);
	}
}

static void
plan_expiry(struct world *w)
{
	const agb_time t = fake_store_next_expiry(&w->store);

	if (t != AGB_TIME_MAX)
		w_push(w, t, M_STORE_EXPIRE);
}

static void
store_answer(
    struct world *w, size_t id, agb_time at, struct agb_store_result *res)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct msg *m;

	ev->type = AGB_EV_STORE;
	ev->tag = w->store_calls[id].tag;
	ev->u.store = *res;
	m = w_push(w, at, M_STORE_RES);
	m->x = id;
	m->ev = ev;
}

void
w_store_call(struct world *w, uint32_t n, struct agb_effect *ef)
{
	struct agb_store_result res = {.status = AGB_STORE_LOST};
	const agb_time timeout = ef->timeout_ms * AGB_MS;
	struct store_call *c;
	struct msg *m;
	agb_time delay;
	size_t id;

	w->store_calls = agb_xreallocarray(
	    w->store_calls, w->store_calls_len + 1, sizeof(*c));
	id = w->store_calls_len++;
	c = &w->store_calls[id];
	memset(c, 0, sizeof(*c));
	c->node = n;
	c->incarnation = w->nodes[n].incarnation;
	c->tag = ef->tag;
	c->lose = w_draw(w) < w->store_lose;
	if (w->store_down && w_draw(w) < 0.5) {
		res.status = AGB_STORE_REFUSED;
		store_answer(w, id, w->now + w_delay(w), &res);
		agb_effect_free(ef);
		return;
	}
	store_answer(w, id,
	    w->now +
		(timeout > STORE_TIMEOUT_MIN ? timeout : STORE_TIMEOUT_MIN),
	    &res);
	if (w->store_down || w->nodes[n].cut || lost(w)) {
		agb_effect_free(ef);
		return;
	}
	delay = w_delay(w);
	if (w->store_slow)
		delay += (agb_time)(w_draw(w) * 1.5e6);
	m = w_push(w, w->now + delay, M_STORE_REQ);
	m->x = id;
	m->ef = keep(ef);
}

static void
store_request(struct world *w, struct msg *m)
{
	struct store_call *const c = &w->store_calls[m->x];
	struct agb_store_result res;

	if (w->store_down)
		return;
	fake_store_apply(&w->store, w->now, &m->ef->u.store, &res);
	spread_changes(w);
	if (m->ef->u.store.kind == AGB_STORE_LEASE_GRANT)
		plan_expiry(w);
	if (c->lose || w->nodes[c->node].cut || lost(w)) {
		agb_store_result_free(&res);
		return;
	}
	store_answer(w, m->x, w->now + w_delay(w), &res);
}

void
w_store_msg(struct world *w, struct msg *m)
{
	struct store_call *c;

	switch (m->kind) {
	case M_STORE_REQ:
		store_request(w, m);
		return;
	case M_STORE_EXPIRE:
		fake_store_expire(&w->store, w->now);
		spread_changes(w);
		plan_expiry(w);
		return;
	default:
		break;
	}
	c = &w->store_calls[m->x];
	if (c->done || w->nodes[c->node].incarnation != c->incarnation)
		return;
	c->done = true;
	w_event(w, c->node, m->ev);
}

void
w_store_put(
    struct world *w, struct agb_store_op *op, struct agb_store_result *res)
{
	fake_store_apply(&w->store, w->now, op, res);
	spread_changes(w);
}

void
w_list_add(struct world *w, const struct agb_instance *it)
{
	w->list = agb_xreallocarray(w->list, w->list_len + 1, sizeof(*w->list));
	w->list_at =
	    agb_xreallocarray(w->list_at, w->list_len + 1, sizeof(*w->list_at));
	w->list[w->list_len] = *it;
	w->list_at[w->list_len] =
	    w->now + (w->now > 10 * AGB_SEC ? LIST_LAG : 0);
	w->list_len++;
}

void
w_list_read(struct world *w, uint32_t n, uint64_t since)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct agb_ev_instances *const l = &ev->u.list;
	const bool fails = w->nodes[n].cut || lost(w);
	struct msg *m;
	size_t i;

	ev->type = AGB_EV_INSTANCES;
	m = w_push(w, w->now + w_delay(w) + (fails ? 2 * AGB_SEC : 0), M_EVENT);
	m->node = n;
	m->incarnation = w->nodes[n].incarnation;
	m->ev = ev;
	if (fails)
		return;
	l->ok = true;
	l->full = since == 0;
	l->items = agb_xcalloc(w->list_len, sizeof(*l->items));
	for (i = (size_t)since; i < w->list_len; i++) {
		if (w->list_at[i] > w->now)
			break;
		l->items[l->items_len++] = w->list[i];
	}
	l->version = i;
}

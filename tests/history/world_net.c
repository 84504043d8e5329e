#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "proto.h"
#include "world.h"

/* Shortest time after which a client gives up a lost store call. */
#define STORE_TIMEOUT_MIN (200 * AGB_MS)
/* Time until a change appears in the platform's instance list. */
#define LIST_LAG (1500 * AGB_MS)

/* Returns whether messages between two nodes can arrive: always within a domain,
 * and between domains while neither is partitioned. */
bool
w_connected(const struct world *w, uint32_t a, uint32_t b)
{
	if (strcmp(w->nodes[a].domain, w->nodes[b].domain) == 0)
		return true;
	return !w->nodes[a].partitioned && !w->nodes[b].partitioned;
}

static bool
message_lost(struct world *w)
{
	return w->message_loss > 0 && w_random(w) < w->message_loss;
}

static struct agb_effect *
effect_dup(const struct agb_effect *ef)
{
	struct agb_effect *const k = agb_xcalloc(1, sizeof(*k));

	*k = *ef;
	return k;
}

/* Schedules the arrival of an RPC request. Takes ownership of the memory that
 * @ef refers to, but not of @ef. */
static void
rpc_send(struct world *w, agb_time at, uint32_t to, size_t id,
    const struct agb_effect *ef)
{
	struct sim_event *const m = w_schedule(w, at, SIM_RPC_REQ);

	m->node = to;
	m->incarnation = w->nodes[to].incarnation;
	m->index = id;
	m->ef = effect_dup(ef);
}

void
w_rpc_call(struct world *w, uint32_t n, struct agb_effect *ef)
{
	struct agb_effect twice;
	agb_time at;
	struct sim_event *m;
	struct rpc_call *r;
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
	if (to == W_NODES || (!w->nodes[to].up && w_connected(w, n, to))) {
		m = w_schedule(w, w->now + w_random_delay(w), SIM_RPC_LOST);
		m->index = id;
		agb_effect_free(ef);
		return;
	}
	m = w_schedule(w, w->now + ef->timeout_ms * AGB_MS, SIM_RPC_LOST);
	m->index = id;
	m->flag = true;
	if (!w_connected(w, n, to) || message_lost(w)) {
		agb_effect_free(ef);
		return;
	}
	at = w->now + w_random_delay(w);
	if (message_lost(w)) {
		/* A duplicate arrives right after the original, because one
		 * connection carries both. It can't arrive after the answer. */
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
	struct sim_event *m;

	if (id >= w->rpcs_len || w->rpcs[id].done || message_lost(w)) {
		agb_effect_free(ef);
		return;
	}
	m = w_schedule(w, w->now + w_random_delay(w), SIM_RPC_RES);
	m->index = id;
	m->ef = effect_dup(ef);
}

static void
on_rpc_request(struct world *w, struct sim_event *m)
{
	struct agb_event ev = {.type = AGB_EV_RPC_CALL};
	const struct sim_node *const to = &w->nodes[m->node];
	struct sim_event *back;

	if (!w_connected(w, w->rpcs[m->index].node, m->node))
		return;
	if (!to->up || to->incarnation != m->incarnation) {
		back = w_schedule(w, w->now + w_random_delay(w), SIM_RPC_LOST);
		back->index = m->index;
		back->flag = true;
		return;
	}
	ev.token = m->index + 1;
	ev.u.rpc_args = m->ef->u.rpc_args;
	w_deliver(w, m->node, &ev);
}

void
w_rpc_msg(struct world *w, struct sim_event *m)
{
	struct agb_event ev = {.type = AGB_EV_RPC_REPLY};
	struct rpc_call *r;

	if (m->kind == SIM_RPC_REQ) {
		on_rpc_request(w, m);
		return;
	}
	r = &w->rpcs[m->index];
	if (r->done || w->nodes[r->node].incarnation != r->incarnation)
		return;
	r->done = true;
	ev.tag = r->tag;
	ev.rpc_ok = m->kind == SIM_RPC_RES;
	ev.rpc_sent = m->flag;
	if (ev.rpc_ok)
		ev.u.rpc_res = m->ef->u.rpc_res;
	w_deliver(w, r->node, &ev);
}

static void
watch_send(struct world *w, struct watch *v, const struct agb_store_kv *kvs,
    size_t len, bool broken)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct agb_ev_watch *const e = &ev->u.watch;
	struct sim_event *m;
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
	/* A watch uses one connection, so its changes arrive in order. */
	v->last_delivery_at =
	    (v->last_delivery_at > w->now ? v->last_delivery_at : w->now) + 500;
	m = w_schedule(w, v->last_delivery_at, SIM_NODE_EVENT);
	m->node = v->node;
	m->incarnation = v->incarnation;
	m->ev = ev;
}

static bool
watch_covers(const struct watch *v, const char *key)
{
	if (v->range_end == NULL)
		return strcmp(key, v->key) == 0;
	return strcmp(key, v->key) >= 0 && strcmp(key, v->range_end) < 0;
}

static bool
watch_reachable(const struct world *w, const struct watch *v)
{
	return !w->store_down && !w->nodes[v->node].partitioned;
}

/* Sends new changes of the store to the watches that cover them. */
static void
notify_watches(struct world *w)
{
	struct agb_store_kv *kvs;
	struct watch *v;
	size_t len, i, j;

	kvs = fake_store_take_changes(&w->store, &len);
	if (len == 0)
		return;
	for (i = 0; i < w->watches_len; i++) {
		v = &w->watches[i];
		for (j = 0; j < len && !v->broken; j++) {
			if (watch_covers(v, kvs[j].key) &&
			    watch_reachable(w, v))
				watch_send(w, v, &kvs[j], 1, false);
		}
	}
	w->store_changes = agb_xreallocarray(w->store_changes,
	    w->store_changes_len + len, sizeof(*w->store_changes));
	memcpy(
	    w->store_changes + w->store_changes_len, kvs, len * sizeof(*kvs));
	w->store_changes_len += len;
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
		watch_send(w, v, NULL, 0, true);
		return;
	}
	for (i = 0; i < w->store_changes_len && e->from_rev > 0; i++) {
		if (w->store_changes[i].mod_rev >= e->from_rev &&
		    watch_covers(v, w->store_changes[i].key))
			watch_send(w, v, &w->store_changes[i], 1, false);
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

/* Breaks all watches at the end of a store outage or a network partition,
 * because they may have missed changes. */
void
w_watches_disconnect(struct world *w)
{
	struct watch *v;
	size_t i;

	for (i = 0; i < w->watches_len; i++) {
		v = &w->watches[i];
		if (v->broken || !w->nodes[v->node].up ||
		    v->incarnation != w->nodes[v->node].incarnation)
			continue;
		v->broken = true;
		watch_send(w, v, NULL, 0, true);
	}
}

static void
schedule_expiry(struct world *w)
{
	const agb_time t = fake_store_next_expiry(&w->store);

	if (t != AGB_TIME_MAX)
		w_schedule(w, t, SIM_STORE_EXPIRE);
}

static void
send_store_answer(
    struct world *w, size_t id, agb_time at, struct agb_store_result *res)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct sim_event *m;

	ev->type = AGB_EV_STORE;
	ev->tag = w->store_calls[id].tag;
	ev->u.store = *res;
	m = w_schedule(w, at, SIM_STORE_RES);
	m->index = id;
	m->ev = ev;
}

void
w_store_call(struct world *w, uint32_t n, struct agb_effect *ef)
{
	struct agb_store_result res = {.status = AGB_STORE_LOST};
	const agb_time timeout = ef->timeout_ms * AGB_MS;
	struct store_call *c;
	struct sim_event *m;
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
	c->drop_answer = w_random(w) < w->store_answer_loss;
	if (w->store_down && w_random(w) < 0.5) {
		res.status = AGB_STORE_REFUSED;
		send_store_answer(w, id, w->now + w_random_delay(w), &res);
		agb_effect_free(ef);
		return;
	}
	send_store_answer(w, id,
	    w->now +
		(timeout > STORE_TIMEOUT_MIN ? timeout : STORE_TIMEOUT_MIN),
	    &res);
	if (w->store_down || w->nodes[n].partitioned || message_lost(w)) {
		agb_effect_free(ef);
		return;
	}
	delay = w_random_delay(w);
	if (w->store_slow)
		delay += (agb_time)(w_random(w) * 1.5e6);
	m = w_schedule(w, w->now + delay, SIM_STORE_REQ);
	m->index = id;
	m->ef = effect_dup(ef);
}

static void
on_store_request(struct world *w, struct sim_event *m)
{
	struct store_call *const c = &w->store_calls[m->index];
	struct agb_store_result res;

	if (w->store_down)
		return;
	fake_store_apply(&w->store, w->now, &m->ef->u.store, &res);
	notify_watches(w);
	if (m->ef->u.store.kind == AGB_STORE_LEASE_GRANT)
		schedule_expiry(w);
	if (c->drop_answer || w->nodes[c->node].partitioned ||
	    message_lost(w)) {
		agb_store_result_free(&res);
		return;
	}
	send_store_answer(w, m->index, w->now + w_random_delay(w), &res);
}

void
w_store_msg(struct world *w, struct sim_event *m)
{
	struct store_call *c;

	switch (m->kind) {
	case SIM_STORE_REQ:
		on_store_request(w, m);
		return;
	case SIM_STORE_EXPIRE:
		fake_store_expire(&w->store, w->now);
		notify_watches(w);
		schedule_expiry(w);
		return;
	default:
		break;
	}
	c = &w->store_calls[m->index];
	if (c->done || w->nodes[c->node].incarnation != c->incarnation)
		return;
	c->done = true;
	w_deliver(w, c->node, m->ev);
}

void
w_store_apply(
    struct world *w, struct agb_store_op *op, struct agb_store_result *res)
{
	fake_store_apply(&w->store, w->now, op, res);
	notify_watches(w);
}

void
w_list_update(struct world *w, const struct agb_instance *it)
{
	w->instances = agb_xreallocarray(
	    w->instances, w->instances_len + 1, sizeof(*w->instances));
	w->visible_at = agb_xreallocarray(
	    w->visible_at, w->instances_len + 1, sizeof(*w->visible_at));
	w->instances[w->instances_len] = *it;
	w->visible_at[w->instances_len] =
	    w->now + (w->now > 10 * AGB_SEC ? LIST_LAG : 0);
	w->instances_len++;
}

void
w_list_instances(struct world *w, uint32_t n, uint64_t since)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct agb_ev_instances *const l = &ev->u.list;
	const bool fails = w->nodes[n].partitioned || message_lost(w);
	struct sim_event *m;
	size_t i;

	ev->type = AGB_EV_INSTANCES;
	m = w_schedule(w,
	    w->now + w_random_delay(w) + (fails ? 2 * AGB_SEC : 0),
	    SIM_NODE_EVENT);
	m->node = n;
	m->incarnation = w->nodes[n].incarnation;
	m->ev = ev;
	if (fails)
		return;
	l->ok = true;
	l->full = since == 0;
	l->items = agb_xcalloc(w->instances_len, sizeof(*l->items));
	for (i = (size_t)since; i < w->instances_len; i++) {
		if (w->visible_at[i] > w->now)
			break;
		l->items[l->items_len++] = w->instances[i];
	}
	l->version = i;
}

/* Calls between instances: pushes, puts and pings. */

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

/* Approximate size of a record in a push, in bytes. */
#define RECORD_BYTES 60

struct put_call {
	struct wf_record r;
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	uint32_t timeout_ms;
};

struct push_call {
	struct wf_push push;
};

static void
push_call_free(void *data)
{
	struct push_call *const c = data;
	size_t i;

	for (i = 0; i < c->push.len; i++)
		free(c->push.items[i].val);
	free(c->push.items);
	free(c);
}

static void
push_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUSH};
	struct push_call *const c = e->data;
	struct agb_store_kv *kvs;
	size_t i;

	if (!sim_deliver_or_postpone(s, e, push_arrives)) {
		if (e->data != NULL)
			push_call_free(c);
		return;
	}
	kvs = agb_xcalloc(c->push.len + 1, sizeof(*kvs));
	for (i = 0; i < c->push.len; i++) {
		kvs[i].key = c->push.items[i].key;
		kvs[i].val = c->push.items[i].val;
		kvs[i].val_len = c->push.items[i].len;
		kvs[i].mod_rev = c->push.items[i].revision;
	}
	ev.u.feed.items = kvs;
	ev.u.feed.items_len = c->push.len;
	sim_handle_event(s, e->core, &ev);
	free(kvs);
	push_call_free(c);
}

void
sim_send_push(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct push_call *const c = agb_xcalloc(1, sizeof(*c));
	struct sim_event *e;

	c->push = ef->u.push;
	memset(&ef->u.push, 0, sizeof(ef->u.push));
	e = sim_schedule_core(s, sim_core_by_addr(ef->peer),
	    sim_link_send(s, ci, CALL_BYTES + RECORD_BYTES * c->push.len),
	    push_arrives);
	sim_attach(e, c, push_call_free);
}

static void
put_call_free(void *data)
{
	struct put_call *const c = data;

	free(c->r.val);
	free(c);
}

/* Delivers a put to a peer. */
static void
put_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUT};
	struct put_call *const c = e->data;

	if (!sim_deliver_or_postpone(s, e, put_arrives)) {
		if (e->data != NULL)
			put_call_free(c);
		return;
	}
	s->puts = agb_xreallocarray(s->puts, s->puts_len + 1, sizeof(*s->puts));
	s->puts[s->puts_len].core = c->from;
	s->puts[s->puts_len].gen = c->from_gen;
	s->puts[s->puts_len++].tag = c->tag;
	ev.tag = s->puts_len;
	ev.u.put.key = c->r.key;
	ev.u.put.val = c->r.val;
	ev.u.put.len = c->r.len;
	ev.u.put.timeout_ms = c->timeout_ms;
	sim_handle_event(s, e->core, &ev);
	put_call_free(c);
}

void
sim_send_put(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct put_call *const c = agb_xcalloc(1, sizeof(*c));
	const unsigned to = sim_core_by_addr(ef->peer);
	struct sim_event *e;

	s->relayed_writes++;
	c->r = ef->u.record;
	ef->u.record.val = NULL;
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	c->timeout_ms = ef->timeout_ms;
	e = sim_schedule_core(s, to, sim_message_delay(s, ci), put_arrives);
	sim_attach(e, c, put_call_free);
	/* Without a reply before this event, the outcome of the put is
	 * unknown. */
	e = sim_schedule_core(s, ci, sim_call_timeout(s, ci, ef->timeout_ms),
	    sim_store_answer_arrives);
	e->tag = ef->tag;
	sim_attach(
	    e, agb_xcalloc(1, sizeof(struct store_call)), sim_store_call_free);
	((struct store_call *)e->data)->res.status = AGB_STORE_LOST;
}

static void
ping_result_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_ACK, .tag = e->tag};

	if (!sim_deliver_or_postpone(s, e, ping_result_arrives))
		return;
	ev.flag = e->a != 0;
	sim_handle_event(s, e->core, &ev);
}

void
sim_send_ping(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const struct sim_core *const to = &s->cores[sim_core_by_addr(ef->peer)];
	const agb_time arrives_at = s->now + sim_message_delay(s, ci);
	const agb_time answer_in =
	    agb_time_max(arrives_at, to->cpu.busy_until) - s->now +
	    s->o.latency_ms * SIM_MS;
	const agb_time timeout = sim_call_timeout(s, ci, ef->timeout_ms);
	const bool ok = to->up && s->now >= to->frozen_until &&
	    sim_linked(s, ci, sim_core_by_addr(ef->peer)) &&
	    answer_in <= timeout;
	struct sim_event *const e = sim_schedule_core(
	    s, ci, ok ? answer_in : timeout, ping_result_arrives);

	e->tag = ef->tag;
	e->a = ok;
}

void
sim_send_put_reply(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const size_t i = (size_t)ef->tag - 1;
	struct store_call *c;
	struct sim_event *e;

	e = sim_schedule(s, sim_message_delay(s, ci), sim_store_answer_arrives);
	e->core = s->puts[i].core;
	e->gen = s->puts[i].gen;
	e->tag = s->puts[i].tag;
	c = agb_xcalloc(1, sizeof(*c));
	c->res.status = ef->u.put_result.status;
	c->res.succeeded = ef->u.put_result.stored;
	c->res.revision = ef->u.put_result.revision;
	c->made_by_peer = true;
	sim_attach(e, c, sim_store_call_free);
}

/* Calls between instances that carry relayed orders, their results and the
 * payloads of jobs. */

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

/* Approximate sizes of a result and of a run in it, in bytes. */
#define RESULT_BYTES 60
#define RUN_BYTES 40

struct batch_call {
	struct wf_order_batch o;
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	bool answered;
};

struct results_call {
	struct wf_result_batch r;
};

static void
batch_call_free(void *data)
{
	struct batch_call *const c = data;

	wf_order_batch_free(&c->o);
	free(c);
}

static void
orders_ack_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_ORDERS_ACK, .tag = e->tag};

	if (!sim_deliver_or_postpone(s, e, orders_ack_arrives))
		return;
	ev.u.orders_ack.answered = e->a != 0;
	ev.u.orders_ack.may_have_arrived = e->a != 0 || e->data != NULL;
	ev.u.orders_ack.accepted = e->a == 2;
	ev.u.orders_ack.peer_clock = e->b;
	sim_handle_event(s, e->core, &ev);
}

static void
orders_timeout(struct sim *s, struct sim_event *e)
{
	size_t i;

	for (i = 0; i < s->calls_len; i++) {
		if (s->calls[i].core == e->core && s->calls[i].gen == e->gen &&
		    s->calls[i].tag == e->tag && s->calls[i].answered)
			return;
	}
	e->a = 0;
	e->data = s;
	orders_ack_arrives(s, e);
}

static void
orders_arrive(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_ORDERS};
	struct batch_call *const c = e->data;

	if (!sim_deliver_or_postpone(s, e, orders_arrive)) {
		if (e->data != NULL)
			batch_call_free(c);
		return;
	}
	s->calls =
	    agb_xreallocarray(s->calls, s->calls_len + 1, sizeof(*s->calls));
	s->calls[s->calls_len].answered = false;
	s->calls[s->calls_len].core = c->from;
	s->calls[s->calls_len].gen = c->from_gen;
	s->calls[s->calls_len++].tag = c->tag;
	ev.tag = s->calls_len;
	ev.u.orders = &c->o;
	sim_handle_event(s, e->core, &ev);
	batch_call_free(c);
}

static size_t
batch_bytes(const struct wf_order_batch *o)
{
	size_t i, n = CALL_BYTES + ORDER_BYTES * o->runners_len;

	for (i = 0; i < o->len; i++)
		n += o->items[i].kind == WF_ORDER_START
		    ? START_BYTES + o->items[i].payload_len
		    : ORDER_BYTES;
	return n;
}

void
sim_send_orders(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	const unsigned to = sim_core_by_addr(ef->peer);
	struct batch_call *c;
	struct sim_event *e;
	size_t i;

	for (i = 0; i < ef->u.orders.len; i++)
		s->payload_bytes += (unsigned)ef->u.orders.items[i].payload_len;
	if (!s->cores[to].up || !sim_linked(s, ci, to)) {
		e = sim_schedule_core(s, ci,
		    s->cores[to].up ? sim_call_timeout(s, ci, ef->timeout_ms)
				    : sim_message_delay(s, ci),
		    orders_ack_arrives);
		e->tag = ef->tag;
		return;
	}
	c = agb_xcalloc(1, sizeof(*c));
	c->o = ef->u.orders;
	memset(&ef->u.orders, 0, sizeof(ef->u.orders));
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	e = sim_schedule_core(
	    s, to, sim_link_send(s, ci, batch_bytes(&c->o)), orders_arrive);
	sim_attach(e, c, batch_call_free);
	/* Without a reply before this event, the outcome is unknown. The
	 * timeout of a call that was answered has no effect. */
	e = sim_schedule_core(
	    s, ci, sim_call_timeout(s, ci, ef->timeout_ms), orders_timeout);
	e->tag = ef->tag;
}

void
sim_send_orders_reply(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const size_t i = (size_t)ef->tag - 1;
	struct sim_event *e;

	if (!sim_linked(s, ci, s->calls[i].core))
		return;
	s->calls[i].answered = true;
	e = sim_schedule(s, sim_message_delay(s, ci), orders_ack_arrives);
	e->core = s->calls[i].core;
	e->gen = s->calls[i].gen;
	e->tag = s->calls[i].tag;
	e->a = ef->flag ? 2 : 1;
	e->b = ef->clock;
}

static void
results_call_free(void *data)
{
	struct results_call *const c = data;

	wf_result_batch_free(&c->r);
	free(c);
}

static void
results_arrive(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_RESULTS};
	struct results_call *const c = e->data;

	if (sim_deliver_or_postpone(s, e, results_arrive)) {
		ev.u.results = &c->r;
		sim_handle_event(s, e->core, &ev);
	} else if (e->data == NULL) {
		return;
	}
	results_call_free(c);
}

static size_t
results_bytes(const struct wf_result_batch *r)
{
	size_t i, n = CALL_BYTES;

	for (i = 0; i < r->len; i++)
		n += RESULT_BYTES +
		    RUN_BYTES *
			(r->items[i].new_runs_len + r->items[i].finished_len);
	return n;
}

void
sim_send_results(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	const unsigned to = sim_core_by_addr(ef->peer);
	struct results_call *c;
	struct sim_event *e;

	if (!s->cores[to].up || !sim_linked(s, ci, to))
		return;
	c = agb_xcalloc(1, sizeof(*c));
	c->r = ef->u.results;
	memset(&ef->u.results, 0, sizeof(ef->u.results));
	e = sim_schedule_core(
	    s, to, sim_link_send(s, ci, results_bytes(&c->r)), results_arrive);
	sim_attach(e, c, results_call_free);
}

static void
payload_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PAYLOAD, .tag = e->tag};

	if (!sim_deliver_or_postpone(s, e, payload_arrives)) {
		free(e->data);
		return;
	}
	ev.flag = e->data != NULL;
	ev.u.payload.data = e->data;
	ev.u.payload.len = e->a;
	sim_handle_event(s, e->core, &ev);
	free(e->data);
}

static void
payload_request_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PAYLOAD_REQUEST};
	struct payload_request *const c = e->data;

	if (!sim_deliver_or_postpone(s, e, payload_request_arrives)) {
		if (e->data != NULL)
			free(c);
		return;
	}
	s->payload_requests = agb_xreallocarray(s->payload_requests,
	    s->payload_requests_len + 1, sizeof(*s->payload_requests));
	s->payload_requests[s->payload_requests_len++] = *c;
	ev.tag = s->payload_requests_len;
	agb_str_copy(ev.u.payload.job, sizeof(ev.u.payload.job), c->job);
	free(c);
	sim_handle_event(s, e->core, &ev);
}

void
sim_send_payload_request(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const unsigned to = sim_core_by_addr(ef->peer);
	struct payload_request *c;
	struct sim_event *e;

	/* Without a reply before this event, the payload counts as
	 * unavailable. A later event with the same tag is ignored. */
	e = sim_schedule_core(
	    s, ci, sim_call_timeout(s, ci, ef->timeout_ms), payload_arrives);
	e->tag = ef->tag;
	if (!s->cores[to].up || !sim_linked(s, ci, to))
		return;
	c = agb_xcalloc(1, sizeof(*c));
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	agb_str_copy(c->job, sizeof(c->job), ef->u.payload.job);
	e = sim_schedule_core(
	    s, to, sim_message_delay(s, ci), payload_request_arrives);
	sim_attach(e, c, free);
}

void
sim_send_payload_reply(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const struct payload_request *const c =
	    &s->payload_requests[ef->tag - 1];
	struct sim_event *e;

	if (!sim_linked(s, ci, c->from))
		return;
	s->payload_calls++;
	e = sim_schedule(s, sim_message_delay(s, ci), payload_arrives);
	e->core = c->from;
	e->gen = c->from_gen;
	e->tag = c->tag;
	e->a = ef->u.payload.len;
	if (ef->flag)
		sim_attach(e,
		    agb_xmemdup(ef->u.payload.data, ef->u.payload.len), free);
}

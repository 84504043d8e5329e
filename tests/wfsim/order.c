/* Orders on their way to a runner, and their results on the way back. */

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

static void
order_call_free(void *data)
{
	struct order_call *const c = data;

	free(c->o.payload);
	free(c->res.active);
	free(c->res.finished);
	free(c);
}

static void
order_result_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_ORDER_RESULT};
	struct order_call *const c = e->data;

	if (!sim_deliver_or_postpone(s, e, order_result_arrives)) {
		if (e->data != NULL)
			order_call_free(c);
		return;
	}
	ev.u.order = &c->res;
	sim_handle_event(s, e->core, &ev);
	order_call_free(c);
}

static void
send_order_result(
    struct sim *s, const struct sim_event *e, struct order_call *c, agb_time in)
{
	struct sim_event *const r = sim_schedule(s, in, order_result_arrives);

	r->core = e->core;
	r->gen = e->gen;
	sim_attach(r, c, order_call_free);
}

static struct sim_runner *
runner_by_id(struct sim *s, const char *id)
{
	const unsigned long ri = strtoul(id + strlen("r-"), NULL, 10);

	return ri < s->o.runners ? &s->runners[ri] : NULL;
}

static void
poll_hold(struct sim *s, struct sim_event *e)
{
	struct order_call *const c = e->data;
	struct sim_runner *const r = runner_by_id(s, c->o.runner_id);
	struct sim_event *again;

	if (!r->up || r->unreachable) {
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c,
		    r->crashed_silently && s->now < c->gives_up_at
			? c->gives_up_at - s->now
			: 600 * SIM_MS);
		return;
	}
	if (s->now + s->o.latency_ms * SIM_MS > c->gives_up_at) {
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, 0);
		return;
	}
	if (r->finished_len == 0 && s->now < c->wait_until) {
		again = sim_schedule(s, 5 * SIM_MS, poll_hold);
		again->core = e->core;
		again->gen = e->gen;
		sim_attach(again, c, order_call_free);
		return;
	}
	c->res.clock_ms = sim_runner_clock(s, r);
	c->res.started_ms = r->info.started_ms;
	sim_fill_lists(s, r, c);
	send_order_result(s, e, c, s->o.latency_ms * SIM_MS);
}

/* Carries out an order whose answer is lost, in the present process of its
 * runner; only in the one with the start time @a, unless that is 0. */
static void
apply_late_order(struct sim *s, struct sim_event *e)
{
	struct order_call *const c = e->data;
	struct sim_runner *const r = runner_by_id(s, c->o.runner_id);

	if (r->up && !r->unreachable &&
	    (e->a == 0 || (uint64_t)r->info.started_ms == e->a))
		sim_do_order(s, r, c);
	order_call_free(c);
}

/* The process that may carry out an order late, 0 for any. A start must not
 * reach a later one, which nobody has spoken with yet: nothing that a leader can
 * do would keep that from running the task again. */
static uint64_t
only_process(const struct sim_runner *r, const struct wf_order *o)
{
	return o->kind == WF_ORDER_START ? (uint64_t)r->info.started_ms : 0;
}

static void
copy_order(struct wf_order *dst, const struct wf_order *src)
{
	*dst = *src;
	if (src->payload != NULL)
		dst->payload = agb_xmemdup(src->payload, src->payload_len);
}

static void
order_arrives(struct sim *s, struct sim_event *e)
{
	struct order_call *const c = e->data;
	struct sim_runner *const r = runner_by_id(s, c->o.runner_id);
	struct order_call *copy;
	struct sim_event *l;

	if (r == NULL || !r->up || r->unreachable ||
	    strcmp(c->o.addr, r->info.addr) != 0 ||
	    s->cores[e->core].runners_unreachable) {
		c->res.status = r != NULL && !r->up && !r->unreachable
		    ? WF_ORDER_UNSENT
		    : WF_ORDER_LOST;
		send_order_result(s, e, c,
		    c->res.status == WF_ORDER_LOST ? c->o.timeout_ms * SIM_MS
						   : s->o.latency_ms * SIM_MS);
		return;
	}
	if (r->ignores_starts && c->o.kind == WF_ORDER_START) {
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	if (r->start_delay_ms > 0 && c->o.kind == WF_ORDER_START) {
		copy = agb_xcalloc(1, sizeof(*copy));
		copy_order(&copy->o, &c->o);
		l = sim_schedule(
		    s, r->start_delay_ms * SIM_MS, apply_late_order);
		sim_attach(l, copy, order_call_free);
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	if (sim_chance(s, s->o.order_late_percent)) {
		copy = agb_xcalloc(1, sizeof(*copy));
		copy_order(&copy->o, &c->o);
		l = sim_schedule(
		    s, (2000 + sim_rnd(s, 8000)) * SIM_MS, apply_late_order);
		sim_attach(l, copy, order_call_free);
		l->a = only_process(r, &c->o);
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	sim_do_order(s, r, c);
	if (sim_chance(s, s->o.answer_lost_percent) ||
	    (r->loses_hold && c->o.kind == WF_ORDER_HOLD)) {
		r->loses_hold = false;
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	if (c->o.kind == WF_ORDER_HOLD && c->res.status == WF_ORDER_OK) {
		c->wait_until = s->now + c->o.wait_ms * SIM_MS;
		poll_hold(s, e);
		return;
	}
	send_order_result(s, e, c, s->o.latency_ms * SIM_MS);
}

/* Has an order carried out whose sender does not wait for the answer any
 * more. */
static void
send_unanswered(struct sim *s, const struct order_call *c, agb_time in)
{
	const struct sim_runner *const r = runner_by_id(s, c->o.runner_id);
	struct order_call *const copy = agb_xcalloc(1, sizeof(*copy));
	struct sim_event *const e = sim_schedule(s, in, apply_late_order);

	copy_order(&copy->o, &c->o);
	e->a = only_process(r, &c->o);
	sim_attach(e, copy, order_call_free);
}

void
sim_send_order(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	const agb_time in = sim_link_send(s, ci,
	    ef->u.order.kind == WF_ORDER_START
		? START_BYTES + ef->u.order.payload_len
		: ORDER_BYTES);
	const agb_time timeout =
	    sim_call_timeout(s, ci, ef->u.order.timeout_ms);
	struct order_call *const c = agb_xcalloc(1, sizeof(*c));
	const bool late = in + s->o.latency_ms * SIM_MS > timeout;
	struct sim_event *e;

	c->o = ef->u.order;
	ef->u.order.payload = NULL;
	s->relayed_orders += c->o.number > 0;
	s->direct_orders += c->o.number == 0;
	wf_order_result_init(&c->res, &c->o);
	c->gives_up_at = s->now + timeout;
	e = sim_schedule_core(s, ci, late ? timeout : in,
	    late ? order_result_arrives : order_arrives);
	sim_attach(e, c, order_call_free);
	if (!late)
		return;
	c->res.status = WF_ORDER_LOST;
	send_unanswered(s, c, in);
}

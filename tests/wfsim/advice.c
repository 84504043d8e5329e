/* Stand-in of the advice service. */

#include <stdlib.h>

#include "mem.h"
#include "world.h"

/* Approximate size of the name of a runner in a call, in bytes. */
#define ADVICE_RUNNER_BYTES 24

static void
advice_free(void *data)
{
	struct wf_advice *const a = data;

	free(a->items);
	free(a);
}

static void
advice_answer_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_ADVICE, .tag = e->tag};
	struct wf_advice *const a = e->data;

	if (sim_deliver_or_postpone(s, e, advice_answer_arrives)) {
		ev.u.advice = a;
		sim_handle_event(s, e->core, &ev);
	} else if (e->data == NULL) {
		return;
	}
	advice_free(a);
}

/* For each step a share of the runners is approved, by default seven of eight,
 * always the same ones. */
static bool
is_approved(
    const struct sim *s, const struct wf_task_ref *ref, const char *runner)
{
	const char *p;
	uint32_t h;

	h = 2166136261U + ref->step;
	for (p = ref->job; *p != '\0'; p++)
		h = (h ^ (unsigned char)*p) * 16777619U;
	for (p = runner; *p != '\0'; p++)
		h = (h ^ (unsigned char)*p) * 16777619U;
	h = (h ^ (h >> 16)) * 0x85ebca6bU;
	h = (h ^ (h >> 13)) * 0xc2b2ae35U;
	if (s->o.queues_len > 0)
		return (h >> 16) % 100 <
		    s->o.queues[sim_job_find(s, ref->job)->queue]
			.approved_percent;
	return (h >> 16) % 8 != 0;
}

/* Time that the service works on a call. */
static agb_time
call_time(const struct sim *s, const struct wf_effect *ef)
{
	const size_t runners = ef->u.advice_request.runners_len;
	const struct sim_queue *q;

	if (s->o.queues_len > 0) {
		q = &s->o.queues[sim_job_find(s, ef->u.advice_request.step.job)
				     ->queue];
		return q->advice_ms * SIM_MS +
		    q->advice_per_runner_us * runners;
	}
	if (s->o.advice_ms == 0)
		return ADVICE_MS * SIM_MS;
	return (s->o.advice_ms + s->o.advice_per_runner_ms * runners) * SIM_MS;
}

/* Time until the service has answered a call that arrives in @delay. */
static agb_time
answer_time(
    struct sim *s, unsigned ci, const struct wf_effect *ef, agb_time delay)
{
	/* The answer takes the way of a call that the instance makes itself. */
	struct sim_core *const c = &s->cores[ef->type == WF_EF_ADVICE_REQUEST
		? ci
		: sim_core_by_addr(ef->peer)];

	if (s->advice_away)
		return sim_call_timeout(s, ci, ef->u.advice_request.timeout_ms);
	if (!s->o.advice_in_turn)
		return delay + call_time(s, ef);
	c->advice_free_at =
	    agb_time_max(c->advice_free_at, s->now + delay) + call_time(s, ef);
	return c->advice_free_at - s->now;
}

void
sim_set_advice(struct sim *s, bool up)
{
	s->advice_away = !up;
}

void
sim_send_advice(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	struct wf_advice *const a = agb_xcalloc(1, sizeof(*a));
	const size_t runners = ef->u.advice_request.runners_len;
	const agb_time delay =
	    sim_link_send(s, ci, CALL_BYTES + ADVICE_RUNNER_BYTES * runners) +
	    s->o.latency_ms * SIM_MS;
	struct sim_event *const e = sim_schedule_core(
	    s, ci, answer_time(s, ci, ef, delay), advice_answer_arrives);
	size_t i;

	s->advice_calls++;
	s->advice_runners += (unsigned)runners;
	e->tag = ef->tag;
	sim_attach(e, a, advice_free);
	if (s->advice_away)
		return;
	a->answered = true;
	a->valid_ms = s->o.ticket_ms;
	a->items = agb_xcalloc(
	    ef->u.advice_request.runners_len + 1, sizeof(*a->items));
	for (i = 0; i < ef->u.advice_request.runners_len; i++) {
		if (!is_approved(s, &ef->u.advice_request.step,
			ef->u.advice_request.runners[i]))
			continue;
		agb_str_copy(a->items[a->items_len].runner, sizeof(agb_id),
		    ef->u.advice_request.runners[i]);
		agb_str_copy(
		    a->items[a->items_len++].ticket, sizeof(agb_id), "t");
	}
}

/* When an instance gets its events: not while it is down or frozen, and one
 * after the other while its processor is busy. */

#include <stdlib.h>

#include "mem.h"
#include "world.h"

agb_time
sim_turn_time(const struct sim_core *c)
{
	return sim_processor_turn_time(&c->cpu, wf_core_meter(c->core));
}

static agb_time
read_meter_clock(void *arg)
{
	const struct sim_core *const c = arg;

	return c->core == NULL ? 0 : c->s->now + sim_turn_time(c);
}

static void
read_backlog(void *arg, struct wf_backlog *out)
{
}

const struct wf_meter_ops sim_meter_ops = {
    .clock = read_meter_clock, .backlog = read_backlog};

bool
sim_is_busy(const struct sim *s, const struct sim_core *c)
{
	return s->now < c->cpu.busy_until ||
	    (c->waiting != NULL && !c->takes_waiting);
}

/* Delivers events that waited, in the order of their arrival, until the
 * instance is busy again. */
static void
deliver_waiting(struct sim *s, struct sim_event *e)
{
	struct sim_core *const c = &s->cores[e->core];
	struct sim_event *w;

	while (c->waiting != NULL && s->now >= c->cpu.busy_until) {
		w = c->waiting;
		c->waiting = w->next;
		c->takes_waiting = true;
		w->fn(s, w);
		c->takes_waiting = false;
		free(w);
	}
	if (c->waiting != NULL)
		sim_schedule(s, c->cpu.busy_until - s->now, deliver_waiting)
		    ->core = e->core;
}

static void
append_waiting(struct sim *s, const struct sim_event *e,
    void (*fn)(struct sim *, struct sim_event *))
{
	struct sim_core *const c = &s->cores[e->core];
	struct sim_event *const w = agb_xcalloc(1, sizeof(*w));

	*w = *e;
	w->fn = fn;
	w->next = NULL;
	if (c->waiting == NULL) {
		c->waiting_end = &c->waiting;
		sim_schedule(s, c->cpu.busy_until - s->now, deliver_waiting)
		    ->core = e->core;
	}
	*c->waiting_end = w;
	c->waiting_end = &w->next;
}

bool
sim_deliver_or_postpone(struct sim *s, struct sim_event *e,
    void (*fn)(struct sim *, struct sim_event *))
{
	struct sim_core *const c = &s->cores[e->core];
	struct sim_event *again;

	if (!c->up || c->gen != e->gen)
		return false;
	if (s->now >= c->frozen_until) {
		if (!sim_is_busy(s, c))
			return true;
		append_waiting(s, e, fn);
		e->data = NULL;
		return false;
	}
	again = sim_schedule_core(s, e->core, c->frozen_until - s->now, fn);
	again->tag = e->tag;
	sim_attach(again, e->data, e->free_data);
	again->a = e->a;
	again->b = e->b;
	e->data = NULL;
	return false;
}

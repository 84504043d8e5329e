#include <stdlib.h>

#include "mem.h"
#include "wf_dispatch_internal.h"

/* Maximum number of expected ends on one runner that are considered when room
 * is planned. */
#define RUN_ENDS_MAX 32

static int
compare_run_ends(const void *a, const void *b)
{
	const agb_time x = ((const struct run_end *)a)->at;
	const agb_time y = ((const struct run_end *)b)->at;

	return x < y ? -1 : x > y ? 1 : 0;
}

agb_time
dispatch_expected_end(const struct wf_leader *l, uint32_t ri,
    const struct wf_task *t, agb_time now)
{
	const struct wf_runner *const r = &l->runners[ri];
	const uint32_t expected_ms =
	    (uint32_t)((double)dispatch_expected_run_time(t->unit) *
		wf_task_run_factor(l, t) / (double)AGB_MS);
	/* The runner's clock is known as it was read last. */
	const agb_time seen_at =
	    r->clock_at - (agb_time)(r->clock_ms - t->progress_ms) * AGB_MS;
	const bool known = t->state == WF_TASK_RUNNING &&
	    t->progress_run == t->run && r->clock_ms >= t->progress_ms &&
	    wf_task_run_time_known(t);
	const agb_time end = wf_estimate_end(
	    t->sent_at, expected_ms, known ? t->progress_percent : 0, seen_at);

	return wf_estimate_overdue_end(
	    end, t->sent_at + (agb_time)expected_ms * AGB_MS, now);
}

/* Appends an expected end to the list @e, which is the last one in @ends. */
static void
run_ends_add(
    struct dispatch_pass *p, struct run_ends *e, const struct run_end *item)
{
	if (p->ends_len == p->ends_cap)
		p->ends = agb_xgrow(p->ends, &p->ends_cap, sizeof(*p->ends));
	p->ends[p->ends_len++] = *item;
	e->len++;
}

const struct run_ends *
dispatch_run_ends(struct dispatch_pass *p, uint32_t ri)
{
	struct run_ends *const e = &p->run_ends[ri];
	const struct wf_task *t;
	struct run_end item;

	if (e->valid)
		return e;
	e->valid = true;
	e->len = 0;
	e->first = p->ends_len;
	for (t = p->l->runners[ri].tasks; t != NULL; t = t->next) {
		const struct wf_step *const step = wf_unit_step(t->unit);

		if (e->len == RUN_ENDS_MAX || step->long_running ||
		    step->best_effort)
			continue;
		item.at = dispatch_expected_end(p->l, ri, t, p->now->mono);
		item.need = step->need;
		run_ends_add(p, e, &item);
	}
	if (e->len > 1)
		qsort(p->ends + e->first, e->len, sizeof(*p->ends),
		    compare_run_ends);
	return e;
}

/* Times from now for which the room on runners is predicted. */
static const uint32_t plan_offsets_ms[] = {
    0, 300, 600, 1000, 1500, 2000, 3000, 4000, 6000, 8000, 12000};
#define PLAN_TIMES (sizeof(plan_offsets_ms) / sizeof(plan_offsets_ms[0]))

/**
 * struct room_plan - predicted room of a runner for a unit
 * @fit: how many tasks of the unit it has room for at each planned time
 */
struct room_plan {
	uint32_t runner;
	uint32_t fit[PLAN_TIMES];
};

static void
room_plan_init(struct dispatch_pass *p, const struct wf_unit *u, uint32_t ri,
    struct room_plan *plan)
{
	const struct wf_runner *const r = &p->l->runners[ri];
	const struct run_ends *const e = dispatch_run_ends(p, ri);
	const struct run_end *const ends = p->ends + e->first;
	struct agb_resources room = wf_runner_free_resources(r);
	const struct wf_step *const step = wf_unit_step(u);
	size_t i, k = 0, known = SIZE_MAX;
	agb_time when;

	agb_resources_sub(&room, &p->reservations[ri].need);
	plan->runner = ri;
	for (i = 0; i < PLAN_TIMES; i++) {
		when = p->now->mono + plan_offsets_ms[i] * AGB_MS;
		for (; k < e->len && ends[k].at <= when; k++)
			agb_resources_add(&room, &ends[k].need);
		/* The room stays the same between two ends. */
		plan->fit[i] = k == known ? plan->fit[i - 1]
					  : dispatch_limit_spread(u, r,
						wf_step_fit_count(step, room));
		known = k;
	}
}

/* Lists the runners on which the unit may run, also those whose ticket has
 * expired. */
static size_t
list_eligible_runners(const struct dispatch_pass *p, const struct wf_unit *u,
    const struct wf_queue *q, uint32_t *list)
{
	uint32_t ri;
	size_t i, n;

	n = 0;
	if (!q->advice_required) {
		wf_meter_add_examined(p->l->meter, p->l->runners_len);
		for (ri = 0; ri < p->l->runners_len; ri++) {
			if (dispatch_eligible(p, u, q->service, ri))
				list[n++] = ri;
		}
		return n;
	}
	wf_meter_add_examined(p->l->meter, u->approvals_len);
	for (i = 0; i < u->approvals_len; i++) {
		ri = u->approvals[i].runner;
		if (wf_advice_is_current(p->l, &u->approvals[i]) &&
		    dispatch_eligible(p, u, q->service, ri))
			list[n++] = ri;
	}
	return n;
}

/* Index of the earliest planned time at which there is room for all waiting
 * tasks of the unit; PLAN_TIMES when there is none. */
static size_t
earliest_fit(const struct wf_unit *u, const struct room_plan *plans, size_t len)
{
	uint64_t room;
	size_t i, k;

	for (i = 0; i < PLAN_TIMES; i++) {
		room = 0;
		for (k = 0; k < len; k++)
			room += plans[k].fit[i];
		if (room >= u->waiting)
			break;
	}
	return i;
}

static int
compare_offers(const void *a, const void *b)
{
	const struct runner_offer *const x = a, *const y = b;

	return x->fit > y->fit ? -1 : x->fit < y->fit ? 1 : 0;
}

void
dispatch_reserve_tasks(const struct dispatch_pass *p,
    const struct wf_step *step, uint32_t ri, uint32_t tasks, agb_time start_at)
{
	struct reservation *const resv = &p->reservations[ri];

	for (; tasks > 0; tasks--)
		agb_resources_add(&resv->need, &step->need);
	if (resv->start_at == 0 || start_at < resv->start_at)
		resv->start_at = start_at;
	p->l->runners[ri].reserved = true;
}

/* Sorts the runners of the plans by their room at the planned time @at, most
 * first. */
static void
sort_by_room(const struct room_plan *plans, size_t len, size_t at,
    struct runner_offer *o)
{
	size_t i;

	for (i = 0; i < len; i++) {
		o[i].fit = plans[i].fit[at];
		o[i].runner = plans[i].runner;
	}
	if (len > 1)
		qsort(o, len, sizeof(*o), compare_offers);
}

void
dispatch_plan_gang(struct dispatch_pass *p, const struct wf_unit *u,
    const struct wf_queue *q, struct gang_plan *plan)
{
	struct room_plan *rooms;
	uint64_t fit;
	size_t i, at;

	plan->len = list_eligible_runners(p, u, q, p->stale);
	rooms = agb_xcalloc(plan->len + 1, sizeof(*rooms));
	for (i = 0; i < plan->len; i++)
		room_plan_init(p, u, p->stale[i], &rooms[i]);
	at = earliest_fit(u, rooms, plan->len);
	if (at < PLAN_TIMES) {
		plan->start_at = p->now->mono + plan_offsets_ms[at] * AGB_MS;
		plan->offers =
		    agb_xcalloc(plan->len + 1, sizeof(*plan->offers));
		sort_by_room(rooms, plan->len, at, plan->offers);
		fit = 0;
		for (i = 0; i < plan->len && fit < u->waiting; i++)
			fit += plan->offers[i].fit;
		plan->to_renew = wf_advice_call_capacity(i);
		if (plan->to_renew > plan->len)
			plan->to_renew = plan->len;
	}
	free(rooms);
}

void
dispatch_reserve_for_gang(struct dispatch_pass *p, const struct wf_unit *u,
    const struct gang_plan *plan)
{
	uint32_t left, count;
	size_t i;

	p->reservations_made++;
	left = u->waiting;
	for (i = 0; i < plan->len && left > 0; i++) {
		count = plan->offers[i].fit < left ? plan->offers[i].fit : left;
		dispatch_reserve_tasks(p, wf_unit_step(u),
		    plan->offers[i].runner, count, plan->start_at);
		left -= count;
	}
}

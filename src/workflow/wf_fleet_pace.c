#include <inttypes.h>

#include "wf_fleet_internal.h"

/* Best-effort tasks, which use only the CPU that other tasks leave, are slowed
 * when the response times of a task on the same runner exceed the high share of
 * their target, and sped up again when they are below the low one. The response
 * times reflect a change after about half a second. */
#define LATENCY_HIGH_PERCENT 85
#define LATENCY_LOW_PERCENT 60
#define PACE_DECREASE_INTERVAL_MS 700
#define PACE_INCREASE_INTERVAL_MS 2000
#define PACE_INCREASE_PERCENT 20
#define PACE_MIN_PERCENT 10
#define PACE_TIMEOUT_MS 400
/* The pace of a task is unknown: the order that set it was not answered. */
#define PACE_UNKNOWN UINT32_MAX

/* Highest response time of the tasks on a runner, in percent of the task's
 * target; 0 when no task has a target. */
static uint32_t
worst_latency_percent(const struct wf_runner *r)
{
	const struct wf_step *step;
	const struct wf_task *t;
	uint32_t worst = 0, share;

	for (t = r->tasks; t != NULL; t = t->next) {
		step = wf_unit_step(t->unit);
		if (!t->seen_in_list || !step->long_running ||
		    step->target_ms == 0)
			continue;
		share = (uint32_t)((uint64_t)t->load * 100 / step->target_ms);
		worst = share > worst ? share : worst;
	}
	return worst;
}

static uint32_t
next_pace(const struct wf_runner *r, agb_time now, uint32_t latency_percent)
{
	const agb_time since = now - r->pace_set_at;

	if (latency_percent >= LATENCY_HIGH_PERCENT &&
	    since >= PACE_DECREASE_INTERVAL_MS * AGB_MS)
		return r->pace_percent / 2 < PACE_MIN_PERCENT
		    ? 0
		    : r->pace_percent / 2;
	if (latency_percent < LATENCY_LOW_PERCENT &&
	    since >= PACE_INCREASE_INTERVAL_MS * AGB_MS)
		return r->pace_percent + PACE_INCREASE_PERCENT < 100
		    ? r->pace_percent + PACE_INCREASE_PERCENT
		    : 100;
	return r->pace_percent;
}

void
wf_fleet_adjust_pace(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	const uint32_t latency_percent = worst_latency_percent(r);
	const uint32_t pace = next_pace(r, now->mono, latency_percent);
	struct wf_order *o;
	struct wf_task *t;

	if (pace != r->pace_percent) {
		wf_effects_log(out, AGB_LOG_INFO, "pace",
		    "runner=%s percent=%" PRIu32 " before=%" PRIu32
		    " tail_percent=%" PRIu32,
		    r->info.id, pace, r->pace_percent, latency_percent);
		r->pace_percent = pace;
		r->pace_set_at = now->mono;
	}
	for (t = r->tasks; t != NULL; t = t->next) {
		if (!t->seen_in_list || !wf_unit_step(t->unit)->best_effort ||
		    t->pace_percent == r->pace_percent || t->stopping)
			continue;
		t->pace_percent = r->pace_percent;
		o = wf_fleet_add_order(
		    l, now, ri, WF_ORDER_PACE, PACE_TIMEOUT_MS);
		wf_task_ref(t, &o->task);
		o->run = t->run;
		o->percent = t->pace_percent;
	}
}

void
wf_fleet_handle_pace_result(
    struct wf_leader *l, const struct wf_order_result *res)
{
	struct wf_unit *u;
	struct wf_task *t;

	t = wf_exec_find_task(l, &res->task, &u);
	if (t != NULL && t->allocated && t->run == res->run &&
	    t->runner == res->runner && res->status != WF_ORDER_OK)
		t->pace_percent = PACE_UNKNOWN;
}

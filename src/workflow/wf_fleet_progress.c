#include "wf_fleet_internal.h"

/* A task is stalled when its progress has not changed for this long and for a
 * quarter of its estimated duration. A task that runs ten times slower than
 * estimated is not stalled. */
#define STALL_MIN_MS 700
#define STALL_MIN_LISTS 2
#define STALL_ESTIMATE_DIVISOR 4
/* Extra time before the first progress, in which a task loads its data or its
 * checkpoint. */
#define STALL_STARTUP_MS 1500
#define EXCLUDE_STALLED_MS 1500
/* A stalled task is stopped after this time at the earliest, and not before it
 * has been stalled for as long as it takes to repeat the work that the stop
 * would discard. */
#define STALL_STOP_MIN_MS 1200
/* Upper bound of the work since the last checkpoint. */
#define STALL_CHECKPOINT_MS 1000

void
wf_fleet_update_progress(
    const struct wf_runner *r, struct wf_task *t, const struct wf_active_run *a)
{
	t->load = a->load;
	if (t->progress_run != a->run || a->percent != t->progress_percent) {
		t->progress_run = a->run;
		t->progress_percent = a->percent;
		t->progress_ms = r->clock_ms;
		t->unchanged_lists = 0;
		return;
	}
	t->unchanged_lists++;
}

/* How long a task has been stalled, on its runner's clock; 0 when it is not
 * stalled or when tasks of its step do not progress steadily. */
static int64_t
stalled_ms(const struct wf_runner *r, const struct wf_task *t)
{
	const struct wf_step *const step = wf_unit_step(t->unit);
	int64_t ms, least;

	if (t->state != WF_TASK_RUNNING ||
	    t->unchanged_lists < STALL_MIN_LISTS ||
	    t->progress_percent >= 100 || step->long_running ||
	    step->best_effort || (step->gang && t->progress_percent == 0))
		return 0;
	ms = r->clock_ms - t->progress_ms;
	least = step->estimate_ms / STALL_ESTIMATE_DIVISOR;
	least = least > STALL_MIN_MS ? least : STALL_MIN_MS;
	if (t->progress_percent == 0)
		least += STALL_STARTUP_MS;
	return ms >= least ? ms : 0;
}

/* Whether a task has been stalled for so long that stopping it costs less than
 * waiting: the work that the stop discards takes no longer to repeat. */
static bool
must_stop_stalled(const struct wf_task *t, int64_t ms)
{
	const struct wf_step *const step = wf_unit_step(t->unit);
	int64_t lost_ms;

	lost_ms = (int64_t)step->estimate_ms * t->progress_percent / 100;
	if (step->checkpointing && lost_ms > STALL_CHECKPOINT_MS)
		lost_ms = STALL_CHECKPOINT_MS;
	lost_ms = lost_ms > STALL_STOP_MIN_MS ? lost_ms : STALL_STOP_MIN_MS;
	/* Stopping one member of a gang discards the work of all members. */
	return ms >= (step->gang ? 2 * lost_ms : lost_ms);
}

void
wf_fleet_check_progress(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	unsigned stalled = 0, moving = 0;
	struct wf_task *t;
	int64_t ms;

	for (t = r->tasks; t != NULL; t = t->next) {
		if (!t->seen_in_list || wf_unit_step(t->unit)->gang)
			continue;
		if (stalled_ms(r, t) > 0)
			stalled++;
		else if (t->unchanged_lists == 0)
			moving++;
	}
	if (r->stalled != (stalled > 0 && moving == 0)) {
		r->stalled = !r->stalled;
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=%s tasks=%u", r->info.id,
		    r->stalled ? "stalled" : "moving", stalled + moving);
	}
	if (!r->stalled)
		return;
	wf_fleet_exclude(r, now->mono, EXCLUDE_STALLED_MS);
	for (t = r->tasks; t != NULL; t = t->next) {
		ms = t->seen_in_list && !t->stopping ? stalled_ms(r, t) : 0;
		if (ms == 0 || !must_stop_stalled(t, ms))
			continue;
		t->avoid_runner = ri;
		wf_task_stop(
		    l, now, t->unit, t, "it makes no progress there", out);
	}
}

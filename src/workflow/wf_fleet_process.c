#include <inttypes.h>

#include "wf_fleet_internal.h"

/* How far the clock of an answer may be ahead of the runner's clock as computed
 * from its last one, whose age is known only up to the time of a message. */
#define CLOCK_AHEAD_MS 2000
/* Two readings of a clock in whole milliseconds. */
#define CLOCK_ROUNDING_MS 2
/* By how much the wall clocks of two machines may differ. */
#define WALL_CLOCK_ERROR_MS 5000

/* Whether the clock of an answer is that of the process whose clock is known.
 * Each process has a clock of its own that begins anywhere. */
static bool
clock_matches(
    const struct wf_runner *r, agb_time now, const struct wf_order_result *res)
{
	const int64_t until = r->clock_ms +
	    (int64_t)((now - r->clock_at) / AGB_MS) + CLOCK_AHEAD_MS;

	if (res->clock_ms > until)
		return false;
	return res->sent_at < r->clock_at ||
	    res->clock_ms + CLOCK_ROUNDING_MS >=
	    wf_fleet_clock_ms(r, res->sent_at);
}

enum answer_origin
wf_fleet_answer_origin(
    const struct wf_runner *r, agb_time now, const struct wf_order_result *res)
{
	if (res->started_ms > 0)
		return res->started_ms == r->info.started_ms ? ORIGIN_CURRENT
							     : ORIGIN_OTHER;
	if (r->info.started_ms == 0 || res->clock_ms <= 0)
		return ORIGIN_CURRENT;
	if (r->clock_ms == 0)
		return ORIGIN_UNKNOWN;
	return clock_matches(r, now, res) ? ORIGIN_CURRENT : ORIGIN_UNKNOWN;
}

/* Notes that the process that answers may have been granted a lease by an order
 * whose deadline is a time on the clock of another process. */
static void
note_unclear_lease(const struct wf_leader *l, struct wf_runner *r, agb_time now)
{
	r->unclear_lease_until =
	    now + wf_fleet_lease_time(l->cfg->runner_lease_max_ms);
	r->lease_until = agb_time_max(r->lease_until, r->unclear_lease_until);
}

bool
wf_fleet_started_lately(const struct wf_leader *l, const struct wf_runner *r,
    const struct wf_now *now)
{
	return r->info.started_ms > 0 &&
	    now->unix_ms - r->info.started_ms <
	    (int64_t)l->cfg->runner_lease_max_ms + WALL_CLOCK_ERROR_MS;
}

void
wf_fleet_lose_identity(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[res->runner];

	if (r->clock_ms == 0)
		return;
	wf_effects_log(out, AGB_LOG_WARN, "runner",
	    "runner=%s change=unidentified order=%d clock_ms=%" PRId64
	    " clock_before_ms=%" PRId64,
	    r->info.id, (int)res->kind, res->clock_ms, r->clock_ms);
	r->reported = false;
	r->clock_ms = 0;
	note_unclear_lease(l, r, now->mono);
	wf_fleet_order_extra_hold(l, now, res->runner);
}

/* Assigns a task that may be at the new incarnation of its runner to that. The
 * first list that the new incarnation returns shows whether it is there: from
 * then on the runner refuses the start, whose fence token is lower. */
static void
keep_task_after_restart(struct wf_leader *l, const struct wf_now *now,
    struct wf_task *t, uint32_t incarnation, int64_t started_ms,
    struct wf_effects *out)
{
	t->started_ms = started_ms;
	t->incarnation = incarnation;
	t->recovered = true;
	t->next_stop_at = now->mono;
	/* Its start was not sent: it returns to the queue. */
	if (t->state == WF_TASK_INTENT)
		wf_task_stop(l, now, t->unit, t, "runner restarted", out);
}

/* Requeues the tasks that were assigned to a runner before it restarted, except
 * those whose start may have reached the new incarnation: it was not answered,
 * or by a process that is not known. */
static void
requeue_tasks_from_before_restart(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, uint32_t incarnation, int64_t started_ms,
    struct wf_effects *out)
{
	struct wf_task *t;
	bool again;

	do {
		again = false;
		for (t = l->runners[ri].tasks; t != NULL; t = t->next) {
			if (t->incarnation == incarnation)
				continue;
			again = true;
			if (t->started_ms == started_ms)
				t->incarnation = incarnation;
			else if (t->state == WF_TASK_INTENT ||
			    t->state == WF_TASK_SENT)
				keep_task_after_restart(
				    l, now, t, incarnation, started_ms, out);
			else
				wf_fleet_release_or_requeue(
				    l, now, t, "runner restarted", out);
			break;
		}
	} while (again);
}

uint32_t
wf_fleet_next_incarnation(struct wf_leader *l)
{
	/* The fence tokens of the next leader have room for as many again. */
	if (l->last_incarnation + 1 == WF_INCARNATIONS_MAX)
		l->leadership_lost = true;
	else
		l->last_incarnation++;
	return l->last_incarnation;
}

void
wf_fleet_handle_restart(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, int64_t started_ms, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	const uint32_t incarnation = wf_fleet_next_incarnation(l);

	if (r->info.started_ms > 0)
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=restarted born_ms=%" PRId64
		    " born_before_ms=%" PRId64 " heard_ms_ago=%" PRIu64,
		    r->info.id, started_ms, r->info.started_ms,
		    (now->mono - r->heard_at) / AGB_MS);
	requeue_tasks_from_before_restart(
	    l, now, ri, incarnation, started_ms, out);
	wf_fleet_clear_orphan_runs(l, r);
	r->incarnation = incarnation;
	if (r->info.started_ms > 0)
		note_unclear_lease(l, r, now->mono);
	r->info.started_ms = started_ms;
	r->described = false;
	r->reported = false;
	r->poll.pending = false;
	r->poll.next_at = now->mono;
	r->processed_seq = 0;
	r->durable_seq = 0;
	r->clock_ms = 0;
	r->fail_streak = 0;
	r->pace_percent = 100;
	l->placement_changed = true;
}

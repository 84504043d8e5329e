#include <inttypes.h>

#include "wf_fleet_internal.h"

/* How far the clock of an answer may be ahead of the runner's clock as computed
 * from its last one, whose age is known only up to the time of a message. */
#define CLOCK_AHEAD_MS 2000
/* Two readings of a clock in whole milliseconds. */
#define CLOCK_ROUNDING_MS 2
/* By how much the wall clocks of two machines may differ. */
#define WALL_CLOCK_ERROR_MS 5000

/* Lower bound of a runner's clock when an order was sent, which may be before the
 * clock was read: messages overtake each other. */
static int64_t
clock_lower_bound(const struct wf_runner *r, agb_time sent_at)
{
	if (sent_at < r->clock_at)
		return r->clock_ms -
		    (int64_t)((r->clock_at - sent_at) / AGB_MS);
	return wf_fleet_clock_ms(r, sent_at);
}

/* Whether the clock of an answer is that of the process whose clock is known.
 * Each process has a clock of its own that begins anywhere. */
static bool
clock_matches(
    const struct wf_runner *r, agb_time now, const struct wf_order_result *res)
{
	const int64_t until = r->clock_ms +
	    (int64_t)((now - r->clock_at) / AGB_MS) + CLOCK_AHEAD_MS;

	return res->clock_ms <= until &&
	    res->clock_ms + CLOCK_ROUNDING_MS >=
	    clock_lower_bound(r, res->sent_at);
}

enum answer_origin
wf_fleet_answer_origin(
    const struct wf_runner *r, agb_time now, const struct wf_order_result *res)
{
	if (res->started_ms > 0)
		return res->started_ms == r->started_ms ? ORIGIN_CURRENT
							: ORIGIN_OTHER;
	if (r->started_ms == 0 || res->clock_ms <= 0)
		return ORIGIN_CURRENT;
	if (r->clock_ms == 0)
		return ORIGIN_UNKNOWN;
	return clock_matches(r, now, res) ? ORIGIN_CURRENT : ORIGIN_UNKNOWN;
}

uint32_t
wf_fleet_first_lease_ms(const struct wf_leader *l, const struct wf_runner *r,
    const struct wf_now *now)
{
	const uint32_t max_ms = l->cfg->runner_lease_max_ms;
	const bool started_lately = r->started_ms > 0 &&
	    now->unix_ms - r->started_ms < max_ms + WALL_CLOCK_ERROR_MS;

	return r->lease_unclear || started_lately ? max_ms : RUNNER_LEASE_MS;
}

void
wf_fleet_lose_identity(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[res->runner];

	/* It may have been granted a lease by a deadline on another clock. */
	wf_fleet_extend_lease(r, now->mono, l->cfg->runner_lease_max_ms);
	if (r->clock_ms == 0)
		return;
	wf_effects_log(out, AGB_LOG_WARN, "runner",
	    "runner=%s change=unidentified order=%d clock_ms=%" PRId64
	    " clock_before_ms=%" PRId64,
	    r->info.id, (int)res->kind, res->clock_ms, r->clock_ms);
	r->reported = false;
	r->clock_ms = 0;
	wf_fleet_order_extra_hold(l, now, res->runner);
}

/* Assigns a task that may be at the new incarnation of its runner to that. The
 * first list that the new incarnation returns shows whether it is there: from
 * then on the runner refuses the start, whose fence token is lower. */
static void
keep_task_after_restart(
    const struct wf_now *now, struct wf_task *t, uint32_t incarnation)
{
	t->incarnation = incarnation;
	t->recovered = true;
	t->next_stop_at = now->mono;
}

/* Requeues the tasks that were assigned to a runner before it restarted, except
 * those whose start may have reached the new incarnation: it was not answered,
 * or by a process that is not known. */
static void
requeue_tasks_from_before_restart(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, uint32_t incarnation, int64_t started_ms,
    struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	struct wf_task *t;
	bool again;

	do {
		again = false;
		for (t = r->tasks; t != NULL; t = t->next) {
			if (t->incarnation == incarnation)
				continue;
			again = true;
			r->lease_unclear =
			    r->lease_unclear || t->started_ms != started_ms;
			if (t->started_ms == started_ms)
				t->incarnation = incarnation;
			else if (t->state == WF_TASK_SENT)
				keep_task_after_restart(now, t, incarnation);
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

	if (r->started_ms > 0)
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=restarted born_ms=%" PRId64
		    " born_before_ms=%" PRId64 " heard_ms_ago=%" PRIu64,
		    r->info.id, started_ms, r->started_ms,
		    (now->mono - r->heard_at) / AGB_MS);
	requeue_tasks_from_before_restart(
	    l, now, ri, incarnation, started_ms, out);
	wf_fleet_clear_orphan_runs(l, r);
	r->incarnation = incarnation;
	r->lease_unclear = r->lease_unclear || r->started_ms > 0;
	wf_fleet_extend_lease(r, now->mono, l->cfg->runner_lease_max_ms);
	r->started_ms = started_ms;
	r->named = false;
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

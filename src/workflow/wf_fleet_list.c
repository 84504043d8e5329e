#include <inttypes.h>

#include "wf_fleet_internal.h"

/* Number of consecutive failed runs after which a runner is considered faulty,
 * and how long no new tasks are placed on it. */
#define FAULTY_FAILURES 2
#define EXCLUDE_FAULTY_MS 5000

static void
count_failures(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    enum wf_run_end how, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];

	if (how == WF_END_DONE)
		r->fail_streak = 0;
	if (how != WF_END_FAILED)
		return;
	if (++r->fail_streak < FAULTY_FAILURES)
		return;
	wf_fleet_exclude(r, now->mono, EXCLUDE_FAULTY_MS);
	wf_effects_log(out, AGB_LOG_WARN, "runner",
	    "runner=%s change=faulty failures_in_a_row=%" PRIu32
	    " shunned_ms=%d",
	    r->info.id, r->fail_streak, EXCLUDE_FAULTY_MS);
}

/* Handles the end of a run that had been given up. If it succeeded and no other
 * run of the task has, the task is done. */
static void
handle_superseded_end(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, struct wf_unit *u, struct wf_task *t,
    const struct wf_finished_run *f, struct wf_effects *out)
{
	if (f->end != WF_END_DONE || t->state == WF_TASK_DONE ||
	    wf_unit_step(u)->long_running || u->exec->unreadable ||
	    wf_job_state_is_final(u->exec->state))
		return;
	wf_effects_log_run(out, AGB_LOG_INFO, "end", &f->task, f->run,
	    l->runners[ri].info.id,
	    "how=done reason=\"an earlier run has finished the task\"");
	wf_task_done_by_earlier_run(l, now, u, t, out);
}

static const char *
end_name(enum wf_run_end how)
{
	static const char *const names[] = {
	    [WF_END_DONE] = "done",
	    [WF_END_FAILED] = "failed",
	    [WF_END_STOPPED] = "stopped",
	    [WF_END_LEASE_EXPIRED] = "lapsed",
	    [WF_END_GANG_BROKEN] = "broken",
	    [WF_END_GANG_TIMEOUT] = "alone",
	};

	return names[how];
}

static void
handle_end(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_finished_run *f, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	struct wf_orphan_run *s;
	struct wf_unit *u;
	struct wf_task *t;

	s = wf_fleet_find_orphan_run(r, &f->task, f->run);
	if (s != NULL)
		wf_fleet_remove_orphan_run(l, r, (size_t)(s - r->orphan_runs));
	t = wf_exec_find_task(l, &f->task, &u);
	if (t == NULL)
		return;
	if (!t->allocated || t->runner != ri || t->run != f->run) {
		handle_superseded_end(l, now, ri, u, t, f, out);
		return;
	}
	wf_effects_log_run(out, AGB_LOG_INFO, "end", &f->task, f->run,
	    r->info.id,
	    "how=%s seq=%" PRIu64 " ran_ms=%" PRIu64 " estimate_ms=%" PRIu32,
	    end_name(f->end), f->seq, (now->mono - t->sent_at) / AGB_MS,
	    wf_unit_step(u)->estimate_ms);
	count_failures(l, now, ri, f->end, out);
	if (f->end == WF_END_DONE && wf_task_run_time_known(t) &&
	    !wf_unit_step(u)->long_running)
		wf_exec_learn_run_time(
		    l, t, (uint32_t)((now->mono - t->sent_at) / AGB_MS));
	wf_task_handle_end(l, now, u, t, f->end, f->checkpoint, out);
}

static void
handle_active(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_active_run *a, struct wf_effects *out)
{
	struct wf_unit *u;
	struct wf_task *t;

	t = wf_exec_find_task(l, &a->task, &u);
	if (t == NULL || !t->allocated || t->runner != ri || t->run != a->run) {
		wf_fleet_stop_orphan_run(l, now, ri, a, out);
		return;
	}
	t->seen_in_list = true;
	t->listed = true;
	t->recovered = false;
	wf_exec_mark_running(l, u->exec);
	if (t->state == WF_TASK_SENT) {
		wf_meter_count(l->meter, WF_TALLY_CONFIRMED);
		t->state = WF_TASK_RUNNING;
		wf_task_confirm(l, t, now->mono);
	}
	t->start_unanswered = false;
	wf_fleet_update_progress(&l->runners[ri], t, a);
	wf_task_set_checkpoint(t, a->checkpoint);
}

/* Whether the lists returned by a hold sent at @sent prove that a task which
 * they do not contain is not at the runner and cannot start there later. */
static bool
proves_absent(const struct wf_runner *r, const struct wf_task *t, agb_time sent,
    int64_t clock_ms)
{
	if (t->state == WF_TASK_INTENT)
		return false;
	/* Starts sent by earlier leaders have a lower fence and are refused. */
	if (t->recovered)
		return true;
	if (t->start_accepted_at > 0)
		return sent >= t->start_accepted_at;
	/* Its gang was done before its start was sent. */
	if (t->state == WF_TASK_DONE && t->start_deadline_ms == 0 &&
	    !t->stopping)
		return sent > t->sent_at;
	return t->start_deadline_ms > 0 && clock_ms > t->start_deadline_ms;
}

/* Stops a task whose start was not answered and which the runner does not list:
 * the start could still be carried out later. */
static void
stop_unanswered_start(struct wf_leader *l, const struct wf_now *now,
    struct wf_task *t, struct wf_effects *out)
{
	if (t->state == WF_TASK_SENT && t->start_unanswered && !t->stopping)
		wf_task_stop(l, now, t->unit, t, "start was not answered", out);
}

static void
release_absent_tasks(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_task *t;
	bool again;

	do {
		again = false;
		for (t = l->runners[ri].tasks; t != NULL; t = t->next) {
			if (t->seen_in_list)
				continue;
			if (!proves_absent(&l->runners[ri], t, res->sent_at,
				res->clock_ms)) {
				stop_unanswered_start(l, now, t, out);
				continue;
			}
			wf_fleet_release_or_requeue(l, now, t,
			    t->recovered ? "not at its runner after a takeover "
					   "or restart"
					 : "not at its runner",
			    out);
			again = true;
			break;
		}
	} while (again);
}

void
wf_fleet_handle_lists(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, const struct wf_order_result *res, struct wf_effects *out)
{
	const uint64_t before = l->runners[ri].processed_seq;
	struct wf_runner *const r = &l->runners[ri];
	struct wf_task *t;
	size_t i;

	for (t = r->tasks; t != NULL; t = t->next)
		t->seen_in_list = false;
	for (i = 0; i < r->orphan_runs_len; i++)
		r->orphan_runs[i].seen = false;
	for (i = 0; i < res->active_len; i++)
		handle_active(l, now, ri, &res->active[i], out);
	for (i = 0; i < res->finished_len; i++) {
		if (res->finished[i].seq <= r->processed_seq)
			continue;
		r->processed_seq = res->finished[i].seq;
		handle_end(l, now, ri, &res->finished[i], out);
	}
	if (r->processed_seq > before)
		wf_commit_queue_ack(l, ri, r->processed_seq);
	/* The end of an absent run may be among those that a full list omits. */
	if (res->finished_len < WF_ENDS_PER_LIST)
		release_absent_tasks(l, now, ri, res, out);
	wf_fleet_check_progress(l, now, ri, out);
	wf_fleet_adjust_pace(l, now, ri, out);
	wf_fleet_remove_unlisted_orphan_runs(l, r);
	if (!r->reported) {
		r->reported = true;
		r->lease_until = now->mono;
		wf_fleet_extend_lease(
		    r, now->mono, wf_fleet_first_lease_ms(l, r, now));
		r->lease_unclear = false;
		l->placement_changed = true;
	}
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_leader.h"

/* Upper limit of a submission's age by its time stamp, as the clocks of two
 * instances may differ by seconds. */
#define SUBMIT_AGE_MAX_MS 60000

/* The members of a gang wait for each other. One whose start has failed may be
 * assigned to another runner in the same run within this time of its start. */
#define GANG_REPAIR_MS 1800
/* Ends of tasks of an unfinished step within this time share one write of the
 * state record. */
#define END_BATCH_MS 80
/* Factor of that time while links are congested: each write holds the states of
 * all tasks of the job, and takes from the link what the starts need. */
#define END_BATCH_CONGESTED_FACTOR 4
#define REFRESH_INTERVAL_MS 20

const struct wf_step *
wf_unit_step(const struct wf_unit *u)
{
	return &u->exec->job->spec.steps[u->step];
}

const struct wf_queue *
wf_unit_queue(const struct wf_leader *l, const struct wf_unit *u)
{
	return wf_doc_queue(l->doc, u->exec->job->spec.queue);
}

void
wf_unit_task_ref(
    const struct wf_unit *u, uint32_t task, struct wf_task_ref *ref)
{
	memset(ref, 0, sizeof(*ref));
	agb_str_copy(ref->job, sizeof(ref->job), u->exec->job->id);
	ref->occurrence = u->occurrence;
	ref->step = u->step;
	ref->index = task;
}

void
wf_task_ref(const struct wf_task *t, struct wf_task_ref *ref)
{
	wf_unit_task_ref(t->unit, t->index, ref);
}

struct wf_unit *
wf_exec_find_unit(const struct wf_leader *l, const char *job,
    uint32_t occurrence, uint32_t step)
{
	const struct wf_job *const j = wf_table_job(l->table, job);
	struct wf_unit *units;

	if (j == NULL || j->exec == NULL || step >= j->spec.steps_len)
		return NULL;
	units = wf_exec_find_occurrence(j->exec, occurrence);
	return units != NULL ? &units[step] : NULL;
}

struct wf_task *
wf_exec_find_task(
    struct wf_leader *l, const struct wf_task_ref *ref, struct wf_unit **unit)
{
	struct wf_unit *const u =
	    wf_exec_find_unit(l, ref->job, ref->occurrence, ref->step);

	if (u == NULL || ref->index >= u->tasks_len)
		return NULL;
	*unit = u;
	return wf_unit_find_task(u, ref->index);
}

static void
mark_dirty(struct wf_leader *l, struct wf_exec *e, agb_time write_at)
{
	l->gen++;
	/* @gen stays that of the oldest change that no write contains. */
	if (!e->dirty) {
		e->gen = l->gen;
		l->dirty_jobs++;
		e->write_at = write_at;
	}
	e->dirty = true;
	e->write_at = agb_time_min(e->write_at, write_at);
}

void
wf_exec_mark_dirty(struct wf_leader *l, struct wf_exec *e)
{
	mark_dirty(l, e, 0);
}

/* Has the finished parts of a job freed, and occurrences opened that have waited
 * for others, once no pointer to its units is in use. */
static void
request_refresh(struct wf_leader *l, struct wf_exec *e)
{
	if (e->refresh_pending)
		return;
	e->refresh_pending = true;
	DL_APPEND2(l->refresh, e, prev_refresh, next_refresh);
}

static void
cancel_refresh(struct wf_leader *l, struct wf_exec *e)
{
	if (!e->refresh_pending)
		return;
	e->refresh_pending = false;
	DL_DELETE2(l->refresh, e, prev_refresh, next_refresh);
}

static void
unit_enqueue(struct wf_leader *l, struct wf_unit *u)
{
	if (u->queued)
		return;
	u->queued = true;
	DL_APPEND(l->queue, u);
	l->queue_len++;
	u->exec->queued++;
	l->placement_changed = true;
}

static void
unit_dequeue(struct wf_leader *l, struct wf_unit *u)
{
	if (!u->queued)
		return;
	u->queued = false;
	DL_DELETE(l->queue, u);
	l->queue_len--;
	u->exec->queued--;
	if (u->exec->overdue)
		request_refresh(l, u->exec);
}

static void
dequeue_units(struct wf_leader *l, struct wf_exec *e)
{
	uint32_t k;
	size_t i;

	for (i = 0; i < e->open_len; i++) {
		for (k = 0; k < e->job->spec.steps_len; k++)
			unit_dequeue(l, &e->open[i].units[k]);
	}
}

void
wf_task_set_checkpoint(struct wf_task *t, const char *checkpoint)
{
	if (checkpoint[0] == '\0' ||
	    (t->checkpoint != NULL && strcmp(t->checkpoint, checkpoint) == 0))
		return;
	free(t->checkpoint);
	t->checkpoint = agb_xstrdup(checkpoint);
}

void
wf_runner_account_task(
    struct wf_runner *r, const struct wf_step *step, bool add)
{
	const struct agb_resources need = wf_step_reserved(step);

	if (add)
		agb_resources_add(&r->allocated, &need);
	else
		agb_resources_sub(&r->allocated, &need);
	if (step->best_effort)
		r->fill_cpu_milli +=
		    add ? step->need.cpu_milli : -step->need.cpu_milli;
}

void
wf_task_allocate(struct wf_leader *l, struct wf_unit *u, struct wf_task *t)
{
	struct wf_runner *const r = &l->runners[t->runner];

	t->allocated = true;
	u->allocated++;
	u->exec->allocated++;
	DL_APPEND(r->tasks, t);
	wf_runner_account_task(r, wf_unit_step(u), true);
	agb_resources_add(&u->exec->account->used, &wf_unit_step(u)->need);
}

void
wf_exec_publish_state(struct wf_leader *l, struct wf_exec *e)
{
	if (e->published && e->published_state == e->job->state)
		return;
	e->published = true;
	e->published_state = e->job->state;
	wf_show_add_state(l, e->job->id, e->job->state);
}

void
wf_exec_mark_running(struct wf_leader *l, struct wf_exec *e)
{
	struct wf_job *const j = e->job;

	if (e->state != WF_JOB_QUEUED)
		return;
	e->state = WF_JOB_RUNNING;
	if (wf_job_state_is_final(j->state))
		return;
	j->state = WF_JOB_RUNNING;
	wf_exec_publish_state(l, e);
}

static int64_t
occurrence_unix_ms(const struct wf_spec *s, uint32_t occurrence)
{
	if (s->start_at_ms == 0)
		return 0;
	return s->start_at_ms + (int64_t)occurrence * s->period_ms;
}

struct wf_unit *
wf_exec_open(
    struct wf_leader *l, struct wf_exec *e, uint32_t number, agb_time now)
{
	const size_t open = e->open_len;
	struct wf_unit *const units = wf_exec_open_occurrence(e, number);

	if (e->open_len > open)
		wf_exec_set_times(l, units, now);
	return units;
}

/* Opens the occurrences that are due. Those of one job are due one after the
 * other, and wait in that order once enough of its units are queued. */
static void
open_due_occurrences(
    struct wf_leader *l, const struct wf_now *now, struct wf_exec *e)
{
	const struct wf_spec *const s = &e->job->spec;
	uint32_t queued = e->queued;
	int64_t due_ms;

	e->next_due_ms = INT64_MAX;
	e->overdue = false;
	for (; e->next_occurrence < s->repeat_count; e->next_occurrence++) {
		if (wf_exec_occurrence_done(e, e->next_occurrence))
			continue;
		due_ms = occurrence_unix_ms(s, e->next_occurrence);
		if (due_ms > now->unix_ms) {
			e->next_due_ms = due_ms;
			break;
		}
		if (queued >= WF_QUEUED_UNITS_MAX) {
			e->overdue = true;
			break;
		}
		wf_exec_open(l, e, e->next_occurrence, now->mono);
		queued++;
	}
}

struct wf_exec *
wf_exec_new(struct wf_leader *l, const struct wf_now *now, struct wf_job *j,
    struct wf_effects *out)
{
	const struct wf_spec *const s = &j->spec;
	struct wf_exec *const e = agb_xcalloc(1, sizeof(*e));
	int64_t age;

	e->job = j;
	j->exec = e;
	e->account = wf_account_get(&l->accounts, s->account);
	wf_exec_init_work(e);
	age = now->unix_ms - s->submitted_ms;
	age = age < 0 ? 0 : age > SUBMIT_AGE_MAX_MS ? SUBMIT_AGE_MAX_MS : age;
	e->accepted_at = now->mono - (agb_time)age * AGB_MS;
	DL_APPEND(l->execs, e);
	if (s->start_at_ms > 0)
		l->timed_jobs++;
	e->unreadable = !wf_state_restore(l, now, e, out);
	wf_effects_log(out, AGB_LOG_INFO, "job",
	    "job=%s queue=%s steps=%" PRIu32 " tasks=%" PRIu32
	    " state=%s age_ms=%" PRId64 " spec_revision=%" PRIu64
	    " state_revision=%" PRIu64 " fence=%" PRIu64,
	    j->id, s->queue, s->steps_len, e->tasks_len,
	    wf_job_state_name(e->state), age, j->spec_rev, j->state_rev,
	    l->fence);
	wf_exec_advance(l, now, e, out);
	return e;
}

/* Takes the units and tasks of a job off the queue and the runners. */
static void
detach_work(struct wf_leader *l, struct wf_exec *e)
{
	struct wf_task_cursor c;
	struct wf_task *t;

	dequeue_units(l, e);
	wf_task_cursor_init(&c, e);
	while ((t = wf_task_cursor_next(&c)) != NULL) {
		if (t->allocated)
			wf_task_release(l, t->unit, t);
		if (t->stopping)
			l->stops_pending--;
	}
}

void
wf_exec_free(struct wf_leader *l, struct wf_exec *e)
{
	detach_work(l, e);
	cancel_refresh(l, e);
	DL_DELETE(l->execs, e);
	if (e->dirty)
		l->dirty_jobs--;
	if (e->job->spec.start_at_ms > 0)
		l->timed_jobs--;
	e->job->exec = NULL;
	wf_account_put(&l->accounts, e->account);
	wf_exec_free_work(e);
	free(e);
}

static bool
unit_is_ready(const struct wf_leader *l, const struct wf_now *now,
    const struct wf_unit *u)
{
	const struct wf_spec *const s = &u->exec->job->spec;
	const struct wf_unit *const occurrence_units = u - u->step;
	const uint64_t after = s->steps[u->step].after;
	uint32_t i;

	if (occurrence_unix_ms(s, u->occurrence) > now->unix_ms)
		return false;
	for (i = 0; i < u->step; i++) {
		if ((after >> i & 1) &&
		    occurrence_units[i].done < s->steps[i].count)
			return false;
	}
	return true;
}

void
wf_exec_finish(struct wf_leader *l, const struct wf_now *now, struct wf_exec *e,
    enum wf_job_state state, const char *why, struct wf_effects *out)
{
	struct wf_task_cursor c;
	struct wf_task *t;

	if (wf_job_state_is_final(e->state))
		return;
	l->reap_pending = true;
	e->state = state;
	e->ended_ms = now->unix_ms;
	e->next_due_ms = INT64_MAX;
	e->overdue = false;
	agb_str_copy(e->detail, sizeof(e->detail), why);
	dequeue_units(l, e);
	wf_task_cursor_init(&c, e);
	while ((t = wf_task_cursor_next(&c)) != NULL) {
		if (t->allocated && t->state != WF_TASK_DONE)
			wf_task_stop(l, now, t->unit, t, why, out);
	}
	wf_exec_mark_dirty(l, e);
	wf_effects_log(out, AGB_LOG_INFO, "job_end",
	    "job=%s state=%s reason=\"%s\" age_ms=%" PRIu64 " late=%s",
	    e->job->id, wf_job_state_name(state), why,
	    (now->mono - e->accepted_at) / AGB_MS,
	    now->mono > wf_exec_last_due_at(l, e) ? "yes" : "no");
}

/* Queues the units of an open occurrence that have become ready. */
static void
advance_occurrence(struct wf_leader *l, const struct wf_now *now,
    const struct wf_occurrence *o)
{
	struct wf_exec *const e = o->units[0].exec;
	struct wf_unit *u;
	int64_t due_ms;
	uint32_t i;

	for (i = 0; i < e->job->spec.steps_len; i++) {
		u = &o->units[i];
		if (u->done == u->tasks_len) {
			unit_dequeue(l, u);
			continue;
		}
		if (!u->ready && unit_is_ready(l, now, u)) {
			u->ready = true;
			u->ready_at = now->mono;
		}
		if (u->ready && u->waiting > 0)
			unit_enqueue(l, u);
		due_ms = occurrence_unix_ms(&e->job->spec, o->number);
		/* It was opened by an earlier leader or before a jump of the
		 * clock. */
		if (!u->ready && due_ms > now->unix_ms &&
		    due_ms < e->next_due_ms)
			e->next_due_ms = due_ms;
	}
}

void
wf_exec_advance(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out)
{
	size_t i;

	if (wf_job_state_is_final(e->state))
		return;
	if (e->job->cancel_rev > 0) {
		wf_exec_finish(l, now, e, WF_JOB_CANCELLED,
		    "cancelled by its caller", out);
		return;
	}
	if (e->unreadable)
		return;
	open_due_occurrences(l, now, e);
	for (i = 0; i < e->open_len; i++)
		advance_occurrence(l, now, &e->open[i]);
	if (e->next_due_ms < l->next_occurrence_ms)
		l->next_occurrence_ms = e->next_due_ms;
	if (e->tasks_done == e->tasks_len)
		wf_exec_finish(
		    l, now, e, WF_JOB_COMPLETED, "all tasks are done", out);
}

agb_time
wf_exec_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_exec *e, *next;

	if (l->refresh == NULL || now->mono < l->next_refresh_at)
		return l->refresh == NULL ? AGB_TIME_MAX : l->next_refresh_at;
	l->next_refresh_at = now->mono + REFRESH_INTERVAL_MS * AGB_MS;
	/* Those that are linked in again meanwhile wait for the next time. */
	e = l->refresh;
	l->refresh = NULL;
	for (; e != NULL; e = next) {
		next = e->next_refresh;
		e->refresh_pending = false;
		wf_exec_close_finished(e);
		wf_exec_advance(l, now, e, out);
	}
	return l->refresh == NULL ? AGB_TIME_MAX : l->next_refresh_at;
}

agb_time
wf_exec_open_due(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_exec *e, *next;

	if (l->timed_jobs == 0)
		return AGB_TIME_MAX;
	if (now->unix_ms >= l->next_occurrence_ms) {
		l->next_occurrence_ms = INT64_MAX;
		for (e = l->execs; e != NULL; e = next) {
			next = e->next;
			if (e->next_due_ms <= now->unix_ms)
				wf_exec_advance(l, now, e, out);
			if (e->next_due_ms < l->next_occurrence_ms)
				l->next_occurrence_ms = e->next_due_ms;
		}
	}
	if (l->next_occurrence_ms == INT64_MAX)
		return AGB_TIME_MAX;
	return now->mono +
	    (agb_time)(l->next_occurrence_ms - now->unix_ms) * AGB_MS;
}

/* Ends the time for which a task counts as in flight. */
static void
task_leave_flight(struct wf_leader *l, struct wf_task *t)
{
	l->flow.in_flight -= t->in_flight;
	t->in_flight = false;
}

void
wf_task_confirm(struct wf_leader *l, struct wf_task *t, agb_time now)
{
	if (t->start_accepted_at == 0)
		t->start_accepted_at = now;
	if (t->in_flight)
		wf_flow_note_confirmed(&l->flow);
	if (wf_flow_is_limiting(&l->flow, now))
		l->placement_changed = true;
	task_leave_flight(l, t);
}

void
wf_task_mark_unanswered(struct wf_leader *l, struct wf_task *t)
{
	t->start_unanswered = true;
	task_leave_flight(l, t);
}

void
wf_task_assign(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, uint32_t runner, uint32_t run)
{
	t->state = WF_TASK_INTENT;
	t->run = run;
	wf_job_note_run(u->exec->job, run);
	t->runner = runner;
	t->incarnation = l->runners[runner].incarnation;
	t->started_ms = l->runners[runner].started_ms;
	t->recovered = false;
	t->start_unanswered = false;
	t->listed = false;
	t->intent_in_write = false;
	t->start_accepted_at = 0;
	t->start_deadline_ms = 0;
	t->sent_at = now->mono;
	t->in_flight = true;
	l->flow.in_flight++;
	if (run > u->run)
		u->run = run;
	u->waiting--;
	u->active++;
	wf_task_allocate(l, u, t);
	if (u->waiting == 0)
		unit_dequeue(l, u);
	wf_meter_count(l->meter, WF_TALLY_ASSIGNED);
	if (u->tickets_until > 0) {
		wf_meter_count(l->meter, WF_TALLY_SETS_USED);
		u->tickets_until = 0;
	}
	wf_exec_mark_dirty(l, u->exec);
}

void
wf_task_release(struct wf_leader *l, struct wf_unit *u, struct wf_task *t)
{
	struct wf_runner *const r = &l->runners[t->runner];

	if (!t->allocated)
		return;
	t->allocated = false;
	task_leave_flight(l, t);
	u->allocated--;
	u->exec->allocated--;
	if (t->state == WF_TASK_DONE)
		request_refresh(l, u->exec);
	DL_DELETE(r->tasks, t);
	wf_runner_account_task(r, wf_unit_step(u), false);
	agb_resources_sub(&u->exec->account->used, &wf_unit_step(u)->need);
	if (t->stopping) {
		t->stopping = false;
		l->stops_pending--;
	}
	l->placement_changed = true;
	l->reap_pending =
	    l->reap_pending || wf_job_state_is_final(u->exec->state);
}

/* Releases a task that is not on its runner any more and has not ended
 * successfully, and queues it. */
static void
task_return_to_queue(struct wf_leader *l, struct wf_unit *u, struct wf_task *t)
{
	const bool was_active = t->state == WF_TASK_INTENT ||
	    t->state == WF_TASK_SENT || t->state == WF_TASK_RUNNING;

	wf_task_release(l, u, t);
	if (!was_active)
		return;
	t->state = WF_TASK_WAITING;
	if (t->index < u->waiting_from)
		u->waiting_from = t->index;
	t->recovered = false;
	t->intent_in_write = false;
	u->active--;
	u->waiting++;
	if (u->ready && !wf_job_state_is_final(u->exec->state))
		unit_enqueue(l, u);
}

/* The members of a gang only work together: when one has to start again, the
 * others are stopped, including those whose start is still pending. No member
 * joins them any more. */
void
wf_gang_stop(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_effects *out)
{
	struct wf_task *t;
	uint32_t i;

	u->repair_deadline = 0;
	for (i = 0; i < u->tasks_len; i++) {
		t = wf_unit_find_task(u, i);
		if (t != NULL && t->allocated && t->state != WF_TASK_DONE &&
		    !t->stopping)
			wf_task_stop(
			    l, now, u, t, "another member has ended", out);
	}
}

/* Whether a gang member whose start has failed may start on another runner in
 * the same run: it has certainly not begun, and the others still wait for
 * it. */
static bool
may_replace_member(
    const struct wf_now *now, const struct wf_unit *u, const struct wf_task *t)
{
	const struct wf_task *m;
	uint32_t i;

	if (!wf_unit_step(u)->gang || t->state != WF_TASK_SENT ||
	    t->recovered || now->mono > t->sent_at + GANG_REPAIR_MS * AGB_MS)
		return false;
	for (i = 0; i < u->tasks_len; i++) {
		m = wf_unit_find_task(u, i);
		if (m != NULL && m != t && m->allocated && m->stopping &&
		    !m->start_unanswered)
			return false;
	}
	return true;
}

/* What shows that the latest run of a task has started, for the log. */
static const char *
start_evidence(const struct wf_task *t)
{
	return t->listed	       ? "list"
	    : t->start_accepted_at > 0 ? "answer"
				       : "none";
}

void
wf_task_requeue(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, const char *why,
    struct wf_effects *out)
{
	const uint32_t runner = t->runner;
	struct wf_task_ref ref;
	bool repair;

	wf_task_ref(t, &ref);
	wf_effects_log_run(out, AGB_LOG_INFO, "requeue", &ref, t->run,
	    l->runners[runner].info.id,
	    "reason=\"%s\" since_ms=%" PRIu64 " started_by=%s", why,
	    (now->mono - t->sent_at) / AGB_MS, start_evidence(t));
	wf_meter_count(l->meter, WF_TALLY_REQUEUED);
	repair = may_replace_member(now, u, t);
	task_return_to_queue(l, u, t);
	wf_exec_mark_dirty(l, u->exec);
	/* The runner has stopped this run and would refuse to start it again. */
	t->avoid_runner = repair ? runner : t->avoid_runner;
	if (repair)
		u->repair_deadline = t->sent_at + GANG_REPAIR_MS * AGB_MS;
	else if (wf_unit_step(u)->gang)
		wf_gang_stop(l, now, u, out);
}

static agb_time
end_batch_time(const struct wf_leader *l, agb_time now)
{
	const agb_time factor = wf_flow_is_congested(&l->flow, now)
	    ? END_BATCH_CONGESTED_FACTOR
	    : 1;

	return factor * END_BATCH_MS * AGB_MS;
}

static void
mark_task_done(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, struct wf_effects *out)
{
	if (t->state == WF_TASK_DONE)
		return;
	if (t->state == WF_TASK_WAITING)
		u->waiting--;
	else
		u->active--;
	t->state = WF_TASK_DONE;
	wf_unit_set_done(u, t->index);
	u->done++;
	request_refresh(l, u->exec);
	/* No other step depends on this end alone. When runners are reached
	 * through relays, as the leader's machine is small for their number,
	 * this end shares a write with other ends of the job. */
	mark_dirty(l, u->exec,
	    l->outbox.use_relays ? now->mono + end_batch_time(l, now->mono)
				 : 0);
	if (u->done == u->tasks_len) {
		wf_exec_mark_dirty(l, u->exec);
		wf_exec_advance(l, now, u->exec, out);
	}
}

/* Marks a task done; the whole gang when it is a member of one. */
static void
complete_task(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, struct wf_effects *out)
{
	uint32_t i;

	if (!wf_unit_step(u)->gang) {
		mark_task_done(l, now, u, t, out);
		return;
	}
	for (i = 0; i < u->tasks_len; i++)
		mark_task_done(l, now, u, wf_unit_task(u, i), out);
}

void
wf_task_done_by_earlier_run(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, struct wf_effects *out)
{
	if (wf_unit_step(u)->gang)
		wf_gang_stop(l, now, u, out);
	else if (t->allocated)
		wf_task_stop(
		    l, now, u, t, "an earlier run has completed it", out);
	complete_task(l, now, u, t, out);
	if (u->waiting == 0)
		unit_dequeue(l, u);
}

static void
record_task_failure(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, uint32_t runner,
    struct wf_effects *out)
{
	const struct wf_queue *const q = wf_unit_queue(l, u);
	const struct wf_step *const step = wf_unit_step(u);
	uint32_t i;

	t->avoid_runner = runner;
	if (step->long_running)
		return;
	if (!step->gang) {
		t->failures++;
	} else if (u->failed_run != t->run) {
		u->failed_run = t->run;
		u->failures++;
		for (i = 0; i < u->tasks_len; i++)
			wf_unit_task(u, i)->failures = u->failures;
	}
	if (q != NULL && t->failures >= q->max_attempts)
		wf_exec_finish(l, now, u->exec, WF_JOB_FAILED,
		    "a task has failed as often as its queue allows", out);
}

void
wf_task_handle_end(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, enum wf_run_end how,
    const char *saved, struct wf_effects *out)
{
	const struct wf_step *const step = wf_unit_step(u);
	const uint32_t runner = t->runner;
	uint32_t i;

	u->repair_deadline = 0;
	wf_exec_mark_running(l, u->exec);
	if (how == WF_END_DONE && !step->long_running) {
		wf_task_release(l, u, t);
		complete_task(l, now, u, t, out);
		return;
	}
	if (t->state == WF_TASK_DONE) {
		wf_task_release(l, u, t);
		return;
	}
	task_return_to_queue(l, u, t);
	wf_exec_mark_dirty(l, u->exec);
	if (step->gang) {
		for (i = 0; i < u->tasks_len; i++)
			wf_task_set_checkpoint(wf_unit_task(u, i), saved);
		wf_gang_stop(l, now, u, out);
	} else {
		wf_task_set_checkpoint(t, saved);
	}
	if (how == WF_END_FAILED)
		record_task_failure(l, now, u, t, runner, out);
}

void
wf_task_stop(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, const char *why, struct wf_effects *out)
{
	struct wf_task_ref ref;

	if (!t->allocated || t->stopping)
		return;
	if (t->state == WF_TASK_INTENT) {
		task_return_to_queue(l, u, t);
		wf_exec_mark_dirty(l, u->exec);
		return;
	}
	wf_task_ref(t, &ref);
	wf_effects_log_run(out, AGB_LOG_INFO, "stop", &ref, t->run,
	    l->runners[t->runner].info.id, "reason=\"%s\"", why);
	t->stopping = true;
	t->next_stop_at = now->mono;
	l->stops_pending++;
}

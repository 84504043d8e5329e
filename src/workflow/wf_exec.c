#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_leader.h"

/* A submission whose time stamp is older than this is taken as this old: the
 * clocks of two instances may differ by seconds. */
#define AGE_MAX_MS 60000

/* Members of a gang wait for each other; one whose start has failed is placed
 * anew within this time. */
#define REPAIR_MS 1800
/* A wide step writes its record once for the ends of this time. */
#define END_WAIT_MS 80

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
wf_exec_ref(const struct wf_unit *u, uint32_t task, struct wf_task_ref *ref)
{
	memset(ref, 0, sizeof(*ref));
	agb_name_set(ref->job, sizeof(ref->job), u->exec->job->id);
	ref->occurrence = u->occurrence;
	ref->step = u->step;
	ref->index = task;
}

void
wf_task_ref(const struct wf_task *t, struct wf_task_ref *ref)
{
	const struct wf_unit *const u = t->unit;

	wf_exec_ref(u, (uint32_t)(t - u->exec->tasks) - u->first, ref);
}

struct wf_task *
wf_exec_task(
    struct wf_leader *l, const struct wf_task_ref *ref, struct wf_unit **unit)
{
	struct wf_job *const j = wf_table_job(l->table, ref->job);
	const struct wf_spec *spec;
	struct wf_unit *u;

	if (j == NULL || j->exec == NULL)
		return NULL;
	spec = &j->spec;
	if (ref->occurrence >= spec->repeat_count ||
	    ref->step >= spec->steps_len ||
	    ref->index >= spec->steps[ref->step].count)
		return NULL;
	u = &j->exec->units[ref->occurrence * spec->steps_len + ref->step];
	*unit = u;
	return &j->exec->tasks[u->first + ref->index];
}

static void
change(struct wf_leader *l, struct wf_exec *e, agb_time write_at)
{
	l->gen++;
	/* The oldest change that is not durable counts. */
	if (!e->dirty) {
		e->gen = l->gen;
		l->dirty++;
		e->write_at = write_at;
	}
	e->dirty = true;
	e->write_at = agb_time_min(e->write_at, write_at);
}

void
wf_exec_change(struct wf_leader *l, struct wf_exec *e)
{
	change(l, e, 0);
}

/* Longest chain of estimates through the steps. */
static uint64_t
chain_ms(const struct wf_spec *s)
{
	uint64_t until[WF_STEPS_MAX], longest;
	uint32_t i, k;

	longest = 0;
	for (i = 0; i < s->steps_len; i++) {
		until[i] = 0;
		for (k = 0; k < i; k++) {
			if ((s->steps[i].after >> k & 1) && until[k] > until[i])
				until[i] = until[k];
		}
		until[i] += s->steps[i].estimate_ms;
		if (until[i] > longest)
			longest = until[i];
	}
	return longest;
}

static agb_time
due_of(const struct wf_leader *l, const struct wf_exec *e, uint32_t occurrence)
{
	const struct wf_spec *const s = &e->job->spec;
	const struct wf_queue *const q = wf_doc_queue(l->doc, s->queue);
	agb_time due;

	due = e->accepted_at;
	if (s->start_at_ms > 0 && s->start_at_ms > s->submitted_ms)
		due += (agb_time)(s->start_at_ms - s->submitted_ms) * AGB_MS;
	due += (agb_time)occurrence * s->period_ms * AGB_MS;
	if (q == NULL)
		return due + chain_ms(s) * AGB_MS;
	due += (agb_time)((double)chain_ms(s) * q->slack_factor) * AGB_MS;
	return due + (agb_time)q->target_ms * AGB_MS;
}

static void
unit_enqueue(struct wf_leader *l, struct wf_unit *u)
{
	if (u->queued)
		return;
	u->queued = true;
	DL_APPEND(l->queue, u);
	l->queue_len++;
	l->changed = true;
}

static void
unit_dequeue(struct wf_leader *l, struct wf_unit *u)
{
	if (!u->queued)
		return;
	u->queued = false;
	DL_DELETE(l->queue, u);
	l->queue_len--;
}

void
wf_task_save(struct wf_task *t, const char *saved)
{
	if (saved[0] == '\0' ||
	    (t->saved != NULL && strcmp(t->saved, saved) == 0))
		return;
	free(t->saved);
	t->saved = agb_xstrdup(saved);
}

void
wf_runner_count(struct wf_runner *r, const struct wf_step *step, bool there)
{
	const struct agb_resources need = wf_step_reserved(step);

	if (there)
		agb_resources_add(&r->held, &need);
	else
		agb_resources_sub(&r->held, &need);
	if (step->best_effort)
		r->filled +=
		    there ? step->need.cpu_milli : -step->need.cpu_milli;
}

void
wf_task_count(struct wf_leader *l, struct wf_unit *u, struct wf_task *t)
{
	struct wf_runner *const r = &l->runners[t->runner];

	t->holds = true;
	t->unit = u;
	DL_APPEND(r->tasks, t);
	wf_runner_count(r, wf_unit_step(u), true);
}

void
wf_exec_show(struct wf_leader *l, struct wf_exec *e)
{
	if (e->shown && e->shown_state == e->job->state)
		return;
	e->shown = true;
	e->shown_state = e->job->state;
	wf_show_add_state(l, e->job->id, e->job->state);
}

void
wf_exec_begun(struct wf_leader *l, struct wf_exec *e)
{
	struct wf_job *const j = e->job;

	if (e->state != WF_JOB_QUEUED)
		return;
	e->state = WF_JOB_RUNNING;
	if (wf_job_final(j->state))
		return;
	j->state = WF_JOB_RUNNING;
	wf_exec_show(l, e);
}

struct wf_exec *
wf_exec_new(struct wf_leader *l, const struct wf_now *now, struct wf_job *j,
    struct wf_effects *out)
{
	const struct wf_spec *const s = &j->spec;
	struct wf_exec *const e = agb_xcalloc(1, sizeof(*e));
	int64_t age;
	uint32_t i, first;

	e->job = j;
	j->exec = e;
	e->units_len = s->repeat_count * s->steps_len;
	e->units = agb_xcalloc(e->units_len, sizeof(*e->units));
	e->tasks_len = s->repeat_count * wf_spec_task_count(s);
	e->tasks = agb_xcalloc(e->tasks_len, sizeof(*e->tasks));
	age = now->unix_ms - s->submitted_ms;
	age = age < 0 ? 0 : age > AGE_MAX_MS ? AGE_MAX_MS : age;
	e->accepted_at = now->mono - (agb_time)age * AGB_MS;
	first = 0;
	for (i = 0; i < e->units_len; i++) {
		e->units[i].exec = e;
		e->units[i].occurrence = i / s->steps_len;
		e->units[i].step = i % s->steps_len;
		e->units[i].first = first;
		e->units[i].waiting = s->steps[i % s->steps_len].count;
		e->units[i].due = due_of(l, e, i / s->steps_len);
		first += e->units[i].waiting;
	}
	for (i = 0; i < e->tasks_len; i++) {
		e->tasks[i].runner = WF_NO_HANDLE;
		e->tasks[i].avoid = WF_NO_HANDLE;
	}
	DL_APPEND(l->execs, e);
	if (s->start_at_ms > 0)
		l->timed++;
	wf_state_restore(l, now, e, out);
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

void
wf_exec_free(struct wf_leader *l, struct wf_exec *e)
{
	uint32_t i;

	for (i = 0; i < e->units_len; i++) {
		unit_dequeue(l, &e->units[i]);
		free(e->units[i].approvals);
	}
	for (i = 0; i < e->tasks_len; i++) {
		if (e->tasks[i].holds)
			wf_task_release(l, e->tasks[i].unit, &e->tasks[i]);
		if (e->tasks[i].stopping)
			l->stops--;
		free(e->tasks[i].saved);
	}
	DL_DELETE(l->execs, e);
	if (e->dirty)
		l->dirty--;
	if (e->job->spec.start_at_ms > 0)
		l->timed--;
	e->job->exec = NULL;
	free(e->units);
	free(e->tasks);
	free(e);
}

static int64_t
occurrence_ms(const struct wf_spec *s, uint32_t occurrence)
{
	if (s->start_at_ms == 0)
		return 0;
	return s->start_at_ms + (int64_t)occurrence * s->period_ms;
}

static bool
unit_is_ready(const struct wf_leader *l, const struct wf_now *now,
    const struct wf_unit *u)
{
	const struct wf_spec *const s = &u->exec->job->spec;
	const struct wf_unit *const row = u - u->step;
	const uint64_t after = s->steps[u->step].after;
	uint32_t i;

	if (occurrence_ms(s, u->occurrence) > now->unix_ms)
		return false;
	for (i = 0; i < u->step; i++) {
		if ((after >> i & 1) && row[i].done < s->steps[i].count)
			return false;
	}
	return true;
}

void
wf_exec_finish(struct wf_leader *l, const struct wf_now *now, struct wf_exec *e,
    enum wf_job_state state, const char *why, struct wf_effects *out)
{
	uint32_t i, k;

	if (wf_job_final(e->state))
		return;
	l->ended = true;
	e->state = state;
	e->ended_ms = now->unix_ms;
	agb_name_set(e->detail, sizeof(e->detail), why);
	for (i = 0; i < e->units_len; i++) {
		unit_dequeue(l, &e->units[i]);
		for (k = 0; k < wf_unit_step(&e->units[i])->count; k++) {
			struct wf_task *const t =
			    &e->tasks[e->units[i].first + k];

			if (t->holds && t->state != WF_TASK_DONE)
				wf_task_stop(l, now, &e->units[i], t, why, out);
		}
	}
	wf_exec_change(l, e);
	wf_effects_log(out, AGB_LOG_INFO, "job_end",
	    "job=%s state=%s reason=\"%s\" age_ms=%" PRIu64 " late=%s",
	    e->job->id, wf_job_state_name(state), why,
	    (now->mono - e->accepted_at) / AGB_MS,
	    e->units_len > 0 && now->mono > e->units[e->units_len - 1].due
		? "yes"
		: "no");
}

void
wf_exec_advance(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out)
{
	struct wf_unit *u;
	uint32_t i, done;

	if (wf_job_final(e->state))
		return;
	if (e->job->cancel_rev > 0) {
		wf_exec_finish(l, now, e, WF_JOB_CANCELLED,
		    "cancelled by its caller", out);
		return;
	}
	done = 0;
	for (i = 0; i < e->units_len; i++) {
		u = &e->units[i];
		if (u->done == wf_unit_step(u)->count) {
			done++;
			unit_dequeue(l, u);
			continue;
		}
		if (!u->ready && unit_is_ready(l, now, u)) {
			u->ready = true;
			u->ready_at = now->mono;
		}
		if (u->ready && u->waiting > 0)
			unit_enqueue(l, u);
	}
	if (done == e->units_len)
		wf_exec_finish(
		    l, now, e, WF_JOB_COMPLETED, "all tasks are done", out);
}

agb_time
wf_exec_next(const struct wf_leader *l, const struct wf_now *now)
{
	const struct wf_exec *e;
	int64_t at, next;
	uint32_t i;

	if (l->timed == 0)
		return AGB_TIME_MAX;
	next = INT64_MAX;
	for (e = l->execs; e != NULL; e = e->next) {
		if (e->job->spec.start_at_ms == 0 || wf_job_final(e->state))
			continue;
		for (i = 0; i < e->units_len; i++) {
			if (e->units[i].ready)
				continue;
			at = occurrence_ms(
			    &e->job->spec, e->units[i].occurrence);
			if (at > now->unix_ms && at < next)
				next = at;
		}
	}
	if (next == INT64_MAX)
		return AGB_TIME_MAX;
	return now->mono + (agb_time)(next - now->unix_ms) * AGB_MS;
}

void
wf_task_assign(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, uint32_t runner, uint32_t run)
{
	t->state = WF_TASK_INTENT;
	t->run = run;
	t->runner = runner;
	t->life = l->runners[runner].life;
	t->born_ms = l->runners[runner].info.started_ms;
	t->recovered = false;
	t->unanswered = false;
	t->flushing = false;
	t->answered_at = 0;
	t->start_ms = 0;
	t->sent_at = now->mono;
	if (run > u->run)
		u->run = run;
	u->waiting--;
	u->active++;
	wf_task_count(l, u, t);
	if (u->waiting == 0)
		unit_dequeue(l, u);
	wf_exec_change(l, u->exec);
}

void
wf_task_release(struct wf_leader *l, struct wf_unit *u, struct wf_task *t)
{
	struct wf_runner *const r = &l->runners[t->runner];

	if (!t->holds)
		return;
	t->holds = false;
	DL_DELETE(r->tasks, t);
	wf_runner_count(r, wf_unit_step(u), false);
	if (t->stopping) {
		t->stopping = false;
		l->stops--;
	}
	l->changed = true;
	l->ended = l->ended || wf_job_final(u->exec->state);
}

/* A task is not at its runner any more and has not ended done. */
static void
task_wait(struct wf_leader *l, struct wf_unit *u, struct wf_task *t)
{
	const bool was_active = t->state == WF_TASK_INTENT ||
	    t->state == WF_TASK_SENT || t->state == WF_TASK_RUN;

	wf_task_release(l, u, t);
	if (!was_active)
		return;
	t->state = WF_TASK_WAIT;
	t->recovered = false;
	t->flushing = false;
	u->active--;
	u->waiting++;
	if (u->ready && !wf_job_final(u->exec->state))
		unit_enqueue(l, u);
}

/* Members of a gang only work together: when one has to start again, the
 * others stop, also those whose start is still under way. */
void
wf_gang_stop(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_effects *out)
{
	struct wf_task *t;
	uint32_t i;

	for (i = 0; i < wf_unit_step(u)->count; i++) {
		t = &u->exec->tasks[u->first + i];
		if (t->holds && t->state != WF_TASK_DONE && !t->stopping)
			wf_task_stop(
			    l, now, u, t, "another member has ended", out);
	}
}

/* A member that certainly has not begun, in a gang that still waits for it,
 * can begin elsewhere in the same run. */
static bool
gang_may_repair(
    const struct wf_now *now, const struct wf_unit *u, const struct wf_task *t)
{
	const struct wf_task *m;
	uint32_t i;

	if (!wf_unit_step(u)->gang || t->state != WF_TASK_SENT ||
	    t->recovered || now->mono > t->sent_at + REPAIR_MS * AGB_MS)
		return false;
	for (i = 0; i < wf_unit_step(u)->count; i++) {
		m = &u->exec->tasks[u->first + i];
		if (m != t && m->holds && m->stopping && !m->unanswered)
			return false;
	}
	return true;
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
	    l->runners[runner].info.id, "reason=\"%s\" since_ms=%" PRIu64, why,
	    (now->mono - t->sent_at) / AGB_MS);
	repair = gang_may_repair(now, u, t);
	task_wait(l, u, t);
	wf_exec_change(l, u->exec);
	/* That run cannot start any more where it has been stopped. */
	t->avoid = repair ? runner : t->avoid;
	if (repair)
		u->repair_until = t->sent_at + REPAIR_MS * AGB_MS;
	else if (wf_unit_step(u)->gang)
		wf_gang_stop(l, now, u, out);
}

static void
unit_done(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, struct wf_effects *out)
{
	if (t->state == WF_TASK_DONE)
		return;
	if (t->state == WF_TASK_WAIT)
		u->waiting--;
	else
		u->active--;
	t->state = WF_TASK_DONE;
	u->done++;
	/* Ends that nothing waits for share a write with others of the job, where
	 * the leader's machine has little room. */
	change(l, u->exec,
	    l->outbox.through ? now->mono + END_WAIT_MS * AGB_MS : 0);
	if (u->done == wf_unit_step(u)->count) {
		wf_exec_change(l, u->exec);
		wf_exec_advance(l, now, u->exec, out);
	}
}

/* One done member stands for the whole gang. */
static void
task_done(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, struct wf_effects *out)
{
	uint32_t i;

	if (!wf_unit_step(u)->gang) {
		unit_done(l, now, u, t, out);
		return;
	}
	for (i = 0; i < wf_unit_step(u)->count; i++)
		unit_done(l, now, u, &u->exec->tasks[u->first + i], out);
}

void
wf_task_ended_elsewhere(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, struct wf_effects *out)
{
	if (wf_unit_step(u)->gang)
		wf_gang_stop(l, now, u, out);
	else if (t->holds)
		wf_task_stop(
		    l, now, u, t, "an earlier run has finished it", out);
	task_done(l, now, u, t, out);
	if (u->waiting == 0)
		unit_dequeue(l, u);
}

static void
task_failed(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, uint32_t runner, struct wf_effects *out)
{
	const struct wf_queue *const q = wf_unit_queue(l, u);
	const struct wf_step *const step = wf_unit_step(u);
	uint32_t i;

	t->avoid = runner;
	if (step->long_running)
		return;
	if (!step->gang) {
		t->failures++;
	} else if (u->failed_run != t->run) {
		u->failed_run = t->run;
		u->failures++;
		for (i = 0; i < step->count; i++)
			u->exec->tasks[u->first + i].failures = u->failures;
	}
	if (q != NULL && t->failures >= q->max_attempts)
		wf_exec_finish(l, now, u->exec, WF_JOB_FAILED,
		    "a task has failed as often as its queue allows", out);
}

void
wf_task_ended(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, enum wf_run_end how, const char *saved,
    struct wf_effects *out)
{
	const struct wf_step *const step = wf_unit_step(u);
	const uint32_t runner = t->runner;
	uint32_t i;

	u->repair_until = 0;
	wf_exec_begun(l, u->exec);
	if (how == WF_END_DONE && !step->long_running) {
		wf_task_release(l, u, t);
		task_done(l, now, u, t, out);
		return;
	}
	if (t->state == WF_TASK_DONE) {
		wf_task_release(l, u, t);
		return;
	}
	task_wait(l, u, t);
	wf_exec_change(l, u->exec);
	if (step->gang) {
		for (i = 0; i < step->count; i++)
			wf_task_save(&u->exec->tasks[u->first + i], saved);
		wf_gang_stop(l, now, u, out);
	} else {
		wf_task_save(t, saved);
	}
	if (how == WF_END_FAILED)
		task_failed(l, now, u, t, runner, out);
}

void
wf_task_stop(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, const char *why, struct wf_effects *out)
{
	struct wf_task_ref ref;

	if (!t->holds || t->stopping)
		return;
	if (t->state == WF_TASK_INTENT) {
		task_wait(l, u, t);
		wf_exec_change(l, u->exec);
		return;
	}
	wf_task_ref(t, &ref);
	wf_effects_log_run(out, AGB_LOG_INFO, "stop", &ref, t->run,
	    l->runners[t->runner].info.id, "reason=\"%s\"", why);
	t->stopping = true;
	t->stop_at = now->mono;
	l->stops++;
}

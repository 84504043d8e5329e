#include "sched_internal.h"

#include <stdio.h>
#include <string.h>

/*
 * Tasks: queued, started, adopted after a takeover, ended.
 */

void
sched_task_enqueue(struct agb_sched *s, struct sched_job *j, uint32_t task)
{
	struct sched_task *const t = &j->tasks[task];

	t->state = TASK_PENDING;
	j->pending++;
	s->tasks_queued++;
	s->level_queued[sched_job_level(s, j)]++;
	if (t->on_pending_list)
		return;
	t->on_pending_list = true;
	t->next = j->pending_head;
	j->pending_head = task;
}

void
sched_task_dequeue(struct agb_sched *s, struct sched_job *j, uint32_t task)
{
	struct sched_task *const t = &j->tasks[task];

	if (t->state == TASK_PENDING) {
		sched_job_uncount_pending(s, j, 1);
		if (j->pending == 0)
			sched_queue_remove(s, j);
	} else if (t->state == TASK_BACKOFF) {
		j->backoff--;
	}
}

static void
activate(struct agb_sched *s, struct sched_job *j, uint32_t task,
    struct sched_attempt *a)
{
	struct sched_task *const t = &j->tasks[task];

	sched_task_dequeue(s, j, task);
	t->state = TASK_ACTIVE;
	t->attempt = a;
	a->job = j->handle;
	a->task = task;
	j->active++;
	sched_spread_count(s, j, a->worker, 1);
}

static void
deactivate(struct agb_sched *s, struct sched_job *j, struct sched_attempt *a)
{
	j->tasks[a->task].attempt = NULL;
	j->active--;
	sched_spread_count(s, j, a->worker, -1);
}

void
sched_task_start(struct agb_sched *s, agb_time now, struct sched_job *j,
    uint32_t task, struct sched_worker *w, const struct agb_resources *need,
    uint32_t considered, const char *why)
{
	/* @need may point into a bucket that is freed below. */
	const struct agb_resources size = *need;
	const bool over_quota = !sched_quota_fits(s, j->spec.team, need, 1);
	struct agb_sched_effect *ef;
	struct sched_attempt *a;

	a = sched_attempt_new(
	    s, NULL, w->handle, j->spec.work, j->spec.team, need, false, now);
	a->declared = j->spec.need;
	a->borrowed = over_quota;
	a->end_at = sched_learn_expected_end(s, j, now);
	activate(s, j, task, a);
	j->started = true;
	sched_shed_count_start(s, now);
	if (a->probe)
		sched_health_schedule_probe_check(s, now, w);
	sched_retry_credit_start(s, j, task);
	ef = agb_sched_effects_add(s->out, AGB_SCHED_START);
	ef->job = j->handle;
	ef->task = task;
	ef->attempt = a->id;
	ef->worker = w->handle;
	ef->need = size;
	ef->run_ms = j->spec.run_ms;
	ef->considered = considered;
	snprintf(ef->detail, sizeof(ef->detail),
	    "%s work=%s team=%s%s waited_ms=%llu", why,
	    sched_work_name(s, j->spec.work), sched_team_name(s, j->spec.team),
	    over_quota ? " borrowed" : "",
	    (unsigned long long)((now - j->waiting_since) / AGB_MS));
}

void
sched_task_move(struct agb_sched *s, struct sched_attempt *a, uint32_t worker)
{
	struct sched_job *const j = sched_job_get(s, a->job);

	if (j != NULL)
		sched_spread_count(s, j, a->worker, -1);
	sched_attempt_move(s, a, worker);
	if (j != NULL)
		sched_spread_count(s, j, a->worker, 1);
}

/* A worker reports that an attempt added by TASK_INTENT is running. */
static void
resolve_intent(struct agb_sched *s, struct sched_job *j,
    struct sched_attempt *a, const struct agb_sched_event *ev,
    const struct agb_resources *size)
{
	if (a->worker != ev->worker)
		sched_task_move(s, a, ev->worker);
	if (a->state != ATTEMPT_UNKNOWN)
		return;
	sched_attempt_resize(s, a, size);
	a->unthrottled = *size;
	sched_attempt_set_state(s, a, ATTEMPT_RUNNING);
	if (j == NULL)
		return;
	j->ran = true;
	if (j->ending)
		sched_attempt_stop(s, a, j->end_reason, j->end_detail);
}

void
sched_task_adopt(struct agb_sched *s, agb_time now,
    const struct agb_sched_event *ev, bool intent)
{
	struct sched_job *const j = sched_job_get(s, ev->job);
	const bool known = j != NULL && ev->task < j->spec.tasks;
	struct agb_resources size = ev->used;
	struct sched_attempt *a = sched_attempt_find(s, &ev->attempt);

	/* The usage that the worker reports may lag behind what was
	 * allocated. */
	if (known && !intent && agb_resources_fit(&size, &j->spec.need))
		size = j->spec.need;
	if (a != NULL) {
		if (!intent)
			resolve_intent(s, j, a, ev, &size);
		return;
	}
	if (intent)
		size = (struct agb_resources){0};
	a = sched_attempt_new(s, &ev->attempt,
	    intent ? AGB_SCHED_NONE : ev->worker,
	    known ? j->spec.work : AGB_ENV_NONE,
	    known ? j->spec.team : SCHED_TEAM_NONE, &size, false, now);
	a->state = intent ? ATTEMPT_UNKNOWN : ATTEMPT_RUNNING;
	if (known) {
		a->declared = j->spec.need;
		a->end_at = sched_learn_expected_end(s, j, now);
	}
	if (known && !j->ending && j->tasks[ev->task].attempt == NULL &&
	    j->tasks[ev->task].state != TASK_DONE) {
		activate(s, j, ev->task, a);
		j->started = true;
		j->ran = j->ran || !intent;
		return;
	}
	/* Stop an attempt that has no job, or that runs a task a second
	 * time. */
	if (!intent) {
		a->job = ev->job;
		a->task = ev->task;
		sched_attempt_stop(s, a, AGB_REASON_CANCELLED,
		    known ? "the task already runs elsewhere or has ended"
			  : "no such job");
		a->job = AGB_SCHED_NONE;
	}
}

void
sched_task_mark_done(
    struct agb_sched *s, agb_time now, uint32_t job, uint32_t task)
{
	struct sched_job *const j = sched_job_get(s, job);

	if (j == NULL || task >= j->spec.tasks ||
	    j->tasks[task].state == TASK_DONE ||
	    j->tasks[task].state == TASK_ACTIVE)
		return;
	sched_task_dequeue(s, j, task);
	j->tasks[task].state = TASK_DONE;
	j->done++;
	j->started = true;
	j->ran = true;
	sched_job_finish_if_done(s, now, j);
}

void
sched_task_ended(struct agb_sched *s, agb_time now, struct sched_attempt *a,
    enum agb_result result)
{
	struct sched_job *const j = sched_job_get(s, a->job);
	struct sched_attempt_end e = {
	    .result = result,
	    .work = a->work,
	    .job = a->job,
	    .task = a->task,
	    .worker = a->worker,
	    .stop_reason = a->stop_reason,
	    .probe = a->probe,
	    .run_time = now > a->placed_at ? now - a->placed_at : 0,
	};

	if (j != NULL)
		deactivate(s, j, a);
	sched_attempt_free(s, a);
	if (j != NULL && j->tasks[e.task].state == TASK_ACTIVE)
		sched_learn_ended(s, j, &e);
	if (!sched_health_ended(s, now, j, &e) || j == NULL)
		return;
	sched_retry_ended(s, now, j, &e);
}

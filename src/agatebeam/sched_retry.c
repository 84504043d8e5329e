#include "sched_internal.h"

/*
 * What follows when an attempt has ended: the task is done, is started
 * again, or its job ends. Retries wait with exponential backoff and full
 * jitter and draw on a budget, so that a failing kind of work cannot fill
 * the shard with its own retries.
 */

/* First delay of a failed start; shorter ones meet the same fault again. */
#define DELAY_MS 200
/* Longest delay, and the run after which a service counts as sound. */
#define DELAY_MAX_MS 30000
#define SOUND_RUN (60 * AGB_SEC)
/* Retries saved up at most, and those given a second when nothing starts,
 * so that a kind of work with few starts is not stuck. */
#define TOKENS_MAX 50.0
#define TOKENS_MIN 10.0
#define TOKENS_A_SECOND 0.1
/* Wait for the next token of an empty budget. */
#define TOKEN_WAIT (2 * AGB_SEC)

static bool
is_service(const struct agb_sched *s, const struct sched_job *j)
{
	return sched_class(s, j->spec.work)->policy == AGB_POLICY_SERVICE;
}

static bool
is_gang(const struct agb_sched *s, const struct sched_job *j)
{
	return sched_class(s, j->spec.work)->policy == AGB_POLICY_GANG;
}

void
sched_retry_started(struct agb_sched *s, struct sched_job *j, uint32_t task)
{
	const struct sched_task *const t = &j->tasks[task];
	struct sched_work *k;

	if (j->spec.work >= s->works_len || t->fails > 0 || t->refusals > 0)
		return;
	k = &s->works[j->spec.work];
	k->retry_tokens +=
	    sched_class(s, j->spec.work)->retry_budget_percent / 100.0;
	if (k->retry_tokens > TOKENS_MAX)
		k->retry_tokens = TOKENS_MAX;
}

static bool
token_take(struct agb_sched *s, agb_time now, uint16_t work)
{
	struct sched_work *k;
	double more;

	if (work >= s->works_len)
		return true;
	k = &s->works[work];
	more = (double)(now - k->retry_at) / AGB_SEC * TOKENS_A_SECOND;
	k->retry_at = now;
	if (k->retry_tokens < TOKENS_MIN) {
		k->retry_tokens += more;
		if (k->retry_tokens > TOKENS_MIN)
			k->retry_tokens = TOKENS_MIN;
	}
	if (k->retry_tokens < 1)
		return false;
	k->retry_tokens -= 1;
	return true;
}

static agb_time
delay(struct agb_sched *s, uint32_t tries)
{
	uint64_t ms = DELAY_MS;

	while (tries-- > 1 && ms < DELAY_MAX_MS)
		ms *= 2;
	if (ms > DELAY_MAX_MS)
		ms = DELAY_MAX_MS;
	return (ms / 2 + sched_random(s) % (ms / 2 + 1)) * AGB_MS;
}

static void
pend_now(struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task)
{
	j->waiting_since = now;
	sched_task_pend(s, j, task);
	sched_queue_add(s, j, true);
	if (j->fail_workers_len > 0)
		sched_timer_add(
		    s, now + SCHED_AVOID, TIMER_GANG, j->handle, 0, j->serial);
}

static void
pend_later(struct agb_sched *s, agb_time now, struct sched_job *j,
    uint32_t task, bool pays)
{
	struct sched_task *const t = &j->tasks[task];

	t->state = TASK_BACKOFF;
	t->paid = !pays;
	j->backoff++;
	sched_timer_add(s, now + delay(s, t->fails + t->refusals), TIMER_TASK,
	    j->handle, task, j->serial);
}

/* A gang goes on only as a whole: the others are stopped, and all that is
 * not done starts again together. */
static void
gang_broken(
    struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task)
{
	uint32_t i;

	j->tasks[task].state = TASK_BACKOFF;
	j->backoff++;
	for (i = 0; !j->restarting && i < j->spec.tasks; i++) {
		if (j->tasks[i].att != NULL &&
		    j->tasks[i].att->state != ATT_UNKNOWN)
			sched_att_stop(s, j->tasks[i].att, AGB_REASON_PREEMPTED,
			    "another task of the gang has ended");
	}
	j->restarting = true;
	if (j->active == 0)
		sched_timer_add(s, now + delay(s, j->tasks[task].fails),
		    TIMER_TASK, j->handle, SCHED_NO_TASK, j->serial);
}

static void
gang_timer(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	uint32_t i;

	if (j->active > 0 || j->ending)
		return;
	j->restarting = false;
	j->waiting_since = now;
	for (i = j->spec.tasks; i-- > 0;) {
		if (j->tasks[i].state != TASK_BACKOFF)
			continue;
		j->backoff--;
		sched_task_pend(s, j, i);
	}
	sched_queue_add(s, j, true);
}

void
sched_retry_timer(
    struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task)
{
	struct sched_task *t;

	if (task == SCHED_NO_TASK) {
		gang_timer(s, now, j);
		return;
	}
	t = &j->tasks[task];
	if (t->state != TASK_BACKOFF || j->ending || j->restarting)
		return;
	if (!t->paid && !token_take(s, now, j->spec.work)) {
		sched_timer_add(s,
		    now + TOKEN_WAIT / 2 + sched_random(s) % TOKEN_WAIT,
		    TIMER_TASK, j->handle, task, j->serial);
		return;
	}
	j->backoff--;
	pend_now(s, now, j, task);
}

static void
retry(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_ending *e, bool pays)
{
	if (is_gang(s, j))
		gang_broken(s, now, j, e->task);
	else if (e->result == AGB_RESULT_STOPPED ||
	    e->result == AGB_RESULT_CHECKPOINTED)
		pend_now(s, now, j, e->task);
	else
		pend_later(s, now, j, e->task, pays);
}

static void
ended_ok(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_ending *e)
{
	struct sched_task *const t = &j->tasks[e->task];

	j->succeeded = true;
	j->fail_workers_len = 0;
	if (!is_service(s, j)) {
		t->state = TASK_DONE;
		j->done++;
		if (j->restarting && j->active == 0)
			sched_timer_add(s, now, TIMER_TASK, j->handle,
			    SCHED_NO_TASK, j->serial);
		sched_job_settle(s, now, j);
		return;
	}
	t->fails = e->ran_for >= SOUND_RUN ? 0 : t->fails + (t->fails < 16);
	pend_later(s, now, j, e->task, false);
}

static void
ended_failed(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_ending *e)
{
	const struct agb_env_class *const c = sched_class(s, j->spec.work);
	const struct sched_worker *const w = sched_worker_get(s, e->worker);
	struct sched_task *const t = &j->tasks[e->task];

	if (is_service(s, j)) {
		t->fails = e->ran_for >= SOUND_RUN ? 1 : t->fails + 1;
		if (t->fails > 16)
			t->fails = 16;
		retry(s, now, j, e, false);
		return;
	}
	if (j->spec.idempotent && t->fails < c->retries) {
		t->fails++;
		retry(s, now, j, e, true);
		return;
	}
	t->state = TASK_BACKOFF;
	j->backoff++;
	sched_job_end(s, now, j, AGB_REASON_NONE,
	    "task %u failed on %s, attempt %u", e->task,
	    w != NULL ? w->info.name : "a lost worker", t->fails + 1u);
}

static void
give_up(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_ending *e)
{
	j->tasks[e->task].state = TASK_BACKOFF;
	j->backoff++;
	if (e->result == AGB_RESULT_LOST) {
		j->unknown = true;
		sched_job_end(s, now, j, AGB_REASON_WORKER_LOST,
		    "task %u may have run; its worker was lost and it is not "
		    "idempotent",
		    e->task);
		return;
	}
	sched_job_end(s, now, j, AGB_REASON_PREEMPTED,
	    "task %u was stopped before its end and is not idempotent",
	    e->task);
}

void
sched_retry_ended(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_ending *e)
{
	struct sched_task *const t = &j->tasks[e->task];

	if (e->result != AGB_RESULT_NOT_STARTED)
		j->ran = true;
	j->started = j->ran || j->active > 0;
	if (j->ending) {
		j->unknown = j->unknown || e->result == AGB_RESULT_LOST;
		sched_job_settle(s, now, j);
		return;
	}
	switch (e->result) {
	case AGB_RESULT_OK:
		ended_ok(s, now, j, e);
		return;
	case AGB_RESULT_FAILED:
		ended_failed(s, now, j, e);
		return;
	case AGB_RESULT_NOT_STARTED:
		break;
	case AGB_RESULT_LOST:
	case AGB_RESULT_STOPPED:
	case AGB_RESULT_CHECKPOINTED:
		if (!j->spec.idempotent && !is_service(s, j)) {
			give_up(s, now, j, e);
			return;
		}
		break;
	}
	if (t->refusals < 16)
		t->refusals++;
	retry(s, now, j, e, false);
}

#include "sched_internal.h"

/*
 * Decides what follows the end of an attempt: the task is done, it is started
 * again, or its job ends. Retries are delayed with exponential backoff and
 * random jitter and draw on a budget, so that a failing kind of work cannot
 * fill the shard with its own retries.
 */

/* Delay after the first failure; with a shorter one the retry meets the same
 * fault. */
#define FIRST_DELAY_MS 200
/* Longest delay; and the run time after which a service counts as healthy. */
#define MAX_DELAY_MS 30000
#define HEALTHY_RUN_TIME (60 * AGB_SEC)
/* Retry budget: the most tokens that starts can save up, and the level to which
 * it refills by itself, a few tokens a minute. Without the refill, a kind of
 * work with few starts could never retry. */
#define MAX_TOKENS 50.0
#define MIN_TOKENS 10.0
#define TOKENS_PER_SECOND 0.1
/* Delay before an empty budget is checked again. */
#define TOKEN_RETRY_DELAY (2 * AGB_SEC)

static bool
is_service(const struct agb_sched *s, const struct sched_job *j)
{
	return sched_work_class(s, j->spec.work)->policy == AGB_POLICY_SERVICE;
}

static bool
is_gang(const struct agb_sched *s, const struct sched_job *j)
{
	return sched_work_class(s, j->spec.work)->policy == AGB_POLICY_GANG;
}

void
sched_retry_credit_start(
    struct agb_sched *s, struct sched_job *j, uint32_t task)
{
	const struct sched_task *const t = &j->tasks[task];
	struct sched_work *k;

	if (j->spec.work >= s->works_len || t->failures > 0 || t->refusals > 0)
		return;
	k = &s->works[j->spec.work];
	k->retry_tokens +=
	    sched_work_class(s, j->spec.work)->retry_budget_percent / 100.0;
	if (k->retry_tokens > MAX_TOKENS)
		k->retry_tokens = MAX_TOKENS;
}

static bool
take_token(struct agb_sched *s, agb_time now, uint16_t work)
{
	struct sched_work *k;
	double more;

	if (work >= s->works_len)
		return true;
	k = &s->works[work];
	more = (double)(now - k->retry_tokens_at) / AGB_SEC * TOKENS_PER_SECOND;
	k->retry_tokens_at = now;
	if (k->retry_tokens < MIN_TOKENS) {
		k->retry_tokens += more;
		if (k->retry_tokens > MIN_TOKENS)
			k->retry_tokens = MIN_TOKENS;
	}
	if (k->retry_tokens < 1)
		return false;
	k->retry_tokens -= 1;
	return true;
}

static agb_time
backoff_delay(struct agb_sched *s, uint32_t tries)
{
	uint64_t ms = FIRST_DELAY_MS;

	while (tries-- > 1 && ms < MAX_DELAY_MS)
		ms *= 2;
	if (ms > MAX_DELAY_MS)
		ms = MAX_DELAY_MS;
	return (ms / 2 + sched_random(s) % (ms / 2 + 1)) * AGB_MS;
}

static void
requeue_now(
    struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task)
{
	j->waiting_since = now;
	sched_task_enqueue(s, j, task);
	sched_queue_add(s, j, true);
	if (j->failed_workers_len > 0)
		sched_timer_add(s, now + SCHED_AVOID_TIME, TIMER_BUCKET_RETRY,
		    j->handle, 0, j->serial);
}

static void
requeue_after_delay(struct agb_sched *s, agb_time now, struct sched_job *j,
    uint32_t task, bool needs_token)
{
	struct sched_task *const t = &j->tasks[task];

	t->state = TASK_BACKOFF;
	t->token_taken = !needs_token;
	j->backoff++;
	sched_timer_add(s, now + backoff_delay(s, t->failures + t->refusals),
	    TIMER_TASK_RETRY, j->handle, task, j->serial);
}

/* Stops the other tasks of a gang of which one has ended early: all tasks that
 * are not done start again together. */
static void
stop_gang(struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task)
{
	uint32_t i;

	j->tasks[task].state = TASK_BACKOFF;
	j->backoff++;
	for (i = 0; !j->restarting && i < j->spec.tasks; i++) {
		if (j->tasks[i].attempt != NULL &&
		    j->tasks[i].attempt->state != ATTEMPT_UNKNOWN)
			sched_attempt_stop(s, j->tasks[i].attempt,
			    AGB_REASON_PREEMPTED,
			    "another task of the gang has ended");
	}
	j->restarting = true;
	if (j->active == 0)
		sched_timer_add(s,
		    now + backoff_delay(s, j->tasks[task].failures),
		    TIMER_TASK_RETRY, j->handle, SCHED_NO_TASK, j->serial);
}

static void
requeue_gang(struct agb_sched *s, agb_time now, struct sched_job *j)
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
		sched_task_enqueue(s, j, i);
	}
	sched_queue_add(s, j, true);
}

void
sched_retry_timer(
    struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task)
{
	struct sched_task *t;

	if (task == SCHED_NO_TASK) {
		requeue_gang(s, now, j);
		return;
	}
	t = &j->tasks[task];
	if (t->state != TASK_BACKOFF || j->ending || j->restarting)
		return;
	if (!t->token_taken && !take_token(s, now, j->spec.work)) {
		sched_timer_add(s,
		    now + TOKEN_RETRY_DELAY / 2 +
			sched_random(s) % TOKEN_RETRY_DELAY,
		    TIMER_TASK_RETRY, j->handle, task, j->serial);
		return;
	}
	j->backoff--;
	requeue_now(s, now, j, task);
}

static void
retry(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_attempt_end *e, bool needs_token)
{
	if (is_gang(s, j))
		stop_gang(s, now, j, e->task);
	else if (e->result == AGB_RESULT_STOPPED ||
	    e->result == AGB_RESULT_CHECKPOINTED)
		requeue_now(s, now, j, e->task);
	else
		requeue_after_delay(s, now, j, e->task, needs_token);
}

static void
handle_success(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_attempt_end *e)
{
	struct sched_task *const t = &j->tasks[e->task];

	j->succeeded = true;
	j->failed_workers_len = 0;
	if (!is_service(s, j)) {
		t->state = TASK_DONE;
		j->done++;
		if (j->restarting && j->active == 0)
			sched_timer_add(s, now, TIMER_TASK_RETRY, j->handle,
			    SCHED_NO_TASK, j->serial);
		sched_job_finish_if_done(s, now, j);
		return;
	}
	t->failures = e->run_time >= HEALTHY_RUN_TIME
	    ? 0
	    : t->failures + (t->failures < 16);
	requeue_after_delay(s, now, j, e->task, false);
}

static void
handle_failure(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_attempt_end *e)
{
	const struct agb_env_class *const c = sched_work_class(s, j->spec.work);
	const struct sched_worker *const w = sched_worker_get(s, e->worker);
	struct sched_task *const t = &j->tasks[e->task];

	if (is_service(s, j)) {
		t->failures =
		    e->run_time >= HEALTHY_RUN_TIME ? 1 : t->failures + 1;
		if (t->failures > 16)
			t->failures = 16;
		retry(s, now, j, e, false);
		return;
	}
	if (j->spec.idempotent && t->failures < c->retries) {
		t->failures++;
		retry(s, now, j, e, true);
		return;
	}
	t->state = TASK_BACKOFF;
	j->backoff++;
	sched_job_end(s, now, j, AGB_REASON_NONE,
	    "task %u failed on %s, attempt %u", e->task,
	    w != NULL ? w->info.name : "a lost worker", t->failures + 1u);
}

static void
end_job_not_idempotent(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_attempt_end *e)
{
	j->tasks[e->task].state = TASK_BACKOFF;
	j->backoff++;
	if (e->result == AGB_RESULT_LOST) {
		j->outcome_unknown = true;
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
    const struct sched_attempt_end *e)
{
	struct sched_task *const t = &j->tasks[e->task];

	if (e->result != AGB_RESULT_NOT_STARTED)
		j->ran = true;
	j->started = j->ran || j->active > 0;
	if (j->ending) {
		j->outcome_unknown =
		    j->outcome_unknown || e->result == AGB_RESULT_LOST;
		sched_job_finish_if_done(s, now, j);
		return;
	}
	switch (e->result) {
	case AGB_RESULT_OK:
		handle_success(s, now, j, e);
		return;
	case AGB_RESULT_FAILED:
		handle_failure(s, now, j, e);
		return;
	case AGB_RESULT_NOT_STARTED:
		break;
	case AGB_RESULT_LOST:
	case AGB_RESULT_STOPPED:
	case AGB_RESULT_CHECKPOINTED:
		if (!j->spec.idempotent && !is_service(s, j)) {
			end_job_not_idempotent(s, now, j, e);
			return;
		}
		break;
	}
	if (t->refusals < 16)
		t->refusals++;
	retry(s, now, j, e, false);
}

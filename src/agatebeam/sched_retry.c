#include "sched_internal.h"

/*
 * What follows when an attempt has ended: done, started again, or given up.
 */

void
sched_retry_started(struct agb_sched *s, struct sched_job *j, uint32_t task)
{
}

static void
again(struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task)
{
	j->waiting_since = now;
	sched_task_pend(s, now, j, task, true);
	sched_queue_add(s, j, true);
}

void
sched_retry_ended(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_ending *e)
{
	const bool service =
	    sched_class(s, j->spec.work)->policy == AGB_POLICY_SERVICE;

	if (j->ending) {
		j->unknown = j->unknown || e->result == AGB_RESULT_LOST;
		sched_job_settle(s, now, j);
		return;
	}
	if (e->result == AGB_RESULT_OK && !service) {
		j->tasks[e->task].state = TASK_DONE;
		j->done++;
		j->succeeded = true;
		sched_job_settle(s, now, j);
		return;
	}
	if (service || j->spec.idempotent ||
	    e->result == AGB_RESULT_NOT_STARTED) {
		again(s, now, j, e->task);
		return;
	}
	j->tasks[e->task].state = TASK_BACKOFF;
	j->backoff++;
	if (e->result == AGB_RESULT_LOST) {
		j->unknown = true;
		sched_job_end(s, now, j, AGB_REASON_WORKER_LOST,
		    "task %u may have run; its worker was lost", e->task);
		return;
	}
	sched_job_end(s, now, j, AGB_REASON_NONE, "task %u failed", e->task);
}

void
sched_retry_timer(
    struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task)
{
}

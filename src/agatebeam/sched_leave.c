#include "sched_internal.h"

/*
 * Moves services off a leaving worker. They do not end by themselves, so they
 * are stopped and restarted elsewhere: one task of a job at a time, while
 * another worker has room.
 */

#define MOVE_INTERVAL AGB_SEC

/* Whether a task of the job is being stopped or has not been restarted yet. */
static bool
is_moving_task(const struct agb_sched *s, const struct sched_job *j)
{
	uint32_t i;

	if (j->pending > 0 || j->backoff > 0)
		return true;
	for (i = 0; i < j->spec.tasks; i++) {
		if (j->tasks[i].attempt != NULL &&
		    j->tasks[i].attempt->state == ATTEMPT_STOPPING)
			return true;
	}
	return false;
}

void
sched_leave_move_services(
    struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	const struct sched_job *j;
	struct sched_attempt *a;
	bool services_remain = false;

	w->leaving_timer = false;
	if (w->state != AGB_WORKER_LEAVING)
		return;
	for (a = w->attempts; a != NULL; a = a->next) {
		j = a->quick ? NULL : sched_job_get(s, a->job);
		if (j == NULL || j->ending ||
		    sched_work_class(s, a->work)->policy != AGB_POLICY_SERVICE)
			continue;
		services_remain = true;
		if (a->state != ATTEMPT_UNKNOWN && !is_moving_task(s, j) &&
		    sched_worker_next_fit(s, &a->allocated, 0) !=
			AGB_SCHED_NONE)
			sched_attempt_stop(s, a, AGB_REASON_LEAVING,
			    "moved because its worker is leaving");
	}
	if (!services_remain)
		return;
	w->leaving_timer = true;
	sched_timer_add(
	    s, now + MOVE_INTERVAL, TIMER_LEAVING_WORKER, w->handle, 0, 0);
}

#include "sched_internal.h"

/*
 * Services on a leaving worker do not end by themselves: they are moved one
 * task of a job at a time, while there is room elsewhere.
 */

#define MOVE_EVERY AGB_SEC

static bool
stops_one(const struct agb_sched *s, const struct sched_job *j)
{
	uint32_t i;

	if (j->pending > 0 || j->backoff > 0)
		return true;
	for (i = 0; i < j->spec.tasks; i++) {
		if (j->tasks[i].att != NULL &&
		    j->tasks[i].att->state == ATT_STOPPING)
			return true;
	}
	return false;
}

void
sched_leave_worker(struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	const struct sched_job *j;
	struct sched_att *a;
	bool left = false;

	w->leaving_timer = false;
	if (w->state != AGB_WORKER_LEAVING)
		return;
	for (a = w->atts; a != NULL; a = a->next) {
		j = a->quick ? NULL : sched_job_get(s, a->job);
		if (j == NULL || j->ending ||
		    sched_class(s, a->work)->policy != AGB_POLICY_SERVICE)
			continue;
		left = true;
		if (a->state != ATT_UNKNOWN && !stops_one(s, j) &&
		    sched_worker_next_fit(s, &a->held, 0) != AGB_SCHED_NONE)
			sched_att_stop(s, a, AGB_REASON_LEAVING,
			    "moved, its worker is leaving");
	}
	if (!left)
		return;
	w->leaving_timer = true;
	sched_timer_add(s, now + MOVE_EVERY, TIMER_LEAVE, w->self, 0, 0);
}

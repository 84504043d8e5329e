#include "sched_internal.h"

/*
 * Sizes and run times as observed, by kind of work.
 */

void
sched_learn_init(struct sched_work *w)
{
	w->ratio_cpu = 1;
	w->ratio_mem = 1;
	w->task_run_ratio = 1;
}

struct agb_resources
sched_learn_need(const struct agb_sched *s, uint16_t work,
    const struct agb_resources *declared)
{
	return *declared;
}

agb_time
sched_learn_end(
    const struct agb_sched *s, const struct sched_job *j, agb_time now)
{
	if (j->spec.run_ms == 0)
		return AGB_TIME_MAX;
	return now + j->spec.run_ms * AGB_MS;
}

void
sched_learn_usage(struct agb_sched *s, agb_time now, struct sched_att *a,
    const struct agb_resources *used)
{
	a->used = *used;
}

#include "sched_internal.h"

/*
 * Learns sizes and run times from observation. A running task is allocated at
 * least what it was last seen to use. A new task gets its declared size times
 * the ratio learned for its kind of work.
 */

/* Usage reports needed before the learned ratio is used. */
#define MIN_REPORTS 20
/* The ratio rises fast and falls slowly: a size that is too small slows down
 * the other tasks of the worker, one that is too large only wastes capacity.
 * With gains of 0.3 and 0.02 the ratio stays near the largest task and the
 * packing ratio is 0.945; with 0.1 and 0.1 it is 0.972, but 6% of the started
 * tasks have to be moved. */
#define RISE_GAIN 0.1
#define FALL_GAIN 0.03
/* Bounds of the learned ratio. Declared sizes are 0.3 to 4 times the actual
 * ones. */
#define RATIO_MIN 0.25
#define RATIO_MAX 4.0
/* Margin above the last reported usage, since reports lag behind. */
#define MARGIN_PERCENT 5
/* Each report releases 1/RELEASE_DIVISOR of the excess. */
#define RELEASE_DIVISOR 2
/* Smaller reductions are not worth another search of the queue. */
#define MIN_CHANGE_PERCENT 5
#define RUN_TIME_GAIN 0.1

void
sched_learn_init(struct sched_work *w)
{
	w->ratio_cpu = 1;
	w->ratio_mem = 1;
	w->task_run_ratio = 1;
	w->retry_tokens = 10;
}

static double
update_ratio(double ratio, int64_t used, int64_t declared)
{
	double seen;

	if (declared <= 0)
		return ratio;
	seen = (double)used / (double)declared;
	if (seen < RATIO_MIN)
		seen = RATIO_MIN;
	if (seen > RATIO_MAX)
		seen = RATIO_MAX;
	return ratio + (seen - ratio) * (seen > ratio ? RISE_GAIN : FALL_GAIN);
}

/* Sizes change in steps of 1/16, so that the sizes of queued tasks do not
 * change with each report. */
static int64_t
scale_in_steps(int64_t declared, double ratio)
{
	const int64_t steps = (int64_t)(ratio * 16 + 0.999);

	return declared * steps / 16;
}

struct agb_resources
sched_learn_size(const struct agb_sched *s, uint16_t work,
    const struct agb_resources *declared)
{
	const struct sched_work *k;
	struct agb_resources need = *declared;

	if (work >= s->works_len || s->works[work].usage_reports < MIN_REPORTS)
		return need;
	k = &s->works[work];
	need.cpu_milli = scale_in_steps(declared->cpu_milli, k->ratio_cpu);
	need.mem_mb = scale_in_steps(declared->mem_mb, k->ratio_mem);
	/* A learned size must not make a kind of work impossible to place. */
	if (!sched_feasible_size(s, &need))
		return *declared;
	return need;
}

agb_time
sched_learn_expected_end(
    const struct agb_sched *s, const struct sched_job *j, agb_time now)
{
	double ratio = 1;

	if (j->spec.run_ms == 0)
		return AGB_TIME_MAX;
	if (j->spec.work < s->works_len)
		ratio = s->works[j->spec.work].task_run_ratio;
	return now + (agb_time)(ratio * j->spec.run_ms) * AGB_MS;
}

void
sched_learn_ended(struct agb_sched *s, const struct sched_job *j,
    const struct sched_attempt_end *e)
{
	struct sched_work *k;
	double seen;

	if (e->result != AGB_RESULT_OK || j->spec.run_ms == 0 ||
	    j->spec.work >= s->works_len)
		return;
	k = &s->works[j->spec.work];
	seen = (double)e->run_time / AGB_MS / j->spec.run_ms;
	if (seen > RATIO_MAX)
		seen = RATIO_MAX;
	k->task_run_ratio += (seen - k->task_run_ratio) * RUN_TIME_GAIN;
}

static int64_t
next_allocation(int64_t allocated, int64_t used, int64_t declared)
{
	const int64_t target = used + used * MARGIN_PERCENT / 100;

	if (used > allocated)
		return used;
	if ((allocated - target) * 100 < declared * MIN_CHANGE_PERCENT)
		return allocated;
	return allocated - (allocated - target) / RELEASE_DIVISOR;
}

void
sched_learn_usage(struct agb_sched *s, agb_time now, struct sched_attempt *a,
    const struct agb_resources *used)
{
	struct agb_resources allocated = a->allocated;
	struct sched_worker *w;
	struct sched_work *k;

	a->used = *used;
	if (a->state == ATTEMPT_UNKNOWN)
		return;
	if (a->work < s->works_len && a->job != AGB_SCHED_NONE) {
		k = &s->works[a->work];
		if (!a->throttled)
			k->ratio_cpu = update_ratio(k->ratio_cpu,
			    used->cpu_milli, a->declared.cpu_milli);
		k->ratio_mem = update_ratio(
		    k->ratio_mem, used->mem_mb, a->declared.mem_mb);
		if (k->usage_reports < MIN_REPORTS)
			k->usage_reports++;
		sched_queue_resize(s, a->work);
	}
	if (!a->throttled)
		allocated.cpu_milli = next_allocation(allocated.cpu_milli,
		    used->cpu_milli, a->declared.cpu_milli);
	allocated.mem_mb =
	    next_allocation(allocated.mem_mb, used->mem_mb, a->declared.mem_mb);
	a->unthrottled.mem_mb = allocated.mem_mb;
	if (!a->throttled)
		a->unthrottled.cpu_milli = allocated.cpu_milli;
	sched_attempt_resize(s, a, &allocated);
	w = sched_worker_get(s, a->worker);
	if (w != NULL)
		sched_preempt_relieve_worker(s, now, w);
}

#include "sched_internal.h"

#include <stdio.h>

/*
 * Refuses work that can never start here, with the reason. A worker that is
 * silent or not yet taken over counts as capacity: it may come back.
 */

/* A restarted instance is missing from the registry for about a minute at
 * most. Queued work must not be refused because the fleet is smaller for
 * that time. */
#define CHECK_DELAY (60 * AGB_SEC)

/* Jobs refused in one step after the fleet has changed. */
#define REFUSALS_PER_TIMER 16

static bool
is_counted(const struct sched_worker *w)
{
	return w->known && w->state != AGB_WORKER_GONE &&
	    w->state != AGB_WORKER_LEAVING;
}

static void
describe_shortfall(const struct agb_sched *s, const struct agb_resources *need,
    char *why, size_t len)
{
	struct agb_resources top = {0};
	const struct sched_worker *w;
	struct agb_resources r;
	uint32_t i;

	for (i = 0; i < s->workers_cap; i++) {
		w = &s->workers[i];
		if (!is_counted(w))
			continue;
		r = sched_worker_usable(w);
		if (r.cpu_milli > top.cpu_milli)
			top.cpu_milli = r.cpu_milli;
		if (r.mem_mb > top.mem_mb)
			top.mem_mb = r.mem_mb;
		if (r.accel > top.accel)
			top.accel = r.accel;
	}
	if (need->cpu_milli > top.cpu_milli)
		snprintf(why, len,
		    "needs %g processors; the largest worker has %g",
		    (double)need->cpu_milli / 1000,
		    (double)top.cpu_milli / 1000);
	else if (need->mem_mb > top.mem_mb)
		snprintf(why, len,
		    "needs %lld MiB of memory; the largest worker has %lld",
		    (long long)need->mem_mb, (long long)top.mem_mb);
	else if (need->accel > top.accel)
		snprintf(why, len,
		    "needs %lld accelerators; the largest worker has %lld",
		    (long long)need->accel, (long long)top.accel);
	else
		snprintf(why, len,
		    "no single worker has %g processors, %lld MiB and %lld "
		    "accelerators together",
		    (double)need->cpu_milli / 1000, (long long)need->mem_mb,
		    (long long)need->accel);
}

/* Number of tasks of this size that the fleet could hold if it were idle,
 * counted up to @want. @any is set if there is a worker at all. */
static uint32_t
fleet_fit_count(const struct agb_sched *s, const struct agb_resources *need,
    uint32_t want, bool *any)
{
	struct agb_resources r;
	uint32_t i, n = 0;

	*any = false;
	for (i = 0; i < s->workers_cap && n < want; i++) {
		if (!is_counted(&s->workers[i]))
			continue;
		*any = true;
		r = sched_worker_usable(&s->workers[i]);
		n += sched_fit_count(&r, need);
	}
	return n;
}

bool
sched_feasible_size(const struct agb_sched *s, const struct agb_resources *need)
{
	bool any;

	return fleet_fit_count(s, need, 1, &any) > 0 || !any;
}

bool
agb_sched_feasible(const struct agb_sched *s, uint16_t work, uint32_t tasks,
    const struct agb_resources *need, char *why, size_t len)
{
	const bool gang = sched_work_class(s, work)->policy == AGB_POLICY_GANG;
	const uint32_t want = gang ? tasks : 1;
	uint32_t units;
	bool any;

	units = fleet_fit_count(s, need, want, &any);
	/* Without any worker the size of the fleet is unknown. */
	if (!any || units >= want)
		return true;
	if (units == 0)
		describe_shortfall(s, need, why, len);
	else
		snprintf(why, len,
		    "needs %u tasks at once; all workers together hold %u",
		    want, units);
	return false;
}

bool
sched_feasible_job(
    struct agb_sched *s, const struct sched_job *j, char *why, size_t len)
{
	return agb_sched_feasible(
	    s, j->spec.work, j->spec.tasks, &j->spec.need, why, len);
}

void
sched_feasible_schedule_check(struct agb_sched *s, agb_time now)
{
	if (s->feasibility_timer_armed)
		return;
	s->feasibility_timer_armed = true;
	sched_timer_add(s, now + CHECK_DELAY, TIMER_FEASIBILITY, 0, 0, 0);
}

/* All jobs of a bucket have the same size, so its first job stands for all. */
static struct sched_job *
first_infeasible(struct agb_sched *s, char *why, size_t len)
{
	struct sched_bucket *b;

	for (b = s->buckets; b != NULL; b = b->hh.next) {
		if (!sched_feasible_job(s, b->jobs, why, len))
			return b->jobs;
	}
	return NULL;
}

void
sched_feasible_timer(struct agb_sched *s, agb_time now)
{
	char why[AGB_DETAIL_LEN];
	struct sched_job *j;
	int n;

	s->feasibility_timer_armed = false;
	for (n = 0; n < REFUSALS_PER_TIMER; n++) {
		j = first_infeasible(s, why, sizeof(why));
		if (j == NULL)
			return;
		sched_job_end(s, now, j, AGB_REASON_NEVER_FITS, "%s", why);
	}
	s->feasibility_timer_armed = true;
	sched_timer_add(s, now + AGB_MS, TIMER_FEASIBILITY, 0, 0, 0);
}

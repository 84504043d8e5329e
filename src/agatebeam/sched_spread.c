#include "sched_internal.h"

#include <stdio.h>
#include <string.h>

/*
 * Service placement. Takes the rack with the fewest tasks of the job and in it
 * the worker with the fewest of them, so that the loss of a rack stops as few
 * tasks as possible.
 */

void
sched_spread_count(
    struct agb_sched *s, struct sched_job *j, uint32_t worker, int by)
{
	const struct sched_worker *const w = sched_worker_get(s, worker);

	if (w == NULL ||
	    sched_work_class(s, j->spec.work)->policy != AGB_POLICY_SERVICE)
		return;
	if (j->rack_tasks_len < s->racks_len) {
		j->rack_tasks = agb_xreallocarray(
		    j->rack_tasks, s->racks_len, sizeof(*j->rack_tasks));
		memset(j->rack_tasks + j->rack_tasks_len, 0,
		    (s->racks_len - j->rack_tasks_len) *
			sizeof(*j->rack_tasks));
		j->rack_tasks_len = s->racks_len;
	}
	j->rack_tasks[w->rack] += (uint32_t)by;
}

static uint32_t
count_tasks(const struct sched_worker *w, uint32_t job)
{
	const struct sched_attempt *a;
	uint32_t n = 0;

	for (a = w->attempts; a != NULL; a = a->next) {
		if (a->job == job && !a->quick)
			n++;
	}
	return n;
}

static struct sched_worker *
best_worker_in_rack(struct agb_sched *s, const struct sched_rack *r,
    const struct sched_job *j, const struct agb_resources *need,
    uint32_t *considered)
{
	struct sched_worker *w, *best = NULL;
	uint32_t i, n, least = 0;

	for (i = 0; i < r->len; i++) {
		w = &s->workers[r->workers[i]];
		if (!agb_resources_fit(need, &w->available) ||
		    !sched_health_allows(s, j, w))
			continue;
		(*considered)++;
		n = count_tasks(w, j->handle);
		if (best == NULL || n < least ||
		    (n == least &&
			w->available.cpu_milli < best->available.cpu_milli)) {
			best = w;
			least = n;
		}
	}
	return best;
}

/* Starts the next task of the first job in a bucket by the policy "service". */
static enum sched_block
place_spread(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    struct sched_worker *hint)
{
	const struct agb_resources need = b->need;
	struct sched_job *const j = b->jobs;
	uint32_t n, least = UINT32_MAX, considered = 0;
	struct sched_worker *best = NULL, *w;
	const struct sched_rack *r;
	uint32_t i;
	char why[AGB_NAME_LEN + 40];

	if (sched_worker_next_fit(s, &need, 0) == AGB_SCHED_NONE)
		return BLOCK_RESOURCES;
	for (i = 0; i < s->racks_len; i++) {
		n = i < j->rack_tasks_len ? j->rack_tasks[i] : 0;
		r = sched_rack_get(s, i);
		if (n >= least || !agb_resources_fit(&need, &r->max_available))
			continue;
		w = best_worker_in_rack(s, r, j, &need, &considered);
		if (w == NULL)
			continue;
		best = w;
		least = n;
	}
	if (best == NULL)
		return BLOCK_RESOURCES;
	snprintf(why, sizeof(why), "rack %s has %u of its tasks",
	    best->info.rack, least);
	sched_task_start(
	    s, now, j, sched_job_next_task(j), best, &need, considered, why);
	return BLOCK_NONE;
}

const struct sched_policy sched_policy_service = {
    .name = "service",
    .place = place_spread,
};

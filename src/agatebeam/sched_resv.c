#include "sched_internal.h"

#include <string.h>

/*
 * Reservations. Resources on a worker that are reserved for a waiting gang,
 * large task or urgent task, so that what is freed for it is not given to
 * others.
 */

static struct agb_resources
multiply_need(const struct agb_resources *need, uint32_t units)
{
	return (struct agb_resources){
	    need->cpu_milli * units, need->mem_mb * units, need->accel * units};
}

static bool
add_to_list(struct agb_sched *s, struct sched_job *j)
{
	uint32_t i;

	for (i = 0; i < s->reserving_jobs_len; i++) {
		if (s->reserving_jobs[i] == j)
			return true;
	}
	if (s->reserving_jobs_len == SCHED_RESERVING_JOBS_MAX)
		return false;
	s->reserving_jobs[s->reserving_jobs_len++] = j;
	return true;
}

static void
remove_from_list(struct agb_sched *s, const struct sched_job *j)
{
	uint32_t i;

	for (i = 0; i < s->reserving_jobs_len; i++) {
		if (s->reserving_jobs[i] == j) {
			s->reserving_jobs[i] =
			    s->reserving_jobs[--s->reserving_jobs_len];
			return;
		}
	}
}

bool
sched_reservation_add(struct agb_sched *s, struct sched_job *j,
    struct sched_worker *w, const struct agb_resources *need, uint32_t units,
    bool gang)
{
	struct sched_reservation *r;

	if (!add_to_list(s, j))
		return false;
	j->reservations = agb_xreallocarray(
	    j->reservations, j->reservations_len + 1, sizeof(*j->reservations));
	r = &j->reservations[j->reservations_len++];
	r->worker = w->handle;
	r->units = units;
	r->gang = gang;
	r->amount = multiply_need(need, units);
	agb_resources_add(&w->reserved, &r->amount);
	if (gang)
		agb_resources_add(&w->backfill, &r->amount);
	sched_worker_refresh(s, w);
	return true;
}

static void
drop_reservation(struct agb_sched *s, struct sched_job *j, uint32_t i)
{
	const struct sched_reservation r = j->reservations[i];
	struct sched_worker *const w = sched_worker_get(s, r.worker);

	j->reservations[i] = j->reservations[--j->reservations_len];
	if (j->reservations_len == 0) {
		remove_from_list(s, j);
		if (s->reservation_holder == j)
			s->reservation_holder = NULL;
	}
	if (w == NULL)
		return;
	agb_resources_sub(&w->reserved, &r.amount);
	if (r.gang)
		agb_resources_sub(&w->backfill, &r.amount);
	sched_worker_refresh(s, w);
}

void
sched_reservation_drop_all(struct agb_sched *s, struct sched_job *j)
{
	while (j->reservations_len > 0)
		drop_reservation(s, j, j->reservations_len - 1);
}

static bool
start_reserved_task(struct agb_sched *s, agb_time now, struct sched_worker *w,
    struct sched_job *j, uint32_t i)
{
	struct agb_resources need, available = w->available;
	uint32_t task;

	if (j->bucket == NULL || j->ending) {
		drop_reservation(s, j, i);
		return false;
	}
	need = j->bucket->need;
	agb_resources_add(&available, &j->reservations[i].amount);
	if (!agb_resources_fit(&need, &available))
		return false;
	drop_reservation(s, j, i);
	task = sched_job_next_task(j);
	if (task == SCHED_NO_TASK ||
	    (!sched_quota_fits(s, j->spec.team, &need, 1) &&
		!sched_team_env(s, j->spec.team)->may_borrow))
		return false;
	sched_task_start(s, now, j, task, w, &need, 1, "reserved room");
	return true;
}

bool
sched_reservation_start_task(
    struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	struct sched_job *j;
	uint32_t i, k;

	if (s->reserving_jobs_len == 0 ||
	    w->reserved.cpu_milli + w->reserved.mem_mb + w->reserved.accel == 0)
		return false;
	for (i = 0; i < s->reserving_jobs_len; i++) {
		j = s->reserving_jobs[i];
		for (k = 0; k < j->reservations_len; k++) {
			if (j->reservations[k].worker != w->handle)
				continue;
			if (j->bucket != NULL &&
			    j->bucket->policy == AGB_POLICY_GANG)
				break;
			if (start_reserved_task(s, now, w, j, k))
				return true;
			break;
		}
	}
	return false;
}

/* Drops the reservations of a job on a worker; a gang loses all of its
 * reservations. */
static bool
drop_on_worker(
    struct agb_sched *s, struct sched_job *j, const struct sched_worker *w)
{
	bool lost = false;
	uint32_t k;

	for (k = j->reservations_len; k-- > 0;) {
		if (j->reservations[k].worker != w->handle)
			continue;
		lost = true;
		if (j->reservations[k].gang) {
			sched_reservation_drop_all(s, j);
			break;
		}
		drop_reservation(s, j, k);
	}
	return lost;
}

void
sched_reservation_drop_worker(struct agb_sched *s, struct sched_worker *w)
{
	struct sched_job *j;
	uint32_t i;

	for (i = s->reserving_jobs_len; i-- > 0;) {
		j = s->reserving_jobs[i];
		if (drop_on_worker(s, j, w) && j->bucket != NULL)
			sched_queue_set_needs_scan(s, j->bucket, true);
	}
}

void
sched_reservation_expire(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	if (j->reservations_len == 0 || now < j->reservation_expires_at)
		return;
	sched_reservation_drop_all(s, j);
	if (j->bucket != NULL)
		sched_queue_set_needs_scan(s, j->bucket, true);
}

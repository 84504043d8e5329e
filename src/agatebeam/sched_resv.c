#include "sched_internal.h"

#include <string.h>

/*
 * Reservations: room on a worker that a gang or an urgent task waits for,
 * so that what is freed for it does not go to others.
 */

static struct agb_resources
times(const struct agb_resources *need, uint32_t units)
{
	return (struct agb_resources){
	    need->cpu_milli * units, need->mem_mb * units, need->accel * units};
}

static bool
list_in(struct agb_sched *s, struct sched_job *j)
{
	uint32_t i;

	for (i = 0; i < s->resv_jobs_len; i++) {
		if (s->resv_jobs[i] == j)
			return true;
	}
	if (s->resv_jobs_len == SCHED_RESV_JOBS)
		return false;
	s->resv_jobs[s->resv_jobs_len++] = j;
	return true;
}

static void
list_out(struct agb_sched *s, const struct sched_job *j)
{
	uint32_t i;

	for (i = 0; i < s->resv_jobs_len; i++) {
		if (s->resv_jobs[i] == j) {
			s->resv_jobs[i] = s->resv_jobs[--s->resv_jobs_len];
			return;
		}
	}
}

bool
sched_resv_add(struct agb_sched *s, struct sched_job *j, struct sched_worker *w,
    const struct agb_resources *need, uint32_t units, bool gang)
{
	struct sched_resv *r;

	if (!list_in(s, j))
		return false;
	j->resv = agb_xreallocarray(j->resv, j->resv_len + 1, sizeof(*j->resv));
	r = &j->resv[j->resv_len++];
	r->worker = w->self;
	r->units = units;
	r->gang = gang;
	r->amount = times(need, units);
	agb_resources_add(&w->reserved, &r->amount);
	if (gang)
		agb_resources_add(&w->backfill, &r->amount);
	sched_worker_refresh(s, w);
	return true;
}

static void
entry_drop(struct agb_sched *s, struct sched_job *j, uint32_t i)
{
	const struct sched_resv r = j->resv[i];
	struct sched_worker *const w = sched_worker_get(s, r.worker);

	j->resv[i] = j->resv[--j->resv_len];
	if (j->resv_len == 0) {
		list_out(s, j);
		if (s->gang_holder == j)
			s->gang_holder = NULL;
	}
	if (w == NULL)
		return;
	agb_resources_sub(&w->reserved, &r.amount);
	if (r.gang)
		agb_resources_sub(&w->backfill, &r.amount);
	sched_worker_refresh(s, w);
}

void
sched_resv_drop(struct agb_sched *s, struct sched_job *j)
{
	while (j->resv_len > 0)
		entry_drop(s, j, j->resv_len - 1);
}

static bool
serve(struct agb_sched *s, agb_time now, struct sched_worker *w,
    struct sched_job *j, uint32_t i)
{
	struct agb_resources need, room = w->room;
	uint32_t task;

	if (j->bucket == NULL || j->ending) {
		entry_drop(s, j, i);
		return false;
	}
	need = j->bucket->need;
	agb_resources_add(&room, &j->resv[i].amount);
	if (!agb_resources_fit(&need, &room))
		return false;
	entry_drop(s, j, i);
	task = sched_job_next_task(j);
	if (task == SCHED_NO_TASK ||
	    (!sched_quota_fits(s, j->spec.team, &need, 1) &&
		!sched_team_env(s, j->spec.team)->borrow))
		return false;
	sched_task_start(s, now, j, task, w, &need, 1, "reserved room");
	return true;
}

bool
sched_resv_serve(struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	struct sched_job *j;
	uint32_t i, k;

	if (s->resv_jobs_len == 0 ||
	    w->reserved.cpu_milli + w->reserved.mem_mb + w->reserved.accel == 0)
		return false;
	for (i = 0; i < s->resv_jobs_len; i++) {
		j = s->resv_jobs[i];
		for (k = 0; k < j->resv_len; k++) {
			if (j->resv[k].worker != w->self)
				continue;
			if (j->bucket != NULL &&
			    j->bucket->policy == AGB_POLICY_GANG)
				break;
			if (serve(s, now, w, j, k))
				return true;
			break;
		}
	}
	return false;
}

/* Gives up what a job has on a worker; a gang gives up all. */
static bool
lose(struct agb_sched *s, struct sched_job *j, const struct sched_worker *w)
{
	bool lost = false;
	uint32_t k;

	for (k = j->resv_len; k-- > 0;) {
		if (j->resv[k].worker != w->self)
			continue;
		lost = true;
		if (j->resv[k].gang) {
			sched_resv_drop(s, j);
			break;
		}
		entry_drop(s, j, k);
	}
	return lost;
}

void
sched_resv_lost(struct agb_sched *s, struct sched_worker *w)
{
	struct sched_job *j;
	uint32_t i;

	for (i = s->resv_jobs_len; i-- > 0;) {
		j = s->resv_jobs[i];
		if (lose(s, j, w) && j->bucket != NULL)
			sched_queue_fresh(s, j->bucket, true);
	}
}

void
sched_resv_timer(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	if (j->resv_len == 0 || now < j->resv_until)
		return;
	sched_resv_drop(s, j);
	if (j->bucket != NULL)
		sched_queue_fresh(s, j->bucket, true);
}

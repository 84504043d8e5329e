#include "sched_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * The environment document in force. A new document may assign other indexes to
 * its teams and kinds of work, so queued and running work is mapped to the new
 * indexes by name.
 */

static const struct agb_env_class default_class = {
    .name = "none",
    .policy = AGB_POLICY_BATCH,
};

static const struct agb_env_team default_team = {
    .name = "none",
    .weight = 1,
    .may_borrow = true,
};

const struct agb_env_class *
sched_work_class(const struct agb_sched *s, uint16_t work)
{
	if (s->env == NULL || work >= s->env->works_len ||
	    s->env->works[work].class_index >= s->env->classes_len)
		return &default_class;
	return &s->env->classes[s->env->works[work].class_index];
}

const struct agb_env_team *
sched_team_env(const struct agb_sched *s, uint16_t team)
{
	if (s->env == NULL || team >= s->env->teams_len)
		return &default_team;
	return &s->env->teams[team];
}

const char *
sched_work_name(const struct agb_sched *s, uint16_t work)
{
	if (s->env == NULL || work >= s->env->works_len)
		return "none";
	return s->env->works[work].name;
}

const char *
sched_team_name(const struct agb_sched *s, uint16_t team)
{
	return sched_team_env(s, team)->name;
}

/* New indexes of the works and teams of the previous document. */
struct index_map {
	uint16_t *work;
	uint16_t work_len;
	uint16_t team[SCHED_TEAMS];
};

static uint16_t
map_work(const struct index_map *c, uint16_t work)
{
	return work < c->work_len ? c->work[work] : AGB_ENV_NONE;
}

static uint16_t
map_team(const struct index_map *c, uint16_t team)
{
	return team < SCHED_TEAM_NONE ? c->team[team] : SCHED_TEAM_NONE;
}

static void
index_map_init(
    struct index_map *c, const struct agb_env *old, const struct agb_env *env)
{
	uint16_t i, n;

	c->work_len = old != NULL ? old->works_len : 0;
	c->work = agb_xcalloc(c->work_len, sizeof(*c->work));
	for (i = 0; i < c->work_len; i++)
		c->work[i] = agb_env_work_find(env, old->works[i].name);
	for (i = 0; i < SCHED_TEAMS; i++)
		c->team[i] = SCHED_TEAM_NONE;
	for (i = 0; old != NULL && i < old->teams_len; i++) {
		n = agb_env_team_find(env, old->teams[i].name);
		if (i < SCHED_TEAM_NONE && n < SCHED_TEAM_NONE)
			c->team[i] = n;
	}
}

/* Serials were given in the order of acceptance. */
static int
compare_by_serial(const void *a, const void *b)
{
	const struct sched_job *const x = *(const struct sched_job *const *)a;
	const struct sched_job *const y = *(const struct sched_job *const *)b;

	return x->serial < y->serial ? -1 : x->serial > y->serial;
}

static struct sched_job **
dequeue_jobs(struct agb_sched *s, uint32_t *len)
{
	struct sched_job **list =
	    agb_xcalloc(s->jobs_len, sizeof(struct sched_job *));
	uint32_t i, n = 0;

	for (i = 0; i < s->jobs_cap; i++) {
		if (s->jobs[i] == NULL)
			continue;
		sched_queue_remove(s, s->jobs[i]);
		list[n++] = s->jobs[i];
	}
	qsort(list, n, sizeof(struct sched_job *), compare_by_serial);
	*len = n;
	return list;
}

static struct sched_quick_request *
dequeue_requests(struct agb_sched *s)
{
	struct sched_quick_request *all = NULL;
	uint16_t w, t;

	for (w = 0; w < s->works_len; w++) {
		for (t = 0; t < SCHED_TEAMS; t++)
			DL_CONCAT(all, s->works[w].queue[t]);
	}
	return all;
}

static void
rebuild_works(struct agb_sched *s, const struct index_map *c)
{
	struct sched_work *old = s->works, *w;
	uint16_t i, n;

	s->works_len = s->env->works_len;
	s->works = agb_xcalloc(s->works_len, sizeof(*s->works));
	for (i = 0; i < s->works_len; i++)
		sched_learn_init(&s->works[i]);
	for (i = 0; i < c->work_len; i++) {
		n = c->work[i];
		if (n >= s->works_len)
			continue;
		w = &s->works[n];
		w->mean_run_us = old[i].mean_run_us;
		w->ratio_cpu = old[i].ratio_cpu;
		w->ratio_mem = old[i].ratio_mem;
		w->usage_reports = old[i].usage_reports;
		w->task_run_ratio = old[i].task_run_ratio;
		w->retry_tokens = old[i].retry_tokens;
		w->retry_tokens_at = old[i].retry_tokens_at;
	}
	free(old);
}

static void
rebuild_teams(struct agb_sched *s, const struct index_map *c)
{
	struct agb_resources other[SCHED_TEAMS] = {0};
	struct sched_attempt *a;
	uint16_t i;

	for (i = 0; i < SCHED_TEAM_NONE; i++) {
		if (c->team[i] < SCHED_TEAM_NONE)
			other[c->team[i]] = s->teams[i].other;
	}
	for (i = 0; i < SCHED_TEAMS; i++) {
		s->teams[i].other = other[i];
		memset(&s->teams[i].used, 0, sizeof(s->teams[i].used));
	}
	for (a = s->attempts; a != NULL; a = a->hh.next) {
		a->work = map_work(c, a->work);
		a->team = map_team(c, a->team);
		agb_resources_add(&s->teams[a->team].used, &a->allocated);
		if (a->quick && a->work < s->works_len &&
		    a->worker != AGB_SCHED_NONE)
			s->works[a->work].slots_busy++;
	}
}

static void
rebuild_workers(struct agb_sched *s, const struct index_map *c)
{
	struct sched_worker *w;
	uint32_t i;

	for (i = 0; i < s->workers_cap; i++) {
		w = &s->workers[i];
		if (!w->known)
			continue;
		w->info.service = map_work(c, w->info.service);
		w->slot_level = -1;
		w->tracked_slots = 0;
		if (w->info.service < s->works_len)
			s->works[w->info.service].host_workers++;
		sched_worker_refresh(s, w);
	}
}

static void
requeue_job(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	if (j->ending)
		return;
	if (j->spec.work != AGB_ENV_NONE) {
		if (j->pending > 0)
			sched_queue_add(s, j, false);
	} else if (j->pending > 0 || j->backoff > 0) {
		sched_job_end(s, now, j, AGB_REASON_NO_SERVICE,
		    "its kind of work has left the document");
	}
}

void
sched_env_set(struct agb_sched *s, agb_time now, const struct agb_env *env)
{
	struct sched_quick_request *reqs, *r, *tmp;
	struct sched_job **jobs;
	struct index_map c;
	uint32_t i, len;

	index_map_init(&c, s->env, env);
	jobs = dequeue_jobs(s, &len);
	reqs = dequeue_requests(s);
	s->env = env;
	s->domain_index = agb_env_domain_find(env, s->domain);
	rebuild_works(s, &c);
	rebuild_teams(s, &c);
	rebuild_workers(s, &c);
	sched_team_update_shares(s);
	memset(s->level_queued, 0, sizeof(s->level_queued));
	for (i = 0; i < len; i++) {
		jobs[i]->spec.work = map_work(&c, jobs[i]->spec.work);
		jobs[i]->spec.team = map_team(&c, jobs[i]->spec.team);
		s->level_queued[sched_job_level(s, jobs[i])] +=
		    jobs[i]->pending;
		requeue_job(s, now, jobs[i]);
	}
	for (r = reqs; r != NULL; r = tmp) {
		tmp = r->next;
		r->work = map_work(&c, r->work);
		r->team = map_team(&c, r->team);
		sched_quick_requeue(s, now, r);
	}
	free(jobs);
	free(c.work);
	sched_feasible_schedule_check(s, now);
}

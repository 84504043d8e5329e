#include "sched_internal.h"

#include <stdio.h>

/*
 * The placement pass. A job that arrives is tried against all workers; one
 * that did not fit is tried again only against workers whose room has grown
 * since. A pass takes a bounded number of decisions.
 */

/* Fits that batch weighs before it takes the tightest. */
#define BATCH_FITS 8

enum phase { PHASE_URGENT, PHASE_GUARANTEED, PHASE_BORROW, PHASE_MAX };

static double
rest(int64_t room, int64_t need, int64_t cap)
{
	return cap > 0 ? (double)(room - need) / (double)cap : 0;
}

/* What a placement would leave free, as a sum of parts of the capacity. */
static double
left_over(const struct sched_worker *w, const struct agb_resources *need)
{
	const struct agb_resources *const cap = &w->info.capacity;

	return rest(w->room.cpu_milli, need->cpu_milli, cap->cpu_milli) +
	    rest(w->room.mem_mb, need->mem_mb, cap->mem_mb) +
	    4 * rest(w->room.accel, need->accel, cap->accel);
}

static enum sched_block
batch_place(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    struct sched_worker *hint)
{
	struct sched_worker *w, *best = hint;
	uint32_t weighed = 1, h = 0;
	double score, least = 0;
	char why[64];

	if (hint == NULL) {
		for (weighed = 0; weighed < BATCH_FITS; h++) {
			h = sched_worker_next_fit(s, &b->need, h);
			if (h == AGB_SCHED_NONE)
				break;
			w = &s->workers[h];
			if (!sched_health_allows(s, b->jobs, w))
				continue;
			score = left_over(w, &b->need);
			if (best == NULL || score < least) {
				best = w;
				least = score;
			}
			weighed++;
		}
	}
	if (best == NULL)
		return BLOCK_ROOM;
	snprintf(why, sizeof(why), "tightest of %u", weighed);
	sched_task_start(s, now, b->jobs, sched_job_next_task(b->jobs), best,
	    &b->need, weighed, why);
	return BLOCK_NONE;
}

static const struct sched_policy policy_batch = {
    .name = "batch",
    .place = batch_place,
};

static const struct sched_policy *
policy_of(const struct sched_bucket *b)
{
	switch (b->policy) {
	case AGB_POLICY_GANG:
		return &sched_policy_gang;
	case AGB_POLICY_SERVICE:
		return &sched_policy_service;
	case AGB_POLICY_QUICK:
	case AGB_POLICY_BATCH:
		break;
	}
	return &policy_batch;
}

static bool
keeps(int64_t room, int64_t need, int64_t cap, int64_t keep)
{
	/* Work that never fits beside the headroom may use it. */
	return need == 0 || room - need >= keep || need > cap - keep;
}

/* Whether what is kept free for urgent work stays free. */
bool
sched_place_headroom(const struct agb_sched *s, const struct sched_bucket *b)
{
	const int64_t units = b->shape.gang > 0 ? b->shape.gang : 1;

	if (b->level >= SCHED_URGENT || s->env->headroom_percent == 0)
		return true;
	return keeps(s->free_live.cpu_milli, b->need.cpu_milli * units,
		   s->cap_live.cpu_milli, s->keep.cpu_milli) &&
	    keeps(s->free_live.mem_mb, b->need.mem_mb * units,
		s->cap_live.mem_mb, s->keep.mem_mb) &&
	    keeps(s->free_live.accel, b->need.accel * units, s->cap_live.accel,
		s->keep.accel);
}

/* Whether a bucket takes part in a phase, or why it does not. */
static enum sched_block
phase_allows(
    const struct agb_sched *s, const struct sched_bucket *b, enum phase phase)
{
	const uint16_t team = b->shape.team;
	const uint32_t units = b->shape.gang > 0 ? b->shape.gang : 1;
	const bool within = sched_quota_fits(s, team, &b->need, units);

	if (!within &&
	    (phase == PHASE_GUARANTEED || !sched_team_env(s, team)->borrow))
		return BLOCK_QUOTA;
	if (!sched_place_headroom(s, b))
		return BLOCK_HEADROOM;
	return BLOCK_NONE;
}

static bool
older(const struct sched_bucket *a, const struct sched_bucket *b)
{
	if (a->shape.timed != b->shape.timed)
		return a->shape.timed > b->shape.timed;
	if (a->shape.timed)
		return a->jobs->deadline < b->jobs->deadline;
	return a->jobs->serial < b->jobs->serial;
}

static bool
candidate(const struct agb_sched *s, const struct sched_bucket *b,
    const struct sched_worker *w)
{
	if (w == NULL)
		return b->fresh;
	/* What quota or headroom holds back becomes fresh when they allow. */
	if (b->policy == AGB_POLICY_GANG || b->block == BLOCK_HEADROOM ||
	    b->block == BLOCK_QUOTA)
		return false;
	if (!agb_resources_fit(&b->need, &w->room) &&
	    !sched_gang_backfills(s, b, w))
		return false;
	return sched_health_allows(s, b->jobs, w);
}

/* The bucket of one team and level that comes first. With @w only what fits
 * there counts, else only what has to be tried. */
static struct sched_bucket *
level_first(struct agb_sched *s, struct sched_bucket *list,
    const struct sched_worker *w, enum phase phase)
{
	struct sched_bucket *b, *best = NULL;
	enum sched_block block;

	for (b = list; b != NULL; b = b->next) {
		if (!candidate(s, b, w) || (best != NULL && !older(b, best)))
			continue;
		block = phase_allows(s, b, phase);
		if (block == BLOCK_NONE)
			best = b;
		else if (phase != PHASE_GUARANTEED || block != BLOCK_QUOTA)
			sched_queue_block(s, b, block);
	}
	return best;
}

static struct sched_bucket *
team_first(struct agb_sched *s, struct sched_team *t,
    const struct sched_worker *w, uint32_t levels, enum phase phase)
{
	struct sched_bucket *b;
	int level;

	levels &= t->levels;
	while (levels != 0) {
		level = 31 - __builtin_clz(levels);
		levels &= ~(1u << level);
		b = level_first(s, t->buckets[level], w, phase);
		if (b != NULL)
			return b;
	}
	return NULL;
}

/* Urgent work first, then that of teams within their quota, then the rest;
 * teams in the order of their shares. */
static struct sched_bucket *
bucket_first(struct agb_sched *s, const struct sched_worker *w)
{
	const uint32_t urgent = ~0u << SCHED_URGENT;
	const bool any = s->level_teams[SCHED_URGENT] > 0 ||
	    s->level_teams[SCHED_URGENT + 1] > 0;
	struct sched_bucket *b, *borrow = NULL;
	struct sched_team *t;
	uint32_t i;

	for (i = 0; any && i < SCHED_TEAMS; i++) {
		b = team_first(
		    s, &s->teams[s->order[i]], w, urgent, PHASE_URGENT);
		if (b != NULL)
			return b;
	}
	for (i = 0; i < SCHED_TEAMS; i++) {
		t = &s->teams[s->order[i]];
		if (t->held_back == t->len || (w == NULL && t->fresh == 0))
			continue;
		b = team_first(s, t, w, ~urgent, PHASE_GUARANTEED);
		if (b != NULL)
			return b;
		if (borrow == NULL)
			borrow = team_first(s, t, w, ~urgent, PHASE_BORROW);
	}
	return borrow;
}

/* Drops jobs that have ended or have nothing to start from the head. */
static bool
head_ready(struct agb_sched *s, struct sched_bucket *b)
{
	struct sched_job *const j = b->jobs;

	if (!j->ending && sched_job_next_task(j) != SCHED_NO_TASK)
		return true;
	if (j->next != NULL)
		sched_queue_fresh(s, b, true);
	sched_queue_remove(s, j);
	return false;
}

/* Returns false when nothing has changed. */
static bool
try_bucket(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    struct sched_worker *hint)
{
	struct sched_job *const j = b->jobs;
	enum sched_block block;

	if (!head_ready(s, b))
		return true;
	block = policy_of(b)->place(s, now, b, hint);
	if (block == BLOCK_NONE)
		return true;
	sched_queue_block(s, b, block);
	if (block != BLOCK_ROOM || b->policy == AGB_POLICY_GANG)
		return false;
	/* A placement may empty and free the bucket. */
	if (sched_preempt_for(s, now, b))
		return true;
	if (j->bucket == b && b->level < SCHED_URGENT)
		sched_gang_task_blocked(s, now, b);
	return false;
}

static void
pass_grown(struct agb_sched *s, agb_time now, uint32_t *budget)
{
	struct sched_bucket *b = NULL;
	struct sched_worker *w;

	while (*budget > 0 && s->dirty_len > 0) {
		w = &s->workers[s->dirty[s->dirty_head]];
		(*budget)--;
		if (!w->known || !sched_worker_takes(w)) {
			sched_worker_dirty_pop(s);
			continue;
		}
		if (sched_resv_serve(s, now, w))
			continue;
		b = bucket_first(s, w);
		if (b != NULL && try_bucket(s, now, b, w))
			continue;
		sched_worker_dirty_pop(s);
		sched_preempt_restore(s, w);
	}
}

static void
pass_fresh(struct agb_sched *s, agb_time now, uint32_t *budget)
{
	struct sched_bucket *b;

	while (*budget > 0 && (s->fresh > 0 || sched_queue_wake_one(s))) {
		(*budget)--;
		b = bucket_first(s, NULL);
		if (b == NULL)
			break;
		try_bucket(s, now, b, NULL);
	}
}

bool
sched_place_work_left(const struct agb_sched *s)
{
	return s->dirty_len > 0 || s->fresh > 0 ||
	    (s->headroom_grew && s->headroom_blocked > 0);
}

bool
sched_place_pass(struct agb_sched *s, agb_time now)
{
	uint32_t budget = SCHED_STEP_BUDGET;

	if (s->env == NULL)
		return false;
	pass_grown(s, now, &budget);
	pass_fresh(s, now, &budget);
	return sched_place_work_left(s);
}

#include "sched_internal.h"

#include <stdio.h>

/*
 * The placement pass. A new job is tried against all workers. A job that did
 * not fit is tried again only against workers whose available resources have
 * grown since. One pass makes a bounded number of decisions.
 */

/* Workers with room that are compared for a batch task before the best fit is
 * taken. */
#define BATCH_CANDIDATES 8

enum phase { PHASE_URGENT, PHASE_GUARANTEED, PHASE_BORROW, PHASE_MAX };

static double
free_fraction(int64_t available, int64_t need, int64_t cap)
{
	return cap > 0 ? (double)(available - need) / (double)cap : 0;
}

/* Resources that a placement would leave free, as a sum of fractions of the
 * capacity. Accelerators count four times. */
static double
leftover_score(const struct sched_worker *w, const struct agb_resources *need)
{
	const struct agb_resources *const cap = &w->info.capacity;

	return free_fraction(
		   w->available.cpu_milli, need->cpu_milli, cap->cpu_milli) +
	    free_fraction(w->available.mem_mb, need->mem_mb, cap->mem_mb) +
	    4 * free_fraction(w->available.accel, need->accel, cap->accel);
}

static enum sched_block
place_batch(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    struct sched_worker *hint)
{
	struct sched_worker *w, *best = hint;
	uint32_t considered = 1, h = 0;
	double score, least = 0;
	char why[64];

	if (hint == NULL) {
		for (considered = 0; considered < BATCH_CANDIDATES; h++) {
			h = sched_worker_next_fit(s, &b->need, h);
			if (h == AGB_SCHED_NONE)
				break;
			w = &s->workers[h];
			if (!sched_health_allows(s, b->jobs, w))
				continue;
			score = leftover_score(w, &b->need);
			if (best == NULL || score < least) {
				best = w;
				least = score;
			}
			considered++;
		}
	}
	if (best == NULL)
		return BLOCK_RESOURCES;
	snprintf(why, sizeof(why), "tightest of %u", considered);
	sched_task_start(s, now, b->jobs, sched_job_next_task(b->jobs), best,
	    &b->need, considered, why);
	return BLOCK_NONE;
}

static const struct sched_policy policy_batch = {
    .name = "batch",
    .place = place_batch,
};

static const struct sched_policy *
bucket_policy(const struct sched_bucket *b)
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
leaves_headroom(int64_t available, int64_t need, int64_t cap, int64_t keep)
{
	/* Work that could never run without using the headroom may use it. */
	return need == 0 || available - need >= keep || need > cap - keep;
}

/* Whether the headroom for urgent work stays free if the bucket starts. */
bool
sched_place_fits_headroom(
    const struct agb_sched *s, const struct sched_bucket *b)
{
	const int64_t units = b->key.gang > 0 ? b->key.gang : 1;

	if (b->level >= SCHED_URGENT_LEVEL || s->env->headroom_percent == 0)
		return true;
	return leaves_headroom(s->live_free.cpu_milli,
		   b->need.cpu_milli * units, s->live_capacity.cpu_milli,
		   s->headroom.cpu_milli) &&
	    leaves_headroom(s->live_free.mem_mb, b->need.mem_mb * units,
		s->live_capacity.mem_mb, s->headroom.mem_mb) &&
	    leaves_headroom(s->live_free.accel, b->need.accel * units,
		s->live_capacity.accel, s->headroom.accel);
}

/* What keeps a bucket out of a phase, or BLOCK_NONE if it takes part in it. */
static enum sched_block
phase_block_cause(
    const struct agb_sched *s, const struct sched_bucket *b, enum phase phase)
{
	const uint16_t team = b->key.team;
	const uint32_t units = b->key.gang > 0 ? b->key.gang : 1;
	const bool within = sched_quota_fits(s, team, &b->need, units);

	if (!within &&
	    (phase == PHASE_GUARANTEED || !sched_team_env(s, team)->may_borrow))
		return BLOCK_QUOTA;
	if (!sched_place_fits_headroom(s, b))
		return BLOCK_HEADROOM;
	return BLOCK_NONE;
}

static bool
precedes(const struct sched_bucket *a, const struct sched_bucket *b)
{
	if (a->key.has_deadline != b->key.has_deadline)
		return a->key.has_deadline > b->key.has_deadline;
	if (a->key.has_deadline)
		return a->jobs->deadline < b->jobs->deadline;
	return a->jobs->serial < b->jobs->serial;
}

static bool
is_candidate(const struct agb_sched *s, const struct sched_bucket *b,
    const struct sched_worker *w)
{
	if (w == NULL)
		return b->needs_scan;
	/* Buckets blocked by quota or headroom are scanned again when those
	 * allow it. */
	if (b->policy == AGB_POLICY_GANG || b->block == BLOCK_HEADROOM ||
	    b->block == BLOCK_QUOTA)
		return false;
	if (!agb_resources_fit(&b->need, &w->available) &&
	    !sched_gang_allows_backfill(s, b, w))
		return false;
	return sched_health_allows(s, b->jobs, w);
}

/* First bucket of one team and level. With @w, only buckets that fit on it are
 * considered, otherwise only those that need a scan. */
static struct sched_bucket *
first_in_level(struct agb_sched *s, struct sched_bucket *list,
    const struct sched_worker *w, enum phase phase)
{
	struct sched_bucket *b, *best = NULL;
	enum sched_block block;

	for (b = list; b != NULL; b = b->next) {
		if (!is_candidate(s, b, w) ||
		    (best != NULL && !precedes(b, best)))
			continue;
		block = phase_block_cause(s, b, phase);
		if (block == BLOCK_NONE)
			best = b;
		else if (phase != PHASE_GUARANTEED || block != BLOCK_QUOTA)
			sched_queue_block(s, b, block);
	}
	return best;
}

static struct sched_bucket *
first_in_team(struct agb_sched *s, struct sched_team *t,
    const struct sched_worker *w, uint32_t levels, enum phase phase)
{
	struct sched_bucket *b;
	int level;

	levels &= t->levels;
	while (levels != 0) {
		level = 31 - __builtin_clz(levels);
		levels &= ~(1u << level);
		b = first_in_level(s, t->buckets[level], w, phase);
		if (b != NULL)
			return b;
	}
	return NULL;
}

/* Urgent work comes first, then that of teams within their quota, then the
 * rest; teams in the order of their shares. */
static struct sched_bucket *
first_bucket(struct agb_sched *s, const struct sched_worker *w)
{
	const uint32_t urgent = ~0u << SCHED_URGENT_LEVEL;
	const bool any = s->level_teams[SCHED_URGENT_LEVEL] > 0 ||
	    s->level_teams[SCHED_URGENT_LEVEL + 1] > 0;
	struct sched_bucket *b, *borrow = NULL;
	struct sched_team *t;
	uint32_t i;

	for (i = 0; any && i < SCHED_TEAMS; i++) {
		b = first_in_team(
		    s, &s->teams[s->team_order[i]], w, urgent, PHASE_URGENT);
		if (b != NULL)
			return b;
	}
	for (i = 0; i < SCHED_TEAMS; i++) {
		t = &s->teams[s->team_order[i]];
		if (t->limit_blocked_len == t->len ||
		    (w == NULL && t->needs_scan_len == 0))
			continue;
		b = first_in_team(s, t, w, ~urgent, PHASE_GUARANTEED);
		if (b != NULL)
			return b;
		if (borrow == NULL)
			borrow = first_in_team(s, t, w, ~urgent, PHASE_BORROW);
	}
	return borrow;
}

/* Removes the first job from the queue if it has ended or has nothing to start.
 * Returns false if it was removed. */
static bool
keep_or_remove_head(struct agb_sched *s, struct sched_bucket *b)
{
	struct sched_job *const j = b->jobs;

	if (!j->ending && sched_job_next_task(j) != SCHED_NO_TASK)
		return true;
	if (j->next != NULL)
		sched_queue_set_needs_scan(s, b, true);
	sched_queue_remove(s, j);
	return false;
}

/* Places the first job of a bucket, if necessary by preemption. Returns false
 * if nothing has changed. */
static bool
try_bucket(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    struct sched_worker *hint)
{
	struct sched_job *const j = b->jobs;
	enum sched_block block;

	if (!keep_or_remove_head(s, b))
		return true;
	block = bucket_policy(b)->place(s, now, b, hint);
	if (block == BLOCK_NONE)
		return true;
	sched_queue_block(s, b, block);
	if (block != BLOCK_RESOURCES || b->policy == AGB_POLICY_GANG)
		return false;
	/* Preemption may start the last job of the bucket and free it. */
	if (sched_preempt_for(s, now, b))
		return true;
	if (j->bucket == b && b->level < SCHED_URGENT_LEVEL)
		sched_gang_task_blocked(s, now, b);
	return false;
}

static void
place_on_grown_workers(struct agb_sched *s, agb_time now, uint32_t *budget)
{
	struct sched_bucket *b = NULL;
	struct sched_worker *w;

	while (*budget > 0 && s->dirty_len > 0) {
		w = &s->workers[s->dirty[s->dirty_head]];
		(*budget)--;
		if (!w->known || !sched_worker_accepts(w)) {
			sched_worker_dirty_pop(s);
			continue;
		}
		if (sched_reservation_start_task(s, now, w))
			continue;
		b = first_bucket(s, w);
		if (b != NULL && try_bucket(s, now, b, w))
			continue;
		sched_worker_dirty_pop(s);
		sched_preempt_unthrottle(s, w);
	}
}

static void
scan_buckets(struct agb_sched *s, agb_time now, uint32_t *budget)
{
	struct sched_bucket *b;

	while (*budget > 0 &&
	    (s->needs_scan_len > 0 || sched_queue_wake_headroom(s))) {
		(*budget)--;
		b = first_bucket(s, NULL);
		if (b == NULL)
			break;
		try_bucket(s, now, b, NULL);
	}
}

bool
sched_place_work_left(const struct agb_sched *s)
{
	return s->dirty_len > 0 || s->needs_scan_len > 0 ||
	    (s->headroom_grew && s->headroom_blocked > 0);
}

bool
sched_place_pass(struct agb_sched *s, agb_time now)
{
	uint32_t budget = SCHED_STEP_BUDGET;

	if (s->env == NULL)
		return false;
	place_on_grown_workers(s, now, &budget);
	scan_buckets(s, now, &budget);
	return sched_place_work_left(s);
}

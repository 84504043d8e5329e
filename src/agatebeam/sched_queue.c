#include "sched_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Fair queueing. Jobs are queued by team, urgency level and bucket key. Teams
 * are served in the order of their weighted dominant shares.
 */

static double
used_fraction(int64_t used, int64_t cap)
{
	if (used <= 0)
		return 0;
	return cap > 0 ? (double)used / (double)cap : 1;
}

static void
update_share(struct agb_sched *s, struct sched_team *t, uint16_t index)
{
	struct agb_resources sum = t->used;
	double cpu, mem, accel;

	agb_resources_add(&sum, &t->other);
	cpu = used_fraction(sum.cpu_milli, s->live_capacity.cpu_milli);
	mem = used_fraction(sum.mem_mb, s->live_capacity.mem_mb);
	accel = used_fraction(sum.accel, s->live_capacity.accel);
	t->share = cpu > mem ? cpu : mem;
	if (accel > t->share)
		t->share = accel;
	t->share /= sched_team_env(s, index)->weight;
}

/* Moves a team to its position in the order of shares. */
static void
update_rank(struct agb_sched *s, uint16_t team)
{
	const double share = s->teams[team].share;
	uint32_t i = s->teams[team].rank;

	for (; i > 0 && s->teams[s->team_order[i - 1]].share > share; i--) {
		s->team_order[i] = s->team_order[i - 1];
		s->teams[s->team_order[i]].rank = (uint16_t)i;
	}
	for (; i + 1 < SCHED_TEAMS &&
	     s->teams[s->team_order[i + 1]].share < share;
	     i++) {
		s->team_order[i] = s->team_order[i + 1];
		s->teams[s->team_order[i]].rank = (uint16_t)i;
	}
	s->team_order[i] = team;
	s->teams[team].rank = (uint16_t)i;
}

void
sched_queue_init(struct agb_sched *s)
{
	uint16_t i;

	for (i = 0; i < SCHED_TEAMS; i++)
		s->team_order[i] = s->teams[i].rank = i;
}

void
sched_team_update_shares(struct agb_sched *s)
{
	uint16_t i;

	for (i = 0; i < SCHED_TEAMS; i++) {
		update_share(s, &s->teams[i], i);
		update_rank(s, i);
	}
}

void
sched_team_update_usage(struct agb_sched *s, uint16_t team,
    const struct agb_resources *add, const struct agb_resources *sub)
{
	struct sched_team *const t = &s->teams[team];

	if (add != NULL)
		agb_resources_add(&t->used, add);
	if (sub != NULL) {
		agb_resources_sub(&t->used, sub);
		sched_queue_wake_quota(s, team);
	}
	update_share(s, t, team);
	update_rank(s, team);
}

/* Whether the job would fit the quota if its team used nothing else. */
bool
sched_quota_allows_job(const struct agb_sched *s, const struct sched_job *j)
{
	const struct agb_env_team *const t = sched_team_env(s, j->spec.team);
	const int64_t units =
	    sched_work_class(s, j->spec.work)->policy == AGB_POLICY_GANG
	    ? j->spec.tasks
	    : 1;
	const struct agb_resources need = {j->spec.need.cpu_milli * units,
	    j->spec.need.mem_mb * units, j->spec.need.accel * units};

	return t->may_borrow || agb_resources_fit(&need, &t->quota);
}

/* Whether any team is over its quota. */
bool
sched_quota_any_exceeded(const struct agb_sched *s)
{
	static const struct agb_resources none;
	uint16_t i;

	for (i = 0; i < SCHED_TEAM_NONE && i < s->env->teams_len; i++) {
		if (!sched_quota_fits(s, i, &none, 0))
			return true;
	}
	return false;
}

bool
sched_quota_fits(const struct agb_sched *s, uint16_t team,
    const struct agb_resources *need, uint32_t units)
{
	struct agb_resources sum = s->teams[team].used;

	if (team == SCHED_TEAM_NONE)
		return true;
	agb_resources_add(&sum, &s->teams[team].other);
	sum.cpu_milli += need->cpu_milli * units;
	sum.mem_mb += need->mem_mb * units;
	sum.accel += need->accel * units;
	return agb_resources_fit(&sum, &sched_team_env(s, team)->quota);
}

void
sched_queue_set_needs_scan(
    struct agb_sched *s, struct sched_bucket *b, bool needs_scan)
{
	if (b->block == BLOCK_HEADROOM)
		s->headroom_blocked--;
	if (b->block == BLOCK_HEADROOM || b->block == BLOCK_QUOTA)
		s->teams[b->key.team].limit_blocked_len--;
	b->block = BLOCK_NONE;
	if (b->needs_scan == needs_scan)
		return;
	b->needs_scan = needs_scan;
	s->needs_scan_len += needs_scan ? 1 : -1;
	s->teams[b->key.team].needs_scan_len += needs_scan ? 1 : -1;
}

void
sched_queue_block(
    struct agb_sched *s, struct sched_bucket *b, enum sched_block cause)
{
	sched_queue_set_needs_scan(s, b, false);
	b->block = cause;
	if (cause == BLOCK_HEADROOM || cause == BLOCK_QUOTA)
		s->teams[b->key.team].limit_blocked_len++;
	if (cause == BLOCK_HEADROOM)
		s->headroom_blocked++;
}

/* First bucket blocked by headroom that now fits, most urgent level first. */
static struct sched_bucket *
first_fitting_headroom(const struct agb_sched *s, const struct sched_team *t)
{
	uint32_t set = t->levels;
	struct sched_bucket *b;
	int level;

	while (set != 0) {
		level = 31 - __builtin_clz(set);
		set &= ~(1u << level);
		for (b = t->buckets[level]; b != NULL; b = b->next) {
			if (b->block == BLOCK_HEADROOM &&
			    sched_place_fits_headroom(s, b))
				return b;
		}
	}
	return NULL;
}

/* Has one bucket scanned that was blocked by headroom. Waking all of them is of
 * no use: the first that starts blocks most of the others again. */
bool
sched_queue_wake_headroom(struct agb_sched *s)
{
	struct sched_bucket *b, *borrow = NULL;
	const struct sched_team *t;
	uint32_t i;

	if (!s->headroom_grew || s->headroom_blocked == 0)
		return false;
	for (i = 0; i < SCHED_TEAMS; i++) {
		t = &s->teams[s->team_order[i]];
		if (t->limit_blocked_len == 0)
			continue;
		b = first_fitting_headroom(s, t);
		if (b != NULL &&
		    sched_quota_fits(s, b->key.team, &b->need, 1)) {
			sched_queue_set_needs_scan(s, b, true);
			return true;
		}
		if (borrow == NULL)
			borrow = b;
	}
	if (borrow != NULL)
		sched_queue_set_needs_scan(s, borrow, true);
	else
		s->headroom_grew = false;
	return borrow != NULL;
}

void
sched_queue_wake_quota(struct agb_sched *s, uint16_t team)
{
	uint32_t set = s->teams[team].levels;
	struct sched_bucket *b;

	while (set != 0) {
		const int level = __builtin_ctz(set);

		set &= set - 1;
		for (b = s->teams[team].buckets[level]; b != NULL;
		     b = b->next) {
			if (b->block == BLOCK_QUOTA)
				sched_queue_set_needs_scan(s, b, true);
		}
	}
}

static struct sched_bucket *
find_or_add_bucket(struct agb_sched *s, const struct sched_job *j)
{
	const struct agb_env_class *const c = sched_work_class(s, j->spec.work);
	struct sched_team *const t = &s->teams[j->spec.team];
	struct sched_bucket_key key;
	struct sched_bucket *b;

	memset(&key, 0, sizeof(key));
	key.team = j->spec.team;
	key.work = j->spec.work;
	key.gang = c->policy == AGB_POLICY_GANG ? j->pending : 0;
	key.has_deadline = j->deadline != AGB_TIME_MAX;
	if (j->spec.run_ms > 0)
		key.run_class = 1 + (31 - __builtin_clz(j->spec.run_ms)) / 2;
	key.need = j->spec.need;
	HASH_FIND(hh, s->buckets, &key, sizeof(key), b);
	if (b != NULL)
		return b;
	b = agb_xcalloc(1, sizeof(*b));
	b->key = key;
	b->policy = c->policy;
	b->level = c->urgency < SCHED_LEVELS ? c->urgency : SCHED_LEVELS - 1;
	b->need = sched_learn_size(s, key.work, &key.need);
	/* A job that was restarted may not fit the fleet any more. */
	if (j->started)
		sched_feasible_schedule_check(s, s->now);
	HASH_ADD(hh, s->buckets, key, sizeof(b->key), b);
	DL_APPEND(t->buckets[b->level], b);
	if ((t->levels & (1u << b->level)) == 0)
		s->level_teams[b->level]++;
	t->levels |= 1u << b->level;
	t->len++;
	return b;
}

static void
insert_job(struct sched_bucket *b, struct sched_job *j, bool front)
{
	struct sched_job *at;

	if (!b->key.has_deadline) {
		if (front)
			DL_PREPEND(b->jobs, j);
		else
			DL_APPEND(b->jobs, j);
		return;
	}
	/* Sorted by deadline, searched from the end: most jobs arrive in about
	 * this order. */
	at = b->jobs != NULL ? b->jobs->prev : NULL;
	while (at != NULL && at->deadline > j->deadline)
		at = at != b->jobs ? at->prev : NULL;
	if (at == NULL)
		DL_PREPEND(b->jobs, j);
	else
		DL_APPEND_ELEM(b->jobs, at, j);
}

void
sched_queue_add(struct agb_sched *s, struct sched_job *j, bool front)
{
	struct sched_bucket *b;

	if (j->bucket != NULL)
		return;
	b = find_or_add_bucket(s, j);
	insert_job(b, j, front);
	j->bucket = b;
	/* A job behind a blocked one is blocked as well. */
	if (b->jobs == j)
		sched_queue_set_needs_scan(s, b, true);
}

void
sched_queue_remove(struct agb_sched *s, struct sched_job *j)
{
	struct sched_bucket *const b = j->bucket;
	struct sched_team *t;

	if (b == NULL)
		return;
	DL_DELETE(b->jobs, j);
	j->bucket = NULL;
	if (b->jobs != NULL)
		return;
	sched_queue_set_needs_scan(s, b, false);
	t = &s->teams[b->key.team];
	t->len--;
	DL_DELETE(t->buckets[b->level], b);
	if (t->buckets[b->level] == NULL) {
		t->levels &= ~(1u << b->level);
		s->level_teams[b->level]--;
	}
	HASH_DEL(s->buckets, b);
	free(b);
}

void
sched_queue_resize(struct agb_sched *s, uint16_t work)
{
	struct sched_bucket *b;
	struct agb_resources need;

	for (b = s->buckets; b != NULL; b = b->hh.next) {
		if (b->key.work != work)
			continue;
		need = sched_learn_size(s, work, &b->key.need);
		if (memcmp(&need, &b->need, sizeof(need)) == 0)
			continue;
		if (!agb_resources_fit(&b->need, &need))
			sched_queue_set_needs_scan(s, b, true);
		b->need = need;
	}
}

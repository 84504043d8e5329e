#include "sched_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Policy of gangs: all tasks at once or none. A gang that has waited for
 * long reserves the workers that will have room first. Until then others may
 * use that room only for what is expected to end before (backfill). A single
 * large task that is passed over by smaller ones is treated as a gang of
 * one.
 */

/* A gang is tried again at most this often. */
#define RETRY (50 * AGB_MS)
/* Wait after which a gang, or a large task, reserves room. Sooner, it
 * takes room from work that could run; see docs/notes/placement.md. */
#define GANG_AGE (10 * AGB_SEC)
#define TASK_AGE (60 * AGB_SEC)
/* A reservation is planned anew after this time. */
#define PLAN_AGE (60 * AGB_SEC)
/* Assumed rest of a task that has passed its expected end. */
#define OVERDUE (30 * AGB_SEC)
/* A gang that cannot do without a worker on trial uses it after this. */
#define TRIAL_WAIT (300 * AGB_SEC)
/* Attempts of one worker that a plan looks at. */
#define ENDS 64
/* Backfill must be expected to end within this part of the time left:
 * run times are often twice what was declared. */
#define BACKFILL_PART 2

struct place {
	struct sched_worker *worker;
	uint32_t units;
	agb_time at;
};

/* Whether a gang may be placed on a worker: at first on none with a failure,
 * then on all but those on trial. */
static bool
takes_gang(struct agb_sched *s, const struct sched_job *j,
    const struct sched_worker *w, bool failures)
{
	if (w->ejected)
		return s->now - j->waiting_since >= TRIAL_WAIT ||
		    sched_health_last(s);
	return failures || w->evidence_len == 0;
}

static uint32_t
find_places_on(struct agb_sched *s, const struct sched_job *j,
    const struct agb_resources *need, bool failures, struct place *places,
    uint32_t *len)
{
	uint32_t h = 0, n, got = 0;
	struct sched_worker *w;

	*len = 0;
	for (; got < j->pending; h++) {
		h = sched_worker_next_fit(s, need, h);
		if (h == AGB_SCHED_NONE)
			break;
		w = &s->workers[h];
		if (!takes_gang(s, j, w, failures))
			continue;
		n = sched_units(&w->room, need);
		if (n > j->pending - got)
			n = j->pending - got;
		places[(*len)++] = (struct place){w, n, 0};
		got += n;
	}
	return got;
}

static uint32_t
find_places(struct agb_sched *s, const struct sched_job *j,
    const struct agb_resources *need, struct place *places, uint32_t *len)
{
	uint32_t got;

	got = find_places_on(s, j, need, false, places, len);
	if (got < j->pending)
		got = find_places_on(s, j, need, true, places, len);
	return got;
}

static void
start_all(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct agb_resources *need, const struct place *places, uint32_t len)
{
	const uint32_t want = j->pending;
	uint32_t i, k;
	char why[64];

	snprintf(why, sizeof(why), "gang of %u on %u workers", want, len);
	for (i = 0; i < len; i++) {
		for (k = 0; k < places[i].units; k++)
			sched_task_start(s, now, j, sched_job_next_task(j),
			    places[i].worker, need, len, why);
	}
}

static int
by_time(const void *a, const void *b)
{
	const struct place *const x = a;
	const struct place *const y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->worker->self < y->worker->self ? -1 : 1;
}

static uint32_t
ends_of(
    const struct sched_worker *w, agb_time now, const struct sched_att **ends)
{
	const struct sched_att *a;
	uint32_t n = 0, i;

	for (a = w->atts; a != NULL && n < ENDS; a = a->next) {
		if (a->quick || a->end_at == AGB_TIME_MAX)
			continue;
		for (i = n++; i > 0 && ends[i - 1]->end_at > a->end_at; i--)
			ends[i] = ends[i - 1];
		ends[i] = a;
	}
	return n;
}

/* When a worker is expected to have room for a task, and for how many. */
static bool
free_at(const struct sched_worker *w, agb_time now,
    const struct agb_resources *need, struct place *p)
{
	const struct sched_att *ends[ENDS];
	struct agb_resources room = sched_worker_usable(w);
	uint32_t n, i;
	agb_time at;

	agb_resources_sub(&room, &w->held);
	agb_resources_sub(&room, &w->reserved);
	n = ends_of(w, now, ends);
	p->at = now;
	for (i = 0;; i++) {
		p->units = sched_units(&room, need);
		if (p->units > 0)
			return true;
		if (i == n)
			return false;
		agb_resources_add(&room, &ends[i]->held);
		at = ends[i]->end_at > now ? ends[i]->end_at : now + OVERDUE;
		if (at > p->at)
			p->at = at;
	}
}

bool
sched_gang_reserve(struct agb_sched *s, agb_time now, struct sched_bucket *b)
{
	const bool urgent = b->level >= SCHED_URGENT;
	const struct agb_resources need = b->need;
	struct sched_job *const j = b->jobs;
	uint32_t want = b->policy == AGB_POLICY_GANG ? j->pending : 1;
	struct sched_worker *w;
	struct place *p;
	uint32_t i, n = 0;

	if (s->gang_holder != NULL || j->resv_len > 0 ||
	    s->resv_jobs_len == SCHED_RESV_JOBS)
		return false;
	p = agb_xcalloc(s->workers_cap, sizeof(*p));
	for (i = 0; i < s->workers_cap; i++) {
		w = &s->workers[i];
		p[n].worker = w;
		if (w->known && w->state == AGB_WORKER_LIVE && !w->ejected &&
		    w->evidence_len == 0 && free_at(w, now, &need, &p[n]))
			n++;
	}
	qsort(p, n, sizeof(*p), by_time);
	for (i = 0; i < n && want > 0; i++) {
		if (p[i].units > want)
			p[i].units = want;
		if (!sched_resv_add(s, j, p[i].worker, &need, p[i].units, true))
			break;
		want -= p[i].units;
		s->gang_eta = p[i].at;
		if (urgent)
			sched_preempt_clear(s, now, p[i].worker, &need, j);
	}
	free(p);
	if (want > 0) {
		sched_resv_drop(s, j);
		return false;
	}
	s->gang_holder = j;
	j->resv_until = now + PLAN_AGE;
	sched_timer_add(s, j->resv_until, TIMER_RESV, j->handle, 0, j->serial);
	sched_gang_decision(s, now, j);
	return true;
}

void
sched_gang_decision(
    struct agb_sched *s, agb_time now, const struct sched_job *j)
{
	struct agb_sched_effect *const ef =
	    agb_sched_effects_add(s->out, AGB_SCHED_DECISION);

	ef->job = j->handle;
	ef->worker = AGB_SCHED_NONE;
	ef->weighed = s->workers_len;
	snprintf(ef->detail, sizeof(ef->detail),
	    "reserves room on %u workers after %llu s, expected in %llu s",
	    j->resv_len,
	    (unsigned long long)((now - j->waiting_since) / AGB_SEC),
	    (unsigned long long)((s->gang_eta - now) / AGB_SEC));
}

bool
sched_gang_backfills(const struct agb_sched *s, const struct sched_bucket *b,
    const struct sched_worker *w)
{
	struct agb_resources room = w->room;
	agb_time end;

	if (s->gang_holder == NULL || s->gang_holder == b->jobs ||
	    b->policy != AGB_POLICY_BATCH || s->gang_eta <= s->now)
		return false;
	agb_resources_add(&room, &w->backfill);
	if (!agb_resources_fit(&b->need, &room))
		return false;
	end = sched_learn_end(s, b->jobs, s->now);
	return end != AGB_TIME_MAX &&
	    (end - s->now) * BACKFILL_PART <= s->gang_eta - s->now;
}

/* The reserved workers, when all of them have the room by now. */
static uint32_t
reserved_places(struct agb_sched *s, const struct sched_job *j,
    const struct agb_resources *need, struct place *places)
{
	static const struct agb_resources nothing;
	struct sched_worker *w;
	uint32_t i, units = 0;

	for (i = 0; i < j->resv_len; i++) {
		w = sched_worker_get(s, j->resv[i].worker);
		if (w == NULL || !agb_resources_fit(&nothing, &w->room) ||
		    need->cpu_milli * j->resv[i].units >
			j->resv[i].amount.cpu_milli ||
		    need->mem_mb * j->resv[i].units > j->resv[i].amount.mem_mb)
			return 0;
		places[i] = (struct place){w, j->resv[i].units, 0};
		units += j->resv[i].units;
	}
	return units == j->pending ? j->resv_len : 0;
}

static enum sched_block
gang_place(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    struct sched_worker *hint)
{
	const struct agb_resources need = b->need;
	struct sched_job *const j = b->jobs;
	struct place *places;
	uint32_t len, got;

	places =
	    agb_xcalloc(j->pending > j->resv_len ? j->pending : j->resv_len,
		sizeof(*places));
	len = reserved_places(s, j, &need, places);
	got = len > 0 ? j->pending : find_places(s, j, &need, places, &len);
	if (got >= j->pending) {
		sched_resv_drop(s, j);
		start_all(s, now, j, &need, places, len);
		free(places);
		return BLOCK_NONE;
	}
	free(places);
	if (now - j->waiting_since >= GANG_AGE || b->level >= SCHED_URGENT)
		sched_gang_reserve(s, now, b);
	sched_gang_again(s, b, now + RETRY);
	return BLOCK_ROOM;
}

void
sched_gang_again(struct agb_sched *s, struct sched_bucket *b, agb_time at)
{
	if (b->retry_at > s->now)
		return;
	b->retry_at = at;
	sched_timer_add(s, at, TIMER_GANG, b->jobs->handle, 0, b->jobs->serial);
}

/* A task that does not fit though others do: see TASK_AGE. */
void
sched_gang_task_blocked(
    struct agb_sched *s, agb_time now, struct sched_bucket *b)
{
	const agb_time due = b->jobs->waiting_since + TASK_AGE;

	if (now < due)
		sched_gang_again(s, b, due);
	else if (!sched_gang_reserve(s, now, b))
		sched_gang_again(s, b, now + AGB_SEC);
}

void
sched_gang_timer(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	if (j->bucket == NULL)
		return;
	j->bucket->retry_at = 0;
	sched_queue_fresh(s, j->bucket, true);
}

const struct sched_policy sched_policy_gang = {
    .name = "gang",
    .place = gang_place,
};

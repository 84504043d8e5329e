#include "sched_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Gang scheduling: all tasks of a job start at once, or none. A gang that has
 * waited for long reserves the workers that are expected to have room first.
 * Until it starts, other tasks may use that room only if they are expected to
 * end before (backfill). A single large task that smaller ones keep passing is
 * treated as a gang of one.
 */

/* Minimum time between attempts to place a gang. */
#define GANG_RETRY_DELAY (50 * AGB_MS)
/* Wait after which a gang, or a large task, reserves room. An earlier
 * reservation takes room from work that could run; see
 * docs/notes/placement.md. */
#define GANG_RESERVE_DELAY (10 * AGB_SEC)
#define TASK_RESERVE_DELAY (60 * AGB_SEC)
/* Time after which a reservation is dropped and planned again. */
#define PLAN_LIFETIME (60 * AGB_SEC)
/* Assumed remaining time of a task that has passed its expected end. */
#define OVERDUE_REMAINING (30 * AGB_SEC)
/* Wait after which a gang may use an ejected worker that is being probed, if it
 * does not fit otherwise. */
#define PROBE_USE_DELAY (300 * AGB_SEC)
/* Attempts of one worker that are considered for a plan. */
#define ATTEMPTS_MAX 64
/* A backfill task must be expected to end within 1/BACKFILL_DIVISOR of the time
 * left: run times are often twice the declared ones. */
#define BACKFILL_DIVISOR 2

/* Some tasks of a gang on one worker; @at is when they are expected to fit. */
struct placement {
	struct sched_worker *worker;
	uint32_t units;
	agb_time at;
};

/* Whether a gang may be placed on a worker. Workers with failures are used only
 * if @failures is set, ejected ones only if there is no alternative. If all
 * live workers are ejected, this also allows probes on them. */
static bool
accepts_gang(struct agb_sched *s, const struct sched_job *j,
    const struct sched_worker *w, bool failures)
{
	if (w->ejected)
		return s->now - j->waiting_since >= PROBE_USE_DELAY ||
		    sched_health_probe_if_all_ejected(s);
	return failures || w->failures_len == 0;
}

static uint32_t
find_placements_among(struct agb_sched *s, const struct sched_job *j,
    const struct agb_resources *need, bool failures,
    struct placement *placements, uint32_t *len)
{
	uint32_t h = 0, n, got = 0;
	struct sched_worker *w;

	*len = 0;
	for (; got < j->pending; h++) {
		h = sched_worker_next_fit(s, need, h);
		if (h == AGB_SCHED_NONE)
			break;
		w = &s->workers[h];
		if (!accepts_gang(s, j, w, failures))
			continue;
		n = sched_fit_count(&w->available, need);
		if (n > j->pending - got)
			n = j->pending - got;
		placements[(*len)++] = (struct placement){w, n, 0};
		got += n;
	}
	return got;
}

static uint32_t
find_placements(struct agb_sched *s, const struct sched_job *j,
    const struct agb_resources *need, struct placement *placements,
    uint32_t *len)
{
	uint32_t got;

	got = find_placements_among(s, j, need, false, placements, len);
	if (got < j->pending)
		got = find_placements_among(s, j, need, true, placements, len);
	return got;
}

static void
start_all(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct agb_resources *need, const struct placement *placements,
    uint32_t len)
{
	const uint32_t want = j->pending;
	uint32_t i, k;
	char why[64];

	snprintf(why, sizeof(why), "gang of %u on %u workers", want, len);
	for (i = 0; i < len; i++) {
		for (k = 0; k < placements[i].units; k++)
			sched_task_start(s, now, j, sched_job_next_task(j),
			    placements[i].worker, need, len, why);
	}
}

static int
compare_by_time(const void *a, const void *b)
{
	const struct placement *const x = a;
	const struct placement *const y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->worker->handle < y->worker->handle ? -1 : 1;
}

/* Attempts with a known expected end, earliest first. */
static uint32_t
attempts_by_end(const struct sched_worker *w, agb_time now,
    const struct sched_attempt **ends)
{
	const struct sched_attempt *a;
	uint32_t n = 0, i;

	for (a = w->attempts; a != NULL && n < ATTEMPTS_MAX; a = a->next) {
		if (a->quick || a->end_at == AGB_TIME_MAX)
			continue;
		for (i = n++; i > 0 && ends[i - 1]->end_at > a->end_at; i--)
			ends[i] = ends[i - 1];
		ends[i] = a;
	}
	return n;
}

/* Finds when a worker is expected to have room for at least one task, and for
 * how many then. */
static bool
find_earliest_fit(const struct sched_worker *w, agb_time now,
    const struct agb_resources *need, struct placement *p)
{
	const struct sched_attempt *ends[ATTEMPTS_MAX];
	struct agb_resources available = sched_worker_usable(w);
	uint32_t n, i;
	agb_time at;

	agb_resources_sub(&available, &w->allocated);
	agb_resources_sub(&available, &w->reserved);
	n = attempts_by_end(w, now, ends);
	p->at = now;
	for (i = 0;; i++) {
		p->units = sched_fit_count(&available, need);
		if (p->units > 0)
			return true;
		if (i == n)
			return false;
		agb_resources_add(&available, &ends[i]->allocated);
		at = ends[i]->end_at > now ? ends[i]->end_at
					   : now + OVERDUE_REMAINING;
		if (at > p->at)
			p->at = at;
	}
}

bool
sched_gang_reserve(struct agb_sched *s, agb_time now, struct sched_bucket *b)
{
	const bool urgent = b->level >= SCHED_URGENT_LEVEL;
	const struct agb_resources need = b->need;
	struct sched_job *const j = b->jobs;
	uint32_t want = b->policy == AGB_POLICY_GANG ? j->pending : 1;
	struct sched_worker *w;
	struct placement *p;
	uint32_t i, n = 0;

	if (s->reservation_holder != NULL || j->reservations_len > 0 ||
	    s->reserving_jobs_len == SCHED_RESERVING_JOBS_MAX)
		return false;
	p = agb_xcalloc(s->workers_cap, sizeof(*p));
	for (i = 0; i < s->workers_cap; i++) {
		w = &s->workers[i];
		p[n].worker = w;
		if (w->known && w->state == AGB_WORKER_LIVE && !w->ejected &&
		    w->failures_len == 0 &&
		    find_earliest_fit(w, now, &need, &p[n]))
			n++;
	}
	qsort(p, n, sizeof(*p), compare_by_time);
	for (i = 0; i < n && want > 0; i++) {
		if (p[i].units > want)
			p[i].units = want;
		if (!sched_reservation_add(
			s, j, p[i].worker, &need, p[i].units, true))
			break;
		want -= p[i].units;
		s->reservation_eta = p[i].at;
		if (urgent)
			sched_preempt_for_gang(s, now, p[i].worker, &need, j);
	}
	free(p);
	if (want > 0) {
		sched_reservation_drop_all(s, j);
		return false;
	}
	s->reservation_holder = j;
	j->reservation_expires_at = now + PLAN_LIFETIME;
	sched_timer_add(s, j->reservation_expires_at, TIMER_RESERVATION,
	    j->handle, 0, j->serial);
	sched_gang_report(s, now, j);
	return true;
}

void
sched_gang_report(struct agb_sched *s, agb_time now, const struct sched_job *j)
{
	struct agb_sched_effect *const ef =
	    agb_sched_effects_add(s->out, AGB_SCHED_DECISION);

	ef->job = j->handle;
	ef->worker = AGB_SCHED_NONE;
	ef->considered = s->workers_len;
	snprintf(ef->detail, sizeof(ef->detail),
	    "reserved %u workers after waiting %llu s, start expected in %llu "
	    "s",
	    j->reservations_len,
	    (unsigned long long)((now - j->waiting_since) / AGB_SEC),
	    (unsigned long long)((s->reservation_eta - now) / AGB_SEC));
}

bool
sched_gang_allows_backfill(const struct agb_sched *s,
    const struct sched_bucket *b, const struct sched_worker *w)
{
	struct agb_resources available = w->available;
	agb_time end;

	if (s->reservation_holder == NULL || s->reservation_holder == b->jobs ||
	    b->policy != AGB_POLICY_BATCH || s->reservation_eta <= s->now)
		return false;
	agb_resources_add(&available, &w->backfill);
	if (!agb_resources_fit(&b->need, &available))
		return false;
	end = sched_learn_expected_end(s, b->jobs, s->now);
	return end != AGB_TIME_MAX &&
	    (end - s->now) * BACKFILL_DIVISOR <= s->reservation_eta - s->now;
}

/* Fills in the reserved workers if all of them have the room by now. Returns
 * their number, or 0. */
static uint32_t
reserved_placements(struct agb_sched *s, const struct sched_job *j,
    const struct agb_resources *need, struct placement *placements)
{
	static const struct agb_resources nothing;
	struct sched_worker *w;
	uint32_t i, units = 0;

	for (i = 0; i < j->reservations_len; i++) {
		w = sched_worker_get(s, j->reservations[i].worker);
		if (w == NULL || !agb_resources_fit(&nothing, &w->available) ||
		    need->cpu_milli * j->reservations[i].units >
			j->reservations[i].amount.cpu_milli ||
		    need->mem_mb * j->reservations[i].units >
			j->reservations[i].amount.mem_mb)
			return 0;
		placements[i] =
		    (struct placement){w, j->reservations[i].units, 0};
		units += j->reservations[i].units;
	}
	return units == j->pending ? j->reservations_len : 0;
}

static enum sched_block
place_gang(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    struct sched_worker *hint)
{
	const struct agb_resources need = b->need;
	struct sched_job *const j = b->jobs;
	struct placement *placements;
	uint32_t len, got;

	placements = agb_xcalloc(
	    j->pending > j->reservations_len ? j->pending : j->reservations_len,
	    sizeof(*placements));
	len = reserved_placements(s, j, &need, placements);
	got = len > 0 ? j->pending
		      : find_placements(s, j, &need, placements, &len);
	if (got >= j->pending) {
		sched_reservation_drop_all(s, j);
		start_all(s, now, j, &need, placements, len);
		free(placements);
		return BLOCK_NONE;
	}
	free(placements);
	if (now - j->waiting_since >= GANG_RESERVE_DELAY ||
	    b->level >= SCHED_URGENT_LEVEL)
		sched_gang_reserve(s, now, b);
	sched_gang_schedule_retry(s, b, now + GANG_RETRY_DELAY);
	return BLOCK_RESOURCES;
}

void
sched_gang_schedule_retry(
    struct agb_sched *s, struct sched_bucket *b, agb_time at)
{
	if (b->retry_at > s->now)
		return;
	b->retry_at = at;
	sched_timer_add(
	    s, at, TIMER_BUCKET_RETRY, b->jobs->handle, 0, b->jobs->serial);
}

/* Schedules the reservation for a task that does not fit while smaller ones do;
 * see TASK_RESERVE_DELAY. */
void
sched_gang_task_blocked(
    struct agb_sched *s, agb_time now, struct sched_bucket *b)
{
	const agb_time due = b->jobs->waiting_since + TASK_RESERVE_DELAY;

	if (now < due)
		sched_gang_schedule_retry(s, b, due);
	else if (!sched_gang_reserve(s, now, b))
		sched_gang_schedule_retry(s, b, now + AGB_SEC);
}

void
sched_gang_timer(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	if (j->bucket == NULL)
		return;
	j->bucket->retry_at = 0;
	sched_queue_set_needs_scan(s, j->bucket, true);
}

const struct sched_policy sched_policy_gang = {
    .name = "gang",
    .place = place_gang,
};

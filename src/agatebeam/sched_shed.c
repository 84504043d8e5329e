#include "sched_internal.h"

#include <math.h>
#include <stdio.h>

/*
 * Load shedding. When the queue exceeds its high mark, the least valuable
 * queued work is refused until the low mark is reached. Between the marks
 * nothing changes, so that the shard does not alternate between accepting and
 * refusing.
 */

/* High mark of queued quick requests: for each live slot, and its minimum. */
#define QUICK_PER_SLOT 50
#define QUICK_HIGH_MIN 1000
/* High mark of queued tasks: four times the number queued at the target
 * size. */
#define TASKS_HIGH 40000
#define LOW_PERCENT 80
/* Time constant of the count of starts from which the expected wait of a job is
 * computed. */
#define START_COUNT_WINDOW (30 * AGB_SEC)
/* Starts needed before the expected wait is used. */
#define MIN_STARTS 10.0
/* A job is refused early if this fraction of the expected wait already exceeds
 * its deadline: the estimates are off by a factor of about 2. */
#define EARLY_FRACTION 0.5

static void
add_decision(struct agb_sched *s, bool on, const char *what, uint32_t queued)
{
	struct agb_sched_effect *const ef =
	    agb_sched_effects_add(s->out, AGB_SCHED_DECISION);

	ef->worker = AGB_SCHED_NONE;
	ef->job = AGB_SCHED_NONE;
	ef->reason = AGB_REASON_OVERLOAD;
	snprintf(ef->detail, sizeof(ef->detail), "%s shedding %s, queued %u",
	    on ? "starts" : "ends", what, queued);
}

static uint32_t
quick_high_mark(const struct agb_sched *s)
{
	uint32_t slots = 0;
	uint16_t i;

	for (i = 0; i < s->works_len; i++)
		slots += s->works[i].slots;
	slots *= QUICK_PER_SLOT;
	return slots > QUICK_HIGH_MIN ? slots : QUICK_HIGH_MIN;
}

/* Newest request of the team with the largest share, from the least urgent
 * service. */
static struct sched_quick_request *
least_valuable_request(struct agb_sched *s, uint8_t *urgency)
{
	const struct sched_work *k = NULL;
	uint16_t i, t, top = SCHED_TEAMS;
	uint8_t u;

	for (i = 0; i < s->works_len; i++) {
		u = sched_work_class(s, i)->urgency;
		if (s->works[i].queued > 0 && (k == NULL || u < *urgency)) {
			k = &s->works[i];
			*urgency = u;
		}
	}
	if (k == NULL)
		return NULL;
	for (t = 0; t < SCHED_TEAMS; t++) {
		if (k->queue[t] != NULL &&
		    (top == SCHED_TEAMS ||
			s->teams[t].share > s->teams[top].share))
			top = t;
	}
	return k->queue[top]->prev;
}

/* Returns true if the new request itself must be refused. */
bool
sched_shed_quick(
    struct agb_sched *s, agb_time now, uint16_t work, uint16_t team)
{
	const uint32_t high = quick_high_mark(s);
	const uint32_t low = high / 100 * LOW_PERCENT;
	const uint8_t new_urgency = sched_work_class(s, work)->urgency;
	struct sched_quick_request *r;
	uint8_t lowest_urgency = 0;
	int n;

	if (s->quick_queued < low && s->shedding_quick) {
		s->shedding_quick = false;
		add_decision(s, false, "quick requests", s->quick_queued);
	}
	if (s->quick_queued >= high && !s->shedding_quick) {
		s->shedding_quick = true;
		add_decision(s, true, "quick requests", s->quick_queued);
	}
	for (n = 0; s->shedding_quick && n < 2; n++) {
		r = least_valuable_request(s, &lowest_urgency);
		if (r == NULL || new_urgency < lowest_urgency ||
		    (new_urgency == lowest_urgency &&
			s->teams[team].share >= s->teams[r->team].share))
			return true;
		sched_quick_deny(s, now, r, AGB_REASON_OVERLOAD,
		    "the queue is full and other requests count more");
	}
	return false;
}

/* Newest job of the lowest urgency and, within it, the largest share; NULL if
 * it has started. */
static struct sched_job *
least_valuable_job(struct agb_sched *s)
{
	const struct sched_bucket *b, *best = NULL;
	struct sched_job *j;
	uint16_t t;

	for (t = 0; t < SCHED_TEAMS; t++) {
		if (s->teams[t].levels == 0)
			continue;
		b = s->teams[t].buckets[__builtin_ctz(s->teams[t].levels)];
		if (best == NULL || b->level < best->level ||
		    (b->level == best->level &&
			s->teams[t].share > s->teams[best->key.team].share))
			best = b;
	}
	if (best == NULL)
		return NULL;
	j = best->jobs->prev;
	return j->started ? NULL : j;
}

/* Refuses queued jobs, possibly the new one, while the queue is too long. */
void
sched_shed_jobs(struct agb_sched *s, agb_time now)
{
	const uint32_t low = TASKS_HIGH / 100 * LOW_PERCENT;
	struct sched_job *j;
	int n;

	if (s->tasks_queued >= TASKS_HIGH && !s->shedding_jobs) {
		s->shedding_jobs = true;
		add_decision(s, true, "jobs", s->tasks_queued);
	}
	for (n = 0; s->shedding_jobs && n < 2; n++) {
		if (s->tasks_queued < low) {
			s->shedding_jobs = false;
			add_decision(s, false, "jobs", s->tasks_queued);
			return;
		}
		j = least_valuable_job(s);
		if (j == NULL)
			return;
		sched_job_end(s, now, j, AGB_REASON_OVERLOAD,
		    "%u tasks are queued and others count more",
		    s->tasks_queued);
	}
}

static double
recent_starts(const struct agb_sched *s, agb_time now)
{
	return s->start_count *
	    exp(-(double)(now - s->start_count_at) /
		(double)START_COUNT_WINDOW);
}

void
sched_shed_count_start(struct agb_sched *s, agb_time now)
{
	s->start_count = recent_starts(s, now) + 1;
	s->start_count_at = now;
}

bool
sched_shed_misses_deadline(
    const struct agb_sched *s, agb_time now, const struct sched_job *j)
{
	const double starts = recent_starts(s, now);
	const unsigned level = sched_job_level(s, j);
	uint32_t ahead = 0;
	unsigned i;
	double wait;

	if (j->deadline == AGB_TIME_MAX || starts < MIN_STARTS ||
	    level >= SCHED_URGENT_LEVEL)
		return false;
	for (i = level; i < SCHED_LEVELS; i++)
		ahead += s->level_queued[i];
	wait = ahead / starts * (double)START_COUNT_WINDOW;
	return wait * EARLY_FRACTION > (double)(j->deadline - now);
}

#include "sched_internal.h"

#include <string.h>

/*
 * Preemption. Makes room for urgent work and for teams whose unused quota
 * others have borrowed, and on workers whose tasks have outgrown them. Of
 * several ways it takes the one that loses the least work: throttling loses
 * none, a checkpoint a little, a stop all that the task has done.
 */

/* Workers considered for one plan; considering more of them finds little
 * better. */
#define WORKERS_PER_PLAN 48
/* Attempts of one worker that are considered. */
#define VICTIMS_MAX 64
/* Plans made in one call. */
#define PLANS_PER_CALL 4
/* A throttled task keeps 1/THROTTLE_DIVISOR of its processors. */
#define THROTTLE_DIVISOR 2
/* Work that a checkpoint loses, in seconds for each core. */
#define CHECKPOINT_COST 2.0
/* Time for a stop to take effect before the reservation is dropped and another
 * worker is tried. */
#define STOP_TIMEOUT (4 * AGB_SEC)
/* Delay before the next group of workers is searched. Reclaiming is not urgent,
 * and in a full shard many buckets have resources to reclaim. */
#define URGENT_RETRY_DELAY (20 * AGB_MS)
#define RECLAIM_RETRY_DELAY (1 * AGB_SEC)
#define RECLAIM_INTERVAL (10 * AGB_MS)
/* A task stays throttled for at least this long. */
#define THROTTLE_MIN_TIME (10 * AGB_SEC)

/* Preempt for urgent work, to reclaim borrowed resources, or to relieve an
 * overloaded worker. */
enum preempt_goal {
	GOAL_URGENT,
	GOAL_RECLAIM,
	GOAL_RELIEF,
};

/* An attempt that may be preempted; @lost_work is in weighted core-seconds. */
struct victim {
	struct sched_attempt *attempt;
	double lost_work;
	bool stoppable;
	bool chosen;
};

/* Room to be made on one worker, by throttling or by stopping attempts. */
struct plan {
	struct sched_worker *worker;
	bool throttle;
	double cost;
};

static bool
any_positive(const struct agb_resources *r)
{
	return r->cpu_milli > 0 || r->mem_mb > 0 || r->accel > 0;
}

static bool
exceeds_declared(const struct sched_attempt *a)
{
	return a->allocated.cpu_milli > a->declared.cpu_milli ||
	    a->allocated.mem_mb > a->declared.mem_mb;
}

static bool
over_quota(const struct agb_sched *s, uint16_t team)
{
	static const struct agb_resources nothing;

	return !sched_quota_fits(s, team, &nothing, 0);
}

static bool
is_eligible(const struct agb_sched *s, const struct sched_attempt *a,
    enum preempt_goal goal, uint16_t team)
{
	const struct agb_env_class *const c = sched_work_class(s, a->work);

	if (a->quick ||
	    (a->state != ATTEMPT_STARTING && a->state != ATTEMPT_RUNNING) ||
	    a->job == AGB_SCHED_NONE || s->jobs[a->job]->ending)
		return false;
	if (goal == GOAL_RELIEF && exceeds_declared(a))
		return true;
	if (!c->preemptible || c->urgency >= SCHED_URGENT_LEVEL)
		return false;
	return goal != GOAL_RECLAIM ||
	    (a->borrowed && a->team != team && over_quota(s, a->team));
}

static double
lost_work_cost(const struct agb_sched *s, const struct sched_attempt *a,
    enum preempt_goal goal)
{
	const struct agb_env_class *const c = sched_work_class(s, a->work);
	const double cores = (double)a->allocated.cpu_milli / 1000 +
	    (double)a->allocated.mem_mb / 8192;
	const agb_time ran = s->now - a->placed_at;
	double lost = (double)ran / AGB_SEC;

	if (c->checkpoint && lost > CHECKPOINT_COST)
		lost = CHECKPOINT_COST;
	/* Stopping one task of a gang stops all of them. */
	if (c->policy == AGB_POLICY_GANG)
		lost *= s->jobs[a->job]->active;
	lost = (lost + 0.1) * (cores + 0.1);
	return goal == GOAL_RELIEF && exceeds_declared(a) ? lost / 10 : lost;
}

static uint32_t
collect_victims(const struct agb_sched *s, const struct sched_worker *w,
    enum preempt_goal goal, uint16_t team, struct victim *v)
{
	struct sched_attempt *a;
	uint32_t n = 0;

	for (a = w->attempts; a != NULL && n < VICTIMS_MAX; a = a->next) {
		if (!is_eligible(s, a, goal, team))
			continue;
		v[n].attempt = a;
		v[n].lost_work = lost_work_cost(s, a, goal);
		/* Work that cannot run again is only throttled. */
		v[n].stoppable = s->jobs[a->job]->spec.idempotent ||
		    sched_work_class(s, a->work)->policy == AGB_POLICY_SERVICE;
		v[n].chosen = false;
		n++;
	}
	return n;
}

static int64_t
throttle_gain(const struct sched_attempt *a)
{
	const int64_t keep = a->unthrottled.cpu_milli / THROTTLE_DIVISOR;

	return a->allocated.cpu_milli > keep ? a->allocated.cpu_milli - keep
					     : 0;
}

static double
gain_part(int64_t allocated, int64_t lack)
{
	if (lack <= 0)
		return 0;
	return allocated >= lack ? 1 : (double)allocated / (double)lack;
}

static double
gain(const struct agb_resources *allocated, const struct agb_resources *lack)
{
	return gain_part(allocated->cpu_milli, lack->cpu_milli) +
	    gain_part(allocated->mem_mb, lack->mem_mb) +
	    gain_part(allocated->accel, lack->accel);
}

/* Chooses victims until nothing is lacking. Returns the cost, or a negative
 * number if all victims together are not enough. */
static double
choose_victims(struct victim *v, uint32_t n, const struct agb_resources *lack)
{
	struct agb_resources rest = *lack, back;
	double cost = 0, rate, best_rate;
	uint32_t i, best;

	while (any_positive(&rest)) {
		best = n;
		best_rate = 0;
		for (i = 0; i < n; i++) {
			if (v[i].chosen || !v[i].stoppable)
				continue;
			rate = gain(&v[i].attempt->allocated, &rest) /
			    v[i].lost_work;
			if (rate > best_rate) {
				best = i;
				best_rate = rate;
			}
		}
		if (best == n)
			return -1;
		v[best].chosen = true;
		cost += v[best].lost_work;
		agb_resources_sub(&rest, &v[best].attempt->allocated);
	}
	/* Later victims may have made an earlier one unnecessary. */
	for (i = 0; i < n; i++) {
		if (!v[i].chosen)
			continue;
		back = rest;
		agb_resources_add(&back, &v[i].attempt->allocated);
		if (any_positive(&back))
			continue;
		rest = back;
		v[i].chosen = false;
		cost -= v[i].lost_work;
	}
	return cost;
}

static bool
can_throttle_enough(
    const struct victim *v, uint32_t n, const struct agb_resources *lack)
{
	int64_t sum = 0;
	uint32_t i;

	if (lack->mem_mb > 0 || lack->accel > 0)
		return false;
	for (i = 0; i < n && sum < lack->cpu_milli; i++)
		sum += throttle_gain(v[i].attempt);
	return sum >= lack->cpu_milli;
}

static void
throttle_victims(struct agb_sched *s, struct victim *v, uint32_t n,
    int64_t lack, const char *why)
{
	struct agb_resources allocated;
	int64_t g;
	uint32_t i;

	for (i = 0; i < n && lack > 0; i++) {
		g = throttle_gain(v[i].attempt);
		if (g == 0)
			continue;
		if (g > lack)
			g = lack;
		allocated = v[i].attempt->allocated;
		allocated.cpu_milli -= g;
		lack -= g;
		sched_attempt_throttle(s, v[i].attempt, &allocated, why);
	}
}

static void
stop_chosen(struct agb_sched *s, struct victim *v, uint32_t n, const char *why)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (!v[i].chosen)
			continue;
		if (sched_work_class(s, v[i].attempt->work)->checkpoint)
			sched_attempt_checkpoint(
			    s, v[i].attempt, AGB_REASON_PREEMPTED, why);
		else
			sched_attempt_stop(
			    s, v[i].attempt, AGB_REASON_PREEMPTED, why);
	}
}

static struct agb_resources
shortfall(
    const struct agb_resources *need, const struct agb_resources *available)
{
	struct agb_resources lack = *need;

	agb_resources_sub(&lack, available);
	return lack;
}

/* Shortfall that remains after the attempts that are already stopping have
 * ended. */
static struct agb_resources
shortfall_after_stops(
    const struct agb_resources *need, const struct sched_worker *w)
{
	struct agb_resources lack = shortfall(need, &w->available);
	const struct sched_attempt *a;

	for (a = w->attempts; a != NULL; a = a->next) {
		if (a->state == ATTEMPT_STOPPING && !a->quick)
			agb_resources_sub(&lack, &a->allocated);
	}
	return lack;
}

static bool
find_plan(struct agb_sched *s, const struct sched_bucket *b,
    enum preempt_goal goal, struct plan *plan)
{
	struct victim v[VICTIMS_MAX];
	struct agb_resources lack;
	struct sched_worker *w;
	uint32_t i, n, seen = 0;
	double cost;

	plan->worker = NULL;
	for (i = 0; i < s->workers_cap && seen < WORKERS_PER_PLAN; i++) {
		s->preempt_cursor = (s->preempt_cursor + 1) % s->workers_cap;
		w = &s->workers[s->preempt_cursor];
		if (!w->known || !sched_worker_accepts(w) ||
		    !sched_health_allows(s, b->jobs, w))
			continue;
		seen++;
		n = collect_victims(s, w, goal, b->key.team, v);
		lack = shortfall(&b->need, &w->available);
		if (goal == GOAL_URGENT && can_throttle_enough(v, n, &lack)) {
			*plan = (struct plan){w, true, 0};
			return true;
		}
		lack = shortfall_after_stops(&b->need, w);
		cost = choose_victims(v, n, &lack);
		if (cost < 0 || (plan->worker != NULL && cost >= plan->cost))
			continue;
		*plan = (struct plan){w, false, cost};
	}
	return plan->worker != NULL;
}

static void
execute_plan(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    const struct plan *plan, enum preempt_goal goal)
{
	struct agb_resources lack =
	    shortfall(&b->need, &plan->worker->available);
	const char *const why = goal == GOAL_URGENT
	    ? "preempted for urgent work"
	    : "preempted because its team is over its quota";
	struct sched_job *const j = b->jobs;
	struct victim v[VICTIMS_MAX];
	const uint32_t n =
	    collect_victims(s, plan->worker, goal, b->key.team, v);

	if (plan->throttle) {
		const struct agb_resources need = b->need;

		throttle_victims(s, v, n, lack.cpu_milli, why);
		sched_task_start(s, now, j, sched_job_next_task(j),
		    plan->worker, &need, WORKERS_PER_PLAN, "throttled others");
		return;
	}
	lack = shortfall_after_stops(&b->need, plan->worker);
	if (choose_victims(v, n, &lack) < 0 ||
	    !sched_reservation_add(s, j, plan->worker, &b->need, 1, false))
		return;
	j->reservation_expires_at = now + STOP_TIMEOUT;
	sched_timer_add(s, j->reservation_expires_at, TIMER_RESERVATION,
	    j->handle, 0, j->serial);
	stop_chosen(s, v, n, why);
}

bool
sched_preempt_for(struct agb_sched *s, agb_time now, struct sched_bucket *b)
{
	const enum preempt_goal goal =
	    b->level >= SCHED_URGENT_LEVEL ? GOAL_URGENT : GOAL_RECLAIM;
	struct sched_job *const j = b->jobs;
	struct plan plan;
	uint32_t i;

	if (b->policy == AGB_POLICY_GANG)
		return false;
	if (goal == GOAL_RECLAIM &&
	    (now < s->reclaim_at || b->key.team == SCHED_TEAM_NONE ||
		!sched_quota_fits(s, b->key.team, &b->need, 1) ||
		!sched_quota_any_exceeded(s)))
		return false;
	if (goal == GOAL_RECLAIM)
		s->reclaim_at = now + RECLAIM_INTERVAL;
	for (i = 0; i < PLANS_PER_CALL && j->bucket == b &&
	     j->reservations_len < j->pending;
	     i++) {
		if ((!sched_quota_fits(s, b->key.team, &b->need, 1) &&
			!sched_team_env(s, b->key.team)->may_borrow) ||
		    sched_job_next_task(j) == SCHED_NO_TASK ||
		    s->reserving_jobs_len == SCHED_RESERVING_JOBS_MAX)
			break;
		if (!find_plan(s, b, goal, &plan))
			break;
		execute_plan(s, now, b, &plan, goal);
	}
	if (j->bucket == b && j->reservations_len < j->pending)
		sched_gang_schedule_retry(s, b,
		    now +
			(goal == GOAL_URGENT ? URGENT_RETRY_DELAY
					     : RECLAIM_RETRY_DELAY));
	return i > 0;
}

void
sched_preempt_for_gang(struct agb_sched *s, agb_time now,
    struct sched_worker *w, const struct agb_resources *need,
    const struct sched_job *j)
{
	struct victim v[VICTIMS_MAX];
	const struct agb_resources nothing = {0};
	struct agb_resources lack;
	uint32_t n;

	/* @need is already subtracted from the available resources as
	 * reserved. */
	lack = shortfall_after_stops(&nothing, w);
	if (!any_positive(&lack))
		return;
	n = collect_victims(s, w, GOAL_URGENT, j->spec.team, v);
	if (choose_victims(v, n, &lack) >= 0)
		stop_chosen(s, v, n, "preempted for an urgent gang");
}

void
sched_preempt_relieve_worker(
    struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	const struct agb_resources usable = sched_worker_usable(w);
	struct victim v[VICTIMS_MAX];
	struct agb_resources lack = w->allocated, cpu, size;
	struct sched_attempt *a;
	uint32_t n;

	agb_resources_sub(&lack, &usable);
	for (a = w->attempts; a != NULL; a = a->next) {
		if (a->state == ATTEMPT_STOPPING && !a->quick)
			agb_resources_sub(&lack, &a->allocated);
	}
	if (!any_positive(&lack))
		return;
	/* First throttle the tasks that use more than they declared. */
	for (a = w->attempts; a != NULL && lack.cpu_milli > 0; a = a->next) {
		if (a->quick || a->state == ATTEMPT_STOPPING ||
		    a->allocated.cpu_milli <= a->declared.cpu_milli)
			continue;
		size = a->allocated;
		size.cpu_milli -= lack.cpu_milli;
		if (size.cpu_milli < a->declared.cpu_milli)
			size.cpu_milli = a->declared.cpu_milli;
		lack.cpu_milli -= a->allocated.cpu_milli - size.cpu_milli;
		sched_attempt_throttle(
		    s, a, &size, "uses more processors than declared");
	}
	n = collect_victims(s, w, GOAL_RELIEF, SCHED_TEAM_NONE, v);
	cpu = lack;
	cpu.mem_mb = cpu.accel = 0;
	if (cpu.cpu_milli > 0 && can_throttle_enough(v, n, &cpu)) {
		throttle_victims(s, v, n, cpu.cpu_milli,
		    "throttled because its worker is overloaded");
		lack.cpu_milli = 0;
	}
	if (!any_positive(&lack) || choose_victims(v, n, &lack) < 0)
		return;
	stop_chosen(s, v, n, "moved because its worker is overloaded");
}

void
sched_preempt_unthrottle(struct agb_sched *s, struct sched_worker *w)
{
	struct agb_resources more;
	struct sched_attempt *a;

	for (a = w->throttled_attempts > 0 ? w->attempts : NULL; a != NULL;
	     a = a->next) {
		if (!a->throttled || a->state == ATTEMPT_STOPPING ||
		    s->now - a->throttled_at < THROTTLE_MIN_TIME)
			continue;
		more = shortfall(&a->unthrottled, &a->allocated);
		more.mem_mb = more.accel = 0;
		if (more.cpu_milli > w->available.cpu_milli)
			continue;
		agb_resources_add(&more, &a->allocated);
		sched_attempt_throttle(s, a, &more,
		    "unthrottled because processors are free again");
	}
}

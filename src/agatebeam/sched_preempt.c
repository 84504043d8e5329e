#include "sched_internal.h"

#include <string.h>

/*
 * Makes room: for urgent work, for teams that claim back what others
 * borrowed, and on workers whose tasks outgrew them. Of several ways it
 * takes the one that loses least work: throttling loses none, a checkpoint
 * a little, a stop all that the task has done.
 */

/* Workers looked at for one plan; a wider window finds little better. */
#define WINDOW 48
/* Attempts of one worker that are weighed. */
#define VICTIMS 64
/* Plans made in one go. */
#define PLANS 4
/* A throttled task keeps this part of its processors. */
#define THROTTLE_KEEP 2
/* Core-seconds that a checkpoint costs a core. */
#define CHECKPOINT_COST 2.0
/* Time for a stop to take effect before another place is sought. */
#define STOP_WAIT (4 * AGB_SEC)
/* Pause before the next window is searched. Reclaiming is not urgent, and
 * a full shard has many that want to. */
#define NEXT_WINDOW (20 * AGB_MS)
#define NEXT_RECLAIM (1 * AGB_SEC)
#define RECLAIM_EVERY (10 * AGB_MS)
/* A throttled task is not given back its processors sooner. */
#define THROTTLE_HOLD (10 * AGB_SEC)

enum aim {
	AIM_URGENT,
	AIM_RECLAIM,
	AIM_RELIEF,
};

struct victim {
	struct sched_att *att;
	double lost;
	bool stop;
	bool taken;
};

struct plan {
	struct sched_worker *worker;
	bool throttle;
	double cost;
};

static bool
positive(const struct agb_resources *r)
{
	return r->cpu_milli > 0 || r->mem_mb > 0 || r->accel > 0;
}

static bool
exceeds(const struct sched_att *a)
{
	return a->held.cpu_milli > a->declared.cpu_milli ||
	    a->held.mem_mb > a->declared.mem_mb;
}

static bool
over_quota(const struct agb_sched *s, uint16_t team)
{
	static const struct agb_resources nothing;

	return !sched_quota_fits(s, team, &nothing, 0);
}

static bool
eligible(const struct agb_sched *s, const struct sched_att *a, enum aim aim,
    uint16_t team)
{
	const struct agb_env_class *const c = sched_class(s, a->work);

	if (a->quick || (a->state != ATT_STARTING && a->state != ATT_RUNNING) ||
	    a->job == AGB_SCHED_NONE || s->jobs[a->job]->ending)
		return false;
	if (aim == AIM_RELIEF && exceeds(a))
		return true;
	if (!c->preemptible || c->urgency >= SCHED_URGENT)
		return false;
	return aim != AIM_RECLAIM ||
	    (a->borrowed && a->team != team && over_quota(s, a->team));
}

static double
lost_work(const struct agb_sched *s, const struct sched_att *a, enum aim aim)
{
	const struct agb_env_class *const c = sched_class(s, a->work);
	const double cores =
	    (double)a->held.cpu_milli / 1000 + (double)a->held.mem_mb / 8192;
	const agb_time ran = s->now - a->placed_at;
	double lost = (double)ran / AGB_SEC;

	if (c->checkpoint && lost > CHECKPOINT_COST)
		lost = CHECKPOINT_COST;
	/* Stopping one task of a gang loses all of them. */
	if (c->policy == AGB_POLICY_GANG)
		lost *= s->jobs[a->job]->active;
	lost = (lost + 0.1) * (cores + 0.1);
	return aim == AIM_RELIEF && exceeds(a) ? lost / 10 : lost;
}

static uint32_t
collect(const struct agb_sched *s, const struct sched_worker *w, enum aim aim,
    uint16_t team, struct victim *v)
{
	struct sched_att *a;
	uint32_t n = 0;

	for (a = w->atts; a != NULL && n < VICTIMS; a = a->next) {
		if (!eligible(s, a, aim, team))
			continue;
		v[n].att = a;
		v[n].lost = lost_work(s, a, aim);
		/* Work that cannot run again is throttled only. */
		v[n].stop = s->jobs[a->job]->spec.idempotent ||
		    sched_class(s, a->work)->policy == AGB_POLICY_SERVICE;
		v[n].taken = false;
		n++;
	}
	return n;
}

static int64_t
throttle_gain(const struct sched_att *a)
{
	const int64_t keep = a->full.cpu_milli / THROTTLE_KEEP;

	return a->held.cpu_milli > keep ? a->held.cpu_milli - keep : 0;
}

static double
gain_part(int64_t held, int64_t lack)
{
	if (lack <= 0)
		return 0;
	return held >= lack ? 1 : (double)held / (double)lack;
}

static double
gain(const struct agb_resources *held, const struct agb_resources *lack)
{
	return gain_part(held->cpu_milli, lack->cpu_milli) +
	    gain_part(held->mem_mb, lack->mem_mb) +
	    gain_part(held->accel, lack->accel);
}

/* Takes victims until nothing is lacking; the cost, or a negative number
 * when all of them are not enough. */
static double
choose(struct victim *v, uint32_t n, const struct agb_resources *lack)
{
	struct agb_resources rest = *lack, back;
	double cost = 0, rate, best_rate;
	uint32_t i, best;

	while (positive(&rest)) {
		best = n;
		best_rate = 0;
		for (i = 0; i < n; i++) {
			if (v[i].taken || !v[i].stop)
				continue;
			rate = gain(&v[i].att->held, &rest) / v[i].lost;
			if (rate > best_rate) {
				best = i;
				best_rate = rate;
			}
		}
		if (best == n)
			return -1;
		v[best].taken = true;
		cost += v[best].lost;
		agb_resources_sub(&rest, &v[best].att->held);
	}
	/* An early choice may have become needless. */
	for (i = 0; i < n; i++) {
		if (!v[i].taken)
			continue;
		back = rest;
		agb_resources_add(&back, &v[i].att->held);
		if (positive(&back))
			continue;
		rest = back;
		v[i].taken = false;
		cost -= v[i].lost;
	}
	return cost;
}

static bool
throttle_enough(
    const struct victim *v, uint32_t n, const struct agb_resources *lack)
{
	int64_t sum = 0;
	uint32_t i;

	if (lack->mem_mb > 0 || lack->accel > 0)
		return false;
	for (i = 0; i < n && sum < lack->cpu_milli; i++)
		sum += throttle_gain(v[i].att);
	return sum >= lack->cpu_milli;
}

static void
throttle(struct agb_sched *s, struct victim *v, uint32_t n, int64_t lack,
    const char *why)
{
	struct agb_resources held;
	int64_t g;
	uint32_t i;

	for (i = 0; i < n && lack > 0; i++) {
		g = throttle_gain(v[i].att);
		if (g == 0)
			continue;
		if (g > lack)
			g = lack;
		held = v[i].att->held;
		held.cpu_milli -= g;
		lack -= g;
		sched_att_throttle(s, v[i].att, &held, why);
	}
}

static void
stop_taken(struct agb_sched *s, struct victim *v, uint32_t n, const char *why)
{
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (!v[i].taken)
			continue;
		if (sched_class(s, v[i].att->work)->checkpoint)
			sched_att_checkpoint(
			    s, v[i].att, AGB_REASON_PREEMPTED, why);
		else
			sched_att_stop(s, v[i].att, AGB_REASON_PREEMPTED, why);
	}
}

static struct agb_resources
lacking(const struct agb_resources *need, const struct agb_resources *room)
{
	struct agb_resources lack = *need;

	agb_resources_sub(&lack, room);
	return lack;
}

/* What will be lacking once those that are already stopping have ended. */
static struct agb_resources
lacking_soon(const struct agb_resources *need, const struct sched_worker *w)
{
	struct agb_resources lack = lacking(need, &w->room);
	const struct sched_att *a;

	for (a = w->atts; a != NULL; a = a->next) {
		if (a->state == ATT_STOPPING && !a->quick)
			agb_resources_sub(&lack, &a->held);
	}
	return lack;
}

static bool
find_plan(struct agb_sched *s, const struct sched_bucket *b, enum aim aim,
    struct plan *plan)
{
	struct victim v[VICTIMS];
	struct agb_resources lack;
	struct sched_worker *w;
	uint32_t i, n, seen = 0;
	double cost;

	plan->worker = NULL;
	for (i = 0; i < s->workers_cap && seen < WINDOW; i++) {
		s->preempt_cursor = (s->preempt_cursor + 1) % s->workers_cap;
		w = &s->workers[s->preempt_cursor];
		if (!w->known || !sched_worker_takes(w) ||
		    !sched_health_allows(s, b->jobs, w))
			continue;
		seen++;
		n = collect(s, w, aim, b->shape.team, v);
		lack = lacking(&b->need, &w->room);
		if (aim == AIM_URGENT && throttle_enough(v, n, &lack)) {
			*plan = (struct plan){w, true, 0};
			return true;
		}
		lack = lacking_soon(&b->need, w);
		cost = choose(v, n, &lack);
		if (cost < 0 || (plan->worker != NULL && cost >= plan->cost))
			continue;
		*plan = (struct plan){w, false, cost};
	}
	return plan->worker != NULL;
}

static void
carry_out(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    const struct plan *plan, enum aim aim)
{
	struct agb_resources lack = lacking(&b->need, &plan->worker->room);
	const char *const why = aim == AIM_URGENT
	    ? "makes room for urgent work"
	    : "gives back capacity beyond its team's quota";
	struct sched_job *const j = b->jobs;
	struct victim v[VICTIMS];
	const uint32_t n = collect(s, plan->worker, aim, b->shape.team, v);

	if (plan->throttle) {
		const struct agb_resources need = b->need;

		throttle(s, v, n, lack.cpu_milli, why);
		sched_task_start(s, now, j, sched_job_next_task(j),
		    plan->worker, &need, WINDOW, "throttled others");
		return;
	}
	lack = lacking_soon(&b->need, plan->worker);
	if (choose(v, n, &lack) < 0 ||
	    !sched_resv_add(s, j, plan->worker, &b->need, 1, false))
		return;
	j->resv_until = now + STOP_WAIT;
	sched_timer_add(s, j->resv_until, TIMER_RESV, j->handle, 0, j->serial);
	stop_taken(s, v, n, why);
}

bool
sched_preempt_for(struct agb_sched *s, agb_time now, struct sched_bucket *b)
{
	const enum aim aim =
	    b->level >= SCHED_URGENT ? AIM_URGENT : AIM_RECLAIM;
	struct sched_job *const j = b->jobs;
	struct plan plan;
	uint32_t i;

	if (b->policy == AGB_POLICY_GANG)
		return false;
	if (aim == AIM_RECLAIM &&
	    (now < s->reclaim_at || b->shape.team == SCHED_TEAM_NONE ||
		!sched_quota_fits(s, b->shape.team, &b->need, 1) ||
		!sched_quota_borrowed(s)))
		return false;
	if (aim == AIM_RECLAIM)
		s->reclaim_at = now + RECLAIM_EVERY;
	for (i = 0; i < PLANS && j->bucket == b && j->resv_len < j->pending;
	     i++) {
		if ((!sched_quota_fits(s, b->shape.team, &b->need, 1) &&
			!sched_team_env(s, b->shape.team)->borrow) ||
		    sched_job_next_task(j) == SCHED_NO_TASK ||
		    s->resv_jobs_len == SCHED_RESV_JOBS)
			break;
		if (!find_plan(s, b, aim, &plan))
			break;
		carry_out(s, now, b, &plan, aim);
	}
	if (j->bucket == b && j->resv_len < j->pending)
		sched_gang_again(s, b,
		    now + (aim == AIM_URGENT ? NEXT_WINDOW : NEXT_RECLAIM));
	return i > 0;
}

void
sched_preempt_clear(struct agb_sched *s, agb_time now, struct sched_worker *w,
    const struct agb_resources *need, const struct sched_job *j)
{
	struct victim v[VICTIMS];
	const struct agb_resources nothing = {0};
	struct agb_resources lack;
	uint32_t n;

	/* The room already counts @need as reserved. */
	lack = lacking_soon(&nothing, w);
	if (!positive(&lack))
		return;
	n = collect(s, w, AIM_URGENT, j->spec.team, v);
	if (choose(v, n, &lack) >= 0)
		stop_taken(s, v, n, "makes room for an urgent gang");
}

void
sched_preempt_relieve(struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	const struct agb_resources usable = sched_worker_usable(w);
	struct victim v[VICTIMS];
	struct agb_resources lack = w->held, cpu, size;
	struct sched_att *a;
	uint32_t n;

	agb_resources_sub(&lack, &usable);
	for (a = w->atts; a != NULL; a = a->next) {
		if (a->state == ATT_STOPPING && !a->quick)
			agb_resources_sub(&lack, &a->held);
	}
	if (!positive(&lack))
		return;
	/* First those that use more than they asked for. */
	for (a = w->atts; a != NULL && lack.cpu_milli > 0; a = a->next) {
		if (a->quick || a->state == ATT_STOPPING ||
		    a->held.cpu_milli <= a->declared.cpu_milli)
			continue;
		size = a->held;
		size.cpu_milli -= lack.cpu_milli;
		if (size.cpu_milli < a->declared.cpu_milli)
			size.cpu_milli = a->declared.cpu_milli;
		lack.cpu_milli -= a->held.cpu_milli - size.cpu_milli;
		sched_att_throttle(s, a, &size, "uses more than its size");
	}
	n = collect(s, w, AIM_RELIEF, SCHED_TEAM_NONE, v);
	cpu = lack;
	cpu.mem_mb = cpu.accel = 0;
	if (cpu.cpu_milli > 0 && throttle_enough(v, n, &cpu)) {
		throttle(s, v, n, cpu.cpu_milli, "its worker is overloaded");
		lack.cpu_milli = 0;
	}
	if (!positive(&lack) || choose(v, n, &lack) < 0)
		return;
	stop_taken(s, v, n, "moved, its worker is overloaded");
}

void
sched_preempt_restore(struct agb_sched *s, struct sched_worker *w)
{
	struct agb_resources more;
	struct sched_att *a;

	for (a = w->throttled > 0 ? w->atts : NULL; a != NULL; a = a->next) {
		if (!a->throttled || a->state == ATT_STOPPING ||
		    s->now - a->throttled_at < THROTTLE_HOLD)
			continue;
		more = lacking(&a->full, &a->held);
		more.mem_mb = more.accel = 0;
		if (more.cpu_milli > w->room.cpu_milli)
			continue;
		agb_resources_add(&more, &a->held);
		sched_att_throttle(s, a, &more, "there is room again");
	}
}

#include "sched_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Quick requests. A request is granted a slot of a runner at once or waits in
 * the queue of its service. Teams with queued requests are served by weighted
 * share.
 */

/* Assumed run time until the first request of the service has ended. */
#define INITIAL_RUN_US 20000.0
/* Weight of the newest sample in the moving average of the run time. */
#define RUN_US_GAIN 0.05
/* Shares of the shard that differ by less count as equal. With 39 teams each
 * has 2.6%. */
#define SHARE_SLACK 0.02

static struct agb_sched_effect *
add_answer(struct agb_sched *s, enum agb_sched_effect_type type, uint64_t tag)
{
	struct agb_sched_effect *const ef = agb_sched_effects_add(s->out, type);

	ef->tag = tag;
	ef->worker = AGB_SCHED_NONE;
	ef->job = AGB_SCHED_NONE;
	return ef;
}

static uint32_t
count_free_slots(const struct sched_worker *w)
{
	struct agb_resources all = w->info.capacity;

	/* Tasks that were placed before a new document enlarged the slots may
	 * occupy the resources now set aside for them. */
	agb_resources_sub(&all, &w->runner_reserved);
	if (w->ejected && w->known && w->state == AGB_WORKER_LIVE)
		return w->may_probe && w->active_probes == 0 &&
		    w->slots > w->slots_busy;
	if (!w->known || w->state != AGB_WORKER_LIVE ||
	    w->slots_busy >= w->slots ||
	    !agb_resources_fit(&w->allocated, &all))
		return 0;
	return w->slots - w->slots_busy;
}

void
sched_quick_update_index(struct agb_sched *s, struct sched_worker *w)
{
	const uint16_t work = w->info.service;
	const uint32_t n = count_free_slots(w);
	const int level = n < SCHED_SLOT_LEVELS ? (int)n : SCHED_SLOT_LEVELS;
	struct sched_work *k;

	if (work >= s->works_len)
		return;
	k = &s->works[work];
	if (w->slot_level == level || (w->slot_level < 0 && level == 0))
		return;
	if (w->slot_level > 0) {
		DL_DELETE(k->slot_levels[w->slot_level], w);
		if (k->slot_levels[w->slot_level] == NULL)
			k->slot_level_mask &= ~(1ull << (w->slot_level - 1));
	}
	w->slot_level = level > 0 ? level : -1;
	if (level == 0)
		return;
	DL_APPEND(k->slot_levels[level], w);
	k->slot_level_mask |= 1ull << (level - 1);
}

uint32_t
sched_quick_wait_us(const struct agb_sched *s, uint16_t work, uint32_t ahead)
{
	const struct sched_work *const k = &s->works[work];
	const double run = k->mean_run_us > 0 ? k->mean_run_us : INITIAL_RUN_US;
	double wait;

	if (k->slot_level_mask != 0 && k->queued == 0)
		return 0;
	if (k->slots == 0)
		return UINT32_MAX;
	wait = run * (ahead + 1) / k->slots;
	return wait < (double)UINT32_MAX ? (uint32_t)wait : UINT32_MAX;
}

static void
unlink_request(struct agb_sched *s, struct sched_quick_request *r)
{
	struct sched_work *const k = &s->works[r->work];

	DL_DELETE(k->queue[r->team], r);
	if (k->queue[r->team] == NULL && r->team < SCHED_TEAM_NONE)
		k->waiting_teams &= ~(1ull << r->team);
	k->queued--;
	s->quick_queued--;
}

static void
link_request(struct agb_sched *s, struct sched_quick_request *r)
{
	struct sched_work *const k = &s->works[r->work];

	DL_APPEND(k->queue[r->team], r);
	if (r->team < SCHED_TEAM_NONE)
		k->waiting_teams |= 1ull << r->team;
	k->queued++;
	s->quick_queued++;
}

static void
free_request(struct agb_sched *s, struct sched_quick_request *r)
{
	HASH_DEL(s->quick_requests, r);
	free(r);
}

static void
deny(struct agb_sched *s, uint64_t tag, enum agb_reason reason,
    uint32_t retry_ms, const char *detail)
{
	struct agb_sched_effect *const ef = add_answer(s, AGB_SCHED_DENY, tag);

	ef->outcome = AGB_OUTCOME_NOT_RUN;
	ef->reason = reason;
	ef->retry_ms = retry_ms;
	agb_str_copy(ef->detail, sizeof(ef->detail), detail);
}

void
sched_quick_deny(struct agb_sched *s, agb_time now,
    struct sched_quick_request *r, enum agb_reason reason, const char *detail)
{
	const uint32_t wait = sched_quick_wait_us(s, r->work, 0);

	deny(s, r->tag, reason, wait == UINT32_MAX ? 1000 : wait / 1000 + 1,
	    detail);
	unlink_request(s, r);
	free_request(s, r);
}

static bool
team_may_start(
    const struct agb_sched *s, uint16_t team, const struct agb_resources *need)
{
	return sched_team_env(s, team)->may_borrow ||
	    sched_quota_fits(s, team, need, 1);
}

/* Oldest request of the teams with about the smallest share; teams within their
 * quota come first. Serving strictly by share let requests of one team overtake
 * others for the difference of a single slot. */
static struct sched_quick_request *
next_request(const struct agb_sched *s, const struct sched_work *k,
    const struct agb_resources *need)
{
	struct sched_quick_request *r, *best = NULL;
	uint64_t set = k->waiting_teams, within = 0;
	double least = 0, share;
	int t;

	while (set != 0) {
		t = __builtin_ctzll(set);
		set &= set - 1;
		if (sched_quota_fits(s, (uint16_t)t, need, 1))
			within |= 1ull << t;
	}
	set = within != 0 ? within : k->waiting_teams;
	while (set != 0) {
		t = __builtin_ctzll(set);
		set &= set - 1;
		if (within == 0 && !sched_team_env(s, (uint16_t)t)->may_borrow)
			continue;
		r = k->queue[t];
		share = s->teams[t].share;
		if (best == NULL || share < least - SHARE_SLACK ||
		    (share <= least + SHARE_SLACK &&
			r->serial < best->serial)) {
			if (best == NULL || share < least)
				least = share;
			best = r;
		}
	}
	return best != NULL ? best : k->queue[SCHED_TEAM_NONE];
}

static void
grant(struct agb_sched *s, agb_time now, uint64_t tag, uint16_t work,
    uint16_t team, agb_time requested_at)
{
	struct sched_work *const k = &s->works[work];
	const int level = 64 - __builtin_clzll(k->slot_level_mask);
	struct sched_worker *const w = k->slot_levels[level];
	const uint32_t free_now = w->slots - w->slots_busy;
	struct agb_sched_effect *ef;
	struct sched_attempt *a;

	a = sched_attempt_new(s, NULL, w->handle, work, team,
	    &s->env->works[work].need, true, now);
	a->state = ATTEMPT_RUNNING;
	ef = add_answer(s, AGB_SCHED_GRANT, tag);
	ef->attempt = a->id;
	ef->worker = w->handle;
	ef->need = a->allocated;
	ef->considered = 1;
	snprintf(ef->detail, sizeof(ef->detail),
	    "%u of %u slots free, waited_us=%llu", free_now, w->slots,
	    (unsigned long long)(now - requested_at));
}

void
sched_quick_dispatch(struct agb_sched *s, agb_time now, uint16_t work)
{
	struct sched_work *k;
	struct sched_quick_request *r;
	uint32_t budget = SCHED_STEP_BUDGET;

	if (work >= s->works_len)
		return;
	k = &s->works[work];
	while (k->queued > 0 && k->slot_level_mask != 0 && budget-- > 0) {
		r = next_request(s, k, &s->env->works[work].need);
		if (r == NULL)
			return;
		unlink_request(s, r);
		grant(s, now, r->tag, work, r->team, r->requested_at);
		free_request(s, r);
	}
}

void
sched_quick_dispatch_all(struct agb_sched *s, agb_time now)
{
	uint16_t w;

	for (w = 0; s->quick_queued > 0 && w < s->works_len; w++)
		sched_quick_dispatch(s, now, w);
}

/* Denies a request that can never be served. Returns false if it was denied. */
static bool
accept_or_deny(struct agb_sched *s, agb_time now,
    const struct agb_sched_event *ev, agb_time deadline)
{
	char why[AGB_DETAIL_LEN];

	if (s->env == NULL) {
		deny(s, ev->tag, AGB_REASON_NO_DOCUMENT, 1000,
		    "no environment document is in force");
		return false;
	}
	if (ev->work >= s->works_len) {
		deny(s, ev->tag, AGB_REASON_NO_SERVICE, 0,
		    "the document names no such service");
		return false;
	}
	if (s->works[ev->work].host_workers == 0) {
		snprintf(why, sizeof(why), "no worker of %s hosts %s",
		    s->domain, s->env->works[ev->work].name);
		deny(s, ev->tag, AGB_REASON_NEVER_FITS, 1000, why);
		return false;
	}
	if (now >= deadline) {
		deny(s, ev->tag, AGB_REASON_DEADLINE, 0,
		    "its deadline has passed");
		return false;
	}
	return true;
}

static bool
misses_deadline(const struct agb_sched *s, agb_time now, uint16_t work,
    agb_time deadline, uint32_t wait)
{
	(void)s;
	(void)work;
	return deadline != AGB_TIME_MAX && wait != UINT32_MAX &&
	    now + wait > deadline;
}

void
sched_quick_submit(
    struct agb_sched *s, agb_time now, const struct agb_sched_event *ev)
{
	const struct agb_env_class *const c = sched_work_class(s, ev->work);
	agb_time deadline = ev->deadline > 0 ? ev->deadline : AGB_TIME_MAX;
	struct sched_work *k;
	struct sched_quick_request *r;
	uint32_t wait;
	uint16_t team;

	if (deadline == AGB_TIME_MAX && c->deadline_ms > 0)
		deadline = now + c->deadline_ms * AGB_MS;
	if (!accept_or_deny(s, now, ev, deadline))
		return;
	k = &s->works[ev->work];
	team = ev->team < SCHED_TEAM_NONE ? ev->team : SCHED_TEAM_NONE;
	if (k->queued == 0 && k->slot_level_mask != 0 &&
	    team_may_start(s, team, &s->env->works[ev->work].need)) {
		grant(s, now, ev->tag, ev->work, team, now);
		return;
	}
	wait = sched_quick_wait_us(s, ev->work, k->queued);
	if (misses_deadline(s, now, ev->work, deadline, wait)) {
		deny(s, ev->tag, AGB_REASON_DEADLINE, wait / 1000 + 1,
		    "the expected wait is longer than its deadline allows");
		return;
	}
	HASH_FIND(hh, s->quick_requests, &ev->tag, sizeof(ev->tag), r);
	if (r != NULL)
		return;
	if (sched_shed_quick(s, now, ev->work, team)) {
		deny(s, ev->tag, AGB_REASON_OVERLOAD, wait / 1000 + 1,
		    "the queue is full and other requests count more");
		return;
	}
	r = agb_xcalloc(1, sizeof(*r));
	r->tag = ev->tag;
	r->serial = ++s->serial;
	r->work = ev->work;
	r->team = team;
	r->requested_at = now;
	r->deadline = deadline;
	r->expires_at = deadline;
	if (c->queue_max_ms > 0 && now + c->queue_max_ms * AGB_MS < deadline)
		r->expires_at = now + c->queue_max_ms * AGB_MS;
	HASH_ADD(hh, s->quick_requests, tag, sizeof(r->tag), r);
	link_request(s, r);
	sched_timer_add(s, r->expires_at, TIMER_QUICK_EXPIRY, (uint32_t)r->tag,
	    (uint32_t)(r->tag >> 32), r->serial);
	sched_quick_dispatch(s, now, ev->work);
}

void
sched_quick_requeue(
    struct agb_sched *s, agb_time now, struct sched_quick_request *r)
{
	s->quick_queued--;
	if (r->work < s->works_len) {
		link_request(s, r);
		return;
	}
	deny(s, r->tag, AGB_REASON_NO_SERVICE, 0,
	    "the service has left the document");
	free_request(s, r);
}

void
sched_quick_cancel(struct agb_sched *s, uint64_t tag)
{
	struct sched_quick_request *r;

	HASH_FIND(hh, s->quick_requests, &tag, sizeof(tag), r);
	if (r == NULL)
		return;
	unlink_request(s, r);
	free_request(s, r);
}

void
sched_quick_timer(
    struct agb_sched *s, agb_time now, const struct sched_timer *t)
{
	const uint64_t tag = (uint64_t)t->arg2 << 32 | t->arg1;
	struct sched_quick_request *r;

	HASH_FIND(hh, s->quick_requests, &tag, sizeof(tag), r);
	if (r == NULL || r->serial != t->serial)
		return;
	if (now >= r->deadline)
		sched_quick_deny(s, now, r, AGB_REASON_DEADLINE,
		    "its deadline passed in the queue");
	else
		sched_quick_deny(s, now, r, AGB_REASON_OVERLOAD,
		    "waited in the queue up to the limit of its class");
}

void
sched_quick_adopt(
    struct agb_sched *s, agb_time now, const struct agb_sched_event *ev)
{
	static const struct agb_resources nothing;
	const struct agb_resources *need = &nothing;
	struct sched_attempt *a;

	if (sched_attempt_find(s, &ev->attempt) != NULL)
		return;
	if (ev->work < s->works_len)
		need = &s->env->works[ev->work].need;
	a = sched_attempt_new(s, &ev->attempt, ev->worker, ev->work,
	    SCHED_TEAM_NONE, need, true, now);
	a->state = ATTEMPT_RUNNING;
}

static bool
worker_is_gone(struct agb_sched *s, const struct sched_attempt *a)
{
	const struct sched_worker *const w = sched_worker_get(s, a->worker);

	return w == NULL || w->state == AGB_WORKER_GONE;
}

void
sched_quick_ended(struct agb_sched *s, agb_time now, struct sched_attempt *a,
    enum agb_result result)
{
	const struct sched_attempt_end e = {
	    .result = result,
	    .quick = true,
	    .work = a->work,
	    .job = AGB_SCHED_NONE,
	    .worker = a->worker,
	    .probe = a->probe,
	    .run_time = now > a->placed_at ? now - a->placed_at : 0,
	};
	struct sched_work *k;

	/* The slot stays occupied: the request may still be running. */
	if (result == AGB_RESULT_LOST && !worker_is_gone(s, a)) {
		a->state = ATTEMPT_UNKNOWN;
		return;
	}
	if (a->work < s->works_len && result == AGB_RESULT_OK) {
		k = &s->works[a->work];
		if (k->mean_run_us <= 0)
			k->mean_run_us = (double)e.run_time;
		k->mean_run_us +=
		    ((double)e.run_time - k->mean_run_us) * RUN_US_GAIN;
	}
	sched_attempt_free(s, a);
	sched_health_ended(s, now, NULL, &e);
	sched_quick_dispatch(s, now, e.work);
}

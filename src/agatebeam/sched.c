#include "sched.h"

#include <stdlib.h>
#include <string.h>

#include "sched_internal.h"

/* Tasks whose attempts are stopped in one step. */
#define STOPS_PER_STEP 64
/* Due timers handled in one step. */
#define TIMERS_PER_STEP 64

struct agb_sched_effect *
agb_sched_effects_add(
    struct agb_sched_effects *out, enum agb_sched_effect_type type)
{
	struct agb_sched_effect *ef;

	out->items =
	    agb_xappend(out->items, &out->len, &out->cap, sizeof(*out->items));
	ef = &out->items[out->len - 1];
	ef->type = type;
	return ef;
}

void
agb_sched_effects_free(struct agb_sched_effects *out)
{
	free(out->items);
	memset(out, 0, sizeof(*out));
}

struct agb_sched *
agb_sched_new(uint64_t epoch, const char *domain, uint64_t seed)
{
	struct agb_sched *const s = agb_xcalloc(1, sizeof(*s));

	s->epoch = epoch;
	s->rng = seed;
	s->domain_index = AGB_ENV_NONE;
	sched_queue_init(s);
	agb_str_copy(s->domain, sizeof(s->domain), domain);
	return s;
}

void
agb_sched_free(struct agb_sched *s)
{
	struct sched_attempt *a, *atmp;
	struct sched_quick_request *r, *rtmp;
	uint32_t i;

	if (s == NULL)
		return;
	for (i = 0; i < s->jobs_cap; i++) {
		if (s->jobs[i] != NULL)
			sched_job_free(s, s->jobs[i]);
	}
	a = s->attempts;
	r = s->quick_requests;
	HASH_CLEAR(hh, s->attempts);
	HASH_CLEAR(hh, s->quick_requests);
	for (; a != NULL; a = atmp) {
		atmp = a->hh.next;
		free(a);
	}
	for (; r != NULL; r = rtmp) {
		rtmp = r->hh.next;
		free(r);
	}
	for (i = 0; i < s->racks_len; i++)
		free(s->racks[i].workers);
	free(s->racks);
	free(s->workers);
	free(s->tree);
	free(s->dirty);
	free(s->jobs);
	free(s->works);
	free(s->timers);
	free(s);
}

static void
remove_worker(struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	struct sched_attempt *a;

	/* No work is placed on it while its attempts are ended one by one. */
	w->state = AGB_WORKER_GONE;
	sched_reservation_drop_worker(s, w);
	sched_worker_refresh(s, w);
	/* Marked as stopping, so that no command is sent to the lost worker. */
	for (a = w->attempts; a != NULL; a = a->next)
		sched_attempt_set_state(s, a, ATTEMPT_STOPPING);
	while ((a = w->attempts) != NULL) {
		if (a->quick)
			sched_quick_ended(s, now, a, AGB_RESULT_LOST);
		else
			sched_task_ended(s, now, a, AGB_RESULT_LOST);
	}
	if (w->info.service < s->works_len)
		s->works[w->info.service].host_workers--;
	sched_worker_remove(s, w);
	sched_health_probe_if_all_ejected(s);
	sched_feasible_schedule_check(s, now);
}

static void
update_worker_state(
    struct agb_sched *s, agb_time now, const struct agb_sched_event *ev)
{
	struct sched_worker *const w = sched_worker_get(s, ev->worker);

	if (w == NULL)
		return;
	if (ev->state == AGB_WORKER_GONE) {
		remove_worker(s, now, w);
		return;
	}
	w->state = ev->state;
	if (ev->state != AGB_WORKER_LIVE)
		sched_reservation_drop_worker(s, w);
	sched_worker_refresh(s, w);
	if (ev->state == AGB_WORKER_LEAVING && !w->leaving_timer)
		sched_leave_move_services(s, now, w);
	sched_feasible_schedule_check(s, now);
}

static void
update_worker(
    struct agb_sched *s, agb_time now, const struct agb_sched_event *ev)
{
	struct sched_worker *w = sched_worker_get(s, ev->worker);

	if (ev->state == AGB_WORKER_GONE) {
		update_worker_state(s, now, ev);
		return;
	}
	if (w != NULL && w->info.service < s->works_len)
		s->works[w->info.service].host_workers--;
	w = sched_worker_put(s, ev->worker, ev->info, ev->state);
	if (w->info.service < s->works_len)
		s->works[w->info.service].host_workers++;
	sched_feasible_schedule_check(s, now);
}

static void
handle_attempt_event(
    struct agb_sched *s, agb_time now, const struct agb_sched_event *ev)
{
	struct sched_attempt *const a = sched_attempt_find(s, &ev->attempt);

	if (a == NULL)
		return;
	switch (ev->type) {
	case AGB_SCHED_QUICK_DONE:
		if (a->quick)
			sched_quick_ended(s, now, a, ev->result);
		break;
	case AGB_SCHED_TASK_STARTED:
		if (a->state == ATTEMPT_STARTING)
			sched_attempt_set_state(s, a, ATTEMPT_RUNNING);
		break;
	case AGB_SCHED_TASK_ENDED:
		if (!a->quick)
			sched_task_ended(s, now, a, ev->result);
		break;
	case AGB_SCHED_USAGE:
		if (!a->quick)
			sched_learn_usage(s, now, a, &ev->used);
		break;
	default:
		break;
	}
}

static void
handle_event(
    struct agb_sched *s, agb_time now, const struct agb_sched_event *ev)
{
	switch (ev->type) {
	case AGB_SCHED_ENV:
		sched_env_set(s, now, ev->env);
		break;
	case AGB_SCHED_WORKER:
		update_worker(s, now, ev);
		break;
	case AGB_SCHED_WORKER_STATE:
		update_worker_state(s, now, ev);
		break;
	case AGB_SCHED_QUICK_REQUEST:
		sched_quick_submit(s, now, ev);
		break;
	case AGB_SCHED_QUICK_CANCEL:
		sched_quick_cancel(s, ev->tag);
		break;
	case AGB_SCHED_QUICK_ADOPT:
		sched_quick_adopt(s, now, ev);
		break;
	case AGB_SCHED_JOB_ADD:
		sched_job_add(s, now, ev->job, ev->spec);
		break;
	case AGB_SCHED_JOB_CANCEL:
		sched_job_cancel(s, now, ev->job);
		break;
	case AGB_SCHED_TASK_INTENT:
		sched_task_adopt(s, now, ev, true);
		break;
	case AGB_SCHED_TASK_ADOPT:
		sched_task_adopt(s, now, ev, false);
		break;
	case AGB_SCHED_TASK_DONE:
		sched_task_mark_done(s, now, ev->job, ev->task);
		break;
	case AGB_SCHED_TEAM_USAGE:
		if (ev->team < SCHED_TEAM_NONE) {
			s->teams[ev->team].other = ev->used;
			sched_team_update_shares(s);
			sched_queue_wake_quota(s, ev->team);
		}
		break;
	case AGB_SCHED_USAGE:
	case AGB_SCHED_QUICK_DONE:
	case AGB_SCHED_TASK_STARTED:
	case AGB_SCHED_TASK_ENDED:
		handle_attempt_event(s, now, ev);
		break;
	case AGB_SCHED_TICK:
		break;
	}
}

static void
handle_timer(struct agb_sched *s, agb_time now, const struct sched_timer *t)
{
	struct sched_worker *w;
	struct sched_job *j;

	switch (t->type) {
	case TIMER_QUICK_EXPIRY:
		sched_quick_timer(s, now, t);
		return;
	case TIMER_PROBE:
		sched_health_timer(s, now, t);
		return;
	case TIMER_FEASIBILITY:
		sched_feasible_timer(s, now);
		return;
	case TIMER_LEAVING_WORKER:
		w = sched_worker_get(s, t->arg1);
		if (w != NULL)
			sched_leave_move_services(s, now, w);
		return;
	case TIMER_JOB_EXPIRY:
	case TIMER_TASK_RETRY:
	case TIMER_BUCKET_RETRY:
	case TIMER_RESERVATION:
		break;
	}
	j = sched_job_get(s, t->arg1);
	if (j == NULL || j->serial != t->serial)
		return;
	if (t->type == TIMER_JOB_EXPIRY)
		sched_job_expire(s, now, j);
	else if (t->type == TIMER_TASK_RETRY)
		sched_retry_timer(s, now, j, t->arg2);
	else if (t->type == TIMER_RESERVATION)
		sched_reservation_expire(s, now, j);
	else
		sched_gang_timer(s, now, j);
}

void
agb_sched_step(struct agb_sched *s, agb_time now,
    const struct agb_sched_event *ev, struct agb_sched_effects *out)
{
	struct sched_timer t;
	uint32_t n;

	s->out = out;
	s->now = now;
	handle_event(s, now, ev);
	if (s->cancel_deferred) {
		s->cancel_deferred = false;
		s->out = NULL;
		return;
	}
	if (ev->type != AGB_SCHED_JOB_CANCEL)
		s->inline_cancels = 0;
	for (n = 0; n < TIMERS_PER_STEP && sched_timer_pop(s, now, &t); n++)
		handle_timer(s, now, &t);
	sched_quick_dispatch_all(s, now);
	sched_place_pass(s, now);
	sched_job_stop_slice(s, now, STOPS_PER_STEP);
	s->out = NULL;
}

agb_time
agb_sched_next_tick(const struct agb_sched *s, agb_time now)
{
	if (s->stop_list_head != NULL ||
	    (s->env != NULL && sched_place_work_left(s)))
		return now;
	if (s->timers_len == 0)
		return AGB_TIME_MAX;
	return s->timers[0].at > now ? s->timers[0].at : now;
}

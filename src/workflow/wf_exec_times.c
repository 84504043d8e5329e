#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_leader.h"

/* The times of a unit follow what is learned after this time. */
#define TIMES_MAX_AGE_MS 500

struct wf_queue_times *
wf_exec_queue_times(struct wf_leader *l, const char *queue)
{
	struct wf_queue_times *x;

	HASH_FIND_STR(l->queue_times, queue, x);
	if (x != NULL)
		return x;
	x = agb_xcalloc(1, sizeof(*x));
	agb_str_copy(x->queue, sizeof(x->queue), queue);
	HASH_ADD_STR(l->queue_times, queue, x);
	return x;
}

bool
wf_task_run_time_known(const struct wf_task *t)
{
	return t->start_deadline_ms > 0 && !t->resumed;
}

double
wf_task_run_factor(const struct wf_leader *l, const struct wf_task *t)
{
	const struct wf_step *const step = wf_unit_step(t->unit);

	if (l->cfg->remote_factor <= 1)
		return 1;
	if (step->gang)
		return t->unit->locality.gang_remote ? l->cfg->remote_factor
						     : 1;
	return step->rack[0] == '\0' ||
		wf_runner_has_label(&l->runners[t->runner].info, step->rack)
	    ? 1
	    : l->cfg->remote_factor;
}

void
wf_exec_learn_run_time(
    struct wf_leader *l, const struct wf_task *t, uint32_t run_ms)
{
	const struct wf_unit *const u = t->unit;

	/* Estimates are for near runs. */
	wf_estimator_add(
	    &wf_exec_queue_times(l, u->exec->job->spec.queue)->estimator,
	    wf_unit_step(u)->estimate_ms,
	    (uint32_t)(run_ms / wf_task_run_factor(l, t)));
}

void
wf_exec_forget_run_times(struct wf_leader *l)
{
	struct wf_queue_times *x, *next;

	x = l->queue_times;
	HASH_CLEAR(hh, l->queue_times);
	for (; x != NULL; x = next) {
		next = x->hh.next;
		free(x);
	}
}

/* Length of the critical path through the steps, by their expected run times. */
static uint64_t
critical_path_ms(const struct wf_spec *s, const struct wf_estimator *times)
{
	uint64_t path_ms[WF_STEPS_MAX], longest;
	uint32_t i, k;

	longest = 0;
	for (i = 0; i < s->steps_len; i++) {
		path_ms[i] = 0;
		for (k = 0; k < i; k++) {
			if ((s->steps[i].after >> k & 1) &&
			    path_ms[k] > path_ms[i])
				path_ms[i] = path_ms[k];
		}
		path_ms[i] +=
		    wf_estimator_predict(times, s->steps[i].estimate_ms);
		if (path_ms[i] > longest)
			longest = path_ms[i];
	}
	return longest;
}

uint64_t
wf_unit_following_ms(struct wf_leader *l, const struct wf_unit *u)
{
	const struct wf_spec *const s = &u->exec->job->spec;
	const struct wf_estimator *const times =
	    &wf_exec_queue_times(l, s->queue)->estimator;
	uint64_t path_ms[WF_STEPS_MAX] = {0}, longest, follows;
	uint32_t i, k;

	longest = 0;
	follows = (uint64_t)1 << u->step;
	for (i = u->step + 1; i < s->steps_len; i++) {
		if ((s->steps[i].after & follows) == 0)
			continue;
		for (k = u->step; k < i; k++) {
			if ((s->steps[i].after & follows) >> k & 1)
				path_ms[i] = path_ms[k] > path_ms[i]
				    ? path_ms[k]
				    : path_ms[i];
		}
		follows |= (uint64_t)1 << i;
		path_ms[i] +=
		    wf_estimator_predict(times, s->steps[i].estimate_ms);
		if (path_ms[i] > longest)
			longest = path_ms[i];
	}
	return longest;
}

/* When an occurrence starts. */
static agb_time
occurrence_start_at(const struct wf_exec *e, uint32_t occurrence)
{
	const struct wf_spec *const s = &e->job->spec;
	agb_time at;

	at = e->accepted_at;
	if (s->start_at_ms > 0 && s->start_at_ms > s->submitted_ms)
		at += (agb_time)(s->start_at_ms - s->submitted_ms) * AGB_MS;
	return at + (agb_time)occurrence * s->period_ms * AGB_MS;
}

agb_time
wf_unit_ready_at(const struct wf_unit *u)
{
	if (wf_unit_step(u)->after != 0)
		return u->ready_at;
	return agb_time_min(
	    u->ready_at, occurrence_start_at(u->exec, u->occurrence));
}

/* When an occurrence should be finished: at its start, plus the
 * length of the critical path times the slack factor of the queue, plus the
 * queue's target. */
static agb_time
occurrence_due_at(const struct wf_leader *l, const struct wf_exec *e,
    uint32_t occurrence, uint64_t path_ms)
{
	const struct wf_spec *const s = &e->job->spec;
	const struct wf_queue *const q = wf_doc_queue(l->doc, s->queue);
	const double slack_factor = q != NULL ? q->slack_factor : 1;
	agb_time due;

	due = occurrence_start_at(e, occurrence);
	due += (agb_time)((double)path_ms * slack_factor) * AGB_MS;
	return due + (agb_time)(q != NULL ? q->target_ms : 0) * AGB_MS;
}

agb_time
wf_exec_last_due_at(struct wf_leader *l, const struct wf_exec *e)
{
	const struct wf_spec *const s = &e->job->spec;
	const struct wf_estimator *const times =
	    &wf_exec_queue_times(l, s->queue)->estimator;

	return occurrence_due_at(
	    l, e, s->repeat_count - 1, critical_path_ms(s, times));
}

static void
unit_set_times(const struct wf_leader *l, struct wf_unit *u, agb_time now,
    const struct wf_estimator *times, uint64_t path_ms)
{
	u->due_at = occurrence_due_at(l, u->exec, u->occurrence, path_ms);
	u->due_computed_at = now;
	u->expected_ms =
	    wf_estimator_predict(times, wf_unit_step(u)->estimate_ms);
}

void
wf_exec_set_times(struct wf_leader *l, struct wf_unit *units, agb_time now)
{
	const struct wf_spec *const s = &units->exec->job->spec;
	const struct wf_estimator *const times =
	    &wf_exec_queue_times(l, s->queue)->estimator;
	const uint64_t path_ms = critical_path_ms(s, times);
	uint32_t i;

	for (i = 0; i < s->steps_len; i++)
		unit_set_times(l, &units[i], now, times, path_ms);
}

void
wf_unit_update_times(struct wf_leader *l, struct wf_unit *u, agb_time now)
{
	const struct wf_spec *const s = &u->exec->job->spec;
	const struct wf_estimator *times;

	if (now - u->due_computed_at < TIMES_MAX_AGE_MS * AGB_MS)
		return;
	times = &wf_exec_queue_times(l, s->queue)->estimator;
	unit_set_times(l, u, now, times, critical_path_ms(s, times));
}

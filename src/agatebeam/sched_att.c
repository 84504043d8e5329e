#include "sched_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Attempts: what holds resources on a worker, from the decision to start
 * until there is evidence that it has ended.
 */

/* A worker on trial takes one start at a time. */
static bool
counts_starting(const struct sched_att *a)
{
	return a->probe &&
	    (a->state == ATT_STARTING || a->state == ATT_RUNNING);
}

struct sched_att *
sched_att_find(struct agb_sched *s, const struct agb_attempt *id)
{
	struct sched_att *a;

	HASH_FIND(hh, s->atts, id, sizeof(*id), a);
	return a;
}

static void
hold(struct agb_sched *s, struct sched_att *a)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);

	if (w == NULL)
		return;
	DL_APPEND(w->atts, a);
	if (a->quick) {
		w->slots_busy++;
		if (a->work < s->works_len)
			s->works[a->work].busy++;
	} else {
		agb_resources_add(&w->held, &a->held);
		w->tasks++;
	}
	if (counts_starting(a))
		w->starting++;
	w->throttled += a->throttled;
	sched_worker_refresh(s, w);
}

static void
unhold(struct agb_sched *s, struct sched_att *a)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);

	if (w == NULL)
		return;
	DL_DELETE(w->atts, a);
	if (a->quick) {
		w->slots_busy--;
		if (a->work < s->works_len)
			s->works[a->work].busy--;
	} else {
		agb_resources_sub(&w->held, &a->held);
		w->tasks--;
	}
	if (counts_starting(a))
		w->starting--;
	w->throttled -= a->throttled;
	sched_worker_refresh(s, w);
}

struct sched_att *
sched_att_new(struct agb_sched *s, const struct agb_attempt *id,
    uint32_t worker, uint16_t work, uint16_t team,
    const struct agb_resources *held, bool quick, agb_time now)
{
	struct sched_att *const a = agb_xcalloc(1, sizeof(*a));
	struct sched_worker *const w = sched_worker_get(s, worker);

	if (id != NULL) {
		a->id = *id;
	} else {
		a->id.epoch = s->epoch;
		a->id.seq = ++s->seq;
	}
	a->state = ATT_STARTING;
	a->quick = quick;
	a->worker = w != NULL ? worker : AGB_SCHED_NONE;
	a->work = work;
	a->team = team;
	a->job = AGB_SCHED_NONE;
	a->held = *held;
	a->full = *held;
	a->declared = *held;
	a->placed_at = now;
	/* On trial: a worker with failures gets one start at a time. */
	a->probe = w != NULL && (w->ejected || (!quick && w->evidence_len > 0));
	HASH_ADD(hh, s->atts, id, sizeof(a->id), a);
	hold(s, a);
	sched_team_use(s, team, held, NULL);
	if (!quick)
		s->tasks_running++;
	return a;
}

void
sched_att_resize(
    struct agb_sched *s, struct sched_att *a, const struct agb_resources *held)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);
	const struct agb_resources was = a->held;

	if (memcmp(&was, held, sizeof(was)) == 0)
		return;
	a->held = *held;
	sched_team_use(s, a->team, held, &was);
	if (w == NULL || a->quick)
		return;
	agb_resources_sub(&w->held, &was);
	agb_resources_add(&w->held, held);
	sched_worker_refresh(s, w);
}

void
sched_att_move(struct agb_sched *s, struct sched_att *a, uint32_t worker)
{
	unhold(s, a);
	a->worker =
	    sched_worker_get(s, worker) != NULL ? worker : AGB_SCHED_NONE;
	hold(s, a);
}

void
sched_att_free(struct agb_sched *s, struct sched_att *a)
{
	unhold(s, a);
	sched_team_use(s, a->team, NULL, &a->held);
	if (!a->quick)
		s->tasks_running--;
	HASH_DEL(s->atts, a);
	free(a);
}

void
sched_att_state(
    struct agb_sched *s, struct sched_att *a, enum sched_att_state state)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);
	const bool was = counts_starting(a);

	a->state = state;
	if (w == NULL || was == counts_starting(a))
		return;
	if (was)
		w->starting--;
	else
		w->starting++;
	sched_worker_refresh(s, w);
}

static struct agb_sched_effect *
effect(struct agb_sched *s, struct sched_att *a,
    enum agb_sched_effect_type type, enum agb_reason reason, const char *why)
{
	struct agb_sched_effect *const ef = agb_sched_effects_add(s->out, type);

	ef->attempt = a->id;
	ef->worker = a->worker;
	ef->job = a->job;
	ef->task = a->task;
	ef->reason = reason;
	agb_name_set(ef->detail, sizeof(ef->detail), why);
	return ef;
}

void
sched_att_stop(struct agb_sched *s, struct sched_att *a, enum agb_reason reason,
    const char *why)
{
	if (a->state == ATT_STOPPING)
		return;
	effect(s, a, AGB_SCHED_STOP, reason, why);
	a->stop_reason = reason;
	sched_att_state(s, a, ATT_STOPPING);
}

void
sched_att_checkpoint(struct agb_sched *s, struct sched_att *a,
    enum agb_reason reason, const char *why)
{
	if (a->state == ATT_STOPPING)
		return;
	effect(s, a, AGB_SCHED_CHECKPOINT, reason, why);
	a->stop_reason = reason;
	sched_att_state(s, a, ATT_STOPPING);
}

void
sched_att_throttle(struct agb_sched *s, struct sched_att *a,
    const struct agb_resources *held, const char *why)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);
	struct agb_sched_effect *ef;

	if (w != NULL)
		w->throttled -= a->throttled;
	ef = effect(s, a, AGB_SCHED_THROTTLE, AGB_REASON_PREEMPTED, why);
	ef->need = *held;
	a->throttled = held->cpu_milli < a->full.cpu_milli;
	a->throttled_at = s->now;
	if (w != NULL)
		w->throttled += a->throttled;
	sched_att_resize(s, a, held);
}

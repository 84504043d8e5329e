#include "sched_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Attempts. An attempt holds resources on a worker from the decision to start
 * it until there is evidence that it has ended.
 */

/* Only probes are counted: a worker that had failures runs one at a time. */
static bool
is_active_probe(const struct sched_attempt *a)
{
	return a->probe &&
	    (a->state == ATTEMPT_STARTING || a->state == ATTEMPT_RUNNING);
}

struct sched_attempt *
sched_attempt_find(struct agb_sched *s, const struct agb_attempt *id)
{
	struct sched_attempt *a;

	HASH_FIND(hh, s->attempts, id, sizeof(*id), a);
	return a;
}

static void
attach_to_worker(struct agb_sched *s, struct sched_attempt *a)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);

	if (w == NULL)
		return;
	DL_APPEND(w->attempts, a);
	if (a->quick) {
		w->slots_busy++;
		if (a->work < s->works_len)
			s->works[a->work].slots_busy++;
	} else {
		agb_resources_add(&w->allocated, &a->allocated);
		w->tasks++;
	}
	if (is_active_probe(a))
		w->active_probes++;
	w->throttled_attempts += a->throttled;
	sched_worker_refresh(s, w);
}

static void
detach_from_worker(struct agb_sched *s, struct sched_attempt *a)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);

	if (w == NULL)
		return;
	DL_DELETE(w->attempts, a);
	if (a->quick) {
		w->slots_busy--;
		if (a->work < s->works_len)
			s->works[a->work].slots_busy--;
	} else {
		agb_resources_sub(&w->allocated, &a->allocated);
		w->tasks--;
	}
	if (is_active_probe(a))
		w->active_probes--;
	w->throttled_attempts -= a->throttled;
	sched_worker_refresh(s, w);
}

struct sched_attempt *
sched_attempt_new(struct agb_sched *s, const struct agb_attempt *id,
    uint32_t worker, uint16_t work, uint16_t team,
    const struct agb_resources *allocated, bool quick, agb_time now)
{
	struct sched_attempt *const a = agb_xcalloc(1, sizeof(*a));
	struct sched_worker *const w = sched_worker_get(s, worker);

	if (id != NULL) {
		a->id = *id;
	} else {
		a->id.epoch = s->epoch;
		a->id.seq = ++s->seq;
	}
	a->state = ATTEMPT_STARTING;
	a->quick = quick;
	a->worker = w != NULL ? worker : AGB_SCHED_NONE;
	a->work = work;
	a->team = team;
	a->job = AGB_SCHED_NONE;
	a->allocated = *allocated;
	a->unthrottled = *allocated;
	a->declared = *allocated;
	a->placed_at = now;
	/* A worker with failures gets one attempt at a time, as a probe. */
	a->probe = w != NULL && (w->ejected || (!quick && w->failures_len > 0));
	HASH_ADD(hh, s->attempts, id, sizeof(a->id), a);
	attach_to_worker(s, a);
	sched_team_update_usage(s, team, allocated, NULL);
	if (!quick)
		s->tasks_running++;
	return a;
}

void
sched_attempt_resize(struct agb_sched *s, struct sched_attempt *a,
    const struct agb_resources *allocated)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);
	const struct agb_resources was = a->allocated;

	if (memcmp(&was, allocated, sizeof(was)) == 0)
		return;
	a->allocated = *allocated;
	sched_team_update_usage(s, a->team, allocated, &was);
	if (w == NULL || a->quick)
		return;
	agb_resources_sub(&w->allocated, &was);
	agb_resources_add(&w->allocated, allocated);
	sched_worker_refresh(s, w);
}

void
sched_attempt_move(
    struct agb_sched *s, struct sched_attempt *a, uint32_t worker)
{
	detach_from_worker(s, a);
	a->worker =
	    sched_worker_get(s, worker) != NULL ? worker : AGB_SCHED_NONE;
	attach_to_worker(s, a);
}

void
sched_attempt_free(struct agb_sched *s, struct sched_attempt *a)
{
	detach_from_worker(s, a);
	sched_team_update_usage(s, a->team, NULL, &a->allocated);
	if (!a->quick)
		s->tasks_running--;
	HASH_DEL(s->attempts, a);
	free(a);
}

void
sched_attempt_set_state(struct agb_sched *s, struct sched_attempt *a,
    enum sched_attempt_state state)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);
	const bool was = is_active_probe(a);

	a->state = state;
	if (w == NULL || was == is_active_probe(a))
		return;
	if (was)
		w->active_probes--;
	else
		w->active_probes++;
	sched_worker_refresh(s, w);
}

static struct agb_sched_effect *
add_effect(struct agb_sched *s, struct sched_attempt *a,
    enum agb_sched_effect_type type, enum agb_reason reason, const char *why)
{
	struct agb_sched_effect *const ef = agb_sched_effects_add(s->out, type);

	ef->attempt = a->id;
	ef->worker = a->worker;
	ef->job = a->job;
	ef->task = a->task;
	ef->reason = reason;
	agb_str_copy(ef->detail, sizeof(ef->detail), why);
	return ef;
}

/* Ends an attempt by @type, a stop or a checkpoint before the stop. */
static void
end_attempt(struct agb_sched *s, struct sched_attempt *a,
    enum agb_sched_effect_type type, enum agb_reason reason, const char *why)
{
	if (a->state == ATTEMPT_STOPPING)
		return;
	add_effect(s, a, type, reason, why);
	a->stop_reason = reason;
	sched_attempt_set_state(s, a, ATTEMPT_STOPPING);
}

void
sched_attempt_stop(struct agb_sched *s, struct sched_attempt *a,
    enum agb_reason reason, const char *why)
{
	end_attempt(s, a, AGB_SCHED_STOP, reason, why);
}

void
sched_attempt_checkpoint(struct agb_sched *s, struct sched_attempt *a,
    enum agb_reason reason, const char *why)
{
	end_attempt(s, a, AGB_SCHED_CHECKPOINT, reason, why);
}

void
sched_attempt_throttle(struct agb_sched *s, struct sched_attempt *a,
    const struct agb_resources *allocated, const char *why)
{
	struct sched_worker *const w = sched_worker_get(s, a->worker);
	struct agb_sched_effect *ef;

	if (w != NULL)
		w->throttled_attempts -= a->throttled;
	ef = add_effect(s, a, AGB_SCHED_THROTTLE, AGB_REASON_PREEMPTED, why);
	ef->need = *allocated;
	a->throttled = allocated->cpu_milli < a->unthrottled.cpu_milli;
	a->throttled_at = s->now;
	if (w != NULL)
		w->throttled_attempts += a->throttled;
	sched_attempt_resize(s, a, allocated);
}

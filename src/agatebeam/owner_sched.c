#include <string.h>

#include "owner_internal.h"

static void
apply_effect(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	switch (e->type) {
	case AGB_SCHED_GRANT:
		own_grant_on_granted(o, now, e, out);
		break;
	case AGB_SCHED_DENY:
		own_grant_on_denied(o, now, e, out);
		break;
	case AGB_SCHED_START:
		own_task_place(o, now, e, out);
		break;
	case AGB_SCHED_STOP:
	case AGB_SCHED_CHECKPOINT:
	case AGB_SCHED_THROTTLE:
		own_task_control(o, now, e, out);
		break;
	case AGB_SCHED_JOB_DONE:
		own_job_on_done(o, now, e, out);
		break;
	case AGB_SCHED_DECISION:
		agb_effects_log(out, AGB_LOG_INFO, "decision",
		    "domain=%s text=\"%s\"", o->cfg.domain, e->detail);
		break;
	}
}

/*
 * Passes an event to the scheduler and carries out its effects. This may call
 * this function again with further events, whose effects are appended to the
 * list that the outer call works through.
 */
void
own_sched_step(struct agb_owner *o, agb_time now,
    const struct agb_sched_event *ev, struct agb_effects *out)
{
	agb_sched_step(o->sched, now, ev, &o->sched_effects);
	if (o->in_sched_step)
		return;
	o->in_sched_step = true;
	while (o->sched_effects_next < o->sched_effects.len) {
		const struct agb_sched_effect e =
		    o->sched_effects.items[o->sched_effects_next++];

		apply_effect(o, now, &e, out);
	}
	o->sched_effects.len = 0;
	o->sched_effects_next = 0;
	o->in_sched_step = false;
}

/* Adds a worker to the scheduler, or updates its capacity and service. */
void
own_sched_worker_info(struct agb_owner *o, agb_time now, struct own_worker *w,
    enum agb_worker_state state, struct agb_effects *out)
{
	struct agb_worker_info info = {0};
	struct agb_sched_event ev = {
	    .type = AGB_SCHED_WORKER, .info = &info, .state = state};

	if (w->sched_handle == AGB_SCHED_NONE)
		w->sched_handle = own_handle_new(&o->worker_handles, w);
	agb_str_copy(info.name, sizeof(info.name), w->instance.id);
	agb_str_copy(info.rack, sizeof(info.rack), w->instance.rack);
	info.capacity = w->instance.capacity;
	info.service = w->instance.service[0] != '\0'
	    ? agb_env_work_find(o->env, w->instance.service)
	    : AGB_ENV_NONE;
	info.slots = w->instance.slots;
	info.connections = w->instance.connections;
	ev.worker = w->sched_handle;
	w->sched_state = state;
	own_sched_step(o, now, &ev, out);
}

/* Sets the state of a worker in the scheduler. */
void
own_sched_worker_state(struct agb_owner *o, agb_time now, struct own_worker *w,
    enum agb_worker_state state, struct agb_effects *out)
{
	const struct agb_sched_event ev = {.type = AGB_SCHED_WORKER_STATE,
	    .worker = w->sched_handle,
	    .state = state};
	static const char *const names[] = {
	    "joining", "live", "suspect", "leaving", "gone"};

	if (w->sched_handle == AGB_SCHED_NONE || w->sched_state == state)
		return;
	agb_effects_log(out, AGB_LOG_INFO, "worker",
	    "worker=%s state=%s was=%s", w->instance.id, names[state],
	    names[w->sched_state]);
	w->sched_state = state;
	own_sched_step(o, now, &ev, out);
	if (state == AGB_WORKER_LEAVING)
		own_task_recall_unsent(o, now, w, out);
	if (state == AGB_WORKER_GONE) {
		own_handle_del(&o->worker_handles, w->sched_handle);
		w->sched_handle = AGB_SCHED_NONE;
	}
}

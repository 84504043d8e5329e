#include <string.h>

#include "owner_internal.h"

static void
handle(struct agb_owner *o, agb_time now, const struct agb_sched_effect *e,
    struct agb_effects *out)
{
	switch (e->type) {
	case AGB_SCHED_GRANT:
		own_grant_given(o, now, e, out);
		break;
	case AGB_SCHED_DENY:
		own_grant_denied(o, now, e, out);
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
		own_job_ended(o, now, e, out);
		break;
	case AGB_SCHED_DECISION:
		agb_effects_log(out, AGB_LOG_INFO, "decision",
		    "domain=%s text=\"%s\"", o->cfg.domain, e->detail);
		break;
	}
}

/*
 * Gives placement an event and carries out what it decides. Carrying out one
 * effect may feed further events; their effects queue up behind it.
 */
void
own_sched_feed(struct agb_owner *o, agb_time now,
    const struct agb_sched_event *ev, struct agb_effects *out)
{
	agb_sched_step(o->sched, now, ev, &o->effects);
	if (o->stepping)
		return;
	o->stepping = true;
	while (o->effects_at < o->effects.len) {
		const struct agb_sched_effect e =
		    o->effects.items[o->effects_at++];

		handle(o, now, &e, out);
	}
	o->effects.len = 0;
	o->effects_at = 0;
	o->stepping = false;
}

/* Adds a worker to placement or replaces what it offers. */
void
own_sched_worker_info(struct agb_owner *o, agb_time now, struct own_worker *w,
    enum agb_worker_state state, struct agb_effects *out)
{
	struct agb_worker_info info = {0};
	struct agb_sched_event ev = {
	    .type = AGB_SCHED_WORKER, .info = &info, .state = state};

	if (w->handle == AGB_SCHED_NONE)
		w->handle = own_handle_new(&o->worker_handles, w);
	agb_name_set(info.name, sizeof(info.name), w->inst.id);
	agb_name_set(info.rack, sizeof(info.rack), w->inst.rack);
	info.capacity = w->inst.capacity;
	info.service = w->inst.service[0] != '\0'
	    ? agb_env_work_find(o->env, w->inst.service)
	    : AGB_ENV_NONE;
	info.slots = w->inst.slots;
	info.connections = w->inst.connections;
	ev.worker = w->handle;
	w->told = state;
	own_sched_feed(o, now, &ev, out);
}

void
own_sched_worker_state(struct agb_owner *o, agb_time now, struct own_worker *w,
    enum agb_worker_state state, struct agb_effects *out)
{
	const struct agb_sched_event ev = {.type = AGB_SCHED_WORKER_STATE,
	    .worker = w->handle,
	    .state = state};
	static const char *const names[] = {
	    "joining", "live", "suspect", "leaving", "gone"};

	if (w->handle == AGB_SCHED_NONE || w->told == state)
		return;
	agb_effects_log(out, AGB_LOG_INFO, "worker",
	    "worker=%s state=%s was=%s", w->inst.id, names[state],
	    names[w->told]);
	w->told = state;
	own_sched_feed(o, now, &ev, out);
	if (state == AGB_WORKER_LEAVING)
		own_task_unsent(o, now, w, out);
	if (state == AGB_WORKER_GONE) {
		own_handle_del(&o->worker_handles, w->handle);
		w->handle = AGB_SCHED_NONE;
	}
}

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

struct own_worker *
own_worker_find(const struct agb_owner *o, const char *id)
{
	return own_map_get(&o->worker_names, id, strlen(id));
}

static struct own_worker *
worker_new(struct agb_owner *o, const char *id)
{
	struct own_worker *const w = agb_xcalloc(1, sizeof(*w));

	agb_name_set(w->inst.id, sizeof(w->inst.id), id);
	w->handle = AGB_SCHED_NONE;
	own_list_add(&o->workers, w);
	own_map_put(&o->worker_names, w->inst.id, strlen(w->inst.id), w);
	return w;
}

/* The worker of a name; one that the list does not name counts as gone. */
struct own_worker *
own_worker_of(struct agb_owner *o, agb_time now, const char *id)
{
	struct own_worker *w = own_worker_find(o, id);

	if (w != NULL)
		return w;
	w = worker_new(o, id);
	if (o->listed) {
		w->inst.state = AGB_INSTANCE_GONE;
		w->lease_until = now + OWN_SESSION_TTL_MS * AGB_MS;
	}
	return w;
}

void
own_orphans_clear(struct own_worker *w)
{
	while (w->orphans.len > 0)
		free(w->orphans.items[--w->orphans.len]);
}

/* Forgets the session when the role ends. */
void
own_worker_reset(struct own_worker *w)
{
	w->stale_session |= w->call == OWN_CALL_SESSION;
	w->stale_renew |= w->call == OWN_CALL_RENEW;
	w->call = OWN_CALL_NONE;
	w->handle = AGB_SCHED_NONE;
	w->told = AGB_WORKER_JOINING;
	w->answered = false;
	w->checked = false;
	w->met = false;
	w->boot[0] = '\0';
	w->taken = 0;
	w->acked = 0;
	w->undurable = 0;
	w->dirty = false;
	w->failed_since = 0;
	w->retry_ms = 0;
	w->call_at = 0;
	w->lease_until = 0;
	own_orphans_clear(w);
	w->tasks.len = 0;
	w->grants.len = 0;
	own_command_clear(w);
}

void
own_worker_free(struct own_worker *w)
{
	own_command_clear(w);
	own_orphans_clear(w);
	own_vec_free(&w->orphans);
	own_vec_free(&w->tasks);
	own_vec_free(&w->grants);
	free(w);
}

/* Takes a worker into placement; its session is taken over next. */
void
own_worker_join(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	if (!w->known || w->inst.state == AGB_INSTANCE_GONE ||
	    w->handle != AGB_SCHED_NONE)
		return;
	own_sched_worker_info(o, now, w, AGB_WORKER_JOINING, out);
	w->call_at = now;
	own_wake(o, now);
}

static void
list_item(struct agb_owner *o, agb_time now, const struct agb_instance *in,
    struct agb_effects *out)
{
	struct own_worker *w = own_worker_find(o, in->id);
	struct agb_instance was;

	if (w == NULL && in->state == AGB_INSTANCE_GONE)
		return;
	if (w == NULL)
		w = worker_new(o, in->id);
	was = w->inst;
	w->inst = *in;
	w->known = true;
	if (in->state == AGB_INSTANCE_GONE && was.state != AGB_INSTANCE_GONE) {
		if (w->lease_until < now + OWN_SESSION_TTL_MS * AGB_MS)
			w->lease_until = now + OWN_SESSION_TTL_MS * AGB_MS;
		own_wake(o, now);
	}
	if (!own_serving(o))
		return;
	if (w->handle == AGB_SCHED_NONE)
		own_worker_join(o, now, w, out);
	else if (memcmp(&was.capacity, &in->capacity, sizeof(was.capacity)) !=
		0 ||
	    was.slots != in->slots || was.connections != in->connections ||
	    strcmp(was.service, in->service) != 0)
		own_sched_worker_info(o, now, w, w->told, out);
	if (in->state == AGB_INSTANCE_LEAVING && w->told == AGB_WORKER_LIVE)
		own_sched_worker_state(o, now, w, AGB_WORKER_LEAVING, out);
	if (in->state == AGB_INSTANCE_GONE)
		own_sched_worker_state(o, now, w, AGB_WORKER_SUSPECT, out);
}

void
own_worker_list(struct agb_owner *o, agb_time now, const struct agb_ev_list *l,
    struct agb_effects *out)
{
	size_t i;

	if (!l->ok)
		return;
	for (i = 0; l->full && i < o->workers.len; i++)
		((struct own_worker *)o->workers.items[i])->known = false;
	for (i = 0; i < l->items_len; i++) {
		const struct agb_instance *const in = &l->items[i];

		if (in->kind == AGB_INSTANCE_WORKER &&
		    strcmp(in->domain, o->cfg.domain) == 0)
			list_item(o, now, in, out);
	}
	if (!l->full)
		return;
	o->listed = true;
	/* What the whole list does not name any more is gone. */
	for (i = 0; i < o->workers.len; i++) {
		const struct own_worker *const w = o->workers.items[i];
		struct agb_instance gone;

		if (w->known || w->inst.state == AGB_INSTANCE_GONE)
			continue;
		gone = w->inst;
		gone.state = AGB_INSTANCE_GONE;
		list_item(o, now, &gone, out);
	}
}

static void
sweep_silent(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	agb_time at;
	size_t i;

	if (now < w->failed_since + OWN_SUSPECT_AFTER) {
		own_wake(o, w->failed_since + OWN_SUSPECT_AFTER);
		return;
	}
	if (w->told == AGB_WORKER_LIVE)
		own_sched_worker_state(o, now, w, AGB_WORKER_SUSPECT, out);
	/* Without the store lease a newer owner may be renewing the session,
	 * and silence towards this one proves nothing. */
	if (own_leased(o, now))
		own_evidence_silent(o, now, w, out);
	for (i = 0; i < w->tasks.len; i++) {
		at = own_silence_proves(o, w, w->tasks.items[i]);
		if (at != AGB_TIME_MAX)
			own_wake(o, at > now ? at : now + 100 * AGB_MS);
	}
}

static void
sweep_gone(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	const agb_time at = w->lease_until + OWN_SESSION_DRIFT;

	if (w->tasks.len + w->grants.len > 0 && now < at) {
		own_wake(o, at);
		return;
	}
	own_evidence_gone(o, now, w, out);
	own_grant_worker_gone(o, now, w, out);
	own_orphans_clear(w);
	own_command_clear(w);
	w->answered = false;
	own_sched_worker_state(o, now, w, AGB_WORKER_GONE, out);
}

static bool
forgettable(const struct own_worker *w)
{
	return w->inst.state == AGB_INSTANCE_GONE &&
	    w->handle == AGB_SCHED_NONE && w->tasks.len == 0 &&
	    w->grants.len == 0 && w->undurable == 0 &&
	    w->call == OWN_CALL_NONE && !w->stale_session && !w->stale_renew &&
	    w->commands_tag == 0 && !w->dirty;
}

static void
sweep_worker(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	agb_time quiet;

	if (w->inst.state == AGB_INSTANCE_GONE) {
		sweep_gone(o, now, w, out);
		return;
	}
	if (w->handle == AGB_SCHED_NONE)
		return;
	if (w->failed_since != 0)
		sweep_silent(o, now, w, out);
	if (w->call != OWN_CALL_NONE ||
	    (w->answered ? w->stale_renew : w->stale_session))
		return;
	/* A start that is out must not arrive after the session that follows
	 * a restart: the worker would take it for a new one. */
	if (!w->answered && w->commands_tag != 0)
		return;
	quiet = own_quiet_until(o, now, w);
	if (quiet > w->call_at)
		w->call_at = quiet;
	if (now < w->call_at)
		own_wake(o, w->call_at);
	else
		own_session_call(o, now, w, out);
}

void
own_worker_sweep(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	size_t i = o->workers.len;

	if (!own_serving(o))
		return;
	while (i-- > 0) {
		struct own_worker *const w = o->workers.items[i];

		sweep_worker(o, now, w, out);
		if (forgettable(w)) {
			own_map_del(
			    &o->worker_names, w->inst.id, strlen(w->inst.id));
			own_list_del(&o->workers, w);
			own_worker_free(w);
		}
	}
}

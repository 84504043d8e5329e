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

	agb_str_copy(w->instance.id, sizeof(w->instance.id), id);
	w->sched_handle = AGB_SCHED_NONE;
	own_indexed_add(&o->workers, w);
	own_map_put(
	    &o->worker_names, w->instance.id, strlen(w->instance.id), w);
	return w;
}

/* Finds a worker by its instance id, or adds it. One that is missing from the
 * instance list counts as gone. */
struct own_worker *
own_worker_ensure(struct agb_owner *o, agb_time now, const char *id)
{
	struct own_worker *w = own_worker_find(o, id);

	if (w != NULL)
		return w;
	w = worker_new(o, id);
	if (o->have_list) {
		w->instance.state = AGB_INSTANCE_GONE;
		w->session_ends_by = now + OWN_SESSION_TTL_MS * AGB_MS;
	}
	return w;
}

/* Whether a worker is missing from the instance list and its session has
 * expired, so that nothing runs there any more. */
bool
own_worker_expired(const struct own_worker *w, agb_time now)
{
	return w->instance.state == AGB_INSTANCE_GONE &&
	    now >= w->session_ends_by + OWN_SESSION_MARGIN;
}

void
own_orphans_clear(struct own_worker *w)
{
	while (w->orphans.len > 0)
		free(w->orphans.items[--w->orphans.len]);
}

/* Discards the session with a worker when this instance loses the role. */
void
own_worker_reset(struct own_worker *w)
{
	w->stale_session |= w->pending_call == OWN_CALL_SESSION;
	w->stale_renew |= w->pending_call == OWN_CALL_RENEW;
	w->pending_call = OWN_CALL_NONE;
	w->sched_handle = AGB_SCHED_NONE;
	w->sched_state = AGB_WORKER_JOINING;
	w->session_open = false;
	w->first_report_seen = false;
	w->epoch_accepted = false;
	w->boot_id[0] = '\0';
	w->event_seq = 0;
	w->acked_seq = 0;
	w->undurable_events = 0;
	w->has_commands = false;
	w->failed_since = 0;
	w->retry_ms = 0;
	w->next_call_at = 0;
	w->session_ends_by = 0;
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

/* Adds a worker to the scheduler as joining. The session call is next. Until
 * the election an older owner may have extended the session of one that is
 * gone. */
void
own_worker_join(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	const agb_time session_end =
	    o->elected_at + OWN_SESSION_TTL_MS * AGB_MS;

	if (w->instance.state == AGB_INSTANCE_GONE &&
	    w->session_ends_by < session_end)
		w->session_ends_by = session_end;
	if (!w->listed || w->instance.state == AGB_INSTANCE_GONE ||
	    w->sched_handle != AGB_SCHED_NONE)
		return;
	own_sched_worker_info(o, now, w, AGB_WORKER_JOINING, out);
	w->next_call_at = now;
	own_wake_at(o, now);
}

/* Applies one entry of the instance list to its worker. */
static void
update_instance(struct agb_owner *o, agb_time now,
    const struct agb_instance *in, struct agb_effects *out)
{
	struct own_worker *w = own_worker_find(o, in->id);
	struct agb_instance old;

	if (w == NULL && in->state == AGB_INSTANCE_GONE)
		return;
	if (w == NULL)
		w = worker_new(o, in->id);
	old = w->instance;
	w->instance = *in;
	w->listed = true;
	if (in->state == AGB_INSTANCE_GONE && old.state != AGB_INSTANCE_GONE) {
		if (w->session_ends_by < now + OWN_SESSION_TTL_MS * AGB_MS)
			w->session_ends_by = now + OWN_SESSION_TTL_MS * AGB_MS;
		own_wake_at(o, now);
	}
	if (!own_serving(o))
		return;
	if (w->sched_handle == AGB_SCHED_NONE)
		own_worker_join(o, now, w, out);
	else if (memcmp(&old.capacity, &in->capacity, sizeof(old.capacity)) !=
		0 ||
	    old.slots != in->slots || old.connections != in->connections ||
	    strcmp(old.service, in->service) != 0)
		own_sched_worker_info(o, now, w, w->sched_state, out);
	if (in->state == AGB_INSTANCE_LEAVING &&
	    w->sched_state == AGB_WORKER_LIVE)
		own_sched_worker_state(o, now, w, AGB_WORKER_LEAVING, out);
	if (in->state == AGB_INSTANCE_GONE)
		own_sched_worker_state(o, now, w, AGB_WORKER_SUSPECT, out);
}

void
own_worker_on_list(struct agb_owner *o, agb_time now,
    const struct agb_ev_instances *l, struct agb_effects *out)
{
	size_t i;

	if (!l->ok)
		return;
	for (i = 0; l->full && i < o->workers.len; i++)
		((struct own_worker *)o->workers.items[i])->listed = false;
	for (i = 0; i < l->items_len; i++) {
		const struct agb_instance *const in = &l->items[i];

		if (in->kind == AGB_INSTANCE_WORKER &&
		    strcmp(in->domain, o->cfg.domain) == 0)
			update_instance(o, now, in, out);
	}
	if (!l->full)
		return;
	o->have_list = true;
	/* Workers that are missing from a full list are gone. */
	for (i = 0; i < o->workers.len; i++) {
		const struct own_worker *const w = o->workers.items[i];
		struct agb_instance gone;

		if (w->listed || w->instance.state == AGB_INSTANCE_GONE)
			continue;
		gone = w->instance;
		gone.state = AGB_INSTANCE_GONE;
		update_instance(o, now, &gone, out);
	}
}

/* Timers of a worker that does not answer. */
static void
sweep_silent(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	agb_time at;
	size_t i;

	if (now < w->failed_since + OWN_SUSPECT_AFTER) {
		own_wake_at(o, w->failed_since + OWN_SUSPECT_AFTER);
		return;
	}
	if (w->sched_state == AGB_WORKER_LIVE)
		own_sched_worker_state(o, now, w, AGB_WORKER_SUSPECT, out);
	/* Without the store lease, a newer owner may be renewing the session,
	 * so that silence towards this owner proves nothing. */
	if (own_lease_held(o, now))
		own_evidence_on_silence(o, now, w, out);
	for (i = 0; i < w->tasks.len; i++) {
		at = own_silence_proof_at(o, w, w->tasks.items[i]);
		if (at != AGB_TIME_MAX)
			own_wake_at(o, at > now ? at : now + 100 * AGB_MS);
	}
}

/* Timers of a worker that the instance list reports as gone. */
static void
sweep_gone(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	if (w->tasks.len + w->grants.len > 0 && !own_worker_expired(w, now)) {
		own_wake_at(o, w->session_ends_by + OWN_SESSION_MARGIN);
		return;
	}
	own_evidence_on_gone(o, now, w, out);
	own_grant_on_worker_gone(o, now, w, out);
	own_orphans_clear(w);
	own_command_clear(w);
	w->session_open = false;
	own_sched_worker_state(o, now, w, AGB_WORKER_GONE, out);
}

/* Whether a worker is gone and nothing refers to it any more. It is kept until
 * its session has expired: before that, a lost attempt of an older owner may
 * still run there. */
static bool
can_remove(const struct own_worker *w, agb_time now)
{
	return own_worker_expired(w, now) &&
	    w->sched_handle == AGB_SCHED_NONE && w->tasks.len == 0 &&
	    w->grants.len == 0 && w->undurable_events == 0 &&
	    w->pending_call == OWN_CALL_NONE && !w->stale_session &&
	    !w->stale_renew && w->commands_tag == 0 && !w->has_commands;
}

static void
sweep_worker(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	agb_time not_before;

	if (w->instance.state == AGB_INSTANCE_GONE) {
		sweep_gone(o, now, w, out);
		return;
	}
	if (w->sched_handle == AGB_SCHED_NONE)
		return;
	if (w->failed_since != 0)
		sweep_silent(o, now, w, out);
	if (w->pending_call != OWN_CALL_NONE ||
	    (w->session_open ? w->stale_renew : w->stale_session))
		return;
	/* After a restart of the worker, a START that is still in flight must
	 * not arrive after the session call: the worker would execute it. */
	if (!w->session_open && w->commands_tag != 0)
		return;
	not_before = own_call_not_before(o, now, w);
	if (not_before > w->next_call_at)
		w->next_call_at = not_before;
	if (now < w->next_call_at)
		own_wake_at(o, w->next_call_at);
	else
		own_session_send(o, now, w, out);
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
		if (can_remove(w, now)) {
			own_map_del(&o->worker_names, w->instance.id,
			    strlen(w->instance.id));
			own_indexed_del(&o->workers, w);
			own_worker_free(w);
		}
	}
}

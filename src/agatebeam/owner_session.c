#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* Minimum interval of renewals, for a worker agent that answers at once
 * although it has nothing to report. */
#define RENEW_INTERVAL_MIN (20 * AGB_MS)
/* Interval of renewals while events of the worker cannot be acknowledged yet.
 * It is well under the session TTL. */
#define RENEW_INTERVAL_UNDURABLE (1 * AGB_SEC)
/* Session TTL of a call to a silent worker whose session has expired. */
#define PROBE_TTL_MS 500

/* Sends the next session call or renewal to a worker. */
void
own_session_send(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	const bool renew = w->session_open;
	struct agb_effect *ef;
	uint32_t ttl = OWN_SESSION_TTL_MS;
	size_t i;

	/* A call to a silent worker must not extend its session any further, or
	 * the session would never be certain to have expired. */
	if (w->failed_since != 0) {
		ttl = w->session_ends_by > now
		    ? (uint32_t)((w->session_ends_by - now) / AGB_MS)
		    : 0;
		ttl = ttl < PROBE_TTL_MS ? PROBE_TTL_MS : ttl;
	}
	ef = agb_effects_add(out, renew ? AGB_EF_RENEW : AGB_EF_SESSION);
	agb_str_copy(
	    ef->u.worker.worker, sizeof(ef->u.worker.worker), w->instance.id);
	agb_str_copy(ef->u.worker.address, sizeof(ef->u.worker.address),
	    w->instance.address);
	ef->u.worker.epoch = o->epoch;
	ef->u.worker.ttl_ms = ttl;
	w->call_ttl_ms = ttl;
	if (w->session_ends_by < now + ttl * AGB_MS)
		w->session_ends_by = now + ttl * AGB_MS;
	if (renew) {
		w->pending_call = OWN_CALL_RENEW;
		w->renew_count++;
		agb_str_copy(
		    ef->u.worker.boot, sizeof(ef->u.worker.boot), w->boot_id);
		ef->u.worker.after_seq = w->acked_seq;
		/* The first renewal of a session is answered at once: it shows
		 * what became of tasks that the worker does not run any
		 * more. */
		ef->u.worker.wait_ms =
		    w->first_report_seen ? OWN_RENEW_WAIT_MS : 0;
		w->next_call_at = now + RENEW_INTERVAL_MIN;
		return;
	}
	w->pending_call = OWN_CALL_SESSION;
	for (i = 0; i < w->tasks.len; i++) {
		struct own_task *const t = w->tasks.items[i];

		t->reported = false;
		t->report_expected = t->state == OWN_TASK_RUNNING ||
		    t->state == OWN_TASK_UNCONFIRMED;
	}
}

/* A session call or renewal has failed: the next call opens a new session. */
static void
call_failed(struct agb_owner *o, agb_time now, struct own_worker *w)
{
	if (w->failed_since == 0)
		w->failed_since = now;
	/* The worker may have processed the renewal at any time until now. */
	if (w->session_open &&
	    w->session_ends_by < now + w->call_ttl_ms * AGB_MS)
		w->session_ends_by = now + w->call_ttl_ms * AGB_MS;
	w->session_open = false;
	w->next_call_at = now + own_backoff_ms(o, &w->retry_ms) * AGB_MS;
	own_wake_at(o, w->next_call_at);
	own_wake_at(o, w->failed_since + OWN_SUSPECT_AFTER);
}

/* A worker has answered a session call or renewal. */
static void
call_answered(struct own_worker *w, agb_time now)
{
	const agb_time until = now + w->call_ttl_ms * AGB_MS;

	if (w->session_ends_by < until)
		w->session_ends_by = until;
	w->failed_since = 0;
	w->retry_ms = 0;
}

/* Updates the scheduler's state of a worker with an open session. The worker
 * takes new work unless it is leaving or still runs orphans. */
static void
update_sched_state(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	enum agb_worker_state state = AGB_WORKER_LIVE;

	if (!w->session_open || w->instance.state == AGB_INSTANCE_GONE)
		return;
	if (w->leaving || w->instance.state == AGB_INSTANCE_LEAVING)
		state = AGB_WORKER_LEAVING;
	else if (w->orphans.len > 0)
		state = w->sched_state == AGB_WORKER_JOINING
		    ? AGB_WORKER_JOINING
		    : AGB_WORKER_SUSPECT;
	own_sched_worker_state(o, now, w, state, out);
}

/* Stops a task that no job of this shard runs on the worker. The worker gets no
 * new work until it reports that the task has ended. */
static void
orphan_add(struct agb_owner *o, struct own_worker *w,
    const struct agb_worker_task *wt, struct agb_effects *out)
{
	struct agb_command stop = {
	    .kind = AGB_COMMAND_STOP, .attempt = wt->attempt};
	struct agb_attempt *const a = agb_xcalloc(1, sizeof(*a));

	*a = wt->attempt;
	own_vec_add(&w->orphans, a);
	agb_str_copy(stop.task, sizeof(stop.task), wt->task);
	own_command_add(o, w, &stop);
	agb_effects_log(out, AGB_LOG_WARN, "stop",
	    "task=%s attempt=%llu-%llu worker=%s "
	    "reason=\"no job of this shard owns it\"",
	    wt->task, (unsigned long long)wt->attempt.epoch,
	    (unsigned long long)wt->attempt.seq, w->instance.id);
}

/* Removes an orphan that has ended. Returns false if there is no such orphan. */
static bool
orphan_remove(struct own_worker *w, const struct agb_attempt *attempt)
{
	size_t i;

	for (i = 0; i < w->orphans.len; i++) {
		struct agb_attempt *const a = w->orphans.items[i];

		if (own_attempt_eq(a, attempt)) {
			own_vec_del(&w->orphans, a);
			free(a);
			return true;
		}
	}
	return false;
}

void
own_worker_on_session(struct agb_owner *o, agb_time now,
    const struct agb_ev_session *s, struct agb_effects *out)
{
	struct own_worker *const w = own_worker_find(o, s->worker);
	size_t i;

	if (w == NULL)
		return;
	if (w->stale_session) {
		w->stale_session = false;
		own_wake_at(o, now);
		return;
	}
	if (w->pending_call != OWN_CALL_SESSION || !own_serving(o))
		return;
	w->pending_call = OWN_CALL_NONE;
	if (s->status == AGB_WORKER_FENCED && s->epoch > o->epoch) {
		own_step_down(o, now, "a worker obeys a newer owner", out);
		return;
	}
	/* The worker has restarted while commands are in flight. They may have
	 * reached it before or after the restart, so wait for their answer. */
	if (s->status != AGB_WORKER_OK ||
	    (w->boot_id[0] != '\0' && strcmp(w->boot_id, s->boot) != 0 &&
		w->commands_tag != 0)) {
		call_failed(o, now, w);
		return;
	}
	call_answered(w, now);
	if (strcmp(w->boot_id, s->boot) != 0) {
		w->event_seq = 0;
		w->acked_seq = 0;
	}
	agb_str_copy(w->boot_id, sizeof(w->boot_id), s->boot);
	if (s->leaving)
		w->leaving = true;
	w->session_open = true;
	w->first_report_seen = false;
	w->epoch_accepted = true;
	w->next_call_at = now;
	own_wake_at(o, now);
	own_orphans_clear(w);
	for (i = 0; i < s->tasks_len; i++) {
		struct own_task *const t = own_task_find(o, s->tasks[i].task);

		if (t != NULL && t->worker == w &&
		    own_attempt_eq(&t->attempt, &s->tasks[i].attempt)) {
			t->reported = true;
			own_task_adopt(o, now, w, t, out);
		} else {
			orphan_add(o, w, &s->tasks[i], out);
		}
	}
	own_grant_reconcile(o, now, w, s->slots, s->slots_len, true, out);
	own_evidence_on_reboot(o, now, w, out);
	update_sched_state(o, now, w, out);
}

static void
apply_event(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_worker_event *e, struct agb_effects *out)
{
	struct own_task *const t = own_task_find(o, e->task);

	if (e->seq <= w->event_seq)
		return;
	w->event_seq = e->seq;
	if (t == NULL || t->worker != w ||
	    !own_attempt_eq(&t->attempt, &e->attempt)) {
		if (!e->started && orphan_remove(w, &e->attempt))
			update_sched_state(o, now, w, out);
		return;
	}
	if (e->started)
		own_task_started(o, now, t, out);
	else
		own_task_end(o, now, t, e->result, e->text, w, out);
}

static void
apply_usage(struct agb_owner *o, agb_time now, const struct own_worker *w,
    const struct agb_worker_usage *u, struct agb_effects *out)
{
	const struct own_task *const t = own_task_find(o, u->task);
	struct agb_sched_event ev = {.type = AGB_SCHED_USAGE};

	if (t == NULL || t->worker != w || t->state != OWN_TASK_RUNNING ||
	    t->job->sched_handle == AGB_SCHED_NONE)
		return;
	ev.worker = w->sched_handle;
	ev.job = t->job->sched_handle;
	ev.task = t->number;
	ev.attempt = t->attempt;
	ev.used = u->used;
	own_sched_step(o, now, &ev, out);
}

void
own_worker_on_renew(struct agb_owner *o, agb_time now,
    const struct agb_ev_renew *r, struct agb_effects *out)
{
	struct own_worker *const w = own_worker_find(o, r->worker);
	size_t i;

	if (w == NULL)
		return;
	if (w->stale_renew) {
		w->stale_renew = false;
		own_wake_at(o, now);
		return;
	}
	if (w->pending_call != OWN_CALL_RENEW || !own_serving(o))
		return;
	w->pending_call = OWN_CALL_NONE;
	if (r->status == AGB_WORKER_FENCED && r->epoch > o->epoch) {
		own_step_down(o, now, "a worker obeys a newer owner", out);
		return;
	}
	if (r->status != AGB_WORKER_OK) {
		call_failed(o, now, w);
		return;
	}
	call_answered(w, now);
	/* This comes before the events: the end of a task frees resources,
	 * which must not be used again on a worker that is leaving. */
	if (r->leaving)
		w->leaving = true;
	if (r->leaving ||
	    (w->sched_state == AGB_WORKER_SUSPECT &&
		w->renew_count > w->renews_before_pause))
		update_sched_state(o, now, w, out);
	for (i = 0; i < r->events_len; i++)
		apply_event(o, now, w, &r->events[i], out);
	for (i = 0; i < r->usage_len; i++)
		apply_usage(o, now, w, &r->usage[i], out);
	own_grant_reconcile(o, now, w, r->slots, r->slots_len, false, out);
	if (!w->first_report_seen) {
		w->first_report_seen = true;
		own_evidence_on_report(o, now, w, out);
	}
	/* An end is acknowledged only once it is durable. If this owner fails
	 * before that, the worker reports the end to the next one. */
	if (w->undurable_events == 0 && !own_command_stale_in_flight(o, w))
		w->acked_seq = w->event_seq;
	else
		w->next_call_at = now + RENEW_INTERVAL_UNDURABLE;
	own_wake_at(o, w->next_call_at);
}

/* A record of one of the worker's events is durable. */
void
own_worker_on_durable(struct agb_owner *o, agb_time now, struct own_worker *w)
{
	if (--w->undurable_events > 0 || own_command_stale_in_flight(o, w))
		return;
	w->acked_seq = w->event_seq;
	if (w->pending_call == OWN_CALL_NONE && w->session_open) {
		w->next_call_at = now;
		own_wake_at(o, now);
	}
}

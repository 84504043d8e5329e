#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* A worker whose agent answers renewals at once without news is not asked
 * more often than this. */
#define RENEW_EVERY_MIN (20 * AGB_MS)
/* Renewals while events wait for the store; well under the session TTL. */
#define RENEW_UNDURABLE (1 * AGB_SEC)
/* TTL of a call to a silent worker whose session has lapsed. */
#define PROBE_TTL_MS 500

void
own_session_call(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	const bool renew = w->answered;
	struct agb_effect *ef;
	uint32_t ttl = OWN_SESSION_TTL_MS;
	size_t i;

	/* A call to a silent worker must not extend its lease past the time
	 * at which it has certainly lapsed, or that time would never come. */
	if (w->failed_since != 0) {
		ttl = w->lease_until > now
		    ? (uint32_t)((w->lease_until - now) / AGB_MS)
		    : 0;
		ttl = ttl < PROBE_TTL_MS ? PROBE_TTL_MS : ttl;
	}
	ef = agb_effects_add(out, renew ? AGB_EF_RENEW : AGB_EF_SESSION);
	agb_name_set(
	    ef->u.worker.worker, sizeof(ef->u.worker.worker), w->inst.id);
	agb_name_set(ef->u.worker.address, sizeof(ef->u.worker.address),
	    w->inst.address);
	ef->u.worker.epoch = o->epoch;
	ef->u.worker.ttl_ms = ttl;
	w->call_ttl_ms = ttl;
	if (w->lease_until < now + ttl * AGB_MS)
		w->lease_until = now + ttl * AGB_MS;
	if (renew) {
		w->call = OWN_CALL_RENEW;
		w->renews++;
		agb_name_set(
		    ef->u.worker.boot, sizeof(ef->u.worker.boot), w->boot);
		ef->u.worker.after = w->acked;
		/* The first report after a takeover settles what became of
		 * tasks that the worker no longer runs. */
		ef->u.worker.wait_ms = w->checked ? OWN_RENEW_WAIT_MS : 0;
		w->call_at = now + RENEW_EVERY_MIN;
		return;
	}
	w->call = OWN_CALL_SESSION;
	for (i = 0; i < w->tasks.len; i++) {
		struct own_task *const t = w->tasks.items[i];

		t->in_list = false;
		t->expected =
		    t->state == OWN_TASK_RUNNING || t->state == OWN_TASK_HELD;
	}
}

static void
call_failed(struct agb_owner *o, agb_time now, struct own_worker *w)
{
	if (w->failed_since == 0)
		w->failed_since = now;
	/* A renewal may have been taken at any time while it was out. */
	if (w->answered && w->lease_until < now + w->call_ttl_ms * AGB_MS)
		w->lease_until = now + w->call_ttl_ms * AGB_MS;
	w->answered = false;
	w->call_at = now + own_backoff(o, &w->retry_ms) * AGB_MS;
	own_wake(o, w->call_at);
	own_wake(o, w->failed_since + OWN_SUSPECT_AFTER);
}

static void
call_answered(struct own_worker *w, agb_time now)
{
	const agb_time until = now + w->call_ttl_ms * AGB_MS;

	if (w->lease_until < until)
		w->lease_until = until;
	w->failed_since = 0;
	w->retry_ms = 0;
}

/* Placement sees the worker as live once nothing unknown runs on it. */
static void
live_again(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	enum agb_worker_state state = AGB_WORKER_LIVE;

	if (!w->answered || w->inst.state == AGB_INSTANCE_GONE)
		return;
	if (w->leaving || w->inst.state == AGB_INSTANCE_LEAVING)
		state = AGB_WORKER_LEAVING;
	else if (w->orphans.len > 0)
		state = w->told == AGB_WORKER_JOINING ? AGB_WORKER_JOINING
						      : AGB_WORKER_SUSPECT;
	own_sched_worker_state(o, now, w, state, out);
}

/* Stops a task that no job of ours runs there; its room stays taken until
 * the worker says that it has ended. */
static void
orphan_add(struct agb_owner *o, struct own_worker *w,
    const struct agb_worker_task *wt, struct agb_effects *out)
{
	struct agb_command stop = {
	    .kind = AGB_COMMAND_STOP, .attempt = wt->attempt};
	struct agb_attempt *const a = agb_xcalloc(1, sizeof(*a));

	*a = wt->attempt;
	own_vec_add(&w->orphans, a);
	agb_name_set(stop.task, sizeof(stop.task), wt->task);
	own_command_add(o, w, &stop);
	agb_effects_log(out, AGB_LOG_WARN, "stop",
	    "task=%s attempt=%llu-%llu worker=%s "
	    "reason=\"no job of this shard runs it\"",
	    wt->task, (unsigned long long)wt->attempt.epoch,
	    (unsigned long long)wt->attempt.seq, w->inst.id);
}

static bool
orphan_ended(struct own_worker *w, const struct agb_attempt *attempt)
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
own_worker_session(struct agb_owner *o, agb_time now,
    const struct agb_ev_session *s, struct agb_effects *out)
{
	struct own_worker *const w = own_worker_find(o, s->worker);
	size_t i;

	if (w == NULL)
		return;
	if (w->stale_session) {
		w->stale_session = false;
		own_wake(o, now);
		return;
	}
	if (w->call != OWN_CALL_SESSION || !own_serving(o))
		return;
	w->call = OWN_CALL_NONE;
	if (s->status == AGB_WORKER_FENCED && s->epoch > o->epoch) {
		own_drop(o, now, "a worker obeys a newer owner", out);
		return;
	}
	/* After a restart of the worker, wait for the answer to commands that
	 * are out: they may have reached it before or after. */
	if (s->status != AGB_WORKER_OK ||
	    (w->boot[0] != '\0' && strcmp(w->boot, s->boot) != 0 &&
		w->commands_tag != 0)) {
		call_failed(o, now, w);
		return;
	}
	call_answered(w, now);
	if (strcmp(w->boot, s->boot) != 0) {
		w->taken = 0;
		w->acked = 0;
	}
	agb_name_set(w->boot, sizeof(w->boot), s->boot);
	if (s->leaving)
		w->leaving = true;
	w->answered = true;
	w->checked = false;
	w->met = true;
	w->call_at = now;
	own_wake(o, now);
	own_orphans_clear(w);
	for (i = 0; i < s->tasks_len; i++) {
		struct own_task *const t = own_task_find(o, s->tasks[i].task);

		if (t != NULL && t->at == w &&
		    own_attempt_eq(&t->attempt, &s->tasks[i].attempt)) {
			t->in_list = true;
			own_task_adopt(o, now, w, t, out);
		} else {
			orphan_add(o, w, &s->tasks[i], out);
		}
	}
	own_grant_slots(o, now, w, s->slots, s->slots_len, true, out);
	own_evidence_rebooted(o, now, w, out);
	live_again(o, now, w, out);
}

static void
renew_event(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_worker_event *e, struct agb_effects *out)
{
	struct own_task *const t = own_task_find(o, e->task);

	if (e->seq <= w->taken)
		return;
	w->taken = e->seq;
	if (t == NULL || t->at != w ||
	    !own_attempt_eq(&t->attempt, &e->attempt)) {
		if (!e->started && orphan_ended(w, &e->attempt))
			live_again(o, now, w, out);
		return;
	}
	if (e->started)
		own_task_started(o, now, t, out);
	else
		own_task_end(o, now, t, e->result, e->text, w, out);
}

static void
renew_usage(struct agb_owner *o, agb_time now, const struct own_worker *w,
    const struct agb_worker_usage *u, struct agb_effects *out)
{
	const struct own_task *const t = own_task_find(o, u->task);
	struct agb_sched_event ev = {.type = AGB_SCHED_USAGE};

	if (t == NULL || t->at != w || t->state != OWN_TASK_RUNNING ||
	    t->job->handle == AGB_SCHED_NONE)
		return;
	ev.worker = w->handle;
	ev.job = t->job->handle;
	ev.task = t->n;
	ev.attempt = t->attempt;
	ev.used = u->used;
	own_sched_feed(o, now, &ev, out);
}

void
own_worker_renew(struct agb_owner *o, agb_time now,
    const struct agb_ev_renew *r, struct agb_effects *out)
{
	struct own_worker *const w = own_worker_find(o, r->worker);
	size_t i;

	if (w == NULL)
		return;
	if (w->stale_renew) {
		w->stale_renew = false;
		own_wake(o, now);
		return;
	}
	if (w->call != OWN_CALL_RENEW || !own_serving(o))
		return;
	w->call = OWN_CALL_NONE;
	if (r->status == AGB_WORKER_FENCED && r->epoch > o->epoch) {
		own_drop(o, now, "a worker obeys a newer owner", out);
		return;
	}
	if (r->status != AGB_WORKER_OK) {
		call_failed(o, now, w);
		return;
	}
	call_answered(w, now);
	/* Before the events: an end frees room that a leaving worker must
	 * not be given again. */
	if (r->leaving)
		w->leaving = true;
	if (r->leaving ||
	    (w->told == AGB_WORKER_SUSPECT && w->renews > w->stale_renews))
		live_again(o, now, w, out);
	for (i = 0; i < r->events_len; i++)
		renew_event(o, now, w, &r->events[i], out);
	for (i = 0; i < r->usage_len; i++)
		renew_usage(o, now, w, &r->usage[i], out);
	own_grant_slots(o, now, w, r->slots, r->slots_len, false, out);
	if (!w->checked) {
		w->checked = true;
		own_evidence_missing(o, now, w, out);
	}
	/* An end is acknowledged only once it is durable, so that the next
	 * owner hears of it again if this one dies before. */
	if (w->undurable == 0 && !own_command_outdated(o, w))
		w->acked = w->taken;
	else
		w->call_at = now + RENEW_UNDURABLE;
	own_wake(o, w->call_at);
}

void
own_worker_acked(struct agb_owner *o, agb_time now, struct own_worker *w)
{
	if (--w->undurable > 0 || own_command_outdated(o, w))
		return;
	w->acked = w->taken;
	if (w->call == OWN_CALL_NONE && w->answered) {
		w->call_at = now;
		own_wake(o, now);
	}
}

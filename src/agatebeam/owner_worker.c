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

static void
orphans_clear(struct own_worker *w)
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
	w->failed_since = 0;
	w->retry_ms = 0;
	w->call_at = 0;
	w->lease_until = 0;
	orphans_clear(w);
	w->tasks.len = 0;
	w->grants.len = 0;
	own_command_clear(w);
}

void
own_worker_free(struct own_worker *w)
{
	own_command_clear(w);
	orphans_clear(w);
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
	if (in->state == AGB_INSTANCE_GONE &&
	    was.state != AGB_INSTANCE_GONE) {
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
own_worker_list(struct agb_owner *o, agb_time now,
    const struct agb_ev_list *l, struct agb_effects *out)
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
call_send(struct agb_owner *o, agb_time now, struct own_worker *w,
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
		t->expected = t->state == OWN_TASK_RUNNING ||
		    t->state == OWN_TASK_HELD;
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

/* Ends the tasks of a worker that @pick names; the list changes meanwhile. */
static void
end_tasks(struct agb_owner *o, agb_time now, struct own_worker *w,
    bool (*pick)(const struct agb_owner *, agb_time, const struct own_worker *,
	const struct own_task *, enum agb_result *),
    struct agb_effects *out)
{
	enum agb_result result;
	size_t i = w->tasks.len;

	while (i-- > 0) {
		struct own_task *const t =
		    i < w->tasks.len ? w->tasks.items[i] : NULL;

		if (t == NULL || !pick(o, now, w, t, &result))
			continue;
		agb_effects_log(out, AGB_LOG_WARN, "evidence",
		    "job=%s task=%u attempt=%llu-%llu worker=%s result=%s",
		    t->job->id, t->n, (unsigned long long)t->attempt.epoch,
		    (unsigned long long)t->attempt.seq, w->inst.id,
		    result == AGB_RESULT_LOST ? "lost" : "not-started");
		own_task_end(o, now, t, result, NULL, NULL, out);
	}
}

/* The worker restarted: what it had been sent and no longer has is lost. */
static bool
pick_rebooted(const struct agb_owner *o, agb_time now,
    const struct own_worker *w, const struct own_task *t,
    enum agb_result *result)
{
	(void)o;
	(void)now;
	*result = AGB_RESULT_LOST;
	if (t->in_list)
		return false;
	if (t->state == OWN_TASK_HELD)
		return strcmp(t->boot, w->boot) != 0;
	return (t->state == OWN_TASK_RUNNING ||
		   t->state == OWN_TASK_STARTING) &&
	    t->sent && strcmp(t->boot, w->boot) != 0;
}

/*
 * The worker has answered the takeover and its first report with the same
 * memory as when the task was placed there, and names the task in neither.
 * Ended tasks are remembered until their end is acknowledged, and ends are
 * acknowledged only once durable, so the start of a held task never reached
 * it. It cannot arrive later either: the takeover raised the worker's epoch,
 * and a late start carries the older one and is refused.
 */
static bool
pick_missing(const struct agb_owner *o, agb_time now,
    const struct own_worker *w, const struct own_task *t,
    enum agb_result *result)
{
	(void)o;
	(void)now;
	(void)w;
	*result = t->state == OWN_TASK_HELD ? AGB_RESULT_NOT_STARTED
					    : AGB_RESULT_LOST;
	return t->expected && !t->in_list &&
	    (t->state == OWN_TASK_HELD || t->state == OWN_TASK_RUNNING);
}

static bool
pick_gone(const struct agb_owner *o, agb_time now, const struct own_worker *w,
    const struct own_task *t, enum agb_result *result)
{
	(void)o;
	(void)now;
	(void)w;
	*result = t->state == OWN_TASK_INTENT ? AGB_RESULT_NOT_STARTED
					      : AGB_RESULT_LOST;
	return true;
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
	w->answered = true;
	w->checked = false;
	w->met = true;
	w->call_at = now;
	own_wake(o, now);
	orphans_clear(w);
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
	end_tasks(o, now, w, pick_rebooted, out);
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
	if (r->leaving) {
		w->leaving = true;
		live_again(o, now, w, out);
	}
	for (i = 0; i < r->events_len; i++)
		renew_event(o, now, w, &r->events[i], out);
	for (i = 0; i < r->usage_len; i++)
		renew_usage(o, now, w, &r->usage[i], out);
	own_grant_slots(o, now, w, r->slots, r->slots_len, false, out);
	if (!w->checked) {
		w->checked = true;
		end_tasks(o, now, w, pick_missing, out);
	}
	/* An end is acknowledged only once it is durable, so that the next
	 * owner hears of it again if this one dies before. */
	if (w->undurable == 0)
		w->acked = w->taken;
	else
		w->call_at = now + RENEW_UNDURABLE;
	own_wake(o, w->call_at);
}

void
own_worker_acked(struct agb_owner *o, agb_time now, struct own_worker *w)
{
	if (--w->undurable > 0)
		return;
	w->acked = w->taken;
	if (w->call == OWN_CALL_NONE && w->answered) {
		w->call_at = now;
		own_wake(o, now);
	}
}

static const struct agb_env_class *
class_of(const struct agb_owner *o, const struct own_task *t)
{
	const uint16_t work = agb_env_work_find(o->env, t->job->work);

	return work != AGB_ENV_NONE
	    ? &o->env->classes[o->env->works[work].klass]
	    : NULL;
}

/*
 * Time from which silence proves that a task has stopped by itself, or
 * AGB_TIME_MAX. Only the owner that the worker has obeyed in this epoch can
 * count on it: before that, an older owner may be renewing the session.
 */
agb_time
own_silence_proves(const struct agb_owner *o, const struct own_worker *w,
    const struct own_task *t)
{
	const struct agb_env_class *const k = class_of(o, t);
	agb_time autonomy;

	if (!w->met || k == NULL || k->on_isolation != AGB_ISOLATION_STOP ||
	    t->state == OWN_TASK_INTENT)
		return AGB_TIME_MAX;
	autonomy = k->autonomy_ms * AGB_MS;
	return w->lease_until + autonomy + autonomy / 10 + OWN_SESSION_DRIFT;
}

static bool
pick_silent(const struct agb_owner *o, agb_time now,
    const struct own_worker *w, const struct own_task *t,
    enum agb_result *result)
{
	*result = AGB_RESULT_LOST;
	return now >= own_silence_proves(o, w, t);
}

/* Until when calls to a silent worker have to rest, because one that gets
 * through unanswered would start its clock anew; 0 when they need not. */
static agb_time
quiet_until(const struct agb_owner *o, agb_time now,
    const struct own_worker *w)
{
	agb_time until = 0, at;
	size_t i;

	if (w->failed_since == 0 || now < w->lease_until)
		return 0;
	for (i = 0; i < w->tasks.len; i++) {
		at = own_silence_proves(o, w, w->tasks.items[i]);
		if (at > now && at <= now + OWN_QUIET_MAX && at > until)
			until = at;
	}
	return until;
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
		end_tasks(o, now, w, pick_silent, out);
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
	end_tasks(o, now, w, pick_gone, out);
	own_grant_worker_gone(o, now, w, out);
	orphans_clear(w);
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
	    w->call == OWN_CALL_NONE && !w->stale_session &&
	    !w->stale_renew && w->commands_tag == 0 && !w->dirty;
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
	quiet = quiet_until(o, now, w);
	if (quiet > w->call_at)
		w->call_at = quiet;
	if (now < w->call_at)
		own_wake(o, w->call_at);
	else
		call_send(o, now, w, out);
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
			own_map_del(&o->worker_names, w->inst.id,
			    strlen(w->inst.id));
			own_list_del(&o->workers, w);
			own_worker_free(w);
		}
	}
}

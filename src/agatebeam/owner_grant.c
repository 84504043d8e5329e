#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* An entry instance must release a grant within this time after the deadline of
 * its request. A call between instances takes far less. */
#define RELEASE_MARGIN (2 * AGB_SEC)
/* Time to release the grant of a request without a deadline. */
#define RELEASE_TIMEOUT_DEFAULT (60 * AGB_SEC)
#define REVOKE_RETRY_INTERVAL (1 * AGB_SEC)
/* Idempotency keys kept at once, each for OWN_RETENTION; about 30 MB. */
#define KEYS_MAX 100000

static void
grant_reply(const struct agb_owner *o, uint64_t token,
    const struct own_grant *g, enum agb_outcome outcome, enum agb_reason reason,
    uint32_t retry_ms, const char *detail, struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	agb_x_grant_res *const r = &ef->u.rpc_res.agb_x_res_u.grant;

	ef->token = token;
	ef->u.rpc_res.proc = AGB_X_GRANT;
	r->env_version = o->env->version;
	r->granted = g != NULL;
	r->worker = agb_xstrdup(g != NULL ? g->worker->instance.id : "");
	r->runner = agb_xstrdup(g != NULL ? g->worker->instance.runner : "");
	if (g != NULL) {
		r->attempt.epoch = g->attempt.epoch;
		r->attempt.seq = g->attempt.seq;
	}
	r->outcome = (int)outcome;
	r->reason = (int)reason;
	r->retry_ms = retry_ms;
	r->detail = agb_xstrdup(detail);
}

/* Records for explain how a request ended. */
static void
add_past_grant(struct agb_owner *o, const char *request, const char *text)
{
	struct own_past_grant *const p =
	    &o->past_grants[o->past_grants_count++ % OWN_PAST_GRANTS];

	agb_str_copy(p->request, sizeof(p->request), request);
	agb_str_copy(p->text, sizeof(p->text), text);
}

static void
refuse_request(struct agb_owner *o, uint64_t token, const agb_x_grant_args *a,
    enum agb_outcome outcome, enum agb_reason reason, const char *detail,
    struct agb_effects *out)
{
	agb_effects_log(out, AGB_LOG_INFO, "deny",
	    "request=%s work=%s team=%s outcome=%s reason=%s", a->request,
	    a->work, a->team, agb_outcome_name(outcome),
	    agb_reason_name(reason));
	add_past_grant(o, a->request, detail);
	grant_reply(o, token, NULL, outcome, reason,
	    reason == AGB_REASON_ISOLATED ? 1000 : 0, detail, out);
}

/* Refuses a request whose idempotency key does not allow it to run. Returns
 * false if it was refused. */
static bool
accept_or_refuse_key(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_grant_args *a, struct agb_effects *out)
{
	const struct own_key *const k = own_key_find(o, a->team, a->key);

	if (k != NULL && k->ended && k->outcome == AGB_OUTCOME_RAN)
		refuse_request(o, token, a, AGB_OUTCOME_RAN,
		    AGB_REASON_DUPLICATE, "a request with this key has run",
		    out);
	else if (k != NULL)
		refuse_request(o, token, a, AGB_OUTCOME_UNKNOWN,
		    AGB_REASON_DUPLICATE,
		    k->ended ? "a request with this key may have run"
			     : "a request with this key is in flight",
		    out);
	else if (!own_lease_held(o, now))
		refuse_request(o, token, a, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_ISOLATED,
		    "the store cannot be reached to make the key unique", out);
	else if (o->keys.len >= KEYS_MAX)
		refuse_request(o, token, a, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_OVERLOAD, "too many keys are remembered", out);
	else
		return true;
	return false;
}

static struct own_grant *
grant_find(const struct agb_owner *o, uint64_t epoch, uint64_t seq)
{
	const struct agb_attempt a = {epoch, seq};

	return own_map_get(&o->grant_attempts, &a, sizeof(a));
}

static void release_attempt(struct agb_owner *o, agb_time now,
    const agb_x_release *r, struct agb_effects *out);

/*
 * Whether a lost attempt that an older owner granted has certainly ended. When
 * its worker accepts this epoch, it reports the attempts that its runner is busy
 * with; others cannot start any more. Without that report, the worker has to be
 * missing from the instance list until its session has expired. The worker of
 * an attempt that is not known here was missing since the election: a worker
 * that leaves the list stays known until its session has expired.
 */
static bool
older_attempt_ended(
    const struct agb_owner *o, agb_time now, const char *worker_id)
{
	const struct own_worker *const w = own_worker_find(o, worker_id);

	if (w == NULL)
		return o->have_list &&
		    now >= o->elected_at + OWN_SESSION_TTL_MS * AGB_MS +
			OWN_SESSION_MARGIN;
	return w->session_open || own_worker_expired(w, now);
}

/*
 * Releases the previous, lost attempt of a request if it still has a grant.
 * Returns whether that attempt has certainly ended, so that the next one cannot
 * run at the same time.
 */
static bool
release_previous_attempt(struct agb_owner *o, agb_time now,
    const agb_x_grant_args *a, struct agb_effects *out)
{
	const agb_x_release lost = {a->previous, AGB_RESULT_LOST};

	if (a->previous.epoch == 0)
		return true;
	if (grant_find(o, a->previous.epoch, a->previous.seq) != NULL) {
		release_attempt(o, now, &lost, out);
		return false;
	}
	return a->previous.epoch == o->epoch ||
	    older_attempt_ended(o, now, a->previous_worker);
}

void
own_grant_request(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_grant_args *a, struct agb_effects *out)
{
	const uint16_t work = agb_env_work_find(o->env, a->work);
	const uint16_t team = agb_env_team_find(o->env, a->team);
	struct agb_sched_event ev = {.type = AGB_SCHED_QUICK_REQUEST};
	uint32_t deadline_ms = a->deadline_ms;
	struct own_grant *g;

	if (work == AGB_ENV_NONE) {
		refuse_request(o, token, a, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_NO_SERVICE, "no such service in the document",
		    out);
		return;
	}
	if (team == AGB_ENV_NONE ||
	    (o->env->works[work].teams >> team & 1) == 0) {
		refuse_request(o, token, a, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_NOT_ALLOWED, "the team may not use this service",
		    out);
		return;
	}
	if (!release_previous_attempt(o, now, a, out)) {
		refuse_request(o, token, a, AGB_OUTCOME_UNKNOWN,
		    AGB_REASON_UPSTREAM_LOST, "its lost attempt may still run",
		    out);
		return;
	}
	if (a->key[0] != '\0' && !a->idempotent &&
	    !accept_or_refuse_key(o, now, token, a, out))
		return;
	if (deadline_ms == 0)
		deadline_ms = o->env->classes[o->env->works[work].class_index]
				  .deadline_ms;
	g = agb_xcalloc(1, sizeof(*g));
	g->sched_tag = ++o->last_tag;
	g->reply_token = token;
	agb_str_copy(g->request, sizeof(g->request), a->request);
	agb_str_copy(g->instance, sizeof(g->instance), a->instance);
	agb_str_copy(g->team, sizeof(g->team), a->team);
	agb_str_copy(g->work, sizeof(g->work), a->work);
	g->revoke_at = now +
	    (deadline_ms != 0 ? deadline_ms * AGB_MS + RELEASE_MARGIN
			      : RELEASE_TIMEOUT_DEFAULT);
	if (a->key[0] != '\0' && !a->idempotent) {
		g->key = own_key_new(o, a->team, a->key, NULL);
		g->key->created_at = now;
		g->key->has_grant = true;
	}
	own_indexed_add(&o->grants, g);
	own_map_put(&o->grant_tags, &g->sched_tag, sizeof(g->sched_tag), g);
	ev.tag = g->sched_tag;
	ev.work = work;
	ev.team = team;
	ev.idempotent = a->idempotent;
	ev.deadline =
	    deadline_ms != 0 ? now + deadline_ms * AGB_MS : AGB_TIME_MAX;
	own_sched_step(o, now, &ev, out);
}

static void
grant_free(struct agb_owner *o, struct own_grant *g)
{
	if (g->sched_tag != 0)
		own_map_del(
		    &o->grant_tags, &g->sched_tag, sizeof(g->sched_tag));
	if (g->attempt.epoch != 0)
		own_map_del(
		    &o->grant_attempts, &g->attempt, sizeof(g->attempt));
	if (g->worker != NULL)
		own_vec_del(&g->worker->grants, g);
	own_indexed_del(&o->grants, g);
	free(g);
}

/* Ends an attempt: frees its slot and sets the outcome of its key. */
static void
grant_end(struct agb_owner *o, agb_time now, struct own_grant *g,
    enum agb_result result, const char *why, struct agb_effects *out)
{
	/* The scheduler keeps the slot of a lost attempt occupied. Here the
	 * slot is known to be free, so it is told that the attempt stopped. */
	const struct agb_sched_event ev = {.type = AGB_SCHED_QUICK_DONE,
	    .attempt = g->attempt,
	    .result = result == AGB_RESULT_LOST ? AGB_RESULT_STOPPED : result};
	char text[160];

	agb_effects_log(out, AGB_LOG_INFO, "release",
	    "request=%s attempt=%" PRIu64 "-%" PRIu64
	    " worker=%s result=%d reason=\"%s\"",
	    g->request, g->attempt.epoch, g->attempt.seq,
	    g->worker->instance.id, (int)result, why);
	snprintf(text, sizeof(text), "ended on worker %s: %s",
	    g->worker->instance.id, why);
	add_past_grant(o, g->request, text);
	if (g->key != NULL) {
		g->key->has_grant = false;
		own_key_resolve(o, now, g->key, result);
		g->key = NULL;
	}
	if (g->state == OWN_GRANT_COMMITTING) {
		/* The record that is being written still refers to the grant. */
		g->ended = true;
		own_vec_del(&g->worker->grants, g);
		g->worker = NULL;
	}
	own_sched_step(o, now, &ev, out);
	if (!g->ended)
		grant_free(o, g);
}

/* Sends a grant to its caller. */
static void
send_grant(struct agb_owner *o, struct own_grant *g, struct agb_effects *out)
{
	g->state = OWN_GRANT_GRANTED;
	grant_reply(o, g->reply_token, g, AGB_OUTCOME_NOT_RUN, AGB_REASON_NONE,
	    0, "", out);
	own_wake_at(o, g->revoke_at);
}

void
own_grant_on_granted(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_grant *const g =
	    own_map_get(&o->grant_tags, &e->tag, sizeof(e->tag));
	struct own_worker *const w =
	    own_handle_get(&o->worker_handles, e->worker);
	agb_j_record rec = {.type = AGB_J_QUICK};
	agb_j_quick *const q = &rec.agb_j_record_u.quick;

	if (g == NULL || w == NULL || g->state != OWN_GRANT_QUEUED)
		return;
	g->attempt = e->attempt;
	g->worker = w;
	g->workers_considered = e->considered;
	own_vec_add(&w->grants, g);
	own_map_put(&o->grant_attempts, &g->attempt, sizeof(g->attempt), g);
	agb_effects_log(out, AGB_LOG_INFO, "grant",
	    "request=%s work=%s team=%s attempt=%" PRIu64 "-%" PRIu64
	    " worker=%s weighed=%u reason=\"%s\"",
	    g->request, g->work, g->team, e->attempt.epoch, e->attempt.seq,
	    w->instance.id, e->considered, e->detail);
	if (g->reply_token == 0) {
		grant_end(
		    o, now, g, AGB_RESULT_NOT_STARTED, "never given out", out);
		return;
	}
	if (g->key == NULL) {
		send_grant(o, g, out);
		return;
	}
	g->state = OWN_GRANT_COMMITTING;
	own_key_set_attempt(o, g->key, &g->attempt);
	agb_str_copy(
	    g->key->worker_id, sizeof(g->key->worker_id), w->instance.id);
	q->team = g->key->team;
	q->key = g->key->key;
	q->epoch = e->attempt.epoch;
	q->seq = e->attempt.seq;
	q->worker = g->key->worker_id;
	own_commit_add(o, now, &rec, OWN_WAITER_GRANT, g, 0);
	own_wake_at(o, g->revoke_at);
}

/* The record of the request's idempotency key is durable, so the grant may be
 * sent. */
void
own_grant_on_durable(struct agb_owner *o, agb_time now, struct own_grant *g,
    struct agb_effects *out)
{
	if (!g->ended && g->reply_token == 0) {
		/* The caller has meanwhile been told that it did not run. */
		g->key->durable = true;
		g->state = OWN_GRANT_GRANTED;
		grant_end(
		    o, now, g, AGB_RESULT_NOT_STARTED, "never given out", out);
		return;
	}
	if (g->ended) {
		if (g->reply_token != 0)
			grant_reply(o, g->reply_token, NULL,
			    AGB_OUTCOME_NOT_RUN, AGB_REASON_WORKER_LOST, 0,
			    "the worker was lost before the grant was given",
			    out);
		grant_free(o, g);
		return;
	}
	g->key->durable = true;
	send_grant(o, g, out);
}

void
own_grant_on_denied(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_grant *const g =
	    own_map_get(&o->grant_tags, &e->tag, sizeof(e->tag));

	(void)now;
	if (g == NULL || g->state != OWN_GRANT_QUEUED)
		return;
	agb_effects_log(out, AGB_LOG_INFO, "deny",
	    "request=%s work=%s team=%s outcome=%s reason=%s weighed=%u "
	    "detail=\"%s\"",
	    g->request, g->work, g->team, agb_outcome_name(e->outcome),
	    agb_reason_name(e->reason), e->considered, e->detail);
	add_past_grant(o, g->request, e->detail);
	if (g->reply_token != 0)
		grant_reply(o, g->reply_token, NULL, e->outcome, e->reason,
		    e->retry_ms, e->detail, out);
	if (g->key != NULL)
		own_key_delete(o, g->key);
	grant_free(o, g);
}

/* Asks the worker to refuse the attempt from now on, or to report that its
 * runner is busy with it. */
static void
send_revoke(struct agb_owner *o, agb_time now, struct own_grant *g,
    const char *why, struct agb_effects *out)
{
	struct agb_command c = {
	    .kind = AGB_COMMAND_REVOKE, .attempt = g->attempt};

	agb_effects_log(out, AGB_LOG_INFO, "revoke",
	    "request=%s attempt=%" PRIu64 "-%" PRIu64
	    " worker=%s instance=%s reason=\"%s\"",
	    g->request, g->attempt.epoch, g->attempt.seq,
	    g->worker->instance.id, g->instance, why);
	g->state = OWN_GRANT_REVOKING;
	g->revoke_at = now + REVOKE_RETRY_INTERVAL;
	own_command_add(o, g->worker, &c);
}

static void
release_attempt(struct agb_owner *o, agb_time now, const agb_x_release *r,
    struct agb_effects *out)
{
	const struct agb_attempt a = {r->attempt.epoch, r->attempt.seq};
	const enum agb_result result = (enum agb_result)r->result;
	struct own_grant *const g = grant_find(o, a.epoch, a.seq);
	struct own_key *const k = own_map_get(&o->key_attempts, &a, sizeof(a));

	if (g == NULL || g->ended) {
		/* Granted by an earlier owner, or revoked meanwhile. */
		if (k != NULL && !k->has_grant)
			own_key_resolve(o, now, k, result);
		return;
	}
	if (g->state == OWN_GRANT_COMMITTING)
		return;
	if (result == AGB_RESULT_LOST) {
		/* The runner may still be busy with it, so only the worker's
		 * report can free the slot. */
		const struct agb_sched_event ev = {.type = AGB_SCHED_QUICK_DONE,
		    .attempt = a,
		    .result = result};

		own_sched_step(o, now, &ev, out);
		if (g->key != NULL)
			own_key_resolve(o, now, g->key, result);
		if (g->state == OWN_GRANT_GRANTED)
			send_revoke(o, now, g,
			    "its entry instance reported it lost", out);
		return;
	}
	if (g->key == NULL && k != NULL)
		own_key_resolve(o, now, k, result);
	grant_end(o, now, g, result, "released by its entry instance", out);
}

void
own_grant_release(struct agb_owner *o, agb_time now,
    const agb_x_release_args *a, struct agb_effects *out)
{
	u_int i;

	for (i = 0; i < a->items.items_len; i++)
		release_attempt(o, now, &a->items.items_val[i], out);
}

void
own_grant_on_revoked(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_command_result *r, struct agb_effects *out)
{
	struct own_grant *const g =
	    grant_find(o, r->attempt.epoch, r->attempt.seq);

	if (g == NULL || g->worker != w || g->state != OWN_GRANT_REVOKING)
		return;
	if (r->busy) {
		g->state = OWN_GRANT_BUSY;
		g->renews_before_busy = w->renew_count;
		return;
	}
	if (r->ok) {
		/* It cannot run any more, but may have run before. */
		grant_end(o, now, g, AGB_RESULT_LOST,
		    "revoked; the runner is not busy with it", out);
		return;
	}
	g->state = OWN_GRANT_GRANTED;
	own_wake_at(o, g->revoke_at);
}

static bool
slots_contain(
    const struct own_grant *g, const struct agb_attempt *slots, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (own_attempt_eq(&slots[i], &g->attempt))
			return true;
	}
	return false;
}

static void
adopt_slot(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_attempt *a, struct agb_effects *out)
{
	struct agb_sched_event ev = {.type = AGB_SCHED_QUICK_ADOPT};
	struct own_grant *const g = agb_xcalloc(1, sizeof(*g));
	struct own_key *const k = own_map_get(&o->key_attempts, a, sizeof(*a));

	g->state = OWN_GRANT_BUSY;
	g->attempt = *a;
	g->worker = w;
	g->renews_before_busy = w->renew_count;
	agb_str_copy(g->work, sizeof(g->work), w->instance.service);
	if (k != NULL && !k->ended) {
		g->key = k;
		k->has_grant = true;
	}
	own_indexed_add(&o->grants, g);
	own_vec_add(&w->grants, g);
	own_map_put(&o->grant_attempts, &g->attempt, sizeof(g->attempt), g);
	agb_effects_log(out, AGB_LOG_INFO, "adopt",
	    "attempt=%" PRIu64 "-%" PRIu64 " worker=%s service=%s", a->epoch,
	    a->seq, w->instance.id, w->instance.service);
	ev.worker = w->sched_handle;
	ev.attempt = *a;
	ev.work = agb_env_work_find(o->env, w->instance.service);
	own_sched_step(o, now, &ev, out);
}

/*
 * Reconciles the grants of a worker with the attempts that its runner reports
 * to be busy with.
 * In the answer to a session call, busy attempts that an older owner granted
 * are adopted. Those that are not reported cannot start any more, since the
 * runner refuses older epochs.
 * In the answer to a renewal, a busy grant that is not reported has ended,
 * provided that the renewal was sent after the grant was found busy.
 * @session: the report is from a session call
 */
void
own_grant_reconcile(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_attempt *slots, size_t len, bool session,
    struct agb_effects *out)
{
	size_t i;

	if (session) {
		for (i = 0; i < len; i++) {
			if (slots[i].epoch != o->epoch &&
			    grant_find(o, slots[i].epoch, slots[i].seq) == NULL)
				adopt_slot(o, now, w, &slots[i], out);
		}
		return;
	}
	i = w->grants.len;
	while (i-- > 0) {
		struct own_grant *const g =
		    i < w->grants.len ? w->grants.items[i] : NULL;

		if (g != NULL && g->state == OWN_GRANT_BUSY &&
		    w->renew_count > g->renews_before_busy &&
		    !slots_contain(g, slots, len))
			grant_end(o, now, g, AGB_RESULT_LOST,
			    "the runner is no longer busy with it", out);
	}
}

void
own_grant_on_worker_gone(struct agb_owner *o, agb_time now,
    struct own_worker *w, struct agb_effects *out)
{
	while (w->grants.len > 0) {
		struct own_grant *const g = w->grants.items[w->grants.len - 1];

		grant_end(o, now, g,
		    g->state == OWN_GRANT_COMMITTING ? AGB_RESULT_NOT_STARTED
						     : AGB_RESULT_LOST,
		    "the worker is gone", out);
	}
}

/* Revokes grants whose entry instance has not released them in time. */
void
own_grant_sweep(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	size_t i;

	if (!own_serving(o))
		return;
	for (i = 0; i < o->grants.len; i++) {
		struct own_grant *const g = o->grants.items[i];

		if (g->state != OWN_GRANT_GRANTED)
			continue;
		if (now >= g->revoke_at)
			send_revoke(o, now, g, "not released in time", out);
		else
			own_wake_at(o, g->revoke_at);
	}
}

/* The use of the key cannot be made durable, since the store cannot be reached.
 * The grant has not been sent to the caller, so the request has not run. */
void
own_grant_on_isolated(
    struct agb_owner *o, struct own_grant *g, struct agb_effects *out)
{
	if (g->reply_token == 0)
		return;
	grant_reply(o, g->reply_token, NULL, AGB_OUTCOME_NOT_RUN,
	    AGB_REASON_ISOLATED, 1000,
	    "the store cannot be reached to make the key unique", out);
	g->reply_token = 0;
}

/* Refuses all callers that wait for a grant, when this instance stops to serve.
 * None of them has received a grant, so none of their requests can have run. */
void
own_grant_refuse_waiting(struct agb_owner *o, enum agb_reason reason,
    const char *why, struct agb_effects *out)
{
	size_t i;

	for (i = 0; i < o->grants.len; i++) {
		struct own_grant *const g = o->grants.items[i];

		if ((g->state != OWN_GRANT_QUEUED &&
			g->state != OWN_GRANT_COMMITTING) ||
		    g->reply_token == 0)
			continue;
		grant_reply(o, g->reply_token, NULL, AGB_OUTCOME_NOT_RUN,
		    reason, 200, why, out);
		g->reply_token = 0;
	}
}

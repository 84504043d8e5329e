#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* Time after a request's deadline at which its entry instance must have
 * released the grant; a call between instances takes far less. */
#define RELEASE_MARGIN (2 * AGB_SEC)
/* The same for a request without a deadline. */
#define RELEASE_DEFAULT (60 * AGB_SEC)
#define REVOKE_RETRY (1 * AGB_SEC)
/* Keys remembered for 10 minutes; about 30 MB. */
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
	r->worker = agb_xstrdup(g != NULL ? g->worker->inst.id : "");
	r->runner = agb_xstrdup(g != NULL ? g->worker->inst.runner : "");
	if (g != NULL) {
		r->attempt.epoch = g->attempt.epoch;
		r->attempt.seq = g->attempt.seq;
	}
	r->outcome = (int)outcome;
	r->reason = (int)reason;
	r->retry_ms = retry_ms;
	r->detail = agb_xstrdup(detail);
}

static void
remember(struct agb_owner *o, const char *request, const char *text)
{
	struct own_past *const p = &o->past[o->past_next++ % OWN_PAST_GRANTS];

	agb_name_set(p->request, sizeof(p->request), request);
	agb_name_set(p->text, sizeof(p->text), text);
}

static void
refuse(struct agb_owner *o, uint64_t token, const agb_x_grant_args *a,
    enum agb_outcome outcome, enum agb_reason reason, const char *detail,
    struct agb_effects *out)
{
	agb_effects_log(out, AGB_LOG_INFO, "deny",
	    "request=%s work=%s team=%s outcome=%s reason=%s", a->request,
	    a->work, a->team, agb_outcome_name(outcome),
	    agb_reason_name(reason));
	remember(o, a->request, detail);
	grant_reply(o, token, NULL, outcome, reason,
	    reason == AGB_REASON_ISOLATED ? 1000 : 0, detail, out);
}

/* Whether the request's key lets it run; answers it when it does not. */
static bool
key_admits(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_grant_args *a, struct agb_effects *out)
{
	const struct own_key *const k = own_key_find(o, a->team, a->key);

	if (k != NULL && k->ended && k->outcome == AGB_RAN)
		refuse(o, token, a, AGB_RAN, AGB_REASON_DUPLICATE,
		    "a request with this key has run", out);
	else if (k != NULL)
		refuse(o, token, a, AGB_UNKNOWN, AGB_REASON_DUPLICATE,
		    k->ended ? "a request with this key may have run"
			     : "a request with this key is in flight",
		    out);
	else if (!own_leased(o, now))
		refuse(o, token, a, AGB_NOT_RUN, AGB_REASON_ISOLATED,
		    "the store cannot be reached to make the key unique", out);
	else if (o->keys.len >= KEYS_MAX)
		refuse(o, token, a, AGB_NOT_RUN, AGB_REASON_OVERLOAD,
		    "too many keys are remembered", out);
	else
		return true;
	return false;
}

static struct own_grant *
grant_of(const struct agb_owner *o, uint64_t epoch, uint64_t seq)
{
	const struct agb_attempt a = {epoch, seq};

	return own_map_get(&o->grant_attempts, &a, sizeof(a));
}

static void release_one(struct agb_owner *o, agb_time now,
    const agb_x_release *r, struct agb_effects *out);

/*
 * Whether the lost attempt of a request has certainly ended, so that the next
 * one does not run beside it. An attempt of an older epoch that its worker has
 * not named at the takeover can no longer start.
 */
static bool
previous_ended(struct agb_owner *o, agb_time now, const agb_x_grant_args *a,
    struct agb_effects *out)
{
	const agb_x_release lost = {a->previous, AGB_RESULT_LOST};
	const struct own_worker *w;

	if (a->previous.epoch == 0)
		return true;
	if (grant_of(o, a->previous.epoch, a->previous.seq) != NULL) {
		release_one(o, now, &lost, out);
		return false;
	}
	if (a->previous.epoch == o->epoch)
		return true;
	w = own_worker_find(o, a->previous_worker);
	return w == NULL || w->answered;
}

void
own_grant_ask(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_grant_args *a, struct agb_effects *out)
{
	const uint16_t work = agb_env_work_find(o->env, a->work);
	const uint16_t team = agb_env_team_find(o->env, a->team);
	struct agb_sched_event ev = {.type = AGB_SCHED_QUICK_REQUEST};
	uint32_t deadline_ms = a->deadline_ms;
	struct own_grant *g;

	if (work == AGB_ENV_NONE) {
		refuse(o, token, a, AGB_NOT_RUN, AGB_REASON_NO_SERVICE,
		    "no such service in the document", out);
		return;
	}
	if (team == AGB_ENV_NONE ||
	    (o->env->works[work].teams >> team & 1) == 0) {
		refuse(o, token, a, AGB_NOT_RUN, AGB_REASON_NOT_ALLOWED,
		    "the team may not use this service", out);
		return;
	}
	if (!previous_ended(o, now, a, out)) {
		refuse(o, token, a, AGB_UNKNOWN, AGB_REASON_UPSTREAM_LOST,
		    "its lost attempt may still run", out);
		return;
	}
	if (a->key[0] != '\0' && !a->idempotent &&
	    !key_admits(o, now, token, a, out))
		return;
	if (deadline_ms == 0)
		deadline_ms =
		    o->env->classes[o->env->works[work].klass].deadline_ms;
	g = agb_xcalloc(1, sizeof(*g));
	g->tag = ++o->serial;
	g->token = token;
	agb_name_set(g->request, sizeof(g->request), a->request);
	agb_name_set(g->instance, sizeof(g->instance), a->instance);
	agb_name_set(g->team, sizeof(g->team), a->team);
	agb_name_set(g->work, sizeof(g->work), a->work);
	g->revoke_at = now +
	    (deadline_ms != 0 ? deadline_ms * AGB_MS + RELEASE_MARGIN
			      : RELEASE_DEFAULT);
	if (a->key[0] != '\0' && !a->idempotent) {
		g->dedup = own_key_new(o, a->team, a->key, NULL);
		g->dedup->at = now;
		g->dedup->held = true;
	}
	own_list_add(&o->grants, g);
	own_map_put(&o->grant_tags, &g->tag, sizeof(g->tag), g);
	ev.tag = g->tag;
	ev.work = work;
	ev.team = team;
	ev.idempotent = a->idempotent;
	ev.deadline =
	    deadline_ms != 0 ? now + deadline_ms * AGB_MS : AGB_TIME_MAX;
	own_sched_feed(o, now, &ev, out);
}

static void
grant_free(struct agb_owner *o, struct own_grant *g)
{
	if (g->tag != 0)
		own_map_del(&o->grant_tags, &g->tag, sizeof(g->tag));
	if (g->attempt.epoch != 0)
		own_map_del(
		    &o->grant_attempts, &g->attempt, sizeof(g->attempt));
	if (g->worker != NULL)
		own_vec_del(&g->worker->grants, g);
	own_list_del(&o->grants, g);
	free(g);
}

/* The attempt has ended: its slot returns and its key is settled. */
static void
grant_end(struct agb_owner *o, agb_time now, struct own_grant *g,
    enum agb_result result, const char *why, struct agb_effects *out)
{
	/* Placement keeps the slot of a lost attempt; here the slot is free,
	 * whatever became of the request. */
	const struct agb_sched_event ev = {.type = AGB_SCHED_QUICK_DONE,
	    .attempt = g->attempt,
	    .result = result == AGB_RESULT_LOST ? AGB_RESULT_STOPPED : result};
	char text[160];

	agb_effects_log(out, AGB_LOG_INFO, "release",
	    "request=%s attempt=%" PRIu64 "-%" PRIu64
	    " worker=%s result=%d reason=\"%s\"",
	    g->request, g->attempt.epoch, g->attempt.seq, g->worker->inst.id,
	    (int)result, why);
	snprintf(text, sizeof(text), "ended on worker %s: %s",
	    g->worker->inst.id, why);
	remember(o, g->request, text);
	if (g->dedup != NULL) {
		g->dedup->held = false;
		own_key_resolve(o, now, g->dedup, result);
		g->dedup = NULL;
	}
	if (g->state == OWN_GRANT_COMMIT) {
		/* Its record points here until it is durable. */
		g->dead = true;
		own_vec_del(&g->worker->grants, g);
		g->worker = NULL;
	}
	own_sched_feed(o, now, &ev, out);
	if (!g->dead)
		grant_free(o, g);
}

static void
give(struct agb_owner *o, struct own_grant *g, struct agb_effects *out)
{
	g->state = OWN_GRANT_GIVEN;
	grant_reply(o, g->token, g, AGB_NOT_RUN, AGB_REASON_NONE, 0, "", out);
	own_wake(o, g->revoke_at);
}

void
own_grant_given(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_grant *const g =
	    own_map_get(&o->grant_tags, &e->tag, sizeof(e->tag));
	struct own_worker *const w =
	    own_handle_get(&o->worker_handles, e->worker);
	agb_j_record rec = {.type = AGB_J_QUICK};
	agb_j_quick *const q = &rec.agb_j_record_u.quick;

	if (g == NULL || w == NULL || g->state != OWN_GRANT_ASKED)
		return;
	g->attempt = e->attempt;
	g->worker = w;
	g->weighed = e->considered;
	own_vec_add(&w->grants, g);
	own_map_put(&o->grant_attempts, &g->attempt, sizeof(g->attempt), g);
	agb_effects_log(out, AGB_LOG_INFO, "grant",
	    "request=%s work=%s team=%s attempt=%" PRIu64 "-%" PRIu64
	    " worker=%s weighed=%u reason=\"%s\"",
	    g->request, g->work, g->team, e->attempt.epoch, e->attempt.seq,
	    w->inst.id, e->considered, e->detail);
	if (g->token == 0) {
		grant_end(
		    o, now, g, AGB_RESULT_NOT_STARTED, "never given out", out);
		return;
	}
	if (g->dedup == NULL) {
		give(o, g, out);
		return;
	}
	g->state = OWN_GRANT_COMMIT;
	own_key_attempt(o, g->dedup, &g->attempt);
	agb_name_set(g->dedup->worker, sizeof(g->dedup->worker), w->inst.id);
	q->team = g->dedup->team;
	q->key = g->dedup->key;
	q->epoch = e->attempt.epoch;
	q->seq = e->attempt.seq;
	q->worker = g->dedup->worker;
	own_commit_add(o, now, &rec, OWN_WAIT_GRANT, g, 0);
	own_wake(o, g->revoke_at);
}

/* The intent of a keyed request is durable. */
void
own_grant_durable(struct agb_owner *o, agb_time now, struct own_grant *g,
    struct agb_effects *out)
{
	if (!g->dead && g->token == 0) {
		/* Its caller has been told not-run meanwhile. */
		g->dedup->durable = true;
		g->state = OWN_GRANT_GIVEN;
		grant_end(
		    o, now, g, AGB_RESULT_NOT_STARTED, "never given out", out);
		return;
	}
	if (g->dead) {
		if (g->token != 0)
			grant_reply(o, g->token, NULL, AGB_NOT_RUN,
			    AGB_REASON_WORKER_LOST, 0,
			    "the worker was lost before the grant was given",
			    out);
		grant_free(o, g);
		return;
	}
	g->dedup->durable = true;
	give(o, g, out);
}

void
own_grant_denied(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_grant *const g =
	    own_map_get(&o->grant_tags, &e->tag, sizeof(e->tag));

	(void)now;
	if (g == NULL || g->state != OWN_GRANT_ASKED)
		return;
	agb_effects_log(out, AGB_LOG_INFO, "deny",
	    "request=%s work=%s team=%s outcome=%s reason=%s weighed=%u "
	    "detail=\"%s\"",
	    g->request, g->work, g->team, agb_outcome_name(e->outcome),
	    agb_reason_name(e->reason), e->considered, e->detail);
	remember(o, g->request, e->detail);
	if (g->token != 0)
		grant_reply(o, g->token, NULL, e->outcome, e->reason,
		    e->retry_ms, e->detail, out);
	if (g->dedup != NULL)
		own_key_delete(o, g->dedup);
	grant_free(o, g);
}

/* Asks the worker to refuse an attempt for good, or to say it is busy. */
static void
ask_revoke(struct agb_owner *o, agb_time now, struct own_grant *g,
    const char *why, struct agb_effects *out)
{
	struct agb_command c = {
	    .kind = AGB_COMMAND_REVOKE, .attempt = g->attempt};

	agb_effects_log(out, AGB_LOG_INFO, "revoke",
	    "request=%s attempt=%" PRIu64 "-%" PRIu64
	    " worker=%s instance=%s reason=\"%s\"",
	    g->request, g->attempt.epoch, g->attempt.seq, g->worker->inst.id,
	    g->instance, why);
	g->state = OWN_GRANT_REVOKED;
	g->revoke_at = now + REVOKE_RETRY;
	own_command_add(o, g->worker, &c);
}

static void
release_one(struct agb_owner *o, agb_time now, const agb_x_release *r,
    struct agb_effects *out)
{
	const struct agb_attempt a = {r->attempt.epoch, r->attempt.seq};
	const enum agb_result result = (enum agb_result)r->result;
	struct own_grant *const g = grant_of(o, a.epoch, a.seq);
	struct own_key *const k = own_map_get(&o->key_attempts, &a, sizeof(a));

	if (g == NULL || g->dead) {
		/* A grant of an earlier owner, or one revoked meanwhile. */
		if (k != NULL && !k->held)
			own_key_resolve(o, now, k, result);
		return;
	}
	if (g->state == OWN_GRANT_COMMIT)
		return;
	if (result == AGB_RESULT_LOST) {
		/* The runner may still be busy with it: only the worker can
		 * give the slot back. */
		const struct agb_sched_event ev = {.type = AGB_SCHED_QUICK_DONE,
		    .attempt = a,
		    .result = result};

		own_sched_feed(o, now, &ev, out);
		if (g->dedup != NULL)
			own_key_resolve(o, now, g->dedup, result);
		if (g->state == OWN_GRANT_GIVEN)
			ask_revoke(
			    o, now, g, "the entry instance lost it", out);
		return;
	}
	if (g->dedup == NULL && k != NULL)
		own_key_resolve(o, now, k, result);
	grant_end(o, now, g, result, "released by its entry instance", out);
}

void
own_grant_release(struct agb_owner *o, agb_time now,
    const agb_x_release_args *a, struct agb_effects *out)
{
	u_int i;

	for (i = 0; i < a->items.items_len; i++)
		release_one(o, now, &a->items.items_val[i], out);
}

void
own_grant_revoked(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_command_result *r, struct agb_effects *out)
{
	struct own_grant *const g =
	    grant_of(o, r->attempt.epoch, r->attempt.seq);

	if (g == NULL || g->worker != w || g->state != OWN_GRANT_REVOKED)
		return;
	if (r->busy) {
		g->state = OWN_GRANT_BUSY;
		g->busy_since = w->renews;
		return;
	}
	if (r->ok) {
		/* It will not run from now on; whether it ran before is not
		 * known. */
		grant_end(o, now, g, AGB_RESULT_LOST,
		    "revoked; the runner is not busy with it", out);
		return;
	}
	g->state = OWN_GRANT_GIVEN;
	own_wake(o, g->revoke_at);
}

static bool
in_slots(const struct own_grant *g, const struct agb_attempt *slots, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (own_attempt_eq(&slots[i], &g->attempt))
			return true;
	}
	return false;
}

static void
adopt(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_attempt *a, struct agb_effects *out)
{
	struct agb_sched_event ev = {.type = AGB_SCHED_QUICK_ADOPT};
	struct own_grant *const g = agb_xcalloc(1, sizeof(*g));
	struct own_key *const k = own_map_get(&o->key_attempts, a, sizeof(*a));

	g->state = OWN_GRANT_BUSY;
	g->attempt = *a;
	g->worker = w;
	g->busy_since = w->renews;
	agb_name_set(g->work, sizeof(g->work), w->inst.service);
	if (k != NULL && !k->ended) {
		g->dedup = k;
		k->held = true;
	}
	own_list_add(&o->grants, g);
	own_vec_add(&w->grants, g);
	own_map_put(&o->grant_attempts, &g->attempt, sizeof(g->attempt), g);
	agb_effects_log(out, AGB_LOG_INFO, "adopt",
	    "attempt=%" PRIu64 "-%" PRIu64 " worker=%s service=%s", a->epoch,
	    a->seq, w->inst.id, w->inst.service);
	ev.worker = w->handle;
	ev.attempt = *a;
	ev.work = agb_env_work_find(o->env, w->inst.service);
	own_sched_feed(o, now, &ev, out);
}

/*
 * Compares the attempts that a runner is busy with with the grants. What a
 * takeover finds busy is adopted. What an older owner granted and the runner
 * does not name cannot start any more: the runner refuses older epochs. An
 * adopted or revoked grant ends once a report that was asked for after it
 * was known to be busy does not name it.
 */
void
own_grant_slots(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_attempt *slots, size_t len, bool session,
    struct agb_effects *out)
{
	size_t i;

	if (session) {
		for (i = 0; i < len; i++) {
			if (slots[i].epoch != o->epoch &&
			    grant_of(o, slots[i].epoch, slots[i].seq) == NULL)
				adopt(o, now, w, &slots[i], out);
		}
		return;
	}
	i = w->grants.len;
	while (i-- > 0) {
		struct own_grant *const g =
		    i < w->grants.len ? w->grants.items[i] : NULL;

		if (g != NULL && g->state == OWN_GRANT_BUSY &&
		    w->renews > g->busy_since && !in_slots(g, slots, len))
			grant_end(o, now, g, AGB_RESULT_LOST,
			    "the runner is no longer busy with it", out);
	}
}

void
own_grant_worker_gone(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	while (w->grants.len > 0) {
		struct own_grant *const g = w->grants.items[w->grants.len - 1];

		grant_end(o, now, g,
		    g->state == OWN_GRANT_COMMIT ? AGB_RESULT_NOT_STARTED
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

		if (g->state != OWN_GRANT_GIVEN)
			continue;
		if (now >= g->revoke_at)
			ask_revoke(o, now, g, "not released in time", out);
		else
			own_wake(o, g->revoke_at);
	}
}

/* The store cannot be reached to make the key's use durable. The grant has
 * not been given out, so the request has not run. */
void
own_grant_isolated(
    struct agb_owner *o, struct own_grant *g, struct agb_effects *out)
{
	if (g->token == 0)
		return;
	grant_reply(o, g->token, NULL, AGB_NOT_RUN, AGB_REASON_ISOLATED, 1000,
	    "the store cannot be reached to make the key unique", out);
	g->token = 0;
}

/* Answers all that wait for a grant when the role ends. None of them has
 * been given a grant, so none can have run. */
void
own_grant_drop(struct agb_owner *o, enum agb_reason reason, const char *why,
    struct agb_effects *out)
{
	size_t i;

	for (i = 0; i < o->grants.len; i++) {
		struct own_grant *const g = o->grants.items[i];

		if ((g->state != OWN_GRANT_ASKED &&
			g->state != OWN_GRANT_COMMIT) ||
		    g->token == 0)
			continue;
		grant_reply(
		    o, g->token, NULL, AGB_NOT_RUN, reason, 200, why, out);
		g->token = 0;
	}
}

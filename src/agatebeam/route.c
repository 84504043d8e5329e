#include "route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "proto.h"
#include "route_internal.h"

/* Pause before it is asked again whether a lost attempt has ended. */
#define LOST_RETRY (50 * AGB_MS)
/* An owner answers within the deadline; the margin covers the way back. */
#define ASK_MARGIN_MS 250

struct agb_route *
agb_route_new(const struct agb_route_config *cfg)
{
	struct agb_route *const r = agb_xcalloc(1, sizeof(*r));

	r->cfg = *cfg;
	r->next_wake = AGB_TIME_MAX;
	r->rng[0] = (unsigned short)cfg->seed;
	r->rng[1] = (unsigned short)(cfg->seed >> 16);
	r->rng[2] = (unsigned short)(cfg->seed >> 32);
	return r;
}

void
agb_route_free(struct agb_route *r)
{
	struct route_call *c, *cnext;
	struct route_ask *a, *anext;
	struct route_budget *b, *bnext;

	if (r == NULL)
		return;
	c = r->calls;
	HASH_CLEAR(hh, r->calls);
	for (; c != NULL; c = cnext) {
		cnext = c->hh.next;
		route_call_free(c);
	}
	a = r->asks;
	HASH_CLEAR(hh, r->asks);
	for (; a != NULL; a = anext) {
		anext = a->hh.next;
		free(a);
	}
	b = r->budgets;
	HASH_CLEAR(hh, r->budgets);
	for (; b != NULL; b = bnext) {
		bnext = b->hh.next;
		free(b);
	}
	route_release_free(r);
	free(r);
}

uint64_t
route_tag(struct agb_route *r)
{
	return AGB_TAG(AGB_TAG_ROUTE, ++r->next_tag);
}

int
route_status_code(enum agb_reason reason)
{
	switch (reason) {
	case AGB_REASON_BAD_REQUEST:
		return 400;
	case AGB_REASON_BAD_CREDENTIAL:
		return 401;
	case AGB_REASON_NOT_ALLOWED:
		return 403;
	case AGB_REASON_NO_SERVICE:
	case AGB_REASON_NOT_FOUND:
		return 404;
	case AGB_REASON_DUPLICATE:
	case AGB_REASON_CANCELLED:
		return 409;
	case AGB_REASON_NEVER_FITS:
		return 422;
	case AGB_REASON_QUOTA:
		return 429;
	case AGB_REASON_DEADLINE:
		return 504;
	case AGB_REASON_UPSTREAM_REFUSED:
	case AGB_REASON_UPSTREAM_LOST:
	case AGB_REASON_UPSTREAM_SHORT:
	case AGB_REASON_WORKER_LOST:
		return 502;
	default:
		return 503;
	}
}

uint32_t
route_remaining_ms(const struct route_call *c, agb_time now)
{
	const agb_time left = now < c->deadline ? c->deadline - now : 0;
	const agb_time ms = left / AGB_MS;

	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static void
log_answer(const struct route_call *c, const char *outcome,
    enum agb_reason reason, const char *detail, struct agb_effects *out)
{
	agb_effects_log(out, AGB_LOG_INFO, "answer",
	    "request=%s team=%s work=%s outcome=%s reason=%s asks=%u "
	    "attempts=%u detail=\"%s\"",
	    c->request, c->team, c->work, outcome, agb_reason_name(reason),
	    c->asks, c->attempts, detail);
}

void
route_refuse(struct agb_route *r, struct route_call *c,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *detail, struct agb_effects *out)
{
	if (outcome == AGB_NOT_RUN && c->may_have_run)
		outcome = AGB_UNKNOWN;
	log_answer(c, agb_outcome_name(outcome), reason, detail, out);
	agb_effects_reply(out, c->id, route_status_code(reason), outcome,
	    reason, retry_ms, "%s", detail);
	route_call_end(r, c);
}

void
route_backoff(struct agb_route *r, struct route_call *c, agb_time at)
{
	c->phase = ROUTE_BACKOFF;
	c->wake_at = at < c->deadline ? at : c->deadline;
	if (c->wake_at < r->next_wake)
		r->next_wake = c->wake_at;
}

struct agb_effect *
route_ask_send(struct agb_route *r, struct route_call *c,
    const struct route_target *t, agb_x_proc proc, uint32_t timeout_ms,
    struct agb_effects *out)
{
	struct route_ask *const a = agb_xcalloc(1, sizeof(*a));
	struct agb_effect *ef;

	a->tag = route_tag(r);
	a->call_id = c->id;
	agb_name_set(a->domain, sizeof(a->domain), t->domain);
	HASH_ADD(hh, r->asks, tag, sizeof(a->tag), a);
	c->phase = ROUTE_ASKING;
	c->ask_tag = a->tag;
	c->asks++;
	agb_name_set(c->domain, sizeof(c->domain), t->domain);
	ef = agb_effects_add(out, AGB_EF_RPC_CALL);
	ef->tag = a->tag;
	ef->timeout_ms = timeout_ms;
	agb_name_set(ef->peer, sizeof(ef->peer), t->address);
	ef->u.rpc_args.proc = proc;
	return ef;
}

static void
send_grant(struct agb_route *r, agb_time now, struct route_call *c,
    const struct route_target *t, const struct agb_route_input *in,
    struct agb_effects *out)
{
	const uint32_t left = route_remaining_ms(c, now);
	struct agb_effect *const ef =
	    route_ask_send(r, c, t, AGB_X_GRANT, left + ASK_MARGIN_MS, out);
	agb_x_grant_args *const a = &ef->u.rpc_args.agb_x_args_u.grant;

	a->env_version = in->env->version;
	a->request = agb_xstrdup(c->request);
	a->work = agb_xstrdup(c->work);
	a->team = agb_xstrdup(c->team);
	a->instance = agb_xstrdup(r->cfg.instance);
	a->deadline_ms = left;
	a->idempotent = c->idempotent;
	a->key = agb_xstrdup(c->key);
	a->previous.epoch = c->lost.epoch;
	a->previous.seq = c->lost.seq;
	a->previous_worker = agb_xstrdup(c->lost_worker);
}

static bool
target_of_job(const struct agb_route *r, agb_time now,
    const struct route_call *c, const struct agb_route_input *in,
    struct route_target *t)
{
	if (!route_job_domain(c->job, t->domain))
		agb_name_set(t->domain, sizeof(t->domain), r->cfg.domain);
	agb_name_set(t->address, sizeof(t->address),
	    route_choose_owner(r, now, in, t->domain));
	return t->address[0] != '\0';
}

static void
wait_for_owner(struct agb_route *r, agb_time now, struct route_call *c,
    struct agb_effects *out)
{
	if (now < c->owner_deadline) {
		route_backoff(r, c, now + ROUTE_OWNER_RETRY);
		return;
	}
	/* A job asked about may have run; a request of one's own has not. */
	route_refuse(r, c,
	    c->kind == AGB_CALL_QUICK || c->kind == AGB_CALL_JOB_SUBMIT
		? AGB_NOT_RUN
		: AGB_UNKNOWN,
	    AGB_REASON_NO_OWNER, 1000,
	    "no owner of an allowed shard can be reached", out);
}

static void
deadline_passed(
    struct agb_route *r, struct route_call *c, struct agb_effects *out)
{
	if (c->denied)
		route_refuse(r, c, c->deny_outcome, c->deny_reason,
		    c->deny_retry_ms, c->deny_detail, out);
	else
		route_refuse(r, c,
		    c->kind == AGB_CALL_QUICK || c->kind == AGB_CALL_JOB_SUBMIT
			? AGB_NOT_RUN
			: AGB_UNKNOWN,
		    AGB_REASON_DEADLINE, 0,
		    "the deadline passed before it could start", out);
}

void
route_ask_start(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_target t = {0};

	if (now >= c->deadline) {
		deadline_passed(r, c, out);
		return;
	}
	if (c->kind != AGB_CALL_QUICK && c->kind != AGB_CALL_JOB_SUBMIT) {
		if (target_of_job(r, now, c, in, &t))
			route_job_send(r, now, c, &t, in, out);
		else
			wait_for_owner(r, now, c, out);
		return;
	}
	switch (route_choose(r, now, c, in, &t, out)) {
	case ROUTE_FOUND:
		if (c->kind == AGB_CALL_QUICK)
			send_grant(r, now, c, &t, in, out);
		else
			route_job_send(r, now, c, &t, in, out);
		break;
	case ROUTE_NO_OWNER:
		wait_for_owner(r, now, c, out);
		break;
	case ROUTE_EXHAUSTED:
		if (c->denied)
			route_refuse(r, c, c->deny_outcome, c->deny_reason,
			    c->deny_retry_ms, c->deny_detail, out);
		else
			route_refuse(r, c, AGB_NOT_RUN, AGB_REASON_NOT_ALLOWED,
			    0, "the document allows no failure domain for it",
			    out);
		break;
	}
}

/* A refusal that another shard need not share. "Never fits" counts only when
 * all shards say it. */
static void
keep_denial(struct route_call *c, enum agb_outcome outcome,
    enum agb_reason reason, uint32_t retry_ms, const char *detail)
{
	if (c->denied && c->deny_reason != AGB_REASON_NEVER_FITS &&
	    reason == AGB_REASON_NEVER_FITS)
		return;
	c->denied = true;
	c->deny_outcome = outcome;
	c->deny_reason = reason;
	c->deny_retry_ms = retry_ms;
	agb_name_set(c->deny_detail, sizeof(c->deny_detail), detail);
}

void
route_denied(struct agb_route *r, agb_time now, struct route_call *c,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *detail, const struct agb_route_input *in,
    struct agb_effects *out)
{
	switch (reason) {
	case AGB_REASON_NO_OWNER:
	case AGB_REASON_DRAINING:
		if (outcome != AGB_NOT_RUN && c->kind == AGB_CALL_JOB_SUBMIT)
			break;
		wait_for_owner(r, now, c, out);
		return;
	case AGB_REASON_UPSTREAM_LOST:
		/* The lost attempt may still run. */
		route_backoff(r, c, now + LOST_RETRY);
		return;
	case AGB_REASON_NEVER_FITS:
	case AGB_REASON_QUOTA:
	case AGB_REASON_OVERLOAD:
	case AGB_REASON_ISOLATED:
		if (outcome != AGB_NOT_RUN)
			break;
		keep_denial(c, outcome, reason, retry_ms, detail);
		route_choose_tried(c, in, c->domain);
		route_ask_start(r, now, c, in, out);
		return;
	default:
		break;
	}
	route_refuse(r, c, outcome, reason, retry_ms, detail, out);
}

static void
granted(struct agb_route *r, agb_time now, struct route_call *c,
    const agb_x_grant_res *g, struct agb_effects *out)
{
	struct agb_effect *ef;

	c->phase = ROUTE_RUNNING;
	c->attempt = agb_proto_attempt_from_msg(g->attempt);
	c->attempts++;
	agb_name_set(c->worker, sizeof(c->worker), g->worker);
	agb_effects_log(out, AGB_LOG_INFO, "send",
	    "request=%s attempt=%016llx-%016llx domain=%s worker=%s "
	    "runner=%s",
	    c->request, (unsigned long long)c->attempt.epoch,
	    (unsigned long long)c->attempt.seq, c->domain, g->worker,
	    g->runner);
	ef = agb_effects_add(out, AGB_EF_UPSTREAM);
	ef->call_id = c->id;
	ef->u.upstream.attempt = c->attempt;
	ef->u.upstream.timeout_ms = route_remaining_ms(c, now);
	agb_name_set(
	    ef->u.upstream.runner, sizeof(ef->u.upstream.runner), g->runner);
}

static void
on_grant(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out)
{
	const agb_x_grant_res *g;

	if (!ev->rpc_ok || ev->u.rpc_res.proc != AGB_X_GRANT) {
		/* Nothing has been sent to a runner, so nothing has run. The
		 * owner takes back a grant that got lost. */
		route_backoff(r, c, route_retry_at(r, now, c->asks));
		return;
	}
	g = &ev->u.rpc_res.agb_x_res_u.grant;
	if (g->granted)
		granted(r, now, c, g, out);
	else
		route_denied(r, now, c, (enum agb_outcome)g->outcome,
		    (enum agb_reason)g->reason, g->retry_ms, g->detail, in,
		    out);
}

/* A grant for a request that has ended meanwhile is given back unused. */
static void
return_grant(struct agb_route *r, agb_time now, const struct route_ask *a,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out)
{
	const agb_x_grant_res *g;

	if (!ev->rpc_ok || ev->u.rpc_res.proc != AGB_X_GRANT)
		return;
	g = &ev->u.rpc_res.agb_x_res_u.grant;
	if (g->granted)
		route_release(r, now, a->domain,
		    agb_proto_attempt_from_msg(g->attempt),
		    AGB_RESULT_NOT_STARTED, in, out);
}

static void
on_rpc_reply(struct agb_route *r, agb_time now, const struct agb_event *ev,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_ask *a;
	struct route_call *c;

	if (route_release_reply(r, now, ev->tag, ev->rpc_ok, in, out))
		return;
	HASH_FIND(hh, r->asks, &ev->tag, sizeof(ev->tag), a);
	if (a == NULL)
		return;
	HASH_DEL(r->asks, a);
	HASH_FIND(hh, r->calls, &a->call_id, sizeof(a->call_id), c);
	if (c == NULL || c->ask_tag != a->tag || c->phase != ROUTE_ASKING)
		return_grant(r, now, a, ev, in, out);
	else if (c->kind == AGB_CALL_QUICK)
		on_grant(r, now, c, ev, in, out);
	else
		route_job_reply(r, now, c, ev, in, out);
	free(a);
}

static void
on_upstream(struct agb_route *r, agb_time now, const struct agb_ev_upstream *u,
    const struct agb_route_input *in, struct agb_effects *out)
{
	const bool failed = u->result == AGB_RESULT_OK && u->http_status >= 500;
	struct agb_effect *ef;
	struct route_call *c;

	HASH_FIND(hh, r->calls, &u->call_id, sizeof(u->call_id), c);
	if (c == NULL || c->phase != ROUTE_RUNNING ||
	    c->attempt.epoch != u->attempt.epoch ||
	    c->attempt.seq != u->attempt.seq)
		return;
	route_release(r, now, c->domain, c->attempt,
	    failed ? AGB_RESULT_FAILED : u->result, in, out);
	if (u->result == AGB_RESULT_OK || u->result == AGB_RESULT_FAILED) {
		log_answer(c, "ran", AGB_REASON_NONE, "", out);
		ef = agb_effects_add(out, AGB_EF_FORWARD);
		ef->call_id = c->id;
		route_call_end(r, c);
		return;
	}
	if (u->result == AGB_RESULT_NOT_STARTED) {
		c->denied = true;
		c->deny_outcome = AGB_NOT_RUN;
		c->deny_reason = u->reason;
		c->deny_retry_ms = 100;
		agb_name_set(c->deny_detail, sizeof(c->deny_detail),
		    "the runner refused it before it ran");
	} else {
		/* Only the owner that granted the lost attempt can tell when
		 * it has ended, so that no second one runs beside it. */
		agb_name_set(c->pinned, sizeof(c->pinned), c->domain);
		c->may_have_run = true;
		c->lost = c->attempt;
		memcpy(c->lost_worker, c->worker, sizeof(c->lost_worker));
		c->denied = true;
		c->deny_outcome = AGB_UNKNOWN;
		c->deny_reason = u->reason;
		c->deny_retry_ms = 0;
		agb_name_set(c->deny_detail, sizeof(c->deny_detail),
		    "the runner's answer did not arrive whole");
	}
	if (now < c->deadline && route_may_retry(r, c, u, in))
		route_backoff(r, c, route_retry_at(r, now, c->attempts));
	else
		route_refuse(r, c, c->deny_outcome, c->deny_reason,
		    c->deny_retry_ms, c->deny_detail, out);
}

static void
on_call_gone(struct agb_route *r, agb_time now, uint64_t id,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_call *c;
	struct agb_effect *ef;

	HASH_FIND(hh, r->calls, &id, sizeof(id), c);
	if (c == NULL)
		return;
	log_answer(c, "unknown", AGB_REASON_CANCELLED,
	    "the caller closed its connection", out);
	if (c->phase == ROUTE_RUNNING) {
		ef = agb_effects_add(out, AGB_EF_UPSTREAM_ABORT);
		ef->call_id = c->id;
		ef->u.upstream.attempt = c->attempt;
		route_release(
		    r, now, c->domain, c->attempt, AGB_RESULT_LOST, in, out);
	}
	route_call_end(r, c);
}

static void
on_tick(struct agb_route *r, agb_time now, const struct agb_route_input *in,
    struct agb_effects *out)
{
	struct route_call *c, *next;

	route_release_flush(r, now, in, out);
	if (now < r->next_wake)
		return;
	r->next_wake = AGB_TIME_MAX;
	for (c = r->calls; c != NULL; c = next) {
		next = c->hh.next;
		if (c->phase != ROUTE_BACKOFF)
			continue;
		if (now >= c->wake_at && in->env != NULL)
			route_ask_start(r, now, c, in, out);
		else if (c->wake_at < r->next_wake)
			r->next_wake = c->wake_at;
	}
}

/* Callers that wait for the end of a job get its present state, so that a
 * shutdown does not have to last as long as their wait. */
static void
on_term(struct agb_route *r, agb_time now, const struct agb_route_input *in,
    struct agb_effects *out)
{
	struct route_call *c, *next;

	for (c = r->calls; c != NULL; c = next) {
		next = c->hh.next;
		if (c->kind != AGB_CALL_JOB_GET || c->wait_ms == 0)
			continue;
		c->wait_ms = 0;
		route_ask_start(r, now, c, in, out);
	}
}

void
agb_route_step(struct agb_route *r, agb_time now, const struct agb_event *ev,
    const struct agb_route_input *in, struct agb_effects *out)
{
	switch (ev->type) {
	case AGB_EV_TICK:
		on_tick(r, now, in, out);
		break;
	case AGB_EV_TERM:
		on_term(r, now, in, out);
		break;
	case AGB_EV_CALL:
		route_admit(r, now, &ev->u.call, in, out);
		break;
	case AGB_EV_CALL_GONE:
		on_call_gone(r, now, ev->call_id, in, out);
		break;
	case AGB_EV_UPSTREAM:
		on_upstream(r, now, &ev->u.upstream, in, out);
		break;
	case AGB_EV_RPC_REPLY:
		on_rpc_reply(r, now, ev, in, out);
		break;
	default:
		break;
	}
}

size_t
agb_route_pending(const struct agb_route *r)
{
	return HASH_COUNT(r->calls) + route_release_pending(r);
}

agb_time
agb_route_next_tick(const struct agb_route *r)
{
	const agb_time t = route_release_next(r);

	return t < r->next_wake ? t : r->next_wake;
}

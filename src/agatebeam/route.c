#include "route.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "proto.h"
#include "route_internal.h"

/* Delay before the owner is asked again whether a lost attempt has ended. */
#define LOST_ATTEMPT_RETRY (50 * AGB_MS)
/* An owner replies within the deadline; the margin covers the network delay of
 * its reply. */
#define GRANT_MARGIN_MS 250

struct agb_route *
agb_route_new(const struct agb_route_config *cfg)
{
	struct agb_route *const r = agb_xcalloc(1, sizeof(*r));

	r->cfg = *cfg;
	r->next_wake_at = AGB_TIME_MAX;
	r->rng[0] = (unsigned short)cfg->seed;
	r->rng[1] = (unsigned short)(cfg->seed >> 16);
	r->rng[2] = (unsigned short)(cfg->seed >> 32);
	return r;
}

void
agb_route_free(struct agb_route *r)
{
	struct route_call *c, *cnext;
	struct route_rpc *a, *anext;
	struct route_budget *b, *bnext;

	if (r == NULL)
		return;
	c = r->calls;
	HASH_CLEAR(hh, r->calls);
	for (; c != NULL; c = cnext) {
		cnext = c->hh.next;
		route_call_free(c);
	}
	a = r->rpcs;
	HASH_CLEAR(hh, r->rpcs);
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
	return AGB_TAG(AGB_TAG_ROUTE, ++r->last_tag);
}

int
route_http_status(enum agb_reason reason)
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
	    c->request_id, c->team, c->work, outcome, agb_reason_name(reason),
	    c->rpcs_sent, c->attempts, detail);
}

void
route_reply_refusal(struct agb_route *r, struct route_call *c,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *detail, struct agb_effects *out)
{
	if (outcome == AGB_OUTCOME_NOT_RUN && c->may_have_run)
		outcome = AGB_OUTCOME_UNKNOWN;
	log_answer(c, agb_outcome_name(outcome), reason, detail, out);
	agb_effects_reply(out, c->id, route_http_status(reason), outcome,
	    reason, retry_ms, "%s", detail);
	route_call_remove(r, c);
}

void
route_backoff(struct agb_route *r, struct route_call *c, agb_time at)
{
	c->phase = ROUTE_BACKOFF;
	c->wake_at = at < c->deadline ? at : c->deadline;
	if (c->wake_at < r->next_wake_at)
		r->next_wake_at = c->wake_at;
}

struct agb_effect *
route_rpc_send(struct agb_route *r, struct route_call *c,
    const struct route_target *t, agb_x_proc proc, uint32_t timeout_ms,
    struct agb_effects *out)
{
	struct route_rpc *const a = agb_xcalloc(1, sizeof(*a));
	struct agb_effect *ef;

	a->tag = route_tag(r);
	a->call_id = c->id;
	agb_str_copy(a->domain, sizeof(a->domain), t->domain);
	HASH_ADD(hh, r->rpcs, tag, sizeof(a->tag), a);
	c->phase = ROUTE_AWAITING_OWNER;
	c->rpc_tag = a->tag;
	c->rpcs_sent++;
	agb_str_copy(c->domain, sizeof(c->domain), t->domain);
	ef = agb_effects_add(out, AGB_EF_RPC_CALL);
	ef->tag = a->tag;
	ef->timeout_ms = timeout_ms;
	agb_str_copy(ef->peer, sizeof(ef->peer), t->address);
	ef->u.rpc_args.proc = proc;
	return ef;
}

static void
request_grant(struct agb_route *r, agb_time now, struct route_call *c,
    const struct route_target *t, const struct agb_route_input *in,
    struct agb_effects *out)
{
	const uint32_t left = route_remaining_ms(c, now);
	struct agb_effect *const ef =
	    route_rpc_send(r, c, t, AGB_X_GRANT, left + GRANT_MARGIN_MS, out);
	agb_x_grant_args *const a = &ef->u.rpc_args.agb_x_args_u.grant;

	a->env_version = in->env->version;
	a->request = agb_xstrdup(c->request_id);
	a->work = agb_xstrdup(c->work);
	a->team = agb_xstrdup(c->team);
	a->instance = agb_xstrdup(r->cfg.instance);
	a->deadline_ms = left;
	a->idempotent = c->idempotent;
	a->key = agb_xstrdup(c->key);
	a->previous.epoch = c->lost_attempt.epoch;
	a->previous.seq = c->lost_attempt.seq;
	a->previous_worker = agb_xstrdup(c->lost_worker);
}

static bool
job_target(const struct agb_route *r, agb_time now, const struct route_call *c,
    const struct agb_route_input *in, struct route_target *t)
{
	if (!route_job_domain(c->job_id, t->domain))
		agb_str_copy(t->domain, sizeof(t->domain), r->cfg.domain);
	agb_str_copy(t->address, sizeof(t->address),
	    route_owner_address(r, now, in, t->domain));
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
	/* Nothing was started for a new request, but an existing job may have
	 * run. */
	route_reply_refusal(r, c,
	    c->kind == AGB_CALL_QUICK || c->kind == AGB_CALL_JOB_SUBMIT
		? AGB_OUTCOME_NOT_RUN
		: AGB_OUTCOME_UNKNOWN,
	    AGB_REASON_NO_OWNER, 1000,
	    "no owner of an allowed shard can be reached", out);
}

static void
reply_deadline(
    struct agb_route *r, struct route_call *c, struct agb_effects *out)
{
	if (c->refused)
		route_reply_refusal(r, c, c->refusal_outcome, c->refusal_reason,
		    c->refusal_retry_ms, c->refusal_detail, out);
	else
		route_reply_refusal(r, c,
		    c->kind == AGB_CALL_QUICK || c->kind == AGB_CALL_JOB_SUBMIT
			? AGB_OUTCOME_NOT_RUN
			: AGB_OUTCOME_UNKNOWN,
		    AGB_REASON_DEADLINE, 0,
		    "the deadline passed before it could start", out);
}

void
route_dispatch(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_target t = {0};

	if (now >= c->deadline) {
		reply_deadline(r, c, out);
		return;
	}
	if (c->kind != AGB_CALL_QUICK && c->kind != AGB_CALL_JOB_SUBMIT) {
		if (job_target(r, now, c, in, &t))
			route_job_send(r, now, c, &t, in, out);
		else
			wait_for_owner(r, now, c, out);
		return;
	}
	switch (route_choose(r, now, c, in, &t, out)) {
	case ROUTE_FOUND:
		if (c->kind == AGB_CALL_QUICK)
			request_grant(r, now, c, &t, in, out);
		else
			route_job_send(r, now, c, &t, in, out);
		break;
	case ROUTE_NO_OWNER:
		wait_for_owner(r, now, c, out);
		break;
	case ROUTE_EXHAUSTED:
		if (c->refused)
			route_reply_refusal(r, c, c->refusal_outcome,
			    c->refusal_reason, c->refusal_retry_ms,
			    c->refusal_detail, out);
		else
			route_reply_refusal(r, c, AGB_OUTCOME_NOT_RUN,
			    AGB_REASON_NOT_ALLOWED, 0,
			    "the document allows no failure domain for it",
			    out);
		break;
	}
}

/* Records a refusal, to be reported if no other shard accepts the request.
 * "Never fits" is reported only if every shard returns it. */
static void
record_refusal(struct route_call *c, enum agb_outcome outcome,
    enum agb_reason reason, uint32_t retry_ms, const char *detail)
{
	if (c->refused && c->refusal_reason != AGB_REASON_NEVER_FITS &&
	    reason == AGB_REASON_NEVER_FITS)
		return;
	c->refused = true;
	c->refusal_outcome = outcome;
	c->refusal_reason = reason;
	c->refusal_retry_ms = retry_ms;
	agb_str_copy(c->refusal_detail, sizeof(c->refusal_detail), detail);
}

void
route_on_refusal(struct agb_route *r, agb_time now, struct route_call *c,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *detail, const struct agb_route_input *in,
    struct agb_effects *out)
{
	switch (reason) {
	case AGB_REASON_NO_OWNER:
	case AGB_REASON_DRAINING:
		if (outcome != AGB_OUTCOME_NOT_RUN &&
		    c->kind == AGB_CALL_JOB_SUBMIT)
			break;
		wait_for_owner(r, now, c, out);
		return;
	case AGB_REASON_UPSTREAM_LOST:
		/* The lost attempt may still be running. */
		route_backoff(r, c, now + LOST_ATTEMPT_RETRY);
		return;
	case AGB_REASON_NEVER_FITS:
	case AGB_REASON_QUOTA:
	case AGB_REASON_OVERLOAD:
	case AGB_REASON_ISOLATED:
		if (outcome != AGB_OUTCOME_NOT_RUN)
			break;
		record_refusal(c, outcome, reason, retry_ms, detail);
		route_mark_refused(c, in, c->domain);
		route_dispatch(r, now, c, in, out);
		return;
	default:
		break;
	}
	route_reply_refusal(r, c, outcome, reason, retry_ms, detail, out);
}

static void
start_attempt(struct agb_route *r, agb_time now, struct route_call *c,
    const agb_x_grant_res *g, struct agb_effects *out)
{
	struct agb_effect *ef;

	c->phase = ROUTE_RUNNING;
	c->attempt = agb_proto_attempt_from_msg(g->attempt);
	c->attempts++;
	agb_str_copy(c->worker, sizeof(c->worker), g->worker);
	agb_effects_log(out, AGB_LOG_INFO, "send",
	    "request=%s attempt=%016llx-%016llx domain=%s worker=%s "
	    "runner=%s",
	    c->request_id, (unsigned long long)c->attempt.epoch,
	    (unsigned long long)c->attempt.seq, c->domain, g->worker,
	    g->runner);
	ef = agb_effects_add(out, AGB_EF_UPSTREAM);
	ef->call_id = c->id;
	ef->u.upstream.attempt = c->attempt;
	ef->u.upstream.timeout_ms = route_remaining_ms(c, now);
	agb_str_copy(
	    ef->u.upstream.runner, sizeof(ef->u.upstream.runner), g->runner);
}

static void
on_grant(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out)
{
	const agb_x_grant_res *g;

	if (!ev->rpc_ok || ev->u.rpc_res.proc != AGB_X_GRANT) {
		/* Nothing was sent to a runner, so nothing has run. The owner
		 * reclaims a grant whose reply was lost. */
		route_backoff(r, c, route_retry_at(r, now, c->rpcs_sent));
		return;
	}
	g = &ev->u.rpc_res.agb_x_res_u.grant;
	if (g->granted)
		start_attempt(r, now, c, g, out);
	else
		route_on_refusal(r, now, c, (enum agb_outcome)g->outcome,
		    (enum agb_reason)g->reason, g->retry_ms, g->detail, in,
		    out);
}

/* Releases the unused grant of a request that has ended in the meantime. */
static void
return_grant(struct agb_route *r, agb_time now, const struct route_rpc *a,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out)
{
	const agb_x_grant_res *g;

	if (!ev->rpc_ok || ev->u.rpc_res.proc != AGB_X_GRANT)
		return;
	g = &ev->u.rpc_res.agb_x_res_u.grant;
	if (g->granted)
		route_release_add(r, now, a->domain,
		    agb_proto_attempt_from_msg(g->attempt),
		    AGB_RESULT_NOT_STARTED, in, out);
}

static void
on_rpc_reply(struct agb_route *r, agb_time now, const struct agb_event *ev,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_rpc *a;
	struct route_call *c;

	if (route_release_reply(r, now, ev->tag, ev->rpc_ok, in, out))
		return;
	HASH_FIND(hh, r->rpcs, &ev->tag, sizeof(ev->tag), a);
	if (a == NULL)
		return;
	HASH_DEL(r->rpcs, a);
	HASH_FIND(hh, r->calls, &a->call_id, sizeof(a->call_id), c);
	if (c == NULL || c->rpc_tag != a->tag ||
	    c->phase != ROUTE_AWAITING_OWNER)
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
	route_release_add(r, now, c->domain, c->attempt,
	    failed ? AGB_RESULT_FAILED : u->result, in, out);
	if (u->result == AGB_RESULT_OK || u->result == AGB_RESULT_FAILED) {
		log_answer(c, "ran", AGB_REASON_NONE, "", out);
		ef = agb_effects_add(out, AGB_EF_FORWARD);
		ef->call_id = c->id;
		route_call_remove(r, c);
		return;
	}
	if (u->result == AGB_RESULT_NOT_STARTED) {
		c->refused = true;
		c->refusal_outcome = AGB_OUTCOME_NOT_RUN;
		c->refusal_reason = u->reason;
		c->refusal_retry_ms = 100;
		agb_str_copy(c->refusal_detail, sizeof(c->refusal_detail),
		    "the runner refused it before it ran");
	} else {
		/* Only the owner that granted the lost attempt knows when it
		 * has ended. Asking that owner prevents a second attempt from
		 * running concurrently. */
		agb_str_copy(
		    c->pinned_domain, sizeof(c->pinned_domain), c->domain);
		c->may_have_run = true;
		c->lost_attempt = c->attempt;
		memcpy(c->lost_worker, c->worker, sizeof(c->lost_worker));
		c->refused = true;
		c->refusal_outcome = AGB_OUTCOME_UNKNOWN;
		c->refusal_reason = u->reason;
		c->refusal_retry_ms = 0;
		agb_str_copy(c->refusal_detail, sizeof(c->refusal_detail),
		    "the runner's answer did not arrive whole");
	}
	if (now < c->deadline && route_may_retry(r, c, u, in))
		route_backoff(r, c, route_retry_at(r, now, c->attempts));
	else
		route_reply_refusal(r, c, c->refusal_outcome, c->refusal_reason,
		    c->refusal_retry_ms, c->refusal_detail, out);
}

static void
on_call_closed(struct agb_route *r, agb_time now, uint64_t id,
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
		route_release_add(
		    r, now, c->domain, c->attempt, AGB_RESULT_LOST, in, out);
	}
	route_call_remove(r, c);
}

static void
on_tick(struct agb_route *r, agb_time now, const struct agb_route_input *in,
    struct agb_effects *out)
{
	struct route_call *c, *next;

	route_release_flush(r, now, in, out);
	if (now < r->next_wake_at)
		return;
	r->next_wake_at = AGB_TIME_MAX;
	for (c = r->calls; c != NULL; c = next) {
		next = c->hh.next;
		if (c->phase != ROUTE_BACKOFF)
			continue;
		if (now >= c->wake_at && in->env != NULL)
			route_dispatch(r, now, c, in, out);
		else if (c->wake_at < r->next_wake_at)
			r->next_wake_at = c->wake_at;
	}
}

/* Clients waiting for a job to finish get its current state, so that their
 * long polls do not delay the shutdown. */
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
		route_dispatch(r, now, c, in, out);
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
	case AGB_EV_CALL_CLOSED:
		on_call_closed(r, now, ev->call_id, in, out);
		break;
	case AGB_EV_UPSTREAM:
		on_upstream(r, now, &ev->u.upstream_result, in, out);
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

	return t < r->next_wake_at ? t : r->next_wake_at;
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "route_internal.h"

void
route_call_free(struct route_call *c)
{
	free(c->args);
	free(c);
}

void
route_call_remove(struct agb_route *r, struct route_call *c)
{
	HASH_DEL(r->calls, c);
	route_call_free(c);
}

static bool
authorize(struct agb_route *r, struct route_call *c,
    const struct agb_ev_call *call, const struct agb_route_input *in,
    struct agb_effects *out)
{
	const struct agb_env *const env = in->env;
	uint16_t team, work;

	if (env == NULL) {
		route_reply_refusal(r, c, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_NO_DOCUMENT, 1000,
		    "no environment document is known yet", out);
		return false;
	}
	if (call->kind == AGB_CALL_EXPLAIN)
		return true;
	team = agb_env_team_by_credential(env, call->credential);
	if (team == AGB_ENV_NONE) {
		route_reply_refusal(r, c, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_BAD_CREDENTIAL, 0, "no team has this credential",
		    out);
		return false;
	}
	agb_str_copy(c->team, sizeof(c->team), env->teams[team].name);
	if (call->kind != AGB_CALL_QUICK && call->kind != AGB_CALL_JOB_SUBMIT)
		return true;
	work = agb_env_work_find(env, call->work);
	if (work == AGB_ENV_NONE ||
	    (env->classes[env->works[work].class_index].policy ==
		AGB_POLICY_QUICK) != (call->kind == AGB_CALL_QUICK)) {
		route_reply_refusal(r, c, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_NO_SERVICE, 0,
		    "the document names no such service or kind of job", out);
		return false;
	}
	if ((env->works[work].teams & UINT64_C(1) << team) == 0) {
		route_reply_refusal(r, c, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_NOT_ALLOWED, 0,
		    "the team may not ask for this work", out);
		return false;
	}
	return true;
}

static agb_time
call_deadline(const struct agb_route *r, agb_time now,
    const struct route_call *c, const struct agb_ev_call *call,
    const struct agb_route_input *in)
{
	const struct agb_env_class *k;
	uint32_t ms;

	ms = call->deadline_ms;
	if (c->kind == AGB_CALL_QUICK && ms == 0) {
		k = route_class(c, in);
		ms = k != NULL ? k->deadline_ms : 0;
	}
	/* The deadline of a job applies to its start, not to this request. */
	if (c->kind == AGB_CALL_JOB_SUBMIT)
		ms = 0;
	if (c->kind == AGB_CALL_JOB_GET)
		ms = call->wait_ms + r->cfg.call_timeout_ms;
	if (ms == 0)
		ms = r->cfg.call_timeout_ms;
	return now + ms * AGB_MS;
}

void
route_admit(struct agb_route *r, agb_time now, const struct agb_ev_call *call,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_call *const c = agb_xcalloc(1, sizeof(*c));

	c->id = call->id;
	c->kind = call->kind;
	/* The seed keeps ids unique across restarts of the instance. */
	snprintf(c->request_id, sizeof(c->request_id), "%.40s.%x.%llx",
	    r->cfg.instance, (unsigned)(r->cfg.seed & 0xffffffff),
	    (unsigned long long)++r->last_request);
	agb_str_copy(c->work, sizeof(c->work), call->work);
	agb_str_copy(c->job_id, sizeof(c->job_id), call->job);
	agb_str_copy(c->key, sizeof(c->key), call->key);
	c->idempotent = call->idempotent;
	c->wait_ms = call->wait_ms;
	c->body_bytes = call->body_bytes;
	c->tasks = call->tasks;
	c->need = call->need;
	c->run_ms = call->run_ms;
	if (call->args != NULL) {
		c->args = agb_xmemdup(call->args, call->args_len);
		c->args_len = call->args_len;
	}
	HASH_ADD(hh, r->calls, id, sizeof(c->id), c);
	if (!authorize(r, c, call, in, out))
		return;
	c->deadline = call_deadline(r, now, c, call, in);
	c->owner_deadline = now + ROUTE_OWNER_WAIT;
	if (c->kind == AGB_CALL_JOB_SUBMIT)
		c->wait_ms = call->deadline_ms;
	if (c->kind == AGB_CALL_QUICK)
		route_budget_earn(r, c, in);
	route_dispatch(r, now, c, in, out);
}

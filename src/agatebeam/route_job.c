#include <json-c/json.h>
#include <string.h>

#include "mem.h"
#include "proto.h"
#include "route_internal.h"

/* Time for an owner to persist an accepted job and to reply. */
#define SUBMIT_TIMEOUT_MS 4000
/* Network delay to the owner and back, added to the client's long-poll
 * timeout. */
#define RPC_MARGIN_MS 2000
#define RETRY_AFTER_MS 1000

bool
route_job_domain(const char *id, char domain[AGB_NAME_LEN])
{
	const char *const last = strrchr(id, '-');
	const char *mid;
	size_t n;

	if (last == NULL || last == id)
		return false;
	for (mid = last - 1; mid > id && *mid != '-'; mid--)
		;
	n = (size_t)(mid - id);
	if (*mid != '-' || n == 0 || n >= AGB_NAME_LEN)
		return false;
	memcpy(domain, id, n);
	domain[n] = '\0';
	return true;
}

/* A submit without a client-supplied key gets a generated one, so that it can
 * be resent safely if the reply is lost. Its first byte cannot occur in an HTTP
 * header, so it never collides with a client's key. */
static char *
submit_key(const struct route_call *c)
{
	if (c->key[0] != '\0')
		return agb_xstrdup(c->key);
	return agb_xasprintf("\001%s", c->request_id);
}

static void
fill_submit(const struct route_call *c, const struct agb_route_input *in,
    agb_x_submit_args *a)
{
	a->env_version = in->env->version;
	a->work = agb_xstrdup(c->work);
	a->team = agb_xstrdup(c->team);
	a->tasks = c->tasks;
	a->need = agb_proto_resources_to_msg(&c->need);
	a->run_ms = c->run_ms;
	a->deadline_ms = c->wait_ms;
	a->idempotent = c->idempotent;
	a->key = submit_key(c);
	a->args.args_val =
	    agb_xmemdup(c->args != NULL ? c->args : "", c->args_len);
	a->args.args_len = (u_int)c->args_len;
}

void
route_job_send(struct agb_route *r, agb_time now, struct route_call *c,
    const struct route_target *t, const struct agb_route_input *in,
    struct agb_effects *out)
{
	struct agb_effect *ef;

	switch (c->kind) {
	case AGB_CALL_JOB_SUBMIT:
		ef = route_rpc_send(
		    r, c, t, AGB_X_SUBMIT, SUBMIT_TIMEOUT_MS, out);
		fill_submit(c, in, &ef->u.rpc_args.agb_x_args_u.submit);
		break;
	case AGB_CALL_JOB_GET:
		ef = route_rpc_send(
		    r, c, t, AGB_X_JOB_GET, c->wait_ms + RPC_MARGIN_MS, out);
		ef->u.rpc_args.agb_x_args_u.job_get.job =
		    agb_xstrdup(c->job_id);
		ef->u.rpc_args.agb_x_args_u.job_get.team = agb_xstrdup(c->team);
		ef->u.rpc_args.agb_x_args_u.job_get.wait_ms = c->wait_ms;
		break;
	case AGB_CALL_JOB_CANCEL:
		ef = route_rpc_send(
		    r, c, t, AGB_X_CANCEL, SUBMIT_TIMEOUT_MS, out);
		ef->u.rpc_args.agb_x_args_u.cancel.job = agb_xstrdup(c->job_id);
		ef->u.rpc_args.agb_x_args_u.cancel.team = agb_xstrdup(c->team);
		break;
	default:
		ef = route_rpc_send(r, c, t, AGB_X_EXPLAIN, RPC_MARGIN_MS, out);
		ef->u.rpc_args.agb_x_args_u.explain.id = agb_xstrdup(c->job_id);
		break;
	}
}

static void
reply_json(struct agb_route *r, struct route_call *c, int status,
    enum agb_outcome outcome, enum agb_reason reason, json_object *body,
    struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_REPLY);
	const char *const text =
	    json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);

	ef->call_id = c->id;
	ef->u.reply.http_status = status;
	ef->u.reply.outcome = outcome;
	ef->u.reply.reason = reason;
	ef->u.reply.body = agb_xstrdup(text);
	ef->u.reply.body_len = strlen(text);
	json_object_put(body);
	route_call_remove(r, c);
}

static void
on_submitted(struct agb_route *r, agb_time now, struct route_call *c,
    const agb_x_submit_res *s, const struct agb_route_input *in,
    struct agb_effects *out)
{
	json_object *body;

	if (!s->accepted) {
		route_on_refusal(r, now, c, (enum agb_outcome)s->outcome,
		    (enum agb_reason)s->reason, s->retry_ms, s->detail, in,
		    out);
		return;
	}
	agb_effects_log(out, AGB_LOG_INFO, "accept",
	    "request=%s team=%s work=%s job=%s domain=%s", c->request_id,
	    c->team, c->work, s->job, c->domain);
	body = json_object_new_object();
	json_object_object_add(body, "id", json_object_new_string(s->job));
	/* The job has only been accepted; its outcome is not known yet. */
	reply_json(r, c, 202, AGB_OUTCOME_UNKNOWN, AGB_REASON_NONE, body, out);
}

static json_object *
result_json(const agb_x_job_res *j)
{
	json_object *parsed;
	char *const text =
	    agb_xmemdup(j->result.result_val, j->result.result_len);

	parsed = json_tokener_parse(text);
	if (parsed == NULL)
		parsed =
		    json_object_new_string_len(text, (int)j->result.result_len);
	free(text);
	return parsed;
}

static void
on_job_state(struct agb_route *r, struct route_call *c, const agb_x_job_res *j,
    struct agb_effects *out)
{
	const bool done = strcmp(j->state, "done") == 0;
	const enum agb_outcome outcome =
	    done ? (enum agb_outcome)j->outcome : AGB_OUTCOME_UNKNOWN;
	const enum agb_reason reason = (enum agb_reason)j->reason;
	json_object *body;

	if (!j->found) {
		/* The job never existed or has been removed, so its outcome is
		 * unknown. */
		route_reply_refusal(r, c, AGB_OUTCOME_UNKNOWN,
		    AGB_REASON_NOT_FOUND, 0, "no such job of this team", out);
		return;
	}
	body = json_object_new_object();
	json_object_object_add(body, "id", json_object_new_string(c->job_id));
	json_object_object_add(body, "state", json_object_new_string(j->state));
	if (done)
		json_object_object_add(body, "outcome",
		    json_object_new_string(agb_outcome_name(outcome)));
	json_object_object_add(
	    body, "reason", json_object_new_string(agb_reason_name(reason)));
	json_object_object_add(body, "tasks", json_object_new_int64(j->tasks));
	json_object_object_add(
	    body, "running", json_object_new_int64(j->running));
	json_object_object_add(body, "ended", json_object_new_int64(j->ended));
	json_object_object_add(
	    body, "detail", json_object_new_string(j->detail));
	if (j->result.result_len > 0)
		json_object_object_add(body, "result", result_json(j));
	reply_json(r, c, 200, outcome, reason, body, out);
}

static void
on_explanation(struct agb_route *r, struct route_call *c,
    const agb_x_text_res *t, struct agb_effects *out)
{
	json_object *body;

	if (!t->found) {
		route_reply_refusal(r, c, AGB_OUTCOME_UNKNOWN,
		    AGB_REASON_NOT_FOUND, 0,
		    "the shard knows nothing of this id", out);
		return;
	}
	body = json_object_new_object();
	json_object_object_add(body, "id", json_object_new_string(c->job_id));
	json_object_object_add(body, "text", json_object_new_string(t->text));
	reply_json(r, c, 200, AGB_OUTCOME_UNKNOWN, AGB_REASON_NONE, body, out);
}

/* Resends a request without a reply to the same owner or its successor. */
static void
on_no_reply(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_event *ev, struct agb_effects *out)
{
	if (c->kind == AGB_CALL_JOB_SUBMIT && ev->rpc_sent) {
		c->may_have_run = true;
		/* Only this shard knows whether it accepted the job. */
		agb_str_copy(
		    c->pinned_domain, sizeof(c->pinned_domain), c->domain);
	}
	if (now >= (c->may_have_run ? c->deadline : c->owner_deadline)) {
		route_reply_refusal(r, c,
		    c->kind == AGB_CALL_JOB_SUBMIT ? AGB_OUTCOME_NOT_RUN
						   : AGB_OUTCOME_UNKNOWN,
		    AGB_REASON_NO_OWNER, RETRY_AFTER_MS,
		    "the shard's owner did not answer", out);
		return;
	}
	route_backoff(r, c, now + ROUTE_OWNER_RETRY);
}

void
route_job_reply(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out)
{
	if (!ev->rpc_ok) {
		on_no_reply(r, now, c, ev, out);
		return;
	}
	switch (ev->u.rpc_res.proc) {
	case AGB_X_SUBMIT:
		on_submitted(
		    r, now, c, &ev->u.rpc_res.agb_x_res_u.submit, in, out);
		break;
	case AGB_X_JOB_GET:
		on_job_state(r, c, &ev->u.rpc_res.agb_x_res_u.job_get, out);
		break;
	case AGB_X_CANCEL:
		on_job_state(r, c, &ev->u.rpc_res.agb_x_res_u.cancel, out);
		break;
	case AGB_X_EXPLAIN:
		on_explanation(r, c, &ev->u.rpc_res.agb_x_res_u.explain, out);
		break;
	default:
		route_backoff(r, c, now + ROUTE_OWNER_RETRY);
		break;
	}
}

#include "node.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "envsync.h"
#include "mem.h"
#include "member.h"
#include "owner.h"
#include "proto.h"
#include "route.h"

/* The platform's list lags by seconds, so polling more often gains nothing. */
#define LIST_INTERVAL (1 * AGB_SEC)
/* Poll again if the list has not been received after this time. */
#define LIST_TIMEOUT (5 * AGB_SEC)
#define USAGE_INTERVAL (1 * AGB_SEC)
/* Minimum drain time, in which the platform's load balancer notices that the
 * instance is no longer ready. */
#define DRAIN_GRACE (1 * AGB_SEC)
/* Set in the RPC token of a loopback call. */
#define TOKEN_LOOPBACK (UINT64_C(1) << 63)

/* A pending RPC of the instance to itself. It times out like any other RPC. */
struct loopback_call {
	uint64_t token;
	uint64_t tag;
	agb_time expires_at;
};

/**
 * struct agb_node - state of the reducer
 * @team_used: usage per team of the active document in the owned shard
 * @env_version: version last passed to the other sub-reducers
 * @loopback: pending RPCs of the instance to itself
 * @terminating: SIGTERM was received, at @term_at
 * @pending: effects of the current step that are still to be examined for
 *	loopback RPCs
 */
struct agb_node {
	struct agb_node_config cfg;
	struct agb_envsync *envsync;
	struct agb_member *member;
	struct agb_owner *owner;
	struct agb_route *route;
	struct agb_resources *team_used;
	uint64_t env_version;
	agb_time next_list_at;
	agb_time next_usage_at;
	uint64_t list_version;
	struct loopback_call *loopback;
	size_t loopback_len;
	size_t loopback_cap;
	uint64_t next_token;
	bool ready;
	bool terminating;
	bool exit_sent;
	agb_time term_at;
	struct agb_effects pending;
};

/* Inputs of the sub-reducers for one step, taken from each other's state. */
struct step_inputs {
	struct agb_member_input member;
	struct agb_route_input route;
	agb_x_shard shard;
	bool has_shard;
};

struct agb_node *
agb_node_new(const struct agb_node_config *cfg)
{
	struct agb_node *const n = agb_xcalloc(1, sizeof(*n));
	struct agb_member_config m = {.seed = cfg->seed ^ 0x6d};
	struct agb_owner_config o = {.seed = cfg->seed ^ 0x6f};
	struct agb_route_config r = {.seed = cfg->seed ^ 0x72};

	n->cfg = *cfg;
	memcpy(m.instance, cfg->instance, sizeof(m.instance));
	memcpy(m.region, cfg->region, sizeof(m.region));
	memcpy(m.domain, cfg->domain, sizeof(m.domain));
	memcpy(m.rpc, cfg->rpc, sizeof(m.rpc));
	memcpy(o.instance, cfg->instance, sizeof(o.instance));
	memcpy(o.domain, cfg->domain, sizeof(o.domain));
	memcpy(o.environment, cfg->environment, sizeof(o.environment));
	memcpy(o.rpc, cfg->rpc, sizeof(o.rpc));
	memcpy(r.instance, cfg->instance, sizeof(r.instance));
	memcpy(r.region, cfg->region, sizeof(r.region));
	memcpy(r.domain, cfg->domain, sizeof(r.domain));
	r.call_timeout_ms = cfg->call_timeout_ms;
	n->envsync = agb_envsync_new(cfg->environment);
	n->member = agb_member_new(&m);
	n->owner = agb_owner_new(&o);
	n->route = agb_route_new(&r);
	return n;
}

void
agb_node_free(struct agb_node *n)
{
	if (n == NULL)
		return;
	agb_route_free(n->route);
	agb_owner_free(n->owner);
	agb_member_free(n->member);
	agb_envsync_free(n->envsync);
	agb_effects_free(&n->pending);
	free(n->team_used);
	free(n->loopback);
	free(n);
}

static void
step_inputs_fill(struct agb_node *n, agb_time now, struct step_inputs *in)
{
	const struct agb_env *const env = agb_envsync_env(n->envsync);

	memset(in, 0, sizeof(*in));
	in->has_shard = agb_owner_shard_summary(n->owner, now, &in->shard);
	in->member.env = env;
	in->member.env_version = agb_envsync_version(n->envsync);
	in->member.owner = agb_owner_rpc_address(n->owner);
	in->member.is_owner = in->has_shard;
	in->member.leaving = n->terminating;
	in->member.shard = in->has_shard ? &in->shard : NULL;
	in->member.team_used = n->team_used;
	in->route.env = env;
	in->route.member = n->member;
	in->route.owner = in->member.owner;
	in->route.shard = in->member.shard;
}

static void
step_inputs_free(struct step_inputs *in)
{
	if (in->has_shard)
		xdr_free((xdrproc_t)xdr_agb_x_shard, (char *)&in->shard);
}

static void
reply_status(struct agb_node *n, agb_time now, const struct step_inputs *in,
    uint64_t call_id, struct agb_effects *out)
{
	json_object *const o = json_object_new_object();
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_REPLY);
	const char *text;

	json_object_object_add(
	    o, "instance", json_object_new_string(n->cfg.instance));
	json_object_object_add(
	    o, "environment", json_object_new_string(n->cfg.environment));
	json_object_object_add(
	    o, "region", json_object_new_string(n->cfg.region));
	json_object_object_add(
	    o, "domain", json_object_new_string(n->cfg.domain));
	json_object_object_add(
	    o, "env_version", json_object_new_uint64(in->member.env_version));
	json_object_object_add(
	    o, "owner", json_object_new_string(in->member.owner));
	json_object_object_add(
	    o, "is_owner", json_object_new_boolean(in->has_shard));
	json_object_object_add(
	    o, "draining", json_object_new_boolean(n->terminating));
	agb_member_status_json(n->member, now, &in->member, o);
	text = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	ef->call_id = call_id;
	ef->u.reply.http_status = 200;
	ef->u.reply.outcome = AGB_OUTCOME_RAN;
	ef->u.reply.body = agb_xstrdup(text);
	ef->u.reply.body_len = strlen(text);
	json_object_put(o);
}

static void
on_rpc_call(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct step_inputs *in, struct agb_effects *out)
{
	struct agb_effect *ef;

	switch (ev->u.rpc_args.proc) {
	case AGB_X_HEARTBEAT:
	case AGB_X_SUMMARY:
		agb_member_step(n->member, now, ev, &in->member, out);
		break;
	case AGB_X_ENV_GET:
		agb_envsync_step(n->envsync, now, ev, out);
		break;
	case AGB_X_GRANT:
	case AGB_X_RELEASE:
	case AGB_X_SUBMIT:
	case AGB_X_JOB_GET:
	case AGB_X_CANCEL:
	case AGB_X_EXPLAIN:
		agb_owner_step(n->owner, now, ev, out);
		break;
	case AGB_X_NULL:
	case AGB_X_STATUS:
	case AGB_X_ADVISE:
	case AGB_X_PUSH:
	case AGB_X_PUT:
	case AGB_X_ORDERS:
	case AGB_X_RESULTS:
	case AGB_X_PAYLOAD:
		/* Handled by the workflow reducer. Here they get an empty
		 * reply. */
		ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
		ef->token = ev->token;
		ef->u.rpc_res.proc = ev->u.rpc_args.proc;
		if (ef->u.rpc_res.proc == AGB_X_STATUS)
			ef->u.rpc_res.agb_x_res_u.status.text = agb_xstrdup("");
		break;
	}
}

static void
dispatch_tagged(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct step_inputs *in, struct agb_effects *out)
{
	switch (AGB_TAG_MODULE(ev->tag)) {
	case AGB_TAG_ROUTE:
		agb_route_step(n->route, now, ev, &in->route, out);
		break;
	case AGB_TAG_OWNER:
		agb_owner_step(n->owner, now, ev, out);
		break;
	case AGB_TAG_ENVSYNC:
		agb_envsync_step(n->envsync, now, ev, out);
		break;
	case AGB_TAG_MEMBER:
		agb_member_step(n->member, now, ev, &in->member, out);
		break;
	}
}

static void
on_list(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct step_inputs *in, struct agb_effects *out)
{
	n->next_list_at = now + LIST_INTERVAL;
	if (!ev->u.list.ok)
		return;
	n->list_version = ev->u.list.version;
	agb_member_step(n->member, now, ev, &in->member, out);
	agb_owner_step(n->owner, now, ev, out);
}

static void
poll_list(struct agb_node *n, agb_time now, struct agb_effects *out)
{
	struct agb_effect *ef;

	if (now < n->next_list_at)
		return;
	n->next_list_at = now + LIST_TIMEOUT;
	ef = agb_effects_add(out, AGB_EF_LIST_INSTANCES);
	ef->since = n->list_version;
}

static void
apply_remote_usage(struct agb_node *n, agb_time now,
    const struct step_inputs *in, struct agb_effects *out)
{
	struct agb_resources used;
	uint16_t i;

	if (now < n->next_usage_at || !in->has_shard || in->member.env == NULL)
		return;
	n->next_usage_at = now + USAGE_INTERVAL;
	for (i = 0; i < in->member.env->teams_len; i++) {
		used = agb_member_remote_team_usage(
		    n->member, in->member.env->teams[i].name);
		agb_owner_set_remote_usage(n->owner, now, i, &used, out);
	}
}

static void
set_ready(struct agb_node *n, bool ready, struct agb_effects *out)
{
	struct agb_effect *ef;

	if (n->ready == ready)
		return;
	n->ready = ready;
	ef = agb_effects_add(out, AGB_EF_READY);
	ef->ready = ready;
	agb_effects_log(
	    out, AGB_LOG_INFO, "ready", "ready=%s", ready ? "true" : "false");
}

static void
on_term(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct step_inputs *in, struct agb_effects *out)
{
	if (n->terminating)
		return;
	n->terminating = true;
	n->term_at = now;
	set_ready(n, false, out);
	agb_owner_step(n->owner, now, ev, out);
	agb_route_step(n->route, now, ev, &in->route, out);
}

static void
exit_if_drained(struct agb_node *n, agb_time now, struct agb_effects *out)
{
	const bool late = now - n->term_at >= n->cfg.drain_ms * AGB_MS;

	if (!n->terminating || n->exit_sent)
		return;
	if (!late &&
	    (now - n->term_at < DRAIN_GRACE ||
		agb_route_pending(n->route) > 0 ||
		!agb_owner_drained(n->owner)))
		return;
	n->exit_sent = true;
	agb_effects_log(out, late ? AGB_LOG_WARN : AGB_LOG_INFO, "exit",
	    "pending=%zu reason=%s", agb_route_pending(n->route),
	    late ? "drain-limit" : "drained");
	agb_effects_add(out, AGB_EF_EXIT)->ready = !late;
}

/* Summaries are sent only on ticks, so the usage per team is not needed for
 * other events. */
static void
read_team_usage(struct agb_node *n, const struct step_inputs *in)
{
	uint16_t i;

	if (!in->has_shard || in->member.env == NULL)
		return;
	for (i = 0; i < in->member.env->teams_len; i++)
		n->team_used[i] = agb_owner_local_usage(n->owner, i);
}

static void
on_tick(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct step_inputs *in, struct agb_effects *out)
{
	read_team_usage(n, in);
	poll_list(n, now, out);
	agb_owner_step(n->owner, now, ev, out);
	agb_envsync_step(n->envsync, now, ev, out);
	agb_member_step(n->member, now, ev, &in->member, out);
	apply_remote_usage(n, now, in, out);
	agb_route_step(n->route, now, ev, &in->route, out);
}

static void
dispatch(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct step_inputs *in, struct agb_effects *out)
{
	switch (ev->type) {
	case AGB_EV_TICK:
		on_tick(n, now, ev, in, out);
		break;
	case AGB_EV_TERM:
		on_term(n, now, ev, in, out);
		break;
	case AGB_EV_CALL:
		if (ev->u.call.kind == AGB_CALL_STATUS)
			reply_status(n, now, in, ev->u.call.id, out);
		else
			agb_route_step(n->route, now, ev, &in->route, out);
		break;
	case AGB_EV_CALL_CLOSED:
	case AGB_EV_UPSTREAM:
		agb_route_step(n->route, now, ev, &in->route, out);
		break;
	case AGB_EV_STORE:
	case AGB_EV_WATCH:
	case AGB_EV_RPC_REPLY:
		dispatch_tagged(n, now, ev, in, out);
		break;
	case AGB_EV_INSTANCES:
		on_list(n, now, ev, in, out);
		break;
	case AGB_EV_SESSION:
	case AGB_EV_RENEW:
	case AGB_EV_COMMANDS:
		agb_owner_step(n->owner, now, ev, out);
		break;
	case AGB_EV_RPC_CALL:
		on_rpc_call(n, now, ev, in, out);
		break;
	}
}

/* Passes a new document to the other sub-reducers, then frees the old one. */
static void
apply_env(struct agb_node *n, agb_time now, struct agb_effects *out)
{
	const struct agb_env *const env = agb_envsync_env(n->envsync);

	if (env == NULL || env->version == n->env_version)
		return;
	n->env_version = env->version;
	free(n->team_used);
	n->team_used = agb_xcalloc(env->teams_len, sizeof(*n->team_used));
	agb_owner_env_set(n->owner, now, env, out);
	agb_envsync_free_replaced(n->envsync);
	n->next_usage_at = now;
}

static void
finish_step(struct agb_node *n, agb_time now, struct agb_effects *out)
{
	const char *peer;
	uint64_t version;

	apply_env(n, now, out);
	version = agb_member_highest_version(n->member, &peer);
	agb_envsync_peer_version(n->envsync, now, version, peer, out);
	agb_envsync_owner_set(n->envsync, now, agb_owner_active(n->owner, now),
	    agb_member_owner_responsive(n->member, now), out);
	if (!n->terminating && agb_envsync_env(n->envsync) != NULL)
		set_ready(n, true, out);
	exit_if_drained(n, now, out);
}

static void
step(struct agb_node *n, agb_time now, const struct agb_event *ev,
    struct agb_effects *out)
{
	struct step_inputs in;

	step_inputs_fill(n, now, &in);
	dispatch(n, now, ev, &in, out);
	step_inputs_free(&in);
	finish_step(n, now, out);
}

static void
loopback_call(struct agb_node *n, agb_time now, struct agb_effect *ef)
{
	struct agb_event ev = {.type = AGB_EV_RPC_CALL};

	if (n->loopback_len == n->loopback_cap)
		n->loopback = agb_xgrow(
		    n->loopback, &n->loopback_cap, sizeof(*n->loopback));
	ev.token = TOKEN_LOOPBACK | ++n->next_token;
	n->loopback[n->loopback_len].token = ev.token;
	n->loopback[n->loopback_len].tag = ef->tag;
	n->loopback[n->loopback_len].expires_at = now + ef->timeout_ms * AGB_MS;
	n->loopback_len++;
	ev.u.rpc_args = ef->u.rpc_args;
	step(n, now, &ev, &n->pending);
	agb_event_free(&ev);
}

static void
loopback_reply(struct agb_node *n, agb_time now, struct agb_effect *ef)
{
	struct agb_event ev = {.type = AGB_EV_RPC_REPLY, .rpc_ok = true};
	size_t i;

	ev.u.rpc_res = ef->u.rpc_res;
	for (i = 0; i < n->loopback_len; i++) {
		if (n->loopback[i].token != ef->token)
			continue;
		ev.tag = n->loopback[i].tag;
		n->loopback[i] = n->loopback[--n->loopback_len];
		step(n, now, &ev, &n->pending);
		break;
	}
	agb_event_free(&ev);
}

static void
loopback_expire(struct agb_node *n, agb_time now)
{
	struct agb_event ev;
	size_t i;

	for (i = 0; i < n->loopback_len;) {
		if (now < n->loopback[i].expires_at) {
			i++;
			continue;
		}
		memset(&ev, 0, sizeof(ev));
		ev.type = AGB_EV_RPC_REPLY;
		ev.tag = n->loopback[i].tag;
		ev.rpc_sent = true;
		n->loopback[i] = n->loopback[--n->loopback_len];
		step(n, now, &ev, &n->pending);
	}
}

static bool
is_loopback(const struct agb_node *n, const struct agb_effect *ef)
{
	if (ef->type == AGB_EF_RPC_CALL)
		return strcmp(ef->peer, n->cfg.rpc) == 0;
	return ef->type == AGB_EF_RPC_REPLY &&
	    (ef->token & TOKEN_LOOPBACK) != 0;
}

void
agb_node_step(struct agb_node *n, agb_time now, const struct agb_event *ev,
    struct agb_effects *out)
{
	struct agb_effect ef;
	size_t i;

	step(n, now, ev, &n->pending);
	if (ev->type == AGB_EV_TICK)
		loopback_expire(n, now);
	/* Loopback calls append to the list while it is processed. */
	for (i = 0; i < n->pending.len; i++) {
		ef = n->pending.items[i];
		if (!is_loopback(n, &ef))
			*agb_effects_add(out, ef.type) = ef;
		else if (ef.type == AGB_EF_RPC_CALL)
			loopback_call(n, now, &ef);
		else
			loopback_reply(n, now, &ef);
	}
	n->pending.len = 0;
}

agb_time
agb_node_next_tick(const struct agb_node *n, agb_time now)
{
	agb_time t;

	t = agb_time_min(n->next_list_at, agb_member_next_tick(n->member));
	t = agb_time_min(t, agb_envsync_next_tick(n->envsync));
	t = agb_time_min(t, agb_owner_next_tick(n->owner, now));
	t = agb_time_min(t, agb_route_next_tick(n->route));
	if (n->terminating && !n->exit_sent)
		t = agb_time_min(t, now + 50 * AGB_MS);
	return t;
}

const struct agb_env *
agb_node_env(const struct agb_node *n)
{
	return agb_envsync_env(n->envsync);
}

bool
agb_node_is_owner(const struct agb_node *n, agb_time now)
{
	return agb_owner_active(n->owner, now);
}

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

/* The list lags by seconds anyway. */
#define LIST_INTERVAL (1 * AGB_SEC)
/* Answers to the list that do not come are not waited for longer. */
#define LIST_TIMEOUT (5 * AGB_SEC)
#define USAGE_INTERVAL (1 * AGB_SEC)
/* Time for the platform's balancer to see that the instance is not ready. */
#define DRAIN_GRACE (1 * AGB_SEC)
/* A token with this bit belongs to a call of the instance to itself. */
#define TOKEN_SELF (UINT64_C(1) << 63)

/* A call of the instance to itself that has not been answered; it is given
 * up like any other call when its time is over. */
struct self_call {
	uint64_t token;
	uint64_t tag;
	agb_time expires_at;
};

struct agb_node {
	struct agb_node_config cfg;
	struct agb_envsync *envsync;
	struct agb_member *member;
	struct agb_owner *owner;
	struct agb_route *route;
	struct agb_resources *team_used;
	uint64_t env_version;
	agb_time next_list;
	agb_time next_usage;
	uint64_t list_version;
	struct self_call *self;
	size_t self_len;
	size_t self_cap;
	uint64_t next_token;
	bool ready;
	bool term;
	bool exited;
	agb_time term_at;
	struct agb_effects work;
};

/* What the sub-reducers see of each other during one step. */
struct view {
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
	agb_effects_free(&n->work);
	free(n->team_used);
	free(n->self);
	free(n);
}

static void
view_open(struct agb_node *n, agb_time now, struct view *v)
{
	const struct agb_env *const env = agb_envsync_env(n->envsync);

	memset(v, 0, sizeof(*v));
	v->has_shard = agb_owner_shard_summary(n->owner, now, &v->shard);
	v->member.env = env;
	v->member.env_version = agb_envsync_version(n->envsync);
	v->member.owner = agb_owner_rpc_address(n->owner);
	v->member.active = v->has_shard;
	v->member.leaving = n->term;
	v->member.shard = v->has_shard ? &v->shard : NULL;
	v->member.team_used = n->team_used;
	v->route.env = env;
	v->route.member = n->member;
	v->route.owner = v->member.owner;
	v->route.shard = v->member.shard;
}

static void
view_close(struct view *v)
{
	if (v->has_shard)
		xdr_free((xdrproc_t)xdr_agb_x_shard, (char *)&v->shard);
}

static void
reply_status(struct agb_node *n, agb_time now, const struct view *v,
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
	    o, "env_version", json_object_new_uint64(v->member.env_version));
	json_object_object_add(
	    o, "owner", json_object_new_string(v->member.owner));
	json_object_object_add(
	    o, "is_owner", json_object_new_boolean(v->has_shard));
	json_object_object_add(o, "draining", json_object_new_boolean(n->term));
	agb_member_status(n->member, now, &v->member, o);
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
    const struct view *v, struct agb_effects *out)
{
	struct agb_effect *ef;

	switch (ev->u.rpc_args.proc) {
	case AGB_X_HEARTBEAT:
	case AGB_X_SUMMARY:
		agb_member_step(n->member, now, ev, &v->member, out);
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
	case AGB_X_TEXT:
		/* These are for the workflow reducer; here they do nothing. */
		ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
		ef->token = ev->token;
		ef->u.rpc_res.proc = ev->u.rpc_args.proc;
		if (ef->u.rpc_res.proc == AGB_X_STATUS)
			ef->u.rpc_res.agb_x_res_u.status.text = agb_xstrdup("");
		break;
	}
}

static void
on_tagged(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct view *v, struct agb_effects *out)
{
	switch (AGB_TAG_WHO(ev->tag)) {
	case AGB_TAG_ROUTE:
		agb_route_step(n->route, now, ev, &v->route, out);
		break;
	case AGB_TAG_OWNER:
		agb_owner_step(n->owner, now, ev, out);
		break;
	case AGB_TAG_ENVSYNC:
		agb_envsync_step(n->envsync, now, ev, out);
		break;
	case AGB_TAG_MEMBER:
		agb_member_step(n->member, now, ev, &v->member, out);
		break;
	}
}

static void
on_list(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct view *v, struct agb_effects *out)
{
	n->next_list = now + LIST_INTERVAL;
	if (!ev->u.list.ok)
		return;
	n->list_version = ev->u.list.version;
	agb_member_step(n->member, now, ev, &v->member, out);
	agb_owner_step(n->owner, now, ev, out);
}

static void
poll_list(struct agb_node *n, agb_time now, struct agb_effects *out)
{
	struct agb_effect *ef;

	if (now < n->next_list)
		return;
	n->next_list = now + LIST_TIMEOUT;
	ef = agb_effects_add(out, AGB_EF_LIST);
	ef->since = n->list_version;
}

static void
share_usage(struct agb_node *n, agb_time now, const struct view *v,
    struct agb_effects *out)
{
	struct agb_resources used;
	uint16_t i;

	if (now < n->next_usage || !v->has_shard || v->member.env == NULL)
		return;
	n->next_usage = now + USAGE_INTERVAL;
	for (i = 0; i < v->member.env->teams_len; i++) {
		used = agb_member_team_remote(
		    n->member, v->member.env->teams[i].name);
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
    const struct view *v, struct agb_effects *out)
{
	if (n->term)
		return;
	n->term = true;
	n->term_at = now;
	set_ready(n, false, out);
	agb_owner_step(n->owner, now, ev, out);
	agb_route_step(n->route, now, ev, &v->route, out);
}

static void
check_exit(struct agb_node *n, agb_time now, struct agb_effects *out)
{
	const bool late = now - n->term_at >= n->cfg.drain_ms * AGB_MS;

	if (!n->term || n->exited)
		return;
	if (!late &&
	    (now - n->term_at < DRAIN_GRACE ||
		agb_route_pending(n->route) > 0 ||
		!agb_owner_drained(n->owner)))
		return;
	n->exited = true;
	agb_effects_log(out, late ? AGB_LOG_WARN : AGB_LOG_INFO, "exit",
	    "pending=%zu reason=%s", agb_route_pending(n->route),
	    late ? "drain-limit" : "drained");
	agb_effects_add(out, AGB_EF_EXIT)->ready = !late;
}

/* Summaries go out with a tick only, so that no other event needs the use of
 * each team. */
static void
team_used_read(struct agb_node *n, const struct view *v)
{
	uint16_t i;

	if (!v->has_shard || v->member.env == NULL)
		return;
	for (i = 0; i < v->member.env->teams_len; i++)
		n->team_used[i] = agb_owner_local_usage(n->owner, i);
}

static void
on_tick(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct view *v, struct agb_effects *out)
{
	team_used_read(n, v);
	poll_list(n, now, out);
	agb_owner_step(n->owner, now, ev, out);
	agb_envsync_step(n->envsync, now, ev, out);
	agb_member_step(n->member, now, ev, &v->member, out);
	share_usage(n, now, v, out);
	agb_route_step(n->route, now, ev, &v->route, out);
}

static void
dispatch(struct agb_node *n, agb_time now, const struct agb_event *ev,
    const struct view *v, struct agb_effects *out)
{
	switch (ev->type) {
	case AGB_EV_TICK:
		on_tick(n, now, ev, v, out);
		break;
	case AGB_EV_TERM:
		on_term(n, now, ev, v, out);
		break;
	case AGB_EV_CALL:
		if (ev->u.call.kind == AGB_CALL_STATUS)
			reply_status(n, now, v, ev->u.call.id, out);
		else
			agb_route_step(n->route, now, ev, &v->route, out);
		break;
	case AGB_EV_CALL_GONE:
	case AGB_EV_UPSTREAM:
		agb_route_step(n->route, now, ev, &v->route, out);
		break;
	case AGB_EV_STORE:
	case AGB_EV_WATCH:
	case AGB_EV_RPC_REPLY:
		on_tagged(n, now, ev, v, out);
		break;
	case AGB_EV_LIST:
		on_list(n, now, ev, v, out);
		break;
	case AGB_EV_SESSION:
	case AGB_EV_RENEW:
	case AGB_EV_COMMANDS:
		agb_owner_step(n->owner, now, ev, out);
		break;
	case AGB_EV_RPC_CALL:
		on_rpc_call(n, now, ev, v, out);
		break;
	}
}

/* Lets the other sub-reducers see a new document, then frees the old one. */
static void
env_apply(struct agb_node *n, agb_time now, struct agb_effects *out)
{
	const struct agb_env *const env = agb_envsync_env(n->envsync);

	if (env == NULL || env->version == n->env_version)
		return;
	n->env_version = env->version;
	free(n->team_used);
	n->team_used = agb_xcalloc(env->teams_len, sizeof(*n->team_used));
	agb_owner_env_set(n->owner, now, env, out);
	agb_envsync_release(n->envsync);
	n->next_usage = now;
}

static void
after(struct agb_node *n, agb_time now, struct agb_effects *out)
{
	const char *peer;
	uint64_t version;

	env_apply(n, now, out);
	version = agb_member_version_seen(n->member, &peer);
	agb_envsync_seen(n->envsync, now, version, peer, out);
	agb_envsync_owner_set(n->envsync, now, agb_owner_active(n->owner, now),
	    agb_member_relayed(n->member, now), out);
	if (!n->term && agb_envsync_env(n->envsync) != NULL)
		set_ready(n, true, out);
	check_exit(n, now, out);
}

static void
step(struct agb_node *n, agb_time now, const struct agb_event *ev,
    struct agb_effects *out)
{
	struct view v;

	view_open(n, now, &v);
	dispatch(n, now, ev, &v, out);
	view_close(&v);
	after(n, now, out);
}

static void
self_call(struct agb_node *n, agb_time now, struct agb_effect *ef)
{
	struct agb_event ev = {.type = AGB_EV_RPC_CALL};

	if (n->self_len == n->self_cap)
		n->self = agb_xgrow(n->self, &n->self_cap, sizeof(*n->self));
	ev.token = TOKEN_SELF | ++n->next_token;
	n->self[n->self_len].token = ev.token;
	n->self[n->self_len].tag = ef->tag;
	n->self[n->self_len].expires_at = now + ef->timeout_ms * AGB_MS;
	n->self_len++;
	ev.u.rpc_args = ef->u.rpc_args;
	step(n, now, &ev, &n->work);
	agb_event_free(&ev);
}

static void
self_reply(struct agb_node *n, agb_time now, struct agb_effect *ef)
{
	struct agb_event ev = {.type = AGB_EV_RPC_REPLY, .rpc_ok = true};
	size_t i;

	ev.u.rpc_res = ef->u.rpc_res;
	for (i = 0; i < n->self_len; i++) {
		if (n->self[i].token != ef->token)
			continue;
		ev.tag = n->self[i].tag;
		n->self[i] = n->self[--n->self_len];
		step(n, now, &ev, &n->work);
		break;
	}
	agb_event_free(&ev);
}

static void
self_expire(struct agb_node *n, agb_time now)
{
	struct agb_event ev;
	size_t i;

	for (i = 0; i < n->self_len;) {
		if (now < n->self[i].expires_at) {
			i++;
			continue;
		}
		memset(&ev, 0, sizeof(ev));
		ev.type = AGB_EV_RPC_REPLY;
		ev.tag = n->self[i].tag;
		ev.rpc_sent = true;
		n->self[i] = n->self[--n->self_len];
		step(n, now, &ev, &n->work);
	}
}

static bool
to_self(const struct agb_node *n, const struct agb_effect *ef)
{
	if (ef->type == AGB_EF_RPC_CALL)
		return strcmp(ef->peer, n->cfg.rpc) == 0;
	return ef->type == AGB_EF_RPC_REPLY && (ef->token & TOKEN_SELF) != 0;
}

void
agb_node_step(struct agb_node *n, agb_time now, const struct agb_event *ev,
    struct agb_effects *out)
{
	struct agb_effect ef;
	size_t i;

	step(n, now, ev, &n->work);
	if (ev->type == AGB_EV_TICK)
		self_expire(n, now);
	/* The list grows while calls to the instance itself are carried out. */
	for (i = 0; i < n->work.len; i++) {
		ef = n->work.items[i];
		if (!to_self(n, &ef))
			*agb_effects_add(out, ef.type) = ef;
		else if (ef.type == AGB_EF_RPC_CALL)
			self_call(n, now, &ef);
		else
			self_reply(n, now, &ef);
	}
	n->work.len = 0;
}

agb_time
agb_node_next_tick(const struct agb_node *n, agb_time now)
{
	agb_time t;

	t = agb_time_min(n->next_list, agb_member_next_tick(n->member));
	t = agb_time_min(t, agb_envsync_next_tick(n->envsync));
	t = agb_time_min(t, agb_owner_next_tick(n->owner, now));
	t = agb_time_min(t, agb_route_next_tick(n->route));
	if (n->term && !n->exited)
		t = agb_time_min(t, now + 50 * AGB_MS);
	return t;
}

const struct agb_env *
agb_node_env(const struct agb_node *n)
{
	return agb_envsync_env(n->envsync);
}

bool
agb_node_active(const struct agb_node *n, agb_time now)
{
	return agb_owner_active(n->owner, now);
}

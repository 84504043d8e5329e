#include "member_internal.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "mem.h"
#include "proto.h"

/* The failure of an owner is detected through its store lease. Heartbeats only
 * carry versions and load, for which twice a second is enough. */
#define HEARTBEAT_INTERVAL (500 * AGB_MS)
#define SUMMARY_INTERVAL_SAME_REGION (1 * AGB_SEC)
/* Traffic between regions is billed by volume. */
#define SUMMARY_INTERVAL_CROSS_REGION (2 * AGB_SEC)
/* Minimum time between lists of team usage and members sent to one domain. When
 * every summary included them, the lists of 39 teams made up 60% of an owner's
 * traffic with 8 others. The load of the shard is part of every summary. */
#define LISTS_INTERVAL (4 * AGB_SEC)
/* Maximum age of a shard's state for use in routing. */
#define SHARD_VIEW_MAX_AGE (10 * AGB_SEC)
/* If the owner has not replied for this long, it is not relied on to
 * distribute documents. */
#define OWNER_MAX_SILENCE (3 * AGB_SEC)
#define RPC_TIMEOUT_MS 2000

enum {
	TAG_HEARTBEAT = 1,
	TAG_SUMMARY = 2,
	TAG_OWNER_PROBE = 3,
};

struct agb_member *
agb_member_new(const struct agb_member_config *cfg)
{
	struct agb_member *const m = agb_xcalloc(1, sizeof(*m));

	m->cfg = *cfg;
	m->rng[0] = (unsigned short)cfg->seed;
	m->rng[1] = (unsigned short)(cfg->seed >> 16);
	m->rng[2] = (unsigned short)(cfg->seed >> 32);
	return m;
}

static void
team_usage_clear(struct member_team_usage *u)
{
	u_int i;

	for (i = 0; i < u->len; i++)
		free(u->items[i].team);
	free(u->items);
	u->items = NULL;
	u->len = 0;
}

void
agb_member_free(struct agb_member *m)
{
	struct member_peer *p, *pnext;
	struct member_shard *v, *vnext;
	struct member_team_usage *u, *unext;

	if (m == NULL)
		return;
	p = m->peers;
	HASH_CLEAR(hh, m->peers);
	for (; p != NULL; p = pnext) {
		pnext = p->hh.next;
		free(p);
	}
	v = m->shards;
	HASH_CLEAR(hh, m->shards);
	for (; v != NULL; v = vnext) {
		vnext = v->hh.next;
		free(v);
	}
	u = m->usage;
	HASH_CLEAR(hh, m->usage);
	for (; u != NULL; u = unext) {
		unext = u->hh.next;
		team_usage_clear(u);
		free(u);
	}
	free(m);
}

static struct member_peer *
peer_get(struct agb_member *m, const char *instance)
{
	struct member_peer *p;

	HASH_FIND_STR(m->peers, instance, p);
	if (p == NULL) {
		p = agb_xcalloc(1, sizeof(*p));
		agb_str_copy(p->instance, sizeof(p->instance), instance);
		HASH_ADD_STR(m->peers, instance, p);
	}
	return p;
}

static struct member_shard *
shard_get(struct agb_member *m, const char *domain)
{
	struct member_shard *v;

	HASH_FIND_STR(m->shards, domain, v);
	if (v == NULL) {
		v = agb_xcalloc(1, sizeof(*v));
		agb_str_copy(v->view.domain, sizeof(v->view.domain), domain);
		HASH_ADD_KEYPTR(
		    hh, m->shards, v->view.domain, strlen(v->view.domain), v);
	}
	return v;
}

static void
note_version(struct agb_member *m, uint64_t version, const char *peer)
{
	/* A predecessor at this instance's address may have reported the
	 * version; it cannot be fetched from this process. */
	if (version < m->highest_version || strcmp(peer, m->cfg.rpc) == 0)
		return;
	m->highest_version = version;
	agb_str_copy(
	    m->highest_version_peer, sizeof(m->highest_version_peer), peer);
}

/* Applies a summary if it is newer than the known state: a higher epoch, or the
 * same epoch with a higher serial. */
static void
update_shard(struct agb_member *m, agb_time now, const agb_x_shard *s)
{
	struct agb_shard_view *v;
	const agb_time age = s->age_ms * AGB_MS;

	if (strcmp(s->domain, m->cfg.domain) == 0 &&
	    strcmp(s->owner_rpc, m->cfg.rpc) == 0)
		return;
	v = &shard_get(m, s->domain)->view;
	if (s->epoch < v->epoch ||
	    (s->epoch == v->epoch && s->serial <= v->serial))
		return;
	agb_str_copy(v->owner, sizeof(v->owner), s->owner_rpc);
	v->epoch = s->epoch;
	v->serial = s->serial;
	v->measured_at = age < now ? now - age : 0;
	v->slots_free = s->slots_free;
	v->quick_queued = s->quick_queued;
	v->tasks_queued = s->tasks_queued;
	v->wait_ms = s->wait_ms;
	v->free = agb_proto_resources_from_msg(&s->free);
}

static void
update_peer(struct agb_member *m, agb_time now, const agb_x_member *x)
{
	const agb_time age = x->age_ms * AGB_MS;
	const agb_time at = age < now ? now - age : 0;
	struct member_peer *const p = peer_get(m, x->instance);

	if (at < p->last_seen)
		return;
	agb_str_copy(p->domain, sizeof(p->domain), x->domain);
	agb_str_copy(p->rpc, sizeof(p->rpc), x->rpc);
	p->env_version = x->env_version;
	p->last_seen = at;
}

/* Replaces the team usage of one shard if the report is newer. */
static void
update_team_usage(struct agb_member *m, const agb_x_summary_args *a)
{
	const agb_x_shard *const s = &a->shard;
	struct member_team_usage *u;
	u_int i;

	HASH_FIND_STR(m->usage, s->domain, u);
	if (u == NULL) {
		u = agb_xcalloc(1, sizeof(*u));
		agb_str_copy(u->domain, sizeof(u->domain), s->domain);
		HASH_ADD_STR(m->usage, domain, u);
	} else if (s->epoch < u->epoch ||
	    (s->epoch == u->epoch && s->serial <= u->serial)) {
		return;
	}
	team_usage_clear(u);
	u->epoch = s->epoch;
	u->serial = s->serial;
	u->items = agb_xcalloc(a->teams.teams_len, sizeof(*u->items));
	for (i = 0; i < a->teams.teams_len; i++) {
		u->items[i] = a->teams.teams_val[i];
		u->items[i].team = agb_xstrdup(a->teams.teams_val[i].team);
	}
	u->len = a->teams.teams_len;
}

static void
update_instances(struct agb_member *m, const struct agb_ev_instances *list)
{
	const struct agb_instance *it;
	struct member_peer *p;
	size_t i;

	if (!list->ok)
		return;
	for (i = 0; i < list->items_len; i++) {
		it = &list->items[i];
		agb_str_copy(shard_get(m, it->domain)->view.region,
		    AGB_NAME_LEN, it->region);
		if (it->kind != AGB_INSTANCE_ENTRY)
			continue;
		if (it->state == AGB_INSTANCE_GONE) {
			HASH_FIND_STR(m->peers, it->id, p);
			if (p != NULL) {
				HASH_DEL(m->peers, p);
				free(p);
			}
			continue;
		}
		p = peer_get(m, it->id);
		agb_str_copy(p->region, sizeof(p->region), it->region);
		agb_str_copy(p->domain, sizeof(p->domain), it->domain);
		agb_str_copy(p->rpc, sizeof(p->rpc), it->rpc);
		p->state = it->state;
	}
}

static void
fill_own_member(const struct agb_member *m, const struct agb_member_input *in,
    agb_x_member *x)
{
	x->instance = agb_xstrdup(m->cfg.instance);
	x->domain = agb_xstrdup(m->cfg.domain);
	x->rpc = agb_xstrdup(m->cfg.rpc);
	x->env_version = in->env_version;
	x->age_ms = 0;
}

static struct agb_effect *
rpc_call_add(
    struct agb_effects *out, unsigned tag, const char *peer, agb_x_proc proc)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_CALL);

	ef->tag = AGB_TAG(AGB_TAG_MEMBER, tag);
	ef->timeout_ms = RPC_TIMEOUT_MS;
	agb_str_copy(ef->peer, sizeof(ef->peer), peer);
	ef->u.rpc_args.proc = proc;
	return ef;
}

static void
send_heartbeat(const struct agb_member *m, const struct agb_member_input *in,
    unsigned tag, const char *peer, struct agb_effects *out)
{
	struct agb_effect *const ef =
	    rpc_call_add(out, tag, peer, AGB_X_HEARTBEAT);
	agb_x_heartbeat_args *const a = &ef->u.rpc_args.agb_x_args_u.heartbeat;

	fill_own_member(m, in, &a->from);
	a->leaving = in->leaving;
}

/* Lists the recently seen instances of the local domain for other owners. */
static void
fill_members(const struct agb_member *m, agb_time now,
    const struct agb_member_input *in, agb_x_summary_args *a)
{
	const struct member_peer *p;
	agb_x_member *x;

	a->members.members_val =
	    agb_xcalloc(HASH_COUNT(m->peers) + 1, sizeof(*x));
	fill_own_member(m, in, &a->members.members_val[0]);
	a->members.members_len = 1;
	for (p = m->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->domain, m->cfg.domain) != 0 ||
		    strcmp(p->instance, m->cfg.instance) == 0 ||
		    p->last_seen == 0 || now - p->last_seen > MEMBER_MAX_AGE ||
		    a->members.members_len == AGB_X_ITEMS_MAX)
			continue;
		x = &a->members.members_val[a->members.members_len++];
		x->instance = agb_xstrdup(p->instance);
		x->domain = agb_xstrdup(p->domain);
		x->rpc = agb_xstrdup(p->rpc);
		x->env_version = p->env_version;
		x->age_ms = member_age_ms(now, p->last_seen);
	}
}

static void
fill_teams(const struct agb_member_input *in, agb_x_summary_args *a)
{
	static const struct agb_resources zero;
	const struct agb_env *const env = in->env;
	agb_x_team_use *x;
	uint16_t i;

	if (env == NULL || in->team_used == NULL)
		return;
	a->teams.teams_val = agb_xcalloc(env->teams_len, sizeof(*x));
	for (i = 0; i < env->teams_len && i < AGB_X_TEAMS_MAX; i++) {
		if (memcmp(&in->team_used[i], &zero, sizeof(zero)) == 0)
			continue;
		x = &a->teams.teams_val[a->teams.teams_len++];
		x->team = agb_xstrdup(env->teams[i].name);
		x->used = agb_proto_resources_to_msg(&in->team_used[i]);
	}
}

static void
send_summary(struct agb_member *m, agb_time now,
    const struct agb_member_input *in, struct member_shard *w,
    struct agb_effects *out)
{
	struct agb_effect *const ef =
	    rpc_call_add(out, TAG_SUMMARY, w->view.owner, AGB_X_SUMMARY);
	agb_x_summary_args *const a = &ef->u.rpc_args.agb_x_args_u.summary;

	a->env_version = in->env_version;
	agb_proto_clone(
	    (xdrproc_t)xdr_agb_x_shard, &a->shard, in->shard, sizeof(a->shard));
	a->shard.serial = m->serial;
	if (now >= w->next_lists_at || w->lists_epoch != w->view.epoch) {
		w->next_lists_at = now + LISTS_INTERVAL;
		w->lists_epoch = w->view.epoch;
		a->has_teams = TRUE;
		fill_teams(in, a);
		fill_members(m, now, in, a);
	}
}

/* Picks a random live entry instance of a domain by reservoir sampling. It is
 * asked for the owner of the domain's shard. */
static const struct member_peer *
peer_pick_random(struct agb_member *m, const char *domain)
{
	const struct member_peer *p, *best;
	unsigned seen;

	best = NULL;
	seen = 0;
	for (p = m->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->domain, domain) != 0 || p->rpc[0] == '\0' ||
		    p->state != AGB_INSTANCE_LIVE ||
		    strcmp(p->instance, m->cfg.instance) == 0)
			continue;
		seen++;
		if ((unsigned)nrand48(m->rng) % seen == 0)
			best = p;
	}
	return best;
}

static void
sync_domain(struct agb_member *m, agb_time now,
    const struct agb_member_input *in, struct member_shard *w,
    struct agb_effects *out)
{
	const bool cross_region = strcmp(w->view.region, m->cfg.region) != 0;
	const struct member_peer *p;

	if (strcmp(w->view.domain, m->cfg.domain) == 0 ||
	    now < w->next_summary_at)
		return;
	w->next_summary_at = now +
	    (cross_region ? SUMMARY_INTERVAL_CROSS_REGION
			  : SUMMARY_INTERVAL_SAME_REGION);
	if (w->view.owner[0] != '\0')
		send_summary(m, now, in, w, out);
	if (w->view.owner[0] != '\0' &&
	    now - w->view.measured_at < 2 * SUMMARY_INTERVAL_CROSS_REGION)
		return;
	p = peer_pick_random(m, w->view.domain);
	if (p != NULL)
		send_heartbeat(m, in, TAG_OWNER_PROBE, p->rpc, out);
}

static void
on_tick(struct agb_member *m, agb_time now, const struct agb_member_input *in,
    struct agb_effects *out)
{
	struct member_shard *w;

	if (now >= m->next_heartbeat_at) {
		m->next_heartbeat_at = now + HEARTBEAT_INTERVAL;
		if (!in->is_owner && in->owner[0] != '\0')
			send_heartbeat(m, in, TAG_HEARTBEAT, in->owner, out);
	}
	if (!in->is_owner || now < m->next_summary_at)
		return;
	m->next_summary_at = now + SUMMARY_INTERVAL_SAME_REGION;
	m->serial++;
	for (w = m->shards; w != NULL; w = w->hh.next) {
		sync_domain(m, now, in, w, out);
	}
}

static void
answer_heartbeat(struct agb_member *m, agb_time now, const struct agb_event *ev,
    const struct agb_member_input *in, struct agb_effects *out)
{
	const agb_x_heartbeat_args *const a =
	    &ev->u.rpc_args.agb_x_args_u.heartbeat;
	struct agb_effect *ef;
	agb_x_heartbeat_res *r;
	struct member_shard *w;

	update_peer(m, now, &a->from);
	note_version(m, a->from.env_version, a->from.rpc);
	ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	ef->token = ev->token;
	ef->u.rpc_res.proc = AGB_X_HEARTBEAT;
	r = &ef->u.rpc_res.agb_x_res_u.heartbeat;
	r->env_version = in->env_version;
	r->is_owner = in->is_owner;
	r->shards.shards_val = agb_xcalloc(
	    HASH_COUNT(m->shards) + 1, sizeof(*r->shards.shards_val));
	if (in->is_owner) {
		agb_proto_clone((xdrproc_t)xdr_agb_x_shard,
		    &r->shards.shards_val[0], in->shard, sizeof(*in->shard));
		r->shards.shards_val[0].serial = ++m->serial;
		r->shards.shards_len = 1;
	}
	for (w = m->shards; w != NULL; w = w->hh.next) {
		if (w->view.owner[0] == '\0' ||
		    now - w->view.measured_at > SHARD_VIEW_MAX_AGE ||
		    r->shards.shards_len == AGB_X_SHARDS_MAX ||
		    (in->is_owner &&
			strcmp(w->view.domain, m->cfg.domain) == 0))
			continue;
		member_fill_shard(&w->view, now,
		    &r->shards.shards_val[r->shards.shards_len++]);
	}
}

static void
answer_summary(struct agb_member *m, agb_time now, const struct agb_event *ev,
    const struct agb_member_input *in, struct agb_effects *out)
{
	const agb_x_summary_args *const a =
	    &ev->u.rpc_args.agb_x_args_u.summary;
	struct agb_effect *ef;
	u_int i;

	update_shard(m, now, &a->shard);
	note_version(m, a->env_version, a->shard.owner_rpc);
	if (a->has_teams)
		update_team_usage(m, a);
	for (i = 0; i < a->members.members_len; i++)
		update_peer(m, now, &a->members.members_val[i]);
	ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	ef->token = ev->token;
	ef->u.rpc_res.proc = AGB_X_SUMMARY;
	ef->u.rpc_res.agb_x_res_u.summary.env_version = in->env_version;
}

static void
on_heartbeat_reply(struct agb_member *m, agb_time now,
    const struct agb_event *ev, const struct agb_member_input *in)
{
	const agb_x_heartbeat_res *r;
	u_int i;

	if (!ev->rpc_ok || ev->u.rpc_res.proc != AGB_X_HEARTBEAT)
		return;
	r = &ev->u.rpc_res.agb_x_res_u.heartbeat;
	for (i = 0; i < r->shards.shards_len; i++)
		update_shard(m, now, &r->shards.shards_val[i]);
	if ((ev->tag & 0xff) != TAG_HEARTBEAT || !r->is_owner)
		return;
	m->owner_replied = true;
	m->owner_replied_at = now;
	note_version(m, r->env_version, in->owner);
}

void
agb_member_step(struct agb_member *m, agb_time now, const struct agb_event *ev,
    const struct agb_member_input *in, struct agb_effects *out)
{
	switch (ev->type) {
	case AGB_EV_TICK:
		on_tick(m, now, in, out);
		break;
	case AGB_EV_INSTANCES:
		update_instances(m, &ev->u.list);
		break;
	case AGB_EV_RPC_REPLY:
		on_heartbeat_reply(m, now, ev, in);
		break;
	case AGB_EV_RPC_CALL:
		if (ev->u.rpc_args.proc == AGB_X_HEARTBEAT)
			answer_heartbeat(m, now, ev, in, out);
		else if (ev->u.rpc_args.proc == AGB_X_SUMMARY)
			answer_summary(m, now, ev, in, out);
		break;
	default:
		break;
	}
}

bool
agb_member_owner_responsive(const struct agb_member *m, agb_time now)
{
	return m->owner_replied &&
	    now - m->owner_replied_at < OWNER_MAX_SILENCE;
}

const struct agb_shard_view *
agb_member_shard_find(
    const struct agb_member *m, agb_time now, const char *domain)
{
	const struct member_shard *v;

	HASH_FIND_STR(m->shards, domain, v);
	if (v == NULL || v->view.owner[0] == '\0' ||
	    now - v->view.measured_at > SHARD_VIEW_MAX_AGE)
		return NULL;
	return &v->view;
}

struct agb_resources
agb_member_remote_team_usage(const struct agb_member *m, const char *team)
{
	struct agb_resources sum = {0};
	struct agb_resources used;
	const struct member_team_usage *u;
	u_int i;

	for (u = m->usage; u != NULL; u = u->hh.next) {
		if (strcmp(u->domain, m->cfg.domain) == 0)
			continue;
		for (i = 0; i < u->len; i++) {
			if (strcmp(u->items[i].team, team) != 0)
				continue;
			used = agb_proto_resources_from_msg(&u->items[i].used);
			agb_resources_add(&sum, &used);
		}
	}
	return sum;
}

uint64_t
agb_member_highest_version(const struct agb_member *m, const char **peer)
{
	*peer = m->highest_version_peer;
	return m->highest_version;
}

agb_time
agb_member_next_tick(const struct agb_member *m)
{
	return m->next_heartbeat_at;
}

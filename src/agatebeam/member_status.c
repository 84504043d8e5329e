#include <string.h>

#include "mem.h"
#include "member_internal.h"
#include "proto.h"

uint32_t
member_age_ms(agb_time now, agb_time at)
{
	const agb_time ms = now > at ? (now - at) / AGB_MS : 0;

	return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

void
member_fill_shard(const struct agb_shard_view *v, agb_time now, agb_x_shard *x)
{
	x->domain = agb_xstrdup(v->domain);
	x->owner_rpc = agb_xstrdup(v->owner);
	x->epoch = v->epoch;
	x->serial = v->serial;
	x->age_ms = member_age_ms(now, v->measured_at);
	x->slots_free = v->slots_free;
	x->quick_queued = v->quick_queued;
	x->tasks_queued = v->tasks_queued;
	x->wait_ms = v->wait_ms;
	x->free = agb_proto_resources_to_msg(&v->free);
}

static json_object *
shard_json(const agb_x_shard *s)
{
	json_object *const o = json_object_new_object();

	json_object_object_add(o, "domain", json_object_new_string(s->domain));
	json_object_object_add(
	    o, "owner", json_object_new_string(s->owner_rpc));
	json_object_object_add(o, "epoch", json_object_new_uint64(s->epoch));
	json_object_object_add(o, "age_ms", json_object_new_int64(s->age_ms));
	json_object_object_add(
	    o, "slots_free", json_object_new_int64(s->slots_free));
	json_object_object_add(
	    o, "quick_queued", json_object_new_int64(s->quick_queued));
	json_object_object_add(
	    o, "tasks_queued", json_object_new_int64(s->tasks_queued));
	json_object_object_add(o, "wait_ms", json_object_new_int64(s->wait_ms));
	return o;
}

static json_object *
member_json(
    const char *instance, const char *domain, uint64_t version, uint32_t age)
{
	json_object *const o = json_object_new_object();

	json_object_object_add(o, "instance", json_object_new_string(instance));
	json_object_object_add(o, "domain", json_object_new_string(domain));
	json_object_object_add(
	    o, "env_version", json_object_new_uint64(version));
	json_object_object_add(o, "age_ms", json_object_new_int64(age));
	return o;
}

void
agb_member_status_json(const struct agb_member *m, agb_time now,
    const struct agb_member_input *in, json_object *to)
{
	json_object *const shards = json_object_new_array();
	json_object *const members = json_object_new_array();
	const struct member_shard *w;
	const struct member_peer *p;
	agb_x_shard s;

	if (in->is_owner)
		json_object_array_add(shards, shard_json(in->shard));
	for (w = m->shards; w != NULL; w = w->hh.next) {
		if (w->view.owner[0] == '\0' ||
		    (in->is_owner &&
			strcmp(w->view.domain, m->cfg.domain) == 0))
			continue;
		memset(&s, 0, sizeof(s));
		member_fill_shard(&w->view, now, &s);
		json_object_array_add(shards, shard_json(&s));
		xdr_free((xdrproc_t)xdr_agb_x_shard, (char *)&s);
	}
	json_object_array_add(members,
	    member_json(m->cfg.instance, m->cfg.domain, in->env_version, 0));
	for (p = m->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->instance, m->cfg.instance) == 0 ||
		    p->last_seen == 0 || now - p->last_seen > MEMBER_MAX_AGE)
			continue;
		json_object_array_add(members,
		    member_json(p->instance, p->domain, p->env_version,
			member_age_ms(now, p->last_seen)));
	}
	json_object_object_add(to, "shards", shards);
	json_object_object_add(to, "members", members);
}

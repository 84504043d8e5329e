#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"
#include "owner_internal.h"

/* Candidates wait up to this long, so that they do not all write at once. */
#define CAMPAIGN_JITTER_MS 120
#define CAMPAIGN_DELAY_MS 10

void
own_elect_init(struct agb_owner *o)
{
	struct own_elect *const e = &o->elect;

	e->shard = agb_xasprintf(
	    "agatebeam/%s/shard/%s/", o->cfg.environment, o->cfg.domain);
	e->key = agb_xasprintf("%sowner", e->shard);
}

void
own_elect_free(struct agb_owner *o)
{
	free(o->elect.shard);
	free(o->elect.key);
	free(o->elect.value);
	memset(&o->elect, 0, sizeof(o->elect));
}

/*
 * Whether the store lease is held for certain. Every effect that is safe
 * only while no other instance can own the shard asks this with the present
 * time, so a process that was paused past its lease notices by itself.
 */
bool
own_leased(const struct agb_owner *o, agb_time now)
{
	return o->epoch != 0 && now < o->elect.bound;
}

static struct agb_effect *
store_call(struct agb_owner *o, struct agb_effects *out, uint64_t *tag)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_STORE);

	*tag = own_tag(o);
	ef->tag = *tag;
	ef->timeout_ms = OWN_STORE_TIMEOUT_MS;
	return ef;
}

static void
look(struct agb_owner *o, struct agb_effects *out)
{
	struct agb_effect *const ef = store_call(o, out, &o->elect.tag_look);

	agb_store_op_range(&ef->u.store, o->elect.key, NULL, 1);
}

static void
lease_revoke(struct agb_owner *o, struct agb_effects *out)
{
	struct agb_effect *ef;

	if (o->elect.lease == 0)
		return;
	ef = store_call(o, out, &o->elect.tag_end);
	agb_store_op_init(&ef->u.store, AGB_STORE_LEASE_REVOKE);
	ef->u.store.lease = o->elect.lease;
	o->elect.lease = 0;
}

static void
known_set(struct agb_owner *o, const char *val, size_t len)
{
	struct own_elect *const e = &o->elect;
	struct json_tokener *const tok = json_tokener_new();
	struct json_object *obj, *v;

	e->known[0] = '\0';
	e->known_instance[0] = '\0';
	if (tok == NULL)
		return;
	obj = json_tokener_parse_ex(tok, val, (int)len);
	if (obj != NULL && json_object_is_type(obj, json_type_object)) {
		if (json_object_object_get_ex(obj, "rpc", &v))
			agb_name_set(e->known, sizeof(e->known),
			    json_object_get_string(v));
		if (json_object_object_get_ex(obj, "instance", &v))
			agb_name_set(e->known_instance,
			    sizeof(e->known_instance),
			    json_object_get_string(v));
	}
	json_object_put(obj);
	json_tokener_free(tok);
}

void
own_drop(
    struct agb_owner *o, agb_time now, const char *why, struct agb_effects *out)
{
	agb_effects_log(out, AGB_LOG_WARN, "role-lost",
	    "domain=%s epoch=%llu reason=\"%s\"", o->cfg.domain,
	    (unsigned long long)o->epoch, why);
	own_commit_drop(o, now, out);
	own_grant_drop(o, AGB_REASON_NO_OWNER, why, out);
	own_job_drop_waits(o, why, out);
	own_reset(o);
	lease_revoke(o, out);
	o->epoch = 0;
	o->elect.bound = 0;
	o->elect.tag_keep = 0;
	o->elect.keep_at = 0;
	o->role = o->term ? OWN_DRAINED : OWN_FOLLOWER;
	o->elect.look_at = now;
}

static void
candidate_stop(struct agb_owner *o, struct agb_effects *out)
{
	lease_revoke(o, out);
	o->elect.tag_grant = 0;
	o->elect.tag_create = 0;
	o->elect.create_lost = false;
	free(o->elect.value);
	o->elect.value = NULL;
	o->role = OWN_FOLLOWER;
}

static void
elected(
    struct agb_owner *o, agb_time now, uint64_t epoch, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;

	o->epoch = epoch;
	o->role = OWN_RECOVERING;
	o->since = now;
	e->tag_create = 0;
	e->create_lost = false;
	e->absent = false;
	e->known[0] = '\0';
	e->keep_at = e->lease_sent + OWN_KEEP_EVERY;
	agb_effects_log(out, AGB_LOG_INFO, "takeover",
	    "domain=%s epoch=%llu instance=%s", o->cfg.domain,
	    (unsigned long long)epoch, o->cfg.instance);
	own_recover_start(o, now, out);
}

static void
seen_absent(struct agb_owner *o, agb_time now, uint64_t revision,
    struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;

	/* An answer from before our own key was created says nothing. */
	if (o->epoch != 0 && revision < o->epoch)
		return;
	if (o->epoch != 0 && o->role != OWN_HANDOVER)
		own_drop(o, now, "owner key is gone", out);
	else if (o->role == OWN_CANDIDATE && e->create_lost)
		/* The lost transaction may still arrive: it fails once its
		 * lease is gone. */
		candidate_stop(o, out);
	e->absent = true;
	e->known[0] = '\0';
	if (o->role == OWN_FOLLOWER && e->campaign_at == 0)
		e->campaign_at = (now < e->not_before ? e->not_before : now) +
		    CAMPAIGN_DELAY_MS * AGB_MS +
		    own_random(o, CAMPAIGN_JITTER_MS * 1000);
}

static void
seen_present(struct agb_owner *o, agb_time now, const struct agb_store_kv *kv,
    struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	const bool own = e->value != NULL && kv->val_len == strlen(e->value) &&
	    memcmp(kv->val, e->value, kv->val_len) == 0;

	if (own) {
		if (o->role == OWN_CANDIDATE && e->lease != 0)
			elected(o, now, kv->create_rev, out);
		return;
	}
	if (o->epoch != 0 && kv->create_rev < o->epoch)
		return;
	if (o->epoch != 0)
		own_drop(o, now, "another instance owns the shard", out);
	if (o->role == OWN_CANDIDATE)
		candidate_stop(o, out);
	e->absent = false;
	e->campaign_at = 0;
	known_set(o, kv->val, kv->val_len);
}

static void
looked(struct agb_owner *o, agb_time now, const struct agb_store_result *r,
    struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	struct agb_effect *ef;

	if (r->status != AGB_STORE_OK) {
		e->look_at = now + own_backoff(o, &e->retry_ms) * AGB_MS;
		return;
	}
	e->retry_ms = 0;
	if (r->kvs_len > 0)
		seen_present(o, now, &r->kvs[0], out);
	else
		seen_absent(o, now, r->revision, out);
	if (!e->watching) {
		e->watching = true;
		e->tag_watch = own_tag(o);
		ef = agb_effects_add(out, AGB_EF_WATCH);
		ef->tag = e->tag_watch;
		ef->u.watch.key = agb_xstrdup(e->key);
		ef->u.watch.from_rev = r->revision + 1;
	}
}

static void
granted(struct agb_owner *o, agb_time now, const struct agb_store_result *r,
    struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	uint32_t ttl = OWN_LEASE_TTL_S;
	struct agb_effect *ef;

	if (r->status != AGB_STORE_OK || r->lease == 0) {
		candidate_stop(o, out);
		e->look_at = now + own_backoff(o, &e->retry_ms) * AGB_MS;
		return;
	}
	if (r->ttl_s > 0 && r->ttl_s < ttl)
		ttl = r->ttl_s;
	e->lease = r->lease;
	e->bound = e->lease_sent + ttl * AGB_SEC - OWN_LEASE_DRIFT;
	ef = store_call(o, out, &e->tag_create);
	agb_store_op_init(&ef->u.store, AGB_STORE_TXN);
	agb_store_op_cmp(&ef->u.store, e->key, AGB_STORE_CREATE_REV, 0);
	agb_store_op_put(
	    &ef->u.store, e->key, e->value, strlen(e->value), e->lease);
}

static void
created(struct agb_owner *o, agb_time now, const struct agb_store_result *r,
    struct agb_effects *out)
{
	if (r->status == AGB_STORE_OK && r->succeeded) {
		elected(o, now, r->revision, out);
		return;
	}
	if (r->status == AGB_STORE_LOST) {
		/* It may have taken effect: the value tells. */
		o->elect.create_lost = true;
		o->elect.look_at = now;
		return;
	}
	candidate_stop(o, out);
	o->elect.look_at = now + own_backoff(o, &o->elect.retry_ms) * AGB_MS;
}

static void
kept(struct agb_owner *o, agb_time now, const struct agb_store_result *r,
    struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;

	if (r->status != AGB_STORE_OK) {
		e->keep_at = now + own_backoff(o, &e->retry_ms) * AGB_MS;
		return;
	}
	e->retry_ms = 0;
	if (r->ttl_s == 0) {
		e->bound = 0;
		e->look_at = now;
		e->keep_at = now + OWN_KEEP_EVERY;
		return;
	}
	/* Counted from the sending, since the store may have renewed it as
	 * early as that. */
	e->bound = e->lease_sent +
	    (r->ttl_s < OWN_LEASE_TTL_S ? r->ttl_s : OWN_LEASE_TTL_S) *
		AGB_SEC -
	    OWN_LEASE_DRIFT;
	e->keep_at = e->lease_sent + OWN_KEEP_EVERY;
}

bool
own_elect_store(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_store_result *r, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;

	if (tag == e->tag_look) {
		e->tag_look = 0;
		looked(o, now, r, out);
	} else if (tag == e->tag_grant) {
		e->tag_grant = 0;
		if (o->role == OWN_CANDIDATE)
			granted(o, now, r, out);
	} else if (tag == e->tag_create) {
		e->tag_create = 0;
		if (o->role == OWN_CANDIDATE)
			created(o, now, r, out);
	} else if (tag == e->tag_keep) {
		e->tag_keep = 0;
		if (o->epoch != 0)
			kept(o, now, r, out);
	} else if (tag == e->tag_end) {
		e->tag_end = 0;
		if (o->role == OWN_HANDOVER) {
			o->role = OWN_DRAINED;
			o->epoch = 0;
		}
	} else {
		return false;
	}
	return true;
}

void
own_elect_watch(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_ev_watch *w, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	size_t i;

	if (!e->watching || tag != e->tag_watch)
		return;
	for (i = 0; i < w->kvs_len; i++) {
		if (w->kvs[i].deleted)
			seen_absent(o, now, w->kvs[i].mod_rev, out);
		else
			seen_present(o, now, &w->kvs[i], out);
	}
	if (w->broken) {
		e->watching = false;
		e->look_at = now + own_backoff(o, &e->retry_ms) * AGB_MS;
	}
}

static void
campaign(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	struct json_object *const v = json_object_new_object();
	struct agb_effect *ef;
	char id[40];

	o->role = OWN_CANDIDATE;
	e->campaign_at = 0;
	snprintf(id, sizeof(id), "%08x%08x-%llx", own_random(o, UINT32_MAX),
	    own_random(o, UINT32_MAX), (unsigned long long)o->serial);
	json_object_object_add(
	    v, "instance", json_object_new_string(o->cfg.instance));
	json_object_object_add(v, "rpc", json_object_new_string(o->cfg.rpc));
	json_object_object_add(v, "id", json_object_new_string(id));
	free(e->value);
	e->value = agb_xstrdup(
	    json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN));
	json_object_put(v);
	ef = store_call(o, out, &e->tag_grant);
	agb_store_op_init(&ef->u.store, AGB_STORE_LEASE_GRANT);
	ef->u.store.ttl_s = OWN_LEASE_TTL_S;
	e->lease_sent = now;
}

void
own_elect_tick(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	struct agb_effect *ef;

	if (o->role == OWN_DRAINED)
		return;
	if (e->tag_look == 0 && now >= e->look_at &&
	    (!e->watching || e->look_at != 0)) {
		e->look_at = 0;
		look(o, out);
	}
	if (o->role == OWN_FOLLOWER && e->campaign_at != 0 && e->absent &&
	    now >= e->campaign_at && o->env != NULL && !o->term)
		campaign(o, now, out);
	if (o->epoch != 0 && e->lease != 0 && e->tag_keep == 0 &&
	    now >= e->keep_at && o->role != OWN_HANDOVER) {
		e->lease_sent = now;
		ef = store_call(o, out, &e->tag_keep);
		agb_store_op_init(&ef->u.store, AGB_STORE_LEASE_KEEPALIVE);
		ef->u.store.lease = e->lease;
	}
}

agb_time
own_elect_next(const struct agb_owner *o, agb_time now)
{
	const struct own_elect *const e = &o->elect;
	agb_time at = AGB_TIME_MAX;

	if (o->role == OWN_DRAINED)
		return at;
	if (e->tag_look == 0 && (!e->watching || e->look_at != 0))
		at = e->look_at;
	if (o->role == OWN_FOLLOWER && e->campaign_at != 0 && e->absent &&
	    o->env != NULL && !o->term && e->campaign_at < at)
		at = e->campaign_at;
	if (o->epoch != 0 && e->lease != 0 && e->tag_keep == 0 &&
	    e->keep_at < at && o->role != OWN_HANDOVER)
		at = e->keep_at;
	if (o->term) {
		const agb_time end = o->term_at + OWN_HANDOVER_MAX;

		at = end < at ? end : at;
	}
	return at > now ? at : now;
}

/*
 * Hands the role over after SIGTERM: once the journal is flushed, the owner
 * key is deleted in a transaction that the epoch fences, and its lease is
 * revoked with it.
 */
void
own_handover(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct agb_effect *ef;

	if (o->role == OWN_DRAINED)
		return;
	if (o->role == OWN_FOLLOWER) {
		o->role = OWN_DRAINED;
		return;
	}
	if (now >= o->term_at + OWN_HANDOVER_MAX) {
		if (o->epoch != 0)
			own_drop(o, now, "the store does not answer", out);
		else
			candidate_stop(o, out);
		o->role = OWN_DRAINED;
		return;
	}
	if (o->role == OWN_CANDIDATE && o->elect.tag_create == 0 &&
	    !o->elect.create_lost) {
		candidate_stop(o, out);
		o->role = OWN_DRAINED;
		return;
	}
	if ((o->role != OWN_ACTIVE && o->role != OWN_RECOVERING) ||
	    !own_commit_idle(o))
		return;
	o->role = OWN_HANDOVER;
	agb_effects_log(out, AGB_LOG_INFO, "handover", "domain=%s epoch=%llu",
	    o->cfg.domain, (unsigned long long)o->epoch);
	own_grant_drop(
	    o, AGB_REASON_DRAINING, "the owner is shutting down", out);
	own_job_drop_waits(o, "the owner is shutting down", out);
	/* Nothing is left to serve, and placement must not outlive the
	 * document that it was last told. */
	own_reset(o);
	ef = store_call(o, out, &o->elect.tag_end);
	agb_store_op_init(&ef->u.store, AGB_STORE_TXN);
	agb_store_op_cmp(
	    &ef->u.store, o->elect.key, AGB_STORE_CREATE_REV, o->epoch);
	agb_store_op_delete(&ef->u.store, o->elect.key, NULL);
	if (o->elect.lease == 0)
		return;
	ef = agb_effects_add(out, AGB_EF_STORE);
	ef->tag = own_tag(o);
	ef->timeout_ms = OWN_STORE_TIMEOUT_MS;
	agb_store_op_init(&ef->u.store, AGB_STORE_LEASE_REVOKE);
	ef->u.store.lease = o->elect.lease;
	o->elect.lease = 0;
}

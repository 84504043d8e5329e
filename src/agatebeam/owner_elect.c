#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"
#include "owner_internal.h"

/* A candidate campaigns after the delay plus a random time up to the jitter, so
 * that candidates do not all write at once. */
#define CAMPAIGN_JITTER_MS 120
#define CAMPAIGN_DELAY_MS 10

void
own_elect_init(struct agb_owner *o)
{
	struct own_elect *const e = &o->elect;

	e->shard_prefix = agb_xasprintf(
	    "agatebeam/%s/shard/%s/", o->cfg.environment, o->cfg.domain);
	e->owner_key = agb_xasprintf("%sowner", e->shard_prefix);
}

void
own_elect_free(struct agb_owner *o)
{
	free(o->elect.shard_prefix);
	free(o->elect.owner_key);
	free(o->elect.owner_value);
	memset(&o->elect, 0, sizeof(o->elect));
}

/*
 * Whether the store lease is certain to be held. This is checked with the
 * present time before every effect that is safe only while no other instance
 * can own the shard. So a process that was paused past the end of its lease
 * notices without hearing from the store.
 */
bool
own_lease_held(const struct agb_owner *o, agb_time now)
{
	return o->epoch != 0 && now < o->elect.lease_valid_until;
}

static struct agb_effect *
store_call(struct agb_owner *o, struct agb_effects *out, uint64_t *tag)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_STORE);

	*tag = own_tag_new(o);
	ef->tag = *tag;
	ef->timeout_ms = OWN_STORE_TIMEOUT_MS;
	return ef;
}

static void
read_owner_key(struct agb_owner *o, struct agb_effects *out)
{
	struct agb_effect *const ef = store_call(o, out, &o->elect.tag_read);

	agb_store_op_init_range(&ef->u.store, o->elect.owner_key, NULL, 1);
}

static void
lease_revoke(struct agb_owner *o, struct agb_effects *out)
{
	struct agb_effect *ef;

	if (o->elect.lease_id == 0)
		return;
	ef = store_call(o, out, &o->elect.tag_release);
	agb_store_op_init(&ef->u.store, AGB_STORE_LEASE_REVOKE);
	ef->u.store.lease = o->elect.lease_id;
	o->elect.lease_id = 0;
}

/* Takes the owner's addresses from the JSON value of the owner key. */
static void
set_known_owner(struct agb_owner *o, const char *val, size_t len)
{
	struct own_elect *const e = &o->elect;
	struct json_tokener *const tok = json_tokener_new();
	struct json_object *obj, *v;

	e->owner_rpc[0] = '\0';
	e->owner_instance[0] = '\0';
	if (tok == NULL)
		return;
	obj = json_tokener_parse_ex(tok, val, (int)len);
	if (obj != NULL && json_object_is_type(obj, json_type_object)) {
		if (json_object_object_get_ex(obj, "rpc", &v))
			agb_str_copy(e->owner_rpc, sizeof(e->owner_rpc),
			    json_object_get_string(v));
		if (json_object_object_get_ex(obj, "instance", &v))
			agb_str_copy(e->owner_instance,
			    sizeof(e->owner_instance),
			    json_object_get_string(v));
	}
	json_object_put(obj);
	json_tokener_free(tok);
}

/* Gives up the role: answers all waiting calls and discards the epoch's
 * state. */
void
own_step_down(
    struct agb_owner *o, agb_time now, const char *why, struct agb_effects *out)
{
	agb_effects_log(out, AGB_LOG_WARN, "role-lost",
	    "domain=%s epoch=%llu reason=\"%s\"", o->cfg.domain,
	    (unsigned long long)o->epoch, why);
	own_commit_discard(o, now, out);
	own_grant_refuse_waiting(o, AGB_REASON_NO_OWNER, why, out);
	own_job_answer_waits(o, why, out);
	own_epoch_clear(o);
	lease_revoke(o, out);
	o->epoch = 0;
	o->elect.lease_valid_until = 0;
	o->elect.tag_keepalive = 0;
	o->elect.keepalive_at = 0;
	o->role = o->term ? OWN_DRAINED : OWN_FOLLOWER;
	o->elect.read_at = now;
}

static void
stop_campaign(struct agb_owner *o, struct agb_effects *out)
{
	lease_revoke(o, out);
	o->elect.tag_grant = 0;
	o->elect.tag_create = 0;
	o->elect.create_answer_lost = false;
	free(o->elect.owner_value);
	o->elect.owner_value = NULL;
	o->role = OWN_FOLLOWER;
}

static void
become_owner(
    struct agb_owner *o, agb_time now, uint64_t epoch, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;

	o->epoch = epoch;
	o->role = OWN_RECOVERING;
	o->elected_at = now;
	e->tag_create = 0;
	e->create_answer_lost = false;
	e->key_absent = false;
	e->owner_rpc[0] = '\0';
	e->keepalive_at = e->lease_sent_at + OWN_KEEPALIVE_INTERVAL;
	agb_effects_log(out, AGB_LOG_INFO, "takeover",
	    "domain=%s epoch=%llu instance=%s", o->cfg.domain,
	    (unsigned long long)epoch, o->cfg.instance);
	own_recover_start(o, now, out);
}

static void
on_owner_key_absent(struct agb_owner *o, agb_time now, uint64_t revision,
    struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;

	/* Ignore a state of the store from before this instance created its
	 * key. */
	if (o->epoch != 0 && revision < o->epoch)
		return;
	if (o->epoch != 0 && o->role != OWN_HANDOVER)
		own_step_down(o, now, "owner key is gone", out);
	else if (o->role == OWN_CANDIDATE && e->create_answer_lost)
		/* The transaction whose answer was lost may still take effect.
		 * It fails once its lease is revoked. */
		stop_campaign(o, out);
	e->key_absent = true;
	e->owner_rpc[0] = '\0';
	if (o->role == OWN_FOLLOWER && e->campaign_at == 0)
		e->campaign_at =
		    (now < e->campaign_not_before ? e->campaign_not_before
						  : now) +
		    CAMPAIGN_DELAY_MS * AGB_MS +
		    own_random(o, CAMPAIGN_JITTER_MS * 1000);
}

static void
on_owner_key_present(struct agb_owner *o, agb_time now,
    const struct agb_store_kv *kv, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	const bool is_ours = e->owner_value != NULL &&
	    kv->val_len == strlen(e->owner_value) &&
	    memcmp(kv->val, e->owner_value, kv->val_len) == 0;

	if (is_ours) {
		if (o->role == OWN_CANDIDATE && e->lease_id != 0)
			become_owner(o, now, kv->create_rev, out);
		return;
	}
	if (o->epoch != 0 && kv->create_rev < o->epoch)
		return;
	if (o->epoch != 0)
		own_step_down(o, now, "another instance owns the shard", out);
	if (o->role == OWN_CANDIDATE)
		stop_campaign(o, out);
	e->key_absent = false;
	e->campaign_at = 0;
	set_known_owner(o, kv->val, kv->val_len);
}

static void
on_owner_key_read(struct agb_owner *o, agb_time now,
    const struct agb_store_result *r, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	struct agb_effect *ef;

	if (r->status != AGB_STORE_OK) {
		e->read_at = now + own_backoff_ms(o, &e->retry_ms) * AGB_MS;
		return;
	}
	e->retry_ms = 0;
	if (r->kvs_len > 0)
		on_owner_key_present(o, now, &r->kvs[0], out);
	else
		on_owner_key_absent(o, now, r->revision, out);
	if (!e->watching) {
		e->watching = true;
		e->tag_watch = own_tag_new(o);
		ef = agb_effects_add(out, AGB_EF_WATCH);
		ef->tag = e->tag_watch;
		ef->u.watch.key = agb_xstrdup(e->owner_key);
		ef->u.watch.from_rev = r->revision + 1;
	}
}

static void
on_lease_granted(struct agb_owner *o, agb_time now,
    const struct agb_store_result *r, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	uint32_t ttl = OWN_LEASE_TTL_S;
	struct agb_effect *ef;

	if (r->status != AGB_STORE_OK || r->lease == 0) {
		stop_campaign(o, out);
		e->read_at = now + own_backoff_ms(o, &e->retry_ms) * AGB_MS;
		return;
	}
	if (r->ttl_s > 0 && r->ttl_s < ttl)
		ttl = r->ttl_s;
	e->lease_id = r->lease;
	e->lease_valid_until =
	    e->lease_sent_at + ttl * AGB_SEC - OWN_LEASE_DRIFT_MARGIN;
	ef = store_call(o, out, &e->tag_create);
	agb_store_op_init(&ef->u.store, AGB_STORE_TXN);
	agb_store_op_add_cmp(
	    &ef->u.store, e->owner_key, AGB_STORE_CMP_CREATE_REV, 0);
	agb_store_op_add_put(&ef->u.store, e->owner_key, e->owner_value,
	    strlen(e->owner_value), e->lease_id);
}

static void
on_owner_key_created(struct agb_owner *o, agb_time now,
    const struct agb_store_result *r, struct agb_effects *out)
{
	if (r->status == AGB_STORE_OK && r->succeeded) {
		become_owner(o, now, r->revision, out);
		return;
	}
	if (r->status == AGB_STORE_LOST) {
		/* It may have taken effect. The value of the key, which is
		 * unique to this campaign, shows whether it has. */
		o->elect.create_answer_lost = true;
		o->elect.read_at = now;
		return;
	}
	stop_campaign(o, out);
	o->elect.read_at = now + own_backoff_ms(o, &o->elect.retry_ms) * AGB_MS;
}

static void
on_lease_renewed(struct agb_owner *o, agb_time now,
    const struct agb_store_result *r, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;

	if (r->status != AGB_STORE_OK) {
		e->keepalive_at =
		    now + own_backoff_ms(o, &e->retry_ms) * AGB_MS;
		return;
	}
	e->retry_ms = 0;
	if (r->ttl_s == 0) {
		e->lease_valid_until = 0;
		e->read_at = now;
		e->keepalive_at = now + OWN_KEEPALIVE_INTERVAL;
		return;
	}
	/* The lease is counted from the time of sending, the earliest at which
	 * the store can have renewed it. */
	e->lease_valid_until = e->lease_sent_at +
	    (r->ttl_s < OWN_LEASE_TTL_S ? r->ttl_s : OWN_LEASE_TTL_S) *
		AGB_SEC -
	    OWN_LEASE_DRIFT_MARGIN;
	e->keepalive_at = e->lease_sent_at + OWN_KEEPALIVE_INTERVAL;
}

bool
own_elect_on_store_result(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_store_result *r, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;

	if (tag == e->tag_read) {
		e->tag_read = 0;
		on_owner_key_read(o, now, r, out);
	} else if (tag == e->tag_grant) {
		e->tag_grant = 0;
		if (o->role == OWN_CANDIDATE)
			on_lease_granted(o, now, r, out);
	} else if (tag == e->tag_create) {
		e->tag_create = 0;
		if (o->role == OWN_CANDIDATE)
			on_owner_key_created(o, now, r, out);
	} else if (tag == e->tag_keepalive) {
		e->tag_keepalive = 0;
		if (o->epoch != 0)
			on_lease_renewed(o, now, r, out);
	} else if (tag == e->tag_release) {
		e->tag_release = 0;
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
own_elect_on_watch(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_ev_watch *w, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	size_t i;

	if (!e->watching || tag != e->tag_watch)
		return;
	for (i = 0; i < w->kvs_len; i++) {
		if (w->kvs[i].deleted)
			on_owner_key_absent(o, now, w->kvs[i].mod_rev, out);
		else
			on_owner_key_present(o, now, &w->kvs[i], out);
	}
	if (w->broken) {
		e->watching = false;
		e->read_at = now + own_backoff_ms(o, &e->retry_ms) * AGB_MS;
	}
}

static void
start_campaign(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	struct json_object *const v = json_object_new_object();
	struct agb_effect *ef;
	char id[40];

	o->role = OWN_CANDIDATE;
	e->campaign_at = 0;
	snprintf(id, sizeof(id), "%08x%08x-%llx", own_random(o, UINT32_MAX),
	    own_random(o, UINT32_MAX), (unsigned long long)o->last_tag);
	json_object_object_add(
	    v, "instance", json_object_new_string(o->cfg.instance));
	json_object_object_add(v, "rpc", json_object_new_string(o->cfg.rpc));
	json_object_object_add(v, "id", json_object_new_string(id));
	free(e->owner_value);
	e->owner_value = agb_xstrdup(
	    json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN));
	json_object_put(v);
	ef = store_call(o, out, &e->tag_grant);
	agb_store_op_init(&ef->u.store, AGB_STORE_LEASE_GRANT);
	ef->u.store.ttl_s = OWN_LEASE_TTL_S;
	e->lease_sent_at = now;
}

void
own_elect_tick(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_elect *const e = &o->elect;
	struct agb_effect *ef;

	if (o->role == OWN_DRAINED)
		return;
	if (e->tag_read == 0 && now >= e->read_at &&
	    (!e->watching || e->read_at != 0)) {
		e->read_at = 0;
		read_owner_key(o, out);
	}
	if (o->role == OWN_FOLLOWER && e->campaign_at != 0 && e->key_absent &&
	    now >= e->campaign_at && o->env != NULL && !o->term)
		start_campaign(o, now, out);
	if (o->epoch != 0 && e->lease_id != 0 && e->tag_keepalive == 0 &&
	    now >= e->keepalive_at && o->role != OWN_HANDOVER) {
		e->lease_sent_at = now;
		ef = store_call(o, out, &e->tag_keepalive);
		agb_store_op_init(&ef->u.store, AGB_STORE_LEASE_KEEPALIVE);
		ef->u.store.lease = e->lease_id;
	}
}

agb_time
own_elect_next_tick(const struct agb_owner *o, agb_time now)
{
	const struct own_elect *const e = &o->elect;
	agb_time at = AGB_TIME_MAX;

	if (o->role == OWN_DRAINED)
		return at;
	if (e->tag_read == 0 && (!e->watching || e->read_at != 0))
		at = e->read_at;
	if (o->role == OWN_FOLLOWER && e->campaign_at != 0 && e->key_absent &&
	    o->env != NULL && !o->term && e->campaign_at < at)
		at = e->campaign_at;
	if (o->epoch != 0 && e->lease_id != 0 && e->tag_keepalive == 0 &&
	    e->keepalive_at < at && o->role != OWN_HANDOVER)
		at = e->keepalive_at;
	if (o->term) {
		const agb_time end = o->term_at + OWN_HANDOVER_TIMEOUT;

		at = end < at ? end : at;
	}
	return at > now ? at : now;
}

/*
 * Hands the role over after SIGTERM. Once the journal is flushed, the owner key
 * is deleted in a transaction that is fenced by the epoch, and the lease is
 * revoked.
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
	if (now >= o->term_at + OWN_HANDOVER_TIMEOUT) {
		if (o->epoch != 0)
			own_step_down(o, now, "the store does not answer", out);
		else
			stop_campaign(o, out);
		o->role = OWN_DRAINED;
		return;
	}
	if (o->role == OWN_CANDIDATE && o->elect.tag_create == 0 &&
	    !o->elect.create_answer_lost) {
		stop_campaign(o, out);
		o->role = OWN_DRAINED;
		return;
	}
	if ((o->role != OWN_ACTIVE && o->role != OWN_RECOVERING) ||
	    !own_commit_idle(o))
		return;
	o->role = OWN_HANDOVER;
	agb_effects_log(out, AGB_LOG_INFO, "handover", "domain=%s epoch=%llu",
	    o->cfg.domain, (unsigned long long)o->epoch);
	own_grant_refuse_waiting(
	    o, AGB_REASON_DRAINING, "the owner is shutting down", out);
	own_job_answer_waits(o, "the owner is shutting down", out);
	/* Nothing is left to serve, and the scheduler must not outlive the
	 * document that it refers to. */
	own_epoch_clear(o);
	ef = store_call(o, out, &o->elect.tag_release);
	agb_store_op_init(&ef->u.store, AGB_STORE_TXN);
	agb_store_op_add_cmp(&ef->u.store, o->elect.owner_key,
	    AGB_STORE_CMP_CREATE_REV, o->epoch);
	agb_store_op_add_delete(&ef->u.store, o->elect.owner_key, NULL);
	if (o->elect.lease_id == 0)
		return;
	ef = agb_effects_add(out, AGB_EF_STORE);
	ef->tag = own_tag_new(o);
	ef->timeout_ms = OWN_STORE_TIMEOUT_MS;
	agb_store_op_init(&ef->u.store, AGB_STORE_LEASE_REVOKE);
	ef->u.store.lease = o->elect.lease_id;
	o->elect.lease_id = 0;
}

#include "envsync.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Polling interval for the store while no owner is reachable. */
#define READ_INTERVAL (3 * AGB_SEC)
/* Delay before a broken watch is reopened. */
#define WATCH_RETRY (500 * AGB_MS)
/* Minimum delay before the same version is fetched again. */
#define FETCH_RETRY (1 * AGB_SEC)
#define STORE_TIMEOUT_MS 2000
#define FETCH_TIMEOUT_MS 3000

enum {
	TAG_READ = 1,
	TAG_WATCH = 2,
	TAG_FETCH = 3,
};

/**
 * struct agb_envsync - state of the sub-reducer
 * @key: store key of the document
 * @env: active document
 * @replaced: previous document, possibly still in use
 * @rejected_version: last version that was invalid; it is not fetched again
 * @fetch_version: version last requested from a peer
 * @fetch_retry_at: when @fetch_version may be requested again
 * @next_read_at: when the store is polled next
 * @watch_retry_at: when a broken watch is reopened
 * @watch_from_rev: store revision at which the watch starts
 * @is_owner: this instance owns its shard and watches the store
 * @owner_relays: another instance is the owner and is reachable
 * @reading: a read of the store is pending
 * @watching: the watch is open
 */
struct agb_envsync {
	char *key;
	struct agb_env *env;
	struct agb_env *replaced;
	uint64_t rejected_version;
	uint64_t fetch_version;
	agb_time fetch_retry_at;
	agb_time next_read_at;
	agb_time watch_retry_at;
	uint64_t watch_from_rev;
	bool is_owner;
	bool owner_relays;
	bool reading;
	bool watching;
};

struct agb_envsync *
agb_envsync_new(const char *environment)
{
	struct agb_envsync *const es = agb_xcalloc(1, sizeof(*es));

	es->key = agb_xasprintf("agatebeam/%s/env", environment);
	return es;
}

void
agb_envsync_free(struct agb_envsync *es)
{
	if (es == NULL)
		return;
	agb_env_free(es->env);
	agb_env_free(es->replaced);
	free(es->key);
	free(es);
}

uint64_t
agb_envsync_version(const struct agb_envsync *es)
{
	return es->env != NULL ? es->env->version : 0;
}

const struct agb_env *
agb_envsync_env(const struct agb_envsync *es)
{
	return es->env;
}

void
agb_envsync_free_replaced(struct agb_envsync *es)
{
	agb_env_free(es->replaced);
	es->replaced = NULL;
}

/* Activates a document if it is newer and valid. */
static void
apply_document(struct agb_envsync *es, const char *text, size_t len,
    uint64_t version, const char *source, struct agb_effects *out)
{
	struct agb_findings *f;
	struct agb_env *env;

	if (version <= agb_envsync_version(es) ||
	    version == es->rejected_version)
		return;
	f = agb_xcalloc(1, sizeof(*f));
	if (agb_env_parse(text, len, version, &env, f)) {
		agb_effects_log(out, AGB_LOG_INFO, "env",
		    "action=in-force version=%llu previous=%llu source=%s",
		    (unsigned long long)version,
		    (unsigned long long)agb_envsync_version(es), source);
		/* If a second change arrives within one step, the intermediate
		 * document is not in use and can be freed at once. The one
		 * still in use is kept for agb_envsync_free_replaced(). */
		if (es->replaced != NULL)
			agb_env_free(es->env);
		else
			es->replaced = es->env;
		es->env = env;
	} else {
		es->rejected_version = version;
		agb_effects_log(out, AGB_LOG_ERROR, "env",
		    "action=refused version=%llu kept=%llu errors=%zu "
		    "place=\"%s\" text=\"%s\"",
		    (unsigned long long)version,
		    (unsigned long long)agb_envsync_version(es), f->errors,
		    f->len > 0 ? f->items[0].location : "",
		    f->len > 0 ? f->items[0].text : "");
	}
	free(f);
}

static void
read_store(struct agb_envsync *es, agb_time now, struct agb_effects *out)
{
	struct agb_effect *ef;

	es->next_read_at = now + READ_INTERVAL;
	if (es->reading)
		return;
	es->reading = true;
	ef = agb_effects_add(out, AGB_EF_STORE);
	ef->tag = AGB_TAG(AGB_TAG_ENVSYNC, TAG_READ);
	ef->timeout_ms = STORE_TIMEOUT_MS;
	agb_store_op_init_range(&ef->u.store, es->key, NULL, 1);
}

static void
open_watch(struct agb_envsync *es, struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_WATCH);

	es->watching = true;
	es->watch_retry_at = AGB_TIME_MAX;
	ef->tag = AGB_TAG(AGB_TAG_ENVSYNC, TAG_WATCH);
	ef->u.watch.key = agb_xstrdup(es->key);
	ef->u.watch.from_rev = es->watch_from_rev;
}

static void
apply_kvs(struct agb_envsync *es, const struct agb_store_kv *kvs, size_t len,
    struct agb_effects *out)
{
	size_t i;

	for (i = 0; i < len; i++) {
		/* Deleting the key does not deactivate the document. */
		if (kvs[i].deleted || strcmp(kvs[i].key, es->key) != 0)
			continue;
		apply_document(es, kvs[i].val, kvs[i].val_len, kvs[i].mod_rev,
		    "store", out);
	}
}

static void
on_read(struct agb_envsync *es, agb_time now, const struct agb_store_result *r,
    struct agb_effects *out)
{
	es->reading = false;
	if (r->status != AGB_STORE_OK) {
		es->next_read_at = now + READ_INTERVAL;
		return;
	}
	apply_kvs(es, r->kvs, r->kvs_len, out);
	if (es->is_owner && !es->watching) {
		/* Watching from the revision after the read misses no
		 * change. */
		es->watch_from_rev = r->revision + 1;
		open_watch(es, out);
	}
}

static void
on_watch(struct agb_envsync *es, agb_time now, const struct agb_ev_watch *w,
    struct agb_effects *out)
{
	apply_kvs(es, w->kvs, w->kvs_len, out);
	if (w->broken) {
		es->watching = false;
		es->watch_retry_at = now + WATCH_RETRY;
	}
}

static void
on_env_get_reply(
    struct agb_envsync *es, const struct agb_event *ev, struct agb_effects *out)
{
	const agb_x_env_get_res *r;

	/* If the peer has no newer document, the next fetch waits for
	 * FETCH_RETRY: the peer may have restarted and lost the version that it
	 * had reported. */
	if (!ev->rpc_ok || ev->u.rpc_res.proc != AGB_X_ENV_GET)
		return;
	r = &ev->u.rpc_res.agb_x_res_u.env_get;
	if (r->text.text_len > 0)
		apply_document(es, r->text.text_val, r->text.text_len,
		    r->env_version, "peer", out);
}

static void
reply_env_get(const struct agb_envsync *es, const struct agb_event *ev,
    struct agb_effects *out)
{
	const uint64_t have = ev->u.rpc_args.agb_x_args_u.env_get.have;
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	agb_x_env_get_res *const r = &ef->u.rpc_res.agb_x_res_u.env_get;

	ef->token = ev->token;
	ef->u.rpc_res.proc = AGB_X_ENV_GET;
	r->env_version = agb_envsync_version(es);
	if (r->env_version > have) {
		r->text.text_val =
		    agb_xmemdup(es->env->text, es->env->text_len);
		r->text.text_len = (u_int)es->env->text_len;
	}
}

static void
on_tick(struct agb_envsync *es, agb_time now, struct agb_effects *out)
{
	if (es->is_owner && !es->watching && now >= es->watch_retry_at) {
		es->watch_retry_at = AGB_TIME_MAX;
		read_store(es, now, out);
		return;
	}
	if (!es->watching && !es->owner_relays && now >= es->next_read_at)
		read_store(es, now, out);
}

void
agb_envsync_step(struct agb_envsync *es, agb_time now,
    const struct agb_event *ev, struct agb_effects *out)
{
	switch (ev->type) {
	case AGB_EV_TICK:
		on_tick(es, now, out);
		break;
	case AGB_EV_STORE:
		on_read(es, now, &ev->u.store, out);
		break;
	case AGB_EV_WATCH:
		on_watch(es, now, &ev->u.watch, out);
		break;
	case AGB_EV_RPC_REPLY:
		on_env_get_reply(es, ev, out);
		break;
	case AGB_EV_RPC_CALL:
		reply_env_get(es, ev, out);
		break;
	default:
		break;
	}
}

void
agb_envsync_owner_set(struct agb_envsync *es, agb_time now, bool is_owner,
    bool owner_relays, struct agb_effects *out)
{
	struct agb_effect *ef;

	es->owner_relays = owner_relays;
	if (is_owner == es->is_owner)
		return;
	es->is_owner = is_owner;
	if (is_owner) {
		es->watch_retry_at = AGB_TIME_MAX;
		read_store(es, now, out);
		return;
	}
	if (es->watching) {
		ef = agb_effects_add(out, AGB_EF_UNWATCH);
		ef->tag = AGB_TAG(AGB_TAG_ENVSYNC, TAG_WATCH);
		es->watching = false;
	}
	es->next_read_at = now + READ_INTERVAL;
}

void
agb_envsync_peer_version(struct agb_envsync *es, agb_time now, uint64_t version,
    const char *peer, struct agb_effects *out)
{
	struct agb_effect *ef;

	if (version <= agb_envsync_version(es) ||
	    version == es->rejected_version)
		return;
	if (peer[0] == '\0')
		return;
	if (es->fetch_version >= version && now < es->fetch_retry_at)
		return;
	es->fetch_version = version;
	es->fetch_retry_at = now + FETCH_RETRY;
	ef = agb_effects_add(out, AGB_EF_RPC_CALL);
	ef->tag = AGB_TAG(AGB_TAG_ENVSYNC, TAG_FETCH);
	ef->timeout_ms = FETCH_TIMEOUT_MS;
	agb_str_copy(ef->peer, sizeof(ef->peer), peer);
	ef->u.rpc_args.proc = AGB_X_ENV_GET;
	ef->u.rpc_args.agb_x_args_u.env_get.have = agb_envsync_version(es);
}

agb_time
agb_envsync_next_tick(const struct agb_envsync *es)
{
	if (es->reading)
		return AGB_TIME_MAX;
	if (es->is_owner)
		return es->watching			    ? AGB_TIME_MAX
		    : es->watch_retry_at < es->next_read_at ? es->watch_retry_at
							    : es->next_read_at;
	return es->owner_relays ? AGB_TIME_MAX : es->next_read_at;
}

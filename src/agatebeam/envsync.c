#include "envsync.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Pause between reads of the store while no owner relays the document. */
#define READ_INTERVAL (3 * AGB_SEC)
/* Pause before a broken watch is opened again. */
#define WATCH_RETRY (500 * AGB_MS)
/* Pause before the same version is asked for again. */
#define FETCH_RETRY (1 * AGB_SEC)
#define STORE_TIMEOUT_MS 2000
#define FETCH_TIMEOUT_MS 3000

enum {
	TAG_READ = 1,
	TAG_WATCH = 2,
	TAG_FETCH = 3,
};

struct agb_envsync {
	char *key;
	struct agb_env *env;
	struct agb_env *old;
	uint64_t bad_version;
	uint64_t fetching;
	agb_time fetch_at;
	agb_time read_at;
	agb_time watch_at;
	uint64_t watch_from;
	bool active;
	bool relayed;
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
	agb_env_free(es->old);
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
agb_envsync_release(struct agb_envsync *es)
{
	agb_env_free(es->old);
	es->old = NULL;
}

/* Puts a text in force when it is newer and without errors. */
static void
take(struct agb_envsync *es, const char *text, size_t len, uint64_t version,
    const char *source, struct agb_effects *out)
{
	struct agb_findings *f;
	struct agb_env *env;

	if (version <= agb_envsync_version(es) || version == es->bad_version)
		return;
	f = agb_xcalloc(1, sizeof(*f));
	if (agb_env_parse(text, len, version, &env, f)) {
		agb_effects_log(out, AGB_LOG_INFO, "env",
		    "action=in-force version=%llu previous=%llu source=%s",
		    (unsigned long long)version,
		    (unsigned long long)agb_envsync_version(es), source);
		/* A second change within one step replaces one that nobody
		 * uses yet; the document in use stays until it is released. */
		if (es->old != NULL)
			agb_env_free(es->env);
		else
			es->old = es->env;
		es->env = env;
	} else {
		es->bad_version = version;
		agb_effects_log(out, AGB_LOG_ERROR, "env",
		    "action=refused version=%llu kept=%llu errors=%zu "
		    "place=\"%s\" text=\"%s\"",
		    (unsigned long long)version,
		    (unsigned long long)agb_envsync_version(es), f->errors,
		    f->len > 0 ? f->items[0].place : "",
		    f->len > 0 ? f->items[0].text : "");
	}
	free(f);
}

static void
read_store(struct agb_envsync *es, agb_time now, struct agb_effects *out)
{
	struct agb_effect *ef;

	es->read_at = now + READ_INTERVAL;
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
	es->watch_at = AGB_TIME_MAX;
	ef->tag = AGB_TAG(AGB_TAG_ENVSYNC, TAG_WATCH);
	ef->u.watch.key = agb_xstrdup(es->key);
	ef->u.watch.from_rev = es->watch_from;
}

static void
take_kvs(struct agb_envsync *es, const struct agb_store_kv *kvs, size_t len,
    struct agb_effects *out)
{
	size_t i;

	for (i = 0; i < len; i++) {
		/* A deleted key does not take the document out of force. */
		if (kvs[i].deleted || strcmp(kvs[i].key, es->key) != 0)
			continue;
		take(es, kvs[i].val, kvs[i].val_len, kvs[i].mod_rev, "store",
		    out);
	}
}

static void
on_read(struct agb_envsync *es, agb_time now, const struct agb_store_result *r,
    struct agb_effects *out)
{
	es->reading = false;
	if (r->status != AGB_STORE_OK) {
		es->read_at = now + READ_INTERVAL;
		return;
	}
	take_kvs(es, r->kvs, r->kvs_len, out);
	if (es->active && !es->watching) {
		/* Starting after the read leaves no gap between the two. */
		es->watch_from = r->revision + 1;
		open_watch(es, out);
	}
}

static void
on_watch(struct agb_envsync *es, agb_time now, const struct agb_ev_watch *w,
    struct agb_effects *out)
{
	take_kvs(es, w->kvs, w->kvs_len, out);
	if (w->broken) {
		es->watching = false;
		es->watch_at = now + WATCH_RETRY;
	}
}

static void
on_fetched(
    struct agb_envsync *es, const struct agb_event *ev, struct agb_effects *out)
{
	const agb_x_env_get_res *r;

	/* Without a newer document the next try waits for FETCH_RETRY: the peer
	 * may have restarted and lost what it has shown. */
	if (!ev->rpc_ok || ev->u.rpc_res.proc != AGB_X_ENV_GET)
		return;
	r = &ev->u.rpc_res.agb_x_res_u.env_get;
	if (r->text.text_len > 0)
		take(es, r->text.text_val, r->text.text_len, r->env_version,
		    "peer", out);
}

static void
answer_get(const struct agb_envsync *es, const struct agb_event *ev,
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
	if (es->active && !es->watching && now >= es->watch_at) {
		es->watch_at = AGB_TIME_MAX;
		read_store(es, now, out);
		return;
	}
	if (!es->watching && !es->relayed && now >= es->read_at)
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
		on_fetched(es, ev, out);
		break;
	case AGB_EV_RPC_CALL:
		answer_get(es, ev, out);
		break;
	default:
		break;
	}
}

void
agb_envsync_owner_set(struct agb_envsync *es, agb_time now, bool active,
    bool relayed, struct agb_effects *out)
{
	struct agb_effect *ef;

	es->relayed = relayed;
	if (active == es->active)
		return;
	es->active = active;
	if (active) {
		es->watch_at = AGB_TIME_MAX;
		read_store(es, now, out);
		return;
	}
	if (es->watching) {
		ef = agb_effects_add(out, AGB_EF_UNWATCH);
		ef->tag = AGB_TAG(AGB_TAG_ENVSYNC, TAG_WATCH);
		es->watching = false;
	}
	es->read_at = now + READ_INTERVAL;
}

void
agb_envsync_seen(struct agb_envsync *es, agb_time now, uint64_t version,
    const char *peer, struct agb_effects *out)
{
	struct agb_effect *ef;

	if (version <= agb_envsync_version(es) || version == es->bad_version)
		return;
	if (peer[0] == '\0')
		return;
	if (es->fetching >= version && now < es->fetch_at)
		return;
	es->fetching = version;
	es->fetch_at = now + FETCH_RETRY;
	ef = agb_effects_add(out, AGB_EF_RPC_CALL);
	ef->tag = AGB_TAG(AGB_TAG_ENVSYNC, TAG_FETCH);
	ef->timeout_ms = FETCH_TIMEOUT_MS;
	agb_name_set(ef->peer, sizeof(ef->peer), peer);
	ef->u.rpc_args.proc = AGB_X_ENV_GET;
	ef->u.rpc_args.agb_x_args_u.env_get.have = agb_envsync_version(es);
}

agb_time
agb_envsync_next_tick(const struct agb_envsync *es)
{
	if (es->reading)
		return AGB_TIME_MAX;
	if (es->active)
		return es->watching		 ? AGB_TIME_MAX
		    : es->watch_at < es->read_at ? es->watch_at
						 : es->read_at;
	return es->relayed ? AGB_TIME_MAX : es->read_at;
}

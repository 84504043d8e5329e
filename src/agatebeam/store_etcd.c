#include "store_etcd.h"

#include <ctype.h>
#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "b64.h"
#include "httpc.h"
#include "mem.h"

#define CONNECTIONS_MAX 32
#define DEFAULT_TIMEOUT_MS 2000
/* Allows for a range of many values; readers limit the size of a page by the
 * number of keys. */
#define RESPONSE_BYTES_MAX ((size_t)32 * 1024 * 1024)
#define WATCH_MESSAGE_BYTES_MAX ((size_t)32 * 1024 * 1024)
#define JSON_DEPTH_MAX 16
#define KEY_BYTES_MAX 4096

struct etcd_client;

/**
 * struct pending_call - call whose result has not been reported yet
 * @body: request body
 * @deadline_ms: time on the loop's clock
 * @endpoint: index of the endpoint in use
 * @endpoints_tried: number of endpoints to which the call could not be sent
 */
struct pending_call {
	struct etcd_client *s;
	struct pending_call *prev, *next;
	uint64_t tag;
	struct agb_store_op op;
	char *body;
	size_t body_len;
	uint64_t deadline_ms;
	size_t endpoint;
	size_t endpoints_tried;
};

/**
 * struct watch - watch on a range of keys
 * @body: request body
 * @from_rev: revision of the first change that has not been reported; 0 for a
 *	watch from the present revision that has not started
 * @endpoint, @endpoints_tried: as in struct pending_call
 * @tok: parser of the stream of messages
 * @message_bytes: size of the part of a message that has been received
 * @in_callback: the watch callback is running, so this struct must stay
 * @free_after_callback: the watch was ended inside its callback
 */
struct watch {
	struct etcd_client *s;
	struct watch *prev, *next;
	uint64_t tag;
	char *body;
	size_t body_len;
	uint64_t from_rev;
	size_t endpoint;
	size_t endpoints_tried;
	struct agb_httpc_call *call;
	struct json_tokener *tok;
	size_t message_bytes;
	bool in_callback;
	bool free_after_callback;
};

/**
 * struct etcd_client - store client of one etcd cluster
 * @base: must be the first member
 * @preferred: index of the endpoint that the next call tries first
 */
struct etcd_client {
	struct agb_store base;
	uv_loop_t *loop;
	struct agb_httpc *http;
	agb_addr *endpoints;
	size_t endpoints_len;
	size_t preferred;
	uint64_t call_count;
	struct pending_call *pending_calls;
	struct watch *watches;
};

static void
write_key(FILE *f, const char *name, const char *key, size_t len)
{
	char *const text = agb_b64_encode(key, len);

	fprintf(f, "\"%s\":\"%s\"", name, text);
	free(text);
}

static void
write_range(FILE *f, const char *key, const char *range_end)
{
	write_key(f, "key", key, strlen(key));
	if (range_end != NULL) {
		fputc(',', f);
		write_key(f, "range_end", range_end, strlen(range_end));
	}
}

static void
write_cmp(FILE *f, const struct agb_store_cmp *c)
{
	const bool create = c->target == AGB_STORE_CMP_CREATE_REV;

	fprintf(f, "{\"result\":\"EQUAL\",\"target\":\"%s\",",
	    create ? "CREATE" : "MOD");
	write_key(f, "key", c->key, strlen(c->key));
	fprintf(f, ",\"%s\":\"%llu\"}",
	    create ? "create_revision" : "mod_revision",
	    (unsigned long long)c->rev);
}

static void
write_request(FILE *f, const struct agb_store_write *p)
{
	if (p->is_delete) {
		fputs("{\"request_delete_range\":{", f);
		write_range(f, p->key, p->range_end);
		fputs("}}", f);
		return;
	}
	fputs("{\"request_put\":{", f);
	write_key(f, "key", p->key, strlen(p->key));
	fputc(',', f);
	write_key(f, "value", p->val != NULL ? p->val : "", p->val_len);
	if (p->lease != 0)
		fprintf(f, ",\"lease\":\"%lld\"", (long long)p->lease);
	fputs("}}", f);
}

static void
write_txn(FILE *f, const struct agb_store_op *op)
{
	size_t i;

	fputs("\"compare\":[", f);
	for (i = 0; i < op->cmps_len; i++) {
		if (i > 0)
			fputc(',', f);
		write_cmp(f, &op->cmps[i]);
	}
	fputs("],\"success\":[", f);
	for (i = 0; i < op->writes_len; i++) {
		if (i > 0)
			fputc(',', f);
		write_request(f, &op->writes[i]);
	}
	fputc(']', f);
}

/* Returns the body of the request for an operation, freed by the caller. */
static char *
build_request_body(const struct agb_store_op *op, size_t *len)
{
	char *body = NULL;
	FILE *const f = open_memstream(&body, len);

	if (f == NULL)
		abort();
	fputc('{', f);
	switch (op->kind) {
	case AGB_STORE_RANGE:
		write_range(f, op->key != NULL ? op->key : "", op->range_end);
		if (op->limit > 0)
			fprintf(f, ",\"limit\":\"%u\"", op->limit);
		if (op->keys_only)
			fputs(",\"keys_only\":true", f);
		break;
	case AGB_STORE_TXN:
		write_txn(f, op);
		break;
	case AGB_STORE_LEASE_GRANT:
		fprintf(f, "\"TTL\":\"%u\"", op->ttl_s);
		break;
	case AGB_STORE_LEASE_KEEPALIVE:
	case AGB_STORE_LEASE_REVOKE:
		fprintf(f, "\"ID\":\"%lld\"", (long long)op->lease);
		break;
	}
	fputc('}', f);
	if (fclose(f) != 0)
		abort();
	return body;
}

static struct json_object *
get_member(struct json_object *obj, const char *name, enum json_type type)
{
	struct json_object *v;

	if (!json_object_is_type(obj, json_type_object) ||
	    !json_object_object_get_ex(obj, name, &v) ||
	    !json_object_is_type(v, type))
		return NULL;
	return v;
}

/*
 * Reads a 64-bit number. The JSON mapping encodes it as a string and omits zero
 * values, so a missing member is 0.
 * Return: false when it is malformed or greater than INT64_MAX.
 */
static bool
get_uint64(struct json_object *obj, const char *name, uint64_t *out)
{
	struct json_object *v;
	const char *s;
	char *end;

	*out = 0;
	if (!json_object_object_get_ex(obj, name, &v))
		return true;
	if (!json_object_is_type(v, json_type_string))
		return false;
	s = json_object_get_string(v);
	if (!isdigit((unsigned char)s[0]))
		return false;
	errno = 0;
	*out = strtoull(s, &end, 10);
	return errno == 0 && *end == '\0' && *out <= INT64_MAX &&
	    strlen(s) == (size_t)json_object_get_string_len(v);
}

static bool
get_bool(struct json_object *obj, const char *name, bool *out)
{
	struct json_object *v;

	*out = false;
	if (!json_object_object_get_ex(obj, name, &v))
		return true;
	*out = json_object_get_boolean(v);
	return json_object_is_type(v, json_type_boolean);
}

static char *
get_bytes(struct json_object *obj, const char *name, size_t *len)
{
	struct json_object *v;

	*len = 0;
	if (!json_object_object_get_ex(obj, name, &v))
		return agb_xmemdup("", 0);
	if (!json_object_is_type(v, json_type_string))
		return NULL;
	return agb_b64_decode(json_object_get_string(v),
	    (size_t)json_object_get_string_len(v), len);
}

static bool
get_revision(struct json_object *obj, uint64_t *out)
{
	struct json_object *const header =
	    get_member(obj, "header", json_type_object);

	return header != NULL && get_uint64(header, "revision", out) &&
	    *out > 0;
}

/* The caller frees what @kv owns, also on failure. */
static bool
get_kv(struct json_object *obj, struct agb_store_kv *kv)
{
	uint64_t lease;
	size_t len;

	memset(kv, 0, sizeof(*kv));
	if (!json_object_is_type(obj, json_type_object))
		return false;
	kv->key = get_bytes(obj, "key", &len);
	if (kv->key == NULL || len == 0 || len > KEY_BYTES_MAX ||
	    strlen(kv->key) != len)
		return false;
	kv->val = get_bytes(obj, "value", &kv->val_len);
	if (kv->val == NULL || kv->val_len > AGB_STORE_VALUE_MAX * 2)
		return false;
	if (!get_uint64(obj, "create_revision", &kv->create_rev) ||
	    !get_uint64(obj, "mod_revision", &kv->mod_rev) ||
	    !get_uint64(obj, "lease", &lease))
		return false;
	kv->lease = (int64_t)lease;
	return kv->mod_rev > 0;
}

static bool
in_range(const struct agb_store_op *op, const char *key)
{
	if (op->range_end == NULL)
		return strcmp(op->key, key) == 0;
	return strcmp(op->key, key) <= 0 && strcmp(key, op->range_end) < 0;
}

static bool
get_range(const struct agb_store_op *op, struct json_object *obj,
    struct agb_store_result *out)
{
	struct json_object *arr;
	struct agb_store_kv *kv;
	size_t i, n;

	if (!get_bool(obj, "more", &out->more))
		return false;
	if (!json_object_object_get_ex(obj, "kvs", &arr))
		return true;
	if (!json_object_is_type(arr, json_type_array))
		return false;
	n = json_object_array_length(arr);
	if (op->limit > 0 && n > op->limit)
		return false;
	out->kvs = agb_xcalloc(n, sizeof(*out->kvs));
	for (i = 0; i < n; i++) {
		kv = &out->kvs[out->kvs_len++];
		if (!get_kv(json_object_array_get_idx(arr, i), kv))
			return false;
		if (kv->create_rev == 0 || kv->create_rev > kv->mod_rev ||
		    !in_range(op, kv->key))
			return false;
		if (i > 0 && strcmp(kv[-1].key, kv->key) >= 0)
			return false;
	}
	return true;
}

static bool
get_lease(const struct agb_store_op *op, struct json_object *obj,
    struct agb_store_result *out)
{
	uint64_t id, ttl;

	if (!get_uint64(obj, "ID", &id) || !get_uint64(obj, "TTL", &ttl) ||
	    id == 0 || ttl > UINT32_MAX)
		return false;
	if (op->kind == AGB_STORE_LEASE_GRANT && ttl == 0)
		return false;
	if (op->kind == AGB_STORE_LEASE_KEEPALIVE && (int64_t)id != op->lease)
		return false;
	out->lease = (int64_t)id;
	out->ttl_s = (uint32_t)ttl;
	return true;
}

static struct json_object *
parse_json(const char *body, size_t len)
{
	struct json_tokener *const tok = json_tokener_new_ex(JSON_DEPTH_MAX);
	struct json_object *obj;

	if (tok == NULL)
		abort();
	json_tokener_set_flags(tok,
	    JSON_TOKENER_STRICT | JSON_TOKENER_ALLOW_TRAILING_CHARS |
		JSON_TOKENER_VALIDATE_UTF8);
	obj =
	    len < INT32_MAX ? json_tokener_parse_ex(tok, body, (int)len) : NULL;
	json_tokener_free(tok);
	return obj;
}

static bool
get_result(const struct agb_store_op *op, struct json_object *obj,
    struct agb_store_result *out)
{
	/* A keep-alive is answered by a stream, of which one message is
	 * read. */
	if (op->kind == AGB_STORE_LEASE_KEEPALIVE)
		obj = get_member(obj, "result", json_type_object);
	if (obj == NULL || !get_revision(obj, &out->revision))
		return false;
	switch (op->kind) {
	case AGB_STORE_RANGE:
		return get_range(op, obj, out);
	case AGB_STORE_TXN:
		return get_bool(obj, "succeeded", &out->succeeded);
	case AGB_STORE_LEASE_GRANT:
	case AGB_STORE_LEASE_KEEPALIVE:
		return get_lease(op, obj, out);
	case AGB_STORE_LEASE_REVOKE:
		return true;
	}
	return false;
}

bool
agb_store_etcd_parse_response(const struct agb_store_op *op, const char *body,
    size_t len, struct agb_store_result *out)
{
	struct json_object *const obj = parse_json(body, len);
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = get_result(op, obj, out);
	json_object_put(obj);
	if (!ok)
		agb_store_result_free(out);
	out->status = ok ? AGB_STORE_OK : AGB_STORE_LOST;
	return ok;
}

/*
 * Whether an HTTP status means that the call had no effect. The gateway uses
 * 4xx for an invalid argument, a lease that does not exist, missing permission
 * or no space. 408 and 5xx may also follow a write that has been proposed.
 */
static bool
is_refusal(int http_status)
{
	return http_status >= 400 && http_status < 500 && http_status != 408;
}

static void
pending_call_free(struct pending_call *p)
{
	DL_DELETE(p->s->pending_calls, p);
	agb_store_op_free(&p->op);
	free(p->body);
	free(p);
}

static void pending_call_send(struct pending_call *p);

/* Moves on to the next endpoint after a call that was not sent. Returns false
 * when all endpoints have been tried. */
static bool
advance_endpoint(
    struct etcd_client *s, size_t *endpoint, size_t *endpoints_tried)
{
	*endpoint = (*endpoint + 1) % s->endpoints_len;
	return ++*endpoints_tried < s->endpoints_len;
}

static void
on_response(void *arg, const struct agb_httpc_res *http)
{
	struct pending_call *const p = arg;
	struct etcd_client *const s = p->s;
	struct agb_store_result res = {0};
	const uint64_t tag = p->tag;

	if (http->status == AGB_HTTPC_UNSENT) {
		if (advance_endpoint(s, &p->endpoint, &p->endpoints_tried) &&
		    uv_now(s->loop) < p->deadline_ms) {
			pending_call_send(p);
			return;
		}
		res.status = AGB_STORE_REFUSED;
		s->preferred = p->endpoint;
	} else if (http->status == AGB_HTTPC_LOST) {
		res.status = AGB_STORE_LOST;
		s->preferred = (p->endpoint + 1) % s->endpoints_len;
	} else {
		s->preferred = p->endpoint;
		if (is_refusal(http->http_status))
			res.status = AGB_STORE_REFUSED;
		else if (http->http_status != 200)
			res.status = AGB_STORE_LOST;
		else
			agb_store_etcd_parse_response(
			    &p->op, http->body, http->body_len, &res);
	}
	pending_call_free(p);
	s->base.cb(s->base.arg, tag, &res);
}

static const struct agb_httpc_header json_headers[] = {
    {"Content-Type", "application/json"},
};

static void
pending_call_send(struct pending_call *p)
{
	static const char *const paths[] = {
	    [AGB_STORE_RANGE] = "/v3/kv/range",
	    [AGB_STORE_TXN] = "/v3/kv/txn",
	    [AGB_STORE_LEASE_GRANT] = "/v3/lease/grant",
	    [AGB_STORE_LEASE_KEEPALIVE] = "/v3/lease/keepalive",
	    [AGB_STORE_LEASE_REVOKE] = "/v3/lease/revoke",
	};
	struct etcd_client *const s = p->s;
	const uint64_t remaining_ms = p->deadline_ms - uv_now(s->loop);
	struct agb_httpc_req req = {
	    .addr = s->endpoints[p->endpoint],
	    .method = "POST",
	    .path = paths[p->op.kind],
	    .headers = json_headers,
	    .headers_len = 1,
	    .body = p->body,
	    .body_len = p->body_len,
	    .timeout_ms = (uint32_t)remaining_ms,
	    .body_max = RESPONSE_BYTES_MAX,
	    .cb = on_response,
	    .arg = p,
	};

	/* Divides the remaining time so that an endpoint that does not respond
	 * leaves enough for the others. */
	req.connect_timeout_ms =
	    (uint32_t)(remaining_ms / (s->endpoints_len - p->endpoints_tried)) +
	    1;
	agb_httpc_request(s->http, &req);
}

static void
etcd_call(struct agb_store *base, uint64_t tag, struct agb_store_op *op,
    uint32_t timeout_ms)
{
	struct etcd_client *const s = (struct etcd_client *)base;
	struct pending_call *const p = agb_xcalloc(1, sizeof(*p));

	p->s = s;
	p->tag = tag;
	p->op = *op;
	memset(op, 0, sizeof(*op));
	p->body = build_request_body(&p->op, &p->body_len);
	p->deadline_ms = uv_now(s->loop) +
	    (timeout_ms > 0 ? timeout_ms : DEFAULT_TIMEOUT_MS);
	p->endpoint = s->preferred;
	DL_APPEND(s->pending_calls, p);
	s->call_count++;
	pending_call_send(p);
}

static bool
get_event(struct json_object *obj, struct agb_store_kv *kv)
{
	struct json_object *type;

	if (!json_object_is_type(obj, json_type_object) ||
	    !get_kv(get_member(obj, "kv", json_type_object), kv))
		return false;
	if (!json_object_object_get_ex(obj, "type", &type))
		return true;
	if (!json_object_is_type(type, json_type_string))
		return false;
	kv->deleted = strcmp(json_object_get_string(type), "DELETE") == 0;
	return kv->deleted || strcmp(json_object_get_string(type), "PUT") == 0;
}

bool
agb_store_etcd_parse_watch(
    struct json_object *msg, struct agb_store_etcd_watch_msg *out)
{
	struct json_object *const res =
	    get_member(msg, "result", json_type_object);
	struct json_object *arr;
	struct agb_store_kv *kv;
	bool canceled;
	size_t i, n;

	memset(out, 0, sizeof(*out));
	if (res == NULL || !get_revision(res, &out->revision) ||
	    !get_bool(res, "created", &out->created) ||
	    !get_bool(res, "canceled", &canceled))
		return false;
	if (canceled) {
		out->broken = true;
		return true;
	}
	if (!json_object_object_get_ex(res, "events", &arr))
		return true;
	if (!json_object_is_type(arr, json_type_array))
		return false;
	n = json_object_array_length(arr);
	out->kvs = agb_xcalloc(n, sizeof(*out->kvs));
	for (i = 0; i < n; i++) {
		kv = &out->kvs[out->kvs_len++];
		if (!get_event(json_object_array_get_idx(arr, i), kv))
			return false;
		if (i > 0 && kv->mod_rev < kv[-1].mod_rev)
			return false;
	}
	if (n > 0)
		out->revision = out->kvs[n - 1].mod_rev;
	return true;
}

static void
watch_destroy(struct watch *w)
{
	json_tokener_free(w->tok);
	free(w->body);
	free(w);
}

static void
watch_free(struct watch *w)
{
	if (w->call != NULL)
		agb_httpc_cancel(w->call);
	DL_DELETE(w->s->watches, w);
	if (w->in_callback)
		w->free_after_callback = true;
	else
		watch_destroy(w);
}

static void
watch_fail(struct watch *w)
{
	struct etcd_client *const s = w->s;
	const uint64_t tag = w->tag;

	watch_free(w);
	s->base.watch_cb(s->base.arg, tag, NULL, 0, 0, true);
}

/* Handles a message of a watch. Returns false when the watch has been freed. */
static bool
watch_handle_message(struct watch *w, struct json_object *msg)
{
	struct etcd_client *const s = w->s;
	struct agb_store_etcd_watch_msg ev;

	if (!agb_store_etcd_parse_watch(msg, &ev) || ev.broken ||
	    (ev.kvs_len > 0 && ev.kvs[0].mod_rev < w->from_rev)) {
		agb_store_kvs_free(ev.kvs, ev.kvs_len);
		watch_fail(w);
		return false;
	}
	s->preferred = w->endpoint;
	if (ev.kvs_len == 0 && (!ev.created || w->from_rev > 0)) {
		free(ev.kvs);
		return true;
	}
	w->from_rev = ev.revision + 1;
	w->in_callback = true;
	s->base.watch_cb(
	    s->base.arg, w->tag, ev.kvs, ev.kvs_len, ev.revision, false);
	w->in_callback = false;
	if (!w->free_after_callback)
		return true;
	watch_destroy(w);
	return false;
}

static void
on_watch_chunk(void *arg, int http_status, const char *data, size_t len)
{
	struct watch *const w = arg;
	struct json_object *msg;
	bool alive;
	size_t parsed_len;

	if (http_status != 200)
		return;
	while (len > 0) {
		msg = json_tokener_parse_ex(w->tok, data, (int)len);
		parsed_len = json_tokener_get_parse_end(w->tok);
		w->message_bytes += msg == NULL ? len : parsed_len;
		if (msg == NULL &&
		    (json_tokener_get_error(w->tok) != json_tokener_continue ||
			w->message_bytes > WATCH_MESSAGE_BYTES_MAX)) {
			watch_fail(w);
			return;
		}
		if (msg == NULL)
			return;
		w->message_bytes = 0;
		alive = watch_handle_message(w, msg);
		json_object_put(msg);
		if (!alive)
			return;
		data += parsed_len;
		len -= parsed_len;
	}
}

static void watch_send(struct watch *w);

static void
on_watch_end(void *arg, const struct agb_httpc_res *http)
{
	struct watch *const w = arg;

	w->call = NULL;
	if (http->status == AGB_HTTPC_UNSENT &&
	    advance_endpoint(w->s, &w->endpoint, &w->endpoints_tried)) {
		watch_send(w);
		return;
	}
	if (http->status != AGB_HTTPC_UNSENT)
		w->s->preferred = (w->endpoint + 1) % w->s->endpoints_len;
	watch_fail(w);
}

static void
watch_send(struct watch *w)
{
	const struct agb_httpc_req req = {
	    .addr = w->s->endpoints[w->endpoint],
	    .method = "POST",
	    .path = "/v3/watch",
	    .headers = json_headers,
	    .headers_len = 1,
	    .body = w->body,
	    .body_len = w->body_len,
	    .connect_timeout_ms = DEFAULT_TIMEOUT_MS,
	    .cb = on_watch_end,
	    .on_chunk = on_watch_chunk,
	    .arg = w,
	};

	w->call = agb_httpc_request(w->s->http, &req);
}

static void
etcd_watch(struct agb_store *base, uint64_t tag, const char *key,
    const char *range_end, uint64_t from_rev)
{
	struct etcd_client *const s = (struct etcd_client *)base;
	struct watch *const w = agb_xcalloc(1, sizeof(*w));
	FILE *f;

	w->s = s;
	w->tag = tag;
	w->from_rev = from_rev;
	w->endpoint = s->preferred;
	w->tok = json_tokener_new_ex(JSON_DEPTH_MAX);
	f = open_memstream(&w->body, &w->body_len);
	if (w->tok == NULL || f == NULL)
		abort();
	json_tokener_set_flags(w->tok,
	    JSON_TOKENER_STRICT | JSON_TOKENER_ALLOW_TRAILING_CHARS |
		JSON_TOKENER_VALIDATE_UTF8);
	fputs("{\"create_request\":{", f);
	write_range(f, key, range_end);
	if (from_rev > 0)
		fprintf(f, ",\"start_revision\":\"%llu\"",
		    (unsigned long long)from_rev);
	fputs("}}", f);
	if (fclose(f) != 0)
		abort();
	DL_APPEND(s->watches, w);
	s->call_count++;
	watch_send(w);
}

static void
etcd_unwatch(struct agb_store *base, uint64_t tag)
{
	struct etcd_client *const s = (struct etcd_client *)base;
	struct watch *w;

	for (w = s->watches; w != NULL; w = w->next) {
		if (w->tag == tag) {
			watch_free(w);
			return;
		}
	}
}

static uint64_t
etcd_call_count(const struct agb_store *base)
{
	return ((const struct etcd_client *)base)->call_count;
}

static void
etcd_close(struct agb_store *base)
{
	struct etcd_client *const s = (struct etcd_client *)base;
	struct watch *w, *next_watch;
	struct pending_call *p, *next;

	for (w = s->watches; w != NULL; w = next_watch) {
		next_watch = w->next;
		watch_free(w);
	}
	agb_httpc_free(s->http);
	for (p = s->pending_calls; p != NULL; p = next) {
		next = p->next;
		pending_call_free(p);
	}
	free(s->endpoints);
	free(s);
}

static const struct agb_store_ops etcd_ops = {
    .call = etcd_call,
    .watch = etcd_watch,
    .unwatch = etcd_unwatch,
    .call_count = etcd_call_count,
    .close = etcd_close,
};

struct agb_httpc_bytes
agb_store_etcd_bytes(const struct agb_store *s)
{
	return agb_httpc_bytes(((const struct etcd_client *)s)->http);
}

struct agb_store *
agb_store_etcd_new(uv_loop_t *loop, const agb_addr *endpoints, size_t len,
    agb_store_cb cb, agb_store_watch_cb watch_cb, void *arg)
{
	struct etcd_client *const s = agb_xcalloc(1, sizeof(*s));

	s->base.ops = &etcd_ops;
	s->base.cb = cb;
	s->base.watch_cb = watch_cb;
	s->base.arg = arg;
	s->loop = loop;
	s->http = agb_httpc_new(loop, CONNECTIONS_MAX);
	s->endpoints = agb_xcalloc(len, sizeof(*s->endpoints));
	memcpy(s->endpoints, endpoints, len * sizeof(*s->endpoints));
	s->endpoints_len = len;
	return &s->base;
}

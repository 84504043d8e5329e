#include "platform_part.h"

#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "b64.h"
#include "http_part.h"
#include "mem.h"

/* Request limits of etcd in its default configuration. */
#define TXN_OPS_MAX 128
#define REQUEST_BYTES_MAX ((size_t)1536 * 1024)

/* Changes kept for watches that start at a past revision. */
#define HISTORY_MAX 4096

struct kv {
	char *key, *val;
	size_t val_len;
	uint64_t create_rev, mod_rev, version;
	int64_t lease_id; /* 0: none */
};

/* A past write of a key; a deletion has no value. */
struct kv_change {
	struct kv kv;
	bool deleted;
};

struct lease {
	uv_timer_t timer;
	struct platform *platform;
	struct lease *next;
	int64_t id;
	uint32_t ttl_s;
};

/* An open watch on the keys from @key up to @range_end, or only on @key. */
struct watcher {
	struct platform *platform;
	struct watcher *next;
	struct http_conn *conn;
	char *key, *range_end;
};

/* An entry of the instance list; @publish_timer delays its changes. */
struct instance {
	uv_timer_t ttl_timer;
	uv_timer_t publish_timer;
	struct platform *platform;
	struct instance *next;
	struct json_object *posted; /* current entry */
	struct json_object *listed; /* entry that the list shows; NULL: none */
	uint64_t version;	    /* list version of the change to @listed */
	int open_handles; /* libuv handles; closing the last one frees this */
};

struct platform {
	uv_loop_t *loop;
	struct http_server *http;
	struct kv *kvs; /* sorted by key */
	size_t kvs_len;
	uint64_t rev;
	struct kv_change history[HISTORY_MAX]; /* ring buffer */
	/* Changes added to @history since the start; only the latest
	 * HISTORY_MAX are still in it. */
	uint64_t changes_added;
	struct lease *leases;
	int64_t next_lease;
	struct watcher *watchers;
	struct instance *instances;
	uint64_t list_version;
	uint32_t list_lag_ms;
	bool down;
	uint32_t delay_ms;	    /* of each response */
	uint32_t responses_to_drop; /* writes that get no response */
	struct {
		uint64_t range, txn, lease, watch, list;
	} call_counts;
};

static void
free_kv(struct kv *kv)
{
	free(kv->key);
	free(kv->val);
}

static struct json_object *
get_field(struct json_object *obj, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(obj, name, &v);
	return v;
}

static int64_t
get_int(struct json_object *obj, const char *name)
{
	return json_object_get_int64(get_field(obj, name));
}

/* Return: decoded bytes; NULL when the field is absent or malformed. */
static char *
get_b64(struct json_object *obj, const char *name, size_t *len)
{
	struct json_object *const v = get_field(obj, name);
	size_t n = 0;
	char *out;

	if (v == NULL)
		return NULL;
	out = agb_b64_decode(json_object_get_string(v),
	    (size_t)json_object_get_string_len(v), &n);
	if (len != NULL)
		*len = n;
	return out;
}

/* Return: index of the first key that is not less than @key. */
static size_t
lower_bound(const struct platform *p, const char *key)
{
	size_t lo = 0, hi = p->kvs_len, mid;

	while (lo < hi) {
		mid = (lo + hi) / 2;
		if (strcmp(p->kvs[mid].key, key) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

/* Same rule as etcd: [@key, @end), or only @key when @end is NULL. */
static bool
in_range(const char *k, const char *key, const char *end)
{
	if (end == NULL)
		return strcmp(k, key) == 0;
	return strcmp(key, k) <= 0 && strcmp(k, end) < 0;
}

static struct kv *
kv_find(const struct platform *p, const char *key)
{
	const size_t i = lower_bound(p, key);

	if (i < p->kvs_len && strcmp(p->kvs[i].key, key) == 0)
		return &p->kvs[i];
	return NULL;
}

static void
history_append(struct platform *p, const struct kv *kv, bool deleted)
{
	struct kv_change *const ch =
	    &p->history[p->changes_added++ % HISTORY_MAX];

	free_kv(&ch->kv);
	ch->kv = *kv;
	ch->kv.key = agb_xstrdup(kv->key);
	ch->kv.val = agb_xmemdup(kv->val, kv->val_len);
	ch->deleted = deleted;
}

static void
kv_put(struct platform *p, uint64_t rev, const char *key, const char *val,
    size_t len, int64_t lease_id)
{
	size_t i = lower_bound(p, key);
	struct kv *kv = kv_find(p, key);

	if (kv == NULL) {
		p->kvs =
		    agb_xreallocarray(p->kvs, p->kvs_len + 1, sizeof(*p->kvs));
		memmove(&p->kvs[i + 1], &p->kvs[i],
		    (p->kvs_len++ - i) * sizeof(*p->kvs));
		kv = &p->kvs[i];
		memset(kv, 0, sizeof(*kv));
		kv->key = agb_xstrdup(key);
		kv->create_rev = rev;
	}
	free(kv->val);
	kv->val = agb_xmemdup(val, len);
	kv->val_len = len;
	kv->mod_rev = rev;
	kv->version++;
	kv->lease_id = lease_id;
	history_append(p, kv, false);
}

static void
kv_delete_at(struct platform *p, size_t i, uint64_t rev)
{
	struct kv kv = p->kvs[i];

	kv.mod_rev = rev;
	kv.val_len = 0;
	history_append(p, &kv, true);
	free_kv(&kv);
	p->kvs_len--;
	memmove(&p->kvs[i], &p->kvs[i + 1], (p->kvs_len - i) * sizeof(*p->kvs));
}

/* The JSON mapping encodes 64-bit numbers as strings and omits zeros. */
static void
write_int64_field(FILE *f, const char *name, int64_t n)
{
	if (n != 0)
		fprintf(f, ",\"%s\":\"%lld\"", name, (long long)n);
}

static void
write_kv(FILE *f, const struct kv *kv, bool with_value)
{
	char *text = agb_b64_encode(kv->key, strlen(kv->key));

	fprintf(f, "{\"key\":\"%s\"", text);
	free(text);
	write_int64_field(f, "create_revision", (int64_t)kv->create_rev);
	write_int64_field(f, "mod_revision", (int64_t)kv->mod_rev);
	write_int64_field(f, "version", (int64_t)kv->version);
	write_int64_field(f, "lease", kv->lease_id);
	if (with_value && kv->val_len > 0) {
		text = agb_b64_encode(kv->val, kv->val_len);
		fprintf(f, ",\"value\":\"%s\"", text);
		free(text);
	}
	fputc('}', f);
}

static void
write_header(FILE *f, const struct platform *p)
{
	fprintf(f,
	    "\"header\":{\"cluster_id\":\"1\",\"member_id\":\"1\","
	    "\"revision\":\"%llu\",\"raft_term\":\"1\"}",
	    (unsigned long long)p->rev);
}

struct response {
	FILE *f;
	char *text;
	size_t len;
};

static FILE *
response_open(struct response *r)
{
	r->f = open_memstream(&r->text, &r->len);
	if (r->f == NULL)
		abort();
	return r->f;
}

static void
response_send(
    struct platform *p, struct http_conn *c, struct response *r, int status)
{
	fclose(r->f);
	http_reply(c, status, r->text, r->len, p->delay_ms);
	free(r->text);
}

static void
reply_error(
    struct platform *p, struct http_conn *c, int status, const char *text)
{
	struct response r;

	fprintf(
	    response_open(&r), "{\"error\":\"%s\",\"code\":%d}", text, status);
	response_send(p, c, &r, status);
}

/*
 * Sends the response to a write that has been applied. With the fault
 * "lose_answers" it closes the connection instead, so that the client cannot
 * know the outcome.
 */
static void
reply_to_write(struct platform *p, struct http_conn *c, struct response *r)
{
	if (p->responses_to_drop == 0) {
		response_send(p, c, r, 200);
		return;
	}
	p->responses_to_drop--;
	fclose(r->f);
	free(r->text);
	http_close(c);
}

/* Sends the changes of revisions @from to @to that are in the watched range. */
static void
watcher_send(struct watcher *w, uint64_t from, uint64_t to)
{
	const struct platform *const p = w->platform;
	const struct kv_change *ch;
	struct response r;
	uint64_t i;
	int n = 0;
	FILE *const f = response_open(&r);

	fputs("{\"result\":{", f);
	write_header(f, p);
	fputs(",\"events\":[", f);
	i = p->changes_added > HISTORY_MAX ? p->changes_added - HISTORY_MAX : 0;
	for (; i < p->changes_added; i++) {
		ch = &p->history[i % HISTORY_MAX];
		if (ch->kv.mod_rev < from || ch->kv.mod_rev > to ||
		    !in_range(ch->kv.key, w->key, w->range_end))
			continue;
		fprintf(f, "%s{%s\"kv\":", n++ > 0 ? "," : "",
		    ch->deleted ? "\"type\":\"DELETE\"," : "");
		write_kv(f, &ch->kv, true);
		fputc('}', f);
	}
	fputs("]}}\n", f);
	fclose(f);
	if (n > 0)
		http_write_chunk(w->conn, r.text, r.len);
	free(r.text);
}

/* Makes @rev the current revision and sends its changes to the watchers. */
static void
commit_revision(struct platform *p, uint64_t rev)
{
	struct watcher *w;

	p->rev = rev;
	for (w = p->watchers; w != NULL; w = w->next)
		watcher_send(w, rev, rev);
}

static void
write_range(FILE *f, const struct platform *p, struct json_object *req)
{
	char *const key = get_b64(req, "key", NULL);
	char *const end = get_b64(req, "range_end", NULL);
	const bool keys_only =
	    json_object_get_boolean(get_field(req, "keys_only"));
	const int64_t limit = get_int(req, "limit");
	int64_t n = 0;
	size_t i;

	fputs(",\"kvs\":[", f);
	/* n ends as limit + 1 when there are more keys than the limit. */
	for (i = key != NULL ? lower_bound(p, key) : p->kvs_len;
	     i < p->kvs_len && in_range(p->kvs[i].key, key, end); i++) {
		if (limit > 0 && n >= limit) {
			n++;
			break;
		}
		if (n++ > 0)
			fputc(',', f);
		write_kv(f, &p->kvs[i], !keys_only);
	}
	fputc(']', f);
	if (limit > 0 && n > limit)
		fputs(",\"more\":true", f);
	free(key);
	free(end);
}

static void
handle_range(struct platform *p, struct http_conn *c, struct json_object *req)
{
	struct response r;
	FILE *const f = response_open(&r);

	p->call_counts.range++;
	fputc('{', f);
	write_header(f, p);
	write_range(f, p, req);
	fputc('}', f);
	response_send(p, c, &r, 200);
}

static int
compare_int64(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

static bool
compare_holds(const struct platform *p, struct json_object *cmp)
{
	const char *const target =
	    json_object_get_string(get_field(cmp, "target"));
	const char *const result =
	    json_object_get_string(get_field(cmp, "result"));
	char *const key = get_b64(cmp, "key", NULL);
	const struct kv *const kv = key != NULL ? kv_find(p, key) : NULL;
	char *val;
	size_t len = 0;
	int d;

	free(key);
	if (target != NULL && strcmp(target, "CREATE") == 0) {
		d = compare_int64(kv != NULL ? (int64_t)kv->create_rev : 0,
		    get_int(cmp, "create_revision"));
	} else if (target != NULL && strcmp(target, "MOD") == 0) {
		d = compare_int64(kv != NULL ? (int64_t)kv->mod_rev : 0,
		    get_int(cmp, "mod_revision"));
	} else if (target != NULL && strcmp(target, "VALUE") == 0) {
		val = get_b64(cmp, "value", &len);
		d = kv == NULL || val == NULL || kv->val_len != len ||
		    memcmp(kv->val, val, len) != 0;
		free(val);
	} else {
		d = compare_int64(kv != NULL ? (int64_t)kv->version : 0,
		    get_int(cmp, "version"));
	}
	if (result != NULL && strcmp(result, "GREATER") == 0)
		return d > 0;
	if (result != NULL && strcmp(result, "LESS") == 0)
		return d < 0;
	if (result != NULL && strcmp(result, "NOT_EQUAL") == 0)
		return d != 0;
	return d == 0;
}

static struct lease *
find_lease(const struct platform *p, int64_t id)
{
	struct lease *l;

	for (l = p->leases; l != NULL && l->id != id; l = l->next)
		;
	return l;
}

/*
 * Return: NULL when the operations can be applied, or the error message of
 * etcd, with its HTTP status in @status.
 */
static const char *
validate_ops(const struct platform *p, struct json_object *ops, int *status)
{
	const size_t n = json_object_array_length(ops);
	struct json_object *a, *b;
	size_t i, j;

	*status = 400;
	if (n > TXN_OPS_MAX)
		return "etcdserver: too many operations in txn request";
	for (i = 0; i < n; i++) {
		a = get_field(json_object_array_get_idx(ops, i), "request_put");
		if (a == NULL)
			continue;
		if (get_field(a, "key") == NULL)
			return "etcdserver: key is not provided";
		if (get_int(a, "lease") != 0 &&
		    find_lease(p, get_int(a, "lease")) == NULL) {
			*status = 404;
			return "etcdserver: requested lease not found";
		}
		for (j = 0; j < i; j++) {
			b = get_field(
			    json_object_array_get_idx(ops, j), "request_put");
			if (b != NULL &&
			    json_object_equal(
				get_field(a, "key"), get_field(b, "key")))
				return "etcdserver: duplicate key given";
		}
	}
	return NULL;
}

static void
apply_op(struct platform *p, FILE *f, struct json_object *op, uint64_t rev)
{
	struct json_object *const rput = get_field(op, "request_put");
	struct json_object *const rdel = get_field(op, "request_delete_range");
	struct json_object *const rrange = get_field(op, "request_range");
	char *key, *end, *val;
	size_t i, len = 0;
	int64_t n = 0;

	if (rput != NULL) {
		key = get_b64(rput, "key", NULL);
		val = get_b64(rput, "value", &len);
		kv_put(p, rev, key, val, len, get_int(rput, "lease"));
		fputs("{\"response_put\":{}}", f);
		free(key);
		free(val);
	} else if (rdel != NULL) {
		key = get_b64(rdel, "key", NULL);
		end = get_b64(rdel, "range_end", NULL);
		i = lower_bound(p, key);
		for (; i < p->kvs_len && in_range(p->kvs[i].key, key, end); n++)
			kv_delete_at(p, i, rev);
		fputs("{\"response_delete_range\":{", f);
		write_header(f, p);
		write_int64_field(f, "deleted", n);
		fputs("}}", f);
		free(key);
		free(end);
	} else if (rrange != NULL) {
		fputs("{\"response_range\":{", f);
		write_header(f, p);
		write_range(f, p, rrange);
		fputs("}}", f);
	}
}

static void
handle_txn(struct platform *p, struct http_conn *c, struct json_object *req)
{
	struct json_object *const cmps = get_field(req, "compare");
	const uint64_t changes_added_before = p->changes_added;
	struct json_object *ops;
	const char *error;
	bool success = true;
	struct response r;
	size_t i;
	int status;
	FILE *f;

	p->call_counts.txn++;
	for (i = 0; cmps != NULL && i < json_object_array_length(cmps); i++)
		success = success &&
		    compare_holds(p, json_object_array_get_idx(cmps, i));
	ops = get_field(req, success ? "success" : "failure");
	error = ops != NULL ? validate_ops(p, ops, &status) : NULL;
	if (error != NULL) {
		reply_error(p, c, status, error);
		return;
	}
	f = response_open(&r);
	fputs("{\"responses\":[", f);
	for (i = 0; ops != NULL && i < json_object_array_length(ops); i++) {
		if (i > 0)
			fputc(',', f);
		apply_op(p, f, json_object_array_get_idx(ops, i), p->rev + 1);
	}
	if (p->changes_added > changes_added_before)
		commit_revision(p, p->rev + 1);
	fputs("],", f);
	write_header(f, p);
	fprintf(f, "%s}", success ? ",\"succeeded\":true" : "");
	reply_to_write(p, c, &r);
}

static void
on_lease_closed(uv_handle_t *h)
{
	free(h->data);
}

/* Deletes the keys of an expired or revoked lease, in one revision. */
static void
lease_remove(struct lease *l)
{
	struct platform *const p = l->platform;
	const uint64_t changes_added_before = p->changes_added;
	struct lease **at;
	size_t i = 0;

	for (at = &p->leases; *at != l; at = &(*at)->next)
		;
	*at = l->next;
	while (i < p->kvs_len) {
		if (p->kvs[i].lease_id == l->id)
			kv_delete_at(p, i, p->rev + 1);
		else
			i++;
	}
	if (p->changes_added > changes_added_before)
		commit_revision(p, p->rev + 1);
	uv_close((uv_handle_t *)&l->timer, on_lease_closed);
}

static void
on_lease_expired(uv_timer_t *t)
{
	lease_remove(t->data);
}

static void
handle_grant(struct platform *p, struct http_conn *c, struct json_object *req)
{
	struct lease *const l = agb_xcalloc(1, sizeof(*l));
	const int64_t ttl = get_int(req, "TTL");
	struct response r;
	FILE *f;

	p->call_counts.lease++;
	l->platform = p;
	l->id = ++p->next_lease;
	l->ttl_s = ttl > 0 ? (uint32_t)ttl : 1;
	l->next = p->leases;
	p->leases = l;
	uv_timer_init(p->loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, on_lease_expired, l->ttl_s * 1000ull, 0);
	f = response_open(&r);
	fputc('{', f);
	write_header(f, p);
	write_int64_field(f, "ID", l->id);
	write_int64_field(f, "TTL", l->ttl_s);
	fputc('}', f);
	reply_to_write(p, c, &r);
}

static void
handle_keepalive(
    struct platform *p, struct http_conn *c, struct json_object *req)
{
	struct lease *const l = find_lease(p, get_int(req, "ID"));
	struct response r;
	FILE *const f = response_open(&r);

	p->call_counts.lease++;
	if (l != NULL)
		uv_timer_start(
		    &l->timer, on_lease_expired, l->ttl_s * 1000ull, 0);
	fputs("{\"result\":{", f);
	write_header(f, p);
	write_int64_field(f, "ID", get_int(req, "ID"));
	write_int64_field(f, "TTL", l != NULL ? l->ttl_s : 0);
	fputs("}}\n", f);
	reply_to_write(p, c, &r);
}

static void
handle_revoke(struct platform *p, struct http_conn *c, struct json_object *req)
{
	struct lease *const l = find_lease(p, get_int(req, "ID"));
	struct response r;
	FILE *f;

	p->call_counts.lease++;
	if (l == NULL) {
		reply_error(p, c, 404, "etcdserver: requested lease not found");
		return;
	}
	lease_remove(l);
	f = response_open(&r);
	fputc('{', f);
	write_header(f, p);
	fputc('}', f);
	reply_to_write(p, c, &r);
}

static void
handle_watch(struct platform *p, struct http_conn *c, struct json_object *req)
{
	struct json_object *const create = get_field(req, "create_request");
	const uint64_t from = (uint64_t)get_int(create, "start_revision");
	struct watcher *w;
	uint64_t oldest = 0;
	struct response r;
	FILE *f;

	p->call_counts.watch++;
	if (get_field(create, "key") == NULL) {
		reply_error(p, c, 400, "key is not provided");
		return;
	}
	/*
	 * Some changes of the oldest revision in the history may have been
	 * overwritten, so only the revisions after it are known to be whole.
	 */
	if (p->changes_added > HISTORY_MAX)
		oldest =
		    p->history[p->changes_added % HISTORY_MAX].kv.mod_rev + 1;
	http_start_chunked(c);
	f = response_open(&r);
	fputs("{\"result\":{", f);
	write_header(f, p);
	fputs(",\"created\":true", f);
	if (from > 0 && from < oldest) {
		fputs(",\"canceled\":true", f);
		write_int64_field(f, "compact_revision", (int64_t)oldest);
	}
	fputs("}}\n", f);
	fclose(f);
	http_write_chunk(c, r.text, r.len);
	free(r.text);
	if (from > 0 && from < oldest)
		return;
	w = agb_xcalloc(1, sizeof(*w));
	w->platform = p;
	w->conn = c;
	w->key = get_b64(create, "key", NULL);
	w->range_end = get_b64(create, "range_end", NULL);
	w->next = p->watchers;
	p->watchers = w;
	http_set_user_data(c, w);
	if (from > 0)
		watcher_send(w, from, p->rev);
}

/* A connection with user data carries a watch. */
static void
on_conn_closed(void *arg, void *user_data)
{
	struct platform *const p = arg;
	struct watcher *const w = user_data;
	struct watcher **at;

	for (at = &p->watchers; *at != w; at = &(*at)->next)
		;
	*at = w->next;
	free(w->key);
	free(w->range_end);
	free(w);
}

static const char *
instance_id(struct json_object *obj)
{
	const char *const id = json_object_get_string(get_field(obj, "id"));

	return id != NULL ? id : "";
}

/* Shows the newest entry in the list, under a new list version. */
static void
on_publish_timer(uv_timer_t *t)
{
	struct instance *const inst = t->data;

	if (json_object_equal(inst->listed, inst->posted))
		return;
	json_object_put(inst->listed);
	inst->listed = json_object_get(inst->posted);
	inst->version = ++inst->platform->list_version;
}

/* Replaces the entry; the list shows it after the configured delay. */
static void
instance_set_posted(struct instance *inst, struct json_object *state)
{
	json_object_put(inst->posted);
	inst->posted = state;
	/* A running timer will publish this change too. */
	if (inst->platform->list_lag_ms == 0)
		on_publish_timer(&inst->publish_timer);
	else if (!uv_is_active((uv_handle_t *)&inst->publish_timer))
		uv_timer_start(&inst->publish_timer, on_publish_timer,
		    inst->platform->list_lag_ms, 0);
}

/* The instance was not posted again within its TTL. */
static void
on_instance_expired(uv_timer_t *t)
{
	struct instance *const inst = t->data;
	struct json_object *expired = NULL;

	json_object_deep_copy(inst->posted, &expired, NULL);
	json_object_object_add(
	    expired, "state", json_object_new_string("gone"));
	instance_set_posted(inst, expired);
}

static void
handle_instance_post(
    struct platform *p, struct http_conn *c, struct json_object *req)
{
	const int64_t ttl_ms = get_int(req, "ttl_ms");
	struct instance *inst;

	if (instance_id(req)[0] == '\0') {
		reply_error(p, c, 400, "id is not provided");
		return;
	}
	for (inst = p->instances; inst != NULL; inst = inst->next) {
		if (strcmp(instance_id(inst->posted), instance_id(req)) == 0)
			break;
	}
	if (inst == NULL) {
		inst = agb_xcalloc(1, sizeof(*inst));
		inst->platform = p;
		inst->open_handles = 2;
		uv_timer_init(p->loop, &inst->ttl_timer);
		uv_timer_init(p->loop, &inst->publish_timer);
		inst->ttl_timer.data = inst->publish_timer.data = inst;
		inst->next = p->instances;
		p->instances = inst;
	}
	json_object_object_del(req, "ttl_ms");
	if (get_field(req, "state") == NULL)
		json_object_object_add(
		    req, "state", json_object_new_string("live"));
	uv_timer_stop(&inst->ttl_timer);
	if (ttl_ms > 0)
		uv_timer_start(
		    &inst->ttl_timer, on_instance_expired, (uint64_t)ttl_ms, 0);
	instance_set_posted(inst, json_object_get(req));
	http_reply(c, 200, "{}", 2, p->delay_ms);
}

static void
handle_instance_list(struct platform *p, struct http_conn *c, const char *path)
{
	const char *const query = strstr(path, "?since=");
	uint64_t since = query != NULL ? strtoull(query + 7, NULL, 10) : 0;
	const char *state;
	struct instance *inst;
	struct response r;
	int n = 0;
	FILE *const f = response_open(&r);

	p->call_counts.list++;
	/* The client knows a version from before a restart: send all entries. */
	if (since > p->list_version)
		since = 0;
	fprintf(f, "{\"version\":%llu,\"instances\":[",
	    (unsigned long long)p->list_version);
	for (inst = p->instances; inst != NULL; inst = inst->next) {
		if (inst->listed == NULL || inst->version <= since)
			continue;
		state =
		    json_object_get_string(get_field(inst->listed, "state"));
		if (since == 0 && strcmp(state, "gone") == 0)
			continue;
		fprintf(f, "%s%s", n++ > 0 ? "," : "",
		    json_object_to_json_string_ext(
			inst->listed, JSON_C_TO_STRING_PLAIN));
	}
	fputs("]}", f);
	response_send(p, c, &r, 200);
}

static void
break_watches(struct platform *p)
{
	static const char truncated[] = "{\"result\":{\"header\":{\"revi";

	/* Closing the connection removes its watcher from the list. */
	while (p->watchers != NULL) {
		http_write_chunk(
		    p->watchers->conn, truncated, sizeof(truncated) - 1);
		http_close(p->watchers->conn);
	}
}

static void
handle_faults(struct platform *p, struct http_conn *c, struct json_object *req)
{
	if (get_field(req, "down") != NULL)
		p->down = json_object_get_boolean(get_field(req, "down"));
	if (get_field(req, "delay_ms") != NULL)
		p->delay_ms = (uint32_t)get_int(req, "delay_ms");
	if (get_field(req, "lose_answers") != NULL)
		p->responses_to_drop = (uint32_t)get_int(req, "lose_answers");
	if (p->down || json_object_get_boolean(get_field(req, "break_watches")))
		break_watches(p);
	http_reply(c, 200, "{}", 2, 0);
}

static void
handle_counters(struct platform *p, struct http_conn *c)
{
	struct response r;

	fprintf(response_open(&r),
	    "{\"range\":%llu,\"txn\":%llu,\"lease\":%llu,\"watch\":%llu,"
	    "\"list\":%llu,\"bytes_in\":%llu,\"bytes_out\":%llu}",
	    (unsigned long long)p->call_counts.range,
	    (unsigned long long)p->call_counts.txn,
	    (unsigned long long)p->call_counts.lease,
	    (unsigned long long)p->call_counts.watch,
	    (unsigned long long)p->call_counts.list,
	    (unsigned long long)http_server_bytes_in(p->http),
	    (unsigned long long)http_server_bytes_out(p->http));
	response_send(p, c, &r, 200);
}

typedef void (*post_handler)(
    struct platform *p, struct http_conn *c, struct json_object *req);

static const struct {
	const char *path;
	post_handler handler;
} post_routes[] = {
    {"/v3/kv/range", handle_range},
    {"/v3/kv/txn", handle_txn},
    {"/v3/lease/grant", handle_grant},
    {"/v3/lease/keepalive", handle_keepalive},
    {"/v3/lease/revoke", handle_revoke},
    {"/v3/watch", handle_watch},
    {"/platform/instances", handle_instance_post},
    {"/standin/faults", handle_faults},
};

static void
handle_post(
    struct platform *p, struct http_conn *c, const struct http_request *m)
{
	struct json_object *req = NULL;
	struct json_tokener *tok;
	size_t i;

	for (i = 0; i < sizeof(post_routes) / sizeof(post_routes[0]); i++) {
		if (strcmp(m->path, post_routes[i].path) == 0)
			break;
	}
	if (i == sizeof(post_routes) / sizeof(post_routes[0])) {
		reply_error(p, c, 404, "no such path");
		return;
	}
	tok = json_tokener_new();
	/* Keys and values are a third longer in base64. */
	if (m->body_len <= REQUEST_BYTES_MAX * 4 / 3)
		req = json_tokener_parse_ex(tok, m->body, (int)m->body_len);
	json_tokener_free(tok);
	if (json_object_is_type(req, json_type_object))
		post_routes[i].handler(p, c, req);
	else
		reply_error(p, c, 400, "not a JSON object, or too large");
	json_object_put(req);
}

static void
on_request(void *arg, struct http_conn *c, const struct http_request *m)
{
	static const char list[] = "/platform/instances";
	struct platform *const p = arg;

	if (p->down && strncmp(m->path, "/standin/", 9) != 0)
		http_close(c);
	else if (strcmp(m->method, "POST") == 0)
		handle_post(p, c, m);
	else if (strncmp(m->path, list, sizeof(list) - 1) == 0)
		handle_instance_list(p, c, m->path);
	else if (strcmp(m->path, "/standin/counters") == 0)
		handle_counters(p, c);
	else
		reply_error(p, c, 404, "no such path");
}

struct platform *
platform_new(uv_loop_t *loop, const char *addr, uint32_t list_lag_ms)
{
	struct platform *const p = agb_xcalloc(1, sizeof(*p));

	p->loop = loop;
	p->rev = 1;
	p->list_lag_ms = list_lag_ms;
	p->http = http_server_new(loop, addr, on_request, on_conn_closed, p);
	if (p->http == NULL) {
		free(p);
		return NULL;
	}
	return p;
}

const char *
platform_addr(const struct platform *p)
{
	return http_server_addr(p->http);
}

static void
on_instance_closed(uv_handle_t *h)
{
	struct instance *const inst = h->data;

	if (--inst->open_handles > 0)
		return;
	json_object_put(inst->posted);
	json_object_put(inst->listed);
	free(inst);
}

void
platform_free(struct platform *p)
{
	struct instance *inst;
	struct lease *l;
	size_t i;

	http_server_free(p->http);
	while ((l = p->leases) != NULL) {
		p->leases = l->next;
		uv_close((uv_handle_t *)&l->timer, on_lease_closed);
	}
	while ((inst = p->instances) != NULL) {
		p->instances = inst->next;
		uv_close((uv_handle_t *)&inst->ttl_timer, on_instance_closed);
		uv_close(
		    (uv_handle_t *)&inst->publish_timer, on_instance_closed);
	}
	for (i = 0; i < p->kvs_len; i++)
		free_kv(&p->kvs[i]);
	for (i = 0; i < HISTORY_MAX; i++)
		free_kv(&p->history[i].kv);
	free(p->kvs);
	free(p);
}

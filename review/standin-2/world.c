#include "world.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "http_part.h"

/* Figures of bnwick-sched (SYSTEM.md). */
#define STORE_ANSWER_MS 4
#define HEARTBEAT_MS 1500
#define MAX_HOLD_MS 10000
#define STOP_MS 100
#define RESTART_MS 500
#define PAGE_ITEMS 500
#define MIN_TTL_MS 1000
#define READY_POLL_MS 1000
#define READY_MISSES 2

uv_loop_t *world_loop;
bool world_trouble = true;
static FILE *record_file;
static uint64_t start_ns;
static bool finishing;
static int exit_code;
static char temp_dir[200];

static void *
xalloc(size_t n)
{
	void *const p = calloc(1, n > 0 ? n : 1);

	if (p == NULL)
		abort();
	return p;
}

static void *
xgrow(void *p, size_t n)
{
	p = realloc(p, n > 0 ? n : 1);
	if (p == NULL)
		abort();
	return p;
}

static char *
xdup(const char *s)
{
	char *const p = strdup(s);

	if (p == NULL)
		abort();
	return p;
}

/* ---- time, record ---- */

int64_t
world_ms(void)
{
	return (int64_t)((uv_hrtime() - start_ns) / 1000000);
}

int64_t
world_unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void
vrec(const char *fmt, va_list ap)
{
	fprintf(record_file, "%8.3f ", (double)world_ms() / 1000);
	vfprintf(record_file, fmt, ap);
	fputc('\n', record_file);
	fflush(record_file);
}

void
rec(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vrec(fmt, ap);
	va_end(ap);
}

struct later {
	uv_timer_t timer;
	void (*cb)(void *arg);
	void *arg;
};

static void
free_handle(uv_handle_t *h)
{
	free(h);
}

static void
on_later(uv_timer_t *t)
{
	struct later *const l = (struct later *)t;

	uv_close((uv_handle_t *)t, free_handle);
	if (!finishing)
		l->cb(l->arg);
}

void
after(int64_t ms, void (*cb)(void *arg), void *arg)
{
	struct later *const l = xalloc(sizeof(*l));

	l->cb = cb;
	l->arg = arg;
	uv_timer_init(world_loop, &l->timer);
	uv_timer_start(&l->timer, on_later, (uint64_t)ms, 0);
}

/* ---- Base64 ---- */

static const char b64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *
b64_encode(const char *text, size_t len)
{
	char *const out = xalloc(len / 3 * 4 + 8);
	char *p = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		const unsigned a = (unsigned char)text[i];
		const unsigned b = i + 1 < len ? (unsigned char)text[i + 1] : 0;
		const unsigned c = i + 2 < len ? (unsigned char)text[i + 2] : 0;

		*p++ = b64[a >> 2];
		*p++ = b64[(a & 3) << 4 | b >> 4];
		*p++ = i + 1 < len ? b64[(b & 15) << 2 | c >> 6] : '=';
		*p++ = i + 2 < len ? b64[c & 63] : '=';
	}
	return out;
}

static char *
b64_decode(const char *text)
{
	char *const out = xalloc(strlen(text) + 4);
	uint32_t bits = 0;
	size_t n = 0;
	unsigned k = 0;

	for (; *text != '\0' && *text != '='; text++) {
		bits = bits << 6 | (uint32_t)(strchr(b64, *text) - b64);
		if (++k % 4 != 1)
			out[n++] = (char)(bits >> (6 - 2 * ((k - 1) % 4)));
	}
	return out;
}

/* ---- JSON ---- */

static const char *
js_str(struct json_object *o, const char *key)
{
	struct json_object *v;

	if (o == NULL || !json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_string))
		return NULL;
	return json_object_get_string(v);
}

static int64_t
js_int(struct json_object *o, const char *key)
{
	struct json_object *v;

	return o != NULL && json_object_object_get_ex(o, key, &v)
	    ? json_object_get_int64(v)
	    : 0;
}

static struct json_object *
js_list(struct json_object *o, const char *key, size_t *len)
{
	struct json_object *v;

	*len = 0;
	if (o == NULL || !json_object_object_get_ex(o, key, &v) ||
	    !json_object_is_type(v, json_type_array))
		return NULL;
	*len = json_object_array_length(v);
	return v;
}

static struct json_object *
js_parse(const struct http_request *m)
{
	struct json_tokener *const tok = json_tokener_new();
	struct json_object *const o =
	    json_tokener_parse_ex(tok, m->body, (int)m->body_len);

	json_tokener_free(tok);
	return o;
}

static void reply(struct http_conn *c, int status, uint32_t delay_ms,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

static void
reply(struct http_conn *c, int status, uint32_t delay_ms, const char *fmt, ...)
{
	char *text;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n < 0)
		abort();
	http_reply(c, status, text, (size_t)n, delay_ms);
	free(text);
}

/* ---- store ---- */

/* A change; the newest one of a key is its present value. */
struct change {
	char *key;
	char *val; /* Base64 */
	uint64_t rev;
	uint64_t created;
	int64_t lease;
	bool deleted;
	bool is_old; /* a later change of the key exists */
};

struct store_lease {
	int64_t id;
	int64_t ttl_ms;
	int64_t ends_at;
};

struct watcher {
	struct watcher *next;
	struct http_conn *conn;
	char prefix[256];
	uint64_t after_rev;
	int64_t until;
};

static struct {
	struct http_server *http;
	struct change *log;
	size_t len, cap;
	uint64_t rev;
	struct store_lease *leases;
	size_t leases_len;
	int64_t last_lease;
	struct watcher *watchers;
} store = {.rev = 1};

const char *
store_addr(void)
{
	return http_server_addr(store.http);
}

static struct change *
store_find(const char *key)
{
	size_t i;

	for (i = store.len; i > 0; i--) {
		struct change *const c = &store.log[i - 1];

		if (!c->is_old && strcmp(c->key, key) == 0)
			return c->deleted ? NULL : c;
	}
	return NULL;
}

/* Appends a change at the present revision. */
static void
store_append(const char *key, const char *val, int64_t lease, bool deleted)
{
	struct change *c = store_find(key);
	const uint64_t created = c != NULL && !deleted ? c->created : store.rev;

	if (c != NULL)
		c->is_old = true;
	if (store.len == store.cap) {
		store.cap = store.cap > 0 ? 2 * store.cap : 256;
		store.log = xgrow(store.log, store.cap * sizeof(*store.log));
	}
	c = &store.log[store.len++];
	memset(c, 0, sizeof(*c));
	c->key = xdup(key);
	c->val = xdup(val);
	c->rev = store.rev;
	c->created = created;
	c->lease = lease;
	c->deleted = deleted;
}

static void
write_item(FILE *f, const char *sep, const struct change *c)
{
	if (c->deleted)
		fprintf(f, "%s{\"key\":\"%s\",\"revision\":%llu,\"deleted\":true}",
		    sep, c->key, (unsigned long long)c->rev);
	else
		fprintf(f,
		    "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
		    "\"created_rev\":%llu,\"lease_id\":%lld}",
		    sep, c->key, c->val, (unsigned long long)c->rev,
		    (unsigned long long)c->created, (long long)c->lease);
}

static bool
has_prefix(const char *key, const char *prefix)
{
	return strncmp(key, prefix, strlen(prefix)) == 0;
}

static int
compare_keys(const void *a, const void *b)
{
	return strcmp((*(const struct change *const *)a)->key,
	    (*(const struct change *const *)b)->key);
}

/* Copies the decoded value of a parameter of the query. */
static void
query(const char *path, const char *key, char *dst, size_t size)
{
	const size_t len = strlen(key);
	const char *p = strchr(path, '?');
	size_t n = 0;

	while (p != NULL &&
	    (strncmp(p + 1, key, len) != 0 || p[1 + len] != '='))
		p = strchr(p + 1, '&');
	for (p = p != NULL ? p + len + 2 : "";
	     *p != '\0' && *p != '&' && n + 1 < size; p++) {
		char hex[3] = {0};

		if (*p == '%' && p[1] != '\0' && p[2] != '\0') {
			memcpy(hex, p + 1, 2);
			dst[n++] = (char)strtol(hex, NULL, 16);
			p += 2;
		} else {
			dst[n++] = *p;
		}
	}
	dst[n] = '\0';
}

static void
store_get_key(struct http_conn *c, const char *path)
{
	const struct change *item;
	char key[256], *text;
	size_t len;
	FILE *f;

	query(path, "key", key, sizeof(key));
	item = store_find(key);
	if (item == NULL) {
		reply(c, 404, STORE_ANSWER_MS, "{\"at\":%llu}",
		    (unsigned long long)store.rev);
		return;
	}
	f = open_memstream(&text, &len);
	write_item(f, "", item);
	fclose(f);
	/* The item with the store's revision beside its fields. */
	text[len - 1] = '\0';
	reply(c, 200, STORE_ANSWER_MS, "%s,\"at\":%llu}", text,
	    (unsigned long long)store.rev);
	free(text);
}

static void
store_get_range(struct http_conn *c, const char *path)
{
	const struct change **list;
	char prefix[256], from[256], *text;
	size_t i, n = 0, len;
	FILE *f;

	query(path, "prefix", prefix, sizeof(prefix));
	query(path, "after", from, sizeof(from));
	list = xalloc((store.len + 1) * sizeof(*list));
	for (i = 0; i < store.len; i++) {
		const struct change *const x = &store.log[i];

		if (!x->is_old && !x->deleted && has_prefix(x->key, prefix) &&
		    strcmp(x->key, from) > 0)
			list[n++] = x;
	}
	qsort(list, n, sizeof(*list), compare_keys);
	f = open_memstream(&text, &len);
	fputs("{\"items\":[", f);
	for (i = 0; i < n && i < PAGE_ITEMS; i++)
		write_item(f, i > 0 ? "," : "", list[i]);
	fprintf(f, "],\"has_more\":%s,\"at\":%llu}",
	    n > PAGE_ITEMS ? "true" : "false", (unsigned long long)store.rev);
	fclose(f);
	http_reply(c, 200, text, len, STORE_ANSWER_MS);
	free(text);
	free(list);
}

/* Answers a watch when there are events, or when its time is over. */
static bool
watch_answer(struct watcher *w, bool over)
{
	size_t i, n = 0, len;
	char *text;
	FILE *f;

	f = open_memstream(&text, &len);
	fputs("{\"events\":[", f);
	for (i = 0; i < store.len; i++) {
		if (store.log[i].rev > w->after_rev &&
		    has_prefix(store.log[i].key, w->prefix))
			write_item(f, n++ > 0 ? "," : "", &store.log[i]);
	}
	fprintf(f, "],\"at\":%llu}", (unsigned long long)store.rev);
	fclose(f);
	if (n > 0 || over)
		http_reply(w->conn, 200, text, len, STORE_ANSWER_MS);
	free(text);
	return n > 0 || over;
}

static void
answer_watchers(void)
{
	struct watcher **p = &store.watchers, *w;

	while ((w = *p) != NULL) {
		if (!watch_answer(w, world_ms() >= w->until)) {
			p = &w->next;
			continue;
		}
		*p = w->next;
		http_set_user_data(w->conn, NULL);
		free(w);
	}
}

static void
store_watch(struct http_conn *c, const char *path)
{
	struct watcher *const w = xalloc(sizeof(*w));
	char text[32];

	w->conn = c;
	query(path, "prefix", w->prefix, sizeof(w->prefix));
	query(path, "after", text, sizeof(text));
	w->after_rev = strtoull(text, NULL, 10);
	query(path, "wait_ms", text, sizeof(text));
	w->until = world_ms() + strtoll(text, NULL, 10);
	if (watch_answer(w, false)) {
		free(w);
		return;
	}
	http_set_user_data(c, w);
	w->next = store.watchers;
	store.watchers = w;
}

static void
on_store_closed(void *arg, void *user_data)
{
	struct watcher **p;

	(void)arg;
	for (p = &store.watchers; *p != NULL; p = &(*p)->next) {
		if (*p == user_data) {
			*p = (*p)->next;
			free(user_data);
			return;
		}
	}
}

static struct store_lease *
lease_find(int64_t id)
{
	size_t i;

	for (i = 0; i < store.leases_len; i++) {
		if (store.leases[i].id == id)
			return &store.leases[i];
	}
	return NULL;
}

static void
lease_end(struct store_lease *l)
{
	const int64_t id = l->id;
	const size_t n = store.len;
	size_t i;

	*l = store.leases[--store.leases_len];
	store.rev++;
	for (i = 0; i < n; i++) {
		if (!store.log[i].is_old && !store.log[i].deleted &&
		    store.log[i].lease == id)
			store_append(store.log[i].key, "", 0, true);
	}
}

static void
txn_conflict(struct http_conn *c, struct json_object *body)
{
	size_t i, n, len, written = 0;
	struct json_object *list;
	char *text;
	FILE *f;

	list = js_list(body, "expect", &n);
	f = open_memstream(&text, &len);
	fputs("{\"items\":[", f);
	for (i = 0; i < n; i++) {
		const struct change *const x = store_find(
		    js_str(json_object_array_get_idx(list, i), "key"));

		if (x != NULL)
			write_item(f, written++ > 0 ? "," : "", x);
	}
	fputs("]}", f);
	fclose(f);
	http_reply(c, 412, text, len, STORE_ANSWER_MS);
	free(text);
}

static bool
may_write(const char *key)
{
	return !has_prefix(key, "op/") && !has_prefix(key, "servers/");
}

static void
store_txn(struct http_conn *c, struct json_object *body)
{
	struct json_object *expect, *writes, *removed, *row;
	size_t expect_len, writes_len, removed_len, i;
	const struct change *x;
	int64_t lease;

	expect = js_list(body, "expect", &expect_len);
	writes = js_list(body, "writes", &writes_len);
	removed = js_list(body, "remove", &removed_len);
	if (expect_len + writes_len + removed_len > 64) {
		reply(c, 400, STORE_ANSWER_MS, "{}");
		return;
	}
	for (i = 0; i < writes_len; i++) {
		row = json_object_array_get_idx(writes, i);
		lease = js_int(row, "lease_id");
		if (!may_write(js_str(row, "key"))) {
			reply(c, 403, STORE_ANSWER_MS, "{}");
			return;
		}
		if (lease != 0 && lease_find(lease) == NULL) {
			reply(c, 404, STORE_ANSWER_MS, "{}");
			return;
		}
	}
	for (i = 0; i < expect_len; i++) {
		row = json_object_array_get_idx(expect, i);
		x = store_find(js_str(row, "key"));
		if ((x != NULL ? x->rev : 0) !=
		    (uint64_t)js_int(row, "revision")) {
			txn_conflict(c, body);
			return;
		}
	}
	store.rev++;
	for (i = 0; i < writes_len; i++) {
		row = json_object_array_get_idx(writes, i);
		store_append(js_str(row, "key"),
		    js_str(row, "value") != NULL ? js_str(row, "value") : "",
		    js_int(row, "lease_id"), false);
	}
	for (i = 0; i < removed_len; i++) {
		const char *const key = json_object_get_string(
		    json_object_array_get_idx(removed, i));

		if (store_find(key) != NULL)
			store_append(key, "", 0, true);
	}
	reply(c, 200, STORE_ANSWER_MS, "{\"revision\":%llu}",
	    (unsigned long long)store.rev);
	answer_watchers();
}

static void
store_lease(struct http_conn *c, struct json_object *body)
{
	const int64_t ttl = js_int(body, "ttl_ms");
	struct store_lease *l;

	if (ttl < MIN_TTL_MS || ttl > 600000) {
		reply(c, 400, STORE_ANSWER_MS, "{}");
		return;
	}
	store.leases = xgrow(store.leases,
	    (store.leases_len + 1) * sizeof(*store.leases));
	l = &store.leases[store.leases_len++];
	l->id = ++store.last_lease;
	l->ttl_ms = ttl;
	l->ends_at = world_ms() + ttl;
	reply(c, 200, STORE_ANSWER_MS, "{\"lease_id\":%lld,\"ttl_ms\":%lld}",
	    (long long)l->id, (long long)ttl);
}

static void
store_keep(struct http_conn *c, int64_t id)
{
	struct store_lease *const l = lease_find(id);

	if (l == NULL) {
		reply(c, 404, STORE_ANSWER_MS, "{}");
		return;
	}
	l->ends_at = world_ms() + l->ttl_ms;
	reply(c, 200, STORE_ANSWER_MS, "{\"ttl_ms\":%lld}",
	    (long long)l->ttl_ms);
}

static void
on_store(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct json_object *const body = js_parse(m);
	struct store_lease *l;

	(void)arg;
	if (has_prefix(m->path, "/kv-key?")) {
		store_get_key(c, m->path);
	} else if (has_prefix(m->path, "/kv-range?")) {
		store_get_range(c, m->path);
	} else if (has_prefix(m->path, "/kv-watch?")) {
		store_watch(c, m->path);
	} else if (strcmp(m->path, "/kv-txn") == 0) {
		store_txn(c, body);
	} else if (strcmp(m->path, "/kv-lease") == 0) {
		store_lease(c, body);
	} else if (has_prefix(m->path, "/kv-keep/")) {
		store_keep(c, strtoll(m->path + 9, NULL, 10));
	} else if (has_prefix(m->path, "/kv-lease-end/")) {
		l = lease_find(strtoll(m->path + 14, NULL, 10));
		if (l != NULL)
			lease_end(l);
		reply(c, l != NULL ? 200 : 404, STORE_ANSWER_MS, "{}");
		answer_watchers();
	} else {
		reply(c, 400, 0, "{}");
	}
	json_object_put(body);
}

static void
on_store_tick(uv_timer_t *t)
{
	size_t i;

	(void)t;
	for (i = store.leases_len; i > 0; i--) {
		if (world_ms() >= store.leases[i - 1].ends_at)
			lease_end(&store.leases[i - 1]);
	}
	answer_watchers();
}

void
store_put(const char *key, const char *text)
{
	char *const val = b64_encode(text, strlen(text));

	store.rev++;
	store_append(key, val, 0, false);
	free(val);
	answer_watchers();
}

void
store_delete(const char *key)
{
	if (store_find(key) == NULL)
		return;
	store.rev++;
	store_append(key, "", 0, true);
	answer_watchers();
}

void
store_start(void)
{
	static uv_timer_t timer;

	store.http = http_server_new(
	    world_loop, "127.0.0.1:0", on_store, on_store_closed, NULL);
	if (store.http == NULL) {
		world_finish(2, "the store cannot listen");
		return;
	}
	uv_timer_init(world_loop, &timer);
	uv_timer_start(&timer, on_store_tick, 5, 5);
}

/* ---- runners ---- */

#define GANG_WAIT_MS 3000

/* An end, or a stop of a run that was not there. */
struct run_end {
	char task[96];
	uint32_t run_id;
	uint64_t n; /* 0: only a stop */
	const char *how;
	bool observed;
};

/* What a runner keeps beside struct runner. */
struct runner_data {
	struct run_end *ends;
	size_t ends_len;
	uint64_t last_n;
	struct http_server *http;
	struct http_conn *hold; /* waits for an end */
	int64_t hold_until;
	char service[32];
	int64_t entry_at;
	struct json_object *late; /* a start that is carried out later */
};

struct runner runners[RUNNERS_MAX];
size_t runners_len;
static struct runner_data runner_data[RUNNERS_MAX];
void (*on_run_event)(const struct runner *r, const char *task, uint32_t run_id,
    const char *how);
bool (*on_start_order)(const struct runner *r, const char *task);

static struct runner_data *
data_of(const struct runner *r)
{
	return &runner_data[r - runners];
}

static int64_t
runner_clock(const struct runner *r)
{
	return world_ms() - r->born_ms + 1000;
}

static struct run_end *
add_end(struct runner *r, const char *task, uint32_t run_id)
{
	struct runner_data *const d = data_of(r);
	struct run_end *e;

	d->ends = xgrow(d->ends, (d->ends_len + 1) * sizeof(*d->ends));
	e = &d->ends[d->ends_len++];
	memset(e, 0, sizeof(*e));
	snprintf(e->task, sizeof(e->task), "%s", task);
	e->run_id = run_id;
	return e;
}

/* Whether two runs are of one run of a gang: the names differ in the index. */
static bool
same_gang(const struct run *a, const struct run *b)
{
	const size_t len = (size_t)(strrchr(a->task, '.') - a->task);

	return a->gang > 0 && a->run_id == b->run_id &&
	    strncmp(a->task, b->task, len + 1) == 0 &&
	    strchr(b->task + len + 1, '.') == NULL;
}

/* Lets a gang work once all its members are there. */
static void
gang_arrived(const struct run *x)
{
	unsigned n = 0;
	size_t i, k;

	for (i = 0; i < runners_len; i++) {
		for (k = 0; k < runners[i].runs_len; k++)
			n += same_gang(x, &runners[i].runs[k]);
	}
	if (n < x->gang)
		return;
	for (i = 0; i < runners_len; i++) {
		for (k = 0; k < runners[i].runs_len; k++) {
			struct run *const m = &runners[i].runs[k];

			if (!same_gang(x, m))
				continue;
			m->waits = false;
			m->started_ms = world_ms();
		}
	}
}

/* A member of @x's gang has ended: those that do not end by themselves at the
 * same time are broken. */
static void
gang_broken(const struct run *x)
{
	const int64_t now = world_ms();
	size_t i, k;

	for (i = 0; i < runners_len; i++) {
		for (k = 0; k < runners[i].runs_len; k++) {
			struct run *const m = &runners[i].runs[k];

			if (same_gang(x, m) && m->ends_at == 0 &&
			    (m->waits || now < m->started_ms + m->duration_ms))
				m->ends_at = -now;
		}
	}
}

static void
end_run(struct runner *r, size_t i, const char *how)
{
	struct run_end *const e = add_end(r, r->runs[i].task, r->runs[i].run_id);
	const struct run run = r->runs[i];

	e->n = ++data_of(r)->last_n;
	e->how = how;
	rec("runner %s: %s run %u ends %s", r->id, e->task, e->run_id, how);
	r->runs[i] = r->runs[--r->runs_len];
	if (run.gang > 0 && strcmp(how, "done") != 0)
		gang_broken(&run);
	if (on_run_event != NULL)
		on_run_event(r, run.task, run.run_id, how);
}

static bool
has_open_end(const struct runner *r)
{
	const struct runner_data *const d = data_of(r);
	size_t i;

	for (i = 0; i < d->ends_len; i++) {
		if (d->ends[i].n > 0 && !d->ends[i].observed)
			return true;
	}
	return false;
}

static unsigned
percent_of(const struct run *x)
{
	const int64_t ran = world_ms() - x->started_ms;

	if (x->duration_ms == 0)
		return 100;
	if (x->waits)
		return 0;
	return ran >= x->duration_ms ? 99 : (unsigned)(ran * 100 / x->duration_ms);
}

static void
answer_hold(const struct runner *r, struct http_conn *c)
{
	const struct runner_data *const d = data_of(r);
	size_t i, n = 0, len;
	char *text;
	FILE *f;

	f = open_memstream(&text, &len);
	fprintf(f, "{\"clock_ms\":%lld,\"born\":%lld,\"active\":[",
	    (long long)runner_clock(r), (long long)r->born_unix_ms);
	for (i = 0; i < r->runs_len; i++)
		fprintf(f, "%s[\"%s\",%u,\"\",%u,0]", i > 0 ? "," : "",
		    r->runs[i].task, r->runs[i].run_id,
		    percent_of(&r->runs[i]));
	fputs("],\"finished\":[", f);
	for (i = 0; i < d->ends_len && n < 500; i++) {
		if (d->ends[i].n == 0 || d->ends[i].observed)
			continue;
		fprintf(f, "%s[%llu,\"%s\",%u,\"%s\",\"\"]", n++ > 0 ? "," : "",
		    (unsigned long long)d->ends[i].n, d->ends[i].task,
		    d->ends[i].run_id, d->ends[i].how);
	}
	fputs("]}", f);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static void
extend_lease(struct runner *r, int64_t deadline)
{
	const int64_t most = runner_clock(r) + MAX_HOLD_MS;

	deadline = deadline < most ? deadline : most;
	if (deadline > r->lease_until)
		r->lease_until = deadline;
}

static const char *
runner_start(struct runner *r, struct json_object *body)
{
	const struct runner_data *const d = data_of(r);
	const char *const task = js_str(body, "task");
	const uint32_t run_id = (uint32_t)js_int(body, "run_id");
	const char *const spec = js_str(body, "spec");
	struct run *x;
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (strcmp(r->runs[i].task, task) != 0)
			continue;
		if (r->runs[i].run_id == run_id)
			return NULL;
		if (r->runs[i].run_id > run_id)
			return "old";
	}
	for (i = 0; i < d->ends_len; i++) {
		if (strcmp(d->ends[i].task, task) == 0 &&
		    d->ends[i].run_id >= run_id)
			return "old";
	}
	if (js_int(body, "deadline_ms") < runner_clock(r))
		return "late";
	r->runs = xgrow(r->runs, (r->runs_len + 1) * sizeof(*r->runs));
	x = &r->runs[r->runs_len++];
	memset(x, 0, sizeof(*x));
	snprintf(x->task, sizeof(x->task), "%s", task);
	x->run_id = run_id;
	x->started_ms = world_ms();
	x->duration_ms = strtoll(spec != NULL ? spec : "", NULL, 10);
	x->fails = spec != NULL && strstr(spec, "fail") != NULL &&
	    (strstr(spec, "fail1") == NULL || run_id == 1);
	if (spec != NULL && strstr(spec, "gang=") != NULL) {
		x->gang = (unsigned)atoi(strstr(spec, "gang=") + 5);
		x->waits = true;
	}
	rec("runner %s: %s run %u starts", r->id, task, run_id);
	if (x->gang > 0)
		gang_arrived(x);
	if (on_run_event != NULL)
		on_run_event(r, task, run_id, NULL);
	return NULL;
}

static void
runner_stop(struct runner *r, struct json_object *body)
{
	const char *const task = js_str(body, "task");
	const uint32_t run_id = (uint32_t)js_int(body, "run_id");
	size_t i;

	rec("runner %s: %s run %u is told to stop", r->id, task, run_id);
	for (i = 0; i < r->runs_len; i++) {
		if (strcmp(r->runs[i].task, task) == 0 &&
		    r->runs[i].run_id <= run_id) {
			r->runs[i].ends_at = world_ms() + STOP_MS;
			return;
		}
	}
	(void)add_end(r, task, run_id);
}

static void
runner_hold(struct runner *r, struct http_conn *c, struct json_object *body)
{
	struct runner_data *const d = data_of(r);
	const uint64_t observed = (uint64_t)js_int(body, "observed");
	const int64_t wait = js_int(body, "wait_ms");
	size_t i;

	for (i = 0; i < d->ends_len; i++) {
		if (d->ends[i].n > 0 && d->ends[i].n <= observed)
			d->ends[i].observed = true;
	}
	if (wait <= 0 || has_open_end(r) || d->hold != NULL) {
		answer_hold(r, c);
		return;
	}
	http_set_user_data(c, r);
	d->hold = c;
	d->hold_until = world_ms() + (wait < 2000 ? wait : 2000);
}

static void
on_runner(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct runner *const r = arg;
	struct json_object *const body = js_parse(m);
	const uint64_t fence = (uint64_t)js_int(body, "fence_token");
	const char *reason = NULL;
	char want[64];

	if (r->is_down)
		http_close(c);
	if (r->is_down || r->is_cut) {
		json_object_put(body);
		return;
	}
	if (strcmp(m->path, "/run-start") == 0 && on_start_order != NULL &&
	    on_start_order(r, js_str(body, "task"))) {
		rec("runner %s: the start of %s run %lld is not answered", r->id,
		    js_str(body, "task"), (long long)js_int(body, "run_id"));
		data_of(r)->late = body;
		return;
	}
	http_get_header(m, "Expect-Instance", want, sizeof(want));
	if (want[0] != '\0' && strcmp(want, r->id) != 0) {
		reply(c, 421, 0, "{\"clock_ms\":%lld}",
		    (long long)runner_clock(r));
		json_object_put(body);
		return;
	}
	if (fence < r->fence)
		reason = "fence";
	else
		r->fence = fence;
	if (reason == NULL && js_int(body, "deadline_ms") > 0)
		extend_lease(r, js_int(body, "deadline_ms"));
	if (reason == NULL && strcmp(m->path, "/hold") == 0) {
		runner_hold(r, c, body);
		json_object_put(body);
		return;
	}
	if (reason == NULL && strcmp(m->path, "/run-start") == 0)
		reason = runner_start(r, body);
	else if (reason == NULL && strcmp(m->path, "/run-stop") == 0)
		runner_stop(r, body);
	if (reason != NULL)
		reply(c, 409, 0, "{\"clock_ms\":%lld,\"reason\":\"%s\"}",
		    (long long)runner_clock(r), reason);
	else
		reply(c, 200, 0, "{\"clock_ms\":%lld}",
		    (long long)runner_clock(r));
	json_object_put(body);
}

void
runner_carry_out(struct runner *r)
{
	struct json_object *const body = data_of(r)->late;
	const char *reason = NULL;

	if (body == NULL)
		return;
	data_of(r)->late = NULL;
	if ((uint64_t)js_int(body, "fence_token") < r->fence)
		reason = "fence";
	else
		r->fence = (uint64_t)js_int(body, "fence_token");
	if (reason == NULL) {
		extend_lease(r, js_int(body, "deadline_ms"));
		reason = runner_start(r, body);
	}
	rec("runner %s: the late start of %s run %lld: %s", r->id,
	    js_str(body, "task"), (long long)js_int(body, "run_id"),
	    reason != NULL ? reason : "carried out");
	json_object_put(body);
}

void
runner_crash(struct runner *r)
{
	struct runner_data *const d = data_of(r);
	struct http_conn *const hold = d->hold;

	rec("runner %s crashes with %zu runs", r->id, r->runs_len);
	r->is_down = true;
	r->runs_len = 0;
	d->ends_len = 0;
	d->hold = NULL;
	if (hold != NULL) {
		http_set_user_data(hold, NULL);
		http_close(hold);
	}
}

void
runner_restart(struct runner *r)
{
	struct runner_data *const d = data_of(r);

	rec("runner %s starts again under its id", r->id);
	r->is_down = false;
	r->born_ms = world_ms();
	r->born_unix_ms = world_unix_ms();
	r->fence = 0;
	r->lease_until = 0;
	r->seq = 0;
	d->last_n = 0;
	d->entry_at = world_ms() - HEARTBEAT_MS + 300;
}

static void
on_runner_closed(void *arg, void *user_data)
{
	(void)arg;
	data_of(user_data)->hold = NULL;
}

static void
write_entry(struct runner *r)
{
	struct runner_data *const d = data_of(r);
	char text[512], key[64];

	snprintf(key, sizeof(key), "servers/%s", r->id);
	snprintf(text, sizeof(text),
	    "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"seq\":%llu,\"born\":%lld,"
	    "\"clock_ms\":%lld,\"labels\":[\"a\",\"r-%s\"],"
	    "\"capacity\":{\"cpu\":%lld,\"mem_mb\":65536,\"gpu\":0}}",
	    d->service, r->addr, r->zone, (unsigned long long)++r->seq,
	    (long long)r->born_unix_ms, (long long)runner_clock(r), r->zone,
	    (long long)r->cpu);
	store_put(key, text);
	d->entry_at = world_ms();
}

static void
runner_tick(struct runner *r)
{
	struct runner_data *const d = data_of(r);
	const int64_t now = world_ms();
	size_t i;

	if (r->is_down)
		return;
	for (i = r->runs_len; i > 0; i--) {
		const struct run *const x = &r->runs[i - 1];

		if (runner_clock(r) > r->lease_until)
			end_run(r, i - 1, "lapsed");
		else if (x->ends_at < 0)
			end_run(r, i - 1, "broken");
		else if (x->ends_at > 0 && now >= x->ends_at)
			end_run(r, i - 1, "stopped");
		else if (x->waits && now >= x->started_ms + GANG_WAIT_MS)
			end_run(r, i - 1, "alone");
		else if (!x->waits && x->duration_ms > 0 &&
		    now >= x->started_ms + x->duration_ms)
			end_run(r, i - 1, x->fails ? "failed" : "done");
	}
	if (d->hold != NULL && (has_open_end(r) || now >= d->hold_until)) {
		struct http_conn *const c = d->hold;

		d->hold = NULL;
		http_set_user_data(c, NULL);
		if (!r->is_cut)
			answer_hold(r, c);
	}
	if (now >= d->entry_at + HEARTBEAT_MS)
		write_entry(r);
}

static void
on_runners_tick(uv_timer_t *t)
{
	size_t i;

	(void)t;
	for (i = 0; i < runners_len; i++)
		runner_tick(&runners[i]);
}

static const char *const zones[] = {"bac-ninh", "binh-duong", "hai-phong"};

void
runners_start(size_t n, int64_t cpu, const char *service)
{
	static uv_timer_t timer;
	size_t i;

	for (i = 0; i < n; i++) {
		struct runner *const r = &runners[i];
		struct runner_data *const d = &runner_data[i];

		d->http = http_server_new(
		    world_loop, "127.0.0.1:0", on_runner, on_runner_closed, r);
		if (d->http == NULL) {
			world_finish(2, "a runner cannot listen");
			return;
		}
		snprintf(r->id, sizeof(r->id), "i-%04zu", i);
		snprintf(
		    r->addr, sizeof(r->addr), "%s", http_server_addr(d->http));
		snprintf(r->zone, sizeof(r->zone), "%s", zones[i % 3]);
		snprintf(d->service, sizeof(d->service), "%s", service);
		r->cpu = cpu;
		r->born_ms = world_ms();
		r->born_unix_ms = world_unix_ms();
		runners_len++;
		write_entry(r);
	}
	uv_timer_init(world_loop, &timer);
	uv_timer_start(&timer, on_runners_tick, 5, 5);
}

/* ---- machines ---- */

struct node nodes[NODES_MAX];
size_t nodes_len;
static unsigned node_memory_mb;

/*
 * A free port below those that the kernel gives to outgoing connections, which
 * could take it before the machine listens.
 */
#define PORT_FIRST 20000
#define PORTS 12000

static int
free_port(void)
{
	static unsigned next;
	struct sockaddr_in sa = {.sin_family = AF_INET};
	unsigned i;
	int fd, port, rc;

	if (next == 0)
		next = (unsigned)getpid() * 97;
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < PORTS; i++) {
		port = PORT_FIRST + (int)(next++ % PORTS);
		sa.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		rc = bind(fd, (struct sockaddr *)&sa, sizeof(sa));
		close(fd);
		if (rc == 0)
			return port;
	}
	world_finish(2, "no free port");
	return 0;
}

/* Fills in deploy/settings.json.in, as the platform does. */
static void
write_settings(const struct node *n, int rpc, int metrics)
{
	char path[300];
	FILE *f;

	snprintf(path, sizeof(path), "%s/settings", n->dir);
	f = fopen(path, "w");
	if (f == NULL) {
		world_finish(2, "%s: %s", path, strerror(errno));
		return;
	}
	fprintf(f,
	    "{\"instance\":\"%s\",\"domain\":\"%s\",\"region\":\"%s\","
	    "\"http\":\"%s\",\"ready\":\"%s\",\"rpc\":\"%s:%d\","
	    "\"metrics\":\"%s:%d\",\"store\":\"%s\",\"grace_s\":6,"
	    "\"status_s\":120,\"runner_lease_max_ms\":10000,"
	    "\"remote_factor\":1.5,\"cpu_share\":0.25,\"link_mbps\":1000.0,"
	    "\"memory_mb\":%u,\"log_level\":\"info\"}\n",
	    n->name, n->zone,
	    strcmp(n->zone, "binh-duong") == 0 ? "nam-bo" : "bac-bo", n->front,
	    n->ready, n->ip, rpc, n->ip, metrics, store_addr(), node_memory_mb);
	fclose(f);
}

static void node_spawn(void *arg);

static void
on_node_exit(uv_process_t *p, int64_t status, int sig)
{
	struct node *const n = p->data;

	rec("platform: process %d of %s ended, status %lld, signal %d",
	    (int)n->pid, n->name, (long long)status, sig);
	n->running = false;
	n->is_ready = false;
	uv_close((uv_handle_t *)p, NULL);
	if (finishing)
		return;
	if (n->peak_kb <= (int64_t)node_memory_mb * 1024)
		n->own_ends++;
	after(RESTART_MS, node_spawn, n);
}

static void
node_spawn(void *arg)
{
	struct node *const n = arg;
	char *args[] = {"target/agatebeamd", "--platform", NULL};
	char boot[320], log[320], path[1024], home[300];
	char *env[] = {boot, path, home, "LANG=C.UTF-8", NULL};
	uv_stdio_container_t io[3] = {
	    {.flags = UV_IGNORE}, {.flags = UV_INHERIT_FD}, {.flags = UV_INHERIT_FD}};
	uv_process_options_t o = {.exit_cb = on_node_exit,
	    .file = args[0],
	    .args = args,
	    .env = env,
	    .stdio = io,
	    .stdio_count = 3};
	FILE *f;
	int rc;

	if (finishing)
		return;
	snprintf(boot, sizeof(boot), "AGATEBEAM_BOOT=%s/settings", n->dir);
	snprintf(path, sizeof(path), "PATH=%s",
	    getenv("PATH") != NULL ? getenv("PATH") : "/usr/bin:/bin");
	snprintf(home, sizeof(home), "HOME=%s", n->dir);
	snprintf(log, sizeof(log), "%s/log", n->dir);
	f = fopen(log, "a");
	if (f == NULL) {
		world_finish(2, "%s: %s", log, strerror(errno));
		return;
	}
	io[1].data.fd = io[2].data.fd = fileno(f);
	n->process.data = n;
	n->peak_kb = 0;
	rc = uv_spawn(world_loop, &n->process, &o);
	fclose(f);
	if (rc != 0) {
		world_finish(2, "target/agatebeamd: %s", uv_strerror(rc));
		return;
	}
	n->pid = n->process.pid;
	n->running = true;
	n->starts++;
	rec("platform: %s starts, process %d, front %s", n->name, (int)n->pid,
	    n->front);
}

static int64_t
peak_kb(pid_t pid)
{
	char path[64], line[256];
	long long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
		if (sscanf(line, "VmHWM: %lld kB", &kb) == 1)
			break;
	}
	if (f != NULL)
		fclose(f);
	return kb;
}

/* A process that exceeds its memory is killed (DEPLOY.md). */
static void
on_memory_tick(uv_timer_t *t)
{
	size_t i;

	(void)t;
	for (i = 0; i < nodes_len; i++) {
		struct node *const n = &nodes[i];
		const int64_t limit_kb = (int64_t)node_memory_mb * 1024;
		int64_t kb;

		if (!n->running || n->peak_kb > limit_kb)
			continue;
		kb = peak_kb(n->pid);
		n->peak_kb = kb > n->peak_kb ? kb : n->peak_kb;
		if (kb <= limit_kb)
			continue;
		n->memory_ends++;
		rec("platform: %s took %lld kB, over its %u MB: killed",
		    n->name, (long long)kb, node_memory_mb);
		kill(n->pid, SIGKILL);
	}
}

static void
on_ready_answer(void *arg, int status, const char *body)
{
	struct node *const n = arg;

	(void)body;
	if (n->is_ready != (status == 200))
		rec("platform: %s %s", n->name,
		    status == 200 ? "is ready" : "is not ready");
	n->is_ready = status == 200;
}

static void
poll_ready(void *arg)
{
	size_t i;

	(void)arg;
	for (i = 0; i < nodes_len; i++) {
		if (nodes[i].running)
			client_send(nodes[i].ready, "GET", nodes[i].ready,
			    "/readyz", NULL, 0, 900, on_ready_answer, &nodes[i]);
	}
	after(READY_POLL_MS / READY_MISSES, poll_ready, NULL);
}

struct node *
node_leader(void)
{
	const struct change *const c = store_find("ab/c/leader");
	char *const val = b64_decode(c != NULL ? c->val : "");
	struct node *n = NULL;
	size_t i, len;

	/* An instance is the name of its machine, a dot and more. */
	for (i = 0; n == NULL && i < nodes_len; i++) {
		len = strlen(nodes[i].name);
		if (nodes[i].running &&
		    strncmp(val, nodes[i].name, len) == 0 && val[len] == '.')
			n = &nodes[i];
	}
	free(val);
	return n;
}

void
nodes_start(size_t n, unsigned memory_mb)
{
	static uv_timer_t timer;
	size_t i;

	node_memory_mb = memory_mb;
	for (i = 0; i < n; i++) {
		struct node *const x = &nodes[i];

		snprintf(x->zone, sizeof(x->zone), "%s", zones[i % 3]);
		snprintf(x->name, sizeof(x->name), "frontend-%s-%zu",
		    x->zone, i / 3 + 1);
		/* What a machine sends comes from its own address. */
		snprintf(x->ip, sizeof(x->ip), "127.0.0.1");
		snprintf(x->front, sizeof(x->front), "%s:%d", x->ip,
		    free_port());
		snprintf(x->ready, sizeof(x->ready), "%s:%d", x->ip,
		    free_port());
		snprintf(x->dir, sizeof(x->dir), "%s/%s", temp_dir, x->name);
		mkdir(x->dir, 0755);
		write_settings(x, free_port(), free_port());
		nodes_len++;
		node_spawn(x);
	}
	uv_timer_init(world_loop, &timer);
	uv_timer_start(&timer, on_memory_tick, 10, 10);
	after(500, poll_ready, NULL);
}

/* ---- clients ---- */

const char *client_key;

struct client_call {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	uv_timer_t timer;
	int open_handles;
	bool done;
	char *request;
	size_t request_len;
	char *in;
	size_t in_len;
	answer_cb cb;
	void *arg;
};

static void
on_call_closed(uv_handle_t *h)
{
	struct client_call *const c = h->data;

	if (--c->open_handles > 0)
		return;
	free(c->request);
	free(c->in);
	free(c);
}

static void
call_done(struct client_call *c, int status, const char *body)
{
	if (c->done)
		return;
	c->done = true;
	if (!finishing && c->cb != NULL)
		c->cb(c->arg, status, body);
	uv_close((uv_handle_t *)&c->tcp, on_call_closed);
	uv_close((uv_handle_t *)&c->timer, on_call_closed);
}

/* Whether the answer is complete: calls the callback then. */
static bool
call_check(struct client_call *c)
{
	const char *end, *length;
	size_t body_len;
	int status;

	if (c->in_len == 0 || (end = strstr(c->in, "\r\n\r\n")) == NULL ||
	    sscanf(c->in, "HTTP/1.%*d %d", &status) != 1)
		return false;
	end += 4;
	if (status == 100) {
		c->in_len -= (size_t)(end - c->in);
		memmove(c->in, end, c->in_len + 1);
		return call_check(c);
	}
	length = strcasestr(c->in, "\r\ncontent-length:");
	body_len = length != NULL && length < end
	    ? strtoul(length + 17, NULL, 10)
	    : 0;
	if (c->in_len - (size_t)(end - c->in) < body_len)
		return false;
	call_done(c, status, end);
	return true;
}

static void
on_call_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct client_call *const c = h->data;

	(void)size;
	c->in = xgrow(c->in, c->in_len + 4097);
	*buf = uv_buf_init(c->in + c->in_len, 4096);
}

static void
on_call_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct client_call *const c = s->data;

	(void)buf;
	if (n < 0) {
		call_done(c, 0, "");
		return;
	}
	c->in_len += (size_t)n;
	c->in[c->in_len] = '\0';
	(void)call_check(c);
}

static void
on_call_written(uv_write_t *w, int status)
{
	struct client_call *const c = w->data;

	/* The answer may have come before the whole request was sent. */
	if (status < 0 && c->in_len == 0)
		call_done(c, 0, "");
}

static void
on_call_connected(uv_connect_t *r, int status)
{
	struct client_call *const c = r->data;
	uv_buf_t buf = uv_buf_init(c->request, (unsigned)c->request_len);

	if (c->done)
		return;
	if (status < 0) {
		call_done(c, 0, "");
		return;
	}
	uv_read_start((uv_stream_t *)&c->tcp, on_call_alloc, on_call_read);
	uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_call_written);
}

static void
on_call_timeout(uv_timer_t *t)
{
	call_done(t->data, 0, "");
}

void
client_send(const char *addr, const char *method, const char *host,
    const char *path, const char *body, size_t body_len, int64_t timeout_ms,
    answer_cb cb, void *arg)
{
	struct client_call *const c = xalloc(sizeof(*c));
	struct sockaddr_in sa;
	char ip[32];
	FILE *f;

	c->cb = cb;
	c->arg = arg;
	f = open_memstream(&c->request, &c->request_len);
	fprintf(f, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %lld\r\n", method,
	    path, host, (long long)timeout_ms);
	if (client_key != NULL)
		fprintf(f, "X-Api-Key: %s\r\n", client_key);
	if (body != NULL)
		fprintf(f,
		    "Content-Type: application/json\r\n"
		    "Content-Length: %zu\r\n",
		    body_len);
	fputs("\r\n", f);
	if (body != NULL)
		fwrite(body, 1, body_len, f);
	fclose(f);
	snprintf(ip, sizeof(ip), "%.*s", (int)strcspn(addr, ":"), addr);
	uv_ip4_addr(ip, atoi(strchr(addr, ':') + 1), &sa);
	uv_tcp_init(world_loop, &c->tcp);
	uv_timer_init(world_loop, &c->timer);
	c->open_handles = 2;
	c->tcp.data = c->timer.data = c->connect.data = c->write.data = c;
	uv_timer_start(&c->timer, on_call_timeout, (uint64_t)timeout_ms, 0);
	if (uv_tcp_connect(&c->connect, &c->tcp, (const struct sockaddr *)&sa,
		on_call_connected) != 0)
		call_done(c, 0, "");
}

/* ---- start and end ---- */

static void
on_finish_timer(uv_timer_t *t)
{
	size_t i;

	(void)t;
	for (i = 0; i < nodes_len; i++) {
		if (nodes[i].running)
			return;
	}
	uv_stop(world_loop);
}

void
world_finish(int code, const char *fmt, ...)
{
	static uv_timer_t timer;
	va_list ap;
	size_t i;

	if (finishing)
		return;
	va_start(ap, fmt);
	vrec(fmt, ap);
	va_end(ap);
	finishing = true;
	exit_code = code;
	for (i = 0; i < nodes_len; i++) {
		if (nodes[i].running)
			kill(nodes[i].pid, SIGKILL);
	}
	uv_timer_init(world_loop, &timer);
	uv_timer_start(&timer, on_finish_timer, 20, 20);
}

static void
on_signal(uv_signal_t *h, int sig)
{
	(void)h;
	world_finish(2, "ended by signal %d", sig);
}

static void
on_overtime(void *arg)
{
	(void)arg;
	world_finish(2, "the case did not end in time");
}

static void
remove_temp_dir(void)
{
	char path[300];
	size_t i;

	if (getenv("KEEP") != NULL) {
		fprintf(stderr, "kept: %s\n", temp_dir);
		return;
	}
	for (i = 0; i < nodes_len; i++) {
		snprintf(path, sizeof(path), "%s/settings", nodes[i].dir);
		unlink(path);
		snprintf(path, sizeof(path), "%s/log", nodes[i].dir);
		unlink(path);
		rmdir(nodes[i].dir);
	}
	rmdir(temp_dir);
}

int
main(int argc, char **argv)
{
	const char *const trouble = getenv("TROUBLE");
	const char *tmp = getenv("TMPDIR");
	static uv_signal_t sigterm, sigint;

	if (argc != 3) {
		fprintf(stderr, "usage: world CASE RECORD\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	world_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	start_ns = uv_hrtime();
	world_loop = uv_default_loop();
	record_file = fopen(argv[2], "w");
	snprintf(temp_dir, sizeof(temp_dir), "%.150s/agb-review-XXXXXX",
	    tmp != NULL ? tmp : "/tmp");
	if (record_file == NULL || mkdtemp(temp_dir) == NULL) {
		fprintf(stderr, "%s, %s: %s\n", argv[2], temp_dir,
		    strerror(errno));
		return 2;
	}
	rec("case %s, trouble %s", argv[1], world_trouble ? "on" : "off");
	after(110000, on_overtime, NULL);
	uv_signal_init(world_loop, &sigterm);
	uv_signal_init(world_loop, &sigint);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	uv_signal_start(&sigint, on_signal, SIGINT);
	store_start();
	if (finishing)
		rec("the case is not begun");
	else if (strcmp(argv[1], "memory") == 0)
		case_memory();
	else if (strcmp(argv[1], "gang") == 0)
		case_gang();
	else if (strcmp(argv[1], "late") == 0)
		case_late();
	else if (strcmp(argv[1], "limit") == 0)
		case_limit();
	else
		world_finish(2, "no such case");
	uv_run(world_loop, UV_RUN_DEFAULT);
	rec("exit %d", exit_code);
	fclose(record_file);
	remove_temp_dir();
	return exit_code;
}

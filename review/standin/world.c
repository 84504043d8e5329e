#include "world.h"

#include <fcntl.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#include "b64.h"
#include "http_part.h"
#include "httpc.h"
#include "json.h"
#include "mem.h"
#include "runner.h"

#define HEARTBEAT_MS 1500
#define ENTRY_TTL_MS 4500
#define TICK_MS 5
#define LEASE_MAX_MS 10000
#define STOP_MS 100
#define STARTUP_MS 200
#define PAGE_ITEMS 500
#define PAGE_BYTES 1000000
#define ENDS_PER_LIST 500
#define TEXT_MAX 512
#define ADVICE_WAITING_MAX 32

/* ---- time, record ---- */

static uv_loop_t loop_storage;
uv_loop_t *const world_loop = &loop_storage;
static FILE *record_file;
static uint64_t start_ms;

uint64_t
now_ms(void)
{
	return uv_hrtime() / 1000000;
}

static int64_t
unix_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void
record(const char *fmt, ...)
{
	const uint64_t t = now_ms() - start_ms;
	va_list ap;

	fprintf(record_file, "%3" PRIu64 ".%03" PRIu64 " ", t / 1000, t % 1000);
	va_start(ap, fmt);
	vfprintf(record_file, fmt, ap);
	va_end(ap);
	fputc('\n', record_file);
	fflush(record_file);
}

/* ---- instances ---- */

/* An instance and its links to the store and to the advice service. */
struct instance {
	unsigned index;
	uv_process_t process;
	bool running;
	bool ready;
	bool memory_kill;
	unsigned memory_kills;
	char http[64], ready_addr[64], settings[512], log[512];
	struct http_server *store, *advice;
	uint32_t rtt_ms, bytes_per_ms;
	uint64_t link_busy_until;
	uint64_t advice_busy_until;
};

static struct instance instances[INSTANCES_MAX];
static struct world_options opts;
static const char *repo_dir;
static struct agb_httpc *http_client;

void
finish(int code)
{
	unsigned i;

	for (i = 0; i < opts.instances; i++) {
		if (instances[i].running)
			kill(instances[i].process.pid, SIGKILL);
	}
	for (i = 0; i < opts.instances; i++) {
		if (instances[i].running)
			waitpid(instances[i].process.pid, NULL, 0);
	}
	fclose(record_file);
	_exit(code);
}

/* ---- store ---- */

struct kv {
	char *key, *val; /* base64 */
	uint64_t mod_rev, create_rev;
	int64_t lease;
	bool deleted;
};

struct lease {
	int64_t id;
	uint64_t ttl_ms, expires_ms;
};

struct watcher {
	struct watcher *prev, *next;
	struct http_conn *conn;
	struct instance *in;
	char prefix[TEXT_MAX];
	uint64_t after_rev, deadline_ms;
};

/* Latest change of a key. */
struct key_entry {
	char *key;
	size_t at;
	UT_hash_handle hh;
};

static struct kv *changes;
static size_t changes_len, changes_cap;
static struct key_entry *by_key;
static uint64_t rev = 1;
static struct lease *leases;
static size_t leases_len;
static int64_t next_lease = 1;
static struct watcher *watchers;

static struct kv *
kv_find(const char *key)
{
	struct key_entry *e;

	HASH_FIND_STR(by_key, key, e);
	return e != NULL && !changes[e->at].deleted ? &changes[e->at] : NULL;
}

static void
kv_change(const char *key, const char *val, int64_t lease, bool deleted)
{
	const struct kv *const old = kv_find(key);
	const uint64_t created = old != NULL ? old->create_rev : rev;
	struct key_entry *e;
	struct kv *kv;

	if (changes_len == changes_cap)
		changes = agb_xgrow(changes, &changes_cap, sizeof(*changes));
	kv = &changes[changes_len];
	*kv = (struct kv){.key = agb_xstrdup(key),
	    .val = agb_xstrdup(val),
	    .mod_rev = rev,
	    .create_rev = created,
	    .lease = lease,
	    .deleted = deleted};
	HASH_FIND_STR(by_key, key, e);
	if (e == NULL) {
		e = agb_xcalloc(1, sizeof(*e));
		e->key = kv->key;
		HASH_ADD_KEYPTR(hh, by_key, e->key, strlen(e->key), e);
	}
	e->at = changes_len++;
}

static void
write_kv(FILE *f, const struct kv *kv)
{
	if (kv->deleted)
		fprintf(f,
		    "{\"key\":\"%s\",\"revision\":%" PRIu64
		    ",\"deleted\":true}",
		    kv->key, kv->mod_rev);
	else
		fprintf(f,
		    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%" PRIu64
		    ",\"created_rev\":%" PRIu64 ",\"lease_id\":%" PRId64 "}",
		    kv->key, kv->val, kv->mod_rev, kv->create_rev, kv->lease);
}

/* Sends an answer of the store after the store's own time, the way to the
 * instance and the time that its link needs for the bytes. */
static void
store_answer(struct instance *in, struct http_conn *c, int status,
    const char *text, size_t len)
{
	const uint64_t now = now_ms();
	uint64_t at = now + opts.store_answer_ms;

	if (c == NULL)
		return;
	if (in->bytes_per_ms > 0) {
		if (at < in->link_busy_until)
			at = in->link_busy_until;
		at += len / in->bytes_per_ms;
		in->link_busy_until = at;
	}
	http_reply(c, status, text, len, (uint32_t)(at + in->rtt_ms - now));
}

static void answer_fmt(struct instance *in, struct http_conn *c, int status,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

static void
answer_fmt(
    struct instance *in, struct http_conn *c, int status, const char *fmt, ...)
{
	char *text;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n < 0)
		abort();
	store_answer(in, c, status, text, (size_t)n);
	free(text);
}

static bool
watcher_reply(struct watcher *w, bool timed_out)
{
	const char *sep = "";
	char *text;
	size_t len, i;
	FILE *f;

	for (i = changes_len; i > 0 && changes[i - 1].mod_rev > w->after_rev;)
		i--;
	f = open_memstream(&text, &len);
	fputs("{\"events\":[", f);
	for (; i < changes_len; i++) {
		if (strncmp(changes[i].key, w->prefix, strlen(w->prefix)) != 0)
			continue;
		fputs(sep, f);
		write_kv(f, &changes[i]);
		sep = ",";
	}
	fprintf(f, "],\"at\":%" PRIu64 "}", rev);
	fclose(f);
	if (sep[0] != '\0' || timed_out)
		store_answer(w->in, w->conn, 200, text, len);
	free(text);
	return sep[0] != '\0' || timed_out;
}

static void
reply_to_watchers(void)
{
	struct watcher *w, *next;

	for (w = watchers; w != NULL; w = next) {
		next = w->next;
		if (!watcher_reply(w, now_ms() >= w->deadline_ms))
			continue;
		DL_DELETE(watchers, w);
		http_set_user_data(w->conn, NULL);
		free(w);
	}
}

static void
on_store_conn_closed(void *arg, void *user_data)
{
	struct watcher *w;

	for (w = watchers; w != NULL && w != user_data; w = w->next)
		;
	if (w == NULL)
		return;
	DL_DELETE(watchers, w);
	free(w);
}

static struct lease *
lease_find(int64_t id)
{
	size_t i;

	for (i = 0; i < leases_len; i++) {
		if (leases[i].id == id)
			return &leases[i];
	}
	return NULL;
}

static void
lease_remove(struct lease *l)
{
	const int64_t id = l->id;
	struct key_entry *e;

	*l = leases[--leases_len];
	rev++;
	for (e = by_key; e != NULL; e = e->hh.next) {
		if (!changes[e->at].deleted && changes[e->at].lease == id)
			kv_change(e->key, "", 0, true);
	}
}

static void
query_param(const char *path, const char *key, char dst[TEXT_MAX])
{
	const char *p = strchr(path, '?');
	const size_t len = strlen(key);
	size_t n = 0;

	dst[0] = '\0';
	while (
	    p != NULL && (strncmp(p + 1, key, len) != 0 || p[1 + len] != '='))
		p = strchr(p + 1, '&');
	if (p == NULL)
		return;
	for (p += len + 2; *p != '\0' && *p != '&' && n + 1 < TEXT_MAX; p++) {
		if (*p == '%' && p[1] != '\0' && p[2] != '\0') {
			char hex[3] = {p[1], p[2], '\0'};

			dst[n++] = (char)strtol(hex, NULL, 16);
			p += 2;
		} else {
			dst[n++] = *p;
		}
	}
	dst[n] = '\0';
}

static int
compare_keys(const void *a, const void *b)
{
	return strcmp(
	    (*(struct kv *const *)a)->key, (*(struct kv *const *)b)->key);
}

static void
handle_range(struct instance *in, struct http_conn *c, const char *path)
{
	char prefix[TEXT_MAX], after_key[TEXT_MAX], *text;
	struct kv **list;
	struct key_entry *e;
	size_t len, n = 0, i;
	FILE *f;

	query_param(path, "prefix", prefix);
	query_param(path, "after", after_key);
	list = agb_xcalloc(HASH_COUNT(by_key) + 1, sizeof(*list));
	for (e = by_key; e != NULL; e = e->hh.next) {
		if (!changes[e->at].deleted &&
		    strncmp(e->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(e->key, after_key) > 0)
			list[n++] = &changes[e->at];
	}
	if (n > 1)
		qsort(list, n, sizeof(*list), compare_keys);
	f = open_memstream(&text, &len);
	fputs("{\"items\":[", f);
	for (i = 0; i < n && i < PAGE_ITEMS; i++) {
		fflush(f);
		if (i > 0 && len + strlen(list[i]->val) > PAGE_BYTES)
			break;
		fputs(i > 0 ? "," : "", f);
		write_kv(f, list[i]);
	}
	fprintf(f, "],\"has_more\":%s,\"at\":%" PRIu64 "}",
	    i < n ? "true" : "false", rev);
	fclose(f);
	store_answer(in, c, 200, text, len);
	free(text);
	free(list);
}

static void
handle_watch(struct instance *in, struct http_conn *c, const char *path)
{
	struct watcher *const w = agb_xcalloc(1, sizeof(*w));
	char text[TEXT_MAX];

	w->in = in;
	w->conn = c;
	query_param(path, "prefix", w->prefix);
	query_param(path, "after", text);
	w->after_rev = strtoull(text, NULL, 10);
	query_param(path, "wait_ms", text);
	w->deadline_ms = now_ms() + strtoull(text, NULL, 10);
	if (watcher_reply(w, false)) {
		free(w);
		return;
	}
	http_set_user_data(c, w);
	DL_APPEND(watchers, w);
}

static char late_key_part[64];
static uint32_t late_ms;

void
store_delay_next_write(const char *key_part, uint32_t ms)
{
	agb_str_copy(late_key_part, sizeof(late_key_part), key_part);
	late_ms = ms;
}

/* A write that the store carries out late and does not answer. */
struct late_write {
	uv_timer_t timer;
	struct instance *in;
	struct json_object *body;
};

static void handle_txn(
    struct instance *in, struct http_conn *c, struct json_object *body);

static void
on_late_timer_closed(uv_handle_t *h)
{
	struct late_write *const w = h->data;

	json_object_put(w->body);
	free(w);
}

static void
on_late_write(uv_timer_t *t)
{
	struct late_write *const w = t->data;

	record("the store carries out the late write");
	handle_txn(w->in, NULL, w->body);
	uv_close((uv_handle_t *)t, on_late_timer_closed);
}

/* Whether the write is the one that store_delay_next_write() has named. Its
 * answer is lost: nothing further is sent on its channel. */
static bool
put_off_write(struct instance *in, struct json_object *body)
{
	struct json_object *writes, *row;
	struct late_write *w;
	const char *key;
	size_t n;

	writes = platform_json_array(body, "writes", &n);
	row = n > 0 ? json_object_array_get_idx(writes, 0) : NULL;
	key = platform_json_str(row, "key");
	if (late_key_part[0] == '\0' || key == NULL ||
	    strstr(key, late_key_part) == NULL)
		return false;
	record("the store does not answer a write of %s; done %" PRIu32
	       " ms later",
	    key, late_ms);
	late_key_part[0] = '\0';
	w = agb_xcalloc(1, sizeof(*w));
	w->in = in;
	w->body = json_object_get(body);
	uv_timer_init(world_loop, &w->timer);
	w->timer.data = w;
	uv_timer_start(&w->timer, on_late_write, late_ms, 0);
	return true;
}

static void
handle_txn(struct instance *in, struct http_conn *c, struct json_object *body)
{
	struct json_object *expect, *writes, *removes, *row;
	size_t en, wn, rn, i;
	const char *sep = "", *key;
	const struct kv *kv;
	bool holds = true;
	char *text;
	size_t len;
	int64_t id;
	FILE *f;

	if (c != NULL && put_off_write(in, body))
		return;
	expect = platform_json_array(body, "expect", &en);
	writes = platform_json_array(body, "writes", &wn);
	removes = platform_json_array(body, "remove", &rn);
	for (i = 0; i < wn; i++) {
		row = json_object_array_get_idx(writes, i);
		id = platform_json_int(row, "lease_id", 0);
		if (id != 0 && lease_find(id) == NULL) {
			answer_fmt(in, c, 404, "{}");
			return;
		}
		key = platform_json_str(row, "key");
		if (strncmp(key, "op/", 3) == 0 ||
		    strncmp(key, "servers/", 8) == 0) {
			answer_fmt(in, c, 403, "{}");
			return;
		}
	}
	f = open_memstream(&text, &len);
	fputs("{\"items\":[", f);
	for (i = 0; i < en; i++) {
		row = json_object_array_get_idx(expect, i);
		kv = kv_find(platform_json_str(row, "key"));
		if ((kv != NULL ? kv->mod_rev : 0) !=
		    (uint64_t)platform_json_int(row, "revision", 0))
			holds = false;
		if (kv == NULL)
			continue;
		fputs(sep, f);
		write_kv(f, kv);
		sep = ",";
	}
	fputs("]}", f);
	fclose(f);
	if (!holds) {
		store_answer(in, c, 412, text, len);
		free(text);
		return;
	}
	free(text);
	rev++;
	for (i = 0; i < wn; i++) {
		row = json_object_array_get_idx(writes, i);
		kv_change(platform_json_str(row, "key"),
		    platform_json_str(row, "value"),
		    platform_json_int(row, "lease_id", 0), false);
	}
	for (i = 0; i < rn; i++) {
		key = json_object_get_string(
		    json_object_array_get_idx(removes, i));
		if (kv_find(key) != NULL)
			kv_change(key, "", 0, true);
	}
	answer_fmt(in, c, 200, "{\"revision\":%" PRIu64 "}", rev);
	reply_to_watchers();
}

static void
handle_lease(struct instance *in, struct http_conn *c,
    const struct http_request *m, struct json_object *body)
{
	struct lease *l;

	if (strcmp(m->path, "/kv-lease") == 0) {
		leases =
		    agb_xreallocarray(leases, leases_len + 1, sizeof(*leases));
		l = &leases[leases_len++];
		l->id = next_lease++;
		l->ttl_ms = (uint64_t)platform_json_int(body, "ttl_ms", 1000);
		l->expires_ms = now_ms() + l->ttl_ms;
		answer_fmt(in, c, 200,
		    "{\"lease_id\":%" PRId64 ",\"ttl_ms\":%" PRIu64 "}", l->id,
		    l->ttl_ms);
		return;
	}
	l = lease_find(strtoll(strrchr(m->path, '/') + 1, NULL, 10));
	if (l == NULL) {
		answer_fmt(in, c, 404, "{}");
	} else if (strncmp(m->path, "/kv-keep/", 9) == 0) {
		l->expires_ms = now_ms() + l->ttl_ms;
		answer_fmt(in, c, 200, "{\"ttl_ms\":%" PRIu64 "}", l->ttl_ms);
	} else {
		lease_remove(l);
		answer_fmt(in, c, 200, "{}");
		reply_to_watchers();
	}
}

static void
on_store(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct json_object *const body =
	    platform_json_parse(m->body, m->body_len);
	struct instance *const in = arg;
	char key[TEXT_MAX], *text;
	const struct kv *kv;
	size_t len;
	FILE *f;

	if (strncmp(m->path, "/kv-key?", 8) == 0) {
		query_param(m->path, "key", key);
		kv = kv_find(key);
		f = open_memstream(&text, &len);
		if (kv != NULL)
			write_kv(f, kv);
		else
			fputs("{}", f);
		fclose(f);
		store_answer(in, c, kv != NULL ? 200 : 404, text, len);
		free(text);
	} else if (strncmp(m->path, "/kv-range?", 10) == 0) {
		handle_range(in, c, m->path);
	} else if (strncmp(m->path, "/kv-watch?", 10) == 0) {
		handle_watch(in, c, m->path);
	} else if (strcmp(m->path, "/kv-txn") == 0) {
		handle_txn(in, c, body);
	} else if (strncmp(m->path, "/kv-", 4) == 0) {
		handle_lease(in, c, m, body);
	} else {
		answer_fmt(in, c, 400, "{}");
	}
	json_object_put(body);
}

static void
platform_write(const char *key, const char *json)
{
	char *const val = agb_b64_encode(json, strlen(json));

	rev++;
	kv_change(key, val, 0, false);
	free(val);
	reply_to_watchers();
}

void
operator_write_manifest(const char *json)
{
	platform_write("op/config", json);
	record("operator writes the manifest: %s", json);
}

int
leader_index(void)
{
	const struct kv *const kv = kv_find("ab/c/leader");
	int i = -1;
	char *name;
	size_t len;

	if (kv == NULL)
		return -1;
	name = agb_b64_decode(kv->val, strlen(kv->val), &len);
	if (name == NULL || sscanf(name, "frontend-%d", &i) != 1)
		i = -1;
	free(name);
	return i;
}

/* ---- runners ---- */

struct active_run {
	struct wf_task_ref task;
	uint32_t run;
	int64_t cpu;
	uint64_t started_ms, ends_ms;
	enum wf_run_end how;
	bool stopping;
	unsigned gang;	 /* number of its members, 0: no gang */
	uint64_t run_ms; /* time of a run of a gang, once all are there */
	size_t log;	 /* index in runs */
};

struct ended_run {
	struct wf_task_ref task;
	uint32_t run;
	uint64_t seq;
	enum wf_run_end how;
	bool noted;
	size_t log; /* SIZE_MAX for one that was only stopped */
};

struct runner {
	unsigned index;
	char id[32], addr[64];
	struct http_server *http;
	bool up;
	uint64_t life;
	uint64_t boot_ms;
	int64_t born;
	int64_t clock_step_ms;
	const char *kind;	  /* its first label */
	uint64_t cut_until;	  /* no instance reaches it until then */
	uint64_t store_cut_until; /* it does not reach the store until then */
	uint64_t up_at, heartbeat_at, seen_at;
	bool listed;
	uint64_t fence, lease_until, lapsed_at;
	uint64_t next_seq, observed, heartbeat_seq;
	struct active_run *active;
	size_t active_len;
	struct ended_run *ended;
	size_t ended_len;
	struct http_conn *hold_conn;
	uint64_t hold_until;
};

static struct runner runners[RUNNERS_MAX];
struct run_log *runs;
size_t runs_len;
static size_t runs_cap;

static int64_t
runner_clock(const struct runner *r)
{
	return (int64_t)(now_ms() - r->boot_ms) + 1000;
}

static bool
same_task(const struct wf_task_ref *a, const struct wf_task_ref *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	    a->index == b->index && strcmp(a->job, b->job) == 0;
}

int64_t
cpu_used(void)
{
	int64_t sum = 0;
	unsigned k;
	size_t i;

	for (k = 0; k < opts.runners; k++) {
		for (i = 0; i < runners[k].active_len; i++)
			sum += runners[k].active[i].cpu;
	}
	return sum;
}

static const char *const end_names[] = {
    "done", "failed", "stopped", "lapsed", "broken", "alone"};

static void
run_end(struct runner *r, size_t i, enum wf_run_end how)
{
	const struct active_run a = r->active[i];
	struct run_log *const log = &runs[a.log];
	struct ended_run *e;

	r->active[i] = r->active[--r->active_len];
	r->ended =
	    agb_xreallocarray(r->ended, r->ended_len + 1, sizeof(*r->ended));
	e = &r->ended[r->ended_len++];
	*e = (struct ended_run){.task = a.task,
	    .run = a.run,
	    .seq = ++r->next_seq,
	    .how = how,
	    .log = a.log};
	log->ended_ms = now_ms();
	log->how = how;
	log->seq = e->seq;
	record("%s life %" PRIu64 ": end %" PRIu64 ": %s run %" PRIu32 " %s",
	    r->id, r->life, e->seq, log->task, log->run, end_names[how]);
}

/* Progress of a run; a task that lasts is at work after its startup. */
static uint64_t
percent(const struct active_run *a)
{
	const uint64_t ran = now_ms() - a->started_ms;

	if (a->ends_ms == UINT64_MAX)
		return ran >= STARTUP_MS ? 100 : 0;
	return a->ends_ms > a->started_ms
	    ? ran * 99 / (a->ends_ms - a->started_ms)
	    : 100;
}

static void
reply_lists(struct runner *r, struct http_conn *c)
{
	char name[96], *text;
	size_t len, i, n = 0;
	FILE *f;

	f = open_memstream(&text, &len);
	fprintf(f,
	    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 ",\"active\":[",
	    runner_clock(r), r->born);
	for (i = 0; i < r->active_len; i++) {
		const struct active_run *const a = &r->active[i];

		platform_task_format_name(&a->task, name, sizeof(name));
		fprintf(f, "%s[\"%s\",%" PRIu32 ",\"\",%" PRIu64 ",0]",
		    i > 0 ? "," : "", name, a->run, percent(a));
	}
	fputs("],\"finished\":[", f);
	for (i = 0; i < r->ended_len && n < ENDS_PER_LIST; i++) {
		const struct ended_run *const e = &r->ended[i];

		if (e->log == SIZE_MAX || e->noted)
			continue;
		platform_task_format_name(&e->task, name, sizeof(name));
		fprintf(f, "%s[%" PRIu64 ",\"%s\",%" PRIu32 ",\"%s\",\"\"]",
		    n++ > 0 ? "," : "", e->seq, name, e->run,
		    end_names[e->how]);
	}
	fputs("]}", f);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static size_t
ends_unseen(const struct runner *r)
{
	size_t i, n = 0;

	for (i = 0; i < r->ended_len; i++)
		n += r->ended[i].log != SIZE_MAX && !r->ended[i].noted;
	return n;
}

static void
take_deadline(struct runner *r, struct json_object *body)
{
	int64_t ms = platform_json_int(body, "deadline_ms", 0);

	if (ms == 0)
		return;
	ms -= runner_clock(r);
	ms = ms > LEASE_MAX_MS ? LEASE_MAX_MS : ms;
	if (ms > 0 && now_ms() + (uint64_t)ms > r->lease_until)
		r->lease_until = now_ms() + (uint64_t)ms;
}

static void
take_observed(struct runner *r, uint64_t observed)
{
	struct run_log *log;
	size_t i;

	if (observed > r->observed) {
		record("%s life %" PRIu64 ": observed %" PRIu64, r->id, r->life,
		    observed);
		r->observed = observed;
	}
	for (i = 0; i < r->ended_len; i++) {
		if (r->ended[i].log == SIZE_MAX || r->ended[i].noted ||
		    r->ended[i].seq > observed)
			continue;
		r->ended[i].noted = true;
		log = &runs[r->ended[i].log];
		record("%s life %" PRIu64 ": end %" PRIu64 " (%s run %" PRIu32
		       " %s) is taken note of",
		    r->id, r->life, r->ended[i].seq, log->task, log->run,
		    end_names[log->how]);
		if (r->lapsed_at < log->ended_ms)
			log->noted_ms = now_ms();
	}
}

/* Time that a run takes; it differs from task to task. */
static uint64_t
run_time(
    const struct wf_task_ref *t, uint32_t run, unsigned least, unsigned most)
{
	uint64_t h = 1469598103934665603ULL;
	const char *p;

	for (p = t->job; *p != '\0'; p++)
		h = (h ^ (unsigned char)*p) * 1099511628211ULL;
	h = (h ^ (t->index * 31 + t->step * 7 + run)) * 1099511628211ULL;
	h ^= h >> 29;
	return least + (most > least ? h % (most - least + 1) : 0);
}

/* The members of a gang work from the moment at which all of a run are there. */
static void
start_gang(const struct active_run *a)
{
	unsigned k, n = 0, pass;
	size_t i;

	for (pass = 0; pass < 2; pass++) {
		for (k = 0; k < opts.runners; k++) {
			for (i = 0; i < runners[k].active_len; i++) {
				struct active_run *const m =
				    &runners[k].active[i];

				if (m->gang == 0 || m->run != a->run ||
				    m->task.step != a->task.step ||
				    strcmp(m->task.job, a->task.job) != 0)
					continue;
				if (pass == 0)
					n++;
				else
					m->ends_ms = now_ms() + m->run_ms;
			}
		}
		if (n < a->gang)
			return;
	}
}

/* The spec of a job: least and longest time of a run in ms (0 0: until it is
 * stopped); 1 if its runs fail at their end, 2 if the first one does;
 * processors of a task; number of members if it is a gang. */
static const char *
handle_start(struct runner *r, struct json_object *body)
{
	const char *const spec = platform_json_str(body, "spec");
	unsigned least = 0, most = 0, fails = 0, cpu = 0, gang = 0;
	struct active_run a = {0};
	struct run_log *log;
	size_t i;

	platform_task_parse_name(platform_json_str(body, "task"), &a.task);
	a.run = (uint32_t)platform_json_int(body, "run_id", 0);
	if (spec == NULL ||
	    sscanf(spec, "%u %u %u %u %u", &least, &most, &fails, &cpu, &gang) <
		4)
		return "400";
	for (i = 0; i < r->active_len; i++) {
		if (same_task(&r->active[i].task, &a.task) &&
		    r->active[i].run == a.run)
			return NULL;
	}
	for (i = 0; i < r->ended_len; i++) {
		if (same_task(&r->ended[i].task, &a.task) &&
		    a.run <= r->ended[i].run) {
			take_deadline(r, body);
			return "old";
		}
	}
	if (platform_json_int(body, "deadline_ms", 0) < runner_clock(r))
		return "late";
	take_deadline(r, body);
	a.cpu = cpu;
	a.started_ms = now_ms();
	a.ends_ms = most > 0
	    ? a.started_ms + run_time(&a.task, a.run, least, most)
	    : UINT64_MAX;
	a.how = fails == 1 || (fails == 2 && a.run == 1) ? WF_END_FAILED
							 : WF_END_DONE;
	a.gang = gang;
	a.run_ms = most;
	if (gang > 0)
		a.ends_ms = UINT64_MAX;
	if (runs_len == runs_cap)
		runs = agb_xgrow(runs, &runs_cap, sizeof(*runs));
	a.log = runs_len;
	log = &runs[runs_len++];
	memset(log, 0, sizeof(*log));
	platform_task_format_name(&a.task, log->task, sizeof(log->task));
	log->run = a.run;
	log->runner = r->index;
	log->started_ms = a.started_ms;
	log->life = r->life;
	log->kind = r->kind;
	r->active =
	    agb_xreallocarray(r->active, r->active_len + 1, sizeof(*r->active));
	r->active[r->active_len++] = a;
	if (gang > 0)
		start_gang(&a);
	record("%s life %" PRIu64 ": start %s run %" PRIu32 " fence %" PRId64,
	    r->id, r->life, log->task, log->run,
	    platform_json_int(body, "fence_token", 0));
	return NULL;
}

static void
handle_stop(struct runner *r, struct json_object *body)
{
	struct wf_task_ref task;
	struct ended_run *e;
	uint32_t run;
	size_t i;

	platform_task_parse_name(platform_json_str(body, "task"), &task);
	run = (uint32_t)platform_json_int(body, "run_id", 0);
	for (i = 0; i < r->active_len; i++) {
		struct active_run *const a = &r->active[i];

		if (!same_task(&a->task, &task) || a->run > run)
			continue;
		if (!a->stopping)
			record("%s life %" PRIu64 ": stop %s run %" PRIu32
			       " fence %" PRId64,
			    r->id, r->life, runs[a->log].task, a->run,
			    platform_json_int(body, "fence_token", 0));
		a->stopping = true;
		a->how = WF_END_STOPPED;
		a->ends_ms = now_ms() + STOP_MS;
		runs[a->log].by_stop = true;
		return;
	}
	r->ended =
	    agb_xreallocarray(r->ended, r->ended_len + 1, sizeof(*r->ended));
	e = &r->ended[r->ended_len++];
	*e = (struct ended_run){.task = task, .run = run, .log = SIZE_MAX};
}

static void
handle_hold(struct runner *r, struct http_conn *c, struct json_object *body)
{
	const uint64_t wait = (uint64_t)platform_json_int(body, "wait_ms", 0);

	take_deadline(r, body);
	take_observed(r, (uint64_t)platform_json_int(body, "observed", 0));
	if (wait == 0 || ends_unseen(r) > 0 || r->hold_conn != NULL) {
		reply_lists(r, c);
		return;
	}
	http_set_user_data(c, r);
	r->hold_conn = c;
	r->hold_until = now_ms() + wait;
}

static void
on_runner(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct json_object *const body =
	    platform_json_parse(m->body, m->body_len);
	const uint64_t fence =
	    (uint64_t)platform_json_int(body, "fence_token", 0);
	struct runner *const r = arg;
	const char *reason = NULL;
	char expected[64], text[160];
	int n;

	if (now_ms() < r->cut_until) {
		json_object_put(body);
		return;
	}
	http_get_header(m, "Expect-Instance", expected, sizeof(expected));
	if (expected[0] != '\0' && strcmp(expected, r->id) != 0) {
		n = snprintf(text, sizeof(text),
		    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 "}",
		    runner_clock(r), r->born);
		http_reply(c, 421, text, (size_t)n, 0);
		json_object_put(body);
		return;
	}
	if (fence < r->fence)
		reason = "fence";
	else
		r->fence = fence;
	if (reason == NULL && strcmp(m->path, "/hold") == 0) {
		handle_hold(r, c, body);
		json_object_put(body);
		return;
	}
	if (reason == NULL && strcmp(m->path, "/run-start") == 0)
		reason = handle_start(r, body);
	else if (reason == NULL && strcmp(m->path, "/run-stop") == 0)
		handle_stop(r, body);
	n = reason != NULL
	    ? snprintf(text, sizeof(text),
		  "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64
		  ",\"reason\":\"%s\"}",
		  runner_clock(r), r->born, reason)
	    : snprintf(text, sizeof(text),
		  "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 "}",
		  runner_clock(r), r->born);
	http_reply(c,
	    reason == NULL		     ? 200
		: strcmp(reason, "400") == 0 ? 400
					     : 409,
	    text, (size_t)n, 0);
	json_object_put(body);
}

static void
on_runner_conn_closed(void *arg, void *user_data)
{
	struct runner *const r = user_data;

	r->hold_conn = NULL;
}

static void
runner_key(const struct runner *r, char key[64])
{
	snprintf(key, 64, "servers/%s", r->id);
}

static void
heartbeat(struct runner *r)
{
	char key[64], *text;

	if (now_ms() < r->store_cut_until)
		return;
	runner_key(r, key);
	text = agb_xasprintf(
	    "{\"service\":\"desk\",\"addr\":\"%s\",\"zone\":\"z-%u\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"capacity\":{\"cpu\":%" PRId64
	    ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"%s\",\"r-%u\"],"
	    "\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 ",\"seq\":%" PRIu64
	    "}",
	    r->addr, r->index % 3, opts.runner_cpu, r->kind, r->index / 8,
	    runner_clock(r), r->born, ++r->heartbeat_seq);
	platform_write(key, text);
	free(text);
	r->listed = true;
	r->seen_at = now_ms();
	r->heartbeat_at = now_ms() + HEARTBEAT_MS;
}

static void
runner_boot(struct runner *r)
{
	r->up = true;
	r->life++;
	r->boot_ms = now_ms();
	r->born = unix_ms() + r->clock_step_ms;
	r->fence = r->lease_until = r->lapsed_at = 0;
	r->next_seq = r->observed = r->heartbeat_seq = 0;
	r->http = http_server_new(
	    world_loop, r->addr, on_runner, on_runner_conn_closed, r);
	if (r->http == NULL) {
		record("%s cannot listen on %s", r->id, r->addr);
		finish(2);
	}
	agb_str_copy(r->addr, sizeof(r->addr), http_server_addr(r->http));
	record("%s life %" PRIu64 " starts, kind %s, born %" PRId64, r->id,
	    r->life, r->kind, r->born);
	heartbeat(r);
}

void
runner_crash(unsigned i, uint32_t down_ms)
{
	struct runner *const r = &runners[i];
	size_t k;

	record("%s life %" PRIu64 " crashes; starts again after %" PRIu32 " ms",
	    r->id, r->life, down_ms);
	for (k = 0; k < r->active_len; k++) {
		runs[r->active[k].log].ended_ms = now_ms();
		runs[r->active[k].log].crashed = true;
	}
	r->active_len = r->ended_len = 0;
	r->hold_conn = NULL;
	r->up = false;
	r->up_at = now_ms() + down_ms;
	http_server_free(r->http);
	r->http = NULL;
}

void
runner_clock_step(unsigned i, int64_t ms)
{
	record(
	    "%s: its time of day jumps by %" PRId64 " ms", runners[i].id, ms);
	runners[i].clock_step_ms += ms;
}

void
runner_cut(unsigned i, uint32_t ms)
{
	record("%s is cut off from the instances for %" PRIu32 " ms",
	    runners[i].id, ms);
	runners[i].cut_until = now_ms() + ms;
}

void
runner_cut_from_store(unsigned i, uint32_t ms)
{
	record("%s does not reach the store for %" PRIu32 " ms", runners[i].id,
	    ms);
	runners[i].store_cut_until = now_ms() + ms;
}

void
runner_set_kind(unsigned i, const char *kind)
{
	runners[i].kind = kind;
}

void
runner_join(unsigned i)
{
	runner_boot(&runners[i]);
}

static void
runner_tick(struct runner *r)
{
	const uint64_t now = now_ms();
	char key[64];
	size_t i;

	if (r->listed && now - r->seen_at > ENTRY_TTL_MS) {
		r->listed = false;
		runner_key(r, key);
		rev++;
		kv_change(key, "", 0, true);
		record("%s: its entry is removed", r->id);
		reply_to_watchers();
	}
	if (!r->up) {
		if (now >= r->up_at)
			runner_boot(r);
		return;
	}
	if (r->lease_until > 0 && now > r->lease_until)
		r->lapsed_at = now;
	for (i = r->active_len; i > 0; i--) {
		if (now > r->lease_until)
			run_end(r, i - 1, WF_END_LEASE_EXPIRED);
		else if (now >= r->active[i - 1].ends_ms)
			run_end(r, i - 1, r->active[i - 1].how);
	}
	if (r->hold_conn != NULL &&
	    (ends_unseen(r) > 0 || now >= r->hold_until)) {
		struct http_conn *const c = r->hold_conn;

		r->hold_conn = NULL;
		http_set_user_data(c, NULL);
		/* The answer of one that is cut off does not arrive. */
		if (now >= r->cut_until)
			reply_lists(r, c);
	}
	if (now >= r->heartbeat_at)
		heartbeat(r);
}

/* ---- advice service ---- */

/* Approves every runner that is named. It handles the calls of an instance one
 * after the other. */
static void
on_advice(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct json_object *const body =
	    platform_json_parse(m->body, m->body_len);
	struct instance *const in = arg;
	const uint64_t now = now_ms();
	struct json_object *list;
	uint64_t took;
	char *text;
	size_t len, n, i;
	FILE *f;

	list = platform_json_array(body, "workers", &n);
	took = 510 + 73 * n / 10;
	if (in->advice_busy_until > now + ADVICE_WAITING_MAX * took) {
		http_reply(c, 429, "{}", 2, 0);
		json_object_put(body);
		return;
	}
	if (in->advice_busy_until < now)
		in->advice_busy_until = now;
	in->advice_busy_until += took;
	f = open_memstream(&text, &len);
	fputs("{\"approved\":[", f);
	for (i = 0; i < n; i++)
		fprintf(f, "%s[\"%s\",\"t%zu\"]", i > 0 ? "," : "",
		    json_object_get_string(json_object_array_get_idx(list, i)),
		    i);
	fputs("],\"validity_ms\":2000}", f);
	fclose(f);
	http_reply(c, 200, text, len, (uint32_t)(in->advice_busy_until - now));
	free(text);
	json_object_put(body);
}

static void
on_advice_conn_closed(void *arg, void *user_data)
{
}

/* ---- instances ---- */

static int
free_port(void)
{
	static unsigned next;
	struct sockaddr_in sa = {.sin_family = AF_INET};
	int fd, port, tries;
	bool ok;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (tries = 0; tries < 12000; tries++) {
		port =
		    20000 + (int)(((unsigned)getpid() * 64 + next++) % 12000);
		sa.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		ok = fd >= 0 &&
		    bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
		if (fd >= 0)
			close(fd);
		if (ok)
			return port;
	}
	fprintf(stderr, "no free port\n");
	finish(2);
}

/* Writes the settings as the template of the deploy file gives them. */
static void
instance_prepare(unsigned i, const char *work_dir)
{
	struct instance *const in = &instances[i];
	FILE *f;

	in->index = i;
	in->rtt_ms = opts.far_rtt_ms[i];
	in->bytes_per_ms = opts.far_bytes_per_ms[i];
	in->store = http_server_new(
	    world_loop, "127.0.0.1:0", on_store, on_store_conn_closed, in);
	in->advice = http_server_new(
	    world_loop, "127.0.0.1:0", on_advice, on_advice_conn_closed, in);
	snprintf(in->http, sizeof(in->http), "127.0.0.1:%d", free_port());
	snprintf(in->ready_addr, sizeof(in->ready_addr), "127.0.0.1:%d",
	    free_port());
	snprintf(in->settings, sizeof(in->settings), "%s/settings-%u.json",
	    work_dir, i);
	snprintf(in->log, sizeof(in->log), "%s/instance-%u.log", work_dir, i);
	f = fopen(in->settings, "w");
	if (f == NULL || in->store == NULL || in->advice == NULL)
		finish(2);
	fprintf(f,
	    "{\"instance\":\"frontend-%u\",\"domain\":\"z-%u\",\"region\":"
	    "\"r\",\"http\":\"%s\",\"ready\":\"%s\",\"rpc\":\"127.0.0.1:%d\","
	    "\"metrics\":\"127.0.0.1:%d\",\"store\":\"%s\",\"advice\":\"%s\","
	    "\"grace_s\":6,\"status_s\":120,\"remote_factor\":3,"
	    "\"cpu_share\":0.25,\"link_mbps\":1000,\"log_level\":\"info\"}\n",
	    i, i % 3, in->http, in->ready_addr, free_port(), free_port(),
	    http_server_addr(in->store), http_server_addr(in->advice));
	fclose(f);
}

static void
on_instance_exit(uv_process_t *p, int64_t status, int sig)
{
	struct instance *const in = p->data;

	in->running = in->ready = false;
	record("instance %u has exited, status %" PRId64 ", signal %d",
	    in->index, status, sig);
}

void
instance_start(unsigned i)
{
	struct instance *const in = &instances[i];
	char boot[600], home[256], path[1024];
	char *env[] = {boot, home, path, NULL};
	char *args[] = {"target/agatebeamd", "--platform", NULL};
	uv_stdio_container_t io[3] = {{.flags = UV_IGNORE}};
	uv_process_options_t po = {.file = args[0],
	    .args = args,
	    .env = env,
	    .cwd = repo_dir,
	    .exit_cb = on_instance_exit,
	    .stdio = io,
	    .stdio_count = 3};
	const int fd = open(in->log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	int rc;

	snprintf(boot, sizeof(boot), "AGATEBEAM_BOOT=%s", in->settings);
	snprintf(home, sizeof(home), "HOME=%s",
	    getenv("HOME") ? getenv("HOME") : "/");
	snprintf(path, sizeof(path), "PATH=%s",
	    getenv("PATH") ? getenv("PATH") : "/usr/bin");
	io[1].flags = io[2].flags = UV_INHERIT_FD;
	io[1].data.fd = io[2].data.fd = fd;
	in->process.data = in;
	rc = uv_spawn(world_loop, &in->process, &po);
	close(fd);
	if (rc != 0) {
		fprintf(
		    stderr, "cannot start %s: %s\n", args[0], uv_strerror(rc));
		finish(2);
	}
	in->running = true;
	in->memory_kill = false;
	record("instance %u starts", i);
}

void
instance_signal(unsigned i, int sig)
{
	record("signal %d to instance %u", sig, i);
	if (instances[i].running)
		kill(instances[i].process.pid, sig);
}

bool
instance_running(unsigned i)
{
	return instances[i].running;
}

bool
instance_ready(unsigned i)
{
	return instances[i].ready;
}

static void
on_ready_answer(void *arg, const struct agb_httpc_res *r)
{
	struct instance *const in = arg;

	in->ready = in->running && r->status == AGB_HTTPC_COMPLETE &&
	    r->http_status == 200;
}

static void
on_probe_timer(uv_timer_t *t)
{
	struct agb_httpc_req req = {.method = "GET",
	    .path = "/readyz",
	    .timeout_ms = 900,
	    .cb = on_ready_answer};
	unsigned i;

	for (i = 0; i < opts.instances; i++) {
		req.addr = instances[i].ready_addr;
		req.arg = &instances[i];
		if (instances[i].running)
			agb_httpc_request(http_client, &req);
	}
}

/* ---- clients ---- */

struct job **jobs;
size_t jobs_len;
static size_t jobs_cap;

struct submission {
	struct job *job;
	unsigned attempts;
	unsigned instance;
	uv_timer_t timer;
};

static void send_submission(struct submission *s);

static void
on_submission_timer(uv_timer_t *t)
{
	send_submission(t->data);
}

static void
on_timer_closed(uv_handle_t *h)
{
	free(h->data);
}

static void
on_submitted(void *arg, const struct agb_httpc_res *r)
{
	struct submission *const s = arg;
	struct job *const j = s->job;

	j->status = r->status == AGB_HTTPC_COMPLETE ? r->http_status : -1;
	if (strlen(j->body) < 600 || j->status != 200)
		record("client: POST %s%s at instance %u: %d", j->path, j->id,
		    s->instance, j->status);
	if (j->status >= 200 && j->status < 300) {
		j->accepted = true;
		j->accepted_ms = now_ms();
	} else if (++s->attempts < ATTEMPTS_MAX && j->status != 404) {
		uv_timer_start(&s->timer, on_submission_timer, 300, 0);
		return;
	}
	uv_close((uv_handle_t *)&s->timer, on_timer_closed);
}

static const struct agb_httpc_header client_headers[] = {
    {.name = "Host", .value = "desk.example"},
    {.name = "Deadline-Ms", .value = "3000"},
    {.name = "Content-Type", .value = "application/json"},
};

static void
send_submission(struct submission *s)
{
	static unsigned turn;
	char path[128];
	unsigned i;
	struct agb_httpc_req req = {.method = "POST",
	    .path = path,
	    .headers = client_headers,
	    .headers_len = 3,
	    .body = s->job->body,
	    .body_len = strlen(s->job->body),
	    .timeout_ms = 3000,
	    .cb = on_submitted,
	    .arg = s};

	/* The platform sends new channels to instances that are ready. */
	for (i = 0; i < opts.instances; i++) {
		s->instance = turn++ % opts.instances;
		if (instances[s->instance].ready)
			break;
	}
	snprintf(path, sizeof(path), "%s%s", s->job->path, s->job->id);
	req.addr = instances[s->instance].http;
	agb_httpc_request(http_client, &req);
}

struct job *
job_submit(const char *path, const char *id, const char *body)
{
	struct submission *const s = agb_xcalloc(1, sizeof(*s));
	struct job *const j = agb_xcalloc(1, sizeof(*j));

	if (jobs_len == jobs_cap)
		jobs = agb_xgrow(jobs, &jobs_cap, sizeof(*jobs));
	jobs[jobs_len++] = j;
	agb_str_copy(j->path, sizeof(j->path), path);
	agb_str_copy(j->id, sizeof(j->id), id);
	agb_str_copy(j->body, sizeof(j->body), body);
	s->job = j;
	uv_timer_init(world_loop, &s->timer);
	s->timer.data = s;
	send_submission(s);
	return j;
}

static void
on_submitted_once(void *arg, const struct agb_httpc_res *r)
{
	struct job *const j = arg;

	j->call = NULL;
	j->status = r->status == AGB_HTTPC_COMPLETE ? r->http_status : -1;
	j->accepted = j->status >= 200 && j->status < 300;
	if (j->accepted)
		j->accepted_ms = now_ms();
	record("client: POST %s%s: %d", j->path, j->id, j->status);
}

struct job *
job_submit_once(
    const char *path, const char *id, const char *body, unsigned instance)
{
	struct job *const j = agb_xcalloc(1, sizeof(*j));
	char target[128];
	const struct agb_httpc_req req = {.addr = instances[instance].http,
	    .method = "POST",
	    .path = target,
	    .headers = client_headers,
	    .headers_len = 3,
	    .body = body,
	    .body_len = strlen(body),
	    .timeout_ms = 3000,
	    .cb = on_submitted_once,
	    .arg = j};

	if (jobs_len == jobs_cap)
		jobs = agb_xgrow(jobs, &jobs_cap, sizeof(*jobs));
	jobs[jobs_len++] = j;
	agb_str_copy(j->path, sizeof(j->path), path);
	agb_str_copy(j->id, sizeof(j->id), id);
	snprintf(target, sizeof(target), "%s%s", path, id);
	j->call = agb_httpc_request(http_client, &req);
	return j;
}

void
job_leave(struct job *j)
{
	record("client: leaves its POST %s%s%s", j->path, j->id,
	    j->call == NULL ? ", which was answered" : "");
	if (j->call != NULL)
		agb_httpc_cancel(j->call);
	j->call = NULL;
}

static void
on_cancelled(void *arg, const struct agb_httpc_res *r)
{
	struct job *const j = arg;

	j->cancel_status =
	    r->status == AGB_HTTPC_COMPLETE ? r->http_status : -1;
	record("client: DELETE %s%s: %d", j->path, j->id, j->cancel_status);
	if (j->cancel_status == 410 ||
	    (j->cancel_status >= 200 && j->cancel_status < 300))
		j->cancelled_ms = now_ms();
}

void
job_cancel(struct job *j, unsigned instance)
{
	char path[128];
	const struct agb_httpc_req req = {.addr = instances[instance].http,
	    .method = "DELETE",
	    .path = path,
	    .headers = client_headers,
	    .headers_len = 2,
	    .timeout_ms = 3000,
	    .cb = on_cancelled,
	    .arg = j};

	snprintf(path, sizeof(path), "%s%s", j->path, j->id);
	agb_httpc_request(http_client, &req);
}

static void
on_state(void *arg, const struct agb_httpc_res *r)
{
	struct job *const j = arg;
	struct json_object *obj;
	const char *state;

	j->get_status = r->status == AGB_HTTPC_COMPLETE ? r->http_status : -1;
	obj = r->status == AGB_HTTPC_COMPLETE && r->http_status == 200
	    ? platform_json_parse(r->body, r->body_len)
	    : NULL;
	state = platform_json_str(obj, "state");
	if (state != NULL)
		agb_str_copy(j->state, sizeof(j->state), state);
	record("client: GET %s%s: %d %s", j->path, j->id, j->get_status,
	    state != NULL ? state : "");
	json_object_put(obj);
}

void
job_get(struct job *j, unsigned instance)
{
	char path[128];
	const struct agb_httpc_req req = {.addr = instances[instance].http,
	    .method = "GET",
	    .path = path,
	    .headers = client_headers,
	    .headers_len = 2,
	    .timeout_ms = 3000,
	    .cb = on_state,
	    .arg = j};

	snprintf(path, sizeof(path), "%s%s", j->path, j->id);
	agb_httpc_request(http_client, &req);
}

/* ---- loop ---- */

struct call_later {
	uv_timer_t timer;
	void (*fn)(void);
};

static void
on_call_later(uv_timer_t *t)
{
	struct call_later *const c = t->data;

	c->fn();
	uv_close((uv_handle_t *)t, on_timer_closed);
}

void
after(uint64_t ms, void (*fn)(void))
{
	struct call_later *const c = agb_xcalloc(1, sizeof(*c));

	c->fn = fn;
	uv_timer_init(world_loop, &c->timer);
	c->timer.data = c;
	uv_update_time(world_loop);
	uv_timer_start(&c->timer, on_call_later, ms, 0);
}

static void
on_tick(uv_timer_t *t)
{
	unsigned k;
	size_t i;

	for (k = 0; k < opts.runners; k++)
		runner_tick(&runners[k]);
	for (i = leases_len; i > 0; i--) {
		if (now_ms() >= leases[i - 1].expires_ms)
			lease_remove(&leases[i - 1]);
	}
	reply_to_watchers();
}

/* Ends an instance that exceeds its memory, as the platform does. */
static void
check_memory(struct instance *in)
{
	char path[64];
	long pages = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/statm", in->process.pid);
	f = fopen(path, "r");
	if (f == NULL)
		return;
	if (fscanf(f, "%*d %ld", &pages) != 1)
		pages = 0;
	fclose(f);
	if ((uint64_t)pages * (uint64_t)sysconf(_SC_PAGESIZE) <=
		opts.memory_max ||
	    in->memory_kill)
		return;
	in->memory_kill = true;
	in->memory_kills++;
	record("instance %u uses %ld kB of memory, over its limit: killed",
	    in->index, pages * (sysconf(_SC_PAGESIZE) / 1024));
	kill(in->process.pid, SIGKILL);
}

unsigned
instance_memory_kills(unsigned i)
{
	return instances[i].memory_kills;
}

static void
on_memory_timer(uv_timer_t *t)
{
	unsigned i;

	for (i = 0; opts.memory_max > 0 && i < opts.instances; i++) {
		if (instances[i].running)
			check_memory(&instances[i]);
	}
}

static void
on_quit_signal(uv_signal_t *s, int signum)
{
	record("signal %d: the case is broken off", signum);
	finish(2);
}

void
world_start(const struct world_options *o, const char *repo,
    const char *work_dir, const char *record_path)
{
	static uv_timer_t tick, probe, memory;
	static uv_signal_t term, intr;
	unsigned i;

	opts = *o;
	repo_dir = repo;
	start_ms = now_ms();
	record_file = fopen(record_path, "w");
	if (record_file == NULL) {
		fprintf(stderr, "cannot write %s\n", record_path);
		_exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(world_loop);
	http_client = agb_httpc_new(world_loop, 64);
	uv_signal_init(world_loop, &term);
	uv_signal_start(&term, on_quit_signal, SIGTERM);
	uv_signal_init(world_loop, &intr);
	uv_signal_start(&intr, on_quit_signal, SIGINT);
	for (i = 0; i < o->runners; i++) {
		runners[i].index = i;
		runners[i].kind = i < o->runners - o->late_runners ? "a" : "b";
		snprintf(runners[i].id, sizeof(runners[i].id), "i-%02u", i);
		snprintf(
		    runners[i].addr, sizeof(runners[i].addr), "127.0.0.1:0");
		if (i < o->runners - o->late_runners)
			runner_boot(&runners[i]);
		else
			runners[i].up_at = UINT64_MAX;
	}
	for (i = 0; i < o->instances; i++)
		instance_prepare(i, work_dir);
	uv_timer_init(world_loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	uv_timer_init(world_loop, &probe);
	uv_timer_start(&probe, on_probe_timer, 200, 1000);
	uv_timer_init(world_loop, &memory);
	uv_timer_start(&memory, on_memory_timer, 100, 100);
}

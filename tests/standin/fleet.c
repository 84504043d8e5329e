/**
 * DOC: fleet
 *
 * Stand-in of the users' platform: its store, runners and the advice service
 * in one process on loopback. It checks what it sees of the promises, and
 * misbehaves when asked to:
 *
 *	POST /standin/faults {"store":0 up, 1 refuses, 2 silent,"lose":PERCENT,
 *	    "cut":RUNNER,"heal":RUNNER,"crash":RUNNER,"drain":RUNNER,
 *	    "drop":PERCENT}
 *	GET /standin/report
 *	GET /standin/jobs	starts by job
 */

#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "b64.h"
#include "http_part.h"
#include "json.h"
#include "mem.h"
#include "runner.h"

#define RUNNERS_MAX 64
#define HEARTBEAT_MS 500
#define LAPSE_MS 1500
#define STEP_MS 5
#define HOLD_MAX_MS 10000
#define KILL_MS 100
#define GANG_WAIT_MS 3000
#define TEXT_MAX 512

struct item {
	char *key;
	char *val;
	uint64_t mod;
	uint64_t made;
	int64_t lease;
	bool deleted;
};

struct lease {
	int64_t id;
	uint64_t until;
	uint64_t ttl;
};

struct watcher {
	struct watcher *prev, *next;
	struct http_conn *conn;
	char prefix[TEXT_MAX];
	uint64_t after;
	uint64_t until;
};

struct run {
	struct wf_task_ref task;
	uint32_t run;
	uint32_t count; /* members of its gang; 0 when it is none */
	int64_t cpu;
	int64_t ms;
	uint64_t began;
	uint64_t ends;
	enum wf_run_end how;
	bool waits;
};

struct end {
	struct wf_task_ref task;
	uint32_t run;
	uint64_t seq;
	enum wf_run_end how;
};

struct runner {
	unsigned index;
	char id[32];
	char addr[64];
	struct http_server *http;
	bool up, cut, draining, listed;
	uint64_t born_mono;
	int64_t born_ms;
	uint64_t heard;
	uint64_t lease_until;
	uint64_t fence;
	uint64_t seq;
	struct run *runs;
	size_t runs_len;
	struct end *ends;
	size_t ends_len;
	struct end *over;
	size_t over_len;
	struct http_conn *waiting;
	uint64_t wait_until;
	uint64_t seen;
};

enum store_mode {
	STORE_UP,
	STORE_REFUSES,
	STORE_SILENT,
};

/* Starts of a job. */
struct jobcount {
	char id[20];
	unsigned starts;
};

struct fleet {
	uv_loop_t loop;
	uv_timer_t step;
	struct http_server *http;
	struct http_server *advice;
	struct item *items; /* in order of their revisions */
	size_t items_len;
	uint64_t rev;
	struct lease *leases;
	size_t leases_len;
	int64_t next_lease;
	struct watcher *watchers;
	struct runner runners[RUNNERS_MAX];
	unsigned runners_len;
	int64_t cpu;
	enum store_mode store;
	int lose, drop;
	struct end *done; /* ends that runners were told to forget */
	size_t done_len;
	struct jobcount *jobs;
	size_t jobs_len;
	uint64_t starts;
	uint64_t violations;
	char first[TEXT_MAX];
};

static struct fleet fleet;

static uint64_t
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

static bool
chance(int percent)
{
	return percent > 0 && rand() % 100 < percent; /* NOLINT */
}

static void violate(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void
violate(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	if (fleet.violations++ == 0)
		vsnprintf(fleet.first, sizeof(fleet.first), fmt, ap);
	va_end(ap);
}

static void answer(struct http_conn *c, int status, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
answer(struct http_conn *c, int status, const char *fmt, ...)
{
	char *text;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&text, fmt, ap);
	va_end(ap);
	if (n < 0)
		abort();
	http_reply(c, status, text, (size_t)n, 0);
	free(text);
}

/* ---- store ---- */

static struct item *
item_find(const char *key)
{
	size_t i;

	for (i = fleet.items_len; i > 0; i--) {
		if (strcmp(fleet.items[i - 1].key, key) == 0)
			return fleet.items[i - 1].deleted ? NULL
							  : &fleet.items[i - 1];
	}
	return NULL;
}

/* Every change is kept, so that each watch finds what it has missed. */
static void
item_write(const char *key, const char *val, int64_t lease, bool deleted)
{
	const struct item *const old = item_find(key);
	const uint64_t made = old != NULL && !deleted ? old->made : fleet.rev;
	struct item *it;

	fleet.items = agb_xreallocarray(
	    fleet.items, fleet.items_len + 1, sizeof(*fleet.items));
	it = &fleet.items[fleet.items_len++];
	it->key = agb_xstrdup(key);
	it->val = agb_xstrdup(val);
	it->mod = fleet.rev;
	it->made = made;
	it->lease = lease;
	it->deleted = deleted;
}

static void
put_item(FILE *f, const struct item *it)
{
	if (it->deleted)
		fprintf(f,
		    "{\"key\":\"%s\",\"revision\":%" PRIu64
		    ",\"deleted\":true}",
		    it->key, it->mod);
	else
		fprintf(f,
		    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%" PRIu64
		    ",\"created_rev\":%" PRIu64 ",\"lease_id\":%" PRId64 "}",
		    it->key, it->val, it->mod, it->made, it->lease);
}

static bool
watcher_try(struct watcher *w, bool now)
{
	const char *sep;
	char *text;
	size_t len, i;
	FILE *f;

	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	fputs("{\"events\":[", f);
	sep = "";
	for (i = 0; i < fleet.items_len; i++) {
		if (fleet.items[i].mod <= w->after ||
		    strncmp(fleet.items[i].key, w->prefix, strlen(w->prefix)) !=
			0)
			continue;
		fputs(sep, f);
		put_item(f, &fleet.items[i]);
		sep = ",";
	}
	fprintf(f, "],\"at\":%" PRIu64 "}", fleet.rev);
	fclose(f);
	if (sep[0] != '\0' || now)
		http_reply(w->conn, 200, text, len, 0);
	free(text);
	return sep[0] != '\0' || now;
}

static void
watcher_drop(struct watcher *w)
{
	DL_DELETE(fleet.watchers, w);
	http_set_user(w->conn, NULL);
	free(w);
}

static void
wake_watchers(void)
{
	struct watcher *w, *w2;

	for (w = fleet.watchers; w != NULL; w = w2) {
		w2 = w->next;
		if (watcher_try(w, now_ms() >= w->until))
			watcher_drop(w);
	}
}

static void
lease_drop(size_t i)
{
	const int64_t id = fleet.leases[i].id;
	size_t k, n;

	fleet.leases[i] = fleet.leases[--fleet.leases_len];
	fleet.rev++;
	n = fleet.items_len;
	for (k = 0; k < n; k++) {
		const struct item *const it = &fleet.items[k];

		if (!it->deleted && it->lease == id && item_find(it->key) == it)
			item_write(it->key, "", 0, true);
	}
}

static struct lease *
lease_find(int64_t id)
{
	size_t i;

	for (i = 0; i < fleet.leases_len; i++) {
		if (fleet.leases[i].id == id)
			return &fleet.leases[i];
	}
	return NULL;
}

/* Value of a query parameter, decoded. */
static void
query(const char *path, const char *key, char dst[TEXT_MAX])
{
	const char *p = strchr(path, '?');
	const size_t len = strlen(key);
	size_t n;

	dst[0] = '\0';
	while (
	    p != NULL && (strncmp(p + 1, key, len) != 0 || p[1 + len] != '='))
		p = strchr(p + 1, '&');
	if (p == NULL)
		return;
	n = 0;
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

static void
store_key(struct http_conn *c, const char *path)
{
	const struct item *it;
	char key[TEXT_MAX], *text;
	size_t len;
	FILE *f;

	query(path, "key", key);
	it = item_find(key);
	if (it == NULL) {
		answer(c, 404, "{}");
		return;
	}
	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	put_item(f, it);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static void
store_range(struct http_conn *c, const char *path)
{
	char prefix[TEXT_MAX], *text;
	const char *sep;
	size_t len, i;
	FILE *f;

	query(path, "prefix", prefix);
	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	fputs("{\"items\":[", f);
	sep = "";
	for (i = 0; i < fleet.items_len; i++) {
		if (strncmp(fleet.items[i].key, prefix, strlen(prefix)) != 0 ||
		    item_find(fleet.items[i].key) != &fleet.items[i])
			continue;
		fputs(sep, f);
		put_item(f, &fleet.items[i]);
		sep = ",";
	}
	fprintf(f, "],\"has_more\":false,\"at\":%" PRIu64 "}", fleet.rev);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static void
store_watch(struct http_conn *c, const char *path)
{
	struct watcher *const w = agb_xcalloc(1, sizeof(*w));
	char text[TEXT_MAX];

	w->conn = c;
	query(path, "prefix", w->prefix);
	query(path, "after", text);
	w->after = strtoull(text, NULL, 10);
	query(path, "wait_ms", text);
	w->until = now_ms() + strtoull(text, NULL, 10);
	if (watcher_try(w, false)) {
		free(w);
		return;
	}
	http_set_user(c, w);
	DL_APPEND(fleet.watchers, w);
}

static bool
txn_holds(struct json_object *body)
{
	struct json_object *list, *row;
	const struct item *it;
	size_t len, i;

	list = platform_json_array(body, "expect", &len);
	for (i = 0; i < len; i++) {
		row = json_object_array_get_idx(list, i);
		it = item_find(platform_json_str(row, "key"));
		if ((it != NULL ? it->mod : 0) !=
		    (uint64_t)platform_json_int(row, "revision", 0))
			return false;
	}
	return true;
}

static void
txn_conflict(struct http_conn *c, struct json_object *body)
{
	struct json_object *list;
	const struct item *it;
	const char *sep;
	char *text;
	size_t len, n, i;
	FILE *f;

	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	fputs("{\"items\":[", f);
	sep = "";
	list = platform_json_array(body, "expect", &n);
	for (i = 0; i < n; i++) {
		it = item_find(platform_json_str(
		    json_object_array_get_idx(list, i), "key"));
		if (it == NULL)
			continue;
		fputs(sep, f);
		put_item(f, it);
		sep = ",";
	}
	fputs("]}", f);
	fclose(f);
	http_reply(c, 412, text, len, 0);
	free(text);
}

static void
txn_write(struct json_object *body)
{
	struct json_object *list, *row;
	const char *key;
	size_t len, i;

	fleet.rev++;
	list = platform_json_array(body, "writes", &len);
	for (i = 0; i < len; i++) {
		row = json_object_array_get_idx(list, i);
		item_write(platform_json_str(row, "key"),
		    platform_json_str(row, "value"),
		    platform_json_int(row, "lease_id", 0), false);
	}
	list = platform_json_array(body, "remove", &len);
	for (i = 0; i < len; i++) {
		key =
		    json_object_get_string(json_object_array_get_idx(list, i));
		if (item_find(key) != NULL)
			item_write(key, "", 0, true);
	}
}

static bool
txn_leases_live(struct json_object *body)
{
	struct json_object *list;
	size_t len, i;
	int64_t id;

	list = platform_json_array(body, "writes", &len);
	for (i = 0; i < len; i++) {
		id = platform_json_int(
		    json_object_array_get_idx(list, i), "lease_id", 0);
		if (id != 0 && lease_find(id) == NULL)
			return false;
	}
	return true;
}

static void
store_txn(struct http_conn *c, struct json_object *body)
{
	if (!txn_leases_live(body)) {
		answer(c, 404, "{}");
		return;
	}
	if (!txn_holds(body)) {
		txn_conflict(c, body);
		return;
	}
	txn_write(body);
	if (chance(fleet.lose))
		http_close(c);
	else
		answer(c, 200, "{\"revision\":%" PRIu64 "}", fleet.rev);
	wake_watchers();
}

static void
store_lease(struct http_conn *c, struct json_object *body)
{
	struct lease *l;

	fleet.leases = agb_xreallocarray(
	    fleet.leases, fleet.leases_len + 1, sizeof(*fleet.leases));
	l = &fleet.leases[fleet.leases_len++];
	l->id = ++fleet.next_lease;
	l->ttl = (uint64_t)platform_json_int(body, "ttl_ms", 1000);
	l->until = now_ms() + l->ttl;
	answer(c, 200, "{\"lease_id\":%" PRId64 ",\"ttl_ms\":%" PRIu64 "}",
	    l->id, l->ttl);
}

static void
store_keep(struct http_conn *c, int64_t id)
{
	struct lease *const l = lease_find(id);

	if (l == NULL) {
		answer(c, 404, "{}");
		return;
	}
	l->until = now_ms() + l->ttl;
	answer(c, 200, "{\"ttl_ms\":%" PRIu64 "}", l->ttl);
}

static void runner_crash(struct runner *r);

static struct runner *
runner_named(struct json_object *body, const char *key)
{
	const int64_t i = platform_json_int(body, key, -1);

	return i >= 0 && i < (int64_t)fleet.runners_len ? &fleet.runners[i]
							: NULL;
}

static void
set_faults(struct http_conn *c, struct json_object *body)
{
	struct runner *r;

	fleet.store = (enum store_mode)platform_json_int(
	    body, "store", (int64_t)fleet.store);
	fleet.lose = (int)platform_json_int(body, "lose", fleet.lose);
	fleet.drop = (int)platform_json_int(body, "drop", fleet.drop);
	r = runner_named(body, "cut");
	if (r != NULL)
		r->cut = true;
	r = runner_named(body, "heal");
	if (r != NULL)
		r->cut = false;
	r = runner_named(body, "drain");
	if (r != NULL)
		r->draining = true;
	r = runner_named(body, "crash");
	if (r != NULL)
		runner_crash(r);
	answer(c, 200, "{}");
}

static void
send_report(struct http_conn *c)
{
	unsigned i, n;

	n = 0;
	for (i = 0; i < fleet.runners_len; i++)
		n += (unsigned)fleet.runners[i].runs_len;
	answer(c, 200,
	    "{\"starts\":%" PRIu64 ",\"running\":%u,\"violations\":%" PRIu64
	    ",\"first\":\"%s\"}",
	    fleet.starts, n, fleet.violations, fleet.first);
}

static void
send_jobs(struct http_conn *c)
{
	char *text;
	size_t len, i;
	FILE *f;

	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	fputc('{', f);
	for (i = 0; i < fleet.jobs_len; i++)
		fprintf(f, "%s\"%s\":%u", i > 0 ? "," : "", fleet.jobs[i].id,
		    fleet.jobs[i].starts);
	fputc('}', f);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static void
count_start(const char *job)
{
	size_t i;

	for (i = 0; i < fleet.jobs_len; i++) {
		if (strcmp(fleet.jobs[i].id, job) == 0)
			break;
	}
	if (i == fleet.jobs_len) {
		fleet.jobs = agb_xreallocarray(
		    fleet.jobs, fleet.jobs_len + 1, sizeof(*fleet.jobs));
		memset(&fleet.jobs[i], 0, sizeof(fleet.jobs[i]));
		agb_name_set(fleet.jobs[i].id, sizeof(fleet.jobs[i].id), job);
		fleet.jobs_len++;
	}
	fleet.jobs[i].starts++;
	fleet.starts++;
}

static void
store_call(
    struct http_conn *c, const struct http_msg *m, struct json_object *body)
{
	int64_t id;
	size_t i;

	if (strncmp(m->path, "/kv-key?", 8) == 0) {
		store_key(c, m->path);
	} else if (strncmp(m->path, "/kv-range?", 10) == 0) {
		store_range(c, m->path);
	} else if (strncmp(m->path, "/kv-watch?", 10) == 0) {
		store_watch(c, m->path);
	} else if (strcmp(m->path, "/kv-txn") == 0) {
		store_txn(c, body);
	} else if (strcmp(m->path, "/kv-lease") == 0) {
		store_lease(c, body);
	} else if (strncmp(m->path, "/kv-keep/", 9) == 0) {
		store_keep(c, strtoll(m->path + 9, NULL, 10));
	} else if (strncmp(m->path, "/kv-lease-end/", 14) == 0) {
		id = strtoll(m->path + 14, NULL, 10);
		for (i = 0; i < fleet.leases_len; i++) {
			if (fleet.leases[i].id == id) {
				lease_drop(i);
				break;
			}
		}
		answer(c, 200, "{}");
		wake_watchers();
	} else {
		answer(c, 400, "{}");
	}
}

static void
on_store(void *arg, struct http_conn *c, const struct http_msg *m)
{
	struct json_object *const body =
	    platform_json_parse(m->body, m->body_len);

	if (strcmp(m->path, "/standin/faults") == 0)
		set_faults(c, body);
	else if (strcmp(m->path, "/standin/report") == 0)
		send_report(c);
	else if (strcmp(m->path, "/standin/jobs") == 0)
		send_jobs(c);
	else if (fleet.store == STORE_REFUSES)
		answer(c, 503, "{}");
	else if (fleet.store != STORE_SILENT)
		store_call(c, m, body);
	json_object_put(body);
}

static void
on_closed(void *arg, void *user)
{
	struct watcher *w;

	for (w = fleet.watchers; w != NULL; w = w->next) {
		if (w == user)
			break;
	}
	if (w == NULL)
		return;
	DL_DELETE(fleet.watchers, w);
	free(w);
}

/* ---- runners ---- */

static int64_t
runner_clock(const struct runner *r)
{
	return (int64_t)(now_ms() - r->born_mono) + 1000;
}

static bool
same_task(const struct wf_task_ref *a, const struct wf_task_ref *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	    a->index == b->index && strcmp(a->job, b->job) == 0;
}

static bool
same_gang(const struct run *a, const struct run *b)
{
	return a->run == b->run && a->count > 0 &&
	    a->task.occurrence == b->task.occurrence &&
	    a->task.step == b->task.step &&
	    strcmp(a->task.job, b->task.job) == 0;
}

static void
end_add(struct end **list, size_t *len, const struct end *e)
{
	*list = agb_xreallocarray(*list, *len + 1, sizeof(**list));
	(*list)[(*len)++] = *e;
}

static void
run_end(struct runner *r, size_t i, enum wf_run_end how)
{
	const struct run x = r->runs[i];
	const struct end e = {
	    .task = x.task, .run = x.run, .seq = ++r->seq, .how = how};
	unsigned k;
	size_t n;

	r->runs[i] = r->runs[--r->runs_len];
	end_add(&r->ends, &r->ends_len, &e);
	end_add(&r->over, &r->over_len, &e);
	for (k = 0; how != WF_END_DONE && k < fleet.runners_len; k++) {
		for (n = 0; n < fleet.runners[k].runs_len; n++) {
			struct run *const m = &fleet.runners[k].runs[n];

			if (!same_gang(m, &x))
				continue;
			m->waits = false;
			m->how = WF_END_GANG_BROKEN;
			m->ends = now_ms();
		}
	}
}

static void
runner_crash(struct runner *r)
{
	while (r->runs_len > 0)
		run_end(r, 0, WF_END_FAILED);
	r->ends_len = 0;
	r->over_len = 0;
	r->seq = 0;
	r->fence = 0;
	r->lease_until = 0;
	r->born_mono = now_ms();
	r->born_ms = unix_ms();
	r->draining = false;
	r->heard = 0;
}

static void
runner_lists(struct runner *r, struct http_conn *c)
{
	static const char *const how[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};
	char name[96], *text;
	size_t len, i;
	FILE *f;

	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	fprintf(f,
	    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 ",\"active\":[",
	    runner_clock(r), r->born_ms);
	for (i = 0; i < r->runs_len; i++) {
		platform_task_format_name(&r->runs[i].task, name, sizeof(name));
		fprintf(f, "%s[\"%s\",%" PRIu32 ",\"\",50,0]", i > 0 ? "," : "",
		    name, r->runs[i].run);
	}
	fputs("],\"finished\":[", f);
	for (i = 0; i < r->ends_len; i++) {
		platform_task_format_name(&r->ends[i].task, name, sizeof(name));
		fprintf(f, "%s[%" PRIu64 ",\"%s\",%" PRIu32 ",\"%s\",\"\"]",
		    i > 0 ? "," : "", r->ends[i].seq, name, r->ends[i].run,
		    how[r->ends[i].how]);
	}
	fputs("]}", f);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static void
observe(struct runner *r, uint64_t upto)
{
	size_t i, n;

	n = 0;
	for (i = 0; i < r->ends_len; i++) {
		if (r->ends[i].seq > upto)
			r->ends[n++] = r->ends[i];
		else if (r->ends[i].how == WF_END_DONE)
			end_add(&fleet.done, &fleet.done_len, &r->ends[i]);
	}
	r->ends_len = n;
}

static void
lease_take(struct runner *r, struct json_object *body)
{
	int64_t ms = platform_json_int(body, "deadline_ms", 0);

	if (ms == 0)
		return;
	ms -= runner_clock(r);
	ms = ms > HOLD_MAX_MS ? HOLD_MAX_MS : ms;
	if (ms > 0 && now_ms() + (uint64_t)ms > r->lease_until)
		r->lease_until = now_ms() + (uint64_t)ms;
}

static void
check_start(const struct runner *r, const struct run *x)
{
	char name[96];
	int64_t cpu;
	unsigned k;
	size_t i;

	platform_task_format_name(&x->task, name, sizeof(name));
	cpu = x->cpu;
	for (i = 0; i < r->runs_len; i++)
		cpu += r->runs[i].cpu;
	if (cpu > fleet.cpu)
		violate("%s: beyond the capacity of %s", name, r->id);
	for (k = 0; k < fleet.runners_len; k++) {
		for (i = 0; i < fleet.runners[k].runs_len; i++) {
			if (same_task(&fleet.runners[k].runs[i].task, &x->task))
				violate("%s: on %s and %s", name,
				    fleet.runners[k].id, r->id);
		}
	}
	for (i = 0; i < fleet.done_len; i++) {
		if (same_task(&fleet.done[i].task, &x->task))
			violate("%s: starts after it was done", name);
	}
}

/* The text of a job tells a task's time, processors, and gang size. */
static void
run_make(struct run *x, struct json_object *body)
{
	const char *const spec = platform_json_str(body, "spec");
	int ms, cpu, count;

	memset(x, 0, sizeof(*x));
	platform_task_parse_name(platform_json_str(body, "task"), &x->task);
	x->run = (uint32_t)platform_json_int(body, "run_id", 0);
	if (spec == NULL || sscanf(spec, "%d %d %d", &ms, &cpu, &count) != 3)
		return;
	x->ms = ms;
	x->cpu = cpu;
	x->count = (uint32_t)count;
}

static void
gang_begin(const struct run *x)
{
	unsigned k, n;
	size_t i;

	n = 0;
	for (k = 0; k < fleet.runners_len; k++) {
		for (i = 0; i < fleet.runners[k].runs_len; i++)
			n += same_gang(&fleet.runners[k].runs[i], x);
	}
	if (n < x->count)
		return;
	for (k = 0; k < fleet.runners_len; k++) {
		for (i = 0; i < fleet.runners[k].runs_len; i++) {
			struct run *const m = &fleet.runners[k].runs[i];

			if (!same_gang(m, x))
				continue;
			m->waits = false;
			m->ends = now_ms() + (uint64_t)m->ms;
		}
	}
}

static const char *
do_start(struct runner *r, struct json_object *body)
{
	struct run x;
	size_t i;

	run_make(&x, body);
	if (platform_json_int(body, "deadline_ms", 0) < runner_clock(r))
		return "late";
	for (i = 0; i < r->over_len; i++) {
		if (same_task(&r->over[i].task, &x.task) &&
		    x.run <= r->over[i].run)
			return "old";
	}
	for (i = 0; i < r->runs_len; i++) {
		if (same_task(&r->runs[i].task, &x.task) &&
		    r->runs[i].run == x.run)
			return NULL;
	}
	check_start(r, &x);
	lease_take(r, body);
	count_start(x.task.job);
	x.began = now_ms();
	x.how = WF_END_DONE;
	x.waits = x.count > 1;
	x.ends = now_ms() + (uint64_t)x.ms;
	r->runs = agb_xreallocarray(r->runs, r->runs_len + 1, sizeof(*r->runs));
	r->runs[r->runs_len++] = x;
	if (x.waits)
		gang_begin(&x);
	return NULL;
}

static void
do_stop(struct runner *r, struct json_object *body)
{
	struct end e = {.how = WF_END_STOPPED};
	struct run x;
	size_t i;

	run_make(&x, body);
	for (i = 0; i < r->runs_len; i++) {
		if (!same_task(&r->runs[i].task, &x.task) ||
		    r->runs[i].run > x.run)
			continue;
		r->runs[i].how = WF_END_STOPPED;
		r->runs[i].waits = false;
		r->runs[i].ends = now_ms() + KILL_MS;
		return;
	}
	e.task = x.task;
	e.run = x.run;
	end_add(&r->over, &r->over_len, &e);
}

static void
do_hold(struct runner *r, struct http_conn *c, struct json_object *body)
{
	const uint64_t wait = (uint64_t)platform_json_int(body, "wait_ms", 0);

	lease_take(r, body);
	observe(r, (uint64_t)platform_json_int(body, "observed", 0));
	if (wait == 0 || r->ends_len > 0 || r->waiting != NULL) {
		runner_lists(r, c);
		return;
	}
	http_set_user(c, r);
	r->waiting = c;
	r->wait_until = now_ms() + wait;
}

static void
on_runner(void *arg, struct http_conn *c, const struct http_msg *m)
{
	struct runner *const r = arg;
	struct json_object *body;
	const char *reason;
	uint64_t fence;

	if (r->cut)
		return;
	if (chance(fleet.drop)) {
		http_close(c);
		return;
	}
	body = platform_json_parse(m->body, m->body_len);
	fence = (uint64_t)platform_json_int(body, "fence_token", 0);
	reason = NULL;
	if (fence < r->fence)
		reason = "fence";
	else
		r->fence = fence;
	if (reason == NULL && strcmp(m->path, "/hold") == 0) {
		do_hold(r, c, body);
		json_object_put(body);
		return;
	}
	if (reason == NULL && strcmp(m->path, "/run-start") == 0)
		reason = do_start(r, body);
	else if (reason == NULL)
		do_stop(r, body);
	if (reason != NULL)
		answer(c, 409,
		    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64
		    ",\"reason\":\"%s\"}",
		    runner_clock(r), r->born_ms, reason);
	else
		answer(c, 200,
		    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 "}",
		    runner_clock(r), r->born_ms);
	json_object_put(body);
}

static void
on_runner_closed(void *arg, void *user)
{
	struct runner *const r = user;

	r->waiting = NULL;
}

static void
on_advice(void *arg, struct http_conn *c, const struct http_msg *m)
{
	struct json_object *const body =
	    platform_json_parse(m->body, m->body_len);
	struct json_object *list;
	char *text;
	size_t len, n, i;
	FILE *f;

	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	list = platform_json_array(body, "workers", &n);
	fputs("{\"approved\":[", f);
	for (i = 0; i < n; i++)
		fprintf(f, "%s[\"%s\",\"t%zu\"]", i > 0 ? "," : "",
		    json_object_get_string(json_object_array_get_idx(list, i)),
		    i);
	fputs("],\"validity_ms\":2000}", f);
	fclose(f);
	http_reply(c, 200, text, len, 10);
	free(text);
	json_object_put(body);
}

static void
heartbeat(struct runner *r)
{
	char key[64], *text, *val;

	snprintf(key, sizeof(key), "servers/%s", r->id);
	text = agb_xasprintf(
	    "{\"service\":\"svc\",\"addr\":\"%s\",\"zone\":\"z\",\"slots\":8,"
	    "\"state\":\"%s\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":%" PRId64
	    ",\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r-1\"],"
	    "\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 ",\"seq\":%" PRIu64
	    "}",
	    r->addr, r->draining ? "draining" : "ready", fleet.cpu,
	    runner_clock(r), r->born_ms, ++r->seen);
	val = agb_b64_encode(text, strlen(text));
	fleet.rev++;
	item_write(key, val, 0, false);
	free(val);
	free(text);
	r->listed = true;
	r->heard = now_ms();
}

static void
runner_step(struct runner *r)
{
	const uint64_t now = now_ms();
	char key[64];
	size_t i;

	for (i = r->runs_len; i > 0; i--) {
		const struct run *const x = &r->runs[i - 1];

		if (now > r->lease_until)
			run_end(r, i - 1, WF_END_LEASE_EXPIRED);
		else if (x->waits && now - x->began > GANG_WAIT_MS)
			run_end(r, i - 1, WF_END_GANG_TIMEOUT);
		else if (!x->waits && now >= x->ends)
			run_end(r, i - 1, x->how);
	}
	if (r->waiting != NULL && (r->ends_len > 0 || now >= r->wait_until)) {
		struct http_conn *const c = r->waiting;

		r->waiting = NULL;
		http_set_user(c, NULL);
		if (!r->cut)
			runner_lists(r, c);
	}
	if (!r->cut && now - r->heard >= HEARTBEAT_MS)
		heartbeat(r);
	if (r->cut && r->listed && now - r->heard >= LAPSE_MS) {
		snprintf(key, sizeof(key), "servers/%s", r->id);
		fleet.rev++;
		item_write(key, "", 0, true);
		r->listed = false;
	}
}

static void
on_step(uv_timer_t *t)
{
	unsigned k;
	size_t i;

	for (k = 0; k < fleet.runners_len; k++)
		runner_step(&fleet.runners[k]);
	for (i = fleet.leases_len; i > 0; i--) {
		if (now_ms() >= fleet.leases[i - 1].until)
			lease_drop(i - 1);
	}
	wake_watchers();
}

static void
write_document(bool advised)
{
	static const char plain[] =
	    "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"jobs\","
	    "\"prefix\":\"/q/\",\"timeout_ms\":3000,\"target_latency_ms\":"
	    "1000,\"priority\":0,\"service\":\"svc\",\"max_attempts\":3,"
	    "\"slack_factor\":2%s}],\"services\":[{\"name\":\"svc\"}],"
	    "\"limits\":{\"max_body_bytes\":262144}}";
	char *text, *val;

	text = agb_xasprintf(plain,
	    advised ? ",\"recommendation\":{\"decision_ms\":10,"
		      "\"interval_ms\":0.1,\"validity_ms\":2000}"
		    : "");
	val = agb_b64_encode(text, strlen(text));
	fleet.rev++;
	item_write("op/config", val, 0, false);
	free(val);
	free(text);
}

static bool
open_all(unsigned runners)
{
	struct runner *r;
	unsigned i;

	fleet.http = http_server_new(
	    &fleet.loop, "127.0.0.1:0", on_store, on_closed, &fleet);
	fleet.advice = http_server_new(
	    &fleet.loop, "127.0.0.1:0", on_advice, on_closed, &fleet);
	if (fleet.http == NULL || fleet.advice == NULL)
		return false;
	for (i = 0; i < runners; i++) {
		r = &fleet.runners[i];
		r->index = i;
		r->up = true;
		snprintf(r->id, sizeof(r->id), "i-%u", i);
		r->born_mono = now_ms();
		r->born_ms = unix_ms();
		r->http = http_server_new(
		    &fleet.loop, "127.0.0.1:0", on_runner, on_runner_closed, r);
		if (r->http == NULL)
			return false;
		agb_name_set(
		    r->addr, sizeof(r->addr), http_server_addr(r->http));
		fleet.runners_len++;
	}
	return true;
}

int
main(int argc, char **argv)
{
	struct arg_int *const runners =
	    arg_int0("n", "runners", "N", "number of runners (8)");
	struct arg_int *const cpu =
	    arg_int0(NULL, "cpu", "N", "thousandths of a core each (16000)");
	struct arg_lit *const advised =
	    arg_lit0(NULL, "advised", "placements need approvals");
	struct arg_end *const end = arg_end(4);
	void *table[] = {runners, cpu, advised, end};
	unsigned n;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "standin-fleet");
		return 2;
	}
	n = runners->count > 0 ? (unsigned)runners->ival[0] : 8;
	fleet.cpu = cpu->count > 0 ? cpu->ival[0] : 16000;
	fleet.rev = 1;
	uv_loop_init(&fleet.loop);
	if (n > RUNNERS_MAX || !open_all(n)) {
		fprintf(stderr, "standin-fleet: cannot listen\n");
		return 1;
	}
	write_document(advised->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	uv_timer_init(&fleet.loop, &fleet.step);
	uv_timer_start(&fleet.step, on_step, STEP_MS, STEP_MS);
	printf("listening %s %s\n", http_server_addr(fleet.http),
	    http_server_addr(fleet.advice));
	fflush(stdout);
	uv_run(&fleet.loop, UV_RUN_DEFAULT);
	return 0;
}

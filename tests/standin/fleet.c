/**
 * DOC: fleet
 *
 * Program that stands in for the users' platform: store, runners and advice
 * service in one process on loopback. It counts violations of the scheduler's
 * guarantees, and injects faults on request. RUNNER is a runner's number.
 *
 * POST /standin/faults	any of
 *	"store":MODE	0 works, 1 refuses each call, 2 does not respond
 *	"lose":PERCENT	of transactions that are applied, but whose connection
 *		is closed instead of a response
 *	"drop":PERCENT	of calls to runners that are dropped without effect
 *	"cut":RUNNER	the runner neither responds nor sends heartbeats
 *	"heal":RUNNER	end of "cut"
 *	"crash":RUNNER	restart the runner; its tasks and state are lost
 *	"drain":RUNNER	the runner reports that it is draining
 * GET /standin/report	counts of starts, running tasks and violations, and the
 *	text of the first violation
 * GET /standin/jobs	number of task starts of each job
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
/* Time from the restart of a runner to its first heartbeat. */
#define ENTRY_LAG_MS 400
/* What the clock of a new process shows at most, besides its age. */
#define CLOCK_BASE_MAX_MS 10000000
/* A runner without a heartbeat for this long leaves the store's list. */
#define REGISTRATION_TTL_MS 1500
#define TICK_MS 5
/* Upper bound of the lease that one call gives to a runner's tasks. */
#define LEASE_MAX_MS 10000
/* Time from a stop command to the end of the task. */
#define STOP_DELAY_MS 100
/* A gang member fails when not all members have started within this time. */
#define GANG_TIMEOUT_MS 3000
#define TEXT_LEN_MAX 512

/* One change of a key in the store; the value is base64. */
struct kv_version {
	char *key;
	char *val;
	uint64_t mod_rev;
	uint64_t create_rev;
	int64_t lease_id; /* 0: none */
	bool deleted;
};

struct lease {
	int64_t id;
	uint64_t expires_ms;
	uint64_t ttl_ms;
};

/* A long poll for changes after a revision. */
struct watcher {
	struct watcher *prev, *next;
	struct http_conn *conn;
	char prefix[TEXT_LEN_MAX];
	uint64_t after_rev;
	uint64_t deadline_ms;
};

/* A running task; task and run_id identify it. */
struct task_run {
	struct wf_task_ref task;
	uint32_t run_id;
	uint32_t gang_size; /* 0: not a member of a gang */
	int64_t cpu_milli;
	int64_t duration_ms;
	uint64_t started_ms;
	uint64_t ends_ms;
	enum wf_run_end end_kind; /* reported when ends_ms is reached */
	bool awaits_gang;	  /* until all members have started */
};

/* A finished run; seq numbers a runner's ends since its last restart. */
struct run_end {
	struct wf_task_ref task;
	uint32_t run_id;
	uint64_t seq;
	enum wf_run_end kind;
};

struct runner {
	unsigned index;
	char id[32];
	char addr[64];
	struct http_server *http;
	bool up, partitioned, draining, listed;
	uint64_t boot_mono_ms; /* monotonic clock at the last restart */
	int64_t boot_unix_ms;
	uint64_t heartbeat_sent_ms;
	uint64_t lease_expires_ms; /* its tasks end then */
	uint64_t fence_token;	   /* highest seen; lower ones are refused */
	uint64_t end_seq;
	struct task_run *runs;
	size_t runs_len;
	struct run_end *unacked_ends; /* reported until acknowledged */
	size_t unacked_ends_len;
	struct run_end *ends; /* all since the last restart */
	size_t ends_len;
	struct http_conn *hold_conn; /* long poll that waits for an end */
	uint64_t hold_deadline_ms;
	uint64_t heartbeat_seq;
};

enum store_mode {
	STORE_UP,
	STORE_REFUSES, /* status 503 */
	STORE_SILENT,  /* no response */
};

/* Number of task starts of a job. */
struct job_starts {
	char id[20];
	unsigned count;
};

struct fleet {
	uv_loop_t loop;
	uv_timer_t tick;
	struct http_server *store_server;
	struct http_server *advice_server;
	struct kv_version *kv_log; /* all changes, by revision */
	size_t kv_log_len;
	uint64_t rev;
	struct lease *leases;
	size_t leases_len;
	int64_t next_lease;
	struct watcher *watchers;
	struct runner runners[RUNNERS_MAX];
	unsigned runners_len;
	int64_t runner_cpu_milli; /* capacity of each runner */
	enum store_mode store_mode;
	int lost_reply_percent, dropped_call_percent;
	struct run_end *completed; /* acknowledged ends of successful runs */
	size_t completed_len;
	struct job_starts *jobs;
	size_t jobs_len;
	uint64_t starts;
	uint64_t violations;
	char first_violation[TEXT_LEN_MAX];
};

static struct fleet fleet;

/* Monotonic clock, used for all deadlines. */
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

/* Return: true with a probability of @percent. */
static bool
chance(int percent)
{
	return percent > 0 && rand() % 100 < percent; /* NOLINT */
}

/* Counts a violation; the report shows the text of the first one. */
static void record_violation(const char *fmt, ...)
    __attribute__((format(printf, 1, 2)));

static void
record_violation(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	if (fleet.violations++ == 0)
		vsnprintf(fleet.first_violation, sizeof(fleet.first_violation),
		    fmt, ap);
	va_end(ap);
}

static void reply_json(struct http_conn *c, int status, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
reply_json(struct http_conn *c, int status, const char *fmt, ...)
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

/* Return: newest version of the key; NULL when it does not exist. */
static struct kv_version *
kv_find(const char *key)
{
	size_t i;

	for (i = fleet.kv_log_len; i > 0; i--) {
		if (strcmp(fleet.kv_log[i - 1].key, key) == 0)
			return fleet.kv_log[i - 1].deleted
			    ? NULL
			    : &fleet.kv_log[i - 1];
	}
	return NULL;
}

/* Appends a change. All are kept, so a watch can start at any past revision. */
static void
kv_append(const char *key, const char *val, int64_t lease_id, bool deleted)
{
	const struct kv_version *const old = kv_find(key);
	const uint64_t create_rev =
	    old != NULL && !deleted ? old->create_rev : fleet.rev;
	struct kv_version *kv;

	fleet.kv_log = agb_xreallocarray(
	    fleet.kv_log, fleet.kv_log_len + 1, sizeof(*fleet.kv_log));
	kv = &fleet.kv_log[fleet.kv_log_len++];
	kv->key = agb_xstrdup(key);
	kv->val = agb_xstrdup(val);
	kv->mod_rev = fleet.rev;
	kv->create_rev = create_rev;
	kv->lease_id = lease_id;
	kv->deleted = deleted;
}

static void
write_kv(FILE *f, const struct kv_version *kv)
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
		    kv->key, kv->val, kv->mod_rev, kv->create_rev,
		    kv->lease_id);
}

/*
 * Responds with the changes since the watcher's revision. Without any, it
 * responds only when the long poll has timed out.
 * Return: true when the response was sent.
 */
static bool
watcher_reply(struct watcher *w, bool timed_out)
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
	for (i = 0; i < fleet.kv_log_len; i++) {
		if (fleet.kv_log[i].mod_rev <= w->after_rev ||
		    strncmp(
			fleet.kv_log[i].key, w->prefix, strlen(w->prefix)) != 0)
			continue;
		fputs(sep, f);
		write_kv(f, &fleet.kv_log[i]);
		sep = ",";
	}
	fprintf(f, "],\"at\":%" PRIu64 "}", fleet.rev);
	fclose(f);
	if (sep[0] != '\0' || timed_out)
		http_reply(w->conn, 200, text, len, 0);
	free(text);
	return sep[0] != '\0' || timed_out;
}

static void
watcher_drop(struct watcher *w)
{
	DL_DELETE(fleet.watchers, w);
	http_set_user_data(w->conn, NULL);
	free(w);
}

static void
reply_to_watchers(void)
{
	struct watcher *w, *w2;

	for (w = fleet.watchers; w != NULL; w = w2) {
		w2 = w->next;
		if (watcher_reply(w, now_ms() >= w->deadline_ms))
			watcher_drop(w);
	}
}

/* Deletes a lease and its keys, in one revision. */
static void
lease_remove(size_t i)
{
	const int64_t id = fleet.leases[i].id;
	size_t k, n;

	fleet.leases[i] = fleet.leases[--fleet.leases_len];
	fleet.rev++;
	n = fleet.kv_log_len;
	for (k = 0; k < n; k++) {
		const struct kv_version *const kv = &fleet.kv_log[k];

		if (!kv->deleted && kv->lease_id == id &&
		    kv_find(kv->key) == kv)
			kv_append(kv->key, "", 0, true);
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

/* Copies the percent-decoded value of a query parameter, "" without one. */
static void
query_param(const char *path, const char *key, char dst[TEXT_LEN_MAX])
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
	for (p += len + 2; *p != '\0' && *p != '&' && n + 1 < TEXT_LEN_MAX;
	     p++) {
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
handle_key(struct http_conn *c, const char *path)
{
	const struct kv_version *kv;
	char key[TEXT_LEN_MAX], *text;
	size_t len;
	FILE *f;

	query_param(path, "key", key);
	kv = kv_find(key);
	if (kv == NULL) {
		reply_json(c, 404, "{}");
		return;
	}
	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	write_kv(f, kv);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static void
handle_range(struct http_conn *c, const char *path)
{
	char prefix[TEXT_LEN_MAX], *text;
	const char *sep;
	size_t len, i;
	FILE *f;

	query_param(path, "prefix", prefix);
	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	fputs("{\"items\":[", f);
	sep = "";
	for (i = 0; i < fleet.kv_log_len; i++) {
		if (strncmp(fleet.kv_log[i].key, prefix, strlen(prefix)) != 0 ||
		    kv_find(fleet.kv_log[i].key) != &fleet.kv_log[i])
			continue;
		fputs(sep, f);
		write_kv(f, &fleet.kv_log[i]);
		sep = ",";
	}
	fprintf(f, "],\"has_more\":false,\"at\":%" PRIu64 "}", fleet.rev);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static void
handle_watch(struct http_conn *c, const char *path)
{
	struct watcher *const w = agb_xcalloc(1, sizeof(*w));
	char text[TEXT_LEN_MAX];

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
	DL_APPEND(fleet.watchers, w);
}

/* Return: true when each expected key has the expected revision (0: absent). */
static bool
txn_revisions_match(struct json_object *body)
{
	struct json_object *list, *row;
	const struct kv_version *kv;
	size_t len, i;

	list = platform_json_array(body, "expect", &len);
	for (i = 0; i < len; i++) {
		row = json_object_array_get_idx(list, i);
		kv = kv_find(platform_json_str(row, "key"));
		if ((kv != NULL ? kv->mod_rev : 0) !=
		    (uint64_t)platform_json_int(row, "revision", 0))
			return false;
	}
	return true;
}

/* Responds with the current values of the expected keys. */
static void
reply_txn_conflict(struct http_conn *c, struct json_object *body)
{
	struct json_object *list;
	const struct kv_version *kv;
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
		kv = kv_find(platform_json_str(
		    json_object_array_get_idx(list, i), "key"));
		if (kv == NULL)
			continue;
		fputs(sep, f);
		write_kv(f, kv);
		sep = ",";
	}
	fputs("]}", f);
	fclose(f);
	http_reply(c, 412, text, len, 0);
	free(text);
}

static void
txn_apply(struct json_object *body)
{
	struct json_object *list, *row;
	const char *key;
	size_t len, i;

	fleet.rev++;
	list = platform_json_array(body, "writes", &len);
	for (i = 0; i < len; i++) {
		row = json_object_array_get_idx(list, i);
		kv_append(platform_json_str(row, "key"),
		    platform_json_str(row, "value"),
		    platform_json_int(row, "lease_id", 0), false);
	}
	list = platform_json_array(body, "remove", &len);
	for (i = 0; i < len; i++) {
		key =
		    json_object_get_string(json_object_array_get_idx(list, i));
		if (kv_find(key) != NULL)
			kv_append(key, "", 0, true);
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
handle_txn(struct http_conn *c, struct json_object *body)
{
	if (!txn_leases_live(body)) {
		reply_json(c, 404, "{}");
		return;
	}
	if (!txn_revisions_match(body)) {
		reply_txn_conflict(c, body);
		return;
	}
	txn_apply(body);
	if (chance(fleet.lost_reply_percent))
		http_close(c);
	else
		reply_json(c, 200, "{\"revision\":%" PRIu64 "}", fleet.rev);
	reply_to_watchers();
}

static void
handle_lease_grant(struct http_conn *c, struct json_object *body)
{
	struct lease *l;

	fleet.leases = agb_xreallocarray(
	    fleet.leases, fleet.leases_len + 1, sizeof(*fleet.leases));
	l = &fleet.leases[fleet.leases_len++];
	l->id = ++fleet.next_lease;
	l->ttl_ms = (uint64_t)platform_json_int(body, "ttl_ms", 1000);
	l->expires_ms = now_ms() + l->ttl_ms;
	reply_json(c, 200, "{\"lease_id\":%" PRId64 ",\"ttl_ms\":%" PRIu64 "}",
	    l->id, l->ttl_ms);
}

static void
handle_lease_renew(struct http_conn *c, int64_t id)
{
	struct lease *const l = lease_find(id);

	if (l == NULL) {
		reply_json(c, 404, "{}");
		return;
	}
	l->expires_ms = now_ms() + l->ttl_ms;
	reply_json(c, 200, "{\"ttl_ms\":%" PRIu64 "}", l->ttl_ms);
}

static void runner_crash(struct runner *r);

static struct runner *
runner_by_field(struct json_object *body, const char *key)
{
	const int64_t i = platform_json_int(body, key, -1);

	return i >= 0 && i < (int64_t)fleet.runners_len ? &fleet.runners[i]
							: NULL;
}

/* Applies POST /standin/faults; absent faults keep their value. */
static void
set_faults(struct http_conn *c, struct json_object *body)
{
	struct runner *r;

	fleet.store_mode = (enum store_mode)platform_json_int(
	    body, "store", (int64_t)fleet.store_mode);
	fleet.lost_reply_percent =
	    (int)platform_json_int(body, "lose", fleet.lost_reply_percent);
	fleet.dropped_call_percent =
	    (int)platform_json_int(body, "drop", fleet.dropped_call_percent);
	r = runner_by_field(body, "cut");
	if (r != NULL)
		r->partitioned = true;
	r = runner_by_field(body, "heal");
	if (r != NULL)
		r->partitioned = false;
	r = runner_by_field(body, "drain");
	if (r != NULL)
		r->draining = true;
	r = runner_by_field(body, "crash");
	if (r != NULL)
		runner_crash(r);
	reply_json(c, 200, "{}");
}

static void
send_report(struct http_conn *c)
{
	unsigned i, n;

	n = 0;
	for (i = 0; i < fleet.runners_len; i++)
		n += (unsigned)fleet.runners[i].runs_len;
	reply_json(c, 200,
	    "{\"starts\":%" PRIu64 ",\"running\":%u,\"violations\":%" PRIu64
	    ",\"first\":\"%s\"}",
	    fleet.starts, n, fleet.violations, fleet.first_violation);
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
		    fleet.jobs[i].count);
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
		agb_str_copy(fleet.jobs[i].id, sizeof(fleet.jobs[i].id), job);
		fleet.jobs_len++;
	}
	fleet.jobs[i].count++;
	fleet.starts++;
}

static void
handle_store_call(
    struct http_conn *c, const struct http_request *m, struct json_object *body)
{
	int64_t id;
	size_t i;

	if (strncmp(m->path, "/kv-key?", 8) == 0) {
		handle_key(c, m->path);
	} else if (strncmp(m->path, "/kv-range?", 10) == 0) {
		handle_range(c, m->path);
	} else if (strncmp(m->path, "/kv-watch?", 10) == 0) {
		handle_watch(c, m->path);
	} else if (strcmp(m->path, "/kv-txn") == 0) {
		handle_txn(c, body);
	} else if (strcmp(m->path, "/kv-lease") == 0) {
		handle_lease_grant(c, body);
	} else if (strncmp(m->path, "/kv-keep/", 9) == 0) {
		handle_lease_renew(c, strtoll(m->path + 9, NULL, 10));
	} else if (strncmp(m->path, "/kv-lease-end/", 14) == 0) {
		id = strtoll(m->path + 14, NULL, 10);
		for (i = 0; i < fleet.leases_len; i++) {
			if (fleet.leases[i].id == id) {
				lease_remove(i);
				break;
			}
		}
		reply_json(c, 200, "{}");
		reply_to_watchers();
	} else {
		reply_json(c, 400, "{}");
	}
}

static void
on_store(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct json_object *const body =
	    platform_json_parse(m->body, m->body_len);

	if (strcmp(m->path, "/standin/faults") == 0)
		set_faults(c, body);
	else if (strcmp(m->path, "/standin/report") == 0)
		send_report(c);
	else if (strcmp(m->path, "/standin/jobs") == 0)
		send_jobs(c);
	else if (fleet.store_mode == STORE_REFUSES)
		reply_json(c, 503, "{}");
	else if (fleet.store_mode != STORE_SILENT)
		handle_store_call(c, m, body);
	json_object_put(body);
}

/* The client of the store has closed the connection of a watch. */
static void
on_closed(void *arg, void *user_data)
{
	struct watcher *w;

	for (w = fleet.watchers; w != NULL; w = w->next) {
		if (w == user_data)
			break;
	}
	if (w == NULL)
		return;
	DL_DELETE(fleet.watchers, w);
	free(w);
}

/* ---- runners ---- */

/* The clock of a process begins anywhere. */
static int64_t
runner_clock(const struct runner *r)
{
	return (int64_t)(now_ms() - r->boot_mono_ms) + 1000 +
	    (int64_t)(r->boot_mono_ms * 7919 % CLOCK_BASE_MAX_MS);
}

static bool
same_task(const struct wf_task_ref *a, const struct wf_task_ref *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	    a->index == b->index && strcmp(a->job, b->job) == 0;
}

static bool
same_gang(const struct task_run *a, const struct task_run *b)
{
	return a->run_id == b->run_id && a->gang_size > 0 &&
	    a->task.occurrence == b->task.occurrence &&
	    a->task.step == b->task.step &&
	    strcmp(a->task.job, b->task.job) == 0;
}

static void
run_end_add(struct run_end **list, size_t *len, const struct run_end *e)
{
	*list = agb_xreallocarray(*list, *len + 1, sizeof(**list));
	(*list)[(*len)++] = *e;
}

/* Ends a run; unless it succeeded, the other members of its gang end too. */
static void
finish_run(struct runner *r, size_t i, enum wf_run_end kind)
{
	const struct task_run run = r->runs[i];
	const struct run_end e = {.task = run.task,
	    .run_id = run.run_id,
	    .seq = ++r->end_seq,
	    .kind = kind};
	unsigned k;
	size_t n;

	r->runs[i] = r->runs[--r->runs_len];
	run_end_add(&r->unacked_ends, &r->unacked_ends_len, &e);
	run_end_add(&r->ends, &r->ends_len, &e);
	for (k = 0; kind != WF_END_DONE && k < fleet.runners_len; k++) {
		for (n = 0; n < fleet.runners[k].runs_len; n++) {
			struct task_run *const m = &fleet.runners[k].runs[n];

			if (!same_gang(m, &run))
				continue;
			m->awaits_gang = false;
			m->end_kind = WF_END_GANG_BROKEN;
			m->ends_ms = now_ms();
		}
	}
}

/* Restarts the runner with empty state. Its entry tells of that later, so that
 * orders meant for the former process reach the new one. */
static void
runner_crash(struct runner *r)
{
	while (r->runs_len > 0)
		finish_run(r, 0, WF_END_FAILED);
	r->unacked_ends_len = 0;
	r->ends_len = 0;
	r->end_seq = 0;
	r->fence_token = 0;
	r->lease_expires_ms = 0;
	r->boot_mono_ms = now_ms();
	r->boot_unix_ms = unix_ms();
	r->draining = false;
	r->heartbeat_sent_ms = now_ms() + ENTRY_LAG_MS - HEARTBEAT_MS;
}

/* Responds with the active runs and the unacknowledged ends. */
static void
reply_run_lists(struct runner *r, struct http_conn *c)
{
	static const char *const kinds[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};
	char name[96], *text;
	size_t len, i;
	FILE *f;

	f = open_memstream(&text, &len);
	if (f == NULL)
		abort();
	fprintf(f,
	    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 ",\"active\":[",
	    runner_clock(r), r->boot_unix_ms);
	for (i = 0; i < r->runs_len; i++) {
		platform_task_format_name(&r->runs[i].task, name, sizeof(name));
		fprintf(f, "%s[\"%s\",%" PRIu32 ",\"\",50,0]", i > 0 ? "," : "",
		    name, r->runs[i].run_id);
	}
	fputs("],\"finished\":[", f);
	for (i = 0; i < r->unacked_ends_len; i++) {
		platform_task_format_name(
		    &r->unacked_ends[i].task, name, sizeof(name));
		fprintf(f, "%s[%" PRIu64 ",\"%s\",%" PRIu32 ",\"%s\",\"\"]",
		    i > 0 ? "," : "", r->unacked_ends[i].seq, name,
		    r->unacked_ends[i].run_id, kinds[r->unacked_ends[i].kind]);
	}
	fputs("]}", f);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

/* Drops the ends that the scheduler has stored, up to number @last_seq. */
static void
acknowledge_ends(struct runner *r, uint64_t last_seq)
{
	size_t i, n;

	n = 0;
	for (i = 0; i < r->unacked_ends_len; i++) {
		if (r->unacked_ends[i].seq > last_seq)
			r->unacked_ends[n++] = r->unacked_ends[i];
		else if (r->unacked_ends[i].kind == WF_END_DONE)
			run_end_add(&fleet.completed, &fleet.completed_len,
			    &r->unacked_ends[i]);
	}
	r->unacked_ends_len = n;
}

/* Extends the runner's lease to the deadline of the call; never shortens it. */
static void
runner_renew_lease(struct runner *r, struct json_object *body)
{
	int64_t ms = platform_json_int(body, "deadline_ms", 0);

	if (ms == 0)
		return;
	ms -= runner_clock(r);
	ms = ms > LEASE_MAX_MS ? LEASE_MAX_MS : ms;
	if (ms > 0 && now_ms() + (uint64_t)ms > r->lease_expires_ms)
		r->lease_expires_ms = now_ms() + (uint64_t)ms;
}

/*
 * Violations of a start: the runner's processors are exceeded, the task is
 * running already, or it has completed before.
 */
static void
check_start(const struct runner *r, const struct task_run *run)
{
	char name[96];
	int64_t cpu_milli;
	unsigned k;
	size_t i;

	platform_task_format_name(&run->task, name, sizeof(name));
	cpu_milli = run->cpu_milli;
	for (i = 0; i < r->runs_len; i++)
		cpu_milli += r->runs[i].cpu_milli;
	if (cpu_milli > fleet.runner_cpu_milli)
		record_violation("%s: beyond the capacity of %s", name, r->id);
	for (k = 0; k < fleet.runners_len; k++) {
		for (i = 0; i < fleet.runners[k].runs_len; i++) {
			if (same_task(
				&fleet.runners[k].runs[i].task, &run->task))
				record_violation("%s: on %s and %s", name,
				    fleet.runners[k].id, r->id);
		}
	}
	for (i = 0; i < fleet.completed_len; i++) {
		if (same_task(&fleet.completed[i].task, &run->task))
			record_violation("%s: starts after it was done", name);
	}
}

/*
 * Reads a run from a start or stop call. The spec of a job is three numbers:
 * duration in ms, processors in thousandths of a core, and gang size.
 */
static void
parse_run(struct task_run *run, struct json_object *body)
{
	const char *const spec = platform_json_str(body, "spec");
	int ms, cpu, count;

	memset(run, 0, sizeof(*run));
	platform_task_parse_name(platform_json_str(body, "task"), &run->task);
	run->run_id = (uint32_t)platform_json_int(body, "run_id", 0);
	if (spec == NULL || sscanf(spec, "%d %d %d", &ms, &cpu, &count) != 3)
		return;
	run->duration_ms = ms;
	run->cpu_milli = cpu;
	run->gang_size = (uint32_t)count;
}

/* Starts the run time of all gang members when the last one has arrived. */
static void
start_gang_if_complete(const struct task_run *run)
{
	unsigned k, n;
	size_t i;

	n = 0;
	for (k = 0; k < fleet.runners_len; k++) {
		for (i = 0; i < fleet.runners[k].runs_len; i++)
			n += same_gang(&fleet.runners[k].runs[i], run);
	}
	if (n < run->gang_size)
		return;
	for (k = 0; k < fleet.runners_len; k++) {
		for (i = 0; i < fleet.runners[k].runs_len; i++) {
			struct task_run *const m = &fleet.runners[k].runs[i];

			if (!same_gang(m, run))
				continue;
			m->awaits_gang = false;
			m->ends_ms = now_ms() + (uint64_t)m->duration_ms;
		}
	}
}

/* Return: NULL when accepted, also for a repeated call; else the reason. */
static const char *
handle_start(struct runner *r, struct json_object *body)
{
	struct task_run run;
	size_t i;

	parse_run(&run, body);
	if (platform_json_int(body, "deadline_ms", 0) < runner_clock(r))
		return "late";
	for (i = 0; i < r->ends_len; i++) {
		if (same_task(&r->ends[i].task, &run.task) &&
		    run.run_id <= r->ends[i].run_id)
			return "old";
	}
	for (i = 0; i < r->runs_len; i++) {
		if (same_task(&r->runs[i].task, &run.task) &&
		    r->runs[i].run_id == run.run_id)
			return NULL;
	}
	check_start(r, &run);
	runner_renew_lease(r, body);
	count_start(run.task.job);
	run.started_ms = now_ms();
	run.end_kind = WF_END_DONE;
	run.awaits_gang = run.gang_size > 1;
	run.ends_ms = now_ms() + (uint64_t)run.duration_ms;
	r->runs = agb_xreallocarray(r->runs, r->runs_len + 1, sizeof(*r->runs));
	r->runs[r->runs_len++] = run;
	if (run.awaits_gang)
		start_gang_if_complete(&run);
	return NULL;
}

/*
 * Ends the run with that id or a lower one. Without one the end is only
 * recorded, so that a start that arrives later is refused.
 */
static void
handle_stop(struct runner *r, struct json_object *body)
{
	struct run_end e = {.kind = WF_END_STOPPED};
	struct task_run run;
	size_t i;

	parse_run(&run, body);
	for (i = 0; i < r->runs_len; i++) {
		if (!same_task(&r->runs[i].task, &run.task) ||
		    r->runs[i].run_id > run.run_id)
			continue;
		r->runs[i].end_kind = WF_END_STOPPED;
		r->runs[i].awaits_gang = false;
		r->runs[i].ends_ms = now_ms() + STOP_DELAY_MS;
		return;
	}
	e.task = run.task;
	e.run_id = run.run_id;
	run_end_add(&r->ends, &r->ends_len, &e);
}

/*
 * Long poll that renews the lease and acknowledges ends. It responds when a
 * run ends or the wait time has passed.
 */
static void
handle_hold(struct runner *r, struct http_conn *c, struct json_object *body)
{
	const uint64_t wait = (uint64_t)platform_json_int(body, "wait_ms", 0);

	runner_renew_lease(r, body);
	acknowledge_ends(r, (uint64_t)platform_json_int(body, "observed", 0));
	if (wait == 0 || r->unacked_ends_len > 0 || r->hold_conn != NULL) {
		reply_run_lists(r, c);
		return;
	}
	http_set_user_data(c, r);
	r->hold_conn = c;
	r->hold_deadline_ms = now_ms() + wait;
}

static void
on_runner(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct runner *const r = arg;
	struct json_object *body;
	const char *reason;
	uint64_t fence;

	if (r->partitioned)
		return;
	if (chance(fleet.dropped_call_percent)) {
		http_close(c);
		return;
	}
	body = platform_json_parse(m->body, m->body_len);
	fence = (uint64_t)platform_json_int(body, "fence_token", 0);
	reason = NULL;
	if (fence < r->fence_token)
		reason = "fence";
	else
		r->fence_token = fence;
	if (reason == NULL && strcmp(m->path, "/hold") == 0) {
		handle_hold(r, c, body);
		json_object_put(body);
		return;
	}
	if (reason == NULL && strcmp(m->path, "/run-start") == 0)
		reason = handle_start(r, body);
	else if (reason == NULL)
		handle_stop(r, body);
	if (reason != NULL)
		reply_json(c, 409,
		    "{\"clock_ms\":%" PRId64 ",\"reason\":\"%s\"}",
		    runner_clock(r), reason);
	else
		reply_json(
		    c, 200, "{\"clock_ms\":%" PRId64 "}", runner_clock(r));
	json_object_put(body);
}

static void
on_runner_closed(void *arg, void *user_data)
{
	struct runner *const r = user_data;

	r->hold_conn = NULL;
}

/* Approves every proposed runner, for 2 s. */
static void
on_advice(void *arg, struct http_conn *c, const struct http_request *m)
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

/* Writes the runner's entry to the store. */
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
	    r->addr, r->draining ? "draining" : "ready", fleet.runner_cpu_milli,
	    runner_clock(r), r->boot_unix_ms, ++r->heartbeat_seq);
	val = agb_b64_encode(text, strlen(text));
	fleet.rev++;
	kv_append(key, val, 0, false);
	free(val);
	free(text);
	r->listed = true;
	r->heartbeat_sent_ms = now_ms();
}

static void
runner_tick(struct runner *r)
{
	const uint64_t now = now_ms();
	char key[64];
	size_t i;

	for (i = r->runs_len; i > 0; i--) {
		const struct task_run *const run = &r->runs[i - 1];

		if (now > r->lease_expires_ms)
			finish_run(r, i - 1, WF_END_LEASE_EXPIRED);
		else if (run->awaits_gang &&
		    now - run->started_ms > GANG_TIMEOUT_MS)
			finish_run(r, i - 1, WF_END_GANG_TIMEOUT);
		else if (!run->awaits_gang && now >= run->ends_ms)
			finish_run(r, i - 1, run->end_kind);
	}
	if (r->hold_conn != NULL &&
	    (r->unacked_ends_len > 0 || now >= r->hold_deadline_ms)) {
		struct http_conn *const c = r->hold_conn;

		r->hold_conn = NULL;
		http_set_user_data(c, NULL);
		if (!r->partitioned)
			reply_run_lists(r, c);
	}
	if (!r->partitioned && now - r->heartbeat_sent_ms >= HEARTBEAT_MS)
		heartbeat(r);
	if (r->partitioned && r->listed &&
	    now - r->heartbeat_sent_ms >= REGISTRATION_TTL_MS) {
		snprintf(key, sizeof(key), "servers/%s", r->id);
		fleet.rev++;
		kv_append(key, "", 0, true);
		r->listed = false;
	}
}

static void
on_tick(uv_timer_t *t)
{
	unsigned k;
	size_t i;

	for (k = 0; k < fleet.runners_len; k++)
		runner_tick(&fleet.runners[k]);
	for (i = fleet.leases_len; i > 0; i--) {
		if (now_ms() >= fleet.leases[i - 1].expires_ms)
			lease_remove(i - 1);
	}
	reply_to_watchers();
}

/* Writes the configuration document with one route and one service. */
static void
write_config(bool approval_required)
{
	static const char format[] =
	    "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"jobs\","
	    "\"prefix\":\"/q/\",\"timeout_ms\":3000,\"target_latency_ms\":"
	    "1000,\"priority\":0,\"service\":\"svc\",\"max_attempts\":3,"
	    "\"slack_factor\":2%s}],\"services\":[{\"name\":\"svc\"}],"
	    "\"limits\":{\"max_body_bytes\":262144}}";
	char *text, *val;

	text = agb_xasprintf(format,
	    approval_required ? ",\"recommendation\":{\"decision_ms\":10,"
				"\"interval_ms\":0.1,\"validity_ms\":2000}"
			      : "");
	val = agb_b64_encode(text, strlen(text));
	fleet.rev++;
	kv_append("op/config", val, 0, false);
	free(val);
	free(text);
}

static bool
start_servers(unsigned runners)
{
	struct runner *r;
	unsigned i;

	fleet.store_server = http_server_new(
	    &fleet.loop, "127.0.0.1:0", on_store, on_closed, &fleet);
	fleet.advice_server = http_server_new(
	    &fleet.loop, "127.0.0.1:0", on_advice, on_closed, &fleet);
	if (fleet.store_server == NULL || fleet.advice_server == NULL)
		return false;
	for (i = 0; i < runners; i++) {
		r = &fleet.runners[i];
		r->index = i;
		r->up = true;
		snprintf(r->id, sizeof(r->id), "i-%u", i);
		r->boot_mono_ms = now_ms();
		r->boot_unix_ms = unix_ms();
		r->http = http_server_new(
		    &fleet.loop, "127.0.0.1:0", on_runner, on_runner_closed, r);
		if (r->http == NULL)
			return false;
		agb_str_copy(
		    r->addr, sizeof(r->addr), http_server_addr(r->http));
		fleet.runners_len++;
	}
	return true;
}

int
main(int argc, char **argv)
{
	struct arg_int *const runners =
	    arg_int0("n", "runners", "N", "number of runners, default 8");
	struct arg_int *const cpu = arg_int0(NULL, "cpu", "N",
	    "thousandths of a core per runner, default 16000");
	struct arg_lit *const approval_required = arg_lit0(
	    NULL, "advised", "placements need approval by the advice service");
	struct arg_end *const end = arg_end(4);
	void *table[] = {runners, cpu, approval_required, end};
	unsigned n;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "standin-fleet");
		return 2;
	}
	n = runners->count > 0 ? (unsigned)runners->ival[0] : 8;
	fleet.runner_cpu_milli = cpu->count > 0 ? cpu->ival[0] : 16000;
	fleet.rev = 1;
	uv_loop_init(&fleet.loop);
	if (n > RUNNERS_MAX || !start_servers(n)) {
		fprintf(stderr,
		    "standin-fleet: too many runners, or cannot listen\n");
		return 1;
	}
	write_config(approval_required->count > 0);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	uv_timer_init(&fleet.loop, &fleet.tick);
	uv_timer_start(&fleet.tick, on_tick, TICK_MS, TICK_MS);
	printf("listening %s %s\n", http_server_addr(fleet.store_server),
	    http_server_addr(fleet.advice_server));
	fflush(stdout);
	uv_run(&fleet.loop, UV_RUN_DEFAULT);
	return 0;
}

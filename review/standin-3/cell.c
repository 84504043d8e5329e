/**
 * DOC: cell
 *
 * Stand-in of the users' platform for the cases 11 to 15: the store, the runners
 * and the checks of one small deployment, in one process on loopback. It follows
 * PROTOCOL.md; there is no advice service, as its only queue needs no advice.
 *
 * The spec of a job tells what its tasks do; times are in ms:
 *
 *	lasting STARTUP LO HI	works after STARTUP, and fails between LO and HI
 *				after its start; HI 0: it never fails
 *	serve TAIL0 MS TAIL1	lasts; its tail is TAIL0 for MS, then TAIL1
 *	fill MS			best effort: done after MS of work at full pace
 *	batch MS		done after MS
 *	gang MS COUNT		done MS after all COUNT members have started
 *
 * Calls of the test, to the address of the store:
 *
 * POST /test/job	{"job","count","cpu","mem_mb","lasting","fill","label",
 *	"spec","total"}: a client submits a job of one step, or of "total" tasks in
 *	steps of "count"
 * POST /test/manifest	{"version","name"}: the operator writes a version in which
 *	the route /q/ has that name
 * POST /test/note	{"text"}: adds a line to the record
 * GET /test/state	numbers of starts, runs at work and pending ends
 * POST /test/finish	checks the rule LOST now, which is `finish_s` after the end
 *	of the traffic, and returns {"broken":N}; tasks that last are checked all
 *	the time
 */

#include <inttypes.h>
#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <uthash.h>
#include <utlist.h>
#include <uv.h>

#include "b64.h"
#include "http_part.h"
#include "json.h"
#include "mem.h"

#define RUNNERS_MAX 64
#define RUNNERS_PER_RACK 8
#define HEARTBEAT_MS 1500
#define LEASE_MAX_MS 10000
#define KILL_GRACE_MS 200
#define GANG_WAIT_MS 3000
#define TICK_MS 10
#define ENDS_PER_LIST 500
#define ITEMS_PER_PAGE 500
#define MEMORY_MB 65536
#define NAME_LEN 96
#define TEXT_LEN 512
/* Rule LOST: a job has nothing running for this long; of a task that lasts it
 * counts from REST_MS after its last run. */
#define IDLE_MS 3000
#define REST_MS 6000

enum work { WORK_LASTING, WORK_SERVE, WORK_FILL, WORK_BATCH, WORK_GANG };

struct run {
	char task[NAME_LEN];
	uint32_t run_id;
	enum work work;
	char spec[NAME_LEN];
	int64_t a, b, c; /* figures of the spec */
	int64_t cpu, mem;
	bool counts_cpu;
	uint64_t started_ms, ends_ms;
	const char *how;
	bool waits; /* for the other members of its gang */
	uint32_t pace;
	double done_ms; /* work of a fill task */
	uint64_t worked_at;
};

struct end {
	char task[NAME_LEN];
	uint32_t run_id;
	uint64_t seq;
	const char *how;
};

struct runner {
	char id[32];
	char addr[64];
	struct http_server *http;
	int64_t clock_base, born_ms;
	uint64_t lease_until, fence, seq, beat_at, beat_seq;
	struct run *runs;
	size_t runs_len;
	struct end *ends; /* not observed yet */
	size_t ends_len;
	struct end *ended; /* all, to refuse late starts */
	size_t ended_len;
	struct http_conn *hold;
	uint64_t hold_until;
};

struct event {
	char *key, *val;
	uint64_t rev, created;
	int64_t lease;
	bool deleted;
};

struct item {
	char *key;
	size_t event; /* index of the newest one */
	UT_hash_handle hh;
};

struct lease {
	int64_t id;
	uint64_t ttl_ms, until;
};

struct watcher {
	struct watcher *prev, *next;
	struct http_conn *c;
	char prefix[TEXT_LEN];
	uint64_t after, until;
};

struct job {
	char id[20];
	uint32_t count, total; /* tasks of a step, and of all steps */
	int64_t cpu, mem;
	bool lasting, fill;
	char label[32];
	char spec[NAME_LEN];
	uint64_t idle_since; /* 0: a task of it runs */
	/* Of a job that lasts, by the index of the task: end of its last run, 0
	 * while it runs or has not run; since when it is missed. */
	uint64_t *down_since, *missed_since;
	unsigned lost_tasks;
	uint64_t longest_ms;
	uint64_t starts, ends_done, ends_failed;
};

static struct {
	uv_loop_t loop;
	uv_timer_t tick;
	struct http_server *store;
	struct event *events;
	size_t events_len, events_cap;
	struct item *items;
	uint64_t rev;
	struct lease *leases;
	size_t leases_len;
	int64_t last_lease;
	struct watcher *watchers;
	struct runner runners[RUNNERS_MAX];
	unsigned runners_len;
	int64_t cpu;
	struct job *jobs;
	size_t jobs_len;
	uint64_t starts;
	uint64_t begun_ms;
	FILE *record;
} cell;

static uint64_t
now_ms(void)
{
	return uv_hrtime() / 1000000;
}

static void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void
note(const char *fmt, ...)
{
	va_list ap;

	fprintf(cell.record, "%9.3f ",
	    (double)(now_ms() - cell.begun_ms) / 1000.0);
	va_start(ap, fmt);
	vfprintf(cell.record, fmt, ap);
	va_end(ap);
	fputc('\n', cell.record);
	fflush(cell.record);
}

/* Name of a task in the record: with slashes, as four numbers with dots read like
 * an address. Valid until the next call. */
static const char *
record_name(const char *task)
{
	static char name[NAME_LEN];
	char *p;

	snprintf(name, sizeof(name), "%s", task);
	for (p = name; *p != '\0'; p++)
		*p = *p == '.' ? '/' : *p;
	return name;
}

static void reply(struct http_conn *c, int status, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
reply(struct http_conn *c, int status, const char *fmt, ...)
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

static const struct event *
find_key(const char *key)
{
	struct item *it;

	HASH_FIND_STR(cell.items, key, it);
	if (it == NULL || cell.events[it->event].deleted)
		return NULL;
	return &cell.events[it->event];
}

static void
put_event(const char *key, const char *val, int64_t lease, bool deleted)
{
	const struct event *const old = find_key(key);
	const uint64_t created = old != NULL ? old->created : cell.rev;
	struct event *e;
	struct item *it;

	if (cell.events_len == cell.events_cap)
		cell.events = agb_xgrow(
		    cell.events, &cell.events_cap, sizeof(*cell.events));
	e = &cell.events[cell.events_len++];
	e->key = agb_xstrdup(key);
	e->val = agb_xstrdup(val);
	e->rev = cell.rev;
	e->created = created;
	e->lease = lease;
	e->deleted = deleted;
	HASH_FIND_STR(cell.items, key, it);
	if (it == NULL) {
		it = agb_xcalloc(1, sizeof(*it));
		it->key = agb_xstrdup(key);
		HASH_ADD_KEYPTR(
		    hh, cell.items, it->key, strlen(it->key), it);
	}
	it->event = cell.events_len - 1;
}

static void
write_event(FILE *f, const struct event *e)
{
	if (e->deleted)
		fprintf(f,
		    "{\"key\":\"%s\",\"revision\":%" PRIu64
		    ",\"deleted\":true}",
		    e->key, e->rev);
	else
		fprintf(f,
		    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%" PRIu64
		    ",\"created_rev\":%" PRIu64 ",\"lease_id\":%" PRId64 "}",
		    e->key, e->val, e->rev, e->created, e->lease);
}

/* Index of the first event after a revision. */
static size_t
first_after(uint64_t rev)
{
	size_t low = 0, high = cell.events_len, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (cell.events[mid].rev <= rev)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static bool
answer_watcher(struct watcher *w, bool timed_out)
{
	const size_t len = strlen(w->prefix);
	const char *sep = "";
	size_t i, n;
	char *text;
	FILE *f;

	f = open_memstream(&text, &n);
	fputs("{\"events\":[", f);
	for (i = first_after(w->after); i < cell.events_len; i++) {
		if (strncmp(cell.events[i].key, w->prefix, len) != 0)
			continue;
		fputs(sep, f);
		write_event(f, &cell.events[i]);
		sep = ",";
	}
	fprintf(f, "],\"at\":%" PRIu64 "}", cell.rev);
	fclose(f);
	if (sep[0] != '\0' || timed_out)
		http_reply(w->c, 200, text, n, 0);
	free(text);
	return sep[0] != '\0' || timed_out;
}

static void
answer_watchers(void)
{
	struct watcher *w, *next;

	for (w = cell.watchers; w != NULL; w = next) {
		next = w->next;
		if (!answer_watcher(w, now_ms() >= w->until))
			continue;
		DL_DELETE(cell.watchers, w);
		http_set_user_data(w->c, NULL);
		free(w);
	}
}

static void
end_lease(size_t i)
{
	const int64_t id = cell.leases[i].id;
	struct item *it;

	cell.leases[i] = cell.leases[--cell.leases_len];
	cell.rev++;
	for (it = cell.items; it != NULL; it = it->hh.next) {
		if (!cell.events[it->event].deleted &&
		    cell.events[it->event].lease == id)
			put_event(it->key, "", 0, true);
	}
}

static struct lease *
find_lease(int64_t id)
{
	size_t i;

	for (i = 0; i < cell.leases_len; i++) {
		if (cell.leases[i].id == id)
			return &cell.leases[i];
	}
	return NULL;
}

static void
query(const char *path, const char *key, char dst[TEXT_LEN])
{
	const char *p = strchr(path, '?');
	const size_t len = strlen(key);
	size_t n = 0;

	dst[0] = '\0';
	while (p != NULL &&
	    (strncmp(p + 1, key, len) != 0 || p[1 + len] != '='))
		p = strchr(p + 1, '&');
	if (p == NULL)
		return;
	for (p += len + 2; *p != '\0' && *p != '&' && n + 1 < TEXT_LEN; p++) {
		if (*p == '%' && p[1] != '\0' && p[2] != '\0') {
			const char hex[3] = {p[1], p[2], '\0'};

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
	const struct event *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static void
answer_range(struct http_conn *c, const char *path)
{
	const struct event **list;
	char prefix[TEXT_LEN], after[TEXT_LEN], *text;
	const struct event *e;
	struct item *it;
	size_t n = 0, len, i;
	FILE *f;

	query(path, "prefix", prefix);
	query(path, "after", after);
	list = agb_xcalloc(HASH_COUNT(cell.items) + 1, sizeof(*list));
	for (it = cell.items; it != NULL; it = it->hh.next) {
		e = &cell.events[it->event];
		if (!e->deleted &&
		    strncmp(e->key, prefix, strlen(prefix)) == 0 &&
		    strcmp(e->key, after) > 0)
			list[n++] = e;
	}
	qsort(list, n, sizeof(*list), compare_keys);
	f = open_memstream(&text, &len);
	fputs("{\"items\":[", f);
	for (i = 0; i < n && i < ITEMS_PER_PAGE; i++) {
		fputs(i > 0 ? "," : "", f);
		write_event(f, list[i]);
	}
	fprintf(f, "],\"has_more\":%s,\"at\":%" PRIu64 "}",
	    n > ITEMS_PER_PAGE ? "true" : "false", cell.rev);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
	free(list);
}

static void
answer_key(struct http_conn *c, const char *path)
{
	const struct event *e;
	char key[TEXT_LEN], *text;
	size_t len;
	FILE *f;

	query(path, "key", key);
	e = find_key(key);
	if (e == NULL) {
		reply(c, 404, "{\"at\":%" PRIu64 "}", cell.rev);
		return;
	}
	f = open_memstream(&text, &len);
	write_event(f, e);
	fclose(f);
	/* The item, with the revision of the store. */
	text[len - 1] = '\0';
	reply(c, 200, "%s,\"at\":%" PRIu64 "}", text, cell.rev);
	free(text);
}

static void
watch(struct http_conn *c, const char *path)
{
	struct watcher *const w = agb_xcalloc(1, sizeof(*w));
	char text[TEXT_LEN];

	w->c = c;
	query(path, "prefix", w->prefix);
	query(path, "after", text);
	w->after = strtoull(text, NULL, 10);
	query(path, "wait_ms", text);
	w->until = now_ms() + strtoull(text, NULL, 10);
	if (answer_watcher(w, false)) {
		free(w);
		return;
	}
	http_set_user_data(c, w);
	DL_APPEND(cell.watchers, w);
}

static bool
expected(struct json_object *body)
{
	struct json_object *row;
	const struct event *e;
	size_t len, i;
	struct json_object *const list =
	    platform_json_array(body, "expect", &len);

	for (i = 0; i < len; i++) {
		row = json_object_array_get_idx(list, i);
		e = find_key(platform_json_str(row, "key"));
		if ((e != NULL ? e->rev : 0) !=
		    (uint64_t)platform_json_int(row, "revision", 0))
			return false;
	}
	return true;
}

static void
answer_conflict(struct http_conn *c, struct json_object *body)
{
	const char *sep = "";
	const struct event *e;
	size_t n, i, len;
	char *text;
	FILE *f;
	struct json_object *const list =
	    platform_json_array(body, "expect", &n);

	f = open_memstream(&text, &len);
	fputs("{\"items\":[", f);
	for (i = 0; i < n; i++) {
		e = find_key(platform_json_str(
		    json_object_array_get_idx(list, i), "key"));
		if (e == NULL)
			continue;
		fputs(sep, f);
		write_event(f, e);
		sep = ",";
	}
	fputs("]}", f);
	fclose(f);
	http_reply(c, 412, text, len, 0);
	free(text);
}

static void
txn(struct http_conn *c, struct json_object *body)
{
	struct json_object *list, *row;
	const char *key;
	size_t len, i;
	int64_t id;

	list = platform_json_array(body, "writes", &len);
	for (i = 0; i < len; i++) {
		id = platform_json_int(
		    json_object_array_get_idx(list, i), "lease_id", 0);
		if (id != 0 && find_lease(id) == NULL) {
			reply(c, 404, "{}");
			return;
		}
	}
	if (!expected(body)) {
		answer_conflict(c, body);
		return;
	}
	cell.rev++;
	for (i = 0; i < len; i++) {
		row = json_object_array_get_idx(list, i);
		put_event(platform_json_str(row, "key"),
		    platform_json_str(row, "value"),
		    platform_json_int(row, "lease_id", 0), false);
	}
	list = platform_json_array(body, "remove", &len);
	for (i = 0; i < len; i++) {
		key = json_object_get_string(
		    json_object_array_get_idx(list, i));
		if (find_key(key) != NULL)
			put_event(key, "", 0, true);
	}
	reply(c, 200, "{\"revision\":%" PRIu64 "}", cell.rev);
	answer_watchers();
}

static void
grant(struct http_conn *c, struct json_object *body)
{
	struct lease *l;

	cell.leases = agb_xreallocarray(
	    cell.leases, cell.leases_len + 1, sizeof(*cell.leases));
	l = &cell.leases[cell.leases_len++];
	l->id = ++cell.last_lease;
	l->ttl_ms = (uint64_t)platform_json_int(body, "ttl_ms", 1000);
	l->until = now_ms() + l->ttl_ms;
	reply(c, 200, "{\"lease_id\":%" PRId64 ",\"ttl_ms\":%" PRIu64 "}",
	    l->id, l->ttl_ms);
}

static void
renew(struct http_conn *c, int64_t id)
{
	struct lease *const l = find_lease(id);

	if (l == NULL) {
		reply(c, 404, "{}");
		return;
	}
	l->until = now_ms() + l->ttl_ms;
	reply(c, 200, "{\"ttl_ms\":%" PRIu64 "}", l->ttl_ms);
}

static void
revoke_lease(struct http_conn *c, int64_t id)
{
	size_t i;

	for (i = 0; i < cell.leases_len; i++) {
		if (cell.leases[i].id == id) {
			end_lease(i);
			break;
		}
	}
	reply(c, i <= cell.leases_len ? 200 : 404, "{}");
	answer_watchers();
}

/* ---- the rule LOST ---- */

static int64_t
used_cpu(const struct runner *r)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < r->runs_len; i++)
		sum += r->runs[i].counts_cpu ? r->runs[i].cpu : 0;
	return sum;
}

static int64_t
used_mem(const struct runner *r)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < r->runs_len; i++)
		sum += r->runs[i].mem;
	return sum;
}

static bool
has_label(const struct runner *r, const char *label)
{
	char rack[32];

	snprintf(rack, sizeof(rack), "r1-%u",
	    (unsigned)(r - cell.runners) / RUNNERS_PER_RACK);
	return label[0] == '\0' || strcmp(label, "a") == 0 ||
	    strcmp(label, rack) == 0;
}

/* Number of tasks of a job that all runners have room for. */
static uint64_t
room_for(const struct job *j)
{
	uint64_t sum = 0, by_cpu, by_mem;
	unsigned i;

	for (i = 0; i < cell.runners_len; i++) {
		const struct runner *const r = &cell.runners[i];

		if (!has_label(r, j->label))
			continue;
		by_mem = (uint64_t)((MEMORY_MB - used_mem(r)) / j->mem);
		by_cpu = j->fill ? by_mem
				 : (uint64_t)((cell.cpu - used_cpu(r)) /
				       j->cpu);
		sum += by_cpu < by_mem ? by_cpu : by_mem;
	}
	return sum;
}

static bool
under_half_in_use(void)
{
	int64_t cpu = 0, mem = 0;
	unsigned i;

	for (i = 0; i < cell.runners_len; i++) {
		cpu += used_cpu(&cell.runners[i]);
		mem += used_mem(&cell.runners[i]);
	}
	return 2 * cpu < cell.cpu * cell.runners_len &&
	    2 * mem < (int64_t)MEMORY_MB * cell.runners_len;
}

/* Jobs of two routes may have one id; their specs differ. */
static bool
is_run_of(const struct run *run, const struct job *j)
{
	return strncmp(run->task, j->id, strlen(j->id)) == 0 &&
	    strcmp(run->spec, j->spec) == 0;
}

static struct job *
job_of(const struct run *run)
{
	size_t i;

	for (i = 0; i < cell.jobs_len; i++) {
		if (is_run_of(run, &cell.jobs[i]))
			return &cell.jobs[i];
	}
	return NULL;
}

/* Notes since when a job has nothing running while there is room for it twice
 * over and under half of the capacity is in use. */
static void
watch_job(struct job *j)
{
	bool runs = false;
	unsigned i;
	size_t k;

	for (i = 0; i < cell.runners_len && !runs; i++) {
		for (k = 0; k < cell.runners[i].runs_len && !runs; k++)
			runs = is_run_of(&cell.runners[i].runs[k], j);
	}
	if (runs || j->ends_done >= j->total || !under_half_in_use() ||
	    room_for(j) < 2 * j->count)
		j->idle_since = 0;
	else if (j->idle_since == 0)
		j->idle_since = now_ms();
}

/* Checks the tasks of a job that lasts, at any time and however full the service
 * is. */
static void
watch_tasks(struct job *j)
{
	const uint64_t now = now_ms();
	uint64_t room, down;
	uint32_t i;

	if (!j->lasting)
		return;
	room = room_for(j);
	for (i = 0; i < j->count; i++) {
		down = j->down_since[i] > 0 ? now - j->down_since[i] : 0;
		if (down > j->longest_ms)
			j->longest_ms = down;
		if (down < REST_MS || room < 2) {
			j->missed_since[i] = 0;
			continue;
		}
		if (j->missed_since[i] == 0) {
			j->missed_since[i] = now;
			continue;
		}
		if (j->missed_since[i] == UINT64_MAX ||
		    now - j->missed_since[i] < IDLE_MS)
			continue;
		/* Noted once for each time that it is down. */
		j->missed_since[i] = UINT64_MAX;
		j->lost_tasks++;
		note("LOST: task %" PRIu32 " of job %s lasts, and nothing of it "
		     "has run for %" PRIu64 " ms; there is room for %" PRIu64
		     " such tasks",
		    i, j->id, down, room);
	}
}

static void
finish(struct http_conn *c)
{
	unsigned broken = 0;
	size_t i;

	for (i = 0; i < cell.jobs_len; i++) {
		struct job *const j = &cell.jobs[i];
		const uint64_t idle =
		    j->idle_since > 0 ? now_ms() - j->idle_since : 0;

		note("job %s: %" PRIu64 " starts, %" PRIu64 " done, %" PRIu64
		     " failed; nothing running, with room twice over and under "
		     "half in use, for %" PRIu64 " ms; room for %" PRIu64
		     " of its %" PRIu32 " tasks",
		    j->id, j->starts, j->ends_done, j->ends_failed, idle,
		    room_for(j), j->count);
		if (j->lasting)
			note("job %s: a task of it was down for %" PRIu64
			     " ms at most; %u were down for too long",
			    j->id, j->longest_ms, j->lost_tasks);
		broken += j->lost_tasks > 0;
		if (idle < IDLE_MS)
			continue;
		note("LOST: job %s was accepted, could run and does not",
		    j->id);
		broken++;
	}
	reply(c, 200, "{\"broken\":%u}", broken);
}

static void
add_job(struct http_conn *c, struct json_object *body)
{
	struct job *j;

	cell.jobs = agb_xreallocarray(
	    cell.jobs, cell.jobs_len + 1, sizeof(*cell.jobs));
	j = &cell.jobs[cell.jobs_len++];
	memset(j, 0, sizeof(*j));
	snprintf(j->id, sizeof(j->id), "%s", platform_json_str(body, "job"));
	j->count = (uint32_t)platform_json_int(body, "count", 1);
	j->total = (uint32_t)platform_json_int(body, "total", j->count);
	j->cpu = platform_json_int(body, "cpu", 1);
	j->mem = platform_json_int(body, "mem_mb", 1);
	j->lasting = platform_json_bool(body, "lasting");
	j->fill = platform_json_bool(body, "fill");
	snprintf(j->label, sizeof(j->label), "%s",
	    platform_json_str(body, "label") != NULL
		? platform_json_str(body, "label")
		: "");
	snprintf(j->spec, sizeof(j->spec), "%s",
	    platform_json_str(body, "spec"));
	j->down_since = agb_xcalloc(j->count, sizeof(uint64_t));
	j->missed_since = agb_xcalloc(j->count, sizeof(uint64_t));
	note("job %s: %" PRIu32 " tasks of cpu %" PRId64
	     ", mem_mb %" PRId64 "%s%s",
	    j->id, j->count, j->cpu, j->mem, j->lasting ? ", long_running" : "",
	    j->fill ? ", utilization" : "");
	reply(c, 200, "{}");
}

static void
answer_state(struct http_conn *c)
{
	unsigned i, runs = 0;

	for (i = 0; i < cell.runners_len; i++)
		runs += (unsigned)cell.runners[i].runs_len;
	reply(c, 200, "{\"starts\":%" PRIu64 ",\"running\":%u}", cell.starts,
	    runs);
}

static void write_manifest(int64_t version, const char *name);

static void
on_store(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct json_object *const body =
	    platform_json_parse(m->body, m->body_len);

	(void)arg;
	if (strcmp(m->path, "/test/job") == 0)
		add_job(c, body);
	else if (strcmp(m->path, "/test/manifest") == 0) {
		write_manifest(platform_json_int(body, "version", 2),
		    platform_json_str(body, "name"));
		reply(c, 200, "{}");
		answer_watchers();
	} else if (strcmp(m->path, "/test/finish") == 0)
		finish(c);
	else if (strcmp(m->path, "/test/state") == 0)
		answer_state(c);
	else if (strcmp(m->path, "/test/note") == 0) {
		note("%s", platform_json_str(body, "text"));
		reply(c, 200, "{}");
	} else if (strncmp(m->path, "/kv-key?", 8) == 0)
		answer_key(c, m->path);
	else if (strncmp(m->path, "/kv-range?", 10) == 0)
		answer_range(c, m->path);
	else if (strncmp(m->path, "/kv-watch?", 10) == 0)
		watch(c, m->path);
	else if (strcmp(m->path, "/kv-txn") == 0)
		txn(c, body);
	else if (strcmp(m->path, "/kv-lease") == 0)
		grant(c, body);
	else if (strncmp(m->path, "/kv-keep/", 9) == 0)
		renew(c, strtoll(m->path + 9, NULL, 10));
	else if (strncmp(m->path, "/kv-lease-end/", 14) == 0)
		revoke_lease(c, strtoll(m->path + 14, NULL, 10));
	else
		reply(c, 400, "{}");
	json_object_put(body);
}

static void
on_store_closed(void *arg, void *user_data)
{
	struct watcher *w;

	(void)arg;
	for (w = cell.watchers; w != NULL; w = w->next) {
		if (w != user_data)
			continue;
		DL_DELETE(cell.watchers, w);
		free(w);
		return;
	}
}

/* ---- runners ---- */

static int64_t
clock_of(const struct runner *r)
{
	return (int64_t)now_ms() + r->clock_base;
}

static void
add_end(struct end **list, size_t *len, const struct end *e)
{
	*list = agb_xreallocarray(*list, *len + 1, sizeof(**list));
	(*list)[(*len)++] = *e;
}

/* Whether two runs are of one gang: all but the index of the task is the same. */
static bool
same_gang(const struct run *a, const struct run *b)
{
	const size_t len = (size_t)(strrchr(a->task, '.') - a->task) + 1;

	return a->work == WORK_GANG && b->work == WORK_GANG &&
	    a->run_id == b->run_id && strncmp(a->task, b->task, len) == 0;
}

static uint32_t
index_of(const char *task)
{
	return (uint32_t)strtoul(strrchr(task, '.') + 1, NULL, 10);
}

static void
end_run(struct runner *r, size_t i, const char *how)
{
	const struct run run = r->runs[i];
	struct job *const j = job_of(&run);
	struct end e = {.run_id = run.run_id, .seq = ++r->seq, .how = how};
	unsigned k;
	size_t n;

	memcpy(e.task, run.task, sizeof(e.task));
	r->runs[i] = r->runs[--r->runs_len];
	add_end(&r->ends, &r->ends_len, &e);
	add_end(&r->ended, &r->ended_len, &e);
	note("%s ends %s run %" PRIu32 " %s", r->id, record_name(run.task),
	    run.run_id, how);
	if (j != NULL && j->lasting && index_of(run.task) < j->count)
		j->down_since[index_of(run.task)] = now_ms();
	if (j != NULL) {
		j->ends_done += strcmp(how, "done") == 0;
		j->ends_failed += strcmp(how, "failed") == 0;
	}
	if (strcmp(how, "done") == 0)
		return;
	for (k = 0; k < cell.runners_len; k++) {
		for (n = 0; n < cell.runners[k].runs_len; n++) {
			struct run *const m = &cell.runners[k].runs[n];

			if (!same_gang(m, &run))
				continue;
			m->waits = false;
			m->how = "broken";
			m->ends_ms = now_ms();
		}
	}
}

/* Tail of a task that serves. The tasks that fill beside it add 1% of it for
 * each 10% of their pace. */
static uint32_t
tail_of(const struct runner *r, const struct run *run)
{
	const uint64_t age = now_ms() - run->started_ms;
	double tail = age < (uint64_t)run->b ? (double)run->a : (double)run->c;
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (r->runs[i].work == WORK_FILL)
			tail += tail * 0.001 * r->runs[i].pace;
	}
	return (uint32_t)tail;
}

static unsigned
percent_of(const struct run *run)
{
	const uint64_t age = now_ms() - run->started_ms;
	uint64_t whole = run->ends_ms - run->started_ms;

	switch (run->work) {
	case WORK_LASTING:
		return age >= (uint64_t)run->a ? 100 : 0;
	case WORK_SERVE:
		return 100;
	case WORK_FILL:
		return (unsigned)(run->done_ms * 100 / (double)run->a);
	default:
		if (run->waits || whole == 0)
			return 0;
		return age * 100 / whole < 99 ? (unsigned)(age * 100 / whole)
					      : 99;
	}
}

static void
answer_lists(struct runner *r, struct http_conn *c)
{
	char *text;
	size_t len, i;
	FILE *f;

	f = open_memstream(&text, &len);
	fprintf(f,
	    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 ",\"active\":[",
	    clock_of(r), r->born_ms);
	for (i = 0; i < r->runs_len; i++) {
		const struct run *const run = &r->runs[i];

		fprintf(f, "%s[\"%s\",%" PRIu32 ",\"\",%u,%u]",
		    i > 0 ? "," : "", run->task, run->run_id, percent_of(run),
		    run->work == WORK_SERVE
			? (unsigned)tail_of(r, run)
			: (unsigned)(run->cpu * run->pace / 100));
	}
	fputs("],\"finished\":[", f);
	for (i = 0; i < r->ends_len && i < ENDS_PER_LIST; i++)
		fprintf(f,
		    "%s[%" PRIu64 ",\"%s\",%" PRIu32 ",\"%s\",\"\"]",
		    i > 0 ? "," : "", r->ends[i].seq, r->ends[i].task,
		    r->ends[i].run_id, r->ends[i].how);
	fputs("]}", f);
	fclose(f);
	http_reply(c, 200, text, len, 0);
	free(text);
}

static void
extend(struct runner *r, struct json_object *body)
{
	int64_t ms = platform_json_int(body, "deadline_ms", 0);

	if (ms == 0)
		return;
	ms -= clock_of(r);
	ms = ms > LEASE_MAX_MS ? LEASE_MAX_MS : ms;
	if (ms > 0 && now_ms() + (uint64_t)ms > r->lease_until)
		r->lease_until = now_ms() + (uint64_t)ms;
}

static void
read_spec(struct run *run, const char *spec)
{
	static const char *const words[] = {
	    "lasting", "serve", "fill", "batch", "gang"};
	char word[16];
	unsigned i;

	sscanf(spec,
	    "%15s %" SCNd64 " %" SCNd64 " %" SCNd64 " cpu %" SCNd64
	    " mem %" SCNd64,
	    word, &run->a, &run->b, &run->c, &run->cpu, &run->mem);
	for (i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
		if (strcmp(words[i], word) == 0)
			run->work = (enum work)i;
	}
	run->counts_cpu = run->work != WORK_FILL;
}

static void
complete_gang(const struct run *run)
{
	unsigned k, pass;
	int64_t n = 0;
	size_t i;

	for (pass = 0; pass < 2; pass++) {
		for (k = 0; k < cell.runners_len; k++) {
			for (i = 0; i < cell.runners[k].runs_len; i++) {
				struct run *const m = &cell.runners[k].runs[i];

				if (!same_gang(m, run))
					continue;
				n += pass == 0;
				if (pass == 0)
					continue;
				m->waits = false;
				m->started_ms = now_ms();
				m->ends_ms = now_ms() + (uint64_t)m->a;
			}
		}
		if (n < run->b)
			return;
	}
}

static void
begin_work(struct run *run)
{
	const uint64_t now = now_ms();

	run->started_ms = run->worked_at = now;
	run->pace = 100;
	run->how = "done";
	run->ends_ms = UINT64_MAX;
	if (run->work == WORK_BATCH) {
		run->ends_ms = now + (uint64_t)run->a;
	} else if (run->work == WORK_GANG) {
		run->waits = true;
		run->ends_ms = now;
	} else if (run->work == WORK_LASTING && run->c > 0) {
		run->how = "failed";
		run->ends_ms = now + (uint64_t)run->b +
		    (uint64_t)(rand() % (run->c - run->b + 1)); /* NOLINT */
	}
}

/* Notes a start of a task that runs, or has ended done, elsewhere. */
static void
check_twice(const struct runner *to, const struct run *run)
{
	const struct runner *r;
	unsigned k;
	size_t i;

	for (k = 0; k < cell.runners_len; k++) {
		r = &cell.runners[k];
		for (i = 0; i < r->runs_len; i++) {
			if (strcmp(r->runs[i].task, run->task) == 0)
				note("TWICE: %s run %" PRIu32 " starts on %s "
				     "while run %" PRIu32 " is on %s",
				    record_name(run->task), run->run_id, to->id,
				    r->runs[i].run_id, r->id);
		}
		for (i = 0; i < r->ended_len; i++) {
			if (strcmp(r->ended[i].task, run->task) == 0 &&
			    strcmp(r->ended[i].how, "done") == 0)
				note("TWICE: %s run %" PRIu32 " starts on %s "
				     "after run %" PRIu32 " was done on %s",
				    record_name(run->task), run->run_id, to->id,
				    r->ended[i].run_id, r->id);
		}
	}
}

/* Return: reason of a refusal, or NULL. */
static const char *
start(struct runner *r, struct json_object *body)
{
	struct run run = {0};
	struct job *j;
	size_t i;

	snprintf(
	    run.task, sizeof(run.task), "%s", platform_json_str(body, "task"));
	run.run_id = (uint32_t)platform_json_int(body, "run_id", 0);
	snprintf(
	    run.spec, sizeof(run.spec), "%s", platform_json_str(body, "spec"));
	read_spec(&run, run.spec);
	if (platform_json_int(body, "deadline_ms", 0) < clock_of(r))
		return "late";
	extend(r, body);
	for (i = 0; i < r->ended_len; i++) {
		if (strcmp(r->ended[i].task, run.task) == 0 &&
		    run.run_id <= r->ended[i].run_id)
			return "old";
	}
	for (i = 0; i < r->runs_len; i++) {
		if (strcmp(r->runs[i].task, run.task) == 0 &&
		    r->runs[i].run_id == run.run_id)
			return NULL;
	}
	check_twice(r, &run);
	begin_work(&run);
	r->runs = agb_xreallocarray(r->runs, r->runs_len + 1, sizeof(*r->runs));
	r->runs[r->runs_len++] = run;
	cell.starts++;
	j = job_of(&run);
	if (j != NULL)
		j->starts++;
	if (j != NULL && j->lasting && index_of(run.task) < j->count)
		j->down_since[index_of(run.task)] = 0;
	note("%s starts %s run %" PRIu32 " \"%s\"", r->id,
	    record_name(run.task), run.run_id, run.spec);
	if (run.work == WORK_GANG)
		complete_gang(&run);
	return NULL;
}

static void
stop(struct runner *r, struct json_object *body)
{
	const char *const task = platform_json_str(body, "task");
	struct end e = {.how = "stopped"};
	size_t i;

	e.run_id = (uint32_t)platform_json_int(body, "run_id", 0);
	snprintf(e.task, sizeof(e.task), "%s", task);
	for (i = 0; i < r->runs_len; i++) {
		if (strcmp(r->runs[i].task, task) != 0 ||
		    r->runs[i].run_id > e.run_id)
			continue;
		r->runs[i].how = "stopped";
		r->runs[i].waits = false;
		r->runs[i].ends_ms = now_ms() + KILL_GRACE_MS;
		return;
	}
	add_end(&r->ended, &r->ended_len, &e);
}

static void
pace(struct runner *r, struct json_object *body)
{
	const char *const task = platform_json_str(body, "task");
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (strcmp(r->runs[i].task, task) == 0)
			r->runs[i].pace = (uint32_t)platform_json_int(
			    body, "percent", 100);
	}
}

static void
observe(struct runner *r, uint64_t seq)
{
	size_t i, n = 0;

	for (i = 0; i < r->ends_len; i++) {
		if (r->ends[i].seq > seq)
			r->ends[n++] = r->ends[i];
	}
	r->ends_len = n;
}

static void
hold(struct runner *r, struct http_conn *c, struct json_object *body)
{
	const uint64_t wait = (uint64_t)platform_json_int(body, "wait_ms", 0);

	extend(r, body);
	observe(r, (uint64_t)platform_json_int(body, "observed", 0));
	if (wait == 0 || r->ends_len > 0 || r->hold != NULL) {
		answer_lists(r, c);
		return;
	}
	http_set_user_data(c, r);
	r->hold = c;
	r->hold_until = now_ms() + wait;
}

static void
on_runner(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct runner *const r = arg;
	struct json_object *const body =
	    platform_json_parse(m->body, m->body_len);
	const uint64_t fence =
	    (uint64_t)platform_json_int(body, "fence_token", 0);
	const char *reason = NULL;
	char id[64];

	http_get_header(m, "Expect-Instance", id, sizeof(id));
	if (id[0] != '\0' && strcmp(id, r->id) != 0) {
		reply(c, 421, "{}");
		json_object_put(body);
		return;
	}
	if (fence < r->fence)
		reason = "fence";
	else
		r->fence = fence;
	if (reason == NULL && strcmp(m->path, "/hold") == 0) {
		hold(r, c, body);
		json_object_put(body);
		return;
	}
	if (reason == NULL && strcmp(m->path, "/run-start") == 0)
		reason = start(r, body);
	else if (reason == NULL && strcmp(m->path, "/run-stop") == 0)
		stop(r, body);
	else if (reason == NULL && strcmp(m->path, "/pace") == 0)
		pace(r, body);
	if (reason != NULL)
		reply(c, 409,
		    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64
		    ",\"reason\":\"%s\"}",
		    clock_of(r), r->born_ms, reason);
	else
		reply(c, 200,
		    "{\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 "}",
		    clock_of(r), r->born_ms);
	json_object_put(body);
}

static void
on_runner_closed(void *arg, void *user_data)
{
	struct runner *const r = user_data;

	(void)arg;
	r->hold = NULL;
}

static void
beat(struct runner *r)
{
	char key[64], *text, *val;
	const unsigned index = (unsigned)(r - cell.runners);

	snprintf(key, sizeof(key), "servers/%s", r->id);
	text = agb_xasprintf(
	    "{\"service\":\"cell-jobs\",\"addr\":\"%s\",\"zone\":\"pier\","
	    "\"version\":\"1\",\"slots\":8,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"capacity\":{\"cpu\":%" PRId64
	    ",\"mem_mb\":%d,\"gpu\":0},\"labels\":[\"a\",\"r1-%u\"],"
	    "\"clock_ms\":%" PRId64 ",\"born\":%" PRId64 ",\"seq\":%" PRIu64
	    "}",
	    r->addr, cell.cpu, MEMORY_MB, index / RUNNERS_PER_RACK, clock_of(r),
	    r->born_ms, ++r->beat_seq);
	val = agb_b64_encode(text, strlen(text));
	cell.rev++;
	put_event(key, val, 0, false);
	free(val);
	free(text);
	r->beat_at = now_ms() + HEARTBEAT_MS;
}

static void
work_on(struct run *run, uint64_t now)
{
	if (run->work != WORK_FILL)
		return;
	run->done_ms += (double)(now - run->worked_at) * run->pace / 100;
	run->worked_at = now;
	if (run->done_ms >= (double)run->a && run->ends_ms == UINT64_MAX)
		run->ends_ms = now;
}

static void
tick_runner(struct runner *r)
{
	const uint64_t now = now_ms();
	struct http_conn *c;
	size_t i;

	for (i = r->runs_len; i > 0; i--) {
		struct run *const run = &r->runs[i - 1];

		work_on(run, now);
		if (now > r->lease_until)
			end_run(r, i - 1, "lapsed");
		else if (run->waits && now - run->started_ms > GANG_WAIT_MS)
			end_run(r, i - 1, "alone");
		else if (!run->waits && now >= run->ends_ms)
			end_run(r, i - 1, run->how);
	}
	if (r->hold != NULL && (r->ends_len > 0 || now >= r->hold_until)) {
		c = r->hold;
		r->hold = NULL;
		http_set_user_data(c, NULL);
		answer_lists(r, c);
	}
	if (now >= r->beat_at)
		beat(r);
}

static void
on_tick(uv_timer_t *t)
{
	unsigned i;
	size_t k;

	(void)t;
	for (i = 0; i < cell.runners_len; i++)
		tick_runner(&cell.runners[i]);
	for (k = 0; k < cell.jobs_len; k++) {
		watch_job(&cell.jobs[k]);
		watch_tasks(&cell.jobs[k]);
	}
	for (k = cell.leases_len; k > 0; k--) {
		if (now_ms() >= cell.leases[k - 1].until)
			end_lease(k - 1);
	}
	answer_watchers();
}

static void
write_manifest(int64_t version, const char *name)
{
	char *const text = agb_xasprintf(
	    "{\"version\":%" PRId64 ",\"routes\":[{\"name\":\"%s\","
	    "\"host\":\"jobs.example\",\"prefix\":\"/q/\",\"timeout_ms\":3000,"
	    "\"target_latency_ms\":1000,\"priority\":1,\"service\":"
	    "\"cell-jobs\",\"max_attempts\":4,\"slack_factor\":2},"
	    "{\"name\":\"cell-cuts\",\"host\":\"jobs.example\","
	    "\"prefix\":\"/cuts/\",\"timeout_ms\":3000,"
	    "\"target_latency_ms\":1000,\"priority\":1,\"service\":"
	    "\"cell-jobs\",\"max_attempts\":4,\"slack_factor\":2}],"
	    "\"services\":[{\"name\":\"cell-jobs\",\"enforces_capacity\":"
	    "false}],\"limits\":{\"max_body_bytes\":262144}}",
	    version, name);
	char *const val = agb_b64_encode(text, strlen(text));

	note("operator: manifest, version %" PRId64 ", the route /q/ is %s",
	    version, name);
	cell.rev++;
	put_event("op/config", val, 0, false);
	free(val);
	free(text);
}

static bool
listen_all(unsigned runners)
{
	struct timespec ts;
	struct runner *r;
	unsigned i;

	cell.store = http_server_new(
	    &cell.loop, "127.0.0.1:0", on_store, on_store_closed, NULL);
	if (cell.store == NULL)
		return false;
	clock_gettime(CLOCK_REALTIME, &ts);
	for (i = 0; i < runners; i++) {
		r = &cell.runners[i];
		snprintf(r->id, sizeof(r->id), "i-%02u", i);
		r->clock_base = 1000 + (int64_t)i * 7919;
		r->born_ms = (int64_t)ts.tv_sec * 1000 - 60000;
		r->beat_at = now_ms() + i * HEARTBEAT_MS / runners;
		r->http = http_server_new(
		    &cell.loop, "127.0.0.1:0", on_runner, on_runner_closed, r);
		if (r->http == NULL)
			return false;
		snprintf(r->addr, sizeof(r->addr), "%s",
		    http_server_addr(r->http));
		cell.runners_len++;
		beat(r);
	}
	return true;
}

int
main(int argc, char **argv)
{
	unsigned runners;

	if (argc != 4) {
		fprintf(stderr, "usage: cell RUNNERS CPU RECORD\n");
		return 2;
	}
	runners = (unsigned)strtoul(argv[1], NULL, 10);
	cell.cpu = strtoll(argv[2], NULL, 10);
	cell.record = fopen(argv[3], "w");
	cell.rev = 1;
	cell.begun_ms = now_ms();
	srand(1);
	uv_loop_init(&cell.loop);
	if (cell.record == NULL || runners > RUNNERS_MAX ||
	    !listen_all(runners)) {
		fprintf(stderr, "cell: cannot start\n");
		return 2;
	}
	write_manifest(1, "cell-queue");
	uv_timer_init(&cell.loop, &cell.tick);
	uv_timer_start(&cell.tick, on_tick, TICK_MS, TICK_MS);
	printf("%s\n", http_server_addr(cell.store));
	fflush(stdout);
	uv_run(&cell.loop, UV_RUN_DEFAULT);
	return 0;
}

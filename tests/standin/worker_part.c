#include "worker_part.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "http_part.h"
#include "httpc.h"
#include "mem.h"
#include "types.h"

#define TICK_MS 20
#define HISTORY_BYTES_MAX ((size_t)64 * 1024 * 1024)
#define ATTEMPT_LEN 34
/* Wire form of an exit that was asked for. */
#define EXIT_STOPPED (-1)

struct task {
	struct worker *w;
	uv_timer_t timer;
	struct task *next;
	agb_id id;
	char attempt[ATTEMPT_LEN];
	int64_t cpu_milli, mem_mb, accel;
	int64_t use_percent;
	int exit;
	bool stop_isolated;
	uint64_t autonomy_ms;
};

/* A request on the runner; goes on when its caller has gone. */
struct request {
	struct worker *w;
	uv_timer_t timer;
	struct request *next;
	struct http_conn *conn;
	char attempt[ATTEMPT_LEN];
	char *answer;
	bool ended; /* its slot is free; the answer is delayed or held */
};

/* An attempt that has started or never will. */
struct seen {
	char attempt[ATTEMPT_LEN];
	bool started;
	UT_hash_handle hh;
};

struct worker_event {
	struct worker_event *next;
	uint64_t seq;
	struct json_object *json;
};

struct faults {
	bool fail_all, leaving, silent;
	int truncate, swap_answers, wrong_attempt, delay_answer_ms;
};

struct worker {
	uv_loop_t *loop;
	struct http_server *agent, *runner;
	struct agb_httpc *httpc;
	uv_timer_t tick;
	char *name, *platform, *region, *domain, *rack, *service;
	int64_t cpu_milli, mem_mb, accel;
	int slots, connections;
	char boot[32];
	uint64_t epoch, seq, until_ms, registered_ms, violations;
	bool has_session;
	struct task *tasks;
	struct request *requests;
	struct request *held; /* its answer waits to be swapped */
	int requests_len;
	struct seen *seen;
	struct worker_event *events;
	struct http_conn *waiting; /* a renewal that waits for news */
	uint64_t waiting_until_ms;
	uint64_t usage_every_ms, usage_at_ms; /* 0: none was sent yet */
	struct faults f;
	char *history;
	size_t history_len, history_cap;
};

static void
note(struct worker *w, const char *what, const char *id, const char *attempt,
    const char *result)
{
	char line[512];
	int n;

	n = snprintf(line, sizeof(line),
	    "{\"t_ms\":%llu,\"worker\":\"%s\",\"what\":\"%s\",\"id\":\"%s\","
	    "\"attempt\":\"%s\",\"result\":\"%s\"}\n",
	    (unsigned long long)uv_now(w->loop), w->name, what, id, attempt,
	    result);
	if (n < 0 || (size_t)n >= sizeof(line) ||
	    w->history_len + (size_t)n > HISTORY_BYTES_MAX)
		return;
	if (w->history_len + (size_t)n + 1 > w->history_cap) {
		w->history_cap = w->history_cap * 2 + sizeof(line);
		w->history = agb_xreallocarray(w->history, w->history_cap, 1);
	}
	memcpy(w->history + w->history_len, line, (size_t)n + 1);
	w->history_len += (size_t)n;
}

static struct seen *
seen_find(const struct worker *w, const char *attempt)
{
	struct seen *s;

	HASH_FIND_STR(w->seen, attempt, s);
	return s;
}

/* Return: false when the attempt was known before. */
static bool
see(struct worker *w, const char *attempt, bool started)
{
	struct seen *s;

	if (seen_find(w, attempt) != NULL)
		return false;
	s = agb_xcalloc(1, sizeof(*s));
	agb_str_copy(s->attempt, sizeof(s->attempt), attempt);
	s->started = started;
	HASH_ADD_STR(w->seen, attempt, s);
	return true;
}

static int64_t
get_int(struct json_object *o, const char *key, int64_t absent)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_int64(v)
						     : absent;
}

static const char *
get_str(struct json_object *o, const char *key)
{
	struct json_object *v;
	const char *s = NULL;

	if (json_object_object_get_ex(o, key, &v))
		s = json_object_get_string(v);
	return s != NULL ? s : "";
}

static void
add_str(struct json_object *o, const char *key, const char *s)
{
	json_object_object_add(o, key, json_object_new_string(s));
}

static void
add_int(struct json_object *o, const char *key, int64_t n)
{
	json_object_object_add(o, key, json_object_new_int64(n));
}

/* Takes over @o. */
static void
reply(struct http_conn *c, int status, struct json_object *o)
{
	const char *text;
	size_t len;

	text =
	    json_object_to_json_string_length(o, JSON_C_TO_STRING_PLAIN, &len);
	http_reply(c, status, text, len, 0);
	json_object_put(o);
}

static void
reply_epoch(struct http_conn *c, const struct worker *w)
{
	struct json_object *const o = json_object_new_object();

	add_int(o, "epoch", (int64_t)w->epoch);
	reply(c, 409, o);
}

static struct json_object *
slots_json(const struct worker *w, bool plain)
{
	struct json_object *const a = json_object_new_array();
	struct json_object *o;
	const struct request *r;

	for (r = w->requests; r != NULL; r = r->next) {
		if (r->ended)
			continue;
		if (plain) {
			o = json_object_new_string(r->attempt);
		} else {
			o = json_object_new_object();
			add_str(o, "attempt", r->attempt);
		}
		json_object_array_add(a, o);
	}
	return a;
}

static struct json_object *
tasks_json(const struct worker *w)
{
	struct json_object *const a = json_object_new_array();
	struct json_object *o;
	const struct task *t;

	for (t = w->tasks; t != NULL; t = t->next) {
		o = json_object_new_object();
		add_str(o, "task", t->id);
		add_str(o, "attempt", t->attempt);
		add_str(o, "state", "running");
		add_int(o, "cpu_milli", t->cpu_milli);
		add_int(o, "mem_mb", t->mem_mb);
		add_int(o, "accel", t->accel);
		json_object_array_add(a, o);
	}
	return a;
}

static struct json_object *
usage_json(const struct worker *w)
{
	struct json_object *const a = json_object_new_array();
	struct json_object *o;
	const struct task *t;

	for (t = w->tasks; t != NULL; t = t->next) {
		o = json_object_new_object();
		add_str(o, "task", t->id);
		add_int(o, "cpu_milli", t->cpu_milli * t->use_percent / 100);
		add_int(o, "mem_mb", t->mem_mb * t->use_percent / 100);
		json_object_array_add(a, o);
	}
	return a;
}

static void
answer_waiting(struct worker *w)
{
	struct http_conn *const c = w->waiting;
	struct json_object *const o = json_object_new_object();
	struct json_object *const a = json_object_new_array();
	const struct worker_event *e;

	for (e = w->events; e != NULL; e = e->next)
		json_object_array_add(a, json_object_get(e->json));
	add_int(o, "seq", (int64_t)w->seq);
	json_object_object_add(o, "events", a);
	if (w->usage_at_ms == 0 ||
	    uv_now(w->loop) >= w->usage_at_ms + w->usage_every_ms) {
		json_object_object_add(o, "usage", usage_json(w));
		if (w->tasks != NULL)
			w->usage_at_ms = uv_now(w->loop);
	} else {
		json_object_object_add(o, "usage", json_object_new_array());
	}
	json_object_object_add(o, "slots", slots_json(w, true));
	json_object_object_add(
	    o, "leaving", json_object_new_boolean(w->f.leaving));
	w->waiting = NULL;
	http_set_user(c, NULL);
	reply(c, 200, o);
}

static void
raise_event(struct worker *w, const struct task *t, const char *kind,
    const char *result)
{
	struct worker_event *const e = agb_xcalloc(1, sizeof(*e));
	struct worker_event **p;

	e->seq = ++w->seq;
	e->json = json_object_new_object();
	add_int(e->json, "seq", (int64_t)e->seq);
	add_str(e->json, "task", t->id);
	add_str(e->json, "attempt", t->attempt);
	add_str(e->json, "kind", kind);
	add_int(e->json, "exit", t->exit);
	add_str(e->json, "result", result);
	for (p = &w->events; *p != NULL; p = &(*p)->next)
		;
	*p = e;
	if (w->waiting != NULL)
		answer_waiting(w);
}

static void
task_closed(uv_handle_t *h)
{
	free(h->data);
}

static void
task_end(struct task *t, const char *kind, const char *result)
{
	struct worker *const w = t->w;
	struct task **p;

	for (p = &w->tasks; *p != t; p = &(*p)->next)
		;
	*p = t->next;
	note(w, "task-end", t->id, t->attempt, result);
	raise_event(w, t, kind, result);
	uv_close((uv_handle_t *)&t->timer, task_closed);
}

static void
on_task_timer(uv_timer_t *h)
{
	struct task *const t = h->data;

	task_end(t, "ended", t->exit == 0 ? "ok" : "failed");
}

static struct task *
task_find(const struct worker *w, const char *id)
{
	struct task *t;

	for (t = w->tasks; t != NULL && strcmp(t->id, id) != 0; t = t->next)
		;
	return t;
}

static bool
capacity_left(const struct worker *w, const struct task *new)
{
	int64_t cpu = w->cpu_milli - new->cpu_milli;
	int64_t mem = w->mem_mb - new->mem_mb;
	int64_t accel = w->accel - new->accel;
	const struct task *t;

	for (t = w->tasks; t != NULL; t = t->next) {
		cpu -= t->cpu_milli;
		mem -= t->mem_mb;
		accel -= t->accel;
	}
	return cpu >= 0 && mem >= 0 && accel >= 0;
}

static void
task_run(struct worker *w, struct task *t, struct json_object *c)
{
	struct json_object *args = NULL;
	int64_t ms;

	(void)json_object_object_get_ex(c, "args", &args);
	t->use_percent = get_int(args, "use_percent", 100);
	t->exit = w->f.fail_all ? 1 : (int)get_int(args, "exit", 0);
	ms = get_int(args, "ms", get_int(c, "run_ms", 0));
	t->next = w->tasks;
	w->tasks = t;
	uv_timer_init(w->loop, &t->timer);
	t->timer.data = t;
	note(w, "task-start", t->id, t->attempt, "");
	raise_event(w, t, "started", "");
	if (w->f.fail_all)
		ms = 1;
	if (ms > 0)
		uv_timer_start(&t->timer, on_task_timer, (uint64_t)ms, 0);
}

/* Return: NULL when taken, else the reason. */
static const char *
start(struct worker *w, struct json_object *c)
{
	const char *const id = get_str(c, "task");
	const char *const attempt = get_str(c, "attempt");
	const struct seen *const seen = seen_find(w, attempt);
	struct task *t;

	/* Repeated: it runs or its end has been reported. */
	if (seen != NULL)
		return seen->started ? NULL : "stopped before its start";
	t = task_find(w, id);
	if (t != NULL) {
		w->violations++;
		return "runs under another attempt";
	}
	if (w->f.leaving)
		return "leaving";
	t = agb_xcalloc(1, sizeof(*t));
	t->w = w;
	agb_str_copy(t->id, sizeof(t->id), id);
	agb_str_copy(t->attempt, sizeof(t->attempt), attempt);
	t->cpu_milli = get_int(c, "cpu_milli", 0);
	t->mem_mb = get_int(c, "mem_mb", 0);
	t->accel = get_int(c, "accel", 0);
	t->stop_isolated = strcmp(get_str(c, "on_isolation"), "stop") == 0;
	t->autonomy_ms = (uint64_t)get_int(c, "autonomy_ms", 0);
	if (!capacity_left(w, t)) {
		free(t);
		w->violations++;
		return "capacity";
	}
	see(w, attempt, true);
	task_run(w, t, c);
	return NULL;
}

static const char *
stop(struct worker *w, struct json_object *c, const char *kind)
{
	const char *const attempt = get_str(c, "attempt");
	struct task *const t = task_find(w, get_str(c, "task"));

	if (t == NULL || strcmp(t->attempt, attempt) != 0) {
		/* A start that comes later must not run. */
		return see(w, attempt, false) ? "not running" : NULL;
	}
	t->exit = EXIT_STOPPED;
	task_end(
	    t, kind, strcmp(kind, "ended") == 0 ? "stopped" : "checkpointed");
	return NULL;
}

static const char *
throttle(struct worker *w, struct json_object *c)
{
	struct task *const t = task_find(w, get_str(c, "task"));

	if (t == NULL || strcmp(t->attempt, get_str(c, "attempt")) != 0)
		return "not running";
	t->cpu_milli = get_int(c, "cpu_milli", t->cpu_milli);
	return NULL;
}

static bool
is_busy(const struct worker *w, const char *attempt)
{
	const struct request *r;

	for (r = w->requests; r != NULL; r = r->next) {
		if (!r->ended && strcmp(r->attempt, attempt) == 0)
			return true;
	}
	return false;
}

static struct json_object *
command(struct worker *w, struct json_object *c)
{
	struct json_object *const o = json_object_new_object();
	const char *const kind = get_str(c, "kind");
	const char *no;
	bool busy;

	busy = false;
	if (strcmp(kind, "start") == 0)
		no = start(w, c);
	else if (strcmp(kind, "stop") == 0)
		no = stop(w, c, "ended");
	else if (strcmp(kind, "checkpoint") == 0)
		no = stop(w, c, "checkpointed");
	else if (strcmp(kind, "throttle") == 0)
		no = throttle(w, c);
	else if (strcmp(kind, "revoke") == 0) {
		busy = is_busy(w, get_str(c, "attempt"));
		see(w, get_str(c, "attempt"), false);
		no = NULL;
	} else
		no = "unknown command";
	add_str(o, "task", get_str(c, "task"));
	add_str(o, "attempt", get_str(c, "attempt"));
	json_object_object_add(o, "ok", json_object_new_boolean(no == NULL));
	json_object_object_add(o, "busy", json_object_new_boolean(busy));
	add_str(o, "reason", no != NULL ? no : "");
	return o;
}

static void
do_session(struct worker *w, struct http_conn *c, struct json_object *q)
{
	const uint64_t epoch = (uint64_t)get_int(q, "epoch", 0);
	struct json_object *o;

	if (epoch == 0 || epoch < w->epoch) {
		reply_epoch(c, w);
		return;
	}
	if (epoch > w->epoch && w->waiting != NULL) {
		struct http_conn *const old = w->waiting;

		w->waiting = NULL;
		http_set_user(old, NULL);
		w->epoch = epoch;
		reply_epoch(old, w);
	}
	w->epoch = epoch;
	w->usage_at_ms = 0; /* the new owner knows no usage yet */
	w->has_session = true;
	w->until_ms = uv_now(w->loop) + (uint64_t)get_int(q, "ttl_ms", 10000);
	o = json_object_new_object();
	add_int(o, "epoch", (int64_t)w->epoch);
	add_str(o, "boot", w->boot);
	json_object_object_add(
	    o, "leaving", json_object_new_boolean(w->f.leaving));
	json_object_object_add(o, "tasks", tasks_json(w));
	json_object_object_add(o, "slots", slots_json(w, false));
	add_int(o, "seq", (int64_t)w->seq);
	reply(c, 200, o);
}

/* A message that names an earlier boot was sent before the restart. */
static bool
same_boot(const struct worker *w, struct json_object *q)
{
	struct json_object *boot;

	return !json_object_object_get_ex(q, "boot", &boot) ||
	    strcmp(json_object_get_string(boot), w->boot) == 0;
}

static void
do_renew(struct worker *w, struct http_conn *c, struct json_object *q)
{
	const uint64_t after = (uint64_t)get_int(q, "after", 0);
	struct worker_event *e;

	if ((uint64_t)get_int(q, "epoch", 0) != w->epoch || !same_boot(w, q)) {
		reply_epoch(c, w);
		return;
	}
	if (w->waiting != NULL)
		answer_waiting(w);
	w->until_ms = uv_now(w->loop) + (uint64_t)get_int(q, "ttl_ms", 10000);
	while ((e = w->events) != NULL && e->seq <= after) {
		w->events = e->next;
		json_object_put(e->json);
		free(e);
	}
	w->waiting = c;
	w->usage_every_ms = (uint64_t)get_int(q, "usage_ms", 0);
	w->waiting_until_ms =
	    uv_now(w->loop) + (uint64_t)get_int(q, "wait_ms", 0);
	http_set_user(c, c);
	if (w->events != NULL || w->f.leaving ||
	    w->waiting_until_ms <= uv_now(w->loop))
		answer_waiting(w);
}

static void
do_commands(struct worker *w, struct http_conn *c, struct json_object *q)
{
	struct json_object *list, *o, *a;
	size_t i;

	if ((uint64_t)get_int(q, "epoch", 0) != w->epoch || !same_boot(w, q)) {
		reply_epoch(c, w);
		return;
	}
	a = json_object_new_array();
	if (json_object_object_get_ex(q, "commands", &list)) {
		for (i = 0; i < json_object_array_length(list); i++)
			json_object_array_add(
			    a, command(w, json_object_array_get_idx(list, i)));
	}
	o = json_object_new_object();
	json_object_object_add(o, "results", a);
	reply(c, 200, o);
}

bool
worker_fault(struct worker *w, const char *json)
{
	struct json_object *const q = json_tokener_parse(json);
	struct faults *const f = &w->f;

	if (!json_object_is_type(q, json_type_object)) {
		json_object_put(q);
		return false;
	}
	f->fail_all = get_int(q, "fail_all", f->fail_all);
	f->leaving = get_int(q, "leaving", f->leaving);
	f->silent = get_int(q, "silent", f->silent);
	f->truncate = (int)get_int(q, "truncate", f->truncate);
	f->swap_answers = (int)get_int(q, "swap_answers", f->swap_answers);
	f->wrong_attempt = (int)get_int(q, "wrong_attempt", f->wrong_attempt);
	f->delay_answer_ms =
	    (int)get_int(q, "delay_answer_ms", f->delay_answer_ms);
	w->registered_ms = 0;
	if (f->leaving && w->waiting != NULL)
		answer_waiting(w);
	json_object_put(q);
	return true;
}

static bool
do_standin(struct worker *w, struct http_conn *c, const struct http_msg *m)
{
	struct json_object *o;

	if (strcmp(m->path, "/standin/faults") == 0) {
		char *const text = agb_xmemdup(m->body, m->body_len);
		const bool ok = worker_fault(w, text);

		free(text);
		http_reply(c, ok ? 200 : 400, "{}", 2, 0);
	} else if (strcmp(m->path, "/standin/history") == 0) {
		http_reply(c, 200, worker_history(w), w->history_len, 0);
	} else if (strcmp(m->path, "/standin/state") == 0) {
		o = json_object_new_object();
		add_int(o, "violations", (int64_t)w->violations);
		add_int(o, "epoch", (int64_t)w->epoch);
		json_object_object_add(o, "tasks", tasks_json(w));
		json_object_object_add(o, "slots", slots_json(w, true));
		reply(c, 200, o);
	} else
		return false;
	return true;
}

static void
on_agent(void *arg, struct http_conn *c, const struct http_msg *m)
{
	struct worker *const w = arg;
	struct json_object *q;
	char *text;

	if (do_standin(w, c, m) || w->f.silent)
		return;
	text = agb_xmemdup(m->body, m->body_len);
	q = json_tokener_parse(text);
	free(text);
	if (!json_object_is_type(q, json_type_object))
		http_reply(c, 400, "{}", 2, 0);
	else if (strcmp(m->path, "/v1/session") == 0)
		do_session(w, c, q);
	else if (strcmp(m->path, "/v1/renew") == 0)
		do_renew(w, c, q);
	else if (strcmp(m->path, "/v1/commands") == 0)
		do_commands(w, c, q);
	else
		http_reply(c, 404, "{}", 2, 0);
	json_object_put(q);
}

static void
on_agent_closed(void *arg, void *user)
{
	struct worker *const w = arg;

	if (w->waiting == user)
		w->waiting = NULL;
}

static void
request_closed(uv_handle_t *h)
{
	struct request *const r = h->data;

	free(r->answer);
	free(r);
}

static void
send_answer(struct worker *w, struct http_conn *c, const char *text)
{
	size_t len = strlen(text);

	if (c == NULL)
		return;
	http_set_user(c, NULL);
	if (w->f.truncate > 0) {
		w->f.truncate--;
		http_raw(c, text, len - 4);
		http_close(c);
		return;
	}
	http_raw(c, text, len);
	http_done(c);
}

static void
request_free(struct request *r)
{
	struct request **p;

	for (p = &r->w->requests; *p != r; p = &(*p)->next)
		;
	*p = r->next;
	uv_close((uv_handle_t *)&r->timer, request_closed);
}

static void
request_send(struct request *r)
{
	struct worker *const w = r->w;
	struct request *const other = w->held;

	if (w->f.swap_answers > 0 && other == NULL) {
		w->held = r;
		return;
	}
	if (other != NULL) {
		w->held = NULL;
		w->f.swap_answers =
		    w->f.swap_answers > 2 ? w->f.swap_answers - 2 : 0;
		send_answer(w, r->conn, other->answer);
		send_answer(w, other->conn, r->answer);
		request_free(other);
	} else
		send_answer(w, r->conn, r->answer);
	request_free(r);
}

static void
on_answer_timer(uv_timer_t *h)
{
	request_send(h->data);
}

static void
on_request_timer(uv_timer_t *h)
{
	struct request *const r = h->data;
	struct worker *const w = r->w;

	r->ended = true;
	w->requests_len--;
	note(w, "request-end", r->attempt, r->attempt, "ok");
	if (w->f.delay_answer_ms > 0)
		uv_timer_start(&r->timer, on_answer_timer,
		    (uint64_t)w->f.delay_answer_ms, 0);
	else
		request_send(r);
}

/* Also reached for a request whose answer is held or delayed. */
static void
on_runner_closed(void *arg, void *user)
{
	struct request *const r = user;

	r->conn = NULL;
}

static void
refuse(struct http_conn *c, const char *attempt, const char *why)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 503 Service Unavailable\r\nAgatebeam-Outcome: not-run"
	    "\r\nAgatebeam-Attempt: %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n{\"reason\":\"%s\"}",
	    attempt, strlen(why) + 13, why);
	http_raw(c, text, strlen(text));
	http_done(c);
}

static uint64_t
request_ms(const struct http_msg *m, const char *body)
{
	const char *const q = strstr(m->path, "ms=");
	struct json_object *o;
	int64_t ms;

	if (q != NULL)
		return strtoul(q + 3, NULL, 10);
	o = json_tokener_parse(body);
	ms = json_object_is_type(o, json_type_object) ? get_int(o, "ms", 0) : 0;
	json_object_put(o);
	return ms > 0 ? (uint64_t)ms : 0;
}

static char *
answer_text(
    struct worker *w, const char *attempt, const char *path, const char *body)
{
	struct json_object *const o = json_object_new_object();
	char echo[ATTEMPT_LEN], *text;
	const char *json;

	agb_str_copy(echo, sizeof(echo), attempt);
	if (w->f.wrong_attempt > 0) {
		w->f.wrong_attempt--;
		echo[ATTEMPT_LEN - 2] =
		    echo[ATTEMPT_LEN - 2] == '0' ? '1' : '0';
	}
	add_str(o, "worker", w->name);
	add_str(o, "attempt", attempt);
	add_str(o, "path", path);
	add_str(o, "body", body);
	json = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	text = agb_xasprintf("HTTP/1.1 %s\r\nAgatebeam-Attempt: %s\r\n"
			     "Content-Type: application/json\r\n"
			     "Content-Length: %zu\r\n\r\n%s",
	    w->f.fail_all ? "500 Internal Server Error" : "200 OK", echo,
	    strlen(json), json);
	json_object_put(o);
	return text;
}

static const char *
why_refused(struct worker *w, const char *attempt, const char *epoch)
{
	if (strlen(attempt) != ATTEMPT_LEN - 1 || strlen(epoch) != 16 ||
	    strncmp(attempt, epoch, 16) != 0)
		return "no valid attempt and epoch";
	if (strtoull(epoch, NULL, 16) < w->epoch)
		return "stale epoch";
	if (w->f.leaving)
		return "leaving";
	if (w->requests_len >= w->slots) {
		w->violations++;
		return "no slot";
	}
	return see(w, attempt, true) ? NULL : "attempt seen or revoked";
}

static void
on_runner(void *arg, struct http_conn *c, const struct http_msg *m)
{
	struct worker *const w = arg;
	char attempt[64], epoch[32], *body;
	struct request *r;
	const char *no;

	if (w->f.silent)
		return;
	http_header(m, "agatebeam-attempt", attempt, sizeof(attempt));
	http_header(m, "agatebeam-epoch", epoch, sizeof(epoch));
	no = why_refused(w, attempt, epoch);
	if (no != NULL) {
		refuse(c, attempt, no);
		return;
	}
	r = agb_xcalloc(1, sizeof(*r));
	r->w = w;
	r->conn = c;
	http_set_user(c, r);
	agb_str_copy(r->attempt, sizeof(r->attempt), attempt);
	body = agb_xmemdup(m->body, m->body_len);
	r->answer = answer_text(w, attempt, m->path, body);
	r->next = w->requests;
	w->requests = r;
	w->requests_len++;
	note(w, "request-start", attempt, attempt, "");
	uv_timer_init(w->loop, &r->timer);
	r->timer.data = r;
	uv_timer_start(&r->timer, on_request_timer, request_ms(m, body), 0);
	free(body);
}

static void
on_registered(void *arg, const struct agb_httpc_res *res)
{
}

static void
do_register(struct worker *w)
{
	struct json_object *const o = json_object_new_object();
	struct agb_httpc_req req = {
	    .addr = w->platform,
	    .method = "POST",
	    .path = "/platform/instances",
	    .timeout_ms = WORKER_REGISTER_MS,
	    .cb = on_registered,
	};

	add_str(o, "id", w->name);
	add_str(o, "kind", "worker");
	add_str(o, "region", w->region);
	add_str(o, "domain", w->domain);
	add_str(o, "rack", w->rack);
	add_str(o, "address", http_server_addr(w->agent));
	add_str(o, "runner",
	    w->service[0] != '\0' ? http_server_addr(w->runner) : "");
	add_str(o, "service", w->service);
	add_int(o, "slots", w->slots);
	add_int(o, "connections", w->connections);
	add_int(o, "cpu_milli", w->cpu_milli);
	add_int(o, "mem_mb", w->mem_mb);
	add_int(o, "accel", w->accel);
	add_str(o, "state", w->f.leaving ? "leaving" : "live");
	add_int(o, "ttl_ms", WORKER_TTL_MS);
	req.body = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	req.body_len = strlen(req.body);
	(void)agb_httpc_request(w->httpc, &req);
	json_object_put(o);
}

static void
stop_isolated(struct worker *w, uint64_t now)
{
	struct task *t, *next;

	for (t = w->tasks; t != NULL; t = next) {
		next = t->next;
		if (!t->stop_isolated || now - w->until_ms < t->autonomy_ms)
			continue;
		t->exit = EXIT_STOPPED;
		task_end(t, "ended", "isolated");
	}
}

static void
on_tick(uv_timer_t *h)
{
	struct worker *const w = h->data;
	const uint64_t now = uv_now(w->loop);

	if (w->waiting != NULL && now >= w->waiting_until_ms)
		answer_waiting(w);
	if (w->has_session && now > w->until_ms)
		stop_isolated(w, now);
	if (w->platform[0] != '\0' && !w->f.silent &&
	    (w->registered_ms == 0 ||
		now - w->registered_ms >= WORKER_REGISTER_MS)) {
		w->registered_ms = now;
		do_register(w);
	}
}

struct worker *
worker_new(uv_loop_t *loop, const struct worker_opts *o)
{
	struct worker *const w = agb_xcalloc(1, sizeof(*w));
	char addr[64];

	w->loop = loop;
	w->name = agb_xstrdup(o->name);
	w->platform = agb_xstrdup(o->platform);
	w->region = agb_xstrdup(o->region);
	w->domain = agb_xstrdup(o->domain);
	w->rack = agb_xstrdup(o->rack);
	w->service = agb_xstrdup(o->service);
	w->cpu_milli = o->cpu_milli;
	w->mem_mb = o->mem_mb;
	w->accel = o->accel;
	w->slots = o->slots;
	w->connections = o->connections;
	snprintf(
	    w->boot, sizeof(w->boot), "%llx", (unsigned long long)uv_hrtime());
	w->httpc = agb_httpc_new(loop, 1);
	uv_timer_init(loop, &w->tick);
	w->tick.data = w;
	uv_timer_start(&w->tick, on_tick, 0, TICK_MS);
	snprintf(addr, sizeof(addr), "%s:%d", o->listen, o->port);
	w->agent = http_server_new(loop, addr, on_agent, on_agent_closed, w);
	snprintf(addr, sizeof(addr), "%s:%d", o->listen,
	    o->port > 0 ? o->port + 1 : 0);
	w->runner = http_server_new(loop, addr, on_runner, on_runner_closed, w);
	if (w->agent == NULL || w->runner == NULL) {
		worker_free(w);
		return NULL;
	}
	http_server_limit(w->runner, o->connections);
	return w;
}

const char *
worker_agent_addr(const struct worker *w)
{
	return http_server_addr(w->agent);
}

const char *
worker_runner_addr(const struct worker *w)
{
	return http_server_addr(w->runner);
}

const char *
worker_history(struct worker *w)
{
	return w->history != NULL ? w->history : "";
}

uint64_t
worker_violations(const struct worker *w)
{
	return w->violations;
}

static void
on_tick_closed(uv_handle_t *h)
{
	struct worker *const w = h->data;

	free(w->name);
	free(w->platform);
	free(w->region);
	free(w->domain);
	free(w->rack);
	free(w->service);
	free(w->history);
	free(w);
}

void
worker_free(struct worker *w)
{
	struct worker_event *e;
	struct seen *s, *next;
	struct request *r;
	struct task *t;

	if (w->agent != NULL)
		http_server_free(w->agent);
	if (w->runner != NULL)
		http_server_free(w->runner);
	agb_httpc_free(w->httpc);
	while ((t = w->tasks) != NULL) {
		w->tasks = t->next;
		uv_close((uv_handle_t *)&t->timer, task_closed);
	}
	while ((r = w->requests) != NULL) {
		w->requests = r->next;
		uv_close((uv_handle_t *)&r->timer, request_closed);
	}
	while ((e = w->events) != NULL) {
		w->events = e->next;
		json_object_put(e->json);
		free(e);
	}
	s = w->seen;
	HASH_CLEAR(hh, w->seen);
	for (; s != NULL; s = next) {
		next = s->hh.next;
		free(s);
	}
	uv_close((uv_handle_t *)&w->tick, on_tick_closed);
}

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
/* Later history lines are dropped. */
#define HISTORY_BYTES_MAX ((size_t)64 * 1024 * 1024)
/* Size of an attempt id with its NUL byte; the id starts with the epoch. */
#define ATTEMPT_SIZE 34
/* Exit code of a task stopped by a command or after its session expired. */
#define EXIT_STOPPED (-1)

struct task {
	struct worker *w;
	uv_timer_t timer;
	struct task *next;
	agb_id id;
	char attempt[ATTEMPT_SIZE];
	int64_t cpu_milli, mem_mb, accel;
	int64_t usage_percent;
	int exit_code;
	bool stop_isolated;   /* stop when the session has expired */
	uint64_t autonomy_ms; /* time that it may run on without a session */
};

/*
 * A request on the runner. It runs to its end even when the client has closed
 * the connection; conn is NULL then.
 */
struct request {
	struct worker *w;
	uv_timer_t timer;
	struct request *next;
	struct http_conn *conn;
	char attempt[ATTEMPT_SIZE];
	char *response;
	bool slot_released; /* done; the response is delayed or swap_pending */
};

/* An attempt that has started, or that was stopped or revoked before. */
struct attempt_record {
	char attempt[ATTEMPT_SIZE];
	bool started;
	UT_hash_handle hh;
};

/* A task event that the session's owner has not acknowledged yet. */
struct worker_event {
	struct worker_event *next;
	uint64_t seq;
	struct json_object *json;
};

/* Injected faults, see worker_part.h; the counters count down. */
struct worker_faults {
	bool fail_all, leaving, silent;
	int responses_to_truncate, responses_to_swap, wrong_attempts;
	int response_delay_ms;
};

struct worker {
	uv_loop_t *loop;
	struct http_server *agent, *runner;
	struct agb_httpc *httpc;
	uv_timer_t tick;
	char *name, *platform, *region, *domain, *rack, *service;
	int64_t cpu_milli, mem_mb, accel;
	int slots, connections;
	char boot_id[32];
	uint64_t epoch; /* of the current session; lower ones are refused */
	uint64_t event_seq, session_expires_ms, registered_at_ms, violations;
	bool has_session;
	struct task *tasks;
	struct request *requests;
	/* Finished; waits for a second request to exchange responses with. */
	struct request *swap_pending;
	int requests_active;
	struct attempt_record *attempts;
	struct worker_event *events;
	struct http_conn *renewal_conn; /* long poll that waits for an event */
	uint64_t renewal_deadline_ms;
	uint64_t usage_interval_ms, usage_sent_at_ms; /* 0: not sent yet */
	struct worker_faults faults;
	char *history;
	size_t history_len, history_cap;
};

/* Adds a line to the text of GET /standin/history. */
static void
history_append(struct worker *w, const char *what, const char *id,
    const char *attempt, const char *result)
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

static struct attempt_record *
attempt_find(const struct worker *w, const char *attempt)
{
	struct attempt_record *s;

	HASH_FIND_STR(w->attempts, attempt, s);
	return s;
}

/* Return: false when the attempt has been recorded before. */
static bool
attempt_record_add(struct worker *w, const char *attempt, bool started)
{
	struct attempt_record *s;

	if (attempt_find(w, attempt) != NULL)
		return false;
	s = agb_xcalloc(1, sizeof(*s));
	agb_str_copy(s->attempt, sizeof(s->attempt), attempt);
	s->started = started;
	HASH_ADD_STR(w->attempts, attempt, s);
	return true;
}

static int64_t
get_int(struct json_object *o, const char *key, int64_t fallback)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_int64(v)
						     : fallback;
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

/* Sends @o and frees it. */
static void
reply_json(struct http_conn *c, int status, struct json_object *o)
{
	const char *text;
	size_t len;

	text =
	    json_object_to_json_string_length(o, JSON_C_TO_STRING_PLAIN, &len);
	http_reply(c, status, text, len, 0);
	json_object_put(o);
}

/* Refuses a message of another epoch or boot; the response has the epoch. */
static void
reply_stale_epoch(struct http_conn *c, const struct worker *w)
{
	struct json_object *const o = json_object_new_object();

	add_int(o, "epoch", (int64_t)w->epoch);
	reply_json(c, 409, o);
}

/* Running requests: as attempt ids, or as objects that hold the attempt id. */
static struct json_object *
busy_slots_json(const struct worker *w, bool attempts_only)
{
	struct json_object *const a = json_object_new_array();
	struct json_object *o;
	const struct request *r;

	for (r = w->requests; r != NULL; r = r->next) {
		if (r->slot_released)
			continue;
		if (attempts_only) {
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
		add_int(o, "cpu_milli", t->cpu_milli * t->usage_percent / 100);
		add_int(o, "mem_mb", t->mem_mb * t->usage_percent / 100);
		json_object_array_add(a, o);
	}
	return a;
}

/*
 * Completes the pending renewal with all unacknowledged events. Usage is sent
 * at most once per usage interval.
 */
static void
reply_renewal(struct worker *w)
{
	struct http_conn *const c = w->renewal_conn;
	struct json_object *const o = json_object_new_object();
	struct json_object *const a = json_object_new_array();
	const struct worker_event *e;

	for (e = w->events; e != NULL; e = e->next)
		json_object_array_add(a, json_object_get(e->json));
	add_int(o, "seq", (int64_t)w->event_seq);
	json_object_object_add(o, "events", a);
	if (w->usage_sent_at_ms == 0 ||
	    uv_now(w->loop) >= w->usage_sent_at_ms + w->usage_interval_ms) {
		json_object_object_add(o, "usage", usage_json(w));
		if (w->tasks != NULL)
			w->usage_sent_at_ms = uv_now(w->loop);
	} else {
		json_object_object_add(o, "usage", json_object_new_array());
	}
	json_object_object_add(o, "slots", busy_slots_json(w, true));
	json_object_object_add(
	    o, "leaving", json_object_new_boolean(w->faults.leaving));
	w->renewal_conn = NULL;
	http_set_user_data(c, NULL);
	reply_json(c, 200, o);
}

static void
event_add(struct worker *w, const struct task *t, const char *kind,
    const char *result)
{
	struct worker_event *const e = agb_xcalloc(1, sizeof(*e));
	struct worker_event **p;

	e->seq = ++w->event_seq;
	e->json = json_object_new_object();
	add_int(e->json, "seq", (int64_t)e->seq);
	add_str(e->json, "task", t->id);
	add_str(e->json, "attempt", t->attempt);
	add_str(e->json, "kind", kind);
	add_int(e->json, "exit", t->exit_code);
	add_str(e->json, "result", result);
	for (p = &w->events; *p != NULL; p = &(*p)->next)
		;
	*p = e;
	if (w->renewal_conn != NULL)
		reply_renewal(w);
}

static void
on_task_closed(uv_handle_t *h)
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
	history_append(w, "task-end", t->id, t->attempt, result);
	event_add(w, t, kind, result);
	uv_close((uv_handle_t *)&t->timer, on_task_closed);
}

static void
on_task_timer(uv_timer_t *h)
{
	struct task *const t = h->data;

	task_end(t, "ended", t->exit_code == 0 ? "ok" : "failed");
}

static struct task *
task_find(const struct worker *w, const char *id)
{
	struct task *t;

	for (t = w->tasks; t != NULL && strcmp(t->id, id) != 0; t = t->next)
		;
	return t;
}

/* Return: true when the new task fits beside the running tasks. */
static bool
has_capacity(const struct worker *w, const struct task *new)
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
task_start(struct worker *w, struct task *t, struct json_object *cmd)
{
	struct json_object *args = NULL;
	int64_t ms;

	(void)json_object_object_get_ex(cmd, "args", &args);
	t->usage_percent = get_int(args, "use_percent", 100);
	t->exit_code = w->faults.fail_all ? 1 : (int)get_int(args, "exit", 0);
	ms = get_int(args, "ms", get_int(cmd, "run_ms", 0));
	t->next = w->tasks;
	w->tasks = t;
	uv_timer_init(w->loop, &t->timer);
	t->timer.data = t;
	history_append(w, "task-start", t->id, t->attempt, "");
	event_add(w, t, "started", "");
	if (w->faults.fail_all)
		ms = 1;
	if (ms > 0)
		uv_timer_start(&t->timer, on_task_timer, (uint64_t)ms, 0);
}

/*
 * execute_start(), execute_stop() and execute_throttle() carry out a command.
 * Return: NULL when the command is accepted, else the reason of its refusal.
 */
static const char *
execute_start(struct worker *w, struct json_object *cmd)
{
	const char *const id = get_str(cmd, "task");
	const char *const attempt = get_str(cmd, "attempt");
	const struct attempt_record *const record = attempt_find(w, attempt);
	struct task *t;

	/* A repeated start: the task runs, or its end has been reported. */
	if (record != NULL)
		return record->started ? NULL : "stopped before its start";
	t = task_find(w, id);
	if (t != NULL) {
		w->violations++;
		return "runs under another attempt";
	}
	if (w->faults.leaving)
		return "leaving";
	t = agb_xcalloc(1, sizeof(*t));
	t->w = w;
	agb_str_copy(t->id, sizeof(t->id), id);
	agb_str_copy(t->attempt, sizeof(t->attempt), attempt);
	t->cpu_milli = get_int(cmd, "cpu_milli", 0);
	t->mem_mb = get_int(cmd, "mem_mb", 0);
	t->accel = get_int(cmd, "accel", 0);
	t->stop_isolated = strcmp(get_str(cmd, "on_isolation"), "stop") == 0;
	t->autonomy_ms = (uint64_t)get_int(cmd, "autonomy_ms", 0);
	if (!has_capacity(w, t)) {
		free(t);
		w->violations++;
		return "capacity";
	}
	attempt_record_add(w, attempt, true);
	task_start(w, t, cmd);
	return NULL;
}

static const char *
execute_stop(struct worker *w, struct json_object *cmd, const char *kind)
{
	const char *const attempt = get_str(cmd, "attempt");
	struct task *const t = task_find(w, get_str(cmd, "task"));

	if (t == NULL || strcmp(t->attempt, attempt) != 0) {
		/* Record the attempt, so that a start arriving later is refused. */
		return attempt_record_add(w, attempt, false) ? "not running"
							     : NULL;
	}
	t->exit_code = EXIT_STOPPED;
	task_end(
	    t, kind, strcmp(kind, "ended") == 0 ? "stopped" : "checkpointed");
	return NULL;
}

static const char *
execute_throttle(struct worker *w, struct json_object *cmd)
{
	struct task *const t = task_find(w, get_str(cmd, "task"));

	if (t == NULL || strcmp(t->attempt, get_str(cmd, "attempt")) != 0)
		return "not running";
	t->cpu_milli = get_int(cmd, "cpu_milli", t->cpu_milli);
	return NULL;
}

static bool
request_is_running(const struct worker *w, const char *attempt)
{
	const struct request *r;

	for (r = w->requests; r != NULL; r = r->next) {
		if (!r->slot_released && strcmp(r->attempt, attempt) == 0)
			return true;
	}
	return false;
}

static struct json_object *
execute_command(struct worker *w, struct json_object *cmd)
{
	struct json_object *const o = json_object_new_object();
	const char *const kind = get_str(cmd, "kind");
	const char *reason;
	bool busy;

	busy = false;
	if (strcmp(kind, "start") == 0)
		reason = execute_start(w, cmd);
	else if (strcmp(kind, "stop") == 0)
		reason = execute_stop(w, cmd, "ended");
	else if (strcmp(kind, "checkpoint") == 0)
		reason = execute_stop(w, cmd, "checkpointed");
	else if (strcmp(kind, "throttle") == 0)
		reason = execute_throttle(w, cmd);
	else if (strcmp(kind, "revoke") == 0) {
		busy = request_is_running(w, get_str(cmd, "attempt"));
		attempt_record_add(w, get_str(cmd, "attempt"), false);
		reason = NULL;
	} else
		reason = "unknown command";
	add_str(o, "task", get_str(cmd, "task"));
	add_str(o, "attempt", get_str(cmd, "attempt"));
	json_object_object_add(
	    o, "ok", json_object_new_boolean(reason == NULL));
	json_object_object_add(o, "busy", json_object_new_boolean(busy));
	add_str(o, "reason", reason != NULL ? reason : "");
	return o;
}

/*
 * Opens a session for the scheduler's current owner. A higher epoch takes over
 * from the previous owner, whose pending renewal is refused.
 */
static void
handle_session(struct worker *w, struct http_conn *c, struct json_object *req)
{
	const uint64_t epoch = (uint64_t)get_int(req, "epoch", 0);
	struct json_object *o;

	if (epoch == 0 || epoch < w->epoch) {
		reply_stale_epoch(c, w);
		return;
	}
	if (epoch > w->epoch && w->renewal_conn != NULL) {
		struct http_conn *const old = w->renewal_conn;

		w->renewal_conn = NULL;
		http_set_user_data(old, NULL);
		w->epoch = epoch;
		reply_stale_epoch(old, w);
	}
	w->epoch = epoch;
	w->usage_sent_at_ms = 0; /* the new owner has no usage report yet */
	w->has_session = true;
	w->session_expires_ms =
	    uv_now(w->loop) + (uint64_t)get_int(req, "ttl_ms", 10000);
	o = json_object_new_object();
	add_int(o, "epoch", (int64_t)w->epoch);
	add_str(o, "boot", w->boot_id);
	json_object_object_add(
	    o, "leaving", json_object_new_boolean(w->faults.leaving));
	json_object_object_add(o, "tasks", tasks_json(w));
	json_object_object_add(o, "slots", busy_slots_json(w, false));
	add_int(o, "seq", (int64_t)w->event_seq);
	reply_json(c, 200, o);
}

/* A message that names another boot was sent before this worker restarted. */
static bool
boot_matches(const struct worker *w, struct json_object *req)
{
	struct json_object *boot;

	return !json_object_object_get_ex(req, "boot", &boot) ||
	    strcmp(json_object_get_string(boot), w->boot_id) == 0;
}

/*
 * Renews the session. "after" acknowledges events up to that number. The
 * response is delayed until there is an event or "wait_ms" have passed.
 */
static void
handle_renew(struct worker *w, struct http_conn *c, struct json_object *req)
{
	const uint64_t after = (uint64_t)get_int(req, "after", 0);
	struct worker_event *e;

	if ((uint64_t)get_int(req, "epoch", 0) != w->epoch ||
	    !boot_matches(w, req)) {
		reply_stale_epoch(c, w);
		return;
	}
	if (w->renewal_conn != NULL)
		reply_renewal(w);
	w->session_expires_ms =
	    uv_now(w->loop) + (uint64_t)get_int(req, "ttl_ms", 10000);
	while ((e = w->events) != NULL && e->seq <= after) {
		w->events = e->next;
		json_object_put(e->json);
		free(e);
	}
	w->renewal_conn = c;
	w->usage_interval_ms = (uint64_t)get_int(req, "usage_ms", 0);
	w->renewal_deadline_ms =
	    uv_now(w->loop) + (uint64_t)get_int(req, "wait_ms", 0);
	http_set_user_data(c, c);
	if (w->events != NULL || w->faults.leaving ||
	    w->renewal_deadline_ms <= uv_now(w->loop))
		reply_renewal(w);
}

static void
handle_commands(struct worker *w, struct http_conn *c, struct json_object *req)
{
	struct json_object *list, *o, *a;
	size_t i;

	if ((uint64_t)get_int(req, "epoch", 0) != w->epoch ||
	    !boot_matches(w, req)) {
		reply_stale_epoch(c, w);
		return;
	}
	a = json_object_new_array();
	if (json_object_object_get_ex(req, "commands", &list)) {
		for (i = 0; i < json_object_array_length(list); i++)
			json_object_array_add(a,
			    execute_command(
				w, json_object_array_get_idx(list, i)));
	}
	o = json_object_new_object();
	json_object_object_add(o, "results", a);
	reply_json(c, 200, o);
}

bool
worker_set_faults(struct worker *w, const char *json)
{
	struct json_object *const req = json_tokener_parse(json);
	struct worker_faults *const f = &w->faults;

	if (!json_object_is_type(req, json_type_object)) {
		json_object_put(req);
		return false;
	}
	f->fail_all = get_int(req, "fail_all", f->fail_all);
	f->leaving = get_int(req, "leaving", f->leaving);
	f->silent = get_int(req, "silent", f->silent);
	f->responses_to_truncate =
	    (int)get_int(req, "truncate", f->responses_to_truncate);
	f->responses_to_swap =
	    (int)get_int(req, "swap_answers", f->responses_to_swap);
	f->wrong_attempts =
	    (int)get_int(req, "wrong_attempt", f->wrong_attempts);
	f->response_delay_ms =
	    (int)get_int(req, "delay_answer_ms", f->response_delay_ms);
	w->registered_at_ms = 0; /* publish a changed state at the next tick */
	if (f->leaving && w->renewal_conn != NULL)
		reply_renewal(w);
	json_object_put(req);
	return true;
}

/* Return: false when the path is not one of the stand-in's own. */
static bool
handle_standin(
    struct worker *w, struct http_conn *c, const struct http_request *m)
{
	struct json_object *o;

	if (strcmp(m->path, "/standin/faults") == 0) {
		char *const text = agb_xmemdup(m->body, m->body_len);
		const bool ok = worker_set_faults(w, text);

		free(text);
		http_reply(c, ok ? 200 : 400, "{}", 2, 0);
	} else if (strcmp(m->path, "/standin/history") == 0) {
		http_reply(c, 200, worker_history(w), w->history_len, 0);
	} else if (strcmp(m->path, "/standin/state") == 0) {
		o = json_object_new_object();
		add_int(o, "violations", (int64_t)w->violations);
		add_int(o, "epoch", (int64_t)w->epoch);
		json_object_object_add(o, "tasks", tasks_json(w));
		json_object_object_add(o, "slots", busy_slots_json(w, true));
		reply_json(c, 200, o);
	} else
		return false;
	return true;
}

static void
on_agent(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct worker *const w = arg;
	struct json_object *req;
	char *text;

	if (handle_standin(w, c, m) || w->faults.silent)
		return;
	text = agb_xmemdup(m->body, m->body_len);
	req = json_tokener_parse(text);
	free(text);
	if (!json_object_is_type(req, json_type_object))
		http_reply(c, 400, "{}", 2, 0);
	else if (strcmp(m->path, "/v1/session") == 0)
		handle_session(w, c, req);
	else if (strcmp(m->path, "/v1/renew") == 0)
		handle_renew(w, c, req);
	else if (strcmp(m->path, "/v1/commands") == 0)
		handle_commands(w, c, req);
	else
		http_reply(c, 404, "{}", 2, 0);
	json_object_put(req);
}

static void
on_agent_closed(void *arg, void *user_data)
{
	struct worker *const w = arg;

	if (w->renewal_conn == user_data)
		w->renewal_conn = NULL;
}

static void
on_request_closed(uv_handle_t *h)
{
	struct request *const r = h->data;

	free(r->response);
	free(r);
}

static void
send_response(struct worker *w, struct http_conn *c, const char *text)
{
	size_t len = strlen(text);

	if (c == NULL)
		return;
	http_set_user_data(c, NULL);
	if (w->faults.responses_to_truncate > 0) {
		w->faults.responses_to_truncate--;
		/* The body lacks its last 4 bytes. */
		http_write_raw(c, text, len - 4);
		http_close(c);
		return;
	}
	http_write_raw(c, text, len);
	http_finish_raw(c);
}

static void
request_free(struct request *r)
{
	struct request **p;

	for (p = &r->w->requests; *p != r; p = &(*p)->next)
		;
	*p = r->next;
	uv_close((uv_handle_t *)&r->timer, on_request_closed);
}

/* Sends the response. While responses_to_swap is set, two requests get each
 * other's response; the first of them waits in swap_pending. */
static void
request_respond(struct request *r)
{
	struct worker *const w = r->w;
	struct request *const other = w->swap_pending;

	if (w->faults.responses_to_swap > 0 && other == NULL) {
		w->swap_pending = r;
		return;
	}
	if (other != NULL) {
		w->swap_pending = NULL;
		w->faults.responses_to_swap = w->faults.responses_to_swap > 2
		    ? w->faults.responses_to_swap - 2
		    : 0;
		send_response(w, r->conn, other->response);
		send_response(w, other->conn, r->response);
		request_free(other);
	} else
		send_response(w, r->conn, r->response);
	request_free(r);
}

static void
on_response_delay(uv_timer_t *h)
{
	request_respond(h->data);
}

static void
on_request_timer(uv_timer_t *h)
{
	struct request *const r = h->data;
	struct worker *const w = r->w;

	r->slot_released = true;
	w->requests_active--;
	history_append(w, "request-end", r->attempt, r->attempt, "ok");
	if (w->faults.response_delay_ms > 0)
		uv_timer_start(&r->timer, on_response_delay,
		    (uint64_t)w->faults.response_delay_ms, 0);
	else
		request_respond(r);
}

/* The request may have finished already, with its response still delayed. */
static void
on_runner_closed(void *arg, void *user_data)
{
	struct request *const r = user_data;

	r->conn = NULL;
}

/* Tells the client that the request has not run, so that it may be retried. */
static void
reply_not_run(struct http_conn *c, const char *attempt, const char *reason)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "HTTP/1.1 503 Service Unavailable\r\nAgatebeam-Outcome: not-run"
	    "\r\nAgatebeam-Attempt: %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n{\"reason\":\"%s\"}",
	    attempt, strlen(reason) + 13, reason);
	http_write_raw(c, text, strlen(text));
	http_finish_raw(c);
}

/* Run time of a request, from its query string or else its JSON body. */
static uint64_t
request_duration_ms(const struct http_request *m, const char *body)
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

/* Builds the whole HTTP response; under a fault it names a wrong attempt. */
static char *
format_response(
    struct worker *w, const char *attempt, const char *path, const char *body)
{
	struct json_object *const o = json_object_new_object();
	char echoed_attempt[ATTEMPT_SIZE], *text;
	const char *json;

	agb_str_copy(echoed_attempt, sizeof(echoed_attempt), attempt);
	if (w->faults.wrong_attempts > 0) {
		w->faults.wrong_attempts--;
		echoed_attempt[ATTEMPT_SIZE - 2] =
		    echoed_attempt[ATTEMPT_SIZE - 2] == '0' ? '1' : '0';
	}
	add_str(o, "worker", w->name);
	add_str(o, "attempt", attempt);
	add_str(o, "path", path);
	add_str(o, "body", body);
	json = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	text = agb_xasprintf("HTTP/1.1 %s\r\nAgatebeam-Attempt: %s\r\n"
			     "Content-Type: application/json\r\n"
			     "Content-Length: %zu\r\n\r\n%s",
	    w->faults.fail_all ? "500 Internal Server Error" : "200 OK",
	    echoed_attempt, strlen(json), json);
	json_object_put(o);
	return text;
}

/*
 * Records the attempt of a request that may run.
 * Return: NULL, else the reason why it is refused.
 */
static const char *
refusal_reason(struct worker *w, const char *attempt, const char *epoch)
{
	if (strlen(attempt) != ATTEMPT_SIZE - 1 || strlen(epoch) != 16 ||
	    strncmp(attempt, epoch, 16) != 0)
		return "no valid attempt and epoch";
	if (strtoull(epoch, NULL, 16) < w->epoch)
		return "stale epoch";
	if (w->faults.leaving)
		return "leaving";
	if (w->requests_active >= w->slots) {
		w->violations++;
		return "no slot";
	}
	return attempt_record_add(w, attempt, true) ? NULL
						    : "attempt seen or revoked";
}

static void
on_runner(void *arg, struct http_conn *c, const struct http_request *m)
{
	struct worker *const w = arg;
	char attempt[64], epoch[32], *body;
	struct request *r;
	const char *reason;

	if (w->faults.silent)
		return;
	http_get_header(m, "agatebeam-attempt", attempt, sizeof(attempt));
	http_get_header(m, "agatebeam-epoch", epoch, sizeof(epoch));
	reason = refusal_reason(w, attempt, epoch);
	if (reason != NULL) {
		reply_not_run(c, attempt, reason);
		return;
	}
	r = agb_xcalloc(1, sizeof(*r));
	r->w = w;
	r->conn = c;
	http_set_user_data(c, r);
	agb_str_copy(r->attempt, sizeof(r->attempt), attempt);
	body = agb_xmemdup(m->body, m->body_len);
	r->response = format_response(w, attempt, m->path, body);
	r->next = w->requests;
	w->requests = r;
	w->requests_active++;
	history_append(w, "request-start", attempt, attempt, "");
	uv_timer_init(w->loop, &r->timer);
	r->timer.data = r;
	uv_timer_start(
	    &r->timer, on_request_timer, request_duration_ms(m, body), 0);
	free(body);
}

/* A failed registration needs no action, on_tick() repeats it. */
static void
on_registered(void *arg, const struct agb_httpc_res *res)
{
}

static void
register_instance(struct worker *w)
{
	struct json_object *const o = json_object_new_object();
	struct agb_httpc_req req = {
	    .addr = w->platform,
	    .method = "POST",
	    .path = "/platform/instances",
	    .timeout_ms = WORKER_REGISTER_INTERVAL_MS,
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
	add_str(o, "state", w->faults.leaving ? "leaving" : "live");
	add_int(o, "ttl_ms", WORKER_INSTANCE_TTL_MS);
	req.body = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	req.body_len = strlen(req.body);
	(void)agb_httpc_request(w->httpc, &req);
	json_object_put(o);
}

/* Stops the tasks that may not run on this long after the session's expiry. */
static void
stop_isolated_tasks(struct worker *w, uint64_t now)
{
	struct task *t, *next;

	for (t = w->tasks; t != NULL; t = next) {
		next = t->next;
		if (!t->stop_isolated ||
		    now - w->session_expires_ms < t->autonomy_ms)
			continue;
		t->exit_code = EXIT_STOPPED;
		task_end(t, "ended", "isolated");
	}
}

static void
on_tick(uv_timer_t *h)
{
	struct worker *const w = h->data;
	const uint64_t now = uv_now(w->loop);

	if (w->renewal_conn != NULL && now >= w->renewal_deadline_ms)
		reply_renewal(w);
	if (w->has_session && now > w->session_expires_ms)
		stop_isolated_tasks(w, now);
	if (w->platform[0] != '\0' && !w->faults.silent &&
	    (w->registered_at_ms == 0 ||
		now - w->registered_at_ms >= WORKER_REGISTER_INTERVAL_MS)) {
		w->registered_at_ms = now;
		register_instance(w);
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
	snprintf(w->boot_id, sizeof(w->boot_id), "%llx",
	    (unsigned long long)uv_hrtime());
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
	http_server_set_conns_max(w->runner, o->connections);
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
	struct attempt_record *s, *next;
	struct request *r;
	struct task *t;

	if (w->agent != NULL)
		http_server_free(w->agent);
	if (w->runner != NULL)
		http_server_free(w->runner);
	agb_httpc_free(w->httpc);
	while ((t = w->tasks) != NULL) {
		w->tasks = t->next;
		uv_close((uv_handle_t *)&t->timer, on_task_closed);
	}
	while ((r = w->requests) != NULL) {
		w->requests = r->next;
		uv_close((uv_handle_t *)&r->timer, on_request_closed);
	}
	while ((e = w->events) != NULL) {
		w->events = e->next;
		json_object_put(e->json);
		free(e);
	}
	s = w->attempts;
	HASH_CLEAR(hh, w->attempts);
	for (; s != NULL; s = next) {
		next = s->hh.next;
		free(s);
	}
	uv_close((uv_handle_t *)&w->tick, on_tick_closed);
}

#include "workerc.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "httpc.h"
#include "jsonc.h"
#include "mem.h"
#include "upstream.h"

/* A renewal occupies one connection while it waits; commands use the others. */
#define CONNECTIONS_MAX 4
/*
 * Minimum interval between the usage reports of a worker. Each report lists all
 * tasks of the worker: when it was part of every response, 1,670 tasks in a
 * shard cost the shard's owner 24 KB/s while idle.
 */
#define USAGE_INTERVAL_MS 10000
/* Upper bounds of reported resources, far above any machine. */
#define CPU_MILLI_MAX 100000000
#define MEM_MB_MAX 100000000
#define ACCEL_MAX 10000

/**
 * struct worker_call - call to a worker in progress
 * @after: sequence number of the last event received before a renewal
 * @sent: kind and attempt of each command, in the order sent
 */
struct worker_call {
	struct agb_workerc *w;
	struct worker_call *prev, *next;
	enum agb_effect_type type;
	uint64_t tag;
	uint64_t epoch;
	uint64_t after;
	agb_name worker;
	struct agb_command_result *sent;
	size_t sent_len;
};

/**
 * struct agb_workerc - client of the worker agents
 * @owner: name of this instance, sent with each session request
 * @calls: calls whose event has not been raised yet
 * @rejected_responses: number of responses that were malformed or did not match
 *	their call
 */
struct agb_workerc {
	struct agb_httpc *httpc;
	agb_name owner;
	agb_workerc_cb cb;
	void *arg;
	struct worker_call *calls;
	uint64_t rejected_responses;
};

static const char *const command_kinds[] = {
    [AGB_COMMAND_START] = "start",
    [AGB_COMMAND_STOP] = "stop",
    [AGB_COMMAND_THROTTLE] = "throttle",
    [AGB_COMMAND_CHECKPOINT] = "checkpoint",
    [AGB_COMMAND_REVOKE] = "revoke",
};

static void
put_str(struct json_object *o, const char *key, const char *s)
{
	json_object_object_add(o, key, json_object_new_string(s));
}

static void
put_int(struct json_object *o, const char *key, int64_t n)
{
	json_object_object_add(o, key, json_object_new_int64(n));
}

static struct json_object *
command_json(const struct agb_command *c)
{
	struct json_object *const o = json_object_new_object();
	char attempt[AGB_ATTEMPT_TEXT_LEN];
	struct json_object *args;

	agb_attempt_format(&c->attempt, attempt);
	put_str(o, "kind", command_kinds[c->kind]);
	put_str(o, "task", c->task);
	put_str(o, "attempt", attempt);
	if (c->kind != AGB_COMMAND_START && c->kind != AGB_COMMAND_THROTTLE)
		return o;
	put_int(o, "cpu_milli", c->need.cpu_milli);
	put_int(o, "mem_mb", c->need.mem_mb);
	put_int(o, "accel", c->need.accel);
	if (c->kind == AGB_COMMAND_THROTTLE)
		return o;
	put_int(o, "run_ms", c->run_ms);
	args = c->args_len > 0 ? json_tokener_parse(c->args) : NULL;
	json_object_object_add(
	    o, "args", args != NULL ? args : json_object_new_object());
	put_str(o, "on_isolation",
	    c->on_isolation == AGB_ISOLATION_KEEP ? "keep" : "stop");
	put_int(o, "autonomy_ms", c->autonomy_ms);
	return o;
}

static void
put_boot(struct json_object *o, const struct agb_ef_worker *e)
{
	if (e->boot[0] != '\0')
		put_str(o, "boot", e->boot);
}

static struct json_object *
request_json(const struct agb_workerc *w, const struct agb_effect *ef)
{
	const struct agb_ef_worker *const e = &ef->u.worker;
	struct json_object *const o = json_object_new_object();
	struct json_object *a;
	size_t i;

	put_int(o, "epoch", (int64_t)e->epoch);
	switch (ef->type) {
	case AGB_EF_SESSION:
		put_str(o, "owner", w->owner);
		put_int(o, "ttl_ms", e->ttl_ms);
		break;
	case AGB_EF_RENEW:
		put_boot(o, e);
		put_int(o, "after", (int64_t)e->after_seq);
		put_int(o, "wait_ms", e->wait_ms);
		put_int(o, "usage_ms", USAGE_INTERVAL_MS);
		put_int(o, "ttl_ms", e->ttl_ms);
		break;
	default:
		put_boot(o, e);
		a = json_object_new_array();
		for (i = 0; i < e->items_len; i++)
			json_object_array_add(a, command_json(&e->items[i]));
		json_object_object_add(o, "commands", a);
		break;
	}
	return o;
}

static bool
get_attempt(const struct agb_jsonc_node *o, struct agb_attempt *out)
{
	char text[AGB_ATTEMPT_TEXT_LEN];

	if (!agb_jsonc_get_str(o, "attempt", true, text, sizeof(text)))
		return false;
	if (agb_attempt_parse(text, out))
		return true;
	agb_jsonc_report(o, NULL, AGB_FINDING_ERROR, "attempt is malformed");
	return false;
}

static void
get_resources(
    const struct agb_jsonc_node *o, bool accel, struct agb_resources *out)
{
	agb_jsonc_get_int(o, "cpu_milli", true,
	    &(const struct agb_jsonc_range){0, CPU_MILLI_MAX, ""},
	    &out->cpu_milli);
	agb_jsonc_get_int(o, "mem_mb", true,
	    &(const struct agb_jsonc_range){0, MEM_MB_MAX, ""}, &out->mem_mb);
	if (accel)
		agb_jsonc_get_int(o, "accel", true,
		    &(const struct agb_jsonc_range){0, ACCEL_MAX, ""},
		    &out->accel);
}

/* Return: array with an element of @size bytes for each item of the JSON array,
 * or NULL when there is no such array. */
static void *
get_array(const struct agb_jsonc_node *o, const char *key, size_t size,
    struct agb_jsonc_node *list, size_t *len)
{
	if (!agb_jsonc_get_array(
		o, key, true, AGB_WORKERC_ITEMS_MAX, list, len))
		return NULL;
	return agb_xcalloc(*len, size);
}

static void
read_session(const struct agb_jsonc_node *o, const struct worker_call *call,
    struct agb_ev_session *out)
{
	struct agb_jsonc_node list, it;
	uint64_t epoch;
	size_t i;

	/* The worker must grant exactly the requested epoch. */
	agb_jsonc_get_u64(o, "epoch", true,
	    &(const struct agb_jsonc_range){
		(int64_t)call->epoch, (int64_t)call->epoch, ""},
	    &epoch);
	agb_jsonc_get_str(o, "boot", true, out->boot, sizeof(out->boot));
	agb_jsonc_get_u64(o, "seq", true,
	    &(const struct agb_jsonc_range){0, INT64_MAX, ""}, &out->seq);
	agb_jsonc_get_bool(o, "leaving", false, &out->leaving);
	out->tasks =
	    get_array(o, "tasks", sizeof(*out->tasks), &list, &out->tasks_len);
	for (i = 0; i < out->tasks_len; i++) {
		if (!agb_jsonc_get_item_object(&list, i, &it))
			continue;
		agb_jsonc_get_str(&it, "task", true, out->tasks[i].task,
		    sizeof(out->tasks[i].task));
		get_attempt(&it, &out->tasks[i].attempt);
		get_resources(&it, true, &out->tasks[i].need);
	}
	out->slots =
	    get_array(o, "slots", sizeof(*out->slots), &list, &out->slots_len);
	for (i = 0; i < out->slots_len; i++) {
		if (agb_jsonc_get_item_object(&list, i, &it))
			get_attempt(&it, &out->slots[i]);
	}
}

static void
read_event(const struct agb_jsonc_node *o, uint64_t after,
    struct agb_worker_event *out)
{
	char kind[16] = "";
	int64_t code;

	agb_jsonc_get_u64(o, "seq", true,
	    &(const struct agb_jsonc_range){
		(int64_t)(after + 1), INT64_MAX, ""},
	    &out->seq);
	agb_jsonc_get_str(o, "task", true, out->task, sizeof(out->task));
	get_attempt(o, &out->attempt);
	agb_jsonc_dup_str(o, "result", false, AGB_X_ARGS_MAX, &out->text);
	code = 0;
	agb_jsonc_get_str(o, "kind", true, kind, sizeof(kind));
	agb_jsonc_get_int(o, "exit", strcmp(kind, "ended") == 0,
	    &(const struct agb_jsonc_range){INT32_MIN, INT32_MAX, ""}, &code);
	if (strcmp(kind, "started") == 0)
		out->started = true;
	else if (strcmp(kind, "checkpointed") == 0)
		out->result = AGB_RESULT_CHECKPOINTED;
	else if (strcmp(kind, "ended") == 0 && code < 0)
		out->result = AGB_RESULT_STOPPED;
	else if (strcmp(kind, "ended") == 0)
		out->result = code == 0 ? AGB_RESULT_OK : AGB_RESULT_FAILED;
	else
		agb_jsonc_report(
		    o, NULL, AGB_FINDING_ERROR, "unknown kind of event");
}

static void
read_renew(const struct agb_jsonc_node *o, const struct worker_call *call,
    struct agb_ev_renew *out)
{
	struct agb_jsonc_node list, it;
	const char *text;
	uint64_t after;
	size_t i;

	agb_jsonc_get_u64(o, "seq", true,
	    &(const struct agb_jsonc_range){0, INT64_MAX, ""}, &out->seq);
	agb_jsonc_get_bool(o, "leaving", true, &out->leaving);
	out->events = get_array(
	    o, "events", sizeof(*out->events), &list, &out->events_len);
	after = call->after;
	for (i = 0; i < out->events_len; i++) {
		if (!agb_jsonc_get_item_object(&list, i, &it))
			continue;
		read_event(&it, after, &out->events[i]);
		after = out->events[i].seq;
	}
	if (out->seq < after)
		agb_jsonc_report(
		    o, "seq", AGB_FINDING_ERROR, "is below that of an event");
	out->usage =
	    get_array(o, "usage", sizeof(*out->usage), &list, &out->usage_len);
	for (i = 0; i < out->usage_len; i++) {
		if (!agb_jsonc_get_item_object(&list, i, &it))
			continue;
		agb_jsonc_get_str(&it, "task", true, out->usage[i].task,
		    sizeof(out->usage[i].task));
		get_resources(&it, false, &out->usage[i].used);
	}
	out->slots =
	    get_array(o, "slots", sizeof(*out->slots), &list, &out->slots_len);
	for (i = 0; i < out->slots_len; i++) {
		text =
		    agb_jsonc_get_item_str(&list, i, AGB_ATTEMPT_TEXT_LEN - 1);
		if (text != NULL && !agb_attempt_parse(text, &out->slots[i]))
			agb_jsonc_report_item(&list, i, AGB_FINDING_ERROR,
			    "attempt is malformed");
	}
}

/* The results have the order of the commands and repeat their attempt ids. */
static void
read_commands(const struct agb_jsonc_node *o, const struct worker_call *call,
    struct agb_ev_commands *out)
{
	struct agb_jsonc_node list, it;
	struct agb_command_result *r;
	char text[AGB_DETAIL_LEN];
	size_t i;

	out->items = get_array(
	    o, "results", sizeof(*out->items), &list, &out->items_len);
	if (out->items_len != call->sent_len) {
		agb_jsonc_report(o, "results", AGB_FINDING_ERROR,
		    "has %zu items for %zu commands", out->items_len,
		    call->sent_len);
		return;
	}
	for (i = 0; i < out->items_len; i++) {
		r = &out->items[i];
		if (!agb_jsonc_get_item_object(&list, i, &it))
			continue;
		r->kind = call->sent[i].kind;
		agb_jsonc_get_bool(&it, "ok", true, &r->ok);
		agb_jsonc_get_bool(&it, "busy", false, &r->busy);
		text[0] = '\0';
		agb_jsonc_get_str(&it, "reason", false, text, sizeof(text));
		agb_str_copy(r->reason, sizeof(r->reason), text);
		if (get_attempt(&it, &r->attempt) &&
		    (r->attempt.epoch != call->sent[i].attempt.epoch ||
			r->attempt.seq != call->sent[i].attempt.seq))
			agb_jsonc_report(&it, NULL, AGB_FINDING_ERROR,
			    "is not the attempt that was sent");
	}
}

static void
read_result(const struct agb_jsonc_node *o, const struct worker_call *call,
    struct agb_event *ev)
{
	switch (call->type) {
	case AGB_EF_SESSION:
		read_session(o, call, &ev->u.session);
		break;
	case AGB_EF_RENEW:
		read_renew(o, call, &ev->u.renew);
		break;
	default:
		read_commands(o, call, &ev->u.commands);
		break;
	}
}

static void
event_init(struct agb_event *ev, const struct worker_call *call,
    enum agb_worker_status status, uint64_t epoch)
{
	memset(ev, 0, sizeof(*ev));
	switch (call->type) {
	case AGB_EF_SESSION:
		ev->type = AGB_EV_SESSION;
		memcpy(
		    ev->u.session.worker, call->worker, sizeof(call->worker));
		ev->u.session.status = status;
		ev->u.session.epoch = epoch;
		break;
	case AGB_EF_RENEW:
		ev->type = AGB_EV_RENEW;
		memcpy(ev->u.renew.worker, call->worker, sizeof(call->worker));
		ev->u.renew.status = status;
		ev->u.renew.epoch = epoch;
		break;
	default:
		ev->type = AGB_EV_COMMANDS;
		ev->tag = call->tag;
		memcpy(
		    ev->u.commands.worker, call->worker, sizeof(call->worker));
		ev->u.commands.tag = call->tag;
		ev->u.commands.status = status;
		ev->u.commands.epoch = epoch;
		break;
	}
}

/*
 * Return: false when the response is invalid; the event then has the status
 * AGB_WORKER_LOST.
 */
static bool
read_response(const struct worker_call *call, const struct agb_httpc_res *res,
    struct agb_findings *f, struct agb_event *ev)
{
	struct agb_jsonc *doc;
	struct agb_jsonc_node o;
	uint64_t epoch;
	bool ok;

	doc = agb_jsonc_parse_wire(
	    res->body != NULL ? res->body : "", res->body_len, f);
	ok = doc != NULL && agb_jsonc_get_root(doc, &o);
	if (ok && res->http_status == 409) {
		ok = agb_jsonc_get_u64(&o, "epoch", true,
		    &(const struct agb_jsonc_range){0, INT64_MAX, ""}, &epoch);
		/* Below our epoch if the worker has restarted. */
		if (ok)
			event_init(ev, call, AGB_WORKER_FENCED, epoch);
	} else if (ok) {
		event_init(ev, call, AGB_WORKER_OK, call->epoch);
		read_result(&o, call, ev);
		ok = f->errors == 0;
		if (!ok) {
			agb_event_free(ev);
			event_init(ev, call, AGB_WORKER_LOST, call->epoch);
		}
	}
	agb_jsonc_free(doc);
	return ok;
}

static void
worker_call_free(struct worker_call *call)
{
	DL_DELETE(call->w->calls, call);
	free(call->sent);
	free(call);
}

static void
on_response(void *arg, const struct agb_httpc_res *res)
{
	struct worker_call *const call = arg;
	struct agb_workerc *const w = call->w;
	struct agb_findings *f;
	struct agb_event ev;

	event_init(&ev, call, AGB_WORKER_LOST, call->epoch);
	if (res->status == AGB_HTTPC_COMPLETE &&
	    (res->http_status == 200 || res->http_status == 409)) {
		f = agb_xcalloc(1, sizeof(*f));
		if (!read_response(call, res, f, &ev))
			w->rejected_responses++;
		free(f);
	}
	worker_call_free(call);
	w->cb(w->arg, &ev);
	agb_event_free(&ev);
}

static struct worker_call *
worker_call_new(struct agb_workerc *w, const struct agb_effect *ef)
{
	const struct agb_ef_worker *const e = &ef->u.worker;
	struct worker_call *const call = agb_xcalloc(1, sizeof(*call));
	size_t i;

	call->w = w;
	call->type = ef->type;
	call->tag = ef->tag;
	call->epoch = e->epoch;
	call->after = e->after_seq;
	memcpy(call->worker, e->worker, sizeof(call->worker));
	if (ef->type == AGB_EF_COMMANDS) {
		call->sent_len = e->items_len;
		call->sent = agb_xcalloc(call->sent_len, sizeof(*call->sent));
		for (i = 0; i < call->sent_len; i++) {
			call->sent[i].kind = e->items[i].kind;
			call->sent[i].attempt = e->items[i].attempt;
		}
	}
	DL_APPEND(w->calls, call);
	return call;
}

void
agb_workerc_call(struct agb_workerc *w, const struct agb_effect *ef)
{
	static const struct agb_httpc_header headers[] = {
	    {"content-type", "application/json"}};
	struct agb_httpc_req r = {
	    .addr = ef->u.worker.address,
	    .method = "POST",
	    .path = "/v1/commands",
	    .headers = headers,
	    .headers_len = 1,
	    .timeout_ms = AGB_WORKERC_TIMEOUT_MS,
	    .connect_timeout_ms = AGB_WORKERC_TIMEOUT_MS,
	    .cb = on_response,
	};
	struct json_object *o;

	if (ef->type == AGB_EF_SESSION)
		r.path = "/v1/session";
	if (ef->type == AGB_EF_RENEW) {
		r.path = "/v1/renew";
		r.timeout_ms += ef->u.worker.wait_ms;
	}
	o = request_json(w, ef);
	r.body = json_object_to_json_string_length(o,
	    JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
	    &r.body_len);
	r.arg = worker_call_new(w, ef);
	(void)agb_httpc_request(w->httpc, &r);
	json_object_put(o);
}

struct agb_httpc_bytes
agb_workerc_bytes(const struct agb_workerc *w)
{
	return agb_httpc_bytes(w->httpc);
}

struct agb_workerc *
agb_workerc_new(
    uv_loop_t *loop, const char *owner, agb_workerc_cb cb, void *arg)
{
	struct agb_workerc *const w = agb_xcalloc(1, sizeof(*w));

	w->httpc = agb_httpc_new(loop, CONNECTIONS_MAX);
	agb_str_copy(w->owner, sizeof(w->owner), owner);
	w->cb = cb;
	w->arg = arg;
	return w;
}

uint64_t
agb_workerc_rejected_responses(const struct agb_workerc *w)
{
	return w->rejected_responses;
}

void
agb_workerc_free(struct agb_workerc *w)
{
	struct worker_call *call, *next;

	if (w == NULL)
		return;
	agb_httpc_free(w->httpc);
	for (call = w->calls; call != NULL; call = next) {
		next = call->next;
		free(call->sent);
		free(call);
	}
	free(w);
}

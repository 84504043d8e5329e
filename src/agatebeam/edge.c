#include "edge.h"

#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "edge_internal.h"
#include "mem.h"

#define NO_CALL UINT32_MAX
/* Ends of connections taken in one turn of the loop. */
#define GONE_BATCH 64
/* Time limits are checked this often; a limit may be late by as much. */
#define SWEEP_MS 100U

/**
 * struct guard - lives in a request's memory pool; its disposal tells that
 * h2o has ended the request
 * @conn: NULL for a stream of HTTP/2
 */
struct guard {
	struct agb_edge *e;
	struct agb_edge_conn *conn;
	uint64_t call_id;
};

struct handler {
	h2o_handler_t super;
	struct agb_edge *e;
};

static uint64_t
call_id(const struct agb_edge *e, const struct agb_edge_call *call)
{
	return (uint64_t)call->gen << 32 | (uint64_t)(call - e->calls);
}

static struct agb_edge_call *
call_get(const struct agb_edge *e, uint64_t id)
{
	const uint64_t slot = id & UINT32_MAX;
	struct agb_edge_call *call;

	if (slot >= e->calls_len)
		return NULL;
	call = &e->calls[slot];
	return call->gen == id >> 32 && call->state != AGB_CALL_FREE ? call
								     : NULL;
}

static struct agb_edge_call *
call_new(struct agb_edge *e)
{
	struct agb_edge_call *call;
	size_t i, len;

	if (e->free_call == NO_CALL) {
		len = e->calls_len > 0 ? e->calls_len * 2 : 64;
		e->calls = agb_xreallocarray(e->calls, len, sizeof(*e->calls));
		for (i = e->calls_len; i < len; i++) {
			memset(&e->calls[i], 0, sizeof(*e->calls));
			e->calls[i].next_free =
			    i + 1 < len ? (uint32_t)i + 1 : NO_CALL;
		}
		e->free_call = (uint32_t)e->calls_len;
		e->calls_len = len;
	}
	call = &e->calls[e->free_call];
	e->free_call = call->next_free;
	/* Generation 0 is never used, so that no id is 0. */
	if (++call->gen == 0)
		call->gen = 1;
	call->state = AGB_CALL_PENDING;
	call->fd = -1;
	e->n.active++;
	return call;
}

static void
answer_clear(struct agb_edge_call *call)
{
	size_t i;

	for (i = 0; i < call->answer.headers_len; i++) {
		free((char *)(uintptr_t)call->answer.headers[i].name);
		free((char *)(uintptr_t)call->answer.headers[i].value);
	}
	free((void *)(uintptr_t)call->answer.headers);
	free((void *)(uintptr_t)call->answer.body);
	memset(&call->answer, 0, sizeof(call->answer));
	call->has_answer = false;
}

static void
call_unwatch(struct agb_edge *e, struct agb_edge_call *call)
{
	if (call->fd >= 0)
		epoll_ctl(e->epoll_fd, EPOLL_CTL_DEL, call->fd, NULL);
	call->fd = -1;
}

static void
call_free(struct agb_edge *e, struct agb_edge_call *call)
{
	call_unwatch(e, call);
	answer_clear(call);
	call->state = AGB_CALL_FREE;
	call->req = NULL;
	call->headers = NULL;
	call->headers_len = 0;
	call->next_free = e->free_call;
	e->free_call = (uint32_t)(call - e->calls);
	e->n.active--;
}

static void
raise_gone(struct agb_edge *e, uint64_t id)
{
	struct agb_event ev = {.type = AGB_EV_CALL_CLOSED, .call_id = id};

	e->n.calls_gone++;
	if (!e->closing)
		e->cbs.on_event(e->arg, &ev);
	agb_event_free(&ev);
}

static void
guard_dispose(void *p)
{
	struct guard *const g = p;
	struct agb_edge_call *call;
	bool gone;

	if (g->conn != NULL)
		agb_edge_conn_idle(g->conn);
	call = call_get(g->e, g->call_id);
	if (call == NULL)
		return;
	gone = call->state == AGB_CALL_PENDING;
	call_free(g->e, call);
	if (gone)
		raise_gone(g->e, g->call_id);
}

static const char *
status_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 202:
		return "Accepted";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 403:
		return "Forbidden";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 409:
		return "Conflict";
	case 413:
		return "Payload Too Large";
	case 422:
		return "Unprocessable Entity";
	case 429:
		return "Too Many Requests";
	case 431:
		return "Request Header Fields Too Large";
	case 500:
		return "Internal Server Error";
	case 502:
		return "Bad Gateway";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return status < 400 ? "OK" : "Error";
	}
}

char *
agb_edge_error_body(enum agb_outcome outcome, enum agb_reason reason,
    const char *detail, uint32_t retry_ms)
{
	struct json_object *const o = json_object_new_object();
	char *text;

	json_object_object_add(
	    o, "outcome", json_object_new_string(agb_outcome_name(outcome)));
	json_object_object_add(
	    o, "reason", json_object_new_string(agb_reason_name(reason)));
	json_object_object_add(o, "detail", json_object_new_string(detail));
	json_object_object_add(
	    o, "retry_after_ms", json_object_new_int64(retry_ms));
	text = agb_xstrdup(json_object_to_json_string_ext(
	    o, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(o);
	return text;
}

static void
header_add(h2o_req_t *req, const char *name, const char *value)
{
	const h2o_iovec_t n = h2o_strdup(&req->pool, name, SIZE_MAX);
	const h2o_iovec_t v = h2o_strdup(&req->pool, value, SIZE_MAX);

	h2o_add_header_by_str(&req->pool, &req->res.headers, n.base, n.len, 1,
	    NULL, v.base, v.len);
}

static void
send_body(struct agb_edge *e, h2o_req_t *req, int status, const char *body,
    size_t len)
{
	if (e->stopping)
		req->http1_is_persistent = 0;
	req->res.status = status;
	req->res.reason = status_phrase(status);
	req->res.content_length =
	    status == 204 || status == 304 ? SIZE_MAX : len;
	h2o_send_inline(req, body, len);
}

static void
send_json(struct agb_edge *e, h2o_req_t *req, int status,
    enum agb_outcome outcome, const char *body, size_t len)
{
	header_add(req, "content-type", "application/json");
	header_add(req, "agatebeam-outcome", agb_outcome_name(outcome));
	send_body(e, req, status, body, len);
}

static void
send_refusal(
    struct agb_edge *e, h2o_req_t *req, const struct agb_edge_refusal *no)
{
	char *body;

	if (no->reason == AGB_REASON_BAD_CREDENTIAL)
		e->n.refused_credential++;
	else
		e->n.refused_request++;
	if (no->allow != NULL)
		header_add(req, "allow", no->allow);
	if (no->http_status == 401)
		header_add(req, "www-authenticate", "Bearer");
	body = agb_edge_error_body(AGB_NOT_RUN, no->reason, no->detail, 0);
	send_json(e, req, no->http_status, AGB_NOT_RUN, body, strlen(body));
	free(body);
}

static char *
metrics_text(struct agb_edge *e)
{
	const struct agb_edge_counters *const n = &e->n;
	char *further, *text;

	further = e->cbs.metrics != NULL ? e->cbs.metrics(e->arg) : NULL;
	text = agb_xasprintf(
	    "%sagatebeam_edge_connections %zu\n"
	    "agatebeam_edge_calls_active %" PRIu64 "\n"
	    "agatebeam_edge_connections_total %" PRIu64 "\n"
	    "agatebeam_edge_calls_total %" PRIu64 "\n"
	    "agatebeam_edge_calls_gone_total %" PRIu64 "\n"
	    "agatebeam_edge_answers_late_total %" PRIu64 "\n"
	    "agatebeam_edge_refused_total{limit=\"request\"} %" PRIu64 "\n"
	    "agatebeam_edge_refused_total{limit=\"credential\"} %" PRIu64 "\n"
	    "agatebeam_edge_refused_total{limit=\"head_size\"} %" PRIu64 "\n"
	    "agatebeam_edge_refused_total{limit=\"body_size\"} %" PRIu64 "\n"
	    "agatebeam_edge_refused_total{limit=\"time\"} %" PRIu64 "\n"
	    "agatebeam_edge_refused_total{limit=\"connections\"} %" PRIu64 "\n"
	    "agatebeam_edge_dropped_idle_total %" PRIu64 "\n",
	    further != NULL ? further : "", e->conns_len, n->active,
	    n->accepted, n->calls, n->calls_gone, n->answers_late,
	    n->refused_request, n->refused_credential, n->refused_head_size,
	    n->refused_body_size, n->refused_head_timeout,
	    n->refused_connections, n->dropped_idle);
	free(further);
	return text;
}

static void
send_text(struct agb_edge *e, h2o_req_t *req, enum agb_edge_target target)
{
	bool ok;
	char *text;

	ok = target != AGB_TARGET_READYZ || e->ready;
	if (target == AGB_TARGET_METRICS)
		text = metrics_text(e);
	else
		text = agb_xstrdup(ok ? "ok\n" : "not ready\n");
	header_add(req, "content-type",
	    target == AGB_TARGET_METRICS ? "text/plain; version=0.0.4"
					 : "text/plain");
	header_add(req, "agatebeam-outcome",
	    agb_outcome_name(ok ? AGB_RAN : AGB_NOT_RUN));
	send_body(e, req, ok ? 200 : 503, text, strlen(text));
	free(text);
}

static bool
named_by_connection(const h2o_req_t *req, const h2o_iovec_t *name)
{
	const h2o_header_t *h;
	size_t i;

	for (i = 0; i < req->headers.size; i++) {
		h = &req->headers.entries[i];
		if (h2o_memis(h->name->base, h->name->len,
			H2O_STRLIT("connection")) &&
		    agb_edge_in_list(
			h->value.base, h->value.len, name->base, name->len))
			return true;
	}
	return false;
}

/* Copies what the runner shall see into the request's memory pool. */
static void
keep_request(struct agb_edge_call *call, h2o_req_t *req)
{
	const h2o_header_t *h;
	size_t i;

	call->method =
	    h2o_strdup(&req->pool, req->method.base, req->method.len).base;
	call->path = h2o_strdup(&req->pool, req->path.base, req->path.len).base;
	call->headers = h2o_mem_alloc_pool(
	    &req->pool, (req->headers.size + 1) * sizeof(*call->headers));
	for (i = 0; i < req->headers.size; i++) {
		h = &req->headers.entries[i];
		if (agb_edge_is_hop(h->name->base, h->name->len) ||
		    named_by_connection(req, h->name))
			continue;
		call->headers[call->headers_len].name =
		    h2o_strdup(&req->pool, h->name->base, h->name->len).base;
		call->headers[call->headers_len].value =
		    h2o_strdup(&req->pool, h->value.base, h->value.len).base;
		call->headers_len++;
	}
}

static void
watch_connection(
    struct agb_edge *e, struct agb_edge_call *call, struct agb_edge_conn *c)
{
	struct epoll_event ee = {.events = EPOLLRDHUP | EPOLLONESHOT};
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0)
		return;
	ee.data.u64 = call_id(e, call);
	if (epoll_ctl(e->epoll_fd, EPOLL_CTL_ADD, fd, &ee) == 0)
		call->fd = fd;
}

static void
start_call(struct agb_edge *e, h2o_req_t *req, struct guard *g,
    struct agb_ev_call *parsed)
{
	struct agb_event ev = {.type = AGB_EV_CALL, .u.call = *parsed};
	struct agb_edge_call *call;
	char *text;

	text = NULL;
	if (parsed->kind == AGB_CALL_STATUS && e->cbs.status != NULL)
		text = e->cbs.status(e->arg);
	if (text != NULL) {
		send_json(e, req, 200, AGB_RAN, text, strlen(text));
		free(text);
		return;
	}
	call = call_new(e);
	call->req = req;
	call->kind = parsed->kind;
	g->call_id = call_id(e, call);
	if (call->kind == AGB_CALL_QUICK)
		keep_request(call, req);
	if (g->conn != NULL)
		watch_connection(e, call, g->conn);
	e->n.calls++;
	ev.call_id = ev.u.call.id = g->call_id;
	e->cbs.on_event(e->arg, &ev);
	agb_event_free(&ev);
}

/* Pipelined heads reach h2o without the check in edge_conn.c. */
static bool
head_refused(struct agb_edge *e, struct agb_edge_conn *c, h2o_req_t *req,
    struct agb_edge_refusal *no)
{
	struct agb_edge_head head;
	size_t i, len;

	memset(no, 0, sizeof(*no));
	no->reason = AGB_REASON_BAD_REQUEST;
	if (c != NULL) {
		switch (agb_edge_head_check(c->sock->input->bytes,
		    c->sock->input->size, e->s.head_max, &head)) {
		case AGB_HEAD_WHOLE:
			return false;
		case AGB_HEAD_LONG:
			break;
		default:
			no->http_status = 400;
			agb_name_set(no->detail, sizeof(no->detail),
			    "the request head is malformed");
			return true;
		}
		len = e->s.head_max + (size_t)1;
	} else {
		len = req->method.len + req->path.len + req->authority.len;
		for (i = 0; i < req->headers.size; i++)
			len += req->headers.entries[i].name->len +
			    req->headers.entries[i].value.len + 4;
	}
	if (len <= e->s.head_max)
		return false;
	e->n.refused_head_size++;
	no->http_status = 431;
	agb_name_set(no->detail, sizeof(no->detail),
	    "the request head is larger than the limit");
	return true;
}

static enum agb_edge_target
check_request(struct agb_edge *e, h2o_req_t *req, struct agb_ev_call *call,
    struct agb_edge_refusal *no)
{
	struct agb_edge_raw raw = {
	    .method = {req->method.base, req->method.len},
	    .path = {req->path.base, req->path.len},
	    .fields_len = req->headers.size,
	    .body = {req->entity.base != NULL ? req->entity.base : "",
		req->entity.len},
	};
	const h2o_header_t *h;
	struct agb_edge_field *fields;
	enum agb_edge_target target;
	size_t i;

	fields = agb_xcalloc(raw.fields_len, sizeof(*fields));
	for (i = 0; i < raw.fields_len; i++) {
		h = &req->headers.entries[i];
		fields[i].name.p = h->name->base;
		fields[i].name.len = h->name->len;
		fields[i].value.p = h->value.base;
		fields[i].value.len = h->value.len;
	}
	raw.fields = fields;
	target = agb_edge_parse(&raw, call, no);
	free(fields);
	return target;
}

static int
on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct agb_edge *const e = ((struct handler *)self)->e;
	struct agb_edge_refusal no;
	struct agb_edge_conn *c;
	struct agb_ev_call call;
	enum agb_edge_target target;
	struct guard *g;

	c = agb_edge_conn_of(req);
	if (req->version >= 0x200) {
		c->http2 = true;
		c = NULL;
	} else
		c->in_call = true;
	g = h2o_mem_alloc_shared(&req->pool, sizeof(*g), guard_dispose);
	*g = (struct guard){.e = e, .conn = c};
	if (head_refused(e, c, req, &no)) {
		req->http1_is_persistent = 0;
		send_refusal(e, req, &no);
		return 0;
	}
	target = check_request(e, req, &call, &no);
	switch (target) {
	case AGB_TARGET_REFUSED:
		send_refusal(e, req, &no);
		break;
	case AGB_TARGET_CALL:
		start_call(e, req, g, &call);
		break;
	case AGB_TARGET_HEALTHZ:
	case AGB_TARGET_READYZ:
	case AGB_TARGET_METRICS:
		send_text(e, req, target);
		break;
	}
	return 0;
}

/*
 * h2o itself answers a body that is too large or badly chunked, with plain
 * text. The filter gives these answers the form of all others.
 */
struct error_ostream {
	h2o_ostream_t super;
	h2o_iovec_t body;
};

static void
error_send(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs,
    size_t bufs_len, h2o_send_state_t state)
{
	struct error_ostream *const o = (struct error_ostream *)self;

	h2o_ostream_send_next(self, req, &o->body, bufs_len > 0 ? 1 : 0, state);
}

static void
on_h2o_error(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	struct agb_edge *const e =
	    H2O_STRUCT_FROM_MEMBER(struct agb_edge, ctx, req->conn->ctx);
	struct error_ostream *o;
	struct agb_edge_conn *c;
	char *body;

	c = agb_edge_conn_of(req);
	if (req->res.status == 413)
		e->n.refused_body_size++;
	else
		e->n.refused_request++;
	body = agb_edge_error_body(AGB_NOT_RUN, AGB_REASON_BAD_REQUEST,
	    req->res.status == 413 ? "the request body is larger than the limit"
				   : "the request is malformed",
	    0);
	h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
	    H2O_STRLIT("application/json"), 1);
	h2o_add_header_by_str(&req->pool, &req->res.headers,
	    H2O_STRLIT("agatebeam-outcome"), 0, NULL, H2O_STRLIT("not-run"));
	o = (struct error_ostream *)h2o_add_ostream(req, sizeof(*o), slot);
	o->super.do_send = error_send;
	o->body = h2o_strdup(&req->pool, body, SIZE_MAX);
	free(body);
	req->res.content_length = o->body.len;
	if (req->version < 0x200) {
		c->in_call = true;
		req->http1_is_persistent = 0;
		agb_edge_conn_linger(c);
	}
	h2o_setup_next_ostream(req, &o->super.next);
}

bool
agb_edge_reply(
    struct agb_edge *e, uint64_t id, const struct agb_ef_reply *reply)
{
	struct agb_edge_call *const call = call_get(e, id);
	char seconds[16], *body;
	h2o_req_t *req;

	if (call == NULL || call->state != AGB_CALL_PENDING) {
		e->n.answers_late++;
		return false;
	}
	req = call->req;
	call->state = AGB_CALL_ANSWERED;
	call_unwatch(e, call);
	if (reply->retry_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%u",
		    (unsigned)(((uint64_t)reply->retry_ms + 999) / 1000));
		header_add(req, "retry-after", seconds);
	}
	if (reply->body != NULL) {
		send_json(e, req, reply->http_status, reply->outcome,
		    reply->body, reply->body_len);
		return true;
	}
	body = agb_edge_error_body(
	    reply->outcome, reply->reason, reply->detail, reply->retry_ms);
	send_json(
	    e, req, reply->http_status, reply->outcome, body, strlen(body));
	free(body);
	return true;
}

bool
agb_edge_body(struct agb_edge *e, uint64_t id, struct agb_edge_request *out)
{
	const struct agb_edge_call *const call = call_get(e, id);

	memset(out, 0, sizeof(*out));
	if (call == NULL || call->state != AGB_CALL_PENDING ||
	    call->kind != AGB_CALL_QUICK)
		return false;
	out->method = call->method;
	out->path = call->path;
	out->headers = call->headers;
	out->headers_len = call->headers_len;
	out->body = call->req->entity.base;
	out->body_len = call->req->entity.len;
	return true;
}

bool
agb_edge_answer_set(
    struct agb_edge *e, uint64_t id, const struct agb_edge_answer *ans)
{
	struct agb_edge_call *const call = call_get(e, id);
	struct agb_httpc_header *headers;
	size_t i;

	if (call == NULL || call->state != AGB_CALL_PENDING) {
		e->n.answers_late++;
		return false;
	}
	answer_clear(call);
	call->answer = *ans;
	headers = agb_xcalloc(ans->headers_len, sizeof(*headers));
	for (i = 0; i < ans->headers_len; i++) {
		headers[i].name = agb_xstrdup(ans->headers[i].name);
		headers[i].value = agb_xstrdup(ans->headers[i].value);
	}
	call->answer.headers = headers;
	call->answer.body = agb_xmemdup(ans->body, ans->body_len);
	call->has_answer = true;
	return true;
}

bool
agb_edge_forward(struct agb_edge *e, uint64_t id)
{
	static const struct agb_ef_reply missing = {
	    .http_status = 502,
	    .outcome = AGB_UNKNOWN,
	    .reason = AGB_REASON_UPSTREAM_LOST,
	    .detail = "the upstream's answer is not held here",
	};
	struct agb_edge_call *const call = call_get(e, id);
	const struct agb_httpc_header *h;
	size_t i;

	if (call == NULL || call->state != AGB_CALL_PENDING) {
		e->n.answers_late++;
		return false;
	}
	if (!call->has_answer)
		return agb_edge_reply(e, id, &missing);
	call->state = AGB_CALL_ANSWERED;
	call_unwatch(e, call);
	for (i = 0; i < call->answer.headers_len; i++) {
		h = &call->answer.headers[i];
		if (!agb_edge_is_hop(h->name, strlen(h->name)))
			header_add(call->req, h->name, h->value);
	}
	send_body(e, call->req, call->answer.http_status, call->answer.body,
	    call->answer.body_len);
	return true;
}

static void
connection_ended(struct agb_edge *e, uint64_t id)
{
	struct agb_edge_call *const call = call_get(e, id);
	h2o_req_t *req;

	if (call == NULL || call->state != AGB_CALL_PENDING)
		return;
	req = call->req;
	call->state = AGB_CALL_ANSWERED;
	call_unwatch(e, call);
	raise_gone(e, id);
	/* h2o notices the end of the connection only when it writes. */
	req->http1_is_persistent = 0;
	send_body(e, req, 499, "", 0);
}

static void
on_epoll(uv_poll_t *h, int status, int events)
{
	struct agb_edge *const e = h->data;
	struct epoll_event ee[GONE_BATCH];
	int n, i;

	n = epoll_wait(e->epoll_fd, ee, GONE_BATCH, 0);
	for (i = 0; i < n; i++)
		connection_ended(e, ee[i].data.u64);
}

static void
config_init(struct agb_edge *e)
{
	const uint64_t limit =
	    (uint64_t)e->s.head_timeout_ms + e->s.call_timeout_ms;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	h2o_filter_t *filter;
	struct handler *handler;

	h2o_config_init(&e->config);
	e->config.server_name = h2o_iovec_init(H2O_STRLIT("agatebeam"));
	e->config.max_request_entity_size = e->s.body_max;
	/* Behind our own limits, which answer before they close. */
	e->config.http1.req_timeout = limit > 100000 ? limit : 100000;
	e->config.http2.idle_timeout = e->config.http1.req_timeout;
	host = h2o_config_register_host(
	    &e->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_req;
	handler->e = e;
	filter = h2o_create_filter(&host->fallback_path, sizeof(*filter));
	filter->on_setup_ostream = on_h2o_error;
	h2o_context_init(&e->ctx, e->loop, &e->config);
	e->accept.ctx = &e->ctx;
	e->accept.hosts = e->config.hosts;
}

struct agb_edge *
agb_edge_new(uv_loop_t *loop, const struct agb_settings *s,
    const struct agb_edge_cbs *cbs, void *arg)
{
	struct agb_edge *e;
	int rc;

	/* libuv writes to closed connections without MSG_NOSIGNAL. */
	signal(SIGPIPE, SIG_IGN);
	e = agb_xcalloc(1, sizeof(*e));
	e->loop = loop;
	e->s = *s;
	e->cbs = *cbs;
	e->arg = arg;
	e->free_call = NO_CALL;
	h2o_linklist_init_anchor(&e->conns);
	h2o_linklist_init_anchor(&e->dirty);
	h2o_linklist_init_anchor(&e->lingers);
	e->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (e->epoll_fd < 0) {
		free(e);
		return NULL;
	}
	uv_tcp_init(loop, &e->listener);
	uv_timer_init(loop, &e->sweep);
	uv_prepare_init(loop, &e->rehook);
	uv_poll_init(loop, &e->poll, e->epoll_fd);
	e->listener.data = e->sweep.data = e->rehook.data = e->poll.data = e;
	config_init(e);
	rc = agb_edge_conn_listen(e);
	if (rc != 0) {
		agb_edge_free(e);
		errno = -rc;
		return NULL;
	}
	uv_timer_start(&e->sweep, agb_edge_conn_sweep, SWEEP_MS, SWEEP_MS);
	uv_prepare_start(&e->rehook, agb_edge_conn_rehook);
	uv_poll_start(&e->poll, UV_READABLE, on_epoll);
	return e;
}

const char *
agb_edge_address(const struct agb_edge *e)
{
	return e->address;
}

void
agb_edge_ready_set(struct agb_edge *e, bool ready)
{
	e->ready = ready;
}

static void
listener_close(struct agb_edge *e)
{
	if (e->listener_closed)
		return;
	e->listener_closed = true;
	uv_close((uv_handle_t *)&e->listener, NULL);
}

void
agb_edge_listen_stop(struct agb_edge *e)
{
	if (e->stopping)
		return;
	e->stopping = true;
	listener_close(e);
	h2o_context_request_shutdown(&e->ctx);
}

size_t
agb_edge_active(const struct agb_edge *e)
{
	return e->n.active;
}

void
agb_edge_counters(const struct agb_edge *e, struct agb_edge_counters *out)
{
	*out = e->n;
	out->connections = e->conns_len;
}

static void
last_close(uv_handle_t *h)
{
	struct agb_edge *const e = h->data;

	free(e->calls);
	free(e);
}

/* Handles closed in one turn of the loop end in no fixed order. */
static void
sweep_closed(uv_handle_t *h)
{
	struct agb_edge *const e = h->data;

	uv_timer_init(e->loop, &e->sweep);
	e->sweep.data = e;
	uv_close((uv_handle_t *)&e->sweep, last_close);
}

void
agb_edge_finish(struct agb_edge *e)
{
	if (!e->closing || e->finished || e->conns_len > 0 ||
	    e->lingers_len > 0)
		return;
	e->finished = true;
	/* Left linked by a graceful shutdown less than a second ago. */
	h2o_timeout_unlink(&e->ctx.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&e->ctx);
	h2o_config_dispose(&e->config);
	uv_close((uv_handle_t *)&e->rehook, NULL);
	uv_close((uv_handle_t *)&e->poll, NULL);
	close(e->epoll_fd);
	uv_close((uv_handle_t *)&e->sweep, sweep_closed);
}

void
agb_edge_free(struct agb_edge *e)
{
	static const struct agb_ef_reply ending = {
	    .http_status = 503,
	    .outcome = AGB_UNKNOWN,
	    .reason = AGB_REASON_DRAINING,
	    .detail = "this instance has ended before the answer",
	};
	size_t i;

	if (e == NULL || e->closing)
		return;
	e->closing = true;
	listener_close(e);
	for (i = 0; i < e->calls_len; i++) {
		if (e->calls[i].state != AGB_CALL_PENDING)
			continue;
		e->calls[i].req->http1_is_persistent = 0;
		agb_edge_reply(e, call_id(e, &e->calls[i]), &ending);
	}
	agb_edge_conn_close_all(e);
	agb_edge_finish(e);
}

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

#define NO_SLOT UINT32_MAX
/* Disconnects handled in one iteration of the loop. */
#define EPOLL_BATCH_MAX 64
/* Interval of the timeout check; a timeout may fire late by this much. */
#define TIMEOUT_CHECK_MS 100U

/**
 * struct request_guard - allocated in a request's memory pool; its disposal
 * callback runs when h2o has ended the request
 * @conn: NULL for an HTTP/2 stream
 * @call_id: 0 until the request becomes a call
 */
struct request_guard {
	struct agb_edge *edge;
	struct agb_edge_conn *conn;
	uint64_t call_id;
};

struct edge_handler {
	h2o_handler_t super;
	struct agb_edge *edge;
};

static uint64_t
call_id(const struct agb_edge *e, const struct agb_edge_call *call)
{
	return (uint64_t)call->generation << 32 | (uint64_t)(call - e->calls);
}

static struct agb_edge_call *
call_get(const struct agb_edge *e, uint64_t id)
{
	const uint64_t slot = id & UINT32_MAX;
	struct agb_edge_call *call;

	if (slot >= e->calls_len)
		return NULL;
	call = &e->calls[slot];
	return call->generation == id >> 32 && call->state != AGB_CALL_FREE
	    ? call
	    : NULL;
}

static struct agb_edge_call *
call_new(struct agb_edge *e)
{
	struct agb_edge_call *call;
	size_t i, len;

	if (e->first_free_slot == NO_SLOT) {
		len = e->calls_len > 0 ? e->calls_len * 2 : 64;
		e->calls = agb_xreallocarray(e->calls, len, sizeof(*e->calls));
		for (i = e->calls_len; i < len; i++) {
			memset(&e->calls[i], 0, sizeof(*e->calls));
			e->calls[i].next_free_slot =
			    i + 1 < len ? (uint32_t)i + 1 : NO_SLOT;
		}
		e->first_free_slot = (uint32_t)e->calls_len;
		e->calls_len = len;
	}
	call = &e->calls[e->first_free_slot];
	e->first_free_slot = call->next_free_slot;
	/* Generation 0 is never used, so that no id is 0. */
	if (++call->generation == 0)
		call->generation = 1;
	call->state = AGB_CALL_PENDING;
	call->fd = -1;
	e->counters.calls_active++;
	return call;
}

static void
response_clear(struct agb_edge_call *call)
{
	size_t i;

	for (i = 0; i < call->response.headers_len; i++) {
		free((char *)(uintptr_t)call->response.headers[i].name);
		free((char *)(uintptr_t)call->response.headers[i].value);
	}
	free((void *)(uintptr_t)call->response.headers);
	free((void *)(uintptr_t)call->response.body);
	memset(&call->response, 0, sizeof(call->response));
	call->has_response = false;
}

static void
unwatch_disconnect(struct agb_edge *e, struct agb_edge_call *call)
{
	if (call->fd >= 0)
		epoll_ctl(e->epoll_fd, EPOLL_CTL_DEL, call->fd, NULL);
	call->fd = -1;
}

static void
call_free(struct agb_edge *e, struct agb_edge_call *call)
{
	unwatch_disconnect(e, call);
	response_clear(call);
	call->state = AGB_CALL_FREE;
	call->req = NULL;
	call->headers = NULL;
	call->headers_len = 0;
	call->next_free_slot = e->first_free_slot;
	e->first_free_slot = (uint32_t)(call - e->calls);
	e->counters.calls_active--;
}

static void
emit_call_gone(struct agb_edge *e, uint64_t id)
{
	struct agb_event ev = {.type = AGB_EV_CALL_CLOSED, .call_id = id};

	e->counters.calls_gone++;
	if (!e->closing)
		e->cbs.on_event(e->arg, &ev);
	agb_event_free(&ev);
}

static void
request_guard_dispose(void *p)
{
	struct request_guard *const g = p;
	struct agb_edge_call *call;
	bool gone;

	if (g->conn != NULL)
		agb_edge_conn_request_done(g->conn);
	call = call_get(g->edge, g->call_id);
	if (call == NULL)
		return;
	gone = call->state == AGB_CALL_PENDING;
	call_free(g->edge, call);
	if (gone)
		emit_call_gone(g->edge, g->call_id);
}

static const char *
reason_phrase(int status)
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
	req->res.reason = reason_phrase(status);
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
    struct agb_edge *e, h2o_req_t *req, const struct agb_edge_refusal *refusal)
{
	char *body;

	if (refusal->reason == AGB_REASON_BAD_CREDENTIAL)
		e->counters.refused_credential++;
	else
		e->counters.refused_request++;
	if (refusal->allow != NULL)
		header_add(req, "allow", refusal->allow);
	if (refusal->http_status == 401)
		header_add(req, "www-authenticate", "Bearer");
	body = agb_edge_error_body(
	    AGB_OUTCOME_NOT_RUN, refusal->reason, refusal->detail, 0);
	send_json(e, req, refusal->http_status, AGB_OUTCOME_NOT_RUN, body,
	    strlen(body));
	free(body);
}

static char *
metrics_text(struct agb_edge *e)
{
	const struct agb_edge_counters *const n = &e->counters;
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
	    further != NULL ? further : "", e->conns_len, n->calls_active,
	    n->connections_accepted, n->calls, n->calls_gone, n->answers_late,
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
	    agb_outcome_name(ok ? AGB_OUTCOME_RAN : AGB_OUTCOME_NOT_RUN));
	send_body(e, req, ok ? 200 : 503, text, strlen(text));
	free(text);
}

static bool
listed_in_connection_header(const h2o_req_t *req, const h2o_iovec_t *name)
{
	const h2o_header_t *h;
	size_t i;

	for (i = 0; i < req->headers.size; i++) {
		h = &req->headers.entries[i];
		if (h2o_memis(h->name->base, h->name->len,
			H2O_STRLIT("connection")) &&
		    agb_edge_list_has_token(
			h->value.base, h->value.len, name->base, name->len))
			return true;
	}
	return false;
}

/* Copies the parts that are forwarded to the runner into the memory pool. */
static void
copy_request(struct agb_edge_call *call, h2o_req_t *req)
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
		if (agb_edge_must_drop_header(h->name->base, h->name->len) ||
		    listed_in_connection_header(req, h->name))
			continue;
		call->headers[call->headers_len].name =
		    h2o_strdup(&req->pool, h->name->base, h->name->len).base;
		call->headers[call->headers_len].value =
		    h2o_strdup(&req->pool, h->value.base, h->value.len).base;
		call->headers_len++;
	}
}

static void
watch_disconnect(
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
start_call(struct agb_edge *e, h2o_req_t *req, struct request_guard *g,
    struct agb_ev_call *parsed)
{
	struct agb_event ev = {.type = AGB_EV_CALL, .u.call = *parsed};
	struct agb_edge_call *call;
	char *text;

	text = NULL;
	if (parsed->kind == AGB_CALL_STATUS && e->cbs.status != NULL)
		text = e->cbs.status(e->arg);
	if (text != NULL) {
		send_json(e, req, 200, AGB_OUTCOME_RAN, text, strlen(text));
		free(text);
		return;
	}
	call = call_new(e);
	call->req = req;
	call->kind = parsed->kind;
	g->call_id = call_id(e, call);
	if (call->kind == AGB_CALL_QUICK)
		copy_request(call, req);
	if (g->conn != NULL)
		watch_disconnect(e, call, g->conn);
	e->counters.calls++;
	ev.call_id = ev.u.call.id = g->call_id;
	e->cbs.on_event(e->arg, &ev);
	agb_event_free(&ev);
}

/*
 * h2o parses the head of a pipelined request without the check in edge_conn.c,
 * so every head is checked here too. For HTTP/2 only the size is checked.
 */
static bool
head_refused(struct agb_edge *e, struct agb_edge_conn *c, h2o_req_t *req,
    struct agb_edge_refusal *refusal)
{
	struct agb_edge_head head;
	size_t i, len;

	memset(refusal, 0, sizeof(*refusal));
	refusal->reason = AGB_REASON_BAD_REQUEST;
	if (c != NULL) {
		switch (agb_edge_head_check(c->sock->input->bytes,
		    c->sock->input->size, e->settings.head_max, &head)) {
		case AGB_HEAD_COMPLETE:
			return false;
		case AGB_HEAD_TOO_LONG:
			break;
		default:
			refusal->http_status = 400;
			agb_str_copy(refusal->detail, sizeof(refusal->detail),
			    "the request head is malformed");
			return true;
		}
		len = e->settings.head_max + (size_t)1;
	} else {
		len = req->method.len + req->path.len + req->authority.len;
		for (i = 0; i < req->headers.size; i++)
			len += req->headers.entries[i].name->len +
			    req->headers.entries[i].value.len + 4;
	}
	if (len <= e->settings.head_max)
		return false;
	e->counters.refused_head_size++;
	refusal->http_status = 431;
	agb_str_copy(refusal->detail, sizeof(refusal->detail),
	    "the request head is larger than the limit");
	return true;
}

static enum agb_edge_target
check_request(struct agb_edge *e, h2o_req_t *req, struct agb_ev_call *call,
    struct agb_edge_refusal *refusal)
{
	struct agb_edge_raw_request raw = {
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
	target = agb_edge_parse_request(&raw, call, refusal);
	free(fields);
	return target;
}

static int
on_req(h2o_handler_t *self, h2o_req_t *req)
{
	struct agb_edge *const e = ((struct edge_handler *)self)->edge;
	struct agb_edge_refusal refusal;
	struct agb_edge_conn *c;
	struct agb_ev_call call;
	enum agb_edge_target target;
	struct request_guard *g;

	c = agb_edge_conn_from_request(req);
	if (req->version >= 0x200) {
		c->http2 = true;
		c = NULL;
	} else
		c->request_active = true;
	g = h2o_mem_alloc_shared(&req->pool, sizeof(*g), request_guard_dispose);
	*g = (struct request_guard){.edge = e, .conn = c};
	if (head_refused(e, c, req, &refusal)) {
		req->http1_is_persistent = 0;
		send_refusal(e, req, &refusal);
		return 0;
	}
	target = check_request(e, req, &call, &refusal);
	switch (target) {
	case AGB_TARGET_REFUSED:
		send_refusal(e, req, &refusal);
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
 * h2o responds in plain text to a body that is too large or badly chunked.
 * This filter replaces the text by the JSON body that all other refusals have.
 */
struct error_ostream {
	h2o_ostream_t super;
	h2o_iovec_t body;
};

static void
error_body_send(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs,
    size_t bufs_len, h2o_send_state_t state)
{
	struct error_ostream *const o = (struct error_ostream *)self;

	h2o_ostream_send_next(self, req, &o->body, bufs_len > 0 ? 1 : 0, state);
}

static void
on_error_response(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	struct agb_edge *const e =
	    H2O_STRUCT_FROM_MEMBER(struct agb_edge, ctx, req->conn->ctx);
	struct error_ostream *o;
	struct agb_edge_conn *c;
	char *body;

	c = agb_edge_conn_from_request(req);
	if (req->res.status == 413)
		e->counters.refused_body_size++;
	else
		e->counters.refused_request++;
	body = agb_edge_error_body(AGB_OUTCOME_NOT_RUN, AGB_REASON_BAD_REQUEST,
	    req->res.status == 413 ? "the request body is larger than the limit"
				   : "the request is malformed",
	    0);
	h2o_set_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
	    H2O_STRLIT("application/json"), 1);
	h2o_add_header_by_str(&req->pool, &req->res.headers,
	    H2O_STRLIT("agatebeam-outcome"), 0, NULL, H2O_STRLIT("not-run"));
	o = (struct error_ostream *)h2o_add_ostream(req, sizeof(*o), slot);
	o->super.do_send = error_body_send;
	o->body = h2o_strdup(&req->pool, body, SIZE_MAX);
	free(body);
	req->res.content_length = o->body.len;
	if (req->version < 0x200) {
		c->request_active = true;
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
		e->counters.answers_late++;
		return false;
	}
	req = call->req;
	call->state = AGB_CALL_ANSWERED;
	unwatch_disconnect(e, call);
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
agb_edge_request_get(
    struct agb_edge *e, uint64_t id, struct agb_edge_request *out)
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
agb_edge_response_set(
    struct agb_edge *e, uint64_t id, const struct agb_edge_response *rsp)
{
	struct agb_edge_call *const call = call_get(e, id);
	struct agb_httpc_header *headers;
	size_t i;

	if (call == NULL || call->state != AGB_CALL_PENDING) {
		e->counters.answers_late++;
		return false;
	}
	response_clear(call);
	call->response = *rsp;
	headers = agb_xcalloc(rsp->headers_len, sizeof(*headers));
	for (i = 0; i < rsp->headers_len; i++) {
		headers[i].name = agb_xstrdup(rsp->headers[i].name);
		headers[i].value = agb_xstrdup(rsp->headers[i].value);
	}
	call->response.headers = headers;
	call->response.body = agb_xmemdup(rsp->body, rsp->body_len);
	call->has_response = true;
	return true;
}

bool
agb_edge_forward(struct agb_edge *e, uint64_t id)
{
	static const struct agb_ef_reply missing = {
	    .http_status = 502,
	    .outcome = AGB_OUTCOME_UNKNOWN,
	    .reason = AGB_REASON_UPSTREAM_LOST,
	    .detail = "the upstream's answer is not held here",
	};
	struct agb_edge_call *const call = call_get(e, id);
	const struct agb_httpc_header *h;
	size_t i;

	if (call == NULL || call->state != AGB_CALL_PENDING) {
		e->counters.answers_late++;
		return false;
	}
	if (!call->has_response)
		return agb_edge_reply(e, id, &missing);
	call->state = AGB_CALL_ANSWERED;
	unwatch_disconnect(e, call);
	for (i = 0; i < call->response.headers_len; i++) {
		h = &call->response.headers[i];
		if (!agb_edge_must_drop_header(h->name, strlen(h->name)))
			header_add(call->req, h->name, h->value);
	}
	send_body(e, call->req, call->response.http_status, call->response.body,
	    call->response.body_len);
	return true;
}

static void
client_disconnected(struct agb_edge *e, uint64_t id)
{
	struct agb_edge_call *const call = call_get(e, id);
	h2o_req_t *req;

	if (call == NULL || call->state != AGB_CALL_PENDING)
		return;
	req = call->req;
	call->state = AGB_CALL_ANSWERED;
	unwatch_disconnect(e, call);
	emit_call_gone(e, id);
	/* h2o detects the disconnect only when it writes. */
	req->http1_is_persistent = 0;
	send_body(e, req, 499, "", 0);
}

static void
on_epoll(uv_poll_t *h, int status, int events)
{
	struct agb_edge *const e = h->data;
	struct epoll_event ee[EPOLL_BATCH_MAX];
	int n, i;

	n = epoll_wait(e->epoll_fd, ee, EPOLL_BATCH_MAX, 0);
	for (i = 0; i < n; i++)
		client_disconnected(e, ee[i].data.u64);
}

static void
config_init(struct agb_edge *e)
{
	const uint64_t limit =
	    (uint64_t)e->settings.head_timeout_ms + e->settings.call_timeout_ms;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	h2o_filter_t *filter;
	struct edge_handler *handler;

	h2o_config_init(&e->config);
	e->config.server_name = h2o_iovec_init(H2O_STRLIT("agatebeam"));
	e->config.max_request_entity_size = e->settings.body_max;
	/* Longer than the limits in edge_conn.c, which send a response before
	 * they close the connection. */
	e->config.http1.req_timeout = limit > 100000 ? limit : 100000;
	e->config.http2.idle_timeout = e->config.http1.req_timeout;
	host = h2o_config_register_host(
	    &e->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler =
	    (struct edge_handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_req;
	handler->edge = e;
	filter = h2o_create_filter(&host->fallback_path, sizeof(*filter));
	filter->on_setup_ostream = on_error_response;
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

	/* libuv writes without MSG_NOSIGNAL, so a closed connection would raise
	 * SIGPIPE. */
	signal(SIGPIPE, SIG_IGN);
	e = agb_xcalloc(1, sizeof(*e));
	e->loop = loop;
	e->settings = *s;
	e->cbs = *cbs;
	e->arg = arg;
	e->first_free_slot = NO_SLOT;
	h2o_linklist_init_anchor(&e->conns);
	h2o_linklist_init_anchor(&e->unhooked);
	h2o_linklist_init_anchor(&e->lingers);
	e->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (e->epoll_fd < 0) {
		free(e);
		return NULL;
	}
	uv_tcp_init(loop, &e->listener);
	uv_timer_init(loop, &e->timeout_timer);
	uv_prepare_init(loop, &e->hook_prepare);
	uv_poll_init(loop, &e->epoll_poll, e->epoll_fd);
	e->listener.data = e->timeout_timer.data = e->hook_prepare.data =
	    e->epoll_poll.data = e;
	config_init(e);
	rc = agb_edge_conn_listen(e);
	if (rc != 0) {
		agb_edge_free(e);
		errno = -rc;
		return NULL;
	}
	uv_timer_start(&e->timeout_timer, agb_edge_conn_enforce_timeouts,
	    TIMEOUT_CHECK_MS, TIMEOUT_CHECK_MS);
	uv_prepare_start(&e->hook_prepare, agb_edge_conn_install_hooks);
	uv_poll_start(&e->epoll_poll, UV_READABLE, on_epoll);
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
agb_edge_calls_active(const struct agb_edge *e)
{
	return e->counters.calls_active;
}

void
agb_edge_counters(const struct agb_edge *e, struct agb_edge_counters *out)
{
	*out = e->counters;
	out->connections_open = e->conns_len;
}

static void
edge_free_cb(uv_handle_t *h)
{
	struct agb_edge *const e = h->data;

	free(e->calls);
	free(e);
}

/*
 * The order in which libuv calls the close callbacks of one loop iteration is
 * not defined. The timer is closed a second time, one iteration later, so that
 * edge_free_cb() runs after all other close callbacks.
 */
static void
timeout_timer_closed(uv_handle_t *h)
{
	struct agb_edge *const e = h->data;

	uv_timer_init(e->loop, &e->timeout_timer);
	e->timeout_timer.data = e;
	uv_close((uv_handle_t *)&e->timeout_timer, edge_free_cb);
}

void
agb_edge_free_when_closed(struct agb_edge *e)
{
	if (!e->closing || e->freeing || e->conns_len > 0 || e->lingers_len > 0)
		return;
	e->freeing = true;
	/* h2o leaves this timeout linked for up to a second after a graceful
	 * shutdown. */
	h2o_timeout_unlink(&e->ctx.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&e->ctx);
	h2o_config_dispose(&e->config);
	uv_close((uv_handle_t *)&e->hook_prepare, NULL);
	uv_close((uv_handle_t *)&e->epoll_poll, NULL);
	close(e->epoll_fd);
	uv_close((uv_handle_t *)&e->timeout_timer, timeout_timer_closed);
}

void
agb_edge_free(struct agb_edge *e)
{
	static const struct agb_ef_reply ending = {
	    .http_status = 503,
	    .outcome = AGB_OUTCOME_UNKNOWN,
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
	agb_edge_free_when_closed(e);
}

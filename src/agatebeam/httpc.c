#include "httpc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "addr.h"
#include "httpc_internal.h"
#include "mem.h"

/*
 * The http1client of libh2o 2.2.5 is not used for two reasons: an assertion
 * fails when a server sends a malformed Content-Length or an unknown
 * Transfer-Encoding, and a chunked body that is truncated between two chunks is
 * reported as complete.
 */

#define IDLE_CHECK_MS 1000
/* Time after an expired timeout to read data that has already arrived. */
#define DEADLINE_GRACE_MS 5

bool
agb_httpc_parse_addr(const char *addr, struct sockaddr_storage *out)
{
	return agb_addr_parse(addr, false, out);
}

static void
call_free_cb(uv_handle_t *h)
{
	struct agb_httpc_call *const call = h->data;
	size_t i;

	for (i = 0; i < call->res.headers_len; i++)
		free((char *)call->headers[i].name);
	free(call->request);
	free(call->body);
	free(call->line);
	free(call);
}

static void
call_free(struct agb_httpc_call *call)
{
	DL_DELETE2(call->c->all, call, all_prev, all_next);
	uv_close((uv_handle_t *)&call->timer, call_free_cb);
}

/* Does nothing; an active idle handle keeps the loop from blocking in poll. */
static void
on_loop_idle(uv_idle_t *h)
{
}

/* Adds a call to the list whose callbacks run_done_callbacks() calls. */
void
agb_httpc_call_finish(struct agb_httpc_call *call, enum agb_httpc_status status,
    const char *error)
{
	if (call->state == CALL_QUEUED && call->ep != NULL) {
		DL_DELETE(call->ep->queue, call);
		call->ep->queued--;
		call->ep = NULL;
	}
	uv_timer_stop(&call->timer);
	if (call->conn != NULL)
		agb_httpc_conn_close(call->conn);
	call->state = CALL_DONE;
	if (call->parse_state == PARSE_STATUS_LINE ||
	    call->parse_state == PARSE_HEADER)
		call->res.http_status = 0;
	call->res.status = status;
	call->res.error = error;
	call->res.too_large = error == agb_httpc_body_too_large;
	call->res.headers = call->headers;
	call->res.body = call->body;
	DL_APPEND(call->c->done, call);
	uv_idle_start(&call->c->idle, on_loop_idle);
}

/* Whether any byte of the request has been written to the socket. */
static bool
was_sent(const struct agb_httpc_call *call)
{
	const struct agb_httpc_conn *const conn = call->conn;

	if (call->state != CALL_SENT)
		return false;
	return conn == NULL || !conn->writing ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) <
	    call->request_len;
}

void
agb_httpc_call_fail(struct agb_httpc_call *call, const char *error)
{
	agb_httpc_call_finish(
	    call, was_sent(call) ? AGB_HTTPC_LOST : AGB_HTTPC_UNSENT, error);
}

static void
on_deadline(uv_timer_t *t)
{
	static const char *const errors[] = {
	    [AGB_HTTPC_TIMEOUT_RESPONSE] =
		"timed out before the response was complete",
	    [AGB_HTTPC_TIMEOUT_STALL] = "response stopped before its end",
	    [AGB_HTTPC_TIMEOUT_TOTAL] =
		"timed out before the response was complete",
	};
	struct agb_httpc_call *const call = t->data;

	/* If this process was delayed, the response may already be in the
	 * socket buffer: read it before reporting a timeout. */
	if (!call->deadline_grace) {
		call->deadline_grace = true;
		uv_timer_start(t, on_deadline, DEADLINE_GRACE_MS, 0);
		return;
	}
	if (call->res.received == 0)
		call->res.timeout = AGB_HTTPC_TIMEOUT_RESPONSE;
	else if (call->stall_timeout_ms == 0 ||
	    call->deadline_ms == call->total_deadline_ms)
		call->res.timeout = AGB_HTTPC_TIMEOUT_TOTAL;
	else
		call->res.timeout = AGB_HTTPC_TIMEOUT_STALL;
	call->res.timed_out = true;
	agb_httpc_call_fail(call, errors[call->res.timeout]);
}

/* Once the request is written, only the timeout of the whole call applies. */
void
agb_httpc_start_deadline(struct agb_httpc_call *call)
{
	const uint64_t now = uv_now(call->c->loop);

	uv_timer_stop(&call->timer);
	call->deadline_grace = false;
	if (call->deadline_ms > 0)
		uv_timer_start(&call->timer, on_deadline,
		    call->deadline_ms > now ? call->deadline_ms - now : 0, 0);
}

/* Called when bytes of the response have arrived. The total limit is left as it
 * is once it applies: bytes that keep arriving must not restart its grace. */
void
agb_httpc_extend_deadline(struct agb_httpc_call *call)
{
	uint64_t ms;

	if (call->stall_timeout_ms == 0)
		return;
	ms = uv_now(call->c->loop) + call->stall_timeout_ms;
	if (call->total_deadline_ms > 0 && ms > call->total_deadline_ms)
		ms = call->total_deadline_ms;
	if (ms == call->deadline_ms)
		return;
	call->deadline_ms = ms;
	agb_httpc_start_deadline(call);
}

static void
run_done_callbacks(uv_check_t *h)
{
	struct agb_httpc *const c = h->data;
	struct agb_httpc_call *call;
	size_t n;

	/* Calls that end during this loop wait for the next iteration, so that
	 * a callback that retries immediately cannot block the event loop. */
	DL_COUNT(c->done, call, n);
	while (n-- > 0 && c->done != NULL && !c->closing) {
		call = c->done;
		DL_DELETE(c->done, call);
		agb_httpc_endpoint_release(call);
		call->state = CALL_IN_CALLBACK;
		call->cb(call->arg, &call->res);
		call_free(call);
	}
	if (c->done == NULL && !c->closing)
		uv_idle_stop(&c->idle);
}

/* Control characters and spaces would end a header line or one of its parts,
 * and so allow header injection. */
static bool
has_only_allowed_chars(const char *s, bool spaces)
{
	for (; *s != '\0'; s++) {
		if ((unsigned char)*s < ' ' || *s == 0x7f ||
		    (*s == ' ' && !spaces))
			return false;
	}
	return true;
}

static bool
request_is_valid(const struct agb_httpc_req *req)
{
	size_t i;

	if (!agb_httpc_is_token(req->method, strlen(req->method)) ||
	    !has_only_allowed_chars(req->path, false))
		return false;
	for (i = 0; i < req->headers_len; i++) {
		if (!agb_httpc_is_token(
			req->headers[i].name, strlen(req->headers[i].name)) ||
		    !has_only_allowed_chars(req->headers[i].value, true))
			return false;
	}
	return true;
}

static void
build_request(struct agb_httpc_call *call, const struct agb_httpc_req *req)
{
	const bool has_content_length = req->body_len > 0 ||
	    strcmp(req->method, "POST") == 0 || strcmp(req->method, "PUT") == 0;
	FILE *const f = open_memstream(&call->request, &call->request_len);
	size_t i;

	if (f == NULL)
		abort();
	fprintf(f, "%s %s HTTP/1.1\r\nHost: %s\r\n", req->method, req->path,
	    req->addr);
	for (i = 0; i < req->headers_len; i++)
		fprintf(f, "%s: %s\r\n", req->headers[i].name,
		    req->headers[i].value);
	if (has_content_length)
		fprintf(f, "Content-Length: %zu\r\n", req->body_len);
	fputs("\r\n", f);
	if (req->body_len > 0)
		fwrite(req->body, 1, req->body_len, f);
	if (fclose(f) != 0)
		abort();
}

struct agb_httpc_call *
agb_httpc_request(struct agb_httpc *c, const struct agb_httpc_req *req)
{
	struct agb_httpc_call *const call = agb_xcalloc(1, sizeof(*call));
	struct agb_httpc_endpoint *ep;
	uint32_t first_timeout_ms;

	/* The loop caches its time. The timeout must not include the time that
	 * the caller has spent in this iteration of the loop. */
	uv_update_time(c->loop);
	call->c = c;
	call->cb = req->cb;
	call->on_chunk = req->on_chunk;
	call->on_head = req->on_head;
	call->arg = req->arg;
	call->body_max = req->body_max > 0 ? req->body_max : AGB_HTTPC_BODY_MAX;
	call->send_deadline = req->send_deadline;
	call->is_head_request = strcmp(req->method, "HEAD") == 0;
	DL_APPEND2(c->all, call, all_prev, all_next);
	uv_timer_init(c->loop, &call->timer);
	call->timer.data = call;
	if (!request_is_valid(req)) {
		agb_httpc_call_fail(call, "invalid character in the request");
		return call;
	}
	ep = agb_httpc_endpoint_get(c, req->addr);
	if (ep == NULL) {
		agb_httpc_call_fail(call, "not an IP address with a port");
		return call;
	}
	if (ep->queued >= AGB_HTTPC_QUEUE_MAX) {
		agb_httpc_call_fail(
		    call, "request queue of this endpoint is full");
		return call;
	}
	call->ep = ep;
	build_request(call, req);
	first_timeout_ms = req->timeout_ms;
	if (req->timeout_ms > 0)
		call->deadline_ms = uv_now(c->loop) + req->timeout_ms;
	call->stall_timeout_ms = req->stall_timeout_ms;
	if (req->total_timeout_ms > 0)
		call->total_deadline_ms =
		    uv_now(c->loop) + req->total_timeout_ms;
	if (req->connect_timeout_ms > 0 &&
	    (first_timeout_ms == 0 ||
		req->connect_timeout_ms < first_timeout_ms))
		first_timeout_ms = req->connect_timeout_ms;
	if (first_timeout_ms > 0)
		uv_timer_start(&call->timer, on_deadline, first_timeout_ms, 0);
	DL_APPEND(ep->queue, call);
	ep->queued++;
	agb_httpc_start_queued(c, ep);
	return call;
}

bool
agb_httpc_cancel(struct agb_httpc_call *call)
{
	const bool unsent = call->state == CALL_DONE
	    ? call->res.status == AGB_HTTPC_UNSENT
	    : !was_sent(call);

	/* on_read() cancels the call after its on_chunk callback returns. */
	if (call->in_chunk_cb) {
		call->cancelled = true;
		return unsent;
	}
	uv_timer_stop(&call->timer);
	if (call->state == CALL_DONE) {
		DL_DELETE(call->c->done, call);
	} else if (call->state == CALL_QUEUED) {
		DL_DELETE(call->ep->queue, call);
		call->ep->queued--;
		call->ep = NULL;
	} else if (call->conn != NULL) {
		agb_httpc_conn_close(call->conn);
	}
	agb_httpc_endpoint_release(call);
	call_free(call);
	return unsent;
}

struct agb_httpc_bytes
agb_httpc_bytes(const struct agb_httpc *c)
{
	return c->bytes;
}

struct agb_httpc *
agb_httpc_new(uv_loop_t *loop, unsigned endpoint_connections_max)
{
	struct agb_httpc *const c = agb_xcalloc(1, sizeof(*c));

	c->loop = loop;
	c->endpoint_connections_max =
	    endpoint_connections_max > 0 ? endpoint_connections_max : 1;
	uv_check_init(loop, &c->check);
	uv_check_start(&c->check, run_done_callbacks);
	uv_unref((uv_handle_t *)&c->check);
	uv_idle_init(loop, &c->idle);
	uv_timer_init(loop, &c->idle_timer);
	uv_timer_start(
	    &c->idle_timer, agb_httpc_close_idle, IDLE_CHECK_MS, IDLE_CHECK_MS);
	uv_unref((uv_handle_t *)&c->idle_timer);
	c->check.data = c->idle.data = c->idle_timer.data = c;
	c->handles = 3;
	return c;
}

static void
on_handle_closed(uv_handle_t *h)
{
	struct agb_httpc *const c = h->data;

	if (--c->handles == 0)
		free(c);
}

void
agb_httpc_free(struct agb_httpc *c)
{
	struct agb_httpc_endpoint *ep, *next_ep;
	struct agb_httpc_call *call, *next;

	if (c == NULL)
		return;
	c->closing = true;
	/* Prevents a cancelled call from starting a queued one. */
	c->endpoint_connections_max = 0;
	for (call = c->all; call != NULL; call = next) {
		next = call->all_next;
		if (call->state != CALL_IN_CALLBACK)
			agb_httpc_cancel(call);
		/* A call inside its on_chunk callback is freed later, when its
		 * endpoint no longer exists. */
		call->ep = NULL;
	}
	for (ep = c->endpoints; ep != NULL; ep = next_ep) {
		next_ep = ep->hh.next;
		agb_httpc_endpoint_free(c, ep);
	}
	uv_close((uv_handle_t *)&c->check, on_handle_closed);
	uv_close((uv_handle_t *)&c->idle, on_handle_closed);
	uv_close((uv_handle_t *)&c->idle_timer, on_handle_closed);
}

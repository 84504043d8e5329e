#include "httpc.h"

#include <ctype.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <uthash.h>
#include <utlist.h>

#include "addr.h"
#include "mem.h"

/*
 * The http1client of libh2o 2.2.5 is not used for two reasons: an assertion
 * fails when a server sends a malformed Content-Length or an unknown
 * Transfer-Encoding, and a chunked body that is truncated between two chunks is
 * reported as complete.
 */

/* Idle connections are closed before the servers close them, which is after
 * 10 s or more. */
#define IDLE_CONN_MS 5000
#define IDLE_CHECK_MS 1000
/* An endpoint without requests is freed after this time. */
#define ENDPOINT_IDLE_MS 30000
/* Time after an expired timeout to read data that has already arrived. */
#define DEADLINE_GRACE_MS 5
#define READ_BYTES ((size_t)64 * 1024)
/* Limit of the status line, all headers and all trailers together. */
#define HEAD_BYTES_MAX ((size_t)256 * 1024)
#define LINE_BYTES_MAX ((size_t)16 * 1024)

/* Compared by its address. */
static const char body_too_large[] = "response body exceeds the limit";

enum call_state {
	CALL_QUEUED,
	CALL_CONNECTING,
	CALL_SENT,
	CALL_DONE,	  /* in agb_httpc.done */
	CALL_IN_CALLBACK, /* its cb callback is running */
};

/* Part of the response to which the next byte belongs. */
enum parse_state {
	PARSE_STATUS_LINE,
	PARSE_HEADER,
	PARSE_BODY,
	PARSE_CHUNK_SIZE,
	PARSE_CHUNK_DATA,
	PARSE_CHUNK_END,
	PARSE_TRAILER,
	PARSE_COMPLETE,
};

struct endpoint {
	agb_addr addr;
	struct sockaddr_storage sa;
	UT_hash_handle hh;
	unsigned active; /* calls that have left the queue but not ended */
	unsigned queued; /* calls in @queue */
	uint64_t last_used_ms;
	struct agb_httpc_call *queue;
	struct conn *idle; /* most recently used first */
};

struct conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct agb_httpc *c;
	struct endpoint *ep;
	struct agb_httpc_call *call; /* NULL if idle */
	struct conn *prev, *next;
	uint64_t idle_since_ms;
	bool writing;
	char *request; /* request bytes, freed once they are written */
};

struct agb_httpc_call {
	struct agb_httpc *c;
	struct endpoint *ep;
	struct conn *conn;
	struct agb_httpc_call *prev, *next;
	struct agb_httpc_call *all_prev, *all_next;
	enum call_state state;
	uv_timer_t timer;
	agb_time send_deadline;
	uint64_t deadline_ms;	    /* loop time; 0 is no deadline */
	uint64_t total_deadline_ms; /* limits @deadline_ms; 0 is no limit */
	uint32_t stall_timeout_ms;
	bool deadline_grace; /* the timer runs for DEADLINE_GRACE_MS */
	bool in_chunk_cb;
	bool cancelled;
	bool is_head_request;
	char *request;
	size_t request_len;
	enum parse_state parse_state;
	bool keep_alive;
	bool has_length;
	bool chunked;
	uint64_t remaining; /* bytes of the body or of the chunk */
	char *line;
	size_t line_len;
	size_t line_cap;
	size_t head_bytes;
	size_t body_max;
	char *body;
	size_t body_cap;
	struct agb_httpc_header headers[AGB_HTTPC_HEADERS_MAX];
	struct agb_httpc_res res;
	agb_httpc_cb cb;
	agb_httpc_chunk_cb on_chunk;
	agb_httpc_head_cb on_head;
	void *arg;
};

struct agb_httpc {
	uv_loop_t *loop;
	struct agb_httpc_bytes bytes;
	unsigned endpoint_connections_max;
	struct endpoint *endpoints;
	struct agb_httpc_call *done; /* ended, callback not called yet */
	struct agb_httpc_call *all;
	uv_check_t check;      /* runs run_done_callbacks() */
	uv_idle_t idle;	       /* active while @done is not empty */
	uv_timer_t idle_timer; /* runs close_idle() */
	int handles;	       /* handles not closed yet */
	bool closing;
	char read_buf[READ_BYTES];
};

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

static void
conn_free_cb(uv_handle_t *h)
{
	struct conn *const conn = h->data;

	free(conn->request);
	free(conn);
}

static void
conn_close(struct conn *conn)
{
	if (conn->call != NULL)
		conn->call->conn = NULL;
	conn->call = NULL;
	uv_close((uv_handle_t *)&conn->tcp, conn_free_cb);
}

static void
conn_close_idle(struct conn *conn)
{
	DL_DELETE(conn->ep->idle, conn);
	conn_close(conn);
}

/* Does nothing; an active idle handle keeps the loop from blocking in poll. */
static void
on_loop_idle(uv_idle_t *h)
{
}

/* Adds a call to the list whose callbacks run_done_callbacks() calls. */
static void
call_finish(struct agb_httpc_call *call, enum agb_httpc_status status,
    const char *error)
{
	if (call->state == CALL_QUEUED && call->ep != NULL) {
		DL_DELETE(call->ep->queue, call);
		call->ep->queued--;
		call->ep = NULL;
	}
	uv_timer_stop(&call->timer);
	if (call->conn != NULL)
		conn_close(call->conn);
	call->state = CALL_DONE;
	if (call->parse_state == PARSE_STATUS_LINE ||
	    call->parse_state == PARSE_HEADER)
		call->res.http_status = 0;
	call->res.status = status;
	call->res.error = error;
	call->res.too_large = error == body_too_large;
	call->res.headers = call->headers;
	call->res.body = call->body;
	DL_APPEND(call->c->done, call);
	uv_idle_start(&call->c->idle, on_loop_idle);
}

/* Whether any byte of the request has been written to the socket. */
static bool
was_sent(const struct agb_httpc_call *call)
{
	const struct conn *const conn = call->conn;

	if (call->state != CALL_SENT)
		return false;
	return conn == NULL || !conn->writing ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) <
	    call->request_len;
}

/* Finishes a call as AGB_HTTPC_LOST if part of its request has been written,
 * else as AGB_HTTPC_UNSENT. */
static void
call_fail(struct agb_httpc_call *call, const char *error)
{
	call_finish(
	    call, was_sent(call) ? AGB_HTTPC_LOST : AGB_HTTPC_UNSENT, error);
}

static bool
body_append(struct agb_httpc_call *call, const char *data, size_t len)
{
	size_t cap;

	if (len > call->body_max - call->res.body_len)
		return false;
	if (call->res.body_len + len + 1 > call->body_cap) {
		cap = call->body_cap > 0 ? call->body_cap : 1024;
		while (cap < call->res.body_len + len + 1)
			cap *= 2;
		call->body = agb_xreallocarray(call->body, cap, 1);
		call->body_cap = cap;
	}
	memcpy(call->body + call->res.body_len, data, len);
	call->res.body_len += len;
	call->body[call->res.body_len] = '\0';
	return true;
}

/* Return: NULL or an error message, as for the parse functions below. */
static const char *
deliver_body(struct agb_httpc_call *call, const char *data, size_t len)
{
	if (call->on_chunk == NULL)
		return body_append(call, data, len) ? NULL : body_too_large;
	call->in_chunk_cb = true;
	call->on_chunk(call->arg, call->res.http_status, data, len);
	call->in_chunk_cb = false;
	return NULL;
}

static bool
is_token(const char *s, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (!isalnum((unsigned char)s[i]) &&
		    (s[i] == '\0' || strchr("!#$%&'*+-.^_`|~", s[i]) == NULL))
			return false;
	}
	return len > 0;
}

/* Return: false unless @s is a decimal number without sign or spaces. */
static bool
parse_length(const char *s, uint64_t *out)
{
	char *end;

	if (!isdigit((unsigned char)s[0]))
		return false;
	errno = 0;
	*out = strtoull(s, &end, 10);
	return errno == 0 && *end == '\0';
}

static const char *
parse_status_line(struct agb_httpc_call *call)
{
	const char *const s = call->line;

	if (strncmp(s, "HTTP/1.", 7) != 0 || (s[7] != '0' && s[7] != '1') ||
	    s[8] != ' ' || s[9] < '1' || s[9] > '5' ||
	    !isdigit((unsigned char)s[10]) || !isdigit((unsigned char)s[11]) ||
	    (s[12] != ' ' && s[12] != '\0'))
		return "malformed status line";
	call->res.http_status = (int)strtol(s + 9, NULL, 10);
	call->keep_alive = s[7] == '1';
	call->parse_state = PARSE_HEADER;
	return NULL;
}

static const char *
parse_header_line(struct agb_httpc_call *call)
{
	struct agb_httpc_header *h;
	char *colon, *name, *value, *p;

	colon = strchr(call->line, ':');
	if (colon == NULL ||
	    !is_token(call->line, (size_t)(colon - call->line)))
		return "malformed header line";
	if (call->res.headers_len == AGB_HTTPC_HEADERS_MAX)
		return "too many header lines";
	name = agb_xmemdup(call->line, call->line_len);
	for (p = name; *p != ':'; p++)
		*p = (char)tolower((unsigned char)*p);
	*p = '\0';
	value = p + 1;
	value += strspn(value, " \t");
	for (p = value + strlen(value); p > value && strchr(" \t", p[-1]); p--)
		p[-1] = '\0';
	h = &call->headers[call->res.headers_len++];
	h->name = name;
	h->value = value;
	if (strcmp(name, "content-length") == 0) {
		if (call->has_length || !parse_length(value, &call->remaining))
			return "malformed Content-Length";
		call->has_length = true;
	} else if (strcmp(name, "transfer-encoding") == 0) {
		if (call->chunked || strcasecmp(value, "chunked") != 0)
			return "unsupported Transfer-Encoding";
		call->chunked = true;
	} else if (strcmp(name, "connection") == 0) {
		if (strcasestr(value, "close") != NULL)
			call->keep_alive = false;
	}
	return NULL;
}

static const char *
check_head(struct agb_httpc_call *call)
{
	call->res.headers = call->headers;
	if (call->on_head == NULL || call->on_head(call->arg, &call->res))
		return NULL;
	return "response rejected by its head";
}

static const char *
end_head(struct agb_httpc_call *call)
{
	const int status = call->res.http_status;
	size_t i;

	if (status == 101)
		return "unexpected status 101 (switching protocols)";
	if (status < 200) {
		for (i = 0; i < call->res.headers_len; i++)
			free((char *)call->headers[i].name);
		call->res.headers_len = 0;
		call->res.http_status = 0;
		call->has_length = call->chunked = false;
		call->parse_state = PARSE_STATUS_LINE;
		return NULL;
	}
	if (call->is_head_request || status == 204 || status == 304) {
		call->parse_state = PARSE_COMPLETE;
		return check_head(call);
	}
	/* A response with both may be an attempt at response splitting or
	 * request smuggling (RFC 9112, section 6.1). */
	if (call->chunked == call->has_length)
		return call->chunked
		    ? "both Content-Length and Transfer-Encoding"
		    : "neither Content-Length nor Transfer-Encoding";
	if (call->on_chunk == NULL && call->has_length &&
	    call->remaining > call->body_max)
		return body_too_large;
	if (call->chunked)
		call->parse_state = PARSE_CHUNK_SIZE;
	else
		call->parse_state =
		    call->remaining > 0 ? PARSE_BODY : PARSE_COMPLETE;
	return check_head(call);
}

static const char *
parse_chunk_size(struct agb_httpc_call *call)
{
	char *end;

	if (!isxdigit((unsigned char)call->line[0]))
		return "malformed chunk";
	errno = 0;
	call->remaining = strtoull(call->line, &end, 16);
	if (errno != 0 || strchr("; \t", *end) == NULL)
		return "malformed chunk";
	call->parse_state =
	    call->remaining > 0 ? PARSE_CHUNK_DATA : PARSE_TRAILER;
	return NULL;
}

static const char *
parse_line(struct agb_httpc_call *call)
{
	switch (call->parse_state) {
	case PARSE_STATUS_LINE:
		return parse_status_line(call);
	case PARSE_HEADER:
		return call->line_len > 0 ? parse_header_line(call)
					  : end_head(call);
	case PARSE_CHUNK_SIZE:
		return parse_chunk_size(call);
	case PARSE_CHUNK_END:
		call->parse_state = PARSE_CHUNK_SIZE;
		return call->line_len > 0 ? "malformed chunk" : NULL;
	case PARSE_TRAILER:
		if (call->line_len == 0)
			call->parse_state = PARSE_COMPLETE;
		return NULL;
	default:
		return "malformed response";
	}
}

/* Collects the bytes of a line and parses the line when it is complete; *@used
 * is set to the number of bytes consumed. */
static const char *
read_line(
    struct agb_httpc_call *call, const char *data, size_t len, size_t *used)
{
	const char *const nl = memchr(data, '\n', len);
	const char *error;
	size_t i;

	*used = nl != NULL ? (size_t)(nl - data) + 1 : len;
	if (call->parse_state != PARSE_CHUNK_SIZE &&
	    call->parse_state != PARSE_CHUNK_END)
		call->head_bytes += *used;
	if (call->line_len + *used > LINE_BYTES_MAX ||
	    call->head_bytes > HEAD_BYTES_MAX)
		return "response head or line too long";
	if (call->line_len + *used + 1 > call->line_cap) {
		call->line_cap = (call->line_len + *used + 1) * 2;
		call->line = agb_xreallocarray(call->line, call->line_cap, 1);
	}
	memcpy(call->line + call->line_len, data, *used);
	call->line_len += *used;
	if (nl == NULL)
		return NULL;
	if (call->line_len < 2 || call->line[call->line_len - 2] != '\r')
		return "line is not terminated by CRLF";
	call->line_len -= 2;
	call->line[call->line_len] = '\0';
	for (i = 0; i < call->line_len; i++) {
		if (((unsigned char)call->line[i] < ' ' &&
			call->line[i] != '\t') ||
		    call->line[i] == 0x7f)
			return "control character in a header or chunk line";
	}
	error = parse_line(call);
	call->line_len = 0;
	return error;
}

/* Parses bytes up to the end of the response; *@used is set to the number of
 * bytes consumed. */
static const char *
parse_response(
    struct agb_httpc_call *call, const char *data, size_t len, size_t *used)
{
	const char *error = NULL;
	size_t n;

	*used = 0;
	while (*used < len && call->parse_state != PARSE_COMPLETE &&
	    error == NULL && !call->cancelled) {
		n = len - *used;
		if (call->parse_state != PARSE_BODY &&
		    call->parse_state != PARSE_CHUNK_DATA) {
			error = read_line(call, data + *used, n, &n);
			*used += n;
			continue;
		}
		if (n > call->remaining)
			n = (size_t)call->remaining;
		error = deliver_body(call, data + *used, n);
		call->remaining -= n;
		*used += n;
		if (call->remaining == 0)
			call->parse_state =
			    call->parse_state == PARSE_CHUNK_DATA
			    ? PARSE_CHUNK_END
			    : PARSE_COMPLETE;
	}
	return error;
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
	call_fail(call, errors[call->res.timeout]);
}

/* Once the request is written, only the timeout of the whole call applies. */
static void
start_deadline(struct agb_httpc_call *call)
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
static void
extend_deadline(struct agb_httpc_call *call)
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
	start_deadline(call);
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct conn *const conn = h->data;

	*buf = uv_buf_init(conn->c->read_buf, READ_BYTES);
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct conn *const conn = s->data;
	struct agb_httpc_call *const call = conn->call;
	const char *error;
	size_t used;

	if (n == 0)
		return;
	if (n > 0)
		conn->c->bytes.received += (uint64_t)n;
	if (call == NULL) {
		/* The server closed an idle connection or sent unsolicited
		 * data. */
		conn_close_idle(conn);
		return;
	}
	if (n < 0) {
		call_fail(call,
		    n == UV_EOF
			? "connection closed before the response was complete"
			: "connection error while reading the response");
		return;
	}
	call->res.received += (uint64_t)n;
	extend_deadline(call);
	error = parse_response(call, buf->base, (size_t)n, &used);
	if (call->cancelled) {
		agb_httpc_cancel(call);
		return;
	}
	if (error != NULL) {
		/* Any response, even a malformed one, proves that the server
		 * received the request. */
		call_finish(call, AGB_HTTPC_LOST, error);
		return;
	}
	if (call->parse_state != PARSE_COMPLETE)
		return;
	if (call->keep_alive && used == (size_t)n && !conn->writing) {
		call->conn = NULL;
		conn->call = NULL;
		conn->idle_since_ms = uv_now(call->c->loop);
		DL_PREPEND(conn->ep->idle, conn);
	}
	call_finish(call, AGB_HTTPC_COMPLETE, NULL);
}

static void
on_written(uv_write_t *w, int status)
{
	struct conn *const conn = w->data;

	conn->writing = false;
	free(conn->request);
	conn->request = NULL;
	if (status < 0 && conn->call != NULL)
		call_fail(
		    conn->call, "connection error while sending the request");
}

/*
 * Called immediately before the request is written. If the process was
 * suspended after it created the request, the time until which the caller may
 * send it can have passed.
 */
static bool
send_deadline_passed(const struct agb_httpc_call *call)
{
	struct timespec now;

	if (call->send_deadline == 0)
		return false;
	clock_gettime(CLOCK_BOOTTIME, &now);
	return (agb_time)now.tv_sec * AGB_SEC + (agb_time)now.tv_nsec / 1000 >
	    call->send_deadline;
}

/* Writes the request. Return: false when no byte could be written. */
static bool
conn_send(struct conn *conn, struct agb_httpc_call *call)
{
	uv_stream_t *const s = (uv_stream_t *)&conn->tcp;
	uv_buf_t buf = uv_buf_init(call->request, (unsigned)call->request_len);
	int n;

	n = uv_try_write(s, &buf, 1);
	if (n < 0 && n != UV_EAGAIN)
		return false;
	conn->c->bytes.sent += call->request_len;
	conn->call = call;
	call->conn = conn;
	call->state = CALL_SENT;
	start_deadline(call);
	if (n > 0) {
		buf.base += n;
		buf.len -= (size_t)n;
	}
	if (buf.len > 0) {
		conn->request = call->request;
		call->request = NULL;
		conn->writing = true;
		conn->write.data = conn;
		if (uv_write(&conn->write, s, &buf, 1, on_written) != 0)
			call_finish(call, AGB_HTTPC_LOST, "write failed");
	}
	return true;
}

static void
on_connect(uv_connect_t *req, int status)
{
	struct conn *const conn = req->data;
	struct agb_httpc_call *const call = conn->call;

	if (call == NULL)
		return;
	if (send_deadline_passed(call)) {
		call_fail(
		    call, "send deadline passed before the request was sent");
		return;
	}
	if (status < 0 ||
	    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0 ||
	    !conn_send(conn, call))
		call_fail(call, "connection failed");
}

/* Enables TCP keepalive, which detects a silent network partition during a
 * long-running watch within about 11 s (5 s idle and 3 probes 2 s apart). */
static void
set_socket_options(struct conn *conn)
{
	static const int idle_s = 5, interval_s = 2, probes = 3;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&conn->tcp, 1);
	uv_tcp_keepalive(&conn->tcp, 1, (unsigned)idle_s);
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return;
	setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void
conn_open(struct agb_httpc *c, struct agb_httpc_call *call)
{
	struct conn *const conn = agb_xcalloc(1, sizeof(*conn));

	conn->c = c;
	conn->ep = call->ep;
	conn->call = call;
	conn->tcp.data = conn;
	conn->connect.data = conn;
	call->conn = conn;
	call->state = CALL_CONNECTING;
	uv_tcp_init(c->loop, &conn->tcp);
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)&call->ep->sa, on_connect) != 0) {
		call_fail(call, "connection failed");
		return;
	}
	set_socket_options(conn);
}

/* Starts queued calls up to the connection limit of the endpoint. */
static void
start_queued(struct agb_httpc *c, struct endpoint *ep)
{
	struct agb_httpc_call *call;
	struct conn *conn;

	while (ep->queue != NULL && ep->active < c->endpoint_connections_max) {
		call = ep->queue;
		DL_DELETE(ep->queue, call);
		ep->queued--;
		ep->active++;
		call->state = CALL_CONNECTING;
		if (send_deadline_passed(call)) {
			call_fail(call,
			    "send deadline passed before the request was sent");
			continue;
		}
		while (call->state == CALL_CONNECTING && ep->idle != NULL) {
			conn = ep->idle;
			DL_DELETE(ep->idle, conn);
			if (!conn_send(conn, call))
				conn_close(conn);
		}
		if (call->state == CALL_CONNECTING)
			conn_open(c, call);
	}
}

static void
endpoint_release(struct agb_httpc_call *call)
{
	struct endpoint *const ep = call->ep;

	if (ep == NULL)
		return;
	call->ep = NULL;
	ep->active--;
	ep->last_used_ms = uv_now(call->c->loop);
	start_queued(call->c, ep);
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
		endpoint_release(call);
		call->state = CALL_IN_CALLBACK;
		call->cb(call->arg, &call->res);
		call_free(call);
	}
	if (c->done == NULL && !c->closing)
		uv_idle_stop(&c->idle);
}

static void
endpoint_free(struct agb_httpc *c, struct endpoint *ep)
{
	while (ep->idle != NULL)
		conn_close_idle(ep->idle);
	HASH_DEL(c->endpoints, ep);
	free(ep);
}

/* Closes connections and frees endpoints that have been idle too long. */
static void
close_idle(uv_timer_t *t)
{
	struct agb_httpc *const c = t->data;
	const uint64_t now = uv_now(c->loop);
	struct endpoint *ep, *next;

	for (ep = c->endpoints; ep != NULL; ep = next) {
		next = ep->hh.next;
		/* The list is ordered by time of use, most recent first. */
		while (ep->idle != NULL &&
		    now - ep->idle->prev->idle_since_ms >= IDLE_CONN_MS)
			conn_close_idle(ep->idle->prev);
		if (ep->active == 0 && ep->queue == NULL &&
		    now - ep->last_used_ms >= ENDPOINT_IDLE_MS)
			endpoint_free(c, ep);
	}
}

static struct endpoint *
endpoint_get(struct agb_httpc *c, const char *addr)
{
	struct sockaddr_storage sa;
	struct endpoint *ep;

	HASH_FIND_STR(c->endpoints, addr, ep);
	if (ep != NULL)
		return ep;
	if (strlen(addr) >= AGB_ADDR_LEN || !agb_httpc_parse_addr(addr, &sa))
		return NULL;
	ep = agb_xcalloc(1, sizeof(*ep));
	agb_str_copy(ep->addr, sizeof(ep->addr), addr);
	ep->sa = sa;
	ep->last_used_ms = uv_now(c->loop);
	HASH_ADD_STR(c->endpoints, addr, ep);
	return ep;
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

	if (!is_token(req->method, strlen(req->method)) ||
	    !has_only_allowed_chars(req->path, false))
		return false;
	for (i = 0; i < req->headers_len; i++) {
		if (!is_token(
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
	struct endpoint *ep;
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
		call_fail(call, "invalid character in the request");
		return call;
	}
	ep = endpoint_get(c, req->addr);
	if (ep == NULL) {
		call_fail(call, "not an IP address with a port");
		return call;
	}
	if (ep->queued >= AGB_HTTPC_QUEUE_MAX) {
		call_fail(call, "request queue of this endpoint is full");
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
	start_queued(c, ep);
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
		conn_close(call->conn);
	}
	endpoint_release(call);
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
	    &c->idle_timer, close_idle, IDLE_CHECK_MS, IDLE_CHECK_MS);
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
	struct endpoint *ep, *next_ep;
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
		endpoint_free(c, ep);
	}
	uv_close((uv_handle_t *)&c->check, on_handle_closed);
	uv_close((uv_handle_t *)&c->idle, on_handle_closed);
	uv_close((uv_handle_t *)&c->idle_timer, on_handle_closed);
}

#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#include "httpc_internal.h"
#include "mem.h"

/* Idle connections are closed before the servers close them, which is after
 * 10 s or more. */
#define IDLE_CONN_MS 5000
/* An endpoint without requests is freed after this time. */
#define ENDPOINT_IDLE_MS 30000

static void
conn_free_cb(uv_handle_t *h)
{
	struct agb_httpc_conn *const conn = h->data;

	free(conn->request);
	free(conn);
}

void
agb_httpc_conn_close(struct agb_httpc_conn *conn)
{
	if (conn->call != NULL)
		conn->call->conn = NULL;
	conn->call = NULL;
	uv_close((uv_handle_t *)&conn->tcp, conn_free_cb);
}

static void
conn_close_idle(struct agb_httpc_conn *conn)
{
	DL_DELETE(conn->ep->idle, conn);
	agb_httpc_conn_close(conn);
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct agb_httpc_conn *const conn = h->data;

	*buf = uv_buf_init(conn->c->read_buf, AGB_HTTPC_READ_BYTES);
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct agb_httpc_conn *const conn = s->data;
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
		agb_httpc_call_fail(call,
		    n == UV_EOF
			? "connection closed before the response was complete"
			: "connection error while reading the response");
		return;
	}
	call->res.received += (uint64_t)n;
	agb_httpc_extend_deadline(call);
	error = agb_httpc_parse_response(call, buf->base, (size_t)n, &used);
	if (call->cancelled) {
		agb_httpc_cancel(call);
		return;
	}
	if (error != NULL) {
		/* Any response, even a malformed one, proves that the server
		 * received the request. */
		agb_httpc_call_finish(call, AGB_HTTPC_LOST, error);
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
	agb_httpc_call_finish(call, AGB_HTTPC_COMPLETE, NULL);
}

static void
on_written(uv_write_t *w, int status)
{
	struct agb_httpc_conn *const conn = w->data;

	conn->writing = false;
	free(conn->request);
	conn->request = NULL;
	if (status < 0 && conn->call != NULL)
		agb_httpc_call_fail(
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
conn_send(struct agb_httpc_conn *conn, struct agb_httpc_call *call)
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
	agb_httpc_start_deadline(call);
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
			agb_httpc_call_finish(
			    call, AGB_HTTPC_LOST, "write failed");
	}
	return true;
}

static void
on_connect(uv_connect_t *req, int status)
{
	struct agb_httpc_conn *const conn = req->data;
	struct agb_httpc_call *const call = conn->call;

	if (call == NULL)
		return;
	if (send_deadline_passed(call)) {
		agb_httpc_call_fail(
		    call, "send deadline passed before the request was sent");
		return;
	}
	if (status < 0 ||
	    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0 ||
	    !conn_send(conn, call))
		agb_httpc_call_fail(call, "connection failed");
}

/* Enables TCP keepalive, which detects a silent network partition during a
 * long-running watch within about 11 s (5 s idle and 3 probes 2 s apart). */
static void
set_socket_options(struct agb_httpc_conn *conn)
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
	struct agb_httpc_conn *const conn = agb_xcalloc(1, sizeof(*conn));

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
		agb_httpc_call_fail(call, "connection failed");
		return;
	}
	set_socket_options(conn);
}

void
agb_httpc_start_queued(struct agb_httpc *c, struct agb_httpc_endpoint *ep)
{
	struct agb_httpc_call *call;
	struct agb_httpc_conn *conn;

	while (ep->queue != NULL && ep->active < c->endpoint_connections_max) {
		call = ep->queue;
		DL_DELETE(ep->queue, call);
		ep->queued--;
		ep->active++;
		call->state = CALL_CONNECTING;
		if (send_deadline_passed(call)) {
			agb_httpc_call_fail(call,
			    "send deadline passed before the request was sent");
			continue;
		}
		while (call->state == CALL_CONNECTING && ep->idle != NULL) {
			conn = ep->idle;
			DL_DELETE(ep->idle, conn);
			if (!conn_send(conn, call))
				agb_httpc_conn_close(conn);
		}
		if (call->state == CALL_CONNECTING)
			conn_open(c, call);
	}
}

void
agb_httpc_endpoint_release(struct agb_httpc_call *call)
{
	struct agb_httpc_endpoint *const ep = call->ep;

	if (ep == NULL)
		return;
	call->ep = NULL;
	ep->active--;
	ep->last_used_ms = uv_now(call->c->loop);
	agb_httpc_start_queued(call->c, ep);
}

void
agb_httpc_endpoint_free(struct agb_httpc *c, struct agb_httpc_endpoint *ep)
{
	while (ep->idle != NULL)
		conn_close_idle(ep->idle);
	HASH_DEL(c->endpoints, ep);
	free(ep);
}

void
agb_httpc_close_idle(uv_timer_t *t)
{
	struct agb_httpc *const c = t->data;
	const uint64_t now = uv_now(c->loop);
	struct agb_httpc_endpoint *ep, *next;

	for (ep = c->endpoints; ep != NULL; ep = next) {
		next = ep->hh.next;
		/* The list is ordered by time of use, most recent first. */
		while (ep->idle != NULL &&
		    now - ep->idle->prev->idle_since_ms >= IDLE_CONN_MS)
			conn_close_idle(ep->idle->prev);
		if (ep->active == 0 && ep->queue == NULL &&
		    now - ep->last_used_ms >= ENDPOINT_IDLE_MS)
			agb_httpc_endpoint_free(c, ep);
	}
}

struct agb_httpc_endpoint *
agb_httpc_endpoint_get(struct agb_httpc *c, const char *addr)
{
	struct sockaddr_storage sa;
	struct agb_httpc_endpoint *ep;

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

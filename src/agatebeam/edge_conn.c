#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "edge_internal.h"
#include "mem.h"

/* A connection is closed this long after its last request. */
#define IDLE_MS 75000U
/* Time for a refused client to read the response and close. */
#define LINGER_MS 2000U
/* Concurrent lingering connections; beyond it a refused connection is closed
 * without a response. */
#define LINGERS_MAX 256U
/* Bytes that are read and discarded from one refused client. */
#define LINGER_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define BACKLOG 1024

/**
 * struct agb_edge_linger - refused connection that is read until the client
 * closes it. If it were closed at once, the kernel would send a reset for the
 * unread bytes, and the client could lose the response.
 * @conn: connection that h2o has not closed yet, or NULL
 * @response: response text, or NULL when h2o writes the response
 * @discard_bytes_left: bytes that the client may still send
 * @shutdown_sent: the write side has been shut down, or will be once @response
 *	has been written
 */
struct agb_edge_linger {
	uv_tcp_t tcp;
	struct agb_edge *edge;
	h2o_linklist_t link;
	struct agb_edge_conn *conn;
	uv_write_t write;
	uv_shutdown_t shutdown;
	char *response;
	size_t discard_bytes_left;
	uint64_t deadline_ms;
	bool shutdown_sent;
};

static void
linger_closed(uv_handle_t *h)
{
	struct agb_edge_linger *const l = h->data;
	struct agb_edge *const e = l->edge;

	free(l->response);
	free(l);
	e->lingers_len--;
	agb_edge_free_when_closed(e);
}

static void
linger_close(struct agb_edge_linger *l)
{
	if (uv_is_closing((uv_handle_t *)&l->tcp))
		return;
	if (l->conn != NULL)
		l->conn->linger = NULL;
	h2o_linklist_unlink(&l->link);
	uv_close((uv_handle_t *)&l->tcp, linger_closed);
}

static void
linger_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	static char discarded[16384];

	*buf = uv_buf_init(discarded, sizeof(discarded));
}

static void
linger_discard(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct agb_edge_linger *const l = stream->data;

	if (n < 0 || (size_t)n > l->discard_bytes_left) {
		linger_close(l);
		return;
	}
	l->discard_bytes_left -= (size_t)n;
}

static struct agb_edge_linger *
linger_new(struct agb_edge *e)
{
	struct agb_edge_linger *l;

	if (e->lingers_len >= LINGERS_MAX || e->closing)
		return NULL;
	l = agb_xcalloc(1, sizeof(*l));
	l->edge = e;
	l->discard_bytes_left = LINGER_BYTES_MAX;
	l->deadline_ms = uv_now(e->loop) + LINGER_MS;
	uv_tcp_init(e->loop, &l->tcp);
	l->tcp.data = l;
	h2o_linklist_insert(&e->lingers, &l->link);
	e->lingers_len++;
	return l;
}

static void
linger_shutdown(struct agb_edge_linger *l)
{
	if (l->shutdown_sent)
		return;
	l->shutdown_sent = true;
	if (uv_shutdown(&l->shutdown, (uv_stream_t *)&l->tcp, NULL) != 0)
		linger_close(l);
}

static void
linger_start(struct agb_edge_linger *l, char *text)
{
	uv_buf_t buf;

	l->response = text;
	if (uv_read_start(
		(uv_stream_t *)&l->tcp, linger_alloc, linger_discard)) {
		linger_close(l);
		return;
	}
	if (text == NULL)
		return;
	buf = uv_buf_init(text, (unsigned)strlen(text));
	if (uv_write(&l->write, (uv_stream_t *)&l->tcp, &buf, 1, NULL) != 0)
		linger_close(l);
	else
		linger_shutdown(l);
}

static const char *
status_line(int status)
{
	switch (status) {
	case 400:
		return "400 Bad Request";
	case 408:
		return "408 Request Timeout";
	case 413:
		return "413 Payload Too Large";
	case 431:
		return "431 Request Header Fields Too Large";
	default:
		return "503 Service Unavailable";
	}
}

static char *
refusal_text(
    int status, enum agb_reason reason, const char *detail, uint32_t retry_ms)
{
	char *body, *text;

	body =
	    agb_edge_error_body(AGB_OUTCOME_NOT_RUN, reason, detail, retry_ms);
	text = agb_xasprintf("HTTP/1.1 %s\r\n"
			     "Server: agatebeam\r\n"
			     "Agatebeam-Outcome: not-run\r\n"
			     "Content-Type: application/json\r\n"
			     "Content-Length: %zu\r\n"
			     "Connection: close\r\n\r\n%s",
	    status_line(status), strlen(body), body);
	free(body);
	return text;
}

/* Duplicates the connection's descriptor, so that the connection stays open
 * when h2o closes its own. */
static struct agb_edge_linger *
linger_from_conn(struct agb_edge_conn *c)
{
	struct agb_edge_linger *l;
	uv_os_fd_t fd;
	int copy;

	if (c->linger != NULL || c->sock == NULL ||
	    uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0)
		return NULL;
	l = linger_new(c->edge);
	if (l == NULL)
		return NULL;
	copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (copy < 0 || uv_tcp_open(&l->tcp, copy) != 0) {
		if (copy >= 0)
			close(copy);
		linger_close(l);
		return NULL;
	}
	return l;
}

void
agb_edge_conn_linger(struct agb_edge_conn *c)
{
	struct agb_edge_linger *const l = linger_from_conn(c);

	if (l == NULL)
		return;
	l->conn = c;
	c->linger = l;
	linger_start(l, NULL);
}

/* Makes h2o close the connection: by a read error, or by shutting down the
 * socket while h2o is writing. */
static void
close_conn(struct agb_edge_conn *c)
{
	uv_os_fd_t fd;

	if (c->sock == NULL || c->h2o_read == NULL)
		return;
	if (!h2o_socket_is_writing(c->sock))
		c->h2o_read(c->sock, h2o_socket_error_closed);
	else if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

static void
refuse_request(struct agb_edge_conn *c, int status, enum agb_reason reason,
    const char *detail)
{
	struct agb_edge_linger *const l = linger_from_conn(c);

	if (l != NULL)
		linger_start(l, refusal_text(status, reason, detail, 0));
	close_conn(c);
}

/* Return: false when the request has been refused. */
static bool
check_request_head(struct agb_edge_conn *c)
{
	struct agb_edge *const e = c->edge;
	struct agb_edge_head head;

	switch (agb_edge_head_check(c->sock->input->bytes, c->sock->input->size,
	    e->settings.head_max, &head)) {
	case AGB_HEAD_PARTIAL:
		return true;
	case AGB_HEAD_HTTP2:
		c->http2 = true;
		return true;
	case AGB_HEAD_TOO_LONG:
		e->counters.refused_head_size++;
		refuse_request(c, 431, AGB_REASON_BAD_REQUEST,
		    "the request head is larger than the limit");
		return false;
	case AGB_HEAD_MALFORMED:
		e->counters.refused_request++;
		refuse_request(c, 400, AGB_REASON_BAD_REQUEST,
		    "the request head is malformed");
		return false;
	case AGB_HEAD_COMPLETE:
		break;
	}
	if (head.body_len > e->settings.body_max) {
		e->counters.refused_body_size++;
		refuse_request(c, 413, AGB_REASON_BAD_REQUEST,
		    "the request body is larger than the limit");
		return false;
	}
	c->head_checked = true;
	c->wait_start_ms = uv_now(e->loop);
	return true;
}

static void
on_socket_read(h2o_socket_t *sock, const char *err)
{
	struct agb_edge_conn *const c = sock->on_close.data;

	if (err == NULL && !c->http2 && !c->head_checked &&
	    sock->input->size > 0) {
		if (!c->head_started) {
			c->head_started = true;
			c->wait_start_ms = uv_now(c->edge->loop);
		}
		if (!check_request_head(c))
			return;
	}
	c->h2o_read(sock, err);
}

/* Installs on_socket_read() in front of h2o's read callback. h2o sets its
 * callback again after each request. */
static void
install_hook(struct agb_edge_conn *c)
{
	if (c->sock == NULL || c->http2 || c->sock->_cb.read == NULL ||
	    c->sock->_cb.read == on_socket_read)
		return;
	c->h2o_read = c->sock->_cb.read;
	c->sock->_cb.read = on_socket_read;
}

void
agb_edge_conn_install_hooks(uv_prepare_t *h)
{
	struct agb_edge *const e = h->data;
	h2o_linklist_t *p, *next;

	for (p = e->unhooked.next; p != &e->unhooked; p = next) {
		next = p->next;
		h2o_linklist_unlink(p);
		install_hook(H2O_STRUCT_FROM_MEMBER(
		    struct agb_edge_conn, unhooked_link, p));
	}
}

void
agb_edge_conn_request_done(struct agb_edge_conn *c)
{
	if (c->sock == NULL || c->http2)
		return;
	c->request_active = false;
	c->had_request = true;
	c->head_checked = false;
	/* The timeout of a pipelined request that has already arrived starts
	 * now. */
	c->head_started = false;
	c->wait_start_ms = uv_now(c->edge->loop);
	if (!h2o_linklist_is_linked(&c->unhooked_link))
		h2o_linklist_insert(&c->edge->unhooked, &c->unhooked_link);
}

static void
on_sock_close(void *data)
{
	struct agb_edge_conn *const c = data;

	c->sock = NULL;
}

static void
conn_closed(uv_handle_t *h)
{
	struct agb_edge_conn *const c = (struct agb_edge_conn *)h;
	struct agb_edge *const e = c->edge;

	if (c->linger != NULL) {
		c->linger->conn = NULL;
		linger_shutdown(c->linger);
	}
	h2o_linklist_unlink(&c->link);
	if (h2o_linklist_is_linked(&c->unhooked_link))
		h2o_linklist_unlink(&c->unhooked_link);
	free(c);
	e->conns_len--;
	agb_edge_free_when_closed(e);
}

struct agb_edge_conn *
agb_edge_conn_from_request(h2o_req_t *req)
{
	return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

static void
conn_accept(struct agb_edge *e, uv_stream_t *listener)
{
	struct agb_edge_conn *c;

	c = agb_xcalloc(1, sizeof(*c));
	c->edge = e;
	uv_tcp_init(e->loop, &c->tcp);
	e->conns_len++;
	h2o_linklist_insert(&e->conns, &c->link);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
		uv_close((uv_handle_t *)&c->tcp, conn_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	c->wait_start_ms = uv_now(e->loop);
	c->sock = h2o_uv_socket_create((uv_stream_t *)&c->tcp, conn_closed);
	c->sock->on_close.cb = on_sock_close;
	c->sock->on_close.data = c;
	e->counters.connections_accepted++;
	h2o_accept(&e->accept, c->sock);
	install_hook(c);
}

static void
refuse_connection(struct agb_edge *e, uv_stream_t *listener)
{
	struct agb_edge_linger *l;
	uv_tcp_t *tcp;

	e->counters.refused_connections++;
	l = linger_new(e);
	if (l == NULL) {
		tcp = agb_xcalloc(1, sizeof(*tcp));
		uv_tcp_init(e->loop, tcp);
		(void)uv_accept(listener, (uv_stream_t *)tcp);
		uv_close((uv_handle_t *)tcp, (uv_close_cb)free);
		return;
	}
	if (uv_accept(listener, (uv_stream_t *)&l->tcp) != 0)
		linger_close(l);
	else
		linger_start(l,
		    refusal_text(503, AGB_REASON_OVERLOAD,
			"too many connections", 1000));
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct agb_edge *const e = listener->data;

	if (status != 0)
		return;
	if (e->conns_len >= e->settings.connections_max)
		refuse_connection(e, listener);
	else
		conn_accept(e, listener);
}

static void
format_bound_address(struct agb_edge *e)
{
	struct sockaddr_storage ss;
	char host[INET6_ADDRSTRLEN];
	int len = sizeof(ss);

	if (uv_tcp_getsockname(&e->listener, (struct sockaddr *)&ss, &len) != 0)
		return;
	if (ss.ss_family == AF_INET6) {
		uv_ip6_name((struct sockaddr_in6 *)&ss, host, sizeof(host));
		snprintf(e->address, sizeof(e->address), "[%s]:%u", host,
		    ntohs(((struct sockaddr_in6 *)&ss)->sin6_port));
	} else {
		uv_ip4_name((struct sockaddr_in *)&ss, host, sizeof(host));
		snprintf(e->address, sizeof(e->address), "%s:%u", host,
		    ntohs(((struct sockaddr_in *)&ss)->sin_port));
	}
}

/* As agb_httpc_parse_addr(), but also accepts port 0, for which the kernel
 * chooses the port. */
static bool
parse_listen(const char *addr, struct sockaddr_storage *out)
{
	const size_t len = strlen(addr);
	agb_addr any;

	if (len < 2 || len >= sizeof(any) || strcmp(addr + len - 2, ":0") != 0)
		return agb_httpc_parse_addr(addr, out);
	agb_str_copy(any, sizeof(any), addr);
	any[len - 1] = '1';
	if (!agb_httpc_parse_addr(any, out))
		return false;
	if (out->ss_family == AF_INET6)
		((struct sockaddr_in6 *)out)->sin6_port = 0;
	else
		((struct sockaddr_in *)out)->sin_port = 0;
	return true;
}

int
agb_edge_conn_listen(struct agb_edge *e)
{
	struct sockaddr_storage ss;
	int rc;

	if (!parse_listen(e->settings.http, &ss))
		return UV_EINVAL;
	rc = uv_tcp_bind(&e->listener, (struct sockaddr *)&ss, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&e->listener, BACKLOG, on_connection);
	if (rc == 0)
		format_bound_address(e);
	return rc;
}

/* Closes a connection that has been idle too long, and refuses with status 408
 * a request that has not arrived in time. */
static void
enforce_conn_timeout(struct agb_edge_conn *c, uint64_t now)
{
	struct agb_edge *const e = c->edge;
	const uint64_t waited = now - c->wait_start_ms;
	const uint64_t idle_max =
	    c->had_request ? IDLE_MS : e->settings.head_timeout_ms;

	if (c->sock == NULL || c->http2 || c->request_active)
		return;
	if (!c->head_started && c->sock->input->size > 0) {
		/* The first bytes of a pipelined request have arrived. */
		c->head_started = true;
		c->wait_start_ms = now;
	} else if (!c->head_started && waited >= idle_max) {
		e->counters.dropped_idle++;
		close_conn(c);
	} else if (c->head_started &&
	    waited >= (c->head_checked ? e->settings.call_timeout_ms
				       : e->settings.head_timeout_ms)) {
		e->counters.refused_head_timeout++;
		refuse_request(c, 408, AGB_REASON_BAD_REQUEST,
		    "the request did not arrive in time");
	}
}

void
agb_edge_conn_enforce_timeouts(uv_timer_t *h)
{
	struct agb_edge *const e = h->data;
	const uint64_t now = uv_now(e->loop);
	struct agb_edge_linger *l;
	h2o_linklist_t *p, *next;

	for (p = e->conns.next; p != &e->conns; p = next) {
		next = p->next;
		enforce_conn_timeout(
		    H2O_STRUCT_FROM_MEMBER(struct agb_edge_conn, link, p), now);
	}
	for (p = e->lingers.next; p != &e->lingers; p = next) {
		next = p->next;
		l = H2O_STRUCT_FROM_MEMBER(struct agb_edge_linger, link, p);
		if (now >= l->deadline_ms)
			linger_close(l);
	}
}

void
agb_edge_conn_close_all(struct agb_edge *e)
{
	h2o_linklist_t *p, *next;
	struct agb_edge_conn *c;
	uv_os_fd_t fd;

	for (p = e->lingers.next; p != &e->lingers; p = next) {
		next = p->next;
		linger_close(
		    H2O_STRUCT_FROM_MEMBER(struct agb_edge_linger, link, p));
	}
	/* h2o then reads the end of input or fails to write, and closes the
	 * connection. */
	for (p = e->conns.next; p != &e->conns; p = p->next) {
		c = H2O_STRUCT_FROM_MEMBER(struct agb_edge_conn, link, p);
		if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
			shutdown(fd, SHUT_RDWR);
	}
}

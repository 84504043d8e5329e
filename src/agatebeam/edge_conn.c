#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "edge_internal.h"
#include "mem.h"

/* Connections are closed this long after their last request. */
#define IDLE_MS 75000U
/* Time in which a refused caller must take its answer and close. */
#define LINGER_MS 2000U
/* Refused connections at once; further ones are closed without an answer. */
#define LINGERS_MAX 256U
/* Bytes read and dropped from one refused caller. */
#define LINGER_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define BACKLOG 1024

/**
 * struct agb_edge_linger - a refused connection that gets its answer, then
 * is read until the caller closes it. Closing at once would make the kernel
 * send a reset, and the caller could lose the answer.
 * @left: bytes that it may still send
 * @shut: our side has been shut down or will be after the write
 */
struct agb_edge_linger {
	uv_tcp_t tcp;
	struct agb_edge *e;
	h2o_linklist_t link;
	struct agb_edge_conn *conn;
	uv_write_t write;
	uv_shutdown_t shutdown;
	char *text;
	size_t left;
	uint64_t until_ms;
	bool shut;
};

static void
linger_closed(uv_handle_t *h)
{
	struct agb_edge_linger *const l = h->data;
	struct agb_edge *const e = l->e;

	free(l->text);
	free(l);
	e->lingers_len--;
	agb_edge_finish(e);
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
linger_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct agb_edge_linger *const l = stream->data;

	if (n < 0 || (size_t)n > l->left) {
		linger_close(l);
		return;
	}
	l->left -= (size_t)n;
}

static struct agb_edge_linger *
linger_new(struct agb_edge *e)
{
	struct agb_edge_linger *l;

	if (e->lingers_len >= LINGERS_MAX || e->closing)
		return NULL;
	l = agb_xcalloc(1, sizeof(*l));
	l->e = e;
	l->left = LINGER_BYTES_MAX;
	l->until_ms = uv_now(e->loop) + LINGER_MS;
	uv_tcp_init(e->loop, &l->tcp);
	l->tcp.data = l;
	h2o_linklist_insert(&e->lingers, &l->link);
	e->lingers_len++;
	return l;
}

static void
linger_shutdown(struct agb_edge_linger *l)
{
	if (l->shut)
		return;
	l->shut = true;
	if (uv_shutdown(&l->shutdown, (uv_stream_t *)&l->tcp, NULL) != 0)
		linger_close(l);
}

static void
linger_start(struct agb_edge_linger *l, char *text)
{
	uv_buf_t buf;

	l->text = text;
	if (uv_read_start((uv_stream_t *)&l->tcp, linger_alloc, linger_read)) {
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

/* A second descriptor of the connection stays open after h2o's is closed. */
static struct agb_edge_linger *
linger_take(struct agb_edge_conn *c)
{
	struct agb_edge_linger *l;
	uv_os_fd_t fd;
	int copy;

	if (c->linger != NULL || c->sock == NULL ||
	    uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0)
		return NULL;
	l = linger_new(c->e);
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
	struct agb_edge_linger *const l = linger_take(c);

	if (l == NULL)
		return;
	l->conn = c;
	c->linger = l;
	linger_start(l, NULL);
}

static void
drop(struct agb_edge_conn *c)
{
	uv_os_fd_t fd;

	if (c->sock == NULL || c->read == NULL)
		return;
	if (!h2o_socket_is_writing(c->sock))
		c->read(c->sock, h2o_socket_error_closed);
	else if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

static void
refuse(struct agb_edge_conn *c, int status, enum agb_reason reason,
    const char *detail)
{
	struct agb_edge_linger *const l = linger_take(c);

	if (l != NULL)
		linger_start(l, refusal_text(status, reason, detail, 0));
	drop(c);
}

/* Return: false when the request has been refused. */
static bool
check_head(struct agb_edge_conn *c)
{
	struct agb_edge *const e = c->e;
	struct agb_edge_head head;

	switch (agb_edge_head_check(c->sock->input->bytes, c->sock->input->size,
	    e->s.head_max, &head)) {
	case AGB_HEAD_PARTIAL:
		return true;
	case AGB_HEAD_HTTP2:
		c->http2 = true;
		return true;
	case AGB_HEAD_LONG:
		e->n.refused_head_size++;
		refuse(c, 431, AGB_REASON_BAD_REQUEST,
		    "the request head is larger than the limit");
		return false;
	case AGB_HEAD_BAD:
		e->n.refused_request++;
		refuse(c, 400, AGB_REASON_BAD_REQUEST,
		    "the request head is malformed");
		return false;
	case AGB_HEAD_WHOLE:
		break;
	}
	if (head.body_len > e->s.body_max) {
		e->n.refused_body_size++;
		refuse(c, 413, AGB_REASON_BAD_REQUEST,
		    "the request body is larger than the limit");
		return false;
	}
	c->head_ok = true;
	c->since_ms = uv_now(e->loop);
	return true;
}

static void
on_read(h2o_socket_t *sock, const char *err)
{
	struct agb_edge_conn *const c = sock->on_close.data;

	if (err == NULL && !c->http2 && !c->head_ok && sock->input->size > 0) {
		if (!c->has_bytes) {
			c->has_bytes = true;
			c->since_ms = uv_now(c->e->loop);
		}
		if (!check_head(c))
			return;
	}
	c->read(sock, err);
}

static void
hook(struct agb_edge_conn *c)
{
	if (c->sock == NULL || c->http2 || c->sock->_cb.read == NULL ||
	    c->sock->_cb.read == on_read)
		return;
	c->read = c->sock->_cb.read;
	c->sock->_cb.read = on_read;
}

void
agb_edge_conn_rehook(uv_prepare_t *h)
{
	struct agb_edge *const e = h->data;
	h2o_linklist_t *p, *next;

	for (p = e->dirty.next; p != &e->dirty; p = next) {
		next = p->next;
		h2o_linklist_unlink(p);
		hook(H2O_STRUCT_FROM_MEMBER(
		    struct agb_edge_conn, dirty_link, p));
	}
}

void
agb_edge_conn_idle(struct agb_edge_conn *c)
{
	if (c->sock == NULL || c->http2)
		return;
	c->in_call = false;
	c->served = true;
	c->head_ok = false;
	/* The bytes of a pipelined request count from now on. */
	c->has_bytes = false;
	c->since_ms = uv_now(c->e->loop);
	if (!h2o_linklist_is_linked(&c->dirty_link))
		h2o_linklist_insert(&c->e->dirty, &c->dirty_link);
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
	struct agb_edge *const e = c->e;

	if (c->linger != NULL) {
		c->linger->conn = NULL;
		linger_shutdown(c->linger);
	}
	h2o_linklist_unlink(&c->link);
	if (h2o_linklist_is_linked(&c->dirty_link))
		h2o_linklist_unlink(&c->dirty_link);
	free(c);
	e->conns_len--;
	agb_edge_finish(e);
}

struct agb_edge_conn *
agb_edge_conn_of(h2o_req_t *req)
{
	return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

static void
conn_accept(struct agb_edge *e, uv_stream_t *listener)
{
	struct agb_edge_conn *c;

	c = agb_xcalloc(1, sizeof(*c));
	c->e = e;
	uv_tcp_init(e->loop, &c->tcp);
	e->conns_len++;
	h2o_linklist_insert(&e->conns, &c->link);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
		uv_close((uv_handle_t *)&c->tcp, conn_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	c->since_ms = uv_now(e->loop);
	c->sock = h2o_uv_socket_create((uv_stream_t *)&c->tcp, conn_closed);
	c->sock->on_close.cb = on_sock_close;
	c->sock->on_close.data = c;
	e->n.accepted++;
	h2o_accept(&e->accept, c->sock);
	hook(c);
}

static void
refuse_accept(struct agb_edge *e, uv_stream_t *listener)
{
	struct agb_edge_linger *l;
	uv_tcp_t *tcp;

	e->n.refused_connections++;
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
	if (e->conns_len >= e->s.connections_max)
		refuse_accept(e, listener);
	else
		conn_accept(e, listener);
}

static void
name_address(struct agb_edge *e)
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

/* Port 0, which no client can ask for, lets the kernel choose. */
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

	if (!parse_listen(e->s.http, &ss))
		return UV_EINVAL;
	rc = uv_tcp_bind(&e->listener, (struct sockaddr *)&ss, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&e->listener, BACKLOG, on_connection);
	if (rc == 0)
		name_address(e);
	return rc;
}

static void
sweep_conn(struct agb_edge_conn *c, uint64_t now)
{
	struct agb_edge *const e = c->e;
	const uint64_t waited = now - c->since_ms;
	const uint64_t idle_max = c->served ? IDLE_MS : e->s.head_timeout_ms;

	if (c->sock == NULL || c->http2 || c->in_call)
		return;
	if (!c->has_bytes && c->sock->input->size > 0) {
		/* A pipelined request has begun to arrive. */
		c->has_bytes = true;
		c->since_ms = now;
	} else if (!c->has_bytes && waited >= idle_max) {
		e->n.dropped_idle++;
		drop(c);
	} else if (c->has_bytes &&
	    waited >=
		(c->head_ok ? e->s.call_timeout_ms : e->s.head_timeout_ms)) {
		e->n.refused_head_timeout++;
		refuse(c, 408, AGB_REASON_BAD_REQUEST,
		    "the request did not arrive in time");
	}
}

void
agb_edge_conn_sweep(uv_timer_t *h)
{
	struct agb_edge *const e = h->data;
	const uint64_t now = uv_now(e->loop);
	struct agb_edge_linger *l;
	h2o_linklist_t *p, *next;

	for (p = e->conns.next; p != &e->conns; p = next) {
		next = p->next;
		sweep_conn(
		    H2O_STRUCT_FROM_MEMBER(struct agb_edge_conn, link, p), now);
	}
	for (p = e->lingers.next; p != &e->lingers; p = next) {
		next = p->next;
		l = H2O_STRUCT_FROM_MEMBER(struct agb_edge_linger, link, p);
		if (now >= l->until_ms)
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
	/* h2o sees the end of input, or its writes fail, and closes. */
	for (p = e->conns.next; p != &e->conns; p = p->next) {
		c = H2O_STRUCT_FROM_MEMBER(struct agb_edge_conn, link, p);
		if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
			shutdown(fd, SHUT_RDWR);
	}
}

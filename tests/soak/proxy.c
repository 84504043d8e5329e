#include "proxy.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "httpc.h"
#include "mem.h"

#define REPLY_DELAY_MS 300

struct proxy_conn;

/* Data read from one side, until it has been written to the other. */
struct chunk {
	uv_write_t req;
	uv_timer_t timer;
	struct proxy_conn *conn;
	uv_tcp_t *dest;
	uv_buf_t buf;
};

struct proxy_conn {
	uv_tcp_t client;
	uv_tcp_t server;
	uv_connect_t connect;
	struct proxy *p;
	struct proxy_conn *prev, *next;
	int refs; /* both sockets and each pending chunk */
	bool closing;
};

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct sockaddr_storage target;
	enum proxy_mode mode;
	struct proxy_conn *conns;
};

static void
conn_unref(struct proxy_conn *conn)
{
	if (--conn->refs > 0)
		return;
	if (conn->prev != NULL)
		conn->prev->next = conn->next;
	else
		conn->p->conns = conn->next;
	if (conn->next != NULL)
		conn->next->prev = conn->prev;
	free(conn);
}

static void
on_socket_closed(uv_handle_t *h)
{
	conn_unref(h->data);
}

static void
conn_close(struct proxy_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	uv_close((uv_handle_t *)&conn->client, on_socket_closed);
	uv_close((uv_handle_t *)&conn->server, on_socket_closed);
}

static void
chunk_free(uv_handle_t *h)
{
	struct chunk *const c = h->data;

	conn_unref(c->conn);
	free(c->buf.base);
	free(c);
}

static void
on_chunk_written(uv_write_t *req, int status)
{
	struct chunk *const c = req->data;

	if (status != 0)
		conn_close(c->conn);
	uv_close((uv_handle_t *)&c->timer, chunk_free);
}

static void
on_chunk_timer(uv_timer_t *t)
{
	struct chunk *const c = t->data;

	if (c->conn->closing ||
	    uv_write(&c->req, (uv_stream_t *)c->dest, &c->buf, 1,
		on_chunk_written) != 0)
		uv_close((uv_handle_t *)&c->timer, chunk_free);
}

static void
alloc_read_buffer(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	buf->base = agb_xcalloc(1, size);
	buf->len = size;
}

static void
on_data(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct proxy_conn *const conn = s->data;
	const bool is_reply = s == (uv_stream_t *)&conn->server;
	const enum proxy_mode mode = conn->p->mode;
	struct chunk *c;

	if (n <= 0 || mode == PROXY_BLACKHOLE ||
	    (mode == PROXY_DROP_REPLIES && is_reply)) {
		free(buf->base);
		if (n < 0)
			conn_close(conn);
		return;
	}
	c = agb_xcalloc(1, sizeof(*c));
	c->conn = conn;
	conn->refs++;
	c->dest = is_reply ? &conn->client : &conn->server;
	c->buf = uv_buf_init(buf->base, (unsigned)n);
	c->req.data = c;
	uv_timer_init(conn->p->loop, &c->timer);
	c->timer.data = c;
	uv_timer_start(&c->timer, on_chunk_timer,
	    mode == PROXY_DELAY && is_reply ? REPLY_DELAY_MS : 0, 0);
}

static void
on_target_connected(uv_connect_t *req, int status)
{
	struct proxy_conn *const conn = req->data;

	if (status != 0 || conn->closing) {
		conn_close(conn);
		return;
	}
	uv_read_start((uv_stream_t *)&conn->client, alloc_read_buffer, on_data);
	uv_read_start((uv_stream_t *)&conn->server, alloc_read_buffer, on_data);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct proxy *const p = listener->data;
	struct proxy_conn *conn;

	if (status != 0)
		return;
	conn = agb_xcalloc(1, sizeof(*conn));
	conn->p = p;
	conn->refs = 2;
	uv_tcp_init(p->loop, &conn->client);
	uv_tcp_init(p->loop, &conn->server);
	conn->client.data = conn->server.data = conn->connect.data = conn;
	conn->next = p->conns;
	if (p->conns != NULL)
		p->conns->prev = conn;
	p->conns = conn;
	if (uv_accept(listener, (uv_stream_t *)&conn->client) != 0 ||
	    p->mode == PROXY_RESET ||
	    uv_tcp_connect(&conn->connect, &conn->server,
		(struct sockaddr *)&p->target, on_target_connected) != 0)
		conn_close(conn);
}

struct proxy *
proxy_new(uv_loop_t *loop, const char *target)
{
	struct proxy *const p = agb_xcalloc(1, sizeof(*p));
	struct sockaddr_in bind_addr;

	p->loop = loop;
	uv_tcp_init(loop, &p->listener);
	p->listener.data = p;
	uv_ip4_addr("127.0.0.1", 0, &bind_addr);
	if (!agb_httpc_parse_addr(target, &p->target) ||
	    uv_tcp_bind(&p->listener, (struct sockaddr *)&bind_addr, 0) != 0 ||
	    uv_listen((uv_stream_t *)&p->listener, 64, on_connection) != 0)
		abort();
	return p;
}

int
proxy_port(const struct proxy *p)
{
	struct sockaddr_in sa;
	int len = sizeof(sa);

	uv_tcp_getsockname(&p->listener, (struct sockaddr *)&sa, &len);
	return ntohs(sa.sin_port);
}

void
proxy_set_mode(struct proxy *p, enum proxy_mode mode)
{
	struct proxy_conn *conn, *next;

	/* A connection whose data was discarded cannot continue: its byte
	 * stream has a gap. */
	if (mode == PROXY_RESET || p->mode == PROXY_BLACKHOLE ||
	    p->mode == PROXY_DROP_REPLIES) {
		for (conn = p->conns; conn != NULL; conn = next) {
			next = conn->next;
			conn_close(conn);
		}
	}
	p->mode = mode;
}

#ifndef LOOP_H
#define LOOP_H

/**
 * DOC: loop
 *
 * Test helpers that run a libuv loop until a condition holds, and a scripted
 * TCP server on that loop.
 */

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

/* Ends a test that hangs; no passing test waits this long. */
#define LOOP_TIMEOUT_MS 20000

static void
loop_timeout_cb(uv_timer_t *t)
{
	*(bool *)t->data = true;
}

/**
 * loop_until() - run the loop until *@done is at least @want
 * Return: false, with a failed assertion, after LOOP_TIMEOUT_MS.
 */
static inline bool
loop_until(uv_loop_t *loop, const int *done, int want)
{
	bool expired = false;
	uv_timer_t guard;

	uv_timer_init(loop, &guard);
	guard.data = &expired;
	uv_timer_start(&guard, loop_timeout_cb, LOOP_TIMEOUT_MS, 0);
	while (*done < want && !expired)
		uv_run(loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&guard, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
	CU_ASSERT_FALSE(expired);
	return !expired;
}

/**
 * loop_close() - run the loop until all handles are closed, and close it
 */
static inline void
loop_close(uv_loop_t *loop)
{
	uv_run(loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(loop), 0);
}

#define LOOP_CONNS_MAX 16

struct loop_conn {
	uv_tcp_t tcp;
	struct loop_server *server;
	char in[65536];
	size_t in_len;
};

/**
 * struct loop_server - TCP server on a port that the kernel assigns
 * @accepted: number of connections so far
 * @closed: number of closed connections so far
 * @on_data: called after each read with all bytes received so far; sets in_len
 *	to 0 to consume them
 */
struct loop_server {
	uv_tcp_t tcp;
	char addr[64];
	int accepted;
	int closed;
	void (*on_data)(struct loop_conn *c);
	void *arg;
	struct loop_conn *conns[LOOP_CONNS_MAX];
};

static void
loop_conn_closed(uv_handle_t *h)
{
	struct loop_conn *const c = h->data;
	int i;

	c->server->closed++;
	for (i = 0; i < LOOP_CONNS_MAX; i++) {
		if (c->server->conns[i] == c)
			c->server->conns[i] = NULL;
	}
	free(c);
}

static inline void
loop_conn_close(struct loop_conn *c)
{
	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_close((uv_handle_t *)&c->tcp, loop_conn_closed);
}

/**
 * loop_conn_write() - write all bytes; fails the test if the socket buffer is
 * too small for them
 */
static inline void
loop_conn_write(struct loop_conn *c, const void *p, size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)p, (unsigned)len);

	CU_ASSERT_EQUAL(
	    uv_try_write((uv_stream_t *)&c->tcp, &buf, 1), (int)len);
}

static void
loop_conn_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct loop_conn *const c = h->data;

	*buf = uv_buf_init(c->in + c->in_len, sizeof(c->in) - 1 - c->in_len);
}

static void
loop_conn_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct loop_conn *const c = s->data;

	if (n < 0) {
		loop_conn_close(c);
		return;
	}
	c->in_len += (size_t)n;
	c->in[c->in_len] = '\0';
	if (n > 0)
		c->server->on_data(c);
}

static void
loop_accept(uv_stream_t *s, int status)
{
	struct loop_server *const srv = s->data;
	struct loop_conn *const c = calloc(1, sizeof(*c));
	int i;

	c->server = srv;
	uv_tcp_init(s->loop, &c->tcp);
	c->tcp.data = c;
	for (i = 0; i < LOOP_CONNS_MAX - 1 && srv->conns[i] != NULL; i++)
		;
	srv->conns[i] = c;
	srv->accepted++;
	CU_ASSERT_EQUAL(uv_accept(s, (uv_stream_t *)&c->tcp), 0);
	uv_read_start((uv_stream_t *)&c->tcp, loop_conn_alloc, loop_conn_read);
}

/**
 * loop_server_start() - start a server and set its addr
 */
static inline void
loop_server_start(uv_loop_t *loop, struct loop_server *srv,
    void (*on_data)(struct loop_conn *), void *arg)
{
	struct sockaddr_in sa;
	int len = sizeof(sa);

	memset(srv, 0, sizeof(*srv));
	srv->on_data = on_data;
	srv->arg = arg;
	uv_ip4_addr("127.0.0.1", 0, &sa);
	uv_tcp_init(loop, &srv->tcp);
	srv->tcp.data = srv;
	uv_tcp_bind(&srv->tcp, (struct sockaddr *)&sa, 0);
	CU_ASSERT_EQUAL(uv_listen((uv_stream_t *)&srv->tcp, 8, loop_accept), 0);
	uv_tcp_getsockname(&srv->tcp, (struct sockaddr *)&sa, &len);
	snprintf(
	    srv->addr, sizeof(srv->addr), "127.0.0.1:%d", ntohs(sa.sin_port));
}

/**
 * loop_bind_closed_port() - bind a port without listening, so that connections to
 * it are refused
 * @tcp: bound socket, which the caller closes
 */
static inline void
loop_bind_closed_port(uv_loop_t *loop, uv_tcp_t *tcp, char addr[64])
{
	struct sockaddr_in sa;
	int len = sizeof(sa);

	uv_ip4_addr("127.0.0.1", 0, &sa);
	uv_tcp_init(loop, tcp);
	uv_tcp_bind(tcp, (struct sockaddr *)&sa, 0);
	uv_tcp_getsockname(tcp, (struct sockaddr *)&sa, &len);
	snprintf(addr, 64, "127.0.0.1:%d", ntohs(sa.sin_port));
}

/**
 * loop_server_close() - close the server and its connections
 */
static inline void
loop_server_close(struct loop_server *srv)
{
	int i;

	uv_close((uv_handle_t *)&srv->tcp, NULL);
	for (i = 0; i < LOOP_CONNS_MAX; i++) {
		if (srv->conns[i] != NULL)
			loop_conn_close(srv->conns[i]);
	}
}

#endif

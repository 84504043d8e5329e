#include "proxy.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "httpc.h"
#include "mem.h"

#define DELAY_MS 300

struct link;

/* One direction's bytes until they have been written. */
struct chunk {
	uv_write_t req;
	uv_timer_t timer;
	struct link *link;
	uv_tcp_t *to;
	uv_buf_t buf;
};

struct link {
	uv_tcp_t client;
	uv_tcp_t server;
	uv_connect_t connect;
	struct proxy *p;
	struct link *prev, *next;
	int refs;
	bool closing;
};

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct sockaddr_storage target;
	enum proxy_mode mode;
	struct link *links;
};

static void
link_unref(struct link *l)
{
	if (--l->refs > 0)
		return;
	if (l->prev != NULL)
		l->prev->next = l->next;
	else
		l->p->links = l->next;
	if (l->next != NULL)
		l->next->prev = l->prev;
	free(l);
}

static void
side_closed(uv_handle_t *h)
{
	link_unref(h->data);
}

static void
link_close(struct link *l)
{
	if (l->closing)
		return;
	l->closing = true;
	uv_close((uv_handle_t *)&l->client, side_closed);
	uv_close((uv_handle_t *)&l->server, side_closed);
}

static void
chunk_free(uv_handle_t *h)
{
	struct chunk *const c = h->data;

	link_unref(c->link);
	free(c->buf.base);
	free(c);
}

static void
chunk_written(uv_write_t *req, int status)
{
	struct chunk *const c = req->data;

	if (status != 0)
		link_close(c->link);
	uv_close((uv_handle_t *)&c->timer, chunk_free);
}

static void
chunk_send(uv_timer_t *t)
{
	struct chunk *const c = t->data;

	if (c->link->closing ||
	    uv_write(
		&c->req, (uv_stream_t *)c->to, &c->buf, 1, chunk_written) != 0)
		uv_close((uv_handle_t *)&c->timer, chunk_free);
}

static void
alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	buf->base = agb_xcalloc(1, size);
	buf->len = size;
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct link *const l = s->data;
	const bool answer = s == (uv_stream_t *)&l->server;
	const enum proxy_mode mode = l->p->mode;
	struct chunk *c;

	if (n <= 0 || mode == PROXY_SILENT ||
	    (mode == PROXY_ONE_WAY && answer)) {
		free(buf->base);
		if (n < 0)
			link_close(l);
		return;
	}
	c = agb_xcalloc(1, sizeof(*c));
	c->link = l;
	l->refs++;
	c->to = answer ? &l->client : &l->server;
	c->buf = uv_buf_init(buf->base, (unsigned)n);
	c->req.data = c;
	uv_timer_init(l->p->loop, &c->timer);
	c->timer.data = c;
	uv_timer_start(&c->timer, chunk_send,
	    mode == PROXY_DELAY && answer ? DELAY_MS : 0, 0);
}

static void
on_connected(uv_connect_t *req, int status)
{
	struct link *const l = req->data;

	if (status != 0 || l->closing) {
		link_close(l);
		return;
	}
	uv_read_start((uv_stream_t *)&l->client, alloc, on_read);
	uv_read_start((uv_stream_t *)&l->server, alloc, on_read);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct proxy *const p = listener->data;
	struct link *l;

	if (status != 0)
		return;
	l = agb_xcalloc(1, sizeof(*l));
	l->p = p;
	l->refs = 2;
	uv_tcp_init(p->loop, &l->client);
	uv_tcp_init(p->loop, &l->server);
	l->client.data = l->server.data = l->connect.data = l;
	l->next = p->links;
	if (p->links != NULL)
		p->links->prev = l;
	p->links = l;
	if (uv_accept(listener, (uv_stream_t *)&l->client) != 0 ||
	    p->mode == PROXY_REFUSE ||
	    uv_tcp_connect(&l->connect, &l->server,
		(struct sockaddr *)&p->target, on_connected) != 0)
		link_close(l);
}

struct proxy *
proxy_new(uv_loop_t *loop, const char *target)
{
	struct proxy *const p = agb_xcalloc(1, sizeof(*p));
	struct sockaddr_in any;

	p->loop = loop;
	uv_tcp_init(loop, &p->listener);
	p->listener.data = p;
	uv_ip4_addr("127.0.0.1", 0, &any);
	if (!agb_httpc_parse_addr(target, &p->target) ||
	    uv_tcp_bind(&p->listener, (struct sockaddr *)&any, 0) != 0 ||
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
proxy_set(struct proxy *p, enum proxy_mode mode)
{
	struct link *l, *next;

	/* What a silent connection has lost cannot be made up for. */
	if (mode == PROXY_REFUSE || p->mode == PROXY_SILENT ||
	    p->mode == PROXY_ONE_WAY) {
		for (l = p->links; l != NULL; l = next) {
			next = l->next;
			link_close(l);
		}
	}
	p->mode = mode;
}

#include "http_part.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "mem.h"

/* A connection that sends a larger request body is closed. */
#define REQUEST_BYTES_MAX ((size_t)4 * 1024 * 1024)

struct http_conn {
	uv_tcp_t tcp;
	uv_timer_t delay_timer;
	struct http_server *server;
	struct http_conn *prev, *next;
	int open_handles; /* libuv handles; closing the last one frees this */
	bool closing;
	bool response_pending; /* a request has no complete response yet */
	bool in_handler;       /* process_requests() is already running */
	char *in;	       /* unhandled input, ended by a NUL byte */
	size_t in_len, in_cap;
	char *response; /* to be sent when delay_timer expires */
	size_t response_len;
	void *user_data;
};

struct http_server {
	uv_tcp_t tcp;
	char addr[64];
	http_handler handler;
	http_closed_cb closed;
	void *arg;
	uint64_t bytes_in, bytes_out;
	struct http_conn *conns;
	int conns_count;
	int conns_max; /* 0: no limit */
};

/* A write that the kernel did not accept at once, with its own copy of data. */
struct write_req {
	uv_write_t req;
	char *data;
};

static void process_requests(struct http_conn *c);

static void
on_handle_closed(uv_handle_t *h)
{
	struct http_conn *const c = h->data;

	if (--c->open_handles > 0)
		return;
	free(c->in);
	free(c->response);
	free(c);
}

void
http_close(struct http_conn *c)
{
	if (c->closing)
		return;
	c->closing = true;
	if (c->user_data != NULL && c->server->closed != NULL)
		c->server->closed(c->server->arg, c->user_data);
	if (c->prev != NULL)
		c->prev->next = c->next;
	else
		c->server->conns = c->next;
	if (c->next != NULL)
		c->next->prev = c->prev;
	c->server->conns_count--;
	uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&c->delay_timer, on_handle_closed);
}

static void
on_written(uv_write_t *req, int status)
{
	struct write_req *const w = (struct write_req *)req;

	free(w->data);
	free(w);
}

static void
send_bytes(struct http_conn *c, const char *data, size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned)len);
	struct write_req *w;
	int n;

	if (c->closing)
		return;
	c->server->bytes_out += len;
	n = uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
	if (n < 0)
		n = 0;
	if ((size_t)n == len)
		return;
	w = agb_xcalloc(1, sizeof(*w));
	w->data = agb_xmemdup(data + n, len - (size_t)n);
	buf = uv_buf_init(w->data, (unsigned)(len - (size_t)n));
	uv_write(&w->req, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
}

static void
send_response(struct http_conn *c)
{
	send_bytes(c, c->response, c->response_len);
	free(c->response);
	c->response = NULL;
	c->response_pending = false;
}

static void
on_delay(uv_timer_t *t)
{
	struct http_conn *const c = t->data;

	send_response(c);
	process_requests(c);
}

void
http_reply(struct http_conn *c, int status, const char *body, size_t len,
    uint32_t delay_ms)
{
	FILE *const f = open_memstream(&c->response, &c->response_len);

	if (f == NULL)
		abort();
	fprintf(f,
	    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, len);
	fwrite(body, 1, len, f);
	fclose(f);
	if (delay_ms > 0)
		uv_timer_start(&c->delay_timer, on_delay, delay_ms, 0);
	else
		send_response(c);
}

void
http_write_raw(struct http_conn *c, const char *data, size_t len)
{
	send_bytes(c, data, len);
}

void
http_finish_raw(struct http_conn *c)
{
	c->response_pending = false;
	if (!c->in_handler)
		process_requests(c);
}

void
http_get_header(
    const struct http_request *m, const char *name, char *buf, size_t len)
{
	const size_t n = strlen(name);
	const char *p;

	buf[0] = '\0';
	for (p = m->head; p < m->body; p = strchr(p, '\n') + 1) {
		if (strncasecmp(p, name, n) != 0 || p[n] != ':')
			continue;
		p += n + 1;
		while (*p == ' ')
			p++;
		snprintf(buf, len, "%.*s", (int)strcspn(p, "\r"), p);
		return;
	}
}

void
http_server_set_conns_max(struct http_server *s, int connections_max)
{
	s->conns_max = connections_max;
}

void
http_start_chunked(struct http_conn *c)
{
	static const char head[] =
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n";

	send_bytes(c, head, sizeof(head) - 1);
}

void
http_write_chunk(struct http_conn *c, const char *data, size_t len)
{
	char size[32];

	send_bytes(
	    c, size, (size_t)snprintf(size, sizeof(size), "%zx\r\n", len));
	send_bytes(c, data, len);
	send_bytes(c, "\r\n", 2);
}

void
http_set_user_data(struct http_conn *c, void *user_data)
{
	c->user_data = user_data;
}

/*
 * Passes the first complete request of the input buffer to the handler and
 * removes it from the buffer.
 * Return: false when no complete request is there, or the connection has been
 * closed because the request is malformed or too large.
 */
static bool
process_next_request(struct http_conn *c)
{
	char *const end = c->in != NULL ? strstr(c->in, "\r\n\r\n") : NULL;
	char *length_header, *path, *space;
	struct http_request m = {0};
	size_t request_len;

	if (end == NULL)
		return false;
	length_header = strcasestr(c->in, "\r\ncontent-length:");
	if (length_header != NULL && length_header < end)
		m.body_len = strtoul(length_header + 17, NULL, 10);
	request_len = (size_t)(end - c->in) + 4 + m.body_len;
	if (m.body_len > REQUEST_BYTES_MAX) {
		http_close(c);
		return false;
	}
	if (c->in_len < request_len)
		return false;
	path = strchr(c->in, ' ');
	space = path != NULL ? strchr(path + 1, ' ') : NULL;
	if (space == NULL || space > end) {
		http_close(c);
		return false;
	}
	/* The method and the path become strings inside the input buffer. */
	*path++ = '\0';
	*space = '\0';
	m.method = c->in;
	m.path = path;
	m.head = strchr(space + 1, '\n') + 1;
	m.body = end + 4;
	c->response_pending = true;
	c->in_handler = true;
	c->server->handler(c->server->arg, c, &m);
	c->in_handler = false;
	c->in_len -= request_len;
	memmove(c->in, c->in + request_len, c->in_len + 1);
	return true;
}

static void
process_requests(struct http_conn *c)
{
	while (!c->closing && !c->response_pending && process_next_request(c))
		;
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct http_conn *const c = h->data;

	if (c->in_cap - c->in_len < size + 1) {
		c->in_cap = (c->in_len + size + 1) * 2;
		c->in = agb_xreallocarray(c->in, c->in_cap, 1);
	}
	*buf = uv_buf_init(
	    c->in + c->in_len, (unsigned)(c->in_cap - c->in_len - 1));
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct http_conn *const c = s->data;

	if (n < 0 || c->in_len > REQUEST_BYTES_MAX + 65536) {
		http_close(c);
		return;
	}
	c->in_len += (size_t)n;
	c->in[c->in_len] = '\0';
	c->server->bytes_in += (uint64_t)n;
	process_requests(c);
}

static void
on_accept(uv_stream_t *s, int status)
{
	struct http_server *const srv = s->data;
	struct http_conn *c;

	if (status < 0)
		return;
	c = agb_xcalloc(1, sizeof(*c));
	c->server = srv;
	c->open_handles = 2;
	uv_tcp_init(s->loop, &c->tcp);
	uv_timer_init(s->loop, &c->delay_timer);
	c->tcp.data = c->delay_timer.data = c;
	c->next = srv->conns;
	if (c->next != NULL)
		c->next->prev = c;
	srv->conns = c;
	srv->conns_count++;
	if (uv_accept(s, (uv_stream_t *)&c->tcp) != 0 ||
	    uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read) != 0 ||
	    (srv->conns_max > 0 && srv->conns_count > srv->conns_max))
		http_close(c);
}

static void
on_listener_closed(uv_handle_t *h)
{
	free(h->data);
}

struct http_server *
http_server_new(uv_loop_t *loop, const char *addr, http_handler handler,
    http_closed_cb closed, void *arg)
{
	struct http_server *const s = agb_xcalloc(1, sizeof(*s));
	struct sockaddr_in sa;
	int len = sizeof(sa);
	char host[48] = "";
	int port = -1;

	s->handler = handler;
	s->closed = closed;
	s->arg = arg;
	uv_tcp_init(loop, &s->tcp);
	s->tcp.data = s;
	if (sscanf(addr, "%47[^:]:%d", host, &port) != 2 ||
	    uv_ip4_addr(host, port, &sa) != 0 ||
	    uv_tcp_bind(&s->tcp, (struct sockaddr *)&sa, 0) != 0 ||
	    uv_listen((uv_stream_t *)&s->tcp, 128, on_accept) != 0 ||
	    uv_tcp_getsockname(&s->tcp, (struct sockaddr *)&sa, &len) != 0) {
		uv_close((uv_handle_t *)&s->tcp, on_listener_closed);
		return NULL;
	}
	snprintf(s->addr, sizeof(s->addr), "%s:%d", host, ntohs(sa.sin_port));
	return s;
}

const char *
http_server_addr(const struct http_server *s)
{
	return s->addr;
}

uint64_t
http_server_bytes_in(const struct http_server *s)
{
	return s->bytes_in;
}

uint64_t
http_server_bytes_out(const struct http_server *s)
{
	return s->bytes_out;
}

void
http_server_free(struct http_server *s)
{
	while (s->conns != NULL)
		http_close(s->conns);
	uv_close((uv_handle_t *)&s->tcp, on_listener_closed);
}

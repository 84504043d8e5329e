#include "wf_httpd.h"

#include <errno.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "httpc.h"
#include "mem.h"
#include "wf_httpd_conn.h"

#define BACKLOG 1024
/* Longer than clients keep an idle connection open. */
#define IDLE_TIMEOUT_MS 60000

struct handler {
	h2o_handler_t super;
	struct wf_httpd *s;
};

/* A request that has no response yet and whose connection is open. */
struct pending_request {
	struct pending_request *prev, *next;
	struct wf_httpd *s;
	uint64_t id;
	h2o_req_t *req;
};

/* Allocated in h2o's memory pool of the request: h2o disposes of it when the
 * request ends, which also happens when the connection closes before the
 * response. */
struct request_guard {
	struct wf_httpd *s;
	struct wf_httpd_conn *conn;
	uint64_t id;
};

struct wf_httpd {
	uv_loop_t *loop;
	uv_tcp_t listener;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	struct wf_httpd_conns conns;
	size_t body_max;
	wf_httpd_cb cb;
	void *arg;
	const char *deadline_header;
	const char *key_header;
	struct pending_request *requests;
	size_t request_count;
	uint64_t next_id;
	bool keep_alive;
	bool stopped;
};

static struct pending_request *
find_request(struct wf_httpd *s, uint64_t id)
{
	struct pending_request *c;

	for (c = s->requests; c != NULL; c = c->next) {
		if (c->id == id)
			return c;
	}
	return NULL;
}

static void
free_request(struct pending_request *c)
{
	DL_DELETE(c->s->requests, c);
	c->s->request_count--;
	free(c);
}

static void
on_request_disposed(void *p)
{
	const struct request_guard *const g = p;
	struct pending_request *const c = find_request(g->s, g->id);

	if (c != NULL)
		free_request(c);
	wf_httpd_conn_end_request(g->conn);
}

static void
copy_string(char *dst, size_t size, h2o_iovec_t src)
{
	const size_t n = src.len < size ? src.len : size - 1;

	if (n > 0)
		memcpy(dst, src.base, n);
	dst[n] = '\0';
}

/* Copies the host without its port. */
static void
copy_host(struct wf_http_req *out, h2o_iovec_t authority)
{
	char *colon;

	copy_string(out->host, sizeof(out->host), authority);
	colon = strrchr(out->host, ':');
	if (colon != NULL && strchr(colon, ']') == NULL)
		*colon = '\0';
}

static void
copy_deadline(const struct wf_httpd *s, struct wf_http_req *out, h2o_req_t *req)
{
	const ssize_t i = h2o_find_header_by_str(
	    &req->headers, s->deadline_header, strlen(s->deadline_header), -1);

	if (i >= 0)
		copy_string(out->deadline, sizeof(out->deadline),
		    req->headers.entries[i].value);
}

static bool
is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Copies the key of an account. A value that is too long or has a NUL is left
 * out: cut off, it could equal a key that the client does not have. */
static void
copy_key(const struct wf_httpd *s, struct wf_http_req *out, h2o_req_t *req)
{
	const ssize_t i = h2o_find_header_by_str(
	    &req->headers, s->key_header, strlen(s->key_header), -1);
	h2o_iovec_t value;

	if (i < 0)
		return;
	value = req->headers.entries[i].value;
	/* h2o leaves the white space after a value in place. */
	while (value.len > 0 && is_blank(value.base[value.len - 1]))
		value.len--;
	if (value.len < sizeof(out->key) &&
	    memchr(value.base, '\0', value.len) == NULL)
		copy_string(out->key, sizeof(out->key), value);
}

/* Ends a connection whose client no longer gets responses. */
static void
close_after_refusal(h2o_req_t *req)
{
	req->res.status = 503;
	req->res.reason = "Refused";
	req->res.content_length = 0;
	req->http1_is_persistent = 0;
	h2o_send_inline(req, "", 0);
}

static int
on_h2o_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct wf_httpd *const s = ((struct handler *)self)->s;
	struct wf_httpd_conn *const conn = wf_httpd_conn_of(req);
	struct wf_http_req out;
	struct request_guard *g;
	struct pending_request *c;

	if (!wf_httpd_conn_begin_request(conn)) {
		close_after_refusal(req);
		return 0;
	}
	memset(&out, 0, sizeof(out));
	c = agb_xcalloc(1, sizeof(*c));
	c->s = s;
	c->id = ++s->next_id;
	c->req = req;
	DL_APPEND(s->requests, c);
	s->request_count++;
	g = h2o_mem_alloc_shared(&req->pool, sizeof(*g), on_request_disposed);
	g->s = s;
	g->id = c->id;
	g->conn = conn;
	out.id = c->id;
	copy_string(out.method, sizeof(out.method), req->method);
	copy_host(&out, req->authority);
	copy_string(out.path, sizeof(out.path), req->path);
	copy_deadline(s, &out, req);
	copy_key(s, &out, req);
	out.body = req->entity.base;
	out.body_len = req->entity.len;
	s->cb(s->arg, &out);
	explicit_bzero(out.key, sizeof(out.key));
	return 0;
}

void
wf_httpd_reply(struct wf_httpd *s, uint64_t id, int status, const char *type,
    uint32_t retry_s, const char *body, size_t len)
{
	struct pending_request *const c = find_request(s, id);
	struct wf_httpd_conn *conn;
	h2o_req_t *req;
	char *text;
	int n;

	if (c == NULL)
		return;
	req = c->req;
	conn = wf_httpd_conn_of(req);
	free_request(c);
	req->res.status = status;
	req->res.reason = status < 400 ? "OK" : "Refused";
	req->res.content_length = len;
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
	    NULL, type, strlen(type));
	if (retry_s > 0) {
		text = h2o_mem_alloc_pool(&req->pool, 16);
		n = snprintf(text, 16, "%u", retry_s);
		h2o_add_header_by_str(&req->pool, &req->res.headers,
		    H2O_STRLIT("retry-after"), 1, NULL, text, (size_t)n);
	}
	if (!s->keep_alive)
		req->http1_is_persistent = 0;
	h2o_send_inline(req, body, len);
	wf_httpd_conn_begin_response(conn);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct wf_httpd *const s = listener->data;

	if (status == 0)
		wf_httpd_conns_accept(&s->conns, listener);
}

struct wf_httpd *
wf_httpd_new(uv_loop_t *loop, const char *addr, const char *deadline_header,
    const char *key_header, size_t body_max, wf_httpd_cb cb, void *arg)
{
	struct wf_httpd *const s = agb_xcalloc(1, sizeof(*s));
	struct sockaddr_storage ss;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct handler *handler;
	int rc;

	s->loop = loop;
	s->cb = cb;
	s->arg = arg;
	s->deadline_header = deadline_header;
	s->key_header = key_header;
	s->keep_alive = true;
	uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	rc = agb_httpc_parse_addr(addr, &ss) ? 0 : UV_EINVAL;
	if (rc == 0)
		rc = uv_tcp_bind(&s->listener, (struct sockaddr *)&ss, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&s->listener, BACKLOG, on_connection);
	if (rc != 0) {
		uv_close((uv_handle_t *)&s->listener, NULL);
		errno = -rc;
		return NULL;
	}
	h2o_config_init(&s->config);
	s->config.server_name = h2o_iovec_init(H2O_STRLIT("agatebeam"));
	s->config.max_request_entity_size = body_max;
	s->config.http1.req_timeout = IDLE_TIMEOUT_MS;
	/* A connection of HTTP/2 could hold a body for each of its streams,
	 * where wf_httpd_conn does not count them. */
	s->config.http1.upgrade_to_http2 = 0;
	host = h2o_config_register_host(
	    &s->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct handler *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_h2o_request;
	handler->s = s;
	h2o_context_init(&s->ctx, loop, &s->config);
	s->accept.ctx = &s->ctx;
	s->accept.hosts = s->config.hosts;
	s->body_max = body_max;
	wf_httpd_conns_init(&s->conns, loop, &s->accept, body_max);
	return s;
}

void
wf_httpd_set_keep_alive(struct wf_httpd *s, bool on)
{
	s->keep_alive = on;
}

void
wf_httpd_stop_listening(struct wf_httpd *s)
{
	if (s->stopped)
		return;
	s->stopped = true;
	uv_close((uv_handle_t *)&s->listener, NULL);
	h2o_context_request_shutdown(&s->ctx);
}

size_t
wf_httpd_pending_requests(const struct wf_httpd *s)
{
	return s->request_count;
}

size_t
wf_httpd_connections(const struct wf_httpd *s)
{
	return s->conns.budget.connections;
}

void
wf_httpd_set_memory(struct wf_httpd *s, uint32_t memory_mb)
{
	wf_httpd_conns_limit(&s->conns, memory_mb, s->body_max);
}

void
wf_httpd_set_connections_max(struct wf_httpd *s, size_t max)
{
	s->conns.budget.limits.connections_max = max;
	s->conns.budget.limits.descriptor_max = SIZE_MAX;
}

void
wf_httpd_on_refusal(struct wf_httpd *s, wf_httpd_refusal_cb cb)
{
	s->conns.refusal_cb = cb;
	s->conns.refusal_arg = s->arg;
}

const struct wf_httpd_budget *
wf_httpd_budget(const struct wf_httpd *s)
{
	return &s->conns.budget;
}

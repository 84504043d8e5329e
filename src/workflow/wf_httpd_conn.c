#include "wf_httpd_conn.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <utlist.h>

#include "mem.h"

#define SWEEP_MS 500
#define REFUSAL_LEN 128
/* Input that is discarded before a new connection is refused: a socket that is
 * closed with unread input resets the connection, and the client could lose
 * the response. */
#define DISCARD_BYTES 4096
#define DISCARDS_MAX 16

/**
 * struct wf_httpd_conn - connection of a client
 * @tcp: first member, so that the stream is the connection
 * @sock: of h2o; valid until the phase is WF_HTTPD_CLOSED
 * @h2o_read: wrapped read callback
 * @scanned: bytes of the head that have been searched for its end
 * @unsent: bytes of the response that the socket has not taken
 * @has_read: whether bytes have been read since the last complete request
 */
struct wf_httpd_conn {
	uv_tcp_t tcp;
	struct wf_httpd_conn *prev, *next;
	struct wf_httpd_load load;
	struct wf_httpd_conns *s;
	h2o_socket_t *sock;
	uv_read_cb h2o_read;
	size_t scanned;
	size_t unsent;
	bool is_unhooked;
	bool has_read;
};

static agb_time
loop_now(const struct wf_httpd_conns *s)
{
	return uv_now(s->loop) * AGB_MS;
}

static struct wf_httpd_conn *
conn_of_load(struct wf_httpd_load *l)
{
	return (struct wf_httpd_conn *)(void *)((char *)l -
	    offsetof(struct wf_httpd_conn, load));
}

static void
set_unhooked(struct wf_httpd_conn *c, bool on)
{
	if (c->is_unhooked == on)
		return;
	c->is_unhooked = on;
	if (on)
		DL_APPEND(c->s->unhooked, c);
	else
		DL_DELETE(c->s->unhooked, c);
}

static void
count_refusal(struct wf_httpd_conns *s, enum wf_httpd_reason reason)
{
	s->budget.counts[reason]++;
	if (s->refusal_cb != NULL)
		s->refusal_cb(s->refusal_arg, reason);
}

/* Sends a response if the socket takes it at once. Nothing of the request has
 * run. */
static void
send_refusal(int fd, enum wf_httpd_reason reason)
{
	const int status = wf_httpd_reason_status(reason);
	char text[REFUSAL_LEN];
	const int n = snprintf(text, sizeof(text),
	    "HTTP/1.1 %d Refused\r\nconnection: close\r\n%s"
	    "content-length: 0\r\n\r\n",
	    status, status == 503 ? "retry-after: 1\r\n" : "");

	(void)!send(fd, text, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
	shutdown(fd, SHUT_WR);
}

/* ---- what a connection holds ---- */

/* Whether the head ends within @input, with CRLF or, as h2o's parser allows,
 * with LF alone. */
static bool
has_whole_head(const h2o_buffer_t *input, size_t *scanned)
{
	const char *const end = input->bytes + input->size;
	const char *p = input->bytes + *scanned;

	while (p < end && (p = memchr(p, '\n', (size_t)(end - p))) != NULL) {
		if (end - p >= 2 && p[1] == '\n')
			return true;
		if (end - p >= 3 && p[1] == '\r' && p[2] == '\n')
			return true;
		if (end - p < 3)
			break;
		p++;
	}
	*scanned = (size_t)((p != NULL && p < end ? p : end) - input->bytes);
	return false;
}

static void
measure(struct wf_httpd_conn *c)
{
	const h2o_buffer_t *const input = c->sock->input;
	const size_t unsent =
	    uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp);
	struct wf_httpd_load *const l = &c->load;

	if (l->phase == WF_HTTPD_IDLE && input->size > 0) {
		l->phase = WF_HTTPD_HEAD;
		l->since = l->progress_at = loop_now(c->s);
		c->scanned = 0;
	}
	if (l->phase == WF_HTTPD_HEAD && has_whole_head(input, &c->scanned))
		l->phase = WF_HTTPD_BODY;
	if (unsent < c->unsent)
		l->progress_at = loop_now(c->s);
	c->unsent = unsent;
	wf_httpd_budget_set_bytes(&c->s->budget, l, input->size + unsent);
}

/* ---- giving up ---- */

static void on_stream_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/* Whether the connection has no complete request. */
static bool
is_receiving(const struct wf_httpd_conn *c)
{
	return c->load.phase == WF_HTTPD_IDLE ||
	    c->load.phase == WF_HTTPD_HEAD || c->load.phase == WF_HTTPD_BODY;
}

/* Whether h2o is reading, by the wrapped callback. */
static bool
is_hooked(const struct wf_httpd_conn *c)
{
	return c->tcp.read_cb == on_stream_read &&
	    h2o_socket_is_reading(c->sock);
}

static void
give_up(struct wf_httpd_conn *c, enum wf_httpd_reason reason)
{
	const uv_buf_t none = uv_buf_init(NULL, 0);
	uv_os_fd_t fd;

	count_refusal(c->s, reason);
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0)
		return;
	if (is_receiving(c) && is_hooked(c)) {
		if (c->unsent == 0)
			send_refusal(fd, reason);
		/* h2o then closes the connection and frees the request. */
		c->h2o_read((uv_stream_t *)&c->tcp, UV_ECONNRESET, &none);
		return;
	}
	/* h2o is writing and closes the connection when that fails. */
	shutdown(fd, SHUT_RDWR);
	c->load.phase = WF_HTTPD_CLOSED;
	wf_httpd_budget_set_bytes(&c->s->budget, &c->load, 0);
}

static void
keep_within_budget(struct wf_httpd_conns *s)
{
	struct wf_httpd_load *l;

	if (s->budget.held <= s->budget.limits.held_max)
		return;
	while (s->budget.held > s->budget.limits.held_low) {
		l = wf_httpd_budget_worst(&s->budget, loop_now(s));
		if (l == NULL)
			return;
		give_up(conn_of_load(l), WF_HTTPD_MEMORY);
	}
}

/* Gives the connection up if it exceeds a limit of its own. */
static void
check(struct wf_httpd_conn *c)
{
	const enum wf_httpd_reason reason =
	    wf_httpd_load_check(&c->load, loop_now(c->s));

	if (reason != WF_HTTPD_KEEP)
		give_up(c, reason);
}

/* ---- callbacks of the loop and of h2o ---- */

static void
on_stream_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct wf_httpd_conn *const c = (struct wf_httpd_conn *)(void *)stream;
	struct wf_httpd_conns *const s = c->s;

	c->has_read = true;
	c->h2o_read(stream, n, buf);
	if (c->load.phase == WF_HTTPD_CLOSED)
		return;
	if (n > 0)
		c->load.progress_at = loop_now(s);
	measure(c);
	/* h2o stops reading when a request is complete and while it writes
	 * "100 Continue", and sets its own callback when it starts again. */
	if (is_receiving(c) && !is_hooked(c))
		set_unhooked(c, true);
	check(c);
	keep_within_budget(s);
}

static void
on_prepare(uv_prepare_t *h)
{
	struct wf_httpd_conns *const s = h->data;
	struct wf_httpd_conn *c, *next;

	for (c = s->unhooked; c != NULL; c = next) {
		next = c->next;
		/* The end of the request puts it on the list again. */
		if (!is_receiving(c)) {
			set_unhooked(c, false);
			continue;
		}
		if (!h2o_socket_is_reading(c->sock))
			continue;
		set_unhooked(c, false);
		if (c->tcp.read_cb != on_stream_read) {
			c->h2o_read = c->tcp.read_cb;
			c->tcp.read_cb = on_stream_read;
		}
		measure(c);
	}
}

static void
on_sweep(uv_timer_t *t)
{
	struct wf_httpd_conns *const s = t->data;
	struct wf_httpd_load *l, *next;

	for (l = s->budget.loads; l != NULL; l = next) {
		next = l->next;
		if (l->phase == WF_HTTPD_CLOSED)
			continue;
		measure(conn_of_load(l));
		check(conn_of_load(l));
	}
	keep_within_budget(s);
}

static void
on_socket_closed(void *arg)
{
	struct wf_httpd_conn *const c = arg;

	c->load.phase = WF_HTTPD_CLOSED;
	set_unhooked(c, false);
	wf_httpd_budget_set_bytes(&c->s->budget, &c->load, 0);
}

static void
on_handle_closed(uv_handle_t *h)
{
	struct wf_httpd_conn *const c = (struct wf_httpd_conn *)(void *)h;

	set_unhooked(c, false);
	wf_httpd_budget_remove(&c->s->budget, &c->load);
	free(c);
}

/* ---- interface ---- */

static size_t
descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
	    limit.rlim_cur > (rlim_t)INT32_MAX)
		return INT32_MAX;
	return (size_t)limit.rlim_cur;
}

void
wf_httpd_conns_limit(
    struct wf_httpd_conns *s, uint32_t memory_mb, size_t body_max)
{
	wf_httpd_limits_init(
	    &s->budget.limits, memory_mb, body_max, descriptor_limit());
}

void
wf_httpd_conns_init(struct wf_httpd_conns *s, uv_loop_t *loop,
    h2o_accept_ctx_t *accept, size_t body_max)
{
	s->loop = loop;
	s->accept = accept;
	wf_httpd_conns_limit(s, 0, body_max);
	uv_prepare_init(loop, &s->prepare);
	uv_timer_init(loop, &s->sweep);
	s->prepare.data = s->sweep.data = s;
	uv_prepare_start(&s->prepare, on_prepare);
	uv_timer_start(&s->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	uv_unref((uv_handle_t *)&s->prepare);
	uv_unref((uv_handle_t *)&s->sweep);
}

static void
refuse(struct wf_httpd_conn *c, uv_os_fd_t fd, enum wf_httpd_reason reason)
{
	char buf[DISCARD_BYTES];
	unsigned i;

	count_refusal(c->s, reason);
	for (i = 0; i < DISCARDS_MAX; i++) {
		if (recv(fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0)
			break;
	}
	send_refusal(fd, reason);
	uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
}

/* Decides on a new connection, and closes a stale one for it if need be. */
static enum wf_httpd_reason
admit(struct wf_httpd_conns *s, uv_os_fd_t fd)
{
	const enum wf_httpd_reason reason =
	    wf_httpd_budget_admit(&s->budget, (size_t)fd);
	struct wf_httpd_load *l;

	if (reason != WF_HTTPD_CONNECTIONS)
		return reason;
	l = wf_httpd_budget_stalest(&s->budget, loop_now(s));
	if (l == NULL)
		return reason;
	give_up(conn_of_load(l), WF_HTTPD_CONNECTIONS);
	return WF_HTTPD_KEEP;
}

void
wf_httpd_conns_accept(struct wf_httpd_conns *s, uv_stream_t *listener)
{
	struct wf_httpd_conn *const c = agb_xcalloc(1, sizeof(*c));
	enum wf_httpd_reason reason;
	uv_os_fd_t fd;

	c->s = s;
	c->load.phase = WF_HTTPD_CLOSED;
	uv_tcp_init(s->loop, &c->tcp);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 ||
	    uv_fileno((uv_handle_t *)&c->tcp, &fd) != 0) {
		wf_httpd_budget_add(&s->budget, &c->load);
		uv_close((uv_handle_t *)&c->tcp, on_handle_closed);
		return;
	}
	reason = admit(s, fd);
	wf_httpd_budget_add(&s->budget, &c->load);
	if (reason != WF_HTTPD_KEEP) {
		refuse(c, fd, reason);
		return;
	}
	c->load.phase = WF_HTTPD_IDLE;
	c->load.progress_at = loop_now(s);
	uv_tcp_nodelay(&c->tcp, 1);
	c->sock =
	    h2o_uv_socket_create((uv_stream_t *)&c->tcp, on_handle_closed);
	c->sock->on_close.cb = on_socket_closed;
	c->sock->on_close.data = c;
	set_unhooked(c, true);
	h2o_accept(s->accept, c->sock);
}

struct wf_httpd_conn *
wf_httpd_conn_of(h2o_req_t *req)
{
	return req->conn->callbacks->get_socket(req->conn)->on_close.data;
}

static bool
is_reset(const struct wf_httpd_conn *c)
{
	struct pollfd p = {0};

	return uv_fileno((const uv_handle_t *)&c->tcp, &p.fd) != 0 ||
	    poll(&p, 1, 0) != 0;
}

bool
wf_httpd_conn_begin_request(struct wf_httpd_conn *c)
{
	const bool was_read = c->has_read;

	c->has_read = false;
	if (c->load.phase == WF_HTTPD_CLOSED)
		return false;
	c->load.phase = WF_HTTPD_PENDING;
	/* h2o ignores failed writes while requests that the client has sent in
	 * advance are in its buffer. */
	return was_read || !is_reset(c);
}

void
wf_httpd_conn_begin_response(struct wf_httpd_conn *c)
{
	if (c->load.phase != WF_HTTPD_PENDING)
		return;
	if (uv_stream_get_write_queue_size((uv_stream_t *)&c->tcp) > 0) {
		c->load.phase = WF_HTTPD_RESPONSE;
		c->load.since = c->load.progress_at = loop_now(c->s);
	}
	measure(c);
	keep_within_budget(c->s);
}

void
wf_httpd_conn_end_request(struct wf_httpd_conn *c)
{
	if (c->load.phase == WF_HTTPD_CLOSED)
		return;
	c->load.phase = WF_HTTPD_IDLE;
	c->load.progress_at = loop_now(c->s);
	c->load.was_used = true;
	set_unhooked(c, true);
}

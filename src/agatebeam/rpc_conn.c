#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "addr.h"
#include "mem.h"
#include "rpc_internal.h"

#define BACKLOG 128
#define CONNS_PER_IP_MAX 64
#define CONNECT_TIMEOUT_MS 1000
#define BACKOFF_MIN_MS 50
/* At most a second passes until a peer that has restarted is tried again. */
#define BACKOFF_MAX_MS 1000
/* A connection is closed when a record is incomplete and nothing has been
 * received for this long. */
#define PARTIAL_RECORD_TIMEOUT_MS 10000

static void
on_conn_closed(uv_handle_t *h)
{
	struct agb_rpc_conn *const conn = h->data;

	agb_rpcmsg_reader_free(&conn->reader);
	free(conn->out);
	free(conn->write_buf);
	free(conn);
}

void
agb_rpc_conn_close(struct agb_rpc_conn *conn)
{
	struct agb_rpc *const r = conn->r;

	if (conn->closing)
		return;
	conn->closing = true;
	DL_DELETE(r->conns, conn);
	r->conns_len--;
	agb_rpc_server_drop_calls(conn);
	if (conn->peer != NULL) {
		conn->peer->conn = NULL;
		agb_rpc_peer_fail_calls(conn->peer);
	}
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

void
agb_rpc_conn_close_malformed(struct agb_rpc_conn *conn, const char *cause)
{
	conn->r->stats.malformed++;
	agb_rpc_log(conn->r, AGB_LOG_WARN, "rpc-malformed", "peer=%s cause=%s",
	    conn->addr, cause);
	agb_rpc_conn_close(conn);
}

/* Delays the next attempt to connect to a peer, for longer after each one. */
static void
back_off(struct agb_rpc_peer *p)
{
	struct agb_rpc *const r = p->r;

	p->backoff_ms = p->backoff_ms == 0 ? BACKOFF_MIN_MS : p->backoff_ms * 2;
	if (p->backoff_ms > BACKOFF_MAX_MS)
		p->backoff_ms = BACKOFF_MAX_MS;
	/* Half of the backoff is random, so that instances do not reconnect at
	 * the same time. */
	p->retry_at_ms = uv_now(r->loop) + p->backoff_ms / 2 +
	    agb_rpc_random(r) % (p->backoff_ms / 2 + 1);
}

/* Closes a connection that has failed. One on which nothing was received counts
 * as a failed attempt to connect. */
static void
conn_lost(struct agb_rpc_conn *conn)
{
	if (conn->closing)
		return;
	if (conn->peer != NULL && !conn->received)
		back_off(conn->peer);
	agb_rpc_conn_close(conn);
}

static void
count_received(struct agb_rpc_conn *conn, size_t n)
{
	if (conn->traffic != NULL)
		conn->traffic->counters.bytes_in += n;
}

static void
count_sent(struct agb_rpc_conn *conn, size_t n)
{
	conn->r->stats.writes++;
	if (conn->traffic != NULL)
		conn->traffic->counters.bytes_out += n;
}

void
agb_rpc_conn_queue_record(
    struct agb_rpc_conn *conn, const char *rec, size_t len)
{
	if (conn->out_len + len > AGB_RPC_QUEUE_BYTES_MAX) {
		conn->r->stats.slow_peers++;
		agb_rpc_log(conn->r, AGB_LOG_WARN, "rpc-slow-peer", "peer=%s",
		    conn->addr);
		agb_rpc_conn_close(conn);
		return;
	}
	if (conn->out_len + len > conn->out_cap) {
		conn->out_cap = (conn->out_len + len) * 2;
		conn->out = agb_xreallocarray(conn->out, conn->out_cap, 1);
	}
	memcpy(conn->out + conn->out_len, rec, len);
	conn->out_len += len;
	conn->r->dirty = true;
}

static void
handle_records(struct agb_rpc_conn *conn)
{
	const char *rec;
	size_t len = 0;

	while (!conn->closing && !conn->paused) {
		if (!agb_rpcmsg_reader_next(&conn->reader, &rec, &len)) {
			agb_rpc_conn_close_malformed(conn, "record");
			return;
		}
		if (rec == NULL)
			return;
		if (conn->peer != NULL)
			agb_rpc_call_handle_reply(conn, rec, len);
		else
			agb_rpc_server_handle_call(conn, rec, len);
	}
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct agb_rpc_conn *const conn = h->data;
	size_t len;
	char *p;

	p = agb_rpcmsg_reader_reserve(&conn->reader, &len);
	*buf = uv_buf_init(p, (unsigned)len);
}

static void
report_lost(struct agb_rpc *r, const char *peer, bool refused)
{
	if (r->cbs.lost != NULL && !r->closing)
		r->cbs.lost(r->arg, peer, refused);
}

static void
on_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct agb_rpc_conn *const conn = s->data;

	if (n < 0) {
		conn_lost(conn);
		if (conn->peer != NULL)
			report_lost(conn->r, conn->addr, false);
		return;
	}
	if (n == 0)
		return;
	conn->received = true;
	if (conn->peer != NULL)
		conn->peer->backoff_ms = 0;
	conn->last_recv_ms = uv_now(conn->r->loop);
	count_received(conn, (size_t)n);
	agb_rpcmsg_reader_commit(&conn->reader, (size_t)n);
	handle_records(conn);
}

static void
on_written(uv_write_t *w, int status)
{
	struct agb_rpc_conn *const conn = w->data;

	free(conn->write_buf);
	conn->write_buf = NULL;
	if (status < 0)
		conn_lost(conn);
	else
		conn->r->dirty = true;
}

void
agb_rpc_conn_flush(struct agb_rpc_conn *conn)
{
	uv_stream_t *const s = (uv_stream_t *)&conn->tcp;
	uv_buf_t buf;
	int n;

	if (conn->closing || !conn->connected || conn->write_buf != NULL)
		return;
	if (conn->peer != NULL)
		agb_rpc_peer_queue_calls(conn->peer);
	if (conn->closing || conn->out_len == 0)
		return;
	buf = uv_buf_init(conn->out, (unsigned)conn->out_len);
	n = uv_try_write(s, &buf, 1);
	if (n < 0 && n != UV_EAGAIN) {
		conn_lost(conn);
		return;
	}
	count_sent(conn, conn->out_len);
	if (conn->peer != NULL)
		agb_rpc_peer_mark_calls_written(conn->peer);
	if (n < 0)
		n = 0;
	if ((size_t)n < conn->out_len) {
		conn->write_buf = conn->out;
		buf.base += n;
		buf.len -= (size_t)n;
		conn->out = NULL;
		conn->out_cap = 0;
		conn->write.data = conn;
		if (uv_write(&conn->write, s, &buf, 1, on_written) != 0)
			conn_lost(conn);
	}
	conn->out_len = 0;
}

void
agb_rpc_conn_resume(struct agb_rpc_conn *conn)
{
	if (conn->closing || !conn->paused ||
	    conn->inbound_calls_len > AGB_RPC_CALLS_MAX / 2)
		return;
	conn->paused = false;
	handle_records(conn);
	if (!conn->closing && !conn->paused)
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

size_t
agb_rpc_conn_backlog(const struct agb_rpc_conn *conn)
{
	return conn->out_len +
	    uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) +
	    (conn->peer != NULL ? conn->peer->unwritten_bytes : 0);
}

static struct agb_rpc_conn *
conn_new(struct agb_rpc *r)
{
	struct agb_rpc_conn *const conn = agb_xcalloc(1, sizeof(*conn));

	conn->r = r;
	uv_tcp_init(r->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->last_recv_ms = uv_now(r->loop);
	DL_APPEND(r->conns, conn);
	r->conns_len++;
	return conn;
}

static bool
may_accept(const struct agb_rpc *r, const struct agb_rpc_conn *conn)
{
	const struct agb_rpc_conn *other;
	size_t i, same = 0;

	for (i = 0; i < r->allowed_len; i++) {
		if (strcmp(r->allowed[i], conn->addr) == 0)
			break;
	}
	for (other = r->conns; other != NULL; other = other->next)
		same +=
		    other->peer == NULL && strcmp(other->addr, conn->addr) == 0;
	return i < r->allowed_len && same <= CONNS_PER_IP_MAX &&
	    r->conns_len <= AGB_RPC_CONNS_MAX;
}

static void
on_accept(uv_stream_t *s, int status)
{
	struct agb_rpc *const r = s->data;
	struct sockaddr_storage sa;
	int len = sizeof(sa);
	struct agb_rpc_conn *conn;

	if (status < 0)
		return;
	conn = conn_new(r);
	if (uv_accept(s, (uv_stream_t *)&conn->tcp) != 0 ||
	    uv_tcp_getpeername(&conn->tcp, (struct sockaddr *)&sa, &len) != 0) {
		agb_rpc_conn_close(conn);
		return;
	}
	agb_addr_format(&sa, false, conn->addr);
	if (!may_accept(r, conn)) {
		r->stats.refused_conns++;
		agb_rpc_log(
		    r, AGB_LOG_WARN, "rpc-peer-refused", "peer=%s", conn->addr);
		agb_rpc_conn_close(conn);
		return;
	}
	conn->connected = true;
	conn->traffic = agb_rpc_traffic_get(r, conn->addr);
	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0)
		agb_rpc_conn_close(conn);
}

bool
agb_rpc_conn_listen(struct agb_rpc *r, const char *listen_addr)
{
	struct sockaddr_storage sa;
	int len = sizeof(sa);

	if (!agb_addr_parse(listen_addr, true, &sa) ||
	    uv_tcp_bind(&r->listener, (struct sockaddr *)&sa, 0) != 0 ||
	    uv_listen((uv_stream_t *)&r->listener, BACKLOG, on_accept) != 0 ||
	    uv_tcp_getsockname(&r->listener, (struct sockaddr *)&sa, &len) != 0)
		return false;
	agb_addr_format(&sa, true, r->addr);
	return true;
}

static void
connect_failed(struct agb_rpc_conn *conn)
{
	conn->r->stats.connect_failures++;
	back_off(conn->peer);
	agb_rpc_log(conn->r, AGB_LOG_INFO, "rpc-connect-failed",
	    "peer=%s backoff_ms=%u", conn->addr, conn->peer->backoff_ms);
	agb_rpc_conn_close(conn);
}

static void
on_connect(uv_connect_t *req, int status)
{
	struct agb_rpc_conn *const conn = req->data;

	if (conn->closing)
		return;
	if (status < 0 ||
	    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0) {
		connect_failed(conn);
		if (status == UV_ECONNREFUSED)
			report_lost(conn->r, conn->addr, true);
		return;
	}
	conn->connected = true;
	conn->last_recv_ms = uv_now(conn->r->loop);
	conn->r->stats.connects++;
	conn->r->dirty = true;
}

void
agb_rpc_conn_connect(struct agb_rpc_peer *p)
{
	struct agb_rpc_conn *const conn = conn_new(p->r);

	conn->peer = p;
	p->conn = conn;
	agb_str_copy(conn->addr, sizeof(conn->addr), p->addr);
	conn->traffic = agb_rpc_traffic_get(p->r, p->addr);
	conn->connect.data = conn;
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)&p->sa, on_connect) != 0) {
		connect_failed(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
}

void
agb_rpc_conn_sweep(struct agb_rpc_conn *conn, uint64_t now)
{
	const uint64_t idle_ms = now - conn->last_recv_ms;

	if (conn->peer != NULL && !conn->connected) {
		if (idle_ms >= CONNECT_TIMEOUT_MS)
			connect_failed(conn);
	} else if (agb_rpcmsg_reader_in_record(&conn->reader) &&
	    !conn->paused && idle_ms >= PARTIAL_RECORD_TIMEOUT_MS) {
		agb_rpc_conn_close_malformed(conn, "incomplete-record");
	} else if (idle_ms >= AGB_RPC_IDLE_TIMEOUT_MS &&
	    conn->inbound_calls_len == 0 &&
	    (conn->peer == NULL || conn->peer->calls_len == 0)) {
		agb_rpc_conn_close(conn);
	}
}

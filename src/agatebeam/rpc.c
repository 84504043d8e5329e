#include "rpc.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "addr.h"
#include "mem.h"

#define BACKLOG 128
#define CONNS_PER_IP_MAX 64
#define CONNECT_TIMEOUT_MS 1000
#define BACKOFF_MIN_MS 50
/* At most a second passes until a peer that has restarted is tried again. */
#define BACKOFF_MAX_MS 1000
#define SWEEP_INTERVAL_MS 1000
/* A connection is closed when a call times out and nothing has been received
 * since that call was sent and for at least this long. A peer that is merely
 * delayed answers within this time. */
#define SILENT_CONN_MS 2500
/* How long an expired call waits for replies that have already arrived in the
 * socket to be read. */
#define READ_GRACE_MS 5
/* Heartbeats are sent every 500 ms, so a connection that has been idle for this
 * long is no longer in use. */
#define IDLE_TIMEOUT_MS 60000
/* A connection is closed when a record is incomplete and nothing has been
 * received for this long. */
#define PARTIAL_RECORD_TIMEOUT_MS 10000

struct traffic_entry {
	struct agb_rpc_traffic counters;
	UT_hash_handle hh;
};

struct peer;

/**
 * struct conn - outbound connection to a peer, or inbound one (@peer is NULL)
 * @addr: "address:port" for outbound connections, the IP address alone for
 *	inbound ones
 * @traffic: counters of the address; NULL when there are too many addresses
 * @out: records to write at the end of the loop iteration
 * @write_buf: buffer owned by the uv_write() in progress, or NULL
 * @last_recv_ms: loop time when data was last received, at first when the
 *	connection was created or established
 * @paused: reading is stopped because the peer has too many open calls
 * @inbound_calls: calls that this instance has not answered yet
 */
struct conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct agb_rpc *r;
	struct conn *prev, *next;
	struct peer *peer;
	agb_addr addr;
	struct traffic_entry *traffic;
	struct agb_rpcmsg_reader reader;
	char *out;
	size_t out_len, out_cap;
	char *write_buf;
	uint64_t last_recv_ms;
	bool connected;
	bool closing;
	bool paused;
	struct inbound_call *inbound_calls;
	size_t inbound_calls_len;
};

/* A call from a peer that has not been answered. */
struct inbound_call {
	uint64_t token;
	struct conn *conn;
	uint32_t xid;
	agb_x_proc proc;
	struct inbound_call *prev, *next;
	UT_hash_handle hh;
};

/**
 * struct peer - a peer that this instance calls
 * @conn: connection, or NULL
 * @calls: open calls; those that are not yet written come last
 * @unwritten: first call in @calls that is not yet written, or NULL
 * @last_used_ms: loop time when the last call ended, at first that of creation
 * @retry_at_ms: loop time before which no connection is attempted
 */
struct peer {
	agb_addr addr;
	struct sockaddr_storage sa;
	UT_hash_handle hh;
	struct agb_rpc *r;
	struct conn *conn;
	struct call *calls;
	struct call *unwritten;
	size_t calls_len;
	size_t unwritten_bytes;
	uint64_t last_used_ms;
	uint64_t retry_at_ms;
	uint32_t backoff_ms;
};

/**
 * struct call - call to a peer without a reply so far
 * @rec: encoded record; NULL once it has been written
 * @timeout_ms: 0 for none
 * @queued_at_ms: loop time when the call was made
 * @sent_at_ms: loop time when the record was written
 * @write_ready: the connection could take the record when the call was made
 * @in_read_grace: the call has expired and waits READ_GRACE_MS
 * @sent: set for a failed call: the peer may have carried it out
 */
struct call {
	uint32_t xid;
	uint64_t tag;
	agb_x_proc proc;
	struct agb_rpc *r;
	struct peer *peer;
	struct call *prev, *next;
	UT_hash_handle hh;
	uv_timer_t timer;
	char *rec;
	size_t rec_len;
	uint32_t timeout_ms;
	uint64_t queued_at_ms;
	uint64_t sent_at_ms;
	bool write_ready;
	bool in_read_grace;
	bool sent;
};

/**
 * struct agb_rpc - RPC endpoint
 * @idle: active while @failed is not empty, so that the loop does not block
 * @open_handles: libuv handles of this struct that are not closed
 * @dirty: a connection may have data to write
 * @calls: open calls by xid
 * @failed: calls whose failure has to be reported to the callback
 * @inbound_calls: by token
 * @traffic: by address
 * @scratch: buffer in which records are encoded
 */
struct agb_rpc {
	uv_loop_t *loop;
	struct agb_rpc_cbs cbs;
	void *arg;
	uv_tcp_t listener;
	uv_prepare_t prepare;
	uv_idle_t idle;
	uv_timer_t sweep;
	int open_handles;
	bool closing;
	bool dirty;
	agb_addr addr;
	agb_addr *allowed;
	size_t allowed_len;
	struct conn *conns;
	size_t conns_len;
	struct peer *peers;
	struct call *calls;
	struct call *failed;
	struct inbound_call *inbound_calls;
	struct traffic_entry *traffic;
	uint32_t next_xid;
	uint64_t next_token;
	uint64_t rng_state;
	struct agb_rpc_stats stats;
	char scratch[AGB_RPC_BUF_LEN];
};

static void __attribute__((format(printf, 4, 5))) log_line(struct agb_rpc *r,
    enum agb_log_level level, const char *event, const char *fmt, ...)
{
	char line[256];
	va_list ap;

	if (r->cbs.log == NULL)
		return;
	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	r->cbs.log(r->arg, level, event, line);
}

/* Returns the traffic counters of an address, creating them if needed; NULL when
 * there are too many addresses. */
static struct traffic_entry *
traffic_get(struct agb_rpc *r, const char *addr)
{
	struct traffic_entry *t;

	HASH_FIND_STR(r->traffic, addr, t);
	if (t != NULL || HASH_COUNT(r->traffic) >= 2 * AGB_RPC_PEERS_MAX)
		return t;
	t = agb_xcalloc(1, sizeof(*t));
	agb_str_copy(t->counters.addr, sizeof(t->counters.addr), addr);
	HASH_ADD_STR(r->traffic, counters.addr, t);
	return t;
}

static void
on_idle(uv_idle_t *h)
{
}

static void
on_call_closed(uv_handle_t *h)
{
	struct call *const call = h->data;

	free(call->rec);
	free(call);
}

/* Removes a call from its peer and from the table of open calls. */
static void
call_detach(struct call *call)
{
	struct peer *const p = call->peer;

	uv_timer_stop(&call->timer);
	HASH_DEL(call->r->calls, call);
	if (p->unwritten == call)
		p->unwritten = call->next;
	if (call->rec != NULL)
		p->unwritten_bytes -= call->rec_len;
	DL_DELETE(p->calls, call);
	p->calls_len--;
	p->last_used_ms = uv_now(call->r->loop);
}

static void
call_free(struct call *call)
{
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

/* Queues the failure of a detached call, which is reported to the callback in
 * the next loop iteration. */
static void
call_queue_failure(struct call *call, bool sent)
{
	call->sent = sent;
	DL_APPEND(call->r->failed, call);
	uv_idle_start(&call->r->idle, on_idle);
}

static void
fail_peer_calls(struct peer *p)
{
	struct call *call, *next;

	for (call = p->calls; call != NULL; call = next) {
		next = call->next;
		call_detach(call);
		call_queue_failure(call, call->rec == NULL);
	}
}

static void
on_conn_closed(uv_handle_t *h)
{
	struct conn *const conn = h->data;

	agb_rpcmsg_reader_free(&conn->reader);
	free(conn->out);
	free(conn->write_buf);
	free(conn);
}

static void
inbound_call_free(struct inbound_call *in)
{
	struct conn *const conn = in->conn;

	if (conn->r->inbound_calls != NULL)
		HASH_DEL(conn->r->inbound_calls, in);
	DL_DELETE(conn->inbound_calls, in);
	conn->inbound_calls_len--;
	free(in);
}

static void
conn_close(struct conn *conn)
{
	struct agb_rpc *const r = conn->r;
	struct inbound_call *in, *next;

	if (conn->closing)
		return;
	conn->closing = true;
	DL_DELETE(r->conns, conn);
	r->conns_len--;
	for (in = conn->inbound_calls; in != NULL; in = next) {
		next = in->next;
		inbound_call_free(in);
	}
	if (conn->peer != NULL) {
		conn->peer->conn = NULL;
		fail_peer_calls(conn->peer);
	}
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void
conn_close_malformed(struct conn *conn, const char *cause)
{
	conn->r->stats.malformed++;
	log_line(conn->r, AGB_LOG_WARN, "rpc-malformed", "peer=%s cause=%s",
	    conn->addr, cause);
	conn_close(conn);
}

static void
count_received(struct conn *conn, size_t n)
{
	if (conn->traffic != NULL)
		conn->traffic->counters.bytes_in += n;
}

static void
count_sent(struct conn *conn, size_t n)
{
	conn->r->stats.writes++;
	if (conn->traffic != NULL)
		conn->traffic->counters.bytes_out += n;
}

/* Appends a record to the data that is written at the end of the loop
 * iteration. */
static void
conn_queue_record(struct conn *conn, const char *rec, size_t len)
{
	if (conn->out_len + len > AGB_RPC_QUEUE_BYTES_MAX) {
		conn->r->stats.slow_peers++;
		log_line(conn->r, AGB_LOG_WARN, "rpc-slow-peer", "peer=%s",
		    conn->addr);
		conn_close(conn);
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
handle_reply(struct conn *conn, const char *rec, size_t len)
{
	struct agb_rpc *const r = conn->r;
	enum agb_rpcmsg_status status;
	struct call *call;
	agb_x_res res;
	uint32_t xid;
	size_t body = 0;

	status = agb_rpcmsg_parse_reply(rec, len, &xid, &body);
	if (status == AGB_RPC_MALFORMED) {
		conn_close_malformed(conn, "reply");
		return;
	}
	HASH_FIND(hh, r->calls, &xid, sizeof(xid), call);
	if (call == NULL || call->peer != conn->peer || call->rec != NULL) {
		/* The call has timed out, or was never made. */
		r->stats.unknown_xid++;
		return;
	}
	if (status == AGB_RPC_OK &&
	    !agb_rpcmsg_parse_res(rec + body, len - body, call->proc, &res)) {
		conn_close_malformed(conn, "result");
		return;
	}
	call_detach(call);
	if (status == AGB_RPC_OK) {
		r->cbs.reply(r->arg, call->tag, true, true, &res);
	} else {
		log_line(r, AGB_LOG_WARN, "rpc-rejected",
		    "peer=%s proc=%d verdict=%d", conn->addr, (int)call->proc,
		    (int)status);
		/* All errors but a system error are detected before the
		 * procedure runs. */
		r->cbs.reply(r->arg, call->tag, false,
		    status == AGB_RPC_SYSTEM_ERR, NULL);
	}
	call_free(call);
}

static void
reply_error(struct conn *conn, uint32_t xid, enum agb_rpcmsg_status status)
{
	struct agb_rpc *const r = conn->r;

	r->stats.rejected_calls++;
	conn_queue_record(conn, r->scratch,
	    agb_rpcmsg_encode_reply(r->scratch, xid, status, NULL));
}

static void
handle_call(struct conn *conn, const char *rec, size_t len)
{
	struct agb_rpc *const r = conn->r;
	const agb_x_res null_res = {.proc = AGB_X_NULL};
	enum agb_rpcmsg_status status;
	struct inbound_call *in;
	agb_x_args args;
	uint32_t xid;

	status = agb_rpcmsg_parse_call(rec, len, &xid, &args);
	if (status == AGB_RPC_MALFORMED) {
		conn_close_malformed(conn, "call");
		return;
	}
	if (status != AGB_RPC_OK) {
		log_line(r, AGB_LOG_WARN, "rpc-refused", "peer=%s verdict=%d",
		    conn->addr, (int)status);
		reply_error(conn, xid, status);
		return;
	}
	r->stats.calls_in++;
	if (args.proc == AGB_X_NULL) {
		conn_queue_record(conn, r->scratch,
		    agb_rpcmsg_encode_reply(
			r->scratch, xid, AGB_RPC_OK, &null_res));
		return;
	}
	in = agb_xcalloc(1, sizeof(*in));
	in->token = ++r->next_token;
	in->conn = conn;
	in->xid = xid;
	in->proc = args.proc;
	HASH_ADD(hh, r->inbound_calls, token, sizeof(in->token), in);
	DL_APPEND(conn->inbound_calls, in);
	if (++conn->inbound_calls_len >= AGB_RPC_CALLS_MAX) {
		conn->paused = true;
		uv_read_stop((uv_stream_t *)&conn->tcp);
	}
	r->cbs.call(r->arg, in->token, conn->addr, &args);
}

static void
handle_records(struct conn *conn)
{
	const char *rec;
	size_t len = 0;

	while (!conn->closing && !conn->paused) {
		if (!agb_rpcmsg_reader_next(&conn->reader, &rec, &len)) {
			conn_close_malformed(conn, "record");
			return;
		}
		if (rec == NULL)
			return;
		if (conn->peer != NULL)
			handle_reply(conn, rec, len);
		else
			handle_call(conn, rec, len);
	}
}

static void
on_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct conn *const conn = h->data;
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
	struct conn *const conn = s->data;

	if (n < 0) {
		conn_close(conn);
		if (conn->peer != NULL)
			report_lost(conn->r, conn->addr, false);
		return;
	}
	if (n == 0)
		return;
	conn->last_recv_ms = uv_now(conn->r->loop);
	count_received(conn, (size_t)n);
	agb_rpcmsg_reader_commit(&conn->reader, (size_t)n);
	handle_records(conn);
}

static void
on_written(uv_write_t *w, int status)
{
	struct conn *const conn = w->data;

	free(conn->write_buf);
	conn->write_buf = NULL;
	if (status < 0)
		conn_close(conn);
	else
		conn->r->dirty = true;
}

/* Queues the records of calls that are not yet written. They count as written
 * once they have been passed to the socket without an error. */
static void
queue_unwritten_calls(struct conn *conn)
{
	struct call *call;

	for (call = conn->peer->unwritten; call != NULL && !conn->closing;
	     call = call->next)
		conn_queue_record(conn, call->rec, call->rec_len);
}

static void on_timeout(uv_timer_t *t);

static void
start_timeout(struct call *call)
{
	call->in_read_grace = false;
	if (call->timeout_ms > 0)
		uv_timer_start(&call->timer, on_timeout, call->timeout_ms, 0);
}

static void
mark_calls_written(struct peer *p)
{
	const uint64_t now = uv_now(p->r->loop);
	struct call *call;

	for (call = p->unwritten; call != NULL; call = call->next) {
		free(call->rec);
		call->rec = NULL;
		call->sent_at_ms = now;
		/* Only this process has delayed the call. The peer gets the
		 * whole time to answer. */
		if (call->write_ready &&
		    now - call->queued_at_ms > READ_GRACE_MS)
			start_timeout(call);
	}
	p->unwritten = NULL;
	p->unwritten_bytes = 0;
}

static void
conn_flush(struct conn *conn)
{
	uv_stream_t *const s = (uv_stream_t *)&conn->tcp;
	uv_buf_t buf;
	int n;

	if (conn->closing || !conn->connected || conn->write_buf != NULL)
		return;
	if (conn->peer != NULL)
		queue_unwritten_calls(conn);
	if (conn->closing || conn->out_len == 0)
		return;
	buf = uv_buf_init(conn->out, (unsigned)conn->out_len);
	n = uv_try_write(s, &buf, 1);
	if (n < 0 && n != UV_EAGAIN) {
		conn_close(conn);
		return;
	}
	count_sent(conn, conn->out_len);
	if (conn->peer != NULL)
		mark_calls_written(conn->peer);
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
			conn_close(conn);
	}
	conn->out_len = 0;
}

static void
conn_resume(struct conn *conn)
{
	if (conn->closing || !conn->paused ||
	    conn->inbound_calls_len > AGB_RPC_CALLS_MAX / 2)
		return;
	conn->paused = false;
	handle_records(conn);
	if (!conn->closing && !conn->paused)
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
deliver_failed(struct agb_rpc *r)
{
	struct call *call;
	size_t n;

	DL_COUNT(r->failed, call, n);
	while (n-- > 0 && r->failed != NULL && !r->closing) {
		call = r->failed;
		DL_DELETE(r->failed, call);
		r->cbs.reply(r->arg, call->tag, false, call->sent, NULL);
		call_free(call);
	}
}

/* Runs before the loop polls for I/O: writes the calls and replies queued since
 * the last time, with one write per connection. */
static void
on_prepare(uv_prepare_t *h)
{
	struct agb_rpc *const r = h->data;
	struct conn *conn, *next;

	deliver_failed(r);
	while (r->dirty && !r->closing) {
		r->dirty = false;
		for (conn = r->conns; conn != NULL; conn = next) {
			next = conn->next;
			conn_resume(conn);
			conn_flush(conn);
		}
	}
	if (r->failed == NULL && !r->closing)
		uv_idle_stop(&r->idle);
}

static struct conn *
conn_new(struct agb_rpc *r)
{
	struct conn *const conn = agb_xcalloc(1, sizeof(*conn));

	conn->r = r;
	uv_tcp_init(r->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->last_recv_ms = uv_now(r->loop);
	DL_APPEND(r->conns, conn);
	r->conns_len++;
	return conn;
}

static bool
may_accept(const struct agb_rpc *r, const struct conn *conn)
{
	const struct conn *other;
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
	struct conn *conn;

	if (status < 0)
		return;
	conn = conn_new(r);
	if (uv_accept(s, (uv_stream_t *)&conn->tcp) != 0 ||
	    uv_tcp_getpeername(&conn->tcp, (struct sockaddr *)&sa, &len) != 0) {
		conn_close(conn);
		return;
	}
	agb_addr_format(&sa, false, conn->addr);
	if (!may_accept(r, conn)) {
		r->stats.refused_conns++;
		log_line(
		    r, AGB_LOG_WARN, "rpc-peer-refused", "peer=%s", conn->addr);
		conn_close(conn);
		return;
	}
	conn->connected = true;
	conn->traffic = traffic_get(r, conn->addr);
	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read) != 0)
		conn_close(conn);
}

static uint64_t
next_random(struct agb_rpc *r)
{
	r->rng_state ^= r->rng_state << 13;
	r->rng_state ^= r->rng_state >> 7;
	r->rng_state ^= r->rng_state << 17;
	return r->rng_state;
}

static void
connect_failed(struct conn *conn)
{
	struct agb_rpc *const r = conn->r;
	struct peer *const p = conn->peer;

	r->stats.connect_failures++;
	p->backoff_ms = p->backoff_ms == 0 ? BACKOFF_MIN_MS : p->backoff_ms * 2;
	if (p->backoff_ms > BACKOFF_MAX_MS)
		p->backoff_ms = BACKOFF_MAX_MS;
	/* Half of the backoff is random, so that instances do not reconnect at
	 * the same time. */
	p->retry_at_ms = uv_now(r->loop) + p->backoff_ms / 2 +
	    next_random(r) % (p->backoff_ms / 2 + 1);
	log_line(r, AGB_LOG_INFO, "rpc-connect-failed", "peer=%s backoff_ms=%u",
	    p->addr, p->backoff_ms);
	conn_close(conn);
}

static void
on_connect(uv_connect_t *req, int status)
{
	struct conn *const conn = req->data;

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
	conn->peer->backoff_ms = 0;
	conn->last_recv_ms = uv_now(conn->r->loop);
	conn->r->stats.connects++;
	conn->r->dirty = true;
}

static void
peer_connect(struct peer *p)
{
	struct conn *const conn = conn_new(p->r);

	conn->peer = p;
	p->conn = conn;
	agb_str_copy(conn->addr, sizeof(conn->addr), p->addr);
	conn->traffic = traffic_get(p->r, p->addr);
	conn->connect.data = conn;
	if (uv_tcp_connect(&conn->connect, &conn->tcp,
		(const struct sockaddr *)&p->sa, on_connect) != 0) {
		connect_failed(conn);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
}

static struct peer *
peer_get(struct agb_rpc *r, const char *addr)
{
	struct sockaddr_storage sa;
	struct peer *p;

	HASH_FIND_STR(r->peers, addr, p);
	if (p != NULL)
		return p;
	if (strlen(addr) >= AGB_ADDR_LEN || !agb_addr_parse(addr, false, &sa) ||
	    HASH_COUNT(r->peers) >= AGB_RPC_PEERS_MAX)
		return NULL;
	p = agb_xcalloc(1, sizeof(*p));
	agb_str_copy(p->addr, sizeof(p->addr), addr);
	p->sa = sa;
	p->r = r;
	p->last_used_ms = uv_now(r->loop);
	HASH_ADD_STR(r->peers, addr, p);
	return p;
}

static void
peer_free(struct agb_rpc *r, struct peer *p)
{
	HASH_DEL(r->peers, p);
	free(p);
}

static void
on_timeout(uv_timer_t *t)
{
	struct call *const call = t->data;
	struct agb_rpc *const r = call->r;
	struct conn *const conn = call->peer->conn;
	const uint64_t sent_at_ms = call->sent_at_ms;
	const bool sent = call->rec == NULL;

	/* If this process was delayed, the reply may already be in the socket:
	 * read it before the call is reported as failed. */
	if (!call->in_read_grace) {
		call->in_read_grace = true;
		uv_timer_start(t, on_timeout, READ_GRACE_MS, 0);
		return;
	}
	call_detach(call);
	r->cbs.reply(r->arg, call->tag, false, sent, NULL);
	call_free(call);
	/* A connection can stop delivering data for good while new connections
	 * to the same peer work. */
	if (sent && conn != NULL && !conn->closing &&
	    conn->last_recv_ms <= sent_at_ms &&
	    uv_now(r->loop) - conn->last_recv_ms >= SILENT_CONN_MS)
		conn_close(conn);
}

/* Encodes a call and queues it for its peer. Returns false when the call cannot
 * be encoded, the peer's address is invalid, a limit is reached, or the peer is
 * in its connection backoff. */
static bool
call_queue(struct call *call, const char *addr, const agb_x_args *args)
{
	struct agb_rpc *const r = call->r;
	struct peer *const p = peer_get(r, addr);

	call->rec_len = agb_rpcmsg_encode_call(r->scratch, call->xid, args);
	if (call->rec_len == 0) {
		log_line(r, AGB_LOG_ERROR, "rpc-encode-failed",
		    "peer=%s proc=%d", addr, (int)args->proc);
		return false;
	}
	if (p == NULL || p->calls_len >= AGB_RPC_CALLS_MAX ||
	    p->unwritten_bytes + call->rec_len > AGB_RPC_QUEUE_BYTES_MAX)
		return false;
	if (p->conn == NULL && uv_now(r->loop) < p->retry_at_ms)
		return false;
	r->stats.queued_bytes[args->proc] += call->rec_len;
	call->rec = agb_xmemdup(r->scratch, call->rec_len);
	call->peer = p;
	call->queued_at_ms = uv_now(r->loop);
	call->write_ready =
	    p->conn != NULL && p->conn->connected && p->conn->write_buf == NULL;
	HASH_ADD(hh, r->calls, xid, sizeof(call->xid), call);
	DL_APPEND(p->calls, call);
	p->calls_len++;
	p->unwritten_bytes += call->rec_len;
	if (p->unwritten == NULL)
		p->unwritten = call;
	r->dirty = true;
	return true;
}

void
agb_rpc_call(struct agb_rpc *r, uint64_t tag, const char *peer,
    const agb_x_args *args, uint32_t timeout_ms)
{
	struct call *const call = agb_xcalloc(1, sizeof(*call));

	/* The loop caches its time. The timeout must not include the time that
	 * the caller has spent in this iteration of the loop. */
	uv_update_time(r->loop);
	r->stats.calls_out++;
	call->r = r;
	call->tag = tag;
	call->timeout_ms = timeout_ms;
	call->xid = ++r->next_xid;
	call->proc = args->proc;
	uv_timer_init(r->loop, &call->timer);
	call->timer.data = call;
	if (!call_queue(call, peer, args)) {
		call_queue_failure(call, false);
		return;
	}
	start_timeout(call);
	if (call->peer->conn == NULL)
		peer_connect(call->peer);
}

void
agb_rpc_reply(struct agb_rpc *r, uint64_t token, const agb_x_res *res)
{
	struct inbound_call *in;
	struct conn *conn;
	size_t len = 0;

	HASH_FIND(hh, r->inbound_calls, &token, sizeof(token), in);
	if (in == NULL)
		return;
	conn = in->conn;
	if (res->proc == in->proc)
		len = agb_rpcmsg_encode_reply(
		    r->scratch, in->xid, AGB_RPC_OK, res);
	if (len > 0) {
		r->stats.queued_bytes[in->proc] += len;
		conn_queue_record(conn, r->scratch, len);
	} else {
		log_line(r, AGB_LOG_ERROR, "rpc-encode-failed",
		    "peer=%s proc=%d", conn->addr, (int)in->proc);
		reply_error(conn, in->xid, AGB_RPC_SYSTEM_ERR);
	}
	/* If the output queue was full, the connection has been closed and its
	 * calls have been freed. */
	if (!conn->closing)
		inbound_call_free(in);
}

static void
sweep_conn(struct conn *conn, uint64_t now)
{
	const uint64_t idle_ms = now - conn->last_recv_ms;

	if (conn->peer != NULL && !conn->connected) {
		if (idle_ms >= CONNECT_TIMEOUT_MS)
			connect_failed(conn);
	} else if (agb_rpcmsg_reader_in_record(&conn->reader) &&
	    !conn->paused && idle_ms >= PARTIAL_RECORD_TIMEOUT_MS) {
		conn_close_malformed(conn, "incomplete-record");
	} else if (idle_ms >= IDLE_TIMEOUT_MS && conn->inbound_calls_len == 0 &&
	    (conn->peer == NULL || conn->peer->calls_len == 0)) {
		conn_close(conn);
	}
}

static void
on_sweep(uv_timer_t *t)
{
	struct agb_rpc *const r = t->data;
	const uint64_t now = uv_now(r->loop);
	struct conn *conn, *next;
	struct peer *p, *next_peer;

	for (conn = r->conns; conn != NULL; conn = next) {
		next = conn->next;
		sweep_conn(conn, now);
	}
	for (p = r->peers; p != NULL; p = next_peer) {
		next_peer = p->hh.next;
		if (p->conn != NULL || p->calls_len > 0 ||
		    now - p->last_used_ms < IDLE_TIMEOUT_MS)
			continue;
		peer_free(r, p);
	}
}

void
agb_rpc_set_allowed_ips(struct agb_rpc *r, const agb_addr *ips, size_t len)
{
	free(r->allowed);
	r->allowed = agb_xcalloc(len, sizeof(*r->allowed));
	if (len > 0)
		memcpy(r->allowed, ips, len * sizeof(*r->allowed));
	r->allowed_len = len;
}

const char *
agb_rpc_addr(const struct agb_rpc *r)
{
	return r->addr;
}

const struct agb_rpc_stats *
agb_rpc_stats(const struct agb_rpc *r)
{
	return &r->stats;
}

static size_t
conn_backlog(const struct conn *conn)
{
	return conn->out_len +
	    uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) +
	    (conn->peer != NULL ? conn->peer->unwritten_bytes : 0);
}

void
agb_rpc_backlog(const struct agb_rpc *r, size_t *bytes, size_t *largest)
{
	const struct conn *conn;
	size_t n;

	*bytes = *largest = 0;
	for (conn = r->conns; conn != NULL; conn = conn->next) {
		if (conn->closing)
			continue;
		n = conn_backlog(conn);
		*bytes += n;
		*largest = n > *largest ? n : *largest;
	}
}

size_t
agb_rpc_traffic(
    const struct agb_rpc *r, struct agb_rpc_traffic *out, size_t max)
{
	const struct traffic_entry *t;
	size_t n = 0;

	for (t = r->traffic; t != NULL && n < max; t = t->hh.next)
		out[n++] = t->counters;
	return n;
}

static void
on_handle_closed(uv_handle_t *h)
{
	struct agb_rpc *const r = h->data;

	if (--r->open_handles == 0)
		free(r);
}

static bool
start_listening(struct agb_rpc *r, const char *listen_addr)
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

struct agb_rpc *
agb_rpc_new(uv_loop_t *loop, const char *listen_addr,
    const struct agb_rpc_cbs *cbs, void *arg)
{
	struct agb_rpc *const r = agb_xcalloc(1, sizeof(*r));

	r->loop = loop;
	r->cbs = *cbs;
	r->arg = arg;
	uv_tcp_init(loop, &r->listener);
	uv_prepare_init(loop, &r->prepare);
	uv_idle_init(loop, &r->idle);
	uv_timer_init(loop, &r->sweep);
	r->listener.data = r->prepare.data = r->idle.data = r->sweep.data = r;
	r->open_handles = 4;
	/* Seeds the jitter of reconnections and the first xid. After a restart,
	 * xids must differ from those of calls that a peer still answers. */
	r->rng_state = uv_hrtime() | 1;
	r->next_xid = (uint32_t)next_random(r);
	if (!start_listening(r, listen_addr)) {
		agb_rpc_free(r);
		return NULL;
	}
	uv_prepare_start(&r->prepare, on_prepare);
	uv_unref((uv_handle_t *)&r->prepare);
	uv_timer_start(
	    &r->sweep, on_sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
	uv_unref((uv_handle_t *)&r->sweep);
	return r;
}

static void
free_tables(struct agb_rpc *r)
{
	struct call *call, *next_call;
	struct peer *p = r->peers, *next_peer;
	struct traffic_entry *t = r->traffic, *next_traffic;

	for (call = r->failed; call != NULL; call = next_call) {
		next_call = call->next;
		call_free(call);
	}
	r->failed = NULL;
	/* HASH_CLEAR() does not change the links of the items. */
	HASH_CLEAR(hh, r->peers);
	for (; p != NULL; p = next_peer) {
		next_peer = p->hh.next;
		free(p);
	}
	HASH_CLEAR(hh, r->traffic);
	for (; t != NULL; t = next_traffic) {
		next_traffic = t->hh.next;
		free(t);
	}
}

void
agb_rpc_free(struct agb_rpc *r)
{
	struct conn *conn, *next;

	if (r == NULL)
		return;
	r->closing = true;
	/* Closing a connection moves its calls to the list of failed calls,
	 * where calls without a connection already are. */
	for (conn = r->conns; conn != NULL; conn = next) {
		next = conn->next;
		conn_close(conn);
	}
	free_tables(r);
	free(r->allowed);
	uv_close((uv_handle_t *)&r->listener, on_handle_closed);
	uv_close((uv_handle_t *)&r->prepare, on_handle_closed);
	uv_close((uv_handle_t *)&r->idle, on_handle_closed);
	uv_close((uv_handle_t *)&r->sweep, on_handle_closed);
}

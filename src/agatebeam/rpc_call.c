#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "addr.h"
#include "mem.h"
#include "rpc_internal.h"

/* A connection is closed when a call times out and nothing has been received
 * since that call was sent and for at least this long. A peer that is merely
 * delayed answers within this time. */
#define SILENT_CONN_MS 2500
/* How long an expired call waits for replies that have already arrived in the
 * socket to be read. */
#define READ_GRACE_MS 5
/* A call that fails before it is queued is reported after this time. The caller
 * may repeat it at once, and without a delay the process would do nothing
 * else. */
#define UNQUEUED_DELAY_MS 10

static void
on_call_closed(uv_handle_t *h)
{
	struct agb_rpc_outbound_call *const call = h->data;

	free(call->rec);
	free(call);
}

void
agb_rpc_call_free(struct agb_rpc_outbound_call *call)
{
	uv_close((uv_handle_t *)&call->timer, on_call_closed);
}

/* Removes a call from its peer and from the table of open calls. */
static void
call_detach(struct agb_rpc_outbound_call *call)
{
	struct agb_rpc_peer *const p = call->peer;

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
on_idle(uv_idle_t *h)
{
}

/* Queues the failure of a detached call, which is reported to the callback in
 * the next loop iteration. */
static void
call_queue_failure(struct agb_rpc_outbound_call *call, bool sent)
{
	call->sent = sent;
	DL_APPEND(call->r->failed, call);
	uv_idle_start(&call->r->idle, on_idle);
}

static void
on_unqueued(uv_timer_t *t)
{
	struct agb_rpc_outbound_call *const call = t->data;

	DL_DELETE(call->r->unqueued, call);
	call_queue_failure(call, false);
}

/* Reports the failure of a call that was not queued, after a delay. */
static void
call_delay_failure(struct agb_rpc_outbound_call *call)
{
	DL_APPEND(call->r->unqueued, call);
	uv_timer_start(&call->timer, on_unqueued, UNQUEUED_DELAY_MS, 0);
}

void
agb_rpc_peer_fail_calls(struct agb_rpc_peer *p)
{
	struct agb_rpc_outbound_call *call, *next;

	for (call = p->calls; call != NULL; call = next) {
		next = call->next;
		call_detach(call);
		call_queue_failure(call, call->rec == NULL);
	}
}

void
agb_rpc_call_deliver_failed(struct agb_rpc *r)
{
	struct agb_rpc_outbound_call *call;
	size_t n;

	DL_COUNT(r->failed, call, n);
	while (n-- > 0 && r->failed != NULL && !r->closing) {
		call = r->failed;
		DL_DELETE(r->failed, call);
		r->cbs.reply(r->arg, call->tag, false, call->sent, NULL);
		agb_rpc_call_free(call);
	}
}

void
agb_rpc_call_handle_reply(
    struct agb_rpc_conn *conn, const char *rec, size_t len)
{
	struct agb_rpc *const r = conn->r;
	enum agb_rpcmsg_status status;
	struct agb_rpc_outbound_call *call;
	agb_x_res res;
	uint32_t xid;
	size_t body = 0;

	status = agb_rpcmsg_parse_reply(rec, len, &xid, &body);
	if (status == AGB_RPC_MALFORMED) {
		agb_rpc_conn_close_malformed(conn, "reply");
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
		agb_rpc_conn_close_malformed(conn, "result");
		return;
	}
	call_detach(call);
	if (status == AGB_RPC_OK) {
		r->cbs.reply(r->arg, call->tag, true, true, &res);
	} else {
		agb_rpc_log(r, AGB_LOG_WARN, "rpc-rejected",
		    "peer=%s proc=%d verdict=%d", conn->addr, (int)call->proc,
		    (int)status);
		/* All errors but a system error are detected before the
		 * procedure runs. */
		r->cbs.reply(r->arg, call->tag, false,
		    status == AGB_RPC_SYSTEM_ERR, NULL);
	}
	agb_rpc_call_free(call);
}

void
agb_rpc_peer_queue_calls(struct agb_rpc_peer *p)
{
	struct agb_rpc_conn *const conn = p->conn;
	struct agb_rpc_outbound_call *call;

	for (call = p->unwritten; call != NULL && !conn->closing;
	     call = call->next)
		agb_rpc_conn_queue_record(conn, call->rec, call->rec_len);
}

static void on_timeout(uv_timer_t *t);

static void
start_timeout(struct agb_rpc_outbound_call *call)
{
	call->in_read_grace = false;
	if (call->timeout_ms > 0)
		uv_timer_start(&call->timer, on_timeout, call->timeout_ms, 0);
}

void
agb_rpc_peer_mark_calls_written(struct agb_rpc_peer *p)
{
	const uint64_t now = uv_now(p->r->loop);
	struct agb_rpc_outbound_call *call;

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
on_timeout(uv_timer_t *t)
{
	struct agb_rpc_outbound_call *const call = t->data;
	struct agb_rpc *const r = call->r;
	struct agb_rpc_conn *const conn = call->peer->conn;
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
	agb_rpc_call_free(call);
	/* A connection can stop delivering data for good while new connections
	 * to the same peer work. */
	if (sent && conn != NULL && !conn->closing &&
	    conn->last_recv_ms <= sent_at_ms &&
	    uv_now(r->loop) - conn->last_recv_ms >= SILENT_CONN_MS)
		agb_rpc_conn_close(conn);
}

static struct agb_rpc_peer *
peer_get(struct agb_rpc *r, const char *addr)
{
	struct sockaddr_storage sa;
	struct agb_rpc_peer *p;

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

void
agb_rpc_peer_sweep(struct agb_rpc_peer *p, uint64_t now)
{
	if (p->conn != NULL || p->calls_len > 0 ||
	    now - p->last_used_ms < AGB_RPC_IDLE_TIMEOUT_MS)
		return;
	HASH_DEL(p->r->peers, p);
	free(p);
}

/* Encodes a call and queues it for its peer. Returns false when the call cannot
 * be encoded, its length then being 0, the peer's address is invalid, a limit is
 * reached, or the peer is in its connection backoff. */
static bool
call_queue(struct agb_rpc_outbound_call *call, const char *addr,
    const agb_x_args *args)
{
	struct agb_rpc *const r = call->r;
	struct agb_rpc_peer *const p = peer_get(r, addr);

	call->rec_len = agb_rpcmsg_encode_call(r->scratch, call->xid, args);
	if (call->rec_len == 0) {
		agb_rpc_note_encode_failure(r, addr, args->proc);
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

bool
agb_rpc_call(struct agb_rpc *r, uint64_t tag, const char *peer,
    const agb_x_args *args, uint32_t timeout_ms)
{
	struct agb_rpc_outbound_call *const call =
	    agb_xcalloc(1, sizeof(*call));
	bool encoded;

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
		encoded = call->rec_len > 0;
		call_delay_failure(call);
		return encoded;
	}
	start_timeout(call);
	if (call->peer->conn == NULL)
		agb_rpc_conn_connect(call->peer);
	return true;
}

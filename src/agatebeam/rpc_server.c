#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

#include "mem.h"
#include "rpc_internal.h"

static void
inbound_call_free(struct agb_rpc_inbound_call *in)
{
	struct agb_rpc_conn *const conn = in->conn;

	if (conn->r->inbound_calls != NULL)
		HASH_DEL(conn->r->inbound_calls, in);
	DL_DELETE(conn->inbound_calls, in);
	conn->inbound_calls_len--;
	free(in);
}

void
agb_rpc_server_drop_calls(struct agb_rpc_conn *conn)
{
	struct agb_rpc_inbound_call *in, *next;

	for (in = conn->inbound_calls; in != NULL; in = next) {
		next = in->next;
		inbound_call_free(in);
	}
}

static void
reply_error(
    struct agb_rpc_conn *conn, uint32_t xid, enum agb_rpcmsg_status status)
{
	struct agb_rpc *const r = conn->r;

	r->stats.rejected_calls++;
	agb_rpc_conn_queue_record(conn, r->scratch,
	    agb_rpcmsg_encode_reply(r->scratch, xid, status, NULL));
}

void
agb_rpc_server_handle_call(
    struct agb_rpc_conn *conn, const char *rec, size_t len)
{
	struct agb_rpc *const r = conn->r;
	const agb_x_res null_res = {.proc = AGB_X_NULL};
	enum agb_rpcmsg_status status;
	struct agb_rpc_inbound_call *in;
	agb_x_args args;
	uint32_t xid;

	status = agb_rpcmsg_parse_call(rec, len, &xid, &args);
	if (status == AGB_RPC_MALFORMED) {
		agb_rpc_conn_close_malformed(conn, "call");
		return;
	}
	if (status != AGB_RPC_OK) {
		agb_rpc_log(r, AGB_LOG_WARN, "rpc-refused",
		    "peer=%s verdict=%d", conn->addr, (int)status);
		reply_error(conn, xid, status);
		return;
	}
	r->stats.calls_in++;
	if (args.proc == AGB_X_NULL) {
		agb_rpc_conn_queue_record(conn, r->scratch,
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

void
agb_rpc_reply(struct agb_rpc *r, uint64_t token, const agb_x_res *res)
{
	struct agb_rpc_inbound_call *in;
	struct agb_rpc_conn *conn;
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
		agb_rpc_conn_queue_record(conn, r->scratch, len);
	} else {
		agb_rpc_note_encode_failure(r, conn->addr, in->proc);
		reply_error(conn, in->xid, AGB_RPC_SYSTEM_ERR);
	}
	/* If the output queue was full, the connection has been closed and its
	 * calls have been freed. */
	if (!conn->closing)
		inbound_call_free(in);
}

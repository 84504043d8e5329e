#ifndef AGB_RPC_INTERNAL_H
#define AGB_RPC_INTERNAL_H

/**
 * DOC: rpc_internal
 *
 * State and functions shared by the files of the rpc module: the endpoint and
 * its counters (rpc.c), connections with their reads and writes (rpc_conn.c),
 * calls to peers and their timeouts (rpc_call.c), and calls from peers
 * (rpc_server.c).
 */

#include <uthash.h>

#include "rpc.h"

/* Heartbeats are sent every 500 ms, so a connection that has been idle for this
 * long is no longer in use. */
#define AGB_RPC_IDLE_TIMEOUT_MS 60000

/**
 * struct agb_rpc_traffic_entry - entry of the table of traffic counters
 */
struct agb_rpc_traffic_entry {
	struct agb_rpc_traffic counters;
	UT_hash_handle hh;
};

struct agb_rpc_inbound_call;
struct agb_rpc_outbound_call;
struct agb_rpc_peer;

/**
 * struct agb_rpc_conn - outbound connection to a peer, or inbound one
 * @peer: NULL for inbound connections
 * @addr: "address:port" for outbound connections, the IP address alone for
 *	inbound ones
 * @traffic: counters of the address; NULL when there are too many addresses
 * @out: records to write at the end of the loop iteration
 * @write_buf: buffer owned by the uv_write() in progress, or NULL
 * @last_recv_ms: loop time when data was last received, at first when the
 *	connection was created or established
 * @received: data has been received
 * @paused: reading is stopped because the peer has too many open calls
 * @inbound_calls: calls that this instance has not answered yet
 */
struct agb_rpc_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct agb_rpc *r;
	struct agb_rpc_conn *prev, *next;
	struct agb_rpc_peer *peer;
	agb_addr addr;
	struct agb_rpc_traffic_entry *traffic;
	struct agb_rpcmsg_reader reader;
	char *out;
	size_t out_len, out_cap;
	char *write_buf;
	uint64_t last_recv_ms;
	bool connected;
	bool received;
	bool closing;
	bool paused;
	struct agb_rpc_inbound_call *inbound_calls;
	size_t inbound_calls_len;
};

/**
 * struct agb_rpc_inbound_call - call from a peer that has not been answered
 */
struct agb_rpc_inbound_call {
	uint64_t token;
	struct agb_rpc_conn *conn;
	uint32_t xid;
	agb_x_proc proc;
	struct agb_rpc_inbound_call *prev, *next;
	UT_hash_handle hh;
};

/**
 * struct agb_rpc_peer - a peer that this instance calls
 * @conn: connection, or NULL
 * @calls: open calls; those that are not yet written come last
 * @unwritten: first call in @calls that is not yet written, or NULL
 * @last_used_ms: loop time when the last call ended, at first that of creation
 * @retry_at_ms: loop time before which no connection is attempted
 * @backoff_ms: longest delay before the next attempt; 0 once the peer has sent
 *	something, as a peer that refuses this instance accepts connections and
 *	closes them
 */
struct agb_rpc_peer {
	agb_addr addr;
	struct sockaddr_storage sa;
	UT_hash_handle hh;
	struct agb_rpc *r;
	struct agb_rpc_conn *conn;
	struct agb_rpc_outbound_call *calls;
	struct agb_rpc_outbound_call *unwritten;
	size_t calls_len;
	size_t unwritten_bytes;
	uint64_t last_used_ms;
	uint64_t retry_at_ms;
	uint32_t backoff_ms;
};

/**
 * struct agb_rpc_outbound_call - call to a peer without a reply so far
 * @rec: encoded record; NULL once it has been written
 * @timeout_ms: 0 for none
 * @queued_at_ms: loop time when the call was made
 * @sent_at_ms: loop time when the record was written
 * @write_ready: the connection could take the record when the call was made
 * @in_read_grace: the call has expired and waits for
 *	replies that have already arrived
 * @sent: set for a failed call: the peer may have carried it out
 */
struct agb_rpc_outbound_call {
	uint32_t xid;
	uint64_t tag;
	agb_x_proc proc;
	struct agb_rpc *r;
	struct agb_rpc_peer *peer;
	struct agb_rpc_outbound_call *prev, *next;
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
 * @unqueued: calls that could not be queued, and whose failure is not due yet
 * @inbound_calls: by token
 * @traffic: by address
 * @encode_log_at_ms: loop time from which on a failure to encode is logged
 * @encode_unlogged: number of those that were not logged since the last line
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
	struct agb_rpc_conn *conns;
	size_t conns_len;
	struct agb_rpc_peer *peers;
	struct agb_rpc_outbound_call *calls;
	struct agb_rpc_outbound_call *failed;
	struct agb_rpc_outbound_call *unqueued;
	struct agb_rpc_inbound_call *inbound_calls;
	struct agb_rpc_traffic_entry *traffic;
	uint32_t next_xid;
	uint64_t next_token;
	uint64_t rng_state;
	uint64_t encode_log_at_ms;
	uint64_t encode_unlogged;
	struct agb_rpc_stats stats;
	char scratch[AGB_RPC_BUF_LEN];
};

/**
 * agb_rpc_log() - pass a log line to the callback, if there is one
 */
void agb_rpc_log(struct agb_rpc *r, enum agb_log_level level, const char *event,
    const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/**
 * agb_rpc_note_encode_failure() - count and log a message that cannot be encoded
 *
 * Writes at most one line a second, which tells how many were left out.
 */
void agb_rpc_note_encode_failure(
    struct agb_rpc *r, const char *peer, agb_x_proc proc);

/**
 * agb_rpc_random() - next value of the endpoint's pseudo-random sequence
 */
uint64_t agb_rpc_random(struct agb_rpc *r);

/**
 * agb_rpc_traffic_get() - get the traffic counters of an address, creating them
 * if needed
 * Return: NULL when there are too many addresses.
 */
struct agb_rpc_traffic_entry *agb_rpc_traffic_get(
    struct agb_rpc *r, const char *addr);

/**
 * agb_rpc_conn_listen() - bind and listen; sets the address of the endpoint
 * Return: false when the address cannot be bound.
 */
bool agb_rpc_conn_listen(struct agb_rpc *r, const char *listen_addr);

/**
 * agb_rpc_conn_connect() - start to connect to a peer that has no connection
 */
void agb_rpc_conn_connect(struct agb_rpc_peer *p);

/**
 * agb_rpc_conn_close() - close a connection; its calls in both directions end
 */
void agb_rpc_conn_close(struct agb_rpc_conn *conn);

/**
 * agb_rpc_conn_close_malformed() - close a connection that has received
 * malformed data
 * @cause: which data, for the log
 */
void agb_rpc_conn_close_malformed(struct agb_rpc_conn *conn, const char *cause);

/**
 * agb_rpc_conn_queue_record() - append a record to the data that is written at
 * the end of the loop iteration; closes the connection when too much is queued
 */
void agb_rpc_conn_queue_record(
    struct agb_rpc_conn *conn, const char *rec, size_t len);

/**
 * agb_rpc_conn_flush() - write what is queued, unless a write is in progress
 */
void agb_rpc_conn_flush(struct agb_rpc_conn *conn);

/**
 * agb_rpc_conn_resume() - read again from a paused connection once enough of
 * its calls have been answered
 */
void agb_rpc_conn_resume(struct agb_rpc_conn *conn);

/**
 * agb_rpc_conn_sweep() - close a connection that is idle, cannot be established
 * in time, or has stopped within a record
 * @now: loop time in milliseconds
 */
void agb_rpc_conn_sweep(struct agb_rpc_conn *conn, uint64_t now);

/**
 * agb_rpc_conn_backlog() - bytes that the socket has not taken yet
 */
size_t agb_rpc_conn_backlog(const struct agb_rpc_conn *conn);

/**
 * agb_rpc_call_handle_reply() - end the call to which a record is the reply
 */
void agb_rpc_call_handle_reply(
    struct agb_rpc_conn *conn, const char *rec, size_t len);

/**
 * agb_rpc_call_deliver_failed() - report the queued failures to the callback
 */
void agb_rpc_call_deliver_failed(struct agb_rpc *r);

/**
 * agb_rpc_call_free() - free a call that is in no list
 */
void agb_rpc_call_free(struct agb_rpc_outbound_call *call);

/**
 * agb_rpc_peer_fail_calls() - queue the failure of all open calls to a peer
 */
void agb_rpc_peer_fail_calls(struct agb_rpc_peer *p);

/**
 * agb_rpc_peer_queue_calls() - queue the records of calls that are not yet
 * written on the connection to the peer. They count as written once they have
 * been passed to the socket without an error.
 */
void agb_rpc_peer_queue_calls(struct agb_rpc_peer *p);

/**
 * agb_rpc_peer_mark_calls_written() - note that the socket has taken the
 * records of all calls to a peer
 */
void agb_rpc_peer_mark_calls_written(struct agb_rpc_peer *p);

/**
 * agb_rpc_peer_sweep() - free a peer that has not been called for some time
 * @now: loop time in milliseconds
 */
void agb_rpc_peer_sweep(struct agb_rpc_peer *p, uint64_t now);

/**
 * agb_rpc_server_handle_call() - pass a call of a peer to the callback, or
 * refuse it
 */
void agb_rpc_server_handle_call(
    struct agb_rpc_conn *conn, const char *rec, size_t len);

/**
 * agb_rpc_server_drop_calls() - forget the unanswered calls of a connection
 */
void agb_rpc_server_drop_calls(struct agb_rpc_conn *conn);

#endif

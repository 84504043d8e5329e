#ifndef AGB_RPC_H
#define AGB_RPC_H

/**
 * DOC: rpc
 *
 * RPC calls between instances over TCP. Each peer has one connection, over
 * which calls are pipelined; all calls or replies of a loop iteration go out in
 * one write.
 *
 * After a failed connection attempt, calls fail as not sent until a jittered
 * backoff has passed; the first call after the backoff connects again. A call
 * that fails before it is queued is reported some milliseconds later, so that a
 * caller that repeats it does not occupy the process.
 */

#include <uv.h>

#include "effect.h"
#include "rpcmsg.h"

/* Maximum number of open calls to one peer, or from one connection. */
#define AGB_RPC_CALLS_MAX 4096
/* Maximum number of bytes queued for a connection; it is closed when the peer
 * reads too slowly to stay below this. */
#define AGB_RPC_QUEUE_BYTES_MAX ((size_t)8 * 1024 * 1024)
/* Maximum number of connections: an outbound and an inbound one per peer. */
#define AGB_RPC_CONNS_MAX ((size_t)2 * AGB_RPC_PEERS_MAX)
#define AGB_RPC_PEERS_MAX 512
/* Number of values of agb_x_proc. */
#define AGB_RPC_PROCS (AGB_X_PAYLOAD + 1)

struct agb_rpc;

/**
 * struct agb_rpc_cbs - callbacks
 * @call: a call from a peer has arrived. The callback owns what @args points
 *	to, which it takes by copying the structure, and must answer exactly
 *	once by agb_rpc_reply(). @peer is the IP address of the caller.
 * @reply: a call made by agb_rpc_call() has ended; invoked exactly once per
 *	call. If @ok, @res is the result, owned like @args above. Otherwise @res
 *	is NULL, and @sent tells whether the peer may have carried out the call.
 * @log: writes a log line of the form "key=value ..."; may be NULL
 * @lost: a connection to a peer was closed by the peer or, with @refused,
 *	rejected because no process listens there; may be NULL
 */
struct agb_rpc_cbs {
	void (*call)(
	    void *arg, uint64_t token, const char *peer, agb_x_args *args);
	void (*reply)(
	    void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res);
	void (*log)(void *arg, enum agb_log_level level, const char *event,
	    const char *line);
	void (*lost)(void *arg, const char *peer, bool refused);
};

/**
 * struct agb_rpc_stats - event counters since the start
 * @writes: writes to sockets, each with all records of a loop iteration
 * @refused_conns: inbound connections refused because their address is not
 *	allowed or there are too many connections
 * @malformed: connections closed because of malformed data
 * @rejected_calls: inbound calls answered with an RPC error
 * @unknown_xid: replies that match no open call
 * @slow_peers: connections closed because too many bytes were queued
 * @encode_failures: calls and replies that could not be encoded
 * @queued_bytes: bytes of calls and replies queued for peers, by procedure
 */
struct agb_rpc_stats {
	uint64_t calls_out;
	uint64_t calls_in;
	uint64_t writes;
	uint64_t connects;
	uint64_t connect_failures;
	uint64_t refused_conns;
	uint64_t malformed;
	uint64_t rejected_calls;
	uint64_t unknown_xid;
	uint64_t slow_peers;
	uint64_t encode_failures;
	uint64_t queued_bytes[AGB_RPC_PROCS];
};

/**
 * struct agb_rpc_traffic - traffic counters of one address
 * @addr: "address:port" for outbound connections, the IP address alone for
 *	inbound ones
 */
struct agb_rpc_traffic {
	agb_addr addr;
	uint64_t bytes_in;
	uint64_t bytes_out;
};

/**
 * agb_rpc_new() - create an endpoint that listens for calls
 * @listen_addr: "1.2.3.4:port" or "[::]:port"; with port 0 the kernel
 *	chooses one
 *
 * It refuses all connections until agb_rpc_set_allowed_ips() is called.
 * Return: NULL when the address cannot be bound.
 */
struct agb_rpc *agb_rpc_new(uv_loop_t *loop, const char *listen_addr,
    const struct agb_rpc_cbs *cbs, void *arg);

/**
 * agb_rpc_addr() - address and port on which the endpoint listens
 */
const char *agb_rpc_addr(const struct agb_rpc *r);

/**
 * agb_rpc_set_allowed_ips() - set the IP addresses that may connect
 * @ips: without ports, copied; new connections from others are refused
 */
void agb_rpc_set_allowed_ips(
    struct agb_rpc *r, const agb_addr *ips, size_t len);

/**
 * agb_rpc_call() - queue a call to a peer, connecting to it if necessary; the
 * reply callback receives the result
 * @tag: passed to the reply callback
 * @peer: "address:port"
 * @args: not used after the function returns
 * @timeout_ms: time limit for the reply, from now on; 0 for none
 *
 * Return: false when @args cannot be encoded, so that repeating the call cannot
 * succeed. The callback is told that it was not sent.
 */
bool agb_rpc_call(struct agb_rpc *r, uint64_t tag, const char *peer,
    const agb_x_args *args, uint32_t timeout_ms);

/**
 * agb_rpc_reply() - answer a call; no-op when its connection has been closed
 * @token: passed by the call callback
 * @res: not used after the function returns
 */
void agb_rpc_reply(struct agb_rpc *r, uint64_t token, const agb_x_res *res);

const struct agb_rpc_stats *agb_rpc_stats(const struct agb_rpc *r);

/**
 * agb_rpc_backlog() - count the bytes that the sockets have not taken yet
 * @bytes: set to the sum over the connections, also those being established
 * @largest: set to the largest value of a connection
 */
void agb_rpc_backlog(const struct agb_rpc *r, size_t *bytes, size_t *largest);

/**
 * agb_rpc_traffic() - read the traffic counters of all addresses
 * Return: number of entries written to @out, at most @max.
 */
size_t agb_rpc_traffic(
    const struct agb_rpc *r, struct agb_rpc_traffic *out, size_t max);

/**
 * agb_rpc_free() - close all connections without further callbacks
 * @r: may be NULL
 *
 * The loop must run afterwards until the close callbacks have been called.
 */
void agb_rpc_free(struct agb_rpc *r);

#endif

#ifndef AGB_RPC_H
#define AGB_RPC_H

/**
 * DOC: rpc
 *
 * Calls between entry instances over TCP: one connection to each peer,
 * pipelined, with all calls or replies of one loop turn in one write.
 *
 * A failed connection is tried again by the next call after a jittered wait;
 * calls before that fail at once as not sent.
 */

#include <uv.h>

#include "effect.h"
#include "rpcmsg.h"

/* Calls without a reply, to one peer or from one connection. */
#define AGB_RPC_CALLS_MAX 4096
/* Bytes that wait for one connection; a slower peer loses it. */
#define AGB_RPC_QUEUE_BYTES_MAX ((size_t)8 * 1024 * 1024)
/* Connections in both directions: two for each peer. */
#define AGB_RPC_CONNS_MAX ((size_t)2 * AGB_RPC_PEERS_MAX)
#define AGB_RPC_PEERS_MAX 512

struct agb_rpc;

/**
 * struct agb_rpc_cbs - what happens
 * @call: a peer calls; the callee owns what @args points to, takes it by
 *	copying the structure, and answers once by agb_rpc_reply(). @peer is
 *	its IP address.
 * @reply: a call of agb_rpc_call() has ended; called exactly once for each.
 *	@ok: @res is the result, owned like @args above; else it is NULL and
 *	@sent tells whether the peer may have carried the call out.
 * @log: a line for the log, "key=value ..."; may be NULL
 */
struct agb_rpc_cbs {
	void (*call)(
	    void *arg, uint64_t token, const char *peer, agb_x_args *args);
	void (*reply)(
	    void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res);
	void (*log)(void *arg, enum agb_log_level level, const char *event,
	    const char *line);
};

/**
 * struct agb_rpc_stats - events since the start
 * @writes: writes to sockets, each with all records of a loop turn
 * @refused_conns: connections from addresses that are not allowed, or too many
 * @malformed: connections closed for what came over them
 * @rejected_calls: calls answered with an error of the protocol
 * @unknown_xid: replies to calls that no longer wait
 * @slow_peers: connections closed for too many queued bytes
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
};

/**
 * struct agb_rpc_traffic - traffic with one address
 * @addr: "address:port" of a peer that is called, or the IP address alone
 *	of one that calls
 */
struct agb_rpc_traffic {
	agb_addr addr;
	uint64_t bytes_in;
	uint64_t bytes_out;
};

/**
 * agb_rpc_new() - listen for calls; until agb_rpc_set_allowed_ips() none is let in
 * @listen_addr: "1.2.3.4:port" or "[::]:port"; port 0 lets the kernel choose
 * Return: NULL when the address cannot be bound.
 */
struct agb_rpc *agb_rpc_new(uv_loop_t *loop, const char *listen_addr,
    const struct agb_rpc_cbs *cbs, void *arg);

/**
 * agb_rpc_addr() - the address in use, with its port
 */
const char *agb_rpc_addr(const struct agb_rpc *r);

/**
 * agb_rpc_set_allowed_ips() - IP addresses from which calls are taken
 * @ips: without ports, copied; connections from others are closed
 */
void agb_rpc_set_allowed_ips(
    struct agb_rpc *r, const agb_addr *ips, size_t len);

/**
 * agb_rpc_call() - call a peer
 * @tag: returned by the reply callback
 * @peer: "address:port"
 * @args: encoded before the return
 * @timeout_ms: from now to the reply; 0 is no limit
 */
void agb_rpc_call(struct agb_rpc *r, uint64_t tag, const char *peer,
    const agb_x_args *args, uint32_t timeout_ms);

/**
 * agb_rpc_reply() - answer a call; does nothing when its connection is gone
 * @res: encoded before the return
 */
void agb_rpc_reply(struct agb_rpc *r, uint64_t token, const agb_x_res *res);

const struct agb_rpc_stats *agb_rpc_stats(const struct agb_rpc *r);

/**
 * agb_rpc_traffic() - traffic counters of each address
 * Return: number of entries written to @out, at most @max.
 */
size_t agb_rpc_traffic(
    const struct agb_rpc *r, struct agb_rpc_traffic *out, size_t max);

/**
 * agb_rpc_free() - close all without further callbacks; the loop must run
 * on until its closed handles are gone
 * @r: may be NULL
 */
void agb_rpc_free(struct agb_rpc *r);

#endif

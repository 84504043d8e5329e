#ifndef AGB_EDGE_INTERNAL_H
#define AGB_EDGE_INTERNAL_H

/**
 * DOC: edge_internal
 *
 * Types and functions shared by edge.c (requests and calls) and edge_conn.c
 * (connections and their limits).
 */

#include <h2o.h>

#include "edge.h"
#include "edge_parse.h"

/**
 * struct agb_edge_conn - connection of a client
 * @tcp: must be the first member; h2o closes it, and conn_closed() frees the
 *	struct
 * @unhooked_link: entry in agb_edge.unhooked
 * @sock: NULL once h2o has closed it
 * @h2o_read: h2o's read callback, which on_socket_read() calls after its checks
 * @linger: reads the remaining bytes of a refused request
 * @wait_start_ms: loop time from which the current timeout counts
 * @http2: the connection uses HTTP/2, to which the HTTP/1 checks do not apply
 * @request_active: a request is being served; h2o does not read meanwhile
 * @had_request: at least one request has been served
 * @head_started: bytes of the next request have arrived
 * @head_checked: the head of the current request is complete and valid
 */
struct agb_edge_conn {
	uv_tcp_t tcp;
	struct agb_edge *edge;
	h2o_linklist_t link;
	h2o_linklist_t unhooked_link;
	h2o_socket_t *sock;
	h2o_socket_cb h2o_read;
	struct agb_edge_linger *linger;
	uint64_t wait_start_ms;
	bool http2;
	bool request_active;
	bool had_request;
	bool head_started;
	bool head_checked;
};

/**
 * enum agb_edge_call_state - state of a call's slot
 * @AGB_CALL_PENDING: waits for the reply of the daemon
 * @AGB_CALL_ANSWERED: the response is being written, or the client is gone
 */
enum agb_edge_call_state {
	AGB_CALL_FREE,
	AGB_CALL_PENDING,
	AGB_CALL_ANSWERED,
};

/**
 * struct agb_edge_call - slot of a call
 * @generation: upper half of the call id; incremented on each use of the slot
 * @fd: connection that epoll watches for a disconnect, or -1
 * @headers: headers to forward, in the memory pool of @req
 * @response: response of the runner; set if @has_response
 */
struct agb_edge_call {
	uint32_t generation;
	enum agb_edge_call_state state;
	enum agb_call_kind kind;
	int fd;
	h2o_req_t *req;
	struct agb_httpc_header *headers;
	size_t headers_len;
	const char *method;
	const char *path;
	struct agb_edge_response response;
	bool has_response;
	uint32_t next_free_slot;
};

/**
 * struct agb_edge - HTTP server
 * @timeout_timer: runs agb_edge_conn_enforce_timeouts()
 * @hook_prepare: replaces h2o's read callbacks before the loop waits for input
 * @epoll_poll: watches @epoll_fd in the loop
 * @epoll_fd: detects clients that disconnect during their call. h2o does not
 *	read during a call, and libuv cannot watch the same socket twice.
 * @unhooked: connections whose read callback h2o has set to its own;
 *	on_socket_read() must be installed again
 * @lingers: refused connections that are still being read
 * @stopping: agb_edge_listen_stop() has been called
 * @closing: agb_edge_free() has been called
 * @freeing: the remaining handles are being closed
 */
struct agb_edge {
	uv_loop_t *loop;
	struct agb_settings settings;
	struct agb_edge_cbs cbs;
	void *arg;
	agb_addr address;
	h2o_globalconf_t config;
	h2o_context_t ctx;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	uv_timer_t timeout_timer;
	uv_prepare_t hook_prepare;
	uv_poll_t epoll_poll;
	int epoll_fd;
	h2o_linklist_t conns;
	h2o_linklist_t unhooked;
	h2o_linklist_t lingers;
	size_t conns_len;
	size_t lingers_len;
	struct agb_edge_call *calls;
	size_t calls_len;
	uint32_t first_free_slot;
	struct agb_edge_counters counters;
	bool ready;
	bool stopping;
	bool closing;
	bool listener_closed;
	bool freeing;
};

/**
 * agb_edge_error_body() - build the JSON body of a reply that this system
 * generates, not a runner
 * Return: string that the caller frees.
 */
char *agb_edge_error_body(enum agb_outcome outcome, enum agb_reason reason,
    const char *detail, uint32_t retry_ms);

/**
 * agb_edge_conn_listen() - bind and listen on e->settings.http
 * Return: 0 or a libuv error code.
 */
int agb_edge_conn_listen(struct agb_edge *e);

/**
 * agb_edge_conn_from_request() - get the connection of a request
 */
struct agb_edge_conn *agb_edge_conn_from_request(h2o_req_t *req);

/**
 * agb_edge_conn_request_done() - prepare a connection for its next request
 */
void agb_edge_conn_request_done(struct agb_edge_conn *c);

/**
 * agb_edge_conn_linger() - keep reading from a connection that h2o is about to
 * close. If it were closed with unread bytes, the kernel would send a reset,
 * and the client could lose the response.
 */
void agb_edge_conn_linger(struct agb_edge_conn *c);

/**
 * agb_edge_conn_install_hooks() - install the read hook on all connections in
 * e->unhooked; callback of e->hook_prepare
 */
void agb_edge_conn_install_hooks(uv_prepare_t *h);

/**
 * agb_edge_conn_enforce_timeouts() - close connections whose time limit has
 * passed; callback of e->timeout_timer
 */
void agb_edge_conn_enforce_timeouts(uv_timer_t *h);

/**
 * agb_edge_conn_close_all() - close every connection
 */
void agb_edge_conn_close_all(struct agb_edge *e);

/**
 * agb_edge_free_when_closed() - free a closing server once all connections are
 * closed
 */
void agb_edge_free_when_closed(struct agb_edge *e);

#endif

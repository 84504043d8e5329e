#ifndef AGB_EDGE_INTERNAL_H
#define AGB_EDGE_INTERNAL_H

/**
 * DOC: edge_internal
 *
 * Shared by edge.c (requests and calls) and edge_conn.c (connections and
 * their limits).
 */

#include <h2o.h>

#include "edge.h"
#include "edge_parse.h"

/**
 * struct agb_edge_conn - one caller's connection
 * @tcp: first member; h2o closes it, conn_closed() frees the whole
 * @sock: NULL once h2o has closed it
 * @h2o_read: h2o's own read callback, called by ours after the checks
 * @wait_start_ms: start of the present wait, on the loop's clock
 * @linger: takes over the refused connection's last bytes
 * @http2: h2o reads frames; the checks of HTTP/1 do not apply
 * @request_active: a request is being served; h2o does not read meanwhile
 * @had_request: a request has been served on it
 * @head_started: some bytes of a request have come
 * @head_checked: its head is whole and has been checked
 * @dirty: in the list of connections whose read callback must be replaced
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

enum agb_edge_call_state {
	AGB_CALL_FREE,
	AGB_CALL_PENDING,
	AGB_CALL_ANSWERED,
};

/**
 * struct agb_edge_call - slot of one call
 * @fd: watched for the end of the connection, or -1
 * @headers: of the request for the runner, in the request's memory pool
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
 * struct agb_edge - the server
 * @epoll_fd: reports callers that close while their call is in flight; h2o
 *	stops reading then, and libuv cannot watch one socket twice
 * @lingers: refused connections that still get their answer
 * @timeout_timer: checks the time limits of all connections
 * @hook_prepare: replaces h2o's read callbacks before the loop waits for input
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
 * agb_edge_error_body() - standard JSON body of an answer
 * Return: to be freed.
 */
char *agb_edge_error_body(enum agb_outcome outcome, enum agb_reason reason,
    const char *detail, uint32_t retry_ms);

/**
 * agb_edge_conn_listen() - bind and listen on e->settings.http
 * Return: 0 or a libuv error.
 */
int agb_edge_conn_listen(struct agb_edge *e);

/**
 * agb_edge_conn_from_request() - the connection that a request came on
 */
struct agb_edge_conn *agb_edge_conn_from_request(h2o_req_t *req);

/**
 * agb_edge_conn_request_done() - the request on a connection has ended
 */
void agb_edge_conn_request_done(struct agb_edge_conn *c);

/**
 * agb_edge_conn_linger() - keep reading from a connection that h2o is about
 * to close, so that unread bytes do not make the kernel discard the answer
 */
void agb_edge_conn_linger(struct agb_edge_conn *c);

/**
 * agb_edge_conn_install_hooks() - callback of e->hook_prepare
 */
void agb_edge_conn_install_hooks(uv_prepare_t *h);

/**
 * agb_edge_conn_check_timeouts() - callback of e->timeout_timer
 */
void agb_edge_conn_check_timeouts(uv_timer_t *h);

/**
 * agb_edge_conn_close_all() - close every connection
 */
void agb_edge_conn_close_all(struct agb_edge *e);

/**
 * agb_edge_free_when_closed() - free the closing server once no connection is left
 */
void agb_edge_free_when_closed(struct agb_edge *e);

#endif

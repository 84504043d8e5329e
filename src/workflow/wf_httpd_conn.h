#ifndef WF_HTTPD_CONN_H
#define WF_HTTPD_CONN_H

/**
 * DOC: wf_httpd_conn
 *
 * Connections of the HTTP server. h2o buffers a request until its body is
 * complete, without a limit on all of them together. Its read callback is
 * therefore wrapped: after each read the input buffer of the connection is
 * counted (wf_httpd_budget), and connections are given up until the rest is
 * within the budget. A timer checks the limits on time.
 */

#include <h2o.h>
#include <uv.h>

#include "wf_httpd.h"

struct wf_httpd_conn;

/**
 * struct wf_httpd_conns - connections of one server
 * @accept: where h2o takes new connections; set by the owner
 * @unhooked: connections whose read callback is wrapped before the next poll
 * @refusal_cb: may be NULL
 */
struct wf_httpd_conns {
	uv_loop_t *loop;
	h2o_accept_ctx_t *accept;
	struct wf_httpd_budget budget;
	struct wf_httpd_conn *unhooked;
	uv_prepare_t prepare;
	uv_timer_t sweep;
	wf_httpd_refusal_cb refusal_cb;
	void *refusal_arg;
};

/**
 * wf_httpd_conns_init() - set up for a process whose memory is not known
 * @body_max: maximum request body in bytes
 */
void wf_httpd_conns_init(struct wf_httpd_conns *s, uv_loop_t *loop,
    h2o_accept_ctx_t *accept, size_t body_max);

/**
 * wf_httpd_conns_limit() - set the limits for a process with the given memory
 * @memory_mb: memory that the process may use; 0 when unknown
 */
void wf_httpd_conns_limit(
    struct wf_httpd_conns *s, uint32_t memory_mb, size_t body_max);

/**
 * wf_httpd_conns_accept() - accept a connection, or refuse it
 */
void wf_httpd_conns_accept(struct wf_httpd_conns *s, uv_stream_t *listener);

/**
 * wf_httpd_conn_of() - connection of a request
 */
struct wf_httpd_conn *wf_httpd_conn_of(h2o_req_t *req);

/**
 * wf_httpd_conn_begin_request() - the request is complete
 * Return: false when it must not be run, because its connection has been given
 * up or reset by the client.
 */
bool wf_httpd_conn_begin_request(struct wf_httpd_conn *c);

/**
 * wf_httpd_conn_begin_response() - the response has been passed to h2o
 */
void wf_httpd_conn_begin_response(struct wf_httpd_conn *c);

/**
 * wf_httpd_conn_end_request() - the response has been sent, or the connection
 * closes
 */
void wf_httpd_conn_end_request(struct wf_httpd_conn *c);

#endif

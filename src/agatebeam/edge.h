#ifndef AGB_EDGE_H
#define AGB_EDGE_H

/**
 * DOC: edge
 *
 * HTTP server for clients and operators. A request that passes the checks
 * raises an AGB_EV_CALL event and stays open until the daemon replies to its
 * call id. A request that fails a check is refused here with outcome not-run,
 * before any part of it can have run.
 *
 * A call id holds a slot number and the slot's generation, so that a reply to
 * a call that has ended is recognized, ignored and counted.
 */

#include <uv.h>

#include "effect.h"
#include "httpc.h"
#include "settings.h"

struct agb_edge;

/**
 * struct agb_edge_cbs - callbacks of the edge, called on the loop's thread
 * @on_event: receives AGB_EV_CALL and AGB_EV_CALL_CLOSED; the edge frees the
 *	event afterwards. May reply to this or other calls before it returns.
 * @metrics: returns additional text for /metrics, which the edge frees; may
 *	be NULL
 * @status: returns the JSON text for /v1/status, which the edge frees. If it
 *	is NULL or returns NULL, /v1/status raises an event of kind
 *	AGB_CALL_STATUS instead.
 */
struct agb_edge_cbs {
	void (*on_event)(void *arg, struct agb_event *ev);
	char *(*metrics)(void *arg);
	char *(*status)(void *arg);
};

/**
 * struct agb_edge_request - request to a service, as forwarded to the runner
 * @path: path and query as received from the client
 * @headers: without hop-by-hop headers, the credential, and the headers that
 *	only this system may set; names in lower case
 */
struct agb_edge_request {
	const char *method;
	const char *path;
	const struct agb_httpc_header *headers;
	size_t headers_len;
	const void *body;
	size_t body_len;
};

/**
 * struct agb_edge_response - complete response of a runner
 * @headers: without hop-by-hop headers and without Content-Length
 */
struct agb_edge_response {
	int http_status;
	const struct agb_httpc_header *headers;
	size_t headers_len;
	const void *body;
	size_t body_len;
};

/**
 * struct agb_edge_counters - counters since the start, and two gauges
 * @connections_open: gauge; without refused connections that linger
 * @calls_active: gauge; calls whose response has not been written completely
 * @calls_gone: calls whose client disconnected before the reply
 * @answers_late: replies to calls that had already ended
 * @dropped_idle: connections closed because no request arrived in time
 */
struct agb_edge_counters {
	uint64_t connections_open;
	uint64_t calls_active;
	uint64_t connections_accepted;
	uint64_t calls;
	uint64_t calls_gone;
	uint64_t answers_late;
	uint64_t refused_request;
	uint64_t refused_credential;
	uint64_t refused_head_size;
	uint64_t refused_body_size;
	uint64_t refused_head_timeout;
	uint64_t refused_connections;
	uint64_t dropped_idle;
};

/**
 * agb_edge_new() - start listening on @s->http; also ignores SIGPIPE for the
 * whole process
 * @s: copied
 * Return: NULL with errno set when the address cannot be bound.
 */
struct agb_edge *agb_edge_new(uv_loop_t *loop, const struct agb_settings *s,
    const struct agb_edge_cbs *cbs, void *arg);

/**
 * agb_edge_address() - bound address, with the port that the kernel assigned
 * if the settings give port 0
 */
const char *agb_edge_address(const struct agb_edge *e);

/**
 * agb_edge_reply() - respond to a call with a reply that this system
 * generated, not a runner
 * Return: false, without an effect, when the call has already ended.
 */
bool agb_edge_reply(
    struct agb_edge *e, uint64_t call_id, const struct agb_ef_reply *reply);

/**
 * agb_edge_request_get() - get the request of a call to a service
 * @out: points into the call; valid until the call ends
 * Return: false when the call has ended.
 */
bool agb_edge_request_get(
    struct agb_edge *e, uint64_t call_id, struct agb_edge_request *out);

/**
 * agb_edge_response_set() - store a runner's complete response with its call,
 * replacing an earlier one
 * @rsp: copied
 * Return: false when the call has ended.
 */
bool agb_edge_response_set(
    struct agb_edge *e, uint64_t call_id, const struct agb_edge_response *rsp);

/**
 * agb_edge_forward() - respond to a call with the runner's response stored for
 * it; if there is none, the client receives 502 with outcome unknown
 * Return: false when the call has already ended.
 */
bool agb_edge_forward(struct agb_edge *e, uint64_t call_id);

/**
 * agb_edge_ready_set() - set the state that /readyz reports; initially false
 */
void agb_edge_ready_set(struct agb_edge *e, bool ready);

/**
 * agb_edge_listen_stop() - stop accepting connections. Requests on open
 * connections are still served; each HTTP/1 response closes its connection.
 */
void agb_edge_listen_stop(struct agb_edge *e);

/**
 * agb_edge_calls_active() - number of calls whose response has not been written
 * completely
 */
size_t agb_edge_calls_active(const struct agb_edge *e);

/**
 * agb_edge_counters() - copy the current counters
 */
void agb_edge_counters(const struct agb_edge *e, struct agb_edge_counters *out);

/**
 * agb_edge_free() - reply to active calls with outcome unknown and close all
 * connections; raises no further events. The loop must keep running until the
 * handles are closed.
 * @e: may be NULL
 */
void agb_edge_free(struct agb_edge *e);

#endif

#ifndef AGB_EDGE_H
#define AGB_EDGE_H

/**
 * DOC: edge
 *
 * HTTP server for callers and operators. A request that passes the checks
 * becomes an AGB_EV_CALL event; it stays open until the daemon answers it
 * by its call id. A request that does not pass is refused here with outcome
 * not-run, always before any part of it could have run.
 *
 * A call id names a slot and its generation: an answer for a call that has
 * ended is ignored and counted.
 */

#include <uv.h>

#include "effect.h"
#include "httpc.h"
#include "settings.h"

struct agb_edge;

/**
 * struct agb_edge_cbs - what the edge calls; all on the loop's thread
 * @on_event: AGB_EV_CALL or AGB_EV_CALL_CLOSED; the edge frees the event
 *	after the return. May answer this or other calls at once.
 * @metrics: further text for /metrics, to be freed by the edge; may be NULL
 * @status: JSON text for /v1/status, to be freed by the edge; may be NULL or
 *	return NULL, then /v1/status raises AGB_CALL_STATUS
 */
struct agb_edge_cbs {
	void (*on_event)(void *arg, struct agb_event *ev);
	char *(*metrics)(void *arg);
	char *(*status)(void *arg);
};

/**
 * struct agb_edge_request - a quick request as the runner shall see it
 * @path: with its query, as the caller sent it
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
 * struct agb_edge_answer - a runner's whole answer
 * @headers: without hop-by-hop headers and without Content-Length
 */
struct agb_edge_answer {
	int http_status;
	const struct agb_httpc_header *headers;
	size_t headers_len;
	const void *body;
	size_t body_len;
};

/**
 * struct agb_edge_counters - since the start, but for the two gauges
 * @connections: open now, lingering ones excluded
 * @active: calls in flight now
 */
struct agb_edge_counters {
	uint64_t connections;
	uint64_t active;
	uint64_t accepted;
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
 * agb_edge_new() - listen on settings->http; SIGPIPE is ignored from then on
 * @s: copied
 * Return: NULL when the address cannot be bound; errno tells why.
 */
struct agb_edge *agb_edge_new(uv_loop_t *loop, const struct agb_settings *s,
    const struct agb_edge_cbs *cbs, void *arg);

/**
 * agb_edge_address() - the address bound, with the port that the kernel
 * assigned when the settings asked for port 0
 */
const char *agb_edge_address(const struct agb_edge *e);

/**
 * agb_edge_reply() - answer a call with an answer of this system
 * Return: false when the call has ended before; then nothing is done.
 */
bool agb_edge_reply(
    struct agb_edge *e, uint64_t call_id, const struct agb_ef_reply *reply);

/**
 * agb_edge_body() - the request of a quick call
 * @out: points into the call; valid until it is answered or gone
 * Return: false when the call has ended.
 */
bool agb_edge_body(
    struct agb_edge *e, uint64_t call_id, struct agb_edge_request *out);

/**
 * agb_edge_answer_set() - keep a runner's whole answer with its call; a
 * later one replaces it
 * @ans: copied
 * Return: false when the call has ended.
 */
bool agb_edge_answer_set(
    struct agb_edge *e, uint64_t call_id, const struct agb_edge_answer *ans);

/**
 * agb_edge_forward() - answer a call with the answer kept for it; without
 * one the caller is told that the outcome is unknown
 * Return: false when the call has ended before.
 */
bool agb_edge_forward(struct agb_edge *e, uint64_t call_id);

/**
 * agb_edge_ready_set() - what /readyz answers; false at the start
 */
void agb_edge_ready_set(struct agb_edge *e, bool ready);

/**
 * agb_edge_listen_stop() - accept no more connections; each further answer
 * asks its caller to close the connection. Requests go on being served.
 */
void agb_edge_listen_stop(struct agb_edge *e);

/**
 * agb_edge_active() - calls whose answer has not been written completely
 */
size_t agb_edge_active(const struct agb_edge *e);

/**
 * agb_edge_counters() - counters at present
 */
void agb_edge_counters(const struct agb_edge *e, struct agb_edge_counters *out);

/**
 * agb_edge_free() - close all connections, answering calls in flight with
 * outcome unknown; no event is raised any more. The loop must run on until
 * its closed handles are gone.
 * @e: may be NULL
 */
void agb_edge_free(struct agb_edge *e);

#endif

#ifndef AGB_UPSTREAM_H
#define AGB_UPSTREAM_H

/**
 * DOC: upstream
 *
 * Client of the runners: sends a caller's request as one attempt and tells
 * how the attempt ended. An answer counts as whole only when its body is
 * complete and it echoes the attempt that was sent, so that a truncated or
 * misdirected answer is never passed on. A refusal counts only with the echo
 * too: without it the refusal may be that of another request while this one
 * runs.
 */

#include <uv.h>

#include "edge.h"
#include "httpc.h"

/* Length of an attempt id on the wire, "%016llx-%016llx", with the NUL. */
#define AGB_ATTEMPT_TEXT_LEN 34

struct agb_upstream;

/**
 * agb_upstream_cb - end of an attempt; called exactly once for each send,
 * never from inside agb_upstream_send() or agb_upstream_abort()
 * @ev: AGB_EV_UPSTREAM
 * @rsp: the whole answer when the result is AGB_RESULT_OK, else NULL; valid
 *	during the callback
 */
typedef void (*agb_upstream_cb)(
    void *arg, struct agb_event *ev, const struct agb_edge_response *rsp);

/**
 * agb_upstream_new() - client without connections
 * @connections_max: connections to one runner at a time
 * @response_body_max: largest body of an answer in bytes
 */
struct agb_upstream *agb_upstream_new(uv_loop_t *loop, unsigned connections_max,
    size_t response_body_max, agb_upstream_cb cb, void *arg);

/**
 * agb_upstream_send() - execute AGB_EF_UPSTREAM
 * @req: copied
 */
void agb_upstream_send(struct agb_upstream *u, uint64_t call_id,
    const struct agb_ef_upstream *ef, const struct agb_edge_request *req);

/**
 * agb_upstream_abort() - execute AGB_EF_UPSTREAM_ABORT: close the attempt's
 * connection. The callback follows with NOT_STARTED when nothing had been
 * sent, else with LOST. Does nothing when the attempt has ended.
 */
void agb_upstream_abort(
    struct agb_upstream *u, uint64_t call_id, const struct agb_attempt *a);

/**
 * agb_upstream_attempts_active() - attempts that have not ended
 */
size_t agb_upstream_attempts_active(const struct agb_upstream *u);

/**
 * agb_upstream_bytes() - HTTP traffic so far
 */
struct agb_httpc_bytes agb_upstream_bytes(const struct agb_upstream *u);

/**
 * agb_upstream_free() - end all attempts without a callback
 * @u: may be NULL
 */
void agb_upstream_free(struct agb_upstream *u);

/**
 * agb_attempt_format() - attempt id as on the wire
 */
void agb_attempt_format(
    const struct agb_attempt *a, char out[AGB_ATTEMPT_TEXT_LEN]);

/**
 * agb_attempt_parse() - inverse of agb_attempt_format()
 * Return: false when @text has any other form.
 */
bool agb_attempt_parse(const char *text, struct agb_attempt *out);

#endif

#ifndef AGB_UPSTREAM_H
#define AGB_UPSTREAM_H

/**
 * DOC: upstream
 *
 * HTTP client for the runners: sends a client's request as one attempt and
 * reports how the attempt ended. A response is accepted only if its body is
 * complete and it repeats the id of the attempt, so that a truncated or
 * misdirected response is never forwarded. The same applies to a refusal:
 * without the attempt id it may belong to another request, and this request may
 * be running.
 */

#include <uv.h>

#include "edge.h"
#include "httpc.h"

/* Size of an attempt id in text form, "%016llx-%016llx", including the NUL. */
#define AGB_ATTEMPT_TEXT_LEN 34

struct agb_upstream;

/**
 * agb_upstream_cb - called at the end of an attempt: exactly once for each
 * agb_upstream_send(), and never from inside it or agb_upstream_abort()
 * @ev: AGB_EV_UPSTREAM
 * @rsp: complete response if the result is AGB_RESULT_OK, else NULL; valid
 *	during the callback
 */
typedef void (*agb_upstream_cb)(
    void *arg, struct agb_event *ev, const struct agb_edge_response *rsp);

/**
 * agb_upstream_new() - create a client
 * @connections_max: maximum number of connections to one runner
 * @response_body_max: largest response body in bytes
 */
struct agb_upstream *agb_upstream_new(uv_loop_t *loop, unsigned connections_max,
    size_t response_body_max, agb_upstream_cb cb, void *arg);

/**
 * agb_upstream_send() - start an attempt (AGB_EF_UPSTREAM)
 * @req: copied
 */
void agb_upstream_send(struct agb_upstream *u, uint64_t call_id,
    const struct agb_ef_upstream *ef, const struct agb_edge_request *req);

/**
 * agb_upstream_abort() - abort an attempt (AGB_EF_UPSTREAM_ABORT) and close its
 * connection. The callback follows later, with AGB_RESULT_NOT_STARTED if no
 * byte had been sent, else with AGB_RESULT_LOST. Does nothing if the attempt
 * has already ended.
 */
void agb_upstream_abort(
    struct agb_upstream *u, uint64_t call_id, const struct agb_attempt *a);

/**
 * agb_upstream_attempts_active() - number of attempts that have not ended
 */
size_t agb_upstream_attempts_active(const struct agb_upstream *u);

/**
 * agb_upstream_bytes() - HTTP traffic so far
 */
struct agb_httpc_bytes agb_upstream_bytes(const struct agb_upstream *u);

/**
 * agb_upstream_free() - end all attempts without calling the callback
 * @u: may be NULL
 */
void agb_upstream_free(struct agb_upstream *u);

/**
 * agb_attempt_format() - write an attempt id in its text form
 */
void agb_attempt_format(
    const struct agb_attempt *a, char out[AGB_ATTEMPT_TEXT_LEN]);

/**
 * agb_attempt_parse() - inverse of agb_attempt_format()
 * Return: false when @text has any other form.
 */
bool agb_attempt_parse(const char *text, struct agb_attempt *out);

#endif

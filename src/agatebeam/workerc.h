#ifndef AGB_WORKERC_H
#define AGB_WORKERC_H

/**
 * DOC: workerc
 *
 * Client of the HTTP and JSON interface of the worker agents. Each call ends
 * with one event. An invalid response is handled like a missing one: the worker
 * may have executed the call, so the status is AGB_WORKER_LOST. If the worker
 * refuses the epoch, the status is AGB_WORKER_FENCED and the event has the
 * worker's epoch. An epoch below ours means that the worker has restarted and
 * has no session.
 */

#include <uv.h>

#include "effect.h"
#include "httpc.h"

/* Time limit of a call, in addition to the wait time of a renewal. */
#define AGB_WORKERC_TIMEOUT_MS 2000
/* Maximum number of elements in each array of a response. */
#define AGB_WORKERC_ITEMS_MAX 4096

struct agb_workerc;

/**
 * agb_workerc_cb - called at the end of a call, never from inside
 * agb_workerc_call()
 * @ev: AGB_EV_SESSION, AGB_EV_RENEW or AGB_EV_COMMANDS; freed by the client
 *	after the callback returns
 */
typedef void (*agb_workerc_cb)(void *arg, struct agb_event *ev);

/**
 * agb_workerc_new() - create a client
 * @owner: name of this instance, sent to the worker with each session request;
 *	copied
 */
struct agb_workerc *agb_workerc_new(
    uv_loop_t *loop, const char *owner, agb_workerc_cb cb, void *arg);

/**
 * agb_workerc_call() - send a session request, a renewal or commands to a
 * worker; the callback receives the result
 * @ef: AGB_EF_SESSION, AGB_EF_RENEW or AGB_EF_COMMANDS; copied as needed
 */
void agb_workerc_call(struct agb_workerc *w, const struct agb_effect *ef);

/**
 * agb_workerc_rejected_responses() - number of invalid responses since the
 * start
 */
uint64_t agb_workerc_rejected_responses(const struct agb_workerc *w);

/**
 * agb_workerc_bytes() - HTTP traffic so far
 */
struct agb_httpc_bytes agb_workerc_bytes(const struct agb_workerc *w);

/**
 * agb_workerc_free() - end all calls without raising events
 * @w: may be NULL
 */
void agb_workerc_free(struct agb_workerc *w);

#endif

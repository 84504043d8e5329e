#ifndef AGB_WORKERC_H
#define AGB_WORKERC_H

/**
 * DOC: workerc
 *
 * Client of the worker agents' HTTP JSON interface. Each call ends with one
 * event. An answer that fails a check counts as no answer: the worker may
 * have acted, so the event says AGB_WORKER_LOST. A refusal by epoch is
 * AGB_WORKER_FENCED with the epoch that the worker names; one below ours
 * means that the worker has restarted and knows no session.
 */

#include <uv.h>

#include "effect.h"
#include "httpc.h"

/* Longest time for an answer, beyond the wait that a renewal asks for. */
#define AGB_WORKERC_TIMEOUT_MS 2000
/* Tasks, slots, events or results that one answer may list. */
#define AGB_WORKERC_ITEMS_MAX 4096

struct agb_workerc;

/**
 * agb_workerc_cb - AGB_EV_SESSION, AGB_EV_RENEW or AGB_EV_COMMANDS; never
 * called from inside agb_workerc_call()
 * @ev: freed by the client after the return
 */
typedef void (*agb_workerc_cb)(void *arg, struct agb_event *ev);

/**
 * agb_workerc_new() - client without connections
 * @owner: name of this instance, told to workers with a session; copied
 */
struct agb_workerc *agb_workerc_new(
    uv_loop_t *loop, const char *owner, agb_workerc_cb cb, void *arg);

/**
 * agb_workerc_call() - execute AGB_EF_SESSION, AGB_EF_RENEW or
 * AGB_EF_COMMANDS
 * @ef: the effect; not kept
 */
void agb_workerc_call(struct agb_workerc *w, const struct agb_effect *ef);

/**
 * agb_workerc_rejected_responses() - answers that failed a check, since the start
 */
uint64_t agb_workerc_rejected_responses(const struct agb_workerc *w);

/**
 * agb_workerc_bytes() - HTTP traffic so far
 */
struct agb_httpc_bytes agb_workerc_bytes(const struct agb_workerc *w);

/**
 * agb_workerc_free() - end all calls without an event
 * @w: may be NULL
 */
void agb_workerc_free(struct agb_workerc *w);

#endif

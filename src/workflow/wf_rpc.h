#ifndef WF_RPC_H
#define WF_RPC_H

/**
 * DOC: wf_rpc
 *
 * Calls between instances of the workflow scheduler: effects of the reducer
 * become calls and answers, calls and answers of others become its events.
 */

#include <uv.h>

#include "wf_event.h"

struct wf_rpc;

/**
 * struct wf_rpc_cbs - what the daemon does with them
 * @event: an event for the reducer; what it points to is freed afterwards
 * @log: a line for the log
 */
struct wf_rpc_cbs {
	void (*event)(void *arg, struct wf_event *ev);
	void (*log)(void *arg, enum agb_log_level level, const char *event,
	    const char *line);
};

/**
 * wf_rpc_new() - listen for calls
 * Return: NULL when the address cannot be bound.
 */
struct wf_rpc *wf_rpc_new(
    uv_loop_t *loop, const char *addr, const struct wf_rpc_cbs *cbs, void *arg);

/**
 * wf_rpc_perform() - carry out an effect
 * Return: false when it has nothing to do with other instances.
 */
bool wf_rpc_perform(struct wf_rpc *r, const struct wf_effect *ef);

/**
 * wf_rpc_free() - close all; the loop must run on until its closed handles are
 * gone
 * @r: may be NULL
 */
void wf_rpc_free(struct wf_rpc *r);

#endif

#ifndef WF_RPC_H
#define WF_RPC_H

/**
 * DOC: wf_rpc
 *
 * RPC between instances of the workflow scheduler. Effects of the reducer are
 * sent as calls and replies; calls and replies from other instances are passed
 * to the reducer as events.
 */

#include <uv.h>

#include "rpc.h"
#include "wf_event.h"

struct wf_rpc;

/**
 * struct wf_rpc_cbs - callbacks of the daemon
 * @event: handles an event; the data it points to is freed afterwards
 * @log: writes a log line
 */
struct wf_rpc_cbs {
	void (*event)(void *arg, struct wf_event *ev);
	void (*log)(void *arg, enum agb_log_level level, const char *event,
	    const char *line);
};

/**
 * wf_rpc_new() - listen for calls from other instances
 * @arg: passed to the callbacks
 * Return: NULL when the address cannot be bound.
 */
struct wf_rpc *wf_rpc_new(
    uv_loop_t *loop, const char *addr, const struct wf_rpc_cbs *cbs, void *arg);

/**
 * wf_rpc_perform() - carry out an effect
 * Return: false when the effect does not involve other instances.
 */
bool wf_rpc_perform(struct wf_rpc *r, const struct wf_effect *ef);

/**
 * wf_rpc_endpoint() - connections to the other instances, for their counters
 */
const struct agb_rpc *wf_rpc_endpoint(const struct wf_rpc *r);

/**
 * wf_rpc_free() - close all connections and the listener
 * @r: may be NULL
 *
 * The loop must run until the handles closed here are gone.
 */
void wf_rpc_free(struct wf_rpc *r);

#endif

#ifndef WF_READY_H
#define WF_READY_H

/**
 * DOC: wf_ready
 *
 * Whether an instance reports that it is ready for requests, and its drain:
 * after SIGTERM it is not ready any more and exits once clients have moved.
 */

#include "wf_event.h"

/**
 * struct wf_ready - readiness and drain; only changed by this module
 * @term_at: when SIGTERM was received
 * @known: @ready has been reported
 */
struct wf_ready {
	agb_time term_at;
	bool draining;
	bool exiting;
	bool ready;
	bool known;
};

/**
 * struct wf_ready_needs - what an instance needs in order to be ready
 * @has_document: a document is in force
 * @document: its version
 * @synced: the leader and the list of instances have been read
 * @store_heard_at: last answer of the store, or 0
 */
struct wf_ready_needs {
	bool has_document;
	uint64_t document;
	bool synced;
	agb_time store_heard_at;
};

/**
 * wf_ready_drain() - begin the drain
 */
void wf_ready_drain(struct wf_ready *r, agb_time now);

/**
 * wf_ready_tick() - report a change of the readiness, and exit when that is due
 * @grace_ms: maximum time from SIGTERM to process exit
 * @open_requests: number of requests without an answer
 * Return: when to call again.
 */
agb_time wf_ready_tick(struct wf_ready *r, const struct wf_ready_needs *needs,
    uint32_t grace_ms, size_t open_requests, agb_time now,
    struct wf_effects *out);

#endif

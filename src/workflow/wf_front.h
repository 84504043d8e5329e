#ifndef WF_FRONT_H
#define WF_FRONT_H

/**
 * DOC: wf_front
 *
 * Requests of clients. A submission is accepted once it is in the store. When
 * the outcome of its write is unknown, the write is repeated, and the client is
 * never informed that the job will not run. States are answered from this
 * instance's copy of the store.
 */

#include "wf_event.h"
#include "wf_table.h"

struct wf_front;

/**
 * wf_front_new() - create the request handler
 * @cfg: settings of this instance
 */
struct wf_front *wf_front_new(
    struct wf_table *table, const struct wf_config *cfg);

void wf_front_free(struct wf_front *f);

/**
 * wf_front_set_doc() - replace the document in force
 */
void wf_front_set_doc(struct wf_front *f, const struct wf_doc *doc);

/**
 * wf_front_handle_call() - process a client request
 * @doc: document in force, or NULL
 */
void wf_front_handle_call(struct wf_front *f, const struct wf_now *now,
    const struct wf_doc *doc, struct wf_call *call, struct wf_effects *out);

/**
 * wf_front_handle_store_result() - process the result of a store operation
 * @changed_job: set to the job that the operation submitted or cancelled, or
 *	NULL
 * Return: false when the tag does not belong to this module.
 */
bool wf_front_handle_store_result(struct wf_front *f, const struct wf_now *now,
    uint64_t tag, const struct agb_store_result *res,
    struct wf_job **changed_job, struct wf_effects *out);

/**
 * wf_front_tick() - repeat writes that are due and answer requests whose
 * deadline has passed
 * Return: time of the next call.
 */
agb_time wf_front_tick(
    struct wf_front *f, const struct wf_now *now, struct wf_effects *out);

/**
 * struct wf_front_knowledge - how up to date the table is
 * @states_current: it has the latest states of all jobs
 * @jobs_complete: it also has all pending jobs, so that they can be counted
 * @job_bytes: memory that the accepted jobs take, which the leader has told
 *	@job_bytes_updates times; 0 when that is not known
 * @counts_current: the counts of pending jobs that the leader has pushed are
 *	recent
 */
struct wf_front_knowledge {
	uint64_t job_bytes;
	uint64_t job_bytes_updates;
	bool states_current;
	bool jobs_complete;
	bool counts_current;
};

/**
 * wf_front_set_knowledge() - tell how up to date the table is
 */
void wf_front_set_knowledge(
    struct wf_front *f, const struct wf_front_knowledge *known);

/**
 * wf_front_set_store_silent() - set whether the store has stopped answering
 */
void wf_front_set_store_silent(struct wf_front *f, bool silent);

/**
 * wf_front_set_store_latency() - set the time that the store currently takes to
 * answer
 */
void wf_front_set_store_latency(struct wf_front *f, agb_time latency);

/**
 * wf_front_send_payload() - answer a relay that needs the payload of a job
 * accepted by this instance
 * @token: identifies the request
 */
void wf_front_send_payload(const struct wf_front *f, uint64_t token,
    const char *job, struct wf_effects *out);

/**
 * wf_front_open_count() - number of requests that have not been answered
 */
size_t wf_front_open_count(const struct wf_front *f);

#endif

#ifndef WF_FRONT_H
#define WF_FRONT_H

/**
 * DOC: wf_front
 *
 * Requests of callers. A submission is accepted once it lies in the store;
 * when the store's answer is lost it is written again, and never refused as
 * not run. States are answered from this instance's copy of the store.
 */

#include "wf_event.h"
#include "wf_table.h"

struct wf_front;

/**
 * wf_front_new() - no requests yet
 * @cfg: this instance
 */
struct wf_front *wf_front_new(
    struct wf_table *table, const struct wf_config *cfg);

void wf_front_free(struct wf_front *f);

/**
 * wf_front_handle_call() - take a request
 * @doc: document in force, or NULL
 */
void wf_front_handle_call(struct wf_front *f, const struct wf_now *now,
    const struct wf_doc *doc, struct wf_call *call, struct wf_effects *out);

/**
 * wf_front_store_result() - the store has answered
 * @accepted: set to a job that has just been accepted or cancelled, or NULL
 * Return: false when the tag is none of the front's.
 */
bool wf_front_store_result(struct wf_front *f, const struct wf_now *now,
    uint64_t tag, const struct agb_store_result *res, struct wf_job **accepted,
    struct wf_effects *out);

/**
 * wf_front_tick() - writes to repeat, callers whose time is over
 * Return: when to call again.
 */
agb_time wf_front_tick(
    struct wf_front *f, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_front_set_current() - whether the table shows the states of all jobs
 * @whole: it also counts those that wait
 */
void wf_front_set_current(struct wf_front *f, bool fresh, bool whole);

/**
 * wf_front_set_store_silent() - whether the store has stopped to answer
 */
void wf_front_set_store_silent(struct wf_front *f, bool silent);

/**
 * wf_front_set_store_latency() - how long the store takes for an answer at present
 */
void wf_front_set_store_latency(struct wf_front *f, agb_time takes);

/**
 * wf_front_open_count() - requests that wait
 */
size_t wf_front_open_count(const struct wf_front *f);

#endif

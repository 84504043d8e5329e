#ifndef WF_CORE_H
#define WF_CORE_H

/**
 * DOC: wf_core
 *
 * Reducer of an instance that schedules jobs with several steps. It handles
 * client requests, the local copy of the store, the lease of the instance and
 * the leader election; the elected leader places all tasks. Each event enters
 * together with the current time, and every effect is returned as data.
 */

#include "wf_event.h"
#include "wf_gauges.h"
#include "wf_meter.h"

struct wf_core;

struct wf_core *wf_core_new(const struct wf_config *cfg);

/**
 * wf_core_free() - free a reducer
 * @c: may be NULL
 */
void wf_core_free(struct wf_core *c);

/**
 * wf_core_handle() - process one event
 * @now: current time; its monotonic part never goes back between two calls
 * @out: effects are appended in the order in which they must be carried out
 */
void wf_core_handle(struct wf_core *c, const struct wf_now *now,
    struct wf_event *ev, struct wf_effects *out);

/**
 * wf_core_next_tick() - time at which the next WF_EV_TICK is due
 */
agb_time wf_core_next_tick(const struct wf_core *c);

/**
 * wf_core_body_max() - largest request body that the document allows, in bytes
 * Return: SIZE_MAX while there is no document.
 */
size_t wf_core_body_max(const struct wf_core *c);

void wf_core_get_gauges(
    const struct wf_core *c, agb_time now, struct wf_gauges *out);

/**
 * wf_core_meter() - measurements of this instance, valid until wf_core_free()
 */
struct wf_meter *wf_core_meter(struct wf_core *c);

/**
 * wf_core_job_state() - state that this instance would report for a job
 * Return: NULL when it does not know the job.
 */
const char *wf_core_job_state(struct wf_core *c, const char *job);

#endif

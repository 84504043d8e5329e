#ifndef WF_CORE_H
#define WF_CORE_H

/**
 * DOC: wf_core
 *
 * The reducer of an instance that runs jobs of several steps: callers'
 * requests, its copy of the store, its lease, and the election of a leader,
 * which places all tasks. Every event enters here with the present time,
 * every effect leaves as data.
 */

#include "wf_event.h"

struct wf_core;

/**
 * struct wf_gauges - numbers for the metrics page
 */
struct wf_gauges {
	uint64_t document_version;
	uint64_t store_revision;
	uint64_t fence;
	unsigned jobs;
	unsigned jobs_open;
	unsigned steps_waiting;
	unsigned runners;
	unsigned runners_usable;
	unsigned tasks_held;
	unsigned advice_calls;
	unsigned writes;
	bool is_leader;
	bool ready;
};

struct wf_core *wf_core_new(const struct wf_config *cfg);

/**
 * wf_core_free() - free it
 * @c: may be NULL
 */
void wf_core_free(struct wf_core *c);

/**
 * wf_core_handle() - take one event
 * @now: present time; its monotonic part is never before that of the last
 * @out: effects are appended in the order in which they are to be done
 */
void wf_core_handle(struct wf_core *c, const struct wf_now *now,
    struct wf_event *ev, struct wf_effects *out);

/**
 * wf_core_next_tick() - when it wants its next WF_EV_TICK
 */
agb_time wf_core_next_tick(const struct wf_core *c);

void wf_core_get_gauges(
    const struct wf_core *c, agb_time now, struct wf_gauges *out);

/**
 * wf_core_job_state() - state of a job as this instance would tell a caller
 * Return: NULL when it does not know the job.
 */
const char *wf_core_job_state(struct wf_core *c, const char *job);

#endif

#ifndef WF_GAUGES_H
#define WF_GAUGES_H

/**
 * DOC: wf_gauges
 *
 * Values of the metrics page that are read from the state of an instance.
 */

#include "wf_meter.h"

struct wf_leader;
struct wf_table;

/**
 * struct wf_gauges - values for the metrics page
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
	unsigned tasks_allocated;
	unsigned advice_calls;
	unsigned writes;
	struct wf_load load;
	bool is_leader;
	bool ready;
};

/**
 * wf_gauges_count_jobs() - set the numbers of jobs in the table
 */
void wf_gauges_count_jobs(struct wf_gauges *g, const struct wf_table *t);

/**
 * wf_gauges_read_leader() - set the values that only the leader has
 */
void wf_gauges_read_leader(
    struct wf_gauges *g, const struct wf_leader *l, agb_time now);

#endif

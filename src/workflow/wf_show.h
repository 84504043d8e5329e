#ifndef WF_SHOW_H
#define WF_SHOW_H

/**
 * DOC: wf_show
 *
 * Pushes from the leader to the other instances: durable states of jobs, and
 * the number of pending jobs in each queue. When there are many instances, the
 * leader pushes to one instance of each failure domain, which forwards to the
 * others there.
 */

#include "wf_counts.h"
#include "wf_event.h"
#include "wf_outbox.h"

struct wf_leader;

/* Marks the tags of pushes that are acknowledged. */
#define WF_SHOW_TAG ((uint64_t)1 << 57)

/* State of a job that has to be pushed, and tag of its route. */
struct wf_show_state {
	wf_job_id job;
	uint32_t route_tag;
	enum wf_job_state state;
};

/**
 * struct wf_show_push - push whose outcome is not known
 * @relay: handle of the instance that forwards it in its failure domain
 * @domain: index of that failure domain
 * @timeout_ms: how long it waits for the acknowledgement
 * @states: its states, to be sent again when it fails; counts are not kept, as
 *	they are repeated anyway
 */
struct wf_show_push {
	uint64_t tag;
	uint32_t relay;
	uint32_t domain;
	uint32_t timeout_ms;
	agb_time sent_at;
	struct wf_show_state *states;
	size_t states_len;
};

/**
 * struct wf_show_domain - failure domain that is pushed to
 * @backlog: states to send again, oldest first
 * @retry_at: when to send some of them
 * @timeout_ms: how long the next push waits for its acknowledgement
 * @unsent: number of pushes in a row that were not sent; while it is not 0, there
 *	is one push at a time
 * @unsent_at: when the last of them failed
 * @in_flight: number of pushes whose outcome is not known
 */
struct wf_show_domain {
	agb_id domain;
	struct wf_show_state *backlog;
	size_t backlog_len;
	size_t backlog_cap;
	agb_time retry_at;
	uint32_t timeout_ms;
	uint32_t unsent;
	agb_time unsent_at;
	uint32_t in_flight;
};

/**
 * struct wf_show - records to push and pushes without an acknowledgement
 * @job_bytes: memory that the accepted jobs take, as of the latest of
 *	@job_bytes_updates
 * @job_bytes_due: the next push tells it
 * @job_bytes_told: the latest update was told
 * @job_bytes_full: it has reached its limit
 * @push_at: time of the next push
 * @heartbeat_at: when a push is sent even if there is nothing to push
 * @count_at: time of the next check of the counts
 * @unsent_at: when a push to a relay last failed without having been sent, by the
 *	relay's handle; 0 when a later one was acknowledged
 * @dropped: number of states that were given up since the last log line
 * @drop_log_at: when the next such line may be written
 */
struct wf_show {
	struct wf_show_state *states;
	size_t states_len;
	size_t states_cap;
	struct wf_counts counts;
	uint64_t job_bytes;
	uint64_t job_bytes_updates;
	bool job_bytes_due;
	bool job_bytes_told;
	bool job_bytes_full;
	struct wf_show_push *pushes;
	size_t pushes_len;
	struct wf_show_domain *domains;
	size_t domains_len;
	uint64_t next_tag;
	agb_time push_at;
	agb_time heartbeat_at;
	agb_time count_at;
	agb_time unsent_at[WF_RELAYS_MAX];
	size_t dropped;
	agb_time drop_log_at;
};

void wf_show_free(struct wf_leader *l);

/**
 * wf_show_add_state() - queue the durable state of a job for the next push
 */
void wf_show_add_state(
    struct wf_leader *l, const char *job, enum wf_job_state state);

/**
 * wf_show_tick() - push records that are due
 * Return: time of the next call.
 */
agb_time wf_show_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_show_push_done() - process the outcome of a push
 *
 * The states of one that failed are sent again later, to an instance of the same
 * failure domain. Only an instance that did not acknowledge what it was sent is
 * given up as a relay.
 */
void wf_show_push_done(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, enum wf_push_outcome outcome, struct wf_effects *out);

#endif

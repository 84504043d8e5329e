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

struct wf_leader;

/* Marks the tags of pushes that are acknowledged. */
#define WF_SHOW_TAG ((uint64_t)1 << 57)

/* State of a job that has to be pushed. */
struct wf_show_state {
	wf_job_id job;
	enum wf_job_state state;
};

/**
 * struct wf_show_push - push that has not been acknowledged
 * @relay: handle of the instance that forwards it in its failure domain
 * @timeout_ms: how long it waits for the acknowledgement
 * @items: copies of the records, to be sent again when the push fails
 */
struct wf_show_push {
	uint64_t tag;
	uint32_t relay;
	uint32_t timeout_ms;
	struct wf_record *items;
	size_t len;
};

/**
 * struct wf_show - records to push and pushes without an acknowledgement
 * @push_at: time of the next push
 * @count_at: time of the next check of the counts; their push also serves as
 *	the leader's heartbeat
 */
struct wf_show {
	struct wf_show_state *states;
	size_t states_len;
	size_t states_cap;
	struct wf_counts counts;
	struct wf_show_push *pushes;
	size_t pushes_len;
	uint64_t next_tag;
	agb_time push_at;
	agb_time count_at;
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
 * @ok: the peer acknowledged it; otherwise it is sent again to an instance of
 *	the same failure domain
 */
void wf_show_push_done(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, bool ok, struct wf_effects *out);

#endif

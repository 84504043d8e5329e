#ifndef WF_SHOW_H
#define WF_SHOW_H

/**
 * DOC: wf_show
 *
 * What the leader tells the other instances: durable states of jobs, and how
 * many jobs of each queue have not begun. With many instances one of each
 * failure domain is told, and tells the others there.
 */

#include "wf_event.h"

struct wf_leader;

/* Tags of calls that tell. */
#define WF_SHOW_TAG ((uint64_t)1 << 57)

/* A state that other instances have to be shown. */
struct wf_show_job {
	wf_job_id job;
	enum wf_job_state state;
};

/* Count of a queue, and as it was told last. */
struct wf_show_queue {
	agb_id queue;
	uint32_t pending;
	uint32_t sent_pending;
	agb_time sent_at;
};

/**
 * struct wf_show_push - records that the instances of a domain are told
 * @relay: handle of the instance that tells the others
 */
struct wf_show_push {
	uint64_t tag;
	uint32_t relay;
	struct wf_record *items;
	size_t len;
};

/**
 * struct wf_show - what is told next, and what is not answered
 * @count_at: when the counts are due, which also tell that the leader is there
 */
struct wf_show {
	struct wf_show_job *states;
	size_t states_len;
	size_t states_cap;
	struct wf_show_queue *counts;
	size_t counts_len;
	struct wf_show_push *pushes;
	size_t pushes_len;
	uint64_t next_tag;
	agb_time push_at;
	agb_time count_at;
};

void wf_show_free(struct wf_leader *l);

/**
 * wf_show_add_state() - tell other instances the durable state of a job
 */
void wf_show_add_state(
    struct wf_leader *l, const char *job, enum wf_job_state state);

/**
 * wf_show_tick() - tell what is due
 * Return: when to call again.
 */
agb_time wf_show_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_show_push_done() - a call that tells has been answered, or has not
 */
void wf_show_push_done(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, bool ok, struct wf_effects *out);

#endif

#ifndef WF_POLL_H
#define WF_POLL_H

/**
 * DOC: wf_poll
 *
 * When the leader asks a runner for its lists. One hold at a time waits at the
 * runner for a run to end. A hold whose answer is overdue is followed by a
 * probe, which the runner answers at once: until then the leader would not
 * learn of any end at that runner, though the runner works.
 */

#include "types.h"

/**
 * enum wf_poll_action - what to send to a runner now
 */
enum wf_poll_action {
	WF_POLL_NOTHING,
	WF_POLL_HOLD,
	WF_POLL_PROBE,
};

/**
 * struct wf_poll - holds of a runner
 * @next_at: when the next hold is due, unless one is pending
 * @sent_at, @wait_ms: the pending hold, and how long it waits at the runner
 * @pending: a hold has not been answered or given up
 * @probed: the pending hold was overdue and a probe was sent
 */
struct wf_poll {
	agb_time next_at;
	agb_time sent_at;
	uint32_t wait_ms;
	bool pending;
	bool probed;
};

/**
 * wf_poll_next() - decide what to send to a runner
 * @when: set to the time of the next decision; AGB_TIME_MAX when an answer
 *	comes first
 */
enum wf_poll_action wf_poll_next(
    const struct wf_poll *p, agb_time now, agb_time *when);

/**
 * wf_poll_hold_sent() - note that a hold was sent
 * @wait_ms: how long it may wait at the runner
 */
void wf_poll_hold_sent(struct wf_poll *p, agb_time now, uint32_t wait_ms);

/**
 * wf_poll_probe_sent() - note that a probe follows the pending hold
 */
void wf_poll_probe_sent(struct wf_poll *p);

/**
 * wf_poll_is_immediate() - whether the latest hold is the one sent at @sent_at,
 * and its runner answers at once
 */
bool wf_poll_is_immediate(const struct wf_poll *p, agb_time sent_at);

/**
 * wf_poll_hold_ended() - note that a hold was answered or has failed
 * @sent_at: when it was sent
 * Return: false when it had been given up before, so that its failure is no
 * evidence about the runner.
 */
bool wf_poll_hold_ended(struct wf_poll *p, agb_time sent_at);

/**
 * wf_poll_probe_answered() - note the answer to a probe: a hold that is overdue
 * is given up, and the next one is due at once
 */
void wf_poll_probe_answered(struct wf_poll *p, agb_time now);

#endif

#ifndef WF_FLOW_H
#define WF_FLOW_H

/**
 * DOC: wf_flow
 *
 * Flow control of starts. The leader limits how many tasks are assigned and
 * not yet confirmed by their runners. The limit follows the time that its
 * messages take: it falls when most of them are answered late, and rises while
 * it holds tasks back and answers come in time. Tasks beyond the limit wait in
 * the queue, where they send nothing. Without a limit, orders that wait on a
 * full link are given up and given again, and the repetitions keep the link
 * full.
 *
 * Measured are calls to relays and, where the leader sends its orders to the
 * runners itself, orders that they answer at once. The same measurements tell
 * whether the links are congested. What the leader can leave out or do later
 * gives way then: probes, frequent polls, pushes.
 */

#include "types.h"

/**
 * struct wf_flow - flow control of a leader
 * @limit: starts that may be in flight
 * @in_flight: tasks that are assigned and whose start is neither answered nor
 *	given up
 * @interval_start: when the current interval of measurement began
 * @reduced_at: when @limit was reduced last; messages sent before do not count
 * @late_at: end of the last interval in which most answers were late, or 0
 * @on_time, @late: answers in the current interval
 * @confirmed: starts that were confirmed in the current interval
 * @held_back: @limit held tasks back in the current interval
 * @held_back_at: end of the last interval in which it did, or 0
 * @starts_per_s: starts confirmed a second, as a moving average over such
 *	intervals
 */
struct wf_flow {
	uint32_t limit;
	uint32_t in_flight;
	agb_time interval_start;
	agb_time reduced_at;
	agb_time late_at;
	uint32_t on_time;
	uint32_t late;
	uint32_t confirmed;
	bool held_back;
	agb_time held_back_at;
	uint32_t starts_per_s;
};

/**
 * wf_flow_init() - start with a limit that holds nothing back
 */
void wf_flow_init(struct wf_flow *f, agb_time now);

/**
 * wf_flow_room() - number of tasks that may be assigned now
 */
uint32_t wf_flow_room(const struct wf_flow *f);

/**
 * wf_flow_note_held_back() - note that tasks wait because of the limit
 */
void wf_flow_note_held_back(struct wf_flow *f);

/**
 * wf_flow_note_answer() - note that a message was answered, or given up
 * @sent_at: when it was sent
 * @base: time that an answer of the same peer takes when nothing delays it
 */
void wf_flow_note_answer(
    struct wf_flow *f, agb_time now, agb_time sent_at, agb_time base);

/**
 * wf_flow_note_confirmed() - note that a runner has confirmed a start
 */
void wf_flow_note_confirmed(struct wf_flow *f);

/**
 * wf_flow_is_limiting() - whether the limit has held tasks back recently
 */
bool wf_flow_is_limiting(const struct wf_flow *f, agb_time now);

/**
 * wf_flow_is_congested() - whether messages are late, or would be without the
 * limit
 *
 * A message that is not answered in time is late rather than lost then. What is
 * sent in its place would make the next ones late, also when nothing starts.
 */
bool wf_flow_is_congested(const struct wf_flow *f, agb_time now);

/**
 * wf_flow_starts_within() - number of tasks that can be started within a time
 * Return: UINT32_MAX while the limit holds nothing back.
 */
uint32_t wf_flow_starts_within(
    const struct wf_flow *f, agb_time now, uint32_t ms);

#endif

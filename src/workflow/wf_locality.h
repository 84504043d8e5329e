#ifndef WF_LOCALITY_H
#define WF_LOCALITY_H

/**
 * DOC: wf_locality
 *
 * Decides whether work that has room now, but not near its data or its group,
 * starts there or waits for near room. A remote run takes longer by a factor; a
 * wait pays when near room is expected before that extra time has passed. While
 * capacity is short the extra time also counts for the work that could use the
 * processors meanwhile.
 */

#include "types.h"

enum wf_locality_choice {
	WF_LOCALITY_NEAR,
	WF_LOCALITY_REMOTE,
	WF_LOCALITY_WAIT,
};

/**
 * struct wf_locality - what the decision for a unit depends on
 * @run_ms: expected run time near
 * @following_ms: expected time from its end to the end of the job
 * @remote_factor: factor on the run time of a remote run
 * @ready_at: when the unit became ready
 * @waits_since: when it was first decided that it waits; 0 before that
 * @due_at: when the job is due
 * @tickets_until: when the first of its approvals expires; 0 when it needs
 *	none
 * @room_short: the work that waits wants more processors than are free
 * @wait_max_ms: longest wait from @ready_at on; 0 disables waiting
 */
struct wf_locality {
	uint32_t run_ms;
	uint64_t following_ms;
	double remote_factor;
	agb_time ready_at;
	agb_time waits_since;
	agb_time due_at;
	agb_time tickets_until;
	bool room_short;
	uint32_t wait_max_ms;
};

/**
 * struct wf_locality_decision - what a unit does
 * @until: when near room is expected, for WF_LOCALITY_WAIT; the decision is made
 *	again before that when something has changed
 */
struct wf_locality_decision {
	enum wf_locality_choice choice;
	agb_time until;
};

/**
 * wf_locality_extra() - time that a remote run takes longer
 */
agb_time wf_locality_extra(const struct wf_locality *in);

/**
 * wf_locality_latest() - latest time up to which a wait for near room pays
 * Return: @now or an earlier time when none does.
 */
agb_time wf_locality_latest(const struct wf_locality *in, agb_time now);

/**
 * wf_locality_decide() - decide for a unit that has remote room now
 * @near_at: when enough near room is expected to be free; AGB_TIME_MAX when it
 *	is not known
 */
struct wf_locality_decision wf_locality_decide(
    const struct wf_locality *in, agb_time now, agb_time near_at);

#endif

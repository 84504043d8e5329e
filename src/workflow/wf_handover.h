#ifndef WF_HANDOVER_H
#define WF_HANDOVER_H

/**
 * DOC: wf_handover
 *
 * To which instance a leader that shuts down hands the leadership. It goes on
 * leading until a transaction has made the other instance the leader, so that
 * there is no time without one.
 */

#include "wf_table.h"

/**
 * wf_handover_choose() - choose the successor of a leader that shuts down
 * @self: name of the leader, which pings all others
 * @candidates: number of instances, those with the highest scores, that follow
 *	all jobs and can lead at once
 *
 * While instances are restarted one after the other, one that was restarted
 * lately is not stopped again soon. It must have had time to read all jobs.
 * Return: NULL when there is none.
 */
const struct wf_peer *wf_handover_choose(const struct wf_table *t,
    const char *self, unsigned candidates, agb_time now);

#endif

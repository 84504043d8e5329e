#ifndef WF_PUSH_H
#define WF_PUSH_H

/**
 * DOC: wf_push
 *
 * Pushes of records to other instances: those that the leader pushed and that
 * are forwarded, and those stored on behalf of a peer.
 */

#include "wf_event.h"
#include "wf_table.h"

/**
 * wf_push_records() - push records to an instance
 *
 * Records that no single message can hold are split, in their order. A push of
 * the leader fits into one message, so that forwarding it keeps its counts
 * together with their position in the round.
 */
void wf_push_records(const struct wf_peer *p, const struct wf_feed *feed,
    struct wf_effects *out);

/**
 * wf_push_forward() - forward a push of the leader to the other instances in
 * the failure domain of this one
 *
 * With many instances, the leader pushes to one instance of each failure
 * domain only.
 */
void wf_push_forward(const struct wf_table *t, const struct wf_config *cfg,
    const struct wf_feed *feed, struct wf_effects *out);

#endif

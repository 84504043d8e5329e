#ifndef WF_DELTA_H
#define WF_DELTA_H

/**
 * DOC: wf_delta
 *
 * Delta encoding of a runner's list of active runs. A relay sends the leader
 * only the changes since the last list that both of them hold.
 */

#include "wf_event.h"

/**
 * struct wf_baseline - list of active runs that a delta refers to
 * @number: number of the list; 0 means that there is none
 */
struct wf_baseline {
	uint32_t number;
	struct wf_active_run *items;
	size_t len;
};

/**
 * wf_baseline_set() - replace the baseline with a copy of @items
 */
void wf_baseline_set(struct wf_baseline *b, uint32_t number,
    const struct wf_active_run *items, size_t len);

void wf_baseline_free(struct wf_baseline *b);

/**
 * wf_delta_compute() - encode a list as a delta
 * @baseline: NULL to encode the list in full
 * @out: its base_list, kept, checkpoints and new_runs fields are set; the
 * caller frees the arrays
 */
void wf_delta_compute(const struct wf_baseline *baseline,
    const struct wf_active_run *items, size_t len,
    struct wf_relayed_result *out);

/**
 * wf_delta_apply() - rebuild a list from a delta
 * @items: set to a new array, freed by the caller
 * Return: false when the delta refers to another list than @baseline or to
 * an index beyond its end.
 */
bool wf_delta_apply(const struct wf_baseline *baseline,
    const struct wf_relayed_result *d, struct wf_active_run **items,
    size_t *len);

#endif

#ifndef WF_DELTA_H
#define WF_DELTA_H

/**
 * DOC: wf_delta
 *
 * A runner's list of active runs, sent between instances as its difference
 * from the one baseline.
 */

#include "wf_event.h"

/**
 * struct wf_baseline - the last list of a runner that both sides have
 * @number: its number; 0 is no list
 */
struct wf_baseline {
	uint32_t number;
	struct wf_active *items;
	size_t len;
};

/**
 * wf_baseline_set() - keep a copy of a list
 */
void wf_baseline_set(struct wf_baseline *b, uint32_t number,
    const struct wf_active *items, size_t len);

void wf_baseline_free(struct wf_baseline *b);

/**
 * wf_delta_compute() - describe a list by its difference from an earlier one
 * @baseline: NULL writes the list in full
 */
void wf_delta_compute(const struct wf_baseline *baseline,
    const struct wf_active *items, size_t len, struct wf_relayed *out);

/**
 * wf_delta_apply() - the list that a difference describes
 * @items: set to a new array, freed by the caller
 * Return: false when it refers to another list than @baseline, or to places
 * that this does not have.
 */
bool wf_delta_apply(const struct wf_baseline *baseline,
    const struct wf_relayed *d, struct wf_active **items, size_t *len);

#endif

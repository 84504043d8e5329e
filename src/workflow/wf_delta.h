#ifndef WF_DELTA_H
#define WF_DELTA_H

/**
 * DOC: wf_delta
 *
 * A runner's list of active runs, sent between instances as its difference
 * from the one before.
 */

#include "wf_event.h"

/**
 * struct wf_seen - the last list of a runner that both sides have
 * @no: its number; 0 is no list
 */
struct wf_seen {
	uint32_t no;
	struct wf_active_run *items;
	size_t len;
};

/**
 * wf_seen_set() - keep a copy of a list
 */
void wf_seen_set(struct wf_seen *s, uint32_t no,
    const struct wf_active_run *items, size_t len);

void wf_seen_free(struct wf_seen *s);

/**
 * wf_delta_make() - describe a list by its difference from an earlier one
 * @before: NULL writes the list in full
 */
void wf_delta_make(const struct wf_seen *before,
    const struct wf_active_run *items, size_t len,
    struct wf_relayed_result *out);

/**
 * wf_delta_apply() - the list that a difference describes
 * @items: set to a new array, freed by the caller
 * Return: false when it refers to another list than @before, or to places
 * that this does not have.
 */
bool wf_delta_apply(const struct wf_seen *before,
    const struct wf_relayed_result *d, struct wf_active_run **items,
    size_t *len);

#endif

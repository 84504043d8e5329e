#ifndef WF_GIVEUP_H
#define WF_GIVEUP_H

/**
 * DOC: wf_giveup
 *
 * Log lines about polls and full reads of the store that were given up. When a
 * link is full, every poll of an instance can end this way, so that only one
 * line an interval is written.
 */

#include "store.h"

/**
 * struct wf_giveup_log - state of the limit on the lines; zero at the start
 * @next_at: when the next line may be written
 * @omitted: calls without a line since the last one
 */
struct wf_giveup_log {
	agb_time next_at;
	uint64_t omitted;
};

/**
 * wf_giveup_call_name() - "poll" or "read"
 */
const char *wf_giveup_call_name(enum agb_store_read read);

/**
 * wf_giveup_reason_name() - "no-response", "stalled" or "too-slow"
 */
const char *wf_giveup_reason_name(enum agb_store_give_up_reason reason);

/**
 * wf_giveup_format() - write the fields of a line
 * Return: false when the line must be omitted.
 */
bool wf_giveup_format(struct wf_giveup_log *l,
    const struct agb_store_give_up *g, agb_time now, char *line, size_t len);

#endif

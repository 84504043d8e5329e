#ifndef WF_RELAY_H
#define WF_RELAY_H

/**
 * DOC: wf_relay
 *
 * Orders that this instance carries out at runners for the leader. It decides
 * nothing of them: it sends each once, in time or not at all, under the fence
 * of the leader it came from, and reports what the runner said.
 */

#include "wf_event.h"
#include "wf_table.h"

/* Tags of calls that ask for the text of a job. */
#define WF_TEXT_TAG ((uint64_t)1 << 56)

struct wf_relay;

/**
 * wf_relay_new() - no orders yet
 * @table: jobs that this instance knows
 */
struct wf_relay *wf_relay_new(struct wf_table *table);

/**
 * wf_relay_free() - free it; orders under way are left to their fate
 * @y: may be NULL
 */
void wf_relay_free(struct wf_relay *y);

/**
 * wf_relay_orders() - a leader hands over orders
 * @token: of its call
 * @open: whether this instance takes any
 */
void wf_relay_orders(struct wf_relay *y, const struct wf_now *now,
    uint64_t token, struct wf_order_batch *orders, bool open,
    struct wf_effects *out);

/**
 * wf_relay_result() - a runner has answered such an order, or has not
 */
void wf_relay_result(struct wf_relay *y, const struct wf_order_result *res);

/**
 * wf_relay_text() - the text of a job has been asked for
 * @text: NULL when it could not be got
 */
void wf_relay_text(struct wf_relay *y, const struct wf_now *now, uint64_t tag,
    const struct wf_payload *text, struct wf_effects *out);

/**
 * wf_relay_tick() - send results that are due
 * Return: when to call again.
 */
agb_time wf_relay_tick(
    struct wf_relay *y, const struct wf_now *now, struct wf_effects *out);

#endif

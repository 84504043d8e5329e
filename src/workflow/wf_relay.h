#ifndef WF_RELAY_H
#define WF_RELAY_H

/**
 * DOC: wf_relay
 *
 * Relaying of a leader's orders to runners. A relay makes no decisions of its
 * own: it sends each order at most once, before the order's deadline and under
 * the fence of the leader that issued it, and reports the runner's answer.
 */

#include "wf_event.h"
#include "wf_table.h"

/* Tag bit of calls that fetch the payload of a job. */
#define WF_PAYLOAD_TAG ((uint64_t)1 << 56)

struct wf_relay;

/**
 * wf_relay_new() - create a relay without orders
 * @table: jobs known to this instance; their payload need not be fetched
 */
struct wf_relay *wf_relay_new(struct wf_table *table);

/**
 * wf_relay_set_text_lifetime() - set how long texts of jobs are used that no start
 * asks for
 * @lifetime: shorter than the records of ended jobs are kept
 */
void wf_relay_set_text_lifetime(struct wf_relay *relay, agb_time lifetime);

/**
 * wf_relay_free() - free a relay
 * @relay: may be NULL
 *
 * Orders that have already been sent may still be carried out; their results
 * are not reported.
 */
void wf_relay_free(struct wf_relay *relay);

/**
 * wf_relay_handle_orders() - accept orders from a leader and send them
 * @token: identifies the leader's call, which is answered at once
 * @open: whether this instance accepts orders at all
 */
void wf_relay_handle_orders(struct wf_relay *relay, const struct wf_now *now,
    uint64_t token, struct wf_order_batch *orders, bool open,
    struct wf_effects *out);

/**
 * wf_relay_handle_result() - queue a runner's answer to a relayed order, or
 * the lack of one, for the leader
 */
void wf_relay_handle_result(
    struct wf_relay *relay, const struct wf_order_result *res);

/**
 * wf_relay_handle_text() - send the starts that wait for the payload of
 * a job
 * @text: NULL when the payload could not be fetched; the starts then fail
 */
void wf_relay_handle_text(struct wf_relay *relay, const struct wf_now *now,
    uint64_t tag, const struct wf_payload *text, struct wf_effects *out);

/**
 * wf_relay_tick() - send the results that are due to the leader
 * Return: when to call again.
 */
agb_time wf_relay_tick(
    struct wf_relay *relay, const struct wf_now *now, struct wf_effects *out);

#endif

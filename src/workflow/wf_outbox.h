#ifndef WF_OUTBOX_H
#define WF_OUTBOX_H

/**
 * DOC: wf_outbox
 *
 * Delivery of the leader's orders to runners. A leader whose machine has the
 * CPU and bandwidth to serve all runners sends the orders itself. Otherwise
 * each runner is assigned a relay, an instance in the runner's failure domain
 * that sends the orders on behalf of the leader. When that relay does not
 * answer, another relay is used; the leader sends the orders itself when no
 * relay is known.
 */

#include "wf_delta.h"
#include "wf_event.h"

struct wf_exec;
struct wf_leader;
struct wf_runner;

/* Capacity of the table of relays. */
#define WF_RELAYS_MAX 256

/* Number of recent calls whose sending times are kept. */
#define WF_OUTBOX_CALLS_MAX 1024

/* Tag bit of calls that carry orders; the tag also holds the relay's handle. */
#define WF_ORDERS_TAG ((uint64_t)1 << 58)

/**
 * struct wf_answer_time - learned time between a message and its answer
 * @undelayed: that time when nothing delays either; 0 while unknown
 * @updated_at: when it was updated
 */
struct wf_answer_time {
	agb_time undelayed;
	agb_time updated_at;
};

/**
 * struct wf_relay_peer - an instance that can relay orders
 * @addr: RPC address; "" in an unused entry
 * @capacity: its capacity for relaying orders, in thousandths of a core
 * @listed: the table of instances contains it
 * @first_order: number of the first order that can be meant for it; earlier
 *	ones went to another instance that had the entry
 * @first_call: the same for calls
 * @clock_offset: lower bound of its clock minus this instance's clock, in
 *	units of agb_time; valid when @clock_read_at is not 0
 * @clock_read_at: when @clock_offset was last set
 * @last_reply_at: when it last answered a call or reported a result
 * @answer_time: of its answers to calls
 * @last_call_at: when the last call was sent to it
 * @excluded_until: it is sent no orders before this time
 * @usable: it can be sent orders now
 * @batch: orders to send at @batch_due_at
 * @batch_cap: allocated length of the orders in @batch
 * @runners_cap: allocated length of the runner addresses in @batch
 */
struct wf_relay_peer {
	agb_id name;
	agb_addr addr;
	agb_id domain;
	uint32_t capacity;
	bool listed;
	uint64_t first_order;
	uint64_t first_call;
	int64_t clock_offset;
	agb_time clock_read_at;
	agb_time last_reply_at;
	struct wf_answer_time answer_time;
	agb_time last_call_at;
	agb_time excluded_until;
	bool usable;
	struct wf_order_batch batch;
	agb_time batch_due_at;
	size_t batch_cap;
	size_t runners_cap;
};

/**
 * struct wf_route - how orders reach a runner
 * @relay: handle of its relay, WF_NO_HANDLE when the leader sends directly
 * @generation: value of wf_outbox.generation when @relay was chosen
 * @skipped_relays: how many entries of the runner's list of relays are
 *	skipped because orders sent through them were not answered
 * @chosen: @relay is set; otherwise the next order chooses a relay
 * @announced: the relay has been sent the runner's address and incarnation
 * @announced_incarnation: incarnation of the runner that was announced
 * @announced_order: number of the first order after the announcement
 * @baseline: last list of active runs that both the leader and the relay hold
 * @answer_time: of the runner's answers to orders of the leader itself
 */
struct wf_route {
	uint32_t relay;
	uint32_t generation;
	uint32_t skipped_relays;
	bool chosen;
	bool announced;
	uint32_t announced_incarnation;
	uint64_t announced_order;
	struct wf_baseline baseline;
	struct wf_answer_time answer_time;
};

struct wf_pending_order;

/* Maximum number of relays of one failure domain. */
#define WF_DOMAIN_RELAYS_MAX 16

/**
 * struct wf_domain_relays - relays of a failure domain
 * @runners: number of listed runners in the domain
 * @relays: handles, best relay first
 */
struct wf_domain_relays {
	agb_id domain;
	uint32_t runners;
	uint32_t relays[WF_DOMAIN_RELAYS_MAX];
	uint32_t relays_len;
};

/**
 * struct wf_outbox - orders that are queued or have no result yet
 * @use_relays: orders are sent through relays
 * @generation: incremented whenever the set of relays in use changes
 * @domains: relays selected for each failure domain
 * @all_relays: relays selected without regard to domains
 * @queue: orders added since the last wf_outbox_flush(), which sends them
 * @pending: orders sent to relays, by order number
 * @call_sent_at: sending times of recent calls, by their number modulo the
 *	length
 * @domains_hash: hash of @domains, to detect a change of the relays
 * @check_at: when to select the usable relays again
 * @expire_at: when to look for orders that have timed out
 */
struct wf_outbox {
	bool use_relays;
	uint32_t generation;
	struct wf_relay_peer *relays;
	uint32_t relays_len;
	struct wf_domain_relays *domains;
	size_t domains_len;
	struct wf_domain_relays all_relays;
	struct wf_order *queue;
	size_t queue_len;
	size_t queue_cap;
	struct wf_pending_order *pending;
	uint64_t last_order_number;
	uint64_t last_call_number;
	agb_time call_sent_at[WF_OUTBOX_CALLS_MAX];
	uint64_t domains_hash;
	agb_time check_at;
	agb_time expire_at;
};

/**
 * wf_outbox_free() - free the outbox
 *
 * Orders that have already been sent are not cancelled and may still be
 * carried out.
 */
void wf_outbox_free(struct wf_leader *l);

/**
 * wf_outbox_update_peers() - update the relays after the set of instances has
 * changed
 */
void wf_outbox_update_peers(struct wf_leader *l);

/**
 * wf_outbox_add() - append a zeroed order to the queue
 * Return: the order, valid until the next call.
 */
struct wf_order *wf_outbox_add(struct wf_leader *l);

/**
 * wf_outbox_flush() - send the queued orders and the batches that are due
 * Return: when to call again.
 */
agb_time wf_outbox_flush(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_outbox_tick() - time out orders without a result and check which
 * instances are usable as relays
 * Return: when to call again.
 */
agb_time wf_outbox_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_outbox_call_done() - handle the end of a call that carried orders
 */
void wf_outbox_call_done(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, const struct wf_orders_ack *done, struct wf_effects *out);

/**
 * wf_outbox_note_direct_answer() - note that a runner has answered an order that
 * the leader sent itself, or that its answer was given up
 * @answered: it was not given up
 *
 * Only for orders that are answered at once.
 */
void wf_outbox_note_direct_answer(struct wf_leader *l, agb_time now,
    struct wf_runner *r, agb_time sent_at, bool answered);

/**
 * wf_outbox_handle_results() - handle results reported by a relay
 */
void wf_outbox_handle_results(struct wf_leader *l, const struct wf_now *now,
    const struct wf_result_batch *results, struct wf_effects *out);

/**
 * wf_outbox_pending_count() - number of orders whose relay has not reported a
 * result
 */
uint32_t wf_outbox_pending_count(const struct wf_outbox *b);

/**
 * wf_outbox_must_wait() - whether to delay orders to a runner because none of
 * its possible relays has answered yet since the election
 */
bool wf_outbox_must_wait(
    const struct wf_leader *l, const struct wf_runner *r, agb_time now);

/**
 * wf_outbox_mark_payload_missing() - record that a relay could not fetch a
 * job's payload, so that later starts through it carry the payload
 */
void wf_outbox_mark_payload_missing(struct wf_exec *e, uint32_t relay);

/**
 * wf_outbox_relay_lost() - exclude a relay that does not answer and end its
 * orders as lost
 * @why: reason for the log
 */
void wf_outbox_relay_lost(struct wf_leader *l, const struct wf_now *now,
    uint32_t relay, const char *why, struct wf_effects *out);

/**
 * wf_outbox_avoid_relay() - route a runner's orders around @relay
 * Return: false when @relay is WF_NO_HANDLE, which means that the order was sent
 * directly.
 */
bool wf_outbox_avoid_relay(struct wf_runner *r, uint32_t relay);

#endif

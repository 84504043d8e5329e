#ifndef WF_OUTBOX_H
#define WF_OUTBOX_H

/**
 * DOC: wf_outbox
 *
 * The leader's orders on their way to runners. A leader whose machine can
 * speak with all runners sends them itself. Else each runner has a relay, an
 * instance of the runner's failure domain, which sends them for it; when that
 * does not answer, the next one does, and at the end the leader itself.
 */

#include "wf_delta.h"
#include "wf_event.h"

struct wf_exec;
struct wf_leader;
struct wf_runner;

/* Relays that are told apart when texts are sent. */
#define WF_RELAYS_MAX 256

/* Tags of calls that hand over orders; the relay's handle is part of them. */
#define WF_ORDERS_TAG ((uint64_t)1 << 58)

/**
 * struct wf_relay_peer - another instance that may carry orders
 * @peer: its address, "" while the place is free
 * @listed: the table has it
 * @clock_off: its clock less this one's, at least; holds when @clock_at > 0
 * @clock_at: when that was learnt
 * @heard_at: when it answered last
 * @asked_at: when a call was sent last
 * @bad_until: takes no orders before
 * @usable: it may be given orders now
 * @batch: orders that are sent at @send_at
 */
struct wf_relay_peer {
	agb_id name;
	agb_addr peer;
	agb_id domain;
	uint32_t capacity;
	bool listed;
	int64_t clock_off;
	agb_time clock_at;
	agb_time heard_at;
	agb_time asked_at;
	agb_time bad_until;
	bool usable;
	struct wf_order_batch batch;
	agb_time send_at;
	size_t batch_cap;
	size_t cards_cap;
};

/**
 * struct wf_route - how a runner is reached
 * @relay: handle of its relay, WF_NO_HANDLE when the leader speaks with it
 * @generation: of the relays that were usable when it was chosen
 * @detour: how many relays are left out, as orders through them had no answer
 * @carded: the relay knows the runner's present life
 * @life: of that card
 * @seen: last list that both sides have
 */
struct wf_route {
	uint32_t relay;
	uint32_t generation;
	uint32_t detour;
	bool chosen;
	bool carded;
	uint32_t life;
	struct wf_seen seen;
};

struct wf_sent;

/* Relays of one failure domain at most. */
#define WF_ZONE_RELAYS_MAX 16

/**
 * struct wf_relay_zone - relays of a failure domain
 */
struct wf_relay_zone {
	agb_id domain;
	uint32_t runners;
	uint32_t relays[WF_ZONE_RELAYS_MAX];
	uint32_t relays_len;
};

/**
 * struct wf_outbox - orders that are not answered
 * @through: runners are reached through relays
 * @all: relays of any domain
 * @queue: orders of this step, which wf_outbox_flush() sends
 * @sent: orders with relays, by their number
 */
struct wf_outbox {
	bool through;
	uint32_t generation;
	struct wf_relay_peer *relays;
	uint32_t relays_len;
	struct wf_relay_zone *zones;
	size_t zones_len;
	struct wf_relay_zone all;
	struct wf_order *queue;
	size_t queue_len;
	size_t queue_cap;
	struct wf_sent *sent;
	uint64_t next_number;
	uint64_t calls;
	uint64_t zones_sum;
	agb_time check_at;
	agb_time expire_at;
};

/**
 * wf_outbox_free() - drop it; orders under way are left to their fate
 */
void wf_outbox_free(struct wf_leader *l);

/**
 * wf_outbox_peers() - the set of instances has changed
 */
void wf_outbox_peers(struct wf_leader *l);

/**
 * wf_outbox_add() - append one zeroed order
 * Return: the order, valid until the next call.
 */
struct wf_order *wf_outbox_add(struct wf_leader *l);

/**
 * wf_outbox_flush() - send the orders of this step
 * Return: when to call again.
 */
agb_time wf_outbox_flush(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_outbox_tick() - give up orders without an answer, and look which
 * instances may carry orders
 * Return: when to call again.
 */
agb_time wf_outbox_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_outbox_taken() - a call with orders has ended
 */
void wf_outbox_taken(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, const struct wf_orders_ack *done, struct wf_effects *out);

/**
 * wf_outbox_results() - a relay reports results
 */
void wf_outbox_results(struct wf_leader *l, const struct wf_now *now,
    const struct wf_result_batch *results, struct wf_effects *out);

/**
 * wf_outbox_waits() - whether a runner is better not called yet, as its relays
 * are only being asked whether they are there
 */
bool wf_outbox_waits(
    const struct wf_leader *l, const struct wf_runner *r, agb_time now);

/**
 * wf_outbox_text_lost() - a relay could not get the text of a job
 */
void wf_outbox_text_lost(struct wf_exec *e, uint32_t relay);

/**
 * wf_outbox_lost() - an instance does not answer
 */
void wf_outbox_lost(struct wf_leader *l, const struct wf_now *now,
    uint32_t relay, const char *why, struct wf_effects *out);

/**
 * wf_outbox_avoid() - reach a runner through another instance than @relay
 * Return: false when @relay is WF_NO_HANDLE: the leader has tried itself.
 */
bool wf_outbox_avoid(struct wf_runner *r, uint32_t relay);

#endif

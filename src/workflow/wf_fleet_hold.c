#include <inttypes.h>

#include "wf_fleet_internal.h"

#define HOLD_INTERVAL_MS 10
/* Interval of holds while the runner lists ends that are not durable yet: such
 * holds return at once instead of waiting. */
#define HOLD_ACK_INTERVAL_MS 80
#define HOLD_ACK_INTERVAL_RELAYED_MS 120
/* The same while links are congested, and at most. */
#define HOLD_ACK_INTERVAL_CONGESTED_MS 400
#define HOLD_ACK_INTERVAL_MAX_MS 500
#define HOLD_RETRY_MS 200
/* An order that fails unsent within this time was refused a connection. One
 * that could not connect in time fails later. */
#define CONNECTION_REFUSED_MS 300
/* A runner counts as silent when it has missed this many holds in a row, and
 * the last one was sent within this time: two holds, each with its time limit
 * and the wait before the next. Older ones say nothing after a pause of this
 * process or a time in which it may not extend leases. */
#define MISSED_HOLDS_MIN 2
#define MISSED_HOLD_AGE_MS 5000

/* Retries a hold that failed through a relay. The order may have been lost at
 * the relay, so the failure is no evidence about the runner until the retry has
 * failed as well. The retry takes another route, unless the relay has reported
 * that it did not send the order. Returns whether the hold is retried. */
static bool
retry_hold(struct wf_runner *r, const struct wf_now *now,
    enum wf_order_status status, uint32_t relay)
{
	const bool lost = status == WF_ORDER_LOST || status == WF_ORDER_UNSENT;

	if (relay == WF_NO_HANDLE || (!lost && status != WF_ORDER_UNRELAYED))
		return false;
	if (lost || r->relay_retried)
		wf_outbox_avoid_relay(r, relay);
	if (r->relay_retried)
		return false;
	r->relay_retried = true;
	r->poll.next_at = now->mono;
	return true;
}

static void
note_missed_hold(struct wf_runner *r, agb_time now, agb_time sent_at)
{
	if (now - r->missed_at > MISSED_HOLD_AGE_MS * AGB_MS)
		r->missed_holds = 0;
	r->missed_holds++;
	r->missed_at = sent_at;
}

static agb_time
hold_interval(
    const struct wf_leader *l, const struct wf_runner *r, agb_time now)
{
	const agb_time least = wf_flow_is_congested(&l->flow, now)
	    ? HOLD_ACK_INTERVAL_CONGESTED_MS * AGB_MS
	    : l->outbox.use_relays ? HOLD_ACK_INTERVAL_RELAYED_MS * AGB_MS
				   : HOLD_ACK_INTERVAL_MS * AGB_MS;

	if (r->processed_seq == r->durable_seq)
		return HOLD_INTERVAL_MS * AGB_MS;
	/* Until the write is answered, the runner can only list the same ends
	 * again. */
	return agb_time_max(least,
	    agb_time_min(l->write_time_us, HOLD_ACK_INTERVAL_MAX_MS * AGB_MS));
}

/* Whether a failed hold shows that no process of the runner exists any more. An
 * answer that is lost and a connection that times out show only that the
 * network does not reach it, and other refusals come from the runner itself. */
static bool
shows_exit(const struct wf_order_result *res, agb_time now)
{
	return res->status == WF_ORDER_OTHER_INCARNATION ||
	    (res->status == WF_ORDER_UNSENT &&
		now - res->sent_at < CONNECTION_REFUSED_MS * AGB_MS);
}

/* Handles a failed hold of a runner that is leaving and whose registry entry is
 * gone: it has exited, or cannot reach the store. */
static void
check_exit(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[res->runner];

	if (shows_exit(res, now->mono)) {
		wf_fleet_requeue_tasks(
		    l, now, res->runner, "runner has exited", out);
		r->reported = false;
	} else if (r->missed_holds == 1) {
		r->poll.next_at = now->mono + HOLD_INTERVAL_MS * AGB_MS;
	}
}

void
wf_fleet_handle_hold_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[res->runner];

	if (res->is_probe) {
		if (res->status != WF_ORDER_OK)
			return;
		r->heard_at = agb_time_max(r->heard_at, res->sent_at);
		wf_fleet_handle_lists(l, now, res->runner, res, out);
		wf_poll_probe_answered(&r->poll, now->mono);
		return;
	}
	if (!wf_poll_hold_ended(&r->poll, res->sent_at)) {
		if (res->status == WF_ORDER_OK)
			wf_fleet_handle_lists(l, now, res->runner, res, out);
		return;
	}
	if (res->status != WF_ORDER_OK && res->status != WF_ORDER_UNRELAYED)
		note_missed_hold(r, now->mono, res->sent_at);
	if (retry_hold(r, now, res->status, res->relay))
		return;
	if (res->status != WF_ORDER_OK) {
		r->poll.next_at = now->mono + HOLD_RETRY_MS * AGB_MS;
		if (!r->silent)
			wf_effects_log(out, AGB_LOG_WARN, "runner",
			    "runner=%s change=silent heard_ms_ago=%" PRIu64
			    " lease_left_ms=%" PRIu64,
			    r->info.id, (now->mono - r->heard_at) / AGB_MS,
			    r->lease_until > now->mono
				? (r->lease_until - now->mono) / AGB_MS
				: 0);
		r->silent = true;
		wf_fleet_exclude(r, now->mono, EXCLUDE_UNANSWERED_MS);
		if (r->has_left)
			check_exit(l, now, res, out);
		return;
	}
	if (r->heard_at == 0 || r->silent ||
	    now->mono - r->heard_at > 2 * AGB_SEC)
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=reached active=%zu ended=%zu", r->info.id,
		    res->active_len, res->finished_len);
	r->silent = false;
	r->missed_holds = 0;
	r->relay_retried = false;
	r->has_left = false;
	r->heard_at = res->sent_at;
	wf_fleet_handle_lists(l, now, res->runner, res, out);
	r->poll.next_at = now->mono + hold_interval(l, r, now->mono);
}

bool
wf_fleet_does_not_answer(const struct wf_runner *r, agb_time now)
{
	return r->info.addr[0] == '\0' ||
	    (r->missed_holds >= MISSED_HOLDS_MIN &&
		now - r->missed_at <= MISSED_HOLD_AGE_MS * AGB_MS);
}

void
wf_fleet_poll(
    struct wf_leader *l, const struct wf_now *now, uint32_t ri, agb_time *next)
{
	struct wf_runner *const r = &l->runners[ri];
	enum wf_poll_action action;
	agb_time when;

	/* A runner that is no longer in the registry is polled as long as tasks
	 * may run there. */
	if (r->info.addr[0] == '\0' || (!r->listed && r->tasks == NULL))
		return;
	action = wf_poll_next(&r->poll, now->mono, &when);
	if (now->mono >= l->extend_until ||
	    wf_outbox_must_wait(l, r, now->mono))
		action = WF_POLL_NOTHING;
	/* While most messages are late, a late answer is no sign of a lost
	 * one. */
	if (action == WF_POLL_PROBE &&
	    wf_flow_is_congested(&l->flow, now->mono)) {
		action = WF_POLL_NOTHING;
		when = now->mono + HOLD_RETRY_MS * AGB_MS;
	}
	if (action == WF_POLL_HOLD)
		wf_fleet_order_hold(l, now, ri);
	if (action == WF_POLL_PROBE) {
		wf_poll_probe_sent(&r->poll);
		wf_fleet_order_extra_hold(l, now, ri);
	}
	if (action == WF_POLL_NOTHING)
		*next = agb_time_min(*next, when);
}

#include <inttypes.h>

#include "wf_fleet_internal.h"

/* How long no new tasks are placed on a runner that was unhealthy, unreachable
 * or full. */
#define EXCLUDE_BUSY_MS 500

static void
handle_start_refused(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, const struct wf_order_result *res,
    struct wf_effects *out)
{
	static const char *const why[] = {
	    [WF_ORDER_UNSENT] = "runner not reached",
	    [WF_ORDER_BUSY] = "runner is unhealthy",
	    [WF_ORDER_FENCED] = "runner has seen a higher fence",
	    [WF_ORDER_OLD] = "runner knows a later run",
	    [WF_ORDER_LATE] = "deadline of the start has passed",
	    [WF_ORDER_NO_ROOM] = "runner has no room",
	    [WF_ORDER_TICKET_EXPIRED] = "approval has expired",
	    [WF_ORDER_OTHER_INCARNATION] = "runner restarted",
	    [WF_ORDER_INVALID] = "runner rejected the start as invalid",
	    [WF_ORDER_UNRELAYED] = "relay did not send the start",
	    [WF_ORDER_NO_PAYLOAD] = "relay could not fetch the text of the job",
	};
	struct wf_runner *const r = &l->runners[t->runner];
	struct wf_approval *a;

	if (res->status == WF_ORDER_TICKET_EXPIRED) {
		a = (struct wf_approval *)(uintptr_t)wf_advice_find(
		    u, t->runner);
		if (a != NULL)
			a->valid_until = 0;
	} else if (res->status == WF_ORDER_BUSY ||
	    res->status == WF_ORDER_UNSENT || res->status == WF_ORDER_NO_ROOM) {
		wf_fleet_exclude(r, now->mono, EXCLUDE_BUSY_MS);
	} else if (res->status == WF_ORDER_INVALID) {
		wf_fleet_exclude(r, now->mono, EXCLUDE_UNANSWERED_MS);
	} else if (res->status == WF_ORDER_OLD) {
		wf_unit_note_old(u, t);
	}
	wf_task_requeue(l, now, u, t, why[res->status], out);
}

void
wf_fleet_handle_start_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, enum answer_origin origin,
    struct wf_effects *out)
{
	struct wf_unit *u;
	struct wf_task *t;

	t = wf_exec_find_task(l, &res->task, &u);
	if (t == NULL || !t->allocated || t->run != res->run ||
	    t->runner != res->runner || t->incarnation != res->incarnation)
		return;
	if (res->status == WF_ORDER_OK) {
		wf_exec_mark_running(l, u->exec);
		u->run_step = 0;
		if (t->state == WF_TASK_SENT && origin == ORIGIN_CURRENT) {
			wf_meter_count(l->meter, WF_TALLY_CONFIRMED);
			t->state = WF_TASK_RUNNING;
		}
		wf_task_confirm(l, t, now->mono);
		return;
	}
	/* The runner may have listed the task as active before the answer was
	 * given up. */
	if (t->state != WF_TASK_SENT)
		return;
	if (res->status == WF_ORDER_NO_PAYLOAD && !t->stopping) {
		wf_outbox_mark_payload_missing(u->exec, res->relay);
		wf_fleet_order_start(l, now, u, t);
		return;
	}
	if (res->status != WF_ORDER_LOST) {
		handle_start_refused(l, now, u, t, res, out);
		return;
	}
	wf_outbox_avoid_relay(&l->runners[t->runner], res->relay);
	wf_fleet_exclude(
	    &l->runners[t->runner], now->mono, EXCLUDE_UNANSWERED_MS);
	wf_task_mark_unanswered(l, t);
	wf_effects_log_run(out, AGB_LOG_INFO, "unanswered", &res->task, t->run,
	    l->runners[t->runner].info.id, "%s", "");
	wf_fleet_order_extra_hold(l, now, t->runner);
}

void
wf_fleet_handle_stop_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_unit *u;
	struct wf_task *t;

	t = wf_exec_find_task(l, &res->task, &u);
	if (t == NULL || !t->allocated || t->run != res->run ||
	    t->runner != res->runner || t->incarnation != res->incarnation)
		return;
	/* A list read from now on that does not contain the run proves that it
	 * is not there. */
	if (res->status != WF_ORDER_OK || t->start_accepted_at != 0)
		return;
	t->start_accepted_at = now->mono;
	wf_fleet_order_extra_hold(l, now, t->runner);
}

void
wf_fleet_retry_stops(struct wf_leader *l, const struct wf_now *now,
    agb_time *next, struct wf_effects *out)
{
	struct wf_task_ref ref;
	struct wf_task *t;
	uint32_t ri;

	for (ri = 0; l->stops_pending > 0 && ri < l->runners_len; ri++) {
		for (t = l->runners[ri].tasks; t != NULL; t = t->next) {
			if (!t->stopping)
				continue;
			if (now->mono >= t->next_stop_at) {
				t->next_stop_at =
				    now->mono + STOP_RETRY_MS * AGB_MS;
				wf_task_ref(t, &ref);
				wf_fleet_order_stop(l, now, ri, &ref, t->run);
			}
			if (t->next_stop_at < *next)
				*next = t->next_stop_at;
		}
	}
}

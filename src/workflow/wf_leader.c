#include "wf_leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"

/* An order has to arrive before the lease ends: it is sent only while the lease
 * is valid for longer than this. */
#define ORDER_TRANSIT_MS 100

bool
wf_leader_may_order(const struct wf_leader *l, agb_time now)
{
	return now + ORDER_TRANSIT_MS * AGB_MS < l->valid_until;
}

void
wf_leader_update_peers(struct wf_leader *l)
{
	wf_advice_update_peers(l);
	wf_outbox_update_peers(l);
}

struct wf_leader *
wf_leader_new(uint64_t fence, const struct wf_config *cfg,
    struct wf_meter *meter, struct wf_table *table, const struct wf_doc *doc,
    const struct wf_now *now, struct wf_effects *out)
{
	struct wf_leader *const l = agb_xcalloc(1, sizeof(*l));
	struct wf_job *j, *j2;
	size_t n;

	l->fence = fence;
	l->cfg = cfg;
	l->meter = meter;
	l->table = table;
	l->doc = doc;
	wf_accounts_set_doc(&l->accounts, doc);
	l->elected_at = now->mono;
	l->next_occurrence_ms = INT64_MAX;
	l->next_collect_at = now->mono + AGB_SEC;
	l->placement_changed = true;
	wf_flow_init(&l->flow, now->mono);
	wf_meter_restart_line(meter, now->mono);
	wf_leader_update_peers(l);
	n = 0;
	for (j = table->jobs; j != NULL; j = j2) {
		j2 = j->hh.next;
		if (j->spec_rev == 0 || wf_job_state_is_final(j->state))
			continue;
		wf_exec_new(l, now, j, out);
		n++;
	}
	wf_effects_log(out, AGB_LOG_INFO, "lead",
	    "change=elected fence=%" PRIu64 " jobs=%zu known=%u", fence, n,
	    HASH_COUNT(table->jobs));
	return l;
}

void
wf_leader_free(struct wf_leader *l)
{
	if (l == NULL)
		return;
	wf_commit_free(l);
	while (l->execs != NULL)
		wf_exec_free(l, l->execs);
	wf_advice_free(l);
	wf_exec_forget_run_times(l);
	wf_outbox_free(l);
	wf_fleet_clear(l);
	wf_accounts_free(&l->accounts);
	wf_show_free(l);
	free(l);
}

void
wf_leader_update_job(struct wf_leader *l, const struct wf_now *now,
    struct wf_job *j, struct wf_effects *out)
{
	if (j->spec_rev == 0)
		return;
	if (j->exec != NULL)
		wf_exec_advance(l, now, j->exec, out);
	else if (!wf_job_state_is_final(j->state)) {
		wf_exec_new(l, now, j, out);
		wf_exec_publish_state(l, j->exec);
	}
}

void
wf_leader_set_doc(struct wf_leader *l, const struct wf_doc *doc)
{
	l->doc = doc;
	wf_accounts_set_doc(&l->accounts, doc);
	l->placement_changed = true;
}

/* Sends the starts whose intents became durable while the lease was in
 * doubt. */
static void
send_deferred_starts(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_exec *e;

	if (!l->starts_deferred || !wf_leader_may_order(l, now->mono))
		return;
	l->starts_deferred = false;
	for (e = l->execs; e != NULL; e = e->next) {
		if (!e->in_flight)
			wf_commit_send_starts(l, now, e, out);
	}
}

void
wf_leader_get_load(const struct wf_leader *l, struct wf_load *out)
{
	const struct wf_unit *u;

	memset(out, 0, sizeof(*out));
	out->queue = l->queue_len;
	out->in_flight = l->flow.in_flight;
	out->limit = l->flow.limit;
	out->orders = wf_outbox_pending_count(&l->outbox);
	out->room = l->pass_room;
	for (u = l->queue; u != NULL; u = u->next)
		out->gangs += wf_unit_step(u)->gang;
}

static bool
has_open_job(const struct wf_leader *l)
{
	const struct wf_exec *e;

	for (e = l->execs; e != NULL; e = e->next) {
		if (!wf_job_state_is_final(e->state))
			return true;
	}
	return false;
}

static void
log_load(
    const struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	char text[WF_METER_LINE_MAX];
	struct wf_load load;

	if (!wf_meter_line_due(l->meter, now->mono))
		return;
	if (has_open_job(l)) {
		wf_leader_get_load(l, &load);
		wf_meter_format_line(l->meter, &load, now->mono, text);
		wf_effects_log(out, AGB_LOG_INFO, "load", "%s", text);
	}
	wf_meter_restart_line(l->meter, now->mono);
}

agb_time
wf_leader_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	agb_time next;

	l->extend_until = l->valid_until + WF_EXTEND_GRACE_MS * AGB_MS;
	log_load(l, now, out);
	next = wf_exec_open_due(l, now, out);
	next = agb_time_min(next, wf_exec_tick(l, now, out));
	wf_meter_lap(l->meter, WF_PART_EVENT);
	next = agb_time_min(next, wf_outbox_tick(l, now, out));
	wf_meter_lap(l->meter, WF_PART_OUTBOX);
	next = agb_time_min(next, wf_fleet_tick(l, now, out));
	wf_meter_lap(l->meter, WF_PART_FLEET);
	next = agb_time_min(next, wf_dispatch(l, now, out));
	wf_meter_lap(l->meter, WF_PART_SORT);
	send_deferred_starts(l, now, out);
	wf_meter_lap(l->meter, WF_PART_COMMIT);
	next = agb_time_min(next, wf_show_tick(l, now, out));
	wf_meter_lap(l->meter, WF_PART_SHOW);
	next = agb_time_min(next, wf_commit_flush(l, now, out));
	wf_meter_lap(l->meter, WF_PART_COMMIT);
	next = agb_time_min(next, wf_outbox_flush(l, now, out));
	wf_meter_lap(l->meter, WF_PART_OUTBOX);
	return next;
}

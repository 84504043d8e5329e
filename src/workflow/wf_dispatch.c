#include <stdlib.h>

#include "mem.h"
#include "wf_dispatch_internal.h"

/* Minimum time between two passes over the queue. It grows by 1 ms for every
 * PASS_UNITS_PER_MS queued units. */
#define PASS_INTERVAL_MS 8
#define PASS_UNITS_PER_MS 12
/* While units are queued a pass is made after this time even if nothing has
 * changed. */
#define PASS_INTERVAL_MAX_MS 50
/* Passes take at most one part in PASS_TIME_FACTOR of the leader's time, which
 * also has to send orders and handle answers before they are out of date. A
 * single long pass, such as the first one after an election, delays the next
 * by no more than PASS_DELAY_MAX_MS. */
#define PASS_TIME_FACTOR 3
#define PASS_DELAY_MAX_MS 400
/* One pass reserves room for at most RESERVATIONS_MIN gangs, plus one for every
 * RUNNERS_PER_RESERVATION runners. A gang gets no reservation before it has
 * waited for RESERVE_AFTER_MS. */
#define RESERVATIONS_MIN 6
#define RUNNERS_PER_RESERVATION 12
#define RESERVE_AFTER_MS 150

/* Whether a gang cannot be placed now. It starts as a whole, once no task of an
 * earlier run is allocated. Only members whose start has failed are assigned
 * later than the others, until the repair deadline. */
static bool
gang_blocked(const struct wf_unit *u, agb_time now)
{
	return u->active > 0 ? now >= u->repair_deadline : u->allocated > 0;
}

/* Whether tasks that are assigned wait for the rest of the unit: members of a
 * gang, for those whose start has failed. */
static bool
is_awaited(const struct wf_unit *u)
{
	return wf_unit_step(u)->gang && u->active > 0;
}

static bool
may_reserve(const struct dispatch_pass *p)
{
	return p->reservations_made <
	    RESERVATIONS_MIN + p->l->runners_len / RUNNERS_PER_RESERVATION;
}

static void
place_gang(struct dispatch_pass *p, struct wf_unit *u, const struct wf_queue *q)
{
	const struct wf_step *const step = wf_unit_step(u);
	struct gang_plan plan = {.start_at = AGB_TIME_MAX};
	size_t len, stale_len, i;
	uint64_t room;
	bool may_request;

	if (u->active > 0 && u->repair_deadline > 0 &&
	    p->now->mono >= u->repair_deadline)
		wf_gang_stop(p->l, p->now, u, p->out);
	if (gang_blocked(u, p->now->mono) || dispatch_account_room(p, u) == 0)
		return;
	len = dispatch_collect_candidates(p, u, q, &stale_len);
	len = dispatch_prefer_data_rack(p, u, len);
	if (step->rack_local)
		len = dispatch_confine_to_one_rack(
		    p->candidates, len, u->waiting);
	room = 0;
	for (i = 0; i < len; i++)
		room += p->candidates[i].fit;
	if (room >= u->waiting) {
		if (dispatch_gang_waits(p, u, q, len, may_reserve(p))) {
			dispatch_claim_with_tickets(p, u, q);
			return;
		}
		dispatch_sort_candidates(p->candidates, len);
		dispatch_place_tasks(p, u, p->candidates, len);
		return;
	}
	if (dispatch_gang_keeps_waiting(p, u, q, may_reserve(p))) {
		dispatch_claim_with_tickets(p, u, q);
		return;
	}
	p->kept_out += room + p->fit_reserved >= u->waiting;
	dispatch_note_lack_of_room(p, u, q);
	may_request = dispatch_may_request_advice(p, u, q);
	if (!may_request && !dispatch_gets_tickets(p, u, q))
		return;
	if (may_reserve(p) &&
	    p->now->mono - u->ready_at >= RESERVE_AFTER_MS * AGB_MS)
		dispatch_plan_gang(p, u, q, &plan);
	if (plan.start_at != AGB_TIME_MAX && stale_len == 0 &&
	    q->advice_required) {
		/* Tickets have to be valid when there is room. */
		for (i = 0; i < u->approvals_len; i++) {
			if (u->approvals[i].approved &&
			    u->approvals[i].valid_until < plan.start_at)
				stale_len++;
		}
	}
	/* Renews also the tickets of runners without room now, which may have
	 * it when the gang starts. */
	if (stale_len > 0) {
		stale_len = plan.to_renew;
		for (i = 0; i < stale_len; i++)
			p->stale[i] = plan.offers[i].runner;
	}
	if (may_request)
		dispatch_request_advice(p, u, q, stale_len, plan.start_at);
	dispatch_claim_with_tickets(p, u, q);
	/* Room would stand idle for a gang that cannot get tickets now. */
	if (plan.start_at != AGB_TIME_MAX && dispatch_gets_tickets(p, u, q))
		dispatch_reserve_for_gang(p, u, &plan);
	free(plan.offers);
}

static void
place_tasks(
    struct dispatch_pass *p, struct wf_unit *u, const struct wf_queue *q)
{
	size_t len, stale_len;

	if (dispatch_account_room(p, u) == 0)
		return;
	len = dispatch_collect_candidates(p, u, q, &stale_len);
	if (wf_unit_step(u)->rack_local)
		len = dispatch_confine_to_one_rack(
		    p->candidates, len, u->waiting);
	dispatch_sort_candidates(p->candidates, len);
	if (dispatch_wants_near(p, u))
		dispatch_place_near_first(p, u, q, len);
	else if (len > 0)
		dispatch_place_tasks(p, u, p->candidates, len);
	if (len == 0)
		p->kept_out += p->fit_reserved > 0;
	if (u->waiting == 0 || dispatch_account_room(p, u) == 0)
		return;
	dispatch_note_lack_of_room(p, u, q);
	if (dispatch_may_request_advice(p, u, q))
		dispatch_request_advice(p, u, q, stale_len, p->now->mono);
	dispatch_claim_with_tickets(p, u, q);
}

agb_time
wf_dispatch_interval(uint32_t queue_len, agb_time pass_time)
{
	const agb_time by_queue =
	    (PASS_INTERVAL_MS + queue_len / PASS_UNITS_PER_MS) * AGB_MS;
	const agb_time by_time = agb_time_min(
	    PASS_TIME_FACTOR * pass_time, PASS_DELAY_MAX_MS * AGB_MS);

	return agb_time_max(by_queue, by_time);
}

/* Records for the log and the metrics how much room the pass has left. */
static void
record_room(const struct dispatch_pass *p)
{
	struct wf_pass_room *const room = &p->l->pass_room;
	int64_t cpu, reserved;
	uint32_t ri;

	*room = (struct wf_pass_room){.kept_out = p->kept_out};
	for (ri = 0; ri < p->l->runners_len; ri++) {
		cpu = wf_runner_free_resources(&p->l->runners[ri]).cpu_milli;
		reserved = p->reservations[ri].need.cpu_milli;
		if (!wf_fleet_usable(&p->l->runners[ri], p->now->mono))
			continue;
		room->free_cpu_milli += cpu;
		room->reserved_cpu_milli += reserved < cpu ? reserved : cpu;
	}
}

agb_time
wf_dispatch(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct dispatch_pass p = {.l = l, .now = now, .out = out};
	struct queued_unit *list;
	enum wf_part part;
	agb_time interval, dispatch_time;
	size_t len, i;
	bool gang;

	if (l->queue_len == 0 || l->doc == NULL ||
	    !wf_leader_may_order(l, now->mono))
		return AGB_TIME_MAX;
	if (!wf_fleet_reported(l, now->mono))
		return now->mono + PASS_INTERVAL_MS * AGB_MS;
	if (!l->placement_changed &&
	    now->mono < l->last_dispatch_at + PASS_INTERVAL_MAX_MS * AGB_MS)
		return l->last_dispatch_at + PASS_INTERVAL_MAX_MS * AGB_MS;
	interval = wf_dispatch_interval(l->queue_len, l->pass_time);
	if (now->mono < l->last_dispatch_at + interval)
		return l->last_dispatch_at + interval;
	l->last_dispatch_at = now->mono;
	l->placement_changed = false;
	dispatch_time = wf_meter_dispatch_time(l->meter);
	len = dispatch_sort_queue(l, now->mono, &list);
	wf_meter_add_examined(l->meter, len);
	wf_advice_update_claims(l, now->mono);
	wf_advice_update_clients(l, now->mono);
	p.units = list;
	p.units_len = len;
	p.candidates = agb_xcalloc(l->runners_len + 1, sizeof(*p.candidates));
	p.stale = agb_xcalloc(l->runners_len + 1, sizeof(*p.stale));
	p.rooms = agb_xcalloc(l->runners_len + 1, sizeof(*p.rooms));
	p.rooms_soon = agb_xcalloc(l->runners_len + 1, sizeof(*p.rooms_soon));
	p.reservations =
	    agb_xcalloc(l->runners_len + 1, sizeof(*p.reservations));
	p.run_ends = agb_xcalloc(l->runners_len + 1, sizeof(*p.run_ends));
	p.ends_cap = l->runners_len + 1;
	p.ends = agb_xcalloc(p.ends_cap, sizeof(*p.ends));
	part = WF_PART_SORT;
	for (i = 0; i < len; i++) {
		if (wf_flow_room(&l->flow) == 0 && !is_awaited(list[i].unit))
			continue;
		gang = wf_unit_step(list[i].unit)->gang;
		if (part != (gang ? WF_PART_GANGS : WF_PART_TASKS)) {
			wf_meter_lap(l->meter, part);
			part = gang ? WF_PART_GANGS : WF_PART_TASKS;
		}
		if (gang)
			place_gang(&p, list[i].unit, list[i].queue);
		else
			place_tasks(&p, list[i].unit, list[i].queue);
	}
	wf_meter_lap(l->meter, part);
	l->pass_time = wf_meter_dispatch_time(l->meter) - dispatch_time;
	if (wf_flow_room(&l->flow) == 0)
		wf_flow_note_held_back(&l->flow);
	/* The next pass prefers runners without reservations made in this
	 * one. */
	for (i = 0; i < l->runners_len; i++)
		l->runners[i].reserved = p.reservations[i].start_at > 0;
	record_room(&p);
	dispatch_end_accounts(&p, list, len);
	free(p.near);
	free(p.run_ends);
	free(p.ends);
	free(p.reservations);
	free(p.stale);
	free(p.rooms);
	free(p.rooms_soon);
	free(p.candidates);
	free(list);
	return now->mono + PASS_INTERVAL_MAX_MS * AGB_MS;
}

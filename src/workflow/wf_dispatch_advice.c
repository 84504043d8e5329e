#include <stdlib.h>
#include <string.h>

#include "wf_dispatch_internal.h"

/* Advice that takes no longer than this is not requested before there is room,
 * as its tickets would expire while the unit waits. */
#define ADVICE_FAST_MS 150
/* Time between the decision to renew tickets and the starts, beyond the time
 * that the advice takes. */
#define RENEW_MARGIN_MS 150

static int
compare_rooms(const void *a, const void *b)
{
	const struct runner_room *const x = a, *const y = b;

	return x->cpu > y->cpu ? -1 : x->cpu < y->cpu ? 1 : 0;
}

/* Lists the usable runners of a service, those with the most free processors
 * first. The list is kept while consecutive units are of the same service: its
 * figures can only be too high, as tasks assigned since then take room. */
static void
update_service_rooms(struct dispatch_pass *p, const char *service)
{
	const struct wf_runner *r;
	uint32_t ri;
	int64_t cpu;

	if (p->service != NULL && strcmp(p->service, service) == 0)
		return;
	p->service = service;
	p->rooms_len = 0;
	p->free_cpu = 0;
	for (ri = 0; ri < p->l->runners_len; ri++) {
		r = &p->l->runners[ri];
		cpu = wf_runner_free_resources(r).cpu_milli;
		if (!wf_fleet_usable(r, p->now->mono) || cpu <= 0 ||
		    strcmp(r->info.service, service) != 0)
			continue;
		p->rooms[p->rooms_len].runner = ri;
		p->rooms[p->rooms_len++].cpu = cpu;
		p->free_cpu += cpu;
	}
	if (p->rooms_len > 1)
		qsort(p->rooms, p->rooms_len, sizeof(*p->rooms), compare_rooms);
}

/* Whether there is room for one task of the unit beyond the claims of the units
 * before it. */
static bool
has_room(struct dispatch_pass *p, const struct wf_unit *u, const char *service)
{
	const struct wf_step *const step = wf_unit_step(u);
	const int64_t cpu = step->need.cpu_milli > 0 ? step->need.cpu_milli : 1;
	const struct wf_runner *r;
	int64_t room;
	size_t i;

	update_service_rooms(p, service);
	if (p->free_cpu <= p->claimed_cpu_milli)
		return false;
	room = -p->claimed_cpu_milli;
	for (i = 0; i < p->rooms_len && room <= 0; i++) {
		if (p->rooms[i].cpu < step->need.cpu_milli)
			break;
		r = &p->l->runners[p->rooms[i].runner];
		if (wf_runner_has_label(&r->info, step->label))
			room += cpu *
			    wf_step_fit_count(
				step, wf_runner_free_resources(r));
	}
	return room > 0;
}

struct agb_resources
dispatch_room_at(struct dispatch_pass *p, uint32_t ri, agb_time when)
{
	const struct run_ends *const e = dispatch_run_ends(p, ri);
	struct agb_resources room;
	uint32_t i;

	room = wf_runner_free_resources(&p->l->runners[ri]);
	for (i = 0; i < e->len && p->ends[e->first + i].at <= when; i++)
		agb_resources_add(&room, &p->ends[e->first + i].need);
	return room;
}

/* Computes the room that the runners of a queue's service will have when calls
 * for advice that begin now are answered. It is kept for the pass: tasks
 * assigned since then take of it. */
static void
update_rooms_soon(struct dispatch_pass *p, const struct wf_queue *q)
{
	const agb_time when = p->now->mono +
	    (wf_advice_call_ms(q, WF_ADVICE_RUNNERS_MAX) + RENEW_MARGIN_MS) *
		AGB_MS;
	const struct wf_runner *r;
	uint32_t ri;

	if (p->soon_queue == q)
		return;
	p->soon_queue = q;
	p->soon_cpu_milli = 0;
	for (ri = 0; ri < p->l->runners_len; ri++) {
		r = &p->l->runners[ri];
		p->rooms_soon[ri] = (struct agb_resources){0};
		if (!wf_fleet_usable(r, p->now->mono) ||
		    strcmp(r->info.service, q->service) != 0)
			continue;
		p->rooms_soon[ri] = dispatch_room_at(p, ri, when);
		p->soon_cpu_milli += p->rooms_soon[ri].cpu_milli;
	}
	wf_meter_add_examined(p->l->meter, p->l->runners_len);
}

/* As has_room(), for a unit whose advice takes long: whether all tasks that start
 * together will have room when the advice is there. The first one need not, so
 * that a gang that is wider than the room asks in the end. */
static bool
has_room_soon(
    struct dispatch_pass *p, const struct wf_unit *u, const struct wf_queue *q)
{
	const struct wf_step *const step = wf_unit_step(u);
	const int64_t cpu = step->need.cpu_milli > 0 ? step->need.cpu_milli : 1;
	uint32_t ri;
	int64_t left;

	if (p->awaited_cpu_milli == 0)
		return true;
	update_rooms_soon(p, q);
	left = p->awaited_cpu_milli + (step->gang ? u->waiting : 1) * cpu;
	if (left > p->soon_cpu_milli)
		return false;
	for (ri = 0; ri < p->l->runners_len && left > 0; ri++) {
		if (wf_runner_has_label(&p->l->runners[ri].info, step->label))
			left -=
			    cpu * wf_step_fit_count(step, p->rooms_soon[ri]);
	}
	wf_meter_add_examined(p->l->meter, ri);
	return left <= 0;
}

bool
dispatch_may_request_advice(
    struct dispatch_pass *p, const struct wf_unit *u, const struct wf_queue *q)
{
	if (!q->advice_required || u->calls_pending > 0 ||
	    p->now->mono < u->advice_retry_at)
		return false;
	/* Tickets of tasks that the limit of starts holds back would expire. */
	if (p->tasks_with_advice > 0 &&
	    p->tasks_with_advice >= wf_flow_starts_within(&p->l->flow,
					p->now->mono, q->ticket_valid_ms / 2))
		return false;
	return q->advice_base_ms > ADVICE_FAST_MS ? has_room_soon(p, u, q)
						  : has_room(p, u, q->service);
}

bool
dispatch_gets_tickets(const struct dispatch_pass *p, const struct wf_unit *u,
    const struct wf_queue *q)
{
	return !q->advice_required || u->calls_pending > 0 ||
	    wf_advice_has_ticket(u, p->now->mono);
}

void
dispatch_request_advice(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, size_t stale_len, agb_time start_at)
{
	const agb_time lead_time =
	    (wf_advice_call_ms(q, stale_len) + RENEW_MARGIN_MS) * AGB_MS;

	if (stale_len > 0 && start_at <= p->now->mono + lead_time)
		wf_advice_renew(p->l, p->now, u, p->stale, stale_len, p->out);
	wf_advice_request(p->l, p->now, u, p->out);
}

void
dispatch_claim_with_tickets(
    struct dispatch_pass *p, const struct wf_unit *u, const struct wf_queue *q)
{
	uint32_t tasks;

	if (!q->advice_required || !dispatch_gets_tickets(p, u, q))
		return;
	tasks = dispatch_account_room(p, u);
	p->tasks_with_advice += tasks;
	if (q->advice_base_ms <= ADVICE_FAST_MS)
		p->claimed_cpu_milli += tasks * wf_unit_step(u)->need.cpu_milli;
	else
		p->awaited_cpu_milli += tasks * wf_unit_step(u)->need.cpu_milli;
}

#include <inttypes.h>

#include "mem.h"
#include "wf_fleet_internal.h"

/* Deadline of a start. A runner refuses a start that arrives later. */
#define START_DEADLINE_MS 1500
#define START_TIMEOUT_MS 300
#define STOP_TIMEOUT_MS 400
/* Longest time for which a hold waits at the runner for a run to end. */
#define HOLD_WAIT_MS 1000
#define HOLD_TIMEOUT_MS 1600

int64_t
wf_fleet_clock_ms(const struct wf_runner *r, agb_time at)
{
	const agb_time since = (at - r->clock_at) / AGB_MS;

	return r->clock_ms + (int64_t)(since * 1000 / LEASE_SLOW_PERMILLE);
}

struct wf_order *
wf_fleet_add_order(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    enum wf_order_kind kind, uint32_t timeout_ms)
{
	const struct wf_runner *const r = &l->runners[ri];
	struct wf_order *const o = wf_outbox_add(l);

	o->kind = kind;
	o->runner = ri;
	o->incarnation = r->incarnation;
	o->sent_at = now->mono;
	agb_str_copy(o->runner_id, sizeof(o->runner_id), r->info.id);
	agb_str_copy(o->addr, sizeof(o->addr), r->info.addr);
	o->fence = l->fence;
	o->timeout_ms = timeout_ms;
	return o;
}

void
wf_fleet_extend_lease(struct wf_runner *r, agb_time now, uint32_t ms)
{
	const agb_time until =
	    now + (agb_time)ms * LEASE_SLOW_PERMILLE + LEASE_MARGIN_MS * AGB_MS;

	if (until > r->lease_until)
		r->lease_until = until;
}

void
wf_fleet_order_start(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t)
{
	struct wf_runner *const r = &l->runners[t->runner];
	const struct wf_spec *const spec = &u->exec->job->spec;
	const struct wf_approval *a;
	struct wf_order *o;

	t->start_deadline_ms =
	    wf_fleet_clock_ms(r, now->mono) + START_DEADLINE_MS;
	wf_fleet_extend_lease(r, now->mono, START_DEADLINE_MS);
	o = wf_fleet_add_order(
	    l, now, t->runner, WF_ORDER_START, START_TIMEOUT_MS);
	wf_task_ref(t, &o->task);
	o->run = t->run;
	o->deadline_ms = t->start_deadline_ms;
	o->payload = agb_xmemdup(spec->payload, spec->payload_len);
	o->payload_len = spec->payload_len;
	if (t->checkpoint != NULL)
		agb_str_copy(
		    o->checkpoint, sizeof(o->checkpoint), t->checkpoint);
	a = wf_advice_find(u, t->runner);
	if (a != NULL && a->approved) {
		agb_str_copy(o->ticket, sizeof(o->ticket), a->ticket);
		wf_meter_add_approval_age(l->meter, now->mono - a->received_at);
	}
}

void
wf_fleet_send_start(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, struct wf_effects *out)
{
	const struct wf_runner *const r = &l->runners[t->runner];
	struct wf_task_ref ref;

	t->state = WF_TASK_SENT;
	t->sent_at = now->mono;
	t->progress_run = 0;
	t->pace_percent = 100;
	t->resumed = t->checkpoint != NULL;
	wf_fleet_order_start(l, now, u, t);
	wf_task_ref(t, &ref);
	wf_effects_log_run(out, AGB_LOG_INFO, "start", &ref, t->run, r->info.id,
	    "fence=%" PRIu64 " document=%" PRIu64 " waited_ms=%" PRIu64
	    " free_cpu=%" PRId64,
	    l->fence, l->doc != NULL ? l->doc->version : 0,
	    (now->mono - u->ready_at) / AGB_MS,
	    wf_runner_free_resources(r).cpu_milli);
}

void
wf_fleet_order_stop(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_task_ref *ref, uint32_t run)
{
	struct wf_order *const o =
	    wf_fleet_add_order(l, now, ri, WF_ORDER_STOP, STOP_TIMEOUT_MS);

	o->task = *ref;
	o->run = run;
}

void
wf_fleet_order_extra_hold(
    struct wf_leader *l, const struct wf_now *now, uint32_t ri)
{
	struct wf_order *const o =
	    wf_fleet_add_order(l, now, ri, WF_ORDER_HOLD, START_TIMEOUT_MS);

	o->is_probe = true;
}

void
wf_fleet_order_hold(struct wf_leader *l, const struct wf_now *now, uint32_t ri)
{
	struct wf_runner *const r = &l->runners[ri];
	struct wf_order *const o =
	    wf_fleet_add_order(l, now, ri, WF_ORDER_HOLD, HOLD_TIMEOUT_MS);
	/* The first hold only reads the lists and the clock. A hold to a runner
	 * that does not answer must not extend its lease, which has to expire
	 * before its tasks start elsewhere. It must not acknowledge ends
	 * either: the runner may have restarted and number its ends from the
	 * beginning, and a hold carried out late would remove ends that nobody
	 * has read. */
	const bool only_reads = !r->reported || r->clock_ms == 0 || r->silent;

	o->wait_ms =
	    only_reads || r->processed_seq > r->durable_seq ? 0 : HOLD_WAIT_MS;
	wf_poll_hold_sent(&r->poll, now->mono, o->wait_ms);
	if (only_reads)
		return;
	o->forget_seq = r->durable_seq;
	o->known_seq = r->processed_seq;
	o->deadline_ms = wf_fleet_clock_ms(r, now->mono) + RUNNER_LEASE_MS;
	wf_fleet_extend_lease(r, now->mono, RUNNER_LEASE_MS);
}

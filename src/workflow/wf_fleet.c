#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_fleet_internal.h"

#define TICK_INTERVAL_MS 3
/* The leader steps down when two runners report a higher fence within this
 * time. */
#define FENCED_WINDOW_MS 3000
#define LISTED_REQUEUE_DELAY_MS 3000
/* After an election, placement waits this long at most, or until this share of
 * the runners has listed its tasks. */
#define RECOVERY_WAIT_MS 300
#define RECOVERY_RUNNERS_PERCENT 85
/* A runner that is not listed and has no tasks is removed after this time. */
#define RUNNER_FORGET_MS 30000

bool
wf_fleet_usable(const struct wf_runner *r, agb_time now)
{
	return r->used && r->listed && r->reported && !r->info.draining &&
	    r->info.started_ms == r->started_ms && now >= r->excluded_until;
}

struct agb_resources
wf_runner_free_resources(const struct wf_runner *r)
{
	struct agb_resources room = r->info.capacity;

	agb_resources_sub(&room, &r->allocated);
	return room;
}

const char *
wf_runner_rack(const struct wf_runner *r)
{
	return r->info.labels_len > 0 ? r->info.labels[r->info.labels_len - 1]
				      : "";
}

bool
wf_fleet_eligible(const struct wf_runner *r, const struct wf_step *step,
    const char *service, agb_time now)
{
	return wf_fleet_usable(r, now) &&
	    strcmp(r->info.service, service) == 0 &&
	    wf_runner_has_label(&r->info, step->label);
}

bool
wf_fleet_reported(const struct wf_leader *l, agb_time now)
{
	uint32_t i, listed, reported;

	if (!l->registry_seen)
		return false;
	if (now > l->elected_at + RECOVERY_WAIT_MS * AGB_MS)
		return true;
	listed = 0;
	reported = 0;
	for (i = 0; i < l->runners_len; i++) {
		listed += l->runners[i].used && l->runners[i].listed;
		reported += l->runners[i].used && l->runners[i].reported;
	}
	return reported * 100 >= listed * RECOVERY_RUNNERS_PERCENT;
}

uint32_t
wf_fleet_find(const struct wf_leader *l, const char *id)
{
	const struct wf_runner_by_id *x;

	HASH_FIND_STR(l->runners_by_id, id, x);
	return x != NULL ? x->runner : WF_NO_HANDLE;
}

static void
index_add(struct wf_leader *l, const char *id, uint32_t runner)
{
	struct wf_runner_by_id *const x = agb_xcalloc(1, sizeof(*x));

	agb_str_copy(x->id, sizeof(x->id), id);
	x->runner = runner;
	HASH_ADD_STR(l->runners_by_id, id, x);
}

static void
index_remove(struct wf_leader *l, const char *id)
{
	struct wf_runner_by_id *x;

	HASH_FIND_STR(l->runners_by_id, id, x);
	if (x == NULL)
		return;
	HASH_DEL(l->runners_by_id, x);
	free(x);
}

static uint32_t
alloc_runner_slot(struct wf_leader *l)
{
	uint32_t i;

	for (i = 0; i < l->runners_len; i++) {
		if (!l->runners[i].used)
			return i;
	}
	l->runners = agb_xreallocarray(
	    l->runners, l->runners_len + 1, sizeof(*l->runners));
	memset(&l->runners[l->runners_len], 0, sizeof(*l->runners));
	return l->runners_len++;
}

uint32_t
wf_fleet_find_or_add(struct wf_leader *l, const char *id, agb_time now)
{
	struct wf_runner *r;
	uint32_t i;

	i = wf_fleet_find(l, id);
	if (i != WF_NO_HANDLE)
		return i;
	i = alloc_runner_slot(l);
	r = &l->runners[i];
	wf_baseline_free(&r->route.baseline);
	memset(r, 0, sizeof(*r));
	r->pace_percent = 100;
	r->used = true;
	r->incarnation = wf_fleet_next_incarnation(l);
	r->unlisted_at = now;
	r->poll.next_at = now;
	/* The previous leader may have extended leases until its own right to
	 * do so expired. */
	r->lease_until = l->elected_at +
	    (agb_time)(WF_EXTEND_GRACE_MS + RUNNER_LEASE_MS) *
		LEASE_SLOW_PERMILLE;
	agb_str_copy(r->info.id, sizeof(r->info.id), id);
	index_add(l, id, i);
	return i;
}

void
wf_fleet_release_or_requeue(struct wf_leader *l, const struct wf_now *now,
    struct wf_task *t, const char *why, struct wf_effects *out)
{
	if (t->state == WF_TASK_DONE)
		wf_task_release(l, t->unit, t);
	else
		wf_task_requeue(l, now, t->unit, t, why, out);
}

/* Requeues all tasks assigned to a runner. Called when they certainly do not
 * run there any more. */
void
wf_fleet_requeue_tasks(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, const char *why, struct wf_effects *out)
{
	while (l->runners[ri].tasks != NULL)
		wf_fleet_release_or_requeue(
		    l, now, l->runners[ri].tasks, why, out);
}

void
wf_fleet_clear(struct wf_leader *l)
{
	struct wf_runner_by_id *x, *next;
	uint32_t i;

	for (i = 0; i < l->runners_len; i++)
		free(l->runners[i].orphan_runs);
	free(l->runners);
	x = l->runners_by_id;
	HASH_CLEAR(hh, l->runners_by_id);
	for (; x != NULL; x = next) {
		next = x->hh.next;
		free(x);
	}
}

void
wf_fleet_exclude(struct wf_runner *r, agb_time now, uint32_t ms)
{
	const agb_time until = now + (agb_time)ms * AGB_MS;

	if (until > r->excluded_until)
		r->excluded_until = until;
}

static void
handle_order_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, enum answer_origin origin,
    struct wf_effects *out)
{
	switch (res->kind) {
	case WF_ORDER_START:
		wf_fleet_handle_start_result(l, now, res, origin, out);
		break;
	case WF_ORDER_STOP:
		wf_fleet_handle_stop_result(l, now, res, out);
		break;
	case WF_ORDER_HOLD:
		wf_fleet_handle_hold_result(l, now, res, out);
		break;
	case WF_ORDER_PACE:
		wf_fleet_handle_pace_result(l, res);
		break;
	}
}

/* Whether the time to the result of an order is that of the messages alone: the
 * leader has sent it itself, and the runner answers at once. A silent runner
 * tells nothing about the way to the others. */
static bool
tells_answer_time(const struct wf_runner *r, const struct wf_order_result *res)
{
	if (res->relay != WF_NO_HANDLE || r->silent ||
	    res->status == WF_ORDER_UNSENT)
		return false;
	return res->kind != WF_ORDER_HOLD || res->is_probe ||
	    wf_poll_is_immediate(&r->poll, res->sent_at);
}

void
wf_fleet_handle_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	enum answer_origin origin;
	struct wf_runner *r;

	/* Handles from an earlier term as leader are not valid. */
	if (res->fence != l->fence || res->runner >= l->runners_len)
		return;
	wf_meter_add_result(l->meter, res, now->mono);
	r = &l->runners[res->runner];
	if (!r->used || r->incarnation != res->incarnation)
		return;
	if (tells_answer_time(r, res))
		wf_outbox_note_direct_answer(l, now->mono, r, res->sent_at,
		    res->status != WF_ORDER_LOST);
	if (res->status == WF_ORDER_FENCED) {
		wf_effects_log(out, AGB_LOG_WARN, "fenced",
		    "runner=%s fence=%" PRIu64, r->info.id, l->fence);
		wf_fleet_exclude(r, now->mono, EXCLUDE_UNANSWERED_MS);
		/* A single report may come from a faulty runner. Another leader
		 * is assumed when a second runner reports it, too. */
		if (l->fenced_at > 0 && l->fenced_by != res->runner &&
		    now->mono - l->fenced_at < FENCED_WINDOW_MS * AGB_MS)
			l->leadership_lost = true;
		l->fenced_at = now->mono;
		l->fenced_by = res->runner;
		handle_order_result(l, now, res, ORIGIN_CURRENT, out);
		return;
	}
	origin = wf_fleet_answer_origin(r, now->mono, res);
	if (origin == ORIGIN_OTHER) {
		wf_fleet_handle_restart(
		    l, now, res->runner, res->started_ms, out);
		r->named = true;
		return;
	}
	if (origin == ORIGIN_UNKNOWN)
		wf_fleet_lose_identity(l, now, res, out);
	r->named = r->named || res->started_ms > 0;
	if (origin != ORIGIN_UNKNOWN && res->clock_ms > 0 &&
	    res->status == WF_ORDER_OK) {
		r->clock_ms = res->clock_ms;
		r->clock_at = now->mono;
	}
	handle_order_result(l, now, res, origin, out);
}

/* How long after the end of a runner's lease its tasks are requeued. A runner
 * that is listed in the registry is alive but cannot be reached; the delay
 * avoids repeating runs that it finished in time but could not report. */
static agb_time
requeue_delay(const struct wf_runner *r)
{
	return r->listed ? LISTED_REQUEUE_DELAY_MS * AGB_MS : 0;
}

static void
tick_runner(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    agb_time *next, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];

	if (r->tasks != NULL && now->mono > r->lease_until + requeue_delay(r) &&
	    now->mono - r->heard_at > RUNNER_LEASE_MS * AGB_MS &&
	    wf_fleet_does_not_answer(r, now->mono)) {
		wf_fleet_requeue_tasks(
		    l, now, ri, "its lease has run out", out);
		r->reported = false;
	}
	if (!r->listed && r->tasks == NULL &&
	    now->mono - r->unlisted_at > RUNNER_FORGET_MS * AGB_MS) {
		wf_fleet_clear_orphan_runs(l, r);
		index_remove(l, r->info.id);
		r->used = false;
		return;
	}
	wf_fleet_poll(l, now, ri, next);
}

agb_time
wf_fleet_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	agb_time next;
	uint32_t ri;

	/* With many runners, several events arrive within one interval. One
	 * pass over the runners serves them all. */
	if (now->mono < l->next_fleet_tick_at)
		return l->next_fleet_tick_at;
	l->next_fleet_tick_at = now->mono + TICK_INTERVAL_MS * AGB_MS;
	next = now->mono + AGB_SEC;
	for (ri = 0; ri < l->runners_len; ri++) {
		if (l->runners[ri].used)
			tick_runner(l, now, ri, &next, out);
	}
	wf_fleet_retry_stops(l, now, &next, out);
	return next;
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_dispatch_internal.h"

/* A run that is being stopped is expected to end within this time. */
#define STOP_END_MS 1000
/* Interval of the log lines "account". */
#define LINE_INTERVAL_MS 1000

static struct wf_account_work
work_of(const struct wf_unit *u, agb_time now)
{
	const struct wf_step *const step = wf_unit_step(u);
	const bool end_is_known = !step->long_running && !step->best_effort;

	return (struct wf_account_work){
	    .id = u,
	    .step = step,
	    .count = u->waiting,
	    .ready_at = wf_unit_ready_at(u),
	    .ends_at = end_is_known ? now + dispatch_expected_run_time(u)
				    : AGB_TIME_MAX,
	};
}

/* Adds the expected ends of the runs of accounts that exclude work. Runs that are
 * being stopped end soon. */
static void
add_run_ends(struct wf_leader *l, agb_time now)
{
	const agb_time stop_end = now + STOP_END_MS * AGB_MS;
	const struct wf_orphan_run *s;
	const struct wf_step *step;
	struct wf_account_use *a;
	const struct wf_task *t;
	uint32_t ri;
	size_t i;

	for (ri = 0; ri < l->runners_len; ri++) {
		for (t = l->runners[ri].tasks; t != NULL; t = t->next) {
			a = t->unit->exec->account;
			step = wf_unit_step(t->unit);
			if (!a->excludes_work ||
			    (step->long_running && !t->stopping))
				continue;
			wf_account_add_end(a,
			    t->stopping ? stop_end
					: dispatch_expected_end(l, ri, t, now),
			    &step->need);
		}
		for (i = 0; i < l->runners[ri].orphan_runs_len; i++) {
			s = &l->runners[ri].orphan_runs[i];
			if (s->account != NULL && s->account->excludes_work)
				wf_account_add_end(
				    s->account, stop_end, &s->request);
		}
	}
	wf_meter_add_examined(l->meter, l->runners_len);
	wf_accounts_sort_ends(&l->accounts);
}

/* Whether the limit of any account has kept queued work out for a while. */
static bool
is_work_excluded(const struct wf_accounts *as)
{
	const struct wf_account_use *a;

	for (a = as->by_name; a != NULL; a = a->hh.next) {
		if (a->excludes_work)
			return true;
	}
	return false;
}

static void
choose_holds(
    struct wf_leader *l, agb_time now, struct queued_unit *list, size_t len)
{
	struct wf_account_use *a;
	struct wf_account_work w;
	size_t i;

	if (is_work_excluded(&l->accounts))
		add_run_ends(l, now);
	for (i = 0; i < len; i++) {
		a = list[i].unit->exec->account;
		w = work_of(list[i].unit, now);
		if (wf_account_is_hold_candidate(a, &w, now) &&
		    dispatch_is_placeable(l, &list[i], now))
			wf_account_consider_hold(&l->accounts, a, &w, now);
	}
}

/* Moves the units whose account is over its share behind the others, and keeps
 * the order within both groups. */
static void
move_over_share(struct queued_unit *list, size_t len)
{
	struct queued_unit *const over = agb_xcalloc(len + 1, sizeof(*over));
	size_t i, n = 0, over_len = 0;

	for (i = 0; i < len; i++) {
		if (list[i].over_share)
			over[over_len++] = list[i];
		else
			list[n++] = list[i];
	}
	memcpy(list + n, over, over_len * sizeof(*over));
	free(over);
}

void
dispatch_sort_by_share(
    struct wf_leader *l, agb_time now, struct queued_unit *list, size_t len)
{
	struct wf_accounts *const as = &l->accounts;
	struct wf_account_work w;
	size_t i;

	if (!as->enabled)
		return;
	wf_accounts_begin_pass(as);
	for (i = 0; i < len; i++) {
		w = work_of(list[i].unit, now);
		wf_account_add_waiting(
		    as, list[i].unit->exec->account, &w, now);
	}
	choose_holds(l, now, list, len);
	if (!wf_accounts_divide(as, dispatch_free_cpu_milli(l, NULL, now)))
		return;
	for (i = 0; i < len; i++) {
		w = work_of(list[i].unit, now);
		list[i].over_share =
		    wf_account_plan(as, list[i].unit->exec->account, &w);
	}
	move_over_share(list, len);
}

uint32_t
dispatch_account_room(const struct dispatch_pass *p, const struct wf_unit *u)
{
	const struct wf_step *const step = wf_unit_step(u);
	struct wf_account_use *const a = u->exec->account;
	/* Members that are assigned again join the others of their gang. */
	const bool joins = step->gang && u->active > 0;
	struct wf_account_work w = work_of(u, p->now->mono);
	uint32_t n;

	w.id = joins ? NULL : u;
	n = wf_account_startable(&p->l->accounts, a, &w);
	if (n >= u->waiting)
		return u->waiting;
	a->held_by_limit = true;
	return step->gang ? 0 : n;
}

void
dispatch_note_lack_of_room(
    struct dispatch_pass *p, const struct wf_unit *u, const struct wf_queue *q)
{
	if (!q->advice_required || wf_advice_has_ticket(u, p->now->mono))
		p->lacks_room = true;
}

static const char *
held_by(const struct wf_account_use *a)
{
	if (a->held_by_limit)
		return a->held_by_share ? "both" : "limit";
	return "share";
}

/* Time until the work for which the rest of the limit is kept free is expected to
 * fit, as of the last pass. */
static uint64_t
held_in_ms(const struct wf_account_use *a, agb_time now)
{
	return a->holder != NULL && a->held_from > now
	    ? (a->held_from - now) / AGB_MS
	    : 0;
}

/* In the log line, a share or a limit of 0 stands for none. */
static void
log_account(
    const struct wf_account_use *a, agb_time now, struct wf_effects *out)
{
	wf_effects_log(out, AGB_LOG_INFO, "account",
	    "account=\"%s\" held_by=%s cores=%" PRId64 " limit_cores=%" PRId64
	    " share_cores=%" PRId64 " waiting_cores=%" PRId64 " mem_mb=%" PRId64
	    " limit_mem_mb=%" PRId64 " gpu=%" PRId64 " limit_gpu=%" PRId64
	    " held_cores=%" PRId64 " held_in_ms=%" PRIu64
	    " never_fits=%" PRIu32,
	    a->name, held_by(a), a->used.cpu_milli / 1000,
	    a->limit.cpu_milli / 1000,
	    a->share_cpu_milli == INT64_MAX ? 0 : a->share_cpu_milli / 1000,
	    a->waiting_cpu_milli / 1000, a->used.mem_mb, a->limit.mem_mb,
	    a->used.accel, a->limit.accel,
	    a->holder != NULL ? a->held.cpu_milli / 1000 : 0,
	    held_in_ms(a, now), a->never_fits);
}

static void
log_accounts(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_account_use *a;

	if (now->mono < l->accounts.next_line_at)
		return;
	l->accounts.next_line_at = now->mono + LINE_INTERVAL_MS * AGB_MS;
	for (a = l->accounts.by_name; a != NULL; a = a->hh.next) {
		if (!a->held_by_limit && !a->held_by_share)
			continue;
		log_account(a, now->mono, out);
		l->meter->total.held_by_limit += a->held_by_limit;
		l->meter->total.held_by_share += a->held_by_share;
		a->held_by_limit = a->held_by_share = false;
	}
}

void
dispatch_end_accounts(
    const struct dispatch_pass *p, const struct queued_unit *list, size_t len)
{
	struct wf_leader *const l = p->l;
	size_t i;

	if (!l->accounts.enabled)
		return;
	l->accounts.lacks_room = p->lacks_room || wf_flow_room(&l->flow) == 0;
	for (i = 0; i < len; i++) {
		if (list[i].over_share && list[i].unit->waiting > 0)
			list[i].unit->exec->account->held_by_share = true;
	}
	log_accounts(l, p->now, p->out);
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_dispatch_internal.h"

/* Interval of the log lines "account". */
#define LINE_INTERVAL_MS 1000

static struct wf_account_work
work_of(const struct wf_unit *u)
{
	return (struct wf_account_work){
	    .id = u,
	    .step = wf_unit_step(u),
	    .count = u->waiting,
	    .ready_at = u->ready_at,
	};
}

static int64_t
free_cpu_milli(const struct wf_leader *l, agb_time now)
{
	int64_t cpu, sum = 0;
	uint32_t ri;

	for (ri = 0; ri < l->runners_len; ri++) {
		cpu = wf_runner_free_resources(&l->runners[ri]).cpu_milli;
		if (wf_fleet_usable(&l->runners[ri], now) && cpu > 0)
			sum += cpu;
	}
	wf_meter_add_examined(l->meter, l->runners_len);
	return sum;
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
		w = work_of(list[i].unit);
		wf_account_add_waiting(
		    as, list[i].unit->exec->account, &w, now);
	}
	if (!wf_accounts_divide(as, free_cpu_milli(l, now)))
		return;
	for (i = 0; i < len; i++) {
		w = work_of(list[i].unit);
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
	uint32_t n;

	n = wf_account_startable(&p->l->accounts, a, step, joins ? NULL : u);
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

/* In the log line, a share or a limit of 0 stands for none. */
static void
log_account(const struct wf_account_use *a, struct wf_effects *out)
{
	wf_effects_log(out, AGB_LOG_INFO, "account",
	    "account=\"%s\" held_by=%s cores=%" PRId64 " limit_cores=%" PRId64
	    " share_cores=%" PRId64 " waiting_cores=%" PRId64 " mem_mb=%" PRId64
	    " limit_mem_mb=%" PRId64 " gpu=%" PRId64 " limit_gpu=%" PRId64,
	    a->name, held_by(a), a->used.cpu_milli / 1000,
	    a->limit.cpu_milli / 1000,
	    a->share_cpu_milli == INT64_MAX ? 0 : a->share_cpu_milli / 1000,
	    a->waiting_cpu_milli / 1000, a->used.mem_mb, a->limit.mem_mb,
	    a->used.accel, a->limit.accel);
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
		log_account(a, out);
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

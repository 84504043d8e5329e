#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_dispatch_internal.h"
#include "wf_locality.h"

/* The time at which near room is expected is looked for at this number of equal
 * intervals of the longest wait that pays. */
#define WAIT_INTERVALS 8

/**
 * struct near_room - runners of a pass's list @near where a unit is expected to
 * have room
 * @at: when; AGB_TIME_MAX when it is not known
 * @first, @len: the runners
 */
struct near_room {
	agb_time at;
	size_t first;
	size_t len;
};

/* The run time of a long-running task is not known, and that of a best-effort
 * task depends on the other tasks of its runner. */
bool
dispatch_wants_near(const struct dispatch_pass *p, const struct wf_unit *u)
{
	const struct wf_step *const step = wf_unit_step(u);

	return p->l->cfg->remote_factor > 1 && !step->long_running &&
	    !step->best_effort &&
	    (step->rack[0] != '\0' || (step->gang && step->rack_local));
}

/* Whether the queued units of a service want more processors than its runners
 * have free. */
static bool
is_room_short(struct dispatch_pass *p, const char *service)
{
	int64_t wanted = 0;
	const struct wf_unit *u;
	size_t i;

	if (p->short_service != NULL && strcmp(p->short_service, service) == 0)
		return p->room_short;
	for (i = 0; i < p->units_len; i++) {
		u = p->units[i].unit;
		if (strcmp(p->units[i].queue->service, service) == 0)
			wanted += u->waiting * wf_unit_step(u)->need.cpu_milli;
	}
	wf_meter_add_examined(p->l->meter, p->units_len);
	p->short_service = service;
	p->room_short =
	    wanted > dispatch_free_cpu_milli(p->l, service, p->now->mono);
	return p->room_short;
}

/* When the first valid ticket of a unit expires; 0 when it has none. */
static agb_time
first_expiry(const struct wf_unit *u, agb_time now)
{
	agb_time first = 0;
	size_t i;

	for (i = 0; i < u->approvals_len; i++) {
		if (u->approvals[i].valid_until > now &&
		    (first == 0 || u->approvals[i].valid_until < first))
			first = u->approvals[i].valid_until;
	}
	return first;
}

static void
locality_init(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, struct wf_locality *in)
{
	u->locality.room_short = is_room_short(p, q->service);
	*in = (struct wf_locality){
	    .run_ms = u->expected_ms,
	    .following_ms = wf_unit_following_ms(p->l, u),
	    .remote_factor = p->l->cfg->remote_factor,
	    .ready_at = wf_unit_ready_at(u),
	    .waits_since = u->locality.waits_since,
	    .due_at = u->due_at,
	    .room_short = u->locality.room_short,
	    .wait_max_ms = p->l->cfg->locality_wait_max_ms,
	};
	if (q->advice_required)
		in->tickets_until = first_expiry(u, p->now->mono);
}

static int
compare_near_runners(const void *a, const void *b)
{
	return strcmp(((const struct near_runner *)a)->rack,
	    ((const struct near_runner *)b)->rack);
}

static void
add_near_runner(struct dispatch_pass *p, const struct wf_unit *u,
    const char *service, uint32_t ri)
{
	const struct wf_runner *const r = &p->l->runners[ri];

	if (!dispatch_eligible(p, u, service, ri) ||
	    !wf_runner_has_label(&r->info, wf_unit_step(u)->rack))
		return;
	p->near[p->near_len].runner = ri;
	p->near[p->near_len++].rack = wf_runner_rack(r);
}

/* Lists the runners on the rack of the unit's data, or all on which it may run,
 * by rack, if it wants any one rack. Those without a valid ticket are left
 * out. */
static void
list_near_runners(
    struct dispatch_pass *p, const struct wf_unit *u, const struct wf_queue *q)
{
	const size_t len =
	    q->advice_required ? u->approvals_len : p->l->runners_len;
	const struct wf_approval *a;
	size_t i;

	if (p->near == NULL)
		p->near = agb_xcalloc(p->l->runners_len + 1, sizeof(*p->near));
	p->near_len = 0;
	for (i = 0; i < len; i++) {
		if (!q->advice_required) {
			add_near_runner(p, u, q->service, (uint32_t)i);
			continue;
		}
		a = &u->approvals[i];
		if (a->valid_until > p->now->mono &&
		    wf_advice_is_current(p->l, a))
			add_near_runner(p, u, q->service, a->runner);
	}
	wf_meter_add_examined(p->l->meter, len);
	if (wf_unit_step(u)->rack_local && p->near_len > 1)
		qsort(p->near, p->near_len, sizeof(*p->near),
		    compare_near_runners);
}

/* Number of tasks of the unit that a runner is expected to have room for at a
 * time, beyond what is reserved for units before it. */
static uint32_t
fit_at(struct dispatch_pass *p, const struct wf_unit *u, uint32_t ri,
    agb_time when)
{
	struct agb_resources room = dispatch_room_at(p, ri, when);

	agb_resources_sub(&room, &p->reservations[ri].need);
	return dispatch_limit_spread(
	    u, &p->l->runners[ri], wf_step_fit_count(wf_unit_step(u), room));
}

static uint64_t
sum_fit_at(struct dispatch_pass *p, const struct wf_unit *u,
    const struct near_room *n, agb_time when)
{
	uint64_t sum = 0;
	size_t i;

	for (i = n->first; i < n->first + n->len; i++)
		sum += fit_at(p, u, p->near[i].runner, when);
	wf_meter_add_examined(p->l->meter, n->len);
	return sum;
}

/* Number of runners from @first on that belong together: those of one rack, if
 * the unit wants one. */
static size_t
group_len(const struct dispatch_pass *p, const struct wf_unit *u, size_t first)
{
	size_t k;

	if (!wf_unit_step(u)->rack_local)
		return p->near_len - first;
	for (k = first + 1; k < p->near_len; k++) {
		if (strcmp(p->near[k].rack, p->near[first].rack) != 0)
			break;
	}
	return k - first;
}

/* Finds the runners that together are expected to have room for @count tasks at
 * a time; of several racks the one with the least room. */
static bool
find_room(struct dispatch_pass *p, const struct wf_unit *u, uint64_t count,
    agb_time when, struct near_room *out)
{
	struct near_room n = {.at = when};
	uint64_t room, least = UINT64_MAX;

	for (; n.first < p->near_len; n.first += n.len) {
		n.len = group_len(p, u, n.first);
		room = sum_fit_at(p, u, &n, when);
		if (room >= count && room < least) {
			*out = n;
			least = room;
		}
	}
	return least < UINT64_MAX;
}

/* Finds out when, up to @latest, near room for @count tasks is expected. */
static void
find_earliest_room(struct dispatch_pass *p, const struct wf_unit *u,
    uint64_t count, agb_time latest, struct near_room *out)
{
	const agb_time now = p->now->mono;
	size_t i;

	*out = (struct near_room){.at = AGB_TIME_MAX};
	if (latest <= now || !find_room(p, u, count, latest, out))
		return;
	for (i = 1; i < WAIT_INTERVALS; i++) {
		if (find_room(p, u, count,
			now + (latest - now) * i / WAIT_INTERVALS, out))
			return;
	}
}

/* Reserves the near room of @n that is expected at @latest beyond that at
 * @from. Return: number of tasks that it is for, up to @count. */
static uint32_t
reserve_near(struct dispatch_pass *p, const struct wf_unit *u,
    const struct near_room *n, agb_time from, agb_time latest, uint32_t count)
{
	uint32_t left = count, fit, before, ri;
	size_t i;

	for (i = n->first; i < n->first + n->len && left > 0; i++) {
		ri = p->near[i].runner;
		fit = fit_at(p, u, ri, latest);
		before = from > 0 ? fit_at(p, u, ri, from) : 0;
		fit = fit > before ? fit - before : 0;
		fit = fit < left ? fit : left;
		if (fit > 0)
			dispatch_reserve_tasks(
			    p, wf_unit_step(u), ri, fit, n->at);
		left -= fit;
	}
	return count - left;
}

static void
note_wait(const struct dispatch_pass *p, struct wf_unit *u, agb_time until)
{
	struct wf_unit_locality *const x = &u->locality;

	if (x->waits_since > 0)
		return;
	x->waits_since = p->now->mono;
	x->expected_ms = (uint32_t)((until - p->now->mono) / AGB_MS);
}

/* Logs and counts what became of the wait of a unit, or that it does not
 * wait. */
static void
end_wait(struct dispatch_pass *p, struct wf_unit *u)
{
	struct wf_unit_locality *const x = &u->locality;
	const agb_time now = p->now->mono;
	const bool waited = x->waits_since > 0;

	if (x->over)
		return;
	x->over = true;
	if (waited)
		wf_meter_count(p->l->meter,
		    x->near > 0 ? WF_TALLY_WAITS_NEAR : WF_TALLY_WAITS_VAIN);
	wf_effects_log(p->out, AGB_LOG_INFO, "wait",
	    "job=%s occurrence=%" PRIu32 " step=%" PRIu32
	    " outcome=%s waited_ms=%" PRIu64 " expected_ms=%" PRId64
	    " run_ms=%" PRIu32 " factor=%.2f ready_ms=%" PRIu64
	    " left_ms=%" PRId64 " short=%s near=%" PRIu32 " remote=%" PRIu32,
	    u->exec->job->id, u->occurrence, u->step,
	    x->near == 0	 ? "remote"
		: x->remote == 0 ? "near"
				 : "part",
	    waited ? (now - x->waits_since) / AGB_MS : 0,
	    waited ? (int64_t)x->expected_ms : -1, u->expected_ms,
	    p->l->cfg->remote_factor, (now - wf_unit_ready_at(u)) / AGB_MS,
	    ((int64_t)u->due_at - (int64_t)now) / (int64_t)AGB_MS,
	    x->room_short ? "yes" : "no", x->near, x->remote);
}

/* ---- gangs ---- */

size_t
dispatch_prefer_data_rack(
    const struct dispatch_pass *p, const struct wf_unit *u, size_t len)
{
	const struct wf_step *const step = wf_unit_step(u);
	struct candidate *const list = p->candidates;
	uint64_t room = 0;
	size_t i, n = 0;

	if (!step->rack_local || step->rack[0] == '\0' ||
	    !dispatch_wants_near(p, u))
		return len;
	for (i = 0; i < len; i++)
		room += list[i].rack_match ? list[i].fit : 0;
	if (room < u->waiting)
		return len;
	for (i = 0; i < len; i++) {
		if (list[i].rack_match)
			list[n++] = list[i];
	}
	return n;
}

/* Whether a gang that is placed on the candidates now is near its data, and on
 * one rack if it wants one. */
static bool
gang_is_near(const struct dispatch_pass *p, const struct wf_unit *u, size_t len)
{
	const struct candidate *const list = p->candidates;
	uint64_t room = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		if (wf_unit_step(u)->rack_local &&
		    strcmp(list[i].rack, list[0].rack) != 0)
			return false;
		room += list[i].rack_match ? list[i].fit : 0;
	}
	return room >= u->waiting;
}

/* Decides for a gang that has room now, but not near. */
static bool
gang_wait_pays(
    struct dispatch_pass *p, struct wf_unit *u, const struct wf_queue *q)
{
	struct wf_locality_decision d;
	struct wf_locality in;
	struct near_room n;
	agb_time latest;

	locality_init(p, u, q, &in);
	latest = wf_locality_latest(&in, p->now->mono);
	if (latest <= p->now->mono)
		return false;
	list_near_runners(p, u, q);
	find_earliest_room(p, u, u->waiting, latest, &n);
	d = wf_locality_decide(&in, p->now->mono, n.at);
	if (d.choice != WF_LOCALITY_WAIT)
		return false;
	reserve_near(p, u, &n, 0, n.at, u->waiting);
	p->reservations_made++;
	note_wait(p, u, d.until);
	return true;
}

bool
dispatch_gang_waits(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, size_t len, bool may_reserve)
{
	struct wf_unit_locality *const x = &u->locality;

	/* Members that are placed again join those that run. */
	if (!dispatch_wants_near(p, u) || u->active > 0)
		return false;
	x->gang_remote = !gang_is_near(p, u, len);
	if (!x->gang_remote) {
		if (x->waits_since > 0) {
			x->near = u->waiting;
			end_wait(p, u);
		}
		return false;
	}
	if (may_reserve && !x->over && gang_wait_pays(p, u, q))
		return true;
	x->remote = u->waiting;
	wf_meter_count_many(p->l->meter, WF_TALLY_REMOTE, u->waiting);
	end_wait(p, u);
	return false;
}

bool
dispatch_gang_keeps_waiting(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, bool may_reserve)
{
	return u->locality.waits_since > 0 && !u->locality.over &&
	    u->active == 0 && may_reserve && gang_wait_pays(p, u, q);
}

/* ---- other tasks ---- */

/* Number of tasks that the candidates on the rack of the data, or on others, have
 * room for. */
static uint64_t
sum_fit(const struct candidate *list, size_t len, bool near)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < len; i++)
		sum += list[i].rack_match == near ? list[i].fit : 0;
	return sum;
}

/* Limits the remote candidates to room for @max tasks. */
static void
limit_remote(struct candidate *list, size_t len, uint32_t max)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (list[i].rack_match)
			continue;
		if (list[i].fit > max)
			list[i].fit = max;
		max -= list[i].fit;
	}
}

/* Number of the @count tasks without near room now that wait for it. */
static uint32_t
tasks_that_wait(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, uint32_t count)
{
	struct near_room all, n;
	struct wf_locality in;
	agb_time latest;

	if (u->locality.over)
		return 0;
	locality_init(p, u, q, &in);
	latest = wf_locality_latest(&in, p->now->mono);
	if (latest <= p->now->mono)
		return 0;
	list_near_runners(p, u, q);
	all = (struct near_room){.len = p->near_len};
	/* The room that is free now goes to other tasks of the unit. */
	find_earliest_room(
	    p, u, sum_fit_at(p, u, &all, p->now->mono) + 1, latest, &n);
	if (wf_locality_decide(&in, p->now->mono, n.at).choice !=
	    WF_LOCALITY_WAIT)
		return 0;
	note_wait(p, u, n.at);
	return reserve_near(p, u, &n, p->now->mono, latest, count);
}

void
dispatch_place_near_first(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, size_t len)
{
	struct wf_unit_locality *const x = &u->locality;
	const uint64_t near_room = sum_fit(p->candidates, len, true);
	const bool waited = x->waits_since > 0;
	const uint32_t waiting = u->waiting;
	uint32_t without_near, wait;
	uint64_t remote;
	bool decided;

	without_near = waiting > near_room ? waiting - (uint32_t)near_room : 0;
	/* What is awaited stays reserved when the remote room is gone. */
	decided = without_near > 0 &&
	    (waited || sum_fit(p->candidates, len, false) > 0);
	wait = decided ? tasks_that_wait(p, u, q, without_near) : 0;
	limit_remote(p->candidates, len, without_near - wait);
	remote = sum_fit(p->candidates, len, false);
	dispatch_place_tasks(p, u, p->candidates, len);
	remote -= sum_fit(p->candidates, len, false);
	wf_meter_count_many(p->l->meter, WF_TALLY_REMOTE, remote);
	x->remote += (uint32_t)remote;
	if (waited)
		x->near += waiting - u->waiting - (uint32_t)remote;
	if ((waited && u->waiting == 0) || (decided && wait == 0 && remote > 0))
		end_wait(p, u);
}

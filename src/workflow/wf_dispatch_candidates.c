#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_dispatch_internal.h"

/* Room is planned with this share of the expected run times, as the longest of
 * several tasks counts. */
#define RUN_TIME_PERCENT 120
/* A runner that runs its fill tasks at less than this share of full speed gets
 * no more of them. */
#define FILL_PACE_MIN_PERCENT 50

agb_time
dispatch_expected_run_time(const struct wf_unit *u)
{
	return (agb_time)u->expected_ms * RUN_TIME_PERCENT / 100 * AGB_MS;
}

int64_t
dispatch_free_cpu_milli(
    const struct wf_leader *l, const char *service, agb_time now)
{
	const struct wf_runner *r;
	int64_t cpu, sum = 0;
	uint32_t ri;

	for (ri = 0; ri < l->runners_len; ri++) {
		r = &l->runners[ri];
		cpu = wf_runner_free_resources(r).cpu_milli;
		if (cpu > 0 && wf_fleet_usable(r, now) &&
		    (service == NULL || strcmp(r->info.service, service) == 0))
			sum += cpu;
	}
	wf_meter_add_examined(l->meter, l->runners_len);
	return sum;
}

/* Number of tasks of a unit that are allocated on a runner. */
static uint32_t
unit_tasks_on_runner(const struct wf_unit *u, const struct wf_runner *r)
{
	const struct wf_task *t;
	uint32_t n;

	n = 0;
	for (t = r->tasks; t != NULL; t = t->next) {
		if (t->unit == u)
			n++;
	}
	return n;
}

uint32_t
dispatch_limit_spread(
    const struct wf_unit *u, const struct wf_runner *r, uint32_t fit)
{
	const struct wf_step *const step = wf_unit_step(u);
	uint32_t at;

	if (step->spread_max == 0 || fit == 0)
		return fit;
	at = unit_tasks_on_runner(u, r);
	if (at >= step->spread_max)
		return 0;
	return fit < step->spread_max - at ? fit : step->spread_max - at;
}

/* Number of tasks of a unit that a runner has room for. Room that is reserved for
 * a gang is left out, unless the task is expected to end before the gang
 * starts. */
static uint32_t
fit_count(struct dispatch_pass *p, const struct wf_unit *u, uint32_t ri)
{
	const struct wf_step *const step = wf_unit_step(u);
	const struct wf_runner *const r = &p->l->runners[ri];
	struct agb_resources room = wf_runner_free_resources(r);
	uint32_t fit, fit_all;

	if (step->best_effort)
		room.cpu_milli -= r->fill_cpu_milli;
	fit_all = dispatch_limit_spread(u, r, wf_step_fit_count(step, room));
	if (fit_all == 0 || p->reservations[ri].start_at == 0 ||
	    p->now->mono + dispatch_expected_run_time(u) <=
		p->reservations[ri].start_at)
		return fit_all;
	agb_resources_sub(&room, &p->reservations[ri].need);
	fit = dispatch_limit_spread(u, r, wf_step_fit_count(step, room));
	p->fit_reserved += fit_all - fit;
	return fit;
}

bool
dispatch_eligible(const struct dispatch_pass *p, const struct wf_unit *u,
    const char *service, uint32_t ri)
{
	return wf_fleet_eligible(
	    &p->l->runners[ri], wf_unit_step(u), service, p->now->mono);
}

bool
dispatch_is_placeable(
    const struct wf_leader *l, const struct queued_unit *x, agb_time now)
{
	const struct wf_step *const step = wf_unit_step(x->unit);
	const uint32_t spread =
	    step->spread_max > 0 ? step->spread_max : UINT32_MAX;
	const struct wf_runner *r;
	uint64_t left = step->gang ? x->unit->waiting : 1;
	uint32_t ri, fit;

	for (ri = 0; ri < l->runners_len && left > 0; ri++) {
		r = &l->runners[ri];
		if (!wf_fleet_eligible(r, step, x->queue->service, now))
			continue;
		fit = wf_step_fit_count(step, r->info.capacity);
		fit = fit < spread ? fit : spread;
		left -= fit < left ? fit : left;
	}
	wf_meter_add_examined(l->meter, ri);
	return left == 0;
}

static bool
candidate_init(struct dispatch_pass *p, const struct wf_unit *u,
    const char *service, uint32_t ri, struct candidate *c)
{
	const struct wf_step *const step = wf_unit_step(u);
	const struct wf_runner *const r = &p->l->runners[ri];

	if (!dispatch_eligible(p, u, service, ri) ||
	    (step->best_effort && r->pace_percent < FILL_PACE_MIN_PERCENT))
		return false;
	c->fit = fit_count(p, u, ri);
	if (c->fit == 0)
		return false;
	c->runner = ri;
	c->free_cpu = wf_runner_free_resources(r).cpu_milli;
	c->reserved = r->reserved;
	c->rack_match =
	    step->rack[0] == '\0' || wf_runner_has_label(&r->info, step->rack);
	c->rack = wf_runner_rack(r);
	return true;
}

/* Removes candidates so that the job does not use more runners than its state
 * record can name. Only fleets with more runners than that are affected.
 * Return: number of candidates that are left. */
static size_t
limit_runners_of_job(const struct dispatch_pass *p, const struct wf_exec *e,
    struct candidate *list, size_t len)
{
	struct wf_task_cursor c;
	const struct wf_task *t;
	uint32_t runners = 0;
	size_t k, n = 0;
	bool *used;

	if (p->l->runners_len <= WF_X_RUNNERS_MAX)
		return len;
	used = agb_xcalloc(p->l->runners_len, sizeof(*used));
	wf_task_cursor_init(&c, e);
	while ((t = wf_task_cursor_next(&c)) != NULL) {
		if (!t->allocated)
			continue;
		runners += !used[t->runner];
		used[t->runner] = true;
	}
	for (k = 0; k < len; k++) {
		if (!used[list[k].runner] && runners == WF_X_RUNNERS_MAX)
			continue;
		runners += !used[list[k].runner];
		list[n++] = list[k];
	}
	free(used);
	return n;
}

size_t
dispatch_collect_candidates(struct dispatch_pass *p, const struct wf_unit *u,
    const struct wf_queue *q, size_t *stale_len)
{
	const struct wf_leader *const l = p->l;
	const struct wf_approval *a;
	uint64_t fit_reserved;
	struct candidate c;
	uint32_t ri;
	size_t i, n;
	bool fits;

	n = 0;
	*stale_len = 0;
	p->fit_reserved = 0;
	if (!q->advice_required) {
		wf_meter_add_examined(l->meter, l->runners_len);
		for (ri = 0; ri < l->runners_len; ri++) {
			if (candidate_init(p, u, q->service, ri, &c))
				p->candidates[n++] = c;
		}
		return limit_runners_of_job(p, u->exec, p->candidates, n);
	}
	wf_meter_add_examined(l->meter, u->approvals_len);
	for (i = 0; i < u->approvals_len; i++) {
		a = &u->approvals[i];
		fit_reserved = p->fit_reserved;
		fits = wf_advice_is_current(l, a) &&
		    candidate_init(p, u, q->service, a->runner, &c);
		if (a->valid_until <= p->now->mono)
			p->fit_reserved = fit_reserved;
		if (!fits)
			continue;
		if (a->valid_until > p->now->mono)
			p->candidates[n++] = c;
		else
			p->stale[(*stale_len)++] = a->runner;
	}
	return limit_runners_of_job(p, u->exec, p->candidates, n);
}

static int
compare_candidates(const void *a, const void *b)
{
	const struct candidate *const x = a, *const y = b;

	if (x->rack_match != y->rack_match)
		return x->rack_match ? -1 : 1;
	if (x->reserved != y->reserved)
		return x->reserved ? 1 : -1;
	return x->free_cpu < y->free_cpu ? -1
	    : x->free_cpu > y->free_cpu	 ? 1
					 : 0;
}

void
dispatch_sort_candidates(struct candidate *list, size_t len)
{
	if (len > 1)
		qsort(list, len, sizeof(*list), compare_candidates);
}

static int
compare_racks(const void *a, const void *b)
{
	return strcmp(((const struct candidate *)a)->rack,
	    ((const struct candidate *)b)->rack);
}

size_t
dispatch_confine_to_one_rack(struct candidate *list, size_t len, uint32_t count)
{
	size_t i, k, best, best_len;
	uint64_t room, best_room;

	if (len > 1)
		qsort(list, len, sizeof(*list), compare_racks);
	best = best_len = 0;
	best_room = UINT64_MAX;
	for (i = 0; i < len; i = k) {
		room = 0;
		for (k = i; k < len && strcmp(list[k].rack, list[i].rack) == 0;
		     k++)
			room += list[k].fit;
		if (room >= count && room < best_room) {
			best = i;
			best_len = k - i;
			best_room = room;
		}
	}
	if (best_len == 0)
		return len;
	memmove(list, list + best, best_len * sizeof(*list));
	return best_len;
}

/* First candidate with room for a task of a unit. The runner on which the task
 * has failed last is chosen only when no other has room, and one that has a task
 * of another job with the same name not at all. */
static struct candidate *
pick_candidate(const struct wf_leader *l, const struct wf_unit *u,
    uint32_t task, struct candidate *list, size_t len)
{
	/* NULL for a task that has never been assigned. */
	const struct wf_task *const t = wf_unit_find_task(u, task);
	const uint32_t avoid = t != NULL ? t->avoid_runner : WF_NO_HANDLE;
	struct candidate *second;
	size_t i;

	second = NULL;
	for (i = 0; i < len; i++) {
		if (list[i].fit == 0 ||
		    wf_unit_name_taken(l, u, task, list[i].runner))
			continue;
		if (list[i].runner != avoid)
			return &list[i];
		if (second == NULL)
			second = &list[i];
	}
	return second;
}

/* Whether each waiting member of a gang finds a candidate. The room alone does not
 * show that for a job that shares its id with another one. */
static bool
gang_finds_candidates(const struct dispatch_pass *p, const struct wf_unit *u,
    const struct candidate *list, size_t len)
{
	struct candidate *copy, *c;
	bool found = true;
	uint32_t i;

	if (!u->exec->job->shares_id || len == 0)
		return true;
	copy = agb_xcalloc(len, sizeof(*copy));
	memcpy(copy, list, len * sizeof(*copy));
	for (i = u->waiting_from; i < u->tasks_len && found; i++) {
		if (!wf_unit_is_waiting(u, i))
			continue;
		c = pick_candidate(p->l, u, i, copy, len);
		found = c != NULL;
		if (found)
			c->fit--;
	}
	free(copy);
	return found;
}

void
dispatch_place_tasks(const struct dispatch_pass *p, struct wf_unit *u,
    struct candidate *list, size_t len)
{
	const struct wf_step *const step = wf_unit_step(u);
	/* Gang members that are assigned again join the run of the others. */
	const uint32_t gang_run =
	    u->active > 0 ? u->run : wf_unit_next_run(p->l, u, u->run);
	uint32_t left = dispatch_account_room(p, u);
	struct wf_task *t;
	/* A task of a job that shares its id may find none where others do. */
	uint32_t first_left = WF_NO_HANDLE;
	struct candidate *c;
	uint32_t i;

	if (step->gang && !gang_finds_candidates(p, u, list, len))
		return;
	for (i = u->waiting_from; i < u->tasks_len; i++) {
		if (!wf_unit_is_waiting(u, i))
			continue;
		/* A gang starts as a whole, even beyond the limit. */
		if (!step->gang && wf_flow_room(&p->l->flow) == 0)
			break;
		if (left == 0)
			break;
		c = pick_candidate(p->l, u, i, list, len);
		if (c == NULL && u->exec->job->shares_id &&
		    first_left == WF_NO_HANDLE)
			first_left = i;
		if (c == NULL && u->exec->job->shares_id)
			continue;
		if (c == NULL)
			break;
		left--;
		c->fit--;
		t = wf_unit_task(u, i);
		wf_task_assign(p->l, p->now, u, t, c->runner,
		    step->gang ? gang_run : wf_unit_next_run(p->l, u, t->run));
		p->run_ends[c->runner].valid = false;
	}
	u->waiting_from = first_left != WF_NO_HANDLE ? first_left : i;
}

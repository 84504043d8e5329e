#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_leader.h"

/* Least time between two passes over the queue. */
#define PASS_GAP_MS 8
/* The gap grows by 1 ms for each so many units that wait. */
#define PASS_GAP_UNITS 12
/* A pass comes at least this often while units wait. */
#define PASS_IDLE_MS 50
/* An objective is out of reach after this multiple of its time; a job that
 * is later still earns nothing for its caller. */
#define LATE_FACTOR 3

/* Gangs for which room is kept in one pass: at least so many, and one more
 * for so many runners; and how long they wait first. */
#define RESERVE_MIN 6
#define RESERVE_RUNNERS 12
#define RESERVE_AFTER_MS 150
/* Run times exceed their estimates by this on average. */
#define ESTIMATE_PERCENT 120
/* A task that is past its estimate is expected to end within this. */
#define OVERDUE_MS 300
/* Advice that comes this soon is not asked for before there is room: its
 * tickets would run out while the unit waits. */
#define ADVICE_SOON_MS 150
/* Time between the decision to renew tickets and the starts. */
#define RENEW_MARGIN_MS 150
/* Ends at one runner that are looked at when room is planned. */
#define ENDS_MAX 32
/* A runner whose filling tasks work at less than this share, in percent, takes
 * no more of them. */
#define FILL_PACE_MIN 50

/* Classes of urgency, best first. */
enum {
	CLASS_IN_TIME,
	CLASS_LATE,
	CLASS_HOPELESS,
};

struct entry {
	struct wf_unit *u;
	const struct wf_queue *q;
	int class;
	uint32_t priority;
	agb_time due;
};

/**
 * struct cand - a runner that may take tasks of a unit
 * @fit: how many it can hold
 * @left: free processors
 * @near: it is on the rack of the data
 * @kept: room on it is kept for another unit
 */
struct cand {
	uint32_t runner;
	uint32_t fit;
	int64_t left;
	bool near;
	bool kept;
	const char *rack;
};

/* Room that is kept at a runner for a gang that is expected to start at
 * @from. */
struct keep {
	struct agb_resources need;
	agb_time from;
};

/* When a task is expected to end, and what comes free then. */
struct ending {
	agb_time at;
	struct agb_resources need;
};

/* The tasks of a runner in the order of their expected ends; made when first
 * asked for, and again after something was placed there. */
struct endings {
	bool made;
	size_t len;
	struct ending items[ENDS_MAX];
};

/* A runner and its free processors. */
struct room {
	uint32_t runner;
	int64_t cpu;
};

/* What one pass over the queue works with. @claimed: processors that units
 * earlier in the queue will take with their tickets, or once their calls for
 * advice are answered. @rooms: runners of @service, which have @free_cpu free. */
struct pass {
	struct wf_leader *l;
	const struct wf_now *now;
	struct cand *cands;
	uint32_t *stale;
	struct keep *keeps;
	struct endings **endings;
	uint32_t reserved;
	int64_t claimed;
	const char *service;
	struct room *rooms;
	size_t rooms_len;
	int64_t free_cpu;
	struct wf_effects *out;
};

static int
entry_order(const void *a, const void *b)
{
	const struct entry *const x = a, *const y = b;

	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->due != y->due)
		return x->due < y->due ? -1 : 1;
	return 0;
}

static int
class_of(const struct wf_unit *u, agb_time now)
{
	const agb_time end =
	    now + (agb_time)wf_unit_step(u)->estimate_ms * AGB_MS;
	const agb_time born = u->exec->accepted_at;

	if (end <= u->due)
		return CLASS_IN_TIME;
	if (u->due > born && end <= born + LATE_FACTOR * (u->due - born))
		return CLASS_LATE;
	return CLASS_HOPELESS;
}

static size_t
sort_queue(const struct wf_leader *l, agb_time now, struct entry **list)
{
	const struct wf_queue *q;
	struct wf_unit *u;
	size_t n;

	*list = agb_xcalloc(l->queue_len + 1, sizeof(**list));
	n = 0;
	for (u = l->queue; u != NULL; u = u->next) {
		q = wf_unit_queue(l, u);
		if (q == NULL)
			continue;
		(*list)[n].u = u;
		(*list)[n].q = q;
		(*list)[n].class = class_of(u, now);
		(*list)[n].priority = q->priority;
		(*list)[n].due = u->due;
		n++;
	}
	if (n > 1)
		qsort(*list, n, sizeof(**list), entry_order);
	return n;
}

static agb_time
expected_run(const struct wf_step *step)
{
	return (agb_time)step->estimate_ms * ESTIMATE_PERCENT / 100 * AGB_MS;
}

/* Free room of a runner, without what is kept for a gang, unless the task
 * will have ended when the gang starts. */
static struct agb_resources
room_at(const struct pass *p, const struct wf_step *step, uint32_t ri)
{
	const struct wf_runner *const r = &p->l->runners[ri];
	struct agb_resources room = wf_fleet_free(r);

	if (step->best_effort)
		room.cpu_milli -= r->filled;
	if (p->keeps[ri].from > 0 &&
	    p->now->mono + expected_run(step) > p->keeps[ri].from)
		agb_resources_sub(&room, &p->keeps[ri].need);
	return room;
}

/* Tasks of a unit that are counted at a runner. */
static uint32_t
unit_at(const struct wf_unit *u, const struct wf_runner *r)
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

static uint32_t
spread_cap(const struct wf_unit *u, const struct wf_runner *r, uint32_t fit)
{
	const struct wf_step *const step = wf_unit_step(u);
	uint32_t at;

	if (step->spread_max == 0 || fit == 0)
		return fit;
	at = unit_at(u, r);
	if (at >= step->spread_max)
		return 0;
	return fit < step->spread_max - at ? fit : step->spread_max - at;
}

static bool
eligible(const struct pass *p, const struct wf_unit *u, const char *service,
    uint32_t ri)
{
	return wf_fleet_eligible(
	    &p->l->runners[ri], wf_unit_step(u), service, p->now->mono);
}

static bool
cand_make(const struct pass *p, const struct wf_unit *u, const char *service,
    uint32_t ri, struct cand *c)
{
	const struct wf_step *const step = wf_unit_step(u);
	const struct wf_runner *const r = &p->l->runners[ri];

	if (!eligible(p, u, service, ri) ||
	    (step->best_effort && r->pace < FILL_PACE_MIN))
		return false;
	c->fit =
	    spread_cap(u, r, wf_step_fit_count(step, room_at(p, step, ri)));
	if (c->fit == 0)
		return false;
	c->runner = ri;
	c->left = wf_fleet_free(r).cpu_milli;
	c->kept = r->kept;
	c->near =
	    step->rack[0] == '\0' || wf_runner_has_label(&r->info, step->rack);
	c->rack = r->info.labels_len > 0
	    ? r->info.labels[r->info.labels_len - 1]
	    : "";
	return true;
}

/* Runners that have room for the unit. Approved ones whose ticket has run
 * out go to the list of stale ones instead. */
static size_t
candidates(const struct pass *p, const struct wf_unit *u,
    const struct wf_queue *q, size_t *stale_len)
{
	const struct wf_leader *const l = p->l;
	const struct wf_approval *a;
	struct cand c;
	uint32_t ri;
	size_t i, n;

	n = 0;
	*stale_len = 0;
	if (!q->advice_required) {
		for (ri = 0; ri < l->runners_len; ri++) {
			if (cand_make(p, u, q->service, ri, &c))
				p->cands[n++] = c;
		}
		return n;
	}
	for (i = 0; i < u->approvals_len; i++) {
		a = &u->approvals[i];
		if (!wf_advice_holds(l, a) ||
		    !cand_make(p, u, q->service, a->runner, &c))
			continue;
		if (a->until > p->now->mono)
			p->cands[n++] = c;
		else
			p->stale[(*stale_len)++] = a->runner;
	}
	return n;
}

static int
cand_order(const void *a, const void *b)
{
	const struct cand *const x = a, *const y = b;

	if (x->near != y->near)
		return x->near ? -1 : 1;
	if (x->kept != y->kept)
		return x->kept ? 1 : -1;
	return x->left < y->left ? -1 : x->left > y->left ? 1 : 0;
}

static int
rack_order(const void *a, const void *b)
{
	return strcmp(
	    ((const struct cand *)a)->rack, ((const struct cand *)b)->rack);
}

/* For a unit that is slower over several racks: keeps only the candidates
 * of the fullest rack that holds all of it, if there is one. */
static size_t
keep_one_rack(struct cand *list, size_t len, uint32_t count)
{
	size_t i, k, best, best_len;
	uint64_t room, best_room;

	if (len > 1)
		qsort(list, len, sizeof(*list), rack_order);
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

/* First candidate with room; one on which the task has failed only when no
 * other has any. */
static struct cand *
cand_for(struct cand *list, size_t len, const struct wf_task *t)
{
	struct cand *second;
	size_t i;

	second = NULL;
	for (i = 0; i < len; i++) {
		if (list[i].fit == 0)
			continue;
		if (list[i].runner != t->avoid)
			return &list[i];
		if (second == NULL)
			second = &list[i];
	}
	return second;
}

static void
place_on(const struct pass *p, struct wf_unit *u, struct cand *list, size_t len)
{
	const struct wf_step *const step = wf_unit_step(u);
	/* Members that are placed anew join the run of the others. */
	const uint32_t gang_run = u->active > 0 ? u->run : u->run + 1;
	struct wf_task *t;
	struct cand *c;
	uint32_t i;

	for (i = 0; i < step->count; i++) {
		t = &u->exec->tasks[u->first + i];
		if (t->state != WF_TASK_WAIT || t->holds)
			continue;
		c = cand_for(list, len, t);
		if (c == NULL)
			break;
		c->fit--;
		wf_task_assign(p->l, p->now, u, t, c->runner,
		    step->gang ? gang_run : t->run + 1);
		if (p->endings[c->runner] != NULL)
			p->endings[c->runner]->made = false;
	}
}

/* ---- room for gangs ---- */

static int
ending_order(const void *a, const void *b)
{
	const agb_time x = ((const struct ending *)a)->at;
	const agb_time y = ((const struct ending *)b)->at;

	return x < y ? -1 : x > y ? 1 : 0;
}

/* When the tasks at a runner are expected to end. */
static const struct endings *
endings_of(const struct pass *p, uint32_t ri)
{
	const agb_time soon = p->now->mono + OVERDUE_MS * AGB_MS;
	const struct wf_task *t;
	struct endings *e;

	if (p->endings[ri] == NULL)
		p->endings[ri] = agb_xcalloc(1, sizeof(**p->endings));
	e = p->endings[ri];
	if (e->made)
		return e;
	e->made = true;
	e->len = 0;
	for (t = p->l->runners[ri].tasks; t != NULL; t = t->next) {
		const struct wf_step *const step = wf_unit_step(t->unit);

		if (e->len == ENDS_MAX || step->long_running ||
		    step->best_effort)
			continue;
		e->items[e->len].at = t->sent_at + expected_run(step);
		if (e->items[e->len].at < soon)
			e->items[e->len].at = soon;
		e->items[e->len++].need = step->need;
	}
	if (e->len > 1)
		qsort(e->items, e->len, sizeof(*e->items), ending_order);
	return e;
}

/* Times from now at which room is planned. */
static const uint32_t plan_ms[] = {
    0, 300, 600, 1000, 1500, 2000, 3000, 4000, 6000, 8000, 12000};
#define PLAN_TIMES (sizeof(plan_ms) / sizeof(plan_ms[0]))

/**
 * struct plan - a runner whose room is planned
 * @fit: tasks of the unit that it is expected to hold at each time
 */
struct plan {
	uint32_t runner;
	uint32_t fit[PLAN_TIMES];
};

static void
plan_make(
    const struct pass *p, const struct wf_unit *u, uint32_t ri, struct plan *pl)
{
	const struct wf_runner *const r = &p->l->runners[ri];
	const struct endings *const ends = endings_of(p, ri);
	struct agb_resources room = wf_fleet_free(r);
	size_t i, k = 0;
	agb_time when;

	agb_resources_sub(&room, &p->keeps[ri].need);
	pl->runner = ri;
	for (i = 0; i < PLAN_TIMES; i++) {
		when = p->now->mono + plan_ms[i] * AGB_MS;
		for (; k < ends->len && ends->items[k].at <= when; k++)
			agb_resources_add(&room, &ends->items[k].need);
		pl->fit[i] =
		    spread_cap(u, r, wf_step_fit_count(wf_unit_step(u), room));
	}
}

/* Runners on which the unit may run, whatever their tickets. */
static size_t
possible(const struct pass *p, const struct wf_unit *u,
    const struct wf_queue *q, uint32_t *list)
{
	uint32_t ri;
	size_t i, n;

	n = 0;
	if (!q->advice_required) {
		for (ri = 0; ri < p->l->runners_len; ri++) {
			if (eligible(p, u, q->service, ri))
				list[n++] = ri;
		}
		return n;
	}
	for (i = 0; i < u->approvals_len; i++) {
		ri = u->approvals[i].runner;
		if (wf_advice_holds(p->l, &u->approvals[i]) &&
		    eligible(p, u, q->service, ri))
			list[n++] = ri;
	}
	return n;
}

/* Earliest of the planned times at which the whole unit is expected to find
 * room; PLAN_TIMES when that is not in sight. */
static size_t
room_from(const struct wf_unit *u, const struct plan *plans, size_t len)
{
	uint64_t room;
	size_t i, k;

	for (i = 0; i < PLAN_TIMES; i++) {
		room = 0;
		for (k = 0; k < len; k++)
			room += plans[k].fit[i];
		if (room >= u->waiting)
			break;
	}
	return i;
}

/* A runner and the tasks that it is expected to hold. */
struct offer {
	uint32_t fit;
	uint32_t runner;
};

static int
offer_order(const void *a, const void *b)
{
	const struct offer *const x = a, *const y = b;

	return x->fit > y->fit ? -1 : x->fit < y->fit ? 1 : 0;
}

static void
keep_at(const struct pass *p, const struct wf_step *step, uint32_t ri,
    uint32_t tasks, agb_time from)
{
	struct keep *const k = &p->keeps[ri];

	for (; tasks > 0; tasks--)
		agb_resources_add(&k->need, &step->need);
	if (k->from == 0 || from < k->from)
		k->from = from;
	p->l->runners[ri].kept = true;
}

/* Keeps room for a gang that does not fit now: small tasks that take what
 * comes free would hold it up for ever. Returns when it is expected to
 * start. */
static agb_time
reserve(struct pass *p, struct wf_unit *u, const struct wf_queue *q)
{
	const struct wf_step *const step = wf_unit_step(u);
	struct offer *offers;
	struct plan *plans;
	uint32_t left, most;
	size_t len, i, at;
	agb_time from;

	len = possible(p, u, q, p->stale);
	plans = agb_xcalloc(len + 1, sizeof(*plans));
	for (i = 0; i < len; i++)
		plan_make(p, u, p->stale[i], &plans[i]);
	at = room_from(u, plans, len);
	if (at == PLAN_TIMES) {
		free(plans);
		return AGB_TIME_MAX;
	}
	p->reserved++;
	from = p->now->mono + plan_ms[at] * AGB_MS;
	offers = agb_xcalloc(len + 1, sizeof(*offers));
	for (i = 0; i < len; i++) {
		offers[i].fit = plans[i].fit[at];
		offers[i].runner = plans[i].runner;
	}
	if (len > 1)
		qsort(offers, len, sizeof(*offers), offer_order);
	left = u->waiting;
	for (i = 0; i < len && left > 0 && offers[i].fit > 0; i++) {
		most = offers[i].fit < left ? offers[i].fit : left;
		keep_at(p, step, offers[i].runner, most, from);
		left -= most;
	}
	free(offers);
	free(plans);
	return from;
}

/* ---- one unit ---- */

/* A gang starts as a whole, once nothing of an earlier run is left; only
 * members whose start has failed are placed later. */
static bool
gang_blocked(const struct wf_unit *u, agb_time now)
{
	uint32_t i;

	if (u->active > 0)
		return now >= u->repair_until;
	for (i = 0; i < wf_unit_step(u)->count; i++) {
		if (u->exec->tasks[u->first + i].holds)
			return true;
	}
	return false;
}

static int
room_order(const void *a, const void *b)
{
	const struct room *const x = a, *const y = b;

	return x->cpu > y->cpu ? -1 : x->cpu < y->cpu ? 1 : 0;
}

/* The usable runners of a service as they were when this pass came to it
 * first, the emptiest first: placements since then only take room. */
static void
rooms_make(struct pass *p, const char *service)
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
		cpu = wf_fleet_free(r).cpu_milli;
		if (!wf_fleet_usable(r, p->now->mono) || cpu <= 0 ||
		    strcmp(r->info.service, service) != 0)
			continue;
		p->rooms[p->rooms_len].runner = ri;
		p->rooms[p->rooms_len++].cpu = cpu;
		p->free_cpu += cpu;
	}
	if (p->rooms_len > 1)
		qsort(p->rooms, p->rooms_len, sizeof(*p->rooms), room_order);
}

/* Whether there is room for one task of the unit beyond what units before it
 * have claimed. */
static bool
has_room(struct pass *p, const struct wf_unit *u, const char *service)
{
	const struct wf_step *const step = wf_unit_step(u);
	const int64_t cpu = step->need.cpu_milli > 0 ? step->need.cpu_milli : 1;
	const struct wf_runner *r;
	int64_t room;
	size_t i;

	rooms_make(p, service);
	if (p->free_cpu <= p->claimed)
		return false;
	room = -p->claimed;
	for (i = 0; i < p->rooms_len && room <= 0; i++) {
		if (p->rooms[i].cpu < step->need.cpu_milli)
			break;
		r = &p->l->runners[p->rooms[i].runner];
		if (wf_runner_has_label(&r->info, step->label))
			room += cpu * wf_step_fit_count(step, wf_fleet_free(r));
	}
	return room > 0;
}

/* Units that need long for their advice ask before there is room; of the
 * others only as many as will find room: the answers take the leader's time,
 * and their tickets run out while the unit waits. */
static bool
may_ask(struct pass *p, const struct wf_unit *u, const struct wf_queue *q)
{
	return q->advice_base_ms > ADVICE_SOON_MS || has_room(p, u, q->service);
}

/* Approvals that are missing, and tickets that have run out. */
static void
ask(struct pass *p, struct wf_unit *u, const struct wf_queue *q,
    size_t stale_len, agb_time from)
{
	const agb_time lead =
	    (agb_time)(q->advice_base_ms +
		q->advice_per_runner_ms * (double)stale_len + RENEW_MARGIN_MS) *
	    AGB_MS;

	if (!q->advice_required)
		return;
	if (!u->asking && may_ask(p, u, q)) {
		if (stale_len > 0 && from <= p->now->mono + lead)
			wf_advice_again(
			    p->l, p->now, u, p->stale, stale_len, p->out);
		wf_advice_want(p->l, p->now, u, p->out);
	}
	if (q->advice_base_ms <= ADVICE_SOON_MS &&
	    (u->asking || wf_advice_fresh(u, p->now->mono)))
		p->claimed += u->waiting * wf_unit_step(u)->need.cpu_milli;
}

static void
place_gang(struct pass *p, struct wf_unit *u, const struct wf_queue *q)
{
	const struct wf_step *const step = wf_unit_step(u);
	size_t len, stale_len, i;
	agb_time from;
	uint64_t room;

	if (u->active > 0 && u->repair_until > 0 &&
	    p->now->mono >= u->repair_until) {
		u->repair_until = 0;
		wf_gang_stop(p->l, p->now, u, p->out);
	}
	if (gang_blocked(u, p->now->mono))
		return;
	len = candidates(p, u, q, &stale_len);
	if (step->rack_local)
		len = keep_one_rack(p->cands, len, u->waiting);
	room = 0;
	for (i = 0; i < len; i++)
		room += p->cands[i].fit;
	if (room >= u->waiting) {
		if (len > 1)
			qsort(p->cands, len, sizeof(*p->cands), cand_order);
		place_on(p, u, p->cands, len);
		return;
	}
	from = AGB_TIME_MAX;
	if (p->reserved < RESERVE_MIN + p->l->runners_len / RESERVE_RUNNERS &&
	    p->now->mono - u->ready_at >= RESERVE_AFTER_MS * AGB_MS)
		from = reserve(p, u, q);
	if (from != AGB_TIME_MAX && stale_len == 0 && q->advice_required) {
		/* Tickets have to be fresh when the room is there. */
		for (i = 0; i < u->approvals_len; i++) {
			if (u->approvals[i].ok && u->approvals[i].until < from)
				stale_len++;
		}
	}
	/* All approved runners, whether they have room now or not. */
	if (stale_len > 0)
		stale_len = possible(p, u, q, p->stale);
	ask(p, u, q, stale_len, from);
}

static void
place_tasks(struct pass *p, struct wf_unit *u, const struct wf_queue *q)
{
	size_t len, stale_len;

	len = candidates(p, u, q, &stale_len);
	if (wf_unit_step(u)->rack_local)
		len = keep_one_rack(p->cands, len, u->waiting);
	if (len > 1)
		qsort(p->cands, len, sizeof(*p->cands), cand_order);
	if (len > 0)
		place_on(p, u, p->cands, len);
	if (u->waiting > 0)
		ask(p, u, q, stale_len, p->now->mono);
}

agb_time
wf_dispatch(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct pass p = {.l = l, .now = now, .out = out};
	struct entry *list;
	agb_time gap;
	size_t len, i;

	if (l->queue_len == 0 || l->doc == NULL ||
	    !wf_leader_may_order(l, now->mono))
		return AGB_TIME_MAX;
	if (!wf_fleet_met(l, now->mono))
		return now->mono + PASS_GAP_MS * AGB_MS;
	if (!l->changed && now->mono < l->dispatch_at + PASS_IDLE_MS * AGB_MS)
		return l->dispatch_at + PASS_IDLE_MS * AGB_MS;
	gap = (PASS_GAP_MS + l->queue_len / PASS_GAP_UNITS) * AGB_MS;
	if (now->mono < l->dispatch_at + gap)
		return l->dispatch_at + gap;
	l->dispatch_at = now->mono;
	l->changed = false;
	len = sort_queue(l, now->mono, &list);
	wf_advice_claims(l, now->mono);
	p.cands = agb_xcalloc(l->runners_len + 1, sizeof(*p.cands));
	p.stale = agb_xcalloc(l->runners_len + 1, sizeof(*p.stale));
	p.rooms = agb_xcalloc(l->runners_len + 1, sizeof(*p.rooms));
	p.keeps = agb_xcalloc(l->runners_len + 1, sizeof(*p.keeps));
	p.endings = agb_xcalloc(l->runners_len + 1, sizeof(void *));
	for (i = 0; i < len; i++) {
		if (wf_unit_step(list[i].u)->gang)
			place_gang(&p, list[i].u, list[i].q);
		else
			place_tasks(&p, list[i].u, list[i].q);
	}
	/* What is kept now steers the choices of the next pass. */
	for (i = 0; i < l->runners_len; i++) {
		l->runners[i].kept = p.keeps[i].from > 0;
		free(p.endings[i]);
	}
	free(p.endings);
	free(p.keeps);
	free(p.stale);
	free(p.rooms);
	free(p.cands);
	free(list);
	return now->mono + PASS_IDLE_MS * AGB_MS;
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_leader.h"

/* Least time between two passes over the queue. */
#define PASS_GAP_MS 8
/* A pass comes at least this often while units wait. */
#define PASS_IDLE_MS 50
/* An objective is out of reach after this multiple of its time; a job that
 * is later still earns nothing for its caller. */
#define LATE_FACTOR 3

/* Classes of urgency, best first. */
enum {
	CLASS_IN_TIME,
	CLASS_LATE,
	CLASS_HOPELESS,
};

struct entry {
	struct wf_unit *u;
	int class;
	uint32_t priority;
	agb_time due;
};

/* A runner that may take tasks of a unit, and how many it can hold. */
struct cand {
	uint32_t runner;
	uint32_t fit;
	int64_t left;
	bool near;
	const char *rack;
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

/* Work that is left on the longest chain from a unit on, by estimate. */
static agb_time
left_of(const struct wf_unit *u)
{
	return (agb_time)wf_unit_step(u)->estimate_ms * AGB_MS;
}

static int
class_of(const struct wf_unit *u, agb_time now)
{
	const agb_time end = now + left_of(u);
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
	DL_FOREACH(l->queue, u) {
		q = wf_unit_queue(l, u);
		if (q == NULL)
			continue;
		(*list)[n].u = u;
		(*list)[n].class = class_of(u, now);
		(*list)[n].priority = q->priority;
		(*list)[n].due = u->due;
		n++;
	}
	qsort(*list, n, sizeof(**list), entry_order);
	return n;
}

static uint32_t
div_fit(int64_t room, int64_t need)
{
	if (need <= 0)
		return UINT32_MAX;
	if (room < need)
		return 0;
	return (uint32_t)(room / need);
}

static uint32_t
fit_of(const struct wf_runner *r, const struct wf_step *step)
{
	const struct agb_resources room = wf_fleet_free(r);
	uint32_t n, k;

	n = div_fit(room.cpu_milli, step->need.cpu_milli);
	k = div_fit(room.mem_mb, step->need.mem_mb);
	n = k < n ? k : n;
	k = div_fit(room.accel, step->need.accel);
	return k < n ? k : n;
}

/* Tasks of a unit that are counted at a runner. */
static uint32_t
unit_at(const struct wf_unit *u, const struct wf_runner *r)
{
	const struct wf_task *t;
	uint32_t n;

	n = 0;
	DL_FOREACH(r->tasks, t) {
		if (t->unit == u)
			n++;
	}
	return n;
}

static bool
cand_make(const struct wf_leader *l, agb_time now, const struct wf_unit *u,
    const char *service, uint32_t ri, struct cand *c)
{
	const struct wf_step *const step = wf_unit_step(u);
	const struct wf_runner *const r = &l->runners[ri];
	uint32_t at;

	if (!wf_fleet_usable(r, now) ||
	    strcmp(r->info.service, service) != 0 ||
	    !wf_runner_has_label(&r->info, step->label))
		return false;
	c->fit = fit_of(r, step);
	if (step->spread_max > 0 && c->fit > 0) {
		at = unit_at(u, r);
		if (at >= step->spread_max)
			c->fit = 0;
		else if (c->fit > step->spread_max - at)
			c->fit = step->spread_max - at;
	}
	if (c->fit == 0)
		return false;
	c->runner = ri;
	c->left = wf_fleet_free(r).cpu_milli;
	c->near = step->rack[0] == '\0' ||
	    wf_runner_has_label(&r->info, step->rack);
	c->rack = r->info.labels_len > 0
	    ? r->info.labels[r->info.labels_len - 1]
	    : "";
	return true;
}

/* Runners that have room for the unit. Approved ones whose ticket has run
 * out go to @stale instead. */
static size_t
candidates(const struct wf_leader *l, agb_time now, const struct wf_unit *u,
    const struct wf_queue *q, struct cand *list, uint32_t *stale,
    size_t *stale_len)
{
	const struct wf_approval *a;
	struct cand c;
	uint32_t ri;
	size_t i, n;

	n = 0;
	*stale_len = 0;
	if (!q->advised) {
		for (ri = 0; ri < l->runners_len; ri++) {
			if (cand_make(l, now, u, q->service, ri, &c))
				list[n++] = c;
		}
		return n;
	}
	for (i = 0; i < u->approvals_len; i++) {
		a = &u->approvals[i];
		if (!a->ok || a->life != l->runners[a->runner].life ||
		    !cand_make(l, now, u, q->service, a->runner, &c))
			continue;
		if (a->until > now)
			list[n++] = c;
		else
			stale[(*stale_len)++] = a->runner;
	}
	return n;
}

static int
cand_order(const void *a, const void *b)
{
	const struct cand *const x = a, *const y = b;

	if (x->near != y->near)
		return x->near ? -1 : 1;
	return x->left < y->left ? -1 : x->left > y->left ? 1 : 0;
}

/* For a unit that is slower over several racks: keeps only the candidates
 * of the fullest rack that holds all of it, if there is one. */
static size_t
keep_one_rack(struct cand *list, size_t len, uint32_t count)
{
	uint64_t room, best_room;
	const char *best;
	size_t i, k, n;

	best = NULL;
	best_room = UINT64_MAX;
	for (i = 0; i < len; i++) {
		room = 0;
		for (k = 0; k < len; k++) {
			if (strcmp(list[k].rack, list[i].rack) == 0)
				room += list[k].fit;
		}
		if (room >= count && room < best_room) {
			best = list[i].rack;
			best_room = room;
		}
	}
	if (best == NULL)
		return len;
	n = 0;
	for (i = 0; i < len; i++) {
		if (strcmp(list[i].rack, best) == 0)
			list[n++] = list[i];
	}
	return n;
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
place_on(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct cand *list, size_t len)
{
	const struct wf_step *const step = wf_unit_step(u);
	const uint32_t gang_run = u->run + 1;
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
		wf_task_assign(l, now, u, t, c->runner,
		    step->gang ? gang_run : t->run + 1);
	}
}

static void
place_unit(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct cand *list, uint32_t *stale, struct wf_effects *out)
{
	const struct wf_queue *const q = wf_unit_queue(l, u);
	const struct wf_step *const step = wf_unit_step(u);
	size_t len, stale_len, i;
	uint64_t room;

	if (step->gang && u->active > 0)
		return;
	if (step->gang) {
		/* Members that are done hold until their end is listed. */
		for (i = 0; i < step->count; i++) {
			if (u->exec->tasks[u->first + i].holds)
				return;
		}
	}
	len = candidates(l, now->mono, u, q, list, stale, &stale_len);
	if (step->rack_bound)
		len = keep_one_rack(list, len, u->waiting);
	qsort(list, len, sizeof(*list), cand_order);
	room = 0;
	for (i = 0; i < len; i++)
		room += list[i].fit;
	if (room > 0 && (!step->gang || room >= u->waiting))
		place_on(l, now, u, list, len);
	if (u->waiting == 0 || !q->advised)
		return;
	if (stale_len > 0)
		wf_advice_again(l, now, u, stale, stale_len, out);
	wf_advice_want(l, now, u, out);
}

agb_time
wf_dispatch(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct entry *list;
	struct cand *cands;
	uint32_t *stale;
	size_t len, i;

	if (l->queue_len == 0 || l->doc == NULL ||
	    !wf_leader_may_order(l, now->mono))
		return AGB_TIME_MAX;
	if (!wf_fleet_met(l, now->mono))
		return now->mono + PASS_GAP_MS * AGB_MS;
	if (!l->changed &&
	    now->mono < l->dispatch_at + PASS_IDLE_MS * AGB_MS)
		return l->dispatch_at + PASS_IDLE_MS * AGB_MS;
	if (now->mono < l->dispatch_at + PASS_GAP_MS * AGB_MS)
		return l->dispatch_at + PASS_GAP_MS * AGB_MS;
	l->dispatch_at = now->mono;
	l->changed = false;
	len = sort_queue(l, now->mono, &list);
	cands = agb_xcalloc(l->runners_len + 1, sizeof(*cands));
	stale = agb_xcalloc(l->runners_len + 1, sizeof(*stale));
	for (i = 0; i < len; i++)
		place_unit(l, now, list[i].u, cands, stale, out);
	free(stale);
	free(cands);
	free(list);
	return now->mono + PASS_IDLE_MS * AGB_MS;
}

#include "sched_internal.h"

#include <stdlib.h>
#include <string.h>

/*
 * Worker table and an index of available resources. The index is a tree whose
 * leaves are the workers; each inner node holds, for each resource, the largest
 * amount available below it. The next worker that fits is found without
 * visiting those that do not.
 */

static const struct agb_resources none_available = {-1, -1, -1};

static int64_t
max64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static void
max_of(struct agb_resources *out, const struct agb_resources *a,
    const struct agb_resources *b)
{
	out->cpu_milli = max64(a->cpu_milli, b->cpu_milli);
	out->mem_mb = max64(a->mem_mb, b->mem_mb);
	out->accel = max64(a->accel, b->accel);
}

static void
update_tree(
    struct agb_sched *s, uint32_t leaf, const struct agb_resources *available)
{
	struct agb_resources m;
	size_t i = (size_t)s->tree_leaves + leaf;

	s->tree[i] = *available;
	while (i > 1) {
		i /= 2;
		max_of(&m, &s->tree[2 * i], &s->tree[2 * i + 1]);
		if (memcmp(&m, &s->tree[i], sizeof(m)) == 0)
			return;
		s->tree[i] = m;
	}
}

static void
build_tree(struct agb_sched *s)
{
	size_t i;

	s->tree_leaves = s->workers_cap;
	free(s->tree);
	s->tree = agb_xcalloc((size_t)s->tree_leaves * 2, sizeof(*s->tree));
	for (i = 0; i < s->tree_leaves; i++)
		s->tree[s->tree_leaves + i] = s->workers[i].known
		    ? s->workers[i].available
		    : none_available;
	for (i = s->tree_leaves - 1; i >= 1; i--)
		max_of(&s->tree[i], &s->tree[2 * i], &s->tree[2 * i + 1]);
}

/* Next leaf at or after @from below @node that fits @need. The leaves below the
 * node are [lo, lo + span). */
static uint32_t
find_in_tree(const struct agb_sched *s, const struct agb_resources *need,
    uint32_t node, uint32_t lo, uint32_t span, uint32_t from)
{
	uint32_t found;

	if (lo + span <= from || !agb_resources_fit(need, &s->tree[node]))
		return AGB_SCHED_NONE;
	if (span == 1)
		return lo;
	span /= 2;
	found = find_in_tree(s, need, 2 * node, lo, span, from);
	if (found != AGB_SCHED_NONE)
		return found;
	return find_in_tree(s, need, 2 * node + 1, lo + span, span, from);
}

uint32_t
sched_worker_next_fit(
    const struct agb_sched *s, const struct agb_resources *need, uint32_t from)
{
	if (s->tree_leaves == 0)
		return AGB_SCHED_NONE;
	return find_in_tree(s, need, 1, 0, s->tree_leaves, from);
}

uint32_t
sched_fit_count(
    const struct agb_resources *available, const struct agb_resources *need)
{
	int64_t n = INT32_MAX;

	if (!agb_resources_fit(need, available))
		return 0;
	if (need->cpu_milli > 0 && available->cpu_milli / need->cpu_milli < n)
		n = available->cpu_milli / need->cpu_milli;
	if (need->mem_mb > 0 && available->mem_mb / need->mem_mb < n)
		n = available->mem_mb / need->mem_mb;
	if (need->accel > 0 && available->accel / need->accel < n)
		n = available->accel / need->accel;
	return (uint32_t)n;
}

struct sched_worker *
sched_worker_get(struct agb_sched *s, uint32_t handle)
{
	if (handle >= s->workers_cap || !s->workers[handle].known)
		return NULL;
	return &s->workers[handle];
}

void
sched_worker_dirty_push(struct agb_sched *s, struct sched_worker *w)
{
	if (w->dirty)
		return;
	w->dirty = true;
	s->dirty[(s->dirty_head + s->dirty_len++) % s->workers_cap] = w->handle;
}

uint32_t
sched_worker_dirty_pop(struct agb_sched *s)
{
	uint32_t h;

	if (s->dirty_len == 0)
		return AGB_SCHED_NONE;
	h = s->dirty[s->dirty_head];
	s->dirty_head = (s->dirty_head + 1) % s->workers_cap;
	s->dirty_len--;
	s->workers[h].dirty = false;
	return h;
}

static void
grow_table(struct agb_sched *s, uint32_t handle)
{
	const uint32_t old = s->workers_cap;
	struct sched_worker *const was = s->workers;
	uint32_t *dirty;
	uint32_t i, cap = old > 0 ? old : 64;

	while (cap <= handle)
		cap *= 2;
	dirty = agb_xcalloc(cap, sizeof(*dirty));
	for (i = 0; old > 0 && i < s->dirty_len; i++)
		dirty[i] = s->dirty[(s->dirty_head + i) % old];
	free(s->dirty);
	s->dirty = dirty;
	s->dirty_head = 0;
	/* The slot index links workers by pointer: unlink them, move the table,
	 * link them again. */
	for (i = 0; i < old; i++) {
		if (was[i].known && was[i].slot_level >= 0) {
			was[i].known = false;
			sched_quick_update_index(s, &was[i]);
			was[i].known = true;
		}
	}
	s->workers = agb_xreallocarray(s->workers, cap, sizeof(*s->workers));
	memset(s->workers + old, 0, (size_t)(cap - old) * sizeof(*s->workers));
	s->workers_cap = cap;
	build_tree(s);
	for (i = 0; i < old; i++) {
		if (s->workers[i].known)
			sched_quick_update_index(s, &s->workers[i]);
	}
}

static void
leave_rack(struct agb_sched *s, struct sched_worker *w)
{
	struct sched_rack *const r = &s->racks[w->rack];
	uint32_t i;

	for (i = 0; i < r->len; i++) {
		if (r->workers[i] == w->handle) {
			r->workers[i] = r->workers[--r->len];
			break;
		}
	}
	r->stale = true;
}

static void
join_rack(struct agb_sched *s, struct sched_worker *w)
{
	struct sched_rack *r;
	uint32_t i;

	for (i = 0; i < s->racks_len; i++) {
		if (strcmp(s->racks[i].name, w->info.rack) == 0)
			break;
	}
	if (i == s->racks_len) {
		s->racks = agb_xreallocarray(
		    s->racks, ++s->racks_len, sizeof(*s->racks));
		memset(&s->racks[i], 0, sizeof(*s->racks));
		agb_str_copy(s->racks[i].name, sizeof(agb_name), w->info.rack);
	}
	r = &s->racks[i];
	if (r->len == r->cap) {
		r->cap = r->cap > 0 ? r->cap * 2 : 8;
		r->workers =
		    agb_xreallocarray(r->workers, r->cap, sizeof(*r->workers));
	}
	r->workers[r->len++] = w->handle;
	r->stale = true;
	w->rack = i;
}

struct sched_rack *
sched_rack_get(struct agb_sched *s, uint32_t rack)
{
	struct sched_rack *const r = &s->racks[rack];
	uint32_t i;

	if (!r->stale)
		return r;
	r->max_available = none_available;
	for (i = 0; i < r->len; i++)
		max_of(&r->max_available, &r->max_available,
		    &s->workers[r->workers[i]].available);
	r->stale = false;
	return r;
}

bool
sched_worker_accepts(const struct sched_worker *w)
{
	if (w->state != AGB_WORKER_LIVE)
		return false;
	if (w->ejected)
		return w->may_probe && w->active_probes == 0;
	/* A worker with failures gets one attempt at a time. */
	return w->failures_len == 0 || w->active_probes == 0;
}

struct agb_resources
sched_worker_usable(const struct sched_worker *w)
{
	struct agb_resources r = w->info.capacity;

	agb_resources_sub(&r, &w->runner_reserved);
	return r;
}

/* Computes the slots that the runner may use, limited by its connections and by
 * the capacity of the worker, and the resources set aside for them. */
static void
update_runner(struct agb_sched *s, struct sched_worker *w)
{
	const uint16_t work = w->info.service;
	struct agb_resources need;
	uint32_t n;

	w->slots = 0;
	memset(&w->runner_reserved, 0, sizeof(w->runner_reserved));
	if (s->env == NULL || work >= s->env->works_len)
		return;
	need = s->env->works[work].need;
	w->slots = w->info.slots < w->info.connections ? w->info.slots
						       : w->info.connections;
	n = sched_fit_count(&w->info.capacity, &need);
	if (w->slots > n)
		w->slots = n;
	n = w->slots > w->slots_busy ? w->slots : w->slots_busy;
	w->runner_reserved.cpu_milli = need.cpu_milli * n;
	w->runner_reserved.mem_mb = need.mem_mb * n;
	w->runner_reserved.accel = need.accel * n;
}

static bool
has_grown(const struct agb_resources *now, const struct agb_resources *was)
{
	return now->cpu_milli > was->cpu_milli || now->mem_mb > was->mem_mb ||
	    now->accel > was->accel;
}

/* Recomputes the headroom kept free for urgent work. */
static void
update_headroom(struct agb_sched *s)
{
	const int64_t pct = s->env != NULL ? s->env->headroom_percent : 0;

	s->headroom.cpu_milli = s->live_capacity.cpu_milli * pct / 100;
	s->headroom.mem_mb = s->live_capacity.mem_mb * pct / 100;
	s->headroom.accel = s->live_capacity.accel * pct / 100;
}

static void
update_totals(struct agb_sched *s, struct sched_worker *w, bool on)
{
	const uint16_t work = w->info.service;
	const bool hosts = work < s->works_len;
	const struct agb_resources was = s->live_free;

	if (w->tracked) {
		agb_resources_sub(&s->live_capacity, &w->tracked_cap);
		agb_resources_sub(&s->live_free, &w->tracked_free);
	}
	if (hosts)
		s->works[work].slots -= w->tracked_slots;
	update_headroom(s);
	w->tracked = on;
	w->tracked_slots = 0;
	if (!on)
		return;
	w->tracked_cap = sched_worker_usable(w);
	w->tracked_free = w->tracked_cap;
	agb_resources_sub(&w->tracked_free, &w->allocated);
	agb_resources_add(&s->live_capacity, &w->tracked_cap);
	update_headroom(s);
	agb_resources_add(&s->live_free, &w->tracked_free);
	s->headroom_grew = s->headroom_grew || has_grown(&s->live_free, &was);
	if (hosts) {
		w->tracked_slots = w->slots;
		s->works[work].slots += w->tracked_slots;
	}
}

void
sched_worker_refresh(struct agb_sched *s, struct sched_worker *w)
{
	const struct agb_resources was = w->available;

	update_runner(s, w);
	update_totals(s, w, w->state == AGB_WORKER_LIVE && !w->ejected);
	if (sched_worker_accepts(w)) {
		w->available = sched_worker_usable(w);
		agb_resources_sub(&w->available, &w->allocated);
		agb_resources_sub(&w->available, &w->reserved);
	} else {
		w->available = none_available;
	}
	sched_quick_update_index(s, w);
	if (memcmp(&was, &w->available, sizeof(was)) == 0)
		return;
	update_tree(s, w->handle, &w->available);
	s->racks[w->rack].stale = true;
	if (has_grown(&w->available, &was))
		sched_worker_dirty_push(s, w);
}

struct sched_worker *
sched_worker_put(struct agb_sched *s, uint32_t handle,
    const struct agb_worker_info *info, enum agb_worker_state state)
{
	struct sched_worker *w;

	if (handle >= s->workers_cap)
		grow_table(s, handle);
	w = &s->workers[handle];
	if (!w->known) {
		const bool dirty = w->dirty;

		memset(w, 0, sizeof(*w));
		w->known = true;
		w->dirty = dirty;
		w->handle = handle;
		w->slot_level = -1;
		w->available = none_available;
		w->info = *info;
		s->workers_len++;
		join_rack(s, w);
	} else {
		const enum agb_worker_state keep = w->state;

		/* Remove it from the totals and the slot index before its info
		 * changes. */
		w->state = AGB_WORKER_JOINING;
		sched_worker_refresh(s, w);
		w->state = keep;
		leave_rack(s, w);
		w->info = *info;
		join_rack(s, w);
	}
	w->state = state;
	sched_worker_refresh(s, w);
	return w;
}

void
sched_worker_remove(struct agb_sched *s, struct sched_worker *w)
{
	w->state = AGB_WORKER_GONE;
	sched_worker_refresh(s, w);
	if (w->ejected)
		s->ejected_workers--;
	w->ejected = false;
	leave_rack(s, w);
	w->known = false;
	s->workers_len--;
}

#include "wfsim.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_table.h"

/* Answers of a slow store until all jobs or states are read. */
#define FULL_READ_PAGES 4
#define HISTORY_MAX 65536
#define JOBS_MAX 4096
#define KILL_MS 300
#define GANG_WAIT_MS 3000
#define HOLD_MAX_MS 10000
#define DRAIN_GRACE_MS 600
#define HEARTBEAT_MS 1500
/* Three missed heartbeats. */
#define LAPSE_MS 4500
#define UNIX_BASE_MS 1700000000000LL
/* A link that is too small for the holds of a single runner. */
#define RELAYS_LINK_KBPS 80

struct item {
	char *key;
	char *val;
	size_t len;
	uint64_t mod;
	uint64_t made;
	int64_t lease;
	bool deleted;
};

struct lease {
	int64_t id;
	agb_time until;
	unsigned ttl_ms;
};

/* Response time of a task that lasts, and what a filling one adds to it. */
#define TAIL_ALONE_MS 20
#define TAIL_FILL_MS 100

/* A run at a runner. */
struct run {
	struct wf_task_ref task;
	uint32_t run;
	struct agb_resources need;
	agb_time began;
	agb_time ends;	/* 0 while it hangs or waits for its gang */
	agb_time works; /* since when it makes progress */
	uint32_t percent;
	uint32_t pace; /* share at which it works, in percent */
	bool stopping;
	bool waits;
	enum wf_end how;
};

struct simrunner {
	struct wf_runner_info info;
	bool up;
	bool cut;
	bool hang;
	bool faulty;
	bool deaf; /* starts get no answer and are not carried out */
	bool listed;
	agb_time born;
	agb_time lease_until;
	agb_time unlist_at;
	uint64_t fence;
	uint64_t seq;
	struct run *runs;
	size_t runs_len;
	struct wf_finished *ends;
	size_t ends_len;
	struct wf_finished *stopped; /* runs that may not start any more */
	size_t stopped_len;
};

struct simcore {
	struct wf_core *core;
	unsigned gen;
	bool up;
	agb_time frozen_until;
	bool cut;
	bool alone;
	bool registry;
	struct {
		bool on;
		bool synced;
		unsigned starts;
		uint32_t pace;
		uint64_t pos;
	} feeds[WF_FEEDS];
	enum sim_store_mode store;
	agb_time tick_at;
	bool ready;
};

struct simtask {
	uint32_t starts;
	uint32_t failed;
	bool done;
	bool done_observed;
};

struct simjob {
	wf_job_id id;
	struct wf_spec spec;
	unsigned status;
	unsigned starts;
	agb_time started_at;
	agb_time cancel_at;
	bool cancel_acked;
	struct simtask *tasks;
};

struct ev {
	agb_time at;
	uint64_t seq;
	void (*fn)(struct sim *s, struct ev *e);
	unsigned core;
	unsigned gen;
	uint64_t tag;
	void *p;
	uint64_t a, b;
};

/* A question for the text of a job. */
struct textcall {
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	wf_job_id job;
};

struct sim {
	struct sim_options o;
	uint64_t random;
	agb_time now;
	struct ev **heap;
	size_t heap_len, heap_cap;
	uint64_t ev_seq;
	struct item *items;
	size_t items_len;
	struct item *log;
	size_t log_len;
	uint64_t log_first;
	uint64_t rev;
	struct lease *leases;
	size_t leases_len;
	int64_t next_lease;
	enum sim_store_mode store;
	unsigned store_calls;
	unsigned full_reads;
	unsigned relays;
	unsigned relayed;
	unsigned direct;
	unsigned text_bytes;
	unsigned text_calls;
	struct textcall *texts;
	size_t texts_len;
	unsigned store_loses;
	unsigned store_slow_ms;
	unsigned advice_calls;
	struct simcore cores[SIM_CORES_MAX];
	struct simrunner runners[SIM_RUNNERS_MAX];
	struct simjob *jobs;
	size_t jobs_len;
	struct {
		unsigned core;
		unsigned gen;
		uint64_t tag;
	} * puts;
	size_t puts_len;
	struct {
		unsigned core;
		unsigned gen;
		uint64_t tag;
		bool answered;
	} * calls;
	size_t calls_len;
	unsigned violations;
	char violation[512];
};

static void feed(struct sim *s, unsigned ci, struct wf_event *ev);

static uint32_t
rnd(struct sim *s, uint32_t max)
{
	s->random ^= s->random << 13;
	s->random ^= s->random >> 7;
	s->random ^= s->random << 17;
	return (uint32_t)((s->random >> 11) % max);
}

static bool
chance(struct sim *s, unsigned percent)
{
	return percent > 0 && rnd(s, 100) < percent;
}

static void violate(struct sim *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
violate(struct sim *s, const char *fmt, ...)
{
	char text[448];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (s->violations++ == 0)
		snprintf(s->violation, sizeof(s->violation), "%u ms: %s",
		    sim_now_ms(s), text);
}

/* ---- events ---- */

static bool
before(const struct ev *a, const struct ev *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static struct ev *
later(struct sim *s, agb_time in, void (*fn)(struct sim *, struct ev *))
{
	struct ev *const e = agb_xcalloc(1, sizeof(*e));
	size_t i;

	e->at = s->now + in;
	e->seq = ++s->ev_seq;
	e->fn = fn;
	if (s->heap_len == s->heap_cap) {
		s->heap_cap = s->heap_cap > 0 ? 2 * s->heap_cap : 256;
		s->heap = agb_xreallocarray(
		    s->heap, s->heap_cap, sizeof(struct ev *));
	}
	i = s->heap_len++;
	s->heap[i] = e;
	while (i > 0 && before(s->heap[i], s->heap[(i - 1) / 2])) {
		struct ev *const t = s->heap[i];

		s->heap[i] = s->heap[(i - 1) / 2];
		s->heap[(i - 1) / 2] = t;
		i = (i - 1) / 2;
	}
	return e;
}

static struct ev *
pop(struct sim *s)
{
	struct ev *const top = s->heap[0], *t;
	size_t i, c;

	s->heap[0] = s->heap[--s->heap_len];
	i = 0;
	for (;;) {
		c = 2 * i + 1;
		if (c >= s->heap_len)
			break;
		if (c + 1 < s->heap_len && before(s->heap[c + 1], s->heap[c]))
			c++;
		if (!before(s->heap[c], s->heap[i]))
			break;
		t = s->heap[i];
		s->heap[i] = s->heap[c];
		s->heap[c] = t;
		i = c;
	}
	return top;
}

static struct ev *
later_core(struct sim *s, unsigned ci, agb_time in,
    void (*fn)(struct sim *, struct ev *))
{
	struct ev *const e = later(s, in, fn);

	e->core = ci;
	e->gen = s->cores[ci].gen;
	return e;
}

/* Whether an answer still finds the process that waits for it. A frozen one
 * gets it when it wakes. */
static bool
reaches(struct sim *s, struct ev *e, void (*fn)(struct sim *, struct ev *))
{
	struct simcore *const c = &s->cores[e->core];
	struct ev *again;

	if (!c->up || c->gen != e->gen)
		return false;
	if (s->now >= c->frozen_until)
		return true;
	again = later_core(s, e->core, c->frozen_until - s->now, fn);
	again->tag = e->tag;
	again->p = e->p;
	again->a = e->a;
	again->b = e->b;
	e->p = NULL;
	return false;
}

/* ---- store ---- */

static struct item *
item_find(struct sim *s, const char *key)
{
	size_t i;

	for (i = 0; i < s->items_len; i++) {
		if (!s->items[i].deleted && strcmp(s->items[i].key, key) == 0)
			return &s->items[i];
	}
	return NULL;
}

static void
log_add(struct sim *s, const struct item *it)
{
	struct item *l;

	s->log = agb_xreallocarray(s->log, s->log_len + 1, sizeof(*s->log));
	l = &s->log[s->log_len++];
	*l = *it;
	l->key = agb_xstrdup(it->key);
	l->val = agb_xmemdup(it->val != NULL ? it->val : "", it->len);
}

static void
item_put(
    struct sim *s, const char *key, const char *val, size_t len, int64_t lease)
{
	struct item *it;
	size_t i;

	it = item_find(s, key);
	if (it == NULL) {
		for (i = 0; i < s->items_len && !s->items[i].deleted; i++)
			;
		if (i == s->items_len) {
			s->items = agb_xreallocarray(
			    s->items, s->items_len + 1, sizeof(*s->items));
			s->items_len++;
		} else {
			free(s->items[i].key);
			free(s->items[i].val);
		}
		it = &s->items[i];
		memset(it, 0, sizeof(*it));
		it->key = agb_xstrdup(key);
		it->made = s->rev;
	}
	free(it->val);
	it->val = agb_xmemdup(val != NULL ? val : "", len);
	it->len = len;
	it->mod = s->rev;
	it->lease = lease;
	log_add(s, it);
}

static void
item_delete(struct sim *s, const char *key)
{
	struct item *const it = item_find(s, key);

	if (it == NULL)
		return;
	it->deleted = true;
	it->mod = s->rev;
	log_add(s, it);
}

static void
lease_end(struct sim *s, int64_t id)
{
	size_t i;

	for (i = 0; i < s->leases_len; i++) {
		if (s->leases[i].id == id)
			break;
	}
	if (i == s->leases_len)
		return;
	s->leases[i] = s->leases[--s->leases_len];
	s->rev++;
	for (i = 0; i < s->items_len; i++) {
		if (!s->items[i].deleted && s->items[i].lease == id)
			item_delete(s, s->items[i].key);
	}
}

static void
lease_check(struct sim *s, struct ev *e)
{
	size_t i;

	if (s->store == SIM_STORE_UP) {
		for (i = s->leases_len; i > 0; i--) {
			if (s->now >= s->leases[i - 1].until)
				lease_end(s, s->leases[i - 1].id);
		}
	}
	later(s, 20 * SIM_MS, lease_check);
}

static void
kv_of(const struct item *it, struct agb_store_kv *kv)
{
	memset(kv, 0, sizeof(*kv));
	kv->key = agb_xstrdup(it->key);
	kv->val = agb_xmemdup(it->val != NULL ? it->val : "", it->len);
	kv->val_len = it->len;
	kv->create_rev = it->made;
	kv->mod_rev = it->mod;
	kv->lease = it->lease;
	kv->deleted = it->deleted;
}

static struct lease *
lease_find(struct sim *s, int64_t id)
{
	size_t i;

	for (i = 0; i < s->leases_len; i++) {
		if (s->leases[i].id == id)
			return &s->leases[i];
	}
	return NULL;
}

static void
do_txn(
    struct sim *s, const struct agb_store_op *op, struct agb_store_result *res)
{
	struct item *it;
	size_t i;

	for (i = 0; i < op->puts_len; i++) {
		if (op->puts[i].lease != 0 &&
		    lease_find(s, op->puts[i].lease) == NULL)
			return;
	}
	res->succeeded = true;
	for (i = 0; i < op->cmps_len; i++) {
		it = item_find(s, op->cmps[i].key);
		if ((it != NULL ? it->mod : 0) != op->cmps[i].rev)
			res->succeeded = false;
	}
	if (!res->succeeded) {
		res->kvs = agb_xcalloc(op->cmps_len + 1, sizeof(*res->kvs));
		for (i = 0; i < op->cmps_len; i++) {
			it = item_find(s, op->cmps[i].key);
			if (it != NULL)
				kv_of(it, &res->kvs[res->kvs_len++]);
		}
		return;
	}
	res->revision = ++s->rev;
	for (i = 0; i < op->puts_len; i++) {
		if (op->puts[i].is_delete)
			item_delete(s, op->puts[i].key);
		else
			item_put(s, op->puts[i].key, op->puts[i].val,
			    op->puts[i].val_len, op->puts[i].lease);
	}
}

static void
do_op(
    struct sim *s, const struct agb_store_op *op, struct agb_store_result *res)
{
	struct lease *l;
	struct item *it;

	res->status = AGB_STORE_OK;
	switch (op->kind) {
	case AGB_STORE_RANGE:
		res->revision = s->rev;
		it = item_find(s, op->key);
		if (it == NULL)
			break;
		res->kvs = agb_xcalloc(1, sizeof(*res->kvs));
		kv_of(it, &res->kvs[res->kvs_len++]);
		break;
	case AGB_STORE_TXN:
		do_txn(s, op, res);
		break;
	case AGB_STORE_LEASE_GRANT:
		s->leases = agb_xreallocarray(
		    s->leases, s->leases_len + 1, sizeof(*s->leases));
		l = &s->leases[s->leases_len++];
		l->id = ++s->next_lease;
		l->ttl_ms = op->ttl_ms;
		l->until = s->now + op->ttl_ms * SIM_MS;
		res->lease = l->id;
		res->ttl_s = 1;
		break;
	case AGB_STORE_LEASE_KEEPALIVE:
		l = lease_find(s, op->lease);
		if (l == NULL)
			break;
		l->until = s->now + l->ttl_ms * SIM_MS;
		res->ttl_s = 1;
		break;
	case AGB_STORE_LEASE_REVOKE:
		lease_end(s, op->lease);
		break;
	}
}

struct storecall {
	struct agb_store_op op;
	struct agb_store_result res;
};

static void
storecall_free(struct storecall *c)
{
	agb_store_op_free(&c->op);
	agb_store_result_free(&c->res);
	free(c);
}

static void
store_answer(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_STORE, .tag = e->tag};
	struct storecall *const c = e->p;

	if (!reaches(s, e, store_answer)) {
		if (e->p != NULL)
			storecall_free(c);
		return;
	}
	ev.u.store = &c->res;
	feed(s, e->core, &ev);
	storecall_free(c);
}

static void
store_late(struct sim *s, struct ev *e)
{
	struct storecall *const c = e->p;

	do_op(s, &c->op, &c->res);
	storecall_free(c);
}

static void
store_arrives(struct sim *s, struct ev *e)
{
	const enum sim_store_mode mode =
	    s->store != SIM_STORE_UP ? s->store : s->cores[e->core].store;
	struct storecall *const c = e->p;
	struct storecall *copy;
	agb_time back;
	struct ev *r;

	s->store_calls++;
	back = (s->o.latency_ms + s->store_slow_ms) * SIM_MS;
	if (mode == SIM_STORE_REFUSES) {
		c->res.status = AGB_STORE_REFUSED;
	} else if (mode == SIM_STORE_SILENT) {
		c->res.status = AGB_STORE_LOST;
		back = e->a * SIM_MS;
	} else if ((c->op.kind == AGB_STORE_TXN &&
		       chance(s, s->o.store_lost_percent)) ||
	    (c->op.kind != AGB_STORE_RANGE && chance(s, s->store_loses))) {
		/* Carried out now or later, and never answered. */
		copy = agb_xcalloc(1, sizeof(*copy));
		copy->op = c->op;
		memset(&c->op, 0, sizeof(c->op));
		later(s, chance(s, 50) ? 0 : rnd(s, 4000) * SIM_MS, store_late)
		    ->p = copy;
		c->res.status = AGB_STORE_LOST;
		back = e->a * SIM_MS;
	} else {
		do_op(s, &c->op, &c->res);
	}
	r = later(s, back, store_answer);
	r->core = e->core;
	r->gen = e->gen;
	r->tag = e->tag;
	r->p = c;
}

static void
send_store(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct storecall *const c = agb_xcalloc(1, sizeof(*c));
	struct ev *const e =
	    later_core(s, ci, s->o.latency_ms * SIM_MS, store_arrives);

	c->op = ef->u.store;
	memset(&ef->u.store, 0, sizeof(ef->u.store));
	e->tag = ef->tag;
	e->a = ef->timeout_ms;
	e->p = c;
}

static bool
in_feed(enum wf_feed_id id, const char *key)
{
	static const char *const prefixes[WF_FEEDS] = {
	    WF_PREFIX_CONTROL, WF_PREFIX_JOBS, WF_PREFIX_STATES};

	return strncmp(key, prefixes[id], strlen(prefixes[id])) == 0;
}

static void
feed_send(struct sim *s, unsigned ci, enum wf_feed_id id, bool full)
{
	const struct item *const from = full ? s->items : s->log;
	const size_t len = full ? s->items_len : s->log_len;
	const uint64_t pos = s->cores[ci].feeds[id].pos;
	struct wf_event ev = {.type = WF_EV_FEED};
	struct agb_store_kv *kvs;
	size_t i, n;

	kvs = agb_xcalloc(len + 1, sizeof(*kvs));
	n = 0;
	i = 0;
	if (!full) {
		for (i = len; i > 0 && from[i - 1].mod > pos; i--)
			;
	}
	for (; i < len; i++) {
		if (!(full && from[i].deleted) && in_feed(id, from[i].key))
			kv_of(&from[i], &kvs[n++]);
	}
	s->cores[ci].feeds[id].pos = s->rev;
	s->cores[ci].feeds[id].synced = true;
	ev.u.feed.id = id;
	ev.u.feed.full = full;
	ev.u.feed.revision = s->rev;
	ev.u.feed.items = kvs;
	ev.u.feed.items_len = n;
	if (n > 0 || full)
		feed(s, ci, &ev);
	agb_store_kvs_free(kvs, n);
}

static void
poll_feed(struct sim *s, struct ev *e)
{
	struct simcore *const c = &s->cores[e->core];
	const enum wf_feed_id id = (enum wf_feed_id)e->a;
	struct ev *again;
	uint64_t starts;

	if (!reaches(s, e, poll_feed))
		return;
	starts = e->b;
	if (!c->feeds[id].on || c->feeds[id].starts != starts)
		return;
	if (s->store == SIM_STORE_UP && c->store == SIM_STORE_UP) {
		if (!c->feeds[id].synced || c->feeds[id].pos < s->log_first)
			feed_send(s, e->core, id, true);
		else if (c->feeds[id].pos < s->rev)
			feed_send(s, e->core, id, false);
	}
	if (!c->up || !c->feeds[id].on || c->feeds[id].starts != starts)
		return;
	again = later_core(s, e->core,
	    (c->feeds[id].pace > 5 ? c->feeds[id].pace : 5) * SIM_MS,
	    poll_feed);
	again->a = e->a;
	again->b = starts;
}

static void
set_follow(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	struct simcore *const c = &s->cores[ci];
	struct ev *e;

	c->feeds[ef->feed].on = ef->on;
	c->feeds[ef->feed].synced = false;
	c->feeds[ef->feed].pace = 0;
	c->feeds[ef->feed].starts++;
	if (!ef->on)
		return;
	s->full_reads += ef->feed == WF_FEED_JOBS;
	e = later_core(s, ci,
	    (5 +
		s->store_slow_ms *
		    (ef->feed == WF_FEED_CONTROL ? 1 : FULL_READ_PAGES)) *
		SIM_MS,
	    poll_feed);
	e->a = ef->feed;
	e->b = c->feeds[ef->feed].starts;
}

/* ---- runners ---- */

static struct simjob *
job_find(const struct sim *s, const char *id)
{
	size_t i;

	for (i = 0; i < s->jobs_len; i++) {
		if (strcmp(s->jobs[i].id, id) == 0)
			return &s->jobs[i];
	}
	return NULL;
}

static struct simtask *
task_find(struct simjob *j, const struct wf_task_ref *ref)
{
	uint32_t i, at;

	at = ref->occurrence * wf_spec_tasks(&j->spec);
	for (i = 0; i < ref->step; i++)
		at += j->spec.steps[i].count;
	return &j->tasks[at + ref->index];
}

static int64_t
runner_clock(const struct sim *s, const struct simrunner *r)
{
	return (int64_t)((s->now - r->born) / SIM_MS) + 1000;
}

static void
add_end(
    struct sim *s, struct simrunner *r, const struct run *run, enum wf_end how)
{
	struct simjob *const j = job_find(s, run->task.job);
	struct wf_finished *f;

	r->ends = agb_xreallocarray(r->ends, r->ends_len + 1, sizeof(*r->ends));
	f = &r->ends[r->ends_len++];
	memset(f, 0, sizeof(*f));
	f->seq = ++r->seq;
	f->task = run->task;
	f->run = run->run;
	f->how = how;
	r->stopped = agb_xreallocarray(
	    r->stopped, r->stopped_len + 1, sizeof(*r->stopped));
	r->stopped[r->stopped_len++] = *f;
	if (j == NULL)
		return;
	if (how == WF_END_DONE)
		task_find(j, &run->task)->done = true;
	if (how == WF_END_FAILED)
		task_find(j, &run->task)->failed++;
}

/* Members of a gang at work, by their step and run. */
static unsigned
gang_present(struct sim *s, const struct run *g)
{
	unsigned ri, n;
	size_t i;

	n = 0;
	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; i < s->runners[ri].runs_len; i++) {
			const struct run *const x = &s->runners[ri].runs[i];

			if (x->run == g->run && x->task.step == g->task.step &&
			    x->task.occurrence == g->task.occurrence &&
			    strcmp(x->task.job, g->task.job) == 0)
				n++;
		}
	}
	return n;
}

static void
gang_each(struct sim *s, const struct run *g,
    void (*fn)(struct sim *s, struct run *x, uint64_t a), uint64_t a)
{
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; i < s->runners[ri].runs_len; i++) {
			struct run *const x = &s->runners[ri].runs[i];

			if (x->run == g->run && x->task.step == g->task.step &&
			    x->task.occurrence == g->task.occurrence &&
			    strcmp(x->task.job, g->task.job) == 0)
				fn(s, x, a);
		}
	}
}

static void
member_begin(struct sim *s, struct run *x, uint64_t ends)
{
	x->waits = false;
	x->works = s->now;
	x->ends = ends;
	x->how = WF_END_DONE;
}

static void
member_break(struct sim *s, struct run *x, uint64_t a)
{
	if (x->ends > s->now || x->waits || x->ends == 0) {
		x->ends = s->now;
		x->waits = false;
		x->how = WF_END_BROKEN;
	}
}

/* A runner that stands still holds its tasks where they are. */
static void
run_progress(struct sim *s, const struct simrunner *r, struct run *x)
{
	const agb_time step = 5 * SIM_MS;

	if (x->waits || x->ends <= x->works || x->stopping)
		return;
	if (r->hang) {
		x->works += step;
		x->ends += step;
		return;
	}
	if (s->now >= x->ends)
		return;
	x->percent =
	    (uint32_t)((s->now - x->works) * 100 / (x->ends - x->works));
}

static void
run_remove(struct simrunner *r, size_t i)
{
	r->runs[i] = r->runs[--r->runs_len];
}

/* Ends the runs whose time has come. */
static void
runner_step(struct sim *s, struct simrunner *r)
{
	struct run x;
	size_t i;

	if (!r->up)
		return;
	for (i = r->runs_len; i > 0; i--) {
		if (s->o.stalls)
			run_progress(s, r, &r->runs[i - 1]);
		x = r->runs[i - 1];
		if (r->lease_until <= s->now) {
			run_remove(r, i - 1);
			add_end(s, r, &x, WF_END_LAPSED);
			gang_each(s, &x, member_break, 0);
			continue;
		}
		if (x.waits && s->now - x.began > GANG_WAIT_MS * SIM_MS) {
			run_remove(r, i - 1);
			add_end(s, r, &x, WF_END_ALONE);
			continue;
		}
		if (x.waits || x.ends == 0 || s->now < x.ends ||
		    (r->hang && !x.stopping))
			continue;
		run_remove(r, i - 1);
		add_end(s, r, &x, x.how);
		if (x.how != WF_END_DONE) {
			const struct simjob *const j = job_find(s, x.task.job);

			if (j != NULL && j->spec.steps[x.task.step].gang)
				gang_each(s, &x, member_break, 0);
		}
	}
}

static void
step_runners(struct sim *s, struct ev *e)
{
	unsigned ri;

	for (ri = 0; ri < s->o.runners; ri++)
		runner_step(s, &s->runners[ri]);
	later(s, 5 * SIM_MS, step_runners);
}

struct ordercall {
	struct wf_order o;
	struct wf_order_result res;
	agb_time wait_until;
};

static void
ordercall_free(struct ordercall *c)
{
	free(c->o.text);
	free(c->res.active);
	free(c->res.finished);
	free(c);
}

static void
check_start(struct sim *s, const struct simrunner *r, struct simjob *j,
    const struct wf_order *o)
{
	struct simtask *const t = task_find(j, &o->task);
	const struct wf_step *const step = &j->spec.steps[o->task.step];
	struct agb_resources held = wf_step_held(step);
	struct agb_resources need;
	unsigned ri;
	size_t i;
	uint32_t k;

	for (i = 0; i < r->runs_len; i++) {
		const struct simjob *const other =
		    job_find(s, r->runs[i].task.job);

		if (other == NULL)
			continue;
		need = wf_step_held(&other->spec.steps[r->runs[i].task.step]);
		agb_resources_add(&held, &need);
	}
	if (!agb_resources_fit(&held, &r->info.capacity))
		violate(s, "limit: %s starts %s.%u beyond its capacity",
		    r->info.id, j->id, o->task.index);
	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; s->runners[ri].up && i < s->runners[ri].runs_len;
		     i++) {
			if (wf_task_ref_same(
				&s->runners[ri].runs[i].task, &o->task))
				violate(s, "twice: %s.%u.%u on %s and %s",
				    j->id, o->task.step, o->task.index,
				    s->runners[ri].info.id, r->info.id);
		}
	}
	if (t->done_observed)
		violate(s, "twice: %s.%u.%u starts after it was done", j->id,
		    o->task.step, o->task.index);
	if (t->failed >= s->o.attempts)
		violate(s, "budget: %s.%u.%u starts after %u failures", j->id,
		    o->task.step, o->task.index, t->failed);
	if (j->cancel_acked && s->now > j->cancel_at + 3000 * SIM_MS)
		violate(s, "unasked: %s.%u starts after its cancelling", j->id,
		    o->task.index);
	if (j->status == 503 || j->status == 429)
		violate(s, "refused: %s starts though it was refused", j->id);
	for (k = 0; k < o->task.step; k++) {
		struct wf_task_ref ref = o->task;
		bool done = true, any = false;

		if ((step->after >> k & 1) == 0)
			continue;
		ref.step = k;
		for (ref.index = 0; ref.index < j->spec.steps[k].count;
		     ref.index++) {
			done = done && task_find(j, &ref)->done;
			any = any || task_find(j, &ref)->done;
		}
		/* One done member stands for its gang. */
		if (!(j->spec.steps[k].gang ? any : done))
			violate(s, "order: %s.%u before %u", j->id,
			    o->task.step, k);
	}
}

static bool
may_not_run(const struct simrunner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->stopped_len; i++) {
		if (wf_task_ref_same(&r->stopped[i].task, &o->task) &&
		    o->run <= r->stopped[i].run)
			return true;
	}
	return false;
}

static void
lease_take(struct sim *s, struct simrunner *r, int64_t deadline_ms)
{
	int64_t ms;

	if (deadline_ms == 0)
		return;
	ms = deadline_ms - runner_clock(s, r);
	if (ms > HOLD_MAX_MS)
		ms = HOLD_MAX_MS;
	if (ms > 0 && s->now + (agb_time)ms * SIM_MS > r->lease_until)
		r->lease_until = s->now + (agb_time)ms * SIM_MS;
}

static enum wf_order_status
do_start(struct sim *s, struct simrunner *r, const struct wf_order *o)
{
	const uint64_t stretch = s->o.stretch > 0 ? s->o.stretch : 1;
	struct simjob *const j = job_find(s, o->task.job);
	const struct wf_step *step;
	struct run *x;
	size_t i;

	if (j == NULL) {
		violate(s, "unasked: %s was never submitted", o->task.job);
		return WF_ORDER_INVALID;
	}
	if (o->deadline_ms < runner_clock(s, r))
		return WF_ORDER_LATE;
	lease_take(s, r, o->deadline_ms);
	for (i = 0; i < r->runs_len; i++) {
		if (wf_task_ref_same(&r->runs[i].task, &o->task) &&
		    r->runs[i].run == o->run)
			return WF_ORDER_OK;
	}
	if (may_not_run(r, o))
		return WF_ORDER_OLD;
	check_start(s, r, j, o);
	step = &j->spec.steps[o->task.step];
	j->starts++;
	if (j->started_at == 0)
		j->started_at = s->now;
	task_find(j, &o->task)->starts++;
	r->runs = agb_xreallocarray(r->runs, r->runs_len + 1, sizeof(*r->runs));
	x = &r->runs[r->runs_len++];
	memset(x, 0, sizeof(*x));
	x->task = o->task;
	x->run = o->run;
	x->need = step->need;
	x->began = s->now;
	x->pace = 100;
	x->how = r->faulty || chance(s, s->o.fail_percent) ? WF_END_FAILED
							   : WF_END_DONE;
	if (step->gang && step->count > 1) {
		x->waits = true;
		if (gang_present(s, x) == step->count)
			gang_each(s, x, member_begin,
			    s->now + step->estimate_ms * stretch * SIM_MS);
	} else {
		x->works = s->now;
		x->ends = s->now +
		    (x->how == WF_END_FAILED ? 50
					     : step->estimate_ms * stretch) *
			SIM_MS;
	}
	return WF_ORDER_OK;
}

static enum wf_order_status
do_stop(struct sim *s, struct simrunner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (!wf_task_ref_same(&r->runs[i].task, &o->task) ||
		    r->runs[i].run > o->run)
			continue;
		if (!r->runs[i].stopping) {
			r->runs[i].stopping = true;
			r->runs[i].waits = false;
			r->runs[i].how = WF_END_STOPPED;
			r->runs[i].ends = s->now + rnd(s, KILL_MS) * SIM_MS;
		}
		return WF_ORDER_OK;
	}
	r->stopped = agb_xreallocarray(
	    r->stopped, r->stopped_len + 1, sizeof(*r->stopped));
	memset(&r->stopped[r->stopped_len], 0, sizeof(*r->stopped));
	r->stopped[r->stopped_len].task = o->task;
	r->stopped[r->stopped_len++].run = o->run;
	return WF_ORDER_OK;
}

static void
observe(struct sim *s, struct simrunner *r, uint64_t upto)
{
	struct simjob *j;
	size_t i, n;

	n = 0;
	for (i = 0; i < r->ends_len; i++) {
		if (r->ends[i].seq > upto) {
			r->ends[n++] = r->ends[i];
			continue;
		}
		j = job_find(s, r->ends[i].task.job);
		if (j != NULL && r->ends[i].how == WF_END_DONE)
			task_find(j, &r->ends[i].task)->done_observed = true;
	}
	r->ends_len = n;
}

/* Response time of a task that lasts: each task that fills beside it adds to
 * it as it works. */
static uint32_t
run_tail(struct sim *s, const struct simrunner *r)
{
	const struct simjob *j;
	uint32_t ms = TAIL_ALONE_MS;
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		j = job_find(s, r->runs[i].task.job);
		if (j != NULL && j->spec.steps[r->runs[i].task.step].fills)
			ms += TAIL_FILL_MS * r->runs[i].pace / 100;
	}
	return ms;
}

static void
do_pace(struct simrunner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (wf_task_ref_same(&r->runs[i].task, &o->task) &&
		    r->runs[i].run == o->run)
			r->runs[i].pace = o->percent;
	}
}

static void
fill_lists(struct sim *s, struct simrunner *r, struct ordercall *c)
{
	size_t i;

	c->res.active = agb_xcalloc(r->runs_len + 1, sizeof(*c->res.active));
	for (i = 0; i < r->runs_len; i++) {
		c->res.active[i].task = r->runs[i].task;
		c->res.active[i].run = r->runs[i].run;
		c->res.active[i].percent =
		    s->o.stalls ? r->runs[i].percent : 100;
		c->res.active[i].load = run_tail(s, r);
	}
	c->res.active_len = r->runs_len;
	c->res.finished =
	    agb_xcalloc(r->ends_len + 1, sizeof(*c->res.finished));
	if (r->ends_len > 0)
		memcpy(
		    c->res.finished, r->ends, r->ends_len * sizeof(*r->ends));
	c->res.finished_len = r->ends_len;
}

static void
order_answer(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_ORDER};
	struct ordercall *const c = e->p;

	if (!reaches(s, e, order_answer)) {
		if (e->p != NULL)
			ordercall_free(c);
		return;
	}
	ev.u.order = &c->res;
	feed(s, e->core, &ev);
	ordercall_free(c);
}

static void
answer(struct sim *s, const struct ev *e, struct ordercall *c, agb_time in)
{
	struct ev *const r = later(s, in, order_answer);

	r->core = e->core;
	r->gen = e->gen;
	r->p = c;
}

static struct simrunner *
runner_at(struct sim *s, const char *id)
{
	const unsigned long ri = strtoul(id + strlen("r-"), NULL, 10);

	return ri < s->o.runners ? &s->runners[ri] : NULL;
}

static void
hold_poll(struct sim *s, struct ev *e)
{
	struct ordercall *const c = e->p;
	struct simrunner *const r = runner_at(s, c->o.runner_id);
	struct ev *again;

	if (!r->up || r->cut) {
		c->res.status = WF_ORDER_LOST;
		answer(s, e, c, 600 * SIM_MS);
		return;
	}
	if (r->ends_len == 0 && s->now < c->wait_until) {
		again = later(s, 5 * SIM_MS, hold_poll);
		again->core = e->core;
		again->gen = e->gen;
		again->p = c;
		return;
	}
	c->res.clock_ms = runner_clock(s, r);
	c->res.born_ms = r->info.born_ms;
	fill_lists(s, r, c);
	answer(s, e, c, s->o.latency_ms * SIM_MS);
}

static void
do_order(struct sim *s, struct simrunner *r, struct ordercall *c)
{
	if (c->o.fence < r->fence) {
		c->res.status = WF_ORDER_FENCED;
		return;
	}
	r->fence = c->o.fence;
	switch (c->o.kind) {
	case WF_ORDER_START:
		c->res.status = do_start(s, r, &c->o);
		break;
	case WF_ORDER_STOP:
		c->res.status = do_stop(s, r, &c->o);
		break;
	case WF_ORDER_PACE:
		do_pace(r, &c->o);
		c->res.status = WF_ORDER_OK;
		break;
	case WF_ORDER_HOLD:
		lease_take(s, r, c->o.deadline_ms);
		observe(s, r, c->o.observed);
		c->res.status = WF_ORDER_OK;
		break;
	}
	c->res.clock_ms = runner_clock(s, r);
	c->res.born_ms = r->info.born_ms;
}

static void
order_late(struct sim *s, struct ev *e)
{
	struct ordercall *const c = e->p;
	struct simrunner *const r = runner_at(s, c->o.runner_id);

	if (r->up && !r->cut && (uint64_t)r->info.born_ms == e->a)
		do_order(s, r, c);
	ordercall_free(c);
}

static void
order_arrives(struct sim *s, struct ev *e)
{
	struct ordercall *const c = e->p;
	struct simrunner *const r = runner_at(s, c->o.runner_id);
	struct ordercall *copy;
	struct ev *l;

	if (r == NULL || !r->up || r->cut || s->cores[e->core].cut) {
		c->res.status = r != NULL && !r->up && !r->cut ? WF_ORDER_UNSENT
							       : WF_ORDER_LOST;
		answer(s, e, c,
		    c->res.status == WF_ORDER_LOST ? c->o.timeout_ms * SIM_MS
						   : s->o.latency_ms * SIM_MS);
		return;
	}
	if (r->deaf && c->o.kind == WF_ORDER_START) {
		c->res.status = WF_ORDER_LOST;
		answer(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	if (chance(s, s->o.late_percent)) {
		copy = agb_xcalloc(1, sizeof(*copy));
		copy->o = c->o;
		copy->o.text = NULL;
		l = later(s, (2000 + rnd(s, 8000)) * SIM_MS, order_late);
		l->p = copy;
		l->a = (uint64_t)r->info.born_ms;
		c->res.status = WF_ORDER_LOST;
		answer(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	do_order(s, r, c);
	if (chance(s, s->o.lost_percent)) {
		c->res.status = WF_ORDER_LOST;
		answer(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	if (c->o.kind == WF_ORDER_HOLD && c->res.status == WF_ORDER_OK) {
		c->wait_until = s->now + c->o.wait_ms * SIM_MS;
		hold_poll(s, e);
		return;
	}
	answer(s, e, c, s->o.latency_ms * SIM_MS);
}

static void
send_order(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct ordercall *const c = agb_xcalloc(1, sizeof(*c));
	struct ev *const e =
	    later_core(s, ci, s->o.latency_ms * SIM_MS, order_arrives);

	c->o = ef->u.order;
	ef->u.order.text = NULL;
	s->relayed += c->o.number > 0;
	s->direct += c->o.number == 0;
	c->res.kind = c->o.kind;
	c->res.number = c->o.number;
	c->res.relay = WF_NONE;
	c->res.fence = c->o.fence;
	c->res.runner = c->o.runner;
	c->res.life = c->o.life;
	c->res.task = c->o.task;
	c->res.run = c->o.run;
	c->res.beside = c->o.beside;
	c->res.sent_at = c->o.sent_at;
	e->p = c;
}

static void
registry_send(struct sim *s, unsigned ci, bool full)
{
	struct wf_runner_change items[SIM_RUNNERS_MAX];
	struct wf_event ev = {.type = WF_EV_RUNNERS};
	unsigned ri;
	size_t n;

	memset(items, 0, sizeof(items));
	n = 0;
	for (ri = 0; ri < s->o.runners; ri++) {
		if (!s->runners[ri].listed && full)
			continue;
		items[n].gone = !s->runners[ri].listed;
		items[n++].info = s->runners[ri].info;
	}
	ev.u.runners.full = full;
	ev.u.runners.items = items;
	ev.u.runners.items_len = n;
	feed(s, ci, &ev);
}

static void
registry_first(struct sim *s, struct ev *e)
{
	if (reaches(s, e, registry_first) && s->cores[e->core].registry)
		registry_send(s, e->core, true);
}

static void
registry_all(struct sim *s)
{
	unsigned ci;

	if (s->store != SIM_STORE_UP)
		return;
	for (ci = 0; ci < s->o.cores; ci++) {
		if (s->cores[ci].up && s->cores[ci].registry &&
		    s->now >= s->cores[ci].frozen_until)
			registry_send(s, ci, false);
	}
}

/* Entries lapse after three missed heartbeats, and come back. */
static void
registry_step(struct sim *s, struct ev *e)
{
	struct simrunner *r;
	unsigned ri;
	bool seen;

	for (ri = 0; ri < s->o.runners; ri++) {
		r = &s->runners[ri];
		seen = r->up && !r->cut;
		if (seen) {
			r->listed = true;
			r->unlist_at = 0;
		} else if (r->unlist_at == 0) {
			r->unlist_at = s->now + LAPSE_MS * SIM_MS;
		} else if (s->now >= r->unlist_at) {
			r->listed = false;
		}
	}
	registry_all(s);
	later(s, HEARTBEAT_MS / 3 * SIM_MS, registry_step);
}

/* ---- advice ---- */

static void
advice_answer(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_ADVICE, .tag = e->tag};
	struct wf_advice *const a = e->p;

	if (reaches(s, e, advice_answer)) {
		ev.u.advice = a;
		feed(s, e->core, &ev);
	} else if (e->p == NULL) {
		return;
	}
	free(a->items);
	free(a);
}

/* Seven of eight runners are approved for a step, always the same ones. */
static bool
approved(const struct wf_task_ref *ref, const char *runner)
{
	const char *p;
	uint32_t h;

	h = 2166136261U + ref->step;
	for (p = ref->job; *p != '\0'; p++)
		h = (h ^ (unsigned char)*p) * 16777619U;
	for (p = runner; *p != '\0'; p++)
		h = (h ^ (unsigned char)*p) * 16777619U;
	h = (h ^ (h >> 16)) * 0x85ebca6bU;
	h = (h ^ (h >> 13)) * 0xc2b2ae35U;
	return (h >> 16) % 8 != 0;
}

static void
send_advice(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	struct wf_advice *const a = agb_xcalloc(1, sizeof(*a));
	struct ev *const e = later_core(
	    s, ci, (2 * s->o.latency_ms + 10) * SIM_MS, advice_answer);
	size_t i;

	s->advice_calls++;
	a->ok = true;
	a->valid_ms = 2000;
	a->items = agb_xcalloc(ef->u.ask.runners_len + 1, sizeof(*a->items));
	for (i = 0; i < ef->u.ask.runners_len; i++) {
		if (!approved(&ef->u.ask.step, ef->u.ask.runners[i]))
			continue;
		agb_name_set(a->items[a->items_len].runner, sizeof(agb_id),
		    ef->u.ask.runners[i]);
		agb_name_set(
		    a->items[a->items_len++].ticket, sizeof(agb_id), "t");
	}
	e->tag = ef->tag;
	e->p = a;
}

/* ---- instances ---- */

static void
reply(struct sim *s, const struct wf_effect *ef)
{
	struct simjob *j;
	size_t i;

	/* Calls are numbered by job: an even id submits, an odd one cancels. */
	i = ef->call_id / 2;
	if (i >= s->jobs_len)
		return;
	j = &s->jobs[i];
	if (ef->call_id % 2 == 0) {
		j->status = (unsigned)ef->u.reply.http_status;
	} else if (ef->u.reply.http_status == 200) {
		j->cancel_acked = true;
		j->cancel_at = s->now;
	}
}

static void
on_tick(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_TICK};

	if (!reaches(s, e, on_tick))
		return;
	if (s->cores[e->core].tick_at > s->now)
		return;
	s->cores[e->core].tick_at = 0;
	feed(s, e->core, &ev);
}

/* Index of the instance that an address names. */
static unsigned
core_of(const char *rpc)
{
	return (unsigned)strtoul(rpc + strlen("10.0.0."), NULL, 10);
}

struct peercall {
	struct wf_record r;
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	uint32_t timeout_ms;
};

struct pushcall {
	struct wf_push push;
};

static void
pushcall_free(struct pushcall *c)
{
	size_t i;

	for (i = 0; i < c->push.len; i++)
		free(c->push.items[i].val);
	free(c->push.items);
	free(c);
}

static void
peer_push(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUSH};
	struct pushcall *const c = e->p;
	struct agb_store_kv *kvs;
	size_t i;

	if (!reaches(s, e, peer_push)) {
		if (e->p != NULL)
			pushcall_free(c);
		return;
	}
	kvs = agb_xcalloc(c->push.len + 1, sizeof(*kvs));
	for (i = 0; i < c->push.len; i++) {
		kvs[i].key = c->push.items[i].key;
		kvs[i].val = c->push.items[i].val;
		kvs[i].val_len = c->push.items[i].len;
		kvs[i].mod_rev = c->push.items[i].revision;
	}
	ev.u.feed.items = kvs;
	ev.u.feed.items_len = c->push.len;
	feed(s, e->core, &ev);
	free(kvs);
	pushcall_free(c);
}

static void
send_push(struct sim *s, struct wf_effect *ef)
{
	struct pushcall *const c = agb_xcalloc(1, sizeof(*c));

	c->push = ef->u.push;
	memset(&ef->u.push, 0, sizeof(ef->u.push));
	later_core(s, core_of(ef->peer), s->o.latency_ms * SIM_MS, peer_push)
	    ->p = c;
}

/* Puts that wait for an answer, by their token. */
static void
peer_put(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUT};
	struct peercall *const c = e->p;

	if (!reaches(s, e, peer_put)) {
		if (e->p == NULL)
			return;
		free(c->r.val);
		free(c);
		return;
	}
	s->puts = agb_xreallocarray(s->puts, s->puts_len + 1, sizeof(*s->puts));
	s->puts[s->puts_len].core = c->from;
	s->puts[s->puts_len].gen = c->from_gen;
	s->puts[s->puts_len++].tag = c->tag;
	ev.tag = s->puts_len;
	ev.u.put.key = c->r.key;
	ev.u.put.val = c->r.val;
	ev.u.put.len = c->r.len;
	ev.u.put.timeout_ms = c->timeout_ms;
	feed(s, e->core, &ev);
	free(c->r.val);
	free(c);
}

static void
send_put(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct peercall *const c = agb_xcalloc(1, sizeof(*c));
	const unsigned to = core_of(ef->peer);
	struct ev *e;

	s->relays++;
	c->r = ef->u.record;
	ef->u.record.val = NULL;
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	c->timeout_ms = ef->timeout_ms;
	e = later_core(s, to, s->o.latency_ms * SIM_MS, peer_put);
	e->p = c;
	/* Without an answer by then the fate of the put is not known. */
	e = later_core(s, ci, ef->timeout_ms * SIM_MS, store_answer);
	e->tag = ef->tag;
	e->p = agb_xcalloc(1, sizeof(struct storecall));
	((struct storecall *)e->p)->res.status = AGB_STORE_LOST;
}

static bool linked(const struct sim *s, unsigned a, unsigned b);

static void
ping_answer(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_PONG, .tag = e->tag};

	if (!reaches(s, e, ping_answer))
		return;
	ev.on = e->a != 0;
	feed(s, e->core, &ev);
}

static void
send_ping(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const struct simcore *const to = &s->cores[core_of(ef->peer)];
	const bool ok = to->up && s->now >= to->frozen_until &&
	    linked(s, ci, core_of(ef->peer));
	struct ev *const e = later_core(s, ci,
	    (ok ? 2 * s->o.latency_ms : ef->timeout_ms) * SIM_MS, ping_answer);

	e->tag = ef->tag;
	e->a = ok;
}

/* ---- orders through other instances ---- */

/* Whether a call between two instances arrives. */
static bool
linked(const struct sim *s, unsigned a, unsigned b)
{
	return a == b || (!s->cores[a].alone && !s->cores[b].alone);
}

struct orderscall {
	struct wf_orders o;
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	bool answered;
};

static void
orderscall_free(struct orderscall *c)
{
	wf_orders_free(&c->o);
	free(c);
}

static void
orders_done(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_ORDERS_DONE, .tag = e->tag};

	if (!reaches(s, e, orders_done))
		return;
	ev.u.taken.ok = e->a != 0;
	ev.u.taken.sent = e->a != 0 || e->p != NULL;
	ev.u.taken.taken = e->a == 2;
	ev.u.taken.clock = e->b;
	feed(s, e->core, &ev);
}

static void
orders_timeout(struct sim *s, struct ev *e)
{
	size_t i;

	for (i = 0; i < s->calls_len; i++) {
		if (s->calls[i].core == e->core && s->calls[i].gen == e->gen &&
		    s->calls[i].tag == e->tag && s->calls[i].answered)
			return;
	}
	e->a = 0;
	e->p = s;
	orders_done(s, e);
}

static void
orders_arrive(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_ORDERS};
	struct orderscall *const c = e->p;

	if (!reaches(s, e, orders_arrive)) {
		if (e->p != NULL)
			orderscall_free(c);
		return;
	}
	s->calls =
	    agb_xreallocarray(s->calls, s->calls_len + 1, sizeof(*s->calls));
	s->calls[s->calls_len].answered = false;
	s->calls[s->calls_len].core = c->from;
	s->calls[s->calls_len].gen = c->from_gen;
	s->calls[s->calls_len++].tag = c->tag;
	ev.tag = s->calls_len;
	ev.u.orders = &c->o;
	feed(s, e->core, &ev);
	orderscall_free(c);
}

static void
send_orders(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	const unsigned to = core_of(ef->peer);
	struct orderscall *c;
	struct ev *e;
	size_t i;

	for (i = 0; i < ef->u.orders.len; i++)
		s->text_bytes += (unsigned)ef->u.orders.items[i].text_len;
	if (!s->cores[to].up || !linked(s, ci, to)) {
		e = later_core(s, ci,
		    (s->cores[to].up ? ef->timeout_ms : s->o.latency_ms) *
			SIM_MS,
		    orders_done);
		e->tag = ef->tag;
		return;
	}
	c = agb_xcalloc(1, sizeof(*c));
	c->o = ef->u.orders;
	memset(&ef->u.orders, 0, sizeof(ef->u.orders));
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	e = later_core(s, to, s->o.latency_ms * SIM_MS, orders_arrive);
	e->p = c;
	/* Without an answer by then the fate of the call is not known; one that
	 * was answered has no effect any more. */
	e = later_core(s, ci, ef->timeout_ms * SIM_MS, orders_timeout);
	e->tag = ef->tag;
}

static void
orders_taken(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const size_t i = (size_t)ef->tag - 1;
	struct ev *e;

	if (!linked(s, ci, s->calls[i].core))
		return;
	s->calls[i].answered = true;
	e = later(s, s->o.latency_ms * SIM_MS, orders_done);
	e->core = s->calls[i].core;
	e->gen = s->calls[i].gen;
	e->tag = s->calls[i].tag;
	e->a = ef->on ? 2 : 1;
	e->b = ef->clock;
}

struct resultscall {
	struct wf_results r;
};

static void
results_arrive(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_RESULTS};
	struct resultscall *const c = e->p;

	if (reaches(s, e, results_arrive)) {
		ev.u.results = &c->r;
		feed(s, e->core, &ev);
	} else if (e->p == NULL) {
		return;
	}
	wf_results_free(&c->r);
	free(c);
}

static void
send_results(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	const unsigned to = core_of(ef->peer);
	struct resultscall *c;

	if (!s->cores[to].up || !linked(s, ci, to))
		return;
	c = agb_xcalloc(1, sizeof(*c));
	c->r = ef->u.results;
	memset(&ef->u.results, 0, sizeof(ef->u.results));
	later_core(s, to, s->o.latency_ms * SIM_MS, results_arrive)->p = c;
}

static void
text_told(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_TEXT, .tag = e->tag};

	if (!reaches(s, e, text_told))
		return;
	ev.on = e->a != 0;
	ev.u.text.text = "x";
	ev.u.text.len = 1;
	feed(s, e->core, &ev);
}

static void
text_asked(struct sim *s, struct ev *e)
{
	struct wf_event ev = {.type = WF_EV_TEXT_ASK};
	struct textcall *const c = e->p;

	if (!reaches(s, e, text_asked)) {
		if (e->p != NULL)
			free(c);
		return;
	}
	s->texts =
	    agb_xreallocarray(s->texts, s->texts_len + 1, sizeof(*s->texts));
	s->texts[s->texts_len++] = *c;
	ev.tag = s->texts_len;
	agb_name_set(ev.u.text.job, sizeof(ev.u.text.job), c->job);
	free(c);
	feed(s, e->core, &ev);
}

static void
text_ask(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const unsigned to = core_of(ef->peer);
	struct textcall *c;
	struct ev *e;

	/* Without an answer by then it counts as not known; a later event of
	 * the same tag means nothing. */
	e = later_core(s, ci, ef->timeout_ms * SIM_MS, text_told);
	e->tag = ef->tag;
	if (!s->cores[to].up || !linked(s, ci, to))
		return;
	c = agb_xcalloc(1, sizeof(*c));
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	agb_name_set(c->job, sizeof(c->job), ef->u.text.job);
	later_core(s, to, s->o.latency_ms * SIM_MS, text_asked)->p = c;
}

static void
text_answer(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const struct textcall *const c = &s->texts[ef->tag - 1];
	struct ev *e;

	if (!linked(s, ci, c->from))
		return;
	s->text_calls++;
	e = later(s, s->o.latency_ms * SIM_MS, text_told);
	e->core = c->from;
	e->gen = c->from_gen;
	e->tag = c->tag;
	e->a = ef->on;
}

static void
put_answered(struct sim *s, const struct wf_effect *ef)
{
	const size_t i = (size_t)ef->tag - 1;
	struct storecall *c;
	struct ev *e;

	e = later(s, s->o.latency_ms * SIM_MS, store_answer);
	e->core = s->puts[i].core;
	e->gen = s->puts[i].gen;
	e->tag = s->puts[i].tag;
	c = agb_xcalloc(1, sizeof(*c));
	c->res.status = ef->u.put_res.status;
	c->res.succeeded = ef->u.put_res.stored;
	c->res.revision = ef->u.put_res.revision;
	e->p = c;
}

static void
carry_out(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct simcore *const c = &s->cores[ci];

	switch (ef->type) {
	case WF_EF_STORE:
		send_store(s, ci, ef);
		break;
	case WF_EF_REPLY:
		reply(s, ef);
		break;
	case WF_EF_ORDER:
		send_order(s, ci, ef);
		break;
	case WF_EF_ADVISE:
	case WF_EF_PEER_ASK:
		/* The way over a peer is not simulated. */
		send_advice(s, ci, ef);
		break;
	case WF_EF_PEER_PUSH:
		send_push(s, ef);
		break;
	case WF_EF_PEER_PUT:
		send_put(s, ci, ef);
		break;
	case WF_EF_PEER_PING:
		send_ping(s, ci, ef);
		break;
	case WF_EF_PUT_ANSWER:
		put_answered(s, ef);
		break;
	case WF_EF_ORDERS:
		send_orders(s, ci, ef);
		break;
	case WF_EF_ORDERS_TAKEN:
		orders_taken(s, ci, ef);
		break;
	case WF_EF_TEXT_ASK:
		text_ask(s, ci, ef);
		break;
	case WF_EF_TEXT_ANSWER:
		text_answer(s, ci, ef);
		break;
	case WF_EF_RESULTS:
		send_results(s, ci, ef);
		break;
	case WF_EF_REGISTRY:
		c->registry = ef->on;
		if (ef->on)
			later_core(s, ci, 5 * SIM_MS, registry_first);
		break;
	case WF_EF_FOLLOW:
		set_follow(s, ci, ef);
		break;
	case WF_EF_FEED_PACE:
		c->feeds[ef->feed].pace = ef->gap_ms;
		break;
	case WF_EF_READY:
		c->ready = ef->on;
		break;
	case WF_EF_LOG:
		if (getenv("SIM_LOG") != NULL)
			printf("%7u %u %s %s\n", sim_now_ms(s), ci,
			    ef->u.log.event, ef->u.log.line);
		break;
	case WF_EF_EXIT:
		sim_kill(s, ci, 500);
		break;
	default:
		break;
	}
}

static void
feed(struct sim *s, unsigned ci, struct wf_event *ev)
{
	const struct wf_now now = {.mono = s->now + AGB_SEC,
	    .unix_ms = UNIX_BASE_MS + (int64_t)(s->now / SIM_MS)};
	struct simcore *const c = &s->cores[ci];
	struct wf_effects out = {0};
	agb_time next;
	size_t i;

	wf_core_step(c->core, &now, ev, &out);
	for (i = 0; i < out.len; i++)
		carry_out(s, ci, &out.items[i]);
	wf_effects_free(&out);
	if (!c->up)
		return;
	next = wf_core_next_tick(c->core);
	next = next > now.mono ? next - now.mono : SIM_MS;
	next = (next + SIM_MS - 1) / SIM_MS * SIM_MS;
	if (c->tick_at > s->now && c->tick_at <= s->now + next)
		return;
	c->tick_at = s->now + next;
	later_core(s, ci, next, on_tick);
}

static struct wf_doc *
doc_new(const struct sim *s)
{
	struct wf_doc *const d = agb_xcalloc(1, sizeof(*d));
	struct wf_queue *q;

	d->version = 1;
	d->queues = agb_xcalloc(1, sizeof(*d->queues));
	d->queues_len = 1;
	d->services = agb_xcalloc(1, sizeof(*d->services));
	d->services_len = 1;
	q = d->queues;
	agb_name_set(q->name, sizeof(q->name), "q");
	agb_name_set(q->service, sizeof(q->service), "svc");
	agb_name_set(q->host, sizeof(q->host), "h");
	agb_name_set(q->prefix, sizeof(q->prefix), "/q/");
	agb_name_set(d->services[0].name, sizeof(agb_id), "svc");
	q->timeout_ms = 3000;
	q->target_ms = 1000;
	q->attempts = s->o.attempts;
	q->slack = 2;
	q->advised = s->o.advised;
	q->advice_ms = 10;
	q->advice_valid_ms = 2000;
	return d;
}

/* With relays there are two failure domains. */
static const char *
domain_of(const struct sim *s, unsigned i)
{
	return s->o.relays && i % 2 == 1 ? "d2" : "d";
}

static void
core_start(struct sim *s, struct ev *e)
{
	struct wf_event doc = {.type = WF_EV_DOC};
	struct simcore *const c = &s->cores[e->core];
	struct wf_config cfg;

	if (c->up)
		return;
	memset(&cfg, 0, sizeof(cfg));
	snprintf(cfg.name, sizeof(cfg.name), "core-%u.%u", e->core, ++c->gen);
	snprintf(cfg.rpc, sizeof(cfg.rpc), "10.0.0.%u:1", e->core);
	cfg.seed = s->o.seed * 31 + (uint64_t)e->core * 7 + c->gen;
	cfg.cpu_permille = e->core < s->o.small_cores ? 125 : 250;
	cfg.link_kbps = s->o.relays ? RELAYS_LINK_KBPS : 0;
	agb_name_set(cfg.domain, sizeof(cfg.domain), domain_of(s, e->core));
	cfg.grace_ms = 6000;
	cfg.status_s = 120;
	wf_core_free(c->core);
	c->core = wf_core_new(&cfg);
	c->up = true;
	memset(c->feeds, 0, sizeof(c->feeds));
	c->cut = false;
	c->alone = false;
	c->registry = false;
	c->tick_at = 0;
	c->frozen_until = 0;
	doc.u.doc = doc_new(s);
	feed(s, e->core, &doc);
}

struct sim *
sim_new(const struct sim_options *o)
{
	struct sim *const s = agb_xcalloc(1, sizeof(*s));
	struct simrunner *r;
	unsigned i;

	s->o = *o;
	if (s->o.attempts == 0)
		s->o.attempts = 3;
	if (s->o.latency_ms == 0)
		s->o.latency_ms = 2;
	s->random = o->seed * 2654435761U + 88172645463325252ULL;
	s->rev = 1;
	s->jobs = agb_xcalloc(JOBS_MAX, sizeof(*s->jobs));
	for (i = 0; i < o->runners; i++) {
		r = &s->runners[i];
		snprintf(r->info.id, sizeof(r->info.id), "r-%u", i);
		snprintf(r->info.addr, sizeof(r->info.addr), "10.1.0.%u:1", i);
		agb_name_set(r->info.service, sizeof(agb_id), "svc");
		agb_name_set(r->info.domain, sizeof(agb_id), domain_of(s, i));
		r->info.capacity.cpu_milli = o->cpu_milli;
		r->info.capacity.mem_mb = 65536;
		r->info.born_ms = 1;
		r->info.remaining_ms = -1;
		r->up = true;
		r->listed = true;
	}
	for (i = 0; i < o->cores; i++)
		later(s, (agb_time)(i + 1) * 10 * SIM_MS, core_start)->core = i;
	later(s, SIM_MS, lease_check);
	later(s, SIM_MS, step_runners);
	later(s, SIM_MS, registry_step);
	return s;
}

void
sim_free(struct sim *s)
{
	struct ev *e;
	unsigned i;
	size_t k;

	/* Calls under way are left; what they hold is freed by type. */
	while (s->heap_len > 0) {
		e = pop(s);
		if (e->fn == store_answer || e->fn == store_arrives ||
		    e->fn == store_late)
			storecall_free(e->p);
		else if (e->fn == order_answer || e->fn == order_arrives ||
		    e->fn == hold_poll || e->fn == order_late)
			ordercall_free(e->p);
		else if (e->fn == peer_push)
			pushcall_free(e->p);
		else if (e->fn == text_asked)
			free(e->p);
		else if (e->fn == orders_arrive)
			orderscall_free(e->p);
		else if (e->fn == results_arrive) {
			wf_results_free(&((struct resultscall *)e->p)->r);
			free(e->p);
		} else if (e->fn == peer_put) {
			free(((struct peercall *)e->p)->r.val);
			free(e->p);
		} else if (e->fn == advice_answer) {
			free(((struct wf_advice *)e->p)->items);
			free(e->p);
		}
		free(e);
	}
	free(s->heap);
	for (i = 0; i < s->o.cores; i++)
		wf_core_free(s->cores[i].core);
	for (i = 0; i < s->o.runners; i++) {
		free(s->runners[i].runs);
		free(s->runners[i].ends);
		free(s->runners[i].stopped);
	}
	for (k = 0; k < s->jobs_len; k++) {
		wf_spec_free(&s->jobs[k].spec);
		free(s->jobs[k].tasks);
	}
	for (k = 0; k < s->items_len; k++) {
		free(s->items[k].key);
		free(s->items[k].val);
	}
	for (k = 0; k < s->log_len; k++) {
		free(s->log[k].key);
		free(s->log[k].val);
	}
	free(s->items);
	free(s->log);
	free(s->leases);
	free(s->puts);
	free(s->calls);
	free(s->texts);
	free(s->jobs);
	free(s);
}

void
sim_run(struct sim *s, unsigned ms)
{
	const agb_time until = s->now + ms * SIM_MS;
	struct ev *e;

	while (s->heap_len > 0 && s->heap[0]->at <= until) {
		e = pop(s);
		s->now = e->at;
		e->fn(s, e);
		free(e);
	}
	s->now = until;
}

unsigned
sim_now_ms(const struct sim *s)
{
	return (unsigned)(s->now / SIM_MS);
}

struct wf_spec *
sim_spec(uint32_t count, uint32_t cpu, uint32_t ms)
{
	struct wf_spec *const spec = agb_xcalloc(1, sizeof(*spec));

	spec->times = 1;
	spec->text = agb_xstrdup("x");
	spec->text_len = 1;
	sim_then(spec, count, cpu, ms);
	return spec;
}

struct wf_step *
sim_then(struct wf_spec *spec, uint32_t count, uint32_t cpu, uint32_t ms)
{
	struct wf_step *step;

	spec->steps = agb_xreallocarray(
	    spec->steps, spec->steps_len + 1, sizeof(*spec->steps));
	step = &spec->steps[spec->steps_len];
	memset(step, 0, sizeof(*step));
	if (spec->steps_len > 0)
		step->after = (uint64_t)1 << (spec->steps_len - 1);
	spec->steps_len++;
	step->count = count;
	step->need.cpu_milli = cpu;
	step->need.mem_mb = 16;
	step->estimate_ms = ms;
	return step;
}

static void
spec_copy(const struct wf_spec *src, struct wf_spec *dst)
{
	*dst = *src;
	dst->text = agb_xmemdup(src->text, src->text_len);
	dst->steps = agb_xcalloc(src->steps_len, sizeof(*dst->steps));
	memcpy(dst->steps, src->steps, src->steps_len * sizeof(*dst->steps));
}

static void
send_call(struct sim *s, unsigned ci, uint64_t id, enum wf_call_kind kind,
    const char *job, struct wf_spec *spec)
{
	struct wf_event ev = {.type = WF_EV_CALL};
	struct wf_call call;

	memset(&call, 0, sizeof(call));
	call.id = id;
	call.kind = kind;
	call.spec = spec;
	agb_name_set(call.host, sizeof(call.host), "h");
	snprintf(call.path, sizeof(call.path), "/q/%s", job);
	ev.u.call = &call;
	if (s->cores[ci].up && s->now >= s->cores[ci].frozen_until)
		feed(s, ci, &ev);
	if (call.spec != NULL) {
		wf_spec_free(call.spec);
		free(call.spec);
	}
}

void
sim_submit(struct sim *s, unsigned ci, const char *id, struct wf_spec *spec)
{
	struct simjob *const j = &s->jobs[s->jobs_len++];

	agb_name_set(j->id, sizeof(j->id), id);
	spec_copy(spec, &j->spec);
	j->tasks = agb_xcalloc(
	    (size_t)spec->times * wf_spec_tasks(spec), sizeof(*j->tasks));
	send_call(s, ci, (s->jobs_len - 1) * 2, WF_CALL_SUBMIT, id, spec);
}

void
sim_cancel(struct sim *s, unsigned ci, const char *id)
{
	const struct simjob *const j = job_find(s, id);

	send_call(
	    s, ci, (uint64_t)(j - s->jobs) * 2 + 1, WF_CALL_CANCEL, id, NULL);
}

void
sim_kill(struct sim *s, unsigned ci, unsigned back_ms)
{
	struct simcore *const c = &s->cores[ci];

	if (!c->up)
		return;
	c->up = false;
	c->gen++;
	if (back_ms > 0)
		later(s, back_ms * SIM_MS, core_start)->core = ci;
	/* Freed at the end of the run: a step of it may be under way. */
}

void
sim_freeze(struct sim *s, unsigned ci, unsigned ms)
{
	s->cores[ci].frozen_until = s->now + ms * SIM_MS;
}

void
sim_core_cut(struct sim *s, unsigned ci, bool cut)
{
	s->cores[ci].cut = cut;
}

void
sim_core_alone(struct sim *s, unsigned ci, bool alone)
{
	s->cores[ci].alone = alone;
}

void
sim_term(struct sim *s, unsigned ci)
{
	struct wf_event ev = {.type = WF_EV_TERM};

	if (s->cores[ci].up && s->now >= s->cores[ci].frozen_until)
		feed(s, ci, &ev);
}

void
sim_store(struct sim *s, enum sim_store_mode mode)
{
	s->store = mode;
}

void
sim_store_loses(struct sim *s, unsigned percent)
{
	s->store_loses = percent;
}

void
sim_store_slow(struct sim *s, unsigned ms)
{
	s->store_slow_ms = ms;
}

void
sim_core_store(struct sim *s, unsigned ci, enum sim_store_mode mode)
{
	s->cores[ci].store = mode;
}

void
sim_forget_history(struct sim *s)
{
	s->log_first = s->rev;
}

void
sim_runner_cut(struct sim *s, unsigned ri, bool cut)
{
	s->runners[ri].cut = cut;
}

static void
runner_clear(struct simrunner *r)
{
	r->runs_len = 0;
	r->ends_len = 0;
	r->stopped_len = 0;
	r->seq = 0;
	r->fence = 0;
	r->lease_until = 0;
}

static void
runner_back(struct sim *s, struct ev *e)
{
	struct simrunner *const r = &s->runners[e->a];

	r->up = true;
	r->info.born_ms = UNIX_BASE_MS + (int64_t)(s->now / SIM_MS);
	r->born = s->now;
	r->info.draining = false;
	r->info.remaining_ms = -1;
}

static void
runs_lost(struct sim *s, struct simrunner *r)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		const struct simjob *const j = job_find(s, r->runs[i].task.job);

		if (j != NULL && j->spec.steps[r->runs[i].task.step].gang)
			gang_each(s, &r->runs[i], member_break, 0);
	}
}

void
sim_runner_crash(struct sim *s, unsigned ri, unsigned back_ms)
{
	struct simrunner *const r = &s->runners[ri];

	if (!r->up)
		return;
	r->up = false;
	runs_lost(s, r);
	runner_clear(r);
	if (back_ms > 0)
		later(s, back_ms * SIM_MS, runner_back)->a = ri;
}

static void
runner_leaves(struct sim *s, struct ev *e)
{
	struct simrunner *const r = &s->runners[e->a];

	if (!r->up || !r->info.draining)
		return;
	r->up = false;
	r->listed = false;
	runs_lost(s, r);
	runner_clear(r);
	registry_all(s);
	if (e->b > 0)
		later(s, e->b * SIM_MS, runner_back)->a = e->a;
}

void
sim_runner_drain(struct sim *s, unsigned ri, unsigned leave_ms)
{
	struct ev *e;

	s->runners[ri].info.draining = true;
	s->runners[ri].info.remaining_ms = leave_ms;
	registry_all(s);
	e = later(s, leave_ms * SIM_MS, runner_leaves);
	e->a = ri;
	e->b = 3000;
}

void
sim_runner_hang(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].hang = on;
}

void
sim_runner_faulty(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].faulty = on;
}

void
sim_runner_deaf(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].deaf = on;
}

int
sim_leader(const struct sim *s)
{
	struct wf_gauges g;
	unsigned i;

	for (i = 0; i < s->o.cores; i++) {
		if (!s->cores[i].up || s->now < s->cores[i].frozen_until)
			continue;
		wf_core_gauges(s->cores[i].core, s->now + AGB_SEC, &g);
		if (g.leads)
			return (int)i;
	}
	return -1;
}

const char *
sim_state(struct sim *s, const char *id)
{
	const char *state, *best;
	unsigned i;

	best = NULL;
	for (i = 0; i < s->o.cores; i++) {
		if (!s->cores[i].up)
			continue;
		state = wf_core_state(s->cores[i].core, id);
		if (state != NULL &&
		    (best == NULL || strcmp(state, "queued") != 0) &&
		    (best == NULL || strcmp(best, "queued") == 0 ||
			strcmp(state, "running") != 0))
			best = state;
	}
	return best != NULL ? best : "unknown";
}

unsigned
sim_starts(const struct sim *s, const char *id)
{
	const struct simjob *const j = job_find(s, id);

	return j != NULL ? j->starts : 0;
}

unsigned
sim_started_at(const struct sim *s, const char *id)
{
	const struct simjob *const j = job_find(s, id);

	return j != NULL ? (unsigned)(j->started_at / SIM_MS) : 0;
}

unsigned
sim_running(const struct sim *s, const char *id)
{
	unsigned ri, n;
	size_t i;

	n = 0;
	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; s->runners[ri].up && i < s->runners[ri].runs_len;
		     i++)
			n += strcmp(s->runners[ri].runs[i].task.job, id) == 0;
	}
	return n;
}

unsigned
sim_runner_of(const struct sim *s, const char *id)
{
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; i < s->runners[ri].runs_len; i++) {
			if (strcmp(s->runners[ri].runs[i].task.job, id) == 0)
				return ri;
		}
	}
	return UINT32_MAX;
}

unsigned
sim_tail(struct sim *s, const char *id)
{
	const unsigned ri = sim_runner_of(s, id);

	return ri == UINT32_MAX ? 0 : run_tail(s, &s->runners[ri]);
}

unsigned
sim_submit_status(const struct sim *s, const char *id)
{
	const struct simjob *const j = job_find(s, id);

	return j != NULL ? j->status : 0;
}

unsigned
sim_store_calls(const struct sim *s)
{
	return s->store_calls;
}

unsigned
sim_relays(const struct sim *s)
{
	return s->relays;
}

unsigned
sim_relayed(const struct sim *s)
{
	return s->relayed;
}

unsigned
sim_direct(const struct sim *s)
{
	return s->direct;
}

unsigned
sim_text_bytes(const struct sim *s)
{
	return s->text_bytes;
}

unsigned
sim_full_reads(const struct sim *s)
{
	return s->full_reads;
}

unsigned
sim_advice_calls(const struct sim *s)
{
	return s->advice_calls;
}

unsigned
sim_jobs(const struct sim *s)
{
	return (unsigned)s->jobs_len;
}

unsigned
sim_jobs_final(struct sim *s)
{
	const char *state;
	unsigned n;
	size_t i;

	n = 0;
	for (i = 0; i < s->jobs_len; i++) {
		state = sim_state(s, s->jobs[i].id);
		n += strcmp(state, "completed") == 0 ||
		    strcmp(state, "failed") == 0 ||
		    strcmp(state, "cancelled") == 0;
	}
	return n;
}

unsigned
sim_violations(const struct sim *s)
{
	return s->violations;
}

const char *
sim_violation(const struct sim *s)
{
	return s->violation;
}

/* ---- random days ---- */

static void
day_submit(struct sim *s)
{
	struct wf_spec *spec;
	struct wf_step *step;
	wf_job_id id;
	unsigned ci;

	spec =
	    sim_spec(1 + rnd(s, 6), 1000 * (1 + rnd(s, 4)), 100 + rnd(s, 2000));
	spec->steps[0].gang = chance(s, 30);
	spec->steps[0].spread_max = chance(s, 20) ? 2 : 0;
	if (chance(s, 30)) {
		step = sim_then(spec, 1 + rnd(s, 4), 1000, 200 + rnd(s, 800));
		step->gang = chance(s, 20);
	}
	ci = rnd(s, s->o.cores);
	snprintf(id, sizeof(id), "%016zx", s->jobs_len + 1);
	sim_submit(s, ci, id, spec);
	if (chance(s, 5))
		sim_cancel(s, rnd(s, s->o.cores), id);
}

static void
store_back(struct sim *s, struct ev *e)
{
	unsigned ci;

	s->store = SIM_STORE_UP;
	for (ci = 0; ci < s->o.cores; ci++)
		s->cores[ci].store = SIM_STORE_UP;
}

static void
runner_heal(struct sim *s, struct ev *e)
{
	s->runners[e->a].cut = false;
	s->runners[e->a].hang = false;
	s->runners[e->a].faulty = false;
}

static void
core_heal(struct sim *s, struct ev *e)
{
	s->cores[e->a].cut = false;
	s->cores[e->a].alone = false;
}

/* An instance loses the runners, or the other instances. */
static void
day_relay_fault(struct sim *s, unsigned ci)
{
	if (chance(s, 50))
		sim_core_cut(s, ci, true);
	else
		sim_core_alone(s, ci, true);
	later(s, (500 + rnd(s, 4000)) * SIM_MS, core_heal)->a = ci;
}

static void
day_fault(struct sim *s)
{
	const unsigned ri = rnd(s, s->o.runners);
	const int leader = sim_leader(s);
	const unsigned ci = leader >= 0 && chance(s, 60) ? (unsigned)leader
							 : rnd(s, s->o.cores);
	unsigned i;

	if (s->o.stalls && chance(s, 30)) {
		sim_runner_hang(s, ri, true);
		later(s, (1000 + rnd(s, 6000)) * SIM_MS, runner_heal)->a = ri;
		return;
	}
	if (s->o.relays && chance(s, 25)) {
		day_relay_fault(s, ci);
		return;
	}
	switch (rnd(s, 11)) {
	case 0:
		sim_kill(s, ci, 500 + rnd(s, 3000));
		break;
	case 1:
		sim_freeze(s, ci, 1000 + rnd(s, 4000));
		break;
	case 2:
		sim_term(s, ci);
		break;
	case 3:
		sim_store(
		    s, chance(s, 50) ? SIM_STORE_REFUSES : SIM_STORE_SILENT);
		later(s, (500 + rnd(s, 4000)) * SIM_MS, store_back);
		break;
	case 4:
		sim_core_store(s, ci,
		    chance(s, 50) ? SIM_STORE_REFUSES : SIM_STORE_SILENT);
		later(s, (1000 + rnd(s, 6000)) * SIM_MS, store_back);
		break;
	case 5:
		sim_forget_history(s);
		break;
	case 6:
		sim_runner_cut(s, ri, true);
		later(s, (500 + rnd(s, 9000)) * SIM_MS, runner_heal)->a = ri;
		break;
	case 7:
		sim_runner_crash(s, ri, 500 + rnd(s, 5000));
		break;
	case 8:
		sim_runner_drain(s, ri, 1000 + rnd(s, 4000));
		break;
	case 9:
		sim_runner_faulty(s, ri, true);
		later(s, (500 + rnd(s, 4000)) * SIM_MS, runner_heal)->a = ri;
		break;
	default:
		for (i = 0; i < s->o.cores; i++)
			sim_kill(s, i, 500 + rnd(s, 1000));
	}
}

void
sim_random_day(struct sim *s)
{
	const unsigned step_ms = 50;
	unsigned t, budget, next_fault;
	const char *state;
	size_t i;

	budget = 0;
	next_fault = 1000;
	sim_run(s, 500);
	for (t = 0; t < s->o.load_ms; t += step_ms) {
		budget += s->o.jobs_per_s * step_ms;
		while (budget >= 1000 && s->jobs_len < JOBS_MAX) {
			budget -= 1000;
			day_submit(s);
		}
		if (s->o.fault_gap_ms > 0 && t >= next_fault) {
			day_fault(s);
			next_fault = t + s->o.fault_gap_ms / 2 +
			    rnd(s, s->o.fault_gap_ms);
		}
		sim_run(s, step_ms);
	}
	s->o.lost_percent = 0;
	s->o.late_percent = 0;
	s->o.store_lost_percent = 0;
	sim_run(s, 60000);
	for (i = 0; i < s->jobs_len; i++) {
		if (s->jobs[i].status != 200)
			continue;
		state = sim_state(s, s->jobs[i].id);
		if (strcmp(state, "completed") != 0 &&
		    strcmp(state, "failed") != 0 &&
		    strcmp(state, "cancelled") != 0)
			violate(s, "lost: %s is %s at the end", s->jobs[i].id,
			    state);
	}
}

unsigned
sim_run_seed(unsigned seed, FILE *report)
{
	const unsigned stretch =
	    seed >= SIM_STALL_SEEDS && seed % 6 == 0 ? 4 : 1;
	const struct sim_options o = {
	    .seed = seed,
	    .cores = 2 + seed % 4,
	    .runners = 8 + seed % 9,
	    .cpu_milli = 8000 + 4000 * (seed % 3),
	    .latency_ms = 1 + seed % 6,
	    .advised = seed % 2 == 1,
	    .attempts = 3,
	    .fail_percent = seed % 5,
	    .lost_percent = seed % 3 == 0 ? 3 : 0,
	    .late_percent = seed % 4 == 0 ? 2 : 0,
	    .store_lost_percent = seed % 7 == 0 ? 15 : 0,
	    .stretch = stretch,
	    .stalls = seed >= SIM_STALL_SEEDS,
	    .relays = seed >= SIM_RELAY_SEEDS,
	    .jobs_per_s = 1 + (3 + seed % 8) / stretch,
	    .load_ms = 25000,
	    .fault_gap_ms = 800 + 400 * (seed % 6),
	};
	struct sim *const s = sim_new(&o);
	unsigned n;

	sim_random_day(s);
	n = sim_violations(s);
	if (n > 0 && report != NULL)
		fprintf(report, "seed %u: %u violations, the first at %s\n",
		    seed, n, sim_violation(s));
	sim_free(s);
	return n;
}

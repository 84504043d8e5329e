#include "wfsim.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "mem.h"
#include "processor.h"
#include "wf_table.h"

/* Round trips that a full read of all jobs or states takes with a slow
 * store. */
#define FULL_READ_PAGES 4
#define HISTORY_MAX 65536
#define JOBS_MAX 4096
#define KILL_MS 300
#define GANG_WAIT_MS 3000
#define HOLD_MAX_MS 10000
#define DRAIN_GRACE_MS 600
#define HEARTBEAT_MS 1500
/* Three missed heartbeats. */
#define REGISTRY_LAPSE_MS 4500
/* Time that a call for advice takes by default. */
#define ADVICE_MS 10
#define UNIX_BASE_MS 1700000000000LL
/* Approximate sizes of messages between instances and to the store, without
 * the values of records, in bytes. */
#define START_BYTES 250
#define ORDER_BYTES 120
#define RESULT_BYTES 60
#define RUN_BYTES 40
#define CALL_BYTES 100
#define ADVICE_RUNNER_BYTES 24
#define RECORD_BYTES 60
#define STORE_CALL_BYTES 300
#define STORE_WRITE_BYTES 120
/* Link bandwidth at which the leader cannot even send one runner its holds, the
 * orders that renew the runner's lease, so that all orders are relayed. */
#define RELAYS_LINK_KBPS 80

struct sim_kv {
	char *key;
	char *val;
	size_t len;
	uint64_t mod_rev;
	uint64_t create_rev;
	int64_t lease;
	bool deleted;
};

struct lease {
	int64_t id;
	agb_time until;
	unsigned ttl_ms;
};

/* Response time of a long-running task, and what each best-effort task on the
 * same runner adds to it. */
#define RESPONSE_ALONE_MS 20
#define RESPONSE_BEST_EFFORT_MS 100

/* Run of a task at a runner. */
struct task_run {
	struct wf_task_ref task;
	uint32_t run;
	struct agb_resources need;
	agb_time started_at;
	agb_time ends_at;     /* 0 while it waits for its gang */
	agb_time works_since; /* when it started to make progress */
	uint32_t percent;
	uint32_t pace; /* CPU share that it may use, in percent */
	bool stopping;
	bool awaits_gang;
	enum wf_run_end end;
};

struct sim_runner {
	struct wf_runner_info info;
	bool up;
	bool unreachable;
	bool stalled;
	bool faulty;
	bool ignores_starts; /* starts are lost without an effect */
	bool loses_hold;     /* the answer to the next hold is lost */
	bool listed;
	agb_time started_at;
	agb_time lease_until;
	agb_time delist_at;
	uint64_t fence;
	uint64_t seq;
	struct task_run *runs;
	size_t runs_len;
	struct wf_finished_run *finished;
	size_t finished_len;
	struct wf_finished_run *barred; /* runs that must not start any more */
	size_t barred_len;
};

struct sim_core {
	const struct sim *s;
	struct wf_core *core;
	struct sim_processor cpu;
	struct sim_event *waiting; /* events that wait until it is free */
	struct sim_event **waiting_end;
	bool takes_waiting;
	unsigned gen; /* incremented when the process ends and when it starts */
	bool up;
	agb_time frozen_until;
	bool runners_unreachable;
	bool isolated;
	bool watches_registry;
	struct {
		bool watched;
		bool synced;
		unsigned generation;
		uint32_t interval_ms;
		uint64_t delivered_rev;
	} feeds[WF_FEEDS];
	enum sim_store_mode store;
	agb_time tick_at;
	unsigned link_kbps;
	agb_time link_free_at; /* when its link has sent what is queued */
	uint64_t bytes_sent;
	bool ready;
};

struct sim_task {
	uint32_t starts;
	uint32_t failed;
	bool done;
	bool done_observed;
};

struct sim_job {
	wf_job_id id;
	struct wf_spec spec;
	unsigned status;
	unsigned starts;
	agb_time started_at;
	agb_time cancel_at;
	bool cancel_acked;
	struct sim_task *tasks;
	UT_hash_handle hh;
};

/* Event of the simulation; fn interprets tag, data, a and b. An event for an
 * instance is dropped when the process with generation gen has ended. */
struct sim_event {
	agb_time at;
	uint64_t seq; /* order of events at the same time */
	void (*fn)(struct sim *s, struct sim_event *e);
	unsigned core;
	unsigned gen;
	uint64_t tag;
	void *data;
	void (*free_data)(void *data); /* for an event that is dropped */
	uint64_t a, b;
	struct sim_event *next; /* in the list of a busy instance */
};

/* Request for the payload of a job. */
struct payload_request {
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	wf_job_id job;
};

struct sim {
	struct sim_options o;
	uint64_t random;
	agb_time now;
	struct sim_event **heap;
	size_t heap_len, heap_cap;
	uint64_t ev_seq;
	struct sim_kv *kvs;
	size_t kvs_len;
	struct sim_kv *history;
	size_t history_len;
	uint64_t compacted_rev;
	uint64_t rev;
	struct lease *leases;
	size_t leases_len;
	int64_t next_lease;
	enum sim_store_mode store;
	unsigned store_calls;
	unsigned full_reads;
	unsigned relayed_writes;
	unsigned relayed_orders;
	unsigned direct_orders;
	unsigned payload_bytes;
	unsigned payload_calls;
	struct payload_request *payload_requests;
	size_t payload_requests_len;
	unsigned store_loss_percent;
	unsigned store_slow_ms;
	unsigned advice_calls;
	unsigned load_lines;
	struct sim_core cores[SIM_CORES_MAX];
	struct sim_runner runners[SIM_RUNNERS_MAX];
	struct sim_job *jobs;
	size_t jobs_len;
	struct sim_job *jobs_by_id;
	/* Callers of puts and of order batches, by token minus one. */
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

static void handle_event(struct sim *s, unsigned ci, struct wf_event *ev);

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

static void report_violation(struct sim *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
report_violation(struct sim *s, const char *fmt, ...)
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
is_earlier(const struct sim_event *a, const struct sim_event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static struct sim_event *
schedule(
    struct sim *s, agb_time in, void (*fn)(struct sim *, struct sim_event *))
{
	struct sim_event *const e = agb_xcalloc(1, sizeof(*e));
	size_t i;

	e->at = s->now + in;
	e->seq = ++s->ev_seq;
	e->fn = fn;
	if (s->heap_len == s->heap_cap) {
		s->heap_cap = s->heap_cap > 0 ? 2 * s->heap_cap : 256;
		s->heap = agb_xreallocarray(
		    s->heap, s->heap_cap, sizeof(struct sim_event *));
	}
	i = s->heap_len++;
	s->heap[i] = e;
	while (i > 0 && is_earlier(s->heap[i], s->heap[(i - 1) / 2])) {
		struct sim_event *const t = s->heap[i];

		s->heap[i] = s->heap[(i - 1) / 2];
		s->heap[(i - 1) / 2] = t;
		i = (i - 1) / 2;
	}
	return e;
}

static struct sim_event *
pop_event(struct sim *s)
{
	struct sim_event *const top = s->heap[0], *t;
	size_t i, c;

	s->heap[0] = s->heap[--s->heap_len];
	i = 0;
	for (;;) {
		c = 2 * i + 1;
		if (c >= s->heap_len)
			break;
		if (c + 1 < s->heap_len &&
		    is_earlier(s->heap[c + 1], s->heap[c]))
			c++;
		if (!is_earlier(s->heap[c], s->heap[i]))
			break;
		t = s->heap[i];
		s->heap[i] = s->heap[c];
		s->heap[c] = t;
		i = c;
	}
	return top;
}

static struct sim_event *
schedule_core(struct sim *s, unsigned ci, agb_time in,
    void (*fn)(struct sim *, struct sim_event *))
{
	struct sim_event *const e = schedule(s, in, fn);

	e->core = ci;
	e->gen = s->cores[ci].gen;
	return e;
}

static void
attach(struct sim_event *e, void *data, void (*free_data)(void *data))
{
	e->data = data;
	e->free_data = free_data;
}

/* ---- processors ---- */

/* Time that the instance has worked on its current event. What it sends now
 * leaves it that much later. */
static agb_time
turn_time(const struct sim_core *c)
{
	return sim_processor_turn_time(&c->cpu, wf_core_meter(c->core));
}

static agb_time
read_meter_clock(void *arg)
{
	const struct sim_core *const c = arg;

	return c->core == NULL ? 0 : c->s->now + turn_time(c);
}

static void
read_backlog(void *arg, struct wf_backlog *out)
{
}

static const struct wf_meter_ops meter_ops = {
    .clock = read_meter_clock, .backlog = read_backlog};

/* Whether an event has to wait because the instance works on another one, or
 * because others wait already. */
static bool
is_busy(const struct sim *s, const struct sim_core *c)
{
	return s->now < c->cpu.busy_until ||
	    (c->waiting != NULL && !c->takes_waiting);
}

/* Delivers events that waited, in the order of their arrival, until the
 * instance is busy again. */
static void
deliver_waiting(struct sim *s, struct sim_event *e)
{
	struct sim_core *const c = &s->cores[e->core];
	struct sim_event *w;

	while (c->waiting != NULL && s->now >= c->cpu.busy_until) {
		w = c->waiting;
		c->waiting = w->next;
		c->takes_waiting = true;
		w->fn(s, w);
		c->takes_waiting = false;
		free(w);
	}
	if (c->waiting != NULL)
		schedule(s, c->cpu.busy_until - s->now, deliver_waiting)->core =
		    e->core;
}

static void
append_waiting(struct sim *s, const struct sim_event *e,
    void (*fn)(struct sim *, struct sim_event *))
{
	struct sim_core *const c = &s->cores[e->core];
	struct sim_event *const w = agb_xcalloc(1, sizeof(*w));

	*w = *e;
	w->fn = fn;
	w->next = NULL;
	if (c->waiting == NULL) {
		c->waiting_end = &c->waiting;
		schedule(s, c->cpu.busy_until - s->now, deliver_waiting)->core =
		    e->core;
	}
	*c->waiting_end = w;
	c->waiting_end = &w->next;
}

/* Return: true when the process that the event is for can handle it now. If the
 * process is frozen, the event is scheduled again for when it resumes; if it is
 * busy, the event waits until it is free. Then the new event owns the data. If
 * the process has ended, the event is dropped. */
static bool
deliver_or_postpone(struct sim *s, struct sim_event *e,
    void (*fn)(struct sim *, struct sim_event *))
{
	struct sim_core *const c = &s->cores[e->core];
	struct sim_event *again;

	if (!c->up || c->gen != e->gen)
		return false;
	if (s->now >= c->frozen_until) {
		if (!is_busy(s, c))
			return true;
		append_waiting(s, e, fn);
		e->data = NULL;
		return false;
	}
	again = schedule_core(s, e->core, c->frozen_until - s->now, fn);
	again->tag = e->tag;
	attach(again, e->data, e->free_data);
	again->a = e->a;
	again->b = e->b;
	e->data = NULL;
	return false;
}

/* ---- store ---- */

static struct sim_kv *
kv_find(struct sim *s, const char *key)
{
	size_t i;

	for (i = 0; i < s->kvs_len; i++) {
		if (!s->kvs[i].deleted && strcmp(s->kvs[i].key, key) == 0)
			return &s->kvs[i];
	}
	return NULL;
}

static void
history_add(struct sim *s, const struct sim_kv *it)
{
	struct sim_kv *l;

	s->history = agb_xreallocarray(
	    s->history, s->history_len + 1, sizeof(*s->history));
	l = &s->history[s->history_len++];
	*l = *it;
	l->key = agb_xstrdup(it->key);
	l->val = agb_xmemdup(it->val != NULL ? it->val : "", it->len);
}

static void
kv_put(
    struct sim *s, const char *key, const char *val, size_t len, int64_t lease)
{
	struct sim_kv *it;
	size_t i;

	it = kv_find(s, key);
	if (it == NULL) {
		for (i = 0; i < s->kvs_len && !s->kvs[i].deleted; i++)
			;
		if (i == s->kvs_len) {
			s->kvs = agb_xreallocarray(
			    s->kvs, s->kvs_len + 1, sizeof(*s->kvs));
			s->kvs_len++;
		} else {
			free(s->kvs[i].key);
			free(s->kvs[i].val);
		}
		it = &s->kvs[i];
		memset(it, 0, sizeof(*it));
		it->key = agb_xstrdup(key);
		it->create_rev = s->rev;
	}
	free(it->val);
	it->val = agb_xmemdup(val != NULL ? val : "", len);
	it->len = len;
	it->mod_rev = s->rev;
	it->lease = lease;
	history_add(s, it);
}

static void
kv_delete(struct sim *s, const char *key)
{
	struct sim_kv *const it = kv_find(s, key);

	if (it == NULL)
		return;
	it->deleted = true;
	it->mod_rev = s->rev;
	history_add(s, it);
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
	for (i = 0; i < s->kvs_len; i++) {
		if (!s->kvs[i].deleted && s->kvs[i].lease == id)
			kv_delete(s, s->kvs[i].key);
	}
}

static void
expire_leases(struct sim *s, struct sim_event *e)
{
	size_t i;

	if (s->store == SIM_STORE_UP) {
		for (i = s->leases_len; i > 0; i--) {
			if (s->now >= s->leases[i - 1].until)
				lease_end(s, s->leases[i - 1].id);
		}
	}
	schedule(s, 20 * SIM_MS, expire_leases);
}

static void
copy_kv(const struct sim_kv *it, struct agb_store_kv *kv)
{
	memset(kv, 0, sizeof(*kv));
	kv->key = agb_xstrdup(it->key);
	kv->val = agb_xmemdup(it->val != NULL ? it->val : "", it->len);
	kv->val_len = it->len;
	kv->create_rev = it->create_rev;
	kv->mod_rev = it->mod_rev;
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
	struct sim_kv *it;
	size_t i;

	for (i = 0; i < op->writes_len; i++) {
		if (op->writes[i].lease != 0 &&
		    lease_find(s, op->writes[i].lease) == NULL)
			return;
	}
	res->succeeded = true;
	for (i = 0; i < op->cmps_len; i++) {
		it = kv_find(s, op->cmps[i].key);
		if ((it != NULL ? it->mod_rev : 0) != op->cmps[i].rev)
			res->succeeded = false;
	}
	if (!res->succeeded) {
		res->kvs = agb_xcalloc(op->cmps_len + 1, sizeof(*res->kvs));
		for (i = 0; i < op->cmps_len; i++) {
			it = kv_find(s, op->cmps[i].key);
			if (it != NULL)
				copy_kv(it, &res->kvs[res->kvs_len++]);
		}
		return;
	}
	res->revision = ++s->rev;
	for (i = 0; i < op->writes_len; i++) {
		if (op->writes[i].is_delete)
			kv_delete(s, op->writes[i].key);
		else
			kv_put(s, op->writes[i].key, op->writes[i].val,
			    op->writes[i].val_len, op->writes[i].lease);
	}
}

static void
do_op(
    struct sim *s, const struct agb_store_op *op, struct agb_store_result *res)
{
	struct lease *l;
	struct sim_kv *it;

	res->status = AGB_STORE_OK;
	switch (op->kind) {
	case AGB_STORE_RANGE:
		res->revision = s->rev;
		it = kv_find(s, op->key);
		if (it == NULL)
			break;
		res->kvs = agb_xcalloc(1, sizeof(*res->kvs));
		copy_kv(it, &res->kvs[res->kvs_len++]);
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

struct store_call {
	struct agb_store_op op;
	struct agb_store_result res;
	bool made_by_peer;
};

static void
store_call_free(void *data)
{
	struct store_call *const c = data;

	agb_store_op_free(&c->op);
	agb_store_result_free(&c->res);
	free(c);
}

static void
store_answer_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_STORE, .tag = e->tag};
	struct store_call *const c = e->data;

	if (!deliver_or_postpone(s, e, store_answer_arrives)) {
		if (e->data != NULL)
			store_call_free(c);
		return;
	}
	ev.flag = c->made_by_peer;
	ev.u.store = &c->res;
	handle_event(s, e->core, &ev);
	store_call_free(c);
}

static void
apply_late_store_op(struct sim *s, struct sim_event *e)
{
	struct store_call *const c = e->data;

	do_op(s, &c->op, &c->res);
	store_call_free(c);
}

static void
store_arrives(struct sim *s, struct sim_event *e)
{
	const enum sim_store_mode mode =
	    s->store != SIM_STORE_UP ? s->store : s->cores[e->core].store;
	struct store_call *const c = e->data;
	struct store_call *copy;
	agb_time back;
	struct sim_event *r;

	s->store_calls++;
	back = (s->o.latency_ms + s->store_slow_ms) * SIM_MS;
	if (mode == SIM_STORE_REFUSES) {
		c->res.status = AGB_STORE_REFUSED;
	} else if (mode == SIM_STORE_SILENT) {
		c->res.status = AGB_STORE_LOST;
		back = e->a * SIM_MS;
	} else if ((c->op.kind == AGB_STORE_TXN &&
		       chance(s, s->o.store_lost_percent)) ||
	    (c->op.kind != AGB_STORE_RANGE &&
		chance(s, s->store_loss_percent))) {
		/* Carried out now or later; the reply is lost. */
		copy = agb_xcalloc(1, sizeof(*copy));
		copy->op = c->op;
		memset(&c->op, 0, sizeof(c->op));
		attach(schedule(s, chance(s, 50) ? 0 : rnd(s, 4000) * SIM_MS,
			   apply_late_store_op),
		    copy, store_call_free);
		c->res.status = AGB_STORE_LOST;
		back = e->a * SIM_MS;
	} else {
		do_op(s, &c->op, &c->res);
	}
	r = schedule(s, back, store_answer_arrives);
	r->core = e->core;
	r->gen = e->gen;
	r->tag = e->tag;
	attach(r, c, store_call_free);
}

/* Time until a small message of an instance arrives, which no other message
 * delays. */
static agb_time
message_delay(const struct sim *s, unsigned ci)
{
	return turn_time(&s->cores[ci]) + s->o.latency_ms * SIM_MS;
}

/* Time until the timer of a call of an instance ends. */
static agb_time
call_timeout(const struct sim *s, unsigned ci, uint32_t timeout_ms)
{
	return turn_time(&s->cores[ci]) + timeout_ms * SIM_MS;
}

/* Queues a message on the link of an instance.
 * Return: the time until it arrives. */
static agb_time
link_send(struct sim *s, unsigned ci, size_t bytes)
{
	struct sim_core *const c = &s->cores[ci];
	const agb_time sent_at = s->now + turn_time(c);

	c->bytes_sent += bytes;
	if (c->link_free_at < sent_at)
		c->link_free_at = sent_at;
	if (c->link_kbps > 0)
		c->link_free_at += bytes * 8 * SIM_MS / c->link_kbps;
	return c->link_free_at - s->now + s->o.latency_ms * SIM_MS;
}

/* Values travel as base64 text. */
static size_t
store_op_bytes(const struct agb_store_op *op)
{
	size_t i, n = STORE_CALL_BYTES;

	for (i = 0; i < op->writes_len; i++)
		n += STORE_WRITE_BYTES + op->writes[i].val_len * 4 / 3;
	return n;
}

static void
send_store(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct store_call *const c = agb_xcalloc(1, sizeof(*c));
	struct sim_event *const e = schedule_core(s, ci,
	    link_send(s, ci, store_op_bytes(&ef->u.store)), store_arrives);

	c->op = ef->u.store;
	memset(&ef->u.store, 0, sizeof(ef->u.store));
	e->tag = ef->tag;
	e->a = ef->timeout_ms;
	attach(e, c, store_call_free);
}

static bool
in_feed(enum wf_feed_id id, const char *key)
{
	static const char *const prefixes[WF_FEEDS] = {
	    WF_PREFIX_CONTROL, WF_PREFIX_JOBS, WF_PREFIX_STATES};

	return strncmp(key, prefixes[id], strlen(prefixes[id])) == 0;
}

static void
send_feed(struct sim *s, unsigned ci, enum wf_feed_id id, bool full)
{
	const struct sim_kv *const from = full ? s->kvs : s->history;
	const size_t len = full ? s->kvs_len : s->history_len;
	const uint64_t delivered = s->cores[ci].feeds[id].delivered_rev;
	struct wf_event ev = {.type = WF_EV_FEED};
	struct agb_store_kv *kvs;
	size_t i, n;

	kvs = agb_xcalloc(len + 1, sizeof(*kvs));
	n = 0;
	i = 0;
	if (!full) {
		for (i = len; i > 0 && from[i - 1].mod_rev > delivered; i--)
			;
	}
	for (; i < len; i++) {
		if (!(full && from[i].deleted) && in_feed(id, from[i].key))
			copy_kv(&from[i], &kvs[n++]);
	}
	s->cores[ci].feeds[id].delivered_rev = s->rev;
	s->cores[ci].feeds[id].synced = true;
	ev.u.feed.id = id;
	ev.u.feed.full = full;
	ev.u.feed.revision = s->rev;
	ev.u.feed.items = kvs;
	ev.u.feed.items_len = n;
	if (n > 0 || full)
		handle_event(s, ci, &ev);
	agb_store_kvs_free(kvs, n);
}

static void
poll_feed(struct sim *s, struct sim_event *e)
{
	struct sim_core *const c = &s->cores[e->core];
	const enum wf_feed_id id = (enum wf_feed_id)e->a;
	struct sim_event *again;
	uint64_t generation;
	uint32_t wait_ms;

	if (!deliver_or_postpone(s, e, poll_feed))
		return;
	generation = e->b;
	if (!c->feeds[id].watched || c->feeds[id].generation != generation)
		return;
	if (s->store == SIM_STORE_UP && c->store == SIM_STORE_UP) {
		if (!c->feeds[id].synced ||
		    c->feeds[id].delivered_rev < s->compacted_rev)
			send_feed(s, e->core, id, true);
		else if (c->feeds[id].delivered_rev < s->rev)
			send_feed(s, e->core, id, false);
	}
	if (!c->up || !c->feeds[id].watched ||
	    c->feeds[id].generation != generation)
		return;
	wait_ms = c->feeds[id].interval_ms > 5 ? c->feeds[id].interval_ms : 5;
	/* A slow store answers a watch as late as any other call. */
	wait_ms = wait_ms > s->store_slow_ms ? wait_ms : s->store_slow_ms;
	again = schedule_core(s, e->core, wait_ms * SIM_MS, poll_feed);
	again->a = e->a;
	again->b = generation;
}

static void
watch_feed(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	struct sim_core *const c = &s->cores[ci];
	struct sim_event *e;

	c->feeds[ef->feed].watched = ef->flag;
	c->feeds[ef->feed].synced = false;
	c->feeds[ef->feed].interval_ms = 0;
	c->feeds[ef->feed].generation++;
	if (!ef->flag)
		return;
	s->full_reads += ef->feed == WF_FEED_JOBS;
	e = schedule_core(s, ci,
	    (5 +
		s->store_slow_ms *
		    (ef->feed == WF_FEED_CONTROL ? 1 : FULL_READ_PAGES)) *
		SIM_MS,
	    poll_feed);
	e->a = ef->feed;
	e->b = c->feeds[ef->feed].generation;
}

/* ---- runners ---- */

static struct sim_job *
job_find(const struct sim *s, const char *id)
{
	struct sim_job *j;

	HASH_FIND_STR(s->jobs_by_id, id, j);
	return j;
}

static struct sim_task *
task_find(struct sim_job *j, const struct wf_task_ref *ref)
{
	uint32_t i, at;

	at = ref->occurrence * wf_spec_task_count(&j->spec);
	for (i = 0; i < ref->step; i++)
		at += j->spec.steps[i].count;
	return &j->tasks[at + ref->index];
}

static int64_t
runner_clock(const struct sim *s, const struct sim_runner *r)
{
	return (int64_t)((s->now - r->started_at) / SIM_MS) + 1000;
}

static void
finish_run(struct sim *s, struct sim_runner *r, const struct task_run *run,
    enum wf_run_end how)
{
	struct sim_job *const j = job_find(s, run->task.job);
	struct wf_finished_run *f;

	r->finished = agb_xreallocarray(
	    r->finished, r->finished_len + 1, sizeof(*r->finished));
	f = &r->finished[r->finished_len++];
	memset(f, 0, sizeof(*f));
	f->seq = ++r->seq;
	f->task = run->task;
	f->run = run->run;
	f->end = how;
	r->barred =
	    agb_xreallocarray(r->barred, r->barred_len + 1, sizeof(*r->barred));
	r->barred[r->barred_len++] = *f;
	if (j == NULL)
		return;
	if (how == WF_END_DONE)
		task_find(j, &run->task)->done = true;
	if (how == WF_END_FAILED)
		task_find(j, &run->task)->failed++;
}

/* Counts the active members of a gang, which share their step and run
 * number. */
static unsigned
gang_members_present(struct sim *s, const struct task_run *g)
{
	unsigned ri, n;
	size_t i;

	n = 0;
	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; i < s->runners[ri].runs_len; i++) {
			const struct task_run *const x =
			    &s->runners[ri].runs[i];

			if (x->run == g->run && x->task.step == g->task.step &&
			    x->task.occurrence == g->task.occurrence &&
			    strcmp(x->task.job, g->task.job) == 0)
				n++;
		}
	}
	return n;
}

static void
for_gang_members(struct sim *s, const struct task_run *g,
    void (*fn)(struct sim *s, struct task_run *x, uint64_t a), uint64_t a)
{
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; i < s->runners[ri].runs_len; i++) {
			struct task_run *const x = &s->runners[ri].runs[i];

			if (x->run == g->run && x->task.step == g->task.step &&
			    x->task.occurrence == g->task.occurrence &&
			    strcmp(x->task.job, g->task.job) == 0)
				fn(s, x, a);
		}
	}
}

static void
start_member(struct sim *s, struct task_run *x, uint64_t ends)
{
	x->awaits_gang = false;
	x->works_since = s->now;
	x->ends_at = ends;
	x->end = WF_END_DONE;
}

static void
break_member(struct sim *s, struct task_run *x, uint64_t a)
{
	if (x->ends_at > s->now || x->awaits_gang || x->ends_at == 0) {
		x->ends_at = s->now;
		x->awaits_gang = false;
		x->end = WF_END_GANG_BROKEN;
	}
}

/* The tasks of a stalled runner make no progress. */
static void
update_progress(struct sim *s, const struct sim_runner *r, struct task_run *x)
{
	const agb_time step = 5 * SIM_MS;

	if (x->awaits_gang || x->ends_at <= x->works_since || x->stopping)
		return;
	if (r->stalled) {
		x->works_since += step;
		x->ends_at += step;
		return;
	}
	if (s->now >= x->ends_at)
		return;
	x->percent = (uint32_t)((s->now - x->works_since) * 100 /
	    (x->ends_at - x->works_since));
}

static void
run_remove(struct sim_runner *r, size_t i)
{
	r->runs[i] = r->runs[--r->runs_len];
}

/* Ends the runs whose end time has come. */
static void
runner_step(struct sim *s, struct sim_runner *r)
{
	struct task_run x;
	size_t i;

	if (!r->up)
		return;
	for (i = r->runs_len; i > 0; i--) {
		if (s->o.runner_stalls)
			update_progress(s, r, &r->runs[i - 1]);
		x = r->runs[i - 1];
		if (r->lease_until <= s->now) {
			run_remove(r, i - 1);
			finish_run(s, r, &x, WF_END_LEASE_EXPIRED);
			for_gang_members(s, &x, break_member, 0);
			continue;
		}
		if (x.awaits_gang &&
		    s->now - x.started_at > GANG_WAIT_MS * SIM_MS) {
			run_remove(r, i - 1);
			finish_run(s, r, &x, WF_END_GANG_TIMEOUT);
			continue;
		}
		if (x.awaits_gang || x.ends_at == 0 || s->now < x.ends_at ||
		    (r->stalled && !x.stopping))
			continue;
		run_remove(r, i - 1);
		finish_run(s, r, &x, x.end);
		if (x.end != WF_END_DONE) {
			const struct sim_job *const j = job_find(s, x.task.job);

			if (j != NULL && j->spec.steps[x.task.step].gang)
				for_gang_members(s, &x, break_member, 0);
		}
	}
}

static void
step_runners(struct sim *s, struct sim_event *e)
{
	unsigned ri;

	for (ri = 0; ri < s->o.runners; ri++)
		runner_step(s, &s->runners[ri]);
	schedule(s, 5 * SIM_MS, step_runners);
}

/* @gives_up_at: time at which the sender gives the order up as lost */
struct order_call {
	struct wf_order o;
	struct wf_order_result res;
	agb_time wait_until;
	agb_time gives_up_at;
};

static void
order_call_free(void *data)
{
	struct order_call *const c = data;

	free(c->o.payload);
	free(c->res.active);
	free(c->res.finished);
	free(c);
}

static void
check_start(struct sim *s, const struct sim_runner *r, struct sim_job *j,
    const struct wf_order *o)
{
	struct sim_task *const t = task_find(j, &o->task);
	const struct wf_step *const step = &j->spec.steps[o->task.step];
	struct agb_resources held = wf_step_reserved(step);
	struct agb_resources need;
	unsigned ri;
	size_t i;
	uint32_t k;

	for (i = 0; i < r->runs_len; i++) {
		const struct sim_job *const other =
		    job_find(s, r->runs[i].task.job);

		if (other == NULL)
			continue;
		need =
		    wf_step_reserved(&other->spec.steps[r->runs[i].task.step]);
		agb_resources_add(&held, &need);
	}
	if (!agb_resources_fit(&held, &r->info.capacity))
		report_violation(s,
		    "capacity: %s starts %s.%u beyond its capacity", r->info.id,
		    j->id, o->task.index);
	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; s->runners[ri].up && i < s->runners[ri].runs_len;
		     i++) {
			if (wf_task_ref_same(
				&s->runners[ri].runs[i].task, &o->task))
				report_violation(s,
				    "duplicate: %s.%u.%u runs on %s and %s",
				    j->id, o->task.step, o->task.index,
				    s->runners[ri].info.id, r->info.id);
		}
	}
	if (t->done_observed)
		report_violation(s,
		    "duplicate: %s.%u.%u starts after it was done", j->id,
		    o->task.step, o->task.index);
	if (t->failed >= s->o.max_attempts)
		report_violation(s,
		    "attempts: %s.%u.%u starts after %u failures", j->id,
		    o->task.step, o->task.index, t->failed);
	if (j->cancel_acked && s->now > j->cancel_at + 3000 * SIM_MS)
		report_violation(s,
		    "cancelled: %s.%u starts after its cancellation", j->id,
		    o->task.index);
	if (j->status == 503 || j->status == 429)
		report_violation(s,
		    "rejected: %s starts although its submission was rejected",
		    j->id);
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
		/* A gang counts as done when one member is done. */
		if (!(j->spec.steps[k].gang ? any : done))
			report_violation(s,
			    "dependency: %s step %u starts before step %u is "
			    "done",
			    j->id, o->task.step, k);
	}
}

static bool
run_is_barred(const struct sim_runner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->barred_len; i++) {
		if (wf_task_ref_same(&r->barred[i].task, &o->task) &&
		    o->run <= r->barred[i].run)
			return true;
	}
	return false;
}

static void
extend_runner_lease(struct sim *s, struct sim_runner *r, int64_t deadline_ms)
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
do_start(struct sim *s, struct sim_runner *r, const struct wf_order *o)
{
	const uint64_t stretch =
	    s->o.run_time_factor > 0 ? s->o.run_time_factor : 1;
	struct sim_job *const j = job_find(s, o->task.job);
	const struct wf_step *step;
	struct task_run *x;
	size_t i;

	if (j == NULL) {
		report_violation(
		    s, "unknown: %s was never submitted", o->task.job);
		return WF_ORDER_INVALID;
	}
	if (o->deadline_ms < runner_clock(s, r))
		return WF_ORDER_LATE;
	extend_runner_lease(s, r, o->deadline_ms);
	for (i = 0; i < r->runs_len; i++) {
		if (wf_task_ref_same(&r->runs[i].task, &o->task) &&
		    r->runs[i].run == o->run)
			return WF_ORDER_OK;
	}
	if (run_is_barred(r, o))
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
	x->started_at = s->now;
	x->pace = 100;
	x->end = r->faulty || chance(s, s->o.fail_percent) ? WF_END_FAILED
							   : WF_END_DONE;
	if (step->gang && step->count > 1) {
		x->awaits_gang = true;
		if (gang_members_present(s, x) == step->count)
			for_gang_members(s, x, start_member,
			    s->now + step->estimate_ms * stretch * SIM_MS);
	} else {
		x->works_since = s->now;
		x->ends_at = s->now +
		    (x->end == WF_END_FAILED ? 50
					     : step->estimate_ms * stretch) *
			SIM_MS;
	}
	return WF_ORDER_OK;
}

static enum wf_order_status
do_stop(struct sim *s, struct sim_runner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (!wf_task_ref_same(&r->runs[i].task, &o->task) ||
		    r->runs[i].run > o->run)
			continue;
		if (!r->runs[i].stopping) {
			r->runs[i].stopping = true;
			r->runs[i].awaits_gang = false;
			r->runs[i].end = WF_END_STOPPED;
			r->runs[i].ends_at = s->now + rnd(s, KILL_MS) * SIM_MS;
		}
		return WF_ORDER_OK;
	}
	r->barred =
	    agb_xreallocarray(r->barred, r->barred_len + 1, sizeof(*r->barred));
	memset(&r->barred[r->barred_len], 0, sizeof(*r->barred));
	r->barred[r->barred_len].task = o->task;
	r->barred[r->barred_len++].run = o->run;
	return WF_ORDER_OK;
}

static void
forget_ends(struct sim *s, struct sim_runner *r, uint64_t upto)
{
	struct sim_job *j;
	size_t i, n;

	n = 0;
	for (i = 0; i < r->finished_len; i++) {
		if (r->finished[i].seq > upto) {
			r->finished[n++] = r->finished[i];
			continue;
		}
		j = job_find(s, r->finished[i].task.job);
		if (j != NULL && r->finished[i].end == WF_END_DONE)
			task_find(j, &r->finished[i].task)->done_observed =
			    true;
	}
	r->finished_len = n;
}

/* Response time of a long-running task. Each best-effort task on the same
 * runner adds to it in proportion to its CPU share. */
static uint32_t
response_ms(struct sim *s, const struct sim_runner *r)
{
	const struct sim_job *j;
	uint32_t ms = RESPONSE_ALONE_MS;
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		j = job_find(s, r->runs[i].task.job);
		if (j != NULL &&
		    j->spec.steps[r->runs[i].task.step].best_effort)
			ms += RESPONSE_BEST_EFFORT_MS * r->runs[i].pace / 100;
	}
	return ms;
}

static void
do_pace(struct sim_runner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (wf_task_ref_same(&r->runs[i].task, &o->task) &&
		    r->runs[i].run == o->run)
			r->runs[i].pace = o->percent;
	}
}

static void
fill_lists(struct sim *s, struct sim_runner *r, struct order_call *c)
{
	const uint32_t load = response_ms(s, r);
	size_t i;

	c->res.active = agb_xcalloc(r->runs_len + 1, sizeof(*c->res.active));
	for (i = 0; i < r->runs_len; i++) {
		c->res.active[i].task = r->runs[i].task;
		c->res.active[i].run = r->runs[i].run;
		c->res.active[i].percent =
		    s->o.runner_stalls ? r->runs[i].percent : 100;
		c->res.active[i].load = load;
	}
	c->res.active_len = r->runs_len;
	c->res.finished =
	    agb_xcalloc(r->finished_len + 1, sizeof(*c->res.finished));
	c->res.finished_len = r->finished_len < WF_ENDS_PER_LIST
	    ? r->finished_len
	    : WF_ENDS_PER_LIST;
	if (r->finished_len > 0)
		memcpy(c->res.finished, r->finished,
		    c->res.finished_len * sizeof(*r->finished));
}

static void
order_result_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_ORDER_RESULT};
	struct order_call *const c = e->data;

	if (!deliver_or_postpone(s, e, order_result_arrives)) {
		if (e->data != NULL)
			order_call_free(c);
		return;
	}
	ev.u.order = &c->res;
	handle_event(s, e->core, &ev);
	order_call_free(c);
}

static void
send_order_result(
    struct sim *s, const struct sim_event *e, struct order_call *c, agb_time in)
{
	struct sim_event *const r = schedule(s, in, order_result_arrives);

	r->core = e->core;
	r->gen = e->gen;
	attach(r, c, order_call_free);
}

static struct sim_runner *
runner_by_id(struct sim *s, const char *id)
{
	const unsigned long ri = strtoul(id + strlen("r-"), NULL, 10);

	return ri < s->o.runners ? &s->runners[ri] : NULL;
}

static void
poll_hold(struct sim *s, struct sim_event *e)
{
	struct order_call *const c = e->data;
	struct sim_runner *const r = runner_by_id(s, c->o.runner_id);
	struct sim_event *again;

	if (!r->up || r->unreachable) {
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, 600 * SIM_MS);
		return;
	}
	if (s->now + s->o.latency_ms * SIM_MS > c->gives_up_at) {
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, 0);
		return;
	}
	if (r->finished_len == 0 && s->now < c->wait_until) {
		again = schedule(s, 5 * SIM_MS, poll_hold);
		again->core = e->core;
		again->gen = e->gen;
		attach(again, c, order_call_free);
		return;
	}
	c->res.clock_ms = runner_clock(s, r);
	c->res.started_ms = r->info.started_ms;
	fill_lists(s, r, c);
	send_order_result(s, e, c, s->o.latency_ms * SIM_MS);
}

static void
do_order(struct sim *s, struct sim_runner *r, struct order_call *c)
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
		extend_runner_lease(s, r, c->o.deadline_ms);
		forget_ends(s, r, c->o.forget_seq);
		c->res.status = WF_ORDER_OK;
		break;
	}
	c->res.clock_ms = runner_clock(s, r);
	c->res.started_ms = r->info.started_ms;
}

static void
apply_late_order(struct sim *s, struct sim_event *e)
{
	struct order_call *const c = e->data;
	struct sim_runner *const r = runner_by_id(s, c->o.runner_id);

	if (r->up && !r->unreachable && (uint64_t)r->info.started_ms == e->a)
		do_order(s, r, c);
	order_call_free(c);
}

static void
order_arrives(struct sim *s, struct sim_event *e)
{
	struct order_call *const c = e->data;
	struct sim_runner *const r = runner_by_id(s, c->o.runner_id);
	struct order_call *copy;
	struct sim_event *l;

	if (r == NULL || !r->up || r->unreachable ||
	    s->cores[e->core].runners_unreachable) {
		c->res.status = r != NULL && !r->up && !r->unreachable
		    ? WF_ORDER_UNSENT
		    : WF_ORDER_LOST;
		send_order_result(s, e, c,
		    c->res.status == WF_ORDER_LOST ? c->o.timeout_ms * SIM_MS
						   : s->o.latency_ms * SIM_MS);
		return;
	}
	if (r->ignores_starts && c->o.kind == WF_ORDER_START) {
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	if (chance(s, s->o.order_late_percent)) {
		copy = agb_xcalloc(1, sizeof(*copy));
		copy->o = c->o;
		copy->o.payload = NULL;
		l = schedule(
		    s, (2000 + rnd(s, 8000)) * SIM_MS, apply_late_order);
		attach(l, copy, order_call_free);
		l->a = (uint64_t)r->info.started_ms;
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	do_order(s, r, c);
	if (chance(s, s->o.answer_lost_percent) ||
	    (r->loses_hold && c->o.kind == WF_ORDER_HOLD)) {
		r->loses_hold = false;
		c->res.status = WF_ORDER_LOST;
		send_order_result(s, e, c, c->o.timeout_ms * SIM_MS);
		return;
	}
	if (c->o.kind == WF_ORDER_HOLD && c->res.status == WF_ORDER_OK) {
		c->wait_until = s->now + c->o.wait_ms * SIM_MS;
		poll_hold(s, e);
		return;
	}
	send_order_result(s, e, c, s->o.latency_ms * SIM_MS);
}

/* Has an order carried out whose sender does not wait for the answer any
 * more. */
static void
send_unanswered(struct sim *s, const struct order_call *c, agb_time in)
{
	const struct sim_runner *const r = runner_by_id(s, c->o.runner_id);
	struct order_call *const copy = agb_xcalloc(1, sizeof(*copy));
	struct sim_event *const e = schedule(s, in, apply_late_order);

	copy->o = c->o;
	copy->o.payload = NULL;
	attach(e, copy, order_call_free);
	e->a = (uint64_t)r->info.started_ms;
}

static void
send_order(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	const agb_time in = link_send(s, ci,
	    ef->u.order.kind == WF_ORDER_START
		? START_BYTES + ef->u.order.payload_len
		: ORDER_BYTES);
	const agb_time timeout = call_timeout(s, ci, ef->u.order.timeout_ms);
	struct order_call *const c = agb_xcalloc(1, sizeof(*c));
	const bool late = in + s->o.latency_ms * SIM_MS > timeout;
	struct sim_event *e;

	c->o = ef->u.order;
	ef->u.order.payload = NULL;
	s->relayed_orders += c->o.number > 0;
	s->direct_orders += c->o.number == 0;
	wf_order_result_init(&c->res, &c->o);
	c->gives_up_at = s->now + timeout;
	e = schedule_core(s, ci, late ? timeout : in,
	    late ? order_result_arrives : order_arrives);
	attach(e, c, order_call_free);
	if (!late)
		return;
	c->res.status = WF_ORDER_LOST;
	send_unanswered(s, c, in);
}

static void
send_registry(struct sim *s, unsigned ci, bool full)
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
		items[n].removed = !s->runners[ri].listed;
		items[n++].info = s->runners[ri].info;
	}
	ev.u.runners.full = full;
	ev.u.runners.items = items;
	ev.u.runners.items_len = n;
	handle_event(s, ci, &ev);
}

static void
registry_change_arrives(struct sim *s, struct sim_event *e)
{
	if (deliver_or_postpone(s, e, registry_change_arrives) &&
	    s->cores[e->core].watches_registry)
		send_registry(s, e->core, false);
}

static void
send_first_registry(struct sim *s, struct sim_event *e)
{
	if (deliver_or_postpone(s, e, send_first_registry) &&
	    s->cores[e->core].watches_registry)
		send_registry(s, e->core, true);
}

static void
send_registry_to_all(struct sim *s)
{
	unsigned ci;

	if (s->store != SIM_STORE_UP)
		return;
	for (ci = 0; ci < s->o.cores; ci++) {
		if (!s->cores[ci].up || !s->cores[ci].watches_registry ||
		    s->now < s->cores[ci].frozen_until)
			continue;
		if (is_busy(s, &s->cores[ci]))
			schedule_core(s, ci, 0, registry_change_arrives);
		else
			send_registry(s, ci, false);
	}
}

/* Removes a runner that is down or unreachable from the registry after three
 * missed heartbeats, and adds it again when it is back. */
static void
update_registry(struct sim *s, struct sim_event *e)
{
	struct sim_runner *r;
	unsigned ri;
	bool seen;

	for (ri = 0; ri < s->o.runners; ri++) {
		r = &s->runners[ri];
		seen = r->up && !r->unreachable;
		if (seen) {
			r->listed = true;
			r->delist_at = 0;
		} else if (r->delist_at == 0) {
			r->delist_at = s->now + REGISTRY_LAPSE_MS * SIM_MS;
		} else if (s->now >= r->delist_at) {
			r->listed = false;
		}
	}
	send_registry_to_all(s);
	schedule(s, HEARTBEAT_MS / 3 * SIM_MS, update_registry);
}

/* ---- advice ---- */

static void
advice_free(void *data)
{
	struct wf_advice *const a = data;

	free(a->items);
	free(a);
}

static void
advice_answer_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_ADVICE, .tag = e->tag};
	struct wf_advice *const a = e->data;

	if (deliver_or_postpone(s, e, advice_answer_arrives)) {
		ev.u.advice = a;
		handle_event(s, e->core, &ev);
	} else if (e->data == NULL) {
		return;
	}
	advice_free(a);
}

/* For each step, seven of eight runners are approved, always the same ones. */
static bool
is_approved(const struct wf_task_ref *ref, const char *runner)
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
	const size_t runners = ef->u.advice_request.runners_len;
	const agb_time took = s->o.advice_ms == 0
	    ? ADVICE_MS * SIM_MS
	    : (s->o.advice_ms + s->o.advice_per_runner_ms * runners) * SIM_MS;
	struct sim_event *const e = schedule_core(s, ci,
	    link_send(s, ci, CALL_BYTES + ADVICE_RUNNER_BYTES * runners) +
		s->o.latency_ms * SIM_MS + took,
	    advice_answer_arrives);
	size_t i;

	s->advice_calls++;
	a->answered = true;
	a->valid_ms = 2000;
	a->items = agb_xcalloc(
	    ef->u.advice_request.runners_len + 1, sizeof(*a->items));
	for (i = 0; i < ef->u.advice_request.runners_len; i++) {
		if (!is_approved(&ef->u.advice_request.step,
			ef->u.advice_request.runners[i]))
			continue;
		agb_str_copy(a->items[a->items_len].runner, sizeof(agb_id),
		    ef->u.advice_request.runners[i]);
		agb_str_copy(
		    a->items[a->items_len++].ticket, sizeof(agb_id), "t");
	}
	e->tag = ef->tag;
	attach(e, a, advice_free);
}

/* ---- instances ---- */

static void
reply(struct sim *s, const struct wf_effect *ef)
{
	struct sim_job *j;
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
on_tick(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_TICK};

	if (!deliver_or_postpone(s, e, on_tick))
		return;
	if (s->cores[e->core].tick_at > s->now)
		return;
	s->cores[e->core].tick_at = 0;
	handle_event(s, e->core, &ev);
}

/* Index of the instance with an address. */
static unsigned
core_by_addr(const char *rpc)
{
	return (unsigned)strtoul(rpc + strlen("10.0.0."), NULL, 10);
}

struct put_call {
	struct wf_record r;
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	uint32_t timeout_ms;
};

struct push_call {
	struct wf_push push;
};

static void
push_call_free(void *data)
{
	struct push_call *const c = data;
	size_t i;

	for (i = 0; i < c->push.len; i++)
		free(c->push.items[i].val);
	free(c->push.items);
	free(c);
}

static void
push_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUSH};
	struct push_call *const c = e->data;
	struct agb_store_kv *kvs;
	size_t i;

	if (!deliver_or_postpone(s, e, push_arrives)) {
		if (e->data != NULL)
			push_call_free(c);
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
	handle_event(s, e->core, &ev);
	free(kvs);
	push_call_free(c);
}

static void
send_push(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct push_call *const c = agb_xcalloc(1, sizeof(*c));
	struct sim_event *e;

	c->push = ef->u.push;
	memset(&ef->u.push, 0, sizeof(ef->u.push));
	e = schedule_core(s, core_by_addr(ef->peer),
	    link_send(s, ci, CALL_BYTES + RECORD_BYTES * c->push.len),
	    push_arrives);
	attach(e, c, push_call_free);
}

static void
put_call_free(void *data)
{
	struct put_call *const c = data;

	free(c->r.val);
	free(c);
}

/* Delivers a put to a peer. */
static void
put_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUT};
	struct put_call *const c = e->data;

	if (!deliver_or_postpone(s, e, put_arrives)) {
		if (e->data != NULL)
			put_call_free(c);
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
	handle_event(s, e->core, &ev);
	put_call_free(c);
}

static void
send_put(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct put_call *const c = agb_xcalloc(1, sizeof(*c));
	const unsigned to = core_by_addr(ef->peer);
	struct sim_event *e;

	s->relayed_writes++;
	c->r = ef->u.record;
	ef->u.record.val = NULL;
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	c->timeout_ms = ef->timeout_ms;
	e = schedule_core(s, to, message_delay(s, ci), put_arrives);
	attach(e, c, put_call_free);
	/* Without a reply before this event, the outcome of the put is
	 * unknown. */
	e = schedule_core(
	    s, ci, call_timeout(s, ci, ef->timeout_ms), store_answer_arrives);
	e->tag = ef->tag;
	attach(e, agb_xcalloc(1, sizeof(struct store_call)), store_call_free);
	((struct store_call *)e->data)->res.status = AGB_STORE_LOST;
}

static bool linked(const struct sim *s, unsigned a, unsigned b);

static void
ping_result_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_ACK, .tag = e->tag};

	if (!deliver_or_postpone(s, e, ping_result_arrives))
		return;
	ev.flag = e->a != 0;
	handle_event(s, e->core, &ev);
}

static void
send_ping(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const struct sim_core *const to = &s->cores[core_by_addr(ef->peer)];
	const agb_time arrives_at = s->now + message_delay(s, ci);
	const agb_time answer_in =
	    agb_time_max(arrives_at, to->cpu.busy_until) - s->now +
	    s->o.latency_ms * SIM_MS;
	const agb_time timeout = call_timeout(s, ci, ef->timeout_ms);
	const bool ok = to->up && s->now >= to->frozen_until &&
	    linked(s, ci, core_by_addr(ef->peer)) && answer_in <= timeout;
	struct sim_event *const e =
	    schedule_core(s, ci, ok ? answer_in : timeout, ping_result_arrives);

	e->tag = ef->tag;
	e->a = ok;
}

/* ---- relayed orders ---- */

/* Whether calls between two instances arrive. */
static bool
linked(const struct sim *s, unsigned a, unsigned b)
{
	return a == b || (!s->cores[a].isolated && !s->cores[b].isolated);
}

struct batch_call {
	struct wf_order_batch o;
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	bool answered;
};

static void
batch_call_free(void *data)
{
	struct batch_call *const c = data;

	wf_orders_free(&c->o);
	free(c);
}

static void
orders_ack_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_ORDERS_ACK, .tag = e->tag};

	if (!deliver_or_postpone(s, e, orders_ack_arrives))
		return;
	ev.u.orders_ack.answered = e->a != 0;
	ev.u.orders_ack.may_have_arrived = e->a != 0 || e->data != NULL;
	ev.u.orders_ack.accepted = e->a == 2;
	ev.u.orders_ack.peer_clock = e->b;
	handle_event(s, e->core, &ev);
}

static void
orders_timeout(struct sim *s, struct sim_event *e)
{
	size_t i;

	for (i = 0; i < s->calls_len; i++) {
		if (s->calls[i].core == e->core && s->calls[i].gen == e->gen &&
		    s->calls[i].tag == e->tag && s->calls[i].answered)
			return;
	}
	e->a = 0;
	e->data = s;
	orders_ack_arrives(s, e);
}

static void
orders_arrive(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_ORDERS};
	struct batch_call *const c = e->data;

	if (!deliver_or_postpone(s, e, orders_arrive)) {
		if (e->data != NULL)
			batch_call_free(c);
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
	handle_event(s, e->core, &ev);
	batch_call_free(c);
}

static size_t
batch_bytes(const struct wf_order_batch *o)
{
	size_t i, n = CALL_BYTES + ORDER_BYTES * o->runners_len;

	for (i = 0; i < o->len; i++)
		n += o->items[i].kind == WF_ORDER_START
		    ? START_BYTES + o->items[i].payload_len
		    : ORDER_BYTES;
	return n;
}

static void
send_orders(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	const unsigned to = core_by_addr(ef->peer);
	struct batch_call *c;
	struct sim_event *e;
	size_t i;

	for (i = 0; i < ef->u.orders.len; i++)
		s->payload_bytes += (unsigned)ef->u.orders.items[i].payload_len;
	if (!s->cores[to].up || !linked(s, ci, to)) {
		e = schedule_core(s, ci,
		    s->cores[to].up ? call_timeout(s, ci, ef->timeout_ms)
				    : message_delay(s, ci),
		    orders_ack_arrives);
		e->tag = ef->tag;
		return;
	}
	c = agb_xcalloc(1, sizeof(*c));
	c->o = ef->u.orders;
	memset(&ef->u.orders, 0, sizeof(ef->u.orders));
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	e = schedule_core(
	    s, to, link_send(s, ci, batch_bytes(&c->o)), orders_arrive);
	attach(e, c, batch_call_free);
	/* Without a reply before this event, the outcome is unknown. The
	 * timeout of a call that was answered has no effect. */
	e = schedule_core(
	    s, ci, call_timeout(s, ci, ef->timeout_ms), orders_timeout);
	e->tag = ef->tag;
}

static void
send_orders_reply(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const size_t i = (size_t)ef->tag - 1;
	struct sim_event *e;

	if (!linked(s, ci, s->calls[i].core))
		return;
	s->calls[i].answered = true;
	e = schedule(s, message_delay(s, ci), orders_ack_arrives);
	e->core = s->calls[i].core;
	e->gen = s->calls[i].gen;
	e->tag = s->calls[i].tag;
	e->a = ef->flag ? 2 : 1;
	e->b = ef->clock;
}

struct results_call {
	struct wf_result_batch r;
};

static void
results_call_free(void *data)
{
	struct results_call *const c = data;

	wf_results_free(&c->r);
	free(c);
}

static void
results_arrive(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_RESULTS};
	struct results_call *const c = e->data;

	if (deliver_or_postpone(s, e, results_arrive)) {
		ev.u.results = &c->r;
		handle_event(s, e->core, &ev);
	} else if (e->data == NULL) {
		return;
	}
	results_call_free(c);
}

static size_t
results_bytes(const struct wf_result_batch *r)
{
	size_t i, n = CALL_BYTES;

	for (i = 0; i < r->len; i++)
		n += RESULT_BYTES +
		    RUN_BYTES *
			(r->items[i].new_runs_len + r->items[i].finished_len);
	return n;
}

static void
send_results(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	const unsigned to = core_by_addr(ef->peer);
	struct results_call *c;
	struct sim_event *e;

	if (!s->cores[to].up || !linked(s, ci, to))
		return;
	c = agb_xcalloc(1, sizeof(*c));
	c->r = ef->u.results;
	memset(&ef->u.results, 0, sizeof(ef->u.results));
	e = schedule_core(
	    s, to, link_send(s, ci, results_bytes(&c->r)), results_arrive);
	attach(e, c, results_call_free);
}

static void
payload_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PAYLOAD, .tag = e->tag};

	if (!deliver_or_postpone(s, e, payload_arrives))
		return;
	ev.flag = e->a != 0;
	ev.u.payload.data = "x";
	ev.u.payload.len = 1;
	handle_event(s, e->core, &ev);
}

static void
payload_request_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PAYLOAD_REQUEST};
	struct payload_request *const c = e->data;

	if (!deliver_or_postpone(s, e, payload_request_arrives)) {
		if (e->data != NULL)
			free(c);
		return;
	}
	s->payload_requests = agb_xreallocarray(s->payload_requests,
	    s->payload_requests_len + 1, sizeof(*s->payload_requests));
	s->payload_requests[s->payload_requests_len++] = *c;
	ev.tag = s->payload_requests_len;
	agb_str_copy(ev.u.payload.job, sizeof(ev.u.payload.job), c->job);
	free(c);
	handle_event(s, e->core, &ev);
}

static void
send_payload_request(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const unsigned to = core_by_addr(ef->peer);
	struct payload_request *c;
	struct sim_event *e;

	/* Without a reply before this event, the payload counts as
	 * unavailable. A later event with the same tag is ignored. */
	e = schedule_core(
	    s, ci, call_timeout(s, ci, ef->timeout_ms), payload_arrives);
	e->tag = ef->tag;
	if (!s->cores[to].up || !linked(s, ci, to))
		return;
	c = agb_xcalloc(1, sizeof(*c));
	c->from = ci;
	c->from_gen = s->cores[ci].gen;
	c->tag = ef->tag;
	agb_str_copy(c->job, sizeof(c->job), ef->u.payload.job);
	e = schedule_core(s, to, message_delay(s, ci), payload_request_arrives);
	attach(e, c, free);
}

static void
send_payload_reply(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const struct payload_request *const c =
	    &s->payload_requests[ef->tag - 1];
	struct sim_event *e;

	if (!linked(s, ci, c->from))
		return;
	s->payload_calls++;
	e = schedule(s, message_delay(s, ci), payload_arrives);
	e->core = c->from;
	e->gen = c->from_gen;
	e->tag = c->tag;
	e->a = ef->flag;
}

static void
send_put_reply(struct sim *s, unsigned ci, const struct wf_effect *ef)
{
	const size_t i = (size_t)ef->tag - 1;
	struct store_call *c;
	struct sim_event *e;

	e = schedule(s, message_delay(s, ci), store_answer_arrives);
	e->core = s->puts[i].core;
	e->gen = s->puts[i].gen;
	e->tag = s->puts[i].tag;
	c = agb_xcalloc(1, sizeof(*c));
	c->res.status = ef->u.put_result.status;
	c->res.succeeded = ef->u.put_result.stored;
	c->res.revision = ef->u.put_result.revision;
	c->made_by_peer = true;
	attach(e, c, store_call_free);
}

static void
apply_effect(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct sim_core *const c = &s->cores[ci];

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
	case WF_EF_ADVICE_REQUEST:
	case WF_EF_PEER_ADVICE_REQUEST:
		/* Advice is not routed through the peer in the simulation. */
		send_advice(s, ci, ef);
		break;
	case WF_EF_PEER_PUSH:
		send_push(s, ci, ef);
		break;
	case WF_EF_PEER_PUT:
		send_put(s, ci, ef);
		break;
	case WF_EF_PEER_PING:
		send_ping(s, ci, ef);
		break;
	case WF_EF_PUT_REPLY:
		send_put_reply(s, ci, ef);
		break;
	case WF_EF_ORDERS:
		send_orders(s, ci, ef);
		break;
	case WF_EF_ORDERS_REPLY:
		send_orders_reply(s, ci, ef);
		break;
	case WF_EF_PAYLOAD_REQUEST:
		send_payload_request(s, ci, ef);
		break;
	case WF_EF_PAYLOAD_REPLY:
		send_payload_reply(s, ci, ef);
		break;
	case WF_EF_RESULTS:
		send_results(s, ci, ef);
		break;
	case WF_EF_WATCH_REGISTRY:
		c->watches_registry = ef->flag;
		if (ef->flag)
			schedule_core(s, ci, 5 * SIM_MS, send_first_registry);
		break;
	case WF_EF_WATCH_FEED:
		watch_feed(s, ci, ef);
		break;
	case WF_EF_FEED_INTERVAL:
		c->feeds[ef->feed].interval_ms = ef->interval_ms;
		break;
	case WF_EF_READY:
		c->ready = ef->flag;
		break;
	case WF_EF_LOG:
		s->load_lines += strcmp(ef->u.log.event, "load") == 0;
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

/* A tick that is due may wait until the instance is free. */
static bool
is_tick_pending(const struct sim *s, const struct sim_core *c)
{
	return c->tick_at > s->now ||
	    (c->tick_at > 0 && c->cpu.speed_percent > 0);
}

static void
handle_event(struct sim *s, unsigned ci, struct wf_event *ev)
{
	const struct wf_now now = {.mono = s->now + AGB_SEC,
	    .unix_ms = UNIX_BASE_MS + (int64_t)(s->now / SIM_MS)};
	struct sim_core *const c = &s->cores[ci];
	struct wf_meter *const meter = wf_core_meter(c->core);
	struct wf_effects out = {0};
	agb_time next;
	size_t i;

	wf_meter_begin_turn(meter);
	sim_processor_begin_turn(&c->cpu, meter, ev);
	wf_core_handle(c->core, &now, ev, &out);
	for (i = 0; i < out.len; i++) {
		sim_processor_add_effect(&c->cpu, &out.items[i]);
		apply_effect(s, ci, &out.items[i]);
	}
	wf_effects_free(&out);
	wf_meter_end_turn(meter);
	sim_processor_end_turn(&c->cpu, meter, s->now);
	if (!c->up)
		return;
	next = wf_core_next_tick(c->core);
	next = next > now.mono ? next - now.mono : SIM_MS;
	next = (next + SIM_MS - 1) / SIM_MS * SIM_MS;
	if (is_tick_pending(s, c) && c->tick_at <= s->now + next)
		return;
	c->tick_at = s->now + next;
	schedule_core(s, ci, next, on_tick);
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
	agb_str_copy(q->name, sizeof(q->name), "q");
	agb_str_copy(q->service, sizeof(q->service), "svc");
	agb_str_copy(q->host, sizeof(q->host), "h");
	agb_str_copy(q->path_prefix, sizeof(q->path_prefix), "/q/");
	agb_str_copy(d->services[0].name, sizeof(agb_id), "svc");
	q->timeout_ms = 3000;
	q->target_ms = 1000;
	q->max_attempts = s->o.max_attempts;
	q->slack_factor = 2;
	q->advice_required = s->o.advice_required;
	q->advice_base_ms = s->o.advice_ms > 0 ? s->o.advice_ms : ADVICE_MS;
	q->advice_per_runner_ms = s->o.advice_per_runner_ms;
	q->ticket_valid_ms = 2000;
	return d;
}

/* With relays there are two failure domains. */
static const char *
domain_of(const struct sim *s, unsigned i)
{
	return s->o.relays && i % 2 == 1 ? "d2" : "d";
}

static void
core_start(struct sim *s, struct sim_event *e)
{
	struct wf_event doc = {.type = WF_EV_DOC};
	struct sim_core *const c = &s->cores[e->core];
	struct wf_config cfg;

	if (c->up)
		return;
	memset(&cfg, 0, sizeof(cfg));
	snprintf(cfg.name, sizeof(cfg.name), "core-%u.%u", e->core, ++c->gen);
	snprintf(cfg.rpc, sizeof(cfg.rpc), "10.0.0.%u:1", e->core);
	cfg.seed = s->o.seed * 31 + (uint64_t)e->core * 7 + c->gen;
	cfg.cpu_permille = e->core < s->o.small_cores ? 125 : 250;
	cfg.link_kbps = s->o.link_kbps > 0 ? s->o.link_kbps
	    : s->o.relays		   ? RELAYS_LINK_KBPS
					   : 0;
	agb_str_copy(cfg.domain, sizeof(cfg.domain), domain_of(s, e->core));
	cfg.grace_ms = 6000;
	cfg.status_s = 120;
	cfg.meter_ops = &meter_ops;
	cfg.meter_arg = c;
	wf_core_free(c->core);
	c->core = wf_core_new(&cfg);
	c->up = true;
	c->cpu.busy_until = 0;
	memset(c->feeds, 0, sizeof(c->feeds));
	c->runners_unreachable = false;
	c->isolated = false;
	c->watches_registry = false;
	c->tick_at = 0;
	c->frozen_until = 0;
	c->link_free_at = 0;
	doc.u.doc = doc_new(s);
	handle_event(s, e->core, &doc);
}

struct sim *
sim_new(const struct sim_options *o)
{
	struct sim *const s = agb_xcalloc(1, sizeof(*s));
	struct sim_runner *r;
	unsigned i;

	s->o = *o;
	if (s->o.max_attempts == 0)
		s->o.max_attempts = 3;
	if (s->o.latency_ms == 0)
		s->o.latency_ms = 2;
	s->random = o->seed * 2654435761U + 88172645463325252ULL;
	s->rev = 1;
	s->jobs = agb_xcalloc(JOBS_MAX, sizeof(*s->jobs));
	for (i = 0; i < o->runners; i++) {
		r = &s->runners[i];
		snprintf(r->info.id, sizeof(r->info.id), "r-%u", i);
		snprintf(r->info.addr, sizeof(r->info.addr), "10.1.0.%u:1", i);
		agb_str_copy(r->info.service, sizeof(agb_id), "svc");
		agb_str_copy(r->info.domain, sizeof(agb_id), domain_of(s, i));
		r->info.capacity.cpu_milli = o->cpu_milli;
		r->info.capacity.mem_mb = 65536;
		r->info.started_ms = 1;
		r->info.remaining_ms = -1;
		r->up = true;
		r->listed = true;
	}
	for (i = 0; i < o->cores; i++) {
		s->cores[i].s = s;
		s->cores[i].cpu.speed_percent = o->processor_percent;
		s->cores[i].link_kbps = o->link_kbps;
		schedule(s, (agb_time)(i + 1) * 10 * SIM_MS, core_start)->core =
		    i;
	}
	schedule(s, SIM_MS, expire_leases);
	schedule(s, SIM_MS, step_runners);
	schedule(s, SIM_MS, update_registry);
	return s;
}

/* Request of a client. */
struct client_call {
	struct wf_call call;
};

static void
client_call_free(void *data)
{
	struct client_call *const c = data;

	if (c->call.spec != NULL) {
		wf_spec_free(c->call.spec);
		free(c->call.spec);
	}
	free(c);
}

static void
client_call_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_CALL};
	struct client_call *const c = e->data;

	if (deliver_or_postpone(s, e, client_call_arrives)) {
		ev.u.call = &c->call;
		handle_event(s, e->core, &ev);
	} else if (e->data == NULL) {
		return;
	}
	client_call_free(c);
}

/* Frees an event that is dropped. */
static void
event_free(struct sim_event *e)
{
	if (e->free_data != NULL && e->data != NULL)
		e->free_data(e->data);
	free(e);
}

void
sim_free(struct sim *s)
{
	struct sim_event *e;
	unsigned i;
	size_t k;

	while (s->heap_len > 0)
		event_free(pop_event(s));
	for (i = 0; i < s->o.cores; i++) {
		while ((e = s->cores[i].waiting) != NULL) {
			s->cores[i].waiting = e->next;
			event_free(e);
		}
	}
	free(s->heap);
	for (i = 0; i < s->o.cores; i++)
		wf_core_free(s->cores[i].core);
	for (i = 0; i < s->o.runners; i++) {
		free(s->runners[i].runs);
		free(s->runners[i].finished);
		free(s->runners[i].barred);
	}
	HASH_CLEAR(hh, s->jobs_by_id);
	for (k = 0; k < s->jobs_len; k++) {
		wf_spec_free(&s->jobs[k].spec);
		free(s->jobs[k].tasks);
	}
	for (k = 0; k < s->kvs_len; k++) {
		free(s->kvs[k].key);
		free(s->kvs[k].val);
	}
	for (k = 0; k < s->history_len; k++) {
		free(s->history[k].key);
		free(s->history[k].val);
	}
	free(s->kvs);
	free(s->history);
	free(s->leases);
	free(s->puts);
	free(s->calls);
	free(s->payload_requests);
	free(s->jobs);
	free(s);
}

void
sim_run(struct sim *s, unsigned ms)
{
	const agb_time until = s->now + ms * SIM_MS;
	struct sim_event *e;

	while (s->heap_len > 0 && s->heap[0]->at <= until) {
		e = pop_event(s);
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
sim_new_spec(uint32_t count, uint32_t cpu, uint32_t ms)
{
	struct wf_spec *const spec = agb_xcalloc(1, sizeof(*spec));

	spec->repeat_count = 1;
	spec->payload = agb_xstrdup("x");
	spec->payload_len = 1;
	sim_add_step(spec, count, cpu, ms);
	return spec;
}

struct wf_step *
sim_add_step(struct wf_spec *spec, uint32_t count, uint32_t cpu, uint32_t ms)
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
	dst->payload = agb_xmemdup(src->payload, src->payload_len);
	dst->steps = agb_xcalloc(src->steps_len, sizeof(*dst->steps));
	memcpy(dst->steps, src->steps, src->steps_len * sizeof(*dst->steps));
}

static void
send_call(struct sim *s, unsigned ci, uint64_t id, enum wf_call_kind kind,
    const char *job, struct wf_spec *spec)
{
	struct client_call *const c = agb_xcalloc(1, sizeof(*c));
	struct wf_event ev = {.type = WF_EV_CALL, .u.call = &c->call};

	c->call.id = id;
	c->call.kind = kind;
	c->call.spec = spec;
	agb_str_copy(c->call.host, sizeof(c->call.host), "h");
	snprintf(c->call.path, sizeof(c->call.path), "/q/%s", job);
	if (s->cores[ci].up && s->now >= s->cores[ci].frozen_until) {
		if (is_busy(s, &s->cores[ci])) {
			attach(schedule_core(s, ci, 0, client_call_arrives), c,
			    client_call_free);
			return;
		}
		handle_event(s, ci, &ev);
	}
	client_call_free(c);
}

void
sim_submit(struct sim *s, unsigned ci, const char *id, struct wf_spec *spec)
{
	struct sim_job *const j = &s->jobs[s->jobs_len++];

	agb_str_copy(j->id, sizeof(j->id), id);
	HASH_ADD_STR(s->jobs_by_id, id, j);
	spec_copy(spec, &j->spec);
	j->tasks =
	    agb_xcalloc((size_t)spec->repeat_count * wf_spec_task_count(spec),
		sizeof(*j->tasks));
	send_call(s, ci, (s->jobs_len - 1) * 2, WF_CALL_SUBMIT, id, spec);
}

void
sim_cancel(struct sim *s, unsigned ci, const char *id)
{
	const struct sim_job *const j = job_find(s, id);

	send_call(
	    s, ci, (uint64_t)(j - s->jobs) * 2 + 1, WF_CALL_CANCEL, id, NULL);
}

void
sim_kill(struct sim *s, unsigned ci, unsigned back_ms)
{
	struct sim_core *const c = &s->cores[ci];

	if (!c->up)
		return;
	c->up = false;
	c->gen++;
	if (back_ms > 0)
		schedule(s, back_ms * SIM_MS, core_start)->core = ci;
	/* Freed when it restarts or the simulation ends, since one of its
	 * events may be in progress. */
}

static void
refusal_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_LOST, .flag = true};
	char rpc[32];

	if (!deliver_or_postpone(s, e, refusal_arrives))
		return;
	snprintf(rpc, sizeof(rpc), "10.0.0.%u:1", (unsigned)e->a);
	ev.u.peer = rpc;
	handle_event(s, e->core, &ev);
}

void
sim_kill_process(struct sim *s, unsigned ci, unsigned back_ms)
{
	unsigned i;

	sim_kill(s, ci, back_ms);
	for (i = 0; i < s->o.cores; i++) {
		if (i != ci && s->cores[i].up && linked(s, i, ci))
			schedule_core(
			    s, i, 2 * SIM_MS * s->o.latency_ms, refusal_arrives)
			    ->a = ci;
	}
}

void
sim_freeze(struct sim *s, unsigned ci, unsigned ms)
{
	s->cores[ci].frozen_until = s->now + ms * SIM_MS;
}

void
sim_core_cut_runners(struct sim *s, unsigned ci, bool cut)
{
	s->cores[ci].runners_unreachable = cut;
}

void
sim_core_isolate(struct sim *s, unsigned ci, bool isolated)
{
	s->cores[ci].isolated = isolated;
}

void
sim_core_set_processor(struct sim *s, unsigned ci, unsigned percent)
{
	s->cores[ci].cpu.speed_percent = percent;
}

void
sim_core_set_link(struct sim *s, unsigned ci, unsigned kbps)
{
	s->cores[ci].link_kbps = kbps;
}

static void
sigterm_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_TERM};

	if (deliver_or_postpone(s, e, sigterm_arrives))
		handle_event(s, e->core, &ev);
}

void
sim_sigterm(struct sim *s, unsigned ci)
{
	struct wf_event ev = {.type = WF_EV_TERM};

	if (!s->cores[ci].up || s->now < s->cores[ci].frozen_until)
		return;
	if (is_busy(s, &s->cores[ci]))
		schedule_core(s, ci, 0, sigterm_arrives);
	else
		handle_event(s, ci, &ev);
}

void
sim_set_store_mode(struct sim *s, enum sim_store_mode mode)
{
	s->store = mode;
}

void
sim_set_store_loss(struct sim *s, unsigned percent)
{
	s->store_loss_percent = percent;
}

void
sim_set_store_delay(struct sim *s, unsigned ms)
{
	s->store_slow_ms = ms;
}

void
sim_set_core_store_mode(struct sim *s, unsigned ci, enum sim_store_mode mode)
{
	s->cores[ci].store = mode;
}

void
sim_compact_store(struct sim *s)
{
	s->compacted_rev = s->rev;
}

void
sim_runner_cut(struct sim *s, unsigned ri, bool cut)
{
	s->runners[ri].unreachable = cut;
}

static void
runner_clear(struct sim_runner *r)
{
	r->runs_len = 0;
	r->finished_len = 0;
	r->barred_len = 0;
	r->seq = 0;
	r->fence = 0;
	r->lease_until = 0;
}

static void
restart_runner(struct sim *s, struct sim_event *e)
{
	struct sim_runner *const r = &s->runners[e->a];

	r->up = true;
	r->info.started_ms = UNIX_BASE_MS + (int64_t)(s->now / SIM_MS);
	r->started_at = s->now;
	r->info.draining = false;
	r->info.remaining_ms = -1;
}

static void
break_lost_gangs(struct sim *s, struct sim_runner *r)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		const struct sim_job *const j =
		    job_find(s, r->runs[i].task.job);

		if (j != NULL && j->spec.steps[r->runs[i].task.step].gang)
			for_gang_members(s, &r->runs[i], break_member, 0);
	}
}

void
sim_runner_crash(struct sim *s, unsigned ri, unsigned back_ms)
{
	struct sim_runner *const r = &s->runners[ri];

	if (!r->up)
		return;
	r->up = false;
	break_lost_gangs(s, r);
	runner_clear(r);
	if (back_ms > 0)
		schedule(s, back_ms * SIM_MS, restart_runner)->a = ri;
}

static void
stop_drained_runner(struct sim *s, struct sim_event *e)
{
	struct sim_runner *const r = &s->runners[e->a];

	if (!r->up || !r->info.draining)
		return;
	r->up = false;
	r->listed = false;
	break_lost_gangs(s, r);
	runner_clear(r);
	send_registry_to_all(s);
	if (e->b > 0)
		schedule(s, e->b * SIM_MS, restart_runner)->a = e->a;
}

void
sim_runner_drain(struct sim *s, unsigned ri, unsigned leave_ms)
{
	struct sim_event *e;

	s->runners[ri].info.draining = true;
	s->runners[ri].info.remaining_ms = leave_ms;
	send_registry_to_all(s);
	e = schedule(s, leave_ms * SIM_MS, stop_drained_runner);
	e->a = ri;
	e->b = 3000;
}

void
sim_runner_stall(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].stalled = on;
}

void
sim_runner_lose_hold(struct sim *s, unsigned ri)
{
	s->runners[ri].loses_hold = true;
}

void
sim_runner_faulty(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].faulty = on;
}

void
sim_runner_ignore_starts(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].ignores_starts = on;
}

int
sim_leader(const struct sim *s)
{
	struct wf_gauges g;
	unsigned i;

	for (i = 0; i < s->o.cores; i++) {
		if (!s->cores[i].up || s->now < s->cores[i].frozen_until)
			continue;
		wf_core_get_gauges(s->cores[i].core, s->now + AGB_SEC, &g);
		if (g.is_leader)
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
		state = wf_core_job_state(s->cores[i].core, id);
		if (state != NULL &&
		    (best == NULL || strcmp(state, "queued") != 0) &&
		    (best == NULL || strcmp(best, "queued") == 0 ||
			strcmp(state, "running") != 0))
			best = state;
	}
	return best != NULL ? best : "unknown";
}

unsigned
sim_start_count(const struct sim *s, const char *id)
{
	const struct sim_job *const j = job_find(s, id);

	return j != NULL ? j->starts : 0;
}

unsigned
sim_total_start_count(const struct sim *s)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < s->jobs_len; i++)
		n += s->jobs[i].starts;
	return n;
}

uint64_t
sim_bytes_sent(const struct sim *s, unsigned ci)
{
	return s->cores[ci].bytes_sent;
}

unsigned
sim_started_at_ms(const struct sim *s, const char *id)
{
	const struct sim_job *const j = job_find(s, id);

	return j != NULL ? (unsigned)(j->started_at / SIM_MS) : 0;
}

unsigned
sim_running_count(const struct sim *s, const char *id)
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
sim_response_ms(struct sim *s, const char *id)
{
	const unsigned ri = sim_runner_of(s, id);

	return ri == UINT32_MAX ? 0 : response_ms(s, &s->runners[ri]);
}

unsigned
sim_submit_status(const struct sim *s, const char *id)
{
	const struct sim_job *const j = job_find(s, id);

	return j != NULL ? j->status : 0;
}

unsigned
sim_store_calls(const struct sim *s)
{
	return s->store_calls;
}

unsigned
sim_relayed_writes(const struct sim *s)
{
	return s->relayed_writes;
}

unsigned
sim_relayed_orders(const struct sim *s)
{
	return s->relayed_orders;
}

unsigned
sim_direct_orders(const struct sim *s)
{
	return s->direct_orders;
}

unsigned
sim_payload_bytes(const struct sim *s)
{
	return s->payload_bytes;
}

unsigned
sim_full_reads(const struct sim *s)
{
	return s->full_reads;
}

unsigned
sim_dispatch_ms(const struct sim *s, unsigned ci)
{
	return (
	    unsigned)(wf_meter_dispatch_time(wf_core_meter(s->cores[ci].core)) /
	    SIM_MS);
}

unsigned
sim_load_lines(const struct sim *s)
{
	return s->load_lines;
}

unsigned
sim_advice_calls(const struct sim *s)
{
	return s->advice_calls;
}

unsigned
sim_job_count(const struct sim *s)
{
	return (unsigned)s->jobs_len;
}

unsigned
sim_final_job_count(struct sim *s)
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
sim_violation_count(const struct sim *s)
{
	return s->violations;
}

const char *
sim_first_violation(const struct sim *s)
{
	return s->violation;
}

/* ---- randomized runs ---- */

static void
submit_random_job(struct sim *s)
{
	struct wf_spec *spec;
	struct wf_step *step;
	wf_job_id id;
	unsigned ci;

	spec = sim_new_spec(
	    1 + rnd(s, 6), 1000 * (1 + rnd(s, 4)), 100 + rnd(s, 2000));
	spec->steps[0].gang = chance(s, 30);
	spec->steps[0].spread_max = chance(s, 20) ? 2 : 0;
	if (chance(s, 30)) {
		step =
		    sim_add_step(spec, 1 + rnd(s, 4), 1000, 200 + rnd(s, 800));
		step->gang = chance(s, 20);
	}
	ci = rnd(s, s->o.cores);
	snprintf(id, sizeof(id), "%016zx", s->jobs_len + 1);
	sim_submit(s, ci, id, spec);
	if (chance(s, 5))
		sim_cancel(s, rnd(s, s->o.cores), id);
}

static void
restore_store(struct sim *s, struct sim_event *e)
{
	unsigned ci;

	s->store = SIM_STORE_UP;
	for (ci = 0; ci < s->o.cores; ci++)
		s->cores[ci].store = SIM_STORE_UP;
}

static void
heal_runner(struct sim *s, struct sim_event *e)
{
	s->runners[e->a].unreachable = false;
	s->runners[e->a].stalled = false;
	s->runners[e->a].faulty = false;
}

static void
heal_core(struct sim *s, struct sim_event *e)
{
	s->cores[e->a].runners_unreachable = false;
	s->cores[e->a].isolated = false;
}

/* Cuts an instance off from the runners or from the other instances. */
static void
inject_relay_fault(struct sim *s, unsigned ci)
{
	if (chance(s, 50))
		sim_core_cut_runners(s, ci, true);
	else
		sim_core_isolate(s, ci, true);
	schedule(s, (500 + rnd(s, 4000)) * SIM_MS, heal_core)->a = ci;
}

static void
inject_fault(struct sim *s)
{
	const unsigned ri = rnd(s, s->o.runners);
	const int leader = sim_leader(s);
	const unsigned ci = leader >= 0 && chance(s, 60) ? (unsigned)leader
							 : rnd(s, s->o.cores);
	unsigned i;

	if (s->o.runner_stalls && chance(s, 30)) {
		sim_runner_stall(s, ri, true);
		schedule(s, (1000 + rnd(s, 6000)) * SIM_MS, heal_runner)->a =
		    ri;
		return;
	}
	if (s->o.relays && chance(s, 25)) {
		inject_relay_fault(s, ci);
		return;
	}
	switch (rnd(s, 11)) {
	case 0:
		if (s->now / SIM_MS % 2 == 0)
			sim_kill(s, ci, 500 + rnd(s, 3000));
		else
			sim_kill_process(s, ci, 500 + rnd(s, 3000));
		break;
	case 1:
		sim_freeze(s, ci, 1000 + rnd(s, 4000));
		break;
	case 2:
		sim_sigterm(s, ci);
		break;
	case 3:
		sim_set_store_mode(
		    s, chance(s, 50) ? SIM_STORE_REFUSES : SIM_STORE_SILENT);
		schedule(s, (500 + rnd(s, 4000)) * SIM_MS, restore_store);
		break;
	case 4:
		sim_set_core_store_mode(s, ci,
		    chance(s, 50) ? SIM_STORE_REFUSES : SIM_STORE_SILENT);
		schedule(s, (1000 + rnd(s, 6000)) * SIM_MS, restore_store);
		break;
	case 5:
		sim_compact_store(s);
		break;
	case 6:
		sim_runner_cut(s, ri, true);
		schedule(s, (500 + rnd(s, 9000)) * SIM_MS, heal_runner)->a = ri;
		break;
	case 7:
		sim_runner_crash(s, ri, 500 + rnd(s, 5000));
		break;
	case 8:
		sim_runner_drain(s, ri, 1000 + rnd(s, 4000));
		break;
	case 9:
		sim_runner_faulty(s, ri, true);
		schedule(s, (500 + rnd(s, 4000)) * SIM_MS, heal_runner)->a = ri;
		break;
	default:
		for (i = 0; i < s->o.cores; i++)
			sim_kill(s, i, 500 + rnd(s, 1000));
	}
}

void
sim_random_run(struct sim *s)
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
			submit_random_job(s);
		}
		if (s->o.fault_gap_ms > 0 && t >= next_fault) {
			inject_fault(s);
			next_fault = t + s->o.fault_gap_ms / 2 +
			    rnd(s, s->o.fault_gap_ms);
		}
		sim_run(s, step_ms);
	}
	s->o.answer_lost_percent = 0;
	s->o.order_late_percent = 0;
	s->o.store_lost_percent = 0;
	sim_run(s, 60000);
	for (i = 0; i < s->jobs_len; i++) {
		if (s->jobs[i].status != 200)
			continue;
		state = sim_state(s, s->jobs[i].id);
		if (strcmp(state, "completed") != 0 &&
		    strcmp(state, "failed") != 0 &&
		    strcmp(state, "cancelled") != 0)
			report_violation(s, "unfinished: %s is %s at the end",
			    s->jobs[i].id, state);
	}
}

unsigned
sim_run_seed(unsigned seed, FILE *report)
{
	const unsigned stretch =
	    seed >= SIM_FIRST_STALL_SEED && seed % 6 == 0 ? 4 : 1;
	const struct sim_options o = {
	    .seed = seed,
	    .cores = 2 + seed % 4,
	    .runners = 8 + seed % 9,
	    .cpu_milli = 8000 + 4000 * (seed % 3),
	    .latency_ms = 1 + seed % 6,
	    .advice_required = seed % 2 == 1,
	    .max_attempts = 3,
	    .fail_percent = seed % 5,
	    .answer_lost_percent = seed % 3 == 0 ? 3 : 0,
	    .order_late_percent = seed % 4 == 0 ? 2 : 0,
	    .store_lost_percent = seed % 7 == 0 ? 15 : 0,
	    .run_time_factor = stretch,
	    .runner_stalls = seed >= SIM_FIRST_STALL_SEED,
	    .relays = seed >= SIM_FIRST_RELAY_SEED,
	    .jobs_per_s = 1 + (3 + seed % 8) / stretch,
	    .load_ms = 25000,
	    .fault_gap_ms = 800 + 400 * (seed % 6),
	};
	struct sim *const s = sim_new(&o);
	unsigned n;

	sim_random_run(s);
	n = sim_violation_count(s);
	if (n > 0 && report != NULL)
		fprintf(report, "seed %u: %u violations, the first at %s\n",
		    seed, n, sim_first_violation(s));
	sim_free(s);
	return n;
}

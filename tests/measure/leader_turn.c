/*
 * Measures the processor time of the leader's parts under a backlog. The leader
 * of a large fleet is driven in virtual time; relays, runners, the store and
 * the advice service are modelled in memory. Prints for each part and range of
 * queue lengths the number of calls, and the mean and longest time of one. The
 * last line is a digest of all effects: it stays the same as long as the leader
 * makes the same decisions.
 */

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#include "mem.h"
#include "wf_delta.h"
#include "wf_leader.h"

#define DOMAINS 7
#define RACK_RUNNERS 24
#define RUNNER_CPU_MILLI 32000
#define RUNNER_MEM_MB 131072
#define LEADER_CPU_PERMILLE 500
#define PAYLOAD_BYTES 900
#define UNIX_BASE_MS 1700000000000LL
#define LEASE_LEFT_MS 2000
/* One-way delay of messages, time for which a relay collects results, and time
 * of a write. */
#define ONE_WAY_MS 20
#define COLLECT_MS 20
#define WRITE_MS 30
/* Share of the runners that the advice service approves, and the lifetime of
 * its tickets. */
#define APPROVED_PERCENT 35
#define TICKET_VALID_MS 2000
#define GANG_PERCENT 15
#define ACTIVE_MAX 64
#define QUEUE_RANGES 5
/* Queues that jobs are submitted to. */
#define USED_QUEUES 4

/* Lower bounds of the ranges of queue lengths. */
static const uint32_t queue_ranges[QUEUE_RANGES] = {0, 100, 500, 1000, 2000};

enum part {
	PART_SUBMIT,
	PART_DOCUMENT,
	PART_RESULTS,
	PART_ACK,
	PART_ADVICE,
	PART_COMMIT,
	PART_PUSHED,
	PART_OUTBOX_TICK,
	PART_FLEET_TICK,
	PART_DISPATCH,
	PART_SHOW,
	PART_FLUSH,
	PART_SEND,
	PARTS,
};

static const char *const part_names[PARTS] = {
    [PART_SUBMIT] = "submission",
    [PART_DOCUMENT] = "document",
    [PART_RESULTS] = "results",
    [PART_ACK] = "orders_ack",
    [PART_ADVICE] = "advice_answer",
    [PART_COMMIT] = "commit_answer",
    [PART_PUSHED] = "push_ack",
    [PART_OUTBOX_TICK] = "outbox_tick",
    [PART_FLEET_TICK] = "fleet_tick",
    [PART_DISPATCH] = "dispatch",
    [PART_SHOW] = "show_tick",
    [PART_FLUSH] = "commit_flush",
    [PART_SEND] = "outbox_flush",
};

struct part_time {
	uint64_t calls;
	uint64_t total_ns;
	uint64_t max_ns;
};

/* A run on a modelled runner. */
struct model_run {
	struct wf_task_ref task;
	uint32_t run;
	agb_time ends_at;
};

/**
 * struct model_runner - a modelled runner
 * @ended: ends that the leader has not allowed it to forget
 * @hold: number of the hold that waits for an end, or 0
 * @known_seq, @hold_until: of that hold
 */
struct model_runner {
	struct model_run runs[ACTIVE_MAX];
	size_t runs_len;
	struct wf_finished_run *ended;
	size_t ended_len;
	size_t ended_cap;
	uint64_t seq;
	uint64_t hold;
	uint64_t known_seq;
	agb_time hold_until;
	uint32_t lists;
	struct wf_baseline baseline;
};

struct model;

/* An event of the model; @fn handles and frees @data. */
struct model_event {
	agb_time at;
	uint64_t seq;
	void (*fn)(struct model *m, uint64_t tag, void *data);
	uint64_t tag;
	void *data;
};

/**
 * struct model - the leader and what surrounds it
 * @services: number of services that the runners and the queues are divided
 *	among
 * @queues: number of queues of the document; those in use are spread over it
 * @collected: results that are sent to the leader at the next COLLECT_MS
 * @digest: hash of all effects so far
 */
struct model {
	uint32_t runners_len;
	uint32_t services;
	uint32_t queues;
	struct model_runner *runners;
	struct wf_config cfg;
	struct wf_meter meter;
	struct wf_doc *doc;
	struct wf_table table;
	struct wf_leader *l;
	struct wf_now now;
	struct model_event *heap;
	size_t heap_len;
	size_t heap_cap;
	uint64_t seq;
	uint64_t random;
	uint64_t revision;
	uint64_t jobs;
	struct wf_result_batch collected;
	size_t collected_cap;
	struct wf_effects out;
	uint64_t digest;
	struct part_time times[PARTS][QUEUE_RANGES];
	struct timespec began;
};

static uint32_t
draw(struct model *m, uint32_t max)
{
	m->random ^= m->random << 13;
	m->random ^= m->random >> 7;
	m->random ^= m->random << 17;
	return (uint32_t)((m->random >> 11) % max);
}

/* ---- times ---- */

static void
timer_start(struct model *m)
{
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &m->began);
}

static void
timer_stop(struct model *m, enum part part)
{
	struct part_time *x;
	struct timespec end;
	uint64_t ns;
	size_t i;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
	ns = (uint64_t)((end.tv_sec - m->began.tv_sec) * 1000000000LL +
	    end.tv_nsec - m->began.tv_nsec);
	for (i = QUEUE_RANGES - 1; m->l->queue_len < queue_ranges[i]; i--)
		continue;
	x = &m->times[part][i];
	x->calls++;
	x->total_ns += ns;
	x->max_ns = ns > x->max_ns ? ns : x->max_ns;
}

static void
print_times(const struct model *m)
{
	const struct part_time *x;
	uint64_t total_ns = 0;
	size_t i, k;

	printf("%-14s %6s %9s %10s %10s %10s\n", "part", "queue", "calls",
	    "mean_us", "max_us", "total_ms");
	for (i = 0; i < PARTS; i++) {
		for (k = 0; k < QUEUE_RANGES; k++) {
			x = &m->times[i][k];
			total_ns += x->total_ns;
			if (x->calls == 0)
				continue;
			printf("%-14s %5" PRIu32 "+ %9" PRIu64
			       " %10.1f %10.1f %10.1f\n",
			    part_names[i], queue_ranges[k], x->calls,
			    (double)x->total_ns / 1e3 / (double)x->calls,
			    (double)x->max_ns / 1e3, (double)x->total_ns / 1e6);
		}
	}
	printf("total %.1f ms\n", (double)total_ns / 1e6);
}

/* ---- events ---- */

static bool
is_earlier(const struct model_event *a, const struct model_event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static void
swap_events(struct model_event *a, struct model_event *b)
{
	const struct model_event t = *a;

	*a = *b;
	*b = t;
}

static void
schedule(struct model *m, uint32_t in_ms,
    void (*fn)(struct model *, uint64_t, void *), uint64_t tag, void *data)
{
	size_t i;

	if (m->heap_len == m->heap_cap)
		m->heap = agb_xgrow(m->heap, &m->heap_cap, sizeof(*m->heap));
	i = m->heap_len++;
	m->heap[i] = (struct model_event){
	    .at = m->now.mono + in_ms * AGB_MS,
	    .seq = ++m->seq,
	    .fn = fn,
	    .tag = tag,
	    .data = data,
	};
	for (; i > 0 && is_earlier(&m->heap[i], &m->heap[(i - 1) / 2]);
	     i = (i - 1) / 2)
		swap_events(&m->heap[i], &m->heap[(i - 1) / 2]);
}

static struct model_event
next_event(struct model *m)
{
	const struct model_event top = m->heap[0];
	size_t i, c;

	m->heap[0] = m->heap[--m->heap_len];
	for (i = 0; (c = 2 * i + 1) < m->heap_len; i = c) {
		if (c + 1 < m->heap_len &&
		    is_earlier(&m->heap[c + 1], &m->heap[c]))
			c++;
		if (!is_earlier(&m->heap[c], &m->heap[i]))
			break;
		swap_events(&m->heap[c], &m->heap[i]);
	}
	return top;
}

/* ---- runners and relays ---- */

static void
results_arrive(struct model *m, uint64_t tag, void *data)
{
	struct wf_result_batch batch = m->collected;

	(void)tag;
	(void)data;
	batch.fence = m->l->fence;
	memset(&m->collected, 0, sizeof(m->collected));
	m->collected_cap = 0;
	timer_start(m);
	wf_outbox_handle_results(m->l, &m->now, &batch, &m->out);
	timer_stop(m, PART_RESULTS);
	wf_result_batch_free(&batch);
}

static struct wf_relayed_result *
add_result(struct model *m, uint64_t number, enum wf_order_status status)
{
	struct wf_result_batch *const b = &m->collected;
	struct wf_relayed_result *x;

	if (b->len == 0)
		schedule(m, COLLECT_MS + ONE_WAY_MS, results_arrive, 0, NULL);
	if (b->len == m->collected_cap)
		b->items =
		    agb_xgrow(b->items, &m->collected_cap, sizeof(*b->items));
	x = &b->items[b->len++];
	memset(x, 0, sizeof(*x));
	x->number = number;
	x->status = status;
	x->started_ms = 1;
	x->clock_ms = (int64_t)(m->now.mono / AGB_MS);
	return x;
}

static uint32_t
run_percent(const struct model *m, const struct model_run *x)
{
	const agb_time left =
	    x->ends_at > m->now.mono ? x->ends_at - m->now.mono : 0;

	return left / AGB_SEC >= 10 ? 0 : 100 - (uint32_t)(left / AGB_SEC) * 10;
}

static void
answer_hold(struct model *m, struct model_runner *r, uint64_t number,
    uint64_t known_seq, bool keep)
{
	struct wf_relayed_result *const x = add_result(m, number, WF_ORDER_OK);
	struct wf_active_run active[ACTIVE_MAX];
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		memset(&active[i], 0, sizeof(active[i]));
		active[i].task = r->runs[i].task;
		active[i].run = r->runs[i].run;
		active[i].percent = run_percent(m, &r->runs[i]);
	}
	wf_delta_compute(keep && r->baseline.number > 0 ? &r->baseline : NULL,
	    active, r->runs_len, x);
	if (keep) {
		x->list = ++r->lists;
		wf_baseline_set(&r->baseline, x->list, active, r->runs_len);
	}
	x->finished = agb_xcalloc(r->ended_len + 1, sizeof(*x->finished));
	for (i = 0; i < r->ended_len; i++) {
		if (r->ended[i].seq > known_seq)
			x->finished[x->finished_len++] = r->ended[i];
	}
}

static void
answer_waiting_hold(struct model *m, struct model_runner *r)
{
	const uint64_t number = r->hold;

	if (number == 0)
		return;
	r->hold = 0;
	answer_hold(m, r, number, r->known_seq, true);
}

static void
hold_expires(struct model *m, uint64_t number, void *data)
{
	struct model_runner *const r = data;

	if (r->hold == number)
		answer_waiting_hold(m, r);
}

static void
end_run(struct model *m, struct model_runner *r, size_t i, enum wf_run_end how)
{
	struct wf_finished_run *f;

	if (r->ended_len == r->ended_cap)
		r->ended =
		    agb_xgrow(r->ended, &r->ended_cap, sizeof(*r->ended));
	f = &r->ended[r->ended_len++];
	memset(f, 0, sizeof(*f));
	f->seq = ++r->seq;
	f->task = r->runs[i].task;
	f->run = r->runs[i].run;
	f->end = how;
	r->runs[i] = r->runs[--r->runs_len];
	answer_waiting_hold(m, r);
}

static void
runs_end(struct model *m, uint64_t tag, void *data)
{
	struct model_runner *const r = data;
	size_t i;

	(void)tag;
	for (i = r->runs_len; i > 0; i--) {
		if (r->runs[i - 1].ends_at <= m->now.mono)
			end_run(m, r, i - 1, WF_END_DONE);
	}
}

static void
start_run(struct model *m, struct model_runner *r, const struct wf_order *o)
{
	const struct wf_job *const j = wf_table_job(&m->table, o->task.job);
	const uint32_t ms = j->spec.steps[o->task.step].estimate_ms;
	struct model_run *x;

	if (r->runs_len == ACTIVE_MAX) {
		add_result(m, o->number, WF_ORDER_NO_ROOM);
		return;
	}
	x = &r->runs[r->runs_len++];
	x->task = o->task;
	x->run = o->run;
	x->ends_at = m->now.mono + ms * AGB_MS;
	schedule(m, ms, runs_end, 0, r);
	add_result(m, o->number, WF_ORDER_OK);
}

static void
stop_run(struct model *m, struct model_runner *r, const struct wf_order *o)
{
	size_t i;

	add_result(m, o->number, WF_ORDER_OK);
	for (i = 0; i < r->runs_len; i++) {
		if (r->runs[i].run == o->run &&
		    wf_task_ref_same(&r->runs[i].task, &o->task)) {
			end_run(m, r, i, WF_END_STOPPED);
			return;
		}
	}
}

static void
hold_arrives(struct model *m, struct model_runner *r, const struct wf_order *o)
{
	size_t i, n = 0;

	if (o->is_probe) {
		answer_hold(m, r, o->number, 0, false);
		return;
	}
	for (i = 0; i < r->ended_len; i++) {
		if (r->ended[i].seq > o->forget_seq)
			r->ended[n++] = r->ended[i];
	}
	r->ended_len = n;
	if (o->known_list == 0)
		wf_baseline_free(&r->baseline);
	if (o->wait_ms == 0 || r->seq > o->known_seq) {
		answer_hold(m, r, o->number, o->known_seq, true);
		return;
	}
	r->hold = o->number;
	r->known_seq = o->known_seq;
	schedule(m, o->wait_ms, hold_expires, o->number, r);
}

static void
orders_arrive(struct model *m, uint64_t tag, void *data)
{
	struct wf_order_batch *const b = data;
	struct model_runner *r;
	size_t i;

	(void)tag;
	for (i = 0; i < b->len; i++) {
		r = &m->runners[strtoul(b->items[i].runner_id + 2, NULL, 10)];
		if (b->items[i].kind == WF_ORDER_START)
			start_run(m, r, &b->items[i]);
		else if (b->items[i].kind == WF_ORDER_STOP)
			stop_run(m, r, &b->items[i]);
		else if (b->items[i].kind == WF_ORDER_HOLD)
			hold_arrives(m, r, &b->items[i]);
	}
	wf_order_batch_free(b);
	free(b);
}

static void
ack_arrives(struct model *m, uint64_t tag, void *data)
{
	const struct wf_orders_ack ack = {.answered = true,
	    .may_have_arrived = true,
	    .accepted = true,
	    .peer_clock = m->now.mono - ONE_WAY_MS * AGB_MS};

	(void)data;
	timer_start(m);
	wf_outbox_call_done(m->l, &m->now, tag, &ack, &m->out);
	timer_stop(m, PART_ACK);
}

/* ---- store and advice ---- */

static void
write_done(struct model *m, uint64_t tag, void *data)
{
	struct agb_store_result res = {.status = AGB_STORE_OK,
	    .succeeded = true,
	    .revision = ++m->revision};

	(void)data;
	timer_start(m);
	wf_commit_handle_result(m->l, &m->now, tag, &res, &m->out);
	timer_stop(m, PART_COMMIT);
}

static bool
is_approved(const struct wf_task_ref *step, const char *runner)
{
	const uint64_t h = XXH64(
	    runner, strlen(runner), XXH64(step->job, strlen(step->job), 0));

	return (h >> 32) % 100 < APPROVED_PERCENT;
}

static void
advice_arrives(struct model *m, uint64_t tag, void *data)
{
	struct wf_advice *const a = data;

	timer_start(m);
	wf_advice_handle_answer(m->l, &m->now, tag, a, &m->out);
	timer_stop(m, PART_ADVICE);
	free(a->items);
	free(a);
}

static void
answer_advice(struct model *m, const struct wf_effect *ef)
{
	const struct wf_advice_request *const q = &ef->u.advice_request;
	struct wf_advice *const a = agb_xcalloc(1, sizeof(*a));
	struct wf_ticket *t;
	size_t i;

	a->answered = true;
	a->valid_ms = TICKET_VALID_MS;
	a->items = agb_xcalloc(q->runners_len + 1, sizeof(*a->items));
	for (i = 0; i < q->runners_len; i++) {
		if (!is_approved(&q->step, q->runners[i]))
			continue;
		t = &a->items[a->items_len++];
		agb_str_copy(t->runner, sizeof(t->runner), q->runners[i]);
		snprintf(t->ticket, sizeof(t->ticket), "t-%" PRIu64 "-%zu",
		    ef->tag, i);
	}
	schedule(
	    m, q->estimate_ms + 2 * ONE_WAY_MS, advice_arrives, ef->tag, a);
}

static void
push_done(struct model *m, uint64_t tag, void *data)
{
	(void)data;
	timer_start(m);
	wf_show_push_done(m->l, &m->now, tag, WF_PUSH_ACKED, &m->out);
	timer_stop(m, PART_PUSHED);
}

/* ---- effects ---- */

static void
hash_bytes(struct model *m, const void *p, size_t len)
{
	m->digest = XXH64(p, len, m->digest);
}

static void
hash_text(struct model *m, const char *s)
{
	hash_bytes(m, s, strlen(s));
}

static void
hash_number(struct model *m, uint64_t x)
{
	hash_bytes(m, &x, sizeof(x));
}

static void
hash_order(struct model *m, const struct wf_order *o)
{
	hash_number(m, o->kind);
	hash_number(m, o->number);
	hash_number(m, o->send_by);
	hash_number(m, o->runner);
	hash_number(m, o->run);
	hash_number(m, (uint64_t)o->deadline_ms);
	hash_number(m, o->forget_seq);
	hash_number(m, o->known_seq);
	hash_number(m, o->known_list);
	hash_number(m, o->wait_ms);
	hash_text(m, o->runner_id);
	hash_text(m, o->task.job);
	hash_number(m, o->task.step);
	hash_number(m, o->task.index);
	hash_text(m, o->checkpoint);
	hash_text(m, o->ticket);
	hash_text(m, o->origin);
}

static void
hash_effect(struct model *m, const struct wf_effect *ef)
{
	size_t i;

	hash_number(m, ef->type);
	hash_number(m, ef->tag);
	hash_number(m, ef->timeout_ms);
	hash_text(m, ef->peer);
	switch (ef->type) {
	case WF_EF_LOG:
		hash_text(m, ef->u.log.event);
		hash_text(m, ef->u.log.line);
		break;
	case WF_EF_STORE:
		for (i = 0; i < ef->u.store.writes_len; i++) {
			hash_text(m, ef->u.store.writes[i].key);
			if (ef->u.store.writes[i].val != NULL)
				hash_bytes(m, ef->u.store.writes[i].val,
				    ef->u.store.writes[i].val_len);
		}
		break;
	case WF_EF_ORDERS:
		for (i = 0; i < ef->u.orders.len; i++)
			hash_order(m, &ef->u.orders.items[i]);
		break;
	case WF_EF_ADVICE_REQUEST:
	case WF_EF_PEER_ADVICE_REQUEST:
		hash_text(m, ef->u.advice_request.step.job);
		for (i = 0; i < ef->u.advice_request.runners_len; i++)
			hash_text(m, ef->u.advice_request.runners[i]);
		break;
	case WF_EF_PEER_PUSH:
		for (i = 0; i < ef->u.push.len; i++) {
			hash_text(m, ef->u.push.items[i].key);
			hash_bytes(m, ef->u.push.items[i].val,
			    ef->u.push.items[i].len);
		}
		break;
	default:
		break;
	}
}

static void
apply_effect(struct model *m, struct wf_effect *ef)
{
	struct wf_order_batch *batch;

	hash_effect(m, ef);
	switch (ef->type) {
	case WF_EF_STORE:
		schedule(m, WRITE_MS, write_done, ef->tag, NULL);
		break;
	case WF_EF_ORDERS:
		batch = agb_xcalloc(1, sizeof(*batch));
		*batch = ef->u.orders;
		memset(&ef->u.orders, 0, sizeof(ef->u.orders));
		schedule(m, ONE_WAY_MS, orders_arrive, 0, batch);
		schedule(m, 2 * ONE_WAY_MS, ack_arrives, ef->tag, NULL);
		break;
	case WF_EF_ADVICE_REQUEST:
	case WF_EF_PEER_ADVICE_REQUEST:
		answer_advice(m, ef);
		break;
	case WF_EF_PEER_PUSH:
		if (ef->tag != 0)
			schedule(m, 2 * ONE_WAY_MS, push_done, ef->tag, NULL);
		break;
	default:
		break;
	}
}

static void
apply_effects(struct model *m)
{
	size_t i;

	for (i = 0; i < m->out.len; i++)
		apply_effect(m, &m->out.items[i]);
	wf_effects_free(&m->out);
}

/* Carries out the parts of wf_leader_tick() one by one to time each. */
static void
leader_tick(struct model *m)
{
	struct wf_leader *const l = m->l;
	const agb_time dispatched_at = l->last_dispatch_at;

	l->valid_until = m->now.mono + LEASE_LEFT_MS * AGB_MS;
	l->extend_until = l->valid_until + WF_EXTEND_GRACE_MS * AGB_MS;
	timer_start(m);
	wf_outbox_tick(l, &m->now, &m->out);
	timer_stop(m, PART_OUTBOX_TICK);
	if (m->now.mono >= l->next_fleet_tick_at) {
		timer_start(m);
		wf_fleet_tick(l, &m->now, &m->out);
		timer_stop(m, PART_FLEET_TICK);
	}
	timer_start(m);
	wf_dispatch(l, &m->now, &m->out);
	if (l->last_dispatch_at != dispatched_at)
		timer_stop(m, PART_DISPATCH);
	timer_start(m);
	wf_show_tick(l, &m->now, &m->out);
	timer_stop(m, PART_SHOW);
	timer_start(m);
	wf_commit_flush(l, &m->now, &m->out);
	timer_stop(m, PART_FLUSH);
	timer_start(m);
	wf_outbox_flush(l, &m->now, &m->out);
	timer_stop(m, PART_SEND);
}

/* ---- load ---- */

/* Position of a queue in use, the last of its share of the document. */
static size_t
queue_position(const struct model *m, size_t i)
{
	return (i + 1) * m->queues / USED_QUEUES - 1;
}

static struct wf_spec *
spec_new(struct model *m)
{
	struct wf_spec *const s = agb_xcalloc(1, sizeof(*s));
	const bool gang = draw(m, 100) < GANG_PERCENT;

	agb_str_copy(s->queue, sizeof(s->queue),
	    m->doc
		->queues[queue_position(m, gang ? draw(m, 2) : 2 + draw(m, 2))]
		.name);
	s->submitted_ms = m->now.unix_ms;
	s->repeat_count = 1;
	agb_str_copy(s->origin, sizeof(s->origin), "10.0.0.1:1");
	s->payload = agb_xcalloc(1, PAYLOAD_BYTES);
	s->payload_len = PAYLOAD_BYTES;
	s->steps_len = 1;
	s->steps = agb_xcalloc(1, sizeof(*s->steps));
	s->steps[0].gang = gang;
	s->steps[0].count = gang ? 30 + draw(m, 131) : 1 + draw(m, 6);
	s->steps[0].need.cpu_milli =
	    gang ? 4000 + 1000 * draw(m, 12) : 1000 * (1 + draw(m, 4));
	s->steps[0].need.mem_mb = 512;
	s->steps[0].estimate_ms = 300 + draw(m, gang ? 4000 : 2000);
	return s;
}

static void
submit(struct model *m)
{
	struct wf_job *j;
	wf_job_id id;

	snprintf(id, sizeof(id), "%016" PRIx64, ++m->jobs);
	j = wf_table_put_spec(&m->table, id, ++m->revision, spec_new(m));
	timer_start(m);
	wf_leader_update_job(m->l, &m->now, j, &m->out);
	timer_stop(m, PART_SUBMIT);
}

static void
service_name(const struct model *m, size_t i, agb_id name)
{
	snprintf(name, sizeof(agb_id), "service-%zu", i % m->services);
}

static struct wf_doc *
doc_new(const struct model *m)
{
	static const struct wf_queue used[USED_QUEUES] = {
	    {.name = "train", .priority = 2, .advice_base_ms = 180},
	    {.name = "solve", .priority = 1, .advice_base_ms = 220},
	    {.name = "check", .priority = 0, .advice_base_ms = 15},
	    {.name = "render", .priority = 1, .advice_base_ms = 60},
	};
	struct wf_doc *const doc = agb_xcalloc(1, sizeof(*doc));
	struct wf_queue *q;
	size_t i;

	doc->version = 1;
	doc->queues_len = m->queues;
	doc->queues = agb_xcalloc(doc->queues_len, sizeof(*doc->queues));
	for (i = 0; i < doc->queues_len; i++)
		snprintf(doc->queues[i].name, sizeof(agb_id), "queue-%06zu", i);
	for (i = 0; i < USED_QUEUES; i++) {
		q = &doc->queues[queue_position(m, i)];
		*q = used[i];
		service_name(m, i, q->service);
		q->target_ms = 2000;
		q->max_attempts = 3;
		q->slack_factor = 2;
		q->advice_required = true;
		q->advice_per_runner_ms = i < 2 ? 4 : 0.5;
		q->ticket_valid_ms = TICKET_VALID_MS;
	}
	doc->services_len = m->services;
	doc->services = agb_xcalloc(m->services, sizeof(*doc->services));
	for (i = 0; i < m->services; i++)
		service_name(m, i, doc->services[i].name);
	wf_doc_build_index(doc);
	return doc;
}

/* Puts a new version of the document in force, with the same queues. */
static void
replace_document(struct model *m)
{
	struct wf_doc *const old = m->doc;

	m->doc = doc_new(m);
	m->doc->version = old->version + 1;
	timer_start(m);
	wf_leader_set_doc(m->l, m->doc);
	wf_doc_free(old);
	timer_stop(m, PART_DOCUMENT);
}

static void
add_peers(struct model *m, uint32_t n)
{
	struct wf_peer *p;
	uint32_t i;

	for (i = 0; i < n; i++) {
		p = agb_xcalloc(1, sizeof(*p));
		snprintf(p->name, sizeof(p->name), "entry-%" PRIu32, i);
		snprintf(p->rpc, sizeof(p->rpc), "10.0.0.%" PRIu32 ":1", i);
		snprintf(
		    p->domain, sizeof(p->domain), "zone-%" PRIu32, i % DOMAINS);
		p->relay_capacity = 250 + 125 * (i % 4);
		HASH_ADD_STR(m->table.peers, name, p);
	}
}

static void
list_runners(struct model *m)
{
	struct wf_runner_change *const items =
	    agb_xcalloc(m->runners_len + 1, sizeof(*items));
	const struct wf_registry_update update = {
	    .full = true, .items = items, .items_len = m->runners_len};
	struct wf_runner_info *r;
	uint32_t i;

	for (i = 0; i < m->runners_len; i++) {
		r = &items[i].info;
		snprintf(r->id, sizeof(r->id), "r-%" PRIu32, i);
		snprintf(r->addr, sizeof(r->addr), "10.1.0.%" PRIu32 ":1", i);
		snprintf(
		    r->domain, sizeof(r->domain), "zone-%" PRIu32, i % DOMAINS);
		service_name(m, i, r->service);
		snprintf(r->labels[0], sizeof(r->labels[0]), "rack-%" PRIu32,
		    i / RACK_RUNNERS);
		r->labels_len = 1;
		r->capacity.cpu_milli = RUNNER_CPU_MILLI;
		r->capacity.mem_mb = RUNNER_MEM_MB;
		r->started_ms = 1;
		r->remaining_ms = -1;
	}
	wf_fleet_apply_changes(m->l, &m->now, &update, &m->out);
	free(items);
}

static void
model_init(struct model *m, uint32_t peers, uint64_t seed)
{
	m->runners = agb_xcalloc(m->runners_len + 1, sizeof(*m->runners));
	m->random = seed * 2654435761U + 88172645463325252ULL;
	m->now.mono = 100 * AGB_SEC;
	m->now.unix_ms = UNIX_BASE_MS;
	agb_str_copy(m->cfg.name, sizeof(m->cfg.name), "entry-0");
	agb_str_copy(m->cfg.rpc, sizeof(m->cfg.rpc), "10.0.0.0:1");
	m->cfg.cpu_permille = LEADER_CPU_PERMILLE;
	m->cfg.status_s = 120;
	m->doc = doc_new(m);
	add_peers(m, peers);
	wf_meter_init(&m->meter, NULL, NULL);
	m->l = wf_leader_new(
	    1, &m->cfg, &m->meter, &m->table, m->doc, &m->now, &m->out);
	list_runners(m);
}

/* Runs the model until @until, with a turn of the leader after each event and
 * at least each millisecond. */
static void
run_until(struct model *m, agb_time until)
{
	struct model_event e;

	while (m->now.mono < until) {
		m->now.mono += AGB_MS;
		m->now.unix_ms++;
		while (m->heap_len > 0 && m->heap[0].at <= m->now.mono) {
			e = next_event(m);
			e.fn(m, e.tag, e.data);
			if (m->out.len > 0)
				leader_tick(m);
			apply_effects(m);
		}
		leader_tick(m);
		apply_effects(m);
	}
}

static void
model_free(struct model *m)
{
	uint32_t i;
	size_t k;
	void *data;

	for (k = 0; k < m->heap_len; k++) {
		data = m->heap[k].data;
		if (m->heap[k].fn == orders_arrive) {
			wf_order_batch_free(data);
			free(data);
		} else if (m->heap[k].fn == advice_arrives) {
			free(((struct wf_advice *)data)->items);
			free(data);
		}
	}
	free(m->heap);
	wf_result_batch_free(&m->collected);
	wf_leader_free(m->l);
	wf_table_free(&m->table);
	wf_doc_free(m->doc);
	for (i = 0; i < m->runners_len; i++) {
		free(m->runners[i].ended);
		wf_baseline_free(&m->runners[i].baseline);
	}
	free(m->runners);
}

static int
int_option(const struct arg_int *a, int otherwise)
{
	return a->count > 0 ? a->ival[0] : otherwise;
}

int
main(int argc, char **argv)
{
	struct arg_int *const runners =
	    arg_int0(NULL, "runners", "N", "runners (1100)");
	struct arg_int *const peers =
	    arg_int0(NULL, "peers", "N", "instances (147)");
	struct arg_int *const backlog =
	    arg_int0(NULL, "backlog", "N", "jobs at the beginning (2000)");
	struct arg_int *const rate =
	    arg_int0(NULL, "rate", "N", "further jobs a second (160)");
	struct arg_int *const services =
	    arg_int0(NULL, "services", "N", "services (1)");
	struct arg_int *const queues = arg_int0(
	    NULL, "queues", "N", "queues of the document, at least 4 (4)");
	struct arg_int *const documents = arg_int0(NULL, "documents", "N",
	    "new versions of the document a second, at most 100 (0)");
	struct arg_int *const seconds =
	    arg_int0(NULL, "seconds", "N", "virtual time (10)");
	struct arg_int *const seed = arg_int0(NULL, "seed", "N", "seed (1)");
	struct arg_end *const end = arg_end(4);
	void *table[] = {runners, peers, backlog, rate, services, queues,
	    documents, seconds, seed, end};
	struct model m;
	int i, left, new_docs;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "measure_leader_turn");
		return 2;
	}
	memset(&m, 0, sizeof(m));
	m.runners_len = (uint32_t)int_option(runners, 1100);
	m.services = (uint32_t)int_option(services, 1);
	m.queues = (uint32_t)int_option(queues, USED_QUEUES);
	if (m.queues < USED_QUEUES)
		m.queues = USED_QUEUES;
	model_init(&m, (uint32_t)int_option(peers, 147),
	    (uint64_t)int_option(seed, 1));
	for (i = 0; i < int_option(backlog, 2000); i++)
		submit(&m);
	left = 0;
	new_docs = 0;
	for (i = 0; i < int_option(seconds, 10) * 100; i++) {
		for (left += int_option(rate, 160); left >= 100; left -= 100)
			submit(&m);
		new_docs += int_option(documents, 0);
		if (new_docs >= 100) {
			new_docs -= 100;
			replace_document(&m);
		}
		run_until(&m, m.now.mono + 10 * AGB_MS);
	}
	print_times(&m);
	printf("jobs %" PRIu64 " queue %" PRIu32 "\n", m.jobs, m.l->queue_len);
	printf("digest %016" PRIx64 "\n", m.digest);
	model_free(&m);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}

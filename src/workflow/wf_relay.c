#include "wf_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "mem.h"
#include "wf_delta.h"

/* Results are collected for this long, so that many go in one call; those
 * that tell only of what goes as expected wait longer. */
#define RESULTS_GAP_MS 10
#define RESULTS_CALM_MS 50
/* Results of one call. */
#define RESULTS_MAX 256
/* How long the instance that accepted a job has to tell its text. */
#define TEXT_TIMEOUT_MS 200
/* Texts of jobs that are kept, in bytes; the oldest go first. */
#define TEXTS_BYTES_MAX ((size_t)8 * 1024 * 1024)

/**
 * struct relay_runner - a runner to which orders are carried
 * @runner: the leader's handle
 * @seen: list that the leader was sent last
 * @wants_seen, @taken: of the hold that is under way
 */
struct relay_runner {
	uint32_t runner;
	uint32_t life;
	agb_id id;
	agb_addr addr;
	struct wf_seen seen;
	uint32_t wants_seen;
	uint64_t taken;
	UT_hash_handle hh;
};

/**
 * struct relay_text - text of a job, which all its starts carry
 * @tag: of the call that asks for it; 0 when it is here
 * @waiting: starts that wait for it
 */
struct relay_text {
	wf_job_id job;
	uint64_t tag;
	char *text;
	size_t len;
	struct wf_order *waiting;
	size_t waiting_len;
	size_t waiting_cap;
	UT_hash_handle hh;
	UT_hash_handle by_tag;
};

/**
 * struct wf_relay - what is known of the leader's orders
 * @table: jobs that this instance knows itself
 * @texts: texts by job
 * @asked: those that have been asked for, by tag
 * @fence: highest that has been seen; orders of lower ones are not taken
 * @leader: where results go
 * @lists: numbers the lists that were sent
 * @urgent: a result waits for which the leader has something to do
 * @timed: @send_at is set for the results that wait
 */
struct wf_relay {
	struct wf_table *table;
	uint64_t fence;
	agb_addr leader;
	struct relay_runner *runners;
	struct relay_text *texts;
	struct relay_text *asked;
	size_t texts_bytes;
	uint32_t lists;
	uint64_t next_tag;
	struct wf_result_batch results;
	size_t results_cap;
	agb_time send_at;
	bool urgent;
	bool timed;
};

struct wf_relay *
wf_relay_new(struct wf_table *table)
{
	struct wf_relay *const y = agb_xcalloc(1, sizeof(*y));

	y->table = table;
	return y;
}

static void
forget_runners(struct wf_relay *y)
{
	struct relay_runner *r, *next;

	r = y->runners;
	HASH_CLEAR(hh, y->runners);
	for (; r != NULL; r = next) {
		next = r->hh.next;
		wf_seen_free(&r->seen);
		free(r);
	}
}

static void
text_free(struct relay_text *t)
{
	size_t i;

	for (i = 0; i < t->waiting_len; i++)
		free(t->waiting[i].payload);
	free(t->waiting);
	free(t->text);
	free(t);
}

void
wf_relay_free(struct wf_relay *y)
{
	struct relay_text *t, *next;

	if (y == NULL)
		return;
	forget_runners(y);
	t = y->texts;
	HASH_CLEAR(by_tag, y->asked);
	HASH_CLEAR(hh, y->texts);
	for (; t != NULL; t = next) {
		next = t->hh.next;
		text_free(t);
	}
	wf_results_free(&y->results);
	free(y);
}

static struct wf_relayed_result *
result_add(struct wf_relay *y, uint64_t number, enum wf_order_status status)
{
	struct wf_relayed_result *r;

	if (y->results.len == y->results_cap)
		y->results.items = agb_xgrow(y->results.items, &y->results_cap,
		    sizeof(*y->results.items));
	r = &y->results.items[y->results.len++];
	memset(r, 0, sizeof(*r));
	r->number = number;
	r->status = status;
	y->urgent = y->urgent || status != WF_ORDER_OK;
	return r;
}

/* Starts of an earlier leader are not sent any more. */
static void
forget_waiting(struct wf_relay *y)
{
	struct relay_text *t, *next;

	for (t = y->texts; t != NULL; t = next) {
		next = t->hh.next;
		if (t->tag == 0)
			continue;
		HASH_DELETE(by_tag, y->asked, t);
		HASH_DEL(y->texts, t);
		text_free(t);
	}
}

/* A later leader's handles mean other runners. */
static void
leader_changed(
    struct wf_relay *y, const struct wf_order_batch *o, struct wf_effects *out)
{
	wf_effects_log(out, AGB_LOG_INFO, "orders",
	    "change=leader fence=%" PRIu64 " before=%" PRIu64 " leader=%s",
	    o->fence, y->fence, o->reply_to);
	forget_runners(y);
	forget_waiting(y);
	wf_results_free(&y->results);
	y->results_cap = 0;
	y->fence = o->fence;
	agb_name_set(y->leader, sizeof(y->leader), o->reply_to);
}

static struct relay_runner *
runner_find(struct wf_relay *y, uint32_t runner)
{
	struct relay_runner *r;

	HASH_FIND(hh, y->runners, &runner, sizeof(runner), r);
	return r;
}

static void
take_card(struct wf_relay *y, const struct wf_runner_addr *c)
{
	struct relay_runner *r = runner_find(y, c->runner);

	if (r == NULL) {
		r = agb_xcalloc(1, sizeof(*r));
		r->runner = c->runner;
		HASH_ADD(hh, y->runners, runner, sizeof(r->runner), r);
	}
	/* The leader sends a card when it has no list from here. */
	wf_seen_free(&r->seen);
	r->life = c->incarnation;
	agb_name_set(r->id, sizeof(r->id), c->id);
	agb_name_set(r->addr, sizeof(r->addr), c->addr);
}

static struct relay_text *
text_find(struct wf_relay *y, const char *job)
{
	struct relay_text *t;

	HASH_FIND_STR(y->texts, job, t);
	return t;
}

static struct relay_text *
text_new(struct wf_relay *y, const char *job)
{
	struct relay_text *const t = agb_xcalloc(1, sizeof(*t));

	agb_name_set(t->job, sizeof(t->job), job);
	HASH_ADD_STR(y->texts, job, t);
	return t;
}

/* The oldest texts go first; those that starts wait for stay. */
static void
texts_trim(struct wf_relay *y)
{
	struct relay_text *t, *next;

	for (t = y->texts; t != NULL && y->texts_bytes > TEXTS_BYTES_MAX;
	     t = next) {
		next = t->hh.next;
		if (t->tag != 0)
			continue;
		HASH_DEL(y->texts, t);
		y->texts_bytes -= t->len;
		text_free(t);
	}
}

static void
text_keep(
    struct wf_relay *y, struct relay_text *t, const char *text, size_t len)
{
	t->tag = 0;
	t->text = agb_xmemdup(text, len);
	t->len = len;
	y->texts_bytes += len;
}

static void
order_send(struct wf_relay *y, const struct wf_now *now, struct wf_order *o,
    struct wf_effects *out)
{
	struct relay_runner *const r = runner_find(y, o->runner);
	struct wf_order *copy;

	if (r == NULL || r->life != o->incarnation || now->mono > o->send_by) {
		result_add(y, o->number, WF_ORDER_UNRELAYED);
		return;
	}
	if (o->kind == WF_ORDER_HOLD && !o->is_probe) {
		r->wants_seen = o->known_list;
		r->taken = o->known_seq;
	}
	copy = &wf_effects_add(out, WF_EF_ORDER)->u.order;
	*copy = *o;
	o->payload = NULL;
	copy->fence = y->fence;
	copy->sent_at = now->mono;
	agb_name_set(copy->runner_id, sizeof(copy->runner_id), r->id);
	agb_name_set(copy->addr, sizeof(copy->addr), r->addr);
}

static void
order_send_with(struct wf_relay *y, const struct wf_now *now,
    struct wf_order *o, const char *text, size_t len, struct wf_effects *out)
{
	free(o->payload);
	o->payload = agb_xmemdup(text, len);
	o->payload_len = len;
	order_send(y, now, o, out);
}

/* A start without its text waits until the instance that accepted the job has
 * told it. */
static void
text_ask(struct wf_relay *y, struct wf_order *o, struct wf_effects *out)
{
	struct relay_text *t = text_find(y, o->task.job);
	struct wf_effect *ef;

	if (t == NULL) {
		t = text_new(y, o->task.job);
		t->tag = WF_TEXT_TAG | ++y->next_tag;
		HASH_ADD(by_tag, y->asked, tag, sizeof(t->tag), t);
		ef = wf_effects_add(out, WF_EF_PAYLOAD_REQUEST);
		ef->tag = t->tag;
		ef->timeout_ms = TEXT_TIMEOUT_MS;
		agb_name_set(ef->peer, sizeof(ef->peer), o->origin);
		agb_name_set(
		    ef->u.payload.job, sizeof(ef->u.payload.job), o->task.job);
	}
	if (t->waiting_len == t->waiting_cap)
		t->waiting =
		    agb_xgrow(t->waiting, &t->waiting_cap, sizeof(*t->waiting));
	t->waiting[t->waiting_len++] = *o;
	o->payload = NULL;
}

static void
send_start(struct wf_relay *y, const struct wf_now *now, struct wf_order *o,
    struct wf_effects *out)
{
	const struct relay_text *const t = text_find(y, o->task.job);
	const struct wf_job *const j = wf_table_job(y->table, o->task.job);

	if (o->payload != NULL)
		order_send(y, now, o, out);
	else if (t != NULL && t->tag == 0)
		order_send_with(y, now, o, t->text, t->len, out);
	else if (j != NULL && j->spec_rev > 0)
		order_send_with(
		    y, now, o, j->spec.payload, j->spec.payload_len, out);
	else if (o->origin[0] != '\0')
		text_ask(y, o, out);
	else
		result_add(y, o->number, WF_ORDER_NO_PAYLOAD);
}

void
wf_relay_text(struct wf_relay *y, const struct wf_now *now, uint64_t tag,
    const struct wf_payload *text, struct wf_effects *out)
{
	struct relay_text *t;
	size_t i;

	HASH_FIND(by_tag, y->asked, &tag, sizeof(tag), t);
	if (t == NULL)
		return;
	HASH_DELETE(by_tag, y->asked, t);
	for (i = 0; i < t->waiting_len; i++) {
		if (text != NULL)
			order_send_with(
			    y, now, &t->waiting[i], text->data, text->len, out);
		else
			result_add(
			    y, t->waiting[i].number, WF_ORDER_NO_PAYLOAD);
		/* It keeps the text when its time has passed meanwhile. */
		free(t->waiting[i].payload);
		t->waiting[i].payload = NULL;
	}
	if (text == NULL) {
		HASH_DEL(y->texts, t);
		text_free(t);
		return;
	}
	free(t->waiting);
	t->waiting = NULL;
	t->waiting_len = t->waiting_cap = 0;
	text_keep(y, t, text->data, text->len);
	texts_trim(y);
}

void
wf_relay_orders(struct wf_relay *y, const struct wf_now *now, uint64_t token,
    struct wf_order_batch *orders, bool open, struct wf_effects *out)
{
	struct wf_effect *ef;
	size_t i;

	ef = wf_effects_add(out, WF_EF_ORDERS_REPLY);
	ef->tag = token;
	ef->flag = open && orders->fence >= y->fence;
	ef->clock = now->mono;
	if (!ef->flag) {
		wf_effects_log(out, AGB_LOG_WARN, "orders",
		    "change=refused orders=%zu fence=%" PRIu64
		    " fence_seen=%" PRIu64 " open=%s",
		    orders->len, orders->fence, y->fence, open ? "yes" : "no");
		return;
	}
	if (orders->fence > y->fence)
		leader_changed(y, orders, out);
	for (i = 0; i < orders->runners_len; i++)
		take_card(y, &orders->runners[i]);
	for (i = 0; i < orders->len; i++) {
		if (orders->items[i].kind == WF_ORDER_START)
			send_start(y, now, &orders->items[i], out);
		else
			order_send(y, now, &orders->items[i], out);
	}
}

/* Ends that the leader knows are left out; it has not released them yet. */
static void
put_ends(struct wf_relayed_result *x, const struct wf_order_result *res,
    uint64_t taken)
{
	size_t i;

	x->finished = agb_xcalloc(res->finished_len + 1, sizeof(*x->finished));
	for (i = 0; i < res->finished_len; i++) {
		if (res->finished[i].seq > taken)
			x->finished[x->finished_len++] = res->finished[i];
	}
}

/* Lists go as the difference from the last one, if the leader has it. */
static void
put_lists(struct wf_relay *y, struct relay_runner *r,
    struct wf_relayed_result *x, const struct wf_order_result *res)
{
	const bool has_last = r->seen.no != 0 && r->wants_seen == r->seen.no;
	const struct wf_seen *last;
	struct wf_active_run *list;
	size_t len;

	if (res->is_probe) {
		put_ends(x, res, 0);
		wf_delta_make(NULL, res->active, res->active_len, x);
		return;
	}
	put_ends(x, res, r->taken);
	last = has_last ? &r->seen : NULL;
	wf_delta_make(last, res->active, res->active_len, x);
	/* Places count in the order in which the leader puts it together. */
	(void)wf_delta_apply(&r->seen, x, &list, &len);
	x->list = ++y->lists;
	wf_seen_set(&r->seen, x->list, list, len);
	free(list);
}

void
wf_relay_result(struct wf_relay *y, const struct wf_order_result *res)
{
	struct relay_runner *r;
	struct wf_relayed_result *x;

	if (res->fence != y->fence)
		return;
	x = result_add(y, res->number, res->status);
	x->started_ms = res->started_ms;
	x->clock_ms = res->clock_ms;
	r = runner_find(y, res->runner);
	if (res->kind != WF_ORDER_HOLD || res->status != WF_ORDER_OK)
		return;
	if (r == NULL || r->life != res->incarnation) {
		/* Its lists cannot be put into words any more. */
		x->status = WF_ORDER_LOST;
		return;
	}
	put_lists(y, r, x, res);
	y->urgent = y->urgent || res->is_probe || x->finished_len > 0;
}

agb_time
wf_relay_tick(
    struct wf_relay *y, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_effect *ef;
	size_t n;

	if (y->results.len == 0)
		return AGB_TIME_MAX;
	if (!y->timed)
		y->send_at = now->mono + RESULTS_CALM_MS * AGB_MS;
	y->timed = true;
	if (y->urgent)
		y->send_at = agb_time_min(
		    y->send_at, now->mono + RESULTS_GAP_MS * AGB_MS);
	if (now->mono < y->send_at && y->results.len < RESULTS_MAX)
		return y->send_at;
	n = y->results.len < RESULTS_MAX ? y->results.len : RESULTS_MAX;
	ef = wf_effects_add(out, WF_EF_RESULTS);
	agb_name_set(ef->peer, sizeof(ef->peer), y->leader);
	ef->u.results.fence = y->fence;
	ef->u.results.items = agb_xcalloc(n, sizeof(*y->results.items));
	memcpy(ef->u.results.items, y->results.items,
	    n * sizeof(*y->results.items));
	ef->u.results.len = n;
	y->results.len -= n;
	memmove(y->results.items, y->results.items + n,
	    y->results.len * sizeof(*y->results.items));
	y->timed = false;
	y->urgent = y->results.len > 0;
	return y->results.len > 0 ? now->mono : AGB_TIME_MAX;
}

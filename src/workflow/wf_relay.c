#include "wf_relay.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "mem.h"
#include "wf_codec.h"
#include "wf_delta.h"

/* Results are collected for this long so that one call carries many of them.
 * Results that require no action by the leader wait longer than urgent ones. */
#define RESULTS_URGENT_DELAY_MS 10
#define RESULTS_DELAY_MS 50
/* Maximum number of results in one call. */
#define RESULTS_PER_CALL_MAX 256
/* A call with several results is not larger than this. A link of 2 Mbit/s needs
 * a second for it, after which calls with results are given up. */
#define RESULTS_BYTES_MAX ((size_t)256 * 1024)
/* Timeout for fetching a job's text from the instance that accepted the job. */
#define TEXT_TIMEOUT_MS 200
/* Size limit of the cached texts of jobs; the oldest are evicted first. */
#define TEXT_CACHE_BYTES_MAX ((size_t)8 * 1024 * 1024)

/**
 * struct relay_runner - a runner that orders are relayed to
 * @runner: the leader's handle of the runner
 * @incarnation: incarnation of the runner that the orders are meant for
 * @baseline: last list of active runs that was sent to the leader
 * @leader_baseline: number of the list that the leader holds, according to the
 *	current hold
 * @known_seq: number of the last finished run that the leader has processed,
 *	according to the current hold
 */
struct relay_runner {
	uint32_t runner;
	uint32_t incarnation;
	agb_id id;
	agb_addr addr;
	struct wf_baseline baseline;
	uint32_t leader_baseline;
	uint64_t known_seq;
	UT_hash_handle hh;
};

/**
 * struct cached_text - text of a job, which is the payload that every start of
 * the job carries
 * @origin: address of the instance that accepted the job
 * @used_at: when a start last asked for it
 * @tag: tag of the call that fetches it; 0 once it has arrived
 * @waiting: starts to send when it arrives
 */
struct cached_text {
	wf_job_id job;
	agb_addr origin;
	agb_time used_at;
	uint64_t tag;
	char *text;
	size_t len;
	struct wf_order *waiting;
	size_t waiting_len;
	size_t waiting_cap;
	UT_hash_handle hh;
	UT_hash_handle hh_tag;
};

/**
 * struct wf_relay - state of a relay
 * @table: jobs known to this instance
 * @fence: highest fence seen; orders with a lower fence are refused
 * @leader: address that results are sent to
 * @runners: runners that the leader has announced, by handle
 * @texts: texts of jobs, by job
 * @pending_texts: the members of @texts that are being fetched, by tag
 * @texts_bytes: total length of the texts that have arrived
 * @text_lifetime: a text that was not used for longer may be that of a job whose
 *	records are deleted, and whose id has been used again; 0 for no limit
 * @last_list_number: number of the last list sent to the leader
 * @results: results that have not been sent yet
 * @send_at: when to send @results; valid when @send_scheduled is set
 * @urgent: @results contains one that requires action by the leader
 * @oversized: number of results that no message can hold and that the log does
 *	not name yet
 */
struct wf_relay {
	struct wf_table *table;
	uint64_t fence;
	agb_addr leader;
	struct relay_runner *runners;
	struct cached_text *texts;
	struct cached_text *pending_texts;
	size_t texts_bytes;
	agb_time text_lifetime;
	uint32_t last_list_number;
	uint64_t last_tag;
	struct wf_result_batch results;
	size_t results_cap;
	agb_time send_at;
	bool urgent;
	bool send_scheduled;
	uint32_t oversized;
};

struct wf_relay *
wf_relay_new(struct wf_table *table)
{
	struct wf_relay *const relay = agb_xcalloc(1, sizeof(*relay));

	relay->table = table;
	return relay;
}

void
wf_relay_set_text_lifetime(struct wf_relay *relay, agb_time lifetime)
{
	relay->text_lifetime = lifetime;
}

static void
free_runners(struct wf_relay *relay)
{
	struct relay_runner *r, *next;

	r = relay->runners;
	HASH_CLEAR(hh, relay->runners);
	for (; r != NULL; r = next) {
		next = r->hh.next;
		wf_baseline_free(&r->baseline);
		free(r);
	}
}

static void
text_free(struct cached_text *t)
{
	size_t i;

	for (i = 0; i < t->waiting_len; i++)
		free(t->waiting[i].payload);
	free(t->waiting);
	free(t->text);
	free(t);
}

void
wf_relay_free(struct wf_relay *relay)
{
	struct cached_text *t, *next;

	if (relay == NULL)
		return;
	free_runners(relay);
	t = relay->texts;
	HASH_CLEAR(hh_tag, relay->pending_texts);
	HASH_CLEAR(hh, relay->texts);
	for (; t != NULL; t = next) {
		next = t->hh.next;
		text_free(t);
	}
	wf_result_batch_free(&relay->results);
	free(relay);
}

static struct wf_relayed_result *
result_add(struct wf_relay *relay, uint64_t number, enum wf_order_status status)
{
	struct wf_relayed_result *r;

	relay->results.items =
	    agb_xappend(relay->results.items, &relay->results.len,
		&relay->results_cap, sizeof(*relay->results.items));
	r = &relay->results.items[relay->results.len - 1];
	r->number = number;
	r->status = status;
	relay->urgent = relay->urgent || status != WF_ORDER_OK;
	return r;
}

/* Discards the starts of the previous leader that wait for a text. */
static void
free_pending_texts(struct wf_relay *relay)
{
	struct cached_text *t, *next;

	for (t = relay->texts; t != NULL; t = next) {
		next = t->hh.next;
		if (t->tag == 0)
			continue;
		HASH_DELETE(hh_tag, relay->pending_texts, t);
		HASH_DEL(relay->texts, t);
		text_free(t);
	}
}

/* Discards the state of the previous leader, because the new leader assigns its
 * own handles to runners. */
static void
switch_leader(struct wf_relay *relay, const struct wf_order_batch *o,
    struct wf_effects *out)
{
	wf_effects_log(out, AGB_LOG_INFO, "orders",
	    "change=leader fence=%" PRIu64 " before=%" PRIu64 " leader=%s",
	    o->fence, relay->fence, o->reply_to);
	free_runners(relay);
	free_pending_texts(relay);
	wf_result_batch_free(&relay->results);
	relay->results_cap = 0;
	relay->fence = o->fence;
	agb_str_copy(relay->leader, sizeof(relay->leader), o->reply_to);
}

static struct relay_runner *
runner_find(struct wf_relay *relay, uint32_t runner)
{
	struct relay_runner *r;

	HASH_FIND(hh, relay->runners, &runner, sizeof(runner), r);
	return r;
}

static void
update_runner(struct wf_relay *relay, const struct wf_runner_addr *c)
{
	struct relay_runner *r = runner_find(relay, c->runner);

	if (r == NULL) {
		r = agb_xcalloc(1, sizeof(*r));
		r->runner = c->runner;
		HASH_ADD(hh, relay->runners, runner, sizeof(r->runner), r);
	}
	/* The leader announces a runner when it holds no list of the runner
	 * from this relay. */
	wf_baseline_free(&r->baseline);
	r->incarnation = c->incarnation;
	agb_str_copy(r->id, sizeof(r->id), c->id);
	agb_str_copy(r->addr, sizeof(r->addr), c->addr);
}

static struct cached_text *
text_find(struct wf_relay *relay, const char *job)
{
	struct cached_text *t;

	HASH_FIND_STR(relay->texts, job, t);
	return t;
}

static struct cached_text *
text_new(struct wf_relay *relay, const char *job, const char *origin)
{
	struct cached_text *const t = agb_xcalloc(1, sizeof(*t));

	agb_str_copy(t->job, sizeof(t->job), job);
	agb_str_copy(t->origin, sizeof(t->origin), origin);
	HASH_ADD_STR(relay->texts, job, t);
	return t;
}

static void
text_drop(struct wf_relay *relay, struct cached_text *t)
{
	HASH_DEL(relay->texts, t);
	relay->texts_bytes -= t->len;
	text_free(t);
}

/* Evicts the oldest texts while the cache is too large, except those that are
 * still being fetched. */
static void
evict_texts(struct wf_relay *relay)
{
	struct cached_text *t, *next;

	for (t = relay->texts;
	     t != NULL && relay->texts_bytes > TEXT_CACHE_BYTES_MAX; t = next) {
		next = t->hh.next;
		if (t->tag == 0)
			text_drop(relay, t);
	}
}

static void
text_store(
    struct wf_relay *relay, struct cached_text *t, const char *text, size_t len)
{
	t->tag = 0;
	t->text = agb_xmemdup(text, len);
	t->len = len;
	relay->texts_bytes += len;
}

static void
send_order(struct wf_relay *relay, const struct wf_now *now, struct wf_order *o,
    struct wf_effects *out)
{
	struct relay_runner *const r = runner_find(relay, o->runner);
	struct wf_order *copy;

	if (r == NULL || r->incarnation != o->incarnation ||
	    now->mono > o->send_by) {
		result_add(relay, o->number, WF_ORDER_UNRELAYED);
		return;
	}
	if (o->kind == WF_ORDER_HOLD && !o->is_probe) {
		r->leader_baseline = o->known_list;
		r->known_seq = o->known_seq;
	}
	copy = &wf_effects_add(out, WF_EF_ORDER)->u.order;
	*copy = *o;
	o->payload = NULL;
	copy->fence = relay->fence;
	copy->sent_at = now->mono;
	agb_str_copy(copy->runner_id, sizeof(copy->runner_id), r->id);
	agb_str_copy(copy->addr, sizeof(copy->addr), r->addr);
}

static void
send_order_with_text(struct wf_relay *relay, const struct wf_now *now,
    struct wf_order *o, const char *text, size_t len, struct wf_effects *out)
{
	free(o->payload);
	o->payload = agb_xmemdup(text, len);
	o->payload_len = len;
	send_order(relay, now, o, out);
}

/* Queues a start until its text has been fetched from the instance that
 * accepted the job. */
static void
request_text(struct wf_relay *relay, const struct wf_now *now,
    struct wf_order *o, struct wf_effects *out)
{
	struct cached_text *t = text_find(relay, o->task.job);
	struct wf_effect *ef;

	/* The text of a former job with the same id is being fetched. */
	if (t != NULL && strcmp(t->origin, o->origin) != 0) {
		result_add(relay, o->number, WF_ORDER_NO_PAYLOAD);
		return;
	}
	if (t == NULL) {
		t = text_new(relay, o->task.job, o->origin);
		t->tag = WF_PAYLOAD_TAG | ++relay->last_tag;
		HASH_ADD(hh_tag, relay->pending_texts, tag, sizeof(t->tag), t);
		ef = wf_effects_add(out, WF_EF_PAYLOAD_REQUEST);
		ef->tag = t->tag;
		ef->timeout_ms = TEXT_TIMEOUT_MS;
		agb_str_copy(ef->peer, sizeof(ef->peer), o->origin);
		agb_str_copy(
		    ef->u.payload.job, sizeof(ef->u.payload.job), o->task.job);
	}
	t->used_at = now->mono;
	if (t->waiting_len == t->waiting_cap)
		t->waiting =
		    agb_xgrow(t->waiting, &t->waiting_cap, sizeof(*t->waiting));
	t->waiting[t->waiting_len++] = *o;
	o->payload = NULL;
}

/* Finds a text that has arrived. The id of a job may be that of a former one,
 * whose records are deleted a while after its end; it may have been accepted by
 * another instance. */
static const struct cached_text *
text_use(
    struct wf_relay *relay, const struct wf_now *now, const struct wf_order *o)
{
	struct cached_text *const t = text_find(relay, o->task.job);

	if (t == NULL || t->tag != 0)
		return NULL;
	if (strcmp(t->origin, o->origin) != 0 ||
	    (relay->text_lifetime > 0 &&
		now->mono - t->used_at > relay->text_lifetime)) {
		text_drop(relay, t);
		return NULL;
	}
	t->used_at = now->mono;
	return t;
}

/* Whether the local copy has the submission of the job of a start. */
static bool
has_submission(const struct wf_job *j, const struct wf_order *o)
{
	return j != NULL && j->spec_rev > 0 &&
	    strcmp(j->spec.origin, o->origin) == 0;
}

static void
send_start(struct wf_relay *relay, const struct wf_now *now, struct wf_order *o,
    struct wf_effects *out)
{
	const struct wf_job *const j = wf_table_job(relay->table, o->task.job);
	const struct cached_text *t;

	if (o->payload != NULL) {
		send_order(relay, now, o, out);
		return;
	}
	t = text_use(relay, now, o);
	if (t != NULL)
		send_order_with_text(relay, now, o, t->text, t->len, out);
	else if (has_submission(j, o))
		send_order_with_text(
		    relay, now, o, j->spec.payload, j->spec.payload_len, out);
	else if (o->origin[0] != '\0')
		request_text(relay, now, o, out);
	else
		result_add(relay, o->number, WF_ORDER_NO_PAYLOAD);
}

void
wf_relay_handle_text(struct wf_relay *relay, const struct wf_now *now,
    uint64_t tag, const struct wf_payload *text, struct wf_effects *out)
{
	struct cached_text *t;
	size_t i;

	HASH_FIND(hh_tag, relay->pending_texts, &tag, sizeof(tag), t);
	if (t == NULL)
		return;
	HASH_DELETE(hh_tag, relay->pending_texts, t);
	for (i = 0; i < t->waiting_len; i++) {
		if (text != NULL)
			send_order_with_text(relay, now, &t->waiting[i],
			    text->data, text->len, out);
		else
			result_add(
			    relay, t->waiting[i].number, WF_ORDER_NO_PAYLOAD);
		/* The text is still owned by the order when the order's
		 * deadline has passed and it was not sent. */
		free(t->waiting[i].payload);
		t->waiting[i].payload = NULL;
	}
	if (text == NULL) {
		HASH_DEL(relay->texts, t);
		text_free(t);
		return;
	}
	free(t->waiting);
	t->waiting = NULL;
	t->waiting_len = t->waiting_cap = 0;
	text_store(relay, t, text->data, text->len);
	evict_texts(relay);
}

void
wf_relay_handle_orders(struct wf_relay *relay, const struct wf_now *now,
    uint64_t token, struct wf_order_batch *orders, bool open,
    struct wf_effects *out)
{
	struct wf_effect *ef;
	size_t i;

	ef = wf_effects_add(out, WF_EF_ORDERS_REPLY);
	ef->tag = token;
	ef->flag = open && orders->fence >= relay->fence;
	ef->clock = now->mono;
	if (!ef->flag) {
		wf_effects_log(out, AGB_LOG_WARN, "orders",
		    "change=refused orders=%zu fence=%" PRIu64
		    " fence_seen=%" PRIu64 " open=%s",
		    orders->len, orders->fence, relay->fence,
		    open ? "yes" : "no");
		return;
	}
	if (orders->fence > relay->fence)
		switch_leader(relay, orders, out);
	for (i = 0; i < orders->runners_len; i++)
		update_runner(relay, &orders->runners[i]);
	for (i = 0; i < orders->len; i++) {
		if (orders->items[i].kind == WF_ORDER_START)
			send_start(relay, now, &orders->items[i], out);
		else
			send_order(relay, now, &orders->items[i], out);
	}
}

/* The runner lists finished runs until the leader acknowledges them. Those that
 * the leader has already processed are left out, except from a list of the
 * maximum length: the leader recognizes by its length that ends may be missing.
 */
static void
encode_ends(struct wf_relayed_result *x, const struct wf_order_result *res,
    uint64_t known_seq)
{
	const bool full = res->finished_len >= WF_ENDS_PER_LIST;
	size_t i;

	x->finished = agb_xcalloc(res->finished_len + 1, sizeof(*x->finished));
	for (i = 0; i < res->finished_len; i++) {
		if (full || res->finished[i].seq > known_seq)
			x->finished[x->finished_len++] = res->finished[i];
	}
}

/* The list of active runs is sent as a delta from the last one if the leader
 * holds that, and in full otherwise. */
static void
encode_lists(struct wf_relay *relay, struct relay_runner *r,
    struct wf_relayed_result *x, const struct wf_order_result *res)
{
	const bool leader_has_baseline =
	    r->baseline.number != 0 && r->leader_baseline == r->baseline.number;
	const struct wf_baseline *baseline;
	struct wf_active_run *list;
	size_t len;

	if (res->is_probe) {
		encode_ends(x, res, 0);
		wf_delta_compute(NULL, res->active, res->active_len, x);
		return;
	}
	encode_ends(x, res, r->known_seq);
	baseline = leader_has_baseline ? &r->baseline : NULL;
	wf_delta_compute(baseline, res->active, res->active_len, x);
	/* Indices of the next delta refer to the list as the leader rebuilds
	 * it, which differs in order from the runner's list. */
	(void)wf_delta_apply(&r->baseline, x, &list, &len);
	x->list = ++relay->last_list_number;
	wf_baseline_set(&r->baseline, x->list, list, len);
	free(list);
}

/* Replaces the lists of a result that no message can hold by a lost answer: the
 * leader learns that the order was sent, and that the runs are unknown. */
static void
drop_oversized_lists(struct wf_relay *relay, struct wf_relayed_result *x)
{
	if (wf_codec_result_size(x) > 0)
		return;
	relay->oversized++;
	relay->urgent = true;
	x->status = WF_ORDER_LOST;
	x->list = x->base_list = 0;
	x->kept_len = x->checkpoints_len = 0;
	x->new_runs_len = x->finished_len = 0;
}

void
wf_relay_handle_result(
    struct wf_relay *relay, const struct wf_order_result *res)
{
	struct relay_runner *r;
	struct wf_relayed_result *x;

	if (res->fence != relay->fence)
		return;
	x = result_add(relay, res->number, res->status);
	x->started_ms = res->started_ms;
	x->clock_ms = res->clock_ms;
	r = runner_find(relay, res->runner);
	if (res->kind != WF_ORDER_HOLD || res->status != WF_ORDER_OK)
		return;
	if (r == NULL || r->incarnation != res->incarnation) {
		/* The runner is not known or was announced with another
		 * incarnation meanwhile, so its lists cannot be encoded. */
		x->status = WF_ORDER_LOST;
		return;
	}
	encode_lists(relay, r, x, res);
	drop_oversized_lists(relay, x);
	relay->urgent = relay->urgent || res->is_probe || x->finished_len > 0;
}

/* Number of the next results that one call holds, at least 1. */
static size_t
next_call_len(const struct wf_relay *relay)
{
	size_t n, bytes = 0;

	for (n = 0; n < relay->results.len && n < RESULTS_PER_CALL_MAX; n++) {
		bytes += wf_codec_result_size(&relay->results.items[n]);
		if (n > 0 && bytes > RESULTS_BYTES_MAX)
			break;
	}
	return n;
}

agb_time
wf_relay_tick(
    struct wf_relay *relay, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_effect *ef;
	size_t n;

	if (relay->results.len == 0)
		return AGB_TIME_MAX;
	if (!relay->send_scheduled)
		relay->send_at = now->mono + RESULTS_DELAY_MS * AGB_MS;
	relay->send_scheduled = true;
	if (relay->urgent)
		relay->send_at = agb_time_min(relay->send_at,
		    now->mono + RESULTS_URGENT_DELAY_MS * AGB_MS);
	if (now->mono < relay->send_at &&
	    relay->results.len < RESULTS_PER_CALL_MAX)
		return relay->send_at;
	if (relay->oversized > 0)
		wf_effects_log(out, AGB_LOG_ERROR, "orders",
		    "change=result-too-large results=%" PRIu32,
		    relay->oversized);
	relay->oversized = 0;
	n = next_call_len(relay);
	ef = wf_effects_add(out, WF_EF_RESULTS);
	agb_str_copy(ef->peer, sizeof(ef->peer), relay->leader);
	ef->u.results.fence = relay->fence;
	ef->u.results.items = agb_xcalloc(n, sizeof(*relay->results.items));
	memcpy(ef->u.results.items, relay->results.items,
	    n * sizeof(*relay->results.items));
	ef->u.results.len = n;
	relay->results.len -= n;
	memmove(relay->results.items, relay->results.items + n,
	    relay->results.len * sizeof(*relay->results.items));
	relay->send_scheduled = false;
	relay->urgent = relay->results.len > 0;
	return relay->results.len > 0 ? now->mono : AGB_TIME_MAX;
}

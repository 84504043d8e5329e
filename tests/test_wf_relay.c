/**
 * DOC: test_wf_relay
 *
 * Relaying of a leader's orders through other instances: delta encoding of run
 * lists, acceptance of orders by a relay, decoding of order messages and of
 * replies to writes, and clusters with failing relays and leaders in simulated
 * time.
 */

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop.h"
#include "mem.h"
#include "rpc.h"
#include "sim_fixture.h"
#include "wf_delta.h"
#include "wf_relay.h"
#include "wf_rpc.h"

/* An instance leads by then. */
#define START_MS 2000

#define JOB "00000000000000aa"
#define FAR_MS 100000

static const struct sim_options default_options = {
    .seed = 1, .cores = 5, .runners = 12, .cpu_milli = 16000, .relays = true};

/* ---- delta encoding of run lists ---- */

/* Parses a run, such as "a5s": a letter for the task, a digit for the progress,
 * and the checkpoint, which may be empty. */
static struct wf_active_run
parse_run(const char *name)
{
	struct wf_active_run a;

	memset(&a, 0, sizeof(a));
	agb_str_copy(a.task.job, sizeof(a.task.job), JOB);
	a.task.index = (uint32_t)name[0];
	a.run = 1;
	a.percent = (uint32_t)(name[1] - '0');
	agb_str_copy(a.checkpoint, sizeof(a.checkpoint), name + 2);
	return a;
}

/* Parses a list of runs separated by spaces. */
static size_t
parse_runs(const char *text, struct wf_active_run *out)
{
	char copy[128], *word, *rest;
	size_t n = 0;

	agb_str_copy(copy, sizeof(copy), text);
	for (word = strtok_r(copy, " ", &rest); word != NULL;
	     word = strtok_r(NULL, " ", &rest))
		out[n++] = parse_run(word);
	return n;
}

static bool
same_run(const struct wf_active_run *a, const struct wf_active_run *b)
{
	return wf_task_ref_same(&a->task, &b->task) && a->run == b->run &&
	    a->percent == b->percent && a->load == b->load &&
	    strcmp(a->checkpoint, b->checkpoint) == 0;
}

static bool
same_runs(const struct wf_active_run *a, size_t a_len,
    const struct wf_active_run *b, size_t b_len)
{
	size_t i, k;

	for (i = 0; i < a_len; i++) {
		for (k = 0; k < b_len; k++) {
			if (same_run(&a[i], &b[k]))
				break;
		}
		if (k == b_len)
			return false;
	}
	return a_len == b_len;
}

/* A delta must restore the exact list of runs, and must contain in full only
 * the new runs and the new checkpoints. */
static void
deltas_restore_lists(void)
{
	static const struct {
		const char *before, *after;
		size_t fresh, saved;
	} cases[] = {
	    {"", "", 0, 0},
	    {"", "a0 b0", 2, 0},
	    {"a0 b0", "a5 b7", 0, 0},
	    {"a0 b0 c0", "c1 a1", 0, 0},
	    {"a0 b0", "x0 b1 y0", 2, 0},
	    {"a0s b0s", "b1t a1s", 0, 1},
	    {"a0", "", 0, 0},
	};
	struct wf_active_run before[8], after[8], *list;
	struct wf_relayed_result d;
	struct wf_baseline baseline;
	size_t i, n, len;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&baseline, 0, sizeof(baseline));
		memset(&d, 0, sizeof(d));
		wf_baseline_set(
		    &baseline, 7, before, parse_runs(cases[i].before, before));
		n = parse_runs(cases[i].after, after);
		wf_delta_compute(&baseline, after, n, &d);
		CU_ASSERT_EQUAL(d.new_runs_len, cases[i].fresh);
		CU_ASSERT_EQUAL(d.checkpoints_len, cases[i].saved);
		CU_ASSERT(wf_delta_apply(&baseline, &d, &list, &len));
		CU_ASSERT(same_runs(list, len, after, n));
		free(list);
		free(d.kept);
		free(d.checkpoints);
		free(d.new_runs);
		wf_baseline_free(&baseline);
	}
}

/* A delta that refers to another baseline than the receiver holds must be
 * rejected. Otherwise runs that are still active would count as ended. */
static void
deltas_of_other_baselines_are_rejected(void)
{
	static const struct {
		uint32_t has, base, at;
		bool ok;
	} cases[] = {
	    {7, 7, 1, true},
	    {7, 6, 1, false},
	    {0, 7, 0, false},
	    {7, 7, 2, false},
	    {7, 0, 0, false},
	};
	struct wf_active_run before[2], *list;
	struct wf_kept_run kept;
	struct wf_relayed_result d;
	struct wf_baseline baseline;
	size_t i, len;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&baseline, 0, sizeof(baseline));
		memset(&d, 0, sizeof(d));
		memset(&kept, 0, sizeof(kept));
		wf_baseline_set(&baseline, cases[i].has, before,
		    parse_runs("a0 b0", before));
		kept.index = cases[i].at;
		d.base_list = cases[i].base;
		d.kept = &kept;
		d.kept_len = 1;
		CU_ASSERT_EQUAL(
		    wf_delta_apply(&baseline, &d, &list, &len), cases[i].ok);
		free(list);
		wf_baseline_free(&baseline);
	}
}

/* ---- a single relay ---- */

/* Delivers a stop order from the leader with @fence to a relay at time @at.
 * Return: whether the relay sent it to the runner. */
static bool
deliver_stop(struct wf_relay *relay, uint64_t fence, agb_time at,
    agb_time not_after, bool open, bool *taken)
{
	const struct wf_now now = {.mono = at};
	struct wf_runner_addr card = {
	    .runner = 3, .incarnation = 1, .id = "r-3", .addr = "a"};
	struct wf_order order = {
	    .kind = WF_ORDER_STOP,
	    .number = 1,
	    .send_by = not_after,
	    .runner = 3,
	    .incarnation = 1,
	};
	struct wf_order_batch orders = {
	    .fence = fence,
	    .reply_to = "leader",
	    .runners = &card,
	    .runners_len = 1,
	    .items = &order,
	    .len = 1,
	};
	struct wf_effects out = {0};
	bool sent = false;
	size_t i;

	wf_relay_handle_orders(relay, &now, 1, &orders, open, &out);
	for (i = 0; i < out.len; i++) {
		if (out.items[i].type == WF_EF_ORDERS_REPLY)
			*taken = out.items[i].flag;
		sent = sent || out.items[i].type == WF_EF_ORDER;
	}
	wf_effects_free(&out);
	return sent;
}

/* A relay must not send stale orders. During a change of leaders it receives
 * orders from both; after a pause it holds orders whose deadline has passed; and
 * while it shuts down it refuses all orders. */
static void
stale_orders_are_rejected(void)
{
	static const struct {
		uint64_t fence;
		agb_time at, not_after;
		bool open, taken, sent;
	} cases[] = {
	    {5, 100, 200, true, true, true},
	    {4, 100, 200, true, false, false},
	    {5, 200, 200, true, true, true},
	    {5, 201, 200, true, true, false},
	    {6, 100, 200, true, true, true},
	    {5, 100, 200, true, false, false},
	    {6, 100, 200, false, false, false},
	};
	struct wf_table table = {0};
	struct wf_relay *const relay = wf_relay_new(&table);
	bool taken = false;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(deliver_stop(relay, cases[i].fence, cases[i].at,
				    cases[i].not_after, cases[i].open, &taken),
		    cases[i].sent);
		CU_ASSERT_EQUAL(taken, cases[i].taken);
	}
	wf_relay_free(relay);
}

/* Relays a hold by which the leader has processed the ends up to @known_seq, and
 * the runner's reply, which lists the ends from 1 to @ends.
 * Return: number of ends that the leader gets. */
static size_t
relay_ends(struct wf_relay *relay, uint64_t known_seq, size_t ends)
{
	static struct wf_finished_run finished[WF_ENDS_PER_LIST];
	const struct wf_now now = {.mono = AGB_SEC};
	struct wf_runner_addr card = {
	    .runner = 3, .incarnation = 1, .id = "r-3", .addr = "a"};
	struct wf_order order = {
	    .kind = WF_ORDER_HOLD,
	    .number = 1,
	    .send_by = FAR_MS * AGB_MS,
	    .runner = 3,
	    .incarnation = 1,
	    .known_seq = known_seq,
	};
	struct wf_order_batch orders = {
	    .fence = 5,
	    .reply_to = "leader",
	    .runners = &card,
	    .runners_len = 1,
	    .items = &order,
	    .len = 1,
	};
	struct wf_order_result res = {.kind = WF_ORDER_HOLD,
	    .status = WF_ORDER_OK,
	    .number = 1,
	    .fence = 5,
	    .runner = 3,
	    .incarnation = 1,
	    .finished = finished,
	    .finished_len = ends};
	const struct wf_now later = {.mono = 2 * AGB_SEC};
	struct wf_effects out = {0};
	size_t i, n;

	for (i = 0; i < ends; i++)
		finished[i].seq = i + 1;
	wf_relay_handle_orders(relay, &now, 1, &orders, true, &out);
	wf_relay_handle_result(relay, &res);
	(void)wf_relay_tick(relay, &now, &out);
	(void)wf_relay_tick(relay, &later, &out);
	n = SIZE_MAX;
	for (i = 0; i < out.len; i++) {
		if (out.items[i].type == WF_EF_RESULTS)
			n = out.items[i].u.results.items[0].finished_len;
	}
	wf_effects_free(&out);
	return n;
}

/* Delivers a start without its text, which may be sent until @send_by, to a relay
 * at time 100, and the text at @at; a leader with a higher fence may send an order
 * before that.
 * Return: the fence of the start that the relay sent to the runner, or 0. */
static uint64_t
deliver_start_and_text(struct wf_relay *relay, agb_time send_by, agb_time at,
    bool next_leader, bool found)
{
	const struct wf_payload text = {.data = "x", .len = 1};
	struct wf_now now = {.mono = 100};
	struct wf_runner_addr card = {
	    .runner = 3, .incarnation = 1, .id = "r-3", .addr = "a"};
	struct wf_order order = {
	    .kind = WF_ORDER_START,
	    .task.job = JOB,
	    .number = 1,
	    .send_by = send_by,
	    .runner = 3,
	    .incarnation = 1,
	    .origin = "b",
	};
	struct wf_order_batch orders = {
	    .fence = 5,
	    .reply_to = "leader",
	    .runners = &card,
	    .runners_len = 1,
	    .items = &order,
	    .len = 1,
	};
	struct wf_effects out = {0};
	uint64_t tag = 0, fence = 0;
	bool taken;
	size_t i;

	wf_relay_handle_orders(relay, &now, 1, &orders, true, &out);
	for (i = 0; i < out.len; i++) {
		CU_ASSERT_NOT_EQUAL(out.items[i].type, WF_EF_ORDER);
		if (out.items[i].type == WF_EF_PAYLOAD_REQUEST)
			tag = out.items[i].tag;
	}
	wf_effects_free(&out);
	CU_ASSERT_NOT_EQUAL(tag, 0);
	if (next_leader)
		(void)deliver_stop(relay, 6, at, FAR_MS, true, &taken);
	now.mono = at;
	wf_relay_handle_text(relay, &now, tag, found ? &text : NULL, &out);
	for (i = 0; i < out.len; i++) {
		if (out.items[i].type == WF_EF_ORDER)
			fence = out.items[i].u.order.fence;
	}
	wf_effects_free(&out);
	return fence;
}

/* Delivers a start without its text at a time, and answers the call for the text,
 * if the relay makes one.
 * Return: the first byte of the text with which the relay sent it; 0 when it did
 * not. */
static char
text_of_start(
    struct wf_relay *relay, agb_time at, const char *origin, const char *text)
{
	const struct wf_payload answer = {
	    .data = (char *)(uintptr_t)text, .len = 1};
	const struct wf_now now = {.mono = at};
	struct wf_runner_addr card = {
	    .runner = 3, .incarnation = 1, .id = "r-3", .addr = "a"};
	struct wf_order order = {
	    .kind = WF_ORDER_START,
	    .task.job = JOB,
	    .number = 1,
	    .send_by = at + 100,
	    .runner = 3,
	    .incarnation = 1,
	};
	struct wf_order_batch orders = {
	    .fence = 5,
	    .reply_to = "leader",
	    .runners = &card,
	    .runners_len = 1,
	    .items = &order,
	    .len = 1,
	};
	struct wf_effects out = {0};
	char sent = '\0';
	size_t i;

	agb_str_copy(order.origin, sizeof(order.origin), origin);
	wf_relay_handle_orders(relay, &now, 1, &orders, true, &out);
	for (i = 0; i < out.len; i++) {
		if (out.items[i].type == WF_EF_PAYLOAD_REQUEST)
			wf_relay_handle_text(
			    relay, &now, out.items[i].tag, &answer, &out);
		else if (out.items[i].type == WF_EF_ORDER)
			sent = out.items[i].u.order.payload[0];
	}
	wf_effects_free(&out);
	return sent;
}

/* Guards against a start with the text of a former job, when its id is used again
 * after its records were deleted: the runner would run what nobody has asked for
 * (users' rule UNASKED). */
static void
texts_of_former_jobs_are_not_used(void)
{
	static const struct {
		agb_time after;
		const char *origin;
		bool table; /* the former one is in the local copy */
		char sent;
	} cases[] = {
	    {100 * AGB_SEC, "b", false, 'x'},
	    {121 * AGB_SEC, "b", false, 'y'},
	    {1 * AGB_SEC, "c", false, 'y'},
	    {1 * AGB_SEC, "b", true, 'z'},
	    {1 * AGB_SEC, "c", true, 'y'},
	};
	struct wf_table table = {0};
	struct wf_relay *relay;
	struct wf_spec *spec;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		relay = wf_relay_new(&table);
		wf_relay_set_text_lifetime(relay, 120 * AGB_SEC);
		if (cases[i].table) {
			spec = agb_xcalloc(1, sizeof(*spec));
			spec->payload = agb_xstrdup("z");
			spec->payload_len = 1;
			agb_str_copy(spec->origin, sizeof(spec->origin), "b");
			(void)wf_table_put_spec(&table, JOB, 7, spec);
		} else {
			CU_ASSERT_EQUAL(
			    text_of_start(relay, AGB_SEC, "b", "x"), 'x');
		}
		CU_ASSERT_EQUAL(text_of_start(relay, AGB_SEC + cases[i].after,
				    cases[i].origin, "y"),
		    cases[i].sent);
		wf_relay_free(relay);
		wf_table_free(&table);
		memset(&table, 0, sizeof(table));
	}
}

/* Guards against a start that a relay sends after its deadline, or under the
 * fence of the next leader, since it waited for the text of the job. */
static void
starts_with_late_texts_are_rejected(void)
{
	static const struct {
		agb_time send_by, at;
		bool next_leader, found;
		uint64_t fence;
	} cases[] = {
	    {200, 150, false, true, 5},
	    {200, 200, false, true, 5},
	    {200, 201, false, true, 0},
	    {200, 150, false, false, 0},
	    {200, 150, true, true, 0},
	};
	struct wf_table table = {0};
	struct wf_relay *relay;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		relay = wf_relay_new(&table);
		CU_ASSERT_EQUAL(
		    deliver_start_and_text(relay, cases[i].send_by, cases[i].at,
			cases[i].next_leader, cases[i].found),
		    cases[i].fence);
		wf_relay_free(relay);
	}
}

/* A relay must not shorten a list of ends that has the maximum length. The
 * leader would take the list for complete and start again the tasks whose ends
 * the runner could not list. */
static void
full_lists_of_ends_stay_full(void)
{
	static const struct {
		uint64_t known_seq;
		size_t ends, relayed;
	} cases[] = {
	    {0, 2, 2},
	    {1, 2, 1},
	    {WF_ENDS_PER_LIST - 1, WF_ENDS_PER_LIST - 1, 0},
	    {WF_ENDS_PER_LIST, WF_ENDS_PER_LIST, WF_ENDS_PER_LIST},
	    {1, WF_ENDS_PER_LIST, WF_ENDS_PER_LIST},
	};
	struct wf_table table = {0};
	struct wf_relay *relay;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		relay = wf_relay_new(&table);
		CU_ASSERT_EQUAL(
		    relay_ends(relay, cases[i].known_seq, cases[i].ends),
		    cases[i].relayed);
		wf_relay_free(relay);
	}
}

/* ---- order messages ---- */

/* RPC endpoint under test, with counts of what it and its client received. */
struct endpoint {
	struct wf_rpc *rpc;
	size_t orders;
	int calls;
	int logged;
	int replies;
};

static void
on_event(void *arg, struct wf_event *ev)
{
	struct wf_effect answer = {.type = WF_EF_ORDERS_REPLY, .tag = ev->tag};
	struct endpoint *const ep = arg;

	ep->orders += ev->u.orders->len;
	ep->calls++;
	(void)wf_rpc_perform(ep->rpc, &answer);
}

static void
on_log(void *arg, enum agb_log_level level, const char *event, const char *line)
{
	struct endpoint *const ep = arg;

	ep->logged += strcmp(line, "change=malformed-order") == 0;
}

static void
on_reply(void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res)
{
	struct endpoint *const ep = arg;

	ep->replies++;
	if (ok)
		xdr_free((xdrproc_t)xdr_agb_x_res, (char *)res);
}

/* An order of an unknown kind in a message must be logged and dropped. It must
 * not be read as an order of another kind, and the other orders of the call are
 * accepted. */
static void
unknown_order_kinds_are_rejected(void)
{
	static const struct wf_rpc_cbs cbs = {.event = on_event, .log = on_log};
	static const struct agb_rpc_cbs client_cbs = {.reply = on_reply};
	agb_addr self = "127.0.0.1:1";
	struct wf_effect allow = {
	    .type = WF_EF_ALLOW_PEERS, .peers = &self, .peers_len = 1};
	agb_x_args args = {.proc = AGB_X_ORDERS};
	struct endpoint ep = {0};
	struct agb_rpc *client;
	agb_x_order orders[2];
	agb_addr addr;
	uv_loop_t loop;
	uv_tcp_t tcp;

	uv_loop_init(&loop);
	loop_bind_closed_port(&loop, &tcp, addr);
	uv_close((uv_handle_t *)&tcp, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	ep.rpc = wf_rpc_new(&loop, addr, &cbs, &ep);
	CU_ASSERT_PTR_NOT_NULL_FATAL(ep.rpc);
	(void)wf_rpc_perform(ep.rpc, &allow);
	client = agb_rpc_new(&loop, "127.0.0.1:0", &client_cbs, &ep);
	memset(orders, 0, sizeof(orders));
	orders[0].body.kind = AGB_X_HOLD;
	orders[1].body.kind = (agb_x_order_kind)9;
	orders[1].body.agb_x_order_body_u.run.checkpoint = "";
	orders[1].body.agb_x_order_body_u.run.ticket = "";
	orders[1].body.agb_x_order_body_u.run.origin = "";
	args.agb_x_args_u.orders.reply_to = "x";
	args.agb_x_args_u.orders.orders.orders_len = 2;
	args.agb_x_args_u.orders.orders.orders_val = orders;
	agb_rpc_call(client, 1, addr, &args, 2000);
	loop_until(&loop, &ep.replies, 1);
	CU_ASSERT_EQUAL(ep.calls, 1);
	CU_ASSERT_EQUAL(ep.orders, 1);
	CU_ASSERT_EQUAL(ep.logged, 1);
	agb_rpc_free(client);
	wf_rpc_free(ep.rpc);
	loop_close(&loop);
}

/* Results as they were received by an endpoint. */
struct results {
	int calls;
	int replies;
	size_t len;
	enum wf_order_status status[8];
};

static void
on_results(void *arg, struct wf_event *ev)
{
	struct results *const r = arg;
	size_t i;

	r->calls++;
	CU_ASSERT_EQUAL_FATAL(ev->type, WF_EV_RESULTS);
	r->len = ev->u.results->len;
	for (i = 0; i < r->len && i < 8; i++)
		r->status[i] = ev->u.results->items[i].status;
}

static void
on_results_reply(void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res)
{
	struct results *const r = arg;

	r->replies++;
	if (ok)
		xdr_free((xdrproc_t)xdr_agb_x_res, (char *)res);
}

static void
ignore_log(
    void *arg, enum agb_log_level level, const char *event, const char *line)
{
}

/* Guards against a result with an unknown status or kind of end, which would be
 * read past the end of a table, or would tell that an order was not carried
 * out. */
static void
malformed_results_are_lost(void)
{
	static const struct wf_rpc_cbs cbs = {
	    .event = on_results, .log = ignore_log};
	static const struct agb_rpc_cbs client_cbs = {
	    .reply = on_results_reply};
	static char task[] = "00000000000000aa";
	agb_addr self = "127.0.0.1:1";
	struct wf_effect allow = {
	    .type = WF_EF_ALLOW_PEERS, .peers = &self, .peers_len = 1};
	agb_x_args args = {.proc = AGB_X_RESULTS};
	agb_x_result items[4];
	agb_x_finished_run end;
	struct results r = {0};
	struct agb_rpc *client;
	struct wf_rpc *rpc;
	agb_addr addr;
	uv_loop_t loop;
	uv_tcp_t tcp;
	size_t i;

	uv_loop_init(&loop);
	loop_bind_closed_port(&loop, &tcp, addr);
	uv_close((uv_handle_t *)&tcp, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	rpc = wf_rpc_new(&loop, addr, &cbs, &r);
	CU_ASSERT_PTR_NOT_NULL_FATAL(rpc);
	(void)wf_rpc_perform(rpc, &allow);
	client = agb_rpc_new(&loop, "127.0.0.1:0", &client_cbs, &r);
	memset(items, 0, sizeof(items));
	memset(&end, 0, sizeof(end));
	memcpy(end.task.job, task, sizeof(end.task.job));
	end.checkpoint = "";
	end.end = 77;
	items[0].status = WF_ORDER_OK;
	items[1].status = WF_ORDER_NO_PAYLOAD + 1;
	items[2].status = UINT32_MAX;
	items[3].status = WF_ORDER_OK;
	items[3].finished.finished_len = 1;
	items[3].finished.finished_val = &end;
	args.agb_x_args_u.results.results.results_len = 4;
	args.agb_x_args_u.results.results.results_val = items;
	agb_rpc_call(client, 1, addr, &args, 2000);
	loop_until(&loop, &r.replies, 1);
	CU_ASSERT_EQUAL(r.calls, 1);
	CU_ASSERT_EQUAL_FATAL(r.len, 4);
	CU_ASSERT_EQUAL(r.status[0], WF_ORDER_OK);
	for (i = 1; i < r.len; i++)
		CU_ASSERT_EQUAL(r.status[i], WF_ORDER_LOST);
	agb_rpc_free(client);
	wf_rpc_free(rpc);
	loop_close(&loop);
}

/* ---- writes through another instance ---- */

/* A peer that answers each write with @status, and the outcome that the
 * instance under test reports. */
struct put_peer {
	struct agb_rpc *rpc;
	int status;
	int results;
	enum agb_store_status outcome;
};

static void
answer_put(void *arg, uint64_t token, const char *peer, agb_x_args *args)
{
	struct put_peer *const p = arg;
	agb_x_res res = {.proc = AGB_X_PUT};

	res.agb_x_res_u.put.status = p->status;
	agb_rpc_reply(p->rpc, token, &res);
	xdr_free((xdrproc_t)xdr_agb_x_args, (char *)args);
}

static void
on_put_result(void *arg, struct wf_event *ev)
{
	struct put_peer *const p = arg;

	p->results++;
	if (ev->type == WF_EV_STORE)
		p->outcome = ev->u.store->status;
}

/* A write that a peer answers with an unknown status may have been carried out
 * and must count as lost. Otherwise a client could be told that its job was
 * refused although it is stored. */
static void
unknown_statuses_of_writes_are_lost(void)
{
	static const struct {
		int status;
		enum agb_store_status outcome;
	} cases[] = {
	    {AGB_STORE_OK, AGB_STORE_OK},
	    {AGB_STORE_REFUSED, AGB_STORE_REFUSED},
	    {AGB_STORE_LOST, AGB_STORE_LOST},
	    {AGB_STORE_LOST + 1, AGB_STORE_LOST},
	    {-1, AGB_STORE_LOST},
	    {INT32_MAX, AGB_STORE_LOST},
	};
	static const struct wf_rpc_cbs cbs = {.event = on_put_result};
	static const struct agb_rpc_cbs peer_cbs = {.call = answer_put};
	agb_addr ip = "127.0.0.1";
	struct wf_effect put = {.type = WF_EF_PEER_PUT,
	    .tag = (uint64_t)1 << 63,
	    .timeout_ms = 2000,
	    .u.record = {.key = "k", .val = (char *)(uintptr_t) "v", .len = 1}};
	struct put_peer p;
	struct wf_rpc *rpc;
	uv_loop_t loop;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&p, 0, sizeof(p));
		p.status = cases[i].status;
		uv_loop_init(&loop);
		p.rpc = agb_rpc_new(&loop, "127.0.0.1:0", &peer_cbs, &p);
		agb_rpc_set_allowed_ips(p.rpc, &ip, 1);
		rpc = wf_rpc_new(&loop, "127.0.0.1:0", &cbs, &p);
		CU_ASSERT_PTR_NOT_NULL_FATAL(rpc);
		agb_str_copy(put.peer, sizeof(put.peer), agb_rpc_addr(p.rpc));
		(void)wf_rpc_perform(rpc, &put);
		loop_until(&loop, &p.results, 1);
		CU_ASSERT_EQUAL(p.outcome, cases[i].outcome);
		wf_rpc_free(rpc);
		agb_rpc_free(p.rpc);
		loop_close(&loop);
	}
}

/* ---- clusters in simulated time ---- */

static unsigned
leader(const struct sim *s)
{
	return (unsigned)sim_leader(s);
}

/* Submits jobs of one task each to an instance that is not the leader. */
static void
submit_jobs(struct sim *s, unsigned jobs, unsigned ms, unsigned gap_ms)
{
	char id[WF_JOB_ID_LEN];
	unsigned i;

	for (i = 0; i < jobs; i++) {
		snprintf(id, sizeof(id), "%016x", i + 1);
		sim_submit(
		    s, (leader(s) + 1) % 5, id, sim_new_spec(1, 1000, ms));
		sim_run(s, gap_ms);
	}
}

/* Applies a fault to each instance other than the leader in turn. The test
 * cannot tell which instance relays the orders for a given runner; this way its
 * relay is hit in any case. */
static void
fault_each_follower(struct sim *s, void (*fault)(struct sim *s, unsigned ci))
{
	const unsigned lead = leader(s);
	unsigned ci;

	for (ci = 0; ci < 5; ci++) {
		if (ci != lead)
			fault(s, ci);
		sim_run(s, 3000);
	}
}

static void
freeze_instance(struct sim *s, unsigned ci)
{
	sim_freeze(s, ci, 2500);
}

static void
restart_instance(struct sim *s, unsigned ci)
{
	sim_kill(s, ci, 500);
}

static void
cut_from_runners(struct sim *s, unsigned ci)
{
	sim_core_cut_runners(s, ci, true);
	sim_run(s, 2500);
	sim_core_cut_runners(s, ci, false);
}

static void
cut_from_instances(struct sim *s, unsigned ci)
{
	sim_core_isolate(s, ci, true);
	sim_run(s, 2500);
	sim_core_isolate(s, ci, false);
}

/* A leader on a machine that is too small to serve all runners must send all
 * orders through relays, and must not send the text of a job to them. */
static void
small_leader_uses_relays(void)
{
	struct sim *const s = start_sim(&default_options, START_MS);

	submit_jobs(s, 200, 300, 20);
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_final_job_count(s), 200);
	CU_ASSERT(sim_relayed_orders(s) > 200);
	CU_ASSERT_EQUAL(sim_direct_orders(s), 0);
	CU_ASSERT_EQUAL(sim_payload_bytes(s), 0);
	finish_sim(s);
}

/* A leader on a machine that can serve all runners must not use relays. */
static void
large_leader_sends_directly(void)
{
	struct sim_options o = default_options;
	struct sim *s;

	o.relays = false;
	s = start_sim(&o, START_MS);
	submit_jobs(s, 50, 300, 20);
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_final_job_count(s), 50);
	CU_ASSERT_EQUAL(sim_relayed_orders(s), 0);
	finish_sim(s);
}

/* Tasks must keep running and must not be started again while the relay of
 * their runner fails: the runner is alive, only its relay does not answer. */
static void
tasks_survive_relay_faults(void)
{
	static void (*const faults[])(struct sim *, unsigned) = {
	    freeze_instance, restart_instance, cut_from_runners,
	    cut_from_instances};
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		s = start_sim(&default_options, START_MS);
		sim_submit(s, leader(s), JOB, sim_new_spec(12, 4000, 40000));
		sim_run(s, 1000);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
		fault_each_follower(s, faults[i]);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
		CU_ASSERT_EQUAL(sim_start_count(s, JOB), 12);
		sim_run(s, 40000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		finish_sim(s);
	}
}

/* A relay reaches no runner for longer than the runners' leases last, but answers
 * the leader. Guards against taking the runners for silent: their leases ended,
 * and their tasks started again elsewhere. */
static void
runners_outlast_relay_that_cannot_reach_them(void)
{
	struct sim *const s = start_sim(&default_options, START_MS);
	const unsigned lead = leader(s);
	unsigned ci;

	sim_submit(s, lead, JOB, sim_new_spec(12, 4000, 60000));
	sim_run(s, 1000);
	CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
	for (ci = 0; ci < default_options.cores; ci++) {
		if (ci == lead)
			continue;
		sim_core_cut_runners(s, ci, true);
		sim_run(s, 9000);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
		CU_ASSERT_EQUAL(sim_start_count(s, JOB), 12);
		sim_core_cut_runners(s, ci, false);
		sim_run(s, 2000);
	}
	finish_sim(s);
}

/* Tasks that have ended must not be started again because a runner leaves their
 * ends out of a list: after an outage of the store it has more ends to report
 * than a list holds. */
static void
more_ends_than_a_list_holds(void)
{
	static const struct {
		bool relays;
		unsigned runners;
	} cases[] = {{false, 1}, {true, 12}};
	struct sim_options o = default_options;
	struct sim *s;
	unsigned tasks;
	size_t i;

	o.cpu_milli = 100000;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.relays = cases[i].relays;
		o.runners = cases[i].runners;
		tasks = 900 * o.runners;
		s = start_sim(&o, START_MS);
		sim_submit(s, leader(s), JOB, sim_new_spec(tasks, 100, 6000));
		sim_run(s, 5500);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), tasks);
		sim_set_store_mode(s, SIM_STORE_SILENT);
		sim_run(s, 2500);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 0);
		sim_set_store_mode(s, SIM_STORE_UP);
		sim_run(s, 6000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		CU_ASSERT_EQUAL(sim_start_count(s, JOB), tasks);
		finish_sim(s);
	}
}

/* Tasks must keep running and must not be started again while the leader fails:
 * the next leader finds the running tasks through relays that still hold orders
 * of the previous leader. */
static void
tasks_survive_leader_change(void)
{
	static void (*const faults[])(struct sim *, unsigned) = {
	    freeze_instance, restart_instance, cut_from_instances};
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		s = start_sim(&default_options, START_MS);
		sim_submit(
		    s, (leader(s) + 1) % 5, JOB, sim_new_spec(12, 4000, 20000));
		sim_run(s, 1000);
		faults[i](s, leader(s));
		sim_run(s, 4000);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
		CU_ASSERT_EQUAL(sim_start_count(s, JOB), 12);
		sim_run(s, 20000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		finish_sim(s);
	}
}

/* Tasks must still be started through the remaining relays after one relay has
 * failed. */
static void
starts_avoid_lost_relays(void)
{
	static void (*const faults[])(struct sim *, unsigned) = {
	    freeze_instance, restart_instance, cut_from_runners,
	    cut_from_instances};
	char id[WF_JOB_ID_LEN];
	struct sim *s;
	unsigned n, ci;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		s = start_sim(&default_options, START_MS);
		ci = (leader(s) + 1) % 5;
		faults[i](s, ci);
		for (n = 0; n < 30; n++) {
			snprintf(id, sizeof(id), "%016x", n + 1);
			sim_submit(
			    s, leader(s), id, sim_new_spec(1, 1000, 200));
			sim_run(s, 50);
		}
		sim_run(s, 4000);
		CU_ASSERT_EQUAL(sim_final_job_count(s), 30);
		finish_sim(s);
	}
}

/* The instance that accepted a job dies before any relay has fetched the text of
 * the job: the leader must send the text with the starts. */
static void
text_after_accepting_instance_dies(void)
{
	struct sim *const s = start_sim(&default_options, START_MS);
	const unsigned ci = (leader(s) + 1) % 5;

	sim_submit(s, ci, JOB, sim_new_spec(12, 4000, 500));
	sim_run(s, 12);
	sim_kill(s, ci, 20000);
	sim_run(s, 4000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
	CU_ASSERT(sim_payload_bytes(s) > 0);
	finish_sim(s);
}

/* All instances are killed at once and restart. Tasks must keep running and must
 * not be started again. */
static void
all_instances_killed(void)
{
	struct sim *const s = start_sim(&default_options, START_MS);
	unsigned ci;

	sim_submit(s, leader(s), JOB, sim_new_spec(12, 4000, 12000));
	sim_run(s, 1000);
	for (ci = 0; ci < 5; ci++)
		sim_kill(s, ci, 800);
	sim_run(s, 4000);
	CU_ASSERT_EQUAL(sim_start_count(s, JOB), 12);
	CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
	sim_run(s, 12000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
	finish_sim(s);
}

/* Simulated days with random faults and relays; a failing seed is printed. */
static void
random_seeds(void)
{
	unsigned seed;

	for (seed = 1; seed <= 80; seed++)
		CU_ASSERT_EQUAL(
		    sim_run_seed(SIM_FIRST_RELAY_SEED + seed, stdout), 0);
}

static const struct suite_test tests[] = {
    {"deltas restore lists", deltas_restore_lists},
    {"deltas of other baselines are rejected",
	deltas_of_other_baselines_are_rejected},
    {"stale orders are rejected", stale_orders_are_rejected},
    {"texts of former jobs are not used", texts_of_former_jobs_are_not_used},
    {"starts with late texts are rejected",
	starts_with_late_texts_are_rejected},
    {"full lists of ends stay full", full_lists_of_ends_stay_full},
    {"unknown order kinds are rejected", unknown_order_kinds_are_rejected},
    {"malformed results are lost", malformed_results_are_lost},
    {"unknown statuses of writes are lost",
	unknown_statuses_of_writes_are_lost},
    {"small leader uses relays", small_leader_uses_relays},
    {"large leader sends directly", large_leader_sends_directly},
    {"tasks survive relay faults", tasks_survive_relay_faults},
    {"runners outlast a relay that cannot reach them",
	runners_outlast_relay_that_cannot_reach_them},
    {"more ends than a list holds", more_ends_than_a_list_holds},
    {"tasks survive a leader change", tasks_survive_leader_change},
    {"starts avoid lost relays", starts_avoid_lost_relays},
    {"text after the accepting instance dies",
	text_after_accepting_instance_dies},
    {"all killed", all_instances_killed},
    {"random days", random_seeds},
};

int
main(void)
{
	return suite_run("wf_relay", tests, sizeof(tests) / sizeof(tests[0]));
}

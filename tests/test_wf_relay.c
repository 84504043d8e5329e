/**
 * DOC: test_wf_relay
 *
 * Orders that other instances carry out for the leader. Each case names the
 * failure or the load that it guards against.
 */

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loop.h"
#include "mem.h"
#include "rpc.h"
#include "suite.h"
#include "wf_delta.h"
#include "wf_relay.h"
#include "wf_rpc.h"
#include "wfsim.h"

#define JOB "00000000000000aa"
#define FAR_MS 100000

static const struct sim_options plain = {
    .seed = 1, .cores = 5, .runners = 12, .cpu_milli = 16000, .relays = true};

/* ---- lists as differences ---- */

static struct wf_active_run
run_of(const char *name)
{
	struct wf_active_run a;

	memset(&a, 0, sizeof(a));
	agb_name_set(a.task.job, sizeof(a.task.job), JOB);
	a.task.index = (uint32_t)name[0];
	a.run = 1;
	a.percent = (uint32_t)(name[1] - '0');
	agb_name_set(a.checkpoint, sizeof(a.checkpoint), name + 2);
	return a;
}

/* A list as words: name, progress, checkpoint. */
static size_t
list_of(const char *text, struct wf_active_run *out)
{
	char copy[128], *word, *rest;
	size_t n = 0;

	agb_name_set(copy, sizeof(copy), text);
	for (word = strtok_r(copy, " ", &rest); word != NULL;
	     word = strtok_r(NULL, " ", &rest))
		out[n++] = run_of(word);
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

static void
lists_survive_the_way(void)
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
	struct wf_seen seen;
	size_t i, n, len;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&seen, 0, sizeof(seen));
		memset(&d, 0, sizeof(d));
		wf_seen_set(&seen, 7, before, list_of(cases[i].before, before));
		n = list_of(cases[i].after, after);
		wf_delta_make(&seen, after, n, &d);
		CU_ASSERT_EQUAL(d.new_runs_len, cases[i].fresh);
		CU_ASSERT_EQUAL(d.checkpoints_len, cases[i].saved);
		CU_ASSERT(wf_delta_apply(&seen, &d, &list, &len));
		CU_ASSERT(same_runs(list, len, after, n));
		free(list);
		free(d.kept);
		free(d.checkpoints);
		free(d.new_runs);
		wf_seen_free(&seen);
	}
}

/* A list that refers to another one than this side has must not be taken: runs
 * would be taken for ended ones. */
static void
lists_of_others_are_not_taken(void)
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
	struct wf_seen seen;
	size_t i, len;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&seen, 0, sizeof(seen));
		memset(&d, 0, sizeof(d));
		memset(&kept, 0, sizeof(kept));
		wf_seen_set(
		    &seen, cases[i].has, before, list_of("a0 b0", before));
		kept.index = cases[i].at;
		d.base_list = cases[i].base;
		d.kept = &kept;
		d.kept_len = 1;
		CU_ASSERT_EQUAL(
		    wf_delta_apply(&seen, &d, &list, &len), cases[i].ok);
		free(list);
		wf_seen_free(&seen);
	}
}

/* ---- one relay ---- */

/* Hands over a stop in the name of a leader. Return: whether it was sent. */
static bool
hand_over(struct wf_relay *y, uint64_t fence, agb_time at, agb_time not_after,
    bool open, bool *taken)
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

	wf_relay_orders(y, &now, 1, &orders, open, &out);
	for (i = 0; i < out.len; i++) {
		if (out.items[i].type == WF_EF_ORDERS_REPLY)
			*taken = out.items[i].flag;
		sent = sent || out.items[i].type == WF_EF_ORDER;
	}
	wf_effects_free(&out);
	return sent;
}

/* Around a change of leaders both hand orders over; a relay that was paused
 * has some whose time is over; one that shuts down takes none. */
static void
orders_out_of_turn(void)
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
	struct wf_relay *const y = wf_relay_new(&table);
	bool taken = false;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(hand_over(y, cases[i].fence, cases[i].at,
				    cases[i].not_after, cases[i].open, &taken),
		    cases[i].sent);
		CU_ASSERT_EQUAL(taken, cases[i].taken);
	}
	wf_relay_free(y);
}

/* ---- orders as messages ---- */

struct inbox {
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
	struct inbox *const in = arg;

	in->orders += ev->u.orders->len;
	in->calls++;
	(void)wf_rpc_effect(in->rpc, &answer);
}

static void
on_log(void *arg, enum agb_log_level level, const char *event, const char *line)
{
	struct inbox *const in = arg;

	in->logged += strcmp(line, "change=malformed-order") == 0;
}

static void
on_reply(void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res)
{
	struct inbox *const in = arg;

	in->replies++;
	if (ok)
		xdr_free((xdrproc_t)xdr_agb_x_res, (char *)res);
}

/* Guards against a message with an order of a kind that there is not: it must
 * not become another order, and the others of the call are taken. */
static void
unknown_orders_are_not_taken(void)
{
	static const struct wf_rpc_cbs cbs = {.event = on_event, .log = on_log};
	static const struct agb_rpc_cbs client_cbs = {.reply = on_reply};
	agb_addr self = "127.0.0.1:1";
	struct wf_effect allow = {
	    .type = WF_EF_ALLOW_PEERS, .peers = &self, .peers_len = 1};
	agb_x_args args = {.proc = AGB_X_ORDERS};
	struct inbox in = {0};
	struct agb_rpc *client;
	agb_x_order orders[2];
	agb_addr addr;
	uv_loop_t loop;
	uv_tcp_t tcp;

	uv_loop_init(&loop);
	loop_bind_dead(&loop, &tcp, addr);
	uv_close((uv_handle_t *)&tcp, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	in.rpc = wf_rpc_new(&loop, addr, &cbs, &in);
	CU_ASSERT_PTR_NOT_NULL_FATAL(in.rpc);
	(void)wf_rpc_effect(in.rpc, &allow);
	client = agb_rpc_new(&loop, "127.0.0.1:0", &client_cbs, &in);
	memset(orders, 0, sizeof(orders));
	orders[0].body.kind = AGB_X_HOLD;
	orders[1].body.kind = (agb_x_order_kind)9;
	orders[1].body.agb_x_order_body_u.run.saved = "";
	orders[1].body.agb_x_order_body_u.run.ticket = "";
	orders[1].body.agb_x_order_body_u.run.home = "";
	args.agb_x_args_u.orders.reply_to = "x";
	args.agb_x_args_u.orders.orders.orders_len = 2;
	args.agb_x_args_u.orders.orders.orders_val = orders;
	agb_rpc_call(client, 1, addr, &args, 2000);
	loop_until(&loop, &in.replies, 1);
	CU_ASSERT_EQUAL(in.calls, 1);
	CU_ASSERT_EQUAL(in.orders, 1);
	CU_ASSERT_EQUAL(in.logged, 1);
	agb_rpc_free(client);
	wf_rpc_free(in.rpc);
	loop_close(&loop);
}

/* ---- instances in simulated time ---- */

static struct sim *
start(const struct sim_options *o)
{
	struct sim *const s = sim_new(o);

	sim_run(s, 2000);
	CU_ASSERT(sim_leader(s) >= 0);
	return s;
}

static void
finish(struct sim *s)
{
	if (sim_violation_count(s) > 0)
		printf("\n%s\n", sim_first_violation(s));
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	sim_free(s);
}

static unsigned
leader(const struct sim *s)
{
	return (unsigned)sim_leader(s);
}

/* Hands in jobs of one task each, from an instance that does not lead. */
static void
load(struct sim *s, unsigned jobs, unsigned ms, unsigned gap_ms)
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

/* The instance that carries the orders for the runner of a job: the only one
 * besides the leader whose loss the runner notices is not known from outside,
 * so that a fault is done to all others of its domain in turn. */
static void
each_other(struct sim *s, void (*fault)(struct sim *s, unsigned ci))
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
freeze(struct sim *s, unsigned ci)
{
	sim_freeze(s, ci, 2500);
}

static void
restart(struct sim *s, unsigned ci)
{
	sim_kill(s, ci, 500);
}

static void
lose_runners(struct sim *s, unsigned ci)
{
	sim_core_cut_runners(s, ci, true);
	sim_run(s, 2500);
	sim_core_cut_runners(s, ci, false);
}

static void
lose_leader(struct sim *s, unsigned ci)
{
	sim_core_isolate(s, ci, true);
	sim_run(s, 2500);
	sim_core_isolate(s, ci, false);
}

/* The leader's machine cannot speak with all runners: it sends nothing to them
 * itself, and no text of a job either. */
static void
small_leader_hands_orders_over(void)
{
	struct sim *const s = start(&plain);

	load(s, 200, 300, 20);
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_final_job_count(s), 200);
	CU_ASSERT(sim_relayed_orders(s) > 200);
	CU_ASSERT_EQUAL(sim_direct_orders(s), 0);
	CU_ASSERT_EQUAL(sim_payload_bytes(s), 0);
	finish(s);
}

/* A machine that has room for all runners needs nobody in between. */
static void
large_leader_sends_itself(void)
{
	struct sim_options o = plain;
	struct sim *s;

	o.relays = false;
	s = start(&o);
	load(s, 50, 300, 20);
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_final_job_count(s), 50);
	CU_ASSERT_EQUAL(sim_relayed_orders(s), 0);
	finish(s);
}

/* Work at a runner goes on while its relay is away: the runner was only not
 * heard of through it. */
static void
work_outlives_relays(void)
{
	static void (*const faults[])(struct sim *, unsigned) = {
	    freeze, restart, lose_runners, lose_leader};
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		s = start(&plain);
		sim_submit(s, leader(s), JOB, sim_new_spec(12, 4000, 40000));
		sim_run(s, 1000);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
		each_other(s, faults[i]);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
		CU_ASSERT_EQUAL(sim_start_count(s, JOB), 12);
		sim_run(s, 40000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		finish(s);
	}
}

/* The same while the leader changes: the next one finds the work through
 * relays that still have orders of the one before. */
static void
work_outlives_leader(void)
{
	static void (*const faults[])(struct sim *, unsigned) = {
	    freeze, restart, lose_leader};
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		s = start(&plain);
		sim_submit(
		    s, (leader(s) + 1) % 5, JOB, sim_new_spec(12, 4000, 20000));
		sim_run(s, 1000);
		faults[i](s, leader(s));
		sim_run(s, 4000);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 12);
		CU_ASSERT_EQUAL(sim_start_count(s, JOB), 12);
		sim_run(s, 20000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		finish(s);
	}
}

/* Starts go on through the relays that are left. */
static void
starts_go_round_lost_relays(void)
{
	static void (*const faults[])(struct sim *, unsigned) = {
	    freeze, restart, lose_runners, lose_leader};
	char id[WF_JOB_ID_LEN];
	struct sim *s;
	unsigned n, ci;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		s = start(&plain);
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
		finish(s);
	}
}

/* The instance that accepted a job is gone before any relay has its text. */
static void
text_after_its_instance_died(void)
{
	struct sim *const s = start(&plain);
	const unsigned ci = (leader(s) + 1) % 5;

	sim_submit(s, ci, JOB, sim_new_spec(12, 4000, 500));
	sim_run(s, 12);
	sim_kill(s, ci, 20000);
	sim_run(s, 4000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
	CU_ASSERT(sim_payload_bytes(s) > 0);
	finish(s);
}

/* All instances lose power at once and come back. */
static void
all_killed(void)
{
	struct sim *const s = start(&plain);
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
	finish(s);
}

static void
some_seeds(void)
{
	unsigned seed;

	for (seed = 1; seed <= 80; seed++)
		CU_ASSERT_EQUAL(
		    sim_run_seed(SIM_FIRST_RELAY_SEED + seed, stdout), 0);
}

static const struct suite_test tests[] = {
    {"lists survive the way", lists_survive_the_way},
    {"lists of others are not taken", lists_of_others_are_not_taken},
    {"orders out of turn", orders_out_of_turn},
    {"unknown orders are not taken", unknown_orders_are_not_taken},
    {"small leader hands orders over", small_leader_hands_orders_over},
    {"large leader sends itself", large_leader_sends_itself},
    {"work outlives relays", work_outlives_relays},
    {"work outlives the leader", work_outlives_leader},
    {"starts go round lost relays", starts_go_round_lost_relays},
    {"text after its instance died", text_after_its_instance_died},
    {"all killed", all_killed},
    {"random days", some_seeds},
};

int
main(void)
{
	return suite_run("wf_relay", tests, sizeof(tests) / sizeof(tests[0]));
}

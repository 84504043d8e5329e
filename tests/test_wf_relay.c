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

static struct wf_active
parse_run(const char *name)
{
	struct wf_active a;

	memset(&a, 0, sizeof(a));
	agb_name_set(a.task.job, sizeof(a.task.job), JOB);
	a.task.index = (uint32_t)name[0];
	a.run = 1;
	a.percent = (uint32_t)(name[1] - '0');
	agb_name_set(a.saved, sizeof(a.saved), name + 2);
	return a;
}

/* A list as words: name, progress, checkpoint. */
static size_t
parse_runs(const char *text, struct wf_active *out)
{
	char copy[128], *word, *rest;
	size_t n = 0;

	agb_name_set(copy, sizeof(copy), text);
	for (word = strtok_r(copy, " ", &rest); word != NULL;
	     word = strtok_r(NULL, " ", &rest))
		out[n++] = parse_run(word);
	return n;
}

static bool
same_run(const struct wf_active *a, const struct wf_active *b)
{
	return wf_task_ref_same(&a->task, &b->task) && a->run == b->run &&
	    a->percent == b->percent && a->load == b->load &&
	    strcmp(a->saved, b->saved) == 0;
}

static bool
same_runs(const struct wf_active *a, size_t a_len, const struct wf_active *b,
    size_t b_len)
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
	struct wf_active before[8], after[8], *list;
	struct wf_relayed d;
	struct wf_baseline baseline;
	size_t i, n, len;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&baseline, 0, sizeof(baseline));
		memset(&d, 0, sizeof(d));
		wf_baseline_set(
		    &baseline, 7, before, parse_runs(cases[i].before, before));
		n = parse_runs(cases[i].after, after);
		wf_delta_compute(&baseline, after, n, &d);
		CU_ASSERT_EQUAL(d.fresh_len, cases[i].fresh);
		CU_ASSERT_EQUAL(d.saved_len, cases[i].saved);
		CU_ASSERT(wf_delta_apply(&baseline, &d, &list, &len));
		CU_ASSERT(same_runs(list, len, after, n));
		free(list);
		free(d.kept);
		free(d.saved);
		free(d.fresh);
		wf_baseline_free(&baseline);
	}
}

/* A list that refers to another one than this side has must not be taken: runs
 * would be taken for ended ones. */
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
	struct wf_active before[2], *list;
	struct wf_kept kept;
	struct wf_relayed d;
	struct wf_baseline baseline;
	size_t i, len;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&baseline, 0, sizeof(baseline));
		memset(&d, 0, sizeof(d));
		memset(&kept, 0, sizeof(kept));
		wf_baseline_set(&baseline, cases[i].has, before,
		    parse_runs("a0 b0", before));
		kept.at = cases[i].at;
		d.base = cases[i].base;
		d.kept = &kept;
		d.kept_len = 1;
		CU_ASSERT_EQUAL(
		    wf_delta_apply(&baseline, &d, &list, &len), cases[i].ok);
		free(list);
		wf_baseline_free(&baseline);
	}
}

/* ---- one relay ---- */

/* Hands over a stop in the name of a leader. Return: whether it was sent. */
static bool
hand_over(struct wf_relay *y, uint64_t fence, agb_time at, agb_time not_after,
    bool open, bool *taken)
{
	const struct wf_now now = {.mono = at};
	struct wf_card card = {
	    .runner = 3, .life = 1, .id = "r-3", .addr = "a"};
	struct wf_order order = {
	    .kind = WF_ORDER_STOP,
	    .number = 1,
	    .not_after = not_after,
	    .runner = 3,
	    .life = 1,
	};
	struct wf_orders orders = {
	    .fence = fence,
	    .reply_to = "leader",
	    .cards = &card,
	    .cards_len = 1,
	    .items = &order,
	    .len = 1,
	};
	struct wf_effects out = {0};
	bool sent = false;
	size_t i;

	wf_relay_handle_orders(y, &now, 1, &orders, open, &out);
	for (i = 0; i < out.len; i++) {
		if (out.items[i].type == WF_EF_ORDERS_TAKEN)
			*taken = out.items[i].on;
		sent = sent || out.items[i].type == WF_EF_ORDER;
	}
	wf_effects_free(&out);
	return sent;
}

/* Around a change of leaders both hand orders over; a relay that was paused
 * has some whose time is over; one that shuts down takes none. */
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
	struct wf_effect answer = {.type = WF_EF_ORDERS_TAKEN, .tag = ev->tag};
	struct inbox *const in = arg;

	in->orders += ev->u.orders->len;
	in->calls++;
	(void)wf_rpc_perform(in->rpc, &answer);
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
unknown_order_kinds_are_rejected(void)
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
	(void)wf_rpc_perform(in.rpc, &allow);
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
start_sim(const struct sim_options *o)
{
	struct sim *const s = sim_new(o);

	sim_run(s, 2000);
	CU_ASSERT(sim_leader(s) >= 0);
	return s;
}

static void
finish_sim(struct sim *s)
{
	if (sim_violations(s) > 0)
		printf("\n%s\n", sim_violation(s));
	CU_ASSERT_EQUAL(sim_violations(s), 0);
	sim_free(s);
}

static unsigned
leader(const struct sim *s)
{
	return (unsigned)sim_leader(s);
}

/* Hands in jobs of one task each, from an instance that does not lead. */
static void
submit_jobs(struct sim *s, unsigned jobs, unsigned ms, unsigned gap_ms)
{
	char id[WF_JOB_ID_LEN];
	unsigned i;

	for (i = 0; i < jobs; i++) {
		snprintf(id, sizeof(id), "%016x", i + 1);
		sim_submit(s, (leader(s) + 1) % 5, id, sim_spec(1, 1000, ms));
		sim_run(s, gap_ms);
	}
}

/* The instance that carries the orders for the runner of a job: the only one
 * besides the leader whose loss the runner notices is not known from outside,
 * so that a fault is done to all others of its domain in turn. */
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
	sim_core_cut(s, ci, true);
	sim_run(s, 2500);
	sim_core_cut(s, ci, false);
}

static void
cut_from_instances(struct sim *s, unsigned ci)
{
	sim_core_alone(s, ci, true);
	sim_run(s, 2500);
	sim_core_alone(s, ci, false);
}

/* The leader's machine cannot speak with all runners: it sends nothing to them
 * itself, and no text of a job either. */
static void
small_leader_uses_relays(void)
{
	struct sim *const s = start_sim(&plain);

	submit_jobs(s, 200, 300, 20);
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_jobs_final(s), 200);
	CU_ASSERT(sim_relayed(s) > 200);
	CU_ASSERT_EQUAL(sim_direct(s), 0);
	CU_ASSERT_EQUAL(sim_text_bytes(s), 0);
	finish_sim(s);
}

/* A machine that has room for all runners needs nobody in between. */
static void
large_leader_sends_directly(void)
{
	struct sim_options o = plain;
	struct sim *s;

	o.relays = false;
	s = start_sim(&o);
	submit_jobs(s, 50, 300, 20);
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_jobs_final(s), 50);
	CU_ASSERT_EQUAL(sim_relayed(s), 0);
	finish_sim(s);
}

/* Work at a runner goes on while its relay is away: the runner was only not
 * heard of through it. */
static void
tasks_survive_relay_faults(void)
{
	static void (*const faults[])(struct sim *, unsigned) = {
	    freeze_instance, restart_instance, cut_from_runners,
	    cut_from_instances};
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		s = start_sim(&plain);
		sim_submit(s, leader(s), JOB, sim_spec(12, 4000, 40000));
		sim_run(s, 1000);
		CU_ASSERT_EQUAL(sim_running(s, JOB), 12);
		fault_each_follower(s, faults[i]);
		CU_ASSERT_EQUAL(sim_running(s, JOB), 12);
		CU_ASSERT_EQUAL(sim_starts(s, JOB), 12);
		sim_run(s, 40000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		finish_sim(s);
	}
}

/* The same while the leader changes: the next one finds the work through
 * relays that still have orders of the one before. */
static void
tasks_survive_leader_change(void)
{
	static void (*const faults[])(struct sim *, unsigned) = {
	    freeze_instance, restart_instance, cut_from_instances};
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		s = start_sim(&plain);
		sim_submit(
		    s, (leader(s) + 1) % 5, JOB, sim_spec(12, 4000, 20000));
		sim_run(s, 1000);
		faults[i](s, leader(s));
		sim_run(s, 4000);
		CU_ASSERT_EQUAL(sim_running(s, JOB), 12);
		CU_ASSERT_EQUAL(sim_starts(s, JOB), 12);
		sim_run(s, 20000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		finish_sim(s);
	}
}

/* Starts go on through the relays that are left. */
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
		s = start_sim(&plain);
		ci = (leader(s) + 1) % 5;
		faults[i](s, ci);
		for (n = 0; n < 30; n++) {
			snprintf(id, sizeof(id), "%016x", n + 1);
			sim_submit(s, leader(s), id, sim_spec(1, 1000, 200));
			sim_run(s, 50);
		}
		sim_run(s, 4000);
		CU_ASSERT_EQUAL(sim_jobs_final(s), 30);
		finish_sim(s);
	}
}

/* The instance that accepted a job is gone before any relay has its text. */
static void
text_after_accepting_instance_dies(void)
{
	struct sim *const s = start_sim(&plain);
	const unsigned ci = (leader(s) + 1) % 5;

	sim_submit(s, ci, JOB, sim_spec(12, 4000, 500));
	sim_run(s, 12);
	sim_kill(s, ci, 20000);
	sim_run(s, 4000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
	CU_ASSERT(sim_text_bytes(s) > 0);
	finish_sim(s);
}

/* All instances lose power at once and come back. */
static void
all_instances_killed(void)
{
	struct sim *const s = start_sim(&plain);
	unsigned ci;

	sim_submit(s, leader(s), JOB, sim_spec(12, 4000, 12000));
	sim_run(s, 1000);
	for (ci = 0; ci < 5; ci++)
		sim_kill(s, ci, 800);
	sim_run(s, 4000);
	CU_ASSERT_EQUAL(sim_starts(s, JOB), 12);
	CU_ASSERT_EQUAL(sim_running(s, JOB), 12);
	sim_run(s, 12000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
	finish_sim(s);
}

static void
random_seeds(void)
{
	unsigned seed;

	for (seed = 1; seed <= 80; seed++)
		CU_ASSERT_EQUAL(
		    sim_run_seed(SIM_RELAY_SEEDS + seed, stdout), 0);
}

static const struct suite_test tests[] = {
    {"lists survive the way", deltas_restore_lists},
    {"lists of others are not taken", deltas_of_other_baselines_are_rejected},
    {"orders out of turn", stale_orders_are_rejected},
    {"unknown orders are not taken", unknown_order_kinds_are_rejected},
    {"small leader hands orders over", small_leader_uses_relays},
    {"large leader sends itself", large_leader_sends_directly},
    {"work outlives relays", tasks_survive_relay_faults},
    {"work outlives the leader", tasks_survive_leader_change},
    {"starts go round lost relays", starts_avoid_lost_relays},
    {"text after its instance died", text_after_accepting_instance_dies},
    {"all killed", all_instances_killed},
    {"random days", random_seeds},
};

int
main(void)
{
	return suite_run("wf_relay", tests, sizeof(tests) / sizeof(tests[0]));
}

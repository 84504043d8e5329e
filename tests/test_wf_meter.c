/**
 * DOC: test_wf_meter
 *
 * Measurements of the workflow scheduler and the text that shows them: tables
 * of turns and orders and the figures expected for them.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "wf_meter.h"
#include "wf_metrics.h"
#include "wfsim.h"

/* A process whose clock and backlog the test sets. */
struct fake_process {
	agb_time now;
	unsigned clock_reads;
	struct wf_backlog backlog;
};

static agb_time
fake_clock(void *arg)
{
	struct fake_process *const p = arg;

	p->clock_reads++;
	return p->now;
}

static void
fake_backlog(void *arg, struct wf_backlog *out)
{
	*out = ((const struct fake_process *)arg)->backlog;
}

static const struct wf_meter_ops fake_ops = {
    .clock = fake_clock,
    .backlog = fake_backlog,
};

enum step_kind {
	BEGIN,
	LAP,
	END,
};

/* Turns by their steps, each a number of milliseconds after the one before, and
 * the times expected for them. Guards against time that is counted twice or not
 * at all, in particular when an effect causes another event. */
static void
time_of_turn_is_split_by_part(void)
{
	static const struct {
		struct {
			enum step_kind kind;
			enum wf_part part;
			uint32_t after_ms;
		} steps[12];
		size_t steps_len;
		uint64_t turns;
		uint32_t longest_ms;
		uint32_t parts_ms[WF_PARTS];
	} cases[] = {
	    /* Outside a turn nothing is measured. */
	    {{{LAP, WF_PART_EVENT, 5}, {END, 0, 5}}, 2, 0, 0, {0}},
	    {{{BEGIN, 0, 5}, {LAP, WF_PART_EVENT, 1}, {LAP, WF_PART_SORT, 2},
		 {LAP, WF_PART_GANGS, 3}, {LAP, WF_PART_TASKS, 4},
		 {LAP, WF_PART_GANGS, 5}, {END, 0, 6}},
		7, 1, 21,
		{[WF_PART_EVENT] = 1,
		    [WF_PART_SORT] = 2,
		    [WF_PART_GANGS] = 8,
		    [WF_PART_TASKS] = 4,
		    [WF_PART_EFFECTS] = 6}},
	    /* Time between two turns belongs to neither. */
	    {{{BEGIN, 0, 0}, {END, 0, 9}, {BEGIN, 0, 50}, {END, 0, 4}}, 4, 2, 9,
		{[WF_PART_EFFECTS] = 13}},
	    /* An effect causes an event that is handled at once. */
	    {{{BEGIN, 0, 0}, {LAP, WF_PART_EVENT, 1}, {BEGIN, 0, 2},
		 {LAP, WF_PART_EVENT, 4}, {END, 0, 8}, {END, 0, 16}},
		6, 1, 31, {[WF_PART_EVENT] = 5, [WF_PART_EFFECTS] = 26}},
	};
	struct fake_process p;
	struct wf_meter m;
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&p, 0, sizeof(p));
		wf_meter_init(&m, &fake_ops, &p);
		for (k = 0; k < cases[i].steps_len; k++) {
			p.now += cases[i].steps[k].after_ms * AGB_MS;
			switch (cases[i].steps[k].kind) {
			case BEGIN:
				wf_meter_begin_turn(&m);
				break;
			case LAP:
				wf_meter_lap(&m, cases[i].steps[k].part);
				break;
			case END:
				wf_meter_end_turn(&m);
				break;
			}
			CU_ASSERT(p.clock_reads <= k + 1);
		}
		CU_ASSERT_EQUAL(m.total.turns, cases[i].turns);
		CU_ASSERT_EQUAL(m.turn_time.count, cases[i].turns);
		CU_ASSERT_EQUAL(m.longest_turn, cases[i].longest_ms * AGB_MS);
		for (k = 0; k < WF_PARTS; k++)
			CU_ASSERT_EQUAL(
			    m.total.parts[k], cases[i].parts_ms[k] * AGB_MS);
	}
}

/* Guards against a reducer that reads a clock in simulated time. */
static void
meter_without_clock_measures_no_time(void)
{
	struct wf_meter m;

	wf_meter_init(&m, NULL, NULL);
	wf_meter_begin_turn(&m);
	wf_meter_lap(&m, WF_PART_EVENT);
	wf_meter_end_turn(&m);
	CU_ASSERT_EQUAL(m.total.turns, 0);
	CU_ASSERT_EQUAL(m.turn_time.count, 0);
	wf_meter_count(&m, WF_TALLY_ASSIGNED);
	CU_ASSERT_EQUAL(m.total.tallies[WF_TALLY_ASSIGNED], 1);
}

/* Results of orders that were sent at 10 s. Guards against late starts that
 * cannot be seen since only the orders of this instance itself are counted. */
static void
results_of_starts_are_counted(void)
{
	static const struct {
		enum wf_order_kind kind;
		enum wf_order_status status;
		uint32_t now_ms;
		uint32_t count;
		uint32_t age_ms;
		uint32_t refused;
	} cases[] = {
	    {WF_ORDER_START, WF_ORDER_OK, 10020, 1, 20, 0},
	    {WF_ORDER_START, WF_ORDER_UNRELAYED, 11500, 1, 1500, 0},
	    {WF_ORDER_START, WF_ORDER_NO_PAYLOAD, 10000, 1, 0, 0},
	    {WF_ORDER_START, WF_ORDER_TICKET_EXPIRED, 10300, 1, 300, 1},
	    {WF_ORDER_STOP, WF_ORDER_OK, 10020, 0, 0, 0},
	    {WF_ORDER_HOLD, WF_ORDER_LOST, 10020, 0, 0, 0},
	};
	struct wf_order_result res;
	struct wf_meter m;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		wf_meter_init(&m, NULL, NULL);
		memset(&res, 0, sizeof(res));
		res.kind = cases[i].kind;
		res.status = cases[i].status;
		res.sent_at = 10 * AGB_SEC;
		wf_meter_add_result(&m, &res, cases[i].now_ms * AGB_MS);
		CU_ASSERT_EQUAL(
		    m.start_results[cases[i].status], cases[i].count);
		CU_ASSERT_EQUAL(m.start_age.count, cases[i].count);
		CU_ASSERT_EQUAL(m.recent_start_age, cases[i].age_ms * AGB_MS);
		CU_ASSERT_EQUAL(
		    m.total.tallies[WF_TALLY_REFUSED], cases[i].refused);
	}
}

/* Guards against observations in the wrong bucket. */
static void
histogram_counts_by_upper_bound(void)
{
	static const struct {
		agb_time value;
		size_t bucket;
	} cases[] = {
	    {0, 0},
	    {AGB_MS, 0},
	    {AGB_MS + 1, 1},
	    {500 * AGB_MS, 8},
	    {5 * AGB_SEC, WF_METER_BOUNDS - 1},
	    {6 * AGB_SEC, WF_METER_BOUNDS},
	};
	struct wf_histogram h;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&h, 0, sizeof(h));
		wf_histogram_add(&h, cases[i].value);
		CU_ASSERT_EQUAL(h.buckets[cases[i].bucket], 1);
		CU_ASSERT_EQUAL(h.count, 1);
		CU_ASSERT_EQUAL(h.sum, cases[i].value);
	}
}

static void
check_text(const char *text, const char *part)
{
	CU_ASSERT_PTR_NOT_NULL(strstr(text, part));
	if (strstr(text, part) == NULL)
		fprintf(stderr, "missing: %s\nin: %s\n", part, text);
}

static void
turn(struct wf_meter *m, struct fake_process *p, uint32_t ms)
{
	wf_meter_begin_turn(m);
	p->now += ms * AGB_MS;
	wf_meter_lap(m, WF_PART_TASKS);
	wf_meter_end_turn(m);
}

/* Guards against a line that reports totals in place of the figures since the
 * line before. */
static void
line_reports_the_time_since_the_last_one(void)
{
	static const struct wf_load load = {
	    7, 2, 30, 50, 40, {64900, 18000, 3}};
	struct fake_process p = {.backlog = {5000, 4000}};
	char text[WF_METER_LINE_MAX];
	struct wf_meter m;

	wf_meter_init(&m, &fake_ops, &p);
	turn(&m, &p, 90);
	wf_meter_count(&m, WF_TALLY_EXPIRED);
	wf_meter_add_examined(&m, 500);
	wf_meter_restart_line(&m, 20 * AGB_SEC);
	CU_ASSERT(!wf_meter_line_due(&m, 20999 * AGB_MS));
	CU_ASSERT(wf_meter_line_due(&m, 21000 * AGB_MS));
	turn(&m, &p, 3);
	turn(&m, &p, 4);
	wf_meter_count(&m, WF_TALLY_ASSIGNED);
	wf_meter_add_examined(&m, 40);
	wf_meter_format_line(&m, &load, 21100 * AGB_MS, text);
	check_text(text,
	    "span_ms=1100 queue=7 gangs=2 in_flight=30 limit=50 orders=40");
	check_text(text, " free_cores=64 reserved_cores=18 kept_out=3 ");
	check_text(text, " assigned=1 confirmed=0 ");
	check_text(text, " expired=0 ");
	check_text(text, " examined=40 ");
	check_text(text, " turns=2 longest_turn_ms=4 ");
	check_text(text, " tasks_ms=7 ");
	check_text(text, " unsent_bytes=5000 unsent_largest_bytes=4000");
}

/* Guards against a line that is cut off when all its figures are large. */
static void
line_of_large_figures_is_whole(void)
{
	static const struct wf_load load = {
	    99999, 99999, 99999, 99999, 99999, {999999999, 999999999, 99999}};
	struct fake_process p = {.backlog = {999999999, 9999999}};
	char text[WF_METER_LINE_MAX];
	struct wf_meter m;
	size_t i;

	wf_meter_init(&m, &fake_ops, &p);
	m.total.turns = 99999;
	m.total.examined = 99999999;
	for (i = 0; i < WF_TALLIES; i++)
		m.total.tallies[i] = 99999;
	for (i = 0; i < WF_PARTS; i++)
		m.total.parts[i] = 9999 * AGB_MS;
	m.recent_longest_turn = m.recent_start_age = 99999 * AGB_MS;
	wf_meter_format_line(&m, &load, 99999 * AGB_MS, text);
	check_text(text, " unsent_largest_bytes=9999999");
}

/* Guards against measurements that are taken and not shown. */
static void
metrics_show_measurements(void)
{
	static const char *const lines[] = {
	    "agatebeam_queues_compared_total 9\n",
	    "agatebeam_gangs_waiting 2\n",
	    "agatebeam_free_cores 64.5\n",
	    "agatebeam_reserved_cores 18\n",
	    "agatebeam_steps_kept_out 3\n",
	    "agatebeam_starts_in_flight 30\n",
	    "agatebeam_starts_limit 50\n",
	    "agatebeam_relayed_orders_pending 40\n",
	    "agatebeam_longest_turn_seconds 0.25\n",
	    "agatebeam_peer_unsent_bytes 5000\n",
	    "agatebeam_peer_unsent_largest_bytes 4000\n",
	    "agatebeam_turn_seconds_bucket{le=\"0.2\"} 0\n",
	    "agatebeam_turn_seconds_bucket{le=\"0.5\"} 1\n",
	    "agatebeam_turn_seconds_bucket{le=\"+Inf\"} 1\n",
	    "agatebeam_turn_seconds_sum 0.25\n",
	    "agatebeam_turn_part_seconds_total{part=\"tasks\"} 0.25\n",
	    "agatebeam_turn_part_seconds_total{part=\"effects\"} 0\n",
	    "agatebeam_task_decisions_total{decision=\"waits_near\"} 0\n",
	    "agatebeam_task_decisions_total{decision=\"waits_vain\"} 0\n",
	    "agatebeam_task_decisions_total{decision=\"remote\"} 0\n",
	    "agatebeam_start_age_seconds_bucket{le=\"2\"} 0\n",
	    "agatebeam_start_age_seconds_bucket{le=\"+Inf\"} 1\n",
	    "agatebeam_start_results_total{outcome=\"ticket\"} 1\n",
	    "agatebeam_start_results_total{outcome=\"unrelayed\"} 0\n",
	    "agatebeam_start_results_total{outcome=\"no_payload\"} 0\n",
	    "agatebeam_approval_age_seconds_count 1\n",
	    "agatebeam_task_decisions_total{decision=\"refused\"} 1\n",
	    "agatebeam_account_holds_total{by=\"limit\"} 3\n",
	    "agatebeam_account_holds_total{by=\"share\"} 2\n",
	    "agatebeam_peer_queued_bytes_total{message=\"orders\"} 600\n",
	    "agatebeam_store_given_up_total{call_reason=\"poll_stalled\"} 2\n",
	    "agatebeam_store_given_up_total{call_reason=\"read_too-slow\"} 1\n",
	    "agatebeam_clients_given_up_total{reason=\"memory\"} 12\n",
	    "agatebeam_clients_given_up_total{reason=\"response-time\"} 0\n",
	    "agatebeam_clients_held_bytes 300\n",
	    "agatebeam_clients_held_max_bytes 900\n",
	};
	const struct wf_order_result res = {
	    .kind = WF_ORDER_START, .status = WF_ORDER_TICKET_EXPIRED};
	const struct agb_store_give_up poll = {
	    .read = AGB_STORE_POLL, .reason = AGB_STORE_STALLED};
	const struct agb_store_give_up read = {
	    .read = AGB_STORE_FULL_READ, .reason = AGB_STORE_TOO_SLOW};
	struct wf_metrics *const metrics = wf_metrics_new();
	struct agb_rpc_stats rpc = {0};
	struct wf_metrics_sample in = {0};
	struct fake_process p = {0};
	struct wf_meter m;
	size_t i, len;
	char *text;

	wf_meter_init(&m, &fake_ops, &p);
	turn(&m, &p, 250);
	wf_meter_add_result(&m, &res, 8 * AGB_SEC);
	wf_meter_add_approval_age(&m, AGB_SEC);
	m.total.queues_compared = 9;
	m.total.held_by_limit = 3;
	m.total.held_by_share = 2;
	rpc.queued_bytes[AGB_X_ORDERS] = 600;
	in.gauges.load = (struct wf_load){7, 2, 30, 50, 40, {64500, 18000, 3}};
	in.meter = &m;
	in.rpc = &rpc;
	in.clients.counts[WF_HTTPD_MEMORY] = 12;
	in.clients.held = 300;
	in.clients.limits.held_max = 900;
	in.backlog = (struct wf_backlog){5000, 4000};
	wf_metrics_count_give_up(metrics, &poll);
	wf_metrics_count_give_up(metrics, &poll);
	wf_metrics_count_give_up(metrics, &read);
	text = wf_metrics_format(metrics, &in, &len);
	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		check_text(text, lines[i]);
	free(text);
	wf_metrics_free(metrics);
}

/* One job of 3 s between two idle spans. Guards against a leader whose load
 * cannot be seen while it works, and against a line a second of one that is
 * idle. */
static void
leader_with_open_work_logs_its_load(void)
{
	static const struct sim_options o = {.seed = 1,
	    .cores = 3,
	    .runners = 4,
	    .cpu_milli = 8000,
	    .latency_ms = 5,
	    .max_attempts = 3};
	struct sim *const s = sim_new(&o);
	unsigned lines;

	sim_run(s, 4000);
	CU_ASSERT(sim_leader(s) >= 0);
	CU_ASSERT_EQUAL(sim_load_lines(s), 0);
	sim_submit(s, 0, "00000000000000a1", sim_new_spec(2, 1000, 3000));
	sim_run(s, 6000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, "00000000000000a1"), "completed");
	lines = sim_load_lines(s);
	CU_ASSERT(lines >= 2 && lines <= 4);
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_load_lines(s), lines);
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	sim_free(s);
}

static const struct suite_test tests[] = {
    {"turns: time is split by part", time_of_turn_is_split_by_part},
    {"turns: no clock, no times", meter_without_clock_measures_no_time},
    {"starts: results are counted", results_of_starts_are_counted},
    {"histogram: upper bounds", histogram_counts_by_upper_bound},
    {"line: since the last one", line_reports_the_time_since_the_last_one},
    {"line: large figures", line_of_large_figures_is_whole},
    {"metrics: text", metrics_show_measurements},
    {"leader: logs its load", leader_with_open_work_logs_its_load},
};

int
main(void)
{
	return suite_run("wf_meter", tests, sizeof(tests) / sizeof(tests[0]));
}

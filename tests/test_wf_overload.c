/**
 * DOC: test_wf_overload
 *
 * Recovery from overload, in simulated time: jobs come faster than the links
 * or the processors of the instances carry their starts, for a while or all the
 * time. Work must go on at the rate that they carry, and what waits must run
 * afterwards.
 */

#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "wfsim.h"

#define CORES 8
#define WARM_UP_MS 1000
#define LOAD_MS 15000
/* Time after the end of the load at which each job has to be finished, as the
 * users' platform checks it. */
#define FINISH_MS 14000
#define LOAD_STEP_MS 20
/* Load after a link or a processor is as fast as before. */
#define LOAD_AFTER_MS 5000
/* Time of one dispatch pass in the scenario of long passes, at most. */
#define PASS_MS 100
/* Runners that a leader with small links speaks with itself, and capacity of
 * all runners. */
#define DIRECT_RUNNERS 10
#define ALL_RUNNERS_CPU_MILLI 5760000

/* The links carry the orders of the usual load with some room to spare. */
static const struct sim_options small_links = {
    .seed = 1,
    .cores = CORES,
    .runners = 120,
    .cpu_milli = 48000,
    .advice_required = true,
    .advice_ms = 40,
    .advice_per_runner_ms = 1,
    .relays = true,
    .link_kbps = 2000,
};

/* The leader sends its orders to the runners itself. */
static const struct sim_options few_runners = {
    .seed = 1,
    .cores = CORES,
    .runners = DIRECT_RUNNERS,
    .cpu_milli = ALL_RUNNERS_CPU_MILLI / DIRECT_RUNNERS,
    .advice_required = true,
    .advice_ms = 40,
    .advice_per_runner_ms = 1,
    .link_kbps = 1000,
};

/* Kinds of jobs in the load, and how many of each come in ten seconds. */
static const struct job_kind {
	unsigned per_10_s;
	uint32_t count, cpu_milli, run_ms;
	bool gang;
} kinds[] = {
    {8, 32, 9000, 3000, true},
    {12, 50, 5500, 2200, false},
    {150, 4, 7800, 800, false},
};

#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

#define FIRST_JOB 0x1000

static void
format_job_id(char id[17], unsigned n)
{
	snprintf(id, 17, "%016x", FIRST_JOB + n);
}

static void
submit(struct sim *s, const struct job_kind *kind)
{
	struct wf_spec *const spec =
	    sim_new_spec(kind->count, kind->cpu_milli, kind->run_ms);
	const unsigned n = sim_job_count(s);
	char id[17];

	spec->steps[0].gang = kind->gang;
	format_job_id(id, n);
	sim_submit(s, n % CORES, id, spec);
}

/* Submits jobs of all kinds, evenly spread, at a percentage of the usual
 * load. */
static void
run_load(struct sim *s, unsigned ms, unsigned percent)
{
	const unsigned whole = 10000 / LOAD_STEP_MS * 100;
	unsigned due[KINDS] = {0}, at, i;

	for (at = 0; at < ms; at += LOAD_STEP_MS) {
		for (i = 0; i < KINDS; i++) {
			due[i] += kinds[i].per_10_s * percent;
			if (due[i] < whole)
				continue;
			due[i] -= whole;
			submit(s, &kinds[i]);
		}
		sim_run(s, LOAD_STEP_MS);
	}
}

static void
set_links(struct sim *s, unsigned kbps)
{
	unsigned i;

	for (i = 0; i < CORES; i++)
		sim_core_set_link(s, i, kbps);
}

/* Lets the rest of the queue run and checks that all jobs have finished. */
static void
check_drained(struct sim *s, size_t i)
{
	sim_run(s, FINISH_MS);
	if (sim_final_job_count(s) != sim_job_count(s))
		printf("\n  case %zu: %u of %u jobs finished\n", i,
		    sim_final_job_count(s), sim_job_count(s));
	CU_ASSERT_EQUAL(sim_final_job_count(s), sim_job_count(s));
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
}

/* Guards against orders that wait so long on a full link that they are given
 * up and given again: the repetitions filled the link, so that hardly any task
 * started, and it stayed so after the load had ended (users' rule LOST, small
 * twin of the large deployment, trouble-1: 488 jobs). */
static void
queue_drains_after_overload(void)
{
	static const struct {
		uint64_t seed;
		unsigned load_percent, link_kbps, latency_ms;
	} cases[] = {
	    {1, 150, 0, 0}, /* unlimited: the runners and the advice suffice */
	    {1, 250, 0, 0},
	    {1, 150, 0, 60}, /* far instances: late answers, but no overload */
	    {1, 150, 1000, 0},
	    {2, 150, 1000, 0},
	    {3, 150, 1000, 0},
	    {1, 150, 1000, 5},
	    {1, 150, 1000, 10},
	    {1, 250, 2000, 0},
	    {2, 250, 2000, 0},
	    {1, 250, 2000, 10},
	};
	struct sim_options o = small_links;
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.seed = cases[i].seed;
		o.link_kbps = cases[i].link_kbps;
		o.latency_ms = cases[i].latency_ms;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, LOAD_MS, cases[i].load_percent);
		check_drained(s, i);
		sim_free(s);
	}
}

/* Guards against the same while a link is slow for some seconds: it still
 * carries a part of the starts, and that part has to run. The link keeps three
 * tenths of its bandwidth, of which the load uses half; an eighth of the starts
 * is asked for. */
static void
starts_go_on_while_a_link_is_slow(void)
{
	static const struct {
		uint64_t seed;
		unsigned slow_kbps, slow_ms, starts_min_percent;
	} cases[] = {
	    {1, 600, 4000, 12},
	    {2, 600, 4000, 12},
	    {3, 600, 6000, 12},
	};
	struct sim_options o = small_links;
	unsigned before, during;
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.seed = cases[i].seed;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, cases[i].slow_ms, 100);
		before = sim_total_start_count(s);
		set_links(s, cases[i].slow_kbps);
		run_load(s, cases[i].slow_ms, 100);
		during = sim_total_start_count(s) - before;
		set_links(s, small_links.link_kbps);
		sim_run(s, FINISH_MS);
		if (during * 100 < before * cases[i].starts_min_percent)
			printf(
			    "\n  case %zu: %u starts before, %u while slow\n",
			    i, before, during);
		CU_ASSERT(during * 100 >= before * cases[i].starts_min_percent);
		CU_ASSERT_EQUAL(sim_final_job_count(s), sim_job_count(s));
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		sim_free(s);
	}
}

/* Guards against a leader whose processor is too slow for the load: events and
 * orders wait for it until they are out of date, and what is asked for, approved
 * and ordered again keeps it busy after the load has ended. */
static void
queue_drains_after_load_beyond_the_processor(void)
{
	static const struct {
		uint64_t seed;
		unsigned load_percent, processor_percent, latency_ms;
	} cases[] = {
	    {1, 50, 2, 0}, /* the processor suffices */
	    {1, 150, 2, 0},
	    {2, 150, 2, 0},
	    {1, 150, 2, 20},
	    {1, 250, 3, 0},
	};
	struct sim_options o = small_links;
	struct sim *s;
	size_t i;

	o.link_kbps = 0;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.seed = cases[i].seed;
		o.latency_ms = cases[i].latency_ms;
		o.processor_percent = cases[i].processor_percent;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, LOAD_MS, cases[i].load_percent);
		check_drained(s, i);
		sim_free(s);
	}
}

/* Guards against a leader that does not come back after its processor was slow
 * for some seconds (users' rule LOST, large deployment, scale-2: turns of up to
 * 0.9 s until the end of the day). */
static void
queue_drains_after_a_slow_processor(void)
{
	static const struct {
		uint64_t seed;
		unsigned load_percent, processor_percent, slow_percent, slow_ms;
	} cases[] = {
	    {1, 50, 2, 1, 4000},
	    {2, 50, 2, 1, 4000},
	    {1, 100, 3, 1, 4000},
	    {1, 120, 3, 1, 6000},
	};
	struct sim_options o = small_links;
	unsigned leader;
	struct sim *s;
	size_t i;

	o.link_kbps = 0;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.seed = cases[i].seed;
		o.processor_percent = cases[i].processor_percent;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, LOAD_AFTER_MS, cases[i].load_percent);
		leader = (unsigned)sim_leader(s);
		sim_core_set_processor(s, leader, cases[i].slow_percent);
		run_load(s, cases[i].slow_ms, cases[i].load_percent);
		sim_core_set_processor(s, leader, cases[i].processor_percent);
		run_load(s, LOAD_AFTER_MS, cases[i].load_percent);
		check_drained(s, i);
		sim_free(s);
	}
}

/* Guards against the same while the processor is slow: it still carries a part
 * of the starts, and that part has to run. It keeps two fifths of its speed; a
 * quarter of the starts is asked for. */
static void
starts_go_on_while_the_processor_is_slow(void)
{
	static const struct {
		uint64_t seed;
		unsigned starts_min_percent;
	} cases[] = {{1, 25}, {2, 25}};
	const unsigned percent = 5, slow_percent = 2, span_ms = 4000;
	struct sim_options o = small_links;
	unsigned before, during, leader;
	struct sim *s;
	size_t i;

	o.link_kbps = 0;
	o.processor_percent = percent;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.seed = cases[i].seed;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, span_ms, 200);
		before = sim_total_start_count(s);
		leader = (unsigned)sim_leader(s);
		sim_core_set_processor(s, leader, slow_percent);
		run_load(s, span_ms, 200);
		during = sim_total_start_count(s) - before;
		sim_core_set_processor(s, leader, percent);
		if (during * 100 < before * cases[i].starts_min_percent)
			printf(
			    "\n  case %zu: %u starts before, %u while slow\n",
			    i, before, during);
		CU_ASSERT(during * 100 >= before * cases[i].starts_min_percent);
		check_drained(s, i);
		sim_free(s);
	}
}

/* Guards against passes over a long queue that take most of the leader's time.
 * The runners are full, so that no limit of starts keeps the passes short: they
 * would follow each other without a pause. */
static void
passes_leave_time_for_orders(void)
{
	const unsigned task_ms = 8000, span_ms = 5000;
	const struct sim_options o = {.seed = 1,
	    .cores = CORES,
	    .runners = 400,
	    .cpu_milli = 8000,
	    .relays = true,
	    .processor_percent = 10};
	/* Each takes two runners, so that half of them wait. */
	const struct job_kind kind = {0, 2, 8000, task_ms, false};
	struct sim *const s = sim_new(&o);
	unsigned i, leader, passes_ms;

	sim_run(s, WARM_UP_MS);
	for (i = 0; i < o.runners; i++) {
		submit(s, &kind);
		sim_run(s, LOAD_STEP_MS / 4);
	}
	sim_run(s, WARM_UP_MS);
	leader = (unsigned)sim_leader(s);
	passes_ms = sim_dispatch_ms(s, leader);
	sim_run(s, span_ms);
	passes_ms = sim_dispatch_ms(s, leader) - passes_ms;
	CU_ASSERT(passes_ms >= span_ms / 4);
	CU_ASSERT(passes_ms <= span_ms / 3 + PASS_MS);
	sim_run(s, task_ms);
	check_drained(s, 0);
	sim_free(s);
}

/* Guards against the same where the leader sends its orders to the runners
 * itself: those that wait on its link end as lost, and stops, probes and new
 * starts fill the link. */
static void
direct_orders_drain_after_overload(void)
{
	static const struct {
		uint64_t seed;
		unsigned runners, load_percent, link_kbps, processor_percent,
		    latency_ms;
	} cases[] = {
	    {1, 10, 200, 0, 0, 0}, /* unlimited */
	    {1, 10, 200, 0, 0, 60},
	    {1, 10, 200, 1000, 0, 0},
	    {2, 10, 200, 1000, 0, 0},
	    {1, 10, 200, 1000, 0, 20},
	    {1, 10, 200, 1000, 0, 60},
	    {1, 40, 110, 0, 2, 0},
	    {2, 40, 110, 0, 2, 0},
	};
	struct sim_options o = few_runners;
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.seed = cases[i].seed;
		o.runners = cases[i].runners;
		o.cpu_milli = ALL_RUNNERS_CPU_MILLI / cases[i].runners;
		o.link_kbps = cases[i].link_kbps;
		o.processor_percent = cases[i].processor_percent;
		o.latency_ms = cases[i].latency_ms;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, LOAD_MS, cases[i].load_percent);
		check_drained(s, i);
		CU_ASSERT_EQUAL(sim_relayed_orders(s), 0);
		sim_free(s);
	}
}

static void
direct_orders_drain_after_a_slow_link(void)
{
	static const struct {
		uint64_t seed;
		unsigned load_percent, slow_kbps, slow_ms;
	} cases[] = {
	    {1, 150, 300, 4000},
	    {1, 170, 300, 6000},
	    {2, 170, 300, 6000},
	};
	struct sim_options o = few_runners;
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.seed = cases[i].seed;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, LOAD_AFTER_MS, cases[i].load_percent);
		set_links(s, cases[i].slow_kbps);
		run_load(s, cases[i].slow_ms, cases[i].load_percent);
		set_links(s, few_runners.link_kbps);
		run_load(s, LOAD_AFTER_MS, cases[i].load_percent);
		check_drained(s, i);
		sim_free(s);
	}
}

/* Number of accepted jobs that have not finished. */
static unsigned
count_unfinished(struct sim *s)
{
	const char *state;
	unsigned i, n = 0;
	char id[17];

	for (i = 0; i < sim_job_count(s); i++) {
		format_job_id(id, i);
		state = sim_state(s, id);
		n += sim_submit_status(s, id) == 200 &&
		    strcmp(state, "completed") != 0;
	}
	return n;
}

/* As check_drained(), for loads of which some jobs may be rejected. */
static void
check_accepted_finished(struct sim *s, size_t i)
{
	unsigned left;

	sim_run(s, FINISH_MS);
	left = count_unfinished(s);
	if (left > 0)
		printf("\n  case %zu: %u of %u jobs not finished\n", i, left,
		    sim_job_count(s));
	CU_ASSERT_EQUAL(left, 0);
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
}

/* Guards against the same after all instances have lost power while jobs wait:
 * the next leader reads them all, asks all runners for their lists, and the load
 * goes on (incident of the large deployment). */
static void
queue_drains_after_a_loss_of_power(void)
{
	static const struct {
		uint64_t seed;
		unsigned load_percent, link_kbps, processor_percent;
	} cases[] = {{1, 150, 0, 2}, {1, 250, 0, 3}, {1, 150, 1000, 0}};
	const unsigned before_ms = 8000, down_ms = 500, apart_ms = 50;
	struct sim_options o = small_links;
	struct sim *s;
	unsigned ci;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.seed = cases[i].seed;
		o.link_kbps = cases[i].link_kbps;
		o.processor_percent = cases[i].processor_percent;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, before_ms, cases[i].load_percent);
		for (ci = 0; ci < CORES; ci++)
			sim_kill(s, ci, down_ms + ci * apart_ms);
		run_load(s, LOAD_AFTER_MS, cases[i].load_percent);
		check_accepted_finished(s, i);
		sim_free(s);
	}
}

/* Guards against polls of runners that keep a link full after the reason has
 * gone: late answers were taken for lost ones, so that each runner was polled
 * and probed four times as often, each time through another relay, which is
 * told its address. No runner counted as reachable, and nothing started. */
static void
polls_leave_a_slow_link(void)
{
	static const struct {
		unsigned link_kbps, slow_kbps, slow_ms, load_percent;
	} cases[] = {
	    {700, 300, 6000, 60},
	    {650, 250, 6000, 60},
	    {600, 150, 8000, 60},
	    /* The polls after the election take more than this. */
	    {520, 520, 1000, 40},
	    {400, 400, 1000, 40},
	};
	struct sim_options o = small_links;
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.link_kbps = cases[i].link_kbps;
		s = sim_new(&o);
		sim_run(s, WARM_UP_MS);
		run_load(s, 4000, cases[i].load_percent);
		set_links(s, cases[i].slow_kbps);
		run_load(s, cases[i].slow_ms, cases[i].load_percent);
		set_links(s, cases[i].link_kbps);
		run_load(s, 4000, cases[i].load_percent);
		check_accepted_finished(s, i);
		sim_free(s);
	}
}

static const struct suite_test tests[] = {
    {"overload: polls leave a slow link", polls_leave_a_slow_link},
    {"overload: the queue drains afterwards", queue_drains_after_overload},
    {"overload: starts go on while a link is slow",
	starts_go_on_while_a_link_is_slow},
    {"overload: the queue drains after load beyond the processor",
	queue_drains_after_load_beyond_the_processor},
    {"overload: the queue drains after a slow processor",
	queue_drains_after_a_slow_processor},
    {"overload: starts go on while the processor is slow",
	starts_go_on_while_the_processor_is_slow},
    {"overload: passes leave time for orders", passes_leave_time_for_orders},
    {"overload: direct orders drain afterwards",
	direct_orders_drain_after_overload},
    {"overload: direct orders drain after a slow link",
	direct_orders_drain_after_a_slow_link},
    {"overload: the queue drains after a loss of power",
	queue_drains_after_a_loss_of_power},
};

int
main(void)
{
	return suite_run(
	    "wf_overload", tests, sizeof(tests) / sizeof(tests[0]));
}

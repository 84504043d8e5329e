/**
 * DOC: test_wf_restart
 *
 * Runners that start again under their id, in simulated time. Their registry
 * entry tells of it later, so that orders meant for the former process reach the
 * new one, and only the answers to holds say which process has given them.
 */

#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "wfsim.h"

#define JOB "00000000000000aa"
#define EARLIER_JOB "00000000000000bb"
#define RUNNERS 4
#define RUN_MS 3000
/* Longer than the lease of a hold, and the time that a listed runner is waited
 * for after it. */
#define LONG_RUN_MS 9000
/* The runners are unreachable for this long. */
#define AWAY_MS 600
/* Jobs are submitted between these times after the crash: the first starts meet
 * runners that are away, the last ones entries that are up to date. */
#define SUBMIT_FROM_MS 100
#define SUBMIT_UPTO_MS 1300
#define SUBMIT_STEP_MS 20
/* Interval of the holds, and a number that has no factor in common with it. */
#define HOLD_MS 1000
#define CRASH_STEP 37

/* What happens beside the restart, in ms after the crash; 0 for never. */
struct scenario {
	const char *name;
	bool gang;
	bool relays;
	unsigned leader_killed_ms;
	unsigned cut_off_ms;
	unsigned cut_off_for_ms;
	unsigned second_crash_ms;
	unsigned clock_back_ms;
	unsigned run_ms;
};

static void
at_time(struct sim *s, unsigned crashed_at, unsigned ms)
{
	const unsigned at = crashed_at + ms;

	if (sim_now_ms(s) < at)
		sim_run(s, at - sim_now_ms(s));
}

static void
crash_runners(struct sim *s, const struct scenario *sc)
{
	unsigned ri;

	for (ri = 0; ri < RUNNERS; ri++) {
		sim_runner_set_clock_back(s, ri, sc->clock_back_ms);
		sim_runner_crash_silently(s, ri, AWAY_MS);
	}
}

/* One runner stays, on which the tasks of the others could start. */
static void
cut_off_runners(struct sim *s, bool cut)
{
	unsigned ri;

	for (ri = 1; ri < RUNNERS; ri++)
		sim_runner_cut(s, ri, cut);
}

static void
disturb(struct sim *s, const struct scenario *sc, unsigned crashed_at)
{
	if (sc->second_crash_ms > 0) {
		at_time(s, crashed_at, sc->second_crash_ms);
		crash_runners(s, sc);
	}
	if (sc->leader_killed_ms > 0) {
		at_time(s, crashed_at, sc->leader_killed_ms);
		if (sim_leader(s) >= 0)
			sim_kill_process(s, (unsigned)sim_leader(s), 800);
	}
	if (sc->cut_off_ms > 0) {
		at_time(s, crashed_at, sc->cut_off_ms);
		cut_off_runners(s, true);
		sim_run(s, sc->cut_off_for_ms);
		cut_off_runners(s, false);
	}
}

static void
run_scenario(const struct scenario *sc, unsigned submit_ms)
{
	const struct sim_options o = {
	    .seed = 1,
	    .cores = 3,
	    .runners = RUNNERS,
	    .cpu_milli = 4000,
	    .relays = sc->relays,
	};
	struct sim *const s = sim_new(&o);
	struct wf_spec *const spec =
	    sim_new_spec(6, 1000, sc->run_ms > 0 ? sc->run_ms : RUN_MS);
	unsigned crashed_at;

	spec->steps[0].gang = sc->gang;
	sim_run(s, 1000);
	/* The former processes have ends that are acknowledged. */
	sim_submit(s, 0, EARLIER_JOB, sim_new_spec(12, 1000, 300));
	/* The crashes differ in the holds and entries that are under way. */
	sim_run(s, 2000 + submit_ms * CRASH_STEP % HOLD_MS);
	CU_ASSERT_STRING_EQUAL(sim_state(s, EARLIER_JOB), "completed");
	CU_ASSERT(sim_leader(s) >= 0);
	crashed_at = sim_now_ms(s);
	crash_runners(s, sc);
	at_time(s, crashed_at, submit_ms);
	sim_submit(s, (unsigned)(sim_leader(s) + 1) % 3, JOB, spec);
	disturb(s, sc, crashed_at);
	at_time(s, crashed_at, 60000);
	if (sim_violation_count(s) > 0)
		printf("\n%s, submitted after %u ms: %s\n", sc->name, submit_ms,
		    sim_first_violation(s));
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
	sim_free(s);
}

static void
run_scenarios(const struct scenario *list, size_t len)
{
	unsigned ms;
	size_t i;

	for (i = 0; i < len; i++) {
		for (ms = SUBMIT_FROM_MS; ms <= SUBMIT_UPTO_MS;
		     ms += SUBMIT_STEP_MS)
			run_scenario(&list[i], ms);
	}
}

/* Guards against a start that the new process has accepted and that the leader
 * counts as accepted by the former one: when it learnt of the restart, it started
 * the task a second time while it ran. */
static void
start_accepted_by_new_process(void)
{
	static const struct scenario list[] = {
	    {.name = "tasks"},
	    {.name = "gang", .gang = true},
	    {.name = "tasks through relays", .relays = true},
	    {.name = "gang through relays", .gang = true, .relays = true},
	};

	run_scenarios(list, sizeof(list) / sizeof(list[0]));
}

/* Guards against the same when the leader that has sent the start is killed
 * before, or after, it learns of the restart. */
static void
leader_killed_after_restart(void)
{
	static const struct scenario list[] = {
	    {.name = "killed at once", .leader_killed_ms = 720},
	    {.name = "killed later", .leader_killed_ms = 1500},
	    {.name = "gang", .gang = true, .leader_killed_ms = 900},
	    {.name = "relays", .relays = true, .leader_killed_ms = 900},
	};

	run_scenarios(list, sizeof(list) / sizeof(list[0]));
}

/* Guards against counting on a lease that is too short: a deadline on the clock
 * of the former process can be far ahead on that of the new one, whose runs then
 * go on for as long as a runner lets a lease last. */
static void
cut_off_after_restart(void)
{
	static const struct scenario list[] = {
	    {.name = "cut off", .cut_off_ms = 2000, .cut_off_for_ms = 15000},
	    {.name = "cut off before its entry tells",
		.cut_off_ms = 800,
		.cut_off_for_ms = 15000,
		.run_ms = LONG_RUN_MS},
	    {.name = "cut off, leader killed",
		.leader_killed_ms = 1700,
		.cut_off_ms = 2300,
		.cut_off_for_ms = 15000,
		.run_ms = LONG_RUN_MS},
	    {.name = "cut off, leader killed, earlier start time",
		.leader_killed_ms = 1700,
		.cut_off_ms = 2300,
		.cut_off_for_ms = 15000,
		.clock_back_ms = 60000,
		.run_ms = LONG_RUN_MS},
	};

	run_scenarios(list, sizeof(list) / sizeof(list[0]));
}

/* Guards against taking the order of start times for the order of processes: a
 * process that reads an earlier wall clock counted as the former one, whose ends
 * were acknowledged unread. */
static void
start_time_goes_back(void)
{
	static const struct scenario list[] = {
	    {.name = "earlier start time", .clock_back_ms = 60000},
	    {.name = "gang", .gang = true, .clock_back_ms = 60000},
	    {.name = "relays", .relays = true, .clock_back_ms = 60000},
	    {.name = "leader killed",
		.leader_killed_ms = 900,
		.clock_back_ms = 60000},
	};

	run_scenarios(list, sizeof(list) / sizeof(list[0]));
}

/* Guards against the same with a runner that starts twice within a second. */
static void
restarts_twice(void)
{
	static const struct scenario list[] = {
	    {.name = "twice", .second_crash_ms = 700},
	    {.name = "twice, later", .second_crash_ms = 1000},
	    {.name = "twice, gang", .gang = true, .second_crash_ms = 800},
	    {.name = "twice, relays", .relays = true, .second_crash_ms = 800},
	};

	run_scenarios(list, sizeof(list) / sizeof(list[0]));
}

/* Guards against placing tasks by the labels of the former process: a runner that
 * starts again as another kind got tasks that need the former one, until its
 * entry was written. */
static void
starts_again_as_another_kind(void)
{
	const struct sim_options o = {
	    .seed = 1, .cores = 3, .runners = RUNNERS, .cpu_milli = 4000};
	struct sim *const s = sim_new(&o);
	struct wf_spec *spec;
	unsigned ri;

	for (ri = 0; ri < RUNNERS; ri++)
		sim_runner_set_label(s, ri, "first");
	sim_run(s, 3000);
	for (ri = 1; ri < RUNNERS; ri++) {
		sim_runner_crash(s, ri, 300);
		sim_runner_set_label(s, ri, "second");
		sim_runner_cut_registry(s, ri, true);
	}
	/* The leader has spoken with the new processes by then. */
	sim_run(s, 2500);
	spec = sim_new_spec(12, 1000, 300);
	agb_str_copy(
	    spec->steps[0].label, sizeof(spec->steps[0].label), "first");
	sim_submit(s, 0, JOB, spec);
	sim_run(s, 1000);
	for (ri = 1; ri < RUNNERS; ri++)
		sim_runner_cut_registry(s, ri, false);
	sim_run(s, 5000);
	if (sim_violation_count(s) > 0)
		printf("\n%s\n", sim_first_violation(s));
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
	sim_free(s);
}

/* Guards against taking an entry of the former process for one of a later process:
 * the new one, whose start time is earlier, cannot write its entry, and is cut off
 * from the leader while the former entry is delivered again. Its tasks were
 * started elsewhere at once. */
static void
entry_of_former_process(void)
{
	const struct sim_options o = {
	    .seed = 1, .cores = 3, .runners = RUNNERS, .cpu_milli = 4000};
	struct sim *s;
	unsigned ri, ms, crashed_at;

	for (ms = SUBMIT_FROM_MS; ms <= SUBMIT_UPTO_MS; ms += SUBMIT_STEP_MS) {
		s = sim_new(&o);
		sim_run(s, 3000 + ms * CRASH_STEP % HOLD_MS);
		crashed_at = sim_now_ms(s);
		for (ri = 0; ri < RUNNERS; ri++) {
			sim_runner_set_clock_back(s, ri, 60000);
			sim_runner_cut_registry(s, ri, ri > 0);
			sim_runner_crash_silently(s, ri, AWAY_MS);
		}
		at_time(s, crashed_at, ms);
		sim_submit(s, (unsigned)(sim_leader(s) + 1) % 3, JOB,
		    sim_new_spec(6, 1000, LONG_RUN_MS));
		at_time(s, crashed_at, 1500);
		cut_off_runners(s, true);
		at_time(s, crashed_at, 12000);
		cut_off_runners(s, false);
		for (ri = 1; ri < RUNNERS; ri++)
			sim_runner_cut_registry(s, ri, false);
		at_time(s, crashed_at, 60000);
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		sim_free(s);
	}
}

/* Guards against a runner that stays unusable as its entry is taken for one of a
 * former process: it comes back at another address, or after it has drained, with
 * an earlier start time. */
static void
comes_back_elsewhere(void)
{
	static const struct {
		bool drains, moves;
		unsigned clock_back_ms;
	} cases[] = {
	    {false, true, 0},
	    {false, true, 60000},
	    {true, false, 60000},
	    {true, true, 60000},
	};
	const struct sim_options o = {
	    .seed = 1, .cores = 3, .runners = 1, .cpu_milli = 4000};
	struct sim *s;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		s = sim_new(&o);
		sim_run(s, 3000);
		sim_runner_set_clock_back(s, 0, cases[i].clock_back_ms);
		if (cases[i].drains)
			sim_runner_drain(s, 0, 1000);
		else
			sim_runner_crash_silently(s, 0, AWAY_MS);
		if (cases[i].moves)
			sim_runner_set_addr(s, 0, "10.9.0.1:1");
		/* A drained runner is back 3 s after it has left. */
		sim_run(s, 4500);
		sim_submit(s, 0, JOB, sim_new_spec(2, 1000, 300));
		/* Target: as soon as at a runner that has not moved. */
		sim_run(s, 2000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		sim_free(s);
	}
}

/* Guards against a gang some of whose members start and wait in vain: a runner
 * restarts while the intents are written, and only its own members returned to
 * the queue. */
static void
restarts_before_the_starts(void)
{
	const struct sim_options o = {
	    .seed = 1, .cores = 3, .runners = RUNNERS, .cpu_milli = 2000};
	struct wf_spec *spec;
	struct sim *s;
	unsigned ms, ci;

	for (ms = 2; ms <= 80; ms += 2) {
		s = sim_new(&o);
		spec = sim_new_spec(8, 1000, 300);
		spec->steps[0].gang = true;
		sim_run(s, 3000);
		ci = (unsigned)sim_leader(s);
		sim_submit(s, (ci + 1) % 3, JOB, spec);
		sim_run(s, ms);
		sim_set_core_store_mode(s, ci, SIM_STORE_REFUSES);
		sim_runner_crash(s, 1, 60);
		sim_run(s, 700);
		sim_set_core_store_mode(s, ci, SIM_STORE_UP);
		sim_run(s, 10000);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		CU_ASSERT_EQUAL(sim_gang_timeouts(s), 0);
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		sim_free(s);
	}
}

static const struct suite_test tests[] = {
    {"start is accepted by the new process", start_accepted_by_new_process},
    {"leader is killed after the restart", leader_killed_after_restart},
    {"runner is cut off after the restart", cut_off_after_restart},
    {"start time goes back", start_time_goes_back},
    {"runner restarts twice", restarts_twice},
    {"runner starts again as another kind", starts_again_as_another_kind},
    {"entry of the former process", entry_of_former_process},
    {"runner comes back elsewhere", comes_back_elsewhere},
    {"runner restarts before the starts", restarts_before_the_starts},
};

int
main(void)
{
	return suite_run("wf_restart", tests, sizeof(tests) / sizeof(tests[0]));
}

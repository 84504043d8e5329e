/**
 * DOC: test_wf_takeover
 *
 * Changes of leader at moments at which the former leader knew something that no
 * runner tells the next one, in simulated time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "wf_table.h"
#include "wfsim.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define JOB "00000000000000aa"
#define CORES 3
#define RUNNERS 4
#define RUN_MS 1500
#define MAX_ATTEMPTS 2
/* A runner is cut off from shortly before its run ends until the next leader has
 * read the ends of the other runs. */
#define CUT_BEFORE_MS 300
#define CUT_AFTER_MS 2700
/* The second run is at work then. */
#define SECOND_RUN_MS 3600
#define END_MS 40000
#define RANDOM_RUNS 100
/* An election, the time that members wait for each other, the longest lease, and
 * two runs. */
#define GANG_RESTART_MS (3000 + 3000 + 10000 + 2 * RUN_MS)

enum change {
	NO_CHANGE,
	KILLED,
	TERMINATED,
};

/**
 * struct attempts_case - a job some of whose runs fail
 * @times: occurrences of a timed job; 0 for a job without times
 * @failing: runs up to this number fail; 0 for the first one only
 * @change: what happens to the leader, @change_ms after the first ends
 * @earlier_record: the next leader reads a record as earlier versions write it
 * @state: of the job at the end; NULL for completed
 * @starts: of all its tasks and occurrences together
 */
struct attempts_case {
	const char *name;
	const char *state;
	uint32_t width;
	uint32_t times;
	unsigned failing;
	enum change change;
	unsigned change_ms;
	unsigned starts;
	bool gang;
	bool relays;
	bool earlier_record;
};

static const struct attempts_case attempts_cases[] = {
    {.name = "gang of two, leader killed",
	.gang = true,
	.width = 2,
	.change = KILLED,
	.change_ms = 600,
	.starts = 4},
    {.name = "gang of two, leader terminated",
	.gang = true,
	.width = 2,
	.change = TERMINATED,
	.change_ms = 600,
	.starts = 4},
    {.name = "gang of three, leader killed",
	.gang = true,
	.width = 3,
	.change = KILLED,
	.change_ms = 600,
	.starts = 6},
    {.name = "gang of three, leader killed before the first end is stored",
	.gang = true,
	.width = 3,
	.change = KILLED,
	.change_ms = 5,
	.starts = 6},
    {.name = "gang of three, the next leader counts the rest",
	.gang = true,
	.width = 3,
	.change = KILLED,
	.change_ms = 20,
	.starts = 6},
    {.name = "gang of three through relays",
	.gang = true,
	.width = 3,
	.relays = true,
	.change = KILLED,
	.change_ms = 600,
	.starts = 6},
    {.name = "timed gang, both occurrences fail once",
	.gang = true,
	.width = 2,
	.times = 2,
	.change = KILLED,
	.change_ms = 600,
	.starts = 8},
    {.name = "single tasks",
	.width = 3,
	.change = KILLED,
	.change_ms = 600,
	.starts = 6},
    {.name = "gang without a change of leader",
	.gang = true,
	.width = 2,
	.starts = 4},
    {.name = "gang of three, record of an earlier version",
	.gang = true,
	.width = 3,
	.change = KILLED,
	.change_ms = 600,
	.earlier_record = true,
	.starts = 6},
    /* The second failure counts all the same. */
    {.name = "gang that always fails",
	.gang = true,
	.width = 2,
	.failing = 9,
	.change = KILLED,
	.change_ms = 600,
	.state = "failed",
	.starts = 4},
    {.name = "gang that always fails, leader killed in the second run",
	.gang = true,
	.width = 2,
	.failing = 9,
	.change = KILLED,
	.change_ms = SECOND_RUN_MS,
	.state = "failed",
	.starts = 4},
    {.name = "gang that always fails, record of an earlier version",
	.gang = true,
	.width = 2,
	.failing = 9,
	.change = KILLED,
	.change_ms = SECOND_RUN_MS,
	.earlier_record = true,
	.state = "failed",
	.starts = 4},
    {.name = "single task that always fails",
	.width = 1,
	.failing = 9,
	.change = KILLED,
	.change_ms = 600,
	.state = "failed",
	.starts = 2},
};

/* Removes from the record what earlier versions do not know. */
static void
shorten_record(struct sim *s)
{
	struct wf_x_state x;
	size_t len;
	char *const raw = sim_state_record(s, JOB, &len);

	CU_ASSERT_FATAL(wf_table_decode_state(raw, len, &x));
	len = xdr_sizeof((xdrproc_t)xdr_wf_x_state, &x);
	sim_set_state_record(s, JOB, raw, len);
	xdr_free((xdrproc_t)xdr_wf_x_state, (char *)&x);
	free(raw);
}

static void
change_leader(struct sim *s, enum change change)
{
	const int leader = sim_leader(s);

	CU_ASSERT(leader >= 0);
	if (leader < 0)
		return;
	if (change == KILLED)
		sim_kill_process(s, (unsigned)leader, 800);
	else
		sim_sigterm(s, (unsigned)leader);
}

static struct wf_spec *
new_spec(const struct attempts_case *c)
{
	struct wf_spec *const spec = sim_new_spec(c->width, 3000, RUN_MS);

	spec->steps[0].gang = c->gang;
	if (c->times > 0) {
		spec->repeat_count = c->times;
		spec->start_at_ms = 1;
		spec->period_ms = 1;
	}
	return spec;
}

/* Runs until the first tasks are about to end, and cuts one of their runners
 * off. Single tasks that fail do so at their start. */
static unsigned
cut_before_ends(struct sim *s, const struct attempts_case *c)
{
	const unsigned first_starts =
	    c->times > 0 ? c->width * c->times : c->width;
	unsigned ri, limit = 4000;

	while (sim_start_count(s, JOB) < first_starts && limit-- > 0)
		sim_run(s, 1);
	ri = sim_runner_of(s, JOB);
	CU_ASSERT_FATAL(ri != UINT32_MAX);
	if (c->gang)
		sim_run(s, RUN_MS - CUT_BEFORE_MS);
	sim_runner_cut(s, ri, true);
	if (c->gang)
		sim_run(s, CUT_BEFORE_MS);
	return ri;
}

static void
run_until(struct sim *s, unsigned at)
{
	if (sim_now_ms(s) < at)
		sim_run(s, at - sim_now_ms(s));
}

static void
disturb(struct sim *s, const struct attempts_case *c)
{
	const unsigned cut = cut_before_ends(s, c);
	const unsigned ended_at = sim_now_ms(s);

	if (c->change_ms >= CUT_AFTER_MS) {
		run_until(s, ended_at + CUT_AFTER_MS);
		sim_runner_cut(s, cut, false);
	}
	run_until(s, ended_at + c->change_ms);
	if (c->change != NO_CHANGE)
		change_leader(s, c->change);
	if (c->earlier_record)
		shorten_record(s);
	run_until(s, ended_at + CUT_AFTER_MS);
	sim_runner_cut(s, cut, false);
}

/* Guards against a run that counts as failed once more after a change of leader:
 * a job was shown as failed after one failed run of its gang, where its queue
 * allows two. */
static void
failed_run_counts_once(void)
{
	size_t i;

	for (i = 0; i < LEN(attempts_cases); i++) {
		const struct attempts_case *const c = &attempts_cases[i];
		const char *const state =
		    c->state != NULL ? c->state : "completed";
		const struct sim_options o = {
		    .seed = 1,
		    .cores = CORES,
		    .runners = RUNNERS,
		    .cpu_milli = c->times > 0 ? 6000 : 4000,
		    .max_attempts = MAX_ATTEMPTS,
		    .relays = c->relays,
		};
		struct sim *const s = sim_new(&o);

		sim_run(s, 2000);
		sim_submit(s, 0, JOB, new_spec(c));
		sim_fail_runs(s, JOB, c->failing > 0 ? c->failing : 1);
		disturb(s, c);
		sim_run(s, END_MS);
		if (strcmp(sim_state(s, JOB), state) != 0 ||
		    sim_start_count(s, JOB) != c->starts)
			printf("\n%s: %s after %u starts\n", c->name,
			    sim_state(s, JOB), sim_start_count(s, JOB));
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), state);
		CU_ASSERT_EQUAL(sim_start_count(s, JOB), c->starts);
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		sim_free(s);
	}
}

/* Guards against a gang that waits for good after a change of leader for a member
 * that the former leader was about to place again: its other members wait for it
 * at their runners, and the next leader starts none to join them. */
static void
incomplete_gang_starts_again(void)
{
	static const unsigned change_ms[] = {20, 200, 600, 1500};
	const struct sim_options o = {
	    .seed = 1, .cores = CORES, .runners = RUNNERS, .cpu_milli = 4000};
	struct wf_spec *spec;
	struct sim *s;
	size_t i;

	for (i = 0; i < LEN(change_ms); i++) {
		s = sim_new(&o);
		sim_run(s, 2000);
		spec = sim_new_spec(RUNNERS, 3000, RUN_MS);
		spec->steps[0].gang = true;
		sim_runner_ignore_starts(s, 0, true);
		sim_submit(s, 0, JOB, spec);
		sim_run(s, change_ms[i]);
		change_leader(s, KILLED);
		sim_runner_ignore_starts(s, 0, false);
		sim_run(s, GANG_RESTART_MS);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		sim_free(s);
	}
}

/* Guards against failures that count twice in random runs in which whole gangs
 * fail beside faults of leaders, runners and links. */
static void
random_runs_with_failing_gangs(void)
{
	unsigned seed;

	for (seed = 0; seed < RANDOM_RUNS; seed++)
		CU_ASSERT_EQUAL(
		    sim_run_seed(SIM_FIRST_GANG_SEED + seed, stdout), 0);
}

static const struct suite_test tests[] = {
    {"a failed run counts once", failed_run_counts_once},
    {"an incomplete gang starts again", incomplete_gang_starts_again},
    {"random runs with failing gangs", random_runs_with_failing_gangs},
};

int
main(void)
{
	return suite_run("wf_takeover", tests, LEN(tests));
}

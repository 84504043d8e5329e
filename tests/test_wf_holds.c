/**
 * DOC: test_wf_holds
 *
 * Room that is kept free for work which has to wait, in simulated time: what it
 * waits for may come late or never, and other work must go on meanwhile.
 */

#include <stdio.h>
#include <string.h>

#include "mem.h"
#include "suite.h"
#include "wfsim.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define OBSTACLE "00000000000000aa"
#define LARGE "00000000000000bb"
#define RUNNERS 12
#define RUNNER_CPU 16000
#define LIMIT_CPU 12000
#define SETTLE_MS 2000
/* Work of an account that uses less than half of its limit must not wait longer
 * while there is room. */
#define WAIT_MAX_MS 3000
#define LOAD_MS 60000
#define FOR_GOOD_MS 150000
#define RANDOM_RUNS 30

/* Jobs of one task that come at an interval. */
struct stream {
	unsigned every_ms;
	uint32_t cpu;
	uint32_t run_ms;
};

/**
 * struct job_shape - a job
 * @cpu: of each of its tasks, @count of them
 * @estimate_ms: what its submission says
 * @run_ms: how long its tasks really run; 0 for as long as estimated
 */
struct job_shape {
	uint32_t count;
	uint32_t cpu;
	uint32_t estimate_ms;
	unsigned run_ms;
	bool long_running;
	bool gang;
	const char *label;
};

/**
 * struct hold_case - work that waits beside a steady stream of others
 * @obstacle: starts first
 * @large: comes SETTLE_MS later, or @large_at_ms after that, and waits
 * @lower_cpu: limit of the account from then on; 0 for LIMIT_CPU
 * @small: the stream that must go on; each of its jobs starts within WAIT_MAX_MS
 * @other: a stream beside it that uses up the limit, so that waits are not judged
 * @change_every_ms: the leader is killed at this interval; 0 for never
 * @large_by_ms: the large job starts within this time; 0 when it need not
 */
struct hold_case {
	const char *name;
	struct job_shape obstacle;
	struct job_shape large;
	unsigned large_at_ms;
	int64_t lower_cpu;
	const struct stream *small;
	const struct stream *other;
	unsigned change_every_ms;
	unsigned large_by_ms;
};

/* Large jobs come first, and are late only after minutes; other jobs are late at
 * once. */
enum queue_index {
	LARGE_JOBS,
	OTHER_JOBS,
	QUEUES,
};

static const struct sim_queue queues[QUEUES] = {
    [LARGE_JOBS] = {"large", 0, 120000, 2, 0, 0, 0},
    [OTHER_JOBS] = {"other", 2, 400, 2, 0, 0, 0},
};

static const struct stream small_jobs = {1000, 250, 300};
static const struct stream medium_jobs = {1000, 1000, 2000};
static const struct stream large_jobs = {1000, 4000, 2500};
static const struct stream steady_jobs = {1000, 2000, 4000};
static const struct stream long_jobs = {2000, 4000, 7000};

static const struct hold_case limit_cases[] = {
    {.name = "behind a task that lasts",
	.obstacle = {1, 2000, 1000, .long_running = true},
	.large = {1, 11000, 3000},
	.small = &small_jobs},
    {.name = "behind a task that lasts and uses over half of the limit",
	.obstacle = {1, 7000, 1000, .long_running = true},
	.large = {1, 11000, 3000},
	.small = &small_jobs},
    {.name = "behind a long run",
	.obstacle = {1, 2000, FOR_GOOD_MS},
	.large = {1, 11000, 3000},
	.small = &small_jobs},
    {.name = "behind a run that is long overdue",
	.obstacle = {1, 2000, 1000, .run_ms = FOR_GOOD_MS},
	.large = {1, 11000, 3000},
	.small = &small_jobs},
    {.name = "behind an overdue run that uses over half of the limit",
	.obstacle = {1, 7000, 1000, .run_ms = FOR_GOOD_MS},
	.large = {1, 11000, 3000},
	.small = &small_jobs},
    {.name = "gang behind a task that lasts",
	.obstacle = {1, 2000, 1000, .long_running = true},
	.large = {11, 1000, 3000, .gang = true},
	.small = &small_jobs},
    {.name = "the limit falls below it",
	.obstacle = {1, 2000, 1000},
	.large = {1, 14000, 3000},
	.lower_cpu = LIMIT_CPU,
	.small = &small_jobs},
    {.name = "behind a run that ends",
	.obstacle = {1, 2000, 20000},
	.large = {1, 11000, 3000},
	.small = &small_jobs,
	.large_by_ms = 20000},
    {.name = "beside a steady stream",
	.obstacle = {1, 2000, 1000},
	.large = {1, 11000, 3000},
	.large_at_ms = 10000,
	.small = &small_jobs,
	.other = &large_jobs,
	.large_by_ms = 40000},
    {.name = "beside a steady stream of longer runs",
	.obstacle = {1, 2000, 1000},
	.large = {1, 11000, 3000},
	.large_at_ms = 10000,
	.small = &small_jobs,
	.other = &long_jobs,
	.large_by_ms = 45000},
};

/* Large jobs that no runner can take. */
static const struct hold_case unplaceable_cases[] = {
    {.name = "label that no runner has",
	.obstacle = {1, 2000, 1000},
	.large = {1, 11000, 3000, .label = "x"},
	.large_at_ms = 10000,
	.small = &steady_jobs},
    {.name = "gang for a label that no runner has",
	.obstacle = {1, 2000, 1000},
	.large = {11, 1000, 3000, .gang = true, .label = "x"},
	.large_at_ms = 10000,
	.small = &steady_jobs},
    {.name = "a runner could take it",
	.obstacle = {1, 2000, 1000},
	.large = {1, 11000, 3000},
	.large_at_ms = 10000,
	.small = &small_jobs,
	.other = &steady_jobs,
	.large_by_ms = 40000},
};

/* Work that waits for longer than any leader leads. */
static const struct hold_case takeover_cases[] = {
    {.name = "the leader changes every 20 s",
	.obstacle = {1, 2000, 1000},
	.large = {1, 11000, 3000},
	.large_at_ms = 2000,
	.small = &small_jobs,
	.other = &steady_jobs,
	.change_every_ms = 20000,
	.large_by_ms = 50000},
};

/* Gangs that want all runners; the account has no limit. */
static const struct hold_case room_cases[] = {
    {.name = "gang behind a task that lasts",
	.obstacle = {1, 2000, 1000, .long_running = true},
	.large = {RUNNERS, RUNNER_CPU, 3000, .gang = true},
	.small = &medium_jobs},
    {.name = "gang behind a long run",
	.obstacle = {1, 2000, FOR_GOOD_MS},
	.large = {RUNNERS, RUNNER_CPU, 3000, .gang = true},
	.small = &medium_jobs},
    {.name = "gang behind a run that is long overdue",
	.obstacle = {1, 2000, 1000, .run_ms = FOR_GOOD_MS},
	.large = {RUNNERS, RUNNER_CPU, 3000, .gang = true},
	.small = &medium_jobs},
    {.name = "gang behind a run that ends",
	.obstacle = {1, 2000, 10000},
	.large = {RUNNERS, RUNNER_CPU, 1000, .gang = true},
	.small = &small_jobs,
	.large_by_ms = 12000},
    {.name = "gang wider than all runners",
	.obstacle = {1, 2000, 1000},
	.large = {RUNNERS + 1, RUNNER_CPU, 3000, .gang = true},
	.small = &medium_jobs},
    {.name = "gang for a label that no runner has",
	.obstacle = {1, 2000, 1000},
	.large = {RUNNERS, RUNNER_CPU, 3000, .gang = true, .label = "x"},
	.small = &medium_jobs},
};

static void
submit(struct sim *s, const char *id, const struct job_shape *j,
    enum queue_index queue)
{
	struct wf_spec *const spec =
	    sim_new_spec(j->count, j->cpu, j->estimate_ms);
	struct wf_step *const step = &spec->steps[0];

	agb_str_copy(spec->account, sizeof(spec->account), "a");
	step->long_running = j->long_running;
	step->gang = j->gang;
	if (j->label != NULL)
		agb_str_copy(step->label, sizeof(step->label), j->label);
	sim_submit_to(s, 0, queue, id, spec);
	if (j->long_running)
		sim_set_run_time(s, id, FOR_GOOD_MS);
	else if (j->run_ms > 0)
		sim_set_run_time(s, id, j->run_ms);
}

static void
make_id(char *dst, size_t len, char stream, unsigned at_ms)
{
	snprintf(dst, len, "%07x%c%08x", 1, stream, at_ms);
}

static void
submit_from(struct sim *s, char name, const struct stream *x, unsigned at_ms)
{
	struct job_shape j = {.count = 1};
	char id[17];

	if (x == NULL || at_ms % x->every_ms != 0)
		return;
	j.cpu = x->cpu;
	j.estimate_ms = x->run_ms;
	make_id(id, sizeof(id), name, at_ms);
	submit(s, id, &j, OTHER_JOBS);
}

/* Time from the submission of the jobs of a stream to their starts, the longest
 * of all. */
static unsigned
longest_wait(struct sim *s, char name, const struct stream *x, unsigned from)
{
	unsigned at_ms, started, wait, longest = 0;
	char id[17];

	for (at_ms = 0; at_ms < LOAD_MS; at_ms += x->every_ms) {
		make_id(id, sizeof(id), name, at_ms);
		started = sim_started_at_ms(s, id);
		wait = (started > 0 ? started : sim_now_ms(s)) - from - at_ms;
		longest = wait > longest ? wait : longest;
	}
	return longest;
}

static void
run_load(struct sim *s, const struct hold_case *c)
{
	const unsigned step_ms = 500;
	unsigned at_ms;

	for (at_ms = 0; at_ms < LOAD_MS; at_ms += step_ms) {
		if (at_ms == c->large_at_ms)
			submit(s, LARGE, &c->large, LARGE_JOBS);
		submit_from(s, 'a', c->small, at_ms);
		submit_from(s, 'b', c->other, at_ms);
		if (c->change_every_ms > 0 && at_ms > 0 &&
		    at_ms % c->change_every_ms == 0 && sim_leader(s) >= 0)
			sim_kill_process(s, (unsigned)sim_leader(s), 800);
		sim_run(s, step_ms);
	}
}

static void
check_case(struct sim *s, const struct hold_case *c)
{
	unsigned from, wait, large;

	sim_run(s, SETTLE_MS);
	submit(s, OBSTACLE, &c->obstacle, OTHER_JOBS);
	sim_run(s, SETTLE_MS);
	if (c->lower_cpu > 0)
		sim_set_account(
		    s, 0, (struct agb_resources){.cpu_milli = c->lower_cpu});
	from = sim_now_ms(s);
	run_load(s, c);
	sim_run(s, WAIT_MAX_MS);
	wait = longest_wait(s, 'a', c->small, from);
	large = sim_started_at_ms(s, LARGE);
	printf("\n%s: small jobs wait %u ms at most, the large one %d", c->name,
	    wait, large > 0 ? (int)(large - from - c->large_at_ms) : -1);
	CU_ASSERT(wait < WAIT_MAX_MS || c->other != NULL);
	if (c->large_by_ms > 0)
		CU_ASSERT(large > 0 &&
		    large - from < c->large_at_ms + c->large_by_ms);
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
}

static void
check_cases(const struct hold_case *list, size_t len, int64_t limit_cpu)
{
	static const struct wf_account account = {
	    .name = "a", .weight = 1, .limit = {.cpu_milli = 24000}};
	const struct sim_options o = {
	    .seed = 1,
	    .cores = 3,
	    .runners = RUNNERS,
	    .cpu_milli = RUNNER_CPU,
	    .queues = queues,
	    .queues_len = QUEUES,
	    .accounts = &account,
	    .accounts_len = limit_cpu > 0 ? 1 : 0,
	};
	struct sim *s;
	size_t i;

	for (i = 0; i < len; i++) {
		s = sim_new(&o);
		sim_run(s, 500);
		if (limit_cpu > 0 && list[i].lower_cpu == 0)
			sim_set_account(s, 0,
			    (struct agb_resources){.cpu_milli = limit_cpu});
		check_case(s, &list[i]);
		sim_free(s);
	}
}

/* Guards against the rest of a limit that is kept free for work which cannot
 * start for long or ever: 25 of 54 small jobs of an account waited for good
 * behind a job that its limit kept out beside a task that lasts. */
static void
limit_is_not_held_for_good(void)
{
	check_cases(limit_cases, LEN(limit_cases), LIMIT_CPU);
}

/* Guards against the rest of a limit that is kept free for work which no runner can
 * take: other jobs of its account would wait again and again. */
static void
limit_is_not_held_for_unplaceable_work(void)
{
	check_cases(unplaceable_cases, LEN(unplaceable_cases), LIMIT_CPU);
}

/* Guards against a wait that begins anew with each leader: work that a limit keeps
 * out would never be put before the other work of its account. */
static void
waits_go_on_over_changes_of_leader(void)
{
	check_cases(takeover_cases, LEN(takeover_cases), LIMIT_CPU);
}

/* Guards against runners that are kept free for a gang which cannot start for
 * long or ever: one run that was long overdue kept all runners idle. */
static void
runners_are_not_reserved_for_good(void)
{
	check_cases(room_cases, LEN(room_cases), 0);
}

/* Guards against the same in random runs of accounts, with and without leaders
 * that are killed. */
static void
random_runs_with_accounts(void)
{
	unsigned seed;

	for (seed = 0; seed < RANDOM_RUNS; seed++)
		CU_ASSERT_EQUAL(
		    sim_run_seed(SIM_FIRST_ACCOUNT_SEED + seed, stdout), 0);
}

static const struct suite_test tests[] = {
    {"the rest of a limit is not held for good", limit_is_not_held_for_good},
    {"a limit is not held for work that no runner can take",
	limit_is_not_held_for_unplaceable_work},
    {"waits go on over changes of leader", waits_go_on_over_changes_of_leader},
    {"runners are not reserved for good", runners_are_not_reserved_for_good},
    {"random runs with accounts", random_runs_with_accounts},
};

int
main(void)
{
	return suite_run("wf_holds", tests, LEN(tests));
}

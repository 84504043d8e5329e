/**
 * DOC: test_wf_account_sim
 *
 * Limits and shares of client accounts in simulated time. The simulation
 * reports each start that brings an account above its limit.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "suite.h"
#include "wf_fleet_internal.h"
#include "wfsim/world.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

#define SETTLE_MS 1000

static void
make_id(char *dst, unsigned account, unsigned number)
{
	snprintf(dst, WF_JOB_ID_LEN, "%08x%08x", account + 1, number);
}

static void
submit(struct sim *s, const char *account, const char *id, uint32_t tasks,
    uint32_t cpu, uint32_t ms, bool gang)
{
	struct wf_spec *const spec = sim_new_spec(tasks, cpu, ms);

	agb_str_copy(spec->account, sizeof(spec->account), account);
	spec->steps[0].gang = gang;
	sim_submit(s, 0, id, spec);
}

static void
check_no_violation(struct sim *s)
{
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	if (sim_violation_count(s) > 0)
		printf("\n  %s\n", sim_first_violation(s));
}

static int64_t
used_cores(const struct sim *s, const char *account)
{
	return sim_account_used(s, account).cpu_milli / 1000;
}

static const struct wf_account limited[] = {
    {.name = "a", .weight = 1, .limit = {.cpu_milli = 10000}},
    {.name = "b", .weight = 1},
};

static const struct sim_options small_fleet = {
    .seed = 1,
    .cores = 3,
    .runners = 8,
    .cpu_milli = 8000,
    .accounts = limited,
    .accounts_len = LEN(limited),
};

/* ---- usage at a leader ---- */

#define TASKS 3

static struct wf_exec *
add_job(struct wf_leader *l, struct wf_table *t, const struct wf_now *now,
    const char *id, const char *account, struct wf_effects *out)
{
	struct wf_spec *const spec = sim_new_spec(TASKS, 1000, 500);
	struct wf_job *j;

	agb_str_copy(spec->queue, sizeof(spec->queue), "q");
	agb_str_copy(spec->account, sizeof(spec->account), account);
	spec->steps[0].best_effort = true;
	j = wf_table_put_spec(t, id, 1, spec);
	j->exec = wf_exec_new(l, now, j, out);
	return j->exec;
}

static int64_t
use_of(const struct wf_leader *l, const char *name)
{
	struct wf_account_use *a;

	HASH_FIND_STR(l->accounts.by_name, name, a);
	return a != NULL ? a->used.cpu_milli : -1;
}

/* Best-effort tasks, which reserve no processors at their runner, and orphan
 * runs of two jobs. Guards against usage that is counted twice or not at all
 * when runs begin and end, and against accounts that stay in the table. */
static void
runs_at_runners_count(void)
{
	const struct wf_now now = {.mono = 10 * AGB_SEC, .unix_ms = 10000};
	const struct wf_config cfg = {.memory_mb = 0};
	struct wf_doc *const doc = agb_xcalloc(1, sizeof(*doc));
	struct wf_active_run run = {.run = 7};
	struct wf_effects out = {0};
	struct wf_table table = {0};
	struct wf_meter meter;
	struct wf_leader *l;
	struct wf_exec *e;
	uint32_t ri, i;

	wf_meter_init(&meter, NULL, NULL);
	l = wf_leader_new(1, &cfg, &meter, &table, doc, &now, &out);
	ri = wf_fleet_find_or_add(l, "r", now.mono);
	e = add_job(l, &table, &now, "00000000000000aa", "a", &out);
	(void)add_job(l, &table, &now, "00000000000000bb", "", &out);
	CU_ASSERT_EQUAL(use_of(l, "a"), 0);
	for (i = 0; i < TASKS; i++)
		wf_task_assign(l, &now, &e->open[0].units[0],
		    wf_unit_task(&e->open[0].units[0], i), ri, 1);
	CU_ASSERT_EQUAL(use_of(l, "a"), 3000);
	wf_task_release(
	    l, &e->open[0].units[0], wf_unit_task(&e->open[0].units[0], 0));
	wf_task_release(
	    l, &e->open[0].units[0], wf_unit_task(&e->open[0].units[0], 0));
	CU_ASSERT_EQUAL(use_of(l, "a"), 2000);
	agb_str_copy(run.task.job, sizeof(run.task.job), "00000000000000aa");
	wf_fleet_stop_orphan_run(l, &now, ri, &run, &out);
	wf_fleet_stop_orphan_run(l, &now, ri, &run, &out);
	CU_ASSERT_EQUAL(use_of(l, "a"), 3000);
	agb_str_copy(run.task.job, sizeof(run.task.job), "00000000000000bb");
	wf_fleet_stop_orphan_run(l, &now, ri, &run, &out);
	CU_ASSERT_EQUAL(use_of(l, ""), 1000);
	/* A job that is not known. */
	agb_str_copy(run.task.job, sizeof(run.task.job), "00000000000000cc");
	wf_fleet_stop_orphan_run(l, &now, ri, &run, &out);
	CU_ASSERT_EQUAL(use_of(l, "a") + use_of(l, ""), 4000);
	/* The run of a job that is over still counts. */
	wf_exec_free(l, e);
	CU_ASSERT_EQUAL(use_of(l, "a"), 1000);
	l->runners[ri].orphan_runs[0].seen = false;
	wf_fleet_remove_unlisted_orphan_runs(l, &l->runners[ri]);
	CU_ASSERT_EQUAL(use_of(l, "a"), -1);
	CU_ASSERT_EQUAL(use_of(l, ""), 1000);
	wf_fleet_clear_orphan_runs(l, &l->runners[ri]);
	CU_ASSERT_EQUAL(use_of(l, ""), 0);
	CU_ASSERT_EQUAL(l->runners[ri].allocated.mem_mb, 0);
	CU_ASSERT_EQUAL(l->runners[ri].fill_cpu_milli, 0);
	wf_leader_free(l);
	wf_doc_free(doc);
	wf_table_free(&table);
	wf_effects_free(&out);
}

/* ---- limits in simulated time ---- */

/* Guards against a check of the simulation that finds nothing. */
static void
simulation_reports_exceeded_limit(void)
{
	struct sim *const s = sim_new(&small_fleet);

	sim_run(s, SETTLE_MS);
	/* Of this limit no instance is told. */
	s->accounts[0].set.limit.cpu_milli = 4000;
	submit(s, "a", "0000000000000001", 10, 1000, 500, false);
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_violation_count(s), 6);
	CU_ASSERT_PTR_NOT_NULL(strstr(sim_first_violation(s), "quota"));
	sim_free(s);
}

/* Guards against a limit that is read once, against runs that are stopped when
 * it falls, and against work that stays behind when it rises. */
static void
limit_changes_while_work_runs(void)
{
	struct sim *const s = sim_new(&small_fleet);

	sim_run(s, SETTLE_MS);
	submit(s, "a", "0000000000000001", 120, 1000, 500, false);
	sim_run(s, 400);
	CU_ASSERT_EQUAL(used_cores(s, "a"), 10);
	sim_set_account(s, 0, (struct agb_resources){.cpu_milli = 4000});
	sim_run(s, 50);
	CU_ASSERT_EQUAL(used_cores(s, "a"), 10);
	sim_run(s, 750);
	CU_ASSERT_EQUAL(used_cores(s, "a"), 4);
	sim_set_account(s, 0, (struct agb_resources){.cpu_milli = 20000});
	sim_run(s, 200);
	CU_ASSERT_EQUAL(used_cores(s, "a"), 20);
	CU_ASSERT(sim_account_lines(s) >= 1);
	sim_run(s, 10000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, "0000000000000001"), "completed");
	CU_ASSERT_EQUAL(sim_total_start_count(s), 120);
	check_no_violation(s);
	sim_free(s);
}

/* Guards against a leader that begins with empty accounts. */
static void
new_leader_knows_usage(void)
{
	struct sim *const s = sim_new(&small_fleet);
	unsigned i;

	sim_run(s, SETTLE_MS);
	submit(s, "a", "0000000000000001", 60, 1000, 3000, false);
	submit(s, "a", "0000000000000002", 5, 1000, 3000, true);
	sim_run(s, 1000);
	CU_ASSERT_EQUAL(used_cores(s, "a"), 10);
	for (i = 0; i < 2; i++) {
		CU_ASSERT_FATAL(sim_leader(s) >= 0);
		sim_kill(s, (unsigned)sim_leader(s), 2000);
		sim_run(s, 8000);
	}
	sim_run(s, 40000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, "0000000000000001"), "completed");
	CU_ASSERT_STRING_EQUAL(sim_state(s, "0000000000000002"), "completed");
	check_no_violation(s);
	sim_free(s);
}

/* Guards against runs that are forgotten while their runner cannot be reached,
 * and may go on there. */
static void
runs_of_cut_off_runner_count(void)
{
	struct sim *const s = sim_new(&small_fleet);
	unsigned ri;

	sim_run(s, SETTLE_MS);
	submit(s, "a", "0000000000000001", 40, 1000, 4000, false);
	sim_run(s, 1000);
	CU_ASSERT_EQUAL(used_cores(s, "a"), 10);
	ri = sim_runner_of(s, "0000000000000001");
	CU_ASSERT_FATAL(ri < small_fleet.runners);
	sim_runner_cut(s, ri, true);
	sim_run(s, 12000);
	sim_runner_cut(s, ri, false);
	sim_run(s, 60000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, "0000000000000001"), "completed");
	check_no_violation(s);
	sim_free(s);
}

/* Runs that are being stopped count: a cancelled job beside one that waits for
 * the limit. */
static void
stopping_runs_count(void)
{
	struct sim *const s = sim_new(&small_fleet);

	sim_run(s, SETTLE_MS);
	submit(s, "a", "0000000000000001", 10, 1000, 60000, false);
	sim_run(s, 500);
	submit(s, "a", "0000000000000002", 10, 1000, 500, false);
	sim_run(s, 500);
	CU_ASSERT_EQUAL(sim_start_count(s, "0000000000000002"), 0);
	sim_cancel(s, 0, "0000000000000001");
	sim_run(s, 3000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, "0000000000000002"), "completed");
	check_no_violation(s);
	sim_free(s);
}

/* Guards against a gang that the limit keeps out and that blocks others, or
 * that small work of its own account keeps out for good. */
static void
gang_waits_for_limit(void)
{
	struct sim *const s = sim_new(&small_fleet);
	char id[WF_JOB_ID_LEN];
	unsigned i;

	sim_run(s, SETTLE_MS);
	submit(s, "a", "0000000000000001", 6, 1000, 2000, false);
	sim_run(s, 200);
	submit(s, "a", "0000000000000002", 8, 1000, 500, true);
	/* Both its account and another one start work beside it. */
	submit(s, "a", "0000000000000003", 2, 1000, 300, false);
	submit(s, "b", "0000000000000004", 40, 1000, 300, false);
	sim_run(s, 300);
	CU_ASSERT_EQUAL(sim_start_count(s, "0000000000000002"), 0);
	CU_ASSERT_EQUAL(sim_start_count(s, "0000000000000003"), 2);
	CU_ASSERT_EQUAL(sim_start_count(s, "0000000000000004"), 40);
	sim_run(s, 2000);
	CU_ASSERT_EQUAL(sim_start_count(s, "0000000000000002"), 8);
	sim_run(s, 1000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, "0000000000000002"), "completed");
	/* Steady small work that would use up the limit. */
	for (i = 0; i < 200; i++) {
		make_id(id, 7, i);
		submit(s, "a", id, 2, 1000, 500, false);
		if (i == 20)
			submit(s, "a", "0000000000000005", 8, 1000, 500, true);
		sim_run(s, 50);
	}
	CU_ASSERT_EQUAL(sim_start_count(s, "0000000000000005"), 8);
	sim_run(s, 30000);
	CU_ASSERT_EQUAL(sim_final_job_count(s), sim_job_count(s));
	check_no_violation(s);
	sim_free(s);
}

/* Guards against a gang that asks for advice while the limit keeps it out,
 * whose tickets would expire. */
static void
no_advice_beyond_limit(void)
{
	struct sim_options o = small_fleet;
	struct sim *s;
	unsigned calls;

	o.advice_required = true;
	s = sim_new(&o);
	sim_run(s, SETTLE_MS);
	submit(s, "a", "0000000000000001", 10, 1000, 2000, false);
	sim_run(s, 500);
	CU_ASSERT_EQUAL(used_cores(s, "a"), 10);
	calls = sim_advice_calls(s);
	submit(s, "a", "0000000000000002", 4, 1000, 500, true);
	submit(s, "a", "0000000000000003", 4, 1000, 500, false);
	sim_run(s, 1000);
	CU_ASSERT_EQUAL(sim_advice_calls(s), calls);
	sim_run(s, 4000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, "0000000000000002"), "completed");
	CU_ASSERT_STRING_EQUAL(sim_state(s, "0000000000000003"), "completed");
	check_no_violation(s);
	sim_free(s);
}

/* Random jobs are at most 24 cores wide. */
static const struct wf_account random_accounts[] = {
    {.name = "a", .weight = 1, .limit = {.cpu_milli = 26000}},
    {.name = "b", .weight = 3, .limit = {.mem_mb = 160}},
    {.name = "c", .weight = 2},
};

#define RANDOM_SEEDS 24

/* Guards against runs that drop out of the usage of their account when leaders,
 * runners, links and the store fail, and against work that a limit leaves
 * behind. */
static void
limits_hold_during_faults(void)
{
	unsigned seed;

	for (seed = 1; seed <= RANDOM_SEEDS; seed++) {
		const struct sim_options o = {
		    .seed = seed,
		    .cores = 2 + seed % 4,
		    .runners = 8 + seed % 9,
		    .cpu_milli = 8000 + 4000 * (seed % 3),
		    .latency_ms = 1 + seed % 6,
		    .advice_required = seed % 2 == 1,
		    .fail_percent = seed % 5,
		    .answer_lost_percent = seed % 3 == 0 ? 3 : 0,
		    .order_late_percent = seed % 4 == 0 ? 2 : 0,
		    .store_lost_percent = seed % 7 == 0 ? 15 : 0,
		    .relays = seed % 5 == 0,
		    .jobs_per_s = 4 + seed % 8,
		    .load_ms = 25000,
		    .fault_gap_ms = 800 + 400 * (seed % 6),
		    .accounts = random_accounts,
		    .accounts_len = LEN(random_accounts),
		};
		struct sim *const s = sim_new(&o);

		sim_random_run(s);
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		if (sim_violation_count(s) > 0)
			printf("\n  seed %u: %u violations, the first at %s\n",
			    seed, sim_violation_count(s),
			    sim_first_violation(s));
		sim_free(s);
	}
}

/* ---- shares in simulated time ---- */

/* Five accounts have usual loads; one or two then send 7 times as much for
 * 5 s. */
#define TENANTS 5
#define BURST_FACTOR 7
#define BURSTING_MAX 2
#define BURST_BEGIN_MS 2000
#define BURST_END_MS 7000
#define LOAD_END_MS 9000

/* A kind of job that accounts send. */
struct kind {
	size_t queue;
	uint32_t tasks;
	uint32_t cpu_milli;
	uint32_t ms;
	unsigned period_ms;
	bool gang;
};

#define KINDS 2

/* Bound that the requirements set for the others: time from submission to end,
 * relative to that without the burst. */
#define SLOWDOWN_MAX 1.5

static const struct wf_account tenants[TENANTS] = {
    {.name = "t0", .weight = 1},
    {.name = "t1", .weight = 1},
    {.name = "t2", .weight = 1},
    {.name = "t3", .weight = 1},
    {.name = "t4", .weight = 1},
};

/* Mean times from submission to end of the jobs that are sent during the
 * burst. */
struct times {
	double small;
	double gangs;
};

#define LOAD_JOBS_MAX 4000

struct load_job {
	char id[WF_JOB_ID_LEN];
	unsigned account;
	bool gang;
	unsigned sent_ms;
};

struct load {
	struct load_job jobs[LOAD_JOBS_MAX];
	size_t len;
};

static void
send_job(struct sim *s, struct load *l, unsigned account, const struct kind *k)
{
	struct load_job *const j = &l->jobs[l->len];
	struct wf_spec *const spec =
	    sim_new_spec(k->tasks, k->cpu_milli, k->ms);

	CU_ASSERT_FATAL(l->len < LOAD_JOBS_MAX);
	make_id(j->id, account, (unsigned)l->len++);
	j->account = account;
	j->gang = k->gang;
	j->sent_ms = sim_now_ms(s);
	agb_str_copy(
	    spec->account, sizeof(spec->account), tenants[account].name);
	spec->steps[0].gang = k->gang;
	sim_submit_to(s, 0, k->queue, j->id, spec);
}

static void
send_load(
    struct sim *s, struct load *l, const struct kind *kinds, unsigned bursting)
{
	unsigned ms, a, k, n, i;

	for (ms = 0; ms < LOAD_END_MS; ms += 10) {
		for (a = 0; a < TENANTS; a++) {
			n = a < bursting && ms >= BURST_BEGIN_MS &&
				ms < BURST_END_MS
			    ? BURST_FACTOR
			    : 1;
			for (k = 0; k < KINDS; k++) {
				if (ms % kinds[k].period_ms !=
				    a * kinds[k].period_ms / TENANTS / 10 * 10)
					continue;
				for (i = 0; i < n; i++)
					send_job(s, l, a, &kinds[k]);
			}
		}
		sim_run(s, 10);
	}
	sim_run(s, 60000);
}

/* Times of the jobs of the accounts that never send more than usual. */
static struct times
run_load(
    const struct sim_options *o, const struct kind *kinds, unsigned bursting)
{
	struct load *const l = agb_xcalloc(1, sizeof(*l));
	struct sim *const s = sim_new(o);
	struct times sum = {0};
	unsigned ended_ms, small = 0, gangs = 0;
	size_t i;

	sim_run(s, SETTLE_MS);
	send_load(s, l, kinds, bursting);
	for (i = 0; i < l->len; i++) {
		ended_ms = sim_ended_at_ms(s, l->jobs[i].id);
		CU_ASSERT(ended_ms > 0);
		if (l->jobs[i].account < BURSTING_MAX ||
		    l->jobs[i].sent_ms < SETTLE_MS + BURST_BEGIN_MS ||
		    l->jobs[i].sent_ms >= SETTLE_MS + BURST_END_MS)
			continue;
		if (l->jobs[i].gang) {
			sum.gangs += ended_ms - l->jobs[i].sent_ms;
			gangs++;
		} else {
			sum.small += ended_ms - l->jobs[i].sent_ms;
			small++;
		}
	}
	check_no_violation(s);
	sim_free(s);
	free(l);
	sum.small /= small;
	sum.gangs /= gangs;
	return sum;
}

static const struct sim_options shared_fleet = {
    .seed = 3,
    .cores = 3,
    .runners = 16,
    .cpu_milli = 8000,
    .accounts = tenants,
    .accounts_len = TENANTS,
};

/* 16 runners of 8 cores, 0.86 of which the usual loads take. */
static const struct kind small_kinds[KINDS] = {
    {0, 1, 1000, 600, 50, false},
    {0, 5, 2000, 500, 500, true},
};

/* Jobs that need advice, with gangs of 180 cores; the usual loads take 0.77 of
 * the processors. */
static const struct sim_queue wide_queues[] = {
    {"short", 0, 400, 1.5, 7, 100, 70},
    {"gangs", 1, 1200, 2.2, 340, 4900, 50},
};

static const struct kind wide_kinds[KINDS] = {
    {0, 1, 4000, 1000, 100, false},
    {1, 20, 9000, 6200, 3000, true},
};

static const struct sim_options wide_fleet = {
    .seed = 3,
    .cores = 5,
    .runners = 84,
    .cpu_milli = 32000,
    .queues = wide_queues,
    .queues_len = LEN(wide_queues),
    .accounts = tenants,
    .accounts_len = TENANTS,
};

/* Guards against one account that delays all others by sending much more than
 * usual. */
static void
burst_does_not_delay_others(void)
{
	static const struct {
		const struct sim_options *fleet;
		const struct kind *kinds;
		unsigned bursting;
	} cases[] = {
	    {&shared_fleet, small_kinds, 1},
	    {&shared_fleet, small_kinds, 2},
	    {&wide_fleet, wide_kinds, 1},
	    {&wide_fleet, wide_kinds, 2},
	};
	struct times usual, beside;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		usual = run_load(cases[i].fleet, cases[i].kinds, 0);
		beside =
		    run_load(cases[i].fleet, cases[i].kinds, cases[i].bursting);
		printf(
		    "\n  small jobs %.0f ms, usually %.0f ms; gangs %.0f ms, "
		    "usually %.0f ms\n",
		    beside.small, usual.small, beside.gangs, usual.gangs);
		CU_ASSERT(beside.small <= SLOWDOWN_MAX * usual.small);
		CU_ASSERT(beside.gangs <= SLOWDOWN_MAX * usual.gangs);
	}
}

/* Work of two accounts that never ends. Each gets this part of its share at
 * least, on average. The rest is the time between the end of a run and the next
 * start. */
#define SHARE_MIN 0.9
/* The same for gangs of 180 cores, with shares of 432 and 216: two and one of them
 * are 0.83 of the share. */
#define SHARE_MIN_GANGS 0.8
#define BUSY_MS 40000
#define BUSY_SETTLE_MS 15000
#define BUSY_SAMPLE_MS 50

/* Submits jobs of a kind so that at least @backlog of them have not started.
 */
static void
keep_backlog(struct sim *s, const char *account, unsigned number,
    const struct kind *k, unsigned backlog, unsigned *sent)
{
	struct wf_spec *spec;
	char id[WF_JOB_ID_LEN];
	unsigned waiting = 0, i;

	for (i = 1; i <= *sent; i++) {
		make_id(id, number, i);
		waiting += sim_start_count(s, id) == 0;
	}
	for (; waiting < backlog; waiting++) {
		make_id(id, number, ++*sent);
		spec = sim_new_spec(k->tasks, k->cpu_milli, k->ms);
		agb_str_copy(spec->account, sizeof(spec->account), account);
		spec->steps[0].gang = k->gang;
		sim_submit(s, 0, id, spec);
	}
}

/* Guards against an account that gets less than its weight is worth, with short
 * tasks and with gangs that need room for all members at once. */
static void
busy_accounts_get_their_shares(void)
{
	static const struct kind small = {0, 1, 1000, 600, 0, false};
	static const struct kind batch = {0, 20, 1000, 600, 0, false};
	static const struct kind wide = {0, 20, 9000, 6200, 0, true};
	static const struct {
		uint32_t weights[2];
		const struct kind *kinds[2];
		unsigned backlogs[2];
	} cases[] = {
	    {{1, 1}, {&small, &small}, {100, 100}},
	    {{1, 3}, {&small, &small}, {100, 100}},
	    {{1, 1}, {&batch, &wide}, {30, 6}},
	    {{3, 1}, {&batch, &wide}, {30, 6}},
	};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		const struct wf_account accounts[] = {
		    {.name = "x", .weight = cases[i].weights[0]},
		    {.name = "y", .weight = cases[i].weights[1]},
		};
		const bool is_wide = cases[i].kinds[1]->gang;
		const struct sim_options o = {.seed = 5,
		    .cores = 3,
		    .runners = is_wide ? 24 : 2,
		    .cpu_milli = is_wide ? 36000 : 16000,
		    .accounts = accounts,
		    .accounts_len = LEN(accounts)};
		struct sim *const s = sim_new(&o);
		unsigned sent[2] = {0, 0}, ms, k;
		double cores[2] = {0, 0}, owed;

		sim_run(s, SETTLE_MS);
		for (ms = 0; ms < BUSY_MS; ms += BUSY_SAMPLE_MS) {
			for (k = 0; k < 2; k++) {
				keep_backlog(s, accounts[k].name, k,
				    cases[i].kinds[k], cases[i].backlogs[k],
				    &sent[k]);
				if (ms >= BUSY_SETTLE_MS)
					cores[k] += (double)sim_account_used(
					    s, accounts[k].name)
							.cpu_milli;
			}
			sim_run(s, BUSY_SAMPLE_MS);
		}
		for (k = 0; k < 2; k++) {
			owed = (double)o.runners * (double)o.cpu_milli *
			    (BUSY_MS - BUSY_SETTLE_MS) / BUSY_SAMPLE_MS *
			    cases[i].weights[k] /
			    (cases[i].weights[0] + cases[i].weights[1]);
			printf(
			    "\n  case %zu: %s has %.2f of its share, %u jobs\n",
			    i, accounts[k].name, cores[k] / owed, sent[k]);
			CU_ASSERT(cores[k] >= owed *
				(cases[i].kinds[k]->gang ? SHARE_MIN_GANGS
							 : SHARE_MIN));
		}
		check_no_violation(s);
		sim_free(s);
	}
}

/* Guards against shares that change the order of starts while there is room for
 * all: the same jobs start at the same times as without accounts. */
static void
shares_have_no_effect_while_there_is_room(void)
{
	struct sim_options without = shared_fleet;
	struct load *const l = agb_xcalloc(2, sizeof(*l));
	struct sim *s[2];
	size_t i;

	without.accounts_len = 0;
	s[0] = sim_new(&shared_fleet);
	s[1] = sim_new(&without);
	for (i = 0; i < 2; i++) {
		sim_run(s[i], SETTLE_MS);
		send_load(s[i], &l[i], small_kinds, 0);
	}
	CU_ASSERT_EQUAL(l[0].len, l[1].len);
	for (i = 0; i < l[0].len; i++)
		CU_ASSERT_EQUAL(sim_started_at_ms(s[0], l[0].jobs[i].id),
		    sim_started_at_ms(s[1], l[1].jobs[i].id));
	CU_ASSERT_EQUAL(sim_account_lines(s[0]), 0);
	sim_free(s[0]);
	sim_free(s[1]);
	free(l);
}

static const struct suite_test tests[] = {
    {"runs at runners count", runs_at_runners_count},
    {"the simulation reports an exceeded limit",
	simulation_reports_exceeded_limit},
    {"a limit changes while work runs", limit_changes_while_work_runs},
    {"a new leader knows the usage", new_leader_knows_usage},
    {"runs of a cut-off runner count", runs_of_cut_off_runner_count},
    {"runs that are being stopped count", stopping_runs_count},
    {"a gang waits for the limit", gang_waits_for_limit},
    {"no advice is requested beyond a limit", no_advice_beyond_limit},
    {"limits hold during faults", limits_hold_during_faults},
    {"a burst does not delay others", burst_does_not_delay_others},
    {"busy accounts get their shares", busy_accounts_get_their_shares},
    {"shares have no effect while there is room",
	shares_have_no_effect_while_there_is_room},
};

int
main(void)
{
	return suite_run("wf_account_sim", tests, LEN(tests));
}

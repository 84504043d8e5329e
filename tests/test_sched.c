#include "sched_fixture.h"

/* Guards against placing more on a worker than it has of any resource. */
static void
test_capacity(void)
{
	static const struct {
		struct agb_resources need;
		uint32_t tasks;
		uint32_t starts;
	} cases[] = {
	    {{1000, 100, 0}, 10, 8},
	    {{1000, 8000, 0}, 10, 4},
	    {{1000, 100, 1}, 10, 2},
	    {{8000, 32000, 2}, 2, 1},
	    {{3000, 0, 0}, 5, 2},
	};
	struct agb_job_spec sp;
	struct fixture f;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&f);
		add_worker_full(
		    &f, 0, "r", resources(8000, 32000, 2), 0, AGB_WORKER_LIVE);
		sp = job_spec(&f, WORK_BATCH, TEAM_A, cases[i].tasks, 1);
		sp.need = cases[i].need;
		add_job_spec(&f, 0, &sp);
		CU_ASSERT_EQUAL(
		    count_effects(&f, AGB_SCHED_START), cases[i].starts);
		fixture_free(&f);
	}
}

/* Guards against starts on a worker in a state that accepts none. */
static void
test_worker_states(void)
{
	static const struct {
		enum agb_worker_state state;
		uint32_t starts;
	} cases[] = {
	    {AGB_WORKER_JOINING, 0},
	    {AGB_WORKER_LIVE, 1},
	    {AGB_WORKER_SUSPECT, 0},
	    {AGB_WORKER_LEAVING, 0},
	};
	struct fixture f;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&f);
		add_worker_full(
		    &f, 0, "r", resources(8000, 32000, 0), 2, AGB_WORKER_LIVE);
		set_worker_state(&f, 0, cases[i].state);
		add_job(&f, 0, WORK_BATCH, TEAM_A, 1, 1);
		quick_request(&f, 1, TEAM_A, AGB_TIME_MAX);
		CU_ASSERT_EQUAL(
		    count_effects(&f, AGB_SCHED_START), cases[i].starts);
		CU_ASSERT_EQUAL(
		    count_effects(&f, AGB_SCHED_GRANT), cases[i].starts);
		fixture_free(&f);
	}
}

/* Guards against queueing work that can never fit instead of refusing it. */
static void
test_never_fits(void)
{
	static const struct {
		uint16_t work;
		uint32_t tasks;
		int64_t cores;
		const char *detail;
	} cases[] = {
	    {WORK_BATCH, 1, 48,
		"needs 48 processors; the largest worker has 32"},
	    {WORK_GANG, 9, 8,
		"needs 9 tasks at once; all workers together hold 8"},
	};
	struct fixture f;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&f);
		add_worker(&f, 0, 32);
		add_worker(&f, 1, 32);
		add_job(&f, 0, cases[i].work, TEAM_A, cases[i].tasks,
		    cases[i].cores);
		CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 1);
		CU_ASSERT_EQUAL(f.out.items[0].reason, AGB_REASON_NEVER_FITS);
		CU_ASSERT_EQUAL(f.out.items[0].outcome, AGB_OUTCOME_NOT_RUN);
		CU_ASSERT_STRING_EQUAL(f.out.items[0].detail, cases[i].detail);
		fixture_free(&f);
	}
}

/* Guards against starting only some tasks of a gang. */
static void
test_gang_all_or_nothing(void)
{
	struct agb_attempt first;
	struct fixture f;

	fixture_init(&f);
	add_worker(&f, 0, 4);
	add_worker(&f, 1, 4);
	add_job(&f, 0, WORK_BATCH, TEAM_A, 1, 2);
	first = last_effect(&f, AGB_SCHED_START)->attempt;
	add_job(&f, 1, WORK_GANG, TEAM_B, 4, 2);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 1);
	end_task(&f, first, AGB_RESULT_OK);
	advance_time(&f, AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 5);
	fixture_free(&f);
}

/* Guards against a service whose tasks share a rack while another has room, and
 * against a service task that is not restarted. */
static void
test_service_spread_and_restart(void)
{
	struct fixture f;

	fixture_init(&f);
	add_worker(&f, 0, 8);
	add_worker(&f, 1, 8);
	add_worker(&f, 2, 8);
	add_job(&f, 0, WORK_SERVICE, TEAM_A, 2, 1);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 2);
	CU_ASSERT_NOT_EQUAL(nth_effect(&f, AGB_SCHED_START, 0)->worker % 2,
	    nth_effect(&f, AGB_SCHED_START, 1)->worker % 2);
	end_task(
	    &f, nth_effect(&f, AGB_SCHED_START, 0)->attempt, AGB_RESULT_OK);
	advance_time(&f, 60 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 3);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 0);
	cancel_job(&f, 0);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_STOP), 2);
	end_task(&f, nth_effect(&f, AGB_SCHED_START, 1)->attempt,
	    AGB_RESULT_STOPPED);
	end_task(&f, nth_effect(&f, AGB_SCHED_START, 2)->attempt,
	    AGB_RESULT_STOPPED);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 1);
	fixture_free(&f);
}

/* Guards against reporting the end of a job before its tasks have ended, or
 * with the wrong outcome. */
static void
test_job_done(void)
{
	static const struct {
		enum agb_result result;
		bool idempotent;
		bool cancelled;
		enum agb_outcome outcome;
		enum agb_reason reason;
	} cases[] = {
	    {AGB_RESULT_OK, false, false, AGB_OUTCOME_RAN, AGB_REASON_NONE},
	    {AGB_RESULT_FAILED, false, false, AGB_OUTCOME_RAN, AGB_REASON_NONE},
	    {AGB_RESULT_LOST, false, false, AGB_OUTCOME_UNKNOWN,
		AGB_REASON_WORKER_LOST},
	    {AGB_RESULT_STOPPED, true, true, AGB_OUTCOME_RAN,
		AGB_REASON_CANCELLED},
	    {AGB_RESULT_NOT_STARTED, true, true, AGB_OUTCOME_NOT_RUN,
		AGB_REASON_CANCELLED},
	    {AGB_RESULT_LOST, true, true, AGB_OUTCOME_UNKNOWN,
		AGB_REASON_CANCELLED},
	};
	struct agb_job_spec sp;
	struct fixture f;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&f);
		add_worker(&f, 0, 8);
		sp = job_spec(&f, WORK_BATCH, TEAM_A, 1, 1);
		sp.idempotent = cases[i].idempotent;
		add_job_spec(&f, 0, &sp);
		if (cases[i].cancelled)
			cancel_job(&f, 0);
		CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 0);
		end_task(&f, nth_effect(&f, AGB_SCHED_START, 0)->attempt,
		    cases[i].result);
		CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 1);
		CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_JOB_DONE)->outcome,
		    cases[i].outcome);
		CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_JOB_DONE)->reason,
		    cases[i].reason);
		fixture_free(&f);
	}
}

/* Guards against granting a slot twice, and against a queued request that is
 * never answered or is granted after its deadline. */
static void
test_quick_requests(void)
{
	struct fixture f;

	fixture_init(&f);
	add_worker_full(
	    &f, 0, "r", resources(8000, 32000, 0), 2, AGB_WORKER_LIVE);
	quick_request(&f, 1, TEAM_A, AGB_TIME_MAX);
	quick_request(&f, 2, TEAM_A, AGB_TIME_MAX);
	quick_request(&f, 3, TEAM_A, AGB_TIME_MAX);
	quick_request(&f, 4, TEAM_B, f.now + 500 * AGB_MS);
	quick_request(&f, 5, TEAM_B, f.now);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_GRANT), 2);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_DENY)->tag, 5);
	CU_ASSERT_EQUAL(
	    last_effect(&f, AGB_SCHED_DENY)->reason, AGB_REASON_DEADLINE);
	advance_time(&f, AGB_SEC);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_DENY)->tag, 4);
	CU_ASSERT_EQUAL(
	    last_effect(&f, AGB_SCHED_DENY)->outcome, AGB_OUTCOME_NOT_RUN);
	end_quick(
	    &f, nth_effect(&f, AGB_SCHED_GRANT, 0)->attempt, AGB_RESULT_OK);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_GRANT), 3);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_GRANT)->tag, 3);
	fixture_free(&f);
}

/* Guards against running a task again after a takeover while its earlier
 * attempt may still be running. */
static void
test_takeover(void)
{
	struct agb_sched_event ev;
	struct fixture f;

	fixture_init(&f);
	add_worker_full(
	    &f, 0, "r0", resources(4000, 16000, 0), 2, AGB_WORKER_JOINING);
	add_worker_full(
	    &f, 1, "r1", resources(4000, 16000, 0), 0, AGB_WORKER_JOINING);
	add_job(&f, 0, WORK_BATCH, TEAM_A, 4, 1);
	ev = event(AGB_SCHED_TASK_DONE);
	ev.job = 0;
	ev.task = 0;
	step(&f, &ev);
	ev = event(AGB_SCHED_TASK_INTENT);
	ev.job = 0;
	ev.task = 2;
	ev.worker = 1;
	ev.attempt = (struct agb_attempt){5, 2};
	step(&f, &ev);
	ev = event(AGB_SCHED_TASK_ADOPT);
	ev.job = 0;
	ev.task = 1;
	ev.worker = 0;
	ev.attempt = (struct agb_attempt){5, 1};
	step(&f, &ev);
	ev = event(AGB_SCHED_QUICK_ADOPT);
	ev.worker = 0;
	ev.work = WORK_QUICK;
	ev.attempt = (struct agb_attempt){5, 9};
	step(&f, &ev);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 0);
	set_worker_state(&f, 0, AGB_WORKER_LIVE);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 1);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_START)->task, 3);
	quick_request(&f, 1, TEAM_A, AGB_TIME_MAX);
	quick_request(&f, 2, TEAM_A, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_GRANT), 1);
	set_worker_state(&f, 1, AGB_WORKER_LIVE);
	advance_time(&f, 10 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 1);
	end_task(&f, (struct agb_attempt){5, 2}, AGB_RESULT_NOT_STARTED);
	advance_time(&f, 10 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 2);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_START)->task, 2);
	/* A running task of an unknown job must be stopped. */
	ev = event(AGB_SCHED_TASK_ADOPT);
	ev.job = 77;
	ev.worker = 0;
	ev.attempt = (struct agb_attempt){5, 3};
	step(&f, &ev);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_STOP)->job, 77);
	fixture_free(&f);
}

static const struct suite_test tests[] = {
    {"capacity", test_capacity},
    {"worker_states", test_worker_states},
    {"never_fits", test_never_fits},
    {"gang_all_or_nothing", test_gang_all_or_nothing},
    {"service_spread_and_restart", test_service_spread_and_restart},
    {"job_done", test_job_done},
    {"quick_requests", test_quick_requests},
    {"takeover", test_takeover},
};

int
main(void)
{
	return suite_run("sched", tests, LEN(tests));
}

#include "sched_fixture.h"

static void
tick(struct fixture *f)
{
	const struct agb_sched_event ev = event(AGB_SCHED_TICK);

	step(f, &ev);
}

/* Guards against granting a slot again while the lost request that holds it may
 * still be running. */
static void
test_lost_request_keeps_slot(void)
{
	struct agb_attempt a;
	struct fixture f;

	fixture_init(&f);
	add_worker_full(
	    &f, 0, "r", resources(8000, 32000, 0), 1, AGB_WORKER_LIVE);
	quick_request(&f, 1, TEAM_A, AGB_TIME_MAX);
	quick_request(&f, 2, TEAM_A, AGB_TIME_MAX);
	a = nth_effect(&f, AGB_SCHED_GRANT, 0)->attempt;
	end_quick(&f, a, AGB_RESULT_LOST);
	advance_time(&f, 100 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_GRANT), 1);
	end_quick(&f, a, AGB_RESULT_STOPPED);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_GRANT), 2);
	fixture_free(&f);
}

/* Guards against granting more requests than the runner has connections, and
 * against placing tasks on the resources set aside for its slots. */
static void
test_runner_limits(void)
{
	struct agb_sched_event ev = event(AGB_SCHED_WORKER);
	struct agb_worker_info info = {
	    .rack = "r",
	    .capacity = {8000, 32000, 0},
	    .service = WORK_QUICK,
	    .slots = 6,
	    .connections = 4,
	};
	struct fixture f;
	uint64_t i;

	fixture_init(&f);
	ev.worker = 0;
	ev.info = &info;
	ev.state = AGB_WORKER_LIVE;
	step(&f, &ev);
	for (i = 0; i < 8; i++)
		quick_request(&f, i, TEAM_A, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_GRANT), 4);
	add_job(&f, 0, WORK_BATCH, TEAM_A, 8, 1);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 4);
	fixture_free(&f);
}

/* Guards against a team that gets the whole shard because it asked first. */
static void
test_fair_shares(void)
{
	uint32_t starts[TEAM_MAX] = {0}, i;
	struct fixture f;

	fixture_init(&f);
	f.teams[TEAM_A].weight = 3;
	add_worker(&f, 0, 16);
	add_job(&f, 9, WORK_BATCH, TEAM_B, 16, 1);
	add_job(&f, 0, WORK_BATCH, TEAM_B, 64, 1);
	add_job(&f, 1, WORK_BATCH, TEAM_A, 64, 1);
	for (i = 0; i < 16; i++)
		end_task(&f, nth_effect(&f, AGB_SCHED_START, i)->attempt,
		    AGB_RESULT_OK);
	for (i = 16; i < 32; i++)
		starts[nth_effect(&f, AGB_SCHED_START, i)->job == 1 ? TEAM_A
								    : TEAM_B]++;
	CU_ASSERT_EQUAL(starts[TEAM_A], 12);
	CU_ASSERT_EQUAL(starts[TEAM_B], 4);
	fixture_free(&f);
}

/* Guards against exceeding a quota, also with usage in other shards, and
 * against a bucket that stays blocked after its team has room again. */
static void
test_quota(void)
{
	struct agb_sched_event ev = event(AGB_SCHED_TEAM_USAGE);
	struct fixture f;

	fixture_init(&f);
	add_worker(&f, 0, 16);
	add_job(&f, 0, WORK_BATCH, TEAM_CAPPED, 5, 1);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 2);
	end_task(
	    &f, nth_effect(&f, AGB_SCHED_START, 0)->attempt, AGB_RESULT_OK);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 3);
	ev.team = TEAM_CAPPED;
	ev.used = resources(1000, 0, 0);
	step(&f, &ev);
	end_task(
	    &f, nth_effect(&f, AGB_SCHED_START, 1)->attempt, AGB_RESULT_OK);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 3);
	ev.used = resources(0, 0, 0);
	step(&f, &ev);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 4);
	fixture_free(&f);
}

/* Guards against borrowed capacity that is not reclaimed when its owner needs
 * it. */
static void
test_borrowed_is_reclaimed(void)
{
	struct fixture f;

	fixture_init(&f);
	f.teams[TEAM_B].quota = resources(4000, 16000, 0);
	add_worker(&f, 0, 8);
	add_job(&f, 0, WORK_BATCH, TEAM_B, 8, 1);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 8);
	add_job(&f, 1, WORK_BATCH, TEAM_A, 2, 1);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_STOP), 2);
	end_task(
	    &f, nth_effect(&f, AGB_SCHED_STOP, 0)->attempt, AGB_RESULT_STOPPED);
	end_task(
	    &f, nth_effect(&f, AGB_SCHED_STOP, 1)->attempt, AGB_RESULT_STOPPED);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 10);
	CU_ASSERT_EQUAL(nth_effect(&f, AGB_SCHED_START, 8)->job, 1);
	CU_ASSERT_EQUAL(nth_effect(&f, AGB_SCHED_START, 9)->job, 1);
	fixture_free(&f);
}

/* Guards against ordinary work that uses the headroom, the share of the shard
 * that is kept free for urgent work. */
static void
test_headroom(void)
{
	struct fixture f;

	fixture_init(&f);
	f.env.headroom_percent = 25;
	add_worker(&f, 0, 8);
	add_job(&f, 0, WORK_BATCH, TEAM_A, 8, 1);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 6);
	add_job(&f, 1, WORK_URGENT, TEAM_A, 2, 1);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 8);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_THROTTLE), 0);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_STOP), 0);
	fixture_free(&f);
}

/* Guards against urgent work that waits on a full shard, and against preemption
 * that loses more work than needed: it must throttle if that suffices, else
 * checkpoint the newest task or, if it cannot, stop it. */
static void
test_urgent_preempts(void)
{
	static const struct {
		uint16_t work;
		struct agb_resources need;
		enum agb_sched_effect_type effect;
	} cases[] = {
	    {WORK_BATCH, {2000, 100, 0}, AGB_SCHED_THROTTLE},
	    {WORK_BATCH, {2000, 8000, 0}, AGB_SCHED_STOP},
	    {WORK_CHECKPOINT, {2000, 8000, 0}, AGB_SCHED_CHECKPOINT},
	};
	const struct agb_sched_effect *stop;
	struct agb_job_spec sp;
	struct fixture f;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&f);
		add_worker_full(
		    &f, 0, "r", resources(4000, 16000, 0), 0, AGB_WORKER_LIVE);
		sp = job_spec(&f, cases[i].work, TEAM_A, 1, 1);
		sp.need = resources(2000, 8000, 0);
		add_job_spec(&f, 0, &sp);
		advance_time(&f, 100 * AGB_SEC);
		if (i == 0)
			sp.need = resources(2000, 7000, 0);
		add_job_spec(&f, 1, &sp);
		sp = job_spec(&f, WORK_URGENT, TEAM_A, 1, 1);
		sp.need = cases[i].need;
		add_job_spec(&f, 2, &sp);
		CU_ASSERT(count_effects(&f, cases[i].effect) > 0);
		stop = nth_effect(&f, cases[i].effect, 0);
		if (cases[i].effect == AGB_SCHED_THROTTLE) {
			CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 3);
		} else {
			CU_ASSERT_EQUAL(stop->job, 1);
			CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 2);
			end_task(&f, stop->attempt, AGB_RESULT_STOPPED);
			CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 3);
		}
		CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_START)->job, 2);
		fixture_free(&f);
	}
}

/* Guards against preempting work that must not run twice. */
static void
test_non_idempotent_work_is_not_stopped(void)
{
	struct agb_job_spec sp;
	struct fixture f;

	fixture_init(&f);
	add_worker(&f, 0, 4);
	sp = job_spec(&f, WORK_BATCH, TEAM_A, 4, 1);
	sp.need = resources(1000, 4000, 0);
	sp.idempotent = false;
	add_job_spec(&f, 0, &sp);
	add_job(&f, 1, WORK_URGENT, TEAM_A, 1, 1);
	advance_time(&f, 10 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 4);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_STOP), 0);
	fixture_free(&f);
}

/* Guards against a gang that never starts because small tasks take the room,
 * and against reserved room that stays idle although short tasks would fit. */
static void
test_gang_reservation(void)
{
	struct agb_job_spec sp;
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	add_worker(&f, 0, 4);
	add_worker(&f, 1, 4);
	sp = job_spec(&f, WORK_BATCH, TEAM_A, 8, 1);
	sp.run_ms = 100000;
	add_job_spec(&f, 0, &sp);
	add_job(&f, 1, WORK_GANG, TEAM_B, 2, 4);
	advance_time(&f, 20 * AGB_SEC);
	CU_ASSERT(count_effects(&f, AGB_SCHED_DECISION) > 0);
	sp.accepted_at = f.now;
	sp.tasks = 4;
	sp.run_ms = 1000000;
	add_job_spec(&f, 2, &sp);
	sp.run_ms = 10000;
	add_job_spec(&f, 3, &sp);
	for (i = 0; i < 4; i++)
		end_task(&f, nth_effect(&f, AGB_SCHED_START, i)->attempt,
		    AGB_RESULT_OK);
	/* Short tasks may use the reserved room, long ones may not. */
	for (i = 8; i < count_effects(&f, AGB_SCHED_START); i++)
		CU_ASSERT_EQUAL(nth_effect(&f, AGB_SCHED_START, i)->job, 3);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 12);
	for (i = 4; i < 12; i++)
		end_task(&f, nth_effect(&f, AGB_SCHED_START, i)->attempt,
		    AGB_RESULT_OK);
	advance_time(&f, AGB_SEC);
	CU_ASSERT_EQUAL(nth_effect(&f, AGB_SCHED_START, 12)->job, 1);
	CU_ASSERT_EQUAL(nth_effect(&f, AGB_SCHED_START, 13)->job, 1);
	fixture_free(&f);
}

/* Guards against a gang that continues without the tasks that ended early. */
static void
test_gang_restarts_whole(void)
{
	struct fixture f;

	fixture_init(&f);
	add_worker(&f, 0, 4);
	add_job(&f, 0, WORK_GANG, TEAM_A, 3, 1);
	end_task(
	    &f, nth_effect(&f, AGB_SCHED_START, 1)->attempt, AGB_RESULT_LOST);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_STOP), 2);
	end_task(&f, nth_effect(&f, AGB_SCHED_START, 0)->attempt,
	    AGB_RESULT_STOPPED);
	advance_time(&f, 60 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 3);
	end_task(&f, nth_effect(&f, AGB_SCHED_START, 2)->attempt,
	    AGB_RESULT_STOPPED);
	advance_time(&f, 60 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 6);
	fixture_free(&f);
}

/* Guards against sizes that stay at a wrong declaration, and against a task
 * that is allocated less than it uses. */
static void
test_learned_sizes(void)
{
	struct fixture f;
	uint32_t i, first;

	fixture_init(&f);
	add_worker(&f, 0, 16);
	add_job(&f, 0, WORK_BATCH, TEAM_A, 100, 4);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 4);
	for (i = 0; i < 400; i++) {
		f.now += AGB_SEC;
		first = i % count_effects(&f, AGB_SCHED_START);
		report_usage(&f,
		    nth_effect(&f, AGB_SCHED_START, first)->attempt,
		    resources(1000, 1000, 0));
	}
	first = count_effects(&f, AGB_SCHED_START);
	CU_ASSERT(first >= 8);
	CU_ASSERT(last_effect(&f, AGB_SCHED_START)->need.cpu_milli < 2000);
	report_usage(&f, nth_effect(&f, AGB_SCHED_START, 0)->attempt,
	    resources(3000, 900, 0));
	CU_ASSERT(agb_sched_team_usage(f.s, TEAM_A).cpu_milli >= 3000);
	fixture_free(&f);
}

/* Guards against a task that outgrows its size and slows down others: it must
 * be throttled, or moved if it uses too much memory. */
static void
test_overcommit_is_relieved(void)
{
	const struct agb_sched_effect *ef;
	struct agb_attempt big;
	struct fixture f;

	fixture_init(&f);
	add_worker(&f, 0, 4);
	add_job(&f, 0, WORK_BATCH, TEAM_A, 4, 1);
	big = nth_effect(&f, AGB_SCHED_START, 2)->attempt;
	report_usage(&f, big, resources(3000, 1000, 0));
	ef = nth_effect(&f, AGB_SCHED_THROTTLE, 0);
	CU_ASSERT_EQUAL(ef->attempt.seq, big.seq);
	CU_ASSERT_EQUAL(ef->need.cpu_milli, 1000);
	report_usage(&f, big, resources(1000, 14000, 0));
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_STOP), 1);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_STOP)->attempt.seq, big.seq);
	fixture_free(&f);
}

/* Guards against work that waits for a worker that is gone for good. */
static void
test_fleet_shrinks(void)
{
	struct fixture f;

	fixture_init(&f);
	add_worker(&f, 0, 32);
	add_worker(&f, 1, 8);
	add_job(&f, 0, WORK_BATCH, TEAM_A, 1, 32);
	add_job(&f, 1, WORK_BATCH, TEAM_A, 1, 16);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 0);
	set_worker_state(&f, 0, AGB_WORKER_GONE);
	advance_time(&f, 120 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 2);
	CU_ASSERT_EQUAL(
	    last_effect(&f, AGB_SCHED_JOB_DONE)->reason, AGB_REASON_NEVER_FITS);
	fixture_free(&f);
}

/* Adds one-task jobs one after the other. Attempts that start at once on @bad
 * fail; all others succeed. Returns the number that started at once on @bad. */
static uint32_t
failures_on(struct fixture *f, uint32_t bad, uint32_t jobs, uint32_t first)
{
	const struct agb_sched_effect *ef;
	uint32_t i, n = 0, seen;

	for (i = 0; i < jobs; i++) {
		seen = count_effects(f, AGB_SCHED_START);
		add_job(f, first + i, WORK_BATCH, TEAM_A, 1, 1);
		for (; seen < count_effects(f, AGB_SCHED_START); seen++) {
			ef = nth_effect(f, AGB_SCHED_START, seen);
			n += ef->worker == bad;
			end_task(f, ef->attempt,
			    ef->worker == bad ? AGB_RESULT_FAILED
					      : AGB_RESULT_OK);
		}
		advance_time(f, AGB_SEC);
		for (; seen < count_effects(f, AGB_SCHED_START); seen++)
			end_task(f,
			    nth_effect(f, AGB_SCHED_START, seen)->attempt,
			    AGB_RESULT_OK);
	}
	return n;
}

/* Guards against a faulty worker that attracts work because its tasks fail fast
 * and leave it idle, and against one that is never probed again. */
static void
test_bad_worker(void)
{
	struct fixture f;
	uint32_t i, n;

	fixture_init(&f);
	for (i = 0; i < 5; i++)
		add_worker(&f, i, 8);
	n = failures_on(&f, 0, 40, 0);
	CU_ASSERT_EQUAL(n, 3);
	advance_time(&f, 100 * AGB_SEC);
	n = failures_on(&f, 0, 20, 40);
	CU_ASSERT_EQUAL(n, 1);
	advance_time(&f, 2300 * AGB_SEC);
	failures_on(&f, AGB_SCHED_NONE, 20, 60);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_START)->worker, 0);
	fixture_free(&f);
}

/* Guards against a gang that waits forever. The failure of its first task
 * ejected the worker, that of the second was taken for a failed probe and
 * delayed the next one by half an hour, and the last other worker was gone. */
static void
test_gang_on_last_worker(void)
{
	const struct agb_sched_effect *ef;
	struct fixture f;
	uint32_t i, k, seen, ok;

	fixture_init(&f);
	for (i = 1; i < 4; i++)
		add_worker(&f, i, 1);
	for (i = 1; i < 4; i++)
		add_job(&f, 200 + i, WORK_NOT_PREEMPTIBLE, TEAM_A, 1, 1);
	/* Two of the three failures after which a worker is ejected. */
	add_worker(&f, 0, 2);
	for (i = 0; i < 2; i++) {
		add_job(&f, 100 + i, WORK_BATCH, TEAM_A, 1, 1);
		ef = last_effect(&f, AGB_SCHED_START);
		CU_ASSERT_EQUAL(ef->worker, 0);
		end_task(&f, ef->attempt, AGB_RESULT_FAILED);
	}
	add_job(&f, 0, WORK_GANG, TEAM_A, 2, 1);
	advance_time(&f, 6 * AGB_SEC);
	/* Both tasks of the first start fail, then the other workers are
	 * gone. */
	seen = count_effects(&f, AGB_SCHED_START);
	CU_ASSERT(seen >= 5);
	for (k = 0; k < seen; k++) {
		ef = nth_effect(&f, AGB_SCHED_START, k);
		if (ef->job == 0)
			end_task(&f, ef->attempt, AGB_RESULT_FAILED);
	}
	for (i = 1; i < 4; i++)
		set_worker_state(&f, i, AGB_WORKER_GONE);
	ok = 0;
	for (i = 0; i < 120; i++) {
		advance_time(&f, AGB_SEC);
		for (; seen < count_effects(&f, AGB_SCHED_START); seen++) {
			/* Look the effect up again: the array may move when a
			 * step adds to it. */
			ef = nth_effect(&f, AGB_SCHED_START, seen);
			ok += ef->job == 0;
			end_task(&f, ef->attempt, AGB_RESULT_OK);
		}
	}
	CU_ASSERT_EQUAL(ok, 2);
	fixture_free(&f);
}

/* Guards against ejecting the whole fleet: of ten workers that fail everything,
 * only the percentage that the document allows is ejected. */
static void
test_eject_cap(void)
{
	struct fixture f;
	uint32_t i, n = 0;

	fixture_init(&f);
	for (i = 0; i < 10; i++)
		add_worker(&f, i, 1);
	for (i = 0; i < 60; i++)
		add_job(&f, i, WORK_BATCH, TEAM_A, 1, 1);
	for (i = 0; i < count_effects(&f, AGB_SCHED_START); i++)
		end_task(&f, nth_effect(&f, AGB_SCHED_START, i)->attempt,
		    AGB_RESULT_FAILED);
	for (i = 0; i < count_effects(&f, AGB_SCHED_DECISION); i++)
		n += strstr(nth_effect(&f, AGB_SCHED_DECISION, i)->detail,
			 "ejected") != NULL;
	CU_ASSERT_EQUAL(n, 3);
	fixture_free(&f);
}

/* Guards against ejecting workers because of the requests of one service, or
 * because of a faulty job. */
static void
test_bad_job(void)
{
	struct fixture f;
	uint32_t i, n;

	fixture_init(&f);
	for (i = 0; i < 5; i++)
		add_worker_full(
		    &f, i, "r", resources(8000, 32000, 0), 2, AGB_WORKER_LIVE);
	for (i = 0; i < 30; i++) {
		quick_request(&f, i, TEAM_A, AGB_TIME_MAX);
		end_quick(&f, last_effect(&f, AGB_SCHED_GRANT)->attempt,
		    AGB_RESULT_FAILED);
	}
	add_job(&f, 0, WORK_BATCH, TEAM_A, 1, 1);
	for (i = 0; i < 5; i++) {
		n = count_effects(&f, AGB_SCHED_START);
		if (n > i)
			end_task(&f, last_effect(&f, AGB_SCHED_START)->attempt,
			    AGB_RESULT_FAILED);
		advance_time(&f, 60 * AGB_SEC);
	}
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 3);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_JOB_DONE)->reason,
	    AGB_REASON_FAILS_EVERYWHERE);
	CU_ASSERT_EQUAL(
	    last_effect(&f, AGB_SCHED_JOB_DONE)->outcome, AGB_OUTCOME_RAN);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_DECISION), 0);
	fixture_free(&f);
}

/* Guards against a retry storm: retries must be delayed and stay within the
 * budget, and work that must not run twice must get none. */
static void
test_retry_budget(void)
{
	struct agb_job_spec sp;
	struct fixture f;
	uint32_t i, n;

	fixture_init(&f);
	f.classes[WORK_BATCH].retry_budget_percent = 10;
	add_worker(&f, 0, 64);
	sp = job_spec(&f, WORK_BATCH, TEAM_A, 1, 1);
	for (i = 0; i < 60; i++)
		add_job_spec(&f, i, &sp);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 60);
	for (i = 0; i < 60; i++)
		end_task(&f, nth_effect(&f, AGB_SCHED_START, i)->attempt,
		    AGB_RESULT_FAILED);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 60);
	advance_time(&f, 5 * AGB_SEC);
	n = count_effects(&f, AGB_SCHED_START) - 60;
	CU_ASSERT(n >= 1 && n <= 10 + 6 + 1);
	sp.idempotent = false;
	add_job_spec(&f, 100, &sp);
	advance_time(&f, AGB_SEC);
	fixture_free(&f);
}

/* Guards against a burst of cancellations that delays a placement, and against
 * cancellations that are lost. */
static void
test_cancel_burst(void)
{
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	add_worker(&f, 0, 4);
	for (i = 0; i < 10000; i++)
		add_job(&f, i, WORK_BATCH, TEAM_A, 1, 1);
	clear_effects(&f);
	for (i = 4; i < 10000; i++)
		cancel_job(&f, i);
	CU_ASSERT(f.out.len < 100);
	clear_effects(&f);
	add_job(&f, 10000, WORK_URGENT, TEAM_A, 1, 1);
	CU_ASSERT(f.out.len < 200);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_START)->job, 10000);
	for (i = 0; i < 1000; i++)
		tick(&f);
	CU_ASSERT(count_effects(&f, AGB_SCHED_JOB_DONE) >= 9900);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 1);
	fixture_free(&f);
}

/* Guards against load shedding that refuses the more valuable requests or
 * alternates: the least urgent work is refused first, and acceptance resumes
 * only below the low mark. */
static void
test_shedding(void)
{
	struct fixture f;
	uint64_t i;

	fixture_init(&f);
	add_worker_full(
	    &f, 0, "r", resources(8000, 32000, 0), 2, AGB_WORKER_LIVE);
	for (i = 0; i < 1002; i++)
		quick_request(&f, i, TEAM_A, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_DENY), 0);
	quick_request(&f, 2000, TEAM_A, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_DENY)->tag, 2000);
	CU_ASSERT_EQUAL(
	    last_effect(&f, AGB_SCHED_DENY)->reason, AGB_REASON_OVERLOAD);
	/* A request of a team with a smaller share replaces the newest of the
	 * other. */
	quick_request(&f, 2001, TEAM_B, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_DENY)->tag, 1000);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_DECISION), 1);
	fixture_free(&f);
}

/* Guards against queueing work that is not expected to meet its deadline. */
static void
test_unreachable_deadline_refused(void)
{
	struct agb_job_spec sp;
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	add_worker(&f, 0, 2);
	sp = job_spec(&f, WORK_BATCH, TEAM_A, 1000, 1);
	add_job_spec(&f, 0, &sp);
	for (i = 0; i < 60; i++) {
		advance_time(&f, AGB_SEC);
		end_task(&f, nth_effect(&f, AGB_SCHED_START, i)->attempt,
		    AGB_RESULT_OK);
	}
	sp = job_spec(&f, WORK_BATCH, TEAM_A, 1, 1);
	sp.deadline = f.now + 60 * AGB_SEC;
	add_job_spec(&f, 1, &sp);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 1);
	CU_ASSERT_EQUAL(
	    last_effect(&f, AGB_SCHED_JOB_DONE)->reason, AGB_REASON_DEADLINE);
	sp.deadline = f.now + 3600 * AGB_SEC;
	add_job_spec(&f, 2, &sp);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_JOB_DONE), 1);
	f.classes[WORK_BATCH].queue_max_ms = 1000;
	sp.deadline = AGB_TIME_MAX;
	sp.accepted_at = f.now;
	add_job_spec(&f, 3, &sp);
	advance_time(&f, 2 * AGB_SEC);
	CU_ASSERT_EQUAL(
	    last_effect(&f, AGB_SCHED_JOB_DONE)->reason, AGB_REASON_OVERLOAD);
	fixture_free(&f);
}

/* Guards against services that stop for good with a leaving worker. */
static void
test_leaving_moves_services(void)
{
	const struct agb_sched_effect *ef;
	struct fixture f;

	fixture_init(&f);
	add_worker(&f, 0, 4);
	add_job(&f, 0, WORK_SERVICE, TEAM_A, 2, 1);
	add_worker(&f, 1, 4);
	set_worker_state(&f, 0, AGB_WORKER_LEAVING);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_STOP), 1);
	ef = last_effect(&f, AGB_SCHED_STOP);
	CU_ASSERT_EQUAL(ef->reason, AGB_REASON_LEAVING);
	end_task(&f, ef->attempt, AGB_RESULT_STOPPED);
	CU_ASSERT_EQUAL(last_effect(&f, AGB_SCHED_START)->worker, 1);
	advance_time(&f, 3 * AGB_SEC);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_STOP), 2);
	fixture_free(&f);
}

/* Guards against a new document with other indexes for its kinds of work that
 * turns queued jobs and runners into those of another kind. */
static void
test_document_renumbered(void)
{
	struct agb_env_work w;
	struct fixture f, g;

	fixture_init(&f);
	add_worker_full(
	    &f, 0, "r", resources(4000, 16000, 0), 2, AGB_WORKER_LIVE);
	add_job(&f, 0, WORK_BATCH, TEAM_A, 4, 1);
	g = f;
	w = g.works[WORK_QUICK];
	g.works[WORK_QUICK] = g.works[WORK_BATCH];
	g.works[WORK_BATCH] = w;
	g.env.works = g.works;
	g.env.classes = g.classes;
	g.env.teams = g.teams;
	g.env.domains = g.domains;
	g.env.regions = g.regions;
	{
		struct agb_sched_event ev = event(AGB_SCHED_ENV);

		ev.env = &g.env;
		step(&f, &ev);
		CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 2);
		ev = event(AGB_SCHED_QUICK_REQUEST);
		ev.work = WORK_BATCH;
		step(&f, &ev);
		CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_GRANT), 1);
	}
	end_task(
	    &f, nth_effect(&f, AGB_SCHED_START, 0)->attempt, AGB_RESULT_OK);
	CU_ASSERT_EQUAL(count_effects(&f, AGB_SCHED_START), 3);
	CU_ASSERT(strstr(last_effect(&f, AGB_SCHED_START)->detail,
		      "work=sort") != NULL);
	fixture_free(&f);
}

static const struct suite_test tests[] = {
    {"lost_request_keeps_slot", test_lost_request_keeps_slot},
    {"runner_limits", test_runner_limits},
    {"fair_shares", test_fair_shares},
    {"quota", test_quota},
    {"borrowed_is_reclaimed", test_borrowed_is_reclaimed},
    {"headroom", test_headroom},
    {"urgent_preempts", test_urgent_preempts},
    {"non_idempotent_work_is_not_stopped",
	test_non_idempotent_work_is_not_stopped},
    {"gang_reservation", test_gang_reservation},
    {"gang_restarts_whole", test_gang_restarts_whole},
    {"learned_sizes", test_learned_sizes},
    {"overcommit_is_relieved", test_overcommit_is_relieved},
    {"fleet_shrinks", test_fleet_shrinks},
    {"bad_worker", test_bad_worker},
    {"gang_on_last_worker", test_gang_on_last_worker},
    {"eject_cap", test_eject_cap},
    {"bad_job", test_bad_job},
    {"retry_budget", test_retry_budget},
    {"cancel_burst", test_cancel_burst},
    {"shedding", test_shedding},
    {"unreachable_deadline_refused", test_unreachable_deadline_refused},
    {"leaving_moves_services", test_leaving_moves_services},
    {"document_renumbered", test_document_renumbered},
};

int
main(void)
{
	return suite_run("sched_faults", tests, LEN(tests));
}

#include "sched_fixture.h"

static void
tick(struct fixture *f)
{
	const struct agb_sched_event ev = event(AGB_SCHED_TICK);

	step(f, &ev);
}

/* Guards against a slot that is given away while its request, whose fate
 * nobody knows, may still run. */
static void
test_unknown_grant_holds(void)
{
	struct agb_attempt a;
	struct fixture f;

	fixture_init(&f);
	worker_full(&f, 0, "r", res(8000, 32000, 0), 1, AGB_WORKER_LIVE);
	ask(&f, 1, T_A, AGB_TIME_MAX);
	ask(&f, 2, T_A, AGB_TIME_MAX);
	a = nth(&f, AGB_SCHED_GRANT, 0)->attempt;
	quick_done(&f, a, AGB_RESULT_LOST);
	pass_time(&f, 100 * AGB_SEC);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_GRANT), 1);
	quick_done(&f, a, AGB_RESULT_STOPPED);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_GRANT), 2);
	fixture_free(&f);
}

/* Guards against more grants than the runner has connections, and against
 * tasks on what is set aside for its slots. */
static void
test_runner_limits(void)
{
	struct agb_sched_event ev = event(AGB_SCHED_WORKER);
	struct agb_worker_info info = {
	    .rack = "r",
	    .capacity = {8000, 32000, 0},
	    .service = W_QUICK,
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
		ask(&f, i, T_A, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_GRANT), 4);
	job(&f, 0, W_BATCH, T_A, 8, 1);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 4);
	fixture_free(&f);
}

/* Guards against one team that takes the whole shard by asking first. */
static void
test_fair_shares(void)
{
	uint32_t starts[T_MAX] = {0}, i;
	struct fixture f;

	fixture_init(&f);
	f.teams[T_A].weight = 3;
	worker(&f, 0, 16);
	job(&f, 9, W_BATCH, T_B, 16, 1);
	job(&f, 0, W_BATCH, T_B, 64, 1);
	job(&f, 1, W_BATCH, T_A, 64, 1);
	for (i = 0; i < 16; i++)
		ended(&f, nth(&f, AGB_SCHED_START, i)->attempt, AGB_RESULT_OK);
	for (i = 16; i < 32; i++)
		starts[nth(&f, AGB_SCHED_START, i)->job == 1 ? T_A : T_B]++;
	CU_ASSERT_EQUAL(starts[T_A], 12);
	CU_ASSERT_EQUAL(starts[T_B], 4);
	fixture_free(&f);
}

/* Guards against a quota that is passed, here or with the use of other
 * shards, and against one that stays blocked after its team has room. */
static void
test_quota(void)
{
	struct agb_sched_event ev = event(AGB_SCHED_TEAM_USAGE);
	struct fixture f;

	fixture_init(&f);
	worker(&f, 0, 16);
	job(&f, 0, W_BATCH, T_CAPPED, 5, 1);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 2);
	ended(&f, nth(&f, AGB_SCHED_START, 0)->attempt, AGB_RESULT_OK);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 3);
	ev.team = T_CAPPED;
	ev.used = res(1000, 0, 0);
	step(&f, &ev);
	ended(&f, nth(&f, AGB_SCHED_START, 1)->attempt, AGB_RESULT_OK);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 3);
	ev.used = res(0, 0, 0);
	step(&f, &ev);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 4);
	fixture_free(&f);
}

/* Guards against borrowed capacity that is never given back. */
static void
test_borrowed_is_reclaimed(void)
{
	struct fixture f;

	fixture_init(&f);
	f.teams[T_B].quota = res(4000, 16000, 0);
	worker(&f, 0, 8);
	job(&f, 0, W_BATCH, T_B, 8, 1);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 8);
	job(&f, 1, W_BATCH, T_A, 2, 1);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_STOP), 2);
	ended(&f, nth(&f, AGB_SCHED_STOP, 0)->attempt, AGB_RESULT_STOPPED);
	ended(&f, nth(&f, AGB_SCHED_STOP, 1)->attempt, AGB_RESULT_STOPPED);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 10);
	CU_ASSERT_EQUAL(nth(&f, AGB_SCHED_START, 8)->job, 1);
	CU_ASSERT_EQUAL(nth(&f, AGB_SCHED_START, 9)->job, 1);
	fixture_free(&f);
}

/* Guards against headroom that ordinary work uses up. */
static void
test_headroom(void)
{
	struct fixture f;

	fixture_init(&f);
	f.env.headroom_percent = 25;
	worker(&f, 0, 8);
	job(&f, 0, W_BATCH, T_A, 8, 1);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 6);
	job(&f, 1, W_URGENT, T_A, 2, 1);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 8);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_THROTTLE), 0);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_STOP), 0);
	fixture_free(&f);
}

/* Guards against urgent work that waits on a full shard, and against losing
 * more work than needed: throttle, else checkpoint, else the newest. */
static void
test_urgent_makes_room(void)
{
	static const struct {
		uint16_t work;
		struct agb_resources need;
		enum agb_sched_effect_type effect;
	} cases[] = {
	    {W_BATCH, {2000, 100, 0}, AGB_SCHED_THROTTLE},
	    {W_BATCH, {2000, 8000, 0}, AGB_SCHED_STOP},
	    {W_BATCH2, {2000, 8000, 0}, AGB_SCHED_CHECKPOINT},
	};
	const struct agb_sched_effect *stop;
	struct agb_job_spec sp;
	struct fixture f;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&f);
		worker_full(
		    &f, 0, "r", res(4000, 16000, 0), 0, AGB_WORKER_LIVE);
		sp = spec(&f, cases[i].work, T_A, 1, 1);
		sp.need = res(2000, 8000, 0);
		job_add(&f, 0, &sp);
		pass_time(&f, 100 * AGB_SEC);
		if (i == 0)
			sp.need = res(2000, 7000, 0);
		job_add(&f, 1, &sp);
		sp = spec(&f, W_URGENT, T_A, 1, 1);
		sp.need = cases[i].need;
		job_add(&f, 2, &sp);
		CU_ASSERT(count(&f, cases[i].effect) > 0);
		stop = nth(&f, cases[i].effect, 0);
		if (cases[i].effect == AGB_SCHED_THROTTLE) {
			CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 3);
		} else {
			CU_ASSERT_EQUAL(stop->job, 1);
			CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 2);
			ended(&f, stop->attempt, AGB_RESULT_STOPPED);
			CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 3);
		}
		CU_ASSERT_EQUAL(last(&f, AGB_SCHED_START)->job, 2);
		fixture_free(&f);
	}
}

/* Guards against stopping work that must not run twice. */
static void
test_firm_work_is_not_stopped(void)
{
	struct agb_job_spec sp;
	struct fixture f;

	fixture_init(&f);
	worker(&f, 0, 4);
	sp = spec(&f, W_BATCH, T_A, 4, 1);
	sp.need = res(1000, 4000, 0);
	sp.idempotent = false;
	job_add(&f, 0, &sp);
	job(&f, 1, W_URGENT, T_A, 1, 1);
	pass_time(&f, 10 * AGB_SEC);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 4);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_STOP), 0);
	fixture_free(&f);
}

/* Guards against a gang that small work keeps out for ever, and against
 * reserved room that stays idle though short work would fit in. */
static void
test_gang_reserves(void)
{
	struct agb_job_spec sp;
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	worker(&f, 0, 4);
	worker(&f, 1, 4);
	sp = spec(&f, W_BATCH, T_A, 8, 1);
	sp.run_ms = 100000;
	job_add(&f, 0, &sp);
	job(&f, 1, W_GANG, T_B, 2, 4);
	pass_time(&f, 20 * AGB_SEC);
	CU_ASSERT(count(&f, AGB_SCHED_DECISION) > 0);
	sp.accepted_at = f.now;
	sp.tasks = 4;
	sp.run_ms = 1000000;
	job_add(&f, 2, &sp);
	sp.run_ms = 10000;
	job_add(&f, 3, &sp);
	for (i = 0; i < 4; i++)
		ended(&f, nth(&f, AGB_SCHED_START, i)->attempt, AGB_RESULT_OK);
	/* The short ones may use the room, the long ones may not. */
	for (i = 8; i < count(&f, AGB_SCHED_START); i++)
		CU_ASSERT_EQUAL(nth(&f, AGB_SCHED_START, i)->job, 3);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 12);
	for (i = 4; i < 12; i++)
		ended(&f, nth(&f, AGB_SCHED_START, i)->attempt, AGB_RESULT_OK);
	pass_time(&f, AGB_SEC);
	CU_ASSERT_EQUAL(nth(&f, AGB_SCHED_START, 12)->job, 1);
	CU_ASSERT_EQUAL(nth(&f, AGB_SCHED_START, 13)->job, 1);
	fixture_free(&f);
}

/* Guards against a gang of which some tasks go on without the others. */
static void
test_gang_restarts_whole(void)
{
	struct fixture f;

	fixture_init(&f);
	worker(&f, 0, 4);
	job(&f, 0, W_GANG, T_A, 3, 1);
	ended(&f, nth(&f, AGB_SCHED_START, 1)->attempt, AGB_RESULT_LOST);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_STOP), 2);
	ended(&f, nth(&f, AGB_SCHED_START, 0)->attempt, AGB_RESULT_STOPPED);
	pass_time(&f, 60 * AGB_SEC);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 3);
	ended(&f, nth(&f, AGB_SCHED_START, 2)->attempt, AGB_RESULT_STOPPED);
	pass_time(&f, 60 * AGB_SEC);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 6);
	fixture_free(&f);
}

/* Guards against sizes that stay at a wrong declaration, and against a task
 * that is held below what it uses. */
static void
test_learned_sizes(void)
{
	struct fixture f;
	uint32_t i, first;

	fixture_init(&f);
	worker(&f, 0, 16);
	job(&f, 0, W_BATCH, T_A, 100, 4);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 4);
	for (i = 0; i < 400; i++) {
		f.now += AGB_SEC;
		first = i % count(&f, AGB_SCHED_START);
		usage(&f, nth(&f, AGB_SCHED_START, first)->attempt,
		    res(1000, 1000, 0));
	}
	first = count(&f, AGB_SCHED_START);
	CU_ASSERT(first >= 8);
	CU_ASSERT(last(&f, AGB_SCHED_START)->need.cpu_milli < 2000);
	usage(&f, nth(&f, AGB_SCHED_START, 0)->attempt, res(3000, 900, 0));
	CU_ASSERT(agb_sched_team_usage(f.s, T_A).cpu_milli >= 3000);
	fixture_free(&f);
}

/* Guards against neighbours that suffer from a task that outgrew its size:
 * the task itself is throttled, or moved when it is memory. */
static void
test_overcommit_is_relieved(void)
{
	const struct agb_sched_effect *ef;
	struct agb_attempt big;
	struct fixture f;

	fixture_init(&f);
	worker(&f, 0, 4);
	job(&f, 0, W_BATCH, T_A, 4, 1);
	big = nth(&f, AGB_SCHED_START, 2)->attempt;
	usage(&f, big, res(3000, 1000, 0));
	ef = nth(&f, AGB_SCHED_THROTTLE, 0);
	CU_ASSERT_EQUAL(ef->attempt.seq, big.seq);
	CU_ASSERT_EQUAL(ef->need.cpu_milli, 1000);
	usage(&f, big, res(1000, 14000, 0));
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_STOP), 1);
	CU_ASSERT_EQUAL(last(&f, AGB_SCHED_STOP)->attempt.seq, big.seq);
	fixture_free(&f);
}

/* Guards against work that waits for a worker that will not come back. */
static void
test_fleet_shrinks(void)
{
	struct fixture f;

	fixture_init(&f);
	worker(&f, 0, 32);
	worker(&f, 1, 8);
	job(&f, 0, W_BATCH, T_A, 1, 32);
	job(&f, 1, W_BATCH, T_A, 1, 16);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_JOB_DONE), 0);
	worker_state(&f, 0, AGB_WORKER_GONE);
	pass_time(&f, 120 * AGB_SEC);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_JOB_DONE), 2);
	CU_ASSERT_EQUAL(
	    last(&f, AGB_SCHED_JOB_DONE)->reason, AGB_REASON_NEVER_FITS);
	fixture_free(&f);
}

/* Starts one-task jobs one after the other; all that start on @bad fail. */
static uint32_t
failures_on(struct fixture *f, uint32_t bad, uint32_t jobs, uint32_t first)
{
	const struct agb_sched_effect *ef;
	uint32_t i, n = 0, seen;

	for (i = 0; i < jobs; i++) {
		seen = count(f, AGB_SCHED_START);
		job(f, first + i, W_BATCH, T_A, 1, 1);
		for (; seen < count(f, AGB_SCHED_START); seen++) {
			ef = nth(f, AGB_SCHED_START, seen);
			n += ef->worker == bad;
			ended(f, ef->attempt,
			    ef->worker == bad ? AGB_RESULT_FAILED
					      : AGB_RESULT_OK);
		}
		pass_time(f, AGB_SEC);
		for (; seen < count(f, AGB_SCHED_START); seen++)
			ended(f, nth(f, AGB_SCHED_START, seen)->attempt,
			    AGB_RESULT_OK);
	}
	return n;
}

/* Guards against a worker that fails all it is given and so looks idle, and
 * against one that is never tried again. */
static void
test_bad_worker(void)
{
	struct fixture f;
	uint32_t i, n;

	fixture_init(&f);
	for (i = 0; i < 5; i++)
		worker(&f, i, 8);
	n = failures_on(&f, 0, 40, 0);
	CU_ASSERT_EQUAL(n, 3);
	pass_time(&f, 100 * AGB_SEC);
	n = failures_on(&f, 0, 20, 40);
	CU_ASSERT_EQUAL(n, 1);
	pass_time(&f, 2300 * AGB_SEC);
	failures_on(&f, AGB_SCHED_NONE, 20, 60);
	CU_ASSERT_EQUAL(last(&f, AGB_SCHED_START)->worker, 0);
	fixture_free(&f);
}

/* Guards against a gang that waits for ever: a worker was ejected when its
 * first task failed, the failure of the second was taken for a failed trial
 * half an hour long, and the last other worker was gone. */
static void
test_gang_on_last_worker(void)
{
	const struct agb_sched_effect *ef;
	struct fixture f;
	uint32_t i, k, seen, ok;

	fixture_init(&f);
	for (i = 1; i < 4; i++)
		worker(&f, i, 1);
	for (i = 1; i < 4; i++)
		job(&f, 200 + i, W_FIRM, T_A, 1, 1);
	/* Two of the three failures that eject a worker. */
	worker(&f, 0, 2);
	for (i = 0; i < 2; i++) {
		job(&f, 100 + i, W_BATCH, T_A, 1, 1);
		ef = last(&f, AGB_SCHED_START);
		CU_ASSERT_EQUAL(ef->worker, 0);
		ended(&f, ef->attempt, AGB_RESULT_FAILED);
	}
	job(&f, 0, W_GANG, T_A, 2, 1);
	pass_time(&f, 6 * AGB_SEC);
	/* Both tasks of its first start fail, then the others leave. */
	seen = count(&f, AGB_SCHED_START);
	CU_ASSERT(seen >= 5);
	for (k = 0; k < seen; k++) {
		ef = nth(&f, AGB_SCHED_START, k);
		if (ef->job == 0)
			ended(&f, ef->attempt, AGB_RESULT_FAILED);
	}
	for (i = 1; i < 4; i++)
		worker_state(&f, i, AGB_WORKER_GONE);
	ok = 0;
	for (i = 0; i < 120; i++) {
		pass_time(&f, AGB_SEC);
		for (; seen < count(&f, AGB_SCHED_START); seen++) {
			/* Effects move when a step adds to them. */
			ef = nth(&f, AGB_SCHED_START, seen);
			ok += ef->job == 0;
			ended(&f, ef->attempt, AGB_RESULT_OK);
		}
	}
	CU_ASSERT_EQUAL(ok, 2);
	fixture_free(&f);
}

/* Guards against a rule that ejects the fleet: of ten that fail everything
 * only the part that the document allows is ejected. */
static void
test_eject_cap(void)
{
	struct fixture f;
	uint32_t i, n = 0;

	fixture_init(&f);
	for (i = 0; i < 10; i++)
		worker(&f, i, 1);
	for (i = 0; i < 60; i++)
		job(&f, i, W_BATCH, T_A, 1, 1);
	for (i = 0; i < count(&f, AGB_SCHED_START); i++)
		ended(&f, nth(&f, AGB_SCHED_START, i)->attempt,
		    AGB_RESULT_FAILED);
	for (i = 0; i < count(&f, AGB_SCHED_DECISION); i++)
		n += strstr(nth(&f, AGB_SCHED_DECISION, i)->detail,
			 "ejected") != NULL;
	CU_ASSERT_EQUAL(n, 3);
	fixture_free(&f);
}

/* Guards against workers that are ejected for the requests of one service,
 * and against a bad job that takes good workers down. */
static void
test_bad_job(void)
{
	struct fixture f;
	uint32_t i, n;

	fixture_init(&f);
	for (i = 0; i < 5; i++)
		worker_full(
		    &f, i, "r", res(8000, 32000, 0), 2, AGB_WORKER_LIVE);
	for (i = 0; i < 30; i++) {
		ask(&f, i, T_A, AGB_TIME_MAX);
		quick_done(
		    &f, last(&f, AGB_SCHED_GRANT)->attempt, AGB_RESULT_FAILED);
	}
	job(&f, 0, W_BATCH, T_A, 1, 1);
	for (i = 0; i < 5; i++) {
		n = count(&f, AGB_SCHED_START);
		if (n > i)
			ended(&f, last(&f, AGB_SCHED_START)->attempt,
			    AGB_RESULT_FAILED);
		pass_time(&f, 60 * AGB_SEC);
	}
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 3);
	CU_ASSERT_EQUAL(
	    last(&f, AGB_SCHED_JOB_DONE)->reason, AGB_REASON_FAILS_EVERYWHERE);
	CU_ASSERT_EQUAL(last(&f, AGB_SCHED_JOB_DONE)->outcome, AGB_RAN);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_DECISION), 0);
	fixture_free(&f);
}

/* Guards against a retry storm: retries are spaced and stay within the
 * budget, and work that must not run twice gets none. */
static void
test_retry_budget(void)
{
	struct agb_job_spec sp;
	struct fixture f;
	uint32_t i, n;

	fixture_init(&f);
	f.classes[W_BATCH].retry_budget_percent = 10;
	worker(&f, 0, 64);
	sp = spec(&f, W_BATCH, T_A, 1, 1);
	for (i = 0; i < 60; i++)
		job_add(&f, i, &sp);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 60);
	for (i = 0; i < 60; i++)
		ended(&f, nth(&f, AGB_SCHED_START, i)->attempt,
		    AGB_RESULT_FAILED);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 60);
	pass_time(&f, 5 * AGB_SEC);
	n = count(&f, AGB_SCHED_START) - 60;
	CU_ASSERT(n >= 1 && n <= 10 + 6 + 1);
	sp.idempotent = false;
	job_add(&f, 100, &sp);
	pass_time(&f, AGB_SEC);
	fixture_free(&f);
}

/* Guards against a burst of cancellations that holds up a placement or is
 * forgotten. */
static void
test_cancel_burst(void)
{
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	worker(&f, 0, 4);
	for (i = 0; i < 10000; i++)
		job(&f, i, W_BATCH, T_A, 1, 1);
	clear(&f);
	for (i = 4; i < 10000; i++)
		cancel(&f, i);
	CU_ASSERT(f.out.len < 100);
	clear(&f);
	job(&f, 10000, W_URGENT, T_A, 1, 1);
	CU_ASSERT(f.out.len < 200);
	CU_ASSERT_EQUAL(last(&f, AGB_SCHED_START)->job, 10000);
	for (i = 0; i < 1000; i++)
		tick(&f);
	CU_ASSERT(count(&f, AGB_SCHED_JOB_DONE) >= 9900);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 1);
	fixture_free(&f);
}

/* Guards against overload that refuses valuable work or swings: the least
 * urgent goes first, and taking starts again only below the lower mark. */
static void
test_shedding(void)
{
	struct fixture f;
	uint64_t i;

	fixture_init(&f);
	worker_full(&f, 0, "r", res(8000, 32000, 0), 2, AGB_WORKER_LIVE);
	for (i = 0; i < 1002; i++)
		ask(&f, i, T_A, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_DENY), 0);
	ask(&f, 2000, T_A, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(last(&f, AGB_SCHED_DENY)->tag, 2000);
	CU_ASSERT_EQUAL(last(&f, AGB_SCHED_DENY)->reason, AGB_REASON_OVERLOAD);
	/* A team with a smaller share displaces the newest of the other. */
	ask(&f, 2001, T_B, AGB_TIME_MAX);
	CU_ASSERT_EQUAL(last(&f, AGB_SCHED_DENY)->tag, 1000);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_DECISION), 1);
	fixture_free(&f);
}

/* Guards against work that waits although it cannot meet its deadline. */
static void
test_refused_early(void)
{
	struct agb_job_spec sp;
	struct fixture f;
	uint32_t i;

	fixture_init(&f);
	worker(&f, 0, 2);
	sp = spec(&f, W_BATCH, T_A, 1000, 1);
	job_add(&f, 0, &sp);
	for (i = 0; i < 60; i++) {
		pass_time(&f, AGB_SEC);
		ended(&f, nth(&f, AGB_SCHED_START, i)->attempt, AGB_RESULT_OK);
	}
	sp = spec(&f, W_BATCH, T_A, 1, 1);
	sp.deadline = f.now + 60 * AGB_SEC;
	job_add(&f, 1, &sp);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_JOB_DONE), 1);
	CU_ASSERT_EQUAL(
	    last(&f, AGB_SCHED_JOB_DONE)->reason, AGB_REASON_DEADLINE);
	sp.deadline = f.now + 3600 * AGB_SEC;
	job_add(&f, 2, &sp);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_JOB_DONE), 1);
	f.classes[W_BATCH].queue_max_ms = 1000;
	sp.deadline = AGB_TIME_MAX;
	sp.accepted_at = f.now;
	job_add(&f, 3, &sp);
	pass_time(&f, 2 * AGB_SEC);
	CU_ASSERT_EQUAL(
	    last(&f, AGB_SCHED_JOB_DONE)->reason, AGB_REASON_OVERLOAD);
	fixture_free(&f);
}

/* Guards against services that go down with a leaving worker. */
static void
test_leaving_moves_services(void)
{
	const struct agb_sched_effect *ef;
	struct fixture f;

	fixture_init(&f);
	worker(&f, 0, 4);
	job(&f, 0, W_SERVICE, T_A, 2, 1);
	worker(&f, 1, 4);
	worker_state(&f, 0, AGB_WORKER_LEAVING);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_STOP), 1);
	ef = last(&f, AGB_SCHED_STOP);
	CU_ASSERT_EQUAL(ef->reason, AGB_REASON_LEAVING);
	ended(&f, ef->attempt, AGB_RESULT_STOPPED);
	CU_ASSERT_EQUAL(last(&f, AGB_SCHED_START)->worker, 1);
	pass_time(&f, 3 * AGB_SEC);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_STOP), 2);
	fixture_free(&f);
}

/* Guards against a document that renumbers its kinds of work and so turns
 * queued jobs and runners into others. */
static void
test_document_renumbered(void)
{
	struct agb_env_work w;
	struct fixture f, g;

	fixture_init(&f);
	worker_full(&f, 0, "r", res(4000, 16000, 0), 2, AGB_WORKER_LIVE);
	job(&f, 0, W_BATCH, T_A, 4, 1);
	g = f;
	w = g.works[W_QUICK];
	g.works[W_QUICK] = g.works[W_BATCH];
	g.works[W_BATCH] = w;
	g.env.works = g.works;
	g.env.classes = g.classes;
	g.env.teams = g.teams;
	g.env.domains = g.domains;
	g.env.regions = g.regions;
	{
		struct agb_sched_event ev = event(AGB_SCHED_ENV);

		ev.env = &g.env;
		step(&f, &ev);
		CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 2);
		ev = event(AGB_SCHED_QUICK_ASK);
		ev.work = W_BATCH;
		step(&f, &ev);
		CU_ASSERT_EQUAL(count(&f, AGB_SCHED_GRANT), 1);
	}
	ended(&f, nth(&f, AGB_SCHED_START, 0)->attempt, AGB_RESULT_OK);
	CU_ASSERT_EQUAL(count(&f, AGB_SCHED_START), 3);
	CU_ASSERT(
	    strstr(last(&f, AGB_SCHED_START)->detail, "work=sort") != NULL);
	fixture_free(&f);
}

static const struct suite_test tests[] = {
    {"unknown_grant_holds", test_unknown_grant_holds},
    {"runner_limits", test_runner_limits},
    {"fair_shares", test_fair_shares},
    {"quota", test_quota},
    {"borrowed_is_reclaimed", test_borrowed_is_reclaimed},
    {"headroom", test_headroom},
    {"urgent_makes_room", test_urgent_makes_room},
    {"firm_work_is_not_stopped", test_firm_work_is_not_stopped},
    {"gang_reserves", test_gang_reserves},
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
    {"refused_early", test_refused_early},
    {"leaving_moves_services", test_leaving_moves_services},
    {"document_renumbered", test_document_renumbered},
};

int
main(void)
{
	return suite_run("sched_faults", tests, LEN(tests));
}

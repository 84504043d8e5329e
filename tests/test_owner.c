#include "fake_shard.h"
#include "suite.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

static agb_x_submit_res *
submit_result(struct shard *s, uint64_t token)
{
	unsigned n;
	agb_x_res *const r = shard_find_reply(s, token, &n);

	CU_ASSERT_EQUAL_FATAL(n, 1);
	return &r->agb_x_res_u.submit;
}

static agb_x_grant_res *
grant_result(struct shard *s, uint64_t token)
{
	unsigned n;
	agb_x_res *const r = shard_find_reply(s, token, &n);

	CU_ASSERT_EQUAL_FATAL(n, 1);
	return &r->agb_x_res_u.grant;
}

/* Returns the present state of a job. */
static agb_x_job_res *
job_state(struct shard *s, unsigned node, const char *id)
{
	const uint64_t token =
	    shard_job_call(s, node, AGB_X_JOB_GET, id, "red", 0);
	agb_x_res *const r = shard_find_reply(s, token, NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(r);
	return &r->agb_x_res_u.job_get;
}

/* Submits a job of one task and waits until it is accepted. Returns its id. */
static const char *
submit_accepted(struct shard *s, const char *work, bool idempotent)
{
	const uint64_t token = shard_submit(s, 0, work, 1, idempotent, "");

	shard_run(s, 300 * AGB_MS);
	CU_ASSERT_TRUE_FATAL(submit_result(s, token)->accepted);
	return submit_result(s, token)->job;
}

static unsigned
count_starts(const struct shard *s)
{
	unsigned n = 0, i;

	for (i = 0; i < SHARD_WORKERS; i++)
		n += s->workers[i].starts;
	return n;
}

static unsigned
count_running(const struct shard *s)
{
	unsigned n = 0, i;

	for (i = 0; i < SHARD_WORKERS; i++)
		n += fake_worker_running(&s->workers[i]);
	return n;
}

/* Returns the worker that runs the only task. */
static struct fake_worker *
busy_worker(struct shard *s)
{
	unsigned i;

	for (i = 0; i < SHARD_WORKERS; i++) {
		if (fake_worker_running(&s->workers[i]) > 0)
			return &s->workers[i];
	}
	CU_FAIL_FATAL("no task runs");
	return NULL;
}

static bool
is_active(const struct shard *s, unsigned node)
{
	return s->nodes[node].owner != NULL &&
	    agb_owner_active(s->nodes[node].owner, s->now);
}

/* Guards against two owners or none when the store's answer to the creation of
 * the owner key is lost. */
static void
test_election_faults(void)
{
	static const enum fake_fault faults[] = {
	    FAKE_OK, FAKE_LOSE_REPLY, FAKE_LOSE_CALL, FAKE_REFUSE};
	size_t i;

	for (i = 0; i < LEN(faults); i++) {
		struct shard *const s = agb_xcalloc(1, sizeof(*s));
		const struct agb_store_kv *kv;
		agb_x_shard sum;

		s->now = 100 * AGB_SEC;
		s->store = agb_xcalloc(1, sizeof(*s->store));
		s->store->fault = faults[i];
		s->store->fault_key = "/owner";
		s->log = agb_xstrdup("");
		shard_node_start(s, 0, 0);
		shard_run(s, 3 * AGB_SEC);
		CU_ASSERT_TRUE(is_active(s, 0));
		CU_ASSERT_STRING_EQUAL(
		    agb_owner_rpc_address(s->nodes[0].owner), "10.0.1.0:7000");
		kv =
		    fake_store_find(s->store, "agatebeam/trial/shard/d1/owner");
		CU_ASSERT_PTR_NOT_NULL_FATAL(kv);
		CU_ASSERT_TRUE(
		    agb_owner_shard_summary(s->nodes[0].owner, s->now, &sum));
		CU_ASSERT_EQUAL(sum.epoch, kv != NULL ? kv->create_rev : 0);
		xdr_free((xdrproc_t)xdr_agb_x_shard, (char *)&sum);
		shard_free(s);
	}
}

/* Guards against a job that is lost or runs twice between acceptance and result,
 * and against a result that is reported to a caller before it is durable. */
static void
test_job_life(void)
{
	struct shard *const s = shard_new(2);
	const char *const id = submit_accepted(s, "plan", false);
	uint64_t wait;
	agb_x_job_res *r;

	CU_ASSERT_EQUAL(count_starts(s), 1);
	CU_ASSERT_STRING_EQUAL(job_state(s, 0, id)->state, "running");
	wait = shard_job_call(s, 0, AGB_X_JOB_GET, id, "red", 5000);
	CU_ASSERT_PTR_NULL(shard_find_reply(s, wait, NULL));
	fake_worker_finish_tasks(busy_worker(s), AGB_RESULT_OK, "{\"n\":1}");
	shard_run(s, 300 * AGB_MS);
	CU_ASSERT_PTR_NOT_NULL_FATAL(shard_find_reply(s, wait, NULL));
	r = &shard_find_reply(s, wait, NULL)->agb_x_res_u.job_get;
	CU_ASSERT_STRING_EQUAL(r->state, "done");
	CU_ASSERT_EQUAL(r->outcome, AGB_OUTCOME_RAN);
	CU_ASSERT_EQUAL(r->result.result_len, 7);
	CU_ASSERT_EQUAL(count_starts(s), 1);
	/* Another team cannot see the job. */
	wait = shard_job_call(s, 0, AGB_X_JOB_GET, id, "blue", 0);
	r = &shard_find_reply(s, wait, NULL)->agb_x_res_u.job_get;
	CU_ASSERT_FALSE(r->found);
	CU_ASSERT_EQUAL(r->reason, AGB_REASON_NOT_FOUND);
	shard_free(s);
}

/* Guards against a job that runs twice, or a submission that is never answered,
 * when the store's answer to a journal write is lost. */
static void
test_submit_store_faults(void)
{
	static const enum fake_fault faults[] = {
	    FAKE_LOSE_REPLY, FAKE_LOSE_CALL, FAKE_REFUSE};
	size_t i;

	for (i = 0; i < LEN(faults); i++) {
		struct shard *const s = shard_new(1);
		uint64_t a, b;

		s->store->fault = faults[i];
		s->store->fault_key = "/journal/";
		a = shard_submit(s, 0, "plan", 1, false, "key1");
		b = shard_submit(s, 0, "plan", 1, false, "key1");
		CU_ASSERT_PTR_NULL(shard_find_reply(s, a, NULL));
		shard_run(s, 2 * AGB_SEC);
		CU_ASSERT_TRUE(submit_result(s, a)->accepted);
		CU_ASSERT_STRING_EQUAL(
		    submit_result(s, a)->job, submit_result(s, b)->job);
		CU_ASSERT_EQUAL(count_starts(s), 1);
		a = shard_submit(s, 0, "plan", 1, false, "key1");
		CU_ASSERT_STRING_EQUAL(
		    submit_result(s, a)->job, submit_result(s, b)->job);
		shard_free(s);
	}
}

/* Replaces the owner key of node 0 by that of another instance. */
static void
replace_owner_key(struct shard *s)
{
	struct agb_store_op op;
	struct agb_store_result r;

	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_delete(&op, "agatebeam/trial/shard/d1/owner", NULL);
	r = fake_store_call(s->store, s->now, &op);
	agb_store_result_free(&r);
	agb_store_op_free(&op);
	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_put(&op, "agatebeam/trial/shard/d1/owner",
	    "{\"rpc\":\"10.9.9.9:1\"}", 20, 0);
	r = fake_store_call(s->store, s->now, &op);
	agb_store_result_free(&r);
	agb_store_op_free(&op);
}

/* Guards against a journal write by an owner that has lost its shard, and against
 * the outcome not-run for a job whose record a new owner may have read. */
static void
test_fenced_write(void)
{
	static const struct {
		enum fake_fault fault;
		enum agb_outcome outcome;
		enum agb_reason reason;
	} cases[] = {
	    {FAKE_OK, AGB_OUTCOME_NOT_RUN, AGB_REASON_NO_OWNER},
	    {FAKE_LOSE_REPLY, AGB_OUTCOME_UNKNOWN, AGB_REASON_STORE_UNKNOWN},
	};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct shard *const s = shard_new(1);
		uint64_t token;

		/* Without a watch, the node does not see that its owner key
		 * changes. Only the fencing of its writes is left to stop it. */
		free(s->nodes[0].watch_key);
		s->nodes[0].watch_key = NULL;
		if (cases[i].fault == FAKE_OK)
			replace_owner_key(s);
		s->store->fault = cases[i].fault;
		s->store->fault_key = "/journal/";
		token = shard_submit(s, 0, "plan", 1, false, "");
		shard_run(s, 10 * AGB_MS);
		if (cases[i].fault != FAKE_OK) {
			/* The new owner has compacted the journal value. */
			replace_owner_key(s);
			fake_store_delete(s->store,
			    "agatebeam/trial/shard/"
			    "d1/journal/",
			    "agatebeam/trial/shard/d1/journal0");
		}
		shard_run(s, 2 * AGB_SEC);
		CU_ASSERT_FALSE(submit_result(s, token)->accepted);
		CU_ASSERT_EQUAL(
		    submit_result(s, token)->outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(
		    submit_result(s, token)->reason, cases[i].reason);
		CU_ASSERT_FALSE(is_active(s, 0));
		CU_ASSERT_STRING_EQUAL(
		    agb_owner_rpc_address(s->nodes[0].owner), "10.9.9.9:1");
		CU_ASSERT_EQUAL(count_starts(s), 0);
		shard_free(s);
	}
}

/* Guards against an idle owner that keeps the role although another instance
 * owns the shard. It learns of that from the watch, or from the read that
 * follows a broken watch. */
static void
test_other_owner_seen(void)
{
	static const bool broken[] = {false, true};
	size_t i;

	for (i = 0; i < LEN(broken); i++) {
		struct shard *const s = shard_new(1);
		struct agb_event ev = {.type = AGB_EV_WATCH};

		if (broken[i]) {
			free(s->nodes[0].watch_key);
			s->nodes[0].watch_key = NULL;
			ev.tag = s->nodes[0].watch_tag;
			ev.u.watch.broken = true;
			shard_send_event(s, 0, &ev);
		}
		replace_owner_key(s);
		shard_run(s, broken[i] ? 200 * AGB_MS : 10 * AGB_MS);
		CU_ASSERT_FALSE(is_active(s, 0));
		CU_ASSERT_STRING_EQUAL(
		    agb_owner_rpc_address(s->nodes[0].owner), "10.9.9.9:1");
		shard_free(s);
	}
}

/* Guards against an owner that was paused past the end of its lease and then
 * still acts as the owner. */
static void
test_paused_owner(void)
{
	struct shard *const s = shard_new(2);
	uint64_t token;
	const char *id;

	shard_node_start(s, 1, 2);
	shard_run(s, 300 * AGB_MS);
	CU_ASSERT_FALSE(is_active(s, 1));
	id = submit_accepted(s, "plan", false);
	s->nodes[0].paused = true;
	shard_run(s, 4 * AGB_SEC);
	CU_ASSERT_TRUE(is_active(s, 1));
	CU_ASSERT_STRING_EQUAL(job_state(s, 1, id)->state, "running");
	/* The paused owner receives a call before it learns of the new one. */
	token = shard_submit(s, 0, "plan", 1, false, "");
	CU_ASSERT_EQUAL(submit_result(s, token)->outcome, AGB_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(submit_result(s, token)->reason, AGB_REASON_ISOLATED);
	s->nodes[0].paused = false;
	shard_run(s, AGB_SEC);
	CU_ASSERT_FALSE(is_active(s, 0));
	CU_ASSERT_TRUE(is_active(s, 1));
	CU_ASSERT_EQUAL(count_starts(s), 1);
	shard_free(s);
}

/* Guards against an owner without access to the store that refuses requests
 * which it can serve, or that accepts or starts work which needs the store. */
static void
test_isolation(void)
{
	struct shard *const s = shard_new(2);
	uint64_t plain, keyed, job_token, queued;

	queued = shard_submit(s, 0, "plan", 1, true, "");
	s->store->fault = FAKE_OK;
	s->nodes[0].store_unreachable = true;
	shard_run(s, 3 * AGB_SEC);
	CU_ASSERT_TRUE(is_active(s, 0));
	plain = shard_grant(s, 0, "", 1000);
	keyed = shard_grant(s, 0, "k", 1000);
	job_token = shard_submit(s, 0, "plan", 1, true, "");
	shard_run(s, 50 * AGB_MS);
	CU_ASSERT_TRUE(grant_result(s, plain)->granted);
	CU_ASSERT_FALSE(grant_result(s, keyed)->granted);
	CU_ASSERT_EQUAL(grant_result(s, keyed)->outcome, AGB_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(grant_result(s, keyed)->reason, AGB_REASON_ISOLATED);
	CU_ASSERT_EQUAL(
	    submit_result(s, job_token)->outcome, AGB_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(
	    submit_result(s, job_token)->reason, AGB_REASON_ISOLATED);
	CU_ASSERT_EQUAL(count_starts(s), 0);
	/* The store can be reached again, but the lease has expired. */
	s->nodes[0].store_unreachable = false;
	shard_run(s, 6 * AGB_SEC);
	CU_ASSERT_TRUE(is_active(s, 0));
	job_token = shard_submit(s, 0, "plan", 1, true, "");
	shard_run(s, 500 * AGB_MS);
	CU_ASSERT_TRUE(submit_result(s, job_token)->accepted);
	CU_ASSERT_PTR_NOT_NULL(shard_find_reply(s, queued, NULL));
	shard_free(s);
}

/* Guards against a caller that waits forever while the store cannot be reached,
 * and against a job that runs after its caller was told that it did not. */
static void
test_isolated_submits(void)
{
	struct shard *const s = shard_new(1);
	uint64_t flight, pending, keyed;

	s->nodes[0].store_unreachable = true;
	flight = shard_submit(s, 0, "plan", 1, true, "");
	shard_run(s, 10 * AGB_MS);
	pending = shard_submit(s, 0, "plan", 1, true, "");
	keyed = shard_grant(s, 0, "k", 10000);
	shard_run(s, 5 * AGB_SEC);
	CU_ASSERT_EQUAL(submit_result(s, flight)->outcome, AGB_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL(
	    submit_result(s, pending)->outcome, AGB_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(submit_result(s, pending)->reason, AGB_REASON_ISOLATED);
	CU_ASSERT_EQUAL(grant_result(s, keyed)->reason, AGB_REASON_ISOLATED);
	s->nodes[0].store_unreachable = false;
	shard_run(s, 6 * AGB_SEC);
	CU_ASSERT_TRUE(is_active(s, 0));
	CU_ASSERT_TRUE(count_starts(s) == 0);
	keyed = shard_grant(s, 0, "k", 10000);
	shard_run(s, 200 * AGB_MS);
	CU_ASSERT_TRUE(grant_result(s, keyed)->granted);
	shard_free(s);
}

/* Guards against a task that stays unconfirmed forever because its worker was
 * removed from the instance list before the new owner was elected. */
static void
test_takeover_worker_gone(void)
{
	struct shard *const s = shard_new(1);
	char id[AGB_ID_LEN];

	agb_str_copy(id, sizeof(id), submit_accepted(s, "plan", false));
	s->workers[0].unreachable = true;
	shard_node_kill(s, 0);
	shard_node_start(s, 0, 0);
	shard_run(s, 8 * AGB_SEC);
	CU_ASSERT_STRING_EQUAL(job_state(s, 0, id)->state, "running");
	shard_run(s, 12 * AGB_SEC);
	CU_ASSERT_STRING_EQUAL(job_state(s, 0, id)->state, "done");
	CU_ASSERT_EQUAL(job_state(s, 0, id)->outcome, AGB_OUTCOME_UNKNOWN);
	shard_free(s);
}

/* Guards against a task that runs twice because its worker does not answer, and
 * against one that is not run again although it has certainly stopped. */
static void
test_silent_worker(void)
{
	static const struct {
		const char *work;
		bool gone;	/* the instance list reports it as gone */
		unsigned early; /* number of task starts after 10 s */
		unsigned late;	/* number of task starts after 20 s */
	} cases[] = {
	    {"plan", false, 1, 2},
	    {"cut", false, 1, 1},
	    {"cut", true, 1, 2},
	};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct shard *const s = shard_new(1);
		const char *const id = submit_accepted(s, cases[i].work, true);
		struct fake_worker *const w = busy_worker(s);

		shard_send_list(s, 0, 2, AGB_INSTANCE_LIVE);
		shard_run(s, 100 * AGB_MS);
		w->unreachable = true;
		shard_run(s, 2 * AGB_SEC);
		if (cases[i].gone)
			shard_send_list(s, 0, 2, AGB_INSTANCE_GONE);
		shard_run(s, 8 * AGB_SEC);
		CU_ASSERT_EQUAL(count_starts(s), cases[i].early);
		CU_ASSERT_STRING_EQUAL(job_state(s, 0, id)->state, "running");
		shard_run(s, 10 * AGB_SEC);
		CU_ASSERT_EQUAL(count_starts(s), cases[i].late);
		shard_free(s);
	}
}

/* Guards against an owner without access to the store that takes the silence of
 * a worker as proof that its tasks have stopped. A newer owner may be renewing
 * that worker's session. */
static void
test_silence_needs_lease(void)
{
	struct shard *const s = shard_new(1);

	(void)submit_accepted(s, "plan", true);
	shard_send_list(s, 0, 2, AGB_INSTANCE_LIVE);
	shard_run(s, 100 * AGB_MS);
	s->worker_unreachable[0][0] = true;
	s->nodes[0].store_unreachable = true;
	shard_run(s, 30 * AGB_SEC);
	CU_ASSERT_EQUAL(count_starts(s), 1);
	CU_ASSERT_EQUAL(count_running(s), 1);
	CU_ASSERT_PTR_NULL(strstr(s->log, "evidence "));
	shard_free(s);
}

/* Guards against a task that runs twice because its START is repeated after the
 * answer was lost. The worker may have discarded the acknowledged end of the
 * task by then, or may have restarted at any moment in between. */
static void
test_start_repeated(void)
{
	struct shard *s = shard_new(1);
	unsigned ms;

	s->workers[0].drop_responses = 5;
	(void)shard_submit(s, 0, "plan", 1, false, "");
	shard_run(s, 110 * AGB_MS);
	CU_ASSERT_EQUAL(
	    fake_worker_finish_tasks(&s->workers[0], AGB_RESULT_OK, "r"), 1);
	shard_run(s, 5 * AGB_SEC);
	CU_ASSERT_EQUAL(count_starts(s), 1);
	CU_ASSERT_EQUAL(s->workers[0].tasks_len, 0);
	shard_free(s);
	for (ms = 50; ms < 1500; ms += 50) {
		uint64_t token;

		s = shard_new(1);
		s->workers[0].drop_responses = 3;
		token = shard_submit(s, 0, "plan", 1, false, "");
		shard_run(s, ms * AGB_MS);
		fake_worker_reboot(&s->workers[0]);
		shard_run(s, 5 * AGB_SEC);
		CU_ASSERT_EQUAL(count_starts(s), 1);
		CU_ASSERT_EQUAL(
		    job_state(s, 0, submit_result(s, token)->job)->outcome,
		    AGB_OUTCOME_UNKNOWN);
		shard_free(s);
	}
}

/* Guards against an instance that sends no commands any more after it was elected
 * again while commands of its earlier epoch were queued. */
static void
test_reelected_commands(void)
{
	struct shard *const s = shard_new(1);
	uint64_t token;

	s->workers[0].drop_responses = 100;
	token = shard_submit(s, 0, "plan", 1, true, "");
	shard_run(s, 500 * AGB_MS);
	CU_ASSERT_TRUE(submit_result(s, token)->accepted);
	s->nodes[0].store_unreachable = true;
	shard_run(s, 3 * AGB_SEC);
	s->nodes[0].store_unreachable = false;
	s->workers[0].drop_responses = 0;
	shard_run(s, 4 * AGB_SEC);
	CU_ASSERT_TRUE(is_active(s, 0));
	(void)shard_submit(s, 0, "plan", 1, true, "");
	shard_run(s, AGB_SEC);
	CU_ASSERT_EQUAL(count_starts(s), 2);
	shard_free(s);
}

/* Guards against an instance that forgets, when it is elected again, until when
 * the session of a worker that is gone can last: tasks that may still run there
 * would be started elsewhere at once. */
static void
test_reelected_worker_gone(void)
{
	struct shard *const s = shard_new(1);

	(void)submit_accepted(s, "cut", true);
	shard_send_list(s, 0, 2, AGB_INSTANCE_LIVE);
	shard_run(s, 100 * AGB_MS);
	s->worker_unreachable[0][0] = true;
	shard_send_list(s, 0, 2, AGB_INSTANCE_GONE);
	s->nodes[0].store_unreachable = true;
	shard_run(s, 3 * AGB_SEC);
	s->nodes[0].store_unreachable = false;
	shard_run(s, 5 * AGB_SEC);
	CU_ASSERT_PTR_NOT_NULL(strstr(s->log, "role-lost "));
	CU_ASSERT_TRUE(is_active(s, 0));
	CU_ASSERT_EQUAL(count_starts(s), 1);
	shard_run(s, 13 * AGB_SEC);
	CU_ASSERT_EQUAL(count_starts(s), 2);
	shard_free(s);
}

/* Guards against the acceptance of a job that no worker of the shard can ever
 * hold: the entry instance would not ask another shard. */
static void
test_never_fits(void)
{
	static const struct {
		int64_t cpu_milli;
		bool accepted;
		enum agb_reason reason;
	} cases[] = {
	    {1000, true, AGB_REASON_NONE},
	    {5000, false, AGB_REASON_NEVER_FITS},
	};
	const agb_x_submit_res *res;
	struct agb_event ev;
	struct shard *s;
	uint64_t token;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		s = shard_new(1);
		ev = shard_rpc_event(s, AGB_X_SUBMIT);
		token = ev.token;
		ev.u.rpc_args.agb_x_args_u.submit.work = agb_xstrdup("plan");
		ev.u.rpc_args.agb_x_args_u.submit.team = agb_xstrdup("red");
		ev.u.rpc_args.agb_x_args_u.submit.key = agb_xstrdup("");
		ev.u.rpc_args.agb_x_args_u.submit.tasks = 1;
		ev.u.rpc_args.agb_x_args_u.submit.need.cpu_milli =
		    cases[i].cpu_milli;
		shard_send_event(s, 0, &ev);
		shard_run(s, 500 * AGB_MS);
		res = submit_result(s, token);
		CU_ASSERT_EQUAL(res->accepted, cases[i].accepted);
		CU_ASSERT_EQUAL(res->reason, cases[i].reason);
		CU_ASSERT_EQUAL(res->outcome, AGB_OUTCOME_NOT_RUN);
		shard_free(s);
	}
}

/* Guards against a cancellation that has no effect because the START has not been
 * answered yet. */
static void
test_cancel_start_in_flight(void)
{
	static const unsigned lost[] = {0, 1, 3};
	size_t i;

	for (i = 0; i < LEN(lost); i++) {
		struct shard *const s = shard_new(1);
		uint64_t token, cancel;
		const char *id;
		agb_x_job_res *r;

		s->workers[0].drop_responses = lost[i];
		token = shard_submit(s, 0, "plan", 1, false, "");
		shard_run(s, 110 * AGB_MS);
		id = submit_result(s, token)->job;
		CU_ASSERT_EQUAL(count_starts(s), 1);
		cancel = shard_job_call(s, 0, AGB_X_CANCEL, id, "red", 0);
		shard_run(s, 5 * AGB_SEC);
		CU_ASSERT_PTR_NOT_NULL(shard_find_reply(s, cancel, NULL));
		CU_ASSERT_EQUAL(count_running(s), 0);
		CU_ASSERT_EQUAL(count_starts(s), 1);
		r = job_state(s, 0, id);
		CU_ASSERT_STRING_EQUAL(r->state, "done");
		CU_ASSERT_EQUAL(r->reason, AGB_REASON_CANCELLED);
		CU_ASSERT_NOT_EQUAL(r->outcome, AGB_OUTCOME_NOT_RUN);
		shard_free(s);
	}
}

/* Guards against a START that is sent although the job was cancelled before. */
static void
test_cancel_before_start(void)
{
	struct shard *const s = shard_new(1);
	uint64_t token;
	const char *id;

	s->workers[0].unreachable = true;
	token = shard_submit(s, 0, "plan", 1, false, "");
	shard_run(s, 110 * AGB_MS);
	id = submit_result(s, token)->job;
	(void)shard_job_call(s, 0, AGB_X_CANCEL, id, "red", 0);
	s->workers[0].unreachable = false;
	shard_run(s, 3 * AGB_SEC);
	CU_ASSERT_EQUAL(count_running(s), 0);
	CU_ASSERT_STRING_EQUAL(job_state(s, 0, id)->state, "done");
	shard_free(s);
}

/* Guards against a second run with an idempotency key that was used before. */
static void
test_duplicate_key(void)
{
	static const struct {
		enum agb_result result;
		bool granted;
		enum agb_outcome outcome;
	} cases[] = {
	    {AGB_RESULT_OK, false, AGB_OUTCOME_RAN},
	    {AGB_RESULT_FAILED, false, AGB_OUTCOME_RAN},
	    {AGB_RESULT_LOST, false, AGB_OUTCOME_UNKNOWN},
	    {AGB_RESULT_NOT_STARTED, true, AGB_OUTCOME_NOT_RUN},
	};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct shard *const s = shard_new(2);
		uint64_t a, b;

		a = shard_grant(s, 0, "k", 2000);
		CU_ASSERT_PTR_NULL(shard_find_reply(s, a, NULL));
		shard_run(s, 200 * AGB_MS);
		CU_ASSERT_TRUE_FATAL(grant_result(s, a)->granted);
		b = shard_grant(s, 0, "k", 2000);
		CU_ASSERT_EQUAL(
		    grant_result(s, b)->outcome, AGB_OUTCOME_UNKNOWN);
		CU_ASSERT_EQUAL(
		    grant_result(s, b)->reason, AGB_REASON_DUPLICATE);
		shard_release(
		    s, 0, &grant_result(s, a)->attempt, cases[i].result);
		shard_run(s, 800 * AGB_MS);
		/* A new owner must recover the use of the key. */
		if (!cases[i].granted) {
			shard_node_kill(s, 0);
			shard_node_start(s, 0, 2);
			shard_run(s, 4 * AGB_SEC);
		}
		b = shard_grant(s, 0, "k", 2000);
		shard_run(s, 200 * AGB_MS);
		CU_ASSERT_EQUAL(grant_result(s, b)->granted, cases[i].granted);
		if (!cases[i].granted) {
			CU_ASSERT_EQUAL(
			    grant_result(s, b)->outcome, cases[i].outcome);
			CU_ASSERT_EQUAL(
			    grant_result(s, b)->reason, AGB_REASON_DUPLICATE);
		}
		shard_free(s);
	}
}

/* Guards against a slot that is never freed, or that is granted again while its
 * runner is still busy, after the entry instance that held the grant has
 * failed. */
static void
test_dead_entry_instance(void)
{
	static const struct {
		bool busy;
		bool released; /* as lost, before the instance failed */
	} cases[] = {{false, false}, {true, false}, {true, true}};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct shard *const s = shard_new(1);
		struct fake_worker *const w = &s->workers[0];
		uint64_t a, b, c;

		a = shard_grant(s, 0, "", 500);
		b = shard_grant(s, 0, "", 60000);
		CU_ASSERT_TRUE_FATAL(grant_result(s, a)->granted);
		CU_ASSERT_TRUE_FATAL(grant_result(s, b)->granted);
		if (cases[i].busy) {
			w->slots[0].epoch = grant_result(s, a)->attempt.epoch;
			w->slots[0].seq = grant_result(s, a)->attempt.seq;
			w->slots_len = 1;
		}
		if (cases[i].released)
			shard_release(s, 0, &grant_result(s, a)->attempt,
			    AGB_RESULT_LOST);
		shard_run(s, 2 * AGB_SEC);
		CU_ASSERT_EQUAL(w->revoked_len, cases[i].released);
		c = shard_grant(s, 0, "", 60000);
		shard_run(s, 1500 * AGB_MS);
		CU_ASSERT_EQUAL(w->revoked_len, 1);
		if (cases[i].busy) {
			shard_run(s, 10 * AGB_SEC);
			CU_ASSERT_PTR_NULL(shard_find_reply(s, c, NULL));
			w->slots_len = 0;
			shard_run(s, 7 * AGB_SEC);
		}
		CU_ASSERT_PTR_NOT_NULL_FATAL(shard_find_reply(s, c, NULL));
		CU_ASSERT_TRUE(grant_result(s, c)->granted);
		shard_free(s);
	}
}

/* Requests a grant for a request whose earlier attempt was lost. */
static uint64_t
grant_after(struct shard *s, unsigned node, const struct agb_attempt *lost,
    const char *worker)
{
	struct agb_event ev = shard_rpc_event(s, AGB_X_GRANT);
	agb_x_grant_args *const a = &ev.u.rpc_args.agb_x_args_u.grant;
	const uint64_t token = ev.token;

	a->request = agb_xstrdup("lost");
	a->work = agb_xstrdup("check");
	a->team = agb_xstrdup("red");
	a->instance = agb_xstrdup("entry1");
	a->key = agb_xstrdup("");
	a->idempotent = true;
	a->previous.epoch = lost->epoch;
	a->previous.seq = lost->seq;
	a->previous_worker = agb_xstrdup(worker);
	shard_send_event(s, node, &ev);
	return token;
}

/* The answer of worker 0 to a quick request is lost, and its owner dies. Guards
 * against an owner that grants the next attempt while the first one may still
 * run, and against one that never grants it. */
static void
test_lost_attempt_after_takeover(void)
{
	static const struct {
		const char *what;
		bool known;   /* the new owner has seen worker 0 in the list */
		bool gone;    /* the instance list reports it as gone */
		bool silent;  /* it does not answer the new owner */
		bool busy;    /* its runner still works on the attempt */
		bool at_once; /* granted as soon as the new owner is active */
		bool later;   /* granted 15 s later */
	} cases[] = {
	    {"answers without it", true, false, false, false, true, true},
	    {"answers with it", true, false, false, true, false, false},
	    {"silent", true, false, true, true, false, false},
	    {"gone after it was seen", true, true, true, true, false, true},
	    {"never seen", false, true, true, true, false, true},
	};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct shard *const s = shard_new(1);
		struct fake_worker *const w = &s->workers[0];
		struct agb_attempt lost;
		uint64_t a;

		a = shard_grant(s, 0, "", 60000);
		CU_ASSERT_TRUE_FATAL(grant_result(s, a)->granted);
		lost.epoch = grant_result(s, a)->attempt.epoch;
		lost.seq = grant_result(s, a)->attempt.seq;
		if (cases[i].busy)
			w->slots[w->slots_len++] = lost;
		w->unreachable = cases[i].silent;
		shard_node_kill(s, 0);
		shard_node_start(s, 1, cases[i].known ? 2 : 0);
		shard_send_list(s, 1, 2,
		    cases[i].gone ? AGB_INSTANCE_GONE : AGB_INSTANCE_LIVE);
		while (!is_active(s, 1) && s->now < 110 * AGB_SEC)
			shard_run(s, 10 * AGB_MS);
		shard_run(s, 100 * AGB_MS);
		a = grant_after(s, 1, &lost, w->id);
		shard_run(s, 100 * AGB_MS);
		if (grant_result(s, a)->granted != cases[i].at_once)
			printf("\n%s: at once\n", cases[i].what);
		CU_ASSERT_EQUAL(grant_result(s, a)->granted, cases[i].at_once);
		if (!cases[i].at_once)
			CU_ASSERT_EQUAL(
			    grant_result(s, a)->outcome, AGB_OUTCOME_UNKNOWN);
		shard_run(s, 15 * AGB_SEC);
		a = grant_after(s, 1, &lost, w->id);
		shard_run(s, 100 * AGB_MS);
		if (grant_result(s, a)->granted != cases[i].later)
			printf("\n%s: later\n", cases[i].what);
		CU_ASSERT_EQUAL(grant_result(s, a)->granted, cases[i].later);
		shard_free(s);
	}
}

/* Guards against work that a new owner starts a second time or loses, and against
 * a failover that takes too long. */
static void
test_takeover_adopts(void)
{
	struct shard *const s = shard_new(2);
	const char *const id = submit_accepted(s, "plan", false);
	struct fake_worker *const w = busy_worker(s);
	uint64_t token;
	agb_time failed_at;

	/* A runner is busy with a grant of the old owner. */
	w->slots[0].epoch = w->epoch;
	w->slots[0].seq = 999;
	w->slots_len = 1;
	shard_node_start(s, 1, 2);
	shard_run(s, 500 * AGB_MS);
	shard_node_kill(s, 0);
	failed_at = s->now;
	while (!is_active(s, 1) && s->now < failed_at + 5 * AGB_SEC)
		shard_run(s, 10 * AGB_MS);
	shard_run(s, 20 * AGB_MS);
	token = shard_submit(s, 1, "plan", 1, true, "");
	while (count_starts(s) < 2 && s->now < failed_at + 5 * AGB_SEC)
		shard_run(s, 10 * AGB_MS);
	CU_ASSERT_TRUE(s->now - failed_at < 3 * AGB_SEC);
	CU_ASSERT_TRUE(submit_result(s, token)->accepted);
	CU_ASSERT_PTR_NOT_NULL(strstr(s->log, "adopt job="));
	CU_ASSERT_PTR_NOT_NULL(strstr(s->log, "adopt attempt="));
	CU_ASSERT_STRING_EQUAL(job_state(s, 1, id)->state, "running");
	fake_worker_finish_tasks(w, AGB_RESULT_OK, "done");
	shard_run(s, 500 * AGB_MS);
	CU_ASSERT_EQUAL(job_state(s, 1, id)->outcome, AGB_OUTCOME_RAN);
	CU_ASSERT_EQUAL(count_starts(s), 2);
	shard_free(s);
}

/* Guards against a second run of a non-idempotent task when the new owner knows
 * the first start only from its START record, and against a task that never
 * runs. */
static void
test_intent_without_result(void)
{
	static const struct {
		bool reached; /* the START reached the worker */
		bool reboot;  /* the worker restarted after that */
		bool ended;   /* the task ended, not reported to the owner */
		enum agb_outcome outcome;
		unsigned starts;
	} cases[] = {
	    {true, true, false, AGB_OUTCOME_UNKNOWN, 1},
	    {false, false, false, AGB_OUTCOME_RAN, 1},
	    {false, true, false, AGB_OUTCOME_UNKNOWN, 0},
	    {true, false, true, AGB_OUTCOME_RAN, 1},
	};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct shard *const s = shard_new(1);
		struct fake_worker *const w = &s->workers[0];
		char id[AGB_ID_LEN];
		uint64_t token;

		w->unreachable = !cases[i].reached;
		token = shard_submit(s, 0, "plan", 1, false, "");
		shard_run(s, 250 * AGB_MS);
		agb_str_copy(id, sizeof(id), submit_result(s, token)->job);
		/* The owner fails before the end is reported to it. */
		s->worker_unreachable[0][0] = true;
		if (cases[i].ended)
			fake_worker_finish_tasks(w, AGB_RESULT_OK, "late");
		shard_node_kill(s, 0);
		s->worker_unreachable[0][0] = false;
		if (cases[i].reboot)
			fake_worker_reboot(w);
		w->unreachable = false;
		shard_node_start(s, 0, 1);
		shard_run(s, 4 * AGB_SEC);
		if (fake_worker_finish_tasks(w, AGB_RESULT_OK, "ok") > 0)
			shard_run(s, 500 * AGB_MS);
		CU_ASSERT_STRING_EQUAL(job_state(s, 0, id)->state, "done");
		CU_ASSERT_EQUAL(job_state(s, 0, id)->outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(count_starts(s), cases[i].starts);
		shard_free(s);
	}
}

/* Guards against the end of a task that the old owner acknowledged to the worker
 * but did not make durable. */
static void
test_end_not_durable(void)
{
	struct shard *const s = shard_new(1);
	const char *const got = submit_accepted(s, "plan", false);
	char id[AGB_ID_LEN];

	agb_str_copy(id, sizeof(id), got);
	s->nodes[0].store_unreachable = true;
	fake_worker_finish_tasks(&s->workers[0], AGB_RESULT_OK, "late");
	shard_run(s, 5 * AGB_SEC);
	CU_ASSERT_STRING_NOT_EQUAL(job_state(s, 0, id)->state, "done");
	shard_node_kill(s, 0);
	shard_node_start(s, 0, 1);
	shard_run(s, 4 * AGB_SEC);
	CU_ASSERT_STRING_EQUAL(job_state(s, 0, id)->state, "done");
	CU_ASSERT_EQUAL(job_state(s, 0, id)->outcome, AGB_OUTCOME_RAN);
	CU_ASSERT_EQUAL(count_starts(s), 1);
	shard_free(s);
}

/* Guards against a task that runs on a worker for no job and is not stopped. */
static void
test_orphan_stopped(void)
{
	struct shard *const s = shard_new(0);
	struct agb_command c = {.task = "d1-1-1/0", .attempt = {1, 1}};

	c.need.cpu_milli = 4000;
	fake_worker_start(&s->workers[0], &c);
	shard_send_list(s, 0, 1, AGB_INSTANCE_LIVE);
	shard_run(s, 500 * AGB_MS);
	CU_ASSERT_EQUAL(count_running(s), 0);
	CU_ASSERT_EQUAL(s->workers[0].stops, 1);
	(void)submit_accepted(s, "plan", false);
	CU_ASSERT_EQUAL(count_starts(s), 2);
	shard_free(s);
}

/* Guards against new work on a worker that is leaving, whether the instance list
 * or the worker reports this first. */
static void
test_leaving(void)
{
	static const bool by_list[] = {true, false};
	size_t i;

	for (i = 0; i < LEN(by_list); i++) {
		struct shard *const s = shard_new(1);
		uint64_t token;

		if (by_list[i])
			shard_send_list(s, 0, 1, AGB_INSTANCE_LEAVING);
		else
			s->workers[0].leaving = true;
		shard_run(s, 100 * AGB_MS);
		token = shard_grant(s, 0, "", 300);
		(void)shard_submit(s, 0, "plan", 1, true, "");
		shard_run(s, AGB_SEC);
		CU_ASSERT_FALSE(grant_result(s, token)->granted);
		CU_ASSERT_EQUAL(count_starts(s), 0);
		shard_free(s);
	}
}

/* Guards against a shutdown that loses records, that leaves the shard without an
 * owner until the lease expires, or that never ends. */
static void
test_term(void)
{
	static const bool unreachable[] = {false, true};
	size_t i;

	for (i = 0; i < LEN(unreachable); i++) {
		struct shard *const s = shard_new(1);
		struct agb_event ev = {.type = AGB_EV_TERM};
		uint64_t token;

		shard_node_start(s, 1, 1);
		shard_run(s, 200 * AGB_MS);
		s->nodes[0].store_unreachable = unreachable[i];
		token = shard_submit(s, 0, "plan", 1, false, "");
		shard_send_event(s, 0, &ev);
		CU_ASSERT_FALSE(is_active(s, 0));
		shard_run(s, 600 * AGB_MS);
		CU_ASSERT_EQUAL(
		    agb_owner_drained(s->nodes[0].owner), !unreachable[i]);
		CU_ASSERT_EQUAL(is_active(s, 1), !unreachable[i]);
		shard_run(s, 5 * AGB_SEC);
		CU_ASSERT_TRUE(agb_owner_drained(s->nodes[0].owner));
		CU_ASSERT_TRUE(is_active(s, 1));
		if (!unreachable[i]) {
			CU_ASSERT_TRUE(submit_result(s, token)->accepted);
			CU_ASSERT_EQUAL(count_starts(s), 1);
		} else {
			CU_ASSERT_FALSE(submit_result(s, token)->accepted);
		}
		shard_free(s);
	}
}

/* Guards against the use of an environment document after it was freed: the
 * document is replaced after the role has been handed over. */
static void
test_term_then_document(void)
{
	struct shard *const s = shard_new(1);
	struct agb_env *const env = agb_xcalloc(1, sizeof(*env));
	struct agb_event ev = {.type = AGB_EV_TERM};
	struct agb_effects out = {0};

	*env = shard_env;
	agb_owner_env_set(s->nodes[0].owner, s->now, env, &out);
	agb_effects_clear(&out);
	s->workers[0].unreachable = true;
	shard_run(s, 5 * AGB_SEC);
	(void)shard_submit(s, 0, "plan", 1, true, "");
	shard_run(s, 500 * AGB_MS);
	/* Without a watch, the owner does not see that its key is deleted. */
	free(s->nodes[0].watch_key);
	s->nodes[0].watch_key = NULL;
	shard_send_event(s, 0, &ev);
	shard_run(s, 500 * AGB_MS);
	CU_ASSERT_TRUE(agb_owner_drained(s->nodes[0].owner));
	agb_owner_env_set(s->nodes[0].owner, s->now, &shard_env, &out);
	agb_effects_free(&out);
	memset(env, 0xff, sizeof(*env));
	free(env);
	shard_free(s);
}

/* Guards against a recovery that continues after the role has been handed over.
 * TERM arrives at each millisecond of the election and recovery. */
static void
test_term_while_recovering(void)
{
	unsigned ms;

	for (ms = 1; ms < 160; ms++) {
		struct shard *const s = shard_new(1);
		struct agb_event ev = {.type = AGB_EV_TERM};
		char id[AGB_ID_LEN];

		agb_str_copy(id, sizeof(id), submit_accepted(s, "plan", false));
		shard_node_kill(s, 0);
		shard_run(s, 3 * AGB_SEC);
		shard_node_start(s, 1, 1);
		shard_run(s, ms * AGB_MS);
		shard_send_event(s, 1, &ev);
		shard_run(s, 200 * AGB_MS);
		CU_ASSERT_TRUE(agb_owner_drained(s->nodes[1].owner));
		CU_ASSERT_FALSE(is_active(s, 1));
		shard_node_start(s, 0, 1);
		shard_run(s, 3 * AGB_SEC);
		CU_ASSERT_TRUE(is_active(s, 0));
		CU_ASSERT_TRUE(job_state(s, 0, id)->found);
		CU_ASSERT_EQUAL(count_starts(s), 1);
		shard_free(s);
	}
}

/* Guards against a journal that grows without limit, jobs that are missing from a
 * snapshot, and the use of an incomplete snapshot. */
static void
test_compaction(void)
{
	enum { JOBS = 80, ARGS = 60000 };
	struct shard *const s = shard_new(1);
	char ids[JOBS][AGB_ID_LEN];
	size_t i, keys = 0, chunks = 0;

	for (i = 0; i < JOBS; i++) {
		struct agb_event ev = shard_rpc_event(s, AGB_X_SUBMIT);
		agb_x_submit_args *const a = &ev.u.rpc_args.agb_x_args_u.submit;
		const uint64_t token = ev.token;

		a->work = agb_xstrdup("plan");
		a->team = agb_xstrdup("red");
		a->key = agb_xstrdup("");
		a->tasks = 1;
		a->need.cpu_milli = 3500;
		a->args.args_val = agb_xcalloc(ARGS, 1);
		a->args.args_len = ARGS;
		shard_send_event(s, 0, &ev);
		shard_run(s, 120 * AGB_MS);
		agb_str_copy(ids[i], AGB_ID_LEN, submit_result(s, token)->job);
	}
	shard_run(s, 3 * AGB_SEC);
	for (i = 0; i < s->store->len; i++) {
		keys += strstr(s->store->kvs[i].key, "/journal/") != NULL;
		chunks += strstr(s->store->kvs[i].key, "/snapshot/") != NULL;
		CU_ASSERT_TRUE(s->store->kvs[i].val_len <= 900000);
	}
	CU_ASSERT_TRUE(chunks > 1);
	CU_ASSERT_TRUE(keys < JOBS / 2);
	shard_node_kill(s, 0);
	shard_node_start(s, 0, 1);
	shard_run(s, 4 * AGB_SEC);
	for (i = 0; i < JOBS; i++)
		CU_ASSERT_TRUE(job_state(s, 0, ids[i])->found);
	CU_ASSERT_EQUAL(count_starts(s), 1);
	shard_free(s);
}

/* Guards against too many writes to the store under load, and against a delay of
 * the first write when there is no load. */
static void
test_commit_pace(void)
{
	struct shard *const s = shard_new(1);
	uint64_t token;
	unsigned before, i;

	token = shard_submit(s, 0, "cut", 1, false, "");
	shard_run(s, 5 * AGB_MS);
	CU_ASSERT_PTR_NOT_NULL(shard_find_reply(s, token, NULL));
	shard_run(s, AGB_SEC);
	before = s->store->txns;
	for (i = 0; i < 100; i++) {
		(void)shard_submit(s, 0, "cut", 1, false, "");
		shard_run(s, 10 * AGB_MS);
	}
	CU_ASSERT_TRUE(s->store->txns - before <= 11);
	shard_free(s);
}

/* Guards against an explanation without the owner of a job or what it waits
 * for. */
static void
test_explain(void)
{
	struct shard *const s = shard_new(1);
	const char *const id = submit_accepted(s, "plan", true);
	uint64_t token;
	agb_x_text_res *x;
	char request[32];

	s->workers[0].unreachable = true;
	shard_run(s, 5 * AGB_SEC);
	token = shard_job_call(s, 0, AGB_X_EXPLAIN, id, "", 0);
	x = &shard_find_reply(s, token, NULL)->agb_x_res_u.explain;
	CU_ASSERT_TRUE(x->found);
	CU_ASSERT_PTR_NOT_NULL(strstr(x->text, "held by entry0"));
	CU_ASSERT_PTR_NOT_NULL(strstr(x->text, "task 0 runs"));
	CU_ASSERT_PTR_NOT_NULL(strstr(x->text, "waits for worker worker0"));
	CU_ASSERT_PTR_NOT_NULL(strstr(x->text, "session to lapse"));
	token = shard_grant(s, 0, "", 100);
	shard_run(s, AGB_SEC);
	snprintf(
	    request, sizeof(request), "req%llu", (unsigned long long)token);
	token = shard_job_call(s, 0, AGB_X_EXPLAIN, request, "", 0);
	CU_ASSERT_TRUE(
	    shard_find_reply(s, token, NULL)->agb_x_res_u.explain.found);
	token = shard_job_call(s, 0, AGB_X_EXPLAIN, "nothing", "", 0);
	CU_ASSERT_FALSE(
	    shard_find_reply(s, token, NULL)->agb_x_res_u.explain.found);
	shard_free(s);
}

/* Guards against a field that a caller or a worker makes too large for a record:
 * an owner ends when it cannot encode one, and so would each that follows. */
static void
test_largest_fields(void)
{
	const size_t result = (size_t)2 * AGB_X_ARGS_MAX;
	struct shard *const s = shard_new(1);
	struct agb_event ev = shard_rpc_event(s, AGB_X_SUBMIT);
	agb_x_submit_args *const a = &ev.u.rpc_args.agb_x_args_u.submit;
	const uint64_t token = ev.token;
	char key[AGB_X_KEY_MAX + 1], *text;
	agb_x_job_res *job;
	uint64_t grant;

	memset(key, 'k', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	text = agb_xcalloc(result + 1, 1);
	memset(text, '\n', result);
	a->work = agb_xstrdup("plan");
	a->team = agb_xstrdup("red");
	a->key = agb_xstrdup(key);
	a->tasks = 2;
	a->args.args_val = agb_xcalloc(AGB_X_ARGS_MAX, 1);
	a->args.args_len = AGB_X_ARGS_MAX;
	shard_send_event(s, 0, &ev);
	grant = shard_grant(s, 0, key, 2000);
	shard_run(s, 500 * AGB_MS);
	CU_ASSERT_TRUE_FATAL(submit_result(s, token)->accepted);
	CU_ASSERT_TRUE(grant_result(s, grant)->granted);
	CU_ASSERT_EQUAL(count_running(s), 2);
	fake_worker_finish_tasks(&s->workers[0], AGB_RESULT_OK, text);
	free(text);
	shard_run(s, AGB_SEC);
	shard_node_kill(s, 0);
	shard_node_start(s, 0, 1);
	shard_run(s, 4 * AGB_SEC);
	job = job_state(s, 0, submit_result(s, token)->job);
	CU_ASSERT_STRING_EQUAL(job->state, "done");
	CU_ASSERT_EQUAL(job->outcome, AGB_OUTCOME_RAN);
	CU_ASSERT_TRUE(job->result.result_len <= AGB_X_ARGS_MAX);
	shard_free(s);
}

static const struct suite_test tests[] = {
    {"election_faults", test_election_faults},
    {"job_life", test_job_life},
    {"submit_store_faults", test_submit_store_faults},
    {"fenced_write", test_fenced_write},
    {"other_owner_seen", test_other_owner_seen},
    {"paused_owner", test_paused_owner},
    {"isolation", test_isolation},
    {"never_fits", test_never_fits},
    {"isolated_submits", test_isolated_submits},
    {"takeover_worker_gone", test_takeover_worker_gone},
    {"silent_worker", test_silent_worker},
    {"silence_needs_lease", test_silence_needs_lease},
    {"start_repeated", test_start_repeated},
    {"reelected_commands", test_reelected_commands},
    {"reelected_worker_gone", test_reelected_worker_gone},
    {"cancel_start_in_flight", test_cancel_start_in_flight},
    {"cancel_before_start", test_cancel_before_start},
    {"duplicate_key", test_duplicate_key},
    {"dead_entry_instance", test_dead_entry_instance},
    {"takeover_adopts", test_takeover_adopts},
    {"lost_attempt_after_takeover", test_lost_attempt_after_takeover},
    {"intent_without_result", test_intent_without_result},
    {"end_not_durable", test_end_not_durable},
    {"orphan_stopped", test_orphan_stopped},
    {"leaving", test_leaving},
    {"term", test_term},
    {"term_then_document", test_term_then_document},
    {"term_while_recovering", test_term_while_recovering},
    {"compaction", test_compaction},
    {"commit_pace", test_commit_pace},
    {"explain", test_explain},
    {"largest_fields", test_largest_fields},
};

int
main(void)
{
	return suite_run("owner", tests, LEN(tests));
}

#include <stdio.h>
#include <string.h>

#include "check.h"
#include "suite.h"

#define MS AGB_MS
#define S AGB_SEC

/* A short history and the violation that the checker must report for it. */
struct history_case {
	const char *name;
	enum violation want;
	struct history_record recs[12];
};

#define ONE_CORE                                 \
	{                                        \
		.cpu_milli = 1000, .mem_mb = 100 \
	}
#define CALL(c, ...)                                                  \
	{                                                             \
		.type = REC_CALL, .call = (c), .node = 1, __VA_ARGS__ \
	}
#define RUN(c, w, ...)                                             \
	{                                                          \
		.type = REC_RUN_START, .call = (c), .worker = (w), \
		.need = ONE_CORE, __VA_ARGS__                      \
	}
#define END(c, w, ...)                                           \
	{                                                        \
		.type = REC_RUN_END, .call = (c), .worker = (w), \
		.need = ONE_CORE, __VA_ARGS__                    \
	}
#define ANSWER(c, o)                                            \
	{                                                       \
		.type = REC_ANSWER, .call = (c), .outcome = (o) \
	}
#define JOB_DONE(c, o)                                            \
	{                                                         \
		.type = REC_JOB_DONE, .call = (c), .outcome = (o) \
	}
#define CAPACITY(w, n)                                         \
	{                                                      \
		.type = REC_CAPACITY, .worker = (w), .need = { \
			.cpu_milli = (n)*1000LL,               \
			.mem_mb = (n)*100LL                    \
		}                                              \
	}
#define IN_FORCE(n, i, v)                                                  \
	{                                                                  \
		.type = REC_DOC_IN_FORCE, .node = (n), .incarnation = (i), \
		.version = (v)                                             \
	}
#define FINISH(t)                             \
	{                                     \
		.type = REC_FINISH, .at = (t) \
	}

static const struct history_case cases[] = {
    {"a history without violations", V_NONE,
	{CAPACITY(1, 2), IN_FORCE(1, 1, 5), CALL(1), RUN(1, 1), END(1, 1),
	    {.type = REC_FORWARDED,
		.call = 1,
		.answered_call = 1,
		.complete = true},
	    CALL(2), ANSWER(2, AGB_OUTCOME_NOT_RUN), FINISH(S)}},
    /* 1: capacity */
    {"two runs of one core each on a worker with one core", V_CAPACITY,
	{CAPACITY(1, 1), CALL(1), CALL(2), RUN(1, 1), RUN(2, 1), FINISH(S)}},
    {"a run that needs more memory than the worker has", V_CAPACITY,
	{CAPACITY(1, 2), CALL(1),
	    {.type = REC_RUN_START,
		.call = 1,
		.worker = 1,
		.need = {.cpu_milli = 1000, .mem_mb = 201}},
	    FINISH(S)}},
    {"the end of a run frees its resources", V_NONE,
	{CAPACITY(1, 1), CALL(1, .job = true), CALL(2), RUN(1, 1), END(1, 1),
	    RUN(2, 1), END(2, 1), ANSWER(1, AGB_OUTCOME_RAN),
	    ANSWER(2, AGB_OUTCOME_RAN), FINISH(S)}},
    /* 2: runs of one task must not overlap */
    {"one task on two workers at once", V_CONCURRENT_RUNS,
	{CAPACITY(1, 2), CAPACITY(2, 2), CALL(1, .idempotent = true), RUN(1, 1),
	    RUN(1, 2), FINISH(S)}},
    {"one task twice on one worker at once", V_CONCURRENT_RUNS,
	{CAPACITY(1, 2), CALL(1, .idempotent = true), RUN(1, 1), RUN(1, 1),
	    FINISH(S)}},
    {"two tasks of one job at once", V_NONE,
	{CAPACITY(1, 2), CALL(1, .idempotent = true), RUN(1, 1),
	    RUN(1, 1, .task = 1), ANSWER(1, AGB_OUTCOME_RAN), FINISH(S)}},
    {"a task runs on another worker after the first crashed", V_NONE,
	{CAPACITY(1, 2), CAPACITY(2, 2), CALL(1, .idempotent = true), RUN(1, 1),
	    {.type = REC_WORKER_DEAD, .worker = 1}, RUN(1, 2),
	    ANSWER(1, AGB_OUTCOME_RAN), FINISH(S)}},
    /* 3: answers are complete and belong to the request */
    {"the answer to another request", V_WRONG_ANSWER,
	{CAPACITY(1, 2), CALL(1), RUN(1, 1),
	    {.type = REC_FORWARDED,
		.call = 1,
		.answered_call = 2,
		.complete = true},
	    FINISH(S)}},
    {"a truncated answer", V_WRONG_ANSWER,
	{CAPACITY(1, 2), CALL(1), RUN(1, 1),
	    {.type = REC_FORWARDED, .call = 1, .answered_call = 1}, FINISH(S)}},
    /* 4: reported outcomes are true */
    {"outcome not-run after a run", V_NOT_RUN_BUT_RAN,
	{CAPACITY(1, 2), CALL(1), RUN(1, 1), END(1, 1),
	    ANSWER(1, AGB_OUTCOME_NOT_RUN), FINISH(S)}},
    {"a run after outcome not-run", V_NOT_RUN_BUT_RAN,
	{CAPACITY(1, 2), CALL(1), ANSWER(1, AGB_OUTCOME_NOT_RUN), RUN(1, 1),
	    FINISH(S)}},
    {"a job with outcome not-run had run", V_NOT_RUN_BUT_RAN,
	{CAPACITY(1, 2), CALL(1, .job = true),
	    {.type = REC_ACCEPTED, .call = 1}, RUN(1, 1), END(1, 1),
	    JOB_DONE(1, AGB_OUTCOME_NOT_RUN), FINISH(S)}},
    {"outcome ran without a run", V_RAN_BUT_DID_NOT,
	{CALL(1), ANSWER(1, AGB_OUTCOME_RAN), FINISH(S)}},
    /* 5: non-idempotent work runs at most once */
    {"a non-idempotent call runs twice", V_RUN_TWICE,
	{CAPACITY(1, 2), CALL(1), RUN(1, 1), END(1, 1), RUN(1, 1), FINISH(S)}},
    {"two calls with one idempotency key both run", V_RUN_TWICE,
	{CAPACITY(1, 2), CALL(1, .key = 7), CALL(2, .key = 7), RUN(1, 1),
	    END(1, 1), RUN(2, 1), FINISH(S)}},
    {"an idempotent call may run again", V_NONE,
	{CAPACITY(1, 2), CALL(1, .idempotent = true), RUN(1, 1), END(1, 1),
	    RUN(1, 1), ANSWER(1, AGB_OUTCOME_UNKNOWN), FINISH(S)}},
    /* 6: no new runs on leaving workers */
    {"a run starts long after its worker began to leave", V_LEAVING_WORKER,
	{CAPACITY(1, 2), CALL(1), {.type = REC_LEAVING, .worker = 1, .at = S},
	    RUN(1, 1, .at = S + CHECK_LEAVING_GRACE + 1), FINISH(20 * S)}},
    {"a run starts just after its worker began to leave", V_NONE,
	{CAPACITY(1, 2), CALL(1), {.type = REC_LEAVING, .worker = 1, .at = S},
	    RUN(1, 1, .at = 2 * S), ANSWER(1, AGB_OUTCOME_RAN), FINISH(3 * S)}},
    /* 7: graceful shutdown */
    {"a graceful shutdown breaks an open request", V_SHUTDOWN_BROKE_CONN,
	{IN_FORCE(1, 1, 5), CALL(1), {.type = REC_TERM, .node = 1},
	    {.type = REC_CONN_BROKEN, .call = 1, .node = 1},
	    {.type = REC_EXIT, .node = 1}, FINISH(S)}},
    {"a kill may break an open request", V_NONE,
	{IN_FORCE(1, 1, 5), CALL(1),
	    {.type = REC_CONN_BROKEN, .call = 1, .node = 1},
	    {.type = REC_KILL, .node = 1}, FINISH(S)}},
    /* 8: documents take effect and are not reverted */
    {"an instance goes back to an older document", V_DOC_REVERTED,
	{IN_FORCE(1, 1, 6), IN_FORCE(1, 1, 5), FINISH(S)}},
    {"a new incarnation may start with an older document", V_NONE,
	{IN_FORCE(1, 1, 6), {.type = REC_KILL, .node = 1}, IN_FORCE(1, 2, 5),
	    FINISH(S)}},
    {"an accepted document is not in force in time", V_DOC_LATE,
	{IN_FORCE(1, 1, 5), {.type = REC_DOC_ACCEPTED, .version = 6},
	    {.type = REC_FAULTS_ENDED}, FINISH(CHECK_DOC_DELAY_MAX)}},
    {"a document may be late while faults last", V_NONE,
	{IN_FORCE(1, 1, 5), {.type = REC_DOC_ACCEPTED, .version = 6},
	    FINISH(CHECK_DOC_DELAY_MAX)}},
    /* Every request is answered and every accepted job ends. */
    {"a request has no answer", V_NO_ANSWER, {CALL(1), FINISH(S)}},
    {"an accepted job has no final outcome", V_NOT_FINAL,
	{CALL(1, .job = true), {.type = REC_ACCEPTED, .call = 1}, FINISH(S)}},
};

/* Guards against a checker that misses a violation or reports a false one: each
 * rule is tested with histories that break it and, where possible, with similar
 * ones that do not. */
static void
test_verdicts(void)
{
	struct check_result res;
	struct history h;
	size_t i, j;
	bool ok;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&h, 0, sizeof(h));
		for (j = 0; j == 0 || cases[i].recs[j - 1].type != REC_FINISH;
		     j++)
			*history_add(&h, 0, REC_CALL) = cases[i].recs[j];
		ok = check_history(&h, &res);
		if (res.violation != cases[i].want)
			printf("%s: %s instead of %s\n", cases[i].name,
			    check_violation_name(res.violation),
			    check_violation_name(cases[i].want));
		CU_ASSERT_EQUAL(res.violation, cases[i].want);
		CU_ASSERT_EQUAL(ok, cases[i].want == V_NONE);
		history_free(&h);
	}
}

static const struct suite_test tests[] = {
    {"verdicts", test_verdicts},
};

int
main(void)
{
	return suite_run(
	    "history_check", tests, sizeof(tests) / sizeof(tests[0]));
}

#include <stdio.h>
#include <string.h>

#include "check.h"
#include "suite.h"

#define MS AGB_MS
#define S AGB_SEC

/* A short history and the violation that the checker must find in it. */
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
    {"a good history", V_NONE,
	{CAPACITY(1, 2), IN_FORCE(1, 1, 5), CALL(1), RUN(1, 1), END(1, 1),
	    {.type = REC_FORWARDED,
		.call = 1,
		.answered_call = 1,
		.complete = true},
	    CALL(2), ANSWER(2, AGB_NOT_RUN), FINISH(S)}},
    /* 1: capacity */
    {"two cores of work on one core", V_CAPACITY,
	{CAPACITY(1, 1), CALL(1), CALL(2), RUN(1, 1), RUN(2, 1), FINISH(S)}},
    {"more memory than there is", V_CAPACITY,
	{CAPACITY(1, 2), CALL(1),
	    {.type = REC_RUN_START,
		.call = 1,
		.worker = 1,
		.need = {.cpu_milli = 1000, .mem_mb = 201}},
	    FINISH(S)}},
    {"room is free again after the end", V_NONE,
	{CAPACITY(1, 1), CALL(1, .job = true), CALL(2), RUN(1, 1), END(1, 1),
	    RUN(2, 1), END(2, 1), ANSWER(1, AGB_RAN), ANSWER(2, AGB_RAN),
	    FINISH(S)}},
    /* 2: one place at a time */
    {"one task on two workers", V_CONCURRENT_RUNS,
	{CAPACITY(1, 2), CAPACITY(2, 2), CALL(1, .idempotent = true), RUN(1, 1),
	    RUN(1, 2), FINISH(S)}},
    {"one task twice on one worker", V_CONCURRENT_RUNS,
	{CAPACITY(1, 2), CALL(1, .idempotent = true), RUN(1, 1), RUN(1, 1),
	    FINISH(S)}},
    {"two tasks of one job", V_NONE,
	{CAPACITY(1, 2), CALL(1, .idempotent = true), RUN(1, 1),
	    RUN(1, 1, .task = 1), ANSWER(1, AGB_RAN), FINISH(S)}},
    {"again elsewhere after its worker died", V_NONE,
	{CAPACITY(1, 2), CAPACITY(2, 2), CALL(1, .idempotent = true), RUN(1, 1),
	    {.type = REC_WORKER_DEAD, .worker = 1}, RUN(1, 2),
	    ANSWER(1, AGB_RAN), FINISH(S)}},
    /* 3: whole answers to one's own request */
    {"the answer to another request", V_WRONG_ANSWER,
	{CAPACITY(1, 2), CALL(1), RUN(1, 1),
	    {.type = REC_FORWARDED,
		.call = 1,
		.answered_call = 2,
		.complete = true},
	    FINISH(S)}},
    {"a part of the answer", V_WRONG_ANSWER,
	{CAPACITY(1, 2), CALL(1), RUN(1, 1),
	    {.type = REC_FORWARDED, .call = 1, .answered_call = 1}, FINISH(S)}},
    /* 4: the truth */
    {"not-run after it ran", V_NOT_RUN_BUT_RAN,
	{CAPACITY(1, 2), CALL(1), RUN(1, 1), END(1, 1), ANSWER(1, AGB_NOT_RUN),
	    FINISH(S)}},
    {"it runs after not-run", V_NOT_RUN_BUT_RAN,
	{CAPACITY(1, 2), CALL(1), ANSWER(1, AGB_NOT_RUN), RUN(1, 1),
	    FINISH(S)}},
    {"a job done as not-run ran", V_NOT_RUN_BUT_RAN,
	{CAPACITY(1, 2), CALL(1, .job = true),
	    {.type = REC_ACCEPTED, .call = 1}, RUN(1, 1), END(1, 1),
	    JOB_DONE(1, AGB_NOT_RUN), FINISH(S)}},
    {"ran, but nothing ran", V_RAN_BUT_DID_NOT,
	{CALL(1), ANSWER(1, AGB_RAN), FINISH(S)}},
    /* 5: at most once */
    {"non-idempotent work twice", V_RUN_TWICE,
	{CAPACITY(1, 2), CALL(1), RUN(1, 1), END(1, 1), RUN(1, 1), FINISH(S)}},
    {"one key, two runs", V_RUN_TWICE,
	{CAPACITY(1, 2), CALL(1, .key = 7), CALL(2, .key = 7), RUN(1, 1),
	    END(1, 1), RUN(2, 1), FINISH(S)}},
    {"idempotent work may run again", V_NONE,
	{CAPACITY(1, 2), CALL(1, .idempotent = true), RUN(1, 1), END(1, 1),
	    RUN(1, 1), ANSWER(1, AGB_UNKNOWN), FINISH(S)}},
    /* 6: leaving */
    {"new work long after it leaves", V_LEAVING_WORKER,
	{CAPACITY(1, 2), CALL(1), {.type = REC_LEAVING, .worker = 1, .at = S},
	    RUN(1, 1, .at = S + CHECK_LEAVING_GRACE + 1), FINISH(20 * S)}},
    {"new work just after it leaves", V_NONE,
	{CAPACITY(1, 2), CALL(1), {.type = REC_LEAVING, .worker = 1, .at = S},
	    RUN(1, 1, .at = 2 * S), ANSWER(1, AGB_RAN), FINISH(3 * S)}},
    /* 7: graceful shutdown */
    {"a shutdown breaks a request", V_SHUTDOWN_BROKE_CONN,
	{IN_FORCE(1, 1, 5), CALL(1), {.type = REC_TERM, .node = 1},
	    {.type = REC_CONN_BROKEN, .call = 1, .node = 1},
	    {.type = REC_EXIT, .node = 1}, FINISH(S)}},
    {"a kill breaks a request", V_NONE,
	{IN_FORCE(1, 1, 5), CALL(1),
	    {.type = REC_CONN_BROKEN, .call = 1, .node = 1},
	    {.type = REC_KILL, .node = 1}, FINISH(S)}},
    /* 8: documents */
    {"an older document comes back", V_DOC_REVERTED,
	{IN_FORCE(1, 1, 6), IN_FORCE(1, 1, 5), FINISH(S)}},
    {"a new instance may begin with an older one", V_NONE,
	{IN_FORCE(1, 1, 6), {.type = REC_KILL, .node = 1}, IN_FORCE(1, 2, 5),
	    FINISH(S)}},
    {"an accepted document that is not in force", V_DOC_LATE,
	{IN_FORCE(1, 1, 5), {.type = REC_DOC_ACCEPTED, .version = 6},
	    {.type = REC_FAULTS_ENDED}, FINISH(CHECK_DOC_DELAY_MAX)}},
    {"it may be late while faults last", V_NONE,
	{IN_FORCE(1, 1, 5), {.type = REC_DOC_ACCEPTED, .version = 6},
	    FINISH(CHECK_DOC_DELAY_MAX)}},
    /* and every request has an end */
    {"a request without an answer", V_NO_ANSWER, {CALL(1), FINISH(S)}},
    {"a job without an outcome", V_NOT_FINAL,
	{CALL(1, .job = true), {.type = REC_ACCEPTED, .call = 1}, FINISH(S)}},
};

/* Guards against a checker that lets a violation pass, or sees one where
 * there is none. */
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

#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "mem.h"
#include "suite.h"
#include "textfile.h"
#include "world.h"

/* Runs a simulation and returns its trace: the log lines of the nodes, followed
 * by the history that callers and workers observed. */
static char *
session_trace(enum world_kind kind, uint64_t seed)
{
	struct world *const w = agb_xcalloc(1, sizeof(*w));
	struct check_result res;
	char *text = NULL;
	size_t len = 0;
	FILE *const to = open_memstream(&text, &len);

	if (to == NULL)
		abort();
	w->seed = seed;
	w->kind = kind;
	w->trace = to;
	world_run(w);
	history_print(&w->history, 0, to);
	CU_ASSERT_TRUE(check_history(&w->history, &res));
	world_free(w);
	free(w);
	if (fclose(to) != 0)
		abort();
	return text;
}

static void
check_golden(enum world_kind kind, uint64_t seed, const char *path)
{
	char *const text = session_trace(kind, seed);

	CU_ASSERT_TRUE(textfile_matches_golden(path, text));
	free(text);
}

/* Guards against unintended changes to decisions on quick requests, and against
 * nondeterminism: a decision that depends on anything but the events and the
 * seed makes the trace differ from the golden file. */
static void
test_quick(void)
{
	check_golden(W_FAULT_FREE_QUICK, 1, "tests/golden/session-1.txt");
}

/* Guards against the same for jobs: batch, gang and a cancelled service. */
static void
test_jobs(void)
{
	check_golden(W_FAULT_FREE_JOBS, 1, "tests/golden/session-2.txt");
}

static const struct suite_test tests[] = {
    {"quick", test_quick},
    {"jobs", test_jobs},
};

int
main(void)
{
	return suite_run("golden", tests, sizeof(tests) / sizeof(tests[0]));
}

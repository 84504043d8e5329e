#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "mem.h"
#include "suite.h"
#include "textfile.h"
#include "world.h"

/* Trace of one session: decision lines, then what callers and workers saw. */
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

	CU_ASSERT_TRUE(textfile_same(path, text));
	free(text);
}

/* Guards against unnoticed changes of decisions on quick requests, and
 * against runs that depend on anything but their input. */
static void
test_quick(void)
{
	check_golden(W_FAULT_FREE_QUICK, 1, "tests/golden/session-1.txt");
}

/* The same for jobs: batch, gang, and a service that is cancelled. */
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

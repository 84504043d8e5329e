#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "mem.h"
#include "suite.h"
#include "world.h"

/* Seeds that exposed a fault in the past, and that fault. */
static const struct {
	uint64_t seed;
	const char *fault;
} regression_seeds[] = {
    {105, "an instance requested a newer document from itself in a loop"},
    {11, "a duplicated submission created two jobs"},
    {297, "two jobs of one submission ran on two workers at once"},
    {241, "two jobs of one non-idempotent submission both ran"},
    {352, "a document was freed while it was in use"},
    {46, "a second attempt ran while a lost one was still running"},
    {188, "an owner did not learn after a takeover that a worker is leaving"},
    {654, "a repeated start reached a leaving worker"},
    {800, "a start waited for the store while its worker began to leave"},
    {2284, "a start sent before a worker restart ran after the restart"},
    {3122, "a job with a lost start was reported as ran"},
    {4887, "an owner placed work based on its state before a pause"},
};

#define FIXED_SEED_FROM 1
#define FIXED_SEED_COUNT 150

static bool
run_seed(uint64_t seed)
{
	struct world *const w = agb_xcalloc(1, sizeof(*w));
	struct check_result res;
	bool ok;

	w->seed = seed;
	world_run(w);
	ok = check_history(&w->history, &res);
	if (!ok)
		printf("seed %llu violation %s: %s\n", (unsigned long long)seed,
		    check_violation_name(res.violation), res.text);
	world_free(w);
	free(w);
	return ok;
}

/* Guards against regressions of the faults that these seeds exposed: they run
 * again, and the checker must find no violation. */
static void
test_regression_seeds(void)
{
	size_t i;

	for (i = 0; i < sizeof(regression_seeds) / sizeof(regression_seeds[0]);
	     i++)
		CU_ASSERT_TRUE(run_seed(regression_seeds[i].seed));
}

/* Guards against violations of the invariants under random crashes, pauses,
 * partitions, message loss and store outages. */
static void
test_fixed_seeds(void)
{
	uint64_t seed;

	for (seed = FIXED_SEED_FROM; seed < FIXED_SEED_FROM + FIXED_SEED_COUNT;
	     seed++)
		CU_ASSERT_TRUE(run_seed(seed));
}

static const struct suite_test tests[] = {
    {"regression_seeds", test_regression_seeds},
    {"fixed_seeds", test_fixed_seeds},
};

int
main(void)
{
	return suite_run("history", tests, sizeof(tests) / sizeof(tests[0]));
}

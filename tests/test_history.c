#include <stdio.h>
#include <stdlib.h>

#include "check.h"
#include "mem.h"
#include "suite.h"
#include "world.h"

/* Seeds that have shown a fault before, and what it was. */
static const struct {
	uint64_t seed;
	const char *fault;
} regression_seeds[] = {
    {105, "asked itself for a newer document without end"},
    {11, "a doubled submit made two jobs"},
    {297, "two jobs of one submit ran in two places"},
    {241, "two jobs of one non-idempotent submit ran twice"},
    {352, "a document was freed while in use"},
    {46, "a second attempt ran beside a lost one"},
    {188, "a takeover did not learn that a worker leaves"},
    {654, "a repeated start reached a leaving worker"},
    {800, "a start waited for the store while its worker left"},
    {2284, "a start sent before a worker restarted ran after it"},
    {3122, "a job was told to have run after a lost start"},
    {4887, "an owner placed on what it knew before a pause"},
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

/* Guards against the return of faults that the checker has found. */
static void
test_regression_seeds(void)
{
	size_t i;

	for (i = 0; i < sizeof(regression_seeds) / sizeof(regression_seeds[0]);
	     i++)
		CU_ASSERT_TRUE(run_seed(regression_seeds[i].seed));
}

/* Guards against violations of the invariants under faults. */
static void
test_fixed_seeds(void)
{
	uint64_t seed;

	for (seed = FIXED_SEED_FROM; seed < FIXED_SEED_FROM + FIXED_SEED_COUNT;
	     seed++)
		CU_ASSERT_TRUE(run_seed(seed));
}

static const struct suite_test tests[] = {
    {"found", test_regression_seeds},
    {"fixed_seeds", test_fixed_seeds},
};

int
main(void)
{
	return suite_run("history", tests, sizeof(tests) / sizeof(tests[0]));
}

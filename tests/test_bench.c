#include <stdio.h>

#include "sched_fixture.h"

/* Guards against a benchmark that fails to run or no longer prints one of its
 * results. The values are not checked. */
static void
test_smoke(void)
{
	static const char *const names[] = {"decide_p50_us_50",
	    "decide_p99_us_960", "decisions_per_s_960", "decide_growth",
	    "wait_p50_ms_70", "wait_p99_ms_90", "wait_ratio_97",
	    "urgent_start_max_s", "packing_ratio", "packing_ratio_first_fit",
	    "packing_ratio_two_choices", "cancel_wave_ms", "bad_worker_loss"};
	const char *const bin = getenv("AGB_BIN");
	char line[256], name[128], unit[32];
	bool seen[LEN(names)] = {false};
	double value;
	FILE *f;
	size_t i;

	CU_ASSERT_PTR_NOT_NULL_FATAL(bin);
	snprintf(line, sizeof(line), "%s/agb-bench --quick", bin);
	f = popen(line, "r"); /* NOLINT(cert-env33-c) */
	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	while (fgets(line, sizeof(line), f) != NULL) {
		CU_ASSERT_EQUAL(
		    sscanf(line, "%127s %lf %31s", name, &value, unit), 3);
		for (i = 0; i < LEN(names); i++)
			seen[i] = seen[i] || strcmp(name, names[i]) == 0;
	}
	CU_ASSERT_EQUAL(pclose(f), 0);
	for (i = 0; i < LEN(names); i++)
		CU_ASSERT(seen[i]);
}

static const struct suite_test tests[] = {
    {"smoke", test_smoke},
};

int
main(void)
{
	return suite_run("bench", tests, LEN(tests));
}

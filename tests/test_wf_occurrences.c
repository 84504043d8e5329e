/**
 * DOC: test_wf_occurrences
 *
 * Occurrences of a timed job beside earlier ones that wait, in simulated time.
 */

#include <stdio.h>
#include <string.h>

#include "mem.h"
#include "suite.h"
#include "wfsim.h"

#define JOB "00000000000000aa"
#define OCCURRENCES 500
#define LOAD_MS 60000

/* Guards against occurrences that never begin though there is room for them, as
 * the second steps of earlier ones wait for a runner that may never come. */
static void
occurrences_do_not_wait_for_good(void)
{
	const struct sim_options o = {
	    .seed = 1, .cores = 3, .runners = 12, .cpu_milli = 16000};
	struct wf_spec *const spec = sim_new_spec(1, 1000, 100);
	struct sim *const s = sim_new(&o);
	struct wf_step *const second = sim_add_step(spec, 1, 1000, 100);

	agb_str_copy(second->label, sizeof(second->label), "x");
	spec->repeat_count = OCCURRENCES;
	spec->start_at_ms = 1;
	spec->period_ms = 1;
	sim_run(s, 500);
	sim_submit(s, 0, JOB, spec);
	sim_run(s, LOAD_MS);
	printf("\n%u of %d occurrences have begun", sim_start_count(s, JOB),
	    OCCURRENCES);
	CU_ASSERT_EQUAL(sim_start_count(s, JOB), OCCURRENCES);
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	sim_free(s);
}

static const struct suite_test tests[] = {
    {"occurrences do not wait for good", occurrences_do_not_wait_for_good},
};

int
main(void)
{
	return suite_run(
	    "wf_occurrences", tests, sizeof(tests) / sizeof(tests[0]));
}

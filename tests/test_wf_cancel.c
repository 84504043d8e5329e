/**
 * DOC: test_wf_cancel
 *
 * Cancellations of jobs whose submission is not answered, in simulated time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim_fixture.h"
#include "wf_table.h"

#define JOB "00000000000000aa"
/* An instance leads by then. */
#define START_MS 500
#define LATE_MS 2000
/* The instances keep cancellations for the default of status_s and some 10 s. */
#define KEPT_MS 140000

static const struct sim_options options = {
    .seed = 1, .cores = 4, .runners = 6, .cpu_milli = 16000};

/* An instance that does not lead, other than @except. */
static unsigned
other_instance(const struct sim *s, unsigned except)
{
	unsigned ci = 0;

	while (ci == (unsigned)sim_leader(s) || ci == except)
		ci++;
	return ci;
}

/* The store does not answer the write of a submission and carries it out later;
 * meanwhile the job is cancelled. Guards against a job that runs after its
 * cancellation was answered, as the late write or a repeated one stores it. */
static void
cancelled_submission_is_not_stored_late(void)
{
	static const struct {
		unsigned late_ms, cancel_after_ms;
		bool cancel_elsewhere, killed, repeated;
	} cases[] = {
	    {LATE_MS, 150, true, false, false},
	    {LATE_MS, 150, false, false, false},
	    {LATE_MS, 30, true, true, false},
	    {LATE_MS, 150, true, false, true},
	    {LATE_MS, 0, true, false, false},
	    /* Carried out before the cancellation. */
	    {20, 150, true, false, false},
	};
	struct sim *s;
	unsigned from, at;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		s = start_sim(&options, START_MS);
		from = other_instance(s, UINT32_MAX);
		at = cases[i].cancel_elsewhere ? other_instance(s, from) : from;
		sim_delay_submission(s, from, cases[i].late_ms);
		sim_submit(s, from, JOB, sim_new_spec(2, 1000, 60000));
		sim_run(s, cases[i].cancel_after_ms);
		sim_cancel(s, at, JOB);
		if (cases[i].killed)
			sim_kill(s, from, 600);
		sim_run(s, 100);
		CU_ASSERT(sim_cancel_status(s, JOB) == 410 ||
		    sim_cancel_status(s, JOB) == 200);
		if (cases[i].repeated)
			sim_submit_again(s, at, JOB);
		sim_run(s, 2 * LATE_MS);
		CU_ASSERT_EQUAL(sim_running_count(s, JOB), 0);
		if (cases[i].late_ms == LATE_MS) {
			CU_ASSERT_EQUAL(sim_start_count(s, JOB), 0);
			CU_ASSERT(sim_submit_status(s, JOB) != 200);
			CU_ASSERT_FALSE(sim_has_record(s, 'j', JOB));
		}
		finish_sim(s);
	}
}

/* Guards against a cancellation of an unknown job that stays in the store, and
 * in the memory of the instances, for ever, and against one that is removed
 * while a submission may still be carried out. */
static void
cancellation_without_job_expires(void)
{
	struct sim *const s = start_sim(&options, START_MS);
	const unsigned from = other_instance(s, UINT32_MAX);

	/* Its submission is carried out after all is over. */
	sim_delay_submission(s, from, 10 * KEPT_MS);
	sim_submit(s, from, JOB, sim_new_spec(1, 1000, 100));
	sim_cancel(s, other_instance(s, from), JOB);
	sim_run(s, 100);
	CU_ASSERT_EQUAL(sim_cancel_status(s, JOB), 410);
	sim_run(s, 100000);
	CU_ASSERT(sim_has_record(s, 'k', JOB));
	sim_kill(s, (unsigned)sim_leader(s), 600);
	sim_run(s, KEPT_MS - 100000);
	CU_ASSERT_FALSE(sim_has_record(s, 'k', JOB));
	finish_sim(s);
}

/* Guards against an answer that no such job exists for one that is running. */
static void
running_job_is_cancelled(void)
{
	struct sim *const s = start_sim(&options, START_MS);

	sim_submit(s, 0, JOB, sim_new_spec(2, 1000, 60000));
	sim_run(s, 1000);
	sim_cancel(s, 1, JOB);
	sim_run(s, 1500);
	CU_ASSERT_EQUAL(sim_cancel_status(s, JOB), 200);
	CU_ASSERT_EQUAL(sim_running_count(s, JOB), 0);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "cancelled");
	finish_sim(s);
}

static const struct suite_test tests[] = {
    {"cancelled submission is not stored late",
	cancelled_submission_is_not_stored_late},
    {"cancellation without a job expires", cancellation_without_job_expires},
    {"cancellation of a job that runs is answered with 200",
	running_job_is_cancelled},
};

int
main(void)
{
	return suite_run("wf_cancel", tests, sizeof(tests) / sizeof(tests[0]));
}

/**
 * DOC: test_wf_locality
 *
 * Waits for a placement near the data or the group: tables of cases for the
 * decision, and scenarios in simulated time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "wf_locality.h"
#include "wfsim.h"

#define NEVER_MS UINT32_MAX

/* Time of the decision; cases give times relative to it. */
#define NOW_MS 100000

static agb_time
at_ms(int64_t relative_ms)
{
	return (agb_time)(NOW_MS + relative_ms) * AGB_MS;
}

/* A unit that runs for 1 s near, at twice that elsewhere, unless the case says
 * otherwise; @waits_ms: since the first decision to wait, -1 when there was none;
 * @tickets_ms: 0 when it needs none. Guards against waits that take longer than
 * they gain, that exceed the bound, that make a job late or that let approvals
 * expire, and against remote starts shortly before near room is free. */
static void
wait_is_decided(void)
{
	static const struct {
		const char *what;
		double factor;
		uint32_t run_ms, following_ms;
		uint32_t near_ms;
		uint32_t ready_ms;
		int32_t waits_ms;
		int64_t due_ms;
		uint32_t tickets_ms;
		bool room_short;
		uint32_t max_ms;
		enum wf_locality_choice choice;
	} cases[] = {
	    {"near room is free", 2, 1000, 0, 0, 0, -1, 99000, 0, false, 2000,
		WF_LOCALITY_NEAR},
	    {"near room is free and the wait is over", 2, 1000, 0, 0, 9000,
		9000, -5000, 10, true, 0, WF_LOCALITY_NEAR},
	    {"near room is soon free", 2, 1000, 0, 400, 0, -1, 99000, 0, false,
		2000, WF_LOCALITY_WAIT},
	    {"as soon as a remote run gains nothing", 2, 1000, 0, 1000, 0, -1,
		99000, 0, false, 2000, WF_LOCALITY_WAIT},
	    {"near room is free too late to gain", 2, 1000, 0, 1001, 0, -1,
		99000, 0, false, 2000, WF_LOCALITY_REMOTE},
	    {"a larger factor", 3, 1000, 0, 1900, 0, -1, 99000, 0, false, 2000,
		WF_LOCALITY_WAIT},
	    {"a smaller factor", 1.5, 1000, 0, 501, 0, -1, 99000, 0, false,
		2000, WF_LOCALITY_REMOTE},
	    {"no one knows when near room is free", 2, 1000, 0, NEVER_MS, 0, -1,
		99000, 0, true, 2000, WF_LOCALITY_REMOTE},
	    {"room is short", 2, 1000, 0, 1900, 0, -1, 99000, 0, true, 2000,
		WF_LOCALITY_WAIT},
	    {"room is short, and yet it is too late", 2, 400, 0, 801, 0, -1,
		99000, 0, true, 2000, WF_LOCALITY_REMOTE},
	    {"up to the bound", 2, 9000, 0, 1500, 500, -1, 99000, 0, false,
		2000, WF_LOCALITY_WAIT},
	    {"beyond the bound", 2, 9000, 0, 1501, 500, -1, 99000, 0, false,
		2000, WF_LOCALITY_REMOTE},
	    {"ready for longer than the bound", 2, 9000, 0, 10, 2500, -1, 99000,
		0, false, 2000, WF_LOCALITY_REMOTE},
	    {"a wait as long as its gain", 2, 1000, 0, 300, 701, 701, 99000, 0,
		false, 2000, WF_LOCALITY_REMOTE},
	    {"a wait that may go on", 2, 1000, 0, 300, 700, 700, 99000, 0,
		false, 2000, WF_LOCALITY_WAIT},
	    {"no waiting", 2, 1000, 0, 10, 0, -1, 99000, 0, true, 0,
		WF_LOCALITY_REMOTE},
	    {"no difference", 1, 1000, 0, 10, 0, -1, 99000, 0, true, 2000,
		WF_LOCALITY_REMOTE},
	    {"late by waiting", 2, 1000, 0, 1500, 0, -1, 2400, 0, true, 2000,
		WF_LOCALITY_REMOTE},
	    {"late in any case", 2, 1000, 0, 900, 0, -1, 1800, 0, false, 2000,
		WF_LOCALITY_WAIT},
	    {"late by a remote run only", 2, 1000, 0, 500, 0, -1, 1600, 0,
		false, 2000, WF_LOCALITY_WAIT},
	    {"was due long ago", 2, 1000, 0, 500, 0, -1, -50000, 0, false, 2000,
		WF_LOCALITY_WAIT},
	    {"late by waiting and what follows", 2, 1000, 700, 1200, 0, -1,
		2800, 0, true, 2000, WF_LOCALITY_REMOTE},
	    {"approvals outlast the wait", 2, 1000, 0, 400, 0, -1, 99000, 600,
		false, 2000, WF_LOCALITY_WAIT},
	    {"approvals would expire", 2, 1000, 0, 400, 0, -1, 99000, 500,
		false, 2000, WF_LOCALITY_REMOTE},
	};
	struct wf_locality_decision d;
	struct wf_locality in;
	agb_time near_at;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		in = (struct wf_locality){
		    .run_ms = cases[i].run_ms,
		    .following_ms = cases[i].following_ms,
		    .remote_factor = cases[i].factor,
		    .ready_at = at_ms(-(int64_t)cases[i].ready_ms),
		    .due_at = at_ms(cases[i].due_ms),
		    .room_short = cases[i].room_short,
		    .wait_max_ms = cases[i].max_ms,
		};
		if (cases[i].waits_ms >= 0)
			in.waits_since = at_ms(-cases[i].waits_ms);
		if (cases[i].tickets_ms > 0)
			in.tickets_until = at_ms(cases[i].tickets_ms);
		near_at = cases[i].near_ms == NEVER_MS
		    ? AGB_TIME_MAX
		    : at_ms(cases[i].near_ms);
		d = wf_locality_decide(&in, at_ms(0), near_at);
		if (d.choice != cases[i].choice)
			printf("\n%s: %d\n", cases[i].what, (int)d.choice);
		CU_ASSERT_EQUAL(d.choice, cases[i].choice);
		if (d.choice == WF_LOCALITY_WAIT)
			CU_ASSERT_EQUAL(d.until, near_at);
	}
}

static const struct suite_test tests[] = {
    {"decision: near, remote or a wait", wait_is_decided},
};

int
main(void)
{
	return suite_run(
	    "wf_locality", tests, sizeof(tests) / sizeof(tests[0]));
}

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

#define CORES 3
#define RUNNERS 8
#define RACK_SIZE 2
#define RUNNER_CPU_MILLI 8000
#define ELECTION_MS 3000
#define JOB "00000000000000aa"

static const struct sim_options fleet = {
    .seed = 7,
    .cores = CORES,
    .runners = RUNNERS,
    .cpu_milli = RUNNER_CPU_MILLI,
    .rack_size = RACK_SIZE,
    .remote_factor = 2,
    .locality_wait_ms = 2000,
    .runner_stalls = true, /* runners report the progress of their tasks */
};

static void
submit(struct sim *s, const char *id, struct wf_spec *spec)
{
	sim_submit(s, (unsigned)(sim_leader(s) + 1) % CORES, id, spec);
}

/* A job whose tasks have their data on a rack. */
static struct wf_spec *
new_near_spec(const char *rack, uint32_t count, uint32_t cpu, uint32_t ms)
{
	struct wf_spec *const spec = sim_new_spec(count, cpu, ms);

	snprintf(spec->steps[0].rack, sizeof(agb_id), "%s", rack);
	return spec;
}

/* Occupies @cpu of each of the first @racks racks' runners for @ms. */
static void
occupy(struct sim *s, unsigned racks, uint32_t cpu, uint32_t ms)
{
	struct wf_spec *spec;
	char id[17], rack[16];
	unsigned i;

	for (i = 0; i < racks; i++) {
		snprintf(id, sizeof(id), "%016x", 0x100 + i);
		snprintf(rack, sizeof(rack), "rack-%u", i);
		spec = new_near_spec(rack, RACK_SIZE, cpu, ms);
		snprintf(spec->steps[0].label, sizeof(agb_id), "%s", rack);
		spec->steps[0].spread_max = 1;
		submit(s, id, spec);
	}
}

/* More tasks than there is room for, which need a runner that does not exist. */
static void
make_room_short(struct sim *s)
{
	struct wf_spec *const spec =
	    sim_new_spec(4 * RUNNERS, RUNNER_CPU_MILLI, 100);

	snprintf(spec->steps[0].label, sizeof(agb_id), "none");
	submit(s, "0000000000000200", spec);
}

/* Rack 0, or as many racks as the case says, is occupied for a time, and a job
 * comes half a second after that began. Guards against remote starts shortly
 * before near room is free, against waits for room that is far off, that make a
 * job late, that let its approvals expire or that the settings do not allow, and
 * against lines and counters that miss a decision. */
static void
job_waits_if_it_pays(void)
{
	static const struct {
		const char *what;
		const char *outcome;
		double factor;
		unsigned racks;
		uint32_t cpu, busy_ms;
		uint32_t count, need, run_ms;
		unsigned wait_max_ms, target_ms, ticket_ms;
		uint32_t second_ms;
		unsigned remote;
		unsigned start_min_ms, start_max_ms;
		bool gang, room_short;
	} cases[] = {
	    {"near room is free", "", 2, 1, 4000, 5000, 2, 4000, 1500, 2000, 0,
		0, 0, 0, 0, 100, false, false},
	    {"near room is soon free", "outcome=near", 2, 1, 8000, 1200, 2,
		4000, 1500, 2000, 0, 0, 0, 0, 600, 1100, false, false},
	    {"near room is far off", "outcome=remote waited_ms=0", 2, 1, 8000,
		6000, 2, 4000, 1500, 2000, 0, 0, 0, 2, 0, 100, false, false},
	    {"the settings allow no wait", "outcome=remote waited_ms=0", 2, 1,
		8000, 1200, 2, 4000, 1500, 0, 0, 0, 0, 2, 0, 100, false, false},
	    {"placement does not matter", "", 1, 1, 8000, 1200, 2, 4000, 1500,
		2000, 0, 0, 0, 2, 0, 100, false, false},
	    {"room is short", "outcome=near", 1.9, 1, 8000, 1800, 2, 4000, 1000,
		2000, 0, 0, 0, 0, 1200, 1700, false, true},
	    {"late by waiting", "outcome=remote waited_ms=0", 1.9, 1, 8000,
		1800, 2, 4000, 1000, 2000, 1, 0, 0, 2, 0, 100, false, true},
	    {"near room for some of the tasks", "outcome=part", 2, 1, 8000,
		1200, 6, 4000, 1500, 2000, 0, 0, 0, 2, 0, 100, false, false},
	    {"approvals outlast the wait", "outcome=near", 2, 1, 8000, 1200, 2,
		4000, 1500, 2000, 0, 1900, 0, 0, 600, 1100, false, false},
	    {"approvals would expire", "outcome=remote waited_ms=0", 2, 1, 8000,
		1200, 2, 4000, 1500, 2000, 0, 700, 0, 2, 0, 100, false, false},
	    {"gang: one rack is soon free", "outcome=near", 2, 4, 4000, 1200, 4,
		4000, 1500, 2000, 0, 0, 0, 0, 600, 1100, true, false},
	    {"gang: no rack is soon free", "outcome=remote waited_ms=0", 2, 4,
		4000, 6000, 4, 4000, 1500, 2000, 0, 0, 0, 4, 0, 100, true,
		false},
	    {"gang: one rack has room", "", 2, 3, 4000, 6000, 4, 4000, 1500,
		2000, 0, 0, 0, 0, 0, 100, true, false},
	    {"late by waiting and a second step", "outcome=remote waited_ms=0",
		2.9, 1, 8000, 2700, 2, 4000, 1000, 5000, 1, 0, 1000, 2, 0, 100,
		false, true},
	    {"a second step and more time", "outcome=near", 2.9, 1, 8000, 2700,
		2, 4000, 1000, 5000, 1500, 0, 1000, 0, 2100, 2600, false, true},
	};
	struct sim_options o;
	struct wf_spec *spec;
	unsigned submitted, started, leader, waits;
	struct sim *s;
	size_t i;
	bool ok;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o = fleet;
		o.remote_factor = cases[i].factor;
		o.locality_wait_ms = cases[i].wait_max_ms;
		o.target_ms = cases[i].target_ms;
		o.ticket_ms = cases[i].ticket_ms;
		o.advice_required = cases[i].ticket_ms > 0;
		s = sim_new(&o);
		sim_run(s, ELECTION_MS);
		occupy(s, cases[i].racks, cases[i].cpu, cases[i].busy_ms);
		if (cases[i].room_short)
			make_room_short(s);
		sim_run(s, 500);
		spec = cases[i].gang ? sim_new_spec(cases[i].count,
					   cases[i].need, cases[i].run_ms)
				     : new_near_spec("rack-0", cases[i].count,
					   cases[i].need, cases[i].run_ms);
		spec->steps[0].gang = spec->steps[0].rack_local = cases[i].gang;
		if (cases[i].second_ms > 0)
			sim_add_step(spec, 1, 1000, cases[i].second_ms);
		submitted = sim_now_ms(s);
		submit(s, JOB, spec);
		sim_run(s, 12000);
		started = sim_started_at_ms(s, JOB) - submitted;
		leader = (unsigned)sim_leader(s);
		waits = (unsigned)(sim_tally(s, leader, WF_TALLY_WAITS_NEAR) +
		    sim_tally(s, leader, WF_TALLY_WAITS_VAIN));
		ok = sim_remote_count(s, JOB) == cases[i].remote &&
		    started >= cases[i].start_min_ms &&
		    started <= cases[i].start_max_ms &&
		    strcmp(sim_state(s, JOB), "completed") == 0 &&
		    sim_wait_lines(s, JOB) == (cases[i].outcome[0] != '\0') &&
		    strstr(sim_wait_line(s, JOB), cases[i].outcome) != NULL &&
		    waits ==
			(strstr(cases[i].outcome, "near") != NULL ||
			    strstr(cases[i].outcome, "part") != NULL) &&
		    sim_tally(s, leader, WF_TALLY_REMOTE) ==
			(o.remote_factor > 1 ? cases[i].remote : 0) &&
		    sim_tally(s, leader, WF_TALLY_SETS_EXPIRED) == 0 &&
		    sim_violation_count(s) == 0;
		if (!ok)
			printf("\n%s: %u remote, after %u ms, %u lines (%s), "
			       "%s %s\n",
			    cases[i].what, sim_remote_count(s, JOB), started,
			    sim_wait_lines(s, JOB), sim_wait_line(s, JOB),
			    sim_state(s, JOB), sim_first_violation(s));
		CU_ASSERT(ok);
		sim_free(s);
	}
}

/* Both runners of rack 0 are gone for good, before a job comes or while it waits,
 * and are not listed any more. Guards against a wait for room that never
 * comes. */
static void
rack_that_is_gone_is_not_waited_for(void)
{
	static const struct {
		unsigned gone_ms;
		unsigned submit_ms;
		unsigned start_max_ms;
	} cases[] = {{0, 15000, 100}, {400, 200, 2100}};
	unsigned started;
	struct sim *s;
	unsigned ri;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		s = sim_new(&fleet);
		sim_run(s, ELECTION_MS);
		if (cases[i].gone_ms > 0)
			occupy(s, 1, RUNNER_CPU_MILLI, 1200);
		if (cases[i].gone_ms > cases[i].submit_ms)
			sim_run(s, cases[i].submit_ms);
		else
			sim_run(s, cases[i].gone_ms);
		if (cases[i].gone_ms > cases[i].submit_ms) {
			submit(s, JOB, new_near_spec("rack-0", 2, 4000, 1500));
			sim_run(s, cases[i].gone_ms - cases[i].submit_ms);
		}
		for (ri = 0; ri < RACK_SIZE; ri++)
			sim_runner_crash(s, ri, 0);
		if (cases[i].gone_ms < cases[i].submit_ms) {
			sim_run(s, cases[i].submit_ms - cases[i].gone_ms);
			submit(s, JOB, new_near_spec("rack-0", 2, 4000, 1500));
		}
		sim_run(s, 15000);
		started = sim_started_at_ms(s, JOB) - ELECTION_MS -
		    cases[i].submit_ms;
		if (started > cases[i].start_max_ms)
			printf("\ncase %zu: after %u ms, %s\n", i, started,
			    sim_wait_line(s, JOB));
		CU_ASSERT(started <= cases[i].start_max_ms);
		CU_ASSERT_EQUAL(sim_remote_count(s, JOB), 2);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		sim_free(s);
	}
}

/* A job waits for rack 0, whose tasks end in time or stall, and the leader may
 * lose power meanwhile. Guards against a wait beyond the bound when an estimate
 * is wrong, and against a new leader that lets the job wait for the whole bound
 * again, or forgets it. */
static void
wait_ends_within_its_bound(void)
{
	static const struct {
		bool stalls;
		bool new_leader;
		unsigned remote;
		unsigned wait_max_ms; /* since the election, or the start */
	} cases[] = {
	    {false, false, 0, 1300},
	    {true, false, 2, 2100},
	    {false, true, 0, 300},
	    {true, true, 2, 300},
	};
	unsigned leader, since, started;
	struct sim_options o = fleet;
	struct sim *s;
	size_t i;

	o.remote_factor = 3;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		s = sim_new(&o);
		sim_run(s, ELECTION_MS);
		occupy(s, 1, RUNNER_CPU_MILLI, 1600);
		sim_run(s, 500);
		leader = (unsigned)sim_leader(s);
		since = sim_now_ms(s);
		submit(s, JOB, new_near_spec("rack-0", 2, 4000, 1500));
		sim_run(s, 300);
		CU_ASSERT_EQUAL(sim_started_at_ms(s, JOB), 0);
		sim_runner_stall(s, 0, cases[i].stalls);
		sim_runner_stall(s, 1, cases[i].stalls);
		if (cases[i].new_leader) {
			sim_kill(s, leader, 0);
			while ((sim_leader(s) < 0 ||
				   (unsigned)sim_leader(s) == leader) &&
			    sim_now_ms(s) < 30000)
				sim_run(s, 10);
			since = sim_now_ms(s);
		}
		sim_run(s, 30000);
		started = sim_started_at_ms(s, JOB);
		if (started > since + cases[i].wait_max_ms ||
		    sim_remote_count(s, JOB) != cases[i].remote)
			printf("\ncase %zu: %u ms, %s\n", i, started - since,
			    sim_wait_line(s, JOB));
		CU_ASSERT(started > 0);
		CU_ASSERT(started <= since + cases[i].wait_max_ms);
		CU_ASSERT_EQUAL(sim_remote_count(s, JOB), cases[i].remote);
		CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		leader = (unsigned)sim_leader(s);
		CU_ASSERT_EQUAL(sim_tally(s, leader, WF_TALLY_WAITS_VAIN),
		    cases[i].stalls && !cases[i].new_leader);
		sim_free(s);
	}
}

/* A gang waits for one rack, of which half is free, while tasks that want no place
 * fill the rest of the fleet for seconds. Guards against near room that goes to
 * work behind the gang while it waits. */
static void
near_room_is_kept_for_a_gang_that_waits(void)
{
	struct sim *const s = sim_new(&fleet);
	struct wf_spec *const gang = sim_new_spec(4, 4000, 1500);
	struct wf_spec *const others = sim_new_spec(8, 4000, 5000);
	unsigned submitted;

	gang->steps[0].gang = gang->steps[0].rack_local = true;
	sim_run(s, ELECTION_MS);
	occupy(s, RUNNERS / RACK_SIZE, 4000, 1200);
	sim_run(s, 500);
	submitted = sim_now_ms(s);
	submit(s, JOB, gang);
	sim_run(s, 50);
	submit(s, "0000000000000300", others);
	sim_run(s, 12000);
	CU_ASSERT_EQUAL(sim_remote_count(s, JOB), 0);
	CU_ASSERT(sim_started_at_ms(s, JOB) <= submitted + 1100);
	CU_ASSERT_EQUAL(sim_final_job_count(s), sim_job_count(s));
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	sim_free(s);
}

/* One runner of rack 0 is soon free, the other one is not, and two jobs want a
 * whole runner there. Guards against two jobs that wait for the same room. */
static void
room_is_awaited_by_one_job(void)
{
	static const uint32_t busy_ms[RACK_SIZE] = {1200, 8000};
	static const char *const jobs[] = {JOB, "00000000000000ab"};
	struct sim *const s = sim_new(&fleet);
	struct wf_spec *spec;
	char id[17];
	size_t i;

	sim_run(s, ELECTION_MS);
	for (i = 0; i < RACK_SIZE; i++) {
		spec = new_near_spec("rack-0", 1, RUNNER_CPU_MILLI, busy_ms[i]);
		snprintf(id, sizeof(id), "%016x", 0x100 + (unsigned)i);
		submit(s, id, spec);
	}
	sim_run(s, 500);
	for (i = 0; i < sizeof(jobs) / sizeof(jobs[0]); i++) {
		spec = new_near_spec("rack-0", 1, RUNNER_CPU_MILLI, 1500);
		submit(s, jobs[i], spec);
		sim_run(s, 50);
	}
	sim_run(s, 12000);
	CU_ASSERT_EQUAL(sim_remote_count(s, jobs[0]), 0);
	CU_ASSERT_EQUAL(sim_remote_count(s, jobs[1]), 1);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(sim_wait_line(s, jobs[1]), "outcome=remote waited_ms=0 "));
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	sim_free(s);
}

/* All runs of a queue are remote and take twice the estimate. Guards against the
 * factor being learned as part of the run time, which would be applied twice. */
static void
remote_runs_do_not_raise_the_estimate(void)
{
	struct sim *const s = sim_new(&fleet);
	const char *run_ms;
	char id[17];
	unsigned i;

	sim_run(s, ELECTION_MS);
	occupy(s, 1, RUNNER_CPU_MILLI, 60000);
	sim_run(s, 500);
	for (i = 0; i < 60; i++) {
		snprintf(id, sizeof(id), "%016x", 0x1000 + i);
		submit(s, id, new_near_spec("rack-0", 4, 4000, 1000));
		sim_run(s, 700);
	}
	run_ms = strstr(sim_wait_line(s, id), "run_ms=");
	CU_ASSERT_PTR_NOT_NULL_FATAL(run_ms);
	i = (unsigned)strtoul(run_ms + strlen("run_ms="), NULL, 10);
	if (i < 900 || i > 1200)
		printf("\nexpected run time: %u ms\n", i);
	CU_ASSERT(i >= 900 && i <= 1200);
	sim_free(s);
}

/* Runners of rack 0 have less room than the others, of which there are more than
 * a call names, or there are no others. Guards against calls for advice that do not
 * name the runners on which a job has its data, and against calls that name fewer
 * runners than before when all are near. */
static void
near_runners_are_named_in_calls(void)
{
	static const struct {
		unsigned rack_size;
		unsigned named;
	} cases[] = {{4, 30}, {40, 30}, {20, 30}};
	struct sim_options o = fleet;
	struct wf_spec *spec;
	unsigned named;
	struct sim *s;
	size_t i;

	o.runners = 40;
	o.advice_required = true;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		o.rack_size = cases[i].rack_size;
		s = sim_new(&o);
		sim_run(s, ELECTION_MS);
		spec = new_near_spec("rack-0", 4, 4000, 5000);
		spec->steps[0].spread_max = 1;
		submit(s, "0000000000000100", spec);
		sim_run(s, 500);
		named = sim_advice_runners(s);
		submit(s, JOB, new_near_spec("rack-0", 2, 4000, 500));
		sim_run(s, 500);
		CU_ASSERT(sim_started_at_ms(s, JOB) > 0);
		CU_ASSERT_EQUAL(sim_remote_count(s, JOB), 0);
		CU_ASSERT_EQUAL(sim_advice_runners(s) - named, cases[i].named);
		sim_run(s, 8000);
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		sim_free(s);
	}
}

/* A gang wants one rack and has its data on the last one. Guards against a rack
 * that is chosen although that of the data has room. */
static void
gang_goes_to_the_rack_of_its_data(void)
{
	struct sim *const s = sim_new(&fleet);
	struct wf_spec *const spec = new_near_spec("rack-3", 4, 4000, 500);

	spec->steps[0].gang = spec->steps[0].rack_local = true;
	sim_run(s, ELECTION_MS);
	submit(s, JOB, spec);
	sim_run(s, 2000);
	CU_ASSERT_STRING_EQUAL(sim_state(s, JOB), "completed");
	CU_ASSERT_EQUAL(sim_remote_count(s, JOB), 0);
	CU_ASSERT_EQUAL(sim_wait_lines(s, JOB), 0);
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	sim_free(s);
}

/* Runs a backlog of jobs that name no rack, and gangs. Return: what the passes
 * have examined. */
static uint64_t
examined_without_racks(double factor, unsigned wait_max_ms)
{
	struct sim_options o = fleet;
	struct wf_spec *spec;
	uint64_t examined;
	char id[17];
	struct sim *s;
	unsigned i;

	o.remote_factor = factor;
	o.locality_wait_ms = wait_max_ms;
	s = sim_new(&o);
	sim_run(s, ELECTION_MS);
	for (i = 0; i < 60; i++) {
		snprintf(id, sizeof(id), "%016x", 0x1000 + i);
		spec = sim_new_spec(3, 3000, 300 + 20 * i);
		spec->steps[0].gang = i % 4 == 0;
		submit(s, id, spec);
		sim_run(s, 20);
	}
	sim_run(s, 10000);
	CU_ASSERT_EQUAL(sim_final_job_count(s), 60);
	examined = sim_examined(s, (unsigned)sim_leader(s));
	sim_free(s);
	return examined;
}

/* Guards against work in the passes for jobs that want no place. */
static void
jobs_without_a_place_cost_nothing(void)
{
	const uint64_t examined = examined_without_racks(0, 0);

	CU_ASSERT(examined > 0);
	CU_ASSERT_EQUAL(examined_without_racks(3, 2000), examined);
}

/* Load of the measurement. The processors that the jobs need when all run near
 * are a share of the fleet's, as the case says; remote runs add to it. Half of the tasks
 * name the rack of their data, and three of ten gangs want one rack. */
#define LOAD_RUNNERS 32
#define LOAD_RACK_SIZE 4
#define LOAD_MS 20000
#define LOAD_JOBS_MAX 2000
#define LOAD_SEEDS 5

struct load_result {
	uint64_t completion_ms; /* sum over all jobs */
	unsigned jobs;
	unsigned remote;
	uint64_t waits_near;
	uint64_t waits_vain;
};

static uint32_t
next_random(uint64_t *random, uint32_t max)
{
	*random ^= *random << 13;
	*random ^= *random >> 7;
	*random ^= *random << 17;
	return (uint32_t)(*random >> 20) % max;
}

/* Return: processor time of the job when it runs near. */
static uint64_t
submit_load_job(struct sim *s, uint64_t *random, unsigned i)
{
	const bool gang = next_random(random, 4) == 0;
	const uint32_t ms = 300 + next_random(random, 2400);
	const uint32_t cpu = 1000 * (1 + next_random(random, 4));
	const uint32_t count =
	    gang ? 4 + next_random(random, 6) : 1 + next_random(random, 3);
	struct wf_spec *const spec = sim_new_spec(count, cpu, ms);
	struct wf_step *const step = &spec->steps[0];
	char id[17];

	if (next_random(random, 2) == 0)
		snprintf(step->rack, sizeof(step->rack), "rack-%u",
		    next_random(random, LOAD_RUNNERS / LOAD_RACK_SIZE));
	step->gang = gang;
	step->rack_local = gang && next_random(random, 10) < 3;
	snprintf(id, sizeof(id), "%016x", 0x1000 + i);
	submit(s, id, spec);
	return (uint64_t)count * cpu * ms;
}

static void
run_load(uint64_t seed, double factor, unsigned wait_max_ms, bool advice,
    unsigned load_percent, struct load_result *out)
{
	static unsigned submitted[LOAD_JOBS_MAX];
	const uint64_t per_ms =
	    (uint64_t)LOAD_RUNNERS * RUNNER_CPU_MILLI * load_percent / 100;
	uint64_t random = seed * 2654435761U + 88172645463325252ULL;
	struct sim_options o = fleet;
	uint64_t work = 0;
	unsigned n = 0, i, ci;
	struct sim *s;
	char id[17];

	o.seed = seed;
	o.runners = LOAD_RUNNERS;
	o.rack_size = LOAD_RACK_SIZE;
	o.remote_factor = factor;
	o.locality_wait_ms = wait_max_ms;
	o.advice_required = advice;
	s = sim_new(&o);
	sim_run(s, ELECTION_MS);
	while (sim_now_ms(s) < ELECTION_MS + LOAD_MS) {
		while (n < LOAD_JOBS_MAX &&
		    work < per_ms * (sim_now_ms(s) - ELECTION_MS)) {
			submitted[n] = sim_now_ms(s);
			work += submit_load_job(s, &random, n++);
		}
		sim_run(s, 10);
	}
	sim_run(s, 60000);
	CU_ASSERT_EQUAL(sim_final_job_count(s), n);
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	for (i = 0; i < n; i++) {
		snprintf(id, sizeof(id), "%016x", 0x1000 + i);
		out->completion_ms += sim_done_at_ms(s, id) - submitted[i];
		out->remote += sim_remote_count(s, id);
		CU_ASSERT(sim_wait_lines(s, id) <= 1);
	}
	out->jobs += n;
	for (ci = 0; ci < CORES; ci++) {
		out->waits_near += sim_tally(s, ci, WF_TALLY_WAITS_NEAR);
		out->waits_vain += sim_tally(s, ci, WF_TALLY_WAITS_VAIN);
	}
	sim_free(s);
}

/* The leader, single runners and a whole rack fail under load, also while jobs
 * wait. Guards against jobs that are lost, started twice or never started by a
 * wait that a fault interrupts. */
static void
waits_survive_faults(void)
{
	const uint64_t per_ms =
	    (uint64_t)LOAD_RUNNERS * RUNNER_CPU_MILLI * 8 / 10;
	struct sim_options o = fleet;
	uint64_t random, work;
	struct sim *s;
	unsigned n, i;

	o.runners = LOAD_RUNNERS;
	o.rack_size = LOAD_RACK_SIZE;
	o.max_attempts = 20;
	for (o.seed = 1; o.seed <= 4; o.seed++) {
		o.advice_required = o.seed % 2 == 0;
		random = o.seed * 2654435761U + 88172645463325252ULL;
		work = n = 0;
		s = sim_new(&o);
		sim_run(s, ELECTION_MS);
		while (sim_now_ms(s) < ELECTION_MS + 9000) {
			while (work < per_ms * (sim_now_ms(s) - ELECTION_MS))
				work += submit_load_job(s, &random, n++);
			sim_run(s, 10);
			i = sim_now_ms(s) - ELECTION_MS;
			if (i == 2000)
				sim_runner_crash(s, 5, 1500);
			if (i == 3000)
				sim_runner_drain(s, 9, 2000);
			if (i == 5000) {
				for (i = 0; i < LOAD_RACK_SIZE; i++)
					sim_runner_crash(s, i, 4000);
			}
		}
		sim_kill(s, (unsigned)sim_leader(s), 3000);
		sim_run(s, 90000);
		CU_ASSERT_EQUAL(sim_job_count(s), n);
		CU_ASSERT_EQUAL(sim_final_job_count(s), n);
		if (sim_violation_count(s) > 0)
			printf("\nseed %u: %s\n", (unsigned)o.seed,
			    sim_first_violation(s));
		CU_ASSERT_EQUAL(sim_violation_count(s), 0);
		sim_free(s);
	}
}

/* Guards against waits that make jobs end later on average while room is short,
 * or scarce on some racks. */
static void
waits_shorten_completion_when_room_is_short(void)
{
	static const struct {
		double factor;
		unsigned load_percent;
		bool advice;
	} cases[] = {
	    {1.5, 90, false},
	    {2, 90, false},
	    {3, 90, false},
	    {2, 70, false},
	    {2, 110, false},
	    {2, 90, true},
	};
	static const unsigned waits_ms[] = {0, 2000};
	struct load_result r[2];
	uint64_t seed;
	size_t i, w;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(r, 0, sizeof(r));
		for (w = 0; w < 2; w++) {
			for (seed = 1; seed <= LOAD_SEEDS; seed++)
				run_load(seed, cases[i].factor, waits_ms[w],
				    cases[i].advice, cases[i].load_percent,
				    &r[w]);
			printf("\nfactor %.1f, load %u%%, approvals %s, wait "
			       "%u ms: %u jobs, mean completion %.0f ms, "
			       "%u remote, waits: %u near, %u in vain",
			    cases[i].factor, cases[i].load_percent,
			    cases[i].advice ? "yes" : "no", waits_ms[w],
			    r[w].jobs, (double)r[w].completion_ms / r[w].jobs,
			    r[w].remote, (unsigned)r[w].waits_near,
			    (unsigned)r[w].waits_vain);
		}
		CU_ASSERT(r[1].completion_ms < r[0].completion_ms);
		CU_ASSERT(r[1].remote < r[0].remote);
		CU_ASSERT_EQUAL(r[0].waits_near + r[0].waits_vain, 0);
		CU_ASSERT(r[1].waits_near > r[1].waits_vain);
	}
}

static const struct suite_test tests[] = {
    {"decision: near, remote or a wait", wait_is_decided},
    {"simulation: a job waits if that pays", job_waits_if_it_pays},
    {"simulation: a rack that is gone is not waited for",
	rack_that_is_gone_is_not_waited_for},
    {"simulation: a wait ends within its bound", wait_ends_within_its_bound},
    {"simulation: near room is kept for a gang that waits",
	near_room_is_kept_for_a_gang_that_waits},
    {"simulation: room is awaited by one job", room_is_awaited_by_one_job},
    {"simulation: remote runs do not raise the estimate",
	remote_runs_do_not_raise_the_estimate},
    {"simulation: a gang goes to the rack of its data",
	gang_goes_to_the_rack_of_its_data},
    {"simulation: near runners are named in calls",
	near_runners_are_named_in_calls},
    {"simulation: jobs without a place cost nothing",
	jobs_without_a_place_cost_nothing},
    {"simulation: waits survive faults", waits_survive_faults},
    {"simulation: waits shorten completion when room is short",
	waits_shorten_completion_when_room_is_short},
};

int
main(void)
{
	return suite_run(
	    "wf_locality", tests, sizeof(tests) / sizeof(tests[0]));
}

/* Randomized runs: load and faults that follow from a seed. */

#include <stdio.h>
#include <string.h>

#include "world.h"

/* Queues of the runs in which jobs share their ids. */
static const struct sim_queue two_queues[] = {
    {.name = "q", .priority = 1, .target_ms = 1000, .slack_factor = 2},
    {.name = "r", .priority = 1, .target_ms = 1000, .slack_factor = 2},
};

#define QUEUES_LEN (sizeof(two_queues) / sizeof(two_queues[0]))
/* Of the latest jobs, one may get a namesake. */
#define NAMESAKES_FROM 12

/* Chooses the queue and the id of the next job: the digits of a recent job of the
 * other queue, if that has no namesake yet, or new ones. */
static size_t
choose_id(struct sim *s, wf_job_id id)
{
	const size_t back = 1 + sim_rnd(s, NAMESAKES_FROM);
	const struct sim_job *other;

	if (back <= s->jobs_len && sim_chance(s, 60)) {
		other = &s->jobs[s->jobs_len - back];
		wf_job_id_make(id, other->id, 1);
		if (sim_job_find(s, id) == NULL && !other->cancelled_elsewhere)
			return 1 - other->queue;
	}
	snprintf(id, WF_JOB_ID_LEN, "%016zx", s->jobs_len + 1);
	return sim_rnd(s, QUEUES_LEN);
}

static bool
has_namesake(const struct sim *s, const struct sim_job *j)
{
	wf_job_id id;

	wf_job_id_make(id, j->id, 1);
	return sim_job_find(s, id) != NULL;
}

/* A client asks for a recent job, or uses the id of one by the other queue. */
static void
ask_at_random(struct sim *s)
{
	const size_t back = 1 + sim_rnd(s, 4 * NAMESAKES_FROM);
	const unsigned ci = sim_rnd(s, s->o.cores);
	const struct sim_job *j;

	if (back > s->jobs_len)
		return;
	j = &s->jobs[s->jobs_len - back];
	if (has_namesake(s, j) || sim_chance(s, 50))
		sim_get(s, ci, j->id);
	else if (sim_chance(s, 50))
		sim_get_elsewhere(s, ci, 1 - j->queue, j->id);
	else
		sim_cancel_elsewhere(s, ci, 1 - j->queue, j->id);
}

/* Each instance is asked for each job. */
static void
ask_for_all(struct sim *s)
{
	unsigned ci;
	size_t i;

	for (ci = 0; ci < s->o.cores; ci++) {
		for (i = 0; i < s->jobs_len; i++)
			sim_get(s, ci, s->jobs[i].id);
		sim_run(s, 1000);
	}
}

static void
submit_random_job(struct sim *s)
{
	size_t queue = 0;
	struct wf_spec *spec;
	struct wf_step *step;
	wf_job_id id;
	unsigned ci;

	spec = sim_new_spec(1 + sim_rnd(s, 6), 1000 * (1 + sim_rnd(s, 4)),
	    100 + sim_rnd(s, 2000));
	spec->steps[0].gang = sim_chance(s, 30);
	spec->steps[0].spread_max = sim_chance(s, 20) ? 2 : 0;
	if (sim_chance(s, 30)) {
		step = sim_add_step(
		    spec, 1 + sim_rnd(s, 4), 1000, 200 + sim_rnd(s, 800));
		step->gang = sim_chance(s, 20);
	}
	ci = sim_rnd(s, s->o.cores);
	if (s->o.shared_ids)
		queue = choose_id(s, id);
	else
		snprintf(id, sizeof(id), "%016zx", s->jobs_len + 1);
	if (s->o.accounts_len > 0)
		agb_str_copy(spec->account, sizeof(spec->account),
		    s->o.accounts[s->jobs_len % s->o.accounts_len].name);
	sim_submit_to(s, ci, queue, id, spec);
	if (sim_chance(s, 5))
		sim_cancel(s, sim_rnd(s, s->o.cores), id);
}

static void
restore_store(struct sim *s, struct sim_event *e)
{
	unsigned ci;

	s->store = SIM_STORE_UP;
	for (ci = 0; ci < s->o.cores; ci++)
		s->cores[ci].store = SIM_STORE_UP;
}

static void
heal_runner(struct sim *s, struct sim_event *e)
{
	s->runners[e->a].unreachable = false;
	s->runners[e->a].stalled = false;
	s->runners[e->a].faulty = false;
}

static void
heal_core(struct sim *s, struct sim_event *e)
{
	s->cores[e->a].runners_unreachable = false;
	s->cores[e->a].isolated = false;
}

/* Cuts an instance off from the runners or from the other instances. */
static void
inject_relay_fault(struct sim *s, unsigned ci)
{
	if (sim_chance(s, 50))
		sim_core_cut_runners(s, ci, true);
	else
		sim_core_isolate(s, ci, true);
	sim_schedule(s, (500 + sim_rnd(s, 4000)) * SIM_MS, heal_core)->a = ci;
}

/* Half of the crashes are silent, and the runner is back before its entry tells
 * of it. Then its start time may be an earlier one. */
static void
crash_random_runner(struct sim *s, unsigned ri)
{
	const unsigned back_ms = 500 + sim_rnd(s, 5000);

	if (s->now / SIM_MS / 10 % 2 == 0) {
		sim_runner_crash(s, ri, back_ms);
		return;
	}
	sim_runner_set_clock_back(s, ri, back_ms % 4 == 0 ? 60000 : 0);
	sim_runner_crash_silently(s, ri, 300 + back_ms % 900);
}

static void
inject_fault(struct sim *s)
{
	const unsigned ri = sim_rnd(s, s->o.runners);
	const int leader = sim_leader(s);
	const unsigned ci = leader >= 0 && sim_chance(s, 60)
	    ? (unsigned)leader
	    : sim_rnd(s, s->o.cores);
	unsigned i;

	if (s->o.runner_stalls && sim_chance(s, 30)) {
		sim_runner_stall(s, ri, true);
		sim_schedule(s, (1000 + sim_rnd(s, 6000)) * SIM_MS, heal_runner)
		    ->a = ri;
		return;
	}
	if (s->o.relays && sim_chance(s, 25)) {
		inject_relay_fault(s, ci);
		return;
	}
	switch (sim_rnd(s, 11)) {
	case 0:
		if (s->now / SIM_MS % 2 == 0)
			sim_kill(s, ci, 500 + sim_rnd(s, 3000));
		else
			sim_kill_process(s, ci, 500 + sim_rnd(s, 3000));
		break;
	case 1:
		sim_freeze(s, ci, 1000 + sim_rnd(s, 4000));
		break;
	case 2:
		sim_sigterm(s, ci);
		break;
	case 3:
		sim_set_store_mode(s,
		    sim_chance(s, 50) ? SIM_STORE_REFUSES : SIM_STORE_SILENT);
		sim_schedule(
		    s, (500 + sim_rnd(s, 4000)) * SIM_MS, restore_store);
		break;
	case 4:
		sim_set_core_store_mode(s, ci,
		    sim_chance(s, 50) ? SIM_STORE_REFUSES : SIM_STORE_SILENT);
		sim_schedule(
		    s, (1000 + sim_rnd(s, 6000)) * SIM_MS, restore_store);
		break;
	case 5:
		sim_compact_store(s);
		break;
	case 6:
		sim_runner_cut(s, ri, true);
		sim_schedule(s, (500 + sim_rnd(s, 9000)) * SIM_MS, heal_runner)
		    ->a = ri;
		break;
	case 7:
		crash_random_runner(s, ri);
		break;
	case 8:
		sim_runner_drain(s, ri, 1000 + sim_rnd(s, 4000));
		break;
	case 9:
		sim_runner_faulty(s, ri, true);
		sim_schedule(s, (500 + sim_rnd(s, 4000)) * SIM_MS, heal_runner)
		    ->a = ri;
		break;
	default:
		for (i = 0; i < s->o.cores; i++)
			sim_kill(s, i, 500 + sim_rnd(s, 1000));
	}
}

void
sim_random_run(struct sim *s)
{
	const unsigned step_ms = 50;
	unsigned t, budget, next_fault;
	size_t i;

	budget = 0;
	next_fault = 1000;
	sim_run(s, 500);
	for (t = 0; t < s->o.load_ms; t += step_ms) {
		budget += s->o.jobs_per_s * step_ms;
		while (budget >= 1000 && s->jobs_len < JOBS_MAX) {
			budget -= 1000;
			submit_random_job(s);
		}
		if (s->o.shared_ids)
			ask_at_random(s);
		if (s->o.fault_gap_ms > 0 && t >= next_fault) {
			inject_fault(s);
			next_fault = t + s->o.fault_gap_ms / 2 +
			    sim_rnd(s, s->o.fault_gap_ms);
		}
		sim_run(s, step_ms);
	}
	s->o.answer_lost_percent = 0;
	s->o.order_late_percent = 0;
	s->o.store_lost_percent = 0;
	sim_run(s, 60000);
	if (s->o.shared_ids)
		ask_for_all(s);
	for (i = 0; i < s->jobs_len; i++)
		sim_check_end(s, &s->jobs[i]);
}

static struct sim *
run_jobs(unsigned seed)
{
	const bool shared_ids = seed >= SIM_FIRST_SHARED_ID_SEED;
	const bool gangs_fail = seed >= SIM_FIRST_GANG_SEED && !shared_ids;
	const unsigned stretch =
	    seed >= SIM_FIRST_STALL_SEED && seed % 6 == 0 ? 4 : 1;
	/* Gangs that fail run again: a full load would not be finished by the
	 * end. */
	const unsigned load_divisor = gangs_fail ? 2 * stretch : stretch;
	const struct sim_options o = {
	    .seed = seed,
	    .cores = 2 + seed % 4,
	    .runners = 8 + seed % 9,
	    .cpu_milli = 8000 + 4000 * (seed % 3),
	    .latency_ms = 1 + seed % 6,
	    .advice_required = seed % 2 == 1 && !shared_ids,
	    .max_attempts = gangs_fail ? 2 : 3,
	    .fail_percent = seed % 5,
	    .gang_fail_percent = gangs_fail ? 25 : 0,
	    .answer_lost_percent = seed % 3 == 0 ? 3 : 0,
	    .order_late_percent = seed % 4 == 0 ? 2 : 0,
	    .store_lost_percent = seed % 7 == 0 ? 15 : 0,
	    .run_time_factor = stretch,
	    .runner_stalls = seed >= SIM_FIRST_STALL_SEED,
	    .relays = shared_ids ? seed % 2 == 0 : seed >= SIM_FIRST_RELAY_SEED,
	    .shared_ids = shared_ids,
	    .queues = shared_ids ? two_queues : NULL,
	    .queues_len = shared_ids ? QUEUES_LEN : 0,
	    .jobs_per_s = 1 + (3 + seed % 8) / load_divisor,
	    .load_ms = 25000,
	    .fault_gap_ms = 800 + 400 * (seed % 6),
	};
	struct sim *const s = sim_new(&o);

	sim_random_run(s);
	return s;
}

unsigned
sim_run_seed(unsigned seed, FILE *report)
{
	struct sim *const s =
	    seed >= SIM_FIRST_ACCOUNT_SEED && seed < SIM_FIRST_SHARED_ID_SEED
	    ? sim_run_accounts(seed)
	    : run_jobs(seed);
	const unsigned n = sim_violation_count(s);

	if (n > 0 && report != NULL)
		fprintf(report, "seed %u: %u violations, the first at %s\n",
		    seed, n, sim_first_violation(s));
	sim_free(s);
	return n;
}

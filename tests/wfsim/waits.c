/* Random runs of accounts with limits, in which large jobs wait behind tasks that
 * last and runs that take long. No small job may wait though there is room. */

#include <stdio.h>
#include <string.h>

#include "world.h"

#define STEP_MS 50
#define LOAD_MS 70000
#define SETTLE_MS 3000
#define END_MS 20000
/* Odd jobs come one after the other at this interval, each of another kind. */
#define ODD_EVERY_MS 3000
#define SMALL_PER_S 4
/* A job may wait for this long while there is room, if there has been no fault
 * for the time before. */
#define WAIT_MAX_MS 3000
#define CALM_MS 8000
#define LEADER_KILLED_EVERY_MS 23000
#define LONG_MS 40000

static const struct wf_account accounts[] = {
    {.name = "a", .weight = 1, .limit = {.cpu_milli = 12000}},
    {.name = "b", .weight = 1, .limit = {.cpu_milli = 6000}},
    {.name = "c", .weight = 2},
};

#define ACCOUNTS (sizeof(accounts) / sizeof(accounts[0]))

enum odd_kind {
	LASTING,
	LONG_RUN,
	OVERDUE_RUN,
	LARGE_TASK,
	LARGE_GANG,
	LOWER_LIMIT,
	ODD_KINDS,
};

/* Submits a job whose id begins with @mark. */
static const char *
submit(struct sim *s, char mark, size_t account, struct wf_spec *spec)
{
	wf_job_id id;

	snprintf(id, sizeof(id), "%c%015zx", mark, s->jobs_len + 1);
	agb_str_copy(
	    spec->account, sizeof(spec->account), accounts[account].name);
	sim_submit(s, sim_rnd(s, s->o.cores), id, spec);
	return s->jobs[s->jobs_len - 1].id;
}

static void
submit_small(struct sim *s)
{
	submit(s, 'a', sim_rnd(s, ACCOUNTS),
	    sim_new_spec(1, 250 * (1 + sim_rnd(s, 3)), 200 + sim_rnd(s, 1200)));
}

static void
submit_odd(struct sim *s, enum odd_kind kind, size_t account)
{
	const int64_t limit = s->accounts[account].set.limit.cpu_milli;
	const uint32_t rest = 500 * sim_rnd(s, 4);
	struct wf_spec *spec;
	const char *id;

	switch (kind) {
	case LASTING:
		spec = sim_new_spec(1, 500 * (1 + sim_rnd(s, 4)), 500);
		spec->steps[0].long_running = true;
		id = submit(s, 'b', account, spec);
		sim_set_run_time(s, id, 10 * LONG_MS);
		break;
	case LONG_RUN:
	case OVERDUE_RUN:
		spec = sim_new_spec(1, 500 * (1 + sim_rnd(s, 4)),
		    kind == LONG_RUN ? LONG_MS : 500);
		id = submit(s, 'b', account, spec);
		sim_set_run_time(s, id, LONG_MS);
		break;
	case LARGE_TASK:
		submit(s, 'b', account,
		    sim_new_spec(1,
			limit > 0 && limit < s->o.cpu_milli
			    ? (uint32_t)limit - rest
			    : (uint32_t)s->o.cpu_milli - rest,
			1000 + sim_rnd(s, 3000)));
		break;
	case LARGE_GANG:
		spec = sim_new_spec(limit > 0 ? (uint32_t)limit / 1000 - 1 : 12,
		    1000, 1000 + sim_rnd(s, 3000));
		spec->steps[0].gang = true;
		submit(s, 'b', account, spec);
		break;
	default:
		if (limit > 4000)
			sim_set_account(s, account,
			    (struct agb_resources){.cpu_milli = limit - 1000});
	}
}

/* Number of tasks of a step that the runners have room for. */
static uint64_t
count_room(const struct sim *s, const struct wf_step *step)
{
	struct agb_resources room;
	uint64_t n = 0;
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		room = s->runners[ri].info.capacity;
		for (i = 0; i < s->runners[ri].runs_len; i++)
			agb_resources_sub(&room, &s->runners[ri].runs[i].need);
		n += wf_step_fit_count(step, room);
	}
	return n;
}

/* Whether a job of one task has room twice over, and its account and all runners
 * together use less than half of what they may. */
static bool
has_room(const struct sim *s, const struct sim_job *j)
{
	const struct wf_step *const step = &j->spec.steps[0];
	int64_t used, limit = 0;
	size_t i;

	for (i = 0; i < ACCOUNTS; i++) {
		if (strcmp(s->accounts[i].set.name, j->spec.account) == 0)
			limit = s->accounts[i].set.limit.cpu_milli;
	}
	used = sim_account_used(s, j->spec.account).cpu_milli;
	if (limit > 0 &&
	    (2 * used >= limit || used + step->need.cpu_milli > limit))
		return false;
	return 2 * sim_running_cpu_milli(s) < s->o.cpu_milli * s->o.runners &&
	    count_room(s, step) >= 2;
}

static void
check_waits(struct sim *s, agb_time calm_since)
{
	struct sim_job *j;
	size_t i;

	for (i = 0; i < s->jobs_len; i++) {
		j = &s->jobs[i];
		if (j->id[0] != 'a' || j->status != 200 || j->starts > 0)
			continue;
		if (j->waits_since == 0 || !has_room(s, j) ||
		    s->now < calm_since + CALM_MS * SIM_MS)
			j->waits_since = s->now;
		if (s->now <= j->waits_since + WAIT_MAX_MS * SIM_MS)
			continue;
		sim_report_violation(s,
		    "waits: %s of %s waits for %d ms though there is room",
		    j->id, j->spec.account, WAIT_MAX_MS);
		j->waits_since = s->now;
	}
}

static void
cancel_odd_jobs(struct sim *s)
{
	size_t i;

	for (i = 0; i < s->jobs_len; i++) {
		if (s->jobs[i].id[0] == 'b')
			sim_cancel(s, 0, s->jobs[i].id);
	}
}

static void
run_accounts(struct sim *s, bool kills_leaders)
{
	agb_time calm_since = 0;
	unsigned t, odd = sim_rnd(s, ODD_KINDS);
	size_t i;

	sim_run(s, 500);
	for (t = 0; t < LOAD_MS; t += STEP_MS) {
		if (sim_chance(s, SMALL_PER_S * STEP_MS / 10))
			submit_small(s);
		if (t % ODD_EVERY_MS == 0)
			submit_odd(s, odd++ % ODD_KINDS, sim_rnd(s, ACCOUNTS));
		if (kills_leaders && t % LEADER_KILLED_EVERY_MS == 0 &&
		    sim_leader(s) >= 0) {
			sim_kill(s, (unsigned)sim_leader(s), 1000);
			calm_since = s->now;
		}
		sim_run(s, STEP_MS);
		check_waits(s, calm_since);
	}
	/* The instance that is called may have been killed last. */
	sim_run(s, SETTLE_MS);
	cancel_odd_jobs(s);
	sim_run(s, END_MS);
	for (i = 0; i < s->jobs_len; i++)
		sim_check_end(s, &s->jobs[i]);
}

struct sim *
sim_run_accounts(unsigned seed)
{
	const struct sim_options o = {
	    .seed = seed,
	    .cores = 3,
	    .runners = 8,
	    .cpu_milli = 8000,
	    .latency_ms = 1 + seed % 6,
	    .advice_required = seed % 4 == 1,
	    .accounts = accounts,
	    .accounts_len = ACCOUNTS,
	};
	struct sim *const s = sim_new(&o);

	run_accounts(s, seed % 2 == 1);
	return s;
}

#include <stdio.h>

#include "sched_fixture.h"

/*
 * Random sequences of events from a seed, checked against a model that knows
 * only what the effects say. A failure prints the seed and the step.
 */

#define SEEDS 80
#define STEPS 1500
#define WORKERS 6
#define JOBS 4000
#define TASKS 5
#define ATTEMPTS 600

struct model_attempt {
	bool live;
	bool quick;
	struct agb_attempt id;
	uint32_t worker;
	uint32_t job;
	uint32_t task;
	struct agb_resources allocated;
};

struct model_job {
	bool added;
	bool reported_done;
	bool cancelled;
	struct agb_job_spec spec;
	bool live[TASKS];
	bool ran[TASKS];
	bool done[TASKS];
};

struct model {
	struct fixture f;
	uint64_t rng;
	uint64_t seed;
	uint32_t step;
	bool varies_usage;
	enum agb_worker_state state[WORKERS];
	struct agb_resources cap[WORKERS];
	uint16_t slots[WORKERS];
	struct agb_resources other_usage[TEAM_MAX];
	struct model_attempt attempts[ATTEMPTS];
	struct model_job jobs[JOBS];
	uint32_t jobs_len;
	uint8_t answered[JOBS];
	uint32_t requests_len;
	uint32_t violations;
};

static uint32_t
random_below(struct model *m, uint32_t n)
{
	m->rng = m->rng * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)(m->rng >> 33) % n;
}

static void
report_violation(struct model *m, const char *what)
{
	if (m->violations++ == 0)
		printf("seed %llu step %u: %s\n", (unsigned long long)m->seed,
		    m->step, what);
}

static struct model_attempt *
find_attempt(struct model *m, struct agb_attempt id)
{
	uint32_t i;

	for (i = 0; i < ATTEMPTS; i++) {
		if (m->attempts[i].live && m->attempts[i].id.seq == id.seq &&
		    m->attempts[i].id.epoch == id.epoch)
			return &m->attempts[i];
	}
	return NULL;
}

static void
add_attempt(struct model *m, const struct agb_sched_effect *ef, bool quick)
{
	uint32_t i;

	for (i = 0; i < ATTEMPTS && m->attempts[i].live; i++)
		;
	if (i == ATTEMPTS || find_attempt(m, ef->attempt) != NULL) {
		report_violation(m, "attempt id used twice");
		return;
	}
	m->attempts[i] = (struct model_attempt){
	    true, quick, ef->attempt, ef->worker, ef->job, ef->task, ef->need};
}

static void
check_capacity(struct model *m, uint32_t worker)
{
	struct agb_resources sum = {0};
	uint32_t i, slots = 0;

	for (i = 0; i < ATTEMPTS; i++) {
		if (!m->attempts[i].live || m->attempts[i].worker != worker)
			continue;
		agb_resources_add(&sum, &m->attempts[i].allocated);
		slots += m->attempts[i].quick;
	}
	if (!m->varies_usage && !agb_resources_fit(&sum, &m->cap[worker]))
		report_violation(m, "worker capacity exceeded");
	if (slots > m->slots[worker])
		report_violation(m, "more grants than slots");
}

static void
check_quota(struct model *m, uint16_t team)
{
	struct agb_resources sum = m->other_usage[team];
	uint32_t i;

	if (m->f.teams[team].may_borrow || m->varies_usage)
		return;
	for (i = 0; i < ATTEMPTS; i++) {
		if (m->attempts[i].live && !m->attempts[i].quick &&
		    m->jobs[m->attempts[i].job].spec.team == team)
			agb_resources_add(&sum, &m->attempts[i].allocated);
	}
	if (!agb_resources_fit(&sum, &m->f.teams[team].quota))
		report_violation(m, "quota exceeded");
}

static void
check_start(struct model *m, const struct agb_sched_effect *ef)
{
	struct model_job *const j = &m->jobs[ef->job];

	if (m->state[ef->worker] != AGB_WORKER_LIVE)
		report_violation(m, "start on a worker that is not live");
	if (!j->added || j->reported_done)
		report_violation(m, "start for an unknown or finished job");
	if (j->live[ef->task])
		report_violation(m, "two live attempts of one task");
	if (j->done[ef->task])
		report_violation(m, "start of a task that is done");
	if (j->ran[ef->task] && !j->spec.idempotent &&
	    j->spec.work != WORK_SERVICE)
		report_violation(m, "non-idempotent task started again");
	if (j->cancelled)
		report_violation(m, "start after a cancellation");
	j->live[ef->task] = true;
	add_attempt(m, ef, false);
	check_capacity(m, ef->worker);
	check_quota(m, j->spec.team);
}

/* All unfinished tasks of a gang must start in the same step. */
static void
check_gangs(struct model *m)
{
	const struct agb_sched_effect *ef;
	uint32_t i, k, n, left;

	for (i = 0; i < m->f.out.len; i++) {
		ef = &m->f.out.items[i];
		if (ef->type != AGB_SCHED_START ||
		    m->jobs[ef->job].spec.work != WORK_GANG)
			continue;
		for (k = 0, n = 0; k < m->f.out.len; k++)
			n += m->f.out.items[k].type == AGB_SCHED_START &&
			    m->f.out.items[k].job == ef->job;
		for (k = 0, left = 0; k < m->jobs[ef->job].spec.tasks; k++)
			left += !m->jobs[ef->job].done[k];
		if (n != left)
			report_violation(m, "gang started in part");
	}
}

static void
record_answer(struct model *m, uint64_t tag)
{
	if (m->answered[tag]++ > 0)
		report_violation(m, "request answered twice");
}

static void
check_effects(struct model *m)
{
	const struct agb_sched_effect *ef;
	struct model_attempt *a;
	uint32_t i, k;

	for (i = 0; i < m->f.out.len; i++) {
		ef = &m->f.out.items[i];
		switch (ef->type) {
		case AGB_SCHED_START:
			check_start(m, ef);
			break;
		case AGB_SCHED_GRANT:
			record_answer(m, ef->tag);
			if (m->state[ef->worker] != AGB_WORKER_LIVE)
				report_violation(
				    m, "grant on a worker that is not live");
			add_attempt(m, ef, true);
			check_capacity(m, ef->worker);
			break;
		case AGB_SCHED_DENY:
			record_answer(m, ef->tag);
			break;
		case AGB_SCHED_THROTTLE:
			a = find_attempt(m, ef->attempt);
			if (a == NULL)
				report_violation(
				    m, "throttle of an unknown attempt");
			else
				a->allocated = ef->need;
			break;
		case AGB_SCHED_STOP:
		case AGB_SCHED_CHECKPOINT:
			a = find_attempt(m, ef->attempt);
			if (a == NULL)
				report_violation(
				    m, "stop of an unknown attempt");
			break;
		case AGB_SCHED_JOB_DONE:
			if (m->jobs[ef->job].reported_done)
				report_violation(m, "job done twice");
			m->jobs[ef->job].reported_done = true;
			for (k = 0; k < TASKS; k++) {
				if (m->jobs[ef->job].live[k])
					report_violation(
					    m, "job done while a task runs");
				if (m->jobs[ef->job].ran[k] &&
				    ef->outcome == AGB_OUTCOME_NOT_RUN)
					report_violation(
					    m, "outcome not-run, but it ran");
			}
			break;
		case AGB_SCHED_DECISION:
			break;
		}
	}
	check_gangs(m);
	clear_effects(&m->f);
}

static void
send_event(struct model *m, const struct agb_sched_event *ev)
{
	step(&m->f, ev);
	check_effects(m);
	m->step++;
}

static void
add_model_worker(struct model *m, uint32_t w)
{
	m->cap[w] = resources((4 + 4 * (int64_t)(w % 3)) * 1000, 16000, w % 2);
	m->slots[w] = w < 3 ? 3 : 0;
	m->state[w] = AGB_WORKER_LIVE;
	add_worker_full(&m->f, w, w % 2 ? "r1" : "r0", m->cap[w], m->slots[w],
	    AGB_WORKER_LIVE);
	check_effects(m);
}

static void
add_random_job(struct model *m)
{
	static const uint16_t works[] = {WORK_BATCH, WORK_BATCH,
	    WORK_CHECKPOINT, WORK_GANG, WORK_SERVICE, WORK_URGENT,
	    WORK_NOT_PREEMPTIBLE};
	struct agb_sched_event ev = event(AGB_SCHED_JOB_ADD);
	struct model_job *j;

	if (m->jobs_len == JOBS)
		return;
	j = &m->jobs[m->jobs_len];
	j->spec = job_spec(&m->f, works[random_below(m, LEN(works))],
	    (uint16_t)random_below(m, TEAM_MAX), 1 + random_below(m, TASKS), 1);
	j->spec.need = resources(500 + random_below(m, 3500),
	    random_below(m, 9000), random_below(m, 9) == 0);
	j->spec.idempotent = random_below(m, 3) > 0;
	j->spec.run_ms = random_below(m, 2) * random_below(m, 60000);
	if (random_below(m, 4) == 0)
		j->spec.deadline = m->f.now + random_below(m, 100) * AGB_SEC;
	j->added = true;
	ev.job = m->jobs_len++;
	ev.spec = &j->spec;
	send_event(m, &ev);
}

static void
end_attempt(struct model *m, struct model_attempt *a, enum agb_result result)
{
	struct agb_sched_event ev =
	    event(a->quick ? AGB_SCHED_QUICK_DONE : AGB_SCHED_TASK_ENDED);
	struct model_job *const j = a->quick ? NULL : &m->jobs[a->job];

	ev.attempt = a->id;
	ev.result = result;
	if (a->quick && result == AGB_RESULT_LOST) {
		send_event(m, &ev);
		return;
	}
	a->live = false;
	if (j != NULL) {
		j->live[a->task] = false;
		if (result != AGB_RESULT_NOT_STARTED)
			j->ran[a->task] = true;
		if (result == AGB_RESULT_OK && j->spec.work != WORK_SERVICE)
			j->done[a->task] = true;
	}
	send_event(m, &ev);
	/* A repeated report must change nothing. */
	if (random_below(m, 10) == 0)
		send_event(m, &ev);
}

static void
end_random_attempt(struct model *m)
{
	static const enum agb_result results[] = {AGB_RESULT_OK, AGB_RESULT_OK,
	    AGB_RESULT_OK, AGB_RESULT_FAILED, AGB_RESULT_NOT_STARTED,
	    AGB_RESULT_LOST, AGB_RESULT_STOPPED, AGB_RESULT_CHECKPOINTED};
	const uint32_t from = random_below(m, ATTEMPTS);
	uint32_t i;

	for (i = 0; i < ATTEMPTS; i++) {
		struct model_attempt *const a =
		    &m->attempts[(from + i) % ATTEMPTS];

		if (a->live) {
			end_attempt(
			    m, a, results[random_below(m, LEN(results))]);
			return;
		}
	}
}

static void
change_worker(struct model *m)
{
	const uint32_t w = random_below(m, WORKERS);
	struct agb_sched_event ev = event(AGB_SCHED_WORKER_STATE);
	uint32_t i;

	if (m->state[w] == AGB_WORKER_GONE) {
		add_model_worker(m, w);
		return;
	}
	ev.worker = w;
	ev.state = (enum agb_worker_state)random_below(m, AGB_WORKER_GONE + 1);
	m->state[w] = ev.state;
	for (i = 0; ev.state == AGB_WORKER_GONE && i < ATTEMPTS; i++) {
		struct model_attempt *const a = &m->attempts[i];

		if (!a->live || a->worker != w)
			continue;
		a->live = false;
		if (!a->quick) {
			m->jobs[a->job].live[a->task] = false;
			m->jobs[a->job].ran[a->task] = true;
		}
	}
	send_event(m, &ev);
}

static void
report_random_usage(struct model *m)
{
	struct agb_sched_event ev = event(AGB_SCHED_USAGE);
	const struct model_attempt *const a =
	    &m->attempts[random_below(m, ATTEMPTS)];

	if (!m->varies_usage || !a->live || a->quick)
		return;
	ev.attempt = a->id;
	ev.used = resources(random_below(m, 5000), random_below(m, 9000), 0);
	send_event(m, &ev);
}

static void
request_quick(struct model *m)
{
	struct agb_sched_event ev = event(AGB_SCHED_QUICK_REQUEST);

	if (m->requests_len == JOBS)
		return;
	ev.tag = m->requests_len++;
	ev.work = WORK_QUICK;
	ev.team = (uint16_t)random_below(m, TEAM_MAX);
	if (random_below(m, 3) == 0)
		ev.deadline = m->f.now + random_below(m, 2000) * AGB_MS;
	send_event(m, &ev);
}

static void
random_event(struct model *m)
{
	struct agb_sched_event ev = event(AGB_SCHED_TICK);

	switch (random_below(m, 16)) {
	case 0:
	case 1:
	case 2:
		add_random_job(m);
		return;
	case 3:
	case 4:
		request_quick(m);
		return;
	case 5:
	case 6:
	case 7:
	case 8:
		end_random_attempt(m);
		return;
	case 9:
		change_worker(m);
		return;
	case 10:
		ev.type = AGB_SCHED_JOB_CANCEL;
		ev.job = random_below(m, m->jobs_len + 1);
		if (ev.job < m->jobs_len)
			m->jobs[ev.job].cancelled = true;
		break;
	case 11:
		ev.type = AGB_SCHED_TASK_STARTED;
		ev.attempt = m->attempts[random_below(m, 40)].id;
		break;
	case 12:
		ev.type = AGB_SCHED_TEAM_USAGE;
		ev.team = (uint16_t)random_below(m, TEAM_MAX);
		ev.used =
		    resources(random_below(m, 1500), random_below(m, 1500), 0);
		m->other_usage[ev.team] = ev.used;
		break;
	case 13:
		report_random_usage(m);
		return;
	case 14:
		if (random_below(m, 20) == 0) {
			ev.type = AGB_SCHED_ENV;
			ev.env = &m->f.env;
		}
		break;
	default:
		m->f.now += random_below(m, 3000) * AGB_MS;
		break;
	}
	send_event(m, &ev);
}

/* Brings all workers back and lets all work succeed: every job must end and
 * every request must be answered. */
static void
run_to_completion(struct model *m)
{
	struct agb_sched_event ev = event(AGB_SCHED_TICK);
	uint32_t i, n;

	for (i = 0; i < TEAM_MAX; i++)
		m->other_usage[i] = resources(0, 0, 0);
	for (i = 0; i < TEAM_MAX; i++) {
		ev = event(AGB_SCHED_TEAM_USAGE);
		ev.team = (uint16_t)i;
		send_event(m, &ev);
	}
	for (i = 0; i < WORKERS; i++)
		add_model_worker(m, i);
	for (i = 0; i < m->jobs_len; i++) {
		if (m->jobs[i].spec.work != WORK_SERVICE)
			continue;
		ev = event(AGB_SCHED_JOB_CANCEL);
		ev.job = i;
		m->jobs[i].cancelled = true;
		send_event(m, &ev);
	}
	ev = event(AGB_SCHED_TICK);
	for (n = 0; n < 3000; n++) {
		for (i = 0; i < ATTEMPTS; i++) {
			if (m->attempts[i].live)
				end_attempt(m, &m->attempts[i], AGB_RESULT_OK);
		}
		m->f.now += AGB_SEC;
		send_event(m, &ev);
	}
	for (i = 0; i < m->jobs_len; i++) {
		if (!m->jobs[i].reported_done)
			report_violation(m, "job never ended");
	}
	for (i = 0; i < m->requests_len; i++) {
		if (m->answered[i] == 0)
			report_violation(m, "request never answered");
	}
}

static uint32_t
run_with_seed(uint64_t seed)
{
	struct model *const m = agb_xcalloc(1, sizeof(*m));
	uint32_t i, violations;

	fixture_init(&m->f);
	m->seed = m->rng = seed;
	m->varies_usage = seed % 4 == 0;
	if (seed % 3 == 0)
		m->f.env.headroom_percent = 10;
	for (i = 0; i < WORKERS; i++)
		add_model_worker(m, i);
	for (i = 0; i < STEPS; i++)
		random_event(m);
	run_to_completion(m);
	violations = m->violations;
	fixture_free(&m->f);
	free(m);
	return violations;
}

/* Guards against sequences of events that violate an invariant: capacity,
 * quotas, all-or-nothing gangs, one live attempt for each task, at most one run
 * of work that is not idempotent, no starts on workers that accept none,
 * nothing lost. */
static void
test_random_orders(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		CU_ASSERT_EQUAL(run_with_seed(seed), 0);
}

static const struct suite_test tests[] = {
    {"random_orders", test_random_orders},
};

int
main(void)
{
	return suite_run("sched_property", tests, LEN(tests));
}

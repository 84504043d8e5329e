#include <stdio.h>

#include "sched_fixture.h"

/*
 * Random orders of events from a seed, with a model that knows only what
 * the effects say. A failure prints the seed and the step.
 */

#define SEEDS 80
#define STEPS 1500
#define WORKERS 6
#define JOBS 4000
#define TASKS 5
#define ATTEMPTS 600

struct att {
	bool live;
	bool quick;
	struct agb_attempt id;
	uint32_t worker;
	uint32_t job;
	uint32_t task;
	struct agb_resources held;
};

struct mjob {
	bool added;
	bool over;
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
	bool usage;
	enum agb_worker_state state[WORKERS];
	struct agb_resources cap[WORKERS];
	uint16_t slots[WORKERS];
	struct agb_resources other[T_MAX];
	struct att atts[ATTEMPTS];
	struct mjob jobs[JOBS];
	uint32_t jobs_len;
	uint8_t answered[JOBS];
	uint32_t tags;
	uint32_t violations;
};

static uint32_t
roll(struct model *m, uint32_t n)
{
	m->rng = m->rng * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)(m->rng >> 33) % n;
}

static void
violation(struct model *m, const char *what)
{
	if (m->violations++ == 0)
		printf("seed %llu step %u: %s\n", (unsigned long long)m->seed,
		    m->step, what);
}

static struct att *
att_find(struct model *m, struct agb_attempt id)
{
	uint32_t i;

	for (i = 0; i < ATTEMPTS; i++) {
		if (m->atts[i].live && m->atts[i].id.seq == id.seq &&
		    m->atts[i].id.epoch == id.epoch)
			return &m->atts[i];
	}
	return NULL;
}

static void
att_put(struct model *m, const struct agb_sched_effect *ef, bool quick)
{
	uint32_t i;

	for (i = 0; i < ATTEMPTS && m->atts[i].live; i++)
		;
	if (i == ATTEMPTS || att_find(m, ef->attempt) != NULL) {
		violation(m, "attempt id used twice");
		return;
	}
	m->atts[i] = (struct att){
	    true, quick, ef->attempt, ef->worker, ef->job, ef->task, ef->need};
}

static void
check_capacity(struct model *m, uint32_t worker)
{
	struct agb_resources sum = {0};
	uint32_t i, slots = 0;

	for (i = 0; i < ATTEMPTS; i++) {
		if (!m->atts[i].live || m->atts[i].worker != worker)
			continue;
		agb_resources_add(&sum, &m->atts[i].held);
		slots += m->atts[i].quick;
	}
	if (!m->usage && !agb_resources_fit(&sum, &m->cap[worker]))
		violation(m, "more placed than the worker holds");
	if (slots > m->slots[worker])
		violation(m, "more grants than slots");
}

static void
check_quota(struct model *m, uint16_t team)
{
	struct agb_resources sum = m->other[team];
	uint32_t i;

	if (m->f.teams[team].borrow || m->usage)
		return;
	for (i = 0; i < ATTEMPTS; i++) {
		if (m->atts[i].live && !m->atts[i].quick &&
		    m->jobs[m->atts[i].job].spec.team == team)
			agb_resources_add(&sum, &m->atts[i].held);
	}
	if (!agb_resources_fit(&sum, &m->f.teams[team].quota))
		violation(m, "quota passed");
}

static void
on_start(struct model *m, const struct agb_sched_effect *ef)
{
	struct mjob *const j = &m->jobs[ef->job];

	if (m->state[ef->worker] != AGB_WORKER_LIVE)
		violation(m, "start on a worker that is not live");
	if (!j->added || j->over)
		violation(m, "start for a job that is not there");
	if (j->live[ef->task])
		violation(m, "two live attempts of one task");
	if (j->done[ef->task])
		violation(m, "start of a task that is done");
	if (j->ran[ef->task] && !j->spec.idempotent &&
	    j->spec.work != W_SERVICE)
		violation(m, "non-idempotent task started again");
	if (j->cancelled)
		violation(m, "start after a cancellation");
	j->live[ef->task] = true;
	att_put(m, ef, false);
	check_capacity(m, ef->worker);
	check_quota(m, j->spec.team);
}

/* All tasks of a gang that are not done start in the same step. */
static void
check_gangs(struct model *m)
{
	const struct agb_sched_effect *ef;
	uint32_t i, k, n, left;

	for (i = 0; i < m->f.out.len; i++) {
		ef = &m->f.out.items[i];
		if (ef->type != AGB_SCHED_START ||
		    m->jobs[ef->job].spec.work != W_GANG)
			continue;
		for (k = 0, n = 0; k < m->f.out.len; k++)
			n += m->f.out.items[k].type == AGB_SCHED_START &&
			    m->f.out.items[k].job == ef->job;
		for (k = 0, left = 0; k < m->jobs[ef->job].spec.tasks; k++)
			left += !m->jobs[ef->job].done[k];
		if (n != left)
			violation(m, "gang started in part");
	}
}

static void
answered(struct model *m, uint64_t tag)
{
	if (m->answered[tag]++ > 0)
		violation(m, "request answered twice");
}

static void
take_effects(struct model *m)
{
	const struct agb_sched_effect *ef;
	struct att *a;
	uint32_t i, k;

	for (i = 0; i < m->f.out.len; i++) {
		ef = &m->f.out.items[i];
		switch (ef->type) {
		case AGB_SCHED_START:
			on_start(m, ef);
			break;
		case AGB_SCHED_GRANT:
			answered(m, ef->tag);
			if (m->state[ef->worker] != AGB_WORKER_LIVE)
				violation(m, "grant on a worker not live");
			att_put(m, ef, true);
			check_capacity(m, ef->worker);
			break;
		case AGB_SCHED_DENY:
			answered(m, ef->tag);
			break;
		case AGB_SCHED_THROTTLE:
			a = att_find(m, ef->attempt);
			if (a == NULL)
				violation(m, "throttle of nothing");
			else
				a->held = ef->need;
			break;
		case AGB_SCHED_STOP:
		case AGB_SCHED_CHECKPOINT:
			a = att_find(m, ef->attempt);
			if (a == NULL)
				violation(m, "stop of nothing");
			break;
		case AGB_SCHED_JOB_DONE:
			if (m->jobs[ef->job].over)
				violation(m, "job done twice");
			m->jobs[ef->job].over = true;
			for (k = 0; k < TASKS; k++) {
				if (m->jobs[ef->job].live[k])
					violation(m, "job done while it runs");
				if (m->jobs[ef->job].ran[k] &&
				    ef->outcome == AGB_NOT_RUN)
					violation(m, "not-run, but it ran");
			}
			break;
		case AGB_SCHED_DECISION:
			break;
		}
	}
	check_gangs(m);
	clear(&m->f);
}

static void
send(struct model *m, const struct agb_sched_event *ev)
{
	step(&m->f, ev);
	take_effects(m);
	m->step++;
}

static void
put_worker(struct model *m, uint32_t w)
{
	m->cap[w] = res((4 + 4 * (int64_t)(w % 3)) * 1000, 16000, w % 2);
	m->slots[w] = w < 3 ? 3 : 0;
	m->state[w] = AGB_WORKER_LIVE;
	worker_full(&m->f, w, w % 2 ? "r1" : "r0", m->cap[w], m->slots[w],
	    AGB_WORKER_LIVE);
	take_effects(m);
}

static void
add_job(struct model *m)
{
	static const uint16_t works[] = {
	    W_BATCH, W_BATCH, W_BATCH2, W_GANG, W_SERVICE, W_URGENT, W_FIRM};
	struct agb_sched_event ev = event(AGB_SCHED_JOB_ADD);
	struct mjob *j;

	if (m->jobs_len == JOBS)
		return;
	j = &m->jobs[m->jobs_len];
	j->spec = spec(&m->f, works[roll(m, LEN(works))],
	    (uint16_t)roll(m, T_MAX), 1 + roll(m, TASKS), 1);
	j->spec.need = res(500 + roll(m, 3500), roll(m, 9000), roll(m, 9) == 0);
	j->spec.idempotent = roll(m, 3) > 0;
	j->spec.run_ms = roll(m, 2) * roll(m, 60000);
	if (roll(m, 4) == 0)
		j->spec.deadline = m->f.now + roll(m, 100) * AGB_SEC;
	j->added = true;
	ev.job = m->jobs_len++;
	ev.spec = &j->spec;
	send(m, &ev);
}

static void
end_attempt(struct model *m, struct att *a, enum agb_result result)
{
	struct agb_sched_event ev =
	    event(a->quick ? AGB_SCHED_QUICK_DONE : AGB_SCHED_TASK_ENDED);
	struct mjob *const j = a->quick ? NULL : &m->jobs[a->job];

	ev.attempt = a->id;
	ev.result = result;
	if (a->quick && result == AGB_RESULT_LOST) {
		send(m, &ev);
		return;
	}
	a->live = false;
	if (j != NULL) {
		j->live[a->task] = false;
		if (result != AGB_RESULT_NOT_STARTED)
			j->ran[a->task] = true;
		if (result == AGB_RESULT_OK && j->spec.work != W_SERVICE)
			j->done[a->task] = true;
	}
	send(m, &ev);
	/* Told twice: it must change nothing. */
	if (roll(m, 10) == 0)
		send(m, &ev);
}

static void
end_some(struct model *m)
{
	static const enum agb_result results[] = {AGB_RESULT_OK, AGB_RESULT_OK,
	    AGB_RESULT_OK, AGB_RESULT_FAILED, AGB_RESULT_NOT_STARTED,
	    AGB_RESULT_LOST, AGB_RESULT_STOPPED, AGB_RESULT_CHECKPOINTED};
	const uint32_t from = roll(m, ATTEMPTS);
	uint32_t i;

	for (i = 0; i < ATTEMPTS; i++) {
		struct att *const a = &m->atts[(from + i) % ATTEMPTS];

		if (a->live) {
			end_attempt(m, a, results[roll(m, LEN(results))]);
			return;
		}
	}
}

static void
change_worker(struct model *m)
{
	const uint32_t w = roll(m, WORKERS);
	struct agb_sched_event ev = event(AGB_SCHED_WORKER_STATE);
	uint32_t i;

	if (m->state[w] == AGB_WORKER_GONE) {
		put_worker(m, w);
		return;
	}
	ev.worker = w;
	ev.state = (enum agb_worker_state)roll(m, AGB_WORKER_GONE + 1);
	m->state[w] = ev.state;
	for (i = 0; ev.state == AGB_WORKER_GONE && i < ATTEMPTS; i++) {
		struct att *const a = &m->atts[i];

		if (!a->live || a->worker != w)
			continue;
		a->live = false;
		if (!a->quick) {
			m->jobs[a->job].live[a->task] = false;
			m->jobs[a->job].ran[a->task] = true;
		}
	}
	send(m, &ev);
}

static void
report_usage(struct model *m)
{
	struct agb_sched_event ev = event(AGB_SCHED_USAGE);
	const struct att *const a = &m->atts[roll(m, ATTEMPTS)];

	if (!m->usage || !a->live || a->quick)
		return;
	ev.attempt = a->id;
	ev.used = res(roll(m, 5000), roll(m, 9000), 0);
	send(m, &ev);
}

static void
ask_some(struct model *m)
{
	struct agb_sched_event ev = event(AGB_SCHED_QUICK_ASK);

	if (m->tags == JOBS)
		return;
	ev.tag = m->tags++;
	ev.work = W_QUICK;
	ev.team = (uint16_t)roll(m, T_MAX);
	if (roll(m, 3) == 0)
		ev.deadline = m->f.now + roll(m, 2000) * AGB_MS;
	send(m, &ev);
}

static void
random_event(struct model *m)
{
	struct agb_sched_event ev = event(AGB_SCHED_TICK);

	switch (roll(m, 16)) {
	case 0:
	case 1:
	case 2:
		add_job(m);
		return;
	case 3:
	case 4:
		ask_some(m);
		return;
	case 5:
	case 6:
	case 7:
	case 8:
		end_some(m);
		return;
	case 9:
		change_worker(m);
		return;
	case 10:
		ev.type = AGB_SCHED_JOB_CANCEL;
		ev.job = roll(m, m->jobs_len + 1);
		if (ev.job < m->jobs_len)
			m->jobs[ev.job].cancelled = true;
		break;
	case 11:
		ev.type = AGB_SCHED_TASK_STARTED;
		ev.attempt = m->atts[roll(m, 40)].id;
		break;
	case 12:
		ev.type = AGB_SCHED_TEAM_USAGE;
		ev.team = (uint16_t)roll(m, T_MAX);
		ev.used = res(roll(m, 1500), roll(m, 1500), 0);
		m->other[ev.team] = ev.used;
		break;
	case 13:
		report_usage(m);
		return;
	case 14:
		if (roll(m, 20) == 0) {
			ev.type = AGB_SCHED_ENV;
			ev.env = &m->f.env;
		}
		break;
	default:
		m->f.now += roll(m, 3000) * AGB_MS;
		break;
	}
	send(m, &ev);
}

/* With all workers back and all work ending well, nothing may be left. */
static void
drain(struct model *m)
{
	struct agb_sched_event ev = event(AGB_SCHED_TICK);
	uint32_t i, n;

	for (i = 0; i < T_MAX; i++)
		m->other[i] = res(0, 0, 0);
	for (i = 0; i < T_MAX; i++) {
		ev = event(AGB_SCHED_TEAM_USAGE);
		ev.team = (uint16_t)i;
		send(m, &ev);
	}
	for (i = 0; i < WORKERS; i++)
		put_worker(m, i);
	for (i = 0; i < m->jobs_len; i++) {
		if (m->jobs[i].spec.work != W_SERVICE)
			continue;
		ev = event(AGB_SCHED_JOB_CANCEL);
		ev.job = i;
		m->jobs[i].cancelled = true;
		send(m, &ev);
	}
	ev = event(AGB_SCHED_TICK);
	for (n = 0; n < 3000; n++) {
		for (i = 0; i < ATTEMPTS; i++) {
			if (m->atts[i].live)
				end_attempt(m, &m->atts[i], AGB_RESULT_OK);
		}
		m->f.now += AGB_SEC;
		send(m, &ev);
	}
	for (i = 0; i < m->jobs_len; i++) {
		if (!m->jobs[i].over)
			violation(m, "job lost");
	}
	for (i = 0; i < m->tags; i++) {
		if (m->answered[i] == 0)
			violation(m, "request lost");
	}
}

static uint32_t
run_seed(uint64_t seed)
{
	struct model *const m = agb_xcalloc(1, sizeof(*m));
	uint32_t i, violations;

	fixture_init(&m->f);
	m->seed = m->rng = seed;
	m->usage = seed % 4 == 0;
	if (seed % 3 == 0)
		m->f.env.headroom_percent = 10;
	for (i = 0; i < WORKERS; i++)
		put_worker(m, i);
	for (i = 0; i < STEPS; i++)
		random_event(m);
	drain(m);
	violations = m->violations;
	fixture_free(&m->f);
	free(m);
	return violations;
}

/* Guards against an order of events that breaks what must always hold:
 * capacity, quotas, whole gangs, one live attempt a task, at most one run of
 * non-idempotent work, no work on workers that take none, nothing lost. */
static void
test_random_orders(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		CU_ASSERT_EQUAL(run_seed(seed), 0);
}

static const struct suite_test tests[] = {
    {"random_orders", test_random_orders},
};

int
main(void)
{
	return suite_run("sched_property", tests, LEN(tests));
}

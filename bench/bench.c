#include "bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

void
bench_print(const char *name, double value, const char *unit)
{
	printf("%s %.4g %s\n", name, value, unit);
	fflush(stdout);
}

double
bench_wall_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

int
bench_by_double(const void *a, const void *b)
{
	const double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

double
bench_quantile(double *v, size_t n, double q)
{
	if (n == 0)
		return 0;
	qsort(v, n, sizeof(*v), bench_by_double);
	return v[(size_t)((double)(n - 1) * q)];
}

struct agb_sched_event
bench_event(enum agb_sched_event_type type)
{
	return (struct agb_sched_event){.type = type,
	    .worker = AGB_SCHED_NONE,
	    .job = AGB_SCHED_NONE,
	    .deadline = AGB_TIME_MAX};
}

void
bench_step(struct bench *b, const struct agb_sched_event *ev)
{
	agb_sched_step(b->s, b->now, ev, &b->out);
}

void
bench_open(
    struct bench *b, unsigned long seed, bool quick, uint16_t headroom_percent)
{
	static const enum agb_policy policies[B_WORKS] = {AGB_POLICY_QUICK,
	    AGB_POLICY_BATCH, AGB_POLICY_BATCH, AGB_POLICY_GANG,
	    AGB_POLICY_SERVICE, AGB_POLICY_BATCH};
	static const uint8_t urgency[B_WORKS] = {6, 3, 2, 4, 5, 9};
	struct agb_sched_event ev = bench_event(AGB_SCHED_ENV);
	int i;

	memset(b, 0, sizeof(*b));
	b->seed = seed;
	b->quick = quick;
	b->now = 1000 * AGB_SEC;
	b->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(b->rng, seed);
	b->s = agb_sched_new(1, "bench", seed);
	agb_str_copy(b->domain.name, sizeof(agb_name), "bench");
	for (i = 0; i < B_WORKS; i++) {
		snprintf(b->works[i].name, sizeof(agb_name), "work%d", i);
		b->works[i].class_index = (uint16_t)i;
		b->works[i].need = (struct agb_resources){500, 500, 0};
		b->works[i].domains = 1;
		b->works[i].teams = ~0ull;
		b->classes[i].policy = policies[i];
		b->classes[i].urgency = urgency[i];
		b->classes[i].preemptible = urgency[i] < 4;
		b->classes[i].checkpoint = i == B_PROFILE;
		b->classes[i].retries = 5;
		b->classes[i].retry_budget_percent = 20;
	}
	for (i = 0; i < BENCH_TEAMS; i++) {
		snprintf(b->teams[i].name, sizeof(agb_name), "team%d", i);
		b->teams[i].weight = 1 + (uint32_t)i % 3;
		b->teams[i].may_borrow = true;
		b->teams[i].quota =
		    (struct agb_resources){1000000, 4000000, 100};
	}
	b->env = (struct agb_env){.headroom_percent = headroom_percent,
	    .eject_max_percent = 10,
	    .domains_len = 1,
	    .teams_len = BENCH_TEAMS,
	    .classes_len = B_WORKS,
	    .works_len = B_WORKS,
	    .domains = &b->domain,
	    .teams = b->teams,
	    .classes = b->classes,
	    .works = b->works};
	ev.env = &b->env;
	bench_step(b, &ev);
}

void
bench_close(struct bench *b)
{
	agb_sched_free(b->s);
	agb_sched_effects_free(&b->out);
	gsl_rng_free(b->rng);
}

void
bench_worker(struct bench *b, uint32_t worker, int64_t cores, int64_t mem_mb,
    uint16_t slots)
{
	struct agb_sched_event ev = bench_event(AGB_SCHED_WORKER);
	struct agb_worker_info info = {
	    .capacity = {cores * 1000, mem_mb, 0},
	    .service = slots > 0 ? B_QUICK : AGB_ENV_NONE,
	    .slots = slots,
	    .connections = 64,
	};

	snprintf(info.name, sizeof(info.name), "w%u", worker);
	snprintf(info.rack, sizeof(info.rack), "r%u", worker / 8);
	ev.worker = worker;
	ev.info = &info;
	ev.state = AGB_WORKER_LIVE;
	bench_step(b, &ev);
}

void
bench_job(struct bench *b, uint32_t job, uint16_t work, uint16_t team,
    uint32_t tasks, struct agb_resources need, uint32_t run_ms)
{
	struct agb_sched_event ev = bench_event(AGB_SCHED_JOB_ADD);
	const struct agb_job_spec spec = {.work = work,
	    .team = team,
	    .tasks = tasks,
	    .need = need,
	    .run_ms = run_ms,
	    .deadline = AGB_TIME_MAX,
	    .accepted_at = b->now,
	    .idempotent = true};

	ev.job = job;
	ev.spec = &spec;
	bench_step(b, &ev);
}

void
bench_ended(struct bench *b, struct agb_attempt a, enum agb_result result)
{
	struct agb_sched_event ev = bench_event(AGB_SCHED_TASK_ENDED);

	ev.attempt = a;
	ev.result = result;
	bench_step(b, &ev);
}

static const struct {
	const char *name;
	void (*run)(unsigned long seed, bool quick);
} benchmarks[] = {
    {"decide", bench_decide},
    {"wait", bench_wait},
    {"urgent", bench_urgent},
    {"packing", bench_packing},
    {"cancel", bench_cancel},
    {"bad_worker", bench_bad_worker},
};

int
main(int argc, char **argv)
{
	const char *only = NULL;
	unsigned long seed = 1;
	bool quick = false;
	size_t k;
	int i;

	for (i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--seed") == 0 && i + 1 < argc) {
			seed = strtoul(argv[++i], NULL, 10);
		} else if (strcmp(argv[i], "--only") == 0 && i + 1 < argc) {
			only = argv[++i];
		} else if (strcmp(argv[i], "--quick") == 0) {
			quick = true;
		} else {
			fputs("usage: agb-bench [--seed N] [--quick] "
			      "[--only PART]\n",
			    stderr);
			return 2;
		}
	}
	for (k = 0; k < sizeof(benchmarks) / sizeof(benchmarks[0]); k++) {
		if (only == NULL || strcmp(only, benchmarks[k].name) == 0)
			benchmarks[k].run(seed, quick);
	}
	return 0;
}

#include <stdio.h>
#include <stdlib.h>

#include "bench.h"

/* Decision times on a full shard in steady state: for each task that ends a job
 * arrives, so the queue keeps its length. */

/* Attempts that are running; @next_job is the handle of the next job. */
struct running_tasks {
	struct agb_attempt *ids;
	uint32_t len;
	uint32_t next_job;
};

static void
collect_starts(struct bench *b, struct running_tasks *r)
{
	size_t i;

	for (i = 0; i < b->out.len; i++) {
		if (b->out.items[i].type == AGB_SCHED_START)
			r->ids[r->len++] = b->out.items[i].attempt;
	}
	b->out.len = 0;
}

static void
add_random_job(struct bench *b, struct running_tasks *r)
{
	static const int64_t cores[] = {500, 1000, 1500, 2000, 3000};
	const unsigned long i = gsl_rng_uniform_int(b->rng, 5);
	const unsigned long kind = gsl_rng_uniform_int(b->rng, 10);

	bench_job(b, r->next_job++,
	    kind < 2	   ? B_SERVICE
		: kind < 6 ? B_SORT
			   : B_PROFILE,
	    (uint16_t)gsl_rng_uniform_int(b->rng, BENCH_TEAMS), 1,
	    (struct agb_resources){cores[i], cores[i] * 2, 0}, 60000);
}

static void
fill_shard(
    struct bench *b, struct running_tasks *r, uint32_t workers, uint32_t queued)
{
	struct agb_sched_load load;
	uint32_t i;

	for (i = 0; i < workers; i++)
		bench_worker(b, i, 32, 65536, 8);
	do {
		add_random_job(b, r);
		collect_starts(b, r);
		agb_sched_load_get(b->s, b->now, AGB_ENV_NONE, &load);
	} while (load.tasks_queued < queued);
}

static double
measure_decisions(
    unsigned long seed, bool quick, uint32_t workers, const char *suffix)
{
	const uint32_t queued = 10000 * workers / 960;
	const uint32_t rounds = quick ? 2000 : 100000;
	struct running_tasks r = {0};
	struct bench b;
	double *us, t0, total = 0, p50;
	uint32_t i, n = 0, starts = 0, k;
	char name[64];

	bench_open(&b, seed, quick, 5);
	r.ids = calloc(64 * workers + 65536, sizeof(*r.ids));
	us = calloc((size_t)rounds * 2, sizeof(*us));
	fill_shard(&b, &r, workers, queued);
	snprintf(name, sizeof(name), "running_%s", suffix);
	bench_print(name, r.len, "tasks");
	for (i = 0; i < rounds; i++) {
		b.now += 200;
		k = (uint32_t)gsl_rng_uniform_int(b.rng, r.len);
		const struct agb_attempt id = r.ids[k];
		r.ids[k] = r.ids[--r.len];
		t0 = bench_wall_us();
		bench_ended(&b, id, AGB_RESULT_OK);
		us[n] = bench_wall_us() - t0;
		total += us[n++];
		k = r.len;
		collect_starts(&b, &r);
		starts += r.len - k;
		t0 = bench_wall_us();
		add_random_job(&b, &r);
		us[n] = bench_wall_us() - t0;
		total += us[n++];
		k = r.len;
		collect_starts(&b, &r);
		starts += r.len - k;
	}
	p50 = bench_quantile(us, n, 0.5);
	snprintf(name, sizeof(name), "decide_p50_us_%s", suffix);
	bench_print(name, p50, "us");
	snprintf(name, sizeof(name), "decide_p99_us_%s", suffix);
	bench_print(name, bench_quantile(us, n, 0.99), "us");
	snprintf(name, sizeof(name), "decisions_per_s_%s", suffix);
	bench_print(name, starts / (total / 1e6), "1/s");
	free(us);
	free(r.ids);
	bench_close(&b);
	return total / n;
}

void
bench_decide(unsigned long seed, bool quick)
{
	const double small = measure_decisions(seed, quick, 50, "50");
	const double large = measure_decisions(seed, quick, 960, "960");

	bench_print("decide_growth", large / small, "ratio");
}

/* A burst of 10,000 cancellations, followed by one urgent job that must not
 * wait for all of them to be processed. */
void
bench_cancel(unsigned long seed, bool quick)
{
	struct agb_sched_event ev = bench_event(AGB_SCHED_JOB_CANCEL);
	const uint32_t workers = quick ? 100 : 960;
	const uint32_t burst = quick ? 1000 : 10000;
	struct running_tasks r = {0};
	struct bench b;
	double t0, before, worst = 0;
	uint32_t i, last;

	bench_open(&b, seed, quick, 5);
	r.ids = calloc(64 * workers + 65536, sizeof(*r.ids));
	fill_shard(&b, &r, workers, burst);
	last = r.next_job;
	before = bench_wall_us();
	for (i = 0; i < burst; i++) {
		ev.job = last - 1 - i;
		bench_step(&b, &ev);
	}
	bench_job(&b, r.next_job++, B_URGENT, 0, 1,
	    (struct agb_resources){1000, 1000, 0}, 1000);
	bench_print("cancel_wave_ms", (bench_wall_us() - before) / 1000, "ms");
	ev = bench_event(AGB_SCHED_TICK);
	for (i = 0; i < 100000 && agb_sched_next_tick(b.s, b.now) <= b.now;
	     i++) {
		t0 = bench_wall_us();
		bench_step(&b, &ev);
		if (bench_wall_us() - t0 > worst)
			worst = bench_wall_us() - t0;
		b.out.len = 0;
	}
	bench_print("cancel_slice_max_ms", worst / 1000, "ms");
	free(r.ids);
	bench_close(&b);
}

#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* Queueing time of quick requests to one service with 50 runners of 8 slots. */

#define RUNNERS 50
#define SLOTS 8
#define RUN_MEAN_MS 20.0

/* Arrival and run time of each request in us, and its wait in ms. */
struct arrivals {
	agb_time *at;
	agb_time *run;
	uint32_t len;
	double *wait;
};

static void
make_arrivals(
    struct arrivals *l, unsigned long seed, uint32_t len, double utilization)
{
	const double gap = RUN_MEAN_MS / (RUNNERS * SLOTS) / utilization;
	gsl_rng *const rng = gsl_rng_alloc(gsl_rng_mt19937);
	double t = 1000e3;
	uint32_t i;

	gsl_rng_set(rng, seed);
	l->len = len;
	l->at = calloc(len, sizeof(*l->at));
	l->run = calloc(len, sizeof(*l->run));
	l->wait = calloc(len, sizeof(*l->wait));
	for (i = 0; i < len; i++) {
		t += gsl_ran_exponential(rng, gap);
		l->at[i] = (agb_time)(t * 1000);
		/* Log-normal with a mean of 20 ms and a long tail. */
		l->run[i] = (agb_time)(1000 * RUN_MEAN_MS *
		    gsl_ran_lognormal(rng, -0.32, 0.8));
	}
	gsl_rng_free(rng);
}

/* Lower bound: a single queue that knows the state of every slot. */
static void
simulate_single_queue(struct arrivals *l)
{
	struct sim free_at = {0};
	struct sim_event e = {0};
	uint32_t i;

	for (i = 0; i < RUNNERS * SLOTS; i++)
		sim_add(&free_at, e);
	for (i = 0; i < l->len; i++) {
		sim_pop(&free_at, &e);
		if (e.at < l->at[i])
			e.at = l->at[i];
		l->wait[i] = (double)(e.at - l->at[i]) / 1000;
		e.at += l->run[i];
		sim_add(&free_at, e);
	}
	free(free_at.heap);
}

/* Power of two choices: the shorter queue of two random runners. */
static void
simulate_two_choices(struct arrivals *l, unsigned long seed)
{
	static agb_time free_at[RUNNERS][SLOTS];
	static agb_time ends[RUNNERS][4096];
	uint32_t i, k, r, a[2], n[2], best;
	gsl_rng *const rng = gsl_rng_alloc(gsl_rng_mt19937);

	gsl_rng_set(rng, seed);
	memset(free_at, 0, sizeof(free_at));
	memset(ends, 0, sizeof(ends));
	for (i = 0; i < l->len; i++) {
		for (r = 0; r < 2; r++) {
			a[r] = (uint32_t)gsl_rng_uniform_int(rng, RUNNERS);
			for (k = 0, n[r] = 0; k < 4096; k++)
				n[r] += ends[a[r]][k] > l->at[i];
		}
		r = n[0] <= n[1] ? a[0] : a[1];
		for (k = 1, best = 0; k < SLOTS; k++) {
			if (free_at[r][k] < free_at[r][best])
				best = k;
		}
		if (free_at[r][best] < l->at[i])
			free_at[r][best] = l->at[i];
		l->wait[i] = (double)(free_at[r][best] - l->at[i]) / 1000;
		free_at[r][best] += l->run[i];
		ends[r][i % 4096] = free_at[r][best];
	}
	gsl_rng_free(rng);
}

static void
simulate_scheduler(
    struct arrivals *l, unsigned long seed, agb_time report_delay)
{
	struct agb_sched_event ev;
	struct sim s = {0};
	struct sim_event e;
	struct bench b;
	uint32_t i;
	size_t k;

	bench_open(&b, seed, false, 0);
	for (i = 0; i < RUNNERS; i++)
		bench_worker(&b, i, 32, 65536, SLOTS);
	for (i = 0; i < l->len; i++)
		sim_add(&s, (struct sim_event){.at = l->at[i], .n = i});
	while (sim_pop(&s, &e)) {
		b.now = e.at;
		if (e.kind == 0) {
			ev = bench_event(AGB_SCHED_QUICK_REQUEST);
			ev.tag = e.n;
			ev.work = B_QUICK;
			ev.team = (uint16_t)(e.n % BENCH_TEAMS);
		} else {
			ev = bench_event(AGB_SCHED_QUICK_DONE);
			ev.attempt = e.attempt;
		}
		bench_step(&b, &ev);
		for (k = 0; k < b.out.len; k++) {
			const struct agb_sched_effect *const ef =
			    &b.out.items[k];

			if (ef->type != AGB_SCHED_GRANT)
				continue;
			l->wait[ef->tag] =
			    (double)(b.now - l->at[ef->tag]) / 1000;
			sim_add(&s,
			    (struct sim_event){
				.at = b.now + l->run[ef->tag] + report_delay,
				.kind = 1,
				.attempt = ef->attempt});
		}
		b.out.len = 0;
	}
	free(s.heap);
	bench_close(&b);
}

static double
report(struct arrivals *l, int load_percent, const char *suffix)
{
	double sum = 0;
	char name[64];
	uint32_t i;

	for (i = 0; i < l->len; i++)
		sum += l->wait[i];
	snprintf(name, sizeof(name), "wait_p50_ms_%d%s", load_percent, suffix);
	bench_print(name, bench_quantile(l->wait, l->len, 0.5), "ms");
	snprintf(name, sizeof(name), "wait_p99_ms_%d%s", load_percent, suffix);
	bench_print(name, bench_quantile(l->wait, l->len, 0.99), "ms");
	return sum / l->len;
}

void
bench_wait(unsigned long seed, bool quick)
{
	static const int loads[] = {70, 90, 97};
	double bound, mean;
	struct arrivals l;
	char name[64];
	size_t i;

	for (i = 0; i < 3; i++) {
		make_arrivals(
		    &l, seed, quick ? 5000 : 200000, loads[i] / 100.0);
		simulate_single_queue(&l);
		bound = report(&l, loads[i], "_bound");
		simulate_scheduler(&l, seed, 0);
		mean = report(&l, loads[i], "");
		snprintf(name, sizeof(name), "wait_ratio_%d", loads[i]);
		bench_print(name, bound > 0 ? mean / bound : 1 + mean, "ratio");
		simulate_scheduler(&l, seed, AGB_MS);
		mean = report(&l, loads[i], "_lag1ms");
		snprintf(name, sizeof(name), "wait_ratio_%d_lag1ms", loads[i]);
		bench_print(name, bound > 0 ? mean / bound : 1 + mean, "ratio");
		simulate_two_choices(&l, seed);
		report(&l, loads[i], "_two_choices");
		free(l.at);
		free(l.run);
		free(l.wait);
	}
}

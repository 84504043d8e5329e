#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>

#include "sim.h"

/* Start delay of urgent tasks on a full shard, and attempts lost on a worker
 * that fails all of them. */

enum { STOP_DONE, RUN_DONE, ARRIVAL, TICK };

static void
schedule_stops(struct bench *b, struct sim *s)
{
	const struct agb_sched_effect *ef;
	size_t i;

	for (i = 0; i < b->out.len; i++) {
		ef = &b->out.items[i];
		if (ef->type != AGB_SCHED_STOP &&
		    ef->type != AGB_SCHED_CHECKPOINT)
			continue;
		/* A stop takes 0.1 to 1 s to take effect, a checkpoint twice
		 * that. */
		sim_add(s,
		    (struct sim_event){.at = b->now +
			    (agb_time)(gsl_ran_flat(b->rng, 0.1, 1) *
				(ef->type == AGB_SCHED_STOP ? 1 : 2) * AGB_SEC),
			.kind = STOP_DONE,
			.attempt = ef->attempt});
	}
}

static void
run_urgent(
    unsigned long seed, bool quick, uint16_t headroom, const char *suffix)
{
	const uint32_t workers = quick ? 50 : 960;
	const uint32_t urgent = quick ? 200 : 4000;
	struct agb_sched_event ev;
	struct agb_sched_load load;
	struct sim s = {0};
	struct sim_event e;
	struct bench b;
	double *wait, t = 0;
	uint32_t i, job = 0, n = 0, first;
	agb_time *asked;
	char name[64];
	size_t k;

	bench_open(&b, seed, quick, headroom);
	for (i = 0; i < workers; i++)
		bench_worker(&b, i, 32, 65536, 0);
	do {
		bench_job(&b, job, job % 2 ? B_SORT : B_PROFILE,
		    (uint16_t)(job % BENCH_TEAMS), 1,
		    (struct agb_resources){2000, 4096, 0}, 600000);
		job++;
		b.out.len = 0;
		agb_sched_load_get(b.s, b.now, AGB_ENV_NONE, &load);
	} while (load.tasks_queued < workers);
	first = job;
	wait = calloc(urgent, sizeof(*wait));
	asked = calloc(urgent, sizeof(*asked));
	for (i = 0; i < urgent; i++) {
		t += gsl_ran_exponential(b.rng, 0.05);
		sim_add(&s,
		    (struct sim_event){.at = b.now + (agb_time)(t * AGB_SEC),
			.kind = ARRIVAL});
	}
	while (sim_pop(&s, &e) && n < urgent) {
		b.now = e.at;
		if (e.kind == ARRIVAL) {
			asked[job - first] = b.now;
			bench_job(&b, job, B_URGENT,
			    (uint16_t)(job % BENCH_TEAMS), 1,
			    (struct agb_resources){
				1000 + (int64_t)(job % 4) * 1000, 2048, 0},
			    10000);
			job++;
		} else if (e.kind == TICK) {
			ev = bench_event(AGB_SCHED_TICK);
			bench_step(&b, &ev);
		} else {
			bench_ended(&b, e.attempt,
			    e.kind == RUN_DONE ? AGB_RESULT_OK
					       : AGB_RESULT_STOPPED);
		}
		schedule_stops(&b, &s);
		for (k = 0; k < b.out.len; k++) {
			const struct agb_sched_effect *const ef =
			    &b.out.items[k];

			if (ef->type != AGB_SCHED_START || ef->job < first)
				continue;
			wait[n++] =
			    (double)(b.now - asked[ef->job - first]) / AGB_SEC;
			sim_add(&s,
			    (struct sim_event){.at = b.now + 10 * AGB_SEC,
				.kind = RUN_DONE,
				.attempt = ef->attempt});
		}
		b.out.len = 0;
		if (agb_sched_next_tick(b.s, b.now) < b.now + AGB_SEC &&
		    e.kind != TICK)
			sim_add(&s,
			    (struct sim_event){
				.at = agb_sched_next_tick(b.s, b.now),
				.kind = TICK});
		else if (e.kind == TICK)
			sim_add(&s,
			    (struct sim_event){
				.at = b.now + 10 * AGB_MS, .kind = TICK});
	}
	snprintf(name, sizeof(name), "urgent_started%s", suffix);
	bench_print(name, n, "tasks");
	snprintf(name, sizeof(name), "urgent_start_p99_s%s", suffix);
	bench_print(name, bench_quantile(wait, n, 0.99), "s");
	snprintf(name, sizeof(name), "urgent_start_max_s%s", suffix);
	bench_print(name, bench_quantile(wait, n, 1), "s");
	free(wait);
	free(asked);
	free(s.heap);
	bench_close(&b);
}

void
bench_urgent(unsigned long seed, bool quick)
{
	run_urgent(seed, quick, 5, "");
	run_urgent(seed, quick, 0, "_no_headroom");
}

/* Counts the attempts that one of 50 workers fails after it turns faulty, in a
 * run of 10 minutes. A failure is reported after 1 s. */
void
bench_bad_worker(unsigned long seed, bool quick)
{
	const agb_time end = 1600 * AGB_SEC;
	struct agb_sched_event ev;
	struct sim s = {0};
	struct sim_event e;
	struct bench b;
	uint32_t i, job = 0, failed_starts = 0;
	size_t k;

	bench_open(&b, seed, quick, 0);
	for (i = 0; i < 50; i++)
		bench_worker(&b, i, 32, 65536, 0);
	for (b.now = 1000 * AGB_SEC; b.now < end; b.now += 250 * AGB_MS)
		sim_add(&s, (struct sim_event){.at = b.now, .kind = ARRIVAL});
	while (sim_pop(&s, &e) && e.at < end) {
		b.now = e.at;
		if (e.kind == ARRIVAL) {
			bench_job(&b, job, B_SORT,
			    (uint16_t)(job % BENCH_TEAMS), 1,
			    (struct agb_resources){2000, 2048, 0}, 60000);
			job++;
		} else {
			bench_ended(&b, e.attempt,
			    e.kind == STOP_DONE ? AGB_RESULT_FAILED
						: AGB_RESULT_OK);
		}
		ev = bench_event(AGB_SCHED_TICK);
		bench_step(&b, &ev);
		for (k = 0; k < b.out.len; k++) {
			const struct agb_sched_effect *const ef =
			    &b.out.items[k];
			const bool bad =
			    ef->worker == 0 && b.now > 1100 * AGB_SEC;

			if (ef->type != AGB_SCHED_START)
				continue;
			failed_starts += bad;
			sim_add(&s,
			    (struct sim_event){
				.at = b.now + (bad ? 1 : 60) * AGB_SEC,
				.kind = bad ? STOP_DONE : RUN_DONE,
				.attempt = ef->attempt});
		}
		b.out.len = 0;
	}
	bench_print("bad_worker_loss", failed_starts, "attempts");
	free(s.heap);
	bench_close(&b);
}

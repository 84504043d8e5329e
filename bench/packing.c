#include <gsl/gsl_randist.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/*
 * Packing ratio with a queue that is never empty. Actual sizes differ from the
 * declared ones by kind of work and by task, by factors of 0.4 to 1.6. Usage is
 * reported every 5 s. The ratio is that of processors or of memory, whichever
 * is higher.
 */

#define CORES 32
#define MEM_MB 65536
#define SECONDS 600
#define QUEUE_LEN 400

struct task {
	struct agb_resources declared;
	struct agb_resources actual;
	agb_time run;
	uint16_t work;
};

/* @held and @used are sums, over @n samples, of the allocated and the used share
 * of the cluster. @moved counts stopped tasks, @started started ones. */
struct utilization {
	double held;
	double used;
	double moved;
	double started;
	uint32_t n;
};

static struct task
make_task(gsl_rng *rng)
{
	static const int64_t cores[] = {1000, 2000, 3000, 4000, 6000, 8000};
	const uint16_t work = gsl_rng_uniform_int(rng, 2) ? B_SORT : B_PROFILE;
	const double error_factor =
	    (work == B_SORT ? 0.6 : 1.0) * gsl_ran_lognormal(rng, 0, 0.2);
	struct task t = {.work = work};

	t.declared.cpu_milli = cores[gsl_rng_uniform_int(rng, 6)];
	t.declared.mem_mb = (int64_t)((double)t.declared.cpu_milli *
	    gsl_ran_flat(rng, 0.5, 3.5));
	t.actual.cpu_milli =
	    (int64_t)((double)t.declared.cpu_milli * error_factor);
	t.actual.mem_mb = (int64_t)((double)t.declared.mem_mb * error_factor);
	t.run = (agb_time)(gsl_ran_flat(rng, 20, 120) * AGB_SEC);
	return t;
}

static void
add_sample(struct utilization *m, const struct agb_resources *held,
    const struct agb_resources *used, uint32_t workers)
{
	const double cpu = (double)workers * CORES * 1000;
	const double mem = (double)workers * MEM_MB;
	const double h1 = (double)held->cpu_milli / cpu;
	const double h2 = (double)held->mem_mb / mem;
	const double u1 = (double)used->cpu_milli / cpu;
	const double u2 = (double)used->mem_mb / mem;

	m->held += h1 > h2 ? h1 : h2;
	m->used += u1 > u2 ? u1 : u2;
	m->n++;
}

/* Simulates a simple placement rule to compare with. A task goes to the first
 * worker on which it fits or, with @two_choices, to the one of two randomly
 * chosen workers that has more free CPU. Both rules trust the declared sizes
 * and place tasks in the order of arrival. */
static void
simulate_baseline(unsigned long seed, uint32_t workers, bool two_choices,
    struct utilization *m)
{
	gsl_rng *const rng = gsl_rng_alloc(gsl_rng_mt19937);
	struct agb_resources *room, held = {0}, used = {0};
	struct sim s = {0};
	struct sim_event e;
	struct task *tasks, next;
	uint32_t i, w, n = 0, tries;
	agb_time now;

	gsl_rng_set(rng, seed);
	room = calloc(workers, sizeof(*room));
	tasks = calloc(2000000, sizeof(*tasks));
	for (i = 0; i < workers; i++)
		room[i] = (struct agb_resources){CORES * 1000L, MEM_MB, 0};
	next = make_task(rng);
	for (now = 0; now < SECONDS * AGB_SEC; now += 100 * AGB_MS) {
		while (s.len > 0 && s.heap[0].at <= now && sim_pop(&s, &e)) {
			agb_resources_add(
			    &room[e.worker], &tasks[e.n].declared);
			agb_resources_sub(&held, &tasks[e.n].declared);
			agb_resources_sub(&used, &tasks[e.n].actual);
		}
		for (tries = 0; tries < 64;) {
			if (two_choices) {
				const uint32_t a =
				    (uint32_t)gsl_rng_uniform_int(rng, workers);

				w = (uint32_t)gsl_rng_uniform_int(rng, workers);
				if (room[a].cpu_milli > room[w].cpu_milli)
					w = a;
			} else {
				for (w = 0; w < workers - 1 &&
				     !agb_resources_fit(
					 &next.declared, &room[w]);
				     w++)
					;
			}
			if (!agb_resources_fit(&next.declared, &room[w])) {
				tries += two_choices ? 1 : 64;
				continue;
			}
			tries = 0;
			agb_resources_sub(&room[w], &next.declared);
			agb_resources_add(&held, &next.declared);
			agb_resources_add(&used, &next.actual);
			tasks[n] = next;
			sim_add(&s,
			    (struct sim_event){
				.at = now + next.run, .n = n, .worker = w});
			n++;
			next = make_task(rng);
		}
		if (now > SECONDS / 2 * AGB_SEC && now % AGB_SEC == 0)
			add_sample(m, &held, &used, workers);
	}
	free(room);
	free(tasks);
	free(s.heap);
	gsl_rng_free(rng);
}

static void
simulate_scheduler(unsigned long seed, uint32_t workers, struct utilization *m)
{
	struct agb_resources used = {0}, held;
	struct agb_sched_load load;
	struct agb_sched_event ev;
	struct sim s = {0}, reports = {0};
	struct sim_event e;
	struct task *tasks;
	struct bench b;
	uint32_t i, jobs = 0;
	agb_time start;
	size_t k;

	bench_open(&b, seed, false, 0);
	for (i = 0; i < workers; i++)
		bench_worker(&b, i, CORES, MEM_MB, 0);
	tasks = calloc(2000000, sizeof(*tasks));
	start = b.now;
	for (; b.now < start + SECONDS * AGB_SEC; b.now += 100 * AGB_MS) {
		while (s.len > 0 && s.heap[0].at <= b.now && sim_pop(&s, &e)) {
			if (tasks[e.n].run == 0)
				continue;
			agb_resources_sub(&used, &tasks[e.n].actual);
			bench_ended(&b, e.attempt,
			    e.kind == 0 ? AGB_RESULT_OK : AGB_RESULT_STOPPED);
			if (e.kind == 0)
				tasks[e.n].run = 0;
		}
		while (reports.len > 0 && reports.heap[0].at <= b.now &&
		    sim_pop(&reports, &e)) {
			if (tasks[e.n].run == 0)
				continue;
			ev = bench_event(AGB_SCHED_USAGE);
			ev.attempt = e.attempt;
			ev.used = tasks[e.n].actual;
			bench_step(&b, &ev);
			e.at = b.now + 5 * AGB_SEC;
			sim_add(&reports, e);
		}
		agb_sched_load_get(b.s, b.now, AGB_ENV_NONE, &load);
		for (i = load.tasks_queued; i < QUEUE_LEN; i++) {
			tasks[jobs] = make_task(b.rng);
			bench_job(&b, jobs, tasks[jobs].work,
			    (uint16_t)(jobs % BENCH_TEAMS), 1,
			    tasks[jobs].declared,
			    (uint32_t)(tasks[jobs].run / AGB_MS));
			jobs++;
		}
		ev = bench_event(AGB_SCHED_TICK);
		bench_step(&b, &ev);
		for (k = 0; k < b.out.len; k++) {
			const struct agb_sched_effect *const ef =
			    &b.out.items[k];

			m->moved += ef->type == AGB_SCHED_STOP ||
			    ef->type == AGB_SCHED_CHECKPOINT;
			m->started += ef->type == AGB_SCHED_START;
			if (ef->type == AGB_SCHED_START) {
				agb_resources_add(
				    &used, &tasks[ef->job].actual);
				e = (struct sim_event){
				    .at = b.now + tasks[ef->job].run,
				    .n = ef->job,
				    .attempt = ef->attempt};
				sim_add(&s, e);
				e.at = b.now + 5 * AGB_SEC;
				sim_add(&reports, e);
			}
		}
		b.out.len = 0;
		if (b.now > start + SECONDS / 2 * AGB_SEC &&
		    b.now % AGB_SEC == 0) {
			agb_sched_load_get(b.s, b.now, AGB_ENV_NONE, &load);
			held = load.capacity;
			agb_resources_sub(&held, &load.free);
			add_sample(m, &held, &used, workers);
		}
	}
	free(tasks);
	free(s.heap);
	free(reports.heap);
	bench_close(&b);
}

void
bench_packing(unsigned long seed, bool quick)
{
	const uint32_t workers = quick ? 10 : 100;
	struct utilization m[3] = {0};

	simulate_scheduler(seed, workers, &m[0]);
	simulate_baseline(seed, workers, false, &m[1]);
	simulate_baseline(seed, workers, true, &m[2]);
	bench_print("packing_ratio", m[0].held / m[0].n, "ratio");
	bench_print("packing_used_ratio", m[0].used / m[0].n, "ratio");
	bench_print(
	    "packing_moved_percent", 100 * m[0].moved / m[0].started, "%");
	bench_print("packing_ratio_first_fit", m[1].held / m[1].n, "ratio");
	bench_print(
	    "packing_used_ratio_first_fit", m[1].used / m[1].n, "ratio");
	bench_print("packing_ratio_two_choices", m[2].held / m[2].n, "ratio");
	bench_print(
	    "packing_used_ratio_two_choices", m[2].used / m[2].n, "ratio");
}

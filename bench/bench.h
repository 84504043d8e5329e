#ifndef BENCH_H
#define BENCH_H

/**
 * DOC: bench
 *
 * Runs the scheduler on seeded synthetic work and prints one line
 * "name value unit" for each result. Results that are times depend on the
 * machine; all others depend on the seed only.
 */

#include <gsl/gsl_rng.h>

#include "mem.h"
#include "sched.h"

#define BENCH_TEAMS 39
enum { B_QUICK, B_SORT, B_PROFILE, B_PLAN, B_SERVICE, B_URGENT, B_WORKS };

/**
 * struct bench - one shard under load
 * @quick: smoke test with a tenth to a fiftieth of the work
 */
struct bench {
	struct agb_sched *s;
	struct agb_sched_effects out;
	struct agb_env env;
	struct agb_env_class classes[B_WORKS];
	struct agb_env_work works[B_WORKS];
	struct agb_env_team teams[BENCH_TEAMS];
	struct agb_env_domain domain;
	gsl_rng *rng;
	agb_time now;
	bool quick;
	unsigned long seed;
};

void bench_open(
    struct bench *b, unsigned long seed, bool quick, uint16_t headroom_percent);
void bench_close(struct bench *b);
void bench_worker(struct bench *b, uint32_t worker, int64_t cores,
    int64_t mem_mb, uint16_t slots);
struct agb_sched_event bench_event(enum agb_sched_event_type type);
void bench_step(struct bench *b, const struct agb_sched_event *ev);
void bench_job(struct bench *b, uint32_t job, uint16_t work, uint16_t team,
    uint32_t tasks, struct agb_resources need, uint32_t run_ms);
void bench_ended(struct bench *b, struct agb_attempt a, enum agb_result result);
double bench_wall_us(void);
int bench_by_double(const void *a, const void *b);
double bench_quantile(double *v, size_t n, double q);
void bench_print(const char *name, double value, const char *unit);

void bench_decide(unsigned long seed, bool quick);
void bench_wait(unsigned long seed, bool quick);
void bench_urgent(unsigned long seed, bool quick);
void bench_packing(unsigned long seed, bool quick);
void bench_cancel(unsigned long seed, bool quick);
void bench_bad_worker(unsigned long seed, bool quick);

#endif

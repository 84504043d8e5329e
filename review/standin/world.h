#ifndef WORLD_H
#define WORLD_H

/**
 * DOC: world
 *
 * Stand-in for everything around the instances: the platform's store with its
 * operator, the advice service, the runners and the clients, in one process on
 * loopback addresses and the real clock. It starts the instances as separate
 * processes with the command of the deploy file and ends them.
 *
 * It follows PROTOCOL.md. What it sees goes to the record, a line each.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "wf_event.h"

#define INSTANCES_MAX 8
#define RUNNERS_MAX 48
#define ATTEMPTS_MAX 8

/* A run of a task as its runner saw it; times are of now_ms(). */
struct run_log {
	char task[96];
	uint32_t run;
	unsigned runner;
	uint64_t started_ms;
	uint64_t ended_ms; /* 0 while it runs */
	enum wf_run_end how;
	bool by_stop;	   /* ended because of a stop order */
	bool crashed;	   /* lost with its runner */
	uint64_t noted_ms; /* when "observed" reached its end, or 0 */
	uint64_t seq;
	uint64_t life;	  /* life of the runner that ran it */
	const char *kind; /* kind of the runner in that life */
};

/* What the scenario sets; see the cases in main.c. */
struct world_options {
	unsigned instances;
	unsigned runners;
	/* The last ones of them, of kind "b", start by runner_join() only; the
	 * others are of kind "a". */
	unsigned late_runners;
	int64_t runner_cpu;
	uint32_t store_answer_ms;
	/* Memory of an instance in bytes, beyond which it is killed; 0: any. */
	uint64_t memory_max;
	/* Way from an instance to the store: delay of an answer beyond the
	 * store's own time, and rate of the link in bytes a millisecond. */
	uint32_t far_rtt_ms[INSTANCES_MAX];
	uint32_t far_bytes_per_ms[INSTANCES_MAX];
};

struct job {
	char id[17];
	char path[64];
	char body[8192];
	int status; /* last answer to its submission */
	bool accepted;
	uint64_t accepted_ms;
	char state[16]; /* last state that a client was shown */
	int get_status;
	struct agb_httpc_call *call; /* of job_submit_once(); NULL: ended */
	int cancel_status;
	uint64_t cancelled_ms; /* when a client got 2xx or 410 for DELETE */
	unsigned steps;
	uint32_t counts[8];
	uint64_t after[8];
	bool lasts;
	unsigned max_attempts;
};

extern uv_loop_t *const world_loop;

uint64_t now_ms(void);

/* Writes a line to the record, with the time. */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Ends the process with this code, after the instances. */
void finish(int code) __attribute__((noreturn));

void world_start(const struct world_options *o, const char *repo,
    const char *work_dir, const char *record_path);

/* The operator writes the manifest. */
void operator_write_manifest(const char *json);

void instance_start(unsigned i);
void instance_signal(unsigned i, int sig);
bool instance_running(unsigned i);
/* How often it was killed because of its memory. */
unsigned instance_memory_kills(unsigned i);
/* Whether the instance answers its readiness probe with 200, as of the last
 * probe, which is made each second. */
bool instance_ready(unsigned i);
/* Instance that holds the leader's key in the store; -1 when there is none. */
int leader_index(void);

/* Kills a runner; it starts again after @down_ms. */
void runner_crash(unsigned i, uint32_t down_ms);

/* Its time of day jumps, which its next start shows. */
void runner_clock_step(unsigned i, int64_t ms);

void runner_join(unsigned i);

/* From now on no call reaches the runner, nor an answer of it the instances;
 * it runs on. */
void runner_cut(unsigned i, uint32_t ms);

/* From now on the runner does not reach the store; the instances reach it. */
void runner_cut_from_store(unsigned i, uint32_t ms);

/* The kind of the runner from its next report on. */
void runner_set_kind(unsigned i, const char *kind);

/* Submits a job through an instance; repeated at another one until accepted. */
struct job *job_submit(const char *path, const char *id, const char *body);
void job_get(struct job *j, unsigned instance);

/* Submits a job through this instance, once. */
struct job *job_submit_once(
    const char *path, const char *id, const char *body, unsigned instance);
/* The client closes the channel on which it waits for the answer. */
void job_leave(struct job *j);
void job_cancel(struct job *j, unsigned instance);

/* The next write whose first key contains the text is not answered and carried
 * out after a time, if its conditions hold then. */
void store_delay_next_write(const char *key_part, uint32_t ms);

extern struct run_log *runs;
extern size_t runs_len;
extern struct job **jobs;
extern size_t jobs_len;

/* Calls @fn after @ms. */
void after(uint64_t ms, void (*fn)(void));

/* Processors of all runners in use, in thousandths of a core. */
int64_t cpu_used(void);

#endif

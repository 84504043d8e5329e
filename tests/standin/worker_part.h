#ifndef WORKER_PART_H
#define WORKER_PART_H

/**
 * DOC: worker_part
 *
 * Stand-in of one worker: its agent (design 7.4), its runner, and faults on
 * demand. A task runs for its run_ms, or until it is stopped when that is 0.
 *
 * Keys that the stand-in reads from a task's args: "ms" (true run time),
 * "exit" (exit code), "use_percent" (usage reported, of the size declared).
 *
 * POST /standin/faults on the agent takes any of {"fail_all":bool,
 * "truncate":n, "delay_answer_ms":n, "swap_answers":n, "wrong_attempt":n,
 * "leaving":bool, "silent":bool}. GET /standin/history lists one JSON line
 * for each start and end; GET /standin/state counts what runs and what was
 * asked for beyond the capacity.
 */

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* Entries of the platform's list expire without another post in this time. */
#define WORKER_INSTANCE_TTL_MS 10000
#define WORKER_REGISTER_INTERVAL_MS 2000

/**
 * struct worker_opts - what the worker is and offers; strings are copied
 * @listen: IP address
 * @port: of the agent, the runner gets the next one; 0 lets the kernel choose
 * @platform: address of the instance list, or NULL
 */
struct worker_opts {
	const char *name;
	const char *listen;
	int port;
	const char *platform;
	const char *region;
	const char *domain;
	const char *rack;
	const char *service;
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t accel;
	int slots;
	int connections;
};

struct worker;

/**
 * worker_new() - start it
 * Return: NULL when an address cannot be bound.
 */
struct worker *worker_new(uv_loop_t *loop, const struct worker_opts *o);

const char *worker_agent_addr(const struct worker *w);
const char *worker_runner_addr(const struct worker *w);

/**
 * worker_set_faults() - as POST /standin/faults
 * Return: false when @json is not an object.
 */
bool worker_set_faults(struct worker *w, const char *json);

/**
 * worker_history() - text of GET /standin/history, valid until the next
 * request
 */
const char *worker_history(struct worker *w);

/**
 * worker_violations() - starts and requests beyond the capacity, and second
 * starts of a task that runs
 */
uint64_t worker_violations(const struct worker *w);

/**
 * worker_free() - close all; the loop must run on until its closed handles
 * are gone
 */
void worker_free(struct worker *w);

#endif

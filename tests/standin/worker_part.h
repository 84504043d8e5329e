#ifndef WORKER_PART_H
#define WORKER_PART_H

/**
 * DOC: worker_part
 *
 * Stand-in for one worker: its agent (design 7.4), which takes commands, and
 * its runner, which takes requests. No work is done: a task or request only
 * lasts for its run time. A task runs for its "run_ms", or until it is stopped
 * when that is 0. A request runs for "ms" of its query string or JSON body.
 *
 * Keys of a task's "args":
 *	"ms"	actual run time, in place of "run_ms"
 *	"exit"	exit code
 *	"use_percent"	reported usage, as a percentage of the declared size
 *
 * Faults are injected by requests to the agent:
 *
 * POST /standin/faults	any of
 *	"fail_all":bool	new tasks fail after 1 ms, requests get HTTP status 500
 *	"truncate":n	cut the last bytes of the next n runner responses and
 *		close the connection
 *	"delay_answer_ms":n	delay runner responses; the slot is already free
 *	"swap_answers":n	exchange the next n runner responses in pairs
 *	"wrong_attempt":n	next n runner responses name a wrong attempt
 *	"leaving":bool	refuse new work and report that the worker leaves
 *	"silent":bool	accept connections but never respond, nor register
 * GET /standin/history	one JSON line per start and end of a task or request
 * GET /standin/state	what is running, and the number of violations
 */

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* Without a new registration in this time the platform lists it as gone. */
#define WORKER_INSTANCE_TTL_MS 10000
#define WORKER_REGISTER_INTERVAL_MS 2000

/**
 * struct worker_opts - identity and capacity of a worker; strings are copied
 * @listen: IPv4 address of agent and runner
 * @port: port of the agent, the runner takes the next one; 0 lets the kernel
 * choose both
 * @platform: address of the platform to register with; NULL or "": none
 * @service: service that the runner offers; NULL or "" registers no runner
 * @slots: concurrent requests on the runner
 * @connections: limit on open connections of the runner
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
 * worker_new() - start a worker
 * Return: NULL when an address cannot be bound.
 */
struct worker *worker_new(uv_loop_t *loop, const struct worker_opts *o);

const char *worker_agent_addr(const struct worker *w);
const char *worker_runner_addr(const struct worker *w);

/**
 * worker_set_faults() - same as POST /standin/faults
 * Return: false when @json is not a JSON object.
 */
bool worker_set_faults(struct worker *w, const char *json);

/**
 * worker_history() - body of GET /standin/history; valid until the next event
 * is recorded
 */
const char *worker_history(struct worker *w);

/**
 * worker_violations() - number of commands and requests that a correct
 * scheduler does not send: starts of a task beyond the capacity or under
 * another attempt while it runs, and requests without a free slot
 */
uint64_t worker_violations(const struct worker *w);

/**
 * worker_free() - close the worker
 *
 * The loop must run afterwards until the handles are closed.
 */
void worker_free(struct worker *w);

#endif

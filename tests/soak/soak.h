#ifndef SOAK_H
#define SOAK_H

/**
 * DOC: soak
 *
 * Fault injection test with real processes on the loopback interface. It
 * starts instances of agatebeamd and a stand-in for the platform, submits jobs
 * over HTTP and injects faults meanwhile: instances are killed, paused or
 * terminated and then restarted; a proxy delays, discards or resets their
 * connections to the store; the stand-in makes the store and runners fail.
 * The test guards against accepted jobs that are lost or do not finish, final
 * states that change, refused jobs that run, cancellations that nobody asked
 * for, crashes, and violations that the stand-in detects.
 */

#include <stdbool.h>

/**
 * struct soak_options - parameters of one run
 * @seed: seed of the random number generator
 * @instances: number of instances of agatebeamd
 * @runners: number of runners of the stand-in
 * @jobs_per_s: jobs submitted per second
 * @load_ms: how long jobs are submitted and faults are injected
 * @finish_timeout_ms: how long jobs may take to finish after @load_ms
 * @fault_interval_ms: mean time between faults; 0 injects none
 * @bin_dir: directory of the programs
 * @log_dir: directory for the settings and logs of the processes
 * @verbose: print each fault and a summary
 * @use_relays: give the instances so small a CPU share that the leader sends
 *              its orders to runners through relays
 */
struct soak_options {
	unsigned seed;
	unsigned instances;
	unsigned runners;
	unsigned jobs_per_s;
	unsigned load_ms;
	unsigned finish_timeout_ms;
	unsigned fault_interval_ms;
	const char *bin_dir;
	const char *log_dir;
	bool verbose;
	bool use_relays;
};

/**
 * soak_run() - run the test once
 *
 * Leaves handles of its event loop open, so a process can run it only once.
 *
 * Return: number of violations; each is printed.
 */
unsigned soak_run(const struct soak_options *o);

#endif

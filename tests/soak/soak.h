#ifndef SOAK_H
#define SOAK_H

/**
 * DOC: soak
 *
 * Real instances as processes on loopback, with the stand-in of the platform,
 * clients, and faults from outside: processes killed, paused, terminated and
 * started again by signals, connections to the store delayed, silenced, cut
 * one way or reset by a proxy, a store and runners that misbehave.
 */

#include <stdbool.h>

/**
 * struct soak_options - one run
 * @load_ms: time of load and faults; finishing takes up to @finish_timeout_ms more
 * @fault_interval_ms: mean time between faults; 0 is none
 * @log_dir: where logs of the processes go
 * @use_relays: the machines are too small to speak with all runners themselves
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
 * soak_run() - one run
 * Return: number of broken promises; each is printed.
 */
unsigned soak_run(const struct soak_options *o);

#endif

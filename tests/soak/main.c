/**
 * DOC: main
 *
 * Runs the soak test for a range of seeds. The last line of output gives the
 * number of seeds and of violations. The logs of each seed are kept in a
 * subdirectory of the log directory.
 */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

int
main(int argc, char **argv)
{
	struct arg_int *const seed_from =
	    arg_int0(NULL, "seed-from", "N", "first seed (1)");
	struct arg_int *const seed_count =
	    arg_int0(NULL, "seed-count", "N", "number of seeds (1)");
	struct arg_int *const instances = arg_int0(NULL, "instances", "N",
	    "number of instances (default: 3 to 5, depending on the seed)");
	struct arg_int *const load_ms = arg_int0(NULL, "load-ms", "N",
	    "how long to submit jobs and inject faults (20000)");
	struct arg_str *const bin =
	    arg_str0(NULL, "bin", "DIR", "directory of the programs (build)");
	struct arg_str *const logs =
	    arg_str0(NULL, "logs", "DIR", "directory for logs (/tmp/agb-soak)");
	struct arg_lit *const verbose =
	    arg_lit0("v", "verbose", "print each fault");
	struct arg_end *const end = arg_end(4);
	void *table[] = {
	    seed_from, seed_count, instances, load_ms, bin, logs, verbose, end};
	struct soak_options o = {0};
	unsigned first_seed, seeds, violations, i;
	char dir[512];
	const char *log_root;
	pid_t pid;
	int status;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "agb-soak");
		return 2;
	}
	first_seed = seed_from->count > 0 ? (unsigned)seed_from->ival[0] : 1;
	seeds = seed_count->count > 0 ? (unsigned)seed_count->ival[0] : 1;
	log_root = logs->count > 0 ? logs->sval[0] : "/tmp/agb-soak";
	(void)mkdir(log_root, 0755);
	violations = 0;
	for (i = 0; i < seeds; i++) {
		o.seed = first_seed + i;
		snprintf(dir, sizeof(dir), "%s/%u", log_root, o.seed);
		(void)mkdir(dir, 0755);
		o.instances = instances->count > 0
		    ? (unsigned)instances->ival[0]
		    : 3 + o.seed % 3;
		o.runners = 6 + o.seed % 5;
		o.jobs_per_s = 6 + o.seed % 6;
		o.load_ms =
		    load_ms->count > 0 ? (unsigned)load_ms->ival[0] : 20000;
		o.finish_timeout_ms = 30000;
		o.fault_interval_ms = 1200 + 300 * (o.seed % 4);
		o.bin_dir = bin->count > 0 ? bin->sval[0] : "build";
		o.log_dir = dir;
		o.verbose = verbose->count > 0;
		o.use_relays = o.seed % 2 == 0;
		/* soak_run() leaves handles of its event loop open, so each
		 * seed runs in a process of its own. */
		fflush(stdout);
		pid = fork();
		if (pid == 0) {
			const unsigned v = soak_run(&o);

			fflush(stdout);
			_exit(v > 250 ? 250 : (int)v);
		}
		waitpid(pid, &status, 0);
		violations +=
		    WIFEXITED(status) ? (unsigned)WEXITSTATUS(status) : 1;
	}
	printf("soak %u seeds %u violations\n", seeds, violations);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return violations > 0 ? 1 : 0;
}

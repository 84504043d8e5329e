/**
 * DOC: main
 *
 * Runs randomized simulations of the workflow reducer, one for each seed. The
 * last line of the output has the number of seeds and of violated guarantees.
 */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "wfsim.h"

int
main(int argc, char **argv)
{
	struct arg_int *const from =
	    arg_int0(NULL, "seed-from", "N", "first seed (1)");
	struct arg_int *const count =
	    arg_int0(NULL, "seed-count", "N", "number of seeds (200)");
	struct arg_lit *const verbose = arg_lit0("v", "verbose", "each seed");
	struct arg_end *const end = arg_end(4);
	void *table[] = {from, count, verbose, end};
	unsigned seed, first, n, bad;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "agb-wfsim");
		return 2;
	}
	first = from->count > 0 ? (unsigned)from->ival[0] : 1;
	n = count->count > 0 ? (unsigned)count->ival[0] : 200;
	bad = 0;
	for (seed = first; seed < first + n; seed++) {
		const unsigned n_bad = sim_run_seed(seed, stdout);

		bad += n_bad;
		if (n_bad == 0 && verbose->count > 0)
			printf("seed %u\n", seed);
	}
	printf("wfsim %u seeds %u violations\n", n, bad);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return bad > 0 ? 1 : 0;
}

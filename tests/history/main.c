#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"
#include "mem.h"
#include "world.h"

/* Records that are printed before the one that shows the violation. */
#define TRACE_RECORDS 4000

static void
report(struct world *w, const struct check_result *res)
{
	const size_t from = res->record_index > TRACE_RECORDS
	    ? res->record_index - TRACE_RECORDS
	    : 0;

	printf("seed %llu violation %s: %s\n", (unsigned long long)w->seed,
	    check_violation_name(res->violation), res->text);
	history_print(&w->history, from, stdout);
	if (res->violation == V_NOT_FINAL)
		world_explain(w, res->call);
}

static bool
run_seed(uint64_t seed, enum world_kind kind, bool trace, bool quiet)
{
	struct world *const w = agb_xcalloc(1, sizeof(*w));
	struct check_result res;
	bool ok;

	w->seed = seed;
	w->kind = kind;
	w->trace = trace ? stdout : NULL;
	world_run(w);
	ok = check_history(&w->history, &res);
	if (!ok && quiet)
		printf("seed %llu violation %s: %s\n", (unsigned long long)seed,
		    check_violation_name(res.violation), res.text);
	else if (!ok)
		report(w, &res);
	else if (trace)
		history_print(&w->history, 0, stdout);
	world_free(w);
	free(w);
	return ok;
}

static bool
kind_parse(const char *name, enum world_kind *kind)
{
	if (strcmp(name, "quick") == 0)
		*kind = W_FAULT_FREE_QUICK;
	else if (strcmp(name, "jobs") == 0)
		*kind = W_FAULT_FREE_JOBS;
	else
		return false;
	return true;
}

int
main(int argc, char **argv)
{
	struct arg_int *const from =
	    arg_int0(NULL, "seed-from", "N", "first seed (default 1)");
	struct arg_int *const count =
	    arg_int0(NULL, "seed-count", "M", "number of seeds (default 200)");
	struct arg_lit *const trace = arg_lit0(
	    NULL, "trace", "print decision lines and the whole history");
	struct arg_lit *const quiet = arg_lit0(NULL, "quiet",
	    "print one line for each violation, without its history");
	struct arg_lit *const first =
	    arg_lit0(NULL, "first", "stop at the first violation");
	struct arg_str *const calm = arg_str0(
	    NULL, "calm", "quick|jobs", "run a short workload without faults");
	struct arg_lit *const help =
	    arg_lit0("h", "help", "print this help and exit");
	struct arg_end *const end = arg_end(8);
	void *table[] = {from, count, trace, quiet, first, calm, help, end};
	uint64_t seed, done, violations;
	enum world_kind kind = W_RANDOM_FAULTS;
	int status = 2;

	from->ival[0] = 1;
	count->ival[0] = 200;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "agb-history");
		goto out;
	}
	if (help->count > 0) {
		printf("usage: agb-history");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		status = 0;
		goto out;
	}
	if (calm->count > 0 && !kind_parse(calm->sval[0], &kind)) {
		fprintf(stderr, "agb-history: --calm must be quick or jobs\n");
		goto out;
	}
	violations = 0;
	done = 0;
	seed = (uint64_t)from->ival[0];
	for (; done < (uint64_t)count->ival[0]; done++, seed++) {
		if (run_seed(seed, kind, trace->count > 0, quiet->count > 0))
			continue;
		violations++;
		if (first->count > 0) {
			done++;
			break;
		}
	}
	printf("histories %llu violations %llu\n", (unsigned long long)done,
	    (unsigned long long)violations);
	status = violations == 0 && done > 0 ? 0 : 1;
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}

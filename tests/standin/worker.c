/**
 * DOC: worker
 *
 * Program that runs one or more stand-ins for workers (worker_part.h) until
 * SIGTERM or SIGINT. It prints one line per worker with its name and addresses.
 */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "worker_part.h"

/* Limit on --count. */
#define WORKERS_MAX 256

/**
 * struct worker_group - the workers to start, from the command line
 * @opts: common to all workers; name, rack and port are set per worker
 * @first: number of the first worker; names and racks derive from the number
 * @rack_size: workers per rack
 * @port_base: first port, each worker takes two; 0 lets the kernel choose
 */
struct worker_group {
	struct worker_opts opts;
	const char *name_prefix;
	int count;
	int first;
	int rack_size;
	int port_base;
};

static void
on_signal(uv_signal_t *sig, int signum)
{
	uv_stop(sig->loop);
}

static void
close_handle(uv_handle_t *h, void *arg)
{
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

static struct worker *
start_worker(uv_loop_t *loop, const struct worker_group *group, int i)
{
	struct worker_opts opts = group->opts;
	char name[64], rack[64];
	struct worker *w;

	snprintf(
	    name, sizeof(name), "%s-%d", group->name_prefix, group->first + i);
	snprintf(rack, sizeof(rack), "%s-rack-%d", opts.domain,
	    (group->first + i) / group->rack_size);
	opts.name = name;
	opts.rack = rack;
	opts.port = group->port_base > 0 ? group->port_base + 2 * i : 0;
	w = worker_new(loop, &opts);
	if (w == NULL)
		fprintf(stderr,
		    "standin-worker: %s cannot listen on %s port %d\n", name,
		    opts.listen, opts.port);
	else
		printf("%s agent %s runner %s\n", name, worker_agent_addr(w),
		    worker_runner_addr(w));
	return w;
}

static int
serve(const struct worker_group *group)
{
	struct worker *workers[WORKERS_MAX];
	uv_signal_t term, intr;
	uv_loop_t loop;
	int i, started;

	uv_loop_init(&loop);
	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(&loop, &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_signal_init(&loop, &intr);
	uv_signal_start(&intr, on_signal, SIGINT);
	for (started = 0; started < group->count; started++) {
		workers[started] = start_worker(&loop, group, started);
		if (workers[started] == NULL)
			break;
	}
	fflush(stdout);
	if (started == group->count)
		uv_run(&loop, UV_RUN_DEFAULT);
	for (i = 0; i < started; i++)
		worker_free(workers[i]);
	uv_close((uv_handle_t *)&term, NULL);
	uv_close((uv_handle_t *)&intr, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_walk(&loop, close_handle, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return started == group->count && uv_loop_close(&loop) == 0 ? 0 : 1;
}

static struct arg_int *
int_option(const char *name, const char *help, int default_value)
{
	struct arg_int *const a = arg_int0(NULL, name, "N", help);

	a->ival[0] = default_value;
	return a;
}

static struct arg_str *
str_option(const char *name, const char *type, const char *help,
    const char *default_value)
{
	struct arg_str *const a = arg_str0(NULL, name, type, help);

	a->sval[0] = default_value;
	return a;
}

int
main(int argc, char **argv)
{
	struct arg_int *const count =
	    int_option("count", "number of workers", 1);
	struct arg_int *const first =
	    int_option("first", "number of the first worker", 0);
	struct arg_int *const rack_size =
	    int_option("rack-size", "workers per rack", 8);
	struct arg_int *const port = int_option("port-base",
	    "first port, each worker takes two; 0: any free ports", 0);
	struct arg_int *const cpu = int_option("cpu-milli",
	    "processors of a worker, in thousandths of a core", 32000);
	struct arg_int *const mem =
	    int_option("mem-mb", "memory of a worker, in MiB", 65536);
	struct arg_int *const accel =
	    int_option("accel", "accelerators of a worker", 0);
	struct arg_int *const slots =
	    int_option("slots", "concurrent requests per runner", 8);
	struct arg_int *const conns =
	    int_option("connections", "connections per runner", 64);
	struct arg_str *const listen = str_option(
	    "listen", "IP", "IPv4 address to listen on", "127.0.0.1");
	struct arg_str *const platform = str_option("platform", "ADDR:PORT",
	    "platform to register with; none: \"\"", "");
	struct arg_str *const region =
	    str_option("region", "NAME", "region", "lagos");
	struct arg_str *const domain =
	    str_option("domain", "NAME", "failure domain", "ikeja");
	struct arg_str *const service = str_option("service", "NAME",
	    "service that the runners offer; none: \"\"", "");
	struct arg_str *const name_prefix = str_option("name-prefix", "NAME",
	    "prefix of worker names, before the number", "worker");
	struct arg_lit *const help = arg_lit0(NULL, "help", "show this help");
	struct arg_end *const end = arg_end(8);
	void *table[] = {count, first, rack_size, port, cpu, mem, accel, slots,
	    conns, listen, platform, region, domain, service, name_prefix, help,
	    end};
	struct worker_group group;
	int errors, rc;

	errors = arg_parse(argc, argv, table);
	if (errors > 0 || help->count > 0 || count->ival[0] < 1 ||
	    count->ival[0] > WORKERS_MAX || rack_size->ival[0] < 1) {
		arg_print_errors(stderr, end, "standin-worker");
		printf("usage: standin-worker");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		rc = errors == 0 && help->count > 0 ? 0 : 2;
	} else {
		group = (struct worker_group){
		    .opts = {.listen = listen->sval[0],
			.platform = platform->sval[0],
			.region = region->sval[0],
			.domain = domain->sval[0],
			.service = service->sval[0],
			.cpu_milli = cpu->ival[0],
			.mem_mb = mem->ival[0],
			.accel = accel->ival[0],
			.slots = slots->ival[0],
			.connections = conns->ival[0]},
		    .name_prefix = name_prefix->sval[0],
		    .count = count->ival[0],
		    .first = first->ival[0],
		    .rack_size = rack_size->ival[0],
		    .port_base = port->ival[0],
		};
		rc = serve(&group);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "worker_part.h"

/* One process holds at most this many workers. */
#define COUNT_MAX 256

/**
 * struct plan - what the options ask for
 * @base: options of each worker, but for its name, rack and port
 */
struct plan {
	struct worker_opts base;
	const char *prefix;
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
on_walk(uv_handle_t *h, void *arg)
{
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

static struct worker *
start(uv_loop_t *loop, const struct plan *p, int i)
{
	struct worker_opts o = p->base;
	char name[64], rack[64];
	struct worker *w;

	snprintf(name, sizeof(name), "%s-%d", p->prefix, p->first + i);
	snprintf(rack, sizeof(rack), "%s-rack-%d", o.domain,
	    (p->first + i) / p->rack_size);
	o.name = name;
	o.rack = rack;
	o.port = p->port_base > 0 ? p->port_base + 2 * i : 0;
	w = worker_new(loop, &o);
	if (w == NULL)
		fprintf(stderr, "%s: cannot listen on %s port %d\n", name,
		    o.listen, o.port);
	else
		printf("%s agent %s runner %s\n", name, worker_agent_addr(w),
		    worker_runner_addr(w));
	return w;
}

static int
serve(const struct plan *p)
{
	struct worker *workers[COUNT_MAX];
	uv_signal_t term, intr;
	uv_loop_t loop;
	int i, len;

	uv_loop_init(&loop);
	signal(SIGPIPE, SIG_IGN);
	uv_signal_init(&loop, &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_signal_init(&loop, &intr);
	uv_signal_start(&intr, on_signal, SIGINT);
	for (len = 0; len < p->count; len++) {
		workers[len] = start(&loop, p, len);
		if (workers[len] == NULL)
			break;
	}
	fflush(stdout);
	if (len == p->count)
		uv_run(&loop, UV_RUN_DEFAULT);
	for (i = 0; i < len; i++)
		worker_free(workers[i]);
	uv_close((uv_handle_t *)&term, NULL);
	uv_close((uv_handle_t *)&intr, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_walk(&loop, on_walk, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return len == p->count && uv_loop_close(&loop) == 0 ? 0 : 1;
}

static struct arg_int *
int_option(const char *name, const char *help, int absent)
{
	struct arg_int *const a = arg_int0(NULL, name, "N", help);

	a->ival[0] = absent;
	return a;
}

static struct arg_str *
str_option(
    const char *name, const char *type, const char *help, const char *absent)
{
	struct arg_str *const a = arg_str0(NULL, name, type, help);

	a->sval[0] = absent;
	return a;
}

int
main(int argc, char **argv)
{
	struct arg_int *const count =
	    int_option("count", "workers in this process", 1);
	struct arg_int *const first =
	    int_option("first", "number of the first worker", 0);
	struct arg_int *const rack_size =
	    int_option("rack-size", "workers in a rack", 8);
	struct arg_int *const port =
	    int_option("port-base", "first of two ports a worker; 0: any", 0);
	struct arg_int *const cpu =
	    int_option("cpu-milli", "thousandths of a core", 32000);
	struct arg_int *const mem = int_option("mem-mb", "MiB", 65536);
	struct arg_int *const accel = int_option("accel", "accelerators", 0);
	struct arg_int *const slots =
	    int_option("slots", "requests at once on a runner", 8);
	struct arg_int *const conns =
	    int_option("connections", "connections of a runner", 64);
	struct arg_str *const listen =
	    str_option("listen", "IP", "IPv4 address", "127.0.0.1");
	struct arg_str *const platform = str_option(
	    "platform", "ADDR:PORT", "instance list to register in", "");
	struct arg_str *const region =
	    str_option("region", "NAME", "region", "lagos");
	struct arg_str *const domain =
	    str_option("domain", "NAME", "failure domain", "ikeja");
	struct arg_str *const service = str_option(
	    "service", "NAME", "service of the runners; none: \"\"", "");
	struct arg_str *const prefix =
	    str_option("name-prefix", "NAME", "before the number", "worker");
	struct arg_lit *const help = arg_lit0(NULL, "help", "show this text");
	struct arg_end *const end = arg_end(8);
	void *table[] = {count, first, rack_size, port, cpu, mem, accel, slots,
	    conns, listen, platform, region, domain, service, prefix, help,
	    end};
	struct plan p;
	int errors, rc;

	errors = arg_parse(argc, argv, table);
	if (errors > 0 || help->count > 0 || count->ival[0] < 1 ||
	    count->ival[0] > COUNT_MAX || rack_size->ival[0] < 1) {
		arg_print_errors(stderr, end, "standin-worker");
		printf("usage: standin-worker");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		rc = errors == 0 && help->count > 0 ? 0 : 2;
	} else {
		p = (struct plan){
		    .base = {.listen = listen->sval[0],
			.platform = platform->sval[0],
			.region = region->sval[0],
			.domain = domain->sval[0],
			.service = service->sval[0],
			.cpu_milli = cpu->ival[0],
			.mem_mb = mem->ival[0],
			.accel = accel->ival[0],
			.slots = slots->ival[0],
			.connections = conns->ival[0]},
		    .prefix = prefix->sval[0],
		    .count = count->ival[0],
		    .first = first->ival[0],
		    .rack_size = rack_size->ival[0],
		    .port_base = port->ival[0],
		};
		rc = serve(&p);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

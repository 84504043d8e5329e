/**
 * DOC: platform
 *
 * Program that runs the stand-in for the platform (platform_part.h) until
 * SIGTERM or SIGINT.
 */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "platform_part.h"

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

static int
serve(const char *addr, uint32_t list_lag_ms)
{
	uv_signal_t term, intr;
	struct platform *p;
	uv_loop_t loop;

	uv_loop_init(&loop);
	p = platform_new(&loop, addr, list_lag_ms);
	if (p == NULL) {
		fprintf(
		    stderr, "standin-platform: cannot listen on %s\n", addr);
		return 1;
	}
	uv_signal_init(&loop, &term);
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_signal_init(&loop, &intr);
	uv_signal_start(&intr, on_signal, SIGINT);
	printf("listening %s\n", platform_addr(p));
	fflush(stdout);
	uv_run(&loop, UV_RUN_DEFAULT);
	platform_free(p);
	uv_walk(&loop, close_handle, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	return uv_loop_close(&loop) == 0 ? 0 : 1;
}

int
main(int argc, char **argv)
{
	struct arg_str *const listen = arg_str0(NULL, "listen", "ADDR:PORT",
	    "IPv4 address to listen on; port 0: any free port");
	struct arg_int *const lag = arg_int0(NULL, "list-lag-ms", "N",
	    "time in ms until a change shows in the instance list");
	struct arg_lit *const help = arg_lit0(NULL, "help", "show this help");
	struct arg_end *const end = arg_end(8);
	void *table[] = {listen, lag, help, end};
	int errors, rc;

	listen->sval[0] = "127.0.0.1:0";
	lag->ival[0] = 0;
	errors = arg_parse(argc, argv, table);
	if (errors > 0 || help->count > 0 || lag->ival[0] < 0) {
		arg_print_errors(stderr, end, "standin-platform");
		printf("usage: standin-platform");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		rc = errors == 0 && help->count > 0 ? 0 : 2;
	} else {
		rc = serve(listen->sval[0], (uint32_t)lag->ival[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}

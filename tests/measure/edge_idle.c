/*
 * Measures the memory that idle connections of the HTTP server (edge) use:
 * one process serves, another keeps connections open. scripts/measure-idle
 * runs both.
 *
 * usage: edge_idle serve | edge_idle hold ADDR:PORT COUNT
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge.h"
#include "mem.h"

#define CONNECTIONS_MAX 16000

static void
ignore_event(void *arg, struct agb_event *ev)
{
}

static char *
format_resident_metric(void *arg)
{
	FILE *const f = fopen("/proc/self/statm", "r");
	unsigned long size, pages = 0;

	if (f != NULL) {
		if (fscanf(f, "%lu %lu", &size, &pages) != 2)
			pages = 0;
		fclose(f);
	}
	return agb_xasprintf("process_resident_bytes %lu\n",
	    pages * (unsigned long)sysconf(_SC_PAGESIZE));
}

static int
run_server(void)
{
	static const struct agb_edge_cbs cbs = {
	    .on_event = ignore_event, .metrics = format_resident_metric};
	const struct agb_settings s = {.http = "127.0.0.1:0",
	    .head_max = 16384,
	    .body_max = 1048576,
	    .connections_max = CONNECTIONS_MAX,
	    .head_timeout_ms = 60000,
	    .call_timeout_ms = 60000};
	struct agb_edge *e;
	uv_loop_t loop;

	uv_loop_init(&loop);
	e = agb_edge_new(&loop, &s, &cbs, NULL);
	if (e == NULL)
		return 1;
	printf("%s\n", agb_edge_address(e));
	fflush(stdout);
	/* The script terminates this process; the alarm does so if the script
	 * was killed. */
	alarm(120);
	return uv_run(&loop, UV_RUN_DEFAULT);
}

/* Sends one request and reads its response, so that the server sees an idle
 * keep-alive connection and not one that has sent nothing yet. */
static bool
open_keepalive_connection(const struct sockaddr_storage *ss)
{
	static const char req[] = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
	char buf[1024];
	int fd;

	fd = socket(ss->ss_family, SOCK_STREAM, 0);
	return fd >= 0 &&
	    connect(fd, (const struct sockaddr *)ss,
		sizeof(struct sockaddr_in)) == 0 &&
	    write(fd, req, sizeof(req) - 1) == (ssize_t)sizeof(req) - 1 &&
	    read(fd, buf, sizeof(buf)) > 0;
}

static int
hold_connections(const char *addr, int count)
{
	struct sockaddr_storage ss;
	int i;

	if (!agb_httpc_parse_addr(addr, &ss) || count > CONNECTIONS_MAX)
		return 2;
	for (i = 0; i < count; i++) {
		if (!open_keepalive_connection(&ss)) {
			fprintf(stderr, "cannot open connection %d\n", i);
			return 1;
		}
	}
	printf("%d\n", count);
	fflush(stdout);
	alarm(120);
	pause();
	return 0;
}

int
main(int argc, char **argv)
{
	if (argc == 2 && strcmp(argv[1], "serve") == 0)
		return run_server();
	if (argc == 4 && strcmp(argv[1], "hold") == 0)
		return hold_connections(argv[2], atoi(argv[3]));
	fprintf(stderr, "usage: edge_idle serve | hold ADDR:PORT COUNT\n");
	return 2;
}

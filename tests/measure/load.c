/*
 * Load generator: sends requests at a fixed rate to one or more addresses and
 * prints one "name value unit" line per result: number of responses by
 * outcome, latency, and the longest time without a successful response.
 */

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "httpc.h"
#include "mem.h"

#define REQUEST_TIMEOUT_MS 20000
#define CLIENT_CONNECTIONS 64
#define ADDRS_MAX 32

struct load_generator {
	uv_loop_t loop;
	uv_timer_t timer;
	struct agb_httpc *client;
	const char *addrs[ADDRS_MAX];
	int addrs_len;
	const char *path;
	const char *body;
	const char *authorization;
	bool attempt_headers; /* send Agatebeam-Attempt and Agatebeam-Epoch */
	uint64_t start_us;
	uint64_t end_us;
	double requests_per_us;
	uint64_t sent;
	uint64_t done;		  /* responses and failed requests */
	uint64_t served;	  /* status 200 or 202 */
	uint64_t not_run;	  /* errors with outcome not-run */
	uint64_t outcome_unknown; /* errors with any other outcome */
	uint64_t unsent;
	uint64_t lost; /* sent, but the response did not arrive */
	uint64_t last_served_us;
	uint64_t longest_gap_us; /* between successful responses */
	double *latencies_ms;	 /* one per successful response */
};

struct load_request {
	struct load_generator *load;
	uint64_t sent_us;
};

static uint64_t
now_us(void)
{
	return uv_hrtime() / 1000;
}

static const char *
response_outcome(const struct agb_httpc_res *res)
{
	size_t i;

	for (i = 0; i < res->headers_len; i++) {
		if (strcmp(res->headers[i].name, "agatebeam-outcome") == 0)
			return res->headers[i].value;
	}
	return "";
}

static void
on_response(void *arg, const struct agb_httpc_res *res)
{
	struct load_request *const r = arg;
	struct load_generator *const l = r->load;
	const uint64_t now = now_us();
	const char *outcome;

	l->done++;
	if (res->status == AGB_HTTPC_UNSENT) {
		l->unsent++;
	} else if (res->status == AGB_HTTPC_LOST) {
		l->lost++;
	} else if (res->http_status == 200 || res->http_status == 202) {
		l->latencies_ms[l->served++] =
		    (double)(now - r->sent_us) / 1000.0;
		if (now - l->last_served_us > l->longest_gap_us)
			l->longest_gap_us = now - l->last_served_us;
		l->last_served_us = now;
	} else {
		outcome = response_outcome(res);
		if (strcmp(outcome, "not-run") == 0)
			l->not_run++;
		else
			l->outcome_unknown++;
	}
	free(r);
	if (l->done == l->sent && now >= l->end_us)
		uv_stop(&l->loop);
}

static void
send_request(struct load_generator *l)
{
	struct load_request *const r = agb_xcalloc(1, sizeof(*r));
	char attempt[40];
	/* A runner accepts a request only with attempt headers, and with an
	 * attempt number that no other request has. */
	const struct agb_httpc_header headers[] = {
	    {"Authorization", l->authorization},
	    {"Agatebeam-Idempotent", "true"},
	    {"Agatebeam-Attempt", attempt},
	    {"Agatebeam-Epoch", "7fffffffffffffff"},
	};
	const struct agb_httpc_req req = {
	    .addr = l->addrs[l->sent % (uint64_t)l->addrs_len],
	    .method = "POST",
	    .path = l->path,
	    .headers = headers,
	    .headers_len = l->attempt_headers ? 4 : 2,
	    .body = l->body,
	    .body_len = strlen(l->body),
	    .timeout_ms = REQUEST_TIMEOUT_MS,
	    .cb = on_response,
	    .arg = r,
	};

	r->load = l;
	r->sent_us = now_us();
	l->sent++;
	snprintf(attempt, sizeof(attempt), "7fffffffffffffff-%016llx",
	    (unsigned long long)l->sent);
	agb_httpc_request(l->client, &req);
}

static void
on_timer(uv_timer_t *t)
{
	struct load_generator *const l = t->data;
	const uint64_t now = now_us();
	uint64_t target_sent;

	if (now >= l->end_us) {
		uv_timer_stop(t);
		if (l->done == l->sent)
			uv_stop(&l->loop);
		return;
	}
	target_sent =
	    (uint64_t)((double)(now - l->start_us) * l->requests_per_us);
	while (l->sent < target_sent)
		send_request(l);
}

static int
compare_doubles(const void *a, const void *b)
{
	const double x = *(const double *)a;
	const double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double
percentile(const struct load_generator *l, double p)
{
	if (l->served == 0)
		return 0;
	return l->latencies_ms[(size_t)(p * (double)(l->served - 1))];
}

static void
print_report(struct load_generator *l)
{
	qsort(l->latencies_ms, l->served, sizeof(*l->latencies_ms),
	    compare_doubles);
	printf("load_sent %llu requests\n", (unsigned long long)l->sent);
	printf("load_served %llu requests\n", (unsigned long long)l->served);
	printf("load_not_run %llu requests\n", (unsigned long long)l->not_run);
	printf("load_unknown %llu requests\n",
	    (unsigned long long)l->outcome_unknown);
	printf("load_unsent %llu requests\n", (unsigned long long)l->unsent);
	printf("load_lost %llu requests\n", (unsigned long long)l->lost);
	printf("load_p50 %.3f ms\n", percentile(l, 0.5));
	printf("load_p99 %.3f ms\n", percentile(l, 0.99));
	printf("load_max %.3f ms\n", percentile(l, 1));
	printf("load_longest_gap %.3f s\n", (double)l->longest_gap_us / 1e6);
}

static void
run_load(struct load_generator *l, double rate, double seconds)
{
	l->start_us = now_us();
	l->last_served_us = l->start_us;
	l->end_us = l->start_us + (uint64_t)(seconds * 1e6);
	l->requests_per_us = rate / 1e6;
	l->latencies_ms = agb_xcalloc(
	    (size_t)(rate * seconds) + 16, sizeof(*l->latencies_ms));
	uv_loop_init(&l->loop);
	uv_timer_init(&l->loop, &l->timer);
	l->timer.data = l;
	l->client = agb_httpc_new(&l->loop, CLIENT_CONNECTIONS);
	uv_timer_start(&l->timer, on_timer, 0, 1);
	uv_run(&l->loop, UV_RUN_DEFAULT);
	print_report(l);
	agb_httpc_free(l->client);
	uv_close((uv_handle_t *)&l->timer, NULL);
	uv_run(&l->loop, UV_RUN_DEFAULT);
	uv_loop_close(&l->loop);
	free(l->latencies_ms);
}

int
main(int argc, char **argv)
{
	struct arg_str *const addr =
	    arg_strn(NULL, "address", "ADDR", 1, ADDRS_MAX,
		"entry instance or runner; repeated: requests alternate");
	struct arg_str *const path =
	    arg_str1(NULL, "path", "PATH", "path of each request");
	struct arg_str *const credential =
	    arg_str0(NULL, "credential", "TEXT", "credential of the team");
	struct arg_str *const body =
	    arg_str0(NULL, "body", "TEXT", "body of each request");
	struct arg_dbl *const rate =
	    arg_dbl1(NULL, "rate", "N", "requests per second");
	struct arg_dbl *const seconds =
	    arg_dbl1(NULL, "seconds", "N", "duration");
	struct arg_lit *const attempts = arg_lit0(NULL, "attempts",
	    "send attempt headers, as a runner requires them");
	struct arg_end *const end = arg_end(8);
	void *table[] = {
	    addr, path, credential, body, rate, seconds, attempts, end};
	struct load_generator *const l = agb_xcalloc(1, sizeof(*l));
	char authorization[256];
	int i, status;

	status = 2;
	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "measure_load");
		goto out;
	}
	snprintf(authorization, sizeof(authorization), "Bearer %s",
	    credential->count > 0 ? credential->sval[0] : "");
	l->authorization = authorization;
	l->attempt_headers = attempts->count > 0;
	for (i = 0; i < addr->count; i++)
		l->addrs[i] = addr->sval[i];
	l->addrs_len = addr->count;
	l->path = path->sval[0];
	l->body = body->count > 0 ? body->sval[0] : "{}";
	run_load(l, rate->dval[0], seconds->dval[0]);
	status = 0;
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	free(l);
	return status;
}

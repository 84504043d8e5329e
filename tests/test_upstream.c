#include "upstream.h"

#include "raw_client.h"
#include "suite.h"
#include "worker_part.h"

#define SAME_ATTEMPT "Agatebeam-Attempt: 0000000000000005-0000000000000007\r\n"
#define OTHER_ATTEMPT "Agatebeam-Attempt: 0000000000000005-0000000000000008\r\n"
#define ENDS_MAX 16
/* Iterations of the loop, of up to 20 ms each, after which a test fails. */
#define TURNS_MAX 1000

struct attempt_end {
	struct agb_ev_upstream ev;
	bool has_answer;
	size_t headers_len;
	char body[256];
};

/**
 * struct fixture - client under test and the ends of its attempts
 * @script: response of the scripted server
 * @close: the server closes the connection after the response
 * @request: last request that the server received
 */
struct fixture {
	uv_loop_t loop;
	struct agb_upstream *u;
	struct loop_server server;
	const char *script;
	bool close;
	int requests;
	char request[2048];
	int ends;
	struct attempt_end end[ENDS_MAX];
};

static void
on_end(void *arg, struct agb_event *ev, const struct agb_edge_response *rsp)
{
	struct fixture *const f = arg;
	struct attempt_end *const e = &f->end[f->ends % ENDS_MAX];

	CU_ASSERT_EQUAL(ev->type, AGB_EV_UPSTREAM);
	CU_ASSERT_EQUAL(ev->call_id, ev->u.upstream_result.call_id);
	e->ev = ev->u.upstream_result;
	e->has_answer = rsp != NULL;
	e->body[0] = '\0';
	if (rsp != NULL) {
		e->headers_len = rsp->headers_len;
		snprintf(e->body, sizeof(e->body), "%.*s", (int)rsp->body_len,
		    rsp->body != NULL ? (const char *)rsp->body : "");
	}
	CU_ASSERT_EQUAL(
	    rsp != NULL, ev->u.upstream_result.result == AGB_RESULT_OK);
	f->ends++;
}

static void
on_data(struct loop_conn *c)
{
	struct fixture *const f = c->server->arg;

	if (strstr(c->in, "\r\n\r\nhi") == NULL)
		return;
	agb_str_copy(f->request, sizeof(f->request), c->in);
	c->in_len = 0;
	f->requests++;
	if (f->script != NULL)
		loop_conn_write(c, f->script, strlen(f->script));
	if (f->close)
		loop_conn_close(c);
}

static void
setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	uv_loop_init(&f->loop);
	f->u = agb_upstream_new(&f->loop, 4, 1000, on_end, f);
	loop_server_start(&f->loop, &f->server, on_data, f);
}

static void
teardown(struct fixture *f)
{
	agb_upstream_free(f->u);
	loop_server_close(&f->server);
	loop_close(&f->loop);
}

static void
send_attempt_body(
    struct fixture *f, const char *addr, uint64_t seq, const char *body)
{
	const struct agb_edge_request req = {
	    "POST", "/v1/services/a/b", NULL, 0, body, strlen(body)};
	struct agb_ef_upstream ef = {.attempt = {5, seq}};

	agb_str_copy(ef.runner, sizeof(ef.runner), addr);
	agb_upstream_send(f->u, 100 + seq, &ef, &req);
}

static void
send_attempt(
    struct fixture *f, const char *addr, uint64_t seq, uint32_t timeout_ms)
{
	static const struct agb_httpc_header headers[] = {{"x-keep", "1"}};
	const struct agb_edge_request req = {
	    "POST", "/v1/services/a/b?ms=1", headers, 1, "hi", 2};
	struct agb_ef_upstream ef = {
	    .attempt = {5, seq}, .timeout_ms = timeout_ms};

	agb_str_copy(ef.runner, sizeof(ef.runner), addr);
	agb_upstream_send(f->u, 100 + seq, &ef, &req);
}

/* Guards against accepting a response that is truncated, belongs to another
 * attempt or is a refusal, and against reporting a request that may have run as
 * not started. */
static void
test_responses(void)
{
	static const struct {
		const char *name;
		const char *script;
		bool close;
		enum agb_result result;
		enum agb_reason reason;
		int status;
		const char *body;
	} cases[] = {
	    {"complete",
		"HTTP/1.1 200 OK\r\n" SAME_ATTEMPT
		"Content-Length: 2\r\n\r\nab",
		false, AGB_RESULT_OK, AGB_REASON_NONE, 200, "ab"},
	    {"chunked",
		"HTTP/1.1 201 OK\r\n" SAME_ATTEMPT
		"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		false, AGB_RESULT_OK, AGB_REASON_NONE, 201, "ab"},
	    {"the runner's own error",
		"HTTP/1.1 500 E\r\n" SAME_ATTEMPT "Content-Length: 1\r\n\r\ne",
		false, AGB_RESULT_OK, AGB_REASON_NONE, 500, "e"},
	    {"the runner's own 503",
		"HTTP/1.1 503 E\r\n" SAME_ATTEMPT "Content-Length: 1\r\n\r\ne",
		false, AGB_RESULT_OK, AGB_REASON_NONE, 503, "e"},
	    {"200 that says not-run",
		"HTTP/1.1 200 OK\r\n" SAME_ATTEMPT
		"Agatebeam-Outcome: not-run\r\n"
		"Content-Length: 0\r\n\r\n",
		false, AGB_RESULT_OK, AGB_REASON_NONE, 200, ""},
	    {"refused",
		"HTTP/1.1 503 E\r\n" SAME_ATTEMPT
		"Agatebeam-Outcome: not-run\r\n"
		"Content-Length: 0\r\n\r\n",
		false, AGB_RESULT_NOT_STARTED, AGB_REASON_UPSTREAM_REFUSED, 503,
		""},
	    {"refusal of another request",
		"HTTP/1.1 503 E\r\n" OTHER_ATTEMPT
		"Agatebeam-Outcome: not-run\r\n"
		"Content-Length: 0\r\n\r\n",
		false, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_SHORT, 503, ""},
	    {"refusal without attempt",
		"HTTP/1.1 503 E\r\nAgatebeam-Outcome: not-run\r\n"
		"Content-Length: 0\r\n\r\n",
		false, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_SHORT, 503, ""},
	    {"no attempt", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		false, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_SHORT, 200, ""},
	    {"another attempt",
		"HTTP/1.1 200 OK\r\n" OTHER_ATTEMPT
		"Content-Length: 2\r\n\r\nab",
		false, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_SHORT, 200, ""},
	    {"two attempts",
		"HTTP/1.1 200 OK\r\n" SAME_ATTEMPT SAME_ATTEMPT
		"Content-Length: 2\r\n\r\nab",
		false, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_SHORT, 200, ""},
	    {"truncated body",
		"HTTP/1.1 200 OK\r\n" SAME_ATTEMPT
		"Content-Length: 3\r\n\r\nab",
		true, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_SHORT, 200, ""},
	    {"no last chunk",
		"HTTP/1.1 200 OK\r\n" SAME_ATTEMPT
		"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		true, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_SHORT, 200, ""},
	    {"bad chunk",
		"HTTP/1.1 200 OK\r\n" SAME_ATTEMPT
		"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
		true, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_SHORT, 200, ""},
	    /* httpc rejects these heads, so there is no HTTP status. */
	    {"carriage return in a header",
		"HTTP/1.1 200 OK\r\n" SAME_ATTEMPT "X: a\rY: b\r\n"
		"Content-Length: 0\r\n\r\n",
		false, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_LOST, 0, ""},
	    {"no length", "HTTP/1.1 200 OK\r\n" SAME_ATTEMPT "\r\nab", true,
		AGB_RESULT_LOST, AGB_REASON_UPSTREAM_LOST, 0, ""},
	    {"too large",
		"HTTP/1.1 200 OK\r\n" SAME_ATTEMPT
		"Content-Length: 1001\r\n\r\nab",
		false, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_LOST, 0, ""},
	    {"truncated head", "HTTP/1.1 200 OK\r\n" SAME_ATTEMPT, true,
		AGB_RESULT_LOST, AGB_REASON_UPSTREAM_LOST, 0, ""},
	    {"no response", "", true, AGB_RESULT_LOST, AGB_REASON_UPSTREAM_LOST,
		0, ""},
	    {"not HTTP", "hello\r\n\r\n", true, AGB_RESULT_LOST,
		AGB_REASON_UPSTREAM_LOST, 0, ""},
	};
	struct fixture f;
	struct attempt_end *e;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup(&f);
		f.script = cases[i].script;
		f.close = cases[i].close;
		send_attempt(&f, f.server.addr, 7, 0);
		CU_ASSERT_EQUAL(f.ends, 0);
		loop_until(&f.loop, &f.ends, 1);
		e = &f.end[0];
		if (e->ev.result != cases[i].result ||
		    e->ev.reason != cases[i].reason ||
		    e->ev.http_status != cases[i].status ||
		    strcmp(e->body, cases[i].body) != 0)
			printf("\n%s: result %d reason %s status %d\n",
			    cases[i].name, e->ev.result,
			    agb_reason_name(e->ev.reason), e->ev.http_status);
		CU_ASSERT_EQUAL(e->ev.result, cases[i].result);
		CU_ASSERT_EQUAL(e->ev.reason, cases[i].reason);
		CU_ASSERT_EQUAL(e->ev.http_status, cases[i].status);
		CU_ASSERT_EQUAL(e->ev.attempt.epoch, 5);
		CU_ASSERT_EQUAL(e->ev.attempt.seq, 7);
		CU_ASSERT_STRING_EQUAL(e->body, cases[i].body);
		CU_ASSERT_EQUAL(agb_upstream_attempts_active(f.u), 0);
		teardown(&f);
	}
}

/* Guards against reusing a connection after a response to another attempt: each
 * later response on it would belong to the previous request. */
static void
test_mismatched_response(void)
{
	struct fixture f;

	setup(&f);
	f.script =
	    "HTTP/1.1 200 OK\r\n" OTHER_ATTEMPT "Content-Length: 2\r\n\r\nab";
	send_attempt(&f, f.server.addr, 7, 0);
	loop_until(&f.loop, &f.ends, 1);
	f.script =
	    "HTTP/1.1 200 OK\r\n" SAME_ATTEMPT "Content-Length: 2\r\n\r\nab";
	send_attempt(&f, f.server.addr, 7, 0);
	loop_until(&f.loop, &f.ends, 2);
	CU_ASSERT_EQUAL(f.end[0].ev.result, AGB_RESULT_LOST);
	CU_ASSERT_EQUAL(f.end[1].ev.result, AGB_RESULT_OK);
	CU_ASSERT_EQUAL(f.server.accepted, 2);
	send_attempt(&f, f.server.addr, 7, 0);
	loop_until(&f.loop, &f.ends, 3);
	CU_ASSERT_EQUAL(f.server.accepted, 2);
	teardown(&f);
}

/* Guards against altering the request for the runner, and against forwarding
 * hop-by-hop headers and headers that only this system may set in the
 * response. */
static void
test_headers(void)
{
	struct fixture f;

	setup(&f);
	f.script =
	    "HTTP/1.1 200 OK\r\n" SAME_ATTEMPT "X-Keep: 1\r\nX-Hop: 1\r\n"
	    "Connection: keep-alive, X-Hop\r\nKeep-Alive: 5\r\n"
	    "Agatebeam-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
	send_attempt(&f, f.server.addr, 7, 0);
	loop_until(&f.loop, &f.ends, 1);
	CU_ASSERT_EQUAL(f.end[0].headers_len, 1);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(f.request, "POST /v1/services/a/b?ms=1 HTTP/1.1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(f.request, "x-keep: 1\r\n"));
	CU_ASSERT_PTR_NOT_NULL(strcasestr(f.request, SAME_ATTEMPT));
	CU_ASSERT_PTR_NOT_NULL(
	    strcasestr(f.request, "\r\nagatebeam-epoch: 0000000000000005\r\n"));
	CU_ASSERT_PTR_NOT_NULL(
	    strcasestr(f.request, "\r\ncontent-length: 2\r\n"));
	teardown(&f);
}

/* Guards against reporting a request that was never sent as lost, and a request
 * that was sent as not started. */
static void
test_sent_or_not(void)
{
	const struct agb_attempt a7 = {5, 7}, a8 = {5, 8}, a9 = {5, 9};
	struct fixture f;
	char closed[64];

	setup(&f);
	send_attempt(&f, "nowhere:80", 1, 0);
	loop_until(&f.loop, &f.ends, 1);
	CU_ASSERT_EQUAL(f.end[0].ev.result, AGB_RESULT_NOT_STARTED);
	agb_str_copy(closed, sizeof(closed), f.server.addr);
	/* Aborted before the loop runs: no byte is written. */
	send_attempt(&f, f.server.addr, 7, 0);
	agb_upstream_abort(f.u, 107, &a7);
	agb_upstream_abort(f.u, 107, &a7);
	CU_ASSERT_EQUAL(f.ends, 1);
	loop_until(&f.loop, &f.ends, 2);
	CU_ASSERT_EQUAL(f.end[1].ev.result, AGB_RESULT_NOT_STARTED);
	CU_ASSERT_EQUAL(f.requests, 0);
	/* Aborted after the runner has received the request. */
	send_attempt(&f, f.server.addr, 8, 0);
	agb_upstream_abort(f.u, 108, &a9);
	loop_until(&f.loop, &f.requests, 1);
	CU_ASSERT_EQUAL(f.ends, 2);
	agb_upstream_abort(f.u, 108, &a8);
	loop_until(&f.loop, &f.ends, 3);
	CU_ASSERT_EQUAL(f.end[2].ev.result, AGB_RESULT_LOST);
	/* No response before the timeout. */
	send_attempt(&f, f.server.addr, 9, 20);
	loop_until(&f.loop, &f.ends, 4);
	CU_ASSERT_EQUAL(f.end[3].ev.result, AGB_RESULT_LOST);
	CU_ASSERT_EQUAL(f.end[3].ev.reason, AGB_REASON_DEADLINE);
	/* The port has no listener any more. */
	uv_close((uv_handle_t *)&f.server.tcp, NULL);
	uv_run(&f.loop, UV_RUN_NOWAIT);
	send_attempt(&f, closed, 10, 0);
	loop_until(&f.loop, &f.ends, 5);
	CU_ASSERT_EQUAL(f.end[4].ev.result, AGB_RESULT_NOT_STARTED);
	CU_ASSERT_EQUAL(f.end[4].ev.reason, AGB_REASON_UPSTREAM_LOST);
	/* Attempts that are active when the client is freed end without a
	 * callback. */
	agb_upstream_free(f.u);
	uv_run(&f.loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(f.ends, 5);
	CU_ASSERT_EQUAL(uv_loop_close(&f.loop), 0);
}

/* Guards against accepting an attempt id in more than one text form. */
static void
test_attempt_text(void)
{
	static const char *const bad[] = {"", "5-7",
	    "0000000000000005_0000000000000007",
	    "0000000000000005-000000000000000G",
	    "000000000000000A-0000000000000007",
	    "0000000000000005-00000000000000070",
	    "0x00000000000005-0000000000000007"};
	struct agb_attempt a = {UINT64_MAX, 0x1234}, b;
	char text[AGB_ATTEMPT_TEXT_LEN];
	size_t i;

	agb_attempt_format(&a, text);
	CU_ASSERT_STRING_EQUAL(text, "ffffffffffffffff-0000000000001234");
	CU_ASSERT_TRUE(agb_attempt_parse(text, &b));
	CU_ASSERT_TRUE(a.epoch == b.epoch && a.seq == b.seq);
	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		CU_ASSERT_FALSE(agb_attempt_parse(bad[i], &b));
}

/* Guards against accepting responses of a runner that swaps, truncates or
 * mislabels them, and against reporting a request as lost or run that the runner
 * refused because it has no free slot, is leaving, or has seen the attempt. */
static void
test_runner(void)
{
	static const struct worker_opts opts = {.name = "w",
	    .listen = "127.0.0.1",
	    .platform = "",
	    .region = "r",
	    .domain = "d",
	    .rack = "k",
	    .service = "a",
	    .slots = 2,
	    .connections = 8};
	static const struct worker_opts one_slot = {
	    .name = "v", .listen = "127.0.0.1", .slots = 1, .connections = 8};
	struct fixture f;
	int turns;
	struct worker *w;

	setup(&f);
	w = worker_new(&f.loop, &opts);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w);
	send_attempt(&f, worker_runner_addr(w), 1, 0);
	loop_until(&f.loop, &f.ends, 1);
	CU_ASSERT_EQUAL(f.end[0].ev.result, AGB_RESULT_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.end[0].body, "\"body\":\"hi\""));
	/* The runner refuses a repeated attempt. */
	send_attempt(&f, worker_runner_addr(w), 1, 0);
	loop_until(&f.loop, &f.ends, 2);
	CU_ASSERT_EQUAL(f.end[1].ev.result, AGB_RESULT_NOT_STARTED);

	CU_ASSERT_TRUE(worker_set_faults(w, "{\"swap_answers\":2}"));
	send_attempt(&f, worker_runner_addr(w), 2, 0);
	send_attempt(&f, worker_runner_addr(w), 3, 0);
	loop_until(&f.loop, &f.ends, 4);
	CU_ASSERT_EQUAL(f.end[2].ev.result, AGB_RESULT_LOST);
	CU_ASSERT_EQUAL(f.end[3].ev.result, AGB_RESULT_LOST);

	CU_ASSERT_TRUE(worker_set_faults(w, "{\"truncate\":1}"));
	send_attempt(&f, worker_runner_addr(w), 4, 0);
	loop_until(&f.loop, &f.ends, 5);
	CU_ASSERT_EQUAL(f.end[4].ev.result, AGB_RESULT_LOST);
	CU_ASSERT_EQUAL(f.end[4].ev.reason, AGB_REASON_UPSTREAM_SHORT);

	CU_ASSERT_TRUE(worker_set_faults(w, "{\"wrong_attempt\":1}"));
	send_attempt(&f, worker_runner_addr(w), 5, 0);
	loop_until(&f.loop, &f.ends, 6);
	CU_ASSERT_EQUAL(f.end[5].ev.result, AGB_RESULT_LOST);

	CU_ASSERT_TRUE(worker_set_faults(w, "{\"leaving\":true}"));
	send_attempt(&f, worker_runner_addr(w), 9, 0);
	loop_until(&f.loop, &f.ends, 7);
	CU_ASSERT_EQUAL(f.end[6].ev.result, AGB_RESULT_NOT_STARTED);
	CU_ASSERT_EQUAL(f.end[6].ev.reason, AGB_REASON_UPSTREAM_REFUSED);
	CU_ASSERT_PTR_NULL(strstr(worker_history(w), "0000000000000009"));
	worker_free(w);

	/* The first request occupies the only slot until the end of the test. */
	w = worker_new(&f.loop, &one_slot);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w);
	send_attempt_body(&f, worker_runner_addr(w), 10, "{\"ms\":600000}");
	for (turns = 0; turns < TURNS_MAX &&
	     strstr(worker_history(w), "request-start") == NULL;
	     turns++)
		uv_run(&f.loop, UV_RUN_ONCE);
	send_attempt(&f, worker_runner_addr(w), 11, 0);
	loop_until(&f.loop, &f.ends, 8);
	CU_ASSERT_EQUAL(f.end[7].ev.attempt.seq, 11);
	CU_ASSERT_EQUAL(f.end[7].ev.result, AGB_RESULT_NOT_STARTED);
	CU_ASSERT_EQUAL(worker_violations(w), 1);
	worker_free(w);
	teardown(&f);
}

/**
 * struct edge_to_runner - edge, upstream client and runner, connected as in
 * the daemon
 */
struct edge_to_runner {
	struct fixture f;
	struct agb_edge *e;
	struct worker *w;
	uint64_t seq;
};

static void
forward_call(void *arg, struct agb_event *ev)
{
	struct edge_to_runner *const c = arg;
	struct agb_ef_upstream ef = {.attempt = {5, ++c->seq}};
	struct agb_edge_request req;

	CU_ASSERT_EQUAL(ev->type, AGB_EV_CALL);
	CU_ASSERT_TRUE(agb_edge_request_get(c->e, ev->call_id, &req));
	agb_str_copy(ef.runner, sizeof(ef.runner), worker_runner_addr(c->w));
	agb_upstream_send(c->f.u, ev->call_id, &ef, &req);
}

static void
reply_to_call(
    void *arg, struct agb_event *ev, const struct agb_edge_response *rsp)
{
	struct edge_to_runner *const c = arg;
	struct agb_ef_reply r = {.http_status = 502,
	    .outcome = AGB_OUTCOME_UNKNOWN,
	    .reason = ev->u.upstream_result.reason};

	if (rsp == NULL) {
		CU_ASSERT_TRUE(agb_edge_reply(c->e, ev->call_id, &r));
		return;
	}
	CU_ASSERT_TRUE(agb_edge_response_set(c->e, ev->call_id, rsp));
	CU_ASSERT_TRUE(agb_edge_forward(c->e, ev->call_id));
}

/* Guards against losing a request or a response between edge and runner. */
static void
test_edge_to_runner(void)
{
	static const struct worker_opts opts = {
	    .name = "w", .listen = "127.0.0.1", .slots = 8, .connections = 8};
	static const struct agb_edge_cbs cbs = {.on_event = forward_call};
	static const char bytes[] =
	    "POST /v1/services/a/b?ms=1 HTTP/1.1\r\nHost: a\r\n"
	    "Content-Length: 4\r\n\r\nping";
	struct agb_settings s = {.http = "127.0.0.1:0",
	    .head_max = 1000,
	    .body_max = 1000,
	    .connections_max = 10,
	    .head_timeout_ms = 60000,
	    .call_timeout_ms = 60000};
	struct raw_client *r;
	struct edge_to_runner c = {0};
	char buf[64];

	uv_loop_init(&c.f.loop);
	c.f.u = agb_upstream_new(&c.f.loop, 4, 10000, reply_to_call, &c);
	c.e = agb_edge_new(&c.f.loop, &s, &cbs, &c);
	c.w = worker_new(&c.f.loop, &opts);
	r = raw_client_open(
	    &c.f.loop, agb_edge_address(c.e), bytes, sizeof(bytes) - 1);
	loop_until(&c.f.loop, &r->responses, 1);
	CU_ASSERT_EQUAL(raw_response_status(r), 200);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(raw_response_body(r), "\"body\":\"ping\""));
	CU_ASSERT_STRING_EQUAL(
	    raw_response_header(r->in, "agatebeam-outcome", buf, sizeof(buf)),
	    "");
	CU_ASSERT_STRING_EQUAL(
	    raw_response_header(r->in, "agatebeam-attempt", buf, sizeof(buf)),
	    "");
	worker_set_faults(c.w, "{\"truncate\":1}");
	raw_client_send(r, bytes);
	loop_until(&c.f.loop, &r->responses, 2);
	CU_ASSERT_EQUAL(raw_response_status(r), 502);
	CU_ASSERT_STRING_EQUAL(raw_response_header(r->in + r->last_response,
				   "agatebeam-outcome", buf, sizeof(buf)),
	    "unknown");
	CU_ASSERT_PTR_NULL(strstr(raw_response_body(r), "ping"));
	raw_client_close(r);
	agb_upstream_free(c.f.u);
	agb_edge_free(c.e);
	worker_free(c.w);
	loop_close(&c.f.loop);
}

int
main(void)
{
	static const struct suite_test tests[] = {
	    {"responses", test_responses},
	    {"connection after a mismatched response",
		test_mismatched_response},
	    {"headers", test_headers},
	    {"sent or not", test_sent_or_not},
	    {"attempt text", test_attempt_text},
	    {"runner", test_runner},
	    {"edge to runner", test_edge_to_runner},
	};

	return suite_run("upstream", tests, sizeof(tests) / sizeof(tests[0]));
}

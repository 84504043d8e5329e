#include "edge.h"

#include <errno.h>

#include "edge_parse.h"
#include "mem.h"
#include "raw_client.h"
#include "suite.h"

#define HOST "Host: a\r\n"
#define QUICK "POST /v1/services/price-check/x?ms=1 HTTP/1.1\r\n" HOST

/**
 * struct fixture - edge under test and the events it has raised
 * @hold: leave calls pending; otherwise each call gets a 200 reply immediately
 * @calls: number of AGB_EV_CALL events
 * @gone: number of AGB_EV_CALL_CLOSED events
 * @last: last call, except for its args, which are in @args
 * @ids: ids of the first calls
 */
struct fixture {
	uv_loop_t loop;
	struct agb_edge *e;
	struct agb_settings s;
	bool hold;
	int calls;
	int gone;
	struct agb_ev_call last;
	char args[256];
	uint64_t ids[16];
	uint64_t gone_id;
};

static void
reply_ok(struct fixture *f, uint64_t id)
{
	struct agb_ef_reply r = {
	    .http_status = 200, .outcome = AGB_OUTCOME_RAN, .detail = "done"};

	CU_ASSERT_TRUE(agb_edge_reply(f->e, id, &r));
}

static void
on_event(void *arg, struct agb_event *ev)
{
	struct fixture *const f = arg;

	if (ev->type == AGB_EV_CALL_CLOSED) {
		f->gone++;
		f->gone_id = ev->call_id;
		return;
	}
	CU_ASSERT_EQUAL(ev->type, AGB_EV_CALL);
	CU_ASSERT_EQUAL(ev->call_id, ev->u.call.id);
	f->last = ev->u.call;
	f->last.args = NULL;
	agb_str_copy(f->args, sizeof(f->args), ev->u.call.args);
	if (f->calls < 16)
		f->ids[f->calls] = ev->call_id;
	f->calls++;
	if (!f->hold)
		reply_ok(f, ev->call_id);
}

static void
setup(struct fixture *f)
{
	static const struct agb_edge_cbs cbs = {.on_event = on_event};

	uv_loop_init(&f->loop);
	agb_str_copy(f->s.http, sizeof(f->s.http), "127.0.0.1:0");
	if (f->s.head_max == 0)
		f->s.head_max = 2000;
	if (f->s.body_max == 0)
		f->s.body_max = 3000;
	if (f->s.connections_max == 0)
		f->s.connections_max = 100;
	if (f->s.head_timeout_ms == 0)
		f->s.head_timeout_ms = 60000;
	if (f->s.call_timeout_ms == 0)
		f->s.call_timeout_ms = 60000;
	f->e = agb_edge_new(&f->loop, &f->s, &cbs, f);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->e);
}

static void
teardown(struct fixture *f)
{
	agb_edge_free(f->e);
	loop_close(&f->loop);
}

static struct raw_client *
send_request(struct fixture *f, const char *bytes, size_t len)
{
	return raw_client_open(&f->loop, agb_edge_address(f->e), bytes, len);
}

static void
check_response(const struct raw_client *c, const char *name, int status,
    const char *outcome, const char *text)
{
	char buf[64], length[32];

	raw_response_header(
	    c->in + c->last_response, "agatebeam-outcome", buf, sizeof(buf));
	if (raw_response_status(c) != status || strcmp(buf, outcome) != 0 ||
	    strstr(raw_response_body(c), text) == NULL)
		printf("\n%s: got: %s\n", name, c->in + c->last_response);
	CU_ASSERT_EQUAL(raw_response_status(c), status);
	CU_ASSERT_STRING_EQUAL(buf, outcome);
	CU_ASSERT_PTR_NOT_NULL(strstr(raw_response_body(c), text));
	raw_response_header(
	    c->in + c->last_response, "content-length", length, sizeof(length));
	CU_ASSERT_STRING_NOT_EQUAL(length, "");
}

/* Guards against accepting an invalid request or refusing a valid one, and
 * against refusals without outcome and reason. */
static void
test_requests(void)
{
	static const struct {
		const char *name;
		const char *bytes;
		int status;
		const char *outcome;
		const char *text;
	} cases[] = {
	    {"quick", QUICK "Content-Length: 2\r\n\r\nhi", 200, "ran",
		"\"outcome\":\"ran\",\"reason\":\"none\""},
	    {"chunked",
		QUICK "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		200, "ran", "done"},
	    {"job get", "GET /v1/jobs/j1?wait=30s HTTP/1.1\r\n" HOST "\r\n",
		200, "ran", "done"},
	    {"job delete", "DELETE /v1/jobs/j1 HTTP/1.1\r\n" HOST "\r\n", 200,
		"ran", "done"},
	    {"status", "GET /v1/status HTTP/1.1\r\n" HOST "\r\n", 200, "ran",
		"done"},
	    {"explain a task", "GET /v1/explain/j1/7 HTTP/1.1\r\n" HOST "\r\n",
		200, "ran", "done"},
	    {"healthz", "GET /healthz HTTP/1.1\r\n" HOST "\r\n", 200, "ran",
		"ok"},
	    {"not ready", "GET /readyz HTTP/1.1\r\n" HOST "\r\n", 503,
		"not-run", "not ready"},
	    {"metrics", "GET /metrics HTTP/1.1\r\n" HOST "\r\n", 200, "ran",
		"agatebeam_edge_calls_total"},
	    {"unknown path", "GET /nothing HTTP/1.1\r\n" HOST "\r\n", 404,
		"not-run", "not-found"},
	    {"no service name", "POST /v1/services// HTTP/1.1\r\n" HOST "\r\n",
		404, "not-run", "no-service"},
	    {"service method", "GET /v1/services/a/b HTTP/1.1\r\n" HOST "\r\n",
		405, "not-run", "bad-request"},
	    {"job method", "PUT /v1/jobs/j1 HTTP/1.1\r\n" HOST "\r\n", 405,
		"not-run", "bad-request"},
	    {"wait too long",
		"GET /v1/jobs/j1?wait=301s HTTP/1.1\r\n" HOST "\r\n", 400,
		"not-run", "wait=TIME"},
	    {"unknown query", "GET /v1/jobs/j1?x=1 HTTP/1.1\r\n" HOST "\r\n",
		400, "not-run", "wait=TIME"},
	    {"dot segments",
		"POST /v1/services/a/%2e./b HTTP/1.1\r\n" HOST "\r\n", 400,
		"not-run", "dot segments"},
	    {"basic credential", QUICK "Authorization: Basic YTpi\r\n\r\n", 401,
		"not-run", "bad-credential"},
	    {"empty credential", QUICK "Authorization: Bearer \r\n\r\n", 401,
		"not-run", "bad-credential"},
	    {"two credentials",
		QUICK "Authorization: Bearer a\r\nAuthorization: Bearer "
		      "a\r\n\r\n",
		401, "not-run", "bad-credential"},
	    {"credential with space", QUICK "Authorization: Bearer a b\r\n\r\n",
		401, "not-run", "bad-credential"},
	    {"bad deadline", QUICK "Agatebeam-Deadline-Ms: 1e3\r\n\r\n", 400,
		"not-run", "Agatebeam-Deadline-Ms"},
	    {"deadline zero", QUICK "Agatebeam-Deadline-Ms: 0\r\n\r\n", 400,
		"not-run", "Agatebeam-Deadline-Ms"},
	    {"deadline too long",
		QUICK "Agatebeam-Deadline-Ms: 2592000001\r\n\r\n", 400,
		"not-run", "Agatebeam-Deadline-Ms"},
	    {"two bad headers",
		QUICK "Agatebeam-Idempotent: yes\r\nAgatebeam-Deadline-Ms: "
		      "-1\r\n\r\n",
		400, "not-run",
		"integer from 1 to 2592000000; Agatebeam-Idempotent"},
	    {"two keys",
		QUICK "Idempotency-Key: a\r\nIdempotency-Key: a\r\n\r\n", 400,
		"not-run", "Idempotency-Key"},
	    {"two lengths",
		QUICK "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", 400,
		"not-run", "malformed"},
	    {"length and chunks",
		QUICK "Content-Length: 2\r\nTransfer-Encoding: "
		      "chunked\r\n\r\n0\r\n\r\n",
		400, "not-run", "malformed"},
	    {"unknown coding", QUICK "Transfer-Encoding: gzip\r\n\r\n", 400,
		"not-run", "malformed"},
	    {"signed length", QUICK "Content-Length: +2\r\n\r\nhi", 400,
		"not-run", "malformed"},
	    {"no host", "GET /healthz HTTP/1.1\r\n\r\n", 400, "not-run",
		"malformed"},
	    {"bare line feeds", "GET /healthz HTTP/1.1\nHost: a\n\n", 400,
		"not-run", "malformed"},
	    {"folded header", QUICK "X: a\r\n b\r\n\r\n", 400, "not-run",
		"malformed"},
	    {"space before colon", QUICK "Content-Length : 2\r\n\r\nhi", 400,
		"not-run", "malformed"},
	    {"not HTTP", "hello\r\n\r\n", 400, "not-run", "malformed"},
	    {"absolute target", "GET http://a/healthz HTTP/1.1\r\n" HOST "\r\n",
		400, "not-run", "malformed"},
	    {"asterisk target", "OPTIONS * HTTP/1.1\r\n" HOST "\r\n", 400,
		"not-run", "bad-request"},
	    {"bad chunk",
		QUICK "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n", 400,
		"not-run", "malformed"},
	    {"announced body too large", QUICK "Content-Length: 3001\r\n\r\n",
		413, "not-run", "larger than the limit"},
	    {"chunk too large",
		QUICK "Transfer-Encoding: chunked\r\n\r\nfff\r\n", 413,
		"not-run", "larger than the limit"},
	    {"duplicate keys in a job",
		"POST /v1/jobs HTTP/1.1\r\n" HOST
		"Content-Length: 23\r\n\r\n{\"work\":\"a\",\"work\":\"a\"}",
		400, "not-run", "line 1 /work: duplicate key"},
	};
	struct fixture f = {0};
	struct raw_client *c;
	size_t i;

	setup(&f);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		if (strcmp(cases[i].name, "chunk too large") == 0) {
			char big[8192];

			snprintf(big, sizeof(big), "%s%04095d\r\n0\r\n\r\n",
			    cases[i].bytes, 0);
			c = send_request(&f, big, strlen(big));
		} else
			c = send_request(
			    &f, cases[i].bytes, strlen(cases[i].bytes));
		loop_until(&f.loop, &c->responses, 1);
		check_response(c, cases[i].name, cases[i].status,
		    cases[i].outcome, cases[i].text);
		raw_client_close(c);
	}
	CU_ASSERT_EQUAL(f.calls, 6);
	teardown(&f);
}

/* Guards against accepting a job body with an error, and against reporting
 * only the first of several errors. */
static void
test_job_body(void)
{
	static const struct {
		const char *body;
		const char *detail;
		const char *detail2;
	} cases[] = {
	    {"{\"work\":\"a\"}", NULL, NULL},
	    {"{\"work\":\"a\",\"tasks\":100000,\"need\":{\"cpu_milli\":1,"
	     "\"mem_mb\":1,\"accel\":0},\"run_ms\":0,\"deadline_ms\":1,"
	     "\"idempotent\":true,\"args\":{\"k\":[1,{\"k\":null}]}}",
		NULL, NULL},
	    {"", "line 1: text ends where a value is expected", ""},
	    {"null", "is null; expected an object", ""},
	    {"[]", "is an array; expected an object", ""},
	    {"{\"work\":\"a\"} x", "text goes on after the end", ""},
	    {"{\"work\":\"a\",}", "trailing comma", ""},
	    {"{'work':'a'}", "single quotes", ""},
	    {"{\"work\":\"a\"/**/}", "expected a comma or }", ""},
	    {"{\"tasks\":0,\"x\":1}", "/x: unknown key", "/work: is missing"},
	    {"{\"work\":\"a\",\"tasks\":0,\"run_ms\":-1}",
		"/tasks: is 0; allowed", "/run_ms: is -1; allowed"},
	    {"{\"work\":\"a\",\"tasks\":1.5}",
		"/tasks: is a number with a fraction", ""},
	    {"{\"work\":\"a\",\"tasks\":01}", "leading zero", ""},
	    {"{\"work\":\"a\",\"tasks\":\"1\"}",
		"/tasks: is a string; expected an integer", ""},
	    {"{\"work\":\"a\",\"tasks\":100001}", "1 to 100000", ""},
	    {"{\"work\":\"a\",\"tasks\":99999999999999999999}",
		"larger than 64 bits", ""},
	    {"{\"work\":\"a\",\"tasks\":1,\"t\\u0061sks\":2}",
		"line 1 /tasks: duplicate key", ""},
	    {"{\"work\":\"a\",\"args\":{\"a\":1,\"a\":2}}",
		"line 1 /args/a: duplicate key", ""},
	    {"{\"work\":\"a/b\"}", "/work: must be a name", ""},
	    {"{\"work\":\"a\\u0000b\"}", "/work: \\u0000 is not allowed", ""},
	    {"{\"work\":\"a\",\"need\":{\"cpu\":1}}", "/need/cpu: unknown",
		"/need/mem_mb: is missing"},
	    {"{\"work\":\"a\",\"need\":{\"cpu_milli\":100000001,"
	     "\"mem_mb\":0}}",
		"/need/cpu_milli: is 100000001; allowed",
		"/need/mem_mb: is 0; allowed"},
	    {"{\"work\":\"a\",\"args\":[]}",
		"/args: is an array; expected an object", ""},
	    {"{\"work\":\"a\",\"idempotent\":1}",
		"/idempotent: is an integer; expected true or false", ""},
	    {"{\"work\":\"a\",\"idempotent\":true,\"deadline_ms\":5}",
		"differs from the header Agatebeam-Idempotent",
		"differs from the header Agatebeam-Deadline-Ms"},
	    {"{\"work\":\"\xff\"}", "invalid UTF-8", ""},
	};
	static const struct agb_edge_field fields[] = {
	    {{"agatebeam-idempotent", 20}, {"false", 5}},
	    {{"agatebeam-deadline-ms", 21}, {"7", 1}},
	};
	struct agb_edge_raw_request raw = {
	    .method = {"POST", 4}, .path = {"/v1/jobs", 8}, .fields = fields};
	struct agb_edge_refusal refusal;
	enum agb_edge_target target;
	struct agb_ev_call call;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		raw.body.p = cases[i].body;
		raw.body.len = strlen(cases[i].body);
		raw.fields_len =
		    cases[i].detail != NULL && cases[i].detail[0] == 'd' ? 2
									 : 0;
		target = agb_edge_parse_request(&raw, &call, &refusal);
		if (cases[i].detail == NULL) {
			CU_ASSERT_EQUAL(target, AGB_TARGET_CALL);
			free((char *)(uintptr_t)call.args);
			continue;
		}
		CU_ASSERT_EQUAL(target, AGB_TARGET_REFUSED);
		CU_ASSERT_EQUAL(refusal.http_status, 400);
		CU_ASSERT_EQUAL(refusal.reason, AGB_REASON_BAD_REQUEST);
		if (strstr(refusal.detail, cases[i].detail) == NULL ||
		    strstr(refusal.detail, cases[i].detail2) == NULL) {
			printf("\n%s: %s\n", cases[i].body, refusal.detail);
			CU_FAIL("finding is missing");
		}
	}
}

/* Guards against request fields that are missing in the event for the daemon,
 * and against an event with the credential in plain text instead of its hash. */
static void
test_event_fields(void)
{
	static const char job[] =
	    "{\"work\":\"wear\",\"tasks\":3,\"need\":{\"cpu_milli\":1500,"
	    "\"mem_mb\":64,\"accel\":2},\"run_ms\":900,\"idempotent\":true,"
	    "\"args\":{\"a\":[1,2]}}";
	struct fixture f = {0};
	struct raw_client *c;
	char bytes[1024];

	setup(&f);
	snprintf(bytes, sizeof(bytes),
	    "POST /v1/jobs HTTP/1.1\r\n" HOST "Authorization: bearer abc\r\n"
	    "Idempotency-Key: k-1\r\nAgatebeam-Deadline-Ms: 4200\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(job), job);
	c = send_request(&f, bytes, strlen(bytes));
	loop_until(&f.loop, &c->responses, 1);
	CU_ASSERT_EQUAL(f.last.kind, AGB_CALL_JOB_SUBMIT);
	CU_ASSERT_STRING_EQUAL(f.last.credential,
	    "ba7816bf8f01cfea414140de5dae2223"
	    "b00361a396177a9cb410ff61f20015ad");
	CU_ASSERT_STRING_EQUAL(f.last.work, "wear");
	CU_ASSERT_STRING_EQUAL(f.last.key, "k-1");
	CU_ASSERT_EQUAL(f.last.deadline_ms, 4200);
	CU_ASSERT_EQUAL(f.last.tasks, 3);
	CU_ASSERT_EQUAL(f.last.need.cpu_milli, 1500);
	CU_ASSERT_EQUAL(f.last.need.mem_mb, 64);
	CU_ASSERT_EQUAL(f.last.need.accel, 2);
	CU_ASSERT_EQUAL(f.last.run_ms, 900);
	CU_ASSERT_TRUE(f.last.idempotent);
	CU_ASSERT_STRING_EQUAL(f.args, "{\"a\":[1,2]}");
	raw_client_close(c);

	c = send_request(&f,
	    "GET /v1/jobs/j-9?wait=250ms HTTP/1.1\r\n" HOST "\r\n",
	    strlen("GET /v1/jobs/j-9?wait=250ms HTTP/1.1\r\n" HOST "\r\n"));
	loop_until(&f.loop, &c->responses, 1);
	CU_ASSERT_EQUAL(f.last.kind, AGB_CALL_JOB_GET);
	CU_ASSERT_STRING_EQUAL(f.last.job, "j-9");
	CU_ASSERT_STRING_EQUAL(f.last.credential, "");
	CU_ASSERT_EQUAL(f.last.wait_ms, 250);
	CU_ASSERT_FALSE(f.last.idempotent);
	raw_client_close(c);
	teardown(&f);
}

/* Guards against unbounded memory use for a large head, and against closing
 * the connection without a response while the client is still sending. */
static void
test_head_too_large(void)
{
	struct agb_edge_counters n;
	struct fixture f = {0};
	struct raw_client *c;
	char *big;

	setup(&f);
	big = malloc(1000000);
	memset(big, 'x', 1000000);
	memcpy(big, QUICK "X: ", sizeof(QUICK "X: ") - 1);
	c = send_request(&f, big, 1000000);
	loop_until(&f.loop, &c->responses, 1);
	check_response(c, "long head", 431, "not-run", "bad-request");
	raw_client_close(c);
	snprintf(big + 2500, 5, "\r\n\r\n");
	c = send_request(&f, big, 2504);
	loop_until(&f.loop, &c->responses, 1);
	check_response(c, "long complete head", 431, "not-run", "bad-request");
	raw_client_close(c);
	free(big);
	agb_edge_counters(f.e, &n);
	CU_ASSERT_EQUAL(n.refused_head_size, 2);
	CU_ASSERT_EQUAL(f.calls, 0);
	teardown(&f);
}

/* Guards against unbounded memory use for a large body, and against a response
 * that is lost because the connection was closed with unread bytes. */
static void
test_body_too_large(void)
{
	static const char *const heads[] = {QUICK
	    "Content-Length: 500000\r\n\r\n",
	    QUICK "Transfer-Encoding: chunked\r\n\r\nffff\r\n",
	    QUICK "Expect: 100-continue\r\nContent-Length: 500000\r\n\r\n"};
	struct agb_edge_counters n;
	struct fixture f = {0};
	struct raw_client *c;
	char *big;
	size_t i;

	setup(&f);
	for (i = 0; i < 3; i++) {
		big = malloc(500000);
		memset(big, 'x', 500000);
		memcpy(big, heads[i], strlen(heads[i]));
		c = send_request(&f, big, 500000);
		loop_until(&f.loop, &c->responses, 1);
		check_response(
		    c, heads[i], 413, "not-run", "larger than the limit");
		free(big);
		raw_client_close(c);
	}
	agb_edge_counters(f.e, &n);
	CU_ASSERT_EQUAL(n.refused_body_size, 3);
	CU_ASSERT_EQUAL(f.calls, 0);
	teardown(&f);
}

/* Guards against clients that occupy connections by sending slowly or nothing
 * at all. */
static void
test_slow_clients(void)
{
	static const struct {
		const char *bytes;
		int status;
	} cases[] = {
	    {"POST /v1/ser", 408},
	    {QUICK "Content-Length: 9\r\n\r\nhi", 408},
	    {QUICK "Transfer-Encoding: chunked\r\n\r\n9\r\nhi", 408},
	    {"", 0},
	};
	struct fixture f = {
	    .s = {.head_timeout_ms = 20, .call_timeout_ms = 20}};
	struct agb_edge_counters n;
	struct raw_client *c;
	size_t i;

	setup(&f);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		c = send_request(&f, cases[i].bytes, strlen(cases[i].bytes));
		loop_until(&f.loop, &c->closed, 1);
		CU_ASSERT_EQUAL(raw_response_status(c), cases[i].status);
		if (cases[i].status != 0)
			check_response(c, cases[i].bytes, cases[i].status,
			    "not-run", "in time");
		raw_client_close(c);
	}
	agb_edge_counters(f.e, &n);
	CU_ASSERT_EQUAL(n.refused_head_timeout, 3);
	CU_ASSERT_EQUAL(n.dropped_idle, 1);
	CU_ASSERT_EQUAL(f.calls, 0);
	teardown(&f);
}

/* Guards against accepting more connections than the limit, and against
 * refusing a connection without a response. */
static void
test_connection_limit(void)
{
	struct fixture f = {.s = {.connections_max = 1}};
	struct agb_edge_counters n;
	struct raw_client *c, *d;

	setup(&f);
	c = send_request(&f, QUICK "\r\n", strlen(QUICK "\r\n"));
	loop_until(&f.loop, &c->responses, 1);
	d = send_request(&f, QUICK "\r\n", strlen(QUICK "\r\n"));
	loop_until(&f.loop, &d->responses, 1);
	check_response(c, "first", 200, "ran", "done");
	check_response(d, "second", 503, "not-run", "too many connections");
	loop_until(&f.loop, &d->closed, 1);
	raw_client_close(c);
	raw_client_close(d);
	agb_edge_counters(f.e, &n);
	CU_ASSERT_EQUAL(n.refused_connections, 1);
	CU_ASSERT_EQUAL(f.calls, 1);
	teardown(&f);
}

/* Guards against pipelined requests that are lost, processed out of order, or
 * not checked like the first request. */
static void
test_pipelined(void)
{
	static const char three[] =
	    QUICK "Content-Length: 2\r\n\r\nhi"
		  "GET /healthz HTTP/1.1\r\n" HOST "\r\n"
		  "GET /v1/jobs/j7 HTTP/1.1\r\n" HOST "\r\n";
	static const char bad[] =
	    "GET /healthz HTTP/1.1\r\n" HOST "\r\n" QUICK
	    "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi";
	static const char large[] = "GET /healthz HTTP/1.1\r\n" HOST
				    "\r\n" QUICK "Content-Length: 3001\r\n\r\n";
	struct fixture f = {.hold = true};
	struct raw_client *c;

	setup(&f);
	c = send_request(&f, three, strlen(three));
	loop_until(&f.loop, &f.calls, 1);
	CU_ASSERT_EQUAL(c->responses, 0);
	f.hold = false;
	reply_ok(&f, f.ids[0]);
	loop_until(&f.loop, &c->responses, 3);
	CU_ASSERT_EQUAL(f.calls, 2);
	CU_ASSERT_STRING_EQUAL(f.last.job, "j7");
	CU_ASSERT_PTR_NOT_NULL(strstr(c->in, "ok\n"));
	raw_client_send(c, QUICK "\r\n");
	loop_until(&f.loop, &c->responses, 4);
	raw_client_close(c);

	c = send_request(&f, bad, strlen(bad));
	loop_until(&f.loop, &c->closed, 1);
	CU_ASSERT_EQUAL(c->responses, 2);
	check_response(c, "second of two", 400, "not-run", "malformed");
	raw_client_close(c);
	c = send_request(&f, large, strlen(large));
	loop_until(&f.loop, &c->responses, 2);
	check_response(c, "large second", 413, "not-run", "limit");
	raw_client_close(c);
	CU_ASSERT_EQUAL(f.calls, 3);
	CU_ASSERT_EQUAL(f.gone, 0);
	teardown(&f);
}

/* Guards against a client disconnect that is not reported or reported twice,
 * and against replies that reach the request of another client. */
static void
test_client_disconnect(void)
{
	static const char two[] = QUICK "\r\n" QUICK "\r\n";
	struct agb_ef_reply r = {
	    .http_status = 200, .outcome = AGB_OUTCOME_RAN};
	struct agb_edge_request req;
	struct fixture f = {.hold = true};
	struct agb_edge_response rsp = {.http_status = 200};
	struct agb_edge_counters n;
	struct raw_client *c;

	setup(&f);
	c = send_request(&f, QUICK "\r\n", strlen(QUICK "\r\n"));
	loop_until(&f.loop, &f.calls, 1);
	raw_client_close(c);
	loop_until(&f.loop, &f.gone, 1);
	CU_ASSERT_EQUAL(f.gone_id, f.ids[0]);

	/* The next call may reuse the slot, but its id must differ. */
	c = send_request(&f, two, strlen(two));
	loop_until(&f.loop, &f.calls, 2);
	CU_ASSERT_NOT_EQUAL(f.ids[1], f.ids[0]);
	CU_ASSERT_FALSE(agb_edge_reply(f.e, f.ids[0], &r));
	CU_ASSERT_FALSE(agb_edge_forward(f.e, f.ids[0]));
	CU_ASSERT_FALSE(agb_edge_response_set(f.e, f.ids[0], &rsp));
	CU_ASSERT_FALSE(agb_edge_request_get(f.e, f.ids[0], &req));
	CU_ASSERT_FALSE(agb_edge_reply(f.e, 0, &r));
	CU_ASSERT_FALSE(agb_edge_reply(f.e, UINT64_MAX, &r));
	CU_ASSERT_EQUAL(agb_edge_calls_active(f.e), 1);
	CU_ASSERT_EQUAL(c->responses, 0);
	CU_ASSERT_TRUE(agb_edge_reply(f.e, f.ids[1], &r));
	CU_ASSERT_FALSE(agb_edge_reply(f.e, f.ids[1], &r));
	loop_until(&f.loop, &f.calls, 3);
	raw_client_close(c);
	loop_until(&f.loop, &f.gone, 2);
	CU_ASSERT_EQUAL(f.gone_id, f.ids[2]);
	agb_edge_counters(f.e, &n);
	CU_ASSERT_EQUAL(n.answers_late, 6);
	CU_ASSERT_EQUAL(n.calls_gone, 2);
	teardown(&f);
	CU_ASSERT_EQUAL(f.gone, 2);
}

/* Guards against altering the response of an upstream, and against forwarding
 * hop-by-hop headers and headers that only this system may set. */
static void
test_forward(void)
{
	static const struct agb_httpc_header headers[] = {
	    {"content-type", "text/x"}, {"x-a", "1"}, {"x-a", "2"},
	    {"connection", "close"}, {"agatebeam-outcome", "not-run"}};
	static const char bytes[] =
	    QUICK "Authorization: Bearer abc\r\nX-Keep: 1\r\nX-Hop: 2\r\n"
		  "Connection: keep-alive, x-hop\r\nAgatebeam-Attempt: 9\r\n"
		  "Content-Length: 3\r\n\r\na\rb";
	struct agb_edge_response rsp = {201, headers, 5, "x\0y", 3};
	struct agb_edge_request req;
	struct fixture f = {.hold = true};
	struct raw_client *c;
	char buf[64];
	size_t i, kept;

	setup(&f);
	c = send_request(&f, bytes, strlen(bytes));
	loop_until(&f.loop, &f.calls, 1);
	CU_ASSERT_TRUE(agb_edge_request_get(f.e, f.ids[0], &req));
	CU_ASSERT_STRING_EQUAL(req.method, "POST");
	CU_ASSERT_STRING_EQUAL(req.path, "/v1/services/price-check/x?ms=1");
	CU_ASSERT_EQUAL(req.body_len, 3);
	CU_ASSERT_EQUAL(memcmp(req.body, "a\rb", 3), 0);
	kept = 0;
	for (i = 0; i < req.headers_len; i++) {
		if (strcmp(req.headers[i].name, "x-keep") == 0)
			kept++;
		CU_ASSERT_STRING_NOT_EQUAL(req.headers[i].name, "x-hop");
		CU_ASSERT_STRING_NOT_EQUAL(
		    req.headers[i].name, "authorization");
		CU_ASSERT_STRING_NOT_EQUAL(
		    req.headers[i].name, "agatebeam-attempt");
	}
	CU_ASSERT_EQUAL(kept, 1);
	CU_ASSERT_TRUE(agb_edge_response_set(f.e, f.ids[0], &rsp));
	CU_ASSERT_TRUE(agb_edge_forward(f.e, f.ids[0]));
	loop_until(&f.loop, &c->responses, 1);
	CU_ASSERT_EQUAL(raw_response_status(c), 201);
	CU_ASSERT_STRING_EQUAL(
	    raw_response_header(c->in, "content-length", buf, sizeof(buf)),
	    "3");
	CU_ASSERT_STRING_EQUAL(
	    raw_response_header(c->in, "agatebeam-outcome", buf, sizeof(buf)),
	    "");
	CU_ASSERT_STRING_EQUAL(
	    raw_response_header(c->in, "connection", buf, sizeof(buf)),
	    "keep-alive");
	CU_ASSERT_PTR_NOT_NULL(strstr(c->in, "x-a: 2\r\n"));
	CU_ASSERT_EQUAL(memcmp(raw_response_body(c), "x\0y", 3), 0);

	raw_client_send(c, QUICK "\r\n");
	loop_until(&f.loop, &f.calls, 2);
	CU_ASSERT_TRUE(agb_edge_forward(f.e, f.ids[1]));
	loop_until(&f.loop, &c->responses, 2);
	check_response(
	    c, "no stored response", 502, "unknown", "upstream-lost");
	raw_client_close(c);
	teardown(&f);
}

/* Guards against agb_edge_listen_stop() breaking an active call or keeping
 * connections alive, and against /readyz ignoring the daemon's state. */
static void
test_listen_stop(void)
{
	struct agb_ef_reply r = {.http_status = 503,
	    .outcome = AGB_OUTCOME_NOT_RUN,
	    .reason = AGB_REASON_DRAINING,
	    .retry_ms = 1500,
	    .detail = "a \"b\""};
	struct fixture f = {.hold = true};
	struct raw_client *c, *d;
	char addr[64], buf[64];

	setup(&f);
	agb_edge_ready_set(f.e, true);
	c = send_request(&f, "GET /readyz HTTP/1.1\r\n" HOST "\r\n",
	    strlen("GET /readyz HTTP/1.1\r\n" HOST "\r\n"));
	loop_until(&f.loop, &c->responses, 1);
	CU_ASSERT_EQUAL(raw_response_status(c), 200);
	raw_client_send(c, QUICK "\r\n");
	loop_until(&f.loop, &f.calls, 1);
	agb_str_copy(addr, sizeof(addr), agb_edge_address(f.e));
	agb_edge_listen_stop(f.e);
	CU_ASSERT_EQUAL(agb_edge_calls_active(f.e), 1);
	d = raw_client_open(&f.loop, addr, "", 0);
	loop_until(&f.loop, &d->closed, 1);
	CU_ASSERT_EQUAL(d->connect_failed, 1);
	raw_client_close(d);
	CU_ASSERT_TRUE(agb_edge_reply(f.e, f.ids[0], &r));
	loop_until(&f.loop, &c->closed, 1);
	check_response(c, "draining", 503, "not-run",
	    "\"detail\":\"a \\\"b\\\"\",\"retry_after_ms\":1500");
	CU_ASSERT_STRING_EQUAL(raw_response_header(c->in + c->last_response,
				   "connection", buf, sizeof(buf)),
	    "close");
	CU_ASSERT_STRING_EQUAL(raw_response_header(c->in + c->last_response,
				   "retry-after", buf, sizeof(buf)),
	    "2");
	CU_ASSERT_EQUAL(agb_edge_calls_active(f.e), 0);
	raw_client_close(c);
	teardown(&f);
	CU_ASSERT_EQUAL(f.gone, 0);
}

/* Guards against agb_edge_free() leaving a client without a response, raising
 * events, or leaving active handles in the loop. */
static void
test_free_with_active_calls(void)
{
	struct fixture f = {.hold = true};
	struct raw_client *c, *d;

	setup(&f);
	c = send_request(&f, QUICK "\r\n", strlen(QUICK "\r\n"));
	d = send_request(&f, "POST /v1", 8);
	loop_until(&f.loop, &f.calls, 1);
	agb_edge_free(f.e);
	loop_until(&f.loop, &c->closed, 1);
	loop_until(&f.loop, &d->closed, 1);
	check_response(c, "active call", 503, "unknown", "draining");
	raw_client_close(c);
	raw_client_close(d);
	loop_close(&f.loop);
	CU_ASSERT_EQUAL(f.gone, 0);
}

/* Guards against not reporting that the address is in use. */
static void
test_address_in_use(void)
{
	static const struct agb_edge_cbs cbs = {.on_event = on_event};
	struct fixture f = {0};
	struct agb_settings s;

	setup(&f);
	s = f.s;
	agb_str_copy(s.http, sizeof(s.http), agb_edge_address(f.e));
	CU_ASSERT_PTR_NULL(agb_edge_new(&f.loop, &s, &cbs, NULL));
	CU_ASSERT_EQUAL(errno, EADDRINUSE);
	teardown(&f);
}

/* Return: false if @want is not received before loop_until() times out. */
static bool
wait_for_bytes(struct fixture *f, struct raw_client *c, const char *want)
{
	const size_t len = strlen(want);
	size_t i;

	for (;;) {
		for (i = 0; i + len <= c->in_len; i++) {
			if (memcmp(c->in + i, want, len) == 0)
				return true;
		}
		if (c->closed ||
		    !loop_until(
			&f->loop, &c->bytes_received, c->bytes_received + 1))
			return false;
	}
}

#define PREFACE "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0"

/* Guards against applying the HTTP/1 checks to HTTP/2 clients, missing the reset
 * of an HTTP/2 stream, and accepting line ends in an HTTP/2 header. */
static void
test_http2(void)
{
	static const char get[] = PREFACE "\0\0\17\1\5\0\0\0\1"
					  "\x82\x86\x04\x08/healthz\x01\x01h";
	static const char post[] =
	    "\0\0\32\1\5\0\0\0\3"
	    "\x83\x86\x04\x13/v1/services/price/\x01\x01h";
	static const char reset[] = "\0\0\4\3\0\0\0\0\3\0\0\0\10";
	static const char split[] =
	    "\0\0\45\1\5\0\0\0\5"
	    "\x83\x86\x04\x13/v1/services/price/\x01\x01h"
	    "\0\1x\7a\r\nb: c";
	struct fixture f = {.hold = true};
	struct raw_client *c;
	uv_buf_t buf;

	setup(&f);
	c = send_request(&f, get, sizeof(get) - 1);
	CU_ASSERT_TRUE(wait_for_bytes(&f, c, "ok\n"));
	buf = uv_buf_init((char *)(uintptr_t)post, sizeof(post) - 1);
	CU_ASSERT_EQUAL(uv_try_write((uv_stream_t *)&c->tcp, &buf, 1),
	    (int)sizeof(post) - 1);
	loop_until(&f.loop, &f.calls, 1);
	CU_ASSERT_STRING_EQUAL(f.last.work, "price");
	buf = uv_buf_init((char *)(uintptr_t)reset, sizeof(reset) - 1);
	CU_ASSERT_EQUAL(uv_try_write((uv_stream_t *)&c->tcp, &buf, 1),
	    (int)sizeof(reset) - 1);
	loop_until(&f.loop, &f.gone, 1);
	CU_ASSERT_EQUAL(f.gone_id, f.ids[0]);
	buf = uv_buf_init((char *)(uintptr_t)split, sizeof(split) - 1);
	CU_ASSERT_EQUAL(uv_try_write((uv_stream_t *)&c->tcp, &buf, 1),
	    (int)sizeof(split) - 1);
	CU_ASSERT_TRUE(wait_for_bytes(&f, c, "malformed"));
	CU_ASSERT_EQUAL(f.calls, 1);
	raw_client_close(c);
	teardown(&f);
	CU_ASSERT_EQUAL(f.gone, 1);
}

int
main(void)
{
	static const struct suite_test tests[] = {
	    {"requests", test_requests},
	    {"job body", test_job_body},
	    {"event fields", test_event_fields},
	    {"head too large", test_head_too_large},
	    {"body too large", test_body_too_large},
	    {"slow clients", test_slow_clients},
	    {"connection limit", test_connection_limit},
	    {"pipelined requests", test_pipelined},
	    {"client disconnect", test_client_disconnect},
	    {"forward", test_forward},
	    {"listen stop", test_listen_stop},
	    {"free with active calls", test_free_with_active_calls},
	    {"address in use", test_address_in_use},
	    {"http2", test_http2},
	};

	return suite_run("edge", tests, sizeof(tests) / sizeof(tests[0]));
}

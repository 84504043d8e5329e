#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include "httpc.h"
#include "loop.h"
#include "suite.h"

/* Response of a scripted server, and the result that the client must report. */
struct scripted_response {
	const char *name;
	const char *bytes;
	bool close;
	enum agb_httpc_status want;
	int http_status;
	const char *body;
};

struct result {
	int done;
	int chunks;
	struct agb_httpc_res res;
	char body[256];
	char echo[64];
	char error[128];
	struct agb_httpc_call *cancel;
};

static void
on_done(void *arg, const struct agb_httpc_res *res)
{
	struct result *const r = arg;
	size_t i;

	r->done++;
	r->res = *res;
	snprintf(r->error, sizeof(r->error), "%s",
	    res->error != NULL ? res->error : "");
	if (res->body_len > 0)
		snprintf(r->body, sizeof(r->body), "%s", res->body);
	for (i = 0; i < res->headers_len; i++) {
		if (strcmp(res->headers[i].name, "x-echo") == 0)
			snprintf(r->echo, sizeof(r->echo), "%s",
			    res->headers[i].value);
	}
}

static void
on_chunk(void *arg, int http_status, const char *data, size_t len)
{
	struct result *const r = arg;

	r->chunks++;
	strncat(r->body, data, len);
	if (r->cancel != NULL)
		agb_httpc_cancel(r->cancel);
}

/* Sends the scripted response once the request has been received completely. */
static void
respond_to_request(struct loop_conn *c)
{
	const struct scripted_response *const a = c->server->arg;

	if (strstr(c->in, "\r\n\r\nping") == NULL)
		return;
	c->in_len = 0;
	if (a->bytes != NULL)
		loop_conn_write(c, a->bytes, strlen(a->bytes));
	if (a->close)
		loop_conn_close(c);
}

static struct agb_httpc_req
ping_request(const char *addr, struct result *r)
{
	struct agb_httpc_req req = {.addr = addr,
	    .method = "POST",
	    .path = "/p",
	    .body = "ping",
	    .body_len = 4,
	    .body_max = 64,
	    .cb = on_done,
	    .arg = r};

	return req;
}

static const struct scripted_response responses[] = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Echo: a b\r\n\r\nabc",
	false, AGB_HTTPC_COMPLETE, 200, "abc"},
    {"empty", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false,
	AGB_HTTPC_COMPLETE, 503, ""},
    {"no content", "HTTP/1.1 204 No\r\n\r\n", false, AGB_HTTPC_COMPLETE, 204,
	""},
    {"chunked",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
	false, AGB_HTTPC_COMPLETE, 200, "abc"},
    {"interim",
	"HTTP/1.1 100 Continue\r\n\r\n"
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
	false, AGB_HTTPC_COMPLETE, 200, "a"},
    {"truncated length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
	true, AGB_HTTPC_LOST, 200, NULL},
    {"no last chunk",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	true, AGB_HTTPC_LOST, 200, NULL},
    {"bad chunk",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
	false, AGB_HTTPC_LOST, 200, NULL},
    {"until close", "HTTP/1.1 200 OK\r\n\r\nabc", true, AGB_HTTPC_LOST, 0,
	NULL},
    {"closed without response", NULL, true, AGB_HTTPC_LOST, 0, NULL},
    {"half a header", "HTTP/1.1 200 OK\r\nContent-", true, AGB_HTTPC_LOST, 0,
	NULL},
    {"not http", "hello hello hello\r\n\r\n", false, AGB_HTTPC_LOST, 0, NULL},
    {"two lengths",
	"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc",
	false, AGB_HTTPC_LOST, 0, NULL},
    {"length and chunks",
	"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
	"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	false, AGB_HTTPC_LOST, 0, NULL},
    {"unknown encoding",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc", true,
	AGB_HTTPC_LOST, 0, NULL},
    {"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc",
	true, AGB_HTTPC_LOST, 0, NULL},
    {"too long by length", "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\nabc",
	false, AGB_HTTPC_LOST, 0, NULL},
    {"too long by chunks",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	"41\r\n0123456789012345678901234567890123456789012345678901234567890"
	"1234\r\n0\r\n\r\n",
	false, AGB_HTTPC_LOST, 200, NULL},
};

/* Guards against reporting a response as complete that is truncated, too long,
 * or of ambiguous length. */
static void
test_responses(void)
{
	struct loop_server srv;
	struct agb_httpc_req req;
	struct agb_httpc *c;
	struct result r;
	uv_loop_t loop;
	size_t i;

	uv_loop_init(&loop);
	c = agb_httpc_new(&loop, 2);
	loop_server_start(&loop, &srv, respond_to_request, NULL);
	for (i = 0; i < sizeof(responses) / sizeof(responses[0]); i++) {
		memset(&r, 0, sizeof(r));
		srv.arg = (void *)&responses[i];
		req = ping_request(srv.addr, &r);
		agb_httpc_request(c, &req);
		CU_ASSERT_EQUAL(r.done, 0);
		if (!loop_until(&loop, &r.done, 1))
			break;
		if (r.res.status != responses[i].want)
			printf("%s: %s\n", responses[i].name, r.error);
		CU_ASSERT_EQUAL(r.res.status, responses[i].want);
		CU_ASSERT_EQUAL(r.res.http_status, responses[i].http_status);
		CU_ASSERT_EQUAL(r.res.too_large,
		    strncmp(responses[i].name, "too long", 8) == 0);
		if (responses[i].body != NULL)
			CU_ASSERT_STRING_EQUAL(r.body, responses[i].body);
		if (i == 0)
			CU_ASSERT_STRING_EQUAL(r.echo, "a b");
	}
	agb_httpc_free(c);
	loop_server_close(&srv);
	loop_close(&loop);
}

/* Guards against reporting a request as sent that was never written. */
static void
test_unsent(void)
{
	static const struct {
		const char *addr;
		const char *path;
	} cases[] = {
	    {NULL, "/"}, /* connection refused: no listener on the port */
	    {"localhost:80", "/"},
	    {"127.0.0.1", "/"},
	    {"127.0.0.1:0", "/"},
	    {"127.0.0.1:99999", "/"},
	    {"127.0.0.1:80", "/ HTTP/1.1\r\nX: y"},
	};
	struct agb_httpc_req req;
	struct agb_httpc *c;
	struct result r;
	uv_loop_t loop;
	uv_tcp_t dead;
	char addr[64];
	size_t i;

	uv_loop_init(&loop);
	c = agb_httpc_new(&loop, 2);
	loop_bind_closed_port(&loop, &dead, addr);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&r, 0, sizeof(r));
		req = ping_request(
		    cases[i].addr != NULL ? cases[i].addr : addr, &r);
		req.path = cases[i].path;
		agb_httpc_request(c, &req);
		CU_ASSERT_EQUAL(r.done, 0);
		if (!loop_until(&loop, &r.done, 1))
			break;
		CU_ASSERT_EQUAL(r.res.status, AGB_HTTPC_UNSENT);
	}
	agb_httpc_free(c);
	uv_close((uv_handle_t *)&dead, NULL);
	loop_close(&loop);
}

/* Guards against opening a connection for each request, and against reporting
 * a request as unsent when a reused connection closes without a response. */
static void
test_reuse(void)
{
	const struct scripted_response closes = {.close = true};
	struct agb_httpc_req req;
	struct loop_server srv;
	struct agb_httpc *c;
	struct result r = {0};
	uv_loop_t loop;
	int i;

	uv_loop_init(&loop);
	c = agb_httpc_new(&loop, 1);
	loop_server_start(
	    &loop, &srv, respond_to_request, (void *)&responses[0]);
	req = ping_request(srv.addr, &r);
	/* All requests after the first wait for the only connection. */
	for (i = 0; i < 5; i++)
		agb_httpc_request(c, &req);
	loop_until(&loop, &r.done, 5);
	CU_ASSERT_EQUAL(r.res.status, AGB_HTTPC_COMPLETE);
	CU_ASSERT_EQUAL(srv.accepted, 1);
	/* The byte counts must include requests on reused connections. */
	CU_ASSERT(agb_httpc_bytes(c).sent >= 20);
	CU_ASSERT_EQUAL(agb_httpc_bytes(c).sent % 5, 0);
	CU_ASSERT_EQUAL(
	    agb_httpc_bytes(c).received, 5 * strlen(responses[0].bytes));
	srv.arg = (void *)&closes;
	agb_httpc_request(c, &req);
	loop_until(&loop, &r.done, 6);
	CU_ASSERT_EQUAL(srv.accepted, 1);
	CU_ASSERT_EQUAL(r.res.status, AGB_HTTPC_LOST);
	agb_httpc_free(c);
	loop_server_close(&srv);
	loop_close(&loop);
}

/* Guards against a timeout that misreports whether the request was sent: one
 * request waits for its response, the other for a connection. */
static void
test_deadline(void)
{
	const struct scripted_response silent = {0};
	struct result sent = {0}, queued = {0};
	struct agb_httpc_req req;
	struct loop_server srv;
	struct agb_httpc *c;
	uv_loop_t loop;

	uv_loop_init(&loop);
	c = agb_httpc_new(&loop, 1);
	loop_server_start(&loop, &srv, respond_to_request, (void *)&silent);
	req = ping_request(srv.addr, &sent);
	req.timeout_ms = 100;
	agb_httpc_request(c, &req);
	req = ping_request(srv.addr, &queued);
	req.timeout_ms = 50;
	agb_httpc_request(c, &req);
	loop_until(&loop, &queued.done, 1);
	CU_ASSERT_EQUAL(queued.res.status, AGB_HTTPC_UNSENT);
	CU_ASSERT_TRUE(queued.res.timed_out);
	loop_until(&loop, &sent.done, 1);
	CU_ASSERT_EQUAL(sent.res.status, AGB_HTTPC_LOST);
	CU_ASSERT_TRUE(sent.res.timed_out);
	agb_httpc_free(c);
	loop_server_close(&srv);
	loop_close(&loop);
}

/**
 * struct paced_response - response that a server sends in steps of a byte, and
 * how a request with these limits must end
 * @body_len: as in the head of the response
 * @steps: number of bytes that are sent, after the head; 0 sends nothing
 * @busy_ms: time for which each step occupies the process
 */
struct paced_response {
	const char *name;
	uint32_t timeout_ms;
	uint32_t stall_ms;
	uint32_t total_ms;
	unsigned body_len;
	unsigned steps;
	unsigned interval_ms;
	unsigned busy_ms;
	enum agb_httpc_status want;
	enum agb_httpc_timeout timeout;
	uint64_t from_ms;
	uint64_t to_ms;
};

static const struct paced_response paced[] = {
    {"limit of the whole response", 120, 0, 0, 10, 10, 30, 0, AGB_HTTPC_LOST,
	AGB_HTTPC_TIMEOUT_TOTAL, 120, 1000},
    {"slow", 120, 80, 0, 10, 10, 30, 0, AGB_HTTPC_COMPLETE,
	AGB_HTTPC_TIMEOUT_NONE, 270, 1000},
    {"slow without another limit", 0, 80, 0, 10, 10, 30, 0, AGB_HTTPC_COMPLETE,
	AGB_HTTPC_TIMEOUT_NONE, 270, 1000},
    {"stops", 120, 80, 0, 10, 4, 30, 0, AGB_HTTPC_LOST, AGB_HTTPC_TIMEOUT_STALL,
	170, 1000},
    {"stops early", 2000, 80, 0, 10, 1, 30, 0, AGB_HTTPC_LOST,
	AGB_HTTPC_TIMEOUT_STALL, 80, 1000},
    {"silent", 120, 80, 1000, 10, 0, 30, 0, AGB_HTTPC_LOST,
	AGB_HTTPC_TIMEOUT_RESPONSE, 120, 1000},
    {"too slow", 120, 80, 200, 10, 10, 50, 0, AGB_HTTPC_LOST,
	AGB_HTTPC_TIMEOUT_TOTAL, 200, 1000},
    {"endless without pause", 120, 80, 200, 100000, 100000, 1, 0,
	AGB_HTTPC_LOST, AGB_HTTPC_TIMEOUT_TOTAL, 200, 1000},
    {"process busy for longer than the limit", 120, 80, 0, 10, 10, 1, 100,
	AGB_HTTPC_COMPLETE, AGB_HTTPC_TIMEOUT_NONE, 900, 3000},
};

/* A server; @result is the client's, whose end also ends the response. */
struct paced_server {
	struct loop_server srv;
	const struct paced_response *response;
	const struct result *result;
	struct loop_conn *conn;
	uv_timer_t timer;
	unsigned sent;
};

static void
send_step(uv_timer_t *t)
{
	struct paced_server *const s = t->data;
	uv_buf_t buf = uv_buf_init("x", 1);

	if (s->sent == s->response->steps || s->result->done > 0) {
		uv_timer_stop(t);
		return;
	}
	/* Fails if the client has closed the connection in this iteration. */
	(void)uv_try_write((uv_stream_t *)&s->conn->tcp, &buf, 1);
	s->sent++;
	uv_sleep(s->response->busy_ms);
}

static void
respond_in_steps(struct loop_conn *c)
{
	struct paced_server *const s = c->server->arg;
	char head[64];

	if (strstr(c->in, "\r\n\r\nping") == NULL)
		return;
	c->in_len = 0;
	s->conn = c;
	if (s->response->steps == 0)
		return;
	snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n",
	    s->response->body_len);
	loop_conn_write(c, head, strlen(head));
	uv_timer_start(&s->timer, send_step, s->response->interval_ms,
	    s->response->interval_ms);
}

static void
check_paced(const struct paced_response *p)
{
	struct result r = {0};
	struct paced_server s = {.response = p, .result = &r};
	struct agb_httpc_req req;
	struct agb_httpc *c;
	uint64_t begun_ms, ms;
	uv_loop_t loop;

	uv_loop_init(&loop);
	c = agb_httpc_new(&loop, 1);
	loop_server_start(&loop, &s.srv, respond_in_steps, &s);
	uv_timer_init(&loop, &s.timer);
	s.timer.data = &s;
	req = ping_request(s.srv.addr, &r);
	req.timeout_ms = p->timeout_ms;
	req.stall_timeout_ms = p->stall_ms;
	req.total_timeout_ms = p->total_ms;
	req.body_max = p->body_len;
	uv_update_time(&loop);
	begun_ms = uv_now(&loop);
	agb_httpc_request(c, &req);
	loop_until(&loop, &r.done, 1);
	ms = uv_now(&loop) - begun_ms;
	if (r.res.status != p->want || r.res.timeout != p->timeout ||
	    ms < p->from_ms || ms > p->to_ms)
		printf("\n%s: status %d, timeout %d after %d ms: %s", p->name,
		    r.res.status, r.res.timeout, (int)ms, r.error);
	CU_ASSERT_EQUAL(r.res.status, p->want);
	CU_ASSERT_EQUAL(r.res.timeout, p->timeout);
	CU_ASSERT_EQUAL(r.res.timed_out, p->timeout != AGB_HTTPC_TIMEOUT_NONE);
	CU_ASSERT(ms >= p->from_ms);
	CU_ASSERT(ms <= p->to_ms);
	if (p->want == AGB_HTTPC_COMPLETE)
		CU_ASSERT_EQUAL(r.res.received,
		    strlen("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n") +
			p->body_len);
	uv_close((uv_handle_t *)&s.timer, NULL);
	agb_httpc_free(c);
	loop_server_close(&s.srv);
	loop_close(&loop);
}

/* Guards against limits that end a response while it makes progress, that a
 * response without progress or an endless one outlasts, or that count time for
 * which this process was busy. */
static void
test_paced_responses(void)
{
	size_t i;

	for (i = 0; i < sizeof(paced) / sizeof(paced[0]); i++)
		check_paced(&paced[i]);
}

/* A client whose callback first occupies the loop and then sends a request. */
struct busy_client {
	struct agb_httpc *c;
	struct agb_httpc_req req;
	unsigned busy_ms;
};

static void
send_after_work(uv_timer_t *t)
{
	const struct busy_client *const b = t->data;

	uv_sleep(b->busy_ms);
	agb_httpc_request(b->c, &b->req);
}

static void
respond_later(struct loop_conn *c)
{
	if (strstr(c->in, "\r\n\r\nping") == NULL)
		return;
	/* Longer than the time that an expired timeout waits for data. */
	uv_sleep(20);
	respond_to_request(c);
}

/* Guards against a server that is reported as silent because this process was
 * busy before it sent the request: the time before the request does not count
 * towards its timeout. */
static void
test_deadline_of_busy_process(void)
{
	static const unsigned busy_ms[] = {0, 150, 400};
	struct busy_client b;
	struct loop_server srv;
	uv_timer_t timer;
	struct result r;
	uv_loop_t loop;
	size_t i;

	for (i = 0; i < sizeof(busy_ms) / sizeof(busy_ms[0]); i++) {
		uv_loop_init(&loop);
		memset(&r, 0, sizeof(r));
		b.c = agb_httpc_new(&loop, 1);
		b.busy_ms = busy_ms[i];
		loop_server_start(
		    &loop, &srv, respond_later, (void *)&responses[0]);
		b.req = ping_request(srv.addr, &r);
		b.req.timeout_ms = 120;
		uv_timer_init(&loop, &timer);
		timer.data = &b;
		uv_timer_start(&timer, send_after_work, 1, 0);
		loop_until(&loop, &r.done, 1);
		CU_ASSERT_EQUAL(r.res.status, AGB_HTTPC_COMPLETE);
		uv_close((uv_handle_t *)&timer, NULL);
		agb_httpc_free(b.c);
		loop_server_close(&srv);
		loop_close(&loop);
	}
}

/* Guards against acting on an expired permission after the process has been
 * suspended: a request must not be sent after its send deadline. */
static void
test_send_deadline(void)
{
	static const struct {
		agb_time send_deadline; /* us from now; 0 is no limit */
		bool past;		/* the offset is before now */
		enum agb_httpc_status status;
	} cases[] = {
	    {0, false, AGB_HTTPC_COMPLETE},
	    {10 * AGB_SEC, false, AGB_HTTPC_COMPLETE},
	    {AGB_MS, true, AGB_HTTPC_UNSENT},
	};
	const struct scripted_response whole = {
	    .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
	struct agb_httpc_req req;
	struct loop_server srv;
	struct agb_httpc *c;
	struct timespec now;
	struct result r;
	agb_time mono;
	uv_loop_t loop;
	size_t i;

	uv_loop_init(&loop);
	c = agb_httpc_new(&loop, 1);
	loop_server_start(&loop, &srv, respond_to_request, (void *)&whole);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&r, 0, sizeof(r));
		clock_gettime(CLOCK_BOOTTIME, &now);
		mono = (agb_time)now.tv_sec * AGB_SEC +
		    (agb_time)now.tv_nsec / 1000;
		req = ping_request(srv.addr, &r);
		if (cases[i].past)
			req.send_deadline = mono - cases[i].send_deadline;
		else if (cases[i].send_deadline > 0)
			req.send_deadline = mono + cases[i].send_deadline;
		agb_httpc_request(c, &req);
		loop_until(&loop, &r.done, 1);
		CU_ASSERT_EQUAL(r.res.status, cases[i].status);
	}
	agb_httpc_free(c);
	loop_server_close(&srv);
	loop_close(&loop);
}

/* Guards against a cancelled request that calls its callback, leaks memory, or
 * blocks the requests queued after it. */
static void
test_cancel(void)
{
	const struct scripted_response silent = {0};
	struct result gone = {0}, next = {0};
	struct agb_httpc_call *sent, *queued;
	struct agb_httpc_req req;
	struct loop_server srv;
	struct agb_httpc *c;
	uv_loop_t loop;

	uv_loop_init(&loop);
	c = agb_httpc_new(&loop, 1);
	loop_server_start(&loop, &srv, respond_to_request, (void *)&silent);
	req = ping_request(srv.addr, &gone);
	sent = agb_httpc_request(c, &req);
	queued = agb_httpc_request(c, &req);
	loop_until(&loop, &srv.accepted, 1);
	uv_run(&loop, UV_RUN_NOWAIT);
	CU_ASSERT_TRUE(agb_httpc_cancel(queued));
	CU_ASSERT_FALSE(agb_httpc_cancel(sent));
	srv.arg = (void *)&responses[0];
	req.arg = &next;
	agb_httpc_request(c, &req);
	loop_until(&loop, &next.done, 1);
	CU_ASSERT_EQUAL(next.res.status, AGB_HTTPC_COMPLETE);
	CU_ASSERT_EQUAL(gone.done, 0);
	/* Free the client with one active and one queued request. */
	req.arg = &gone;
	agb_httpc_request(c, &req);
	agb_httpc_request(c, &req);
	agb_httpc_free(c);
	loop_server_close(&srv);
	loop_close(&loop);
	CU_ASSERT_EQUAL(gone.done, 0);
}

/* Guards against delivering a streamed body only at its end, and against a
 * crash or callback after a request is cancelled in its on_chunk callback. */
static void
test_stream(void)
{
	static const struct scripted_response part = {
	    .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
		     "chunked\r\n\r\n2\r\nab\r\n"};
	struct agb_httpc_call *call;
	struct agb_httpc_req req;
	struct loop_server srv;
	struct result r = {0};
	struct agb_httpc *c;
	uv_loop_t loop;

	uv_loop_init(&loop);
	c = agb_httpc_new(&loop, 1);
	loop_server_start(&loop, &srv, respond_to_request, (void *)&part);
	req = ping_request(srv.addr, &r);
	req.on_chunk = on_chunk;
	agb_httpc_request(c, &req);
	loop_until(&loop, &r.chunks, 1);
	CU_ASSERT_STRING_EQUAL(r.body, "ab");
	CU_ASSERT_EQUAL(r.done, 0);
	loop_conn_close(srv.conns[0]);
	loop_until(&loop, &r.done, 1);
	CU_ASSERT_EQUAL(r.res.status, AGB_HTTPC_LOST);
	call = agb_httpc_request(c, &req);
	r.cancel = call;
	loop_until(&loop, &r.chunks, 2);
	loop_until(&loop, &srv.closed, 2);
	CU_ASSERT_EQUAL(r.done, 1);
	agb_httpc_free(c);
	loop_server_close(&srv);
	loop_close(&loop);
}

/* Guards against a shortage of file descriptors that ends the process, or that
 * leaves a request without a result. */
static void
test_no_descriptors(void)
{
	static const struct scripted_response ok = {"ok",
	    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false,
	    AGB_HTTPC_COMPLETE, 200, ""};
	struct rlimit old, limit;
	struct agb_httpc_req req;
	struct loop_server srv;
	struct agb_httpc *c;
	struct result r = {0};
	uv_loop_t loop;
	int next;

	uv_loop_init(&loop);
	loop_server_start(
	    &loop, &srv, respond_to_request, (void *)(uintptr_t)&ok);
	c = agb_httpc_new(&loop, 1);
	req = ping_request(srv.addr, &r);
	next = dup(0);
	CU_ASSERT_FATAL(next >= 0);
	close(next);
	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &old), 0);
	limit = old;
	limit.rlim_cur = (rlim_t)next;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	agb_httpc_request(c, &req);
	loop_until(&loop, &r.done, 1);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &old), 0);
	CU_ASSERT_EQUAL(r.res.status, AGB_HTTPC_UNSENT);
	agb_httpc_request(c, &req);
	loop_until(&loop, &r.done, 2);
	CU_ASSERT_EQUAL(r.res.status, AGB_HTTPC_COMPLETE);
	agb_httpc_free(c);
	loop_server_close(&srv);
	loop_close(&loop);
}

#define LONG_LINE_BYTES 16000
#define LONG_LINES 40

struct long_response {
	const char *head;
	const char *end;
	char bytes[(LONG_LINES + 1) * LONG_LINE_BYTES];
	uv_write_t write;
};

/* Sends a response with LONG_LINES header lines. */
static void
respond_with_long_lines(struct loop_conn *c)
{
	struct long_response *const a = c->server->arg;
	uv_buf_t buf;
	size_t len, i;

	if (strstr(c->in, "\r\n\r\nping") == NULL)
		return;
	c->in_len = 0;
	len = (size_t)snprintf(a->bytes, sizeof(a->bytes), "%s", a->head);
	for (i = 0; i < LONG_LINES; i++) {
		memset(a->bytes + len, 'x', LONG_LINE_BYTES);
		memcpy(a->bytes + len, "a:", 2);
		len += LONG_LINE_BYTES;
		memcpy(a->bytes + len - 2, "\r\n", 2);
	}
	len += (size_t)snprintf(
	    a->bytes + len, sizeof(a->bytes) - len, "%s", a->end);
	buf = uv_buf_init(a->bytes, (unsigned)len);
	uv_write(&a->write, (uv_stream_t *)&c->tcp, &buf, 1, NULL);
}

/* Guards against a server that makes a client read, and keep, headers without
 * end: a chunked body must not lift the limit. */
static void
test_head_limit(void)
{
	static const struct {
		const char *head;
		const char *end;
	} cases[] = {
	    {"HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n"},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"\r\n0\r\n\r\n"},
	    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		"\r\n"},
	};
	struct long_response *const a = calloc(1, sizeof(*a));
	struct agb_httpc_req req;
	struct loop_server srv;
	struct agb_httpc *c;
	struct result r;
	uv_loop_t loop;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&r, 0, sizeof(r));
		a->head = cases[i].head;
		a->end = cases[i].end;
		uv_loop_init(&loop);
		loop_server_start(&loop, &srv, respond_with_long_lines, a);
		c = agb_httpc_new(&loop, 1);
		req = ping_request(srv.addr, &r);
		agb_httpc_request(c, &req);
		loop_until(&loop, &r.done, 1);
		CU_ASSERT_EQUAL(r.res.status, AGB_HTTPC_LOST);
		CU_ASSERT_STRING_EQUAL(
		    r.error, "response head or line too long");
		agb_httpc_free(c);
		loop_server_close(&srv);
		loop_close(&loop);
	}
	free(a);
}

static const struct suite_test tests[] = {
    {"responses", test_responses},
    {"unsent", test_unsent},
    {"reuse", test_reuse},
    {"deadline", test_deadline},
    {"paced responses", test_paced_responses},
    {"deadline of a busy process", test_deadline_of_busy_process},
    {"send deadline", test_send_deadline},
    {"cancel", test_cancel},
    {"stream", test_stream},
    {"head limit", test_head_limit},
    {"no descriptors", test_no_descriptors},
};

int
main(void)
{
	/* A server may write to a connection that its client has closed. */
	signal(SIGPIPE, SIG_IGN);
	return suite_run("httpc", tests, sizeof(tests) / sizeof(tests[0]));
}

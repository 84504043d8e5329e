#include <poll.h>
#include <sys/socket.h>

#include "addr.h"
#include "loop.h"
#include "mem.h"
#include "rpc.h"
#include "suite.h"

#define CALLS_MAX 6000

/**
 * struct endpoint - RPC endpoint and what its callbacks have recorded
 * @defer_replies: keep the tokens of calls instead of answering them
 * @ok, @sent: number of replies with that flag set
 * @tag: that of the last reply
 * @text: id or text of the last AGB_X_EXPLAIN call or result
 * @last_event, @last_line: the last log line
 * @lines: number of log lines
 * @incomplete_records: connections closed because a record stayed incomplete
 * @text_len: length of the text in replies to AGB_X_ENV_GET
 */
struct endpoint {
	struct agb_rpc *rpc;
	bool defer_replies;
	int calls;
	int replies;
	int ok;
	int sent;
	uint64_t tag;
	uint64_t tokens[CALLS_MAX];
	agb_x_proc proc;
	char text[64];
	char last_event[64];
	char last_line[256];
	int lines;
	int incomplete_records;
	uint32_t text_len;
};

static void
send_reply(struct endpoint *s, uint64_t token, agb_x_proc proc)
{
	agb_x_res res;

	memset(&res, 0, sizeof(res));
	res.proc = proc;
	switch (proc) {
	case AGB_X_ENV_GET:
		res.agb_x_res_u.env_get.text.text_len = s->text_len;
		res.agb_x_res_u.env_get.text.text_val =
		    agb_xcalloc(s->text_len, 1);
		break;
	case AGB_X_EXPLAIN:
		res.agb_x_res_u.explain.text = agb_xstrdup("because");
		break;
	default:
		break;
	}
	agb_rpc_reply(s->rpc, token, &res);
	xdr_free((xdrproc_t)xdr_agb_x_res, (char *)&res);
}

static void
on_call(void *arg, uint64_t token, const char *peer, agb_x_args *args)
{
	struct endpoint *const s = arg;

	CU_ASSERT_STRING_EQUAL(peer, "127.0.0.1");
	CU_ASSERT_FATAL(s->calls < CALLS_MAX);
	s->proc = args->proc;
	if (args->proc == AGB_X_EXPLAIN)
		agb_str_copy(
		    s->text, sizeof(s->text), args->agb_x_args_u.explain.id);
	s->tokens[s->calls++] = token;
	if (!s->defer_replies)
		send_reply(s, token, args->proc);
	xdr_free((xdrproc_t)xdr_agb_x_args, (char *)args);
}

static void
on_reply(void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res)
{
	struct endpoint *const s = arg;

	s->replies++;
	s->ok += ok;
	s->sent += sent;
	s->tag = tag;
	CU_ASSERT_EQUAL(ok, res != NULL);
	if (res == NULL)
		return;
	if (res->proc == AGB_X_EXPLAIN)
		agb_str_copy(
		    s->text, sizeof(s->text), res->agb_x_res_u.explain.text);
	xdr_free((xdrproc_t)xdr_agb_x_res, (char *)res);
}

static void
on_log(void *arg, enum agb_log_level level, const char *event, const char *line)
{
	struct endpoint *const s = arg;

	agb_str_copy(s->last_event, sizeof(s->last_event), event);
	agb_str_copy(s->last_line, sizeof(s->last_line), line);
	s->lines++;
	s->incomplete_records += strstr(line, "cause=incomplete") != NULL;
}

static const struct agb_rpc_cbs cbs = {on_call, on_reply, on_log, NULL};

static void
endpoint_open(struct endpoint *s, uv_loop_t *loop)
{
	static const agb_addr allowed = "127.0.0.1";

	memset(s, 0, sizeof(*s));
	s->rpc = agb_rpc_new(loop, "127.0.0.1:0", &cbs, s);
	CU_ASSERT_PTR_NOT_NULL_FATAL(s->rpc);
	agb_rpc_set_allowed_ips(s->rpc, &allowed, 1);
}

static void
call_explain(struct endpoint *s, uint64_t tag, const char *peer, const char *id,
    uint32_t timeout_ms)
{
	agb_x_args args = {.proc = AGB_X_EXPLAIN};
	const int replies = s->replies;

	args.agb_x_args_u.explain.id = (char *)id;
	agb_rpc_call(s->rpc, tag, peer, &args, timeout_ms);
	CU_ASSERT_EQUAL(s->replies, replies);
}

/* Guards against replies that are matched to the wrong call, and against a
 * separate write for each call or reply. */
static void
test_round_trip(void)
{
	struct agb_rpc_traffic peers[4];
	static struct endpoint a, b;
	uv_loop_t loop;
	int i;

	uv_loop_init(&loop);
	endpoint_open(&a, &loop);
	endpoint_open(&b, &loop);
	call_explain(&a, 42, agb_rpc_addr(b.rpc), "job-1", 10000);
	loop_until(&loop, &a.replies, 1);
	CU_ASSERT_EQUAL(a.ok, 1);
	CU_ASSERT_EQUAL(a.tag, 42);
	CU_ASSERT_STRING_EQUAL(a.text, "because");
	CU_ASSERT_STRING_EQUAL(b.text, "job-1");
	b.defer_replies = true;
	for (i = 0; i < 100; i++)
		call_explain(&a, (uint64_t)i, agb_rpc_addr(b.rpc), "x", 0);
	loop_until(&loop, &b.calls, 101);
	for (i = 100; i >= 1; i--)
		send_reply(&b, b.tokens[i], AGB_X_EXPLAIN);
	loop_until(&loop, &a.replies, 101);
	CU_ASSERT_EQUAL(a.ok, 101);
	CU_ASSERT_EQUAL(a.tag, 0);
	CU_ASSERT_EQUAL(agb_rpc_stats(a.rpc)->writes, 2);
	CU_ASSERT_EQUAL(agb_rpc_stats(b.rpc)->writes, 2);
	CU_ASSERT_EQUAL(agb_rpc_stats(a.rpc)->connects, 1);
	CU_ASSERT_EQUAL_FATAL(agb_rpc_traffic(a.rpc, peers, 4), 1);
	CU_ASSERT_STRING_EQUAL(peers[0].addr, agb_rpc_addr(b.rpc));
	CU_ASSERT_TRUE(peers[0].bytes_out > (uint64_t)101 * 40);
	CU_ASSERT_TRUE(peers[0].bytes_in > (uint64_t)101 * 24);
	CU_ASSERT_EQUAL(agb_rpc_traffic(b.rpc, peers, 4), 1);
	CU_ASSERT_STRING_EQUAL(peers[0].addr, "127.0.0.1");
	agb_rpc_free(a.rpc);
	agb_rpc_free(b.rpc);
	loop_close(&loop);
}

/* Guards against bytes that are not counted while the connection is being
 * opened, and against bytes that are counted as waiting after they were
 * sent. */
static void
test_backlog(void)
{
	const struct agb_rpc_stats *stats;
	struct agb_rpc_traffic traffic;
	static struct endpoint a, b;
	size_t waiting, largest;
	uv_loop_t loop;
	uint64_t bytes;

	uv_loop_init(&loop);
	endpoint_open(&a, &loop);
	endpoint_open(&b, &loop);
	stats = agb_rpc_stats(a.rpc);
	call_explain(&a, 1, agb_rpc_addr(b.rpc), "job-1", 10000);
	call_explain(&a, 2, agb_rpc_addr(b.rpc), "job-2", 10000);
	bytes = stats->queued_bytes[AGB_X_EXPLAIN];
	CU_ASSERT(bytes > 0);
	agb_rpc_backlog(a.rpc, &waiting, &largest);
	CU_ASSERT_EQUAL(waiting, bytes);
	CU_ASSERT_EQUAL(largest, bytes);
	loop_until(&loop, &a.replies, 2);
	agb_rpc_backlog(a.rpc, &waiting, &largest);
	CU_ASSERT_EQUAL(waiting, 0);
	CU_ASSERT_EQUAL(agb_rpc_traffic(a.rpc, &traffic, 1), 1);
	CU_ASSERT_EQUAL(traffic.bytes_out, bytes);
	CU_ASSERT_EQUAL(agb_rpc_traffic(b.rpc, &traffic, 1), 1);
	CU_ASSERT_EQUAL(traffic.bytes_out,
	    agb_rpc_stats(b.rpc)->queued_bytes[AGB_X_EXPLAIN]);
	agb_rpc_free(a.rpc);
	agb_rpc_free(b.rpc);
	loop_close(&loop);
}

/* Guards against a call that was not sent but is reported as sent, and against
 * a connection attempt per call to a peer that is down. */
static void
test_unsent(void)
{
	char long_id[AGB_X_ID_MAX + 2];
	static struct endpoint a;
	uv_loop_t loop;
	uv_tcp_t tcp;
	agb_addr dead;
	int i;

	uv_loop_init(&loop);
	endpoint_open(&a, &loop);
	loop_bind_closed_port(&loop, &tcp, dead);
	call_explain(&a, 1, dead, "x", 0);
	call_explain(&a, 2, dead, "x", 0);
	loop_until(&loop, &a.replies, 2);
	/* The failed attempt has started the backoff, so this call fails
	 * without another connection attempt. */
	call_explain(&a, 3, dead, "x", 0);
	loop_until(&loop, &a.replies, 3);
	CU_ASSERT_EQUAL(agb_rpc_stats(a.rpc)->connect_failures, 1);
	call_explain(&a, 4, "not an address", "x", 0);
	loop_until(&loop, &a.replies, 4);
	memset(long_id, 'x', sizeof(long_id));
	long_id[sizeof(long_id) - 1] = '\0';
	call_explain(&a, 5, dead, long_id, 0);
	loop_until(&loop, &a.replies, 5);
	CU_ASSERT_STRING_EQUAL(a.last_event, "rpc-encode-failed");
	for (i = 0; i <= AGB_RPC_CALLS_MAX; i++)
		call_explain(&a, 6, agb_rpc_addr(a.rpc), "x", 0);
	a.defer_replies = true;
	loop_until(&loop, &a.replies, 6);
	CU_ASSERT_EQUAL(a.ok + a.sent, 0);
	agb_rpc_free(a.rpc);
	uv_close((uv_handle_t *)&tcp, NULL);
	loop_close(&loop);
}

/* Guards against a log that is full of messages which cannot be encoded: a leader
 * wrote a thousand lines a second. Guards against a call that cannot succeed but
 * looks like one that may be repeated. */
static void
test_encode_failures(void)
{
	enum { CALLS = 50, INTERVAL_MS = 1000 };
	char id[AGB_X_ID_MAX + 2];
	static struct endpoint a;
	agb_x_args args = {.proc = AGB_X_EXPLAIN};
	uv_loop_t loop;
	int i;

	uv_loop_init(&loop);
	endpoint_open(&a, &loop);
	memset(id, 'x', sizeof(id));
	id[sizeof(id) - 1] = '\0';
	args.agb_x_args_u.explain.id = id;
	for (i = 0; i < CALLS; i++) {
		CU_ASSERT_FALSE(
		    agb_rpc_call(a.rpc, 1, agb_rpc_addr(a.rpc), &args, 0));
	}
	loop_until(&loop, &a.replies, CALLS);
	CU_ASSERT_EQUAL(a.lines, 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(a.last_line, "suppressed=0"));
	CU_ASSERT_EQUAL(agb_rpc_stats(a.rpc)->encode_failures, CALLS);
	uv_sleep(INTERVAL_MS);
	(void)agb_rpc_call(a.rpc, 1, agb_rpc_addr(a.rpc), &args, 0);
	loop_until(&loop, &a.replies, CALLS + 1);
	CU_ASSERT_EQUAL(a.lines, 2);
	CU_ASSERT_PTR_NOT_NULL(strstr(a.last_line, "suppressed=49"));
	CU_ASSERT_EQUAL(a.ok + a.sent, 0);
	/* Other failures may be of the moment. */
	args.agb_x_args_u.explain.id = (char *)"x";
	CU_ASSERT(agb_rpc_call(a.rpc, 1, "not an address", &args, 0));
	loop_until(&loop, &a.replies, CALLS + 2);
	agb_rpc_free(a.rpc);
	loop_close(&loop);
}

static void
discard_input(struct loop_conn *c)
{
	c->in_len = 0;
}

/* Guards against a connection that stops delivering data for good and on which
 * all later calls time out, although a new connection would work. */
static void
test_silent_connection(void)
{
	enum { TIMEOUT_MS = 200, CALLS = 30 };
	struct loop_server srv;
	static struct endpoint a;
	uv_loop_t loop;
	int i;

	uv_loop_init(&loop);
	endpoint_open(&a, &loop);
	loop_server_start(&loop, &srv, discard_input, NULL);
	for (i = 1; srv.closed == 0 && i <= CALLS; i++) {
		call_explain(&a, (uint64_t)i, srv.addr, "x", TIMEOUT_MS);
		loop_until(&loop, &a.replies, i);
		uv_run(&loop, UV_RUN_NOWAIT);
	}
	/* A single call that times out must not close the connection. */
	CU_ASSERT_TRUE(i > 3);
	call_explain(&a, (uint64_t)i, srv.addr, "x", TIMEOUT_MS);
	loop_until(&loop, &a.replies, i);
	CU_ASSERT_EQUAL(srv.accepted, 2);
	CU_ASSERT_EQUAL(a.ok, 0);
	CU_ASSERT_EQUAL(a.sent, i);
	agb_rpc_free(a.rpc);
	loop_server_close(&srv);
	loop_close(&loop);
}

static uint32_t
get_word(const char *p, size_t i)
{
	uint32_t v;

	memcpy(&v, p + i * 4, 4);
	return ntohl(v);
}

static void
set_word(char *p, size_t i, uint32_t v)
{
	v = htonl(v);
	memcpy(p + i * 4, &v, 4);
}

/* How the fake peer answers a call. */
enum script {
	SCRIPT_SILENT,
	SCRIPT_CLOSE,
	SCRIPT_OTHER_XID,
	SCRIPT_OTHER_PROC,
	SCRIPT_NOT_A_REPLY,
	SCRIPT_OVERSIZED,
	SCRIPT_TRUNCATED,
	SCRIPT_PROG,
	SCRIPT_SYSTEM,
};

static void
send_scripted_reply(struct loop_conn *c)
{
	const enum script script = *(const enum script *)c->server->arg;
	static char buf[AGB_RPC_BUF_LEN];
	agb_x_res res = {.proc = AGB_X_EXPLAIN};
	enum agb_rpcmsg_status status = AGB_RPC_OK;
	uint32_t xid;
	size_t len;

	if (c->in_len < 8)
		return;
	xid = get_word(c->in, 1);
	c->in_len = 0;
	res.agb_x_res_u.explain.text = "t";
	if (script == SCRIPT_OTHER_XID)
		xid += 1000;
	if (script == SCRIPT_OTHER_PROC)
		res.proc = AGB_X_RELEASE;
	if (script == SCRIPT_PROG)
		status = AGB_RPC_PROG_UNAVAIL;
	if (script == SCRIPT_SYSTEM)
		status = AGB_RPC_SYSTEM_ERR;
	len = agb_rpcmsg_encode_reply(buf, xid, status, &res);
	if (script == SCRIPT_NOT_A_REPLY)
		set_word(buf, 2, 7);
	if (script == SCRIPT_OVERSIZED)
		set_word(buf, 0, 0xfffffffcu);
	if (script == SCRIPT_TRUNCATED)
		len -= 4;
	if (script != SCRIPT_SILENT && script != SCRIPT_CLOSE)
		loop_conn_write(c, buf, len);
	if (script == SCRIPT_CLOSE || script == SCRIPT_TRUNCATED)
		loop_conn_close(c);
}

/* Guards against a forged, truncated or late reply that ends the wrong call or
 * is accepted as a result, and against a call whose reply is lost but that is
 * reported as not sent. */
static void
test_forged_replies(void)
{
	static const struct {
		enum script script;
		bool sent;
		uint64_t malformed;
		uint64_t unknown;
	} cases[] = {
	    {SCRIPT_SILENT, true, 0, 0},
	    {SCRIPT_CLOSE, true, 0, 0},
	    {SCRIPT_OTHER_XID, true, 0, 1},
	    {SCRIPT_OTHER_PROC, true, 1, 0},
	    {SCRIPT_NOT_A_REPLY, true, 1, 0},
	    {SCRIPT_OVERSIZED, true, 1, 0},
	    {SCRIPT_TRUNCATED, true, 0, 0},
	    {SCRIPT_PROG, false, 0, 0},
	    {SCRIPT_SYSTEM, true, 0, 0},
	};
	struct loop_server srv;
	static struct endpoint a;
	uv_loop_t loop;
	size_t i;
	bool waits;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uv_loop_init(&loop);
		endpoint_open(&a, &loop);
		loop_server_start(
		    &loop, &srv, send_scripted_reply, (void *)&cases[i].script);
		/* Only these two scripts leave the call open until its
		 * timeout. */
		waits = cases[i].script == SCRIPT_SILENT ||
		    cases[i].script == SCRIPT_OTHER_XID;
		call_explain(&a, 1, srv.addr, "x", waits ? 200 : 0);
		loop_until(&loop, &a.replies, 1);
		CU_ASSERT_EQUAL(a.ok, 0);
		CU_ASSERT_EQUAL(a.sent, cases[i].sent);
		CU_ASSERT_EQUAL(
		    agb_rpc_stats(a.rpc)->malformed, cases[i].malformed);
		CU_ASSERT_EQUAL(
		    agb_rpc_stats(a.rpc)->unknown_xid, cases[i].unknown);
		agb_rpc_free(a.rpc);
		loop_server_close(&srv);
		loop_close(&loop);
	}
}

/* Connects a plain socket to an endpoint. */
static int
raw_connect(const struct endpoint *s)
{
	struct sockaddr_storage sa;
	const int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_TRUE_FATAL(agb_addr_parse(agb_rpc_addr(s->rpc), false, &sa));
	CU_ASSERT_EQUAL_FATAL(
	    connect(fd, (struct sockaddr *)&sa, sizeof(struct sockaddr_in)), 0);
	return fd;
}

/* Sends all bytes, running the loop whenever the socket is full. */
static void
raw_send(uv_loop_t *loop, int fd, const char *buf, size_t len)
{
	size_t done = 0;
	ssize_t n;
	int i;

	for (i = 0; i < 20000 && done < len; i++) {
		n = send(fd, buf + done, len - done, MSG_DONTWAIT);
		if (n > 0)
			done += (size_t)n;
		else
			uv_run(loop, UV_RUN_NOWAIT);
	}
	CU_ASSERT_EQUAL(done, len);
}

/* Runs the loop until the socket has data or is closed by the endpoint. Returns
 * the number of bytes received, 0 at the end, or -1 when neither happens. */
static ssize_t
raw_recv(uv_loop_t *loop, int fd, char *buf, size_t len)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	int i;

	for (i = 0; i < 20000; i++) {
		uv_run(loop, UV_RUN_NOWAIT);
		if (poll(&p, 1, 1) > 0)
			return recv(fd, buf, len, MSG_DONTWAIT);
	}
	return -1;
}

/**
 * struct call_case - change to a valid call and the expected reaction
 * @word_index: index of the changed word; word 0 is the record mark
 * @value: new value of the word
 * @closed: the connection is closed without a reply
 */
struct call_case {
	const char *name;
	size_t word_index;
	uint32_t value;
	bool closed;
	uint32_t reply_stat;
	uint32_t accept_stat;
};

static const struct call_case call_cases[] = {
    {"good", 4, AGB_X_PROG, false, MSG_ACCEPTED, SUCCESS},
    {"rpc version", 3, 3, false, MSG_DENIED, RPC_MISMATCH},
    {"program", 4, 7, false, MSG_ACCEPTED, PROG_UNAVAIL},
    {"program version", 5, 9, false, MSG_ACCEPTED, PROG_MISMATCH},
    {"procedure", 6, 99, false, MSG_ACCEPTED, PROC_UNAVAIL},
    {"other discriminant", 6, AGB_X_CANCEL, false, MSG_ACCEPTED, GARBAGE_ARGS},
    {"unknown discriminant", 11, 99, false, MSG_ACCEPTED, GARBAGE_ARGS},
    {"string past the end", 12, 60, false, MSG_ACCEPTED, GARBAGE_ARGS},
    {"string too long", 12, 0x7fffffff, false, MSG_ACCEPTED, GARBAGE_ARGS},
    {"bytes left over", 12, 0, false, MSG_ACCEPTED, GARBAGE_ARGS},
    {"not a call", 2, REPLY, true, 0, 0},
    {"credentials too long", 8, 404, true, 0, 0},
    {"credentials past the end", 8, 400, true, 0, 0},
    {"record too large", 0, 0x80200004, true, 0, 0},
    {"largest length", 0, 0xffffffff, true, 0, 0},
    {"empty fragment", 0, 0, true, 0, 0},
    {"odd length", 0, 0x80000033, true, 0, 0},
};

/* Guards against a malformed call that is passed to the call callback, that makes
 * the endpoint allocate the length it claims, or that gets no error reply. */
static void
test_forged_calls(void)
{
	agb_x_args args = {.proc = AGB_X_EXPLAIN};
	static char buf[AGB_RPC_BUF_LEN];
	const struct call_case *c;
	static struct endpoint s;
	char in[256];
	uv_loop_t loop;
	size_t i, len;
	ssize_t n;
	int fd;

	args.agb_x_args_u.explain.id = "x";
	uv_loop_init(&loop);
	endpoint_open(&s, &loop);
	for (i = 0; i < sizeof(call_cases) / sizeof(call_cases[0]); i++) {
		c = &call_cases[i];
		len = agb_rpcmsg_encode_call(buf, 5, &args);
		set_word(buf, c->word_index, c->value);
		fd = raw_connect(&s);
		raw_send(&loop, fd, buf, len);
		n = raw_recv(&loop, fd, in, sizeof(in));
		if ((n <= 0) != c->closed)
			printf("%s: %zd\n", c->name, n);
		CU_ASSERT_EQUAL(n <= 0, c->closed);
		if (n >= 28 && !c->closed) {
			CU_ASSERT_EQUAL(get_word(in, 1), 5);
			CU_ASSERT_EQUAL(get_word(in, 2), REPLY);
			CU_ASSERT_EQUAL(get_word(in, 3), c->reply_stat);
			CU_ASSERT_EQUAL(
			    get_word(in, c->reply_stat == MSG_DENIED ? 4 : 6),
			    c->accept_stat);
		}
		close(fd);
	}
	CU_ASSERT_EQUAL(s.calls, 1);
	CU_ASSERT_EQUAL(agb_rpc_stats(s.rpc)->malformed, 7);
	CU_ASSERT_EQUAL(s.incomplete_records, 0);
	CU_ASSERT_EQUAL(agb_rpc_stats(s.rpc)->rejected_calls, 9);
	agb_rpc_free(s.rpc);
	loop_close(&loop);
}

/* Guards against calls that are accepted from an address that is not allowed. */
static void
test_allowed(void)
{
	const agb_addr other = "127.0.0.2";
	static struct endpoint s;
	uv_loop_t loop;
	char in[16];
	int fd;

	uv_loop_init(&loop);
	endpoint_open(&s, &loop);
	agb_rpc_set_allowed_ips(s.rpc, &other, 1);
	fd = raw_connect(&s);
	CU_ASSERT_EQUAL(raw_recv(&loop, fd, in, sizeof(in)), 0);
	CU_ASSERT_EQUAL(agb_rpc_stats(s.rpc)->refused_conns, 1);
	close(fd);
	agb_rpc_free(s.rpc);
	loop_close(&loop);
}

/* Guards against unbounded memory use for a peer that sends calls but never
 * reads the replies, and against lost calls of a peer that has reached the limit
 * of open calls. */
static void
test_flood(void)
{
	agb_x_args args = {.proc = AGB_X_ENV_GET};
	static char buf[AGB_RPC_BUF_LEN], in[65536];
	static struct endpoint s;
	uv_loop_t loop;
	size_t len;
	ssize_t n;
	int i, fd;

	uv_loop_init(&loop);
	endpoint_open(&s, &loop);
	s.text_len = AGB_X_TEXT_MAX;
	len = agb_rpcmsg_encode_call(buf, 5, &args);
	fd = raw_connect(&s);
	for (i = 0; i < 64; i++)
		raw_send(&loop, fd, buf, len);
	for (i = 0; i < 20000 && agb_rpc_stats(s.rpc)->slow_peers == 0; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	CU_ASSERT_EQUAL(agb_rpc_stats(s.rpc)->slow_peers, 1);
	close(fd);

	s.defer_replies = true;
	s.calls = 0;
	s.text_len = 0;
	fd = raw_connect(&s);
	for (i = 0; i < 5000; i++)
		raw_send(&loop, fd, buf, len);
	loop_until(&loop, &s.calls, AGB_RPC_CALLS_MAX);
	uv_run(&loop, UV_RUN_NOWAIT);
	CU_ASSERT_EQUAL(s.calls, AGB_RPC_CALLS_MAX);
	s.defer_replies = false;
	for (i = 0; i < AGB_RPC_CALLS_MAX; i++)
		send_reply(&s, s.tokens[i], AGB_X_ENV_GET);
	loop_until(&loop, &s.calls, 5000);
	len = 0;
	/* A reply with an empty text has 11 words, record mark included. */
	while (len < (size_t)5000 * 44 &&
	    (n = raw_recv(&loop, fd, in, sizeof(in))) > 0)
		len += (size_t)n;
	CU_ASSERT_EQUAL(len, (size_t)5000 * 44);
	/* Answering a call whose connection has been closed is a no-op. */
	s.defer_replies = true;
	len = agb_rpcmsg_encode_call(buf, 5, &args);
	raw_send(&loop, fd, buf, len);
	loop_until(&loop, &s.calls, 5001);
	close(fd);
	for (i = 0; i < 10; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	send_reply(&s, s.tokens[5000], AGB_X_ENV_GET);
	agb_rpc_free(s.rpc);
	loop_close(&loop);
}

/* A peer that sends calls and reads no replies. Guards against bytes that the
 * socket has not taken and that are not counted. */
static void
test_backlog_of_slow_peer(void)
{
	agb_x_args args = {.proc = AGB_X_ENV_GET};
	static char buf[AGB_RPC_BUF_LEN];
	size_t waiting, largest;
	static struct endpoint s;
	uv_loop_t loop;
	uint64_t bytes;
	size_t len;
	int i, fd;

	uv_loop_init(&loop);
	endpoint_open(&s, &loop);
	s.text_len = AGB_X_TEXT_MAX;
	len = agb_rpcmsg_encode_call(buf, 5, &args);
	fd = raw_connect(&s);
	agb_rpc_backlog(s.rpc, &waiting, &largest);
	for (i = 0; i < 64 && waiting == 0; i++) {
		raw_send(&loop, fd, buf, len);
		loop_until(&loop, &s.calls, i + 1);
		uv_run(&loop, UV_RUN_NOWAIT);
		agb_rpc_backlog(s.rpc, &waiting, &largest);
	}
	bytes = agb_rpc_stats(s.rpc)->queued_bytes[AGB_X_ENV_GET];
	CU_ASSERT(waiting > 0 && waiting <= bytes);
	CU_ASSERT_EQUAL(largest, waiting);
	close(fd);
	agb_rpc_free(s.rpc);
	loop_close(&loop);
}

/* Guards against a reader whose records depend on how TCP splits the stream. */
static void
test_reader(void)
{
	static const char stream[] = "\x00\x00\x00\x04"
				     "abcd"
				     "\x80\x00\x00\x04"
				     "efgh"
				     "\x80\x00\x00\x08"
				     "ijklmnop";
	struct agb_rpcmsg_reader r;
	char all[32];
	const char *rec;
	size_t step, at, n, space, len = 0;

	for (step = 1; step < sizeof(stream); step++) {
		memset(&r, 0, sizeof(r));
		memset(all, 0, sizeof(all));
		for (at = 0; at < sizeof(stream) - 1; at += n) {
			n = sizeof(stream) - 1 - at;
			if (n > step)
				n = step;
			memcpy(agb_rpcmsg_reader_reserve(&r, &space),
			    stream + at, n);
			agb_rpcmsg_reader_commit(&r, n);
			while (agb_rpcmsg_reader_next(&r, &rec, &len) &&
			    rec != NULL) {
				strncat(all, rec, len);
				strncat(all, "|", 2);
			}
		}
		CU_ASSERT_STRING_EQUAL(all, "abcdefgh|ijklmnop|");
		CU_ASSERT_FALSE(agb_rpcmsg_reader_in_record(&r));
		agb_rpcmsg_reader_free(&r);
	}
}

/* Guards against invalid addresses that are accepted, such as one without a
 * port, and against addresses that are parsed wrongly. */
static void
test_addr(void)
{
	static const struct {
		const char *text;
		const char *with_port; /* NULL if the address is invalid */
		const char *ip;
	} cases[] = {
	    {"127.0.0.1:80", "127.0.0.1:80", "127.0.0.1"},
	    {"[::1]:80", "[::1]:80", "::1"},
	    {"[::ffff:10.0.0.1]:80", "10.0.0.1:80", "10.0.0.1"},
	    {"::1:80", NULL, NULL},
	    {"127.0.0.1", NULL, NULL},
	    {"127.0.0.1:", NULL, NULL},
	    {"127.0.0.1:0", NULL, NULL},
	    {"127.0.0.1:65536", NULL, NULL},
	    {"127.0.0.1:8x", NULL, NULL},
	    {":80", NULL, NULL},
	    {"localhost:80", NULL, NULL},
	};
	struct sockaddr_storage sa;
	agb_addr out;
	size_t i;
	bool ok;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		ok = agb_addr_parse(cases[i].text, false, &sa);
		CU_ASSERT_EQUAL(ok, cases[i].with_port != NULL);
		if (!ok || cases[i].with_port == NULL)
			continue;
		agb_addr_format(&sa, true, out);
		CU_ASSERT_STRING_EQUAL(out, cases[i].with_port);
		agb_addr_format(&sa, false, out);
		CU_ASSERT_STRING_EQUAL(out, cases[i].ip);
	}
}

/* Calls that a callback makes between two pieces of work. */
struct busy_caller {
	struct endpoint *from;
	const char *peer;
	unsigned before_ms;
	unsigned after_ms;
};

static void
call_between_work(uv_timer_t *t)
{
	const struct busy_caller *const b = t->data;

	uv_sleep(b->before_ms);
	call_explain(b->from, 1, b->peer, "x", 100);
	uv_sleep(b->after_ms);
}

static void
answer_late(uv_timer_t *t)
{
	struct endpoint *const s = t->data;

	if (s->calls == 0)
		return;
	uv_timer_stop(t);
	send_reply(s, s->tokens[0], s->proc);
}

/* Guards against a peer that counts as silent because this process was busy:
 * the time before a call is written does not count towards its timeout. */
static void
test_timeout_of_busy_process(void)
{
	static const struct {
		unsigned before_ms, after_ms;
	} cases[] = {{0, 0}, {150, 0}, {0, 150}, {400, 400}};
	static struct endpoint a, b;
	struct busy_caller caller;
	uv_timer_t timer, answer;
	uv_loop_t loop;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uv_loop_init(&loop);
		endpoint_open(&a, &loop);
		endpoint_open(&b, &loop);
		/* The connection exists before the call. */
		call_explain(&a, 9, agb_rpc_addr(b.rpc), "y", 5000);
		loop_until(&loop, &a.replies, 1);
		b.calls = 0;
		b.defer_replies = true;
		caller.from = &a;
		caller.peer = agb_rpc_addr(b.rpc);
		caller.before_ms = cases[i].before_ms;
		caller.after_ms = cases[i].after_ms;
		uv_timer_init(&loop, &timer);
		uv_timer_init(&loop, &answer);
		timer.data = &caller;
		answer.data = &b;
		uv_timer_start(&timer, call_between_work, 1, 0);
		uv_timer_start(&answer, answer_late, 20, 20);
		loop_until(&loop, &a.replies, 2);
		CU_ASSERT_EQUAL(a.ok, 2);
		uv_close((uv_handle_t *)&timer, NULL);
		uv_close((uv_handle_t *)&answer, NULL);
		agb_rpc_free(a.rpc);
		agb_rpc_free(b.rpc);
		loop_close(&loop);
	}
}

/* An endpoint that repeats a call as soon as it has failed. */
struct repeating_caller {
	struct agb_rpc *rpc;
	const char *peer;
	const char *id;
	int calls;
	int sent;
};

static void
repeat_call(struct repeating_caller *c)
{
	agb_x_args args = {.proc = AGB_X_EXPLAIN};

	c->calls++;
	args.agb_x_args_u.explain.id = (char *)(uintptr_t)c->id;
	agb_rpc_call(c->rpc, 1, c->peer, &args, 5000);
}

static void
on_repeated_call_failed(
    void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res)
{
	struct repeating_caller *const c = arg;

	CU_ASSERT_FALSE(ok);
	c->sent += sent;
	repeat_call(c);
}

/* Guards against a process that does nothing but repeat a call which fails
 * before it is sent, since it cannot be encoded or its peer cannot be reached.
 */
static void
test_repeated_unsent_calls(void)
{
	static const struct agb_rpc_cbs repeating_cbs = {
	    .reply = on_repeated_call_failed};
	static const struct {
		bool closed_port;
		size_t id_len;
	} cases[] = {
	    {false, AGB_X_ID_MAX + 1},
	    {true, 1},
	    {false, 1},
	};
	const int run_ms = 300, interval_ms = 5;
	struct repeating_caller c;
	char id[AGB_X_ID_MAX + 2];
	agb_addr closed;
	uint64_t until;
	uv_loop_t loop;
	uv_tcp_t tcp;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&c, 0, sizeof(c));
		memset(id, 'x', sizeof(id));
		id[cases[i].id_len] = '\0';
		uv_loop_init(&loop);
		loop_bind_closed_port(&loop, &tcp, closed);
		c.rpc = agb_rpc_new(&loop, "127.0.0.1:0", &repeating_cbs, &c);
		CU_ASSERT_PTR_NOT_NULL_FATAL(c.rpc);
		c.id = id;
		c.peer = cases[i].closed_port ? closed
		    : cases[i].id_len > 1     ? "127.0.0.1:1"
					      : "no address";
		repeat_call(&c);
		CU_ASSERT_EQUAL(c.calls, 1);
		until = uv_hrtime() + (uint64_t)run_ms * 1000000;
		while (uv_hrtime() < until)
			uv_run(&loop, UV_RUN_ONCE);
		CU_ASSERT(c.calls > 5);
		CU_ASSERT(c.calls <= run_ms / interval_ms);
		CU_ASSERT_EQUAL(c.sent, 0);
		uv_close((uv_handle_t *)&tcp, NULL);
		agb_rpc_free(c.rpc);
		loop_close(&loop);
	}
}

/* Guards against a caller that connects again at once, some ten thousand times a
 * second, to a peer that accepts its connections and closes them. */
static void
test_refused_caller(void)
{
	/* The delays are at least 25, 50, 100, 200 and 400 ms. */
	const uint64_t run_ms = 600, connects_max = 6;
	static const struct agb_rpc_cbs repeating_cbs = {
	    .reply = on_repeated_call_failed};
	const agb_addr other = "127.0.0.2";
	static struct endpoint refusing;
	struct repeating_caller c = {.id = "x"};
	uv_loop_t loop;
	uint64_t until;

	uv_loop_init(&loop);
	endpoint_open(&refusing, &loop);
	agb_rpc_set_allowed_ips(refusing.rpc, &other, 1);
	c.rpc = agb_rpc_new(&loop, "127.0.0.1:0", &repeating_cbs, &c);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c.rpc);
	c.peer = agb_rpc_addr(refusing.rpc);
	repeat_call(&c);
	until = uv_hrtime() + run_ms * 1000000;
	while (uv_hrtime() < until)
		uv_run(&loop, UV_RUN_ONCE);
	CU_ASSERT(agb_rpc_stats(refusing.rpc)->refused_conns > 1);
	CU_ASSERT(agb_rpc_stats(refusing.rpc)->refused_conns <= connects_max);
	CU_ASSERT(agb_rpc_stats(c.rpc)->connects <= connects_max);
	agb_rpc_free(c.rpc);
	agb_rpc_free(refusing.rpc);
	loop_close(&loop);
}

static const struct suite_test tests[] = {
    {"round_trip", test_round_trip},
    {"backlog", test_backlog},
    {"backlog: slow peer", test_backlog_of_slow_peer},
    {"unsent", test_unsent},
    {"repeated unsent calls", test_repeated_unsent_calls},
    {"encode failures", test_encode_failures},
    {"silent connection", test_silent_connection},
    {"timeout of a busy process", test_timeout_of_busy_process},
    {"forged_replies", test_forged_replies},
    {"forged_calls", test_forged_calls},
    {"allowed", test_allowed},
    {"refused caller", test_refused_caller},
    {"flood", test_flood},
    {"reader", test_reader},
    {"addr", test_addr},
};

int
main(void)
{
	return suite_run("rpc", tests, sizeof(tests) / sizeof(tests[0]));
}

#include <json-c/json.h>

#include "httpc.h"
#include "loop.h"
#include "mem.h"
#include "platform_part.h"
#include "store_etcd.h"
#include "suite.h"

/**
 * struct fixture - platform, store client and what its callbacks have recorded
 * @dead: holds a port on which nothing listens
 * @http: client for requests to the platform that the store client cannot make
 * @res: result of the last call
 * @changes: number of changes reported by watches
 * @watch_rev: revision of the last report of a watch
 * @change_log: reported changes as "KEY=VALUE ", with "-" before a deleted key
 * @body: body of the last response to @http
 * @close_in_callback: close the store client in the watch callback
 */
struct fixture {
	uv_loop_t loop;
	uv_tcp_t dead;
	struct platform *platform;
	struct agb_store *store;
	struct agb_httpc *http;
	int answers;
	struct agb_store_result res;
	int watch_callbacks;
	int broken_watches;
	int changes;
	uint64_t watch_rev;
	char change_log[256];
	char body[512];
	int http_responses;
	bool close_in_callback;
};

static void
on_answer(void *arg, uint64_t tag, struct agb_store_result *res)
{
	struct fixture *const x = arg;

	agb_store_result_free(&x->res);
	x->res = *res;
	CU_ASSERT_EQUAL(tag, 7);
	x->answers++;
}

static void
on_watch(void *arg, uint64_t tag, struct agb_store_kv *kvs, size_t len,
    uint64_t revision, bool broken)
{
	struct fixture *const x = arg;
	size_t i, n;

	for (i = 0; i < len; i++) {
		n = strlen(x->change_log);
		if (n < sizeof(x->change_log) - 1)
			snprintf(x->change_log + n, sizeof(x->change_log) - n,
			    "%s%s=%s ", kvs[i].deleted ? "-" : "", kvs[i].key,
			    kvs[i].val);
	}
	if (x->close_in_callback)
		x->store->ops->close(x->store);
	x->changes += (int)len;
	x->watch_callbacks++;
	if (broken)
		x->broken_watches++;
	else
		x->watch_rev = revision;
	agb_store_kvs_free(kvs, len);
}

static void
on_http_response(void *arg, const struct agb_httpc_res *res)
{
	struct fixture *const x = arg;

	x->http_responses++;
	CU_ASSERT_EQUAL(res->http_status, 200);
	snprintf(
	    x->body, sizeof(x->body), "%s", res->body != NULL ? res->body : "");
}

static void
send_http(
    struct fixture *x, const char *method, const char *path, const char *body)
{
	const struct agb_httpc_req req = {.addr = platform_addr(x->platform),
	    .method = method,
	    .path = path,
	    .body = body,
	    .body_len = strlen(body),
	    .cb = on_http_response,
	    .arg = x};

	x->http_responses = 0;
	agb_httpc_request(x->http, &req);
	loop_until(&x->loop, &x->http_responses, 1);
}

static void
setup(struct fixture *x, size_t dead_endpoints)
{
	agb_addr endpoints[2];

	memset(x, 0, sizeof(*x));
	uv_loop_init(&x->loop);
	loop_bind_closed_port(&x->loop, &x->dead, endpoints[0]);
	x->platform = platform_new(&x->loop, "127.0.0.1:0", 0);
	x->http = agb_httpc_new(&x->loop, 1);
	agb_str_copy(endpoints[dead_endpoints], sizeof(endpoints[0]),
	    platform_addr(x->platform));
	x->store = agb_store_etcd_new(
	    &x->loop, endpoints, dead_endpoints + 1, on_answer, on_watch, x);
}

static void
teardown(struct fixture *x)
{
	x->store->ops->close(x->store);
	agb_httpc_free(x->http);
	platform_free(x->platform);
	uv_close((uv_handle_t *)&x->dead, NULL);
	loop_close(&x->loop);
	agb_store_result_free(&x->res);
}

/* Makes a call and waits for its result. */
static struct agb_store_result *
call(struct fixture *x, struct agb_store_op *op)
{
	const int n = x->answers;

	x->store->ops->call(x->store, 7, op, 10000);
	CU_ASSERT_EQUAL(x->answers, n);
	loop_until(&x->loop, &x->answers, n + 1);
	return &x->res;
}

static struct agb_store_result *
put(struct fixture *x, const char *key, const char *val)
{
	struct agb_store_op op;

	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_put(&op, key, val, strlen(val), 0);
	return call(x, &op);
}

static struct agb_store_result *
range(struct fixture *x, const char *key, const char *end, uint32_t limit)
{
	struct agb_store_op op;

	agb_store_op_init_range(&op, key, end, limit);
	return call(x, &op);
}

/* Guards against a transaction that succeeds although the owner key has changed
 * since the epoch it names, and against keys that outlive their lease. */
static void
test_election(void)
{
	struct agb_store_op op;
	struct fixture x;
	uint64_t epoch;
	int64_t lease;

	setup(&x, 0);
	agb_store_op_init(&op, AGB_STORE_LEASE_GRANT);
	op.ttl_s = 60;
	lease = call(&x, &op)->lease;
	CU_ASSERT_TRUE(lease > 0);
	CU_ASSERT_EQUAL(x.res.ttl_s, 60);
	for (int i = 0; i < 2; i++) {
		agb_store_op_init(&op, AGB_STORE_TXN);
		agb_store_op_add_cmp(&op, "owner", AGB_STORE_CMP_CREATE_REV, 0);
		agb_store_op_add_put(&op, "owner", "a\0b", 3, lease);
		CU_ASSERT_EQUAL(call(&x, &op)->succeeded, i == 0);
	}
	CU_ASSERT_EQUAL_FATAL(range(&x, "owner", NULL, 0)->kvs_len, 1);
	epoch = x.res.kvs[0].create_rev;
	CU_ASSERT_EQUAL(x.res.kvs[0].lease, lease);
	CU_ASSERT_EQUAL(x.res.kvs[0].val_len, 3);
	for (int i = 0; i < 2; i++) {
		agb_store_op_init(&op, AGB_STORE_TXN);
		agb_store_op_add_cmp(
		    &op, "owner", AGB_STORE_CMP_CREATE_REV, epoch);
		agb_store_op_add_put(&op, "journal/1", "", 0, 0);
		CU_ASSERT_EQUAL(call(&x, &op)->succeeded, i == 0);
		agb_store_op_init(&op, AGB_STORE_LEASE_REVOKE);
		op.lease = lease;
		CU_ASSERT_EQUAL(call(&x, &op)->status,
		    i == 0 ? AGB_STORE_OK : AGB_STORE_REFUSED);
	}
	CU_ASSERT_EQUAL(range(&x, "owner", NULL, 0)->kvs_len, 0);
	agb_store_op_init(&op, AGB_STORE_LEASE_KEEPALIVE);
	op.lease = lease;
	CU_ASSERT_EQUAL(call(&x, &op)->status, AGB_STORE_OK);
	CU_ASSERT_EQUAL(x.res.ttl_s, 0);
	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_put(&op, "k", "v", 1, lease);
	CU_ASSERT_EQUAL(call(&x, &op)->status, AGB_STORE_REFUSED);
	CU_ASSERT_EQUAL(x.store->ops->call_count(x.store), 11);
	teardown(&x);
}

/* Guards against paged reads that skip or repeat keys, and against values of the
 * maximum size that are rejected or truncated. */
static void
test_range(void)
{
	char *const big = agb_xcalloc(AGB_STORE_VALUE_MAX, 1);
	struct agb_store_op op;
	struct fixture x;

	setup(&x, 0);
	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_put(&op, "a/1", "x", 1, 0);
	agb_store_op_add_put(&op, "a/2", "y", 1, 0);
	agb_store_op_add_put(&op, "a/3", big, AGB_STORE_VALUE_MAX, 0);
	agb_store_op_add_put(&op, "b", "z", 1, 0);
	CU_ASSERT_TRUE(call(&x, &op)->succeeded);
	CU_ASSERT_EQUAL_FATAL(range(&x, "a/", "a0", 2)->kvs_len, 2);
	CU_ASSERT_TRUE(x.res.more);
	CU_ASSERT_STRING_EQUAL(x.res.kvs[1].key, "a/2");
	CU_ASSERT_EQUAL_FATAL(range(&x, "a/3", "a0", 2)->kvs_len, 1);
	CU_ASSERT_FALSE(x.res.more);
	CU_ASSERT_EQUAL(x.res.kvs[0].val_len, AGB_STORE_VALUE_MAX);
	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_delete(&op, "a/", "a0");
	CU_ASSERT_TRUE(call(&x, &op)->succeeded);
	agb_store_op_init_range(&op, "a", "c", 0);
	op.keys_only = true;
	CU_ASSERT_EQUAL_FATAL(call(&x, &op)->kvs_len, 1);
	CU_ASSERT_EQUAL(x.res.kvs[0].val_len, 0);
	teardown(&x);
	free(big);
}

/* Guards against a write that is reported as refused although it may have taken
 * effect, because its answer was lost or the store went down, and against a
 * client that sends such a write again. */
static void
test_lost(void)
{
	struct fixture x;

	setup(&x, 0);
	send_http(&x, "POST", "/standin/faults", "{\"lose_answers\":1}");
	CU_ASSERT_EQUAL(put(&x, "k", "v")->status, AGB_STORE_LOST);
	CU_ASSERT_EQUAL(range(&x, "k", NULL, 0)->kvs_len, 1);
	send_http(&x, "POST", "/standin/faults", "{\"down\":true}");
	CU_ASSERT_EQUAL(put(&x, "l", "v")->status, AGB_STORE_LOST);
	send_http(&x, "POST", "/standin/faults", "{\"down\":false}");
	CU_ASSERT_EQUAL(range(&x, "l", NULL, 0)->kvs_len, 0);
	CU_ASSERT_EQUAL(x.res.status, AGB_STORE_OK);
	send_http(&x, "GET", "/standin/counters", "");
	CU_ASSERT_PTR_NOT_NULL(strstr(x.body, "\"range\":2,\"txn\":1,"));
	teardown(&x);
}

/* Guards against calls and watches that fail because one of several endpoints is
 * down, and against a wrong status when all of them are. */
static void
test_endpoints(void)
{
	struct agb_store_op op;
	struct agb_store *store;
	struct fixture x;
	uv_tcp_t tcp;
	agb_addr dead;

	setup(&x, 1);
	/* The watch and the call both try the dead endpoint first. */
	x.store->ops->watch(x.store, 8, "k", NULL, 1);
	CU_ASSERT_EQUAL(put(&x, "k", "v")->status, AGB_STORE_OK);
	loop_until(&x.loop, &x.watch_callbacks, 1);
	CU_ASSERT_STRING_EQUAL(x.change_log, "k=v ");
	loop_bind_closed_port(&x.loop, &tcp, dead);
	store = agb_store_etcd_new(&x.loop, &dead, 1, on_answer, on_watch, &x);
	agb_store_op_init_range(&op, "k", NULL, 0);
	store->ops->call(store, 7, &op, 1000);
	loop_until(&x.loop, &x.answers, 2);
	CU_ASSERT_EQUAL(x.res.status, AGB_STORE_REFUSED);
	store->ops->watch(store, 8, "k", NULL, 1);
	loop_until(&x.loop, &x.broken_watches, 1);
	store->ops->close(store);
	uv_close((uv_handle_t *)&tcp, NULL);
	teardown(&x);
}

/* Guards against changes that are missed or reported twice when a watch breaks
 * in the middle of a message, and against a break that is not reported. */
static void
test_watch(void)
{
	struct agb_store_op op;
	struct fixture x;

	setup(&x, 0);
	put(&x, "a/0", "before");
	x.store->ops->watch(x.store, 9, "a/", "a0", 0);
	loop_until(&x.loop, &x.watch_callbacks, 1);
	CU_ASSERT_EQUAL(x.watch_rev, x.res.revision);
	put(&x, "a/1", "1");
	put(&x, "b", "no");
	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_put(&op, "a/2", "2", 1, 0);
	agb_store_op_add_delete(&op, "a/1", NULL);
	call(&x, &op);
	loop_until(&x.loop, &x.changes, 3);
	CU_ASSERT_STRING_EQUAL(x.change_log, "a/1=1 a/2=2 -a/1= ");
	CU_ASSERT_EQUAL(x.watch_rev, x.res.revision);
	send_http(&x, "POST", "/standin/faults", "{\"break_watches\":true}");
	loop_until(&x.loop, &x.broken_watches, 1);
	put(&x, "a/3", "3");
	x.change_log[0] = '\0';
	x.store->ops->watch(x.store, 9, "a/", "a0", x.watch_rev + 1);
	loop_until(&x.loop, &x.changes, 4);
	CU_ASSERT_STRING_EQUAL(x.change_log, "a/3=3 ");
	x.store->ops->unwatch(x.store, 9);
	put(&x, "a/4", "4");
	CU_ASSERT_EQUAL(x.changes, 4);
	teardown(&x);
}

/* Guards against a use after free when the client is closed in its own watch
 * callback. */
static void
test_close_in_callback(void)
{
	struct fixture x;

	setup(&x, 0);
	put(&x, "k", "v");
	x.close_in_callback = true;
	x.store->ops->watch(x.store, 9, "k", NULL, 1);
	loop_until(&x.loop, &x.changes, 1);
	x.store = agb_store_etcd_new(
	    &x.loop, &(agb_addr){"127.0.0.1:0"}, 1, on_answer, on_watch, &x);
	teardown(&x);
}

/* Guards against a watch from a compacted revision that is not reported as
 * broken, so that the missing changes go unnoticed. */
static void
test_compacted(void)
{
	struct agb_store_op op;
	struct fixture x;
	char key[16];
	int i, j;

	setup(&x, 0);
	for (i = 0; i < 40; i++) {
		agb_store_op_init(&op, AGB_STORE_TXN);
		for (j = 0; j < 128; j++) {
			snprintf(key, sizeof(key), "k%d", j);
			agb_store_op_add_put(&op, key, "", 0, 0);
		}
		call(&x, &op);
	}
	x.store->ops->watch(x.store, 9, "k", "l", 1);
	loop_until(&x.loop, &x.broken_watches, 1);
	CU_ASSERT_EQUAL(x.changes, 0);
	teardown(&x);
}

struct answer_case {
	const char *name;
	const char *body;
	enum agb_store_op_kind kind;
	bool ok;
};

#define HEADER "\"header\":{\"revision\":\"9\"}"
#define KV(key, more) "{\"key\":\"" key "\",\"mod_revision\":\"3\"" more "}"
/* Base64 of "a", "b", "c"; the range read is [a, c). */
#define A "YQ=="
#define B "Yg=="
#define C "Yw=="
#define CREATED ",\"create_revision\":\"2\""
#define RANGE(kvs) "{" HEADER ",\"kvs\":[" kvs "]}"

static const struct answer_case answer_cases[] = {
    {"empty range", "{" HEADER "}", AGB_STORE_RANGE, true},
    {"two keys", RANGE(KV(A, CREATED) "," KV(B, CREATED)), AGB_STORE_RANGE,
	true},
    {"out of order", RANGE(KV(B, CREATED) "," KV(A, CREATED)), AGB_STORE_RANGE,
	false},
    {"same key twice", RANGE(KV(A, CREATED) "," KV(A, CREATED)),
	AGB_STORE_RANGE, false},
    {"outside the range", RANGE(KV(C, CREATED)), AGB_STORE_RANGE, false},
    {"more than the limit",
	RANGE(KV(A, CREATED) "," KV(B, CREATED) "," KV(B, CREATED)),
	AGB_STORE_RANGE, false},
    {"no create revision", RANGE(KV(A, "")), AGB_STORE_RANGE, false},
    {"created after changed", RANGE(KV(A, ",\"create_revision\":\"4\"")),
	AGB_STORE_RANGE, false},
    {"number not a string", RANGE(KV(A, ",\"create_revision\":2")),
	AGB_STORE_RANGE, false},
    {"negative number", RANGE(KV(A, ",\"create_revision\":\"-2\"")),
	AGB_STORE_RANGE, false},
    {"number too large",
	RANGE(KV(A, CREATED ",\"lease\":\"9223372036854775808\"")),
	AGB_STORE_RANGE, false},
    {"key not base64", RANGE(KV("Y!==", CREATED)), AGB_STORE_RANGE, false},
    {"key unpadded", RANGE(KV("YQ", CREATED)), AGB_STORE_RANGE, false},
    {"key with NUL", RANGE(KV("YQBh", CREATED)), AGB_STORE_RANGE, false},
    {"value not a string", RANGE(KV(A, CREATED ",\"value\":{}")),
	AGB_STORE_RANGE, false},
    {"kvs not an array", "{" HEADER ",\"kvs\":{}}", AGB_STORE_RANGE, false},
    {"kv not an object", RANGE("1"), AGB_STORE_RANGE, false},
    {"no header", "{}", AGB_STORE_RANGE, false},
    {"truncated", "{" HEADER, AGB_STORE_RANGE, false},
    {"not JSON", "<html>", AGB_STORE_RANGE, false},
    {"empty", "", AGB_STORE_RANGE, false},
    {"too deep", "{" HEADER ",\"x\":[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]}",
	AGB_STORE_RANGE, false},
    {"txn", "{" HEADER ",\"succeeded\":true}", AGB_STORE_TXN, true},
    {"txn flag a string", "{" HEADER ",\"succeeded\":\"true\"}", AGB_STORE_TXN,
	false},
    {"grant", "{" HEADER ",\"ID\":\"5\",\"TTL\":\"2\"}", AGB_STORE_LEASE_GRANT,
	true},
    {"grant without id", "{" HEADER ",\"TTL\":\"2\"}", AGB_STORE_LEASE_GRANT,
	false},
    {"grant without time", "{" HEADER ",\"ID\":\"5\"}", AGB_STORE_LEASE_GRANT,
	false},
    {"lapsed", "{\"result\":{" HEADER ",\"ID\":\"5\"}}\n",
	AGB_STORE_LEASE_KEEPALIVE, true},
    {"another lease", "{\"result\":{" HEADER ",\"ID\":\"6\",\"TTL\":\"2\"}}",
	AGB_STORE_LEASE_KEEPALIVE, false},
    {"error in the stream", "{\"error\":{\"http_code\":500}}",
	AGB_STORE_LEASE_KEEPALIVE, false},
};

/* Guards against a response that is accepted although it is malformed or does
 * not match the operation. */
static void
test_parse(void)
{
	const struct answer_case *c;
	struct agb_store_result res;
	struct agb_store_op op;
	size_t i;
	bool ok;

	for (i = 0; i < sizeof(answer_cases) / sizeof(answer_cases[0]); i++) {
		c = &answer_cases[i];
		agb_store_op_init_range(&op, "a", "c", 2);
		op.kind = c->kind;
		op.lease = 5;
		ok = agb_store_etcd_parse_response(
		    &op, c->body, strlen(c->body), &res);
		if (ok != c->ok)
			printf("%s: %d\n", c->name, ok);
		CU_ASSERT_EQUAL(ok, c->ok);
		CU_ASSERT_EQUAL(
		    res.status, c->ok ? AGB_STORE_OK : AGB_STORE_LOST);
		agb_store_result_free(&res);
		agb_store_op_free(&op);
	}
}

/* Guards against a malformed watch message that is accepted, and against a
 * cancellation or change that is parsed wrongly. */
static void
test_parse_watch(void)
{
	static const struct {
		const char *text;
		bool ok;
		bool broken;
		size_t changes;
	} cases[] = {
	    {"{\"result\":{" HEADER ",\"created\":true}}", true, false, 0},
	    {"{\"result\":{" HEADER ",\"canceled\":true}}", true, true, 0},
	    {"{\"result\":{" HEADER ",\"events\":[{\"kv\":" KV(A, "") "}]}}",
		true, false, 1},
	    {"{\"result\":{" HEADER ",\"events\":[{\"type\":\"DELETE\","
	     "\"kv\":" KV(A, "") "}]}}",
		true, false, 1},
	    {"{\"result\":{" HEADER ",\"events\":[{\"type\":\"COPY\","
	     "\"kv\":" KV(A, "") "}]}}",
		false, false, 0},
	    {"{\"result\":{" HEADER ",\"events\":[{}]}}", false, false, 0},
	    {"{\"result\":{" HEADER ",\"events\":{}}}", false, false, 0},
	    {"{\"result\":{\"created\":true}}", false, false, 0},
	    {"{\"error\":{\"code\":14}}", false, false, 0},
	    {"[]", false, false, 0},
	};
	struct agb_store_etcd_watch_msg ev;
	struct json_object *msg;
	size_t i;
	bool ok;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		msg = json_tokener_parse(cases[i].text);
		ok = agb_store_etcd_parse_watch(msg, &ev);
		CU_ASSERT_EQUAL(ok, cases[i].ok);
		if (ok) {
			CU_ASSERT_EQUAL(ev.broken, cases[i].broken);
			CU_ASSERT_EQUAL(ev.kvs_len, cases[i].changes);
		}
		agb_store_kvs_free(ev.kvs, ev.kvs_len);
		json_object_put(msg);
	}
}

static void
send_canned_response(struct loop_conn *c)
{
	c->in_len = 0;
	loop_conn_write(c, c->server->arg, strlen(c->server->arg));
}

/* Guards against an HTTP error that is mapped to the wrong status: "no effect"
 * (AGB_STORE_REFUSED) or "may have taken effect" (AGB_STORE_LOST). */
static void
test_statuses(void)
{
	static const struct {
		const char *answer;
		enum agb_store_status want;
	} cases[] = {
	    {"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n",
		AGB_STORE_REFUSED},
	    {"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n", AGB_STORE_LOST},
	    {"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", AGB_STORE_LOST},
	    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", AGB_STORE_LOST},
	    {"nonsense\r\n\r\n", AGB_STORE_LOST},
	};
	struct agb_store *store;
	struct loop_server srv;
	struct agb_store_op op;
	struct fixture x;
	agb_addr addr;
	size_t i;

	memset(&x, 0, sizeof(x));
	uv_loop_init(&x.loop);
	loop_server_start(&x.loop, &srv, send_canned_response, NULL);
	agb_str_copy(addr, sizeof(addr), srv.addr);
	store = agb_store_etcd_new(&x.loop, &addr, 1, on_answer, on_watch, &x);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		srv.arg = (void *)cases[i].answer;
		agb_store_op_init(&op, AGB_STORE_TXN);
		store->ops->call(store, 7, &op, 10000);
		loop_until(&x.loop, &x.answers, (int)i + 1);
		CU_ASSERT_EQUAL(x.res.status, cases[i].want);
	}
	/* A watch that gets a complete response instead of a stream is broken. */
	srv.arg = (void *)cases[3].answer;
	store->ops->watch(store, 1, "k", NULL, 0);
	loop_until(&x.loop, &x.broken_watches, 1);
	/* Closes the client while a call and a watch are in flight. */
	srv.arg = "";
	agb_store_op_init(&op, AGB_STORE_TXN);
	store->ops->call(store, 7, &op, 10000);
	store->ops->watch(store, 1, "k", NULL, 0);
	store->ops->close(store);
	loop_server_close(&srv);
	loop_close(&x.loop);
}

/* Guards against an instance list that omits a change since the given version,
 * or repeats unchanged instances. */
static void
test_instance_list(void)
{
	struct fixture x;

	setup(&x, 0);
	send_http(&x, "POST", "/platform/instances", "{\"id\":\"w1\"}");
	send_http(&x, "POST", "/platform/instances", "{\"id\":\"w2\"}");
	send_http(&x, "GET", "/platform/instances?since=1", "");
	CU_ASSERT_STRING_EQUAL(x.body,
	    "{\"version\":2,\"instances\":["
	    "{\"id\":\"w2\",\"state\":\"live\"}]}");
	send_http(&x, "POST", "/platform/instances",
	    "{\"id\":\"w1\",\"state\":\"gone\"}");
	send_http(&x, "GET", "/platform/instances?since=2", "");
	CU_ASSERT_STRING_EQUAL(x.body,
	    "{\"version\":3,\"instances\":["
	    "{\"id\":\"w1\",\"state\":\"gone\"}]}");
	send_http(&x, "GET", "/platform/instances", "");
	CU_ASSERT_PTR_NULL(strstr(x.body, "w1"));
	teardown(&x);
}

static const struct suite_test tests[] = {
    {"election", test_election},
    {"range", test_range},
    {"lost", test_lost},
    {"endpoints", test_endpoints},
    {"watch", test_watch},
    {"close_in_callback", test_close_in_callback},
    {"compacted", test_compacted},
    {"parse", test_parse},
    {"parse_watch", test_parse_watch},
    {"statuses", test_statuses},
    {"instance_list", test_instance_list},
};

int
main(void)
{
	return suite_run("store_etcd", tests, sizeof(tests) / sizeof(tests[0]));
}

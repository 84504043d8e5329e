/**
 * DOC: test_platform_kv
 *
 * The platform's store as a client sees it: malformed answers, and keys that
 * need an encoding.
 */

#include <stdlib.h>
#include <string.h>

#include "json.h"
#include "kv.h"
#include "loop.h"
#include "mem.h"
#include "suite.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

/**
 * struct store_fixture - a client, and a server that gives scripted answers
 * @answers: status and body of each answer; the last one is repeated
 * @request: last request
 * @results, @watches: number of callbacks so far
 * @res: last result
 */
struct store_fixture {
	uv_loop_t loop;
	struct loop_server server;
	struct agb_store *store;
	struct {
		int status;
		const char *body;
	} answers[3];
	size_t next;
	char request[8192];
	int results;
	int watches;
	struct agb_store_result res;
	size_t kvs_len;
	size_t events;
	bool broken;
};

static void
answer_request(struct loop_conn *c)
{
	struct store_fixture *const f = c->server->arg;
	const char *const end = strstr(c->in, "\r\n\r\n");
	const char *body;
	char text[2048];
	size_t i;

	/* A body ends with the object's brace. */
	if (end == NULL ||
	    (strstr(c->in, "application/json") != NULL &&
		c->in[c->in_len - 1] != '}'))
		return;
	agb_str_copy(f->request, sizeof(f->request), c->in);
	c->in_len = 0;
	i = f->next;
	if (i + 1 < LEN(f->answers) && f->answers[i + 1].body != NULL)
		f->next++;
	body = f->answers[i].body;
	snprintf(text, sizeof(text),
	    "HTTP/1.1 %d Answer\r\nContent-Length: %zu\r\n\r\n%s",
	    f->answers[i].status, strlen(body), body);
	loop_conn_write(c, text, strlen(text));
}

static void
on_result(void *arg, uint64_t tag, struct agb_store_result *res)
{
	struct store_fixture *const f = arg;

	(void)tag;
	f->results++;
	f->res = *res;
	f->kvs_len = res->kvs_len;
}

static void
on_changes(void *arg, uint64_t tag, struct agb_store_kv *kvs, size_t len,
    uint64_t revision, bool broken)
{
	struct store_fixture *const f = arg;

	(void)tag;
	(void)kvs;
	(void)revision;
	f->events += len;
	f->broken = broken;
	f->watches += len > 0 || broken;
}

static void
fixture_open(struct store_fixture *f)
{
	memset(f, 0, sizeof(*f));
	uv_loop_init(&f->loop);
	loop_server_start(&f->loop, &f->server, answer_request, f);
	f->store =
	    platform_kv_new(&f->loop, f->server.addr, on_result, on_changes, f);
}

static void
fixture_close(struct store_fixture *f)
{
	f->store->ops->close(f->store);
	loop_server_close(&f->server);
	loop_close(&f->loop);
}

enum call_kind {
	READ_KEY,
	READ_PREFIX,
	WRITE,
	WRITE_WITH_LEASE,
	GRANT,
	KEEP,
};

static void
call_store(struct store_fixture *f, enum call_kind kind, const char *key)
{
	struct agb_store_op op;

	switch (kind) {
	case READ_KEY:
		agb_store_op_init_range(&op, key, NULL, 0);
		break;
	case READ_PREFIX:
		agb_store_op_init_range(&op, key, "b", 0);
		break;
	case WRITE:
	case WRITE_WITH_LEASE:
		agb_store_op_init(&op, AGB_STORE_TXN);
		agb_store_op_add_cmp(&op, key, AGB_STORE_CMP_MOD_REV, 0);
		agb_store_op_add_put(
		    &op, key, "v", 1, kind == WRITE_WITH_LEASE ? 7 : 0);
		agb_store_op_add_delete(&op, key, NULL);
		break;
	case GRANT:
		agb_store_op_init(&op, AGB_STORE_LEASE_GRANT);
		op.ttl_ms = 1200;
		break;
	case KEEP:
		agb_store_op_init(&op, AGB_STORE_LEASE_KEEPALIVE);
		op.lease = 7;
		break;
	}
	f->store->ops->call(f->store, 1, &op, 0);
	loop_until(&f->loop, &f->results, f->results + 1);
}

#define ITEM(key)                                                 \
	"{\"key\":\"" key "\",\"value\":\"dg==\",\"revision\":5," \
	"\"created_rev\":4,\"lease_id\":0}"

/* Guards against an answer that is malformed, or that is not one to the call,
 * and counts as valid: keys that it does not name would count as deleted, a
 * write as done under no revision, a lease as ended. */
static void
malformed_answers_are_lost(void)
{
	static const struct {
		enum call_kind kind;
		int http_status;
		const char *body;
		enum agb_store_status status;
		size_t kvs;
	} cases[] = {
	    {READ_KEY, 200, ITEM("a"), AGB_STORE_OK, 1},
	    {READ_KEY, 404, "{}", AGB_STORE_OK, 0},
	    {READ_KEY, 200, "{}", AGB_STORE_LOST, 0},
	    {READ_PREFIX, 200,
		"{\"items\":[" ITEM("a") "],\"has_more\":false,\"at\":9}",
		AGB_STORE_OK, 1},
	    {READ_PREFIX, 200, "{\"items\":[],\"at\":9}", AGB_STORE_OK, 0},
	    {READ_PREFIX, 200,
		"{\"items\":[" ITEM("a") "],\"has_more\":\"true\",\"at\":9}",
		AGB_STORE_LOST, 0},
	    {READ_PREFIX, 200, "{\"items\":[],\"has_more\":true,\"at\":9}",
		AGB_STORE_LOST, 0},
	    {READ_PREFIX, 200, "{\"at\":9}", AGB_STORE_LOST, 0},
	    {READ_PREFIX, 404, "{}", AGB_STORE_LOST, 0},
	    {WRITE, 200, "{\"revision\":8}", AGB_STORE_OK, 0},
	    {WRITE, 412, "{\"items\":[" ITEM("a") "]}", AGB_STORE_OK, 1},
	    {WRITE, 200, "{}", AGB_STORE_LOST, 0},
	    {WRITE, 200, "{\"revision\":\"8\"}", AGB_STORE_LOST, 0},
	    {WRITE, 200, "{\"revision\":-8}", AGB_STORE_LOST, 0},
	    {WRITE, 404, "{}", AGB_STORE_LOST, 0},
	    {WRITE, 500, "{}", AGB_STORE_LOST, 0},
	    {WRITE, 503, "{}", AGB_STORE_REFUSED, 0},
	    /* Else a write that is too large counts as perhaps carried out,
	     * and is never split. */
	    {WRITE, 413, "{}", AGB_STORE_REFUSED, 0},
	    {WRITE_WITH_LEASE, 404, "{}", AGB_STORE_OK, 0},
	    {GRANT, 200, "{\"lease_id\":7,\"ttl_ms\":1200}", AGB_STORE_OK, 0},
	    {GRANT, 200, "{\"lease_id\":null,\"ttl_ms\":1200}", AGB_STORE_LOST,
		0},
	    {KEEP, 200, "{\"ttl_ms\":1200}", AGB_STORE_OK, 0},
	    {KEEP, 404, "{}", AGB_STORE_OK, 0},
	    {KEEP, 200, "{}", AGB_STORE_LOST, 0},
	    {KEEP, 200, "{\"ttl_ms\":-1200}", AGB_STORE_LOST, 0},
	};
	struct store_fixture f;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_open(&f);
		f.answers[0].status = cases[i].http_status;
		f.answers[0].body = cases[i].body;
		call_store(&f, cases[i].kind, "a");
		if (f.res.status != cases[i].status)
			printf("\ncase %zu: status %d\n", i, f.res.status);
		CU_ASSERT_EQUAL(f.res.status, cases[i].status);
		if (cases[i].status == AGB_STORE_OK)
			CU_ASSERT_EQUAL(f.kvs_len, cases[i].kvs);
		fixture_close(&f);
	}
}

/* The part of @text after @mark; "" with a failed assertion without it. */
static const char *
after(const char *text, const char *mark)
{
	const char *const p = strstr(text, mark);

	CU_ASSERT_PTR_NOT_NULL(p);
	return p != NULL ? p + strlen(mark) : "";
}

static void
check_key(const char *key, const char *query)
{
	struct json_object *obj, *list;
	struct store_fixture f;
	const char *body;
	size_t len;

	fixture_open(&f);
	f.answers[0].status = 404;
	f.answers[0].body = "{}";
	call_store(&f, READ_KEY, key);
	CU_ASSERT_EQUAL(
	    strncmp(after(f.request, "?key="), query, strlen(query)), 0);
	call_store(&f, READ_PREFIX, key);
	CU_ASSERT_EQUAL(
	    strncmp(after(f.request, "?prefix="), query, strlen(query)), 0);
	call_store(&f, WRITE, key);
	body = after(f.request, "\r\n\r\n");
	obj = platform_json_parse(body, strlen(body));
	CU_ASSERT_PTR_NOT_NULL_FATAL(obj);
	list = platform_json_array(obj, "expect", &len);
	CU_ASSERT_EQUAL_FATAL(len, 1);
	CU_ASSERT_STRING_EQUAL(
	    platform_json_str(json_object_array_get_idx(list, 0), "key"), key);
	list = platform_json_array(obj, "writes", &len);
	CU_ASSERT_EQUAL_FATAL(len, 1);
	CU_ASSERT_STRING_EQUAL(
	    platform_json_str(json_object_array_get_idx(list, 0), "key"), key);
	list = platform_json_array(obj, "remove", &len);
	CU_ASSERT_EQUAL_FATAL(len, 1);
	CU_ASSERT_STRING_EQUAL(
	    json_object_get_string(json_object_array_get_idx(list, 0)), key);
	json_object_put(obj);
	fixture_close(&f);
}

/* Guards against a key that is cut, or that changes the meaning of the request:
 * another key would be read or written. */
static void
keys_are_encoded_whole(void)
{
	static const struct {
		const char *key;
		const char *query;
	} cases[] = {
	    {"ab/j/00aa-_.~", "ab/j/00aa-_.~ "},
	    {"a&prefix=b", "a%26prefix%3Db "},
	    {"a\"b\\c\n", "a%22b%5Cc%0A "},
	    {"a\"},\"b", "a%22%7D%2C%22b "},
	};
	char key[301], query[3 * sizeof(key)];
	size_t i, k;

	for (i = 0; i < LEN(cases); i++)
		check_key(cases[i].key, cases[i].query);
	for (k = 0; k < sizeof(key) - 1; k++) {
		key[k] = '%';
		snprintf(query + 3 * k, sizeof(query) - 3 * k, "%%25");
	}
	key[k] = '\0';
	check_key(key, query);
}

/* Guards against a watch that stops, or starts again from the beginning, after
 * an answer without a revision, and against one that goes on after the store
 * tells of an older revision than before: what was withdrawn since would be
 * used again. */
static void
watch_revisions_only_rise(void)
{
	static const struct {
		const char *first;
		const char *then;
		size_t events;
		bool broken;
	} cases[] = {
	    {"{\"events\":[],\"at\":9}",
		"{\"events\":[" ITEM("a") "],\"at\":12}", 1, false},
	    {"{\"events\":[" ITEM("a") "]}",
		"{\"events\":[" ITEM("a") "],\"at\":12}", 1, false},
	    {"{\"events\":[" ITEM("a") "],\"at\":\"x\"}",
		"{\"events\":[" ITEM("a") "],\"at\":12}", 1, false},
	    {"{\"events\":[],\"at\":12}",
		"{\"events\":[" ITEM("a") "],\"at\":9}", 0, true},
	};
	struct store_fixture f;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_open(&f);
		f.answers[0].status = f.answers[1].status = 200;
		f.answers[0].body = cases[i].first;
		f.answers[1].body = cases[i].then;
		f.store->ops->watch(f.store, 2, "a", "b", 9);
		f.store->ops->set_watch_interval(f.store, 2, 20);
		loop_until(&f.loop, &f.watches, 1);
		CU_ASSERT_EQUAL(f.events, cases[i].events);
		CU_ASSERT_EQUAL(f.broken, cases[i].broken);
		fixture_close(&f);
	}
}

static void
announce_large_answer(struct loop_conn *c)
{
	static const char head[] =
	    "HTTP/1.1 200 Answer\r\nContent-Length: 100000000\r\n\r\n";

	if (strstr(c->in, "\r\n\r\n") == NULL)
		return;
	c->in_len = 0;
	loop_conn_write(c, head, strlen(head));
}

/* Guards against a watch that asks for ever for changes that are too many for
 * one answer: only a read of all keys, which comes in pages, makes progress. */
static void
too_many_changes_break_a_watch(void)
{
	struct store_fixture f;

	fixture_open(&f);
	f.server.on_data = announce_large_answer;
	f.store->ops->watch(f.store, 2, "a", "b", 9);
	loop_until(&f.loop, &f.watches, 1);
	CU_ASSERT_TRUE(f.broken);
	CU_ASSERT_EQUAL(f.server.accepted, 1);
	fixture_close(&f);
}

static const struct suite_test tests[] = {
    {"store: malformed answers are lost", malformed_answers_are_lost},
    {"store: keys are encoded whole", keys_are_encoded_whole},
    {"store: revisions of a watch only rise", watch_revisions_only_rise},
    {"store: too many changes break a watch", too_many_changes_break_a_watch},
};

int
main(void)
{
	return suite_run("platform_kv", tests, LEN(tests));
}

/**
 * DOC: test_platform
 *
 * Messages that the platform adapter reads and writes: registry entries, the
 * manifest, requests of clients, replies, and orders to runners.
 */

#include <stdlib.h>
#include <string.h>

#include "advise.h"
#include "front.h"
#include "loop.h"
#include "manifest.h"
#include "mem.h"
#include "platform.h"
#include "registry.h"
#include "runner.h"
#include "suite.h"
#include "wf_registry.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

static struct agb_store_kv
make_kv(const char *key, const char *val)
{
	return (struct agb_store_kv){.key = (char *)(uintptr_t)key,
	    .val = (char *)(uintptr_t)val,
	    .val_len = strlen(val),
	    .mod_rev = 7};
}

#define RUNNER_ENTRY(more)                                                     \
	"{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","          \
	"\"slots\":8,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"            \
	"\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],\"clock_ms\":5,\"seq\":4" more \
	"}"

/* Guards against a malformed registry entry that is taken for a usable runner,
 * or a valid one that is rejected. Other programs write to the registry too;
 * their entries must not prevent the valid ones from being read. Without its
 * start time, a restarted runner would pass for the process before. */
static void
test_registry_entries(void)
{
	static const struct {
		const char *text;
		bool ok;
		bool draining;
	} cases[] = {
	    {RUNNER_ENTRY(",\"state\":\"ready\""), true, false},
	    {RUNNER_ENTRY(",\"state\":\"draining\",\"remaining_ms\":900"), true,
		true},
	    {RUNNER_ENTRY(",\"state\":\"ready\",\"new_field\":[1]"), true,
		false},
	    {RUNNER_ENTRY(",\"state\":\"ready\",\"born\":1790000000123"), true,
		false},
	    {RUNNER_ENTRY(",\"state\":\"ready\",\"born\":\"1790000000123\""),
		false, false},
	    {RUNNER_ENTRY(",\"state\":\"ready\",\"born\":1790000000123.5"),
		false, false},
	    {RUNNER_ENTRY(",\"state\":\"ready\",\"born\":null"), false, false},
	    {RUNNER_ENTRY(",\"state\":\"ready\",\"born\":-1"), false, false},
	    {RUNNER_ENTRY(",\"state\":\"ready\",\"born\":1e300"), false, false},
	    {RUNNER_ENTRY(",\"state\":\"asleep\""), false, false},
	    {RUNNER_ENTRY(""), false, false},
	    {"{\"state\":\"ready\"}", false, false},
	    {"[1,2]", false, false},
	    {"\xff\xfe garbage", false, false},
	    {"", false, false},
	    {"{\"service\":7,\"addr\":\"10.0.0.9:80\",\"state\":\"ready\"}",
		false, false},
	};
	struct wf_runner_info info;
	char fault[AGB_DETAIL_LEN];
	struct agb_store_kv item;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		item = make_kv("servers/i-1", cases[i].text);
		fault[0] = '\0';
		CU_ASSERT_EQUAL(
		    platform_registry_parse(&item, &info, fault), cases[i].ok);
		CU_ASSERT_EQUAL(fault[0] == '\0', cases[i].ok);
		if (!cases[i].ok)
			continue;
		CU_ASSERT_EQUAL(info.draining, cases[i].draining);
		CU_ASSERT_EQUAL(info.capacity.cpu_milli, 16000);
		CU_ASSERT_STRING_EQUAL(info.labels[1], "r1-3");
		CU_ASSERT_STRING_EQUAL(info.domain, "z");
	}
}

/* Guards against a runner that stays in use although its entry has become
 * malformed, until the whole registry is read again, and against a long id that
 * is taken for that of another runner. */
static void
test_registry_changes(void)
{
	static const char long_id[] =
	    "servers/0123456789012345678901234567890123456789"
	    "012345678901234567890123";
	static const struct {
		const char *key;
		const char *text; /* NULL when the entry was deleted */
		bool used;
		bool removed;
		bool fault;
	} cases[] = {
	    {"servers/i-1", RUNNER_ENTRY(",\"state\":\"ready\""), true, false,
		false},
	    {"servers/i-1", NULL, true, true, false},
	    {"servers/i-1", RUNNER_ENTRY(",\"state\":\"asleep\""), true, true,
		true},
	    {"servers/i-1", RUNNER_ENTRY(",\"state\":\"ready\",\"born\":\"7\""),
		true, true, true},
	    {"servers/i-1", "\xff\xfe garbage", true, true, true},
	    {"servers/", RUNNER_ENTRY(",\"state\":\"ready\""), false, false,
		true},
	    {long_id, RUNNER_ENTRY(",\"state\":\"ready\""), false, false, true},
	    {long_id, NULL, false, false, true},
	};
	struct wf_runner_change change;
	char fault[AGB_DETAIL_LEN];
	struct agb_store_kv item;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		item = make_kv(
		    cases[i].key, cases[i].text != NULL ? cases[i].text : "");
		item.deleted = cases[i].text == NULL;
		CU_ASSERT_EQUAL(
		    wf_registry_read(&platform_ops, &item, &change, fault),
		    cases[i].used);
		CU_ASSERT_EQUAL(fault[0] != '\0', cases[i].fault);
		if (!cases[i].used)
			continue;
		CU_ASSERT_EQUAL(change.removed, cases[i].removed);
		CU_ASSERT_EQUAL(change.malformed, cases[i].fault);
		CU_ASSERT_STRING_EQUAL(change.info.id, "i-1");
	}
}

#define ROUTE                                                            \
	"{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"/p/\",\"service\":" \
	"\"s\",\"priority\":1,\"max_attempts\":2,\"slack_factor\":2.2,"  \
	"\"target_latency_ms\":1200,\"timeout_ms\":3000,"                \
	"\"recommendation\":{\"decision_ms\":510.0,\"interval_ms\":7.3," \
	"\"validity_ms\":2000}}"

/* Guards against a malformed manifest that becomes a document, and against a
 * fault reported for another key below the same prefix. */
static void
test_manifest_document(void)
{
	static const struct {
		const char *key;
		const char *text;
		size_t queues; /* SIZE_MAX: no document */
		bool fault;
	} cases[] = {
	    {"op/config", "{\"version\":7,\"routes\":[" ROUTE "]}", 1, false},
	    {"op/config", "{\"version\":7,\"routes\":[]}", 0, false},
	    {"op/config", "{\"version\":7,\"routes\":[{\"name\":\"r\"}]}",
		SIZE_MAX, true},
	    {"op/config", "{\"routes\":[]}", SIZE_MAX, true},
	    {"op/config", "no json", SIZE_MAX, true},
	    {"op/wave/1", "{\"cohort\":1}", SIZE_MAX, false},
	};
	char fault[AGB_DETAIL_LEN];
	struct agb_store_kv item;
	struct wf_doc *doc;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		item = make_kv(cases[i].key, cases[i].text);
		doc = platform_manifest_parse(&item, fault);
		CU_ASSERT_EQUAL(doc == NULL, cases[i].queues == SIZE_MAX);
		CU_ASSERT_EQUAL(fault[0] != '\0', cases[i].fault);
		if (doc == NULL)
			continue;
		CU_ASSERT_EQUAL(doc->queues_len, cases[i].queues);
		CU_ASSERT_EQUAL(doc->version, 7);
		if (doc->queues_len > 0) {
			CU_ASSERT_EQUAL(doc->queues[0].max_attempts, 2);
			CU_ASSERT_DOUBLE_EQUAL(
			    doc->queues[0].advice_per_runner_ms, 7.3, 1e-9);
			CU_ASSERT_EQUAL(doc->queues[0].ticket_valid_ms, 2000);
			CU_ASSERT(doc->queues[0].advice_required);
		}
		wf_doc_free(doc);
	}
}

/* Guards against a request that goes to the wrong queue: the longest path
 * prefix on the host must win. */
static void
test_queue_selection(void)
{
	static const struct {
		const char *host;
		const char *path;
		const char *queue;
	} cases[] = {
	    {"h", "/a/1", "a"},
	    {"H", "/a/1", "a"},
	    {"h", "/a/b/1", "ab"},
	    {"h", "/b/1", NULL},
	    {"other", "/a/1", NULL},
	};
	struct wf_doc *const doc = agb_xcalloc(1, sizeof(*doc));
	struct wf_queue *const queues = agb_xcalloc(2, sizeof(*queues));
	const struct wf_queue *q;
	size_t i;

	doc->queues = queues;
	doc->queues_len = 2;
	agb_str_copy(queues[0].name, sizeof(queues[0].name), "a");
	agb_str_copy(queues[0].host, sizeof(queues[0].host), "h");
	agb_str_copy(
	    queues[0].path_prefix, sizeof(queues[0].path_prefix), "/a/");
	agb_str_copy(queues[1].name, sizeof(queues[1].name), "ab");
	agb_str_copy(queues[1].host, sizeof(queues[1].host), "h");
	agb_str_copy(
	    queues[1].path_prefix, sizeof(queues[1].path_prefix), "/a/b/");
	wf_doc_build_index(doc);
	for (i = 0; i < LEN(cases); i++) {
		q = wf_doc_route(doc, cases[i].host, cases[i].path);
		CU_ASSERT_EQUAL(q == NULL, cases[i].queue == NULL);
		if (q != NULL && cases[i].queue != NULL)
			CU_ASSERT_STRING_EQUAL(q->name, cases[i].queue);
	}
	wf_doc_free(doc);
}

/* Guards against a malformed job that is accepted or rejected without the path
 * of the faulty field. */
static void
test_job_requests(void)
{
	static const struct {
		const char *body;
		const char *fault; /* start of the error; NULL: accepted */
	} cases[] = {
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":2,\"cpu\":500}]}", NULL},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1},{\"count\":3,"
	     "\"after\":[0],\"gang\":true,\"checkpointing\":true}]}",
		NULL},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1}],\"unknown\":1}", NULL},
	    {"not json", "the body"},
	    {"{\"phases\":[{\"count\":1}]}", "/spec"},
	    {"{\"spec\":\"x\",\"phases\":[]}", "/phases"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":0}]}", "/phases/0/count"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1.5}]}",
		"/phases/0/count"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":-3}]}",
		"/phases/0/cpu"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1,\"after\":[0]}]}",
		"/phases/0/after/0"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1},{\"count\":1,"
	     "\"after\":0}]}",
		"/phases/1/after"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1},{\"count\":1},"
	     "{\"count\":1,\"after\":[\"1\"]}]}",
		"/phases/2/after/0"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1},{\"count\":1,"
	     "\"after\":[null]}]}",
		"/phases/1/after/0"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1},{\"count\":1,"
	     "\"after\":[0.0]}]}",
		NULL},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1},{\"count\":1,"
	     "\"after\":[0.5]}]}",
		"/phases/1/after/0"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1,\"affinity\":4}]}",
		"/phases/0/affinity"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":60000}],"
	     "\"repeat_count\":2}",
		"/phases"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1}],"
	     "\"repeat_count\":3,\"period_ms\":1000,"
	     "\"start_at_ms\":1796000000000}",
		NULL},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1}],"
	     "\"repeat_count\":4294967296}",
		"/start_at_ms, /repeat_count"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1}],"
	     "\"repeat_count\":4294967298}",
		"/start_at_ms, /repeat_count"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1}],"
	     "\"repeat_count\":3,\"period_ms\":1000,"
	     "\"start_at_ms\":9223372036854775807}",
		"/start_at_ms, /repeat_count"},
	    {"{\"spec\":\"x\",\"phases\":[{\"count\":1}],"
	     "\"start_at_ms\":\"tomorrow\"}",
		"/start_at_ms, /repeat_count"},
	};
	struct wf_http_req req;
	struct wf_call call;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		memset(&req, 0, sizeof(req));
		memset(&call, 0, sizeof(call));
		agb_str_copy(req.method, sizeof(req.method), "POST");
		agb_str_copy(req.host, sizeof(req.host), "h");
		agb_str_copy(
		    req.path, sizeof(req.path), "/p/00112233445566aa?x=1");
		agb_str_copy(req.deadline, sizeof(req.deadline), "2500");
		agb_str_copy(req.key, sizeof(req.key), "key-1");
		req.body = cases[i].body;
		req.body_len = strlen(cases[i].body);
		CU_ASSERT(platform_front_parse_call(&req, &call));
		CU_ASSERT_EQUAL(call.kind, WF_CALL_SUBMIT);
		CU_ASSERT_EQUAL(call.deadline_ms, 2500);
		CU_ASSERT_STRING_EQUAL(call.key, "key-1");
		CU_ASSERT_STRING_EQUAL(call.path, "/p/00112233445566aa");
		CU_ASSERT_EQUAL(call.spec != NULL, cases[i].fault == NULL);
		if (cases[i].fault != NULL)
			CU_ASSERT_EQUAL(strncmp(call.error, cases[i].fault,
					    strlen(cases[i].fault)),
			    0);
		if (call.spec != NULL) {
			wf_spec_free(call.spec);
			free(call.spec);
		}
	}
}

/* Body of a job whose steps have all fields, come after all earlier ones, and are
 * followed by @extra values that no job has. */
static char *
make_large_job(size_t extra)
{
	static const char step[] = "%s{\"count\":1,\"cpu\":1,\"mem_mb\":1,"
				   "\"gpu\":1,\"estimate_ms\":1,"
				   "\"gang\":true,\"rack_local\":true,"
				   "\"constraints\":\"[,{\",\"after\":[";
	const size_t index_len = 4, rest_len = 64;
	const size_t cap =
	    WF_STEPS_MAX * (sizeof(step) + WF_STEPS_MAX * index_len) +
	    3 * extra + rest_len;
	char *const text = agb_xcalloc(1, cap);
	size_t at, i, k;

	at = (size_t)snprintf(text, cap, "{\"spec\":\"\\\"[{,\",\"phases\":[");
	for (i = 0; i < WF_STEPS_MAX; i++) {
		at += (size_t)snprintf(
		    text + at, cap - at, step, i > 0 ? "," : "");
		for (k = 0; k < i; k++)
			at += (size_t)snprintf(
			    text + at, cap - at, "%s%zu", k > 0 ? "," : "", k);
		at += (size_t)snprintf(text + at, cap - at, "]}");
	}
	at += (size_t)snprintf(text + at, cap - at, "],\"more\":[0");
	for (i = 0; i < extra; i++)
		at += (size_t)snprintf(text + at, cap - at, ",{}");
	snprintf(text + at, cap - at, "]}");
	return text;
}

/* Return: a list of empty objects that comes after @start. */
static char *
make_list(const char *start, size_t len)
{
	const size_t cap = strlen(start) + 3 * len + 2;
	char *const text = agb_xcalloc(1, cap);
	size_t at, i;

	at = (size_t)snprintf(text, cap, "%s[", start);
	for (i = 0; i < len; i++)
		at += (size_t)snprintf(text + at, cap - at, "{},");
	return text;
}

/* Guards against a body that is built in memory at many times its size: one list
 * of empty objects within the limit of a body ended a process. */
static void
test_values_of_body(void)
{
	static const struct {
		/* NULL for a large job with further values. */
		const char *start;
		size_t values;
		bool accepted;
	} cases[] = {
	    {NULL, 0, true},
	    {NULL, 100, true},
	    {NULL, 10000, false},
	    {NULL, 80000, false},
	    {"", 80000, false},
	    /* The list would pass for a string. */
	    {"/*\"*/", 80000, false},
	    {"//\"\n", 80000, false},
	    {"['\"',", 80000, false},
	};
	struct wf_http_req req;
	struct wf_call call;
	char *text;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		memset(&req, 0, sizeof(req));
		memset(&call, 0, sizeof(call));
		agb_str_copy(req.method, sizeof(req.method), "POST");
		text = cases[i].start != NULL
		    ? make_list(cases[i].start, cases[i].values)
		    : make_large_job(cases[i].values);
		req.body = text;
		req.body_len = strlen(text);
		CU_ASSERT(platform_front_parse_call(&req, &call));
		CU_ASSERT_EQUAL(call.spec != NULL, cases[i].accepted);
		if (!cases[i].accepted)
			CU_ASSERT_PTR_NOT_NULL(
			    strstr(call.error, "more values"));
		if (call.spec != NULL)
			wf_spec_free(call.spec);
		free(call.spec);
		free(text);
	}
}

/* Guards against a client with a long deadline that is answered as if it had
 * named none. */
static void
test_deadlines(void)
{
	static const struct {
		const char *text;
		uint32_t ms;
	} cases[] = {
	    {"", 0},
	    {"0", 0},
	    {"2500", 2500},
	    {"600000", 600000},
	    {"600001", 600000},
	    {"99999999999999999999999999", 600000},
	    {"-5", 0},
	    {"soon", 0},
	};
	struct wf_http_req req;
	struct wf_call call;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		memset(&req, 0, sizeof(req));
		memset(&call, 0, sizeof(call));
		agb_str_copy(req.method, sizeof(req.method), "GET");
		agb_str_copy(req.deadline, sizeof(req.deadline), cases[i].text);
		CU_ASSERT(platform_front_parse_call(&req, &call));
		CU_ASSERT_EQUAL(call.deadline_ms, cases[i].ms);
	}
}

static void
test_reply_bodies(void)
{
	static const struct {
		struct wf_reply reply;
		const char *body;
	} cases[] = {
	    {{.kind = WF_CALL_GET,
		 .http_status = 200,
		 .state = WF_JOB_COMPLETED},
		"{\"state\":\"completed\"}"},
	    {{.kind = WF_CALL_QUEUE, .http_status = 200, .pending = 12},
		"{\"pending\":12}"},
	    {{.kind = WF_CALL_SUBMIT, .http_status = 200}, "{}"},
	    {{.kind = WF_CALL_GET, .http_status = 410, .detail = "gone"},
		"{\"error\":\"gone\"}"},
	};
	const char *type;
	char *text;
	size_t i, len;

	for (i = 0; i < LEN(cases); i++) {
		text =
		    platform_front_format_reply(&cases[i].reply, &len, &type);
		CU_ASSERT_STRING_EQUAL(text, cases[i].body);
		CU_ASSERT_EQUAL(len, strlen(cases[i].body));
		CU_ASSERT_STRING_EQUAL(type, "application/json");
		free(text);
	}
}

/* Guards against a task name that another task has too, or that cannot be read
 * back. */
static void
test_task_names(void)
{
	static const struct {
		const char *name;
		bool ok;
	} cases[] = {
	    {"5c0e7a21d94b36f8.0.1.17", true},
	    {"5c0e7a21d94b36f8.3.0.0", true},
	    {"5c0e7a21d94b36f8.0.1", false},
	    {"5c0e7a21d94b36f8.0.1.17.2", false},
	    {"5c0e7a21d94b36f8", false},
	    {"5c0e7a21d94b36f8.0.1.-1", false},
	    {"5c0e7a21d94b36f8.0. 1.17", false},
	    {"5c0e7a21d94b36f8.0.1.+17", false},
	    {"5c0e7a21d94b36f8.0.1.4294967313", false},
	    {"5c0e7a21d94b36f8.0.1.017", false},
	    {"5c0e7a21d94b36f85c0e7a21d94b36f8.0.0.0", false},
	    {"", false},
	};
	struct wf_task_ref ref;
	char name[96];
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		CU_ASSERT_EQUAL(
		    platform_task_parse_name(cases[i].name, &ref), cases[i].ok);
		if (!cases[i].ok)
			continue;
		platform_task_format_name(&ref, name, sizeof(name));
		CU_ASSERT_STRING_EQUAL(name, cases[i].name);
	}
}

/* Guards against order fields that a runner ignores or misreads because their
 * name or format has changed. */
static void
test_order_requests(void)
{
	static const struct {
		struct wf_order order;
		const char *path;
		const char *body;
	} cases[] = {
	    {{.kind = WF_ORDER_START,
		 .fence = 7,
		 .incarnation = 3,
		 .deadline_ms = 90,
		 .task = {.job = "00000000000000aa", .step = 1, .index = 17},
		 .run = 2,
		 .checkpoint = "c1",
		 .ticket = "t\"1",
		 .payload = (char *)(uintptr_t) "x",
		 .payload_len = 1},
		"/run-start",
		"{\"fence_token\":7340035,\"deadline_ms\":90,"
		"\"task\":\"00000000000000aa.0.1.17\",\"run_id\":2,"
		"\"spec\":\"x\",\"checkpoint\":\"c1\","
		"\"ticket\":\"t\\\"1\"}"},
	    {{.kind = WF_ORDER_STOP,
		 .fence = 7,
		 .incarnation = 3,
		 .task = {.job = "00000000000000aa", .occurrence = 3},
		 .run = 5},
		"/run-stop",
		"{\"fence_token\":7340035,\"task\":\"00000000000000aa.3.0.0\","
		"\"run_id\":5}"},
	    {{.kind = WF_ORDER_PACE,
		 .fence = 8,
		 .incarnation = 1,
		 .percent = 25,
		 .task = {.job = "00000000000000aa"},
		 .run = 1},
		"/pace",
		"{\"fence_token\":8388609,\"task\":\"00000000000000aa.0.0.0\","
		"\"run_id\":1,\"percent\":25}"},
	    {{.kind = WF_ORDER_HOLD,
		 .fence = 8,
		 .incarnation = 1,
		 .deadline_ms = 91,
		 .forget_seq = 57,
		 .wait_ms = 1000},
		"/hold",
		"{\"fence_token\":8388609,\"deadline_ms\":91,\"observed\":57,"
		"\"wait_ms\":1000}"},
	};
	const char *path;
	char *body;
	size_t len, i;
	FILE *f;

	for (i = 0; i < LEN(cases); i++) {
		f = open_memstream(&body, &len);
		CU_ASSERT_PTR_NOT_NULL_FATAL(f);
		path = platform_runner_format_order(f, &cases[i].order);
		fclose(f);
		CU_ASSERT_STRING_EQUAL(path, cases[i].path);
		CU_ASSERT_STRING_EQUAL(body, cases[i].body);
		free(body);
	}
}

struct hold_result {
	int done;
	enum wf_order_status status;
	size_t finished_len;
	uint64_t last_seq;
	size_t checkpoint_len;
};

static void
on_hold_result(void *arg, struct wf_order_result *res)
{
	struct hold_result *const h = arg;

	h->done++;
	h->status = res->status;
	h->finished_len = res->finished_len;
	if (res->finished_len > 0)
		h->last_seq = res->finished[res->finished_len - 1].seq;
	if (res->active_len > 0)
		h->checkpoint_len = strlen(res->active[0].checkpoint);
}

static void
respond_to_hold(struct loop_conn *c)
{
	char text[1024];
	const char *const body = c->server->arg;

	if (strstr(c->in, "\"observed\"") == NULL)
		return;
	c->in_len = 0;
	snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(body),
	    body);
	loop_conn_write(c, text, strlen(text));
}

/* Sends a hold to a runner that answers with @body. */
static void
hold_once(const char *body, struct hold_result *h)
{
	struct platform_runner_client *p;
	struct wf_order order;
	struct loop_server srv;
	uv_loop_t loop;

	memset(h, 0, sizeof(*h));
	uv_loop_init(&loop);
	loop_server_start(
	    &loop, &srv, respond_to_hold, (void *)(uintptr_t)body);
	p = platform_runner_client_new(&loop, on_hold_result, h);
	memset(&order, 0, sizeof(order));
	order.kind = WF_ORDER_HOLD;
	order.timeout_ms = 5000;
	order.send_by = AGB_TIME_MAX;
	agb_str_copy(order.addr, sizeof(order.addr), srv.addr);
	platform_runner_client_send(p, &order);
	loop_until(&loop, &h->done, 1);
	platform_runner_client_free(p);
	loop_server_close(&srv);
	loop_close(&loop);
}

#define ENDS(rows) "{\"clock_ms\":5,\"active\":[],\"finished\":[" rows "]}"
#define RUN(run) ENDS("[1,\"00000000000000aa.0.0.0\"," run ",\"done\",\"\"]")
#define ACTIVE(run)                                                    \
	"{\"clock_ms\":5,\"active\":[[\"00000000000000aa.0.0.0\"," run \
	",\"\",41.5,0.3]],\"finished\":[]}"
#define BORN(time) \
	"{\"clock_ms\":5,\"born\":" time ",\"active\":[],\"finished\":[]}"
#define END(seq) "[" seq ",\"00000000000000aa.0.0.0\",1,\"done\",\"\"]"

/* Guards against an end whose number is malformed. A negative number would
 * become a huge one: the runner would be told to forget ends that were never
 * read, and all later ends would be ignored. Guards against lists whose process
 * is not known, too: an empty one of a restarted runner would count as that of
 * the process before. And against runs whose number is malformed: the run that
 * is there would count as missing, and its task would start elsewhere. */
static void
test_hold_results(void)
{
	static const struct {
		const char *body;
		enum wf_order_status status;
		size_t finished;
		uint64_t last_seq;
	} cases[] = {
	    {ENDS(""), WF_ORDER_OK, 0, 0},
	    {ENDS(END("1") "," END("58")), WF_ORDER_OK, 2, 58},
	    {ENDS(END("58.0")), WF_ORDER_OK, 1, 58},
	    {ENDS(END("9007199254740993")), WF_ORDER_OK, 1, 9007199254740993},
	    {ENDS(END("-1")), WF_ORDER_LOST, 0, 0},
	    {ENDS(END("1") "," END("-9")), WF_ORDER_LOST, 0, 0},
	    {ENDS(END("0")), WF_ORDER_LOST, 0, 0},
	    {ENDS(END("1.5")), WF_ORDER_LOST, 0, 0},
	    {ENDS(END("-1e300")), WF_ORDER_LOST, 0, 0},
	    {ENDS(END("1e300")), WF_ORDER_LOST, 0, 0},
	    {ENDS(END("99999999999999999999")), WF_ORDER_LOST, 0, 0},
	    {ENDS(END("\"7\"")), WF_ORDER_LOST, 0, 0},
	    {ENDS(END("null")), WF_ORDER_LOST, 0, 0},
	    {ENDS("[1]"), WF_ORDER_LOST, 0, 0},
	    {"{\"clock_ms\":5}", WF_ORDER_LOST, 0, 0},
	    {BORN("1790000000123"), WF_ORDER_OK, 0, 0},
	    {BORN("1790000000123.0"), WF_ORDER_OK, 0, 0},
	    {BORN("\"1790000000123\""), WF_ORDER_LOST, 0, 0},
	    {BORN("null"), WF_ORDER_LOST, 0, 0},
	    {BORN("0"), WF_ORDER_LOST, 0, 0},
	    {BORN("[1790000000123]"), WF_ORDER_LOST, 0, 0},
	    {RUN("1"), WF_ORDER_OK, 1, 1},
	    {RUN("\"1\""), WF_ORDER_LOST, 0, 0},
	    {RUN("0"), WF_ORDER_LOST, 0, 0},
	    {RUN("4294967297"), WF_ORDER_LOST, 0, 0},
	    {ACTIVE("1"), WF_ORDER_OK, 0, 0},
	    {ACTIVE("null"), WF_ORDER_LOST, 0, 0},
	    {ACTIVE("1.5"), WF_ORDER_LOST, 0, 0},
	    {ACTIVE("4294967297"), WF_ORDER_LOST, 0, 0},
	};
	struct hold_result h;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		hold_once(cases[i].body, &h);
		CU_ASSERT_EQUAL(h.status, cases[i].status);
		if (h.status == WF_ORDER_OK) {
			CU_ASSERT_EQUAL(h.finished_len, cases[i].finished);
			CU_ASSERT_EQUAL(h.last_seq, cases[i].last_seq);
		}
	}
}

/* Guards against a checkpoint that is cut: the next start would carry one that
 * is not the task's. */
static void
test_long_checkpoints(void)
{
	static const struct {
		size_t len, kept;
	} cases[] = {
	    {0, 0},
	    {16, 16},
	    {WF_CHECKPOINT_MAX, WF_CHECKPOINT_MAX},
	    {WF_CHECKPOINT_MAX + 1, 0},
	};
	char checkpoint[WF_CHECKPOINT_MAX + 2], *body;
	struct hold_result h;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		memset(checkpoint, 'c', cases[i].len);
		checkpoint[cases[i].len] = '\0';
		body =
		    agb_xasprintf("{\"clock_ms\":5,\"active\":"
				  "[[\"00000000000000aa.0.0.0\",1,\"%s\",5]],"
				  "\"finished\":[]}",
			checkpoint);
		hold_once(body, &h);
		CU_ASSERT_EQUAL(h.status, WF_ORDER_OK);
		CU_ASSERT_EQUAL(h.checkpoint_len, cases[i].kept);
		free(body);
	}
}

static void
ignore_request(struct loop_conn *c)
{
	c->in_len = 0;
}

static void
fail_on_result(void *arg, struct wf_order_result *res)
{
	(void)arg;
	(void)res;
	CU_FAIL("result after the client was freed");
}

static void
fail_on_advice(void *arg, uint64_t tag, struct wf_advice *a)
{
	(void)arg;
	(void)tag;
	(void)a;
	CU_FAIL("advice after the client was freed");
}

/* Guards against calls without an answer that are leaked, or reported, when
 * their client is freed; the leak shows in a build with AddressSanitizer. */
static void
test_free_with_calls(void)
{
	struct platform_advice_client *advice;
	struct platform_runner_client *runners;
	struct wf_advice_request ask;
	struct wf_order order;
	struct loop_server srv;
	uv_loop_t loop;
	agb_id id = "i-1";
	int i;

	uv_loop_init(&loop);
	loop_server_start(&loop, &srv, ignore_request, NULL);
	advice =
	    platform_advice_client_new(&loop, srv.addr, fail_on_advice, NULL);
	runners = platform_runner_client_new(&loop, fail_on_result, NULL);
	memset(&ask, 0, sizeof(ask));
	ask.runners = &id;
	ask.runners_len = 1;
	memset(&order, 0, sizeof(order));
	order.kind = WF_ORDER_HOLD;
	order.timeout_ms = 5000;
	order.send_by = AGB_TIME_MAX;
	agb_str_copy(order.addr, sizeof(order.addr), srv.addr);
	for (i = 0; i < 2; i++) {
		platform_advice_client_request(advice, 1, &ask, 5000);
		platform_runner_client_send(runners, &order);
	}
	loop_until(&loop, &srv.accepted, 4);
	platform_advice_client_free(advice);
	platform_runner_client_free(runners);
	loop_server_close(&srv);
	loop_close(&loop);
}

static const struct suite_test tests[] = {
    {"order requests", test_order_requests},
    {"hold results", test_hold_results},
    {"long checkpoints", test_long_checkpoints},
    {"registry entries", test_registry_entries},
    {"registry changes", test_registry_changes},
    {"manifest", test_manifest_document},
    {"queue selection", test_queue_selection},
    {"job requests", test_job_requests},
    {"deadlines", test_deadlines},
    {"front: values of a body", test_values_of_body},
    {"reply bodies", test_reply_bodies},
    {"task names", test_task_names},
    {"free with calls", test_free_with_calls},
};

int
main(void)
{
	return suite_run("platform", tests, LEN(tests));
}

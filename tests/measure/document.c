/*
 * Measures what a configuration document costs an instance: the processor time
 * to decode, parse, replace and free it, the memory that it takes, and the time
 * of a lookup by name and by route. Times are the means of --rounds.
 */

#include <argtable2.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "b64.h"
#include "json.h"
#include "manifest.h"
#include "mem.h"
#include "wf_core.h"

#define QUEUE_TEXT_MAX 512
#define HOSTS 40

enum step {
	STEP_BASE64,
	STEP_JSON,
	STEP_PARSE,
	STEP_REPLACE,
	STEP_FREE,
	STEP_BY_NAME,
	STEP_BY_ROUTE,
	STEPS,
};

static const char *const step_names[STEPS] = {
    [STEP_BASE64] = "base64_decode",
    [STEP_JSON] = "json_tree_only",
    [STEP_PARSE] = "parse",
    [STEP_REPLACE] = "replace",
    [STEP_FREE] = "free",
    [STEP_BY_NAME] = "find_by_name",
    [STEP_BY_ROUTE] = "find_by_route",
};

struct measure {
	size_t queues;
	struct agb_store_kv kv;
	char *encoded;
	uint64_t ns[STEPS];
	size_t tree_bytes;
	size_t doc_bytes;
};

static uint64_t
thread_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * 1000000000ULL + (uint64_t)t.tv_nsec;
}

static size_t
used_bytes(void)
{
	const struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void
write_text(struct measure *m)
{
	const size_t size = (m->queues + 1) * QUEUE_TEXT_MAX;
	char *const text = agb_xcalloc(size, 1);
	size_t i, len;

	len = (size_t)snprintf(text, size, "{\"version\":1,\"routes\":[");
	for (i = 0; i < m->queues; i++)
		len += (size_t)snprintf(text + len, size - len,
		    "%s{\"name\":\"queue-%06zu\",\"host\":\"host-%zu.example\","
		    "\"prefix\":\"/queue-%06zu/jobs/\",\"service\":\"pool-%zu\""
		    ",\"timeout_ms\":3000,\"target_latency_ms\":1200,"
		    "\"priority\":%zu,\"max_attempts\":3,\"slack_factor\":2.2,"
		    "\"recommendation\":{\"decision_ms\":51.5,"
		    "\"interval_ms\":0.25,\"validity_ms\":2000}}",
		    i == 0 ? "" : ",", i, i % HOSTS, i, i % 8, i % 3);
	len += (size_t)snprintf(text + len, size - len, "]}");
	m->kv = (struct agb_store_kv){
	    .key = "op/config", .val = text, .val_len = len};
	m->encoded = agb_b64_encode(text, len);
}

static void
measure_decoding(struct measure *m)
{
	struct json_object *tree;
	uint64_t began;
	size_t len, before;
	char *text;

	began = thread_ns();
	text = agb_b64_decode(m->encoded, strlen(m->encoded), &len);
	m->ns[STEP_BASE64] += thread_ns() - began;
	free(text);
	before = used_bytes();
	began = thread_ns();
	tree = platform_json_parse(m->kv.val, m->kv.val_len);
	m->ns[STEP_JSON] += thread_ns() - began;
	m->tree_bytes = used_bytes() - before;
	json_object_put(tree);
}

static void
measure_lookups(struct measure *m, const struct wf_doc *doc)
{
	const struct wf_queue *q;
	char path[WF_HOST_LEN];
	uint64_t began;
	size_t i, found;

	if (doc->queues_len == 0)
		return;
	found = 0;
	began = thread_ns();
	for (i = 0; i < doc->queues_len; i++)
		found += wf_doc_queue(doc, doc->queues[i].name) != NULL;
	m->ns[STEP_BY_NAME] += (thread_ns() - began) / doc->queues_len;
	began = thread_ns();
	for (i = 0; i < doc->queues_len; i++) {
		q = &doc->queues[i];
		agb_str_copy(path, sizeof(path), q->path_prefix);
		found += wf_doc_route(doc, q->host, path) != NULL;
	}
	m->ns[STEP_BY_ROUTE] += (thread_ns() - began) / doc->queues_len;
	if (found != 2 * doc->queues_len)
		printf("only %zu lookups succeeded\n", found);
}

static void
measure_document(struct measure *m, struct wf_core *core, uint64_t version)
{
	const struct wf_now now = {.mono = AGB_SEC, .unix_ms = 1};
	struct wf_event ev = {.type = WF_EV_DOC};
	struct wf_effects out = {0};
	char fault[AGB_DETAIL_LEN];
	struct wf_doc *doc;
	uint64_t began;
	size_t before;

	before = used_bytes();
	began = thread_ns();
	doc = platform_manifest_parse(&m->kv, fault);
	m->ns[STEP_PARSE] += thread_ns() - began;
	m->doc_bytes = used_bytes() - before;
	measure_lookups(m, doc);
	began = thread_ns();
	wf_doc_free(doc);
	m->ns[STEP_FREE] += thread_ns() - began;
	ev.u.doc = platform_manifest_parse(&m->kv, fault);
	ev.u.doc->version = version;
	began = thread_ns();
	wf_core_handle(core, &now, &ev, &out);
	m->ns[STEP_REPLACE] += thread_ns() - began;
	wf_effects_free(&out);
}

static void
print_measure(const struct measure *m, size_t rounds)
{
	size_t i;

	printf("queues %zu, document %zu bytes, as Base64 %zu\n", m->queues,
	    m->kv.val_len, strlen(m->encoded));
	for (i = 0; i < STEPS; i++)
		printf("%-14s %10.2f us\n", step_names[i],
		    (double)m->ns[i] / 1e3 / (double)rounds);
	printf("json tree %zu bytes, document in memory %zu bytes, %zu a "
	       "queue\n",
	    m->tree_bytes, m->doc_bytes, m->doc_bytes / m->queues);
}

static int
int_option(const struct arg_int *a, int otherwise)
{
	return a->count > 0 && a->ival[0] > 0 ? a->ival[0] : otherwise;
}

int
main(int argc, char **argv)
{
	struct arg_int *const queues =
	    arg_int0(NULL, "queues", "N", "queues of the document (4300)");
	struct arg_int *const rounds =
	    arg_int0(NULL, "rounds", "N", "repetitions (20)");
	struct arg_end *const end = arg_end(2);
	void *table[] = {queues, rounds, end};
	const struct wf_config cfg = {.name = "a", .rpc = "127.0.0.1:1"};
	struct measure m = {0};
	struct wf_core *core;
	int i;

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "measure_document");
		return 2;
	}
	m.queues = (size_t)int_option(queues, 4300);
	write_text(&m);
	core = wf_core_new(&cfg);
	for (i = 0; i < int_option(rounds, 20); i++) {
		measure_decoding(&m);
		measure_document(&m, core, (uint64_t)i + 1);
	}
	print_measure(&m, (size_t)int_option(rounds, 20));
	wf_core_free(core);
	free(m.encoded);
	free(m.kv.val);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return 0;
}

/**
 * DOC: test_wf_doc
 *
 * Lookups in the configuration document: their results are those of a
 * comparison of all queues, accounts or keys in order, and the work of those of
 * queues does not follow their number.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "manifest.h"
#include "mem.h"
#include "suite.h"
#include "wf_core.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

#define FEW_QUEUES 40
#define MANY_QUEUES 4300
/* A document with 107 times the queues may cost this many times the
 * comparisons. */
#define GROWTH_MAX 4

#define RANDOM_SEED 20261205
#define RANDOM_DOCS 200
#define RANDOM_QUEUES_MAX 120
#define RANDOM_LOOKUPS 200
#define RANDOM_ACCOUNTS_MAX 40
#define RANDOM_KEYS_MAX 6

/* ---- documents ---- */

struct text {
	char *buf;
	size_t len;
	size_t cap;
};

static void
text_add(struct text *t, const char *s)
{
	const size_t len = strlen(s);

	if (t->len + len + 1 > t->cap) {
		t->cap = 2 * (t->len + len + 1);
		t->buf = agb_xreallocarray(t->buf, t->cap, 1);
	}
	memcpy(t->buf + t->len, s, len + 1);
	t->len += len;
}

static void
add_queue(struct text *t, size_t i, const char *name, const char *host,
    const char *prefix)
{
	char s[512];

	snprintf(s, sizeof(s),
	    "%s{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\","
	    "\"timeout_ms\":%zu}",
	    i == 0 ? "" : ",", name, host, prefix, i);
	text_add(t, s);
}

/* Documents come from the parser, so that what the parser builds is tested. */
static struct wf_doc *
parse_doc(struct text *t, uint64_t *compared)
{
	char fault[AGB_DETAIL_LEN];
	struct agb_store_kv kv = {.key = "op/config"};
	struct wf_doc *doc;

	text_add(t, "]}");
	kv.val = t->buf;
	kv.val_len = t->len;
	doc = platform_manifest_parse(&kv, fault);
	if (doc == NULL) {
		fprintf(stderr, "document of the test: %s\n", fault);
		abort();
	}
	doc->compared = compared;
	free(t->buf);
	return doc;
}

struct route {
	const char *host;
	const char *prefix;
};

static struct wf_doc *
doc_of_routes(const struct route *routes, size_t len)
{
	struct text t = {0};
	char name[16];
	size_t i;

	text_add(&t, "{\"version\":1,\"routes\":[");
	for (i = 0; i < len; i++) {
		snprintf(name, sizeof(name), "q%zu", i);
		add_queue(&t, i, name, routes[i].host, routes[i].prefix);
	}
	return parse_doc(&t, NULL);
}

static struct wf_doc *
doc_of_size(size_t queues, uint64_t *compared)
{
	char name[32], host[32], prefix[32];
	struct text t = {0};
	size_t i;

	text_add(&t, "{\"version\":1,\"routes\":[");
	for (i = 0; i < queues; i++) {
		snprintf(name, sizeof(name), "queue-%zu", i);
		snprintf(host, sizeof(host), "host-%zu", i % 8);
		snprintf(prefix, sizeof(prefix), "/t%zu/jobs/", i);
		add_queue(&t, i, name, host, prefix);
	}
	return parse_doc(&t, compared);
}

/* ---- reference: all queues compared in order ---- */

static const struct wf_queue *
reference_queue(const struct wf_doc *doc, const char *name)
{
	size_t i;

	for (i = 0; i < doc->queues_len; i++) {
		if (strcmp(doc->queues[i].name, name) == 0)
			return &doc->queues[i];
	}
	return NULL;
}

static const struct wf_queue *
reference_route(const struct wf_doc *doc, const char *host, const char *path)
{
	const struct wf_queue *best, *q;
	size_t i;

	best = NULL;
	for (i = 0; i < doc->queues_len; i++) {
		q = &doc->queues[i];
		if (strcasecmp(q->host, host) == 0 &&
		    strncmp(q->path_prefix, path, strlen(q->path_prefix)) ==
			0 &&
		    (best == NULL ||
			strlen(q->path_prefix) > strlen(best->path_prefix)))
			best = q;
	}
	return best;
}

/* ---- results ---- */

/* Guards against a request that goes to another queue than the longest prefix
 * of its path at its host names; of queues with the same prefix, the first of
 * the document has it. */
static void
test_route(void)
{
	static const struct route routes[] = {
	    {"a", "/x/"},     /* 0 */
	    {"a", "/x/y/"},   /* 1 */
	    {"a", "/x/y/z/"}, /* 2 */
	    {"a", "/x/"},     /* 3 */
	    {"A", "/x/y/"},   /* 4 */
	    {"B", ""},	      /* 5 */
	    {"b", "/x"},      /* 6 */
	    {"b", "/x!"},     /* 7 */
	    {"ab", "/x/"},    /* 8 */
	    {"c_d", "/1/"},   /* 9 */
	    {"C-D", "/1/"},   /* 10 */
	};
	static const struct {
		const char *host;
		const char *path;
		int queue; /* -1: none */
	} cases[] = {
	    {"a", "/x/1", 0},
	    {"A", "/x/1", 0},
	    {"a", "/x/y/1", 1},
	    {"A", "/x/y/", 1},
	    {"a", "/x/y/z/1", 2},
	    {"a", "/x/y/zz/1", 1},
	    {"a", "/x/y", 0},
	    {"a", "/x", -1},
	    {"a", "/X/1", -1},
	    {"a", "/w/1", -1},
	    {"a", "/y/1", -1},
	    {"a", "", -1},
	    {"b", "", 5},
	    {"b", "/w", 5},
	    {"b", "/x", 6},
	    {"B", "/x\"", 6},
	    {"b", "/x!", 7},
	    {"b", "/x\x7f", 6},
	    {"b", "/x\xc3\xa9", 6},
	    {"ab", "/x/", 8},
	    {"aB", "/x/", 8},
	    {"abc", "/x/", -1},
	    {"", "/x/", -1},
	    {"C_d", "/1/2", 9},
	    {"c-d", "/1/2", 10},
	    {"c.d", "/1/2", -1},
	};
	struct wf_doc *const doc = doc_of_routes(routes, LEN(routes));
	const struct wf_queue *q;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		q = wf_doc_route(doc, cases[i].host, cases[i].path);
		CU_ASSERT_EQUAL(
		    q != NULL ? q - doc->queues : -1, cases[i].queue);
		CU_ASSERT_PTR_EQUAL(
		    q, reference_route(doc, cases[i].host, cases[i].path));
	}
	wf_doc_free(doc);
}

/* Guards against a queue that is not found by its name, and against a queue
 * of the same name further down that takes the place of the first. */
static void
test_name(void)
{
	static const char *const names[] = {
	    "b", "a", "", "b", "B", "ab", "aa", "b-1", "b_1"};
	static const struct {
		const char *name;
		int queue; /* -1: none */
	} cases[] = {
	    {"b", 0},
	    {"a", 1},
	    {"", 2},
	    {"B", 4},
	    {"ab", 5},
	    {"aa", 6},
	    {"b-1", 7},
	    {"b_1", 8},
	    {"A", -1},
	    {"b-", -1},
	    {"b-11", -1},
	    {"zz", -1},
	};
	struct text t = {0};
	const struct wf_queue *q;
	struct wf_doc *doc;
	size_t i;

	text_add(&t, "{\"version\":1,\"routes\":[");
	for (i = 0; i < LEN(names); i++)
		add_queue(&t, i, names[i], "h", "/p/");
	doc = parse_doc(&t, NULL);
	for (i = 0; i < LEN(cases); i++) {
		q = wf_doc_queue(doc, cases[i].name);
		CU_ASSERT_EQUAL(
		    q != NULL ? q - doc->queues : -1, cases[i].queue);
	}
	wf_doc_free(doc);
}

/* Guards against a lookup that fails without a document, as before the first
 * one is read, or in a document without queues. */
static void
test_no_queues(void)
{
	struct wf_doc *const doc = doc_of_routes(NULL, 0);

	CU_ASSERT_PTR_NULL(wf_doc_queue(NULL, "q"));
	CU_ASSERT_PTR_NULL(wf_doc_route(NULL, "h", "/p/"));
	CU_ASSERT_PTR_NULL(wf_doc_queue(doc, "q"));
	CU_ASSERT_PTR_NULL(wf_doc_route(doc, "h", "/p/"));
	wf_doc_free(doc);
}

static uint32_t
draw(uint32_t *state, uint32_t max)
{
	*state = *state * 1664525U + 1013904223U;
	return (*state >> 8) % max;
}

/* Texts of a few letters, so that many of them are equal, differ in case only
 * or begin with one another. */
static void
draw_text(uint32_t *state, const char *letters, size_t max, char *out)
{
	const size_t len = draw(state, (uint32_t)max + 1);
	size_t i;

	for (i = 0; i < len; i++)
		out[i] = letters[draw(state, (uint32_t)strlen(letters))];
	out[len] = '\0';
}

static struct wf_doc *
draw_doc(uint32_t *state)
{
	const size_t queues = draw(state, RANDOM_QUEUES_MAX + 1);
	char name[8], host[8], prefix[16];
	struct text t = {0};
	size_t i;

	text_add(&t, "{\"version\":1,\"routes\":[");
	for (i = 0; i < queues; i++) {
		draw_text(state, "abB-_", 4, name);
		draw_text(state, "aAb_", 2, host);
		draw_text(state, "/a!~", 6, prefix);
		add_queue(&t, i, name, host, prefix);
	}
	return parse_doc(&t, NULL);
}

/* Guards against a lookup whose result is not the one of a comparison of all
 * queues in order, in documents nobody would think of. */
static void
test_random_documents(void)
{
	uint32_t state = RANDOM_SEED;
	char name[8], host[8], path[16];
	struct wf_doc *doc;
	uint32_t i, k, differ, found;

	differ = found = 0;
	for (i = 0; i < RANDOM_DOCS; i++) {
		doc = draw_doc(&state);
		for (k = 0; k < RANDOM_LOOKUPS; k++) {
			draw_text(&state, "abB-_", 4, name);
			draw_text(&state, "aAb_", 2, host);
			draw_text(&state, "/a!~", 10, path);
			differ += wf_doc_queue(doc, name) !=
			    reference_queue(doc, name);
			differ += wf_doc_route(doc, host, path) !=
			    reference_route(doc, host, path);
			found += reference_queue(doc, name) != NULL;
			found += reference_route(doc, host, path) != NULL;
		}
		wf_doc_free(doc);
	}
	CU_ASSERT_EQUAL(differ, 0);
	CU_ASSERT(found > RANDOM_DOCS * RANDOM_LOOKUPS / 2);
}

/* ---- accounts ---- */

/* Guards against a key that is taken for one that it only resembles, against
 * one that goes to a later account than the first that lists it, and against a
 * document whose faults, other than a missing list, open it to everyone. */
static void
test_accounts(void)
{
	static const struct {
		const char
		    *accounts; /* items of the list; NULL without a list */
		const char *key;
		const char *account; /* NULL: none */
		size_t shared;
		bool keys_required;
	} cases[] = {
	    {NULL, "k", NULL, 0, false},
	    {"", "k", NULL, 0, false},
	    {"{}", "k", NULL, 0, true},
	    {"7", "k", NULL, 0, true},
	    {"{\"name\":\"\",\"keys\":[\"k\"]}", "k", NULL, 0, true},
	    {"{\"name\":\"a\"}", "", NULL, 0, true},
	    {"{\"name\":\"a\",\"keys\":[\"\"]}", "", NULL, 0, true},
	    {"{\"name\":\"a\",\"keys\":[7,null,\"k\"]}", "7", NULL, 0, true},
	    {"{\"name\":\"a\",\"keys\":[7,null,\"k\"]}", "k", "a", 0, true},
	    {"{\"name\":\"a\",\"keys\":[\"key\"]}", "ke", NULL, 0, true},
	    {"{\"name\":\"a\",\"keys\":[\"key\"]}", "key1", NULL, 0, true},
	    {"{\"name\":\"a\",\"keys\":[\"key\"]}", "Key", NULL, 0, true},
	    {"{\"name\":\"a\",\"keys\":[\"z\",\"k\"]},"
	     "{\"name\":\"b\",\"keys\":[\"c\",\"x\"]}",
		"x", "b", 0, true},
	    {"{\"name\":\"b\",\"keys\":[\"k\",\"k\"]}", "k", "b", 0, true},
	    {"{\"name\":\"b\",\"keys\":[\"k\",\"k\"]},"
	     "{\"name\":\"a\",\"keys\":[\"k\"]},"
	     "{\"name\":\"c\",\"keys\":[\"k\",\"j\"]}",
		"k", "b", 1, true},
	    {"{\"name\":\"b\",\"keys\":[\"k\",\"j\"]},"
	     "{\"name\":\"a\",\"keys\":[\"j\",\"k\"]}",
		"j", "b", 2, true},
	};
	const struct wf_account *a;
	struct text t;
	struct wf_doc *doc;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		memset(&t, 0, sizeof(t));
		text_add(&t, "{\"version\":1");
		if (cases[i].accounts != NULL) {
			text_add(&t, ",\"tenants\":[");
			text_add(&t, cases[i].accounts);
			text_add(&t, "]");
		}
		text_add(&t, ",\"routes\":[");
		doc = parse_doc(&t, NULL);
		a = wf_doc_account_by_key(doc, cases[i].key);
		CU_ASSERT_EQUAL(a == NULL, cases[i].account == NULL);
		if (a != NULL && cases[i].account != NULL) {
			CU_ASSERT_STRING_EQUAL(a->name, cases[i].account);
			CU_ASSERT_PTR_EQUAL(wf_doc_account(doc, a->name), a);
		}
		CU_ASSERT_EQUAL(doc->shared_keys, cases[i].shared);
		CU_ASSERT_EQUAL(doc->keys_required, cases[i].keys_required);
		if (doc->shared_keys > 0) {
			CU_ASSERT_STRING_EQUAL(
			    doc->accounts[doc->shared_owner].name, "b");
			CU_ASSERT_STRING_EQUAL(
			    doc->accounts[doc->shared_other].name, "a");
		}
		wf_doc_free(doc);
	}
	CU_ASSERT_PTR_NULL(wf_doc_account(NULL, "a"));
	CU_ASSERT_PTR_NULL(wf_doc_account_by_key(NULL, "k"));
}

/* Guards against a key of two accounts that nobody is told of, that is told of
 * with each delivery of the same document, or that is written to the log. */
static void
test_shared_keys_are_logged(void)
{
	static const char text[] =
	    "{\"version\":%u,\"routes\":[],\"tenants\":["
	    "{\"name\":\"first\",\"keys\":[\"secret-1\",\"secret-2\"]},"
	    "{\"name\":\"second\",\"keys\":[\"secret-2\"%s]}]}";
	static const struct {
		unsigned version;
		const char *more;
		const char *line; /* NULL: none */
	} cases[] = {
	    {1, "",
		"version=1 shared_keys=1 account=\"first\" also=\"second\""},
	    {1, "", NULL},
	    {2, ",\"secret-1\",\"secret-1\"",
		"version=2 shared_keys=2 account=\"first\" also=\"second\""},
	};
	const struct wf_config cfg = {.name = "i1", .rpc = "10.0.0.1:7"};
	const struct wf_now now = {.mono = AGB_SEC, .unix_ms = 1};
	struct wf_core *const core = wf_core_new(&cfg);
	struct agb_store_kv kv = {.key = "op/config"};
	struct wf_event ev = {.type = WF_EV_DOC};
	char fault[AGB_DETAIL_LEN];
	struct wf_effects out = {0};
	unsigned found;
	size_t i, k;

	for (i = 0; i < LEN(cases); i++) {
		kv.val = agb_xasprintf(text, cases[i].version, cases[i].more);
		kv.val_len = strlen(kv.val);
		ev.u.doc = platform_manifest_parse(&kv, fault);
		CU_ASSERT_PTR_NOT_NULL_FATAL(ev.u.doc);
		free(kv.val);
		wf_core_handle(core, &now, &ev, &out);
		found = 0;
		for (k = 0; k < out.len; k++) {
			if (out.items[k].type != WF_EF_LOG)
				continue;
			CU_ASSERT_PTR_NULL(
			    strstr(out.items[k].u.log.line, "secret"));
			if (strstr(out.items[k].u.log.line, "shared_keys") ==
			    NULL)
				continue;
			found++;
			if (cases[i].line != NULL)
				CU_ASSERT_STRING_EQUAL(
				    out.items[k].u.log.line, cases[i].line);
		}
		CU_ASSERT_EQUAL(found, cases[i].line != NULL);
		wf_effects_free(&out);
	}
	wf_core_free(core);
}

/* Accounts of a random document, in its order. */
struct drawn_accounts {
	char names[RANDOM_ACCOUNTS_MAX][8];
	char keys[RANDOM_ACCOUNTS_MAX][RANDOM_KEYS_MAX][8];
	uint32_t keys_len[RANDOM_ACCOUNTS_MAX];
	uint32_t len;
};

static struct wf_doc *
draw_accounts(uint32_t *state, struct drawn_accounts *d)
{
	struct text t = {0};
	char s[64];
	uint32_t i, k;

	d->len = 1 + draw(state, RANDOM_ACCOUNTS_MAX);
	text_add(&t, "{\"version\":1,\"tenants\":[");
	for (i = 0; i < d->len; i++) {
		draw_text(state, "abB-_", 3, d->names[i] + 1);
		d->names[i][0] = 'n';
		d->keys_len[i] = draw(state, RANDOM_KEYS_MAX + 1);
		snprintf(s, sizeof(s), "%s{\"name\":\"%s\",\"keys\":[",
		    i == 0 ? "" : ",", d->names[i]);
		text_add(&t, s);
		for (k = 0; k < d->keys_len[i]; k++) {
			draw_text(state, "abB-_", 5, d->keys[i][k]);
			snprintf(s, sizeof(s), "%s\"%s\"", k == 0 ? "" : ",",
			    d->keys[i][k]);
			text_add(&t, s);
		}
		text_add(&t, "]}");
	}
	text_add(&t, "],\"routes\":[");
	return parse_doc(&t, NULL);
}

/* Index of the first account with a name or, if @by_key is set, with a key;
 * SIZE_MAX for none. */
static size_t
reference_account(const struct drawn_accounts *d, const char *text, bool by_key)
{
	uint32_t i, k;

	for (i = 0; i < d->len; i++) {
		if (!by_key && strcmp(d->names[i], text) == 0)
			return i;
		for (k = 0; by_key && k < d->keys_len[i]; k++) {
			if (text[0] != '\0' && strcmp(d->keys[i][k], text) == 0)
				return i;
		}
	}
	return SIZE_MAX;
}

static size_t
index_of(const struct wf_doc *doc, const struct wf_account *a)
{
	return a != NULL ? (size_t)(a - doc->accounts) : SIZE_MAX;
}

/* Guards against a key or a name whose account is not the one of a comparison
 * of all accounts in order. */
static void
test_random_accounts(void)
{
	static struct drawn_accounts d;
	uint32_t i, k, differ = 0, found = 0, state = RANDOM_SEED;
	struct wf_doc *doc;
	char text[8];
	size_t want;

	for (i = 0; i < RANDOM_DOCS; i++) {
		doc = draw_accounts(&state, &d);
		for (k = 0; k < RANDOM_LOOKUPS; k++) {
			draw_text(&state, "abB-_", 5, text);
			want = reference_account(&d, text, true);
			differ += index_of(doc,
				      wf_doc_account_by_key(doc, text)) != want;
			found += want != SIZE_MAX;
			text[0] = 'n';
			text[4] = '\0';
			want = reference_account(&d, text, false);
			differ +=
			    index_of(doc, wf_doc_account(doc, text)) != want;
			found += want != SIZE_MAX;
		}
		wf_doc_free(doc);
	}
	CU_ASSERT_EQUAL(differ, 0);
	CU_ASSERT(found > RANDOM_DOCS * RANDOM_LOOKUPS / 8);
}

/* ---- work ---- */

struct work {
	uint64_t by_name;
	uint64_t by_route;
	uint64_t unknown;
};

/* Mean numbers of compared queues over all queues of a document, and of lookups
 * of queues that it does not have. */
static void
measure_work(size_t queues, struct work *w)
{
	const struct wf_queue *q;
	uint64_t compared = 0;
	struct wf_doc *doc;
	char path[300];
	size_t i;

	doc = doc_of_size(queues, &compared);
	for (i = 0; i < queues; i++)
		CU_ASSERT_PTR_EQUAL(
		    wf_doc_queue(doc, doc->queues[i].name), &doc->queues[i]);
	w->by_name = compared / queues;
	compared = 0;
	for (i = 0; i < queues; i++) {
		q = &doc->queues[i];
		snprintf(
		    path, sizeof(path), "%s0123456789abcdef", q->path_prefix);
		CU_ASSERT_PTR_EQUAL(wf_doc_route(doc, q->host, path), q);
	}
	w->by_route = compared / queues;
	compared = 0;
	CU_ASSERT_PTR_NULL(wf_doc_queue(doc, "queue-x"));
	CU_ASSERT_PTR_NULL(wf_doc_route(doc, "host-0", "/x/jobs/"));
	w->unknown = compared / 2;
	wf_doc_free(doc);
}

/* Guards against lookups whose work follows the number of queues. A dispatch
 * pass makes one for each queued step, and a front end for each request. */
static void
test_work_of_lookups(void)
{
	struct work few, many;

	measure_work(FEW_QUEUES, &few);
	measure_work(MANY_QUEUES, &many);
	printf("\n    compared of %d and %d queues: by name %" PRIu64
	       ", %" PRIu64 "; by route %" PRIu64 ", %" PRIu64
	       "; unknown %" PRIu64 ", %" PRIu64 " ",
	    FEW_QUEUES, MANY_QUEUES, few.by_name, many.by_name, few.by_route,
	    many.by_route, few.unknown, many.unknown);
	CU_ASSERT(few.by_name > 0 && few.by_route > 0 && few.unknown > 0);
	CU_ASSERT(many.by_name <= GROWTH_MAX * few.by_name);
	CU_ASSERT(many.by_route <= GROWTH_MAX * few.by_route);
	CU_ASSERT(many.unknown <= GROWTH_MAX * few.unknown);
}

static const struct suite_test tests[] = {
    {"route: longest prefix at the host", test_route},
    {"name: first of that name", test_name},
    {"lookups without queues", test_no_queues},
    {"random documents", test_random_documents},
    {"accounts: keys", test_accounts},
    {"accounts: shared keys are logged", test_shared_keys_are_logged},
    {"accounts: random documents", test_random_accounts},
    {"work of lookups", test_work_of_lookups},
};

int
main(void)
{
	return suite_run("wf_doc", tests, LEN(tests));
}

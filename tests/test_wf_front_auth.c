/**
 * DOC: test_wf_front_auth
 *
 * Requests of clients under a document with accounts: who is answered, what is
 * stored, and what the logs tell. The request handler runs alone, with a store
 * in memory that answers at once.
 */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "front_fixture.h"

/* One request a millisecond; the last one gets a line again. */
#define FLOOD_MS 3001

#define ROUTES                                                                \
	"\"routes\":["                                                        \
	"{\"name\":\"q\",\"host\":\"h\",\"prefix\":\"/q/\"},"                 \
	"{\"name\":\"q2\",\"host\":\"h\",\"prefix\":\"/q2/\"},"               \
	"{\"name\":\"p\",\"host\":\"h\",\"prefix\":\"/p/\",\"public\":true}," \
	"{\"name\":\"p2\",\"host\":\"h\",\"prefix\":\"/p2/"                   \
	"\",\"public\":true}]"

#define ACCOUNT_A                                           \
	"{\"name\":\"a\",\"keys\":[\"key-a1\",\"key-a2\"]," \
	"\"max_count\":{\"cpu\":4000,\"mem_mb\":1000,\"gpu\":0}}"

/* Its key also begins with one of the other's. */
#define ACCOUNT_B "{\"name\":\"b\",\"keys\":[\"key-a11\",\"key-b1\"]}"

#define DOC \
	"{\"version\":1,\"tenants\":[" ACCOUNT_A "," ACCOUNT_B "]," ROUTES "}"
#define DOC_NO_ACCOUNTS "{\"version\":1,\"tenants\":[]," ROUTES "}"

/**
 * enum knowledge - what this instance knows about a job that is stored
 * @UNKNOWN: nothing, as another instance has accepted it
 * @STATE: its state, which the leader has pushed
 * @SUBMISSION: all
 */
enum knowledge {
	UNKNOWN,
	STATE,
	SUBMISSION,
};

/* Stores a job, as another instance or an earlier version has done, and lets
 * this one know of it. */
static void
store_job(struct fixture *x, const char *queue, const char *account,
    enum knowledge known)
{
	const struct agb_store_kv state = {
	    .key = (char *)(uintptr_t)("ab/v/" JOB),
	    .val = (char *)(uintptr_t) "\1",
	    .val_len = 1};

	put_submission(x, JOB_KEY, queue, account);
	if (known == SUBMISSION)
		wf_table_apply(&x->table, find_record(x, JOB_KEY));
	if (known != UNKNOWN)
		wf_table_apply(&x->table, &state);
}

/* Account in the stored submission; NULL when nothing is stored. */
static const char *
stored_account(struct fixture *x)
{
	static agb_id account;
	const struct agb_store_kv *const kv = find_record(x, JOB_KEY);
	struct wf_spec s;

	if (kv == NULL || !wf_table_decode_spec(kv->val, kv->val_len, &s))
		return NULL;
	agb_str_copy(account, sizeof(account), s.account);
	wf_spec_free(&s);
	return account;
}

/* ---- keys ---- */

/* Guards against a request that runs without a valid key, against a key that is
 * asked for where none is needed, and against a 401 that hides that the path or
 * the document is the problem. */
static void
test_keys(void)
{
	static const struct {
		const char *doc;
		enum wf_call_kind kind;
		int status;
		const char *path;
		const char *key;
		const char *account; /* of the stored job; NULL: none stored */
	} cases[] = {
	    {DOC, WF_CALL_SUBMIT, 401, "/q/" JOB, "", NULL},
	    {DOC, WF_CALL_SUBMIT, 401, "/q/" JOB, "key", NULL},
	    {DOC, WF_CALL_SUBMIT, 401, "/q/" JOB, "key-a", NULL},
	    {DOC, WF_CALL_SUBMIT, 401, "/q/" JOB, "KEY-A1", NULL},
	    {DOC, WF_CALL_SUBMIT, 401, "/q/" JOB, "a", NULL},
	    {DOC, WF_CALL_SUBMIT, 200, "/q/" JOB, "key-a1", "a"},
	    {DOC, WF_CALL_SUBMIT, 200, "/q/" JOB, "key-a2", "a"},
	    {DOC, WF_CALL_SUBMIT, 200, "/q/" JOB, "key-a11", "b"},
	    {DOC, WF_CALL_SUBMIT, 200, "/q2/" JOB, "key-b1", "b"},
	    {DOC, WF_CALL_SUBMIT, 200, "/p/" JOB, "", ""},
	    {DOC, WF_CALL_SUBMIT, 200, "/p/" JOB, "no key", ""},
	    {DOC, WF_CALL_SUBMIT, 200, "/p/" JOB, "key-a1", ""},
	    {DOC, WF_CALL_SUBMIT, 404, "/nowhere/" JOB, "", NULL},
	    {DOC, WF_CALL_SUBMIT, 404, "/nowhere/" JOB, "key-a1", NULL},
	    {DOC, WF_CALL_SUBMIT, 401, "/q/no-id", "", NULL},
	    {DOC, WF_CALL_SUBMIT, 400, "/q/no-id", "key-a1", NULL},
	    {DOC, WF_CALL_GET, 401, "/q/" JOB, "", NULL},
	    {DOC, WF_CALL_GET, 410, "/q/" JOB, "key-a1", NULL},
	    {DOC, WF_CALL_GET, 410, "/p/" JOB, "", NULL},
	    {DOC, WF_CALL_GET, 401, "/q/", "", NULL},
	    {DOC, WF_CALL_GET, 200, "/q/", "key-a1", NULL},
	    {DOC, WF_CALL_GET, 200, "/p/", "", NULL},
	    {DOC, WF_CALL_CANCEL, 401, "/q/" JOB, "", NULL},
	    {DOC, WF_CALL_CANCEL, 410, "/q/" JOB, "key-a1", NULL},
	    {DOC, WF_CALL_CANCEL, 410, "/p/" JOB, "", NULL},
	    {DOC_NO_ACCOUNTS, WF_CALL_SUBMIT, 200, "/q/" JOB, "", ""},
	    {DOC_NO_ACCOUNTS, WF_CALL_SUBMIT, 200, "/q/" JOB, "key", ""},
	    {DOC_NO_ACCOUNTS, WF_CALL_GET, 410, "/q/" JOB, "", NULL},
	    {DOC_NO_ACCOUNTS, WF_CALL_GET, 200, "/q/", "", NULL},
	    {"{\"version\":1," ROUTES "}", WF_CALL_SUBMIT, 200, "/q/" JOB, "",
		""},
	    {"{\"version\":1,\"tenants\":[{}]," ROUTES "}", WF_CALL_SUBMIT, 401,
		"/q/" JOB, "", NULL},
	    {NULL, WF_CALL_SUBMIT, 503, "/q/" JOB, "", NULL},
	    {NULL, WF_CALL_SUBMIT, 503, "/q/" JOB, "key-a1", NULL},
	};
	const char *account;
	struct fixture x;
	size_t i;
	int status;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&x, cases[i].doc);
		status =
		    send_call(&x, cases[i].kind, cases[i].path, cases[i].key);
		if (status != cases[i].status)
			printf("\ncase %zu: status %d ", i, status);
		CU_ASSERT_EQUAL(status, cases[i].status);
		CU_ASSERT(status != 401 || x.reply.retry_s == 0);
		CU_ASSERT(status != 401 || x.store_calls == 0);
		account = stored_account(&x);
		CU_ASSERT_EQUAL(account == NULL, cases[i].account == NULL);
		if (account != NULL && cases[i].account != NULL)
			CU_ASSERT_STRING_EQUAL(account, cases[i].account);
		fixture_free(&x);
	}
}

/* ---- jobs of other accounts ---- */

/* What a request may do with a stored job. */
enum access {
	ALLOWED,
	DENIED,	     /* it belongs to another account */
	OTHER_QUEUE, /* the request means a job of another queue */
};

/* Status of the answer to a request, by access and kind. */
static const int access_statuses[][3] = {
    [ALLOWED] = {200, 200, 200},
    [DENIED] = {403, 403, 403},
    [OTHER_QUEUE] = {200, 410, 410},
};

/* Guards against a job that another account reads, cancels or takes for its
 * own, whatever this instance knows about the job; against one that is read or
 * cancelled, or taken for the one that is submitted, by way of another queue; and
 * against one that its own account, or one of earlier versions without an
 * account, cannot be reached any more. */
static void
test_other_accounts(void)
{
	static const struct {
		const char *queue, *account; /* of the job */
		const char *path, *key;	     /* of the request */
		enum access access;
	} cases[] = {
	    {"q", "a", "/q/" JOB, "key-a1", ALLOWED},
	    {"q", "a", "/q/" JOB, "key-a2", ALLOWED},
	    {"q", "a", "/q2/" JOB, "key-a2", OTHER_QUEUE},
	    {"q", "a", "/q/" JOB, "key-b1", DENIED},
	    {"q", "a", "/q2/" JOB, "key-b1", OTHER_QUEUE},
	    {"q", "a", "/p/" JOB, "", OTHER_QUEUE},
	    {"q", "a", "/p/" JOB, "key-b1", OTHER_QUEUE},
	    {"q", "removed", "/q/" JOB, "key-a1", DENIED},
	    {"q", "", "/q/" JOB, "key-a1", ALLOWED},
	    {"q", "", "/q/" JOB, "key-b1", ALLOWED},
	    {"p", "", "/p/" JOB, "", ALLOWED},
	    {"p", "", "/q/" JOB, "key-b1", OTHER_QUEUE},
	    /* Its queue has become public. */
	    {"p", "a", "/p/" JOB, "", ALLOWED},
	    {"p", "a", "/p2/" JOB, "", OTHER_QUEUE},
	    {"p", "a", "/q/" JOB, "key-b1", OTHER_QUEUE},
	};
	static const enum wf_call_kind kinds[] = {
	    WF_CALL_SUBMIT, WF_CALL_GET, WF_CALL_CANCEL};
	enum access access;
	enum knowledge known;
	struct fixture x;
	size_t i, k, n;
	int status;

	for (n = 0; n < LEN(cases) * LEN(kinds) * (SUBMISSION + 1); n++) {
		i = n / (LEN(kinds) * (SUBMISSION + 1));
		k = n / (SUBMISSION + 1) % LEN(kinds);
		known = (enum knowledge)(n % (SUBMISSION + 1));
		access = cases[i].access;
		fixture_init(&x, DOC);
		store_job(&x, cases[i].queue, cases[i].account, known);
		status = send_call(&x, kinds[k], cases[i].path, cases[i].key);
		if (status != access_statuses[access][k])
			printf("\ncase %zu, request %zu, knowledge %u: "
			       "status %d ",
			    i, k, (unsigned)known, status);
		CU_ASSERT_EQUAL(status, access_statuses[access][k]);
		CU_ASSERT_EQUAL(x.reply.retry_s, 0);
		CU_ASSERT_STRING_EQUAL(stored_account(&x), cases[i].account);
		CU_ASSERT_EQUAL(find_record(&x, CANCEL_KEY) != NULL,
		    kinds[k] == WF_CALL_CANCEL && access == ALLOWED);
		CU_ASSERT_EQUAL(find_record(&x, SECOND_KEY) != NULL,
		    kinds[k] == WF_CALL_SUBMIT && access == OTHER_QUEUE);
		/* What was learned of the job holds for the next request. */
		status =
		    send_call(&x, WF_CALL_GET, cases[i].path, cases[i].key);
		CU_ASSERT_EQUAL(status,
		    access == OTHER_QUEUE && kinds[k] == WF_CALL_SUBMIT
			? 200
			: access_statuses[access][1]);
		fixture_free(&x);
	}
}

/* Guards against a job that is shown or cancelled before its account is known,
 * as the store does not answer, and against a store that is asked again for an
 * account that was read before. */
static void
test_store_without_answers(void)
{
	static const struct {
		enum knowledge known;
		bool silent;
		enum agb_store_status status;
	} cases[] = {
	    {UNKNOWN, false, AGB_STORE_LOST},
	    {UNKNOWN, false, AGB_STORE_REFUSED},
	    {STATE, false, AGB_STORE_LOST},
	    {STATE, false, AGB_STORE_REFUSED},
	    {STATE, true, AGB_STORE_LOST},
	};
	struct fixture x;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&x, DOC);
		store_job(&x, "q", "a", cases[i].known);
		x.status = cases[i].status;
		wf_front_set_store_silent(x.front, cases[i].silent);
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_GET, "/q/" JOB, "key-b1"), 503);
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_CANCEL, "/q/" JOB, "key-b1"), 503);
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_GET, "/q/" JOB, "key-a1"), 503);
		x.status = AGB_STORE_OK;
		wf_front_set_store_silent(x.front, false);
		CU_ASSERT_PTR_NULL(find_record(&x, CANCEL_KEY));
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_GET, "/q/" JOB, "key-b1"), 403);
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_GET, "/q/" JOB, "key-a1"), 200);
		x.store_calls = 0;
		x.status = AGB_STORE_LOST;
		CU_ASSERT(cases[i].known == UNKNOWN ||
		    send_call(&x, WF_CALL_GET, "/q/" JOB, "key-a1") == 200);
		CU_ASSERT_EQUAL(x.store_calls, 0);
		fixture_free(&x);
	}
}

/* Guards against a cancellation that is stored for a job of another account, or
 * answered for the own one and not stored, when the job is submitted after its
 * account was looked up. */
static void
test_submitted_meanwhile(void)
{
	static const struct {
		const char *owner, *key;
		int status;
	} cases[] = {
	    {NULL, "key-b1", 410},
	    {"a", "key-b1", 403},
	    {"a", "key-a1", 200},
	    {"", "key-b1", 200},
	};
	struct fixture x;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&x, DOC);
		x.late = cases[i].owner;
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_CANCEL, "/q/" JOB, cases[i].key),
		    cases[i].status);
		CU_ASSERT_EQUAL(
		    find_record(&x, JOB_KEY) != NULL, cases[i].owner != NULL);
		CU_ASSERT_EQUAL(find_record(&x, CANCEL_KEY) != NULL,
		    cases[i].status != 403);
		fixture_free(&x);
	}
}

/* Guards against an answer that a job of another account was accepted, when a
 * peer has made the write and tells only that there is such a job. */
static void
test_written_by_peer(void)
{
	static const struct {
		const char *key;
		uint64_t revision; /* as the peer tells it */
		int status;
	} cases[] = {
	    {"key-b1", 1, 403},
	    {"key-b1", 0, 403},
	    {"key-a1", 1, 200},
	    {"key-a1", 0, 200},
	};
	struct wf_x_peer peer = {.rpc = (char *)(uintptr_t) "10.0.0.2:7",
	    .domain = (char *)(uintptr_t) "d",
	    .region = (char *)(uintptr_t) "r"};
	struct agb_store_kv kv = {.key = (char *)(uintptr_t) "ab/c/n/i2"};
	struct agb_store_result res = {.status = AGB_STORE_OK};
	struct wf_call call = {.kind = WF_CALL_SUBMIT};
	struct wf_effects out = {0}, next = {0};
	struct wf_job *job;
	struct fixture x;
	size_t i;

	agb_str_copy(call.host, sizeof(call.host), "h");
	agb_str_copy(call.path, sizeof(call.path), "/q/" JOB);
	kv.val = wf_table_encode_peer(&peer, 0, &kv.val_len);
	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&x, DOC);
		wf_table_apply(&x.table, &kv);
		store_job(&x, "q", "a", UNKNOWN);
		wf_front_set_store_silent(x.front, true);
		agb_str_copy(call.key, sizeof(call.key), cases[i].key);
		call.spec = new_spec(1, 1000, 100, false);
		wf_front_handle_call(x.front, &x.now, x.doc, &call, &out);
		CU_ASSERT_EQUAL_FATAL(out.items[0].type, WF_EF_PEER_PUT);
		res.revision = cases[i].revision;
		CU_ASSERT(wf_front_handle_store_result(
		    x.front, &x.now, out.items[0].tag, &res, &job, &next));
		CU_ASSERT_PTR_NULL(job);
		wf_effects_free(&out);
		perform(&x, &next);
		CU_ASSERT_EQUAL(x.reply.http_status, cases[i].status);
		CU_ASSERT_STRING_EQUAL(stored_account(&x), "a");
		fixture_free(&x);
	}
	free(kv.val);
}

/* ---- changes of the document ---- */

/* Guards against a key that works after its removal or not after its addition,
 * and against a job that changes hands with the keys of its account. */
static void
test_new_document(void)
{
	static const struct {
		const char *accounts;
		const char *key;
		int status;
	} cases[] = {
	    {ACCOUNT_A "," ACCOUNT_B, "key-a1", 200},
	    {"{\"name\":\"a\",\"keys\":[\"new\"]}," ACCOUNT_B, "key-a1", 401},
	    {"{\"name\":\"a\",\"keys\":[\"new\"]}," ACCOUNT_B, "new", 200},
	    {"{\"name\":\"a\",\"keys\":[\"new\"]}," ACCOUNT_B, "key-b1", 403},
	    /* The key goes to another account. */
	    {"{\"name\":\"c\",\"keys\":[\"key-a1\"]}", "key-a1", 403},
	    /* The account is removed, and comes back. */
	    {ACCOUNT_B, "key-a1", 401},
	    {ACCOUNT_B, "key-b1", 403},
	    {ACCOUNT_A, "key-a1", 200},
	    /* No accounts any more. */
	    {"", "", 200},
	    {"", "key-b1", 200},
	};
	struct fixture x;
	char *text;
	size_t i;

	fixture_init(&x, DOC);
	CU_ASSERT_EQUAL(
	    send_call(&x, WF_CALL_SUBMIT, "/q/" JOB, "key-a1"), 200);
	for (i = 0; i < LEN(cases); i++) {
		text = agb_xasprintf("{\"version\":%zu,\"tenants\":[%s],"
				     "%s}",
		    i + 2, cases[i].accounts, ROUTES);
		set_doc(&x, text);
		free(text);
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_GET, "/q/" JOB, cases[i].key),
		    cases[i].status);
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_SUBMIT, "/q/" JOB, cases[i].key),
		    cases[i].status);
		CU_ASSERT_STRING_EQUAL(stored_account(&x), "a");
	}
	fixture_free(&x);
}

/* ---- limits ---- */

/* Guards against a submission that is accepted and can never run within the
 * limit of its account, and against the refusal of one that can. */
static void
test_limits(void)
{
	static const struct {
		uint32_t count;
		bool gang;
		int64_t cpu, mem;
		const char *path, *key;
		int status;
	} cases[] = {
	    {1, false, 4000, 1000, "/q/" JOB, "key-a1", 200},
	    {1, false, 4001, 1000, "/q/" JOB, "key-a1", 429},
	    {1, false, 4000, 1001, "/q/" JOB, "key-a1", 429},
	    {100, false, 4000, 1000, "/q/" JOB, "key-a1", 200},
	    {4, true, 1000, 250, "/q/" JOB, "key-a1", 200},
	    {5, true, 1000, 100, "/q/" JOB, "key-a1", 429},
	    {4, true, 1000, 251, "/q/" JOB, "key-a1", 429},
	    {65536, true, INT32_MAX, INT32_MAX, "/q/" JOB, "key-a1", 429},
	    {65536, true, INT32_MAX, INT32_MAX, "/q/" JOB, "key-b1", 200},
	    {5, true, 1000, 100, "/p/" JOB, "key-a1", 200},
	};
	struct fixture x;
	size_t i;
	int status;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&x, DOC);
		status =
		    send_spec(&x, WF_CALL_SUBMIT, cases[i].path, cases[i].key,
			new_spec(cases[i].count, cases[i].cpu, cases[i].mem,
			    cases[i].gang));
		if (status != cases[i].status)
			printf("\ncase %zu: status %d ", i, status);
		CU_ASSERT_EQUAL(status, cases[i].status);
		CU_ASSERT_EQUAL(x.reply.retry_s, 0);
		CU_ASSERT_EQUAL(
		    find_record(&x, JOB_KEY) != NULL, status == 200);
		fixture_free(&x);
	}
}

/* Guards against a limit that is not applied to a later step, to a resource
 * other than processors, or to tasks that use idle processors only. */
static void
test_limits_of_steps(void)
{
	static const struct {
		bool first; /* the step that is too large */
		bool best_effort;
		int status;
		int64_t accel;
	} cases[] = {
	    {false, false, 200, 2},
	    {false, false, 429, 3},
	    {true, false, 429, 3},
	    {false, true, 429, 3},
	};
	struct wf_spec *s;
	struct fixture x;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&x,
		    "{\"version\":1,\"tenants\":[{\"name\":\"a\","
		    "\"keys\":[\"key-a1\"],\"max_count\":{\"gpu\":2}}]," ROUTES
		    "}");
		s = new_spec(1, 1000, 100, false);
		s->steps = agb_xreallocarray(s->steps, 2, sizeof(*s->steps));
		s->steps[1] = s->steps[0];
		s->steps_len = 2;
		s->steps[cases[i].first ? 0 : 1].need.accel = cases[i].accel;
		s->steps[1].best_effort = cases[i].best_effort;
		CU_ASSERT_EQUAL(
		    send_spec(&x, WF_CALL_SUBMIT, "/q/" JOB, "key-a1", s),
		    cases[i].status);
		fixture_free(&x);
	}
}

/* Guards against a refusal, which tells that a job does not run, of one that was
 * accepted before the limit of its account was lowered. */
static void
test_limit_of_accepted_job(void)
{
	static const enum knowledge known[] = {UNKNOWN, STATE, SUBMISSION};
	struct fixture x;
	size_t i;

	for (i = 0; i < LEN(known); i++) {
		fixture_init(&x, DOC);
		store_job(&x, "q", "a", known[i]);
		CU_ASSERT_EQUAL(send_spec(&x, WF_CALL_SUBMIT, "/q/" JOB,
				    "key-a1", new_spec(1, 5000, 100, false)),
		    200);
		CU_ASSERT_EQUAL(send_spec(&x, WF_CALL_SUBMIT, "/q/" JOB,
				    "key-b1", new_spec(1, 5000, 100, false)),
		    403);
		fixture_free(&x);
	}
	fixture_init(&x, DOC);
	x.status = AGB_STORE_LOST;
	CU_ASSERT_EQUAL(send_spec(&x, WF_CALL_SUBMIT, "/q/" JOB, "key-a1",
			    new_spec(1, 5000, 100, false)),
	    503);
	CU_ASSERT(x.reply.retry_s > 0);
	fixture_free(&x);
}

/* ---- logs ---- */

/* Guards against a flood of requests without a valid key that writes a line
 * each, against refusals that are not counted, and against lines of other
 * requests that go missing with them. */
static void
test_flood(void)
{
	uint64_t omitted = 0;
	struct fixture x;
	const char *line;
	unsigned ms;

	fixture_init(&x, DOC);
	for (ms = 0; ms < FLOOD_MS; ms++) {
		x.now.mono += AGB_MS;
		CU_ASSERT_EQUAL(
		    send_call(&x, WF_CALL_GET, "/q/" JOB, "bad-secret"), 401);
	}
	CU_ASSERT_EQUAL(x.log_lines, 4);
	for (line = x.log; (line = strstr(line, "omitted=")) != NULL; line++)
		omitted += strtoull(line + strlen("omitted="), NULL, 10);
	CU_ASSERT_EQUAL(omitted + x.log_lines, FLOOD_MS);
	CU_ASSERT_EQUAL(
	    send_call(&x, WF_CALL_SUBMIT, "/q/" JOB, "key-a1"), 200);
	CU_ASSERT_EQUAL(x.log_lines, 5);
	CU_ASSERT_EQUAL(send_call(&x, WF_CALL_GET, "/q/" JOB, "key-b1"), 403);
	CU_ASSERT_EQUAL(x.log_lines, 6);
	fixture_free(&x);
}

static bool
contains(const char *bytes, size_t len, const char *text)
{
	return memmem(bytes, len, text, strlen(text)) != NULL;
}

/* Guards against a key, valid or not, in a log line, in the text of a reply or
 * in a record. */
static void
test_keys_stay_secret(void)
{
	static const char *const keys[] = {
	    "key-a1", "key-a2", "key-b1", "bad-secret", ""};
	static const enum wf_call_kind kinds[] = {
	    WF_CALL_SUBMIT, WF_CALL_GET, WF_CALL_CANCEL};
	static const char *const paths[] = {
	    "/q/" JOB, "/p/" JOB, "/q/", "/q/no-id", "/nowhere"};
	struct fixture x;
	size_t i, k, n, r;

	fixture_init(&x, DOC);
	for (n = 0; n < 2 * LEN(keys) * LEN(kinds) * LEN(paths); n++) {
		x.now.mono += 2 * AGB_SEC;
		x.status = n % 2 == 0 ? AGB_STORE_OK : AGB_STORE_REFUSED;
		i = n / 2 % LEN(paths);
		k = n / 2 / LEN(paths) % LEN(kinds);
		(void)send_call(&x, kinds[k], paths[i],
		    keys[n / 2 / LEN(paths) / LEN(kinds)]);
	}
	CU_ASSERT(x.log_lines > 0 && x.records_len > 0);
	for (i = 0; i + 1 < LEN(keys); i++) {
		CU_ASSERT_PTR_NULL(strstr(x.log, keys[i]));
		for (r = 0; r < x.records_len; r++)
			CU_ASSERT_FALSE(contains(
			    x.records[r].val, x.records[r].val_len, keys[i]));
	}
	fixture_free(&x);
}

static void
refuse(struct wf_effects *out)
{
	wf_front_refuse(out, 1, WF_CALL_SUBMIT, 503, JOB, "why");
}

static void
refuse_for_good(struct wf_effects *out)
{
	wf_front_refuse(out, 1, WF_CALL_SUBMIT, 404, JOB, "why");
}

static void
refuse_full(struct wf_effects *out)
{
	const struct wf_front_call w = {.job = JOB};

	wf_front_refuse_full(out, &w);
}

static void
refuse_limit(struct wf_effects *out)
{
	const struct wf_front_call w = {.job = JOB};

	wf_front_refuse_limit(out, &w);
}

/* The list of effects has room for the reply, and moves when the log line is
 * added. Guards against a Retry-After that is written into the memory that the
 * list has left. */
static void
test_full_list(void)
{
	static const struct {
		void (*refuse)(struct wf_effects *out);
		int http_status;
		uint32_t retry_s;
	} cases[] = {
	    {refuse, 503, 2},
	    {refuse_for_good, 404, 0},
	    {refuse_full, 503, 10},
	    {refuse_limit, 429, 0},
	};
	const struct wf_reply *r;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct wf_effects out = {0};
		void *behind;

		wf_effects_add(&out, WF_EF_READY);
		while (out.len + 1 < out.cap)
			wf_effects_add(&out, WF_EF_READY);
		/* The list cannot grow in place. */
		behind = malloc(sizeof(JOB));
		cases[i].refuse(&out);
		CU_ASSERT_EQUAL_FATAL(out.items[out.len - 2].type, WF_EF_REPLY);
		r = &out.items[out.len - 2].u.reply;
		CU_ASSERT_EQUAL(r->http_status, cases[i].http_status);
		CU_ASSERT_EQUAL(r->retry_s, cases[i].retry_s);
		wf_effects_free(&out);
		free(behind);
	}
}

static const struct suite_test tests[] = {
    {"accounts: keys of requests", test_keys},
    {"accounts: jobs of others", test_other_accounts},
    {"accounts: store without answers", test_store_without_answers},
    {"accounts: submitted meanwhile", test_submitted_meanwhile},
    {"accounts: written by a peer", test_written_by_peer},
    {"accounts: new document", test_new_document},
    {"accounts: limits", test_limits},
    {"accounts: limits of steps", test_limits_of_steps},
    {"accounts: limit of an accepted job", test_limit_of_accepted_job},
    {"accounts: flood of bad keys", test_flood},
    {"accounts: keys stay secret", test_keys_stay_secret},
    {"refusals: list of effects moves", test_full_list},
};

int
main(void)
{
	return suite_run("wf_front_auth", tests, LEN(tests));
}

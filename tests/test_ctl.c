#include <unistd.h>

#include "ctl.h"
#include "ctl_args.h"
#include "fakestore.h"
#include "suite.h"
#include "textdiff.h"
#include "textfile.h"

/*
 * struct fixture - agatectl with a fake store and a fake entry instance
 * @status_body: body of the entry instance's responses
 * @status_code: their HTTP status; 0 for a failed connection
 * @request_path: path of the latest request to the entry instance
 * @out: stdout and stderr of the latest command, interleaved
 * @exit_status: exit status of the latest command
 */
struct fixture {
	struct fakestore store;
	const char *status_body;
	int status_code;
	char request_path[128];
	char *out;
	enum agb_ctl_exit exit_status;
};

static struct fixture fx;

static void
fake_sleep(void *arg, unsigned ms)
{
	(void)arg;
	(void)ms;
}

static void
fake_http_get(void *arg, const char *path, struct agb_ctl_http_response *out)
{
	(void)arg;
	snprintf(fx.request_path, sizeof(fx.request_path), "%s", path);
	out->http_status = fx.status_code;
	out->body = agb_xstrdup(fx.status_body);
	out->body_len = strlen(out->body);
	snprintf(out->error, sizeof(out->error), "connection refused");
}

static const struct agb_ctl_io fake_io = {
    .run_once = fakestore_run_pending,
    .sleep = fake_sleep,
    .http_get = fake_http_get,
};

/* Runs a command line as operator @who; its output is kept in fx.out. */
static enum agb_ctl_exit
run(const char *who, const char *line)
{
	struct agb_ctl_options o;
	struct agb_ctl ctl = {
	    .io = &fake_io,
	    .io_arg = &fx.store,
	    .now_s = 1796362403,
	};
	char words[512];
	char *argv[16] = {"agatectl"};
	char *word, *save = NULL;
	size_t len;
	int argc = 1;
	FILE *f;

	free(fx.out);
	f = open_memstream(&fx.out, &len);
	snprintf(words, sizeof(words), "%s", line);
	for (word = strtok_r(words, " ", &save); word != NULL && argc < 15;
	     word = strtok_r(NULL, " ", &save))
		argv[argc++] = word;
	fx.exit_status = agb_ctl_args_parse(argc, argv, &o, f, f);
	if (o.run != NULL) {
		ctl.out = ctl.err = f;
		ctl.json = o.json;
		ctl.has_entry = o.entry_addr[0] != '\0';
		ctl.store = o.store_addrs_len > 0 ? &fx.store.base : NULL;
		snprintf(ctl.operator_name, sizeof(ctl.operator_name),
		    "%s@ops-1", who);
		/* The number of transactions so far makes the ID unique. */
		snprintf(ctl.change_id, sizeof(ctl.change_id), "%s-%u", who,
		    fx.store.txn_count);
		agb_ctl_init(&ctl);
		fx.exit_status = o.run(&ctl, &o.args);
		agb_ctl_cleanup(&ctl);
	}
	fclose(f);
	return fx.exit_status;
}

static void
reset(void)
{
	fakestore_free(&fx.store);
	free(fx.out);
	memset(&fx, 0, sizeof(fx));
	fakestore_init(&fx.store);
}

#define STORE_OPTION " --store 127.0.0.1:1"
#define LAGOS_DOC "samples/lagos/environment.json"
#define GOLDEN_DIR "tests/golden/ctl/"

static bool
output_contains(const char *text)
{
	const bool found = strstr(fx.out, text) != NULL;

	if (!found)
		fprintf(stderr, "wanted: %s\ngot: %s\n", text, fx.out);
	return found;
}

/*
 * Compares the output, exit status and store keys of a session of two
 * operators with a golden file. Guards against unintended changes to them.
 */
static void
test_session(void)
{
	static const char *const lines[] = {
	    "env check " GOLDEN_DIR "a.json",
	    "env check " GOLDEN_DIR "a.json --json",
	    "env check " GOLDEN_DIR "bad.json",
	    "env check " GOLDEN_DIR "bad.json --json",
	    "env check no-such-file.json",
	    "env show trial" STORE_OPTION,
	    "env put trial " GOLDEN_DIR "bad.json" STORE_OPTION,
	    "env put trial " GOLDEN_DIR "bad.json --json" STORE_OPTION,
	    "env put trial " GOLDEN_DIR "a.json" STORE_OPTION,
	    "env put trial " GOLDEN_DIR "a.json" STORE_OPTION,
	    "env show trial" STORE_OPTION,
	    "env diff trial " GOLDEN_DIR "b.json" STORE_OPTION,
	    "env diff trial " GOLDEN_DIR "b.json --json" STORE_OPTION,
	    "env put trial " GOLDEN_DIR "b.json --reviewed 2" STORE_OPTION,
	    "env put trial " GOLDEN_DIR "a.json --reviewed 2" STORE_OPTION,
	    "env put trial " GOLDEN_DIR
	    "a.json --reviewed 2 --json" STORE_OPTION,
	    "env put trial " GOLDEN_DIR "a.json --reviewed 99" STORE_OPTION,
	    "env put trial " LAGOS_DOC " --reviewed 3" STORE_OPTION,
	    "env diff production trial" STORE_OPTION,
	    "env promote trial production --reviewed 2" STORE_OPTION,
	    "env promote trial production --reviewed 3 --json" STORE_OPTION,
	    "env diff production trial" STORE_OPTION,
	    "env promote none production --reviewed 4" STORE_OPTION,
	    "env promote trial trial --reviewed 4" STORE_OPTION,
	    "env history trial" STORE_OPTION,
	    "env history production --json" STORE_OPTION,
	    "env show Trial" STORE_OPTION,
	    "env show trial",
	    "status",
	    "explain a/../b --entry 127.0.0.1:1",
	};
	char *text = NULL;
	size_t len, i;
	FILE *f;

	reset();
	f = open_memstream(&text, &len);
	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
		run(i % 2 == 0 ? "amaka" : "duc", lines[i]);
		fprintf(f, "$ agatectl %s\n%s[exit %d]\n", lines[i], fx.out,
		    fx.exit_status);
	}
	for (i = 0; i < fx.store.kvs_len; i++)
		fprintf(f, "key %s version %llu\n", fx.store.kvs[i].key,
		    (unsigned long long)fx.store.kvs[i].mod_rev);
	fclose(f);
	CU_ASSERT_TRUE(textfile_matches_golden(GOLDEN_DIR "session.txt", text));
	free(text);
}

/* Runs a command of a second operator while the first one's is pending. */
static void
run_concurrent(const char *line)
{
	struct agb_store_op op = fx.store.op;
	const struct agb_store base = fx.store.base;
	char *const out = fx.out;

	fx.out = NULL;
	CU_ASSERT_EQUAL(run("second", line), AGB_CTL_OK);
	free(fx.out);
	fx.out = out;
	fx.store.base = base;
	fx.store.op = op;
}

static void
concurrent_put_trial(struct fakestore *s)
{
	(void)s;
	run_concurrent(
	    "env put trial " GOLDEN_DIR "c.json --reviewed 3" STORE_OPTION);
}

static void
concurrent_put_production(struct fakestore *s)
{
	(void)s;
	run_concurrent("env put production " GOLDEN_DIR
		       "c.json --reviewed 3" STORE_OPTION);
}

/* The second operator's put succeeds; the first one's request gets lost. */
static void
concurrent_put_and_drop_request(struct fakestore *s)
{
	concurrent_put_trial(s);
	s->txn_fault = FAKESTORE_LOST_REQUEST;
}

static void
fail_five_reads(struct fakestore *s)
{
	s->failing_reads = 5;
}

static void
fail_all_reads(struct fakestore *s)
{
	s->failing_reads = 1000;
}

/*
 * Guards against a put or promote that overwrites a change which its operator
 * has not reviewed, that is applied twice, or that reports the wrong outcome.
 * A second operator changes an environment before or after the first one's
 * transaction, or that transaction's request or reply is lost.
 */
static void
test_races(void)
{
	static const struct {
		const char *line;
		fakestore_hook before;
		fakestore_hook after;
		enum fakestore_fault fault;
		enum agb_ctl_exit code;
		bool written;
		const char *expected;
	} cases[] = {
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		NULL, NULL, FAKESTORE_NO_FAULT, AGB_CTL_OK, true,
		"version 4 is accepted"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		concurrent_put_trial, NULL, FAKESTORE_NO_FAULT,
		AGB_CTL_CONFLICT, false,
		"version 4 is in force, reviewed was 2; nothing was changed\n"
		"@@ -"},
	    {"env promote trial production --reviewed 3" STORE_OPTION,
		concurrent_put_trial, NULL, FAKESTORE_NO_FAULT,
		AGB_CTL_CONFLICT, false, "environment \"trial\" has changed"},
	    {"env promote trial production --reviewed 3" STORE_OPTION,
		concurrent_put_production, NULL, FAKESTORE_NO_FAULT,
		AGB_CTL_CONFLICT, false,
		"environment \"production\" has changed"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		NULL, NULL, FAKESTORE_LOST_REPLY, AGB_CTL_OK, true,
		"version 4 is accepted"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		NULL, fail_five_reads, FAKESTORE_LOST_REPLY, AGB_CTL_OK, true,
		"version 4 is accepted"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		NULL, fail_all_reads, FAKESTORE_LOST_REPLY, AGB_CTL_UNREACHABLE,
		true,
		"may have taken effect. It has if \"env history trial --json\" "
		"shows id first-"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		NULL, NULL, FAKESTORE_LOST_REQUEST, AGB_CTL_UNREACHABLE, false,
		"may have taken effect"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		concurrent_put_trial, NULL, FAKESTORE_LOST_REPLY,
		AGB_CTL_CONFLICT, false, "version 4 is in force"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		concurrent_put_and_drop_request, NULL, FAKESTORE_NO_FAULT,
		AGB_CTL_CONFLICT, false, "version 4 is in force"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		NULL, concurrent_put_trial, FAKESTORE_LOST_REQUEST,
		AGB_CTL_CONFLICT, false, "version 4 is in force"},
	    {"env put trial " GOLDEN_DIR "b.json --reviewed 3" STORE_OPTION,
		NULL, NULL, FAKESTORE_REFUSED, AGB_CTL_UNREACHABLE, false,
		"nothing was changed"},
	};
	const struct agb_store_kv *kv;
	unsigned txns;
	size_t i, k, own_entries;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		reset();
		run("setup", "env put trial " GOLDEN_DIR "a.json" STORE_OPTION);
		run("setup",
		    "env put production " GOLDEN_DIR "a.json" STORE_OPTION);
		txns = fx.store.txn_count;
		fx.store.before_txn = cases[i].before;
		fx.store.after_txn = cases[i].after;
		fx.store.txn_fault = cases[i].fault;
		CU_ASSERT_EQUAL(run("first", cases[i].line), cases[i].code);
		CU_ASSERT_TRUE(output_contains(cases[i].expected));
		/* Each command, that of a concurrent operator included, makes
		 * one transaction and never sends it again. */
		CU_ASSERT_EQUAL(fx.store.txn_count - txns,
		    cases[i].before == NULL &&
			    cases[i].after != concurrent_put_trial
			? 1
			: 2);
		for (k = 0, own_entries = 0; k < fx.store.kvs_len; k++) {
			kv = &fx.store.kvs[k];
			own_entries +=
			    strstr(kv->val, "\"who\":\"first") != NULL;
		}
		CU_ASSERT_EQUAL(own_entries, cases[i].written ? 1 : 0);
	}
}

/*
 * Guards against a history that exceeds its limit or loses its latest entry.
 */
static void
test_history_limit(void)
{
	const struct agb_store_kv *kv;
	char line[128];
	size_t i;

	reset();
	for (i = 0; i < 60; i++) {
		snprintf(line, sizeof(line),
		    "env put trial " GOLDEN_DIR
		    "%s.json --reviewed %llu" STORE_OPTION,
		    i % 2 == 0 ? "a" : "b",
		    (unsigned long long)fx.store.revision);
		CU_ASSERT_EQUAL(run("amaka", line), AGB_CTL_OK);
	}
	CU_ASSERT_EQUAL(fx.store.kvs_len, 1 + AGB_CTL_HISTORY_MAX);
	kv = fakestore_get(
	    &fx.store, "agatebeam/trial/env-history/000000000000003c");
	CU_ASSERT_PTR_NOT_NULL(kv);
	/* A review older than the history is a conflict, without a diff. */
	run("duc",
	    "env put trial " GOLDEN_DIR "c.json --reviewed 5" STORE_OPTION);
	CU_ASSERT_EQUAL(fx.exit_status, AGB_CTL_CONFLICT);
	CU_ASSERT_TRUE(output_contains("is not in the history any more"));
}

/*
 * Guards against lagging instances that are reported as up to date, and against
 * status and explain responses that are printed wrongly.
 */
static void
test_entry(void)
{
	static const char two_members[] =
	    "{\"environment\": \"trial\", \"more\": 1, \"members\": ["
	    "{\"instance\": \"ikeja-1\", \"domain\": \"ikeja\", "
	    "\"env_version\": 2, \"age_ms\": 40},"
	    "{\"instance\": \"garki-1\", \"domain\": \"garki\", "
	    "\"env_version\": 1, \"age_ms\": 900}]}";
	static const struct {
		const char *line;
		int status;
		enum agb_ctl_exit code;
		const char *body;
		const char *expected;
	} cases[] = {
	    {"env status trial --entry 127.0.0.1:1" STORE_OPTION, 200,
		AGB_CTL_FAILED, two_members,
		"ikeja-1\tikeja\t2\t40 ms ago\n"
		"garki-1\tgarki\t1\t900 ms ago\tlags\n"
		"trial: version 2; 1 of 2 instances lag\n"},
	    {"env status trial --entry 127.0.0.1:1", 200, AGB_CTL_FAILED,
		two_members, "trial: version 2; 1 of 2 instances lag\n"},
	    {"env status trial --entry 127.0.0.1:1 --json" STORE_OPTION, 200,
		AGB_CTL_FAILED, two_members,
		"\"version\":2,\"lagging\":1,\"members\":[{\"instance\":"
		"\"ikeja-1\",\"domain\":\"ikeja\",\"env_version\":2,"
		"\"age_ms\":40,\"lags\":false}"},
	    {"env status production --entry 127.0.0.1:1", 200, AGB_CTL_FAILED,
		two_members,
		"line 1 /environment is \"trial\", not \"production\""},
	    {"env status trial --entry 127.0.0.1:1", 200, AGB_CTL_OK,
		"{\"members\": [{\"instance\": \"a\", \"domain\": \"b\", "
		"\"env_version\": 1, \"age_ms\": 0}]}",
		"0 of 1 instances lag"},
	    {"env status trial --entry 127.0.0.1:1", 200, AGB_CTL_FAILED,
		"{\"members\": 1}", "line 1 /members is an integer"},
	    {"env status trial --entry 127.0.0.1:1", 0, AGB_CTL_UNREACHABLE, "",
		"does not answer: connection refused"},
	    {"env status trial", 200, AGB_CTL_BAD_INPUT, two_members,
		"needs --entry"},
	    {"status --entry 127.0.0.1:1", 200, AGB_CTL_OK, "{\"a\":1}",
		"{\n  \"a\":1\n}\n"},
	    {"status --entry 127.0.0.1:1 --json", 200, AGB_CTL_OK,
		"{ \"a\": 1 }", "{\"a\":1}\n"},
	    {"status --entry 127.0.0.1:1", 200, AGB_CTL_OK, "plain\x1b[2J",
		"plain?[2J\n"},
	    {"explain job-1 --entry 127.0.0.1:1", 200, AGB_CTL_OK,
		"{\"id\": \"job-1\", \"text\": \"job-1\\nwaits\\u001b\"}",
		"job-1\nwaits?\n"},
	    {"explain job-1 --entry 127.0.0.1:1", 404, AGB_CTL_FAILED,
		"no such job\n", "answers 404: no such job?"},
	    {"explain job-1 --entry 127.0.0.1:1 --json", 200, AGB_CTL_OK,
		"waits", "{\"text\":\"waits\"}"},
	};
	size_t i;

	reset();
	run("setup", "env put trial " GOLDEN_DIR "a.json" STORE_OPTION);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fx.status_code = cases[i].status;
		fx.status_body = cases[i].body;
		CU_ASSERT_EQUAL(run("amaka", cases[i].line), cases[i].code);
		CU_ASSERT_TRUE(output_contains(cases[i].expected));
	}
	CU_ASSERT_STRING_EQUAL(fx.request_path, "/v1/explain/job-1");
}

/* Guards against arguments that are ignored or wrongly accepted. */
static void
test_args(void)
{
	static const struct {
		const char *line;
		enum agb_ctl_exit code;
		const char *expected;
	} cases[] = {
	    {"", AGB_CTL_BAD_INPUT, "Usage: agatectl COMMAND"},
	    {"--help", AGB_CTL_OK, "lost a race"},
	    {"env", AGB_CTL_BAD_INPUT, "unknown command"},
	    {"env drop trial", AGB_CTL_BAD_INPUT, "unknown command"},
	    {"env put --help", AGB_CTL_OK, "--reviewed=VERSION"},
	    {"env promote trial production" STORE_OPTION, AGB_CTL_BAD_INPUT,
		"missing option --reviewed=VERSION"},
	    {"env show" STORE_OPTION, AGB_CTL_BAD_INPUT, "missing option ENV"},
	    {"env show a b" STORE_OPTION, AGB_CTL_BAD_INPUT, "excess option b"},
	    {"env show a --reviewed 1" STORE_OPTION, AGB_CTL_BAD_INPUT,
		"invalid option"},
	    {"env put a b.json --reviewed -1" STORE_OPTION, AGB_CTL_BAD_INPUT,
		"--reviewed takes a whole number"},
	    {"env show a --store localhost:1", AGB_CTL_BAD_INPUT,
		"host names are not looked up"},
	    {"env show a --store 127.0.0.1:1,", AGB_CTL_BAD_INPUT,
		"has no port"},
	    {"status --entry 127.0.0.1", AGB_CTL_BAD_INPUT, "has no port"},
	};
	size_t i;

	reset();
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(run("amaka", cases[i].line), cases[i].code);
		CU_ASSERT_TRUE(output_contains(cases[i].expected));
	}
}

/* Guards against a diff that shows equal lines as changed or omits changes. */
static void
test_textdiff(void)
{
	static const struct {
		const char *a;
		const char *b;
		const char *expected;
	} cases[] = {
	    {"", "", ""},
	    {"a\nb\n", "a\nb\n", ""},
	    {"", "a\n", "@@ -1,0 +1,1 @@\n+a\n"},
	    {"a\n", "", "@@ -1,1 +1,0 @@\n-a\n"},
	    {"a", "a\n", ""},
	    {"1\n2\n3\n4\n5\n6\n", "1\n2\n3\nx\n5\n6\n",
		"@@ -2,5 +2,5 @@\n 2\n 3\n-4\n+x\n 5\n 6\n"},
	    {"a\nb\nc\n", "c\na\nb\n", "@@ -1,3 +1,3 @@\n+c\n a\n b\n-c\n"},
	    {"x\n1\n2\n3\n4\n5\n6\ny\n", "1\n2\n3\n4\n5\n6\n",
		"@@ -1,3 +1,2 @@\n-x\n 1\n 2\n"
		"@@ -6,3 +5,2 @@\n 5\n 6\n-y\n"},
	    {"\x1b[2J\n", "", "@@ -1,1 +1,0 @@\n-?[2J\n"},
	};
	char *got, *a, *b;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		got = agb_textdiff(cases[i].a, strlen(cases[i].a), cases[i].b,
		    strlen(cases[i].b));
		CU_ASSERT_STRING_EQUAL(got, cases[i].expected);
		if (strcmp(got, cases[i].expected) != 0)
			fprintf(stderr, "%zu: %s", i, got);
		free(got);
	}
	/* Beyond the edit limit all lines are shown as replaced. */
	a = agb_xcalloc(4001, 1);
	b = agb_xcalloc(4001, 1);
	for (i = 0; i < 4000; i += 2) {
		a[i] = 'a';
		b[i] = 'b';
		a[i + 1] = b[i + 1] = '\n';
	}
	got = agb_textdiff(a, 4000, b, 4000);
	CU_ASSERT_EQUAL(strlen(got),
	    strlen("@@ -1,2000 +1,2000 @@\n") + 4000 * strlen("-a\n"));
	free(got);
	free(a);
	free(b);
}

static const struct suite_test tests[] = {
    {"session", test_session},
    {"races", test_races},
    {"history_limit", test_history_limit},
    {"entry", test_entry},
    {"args", test_args},
    {"textdiff", test_textdiff},
};

int
main(void)
{
	const int code =
	    suite_run("ctl", tests, sizeof(tests) / sizeof(tests[0]));

	reset();
	free(fx.out);
	return code;
}

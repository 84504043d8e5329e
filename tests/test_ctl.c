#include <unistd.h>

#include "ctl.h"
#include "ctl_args.h"
#include "fakestore.h"
#include "suite.h"
#include "textdiff.h"
#include "textfile.h"

/*
 * struct fixture - agatectl on a fake store and a fake entry instance
 * @out: what the latest command wrote to stdout and stderr together
 */
struct fixture {
	struct fakestore store;
	const char *status_body;
	int status_code;
	char path[128];
	char *out;
	enum agb_ctl_exit code;
};

static struct fixture fx;

static void
fake_pause(void *arg, unsigned ms)
{
	(void)arg;
	(void)ms;
}

static void
fake_get(void *arg, const char *path, struct agb_ctl_reply *out)
{
	(void)arg;
	snprintf(fx.path, sizeof(fx.path), "%s", path);
	out->http_status = fx.status_code;
	out->body = agb_xstrdup(fx.status_body);
	out->body_len = strlen(out->body);
	snprintf(out->error, sizeof(out->error), "connection refused");
}

static const struct agb_ctl_io fake_io = {
    .turn = fakestore_run_pending,
    .pause = fake_pause,
    .get = fake_get,
};

/* Runs a command line; its output is in fx.out until the next one. */
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
	fx.code = agb_ctl_args_parse(argc, argv, &o, f, f);
	if (o.run != NULL) {
		ctl.out = ctl.err = f;
		ctl.json = o.json;
		ctl.has_entry = o.entry[0] != '\0';
		ctl.store = o.store_len > 0 ? &fx.store.base : NULL;
		snprintf(ctl.who, sizeof(ctl.who), "%s@ops-1", who);
		/* The number of writes so far makes the id unique. */
		snprintf(
		    ctl.id, sizeof(ctl.id), "%s-%u", who, fx.store.txn_count);
		agb_ctl_init(&ctl);
		fx.code = o.run(&ctl, &o.args);
		agb_ctl_done(&ctl);
	}
	fclose(f);
	return fx.code;
}

static void
reset(void)
{
	fakestore_free(&fx.store);
	free(fx.out);
	memset(&fx, 0, sizeof(fx));
	fakestore_init(&fx.store);
}

#define S " --store 127.0.0.1:1"
#define LAGOS "samples/lagos/environment.json"
#define CTL "tests/golden/ctl/"

static bool
said(const char *text)
{
	const bool found = strstr(fx.out, text) != NULL;

	if (!found)
		fprintf(stderr, "wanted: %s\ngot: %s\n", text, fx.out);
	return found;
}

/*
 * Guards against output, exit status or store content that changes unseen:
 * a whole session of two operators, command by command.
 */
static void
test_session(void)
{
	static const char *const lines[] = {
	    "env check " CTL "a.json",
	    "env check " CTL "a.json --json",
	    "env check " CTL "bad.json",
	    "env check " CTL "bad.json --json",
	    "env check no-such-file.json",
	    "env show trial" S,
	    "env put trial " CTL "bad.json" S,
	    "env put trial " CTL "bad.json --json" S,
	    "env put trial " CTL "a.json" S,
	    "env put trial " CTL "a.json" S,
	    "env show trial" S,
	    "env diff trial " CTL "b.json" S,
	    "env diff trial " CTL "b.json --json" S,
	    "env put trial " CTL "b.json --reviewed 2" S,
	    "env put trial " CTL "a.json --reviewed 2" S,
	    "env put trial " CTL "a.json --reviewed 2 --json" S,
	    "env put trial " CTL "a.json --reviewed 99" S,
	    "env put trial " LAGOS " --reviewed 3" S,
	    "env diff production trial" S,
	    "env promote trial production --reviewed 2" S,
	    "env promote trial production --reviewed 3 --json" S,
	    "env diff production trial" S,
	    "env promote none production --reviewed 4" S,
	    "env promote trial trial --reviewed 4" S,
	    "env history trial" S,
	    "env history production --json" S,
	    "env show Trial" S,
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
		    fx.code);
	}
	for (i = 0; i < fx.store.kvs_len; i++)
		fprintf(f, "key %s version %llu\n", fx.store.kvs[i].key,
		    (unsigned long long)fx.store.kvs[i].mod_rev);
	fclose(f);
	CU_ASSERT_TRUE(textfile_same(CTL "session.txt", text));
	free(text);
}

/* Another operator's whole command, in the middle of the first one's. */
static void
rival(const char *line)
{
	struct agb_store_op op = fx.store.op;
	const struct agb_store base = fx.store.base;
	char *const out = fx.out;

	fx.out = NULL;
	CU_ASSERT_EQUAL(run("rival", line), AGB_CTL_DONE);
	free(fx.out);
	fx.out = out;
	fx.store.base = base;
	fx.store.op = op;
}

static void
rival_puts_trial(struct fakestore *s)
{
	(void)s;
	rival("env put trial " CTL "c.json --reviewed 3" S);
}

static void
rival_puts_production(struct fakestore *s)
{
	(void)s;
	rival("env put production " CTL "c.json --reviewed 3" S);
}

/* The other puts first, and the store drops the first one's request. */
static void
rival_wins_unseen(struct fakestore *s)
{
	rival_puts_trial(s);
	s->txn_fault = FAKESTORE_LOST_REQUEST;
}

static void
no_reads(struct fakestore *s)
{
	s->failing_reads = 5;
}

static void
no_store(struct fakestore *s)
{
	s->failing_reads = 1000;
}

/*
 * Guards against a change that overwrites one which its operator has not
 * seen, that is written twice, or whose loss or success is told wrongly.
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
		const char *said;
	} cases[] = {
	    {"env put trial " CTL "b.json --reviewed 3" S, NULL, NULL,
		FAKESTORE_NO_FAULT, AGB_CTL_DONE, true,
		"version 4 is accepted"},
	    {"env put trial " CTL "b.json --reviewed 3" S, rival_puts_trial,
		NULL, FAKESTORE_NO_FAULT, AGB_CTL_RACE, false,
		"version 4 is in force, reviewed was 2; nothing was changed\n"
		"@@ -"},
	    {"env promote trial production --reviewed 3" S, rival_puts_trial,
		NULL, FAKESTORE_NO_FAULT, AGB_CTL_RACE, false,
		"environment \"trial\" has changed"},
	    {"env promote trial production --reviewed 3" S,
		rival_puts_production, NULL, FAKESTORE_NO_FAULT, AGB_CTL_RACE,
		false, "environment \"production\" has changed"},
	    {"env put trial " CTL "b.json --reviewed 3" S, NULL, NULL,
		FAKESTORE_LOST_REPLY, AGB_CTL_DONE, true,
		"version 4 is accepted"},
	    {"env put trial " CTL "b.json --reviewed 3" S, NULL, no_reads,
		FAKESTORE_LOST_REPLY, AGB_CTL_DONE, true,
		"version 4 is accepted"},
	    {"env put trial " CTL "b.json --reviewed 3" S, NULL, no_store,
		FAKESTORE_LOST_REPLY, AGB_CTL_UNREACHABLE, true,
		"may have taken effect. It has if \"env history trial --json\" "
		"shows id first-"},
	    {"env put trial " CTL "b.json --reviewed 3" S, NULL, NULL,
		FAKESTORE_LOST_REQUEST, AGB_CTL_UNREACHABLE, false,
		"may have taken effect"},
	    {"env put trial " CTL "b.json --reviewed 3" S, rival_puts_trial,
		NULL, FAKESTORE_LOST_REPLY, AGB_CTL_RACE, false,
		"version 4 is in force"},
	    {"env put trial " CTL "b.json --reviewed 3" S, rival_wins_unseen,
		NULL, FAKESTORE_NO_FAULT, AGB_CTL_RACE, false,
		"version 4 is in force"},
	    {"env put trial " CTL "b.json --reviewed 3" S, NULL,
		rival_puts_trial, FAKESTORE_LOST_REQUEST, AGB_CTL_RACE, false,
		"version 4 is in force"},
	    {"env put trial " CTL "b.json --reviewed 3" S, NULL, NULL,
		FAKESTORE_REFUSED, AGB_CTL_UNREACHABLE, false,
		"nothing was changed"},
	};
	const struct agb_store_kv *kv;
	unsigned txns;
	size_t i, k, mine;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		reset();
		run("setup", "env put trial " CTL "a.json" S);
		run("setup", "env put production " CTL "a.json" S);
		txns = fx.store.txn_count;
		fx.store.before_txn = cases[i].before;
		fx.store.after_txn = cases[i].after;
		fx.store.txn_fault = cases[i].fault;
		CU_ASSERT_EQUAL(run("first", cases[i].line), cases[i].code);
		CU_ASSERT_TRUE(said(cases[i].said));
		/* One write of its own, whatever happened. */
		CU_ASSERT_EQUAL(fx.store.txn_count - txns,
		    cases[i].before == NULL &&
			    cases[i].after != rival_puts_trial
			? 1
			: 2);
		for (k = 0, mine = 0; k < fx.store.kvs_len; k++) {
			kv = &fx.store.kvs[k];
			mine += strstr(kv->val, "\"who\":\"first") != NULL;
		}
		CU_ASSERT_EQUAL(mine, cases[i].written ? 1 : 0);
	}
}

/* Guards against a history that grows without end or drops its latest. */
static void
test_history_limit(void)
{
	const struct agb_store_kv *kv;
	char line[128];
	size_t i;

	reset();
	for (i = 0; i < 60; i++) {
		snprintf(line, sizeof(line),
		    "env put trial " CTL "%s.json --reviewed %llu" S,
		    i % 2 == 0 ? "a" : "b",
		    (unsigned long long)fx.store.revision);
		CU_ASSERT_EQUAL(run("amaka", line), AGB_CTL_DONE);
	}
	CU_ASSERT_EQUAL(fx.store.kvs_len, 1 + AGB_CTL_HISTORY_MAX);
	kv = fakestore_get(
	    &fx.store, "agatebeam/trial/env-history/000000000000003c");
	CU_ASSERT_PTR_NOT_NULL(kv);
	/* A review older than the history still loses, without a diff. */
	run("duc", "env put trial " CTL "c.json --reviewed 5" S);
	CU_ASSERT_EQUAL(fx.code, AGB_CTL_RACE);
	CU_ASSERT_TRUE(said("is not in the history any more"));
}

/* Guards against lagging instances that are told as up to date. */
static void
test_entry(void)
{
	static const char two[] =
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
		const char *said;
	} cases[] = {
	    {"env status trial --entry 127.0.0.1:1" S, 200, AGB_CTL_FAILED, two,
		"ikeja-1\tikeja\t2\t40 ms ago\n"
		"garki-1\tgarki\t1\t900 ms ago\tlags\n"
		"trial: version 2; 1 of 2 instances lag\n"},
	    {"env status trial --entry 127.0.0.1:1", 200, AGB_CTL_FAILED, two,
		"trial: version 2; 1 of 2 instances lag\n"},
	    {"env status trial --entry 127.0.0.1:1 --json" S, 200,
		AGB_CTL_FAILED, two,
		"\"version\":2,\"lagging\":1,\"members\":[{\"instance\":"
		"\"ikeja-1\",\"domain\":\"ikeja\",\"env_version\":2,"
		"\"age_ms\":40,\"lags\":false}"},
	    {"env status production --entry 127.0.0.1:1", 200, AGB_CTL_FAILED,
		two, "line 1 /environment is \"trial\", not \"production\""},
	    {"env status trial --entry 127.0.0.1:1", 200, AGB_CTL_DONE,
		"{\"members\": [{\"instance\": \"a\", \"domain\": \"b\", "
		"\"env_version\": 1, \"age_ms\": 0}]}",
		"0 of 1 instances lag"},
	    {"env status trial --entry 127.0.0.1:1", 200, AGB_CTL_FAILED,
		"{\"members\": 1}", "line 1 /members is an integer"},
	    {"env status trial --entry 127.0.0.1:1", 0, AGB_CTL_UNREACHABLE, "",
		"does not answer: connection refused"},
	    {"env status trial", 200, AGB_CTL_BAD_INPUT, two, "needs --entry"},
	    {"status --entry 127.0.0.1:1", 200, AGB_CTL_DONE, "{\"a\":1}",
		"{\n  \"a\":1\n}\n"},
	    {"status --entry 127.0.0.1:1 --json", 200, AGB_CTL_DONE,
		"{ \"a\": 1 }", "{\"a\":1}\n"},
	    {"status --entry 127.0.0.1:1", 200, AGB_CTL_DONE, "plain\x1b[2J",
		"plain?[2J\n"},
	    {"explain job-1 --entry 127.0.0.1:1", 200, AGB_CTL_DONE,
		"{\"id\": \"job-1\", \"text\": \"job-1\\nwaits\\u001b\"}",
		"job-1\nwaits?\n"},
	    {"explain job-1 --entry 127.0.0.1:1", 404, AGB_CTL_FAILED,
		"no such job\n", "answers 404: no such job?"},
	    {"explain job-1 --entry 127.0.0.1:1 --json", 200, AGB_CTL_DONE,
		"waits", "{\"text\":\"waits\"}"},
	};
	size_t i;

	reset();
	run("setup", "env put trial " CTL "a.json" S);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fx.status_code = cases[i].status;
		fx.status_body = cases[i].body;
		CU_ASSERT_EQUAL(run("amaka", cases[i].line), cases[i].code);
		CU_ASSERT_TRUE(said(cases[i].said));
	}
	CU_ASSERT_STRING_EQUAL(fx.path, "/v1/explain/job-1");
}

/* Guards against arguments that are dropped or taken in the wrong place. */
static void
test_args(void)
{
	static const struct {
		const char *line;
		enum agb_ctl_exit code;
		const char *said;
	} cases[] = {
	    {"", AGB_CTL_BAD_INPUT, "Usage: agatectl COMMAND"},
	    {"--help", AGB_CTL_DONE, "lost a race"},
	    {"env", AGB_CTL_BAD_INPUT, "unknown command"},
	    {"env drop trial", AGB_CTL_BAD_INPUT, "unknown command"},
	    {"env put --help", AGB_CTL_DONE, "--reviewed=VERSION"},
	    {"env promote trial production" S, AGB_CTL_BAD_INPUT,
		"missing option --reviewed=VERSION"},
	    {"env show" S, AGB_CTL_BAD_INPUT, "missing option ENV"},
	    {"env show a b" S, AGB_CTL_BAD_INPUT, "excess option b"},
	    {"env show a --reviewed 1" S, AGB_CTL_BAD_INPUT, "invalid option"},
	    {"env put a b.json --reviewed -1" S, AGB_CTL_BAD_INPUT,
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
		CU_ASSERT_TRUE(said(cases[i].said));
	}
}

/* Guards against a difference that shows equal lines or hides others. */
static void
test_textdiff(void)
{
	static const struct {
		const char *a;
		const char *b;
		const char *want;
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
		CU_ASSERT_STRING_EQUAL(got, cases[i].want);
		if (strcmp(got, cases[i].want) != 0)
			fprintf(stderr, "%zu: %s", i, got);
		free(got);
	}
	/* More edits than are searched for: all is replaced. */
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

#include "settings.h"
#include "suite.h"
#include "textfile.h"

static const char base[] = "{\n"
			   "\"instance\": \"ikeja-1\",\n"
			   "\"environment\": \"trial\",\n"
			   "\"region\": \"lagos\",\n"
			   "\"domain\": \"ikeja\",\n"
			   "\"http\": \"0.0.0.0:0\",\n"
			   "\"rpc\": \"[::1]:7201\",\n"
			   "\"store\": [\"127.0.0.1:7001\"],\n"
			   "\"platform\": \"127.0.0.1:7002\"\n"
			   "}\n";

/* Guards against a default that differs from docs/settings.md. */
static void
test_defaults(void)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_settings s;

	CU_ASSERT_TRUE(agb_settings_parse(base, strlen(base), &s, f));
	CU_ASSERT_EQUAL(f->len, 0);
	CU_ASSERT_STRING_EQUAL(s.instance, "ikeja-1");
	CU_ASSERT_STRING_EQUAL(s.environment, "trial");
	CU_ASSERT_STRING_EQUAL(s.region, "lagos");
	CU_ASSERT_STRING_EQUAL(s.domain, "ikeja");
	CU_ASSERT_STRING_EQUAL(s.http, "0.0.0.0:0");
	CU_ASSERT_STRING_EQUAL(s.rpc, "[::1]:7201");
	CU_ASSERT_EQUAL(s.store_len, 1);
	CU_ASSERT_STRING_EQUAL(s.store[0], "127.0.0.1:7001");
	CU_ASSERT_STRING_EQUAL(s.platform, "127.0.0.1:7002");
	CU_ASSERT_EQUAL(s.drain_ms, 60000);
	CU_ASSERT_EQUAL(s.head_max, 16384);
	CU_ASSERT_EQUAL(s.body_max, 1048576);
	CU_ASSERT_EQUAL(s.connections_max, 1024);
	CU_ASSERT_EQUAL(s.head_timeout_ms, 10000);
	CU_ASSERT_EQUAL(s.call_timeout_ms, 60000);
	CU_ASSERT_FALSE(s.log_json);
	CU_ASSERT_EQUAL(s.log_level, AGB_LOG_INFO);
	free(f);
}

/* Guards against an invalid setting that is accepted or reported wrongly, and
 * against a valid one that is rejected. */
static void
test_findings(void)
{
	static const struct {
		const char *from;
		const char *to;
		const char *want;
		bool ok;
	} cases[] = {
	    {"7201", "7201\", \"log_level\": \"warn", "", true},
	    {"[::1]:7201", "127.0.0.1:7201", "", true},
	    /* The kernel chooses both ports. */
	    {"[::1]:7201",
		"127.0.0.1:0\", \"drain_ms\": 0, "
		"\"log_level\": \"info",
		"", true},
	    {"0.0.0.0:0\",\n\"rpc\": \"[::1]:7201",
		"127.0.0.1:0\",\n\"rpc\": \"127.0.0.1:0", "", true},
	    {"\"http\": \"0.0.0.0:0\"", "\"http\": \"[::1]:7201\"",
		"x: line 7 /rpc: error: is the same address and port as "
		"http\n",
		false},
	    {"[\"127.0.0.1:7001\"]",
		"[\"127.0.0.1:7001\",\n\"127.0.0.1:7001\"]",
		"x: line 9 /store/1: warning: \"127.0.0.1:7001\" stands in "
		"the list twice\n",
		true},
	    {"7002\"", "7002\",\n\"drain_ms\": 5000",
		"x: line 10 /drain_ms: warning: is 5000 ms, shorter than "
		"call_timeout_ms of 60000 ms; a stop may cut off requests\n",
		true},
	    {"[\"127.0.0.1:7001\"]", "[]",
		"x: line 8 /store: error: is empty; expected 1 to 8 items\n",
		false},
	    {"{\n", "[", "x: line 1: error: expected a comma or ]\n", false},
	};
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_settings s;
	char *text, *got;
	size_t i;
	bool ok;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		text = textfile_replace(base, cases[i].from, cases[i].to);
		memset(f, 0, sizeof(*f));
		ok = agb_settings_parse(text, strlen(text), &s, f);
		got = textfile_format_findings(f, "x");
		CU_ASSERT_EQUAL(ok, cases[i].ok);
		if (strcmp(got, cases[i].want) != 0)
			fprintf(stderr, "%zu: %s", i, got);
		CU_ASSERT_STRING_EQUAL(got, cases[i].want);
		free(got);
		free(text);
	}
	free(f);
}

static bool
check_file(const char *path, char **got)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_settings s;
	size_t len = 0;
	char *const text = textfile_read_or_abort(path, &len);
	bool ok;

	ok = agb_settings_parse(text, len, &s, f);
	*got = textfile_format_findings(f, "x");
	free(text);
	free(f);
	return ok;
}

/* Guards against findings that change, and against an error that hides
 * others. */
static void
test_golden(void)
{
	char *got;

	CU_ASSERT_FALSE(check_file("tests/golden/settings/many.json", &got));
	CU_ASSERT_TRUE(
	    textfile_matches_golden("tests/golden/settings/many.txt", got));
	free(got);
}

/* Guards against sample settings that the daemon rejects. */
static void
test_samples(void)
{
	static const char *const files[] = {
	    "samples/lagos/agatebeamd-ikeja-1.json",
	    "samples/bac-ninh/agatebeamd-bac-ninh-1.json",
	};
	size_t i;
	char *got;

	for (i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
		CU_ASSERT_TRUE(check_file(files[i], &got));
		CU_ASSERT_STRING_EQUAL(got, "");
		free(got);
	}
}

static const struct suite_test tests[] = {
    {"defaults", test_defaults},
    {"findings", test_findings},
    {"golden", test_golden},
    {"samples", test_samples},
};

int
main(void)
{
	return suite_run("settings", tests, sizeof(tests) / sizeof(tests[0]));
}

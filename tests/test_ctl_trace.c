#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"
#include "mem.h"
#include "suite.h"
#include "textfile.h"

#define DIR "tests/golden/trace/"

static enum agb_ctl_exit
trace(const char *job, const char *path, bool json, char **out)
{
	const struct agb_ctl_args args = {.env = job, .other = path};
	struct agb_ctl ctl = {.json = json};
	enum agb_ctl_exit code;
	size_t len = 0;
	FILE *const f = open_memstream(out, &len);

	if (f == NULL)
		abort();
	ctl.out = ctl.err = f;
	code = agb_ctl_trace(&ctl, &args);
	fclose(f);
	return code;
}

/* The logs are of jobs of a day with the store away and machines lost. */
static const struct {
	const char *name;
	const char *job;
	const char *told;
} cases[] = {
    {"refused", "e871caa6236513d7",
	"the store cannot be reached; nothing was stored"},
    {"late", "975be1de5c5ac95e", "started again: its lease has run out"},
    {"failed", "599b04c36ed96804",
	"ended: failed, a task has failed as often as its queue allows"},
};

/* Guards against log lines of several instances out of their causal order,
 * and against a summary that misses the cause. */
static void
test_causes(void)
{
	char log[128], golden[128], *out;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(log, sizeof(log), DIR "%s.log", cases[i].name);
		snprintf(golden, sizeof(golden), DIR "%s.out", cases[i].name);
		CU_ASSERT_EQUAL(
		    trace(cases[i].job, log, false, &out), AGB_CTL_DONE);
		CU_ASSERT_TRUE(textfile_matches_golden(golden, out));
		CU_ASSERT_PTR_NOT_NULL(strstr(out, cases[i].told));
		free(out);
	}
}

/* Guards against JSON that lacks lines or summary. */
static void
test_json(void)
{
	struct json_object *o, *lines, *says;
	char *out;

	CU_ASSERT_EQUAL(
	    trace(cases[1].job, DIR "late.log", true, &out), AGB_CTL_DONE);
	o = json_tokener_parse(out);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	CU_ASSERT_TRUE(json_object_object_get_ex(o, "lines", &lines));
	CU_ASSERT_TRUE(json_object_object_get_ex(o, "summary", &says));
	CU_ASSERT_EQUAL(json_object_array_length(lines), 13);
	CU_ASSERT_TRUE(json_object_array_length(says) > 1);
	json_object_put(o);
	free(out);
}

/* Guards against an empty success for an id or a log that is not there, and
 * against a log cut at any byte being refused or read out of bounds. */
static void
test_bad(void)
{
	char path[] = "/tmp/agb-trace-XXXXXX";
	char *out, *text;
	size_t len, n;
	FILE *f;
	int fd;

	CU_ASSERT_EQUAL(trace("0123456789abcdef", DIR "late.log", false, &out),
	    AGB_CTL_FAILED);
	CU_ASSERT_PTR_NOT_NULL(strstr(out, "no line is about"));
	free(out);
	CU_ASSERT_EQUAL(trace(cases[0].job, DIR "absent.log", false, &out),
	    AGB_CTL_BAD_INPUT);
	free(out);
	CU_ASSERT_EQUAL(
	    trace(cases[0].job, DIR, false, &out), AGB_CTL_BAD_INPUT);
	free(out);
	text = textfile_read_or_abort(DIR "failed.log", &len);
	fd = mkstemp(path);
	CU_ASSERT_TRUE_FATAL(fd >= 0);
	close(fd);
	for (n = 0; n < len; n += 37) {
		f = fopen(path, "w");
		CU_ASSERT_PTR_NOT_NULL_FATAL(f);
		fwrite(text, 1, n, f);
		fclose(f);
		CU_ASSERT_NOT_EQUAL(
		    trace(cases[2].job, path, false, &out), AGB_CTL_BAD_INPUT);
		free(out);
	}
	unlink(path);
	free(text);
}

static const struct suite_test tests[] = {
    {"causes", test_causes},
    {"json", test_json},
    {"bad", test_bad},
};

int
main(void)
{
	return suite_run("ctl_trace", tests, sizeof(tests) / sizeof(tests[0]));
}

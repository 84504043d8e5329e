#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"
#include "mem.h"
#include "suite.h"
#include "textfile.h"

#define TRACE_DIR "tests/golden/trace/"

static enum agb_ctl_exit
run_trace(const char *job, const char *path, bool json, char **out)
{
	const struct agb_ctl_args args = {.env = job, .operand = path};
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

/* Logs of a run in which the store was unreachable and machines were lost. */
static const struct {
	const char *name;
	const char *job;
	const char *expected;
} cases[] = {
    {"refused", "e871caa6236513d7",
	"the store cannot be reached; nothing was stored"},
    {"late", "975be1de5c5ac95e", "started again: its lease has run out"},
    {"failed", "599b04c36ed96804",
	"ended: failed, a task has failed as often as its queue allows"},
};

/*
 * Guards against log lines of several instances that are not in causal order,
 * and against a summary that does not state why a job was refused, restarted
 * or ended.
 */
static void
test_causal_order(void)
{
	char log[128], golden[128], *out;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(log, sizeof(log), TRACE_DIR "%s.log", cases[i].name);
		snprintf(
		    golden, sizeof(golden), TRACE_DIR "%s.out", cases[i].name);
		CU_ASSERT_EQUAL(
		    run_trace(cases[i].job, log, false, &out), AGB_CTL_OK);
		CU_ASSERT_TRUE(textfile_matches_golden(golden, out));
		CU_ASSERT_PTR_NOT_NULL(strstr(out, cases[i].expected));
		free(out);
	}
}

/* Guards against JSON output without the log lines or the summary. */
static void
test_json(void)
{
	struct json_object *o, *lines, *summary_lines;
	char *out;

	CU_ASSERT_EQUAL(
	    run_trace(cases[1].job, TRACE_DIR "late.log", true, &out),
	    AGB_CTL_OK);
	o = json_tokener_parse(out);
	CU_ASSERT_PTR_NOT_NULL_FATAL(o);
	CU_ASSERT_TRUE(json_object_object_get_ex(o, "lines", &lines));
	CU_ASSERT_TRUE(json_object_object_get_ex(o, "summary", &summary_lines));
	CU_ASSERT_EQUAL(json_object_array_length(lines), 13);
	CU_ASSERT_TRUE(json_object_array_length(summary_lines) > 1);
	json_object_put(o);
	free(out);
}

/*
 * Guards against success for an unknown job ID or a missing log, and against a
 * log truncated at an arbitrary byte that is rejected or read out of bounds.
 */
static void
test_bad_input(void)
{
	char path[] = "/tmp/agb-trace-XXXXXX";
	char *out, *text;
	size_t len, n;
	FILE *f;
	int fd;

	CU_ASSERT_EQUAL(
	    run_trace("0123456789abcdef", TRACE_DIR "late.log", false, &out),
	    AGB_CTL_FAILED);
	CU_ASSERT_PTR_NOT_NULL(strstr(out, "no line is about"));
	free(out);
	CU_ASSERT_EQUAL(
	    run_trace(cases[0].job, TRACE_DIR "absent.log", false, &out),
	    AGB_CTL_BAD_INPUT);
	free(out);
	CU_ASSERT_EQUAL(
	    run_trace(cases[0].job, TRACE_DIR, false, &out), AGB_CTL_BAD_INPUT);
	free(out);
	text = textfile_read_or_abort(TRACE_DIR "failed.log", &len);
	fd = mkstemp(path);
	CU_ASSERT_TRUE_FATAL(fd >= 0);
	close(fd);
	for (n = 0; n < len; n += 37) {
		f = fopen(path, "w");
		CU_ASSERT_PTR_NOT_NULL_FATAL(f);
		fwrite(text, 1, n, f);
		fclose(f);
		CU_ASSERT_NOT_EQUAL(run_trace(cases[2].job, path, false, &out),
		    AGB_CTL_BAD_INPUT);
		free(out);
	}
	unlink(path);
	free(text);
}

/* Guards against a summary with bytes that are not of the log when a line lacks
 * a field, as at the end of a truncated log, and against events that are taken
 * for another one whose name they begin with. */
static void
test_incomplete_lines(void)
{
	static const struct {
		const char *log;
		const char *summary;
		bool listed; /* it is in the summary */
	} lines[] = {
	    {"event=job job=e871caa6236513d7\n"
	     "event=job_end job=e871caa6236513d7\n",
		"ended: state not logged, reason not logged\n", true},
	    {"event=job_end job=e871caa6236513d7 state=failed\n",
		"ended: failed, reason not logged\n", true},
	    {"event=start_refused job=e871caa6236513d7 waited_ms=5\n"
	     "event=advice_late job=e871caa6236513d7 took_ms=7\n"
	     "event=requeued job=e871caa6236513d7 reason=\"x\"\n",
		"first start", false},
	    {"event=start job=e871caa6236513d7 waited_ms=5\n",
		"first start after 5 ms\n", true},
	};
	char path[] = "/tmp/agb-trace-XXXXXX";
	char *out;
	size_t i;
	FILE *f;
	int fd;

	fd = mkstemp(path);
	CU_ASSERT_TRUE_FATAL(fd >= 0);
	close(fd);
	for (i = 0; i < sizeof(lines) / sizeof(lines[0]); i++) {
		f = fopen(path, "w");
		CU_ASSERT_PTR_NOT_NULL_FATAL(f);
		fputs(lines[i].log, f);
		fclose(f);
		CU_ASSERT_EQUAL(
		    run_trace(cases[0].job, path, false, &out), AGB_CTL_OK);
		CU_ASSERT_EQUAL(
		    strstr(out, lines[i].summary) != NULL, lines[i].listed);
		CU_ASSERT_PTR_NULL(strstr(out, "started again"));
		CU_ASSERT_PTR_NULL(strstr(out, "advice:"));
		free(out);
	}
	unlink(path);
}

static const struct suite_test tests[] = {
    {"causes", test_causal_order},
    {"json", test_json},
    {"bad", test_bad_input},
    {"incomplete", test_incomplete_lines},
};

int
main(void)
{
	return suite_run("ctl_trace", tests, sizeof(tests) / sizeof(tests[0]));
}

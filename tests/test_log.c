#include <fcntl.h>
#include <unistd.h>

#include "log.h"
#include "loop.h"
#include "suite.h"

#define LINES 3000
#define STAMP "2026-12-04T05:33:23.000042Z"

/* Guards against a value that forges a line or a field, for example by a
 * newline or quote, and against lines that are not valid JSON. */
static void
test_format(void)
{
	static const struct {
		const char *fields;
		const char *text;
		const char *json;
	} cases[] = {
	    {"", "", ""},
	    {"a=1 b=x", " a=1 b=x", ",\"a\":\"1\",\"b\":\"x\""},
	    {"a=\"x \\\"y\\\" z\" b=", " a=\"x \\\"y\\\" z\" b=",
		",\"a\":\"x \\\"y\\\" z\",\"b\":\"\""},
	    {"a=1\nlevel=error", " a=1?level=error",
		",\"a\":\"1\\u000alevel=error\""},
	    {"a=1 just words", " a=1 just words",
		",\"a\":\"1\",\"text\":\"just words\""},
	    {"a=\"open", " a=\"open", ",\"text\":\"a=\\\"open\""},
	    {"a=\"open\\", " a=\"open\\", ",\"text\":\"a=\\\"open\\\\\""},
	    {"a=\xff", " a=\xff", ",\"a\":\"?\""},
	};
	char want[256], *line;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		line = agb_log_format(false, 1796362403000042, AGB_LOG_WARN,
		    "e", cases[i].fields);
		snprintf(want, sizeof(want),
		    "time=" STAMP " level=warn event=e%s\n", cases[i].text);
		CU_ASSERT_STRING_EQUAL(line, want);
		free(line);
		line = agb_log_format(
		    true, 1796362403000042, AGB_LOG_WARN, "e", cases[i].fields);
		snprintf(want, sizeof(want),
		    "{\"time\":\"" STAMP
		    "\",\"level\":\"warn\",\"event\":\"e\"%s}\n",
		    cases[i].json);
		CU_ASSERT_STRING_EQUAL(line, want);
		free(line);
	}
}

/* Guards against lines below the log level, lines lost when the log is freed,
 * a full pipe that blocks the process or lets the buffer grow without limit,
 * and dropped lines that the log does not report, or reports twice. */
static void
test_output(void)
{
	static char buf[4096];
	struct agb_log *l;
	uv_loop_t loop;
	const int turns = 0;
	char gap[80];
	const char *at;
	int fds[2], i;
	ssize_t n;

	CU_ASSERT_EQUAL_FATAL(pipe2(fds, O_NONBLOCK), 0);
	uv_loop_init(&loop);
	l = agb_log_new(&loop, fds[1], false, AGB_LOG_INFO);
	agb_log_line(l, AGB_LOG_DEBUG, "hidden", "");
	agb_log_line(l, AGB_LOG_INFO, "shown", "");
	CU_ASSERT_TRUE(read(fds[0], buf, sizeof(buf)) < 0);
	loop_until(&loop, &turns, 0);
	n = read(fds[0], buf, sizeof(buf) - 1);
	CU_ASSERT_FATAL(n > 0);
	buf[n] = '\0';
	CU_ASSERT_PTR_NULL(strstr(buf, "hidden"));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "event=shown\n"));
	memset(buf, 'x', 1000);
	buf[1000] = '\0';
	for (i = 0; i < 1200; i++)
		agb_log_printf(l, AGB_LOG_INFO, "big", "a=%s", buf);
	loop_until(&loop, &turns, 0);
	CU_ASSERT_TRUE(agb_log_dropped(l) > 0);
	CU_ASSERT_TRUE(agb_log_dropped(l) < 300);
	while (read(fds[0], buf, sizeof(buf)) > 0)
		agb_log_flush(l);
	snprintf(gap, sizeof(gap), "event=log_dropped lines=%d total=%d ",
	    (int)agb_log_dropped(l), (int)agb_log_dropped(l));
	agb_log_line(l, AGB_LOG_ERROR, "last", "");
	agb_log_line(l, AGB_LOG_ERROR, "end", "");
	agb_log_free(l);
	n = read(fds[0], buf, sizeof(buf) - 1);
	CU_ASSERT_FATAL(n > 0);
	buf[n] = '\0';
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, gap));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "event=last\n"));
	at = strstr(buf, "log_dropped");
	CU_ASSERT_TRUE(at == NULL || strstr(at + 1, "log_dropped") == NULL);
	loop_close(&loop);
	close(fds[0]);
	close(fds[1]);
}

/* Guards against a line that is written in part because the pipe was full:
 * it would stay incomplete when another process writes to the pipe next or
 * this process ends. */
static void
test_lines_are_whole(void)
{
	static char buf[256 * 1024];
	struct agb_log *l;
	uv_loop_t loop;
	ssize_t n, len = 0;
	int fds[2], i;

	CU_ASSERT_EQUAL_FATAL(pipe2(fds, O_NONBLOCK), 0);
	uv_loop_init(&loop);
	l = agb_log_new(&loop, fds[1], false, AGB_LOG_INFO);
	for (i = 0; i < LINES; i++)
		agb_log_printf(l, AGB_LOG_INFO, "line", "number=%d", i);
	agb_log_flush(l);
	while ((n = read(fds[0], buf + len, sizeof(buf) - (size_t)len)) > 0)
		len += n;
	CU_ASSERT_FATAL(len > 0 && len < (ssize_t)LINES * 60);
	CU_ASSERT_EQUAL(buf[len - 1], '\n');
	agb_log_free(l);
	loop_close(&loop);
	close(fds[0]);
	close(fds[1]);
}

static const struct suite_test tests[] = {
    {"format", test_format},
    {"output", test_output},
    {"lines are whole", test_lines_are_whole},
};

int
main(void)
{
	return suite_run("log", tests, sizeof(tests) / sizeof(tests[0]));
}

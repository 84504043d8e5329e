#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "suite.h"
#include "textfile.h"

/*
 * struct platform_standin - process that stands in for the platform
 * @addr: address and port that it listens on
 */
struct platform_standin {
	pid_t pid;
	char addr[64];
};

static const char *
bin_dir(void)
{
	const char *const dir = getenv("AGB_BIN");

	return dir != NULL ? dir : "build";
}

static bool
standin_start(struct platform_standin *s)
{
	char *const path = agb_xasprintf("%s/standin-platform", bin_dir());
	char line[128] = "";
	int fds[2];
	FILE *f;

	if (pipe(fds) != 0)
		abort();
	s->pid = fork();
	if (s->pid == 0) {
		dup2(fds[1], STDOUT_FILENO);
		/* Ends the stand-in if the test dies before it stops it. */
		alarm(60);
		execl(path, path, "--listen", "127.0.0.1:0", (char *)NULL);
		_exit(127);
	}
	close(fds[1]);
	f = fdopen(fds[0], "r");
	if (f != NULL && fgets(line, sizeof(line), f) == NULL)
		line[0] = '\0';
	if (f != NULL)
		fclose(f);
	free(path);
	return sscanf(line, "listening %63s", s->addr) == 1;
}

static void
standin_stop(const struct platform_standin *s)
{
	kill(s->pid, SIGTERM);
	waitpid(s->pid, NULL, 0);
}

/*
 * Runs a shell command. Returns its exit status, or -1; @out holds its output,
 * truncated to @size.
 */
static int
run_shell(const char *line, char *out, size_t size)
{
	FILE *const f = popen(line, "r");
	size_t n;
	int status;

	if (f == NULL)
		return -1;
	n = fread(out, 1, size - 1, f);
	out[n] = '\0';
	status = pclose(f);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/*
 * Guards against a main program that drops arguments, the exit status or a
 * store reply. test_ctl tests the commands with fakes, without ctl_main.c and
 * the store client.
 */
static void
test_process(void)
{
	static const struct {
		const char *line;
		int code;
		const char *expected;
	} cases[] = {
	    {"env put trial samples/lagos/environment.json --store %s", 0,
		"trial: version 2 is accepted\n"},
	    {"env show trial --store %s", 0, "\"name\": \"lagos-tramway\""},
	    {"env put trial tests/golden/ctl/a.json --rename --reviewed 2 "
	     "--store %s",
		0, "trial: version 3 is accepted\n"},
	    {"env put trial tests/golden/ctl/b.json --reviewed 2 --store %s", 3,
		"version 3 is in force"},
	    {"env promote trial production --reviewed 3 --store %s", 0,
		"production: version 4 is accepted\n"},
	    {"env diff production trial --store %s", 0, "no difference"},
	    {"env history trial --store %s", 0, "\tput\n2\t"},
	    {"env status trial --entry 127.0.0.1:1 --store %s", 4,
		"does not answer"},
	    {"env show trial --store 127.0.0.1:1", 4,
		"the store does not answer"},
	    {"env check tests/golden/env/many.json", 2, "errors"},
	};
	struct platform_standin s = {0};
	char out[16384];
	char *args, *line;
	size_t i;
	int code;

	CU_ASSERT_TRUE(standin_start(&s));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		args = strstr(cases[i].line, "%s") == NULL
		    ? agb_xstrdup(cases[i].line)
		    : textfile_replace(cases[i].line, "%s", s.addr);
		line = agb_xasprintf("%s/agatectl %s 2>&1", bin_dir(), args);
		code = run_shell(line, out, sizeof(out));
		CU_ASSERT_EQUAL(code, cases[i].code);
		CU_ASSERT_PTR_NOT_NULL(strstr(out, cases[i].expected));
		if (code != cases[i].code ||
		    strstr(out, cases[i].expected) == NULL)
			fprintf(stderr, "%s\n%d\n%s", line, code, out);
		free(args);
		free(line);
	}
	standin_stop(&s);
}

static const struct suite_test tests[] = {
    {"process", test_process},
};

int
main(void)
{
	return suite_run(
	    "ctl_process", tests, sizeof(tests) / sizeof(tests[0]));
}

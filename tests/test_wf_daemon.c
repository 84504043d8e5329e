/**
 * DOC: test_wf_daemon
 *
 * Start of the daemon on a platform: signals and settings that are no settings.
 */

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "mem.h"
#include "suite.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define BAD_SETTINGS 2
#define WAIT_MS 10000

static pid_t
start_daemon(const char *settings)
{
	const char *const dir = getenv("AGB_BIN");
	char *const path =
	    agb_xasprintf("%s/agatebeamd", dir != NULL ? dir : "build");
	const pid_t pid = fork();
	int null;

	if (pid == 0) {
		null = open("/dev/null", O_WRONLY);
		dup2(null, STDERR_FILENO);
		/* Ends the daemon if the test dies before it. */
		alarm(60);
		execl(path, path, "--platform", "--settings", settings,
		    (char *)NULL);
		_exit(127);
	}
	free(path);
	return pid;
}

/* Opens a FIFO once the daemon has opened it to read its settings. */
static int
open_when_read(const char *fifo)
{
	int fd = -1, ms;

	for (ms = 0; fd < 0 && ms < WAIT_MS; ms++) {
		fd = open(fifo, O_WRONLY | O_NONBLOCK);
		if (fd < 0)
			usleep(1000);
	}
	if (fd >= 0)
		fcntl(fd, F_SETFL, 0);
	return fd;
}

/* Guards against a start that is ended by the signal that tells of new settings,
 * and against settings that end it otherwise than with a report. */
static void
test_start(void)
{
	static const struct {
		int signal;
		const char *settings;
	} cases[] = {
	    {0, ""},
	    {0, "{"},
	    {0, "[]"},
	    {0, "{}"},
	    {0, "\xff\xfe\x01"},
	    {0, "{\"platform\":7}"},
	    {0, "{\"platform\":{\"addr\":\"nowhere\"}}"},
	    {SIGHUP, "{}"},
	};
	char dir[] = "/tmp/agb-daemon-XXXXXX";
	char *fifo;
	int fd, status;
	size_t i;
	pid_t pid;

	signal(SIGPIPE, SIG_IGN);
	CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(dir));
	fifo = agb_xasprintf("%s/settings", dir);
	for (i = 0; i < LEN(cases); i++) {
		CU_ASSERT_EQUAL_FATAL(mkfifo(fifo, 0600), 0);
		pid = start_daemon(fifo);
		CU_ASSERT_FATAL(pid > 0);
		fd = open_when_read(fifo);
		CU_ASSERT_FATAL(fd >= 0);
		if (cases[i].signal != 0) {
			kill(pid, cases[i].signal);
			usleep(20000);
		}
		(void)!write(fd, cases[i].settings, strlen(cases[i].settings));
		close(fd);
		CU_ASSERT_EQUAL_FATAL(waitpid(pid, &status, 0), pid);
		if (!WIFEXITED(status))
			printf("\ncase %zu: ended by signal %d\n", i,
			    WTERMSIG(status));
		CU_ASSERT(WIFEXITED(status));
		CU_ASSERT_EQUAL(WEXITSTATUS(status), BAD_SETTINGS);
		unlink(fifo);
	}
	rmdir(dir);
	free(fifo);
}

static const struct suite_test tests[] = {
    {"daemon: start", test_start},
};

int
main(void)
{
	return suite_run("wf_daemon", tests, LEN(tests));
}

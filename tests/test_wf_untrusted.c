/**
 * DOC: test_wf_untrusted
 *
 * Clients that nobody controls, against the daemon beside the stand-in of the
 * platform. The argument names the shape of the crowd; each one is a test of
 * its own in ctest. A crowd must not end the process, nor take it beyond its
 * memory or its file descriptors, and an ordinary request is answered
 * afterwards. The size of each crowd and the bounds were fixed before the
 * limits were written; no times and no share of served requests are checked.
 */

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "mem.h"
#include "suite.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define MEMORY_MB 48
/* Descriptors that stay free of the process's limit: half of those that are
 * set aside for files. */
#define DESCRIPTORS_FREE 100
#define DESCRIPTORS_MAX 1024
#define PIECE_BYTES 4096
#define SEND_BYTES 65536
/* A crowd has ended once no client could send for this long. */
#define QUIET_MS 1000
#define CROWD_MS_MAX 30000
#define ANSWER_MS 30000
#define ATTEMPT_MS 4000
#define PROCESS_S_MAX 200
/* Limit of a body in the document of the stand-in, and more bytes than an
 * ordinary one has. */
#define BODY_MAX 262144
#define PADDED_BODY 512
#define FIRST_PADDED 1000000

/**
 * struct shape - crowd of one test
 * @start: what each client sends first
 * @fill: what each client repeats until @total bytes are sent after @start
 * @step: bytes that a client sends before the next one has its turn
 * @descriptors: limit of the process on open files
 */
struct shape {
	const char *name;
	const char *start;
	const char *fill;
	size_t total;
	size_t step;
	size_t clients;
	rlim_t descriptors;
};

static const struct shape shapes[] = {
    {"short_bodies",
	"POST /q/a HTTP/1.1\r\nHost: jobs\r\nContent-Length: 250000\r\n\r\n",
	" ", 249990, SEND_BYTES, 250, DESCRIPTORS_MAX},
    {"body_pieces",
	"POST /q/a HTTP/1.1\r\nHost: jobs\r\nContent-Length: 250000\r\n\r\n",
	" ", 249990, PIECE_BYTES, 250, DESCRIPTORS_MAX},
    {"chunked_bodies",
	"POST /q/a HTTP/1.1\r\nHost: jobs\r\n"
	"Transfer-Encoding: chunked\r\n\r\n800000\r\n",
	" ", 8388608, SEND_BYTES / 4, 100, DESCRIPTORS_MAX},
    {"announced_bodies",
	"POST /q/a HTTP/1.1\r\nHost: jobs\r\nContent-Length: 4000000000"
	"\r\n\r\n",
	" ", 8388608, SEND_BYTES, 200, DESCRIPTORS_MAX},
    {"endless_heads", "GET /q/a HTTP/1.1\r\nHost: jobs\r\nx: ", "x", 8388608,
	SEND_BYTES / 4, 200, DESCRIPTORS_MAX},
    {"unread_responses", "", "GET /q/a HTTP/1.1\r\nHost: jobs\r\n\r\n", 2097152,
	SEND_BYTES, 200, DESCRIPTORS_MAX},
    {"idle", "", "", 0, SEND_BYTES, 600, 500},
    {"many_values",
	"POST /q/a HTTP/1.1\r\nHost: jobs\r\nContent-Length: 1000000\r\n\r\n[",
	"{},", 999999, SEND_BYTES, 6, DESCRIPTORS_MAX},
};

static const struct shape *shape;

static struct {
	char dir[64];
	char store[64];
	char advice[64];
	struct sockaddr_in http;
	pid_t standin;
	pid_t daemon;
} world;

struct client {
	int fd;
	size_t sent;
	bool done;
};

static uint64_t
now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

/* ---- processes ---- */

static pid_t
spawn(char *const argv[], int out, rlim_t descriptors)
{
	const struct rlimit limit = {descriptors, descriptors};
	const pid_t pid = fork();

	if (pid == 0) {
		dup2(out, STDOUT_FILENO);
		if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
			_exit(126);
		/* Ends the process if the test dies before it. */
		alarm(PROCESS_S_MAX);
		execv(argv[0], argv);
		_exit(127);
	}
	return pid;
}

static char *
program_path(const char *name)
{
	const char *const dir = getenv("AGB_BIN");

	return agb_xasprintf("%s/%s", dir != NULL ? dir : "build", name);
}

static void
start_standin(void)
{
	char *const path = program_path("standin-fleet");
	char *const argv[] = {path, NULL};
	char line[160] = "";
	int fds[2];
	FILE *f;

	CU_ASSERT_EQUAL_FATAL(pipe2(fds, O_CLOEXEC), 0);
	world.standin = spawn(argv, fds[1], DESCRIPTORS_MAX);
	close(fds[1]);
	f = fdopen(fds[0], "r");
	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	CU_ASSERT_PTR_NOT_NULL(fgets(line, sizeof(line), f));
	fclose(f);
	CU_ASSERT_EQUAL_FATAL(
	    sscanf(line, "listening %63s %63s", world.store, world.advice), 2);
	free(path);
}

/* Finds ports that were free a moment before; all differ. */
static void
pick_ports(unsigned *ports, size_t len)
{
	struct sockaddr_in sa;
	socklen_t n;
	int fds[8];
	size_t i;

	for (i = 0; i < len; i++) {
		memset(&sa, 0, sizeof(sa));
		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		n = sizeof(sa);
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		CU_ASSERT_FATAL(fds[i] >= 0);
		CU_ASSERT_EQUAL_FATAL(
		    bind(fds[i], (struct sockaddr *)&sa, n), 0);
		CU_ASSERT_EQUAL_FATAL(
		    getsockname(fds[i], (struct sockaddr *)&sa, &n), 0);
		ports[i] = ntohs(sa.sin_port);
	}
	for (i = 0; i < len; i++)
		close(fds[i]);
}

static void
start_daemon(void)
{
	char *const path = program_path("agatebeamd");
	char *const settings = agb_xasprintf("%s/settings", world.dir);
	char *const log = agb_xasprintf("%s/log", world.dir);
	char *const argv[] = {path, "--platform", "--settings", settings, NULL};
	unsigned ports[4];
	FILE *f;
	int fd;

	pick_ports(ports, LEN(ports));
	f = fopen(settings, "w");
	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	fprintf(f,
	    "{\"instance\":\"i\",\"domain\":\"z\",\"region\":\"r\","
	    "\"http\":\"127.0.0.1:%u\",\"ready\":\"127.0.0.1:%u\","
	    "\"rpc\":\"127.0.0.1:%u\",\"metrics\":\"127.0.0.1:%u\","
	    "\"store\":\"%s\",\"advice\":\"%s\",\"memory_mb\":%d}\n",
	    ports[0], ports[1], ports[2], ports[3], world.store, world.advice,
	    MEMORY_MB);
	fclose(f);
	world.http.sin_family = AF_INET;
	world.http.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	world.http.sin_port = htons((uint16_t)ports[0]);
	fd = open(log, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
	CU_ASSERT_FATAL(fd >= 0);
	world.daemon = spawn(argv, fd, shape->descriptors);
	close(fd);
	free(path);
	free(settings);
	free(log);
}

static void
stop_process(pid_t pid)
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

static void
remove_dir(void)
{
	static const char *const names[] = {"settings", "log"};
	char *path;
	size_t i;

	for (i = 0; i < LEN(names); i++) {
		path = agb_xasprintf("%s/%s", world.dir, names[i]);
		unlink(path);
		free(path);
	}
	rmdir(world.dir);
}

/* Return: the value in kB of a line of /proc/PID/status; 0 without one. */
static unsigned long
read_status_kb(const char *key)
{
	char *const path = agb_xasprintf("/proc/%d/status", (int)world.daemon);
	FILE *const f = fopen(path, "r");
	unsigned long kb = 0;
	char line[256];

	while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
		if (strncmp(line, key, strlen(key)) == 0)
			kb = strtoul(line + strlen(key) + 1, NULL, 10);
	}
	if (f != NULL)
		fclose(f);
	free(path);
	return kb;
}

static size_t
count_descriptors(void)
{
	char *const path = agb_xasprintf("/proc/%d/fd", (int)world.daemon);
	DIR *const dir = opendir(path);
	const struct dirent *e;
	size_t n = 0;

	if (dir != NULL) {
		while ((e = readdir(dir)) != NULL)
			n += e->d_name[0] != '.';
		closedir(dir);
	}
	free(path);
	return n;
}

/* ---- clients ---- */

static int
connect_client(int flags)
{
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);

	CU_ASSERT_FATAL(fd >= 0);
	if (connect(fd, (struct sockaddr *)&world.http, sizeof(world.http)) !=
		0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Return: status of the answer to one submission, which is followed by @padding
 * spaces; 0 without an answer. */
static int
submit_once(unsigned attempt, int padding)
{
	static const struct timeval timeout = {.tv_sec = ATTEMPT_MS / 1000};
	static const char body[] =
	    "{\"spec\":\"10 1000 0\",\"phases\":[{\"count\":1,\"cpu\":1000,"
	    "\"mem_mb\":10,\"estimate_ms\":10}]}";
	char in[512];
	int fd, status;
	ssize_t got;
	char *text;
	size_t n;

	fd = connect_client(0);
	if (fd < 0)
		return 0;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	text = agb_xasprintf(
	    "POST /q/%016x HTTP/1.1\r\nHost: jobs\r\nDeadline-Ms: 3000\r\n"
	    "Content-Length: %zu\r\n\r\n%s%*s",
	    attempt, strlen(body) + (size_t)padding, body, padding, "");
	n = strlen(text);
	status = 0;
	if (send(fd, text, n, MSG_NOSIGNAL) == (ssize_t)n) {
		got = recv(fd, in, sizeof(in) - 1, 0);
		in[got > 0 ? got : 0] = '\0';
		if (strncmp(in, "HTTP/1.1 ", 9) == 0)
			status = atoi(in + 9);
	}
	free(text);
	close(fd);
	return status;
}

/* Whether the daemon accepts an ordinary submission; refusals and closed
 * connections are tried again. */
static bool
accepts_job(void)
{
	static unsigned attempt;
	const uint64_t until = now_ms() + ANSWER_MS;

	while (now_ms() < until) {
		if (submit_once(++attempt, 0) == 200)
			return true;
		usleep(50000);
	}
	return false;
}

/* Fills @buf with what a client sends next. */
static size_t
next_bytes(const struct client *c, char *buf)
{
	const size_t start = strlen(shape->start);
	const size_t fill = strlen(shape->fill);
	const size_t total = start + shape->total;
	size_t i, n;

	n = total - c->sent < shape->step ? total - c->sent : shape->step;
	for (i = 0; i < n; i++)
		buf[i] = c->sent + i < start
		    ? shape->start[c->sent + i]
		    : shape->fill[(c->sent + i - start) % fill];
	return n;
}

/* Return: whether the client sent something. */
static bool
send_next(struct client *c)
{
	char buf[SEND_BYTES];
	size_t len;
	ssize_t n;

	if (c->done)
		return false;
	len = next_bytes(c, buf);
	if (len == 0) {
		c->done = true;
		return false;
	}
	n = send(c->fd, buf, len, MSG_NOSIGNAL);
	if (n > 0)
		c->sent += (size_t)n;
	else if (n < 0 && errno != EAGAIN && errno != ENOTCONN)
		c->done = true;
	return n > 0;
}

/* Lets the clients send in turn until all have ended or none makes progress.
 * They read nothing. */
static void
run_crowd(struct client *clients)
{
	const uint64_t until = now_ms() + CROWD_MS_MAX;
	uint64_t quiet_at = now_ms() + QUIET_MS;
	bool progress;
	size_t i;

	while (now_ms() < quiet_at && now_ms() < until) {
		progress = false;
		for (i = 0; i < shape->clients; i++)
			progress |= send_next(&clients[i]);
		if (progress)
			quiet_at = now_ms() + QUIET_MS;
		else
			usleep(2000);
	}
}

static void
check_process(void)
{
	const unsigned long peak_kb = read_status_kb("VmHWM");
	const size_t descriptors = count_descriptors();

	printf("\n%s: peak %lu kB, now %lu kB, %zu descriptors\n", shape->name,
	    peak_kb, read_status_kb("VmRSS"), descriptors);
	CU_ASSERT_EQUAL(waitpid(world.daemon, NULL, WNOHANG), 0);
	CU_ASSERT(peak_kb > 0);
	/* AddressSanitizer's shadow memory and its quarantine of freed blocks
	 * take several times the memory of the program. */
#ifndef __SANITIZE_ADDRESS__
	CU_ASSERT(peak_kb <= MEMORY_MB * 1024UL);
#endif
	CU_ASSERT(descriptors > 0);
	CU_ASSERT(descriptors <= shape->descriptors - DESCRIPTORS_FREE);
}

/* Guards against a crowd of the shape that ends the daemon, makes it exceed its
 * memory or its descriptors, or leaves it without answers for others. */
static void
test_crowd(void)
{
	struct client *const clients =
	    agb_xcalloc(shape->clients, sizeof(*clients));
	size_t i;

	CU_ASSERT_FATAL(accepts_job());
	for (i = 0; i < shape->clients; i++) {
		clients[i].fd = connect_client(SOCK_NONBLOCK);
		clients[i].done = clients[i].fd < 0;
	}
	run_crowd(clients);
	check_process();
	for (i = 0; i < shape->clients; i++) {
		if (clients[i].fd >= 0)
			close(clients[i].fd);
	}
	free(clients);
	CU_ASSERT(accepts_job());
	check_process();
}

/* Guards against a limit of the document that is read and not used. */
static void
test_document_limit(void)
{
	CU_ASSERT_EQUAL(submit_once(FIRST_PADDED, BODY_MAX - PADDED_BODY), 200);
	CU_ASSERT_EQUAL(submit_once(FIRST_PADDED + 1, BODY_MAX), 413);
}

static void
test_shape(void)
{
	struct rlimit limit;

	signal(SIGPIPE, SIG_IGN);
	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &limit), 0);
	if (limit.rlim_cur < DESCRIPTORS_MAX) {
		limit.rlim_cur = DESCRIPTORS_MAX;
		CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	}
	snprintf(world.dir, sizeof(world.dir), "/tmp/agb-untrusted-XXXXXX");
	CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(world.dir));
	start_standin();
	start_daemon();
	test_crowd();
	test_document_limit();
}

int
main(int argc, char **argv)
{
	struct suite_test test = {.run = test_shape};
	size_t i;
	int rc;

	for (i = 0; argc == 2 && i < LEN(shapes); i++) {
		if (strcmp(shapes[i].name, argv[1]) == 0)
			shape = &shapes[i];
	}
	if (shape == NULL) {
		fprintf(stderr, "usage: test_wf_untrusted SHAPE\n");
		return 2;
	}
	test.name = shape->name;
	rc = suite_run("wf_untrusted", &test, 1);
	stop_process(world.daemon);
	stop_process(world.standin);
	remove_dir();
	return rc;
}

/**
 * DOC: test_wf_httpd
 *
 * The HTTP server for clients under malformed requests, broken connections and
 * a shortage of file descriptors: it has to go on.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mem.h"
#include "suite.h"
#include "wf_httpd.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define BODY_MAX 1024
#define WAIT_MS 3000

/* A server cannot be freed. The one of all tests stays reachable here. */
static struct {
	uv_loop_t loop;
	struct wf_httpd *httpd;
	struct sockaddr_in addr;
	unsigned requests;
	size_t body_len;
	char key[WF_ACCOUNT_KEY_MAX + 1];
} server;

static void
on_request(void *arg, const struct wf_http_req *req)
{
	(void)arg;
	server.requests++;
	server.body_len = req->body_len;
	agb_str_copy(server.key, sizeof(server.key), req->key);
	wf_httpd_reply(server.httpd, req->id, 200, "text/plain", 0, "ok", 2);
}

/* Starts the server at a port that was free a moment before. */
static void
start_server(void)
{
	socklen_t len = sizeof(server.addr);
	char addr[64];
	int fd;

	if (server.httpd != NULL)
		return;
	signal(SIGPIPE, SIG_IGN);
	server.addr.sin_family = AF_INET;
	server.addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_EQUAL_FATAL(
	    bind(fd, (struct sockaddr *)&server.addr, len), 0);
	CU_ASSERT_EQUAL_FATAL(
	    getsockname(fd, (struct sockaddr *)&server.addr, &len), 0);
	close(fd);
	snprintf(
	    addr, sizeof(addr), "127.0.0.1:%u", ntohs(server.addr.sin_port));
	uv_loop_init(&server.loop);
	server.httpd = wf_httpd_new(&server.loop, addr, "deadline-ms",
	    "x-api-key", BODY_MAX, on_request, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(server.httpd);
}

static void
run_server(unsigned ms)
{
	const uint64_t until = uv_hrtime() + (uint64_t)ms * 1000000;

	do {
		uv_run(&server.loop, UV_RUN_NOWAIT);
		usleep(200);
	} while (uv_hrtime() < until);
}

static int
connect_client(void)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_EQUAL(
	    connect(fd, (struct sockaddr *)&server.addr, sizeof(server.addr)),
	    0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/* Sends all bytes, unless the server closes the connection. */
static void
send_bytes(int fd, const char *bytes, size_t len)
{
	ssize_t n;

	while (len > 0) {
		n = send(fd, bytes, len, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN)
			return;
		if (n > 0) {
			bytes += n;
			len -= (size_t)n;
		}
		run_server(0);
	}
}

/* Whether the server answers a request with the body "{}" on a new
 * connection. */
static bool
server_answers_to(const char *request)
{
	const uint64_t until = uv_hrtime() + (uint64_t)WAIT_MS * 1000000;
	const int fd = connect_client();
	bool answered = false;
	char in[512];
	ssize_t n;

	server.body_len = 0;
	send_bytes(fd, request, strlen(request));
	while (!answered && uv_hrtime() < until) {
		run_server(1);
		n = recv(fd, in, sizeof(in) - 1, 0);
		if (n == 0)
			break;
		if (n < 0)
			continue;
		in[n] = '\0';
		answered = strncmp(in, "HTTP/1.1 200 ", 13) == 0;
	}
	close(fd);
	return answered && server.body_len == 2;
}

/* Whether the server answers a well-formed request on a new connection. */
static bool
server_answers(void)
{
	return server_answers_to(
	    "POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
}

/* Guards against a key that is lost, or cut off to one that the client does not
 * have. */
static void
test_keys(void)
{
	static const struct {
		const char *headers;
		char fill; /* repeated @filled times after @headers */
		size_t filled;
		const char *key; /* NULL: the filled part */
	} cases[] = {
	    {"", 0, 0, ""},
	    {"X-Api-Key: abc", 0, 0, "abc"},
	    {"x-api-key: abc", 0, 0, "abc"},
	    {"X-API-KEY:\t abc \t", 0, 0, "abc"},
	    {"X-Api-Key: a b", 0, 0, "a b"},
	    {"X-Api-Key:", 0, 0, ""},
	    {"X-Api-Key2: abc", 0, 0, ""},
	    {"X-Api-Key: abc\r\nX-Api-Key: def", 0, 0, "abc"},
	    {"X-Api-Key: ", 'k', WF_ACCOUNT_KEY_MAX, NULL},
	    {"X-Api-Key: ", 'k', WF_ACCOUNT_KEY_MAX + 1, ""},
	    {"X-Api-Key: ", 'k', 4000, ""},
	};
	char *fill, *request;
	size_t i;

	start_server();
	for (i = 0; i < LEN(cases); i++) {
		fill = agb_xcalloc(cases[i].filled + 1, 1);
		memset(fill, cases[i].fill, cases[i].filled);
		request = agb_xasprintf("POST /q HTTP/1.1\r\nHost: h\r\n%s%s%s"
					"Content-Length: 2\r\n\r\n{}",
		    cases[i].headers, fill,
		    cases[i].headers[0] != '\0' ? "\r\n" : "");
		CU_ASSERT(server_answers_to(request));
		CU_ASSERT_STRING_EQUAL(
		    server.key, cases[i].key != NULL ? cases[i].key : fill);
		free(request);
		free(fill);
	}
}

/* Guards against a request that ends the server, or leaves it without answers
 * for others. */
static void
test_malformed_requests(void)
{
	static const struct {
		const char *start;
		char fill; /* repeated @filled times after @start */
		size_t filled;
		const char *end;
	} cases[] = {
	    {"\r\n\r\n\r\n", 0, 0, ""},
	    {"\x01\x02\xff\xfe garbage\r\n\r\n", 0, 0, ""},
	    {"", '\0', 100000, ""},
	    {"GET\r\n\r\n", 0, 0, ""},
	    {"GET / HTTP/9.9\r\n\r\n", 0, 0, ""},
	    {"GET / HTTP/1.1\r\nno colon here\r\n\r\n", 0, 0, ""},
	    {"GET /", 'p', 9000, " HTTP/1.1\r\nHost: h\r\n\r\n"},
	    {"GET /", 'p', 300000, " HTTP/1.1\r\nHost: h\r\n\r\n"},
	    {"GET / HTTP/1.1\r\nHost: ", ':', 4000, "\r\n\r\n"},
	    {"GET / HTTP/1.1\r\nHost: h\r\nDeadline-Ms: ", '9', 4000,
		"\r\n\r\n"},
	    {"GET / HTTP/1.1\r\nHost: h\r\nx: ", 'x', 300000, "\r\n\r\n"},
	    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n{}", 0, 0,
		""},
	    {"POST / HTTP/1.1\r\nHost: h\r\n"
	     "Content-Length: 99999999999999999999\r\n\r\n{}",
		0, 0, ""},
	    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n", 'b',
		20000, ""},
	    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
	     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		0, 0, ""},
	    {"POST / HTTP/1.1\r\nHost: h\r\n"
	     "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		0, 0, ""},
	    {"POST / HTTP/1.1\r\nHost: h\r\n"
	     "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		'b', 5000, ""},
	    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 0,
		0, ""},
	    {"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
	     "Content-Length: 2\r\n\r\n",
		0, 0, ""},
	    {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n{", 0, 0,
		""},
	    {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", '\xff', 5000, ""},
	    {"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings"
	     "\r\nUpgrade: h2c\r\nHTTP2-Settings: !!\r\n\r\n",
		'\xff', 5000, ""},
	    {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 0, 0, ""},
	    {"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 0, 0, ""},
	    {"GET http://h/%00%ff?&&& HTTP/1.0\r\n\r\n", 0, 0, ""},
	};
	char *fill;
	size_t i;
	int fd;

	start_server();
	for (i = 0; i < LEN(cases); i++) {
		fd = connect_client();
		fill = agb_xcalloc(cases[i].filled + 1, 1);
		memset(fill, cases[i].fill, cases[i].filled);
		send_bytes(fd, cases[i].start, strlen(cases[i].start));
		send_bytes(fd, fill, cases[i].filled);
		send_bytes(fd, cases[i].end, strlen(cases[i].end));
		free(fill);
		if (!server_answers()) {
			printf("\ncase %zu: no answer afterwards\n", i);
			CU_FAIL("no answer after a malformed request");
		}
		close(fd);
		run_server(1);
	}
	run_server(50);
	CU_ASSERT_EQUAL(wf_httpd_pending_requests(server.httpd), 0);
	CU_ASSERT(server_answers());
}

/* Guards against a shortage of file descriptors that ends the server, or that
 * it does not recover from. */
static void
test_no_descriptors(void)
{
	struct rlimit old, limit;
	int clients[16], next;
	size_t i;

	start_server();
	run_server(50);
	CU_ASSERT_EQUAL(wf_httpd_connections(server.httpd), 0);
	for (i = 0; i < LEN(clients); i++)
		clients[i] = connect_client();
	next = dup(clients[0]);
	CU_ASSERT_FATAL(next >= 0);
	close(next);
	CU_ASSERT_EQUAL_FATAL(getrlimit(RLIMIT_NOFILE, &old), 0);
	limit = old;
	limit.rlim_cur = (rlim_t)next;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &limit), 0);
	run_server(50);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &old), 0);
	/* None could be accepted. */
	CU_ASSERT_EQUAL(wf_httpd_connections(server.httpd), 0);
	CU_ASSERT(server_answers());
	for (i = 0; i < LEN(clients); i++)
		close(clients[i]);
	CU_ASSERT(server_answers());
}

static const struct suite_test tests[] = {
    {"httpd: keys", test_keys},
    {"httpd: malformed requests", test_malformed_requests},
    {"httpd: no descriptors", test_no_descriptors},
};

int
main(void)
{
	return suite_run("wf_httpd", tests, LEN(tests));
}

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
/* More than the time without progress after which a connection gives its place
 * to another one. */
#define STALE_MS 3200

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

/* Return: status of the first response on the connection, read to its end; 0
 * without one. */
static int
receive_status(int fd, char *in, size_t size)
{
	const uint64_t until = uv_hrtime() + (uint64_t)WAIT_MS * 1000000;
	size_t len = 0;
	ssize_t n;

	in[0] = '\0';
	while (uv_hrtime() < until && strstr(in, "\r\n\r\n") == NULL) {
		run_server(1);
		n = recv(fd, in + len, size - 1 - len, 0);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			break;
		len += n > 0 ? (size_t)n : 0;
		in[len] = '\0';
	}
	return strncmp(in, "HTTP/1.1 ", 9) == 0 ? atoi(in + 9) : 0;
}

/* Runs the server until its clients hold what is expected. */
static bool
holds(size_t min, size_t max)
{
	const struct wf_httpd_budget *const b = wf_httpd_budget(server.httpd);
	const uint64_t until = uv_hrtime() + (uint64_t)WAIT_MS * 1000000;

	do {
		run_server(1);
		if (b->held >= min && b->held <= max)
			return true;
	} while (uv_hrtime() < until);
	printf("\nheld: %zu, expected %zu to %zu\n", b->held, min, max);
	return false;
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

/* Guards against a body over the limit that is buffered, and against a refusal
 * that the client cannot read. */
static void
test_announced_body(void)
{
	static const char request[] =
	    "POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000000\r\n\r\n";
	const unsigned requests = server.requests;
	char in[512];
	int fd;

	start_server();
	fd = connect_client();
	send_bytes(fd, request, strlen(request));
	CU_ASSERT_EQUAL(receive_status(fd, in, sizeof(in)), 413);
	CU_ASSERT_EQUAL(server.requests, requests);
	close(fd);
	CU_ASSERT(holds(0, 0));
}

/* Guards against input that is not counted: of a first request, of one that
 * follows another on the connection, and of one that waits for "100 Continue",
 * after which h2o starts to read anew. */
static void
test_held_bytes(void)
{
	static const struct {
		const char *first;
		size_t held;
		const char *last;
	} cases[] = {
	    {"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n", 46,
		""},
	    {"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
	     "POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n",
		46, "200"},
	    {"POST /q HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n"
	     "Expect: 100-continue\r\n\r\n",
		46, "100"},
	};
	char body[20], in[512];
	size_t i;
	int fd;

	start_server();
	memset(body, ' ', sizeof(body));
	for (i = 0; i < LEN(cases); i++) {
		CU_ASSERT(holds(0, 0));
		fd = connect_client();
		send_bytes(fd, cases[i].first, strlen(cases[i].first));
		if (cases[i].last[0] != '\0')
			CU_ASSERT_EQUAL(receive_status(fd, in, sizeof(in)),
			    atoi(cases[i].last));
		CU_ASSERT(holds(WF_HTTPD_REQUEST_BYTES + cases[i].held,
		    WF_HTTPD_REQUEST_BYTES + 100));
		send_bytes(fd, body, 19);
		CU_ASSERT(holds(WF_HTTPD_REQUEST_BYTES + cases[i].held + 19,
		    WF_HTTPD_REQUEST_BYTES + 119));
		send_bytes(fd, body, 1);
		CU_ASSERT_EQUAL(receive_status(fd, in, sizeof(in)), 200);
		CU_ASSERT_EQUAL(server.body_len, 20);
		CU_ASSERT(holds(0, 0));
		close(fd);
	}
}

/* Guards against clients that hold more than the budget together, against a
 * request that is given up after it has run, and against one that suffers
 * though it holds little. */
static void
test_budget(void)
{
	const struct wf_httpd_budget *b;
	const unsigned requests = server.requests;
	char head[60000], in[512];
	int clients[8], small;
	unsigned refused;
	size_t i;

	start_server();
	b = wf_httpd_budget(server.httpd);
	wf_httpd_set_memory(server.httpd, 1);
	CU_ASSERT(b->limits.held_max < LEN(clients) * sizeof(head));
	memset(head, 'x', sizeof(head));
	small = connect_client();
	send_bytes(small, "GET /", 5);
	for (i = 0; i < LEN(clients); i++) {
		clients[i] = connect_client();
		send_bytes(clients[i], head, sizeof(head));
		CU_ASSERT(holds(5, b->limits.held_max));
	}
	refused = 0;
	for (i = 0; i < LEN(clients); i++) {
		if (recv(clients[i], in, sizeof(in), 0) > 0) {
			CU_ASSERT_EQUAL(
			    strncmp(in, "HTTP/1.1 503 Refused\r\n", 22), 0);
			refused++;
		}
	}
	CU_ASSERT(refused >= LEN(clients) - 2);
	CU_ASSERT_EQUAL(b->counts[WF_HTTPD_MEMORY], refused);
	CU_ASSERT_EQUAL(server.requests, requests);
	send_bytes(small, "q HTTP/1.1\r\nHost: h\r\n\r\n", 24);
	CU_ASSERT_EQUAL(receive_status(small, in, sizeof(in)), 200);
	for (i = 0; i < LEN(clients); i++)
		close(clients[i]);
	close(small);
	CU_ASSERT(holds(0, 0));
	wf_httpd_set_memory(server.httpd, 0);
}

/* Guards against a head that is buffered beyond four times the limit of a
 * document. */
static void
test_long_head(void)
{
	const struct wf_httpd_budget *b;
	uint64_t refused;
	char part[8192];
	size_t i;
	int fd;

	start_server();
	b = wf_httpd_budget(server.httpd);
	refused = b->counts[WF_HTTPD_HEAD_SIZE];
	fd = connect_client();
	memset(part, 'x', sizeof(part));
	send_bytes(fd, "GET / HTTP/1.1\r\nHost: h\r\nx: ", 28);
	for (i = 0; i < 9 && b->counts[WF_HTTPD_HEAD_SIZE] == refused; i++) {
		send_bytes(fd, part, sizeof(part));
		run_server(2);
	}
	CU_ASSERT_EQUAL(b->counts[WF_HTTPD_HEAD_SIZE], refused + 1);
	CU_ASSERT(holds(0, 0));
	close(fd);
}

/* Guards against requests that run for a client which has reset its connection:
 * h2o goes on with those that it has read in advance. */
static void
test_reset(void)
{
	static const char request[] = "GET /q HTTP/1.1\r\nHost: h\r\n\r\n";
	static const struct linger reset = {.l_onoff = 1};
	char text[100 * sizeof(request)] = "";
	unsigned requests;
	size_t len = 0;
	int fd;

	start_server();
	requests = server.requests;
	while (len + sizeof(request) <= sizeof(text))
		len += (size_t)snprintf(
		    text + len, sizeof(text) - len, "%s", request);
	fd = connect_client();
	CU_ASSERT_EQUAL(send(fd, text, len, MSG_NOSIGNAL), (ssize_t)len);
	while (server.requests == requests)
		run_server(0);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	run_server(50);
	CU_ASSERT(server.requests < requests + 100);
	CU_ASSERT_EQUAL(wf_httpd_connections(server.httpd), 0);
	CU_ASSERT(holds(0, 0));
}

/* Guards against connections beyond the limit, against a place that is not given
 * to another client after a connection has ended, and against clients that keep
 * all places without a request. */
static void
test_connections(void)
{
	char in[512];
	int clients[3];
	size_t i;

	start_server();
	run_server(50);
	CU_ASSERT_EQUAL(wf_httpd_connections(server.httpd), 0);
	wf_httpd_set_connections_max(server.httpd, 2);
	for (i = 0; i < LEN(clients); i++) {
		clients[i] = connect_client();
		run_server(5);
	}
	CU_ASSERT_EQUAL(wf_httpd_connections(server.httpd), 2);
	CU_ASSERT_EQUAL(receive_status(clients[2], in, sizeof(in)), 503);
	close(clients[0]);
	run_server(5);
	CU_ASSERT(server_answers());
	run_server(5);
	clients[0] = connect_client();
	run_server(STALE_MS);
	CU_ASSERT_EQUAL(wf_httpd_connections(server.httpd), 2);
	CU_ASSERT(server_answers());
	CU_ASSERT_EQUAL(receive_status(clients[1], in, sizeof(in)), 503);
	close(clients[0]);
	close(clients[1]);
	close(clients[2]);
	run_server(5);
	wf_httpd_set_memory(server.httpd, 0);
}

static const struct suite_test tests[] = {
    {"httpd: keys", test_keys},
    {"httpd: malformed requests", test_malformed_requests},
    {"httpd: no descriptors", test_no_descriptors},
    {"httpd: announced body over the limit", test_announced_body},
    {"httpd: held bytes", test_held_bytes},
    {"httpd: budget", test_budget},
    {"httpd: long head", test_long_head},
    {"httpd: reset", test_reset},
    {"httpd: connections", test_connections},
};

int
main(void)
{
	return suite_run("wf_httpd", tests, LEN(tests));
}

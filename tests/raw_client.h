#ifndef RAW_CLIENT_H
#define RAW_CLIENT_H

/**
 * DOC: raw_client
 *
 * TCP client for tests. It sends bytes unchanged and counts the complete HTTP/1
 * responses that it receives.
 */

#include <ctype.h>
#include <strings.h>

#include "httpc.h"
#include "loop.h"

/**
 * struct raw_client - connection of a test
 * @request: bytes to send once the connection is established
 * @in: received bytes, terminated by NUL
 * @parse_pos: offset in @in of the first byte after the last complete response
 * @last_response: offset in @in of the last complete response
 * @responses: number of complete responses
 * @bytes_received: number of received bytes, also of data that is not HTTP/1
 * @closed: 1 once the server has closed or reset the connection
 */
struct raw_client {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	char *request;
	size_t request_len;
	char in[65536];
	size_t in_len;
	size_t parse_pos;
	size_t last_response;
	int responses;
	int bytes_received;
	int closed;
	int connect_failed;
};

/* Return: value of the header, copied to @buf; "" if it is missing. */
static inline const char *
raw_response_header(
    const char *response, const char *name, char *buf, size_t len)
{
	const size_t n = strlen(name);
	const char *p, *end;

	buf[0] = '\0';
	end = strstr(response, "\r\n\r\n");
	for (p = strstr(response, "\r\n"); p != NULL && p < end;
	     p = strstr(p + 2, "\r\n")) {
		if (strncasecmp(p + 2, name, n) != 0 || p[2 + n] != ':')
			continue;
		p += 3 + n;
		while (*p == ' ')
			p++;
		snprintf(buf, len, "%.*s", (int)strcspn(p, "\r"), p);
		break;
	}
	return buf;
}

static inline void
raw_client_count_responses(struct raw_client *c)
{
	const char *p, *end;
	char length[32];
	size_t need;

	for (;;) {
		p = c->in + c->parse_pos;
		end = strstr(p, "\r\n\r\n");
		if (end == NULL)
			return;
		need = (size_t)(end - p) + 4 +
		    strtoul(raw_response_header(
				p, "content-length", length, sizeof(length)),
			NULL, 10);
		if (strncmp(p, "HTTP/1.1 100", 12) == 0) {
			c->parse_pos += (size_t)(end - p) + 4;
			continue;
		}
		if (c->in_len - c->parse_pos < need)
			return;
		c->last_response = c->parse_pos;
		c->parse_pos += need;
		c->responses++;
	}
}

static void
raw_client_alloc(uv_handle_t *h, size_t size, uv_buf_t *buf)
{
	struct raw_client *const c = h->data;

	*buf = uv_buf_init(c->in + c->in_len, sizeof(c->in) - 1 - c->in_len);
}

static void
raw_client_read(uv_stream_t *s, ssize_t n, const uv_buf_t *buf)
{
	struct raw_client *const c = s->data;

	if (n < 0) {
		c->closed = 1;
		uv_read_stop(s);
		return;
	}
	c->in_len += (size_t)n;
	c->bytes_received = (int)c->in_len;
	c->in[c->in_len] = '\0';
	raw_client_count_responses(c);
}

static void
raw_client_connected(uv_connect_t *req, int status)
{
	struct raw_client *const c = req->data;
	uv_buf_t buf;

	if (status != 0) {
		c->connect_failed = c->closed = 1;
		return;
	}
	uv_read_start(
	    (uv_stream_t *)&c->tcp, raw_client_alloc, raw_client_read);
	buf = uv_buf_init(c->request, (unsigned)c->request_len);
	if (c->request_len > 0)
		uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, NULL);
}

/**
 * raw_client_open() - connect and send @bytes
 */
static inline struct raw_client *
raw_client_open(
    uv_loop_t *loop, const char *addr, const char *bytes, size_t len)
{
	struct raw_client *const c = calloc(1, sizeof(*c));
	struct sockaddr_storage ss;

	CU_ASSERT_TRUE_FATAL(agb_httpc_parse_addr(addr, &ss));
	c->request = malloc(len + 1);
	memcpy(c->request, bytes, len);
	c->request_len = len;
	uv_tcp_init(loop, &c->tcp);
	c->tcp.data = c->connect.data = c;
	uv_tcp_connect(
	    &c->connect, &c->tcp, (struct sockaddr *)&ss, raw_client_connected);
	return c;
}

/**
 * raw_client_send() - send a short string on an open connection
 */
static inline void
raw_client_send(struct raw_client *c, const char *bytes)
{
	uv_buf_t buf =
	    uv_buf_init((char *)(uintptr_t)bytes, (unsigned)strlen(bytes));

	CU_ASSERT_EQUAL(
	    uv_try_write((uv_stream_t *)&c->tcp, &buf, 1), (int)strlen(bytes));
}

/* Return: status of the last complete response; 0 without one. */
static inline int
raw_response_status(const struct raw_client *c)
{
	return c->responses > 0 ? atoi(c->in + c->last_response + 9) : 0;
}

static inline const char *
raw_response_body(const struct raw_client *c)
{
	const char *const end = strstr(c->in + c->last_response, "\r\n\r\n");

	return end != NULL ? end + 4 : "";
}

static void
raw_client_closed(uv_handle_t *h)
{
	struct raw_client *const c = h->data;

	free(c->request);
	free(c);
}

/**
 * raw_client_close() - close the connection and free the client
 */
static inline void
raw_client_close(struct raw_client *c)
{
	uv_close((uv_handle_t *)&c->tcp, raw_client_closed);
}

#endif

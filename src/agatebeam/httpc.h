#ifndef AGB_HTTPC_H
#define AGB_HTTPC_H

/**
 * DOC: httpc
 *
 * HTTP/1.1 client on a libuv loop, with persistent connections to each
 * endpoint. The result of a request tells whether any part of the request may
 * have reached the server, and whether the response is complete.
 */

#include <uv.h>

#include "types.h"

/* Maximum number of requests that wait for a connection to one endpoint. */
#define AGB_HTTPC_QUEUE_MAX 4096
/* Largest response body if the request sets no limit. */
#define AGB_HTTPC_BODY_MAX ((size_t)4 * 1024 * 1024)
/* Maximum number of headers of a response; a response with more is rejected. */
#define AGB_HTTPC_HEADERS_MAX 64

struct agb_httpc;
struct agb_httpc_call;

/**
 * enum agb_httpc_status - result of a request
 * @AGB_HTTPC_COMPLETE: the response is complete: Content-Length bytes or the
 *	last chunk have been received, or the response has no body by definition
 * @AGB_HTTPC_UNSENT: no byte of the request was written; the server cannot
 *	have acted on it
 * @AGB_HTTPC_LOST: at least part of the request was written, but no complete
 *	response was received; the server may have acted on the request
 */
enum agb_httpc_status {
	AGB_HTTPC_COMPLETE,
	AGB_HTTPC_UNSENT,
	AGB_HTTPC_LOST,
};

/**
 * enum agb_httpc_timeout - time limit that ended a request
 * @AGB_HTTPC_TIMEOUT_RESPONSE: no byte of the response arrived in time
 * @AGB_HTTPC_TIMEOUT_STALL: part of the response arrived, then nothing more
 * @AGB_HTTPC_TIMEOUT_TOTAL: the response was still arriving
 */
enum agb_httpc_timeout {
	AGB_HTTPC_TIMEOUT_NONE,
	AGB_HTTPC_TIMEOUT_RESPONSE,
	AGB_HTTPC_TIMEOUT_STALL,
	AGB_HTTPC_TIMEOUT_TOTAL,
};

struct agb_httpc_header {
	const char *name;
	const char *value;
};

/**
 * struct agb_httpc_res - result of a request, valid during the callback
 * @http_status: 0 when no complete response head has been received
 * @headers: response headers; their names are in lower case
 * @body: NUL-terminated; may be NULL when @body_len is 0
 * @error: error message (a static string) unless @status is
 *	AGB_HTTPC_COMPLETE, else NULL
 * @timed_out: the request ended because a timeout expired
 * @timeout: which one, if @timed_out
 * @too_large: the response body exceeds the limit of the request, so that a
 *	repetition would fail, too
 * @received: bytes of the response so far, including its head
 */
struct agb_httpc_res {
	enum agb_httpc_status status;
	int http_status;
	const struct agb_httpc_header *headers;
	size_t headers_len;
	const char *body;
	size_t body_len;
	const char *error;
	bool timed_out;
	enum agb_httpc_timeout timeout;
	bool too_large;
	uint64_t received;
};

/**
 * agb_httpc_cb - called at the end of a request: exactly once unless the
 * request is cancelled, and never from inside agb_httpc_request()
 */
typedef void (*agb_httpc_cb)(void *arg, const struct agb_httpc_res *res);

/**
 * agb_httpc_chunk_cb - called for each part of the body as it arrives
 * @http_status: status of the response
 * @len: never 0
 */
typedef void (*agb_httpc_chunk_cb)(
    void *arg, int http_status, const char *data, size_t len);

/**
 * agb_httpc_head_cb - called for the head of the final response, before its
 * body. Must not cancel the request.
 * @res: only the status and the headers are set
 * Return: false to reject the response; the request then ends with
 * AGB_HTTPC_LOST and its connection is closed.
 */
typedef bool (*agb_httpc_head_cb)(void *arg, const struct agb_httpc_res *res);

/**
 * struct agb_httpc_req - parameters of a request; all data is copied
 * @addr: "1.2.3.4:80" or "[::1]:80"
 * @method: such as "POST"
 * @path: path and query
 * @headers: additional headers; Host and Content-Length are added
 * @timeout_ms: time until the response is complete, including the wait for a
 *	connection; 0 is no limit. With @stall_timeout_ms, time until its first
 *	byte.
 * @stall_timeout_ms: longest time without a byte once the response has begun,
 *	so that a slow response is not given up as long as it makes progress; 0
 *	makes @timeout_ms the limit of the whole response
 * @total_timeout_ms: time until the response is complete if @stall_timeout_ms
 *	is set; 0 is no limit
 * @connect_timeout_ms: time until the request is written, including the wait
 *	for a connection; 0 is no separate limit
 * @send_deadline: CLOCK_BOOTTIME, which also advances while the machine is
 *	suspended; the request is not sent after this time. 0 is no limit.
 * @body_max: largest response body; 0 is AGB_HTTPC_BODY_MAX. A larger body
 *	ends the request with AGB_HTTPC_LOST. Ignored if @on_chunk is set.
 * @on_chunk: receives the body in parts instead of @cb; may be NULL
 * @on_head: accepts or rejects the response by its head; may be NULL
 */
struct agb_httpc_req {
	const char *addr;
	const char *method;
	const char *path;
	const struct agb_httpc_header *headers;
	size_t headers_len;
	const void *body;
	size_t body_len;
	uint32_t timeout_ms;
	uint32_t stall_timeout_ms;
	uint32_t total_timeout_ms;
	uint32_t connect_timeout_ms;
	agb_time send_deadline;
	size_t body_max;
	agb_httpc_cb cb;
	agb_httpc_chunk_cb on_chunk;
	agb_httpc_head_cb on_head;
	void *arg;
};

/**
 * agb_httpc_new() - create a client
 * @endpoint_connections_max: maximum number of connections to one address;
 *	further requests wait
 */
struct agb_httpc *agb_httpc_new(
    uv_loop_t *loop, unsigned endpoint_connections_max);

/**
 * agb_httpc_request() - start a request, or queue it until a connection is
 * free; req->cb receives the result
 * Return: handle for agb_httpc_cancel(), valid until req->cb has been called;
 * never NULL. An invalid address and a full queue are reported through req->cb
 * as AGB_HTTPC_UNSENT.
 */
struct agb_httpc_call *agb_httpc_request(
    struct agb_httpc *c, const struct agb_httpc_req *req);

/**
 * agb_httpc_cancel() - end a request without calling its callback, and close
 * its connection. May be called from the request's own on_chunk callback, but
 * not from its cb callback.
 * Return: true when no byte of the request was written.
 */
bool agb_httpc_cancel(struct agb_httpc_call *call);

/**
 * struct agb_httpc_bytes - traffic of a client, including heads
 * @sent: bytes written to sockets or queued for writing
 */
struct agb_httpc_bytes {
	uint64_t sent;
	uint64_t received;
};

/**
 * agb_httpc_bytes() - bytes of all requests and responses so far
 */
struct agb_httpc_bytes agb_httpc_bytes(const struct agb_httpc *c);

/**
 * agb_httpc_free() - cancel all requests and close all connections. The loop
 * must keep running until the handles are closed.
 * @c: may be NULL
 */
void agb_httpc_free(struct agb_httpc *c);

/**
 * agb_httpc_parse_addr() - parse "1.2.3.4:80" or "[::1]:80"
 * Return: false unless @addr is an IP address with a port.
 */
bool agb_httpc_parse_addr(const char *addr, struct sockaddr_storage *out);

#endif

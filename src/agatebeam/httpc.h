#ifndef AGB_HTTPC_H
#define AGB_HTTPC_H

/**
 * DOC: httpc
 *
 * HTTP/1.1 client on one libuv loop with keep-alive connections for each
 * endpoint. The result of a request says whether any of it may have reached
 * the server, and whether the answer has been received whole.
 */

#include <uv.h>

#include "types.h"

/* Requests that may wait for a connection to one endpoint. */
#define AGB_HTTPC_QUEUE_MAX 4096
/* Default limit of a body when the request gives none. */
#define AGB_HTTPC_BODY_MAX ((size_t)4 * 1024 * 1024)
/* Header lines kept of an answer; an answer with more is not taken. */
#define AGB_HTTPC_HEADERS_MAX 64

struct agb_httpc;
struct agb_httpc_call;

/**
 * enum agb_httpc_status - what is known of a request
 * @AGB_HTTPC_COMPLETE: the answer is complete: its Content-Length was received
 *	exactly, or the last chunk was, or it can have no body
 * @AGB_HTTPC_UNSENT: nothing of the request was written; the server cannot
 *	have acted on it
 * @AGB_HTTPC_LOST: some of the request was written, but no complete answer
 *	has come; the server may have acted on it
 */
enum agb_httpc_status {
	AGB_HTTPC_COMPLETE,
	AGB_HTTPC_UNSENT,
	AGB_HTTPC_LOST,
};

struct agb_httpc_header {
	const char *name;
	const char *value;
};

/**
 * struct agb_httpc_res - result of a request, valid during the callback
 * @http_status: 0 when no complete header has come
 * @headers: of the answer, names in lower case
 * @body: NUL-terminated; may be NULL when @body_len is 0
 * @error: cause in plain words when not whole, else NULL; a static string
 * @timed_out: not whole because timeout_ms has passed
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
};

/**
 * agb_httpc_cb - end of a request; called exactly once unless the request
 * is cancelled, and never from inside agb_httpc_request()
 */
typedef void (*agb_httpc_cb)(void *arg, const struct agb_httpc_res *res);

/**
 * agb_httpc_chunk_cb - part of a body as it arrives
 * @http_status: of the answer
 * @len: never 0
 */
typedef void (*agb_httpc_chunk_cb)(
    void *arg, int http_status, const char *data, size_t len);

/**
 * agb_httpc_head_cb - the final head of an answer, before its body
 * @res: holds the status and the headers only
 * Return: false when the answer is not to be taken; the request then ends
 * with AGB_HTTPC_LOST and its connection is closed. Must not cancel it.
 */
typedef bool (*agb_httpc_head_cb)(void *arg, const struct agb_httpc_res *res);

/**
 * struct agb_httpc_req - a request; all of it is copied
 * @addr: "1.2.3.4:80" or "[::1]:80"
 * @method: such as "POST"
 * @path: with its query
 * @headers: further headers; Host and Content-Length are added
 * @timeout_ms: from now to the end of the answer, waiting for a connection
 *	included; 0 is no limit
 * @connect_timeout_ms: as @timeout_ms, until the request is written; 0 is no
 *	separate limit
 * @send_deadline: time of the clock that also counts while the machine is
 *	suspended, after which the request is not sent any more; 0 is no limit
 * @body_max: largest body of the answer; 0 is AGB_HTTPC_BODY_MAX. A larger
 *	one ends the request with AGB_HTTPC_LOST. Not used with @on_chunk.
 * @on_chunk: gets the body as it arrives instead of @cb; or NULL
 * @on_head: judges the head of the answer; or NULL
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
	uint32_t connect_timeout_ms;
	agb_time send_deadline;
	size_t body_max;
	agb_httpc_cb cb;
	agb_httpc_chunk_cb on_chunk;
	agb_httpc_head_cb on_head;
	void *arg;
};

/**
 * agb_httpc_new() - client without connections
 * @endpoint_connections_max: connections to one address at a time; further requests
 *	wait for one
 */
struct agb_httpc *agb_httpc_new(
    uv_loop_t *loop, unsigned endpoint_connections_max);

/**
 * agb_httpc_request() - send a request
 * Return: handle for agb_httpc_cancel(), valid until @cb has been called;
 * never NULL. A bad address or a full queue is reported through @cb as
 * AGB_HTTPC_UNSENT.
 */
struct agb_httpc_call *agb_httpc_request(
    struct agb_httpc *c, const struct agb_httpc_req *req);

/**
 * agb_httpc_cancel() - end a request without a callback, closing its
 * connection; also allowed from its own on_chunk callback, but not from its
 * end callback
 * Return: true when nothing of the request was written.
 */
bool agb_httpc_cancel(struct agb_httpc_call *call);

/**
 * struct agb_httpc_bytes - traffic of a client, heads included
 * @sent: handed to the system or waiting to be
 */
struct agb_httpc_bytes {
	uint64_t sent;
	uint64_t received;
};

/**
 * agb_httpc_bytes() - bytes of all requests and answers so far
 */
struct agb_httpc_bytes agb_httpc_bytes(const struct agb_httpc *c);

/**
 * agb_httpc_free() - cancel all requests and close all connections; the
 * loop must run on until its closed handles are gone
 * @c: may be NULL
 */
void agb_httpc_free(struct agb_httpc *c);

/**
 * agb_httpc_parse_addr() - parse "1.2.3.4:80" or "[::1]:80"
 * Return: false when it is not an IP address with a port.
 */
bool agb_httpc_parse_addr(const char *addr, struct sockaddr_storage *out);

#endif

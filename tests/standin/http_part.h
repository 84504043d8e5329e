#ifndef HTTP_PART_H
#define HTTP_PART_H

/**
 * DOC: http_part
 *
 * Minimal HTTP/1.1 server for the stand-ins. For fault injection it can delay
 * a response, close the connection instead of responding, or close it in the
 * middle of a response; a complete HTTP server library does not offer this.
 *
 * A connection handles one request at a time: further requests stay in its
 * input buffer until the response to the current one has been sent.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct http_server;
struct http_conn;

/**
 * struct http_request - a received request; valid only while the handler runs
 * @path: request target, including the query string
 * @head: header lines, each ended by CRLF, up to @body
 */
struct http_request {
	const char *method;
	const char *path;
	const char *head;
	const char *body;
	size_t body_len;
};

/**
 * http_handler - handles a request
 *
 * It responds during the call or later, by http_reply(), by http_write_raw()
 * and http_finish_raw(), by http_start_chunked(), or by http_close().
 */
typedef void (*http_handler)(
    void *arg, struct http_conn *c, const struct http_request *m);

/**
 * http_closed_cb - called when a connection closes whose user data is not NULL
 */
typedef void (*http_closed_cb)(void *arg, void *user_data);

/**
 * http_server_new() - listen on an IPv4 address
 * @addr: "1.2.3.4:port"; with port 0 the kernel chooses a free port
 * @closed: may be NULL
 * @arg: passed to @handler and @closed
 * Return: NULL when the address is malformed or cannot be bound.
 */
struct http_server *http_server_new(uv_loop_t *loop, const char *addr,
    http_handler handler, http_closed_cb closed, void *arg);

/**
 * http_server_addr() - address and port that the server listens on
 */
const char *http_server_addr(const struct http_server *s);

/**
 * http_server_set_conns_max() - limit the number of open connections
 * @connections_max: connections beyond it are closed as soon as they have been
 * accepted; 0 means no limit
 */
void http_server_set_conns_max(struct http_server *s, int connections_max);

uint64_t http_server_bytes_in(const struct http_server *s);
uint64_t http_server_bytes_out(const struct http_server *s);

/**
 * http_server_free() - close the listener and all connections
 *
 * The memory is freed by close callbacks, so the loop must run afterwards.
 */
void http_server_free(struct http_server *s);

void http_set_user_data(struct http_conn *c, void *user_data);

/**
 * http_reply() - send a complete response with a JSON body
 * @body: copied
 * @delay_ms: time to wait before sending; 0 sends at once
 */
void http_reply(struct http_conn *c, int status, const char *body, size_t len,
    uint32_t delay_ms);

/**
 * http_get_header() - copy the value of a header into @buf
 * @name: compared without regard to case
 * @buf: receives "" when the request has no such header
 */
void http_get_header(
    const struct http_request *m, const char *name, char *buf, size_t len);

/**
 * http_write_raw() - send part of a response, its status line and headers
 * included, unchanged
 */
void http_write_raw(struct http_conn *c, const char *data, size_t len);

/**
 * http_finish_raw() - end the response that http_write_raw() has sent, so that
 * the connection goes on with the next request
 */
void http_finish_raw(struct http_conn *c);

/**
 * http_start_chunked() - send the headers of a chunked response
 *
 * http_write_chunk() sends its parts. There is no call that ends it: it lasts
 * until the connection is closed.
 */
void http_start_chunked(struct http_conn *c);

void http_write_chunk(struct http_conn *c, const char *data, size_t len);

/**
 * http_close() - close the connection; output that the kernel has not accepted
 * yet is discarded
 */
void http_close(struct http_conn *c);

#endif

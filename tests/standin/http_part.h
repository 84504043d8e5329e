#ifndef HTTP_PART_H
#define HTTP_PART_H

/**
 * DOC: http_part
 *
 * Minimal HTTP/1.1 server of the stand-ins. It can delay an answer, or close
 * a connection in place of one or inside one, which a full server will not.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct http_server;
struct http_conn;

/**
 * struct http_request - a request, valid during the handler
 * @path: with its query
 * @head: header lines
 */
struct http_request {
	const char *method;
	const char *path;
	const char *head;
	const char *body;
	size_t body_len;
};

/**
 * http_handler - answers a request now or later by http_reply(),
 * http_start_chunked() or http_close()
 */
typedef void (*http_handler)(
    void *arg, struct http_conn *c, const struct http_request *m);

/**
 * http_closed_cb - a connection whose user pointer is set is gone
 */
typedef void (*http_closed_cb)(void *arg, void *user_data);

/**
 * http_server_new() - listen on "1.2.3.4:port"; port 0 lets the kernel
 * choose
 * Return: NULL when the address cannot be bound.
 */
struct http_server *http_server_new(uv_loop_t *loop, const char *addr,
    http_handler handler, http_closed_cb closed, void *arg);

/**
 * http_server_addr() - the address in use
 */
const char *http_server_addr(const struct http_server *s);

/**
 * http_server_set_conns_max() - close further connections at once
 */
void http_server_set_conns_max(struct http_server *s, int connections_max);

uint64_t http_server_bytes_in(const struct http_server *s);
uint64_t http_server_bytes_out(const struct http_server *s);

/**
 * http_server_free() - close all
 */
void http_server_free(struct http_server *s);

void http_set_user_data(struct http_conn *c, void *user_data);

/**
 * http_reply() - send a whole answer after a delay
 * @body: JSON text, copied
 */
void http_reply(struct http_conn *c, int status, const char *body, size_t len,
    uint32_t delay_ms);

/**
 * http_get_header() - value of a header line, "" without one
 */
void http_get_header(
    const struct http_request *m, const char *name, char *buf, size_t len);

/**
 * http_write_raw() - send bytes of an answer as they are
 */
void http_write_raw(struct http_conn *c, const char *data, size_t len);

/**
 * http_finish_raw() - the answer sent with http_write_raw() is complete
 */
void http_finish_raw(struct http_conn *c);

/**
 * http_start_chunked() - begin an answer in chunks
 */
void http_start_chunked(struct http_conn *c);

void http_write_chunk(struct http_conn *c, const char *data, size_t len);

/**
 * http_close() - close the connection after what has been written
 */
void http_close(struct http_conn *c);

#endif

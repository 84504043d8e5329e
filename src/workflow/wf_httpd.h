#ifndef WF_HTTPD_H
#define WF_HTTPD_H

/**
 * DOC: wf_httpd
 *
 * HTTP/1.1 server on one address: whole requests go to a handler, which
 * answers at once or later by the request's handle.
 */

#include <uv.h>

#include "types.h"

struct wf_httpd;

/**
 * struct wf_http_req - a request whose body has been received whole
 * @id: handle for wf_httpd_reply(); 0 is never used
 * @deadline: value of the deadline header as sent, or ""
 */
struct wf_http_req {
	uint64_t id;
	char method[16];
	char host[256];
	char path[256];
	char deadline[32];
	const char *body;
	size_t body_len;
};

/* A request; may be answered before the return. */
typedef void (*wf_httpd_cb)(void *arg, const struct wf_http_req *req);

/**
 * wf_httpd_new() - listen
 * @addr: "1.2.3.4:80"
 * @deadline_header: name in lower case of the header with the caller's
 *	deadline
 * @body_max: larger bodies are refused
 * Return: NULL when the address cannot be bound; errno tells why.
 */
struct wf_httpd *wf_httpd_new(uv_loop_t *loop, const char *addr,
    const char *deadline_header, size_t body_max, wf_httpd_cb cb, void *arg);

/**
 * wf_httpd_reply() - answer a request; does nothing when it has gone
 * @retry_s: seconds for Retry-After; 0 leaves it out
 */
void wf_httpd_reply(struct wf_httpd *s, uint64_t id, int status,
    const char *type, uint32_t retry_s, const char *body, size_t len);

/**
 * wf_httpd_drain() - each further answer asks its caller to close the
 * connection
 */
void wf_httpd_drain(struct wf_httpd *s);

/**
 * wf_httpd_stop_listening() - accept no more connections
 */
void wf_httpd_stop_listening(struct wf_httpd *s);

/**
 * wf_httpd_pending_requests() - requests not answered yet
 */
size_t wf_httpd_pending_requests(const struct wf_httpd *s);

size_t wf_httpd_connections(const struct wf_httpd *s);

#endif

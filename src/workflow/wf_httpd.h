#ifndef WF_HTTPD_H
#define WF_HTTPD_H

/**
 * DOC: wf_httpd
 *
 * HTTP/1.1 server on one address. A callback gets each request once its body is
 * complete, and sends the response at once or later by the id of the request.
 * What clients may hold is bounded (wf_httpd_budget); an incomplete request that
 * is given up for it never reaches the callback.
 */

#include <uv.h>

#include "types.h"
#include "wf_doc.h"
#include "wf_httpd_budget.h"

struct wf_httpd;

/**
 * struct wf_http_req - complete request, valid during the callback
 * @id: identifies the request for wf_httpd_reply(); never 0
 * @host: without the port
 * @deadline: value of the deadline header as sent, or ""
 * @key: value of the first key header; "" without one, and when it is no key. A
 *	secret, which is cleared after the callback
 */
struct wf_http_req {
	uint64_t id;
	char method[16];
	char host[256];
	char path[256];
	char deadline[32];
	char key[WF_ACCOUNT_KEY_MAX + 1];
	const char *body;
	size_t body_len;
};

/* Called for each request; may call wf_httpd_reply(). */
typedef void (*wf_httpd_cb)(void *arg, const struct wf_http_req *req);

/**
 * wf_httpd_new() - create a server and listen
 * @addr: "1.2.3.4:80"
 * @deadline_header: name, in lower case, of the header that is copied to
 *	@deadline of each request; must outlive the server
 * @key_header: the same for @key of each request
 * @body_max: maximum request body in bytes; larger ones are rejected
 * Return: NULL when the address cannot be bound; errno is set.
 */
struct wf_httpd *wf_httpd_new(uv_loop_t *loop, const char *addr,
    const char *deadline_header, const char *key_header, size_t body_max,
    wf_httpd_cb cb, void *arg);

/* Called for each connection that is refused or given up. */
typedef void (*wf_httpd_refusal_cb)(void *arg, enum wf_httpd_reason reason);

/**
 * wf_httpd_set_memory() - derive what clients may hold from the memory of the
 * process
 * @memory_mb: 0 when unknown
 */
void wf_httpd_set_memory(struct wf_httpd *s, uint32_t memory_mb);

/**
 * wf_httpd_set_connections_max() - set the maximum number of connections of a
 * server that may use the descriptors which clients leave free
 */
void wf_httpd_set_connections_max(struct wf_httpd *s, size_t max);

/**
 * wf_httpd_on_refusal() - set the callback for connections that are refused or
 * given up; its argument is that of wf_httpd_new()
 */
void wf_httpd_on_refusal(struct wf_httpd *s, wf_httpd_refusal_cb cb);

/**
 * wf_httpd_budget() - what clients hold, and the limits on it
 */
const struct wf_httpd_budget *wf_httpd_budget(const struct wf_httpd *s);

/**
 * wf_httpd_reply() - send the response to a request; does nothing when the
 * request has ended because its connection closed
 * @retry_s: seconds for Retry-After; 0 leaves it out
 */
void wf_httpd_reply(struct wf_httpd *s, uint64_t id, int status,
    const char *type, uint32_t retry_s, const char *body, size_t len);

/**
 * wf_httpd_set_keep_alive() - set whether connections stay open after a
 * response, as they do at first
 */
void wf_httpd_set_keep_alive(struct wf_httpd *s, bool on);

/**
 * wf_httpd_stop_listening() - stop accepting connections and shut down
 * the open ones gracefully
 */
void wf_httpd_stop_listening(struct wf_httpd *s);

/**
 * wf_httpd_pending_requests() - number of requests without a response
 */
size_t wf_httpd_pending_requests(const struct wf_httpd *s);

/**
 * wf_httpd_connections() - number of open connections
 */
size_t wf_httpd_connections(const struct wf_httpd *s);

#endif

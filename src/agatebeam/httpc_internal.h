#ifndef AGB_HTTPC_INTERNAL_H
#define AGB_HTTPC_INTERNAL_H

/**
 * DOC: httpc_internal
 *
 * Types and functions shared by httpc.c (calls and their time limits),
 * httpc_conn.c (connections and endpoints) and httpc_parse.c (responses).
 */

#include <uthash.h>

#include "httpc.h"

#define AGB_HTTPC_READ_BYTES ((size_t)64 * 1024)

enum call_state {
	CALL_QUEUED,
	CALL_CONNECTING,
	CALL_SENT,
	CALL_DONE,	  /* in agb_httpc.done */
	CALL_IN_CALLBACK, /* its cb callback is running */
};

/* Part of the response to which the next byte belongs. */
enum parse_state {
	PARSE_STATUS_LINE,
	PARSE_HEADER,
	PARSE_BODY,
	PARSE_CHUNK_SIZE,
	PARSE_CHUNK_DATA,
	PARSE_CHUNK_END,
	PARSE_TRAILER,
	PARSE_COMPLETE,
};

struct agb_httpc_endpoint {
	agb_addr addr;
	struct sockaddr_storage sa;
	UT_hash_handle hh;
	unsigned active; /* calls that have left the queue but not ended */
	unsigned queued; /* calls in @queue */
	uint64_t last_used_ms;
	struct agb_httpc_call *queue;
	struct agb_httpc_conn *idle; /* most recently used first */
};

struct agb_httpc_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct agb_httpc *c;
	struct agb_httpc_endpoint *ep;
	struct agb_httpc_call *call; /* NULL if idle */
	struct agb_httpc_conn *prev, *next;
	uint64_t idle_since_ms;
	bool writing;
	char *request; /* request bytes, freed once they are written */
};

struct agb_httpc_call {
	struct agb_httpc *c;
	struct agb_httpc_endpoint *ep;
	struct agb_httpc_conn *conn;
	struct agb_httpc_call *prev, *next;
	struct agb_httpc_call *all_prev, *all_next;
	enum call_state state;
	uv_timer_t timer;
	agb_time send_deadline;
	uint64_t deadline_ms;	    /* loop time; 0 is no deadline */
	uint64_t total_deadline_ms; /* limits @deadline_ms; 0 is no limit */
	uint32_t stall_timeout_ms;
	bool deadline_grace; /* the timer runs for DEADLINE_GRACE_MS */
	bool in_chunk_cb;
	bool cancelled;
	bool is_head_request;
	char *request;
	size_t request_len;
	enum parse_state parse_state;
	bool keep_alive;
	bool has_length;
	bool chunked;
	uint64_t remaining; /* bytes of the body or of the chunk */
	char *line;
	size_t line_len;
	size_t line_cap;
	size_t head_bytes;
	size_t body_max;
	char *body;
	size_t body_cap;
	struct agb_httpc_header headers[AGB_HTTPC_HEADERS_MAX];
	struct agb_httpc_res res;
	agb_httpc_cb cb;
	agb_httpc_chunk_cb on_chunk;
	agb_httpc_head_cb on_head;
	void *arg;
};

struct agb_httpc {
	uv_loop_t *loop;
	struct agb_httpc_bytes bytes;
	unsigned endpoint_connections_max;
	struct agb_httpc_endpoint *endpoints;
	struct agb_httpc_call *done; /* ended, callback not called yet */
	struct agb_httpc_call *all;
	uv_check_t check;      /* runs run_done_callbacks() */
	uv_idle_t idle;	       /* active while @done is not empty */
	uv_timer_t idle_timer; /* runs agb_httpc_close_idle() */
	int handles;	       /* handles not closed yet */
	bool closing;
	char read_buf[AGB_HTTPC_READ_BYTES];
};

/* Error of a response whose body is too large; compared by its address. */
extern const char agb_httpc_body_too_large[];

/* ---- httpc.c ---- */

/**
 * agb_httpc_call_finish() - end a call; its callback runs in a later phase of
 * the loop
 * @error: static string; NULL for AGB_HTTPC_COMPLETE
 */
void agb_httpc_call_finish(struct agb_httpc_call *call,
    enum agb_httpc_status status, const char *error);

/**
 * agb_httpc_call_fail() - end a call as AGB_HTTPC_LOST if part of its request
 * has been written, else as AGB_HTTPC_UNSENT
 */
void agb_httpc_call_fail(struct agb_httpc_call *call, const char *error);

/**
 * agb_httpc_start_deadline() - start the timer for the deadline of the call,
 * which replaces that for the connection
 */
void agb_httpc_start_deadline(struct agb_httpc_call *call);

/**
 * agb_httpc_extend_deadline() - set the deadline anew after bytes of the
 * response have arrived
 */
void agb_httpc_extend_deadline(struct agb_httpc_call *call);

/* ---- httpc_conn.c ---- */

/**
 * agb_httpc_conn_close() - close a connection that is not in the list of idle
 * ones, and take it from its call
 */
void agb_httpc_conn_close(struct agb_httpc_conn *conn);

/**
 * agb_httpc_endpoint_get() - find or add an endpoint
 * Return: NULL when @addr is not an IP address with a port.
 */
struct agb_httpc_endpoint *agb_httpc_endpoint_get(
    struct agb_httpc *c, const char *addr);

/**
 * agb_httpc_start_queued() - start queued calls up to the connection limit of
 * the endpoint
 */
void agb_httpc_start_queued(struct agb_httpc *c, struct agb_httpc_endpoint *ep);

/**
 * agb_httpc_endpoint_release() - take an ended call from its endpoint, if it
 * has one, and start queued calls
 */
void agb_httpc_endpoint_release(struct agb_httpc_call *call);

/**
 * agb_httpc_endpoint_free() - close the idle connections of an endpoint and
 * free it
 */
void agb_httpc_endpoint_free(
    struct agb_httpc *c, struct agb_httpc_endpoint *ep);

/**
 * agb_httpc_close_idle() - close connections and free endpoints that have been
 * idle too long
 * @t: its data is the client
 */
void agb_httpc_close_idle(uv_timer_t *t);

/* ---- httpc_parse.c ---- */

/**
 * agb_httpc_is_token() - whether text is a token of RFC 9110, such as a method
 * or the name of a header
 */
bool agb_httpc_is_token(const char *s, size_t len);

/**
 * agb_httpc_parse_response() - parse bytes up to the end of the response
 * @used: set to the number of bytes consumed
 * Return: NULL or an error message.
 */
const char *agb_httpc_parse_response(
    struct agb_httpc_call *call, const char *data, size_t len, size_t *used);

#endif

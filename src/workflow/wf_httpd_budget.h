#ifndef WF_HTTPD_BUDGET_H
#define WF_HTTPD_BUDGET_H

/**
 * DOC: wf_httpd_budget
 *
 * Limits on what the clients of one HTTP server hold: the bytes of incomplete
 * requests and unread responses altogether, the number of connections, and the
 * time without progress. Decides which connection is given up; does no I/O.
 */

#include "types.h"

/* What a connection takes besides the bytes of an incomplete request or unread
 * response: h2o's buffers and pools. 3,300 connections that had sent a head took
 * 11 KB each, idle ones 1.5 KB, and 200 that did not read 26 KB. */
#define WF_HTTPD_REQUEST_BYTES ((size_t)8 * 1024)
#define WF_HTTPD_RESPONSE_BYTES ((size_t)24 * 1024)

/**
 * struct wf_httpd_limits - limits of one server
 * @held_max: bytes that all connections may hold
 * @held_low: connections are given up until no more than this is held
 * @connections_max: maximum number of open connections
 * @descriptor_max: number of the first file descriptor that must not become a
 *	client's connection; connections beyond it are refused
 */
struct wf_httpd_limits {
	size_t held_max;
	size_t held_low;
	size_t connections_max;
	size_t descriptor_max;
};

/* What a connection is doing. */
enum wf_httpd_phase {
	WF_HTTPD_IDLE,
	WF_HTTPD_HEAD,
	WF_HTTPD_BODY,
	/* The request is complete, and has no response yet or one that the
	 * socket has taken. It may have had an effect, so that it is not given
	 * up. */
	WF_HTTPD_PENDING,
	/* The socket has not taken the whole response. */
	WF_HTTPD_RESPONSE,
	WF_HTTPD_CLOSED,
};

/* Why a connection is refused or given up. */
enum wf_httpd_reason {
	WF_HTTPD_KEEP,
	WF_HTTPD_CONNECTIONS,
	WF_HTTPD_MEMORY,
	WF_HTTPD_HEAD_SIZE,
	WF_HTTPD_HEAD_TIME,
	WF_HTTPD_BODY_TIME,
	WF_HTTPD_RESPONSE_TIME,
	WF_HTTPD_REASONS,
};

/**
 * struct wf_httpd_load - what one connection holds
 * @bytes: bytes of its input and of its response that have not been sent
 * @held: @bytes, and WF_HTTPD_REQUEST_BYTES while the request is incomplete, or
 *	WF_HTTPD_RESPONSE_BYTES while the response is unread
 * @since: when the present request or response began
 * @progress_at: when bytes of it were last received or sent, or the phase began
 * @was_used: whether a response has been sent on the connection
 */
struct wf_httpd_load {
	struct wf_httpd_load *prev, *next;
	enum wf_httpd_phase phase;
	size_t bytes;
	size_t held;
	agb_time since;
	agb_time progress_at;
	bool was_used;
};

/**
 * struct wf_httpd_budget - connections of one server
 * @held: sum over @loads
 * @counts: connections refused or given up, by reason
 */
struct wf_httpd_budget {
	struct wf_httpd_limits limits;
	struct wf_httpd_load *loads;
	size_t connections;
	size_t held;
	uint64_t counts[WF_HTTPD_REASONS];
};

/**
 * wf_httpd_limits_init() - derive the limits of the clients' server
 * @memory_mb: memory that the process may use; 0 when unknown
 * @body_max: maximum request body in bytes
 * @descriptors: limit of the process on open files
 */
void wf_httpd_limits_init(struct wf_httpd_limits *l, uint32_t memory_mb,
    size_t body_max, size_t descriptors);

/**
 * wf_httpd_reason_name() - for log lines and metrics
 */
const char *wf_httpd_reason_name(enum wf_httpd_reason reason);

/**
 * wf_httpd_reason_status() - HTTP status of the response to a request that is
 * given up
 */
int wf_httpd_reason_status(enum wf_httpd_reason reason);

void wf_httpd_budget_add(struct wf_httpd_budget *b, struct wf_httpd_load *l);

void wf_httpd_budget_remove(struct wf_httpd_budget *b, struct wf_httpd_load *l);

/**
 * wf_httpd_budget_set_bytes() - set the bytes of a connection, and count what it
 * holds in its present phase
 */
void wf_httpd_budget_set_bytes(
    struct wf_httpd_budget *b, struct wf_httpd_load *l, size_t bytes);

/**
 * wf_httpd_budget_admit() - decide on a new connection
 * @descriptor: its file descriptor
 * Return: WF_HTTPD_KEEP, or why it is refused.
 */
enum wf_httpd_reason wf_httpd_budget_admit(
    const struct wf_httpd_budget *b, size_t descriptor);

/**
 * wf_httpd_budget_worst() - find the connection to give up first: the one whose
 * incomplete request or unread response has taken most bytes for the longest
 * time, by their product
 * Return: NULL when none may be given up.
 */
struct wf_httpd_load *wf_httpd_budget_worst(
    const struct wf_httpd_budget *b, agb_time now);

/**
 * wf_httpd_budget_stalest() - find the connection to close for a new one when
 * there is no room: the one without progress for the longest time
 * Return: NULL when all have made progress recently.
 */
struct wf_httpd_load *wf_httpd_budget_stalest(
    const struct wf_httpd_budget *b, agb_time now);

/**
 * wf_httpd_load_check() - check one connection against the limits of its own
 * Return: WF_HTTPD_KEEP, or why it is given up.
 */
enum wf_httpd_reason wf_httpd_load_check(
    const struct wf_httpd_load *l, agb_time now);

#endif

#include "wf_httpd_budget.h"

#include <utlist.h>

/* Part of the process's memory for the bytes that clients hold. Buffers double
 * as they grow and leave holes of the sizes before: 12 MB of bodies took up to
 * 25 MB. Accepted jobs have half of the memory (wf_budget). */
#define MEMORY_DIVISOR 8
/* With memory_mb unknown: 125 of the largest bodies that a document allows. */
#define HELD_DEFAULT_BYTES ((size_t)32 * 1024 * 1024)
/* The least budget, in bodies of the maximum size: a single request always
 * fits. */
#define BODIES_MIN 2
/* Looking for the worst connection passes over all of them. It is done once per
 * eighth of the budget that arrives, not at each read. */
#define LOW_DIVISOR 8
/* Descriptors for files, and for connections to the store and to runners that
 * are opened while clients have all of theirs. */
#define DESCRIPTORS_RESERVED 200
/* Part of the other descriptors that the process needs for itself. */
#define DESCRIPTORS_OWN_DIVISOR 8
#define CONNECTIONS_MIN 16
/* Four times the head that a document allows. */
#define HEAD_BYTES_MAX ((size_t)64 * 1024)
/* Over three times the header timeout of a document. */
#define HEAD_TIMEOUT_MS 10000
/* More than the idle timeout of a document. */
#define STALL_TIMEOUT_MS 20000
/* When there is no room for a new connection, one without progress for the
 * header timeout of a document is closed. */
#define STALE_MS 3000

void
wf_httpd_limits_init(struct wf_httpd_limits *l, uint32_t memory_mb,
    size_t body_max, size_t descriptors)
{
	const size_t held_min =
	    BODIES_MIN * (body_max + HEAD_BYTES_MAX + WF_HTTPD_REQUEST_BYTES);
	size_t clients;

	l->held_max = memory_mb > 0
	    ? (size_t)memory_mb * 1024 * 1024 / MEMORY_DIVISOR
	    : HELD_DEFAULT_BYTES;
	if (l->held_max < held_min)
		l->held_max = held_min;
	l->held_low = l->held_max - l->held_max / LOW_DIVISOR;
	clients = descriptors > DESCRIPTORS_RESERVED + CONNECTIONS_MIN
	    ? descriptors - DESCRIPTORS_RESERVED
	    : CONNECTIONS_MIN;
	l->descriptor_max = descriptors > clients ? clients : descriptors;
	l->connections_max = clients - clients / DESCRIPTORS_OWN_DIVISOR;
}

const char *
wf_httpd_reason_name(enum wf_httpd_reason reason)
{
	static const char *const names[WF_HTTPD_REASONS] = {
	    [WF_HTTPD_KEEP] = "none",
	    [WF_HTTPD_CONNECTIONS] = "connections",
	    [WF_HTTPD_MEMORY] = "memory",
	    [WF_HTTPD_HEAD_SIZE] = "head-size",
	    [WF_HTTPD_HEAD_TIME] = "head-time",
	    [WF_HTTPD_BODY_TIME] = "body-time",
	    [WF_HTTPD_RESPONSE_TIME] = "response-time",
	};

	return names[reason];
}

int
wf_httpd_reason_status(enum wf_httpd_reason reason)
{
	switch (reason) {
	case WF_HTTPD_HEAD_SIZE:
		return 413;
	case WF_HTTPD_HEAD_TIME:
	case WF_HTTPD_BODY_TIME:
		return 408;
	default:
		return 503;
	}
}

void
wf_httpd_budget_add(struct wf_httpd_budget *b, struct wf_httpd_load *l)
{
	DL_APPEND(b->loads, l);
	b->connections++;
	b->held += l->held;
}

void
wf_httpd_budget_remove(struct wf_httpd_budget *b, struct wf_httpd_load *l)
{
	DL_DELETE(b->loads, l);
	b->connections--;
	b->held -= l->held;
}

/* Whether the connection may be given up for others. */
static bool
is_incomplete(const struct wf_httpd_load *l)
{
	return l->phase == WF_HTTPD_HEAD || l->phase == WF_HTTPD_BODY ||
	    l->phase == WF_HTTPD_RESPONSE;
}

static size_t
extra_bytes(const struct wf_httpd_load *l)
{
	if (!is_incomplete(l))
		return 0;
	return l->phase == WF_HTTPD_RESPONSE ? WF_HTTPD_RESPONSE_BYTES
					     : WF_HTTPD_REQUEST_BYTES;
}

void
wf_httpd_budget_set_bytes(
    struct wf_httpd_budget *b, struct wf_httpd_load *l, size_t bytes)
{
	b->held -= l->held;
	l->bytes = bytes;
	l->held = bytes + extra_bytes(l);
	b->held += l->held;
}

enum wf_httpd_reason
wf_httpd_budget_admit(const struct wf_httpd_budget *b, size_t descriptor)
{
	if (b->connections >= b->limits.connections_max ||
	    descriptor >= b->limits.descriptor_max)
		return WF_HTTPD_CONNECTIONS;
	if (b->held >= b->limits.held_max)
		return WF_HTTPD_MEMORY;
	return WF_HTTPD_KEEP;
}

/* Bytes times the microseconds for which they have been held; 0 when the
 * connection must not be given up. */
static uint64_t
load_cost(const struct wf_httpd_load *l, agb_time now)
{
	if (!is_incomplete(l))
		return 0;
	return (uint64_t)(l->bytes + 1) *
	    (now > l->since ? now - l->since + 1 : 1);
}

struct wf_httpd_load *
wf_httpd_budget_worst(const struct wf_httpd_budget *b, agb_time now)
{
	struct wf_httpd_load *l, *worst = NULL;
	uint64_t cost, cost_max = 0;

	for (l = b->loads; l != NULL; l = l->next) {
		cost = load_cost(l, now);
		if (cost > cost_max) {
			cost_max = cost;
			worst = l;
		}
	}
	return worst;
}

static bool
has_passed(agb_time since, uint64_t ms, agb_time now)
{
	return now >= since + ms * AGB_MS;
}

/* How long a connection may make no progress when its place is needed. A
 * client keeps its connection after a response to use it again. */
static uint64_t
stale_after_ms(const struct wf_httpd_load *l)
{
	return l->phase == WF_HTTPD_IDLE && l->was_used ? STALL_TIMEOUT_MS
							: STALE_MS;
}

struct wf_httpd_load *
wf_httpd_budget_stalest(const struct wf_httpd_budget *b, agb_time now)
{
	struct wf_httpd_load *l, *stalest = NULL;

	for (l = b->loads; l != NULL; l = l->next) {
		if (l->phase == WF_HTTPD_PENDING ||
		    l->phase == WF_HTTPD_CLOSED ||
		    !has_passed(l->progress_at, stale_after_ms(l), now))
			continue;
		if (stalest == NULL || l->progress_at < stalest->progress_at)
			stalest = l;
	}
	return stalest;
}

enum wf_httpd_reason
wf_httpd_load_check(const struct wf_httpd_load *l, agb_time now)
{
	switch (l->phase) {
	case WF_HTTPD_HEAD:
		if (l->bytes > HEAD_BYTES_MAX)
			return WF_HTTPD_HEAD_SIZE;
		return has_passed(l->since, HEAD_TIMEOUT_MS, now)
		    ? WF_HTTPD_HEAD_TIME
		    : WF_HTTPD_KEEP;
	case WF_HTTPD_BODY:
		return has_passed(l->progress_at, STALL_TIMEOUT_MS, now)
		    ? WF_HTTPD_BODY_TIME
		    : WF_HTTPD_KEEP;
	case WF_HTTPD_RESPONSE:
		return has_passed(l->progress_at, STALL_TIMEOUT_MS, now)
		    ? WF_HTTPD_RESPONSE_TIME
		    : WF_HTTPD_KEEP;
	default:
		return WF_HTTPD_KEEP;
	}
}

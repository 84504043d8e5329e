#ifndef AGB_EDGE_PARSE_H
#define AGB_EDGE_PARSE_H

/**
 * DOC: edge_parse
 *
 * Checks of callers' requests, without sockets: the raw head of HTTP/1, and
 * the meaning of path, headers and body.
 */

#include "event.h"
#include "finding.h"
#include "settings.h"

/* Longest relative time that a caller may give: 30 days. */
#define AGB_EDGE_DURATION_MS_MAX 2592000000U
/* Longest wait of GET /v1/jobs/{id}. */
#define AGB_EDGE_WAIT_MS_MAX 300000U
/* Most tasks of one job. */
#define AGB_EDGE_TASKS_MAX 100000U
/* Largest need of one task; far beyond any machine, within 64-bit sums. */
#define AGB_EDGE_CPU_MILLI_MAX 100000000U
#define AGB_EDGE_MEM_MB_MAX 100000000U
#define AGB_EDGE_ACCEL_MAX 10000U

/**
 * enum agb_edge_head_state - what the bytes of a request's head are
 * @AGB_HEAD_PARTIAL: more bytes are needed
 * @AGB_HEAD_COMPLETE: a valid head
 * @AGB_HEAD_MALFORMED: not a head that all HTTP/1 parsers read alike
 * @AGB_HEAD_TOO_LONG: longer than the limit
 * @AGB_HEAD_HTTP2: the preface of HTTP/2
 */
enum agb_edge_head_state {
	AGB_HEAD_PARTIAL,
	AGB_HEAD_COMPLETE,
	AGB_HEAD_MALFORMED,
	AGB_HEAD_TOO_LONG,
	AGB_HEAD_HTTP2,
};

/**
 * struct agb_edge_head - a whole head
 * @len: bytes up to and with the empty line
 * @body_len: from Content-Length; 0 without one
 * @chunked: the body comes in chunks
 */
struct agb_edge_head {
	size_t len;
	uint64_t body_len;
	bool chunked;
};

/**
 * agb_edge_head_check() - check the head of an HTTP/1 request
 * @max: largest head in bytes
 * @out: filled in for AGB_HEAD_COMPLETE
 *
 * A head with two lengths, with a length and chunks, or with bare line feeds
 * is bad: a proxy before us may read it differently, and then a part of one
 * caller's body would be taken for another's request.
 */
enum agb_edge_head_state agb_edge_head_check(
    const char *buf, size_t len, size_t max, struct agb_edge_head *out);

struct agb_edge_span {
	const char *p;
	size_t len;
};

struct agb_edge_field {
	struct agb_edge_span name;
	struct agb_edge_span value;
};

/**
 * struct agb_edge_raw_request - a request as received
 * @fields: names in lower case
 */
struct agb_edge_raw_request {
	struct agb_edge_span method;
	struct agb_edge_span path;
	const struct agb_edge_field *fields;
	size_t fields_len;
	struct agb_edge_span body;
};

/**
 * enum agb_edge_target - who answers
 * @AGB_TARGET_REFUSED: nobody; the refusal tells why
 * @AGB_TARGET_CALL: the daemon, on an AGB_EV_CALL event
 */
enum agb_edge_target {
	AGB_TARGET_REFUSED,
	AGB_TARGET_CALL,
	AGB_TARGET_HEALTHZ,
	AGB_TARGET_READYZ,
	AGB_TARGET_METRICS,
};

/**
 * struct agb_edge_refusal - why a request is refused; outcome not-run
 * @allow: methods of the path, for status 405, else NULL
 */
struct agb_edge_refusal {
	int http_status;
	enum agb_reason reason;
	const char *allow;
	char detail[1024];
};

/**
 * agb_edge_parse_request() - check a request
 * @call: filled in for AGB_TARGET_CALL, but for its id; owns its args
 * @no: filled in for AGB_TARGET_REFUSED
 */
enum agb_edge_target agb_edge_parse_request(
    const struct agb_edge_raw_request *raw, struct agb_ev_call *call,
    struct agb_edge_refusal *no);

/**
 * agb_edge_skip_header() - whether a header belongs to one connection only, or
 * may only be set by this system
 * @name: in lower case
 */
bool agb_edge_skip_header(const char *name, size_t len);

/**
 * agb_edge_list_has_token() - whether a comma-separated list names @name, without
 * regard to case
 */
bool agb_edge_list_has_token(
    const char *list, size_t list_len, const char *name, size_t len);

#endif

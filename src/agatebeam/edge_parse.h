#ifndef AGB_EDGE_PARSE_H
#define AGB_EDGE_PARSE_H

/**
 * DOC: edge_parse
 *
 * Validates requests without access to sockets: the raw head of an HTTP/1
 * request, and the path, headers and body of a parsed request.
 */

#include "event.h"
#include "finding.h"
#include "settings.h"

/* Longest duration that a request may give: 30 days. */
#define AGB_EDGE_DURATION_MS_MAX 2592000000U
/* Longest wait of GET /v1/jobs/{id}: 5 minutes. */
#define AGB_EDGE_WAIT_MS_MAX 300000U
/* Maximum number of tasks in a job. */
#define AGB_EDGE_TASKS_MAX 100000U
/* Largest resource need of a task: far beyond any machine, but small enough
 * that sums of needs fit in 64 bits. */
#define AGB_EDGE_CPU_MILLI_MAX 100000000U
#define AGB_EDGE_MEM_MB_MAX 100000000U
#define AGB_EDGE_ACCEL_MAX 10000U

/**
 * enum agb_edge_head_state - result of agb_edge_head_check()
 * @AGB_HEAD_PARTIAL: more bytes are needed
 * @AGB_HEAD_COMPLETE: complete and valid
 * @AGB_HEAD_MALFORMED: invalid, or read differently by some HTTP/1 parsers
 * @AGB_HEAD_TOO_LONG: longer than the limit
 * @AGB_HEAD_HTTP2: HTTP/2 connection preface
 */
enum agb_edge_head_state {
	AGB_HEAD_PARTIAL,
	AGB_HEAD_COMPLETE,
	AGB_HEAD_MALFORMED,
	AGB_HEAD_TOO_LONG,
	AGB_HEAD_HTTP2,
};

/**
 * struct agb_edge_head - complete head of an HTTP/1 request
 * @len: length in bytes, including the empty line
 * @body_len: value of Content-Length; 0 without that header
 * @chunked: the body has the chunked transfer coding
 */
struct agb_edge_head {
	size_t len;
	uint64_t body_len;
	bool chunked;
};

/**
 * agb_edge_head_check() - check the head of an HTTP/1 request
 * @max: largest head in bytes
 * @out: set for AGB_HEAD_COMPLETE
 *
 * A head with two Content-Length headers, with both Content-Length and
 * Transfer-Encoding, or with bare line feeds is malformed. A proxy in front of
 * the edge may interpret it differently, and part of one client's body would
 * then be taken for a request of another client (request smuggling).
 */
enum agb_edge_head_state agb_edge_head_check(
    const char *buf, size_t len, size_t max, struct agb_edge_head *out);

/**
 * struct agb_edge_span - string without a terminating NUL
 */
struct agb_edge_span {
	const char *p;
	size_t len;
};

/**
 * struct agb_edge_field - header of a request
 */
struct agb_edge_field {
	struct agb_edge_span name;
	struct agb_edge_span value;
};

/**
 * struct agb_edge_raw_request - request as received
 * @path: path and query
 * @fields: headers; their names are in lower case
 */
struct agb_edge_raw_request {
	struct agb_edge_span method;
	struct agb_edge_span path;
	const struct agb_edge_field *fields;
	size_t fields_len;
	struct agb_edge_span body;
};

/**
 * enum agb_edge_target - how a request is handled
 * @AGB_TARGET_REFUSED: refused, as struct agb_edge_refusal says
 * @AGB_TARGET_CALL: passed to the daemon as an AGB_EV_CALL event
 * @AGB_TARGET_HEALTHZ: the edge responds to GET /healthz
 * @AGB_TARGET_READYZ: the edge responds to GET /readyz
 * @AGB_TARGET_METRICS: the edge responds to GET /metrics
 */
enum agb_edge_target {
	AGB_TARGET_REFUSED,
	AGB_TARGET_CALL,
	AGB_TARGET_HEALTHZ,
	AGB_TARGET_READYZ,
	AGB_TARGET_METRICS,
};

/**
 * struct agb_edge_refusal - response to a refused request; its outcome is
 * not-run
 * @allow: methods that the path allows for status 405, else NULL
 */
struct agb_edge_refusal {
	int http_status;
	enum agb_reason reason;
	const char *allow;
	char detail[1024];
};

/**
 * agb_edge_parse_request() - validate a request
 * @call: set for AGB_TARGET_CALL, except for its id; the caller frees
 *	call->args
 * @refusal: set for AGB_TARGET_REFUSED
 */
enum agb_edge_target agb_edge_parse_request(
    const struct agb_edge_raw_request *raw, struct agb_ev_call *call,
    struct agb_edge_refusal *refusal);

/**
 * agb_edge_must_drop_header() - whether a header must not be forwarded: a
 * hop-by-hop header, the credential, or a header that only this system may set
 * @name: in lower case
 */
bool agb_edge_must_drop_header(const char *name, size_t len);

/**
 * agb_edge_list_has_token() - whether a comma-separated list contains @name,
 * ignoring case
 */
bool agb_edge_list_has_token(
    const char *list, size_t list_len, const char *name, size_t len);

#endif

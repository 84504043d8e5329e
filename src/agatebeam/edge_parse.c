#include "edge_parse.h"

#include <openssl/sha.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "jsonc.h"
#include "mem.h"

/* Longest bearer credential; a longer one is refused without hashing it. */
#define CREDENTIAL_MAX 512

static enum agb_edge_target refuse(struct agb_edge_refusal *refusal, int status,
    enum agb_reason reason, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

static enum agb_edge_target
refuse(struct agb_edge_refusal *refusal, int status, enum agb_reason reason,
    const char *fmt, ...)
{
	va_list ap;

	refusal->http_status = status;
	refusal->reason = reason;
	va_start(ap, fmt);
	vsnprintf(refusal->detail, sizeof(refusal->detail), fmt, ap);
	va_end(ap);
	return AGB_TARGET_REFUSED;
}

static bool
span_is(const struct agb_edge_span *s, const char *text)
{
	return s->len == strlen(text) && memcmp(s->p, text, s->len) == 0;
}

static bool
span_skip(struct agb_edge_span *s, const char *prefix)
{
	const size_t n = strlen(prefix);

	if (s->len < n || memcmp(s->p, prefix, n) != 0)
		return false;
	s->p += n;
	s->len -= n;
	return true;
}

bool
agb_edge_list_has_token(
    const char *list, size_t list_len, const char *name, size_t len)
{
	const char *const end = list + list_len;
	const char *p, *q, *r;

	for (p = list; p < end; p = q + 1) {
		q = memchr(p, ',', (size_t)(end - p));
		if (q == NULL)
			q = end;
		for (r = q; p < r && (*p == ' ' || *p == '\t'); p++)
			;
		while (r > p && (r[-1] == ' ' || r[-1] == '\t'))
			r--;
		if ((size_t)(r - p) == len && strncasecmp(p, name, len) == 0)
			return true;
	}
	return false;
}

bool
agb_edge_must_drop_header(const char *name, size_t len)
{
	static const char *const names[] = {"connection", "keep-alive",
	    "proxy-authenticate", "proxy-authorization", "proxy-connection",
	    "te", "trailer", "transfer-encoding", "upgrade", "content-length",
	    "host", "expect", "authorization", "http2-settings",
	    "agatebeam-attempt", "agatebeam-epoch", "agatebeam-outcome"};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (strlen(names[i]) == len && memcmp(names[i], name, len) == 0)
			return true;
	}
	return false;
}

/* Return: number of headers with this name; @out is set to the last value. */
static unsigned
header_find(const struct agb_edge_raw_request *raw, const char *name,
    struct agb_edge_span *out)
{
	unsigned n;
	size_t i;

	n = 0;
	for (i = 0; i < raw->fields_len; i++) {
		if (!span_is(&raw->fields[i].name, name))
			continue;
		*out = raw->fields[i].value;
		n++;
	}
	return n;
}

static bool
is_name_char(char c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
	    (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.';
}

static bool
is_valid_name(const char *p, size_t len)
{
	size_t i;

	if (len == 0 || len >= AGB_NAME_LEN || p[0] == '.')
		return false;
	for (i = 0; i < len; i++) {
		if (!is_name_char(p[i]))
			return false;
	}
	return true;
}

/* Valid ids are those of jobs, tasks ("<job>/<number>") and requests. */
static bool
is_valid_id(const char *p, size_t len)
{
	size_t i;

	if (len == 0 || len >= AGB_ID_LEN || p[0] == '/')
		return false;
	for (i = 0; i < len; i++) {
		if (!is_name_char(p[i]) && p[i] != '/' && p[i] != ':')
			return false;
	}
	return true;
}

static bool
parse_ms(const struct agb_edge_span *s, uint32_t max, uint32_t *out)
{
	uint64_t n;
	size_t i;

	if (s->len == 0 || s->len > 10)
		return false;
	n = 0;
	for (i = 0; i < s->len; i++) {
		if (s->p[i] < '0' || s->p[i] > '9')
			return false;
		n = n * 10 + (uint64_t)(s->p[i] - '0');
	}
	if (n == 0 || n > max)
		return false;
	*out = (uint32_t)n;
	return true;
}

static void
hash_credential(const struct agb_edge_span *s, char out[65])
{
	unsigned char md[SHA256_DIGEST_LENGTH];
	size_t i;

	SHA256((const unsigned char *)s->p, s->len, md);
	for (i = 0; i < sizeof(md); i++)
		snprintf(out + 2 * i, 3, "%02x", md[i]);
}

static bool
is_credential(const struct agb_edge_span *s)
{
	size_t i, n;

	n = s->len;
	while (n > 0 && s->p[n - 1] == '=')
		n--;
	if (n == 0 || s->len > CREDENTIAL_MAX)
		return false;
	for (i = 0; i < n; i++) {
		if (!is_name_char(s->p[i]) && s->p[i] != '~' &&
		    s->p[i] != '+' && s->p[i] != '/')
			return false;
	}
	return true;
}

static bool
parse_credential(
    const struct agb_edge_raw_request *raw, struct agb_ev_call *call)
{
	struct agb_edge_span s;
	unsigned n;

	n = header_find(raw, "authorization", &s);
	if (n == 0)
		return true;
	if (n > 1 || s.len < 7 || strncasecmp(s.p, "bearer ", 7) != 0)
		return false;
	s.p += 7;
	s.len -= 7;
	if (!is_credential(&s))
		return false;
	hash_credential(&s, call->credential);
	return true;
}

static void
parse_idempotency_key(const struct agb_edge_raw_request *raw,
    struct agb_ev_call *call, struct agb_findings *f)
{
	struct agb_edge_span s;
	unsigned n;
	size_t i;

	n = header_find(raw, "idempotency-key", &s);
	if (n == 0)
		return;
	for (i = 0; i < s.len && s.p[i] > ' ' && s.p[i] < 0x7f; i++)
		;
	if (n > 1 || s.len == 0 || s.len > AGB_X_KEY_MAX || i < s.len) {
		agb_findings_add(f, AGB_FINDING_ERROR, "Idempotency-Key",
		    "must be given once, with 1 to %d printable characters",
		    AGB_X_KEY_MAX);
		return;
	}
	memcpy(call->key, s.p, s.len);
	call->key[s.len] = '\0';
}

static void
parse_headers(const struct agb_edge_raw_request *raw, struct agb_ev_call *call,
    struct agb_findings *f)
{
	struct agb_edge_span s;
	unsigned n;

	parse_idempotency_key(raw, call, f);
	n = header_find(raw, "agatebeam-deadline-ms", &s);
	if (n > 1 ||
	    (n == 1 &&
		!parse_ms(&s, AGB_EDGE_DURATION_MS_MAX, &call->deadline_ms)))
		agb_findings_add(f, AGB_FINDING_ERROR, "Agatebeam-Deadline-Ms",
		    "must be given once, an integer from 1 to %u",
		    AGB_EDGE_DURATION_MS_MAX);
	n = header_find(raw, "agatebeam-idempotent", &s);
	call->idempotent = n == 1 && span_is(&s, "true");
	if (n > 1 || (n == 1 && !call->idempotent && !span_is(&s, "false")))
		agb_findings_add(f, AGB_FINDING_ERROR, "Agatebeam-Idempotent",
		    "must be given once, true or false");
}

static void
parse_args(const struct agb_jsonc_node *o, struct agb_ev_call *call)
{
	struct agb_jsonc_node args;
	const char *text;
	size_t len;

	if (!agb_jsonc_get_object(o, "args", false, &args))
		return;
	text = json_object_to_json_string_length(args.obj,
	    JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &len);
	if (len > AGB_X_ARGS_MAX) {
		agb_jsonc_report(o, "args", AGB_FINDING_ERROR,
		    "must have at most %d bytes", AGB_X_ARGS_MAX);
		return;
	}
	call->args = agb_xmemdup(text, len);
	call->args_len = len;
}

static void
parse_resource_need(const struct agb_jsonc_node *o, struct agb_ev_call *call)
{
	static const char *const keys[] = {"cpu_milli", "mem_mb", "accel"};
	struct agb_jsonc_node need;

	if (!agb_jsonc_get_object(o, "need", false, &need))
		return;
	agb_jsonc_check_keys(&need, keys, sizeof(keys) / sizeof(keys[0]));
	agb_jsonc_get_int(&need, "cpu_milli", true,
	    &(const struct agb_jsonc_range){1, AGB_EDGE_CPU_MILLI_MAX, ""},
	    &call->need.cpu_milli);
	agb_jsonc_get_int(&need, "mem_mb", true,
	    &(const struct agb_jsonc_range){1, AGB_EDGE_MEM_MB_MAX, ""},
	    &call->need.mem_mb);
	agb_jsonc_get_int(&need, "accel", false,
	    &(const struct agb_jsonc_range){0, AGB_EDGE_ACCEL_MAX, ""},
	    &call->need.accel);
}

static void
parse_job(const struct agb_jsonc_node *o, struct agb_ev_call *call,
    bool idempotent_given)
{
	static const char *const keys[] = {"work", "tasks", "need", "run_ms",
	    "deadline_ms", "idempotent", "args"};
	uint32_t deadline;
	bool idempotent;

	agb_jsonc_check_keys(o, keys, sizeof(keys) / sizeof(keys[0]));
	if (agb_jsonc_get_str(
		o, "work", true, call->work, sizeof(call->work)) &&
	    !is_valid_name(call->work, strlen(call->work)))
		agb_jsonc_report(o, "work", AGB_FINDING_ERROR,
		    "must be a name of letters, digits, '-', '_' and '.'");
	call->tasks = 1;
	agb_jsonc_get_u32(o, "tasks", false,
	    &(const struct agb_jsonc_range){1, AGB_EDGE_TASKS_MAX, ""},
	    &call->tasks);
	parse_resource_need(o, call);
	agb_jsonc_get_u32(o, "run_ms", false,
	    &(const struct agb_jsonc_range){0, AGB_EDGE_DURATION_MS_MAX, ""},
	    &call->run_ms);
	if (agb_jsonc_get_u32(o, "deadline_ms", false,
		&(const struct agb_jsonc_range){
		    1, AGB_EDGE_DURATION_MS_MAX, ""},
		&deadline)) {
		if (call->deadline_ms != 0 && call->deadline_ms != deadline)
			agb_jsonc_report(o, "deadline_ms", AGB_FINDING_ERROR,
			    "differs from the header Agatebeam-Deadline-Ms");
		call->deadline_ms = deadline;
	}
	if (agb_jsonc_get_bool(o, "idempotent", false, &idempotent)) {
		if (idempotent_given && call->idempotent != idempotent)
			agb_jsonc_report(o, "idempotent", AGB_FINDING_ERROR,
			    "differs from the header Agatebeam-Idempotent");
		call->idempotent = idempotent;
	}
	parse_args(o, call);
}

static void
parse_submit(const struct agb_edge_raw_request *raw, struct agb_ev_call *call,
    struct agb_findings *f)
{
	struct agb_edge_span s;
	struct agb_jsonc *doc;
	struct agb_jsonc_node o;

	doc = agb_jsonc_parse_wire(raw->body.p, raw->body.len, f);
	if (doc == NULL)
		return;
	if (agb_jsonc_get_root(doc, &o))
		parse_job(
		    &o, call, header_find(raw, "agatebeam-idempotent", &s) > 0);
	agb_jsonc_free(doc);
}

static void
parse_wait(
    struct agb_edge_span q, struct agb_ev_call *call, struct agb_findings *f)
{
	struct agb_edge_span s = q;
	uint32_t ms;

	if (span_skip(&s, "wait=") && s.len > 2 &&
	    memcmp(s.p + s.len - 2, "ms", 2) == 0) {
		s.len -= 2;
		if (parse_ms(&s, AGB_EDGE_WAIT_MS_MAX, &call->wait_ms))
			return;
	} else if (s.p != q.p && s.len > 1 && s.p[s.len - 1] == 's') {
		s.len--;
		if (parse_ms(&s, AGB_EDGE_WAIT_MS_MAX / 1000, &ms)) {
			call->wait_ms = ms * 1000;
			return;
		}
	}
	agb_findings_add(f, AGB_FINDING_ERROR, "query",
	    "only wait=TIME is known, 1ms to %us", AGB_EDGE_WAIT_MS_MAX / 1000);
}

static bool
is_dot_segment(const char *p, size_t len)
{
	size_t dots, i;

	dots = 0;
	for (i = 0; i < len; dots++) {
		if (p[i] == '.')
			i++;
		else if (len - i >= 3 && strncasecmp(p + i, "%2e", 3) == 0)
			i += 3;
		else
			return false;
	}
	return dots == 1 || dots == 2;
}

static bool
is_printable(const struct agb_edge_span *s)
{
	size_t i;

	for (i = 0; i < s->len; i++) {
		if (s->p[i] <= ' ' || s->p[i] >= 0x7f)
			return false;
	}
	return true;
}

/* A header of an HTTP/2 request may contain line ends. Forwarded to a runner
 * over HTTP/1, they would start another header line or request. */
static bool
headers_valid(const struct agb_edge_raw_request *raw)
{
	const struct agb_edge_field *f;
	size_t i, j;

	for (i = 0; i < raw->fields_len; i++) {
		f = &raw->fields[i];
		if (!is_printable(&f->name) ||
		    memchr(f->name.p, ':', f->name.len) != NULL)
			return false;
		for (j = 0; j < f->value.len; j++) {
			const unsigned char c = (unsigned char)f->value.p[j];

			if ((c < ' ' && c != '\t') || c == 0x7f)
				return false;
		}
	}
	return true;
}

/* A runner might resolve dot segments to a path outside its service. Each
 * "." may also be written as "%2e". */
static bool
path_has_no_dot_segments(const struct agb_edge_span *path)
{
	const char *const end = path->p + path->len;
	const char *p, *q;

	if (path->len == 0 || path->p[0] != '/')
		return false;
	for (p = path->p + 1; p <= end; p = q + 1) {
		q = memchr(p, '/', (size_t)(end - p));
		if (q == NULL)
			q = end;
		if (is_dot_segment(p, (size_t)(q - p)))
			return false;
	}
	return true;
}

struct request_target {
	struct agb_edge_span path;
	struct agb_edge_span query;
	bool has_query;
};

static void
split_target(const struct agb_edge_raw_request *raw, struct request_target *r)
{
	const char *const q = memchr(raw->path.p, '?', raw->path.len);

	r->path = raw->path;
	r->has_query = q != NULL;
	r->query = (struct agb_edge_span){"", 0};
	if (q == NULL)
		return;
	r->path.len = (size_t)(q - raw->path.p);
	r->query.p = q + 1;
	r->query.len = raw->path.len - r->path.len - 1;
}

static enum agb_edge_target
parse_service(const struct agb_edge_raw_request *raw, struct agb_edge_span rest,
    struct agb_ev_call *call, struct agb_edge_refusal *refusal)
{
	const char *const slash = memchr(rest.p, '/', rest.len);
	const size_t len = slash != NULL ? (size_t)(slash - rest.p) : rest.len;

	if (!is_valid_name(rest.p, len))
		return refuse(refusal, 404, AGB_REASON_NO_SERVICE,
		    "the path names no service");
	if (!span_is(&raw->method, "POST")) {
		refusal->allow = "POST";
		return refuse(refusal, 405, AGB_REASON_BAD_REQUEST,
		    "a service takes POST only");
	}
	call->kind = AGB_CALL_QUICK;
	memcpy(call->work, rest.p, len);
	call->work[len] = '\0';
	return AGB_TARGET_CALL;
}

static enum agb_edge_target
parse_job_path(const struct agb_edge_raw_request *raw,
    struct agb_edge_span rest, struct agb_ev_call *call,
    struct agb_edge_refusal *refusal)
{
	if (!is_valid_id(rest.p, rest.len))
		return refuse(refusal, 404, AGB_REASON_NOT_FOUND,
		    "the path is no job id");
	memcpy(call->job, rest.p, rest.len);
	call->job[rest.len] = '\0';
	if (span_is(&raw->method, "GET")) {
		call->kind = AGB_CALL_JOB_GET;
	} else if (span_is(&raw->method, "DELETE")) {
		call->kind = AGB_CALL_JOB_CANCEL;
	} else {
		refusal->allow = "GET, DELETE";
		return refuse(refusal, 405, AGB_REASON_BAD_REQUEST,
		    "a job takes GET and DELETE only");
	}
	return AGB_TARGET_CALL;
}

static enum agb_edge_target
require_get_or_head(const struct agb_edge_raw_request *raw,
    enum agb_edge_target target, struct agb_edge_refusal *refusal)
{
	if (span_is(&raw->method, "GET") || span_is(&raw->method, "HEAD"))
		return target;
	refusal->allow = "GET, HEAD";
	return refuse(
	    refusal, 405, AGB_REASON_BAD_REQUEST, "this path takes GET only");
}

static enum agb_edge_target
parse_path(const struct agb_edge_raw_request *raw,
    const struct request_target *r, struct agb_ev_call *call,
    struct agb_edge_refusal *refusal)
{
	struct agb_edge_span rest = r->path;

	if (span_is(&r->path, "/healthz"))
		return require_get_or_head(raw, AGB_TARGET_HEALTHZ, refusal);
	if (span_is(&r->path, "/readyz"))
		return require_get_or_head(raw, AGB_TARGET_READYZ, refusal);
	if (span_is(&r->path, "/metrics"))
		return require_get_or_head(raw, AGB_TARGET_METRICS, refusal);
	if (span_skip(&rest, "/v1/services/"))
		return parse_service(raw, rest, call, refusal);
	if (span_is(&r->path, "/v1/jobs")) {
		call->kind = AGB_CALL_JOB_SUBMIT;
		if (span_is(&raw->method, "POST"))
			return AGB_TARGET_CALL;
		refusal->allow = "POST";
		return refuse(refusal, 405, AGB_REASON_BAD_REQUEST,
		    "a job is submitted with POST");
	}
	if (span_skip(&rest, "/v1/jobs/"))
		return parse_job_path(raw, rest, call, refusal);
	if (span_is(&r->path, "/v1/status")) {
		call->kind = AGB_CALL_STATUS;
		return require_get_or_head(raw, AGB_TARGET_CALL, refusal);
	}
	if (span_skip(&rest, "/v1/explain/")) {
		if (!is_valid_id(rest.p, rest.len))
			return refuse(refusal, 404, AGB_REASON_NOT_FOUND,
			    "the path is no id of a job, task or request");
		call->kind = AGB_CALL_EXPLAIN;
		memcpy(call->job, rest.p, rest.len);
		call->job[rest.len] = '\0';
		return require_get_or_head(raw, AGB_TARGET_CALL, refusal);
	}
	return refuse(refusal, 404, AGB_REASON_NOT_FOUND, "no such path");
}

static uint64_t
request_bytes(const struct agb_edge_raw_request *raw)
{
	uint64_t n;
	size_t i;

	n = raw->method.len + raw->path.len + raw->body.len;
	for (i = 0; i < raw->fields_len; i++)
		n += raw->fields[i].name.len + raw->fields[i].value.len + 4;
	return n;
}

enum agb_edge_target
agb_edge_parse_request(const struct agb_edge_raw_request *raw,
    struct agb_ev_call *call, struct agb_edge_refusal *refusal)
{
	enum agb_edge_target target;
	struct agb_findings *f;
	struct request_target r;

	memset(call, 0, sizeof(*call));
	memset(refusal, 0, sizeof(*refusal));
	split_target(raw, &r);
	if (!is_printable(&raw->method) || !headers_valid(raw))
		return refuse(refusal, 400, AGB_REASON_BAD_REQUEST,
		    "the method or a header has control characters");
	if (!is_printable(&raw->path) || !path_has_no_dot_segments(&r.path))
		return refuse(refusal, 400, AGB_REASON_BAD_REQUEST,
		    "the path must be printable ASCII without dot segments");
	target = parse_path(raw, &r, call, refusal);
	if (target != AGB_TARGET_CALL)
		return target;
	if (!parse_credential(raw, call))
		return refuse(refusal, 401, AGB_REASON_BAD_CREDENTIAL,
		    "Authorization must be given once, as Bearer CREDENTIAL");
	call->body_bytes = request_bytes(raw);
	f = agb_xcalloc(1, sizeof(*f));
	parse_headers(raw, call, f);
	if (call->kind == AGB_CALL_JOB_SUBMIT)
		parse_submit(raw, call, f);
	if (call->kind == AGB_CALL_JOB_GET && r.has_query)
		parse_wait(r.query, call, f);
	else if (call->kind != AGB_CALL_QUICK && r.has_query)
		agb_findings_add(
		    f, AGB_FINDING_ERROR, "query", "this path takes no query");
	if (f->errors > 0) {
		target = refuse(refusal, 400, AGB_REASON_BAD_REQUEST, "%s", "");
		agb_findings_join(f, refusal->detail, sizeof(refusal->detail));
		free((char *)(uintptr_t)call->args);
		memset(call, 0, sizeof(*call));
	}
	free(f);
	return target;
}

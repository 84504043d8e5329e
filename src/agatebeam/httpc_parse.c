#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "httpc_internal.h"
#include "mem.h"

/* Limit of the status line, all headers and all trailers together. */
#define HEAD_BYTES_MAX ((size_t)256 * 1024)
#define LINE_BYTES_MAX ((size_t)16 * 1024)

const char agb_httpc_body_too_large[] = "response body exceeds the limit";

static bool
body_append(struct agb_httpc_call *call, const char *data, size_t len)
{
	size_t cap;

	if (len > call->body_max - call->res.body_len)
		return false;
	if (call->res.body_len + len + 1 > call->body_cap) {
		cap = call->body_cap > 0 ? call->body_cap : 1024;
		while (cap < call->res.body_len + len + 1)
			cap *= 2;
		call->body = agb_xreallocarray(call->body, cap, 1);
		call->body_cap = cap;
	}
	memcpy(call->body + call->res.body_len, data, len);
	call->res.body_len += len;
	call->body[call->res.body_len] = '\0';
	return true;
}

/* Return: NULL or an error message, as for the parse functions below. */
static const char *
deliver_body(struct agb_httpc_call *call, const char *data, size_t len)
{
	if (call->on_chunk == NULL)
		return body_append(call, data, len) ? NULL
						    : agb_httpc_body_too_large;
	call->in_chunk_cb = true;
	call->on_chunk(call->arg, call->res.http_status, data, len);
	call->in_chunk_cb = false;
	return NULL;
}

bool
agb_httpc_is_token(const char *s, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (!isalnum((unsigned char)s[i]) &&
		    (s[i] == '\0' || strchr("!#$%&'*+-.^_`|~", s[i]) == NULL))
			return false;
	}
	return len > 0;
}

/* Return: false unless @s is a decimal number without sign or spaces. */
static bool
parse_length(const char *s, uint64_t *out)
{
	char *end;

	if (!isdigit((unsigned char)s[0]))
		return false;
	errno = 0;
	*out = strtoull(s, &end, 10);
	return errno == 0 && *end == '\0';
}

static const char *
parse_status_line(struct agb_httpc_call *call)
{
	const char *const s = call->line;

	if (strncmp(s, "HTTP/1.", 7) != 0 || (s[7] != '0' && s[7] != '1') ||
	    s[8] != ' ' || s[9] < '1' || s[9] > '5' ||
	    !isdigit((unsigned char)s[10]) || !isdigit((unsigned char)s[11]) ||
	    (s[12] != ' ' && s[12] != '\0'))
		return "malformed status line";
	call->res.http_status = (int)strtol(s + 9, NULL, 10);
	call->keep_alive = s[7] == '1';
	call->parse_state = PARSE_HEADER;
	return NULL;
}

static const char *
parse_header_line(struct agb_httpc_call *call)
{
	struct agb_httpc_header *h;
	char *colon, *name, *value, *p;

	colon = strchr(call->line, ':');
	if (colon == NULL ||
	    !agb_httpc_is_token(call->line, (size_t)(colon - call->line)))
		return "malformed header line";
	if (call->res.headers_len == AGB_HTTPC_HEADERS_MAX)
		return "too many header lines";
	name = agb_xmemdup(call->line, call->line_len);
	for (p = name; *p != ':'; p++)
		*p = (char)tolower((unsigned char)*p);
	*p = '\0';
	value = p + 1;
	value += strspn(value, " \t");
	for (p = value + strlen(value); p > value && strchr(" \t", p[-1]); p--)
		p[-1] = '\0';
	h = &call->headers[call->res.headers_len++];
	h->name = name;
	h->value = value;
	if (strcmp(name, "content-length") == 0) {
		if (call->has_length || !parse_length(value, &call->remaining))
			return "malformed Content-Length";
		call->has_length = true;
	} else if (strcmp(name, "transfer-encoding") == 0) {
		if (call->chunked || strcasecmp(value, "chunked") != 0)
			return "unsupported Transfer-Encoding";
		call->chunked = true;
	} else if (strcmp(name, "connection") == 0) {
		if (strcasestr(value, "close") != NULL)
			call->keep_alive = false;
	}
	return NULL;
}

static const char *
check_head(struct agb_httpc_call *call)
{
	call->res.headers = call->headers;
	if (call->on_head == NULL || call->on_head(call->arg, &call->res))
		return NULL;
	return "response rejected by its head";
}

static const char *
end_head(struct agb_httpc_call *call)
{
	const int status = call->res.http_status;
	size_t i;

	if (status == 101)
		return "unexpected status 101 (switching protocols)";
	if (status < 200) {
		for (i = 0; i < call->res.headers_len; i++)
			free((char *)call->headers[i].name);
		call->res.headers_len = 0;
		call->res.http_status = 0;
		call->has_length = call->chunked = false;
		call->parse_state = PARSE_STATUS_LINE;
		return NULL;
	}
	if (call->is_head_request || status == 204 || status == 304) {
		call->parse_state = PARSE_COMPLETE;
		return check_head(call);
	}
	/* A response with both may be an attempt at response splitting or
	 * request smuggling (RFC 9112, section 6.1). */
	if (call->chunked == call->has_length)
		return call->chunked
		    ? "both Content-Length and Transfer-Encoding"
		    : "neither Content-Length nor Transfer-Encoding";
	if (call->on_chunk == NULL && call->has_length &&
	    call->remaining > call->body_max)
		return agb_httpc_body_too_large;
	if (call->chunked)
		call->parse_state = PARSE_CHUNK_SIZE;
	else
		call->parse_state =
		    call->remaining > 0 ? PARSE_BODY : PARSE_COMPLETE;
	return check_head(call);
}

static const char *
parse_chunk_size(struct agb_httpc_call *call)
{
	char *end;

	if (!isxdigit((unsigned char)call->line[0]))
		return "malformed chunk";
	errno = 0;
	call->remaining = strtoull(call->line, &end, 16);
	if (errno != 0 || strchr("; \t", *end) == NULL)
		return "malformed chunk";
	call->parse_state =
	    call->remaining > 0 ? PARSE_CHUNK_DATA : PARSE_TRAILER;
	return NULL;
}

static const char *
parse_line(struct agb_httpc_call *call)
{
	switch (call->parse_state) {
	case PARSE_STATUS_LINE:
		return parse_status_line(call);
	case PARSE_HEADER:
		return call->line_len > 0 ? parse_header_line(call)
					  : end_head(call);
	case PARSE_CHUNK_SIZE:
		return parse_chunk_size(call);
	case PARSE_CHUNK_END:
		call->parse_state = PARSE_CHUNK_SIZE;
		return call->line_len > 0 ? "malformed chunk" : NULL;
	case PARSE_TRAILER:
		if (call->line_len == 0)
			call->parse_state = PARSE_COMPLETE;
		return NULL;
	default:
		return "malformed response";
	}
}

/* Collects the bytes of a line and parses the line when it is complete; *@used
 * is set to the number of bytes consumed. */
static const char *
read_line(
    struct agb_httpc_call *call, const char *data, size_t len, size_t *used)
{
	const char *const nl = memchr(data, '\n', len);
	const char *error;
	size_t i;

	*used = nl != NULL ? (size_t)(nl - data) + 1 : len;
	if (call->parse_state != PARSE_CHUNK_SIZE &&
	    call->parse_state != PARSE_CHUNK_END)
		call->head_bytes += *used;
	if (call->line_len + *used > LINE_BYTES_MAX ||
	    call->head_bytes > HEAD_BYTES_MAX)
		return "response head or line too long";
	if (call->line_len + *used + 1 > call->line_cap) {
		call->line_cap = (call->line_len + *used + 1) * 2;
		call->line = agb_xreallocarray(call->line, call->line_cap, 1);
	}
	memcpy(call->line + call->line_len, data, *used);
	call->line_len += *used;
	if (nl == NULL)
		return NULL;
	if (call->line_len < 2 || call->line[call->line_len - 2] != '\r')
		return "line is not terminated by CRLF";
	call->line_len -= 2;
	call->line[call->line_len] = '\0';
	for (i = 0; i < call->line_len; i++) {
		if (((unsigned char)call->line[i] < ' ' &&
			call->line[i] != '\t') ||
		    call->line[i] == 0x7f)
			return "control character in a header or chunk line";
	}
	error = parse_line(call);
	call->line_len = 0;
	return error;
}

const char *
agb_httpc_parse_response(
    struct agb_httpc_call *call, const char *data, size_t len, size_t *used)
{
	const char *error = NULL;
	size_t n;

	*used = 0;
	while (*used < len && call->parse_state != PARSE_COMPLETE &&
	    error == NULL && !call->cancelled) {
		n = len - *used;
		if (call->parse_state != PARSE_BODY &&
		    call->parse_state != PARSE_CHUNK_DATA) {
			error = read_line(call, data + *used, n, &n);
			*used += n;
			continue;
		}
		if (n > call->remaining)
			n = (size_t)call->remaining;
		error = deliver_body(call, data + *used, n);
		call->remaining -= n;
		*used += n;
		if (call->remaining == 0)
			call->parse_state =
			    call->parse_state == PARSE_CHUNK_DATA
			    ? PARSE_CHUNK_END
			    : PARSE_COMPLETE;
	}
	return error;
}

#include <string.h>
#include <strings.h>

#include "edge_parse.h"

/* Prevents an overflow of 64 bits; lengths of this size exceed every body
 * limit. */
#define BODY_LEN_DIGITS_MAX 15

struct header_line {
	const char *p;
	size_t len;
};

static bool
is_token_char(char c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
	    (c >= 'A' && c <= 'Z') ||
	    (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_token(const char *p, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (!is_token_char(p[i]))
			return false;
	}
	return len > 0;
}

static bool
request_line_valid(const struct header_line *l, bool *http10)
{
	static const char v10[] = " HTTP/1.0";
	static const char v11[] = " HTTP/1.1";
	const size_t vlen = sizeof(v11) - 1;
	const char *sp, *target;
	size_t target_len, i;

	sp = memchr(l->p, ' ', l->len);
	if (sp == NULL || !is_token(l->p, (size_t)(sp - l->p)))
		return false;
	target = sp + 1;
	if ((size_t)(l->p + l->len - target) <= vlen)
		return false;
	target_len = (size_t)(l->p + l->len - target) - vlen;
	*http10 = memcmp(target + target_len, v10, vlen) == 0;
	if (!*http10 && memcmp(target + target_len, v11, vlen) != 0)
		return false;
	for (i = 0; i < target_len; i++) {
		if (target[i] <= ' ' || target[i] >= 0x7f)
			return false;
	}
	return target[0] == '/' || (target_len == 1 && target[0] == '*');
}

static bool
parse_length(const char *p, size_t len, uint64_t *out)
{
	size_t i;

	if (len == 0 || len > BODY_LEN_DIGITS_MAX)
		return false;
	*out = 0;
	for (i = 0; i < len; i++) {
		if (p[i] < '0' || p[i] > '9')
			return false;
		*out = *out * 10 + (uint64_t)(p[i] - '0');
	}
	return true;
}

static bool
name_equals(const struct header_line *l, size_t name_len, const char *want)
{
	return name_len == strlen(want) &&
	    strncasecmp(l->p, want, name_len) == 0;
}

/* Parses a header line and counts the headers that may occur only once. */
static bool
parse_header_line(const struct header_line *l, struct agb_edge_head *out,
    unsigned *lengths, unsigned *codings, unsigned *hosts)
{
	const char *colon, *v;
	size_t name_len, len, i;

	colon = memchr(l->p, ':', l->len);
	if (colon == NULL)
		return false;
	name_len = (size_t)(colon - l->p);
	if (!is_token(l->p, name_len))
		return false;
	v = colon + 1;
	len = l->len - name_len - 1;
	for (i = 0; i < len; i++) {
		if (((unsigned char)v[i] < ' ' && v[i] != '\t') || v[i] == 0x7f)
			return false;
	}
	while (len > 0 && (*v == ' ' || *v == '\t')) {
		v++;
		len--;
	}
	while (len > 0 && (v[len - 1] == ' ' || v[len - 1] == '\t'))
		len--;
	if (name_equals(l, name_len, "content-length")) {
		(*lengths)++;
		return parse_length(v, len, &out->body_len);
	}
	if (name_equals(l, name_len, "transfer-encoding")) {
		(*codings)++;
		out->chunked = true;
		return len == 7 && strncasecmp(v, "chunked", 7) == 0;
	}
	if (name_equals(l, name_len, "host"))
		(*hosts)++;
	return true;
}

static enum agb_edge_head_state
check_lines(const char *p, size_t len, struct agb_edge_head *out)
{
	const char *const end = p + len;
	unsigned lengths, codings, hosts;
	struct header_line l;
	const char *nl;
	bool http10, first;

	lengths = codings = hosts = 0;
	http10 = false;
	first = true;
	while (p < end) {
		nl = memchr(p, '\n', (size_t)(end - p));
		if (nl == NULL || nl == p || nl[-1] != '\r')
			return AGB_HEAD_MALFORMED;
		l = (struct header_line){p, (size_t)(nl - p) - 1};
		if (l.len == 0)
			break;
		if (memchr(l.p, '\r', l.len) != NULL)
			return AGB_HEAD_MALFORMED;
		if (first ? !request_line_valid(&l, &http10)
			  : !parse_header_line(
				&l, out, &lengths, &codings, &hosts))
			return AGB_HEAD_MALFORMED;
		first = false;
		p = nl + 1;
	}
	if (first || lengths + codings > 1 || hosts > 1 ||
	    (http10 && codings > 0) || (!http10 && hosts == 0))
		return AGB_HEAD_MALFORMED;
	return AGB_HEAD_COMPLETE;
}

enum agb_edge_head_state
agb_edge_head_check(
    const char *buf, size_t len, size_t max, struct agb_edge_head *out)
{
	static const char preface[] = "PRI * HTTP/2.0\r\n";
	const size_t preface_len = sizeof(preface) - 1;
	const char *end;
	size_t skip;

	memset(out, 0, sizeof(*out));
	if (len >= preface_len && memcmp(buf, preface, preface_len) == 0)
		return AGB_HEAD_HTTP2;
	/* Some clients send an empty line after the body of a request. */
	skip = len >= 2 && memcmp(buf, "\r\n", 2) == 0 ? 2 : 0;
	end = memmem(buf + skip, len - skip, "\r\n\r\n", 4);
	if (end != NULL)
		out->len = (size_t)(end - buf) + 4;
	if (out->len > max || (end == NULL && len > max))
		return AGB_HEAD_TOO_LONG;
	if (end != NULL)
		return check_lines(buf + skip, out->len - skip, out);
	/* The head of a client that sends bare line feeds would never be
	 * complete. */
	if (memmem(buf + skip, len - skip, "\n\n", 2) != NULL)
		return AGB_HEAD_MALFORMED;
	return AGB_HEAD_PARTIAL;
}

#include "jsonc_scan.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "jsonc.h"
#include "mem.h"

/*
 * struct scan - state of one scan
 * @at: next byte
 * @line: line of @at, from 1
 * @wire: comments are refused
 * @strict: the text as overwritten so far is strict JSON
 * @stop: the structure is lost; nothing more can be told
 */
struct scan {
	char *text;
	size_t len;
	size_t at;
	uint32_t line;
	bool wire;
	bool strict;
	bool stop;
	struct agb_jsonc_lines *lines;
	struct agb_findings *findings;
	size_t path_len;
	char path[96];
};

uint64_t
agb_jsonc_hash_key(uint64_t parent, const char *key, size_t len)
{
	return XXH64(key, len, parent);
}

uint64_t
agb_jsonc_hash_index(uint64_t parent, size_t index)
{
	/* A NUL cannot stand in a key, so that no key has this hash. */
	const uint64_t item[2] = {0, index};

	return XXH64(item, sizeof(item), parent);
}

static struct agb_jsonc_line *
lines_place(const struct agb_jsonc_lines *lines, uint64_t hash)
{
	size_t i = hash & (lines->cap - 1);

	while (lines->items[i].line != 0 && lines->items[i].hash != hash)
		i = (i + 1) & (lines->cap - 1);
	return &lines->items[i];
}

uint32_t
agb_jsonc_lines_get(const struct agb_jsonc_lines *lines, uint64_t hash)
{
	return lines->cap > 0 ? lines_place(lines, hash)->line : 0;
}

/* Returns the line noted before, or 0 when the value is new. */
static uint32_t
lines_add(struct agb_jsonc_lines *lines, uint64_t hash, uint32_t line)
{
	struct agb_jsonc_lines old = *lines;
	struct agb_jsonc_line *it;
	size_t i;

	if (lines->len * 2 >= lines->cap) {
		lines->cap = old.cap > 0 ? old.cap * 2 : 64;
		lines->items = agb_xcalloc(lines->cap, sizeof(*it));
		for (i = 0; i < old.cap; i++) {
			if (old.items[i].line != 0)
				*lines_place(lines, old.items[i].hash) =
				    old.items[i];
		}
		free(old.items);
	}
	it = lines_place(lines, hash);
	if (it->line != 0)
		return it->line;
	it->hash = hash;
	it->line = line;
	lines->len++;
	return 0;
}

static void
report(struct scan *s, uint32_t line, const char *text)
{
	char place[128];

	snprintf(place, sizeof(place), "line %u%s%s", line,
	    s->path_len > 0 ? " " : "", s->path);
	agb_findings_add(s->findings, AGB_FINDING_ERROR, place, "%s", text);
}

/* Reports a fault after which the text is not strict JSON any more. */
static void
fault(struct scan *s, const char *text)
{
	s->strict = false;
	report(s, s->line, text);
}

/* Reports a fault after which nothing more can be told. */
static void
lost(struct scan *s, const char *text)
{
	if (!s->stop)
		fault(s, text);
	s->stop = true;
}

static void
path_push(struct scan *s, const char *token, size_t len)
{
	size_t n = s->path_len;
	size_t i;

	if (n + 1 < sizeof(s->path))
		s->path[n++] = '/';
	for (i = 0; i < len && n + 2 < sizeof(s->path); i++) {
		if (token[i] == '~' || token[i] == '/') {
			s->path[n++] = '~';
			s->path[n++] = token[i] == '~' ? '0' : '1';
		} else {
			agb_jsonc_excerpt(&s->path[n++], 2, &token[i], 1);
		}
	}
	s->path[n] = '\0';
	s->path_len = n;
}

static void
path_pop(struct scan *s, size_t len)
{
	s->path_len = len;
	s->path[len] = '\0';
}

static int
peek(const struct scan *s)
{
	return s->at < s->len ? (unsigned char)s->text[s->at] : -1;
}

static void
blank(struct scan *s, size_t from, size_t to)
{
	for (; from < to; from++) {
		if (s->text[from] != '\n')
			s->text[from] = ' ';
	}
}

static void
skip_comment(struct scan *s)
{
	const size_t from = s->at;
	const uint32_t line = s->line;
	const bool block = s->text[s->at + 1] == '*';

	for (s->at += 2; s->at < s->len; s->at++) {
		if (!block && s->text[s->at] == '\n')
			break;
		if (block && s->text[s->at] == '*' &&
		    s->text[s->at + 1] == '/') {
			s->at += 2;
			blank(s, from, s->at);
			return;
		}
		if (s->text[s->at] == '\n')
			s->line++;
	}
	blank(s, from, s->at);
	if (block) {
		s->line = line;
		lost(s, "comment has no end; expected */");
	}
}

static void
skip_space(struct scan *s)
{
	for (; s->at < s->len; s->at++) {
		switch (s->text[s->at]) {
		case '\n':
			s->line++;
			break;
		case ' ':
		case '\t':
		case '\r':
			break;
		case '/':
			if (s->wire ||
			    (s->text[s->at + 1] != '/' &&
				s->text[s->at + 1] != '*'))
				return;
			skip_comment(s);
			s->at--;
			break;
		default:
			return;
		}
	}
}

/* Length of the UTF-8 character at @p, or 0 when it is not valid. */
static size_t
utf8_len(const unsigned char *p, size_t left)
{
	uint32_t c;
	size_t n, i;

	if (p[0] < 0x80)
		return 1;
	if (p[0] >= 0xc2 && p[0] < 0xe0)
		n = 2;
	else if (p[0] >= 0xe0 && p[0] < 0xf0)
		n = 3;
	else if (p[0] >= 0xf0 && p[0] < 0xf5)
		n = 4;
	else
		return 0;
	if (n > left)
		return 0;
	c = p[0] & (0xffu >> (n + 1));
	for (i = 1; i < n; i++) {
		if ((p[i] & 0xc0) != 0x80)
			return 0;
		c = c << 6 | (p[i] & 0x3fu);
	}
	if (n == 3 && (c < 0x800 || (c >= 0xd800 && c < 0xe000)))
		return 0;
	if (n == 4 && (c < 0x10000 || c > 0x10ffff))
		return 0;
	return n;
}

static int
hex4(const struct scan *s, size_t at)
{
	int c, v = 0;
	size_t i;

	for (i = 0; i < 4; i++) {
		c = at + i < s->len ? s->text[at + i] : 0;
		if (c >= '0' && c <= '9')
			v = v * 16 + c - '0';
		else if (c >= 'a' && c <= 'f')
			v = v * 16 + c - 'a' + 10;
		else if (c >= 'A' && c <= 'F')
			v = v * 16 + c - 'A' + 10;
		else
			return -1;
	}
	return v;
}

static size_t
utf8_put(char *out, int c)
{
	size_t n = 0;

	if (c < 0x80) {
		out[n++] = (char)c;
		return n;
	}
	if (c < 0x800) {
		out[n++] = (char)(0xc0 | c >> 6);
	} else {
		if (c < 0x10000) {
			out[n++] = (char)(0xe0 | c >> 12);
		} else {
			out[n++] = (char)(0xf0 | c >> 18);
			out[n++] = (char)(0x80 | (c >> 12 & 0x3f));
		}
		out[n++] = (char)(0x80 | (c >> 6 & 0x3f));
	}
	out[n++] = (char)(0x80 | (c & 0x3f));
	return n;
}

/*
 * Reads the escape at @at into @out, where it takes at most 4 bytes. A bad
 * one is reported and read as '?'. Values from the wire may have NULs and
 * halves of surrogate pairs, so that one odd result does not make all of a
 * worker's answer unreadable. Keys may not: json-c cuts them at a NUL and
 * reads each half as U+FFFD, and would merge keys that differ.
 */
static size_t
scan_escape(struct scan *s, bool key, char *out)
{
	static const char from[] = "\"\\/bfnrt";
	static const char to[] = "\"\\/\b\f\n\r\t";
	const bool lax = s->wire && !key;
	const char *p;
	int c, low;

	s->at++;
	c = peek(s);
	out[0] = '?';
	if (c > 0 && (p = strchr(from, c)) != NULL) {
		out[0] = to[p - from];
		s->at++;
		return 1;
	}
	if (c != 'u') {
		fault(s, "unknown escape in a string");
		return 1;
	}
	s->at++;
	c = hex4(s, s->at);
	if (c < 0) {
		fault(s, "\\u needs four hexadecimal digits");
		return 1;
	}
	s->at += 4;
	if (c == 0 && !lax) {
		fault(s, "\\u0000 is not allowed in a string");
		return 1;
	}
	if (c < 0xd800 || c >= 0xe000)
		return utf8_put(out, c);
	low = s->at + 1 < s->len && s->text[s->at] == '\\' &&
		s->text[s->at + 1] == 'u'
	    ? hex4(s, s->at + 2)
	    : -1;
	if (c >= 0xdc00 || low < 0xdc00 || low >= 0xe000) {
		if (lax)
			return utf8_put(out, 0xfffd);
		fault(s, "\\u escape is half of a surrogate pair");
		return 1;
	}
	s->at += 6;
	return utf8_put(out, 0x10000 + ((c - 0xd800) << 10) + (low - 0xdc00));
}

/*
 * Scans the string at @at. With @out, sets it to a new string of the decoded
 * bytes; their number is returned.
 */
static size_t
scan_string(struct scan *s, char **out)
{
	const char quote = s->text[s->at];
	const uint32_t line = s->line;
	char buf[4];
	size_t n, len = 0, cap = 32;
	char *dst = NULL;
	int c;

	if (out != NULL)
		dst = agb_xcalloc(cap, 1);
	if (quote == '\'')
		fault(s, "single quotes; strings take double quotes");
	s->at++;
	for (;;) {
		c = peek(s);
		if (c < 0 || c == '\n') {
			s->line = line;
			lost(s, "string has no end");
			break;
		}
		if (c == quote) {
			s->at++;
			break;
		}
		if (c == '\\') {
			n = scan_escape(s, out != NULL, buf);
		} else if (c < 0x20) {
			fault(s, "control character in a string");
			buf[0] = '?';
			n = 1;
			s->at++;
		} else {
			n = utf8_len((const unsigned char *)s->text + s->at,
			    s->len - s->at);
			if (n == 0) {
				report(s, s->line, "invalid UTF-8");
				s->text[s->at] = '?';
				n = 1;
			}
			memcpy(buf, s->text + s->at, n);
			s->at += n;
		}
		if (out == NULL)
			continue;
		if (len + n > cap) {
			cap *= 2;
			dst = agb_xreallocarray(dst, cap, 1);
		}
		memcpy(dst + len, buf, n);
		len += n;
	}
	if (out != NULL)
		*out = dst;
	return len;
}

static size_t
skip_digits(struct scan *s)
{
	const size_t from = s->at;

	while (s->at < s->len && s->text[s->at] >= '0' && s->text[s->at] <= '9')
		s->at++;
	return s->at - from;
}

/* Overwrites a number that was reported, so that the text is strict JSON. */
static void
mend_number(struct scan *s, size_t from, const char *with)
{
	blank(s, from, s->at);
	memcpy(s->text + from, with, strlen(with));
}

/*
 * Reports what no number of JSON may hold; mends leading zeros, and numbers
 * that are too large to the largest that is not.
 */
static void
scan_number(struct scan *s)
{
	bool whole = true;
	size_t from, digits, zeros;
	long long v;
	double d;

	if (peek(s) == '+') {
		fault(s, "number with a plus sign");
		s->at++;
	}
	from = s->at;
	if (peek(s) == '-')
		s->at++;
	if (peek(s) == 'N' || peek(s) == 'I') {
		lost(s, "NaN and Infinity are not allowed");
		return;
	}
	digits = s->at;
	if (skip_digits(s) == 0) {
		lost(s, "number without digits before its point");
		return;
	}
	for (zeros = 0;
	     digits + zeros + 1 < s->at && s->text[digits + zeros] == '0';)
		zeros++;
	if (zeros > 0) {
		report(s, s->line, "number with leading zeros");
		if (digits > from)
			s->text[digits + zeros - 1] = '-';
		blank(s, from, digits + zeros - (digits > from));
		from = digits + zeros - (digits > from);
	}
	if (peek(s) == '.') {
		whole = false;
		s->at++;
		if (skip_digits(s) == 0)
			fault(s, "number without digits after its point");
	}
	if (peek(s) == 'e' || peek(s) == 'E') {
		whole = false;
		s->at++;
		if (peek(s) == '+' || peek(s) == '-')
			s->at++;
		if (skip_digits(s) == 0)
			fault(s, "number without digits in its exponent");
	}
	errno = 0;
	if (whole) {
		v = strtoll(s->text + from, NULL, 10);
		if (errno == ERANGE) {
			report(s, s->line, "integer is larger than 64 bits");
			mend_number(s, from,
			    v < 0 ? "-9223372036854775808"
				  : "9223372036854775807");
		}
		return;
	}
	/* json-c keeps the digits of a caller's number as they were given. */
	if (s->wire)
		return;
	d = strtod(s->text + from, NULL);
	if (isinf(d)) {
		report(s, s->line, "number is larger than a double can hold");
		mend_number(s, from, d < 0 ? "-1e308" : "1e308");
	}
}

static bool
is_word(int c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	    (c >= '0' && c <= '9') || c == '_' || c == '-';
}

static void
scan_word(struct scan *s)
{
	static const char *const words[] = {"true", "false", "null"};
	const size_t from = s->at;
	size_t i;

	while (is_word(peek(s)))
		s->at++;
	for (i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
		if (s->at - from == strlen(words[i]) &&
		    memcmp(s->text + from, words[i], s->at - from) == 0)
			return;
	}
	if (strncmp(s->text + from, "NaN", 3) == 0 ||
	    strncmp(s->text + from, "Inf", 3) == 0) {
		fault(s, "NaN and Infinity are not allowed");
		return;
	}
	fault(s, "unknown word; strings take double quotes");
}

static void scan_value(struct scan *s, uint64_t hash, unsigned depth);

/*
 * Takes the comma or the end of an object or array. Returns false at its
 * end, or when the structure is lost.
 */
static bool
scan_next(struct scan *s, char end, const char *expected)
{
	uint32_t line;
	size_t comma;

	skip_space(s);
	if (s->stop)
		return false;
	if (peek(s) == end) {
		s->at++;
		return false;
	}
	if (peek(s) != ',') {
		lost(s, expected);
		return false;
	}
	line = s->line;
	comma = s->at++;
	skip_space(s);
	if (peek(s) != end)
		return !s->stop;
	report(s, line, "trailing comma");
	s->text[comma] = ' ';
	s->at++;
	return false;
}

static void
scan_member(struct scan *s, uint64_t parent, unsigned depth)
{
	const size_t path_len = s->path_len;
	const uint32_t line = s->line;
	uint64_t hash;
	uint32_t first;
	size_t len;
	char *key = NULL;
	char text[64];

	if (peek(s) != '"' && peek(s) != '\'') {
		lost(s, "expected a key in double quotes");
		return;
	}
	len = scan_string(s, &key);
	hash = agb_jsonc_hash_key(parent, key, len);
	path_push(s, key, len);
	free(key);
	first = lines_add(s->lines, hash, line);
	if (first != 0) {
		snprintf(text, sizeof(text),
		    "duplicate key; first given on line %u", first);
		report(s, line, text);
	}
	skip_space(s);
	if (peek(s) == ':') {
		s->at++;
		scan_value(s, hash, depth);
	} else {
		lost(s, "expected a colon after the key");
	}
	path_pop(s, path_len);
}

static void
scan_object(struct scan *s, uint64_t hash, unsigned depth)
{
	s->at++;
	skip_space(s);
	if (peek(s) == '}') {
		s->at++;
		return;
	}
	do {
		scan_member(s, hash, depth);
	} while (scan_next(s, '}', "expected a comma or }"));
}

static void
scan_array(struct scan *s, uint64_t hash, unsigned depth)
{
	const size_t path_len = s->path_len;
	char token[24];
	uint64_t item;
	size_t i = 0;
	int n;

	s->at++;
	skip_space(s);
	if (peek(s) == ']') {
		s->at++;
		return;
	}
	do {
		item = agb_jsonc_hash_index(hash, i);
		n = snprintf(token, sizeof(token), "%zu", i++);
		path_push(s, token, (size_t)n);
		if (!s->wire)
			lines_add(s->lines, item, s->line);
		scan_value(s, item, depth);
		path_pop(s, path_len);
	} while (scan_next(s, ']', "expected a comma or ]"));
}

static void
scan_value(struct scan *s, uint64_t hash, unsigned depth)
{
	const unsigned depth_max =
	    s->wire ? AGB_JSONC_WIRE_DEPTH_MAX : AGB_JSONC_DEPTH_MAX;
	int c;

	skip_space(s);
	if (s->stop)
		return;
	c = peek(s);
	if ((c == '{' || c == '[') && depth == depth_max) {
		lost(s, "nested too deeply");
		return;
	}
	if (c == '{')
		scan_object(s, hash, depth + 1);
	else if (c == '[')
		scan_array(s, hash, depth + 1);
	else if (c == '"' || c == '\'')
		scan_string(s, NULL);
	else if (c == '-' || c == '+' || c == '.' || (c >= '0' && c <= '9'))
		scan_number(s);
	else if (is_word(c))
		scan_word(s);
	else
		lost(s,
		    c < 0 ? "text ends where a value is expected"
			  : "expected a value");
}

bool
agb_jsonc_scan(char *text, size_t len, bool wire, struct agb_jsonc_lines *lines,
    struct agb_findings *findings)
{
	struct scan s = {
	    .text = text,
	    .len = len,
	    .line = 1,
	    .wire = wire,
	    .strict = true,
	    .lines = lines,
	    .findings = findings,
	};

	if (len >= 3 && memcmp(text, "\xef\xbb\xbf", 3) == 0) {
		report(&s, 1, "text starts with a byte order mark");
		blank(&s, 0, 3);
	}
	scan_value(&s, lines->seed, 0);
	skip_space(&s);
	if (!s.stop && s.at < s.len)
		lost(&s, "text goes on after the end of the document");
	return s.strict;
}

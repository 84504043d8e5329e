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
 * struct scanner - state of one scan
 * @pos: index of the next byte
 * @line: line of @pos, counted from 1
 * @wire: the text comes from another process, see agb_jsonc_scan()
 * @strict: the text, as overwritten so far, is strict JSON
 * @aborted: an error made the structure ambiguous; scanning has ended
 * @path: JSON pointer of the current value, truncated when too long
 */
struct scanner {
	char *text;
	size_t len;
	size_t pos;
	uint32_t line;
	bool wire;
	bool strict;
	bool aborted;
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
	/* Keys contain no NUL, so that no key is hashed from these bytes. */
	const uint64_t item[2] = {0, index};

	return XXH64(item, sizeof(item), parent);
}

static struct agb_jsonc_line *
find_slot(const struct agb_jsonc_lines *lines, uint64_t hash)
{
	size_t i = hash & (lines->cap - 1);

	while (lines->items[i].line != 0 && lines->items[i].hash != hash)
		i = (i + 1) & (lines->cap - 1);
	return &lines->items[i];
}

uint32_t
agb_jsonc_lines_get(const struct agb_jsonc_lines *lines, uint64_t hash)
{
	return lines->cap > 0 ? find_slot(lines, hash)->line : 0;
}

/* Records the line of a value. Returns 0, or the line that was recorded for
 * the value before and is kept. */
static uint32_t
add_line(struct agb_jsonc_lines *lines, uint64_t hash, uint32_t line)
{
	struct agb_jsonc_lines old = *lines;
	struct agb_jsonc_line *it;
	size_t i;

	if (lines->len * 2 >= lines->cap) {
		lines->cap = old.cap > 0 ? old.cap * 2 : 64;
		lines->items = agb_xcalloc(lines->cap, sizeof(*it));
		for (i = 0; i < old.cap; i++) {
			if (old.items[i].line != 0)
				*find_slot(lines, old.items[i].hash) =
				    old.items[i];
		}
		free(old.items);
	}
	it = find_slot(lines, hash);
	if (it->line != 0)
		return it->line;
	it->hash = hash;
	it->line = line;
	lines->len++;
	return 0;
}

static void
report(struct scanner *s, uint32_t line, const char *text)
{
	char location[128];

	snprintf(location, sizeof(location), "line %u%s%s", line,
	    s->path_len > 0 ? " " : "", s->path);
	agb_findings_add(s->findings, AGB_FINDING_ERROR, location, "%s", text);
}

/* Reports an error that is not corrected, so that the text is not strict. */
static void
report_syntax_error(struct scanner *s, const char *text)
{
	s->strict = false;
	report(s, s->line, text);
}

/* Ends the scan, and reports an error that makes the structure ambiguous. */
static void
abort_scan(struct scanner *s, const char *text)
{
	if (!s->aborted)
		report_syntax_error(s, text);
	s->aborted = true;
}

static void
path_push(struct scanner *s, const char *token, size_t len)
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
			agb_jsonc_copy_printable(
			    &s->path[n++], 2, &token[i], 1);
		}
	}
	s->path[n] = '\0';
	s->path_len = n;
}

static void
path_pop(struct scanner *s, size_t len)
{
	s->path_len = len;
	s->path[len] = '\0';
}

static int
peek(const struct scanner *s)
{
	return s->pos < s->len ? (unsigned char)s->text[s->pos] : -1;
}

static void
blank_out(struct scanner *s, size_t from, size_t to)
{
	for (; from < to; from++) {
		if (s->text[from] != '\n')
			s->text[from] = ' ';
	}
}

static void
skip_comment(struct scanner *s)
{
	const size_t from = s->pos;
	const uint32_t line = s->line;
	const bool block = s->text[s->pos + 1] == '*';

	for (s->pos += 2; s->pos < s->len; s->pos++) {
		if (!block && s->text[s->pos] == '\n')
			break;
		if (block && s->text[s->pos] == '*' &&
		    s->text[s->pos + 1] == '/') {
			s->pos += 2;
			blank_out(s, from, s->pos);
			return;
		}
		if (s->text[s->pos] == '\n')
			s->line++;
	}
	blank_out(s, from, s->pos);
	if (block) {
		s->line = line;
		abort_scan(s, "comment has no end; expected */");
	}
}

static void
skip_space(struct scanner *s)
{
	for (; s->pos < s->len; s->pos++) {
		switch (s->text[s->pos]) {
		case '\n':
			s->line++;
			break;
		case ' ':
		case '\t':
		case '\r':
			break;
		case '/':
			if (s->wire ||
			    (s->text[s->pos + 1] != '/' &&
				s->text[s->pos + 1] != '*'))
				return;
			skip_comment(s);
			s->pos--;
			break;
		default:
			return;
		}
	}
}

/* Length in bytes of the UTF-8 character at @p, or 0 when it is invalid. */
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
hex4(const struct scanner *s, size_t at)
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
 * Decodes the escape sequence at @pos into @out, which gets at most 4 bytes.
 * An invalid one is reported and decoded as '?'. Values from the wire may
 * contain NULs and unpaired surrogates, so that one unusual result does not
 * make a worker's whole answer unreadable. Keys may not: json-c truncates them
 * at a NUL and replaces each unpaired surrogate with U+FFFD, which would merge
 * different keys.
 */
static size_t
scan_escape(struct scanner *s, bool key, char *out)
{
	static const char from[] = "\"\\/bfnrt";
	static const char to[] = "\"\\/\b\f\n\r\t";
	const bool lenient = s->wire && !key;
	const char *p;
	int c, low;

	s->pos++;
	c = peek(s);
	out[0] = '?';
	if (c > 0 && (p = strchr(from, c)) != NULL) {
		out[0] = to[p - from];
		s->pos++;
		return 1;
	}
	if (c != 'u') {
		report_syntax_error(s, "unknown escape in a string");
		return 1;
	}
	s->pos++;
	c = hex4(s, s->pos);
	if (c < 0) {
		report_syntax_error(s, "\\u needs four hexadecimal digits");
		return 1;
	}
	s->pos += 4;
	if (c == 0 && !lenient) {
		report_syntax_error(s, "\\u0000 is not allowed in a string");
		return 1;
	}
	if (c < 0xd800 || c >= 0xe000)
		return utf8_put(out, c);
	low = s->pos + 1 < s->len && s->text[s->pos] == '\\' &&
		s->text[s->pos + 1] == 'u'
	    ? hex4(s, s->pos + 2)
	    : -1;
	if (c >= 0xdc00 || low < 0xdc00 || low >= 0xe000) {
		if (lenient)
			return utf8_put(out, 0xfffd);
		report_syntax_error(
		    s, "\\u escape is half of a surrogate pair");
		return 1;
	}
	s->pos += 6;
	return utf8_put(out, 0x10000 + ((c - 0xd800) << 10) + (low - 0xdc00));
}

/*
 * Scans the string at @pos. When @out is not NULL, sets it to a new buffer
 * with the decoded bytes and returns their number.
 */
static size_t
scan_string(struct scanner *s, char **out)
{
	const char quote = s->text[s->pos];
	const uint32_t line = s->line;
	char buf[4];
	size_t n, len = 0, cap = 32;
	char *dst = NULL;
	int c;

	if (out != NULL)
		dst = agb_xcalloc(cap, 1);
	if (quote == '\'')
		report_syntax_error(
		    s, "single quotes; strings take double quotes");
	s->pos++;
	for (;;) {
		c = peek(s);
		if (c < 0 || c == '\n') {
			s->line = line;
			abort_scan(s, "string has no end");
			break;
		}
		if (c == quote) {
			s->pos++;
			break;
		}
		if (c == '\\') {
			n = scan_escape(s, out != NULL, buf);
		} else if (c < 0x20) {
			report_syntax_error(s, "control character in a string");
			buf[0] = '?';
			n = 1;
			s->pos++;
		} else {
			n = utf8_len((const unsigned char *)s->text + s->pos,
			    s->len - s->pos);
			if (n == 0) {
				report(s, s->line, "invalid UTF-8");
				s->text[s->pos] = '?';
				n = 1;
			}
			memcpy(buf, s->text + s->pos, n);
			s->pos += n;
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
skip_digits(struct scanner *s)
{
	const size_t from = s->pos;

	while (
	    s->pos < s->len && s->text[s->pos] >= '0' && s->text[s->pos] <= '9')
		s->pos++;
	return s->pos - from;
}

/* Replaces the number that starts at @from, so that the text is strict JSON. */
static void
replace_number(struct scanner *s, size_t from, const char *with)
{
	blank_out(s, from, s->pos);
	memcpy(s->text + from, with, strlen(with));
}

/*
 * Scans a number and reports what JSON does not allow. Leading zeros are
 * removed, and numbers out of range are replaced with the nearest allowed one.
 */
static void
scan_number(struct scanner *s)
{
	bool is_integer = true;
	size_t from, digits, zeros;
	long long v;
	double d;

	if (peek(s) == '+') {
		report_syntax_error(s, "number with a plus sign");
		s->pos++;
	}
	from = s->pos;
	if (peek(s) == '-')
		s->pos++;
	if (peek(s) == 'N' || peek(s) == 'I') {
		abort_scan(s, "NaN and Infinity are not allowed");
		return;
	}
	digits = s->pos;
	if (skip_digits(s) == 0) {
		abort_scan(s, "number without digits before its point");
		return;
	}
	for (zeros = 0;
	     digits + zeros + 1 < s->pos && s->text[digits + zeros] == '0';)
		zeros++;
	if (zeros > 0) {
		report(s, s->line, "number with leading zeros");
		if (digits > from)
			s->text[digits + zeros - 1] = '-';
		blank_out(s, from, digits + zeros - (digits > from));
		from = digits + zeros - (digits > from);
	}
	if (peek(s) == '.') {
		is_integer = false;
		s->pos++;
		if (skip_digits(s) == 0)
			report_syntax_error(
			    s, "number without digits after its point");
	}
	if (peek(s) == 'e' || peek(s) == 'E') {
		is_integer = false;
		s->pos++;
		if (peek(s) == '+' || peek(s) == '-')
			s->pos++;
		if (skip_digits(s) == 0)
			report_syntax_error(
			    s, "number without digits in its exponent");
	}
	errno = 0;
	if (is_integer) {
		v = strtoll(s->text + from, NULL, 10);
		if (errno == ERANGE) {
			report(s, s->line, "integer is larger than 64 bits");
			replace_number(s, from,
			    v < 0 ? "-9223372036854775808"
				  : "9223372036854775807");
		}
		return;
	}
	/* json-c keeps the digits of numbers from the wire as received. */
	if (s->wire)
		return;
	d = strtod(s->text + from, NULL);
	if (isinf(d)) {
		report(s, s->line, "number is larger than a double can hold");
		replace_number(s, from, d < 0 ? "-1e308" : "1e308");
	}
}

static bool
is_word_char(int c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	    (c >= '0' && c <= '9') || c == '_' || c == '-';
}

static void
scan_literal(struct scanner *s)
{
	static const char *const words[] = {"true", "false", "null"};
	const size_t from = s->pos;
	size_t i;

	while (is_word_char(peek(s)))
		s->pos++;
	for (i = 0; i < sizeof(words) / sizeof(words[0]); i++) {
		if (s->pos - from == strlen(words[i]) &&
		    memcmp(s->text + from, words[i], s->pos - from) == 0)
			return;
	}
	if (strncmp(s->text + from, "NaN", 3) == 0 ||
	    strncmp(s->text + from, "Inf", 3) == 0) {
		report_syntax_error(s, "NaN and Infinity are not allowed");
		return;
	}
	report_syntax_error(s, "unknown word; strings take double quotes");
}

static void scan_value(struct scanner *s, uint64_t hash, unsigned depth);

/*
 * Scans the comma after a member or item, or the end of the object or array.
 * Returns false at the end and when the scan is aborted.
 */
static bool
scan_next(struct scanner *s, char end, const char *expected)
{
	uint32_t line;
	size_t comma;

	skip_space(s);
	if (s->aborted)
		return false;
	if (peek(s) == end) {
		s->pos++;
		return false;
	}
	if (peek(s) != ',') {
		abort_scan(s, expected);
		return false;
	}
	line = s->line;
	comma = s->pos++;
	skip_space(s);
	if (peek(s) != end)
		return !s->aborted;
	report(s, line, "trailing comma");
	s->text[comma] = ' ';
	s->pos++;
	return false;
}

static void
scan_member(struct scanner *s, uint64_t parent, unsigned depth)
{
	const size_t path_len = s->path_len;
	const uint32_t line = s->line;
	uint64_t hash;
	uint32_t first;
	size_t len;
	char *key = NULL;
	char text[64];

	if (peek(s) != '"' && peek(s) != '\'') {
		abort_scan(s, "expected a key in double quotes");
		return;
	}
	len = scan_string(s, &key);
	hash = agb_jsonc_hash_key(parent, key, len);
	path_push(s, key, len);
	free(key);
	first = add_line(s->lines, hash, line);
	if (first != 0) {
		snprintf(text, sizeof(text),
		    "duplicate key; first given on line %u", first);
		report(s, line, text);
	}
	skip_space(s);
	if (peek(s) == ':') {
		s->pos++;
		scan_value(s, hash, depth);
	} else {
		abort_scan(s, "expected a colon after the key");
	}
	path_pop(s, path_len);
}

static void
scan_object(struct scanner *s, uint64_t hash, unsigned depth)
{
	s->pos++;
	skip_space(s);
	if (peek(s) == '}') {
		s->pos++;
		return;
	}
	do {
		scan_member(s, hash, depth);
	} while (scan_next(s, '}', "expected a comma or }"));
}

static void
scan_array(struct scanner *s, uint64_t hash, unsigned depth)
{
	const size_t path_len = s->path_len;
	char token[24];
	uint64_t item;
	size_t i = 0;
	int n;

	s->pos++;
	skip_space(s);
	if (peek(s) == ']') {
		s->pos++;
		return;
	}
	do {
		item = agb_jsonc_hash_index(hash, i);
		n = snprintf(token, sizeof(token), "%zu", i++);
		path_push(s, token, (size_t)n);
		if (!s->wire)
			add_line(s->lines, item, s->line);
		scan_value(s, item, depth);
		path_pop(s, path_len);
	} while (scan_next(s, ']', "expected a comma or ]"));
}

static void
scan_value(struct scanner *s, uint64_t hash, unsigned depth)
{
	const unsigned depth_max =
	    s->wire ? AGB_JSONC_WIRE_DEPTH_MAX : AGB_JSONC_DEPTH_MAX;
	int c;

	skip_space(s);
	if (s->aborted)
		return;
	c = peek(s);
	if ((c == '{' || c == '[') && depth == depth_max) {
		abort_scan(s, "nested too deeply");
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
	else if (is_word_char(c))
		scan_literal(s);
	else
		abort_scan(s,
		    c < 0 ? "text ends where a value is expected"
			  : "expected a value");
}

bool
agb_jsonc_scan(char *text, size_t len, bool wire, struct agb_jsonc_lines *lines,
    struct agb_findings *findings)
{
	struct scanner s = {
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
		blank_out(&s, 0, 3);
	}
	scan_value(&s, lines->seed, 0);
	skip_space(&s);
	if (!s.aborted && s.pos < s.len)
		abort_scan(&s, "text goes on after the end of the document");
	return s.strict;
}

#include "log.h"

#include <errno.h>
#include <inttypes.h>
#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "mem.h"

struct agb_log {
	uv_prepare_t prepare;
	int fd;
	bool json;
	enum agb_log_level level;
	char *buf;
	size_t len, cap;
	uint64_t dropped;
	uint64_t dropped_reported;
};

/* Dropped lines are reported once no more than this is buffered, so that one
 * report covers many of them. */
#define DROP_REPORT_LEN_MAX (AGB_LOG_BUFFER_MAX / 2)

static const char *const level_names[] = {
    [AGB_LOG_DEBUG] = "debug",
    [AGB_LOG_INFO] = "info",
    [AGB_LOG_WARN] = "warn",
    [AGB_LOG_ERROR] = "error",
};

/* Writes a JSON string. Bytes outside ASCII are replaced with '?', because
 * invalid UTF-8 would make the line unreadable to a JSON parser. */
static void
write_json_string(FILE *f, const char *s, size_t len)
{
	size_t i;

	fputc('"', f);
	for (i = 0; i < len; i++) {
		if (s[i] == '"' || s[i] == '\\')
			fprintf(f, "\\%c", s[i]);
		else if ((unsigned char)s[i] < ' ')
			fprintf(f, "\\u%04x", (unsigned)s[i]);
		else
			fputc((unsigned char)s[i] < 0x7f ? s[i] : '?', f);
	}
	fputc('"', f);
}

/*
 * Parses the first field: a key, '=', and a plain or quoted value. The value
 * is set without its quotes.
 * Return: length of the field, 0 when the text does not begin with one.
 */
static size_t
split_field(const char *s, size_t *key_len, const char **val, size_t *val_len)
{
	const char *p;

	*key_len = strcspn(s, "= \"");
	if (*key_len == 0 || s[*key_len] != '=')
		return 0;
	p = s + *key_len + 1;
	if (*p != '"') {
		*val = p;
		*val_len = strcspn(p, " ");
		return (size_t)(p - s) + *val_len;
	}
	*val = ++p;
	while (*p != '\0' && *p != '"')
		p += p[0] == '\\' && p[1] != '\0' ? 2 : 1;
	if (*p != '"')
		return 0;
	*val_len = (size_t)(p - *val);
	return (size_t)(p - s) + 1;
}

/* Returns a copy of a value with its escapes decoded, and updates @len. */
static char *
unescape(const char *s, size_t *len)
{
	char *const out = agb_xcalloc(*len + 1, 1);
	size_t i, n = 0;

	for (i = 0; i < *len; i++) {
		if (s[i] == '\\' && i + 1 < *len)
			i++;
		out[n++] = s[i];
	}
	*len = n;
	return out;
}

static void
write_json_fields(FILE *f, const char *s)
{
	size_t n, key_len, val_len;
	const char *val;
	char *plain;

	for (s += strspn(s, " "); *s != '\0'; s += strspn(s, " ")) {
		n = split_field(s, &key_len, &val, &val_len);
		if (n == 0) {
			fputs(",\"text\":", f);
			write_json_string(f, s, strlen(s));
			return;
		}
		fputc(',', f);
		write_json_string(f, s, key_len);
		fputc(':', f);
		plain = unescape(val, &val_len);
		write_json_string(f, plain, val_len);
		free(plain);
		s += n;
	}
}

/* Control characters are replaced with '?': a newline in a value could
 * otherwise forge a log line. */
static void
write_text_fields(FILE *f, const char *s)
{
	fputs(*s != '\0' ? " " : "", f);
	for (; *s != '\0'; s++)
		fputc((unsigned char)*s < ' ' ? '?' : *s, f);
}

char *
agb_log_format(bool json, int64_t unix_us, enum agb_log_level level,
    const char *event, const char *fields)
{
	const time_t sec = (time_t)(unix_us / 1000000);
	char stamp[32], *line = NULL;
	size_t len;
	struct tm tm;
	FILE *f;

	gmtime_r(&sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	f = open_memstream(&line, &len);
	if (f == NULL)
		abort();
	fprintf(f,
	    json ? "{\"time\":\"%s.%06dZ\",\"level\":\"%s\",\"event\":\"%s\""
		 : "time=%s.%06dZ level=%s event=%s",
	    stamp, (int)(unix_us % 1000000), level_names[level], event);
	if (json) {
		write_json_fields(f, fields);
		fputc('}', f);
	} else {
		write_text_fields(f, fields);
	}
	fputc('\n', f);
	if (fclose(f) != 0)
		abort();
	return line;
}

static bool
append_line(struct agb_log *l, enum agb_log_level level, const char *event,
    const char *fields)
{
	struct timespec now;
	char *line;
	size_t n;
	bool fits;

	clock_gettime(CLOCK_REALTIME, &now);
	line = agb_log_format(l->json,
	    (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000, level, event,
	    fields);
	n = strlen(line);
	fits = l->len + n <= AGB_LOG_BUFFER_MAX;
	if (fits && l->len + n > l->cap) {
		l->cap = (l->len + n) * 2;
		l->buf = agb_xreallocarray(l->buf, l->cap, 1);
	}
	if (fits) {
		memcpy(l->buf + l->len, line, n);
		l->len += n;
	}
	free(line);
	return fits;
}

/* Adds a line that reports the number of lines dropped at this position. */
static void
report_dropped(struct agb_log *l)
{
	char fields[96];

	if (l->dropped == l->dropped_reported || l->len > DROP_REPORT_LEN_MAX)
		return;
	snprintf(fields, sizeof(fields),
	    "lines=%" PRIu64 " total=%" PRIu64
	    " reason=\"the reader was too slow\"",
	    l->dropped - l->dropped_reported, l->dropped);
	l->dropped_reported = l->dropped;
	append_line(l, AGB_LOG_WARN, "log_dropped", fields);
}

void
agb_log_line(struct agb_log *l, enum agb_log_level level, const char *event,
    const char *fields)
{
	if (level < l->level)
		return;
	report_dropped(l);
	if (!append_line(l, level, event, fields))
		l->dropped++;
}

void
agb_log_printf(struct agb_log *l, enum agb_log_level level, const char *event,
    const char *fmt, ...)
{
	va_list ap;
	char *fields;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&fields, fmt, ap);
	va_end(ap);
	if (n < 0)
		abort();
	agb_log_line(l, level, event, fields);
	free(fields);
}

/*
 * Length of the complete lines for the next write(). They have at most
 * PIPE_BUF bytes, which a pipe accepts as a whole or not at all; a line longer
 * than that is written alone.
 */
static size_t
whole_lines_len(const char *buf, size_t len)
{
	const char *end;

	end = memrchr(buf, '\n', len < PIPE_BUF ? len : PIPE_BUF);
	if (end == NULL)
		end = memchr(buf, '\n', len);
	return end != NULL ? (size_t)(end - buf) + 1 : len;
}

void
agb_log_flush(struct agb_log *l)
{
	size_t done = 0;
	ssize_t n;

	while (done < l->len) {
		n = write(l->fd, l->buf + done,
		    whole_lines_len(l->buf + done, l->len - done));
		if (n < 0 && errno == EINTR)
			continue;
		/* The rest is written in the next loop iteration. */
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	l->len -= done;
	if (done > 0 && l->len > 0)
		memmove(l->buf, l->buf + done, l->len);
}

static void
on_prepare(uv_prepare_t *h)
{
	agb_log_flush(h->data);
}

uint64_t
agb_log_dropped(const struct agb_log *l)
{
	return l->dropped;
}

struct agb_log *
agb_log_new(uv_loop_t *loop, int fd, bool json, enum agb_log_level level)
{
	struct agb_log *const l = agb_xcalloc(1, sizeof(*l));

	l->fd = fd;
	l->json = json;
	l->level = level;
	uv_prepare_init(loop, &l->prepare);
	l->prepare.data = l;
	uv_prepare_start(&l->prepare, on_prepare);
	uv_unref((uv_handle_t *)&l->prepare);
	return l;
}

static void
on_closed(uv_handle_t *h)
{
	struct agb_log *const l = h->data;

	free(l->buf);
	free(l);
}

void
agb_log_free(struct agb_log *l)
{
	if (l == NULL)
		return;
	agb_log_flush(l);
	uv_close((uv_handle_t *)&l->prepare, on_closed);
}

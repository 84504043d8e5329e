#ifndef AGB_LOG_H
#define AGB_LOG_H

/**
 * DOC: log
 *
 * Log lines with a UTC timestamp and a level, as key=value text or as one
 * JSON object per line with the same fields. Lines are buffered and written
 * once per iteration of the event loop.
 */

#include <uv.h>

#include "effect.h"

/* Bytes buffered while the output is not writable; lines that do not fit are
 * dropped and counted. */
#define AGB_LOG_BUFFER_MAX ((size_t)1024 * 1024)

struct agb_log;

/**
 * agb_log_new() - log to a file descriptor
 * @fd: such as 2; not closed. With a non-blocking descriptor, lines are lost
 *	when its reader is too slow; a blocking one stalls the event loop.
 * @json: write JSON instead of key=value text
 * @level: lines of a lower level are discarded
 */
struct agb_log *agb_log_new(
    uv_loop_t *loop, int fd, bool json, enum agb_log_level level);

/**
 * agb_log_line() - add a line
 * @event: name of the event, such as "route"
 * @fields: "key=value key=\"quoted value\"", as in struct agb_ef_log. In
 *	JSON, text from the first error of syntax on becomes the field "text".
 */
void agb_log_line(struct agb_log *l, enum agb_log_level level,
    const char *event, const char *fields);

/**
 * agb_log_printf() - add a line with formatted fields
 */
void agb_log_printf(struct agb_log *l, enum agb_log_level level,
    const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * agb_log_flush() - write the buffered lines
 */
void agb_log_flush(struct agb_log *l);

/**
 * agb_log_dropped() - number of lines dropped since agb_log_new() because the
 * buffer was full
 */
uint64_t agb_log_dropped(const struct agb_log *l);

/**
 * agb_log_format() - format one line as agb_log_line() writes it, with its
 * newline
 * @unix_us: microseconds since the Unix epoch
 * Return: a new string, freed by the caller.
 */
char *agb_log_format(bool json, int64_t unix_us, enum agb_log_level level,
    const char *event, const char *fields);

/**
 * agb_log_free() - write the buffered lines and free the log
 * @l: may be NULL
 */
void agb_log_free(struct agb_log *l);

#endif

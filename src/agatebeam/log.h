#ifndef AGB_LOG_H
#define AGB_LOG_H

/**
 * DOC: log
 *
 * Log lines with a UTC time stamp and a level, as key=value text or as one
 * JSON object a line with the same fields. Lines are collected and written
 * once a loop turn.
 */

#include <uv.h>

#include "effect.h"

/* Bytes kept while the output does not take them; then lines are dropped
 * and counted. */
#define AGB_LOG_BUFFER_MAX ((size_t)1024 * 1024)

struct agb_log;

/**
 * agb_log_new() - log to a file descriptor
 * @fd: such as 2; not closed. A descriptor that does not block loses lines
 *	when it is full, one that blocks holds up the loop.
 * @json: JSON lines instead of key=value
 * @level: lines below it are left out
 */
struct agb_log *agb_log_new(
    uv_loop_t *loop, int fd, bool json, enum agb_log_level level);

/**
 * agb_log_line() - add a line
 * @event: what happened, such as "route"
 * @fields: "key=value key=\"quoted value\"", as in struct agb_ef_log; what
 *	does not parse is kept as the field "text"
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
 * agb_log_flush() - write what has been collected
 */
void agb_log_flush(struct agb_log *l);

/**
 * agb_log_dropped() - lines lost for a full buffer, since the start
 */
uint64_t agb_log_dropped(const struct agb_log *l);

/**
 * agb_log_format() - one line with its newline, as agb_log_line() writes it
 * @unix_us: microseconds since 1970
 * Return: a new string, freed by the caller.
 */
char *agb_log_format(bool json, int64_t unix_us, enum agb_log_level level,
    const char *event, const char *fields);

/**
 * agb_log_free() - flush and free
 * @l: may be NULL
 */
void agb_log_free(struct agb_log *l);

#endif

#ifndef WF_HTTPD_LOG_H
#define WF_HTTPD_LOG_H

/**
 * DOC: wf_httpd_log
 *
 * Log lines about connections that are refused or given up. Clients decide how
 * many there are, so that only one line an interval is written.
 */

#include "wf_httpd_budget.h"

/**
 * struct wf_httpd_log - state of the limit on the lines; zero at the start
 * @next_at: when the next line may be written
 * @omitted: connections without a line since the last one
 */
struct wf_httpd_log {
	agb_time next_at;
	uint64_t omitted;
};

/**
 * wf_httpd_log_format() - write the fields of a line
 * Return: false when the line must be omitted.
 */
bool wf_httpd_log_format(struct wf_httpd_log *l,
    const struct wf_httpd_budget *b, enum wf_httpd_reason reason, agb_time now,
    char *line, size_t len);

#endif

#include "wf_httpd_log.h"

#include <inttypes.h>
#include <stdio.h>

#define LINE_INTERVAL_MS 1000

bool
wf_httpd_log_format(struct wf_httpd_log *l, const struct wf_httpd_budget *b,
    enum wf_httpd_reason reason, agb_time now, char *line, size_t len)
{
	if (now < l->next_at) {
		l->omitted++;
		return false;
	}
	snprintf(line, len,
	    "change=given-up reason=%s held_kb=%zu limit_kb=%zu "
	    "connections=%zu connections_max=%zu omitted=%" PRIu64,
	    wf_httpd_reason_name(reason), b->held / 1024,
	    b->limits.held_max / 1024, b->connections,
	    b->limits.connections_max, l->omitted);
	l->next_at = now + LINE_INTERVAL_MS * AGB_MS;
	l->omitted = 0;
	return true;
}

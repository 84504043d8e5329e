#include "wf_giveup.h"

#include <inttypes.h>
#include <stdio.h>

#define LINE_INTERVAL_MS 1000

const char *
wf_giveup_call_name(enum agb_store_read read)
{
	return read == AGB_STORE_POLL ? "poll" : "read";
}

const char *
wf_giveup_reason_name(enum agb_store_give_up_reason reason)
{
	switch (reason) {
	case AGB_STORE_NO_RESPONSE:
		return "no-response";
	case AGB_STORE_STALLED:
		return "stalled";
	case AGB_STORE_TOO_SLOW:
		return "too-slow";
	}
	return "unknown";
}

bool
wf_giveup_format(struct wf_giveup_log *l, const struct agb_store_give_up *g,
    agb_time now, char *line, size_t len)
{
	if (now < l->next_at) {
		l->omitted++;
		return false;
	}
	snprintf(line, len,
	    "change=given-up call=%s prefix=\"%s\" reason=%s "
	    "elapsed_ms=%" PRIu64 " received=%" PRIu64 " omitted=%" PRIu64,
	    wf_giveup_call_name(g->read), g->prefix,
	    wf_giveup_reason_name(g->reason), g->elapsed_ms, g->received,
	    l->omitted);
	l->next_at = now + LINE_INTERVAL_MS * AGB_MS;
	l->omitted = 0;
	return true;
}

#include "wf_poll.h"

/* A hold is overdue when there is no answer this long after the runner should
 * have sent it: a round trip between regions, and the time for which a relay
 * collects results. */
#define OVERDUE_MS 150

static agb_time
overdue_at(const struct wf_poll *p)
{
	return p->sent_at + (agb_time)(p->wait_ms + OVERDUE_MS) * AGB_MS;
}

enum wf_poll_action
wf_poll_next(const struct wf_poll *p, agb_time now, agb_time *when)
{
	*when = AGB_TIME_MAX;
	if (p->pending && p->probed)
		return WF_POLL_NOTHING;
	*when = p->pending ? overdue_at(p) : p->next_at;
	if (now < *when)
		return WF_POLL_NOTHING;
	return p->pending ? WF_POLL_PROBE : WF_POLL_HOLD;
}

void
wf_poll_hold_sent(struct wf_poll *p, agb_time now, uint32_t wait_ms)
{
	p->pending = true;
	p->probed = false;
	p->sent_at = now;
	p->wait_ms = wait_ms;
}

void
wf_poll_probe_sent(struct wf_poll *p)
{
	p->probed = true;
}

bool
wf_poll_is_immediate(const struct wf_poll *p, agb_time sent_at)
{
	return p->sent_at == sent_at && p->wait_ms == 0;
}

bool
wf_poll_hold_ended(struct wf_poll *p, agb_time sent_at)
{
	if (!p->pending || p->sent_at != sent_at)
		return false;
	p->pending = false;
	return true;
}

void
wf_poll_probe_answered(struct wf_poll *p, agb_time now)
{
	if (!p->pending || now < overdue_at(p))
		return;
	p->pending = false;
	p->next_at = now;
}

#include "wf_ready.h"

#include <inttypes.h>

/* An instance without an answer of the store for this long reports that it is
 * not ready, because other instances serve new requests better. */
#define STORE_MAX_MS 1500
/* After SIGTERM, clients have this long to move their connections. Then the
 * process exits once no request is open, and at the latest this margin before
 * it would be killed. */
#define DRAIN_MS 3500
#define DRAIN_MARGIN_MS 1200
/* Interval at which a draining instance looks for open requests. */
#define DRAIN_POLL_MS 50

void
wf_ready_drain(struct wf_ready *r, agb_time now)
{
	r->draining = true;
	r->term_at = now;
}

static void
update_ready(struct wf_ready *r, const struct wf_ready_needs *needs,
    agb_time now, struct wf_effects *out)
{
	const agb_time ago =
	    needs->store_heard_at > 0 ? now - needs->store_heard_at : 0;
	const bool ready = !r->draining && needs->has_document &&
	    needs->synced && needs->store_heard_at > 0 &&
	    ago < STORE_MAX_MS * AGB_MS;

	if (r->known && ready == r->ready)
		return;
	r->ready = ready;
	r->known = true;
	wf_effects_add(out, WF_EF_READY)->flag = ready;
	wf_effects_log(out, AGB_LOG_INFO, "ready",
	    "ready=%s document=%" PRIu64 " synced=%s store_ms_ago=%" PRIu64,
	    ready ? "yes" : "no", needs->document, needs->synced ? "yes" : "no",
	    ago / AGB_MS);
}

static agb_time
update_drain(struct wf_ready *r, uint32_t grace_ms, size_t open_requests,
    agb_time now, struct wf_effects *out)
{
	const uint32_t limit_ms =
	    grace_ms > DRAIN_MARGIN_MS ? grace_ms - DRAIN_MARGIN_MS : 0;
	const agb_time last = r->term_at + limit_ms * AGB_MS;
	const agb_time early =
	    agb_time_min(r->term_at + DRAIN_MS * AGB_MS, last);

	if (!r->draining || r->exiting)
		return AGB_TIME_MAX;
	if (now < early)
		return early;
	if (open_requests > 0 && now < last)
		return now + DRAIN_POLL_MS * AGB_MS;
	r->exiting = true;
	wf_effects_add(out, WF_EF_EXIT);
	return AGB_TIME_MAX;
}

agb_time
wf_ready_tick(struct wf_ready *r, const struct wf_ready_needs *needs,
    uint32_t grace_ms, size_t open_requests, agb_time now,
    struct wf_effects *out)
{
	update_ready(r, needs, now, out);
	return update_drain(r, grace_ms, open_requests, now, out);
}

#include "wf_locality.h"

/* While capacity is short a remote run costs its extra time twice: the unit ends
 * later by it, and so does work that could use the processors meanwhile. */
#define SHORT_FACTOR 2
/* A wait ends this long before the first approval expires, so that a pass, which
 * is made at least every 50 ms, can still use it. */
#define TICKET_RESERVE_MS 150

agb_time
wf_locality_extra(const struct wf_locality *in)
{
	if (in->remote_factor <= 1)
		return 0;
	return (agb_time)(in->run_ms * (in->remote_factor - 1)) * AGB_MS;
}

/* Latest start of a near run after which the job is late, if a remote start now
 * would not be late; AGB_TIME_MAX when it is late in both cases. */
static agb_time
latest_on_time(const struct wf_locality *in, agb_time now, agb_time extra)
{
	const agb_time rest =
	    ((agb_time)in->run_ms + in->following_ms) * AGB_MS;

	if (now + extra + rest > in->due_at)
		return AGB_TIME_MAX;
	return in->due_at - rest;
}

agb_time
wf_locality_latest(const struct wf_locality *in, agb_time now)
{
	const agb_time extra = wf_locality_extra(in);
	const agb_time gain = in->room_short ? SHORT_FACTOR * extra : extra;
	/* A wait in vain never costs more than a near start would gain,
	 * however often the estimate is put off. */
	const agb_time since = in->waits_since > 0 ? in->waits_since : now;
	agb_time latest;

	if (extra == 0 || in->wait_max_ms == 0)
		return 0;
	latest =
	    agb_time_min(since + gain, in->ready_at + in->wait_max_ms * AGB_MS);
	latest = agb_time_min(latest, latest_on_time(in, now, extra));
	if (in->tickets_until == 0)
		return latest;
	if (in->tickets_until < TICKET_RESERVE_MS * AGB_MS)
		return 0;
	return agb_time_min(
	    latest, in->tickets_until - TICKET_RESERVE_MS * AGB_MS);
}

struct wf_locality_decision
wf_locality_decide(const struct wf_locality *in, agb_time now, agb_time near_at)
{
	struct wf_locality_decision d = {.choice = WF_LOCALITY_REMOTE};

	if (near_at <= now) {
		d.choice = WF_LOCALITY_NEAR;
	} else if (near_at <= wf_locality_latest(in, now)) {
		d.choice = WF_LOCALITY_WAIT;
		d.until = near_at;
	}
	return d;
}

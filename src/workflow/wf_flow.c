#include "wf_flow.h"

/* Bounds of the limit. */
#define LIMIT_MIN 16
#define LIMIT_MAX 4096
/* An answer is late that takes this much longer than one which nothing delays.
 * It is a third of the time after which a start is given up. */
#define LATE_MS 100
/* The limit changes at most once in this time, and not before this number of
 * answers. */
#define INTERVAL_MS 100
#define ANSWERS_MIN 4
/* Share of the starts in flight that the limit falls to, and the part of the
 * limit by which it rises. */
#define REDUCE_PERCENT 70
#define RAISE_DIVISOR 8
/* The newest interval has a weight of 1/RATE_SMOOTHING in the rate of starts.
 */
#define RATE_SMOOTHING 4
/* The limit holds starts back until it has not done so for this long. */
#define HELD_BACK_MS 500
/* Links are congested until this long after most answers were late. With few
 * calls, each of which is given up, the answers of one interval take up to half
 * of it. */
#define CONGESTED_MS 2000

void
wf_flow_init(struct wf_flow *f, agb_time now)
{
	*f = (struct wf_flow){.limit = LIMIT_MAX, .interval_start = now};
}

uint32_t
wf_flow_room(const struct wf_flow *f)
{
	return f->in_flight < f->limit ? f->limit - f->in_flight : 0;
}

void
wf_flow_note_held_back(struct wf_flow *f)
{
	f->held_back = true;
}

void
wf_flow_note_confirmed(struct wf_flow *f)
{
	f->confirmed++;
}

static void
update_rate(struct wf_flow *f, agb_time now)
{
	const uint32_t starts_per_s =
	    (uint32_t)(f->confirmed * AGB_SEC / (now - f->interval_start));

	f->starts_per_s = f->held_back_at == 0
	    ? starts_per_s
	    : f->starts_per_s - f->starts_per_s / RATE_SMOOTHING +
		starts_per_s / RATE_SMOOTHING;
	f->held_back_at = now;
}

static void
reduce(struct wf_flow *f, agb_time now)
{
	const uint32_t base = f->in_flight < f->limit ? f->in_flight : f->limit;
	const uint32_t limit = base * REDUCE_PERCENT / 100;

	f->limit = limit > LIMIT_MIN ? limit : LIMIT_MIN;
	f->reduced_at = now;
}

static void
raise_limit(struct wf_flow *f)
{
	const uint32_t step = f->limit / RAISE_DIVISOR;

	f->limit += step < LIMIT_MAX - f->limit ? step : LIMIT_MAX - f->limit;
}

void
wf_flow_note_answer(
    struct wf_flow *f, agb_time now, agb_time sent_at, agb_time base)
{
	/* Messages sent before the last reduction waited behind what was in
	 * flight then. */
	if (sent_at < f->reduced_at)
		return;
	if (now - sent_at > base + LATE_MS * AGB_MS)
		f->late++;
	else
		f->on_time++;
	if (now - f->interval_start < INTERVAL_MS * AGB_MS ||
	    f->on_time + f->late < ANSWERS_MIN)
		return;
	if (f->late > f->on_time) {
		f->late_at = now;
		reduce(f, now);
	} else if (f->held_back) {
		raise_limit(f);
	}
	if (f->held_back)
		update_rate(f, now);
	f->interval_start = now;
	f->on_time = 0;
	f->late = 0;
	f->confirmed = 0;
	f->held_back = false;
}

bool
wf_flow_is_limiting(const struct wf_flow *f, agb_time now)
{
	return f->held_back_at > 0 &&
	    now - f->held_back_at < HELD_BACK_MS * AGB_MS;
}

bool
wf_flow_is_congested(const struct wf_flow *f, agb_time now)
{
	return wf_flow_is_limiting(f, now) ||
	    (f->late_at > 0 && now - f->late_at < CONGESTED_MS * AGB_MS);
}

uint32_t
wf_flow_starts_within(const struct wf_flow *f, agb_time now, uint32_t ms)
{
	if (!wf_flow_is_limiting(f, now))
		return UINT32_MAX;
	return (uint32_t)((uint64_t)f->starts_per_s * ms / 1000);
}

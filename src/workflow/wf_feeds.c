#include "wf_feeds.h"

#include <inttypes.h>

/* When no standby follows all jobs, the others also read them, in groups of
 * WF_STANDBY_COUNT one after the other: reading at the same time would saturate
 * the link between regions. */
#define LEADERLESS_READ_MS 350
#define LEADERLESS_GROUP_MS 200
/* Round trips to the store that a newly started instance needs to register,
 * read all keys and stand for election. */
#define LEADERLESS_RTTS 5
/* When all instances have just started, one whose round trip to the store
 * exceeds the first value waits for the second, so that closer ones are elected
 * first. */
#define STANDBY_NEAR_RTT_MS 10
#define STANDBY_FAR_DELAY_MS 200
/* While another instance leads, a new standby waits this long before it reads
 * all jobs, so that the set of standbys can settle. */
#define STANDBY_SETTLE_MS 1000
/* Intervals at which the local copy of the store is updated. */
#define INTERVAL_ELECTION_MS 10
#define INTERVAL_LEADER_MS 300
#define INTERVAL_FOLLOWER_MS 600

static void
set_interval(
    struct wf_feeds *f, enum wf_feed_id id, uint32_t ms, struct wf_effects *out)
{
	struct wf_effect *ef;

	if (!f->feed[id].watched || f->feed[id].interval_ms == ms)
		return;
	f->feed[id].interval_ms = ms;
	ef = wf_effects_add(out, WF_EF_FEED_INTERVAL);
	ef->feed = id;
	ef->interval_ms = ms;
}

static void
watch(struct wf_feeds *f, enum wf_feed_id id, bool on, struct wf_effects *out)
{
	struct wf_effect *ef;

	if (f->feed[id].watched == on)
		return;
	f->feed[id].watched = on;
	f->feed[id].synced = false;
	f->feed[id].interval_ms = 0;
	ef = wf_effects_add(out, WF_EF_WATCH_FEED);
	ef->feed = id;
	ef->flag = on;
}

/* Returns when this instance, as a possible successor, starts to read all jobs
 * and states; AGB_TIME_MAX when it does not need to. */
static agb_time
standby_read_at(
    const struct wf_election *e, bool leaderless, agb_time store_rtt)
{
	const agb_time far = store_rtt > STANDBY_NEAR_RTT_MS * AGB_MS
	    ? STANDBY_FAR_DELAY_MS * AGB_MS
	    : 0;
	const agb_time group = e->rank / WF_STANDBY_COUNT;

	if (e->rank == UINT32_MAX)
		return AGB_TIME_MAX;
	if (!leaderless)
		return wf_election_is_standby(e)
		    ? e->standby_at + STANDBY_SETTLE_MS * AGB_MS
		    : AGB_TIME_MAX;
	if (wf_election_is_standby(e))
		return e->standby_at + far;
	return e->leaderless_at + far + LEADERLESS_RTTS * store_rtt +
	    (LEADERLESS_READ_MS + LEADERLESS_GROUP_MS * group) * AGB_MS;
}

/* Whether the progress of jobs is watched; reading goes on once it has begun.
 * A leader knows the progress, as it writes it. */
static bool
watches_states(const struct wf_feeds *f, const struct wf_feeds_role *role,
    agb_time read_at, agb_time now)
{
	if (role->draining || role->leads)
		return false;
	if (role->elected || now >= read_at)
		return true;
	return f->feed[WF_FEED_STATES].watched && read_at != AGB_TIME_MAX;
}

static uint32_t
interval_ms(const struct wf_feeds_role *role)
{
	if (role->leaderless || (role->elected && !role->leads))
		return INTERVAL_ELECTION_MS;
	return role->leads ? INTERVAL_LEADER_MS : INTERVAL_FOLLOWER_MS;
}

agb_time
wf_feeds_tick(struct wf_feeds *f, const struct wf_feeds_role *role,
    const struct wf_election *e, agb_time store_rtt, agb_time now,
    struct wf_effects *out)
{
	const uint32_t ms = interval_ms(role);
	agb_time read_at;
	bool states;

	watch(f, WF_FEED_CONTROL, true, out);
	if (!f->feed[WF_FEED_CONTROL].synced)
		return AGB_TIME_MAX;
	read_at = standby_read_at(e, role->leaderless, store_rtt);
	states = watches_states(f, role, read_at, now);
	watch(f, WF_FEED_JOBS, states || role->leads, out);
	watch(f, WF_FEED_STATES, states, out);
	set_interval(f, WF_FEED_JOBS, ms, out);
	set_interval(f, WF_FEED_STATES, ms, out);
	return states || role->leads ? AGB_TIME_MAX : read_at;
}

void
wf_feeds_note_change(struct wf_feeds *f, const struct wf_table_change *ch)
{
	if (ch->barrier_jobs > 0)
		f->barrier_jobs = ch->barrier_jobs;
	if (ch->barrier_states > 0)
		f->barrier_states = ch->barrier_states;
}

void
wf_feeds_delivered(struct wf_feeds *f, const struct wf_feed *feed,
    unsigned jobs, struct wf_effects *out)
{
	f->feed[feed->id].revision = feed->revision;
	if (!feed->full)
		return;
	f->feed[feed->id].synced = true;
	wf_effects_log(out, AGB_LOG_INFO, "sync",
	    "feed=%d revision=%" PRIu64 " keys=%zu jobs=%u", (int)feed->id,
	    feed->revision, feed->items_len, jobs);
}

bool
wf_feeds_all_jobs_synced(const struct wf_feeds *f)
{
	return f->feed[WF_FEED_JOBS].synced && f->feed[WF_FEED_STATES].synced;
}

bool
wf_feeds_reach_election(const struct wf_feeds *f, uint64_t revision)
{
	return wf_feeds_all_jobs_synced(f) &&
	    (f->barrier_jobs >= revision ||
		f->feed[WF_FEED_JOBS].revision >= revision) &&
	    (f->barrier_states >= revision ||
		f->feed[WF_FEED_STATES].revision >= revision);
}

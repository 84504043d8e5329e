#ifndef WF_FEEDS_H
#define WF_FEEDS_H

/**
 * DOC: wf_feeds
 *
 * Feeds of the store: which of them an instance watches, at which interval they
 * are delivered, and how far the local copy is complete. All instances watch
 * the leader and the list of instances, the leader also watches the
 * submissions, and standbys also the submissions and the progress of jobs.
 */

#include "wf_election.h"

/**
 * struct wf_feed_state - state of one feed
 * @revision: up to which it has been delivered
 * @synced: a full read has been delivered since it is watched
 */
struct wf_feed_state {
	uint64_t revision;
	uint32_t interval_ms;
	bool watched;
	bool synced;
};

/**
 * struct wf_feeds - state of all feeds; only changed by this module
 * @barrier_jobs, @barrier_states: revision of the last election that the feed
 *	of jobs or of states has delivered
 */
struct wf_feeds {
	struct wf_feed_state feed[WF_FEEDS];
	uint64_t barrier_jobs;
	uint64_t barrier_states;
};

/**
 * struct wf_feeds_role - role of this instance, which decides what it watches
 * @leads: it places tasks
 * @elected: the store says that it is the leader
 * @leaderless: the store says that nobody is
 * @draining: it shuts down
 */
struct wf_feeds_role {
	bool leads;
	bool elected;
	bool leaderless;
	bool draining;
};

/**
 * wf_feeds_tick() - open and close feeds and set their intervals
 * @store_rtt: last round trip to the store
 * Return: when to call again.
 */
agb_time wf_feeds_tick(struct wf_feeds *f, const struct wf_feeds_role *role,
    const struct wf_election *e, agb_time store_rtt, agb_time now,
    struct wf_effects *out);

/**
 * wf_feeds_note_change() - note the barriers that a key has delivered
 */
void wf_feeds_note_change(struct wf_feeds *f, const struct wf_table_change *ch);

/**
 * wf_feeds_delivered() - note that a delivery has been applied to the table
 * @jobs: number of jobs in the table
 */
void wf_feeds_delivered(struct wf_feeds *f, const struct wf_feed *feed,
    unsigned jobs, struct wf_effects *out);

/**
 * wf_feeds_all_jobs_synced() - whether all jobs and their progress were read
 */
bool wf_feeds_all_jobs_synced(const struct wf_feeds *f);

/**
 * wf_feeds_reach_election() - whether the local copy includes everything that
 * was written before an election
 * @revision: revision of the election
 */
bool wf_feeds_reach_election(const struct wf_feeds *f, uint64_t revision);

#endif

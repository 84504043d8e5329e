#ifndef WF_ELECTION_H
#define WF_ELECTION_H

/**
 * DOC: wf_election
 *
 * Election of the leader: the registration of an instance with its score, its
 * rank among the others, when it stands for election, and the transactions that
 * make it or its successor the leader. Who leads is learned from the store.
 */

#include "wf_lease.h"
#include "wf_table.h"

/* Number of instances that follow all jobs, so that one of them can take over
 * immediately. */
#define WF_STANDBY_COUNT 3

/**
 * struct wf_election - state of the election; only changed by this module
 * @random: state of the random number generator
 * @elect_at: when it stands for election
 * @leaderless_at: when the last leader was lost
 * @rank: number of instances that stand for election before this one;
 *	UINT32_MAX while it is not registered
 * @standby_at: when it became one of the first WF_STANDBY_COUNT by rank
 * @hand_over_until: until then the leadership is being handed over, or 0
 * @registered: its entry is stored, attached to its lease
 * @campaigning: the result of its campaign is not known yet
 */
struct wf_election {
	uint64_t random;
	agb_time elect_at;
	agb_time leaderless_at;
	uint32_t rank;
	agb_time standby_at;
	agb_time hand_over_until;
	bool registered;
	bool campaigning;
};

/**
 * wf_election_init() - initialize the state
 * @seed: seed of the random jitter
 */
void wf_election_init(struct wf_election *e, uint64_t seed);

/**
 * wf_election_register() - store the entry of this instance in the list of
 * instances
 */
void wf_election_register(const struct wf_config *cfg,
    const struct wf_lease *lease, struct wf_effects *out);

/**
 * wf_election_register_done() - handle the result of the registration
 */
void wf_election_register_done(
    struct wf_election *e, const struct agb_store_result *res);

/**
 * wf_election_unregister() - note that the entry ends with its lease
 */
void wf_election_unregister(struct wf_election *e);

/**
 * wf_election_update_rank() - count the instances that stand for election
 * before this one, without the present leader
 * @self: name of this instance
 */
void wf_election_update_rank(struct wf_election *e, const struct wf_table *t,
    const char *self, agb_time now);

/**
 * wf_election_is_standby() - whether this instance is one of those that follow
 * all jobs
 */
bool wf_election_is_standby(const struct wf_election *e);

/**
 * wf_election_schedule() - determine when to stand for election, after the
 * leader was lost
 * @uptime: time since the start of this instance
 * @silent: number of peers that do not answer
 */
void wf_election_schedule(struct wf_election *e, const struct wf_config *cfg,
    agb_time uptime, uint32_t silent, agb_time now);

/**
 * wf_election_tick() - stand for election when that is due; for an instance
 * that may lead and finds no leader
 * Return: when to call again.
 */
agb_time wf_election_tick(struct wf_election *e, const struct wf_config *cfg,
    const struct wf_lease *lease, agb_time now, struct wf_effects *out);

/**
 * wf_election_campaign_done() - handle the result of a campaign
 */
void wf_election_campaign_done(struct wf_election *e, agb_time now);

/**
 * wf_election_hand_over() - make another instance the leader in one transaction
 * @self: name of this instance, the leader
 * @fence: revision of its election
 *
 * This instance leads until the store has carried the transaction out; from
 * then on its writes and orders are refused.
 * Return: false when there is no other instance that can lead at once.
 */
bool wf_election_hand_over(struct wf_election *e, const struct wf_table *t,
    const char *self, uint64_t fence, agb_time now, struct wf_effects *out);

/**
 * wf_election_hand_over_done() - handle the result of the transaction
 */
void wf_election_hand_over_done(
    struct wf_election *e, agb_time now, const struct agb_store_result *res);

/**
 * wf_election_end_hand_over() - note that this instance has resigned
 */
void wf_election_end_hand_over(struct wf_election *e);

#endif

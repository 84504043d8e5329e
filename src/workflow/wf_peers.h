#ifndef WF_PEERS_H
#define WF_PEERS_H

/**
 * DOC: wf_peers
 *
 * The other instances: which of them this one pings, which answer, and when a
 * leader resigns because most do not.
 */

#include "wf_event.h"
#include "wf_table.h"

/**
 * struct wf_peers - state of the pings; only changed by this module
 * @self: name of this instance
 * @tags_used: number of the last ping
 * @ping_at: when the next pings are due
 * @isolated_at: since when most instances do not answer, or 0
 * @resigned_at: when this instance last resigned for that reason, or 0
 */
struct wf_peers {
	agb_id self;
	uint64_t tags_used;
	agb_time ping_at;
	agb_time isolated_at;
	agb_time resigned_at;
};

/**
 * wf_peers_init() - initialize the state
 * @self: name of this instance
 */
void wf_peers_init(struct wf_peers *ps, const char *self);

/**
 * wf_peers_tick() - send the pings that are due
 * @leads: this instance is the leader
 * Return: when to call again.
 */
agb_time wf_peers_tick(struct wf_peers *ps, struct wf_table *t, bool leads,
    agb_time now, struct wf_effects *out);

/**
 * wf_peers_allow() - accept calls from the instances in the table only
 */
void wf_peers_allow(const struct wf_table *t, struct wf_effects *out);

/**
 * wf_peers_ping() - ping one peer now
 */
void wf_peers_ping(struct wf_peers *ps, struct wf_peer *p, agb_time now,
    struct wf_effects *out);

/**
 * wf_peers_ping_done() - handle the result of a ping
 * @ok: the peer has answered
 */
void wf_peers_ping_done(struct wf_table *t, uint64_t tag, bool ok, agb_time now,
    struct wf_effects *out);

/**
 * wf_peers_count_silent() - number of other instances that do not answer
 */
uint32_t wf_peers_count_silent(
    const struct wf_peers *ps, const struct wf_table *t, agb_time now);

/**
 * wf_peers_isolated() - whether a leader has to resign, because it cannot have
 * advice fetched through instances that do not answer
 * @leads: this instance is the leader
 *
 * Has to be called at each tick, as it notes since when most are silent.
 */
bool wf_peers_isolated(struct wf_peers *ps, const struct wf_table *t,
    bool leads, agb_time now, struct wf_effects *out);

#endif

#ifndef WF_LEASE_H
#define WF_LEASE_H

/**
 * DOC: wf_lease
 *
 * Lease of an instance in the store: grant, renewals, validity and revocation.
 * A renewal without an answer is hedged: another one follows, and an answer to
 * any of them extends the lease. As renewals are the heartbeat towards the
 * store, this module also knows its latency and whether it answers.
 */

#include "wf_event.h"

/* Number of recent renewals whose answers are still accepted. */
#define WF_LEASE_RENEWALS_MAX 8
/* Reason in the log when the store no longer has the lease. */
#define WF_LEASE_LOST_REASON "the store reports that it has expired"

/**
 * struct wf_lease_renewal - renewal that was sent
 * @lease: lease that it extends
 */
struct wf_lease_renewal {
	int64_t lease;
	agb_time sent_at;
};

/**
 * struct wf_lease - lease of this instance; only changed by this module
 * @id: 0 while there is none
 * @valid_until: the lease certainly exists until then
 * @op_at: when the next grant or renewal is due
 * @op_sent_at: when the first unanswered grant or renewal was sent
 * @op_pending: a grant or renewal has not been answered
 * @renewals: recent renewals, indexed by their number modulo
 *	WF_LEASE_RENEWALS_MAX
 * @store_rtt: last round trip to the store
 * @store_heard_at: last answer of the store, or 0
 * @store_lost: the log says that the store does not answer
 */
struct wf_lease {
	int64_t id;
	agb_time valid_until;
	agb_time op_at;
	agb_time op_sent_at;
	bool op_pending;
	uint64_t renewals_sent;
	struct wf_lease_renewal renewals[WF_LEASE_RENEWALS_MAX];
	agb_time store_rtt;
	agb_time store_heard_at;
	bool store_lost;
};

/**
 * enum wf_lease_change - what a result means for the lease
 */
enum wf_lease_change {
	WF_LEASE_UNCHANGED,
	WF_LEASE_GRANTED,
	WF_LEASE_RENEWED,
	WF_LEASE_LOST,
};

/**
 * wf_lease_tick() - request or renew the lease when that is due
 * Return: when to call again.
 */
agb_time wf_lease_tick(
    struct wf_lease *l, agb_time now, struct wf_effects *out);

/**
 * wf_lease_grant_done() - handle the result of a grant
 */
enum wf_lease_change wf_lease_grant_done(struct wf_lease *l, agb_time now,
    const struct agb_store_result *res, struct wf_effects *out);

/**
 * wf_lease_renewal_done() - handle the result of a renewal
 * @number: number of the renewal
 */
enum wf_lease_change wf_lease_renewal_done(struct wf_lease *l, agb_time now,
    uint64_t number, const struct agb_store_result *res,
    struct wf_effects *out);

/**
 * wf_lease_revoke() - give the lease back, so that the next election need not
 * wait for its expiry; a new one may be requested at once
 */
void wf_lease_revoke(struct wf_lease *l, agb_time now, struct wf_effects *out);

/**
 * wf_lease_store_answered() - note that the store has answered this instance
 */
void wf_lease_store_answered(
    struct wf_lease *l, agb_time now, struct wf_effects *out);

/**
 * wf_lease_store_latency() - the last round trip to the store, or the time that
 * the open grant or renewal has waited if that is longer
 */
agb_time wf_lease_store_latency(const struct wf_lease *l, agb_time now);

/**
 * wf_lease_store_silent() - whether the store has stopped to answer
 */
bool wf_lease_store_silent(const struct wf_lease *l, agb_time now);

#endif

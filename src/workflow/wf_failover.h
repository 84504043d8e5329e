#ifndef WF_FAILOVER_H
#define WF_FAILOVER_H

/**
 * DOC: wf_failover
 *
 * When an instance ends the lease of a leader whose process is certainly gone,
 * so that the next election need not wait until the lease expires.
 *
 * Ending the lease of a living leader does no harm but for the election: all
 * its writes and orders carry its fence token and are refused afterwards.
 */

#include "wf_table.h"

/**
 * struct wf_failover - evidence about the present leader
 * @refused_rev: revision of the election whose leader refused a connection
 * @revoked_rev: revision of the election whose lease was ended last
 * @retry_at: when that lease is ended again if it still exists
 */
struct wf_failover {
	uint64_t refused_rev;
	uint64_t revoked_rev;
	agb_time retry_at;
};

/**
 * wf_failover_note_refused() - note that no process listens at an address
 * @rpc: address that refused a connection
 */
void wf_failover_note_refused(
    struct wf_failover *f, const struct wf_table *t, const char *rpc);

/**
 * wf_failover_lease() - lease to end now
 * @self, @rpc: name and address of this instance
 * @own_lease: its lease, or 0
 * @may_succeed: this instance is one of the possible successors
 *
 * A leader is certainly gone when this instance runs at its address, or when a
 * connection to that address was refused. Only the successors act on the
 * latter, as all instances notice it at the same time. An instance does not
 * lead itself under a key that carries an earlier lease of it.
 * Return: 0 when there is none.
 */
int64_t wf_failover_lease(struct wf_failover *f, const struct wf_table *t,
    const char *self, const char *rpc, int64_t own_lease, bool may_succeed,
    agb_time now);

#endif

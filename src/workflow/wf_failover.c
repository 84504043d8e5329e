#include "wf_failover.h"

/* The call that ends a lease is repeated after this time, in case it was
 * lost. */
#define REVOKE_RETRY_MS 300

void
wf_failover_note_refused(
    struct wf_failover *f, const struct wf_table *t, const char *rpc)
{
	const struct wf_peer *const leader = wf_table_leader(t);

	if (leader != NULL && strcmp(leader->rpc, rpc) == 0)
		f->refused_rev = t->leader_rev;
}

static bool
leader_is_gone(const struct wf_failover *f, const struct wf_table *t,
    const char *self, const char *rpc, int64_t own_lease, bool may_succeed)
{
	const struct wf_peer *const leader = wf_table_leader(t);

	if (strcmp(t->leader, self) == 0)
		return own_lease != 0 && t->leader_lease != own_lease;
	if (leader == NULL)
		return false;
	if (strcmp(leader->rpc, rpc) == 0)
		return true;
	return may_succeed && f->refused_rev == t->leader_rev;
}

int64_t
wf_failover_lease(struct wf_failover *f, const struct wf_table *t,
    const char *self, const char *rpc, int64_t own_lease, bool may_succeed,
    agb_time now)
{
	if (t->leader_rev == 0 || t->leader_lease == 0 ||
	    !leader_is_gone(f, t, self, rpc, own_lease, may_succeed))
		return 0;
	if (f->revoked_rev == t->leader_rev && now < f->retry_at)
		return 0;
	f->revoked_rev = t->leader_rev;
	f->retry_at = now + REVOKE_RETRY_MS * AGB_MS;
	return t->leader_lease;
}

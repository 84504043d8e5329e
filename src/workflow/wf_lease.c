#include "wf_lease.h"

#include <inttypes.h>

#include "wf_core_op.h"

/* Lease of an instance. When a leader dies, a successor is elected after its
 * lease has expired. */
#define LEASE_MS 1200
#define RENEW_MS 300
#define RETRY_MS 100
/* A renewal without an answer is followed by another one after this time, or
 * after three times the last round trip if that is longer. An answer to any of
 * them extends the lease. */
#define HEDGE_MS 120
#define HEDGE_RTTS 3
/* Time limit of a lease grant. A lease whose grant was not answered is never
 * renewed and expires by itself. */
#define GRANT_TIMEOUT_MS 600
/* The store counts as silent when a renewal has waited this long and no other
 * answer has arrived in the meantime. A slow store takes up to
 * half of this time to answer. */
#define STORE_SILENT_MS 500

static void
request(struct wf_lease *l, agb_time now, struct wf_effects *out)
{
	struct agb_store_op *const op =
	    wf_core_op_add(WF_OP_LEASE_GRANT, AGB_STORE_LEASE_GRANT, out);

	out->items[out->len - 1].timeout_ms = GRANT_TIMEOUT_MS;
	op->ttl_s = (LEASE_MS + 999) / 1000;
	op->ttl_ms = LEASE_MS;
	l->op_pending = true;
	l->op_sent_at = now;
}

static void
renew(struct wf_lease *l, agb_time now, struct wf_effects *out)
{
	const uint64_t n = ++l->renewals_sent;
	struct wf_lease_renewal *const r =
	    &l->renewals[n % WF_LEASE_RENEWALS_MAX];
	struct agb_store_op *const op =
	    wf_core_op_add(WF_OP_LEASE_RENEW, AGB_STORE_LEASE_KEEPALIVE, out);

	op->lease = l->id;
	out->items[out->len - 1].tag |= n << WF_CORE_OP_BITS;
	r->lease = l->id;
	r->sent_at = now;
	if (!l->op_pending)
		l->op_sent_at = now;
	l->op_pending = true;
	l->op_at =
	    now + agb_time_max(HEDGE_RTTS * l->store_rtt, HEDGE_MS * AGB_MS);
}

/* Forgets a lease that was given back or has expired. */
static void
clear(struct wf_lease *l, agb_time now)
{
	l->id = 0;
	l->valid_until = 0;
	l->op_pending = false;
	l->op_at = now;
}

static void
log_store_lost(struct wf_lease *l, agb_time now, struct wf_effects *out)
{
	if (l->store_lost || l->store_heard_at == 0 ||
	    now - l->store_heard_at <= LEASE_MS * AGB_MS)
		return;
	l->store_lost = true;
	wf_effects_log(out, AGB_LOG_WARN, "dependency",
	    "name=store change=lost silent_ms=%" PRIu64,
	    (now - l->store_heard_at) / AGB_MS);
}

agb_time
wf_lease_tick(struct wf_lease *l, agb_time now, struct wf_effects *out)
{
	if (l->id != 0 && now >= l->op_at)
		renew(l, now, out);
	else if (l->id == 0 && !l->op_pending && now >= l->op_at)
		request(l, now, out);
	log_store_lost(l, now, out);
	return l->id != 0 || !l->op_pending ? l->op_at : AGB_TIME_MAX;
}

enum wf_lease_change
wf_lease_grant_done(struct wf_lease *l, agb_time now,
    const struct agb_store_result *res, struct wf_effects *out)
{
	/* Late answer to an earlier call. */
	if (!l->op_pending || l->id != 0)
		return WF_LEASE_UNCHANGED;
	l->op_pending = false;
	l->op_at = now + RETRY_MS * AGB_MS;
	if (res->status != AGB_STORE_OK)
		return WF_LEASE_UNCHANGED;
	wf_lease_store_answered(l, now, out);
	if (res->lease == 0)
		return WF_LEASE_UNCHANGED;
	l->id = res->lease;
	l->valid_until = l->op_sent_at + LEASE_MS * AGB_MS;
	l->op_at = now + RENEW_MS * AGB_MS;
	l->store_rtt = now - l->op_sent_at;
	wf_effects_log(out, AGB_LOG_INFO, "lease",
	    "change=granted lease=%" PRId64 " ttl_ms=%d rtt_us=%" PRIu64, l->id,
	    LEASE_MS, l->store_rtt);
	return WF_LEASE_GRANTED;
}

static enum wf_lease_change
extend(struct wf_lease *l, agb_time now, agb_time sent,
    const struct agb_store_result *res, struct wf_effects *out)
{
	if (res->ttl_s == 0) {
		wf_effects_log(out, AGB_LOG_WARN, "lease",
		    "change=lost lease=%" PRId64 " reason=\"%s\"", l->id,
		    WF_LEASE_LOST_REASON);
		clear(l, now);
		return WF_LEASE_LOST;
	}
	l->valid_until = agb_time_max(l->valid_until, sent + LEASE_MS * AGB_MS);
	l->op_at = sent + RENEW_MS * AGB_MS;
	l->store_rtt = now - sent;
	return WF_LEASE_RENEWED;
}

/* Several renewals may be in flight. The first answer counts; when one is lost,
 * the next is already scheduled. */
enum wf_lease_change
wf_lease_renewal_done(struct wf_lease *l, agb_time now, uint64_t number,
    const struct agb_store_result *res, struct wf_effects *out)
{
	const struct wf_lease_renewal *const r =
	    &l->renewals[number % WF_LEASE_RENEWALS_MAX];
	const bool newest = number == l->renewals_sent;

	if (l->id == 0 || r->lease != l->id ||
	    l->renewals_sent - number >= WF_LEASE_RENEWALS_MAX)
		return WF_LEASE_UNCHANGED;
	if (res->status == AGB_STORE_REFUSED && newest)
		l->op_at = now + RETRY_MS * AGB_MS;
	if (res->status != AGB_STORE_OK) {
		l->op_pending = l->op_pending && !newest;
		return WF_LEASE_UNCHANGED;
	}
	l->op_pending = false;
	wf_lease_store_answered(l, now, out);
	return extend(l, now, r->sent_at, res, out);
}

void
wf_lease_revoke(struct wf_lease *l, agb_time now, struct wf_effects *out)
{
	if (l->id == 0)
		return;
	wf_core_op_add(WF_OP_LEASE_REVOKE, AGB_STORE_LEASE_REVOKE, out)->lease =
	    l->id;
	clear(l, now);
}

void
wf_lease_store_answered(
    struct wf_lease *l, agb_time now, struct wf_effects *out)
{
	if (l->store_lost)
		wf_effects_log(out, AGB_LOG_INFO, "dependency",
		    "name=store change=regained away_ms=%" PRIu64,
		    (now - l->store_heard_at) / AGB_MS);
	l->store_lost = false;
	l->store_heard_at = now;
}

agb_time
wf_lease_store_latency(const struct wf_lease *l, agb_time now)
{
	const agb_time open = l->op_pending ? now - l->op_sent_at : 0;

	return agb_time_max(open, l->store_rtt);
}

bool
wf_lease_store_silent(const struct wf_lease *l, agb_time now)
{
	const agb_time limit =
	    agb_time_max(2 * l->store_rtt, STORE_SILENT_MS * AGB_MS);

	return l->store_heard_at == 0 ||
	    (now - l->store_heard_at > limit && l->op_pending &&
		now - l->op_sent_at > limit) ||
	    now - l->store_heard_at > 2 * limit;
}

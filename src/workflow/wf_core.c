#include "wf_core.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_core_op.h"
#include "wf_election.h"
#include "wf_failover.h"
#include "wf_feeds.h"
#include "wf_front.h"
#include "wf_leader.h"
#include "wf_lease.h"
#include "wf_peers.h"
#include "wf_proxy.h"
#include "wf_push.h"
#include "wf_ready.h"
#include "wf_relay.h"

/* The leader regularly pushes states and counts. Without a push for this long,
 * the local states may be outdated. */
#define PUSH_STALE_MS 1300
/* The same for the counts of pending jobs, which are pushed less often. */
#define COUNTS_STALE_MS 3000
/* A change of a count may be lost until all counts are received again. That takes
 * about 6 s when thousands of queues have jobs and links are congested, and
 * longer with more queues: counts are current for this long, or for this many
 * times what the last round took. A round that misses a push is followed by a
 * whole one. */
#define COUNTS_UNREPAIRED_MS 8000
#define COUNTS_UNREPAIRED_ROUNDS 3
/* The leader tells how much memory jobs take several times a second while that is
 * much. */
#define JOB_BYTES_STALE_MS 5000
/* How often an instance that does not watch all jobs removes finished ones. It
 * keeps them for a part of the time that their state can be queried: it does not
 * see that their records are deleted, and must have forgotten them by then, also
 * when it learned of their end late. After that their id may be used again. */
#define EXPIRE_INTERVAL_MS 5000
#define EXPIRE_STATUS_DIVISOR 2
#define LEADER_TAG_SHIFT 20

/**
 * struct wf_core - state of the reducer
 * @rejected_rev: revision of this instance's last election that ended because
 *	orders or writes were refused; it does not lead with it again
 * @failover: evidence that the leader's process is gone
 * @pushed_at: last push of the leader or of another peer
 * @counts_at: when all counts of pending jobs had been received; 0 for never
 * @counts_round_at: when the first push of the present round of counts arrived
 * @job_bytes_at: when the leader last told the memory that jobs take
 * @counts_round_took: time in which the last complete round arrived
 */
struct wf_core {
	struct wf_config cfg;
	struct wf_table table;
	struct wf_front *front;
	struct wf_leader *leader;
	struct wf_relay *relay;
	struct wf_proxy *proxy;
	struct wf_doc *doc;
	struct wf_meter meter;
	agb_time next_tick;
	struct wf_lease lease;
	struct wf_election election;
	uint64_t rejected_rev;
	struct wf_failover failover;
	agb_time started_at;
	struct wf_peers peers;
	agb_time pushed_at;
	agb_time counts_at;
	agb_time counts_round_at;
	agb_time counts_round_took;
	agb_time job_bytes_at;
	agb_time expire_at;
	struct wf_feeds feeds;
	struct wf_ready ready;
};

struct wf_core *
wf_core_new(const struct wf_config *cfg)
{
	struct wf_core *const c = agb_xcalloc(1, sizeof(*c));

	c->cfg = *cfg;
	wf_election_init(&c->election, cfg->seed);
	wf_peers_init(&c->peers, cfg->name);
	c->front = wf_front_new(&c->table, &c->cfg);
	c->relay = wf_relay_new(&c->table);
	wf_relay_set_text_lifetime(c->relay, cfg->status_s * AGB_SEC);
	c->proxy = wf_proxy_new();
	wf_meter_init(&c->meter, cfg->meter_ops, cfg->meter_arg);
	return c;
}

void
wf_core_free(struct wf_core *c)
{
	if (c == NULL)
		return;
	wf_leader_free(c->leader);
	wf_relay_free(c->relay);
	wf_proxy_free(c->proxy);
	wf_front_free(c->front);
	wf_table_free(&c->table);
	wf_doc_free(c->doc);
	free(c);
}

agb_time
wf_core_next_tick(const struct wf_core *c)
{
	return c->next_tick;
}

/* Moves the next tick to a time if that is earlier. */
static void
schedule_tick(struct wf_core *c, agb_time at)
{
	c->next_tick = agb_time_min(c->next_tick, at);
}

static void
step_down(struct wf_core *c, const char *why, struct wf_effects *out)
{
	struct wf_effect *ef;

	if (c->leader == NULL)
		return;
	wf_effects_log(out, AGB_LOG_WARN, "lead",
	    "change=stepped-down fence=%" PRIu64
	    " reason=\"%s\" leader=%s leader_revision=%" PRIu64,
	    c->leader->fence, why, c->table.leader, c->table.leader_rev);
	wf_leader_free(c->leader);
	c->leader = NULL;
	ef = wf_effects_add(out, WF_EF_WATCH_REGISTRY);
	ef->flag = false;
}

/* Revokes the lease; the registration ends with it. */
static void
revoke_lease(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	wf_election_unregister(&c->election);
	wf_lease_revoke(&c->lease, now->mono, out);
}

static void
on_lease_change(
    struct wf_core *c, enum wf_lease_change change, struct wf_effects *out)
{
	switch (change) {
	case WF_LEASE_UNCHANGED:
		break;
	case WF_LEASE_GRANTED:
		wf_election_register(&c->cfg, &c->lease, out);
		break;
	case WF_LEASE_RENEWED:
		if (!c->election.registered)
			wf_election_register(&c->cfg, &c->lease, out);
		break;
	case WF_LEASE_LOST:
		step_down(c, WF_LEASE_LOST_REASON, out);
		wf_election_unregister(&c->election);
		break;
	}
}

static void
on_core_store_result(struct wf_core *c, const struct wf_now *now, uint64_t tag,
    const struct agb_store_result *res, struct wf_effects *out)
{
	uint64_t number;

	switch (wf_core_op_from_tag(tag, &number)) {
	case WF_OP_LEASE_GRANT:
		on_lease_change(c,
		    wf_lease_grant_done(&c->lease, now->mono, res, out), out);
		break;
	case WF_OP_LEASE_RENEW:
		on_lease_change(c,
		    wf_lease_renewal_done(
			&c->lease, now->mono, number, res, out),
		    out);
		break;
	case WF_OP_REGISTER:
		wf_election_register_done(&c->election, res);
		break;
	case WF_OP_CAMPAIGN:
		/* Whether this instance won is learned from the feed. */
		wf_election_campaign_done(&c->election, now->mono);
		break;
	case WF_OP_HAND_OVER:
		wf_election_hand_over_done(&c->election, now->mono, res);
		break;
	case WF_OP_LEASE_REVOKE:
		break;
	}
}

static void
try_start_leading(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->leader != NULL || strcmp(c->table.leader, c->cfg.name) != 0 ||
	    now->mono >= c->lease.valid_until || c->ready.draining ||
	    c->table.leader_rev == c->rejected_rev)
		return;
	/* The key ends with the lease that it carries, perhaps an earlier one
	 * which was given back and whose end is not known. */
	if (c->table.leader_lease != c->lease.id)
		return;
	/* The local copy must include everything that earlier leaders wrote. */
	if (!wf_feeds_reach_election(&c->feeds, c->table.leader_rev))
		return;
	c->leader = wf_leader_new(c->table.leader_rev, &c->cfg, &c->meter,
	    &c->table, c->doc, now, out);
	c->leader->next_tag = c->table.leader_rev << LEADER_TAG_SHIFT;
	c->leader->valid_until = c->lease.valid_until;
	wf_effects_add(out, WF_EF_WATCH_REGISTRY)->flag = true;
}

static void
on_leader_changed(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const bool mine = strcmp(c->table.leader, c->cfg.name) == 0;
	uint32_t silent;

	wf_effects_log(out, AGB_LOG_INFO, "leader",
	    "leader=%s revision=%" PRIu64,
	    c->table.leader[0] != '\0' ? c->table.leader : "-",
	    c->table.leader_rev);
	if (c->leader != NULL &&
	    (!mine || c->leader->fence != c->table.leader_rev))
		step_down(c, "another instance has been elected", out);
	wf_election_update_rank(
	    &c->election, &c->table, c->cfg.name, now->mono);
	if (c->table.leader[0] == '\0') {
		silent = wf_peers_count_silent(&c->peers, &c->table, now->mono);
		wf_election_schedule(&c->election, &c->cfg,
		    now->mono - c->started_at, silent, now->mono);
	}
	try_start_leading(c, now, out);
}

static void
on_job_dropped(void *arg, struct wf_job *j)
{
	struct wf_core *const c = arg;

	if (c->leader != NULL && j->exec != NULL)
		wf_exec_free(c->leader, j->exec);
}

static void
feed_begin(struct wf_core *c, const struct wf_feed *feed)
{
	if (!feed->full)
		return;
	if (feed->id == WF_FEED_CONTROL)
		wf_table_begin_control_read(&c->table);
	else if (feed->id == WF_FEED_JOBS)
		wf_table_begin_jobs_read(&c->table);
}

static void
feed_end(struct wf_core *c, const struct wf_feed *feed, struct wf_effects *out)
{
	if (feed->full && feed->id == WF_FEED_CONTROL)
		wf_table_sweep_control(&c->table);
	else if (feed->full && feed->id == WF_FEED_JOBS)
		wf_table_sweep_jobs(
		    &c->table, feed->revision, on_job_dropped, c);
	wf_feeds_delivered(&c->feeds, feed, HASH_COUNT(c->table.jobs), out);
}

static void
on_feed(struct wf_core *c, const struct wf_now *now, const struct wf_feed *feed,
    struct wf_effects *out)
{
	struct wf_table_change ch;
	bool peers, leader;
	size_t i;

	/* A delivery that was in flight when its feed was closed. */
	if (!c->feeds.feed[feed->id].watched)
		return;
	peers = leader = feed->full && feed->id == WF_FEED_CONTROL;
	feed_begin(c, feed);
	for (i = 0; i < feed->items_len; i++) {
		ch = wf_table_apply(&c->table, &feed->items[i]);
		peers = peers || ch.peers_changed;
		leader = leader || ch.leader_changed;
		wf_feeds_note_change(&c->feeds, &ch);
		if (ch.malformed)
			wf_effects_log(out, AGB_LOG_ERROR, "record",
			    "key=%s malformed=yes revision=%" PRIu64,
			    feed->items[i].key, feed->items[i].mod_rev);
		if (ch.job != NULL && c->leader != NULL)
			wf_leader_update_job(c->leader, now, ch.job, out);
	}
	feed_end(c, feed, out);
	if (peers)
		wf_peers_allow(&c->table, out);
	if (peers && c->leader != NULL)
		wf_leader_update_peers(c->leader);
	if (peers && !leader)
		wf_election_update_rank(
		    &c->election, &c->table, c->cfg.name, now->mono);
	if (leader)
		on_leader_changed(c, now, out);
}

/* Accounts that list the same key, which is not written: it is a secret. */
static void
log_shared_keys(const struct wf_doc *doc, struct wf_effects *out)
{
	if (doc->shared_keys == 0)
		return;
	wf_effects_log(out, AGB_LOG_WARN, "document",
	    "version=%" PRIu64 " shared_keys=%zu account=\"%s\" also=\"%s\"",
	    doc->version, doc->shared_keys,
	    doc->accounts[doc->shared_owner].name,
	    doc->accounts[doc->shared_other].name);
}

static void
on_doc(struct wf_core *c, struct wf_doc *doc, struct wf_effects *out)
{
	struct wf_doc *const old = c->doc;

	if (old != NULL && doc->version <= old->version) {
		wf_doc_free(doc);
		return;
	}
	wf_effects_log(out, AGB_LOG_INFO, "document",
	    "version=%" PRIu64 " before=%" PRIu64 " queues=%zu services=%zu",
	    doc->version, old != NULL ? old->version : 0, doc->queues_len,
	    doc->services_len);
	log_shared_keys(doc, out);
	doc->compared = &c->meter.total.queues_compared;
	c->doc = doc;
	wf_front_set_doc(c->front, doc);
	if (c->leader != NULL)
		wf_leader_set_doc(c->leader, doc);
	wf_doc_free(old);
}

/* Stops leading, and gives the lease back. */
static void
resign_at_shutdown(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	wf_election_end_hand_over(&c->election);
	step_down(c, "this instance is shutting down", out);
	revoke_lease(c, now, out);
}

/* Return: false when there is no other instance that can lead at once. */
static bool
begin_hand_over(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->leader == NULL || wf_lease_store_silent(&c->lease, now->mono))
		return false;
	return wf_election_hand_over(&c->election, &c->table, c->cfg.name,
	    c->leader->fence, now->mono, out);
}

static void
tick_hand_over(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->election.hand_over_until == 0)
		return;
	if (c->leader == NULL || now->mono >= c->election.hand_over_until)
		resign_at_shutdown(c, now, out);
	else
		schedule_tick(c, c->election.hand_over_until);
}

static void
on_term(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->ready.draining)
		return;
	wf_ready_drain(&c->ready, now->mono);
	wf_effects_log(out, AGB_LOG_INFO, "drain", "requests=%zu leads=%s",
	    wf_front_open_count(c->front), c->leader != NULL ? "yes" : "no");
	if (!begin_hand_over(c, now, out))
		resign_at_shutdown(c, now, out);
}

static void
apply_pushed(struct wf_core *c, const struct wf_now *now,
    const struct wf_feed *feed, struct wf_effects *out)
{
	struct wf_table_change ch;
	size_t i;

	for (i = 0; i < feed->items_len; i++) {
		ch = wf_table_apply(&c->table, &feed->items[i]);
		if (ch.job != NULL && c->leader != NULL)
			wf_leader_update_job(c->leader, now, ch.job, out);
	}
}

/* Tells the leader of a record that was stored for a peer. The peer cannot: it
 * is cut off from the store and may not know who leads by now. */
static void
push_stored_record(struct wf_core *c, const struct wf_now *now,
    const struct wf_record *rec, struct wf_effects *out)
{
	const struct agb_store_kv kv = {.key = (char *)(uintptr_t)rec->key,
	    .val = rec->val,
	    .val_len = rec->len,
	    .create_rev = rec->revision,
	    .mod_rev = rec->revision};
	const struct wf_feed feed = {.items = &kv, .items_len = 1};
	const struct wf_peer *const leader = wf_table_leader(&c->table);

	if (c->leader != NULL)
		apply_pushed(c, now, &feed, out);
	else if (leader != NULL && strcmp(leader->name, c->cfg.name) != 0)
		wf_push_records(leader, &feed, out);
}

/* Applies records that the leader or another peer has pushed. Those that are
 * stored are delivered again by the feeds. */
static void
on_push(struct wf_core *c, const struct wf_now *now, const struct wf_feed *feed,
    bool forward, struct wf_effects *out)
{
	const struct wf_known_counts *const counts = &c->table.counts;
	const uint64_t completed = counts->completed;
	const uint64_t fence = counts->fence;
	const uint64_t round = counts->round;
	const uint64_t job_bytes_pushes = c->table.job_bytes_pushes;

	c->pushed_at = now->mono;
	if (forward)
		wf_push_forward(&c->table, &c->cfg, feed, out);
	wf_known_counts_begin_push(&c->table.counts);
	apply_pushed(c, now, feed, out);
	if (c->table.job_bytes_pushes != job_bytes_pushes)
		c->job_bytes_at = now->mono;
	if (counts->fence != fence || counts->round != round)
		c->counts_round_at = now->mono;
	if (counts->completed == completed)
		return;
	c->counts_at = now->mono;
	/* A leader of an earlier version has no rounds. */
	c->counts_round_took =
	    counts->push_round > 0 ? now->mono - c->counts_round_at : 0;
}

static void
on_store(struct wf_core *c, const struct wf_now *now, uint64_t tag,
    bool made_by_peer, const struct agb_store_result *res,
    struct wf_effects *out)
{
	struct wf_record stored;
	struct wf_job *job;

	/* A write that a peer has made proves nothing about the path from this
	 * instance to the store. */
	if (res->status == AGB_STORE_OK && !made_by_peer)
		wf_lease_store_answered(&c->lease, now->mono, out);
	if (wf_front_handle_store_result(c->front, now, tag, res, &job, out)) {
		if (job != NULL && c->leader != NULL)
			wf_leader_update_job(c->leader, now, job, out);
		return;
	}
	if (tag & WF_PROXY_PUT_TAG) {
		if (wf_proxy_put_done(c->proxy, tag, res, &stored, out)) {
			push_stored_record(c, now, &stored, out);
			free(stored.val);
		}
		return;
	}
	if (tag & WF_CORE_TAG) {
		on_core_store_result(c, now, tag, res, out);
		return;
	}
	if (c->leader != NULL)
		wf_commit_handle_result(c->leader, now, tag, res, out);
}

static void
on_advice(struct wf_core *c, const struct wf_now *now, uint64_t tag,
    const struct wf_advice *a, struct wf_effects *out)
{
	if (tag & WF_PROXY_ADVICE_TAG)
		wf_proxy_advice_done(c->proxy, tag, a, out);
	else if (c->leader != NULL)
		wf_advice_handle_answer(c->leader, now, tag, a, out);
}

static void
tick_lease(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->ready.draining && c->leader == NULL)
		return;
	schedule_tick(c, wf_lease_tick(&c->lease, now->mono, out));
}

static void
tick_peers(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const bool leads = c->leader != NULL;

	schedule_tick(
	    c, wf_peers_tick(&c->peers, &c->table, leads, now->mono, out));
	if (!wf_peers_isolated(&c->peers, &c->table, leads, now->mono, out))
		return;
	step_down(c, "most instances do not answer", out);
	revoke_lease(c, now, out);
}

/* A peer has closed a connection or refused one. When the leader has closed it,
 * a ping finds out at once whether its process is gone. */
static void
on_peer_lost(struct wf_core *c, const struct wf_now *now, const char *rpc,
    bool refused, struct wf_effects *out)
{
	struct wf_peer *const p = wf_table_leader(&c->table);

	if (refused) {
		wf_failover_note_refused(&c->failover, &c->table, rpc);
		return;
	}
	if (p != NULL && strcmp(p->rpc, rpc) == 0)
		wf_peers_ping(&c->peers, p, now->mono, out);
}

/* Ends the lease of a leader that is certainly gone. */
static void
tick_failover(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	int64_t lease;

	if (c->ready.draining || !c->feeds.feed[WF_FEED_CONTROL].synced)
		return;
	lease =
	    wf_failover_lease(&c->failover, &c->table, c->cfg.name, c->cfg.rpc,
		c->lease.id, wf_election_is_standby(&c->election), now->mono);
	if (lease == 0)
		return;
	wf_core_op_add(WF_OP_LEASE_REVOKE, AGB_STORE_LEASE_REVOKE, out)->lease =
	    lease;
	wf_effects_log(out, AGB_LOG_WARN, "leader",
	    "leader=%s revision=%" PRIu64 " change=gone lease=%" PRId64,
	    c->table.leader, c->table.leader_rev, lease);
}

static void
tick_election(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->leader != NULL && c->leader->leadership_lost) {
		c->rejected_rev = c->leader->fence;
		step_down(c, "its orders or writes are refused", out);
		revoke_lease(c, now, out);
	}
	try_start_leading(c, now, out);
	if (c->leader != NULL || c->ready.draining || c->doc == NULL ||
	    !c->feeds.feed[WF_FEED_CONTROL].synced ||
	    !wf_feeds_all_jobs_synced(&c->feeds) || c->table.leader[0] != '\0')
		return;
	schedule_tick(c,
	    wf_election_tick(&c->election, &c->cfg, &c->lease, now->mono, out));
}

static void
tick_ready(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const struct wf_ready_needs needs = {
	    .has_document = c->doc != NULL,
	    .document = c->doc != NULL ? c->doc->version : 0,
	    .synced = c->feeds.feed[WF_FEED_CONTROL].synced,
	    .store_heard_at = c->lease.store_heard_at,
	};

	schedule_tick(c,
	    wf_ready_tick(&c->ready, &needs, c->cfg.grace_ms,
		wf_front_open_count(c->front), now->mono, out));
}

static void
tick_feeds(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const struct wf_feeds_role role = {
	    .leads = c->leader != NULL,
	    .elected = strcmp(c->table.leader, c->cfg.name) == 0,
	    .leaderless = c->table.leader[0] == '\0',
	    .draining = c->ready.draining,
	};

	schedule_tick(c,
	    wf_feeds_tick(&c->feeds, &role, &c->election, c->lease.store_rtt,
		now->mono, out));
}

/* How long counts are current after all of them were received. */
static agb_time
counts_lifetime(const struct wf_core *c)
{
	return agb_time_max(COUNTS_UNREPAIRED_MS * AGB_MS,
	    COUNTS_UNREPAIRED_ROUNDS * c->counts_round_took);
}

static void
tick_front(struct wf_core *c, const struct wf_now *now)
{
	const bool store = !wf_lease_store_silent(&c->lease, now->mono);
	const agb_time kept = c->cfg.status_s * AGB_SEC / EXPIRE_STATUS_DIVISOR;
	struct wf_front_knowledge known;
	const bool complete =
	    c->leader != NULL || (wf_feeds_all_jobs_synced(&c->feeds) && store);

	known.jobs_complete = complete;
	known.states_current = complete ||
	    (c->pushed_at > 0 &&
		now->mono - c->pushed_at < PUSH_STALE_MS * AGB_MS);
	known.job_bytes = c->leader != NULL ? c->leader->show.job_bytes
	    : now->mono - c->job_bytes_at < JOB_BYTES_STALE_MS * AGB_MS
	    ? c->table.job_bytes
	    : 0;
	known.job_bytes_updates = c->leader != NULL
	    ? c->leader->show.job_bytes_updates
	    : c->table.job_bytes_pushes;
	known.counts_current = c->counts_at > 0 &&
	    now->mono - c->pushed_at < COUNTS_STALE_MS * AGB_MS &&
	    now->mono - c->counts_at < counts_lifetime(c);
	wf_front_set_knowledge(c->front, &known);
	if (now->mono < c->expire_at)
		return;
	c->expire_at = now->mono + EXPIRE_INTERVAL_MS * AGB_MS;
	if (!c->feeds.feed[WF_FEED_JOBS].watched)
		wf_table_expire(&c->table, now->mono,
		    now->mono > kept ? now->mono - kept : 0);
}

static void
tick(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	c->next_tick = now->mono + AGB_SEC;
	tick_lease(c, now, out);
	tick_peers(c, now, out);
	tick_hand_over(c, now, out);
	tick_failover(c, now, out);
	tick_election(c, now, out);
	if (c->leader != NULL) {
		c->leader->valid_until = c->lease.valid_until;
		schedule_tick(c, wf_leader_tick(c->leader, now, out));
	}
	tick_feeds(c, now, out);
	tick_front(c, now);
	wf_front_set_store_silent(
	    c->front, wf_lease_store_silent(&c->lease, now->mono));
	wf_front_set_store_latency(
	    c->front, wf_lease_store_latency(&c->lease, now->mono));
	schedule_tick(c, wf_front_tick(c->front, now, out));
	schedule_tick(c, wf_relay_tick(c->relay, now, out));
	tick_ready(c, now, out);
}

void
wf_core_handle(struct wf_core *c, const struct wf_now *now, struct wf_event *ev,
    struct wf_effects *out)
{
	if (c->started_at == 0)
		c->started_at = now->mono;
	switch (ev->type) {
	case WF_EV_TICK:
		break;
	case WF_EV_TERM:
		on_term(c, now, out);
		break;
	case WF_EV_DOC:
		on_doc(c, ev->u.doc, out);
		break;
	case WF_EV_FEED:
		on_feed(c, now, &ev->u.feed, out);
		break;
	case WF_EV_RUNNERS:
		if (c->leader != NULL)
			wf_fleet_apply_changes(
			    c->leader, now, &ev->u.runners, out);
		break;
	case WF_EV_STORE:
		on_store(c, now, ev->tag, ev->flag, ev->u.store, out);
		break;
	case WF_EV_CALL:
		wf_front_handle_call(c->front, now, c->doc, ev->u.call, out);
		break;
	case WF_EV_ORDER_RESULT:
		if (ev->u.order->number > 0)
			wf_relay_handle_result(c->relay, ev->u.order);
		else if (c->leader != NULL)
			wf_fleet_handle_result(
			    c->leader, now, ev->u.order, out);
		break;
	case WF_EV_ORDERS:
		wf_relay_handle_orders(c->relay, now, ev->tag, ev->u.orders,
		    !c->ready.draining, out);
		break;
	case WF_EV_ORDERS_ACK:
		if (c->leader != NULL)
			wf_outbox_call_done(
			    c->leader, now, ev->tag, &ev->u.orders_ack, out);
		break;
	case WF_EV_PAYLOAD_REQUEST:
		wf_front_send_payload(
		    c->front, ev->tag, ev->u.payload.job, out);
		break;
	case WF_EV_PAYLOAD:
		wf_relay_handle_text(c->relay, now, ev->tag,
		    ev->flag ? &ev->u.payload : NULL, out);
		break;
	case WF_EV_RESULTS:
		if (c->leader != NULL)
			wf_outbox_handle_results(
			    c->leader, now, ev->u.results, out);
		break;
	case WF_EV_ADVICE:
	case WF_EV_PEER_ADVICE:
		on_advice(c, now, ev->tag, ev->u.advice, out);
		break;
	case WF_EV_PEER_ADVICE_REQUEST:
		wf_proxy_request_advice(
		    c->proxy, ev->tag, ev->u.advice_request, out);
		break;
	case WF_EV_PEER_ACK:
		wf_peers_ping_done(
		    &c->table, ev->tag, ev->flag, now->mono, out);
		break;
	case WF_EV_PUSH_DONE:
		if (c->leader != NULL)
			wf_show_push_done(
			    c->leader, now, ev->tag, ev->u.push_outcome, out);
		break;
	case WF_EV_PEER_LOST:
		on_peer_lost(c, now, ev->u.peer, ev->flag, out);
		break;
	case WF_EV_PEER_PUSH:
		on_push(c, now, &ev->u.feed, ev->flag, out);
		break;
	case WF_EV_PEER_PUT:
		wf_proxy_put(c->proxy, ev->tag, &ev->u.put,
		    wf_lease_store_silent(&c->lease, now->mono), out);
		break;
	}
	tick(c, now, out);
	wf_meter_lap(&c->meter, WF_PART_EVENT);
}

size_t
wf_core_body_max(const struct wf_core *c)
{
	return c->doc != NULL ? c->doc->body_max : SIZE_MAX;
}

void
wf_core_get_gauges(const struct wf_core *c, agb_time now, struct wf_gauges *out)
{
	memset(out, 0, sizeof(*out));
	out->document_version = c->doc != NULL ? c->doc->version : 0;
	out->store_revision = c->feeds.feed[WF_FEED_CONTROL].revision;
	out->ready = c->ready.ready;
	wf_gauges_count_jobs(out, &c->table);
	if (c->leader != NULL)
		wf_gauges_read_leader(out, c->leader, now);
}

struct wf_meter *
wf_core_meter(struct wf_core *c)
{
	return &c->meter;
}

const char *
wf_core_job_state(struct wf_core *c, const char *job)
{
	const struct wf_job *const j = wf_table_job(&c->table, job);

	return j != NULL ? wf_job_state_name(j->state) : NULL;
}

#include "wf_core.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_failover.h"
#include "wf_front.h"
#include "wf_handover.h"
#include "wf_leader.h"
#include "wf_proxy.h"
#include "wf_relay.h"

/* Lease of an instance. When a leader dies, a successor is elected after its
 * lease has expired. */
#define LEASE_MS 1200
#define RENEW_MS 300
#define RENEW_RETRY_MS 100
/* A renewal without an answer is followed by another one after this time, or
 * after three times the last round trip if that is longer. An answer to any of
 * them extends the lease. */
#define RENEW_HEDGE_MS 120
#define RENEW_HEDGE_RTTS 3
/* Number of recent renewals whose answers are still accepted. */
#define RENEWALS_MAX 8
#define STORE_TIMEOUT_MS 1000
/* Time limit of a lease grant. A lease whose grant was not answered is never
 * renewed and expires by itself. */
#define GRANT_TIMEOUT_MS 600
/* Instances stand for election in descending order of their scores, because the
 * leader does most of the work and should be close to the store. */
#define ELECT_DELAY_MS 5
#define ELECT_DELAY_PER_RANK_MS 40
#define ELECT_JITTER_MS 10
#define ELECT_RETRY_MS 200
/* When all instances start together, one with less CPU than this share waits
 * three milliseconds for each permille below it, so that a larger one that
 * starts slightly later is elected. */
#define ELECT_NO_DELAY_PERMILLE 250
#define ELECT_DELAY_PER_PERMILLE_MS 3
#define ELECT_STARTUP_MS 1500
/* The score of an instance is its CPU share in permille, minus this value for
 * each millisecond of round trip to the store. */
#define SCORE_PER_RTT_MS 8
/* Network bandwidth needed by the orders that one permille of a core can
 * relay. */
#define LINK_KBPS_PER_PERMILLE 40
/* Number of instances that follow all jobs, so that one of them can take over
 * immediately. When none of them does, the others also read all jobs, in groups
 * of this size one after the other: reading at the same time would saturate the
 * link between regions. */
#define STANDBY_COUNT 3
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
#define FEED_ELECTION_MS 10
#define FEED_LEADER_MS 300
#define FEED_FOLLOWER_MS 600
/* The leader regularly pushes states and counts. Without a push for this long,
 * the local states may be outdated. */
#define PUSH_STALE_MS 1300
/* How often an instance that does not watch all jobs removes finished ones, and
 * how long it keeps them beyond the time that their state can be queried. */
#define EXPIRE_INTERVAL_MS 5000
#define EXPIRE_SLACK_MS 20000
/* Besides the leader, an instance pings this many peers that follow it in the
 * order of names. */
#define PING_NEIGHBORS 5
/* An instance without an answer of the store for this long reports that it is
 * not ready, because other instances serve new requests better. */
#define READY_STORE_MS 1500
/* The store counts as silent when a renewal has waited this long and no other
 * answer has arrived in the meantime. A slow store takes up to
 * half of this time to answer. */
#define STORE_SILENT_MS 500
/* After SIGTERM, clients have this long to move their connections. Then the
 * process exits once no request is open, and at the latest this margin before
 * it would be killed. */
#define DRAIN_MS 3500
#define DRAIN_MARGIN_MS 1200
/* A leader that shuts down and has not handed over the leadership after this
 * time gives its lease back, so that the others elect one. */
#define HAND_OVER_MAX_MS 900
/* Instances ping each other. A leader that most of them do not answer resigns,
 * but not again within the pause. */
#define PING_INTERVAL_MS 800
#define PING_TIMEOUT_MS 700
#define ISOLATED_MS 900
#define RESIGN_PAUSE_MS 15000
/* Added to the election delay of an instance for each peer that does not answer
 * it. */
#define ELECT_DELAY_PER_SILENT_MS 100

#define CORE_TAG ((uint64_t)1 << 62)
#define PING_TAG ((uint64_t)1 << 59)
#define LEADER_TAG_SHIFT 20

enum core_op {
	OP_LEASE_GRANT = 1,
	OP_REGISTER,
	OP_LEASE_RENEW,
	OP_CAMPAIGN,
	OP_LEASE_REVOKE,
	OP_HAND_OVER,
};

/* Tags of the core's own store operations hold the operation in the low bits
 * and the number of a renewal above them. */
#define OP_BITS 8

/**
 * struct wf_core - state of the reducer
 * @random: state of the random number generator
 * @lease_op_at: when the next grant or renewal of the lease is due
 * @lease_op_pending: a grant or renewal has not been answered
 * @renewal: recent renewals, indexed by their number modulo RENEWALS_MAX
 * @lease_valid_until: the lease certainly exists until then
 * @store_heard_at: last answer of the store, or 0
 * @store_rtt: last round trip to the store
 * @rejected_rev: revision of this instance's last election that ended because
 *	orders or writes were refused; it does not lead with it again
 * @failover: evidence that the leader's process is gone
 * @leaderless_at: when the last leader was lost
 * @barrier_jobs, @barrier_states: revision of the last election that the feed
 *	of jobs or of states has delivered
 * @pushed_at: last push of the leader or of another peer
 * @term_at: when SIGTERM was received
 * @hand_over_until: until then the leadership is being handed over, or 0
 * @feeds: @synced is set once a full read has been delivered
 * @rank: number of instances that stand for election before this one;
 *	UINT32_MAX while it is not registered
 * @standby_at: when it became one of the first STANDBY_COUNT by rank
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
	uint64_t random;
	uint64_t next_tag;
	agb_time next_tick;
	/* lease and election */
	int64_t lease_id;
	agb_time lease_op_sent_at;
	agb_time lease_op_at;
	uint64_t renewals_sent;
	struct {
		int64_t lease;
		agb_time sent_at;
	} renewal[RENEWALS_MAX];
	agb_time lease_valid_until;
	agb_time store_heard_at;
	agb_time store_rtt;
	uint64_t rejected_rev;
	struct wf_failover failover;
	agb_time started_at;
	agb_time elect_at;
	agb_time leaderless_at;
	agb_time isolated_at;
	agb_time resigned_at;
	uint64_t barrier_jobs;
	uint64_t barrier_states;
	/* peers */
	agb_time ping_at;
	agb_time pushed_at;
	agb_time expire_at;
	agb_time term_at;
	agb_time hand_over_until;
	struct {
		uint64_t revision;
		uint32_t interval_ms;
		bool watched;
		bool synced;
	} feeds[WF_FEEDS];
	uint32_t rank;
	agb_time standby_at;
	bool ready;
	bool ready_known;
	bool draining;
	bool exiting;
	bool lease_op_pending;
	bool registered;
	bool campaigning;
	bool store_lost;
};

struct wf_core *
wf_core_new(const struct wf_config *cfg)
{
	struct wf_core *const c = agb_xcalloc(1, sizeof(*c));

	c->cfg = *cfg;
	c->random = cfg->seed | 1;
	c->front = wf_front_new(&c->table, &c->cfg);
	c->relay = wf_relay_new(&c->table);
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

static uint32_t
random_below(struct wf_core *c, uint32_t max)
{
	c->random ^= c->random << 13;
	c->random ^= c->random >> 7;
	c->random ^= c->random << 17;
	return (uint32_t)(c->random % max);
}

static struct agb_store_op *
add_store_op(struct wf_core *c, enum core_op op, enum agb_store_op_kind kind,
    struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_STORE);

	ef->tag = CORE_TAG | op;
	ef->timeout_ms = STORE_TIMEOUT_MS;
	agb_store_op_init(&ef->u.store, kind);
	return &ef->u.store;
}

static void
set_feed_interval(
    struct wf_core *c, enum wf_feed_id id, uint32_t ms, struct wf_effects *out)
{
	struct wf_effect *ef;

	if (!c->feeds[id].watched || c->feeds[id].interval_ms == ms)
		return;
	c->feeds[id].interval_ms = ms;
	ef = wf_effects_add(out, WF_EF_FEED_INTERVAL);
	ef->feed = id;
	ef->interval_ms = ms;
}

static void
watch_feed(
    struct wf_core *c, enum wf_feed_id id, bool on, struct wf_effects *out)
{
	struct wf_effect *ef;

	if (c->feeds[id].watched == on)
		return;
	c->feeds[id].watched = on;
	c->feeds[id].synced = false;
	c->feeds[id].interval_ms = 0;
	ef = wf_effects_add(out, WF_EF_WATCH_FEED);
	ef->feed = id;
	ef->flag = on;
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

/* Revokes the lease, so that the next election need not wait for its expiry. */
static void
revoke_lease(struct wf_core *c, struct wf_effects *out)
{
	if (c->lease_id == 0)
		return;
	add_store_op(c, OP_LEASE_REVOKE, AGB_STORE_LEASE_REVOKE, out)->lease =
	    c->lease_id;
	c->lease_id = 0;
	c->registered = false;
	c->lease_valid_until = 0;
	c->lease_op_pending = false;
}

static void
request_lease(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	struct agb_store_op *const op =
	    add_store_op(c, OP_LEASE_GRANT, AGB_STORE_LEASE_GRANT, out);

	out->items[out->len - 1].timeout_ms = GRANT_TIMEOUT_MS;
	op->ttl_s = (LEASE_MS + 999) / 1000;
	op->ttl_ms = LEASE_MS;
	c->lease_op_pending = true;
	c->lease_op_sent_at = now->mono;
}

static void
renew_lease(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const uint64_t n = ++c->renewals_sent;
	struct wf_effect *ef;

	add_store_op(c, OP_LEASE_RENEW, AGB_STORE_LEASE_KEEPALIVE, out)->lease =
	    c->lease_id;
	ef = &out->items[out->len - 1];
	ef->tag |= n << OP_BITS;
	c->renewal[n % RENEWALS_MAX].lease = c->lease_id;
	c->renewal[n % RENEWALS_MAX].sent_at = now->mono;
	if (!c->lease_op_pending)
		c->lease_op_sent_at = now->mono;
	c->lease_op_pending = true;
	c->lease_op_at = now->mono +
	    agb_time_max(
		RENEW_HEDGE_RTTS * c->store_rtt, RENEW_HEDGE_MS * AGB_MS);
}

/* Capacity for relaying orders: limited by the CPU share or by the network
 * link, whichever is smaller. */
static uint32_t
relay_capacity(const struct wf_config *cfg)
{
	const uint32_t by_link = cfg->link_kbps / LINK_KBPS_PER_PERMILLE;

	return cfg->link_kbps == 0 || cfg->cpu_permille < by_link
	    ? cfg->cpu_permille
	    : by_link;
}

static void
register_instance(struct wf_core *c, struct wf_effects *out)
{
	struct wf_x_peer x;
	struct agb_store_op *op;
	char key[WF_KEY_MAX];
	size_t len;
	char *raw;

	memset(&x, 0, sizeof(x));
	x.score = (int)c->cfg.cpu_permille -
	    (int)(c->store_rtt / AGB_MS) * SCORE_PER_RTT_MS;
	x.capacity = relay_capacity(&c->cfg);
	x.rpc = c->cfg.rpc;
	x.domain = c->cfg.domain;
	x.region = c->cfg.region;
	raw = wf_table_encode((xdrproc_t)xdr_wf_x_peer, &x, &len);
	op = add_store_op(c, OP_REGISTER, AGB_STORE_TXN, out);
	wf_table_make_key(key, 'n', c->cfg.name);
	agb_store_op_add_put(op, key, raw, len, c->lease_id);
	free(raw);
}

/* Adds what makes an instance the leader. */
static void
add_election(struct agb_store_op *op, const char *name, int64_t lease)
{
	agb_store_op_add_put(op, WF_KEY_LEADER, name, strlen(name), lease);
	agb_store_op_add_put(op, WF_KEY_BARRIER_JOBS, name, strlen(name), 0);
	agb_store_op_add_put(op, WF_KEY_BARRIER_STATES, name, strlen(name), 0);
}

static void
campaign(struct wf_core *c, struct wf_effects *out)
{
	struct agb_store_op *const op =
	    add_store_op(c, OP_CAMPAIGN, AGB_STORE_TXN, out);

	agb_store_op_add_cmp(op, WF_KEY_LEADER, AGB_STORE_CMP_MOD_REV, 0);
	add_election(op, c->cfg.name, c->lease_id);
	c->campaigning = true;
}

static void
on_lease_lost(struct wf_core *c, const struct wf_now *now, const char *why,
    struct wf_effects *out)
{
	wf_effects_log(out, AGB_LOG_WARN, "lease",
	    "change=lost lease=%" PRId64 " reason=\"%s\"", c->lease_id, why);
	step_down(c, why, out);
	c->lease_id = 0;
	c->registered = false;
	c->lease_valid_until = 0;
	c->lease_op_pending = false;
	c->lease_op_at = now->mono;
}

static void
note_store_answer(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->store_lost)
		wf_effects_log(out, AGB_LOG_INFO, "dependency",
		    "name=store change=regained away_ms=%" PRIu64,
		    (now->mono - c->store_heard_at) / AGB_MS);
	c->store_lost = false;
	c->store_heard_at = now->mono;
}

static void
on_lease_granted(struct wf_core *c, const struct wf_now *now,
    const struct agb_store_result *res, struct wf_effects *out)
{
	if (res->lease == 0)
		return;
	c->lease_id = res->lease;
	c->lease_valid_until = c->lease_op_sent_at + LEASE_MS * AGB_MS;
	c->lease_op_at = now->mono + RENEW_MS * AGB_MS;
	c->store_rtt = now->mono - c->lease_op_sent_at;
	wf_effects_log(out, AGB_LOG_INFO, "lease",
	    "change=granted lease=%" PRId64 " ttl_ms=%d rtt_us=%" PRIu64,
	    c->lease_id, LEASE_MS, c->store_rtt);
	register_instance(c, out);
}

static void
on_lease_renewed(struct wf_core *c, const struct wf_now *now, agb_time sent,
    const struct agb_store_result *res, struct wf_effects *out)
{
	if (res->ttl_s == 0) {
		on_lease_lost(
		    c, now, "the store reports that it has expired", out);
		return;
	}
	c->lease_valid_until =
	    agb_time_max(c->lease_valid_until, sent + LEASE_MS * AGB_MS);
	c->lease_op_at = sent + RENEW_MS * AGB_MS;
	c->store_rtt = now->mono - sent;
	if (!c->registered)
		register_instance(c, out);
}

/* Several renewals may be in flight. The first answer counts; when one is lost,
 * the next is already scheduled. */
static void
on_renewal_result(struct wf_core *c, const struct wf_now *now, uint64_t n,
    const struct agb_store_result *res, struct wf_effects *out)
{
	const agb_time sent = c->renewal[n % RENEWALS_MAX].sent_at;

	if (c->lease_id == 0 ||
	    c->renewal[n % RENEWALS_MAX].lease != c->lease_id ||
	    c->renewals_sent - n >= RENEWALS_MAX)
		return;
	if (res->status == AGB_STORE_REFUSED && n == c->renewals_sent)
		c->lease_op_at = now->mono + RENEW_RETRY_MS * AGB_MS;
	if (res->status != AGB_STORE_OK) {
		c->lease_op_pending =
		    c->lease_op_pending && n != c->renewals_sent;
		return;
	}
	c->lease_op_pending = false;
	note_store_answer(c, now, out);
	on_lease_renewed(c, now, sent, res, out);
}

static void
on_core_store_result(struct wf_core *c, const struct wf_now *now, uint64_t tag,
    const struct agb_store_result *res, struct wf_effects *out)
{
	const enum core_op op =
	    (enum core_op)(tag & (((uint64_t)1 << OP_BITS) - 1));
	const bool ok = res->status == AGB_STORE_OK;

	switch (op) {
	case OP_LEASE_GRANT:
		/* Late answer to an earlier call. */
		if (!c->lease_op_pending || c->lease_id != 0)
			return;
		c->lease_op_pending = false;
		c->lease_op_at = now->mono + RENEW_RETRY_MS * AGB_MS;
		if (!ok)
			return;
		note_store_answer(c, now, out);
		on_lease_granted(c, now, res, out);
		break;
	case OP_LEASE_RENEW:
		on_renewal_result(c, now, tag >> OP_BITS, res, out);
		break;
	case OP_REGISTER:
		c->registered = ok && res->succeeded;
		break;
	case OP_CAMPAIGN:
		/* Whether this instance won is learned from the feed. */
		c->campaigning = false;
		c->elect_at = now->mono + ELECT_RETRY_MS * AGB_MS;
		break;
	case OP_HAND_OVER:
		/* After a lost answer the feed tells who leads. */
		if (c->hand_over_until > 0 && res->status != AGB_STORE_LOST)
			c->hand_over_until = now->mono;
		break;
	case OP_LEASE_REVOKE:
		break;
	}
}

static void
try_start_leading(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->leader != NULL || strcmp(c->table.leader, c->cfg.name) != 0 ||
	    now->mono >= c->lease_valid_until || c->draining ||
	    c->table.leader_rev == c->rejected_rev)
		return;
	/* The local copy must include everything that earlier leaders wrote. */
	if (!c->feeds[WF_FEED_JOBS].synced ||
	    !c->feeds[WF_FEED_STATES].synced ||
	    (c->barrier_jobs < c->table.leader_rev &&
		c->feeds[WF_FEED_JOBS].revision < c->table.leader_rev) ||
	    (c->barrier_states < c->table.leader_rev &&
		c->feeds[WF_FEED_STATES].revision < c->table.leader_rev))
		return;
	c->leader = wf_leader_new(c->table.leader_rev, &c->cfg, &c->meter,
	    &c->table, c->doc, now, out);
	c->leader->next_tag = c->table.leader_rev << LEADER_TAG_SHIFT;
	c->leader->valid_until = c->lease_valid_until;
	wf_effects_add(out, WF_EF_WATCH_REGISTRY)->flag = true;
}

/* Current latency of the store: the last round trip of a renewal, or the time
 * that the open one has waited if that is longer. */
static agb_time
store_latency(const struct wf_core *c, agb_time now)
{
	const agb_time open =
	    c->lease_op_pending ? now - c->lease_op_sent_at : 0;

	return agb_time_max(open, c->store_rtt);
}

static bool
store_is_silent(const struct wf_core *c, agb_time now)
{
	const agb_time limit =
	    agb_time_max(2 * c->store_rtt, STORE_SILENT_MS * AGB_MS);

	return c->store_heard_at == 0 ||
	    (now - c->store_heard_at > limit && c->lease_op_pending &&
		now - c->lease_op_sent_at > limit) ||
	    now - c->store_heard_at > 2 * limit;
}

static uint32_t
count_silent_peers(const struct wf_core *c, agb_time now)
{
	const struct wf_peer *p;
	uint32_t n;

	n = 0;
	for (p = c->table.peers; p != NULL; p = p->hh.next)
		n += strcmp(p->name, c->cfg.name) != 0 &&
		    !wf_peer_responds(p, now);
	return n;
}

/* Counts the instances that stand for election before this one, without the
 * present leader. */
static void
rank_peers(struct wf_core *c, agb_time now)
{
	const struct wf_peer *self;
	uint32_t n;

	for (self = c->table.peers; self != NULL; self = self->hh.next) {
		if (strcmp(self->name, c->cfg.name) == 0)
			break;
	}
	n = self != NULL ? wf_table_rank(&c->table, self, c->table.leader)
			 : UINT32_MAX;
	if (n < STANDBY_COUNT &&
	    (c->rank >= STANDBY_COUNT || c->standby_at == 0))
		c->standby_at = now;
	c->rank = n;
}

/* Delay of a small instance soon after its start, to let larger ones start. */
static uint32_t
startup_delay_ms(const struct wf_core *c, agb_time now)
{
	if (now - c->started_at > ELECT_STARTUP_MS * AGB_MS ||
	    c->cfg.cpu_permille >= ELECT_NO_DELAY_PERMILLE)
		return 0;
	return (ELECT_NO_DELAY_PERMILLE - c->cfg.cpu_permille) *
	    ELECT_DELAY_PER_PERMILLE_MS;
}

static void
on_leader_changed(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const bool mine = strcmp(c->table.leader, c->cfg.name) == 0;
	uint32_t rank;

	wf_effects_log(out, AGB_LOG_INFO, "leader",
	    "leader=%s revision=%" PRIu64,
	    c->table.leader[0] != '\0' ? c->table.leader : "-",
	    c->table.leader_rev);
	if (c->leader != NULL &&
	    (!mine || c->leader->fence != c->table.leader_rev))
		step_down(c, "another instance has been elected", out);
	rank_peers(c, now->mono);
	if (c->table.leader[0] == '\0') {
		c->leaderless_at = now->mono;
		rank = c->rank < STANDBY_COUNT ? c->rank : STANDBY_COUNT;
		c->elect_at = now->mono +
		    (ELECT_DELAY_MS + ELECT_DELAY_PER_RANK_MS * rank +
			random_below(c, ELECT_JITTER_MS) +
			startup_delay_ms(c, now->mono) +
			ELECT_DELAY_PER_SILENT_MS *
			    count_silent_peers(c, now->mono)) *
			AGB_MS;
	}
	try_start_leading(c, now, out);
}

static void
on_peers_changed(struct wf_core *c, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_ALLOW_PEERS);
	struct wf_peer *p, *p2;

	ef->peers =
	    agb_xcalloc(HASH_COUNT(c->table.peers) + 1, sizeof(agb_addr));
	for (p = c->table.peers; p != NULL; p = p2) {
		p2 = p->hh.next;
		agb_str_copy(
		    ef->peers[ef->peers_len++], sizeof(agb_addr), p->rpc);
	}
	if (c->leader != NULL)
		wf_leader_update_peers(c->leader);
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
	c->feeds[feed->id].revision = feed->revision;
	if (!feed->full)
		return;
	if (feed->id == WF_FEED_CONTROL)
		wf_table_sweep_control(&c->table);
	else if (feed->id == WF_FEED_JOBS)
		wf_table_sweep_jobs(
		    &c->table, feed->revision, on_job_dropped, c);
	c->feeds[feed->id].synced = true;
	wf_effects_log(out, AGB_LOG_INFO, "sync",
	    "feed=%d revision=%" PRIu64 " keys=%zu jobs=%u", (int)feed->id,
	    feed->revision, feed->items_len, HASH_COUNT(c->table.jobs));
}

static void
on_feed(struct wf_core *c, const struct wf_now *now, const struct wf_feed *feed,
    struct wf_effects *out)
{
	struct wf_table_change ch;
	bool peers, leader;
	size_t i;

	/* A delivery that was in flight when its feed was closed. */
	if (!c->feeds[feed->id].watched)
		return;
	peers = leader = feed->full && feed->id == WF_FEED_CONTROL;
	feed_begin(c, feed);
	for (i = 0; i < feed->items_len; i++) {
		ch = wf_table_apply(&c->table, &feed->items[i]);
		peers = peers || ch.peers_changed;
		leader = leader || ch.leader_changed;
		if (ch.barrier_jobs > 0)
			c->barrier_jobs = ch.barrier_jobs;
		if (ch.barrier_states > 0)
			c->barrier_states = ch.barrier_states;
		if (ch.malformed)
			wf_effects_log(out, AGB_LOG_ERROR, "record",
			    "key=%s malformed=yes revision=%" PRIu64,
			    feed->items[i].key, feed->items[i].mod_rev);
		if (ch.job != NULL && c->leader != NULL)
			wf_leader_update_job(c->leader, now, ch.job, out);
	}
	feed_end(c, feed, out);
	if (peers)
		on_peers_changed(c, out);
	if (peers && !leader)
		rank_peers(c, now->mono);
	if (leader)
		on_leader_changed(c, now, out);
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
	c->doc = doc;
	if (c->leader != NULL)
		wf_leader_set_doc(c->leader, doc);
	wf_doc_free(old);
}

/* Stops leading, and gives the lease back. */
static void
resign_at_shutdown(struct wf_core *c, struct wf_effects *out)
{
	c->hand_over_until = 0;
	step_down(c, "this instance is shutting down", out);
	revoke_lease(c, out);
}

/* Makes another instance the leader in one transaction. This one leads until
 * the store has carried it out; from then on its writes and orders are refused.
 * Return: false when there is no other instance that can lead at once. */
static bool
begin_hand_over(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const struct wf_peer *p;
	struct agb_store_op *op;

	if (c->leader == NULL || store_is_silent(c, now->mono))
		return false;
	p = wf_handover_choose(
	    &c->table, c->cfg.name, STANDBY_COUNT, now->mono);
	if (p == NULL)
		return false;
	op = add_store_op(c, OP_HAND_OVER, AGB_STORE_TXN, out);
	agb_store_op_add_cmp(
	    op, WF_KEY_LEADER, AGB_STORE_CMP_MOD_REV, c->leader->fence);
	add_election(op, p->name, p->lease);
	c->hand_over_until = now->mono + HAND_OVER_MAX_MS * AGB_MS;
	wf_effects_log(out, AGB_LOG_INFO, "lead",
	    "change=handing-over fence=%" PRIu64 " to=%s", c->leader->fence,
	    p->name);
	return true;
}

static void
tick_hand_over(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->hand_over_until == 0)
		return;
	if (c->leader == NULL || now->mono >= c->hand_over_until)
		resign_at_shutdown(c, out);
	else
		c->next_tick = agb_time_min(c->next_tick, c->hand_over_until);
}

static void
on_term(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->draining)
		return;
	c->draining = true;
	c->term_at = now->mono;
	wf_effects_log(out, AGB_LOG_INFO, "drain", "requests=%zu leads=%s",
	    wf_front_open_count(c->front), c->leader != NULL ? "yes" : "no");
	if (!begin_hand_over(c, now, out))
		resign_at_shutdown(c, out);
}

static void
push_records(
    const struct wf_peer *p, const struct wf_feed *feed, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PEER_PUSH);
	struct wf_record *r;
	size_t i;

	agb_str_copy(ef->peer, sizeof(ef->peer), p->rpc);
	ef->u.push.items =
	    agb_xcalloc(feed->items_len + 1, sizeof(*ef->u.push.items));
	ef->u.push.len = feed->items_len;
	for (i = 0; i < feed->items_len; i++) {
		r = &ef->u.push.items[i];
		agb_str_copy(r->key, sizeof(r->key), feed->items[i].key);
		r->revision = feed->items[i].mod_rev;
		r->val =
		    agb_xmemdup(feed->items[i].val, feed->items[i].val_len);
		r->len = feed->items[i].val_len;
	}
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
		push_records(leader, &feed, out);
}

/* With many instances, the leader pushes to one instance of each failure
 * domain, which forwards to the others there. */
static void
forward_push(
    struct wf_core *c, const struct wf_feed *feed, struct wf_effects *out)
{
	const struct wf_peer *p;

	for (p = c->table.peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->name, c->cfg.name) != 0 &&
		    strcmp(p->name, c->table.leader) != 0 &&
		    strcmp(p->domain, c->cfg.domain) == 0)
			push_records(p, feed, out);
	}
}

/* Applies records that the leader or another peer has pushed. Those that are
 * stored are delivered again by the feeds. */
static void
on_push(struct wf_core *c, const struct wf_now *now, const struct wf_feed *feed,
    bool forward, struct wf_effects *out)
{
	c->pushed_at = now->mono;
	if (forward)
		forward_push(c, feed, out);
	apply_pushed(c, now, feed, out);
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
		note_store_answer(c, now, out);
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
	if (tag & CORE_TAG) {
		on_core_store_result(c, now, tag & ~CORE_TAG, res, out);
		return;
	}
	if (c->leader != NULL)
		wf_commit_handle_result(c->leader, now, tag, res, out);
}

/* Answers a relay that needs the payload of a job accepted by this instance. */
static void
on_payload_request(
    struct wf_core *c, uint64_t token, const char *job, struct wf_effects *out)
{
	const struct wf_job *const j = wf_table_job(&c->table, job);
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PAYLOAD_REPLY);

	ef->tag = token;
	ef->flag = j != NULL && j->spec_rev > 0;
	if (!ef->flag)
		return;
	ef->u.payload.data = agb_xmemdup(j->spec.payload, j->spec.payload_len);
	ef->u.payload.len = j->spec.payload_len;
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
	if (c->draining && c->leader == NULL)
		return;
	if (c->lease_id != 0 && now->mono >= c->lease_op_at)
		renew_lease(c, now, out);
	else if (c->lease_id == 0 && !c->lease_op_pending &&
	    now->mono >= c->lease_op_at)
		request_lease(c, now, out);
	if (c->lease_id != 0 || !c->lease_op_pending)
		c->next_tick = agb_time_min(c->next_tick, c->lease_op_at);
	if (!c->store_lost && c->store_heard_at > 0 &&
	    now->mono - c->store_heard_at > LEASE_MS * AGB_MS) {
		c->store_lost = true;
		wf_effects_log(out, AGB_LOG_WARN, "dependency",
		    "name=store change=lost silent_ms=%" PRIu64,
		    (now->mono - c->store_heard_at) / AGB_MS);
	}
}

/* Distance from this instance to another one in the ring of all names. */
static uint32_t
ring_distance(const struct wf_core *c, const struct wf_peer *to)
{
	const struct wf_peer *p;
	uint32_t before_self, before_to, n;

	before_self = before_to = n = 0;
	for (p = c->table.peers; p != NULL; p = p->hh.next) {
		n++;
		before_self += strcmp(p->name, c->cfg.name) < 0;
		before_to += strcmp(p->name, to->name) < 0;
	}
	return n > 0 ? (before_to + n - before_self) % n : 0;
}

/* The leader pings all instances and the others ping only a few, because pings
 * between all pairs of a large deployment would overload small machines. */
static void
choose_ping_targets(struct wf_core *c)
{
	struct wf_peer *p;
	bool pinged;

	for (p = c->table.peers; p != NULL; p = p->hh.next) {
		pinged = strcmp(p->name, c->cfg.name) != 0 &&
		    (c->leader != NULL ||
			strcmp(p->name, c->table.leader) == 0 ||
			ring_distance(c, p) <= PING_NEIGHBORS);
		if (pinged && !p->pinged)
			p->pinged_since = 0;
		if (pinged != p->pinged)
			p->heard_at = 0;
		p->pinged = pinged;
	}
}

static void
ping_peer(struct wf_core *c, const struct wf_now *now, struct wf_peer *p,
    struct wf_effects *out)
{
	struct wf_effect *ef;

	if (p->pinged_since == 0)
		p->pinged_since = now->mono;
	p->ping_tag = PING_TAG | ++c->next_tag;
	ef = wf_effects_add(out, WF_EF_PEER_PING);
	ef->tag = p->ping_tag;
	ef->timeout_ms = PING_TIMEOUT_MS;
	agb_str_copy(ef->peer, sizeof(ef->peer), p->rpc);
}

static void
ping_peers(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_peer *p;

	if (now->mono < c->ping_at) {
		c->next_tick = agb_time_min(c->next_tick, c->ping_at);
		return;
	}
	c->ping_at = now->mono + PING_INTERVAL_MS * AGB_MS;
	choose_ping_targets(c);
	for (p = c->table.peers; p != NULL; p = p->hh.next) {
		if (p->pinged && p->ping_tag == 0)
			ping_peer(c, now, p, out);
	}
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
		ping_peer(c, now, p, out);
}

/* Ends the lease of a leader that is certainly gone. */
static void
tick_failover(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	int64_t lease;

	if (c->draining || !c->feeds[WF_FEED_CONTROL].synced)
		return;
	lease = wf_failover_lease(&c->failover, &c->table, c->cfg.name,
	    c->cfg.rpc, c->rank < STANDBY_COUNT, now->mono);
	if (lease == 0)
		return;
	add_store_op(c, OP_LEASE_REVOKE, AGB_STORE_LEASE_REVOKE, out)->lease =
	    lease;
	wf_effects_log(out, AGB_LOG_WARN, "leader",
	    "leader=%s revision=%" PRIu64 " change=gone lease=%" PRId64,
	    c->table.leader, c->table.leader_rev, lease);
}

static void
on_ping_result(struct wf_core *c, const struct wf_now *now, uint64_t tag,
    bool ok, struct wf_effects *out)
{
	struct wf_peer *p;
	bool responded;

	for (p = c->table.peers; p != NULL; p = p->hh.next) {
		if (p->ping_tag == tag)
			break;
	}
	if (p == NULL)
		return;
	p->ping_tag = 0;
	responded = wf_peer_responds(p, now->mono);
	if (ok)
		p->heard_at = now->mono;
	if (responded != wf_peer_responds(p, now->mono))
		wf_effects_log(out, AGB_LOG_WARN, "dependency",
		    "name=%s change=%s", p->name, ok ? "regained" : "lost");
}

/* A leader that most instances do not answer resigns, because it cannot have
 * advice fetched through them. */
static void
check_isolated(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const uint32_t others =
	    HASH_COUNT(c->table.peers) > 0 ? HASH_COUNT(c->table.peers) - 1 : 0;
	const uint32_t silent = count_silent_peers(c, now->mono);

	if (c->leader == NULL || others < 2 || silent * 2 <= others) {
		c->isolated_at = 0;
		return;
	}
	if (c->isolated_at == 0)
		c->isolated_at = now->mono;
	if (now->mono - c->isolated_at < ISOLATED_MS * AGB_MS ||
	    (c->resigned_at != 0 &&
		now->mono - c->resigned_at < RESIGN_PAUSE_MS * AGB_MS))
		return;
	wf_effects_log(out, AGB_LOG_WARN, "lead",
	    "change=resigning silent_peers=%" PRIu32 " peers=%" PRIu32, silent,
	    others);
	c->resigned_at = now->mono;
	step_down(c, "most instances do not answer", out);
	revoke_lease(c, out);
	c->lease_op_at = now->mono;
}

static void
tick_election(
    struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	if (c->leader != NULL && c->leader->leadership_lost) {
		c->rejected_rev = c->leader->fence;
		step_down(c, "its orders or writes are refused", out);
		revoke_lease(c, out);
		c->lease_op_at = now->mono;
	}
	try_start_leading(c, now, out);
	if (c->leader != NULL || c->draining || c->doc == NULL ||
	    !c->feeds[WF_FEED_CONTROL].synced ||
	    !c->feeds[WF_FEED_JOBS].synced ||
	    !c->feeds[WF_FEED_STATES].synced || c->table.leader[0] != '\0')
		return;
	if (c->campaigning || c->lease_id == 0 ||
	    now->mono >= c->lease_valid_until)
		return;
	if (now->mono >= c->elect_at)
		campaign(c, out);
	else
		c->next_tick = agb_time_min(c->next_tick, c->elect_at);
}

static void
tick_ready(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const bool ready = !c->draining && c->doc != NULL &&
	    c->feeds[WF_FEED_CONTROL].synced && c->store_heard_at > 0 &&
	    now->mono - c->store_heard_at < READY_STORE_MS * AGB_MS;

	if (c->ready_known && ready == c->ready)
		return;
	c->ready = ready;
	c->ready_known = true;
	wf_effects_add(out, WF_EF_READY)->flag = ready;
	wf_effects_log(out, AGB_LOG_INFO, "ready",
	    "ready=%s document=%" PRIu64 " synced=%s store_ms_ago=%" PRIu64,
	    ready ? "yes" : "no", c->doc != NULL ? c->doc->version : 0,
	    c->feeds[WF_FEED_CONTROL].synced ? "yes" : "no",
	    c->store_heard_at > 0 ? (now->mono - c->store_heard_at) / AGB_MS
				  : 0);
}

static void
tick_drain(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const agb_time last = c->term_at +
	    (c->cfg.grace_ms > DRAIN_MARGIN_MS
		    ? c->cfg.grace_ms - DRAIN_MARGIN_MS
		    : 0) *
		AGB_MS;
	const agb_time early =
	    agb_time_min(c->term_at + DRAIN_MS * AGB_MS, last);

	if (!c->draining || c->exiting)
		return;
	if (now->mono < early) {
		c->next_tick = agb_time_min(c->next_tick, early);
		return;
	}
	if (wf_front_open_count(c->front) > 0 && now->mono < last) {
		c->next_tick =
		    agb_time_min(c->next_tick, now->mono + 50 * AGB_MS);
		return;
	}
	c->exiting = true;
	wf_effects_add(out, WF_EF_EXIT);
}

/* Returns when this instance, as a possible successor, starts to read all jobs
 * and states; AGB_TIME_MAX when it does not need to. */
static agb_time
standby_read_at(const struct wf_core *c, bool leaderless)
{
	const agb_time far = c->store_rtt > STANDBY_NEAR_RTT_MS * AGB_MS
	    ? STANDBY_FAR_DELAY_MS * AGB_MS
	    : 0;

	if (c->rank == UINT32_MAX)
		return AGB_TIME_MAX;
	if (!leaderless)
		return c->rank < STANDBY_COUNT
		    ? c->standby_at + STANDBY_SETTLE_MS * AGB_MS
		    : AGB_TIME_MAX;
	if (c->rank < STANDBY_COUNT)
		return c->standby_at + far;
	return c->leaderless_at + far + LEADERLESS_RTTS * c->store_rtt +
	    (LEADERLESS_READ_MS +
		(agb_time)LEADERLESS_GROUP_MS * (c->rank / STANDBY_COUNT)) *
	    AGB_MS;
}

/* The leader watches the submissions. Standbys watch the submissions and the
 * progress of jobs. */
static void
tick_feeds(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	const bool leaderless = c->table.leader[0] == '\0';
	const bool mine = strcmp(c->table.leader, c->cfg.name) == 0;
	bool jobs, states;
	agb_time from;
	uint32_t interval_ms;

	watch_feed(c, WF_FEED_CONTROL, true, out);
	if (!c->feeds[WF_FEED_CONTROL].synced)
		return;
	from = standby_read_at(c, leaderless);
	states = (mine && c->leader == NULL) || now->mono >= from ||
	    (c->feeds[WF_FEED_STATES].watched && from != AGB_TIME_MAX);
	states = states && !c->draining && c->leader == NULL;
	jobs = states || c->leader != NULL;
	watch_feed(c, WF_FEED_JOBS, jobs, out);
	watch_feed(c, WF_FEED_STATES, states, out);
	if (!states && c->leader == NULL)
		c->next_tick = agb_time_min(c->next_tick, from);
	interval_ms = leaderless || (mine && c->leader == NULL)
	    ? FEED_ELECTION_MS
	    : c->leader != NULL ? FEED_LEADER_MS
				: FEED_FOLLOWER_MS;
	set_feed_interval(c, WF_FEED_JOBS, interval_ms, out);
	set_feed_interval(c, WF_FEED_STATES, interval_ms, out);
}

static void
tick_front(struct wf_core *c, const struct wf_now *now)
{
	const bool store = !store_is_silent(c, now->mono);
	const bool complete = c->leader != NULL ||
	    (c->feeds[WF_FEED_JOBS].synced && c->feeds[WF_FEED_STATES].synced &&
		store);

	wf_front_set_current(c->front,
	    complete ||
		(c->pushed_at > 0 &&
		    now->mono - c->pushed_at < PUSH_STALE_MS * AGB_MS),
	    complete);
	if (now->mono < c->expire_at)
		return;
	c->expire_at = now->mono + EXPIRE_INTERVAL_MS * AGB_MS;
	if (!c->feeds[WF_FEED_JOBS].watched &&
	    now->mono > c->cfg.status_s * AGB_SEC + EXPIRE_SLACK_MS * AGB_MS)
		wf_table_expire(&c->table, now->mono,
		    now->mono - c->cfg.status_s * AGB_SEC -
			EXPIRE_SLACK_MS * AGB_MS);
}

static void
tick(struct wf_core *c, const struct wf_now *now, struct wf_effects *out)
{
	c->next_tick = now->mono + AGB_SEC;
	tick_lease(c, now, out);
	ping_peers(c, now, out);
	check_isolated(c, now, out);
	tick_hand_over(c, now, out);
	tick_failover(c, now, out);
	tick_election(c, now, out);
	if (c->leader != NULL) {
		c->leader->valid_until = c->lease_valid_until;
		c->next_tick = agb_time_min(
		    c->next_tick, wf_leader_tick(c->leader, now, out));
	}
	tick_feeds(c, now, out);
	tick_front(c, now);
	wf_front_set_store_silent(c->front, store_is_silent(c, now->mono));
	wf_front_set_store_latency(c->front, store_latency(c, now->mono));
	c->next_tick =
	    agb_time_min(c->next_tick, wf_front_tick(c->front, now, out));
	c->next_tick =
	    agb_time_min(c->next_tick, wf_relay_tick(c->relay, now, out));
	tick_ready(c, now, out);
	tick_drain(c, now, out);
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
		wf_relay_handle_orders(
		    c->relay, now, ev->tag, ev->u.orders, !c->draining, out);
		break;
	case WF_EV_ORDERS_ACK:
		if (c->leader != NULL)
			wf_outbox_call_done(
			    c->leader, now, ev->tag, &ev->u.orders_ack, out);
		break;
	case WF_EV_PAYLOAD_REQUEST:
		on_payload_request(c, ev->tag, ev->u.payload.job, out);
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
		if ((ev->tag & WF_SHOW_TAG) == 0)
			on_ping_result(c, now, ev->tag, ev->flag, out);
		else if (c->leader != NULL)
			wf_show_push_done(
			    c->leader, now, ev->tag, ev->flag, out);
		break;
	case WF_EV_PEER_LOST:
		on_peer_lost(c, now, ev->u.peer, ev->flag, out);
		break;
	case WF_EV_PEER_PUSH:
		on_push(c, now, &ev->u.feed, ev->flag, out);
		break;
	case WF_EV_PEER_PUT:
		wf_proxy_put(c->proxy, ev->tag, &ev->u.put,
		    store_is_silent(c, now->mono), out);
		break;
	}
	tick(c, now, out);
	wf_meter_lap(&c->meter, WF_PART_EVENT);
}

void
wf_core_get_gauges(const struct wf_core *c, agb_time now, struct wf_gauges *out)
{
	const struct wf_job *j;
	const struct wf_task *t;
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->document_version = c->doc != NULL ? c->doc->version : 0;
	out->store_revision = c->feeds[WF_FEED_CONTROL].revision;
	out->ready = c->ready;
	out->jobs = HASH_COUNT(c->table.jobs);
	for (j = c->table.jobs; j != NULL; j = j->hh.next)
		out->jobs_open += !wf_job_state_is_final(j->state);
	if (c->leader == NULL)
		return;
	out->is_leader = true;
	out->fence = c->leader->fence;
	out->steps_waiting = c->leader->queue_len;
	out->advice_calls = (unsigned)c->leader->advice_calls_len;
	out->writes = (unsigned)c->leader->writes_len;
	wf_leader_get_load(c->leader, &out->load);
	for (i = 0; i < c->leader->runners_len; i++) {
		if (!c->leader->runners[i].used)
			continue;
		out->runners++;
		out->runners_usable +=
		    wf_fleet_usable(&c->leader->runners[i], now);
		for (t = c->leader->runners[i].tasks; t != NULL; t = t->next)
			out->tasks_allocated++;
	}
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

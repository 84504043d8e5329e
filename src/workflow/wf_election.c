#include "wf_election.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "wf_core_op.h"
#include "wf_handover.h"

/* Instances stand for election in descending order of their scores, because the
 * leader does most of the work and should be close to the store. */
#define DELAY_MS 5
#define DELAY_PER_RANK_MS 40
#define JITTER_MS 10
#define RETRY_MS 200
/* When all instances start together, one with less CPU than this share waits
 * three milliseconds for each permille below it, so that a larger one that
 * starts slightly later is elected. */
#define NO_DELAY_PERMILLE 250
#define DELAY_PER_PERMILLE_MS 3
#define STARTUP_MS 1500
/* Added to the election delay of an instance for each peer that does not answer
 * it. */
#define DELAY_PER_SILENT_MS 100
/* The score of an instance is its CPU share in permille, minus this value for
 * each millisecond of round trip to the store. */
#define SCORE_PER_RTT_MS 8
/* Network bandwidth needed by the orders that one permille of a core can
 * relay. */
#define LINK_KBPS_PER_PERMILLE 40
/* A leader that shuts down and has not handed over the leadership after this
 * time gives its lease back, so that the others elect one. */
#define HAND_OVER_MAX_MS 900

void
wf_election_init(struct wf_election *e, uint64_t seed)
{
	memset(e, 0, sizeof(*e));
	e->random = seed | 1;
}

static uint32_t
random_below(struct wf_election *e, uint32_t max)
{
	e->random ^= e->random << 13;
	e->random ^= e->random >> 7;
	e->random ^= e->random << 17;
	return (uint32_t)(e->random % max);
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

void
wf_election_register(const struct wf_config *cfg, const struct wf_lease *lease,
    struct wf_effects *out)
{
	/* The encoder only reads the strings. */
	struct wf_x_peer x = {
	    .score = (int)cfg->cpu_permille -
		(int)(lease->store_rtt / AGB_MS) * SCORE_PER_RTT_MS,
	    .capacity = relay_capacity(cfg),
	    .rpc = (char *)(uintptr_t)cfg->rpc,
	    .domain = (char *)(uintptr_t)cfg->domain,
	    .region = (char *)(uintptr_t)cfg->region,
	};
	struct agb_store_op *op;
	char key[WF_KEY_MAX];
	size_t len;
	char *raw;

	raw = wf_table_encode_peer(&x, cfg->memory_mb, &len);
	op = wf_core_op_add(WF_OP_REGISTER, AGB_STORE_TXN, out);
	wf_table_make_key(key, 'n', cfg->name);
	agb_store_op_add_put(op, key, raw, len, lease->id);
	free(raw);
}

void
wf_election_register_done(
    struct wf_election *e, const struct agb_store_result *res)
{
	e->registered = res->status == AGB_STORE_OK && res->succeeded;
}

void
wf_election_unregister(struct wf_election *e)
{
	e->registered = false;
}

void
wf_election_update_rank(struct wf_election *e, const struct wf_table *t,
    const char *self, agb_time now)
{
	const struct wf_peer *p;
	uint32_t rank;

	for (p = t->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->name, self) == 0)
			break;
	}
	rank = p != NULL ? wf_table_rank(t, p, t->leader) : UINT32_MAX;
	if (rank < WF_STANDBY_COUNT &&
	    (!wf_election_is_standby(e) || e->standby_at == 0))
		e->standby_at = now;
	e->rank = rank;
}

bool
wf_election_is_standby(const struct wf_election *e)
{
	return e->rank < WF_STANDBY_COUNT;
}

/* Delay of a small instance soon after its start, to let larger ones start. */
static uint32_t
startup_delay_ms(const struct wf_config *cfg, agb_time uptime)
{
	if (uptime > STARTUP_MS * AGB_MS ||
	    cfg->cpu_permille >= NO_DELAY_PERMILLE)
		return 0;
	return (NO_DELAY_PERMILLE - cfg->cpu_permille) * DELAY_PER_PERMILLE_MS;
}

void
wf_election_schedule(struct wf_election *e, const struct wf_config *cfg,
    agb_time uptime, uint32_t silent, agb_time now)
{
	const uint32_t rank =
	    wf_election_is_standby(e) ? e->rank : WF_STANDBY_COUNT;
	uint32_t delay_ms;

	delay_ms = DELAY_MS + DELAY_PER_RANK_MS * rank;
	delay_ms += random_below(e, JITTER_MS);
	delay_ms += startup_delay_ms(cfg, uptime);
	delay_ms += DELAY_PER_SILENT_MS * silent;
	e->leaderless_at = now;
	e->elect_at = now + delay_ms * AGB_MS;
}

/* Adds what makes an instance the leader. */
static void
add_election(struct agb_store_op *op, const char *name, int64_t lease)
{
	agb_store_op_add_put(op, WF_KEY_LEADER, name, strlen(name), lease);
	agb_store_op_add_put(op, WF_KEY_BARRIER_JOBS, name, strlen(name), 0);
	agb_store_op_add_put(op, WF_KEY_BARRIER_STATES, name, strlen(name), 0);
}

agb_time
wf_election_tick(struct wf_election *e, const struct wf_config *cfg,
    const struct wf_lease *lease, agb_time now, struct wf_effects *out)
{
	struct agb_store_op *op;

	if (e->campaigning || lease->id == 0 || now >= lease->valid_until)
		return AGB_TIME_MAX;
	if (now < e->elect_at)
		return e->elect_at;
	op = wf_core_op_add(WF_OP_CAMPAIGN, AGB_STORE_TXN, out);
	agb_store_op_add_cmp(op, WF_KEY_LEADER, AGB_STORE_CMP_MOD_REV, 0);
	add_election(op, cfg->name, lease->id);
	e->campaigning = true;
	return AGB_TIME_MAX;
}

void
wf_election_campaign_done(struct wf_election *e, agb_time now)
{
	e->campaigning = false;
	e->elect_at = now + RETRY_MS * AGB_MS;
}

bool
wf_election_hand_over(struct wf_election *e, const struct wf_table *t,
    const char *self, uint64_t fence, agb_time now, struct wf_effects *out)
{
	const struct wf_peer *const to =
	    wf_handover_choose(t, self, WF_STANDBY_COUNT, now);
	struct agb_store_op *op;

	if (to == NULL)
		return false;
	op = wf_core_op_add(WF_OP_HAND_OVER, AGB_STORE_TXN, out);
	agb_store_op_add_cmp(op, WF_KEY_LEADER, AGB_STORE_CMP_MOD_REV, fence);
	add_election(op, to->name, to->lease);
	e->hand_over_until = now + HAND_OVER_MAX_MS * AGB_MS;
	wf_effects_log(out, AGB_LOG_INFO, "lead",
	    "change=handing-over fence=%" PRIu64 " to=%s", fence, to->name);
	return true;
}

void
wf_election_hand_over_done(
    struct wf_election *e, agb_time now, const struct agb_store_result *res)
{
	/* After a lost answer the feed tells who leads. */
	if (e->hand_over_until > 0 && res->status != AGB_STORE_LOST)
		e->hand_over_until = now;
}

void
wf_election_end_hand_over(struct wf_election *e)
{
	e->hand_over_until = 0;
}

#include "wf_outbox.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "mem.h"
#include "wf_leader.h"

/* Runners that one permille of a processor serves beside everything else, and
 * the bytes a second that one runner costs, both directions together. */
#define RUNNERS_A_PERMILLE 2
#define RUNNER_BYTES_S 2500
/* Share of its processor and of its link that a leader gives to runners. */
#define DIRECT_SHARE_PERCENT 20
/* A failure domain has one relay for so many runners, and at least two. */
#define RUNNERS_A_RELAY 48
#define RELAYS_LEAST 2
/* Beyond the time-out of its order a relay's result takes this long. */
#define RESULT_SLACK_MS 300
#define CALL_TIMEOUT_MS 500
/* An instance that did not answer carries no orders for this long. */
#define BAD_MS 2000
#define CHECK_MS 150
#define EXPIRE_MS 20
#define HELD_UP_MS 40
/* A relay with orders that says nothing for this long is away. */
#define SILENT_MS 800
/* An instance that was sent nothing is asked for its clock this often, and one
 * whose clock was learnt longer ago is not used. */
#define HELLO_MS 2000
#define CLOCK_OLD_MS 8000
/* Orders of one call, and how long a hold waits for others. */
#define BATCH_MAX 200
#define BATCH_GAP_MS 25
/* A new leader waits so long for the relays before it calls runners itself. */
#define RELAYS_WAIT_MS 250
#define RELAY_SHIFT 40

/**
 * struct wf_sent - an order with a relay
 * @tag: of the call that handed it over
 */
struct wf_sent {
	uint64_t number;
	uint64_t tag;
	uint32_t relay;
	agb_time expires;
	struct wf_order_result res;
	UT_hash_handle hh;
};

/* Whether a relay could not get the text of a job by itself. */
static bool
needs_text(const struct wf_exec *e, uint32_t relay)
{
	return e->relays_without_text[relay / 64] >> (relay % 64) & 1;
}

void
wf_outbox_text_lost(struct wf_exec *e, uint32_t relay)
{
	if (relay < WF_RELAYS_MAX)
		e->relays_without_text[relay / 64] |= (uint64_t)1
		    << (relay % 64);
}

static void
batch_free(struct wf_relay_peer *p)
{
	wf_orders_free(&p->batch);
	p->batch_cap = 0;
	p->cards_cap = 0;
}

void
wf_outbox_free(struct wf_leader *l)
{
	struct wf_outbox *const b = &l->outbox;
	struct wf_sent *s, *next;
	uint32_t i;
	size_t k;

	s = b->sent;
	HASH_CLEAR(hh, b->sent);
	for (; s != NULL; s = next) {
		next = s->hh.next;
		free(s);
	}
	for (i = 0; i < b->relays_len; i++)
		batch_free(&b->relays[i]);
	for (k = 0; k < b->queue_len; k++)
		free(b->queue[k].payload);
	for (i = 0; i < l->runners_len; i++)
		wf_seen_free(&l->runners[i].route.seen);
	free(b->queue);
	free(b->relays);
	free(b->zones);
	memset(b, 0, sizeof(*b));
}

static struct wf_relay_peer *
relay_place(struct wf_outbox *b, const char *name)
{
	struct wf_relay_peer *unused = NULL;
	uint32_t i;

	for (i = 0; i < b->relays_len; i++) {
		if (strcmp(b->relays[i].name, name) == 0)
			return &b->relays[i];
		if (!b->relays[i].listed && unused == NULL)
			unused = &b->relays[i];
	}
	if (b->relays_len < WF_RELAYS_MAX) {
		b->relays = agb_xreallocarray(
		    b->relays, b->relays_len + 1, sizeof(*b->relays));
		unused = &b->relays[b->relays_len++];
		memset(unused, 0, sizeof(*unused));
	}
	if (unused == NULL)
		return NULL;
	batch_free(unused);
	memset(unused, 0, sizeof(*unused));
	agb_name_set(unused->name, sizeof(unused->name), name);
	return unused;
}

void
wf_outbox_peers(struct wf_leader *l)
{
	struct wf_outbox *const b = &l->outbox;
	struct wf_relay_peer *r;
	const struct wf_peer *p;
	uint32_t i;

	for (i = 0; i < b->relays_len; i++) {
		HASH_FIND_STR(l->table->peers, b->relays[i].name, p);
		b->relays[i].listed = p != NULL;
	}
	for (p = l->table->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->name, l->cfg->name) == 0)
			continue;
		r = relay_place(b, p->name);
		if (r == NULL)
			continue;
		r->listed = true;
		r->capacity = p->relay_capacity;
		agb_name_set(r->peer, sizeof(r->peer), p->rpc);
		agb_name_set(r->domain, sizeof(r->domain), p->domain);
	}
	b->check_at = 0;
}

/* ---- which relay ---- */

static struct wf_relay_zone *
zone_find(const struct wf_outbox *b, const char *domain)
{
	size_t i;

	for (i = 0; i < b->zones_len; i++) {
		if (strcmp(b->zones[i].domain, domain) == 0)
			return &b->zones[i];
	}
	return NULL;
}

static struct wf_relay_zone *
zone_get(struct wf_outbox *b, const char *domain)
{
	struct wf_relay_zone *z = zone_find(b, domain);

	if (z != NULL)
		return z;
	b->zones =
	    agb_xreallocarray(b->zones, b->zones_len + 1, sizeof(*b->zones));
	z = &b->zones[b->zones_len++];
	memset(z, 0, sizeof(*z));
	agb_name_set(z->domain, sizeof(z->domain), domain);
	return z;
}

static uint64_t
pair_hash(const char *relay, const char *runner)
{
	return XXH64(runner, strlen(runner), XXH64(relay, strlen(relay), 0));
}

/* The largest machines come first; equal ones in an order that differs from
 * domain to domain. */
static bool
better_relay(
    const struct wf_outbox *b, const char *domain, uint32_t x, uint32_t y)
{
	const struct wf_relay_peer *const p = &b->relays[x];
	const struct wf_relay_peer *const q = &b->relays[y];

	if (p->capacity != q->capacity)
		return p->capacity > q->capacity;
	return pair_hash(p->name, domain) > pair_hash(q->name, domain);
}

/* Which instances a domain may take as relays, best first. */
enum choice {
	OWN_DOMAIN,
	ANY_DOMAIN,
	UNANSWERED, /* better than that the leader does the work of all relays */
	CHOICES,
};

static bool
may_take(const struct wf_relay_peer *p, const char *domain, enum choice choice)
{
	switch (choice) {
	case OWN_DOMAIN:
		return p->usable && strcmp(p->domain, domain) == 0;
	case ANY_DOMAIN:
		return p->usable;
	default:
		return p->listed && p->clock_at > 0;
	}
}

static uint32_t
relays_for(uint32_t runners)
{
	const uint32_t n = (runners + RUNNERS_A_RELAY - 1) / RUNNERS_A_RELAY;

	return n < RELAYS_LEAST	     ? RELAYS_LEAST
	    : n < WF_ZONE_RELAYS_MAX ? n
				     : WF_ZONE_RELAYS_MAX;
}

/* Enters an instance into the relays of a domain, which are in order. */
static void
zone_enter(struct wf_outbox *b, struct wf_relay_zone *z, uint32_t relay)
{
	const uint32_t most = relays_for(z->runners);
	uint32_t k;

	for (k = z->relays_len;
	     k > 0 && better_relay(b, z->domain, relay, z->relays[k - 1]);
	     k--) {
		if (k < most)
			z->relays[k] = z->relays[k - 1];
	}
	if (k == most)
		return;
	z->relays[k] = relay;
	z->relays_len += z->relays_len < most;
}

static void
zone_add(struct wf_outbox *b, struct wf_relay_zone *z, enum choice choice)
{
	uint32_t i;

	for (i = 0; i < b->relays_len; i++) {
		if (may_take(&b->relays[i], z->domain, choice))
			zone_enter(b, z, i);
	}
}

static void
zone_fill(struct wf_outbox *b, struct wf_relay_zone *z)
{
	enum choice choice;

	for (choice = OWN_DOMAIN; choice < CHOICES; choice++) {
		zone_add(b, z, choice);
		if (z->relays_len > 0)
			return;
	}
}

/* A leader speaks with the runners itself as long as its machine has the
 * processor and the link for that. */
static bool
needs_relays(const struct wf_leader *l, uint32_t runners)
{
	const uint64_t by_cpu = (uint64_t)l->cfg->cpu_permille *
	    DIRECT_SHARE_PERCENT / 100 * RUNNERS_A_PERMILLE;
	const uint64_t by_link = (uint64_t)l->cfg->link_kbps * 125 *
	    DIRECT_SHARE_PERCENT / 100 / RUNNER_BYTES_S;

	return runners > by_cpu || (l->cfg->link_kbps > 0 && runners > by_link);
}

static void
zones_make(struct wf_leader *l)
{
	struct wf_outbox *const b = &l->outbox;
	uint64_t sum;
	uint32_t ri, n;
	size_t i;

	for (i = 0; i < b->zones_len; i++) {
		b->zones[i].runners = 0;
		b->zones[i].relays_len = 0;
	}
	n = 0;
	for (ri = 0; ri < l->runners_len; ri++) {
		if (!l->runners[ri].used || !l->runners[ri].listed)
			continue;
		zone_get(b, l->runners[ri].info.domain)->runners++;
		n++;
	}
	b->through = needs_relays(l, n);
	sum = b->through;
	b->all.runners = n;
	b->all.relays_len = 0;
	zone_add(b, &b->all, ANY_DOMAIN);
	for (i = 0; i < b->zones_len; i++) {
		zone_fill(b, &b->zones[i]);
		sum = XXH64(b->zones[i].relays,
		    b->zones[i].relays_len * sizeof(uint32_t), sum);
	}
	/* Runners choose anew only when the relays have changed. */
	b->generation += sum != b->zones_sum;
	b->zones_sum = sum;
}

/* Rendezvous hashing by weight: a relay that comes or goes moves only the
 * runners that it takes or gives. */
static double
weight_of(const struct wf_relay_peer *p, const char *runner)
{
	const double u = ((double)(pair_hash(p->name, runner) >> 11) + 0.5) /
	    9007199254740992.0;

	return (double)(p->capacity > 0 ? p->capacity : 1) / -log(u);
}

/* Relay in the place @skip of a runner's order of preference. */
static uint32_t
relay_at(const struct wf_outbox *b, const struct wf_relay_zone *z,
    const char *runner, uint32_t skip)
{
	double w[WF_ZONE_RELAYS_MAX];
	uint32_t i, best;

	for (i = 0; i < z->relays_len; i++)
		w[i] = weight_of(&b->relays[z->relays[i]], runner);
	for (;;) {
		best = WF_NO_HANDLE;
		for (i = 0; i < z->relays_len; i++) {
			if (w[i] > 0 &&
			    (best == WF_NO_HANDLE || w[i] > w[best]))
				best = i;
		}
		if (best == WF_NO_HANDLE || skip-- == 0)
			break;
		w[best] = 0;
	}
	return best != WF_NO_HANDLE ? z->relays[best] : WF_NO_HANDLE;
}

static uint32_t
choose(const struct wf_outbox *b, const struct wf_runner *r)
{
	const struct wf_relay_zone *const z = zone_find(b, r->info.domain);
	const uint32_t detour = r->route.detour;

	if (!b->through || z == NULL || z->relays_len == 0)
		return WF_NO_HANDLE;
	if (z->relays_len > 1)
		return relay_at(b, z, r->info.id, detour % z->relays_len);
	/* The second way is a relay of another domain: the leader would take the
	 * load of all that have lost theirs. */
	return detour % 2 == 0 ? z->relays[0]
			       : relay_at(b, &b->all, r->info.id, 0);
}

static uint32_t
relay_of(struct wf_outbox *b, struct wf_runner *r)
{
	struct wf_route *const way = &r->route;
	uint32_t relay;

	if (!way->chosen || way->generation != b->generation) {
		relay = choose(b, r);
		if (!way->chosen || relay != way->relay)
			way->carded = false;
		way->relay = relay;
		way->generation = b->generation;
		way->chosen = true;
	}
	return way->relay;
}

bool
wf_outbox_waits(
    const struct wf_leader *l, const struct wf_runner *r, agb_time now)
{
	const struct wf_relay_zone *const z =
	    zone_find(&l->outbox, r->info.domain);

	return l->outbox.through && l->outbox.relays_len > 0 &&
	    now < l->elected_at + RELAYS_WAIT_MS * AGB_MS &&
	    (z == NULL || z->relays_len == 0);
}

bool
wf_outbox_avoid(struct wf_runner *r, uint32_t relay)
{
	if (relay == WF_NO_HANDLE)
		return false;
	if (r->route.chosen && r->route.relay == relay) {
		r->route.detour++;
		r->route.chosen = false;
	}
	return true;
}

/* ---- sending ---- */

struct wf_order *
wf_outbox_add(struct wf_leader *l)
{
	struct wf_outbox *const b = &l->outbox;
	struct wf_order *o;

	if (b->queue_len == b->queue_cap)
		b->queue =
		    agb_xgrow(b->queue, &b->queue_cap, sizeof(*b->queue));
	o = &b->queue[b->queue_len++];
	memset(o, 0, sizeof(*o));
	return o;
}

/* Until when an order may be sent: while its answer is waited for, and a start
 * only under the lease. */
static agb_time
send_until(const struct wf_leader *l, const struct wf_order *o, agb_time now)
{
	const agb_time until = now + o->timeout_ms * AGB_MS;

	return o->kind == WF_ORDER_START && l->valid_until < until
	    ? l->valid_until
	    : until;
}

static void
send_direct(const struct wf_leader *l, struct wf_order *o, agb_time now,
    struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_ORDER);

	ef->u.order = *o;
	ef->u.order.send_by = send_until(l, o, now);
}

static void
sent_add(struct wf_leader *l, uint32_t relay, struct wf_order *o, agb_time now)
{
	struct wf_sent *const s = agb_xcalloc(1, sizeof(*s));

	s->number = o->number = ++l->outbox.next_number;
	s->relay = relay;
	s->expires = now + (o->timeout_ms + RESULT_SLACK_MS) * AGB_MS;
	wf_order_result_init(&s->res, o);
	s->res.relay = relay;
	HASH_ADD(hh, l->outbox.sent, number, sizeof(s->number), s);
}

static void
batch_card(struct wf_relay_peer *p, const struct wf_runner *r, uint32_t ri)
{
	struct wf_order_batch *const batch = &p->batch;
	struct wf_runner_addr *c;

	if (batch->runners_len == p->cards_cap)
		batch->runners = agb_xgrow(
		    batch->runners, &p->cards_cap, sizeof(*batch->runners));
	c = &batch->runners[batch->runners_len++];
	c->runner = ri;
	c->incarnation = r->life;
	agb_name_set(c->id, sizeof(c->id), r->info.id);
	agb_name_set(c->addr, sizeof(c->addr), r->info.addr);
}

static void
batch_send(struct wf_leader *l, const struct wf_now *now, uint32_t relay,
    struct wf_effects *out)
{
	struct wf_relay_peer *const p = &l->outbox.relays[relay];
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_ORDERS);
	struct wf_sent *s;
	size_t i;

	ef->tag = WF_ORDERS_TAG | (uint64_t)relay << RELAY_SHIFT |
	    (++l->outbox.calls & (((uint64_t)1 << RELAY_SHIFT) - 1));
	ef->timeout_ms = CALL_TIMEOUT_MS;
	agb_name_set(ef->peer, sizeof(ef->peer), p->peer);
	ef->u.orders = p->batch;
	ef->u.orders.fence = l->fence;
	agb_name_set(ef->u.orders.reply_to, sizeof(agb_addr), l->cfg->rpc);
	for (i = 0; i < p->batch.len; i++) {
		HASH_FIND(hh, l->outbox.sent, &p->batch.items[i].number,
		    sizeof(uint64_t), s);
		if (s != NULL)
			s->tag = ef->tag;
	}
	p->asked_at = now->mono;
	memset(&p->batch, 0, sizeof(p->batch));
	p->batch_cap = 0;
	p->cards_cap = 0;
}

/* A relay asks the instance that accepted the job for its text: the leader's
 * link would carry it once for each relay. */
static void
drop_text(struct wf_leader *l, struct wf_order *o, uint32_t relay)
{
	const struct wf_job *const j = wf_table_job(l->table, o->task.job);

	if (o->kind != WF_ORDER_START || j == NULL || j->exec == NULL ||
	    j->spec.origin[0] == '\0' || needs_text(j->exec, relay))
		return;
	agb_name_set(o->origin, sizeof(o->origin), j->spec.origin);
	free(o->payload);
	o->payload = NULL;
	o->payload_len = 0;
}

static void
send_relayed(struct wf_leader *l, const struct wf_now *now, struct wf_order *o,
    uint32_t relay, struct wf_effects *out)
{
	struct wf_relay_peer *const p = &l->outbox.relays[relay];
	struct wf_runner *const r = &l->runners[o->runner];
	struct wf_route *const way = &r->route;

	if (!way->carded || way->life != r->life) {
		batch_card(p, r, o->runner);
		way->carded = true;
		way->life = r->life;
		wf_seen_free(&way->seen);
	}
	o->known_list =
	    o->kind == WF_ORDER_HOLD && !o->is_probe ? way->seen.no : 0;
	o->send_by =
	    (agb_time)((int64_t)send_until(l, o, now->mono) + p->clock_off);
	sent_add(l, relay, o, now->mono);
	drop_text(l, o, relay);
	if (p->batch.len == p->batch_cap)
		p->batch.items = agb_xgrow(
		    p->batch.items, &p->batch_cap, sizeof(*p->batch.items));
	p->send_at =
	    p->batch.len == 0 ? now->mono + BATCH_GAP_MS * AGB_MS : p->send_at;
	if (o->kind != WF_ORDER_HOLD || o->is_probe)
		p->send_at = now->mono;
	p->batch.items[p->batch.len++] = *o;
	if (p->batch.len == BATCH_MAX)
		batch_send(l, now, relay, out);
}

/* Holds wait for others to the same relay. */
static agb_time
batches_send(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_outbox *const b = &l->outbox;
	agb_time next = AGB_TIME_MAX;
	uint32_t i;

	for (i = 0; i < b->relays_len; i++) {
		if (b->relays[i].batch.len == 0)
			continue;
		if (now->mono >= b->relays[i].send_at)
			batch_send(l, now, i, out);
		else
			next = agb_time_min(next, b->relays[i].send_at);
	}
	return next;
}

agb_time
wf_outbox_flush(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_outbox *const b = &l->outbox;
	struct wf_order *o;
	uint32_t relay;
	size_t k;

	for (k = 0; k < b->queue_len; k++) {
		o = &b->queue[k];
		relay = relay_of(b, &l->runners[o->runner]);
		if (relay == WF_NO_HANDLE)
			send_direct(l, o, now->mono, out);
		else
			send_relayed(l, now, o, relay, out);
	}
	b->queue_len = 0;
	return batches_send(l, now, out);
}

/* ---- answers ---- */

/* Hands a result on as if the runner had answered here. */
static void
report(struct wf_leader *l, const struct wf_now *now, struct wf_sent *s,
    enum wf_order_status status, struct wf_effects *out)
{
	struct wf_order_result res = s->res;

	HASH_DEL(l->outbox.sent, s);
	free(s);
	res.status = status;
	wf_fleet_handle_result(l, now, &res, out);
}

/* An instance that does not answer may have carried out what it has. */
void
wf_outbox_lost(struct wf_leader *l, const struct wf_now *now, uint32_t relay,
    const char *why, struct wf_effects *out)
{
	struct wf_relay_peer *const p = &l->outbox.relays[relay];
	struct wf_sent *s, *next;

	if (now->mono >= p->bad_until)
		wf_effects_log(out, AGB_LOG_WARN, "orders",
		    "through=%s change=lost reason=\"%s\"", p->name, why);
	p->bad_until = now->mono + BAD_MS * AGB_MS;
	p->usable = false;
	l->outbox.check_at = 0;
	for (s = l->outbox.sent; s != NULL; s = next) {
		next = s->hh.next;
		if (s->relay == relay)
			report(l, now, s, WF_ORDER_LOST, out);
	}
}

/* The orders of a call that the relay certainly did not take. */
static void
call_refused(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    struct wf_effects *out)
{
	struct wf_sent *s, *next;

	for (s = l->outbox.sent; s != NULL; s = next) {
		next = s->hh.next;
		if (s->tag == tag)
			report(l, now, s, WF_ORDER_UNRELAYED, out);
	}
}

static void
learn_clock(struct wf_relay_peer *p, agb_time clock, agb_time now)
{
	const int64_t off = (int64_t)clock - (int64_t)now;

	if (p->clock_at == 0 || off > p->clock_off ||
	    now - p->clock_at > CLOCK_OLD_MS * AGB_MS / 2) {
		p->clock_off = off;
		p->clock_at = now;
	}
	p->heard_at = now;
}

void
wf_outbox_taken(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    const struct wf_orders_ack *done, struct wf_effects *out)
{
	const uint32_t relay = (uint32_t)(tag >> RELAY_SHIFT) % WF_RELAYS_MAX;
	struct wf_outbox *const b = &l->outbox;

	if (relay >= b->relays_len)
		return;
	if (done->answered && done->accepted) {
		if (!b->relays[relay].usable)
			b->check_at = 0;
		learn_clock(&b->relays[relay], done->peer_clock, now->mono);
		return;
	}
	if (done->answered || !done->may_have_arrived)
		call_refused(l, now, tag, out);
	wf_outbox_lost(
	    l, now, relay, done->answered ? "refused" : "no answer", out);
}

static bool
take_lists(struct wf_leader *l, const struct wf_relayed_result *x,
    struct wf_order_result *res)
{
	struct wf_runner *const r = &l->runners[res->runner];
	static const struct wf_seen none;
	const bool same = r->route.chosen && r->route.relay == res->relay &&
	    r->life == res->incarnation;

	if (!wf_delta_apply(same ? &r->route.seen : &none, x, &res->active,
		&res->active_len))
		return false;
	res->finished = x->finished;
	res->finished_len = x->finished_len;
	if (x->list != 0 && same)
		wf_seen_set(
		    &r->route.seen, x->list, res->active, res->active_len);
	return true;
}

static void
take_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_relayed_result *x, struct wf_effects *out)
{
	struct wf_order_result res;
	struct wf_sent *s;

	HASH_FIND(hh, l->outbox.sent, &x->number, sizeof(x->number), s);
	if (s == NULL || s->res.runner >= l->runners_len)
		return;
	res = s->res;
	l->outbox.relays[s->relay].heard_at = now->mono;
	HASH_DEL(l->outbox.sent, s);
	free(s);
	res.status = x->status;
	res.started_ms = x->started_ms;
	res.clock_ms = x->clock_ms;
	if (res.status == WF_ORDER_UNRELAYED)
		l->runners[res.runner].route.carded = false;
	if (res.kind == WF_ORDER_HOLD && res.status == WF_ORDER_OK &&
	    !take_lists(l, x, &res)) {
		/* The next hold asks for the whole list. */
		l->runners[res.runner].route.carded = false;
		res.status = WF_ORDER_UNRELAYED;
	}
	wf_fleet_handle_result(l, now, &res, out);
	free(res.active);
}

void
wf_outbox_results(struct wf_leader *l, const struct wf_now *now,
    const struct wf_result_batch *results, struct wf_effects *out)
{
	size_t i;

	if (results->fence != l->fence)
		return;
	for (i = 0; i < results->len; i++)
		take_result(l, now, &results->items[i], out);
}

/* ---- time ---- */

/* One result may be lost alone; a relay that says nothing at all is away. */
static bool
relay_silent(const struct wf_relay_peer *p, agb_time now)
{
	return now - p->heard_at > SILENT_MS * AGB_MS;
}

static void
expire(struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	const bool held_up =
	    now->mono > l->outbox.expire_at + HELD_UP_MS * AGB_MS;
	struct wf_sent *s, *next;

	l->outbox.expire_at = now->mono + EXPIRE_MS * AGB_MS;
	/* A leader that was held up reads what has come before it judges. */
	if (held_up)
		return;
	for (s = l->outbox.sent; s != NULL; s = next) {
		next = s->hh.next;
		if (now->mono < s->expires)
			continue;
		if (!relay_silent(&l->outbox.relays[s->relay], now->mono)) {
			report(l, now, s, WF_ORDER_LOST, out);
			continue;
		}
		/* It ends all orders of that relay, @next among them. */
		wf_outbox_lost(l, now, s->relay, "no result", out);
		next = l->outbox.sent;
	}
}

static bool
relay_usable(
    const struct wf_leader *l, const struct wf_relay_peer *p, agb_time now)
{
	const struct wf_peer *peer;

	if (!p->listed || p->clock_at == 0 || now < p->bad_until ||
	    now - p->heard_at > CLOCK_OLD_MS * AGB_MS)
		return false;
	HASH_FIND_STR(l->table->peers, p->name, peer);
	return peer != NULL && wf_peer_responds(peer, now);
}

static void
check(struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_outbox *const b = &l->outbox;
	const bool asks = b->through || !l->registry_seen;
	struct wf_relay_peer *p;
	uint32_t i;

	b->check_at = now->mono + CHECK_MS * AGB_MS;
	for (i = 0; i < b->relays_len; i++) {
		p = &b->relays[i];
		p->usable = relay_usable(l, p, now->mono);
		if (p->listed && asks && now->mono >= p->bad_until &&
		    (p->asked_at == 0 ||
			now->mono - p->asked_at >= HELLO_MS * AGB_MS))
			batch_send(l, now, i, out);
	}
	zones_make(l);
}

agb_time
wf_outbox_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_outbox *const b = &l->outbox;

	if (now->mono >= b->check_at)
		check(l, now, out);
	if (b->sent == NULL)
		return b->check_at;
	if (now->mono >= b->expire_at)
		expire(l, now, out);
	return agb_time_min(b->check_at, b->expire_at);
}

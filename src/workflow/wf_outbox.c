#include "wf_outbox.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#include "mem.h"
#include "wf_leader.h"

/* Runners that one permille of a CPU serves in addition to the leader's other
 * work, and network traffic of one runner in both directions together. */
#define RUNNERS_PER_CPU_PERMILLE 2
#define RUNNER_BYTES_PER_S 2500
/* Share of its CPU and of its link that a leader may spend on serving runners
 * directly. */
#define DIRECT_SHARE_PERCENT 20
/* A failure domain gets one relay for this many runners, but no fewer than
 * RELAYS_MIN relays. */
#define RUNNERS_PER_RELAY 48
#define RELAYS_MIN 2
/* A result from a relay may arrive this long after the timeout of its order. */
#define RESULT_MARGIN_MS 300
#define CALL_TIMEOUT_MS 500
/* Time in which answers that all take longer raise the time of an undelayed one
 * by two thirds of the difference: after a change of the route it is learned
 * anew. It is longer than an overload lasts, so that the delay of one does not
 * count as distance. */
#define ANSWER_TIME_MS 30000
/* An instance that did not answer is sent no orders for this long. */
#define RELAY_EXCLUDE_MS 2000
#define CHECK_INTERVAL_MS 150
#define EXPIRE_INTERVAL_MS 20
/* A check for expired orders that runs this much late is put off for as long as
 * it was late, up to a limit. A shorter delay ends before a slow process has
 * read what arrived during its pause. */
#define LATE_TICK_MS 40
#define LATE_DELAY_MAX_MS 500
/* A relay that has pending orders and sends nothing for this long is treated as
 * lost. */
#define RELAY_SILENT_MS 800
/* Interval of the empty calls that read an idle instance's clock, and the time
 * after its last reply for which an instance remains usable. */
#define CLOCK_POLL_MS 2000
#define CLOCK_MAX_AGE_MS 8000
/* Maximum number of orders in one call, and how long a hold waits for others
 * before its call is sent. */
#define BATCH_MAX 200
#define BATCH_DELAY_MS 25
/* A new leader waits this long for relays to answer before it sends to runners
 * directly. */
#define RELAYS_WAIT_MS 250
#define TAG_RELAY_SHIFT 40
#define TAG_CALL_MASK (((uint64_t)1 << TAG_RELAY_SHIFT) - 1)

/**
 * struct wf_pending_order - an order that was sent to a relay and has no
 * result yet
 * @tag: tag of the call that carried it
 * @relay: handle of the relay
 * @res: result to report, filled in as far as the order determines it
 */
struct wf_pending_order {
	uint64_t number;
	uint64_t tag;
	uint32_t relay;
	agb_time expires_at;
	struct wf_order_result res;
	UT_hash_handle hh;
};

/* Whether a relay has failed to fetch the payload of a job. */
static bool
lacks_payload(const struct wf_exec *e, uint32_t relay)
{
	return e->relays_without_payload[relay / 64] >> (relay % 64) & 1;
}

void
wf_outbox_mark_payload_missing(struct wf_exec *e, uint32_t relay)
{
	if (relay < WF_RELAYS_MAX)
		e->relays_without_payload[relay / 64] |= (uint64_t)1
		    << (relay % 64);
}

static void
batch_free(struct wf_relay_peer *p)
{
	wf_order_batch_free(&p->batch);
	p->batch_cap = 0;
	p->runners_cap = 0;
}

void
wf_outbox_free(struct wf_leader *l)
{
	struct wf_outbox *const b = &l->outbox;
	struct wf_pending_order *order, *next;
	uint32_t i;
	size_t k;

	order = b->pending;
	HASH_CLEAR(hh, b->pending);
	for (; order != NULL; order = next) {
		next = order->hh.next;
		free(order);
	}
	for (i = 0; i < b->relays_len; i++)
		batch_free(&b->relays[i]);
	for (k = 0; k < b->queue_len; k++)
		free(b->queue[k].payload);
	for (i = 0; i < l->runners_len; i++)
		wf_baseline_free(&l->runners[i].route.baseline);
	free(b->queue);
	free(b->relays);
	free(b->domains);
	memset(b, 0, sizeof(*b));
}

static struct wf_relay_peer *
relay_find_or_add(struct wf_outbox *b, const char *name)
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
	agb_str_copy(unused->name, sizeof(unused->name), name);
	unused->first_order = b->last_order_number + 1;
	unused->first_call = b->last_call_number + 1;
	return unused;
}

void
wf_outbox_update_peers(struct wf_leader *l)
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
		r = relay_find_or_add(b, p->name);
		if (r == NULL)
			continue;
		r->listed = true;
		r->capacity = p->relay_capacity;
		agb_str_copy(r->addr, sizeof(r->addr), p->rpc);
		agb_str_copy(r->domain, sizeof(r->domain), p->domain);
	}
	b->check_at = 0;
}

uint32_t
wf_outbox_pending_count(const struct wf_outbox *b)
{
	return HASH_COUNT(b->pending);
}

/* ---- choice of relays ---- */

static struct wf_domain_relays *
domain_find(const struct wf_outbox *b, const char *domain)
{
	size_t i;

	for (i = 0; i < b->domains_len; i++) {
		if (strcmp(b->domains[i].domain, domain) == 0)
			return &b->domains[i];
	}
	return NULL;
}

static struct wf_domain_relays *
domain_find_or_add(struct wf_outbox *b, const char *domain)
{
	struct wf_domain_relays *d = domain_find(b, domain);

	if (d != NULL)
		return d;
	b->domains = agb_xreallocarray(
	    b->domains, b->domains_len + 1, sizeof(*b->domains));
	d = &b->domains[b->domains_len++];
	memset(d, 0, sizeof(*d));
	agb_str_copy(d->domain, sizeof(d->domain), domain);
	return d;
}

static uint64_t
pair_hash(const char *relay, const char *runner)
{
	return XXH64(runner, strlen(runner), XXH64(relay, strlen(relay), 0));
}

/* Larger machines rank higher. Machines of equal capacity are ranked by a hash,
 * so that different domains prefer different ones. */
static bool
ranks_above(
    const struct wf_outbox *b, const char *domain, uint32_t x, uint32_t y)
{
	const struct wf_relay_peer *const p = &b->relays[x];
	const struct wf_relay_peer *const q = &b->relays[y];

	if (p->capacity != q->capacity)
		return p->capacity > q->capacity;
	return pair_hash(p->name, domain) > pair_hash(q->name, domain);
}

/* Sets of instances that a domain selects its relays from, in the order in
 * which they are tried. */
enum candidate_set {
	OWN_DOMAIN,
	ANY_DOMAIN,
	/* Includes instances that do not answer at present: trying them is
	 * better than loading the leader with the work of all relays. */
	UNANSWERED_TOO,
	CANDIDATE_SETS,
};

static bool
is_candidate(
    const struct wf_relay_peer *p, const char *domain, enum candidate_set set)
{
	switch (set) {
	case OWN_DOMAIN:
		return p->usable && strcmp(p->domain, domain) == 0;
	case ANY_DOMAIN:
		return p->usable;
	default:
		return p->listed && p->clock_read_at > 0;
	}
}

static uint32_t
relays_wanted(uint32_t runners)
{
	const uint32_t n =
	    (runners + RUNNERS_PER_RELAY - 1) / RUNNERS_PER_RELAY;

	return n < RELAYS_MIN	       ? RELAYS_MIN
	    : n < WF_DOMAIN_RELAYS_MAX ? n
				       : WF_DOMAIN_RELAYS_MAX;
}

/* Inserts an instance into the sorted relays of a domain, or drops it when it
 * ranks below all of them and the list is full. */
static void
domain_insert_relay(
    struct wf_outbox *b, struct wf_domain_relays *d, uint32_t relay)
{
	const uint32_t limit = relays_wanted(d->runners);
	uint32_t k;

	for (k = d->relays_len;
	     k > 0 && ranks_above(b, d->domain, relay, d->relays[k - 1]); k--) {
		if (k < limit)
			d->relays[k] = d->relays[k - 1];
	}
	if (k == limit)
		return;
	d->relays[k] = relay;
	d->relays_len += d->relays_len < limit;
}

static void
domain_add_relays(
    struct wf_outbox *b, struct wf_domain_relays *d, enum candidate_set set)
{
	uint32_t i;

	for (i = 0; i < b->relays_len; i++) {
		if (is_candidate(&b->relays[i], d->domain, set))
			domain_insert_relay(b, d, i);
	}
}

static void
domain_select_relays(struct wf_outbox *b, struct wf_domain_relays *d)
{
	enum candidate_set set;

	for (set = OWN_DOMAIN; set < CANDIDATE_SETS; set++) {
		domain_add_relays(b, d, set);
		if (d->relays_len > 0)
			return;
	}
}

/* A leader sends to runners directly as long as its machine has enough CPU and
 * bandwidth for their number. */
static bool
needs_relays(const struct wf_leader *l, uint32_t runners)
{
	const uint64_t by_cpu = (uint64_t)l->cfg->cpu_permille *
	    DIRECT_SHARE_PERCENT / 100 * RUNNERS_PER_CPU_PERMILLE;
	const uint64_t by_link = (uint64_t)l->cfg->link_kbps * 125 *
	    DIRECT_SHARE_PERCENT / 100 / RUNNER_BYTES_PER_S;

	return runners > by_cpu || (l->cfg->link_kbps > 0 && runners > by_link);
}

static void
select_relays(struct wf_leader *l)
{
	struct wf_outbox *const b = &l->outbox;
	uint64_t hash;
	uint32_t ri, n;
	size_t i;

	for (i = 0; i < b->domains_len; i++) {
		b->domains[i].runners = 0;
		b->domains[i].relays_len = 0;
	}
	n = 0;
	for (ri = 0; ri < l->runners_len; ri++) {
		if (!l->runners[ri].used || !l->runners[ri].listed)
			continue;
		domain_find_or_add(b, l->runners[ri].info.domain)->runners++;
		n++;
	}
	b->use_relays = needs_relays(l, n);
	hash = b->use_relays;
	b->all_relays.runners = n;
	b->all_relays.relays_len = 0;
	domain_add_relays(b, &b->all_relays, ANY_DOMAIN);
	for (i = 0; i < b->domains_len; i++) {
		domain_select_relays(b, &b->domains[i]);
		hash = XXH64(b->domains[i].relays,
		    b->domains[i].relays_len * sizeof(uint32_t), hash);
	}
	/* A new generation makes every runner choose its relay again, which is
	 * only needed when the relays have changed. */
	b->generation += hash != b->domains_hash;
	b->domains_hash = hash;
}

/* Score of weighted rendezvous hashing. When a relay is added or removed, only
 * the runners assigned to it change their relay. */
static double
rendezvous_score(const struct wf_relay_peer *p, const char *runner)
{
	const double u = ((double)(pair_hash(p->name, runner) >> 11) + 0.5) /
	    9007199254740992.0;

	return (double)(p->capacity > 0 ? p->capacity : 1) / -log(u);
}

/* The relay with the highest score for a runner after skipping the @skip best
 * ones. */
static uint32_t
ranked_relay(const struct wf_outbox *b, const struct wf_domain_relays *d,
    const char *runner, uint32_t skip)
{
	double scores[WF_DOMAIN_RELAYS_MAX];
	uint32_t i, best;

	for (i = 0; i < d->relays_len; i++)
		scores[i] = rendezvous_score(&b->relays[d->relays[i]], runner);
	for (;;) {
		best = WF_NO_HANDLE;
		for (i = 0; i < d->relays_len; i++) {
			if (scores[i] > 0 &&
			    (best == WF_NO_HANDLE || scores[i] > scores[best]))
				best = i;
		}
		if (best == WF_NO_HANDLE || skip-- == 0)
			break;
		scores[best] = 0;
	}
	return best != WF_NO_HANDLE ? d->relays[best] : WF_NO_HANDLE;
}

static uint32_t
choose_relay(const struct wf_outbox *b, const struct wf_runner *r)
{
	const struct wf_domain_relays *const d = domain_find(b, r->info.domain);
	const uint32_t skip = r->route.skipped_relays;

	if (!b->use_relays || d == NULL || d->relays_len == 0)
		return WF_NO_HANDLE;
	if (d->relays_len > 1)
		return ranked_relay(b, d, r->info.id, skip % d->relays_len);
	/* The alternative is a relay of another domain rather than the leader,
	 * which would otherwise be loaded by all runners without a relay. */
	return skip % 2 == 0 ? d->relays[0]
			     : ranked_relay(b, &b->all_relays, r->info.id, 0);
}

/* Relay of a runner, WF_NO_HANDLE for none. It is chosen again when the set of
 * relays has changed or the relay has to be avoided. */
static uint32_t
current_relay(struct wf_outbox *b, struct wf_runner *r)
{
	struct wf_route *const route = &r->route;
	uint32_t relay;

	if (!route->chosen || route->generation != b->generation) {
		relay = choose_relay(b, r);
		if (!route->chosen || relay != route->relay)
			route->announced = false;
		route->relay = relay;
		route->generation = b->generation;
		route->chosen = true;
	}
	return route->relay;
}

bool
wf_outbox_must_wait(
    const struct wf_leader *l, const struct wf_runner *r, agb_time now)
{
	const struct wf_domain_relays *const d =
	    domain_find(&l->outbox, r->info.domain);

	return l->outbox.use_relays && l->outbox.relays_len > 0 &&
	    now < l->elected_at + RELAYS_WAIT_MS * AGB_MS &&
	    (d == NULL || d->relays_len == 0);
}

bool
wf_outbox_avoid_relay(struct wf_runner *r, uint32_t relay)
{
	if (relay == WF_NO_HANDLE)
		return false;
	if (r->route.chosen && r->route.relay == relay) {
		r->route.skipped_relays++;
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

/* Latest time to send an order: no later than its timeout, and for a start no
 * later than the end of the leader's lease. */
static agb_time
send_deadline(const struct wf_leader *l, const struct wf_order *o, agb_time now)
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
	ef->u.order.send_by = send_deadline(l, o, now);
}

static void
pending_add(
    struct wf_leader *l, uint32_t relay, struct wf_order *o, agb_time now)
{
	struct wf_pending_order *const pending =
	    agb_xcalloc(1, sizeof(*pending));

	pending->number = o->number = ++l->outbox.last_order_number;
	pending->relay = relay;
	pending->expires_at = now + (o->timeout_ms + RESULT_MARGIN_MS) * AGB_MS;
	wf_order_result_init(&pending->res, o);
	pending->res.relay = relay;
	HASH_ADD(
	    hh, l->outbox.pending, number, sizeof(pending->number), pending);
}

static void
batch_add_runner(
    struct wf_relay_peer *p, const struct wf_runner *r, uint32_t ri)
{
	struct wf_order_batch *const batch = &p->batch;
	struct wf_runner_addr *c;

	if (batch->runners_len == p->runners_cap)
		batch->runners = agb_xgrow(
		    batch->runners, &p->runners_cap, sizeof(*batch->runners));
	c = &batch->runners[batch->runners_len++];
	c->runner = ri;
	c->incarnation = r->incarnation;
	agb_str_copy(c->id, sizeof(c->id), r->info.id);
	agb_str_copy(c->addr, sizeof(c->addr), r->info.addr);
}

static void
batch_send(struct wf_leader *l, const struct wf_now *now, uint32_t relay,
    struct wf_effects *out)
{
	struct wf_outbox *const b = &l->outbox;
	struct wf_relay_peer *const p = &b->relays[relay];
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_ORDERS);
	struct wf_pending_order *order;
	size_t i;

	ef->tag = WF_ORDERS_TAG | (uint64_t)relay << TAG_RELAY_SHIFT |
	    (++b->last_call_number & TAG_CALL_MASK);
	b->call_sent_at[b->last_call_number % WF_OUTBOX_CALLS_MAX] = now->mono;
	ef->timeout_ms = CALL_TIMEOUT_MS;
	agb_str_copy(ef->peer, sizeof(ef->peer), p->addr);
	ef->u.orders = p->batch;
	ef->u.orders.fence = l->fence;
	agb_str_copy(ef->u.orders.reply_to, sizeof(agb_addr), l->cfg->rpc);
	for (i = 0; i < p->batch.len; i++) {
		HASH_FIND(hh, l->outbox.pending, &p->batch.items[i].number,
		    sizeof(uint64_t), order);
		if (order != NULL)
			order->tag = ef->tag;
	}
	p->last_call_at = now->mono;
	memset(&p->batch, 0, sizeof(p->batch));
	p->batch_cap = 0;
	p->runners_cap = 0;
}

/* Leaves the payload of a job out of a start. The relay fetches it from the
 * instance that accepted the job, since the leader's link would otherwise carry
 * the payload once per relay. */
static void
omit_payload(struct wf_leader *l, struct wf_order *o, uint32_t relay)
{
	const struct wf_job *const j = wf_table_job(l->table, o->task.job);

	if (o->kind != WF_ORDER_START || j == NULL || j->exec == NULL ||
	    j->spec.origin[0] == '\0' || lacks_payload(j->exec, relay))
		return;
	/* A relay of an earlier version would take the payload of the first job
	 * with the same id. */
	if (wf_job_id_ordinal(j->id) > 0)
		return;
	agb_str_copy(o->origin, sizeof(o->origin), j->spec.origin);
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
	struct wf_route *const route = &r->route;

	if (!route->announced ||
	    route->announced_incarnation != r->incarnation ||
	    route->announced_order < p->first_order) {
		batch_add_runner(p, r, o->runner);
		route->announced = true;
		route->announced_incarnation = r->incarnation;
		route->announced_order = l->outbox.last_order_number + 1;
		wf_baseline_free(&route->baseline);
	}
	o->known_list = o->kind == WF_ORDER_HOLD && !o->is_probe
	    ? route->baseline.number
	    : 0;
	o->send_by = (agb_time)((int64_t)send_deadline(l, o, now->mono) +
	    p->clock_offset);
	pending_add(l, relay, o, now->mono);
	omit_payload(l, o, relay);
	if (p->batch.len == p->batch_cap)
		p->batch.items = agb_xgrow(
		    p->batch.items, &p->batch_cap, sizeof(*p->batch.items));
	p->batch_due_at = p->batch.len == 0
	    ? now->mono + BATCH_DELAY_MS * AGB_MS
	    : p->batch_due_at;
	if (o->kind != WF_ORDER_HOLD || o->is_probe)
		p->batch_due_at = now->mono;
	p->batch.items[p->batch.len++] = *o;
	if (p->batch.len == BATCH_MAX)
		batch_send(l, now, relay, out);
}

/* Sends the batches that are due. A batch that contains only holds waits
 * BATCH_DELAY_MS for further orders to the same relay. */
static agb_time
send_due_batches(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_outbox *const b = &l->outbox;
	agb_time next = AGB_TIME_MAX;
	uint32_t i;

	for (i = 0; i < b->relays_len; i++) {
		if (b->relays[i].batch.len == 0)
			continue;
		if (now->mono >= b->relays[i].batch_due_at)
			batch_send(l, now, i, out);
		else
			next = agb_time_min(next, b->relays[i].batch_due_at);
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
		relay = current_relay(b, &l->runners[o->runner]);
		if (relay == WF_NO_HANDLE)
			send_direct(l, o, now->mono, out);
		else
			send_relayed(l, now, o, relay, out);
	}
	b->queue_len = 0;
	return send_due_batches(l, now, out);
}

/* ---- results ---- */

/* Removes a pending order and reports its status as a runner's answer. */
static void
end_order(struct wf_leader *l, const struct wf_now *now,
    struct wf_pending_order *order, enum wf_order_status status,
    struct wf_effects *out)
{
	struct wf_order_result res = order->res;

	HASH_DEL(l->outbox.pending, order);
	free(order);
	res.status = status;
	wf_fleet_handle_result(l, now, &res, out);
}

/* Relay that an order was sent to, NULL when its entry has another instance by
 * now. */
static struct wf_relay_peer *
order_relay(const struct wf_outbox *b, const struct wf_pending_order *order)
{
	struct wf_relay_peer *const p = &b->relays[order->relay];

	return order->number >= p->first_order ? p : NULL;
}

/* The relay may have carried out its orders without reporting the results, so
 * they end as lost rather than as not relayed. */
void
wf_outbox_relay_lost(struct wf_leader *l, const struct wf_now *now,
    uint32_t relay, const char *why, struct wf_effects *out)
{
	struct wf_relay_peer *const p = &l->outbox.relays[relay];
	struct wf_pending_order *order, *next;

	if (now->mono >= p->excluded_until)
		wf_effects_log(out, AGB_LOG_WARN, "orders",
		    "through=%s change=lost reason=\"%s\"", p->name, why);
	p->excluded_until = now->mono + RELAY_EXCLUDE_MS * AGB_MS;
	p->usable = false;
	l->outbox.check_at = 0;
	for (order = l->outbox.pending; order != NULL; order = next) {
		next = order->hh.next;
		if (order_relay(&l->outbox, order) == p)
			end_order(l, now, order, WF_ORDER_LOST, out);
	}
}

/* Ends the orders of a call. */
static void
end_call_orders(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    enum wf_order_status status, struct wf_effects *out)
{
	struct wf_pending_order *order, *next;

	for (order = l->outbox.pending; order != NULL; order = next) {
		next = order->hh.next;
		if (order->tag == tag)
			end_order(l, now, order, status, out);
	}
}

/* The relay read its clock before its reply arrived here, so each measured
 * offset is too low by the transit time. The largest recent one is kept: it is
 * the closest to the true offset without exceeding it. */
static void
update_clock_offset(struct wf_relay_peer *p, agb_time clock, agb_time now)
{
	const int64_t offset = (int64_t)clock - (int64_t)now;

	if (p->clock_read_at == 0 || offset > p->clock_offset ||
	    now - p->clock_read_at > CLOCK_MAX_AGE_MS * AGB_MS / 2) {
		p->clock_offset = offset;
		p->clock_read_at = now;
	}
	p->last_reply_at = now;
}

static void
update_answer_time(struct wf_answer_time *t, agb_time now, agb_time took)
{
	const agb_time period = ANSWER_TIME_MS * AGB_MS;
	const agb_time since = agb_time_min(now - t->updated_at, period);

	if (t->undelayed == 0 || took < t->undelayed)
		t->undelayed = took;
	else
		t->undelayed += (took - t->undelayed) * since / period;
	t->updated_at = now;
}

/* A message that was given up is late, however long answers take: it tells
 * nothing about the distance. */
static void
note_message_end(struct wf_leader *l, agb_time now, struct wf_answer_time *t,
    agb_time sent_at, bool answered)
{
	if (answered)
		update_answer_time(t, now, now - sent_at);
	wf_flow_note_answer(
	    &l->flow, now, sent_at, answered ? t->undelayed : 0);
}

void
wf_outbox_note_direct_answer(struct wf_leader *l, agb_time now,
    struct wf_runner *r, agb_time sent_at, bool answered)
{
	note_message_end(l, now, &r->route.answer_time, sent_at, answered);
}

void
wf_outbox_call_done(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    const struct wf_orders_ack *done, struct wf_effects *out)
{
	const uint32_t relay =
	    (uint32_t)(tag >> TAG_RELAY_SHIFT) % WF_RELAYS_MAX;
	struct wf_outbox *const b = &l->outbox;

	if (relay >= b->relays_len)
		return;
	if ((tag & TAG_CALL_MASK) < b->relays[relay].first_call) {
		/* The entry has another instance by now, of which this answer
		 * tells nothing. */
		if (!done->answered && done->may_have_arrived)
			end_call_orders(l, now, tag, WF_ORDER_LOST, out);
		else if (!done->answered || !done->accepted)
			end_call_orders(l, now, tag, WF_ORDER_UNRELAYED, out);
		return;
	}
	if (done->answered || done->may_have_arrived)
		note_message_end(l, now->mono, &b->relays[relay].answer_time,
		    b->call_sent_at[tag % WF_OUTBOX_CALLS_MAX], done->answered);
	if (done->answered && done->accepted) {
		if (!b->relays[relay].usable)
			b->check_at = 0;
		update_clock_offset(
		    &b->relays[relay], done->peer_clock, now->mono);
		return;
	}
	if (done->answered || !done->may_have_arrived)
		/* The relay certainly did not accept them. */
		end_call_orders(l, now, tag, WF_ORDER_UNRELAYED, out);
	else if (wf_flow_is_congested(&l->flow, now->mono))
		/* Most calls are late at present, so that this one tells
		 * nothing about the relay. */
		return;
	wf_outbox_relay_lost(
	    l, now, relay, done->answered ? "refused" : "no answer", out);
}

static bool
decode_lists(struct wf_leader *l, const struct wf_relayed_result *x,
    struct wf_order_result *res)
{
	struct wf_runner *const r = &l->runners[res->runner];
	static const struct wf_baseline none;
	const bool same = r->route.chosen && r->route.relay == res->relay &&
	    x->number >= r->route.announced_order &&
	    r->incarnation == res->incarnation;

	if (!wf_delta_apply(same ? &r->route.baseline : &none, x, &res->active,
		&res->active_len))
		return false;
	res->finished = x->finished;
	res->finished_len = x->finished_len;
	if (x->list != 0 && same)
		wf_baseline_set(
		    &r->route.baseline, x->list, res->active, res->active_len);
	return true;
}

static void
handle_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_relayed_result *x, struct wf_effects *out)
{
	struct wf_order_result res;
	struct wf_pending_order *order;
	struct wf_relay_peer *p;

	HASH_FIND(hh, l->outbox.pending, &x->number, sizeof(x->number), order);
	if (order == NULL || order->res.runner >= l->runners_len)
		return;
	res = order->res;
	p = order_relay(&l->outbox, order);
	if (p != NULL)
		p->last_reply_at = now->mono;
	HASH_DEL(l->outbox.pending, order);
	free(order);
	res.status = x->status;
	res.started_ms = x->started_ms;
	res.clock_ms = x->clock_ms;
	if (res.status == WF_ORDER_UNRELAYED)
		l->runners[res.runner].route.announced = false;
	if (res.kind == WF_ORDER_HOLD && res.status == WF_ORDER_OK &&
	    !decode_lists(l, x, &res)) {
		/* Announcing the runner again discards the baseline, so that
		 * the next hold returns the full list. */
		l->runners[res.runner].route.announced = false;
		res.status = WF_ORDER_UNRELAYED;
	}
	wf_fleet_handle_result(l, now, &res, out);
	free(res.active);
}

void
wf_outbox_handle_results(struct wf_leader *l, const struct wf_now *now,
    const struct wf_result_batch *results, struct wf_effects *out)
{
	size_t i;

	if (results->fence != l->fence)
		return;
	for (i = 0; i < results->len; i++)
		handle_result(l, now, &results->items[i], out);
}

/* ---- timeouts ---- */

/* A single result can be lost; a relay counts as lost only when nothing at all
 * arrives from it. */
static bool
relay_silent(const struct wf_relay_peer *p, agb_time now)
{
	return now - p->last_reply_at > RELAY_SILENT_MS * AGB_MS;
}

static void
expire_orders(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	const agb_time late = now->mono - l->outbox.expire_at;
	struct wf_pending_order *order, *next;
	const struct wf_relay_peer *p;

	/* After a delay of this process, results may be waiting in the socket:
	 * they are read before any order is timed out. */
	if (late > LATE_TICK_MS * AGB_MS) {
		l->outbox.expire_at =
		    now->mono + agb_time_min(late, LATE_DELAY_MAX_MS * AGB_MS);
		return;
	}
	l->outbox.expire_at = now->mono + EXPIRE_INTERVAL_MS * AGB_MS;
	for (order = l->outbox.pending; order != NULL; order = next) {
		next = order->hh.next;
		if (now->mono < order->expires_at)
			continue;
		p = order_relay(&l->outbox, order);
		if (p == NULL || !relay_silent(p, now->mono)) {
			end_order(l, now, order, WF_ORDER_LOST, out);
			continue;
		}
		/* This ends all orders of the relay, perhaps including @next,
		 * so the loop starts over. */
		wf_outbox_relay_lost(l, now, order->relay, "no result", out);
		next = l->outbox.pending;
	}
}

static bool
relay_usable(
    const struct wf_leader *l, const struct wf_relay_peer *p, agb_time now)
{
	const struct wf_peer *peer;

	if (!p->listed || p->clock_read_at == 0 || now < p->excluded_until ||
	    now - p->last_reply_at > CLOCK_MAX_AGE_MS * AGB_MS)
		return false;
	HASH_FIND_STR(l->table->peers, p->name, peer);
	return peer != NULL && wf_peer_responds(peer, now);
}

static void
check_relays(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_outbox *const b = &l->outbox;
	const bool poll = b->use_relays || !l->registry_seen;
	struct wf_relay_peer *p;
	uint32_t i;

	b->check_at = now->mono + CHECK_INTERVAL_MS * AGB_MS;
	for (i = 0; i < b->relays_len; i++) {
		p = &b->relays[i];
		p->usable = relay_usable(l, p, now->mono);
		if (p->listed && poll && now->mono >= p->excluded_until &&
		    (p->last_call_at == 0 ||
			now->mono - p->last_call_at >= CLOCK_POLL_MS * AGB_MS))
			batch_send(l, now, i, out);
	}
	select_relays(l);
}

agb_time
wf_outbox_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_outbox *const b = &l->outbox;

	if (now->mono >= b->check_at)
		check_relays(l, now, out);
	if (b->pending == NULL) {
		b->expire_at = now->mono + EXPIRE_INTERVAL_MS * AGB_MS;
		return b->check_at;
	}
	if (now->mono >= b->expire_at)
		expire_orders(l, now, out);
	return agb_time_min(b->check_at, b->expire_at);
}

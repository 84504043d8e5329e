#include "wf_show.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_leader.h"

/* States are collected for this long before they are pushed, plus a time for
 * each peer. */
#define PUSH_INTERVAL_MS 40
#define PUSH_INTERVAL_PER_PEER_MS 4
/* Factor of that time while links are congested: starts matter more than how
 * soon callers see a state. */
#define PUSH_CONGESTED_FACTOR 4
/* How often the pending jobs are counted. */
#define COUNT_INTERVAL_MS 400
/* With more instances than this, pushes go to one instance of each failure
 * domain, which forwards them. */
#define DIRECT_PEERS_MAX 12
#define PUSH_TIMEOUT_MS 500
/* While most messages are late, each repetition of a push waits twice as long,
 * up to this time, so that a late acknowledgement ends the repetitions. */
#define PUSH_TIMEOUT_MAX_MS 4000
/* Maximum number of unacknowledged pushes that are kept for a repetition. */
#define PUSHES_MAX 64

static void
records_free(struct wf_record *items, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		free(items[i].val);
	free(items);
}

static struct wf_record *
records_copy(const struct wf_record *items, size_t len)
{
	struct wf_record *const copy = agb_xcalloc(len + 1, sizeof(*copy));
	size_t i;

	for (i = 0; i < len; i++) {
		copy[i] = items[i];
		copy[i].val = agb_xmemdup(items[i].val, items[i].len);
	}
	return copy;
}

void
wf_show_free(struct wf_leader *l)
{
	struct wf_show *const s = &l->show;
	size_t i;

	for (i = 0; i < s->pushes_len; i++)
		records_free(s->pushes[i].items, s->pushes[i].len);
	free(s->pushes);
	wf_counts_free(&s->counts);
	free(s->states);
	memset(s, 0, sizeof(*s));
}

void
wf_show_add_state(struct wf_leader *l, const char *job, enum wf_job_state state)
{
	struct wf_show *const s = &l->show;
	struct wf_show_state *entry;

	if (s->states_len == s->states_cap)
		s->states =
		    agb_xgrow(s->states, &s->states_cap, sizeof(*s->states));
	entry = &s->states[s->states_len++];
	agb_str_copy(entry->job, sizeof(entry->job), job);
	entry->state = state;
}

static void
make_state_record(struct wf_record *r, const struct wf_show_state *s)
{
	wf_table_make_key(r->key, 'v', s->job);
	r->val = agb_xcalloc(1, 1);
	r->val[0] = (char)s->state;
	r->len = 1;
}

static struct wf_effect *
push_records(const char *peer, const struct wf_record *items, size_t len,
    struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PEER_PUSH);

	agb_str_copy(ef->peer, sizeof(ef->peer), peer);
	ef->u.push.items = records_copy(items, len);
	ef->u.push.len = len;
	return ef;
}

static bool
peer_responds(const struct wf_leader *l, const char *name, agb_time now)
{
	struct wf_peer *p;

	HASH_FIND_STR(l->table->peers, name, p);
	return p != NULL && wf_peer_responds(p, now);
}

/* Chooses the instance that forwards pushes in a failure domain: the one with
 * the highest relay capacity that responds. WF_NO_HANDLE when there is none. */
static uint32_t
choose_forwarder(const struct wf_leader *l, const char *domain, agb_time now)
{
	const struct wf_relay_peer *const relays = l->outbox.relays;
	uint32_t i, best = WF_NO_HANDLE;

	for (i = 0; i < l->outbox.relays_len; i++) {
		if (!relays[i].listed || now < relays[i].excluded_until ||
		    strcmp(relays[i].domain, domain) != 0 ||
		    !peer_responds(l, relays[i].name, now))
			continue;
		if (best == WF_NO_HANDLE ||
		    relays[i].capacity > relays[best].capacity)
			best = i;
	}
	return best;
}

static void
push_to_domain(struct wf_leader *l, const struct wf_now *now,
    const char *domain, const struct wf_record *items, size_t len,
    uint32_t timeout_ms, struct wf_effects *out)
{
	const uint32_t relay = choose_forwarder(l, domain, now->mono);
	struct wf_show *const s = &l->show;
	struct wf_show_push *p;
	struct wf_effect *ef;

	if (relay == WF_NO_HANDLE)
		return;
	ef = push_records(l->outbox.relays[relay].addr, items, len, out);
	ef->u.push.forward = true;
	if (len == 0 || s->pushes_len == PUSHES_MAX)
		return;
	ef->tag = WF_SHOW_TAG | ++s->next_tag;
	ef->timeout_ms = timeout_ms;
	s->pushes =
	    agb_xreallocarray(s->pushes, s->pushes_len + 1, sizeof(*s->pushes));
	p = &s->pushes[s->pushes_len++];
	p->tag = ef->tag;
	p->relay = relay;
	p->timeout_ms = timeout_ms;
	p->items = records_copy(items, len);
	p->len = len;
}

/* Repeats a push that was not acknowledged: to another instance of the domain,
 * or with more time. While most messages are late, a late acknowledgement tells
 * nothing about the instance. */
static void
repeat_push(struct wf_leader *l, const struct wf_now *now,
    const struct wf_show_push *p, struct wf_effects *out)
{
	uint32_t timeout_ms = PUSH_TIMEOUT_MS;
	agb_id domain;

	agb_str_copy(domain, sizeof(domain), l->outbox.relays[p->relay].domain);
	if (!wf_flow_is_congested(&l->flow, now->mono))
		wf_outbox_relay_lost(
		    l, now, p->relay, "did not acknowledge pushed states", out);
	else
		timeout_ms = p->timeout_ms * 2 < PUSH_TIMEOUT_MAX_MS
		    ? p->timeout_ms * 2
		    : PUSH_TIMEOUT_MAX_MS;
	push_to_domain(l, now, domain, p->items, p->len, timeout_ms, out);
}

void
wf_show_push_done(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    bool ok, struct wf_effects *out)
{
	struct wf_show *const s = &l->show;
	struct wf_show_push p;
	size_t i;

	for (i = 0; i < s->pushes_len && s->pushes[i].tag != tag; i++)
		continue;
	if (i == s->pushes_len)
		return;
	p = s->pushes[i];
	s->pushes[i] = s->pushes[--s->pushes_len];
	if (!ok && p.relay < l->outbox.relays_len)
		repeat_push(l, now, &p, out);
	records_free(p.items, p.len);
}

/* Pushes once to each failure domain that has another instance. */
static void
push_to_domains(struct wf_leader *l, const struct wf_now *now,
    const struct wf_record *items, size_t len, struct wf_effects *out)
{
	const struct wf_relay_peer *const relays = l->outbox.relays;
	uint32_t i, k;

	for (i = 0; i < l->outbox.relays_len; i++) {
		if (!relays[i].listed)
			continue;
		for (k = 0; k < i; k++) {
			if (relays[k].listed &&
			    strcmp(relays[k].domain, relays[i].domain) == 0)
				break;
		}
		if (k == i)
			push_to_domain(l, now, relays[i].domain, items, len,
			    PUSH_TIMEOUT_MS, out);
	}
}

static void
push_to_all(struct wf_leader *l, const struct wf_now *now,
    const struct wf_record *items, size_t len, struct wf_effects *out)
{
	const struct wf_peer *p;

	if (HASH_COUNT(l->table->peers) > DIRECT_PEERS_MAX) {
		push_to_domains(l, now, items, len, out);
		return;
	}
	for (p = l->table->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->name, l->cfg->name) != 0 &&
		    wf_peer_responds(p, now->mono))
			push_records(p->rpc, items, len, out);
	}
}

static agb_time
push_interval(const struct wf_leader *l, agb_time now)
{
	const unsigned peers = HASH_COUNT(l->table->peers);
	const agb_time ms = PUSH_INTERVAL_MS +
	    (agb_time)PUSH_INTERVAL_PER_PEER_MS *
		(peers < DIRECT_PEERS_MAX ? peers : DIRECT_PEERS_MAX);

	return ms *
	    (wf_flow_is_congested(&l->flow, now) ? PUSH_CONGESTED_FACTOR : 1) *
	    AGB_MS;
}

static agb_time
next_push_at(const struct wf_show *s)
{
	return s->states_len > 0 || s->counts.due
	    ? s->push_at
	    : agb_time_max(s->push_at, s->count_at);
}

/* Makes the records of the next push. Return: their number. */
static size_t
take_records(struct wf_leader *l, struct wf_record *records)
{
	struct wf_show *const s = &l->show;
	const size_t len = s->states_len < WF_PUSH_RECORDS_MAX
	    ? s->states_len
	    : WF_PUSH_RECORDS_MAX;
	size_t i;

	for (i = 0; i < len; i++)
		make_state_record(&records[i], &s->states[i]);
	s->states_len -= len;
	if (s->states_len > 0)
		memmove(s->states, s->states + len,
		    s->states_len * sizeof(*s->states));
	return len + wf_counts_take(&s->counts, l->fence, records + len);
}

agb_time
wf_show_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_show *const s = &l->show;
	const bool count = now->mono >= s->count_at;
	struct wf_record *records;
	size_t len;

	if (now->mono < s->push_at ||
	    (s->states_len == 0 && !s->counts.due && !count))
		return next_push_at(s);
	s->push_at = now->mono + push_interval(l, now->mono);
	if (count) {
		s->count_at = now->mono + COUNT_INTERVAL_MS * AGB_MS;
		wf_counts_update(&s->counts, l->table, l->doc, now->mono);
	}
	records = agb_xcalloc(
	    WF_PUSH_RECORDS_MAX + WF_COUNTS_PER_PUSH + 1, sizeof(*records));
	len = take_records(l, records);
	/* Without records, it is still the leader's sign of life. */
	if (len > 0 || count)
		push_to_all(l, now, records, len, out);
	records_free(records, len);
	return next_push_at(s);
}

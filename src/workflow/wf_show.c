#include "wf_show.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_budget.h"
#include "wf_leader.h"

/* States are collected for this long before they are pushed, plus a time for
 * each peer. */
#define PUSH_INTERVAL_MS 40
#define PUSH_INTERVAL_PER_PEER_MS 4
/* Factor of that time while links are congested: starts matter more than how
 * soon callers see a state. */
#define PUSH_CONGESTED_FACTOR 4
/* Longest time between two pushes, which also serve as the leader's
 * heartbeat. */
#define HEARTBEAT_INTERVAL_MS 400
/* How often the pending jobs are counted, and the factor of that time while
 * links are congested: a count may be 2 s old. */
#define COUNT_INTERVAL_MS 400
#define COUNT_CONGESTED_FACTOR 2
/* With more instances than this, pushes go to one instance of each failure
 * domain, which forwards them. */
#define DIRECT_PEERS_MAX 12
#define PUSH_TIMEOUT_MS 500
/* While most messages are late, each repetition of a push waits twice as long,
 * up to this time, so that a late acknowledgement ends the repetitions. */
#define PUSH_TIMEOUT_MAX_MS 4000
/* A push that was not sent is tried again after this time, which doubles with
 * each further failure in the failure domain. Such a push can fail at once:
 * without the delay it would be repeated as fast as the loop runs. */
#define UNSENT_DELAY_MIN_MS 100
#define UNSENT_DELAY_MAX_MS 2000
/* An instance to which a push was not sent is chosen after the others for this
 * long. */
#define UNSENT_AVOID_MS 4000
/* Maximum number of pushes whose outcome is not known. */
#define PUSHES_MAX 64
/* Maximum number of states that are kept for a failure domain, about 400 KB. */
#define BACKLOG_MAX 16384
#define DROP_LOG_INTERVAL_MS 1000
/* Accepted jobs count as having reached their limit of memory from this part
 * below it on: a further job may be too large for what is left. */
#define FULL_DIVISOR 16

/**
 * struct batch - what is pushed in one message
 * @counts: records with counts of pending jobs
 */
struct batch {
	const struct wf_show_state *states;
	size_t states_len;
	const struct wf_record *counts;
	size_t counts_len;
};

void
wf_show_free(struct wf_leader *l)
{
	struct wf_show *const s = &l->show;
	size_t i;

	for (i = 0; i < s->pushes_len; i++)
		free(s->pushes[i].states);
	for (i = 0; i < s->domains_len; i++)
		free(s->domains[i].backlog);
	free(s->pushes);
	free(s->domains);
	wf_counts_free(&s->counts);
	free(s->states);
	memset(s, 0, sizeof(*s));
}

void
wf_show_add_state(struct wf_leader *l, const char *job, enum wf_job_state state)
{
	const struct wf_job *const j = wf_table_job(l->table, job);
	struct wf_show *const s = &l->show;
	struct wf_show_state *entry;

	if (s->states_len == s->states_cap)
		s->states =
		    agb_xgrow(s->states, &s->states_cap, sizeof(*s->states));
	entry = &s->states[s->states_len++];
	agb_str_copy(entry->job, sizeof(entry->job), job);
	entry->route_tag = j != NULL ? j->route_tag : 0;
	entry->state = state;
}

static void
make_state_record(struct wf_record *r, const struct wf_show_state *s)
{
	wf_table_make_key(r->key, 'v', s->job);
	r->val = agb_xcalloc(1, WF_PUSHED_STATE_MAX);
	r->len = wf_table_encode_pushed_state(r->val, s->state, s->route_tag);
}

static struct wf_effect *
add_push(const char *peer, const struct batch *b, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PEER_PUSH);
	struct wf_record *items, *r;
	size_t i;

	items = agb_xcalloc(b->states_len + b->counts_len + 1, sizeof(*items));
	for (i = 0; i < b->states_len; i++)
		make_state_record(&items[i], &b->states[i]);
	for (i = 0; i < b->counts_len; i++) {
		r = &items[b->states_len + i];
		*r = b->counts[i];
		r->val = agb_xmemdup(r->val, r->len);
	}
	agb_str_copy(ef->peer, sizeof(ef->peer), peer);
	ef->u.push.items = items;
	ef->u.push.len = b->states_len + b->counts_len;
	return ef;
}

static bool
peer_responds(const struct wf_leader *l, const char *name, agb_time now)
{
	struct wf_peer *p;

	HASH_FIND_STR(l->table->peers, name, p);
	return p != NULL && wf_peer_responds(p, now);
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

/* Chooses the instance that forwards pushes in a failure domain: the one with
 * the highest relay capacity that responds. When pushes to some were not sent,
 * the others come first, so that all are tried in turn. WF_NO_HANDLE when there
 * is none. */
static uint32_t
choose_forwarder(const struct wf_leader *l, const char *domain, agb_time now)
{
	const struct wf_relay_peer *const relays = l->outbox.relays;
	agb_time unsent_at, best_unsent_at = 0;
	uint32_t i, best = WF_NO_HANDLE;

	for (i = 0; i < l->outbox.relays_len; i++) {
		if (!relays[i].listed || now < relays[i].excluded_until ||
		    strcmp(relays[i].domain, domain) != 0 ||
		    !peer_responds(l, relays[i].name, now))
			continue;
		unsent_at = l->show.unsent_at[i];
		if (now - unsent_at >= UNSENT_AVOID_MS * AGB_MS)
			unsent_at = 0;
		if (best == WF_NO_HANDLE || unsent_at < best_unsent_at ||
		    (unsent_at == best_unsent_at &&
			relays[i].capacity > relays[best].capacity)) {
			best = i;
			best_unsent_at = unsent_at;
		}
	}
	return best;
}

/* Return: index of the failure domain. */
static uint32_t
get_domain(struct wf_show *s, const char *name)
{
	struct wf_show_domain *d;
	size_t i;

	for (i = 0; i < s->domains_len; i++) {
		if (strcmp(s->domains[i].domain, name) == 0)
			return (uint32_t)i;
	}
	s->domains = agb_xreallocarray(
	    s->domains, s->domains_len + 1, sizeof(*s->domains));
	d = &s->domains[s->domains_len++];
	memset(d, 0, sizeof(*d));
	agb_str_copy(d->domain, sizeof(d->domain), name);
	d->timeout_ms = PUSH_TIMEOUT_MS;
	return (uint32_t)i;
}

/* Notes that states are given up. A line is written at most once a second. */
static void
note_dropped(struct wf_show *s, const struct wf_now *now, const char *domain,
    size_t states, const char *why, struct wf_effects *out)
{
	s->dropped += states;
	if (now->mono < s->drop_log_at)
		return;
	wf_effects_log(out, AGB_LOG_ERROR, "push",
	    "domain=%s change=dropped states=%zu reason=\"%s\"", domain,
	    s->dropped, why);
	s->drop_log_at = now->mono + DROP_LOG_INTERVAL_MS * AGB_MS;
	s->dropped = 0;
}

static void
remove_backlog(struct wf_show_domain *d, size_t len)
{
	d->backlog_len -= len;
	memmove(
	    d->backlog, d->backlog + len, d->backlog_len * sizeof(*d->backlog));
}

/* Keeps states to be sent again at a time, or with those that are kept
 * already. */
static void
add_backlog(struct wf_show *s, const struct wf_now *now,
    struct wf_show_domain *d, const struct wf_show_state *states, size_t len,
    agb_time retry_at, struct wf_effects *out)
{
	size_t i;

	if (len == 0)
		return;
	if (d->backlog_len == 0 && d->unsent == 0)
		d->retry_at = agb_time_max(d->retry_at, retry_at);
	for (i = 0; i < len; i++) {
		if (d->backlog_len == d->backlog_cap)
			d->backlog = agb_xgrow(
			    d->backlog, &d->backlog_cap, sizeof(*d->backlog));
		d->backlog[d->backlog_len++] = states[i];
	}
	if (d->backlog_len <= BACKLOG_MAX)
		return;
	note_dropped(s, now, d->domain, WF_PUSH_RECORDS_MAX,
	    "too many states wait for the failure domain", out);
	remove_backlog(d, WF_PUSH_RECORDS_MAX);
}

/* Pushes to an instance of a failure domain.
 * Return: false when there is no such instance, or too many pushes are in
 * flight. */
static bool
send_push(struct wf_leader *l, const struct wf_now *now, uint32_t domain,
    const struct batch *b, struct wf_effects *out)
{
	struct wf_show *const s = &l->show;
	struct wf_show_domain *const d = &s->domains[domain];
	const uint32_t relay = choose_forwarder(l, d->domain, now->mono);
	const bool heartbeat =
	    b->states_len + b->counts_len == 0 && d->unsent == 0;
	struct wf_show_push *p;
	struct wf_effect *ef;

	if (relay == WF_NO_HANDLE ||
	    (!heartbeat && s->pushes_len == PUSHES_MAX))
		return false;
	ef = add_push(l->outbox.relays[relay].addr, b, out);
	ef->u.push.forward = true;
	if (heartbeat)
		return true;
	ef->tag = WF_SHOW_TAG | ++s->next_tag;
	ef->timeout_ms = d->timeout_ms;
	s->pushes =
	    agb_xreallocarray(s->pushes, s->pushes_len + 1, sizeof(*s->pushes));
	p = &s->pushes[s->pushes_len++];
	p->tag = ef->tag;
	p->relay = relay;
	p->domain = domain;
	p->timeout_ms = d->timeout_ms;
	p->sent_at = now->mono;
	p->states = agb_xcalloc(b->states_len + 1, sizeof(*p->states));
	p->states_len = b->states_len;
	if (b->states_len > 0)
		memcpy(
		    p->states, b->states, b->states_len * sizeof(*p->states));
	d->in_flight++;
	return true;
}

static void
push_to_domain(struct wf_leader *l, const struct wf_now *now,
    const char *domain, const struct batch *b, struct wf_effects *out)
{
	struct wf_show *const s = &l->show;
	const uint32_t i = get_domain(s, domain);

	if (s->domains[i].unsent == 0 && send_push(l, now, i, b, out))
		return;
	add_backlog(s, now, &s->domains[i], b->states, b->states_len,
	    now->mono + UNSENT_DELAY_MIN_MS * AGB_MS, out);
}

static bool
domain_listed(const struct wf_leader *l, const char *domain)
{
	const struct wf_relay_peer *const relays = l->outbox.relays;
	uint32_t i;

	for (i = 0; i < l->outbox.relays_len; i++) {
		if (relays[i].listed && strcmp(relays[i].domain, domain) == 0)
			return true;
	}
	return false;
}

/* After a push that was not sent, another one is sent even without states: the
 * domain gets nothing else until one is acknowledged. */
static bool
must_retry(const struct wf_show_domain *d)
{
	return d->unsent > 0 ? d->in_flight == 0 : d->backlog_len > 0;
}

/* Sends the states that are kept for a failure domain, one message at a time. */
static void
retry_domain(struct wf_leader *l, const struct wf_now *now, uint32_t domain,
    struct wf_effects *out)
{
	struct wf_show_domain *const d = &l->show.domains[domain];
	const struct batch b = {.states = d->backlog,
	    .states_len = d->backlog_len < WF_PUSH_RECORDS_MAX
		? d->backlog_len
		: WF_PUSH_RECORDS_MAX};

	if (!must_retry(d) || now->mono < d->retry_at)
		return;
	if (!domain_listed(l, d->domain)) {
		d->backlog_len = 0;
		d->unsent = 0;
	} else if (send_push(l, now, domain, &b, out)) {
		remove_backlog(d, b.states_len);
		d->retry_at = now->mono + push_interval(l, now->mono);
	} else {
		d->retry_at = now->mono + UNSENT_DELAY_MIN_MS * AGB_MS;
	}
}

/* Return: time of the next call. */
static agb_time
retry_domains(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	agb_time next = AGB_TIME_MAX;
	uint32_t i;

	for (i = 0; i < l->show.domains_len; i++) {
		retry_domain(l, now, i, out);
		if (must_retry(&l->show.domains[i]))
			next = agb_time_min(next, l->show.domains[i].retry_at);
	}
	return next;
}

static void
push_acked(struct wf_show *s, const struct wf_show_push *p)
{
	struct wf_show_domain *const d = &s->domains[p->domain];

	s->unsent_at[p->relay] = 0;
	d->timeout_ms = PUSH_TIMEOUT_MS;
	if (p->sent_at > d->unsent_at)
		d->unsent = 0;
}

/* The states are sent again to another instance of the domain, or with more
 * time. While most messages are late, a late acknowledgement tells nothing about
 * the instance. */
static void
push_lost(struct wf_leader *l, const struct wf_now *now,
    const struct wf_show_push *p, struct wf_effects *out)
{
	struct wf_show_domain *const d = &l->show.domains[p->domain];

	if (!wf_flow_is_congested(&l->flow, now->mono)) {
		d->timeout_ms = PUSH_TIMEOUT_MS;
		if (p->relay < l->outbox.relays_len)
			wf_outbox_relay_lost(l, now, p->relay,
			    "did not acknowledge pushed states", out);
	} else if (p->timeout_ms >= d->timeout_ms) {
		d->timeout_ms = p->timeout_ms * 2 < PUSH_TIMEOUT_MAX_MS
		    ? p->timeout_ms * 2
		    : PUSH_TIMEOUT_MAX_MS;
	}
	add_backlog(&l->show, now, d, p->states, p->states_len,
	    p->sent_at + PUSH_TIMEOUT_MS * AGB_MS, out);
}

/* Pushes that were under way when one failed do not count as further
 * failures. */
static void
push_unsent(struct wf_leader *l, const struct wf_now *now,
    const struct wf_show_push *p, struct wf_effects *out)
{
	struct wf_show *const s = &l->show;
	struct wf_show_domain *const d = &s->domains[p->domain];
	agb_time delay_ms = UNSENT_DELAY_MIN_MS;
	uint32_t i;

	s->unsent_at[p->relay] = now->mono;
	if (d->unsent == 0 || p->sent_at > d->unsent_at) {
		for (i = 0; i < d->unsent && delay_ms < UNSENT_DELAY_MAX_MS;
		     i++)
			delay_ms *= 2;
		delay_ms = agb_time_min(delay_ms, UNSENT_DELAY_MAX_MS);
		d->unsent++;
		d->unsent_at = now->mono;
		d->retry_at = now->mono + delay_ms * AGB_MS;
	}
	add_backlog(s, now, d, p->states, p->states_len, d->retry_at, out);
}

void
wf_show_push_done(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    enum wf_push_outcome outcome, struct wf_effects *out)
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
	s->domains[p.domain].in_flight--;
	switch (outcome) {
	case WF_PUSH_ACKED:
		push_acked(s, &p);
		break;
	case WF_PUSH_LOST:
		push_lost(l, now, &p, out);
		break;
	case WF_PUSH_UNSENT:
		push_unsent(l, now, &p, out);
		break;
	case WF_PUSH_UNENCODABLE:
		note_dropped(s, now, s->domains[p.domain].domain, p.states_len,
		    "no message can hold them", out);
		break;
	}
	free(p.states);
	retry_domain(l, now, p.domain, out);
}

/* Pushes once to each failure domain that has another instance. */
static void
push_to_domains(struct wf_leader *l, const struct wf_now *now,
    const struct batch *b, struct wf_effects *out)
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
			push_to_domain(l, now, relays[i].domain, b, out);
	}
}

static void
push_to_all(struct wf_leader *l, const struct wf_now *now,
    const struct batch *b, struct wf_effects *out)
{
	const struct wf_peer *p;

	if (HASH_COUNT(l->table->peers) > DIRECT_PEERS_MAX) {
		push_to_domains(l, now, b, out);
		return;
	}
	for (p = l->table->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->name, l->cfg->name) != 0 &&
		    wf_peer_responds(p, now->mono))
			add_push(p->rpc, b, out);
	}
}

static agb_time
count_interval(const struct wf_leader *l, agb_time now)
{
	const agb_time factor =
	    wf_flow_is_congested(&l->flow, now) ? COUNT_CONGESTED_FACTOR : 1;

	return factor * COUNT_INTERVAL_MS * AGB_MS;
}

static agb_time
next_push_at(const struct wf_show *s)
{
	return s->states_len > 0 || s->counts.due
	    ? s->push_at
	    : agb_time_max(s->push_at, s->heartbeat_at);
}

/* Counts the memory that the accepted jobs take. */
static void
update_job_bytes(struct wf_leader *l, struct wf_effects *out)
{
	const uint64_t limit = wf_budget_limit(l->table, l->cfg->memory_mb);
	struct wf_show *const s = &l->show;
	bool tell, full;

	s->job_bytes = wf_budget_used(l->table);
	s->job_bytes_updates++;
	tell = wf_budget_must_tell(s->job_bytes, limit);
	s->job_bytes_due = tell || s->job_bytes_told;
	s->job_bytes_told = tell;
	full = s->job_bytes >= limit - limit / FULL_DIVISOR;
	if (full == s->job_bytes_full)
		return;
	s->job_bytes_full = full;
	wf_effects_log(out, full ? AGB_LOG_WARN : AGB_LOG_INFO, "memory",
	    "change=%s job_kb=%" PRIu64 " limit_kb=%" PRIu64,
	    full ? "full" : "free", s->job_bytes / 1024, limit / 1024);
}

/* Return: number of records made, which the caller frees. */
static size_t
take_job_bytes(struct wf_show *s, struct wf_record *r)
{
	if (!s->job_bytes_due)
		return 0;
	s->job_bytes_due = false;
	agb_str_copy(r->key, sizeof(r->key), WF_KEY_JOB_BYTES);
	r->val = agb_xmemdup(&s->job_bytes, sizeof(s->job_bytes));
	r->len = sizeof(s->job_bytes);
	return 1;
}

/* Pushes the next states and counts. */
static void
push_next(struct wf_leader *l, const struct wf_now *now, bool heartbeat,
    struct wf_effects *out)
{
	struct wf_record counts[WF_COUNTS_PER_PUSH + 2] = {0};
	struct wf_show *const s = &l->show;
	struct batch b = {.states = s->states,
	    .states_len = s->states_len < WF_PUSH_RECORDS_MAX
		? s->states_len
		: WF_PUSH_RECORDS_MAX,
	    .counts = counts,
	    .counts_len = wf_counts_take(&s->counts, l->fence, counts)};
	size_t i;

	b.counts_len += take_job_bytes(s, &counts[b.counts_len]);
	if (b.states_len + b.counts_len > 0 || heartbeat)
		push_to_all(l, now, &b, out);
	for (i = 0; i < b.counts_len; i++)
		free(counts[i].val);
	s->states_len -= b.states_len;
	if (s->states_len > 0)
		memmove(s->states, s->states + b.states_len,
		    s->states_len * sizeof(*s->states));
}

agb_time
wf_show_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_show *const s = &l->show;
	const bool heartbeat = now->mono >= s->heartbeat_at;
	const agb_time retry_at = retry_domains(l, now, out);

	if (now->mono < s->push_at ||
	    (s->states_len == 0 && !s->counts.due && !heartbeat))
		return agb_time_min(retry_at, next_push_at(s));
	s->push_at = now->mono + push_interval(l, now->mono);
	if (heartbeat)
		s->heartbeat_at = now->mono + HEARTBEAT_INTERVAL_MS * AGB_MS;
	if (now->mono >= s->count_at) {
		s->count_at = now->mono + count_interval(l, now->mono);
		wf_counts_update(&s->counts, l->table, l->doc, now->mono);
		update_job_bytes(l, out);
	}
	push_next(l, now, heartbeat, out);
	return agb_time_min(retry_domains(l, now, out), next_push_at(s));
}

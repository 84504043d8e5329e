#include "wf_leader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"

/* An order has to arrive before the lease ends. */
#define ORDER_MARGIN_MS 100
/* States for other instances are collected for this long. */
#define SHOW_GAP_MS 40
#define SHOW_GAP_PEER_MS 3
/* Counts of the queues, which also tell that the leader is there. */
#define COUNT_MS 400

bool
wf_leader_may_order(const struct wf_leader *l, agb_time now)
{
	return now + ORDER_MARGIN_MS * AGB_MS < l->valid_until;
}

struct wf_leader *
wf_leader_new(uint64_t fence, const char *self, uint32_t status_s,
    struct wf_table *table, const struct wf_doc *doc, const struct wf_now *now,
    struct wf_effects *out)
{
	struct wf_leader *const l = agb_xcalloc(1, sizeof(*l));
	struct wf_job *j, *j2;
	size_t n;

	l->fence = fence;
	agb_name_set(l->self, sizeof(l->self), self);
	l->status_s = status_s;
	l->table = table;
	l->doc = doc;
	l->elected_at = now->mono;
	l->next_collect = now->mono + AGB_SEC;
	l->changed = true;
	wf_advice_peers(l);
	n = 0;
	for (j = table->jobs; j != NULL; j = j2) {
		j2 = j->hh.next;
		if (j->spec_rev == 0 || wf_job_final(j->state))
			continue;
		wf_exec_new(l, now, j, out);
		n++;
	}
	wf_effects_log(out, AGB_LOG_INFO, "lead",
	    "change=elected fence=%" PRIu64 " jobs=%zu known=%u", fence, n,
	    HASH_COUNT(table->jobs));
	return l;
}

void
wf_leader_free(struct wf_leader *l)
{
	uint32_t i;

	if (l == NULL)
		return;
	wf_commit_free(l);
	while (l->execs != NULL)
		wf_exec_free(l, l->execs);
	wf_advice_free(l);
	for (i = 0; i < l->runners_len; i++)
		free(l->runners[i].strays);
	free(l->runners);
	free(l->shows);
	free(l);
}

void
wf_leader_job(struct wf_leader *l, const struct wf_now *now, struct wf_job *j,
    struct wf_effects *out)
{
	if (j->spec_rev == 0)
		return;
	if (j->exec != NULL)
		wf_exec_advance(l, now, j->exec, out);
	else if (!wf_job_final(j->state)) {
		wf_exec_new(l, now, j, out);
		wf_exec_show(l, j->exec);
	}
}

void
wf_leader_doc(struct wf_leader *l, const struct wf_doc *doc)
{
	l->doc = doc;
	l->changed = true;
}

void
wf_leader_show(struct wf_leader *l, const char *job, enum wf_job_state state)
{
	struct wf_show *s;

	if (l->shows_len == l->shows_cap)
		l->shows =
		    agb_xgrow(l->shows, &l->shows_cap, sizeof(*l->shows));
	s = &l->shows[l->shows_len++];
	agb_name_set(s->job, sizeof(s->job), job);
	s->state = state;
}

static void
record_state(struct wf_record *r, const struct wf_show *s)
{
	wf_table_key(r->key, 'v', s->job);
	r->val = agb_xcalloc(1, 1);
	r->val[0] = (char)s->state;
	r->len = 1;
}

static void
record_count(
    const struct wf_leader *l, struct wf_record *r, const struct wf_queue *q)
{
	const uint32_t n = wf_table_pending(l->table, q->name);

	wf_table_key(r->key, 'q', q->name);
	r->val = agb_xmemdup(&n, sizeof(n));
	r->len = sizeof(n);
}

static void
show_to(const struct wf_peer *p, const struct wf_record *list, size_t len,
    struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PEER_PUSH);
	size_t i;

	agb_name_set(ef->peer, sizeof(ef->peer), p->rpc);
	ef->u.push.items = agb_xcalloc(len + 1, sizeof(*ef->u.push.items));
	ef->u.push.len = len;
	for (i = 0; i < len; i++) {
		ef->u.push.items[i] = list[i];
		ef->u.push.items[i].val = agb_xmemdup(list[i].val, list[i].len);
	}
}

/* Instances learn states from here, and those that the store does not answer
 * only from here. */
static agb_time
show_states(struct wf_leader *l, agb_time now, struct wf_effects *out)
{
	const unsigned peers = HASH_COUNT(l->table->peers);
	struct wf_record *list;
	const struct wf_peer *p;
	size_t len, n, i;

	if (now < l->show_at || (l->shows_len == 0 && now < l->count_at))
		return l->shows_len > 0 ? l->show_at : l->count_at;
	l->show_at = now + (SHOW_GAP_MS + SHOW_GAP_PEER_MS * peers) * AGB_MS;
	len = l->shows_len < WF_PUSH_MAX ? l->shows_len : WF_PUSH_MAX;
	n = 0;
	list = agb_xcalloc(
	    len + (l->doc != NULL ? l->doc->queues_len : 0) + 1, sizeof(*list));
	for (i = 0; i < len; i++)
		record_state(&list[n++], &l->shows[i]);
	if (now >= l->count_at) {
		l->count_at = now + COUNT_MS * AGB_MS;
		for (i = 0; l->doc != NULL && i < l->doc->queues_len; i++)
			record_count(l, &list[n++], &l->doc->queues[i]);
	}
	for (p = l->table->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->name, l->self) != 0 && wf_peer_ok(p, now))
			show_to(p, list, n, out);
	}
	for (i = 0; i < n; i++)
		free(list[i].val);
	free(list);
	l->shows_len -= len;
	if (l->shows_len > 0)
		memmove(
		    l->shows, l->shows + len, l->shows_len * sizeof(*l->shows));
	return l->shows_len > 0 ? l->show_at : l->count_at;
}

/* Starts whose intents became durable while the lease was in doubt. */
static void
late_starts(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_exec *e;

	if (!l->starts_held || !wf_leader_may_order(l, now->mono))
		return;
	l->starts_held = false;
	for (e = l->execs; e != NULL; e = e->next) {
		if (!e->in_flight)
			wf_commit_starts(l, now, e, out);
	}
}

static agb_time
due_occurrences(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_exec *e, *e2;
	agb_time next;

	next = wf_exec_next(l, now);
	if (now->mono < l->due_at) {
		l->due_at = agb_time_min(next, l->due_at);
		return l->due_at;
	}
	for (e = l->execs; e != NULL; e = e2) {
		e2 = e->next;
		if (e->job->spec.first_ms > 0)
			wf_exec_advance(l, now, e, out);
	}
	l->due_at = next;
	return next;
}

agb_time
wf_leader_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	agb_time next;

	l->hold_until = l->valid_until + WF_HOLD_GRACE_MS * AGB_MS;
	next = due_occurrences(l, now, out);
	next = agb_time_min(next, wf_fleet_tick(l, now, out));
	next = agb_time_min(next, wf_dispatch(l, now, out));
	late_starts(l, now, out);
	next = agb_time_min(next, show_states(l, now->mono, out));
	return agb_time_min(next, wf_commit_flush(l, now, out));
}

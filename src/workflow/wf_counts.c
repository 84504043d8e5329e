#include "wf_counts.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_table.h"

/* How often counts that are not 0 are pushed again. */
#define ROUND_INTERVAL_MS 1600

/* ---- at the leader ---- */

void
wf_counts_free(struct wf_counts *c)
{
	struct wf_count *q, *next;

	/* The entries stay linked after the hash table is cleared. */
	q = c->queues;
	HASH_CLEAR(hh, c->queues);
	for (; q != NULL; q = next) {
		next = q->hh.next;
		free(q);
	}
	memset(c, 0, sizeof(*c));
}

/* Takes over the entry of a queue, if there is one. */
static void
move_queue(struct wf_count **from, struct wf_count **to, const char *name)
{
	struct wf_count *q;

	HASH_FIND_STR(*to, name, q);
	if (q != NULL)
		return;
	HASH_FIND_STR(*from, name, q);
	if (q != NULL) {
		HASH_DEL(*from, q);
	} else {
		q = agb_xcalloc(1, sizeof(*q));
		agb_str_copy(q->queue, sizeof(q->queue), name);
	}
	HASH_ADD_STR(*to, queue, q);
}

/* Replaces the queues by those of a document. A round that is under way starts
 * anew, as it can no longer tell which queues it has looked at. */
static void
set_doc(struct wf_counts *c, const struct wf_doc *doc)
{
	struct wf_counts old = {.queues = c->queues};
	size_t i;

	c->queues = NULL;
	for (i = 0; doc != NULL && i < doc->queues_len; i++)
		move_queue(&old.queues, &c->queues, doc->queues[i].name);
	wf_counts_free(&old);
	c->next = NULL;
	c->doc_known = doc != NULL;
	c->doc_version = doc != NULL ? doc->version : 0;
	if (c->total == 0)
		c->round_at = 0;
}

static void
begin_round(struct wf_counts *c, agb_time now)
{
	c->round++;
	c->left = HASH_COUNT(c->queues);
	c->pushes = 0;
	c->total = 0;
	c->round_at = now + ROUND_INTERVAL_MS * AGB_MS;
}

void
wf_counts_update(struct wf_counts *c, const struct wf_table *t,
    const struct wf_doc *doc, agb_time now)
{
	const struct wf_job *j;
	struct wf_count *q;

	if (c->doc_known != (doc != NULL) ||
	    (doc != NULL && c->doc_version != doc->version))
		set_doc(c, doc);
	for (q = c->queues; q != NULL; q = q->hh.next)
		q->pending = 0;
	for (j = t->jobs; j != NULL; j = j->hh.next) {
		if (!wf_job_pending(j))
			continue;
		HASH_FIND_STR(c->queues, j->spec.queue, q);
		if (q != NULL)
			q->pending++;
	}
	c->due = true;
	if (now >= c->round_at && (c->total > 0 || c->round_at == 0))
		begin_round(c, now);
}

static bool
must_push(const struct wf_counts *c, const struct wf_count *q)
{
	return q->pending != q->pushed ||
	    (q->pending > 0 && q->round < c->round);
}

static void
make_count(struct wf_counts *c, struct wf_count *q, struct wf_record *r)
{
	q->pushed = q->pending;
	q->round = c->round;
	wf_table_make_key(r->key, 'q', q->queue);
	r->val = agb_xmemdup(&q->pending, sizeof(q->pending));
	r->len = sizeof(q->pending);
}

static void
make_round(struct wf_counts *c, uint64_t fence, struct wf_record *r)
{
	struct wf_x_round x = {
	    .fence = fence,
	    .round = c->round,
	    .index = c->pushes++,
	    .total = c->total,
	};

	agb_str_copy(r->key, sizeof(r->key), WF_KEY_COUNTS_ROUND);
	r->val = wf_table_encode((xdrproc_t)xdr_wf_x_round, &x, &r->len);
}

size_t
wf_counts_take(struct wf_counts *c, uint64_t fence, struct wf_record *items)
{
	const size_t queues = HASH_COUNT(c->queues);
	size_t looked, n = 1;

	if (!c->due)
		return 0;
	for (looked = 0; looked < queues && n <= WF_COUNTS_PER_PUSH; looked++) {
		if (c->next == NULL)
			c->next = c->queues;
		if (must_push(c, c->next))
			make_count(c, c->next, &items[n++]);
		c->next = c->next->hh.next;
	}
	c->due = looked < queues;
	c->left -= looked < c->left ? looked : c->left;
	if (c->total == 0 && c->left == 0)
		c->total = c->pushes + 1;
	else if (n == 1)
		return 0;
	make_round(c, fence, &items[0]);
	return n;
}

/* ---- at another instance ---- */

void
wf_known_counts_free(struct wf_known_counts *k)
{
	struct wf_known_count *q, *next;

	q = k->queues;
	HASH_CLEAR(hh, k->queues);
	for (; q != NULL; q = next) {
		next = q->hh.next;
		free(q);
	}
	memset(k, 0, sizeof(*k));
}

void
wf_known_counts_begin_push(struct wf_known_counts *k)
{
	k->push_round = 0;
	k->push_index = 0;
	k->push_outdated = false;
}

/* The counts of the last leader remain until the first round of the new one is
 * complete. */
static void
set_leader(struct wf_known_counts *k, uint64_t fence)
{
	struct wf_known_count *q;

	for (q = k->queues; q != NULL; q = q->hh.next)
		q->round = 0;
	k->fence = fence;
	k->round = 0;
	k->complete = 0;
}

/* Drops the counts that are of an earlier round. */
static void
complete_round(struct wf_known_counts *k)
{
	struct wf_known_count *q, *next;

	/* NOLINTBEGIN(clang-analyzer-unix.Malloc): the analyzer does not see
	 * that uthash unlinks an entry before it is freed. */
	for (q = k->queues; q != NULL; q = next) {
		next = q->hh.next;
		if (q->round >= k->round)
			continue;
		HASH_DEL(k->queues, q);
		free(q);
	}
	/* NOLINTEND(clang-analyzer-unix.Malloc) */
	k->complete = k->round;
	k->completed++;
}

static void
set_round(struct wf_known_counts *k, const struct wf_x_round *x)
{
	if (x->fence > k->fence)
		set_leader(k, x->fence);
	k->push_outdated = x->fence < k->fence || x->round < k->complete;
	k->push_round = x->round;
	k->push_index = x->index;
	if (k->push_outdated || x->round < k->round)
		return;
	if (x->round > k->round) {
		k->round = x->round;
		k->received = 0;
	}
	if (x->index == k->received)
		k->received++;
	if (x->total > 0 && k->received >= x->total && k->complete < k->round)
		complete_round(k);
}

bool
wf_known_counts_set_round(
    struct wf_known_counts *k, const char *raw, size_t len)
{
	struct wf_x_round x;
	bool ok;
	XDR xdr;

	xdrmem_create(&xdr, (char *)(uintptr_t)raw, (u_int)len, XDR_DECODE);
	ok = xdr_wf_x_round(&xdr, &x);
	xdr_destroy(&xdr);
	if (ok)
		set_round(k, &x);
	return ok;
}

/* Whether a count came with a later push than the one that is being applied.
 * Pushes that go through different instances may overtake each other. */
static bool
is_newer(const struct wf_known_counts *k, const struct wf_known_count *q)
{
	return k->push_round > 0 &&
	    (q->round > k->push_round ||
		(q->round == k->push_round && q->index > k->push_index));
}

bool
wf_known_counts_set(
    struct wf_known_counts *k, const char *queue, const char *raw, size_t len)
{
	struct wf_known_count *q;

	if (len != sizeof(q->pending) || strlen(queue) >= sizeof(q->queue))
		return false;
	if (k->push_outdated)
		return true;
	HASH_FIND_STR(k->queues, queue, q);
	if (q == NULL) {
		q = agb_xcalloc(1, sizeof(*q));
		agb_str_copy(q->queue, sizeof(q->queue), queue);
		HASH_ADD_STR(k->queues, queue, q);
	} else if (is_newer(k, q)) {
		return true;
	}
	memcpy(&q->pending, raw, sizeof(q->pending));
	q->round = k->push_round > 0 ? k->push_round : k->round;
	q->index = k->push_index;
	/* A leader of an earlier version pushes all counts together. */
	if (k->push_round == 0)
		k->completed++;
	return true;
}

uint32_t
wf_known_counts_get(const struct wf_known_counts *k, const char *queue)
{
	struct wf_known_count *q;

	HASH_FIND_STR(k->queues, queue, q);
	return q != NULL ? q->pending : 0;
}

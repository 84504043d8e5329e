#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "route_internal.h"

/* Delay before unacknowledged releases are resent. */
#define RELEASE_RETRY (200 * AGB_MS)
#define RELEASE_TIMEOUT_MS 2000
/* Maximum length of a queue. When it is full, the oldest release is dropped, or
 * the new one while a batch is in flight. The owner then learns from the worker
 * that the slot is free. */
#define RELEASE_QUEUE_MAX 16384

static struct route_release_queue *
queue_get(struct agb_route *r, const char *domain)
{
	struct route_release_queue *b;

	HASH_FIND_STR(r->release_queues, domain, b);
	if (b == NULL) {
		b = agb_xcalloc(1, sizeof(*b));
		agb_str_copy(b->domain, sizeof(b->domain), domain);
		HASH_ADD_STR(r->release_queues, domain, b);
	}
	return b;
}

static void
queue_drop_front(struct route_release_queue *b, size_t n)
{
	b->len -= n;
	memmove(b->items, b->items + n, b->len * sizeof(*b->items));
}

static void
send_batch(struct agb_route *r, agb_time now, struct route_release_queue *b,
    const struct agb_route_input *in, struct agb_effects *out)
{
	const char *const owner = route_owner_address(r, now, in, b->domain);
	struct agb_effect *ef;
	agb_x_release_args *a;

	if (owner[0] == '\0') {
		b->retry_at = now + RELEASE_RETRY;
		return;
	}
	b->in_flight =
	    b->len < AGB_X_RELEASES_MAX ? b->len : AGB_X_RELEASES_MAX;
	b->tag = route_tag(r);
	b->retry_at = AGB_TIME_MAX;
	ef = agb_effects_add(out, AGB_EF_RPC_CALL);
	ef->tag = b->tag;
	ef->timeout_ms = RELEASE_TIMEOUT_MS;
	agb_str_copy(ef->peer, sizeof(ef->peer), owner);
	ef->u.rpc_args.proc = AGB_X_RELEASE;
	a = &ef->u.rpc_args.agb_x_args_u.release;
	a->items.items_val = agb_xcalloc(b->in_flight, sizeof(*b->items));
	memcpy(a->items.items_val, b->items, b->in_flight * sizeof(*b->items));
	a->items.items_len = (u_int)b->in_flight;
}

void
route_release_add(struct agb_route *r, agb_time now, const char *domain,
    struct agb_attempt attempt, enum agb_result result,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_release_queue *const b = queue_get(r, domain);
	agb_x_release *x;

	if (b->len == RELEASE_QUEUE_MAX && b->in_flight == 0)
		queue_drop_front(b, 1);
	if (b->len == RELEASE_QUEUE_MAX)
		return;
	if (b->len == b->cap)
		b->items = agb_xgrow(b->items, &b->cap, sizeof(*x));
	x = &b->items[b->len++];
	x->attempt.epoch = attempt.epoch;
	x->attempt.seq = attempt.seq;
	x->result = (int)result;
	if (b->in_flight == 0 && b->retry_at <= now)
		send_batch(r, now, b, in, out);
}

void
route_release_flush(struct agb_route *r, agb_time now,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_release_queue *b;

	for (b = r->release_queues; b != NULL; b = b->hh.next) {
		if (b->len > 0 && b->in_flight == 0 && now >= b->retry_at)
			send_batch(r, now, b, in, out);
	}
}

bool
route_release_reply(struct agb_route *r, agb_time now, uint64_t tag, bool ok,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_release_queue *b;

	for (b = r->release_queues; b != NULL; b = b->hh.next) {
		if (b->in_flight == 0 || b->tag != tag)
			continue;
		if (ok)
			queue_drop_front(b, b->in_flight);
		b->in_flight = 0;
		b->retry_at = ok ? 0 : now + RELEASE_RETRY;
		if (ok && b->len > 0)
			send_batch(r, now, b, in, out);
		return true;
	}
	return false;
}

size_t
route_release_pending(const struct agb_route *r)
{
	const struct route_release_queue *b;
	size_t n;

	n = 0;
	for (b = r->release_queues; b != NULL; b = b->hh.next) {
		n += b->len;
	}
	return n;
}

agb_time
route_release_next(const struct agb_route *r)
{
	const struct route_release_queue *b;
	agb_time t;

	t = AGB_TIME_MAX;
	for (b = r->release_queues; b != NULL; b = b->hh.next) {
		if (b->len > 0 && b->in_flight == 0 && b->retry_at < t)
			t = b->retry_at;
	}
	return t;
}

void
route_release_free(struct agb_route *r)
{
	struct route_release_queue *b, *next;

	b = r->release_queues;
	HASH_CLEAR(hh, r->release_queues);
	for (; b != NULL; b = next) {
		next = b->hh.next;
		free(b->items);
		free(b);
	}
}

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "route_internal.h"

/* Pause before releases that were not taken are sent again. */
#define RELEASE_RETRY (200 * AGB_MS)
#define RELEASE_TIMEOUT_MS 2000
/* Releases kept for one owner. Beyond it the oldest are dropped; the owner
 * then learns from the worker that the slot is free. */
#define OUTBOX_MAX 16384

static struct route_outbox *
box_get(struct agb_route *r, const char *domain)
{
	struct route_outbox *b;

	HASH_FIND_STR(r->boxes, domain, b);
	if (b == NULL) {
		b = agb_xcalloc(1, sizeof(*b));
		agb_str_copy(b->domain, sizeof(b->domain), domain);
		HASH_ADD_STR(r->boxes, domain, b);
	}
	return b;
}

static void
drop_front(struct route_outbox *b, size_t n)
{
	b->len -= n;
	memmove(b->items, b->items + n, b->len * sizeof(*b->items));
}

static void
send_box(struct agb_route *r, agb_time now, struct route_outbox *b,
    const struct agb_route_input *in, struct agb_effects *out)
{
	const char *const owner = route_choose_owner(r, now, in, b->domain);
	struct agb_effect *ef;
	agb_x_release_args *a;

	if (owner[0] == '\0') {
		b->retry_at = now + RELEASE_RETRY;
		return;
	}
	b->sending = b->len < AGB_X_RELEASES_MAX ? b->len : AGB_X_RELEASES_MAX;
	b->tag = route_tag(r);
	b->retry_at = AGB_TIME_MAX;
	ef = agb_effects_add(out, AGB_EF_RPC_CALL);
	ef->tag = b->tag;
	ef->timeout_ms = RELEASE_TIMEOUT_MS;
	agb_str_copy(ef->peer, sizeof(ef->peer), owner);
	ef->u.rpc_args.proc = AGB_X_RELEASE;
	a = &ef->u.rpc_args.agb_x_args_u.release;
	a->items.items_val = agb_xcalloc(b->sending, sizeof(*b->items));
	memcpy(a->items.items_val, b->items, b->sending * sizeof(*b->items));
	a->items.items_len = (u_int)b->sending;
}

void
route_release(struct agb_route *r, agb_time now, const char *domain,
    struct agb_attempt attempt, enum agb_result result,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_outbox *const b = box_get(r, domain);
	agb_x_release *x;

	if (b->len == OUTBOX_MAX && b->sending == 0)
		drop_front(b, 1);
	if (b->len == OUTBOX_MAX)
		return;
	if (b->len == b->cap)
		b->items = agb_xgrow(b->items, &b->cap, sizeof(*x));
	x = &b->items[b->len++];
	x->attempt.epoch = attempt.epoch;
	x->attempt.seq = attempt.seq;
	x->result = (int)result;
	if (b->sending == 0 && b->retry_at <= now)
		send_box(r, now, b, in, out);
}

void
route_release_flush(struct agb_route *r, agb_time now,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_outbox *b;

	for (b = r->boxes; b != NULL; b = b->hh.next) {
		if (b->len > 0 && b->sending == 0 && now >= b->retry_at)
			send_box(r, now, b, in, out);
	}
}

bool
route_release_reply(struct agb_route *r, agb_time now, uint64_t tag, bool ok,
    const struct agb_route_input *in, struct agb_effects *out)
{
	struct route_outbox *b;

	for (b = r->boxes; b != NULL; b = b->hh.next) {
		if (b->sending == 0 || b->tag != tag)
			continue;
		if (ok)
			drop_front(b, b->sending);
		b->sending = 0;
		b->retry_at = ok ? 0 : now + RELEASE_RETRY;
		if (ok && b->len > 0)
			send_box(r, now, b, in, out);
		return true;
	}
	return false;
}

size_t
route_release_pending(const struct agb_route *r)
{
	const struct route_outbox *b;
	size_t n;

	n = 0;
	for (b = r->boxes; b != NULL; b = b->hh.next) {
		n += b->len;
	}
	return n;
}

agb_time
route_release_next(const struct agb_route *r)
{
	const struct route_outbox *b;
	agb_time t;

	t = AGB_TIME_MAX;
	for (b = r->boxes; b != NULL; b = b->hh.next) {
		if (b->len > 0 && b->sending == 0 && b->retry_at < t)
			t = b->retry_at;
	}
	return t;
}

void
route_release_free(struct agb_route *r)
{
	struct route_outbox *b, *next;

	b = r->boxes;
	HASH_CLEAR(hh, r->boxes);
	for (; b != NULL; b = next) {
		next = b->hh.next;
		free(b->items);
		free(b);
	}
}

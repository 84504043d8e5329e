#include "wf_push.h"

#include <string.h>

#include "mem.h"
#include "rpcmsg.h"

/* Bounds of one message: whatever the records are encoded as, there are no more
 * of them than an array of the message holds. Their bytes take half of the
 * largest message, so that a single value of any length fits as well. */
#define MESSAGE_RECORDS_MAX AGB_X_ITEMS_MAX
#define MESSAGE_BYTES_MAX (AGB_RPC_RECORD_MAX / 2)
/* Upper bound of the encoded bytes of a record beyond its key and its value: two
 * lengths, two paddings and the revision. */
#define RECORD_OVERHEAD 24

static size_t
record_bytes(const struct agb_store_kv *kv)
{
	return strlen(kv->key) + kv->val_len + RECORD_OVERHEAD;
}

/* Return: number of the records that go into the next message, at least 1. */
static size_t
message_len(const struct agb_store_kv *items, size_t len)
{
	size_t bytes, n;

	bytes = record_bytes(&items[0]);
	for (n = 1; n < len && n < MESSAGE_RECORDS_MAX; n++) {
		bytes += record_bytes(&items[n]);
		if (bytes > MESSAGE_BYTES_MAX)
			break;
	}
	return n;
}

static void
push_message(const struct wf_peer *p, const struct agb_store_kv *items,
    size_t len, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PEER_PUSH);
	struct wf_record *r;
	size_t i;

	agb_str_copy(ef->peer, sizeof(ef->peer), p->rpc);
	ef->u.push.items = agb_xcalloc(len + 1, sizeof(*ef->u.push.items));
	ef->u.push.len = len;
	for (i = 0; i < len; i++) {
		r = &ef->u.push.items[i];
		agb_str_copy(r->key, sizeof(r->key), items[i].key);
		r->revision = items[i].mod_rev;
		r->val = agb_xmemdup(items[i].val, items[i].val_len);
		r->len = items[i].val_len;
	}
}

void
wf_push_records(
    const struct wf_peer *p, const struct wf_feed *feed, struct wf_effects *out)
{
	size_t i, len;

	if (feed->items_len == 0)
		push_message(p, NULL, 0, out);
	for (i = 0; i < feed->items_len; i += len) {
		len = message_len(feed->items + i, feed->items_len - i);
		push_message(p, feed->items + i, len, out);
	}
}

void
wf_push_forward(const struct wf_table *t, const struct wf_config *cfg,
    const struct wf_feed *feed, struct wf_effects *out)
{
	const struct wf_peer *p;

	for (p = t->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->name, cfg->name) != 0 &&
		    strcmp(p->name, t->leader) != 0 &&
		    strcmp(p->domain, cfg->domain) == 0)
			wf_push_records(p, feed, out);
	}
}

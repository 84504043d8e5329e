#include "wf_push.h"

#include <string.h>

#include "mem.h"

void
wf_push_records(
    const struct wf_peer *p, const struct wf_feed *feed, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PEER_PUSH);
	const struct agb_store_kv *kv;
	struct wf_record *r;
	size_t i;

	agb_str_copy(ef->peer, sizeof(ef->peer), p->rpc);
	ef->u.push.items =
	    agb_xcalloc(feed->items_len + 1, sizeof(*ef->u.push.items));
	ef->u.push.len = feed->items_len;
	for (i = 0; i < feed->items_len; i++) {
		kv = &feed->items[i];
		r = &ef->u.push.items[i];
		agb_str_copy(r->key, sizeof(r->key), kv->key);
		r->revision = kv->mod_rev;
		r->val = agb_xmemdup(kv->val, kv->val_len);
		r->len = kv->val_len;
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

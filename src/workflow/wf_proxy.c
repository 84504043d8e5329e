#include "wf_proxy.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_table.h"

/* Maximum number of unanswered calls to the advice service, and of unanswered
 * writes. */
#define ADVICE_CALLS_MAX 32
#define PUTS_MAX 512

/* Calls of peers that have not been answered: the tag of the effect, the token
 * of the reply, and for a put the record, which is owned. */
struct peer_calls {
	struct peer_call {
		uint64_t tag;
		uint64_t token;
		struct wf_record record;
	} * items;
	size_t len;
	size_t cap;
};

struct wf_proxy {
	struct peer_calls advice_calls;
	struct peer_calls puts;
	uint64_t next_tag;
};

struct wf_proxy *
wf_proxy_new(void)
{
	return agb_xcalloc(1, sizeof(struct wf_proxy));
}

void
wf_proxy_free(struct wf_proxy *p)
{
	size_t i;

	if (p == NULL)
		return;
	for (i = 0; i < p->puts.len; i++)
		free(p->puts.items[i].record.val);
	free(p->puts.items);
	free(p->advice_calls.items);
	free(p);
}

static struct peer_call *
peer_call_add(struct peer_calls *p, uint64_t tag, uint64_t token)
{
	struct peer_call *call;

	p->items = agb_xappend(p->items, &p->len, &p->cap, sizeof(*p->items));
	call = &p->items[p->len - 1];
	call->tag = tag;
	call->token = token;
	return call;
}

static bool
peer_call_take(struct peer_calls *p, uint64_t tag, struct peer_call *call)
{
	size_t i;

	for (i = 0; i < p->len; i++) {
		if (p->items[i].tag != tag)
			continue;
		*call = p->items[i];
		p->items[i] = p->items[--p->len];
		return true;
	}
	return false;
}

static void
reply_to_put(
    uint64_t token, const struct wf_put_result *res, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PUT_REPLY);

	ef->tag = token;
	ef->u.put_result = *res;
}

void
wf_proxy_put(struct wf_proxy *p, uint64_t token,
    const struct wf_put_request *put, bool store_silent, struct wf_effects *out)
{
	const struct wf_put_result refused = {.status = AGB_STORE_REFUSED};
	struct peer_call *call;
	struct wf_effect *ef;

	if (p->puts.len >= PUTS_MAX || store_silent ||
	    strncmp(put->key, WF_KEY_PREFIX, strlen(WF_KEY_PREFIX)) != 0) {
		reply_to_put(token, &refused, out);
		return;
	}
	ef = wf_effects_add(out, WF_EF_STORE);
	ef->tag = WF_PROXY_PUT_TAG | ++p->next_tag;
	call = peer_call_add(&p->puts, ef->tag, token);
	agb_str_copy(call->record.key, sizeof(call->record.key), put->key);
	call->record.val = agb_xmemdup(put->val, put->len);
	call->record.len = put->len;
	ef->timeout_ms = put->timeout_ms;
	wf_table_init_put(&ef->u.store, put->key, put->val, put->len);
}

bool
wf_proxy_put_done(struct wf_proxy *p, uint64_t tag,
    const struct agb_store_result *res, struct wf_record *stored,
    struct wf_effects *out)
{
	struct wf_put_result answer = {
	    .status = res->status,
	    .stored = res->succeeded,
	};
	struct peer_call call;

	if (!peer_call_take(&p->puts, tag, &call))
		return false;
	answer.revision = wf_table_stored_revision(res, call.record.key);
	reply_to_put(call.token, &answer, out);
	if (res->status != AGB_STORE_OK || !res->succeeded) {
		free(call.record.val);
		return false;
	}
	*stored = call.record;
	stored->revision = res->revision;
	return true;
}

void
wf_proxy_request_advice(struct wf_proxy *p, uint64_t token,
    const struct wf_advice_request *req, struct wf_effects *out)
{
	struct wf_effect *ef;

	if (p->advice_calls.len >= ADVICE_CALLS_MAX) {
		ef = wf_effects_add(out, WF_EF_PEER_ADVICE_REPLY);
		ef->tag = token;
		ef->u.advice.busy = true;
		return;
	}
	ef = wf_effects_add(out, WF_EF_ADVICE_REQUEST);
	ef->tag = WF_PROXY_ADVICE_TAG | ++p->next_tag;
	peer_call_add(&p->advice_calls, ef->tag, token);
	ef->timeout_ms = req->timeout_ms;
	ef->u.advice_request = *req;
	ef->u.advice_request.runners =
	    agb_xcalloc(req->runners_len + 1, sizeof(agb_id));
	if (req->runners_len > 0)
		memcpy(ef->u.advice_request.runners, req->runners,
		    req->runners_len * sizeof(agb_id));
}

void
wf_proxy_advice_done(struct wf_proxy *p, uint64_t tag,
    const struct wf_advice *advice, struct wf_effects *out)
{
	struct peer_call call;
	struct wf_effect *ef;

	if (!peer_call_take(&p->advice_calls, tag, &call))
		return;
	ef = wf_effects_add(out, WF_EF_PEER_ADVICE_REPLY);
	ef->tag = call.token;
	ef->u.advice = *advice;
	ef->u.advice.items =
	    agb_xcalloc(advice->items_len + 1, sizeof(struct wf_ticket));
	if (advice->items_len > 0)
		memcpy(ef->u.advice.items, advice->items,
		    advice->items_len * sizeof(struct wf_ticket));
}

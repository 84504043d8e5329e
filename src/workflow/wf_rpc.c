#include "wf_rpc.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "rpc.h"
#include "wf_codec.h"
#include "wf_outbox.h"
#include "wf_relay.h"
#include "wf_show.h"

/* The tag of a call selects the handler of its reply. Replies to tag 0 are
 * ignored. A put uses the tag of the front end, which has the top bit set.
 * Other calls set one of the tag bits; a tag without any is a call for
 * advice. */
#define TAG_PUT ((uint64_t)1 << 63)
#define TAG_PING ((uint64_t)1 << 59)
#define PUSH_TIMEOUT_MS 1000
#define RESULTS_TIMEOUT_MS 1000
/* Number of values of enum wf_effect_type. */
#define EFFECT_TYPES (WF_EF_EXIT + 1)

/**
 * struct wf_rpc - RPC endpoint of an instance
 * @allowed: IP addresses that may call
 * @unencodable: tags of pushes that could not be encoded and whose outcome has
 *	not been reported
 */
struct wf_rpc {
	struct wf_rpc_cbs cbs;
	void *arg;
	struct agb_rpc *rpc;
	agb_addr *allowed;
	size_t allowed_len;
	uint64_t *unencodable;
	size_t unencodable_len;
};

/* ---- incoming calls and replies ---- */

/* Acknowledges a call whose result carries no data. */
static void
reply_empty(struct wf_rpc *r, uint64_t token, agb_x_proc proc)
{
	agb_x_res res;

	wf_codec_init_res(&res, proc);
	agb_rpc_reply(r->rpc, token, &res);
}

static void
log_malformed(struct wf_rpc *r, size_t n, const char *line)
{
	while (n-- > 0)
		r->cbs.log(r->arg, AGB_LOG_ERROR, "orders", line);
}

static void
handle_advise(struct wf_rpc *r, uint64_t token, const agb_x_advise_args *x)
{
	struct wf_event ev = {.type = WF_EV_PEER_ADVICE_REQUEST, .tag = token};
	struct wf_advice_request ask;

	wf_codec_decode_advice_request(x, &ask);
	ev.u.advice_request = &ask;
	r->cbs.event(r->arg, &ev);
	free(ask.runners);
}

static void
handle_push(struct wf_rpc *r, uint64_t token, const agb_x_push_args *x)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUSH, .flag = x->forward};
	struct wf_codec_push p;

	wf_codec_decode_push(x, &p);
	ev.u.feed.items = p.items;
	ev.u.feed.items_len = p.len;
	r->cbs.event(r->arg, &ev);
	wf_codec_push_free(&p);
	reply_empty(r, token, AGB_X_PUSH);
}

static void
handle_put(struct wf_rpc *r, uint64_t token, const agb_x_put_args *x)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUT, .tag = token};

	wf_codec_decode_put(x, &ev.u.put);
	r->cbs.event(r->arg, &ev);
}

static void
handle_orders(struct wf_rpc *r, uint64_t token, const agb_x_orders_args *x)
{
	struct wf_event ev = {.type = WF_EV_ORDERS, .tag = token};
	struct wf_order_batch o;

	log_malformed(
	    r, wf_codec_decode_orders(x, &o), "change=malformed-order");
	ev.u.orders = &o;
	r->cbs.event(r->arg, &ev);
	wf_order_batch_free(&o);
}

static void
handle_results(struct wf_rpc *r, uint64_t token, const agb_x_results_args *x)
{
	struct wf_event ev = {.type = WF_EV_RESULTS};
	struct wf_result_batch results;

	log_malformed(
	    r, wf_codec_decode_results(x, &results), "change=malformed-result");
	ev.u.results = &results;
	r->cbs.event(r->arg, &ev);
	wf_result_batch_free(&results);
	reply_empty(r, token, AGB_X_RESULTS);
}

static void
handle_payload_request(
    struct wf_rpc *r, uint64_t token, const agb_x_payload_args *x)
{
	struct wf_event ev = {.type = WF_EV_PAYLOAD_REQUEST, .tag = token};

	agb_str_copy(ev.u.payload.job, sizeof(ev.u.payload.job), x->job);
	r->cbs.event(r->arg, &ev);
}

static void
on_rpc_call(void *arg, uint64_t token, const char *peer, agb_x_args *args)
{
	struct wf_rpc *const r = arg;

	switch (args->proc) {
	case AGB_X_ADVISE:
		handle_advise(r, token, &args->agb_x_args_u.advise);
		break;
	case AGB_X_PUSH:
		handle_push(r, token, &args->agb_x_args_u.push);
		break;
	case AGB_X_PUT:
		handle_put(r, token, &args->agb_x_args_u.put);
		break;
	case AGB_X_ORDERS:
		handle_orders(r, token, &args->agb_x_args_u.orders);
		break;
	case AGB_X_RESULTS:
		handle_results(r, token, &args->agb_x_args_u.results);
		break;
	case AGB_X_PAYLOAD:
		handle_payload_request(r, token, &args->agb_x_args_u.payload);
		break;
	default:
		/* Calls between shard owners are not used by the workflow
		 * scheduler. */
		reply_empty(r, token, AGB_X_NULL);
	}
	xdr_free((xdrproc_t)xdr_agb_x_args, (char *)args);
}

/* The reply to a write made through another instance is reported like the
 * result of a write to the store. */
static void
handle_put_reply(
    struct wf_rpc *r, uint64_t tag, bool sent, const agb_x_res *res)
{
	struct wf_event ev = {.type = WF_EV_STORE, .tag = tag, .flag = true};
	struct agb_store_result store;

	wf_codec_decode_put_result(res, sent, &store);
	ev.u.store = &store;
	r->cbs.event(r->arg, &ev);
}

static void
handle_ack(struct wf_rpc *r, uint64_t tag, bool ok)
{
	struct wf_event ev = {.type = WF_EV_PEER_ACK, .tag = tag, .flag = ok};

	r->cbs.event(r->arg, &ev);
}

/* Return: whether the push could not be encoded. */
static bool
take_unencodable(struct wf_rpc *r, uint64_t tag)
{
	size_t i;

	for (i = 0; i < r->unencodable_len; i++) {
		if (r->unencodable[i] != tag)
			continue;
		r->unencodable[i] = r->unencodable[--r->unencodable_len];
		return true;
	}
	return false;
}

static void
handle_push_done(struct wf_rpc *r, uint64_t tag, bool ok, bool sent)
{
	const bool unencodable = take_unencodable(r, tag);
	struct wf_event ev = {.type = WF_EV_PUSH_DONE, .tag = tag};

	ev.u.push_outcome = ok ? WF_PUSH_ACKED
	    : sent	       ? WF_PUSH_LOST
	    : unencodable      ? WF_PUSH_UNENCODABLE
			       : WF_PUSH_UNSENT;
	r->cbs.event(r->arg, &ev);
}

static void
handle_advice(struct wf_rpc *r, uint64_t tag, const agb_x_res *res)
{
	struct wf_event ev = {.type = WF_EV_PEER_ADVICE, .tag = tag};
	struct wf_advice a;

	wf_codec_decode_advice(res, &a);
	ev.u.advice = &a;
	r->cbs.event(r->arg, &ev);
	free(a.items);
}

static void
handle_orders_ack(
    struct wf_rpc *r, uint64_t tag, bool sent, const agb_x_res *res)
{
	struct wf_event ev = {.type = WF_EV_ORDERS_ACK, .tag = tag};

	wf_codec_decode_orders_ack(res, sent, &ev.u.orders_ack);
	r->cbs.event(r->arg, &ev);
}

static void
handle_payload(struct wf_rpc *r, uint64_t tag, const agb_x_res *res)
{
	struct wf_event ev = {.type = WF_EV_PAYLOAD, .tag = tag};

	ev.flag = wf_codec_decode_payload(res, &ev.u.payload);
	r->cbs.event(r->arg, &ev);
}

static void
on_rpc_reply(void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res)
{
	const agb_x_res *const answer = ok ? res : NULL;
	struct wf_rpc *const r = arg;

	if (tag == 0)
		goto out;
	if (tag & TAG_PUT)
		handle_put_reply(r, tag, sent, answer);
	else if (tag & TAG_PING)
		handle_ack(r, tag, ok);
	else if (tag & WF_SHOW_TAG)
		handle_push_done(r, tag, ok, sent);
	else if (tag & WF_ORDERS_TAG)
		handle_orders_ack(r, tag, sent, answer);
	else if (tag & WF_PAYLOAD_TAG)
		handle_payload(r, tag, answer);
	else
		handle_advice(r, tag, answer);
out:
	if (ok)
		xdr_free((xdrproc_t)xdr_agb_x_res, (char *)res);
}

/* ---- outgoing calls and replies ---- */

/* Calls are accepted from the instances listed in the store. An address remains
 * allowed after its instance has been removed, so that the instance can finish
 * what it has begun. */
static void
allow_peers(struct wf_rpc *r, const struct wf_effect *ef)
{
	agb_addr ip;
	char *colon;
	size_t i, k;

	for (i = 0; i < ef->peers_len; i++) {
		agb_str_copy(ip, sizeof(ip), ef->peers[i]);
		colon = strrchr(ip, ':');
		if (colon != NULL)
			*colon = '\0';
		for (k = 0; k < r->allowed_len; k++) {
			if (strcmp(r->allowed[k], ip) == 0)
				break;
		}
		if (k < r->allowed_len)
			continue;
		r->allowed = agb_xreallocarray(
		    r->allowed, r->allowed_len + 1, sizeof(*r->allowed));
		memcpy(r->allowed[r->allowed_len++], ip, sizeof(ip));
	}
	agb_rpc_set_allowed_ips(r->rpc, r->allowed, r->allowed_len);
}

/**
 * struct call_kind - how an effect is sent as a call
 * @timeout_ms: time limit for the reply when the effect sets none; 0 for none
 */
struct call_kind {
	void (*encode)(const struct wf_effect *ef, agb_x_args *args);
	uint32_t timeout_ms;
};

static void
note_unencodable(struct wf_rpc *r, uint64_t tag)
{
	r->unencodable = agb_xreallocarray(
	    r->unencodable, r->unencodable_len + 1, sizeof(*r->unencodable));
	r->unencodable[r->unencodable_len++] = tag;
}

static void
send_call(
    struct wf_rpc *r, const struct wf_effect *ef, const struct call_kind *kind)
{
	agb_x_args args;
	bool encoded;

	kind->encode(ef, &args);
	encoded = agb_rpc_call(r->rpc, ef->tag, ef->peer, &args,
	    ef->timeout_ms > 0 ? ef->timeout_ms : kind->timeout_ms);
	if (!encoded && ef->type == WF_EF_PEER_PUSH && ef->tag != 0)
		note_unencodable(r, ef->tag);
	wf_codec_args_free(&args);
}

static void
send_reply(struct wf_rpc *r, const struct wf_effect *ef,
    void (*encode)(const struct wf_effect *, agb_x_res *))
{
	agb_x_res res;

	encode(ef, &res);
	agb_rpc_reply(r->rpc, ef->tag, &res);
	wf_codec_res_free(&res);
}

bool
wf_rpc_perform(struct wf_rpc *r, const struct wf_effect *ef)
{
	static const struct call_kind calls[EFFECT_TYPES] = {
	    [WF_EF_PEER_ADVICE_REQUEST] = {wf_codec_encode_advice_request, 0},
	    [WF_EF_PEER_PUSH] = {wf_codec_encode_push, PUSH_TIMEOUT_MS},
	    [WF_EF_PEER_PUT] = {wf_codec_encode_put, 0},
	    [WF_EF_PEER_PING] = {wf_codec_encode_ping, 0},
	    [WF_EF_ORDERS] = {wf_codec_encode_orders, 0},
	    [WF_EF_RESULTS] = {wf_codec_encode_results, RESULTS_TIMEOUT_MS},
	    [WF_EF_PAYLOAD_REQUEST] = {wf_codec_encode_payload_request, 0},
	};
	static void (*const replies[EFFECT_TYPES])(
	    const struct wf_effect *, agb_x_res *) = {
	    [WF_EF_PEER_ADVICE_REPLY] = wf_codec_encode_advice,
	    [WF_EF_PUT_REPLY] = wf_codec_encode_put_result,
	    [WF_EF_ORDERS_REPLY] = wf_codec_encode_orders_ack,
	    [WF_EF_PAYLOAD_REPLY] = wf_codec_encode_payload,
	};

	if ((size_t)ef->type >= EFFECT_TYPES)
		return false;
	if (ef->type == WF_EF_ALLOW_PEERS)
		allow_peers(r, ef);
	else if (calls[ef->type].encode != NULL)
		send_call(r, ef, &calls[ef->type]);
	else if (replies[ef->type] != NULL)
		send_reply(r, ef, replies[ef->type]);
	else
		return false;
	return true;
}

static void
on_rpc_lost(void *arg, const char *peer, bool refused)
{
	struct wf_event ev = {.type = WF_EV_PEER_LOST, .flag = refused};
	struct wf_rpc *const r = arg;

	ev.u.peer = peer;
	r->cbs.event(r->arg, &ev);
}

static void
on_rpc_log(
    void *arg, enum agb_log_level level, const char *event, const char *line)
{
	struct wf_rpc *const r = arg;

	r->cbs.log(r->arg, level, event, line);
}

struct wf_rpc *
wf_rpc_new(
    uv_loop_t *loop, const char *addr, const struct wf_rpc_cbs *cbs, void *arg)
{
	static const struct agb_rpc_cbs rpc = {.call = on_rpc_call,
	    .reply = on_rpc_reply,
	    .log = on_rpc_log,
	    .lost = on_rpc_lost};
	struct wf_rpc *const r = agb_xcalloc(1, sizeof(*r));

	r->cbs = *cbs;
	r->arg = arg;
	r->rpc = agb_rpc_new(loop, addr, &rpc, r);
	if (r->rpc == NULL) {
		free(r);
		return NULL;
	}
	return r;
}

const struct agb_rpc *
wf_rpc_endpoint(const struct wf_rpc *r)
{
	return r->rpc;
}

void
wf_rpc_free(struct wf_rpc *r)
{
	if (r == NULL)
		return;
	agb_rpc_free(r->rpc);
	free(r->allowed);
	free(r->unencodable);
	free(r);
}

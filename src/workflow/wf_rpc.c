#include "wf_rpc.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "rpc.h"
#include "wf_outbox.h"
#include "wf_relay.h"
#include "wf_show.h"
#include "wf_table.h"

/* The tag of a call selects the handler of its reply. Replies to tag 0 are
 * ignored. A put uses the tag of the front end, which has the top bit set. Other
 * calls set one of the tag bits; a tag without any is a call for advice. */
#define TAG_PUT ((uint64_t)1 << 63)
#define TAG_PING ((uint64_t)1 << 59)
#define PUSH_TIMEOUT_MS 1000
#define RESULTS_TIMEOUT_MS 1000
/* Bit layout of a kept run on the wire: index in the baseline, percent and load
 * packed into 64 bits. */
#define KEPT_INDEX_SHIFT 40
#define KEPT_PERCENT_SHIFT 32
#define KEPT_PERCENT_MASK 0xff
#define KEPT_INDEX_MASK 0xffffff

/**
 * struct wf_rpc - RPC endpoint of an instance
 * @allowed: IP addresses that may call
 */
struct wf_rpc {
	struct wf_rpc_cbs cbs;
	void *arg;
	struct agb_rpc *rpc;
	agb_addr *allowed;
	size_t allowed_len;
};

/* ---- encoding of orders and results ---- */

static void
encode_task(const struct wf_task_ref *t, agb_x_task *x)
{
	memcpy(x->job, t->job, sizeof(x->job));
	x->occurrence = t->occurrence;
	x->step = t->step;
	x->index = t->index;
}

static void
decode_task(const agb_x_task *x, struct wf_task_ref *t)
{
	memset(t, 0, sizeof(*t));
	memcpy(t->job, x->job, sizeof(x->job));
	t->occurrence = x->occurrence;
	t->step = x->step;
	t->index = x->index;
}

static void
encode_order(const struct wf_order *o, agb_x_order *x)
{
	agb_x_hold_order *const hold = &x->body.agb_x_order_body_u.hold;
	agb_x_run_order *const run = &x->body.agb_x_order_body_u.run;

	memset(x, 0, sizeof(*x));
	x->number = o->number;
	x->runner = o->runner;
	x->life = o->incarnation;
	x->not_after_us = o->send_by;
	x->deadline_ms = o->deadline_ms;
	x->timeout_ms = o->timeout_ms;
	x->body.kind = (agb_x_order_kind)o->kind;
	if (o->kind == WF_ORDER_HOLD) {
		hold->observed = o->forget_seq;
		hold->taken = o->known_seq;
		hold->wait_ms = o->wait_ms;
		hold->beside = o->is_probe;
		hold->seen = o->known_list;
		return;
	}
	encode_task(&o->task, &run->task);
	run->run = o->run;
	run->percent = o->percent;
	run->saved = (char *)(uintptr_t)o->checkpoint;
	run->ticket = (char *)(uintptr_t)o->ticket;
	run->home = (char *)(uintptr_t)o->origin;
	run->text.text_len = (u_int)o->payload_len;
	run->text.text_val = o->payload;
}

/* Returns false for an unknown kind of order, which the XDR decoder does not
 * reject. */
static bool
decode_order(const agb_x_order *x, struct wf_order *o)
{
	const agb_x_hold_order *const hold = &x->body.agb_x_order_body_u.hold;
	const agb_x_run_order *const run = &x->body.agb_x_order_body_u.run;

	memset(o, 0, sizeof(*o));
	if ((unsigned)x->body.kind > AGB_X_PACE)
		return false;
	o->number = x->number;
	o->kind = (enum wf_order_kind)x->body.kind;
	o->runner = x->runner;
	o->incarnation = x->life;
	o->send_by = x->not_after_us;
	o->deadline_ms = x->deadline_ms;
	o->timeout_ms = x->timeout_ms;
	if (o->kind == WF_ORDER_HOLD) {
		o->forget_seq = hold->observed;
		o->known_seq = hold->taken;
		o->wait_ms = hold->wait_ms;
		o->is_probe = hold->beside;
		o->known_list = hold->seen;
		return true;
	}
	decode_task(&run->task, &o->task);
	o->run = run->run;
	o->percent = run->percent;
	agb_str_copy(o->checkpoint, sizeof(o->checkpoint), run->saved);
	agb_str_copy(o->ticket, sizeof(o->ticket), run->ticket);
	agb_str_copy(o->origin, sizeof(o->origin), run->home);
	if (run->text.text_len == 0)
		return true;
	o->payload = agb_xmemdup(run->text.text_val, run->text.text_len);
	o->payload_len = run->text.text_len;
	return true;
}

static void
encode_active(const struct wf_active_run *a, agb_x_active *x)
{
	encode_task(&a->task, &x->task);
	x->run = a->run;
	x->percent = a->percent;
	x->load = a->load;
	x->saved = (char *)(uintptr_t)a->checkpoint;
}

static void
decode_active(const agb_x_active *x, struct wf_active_run *a)
{
	decode_task(&x->task, &a->task);
	a->run = x->run;
	a->percent = x->percent;
	a->load = x->load;
	agb_str_copy(a->checkpoint, sizeof(a->checkpoint), x->saved);
}

static void
encode_finished(const struct wf_finished_run *f, agb_x_finished *x)
{
	x->seq = f->seq;
	encode_task(&f->task, &x->task);
	x->run = f->run;
	x->how = f->end;
	x->saved = (char *)(uintptr_t)f->checkpoint;
}

static bool
decode_finished(const agb_x_finished *x, struct wf_finished_run *f)
{
	f->seq = x->seq;
	decode_task(&x->task, &f->task);
	f->run = x->run;
	f->end = (enum wf_run_end)x->how;
	agb_str_copy(f->checkpoint, sizeof(f->checkpoint), x->saved);
	return x->how <= WF_END_GANG_TIMEOUT;
}

static uint64_t
encode_kept(const struct wf_kept_run *k)
{
	return (uint64_t)(k->index & KEPT_INDEX_MASK) << KEPT_INDEX_SHIFT |
	    (uint64_t)(k->percent & KEPT_PERCENT_MASK) << KEPT_PERCENT_SHIFT |
	    k->load;
}

static void
decode_kept(uint64_t x, struct wf_kept_run *k)
{
	k->index = (uint32_t)(x >> KEPT_INDEX_SHIFT) & KEPT_INDEX_MASK;
	k->percent = (uint32_t)(x >> KEPT_PERCENT_SHIFT) & KEPT_PERCENT_MASK;
	k->load = (uint32_t)x;
}

static void
encode_result(const struct wf_relayed_result *r, agb_x_result *x)
{
	size_t i;

	memset(x, 0, sizeof(*x));
	x->number = r->number;
	x->status = r->status;
	x->born_ms = r->started_ms;
	x->clock_ms = r->clock_ms;
	x->base = r->base_list;
	x->seen = r->list;
	x->kept.kept_len = (u_int)r->kept_len;
	x->kept.kept_val =
	    agb_xcalloc(r->kept_len + 1, sizeof(*x->kept.kept_val));
	for (i = 0; i < r->kept_len; i++)
		x->kept.kept_val[i] = encode_kept(&r->kept[i]);
	x->saved.saved_len = (u_int)r->checkpoints_len;
	x->saved.saved_val =
	    agb_xcalloc(r->checkpoints_len + 1, sizeof(*x->saved.saved_val));
	for (i = 0; i < r->checkpoints_len; i++) {
		x->saved.saved_val[i].at = r->checkpoints[i].index;
		x->saved.saved_val[i].saved = r->checkpoints[i].checkpoint;
	}
	x->fresh.fresh_len = (u_int)r->new_runs_len;
	x->fresh.fresh_val =
	    agb_xcalloc(r->new_runs_len + 1, sizeof(*x->fresh.fresh_val));
	for (i = 0; i < r->new_runs_len; i++)
		encode_active(&r->new_runs[i], &x->fresh.fresh_val[i]);
	x->finished.finished_len = (u_int)r->finished_len;
	x->finished.finished_val =
	    agb_xcalloc(r->finished_len + 1, sizeof(*x->finished.finished_val));
	for (i = 0; i < r->finished_len; i++)
		encode_finished(&r->finished[i], &x->finished.finished_val[i]);
}

static bool
decode_result(const agb_x_result *x, struct wf_relayed_result *r)
{
	bool ok = x->status <= WF_ORDER_NO_PAYLOAD;
	size_t i;

	memset(r, 0, sizeof(*r));
	r->number = x->number;
	r->status = (enum wf_order_status)x->status;
	r->started_ms = x->born_ms;
	r->clock_ms = x->clock_ms;
	r->base_list = x->base;
	r->list = x->seen;
	r->kept_len = x->kept.kept_len;
	r->kept = agb_xcalloc(r->kept_len + 1, sizeof(*r->kept));
	for (i = 0; i < r->kept_len; i++)
		decode_kept(x->kept.kept_val[i], &r->kept[i]);
	r->checkpoints_len = x->saved.saved_len;
	r->checkpoints =
	    agb_xcalloc(r->checkpoints_len + 1, sizeof(*r->checkpoints));
	for (i = 0; i < r->checkpoints_len; i++) {
		r->checkpoints[i].index = x->saved.saved_val[i].at;
		agb_str_copy(r->checkpoints[i].checkpoint,
		    sizeof(r->checkpoints[i].checkpoint),
		    x->saved.saved_val[i].saved);
	}
	r->new_runs_len = x->fresh.fresh_len;
	r->new_runs = agb_xcalloc(r->new_runs_len + 1, sizeof(*r->new_runs));
	for (i = 0; i < r->new_runs_len; i++)
		decode_active(&x->fresh.fresh_val[i], &r->new_runs[i]);
	r->finished_len = x->finished.finished_len;
	r->finished = agb_xcalloc(r->finished_len + 1, sizeof(*r->finished));
	for (i = 0; i < r->finished_len; i++)
		ok = decode_finished(
			 &x->finished.finished_val[i], &r->finished[i]) &&
		    ok;
	return ok;
}

/* ---- incoming calls and replies ---- */

static void
handle_advise(struct wf_rpc *r, uint64_t token, const agb_x_advise_args *x)
{
	struct wf_event ev = {.type = WF_EV_PEER_ADVICE_REQUEST, .tag = token};
	struct wf_advice_request ask;
	size_t i;

	memset(&ask, 0, sizeof(ask));
	agb_str_copy(ask.step.job, sizeof(ask.step.job), x->job);
	ask.step.occurrence = x->occurrence;
	ask.step.step = x->step;
	ask.timeout_ms = x->timeout_ms;
	ask.runners_len = x->runners.runners_len;
	ask.runners = agb_xcalloc(ask.runners_len + 1, sizeof(agb_id));
	for (i = 0; i < ask.runners_len; i++)
		agb_str_copy(
		    ask.runners[i], sizeof(agb_id), x->runners.runners_val[i]);
	ev.u.advice_request = &ask;
	r->cbs.event(r->arg, &ev);
	free(ask.runners);
}

/* Storage of the key and the value of a record made from a job state. */
struct state_buf {
	char key[WF_KEY_MAX];
	char state;
};

static void
decode_state(const agb_x_told *x, struct state_buf *t, struct agb_store_kv *kv)
{
	wf_job_id job;

	memcpy(job, x->job, sizeof(x->job));
	job[sizeof(x->job)] = '\0';
	wf_table_make_key(t->key, 'v', job);
	t->state = (char)x->state;
	kv->key = t->key;
	kv->val = &t->state;
	kv->val_len = 1;
}

static void
handle_push(struct wf_rpc *r, uint64_t token, const agb_x_push_args *x)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUSH, .flag = x->forward};
	const agb_x_record *rec;
	struct agb_store_kv *kvs;
	struct state_buf *states;
	agb_x_res res;
	size_t i, n;

	n = x->records.records_len;
	kvs = agb_xcalloc(n + x->states.states_len + 1, sizeof(*kvs));
	states = agb_xcalloc(x->states.states_len + 1, sizeof(*states));
	for (i = 0; i < n; i++) {
		rec = &x->records.records_val[i];
		kvs[i].key = rec->key;
		kvs[i].val = rec->value.value_val;
		kvs[i].val_len = rec->value.value_len;
		kvs[i].mod_rev = rec->revision;
		kvs[i].create_rev = rec->revision;
	}
	for (i = 0; i < x->states.states_len; i++)
		decode_state(&x->states.states_val[i], &states[i], &kvs[n++]);
	ev.u.feed.items = kvs;
	ev.u.feed.items_len = n;
	r->cbs.event(r->arg, &ev);
	free(states);
	free(kvs);
	memset(&res, 0, sizeof(res));
	res.proc = AGB_X_PUSH;
	agb_rpc_reply(r->rpc, token, &res);
}

static void
handle_put(struct wf_rpc *r, uint64_t token, const agb_x_put_args *x)
{
	struct wf_event ev = {.type = WF_EV_PEER_PUT, .tag = token};

	ev.u.put.key = x->key;
	ev.u.put.val = x->value.value_val;
	ev.u.put.len = x->value.value_len;
	ev.u.put.timeout_ms = x->timeout_ms;
	r->cbs.event(r->arg, &ev);
}

static void
handle_orders(struct wf_rpc *r, uint64_t token, const agb_x_orders_args *x)
{
	struct wf_event ev = {.type = WF_EV_ORDERS, .tag = token};
	struct wf_order_batch o;
	size_t i;

	memset(&o, 0, sizeof(o));
	o.fence = x->fence;
	agb_str_copy(o.reply_to, sizeof(o.reply_to), x->reply_to);
	o.runners_len = x->cards.cards_len;
	o.runners = agb_xcalloc(o.runners_len + 1, sizeof(*o.runners));
	for (i = 0; i < o.runners_len; i++) {
		o.runners[i].runner = x->cards.cards_val[i].runner;
		o.runners[i].incarnation = x->cards.cards_val[i].life;
		agb_str_copy(o.runners[i].id, sizeof(o.runners[i].id),
		    x->cards.cards_val[i].id);
		agb_str_copy(o.runners[i].addr, sizeof(o.runners[i].addr),
		    x->cards.cards_val[i].addr);
	}
	o.items = agb_xcalloc(x->orders.orders_len + 1, sizeof(*o.items));
	for (i = 0; i < x->orders.orders_len; i++) {
		if (decode_order(&x->orders.orders_val[i], &o.items[o.len]))
			o.len++;
		else
			r->cbs.log(r->arg, AGB_LOG_ERROR, "orders",
			    "change=malformed-order");
	}
	ev.u.orders = &o;
	r->cbs.event(r->arg, &ev);
	wf_orders_free(&o);
}

static void
handle_results(struct wf_rpc *r, uint64_t token, const agb_x_results_args *x)
{
	struct wf_event ev = {.type = WF_EV_RESULTS};
	struct wf_result_batch list;
	agb_x_res res;
	size_t i;

	memset(&list, 0, sizeof(list));
	list.fence = x->fence;
	list.len = x->results.results_len;
	list.items = agb_xcalloc(list.len + 1, sizeof(*list.items));
	for (i = 0; i < list.len; i++) {
		if (decode_result(&x->results.results_val[i], &list.items[i]))
			continue;
		/* A malformed result gives no evidence whether the order was
		 * carried out. */
		list.items[i].status = WF_ORDER_LOST;
		r->cbs.log(
		    r->arg, AGB_LOG_ERROR, "orders", "change=malformed-result");
	}
	ev.u.results = &list;
	r->cbs.event(r->arg, &ev);
	wf_results_free(&list);
	memset(&res, 0, sizeof(res));
	res.proc = AGB_X_RESULTS;
	agb_rpc_reply(r->rpc, token, &res);
}

static void
handle_text(struct wf_rpc *r, uint64_t token, const agb_x_text_args *x)
{
	struct wf_event ev = {.type = WF_EV_PAYLOAD_REQUEST, .tag = token};

	agb_str_copy(ev.u.payload.job, sizeof(ev.u.payload.job), x->job);
	r->cbs.event(r->arg, &ev);
}

static void
on_rpc_call(void *arg, uint64_t token, const char *peer, agb_x_args *args)
{
	struct wf_rpc *const r = arg;
	agb_x_res res;

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
	case AGB_X_TEXT:
		handle_text(r, token, &args->agb_x_args_u.text);
		break;
	default:
		/* Calls between shard owners are not used by the workflow
		 * scheduler. */
		memset(&res, 0, sizeof(res));
		res.proc = AGB_X_NULL;
		agb_rpc_reply(r->rpc, token, &res);
	}
	xdr_free((xdrproc_t)xdr_agb_x_args, (char *)args);
}

/* A write with an unknown outcome may have been carried out. */
static enum agb_store_status
decode_store_status(int status)
{
	return status == AGB_STORE_OK || status == AGB_STORE_REFUSED
	    ? (enum agb_store_status)status
	    : AGB_STORE_LOST;
}

/* The reply to a write made through another instance is reported like the
 * result of a write to the store. */
static void
handle_put_reply(
    struct wf_rpc *r, uint64_t tag, bool sent, const agb_x_res *res)
{
	struct wf_event ev = {.type = WF_EV_STORE, .tag = tag, .flag = true};
	struct agb_store_result store;

	memset(&store, 0, sizeof(store));
	store.status = sent ? AGB_STORE_LOST : AGB_STORE_REFUSED;
	if (res != NULL) {
		store.status = decode_store_status(res->agb_x_res_u.put.status);
		store.succeeded = res->agb_x_res_u.put.stored;
		store.revision = res->agb_x_res_u.put.revision;
	}
	ev.u.store = &store;
	r->cbs.event(r->arg, &ev);
}

static void
handle_ping_reply(struct wf_rpc *r, uint64_t tag, bool ok)
{
	struct wf_event ev = {.type = WF_EV_PEER_ACK, .tag = tag, .flag = ok};

	r->cbs.event(r->arg, &ev);
}

static void
handle_advise_reply(struct wf_rpc *r, uint64_t tag, const agb_x_res *res)
{
	struct wf_event ev = {.type = WF_EV_PEER_ADVICE, .tag = tag};
	const agb_x_advise_res *x;
	struct wf_advice a;
	size_t i;

	memset(&a, 0, sizeof(a));
	if (res != NULL && res->proc == AGB_X_ADVISE) {
		x = &res->agb_x_res_u.advise;
		a.answered = x->ok;
		a.busy = x->busy;
		a.valid_ms = x->valid_ms;
		a.items_len = x->tickets.tickets_len;
		a.items = agb_xcalloc(a.items_len + 1, sizeof(*a.items));
		for (i = 0; i < a.items_len; i++) {
			agb_str_copy(a.items[i].runner, sizeof(agb_id),
			    x->tickets.tickets_val[i].runner);
			agb_str_copy(a.items[i].ticket, sizeof(agb_id),
			    x->tickets.tickets_val[i].ticket);
		}
	}
	ev.u.advice = &a;
	r->cbs.event(r->arg, &ev);
	free(a.items);
}

static void
handle_orders_reply(
    struct wf_rpc *r, uint64_t tag, bool sent, const agb_x_res *res)
{
	struct wf_event ev = {.type = WF_EV_ORDERS_ACK, .tag = tag};

	ev.u.orders_ack.answered = res != NULL;
	ev.u.orders_ack.may_have_arrived = sent;
	if (res != NULL) {
		ev.u.orders_ack.accepted = res->agb_x_res_u.orders.taken;
		ev.u.orders_ack.peer_clock = res->agb_x_res_u.orders.clock_us;
	}
	r->cbs.event(r->arg, &ev);
}

static void
handle_text_reply(struct wf_rpc *r, uint64_t tag, const agb_x_res *res)
{
	struct wf_event ev = {.type = WF_EV_PAYLOAD, .tag = tag};

	if (res != NULL) {
		ev.flag = res->agb_x_res_u.text.known;
		ev.u.payload.data = res->agb_x_res_u.text.text.text_val;
		ev.u.payload.len = res->agb_x_res_u.text.text.text_len;
	}
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
	else if (tag & (TAG_PING | WF_SHOW_TAG))
		handle_ping_reply(r, tag, ok);
	else if (tag & WF_ORDERS_TAG)
		handle_orders_reply(r, tag, sent, answer);
	else if (tag & WF_PAYLOAD_TAG)
		handle_text_reply(r, tag, answer);
	else
		handle_advise_reply(r, tag, answer);
out:
	if (ok)
		xdr_free((xdrproc_t)xdr_agb_x_res, (char *)res);
}

/* ---- outgoing calls and replies ---- */

static void
call_advise(struct wf_rpc *r, const struct wf_effect *ef)
{
	const struct wf_advice_request *const ask = &ef->u.advice_request;
	agb_x_args args;
	size_t i;

	memset(&args, 0, sizeof(args));
	args.proc = AGB_X_ADVISE;
	args.agb_x_args_u.advise.job = (char *)(uintptr_t)ask->step.job;
	args.agb_x_args_u.advise.occurrence = ask->step.occurrence;
	args.agb_x_args_u.advise.step = ask->step.step;
	args.agb_x_args_u.advise.timeout_ms = ask->timeout_ms;
	args.agb_x_args_u.advise.runners.runners_len = (u_int)ask->runners_len;
	args.agb_x_args_u.advise.runners.runners_val =
	    agb_xcalloc(ask->runners_len + 1, sizeof(char *));
	for (i = 0; i < ask->runners_len; i++)
		args.agb_x_args_u.advise.runners.runners_val[i] =
		    ask->runners[i];
	agb_rpc_call(r->rpc, ef->tag, ef->peer, &args, ef->timeout_ms);
	free(args.agb_x_args_u.advise.runners.runners_val);
}

static void
reply_advise(struct wf_rpc *r, const struct wf_effect *ef)
{
	const struct wf_advice *const a = &ef->u.advice;
	agb_x_ticket *list;
	agb_x_res res;
	size_t i;

	memset(&res, 0, sizeof(res));
	res.proc = AGB_X_ADVISE;
	list = agb_xcalloc(a->items_len + 1, sizeof(*list));
	for (i = 0; i < a->items_len; i++) {
		list[i].runner = a->items[i].runner;
		list[i].ticket = a->items[i].ticket;
	}
	res.agb_x_res_u.advise.ok = a->answered;
	res.agb_x_res_u.advise.busy = a->busy;
	res.agb_x_res_u.advise.valid_ms = a->valid_ms;
	res.agb_x_res_u.advise.tickets.tickets_len = (u_int)a->items_len;
	res.agb_x_res_u.advise.tickets.tickets_val = list;
	agb_rpc_reply(r->rpc, ef->tag, &res);
	free(list);
}

static void
call_ping(struct wf_rpc *r, const struct wf_effect *ef)
{
	agb_x_args args;

	memset(&args, 0, sizeof(args));
	args.proc = AGB_X_NULL;
	agb_rpc_call(r->rpc, ef->tag, ef->peer, &args, ef->timeout_ms);
}

/* Encodes a record as a job state, if it is one. Job states are most of the
 * records that instances send each other, so they have a compact encoding. */
static bool
encode_state(const struct wf_record *rec, agb_x_told *x)
{
	wf_job_id job;

	if (rec->len != 1 || !wf_table_parse_state_key(rec->key, job) ||
	    strlen(job) != sizeof(x->job))
		return false;
	memcpy(x->job, job, sizeof(x->job));
	x->state = (unsigned char)rec->val[0];
	return true;
}

static void
call_push(struct wf_rpc *r, const struct wf_effect *ef)
{
	const struct wf_push *const p = &ef->u.push;
	agb_x_record *list;
	size_t i, n, states_len;
	agb_x_told *states;
	agb_x_args args;

	list = agb_xcalloc(p->len + 1, sizeof(*list));
	states = agb_xcalloc(p->len + 1, sizeof(*states));
	n = states_len = 0;
	for (i = 0; i < p->len; i++) {
		if (encode_state(&p->items[i], &states[states_len])) {
			states_len++;
			continue;
		}
		list[n].key = (char *)(uintptr_t)p->items[i].key;
		list[n].revision = p->items[i].revision;
		list[n].value.value_val = p->items[i].val;
		list[n++].value.value_len = (u_int)p->items[i].len;
	}
	memset(&args, 0, sizeof(args));
	args.proc = AGB_X_PUSH;
	args.agb_x_args_u.push.forward = p->forward;
	args.agb_x_args_u.push.records.records_val = list;
	args.agb_x_args_u.push.records.records_len = (u_int)n;
	args.agb_x_args_u.push.states.states_val = states;
	args.agb_x_args_u.push.states.states_len = (u_int)states_len;
	agb_rpc_call(r->rpc, ef->tag, ef->peer, &args,
	    ef->timeout_ms > 0 ? ef->timeout_ms : PUSH_TIMEOUT_MS);
	free(states);
	free(list);
}

static void
call_put(struct wf_rpc *r, const struct wf_effect *ef)
{
	const struct wf_record *const rec = &ef->u.record;
	agb_x_args args;

	memset(&args, 0, sizeof(args));
	args.proc = AGB_X_PUT;
	args.agb_x_args_u.put.key = (char *)(uintptr_t)rec->key;
	args.agb_x_args_u.put.timeout_ms = ef->timeout_ms;
	args.agb_x_args_u.put.value.value_val = rec->val;
	args.agb_x_args_u.put.value.value_len = (u_int)rec->len;
	agb_rpc_call(r->rpc, ef->tag, ef->peer, &args, ef->timeout_ms);
}

static void
reply_put(struct wf_rpc *r, const struct wf_effect *ef)
{
	agb_x_res res;

	memset(&res, 0, sizeof(res));
	res.proc = AGB_X_PUT;
	res.agb_x_res_u.put.status = (int)ef->u.put_result.status;
	res.agb_x_res_u.put.stored = ef->u.put_result.stored;
	res.agb_x_res_u.put.revision = ef->u.put_result.revision;
	agb_rpc_reply(r->rpc, ef->tag, &res);
}

static void
call_orders(struct wf_rpc *r, const struct wf_effect *ef)
{
	const struct wf_order_batch *const o = &ef->u.orders;
	agb_x_card *cards;
	agb_x_order *list;
	agb_x_args args;
	size_t i;

	cards = agb_xcalloc(o->runners_len + 1, sizeof(*cards));
	for (i = 0; i < o->runners_len; i++) {
		cards[i].runner = o->runners[i].runner;
		cards[i].life = o->runners[i].incarnation;
		cards[i].id = o->runners[i].id;
		cards[i].addr = o->runners[i].addr;
	}
	list = agb_xcalloc(o->len + 1, sizeof(*list));
	for (i = 0; i < o->len; i++)
		encode_order(&o->items[i], &list[i]);
	memset(&args, 0, sizeof(args));
	args.proc = AGB_X_ORDERS;
	args.agb_x_args_u.orders.fence = o->fence;
	args.agb_x_args_u.orders.reply_to = (char *)(uintptr_t)o->reply_to;
	args.agb_x_args_u.orders.cards.cards_len = (u_int)o->runners_len;
	args.agb_x_args_u.orders.cards.cards_val = cards;
	args.agb_x_args_u.orders.orders.orders_len = (u_int)o->len;
	args.agb_x_args_u.orders.orders.orders_val = list;
	agb_rpc_call(r->rpc, ef->tag, ef->peer, &args, ef->timeout_ms);
	free(list);
	free(cards);
}

static void
reply_orders(struct wf_rpc *r, const struct wf_effect *ef)
{
	agb_x_res res;

	memset(&res, 0, sizeof(res));
	res.proc = AGB_X_ORDERS;
	res.agb_x_res_u.orders.taken = ef->flag;
	res.agb_x_res_u.orders.clock_us = ef->clock;
	agb_rpc_reply(r->rpc, ef->tag, &res);
}

static void
call_text(struct wf_rpc *r, const struct wf_effect *ef)
{
	agb_x_args args;

	memset(&args, 0, sizeof(args));
	args.proc = AGB_X_TEXT;
	args.agb_x_args_u.text.job = (char *)(uintptr_t)ef->u.payload.job;
	agb_rpc_call(r->rpc, ef->tag, ef->peer, &args, ef->timeout_ms);
}

static void
reply_text(struct wf_rpc *r, const struct wf_effect *ef)
{
	agb_x_res res;

	memset(&res, 0, sizeof(res));
	res.proc = AGB_X_TEXT;
	res.agb_x_res_u.text.known = ef->flag;
	res.agb_x_res_u.text.text.text_val = ef->u.payload.data;
	res.agb_x_res_u.text.text.text_len = (u_int)ef->u.payload.len;
	agb_rpc_reply(r->rpc, ef->tag, &res);
}

static void
call_results(struct wf_rpc *r, const struct wf_effect *ef)
{
	const struct wf_result_batch *const list = &ef->u.results;
	agb_x_result *encoded;
	agb_x_args args;
	size_t i;

	encoded = agb_xcalloc(list->len + 1, sizeof(*encoded));
	for (i = 0; i < list->len; i++)
		encode_result(&list->items[i], &encoded[i]);
	memset(&args, 0, sizeof(args));
	args.proc = AGB_X_RESULTS;
	args.agb_x_args_u.results.fence = list->fence;
	args.agb_x_args_u.results.results.results_len = (u_int)list->len;
	args.agb_x_args_u.results.results.results_val = encoded;
	agb_rpc_call(r->rpc, 0, ef->peer, &args, RESULTS_TIMEOUT_MS);
	for (i = 0; i < list->len; i++) {
		free(encoded[i].kept.kept_val);
		free(encoded[i].saved.saved_val);
		free(encoded[i].fresh.fresh_val);
		free(encoded[i].finished.finished_val);
	}
	free(encoded);
}

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

bool
wf_rpc_perform(struct wf_rpc *r, const struct wf_effect *ef)
{
	static void (*const handlers[])(
	    struct wf_rpc *, const struct wf_effect *) = {
	    [WF_EF_PEER_ADVICE_REQUEST] = call_advise,
	    [WF_EF_PEER_ADVICE_REPLY] = reply_advise,
	    [WF_EF_PEER_PUSH] = call_push,
	    [WF_EF_PEER_PUT] = call_put,
	    [WF_EF_PEER_PING] = call_ping,
	    [WF_EF_PUT_REPLY] = reply_put,
	    [WF_EF_ORDERS] = call_orders,
	    [WF_EF_ORDERS_REPLY] = reply_orders,
	    [WF_EF_RESULTS] = call_results,
	    [WF_EF_PAYLOAD_REQUEST] = call_text,
	    [WF_EF_PAYLOAD_REPLY] = reply_text,
	    [WF_EF_ALLOW_PEERS] = allow_peers,
	};

	if ((size_t)ef->type >= sizeof(handlers) / sizeof(handlers[0]) ||
	    handlers[ef->type] == NULL)
		return false;
	handlers[ef->type](r, ef);
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
	free(r);
}

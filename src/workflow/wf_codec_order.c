#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_codec.h"

/* Bit layout of a kept run on the wire: index in the baseline, percent and load
 * packed into 64 bits. */
#define KEPT_INDEX_SHIFT 40
#define KEPT_PERCENT_SHIFT 32
#define KEPT_PERCENT_MASK 0xff
#define KEPT_INDEX_MASK 0xffffff
/* Upper bound of the bytes of a call with results beyond the results. */
#define RESULTS_OVERHEAD (AGB_RPC_RECORD_OVERHEAD + 64)

/* ---- orders ---- */

static void
encode_task(const struct wf_task_ref *t, agb_x_task *x)
{
	memcpy(x->job, t->job, sizeof(x->job));
	x->occurrence = t->occurrence;
	x->step = t->step;
	x->index = t->index;
}

/* The wire has the digits of the job only, like the names at the runners. */
static void
decode_task(const agb_x_task *x, uint32_t run, struct wf_task_ref *t)
{
	char digits[sizeof(x->job) + 1];

	memcpy(digits, x->job, sizeof(x->job));
	digits[sizeof(x->job)] = '\0';
	memset(t, 0, sizeof(*t));
	wf_job_id_of_run(t->job, digits, run);
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
	x->incarnation = o->incarnation;
	x->send_by_us = o->send_by;
	x->deadline_ms = o->deadline_ms;
	x->timeout_ms = o->timeout_ms;
	x->body.kind = (agb_x_order_kind)o->kind;
	if (o->kind == WF_ORDER_HOLD) {
		hold->forget_seq = o->forget_seq;
		hold->known_seq = o->known_seq;
		hold->wait_ms = o->wait_ms;
		hold->is_probe = o->is_probe;
		hold->known_list = o->known_list;
		return;
	}
	encode_task(&o->task, &run->task);
	run->run = o->run;
	run->percent = o->percent;
	run->checkpoint = (char *)(uintptr_t)o->checkpoint;
	run->ticket = (char *)(uintptr_t)o->ticket;
	run->origin = (char *)(uintptr_t)o->origin;
	run->payload.payload_len = (u_int)o->payload_len;
	run->payload.payload_val = o->payload;
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
	o->incarnation = x->incarnation;
	o->send_by = x->send_by_us;
	o->deadline_ms = x->deadline_ms;
	o->timeout_ms = x->timeout_ms;
	if (o->kind == WF_ORDER_HOLD) {
		o->forget_seq = hold->forget_seq;
		o->known_seq = hold->known_seq;
		o->wait_ms = hold->wait_ms;
		o->is_probe = hold->is_probe;
		o->known_list = hold->known_list;
		return true;
	}
	decode_task(&run->task, run->run, &o->task);
	o->run = run->run;
	o->percent = run->percent;
	agb_str_copy(o->checkpoint, sizeof(o->checkpoint), run->checkpoint);
	agb_str_copy(o->ticket, sizeof(o->ticket), run->ticket);
	agb_str_copy(o->origin, sizeof(o->origin), run->origin);
	if (run->payload.payload_len == 0)
		return true;
	o->payload =
	    agb_xmemdup(run->payload.payload_val, run->payload.payload_len);
	o->payload_len = run->payload.payload_len;
	return true;
}

void
wf_codec_encode_orders(const struct wf_effect *ef, agb_x_args *args)
{
	const struct wf_order_batch *const o = &ef->u.orders;
	agb_x_orders_args *const x = &args->agb_x_args_u.orders;
	agb_x_runner_addr *runners;
	agb_x_order *orders;
	size_t i;

	runners = agb_xcalloc(o->runners_len + 1, sizeof(*runners));
	for (i = 0; i < o->runners_len; i++) {
		runners[i].runner = o->runners[i].runner;
		runners[i].incarnation = o->runners[i].incarnation;
		runners[i].id = o->runners[i].id;
		runners[i].addr = o->runners[i].addr;
	}
	orders = agb_xcalloc(o->len + 1, sizeof(*orders));
	for (i = 0; i < o->len; i++)
		encode_order(&o->items[i], &orders[i]);
	wf_codec_init_args(args, AGB_X_ORDERS);
	x->fence = o->fence;
	x->reply_to = (char *)(uintptr_t)o->reply_to;
	x->runners.runners_len = (u_int)o->runners_len;
	x->runners.runners_val = runners;
	x->orders.orders_len = (u_int)o->len;
	x->orders.orders_val = orders;
}

size_t
wf_codec_decode_orders(const agb_x_orders_args *x, struct wf_order_batch *o)
{
	size_t i;

	memset(o, 0, sizeof(*o));
	o->fence = x->fence;
	agb_str_copy(o->reply_to, sizeof(o->reply_to), x->reply_to);
	o->runners_len = x->runners.runners_len;
	o->runners = agb_xcalloc(o->runners_len + 1, sizeof(*o->runners));
	for (i = 0; i < o->runners_len; i++) {
		o->runners[i].runner = x->runners.runners_val[i].runner;
		o->runners[i].incarnation =
		    x->runners.runners_val[i].incarnation;
		agb_str_copy(o->runners[i].id, sizeof(o->runners[i].id),
		    x->runners.runners_val[i].id);
		agb_str_copy(o->runners[i].addr, sizeof(o->runners[i].addr),
		    x->runners.runners_val[i].addr);
	}
	o->items = agb_xcalloc(x->orders.orders_len + 1, sizeof(*o->items));
	for (i = 0; i < x->orders.orders_len; i++) {
		if (decode_order(&x->orders.orders_val[i], &o->items[o->len]))
			o->len++;
	}
	return x->orders.orders_len - o->len;
}

void
wf_codec_encode_orders_ack(const struct wf_effect *ef, agb_x_res *res)
{
	wf_codec_init_res(res, AGB_X_ORDERS);
	res->agb_x_res_u.orders.accepted = ef->flag;
	res->agb_x_res_u.orders.clock_us = ef->clock;
}

void
wf_codec_decode_orders_ack(
    const agb_x_res *res, bool sent, struct wf_orders_ack *ack)
{
	memset(ack, 0, sizeof(*ack));
	ack->answered = res != NULL;
	ack->may_have_arrived = sent;
	if (res == NULL)
		return;
	ack->accepted = res->agb_x_res_u.orders.accepted;
	ack->peer_clock = res->agb_x_res_u.orders.clock_us;
}

/* ---- results of orders ---- */

static void
encode_active(const struct wf_active_run *a, agb_x_active_run *x)
{
	encode_task(&a->task, &x->task);
	x->run = a->run;
	x->percent = a->percent;
	x->load = a->load;
	x->checkpoint = (char *)(uintptr_t)a->checkpoint;
}

static void
decode_active(const agb_x_active_run *x, struct wf_active_run *a)
{
	decode_task(&x->task, x->run, &a->task);
	a->run = x->run;
	a->percent = x->percent;
	a->load = x->load;
	agb_str_copy(a->checkpoint, sizeof(a->checkpoint), x->checkpoint);
}

static void
encode_finished(const struct wf_finished_run *f, agb_x_finished_run *x)
{
	x->seq = f->seq;
	encode_task(&f->task, &x->task);
	x->run = f->run;
	x->end = f->end;
	x->checkpoint = (char *)(uintptr_t)f->checkpoint;
}

static bool
decode_finished(const agb_x_finished_run *x, struct wf_finished_run *f)
{
	f->seq = x->seq;
	decode_task(&x->task, x->run, &f->task);
	f->run = x->run;
	f->end = (enum wf_run_end)x->end;
	agb_str_copy(f->checkpoint, sizeof(f->checkpoint), x->checkpoint);
	return x->end <= WF_END_GANG_TIMEOUT;
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
	x->started_ms = r->started_ms;
	x->clock_ms = r->clock_ms;
	x->base_list = r->base_list;
	x->list = r->list;
	x->kept.kept_len = (u_int)r->kept_len;
	x->kept.kept_val =
	    agb_xcalloc(r->kept_len + 1, sizeof(*x->kept.kept_val));
	for (i = 0; i < r->kept_len; i++)
		x->kept.kept_val[i] = encode_kept(&r->kept[i]);
	x->checkpoints.checkpoints_len = (u_int)r->checkpoints_len;
	x->checkpoints.checkpoints_val = agb_xcalloc(
	    r->checkpoints_len + 1, sizeof(*x->checkpoints.checkpoints_val));
	for (i = 0; i < r->checkpoints_len; i++) {
		x->checkpoints.checkpoints_val[i].index =
		    r->checkpoints[i].index;
		x->checkpoints.checkpoints_val[i].checkpoint =
		    r->checkpoints[i].checkpoint;
	}
	x->new_runs.new_runs_len = (u_int)r->new_runs_len;
	x->new_runs.new_runs_val =
	    agb_xcalloc(r->new_runs_len + 1, sizeof(*x->new_runs.new_runs_val));
	for (i = 0; i < r->new_runs_len; i++)
		encode_active(&r->new_runs[i], &x->new_runs.new_runs_val[i]);
	x->finished.finished_len = (u_int)r->finished_len;
	x->finished.finished_val =
	    agb_xcalloc(r->finished_len + 1, sizeof(*x->finished.finished_val));
	for (i = 0; i < r->finished_len; i++)
		encode_finished(&r->finished[i], &x->finished.finished_val[i]);
}

static void
result_free(agb_x_result *x)
{
	free(x->kept.kept_val);
	free(x->checkpoints.checkpoints_val);
	free(x->new_runs.new_runs_val);
	free(x->finished.finished_val);
}

size_t
wf_codec_result_size(const struct wf_relayed_result *r)
{
	agb_x_result x;
	size_t size;

	encode_result(r, &x);
	/* It is 0 when a list is longer than the protocol allows. */
	size = xdr_sizeof((xdrproc_t)xdr_agb_x_result, &x);
	result_free(&x);
	return size + RESULTS_OVERHEAD <= AGB_RPC_RECORD_MAX ? size : 0;
}

static bool
decode_result(const agb_x_result *x, struct wf_relayed_result *r)
{
	bool ok = x->status <= WF_ORDER_NO_PAYLOAD;
	size_t i;

	memset(r, 0, sizeof(*r));
	r->number = x->number;
	r->status = (enum wf_order_status)x->status;
	r->started_ms = x->started_ms;
	r->clock_ms = x->clock_ms;
	r->base_list = x->base_list;
	r->list = x->list;
	r->kept_len = x->kept.kept_len;
	r->kept = agb_xcalloc(r->kept_len + 1, sizeof(*r->kept));
	for (i = 0; i < r->kept_len; i++)
		decode_kept(x->kept.kept_val[i], &r->kept[i]);
	r->checkpoints_len = x->checkpoints.checkpoints_len;
	r->checkpoints =
	    agb_xcalloc(r->checkpoints_len + 1, sizeof(*r->checkpoints));
	for (i = 0; i < r->checkpoints_len; i++) {
		r->checkpoints[i].index =
		    x->checkpoints.checkpoints_val[i].index;
		agb_str_copy(r->checkpoints[i].checkpoint,
		    sizeof(r->checkpoints[i].checkpoint),
		    x->checkpoints.checkpoints_val[i].checkpoint);
	}
	r->new_runs_len = x->new_runs.new_runs_len;
	r->new_runs = agb_xcalloc(r->new_runs_len + 1, sizeof(*r->new_runs));
	for (i = 0; i < r->new_runs_len; i++)
		decode_active(&x->new_runs.new_runs_val[i], &r->new_runs[i]);
	r->finished_len = x->finished.finished_len;
	r->finished = agb_xcalloc(r->finished_len + 1, sizeof(*r->finished));
	for (i = 0; i < r->finished_len; i++)
		ok = decode_finished(
			 &x->finished.finished_val[i], &r->finished[i]) &&
		    ok;
	return ok;
}

void
wf_codec_encode_results(const struct wf_effect *ef, agb_x_args *args)
{
	const struct wf_result_batch *const r = &ef->u.results;
	agb_x_results_args *const x = &args->agb_x_args_u.results;
	agb_x_result *results;
	size_t i;

	results = agb_xcalloc(r->len + 1, sizeof(*results));
	for (i = 0; i < r->len; i++)
		encode_result(&r->items[i], &results[i]);
	wf_codec_init_args(args, AGB_X_RESULTS);
	x->fence = r->fence;
	x->results.results_len = (u_int)r->len;
	x->results.results_val = results;
}

size_t
wf_codec_decode_results(const agb_x_results_args *x, struct wf_result_batch *r)
{
	size_t i, malformed = 0;

	memset(r, 0, sizeof(*r));
	r->fence = x->fence;
	r->len = x->results.results_len;
	r->items = agb_xcalloc(r->len + 1, sizeof(*r->items));
	for (i = 0; i < r->len; i++) {
		if (decode_result(&x->results.results_val[i], &r->items[i]))
			continue;
		/* A malformed result gives no evidence whether the order was
		 * carried out. */
		r->items[i].status = WF_ORDER_LOST;
		malformed++;
	}
	return malformed;
}

void
wf_codec_results_free(agb_x_results_args *x)
{
	size_t i;

	for (i = 0; i < x->results.results_len; i++)
		result_free(&x->results.results_val[i]);
	free(x->results.results_val);
}

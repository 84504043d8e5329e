#include "wf_codec.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* A job state on the wire: the state in the lowest bits, above it the tag of the
 * job's route, which earlier versions ignore. */
#define STATE_BITS (32 - WF_ROUTE_TAG_BITS)
#define STATE_MASK (((uint32_t)1 << STATE_BITS) - 1)

void
wf_codec_init_args(agb_x_args *args, agb_x_proc proc)
{
	memset(args, 0, sizeof(*args));
	args->proc = proc;
}

void
wf_codec_init_res(agb_x_res *res, agb_x_proc proc)
{
	memset(res, 0, sizeof(*res));
	res->proc = proc;
}

/* ---- payloads ---- */

void
wf_codec_encode_payload_request(const struct wf_effect *ef, agb_x_args *args)
{
	wf_codec_init_args(args, AGB_X_PAYLOAD);
	args->agb_x_args_u.payload.job = (char *)(uintptr_t)ef->u.payload.job;
}

void
wf_codec_encode_payload(const struct wf_effect *ef, agb_x_res *res)
{
	agb_x_payload_res *const x = &res->agb_x_res_u.payload;

	wf_codec_init_res(res, AGB_X_PAYLOAD);
	x->known = ef->flag;
	x->payload.payload_val = ef->u.payload.data;
	x->payload.payload_len = (u_int)ef->u.payload.len;
}

bool
wf_codec_decode_payload(const agb_x_res *res, struct wf_payload *p)
{
	memset(p, 0, sizeof(*p));
	if (res == NULL)
		return false;
	p->data = res->agb_x_res_u.payload.payload.payload_val;
	p->len = res->agb_x_res_u.payload.payload.payload_len;
	return res->agb_x_res_u.payload.known;
}

/* ---- advice ---- */

void
wf_codec_encode_advice_request(const struct wf_effect *ef, agb_x_args *args)
{
	const struct wf_advice_request *const ask = &ef->u.advice_request;
	agb_x_advise_args *const x = &args->agb_x_args_u.advise;
	size_t i;

	wf_codec_init_args(args, AGB_X_ADVISE);
	x->job = (char *)(uintptr_t)ask->step.job;
	x->occurrence = ask->step.occurrence;
	x->step = ask->step.step;
	x->timeout_ms = ask->timeout_ms;
	x->runners.runners_len = (u_int)ask->runners_len;
	x->runners.runners_val =
	    agb_xcalloc(ask->runners_len + 1, sizeof(*x->runners.runners_val));
	for (i = 0; i < ask->runners_len; i++)
		x->runners.runners_val[i] = ask->runners[i];
}

void
wf_codec_decode_advice_request(
    const agb_x_advise_args *x, struct wf_advice_request *ask)
{
	size_t i;

	memset(ask, 0, sizeof(*ask));
	agb_str_copy(ask->step.job, sizeof(ask->step.job), x->job);
	ask->step.occurrence = x->occurrence;
	ask->step.step = x->step;
	ask->timeout_ms = x->timeout_ms;
	ask->runners_len = x->runners.runners_len;
	ask->runners = agb_xcalloc(ask->runners_len + 1, sizeof(agb_id));
	for (i = 0; i < ask->runners_len; i++)
		agb_str_copy(
		    ask->runners[i], sizeof(agb_id), x->runners.runners_val[i]);
}

void
wf_codec_encode_advice(const struct wf_effect *ef, agb_x_res *res)
{
	const struct wf_advice *const a = &ef->u.advice;
	agb_x_advise_res *const x = &res->agb_x_res_u.advise;
	agb_x_ticket *tickets;
	size_t i;

	tickets = agb_xcalloc(a->items_len + 1, sizeof(*tickets));
	for (i = 0; i < a->items_len; i++) {
		tickets[i].runner = a->items[i].runner;
		tickets[i].ticket = a->items[i].ticket;
	}
	wf_codec_init_res(res, AGB_X_ADVISE);
	x->answered = a->answered;
	x->busy = a->busy;
	x->valid_ms = a->valid_ms;
	x->tickets.tickets_len = (u_int)a->items_len;
	x->tickets.tickets_val = tickets;
}

void
wf_codec_decode_advice(const agb_x_res *res, struct wf_advice *a)
{
	const agb_x_advise_res *x;
	size_t i;

	memset(a, 0, sizeof(*a));
	if (res == NULL || res->proc != AGB_X_ADVISE)
		return;
	x = &res->agb_x_res_u.advise;
	a->answered = x->answered;
	a->busy = x->busy;
	a->valid_ms = x->valid_ms;
	a->items_len = x->tickets.tickets_len;
	a->items = agb_xcalloc(a->items_len + 1, sizeof(*a->items));
	for (i = 0; i < a->items_len; i++) {
		agb_str_copy(a->items[i].runner, sizeof(agb_id),
		    x->tickets.tickets_val[i].runner);
		agb_str_copy(a->items[i].ticket, sizeof(agb_id),
		    x->tickets.tickets_val[i].ticket);
	}
}

/* ---- pushes ---- */

/* Encodes a record as a job state, if it is one. Job states are most of the
 * records that instances send each other, so they have a compact encoding. */
static bool
encode_state(const struct wf_record *rec, agb_x_job_state *x)
{
	wf_job_id job;

	uint32_t route_tag;
	unsigned state;

	if (!wf_table_parse_state_key(rec->key, job) ||
	    strlen(job) != sizeof(x->job))
		return false;
	state = wf_table_decode_pushed_state(rec->val, rec->len, &route_tag);
	if (state > STATE_MASK)
		return false;
	memcpy(x->job, job, sizeof(x->job));
	x->state = state | route_tag << STATE_BITS;
	return true;
}

static void
decode_state(
    const agb_x_job_state *x, struct wf_codec_state *t, struct agb_store_kv *kv)
{
	wf_job_id job;

	memcpy(job, x->job, sizeof(x->job));
	job[sizeof(x->job)] = '\0';
	wf_table_make_key(t->key, 'v', job);
	kv->key = t->key;
	kv->val = t->state;
	kv->val_len = wf_table_encode_pushed_state(t->state,
	    (enum wf_job_state)(x->state & STATE_MASK), x->state >> STATE_BITS);
}

void
wf_codec_encode_push(const struct wf_effect *ef, agb_x_args *args)
{
	const struct wf_push *const p = &ef->u.push;
	agb_x_push_args *const x = &args->agb_x_args_u.push;
	size_t i, records_len = 0, states_len = 0;
	agb_x_record *records;
	agb_x_job_state *states;

	records = agb_xcalloc(p->len + 1, sizeof(*records));
	states = agb_xcalloc(p->len + 1, sizeof(*states));
	for (i = 0; i < p->len; i++) {
		if (encode_state(&p->items[i], &states[states_len])) {
			states_len++;
			continue;
		}
		records[records_len].key = (char *)(uintptr_t)p->items[i].key;
		records[records_len].revision = p->items[i].revision;
		records[records_len].value.value_val = p->items[i].val;
		records[records_len++].value.value_len = (u_int)p->items[i].len;
	}
	wf_codec_init_args(args, AGB_X_PUSH);
	x->forward = p->forward;
	x->records.records_val = records;
	x->records.records_len = (u_int)records_len;
	x->states.states_val = states;
	x->states.states_len = (u_int)states_len;
}

void
wf_codec_decode_push(const agb_x_push_args *x, struct wf_codec_push *p)
{
	const agb_x_record *rec;
	size_t i;

	p->len = x->records.records_len;
	p->items =
	    agb_xcalloc(p->len + x->states.states_len + 1, sizeof(*p->items));
	p->states = agb_xcalloc(x->states.states_len + 1, sizeof(*p->states));
	for (i = 0; i < p->len; i++) {
		rec = &x->records.records_val[i];
		p->items[i].key = rec->key;
		p->items[i].val = rec->value.value_val;
		p->items[i].val_len = rec->value.value_len;
		p->items[i].mod_rev = rec->revision;
		p->items[i].create_rev = rec->revision;
	}
	for (i = 0; i < x->states.states_len; i++)
		decode_state(&x->states.states_val[i], &p->states[i],
		    &p->items[p->len++]);
}

void
wf_codec_push_free(struct wf_codec_push *p)
{
	free(p->states);
	free(p->items);
	memset(p, 0, sizeof(*p));
}

/* ---- writes through another instance ---- */

void
wf_codec_encode_put(const struct wf_effect *ef, agb_x_args *args)
{
	const struct wf_record *const rec = &ef->u.record;
	agb_x_put_args *const x = &args->agb_x_args_u.put;

	wf_codec_init_args(args, AGB_X_PUT);
	x->key = (char *)(uintptr_t)rec->key;
	x->timeout_ms = ef->timeout_ms;
	x->value.value_val = rec->val;
	x->value.value_len = (u_int)rec->len;
}

void
wf_codec_decode_put(const agb_x_put_args *x, struct wf_put_request *put)
{
	put->key = x->key;
	put->val = x->value.value_val;
	put->len = x->value.value_len;
	put->timeout_ms = x->timeout_ms;
}

void
wf_codec_encode_put_result(const struct wf_effect *ef, agb_x_res *res)
{
	agb_x_put_res *const x = &res->agb_x_res_u.put;

	wf_codec_init_res(res, AGB_X_PUT);
	x->status = (int)ef->u.put_result.status;
	x->stored = ef->u.put_result.stored;
	x->revision = ef->u.put_result.revision;
}

/* A write with an unknown outcome may have been carried out. */
static enum agb_store_status
decode_store_status(int status)
{
	return status == AGB_STORE_OK || status == AGB_STORE_REFUSED
	    ? (enum agb_store_status)status
	    : AGB_STORE_LOST;
}

void
wf_codec_decode_put_result(
    const agb_x_res *res, bool sent, struct agb_store_result *store)
{
	memset(store, 0, sizeof(*store));
	store->status = sent ? AGB_STORE_LOST : AGB_STORE_REFUSED;
	if (res == NULL)
		return;
	store->status = decode_store_status(res->agb_x_res_u.put.status);
	store->succeeded = res->agb_x_res_u.put.stored;
	store->revision = res->agb_x_res_u.put.revision;
}

/* ---- all procedures ---- */

void
wf_codec_encode_ping(const struct wf_effect *ef, agb_x_args *args)
{
	wf_codec_init_args(args, AGB_X_NULL);
}

void
wf_codec_args_free(agb_x_args *args)
{
	switch (args->proc) {
	case AGB_X_ADVISE:
		free(args->agb_x_args_u.advise.runners.runners_val);
		break;
	case AGB_X_PUSH:
		free(args->agb_x_args_u.push.records.records_val);
		free(args->agb_x_args_u.push.states.states_val);
		break;
	case AGB_X_ORDERS:
		free(args->agb_x_args_u.orders.runners.runners_val);
		free(args->agb_x_args_u.orders.orders.orders_val);
		break;
	case AGB_X_RESULTS:
		wf_codec_results_free(&args->agb_x_args_u.results);
		break;
	default:
		break;
	}
}

void
wf_codec_res_free(agb_x_res *res)
{
	if (res->proc == AGB_X_ADVISE)
		free(res->agb_x_res_u.advise.tickets.tickets_val);
}

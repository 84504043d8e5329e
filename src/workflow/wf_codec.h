#ifndef WF_CODEC_H
#define WF_CODEC_H

/**
 * DOC: wf_codec
 *
 * Messages between instances: encodes effects of the reducer as arguments and
 * results of procedures, and decodes them to what its events carry.
 *
 * Orders and their results are in wf_codec_order.c, all others in wf_codec.c.
 *
 * Encoded messages and decoded strings point into what they were made from.
 * Encoders take the effect whose payload they encode.
 */

#include "rpcmsg.h"
#include "wf_event.h"
#include "wf_table.h"

/**
 * wf_codec_init_args() - initialize the arguments of a procedure to zero
 */
void wf_codec_init_args(agb_x_args *args, agb_x_proc proc);

/**
 * wf_codec_init_res() - initialize the result of a procedure to zero
 */
void wf_codec_init_res(agb_x_res *res, agb_x_proc proc);

/**
 * wf_codec_args_free() - free the arrays of encoded arguments
 */
void wf_codec_args_free(agb_x_args *args);

/**
 * wf_codec_res_free() - free the arrays of an encoded result
 */
void wf_codec_res_free(agb_x_res *res);

void wf_codec_encode_ping(const struct wf_effect *ef, agb_x_args *args);

/* ---- orders ---- */

void wf_codec_encode_orders(const struct wf_effect *ef, agb_x_args *args);

/**
 * wf_codec_decode_orders() - decode orders; malformed ones are left out
 * @o: freed by the caller
 * Return: number of malformed orders.
 */
size_t wf_codec_decode_orders(
    const agb_x_orders_args *x, struct wf_order_batch *o);

void wf_codec_encode_orders_ack(const struct wf_effect *ef, agb_x_res *res);

/**
 * wf_codec_decode_orders_ack() - decode the reply to orders
 * @res: NULL when there is none
 * @sent: the peer may have received the orders
 */
void wf_codec_decode_orders_ack(
    const agb_x_res *res, bool sent, struct wf_orders_ack *ack);

/* ---- results of orders ---- */

void wf_codec_encode_results(const struct wf_effect *ef, agb_x_args *args);

/**
 * wf_codec_result_size() - bytes that a result takes in the call that carries it
 * Return: 0 when no message can hold the result.
 */
size_t wf_codec_result_size(const struct wf_relayed_result *r);

/**
 * wf_codec_decode_results() - decode results; malformed ones get the status
 * WF_ORDER_LOST
 * @r: freed by the caller
 * Return: number of malformed results.
 */
size_t wf_codec_decode_results(
    const agb_x_results_args *x, struct wf_result_batch *r);

/**
 * wf_codec_results_free() - free the arrays of encoded results
 */
void wf_codec_results_free(agb_x_results_args *x);

/* ---- payloads ---- */

void wf_codec_encode_payload_request(
    const struct wf_effect *ef, agb_x_args *args);
void wf_codec_encode_payload(const struct wf_effect *ef, agb_x_res *res);

/**
 * wf_codec_decode_payload() - decode the reply to a request for a payload
 * @res: NULL when there is none
 * Return: whether the peer has the payload.
 */
bool wf_codec_decode_payload(const agb_x_res *res, struct wf_payload *p);

/* ---- advice ---- */

void wf_codec_encode_advice_request(
    const struct wf_effect *ef, agb_x_args *args);

/**
 * wf_codec_decode_advice_request() - decode a request for advice
 * @ask: the caller frees its runners
 */
void wf_codec_decode_advice_request(
    const agb_x_advise_args *x, struct wf_advice_request *ask);

void wf_codec_encode_advice(const struct wf_effect *ef, agb_x_res *res);

/**
 * wf_codec_decode_advice() - decode the reply to a request for advice
 * @res: NULL when there is none
 * @a: the caller frees its items
 */
void wf_codec_decode_advice(const agb_x_res *res, struct wf_advice *a);

/* ---- pushes ---- */

/* Storage of the key and the value of a record made from a job state. */
struct wf_codec_state {
	char key[WF_KEY_MAX];
	char state[WF_PUSHED_STATE_MAX];
};

/**
 * struct wf_codec_push - decoded push
 * @items: records, among them those made from @states
 */
struct wf_codec_push {
	struct agb_store_kv *items;
	size_t len;
	struct wf_codec_state *states;
};

void wf_codec_encode_push(const struct wf_effect *ef, agb_x_args *args);
void wf_codec_decode_push(const agb_x_push_args *x, struct wf_codec_push *p);
void wf_codec_push_free(struct wf_codec_push *p);

/* ---- writes through another instance ---- */

void wf_codec_encode_put(const struct wf_effect *ef, agb_x_args *args);
void wf_codec_decode_put(const agb_x_put_args *x, struct wf_put_request *put);
void wf_codec_encode_put_result(const struct wf_effect *ef, agb_x_res *res);

/**
 * wf_codec_decode_put_result() - decode the reply to a write made through
 * another instance, as the result of a write to the store
 * @res: NULL when there is none
 * @sent: the peer may have carried out the write
 */
void wf_codec_decode_put_result(
    const agb_x_res *res, bool sent, struct agb_store_result *store);

#endif

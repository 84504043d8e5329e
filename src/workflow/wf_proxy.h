#ifndef WF_PROXY_H
#define WF_PROXY_H

/**
 * DOC: wf_proxy
 *
 * Calls that this instance makes on behalf of peers: writes of records for
 * instances that cannot reach the store, and calls to the advice service for
 * the leader. Each is answered once, by the token of the peer's request.
 */

#include "wf_event.h"

/* Set in the tags of calls to the advice service, and of writes, that are made
 * for peers. */
#define WF_PROXY_ADVICE_TAG ((uint64_t)1 << 61)
#define WF_PROXY_PUT_TAG ((uint64_t)1 << 60)

struct wf_proxy;

struct wf_proxy *wf_proxy_new(void);

/**
 * wf_proxy_free() - free the state; pending calls are not awaited
 * @p: may be NULL
 */
void wf_proxy_free(struct wf_proxy *p);

/**
 * wf_proxy_put() - write a record for a peer, if its key does not exist
 * @store_silent: the store does not answer this instance, so that the request
 *	is rejected
 */
void wf_proxy_put(struct wf_proxy *p, uint64_t token,
    const struct wf_put_request *put, bool store_silent,
    struct wf_effects *out);

/**
 * wf_proxy_put_done() - pass the result of a write on to the peer
 * @stored: set to the record when it was stored now; the caller frees its value
 * Return: whether @stored was set.
 */
bool wf_proxy_put_done(struct wf_proxy *p, uint64_t tag,
    const struct agb_store_result *res, struct wf_record *stored,
    struct wf_effects *out);

/**
 * wf_proxy_request_advice() - call the advice service for a peer
 */
void wf_proxy_request_advice(struct wf_proxy *p, uint64_t token,
    const struct wf_advice_request *req, struct wf_effects *out);

/**
 * wf_proxy_advice_done() - pass the reply of the advice service on to the peer
 */
void wf_proxy_advice_done(struct wf_proxy *p, uint64_t tag,
    const struct wf_advice *advice, struct wf_effects *out);

#endif

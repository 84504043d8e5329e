#ifndef WF_ADAPTER_H
#define WF_ADAPTER_H

/**
 * DOC: wf_adapter
 *
 * What the daemon needs from the code that speaks to a platform. An adapter
 * translates names, formats and calls, and decides nothing.
 */

#include <uv.h>

#include "httpc.h"
#include "wf_event.h"
#include "wf_httpd.h"
#include "wf_settings.h"

struct wf_adapter;

/**
 * struct wf_adapter_cbs - results; what they point to is the adapter's
 */
struct wf_adapter_cbs {
	void (*order)(void *arg, struct wf_order_result *res);
	void (*advice)(void *arg, uint64_t tag, struct wf_advice *a);
};

/**
 * struct wf_adapter_ops - a platform
 * @store: client of its store
 * @registry_prefix: keys of the store under which runners are listed
 * @document_prefix: keys under which the document lies
 * @deadline_header: request header with the caller's deadline, lower case
 * @runner_get: reads an entry of the registry
 *	Return: false when it names no runner to use; @fault says why.
 * @document_get: reads the document
 *	Return: NULL when the key is not the document or cannot be read;
 *	@fault is "" in the first case.
 * @call_get: reads a request
 *	Return: false when it is none that callers may make.
 * @reply_put: body and status of an answer
 * @order, @advise: send, and report by the callbacks
 * @free: ends all without further callbacks
 */
struct wf_adapter_ops {
	const char *registry_prefix;
	const char *document_prefix;
	const char *deadline_header;
	struct agb_store *(*store)(uv_loop_t *loop, const char *addr,
	    agb_store_cb cb, agb_store_watch_cb watch_cb, void *arg);
	struct wf_adapter *(*open)(uv_loop_t *loop, const struct wf_settings *s,
	    const struct wf_adapter_cbs *cbs, void *arg);
	bool (*runner_get)(const struct agb_store_kv *kv,
	    struct wf_runner_info *out, char fault[AGB_DETAIL_LEN]);
	struct wf_doc *(*document_get)(
	    const struct agb_store_kv *kv, char fault[AGB_DETAIL_LEN]);
	bool (*call_get)(const struct wf_http_req *req, struct wf_call *out);
	char *(*reply_put)(
	    const struct wf_reply *r, size_t *len, const char **type);
	void (*order)(struct wf_adapter *a, const struct wf_order *o);
	void (*advise)(struct wf_adapter *a, uint64_t tag,
	    const struct wf_advice_request *ask, uint32_t timeout_ms);
	struct agb_httpc_bytes (*bytes)(const struct wf_adapter *a);
	void (*free)(struct wf_adapter *a);
};

/**
 * struct wf_adapter - base of an adapter
 * @ops: must stay the first member
 */
struct wf_adapter {
	const struct wf_adapter_ops *ops;
};

#endif

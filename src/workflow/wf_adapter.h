#ifndef WF_ADAPTER_H
#define WF_ADAPTER_H

/**
 * DOC: wf_adapter
 *
 * Interface between the daemon and the adapter to a platform. An adapter
 * converts names, formats and calls and makes no decisions.
 */

#include <uv.h>

#include "httpc.h"
#include "wf_event.h"
#include "wf_httpd.h"
#include "wf_settings.h"

struct wf_adapter;

/**
 * struct wf_adapter_cbs - callbacks with results
 * @order_result: called once for each order
 * @advice: called once for each request, with its tag; unanswered when the
 *	service failed
 *
 * The adapter owns what the pointers refer to; it is valid during the call.
 */
struct wf_adapter_cbs {
	void (*order_result)(void *arg, struct wf_order_result *res);
	void (*advice)(void *arg, uint64_t tag, struct wf_advice *a);
};

/**
 * struct wf_adapter_ops - operations of a platform
 * @registry_prefix: prefix of the store keys that hold the runner registry
 * @document_prefix: prefix of the store keys that include the configuration
 *	document
 * @deadline_header: request header with the time that the client waits, in
 *	lower case
 * @key_header: request header with a key of the client's account, in lower case
 * @open_store: creates a client of the platform's store
 * @open: creates the adapter, which reports to @cbs
 * @parse_runner: reads an entry of the runner registry
 *	Return: false when the runner cannot be used; @fault is the reason.
 * @parse_document: reads the configuration document
 *	Return: NULL when the key is not the document, with "" in @fault, or
 *	when the document is malformed, with the reason in @fault.
 * @parse_call: converts an HTTP request to a call
 *	Return: false when clients may not use its method.
 * @format_reply: writes the body of a response and sets its content type
 *	Return: a new string, freed by the caller.
 * @send_order, @request_advice: return at once; a callback has the result
 * @runner_bytes: bytes sent to and received from runners
 * @free: cancels everything without further callbacks and frees the adapter
 */
struct wf_adapter_ops {
	const char *registry_prefix;
	const char *document_prefix;
	const char *deadline_header;
	const char *key_header;
	struct agb_store *(*open_store)(uv_loop_t *loop, const char *addr,
	    agb_store_cb cb, agb_store_watch_cb watch_cb, void *arg);
	struct wf_adapter *(*open)(uv_loop_t *loop, const struct wf_settings *s,
	    const struct wf_adapter_cbs *cbs, void *arg);
	bool (*parse_runner)(const struct agb_store_kv *kv,
	    struct wf_runner_info *out, char fault[AGB_DETAIL_LEN]);
	struct wf_doc *(*parse_document)(
	    const struct agb_store_kv *kv, char fault[AGB_DETAIL_LEN]);
	bool (*parse_call)(const struct wf_http_req *req, struct wf_call *out);
	char *(*format_reply)(
	    const struct wf_reply *r, size_t *len, const char **type);
	void (*send_order)(struct wf_adapter *a, const struct wf_order *o);
	void (*request_advice)(struct wf_adapter *a, uint64_t tag,
	    const struct wf_advice_request *req, uint32_t timeout_ms);
	struct agb_httpc_bytes (*runner_bytes)(const struct wf_adapter *a);
	void (*free)(struct wf_adapter *a);
};

/**
 * struct wf_adapter - base that each adapter embeds as its first member
 */
struct wf_adapter {
	const struct wf_adapter_ops *ops;
};

#endif

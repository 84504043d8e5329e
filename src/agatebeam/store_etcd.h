#ifndef AGB_STORE_ETCD_H
#define AGB_STORE_ETCD_H

/**
 * DOC: store_etcd
 *
 * Store client for the JSON mapping of the etcd v3 interface over HTTP.
 *
 * A call that certainly was not sent is tried on each endpoint in turn
 * within its time and then reported as AGB_STORE_REFUSED; so is one that the
 * store refuses. A call that was sent and has no complete, well-formed
 * answer is AGB_STORE_LOST.
 *
 * A watch from a revision reports only changes. A watch from now (from_rev
 * 0) first reports no keys with the revision that it starts after. The
 * revision of a report is that of its last change, so that a new watch from
 * the next revision misses nothing.
 */

#include <uv.h>

#include "httpc.h"
#include "store.h"

/**
 * agb_store_etcd_new() - client without connections
 * @endpoints: addresses such as "10.0.0.1:2379", copied
 * @len: their number, at least 1
 * Return: the base; its operations are in ops.
 */
struct agb_store *agb_store_etcd_new(uv_loop_t *loop, const agb_addr *endpoints,
    size_t len, agb_store_cb cb, agb_store_watch_cb watch_cb, void *arg);

/**
 * agb_store_etcd_parse_response() - parse the body of an answer
 * @op: the call that it answers
 * @out: set to the result, with status OK, on success
 * Return: false when the body is not a well-formed answer to @op.
 */
bool agb_store_etcd_parse_response(const struct agb_store_op *op,
    const char *body, size_t len, struct agb_store_result *out);

struct json_object;

/**
 * struct agb_store_etcd_watch_msg - what one message of a watch says
 * @created: the watch has begun, after @revision
 * @broken: the store has ended the watch
 */
struct agb_store_etcd_watch_msg {
	struct agb_store_kv *kvs;
	size_t kvs_len;
	uint64_t revision;
	bool created;
	bool broken;
};

/**
 * agb_store_etcd_parse_watch() - read one message of a watch
 * @out: zeroed and filled; its keys are freed by the caller, also on failure
 * Return: false when the message is malformed.
 */
bool agb_store_etcd_parse_watch(
    struct json_object *msg, struct agb_store_etcd_watch_msg *out);

/**
 * agb_store_etcd_bytes() - HTTP traffic so far
 * @s: made by agb_store_etcd_new()
 */
struct agb_httpc_bytes agb_store_etcd_bytes(const struct agb_store *s);

#endif

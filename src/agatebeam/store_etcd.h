#ifndef AGB_STORE_ETCD_H
#define AGB_STORE_ETCD_H

/**
 * DOC: store_etcd
 *
 * Store client for the JSON mapping of the etcd v3 API over HTTP.
 *
 * A call that was not sent is retried on each endpoint in turn until its
 * timeout, and then reported as AGB_STORE_REFUSED, as is a call that the store
 * rejects. A call that was sent but has no complete, well-formed answer is
 * reported as AGB_STORE_LOST.
 *
 * A watch from a given revision reports only changes. A watch from the present
 * revision (from_rev is 0) first reports an empty list with the revision after
 * which it starts. The revision of a report is that of its last change, so a
 * new watch from the next revision misses no change.
 */

#include <uv.h>

#include "httpc.h"
#include "store.h"

/**
 * agb_store_etcd_new() - create a client; it connects on the first call
 * @endpoints: addresses such as "10.0.0.1:2379", copied
 * @len: number of endpoints, at least 1
 * Return: the client, which is used through its ops.
 */
struct agb_store *agb_store_etcd_new(uv_loop_t *loop, const agb_addr *endpoints,
    size_t len, agb_store_cb cb, agb_store_watch_cb watch_cb, void *arg);

/**
 * agb_store_etcd_parse_response() - parse the body of a response
 * @op: operation that was sent
 * @out: set to the result; its status is AGB_STORE_OK or AGB_STORE_LOST
 * Return: false when the body is not a well-formed response to @op.
 */
bool agb_store_etcd_parse_response(const struct agb_store_op *op,
    const char *body, size_t len, struct agb_store_result *out);

struct json_object;

/**
 * struct agb_store_etcd_watch_msg - message of a watch stream
 * @kvs: changes, in the order in which they were made
 * @revision: revision of the last change, or of the store when there is none
 * @created: the store has created the watch; it reports changes after @revision
 * @broken: the store has canceled the watch
 */
struct agb_store_etcd_watch_msg {
	struct agb_store_kv *kvs;
	size_t kvs_len;
	uint64_t revision;
	bool created;
	bool broken;
};

/**
 * agb_store_etcd_parse_watch() - parse one message of a watch stream
 * @out: set to the message; the caller frees its kvs, also on failure
 * Return: false when the message is malformed.
 */
bool agb_store_etcd_parse_watch(
    struct json_object *msg, struct agb_store_etcd_watch_msg *out);

/**
 * agb_store_etcd_bytes() - HTTP bytes sent and received since the start
 * @s: created by agb_store_etcd_new()
 */
struct agb_httpc_bytes agb_store_etcd_bytes(const struct agb_store *s);

#endif

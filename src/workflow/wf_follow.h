#ifndef WF_FOLLOW_H
#define WF_FOLLOW_H

/**
 * DOC: wf_follow
 *
 * Follows all keys with a prefix: reads them all, then watches for changes.
 * When the store no longer has the next changes, it starts again with a full
 * read. Failed reads are retried.
 */

#include <uv.h>

#include "store.h"

struct wf_follow;

/**
 * wf_follow_cb - keys that were read or have changed
 * @full: @kvs is the complete content at @revision; otherwise it holds the
 *	changes up to @revision
 */
typedef void (*wf_follow_cb)(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len);

/**
 * wf_follow_new() - start to follow a prefix
 * @tag: tag of its store calls and watches. The owner of the store client must
 *	pass results with this tag to wf_follow_handle_result() and changes to
 *	wf_follow_handle_watch().
 */
struct wf_follow *wf_follow_new(uv_loop_t *loop, struct agb_store *store,
    uint64_t tag, const char *prefix, wf_follow_cb cb, void *arg);

/**
 * wf_follow_handle_result() - handle the result of a read
 */
void wf_follow_handle_result(struct wf_follow *f, struct agb_store_result *res);

/**
 * wf_follow_handle_watch() - handle changes reported by the watch
 * @broken: the watch has ended because the store lost the changes
 */
void wf_follow_handle_watch(struct wf_follow *f, const struct agb_store_kv *kvs,
    size_t len, uint64_t revision, bool broken);

/**
 * wf_follow_set_interval() - set the minimum time between two deliveries
 */
void wf_follow_set_interval(struct wf_follow *f, uint32_t min_interval_ms);

/**
 * wf_follow_free() - stop without a further callback
 * @f: may be NULL
 */
void wf_follow_free(struct wf_follow *f);

#endif

#ifndef WF_FOLLOW_H
#define WF_FOLLOW_H

/**
 * DOC: wf_follow
 *
 * Follows all keys of a prefix: a read of everything, then its changes; the
 * read again when the store does not have the changes any more.
 */

#include <uv.h>

#include "store.h"

struct wf_follow;

/**
 * wf_follow_cb - keys under the prefix
 * @full: @kvs are all there is at @revision, else changes up to it
 */
typedef void (*wf_follow_cb)(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len);

/**
 * wf_follow_new() - begin to follow
 * @tag: of its calls and watches; the owner of the store client hands
 *	results with this tag on to wf_follow_handle_result() and wf_follow_handle_watch()
 */
struct wf_follow *wf_follow_new(uv_loop_t *loop, struct agb_store *store,
    uint64_t tag, const char *prefix, wf_follow_cb cb, void *arg);

void wf_follow_handle_result(struct wf_follow *f, struct agb_store_result *res);

void wf_follow_handle_watch(struct wf_follow *f, const struct agb_store_kv *kvs,
    size_t len, uint64_t revision, bool broken);

/**
 * wf_follow_set_interval() - least time between two deliveries
 */
void wf_follow_set_interval(struct wf_follow *f, uint32_t min_interval_ms);

/**
 * wf_follow_free() - end without a further callback
 * @f: may be NULL
 */
void wf_follow_free(struct wf_follow *f);

#endif

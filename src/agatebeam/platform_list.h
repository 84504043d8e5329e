#ifndef AGB_PLATFORM_LIST_H
#define AGB_PLATFORM_LIST_H

/**
 * DOC: platform_list
 *
 * Client of the platform's instance list.
 */

#include <uv.h>

#include "event.h"
#include "httpc.h"

/* Longest time for the list to arrive. */
#define AGB_PLATFORM_LIST_TIMEOUT_MS 2000
/* Instances that one answer may list. */
#define AGB_PLATFORM_LIST_MAX 8192

struct agb_platform_list;

/**
 * agb_platform_list_cb - AGB_EV_LIST; never called from inside
 * agb_platform_list_fetch()
 * @ev: freed by the client after the return
 */
typedef void (*agb_platform_list_cb)(void *arg, struct agb_event *ev);

/**
 * agb_platform_list_new() - client without connections
 * @addr: address of the platform, copied
 */
struct agb_platform_list *agb_platform_list_new(
    uv_loop_t *loop, const char *addr, agb_platform_list_cb cb, void *arg);

/**
 * agb_platform_list_fetch() - execute AGB_EF_LIST: read the list once and
 * raise one AGB_EV_LIST
 * @since: version known; 0 reads the whole list
 */
void agb_platform_list_fetch(struct agb_platform_list *p, uint64_t since);

/**
 * agb_platform_list_bytes() - HTTP traffic so far
 */
struct agb_httpc_bytes agb_platform_list_bytes(
    const struct agb_platform_list *p);

/**
 * agb_platform_list_free() - end a read without an event
 * @p: may be NULL
 */
void agb_platform_list_free(struct agb_platform_list *p);

#endif

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

/* Timeout of one read of the list. */
#define AGB_PLATFORM_LIST_TIMEOUT_MS 2000
/* Maximum number of instances in one response; a longer one is rejected. */
#define AGB_PLATFORM_LIST_MAX 8192

struct agb_platform_list;

/**
 * agb_platform_list_cb - called with the AGB_EV_INSTANCES of each read, never
 * from inside agb_platform_list_fetch()
 * @ev: freed by the client when the callback returns
 */
typedef void (*agb_platform_list_cb)(void *arg, struct agb_event *ev);

/**
 * agb_platform_list_new() - create a client; it connects on the first read
 * @addr: address of the platform, copied
 */
struct agb_platform_list *agb_platform_list_new(
    uv_loop_t *loop, const char *addr, agb_platform_list_cb cb, void *arg);

/**
 * agb_platform_list_fetch() - execute AGB_EF_LIST_INSTANCES: read the list once
 * and report it by one AGB_EV_INSTANCES
 * @since: version of the list that the caller already has; only later changes
 *	are read. 0 reads the whole list.
 */
void agb_platform_list_fetch(struct agb_platform_list *p, uint64_t since);

/**
 * agb_platform_list_bytes() - HTTP bytes sent and received since the start
 */
struct agb_httpc_bytes agb_platform_list_bytes(
    const struct agb_platform_list *p);

/**
 * agb_platform_list_free() - free a client; reads in progress end without an
 * event
 * @p: may be NULL
 */
void agb_platform_list_free(struct agb_platform_list *p);

#endif

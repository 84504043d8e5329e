#ifndef PLATFORM_PART_H
#define PLATFORM_PART_H

/**
 * DOC: platform_part
 *
 * In-memory stand-in for the platform: a key-value store that speaks the JSON
 * mapping of etcd v3, and an instance list whose changes become visible only
 * after a delay. Faults are injected by requests.
 *
 * POST /platform/instances	register an instance or change its entry. An
 *	entry with "ttl_ms" gets the state "gone" when it is not posted again
 *	within that time.
 * GET /platform/instances?since=VERSION	entries changed after VERSION; without
 *	"since", all entries whose state is not "gone"
 * POST /standin/faults	any of
 *	"down":bool	close each connection on its next request, without a
 *		response, and end the open watches
 *	"delay_ms":n	delay each response
 *	"lose_answers":n	carry out the next n transactions and lease
 *		calls, but close the connection instead of responding
 *	"break_watches":true	end each open watch in the middle of a message
 * GET /standin/counters	number of calls by kind, and bytes received and sent
 */

#include <uv.h>

struct platform;

/**
 * platform_new() - start the platform
 * @addr: "1.2.3.4:port" to listen on; port 0 lets the kernel choose
 * @list_lag_ms: time until a change shows in the instance list
 * Return: NULL when the address cannot be bound.
 */
struct platform *platform_new(
    uv_loop_t *loop, const char *addr, uint32_t list_lag_ms);

/**
 * platform_addr() - address and port that it listens on
 */
const char *platform_addr(const struct platform *p);

/**
 * platform_free() - close all connections and timers
 *
 * The loop must run afterwards until the handles are closed.
 */
void platform_free(struct platform *p);

#endif

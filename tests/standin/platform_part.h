#ifndef PLATFORM_PART_H
#define PLATFORM_PART_H

/**
 * DOC: platform_part
 *
 * Stand-in of the platform: a key-value store with the etcd v3 JSON mapping
 * and the lagging instance list, in memory, with faults on demand.
 *
 * POST /platform/instances registers or changes one entry of the list; with
 * "ttl_ms" the entry becomes gone when it is not posted again in time.
 * POST /standin/faults {"down":bool, "delay_ms":n, "lose_answers":n,
 * "break_watches":bool}: drop every request unread; delay answers; apply the
 * next n writes and close in place of the answer; end each watch in the
 * middle of a message. GET /standin/counters: calls by kind and bytes.
 */

#include <uv.h>

struct platform;

/**
 * platform_new() - start it on "1.2.3.4:port"
 * Return: NULL when the address cannot be bound.
 */
struct platform *platform_new(
    uv_loop_t *loop, const char *addr, uint32_t list_lag_ms);

const char *platform_addr(const struct platform *p);

void platform_free(struct platform *p);

#endif

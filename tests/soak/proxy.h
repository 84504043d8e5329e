#ifndef PROXY_H
#define PROXY_H

/**
 * DOC: proxy
 *
 * TCP proxy on the loopback interface that forwards connections to one
 * address and injects network faults into them.
 */

#include <uv.h>

/**
 * enum proxy_mode - fault that a proxy injects
 * @PROXY_PASS: none
 * @PROXY_DELAY: data from the target is forwarded after a fixed delay
 * @PROXY_BLACKHOLE: data of both directions is discarded
 * @PROXY_DROP_REPLIES: data from the target is discarded
 * @PROXY_RESET: connections are closed
 */
enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,
	PROXY_BLACKHOLE,
	PROXY_DROP_REPLIES,
	PROXY_RESET,
};

struct proxy;

/**
 * proxy_new() - listen on a port of 127.0.0.1 that the kernel chooses
 * @target: address to forward to, as "ADDRESS:PORT"
 *
 * Aborts when the address is malformed or the port cannot be opened.
 */
struct proxy *proxy_new(uv_loop_t *loop, const char *target);

int proxy_port(const struct proxy *p);

/**
 * proxy_set_mode() - change the fault of new and open connections
 *
 * Closes all open connections on entering PROXY_RESET, and on leaving
 * PROXY_BLACKHOLE or PROXY_DROP_REPLIES: these have discarded data.
 */
void proxy_set_mode(struct proxy *p, enum proxy_mode mode);

#endif

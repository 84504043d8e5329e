#ifndef PROXY_H
#define PROXY_H

/**
 * DOC: proxy
 *
 * Loopback proxy for one address whose connections can be harmed.
 */

#include <uv.h>

enum proxy_mode {
	PROXY_PASS,
	PROXY_DELAY,	    /* answers come late */
	PROXY_BLACKHOLE,    /* nothing passes either way */
	PROXY_DROP_REPLIES, /* requests pass, answers do not */
	PROXY_RESET,	    /* connections are reset */
};

struct proxy;

/**
 * proxy_new() - listen on a port of 127.0.0.1 that the kernel chooses
 */
struct proxy *proxy_new(uv_loop_t *loop, const char *target);

int proxy_port(const struct proxy *p);

/**
 * proxy_set() - change the mode; REFUSE also resets open connections
 */
void proxy_set_mode(struct proxy *p, enum proxy_mode mode);

#endif

#ifndef AGB_PROTO_UTIL_H
#define AGB_PROTO_UTIL_H

/**
 * DOC: proto
 *
 * Helpers for the message types that rpcgen writes from agb_proto.x.
 */

#include "gen/agb_proto.h"
#include "types.h"

/**
 * agb_proto_clone() - deep copy of a message by encoding and decoding it
 * @proc: its XDR routine
 * @dst: zeroed by this call, then filled; freed by xdr_free()
 * @src: the message
 * @size: size of its struct in bytes
 * Return: false when @src cannot be encoded; @dst is then zeroed.
 */
bool agb_proto_clone(xdrproc_t proc, void *dst, const void *src, size_t size);

/**
 * agb_proto_resources_to_msg() - resources as a message
 */
agb_x_resources agb_proto_resources_to_msg(const struct agb_resources *r);

/**
 * agb_proto_resources_from_msg() - resources from a message
 * @x: the message
 */
struct agb_resources agb_proto_resources_from_msg(const agb_x_resources *x);

/**
 * agb_proto_attempt_from_msg() - attempt from a message
 */
#define agb_proto_attempt_from_msg(a) \
	((struct agb_attempt){.epoch = (a).epoch, .seq = (a).seq})

#endif

#ifndef AGB_PROTO_UTIL_H
#define AGB_PROTO_UTIL_H

/**
 * DOC: proto
 *
 * Helpers for the message types that rpcgen generates from agb_proto.x.
 */

#include "gen/agb_proto.h"
#include "types.h"

/**
 * agb_proto_clone() - deep copy a message by encoding and decoding it
 * @proc: XDR routine of the message type
 * @dst: receives the copy; freed by xdr_free()
 * @size: size of the message struct in bytes
 * Return: false when @src cannot be encoded; @dst is then all zero.
 */
bool agb_proto_clone(xdrproc_t proc, void *dst, const void *src, size_t size);

/**
 * agb_proto_resources_to_msg() - convert resources to their message type
 */
agb_x_resources agb_proto_resources_to_msg(const struct agb_resources *r);

/**
 * agb_proto_resources_from_msg() - convert resources from their message type
 */
struct agb_resources agb_proto_resources_from_msg(const agb_x_resources *x);

/**
 * agb_proto_attempt_from_msg() - convert an attempt from its message type
 */
#define agb_proto_attempt_from_msg(a) \
	((struct agb_attempt){.epoch = (a).epoch, .seq = (a).seq})

#endif

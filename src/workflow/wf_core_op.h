#ifndef WF_CORE_OP_H
#define WF_CORE_OP_H

/**
 * DOC: wf_core_op
 *
 * Store operations of the reducer itself, made for the lease, the registration
 * and the election. The tag of an operation tells which part gets its result.
 */

#include "wf_event.h"

/* Marks the tags of these operations. They hold the operation in their low bits
 * and the number of a lease renewal above them. */
#define WF_CORE_TAG ((uint64_t)1 << 62)
#define WF_CORE_OP_BITS 8

/**
 * enum wf_core_op - store operation of the reducer
 */
enum wf_core_op {
	WF_OP_LEASE_GRANT = 1,
	WF_OP_REGISTER,
	WF_OP_LEASE_RENEW,
	WF_OP_CAMPAIGN,
	WF_OP_LEASE_REVOKE,
	WF_OP_HAND_OVER,
};

/**
 * wf_core_op_add() - append the effect that carries out a store operation
 * Return: the empty operation, valid until the next effect is added.
 */
struct agb_store_op *wf_core_op_add(
    enum wf_core_op op, enum agb_store_op_kind kind, struct wf_effects *out);

/**
 * wf_core_op_from_tag() - operation that a tag belongs to
 * @number: set to the number of the renewal
 */
enum wf_core_op wf_core_op_from_tag(uint64_t tag, uint64_t *number);

#endif

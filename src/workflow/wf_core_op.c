#include "wf_core_op.h"

#define STORE_TIMEOUT_MS 1000

struct agb_store_op *
wf_core_op_add(
    enum wf_core_op op, enum agb_store_op_kind kind, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_STORE);

	ef->tag = WF_CORE_TAG | op;
	ef->timeout_ms = STORE_TIMEOUT_MS;
	agb_store_op_init(&ef->u.store, kind);
	return &ef->u.store;
}

enum wf_core_op
wf_core_op_from_tag(uint64_t tag, uint64_t *number)
{
	*number = (tag & ~WF_CORE_TAG) >> WF_CORE_OP_BITS;
	return (enum wf_core_op)(tag & (((uint64_t)1 << WF_CORE_OP_BITS) - 1));
}

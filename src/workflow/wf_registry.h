#ifndef WF_REGISTRY_H
#define WF_REGISTRY_H

/**
 * DOC: wf_registry
 *
 * Entries of the runner registry as changes to the set of runners.
 */

#include "wf_adapter.h"

/**
 * wf_registry_read() - convert an entry that was read or has changed
 * @out: set to a removal also when the entry is malformed: it names no runner
 *	that can be used, whatever it was before
 * @fault: set to the reason when the entry is malformed, else to ""
 * Return: false when the key holds no id of a runner; @out is not valid then.
 */
bool wf_registry_read(const struct wf_adapter_ops *ops,
    const struct agb_store_kv *kv, struct wf_runner_change *out,
    char fault[AGB_DETAIL_LEN]);

#endif

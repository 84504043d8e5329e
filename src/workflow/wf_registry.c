#include "wf_registry.h"

#include <stdio.h>
#include <string.h>

bool
wf_registry_read(const struct wf_adapter_ops *ops,
    const struct agb_store_kv *kv, struct wf_runner_change *out,
    char fault[AGB_DETAIL_LEN])
{
	const char *const id = kv->key + strlen(ops->registry_prefix);

	fault[0] = '\0';
	memset(out, 0, sizeof(*out));
	out->malformed =
	    !kv->deleted && !ops->parse_runner(kv, &out->info, fault);
	out->removed = kv->deleted || out->malformed;
	/* The beginning of a longer id could be that of another runner. */
	if (id[0] != '\0' &&
	    agb_str_copy(out->info.id, sizeof(out->info.id), id))
		return true;
	snprintf(fault, AGB_DETAIL_LEN, "id: must have 1 to %zu bytes",
	    sizeof(out->info.id) - 1);
	return false;
}

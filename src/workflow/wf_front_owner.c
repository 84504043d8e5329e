#include "wf_front_internal.h"

bool
wf_front_owner_missing(const struct wf_caller *caller, const struct wf_job *j)
{
	return caller->restricted && (j == NULL || !j->owner_known);
}

bool
wf_front_denies_known(const struct wf_caller *caller, const struct wf_job *j)
{
	return j != NULL && j->owner_known &&
	    !wf_caller_may_use(caller, &j->spec);
}

bool
wf_front_check_stored(struct wf_table *t, const struct wf_front_call *w,
    const struct agb_store_kv *kv, struct wf_effects *out)
{
	struct wf_job *const j = wf_table_job(t, w->job);
	struct wf_spec spec;
	bool ok;

	if (!w->caller.restricted)
		return true;
	if (!wf_table_decode_spec(kv->val, kv->val_len, &spec)) {
		wf_front_refuse(out, w->call_id, w->kind, 503, w->job,
		    "its record cannot be read");
		return false;
	}
	if (j != NULL)
		wf_table_put_owner(j, &spec);
	ok = wf_caller_may_use(&w->caller, &spec);
	wf_spec_free(&spec);
	if (!ok)
		wf_front_refuse_owner(out, w->call_id, w->kind, w->job);
	return ok;
}

bool
wf_front_must_read_stored(const struct wf_front_call *w, bool by_peer,
    uint64_t revision, const struct agb_store_kv *before)
{
	if (by_peer)
		return revision == 0 || w->caller.restricted;
	return before != NULL && before->val == NULL && w->caller.restricted;
}

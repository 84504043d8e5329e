#include "wf_front_auth.h"

#include <string.h>

/* Anyone can send requests with invalid keys, as many as the link carries. */
#define DENIAL_LINE_INTERVAL_MS 1000

bool
wf_caller_identify(const struct wf_doc *doc, const struct wf_queue *q,
    const char *key, struct wf_caller *out)
{
	const struct wf_account *a;

	memset(out, 0, sizeof(*out));
	out->restricted = doc->keys_required;
	out->is_public = q->is_public;
	agb_str_copy(out->queue, sizeof(out->queue), q->name);
	out->route_tag = q->route_tag;
	if (!out->restricted || out->is_public)
		return true;
	a = wf_doc_account_by_key(doc, key);
	if (a == NULL)
		return false;
	agb_str_copy(out->account, sizeof(out->account), a->name);
	return true;
}

bool
wf_caller_may_use(const struct wf_caller *c, const struct wf_spec *s)
{
	if (!c->restricted || s->account[0] == '\0')
		return true;
	/* A route that has become public must not open the jobs that were
	 * submitted by it under another name. */
	if (c->is_public)
		return strcmp(c->queue, s->queue) == 0;
	return strcmp(c->account, s->account) == 0;
}

static bool
exceeds(int64_t need, uint32_t count, int64_t limit)
{
	return limit > 0 && need * count > limit;
}

bool
wf_account_excludes(const struct wf_account *a, const struct wf_spec *s)
{
	const struct wf_step *step;
	uint32_t i, count;

	if (a == NULL)
		return false;
	for (i = 0; i < s->steps_len; i++) {
		step = &s->steps[i];
		count = step->gang ? step->count : 1;
		if (exceeds(step->need.cpu_milli, count, a->limit.cpu_milli) ||
		    exceeds(step->need.mem_mb, count, a->limit.mem_mb) ||
		    exceeds(step->need.accel, count, a->limit.accel))
			return true;
	}
	return false;
}

bool
wf_denial_log_take(struct wf_denial_log *l, agb_time now, uint64_t *omitted)
{
	if (now < l->next_at) {
		l->omitted++;
		return false;
	}
	*omitted = l->omitted;
	l->next_at = now + DENIAL_LINE_INTERVAL_MS * AGB_MS;
	l->omitted = 0;
	return true;
}

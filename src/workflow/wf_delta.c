#include "wf_delta.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void
wf_seen_free(struct wf_seen *s)
{
	free(s->items);
	memset(s, 0, sizeof(*s));
}

void
wf_seen_set(
    struct wf_seen *s, uint32_t no, const struct wf_active *items, size_t len)
{
	free(s->items);
	s->items = agb_xcalloc(len + 1, sizeof(*s->items));
	if (len > 0)
		memcpy(s->items, items, len * sizeof(*s->items));
	s->len = len;
	s->no = no;
}

/* Place of a run in an earlier list; its length when it is not there. */
static size_t
place_of(const struct wf_seen *before, const struct wf_active *a)
{
	size_t i;

	for (i = 0; i < before->len; i++) {
		if (before->items[i].run == a->run &&
		    wf_task_ref_same(&before->items[i].task, &a->task))
			break;
	}
	return i;
}

void
wf_delta_make(const struct wf_seen *before, const struct wf_active *items,
    size_t len, struct wf_relayed *out)
{
	static const struct wf_seen none;
	struct wf_saved *s;
	struct wf_kept *k;
	size_t i, at;

	before = before != NULL ? before : &none;
	out->base = before->no;
	out->kept = agb_xcalloc(len + 1, sizeof(*out->kept));
	out->saved = agb_xcalloc(len + 1, sizeof(*out->saved));
	out->fresh = agb_xcalloc(len + 1, sizeof(*out->fresh));
	for (i = 0; i < len; i++) {
		at = place_of(before, &items[i]);
		if (at == before->len) {
			out->fresh[out->fresh_len++] = items[i];
			continue;
		}
		k = &out->kept[out->kept_len++];
		k->at = (uint32_t)at;
		k->percent = items[i].percent;
		k->load = items[i].load;
		if (strcmp(before->items[at].saved, items[i].saved) == 0)
			continue;
		s = &out->saved[out->saved_len++];
		s->at = k->at;
		agb_name_set(s->saved, sizeof(s->saved), items[i].saved);
	}
}

bool
wf_delta_apply(const struct wf_seen *before, const struct wf_relayed *d,
    struct wf_active **items, size_t *len)
{
	const size_t base_len = d->base != 0 ? before->len : 0;
	struct wf_active *list;
	size_t i, k;

	*items = NULL;
	*len = 0;
	if (d->base != 0 && d->base != before->no)
		return false;
	for (i = 0; i < d->kept_len; i++) {
		if (d->kept[i].at >= base_len)
			return false;
	}
	list = agb_xcalloc(d->kept_len + d->fresh_len + 1, sizeof(*list));
	for (i = 0; i < d->kept_len; i++) {
		list[i] = before->items[d->kept[i].at];
		list[i].percent = d->kept[i].percent;
		list[i].load = d->kept[i].load;
		for (k = 0; k < d->saved_len; k++) {
			if (d->saved[k].at == d->kept[i].at)
				agb_name_set(list[i].saved,
				    sizeof(list[i].saved), d->saved[k].saved);
		}
	}
	if (d->fresh_len > 0)
		memcpy(
		    list + d->kept_len, d->fresh, d->fresh_len * sizeof(*list));
	*items = list;
	*len = d->kept_len + d->fresh_len;
	return true;
}

#include "wf_delta.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void
wf_baseline_free(struct wf_baseline *b)
{
	free(b->items);
	memset(b, 0, sizeof(*b));
}

void
wf_baseline_set(struct wf_baseline *b, uint32_t number,
    const struct wf_active *items, size_t len)
{
	free(b->items);
	b->items = agb_xcalloc(len + 1, sizeof(*b->items));
	if (len > 0)
		memcpy(b->items, items, len * sizeof(*b->items));
	b->len = len;
	b->number = number;
}

/* Index of a run in the baseline, or the length of the baseline when the run is
 * not in it. */
static size_t
find_index(const struct wf_baseline *baseline, const struct wf_active *a)
{
	size_t i;

	for (i = 0; i < baseline->len; i++) {
		if (baseline->items[i].run == a->run &&
		    wf_task_ref_same(&baseline->items[i].task, &a->task))
			break;
	}
	return i;
}

void
wf_delta_compute(const struct wf_baseline *baseline,
    const struct wf_active *items, size_t len, struct wf_relayed *out)
{
	static const struct wf_baseline empty;
	struct wf_saved *s;
	struct wf_kept *k;
	size_t i, index;

	baseline = baseline != NULL ? baseline : &empty;
	out->base = baseline->number;
	out->kept = agb_xcalloc(len + 1, sizeof(*out->kept));
	out->saved = agb_xcalloc(len + 1, sizeof(*out->saved));
	out->fresh = agb_xcalloc(len + 1, sizeof(*out->fresh));
	for (i = 0; i < len; i++) {
		index = find_index(baseline, &items[i]);
		if (index == baseline->len) {
			out->fresh[out->fresh_len++] = items[i];
			continue;
		}
		k = &out->kept[out->kept_len++];
		k->at = (uint32_t)index;
		k->percent = items[i].percent;
		k->load = items[i].load;
		if (strcmp(baseline->items[index].saved, items[i].saved) == 0)
			continue;
		s = &out->saved[out->saved_len++];
		s->at = k->at;
		agb_name_set(s->saved, sizeof(s->saved), items[i].saved);
	}
}

bool
wf_delta_apply(const struct wf_baseline *baseline, const struct wf_relayed *d,
    struct wf_active **items, size_t *len)
{
	const size_t base_len = d->base != 0 ? baseline->len : 0;
	struct wf_active *list;
	size_t i, k;

	*items = NULL;
	*len = 0;
	if (d->base != 0 && d->base != baseline->number)
		return false;
	for (i = 0; i < d->kept_len; i++) {
		if (d->kept[i].at >= base_len)
			return false;
	}
	list = agb_xcalloc(d->kept_len + d->fresh_len + 1, sizeof(*list));
	for (i = 0; i < d->kept_len; i++) {
		list[i] = baseline->items[d->kept[i].at];
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

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
    const struct wf_active_run *items, size_t len)
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
find_index(const struct wf_baseline *baseline, const struct wf_active_run *a)
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
    const struct wf_active_run *items, size_t len,
    struct wf_relayed_result *out)
{
	static const struct wf_baseline empty;
	struct wf_checkpoint_update *s;
	struct wf_kept_run *k;
	size_t i, index;

	baseline = baseline != NULL ? baseline : &empty;
	out->base_list = baseline->number;
	out->kept = agb_xcalloc(len + 1, sizeof(*out->kept));
	out->checkpoints = agb_xcalloc(len + 1, sizeof(*out->checkpoints));
	out->new_runs = agb_xcalloc(len + 1, sizeof(*out->new_runs));
	for (i = 0; i < len; i++) {
		index = find_index(baseline, &items[i]);
		if (index == baseline->len) {
			out->new_runs[out->new_runs_len++] = items[i];
			continue;
		}
		k = &out->kept[out->kept_len++];
		k->index = (uint32_t)index;
		k->percent = items[i].percent;
		k->load = items[i].load;
		if (strcmp(baseline->items[index].checkpoint,
			items[i].checkpoint) == 0)
			continue;
		s = &out->checkpoints[out->checkpoints_len++];
		s->index = k->index;
		agb_str_copy(
		    s->checkpoint, sizeof(s->checkpoint), items[i].checkpoint);
	}
}

bool
wf_delta_apply(const struct wf_baseline *baseline,
    const struct wf_relayed_result *d, struct wf_active_run **items,
    size_t *len)
{
	const size_t base_len = d->base_list != 0 ? baseline->len : 0;
	struct wf_active_run *list;
	size_t i, k;

	*items = NULL;
	*len = 0;
	if (d->base_list != 0 && d->base_list != baseline->number)
		return false;
	for (i = 0; i < d->kept_len; i++) {
		if (d->kept[i].index >= base_len)
			return false;
	}
	list = agb_xcalloc(d->kept_len + d->new_runs_len + 1, sizeof(*list));
	for (i = 0; i < d->kept_len; i++) {
		list[i] = baseline->items[d->kept[i].index];
		list[i].percent = d->kept[i].percent;
		list[i].load = d->kept[i].load;
		for (k = 0; k < d->checkpoints_len; k++) {
			if (d->checkpoints[k].index == d->kept[i].index)
				agb_str_copy(list[i].checkpoint,
				    sizeof(list[i].checkpoint),
				    d->checkpoints[k].checkpoint);
		}
	}
	if (d->new_runs_len > 0)
		memcpy(list + d->kept_len, d->new_runs,
		    d->new_runs_len * sizeof(*list));
	*items = list;
	*len = d->kept_len + d->new_runs_len;
	return true;
}

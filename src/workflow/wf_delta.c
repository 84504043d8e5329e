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
wf_seen_set(struct wf_seen *s, uint32_t no, const struct wf_active_run *items,
    size_t len)
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
place_of(const struct wf_seen *before, const struct wf_active_run *a)
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
wf_delta_make(const struct wf_seen *before, const struct wf_active_run *items,
    size_t len, struct wf_relayed_result *out)
{
	static const struct wf_seen none;
	struct wf_checkpoint_update *s;
	struct wf_kept_run *k;
	size_t i, at;

	before = before != NULL ? before : &none;
	out->base_list = before->no;
	out->kept = agb_xcalloc(len + 1, sizeof(*out->kept));
	out->checkpoints = agb_xcalloc(len + 1, sizeof(*out->checkpoints));
	out->new_runs = agb_xcalloc(len + 1, sizeof(*out->new_runs));
	for (i = 0; i < len; i++) {
		at = place_of(before, &items[i]);
		if (at == before->len) {
			out->new_runs[out->new_runs_len++] = items[i];
			continue;
		}
		k = &out->kept[out->kept_len++];
		k->index = (uint32_t)at;
		k->percent = items[i].percent;
		k->load = items[i].load;
		if (strcmp(before->items[at].checkpoint, items[i].checkpoint) ==
		    0)
			continue;
		s = &out->checkpoints[out->checkpoints_len++];
		s->index = k->index;
		agb_name_set(
		    s->checkpoint, sizeof(s->checkpoint), items[i].checkpoint);
	}
}

bool
wf_delta_apply(const struct wf_seen *before, const struct wf_relayed_result *d,
    struct wf_active_run **items, size_t *len)
{
	const size_t base_len = d->base_list != 0 ? before->len : 0;
	struct wf_active_run *list;
	size_t i, k;

	*items = NULL;
	*len = 0;
	if (d->base_list != 0 && d->base_list != before->no)
		return false;
	for (i = 0; i < d->kept_len; i++) {
		if (d->kept[i].index >= base_len)
			return false;
	}
	list = agb_xcalloc(d->kept_len + d->new_runs_len + 1, sizeof(*list));
	for (i = 0; i < d->kept_len; i++) {
		list[i] = before->items[d->kept[i].index];
		list[i].percent = d->kept[i].percent;
		list[i].load = d->kept[i].load;
		for (k = 0; k < d->checkpoints_len; k++) {
			if (d->checkpoints[k].index == d->kept[i].index)
				agb_name_set(list[i].checkpoint,
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

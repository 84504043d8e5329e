#include <stdlib.h>

#include "mem.h"
#include "wf_dispatch_internal.h"

/* A job that ends later than this multiple of the time from its acceptance to
 * its due time is of no use to its caller any more. */
#define HOPELESS_FACTOR 3

/* Urgency of a unit by its expected end; lower values are placed first. */
enum {
	URGENCY_ON_TIME,
	URGENCY_LATE,
	URGENCY_HOPELESS,
};

static int
compare_queued_units(const void *a, const void *b)
{
	const struct queued_unit *const x = a, *const y = b;

	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->due_at != y->due_at)
		return x->due_at < y->due_at ? -1 : 1;
	return 0;
}

static int
urgency_of(const struct wf_unit *u, agb_time now)
{
	const agb_time end = now + (agb_time)u->expected_ms * AGB_MS;
	const agb_time accepted_at = u->exec->accepted_at;

	if (end <= u->due_at)
		return URGENCY_ON_TIME;
	if (u->due_at > accepted_at &&
	    end <= accepted_at + HOPELESS_FACTOR * (u->due_at - accepted_at))
		return URGENCY_LATE;
	return URGENCY_HOPELESS;
}

size_t
dispatch_sort_queue(
    struct wf_leader *l, agb_time now, struct queued_unit **list)
{
	const struct wf_queue *q;
	struct wf_unit *u;
	size_t n;

	*list = agb_xcalloc(l->queue_len + 1, sizeof(**list));
	n = 0;
	for (u = l->queue; u != NULL; u = u->next) {
		q = wf_unit_queue(l, u);
		if (q == NULL)
			continue;
		wf_unit_update_times(l, u, now);
		(*list)[n].unit = u;
		(*list)[n].queue = q;
		(*list)[n].urgency = urgency_of(u, now);
		(*list)[n].priority = q->priority;
		(*list)[n].due_at = u->due_at;
		n++;
	}
	if (n > 1)
		qsort(*list, n, sizeof(**list), compare_queued_units);
	dispatch_sort_by_share(l, now, *list, n);
	return n;
}

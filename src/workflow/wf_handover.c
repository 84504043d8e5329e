#include "wf_handover.h"

/* Time that an instance needs from its registration until it has read all
 * jobs. */
#define READ_JOBS_MS 2500
/* Instances that were first seen within this time count as equally old. */
#define SAME_AGE_MS 2000

static bool
may_succeed(const struct wf_table *t, const char *self, unsigned candidates,
    const struct wf_peer *p, agb_time now)
{
	return strcmp(p->name, self) != 0 && p->lease != 0 &&
	    wf_peer_responds(p, now) && p->pinged_since > 0 &&
	    now - p->pinged_since >= READ_JOBS_MS * AGB_MS &&
	    wf_table_rank(t, p, self) < candidates;
}

static bool
is_better(const struct wf_peer *a, const struct wf_peer *b)
{
	if (a->pinged_since > b->pinged_since + SAME_AGE_MS * AGB_MS)
		return true;
	if (b->pinged_since > a->pinged_since + SAME_AGE_MS * AGB_MS)
		return false;
	return a->score > b->score;
}

const struct wf_peer *
wf_handover_choose(const struct wf_table *t, const char *self,
    unsigned candidates, agb_time now)
{
	const struct wf_peer *p, *best;

	best = NULL;
	for (p = t->peers; p != NULL; p = p->hh.next) {
		if (!may_succeed(t, self, candidates, p, now))
			continue;
		if (best == NULL || is_better(p, best))
			best = p;
	}
	return best;
}

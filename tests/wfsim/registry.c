/* Registry of the runners. */

#include <string.h>

#include "world.h"

#define HEARTBEAT_MS 1500
/* Three missed heartbeats. */
#define REGISTRY_LAPSE_MS 4500

static void
send_registry(struct sim *s, unsigned ci, bool full)
{
	struct wf_runner_change items[SIM_RUNNERS_MAX];
	struct wf_event ev = {.type = WF_EV_RUNNERS};
	unsigned ri;
	size_t n;

	memset(items, 0, sizeof(items));
	n = 0;
	for (ri = 0; ri < s->o.runners; ri++) {
		if (!s->runners[ri].listed && full)
			continue;
		items[n].removed = !s->runners[ri].listed;
		items[n++].info = s->runners[ri].entry;
	}
	ev.u.runners.full = full;
	ev.u.runners.items = items;
	ev.u.runners.items_len = n;
	sim_handle_event(s, ci, &ev);
}

static void
registry_change_arrives(struct sim *s, struct sim_event *e)
{
	if (sim_deliver_or_postpone(s, e, registry_change_arrives) &&
	    s->cores[e->core].watches_registry)
		send_registry(s, e->core, false);
}

void
sim_send_first_registry(struct sim *s, struct sim_event *e)
{
	if (sim_deliver_or_postpone(s, e, sim_send_first_registry) &&
	    s->cores[e->core].watches_registry)
		send_registry(s, e->core, true);
}

void
sim_send_registry_to_all(struct sim *s)
{
	unsigned ci;

	if (s->store != SIM_STORE_UP)
		return;
	for (ci = 0; ci < s->o.cores; ci++) {
		if (!s->cores[ci].up || !s->cores[ci].watches_registry ||
		    s->now < s->cores[ci].frozen_until)
			continue;
		if (sim_is_busy(s, &s->cores[ci]))
			sim_schedule_core(s, ci, 0, registry_change_arrives);
		else
			send_registry(s, ci, false);
	}
}

void
sim_update_registry(struct sim *s, struct sim_event *e)
{
	struct sim_runner *r;
	unsigned ri;
	bool seen;

	for (ri = 0; ri < s->o.runners; ri++) {
		r = &s->runners[ri];
		seen = r->up && !r->unreachable && !r->unregistered;
		if (seen) {
			r->entry = r->info;
			r->listed = true;
			r->delist_at = 0;
		} else if (r->delist_at == 0) {
			r->delist_at = s->now + REGISTRY_LAPSE_MS * SIM_MS;
		} else if (s->now >= r->delist_at) {
			r->listed = false;
		}
	}
	sim_send_registry_to_all(s);
	sim_schedule(s, HEARTBEAT_MS / 3 * SIM_MS, sim_update_registry);
}

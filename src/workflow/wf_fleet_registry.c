#include <inttypes.h>
#include <string.h>

#include "wf_fleet_internal.h"

/* A draining runner that answered within this time before its registry entry
 * disappeared has probably exited: the entry of a runner that merely stopped
 * answering expires only after its heartbeats have been missing for longer. */
#define DEPARTED_REPLY_AGE_MS 2500

/* @deleted: its entry is gone, not only malformed */
static void
handle_runner_unlisted(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, bool deleted, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];

	if (!r->listed)
		return;
	r->listed = false;
	r->unlisted_at = now->mono;
	/* An entry expires only after a long silence. When a draining runner
	 * has answered recently, its entry was probably removed because it
	 * exited. */
	r->has_left = deleted && r->info.draining && r->heard_at > 0 &&
	    now->mono - r->heard_at < DEPARTED_REPLY_AGE_MS * AGB_MS;
	wf_effects_log(out, AGB_LOG_INFO, "runner",
	    "runner=%s change=unlisted heard_ms_ago=%" PRIu64 " left=%s",
	    r->info.id, (now->mono - r->heard_at) / AGB_MS,
	    r->has_left ? "yes" : "no");
}

/* Handles an entry with another start time than that of the runner's process as
 * known. Once a process has named itself, the entry may be one of a former
 * process as well as of a later one: the runner is asked. */
static void
handle_other_process(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_runner_info *info, struct wf_effects *out)
{
	if (l->runners[ri].named)
		wf_fleet_order_extra_hold(l, now, ri);
	else
		wf_fleet_handle_restart(l, now, ri, info->started_ms, out);
}

static void
handle_registry_entry(struct wf_leader *l, const struct wf_now *now,
    const struct wf_runner_info *info, struct wf_effects *out)
{
	const uint32_t ri = wf_fleet_find_or_add(l, info->id, now->mono);
	struct wf_runner *const r = &l->runners[ri];
	const bool was_listed = r->listed;
	const bool was_draining = r->info.draining;
	const bool is_new = r->info.addr[0] == '\0';

	if (strcmp(info->addr, r->info.addr) != 0)
		r->route.announced = false;
	r->info = *info;
	if (info->started_ms != r->started_ms)
		handle_other_process(l, now, ri, info, out);
	r->listed = true;
	if (!was_listed)
		r->poll.next_at = now->mono;
	/* Runners that were listed before this leader was elected are not
	 * logged one by one; a single line gives their number. */
	if (!was_listed && (l->registry_seen || !is_new)) {
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=listed service=%s domain=%s"
		    " cpu_milli=%" PRId64 " mem_mb=%" PRId64 " born_ms=%" PRId64
		    " draining=%d",
		    info->id, info->service, info->domain,
		    info->capacity.cpu_milli, info->capacity.mem_mb,
		    info->started_ms, info->draining);
	}
	if (info->draining && !was_draining)
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=draining remaining_ms=%" PRId64, info->id,
		    info->remaining_ms);
	if (!was_listed || info->draining != was_draining)
		l->placement_changed = true;
}

void
wf_fleet_apply_changes(struct wf_leader *l, const struct wf_now *now,
    const struct wf_registry_update *rs, struct wf_effects *out)
{
	uint32_t ri;
	size_t i;

	if (rs->full) {
		for (ri = 0; ri < l->runners_len; ri++) {
			for (i = 0; i < rs->items_len; i++) {
				if (strcmp(rs->items[i].info.id,
					l->runners[ri].info.id) == 0)
					break;
			}
			if (i == rs->items_len && l->runners[ri].used)
				handle_runner_unlisted(l, now, ri, true, out);
		}
	}
	for (i = 0; i < rs->items_len; i++) {
		if (!rs->items[i].removed) {
			handle_registry_entry(l, now, &rs->items[i].info, out);
			continue;
		}
		ri = wf_fleet_find(l, rs->items[i].info.id);
		if (ri != WF_NO_HANDLE)
			handle_runner_unlisted(
			    l, now, ri, !rs->items[i].malformed, out);
	}
	if (rs->full)
		wf_effects_log(out, AGB_LOG_INFO, "fleet",
		    "runners=%zu first=%s", rs->items_len,
		    l->registry_seen ? "no" : "yes");
	l->registry_seen = true;
	/* The choice of relays depends on the set of runners. */
	if (rs->full)
		l->outbox.check_at = 0;
}

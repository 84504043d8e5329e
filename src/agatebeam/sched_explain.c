#include "sched_internal.h"

#include <stdio.h>

/*
 * Reports on the shard: load summary, usage of a team, and the state of a job.
 */

void
agb_sched_load_get(const struct agb_sched *s, agb_time now, uint16_t work,
    struct agb_sched_load *out)
{
	uint32_t wait = 0;
	uint16_t w;

	*out = (struct agb_sched_load){
	    .free = s->live_free,
	    .capacity = s->live_capacity,
	    .quick_queued = s->quick_queued,
	    .tasks_queued = s->tasks_queued,
	    .tasks_running = s->tasks_running,
	};
	for (w = 0; w < s->works_len; w++) {
		if (s->works[w].slots > s->works[w].slots_busy)
			out->slots_free +=
			    s->works[w].slots - s->works[w].slots_busy;
	}
	if (work < s->works_len)
		wait = sched_quick_wait_us(s, work, s->works[work].queued);
	out->wait_ms = wait == UINT32_MAX ? wait : (wait + 999) / 1000;
}

struct agb_resources
agb_sched_team_usage(const struct agb_sched *s, uint16_t team)
{
	return s->teams[team < SCHED_TEAM_NONE ? team : SCHED_TEAM_NONE].used;
}

static const char *const block_text[] = {
    [BLOCK_NONE] = "its turn has not come",
    [BLOCK_RESOURCES] = "no worker has the room now",
    [BLOCK_HEADROOM] = "what is left is kept free for urgent work",
    [BLOCK_QUOTA] = "its team has used up its quota",
};

size_t
agb_sched_explain(const struct agb_sched *s, agb_time now, uint32_t job,
    char *buf, size_t len)
{
	const struct sched_job *const j =
	    job < s->jobs_cap ? s->jobs[job] : NULL;
	const struct sched_job *ahead;
	uint32_t before = 0;
	size_t n;

	if (j == NULL) {
		n = (size_t)snprintf(buf, len, "no such job\n");
		return n < len ? n : len - 1;
	}
	n = (size_t)snprintf(buf, len,
	    "work=%s team=%s tasks=%u pending=%u active=%u backoff=%u "
	    "done=%u waited_ms=%llu%s\n",
	    sched_work_name(s, j->spec.work), sched_team_name(s, j->spec.team),
	    j->spec.tasks, j->pending, j->active, j->backoff, j->done,
	    (unsigned long long)((now - j->spec.accepted_at) / AGB_MS),
	    j->ending ? " ending" : "");
	if (n < len && j->bucket != NULL) {
		for (ahead = j->bucket->jobs; ahead != j; ahead = ahead->next)
			before++;
		n += (size_t)snprintf(buf + n, len - n,
		    "waits: %u of its shape before it; %s; needs %lld mcpu, "
		    "%lld MiB, %lld accelerators; team share %.3f\n",
		    before, block_text[j->bucket->block],
		    (long long)j->bucket->need.cpu_milli,
		    (long long)j->bucket->need.mem_mb,
		    (long long)j->bucket->need.accel,
		    s->teams[j->spec.team].share);
	}
	return n < len ? n : len - 1;
}

#include "wf_gauges.h"

#include "wf_leader.h"

void
wf_gauges_count_jobs(struct wf_gauges *g, const struct wf_table *t)
{
	const struct wf_job *j;

	g->jobs = HASH_COUNT(t->jobs);
	g->jobs_open = 0;
	for (j = t->jobs; j != NULL; j = j->hh.next)
		g->jobs_open += !wf_job_state_is_final(j->state);
}

static void
count_runner(struct wf_gauges *g, const struct wf_runner *r, agb_time now)
{
	const struct wf_task *t;

	g->runners++;
	g->runners_usable += wf_fleet_usable(r, now);
	for (t = r->tasks; t != NULL; t = t->next)
		g->tasks_allocated++;
}

void
wf_gauges_read_leader(
    struct wf_gauges *g, const struct wf_leader *l, agb_time now)
{
	uint32_t i;

	g->is_leader = true;
	g->fence = l->fence;
	g->steps_waiting = l->queue_len;
	g->advice_calls = (unsigned)l->advice_calls_len;
	g->writes = (unsigned)l->writes_len;
	wf_leader_get_load(l, &g->load);
	for (i = 0; i < l->runners_len; i++) {
		if (l->runners[i].used)
			count_runner(g, &l->runners[i], now);
	}
}

#include <string.h>

#include "wf_leader.h"

/* Upper limit of the step by which the numbers of runs rise while runners reject
 * them as old. It exceeds what a job with the same id has used, and leaves room
 * for many steps in the numbers that a state record holds. */
#define RUN_STEP_MAX ((uint32_t)1 << 20)

void
wf_job_note_run(struct wf_job *j, uint32_t run)
{
	if (run > j->top_run)
		j->top_run = run;
}

uint32_t
wf_unit_next_run(
    const struct wf_leader *l, const struct wf_unit *u, uint32_t after)
{
	const struct wf_job *const j = u->exec->job;
	const struct wf_job *other;
	uint32_t i;

	if (u->run_floor > after)
		after = u->run_floor;
	for (i = 0; j->shares_id && i < WF_JOBS_PER_ID; i++) {
		other = wf_table_namesake(l->table, j->id, i);
		if (other != NULL && other != j && other->top_run > after)
			after = other->top_run;
	}
	return wf_run_next(after, wf_job_id_ordinal(j->id), j->shares_id);
}

void
wf_unit_note_old(struct wf_unit *u, const struct wf_task *t)
{
	if (t->run <= u->run_floor)
		return;
	if (u->run_step == 0)
		u->run_step = 1;
	else if (u->run_step < RUN_STEP_MAX)
		u->run_step *= 2;
	u->run_floor = t->run + u->run_step - 1;
}

/* Whether two tasks have the same name at a runner and belong to different
 * jobs. */
static bool
same_name(const struct wf_task_ref *a, const struct wf_task_ref *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	    a->index == b->index && strcmp(a->job, b->job) != 0 &&
	    wf_job_id_same_digits(a->job, b->job);
}

bool
wf_unit_name_taken(const struct wf_leader *l, const struct wf_unit *u,
    uint32_t task, uint32_t runner)
{
	const struct wf_runner *const r = &l->runners[runner];
	struct wf_task_ref ref, other;
	const struct wf_task *t;
	size_t i;

	if (!u->exec->job->shares_id)
		return false;
	wf_unit_task_ref(u, task, &ref);
	for (t = r->tasks; t != NULL; t = t->next) {
		wf_task_ref(t, &other);
		if (same_name(&ref, &other))
			return true;
	}
	for (i = 0; i < r->orphan_runs_len; i++) {
		if (same_name(&ref, &r->orphan_runs[i].task))
			return true;
	}
	return false;
}

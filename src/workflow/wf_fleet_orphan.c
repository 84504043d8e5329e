#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_fleet_internal.h"

struct wf_orphan_run *
wf_fleet_find_orphan_run(
    struct wf_runner *r, const struct wf_task_ref *ref, uint32_t run)
{
	size_t i;

	for (i = 0; i < r->orphan_runs_len; i++) {
		if (r->orphan_runs[i].run == run &&
		    wf_task_ref_same(&r->orphan_runs[i].task, ref))
			return &r->orphan_runs[i];
	}
	return NULL;
}

/* Takes the resources of a run off its runner and its account. */
static void
release_orphan_run(
    struct wf_leader *l, struct wf_runner *r, const struct wf_orphan_run *s)
{
	agb_resources_sub(&r->allocated, &s->need);
	if (s->account == NULL)
		return;
	agb_resources_sub(&s->account->used, &s->request);
	wf_account_put(&l->accounts, s->account);
}

/* Sets the resources of a run whose job is known, and counts them. */
static void
count_orphan_run(struct wf_leader *l, struct wf_runner *r,
    const struct wf_job *j, struct wf_orphan_run *s)
{
	const struct wf_step *const step = &j->spec.steps[s->task.step];

	s->need = wf_step_reserved(step);
	s->request = step->need;
	s->account = wf_account_get(&l->accounts, j->spec.account);
	agb_resources_add(&r->allocated, &s->need);
	agb_resources_add(&s->account->used, &s->request);
}

void
wf_fleet_remove_orphan_run(struct wf_leader *l, struct wf_runner *r, size_t i)
{
	release_orphan_run(l, r, &r->orphan_runs[i]);
	r->orphan_runs[i] = r->orphan_runs[--r->orphan_runs_len];
}

void
wf_fleet_stop_orphan_run(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, const struct wf_active_run *a, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	const struct wf_job *const j = wf_table_job(l->table, a->task.job);
	struct wf_orphan_run *s;

	s = wf_fleet_find_orphan_run(r, &a->task, a->run);
	if (s == NULL) {
		r->orphan_runs = agb_xreallocarray(r->orphan_runs,
		    r->orphan_runs_len + 1, sizeof(*r->orphan_runs));
		s = &r->orphan_runs[r->orphan_runs_len++];
		memset(s, 0, sizeof(*s));
		s->task = a->task;
		s->run = a->run;
		if (j != NULL && j->spec_rev > 0 &&
		    a->task.step < j->spec.steps_len)
			count_orphan_run(l, r, j, s);
		wf_effects_log_run(out, AGB_LOG_WARN, "stray", &a->task, a->run,
		    r->info.id,
		    "reason=\"run is not assigned to this runner\"");
	}
	s->seen = true;
	if (now->mono < s->next_stop_at)
		return;
	s->next_stop_at = now->mono + STOP_RETRY_MS * AGB_MS;
	wf_fleet_order_stop(l, now, ri, &a->task, a->run);
}

void
wf_fleet_remove_unlisted_orphan_runs(struct wf_leader *l, struct wf_runner *r)
{
	size_t i;

	for (i = r->orphan_runs_len; i > 0; i--) {
		if (!r->orphan_runs[i - 1].seen)
			wf_fleet_remove_orphan_run(l, r, i - 1);
	}
}

void
wf_fleet_clear_orphan_runs(struct wf_leader *l, struct wf_runner *r)
{
	size_t i;

	for (i = 0; i < r->orphan_runs_len; i++)
		release_orphan_run(l, r, &r->orphan_runs[i]);
	free(r->orphan_runs);
	r->orphan_runs = NULL;
	r->orphan_runs_len = 0;
}

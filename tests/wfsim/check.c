/* Checks of the guarantees by what the runners observe. */

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "world.h"

/* An accepted job is known to all instances after this time. */
#define VISIBLE_MS 3000

void
sim_report_violation(struct sim *s, const char *fmt, ...)
{
	char text[448];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (s->violations++ == 0)
		snprintf(s->violation, sizeof(s->violation), "%u ms: %s",
		    sim_now_ms(s), text);
}

/* Whether a start brings a resource of an account above its limit. What already
 * runs may be above a limit that was lowered. */
static bool
exceeds(int64_t limit, int64_t used, int64_t need)
{
	return limit > 0 && need > 0 && used + need > limit;
}

static bool
is_quota_exceeded(const struct agb_resources *limit,
    const struct agb_resources *used, const struct agb_resources *need)
{
	return exceeds(limit->cpu_milli, used->cpu_milli, need->cpu_milli) ||
	    exceeds(limit->mem_mb, used->mem_mb, need->mem_mb) ||
	    exceeds(limit->accel, used->accel, need->accel);
}

static void
check_quota(struct sim *s, const struct sim_runner *r, const struct sim_job *j,
    const struct wf_order *o)
{
	const struct agb_resources *const need =
	    &j->spec.steps[o->task.step].need;
	const struct sim_account *a;
	struct agb_resources used;
	size_t i;

	for (i = 0; i < s->o.accounts_len; i++) {
		a = &s->accounts[i];
		if (strcmp(a->set.name, j->spec.account) != 0)
			continue;
		used = sim_account_used(s, j->spec.account);
		if (is_quota_exceeded(&a->set.limit, &used, need) &&
		    (s->now >= a->before_until ||
			is_quota_exceeded(&a->before, &used, need)))
			sim_report_violation(s,
			    "quota: %s starts %s.%u beyond the limit of %s",
			    r->info.id, j->id, o->task.index, j->spec.account);
	}
}

bool
sim_same_name(const struct wf_task_ref *a, const struct wf_task_ref *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	    a->index == b->index && wf_job_id_same_digits(a->job, b->job);
}

static bool
all_tasks_done(const struct sim_job *j)
{
	const uint32_t len =
	    j->spec.repeat_count * wf_spec_task_count(&j->spec);
	uint32_t i, k, n, done, from = 0;

	for (k = 0;
	     k < j->spec.steps_len && len == wf_spec_task_count(&j->spec);
	     k++) {
		n = j->spec.steps[k].count;
		done = 0;
		for (i = 0; i < n; i++)
			done += j->tasks[from + i].done;
		/* A gang counts as done when one member is done. */
		if (done < n && !(j->spec.steps[k].gang && done > 0))
			return false;
		from += n;
	}
	return true;
}

/* Highest number of failed runs that any task of a job has; the members of a gang
 * fail as one. */
static uint32_t
most_failed_runs(const struct sim_job *j)
{
	const uint32_t len = wf_spec_task_count(&j->spec);
	uint32_t failed, most = 0, k, i, n;

	n = 0;
	while (n < j->spec.repeat_count * len) {
		for (k = 0; k < j->spec.steps_len; k++) {
			for (i = 0; i < j->spec.steps[k].count; i++, n++) {
				failed = j->spec.steps[k].gang
				    ? j->tasks[n].gang_failed
				    : j->tasks[n].failed;
				most = failed > most ? failed : most;
			}
		}
	}
	return most;
}

void
sim_check_shown(struct sim *s, struct sim_job *j, enum wf_job_state state)
{
	if (j->get_status == 410 && j->accepted_at > 0 && !j->cancel_sent &&
	    s->now > j->accepted_at + VISIBLE_MS * SIM_MS)
		sim_report_violation(
		    s, "shown: %s was accepted and is not known", j->id);
	if (j->get_status != 200)
		return;
	if (state > j->get_state)
		j->get_state = state;
	if (state == WF_JOB_COMPLETED && !all_tasks_done(j))
		sim_report_violation(s,
		    "shown: %s is completed, and not all of its tasks are",
		    j->id);
	if (state == WF_JOB_CANCELLED && !j->cancel_sent)
		sim_report_violation(
		    s, "shown: %s is cancelled, and nobody has", j->id);
	if (state == WF_JOB_FAILED && most_failed_runs(j) < s->o.max_attempts)
		sim_report_violation(s,
		    "shown: %s is failed after %u failed runs of %u", j->id,
		    most_failed_runs(j), s->o.max_attempts);
}

/* A second run with the same name, of another job, would be ended together with
 * this one by an order to stop it. */
static void
check_names(struct sim *s, const struct sim_runner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (sim_same_name(&r->runs[i].task, &o->task) &&
		    strcmp(r->runs[i].task.job, o->task.job) != 0)
			sim_report_violation(s,
			    "names: %s has %s.%u.%u and starts %s.%u.%u",
			    r->info.id, r->runs[i].task.job, o->task.step,
			    o->task.index, o->task.job, o->task.step,
			    o->task.index);
	}
}

void
sim_check_start(struct sim *s, const struct sim_runner *r, struct sim_job *j,
    const struct wf_order *o)
{
	struct sim_task *const t = sim_task_find(j, &o->task);
	const struct wf_step *const step = &j->spec.steps[o->task.step];
	struct agb_resources held = wf_step_reserved(step);
	struct agb_resources need;
	unsigned ri;
	size_t i;
	uint32_t k;

	for (i = 0; i < r->runs_len; i++) {
		const struct sim_job *const other =
		    sim_job_find(s, r->runs[i].task.job);

		if (other == NULL)
			continue;
		need =
		    wf_step_reserved(&other->spec.steps[r->runs[i].task.step]);
		agb_resources_add(&held, &need);
	}
	check_quota(s, r, j, o);
	check_names(s, r, o);
	if (!wf_runner_has_label(&r->info, step->label))
		sim_report_violation(s, "label: %s starts %s.%u without %s",
		    r->info.id, j->id, o->task.index, step->label);
	if (!agb_resources_fit(&held, &r->info.capacity))
		sim_report_violation(s,
		    "capacity: %s starts %s.%u beyond its capacity", r->info.id,
		    j->id, o->task.index);
	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; s->runners[ri].up && i < s->runners[ri].runs_len;
		     i++) {
			if (wf_task_ref_same(
				&s->runners[ri].runs[i].task, &o->task))
				sim_report_violation(s,
				    "duplicate: %s.%u.%u runs on %s and %s",
				    j->id, o->task.step, o->task.index,
				    s->runners[ri].info.id, r->info.id);
		}
	}
	if (t->done_observed)
		sim_report_violation(s,
		    "duplicate: %s.%u.%u starts after it was done", j->id,
		    o->task.step, o->task.index);
	if (t->failed >= s->o.max_attempts)
		sim_report_violation(s,
		    "attempts: %s.%u.%u starts after %u failures", j->id,
		    o->task.step, o->task.index, t->failed);
	if (j->cancel_acked && s->now > j->cancel_at + 3000 * SIM_MS)
		sim_report_violation(s,
		    "cancelled: %s.%u starts after its cancellation", j->id,
		    o->task.index);
	if (j->status == 503 || j->status == 429)
		sim_report_violation(s,
		    "rejected: %s starts although its submission was rejected",
		    j->id);
	for (k = 0; k < o->task.step; k++) {
		struct wf_task_ref ref = o->task;
		bool done = true, any = false;

		if ((step->after >> k & 1) == 0)
			continue;
		ref.step = k;
		for (ref.index = 0; ref.index < j->spec.steps[k].count;
		     ref.index++) {
			done = done && sim_task_find(j, &ref)->done;
			any = any || sim_task_find(j, &ref)->done;
		}
		/* A gang counts as done when one member is done. */
		if (!(j->spec.steps[k].gang ? any : done))
			sim_report_violation(s,
			    "dependency: %s step %u starts before step %u is "
			    "done",
			    j->id, o->task.step, k);
	}
}

void
sim_check_end(struct sim *s, struct sim_job *j)
{
	/* The keys of jobs with the same digits are not those of the
	 * simulation: their state is that of the answers. */
	const char *const state = s->o.shared_ids
	    ? wf_job_state_name(j->get_state)
	    : sim_state(s, j->id);

	if (j->status != 200)
		return;
	if (strcmp(state, "failed") == 0 &&
	    most_failed_runs(j) < s->o.max_attempts)
		sim_report_violation(s,
		    "failed: %s is given up after %u failed runs of %u", j->id,
		    most_failed_runs(j), s->o.max_attempts);
	if (strcmp(state, "completed") != 0 && strcmp(state, "failed") != 0 &&
	    strcmp(state, "cancelled") != 0)
		sim_report_violation(
		    s, "unfinished: %s is %s at the end", j->id, state);
}

unsigned
sim_violation_count(const struct sim *s)
{
	return s->violations;
}

const char *
sim_first_violation(const struct sim *s)
{
	return s->violation;
}

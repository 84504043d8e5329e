#include "sched_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Life of a job, from its acceptance to JOB_DONE. Ending a job only marks it;
 * its attempts are stopped in slices, so that a burst of cancellations does not
 * delay placements.
 */

/* Cancellations of one burst that are processed at once; later ones are left to
 * the slices. */
#define INLINE_CANCELS_MAX 16

struct sched_job *
sched_job_get(struct agb_sched *s, uint32_t handle)
{
	return handle < s->jobs_cap ? s->jobs[handle] : NULL;
}

static void
add_to_table(struct agb_sched *s, struct sched_job *j)
{
	uint32_t cap = s->jobs_cap > 0 ? s->jobs_cap : 256;

	while (cap <= j->handle)
		cap *= 2;
	if (cap != s->jobs_cap) {
		s->jobs =
		    agb_xreallocarray(s->jobs, cap, sizeof(struct sched_job *));
		memset(s->jobs + s->jobs_cap, 0,
		    (size_t)(cap - s->jobs_cap) * sizeof(struct sched_job *));
		s->jobs_cap = cap;
	}
	s->jobs[j->handle] = j;
	s->jobs_len++;
}

static void
report_done(struct agb_sched *s, const struct sched_job *j)
{
	struct agb_sched_effect *const ef =
	    agb_sched_effects_add(s->out, AGB_SCHED_JOB_DONE);

	ef->job = j->handle;
	ef->worker = AGB_SCHED_NONE;
	ef->outcome = j->outcome_unknown ? AGB_OUTCOME_UNKNOWN
	    : j->ran			 ? AGB_OUTCOME_RAN
					 : AGB_OUTCOME_NOT_RUN;
	ef->reason = j->end_reason;
	agb_str_copy(ef->detail, sizeof(ef->detail), j->end_detail);
}

unsigned
sched_job_level(const struct agb_sched *s, const struct sched_job *j)
{
	const unsigned u = sched_work_class(s, j->spec.work)->urgency;

	return u < SCHED_LEVELS ? u : SCHED_LEVELS - 1;
}

void
sched_job_uncount_pending(
    struct agb_sched *s, struct sched_job *j, uint32_t tasks)
{
	j->pending -= tasks;
	s->tasks_queued -= tasks;
	s->level_queued[sched_job_level(s, j)] -= tasks;
}

void
sched_job_free(struct agb_sched *s, struct sched_job *j)
{
	sched_queue_remove(s, j);
	sched_job_uncount_pending(s, j, j->pending);
	s->jobs[j->handle] = NULL;
	s->jobs_len--;
	free(j->tasks);
	free(j->rack_tasks);
	free(j->reservations);
	free(j);
}

void
sched_job_finish_if_done(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	const bool endless =
	    sched_work_class(s, j->spec.work)->policy == AGB_POLICY_SERVICE;

	if (!j->ending && (endless || j->done < j->spec.tasks))
		return;
	if (j->active > 0 || j->on_stop_list)
		return;
	sched_reservation_drop_all(s, j);
	report_done(s, j);
	sched_job_free(s, j);
}

static void
add_to_stop_list(struct agb_sched *s, struct sched_job *j)
{
	j->on_stop_list = true;
	j->stop_list_next = NULL;
	if (s->stop_list_head == NULL)
		s->stop_list_tail = &s->stop_list_head;
	*s->stop_list_tail = j;
	s->stop_list_tail = &j->stop_list_next;
	s->stop_list_len++;
}

void
sched_job_end(struct agb_sched *s, agb_time now, struct sched_job *j,
    enum agb_reason reason, const char *fmt, ...)
{
	va_list ap;

	if (j->ending)
		return;
	j->ending = true;
	j->end_reason = reason;
	va_start(ap, fmt);
	vsnprintf(j->end_detail, sizeof(j->end_detail), fmt, ap);
	va_end(ap);
	if (j->active > 0) {
		sched_queue_remove(s, j);
		sched_job_uncount_pending(s, j, j->pending);
		add_to_stop_list(s, j);
		return;
	}
	sched_job_finish_if_done(s, now, j);
}

void
sched_job_cancel(struct agb_sched *s, agb_time now, uint32_t handle)
{
	struct sched_job *const j = sched_job_get(s, handle);

	if (j == NULL || j->ending)
		return;
	if (s->inline_cancels < INLINE_CANCELS_MAX) {
		s->inline_cancels++;
		sched_job_end(
		    s, now, j, AGB_REASON_CANCELLED, "cancelled by the caller");
		return;
	}
	/* Left to a slice; until then the job is only kept from starting. */
	s->cancel_deferred = true;
	j->ending = true;
	j->end_reason = AGB_REASON_CANCELLED;
	agb_str_copy(
	    j->end_detail, sizeof(j->end_detail), "cancelled by the caller");
	add_to_stop_list(s, j);
}

static uint32_t
stop_attempts(struct agb_sched *s, struct sched_job *j, uint32_t budget)
{
	struct sched_attempt *a;

	sched_queue_remove(s, j);
	sched_job_uncount_pending(s, j, j->pending);
	if (j->active == 0)
		j->stop_cursor = j->spec.tasks;
	while (j->stop_cursor < j->spec.tasks && budget > 0) {
		a = j->tasks[j->stop_cursor++].attempt;
		budget--;
		if (a != NULL && a->state != ATTEMPT_UNKNOWN)
			sched_attempt_stop(s, a, j->end_reason, j->end_detail);
	}
	return budget;
}

bool
sched_job_stop_slice(struct agb_sched *s, agb_time now, uint32_t budget)
{
	struct sched_job *j;

	while (s->stop_list_head != NULL && budget > 0) {
		j = s->stop_list_head;
		budget = stop_attempts(s, j, budget - 1);
		if (j->stop_cursor < j->spec.tasks)
			return true;
		s->stop_list_head = j->stop_list_next;
		s->stop_list_len--;
		j->on_stop_list = false;
		sched_job_finish_if_done(s, now, j);
	}
	return s->stop_list_head != NULL;
}

uint32_t
sched_job_next_task(struct sched_job *j)
{
	uint32_t t;

	while ((t = j->pending_head) != SCHED_NO_TASK) {
		if (j->tasks[t].state == TASK_PENDING)
			return t;
		/* Tasks that are no longer pending are unlinked here. */
		j->pending_head = j->tasks[t].next;
		j->tasks[t].on_pending_list = false;
	}
	return SCHED_NO_TASK;
}

static agb_time
after_ms(agb_time t, uint32_t ms)
{
	return ms > 0 ? t + ms * AGB_MS : AGB_TIME_MAX;
}

static agb_time
queue_expiry(const struct agb_sched *s, const struct sched_job *j)
{
	const struct agb_env_class *const c = sched_work_class(s, j->spec.work);
	const agb_time limit = after_ms(j->spec.accepted_at, c->queue_max_ms);

	return limit < j->deadline ? limit : j->deadline;
}

void
sched_job_expire(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	if (j->started || j->ending || j->active > 0)
		return;
	if (now >= j->deadline)
		sched_job_end(s, now, j, AGB_REASON_DEADLINE,
		    "its deadline passed before it could start");
	else
		sched_job_end(s, now, j, AGB_REASON_OVERLOAD,
		    "waited %llu ms in the queue, the limit of its class",
		    (unsigned long long)((now - j->spec.accepted_at) / AGB_MS));
}

/* Ends a job that can never be started. Returns false if it was ended. */
static bool
accept_or_end(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	const struct agb_env_work *w;
	char why[AGB_DETAIL_LEN];

	if (s->env == NULL) {
		sched_job_end(s, now, j, AGB_REASON_NO_DOCUMENT,
		    "no environment document is in force");
		return false;
	}
	if (j->spec.work >= s->works_len) {
		sched_job_end(s, now, j, AGB_REASON_NO_SERVICE,
		    "the document names no such kind of work");
		return false;
	}
	w = &s->env->works[j->spec.work];
	if (s->domain_index < AGB_ENV_DOMAINS_MAX &&
	    (w->domains & (1u << s->domain_index)) == 0) {
		sched_job_end(s, now, j, AGB_REASON_NOT_ALLOWED,
		    "%s may not run in domain %s", w->name, s->domain);
		return false;
	}
	if (now >= j->deadline) {
		sched_job_end(s, now, j, AGB_REASON_DEADLINE,
		    "its deadline passed before it could start");
		return false;
	}
	if (!sched_quota_allows_job(s, j)) {
		sched_job_end(s, now, j, AGB_REASON_QUOTA,
		    "larger than the quota of its team, which may not borrow");
		return false;
	}
	if (!sched_feasible_job(s, j, why, sizeof(why))) {
		sched_job_end(s, now, j, AGB_REASON_NEVER_FITS, "%s", why);
		return false;
	}
	return true;
}

void
sched_job_add(struct agb_sched *s, agb_time now, uint32_t handle,
    const struct agb_job_spec *spec)
{
	struct sched_job *j;
	uint32_t i;

	if (sched_job_get(s, handle) != NULL || spec->tasks == 0)
		return;
	j = agb_xcalloc(1, sizeof(*j));
	j->handle = handle;
	j->serial = ++s->serial;
	j->spec = *spec;
	if (j->spec.team >= SCHED_TEAM_NONE)
		j->spec.team = SCHED_TEAM_NONE;
	j->deadline = spec->deadline;
	if (j->deadline == AGB_TIME_MAX)
		j->deadline = after_ms(spec->accepted_at,
		    sched_work_class(s, spec->work)->deadline_ms);
	j->pending_head = SCHED_NO_TASK;
	j->waiting_since = now;
	j->tasks = agb_xcalloc(spec->tasks, sizeof(*j->tasks));
	add_to_table(s, j);
	if (!accept_or_end(s, now, j))
		return;
	if (sched_shed_misses_deadline(s, now, j)) {
		sched_job_end(s, now, j, AGB_REASON_DEADLINE,
		    "the expected wait is longer than its deadline allows");
		return;
	}
	for (i = spec->tasks; i-- > 0;)
		sched_task_enqueue(s, j, i);
	sched_queue_add(s, j, false);
	sched_timer_add(
	    s, queue_expiry(s, j), TIMER_JOB_EXPIRY, handle, 0, j->serial);
	sched_shed_jobs(s, now);
}

#include "sched_internal.h"

#include <stdio.h>
#include <string.h>

/*
 * Detects faulty workers and faulty jobs. Failures of different jobs on one
 * worker count against the worker; failures of one job on different workers
 * count against the job.
 */

/* Failures of different jobs in a row after which a worker is ejected. With 2,
 * a pair of faulty jobs would eject a worker; with 4, the attempts lost on a
 * faulty worker come close to the limit. */
#define EJECT_FAILURES 3
/* Quick requests refused in a row after which a worker is ejected. An entry
 * instance that dies has at most as many grants revoked on one worker as its
 * runner has slots, commonly 8. */
#define EJECT_REFUSALS 10
/* The first probe comes early in case the worker was ejected by mistake. A
 * worker that fails it has failed 4 times out of 4, and each further probe
 * costs an attempt, so the next ones are rare. */
#define FIRST_PROBE_DELAY (60 * AGB_SEC)
#define NEXT_PROBE_DELAY (1800 * AGB_SEC)
/* A probe that has run for this long counts as a success. */
#define PROBE_SUCCESS_TIME (30 * AGB_SEC)
/* Failures are forgotten after this time if no further one followed. */
#define FAILURE_MAX_AGE (600 * AGB_SEC)
/* Marks the keys of failures that are not serials of jobs. */
#define FAILURE_KEY_QUICK (1ull << 63)

static void
add_decision(
    struct agb_sched *s, const struct sched_worker *w, const char *text)
{
	struct agb_sched_effect *const ef =
	    agb_sched_effects_add(s->out, AGB_SCHED_DECISION);

	ef->worker = w->handle;
	ef->job = AGB_SCHED_NONE;
	ef->considered = w->failures_len;
	agb_str_copy(ef->detail, sizeof(ef->detail), text);
}

static bool
has_failed_on(const struct sched_job *j, const struct sched_worker *w)
{
	uint32_t i;

	for (i = 0; i < j->failed_workers_len; i++) {
		if (j->failed_workers[i] == w->handle)
			return true;
	}
	return false;
}

/* Work that cannot be run again must not serve as a probe. Other work avoids
 * only the workers on which it has failed. */
static bool
avoids(const struct sched_job *j, const struct sched_worker *w)
{
	if (!j->spec.idempotent)
		return w->ejected || w->failures_len > 0;
	return has_failed_on(j, w);
}

static bool
has_alternative(const struct agb_sched *s, const struct sched_job *j)
{
	const struct sched_worker *w;
	uint32_t i;

	for (i = 0; i < s->workers_cap; i++) {
		w = &s->workers[i];
		if (w->known && w->state == AGB_WORKER_LIVE && !w->ejected &&
		    !avoids(j, w))
			return true;
	}
	return false;
}

/* A worker is avoided only while there is another one, and for a limited time:
 * a job must not wait while workers are idle. */
bool
sched_health_allows(const struct agb_sched *s, const struct sched_job *j,
    const struct sched_worker *w)
{
	if (!avoids(j, w) || s->now - j->waiting_since >= SCHED_AVOID_TIME)
		return true;
	return !has_alternative(s, j);
}

static void
remove_failure(struct agb_sched *s, uint32_t worker, uint64_t key)
{
	struct sched_worker *const w = sched_worker_get(s, worker);
	uint32_t i;

	if (w == NULL || w->ejected)
		return;
	for (i = 0; i < w->failures_len; i++) {
		if (w->failures[i].key == key) {
			w->failures[i] = w->failures[--w->failures_len];
			sched_worker_refresh(s, w);
			return;
		}
	}
}

/* Failures on a faulty worker do not count against the jobs. */
static void
clear_job_failures(struct agb_sched *s, struct sched_worker *w)
{
	struct sched_job *j;
	uint32_t i, k;

	for (i = 0; i < w->failures_len; i++) {
		j = sched_job_get(s, w->failures[i].job);
		if (j == NULL || j->serial != w->failures[i].key)
			continue;
		for (k = 0; k < j->failed_workers_len; k++) {
			if (j->failed_workers[k] == w->handle) {
				j->failed_workers[k] =
				    j->failed_workers[--j->failed_workers_len];
				break;
			}
		}
	}
}

static bool
may_eject(const struct agb_sched *s)
{
	const uint32_t pct = s->env != NULL ? s->env->eject_max_percent : 0;
	uint32_t most = (uint32_t)((uint64_t)s->workers_len * pct / 100);

	/* A shard of 3 or more workers may eject one of them even if the limit
	 * is below one worker. */
	if (most == 0 && pct > 0 && s->workers_len >= 3)
		most = 1;
	return s->ejected_workers < most;
}

/* Whether all live workers are ejected. */
static bool
all_ejected(const struct agb_sched *s)
{
	const struct sched_worker *w;
	uint32_t i;

	for (i = 0; i < s->workers_cap; i++) {
		w = &s->workers[i];
		if (w->known && w->state == AGB_WORKER_LIVE && !w->ejected)
			return false;
	}
	return true;
}

bool
sched_health_probe_if_all_ejected(struct agb_sched *s)
{
	struct sched_worker *w;
	uint32_t i;

	if (s->ejected_workers == 0 || !all_ejected(s))
		return false;
	for (i = 0; i < s->workers_cap; i++) {
		w = &s->workers[i];
		if (!w->known || !w->ejected || w->may_probe)
			continue;
		w->may_probe = true;
		add_decision(s, w, "on trial, no other live worker is left");
		sched_worker_refresh(s, w);
	}
	return true;
}

static void
eject(struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	agb_time wait =
	    w->failed_probes == 0 ? FIRST_PROBE_DELAY : NEXT_PROBE_DELAY;
	char text[96];

	wait += sched_random(s) % (wait / 4);
	if (!w->ejected) {
		w->ejected = true;
		w->ejected_at = now;
		s->ejected_workers++;
		clear_job_failures(s, w);
	}
	w->may_probe = false;
	w->probe_at = now + wait;
	snprintf(text, sizeof(text),
	    "ejected after %u failures, next trial in %u s", w->failures_len,
	    (unsigned)(wait / AGB_SEC));
	add_decision(s, w, text);
	sched_timer_add(s, w->probe_at, TIMER_PROBE, w->handle, 0, 0);
	sched_worker_refresh(s, w);
	sched_health_probe_if_all_ejected(s);
}

static void
mark_healthy(struct agb_sched *s, struct sched_worker *w)
{
	if (w->ejected) {
		w->ejected = false;
		w->may_probe = false;
		s->ejected_workers--;
		add_decision(s, w, "reinstated after a trial");
	} else if (w->failures_len == 0) {
		w->consecutive_refusals = 0;
		return;
	}
	w->failures_len = 0;
	w->consecutive_refusals = 0;
	w->failed_probes = 0;
	sched_worker_refresh(s, w);
}

static void
add_failure(struct agb_sched *s, agb_time now, struct sched_worker *w,
    uint64_t key, uint32_t job)
{
	uint32_t i;

	if (w->ejected)
		return;
	for (i = 0; i < w->failures_len; i++) {
		if (w->failures[i].key == key)
			return;
	}
	if (w->failures_len < SCHED_WORKER_FAILURES_MAX)
		w->failures[w->failures_len++] =
		    (struct sched_worker_failure){key, job};
	if (w->failures_len >= EJECT_FAILURES && may_eject(s)) {
		eject(s, now, w);
		return;
	}
	sched_timer_add(s, now + FAILURE_MAX_AGE, TIMER_PROBE, w->handle, 0, 0);
	sched_worker_refresh(s, w);
}

/* Returns false if the job ends because it failed on too many workers. */
static bool
record_job_failure(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_worker *w)
{
	uint32_t i;

	if (has_failed_on(j, w))
		return true;
	if (j->failed_workers_len < SCHED_FAILED_WORKERS_MAX)
		j->failed_workers[j->failed_workers_len++] = w->handle;
	if (j->failed_workers_len < 2)
		return true;
	for (i = 0; i < j->failed_workers_len; i++)
		remove_failure(s, j->failed_workers[i], j->serial);
	if (j->failed_workers_len < SCHED_FAILED_WORKERS_MAX || j->ending)
		return true;
	j->ran = true;
	sched_job_end(s, now, j, AGB_REASON_FAILS_EVERYWHERE,
	    "failed on %d different workers, the last was %s",
	    SCHED_FAILED_WORKERS_MAX, w->info.name);
	return false;
}

static void
record_quick_end(struct agb_sched *s, agb_time now, struct sched_worker *w,
    const struct sched_attempt_end *e)
{
	if (e->result == AGB_RESULT_FAILED || e->result == AGB_RESULT_LOST) {
		/* One service may receive invalid requests: its failures count
		 * once, however many there are. */
		add_failure(
		    s, now, w, FAILURE_KEY_QUICK | e->work, AGB_SCHED_NONE);
	} else if (e->result == AGB_RESULT_NOT_STARTED &&
	    ++w->consecutive_refusals >= EJECT_REFUSALS && !w->ejected &&
	    may_eject(s)) {
		eject(s, now, w);
	}
}

static void
record_probe_end(struct agb_sched *s, agb_time now, struct sched_worker *w,
    const struct sched_attempt_end *e)
{
	if (e->result == AGB_RESULT_FAILED ||
	    e->result == AGB_RESULT_NOT_STARTED) {
		w->failed_probes++;
		eject(s, now, w);
	}
}

bool
sched_health_ended(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_attempt_end *e)
{
	struct sched_worker *const w = sched_worker_get(s, e->worker);
	const bool healthy = w != NULL && !w->ejected;
	const agb_time since = now - e->run_time;

	if (w == NULL || w->state == AGB_WORKER_GONE)
		return true;
	if (e->result == AGB_RESULT_OK) {
		if (since > w->last_failed_start_at)
			mark_healthy(s, w);
		return true;
	}
	if (e->result != AGB_RESULT_STOPPED &&
	    e->result != AGB_RESULT_CHECKPOINTED &&
	    since > w->last_failed_start_at)
		w->last_failed_start_at = since;
	/* An attempt that was started before the ejection is not a probe. */
	if (w->ejected && e->probe && since >= w->ejected_at) {
		record_probe_end(s, now, w, e);
	} else if (e->quick) {
		record_quick_end(s, now, w, e);
		return true;
	}
	if (j == NULL || !healthy || e->result != AGB_RESULT_FAILED)
		return true;
	/* The failure of a job that also failed elsewhere says nothing about
	 * this worker. */
	if (j->failed_workers_len < 1 || j->failed_workers[0] == w->handle)
		add_failure(s, now, w, j->serial, j->handle);
	if (w->ejected)
		return true;
	return record_job_failure(s, now, j, w);
}

void
sched_health_schedule_probe_check(
    struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	sched_timer_add(
	    s, now + PROBE_SUCCESS_TIME, TIMER_PROBE, w->handle, 0, 0);
}

void
sched_health_timer(
    struct agb_sched *s, agb_time now, const struct sched_timer *t)
{
	struct sched_worker *const w = sched_worker_get(s, t->arg1);
	const struct sched_attempt *a;

	if (w == NULL || (!w->ejected && w->failures_len == 0))
		return;
	for (a = w->attempts; a != NULL; a = a->next) {
		if (a->probe && a->state == ATTEMPT_RUNNING &&
		    now - a->placed_at >= PROBE_SUCCESS_TIME) {
			mark_healthy(s, w);
			return;
		}
	}
	if (!w->ejected && now - w->last_failed_start_at >= FAILURE_MAX_AGE)
		mark_healthy(s, w);
	if (w->ejected && !w->may_probe && now >= w->probe_at) {
		w->may_probe = true;
		add_decision(s, w, "on trial");
		sched_worker_refresh(s, w);
	}
}

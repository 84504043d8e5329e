#include "sched_internal.h"

#include <stdio.h>
#include <string.h>

/*
 * Bad workers and bad jobs, told apart by who else fails: different jobs
 * that fail on one worker speak against the worker, one job that fails on
 * different workers speaks against the job.
 */

/* Different failures in a row that eject a worker. With two, a pair of bad
 * jobs would do it; with four, the loss of a bad worker nears its limit. */
#define EJECT_AT 3
/* Refusals of quick requests in a row. A dead entry instance has at most a
 * runner's slots, commonly 8, revoked on one worker. */
#define REFUSED_AT 10
/* The first trial is soon, for a worker that was ejected wrongly. One that
 * fails it has failed four of four: each further trial costs an attempt. */
#define PROBE_FIRST (60 * AGB_SEC)
#define PROBE_AGAIN (1800 * AGB_SEC)
/* A trial that has run this long counts as a success. */
#define TRIAL_RUN (30 * AGB_SEC)
/* Evidence that no later start has confirmed is dropped after this. */
#define EVIDENCE_AGE (600 * AGB_SEC)
/* Marks of evidence that is not a job's serial. */
#define KEY_QUICK (1ull << 63)

static void
decision(struct agb_sched *s, const struct sched_worker *w, const char *text)
{
	struct agb_sched_effect *const ef =
	    agb_sched_effects_add(s->out, AGB_SCHED_DECISION);

	ef->worker = w->self;
	ef->job = AGB_SCHED_NONE;
	ef->weighed = w->evidence_len;
	agb_name_set(ef->detail, sizeof(ef->detail), text);
}

static bool
failed_on(const struct sched_job *j, const struct sched_worker *w)
{
	uint32_t i;

	for (i = 0; i < j->fail_workers_len; i++) {
		if (j->fail_workers[i] == w->self)
			return true;
	}
	return false;
}

/* A trial is no place for work that cannot be run again; other work goes
 * elsewhere after it has failed on a worker. */
static bool
avoids(const struct sched_job *j, const struct sched_worker *w)
{
	if (!j->spec.idempotent)
		return w->ejected || w->evidence_len > 0;
	return failed_on(j, w);
}

static bool
has_other(const struct agb_sched *s, const struct sched_job *j)
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

/* A worker is avoided only while there is another one, and not for ever: a
 * job must not wait on an idle shard. */
bool
sched_health_allows(const struct agb_sched *s, const struct sched_job *j,
    const struct sched_worker *w)
{
	if (!avoids(j, w) || s->now - j->waiting_since >= SCHED_AVOID)
		return true;
	return !has_other(s, j);
}

static void
forget(struct agb_sched *s, uint32_t worker, uint64_t key)
{
	struct sched_worker *const w = sched_worker_get(s, worker);
	uint32_t i;

	if (w == NULL || w->ejected)
		return;
	for (i = 0; i < w->evidence_len; i++) {
		if (w->evidence[i].key == key) {
			w->evidence[i] = w->evidence[--w->evidence_len];
			sched_worker_refresh(s, w);
			return;
		}
	}
}

/* What failed on a bad worker does not count against the jobs. */
static void
clear_jobs(struct agb_sched *s, struct sched_worker *w)
{
	struct sched_job *j;
	uint32_t i, k;

	for (i = 0; i < w->evidence_len; i++) {
		j = sched_job_get(s, w->evidence[i].job);
		if (j == NULL || j->serial != w->evidence[i].key)
			continue;
		for (k = 0; k < j->fail_workers_len; k++) {
			if (j->fail_workers[k] == w->self) {
				j->fail_workers[k] =
				    j->fail_workers[--j->fail_workers_len];
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

	/* A small shard may still do without one of three. */
	if (most == 0 && pct > 0 && s->workers_len >= 3)
		most = 1;
	return s->ejected < most;
}

/* Whether no worker is left that is not ejected. */
static bool
none_left(const struct agb_sched *s)
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
sched_health_last(struct agb_sched *s)
{
	struct sched_worker *w;
	uint32_t i;

	if (s->ejected == 0 || !none_left(s))
		return false;
	for (i = 0; i < s->workers_cap; i++) {
		w = &s->workers[i];
		if (!w->known || !w->ejected || w->probing)
			continue;
		w->probing = true;
		decision(s, w, "on trial, no other worker is left");
		sched_worker_refresh(s, w);
	}
	return true;
}

static void
eject(struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	agb_time wait = w->probes == 0 ? PROBE_FIRST : PROBE_AGAIN;
	char text[96];

	wait += sched_random(s) % (wait / 4);
	if (!w->ejected) {
		w->ejected = true;
		w->ejected_at = now;
		s->ejected++;
		clear_jobs(s, w);
	}
	w->probing = false;
	w->probe_at = now + wait;
	snprintf(text, sizeof(text), "ejected after %u failures, trial in %u s",
	    w->evidence_len, (unsigned)(wait / AGB_SEC));
	decision(s, w, text);
	sched_timer_add(s, w->probe_at, TIMER_PROBE, w->self, 0, 0);
	sched_worker_refresh(s, w);
	sched_health_last(s);
}

static void
sound(struct agb_sched *s, struct sched_worker *w)
{
	if (w->ejected) {
		w->ejected = false;
		w->probing = false;
		s->ejected--;
		decision(s, w, "reinstated after a trial");
	} else if (w->evidence_len == 0) {
		w->refused = 0;
		return;
	}
	w->evidence_len = 0;
	w->refused = 0;
	w->probes = 0;
	sched_worker_refresh(s, w);
}

static void
against(struct agb_sched *s, agb_time now, struct sched_worker *w, uint64_t key,
    uint32_t job)
{
	uint32_t i;

	if (w->ejected)
		return;
	for (i = 0; i < w->evidence_len; i++) {
		if (w->evidence[i].key == key)
			return;
	}
	if (w->evidence_len < SCHED_EVIDENCE)
		w->evidence[w->evidence_len++] =
		    (struct sched_evidence){key, job};
	if (w->evidence_len >= EJECT_AT && may_eject(s)) {
		eject(s, now, w);
		return;
	}
	sched_timer_add(s, now + EVIDENCE_AGE, TIMER_PROBE, w->self, 0, 0);
	sched_worker_refresh(s, w);
}

/* Returns false when the job is over for failing everywhere. */
static bool
job_failed(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_worker *w)
{
	uint32_t i;

	if (failed_on(j, w))
		return true;
	if (j->fail_workers_len < SCHED_FAIL_WORKERS)
		j->fail_workers[j->fail_workers_len++] = w->self;
	if (j->fail_workers_len < 2)
		return true;
	for (i = 0; i < j->fail_workers_len; i++)
		forget(s, j->fail_workers[i], j->serial);
	if (j->fail_workers_len < SCHED_FAIL_WORKERS || j->ending)
		return true;
	j->ran = true;
	sched_job_end(s, now, j, AGB_REASON_FAILS_EVERYWHERE,
	    "failed on %d different workers, the last was %s",
	    SCHED_FAIL_WORKERS, w->info.name);
	return false;
}

static void
quick_ended(struct agb_sched *s, agb_time now, struct sched_worker *w,
    const struct sched_ending *e)
{
	if (e->result == AGB_RESULT_FAILED || e->result == AGB_RESULT_LOST) {
		/* One service alone may be given bad requests: it counts
		 * once, however many of them fail. */
		against(s, now, w, KEY_QUICK | e->work, AGB_SCHED_NONE);
	} else if (e->result == AGB_RESULT_NOT_STARTED &&
	    ++w->refused >= REFUSED_AT && !w->ejected && may_eject(s)) {
		eject(s, now, w);
	}
}

static void
trial_over(struct agb_sched *s, agb_time now, struct sched_worker *w,
    const struct sched_ending *e)
{
	if (e->result == AGB_RESULT_FAILED ||
	    e->result == AGB_RESULT_NOT_STARTED) {
		w->probes++;
		eject(s, now, w);
	}
}

bool
sched_health_ended(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_ending *e)
{
	struct sched_worker *const w = sched_worker_get(s, e->worker);
	const bool healthy = w != NULL && !w->ejected;
	const agb_time since = now - e->ran_for;

	if (w == NULL || w->state == AGB_WORKER_GONE)
		return true;
	if (e->result == AGB_RESULT_OK) {
		if (since > w->bad_since)
			sound(s, w);
		return true;
	}
	if (e->result != AGB_RESULT_STOPPED &&
	    e->result != AGB_RESULT_CHECKPOINTED && since > w->bad_since)
		w->bad_since = since;
	/* Started before it was ejected, an attempt is no trial. */
	if (w->ejected && e->probe && since >= w->ejected_at) {
		trial_over(s, now, w, e);
	} else if (e->quick) {
		quick_ended(s, now, w, e);
		return true;
	}
	if (j == NULL || !healthy || e->result != AGB_RESULT_FAILED)
		return true;
	/* A job already seen to fail elsewhere tells nothing of a worker. */
	if (j->fail_workers_len < 1 || j->fail_workers[0] == w->self)
		against(s, now, w, j->serial, j->handle);
	if (w->ejected)
		return true;
	return job_failed(s, now, j, w);
}

void
sched_health_trial(struct agb_sched *s, agb_time now, struct sched_worker *w)
{
	sched_timer_add(s, now + TRIAL_RUN, TIMER_PROBE, w->self, 0, 0);
}

void
sched_health_timer(
    struct agb_sched *s, agb_time now, const struct sched_timer *t)
{
	struct sched_worker *const w = sched_worker_get(s, t->a);
	const struct sched_att *a;

	if (w == NULL || (!w->ejected && w->evidence_len == 0))
		return;
	for (a = w->atts; a != NULL; a = a->next) {
		if (a->probe && a->state == ATT_RUNNING &&
		    now - a->placed_at >= TRIAL_RUN) {
			sound(s, w);
			return;
		}
	}
	if (!w->ejected && now - w->bad_since >= EVIDENCE_AGE)
		sound(s, w);
	if (w->ejected && !w->probing && now >= w->probe_at) {
		w->probing = true;
		decision(s, w, "on trial");
		sched_worker_refresh(s, w);
	}
}

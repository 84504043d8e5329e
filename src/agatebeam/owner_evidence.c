#include <string.h>

#include "owner_internal.h"

static const struct agb_env_class *
find_class(const struct agb_owner *o, const struct own_task *t)
{
	const uint16_t work = agb_env_work_find(o->env, t->job->work);

	return work != AGB_ENV_NONE
	    ? &o->env->classes[o->env->works[work].klass]
	    : NULL;
}

/*
 * Time from which silence proves that a task has stopped by itself, or
 * AGB_TIME_MAX. Only the owner that the worker has obeyed in this epoch can
 * count on it: before that, an older owner may be renewing the session.
 */
agb_time
own_silence_proof_at(const struct agb_owner *o, const struct own_worker *w,
    const struct own_task *t)
{
	const struct agb_env_class *const k = find_class(o, t);
	agb_time autonomy;

	if (!w->obeyed || k == NULL || k->on_isolation != AGB_ISOLATION_STOP ||
	    t->state == OWN_TASK_COMMITTING)
		return AGB_TIME_MAX;
	autonomy = k->autonomy_ms * AGB_MS;
	return w->lease_until + autonomy + autonomy / 10 + OWN_SESSION_MARGIN;
}

/* Ends the tasks of a worker that @has_ended names; the list changes meanwhile. */
static void
end_tasks(struct agb_owner *o, agb_time now, struct own_worker *w,
    bool (*has_ended)(const struct agb_owner *, agb_time,
	const struct own_worker *, const struct own_task *, enum agb_result *),
    struct agb_effects *out)
{
	enum agb_result result;
	size_t i = w->tasks.len;

	while (i-- > 0) {
		struct own_task *const t =
		    i < w->tasks.len ? w->tasks.items[i] : NULL;

		if (t == NULL || !has_ended(o, now, w, t, &result))
			continue;
		agb_effects_log(out, AGB_LOG_WARN, "evidence",
		    "job=%s task=%u attempt=%llu-%llu worker=%s result=%s",
		    t->job->id, t->number, (unsigned long long)t->attempt.epoch,
		    (unsigned long long)t->attempt.seq, w->instance.id,
		    result == AGB_RESULT_LOST ? "lost" : "not-started");
		own_task_end(o, now, t, result, NULL, NULL, out);
	}
}

/* The worker restarted: what it had been sent and no longer has is lost. */
static bool
lost_in_reboot(const struct agb_owner *o, agb_time now,
    const struct own_worker *w, const struct own_task *t,
    enum agb_result *result)
{
	(void)o;
	(void)now;
	*result = AGB_RESULT_LOST;
	if (t->reported)
		return false;
	if (t->state == OWN_TASK_UNCONFIRMED)
		return strcmp(t->boot_id, w->boot_id) != 0;
	return (t->state == OWN_TASK_RUNNING ||
		   t->state == OWN_TASK_STARTING) &&
	    t->start_sent && strcmp(t->boot_id, w->boot_id) != 0;
}

/*
 * The worker has answered the takeover and its first report with the same
 * memory as when the task was placed there, and names the task in neither.
 * Ended tasks are remembered until their end is acknowledged, and ends are
 * acknowledged only once durable, so the start of a held task never reached
 * it. It cannot arrive later either: the takeover raised the worker's epoch,
 * and a late start carries the older one and is refused.
 */
static bool
missing_from_report(const struct agb_owner *o, agb_time now,
    const struct own_worker *w, const struct own_task *t,
    enum agb_result *result)
{
	(void)o;
	(void)now;
	(void)w;
	*result = t->state == OWN_TASK_UNCONFIRMED ? AGB_RESULT_NOT_STARTED
						   : AGB_RESULT_LOST;
	return t->report_expected && !t->reported &&
	    (t->state == OWN_TASK_UNCONFIRMED || t->state == OWN_TASK_RUNNING);
}

static bool
stopped_by_silence(const struct agb_owner *o, agb_time now,
    const struct own_worker *w, const struct own_task *t,
    enum agb_result *result)
{
	*result = AGB_RESULT_LOST;
	return now >= own_silence_proof_at(o, w, t);
}

static bool
lost_with_worker(const struct agb_owner *o, agb_time now,
    const struct own_worker *w, const struct own_task *t,
    enum agb_result *result)
{
	(void)o;
	(void)now;
	(void)w;
	*result = t->state == OWN_TASK_COMMITTING ? AGB_RESULT_NOT_STARTED
						  : AGB_RESULT_LOST;
	return true;
}

/* Until when calls to a silent worker have to rest, because one that gets
 * through unanswered would start its clock anew; 0 when they need not. */
agb_time
own_call_not_before(
    const struct agb_owner *o, agb_time now, const struct own_worker *w)
{
	agb_time until = 0, at;
	size_t i;

	if (w->failed_since == 0 || now < w->lease_until)
		return 0;
	for (i = 0; i < w->tasks.len; i++) {
		at = own_silence_proof_at(o, w, w->tasks.items[i]);
		if (at > now && at <= now + OWN_CALL_PAUSE_MAX && at > until)
			until = at;
	}
	return until;
}

/* The worker has restarted since tasks were placed there. */
void
own_evidence_on_reboot(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	end_tasks(o, now, w, lost_in_reboot, out);
}

/* The first report after a takeover has come. */
void
own_evidence_on_report(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	end_tasks(o, now, w, missing_from_report, out);
}

/* The worker has been silent for long. */
void
own_evidence_on_silence(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	end_tasks(o, now, w, stopped_by_silence, out);
}

/* The list says that the worker is gone, and its session has lapsed. */
void
own_evidence_on_gone(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	end_tasks(o, now, w, lost_with_worker, out);
}

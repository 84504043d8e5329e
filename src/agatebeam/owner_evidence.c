#include <string.h>

#include "owner_internal.h"

static const struct agb_env_class *
find_class(const struct agb_owner *o, const struct own_task *t)
{
	const uint16_t work = agb_env_work_find(o->env, t->job->work);

	return work != AGB_ENV_NONE
	    ? &o->env->classes[o->env->works[work].class_index]
	    : NULL;
}

/*
 * Time from which the silence of a worker proves that the task has stopped, or
 * AGB_TIME_MAX. A task of a class with on_isolation STOP is stopped by its
 * worker once the session has expired and the autonomy time is over as well.
 * For clock drift, 10% is added to the autonomy time. The proof is valid only if
 * the worker has accepted a session of this epoch: before that, an older owner
 * may be renewing the session.
 */
agb_time
own_silence_proof_at(const struct agb_owner *o, const struct own_worker *w,
    const struct own_task *t)
{
	const struct agb_env_class *const k = find_class(o, t);
	agb_time autonomy;

	if (!w->epoch_accepted || k == NULL ||
	    k->on_isolation != AGB_ISOLATION_STOP ||
	    t->state == OWN_TASK_COMMITTING)
		return AGB_TIME_MAX;
	autonomy = k->autonomy_ms * AGB_MS;
	return w->session_ends_by + autonomy + autonomy / 10 +
	    OWN_SESSION_MARGIN;
}

/* Ends the tasks of a worker for which @has_ended is true. Each end can change
 * the list of tasks. */
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

/* The worker has restarted. A task that was sent to it before and that it does
 * not report any more is lost. */
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
 * The worker has answered the session call and the first renewal, has not
 * restarted since the task was placed there, and names the task in neither
 * answer. A worker remembers ended tasks until their end is acknowledged, and
 * an end is acknowledged only once it is durable. So the START of an
 * unconfirmed task never reached the worker. It cannot arrive later either: the
 * session call raised the worker's epoch, and the worker refuses a late START
 * because it carries the older epoch.
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

/* The worker has been silent for longer than the task can run on its own. */
static bool
stopped_by_silence(const struct agb_owner *o, agb_time now,
    const struct own_worker *w, const struct own_task *t,
    enum agb_result *result)
{
	*result = AGB_RESULT_LOST;
	return now >= own_silence_proof_at(o, w, t);
}

/* The worker does not exist any more. */
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

/* Time until which calls to a silent worker are suspended, or 0. A call that
 * reaches the worker but whose answer is lost would extend the session, so that
 * the worker's silence would never prove that its tasks have stopped. */
agb_time
own_call_not_before(
    const struct agb_owner *o, agb_time now, const struct own_worker *w)
{
	agb_time until = 0, at;
	size_t i;

	if (w->failed_since == 0 || now < w->session_ends_by)
		return 0;
	for (i = 0; i < w->tasks.len; i++) {
		at = own_silence_proof_at(o, w, w->tasks.items[i]);
		if (at > now && at <= now + OWN_CALL_PAUSE_MAX && at > until)
			until = at;
	}
	return until;
}

/* Called when a worker has answered a session call. Ends the tasks that it lost
 * if it has restarted. */
void
own_evidence_on_reboot(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	end_tasks(o, now, w, lost_in_reboot, out);
}

/* Called after the first renewal of a session. Ends the tasks that the worker
 * should have reported but did not. */
void
own_evidence_on_report(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	end_tasks(o, now, w, missing_from_report, out);
}

/* Called while a suspect worker does not answer. Ends the tasks that must have
 * stopped by now. */
void
own_evidence_on_silence(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	end_tasks(o, now, w, stopped_by_silence, out);
}

/* Called when the instance list reports the worker as gone and its session has
 * expired. Ends all of its tasks. */
void
own_evidence_on_gone(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	end_tasks(o, now, w, lost_with_worker, out);
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

void
own_task_id(const struct own_task *t, agb_id id)
{
	snprintf(id, AGB_ID_LEN, "%.51s/%u", t->job->id, t->number);
}

struct own_task *
own_task_find(const struct agb_owner *o, const char *id)
{
	const char *const slash = strrchr(id, '/');
	struct own_job *j;
	unsigned long n;
	char *end;

	if (slash == NULL || slash[1] == '\0')
		return NULL;
	j = own_map_get(&o->job_ids, id, (size_t)(slash - id));
	n = strtoul(slash + 1, &end, 10);
	if (j == NULL || *end != '\0' || n >= j->tasks_len)
		return NULL;
	return &j->tasks[n];
}

static struct own_task *
task_from_effect(const struct agb_owner *o, const struct agb_sched_effect *e)
{
	struct own_job *const j = own_handle_get(&o->job_handles, e->job);

	return j != NULL && e->task < j->tasks_len ? &j->tasks[e->task] : NULL;
}

static void
log_task(struct agb_effects *out, const char *what, const struct own_task *t,
    const char *detail)
{
	agb_effects_log(out, AGB_LOG_INFO, what,
	    "job=%s task=%u attempt=%" PRIu64 "-%" PRIu64 " worker=%s%s%s%s",
	    t->job->id, t->number, t->attempt.epoch, t->attempt.seq,
	    t->worker_id, detail[0] != '\0' ? " detail=\"" : "", detail,
	    detail[0] != '\0' ? "\"" : "");
}

/* Reports the end of an attempt to the scheduler. */
static void
report_end(struct agb_owner *o, agb_time now, const struct own_job *j,
    uint32_t task, const struct agb_attempt *attempt, enum agb_result result,
    struct agb_effects *out)
{
	const struct agb_sched_event ev = {.type = AGB_SCHED_TASK_ENDED,
	    .job = j->sched_handle,
	    .task = task,
	    .attempt = *attempt,
	    .result = result};

	if (j->sched_handle != AGB_SCHED_NONE)
		own_sched_step(o, now, &ev, out);
}

/*
 * The scheduler has chosen a worker for a task. The START record becomes durable
 * before the START command is sent, for idempotent work too. Otherwise a new
 * owner, which does not know of that start, could start the task elsewhere while
 * the command of the old owner is still in flight to a worker that has not
 * accepted the new epoch, and the task would run twice at the same time.
 */
void
own_task_place(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_task *const t = task_from_effect(o, e);
	struct own_worker *const w =
	    own_handle_get(&o->worker_handles, e->worker);
	agb_j_record rec = {.type = AGB_J_START};
	agb_j_start *const s = &rec.agb_j_record_u.start;

	if (t == NULL)
		return;
	if (w == NULL || t->state != OWN_TASK_WAITING) {
		agb_effects_log(out, AGB_LOG_WARN, "deny",
		    "job=%s task=%u reason=\"the worker is gone or an earlier "
		    "start has no known result\"",
		    t->job->id, t->number);
		report_end(o, now, t->job, t->number, &e->attempt,
		    AGB_RESULT_NOT_STARTED, out);
		return;
	}
	t->state = OWN_TASK_COMMITTING;
	t->attempt = e->attempt;
	t->worker = w;
	t->need = e->need;
	t->run_ms = e->run_ms;
	t->start_sent = false;
	t->stopping = false;
	t->report_expected = false;
	t->reported = false;
	free(t->result_text);
	t->result_text = NULL;
	agb_str_copy(t->worker_id, sizeof(t->worker_id), w->instance.id);
	agb_str_copy(t->boot_id, sizeof(t->boot_id), w->boot_id);
	own_indexed_add(&w->tasks, t);
	agb_effects_log(out, AGB_LOG_INFO, "place",
	    "job=%s task=%u attempt=%" PRIu64 "-%" PRIu64
	    " worker=%s weighed=%u cpu=%lld mem=%lld accel=%lld "
	    "reason=\"%s\"",
	    t->job->id, t->number, e->attempt.epoch, e->attempt.seq,
	    w->instance.id, e->considered, (long long)e->need.cpu_milli,
	    (long long)e->need.mem_mb, (long long)e->need.accel, e->detail);
	s->job = t->job->id;
	s->task = t->number;
	s->epoch = e->attempt.epoch;
	s->seq = e->attempt.seq;
	s->worker = t->worker_id;
	s->boot = t->boot_id;
	/* An owner that is shutting down starts nothing. */
	if (!o->term)
		own_commit_add(o, now, &rec, OWN_WAITER_START, t, 0);
}

/* The START record is durable, so the START command may be sent. */
void
own_task_on_durable(
    struct agb_owner *o, struct own_task *t, const struct agb_attempt *attempt)
{
	struct agb_command c = {.kind = AGB_COMMAND_START};
	uint16_t work;

	if (o->term || t->state != OWN_TASK_COMMITTING ||
	    !own_attempt_eq(&t->attempt, attempt))
		return;
	t->state = OWN_TASK_STARTING;
	own_task_id(t, c.task);
	c.attempt = t->attempt;
	c.need = t->need;
	c.run_ms = t->run_ms;
	c.args = t->job->args;
	c.args_len = t->job->args_len;
	work = agb_env_work_find(o->env, t->job->work);
	if (work != AGB_ENV_NONE) {
		const struct agb_env_class *const k =
		    &o->env->classes[o->env->works[work].class_index];

		c.on_isolation = k->on_isolation;
		c.autonomy_ms = k->autonomy_ms;
	}
	own_command_add(o, t->worker, &c);
}

static void
send_control(struct agb_owner *o, const struct own_task *t,
    enum agb_command_kind kind, const struct agb_resources *need)
{
	struct agb_command c = {.kind = kind};

	own_task_id(t, c.task);
	c.attempt = t->attempt;
	if (need != NULL)
		c.need = *need;
	own_command_add(o, t->worker, &c);
}

void
own_task_stop(struct agb_owner *o, const struct own_task *t)
{
	(void)own_command_remove(t->worker, AGB_COMMAND_STOP, &t->attempt);
	send_control(o, t, AGB_COMMAND_STOP, NULL);
}

/* The scheduler asks to stop, checkpoint or throttle a task. */
void
own_task_control(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_task *const t = task_from_effect(o, e);

	if (t == NULL || t->worker == NULL ||
	    !own_attempt_eq(&t->attempt, &e->attempt))
		return;
	log_task(out,
	    e->type == AGB_SCHED_STOP		? "stop"
		: e->type == AGB_SCHED_THROTTLE ? "throttle"
						: "checkpoint",
	    t, e->detail[0] != '\0' ? e->detail : agb_reason_name(e->reason));
	if (e->type == AGB_SCHED_THROTTLE) {
		t->need = e->need;
		send_control(o, t, AGB_COMMAND_THROTTLE, &e->need);
		return;
	}
	/* A start that has not been sent is cancelled. One that has been sent
	 * may arrive at any time, so a STOP is sent after it. */
	if (t->state == OWN_TASK_COMMITTING ||
	    (t->state == OWN_TASK_STARTING && !t->start_sent)) {
		own_task_end(
		    o, now, t, AGB_RESULT_NOT_STARTED, NULL, NULL, out);
		return;
	}
	t->stopping = true;
	if (t->state == OWN_TASK_UNCONFIRMED)
		return;
	if (e->type == AGB_SCHED_CHECKPOINT)
		send_control(o, t, AGB_COMMAND_CHECKPOINT, NULL);
	else
		own_task_stop(o, t);
}

/* Cancels the starts that have not been sent, because they wait for the store
 * or for the worker: a worker that is leaving gets no new tasks. */
void
own_task_recall_unsent(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	struct own_task *t;
	size_t i;

	for (i = w->tasks.len; i-- > 0;) {
		if (i >= w->tasks.len)
			continue;
		t = w->tasks.items[i];
		if (t->state == OWN_TASK_COMMITTING ||
		    (t->state == OWN_TASK_STARTING && !t->start_sent))
			own_task_end(
			    o, now, t, AGB_RESULT_NOT_STARTED, NULL, NULL, out);
	}
}

void
own_task_started(struct agb_owner *o, agb_time now, struct own_task *t,
    struct agb_effects *out)
{
	const struct agb_sched_event ev = {.type = AGB_SCHED_TASK_STARTED,
	    .job = t->job->sched_handle,
	    .task = t->number,
	    .attempt = t->attempt};

	if (t->state != OWN_TASK_STARTING)
		return;
	t->state = OWN_TASK_RUNNING;
	log_task(out, "start", t, "");
	if (t->job->sched_handle != AGB_SCHED_NONE)
		own_sched_step(o, now, &ev, out);
}

static const char *
result_name(enum agb_result r)
{
	static const char *const names[] = {
	    "ok", "failed", "not-started", "lost", "stopped", "checkpointed"};

	return (unsigned)r < sizeof(names) / sizeof(names[0]) ? names[r] : "?";
}

/* Bytes of result text kept per task, so that all fit into the job's result. */
static size_t
result_text_max(const struct own_job *j)
{
	return j->tasks_len == 1 ? AGB_X_ARGS_MAX
				 : AGB_X_ARGS_MAX / 2 / j->tasks_len;
}

/* Detaches a task from its worker and removes its unsent commands. */
void
own_task_detach(struct own_task *t)
{
	(void)own_command_remove(t->worker, AGB_COMMAND_START, &t->attempt);
	(void)own_command_remove(t->worker, AGB_COMMAND_STOP, &t->attempt);
	own_indexed_del(&t->worker->tasks, t);
	t->worker = NULL;
}

/* Sets the result of the latest attempt. */
void
own_task_set_result(struct own_task *t, enum agb_result result)
{
	t->result = result;
	t->state = result == AGB_RESULT_OK ? OWN_TASK_ENDED : OWN_TASK_WAITING;
	if (result == AGB_RESULT_LOST)
		t->job->any_lost = true;
	else if (result != AGB_RESULT_NOT_STARTED)
		t->job->any_ran = true;
}

/*
 * Ends the present attempt of a task.
 * @ack: worker whose event reported the end, which is acknowledged once the end
 *	is durable; NULL when the end was not reported by an event
 */
void
own_task_end(struct agb_owner *o, agb_time now, struct own_task *t,
    enum agb_result result, const char *text, struct own_worker *ack,
    struct agb_effects *out)
{
	agb_j_record rec = {.type = AGB_J_ENDED};
	agb_j_ended *const r = &rec.agb_j_record_u.ended;
	size_t len;

	if (t->worker == NULL)
		return;
	own_task_detach(t);
	own_task_set_result(t, result);
	free(t->result_text);
	t->result_text = NULL;
	if (text != NULL) {
		len = strnlen(text, result_text_max(t->job));
		t->result_text = agb_xmemdup(text, len);
		r->text.text_val = t->result_text;
		r->text.text_len = (u_int)len;
	}
	log_task(out, "end", t, result_name(result));
	r->job = t->job->id;
	r->task = t->number;
	r->epoch = t->attempt.epoch;
	r->seq = t->attempt.seq;
	r->result = (int)result;
	own_commit_add(o, now, &rec,
	    ack != NULL ? OWN_WAITER_ACK : OWN_WAITER_NONE, ack, 0);
	report_end(o, now, t->job, t->number, &t->attempt, result, out);
}

/* The answer to a session call names a task that is assigned to the worker. */
void
own_task_adopt(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct own_task *t, struct agb_effects *out)
{
	struct agb_sched_event ev = {.type = AGB_SCHED_TASK_ADOPT};

	if (t->state == OWN_TASK_UNCONFIRMED) {
		t->state = OWN_TASK_RUNNING;
		t->start_sent = true;
		log_task(out, "adopt", t, "");
		ev.worker = w->sched_handle;
		ev.job = t->job->sched_handle;
		ev.task = t->number;
		ev.attempt = t->attempt;
		ev.used = t->job->need;
		if (t->job->sched_handle != AGB_SCHED_NONE)
			own_sched_step(o, now, &ev, out);
	} else {
		own_task_started(o, now, t, out);
	}
	/* The scheduler asks for a stop only once. A STOP that could not be
	 * sent while the task was unconfirmed, or that has had no effect, is
	 * sent again here. */
	t->stopping = t->stopping || t->job->cancelled;
	if (t->stopping && t->worker == w)
		own_task_stop(o, t);
}

/*
 * Passes the recovered state of a task to the scheduler of a new owner. A failed
 * or lost attempt of non-idempotent work is reported again, so that the task is
 * not started a second time.
 */
void
own_task_restore(struct agb_owner *o, agb_time now, struct own_task *t,
    struct agb_effects *out)
{
	struct agb_sched_event ev = {.type = AGB_SCHED_TASK_INTENT};
	const struct own_job *const j = t->job;

	if (j->sched_handle == AGB_SCHED_NONE || t->attempt.epoch == 0)
		return;
	ev.job = j->sched_handle;
	ev.task = t->number;
	ev.attempt = t->attempt;
	if (t->state == OWN_TASK_ENDED) {
		ev.type = AGB_SCHED_TASK_DONE;
		own_sched_step(o, now, &ev, out);
		return;
	}
	if (t->state == OWN_TASK_WAITING) {
		if (j->idempotent || t->result == AGB_RESULT_NOT_STARTED ||
		    t->result == AGB_RESULT_CHECKPOINTED)
			return;
		ev.worker = AGB_SCHED_NONE;
		own_sched_step(o, now, &ev, out);
		report_end(o, now, j, t->number, &t->attempt, t->result, out);
		return;
	}
	if (t->state != OWN_TASK_UNCONFIRMED)
		return;
	if (t->worker == NULL) {
		t->worker = own_worker_ensure(o, now, t->worker_id);
		own_indexed_add(&t->worker->tasks, t);
	}
	ev.worker = t->worker->sched_handle;
	ev.used = j->need;
	own_sched_step(o, now, &ev, out);
	log_task(out, "hold", t, "started by an earlier owner, end not known");
}

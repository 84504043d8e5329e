#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

void
own_task_id(const struct own_task *t, agb_id id)
{
	snprintf(id, AGB_ID_LEN, "%.51s/%u", t->job->id, t->n);
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
task_of(const struct agb_owner *o, const struct agb_sched_effect *e)
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
	    t->job->id, t->n, t->attempt.epoch, t->attempt.seq, t->worker,
	    detail[0] != '\0' ? " detail=\"" : "", detail,
	    detail[0] != '\0' ? "\"" : "");
}

static void
feed_end(struct agb_owner *o, agb_time now, const struct own_job *j,
    uint32_t task, const struct agb_attempt *attempt, enum agb_result result,
    struct agb_effects *out)
{
	const struct agb_sched_event ev = {.type = AGB_SCHED_TASK_ENDED,
	    .job = j->handle,
	    .task = task,
	    .attempt = *attempt,
	    .result = result};

	if (j->handle != AGB_SCHED_NONE)
		own_sched_feed(o, now, &ev, out);
}

/*
 * Placement has chosen a worker. The intent becomes durable before the start
 * is sent, for idempotent work too: a new owner may start what it knows no
 * intent of, while an older owner's start is still on its way to a worker
 * that has not been taken over, and the task would run twice at once.
 */
void
own_task_place(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_task *const t = task_of(o, e);
	struct own_worker *const w =
	    own_handle_get(&o->worker_handles, e->worker);
	agb_j_record rec = {.type = AGB_J_START};
	agb_j_start *const s = &rec.agb_j_record_u.start;

	if (t == NULL)
		return;
	if (w == NULL || t->state != OWN_TASK_WAITING) {
		agb_effects_log(out, AGB_LOG_WARN, "deny",
		    "job=%s task=%u reason=\"an earlier start is not "
		    "settled\"",
		    t->job->id, t->n);
		feed_end(o, now, t->job, t->n, &e->attempt,
		    AGB_RESULT_NOT_STARTED, out);
		return;
	}
	t->state = OWN_TASK_INTENT;
	t->attempt = e->attempt;
	t->at = w;
	t->need = e->need;
	t->run_ms = e->run_ms;
	t->sent = false;
	t->stopping = false;
	t->expected = false;
	t->in_list = false;
	free(t->text);
	t->text = NULL;
	agb_name_set(t->worker, sizeof(t->worker), w->inst.id);
	agb_name_set(t->boot, sizeof(t->boot), w->boot);
	own_list_add(&w->tasks, t);
	agb_effects_log(out, AGB_LOG_INFO, "place",
	    "job=%s task=%u attempt=%" PRIu64 "-%" PRIu64
	    " worker=%s weighed=%u cpu=%lld mem=%lld accel=%lld "
	    "reason=\"%s\"",
	    t->job->id, t->n, e->attempt.epoch, e->attempt.seq, w->inst.id,
	    e->considered, (long long)e->need.cpu_milli,
	    (long long)e->need.mem_mb, (long long)e->need.accel, e->detail);
	s->job = t->job->id;
	s->task = t->n;
	s->epoch = e->attempt.epoch;
	s->seq = e->attempt.seq;
	s->worker = t->worker;
	s->boot = t->boot;
	/* An owner that hands over starts nothing more. */
	if (!o->term)
		own_commit_add(o, now, &rec, OWN_WAIT_START, t, 0);
}

/* The intent is durable. */
void
own_task_durable(
    struct agb_owner *o, struct own_task *t, const struct agb_attempt *attempt)
{
	struct agb_command c = {.kind = AGB_COMMAND_START};
	uint16_t work;

	if (o->term || t->state != OWN_TASK_INTENT ||
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
		    &o->env->classes[o->env->works[work].klass];

		c.on_isolation = k->on_isolation;
		c.autonomy_ms = k->autonomy_ms;
	}
	own_command_add(o, t->at, &c);
}

static void
control(struct agb_owner *o, const struct own_task *t,
    enum agb_command_kind kind, const struct agb_resources *need)
{
	struct agb_command c = {.kind = kind};

	own_task_id(t, c.task);
	c.attempt = t->attempt;
	if (need != NULL)
		c.need = *need;
	own_command_add(o, t->at, &c);
}

void
own_task_stop(struct agb_owner *o, const struct own_task *t)
{
	(void)own_command_unqueue(t->at, AGB_COMMAND_STOP, &t->attempt);
	control(o, t, AGB_COMMAND_STOP, NULL);
}

/* Placement wants a task stopped, checkpointed or throttled. */
void
own_task_control(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_task *const t = task_of(o, e);

	if (t == NULL || t->at == NULL ||
	    !own_attempt_eq(&t->attempt, &e->attempt))
		return;
	log_task(out,
	    e->type == AGB_SCHED_STOP		? "stop"
		: e->type == AGB_SCHED_THROTTLE ? "throttle"
						: "checkpoint",
	    t, e->detail[0] != '\0' ? e->detail : agb_reason_name(e->reason));
	if (e->type == AGB_SCHED_THROTTLE) {
		t->need = e->need;
		control(o, t, AGB_COMMAND_THROTTLE, &e->need);
		return;
	}
	/* A start that no call has carried can be taken back. One that has
	 * been sent may arrive at any time, so its stop follows it. */
	if (t->state == OWN_TASK_INTENT ||
	    (t->state == OWN_TASK_STARTING && !t->sent)) {
		own_task_end(
		    o, now, t, AGB_RESULT_NOT_STARTED, NULL, NULL, out);
		return;
	}
	t->stopping = true;
	if (t->state == OWN_TASK_HELD)
		return;
	if (e->type == AGB_SCHED_CHECKPOINT)
		control(o, t, AGB_COMMAND_CHECKPOINT, NULL);
	else
		own_task_stop(o, t);
}

/* Takes back the starts that no call has carried: a worker that leaves gets
 * nothing new, however long its starts waited for the store or for it. */
void
own_task_unsent(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out)
{
	struct own_task *t;
	size_t i;

	for (i = w->tasks.len; i-- > 0;) {
		if (i >= w->tasks.len)
			continue;
		t = w->tasks.items[i];
		if (t->state == OWN_TASK_INTENT ||
		    (t->state == OWN_TASK_STARTING && !t->sent))
			own_task_end(
			    o, now, t, AGB_RESULT_NOT_STARTED, NULL, NULL, out);
	}
}

void
own_task_started(struct agb_owner *o, agb_time now, struct own_task *t,
    struct agb_effects *out)
{
	const struct agb_sched_event ev = {.type = AGB_SCHED_TASK_STARTED,
	    .job = t->job->handle,
	    .task = t->n,
	    .attempt = t->attempt};

	if (t->state != OWN_TASK_STARTING)
		return;
	t->state = OWN_TASK_RUNNING;
	log_task(out, "start", t, "");
	if (t->job->handle != AGB_SCHED_NONE)
		own_sched_feed(o, now, &ev, out);
}

static const char *
result_name(enum agb_result r)
{
	static const char *const names[] = {
	    "ok", "failed", "not-started", "lost", "stopped", "checkpointed"};

	return (unsigned)r < sizeof(names) / sizeof(names[0]) ? names[r] : "?";
}

/* Bytes of result text kept of one task, so that all fit into a result. */
static size_t
text_max(const struct own_job *j)
{
	return j->tasks_len == 1 ? AGB_X_ARGS_MAX
				 : AGB_X_ARGS_MAX / 2 / j->tasks_len;
}

/* Takes a task off its worker, with the commands not sent yet. */
void
own_task_leave(struct own_task *t)
{
	(void)own_command_unqueue(t->at, AGB_COMMAND_START, &t->attempt);
	(void)own_command_unqueue(t->at, AGB_COMMAND_STOP, &t->attempt);
	own_list_del(&t->at->tasks, t);
	t->at = NULL;
}

/* Notes how the latest attempt ended. */
void
own_task_result(struct own_task *t, enum agb_result result)
{
	t->result = result;
	t->state = result == AGB_RESULT_OK ? OWN_TASK_ENDED : OWN_TASK_WAITING;
	if (result == AGB_RESULT_LOST)
		t->job->lost = true;
	else if (result != AGB_RESULT_NOT_STARTED)
		t->job->ran = true;
}

/*
 * Ends an attempt.
 * @ack: worker whose event told it, acknowledged once the end is durable
 */
void
own_task_end(struct agb_owner *o, agb_time now, struct own_task *t,
    enum agb_result result, const char *text, struct own_worker *ack,
    struct agb_effects *out)
{
	agb_j_record rec = {.type = AGB_J_ENDED};
	agb_j_ended *const r = &rec.agb_j_record_u.ended;
	size_t len;

	if (t->at == NULL)
		return;
	own_task_leave(t);
	own_task_result(t, result);
	free(t->text);
	t->text = NULL;
	if (text != NULL) {
		len = strnlen(text, text_max(t->job));
		t->text = agb_xmemdup(text, len);
		r->text.text_val = t->text;
		r->text.text_len = (u_int)len;
	}
	log_task(out, "end", t, result_name(result));
	r->job = t->job->id;
	r->task = t->n;
	r->epoch = t->attempt.epoch;
	r->seq = t->attempt.seq;
	r->result = (int)result;
	own_commit_add(
	    o, now, &rec, ack != NULL ? OWN_WAIT_ACK : OWN_WAIT_NONE, ack, 0);
	feed_end(o, now, t->job, t->n, &t->attempt, result, out);
}

/* A session reply names a task that it is known to have. */
void
own_task_adopt(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct own_task *t, struct agb_effects *out)
{
	struct agb_sched_event ev = {.type = AGB_SCHED_TASK_ADOPT};

	if (t->state == OWN_TASK_HELD) {
		t->state = OWN_TASK_RUNNING;
		t->sent = true;
		log_task(out, "adopt", t, "");
		ev.worker = w->handle;
		ev.job = t->job->handle;
		ev.task = t->n;
		ev.attempt = t->attempt;
		ev.used = t->job->need;
		if (t->job->handle != AGB_SCHED_NONE)
			own_sched_feed(o, now, &ev, out);
	} else {
		own_task_started(o, now, t, out);
	}
	/* Placement asks for a stop once; one that could not be sent while
	 * the task was held, or that was not settled, is asked for again. */
	t->stopping = t->stopping || t->job->cancelled;
	if (t->stopping && t->at == w)
		own_task_stop(o, t);
}

/*
 * Tells placement what a new owner knows of a task from the journal. A
 * failed or lost attempt of non-idempotent work is told again, so that the
 * task is not started a second time.
 */
void
own_task_resume(struct agb_owner *o, agb_time now, struct own_task *t,
    struct agb_effects *out)
{
	struct agb_sched_event ev = {.type = AGB_SCHED_TASK_INTENT};
	const struct own_job *const j = t->job;

	if (j->handle == AGB_SCHED_NONE || t->attempt.epoch == 0)
		return;
	ev.job = j->handle;
	ev.task = t->n;
	ev.attempt = t->attempt;
	if (t->state == OWN_TASK_ENDED) {
		ev.type = AGB_SCHED_TASK_DONE;
		own_sched_feed(o, now, &ev, out);
		return;
	}
	if (t->state == OWN_TASK_WAITING) {
		if (j->idempotent || t->result == AGB_RESULT_NOT_STARTED ||
		    t->result == AGB_RESULT_CHECKPOINTED)
			return;
		ev.worker = AGB_SCHED_NONE;
		own_sched_feed(o, now, &ev, out);
		feed_end(o, now, j, t->n, &t->attempt, t->result, out);
		return;
	}
	if (t->state != OWN_TASK_HELD)
		return;
	if (t->at == NULL) {
		t->at = own_worker_of(o, now, t->worker);
		own_list_add(&t->at->tasks, t);
	}
	ev.worker = t->at->handle;
	ev.used = j->need;
	own_sched_feed(o, now, &ev, out);
	log_task(out, "hold", t, "start intent without an end");
}

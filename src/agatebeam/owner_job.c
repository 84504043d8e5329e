#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"
#include "owner_internal.h"

/* Interval of the checks for expired jobs and keys, which need not be exact. */
#define EXPIRE_INTERVAL (1 * AGB_SEC)

/* Returns "<team>\0<key>" as a new string, so that equal keys of different
 * teams differ. */
char *
own_dedup_key(const char *team, const char *key, size_t *len)
{
	char *const s = agb_xasprintf("%s%c%s", team, '\0', key);

	*len = strlen(team) + 1 + strlen(key);
	return s;
}

struct own_job *
own_job_new(struct agb_owner *o, const agb_j_job *r)
{
	struct own_job *const j = agb_xcalloc(1, sizeof(*j));
	uint32_t i;

	j->sched_handle = AGB_SCHED_NONE;
	agb_str_copy(j->id, sizeof(j->id), r->job);
	agb_str_copy(j->work, sizeof(j->work), r->work);
	agb_str_copy(j->team, sizeof(j->team), r->team);
	j->need.cpu_milli = r->cpu_milli;
	j->need.mem_mb = r->mem_mb;
	j->need.accel = r->accel;
	j->run_ms = r->run_ms;
	j->deadline_ms = r->deadline_ms;
	j->idempotent = r->idempotent;
	j->args = agb_xmemdup(r->args.args_val, r->args.args_len);
	j->args_len = r->args.args_len;
	j->tasks_len = r->tasks;
	j->tasks = agb_xcalloc(r->tasks, sizeof(*j->tasks));
	for (i = 0; i < r->tasks; i++) {
		j->tasks[i].job = j;
		j->tasks[i].number = i;
	}
	own_indexed_add(&o->jobs, j);
	own_map_put(&o->job_ids, j->id, strlen(j->id), j);
	if (r->key[0] != '\0') {
		j->dedup_key =
		    own_dedup_key(r->team, r->key, &j->dedup_key_len);
		own_map_put(&o->job_keys, j->dedup_key, j->dedup_key_len, j);
	}
	return j;
}

void
own_job_delete(struct agb_owner *o, struct own_job *j)
{
	uint32_t i;

	own_indexed_del(&o->jobs, j);
	own_map_del(&o->job_ids, j->id, strlen(j->id));
	if (j->dedup_key != NULL)
		own_map_del(&o->job_keys, j->dedup_key, j->dedup_key_len);
	for (i = 0; i < j->tasks_len; i++)
		free(j->tasks[i].result_text);
	free(j->tasks);
	free(j->submit_tokens);
	free(j->dedup_key);
	free(j->args);
	free(j->result);
	free(j);
}

static bool
was_placed(const struct own_job *j)
{
	uint32_t i;

	for (i = 0; i < j->tasks_len; i++) {
		if (j->tasks[i].attempt.epoch != 0)
			return true;
	}
	return false;
}

/* Adds an accepted job to the scheduler, with the known state of its tasks. */
void
own_job_schedule(struct agb_owner *o, agb_time now, struct own_job *j,
    struct agb_effects *out)
{
	struct agb_job_spec spec = {0};
	struct agb_sched_event ev = {.type = AGB_SCHED_JOB_ADD, .spec = &spec};
	uint32_t i;

	if (j->sched_handle != AGB_SCHED_NONE || j->ended || !j->durable)
		return;
	spec.work = agb_env_work_find(o->env, j->work);
	spec.team = agb_env_team_find(o->env, j->team);
	if (spec.work == AGB_ENV_NONE || spec.team == AGB_ENV_NONE) {
		agb_effects_log(out, AGB_LOG_WARN, "hold",
		    "job=%s reason=\"the document names no work %s or team "
		    "%s\"",
		    j->id, j->work, j->team);
		return;
	}
	j->sched_handle = own_handle_new(&o->job_handles, j);
	spec.tasks = j->tasks_len;
	spec.need = j->need;
	spec.run_ms = j->run_ms;
	spec.accepted_at = j->accepted_at;
	spec.deadline = j->deadline_ms != 0
	    ? j->accepted_at + j->deadline_ms * AGB_MS
	    : AGB_TIME_MAX;
	/* The deadline is for the first start only. */
	if (was_placed(j))
		spec.deadline = AGB_TIME_MAX - 1;
	spec.idempotent = j->idempotent;
	ev.job = j->sched_handle;
	own_sched_step(o, now, &ev, out);
	for (i = 0; i < j->tasks_len; i++)
		own_task_restore(o, now, &j->tasks[i], out);
	if (j->cancelled && j->sched_handle != AGB_SCHED_NONE) {
		ev.type = AGB_SCHED_JOB_CANCEL;
		own_sched_step(o, now, &ev, out);
	}
}

/* Counts the ended tasks of a job, or those that run or may run. */
static uint32_t
count_tasks(const struct own_job *j, bool ended)
{
	uint32_t i, n = 0;

	for (i = 0; i < j->tasks_len; i++) {
		const struct own_task *const t = &j->tasks[i];

		if (ended ? t->state == OWN_TASK_ENDED
			  : t->state == OWN_TASK_STARTING ||
			    t->state == OWN_TASK_RUNNING ||
			    t->state == OWN_TASK_UNCONFIRMED)
			n++;
	}
	return n;
}

/* Answers a JOB_GET or CANCEL call with the state of a job.
 * @detail: detail text, or NULL for that of the job */
void
own_job_reply_state(const struct own_job *j, enum agb_x_proc proc,
    uint64_t token, const char *detail, struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	agb_x_job_res *const r = &ef->u.rpc_res.agb_x_res_u.job_get;

	ef->token = token;
	ef->u.rpc_res.proc = proc;
	r->found = true;
	r->tasks = j->tasks_len;
	r->running = j->done ? 0 : count_tasks(j, false);
	r->ended = j->done ? j->tasks_len : count_tasks(j, true);
	r->state = agb_xstrdup(j->done ? "done"
		: r->running > 0       ? "running"
				       : "queued");
	r->outcome = j->done ? (int)j->outcome : AGB_OUTCOME_UNKNOWN;
	r->reason = j->done ? (int)j->reason : AGB_REASON_NONE;
	r->detail = agb_xstrdup(detail != NULL ? detail : j->detail);
	if (j->done && j->result_len > 0) {
		r->result.result_val = agb_xmemdup(j->result, j->result_len);
		r->result.result_len = (u_int)j->result_len;
	}
}

/* The accepted job with this id, or NULL when another team owns it. */
static struct own_job *
find_team_job(const struct agb_owner *o, const char *id, const char *team)
{
	struct own_job *const j = own_map_get(&o->job_ids, id, strlen(id));

	return j != NULL && j->durable && strcmp(j->team, team) == 0 ? j : NULL;
}

static void
reply_not_found(uint64_t token, enum agb_x_proc proc, struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	agb_x_job_res *const r = &ef->u.rpc_res.agb_x_res_u.job_get;

	ef->token = token;
	ef->u.rpc_res.proc = proc;
	r->state = agb_xstrdup("");
	r->outcome = AGB_OUTCOME_UNKNOWN;
	r->reason = AGB_REASON_NOT_FOUND;
	r->detail = agb_xstrdup("no such job");
}

void
own_job_get(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_job_get_args *a, struct agb_effects *out)
{
	struct own_job *const j = find_team_job(o, a->job, a->team);
	struct own_job_wait *w;

	if (j == NULL) {
		reply_not_found(token, AGB_X_JOB_GET, out);
		return;
	}
	if (j->done || a->wait_ms == 0) {
		own_job_reply_state(j, AGB_X_JOB_GET, token, NULL, out);
		return;
	}
	w = agb_xcalloc(1, sizeof(*w));
	w->token = token;
	w->job = j;
	w->deadline = now + a->wait_ms * AGB_MS;
	own_indexed_add(&o->job_waits, w);
	own_wake_at(o, w->deadline);
}

/*
 * Answers waiting JOB_GET calls.
 * @only: calls for this job; if NULL, all calls, or just those whose deadline
 *	has passed when @detail is NULL too
 */
static void
answer_waits(struct agb_owner *o, agb_time now, const struct own_job *only,
    const char *detail, struct agb_effects *out)
{
	size_t i = o->job_waits.len;

	while (i-- > 0) {
		struct own_job_wait *const w = o->job_waits.items[i];

		if (only != NULL ? w->job != only
				 : detail == NULL && now < w->deadline) {
			own_wake_at(o, w->deadline);
			continue;
		}
		own_job_reply_state(
		    w->job, AGB_X_JOB_GET, w->token, detail, out);
		own_indexed_del(&o->job_waits, w);
		free(w);
	}
}

void
own_job_answer_waits(
    struct agb_owner *o, const char *detail, struct agb_effects *out)
{
	answer_waits(o, 0, NULL, detail, out);
}

/* Result of the whole job: the text of its only task, or a JSON array. */
static void
compose_result(struct own_job *j)
{
	struct json_object *all;
	const char *text;
	size_t len = 0;
	uint32_t i;

	if (j->tasks_len == 1) {
		j->result = agb_xstrdup(j->tasks[0].result_text);
		j->result_len = strlen(j->result);
		return;
	}
	all = json_object_new_array();
	for (i = 0; i < j->tasks_len; i++)
		json_object_array_add(all,
		    j->tasks[i].result_text != NULL
			? json_object_new_string(j->tasks[i].result_text)
			: NULL);
	text = json_object_to_json_string_length(
	    all, JSON_C_TO_STRING_PLAIN, &len);
	/* Escape sequences can make the array longer than a result may be. The
	 * job then has no result text. */
	if (len <= AGB_X_ARGS_MAX) {
		j->result = agb_xmemdup(text, len);
		j->result_len = len;
	}
	json_object_put(all);
}

static void
job_end(struct agb_owner *o, agb_time now, struct own_job *j,
    enum agb_outcome outcome, enum agb_reason reason, const char *detail,
    struct agb_effects *out)
{
	agb_j_record rec = {.type = AGB_J_DONE};
	agb_j_done *const r = &rec.agb_j_record_u.done;

	j->ended = true;
	j->outcome = outcome;
	j->reason = reason;
	agb_str_copy(j->detail, sizeof(j->detail), detail);
	compose_result(j);
	agb_effects_log(out, AGB_LOG_INFO, "done",
	    "job=%s outcome=%s reason=%s detail=\"%s\"", j->id,
	    agb_outcome_name(outcome), agb_reason_name(reason), j->detail);
	r->job = j->id;
	r->outcome = (int)outcome;
	r->reason = (int)reason;
	r->detail = j->detail;
	r->result.result_val = j->result;
	r->result.result_len = (u_int)j->result_len;
	own_commit_add(o, now, &rec, OWN_WAITER_DONE, j, 0);
}

/* The scheduler has ended a job. Callers learn of it once the DONE record is
 * durable. */
void
own_job_on_done(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_job *const j = own_handle_get(&o->job_handles, e->job);
	enum agb_outcome outcome = e->outcome;
	uint32_t i;

	if (j == NULL)
		return;
	own_handle_del(&o->job_handles, j->sched_handle);
	j->sched_handle = AGB_SCHED_NONE;
	for (i = 0; i < j->tasks_len; i++) {
		struct own_task *const t = &j->tasks[i];

		/* An attempt that has not ended is detached from the job: when
		 * the worker reports it later, it is stopped there. */
		if (t->worker == NULL)
			continue;
		own_task_detach(t);
		j->any_lost = true;
	}
	/* The scheduler does not know what ran before this owner was elected,
	 * and it counts a lost attempt as one that ran, though it may never
	 * have started. */
	if (outcome == AGB_OUTCOME_NOT_RUN && (j->any_ran || j->any_lost))
		outcome = j->any_lost ? AGB_OUTCOME_UNKNOWN : AGB_OUTCOME_RAN;
	else if (outcome == AGB_OUTCOME_RAN && j->any_lost && !j->any_ran)
		outcome = AGB_OUTCOME_UNKNOWN;
	job_end(o, now, j, outcome, e->reason, e->detail, out);
}

void
own_job_finish(struct agb_owner *o, agb_time now, struct own_job *j,
    struct agb_effects *out)
{
	j->done = true;
	j->done_at = now;
	free(j->args);
	j->args = NULL;
	j->args_len = 0;
	own_vec_add(&o->done_jobs, j);
	answer_waits(o, now, j, NULL, out);
	if (o->expire_at == 0)
		o->expire_at = now + EXPIRE_INTERVAL;
	own_wake_at(o, o->expire_at);
}

void
own_job_cancel(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_cancel_args *a, struct agb_effects *out)
{
	struct own_job *const j = find_team_job(o, a->job, a->team);
	agb_j_record rec = {.type = AGB_J_CANCEL};
	struct agb_sched_event ev = {.type = AGB_SCHED_JOB_CANCEL};
	const bool isolated = !own_lease_held(o, now);

	if (j == NULL) {
		reply_not_found(token, AGB_X_CANCEL, out);
		return;
	}
	if (j->done) {
		own_job_reply_state(j, AGB_X_CANCEL, token, NULL, out);
		return;
	}
	rec.agb_j_record_u.cancel.job = j->id;
	own_commit_add(
	    o, now, &rec, OWN_WAITER_CANCEL, j, isolated ? 0 : token);
	if (!j->cancelled) {
		agb_effects_log(out, AGB_LOG_INFO, "cancel", "job=%s", j->id);
		j->cancelled = true;
		ev.job = j->sched_handle;
		if (j->sched_handle != AGB_SCHED_NONE)
			own_sched_step(o, now, &ev, out);
		else if (!j->ended && !was_placed(j))
			job_end(o, now, j, AGB_OUTCOME_NOT_RUN,
			    AGB_REASON_CANCELLED,
			    "cancelled before it was placed", out);
	}
	if (isolated)
		own_job_reply_state(j, AGB_X_CANCEL, token,
		    "being cancelled, but the store cannot be reached to "
		    "make that durable",
		    out);
}

static void
expire_jobs(struct agb_owner *o, agb_time now)
{
	struct own_vec *const d = &o->done_jobs;

	while (o->done_jobs_head < d->len) {
		struct own_job *const j = d->items[o->done_jobs_head];

		if (j->record_refs > 0 ||
		    (d->len - o->done_jobs_head <= OWN_RETAINED_JOBS_MAX &&
			now < j->done_at + OWN_RETENTION))
			break;
		own_job_delete(o, j);
		o->done_jobs_head++;
	}
	if (o->done_jobs_head > 64 && o->done_jobs_head * 2 > d->len) {
		d->len -= o->done_jobs_head;
		memmove(d->items, d->items + o->done_jobs_head,
		    d->len * sizeof(*d->items));
		o->done_jobs_head = 0;
	}
}

/* Answers waiting calls whose time is over, and deletes expired jobs and
 * keys. */
void
own_job_sweep(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	if (!own_serving(o))
		return;
	answer_waits(o, now, NULL, NULL, out);
	if (o->done_jobs_head >= o->done_jobs.len && o->keys.len == 0) {
		o->expire_at = 0;
		return;
	}
	if (now >= o->expire_at) {
		expire_jobs(o, now);
		own_key_expire(o, now);
		o->expire_at = now + EXPIRE_INTERVAL;
	}
	own_wake_at(o, o->expire_at);
}

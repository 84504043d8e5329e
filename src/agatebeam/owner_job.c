#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"
#include "owner_internal.h"

/* Retention is looked at this often; it need not be exact. */
#define RETAIN_EVERY (1 * AGB_SEC)

/* "<team>\0<key>": keys of different teams do not meet. */
char *
own_dedup(const char *team, const char *key, size_t *len)
{
	const size_t t = strlen(team) + 1;
	const size_t k = strlen(key);
	char *const s = agb_xcalloc(t + k + 1, 1);

	memcpy(s, team, t);
	memcpy(s + t, key, k);
	*len = t + k;
	return s;
}

struct own_job *
own_job_new(struct agb_owner *o, const agb_j_job *r)
{
	struct own_job *const j = agb_xcalloc(1, sizeof(*j));
	uint32_t i;

	j->handle = AGB_SCHED_NONE;
	agb_name_set(j->id, sizeof(j->id), r->job);
	agb_name_set(j->work, sizeof(j->work), r->work);
	agb_name_set(j->team, sizeof(j->team), r->team);
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
		j->tasks[i].n = i;
	}
	own_list_add(&o->jobs, j);
	own_map_put(&o->job_ids, j->id, strlen(j->id), j);
	if (r->key[0] != '\0') {
		j->dedup = own_dedup(r->team, r->key, &j->dedup_len);
		own_map_put(&o->job_keys, j->dedup, j->dedup_len, j);
	}
	return j;
}

void
own_job_delete(struct agb_owner *o, struct own_job *j)
{
	uint32_t i;

	own_list_del(&o->jobs, j);
	own_map_del(&o->job_ids, j->id, strlen(j->id));
	if (j->dedup != NULL)
		own_map_del(&o->job_keys, j->dedup, j->dedup_len);
	for (i = 0; i < j->tasks_len; i++)
		free(j->tasks[i].text);
	free(j->tasks);
	free(j->tokens);
	free(j->dedup);
	free(j->args);
	free(j->result);
	free(j);
}

static void
submit_reply(const struct agb_owner *o, uint64_t token, const char *job,
    enum agb_outcome outcome, enum agb_reason reason, const char *detail,
    struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	agb_x_submit_res *const r = &ef->u.rpc_res.agb_x_res_u.submit;

	ef->token = token;
	ef->u.rpc_res.proc = AGB_X_SUBMIT;
	r->env_version = o->env->version;
	r->accepted = job != NULL;
	r->job = agb_xstrdup(job);
	r->outcome = (int)outcome;
	r->reason = (int)reason;
	r->retry_ms = reason == AGB_REASON_ISOLATED ? 1000
	    : reason == AGB_REASON_NO_OWNER	    ? 200
						    : 0;
	r->detail = agb_xstrdup(detail);
}

/* Answers the calls that wait for a job's record. */
void
own_job_refuse(const struct agb_owner *o, const struct own_job *j,
    enum agb_outcome outcome, enum agb_reason reason, const char *detail,
    struct agb_effects *out)
{
	size_t i;

	for (i = 0; i < j->tokens_len; i++)
		submit_reply(o, j->tokens[i], NULL, outcome, reason, detail,
		    out);
}

static void
token_add(struct own_job *j, uint64_t token)
{
	j->tokens = agb_xreallocarray(
	    j->tokens, j->tokens_len + 1, sizeof(*j->tokens));
	j->tokens[j->tokens_len++] = token;
}

static bool
over(int64_t need, int64_t max)
{
	return need < 0 || (max > 0 && need > max);
}

static enum agb_reason
submit_check(const struct agb_owner *o, const agb_x_submit_args *a,
    const char **detail)
{
	const uint16_t work = agb_env_work_find(o->env, a->work);
	const uint16_t team = agb_env_team_find(o->env, a->team);
	const struct agb_env_work *k;

	*detail = "no such work in the document";
	if (work == AGB_ENV_NONE)
		return AGB_REASON_NO_SERVICE;
	k = &o->env->works[work];
	*detail = "the team may not use this work";
	if (team == AGB_ENV_NONE || (k->teams >> team & 1) == 0)
		return AGB_REASON_NOT_ALLOWED;
	*detail = "quick work is not submitted as a job";
	if (o->env->classes[k->klass].policy == AGB_POLICY_QUICK)
		return AGB_REASON_BAD_REQUEST;
	*detail = "tasks must be 1 to 10000";
	if (a->tasks < 1 || a->tasks > OWN_TASKS_MAX)
		return AGB_REASON_BAD_REQUEST;
	*detail = "the need is over the work's need_max";
	if (over(a->need.cpu_milli, k->need_max.cpu_milli) ||
	    over(a->need.mem_mb, k->need_max.mem_mb) ||
	    over(a->need.accel, k->need_max.accel))
		return AGB_REASON_BAD_REQUEST;
	return AGB_REASON_NONE;
}

static void
submit_new(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_submit_args *a, struct agb_effects *out)
{
	const struct agb_env_work *const k =
	    &o->env->works[agb_env_work_find(o->env, a->work)];
	agb_j_record rec = {.type = AGB_J_JOB};
	agb_j_job *const r = &rec.agb_j_record_u.job;
	struct own_job *j;
	char id[AGB_ID_LEN];
	int n;

	n = snprintf(id, sizeof(id), "%s-%llx-%llx", o->cfg.domain,
	    (unsigned long long)o->epoch, (unsigned long long)++o->job_seq);
	/* A task id appends up to 11 characters. */
	if (n < 0 || (size_t)n + 12 > sizeof(id)) {
		submit_reply(o, token, NULL, AGB_NOT_RUN,
		    AGB_REASON_BAD_REQUEST,
		    "the domain's name is too long for a job id", out);
		return;
	}
	r->job = id;
	r->work = a->work;
	r->team = a->team;
	r->key = a->key;
	r->tasks = a->tasks;
	r->cpu_milli = a->need.cpu_milli;
	r->mem_mb = a->need.mem_mb;
	r->accel = a->need.accel;
	if (a->need.cpu_milli == 0 && a->need.mem_mb == 0 &&
	    a->need.accel == 0) {
		r->cpu_milli = k->need.cpu_milli;
		r->mem_mb = k->need.mem_mb;
		r->accel = k->need.accel;
	}
	r->run_ms = a->run_ms != 0 ? a->run_ms : k->run_ms;
	r->deadline_ms = a->deadline_ms != 0
	    ? a->deadline_ms
	    : o->env->classes[k->klass].deadline_ms;
	r->idempotent = a->idempotent;
	r->args.args_val = a->args.args_val;
	r->args.args_len = a->args.args_len;
	j = own_job_new(o, r);
	j->accepted_at = now;
	token_add(j, token);
	own_commit_add(o, now, &rec, OWN_WAIT_SUBMIT, j, 0);
}

void
own_job_submit(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_submit_args *a, struct agb_effects *out)
{
	const char *detail;
	enum agb_reason reason;
	struct own_job *j = NULL;
	char *dedup;
	size_t len;

	if (a->key[0] != '\0') {
		dedup = own_dedup(a->team, a->key, &len);
		j = own_map_get(&o->job_keys, dedup, len);
		free(dedup);
	}
	if (j != NULL && j->durable) {
		submit_reply(o, token, j->id, AGB_NOT_RUN, AGB_REASON_NONE,
		    "accepted before under this key", out);
		return;
	}
	if (j != NULL) {
		token_add(j, token);
		return;
	}
	reason = submit_check(o, a, &detail);
	if (reason == AGB_REASON_NONE && !own_leased(o, now)) {
		reason = AGB_REASON_ISOLATED;
		detail = "the store cannot be reached to accept the job";
	}
	if (reason != AGB_REASON_NONE) {
		agb_effects_log(out, AGB_LOG_INFO, "deny",
		    "work=%s team=%s reason=%s", a->work, a->team,
		    agb_reason_name(reason));
		submit_reply(
		    o, token, NULL, AGB_NOT_RUN, reason, detail, out);
		return;
	}
	submit_new(o, now, token, a, out);
}

static bool
ever_placed(const struct own_job *j)
{
	uint32_t i;

	for (i = 0; i < j->tasks_len; i++) {
		if (j->tasks[i].attempt.epoch != 0)
			return true;
	}
	return false;
}

/* Gives a job to placement, with what is known of its tasks. */
void
own_job_schedule(struct agb_owner *o, agb_time now, struct own_job *j,
    struct agb_effects *out)
{
	struct agb_job_spec spec = {0};
	struct agb_sched_event ev = {.type = AGB_SCHED_JOB_ADD, .spec = &spec};
	uint32_t i;

	if (j->handle != AGB_SCHED_NONE || j->ended || !j->durable)
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
	j->handle = own_handle_new(&o->job_handles, j);
	spec.tasks = j->tasks_len;
	spec.need = j->need;
	spec.run_ms = j->run_ms;
	spec.accepted_at = j->accepted_at;
	spec.deadline = j->deadline_ms != 0
	    ? j->accepted_at + j->deadline_ms * AGB_MS
	    : AGB_TIME_MAX;
	/* A deadline is for the first start. */
	if (ever_placed(j))
		spec.deadline = AGB_TIME_MAX - 1;
	spec.idempotent = j->idempotent;
	ev.job = j->handle;
	own_sched_feed(o, now, &ev, out);
	for (i = 0; i < j->tasks_len; i++)
		own_task_resume(o, now, &j->tasks[i], out);
	if (j->cancelled && j->handle != AGB_SCHED_NONE) {
		ev.type = AGB_SCHED_JOB_CANCEL;
		own_sched_feed(o, now, &ev, out);
	}
}

/* The job's record is durable: it is accepted. */
void
own_job_submitted(struct agb_owner *o, agb_time now, struct own_job *j,
    struct agb_effects *out)
{
	size_t i;

	j->durable = true;
	for (i = 0; i < j->tokens_len; i++)
		submit_reply(o, j->tokens[i], j->id, AGB_NOT_RUN,
		    AGB_REASON_NONE, "", out);
	j->tokens_len = 0;
	agb_effects_log(out, AGB_LOG_INFO, "accept",
	    "job=%s work=%s team=%s tasks=%u", j->id, j->work, j->team,
	    j->tasks_len);
	own_job_schedule(o, now, j, out);
}

static uint32_t
count(const struct own_job *j, bool ended)
{
	uint32_t i, n = 0;

	for (i = 0; i < j->tasks_len; i++) {
		const struct own_task *const t = &j->tasks[i];

		if (ended ? t->state == OWN_TASK_ENDED
			  : t->state == OWN_TASK_STARTING ||
				t->state == OWN_TASK_RUNNING ||
				t->state == OWN_TASK_HELD)
			n++;
	}
	return n;
}

/* Answers with the state of a job. @note: detail, or NULL for the job's */
void
own_job_state(const struct own_job *j, enum agb_x_proc proc, uint64_t token,
    const char *note, struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	agb_x_job_res *const r = &ef->u.rpc_res.agb_x_res_u.job_get;

	ef->token = token;
	ef->u.rpc_res.proc = proc;
	r->found = true;
	r->tasks = j->tasks_len;
	r->running = j->done ? 0 : count(j, false);
	r->ended = j->done ? j->tasks_len : count(j, true);
	r->state = agb_xstrdup(j->done ? "done"
		: r->running > 0	       ? "running"
					       : "queued");
	r->outcome = j->done ? (int)j->outcome : AGB_UNKNOWN;
	r->reason = j->done ? (int)j->reason : AGB_REASON_NONE;
	r->detail = agb_xstrdup(note != NULL ? note : j->detail);
	if (j->done && j->result_len > 0) {
		r->result.result_val = agb_xmemdup(j->result, j->result_len);
		r->result.result_len = (u_int)j->result_len;
	}
}

/* A team sees only its own jobs. */
static struct own_job *
job_of(const struct agb_owner *o, const char *id, const char *team)
{
	struct own_job *const j = own_map_get(&o->job_ids, id, strlen(id));

	return j != NULL && j->durable && strcmp(j->team, team) == 0 ? j
								     : NULL;
}

static void
not_found(uint64_t token, enum agb_x_proc proc, struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	agb_x_job_res *const r = &ef->u.rpc_res.agb_x_res_u.job_get;

	ef->token = token;
	ef->u.rpc_res.proc = proc;
	r->state = agb_xstrdup("");
	r->outcome = AGB_UNKNOWN;
	r->reason = AGB_REASON_NOT_FOUND;
	r->detail = agb_xstrdup("no such job");
}

void
own_job_get(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_job_get_args *a, struct agb_effects *out)
{
	struct own_job *const j = job_of(o, a->job, a->team);
	struct own_wait *w;

	if (j == NULL) {
		not_found(token, AGB_X_JOB_GET, out);
		return;
	}
	if (j->done || a->wait_ms == 0) {
		own_job_state(j, AGB_X_JOB_GET, token, NULL, out);
		return;
	}
	w = agb_xcalloc(1, sizeof(*w));
	w->token = token;
	w->job = j;
	w->until = now + a->wait_ms * AGB_MS;
	own_list_add(&o->waits, w);
	own_wake(o, w->until);
}

static void
waits_answer(struct agb_owner *o, agb_time now, const struct own_job *only,
    const char *note, struct agb_effects *out)
{
	size_t i = o->waits.len;

	while (i-- > 0) {
		struct own_wait *const w = o->waits.items[i];

		if (only != NULL ? w->job != only
				 : note == NULL && now < w->until) {
			own_wake(o, w->until);
			continue;
		}
		own_job_state(w->job, AGB_X_JOB_GET, w->token, note, out);
		own_list_del(&o->waits, w);
		free(w);
	}
}

void
own_job_drop_waits(
    struct agb_owner *o, const char *note, struct agb_effects *out)
{
	waits_answer(o, 0, NULL, note, out);
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
		j->result = agb_xstrdup(j->tasks[0].text);
		j->result_len = strlen(j->result);
		return;
	}
	all = json_object_new_array();
	for (i = 0; i < j->tasks_len; i++)
		json_object_array_add(all,
		    j->tasks[i].text != NULL
			? json_object_new_string(j->tasks[i].text)
			: NULL);
	text = json_object_to_json_string_length(
	    all, JSON_C_TO_STRING_PLAIN, &len);
	/* Escapes can make it longer than a result may be. */
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
	agb_name_set(j->detail, sizeof(j->detail), detail);
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
	own_commit_add(o, now, &rec, OWN_WAIT_DONE, j, 0);
}

/* Placement has ended a job. Callers hear of it once that is durable. */
void
own_job_ended(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out)
{
	struct own_job *const j = own_handle_get(&o->job_handles, e->job);
	enum agb_outcome outcome = e->outcome;
	uint32_t i;

	if (j == NULL)
		return;
	own_handle_del(&o->job_handles, j->handle);
	j->handle = AGB_SCHED_NONE;
	for (i = 0; i < j->tasks_len; i++) {
		struct own_task *const t = &j->tasks[i];

		/* Ended with an attempt still out: whatever the worker says
		 * of it later, it is stopped there. */
		if (t->at == NULL)
			continue;
		own_task_leave(t);
		j->lost = true;
	}
	/* Placement does not know what ran before a takeover. */
	if (outcome == AGB_NOT_RUN && (j->ran || j->lost))
		outcome = j->lost ? AGB_UNKNOWN : AGB_RAN;
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
	own_vec_add(&o->done, j);
	waits_answer(o, now, j, NULL, out);
	if (o->retain_at == 0)
		o->retain_at = now + RETAIN_EVERY;
	own_wake(o, o->retain_at);
}

void
own_job_cancel(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_cancel_args *a, struct agb_effects *out)
{
	struct own_job *const j = job_of(o, a->job, a->team);
	agb_j_record rec = {.type = AGB_J_CANCEL};
	struct agb_sched_event ev = {.type = AGB_SCHED_JOB_CANCEL};
	const bool isolated = !own_leased(o, now);

	if (j == NULL) {
		not_found(token, AGB_X_CANCEL, out);
		return;
	}
	if (j->done) {
		own_job_state(j, AGB_X_CANCEL, token, NULL, out);
		return;
	}
	rec.agb_j_record_u.cancel.job = j->id;
	own_commit_add(
	    o, now, &rec, OWN_WAIT_CANCEL, j, isolated ? 0 : token);
	if (!j->cancelled) {
		agb_effects_log(out, AGB_LOG_INFO, "cancel", "job=%s", j->id);
		j->cancelled = true;
		ev.job = j->handle;
		if (j->handle != AGB_SCHED_NONE)
			own_sched_feed(o, now, &ev, out);
		else if (!j->ended && !ever_placed(j))
			job_end(o, now, j, AGB_NOT_RUN, AGB_REASON_CANCELLED,
			    "cancelled before it was placed", out);
	}
	if (isolated)
		own_job_state(j, AGB_X_CANCEL, token,
		    "being cancelled, but the store cannot be reached to "
		    "make that durable",
		    out);
}

static void
retain(struct agb_owner *o, agb_time now)
{
	struct own_vec *const d = &o->done;

	while (o->done_head < d->len) {
		struct own_job *const j = d->items[o->done_head];

		if (j->refs > 0 ||
		    (d->len - o->done_head <= OWN_KEEP_DONE_MAX &&
			now < j->done_at + OWN_KEEP_DONE))
			break;
		own_job_delete(o, j);
		o->done_head++;
	}
	if (o->done_head > 64 && o->done_head * 2 > d->len) {
		d->len -= o->done_head;
		memmove(d->items, d->items + o->done_head,
		    d->len * sizeof(*d->items));
		o->done_head = 0;
	}
}

/* Answers waits that have run out and drops jobs that finished long ago. */
void
own_job_sweep(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	if (!own_serving(o))
		return;
	waits_answer(o, now, NULL, NULL, out);
	if (o->done_head >= o->done.len && o->keys.len == 0) {
		o->retain_at = 0;
		return;
	}
	if (now >= o->retain_at) {
		retain(o, now);
		own_key_retain(o, now);
		o->retain_at = now + RETAIN_EVERY;
	}
	own_wake(o, o->retain_at);
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"
#include "proto.h"

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

/* Refuses the calls that wait for a job's record to become durable. */
void
own_job_refuse(const struct agb_owner *o, const struct own_job *j,
    enum agb_outcome outcome, enum agb_reason reason, const char *detail,
    struct agb_effects *out)
{
	size_t i;

	for (i = 0; i < j->submit_tokens_len; i++)
		submit_reply(
		    o, j->submit_tokens[i], NULL, outcome, reason, detail, out);
}

static void
token_add(struct own_job *j, uint64_t token)
{
	j->submit_tokens = agb_xreallocarray(j->submit_tokens,
	    j->submit_tokens_len + 1, sizeof(*j->submit_tokens));
	j->submit_tokens[j->submit_tokens_len++] = token;
}

static bool
exceeds(int64_t need, int64_t max)
{
	return need < 0 || (max > 0 && need > max);
}

/* Resources of each task: those of the work when the caller gave none. */
static struct agb_resources
task_need(const agb_x_submit_args *a, const struct agb_env_work *k)
{
	const struct agb_resources need =
	    agb_proto_resources_from_msg(&a->need);

	if (need.cpu_milli == 0 && need.mem_mb == 0 && need.accel == 0)
		return k->need;
	return need;
}

/*
 * Checks whether a job may be accepted here. A job that the workers of the shard
 * can never hold is refused, so that the entry instance asks another shard.
 * @why: buffer for a detail text that is composed here
 * @detail: set to the detail text, which is valid if the job is refused
 * Return: the reason of the refusal, or AGB_REASON_NONE.
 */
static enum agb_reason
check_submit(const struct agb_owner *o, const agb_x_submit_args *a,
    char why[AGB_DETAIL_LEN], const char **detail)
{
	struct agb_resources need;
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
	if (o->env->classes[k->class_index].policy == AGB_POLICY_QUICK)
		return AGB_REASON_BAD_REQUEST;
	*detail = "tasks must be 1 to 10000";
	if (a->tasks < 1 || a->tasks > OWN_TASKS_MAX)
		return AGB_REASON_BAD_REQUEST;
	*detail = "the need is over the work's need_max";
	if (exceeds(a->need.cpu_milli, k->need_max.cpu_milli) ||
	    exceeds(a->need.mem_mb, k->need_max.mem_mb) ||
	    exceeds(a->need.accel, k->need_max.accel))
		return AGB_REASON_BAD_REQUEST;
	need = task_need(a, k);
	*detail = why;
	if (!agb_sched_feasible(
		o->sched, work, a->tasks, &need, why, AGB_DETAIL_LEN))
		return AGB_REASON_NEVER_FITS;
	return AGB_REASON_NONE;
}

static void
submit_new(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_submit_args *a, struct agb_effects *out)
{
	const struct agb_env_work *const k =
	    &o->env->works[agb_env_work_find(o->env, a->work)];
	const struct agb_resources need = task_need(a, k);
	agb_j_record rec = {.type = AGB_J_JOB};
	agb_j_job *const r = &rec.agb_j_record_u.job;
	struct own_job *j;
	char id[AGB_ID_LEN];
	int n;

	n = snprintf(id, sizeof(id), "%s-%llx-%llx", o->cfg.domain,
	    (unsigned long long)o->epoch, (unsigned long long)++o->job_seq);
	/* A task id appends a slash and the task number: up to 11 characters. */
	if (n < 0 || (size_t)n + 12 > sizeof(id)) {
		submit_reply(o, token, NULL, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_BAD_REQUEST,
		    "the domain's name is too long for a job id", out);
		return;
	}
	r->job = id;
	r->work = a->work;
	r->team = a->team;
	r->key = a->key;
	r->tasks = a->tasks;
	r->cpu_milli = need.cpu_milli;
	r->mem_mb = need.mem_mb;
	r->accel = need.accel;
	r->run_ms = a->run_ms != 0 ? a->run_ms : k->run_ms;
	r->deadline_ms = a->deadline_ms != 0
	    ? a->deadline_ms
	    : o->env->classes[k->class_index].deadline_ms;
	r->idempotent = a->idempotent;
	r->args.args_val = a->args.args_val;
	r->args.args_len = a->args.args_len;
	j = own_job_new(o, r);
	j->accepted_at = now;
	token_add(j, token);
	own_commit_add(o, now, &rec, OWN_WAITER_SUBMIT, j, 0);
}

void
own_job_submit(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_submit_args *a, struct agb_effects *out)
{
	char why[AGB_DETAIL_LEN];
	const char *detail;
	enum agb_reason reason;
	struct own_job *j = NULL;
	char *dedup;
	size_t len;

	if (a->key[0] != '\0') {
		dedup = own_dedup_key(a->team, a->key, &len);
		j = own_map_get(&o->job_keys, dedup, len);
		free(dedup);
	}
	if (j != NULL && j->durable) {
		submit_reply(o, token, j->id, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_NONE, "accepted before under this key", out);
		return;
	}
	if (j != NULL) {
		token_add(j, token);
		return;
	}
	reason = check_submit(o, a, why, &detail);
	if (reason == AGB_REASON_NONE && !own_lease_held(o, now)) {
		reason = AGB_REASON_ISOLATED;
		detail = "the store cannot be reached to accept the job";
	}
	if (reason != AGB_REASON_NONE) {
		agb_effects_log(out, AGB_LOG_INFO, "deny",
		    "work=%s team=%s reason=%s", a->work, a->team,
		    agb_reason_name(reason));
		submit_reply(
		    o, token, NULL, AGB_OUTCOME_NOT_RUN, reason, detail, out);
		return;
	}
	submit_new(o, now, token, a, out);
}

/* The JOB record is durable, so the job is accepted. */
void
own_job_accept(struct agb_owner *o, agb_time now, struct own_job *j,
    struct agb_effects *out)
{
	size_t i;

	j->durable = true;
	for (i = 0; i < j->submit_tokens_len; i++)
		submit_reply(o, j->submit_tokens[i], j->id, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_NONE, "", out);
	j->submit_tokens_len = 0;
	agb_effects_log(out, AGB_LOG_INFO, "accept",
	    "job=%s work=%s team=%s tasks=%u", j->id, j->work, j->team,
	    j->tasks_len);
	own_job_schedule(o, now, j, out);
}

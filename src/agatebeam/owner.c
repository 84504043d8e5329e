#include "owner.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* A longer time without a step means that the process was paused: an owner
 * steps at least with each keep-alive of its lease. */
#define PAUSE_MIN (2 * AGB_SEC)

/* A sweep examines the timers of all workers, grants and waiting calls. With
 * 960 workers these expire one by one; this interval limits the sweeps to about
 * 200 a second. */
#define SWEEP_INTERVAL (5 * AGB_MS)

/* Returns a tag for a new call to the store or a worker. */
uint64_t
own_tag_new(struct agb_owner *o)
{
	return AGB_TAG(AGB_TAG_OWNER, ++o->last_tag);
}

/* Returns a pseudo-random number less than @bound; 0 when @bound is 0. */
uint32_t
own_random(struct agb_owner *o, uint32_t bound)
{
	uint64_t z;

	/* splitmix64 */
	z = (o->rng_state += 0x9e3779b97f4a7c15);
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	z ^= z >> 31;
	return bound > 0 ? (uint32_t)(z % bound) : 0;
}

/* Returns the delay before a retry, with jitter, and doubles the delay of the
 * next one. */
uint32_t
own_backoff_ms(struct agb_owner *o, uint32_t *retry_ms)
{
	const uint32_t ms =
	    *retry_ms > OWN_RETRY_MIN_MS ? *retry_ms : OWN_RETRY_MIN_MS;

	*retry_ms = ms * 2 < OWN_RETRY_MAX_MS ? ms * 2 : OWN_RETRY_MAX_MS;
	return ms / 2 + own_random(o, ms / 2 + 1);
}

/* Schedules a sweep of the timers for a time. */
void
own_wake_at(struct agb_owner *o, agb_time at)
{
	if (at < o->wake_at)
		o->wake_at = at;
}

/* Whether this instance owns the shard and has recovered its journal. */
bool
own_serving(const struct agb_owner *o)
{
	return o->role == OWN_ACTIVE && o->sched != NULL;
}

bool
own_attempt_eq(const struct agb_attempt *a, const struct agb_attempt *b)
{
	return a->epoch == b->epoch && a->seq == b->seq;
}

struct agb_owner *
agb_owner_new(const struct agb_owner_config *cfg)
{
	struct agb_owner *const o = agb_xcalloc(1, sizeof(*o));

	o->cfg = *cfg;
	o->rng_state = cfg->seed;
	o->wake_at = AGB_TIME_MAX;
	o->past_grants = agb_xcalloc(OWN_PAST_GRANTS, sizeof(*o->past_grants));
	own_elect_init(o);
	return o;
}

/* Discards all state of the present epoch. */
void
own_epoch_clear(struct agb_owner *o)
{
	size_t i;

	while (o->jobs.len > 0)
		own_job_delete(o, o->jobs.items[o->jobs.len - 1]);
	while (o->keys.len > 0)
		own_key_delete(o, o->keys.items[o->keys.len - 1]);
	for (i = 0; i < o->grants.len; i++)
		free(o->grants.items[i]);
	for (i = 0; i < o->job_waits.len; i++)
		free(o->job_waits.items[i]);
	own_vec_free(&o->done_jobs);
	o->done_jobs_head = 0;
	for (i = 0; i < o->workers.len; i++)
		own_worker_reset(o->workers.items[i]);
	own_vec_free(&o->jobs);
	own_vec_free(&o->job_handles);
	own_vec_free(&o->worker_handles);
	own_vec_free(&o->workers_with_commands);
	own_vec_free(&o->job_waits);
	own_vec_free(&o->grants);
	own_vec_free(&o->keys);
	own_map_free(&o->job_ids);
	own_map_free(&o->job_keys);
	own_map_free(&o->grant_tags);
	own_map_free(&o->grant_attempts);
	own_map_free(&o->key_names);
	own_map_free(&o->key_attempts);
	own_recover_free(o);
	agb_sched_free(o->sched);
	o->sched = NULL;
	agb_sched_effects_free(&o->sched_effects);
	o->sched_effects_next = 0;
	o->job_seq = 0;
}

void
agb_owner_free(struct agb_owner *o)
{
	struct agb_effects out = {0};
	size_t i;

	if (o == NULL)
		return;
	own_commit_discard(o, 0, &out);
	agb_effects_free(&out);
	own_epoch_clear(o);
	for (i = 0; i < o->workers.len; i++)
		own_worker_free(o->workers.items[i]);
	own_vec_free(&o->workers);
	own_map_free(&o->worker_names);
	free(o->past_grants);
	own_elect_free(o);
	free(o);
}

/* Answers a call that only the active owner can serve. */
static void
refuse_call(struct agb_owner *o, uint64_t token, enum agb_x_proc proc,
    struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	const bool no_env = o->env == NULL;
	const enum agb_reason reason = o->term ? AGB_REASON_DRAINING
	    : no_env			       ? AGB_REASON_NO_DOCUMENT
					       : AGB_REASON_NO_OWNER;
	const char *const why = "this instance does not own the shard";
	agb_x_res *const r = &ef->u.rpc_res;

	ef->token = token;
	r->proc = proc;
	switch (proc) {
	case AGB_X_GRANT:
		r->agb_x_res_u.grant.env_version = no_env ? 0 : o->env->version;
		r->agb_x_res_u.grant.worker = agb_xstrdup("");
		r->agb_x_res_u.grant.runner = agb_xstrdup("");
		r->agb_x_res_u.grant.outcome = AGB_OUTCOME_NOT_RUN;
		r->agb_x_res_u.grant.reason = reason;
		r->agb_x_res_u.grant.retry_ms = 200;
		r->agb_x_res_u.grant.detail = agb_xstrdup(why);
		break;
	case AGB_X_SUBMIT:
		r->agb_x_res_u.submit.env_version =
		    no_env ? 0 : o->env->version;
		r->agb_x_res_u.submit.job = agb_xstrdup("");
		r->agb_x_res_u.submit.outcome = AGB_OUTCOME_NOT_RUN;
		r->agb_x_res_u.submit.reason = reason;
		r->agb_x_res_u.submit.retry_ms = 200;
		r->agb_x_res_u.submit.detail = agb_xstrdup(why);
		break;
	case AGB_X_JOB_GET:
	case AGB_X_CANCEL:
		r->agb_x_res_u.job_get.state = agb_xstrdup("");
		r->agb_x_res_u.job_get.outcome = AGB_OUTCOME_UNKNOWN;
		r->agb_x_res_u.job_get.reason = reason;
		r->agb_x_res_u.job_get.detail = agb_xstrdup(why);
		break;
	case AGB_X_EXPLAIN:
		r->agb_x_res_u.explain.text = agb_xstrdup(why);
		break;
	default:
		break;
	}
}

static void
dispatch_call(struct agb_owner *o, agb_time now, const struct agb_event *ev,
    struct agb_effects *out)
{
	const agb_x_args *const a = &ev->u.rpc_args;
	struct agb_effect *ef;

	if (a->proc == AGB_X_RELEASE) {
		if (own_serving(o))
			own_grant_release(
			    o, now, &a->agb_x_args_u.release, out);
		ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
		ef->token = ev->token;
		ef->u.rpc_res.proc = a->proc;
		return;
	}
	if (!own_serving(o) ||
	    (o->term && (a->proc == AGB_X_GRANT || a->proc == AGB_X_SUBMIT))) {
		refuse_call(o, ev->token, a->proc, out);
		return;
	}
	switch (a->proc) {
	case AGB_X_GRANT:
		own_grant_request(
		    o, now, ev->token, &a->agb_x_args_u.grant, out);
		break;
	case AGB_X_SUBMIT:
		own_job_submit(o, now, ev->token, &a->agb_x_args_u.submit, out);
		break;
	case AGB_X_JOB_GET:
		own_job_get(o, now, ev->token, &a->agb_x_args_u.job_get, out);
		break;
	case AGB_X_CANCEL:
		own_job_cancel(o, now, ev->token, &a->agb_x_args_u.cancel, out);
		break;
	case AGB_X_EXPLAIN:
		own_explain(o, now, ev->token, &a->agb_x_args_u.explain, out);
		break;
	default:
		refuse_call(o, ev->token, a->proc, out);
		break;
	}
}

static void
store_event(struct agb_owner *o, agb_time now, const struct agb_event *ev,
    struct agb_effects *out)
{
	const struct agb_store_result *const r = &ev->u.store;

	if (AGB_TAG_MODULE(ev->tag) != AGB_TAG_OWNER)
		return;
	if (own_elect_on_store_result(o, now, ev->tag, r, out) ||
	    own_commit_on_store_result(o, now, ev->tag, r, out))
		return;
	(void)own_recover_on_store_result(o, now, ev->tag, r, out);
}

/* Runs all work that is due. Each part is cheap when it has nothing to do. */
static void
run_due(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	static const struct agb_sched_event tick = {.type = AGB_SCHED_TICK};

	own_elect_tick(o, now, out);
	own_recover_tick(o, now, out);
	if (now >= o->wake_at && now >= o->swept_at + SWEEP_INTERVAL) {
		o->wake_at = AGB_TIME_MAX;
		o->swept_at = now;
		own_worker_sweep(o, now, out);
		own_grant_sweep(o, now, out);
		own_job_sweep(o, now, out);
	}
	if (own_serving(o) && agb_sched_next_tick(o->sched, now) <= now)
		own_sched_step(o, now, &tick, out);
	own_commit_tick(o, now, out);
	own_command_flush(o, now, out);
	if (o->term)
		own_handover(o, now, out);
}

/*
 * After a pause of the process, what is known of the workers is out of date.
 * They are marked suspect, and take new work again once they have answered a
 * renewal that was sent after the pause.
 */
static void
handle_pause(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	const agb_time last = o->last_step_at;
	size_t i;

	o->last_step_at = now;
	if (last == 0 || now - last < PAUSE_MIN || !own_serving(o))
		return;
	agb_effects_log(out, AGB_LOG_WARN, "paused", "ms=%llu",
	    (unsigned long long)((now - last) / AGB_MS));
	for (i = 0; i < o->workers.len; i++) {
		struct own_worker *const w = o->workers.items[i];

		w->renews_before_pause = w->renew_count;
		if (w->sched_state == AGB_WORKER_LIVE)
			own_sched_worker_state(
			    o, now, w, AGB_WORKER_SUSPECT, out);
	}
}

void
agb_owner_step(struct agb_owner *o, agb_time now, const struct agb_event *ev,
    struct agb_effects *out)
{
	handle_pause(o, now, out);
	switch (ev->type) {
	case AGB_EV_TERM:
		if (!o->term) {
			o->term = true;
			o->term_at = now;
			own_grant_refuse_waiting(o, AGB_REASON_DRAINING,
			    "the owner is shutting down", out);
		}
		break;
	case AGB_EV_INSTANCES:
		own_worker_on_list(o, now, &ev->u.list, out);
		break;
	case AGB_EV_SESSION:
		own_worker_on_session(o, now, &ev->u.session, out);
		break;
	case AGB_EV_RENEW:
		own_worker_on_renew(o, now, &ev->u.renew, out);
		break;
	case AGB_EV_COMMANDS:
		own_command_on_answer(o, now, &ev->u.commands, out);
		break;
	case AGB_EV_STORE:
		store_event(o, now, ev, out);
		break;
	case AGB_EV_WATCH:
		own_elect_on_watch(o, now, ev->tag, &ev->u.watch, out);
		break;
	case AGB_EV_RPC_CALL:
		dispatch_call(o, now, ev, out);
		break;
	default:
		break;
	}
	run_due(o, now, out);
}

void
agb_owner_env_set(struct agb_owner *o, agb_time now, const struct agb_env *env,
    struct agb_effects *out)
{
	struct agb_sched_event ev = {.type = AGB_SCHED_ENV, .env = env};
	struct agb_sched_effects none = {0};
	size_t i;

	o->env = env;
	if (o->sched == NULL)
		return;
	if (!own_serving(o)) {
		/* During a hand-over the scheduler's effects are ignored, but
		 * it must not keep the old document, which the caller frees
		 * after this call. */
		agb_sched_step(o->sched, now, &ev, &none);
		agb_sched_effects_free(&none);
		return;
	}
	own_sched_step(o, now, &ev, out);
	/* The scheduler knows a worker's service by its index in the document,
	 * which may have changed. */
	for (i = 0; i < o->workers.len; i++) {
		struct own_worker *const w = o->workers.items[i];

		if (w->sched_handle != AGB_SCHED_NONE)
			own_sched_worker_info(o, now, w, w->sched_state, out);
	}
	for (i = 0; i < o->jobs.len; i++)
		own_job_schedule(o, now, o->jobs.items[i], out);
	run_due(o, now, out);
}

void
agb_owner_set_remote_usage(struct agb_owner *o, agb_time now, uint16_t team,
    const struct agb_resources *used, struct agb_effects *out)
{
	const struct agb_sched_event ev = {
	    .type = AGB_SCHED_TEAM_USAGE, .team = team, .used = *used};

	if (!own_serving(o))
		return;
	own_sched_step(o, now, &ev, out);
	run_due(o, now, out);
}

struct agb_resources
agb_owner_local_usage(const struct agb_owner *o, uint16_t team)
{
	const struct agb_resources none = {0};

	return o->sched != NULL ? agb_sched_team_usage(o->sched, team) : none;
}

bool
agb_owner_active(const struct agb_owner *o, agb_time now)
{
	(void)now;
	return own_serving(o) && !o->term;
}

const char *
agb_owner_rpc_address(const struct agb_owner *o)
{
	return own_serving(o) ? o->cfg.rpc : o->elect.owner_rpc;
}

bool
agb_owner_shard_summary(
    const struct agb_owner *o, agb_time now, agb_x_shard *out)
{
	struct agb_sched_load load;

	memset(out, 0, sizeof(*out));
	if (!agb_owner_active(o, now))
		return false;
	agb_sched_load_get(o->sched, now, AGB_ENV_NONE, &load);
	out->domain = agb_xstrdup(o->cfg.domain);
	out->owner_rpc = agb_xstrdup(o->cfg.rpc);
	out->epoch = o->epoch;
	out->serial = now;
	out->slots_free = load.slots_free;
	out->quick_queued = load.quick_queued;
	out->tasks_queued = load.tasks_queued;
	out->wait_ms = load.wait_ms;
	out->free.cpu_milli = load.free.cpu_milli;
	out->free.mem_mb = load.free.mem_mb;
	out->free.accel = load.free.accel;
	return true;
}

agb_time
agb_owner_next_tick(const struct agb_owner *o, agb_time now)
{
	agb_time at = own_elect_next_tick(o, now);
	agb_time t;

	t = own_commit_next_tick(o, now);
	at = t < at ? t : at;
	t = o->wake_at;
	if (t != AGB_TIME_MAX && t < o->swept_at + SWEEP_INTERVAL)
		t = o->swept_at + SWEEP_INTERVAL;
	at = t < at ? t : at;
	if (o->recover.retry_at != 0 && o->recover.retry_at < at)
		at = o->recover.retry_at;
	if (own_serving(o)) {
		t = agb_sched_next_tick(o->sched, now);
		at = t < at ? t : at;
	}
	return at;
}

bool
agb_owner_drained(const struct agb_owner *o)
{
	return o->role == OWN_DRAINED;
}

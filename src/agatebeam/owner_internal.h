#ifndef AGB_OWNER_INTERNAL_H
#define AGB_OWNER_INTERNAL_H

/**
 * DOC: owner_internal
 *
 * Functions that the owner_*.c files share. Their prefix own_ stands for owner.
 * A function named own_*_on_*() handles the event or effect of that name, or
 * the record that has become durable. own_*_on_store_result() return false if
 * the store operation with that tag was not started by that file.
 */

#include "owner_state.h"

/* owner_map.c: hash map, pointer array, handle table */
void *own_map_get(const struct own_map *m, const void *key, size_t len);
void own_map_put(struct own_map *m, const void *key, size_t len, void *val);
void own_map_del(struct own_map *m, const void *key, size_t len);
void own_map_free(struct own_map *m);
void own_vec_add(struct own_vec *v, void *p);
void own_vec_del(struct own_vec *v, const void *p);
void own_vec_free(struct own_vec *v);
void own_indexed_add(struct own_vec *v, void *p);
void own_indexed_del(struct own_vec *v, void *p);
uint32_t own_handle_new(struct own_vec *v, void *p);
void *own_handle_get(const struct own_vec *v, uint32_t handle);
void own_handle_del(struct own_vec *v, uint32_t handle);

/* owner.c: common helpers */
uint64_t own_tag_new(struct agb_owner *o);
uint32_t own_random(struct agb_owner *o, uint32_t bound);
uint32_t own_backoff_ms(struct agb_owner *o, uint32_t *retry_ms);
void own_wake_at(struct agb_owner *o, agb_time at);
bool own_serving(const struct agb_owner *o);
void own_epoch_clear(struct agb_owner *o);
bool own_attempt_eq(const struct agb_attempt *a, const struct agb_attempt *b);

/* owner_elect.c: leader election, store lease and hand-over */
bool own_lease_held(const struct agb_owner *o, agb_time now);
void own_elect_init(struct agb_owner *o);
void own_elect_free(struct agb_owner *o);
void own_elect_tick(struct agb_owner *o, agb_time now, struct agb_effects *out);
bool own_elect_on_store_result(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_store_result *r, struct agb_effects *out);
void own_elect_on_watch(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_ev_watch *w, struct agb_effects *out);
void own_step_down(struct agb_owner *o, agb_time now, const char *why,
    struct agb_effects *out);
void own_handover(struct agb_owner *o, agb_time now, struct agb_effects *out);
agb_time own_elect_next_tick(const struct agb_owner *o, agb_time now);

/* owner_commit.c: group commit of the journal */
void own_commit_add(struct agb_owner *o, agb_time now, agb_j_record *rec,
    enum own_waiter_kind kind, void *waiter, uint64_t reply_token);
void own_commit_tick(
    struct agb_owner *o, agb_time now, struct agb_effects *out);
bool own_commit_on_store_result(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_store_result *r, struct agb_effects *out);
void own_commit_discard(
    struct agb_owner *o, agb_time now, struct agb_effects *out);
bool own_commit_idle(const struct agb_owner *o);
agb_time own_commit_next_tick(const struct agb_owner *o, agb_time now);

/* owner_snapshot.c: snapshots and compaction of the journal */
void own_snapshot_start_if_due(
    struct agb_owner *o, agb_time now, struct agb_effects *out);
void own_snapshot_add_deletes(struct agb_owner *o, struct agb_store_op *op);
void own_snapshot_free(struct agb_owner *o);

/* owner_recover.c: replay of snapshot and journal after an election */
void own_recover_start(
    struct agb_owner *o, agb_time now, struct agb_effects *out);
void own_recover_tick(
    struct agb_owner *o, agb_time now, struct agb_effects *out);
bool own_recover_on_store_result(struct agb_owner *o, agb_time now,
    uint64_t tag, const struct agb_store_result *r, struct agb_effects *out);
void own_recover_free(struct agb_owner *o);
void own_recover_activate(
    struct agb_owner *o, agb_time now, struct agb_effects *out);

/* owner_sched.c: events to and effects from the scheduler */
void own_sched_step(struct agb_owner *o, agb_time now,
    const struct agb_sched_event *ev, struct agb_effects *out);
void own_sched_worker_info(struct agb_owner *o, agb_time now,
    struct own_worker *w, enum agb_worker_state state, struct agb_effects *out);
void own_sched_worker_state(struct agb_owner *o, agb_time now,
    struct own_worker *w, enum agb_worker_state state, struct agb_effects *out);

/* owner_worker.c: workers in the instance list and their timers */
void own_worker_on_list(struct agb_owner *o, agb_time now,
    const struct agb_ev_instances *l, struct agb_effects *out);
void own_worker_join(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out);
void own_worker_sweep(
    struct agb_owner *o, agb_time now, struct agb_effects *out);
struct own_worker *own_worker_find(const struct agb_owner *o, const char *id);
struct own_worker *own_worker_ensure(
    struct agb_owner *o, agb_time now, const char *id);
bool own_worker_expired(const struct own_worker *w, agb_time now);
void own_worker_reset(struct own_worker *w);
void own_worker_free(struct own_worker *w);
void own_orphans_clear(struct own_worker *w);

/* owner_session.c: sessions with workers, and the reports of workers */
void own_session_send(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct agb_effects *out);
void own_worker_on_session(struct agb_owner *o, agb_time now,
    const struct agb_ev_session *s, struct agb_effects *out);
void own_worker_on_renew(struct agb_owner *o, agb_time now,
    const struct agb_ev_renew *r, struct agb_effects *out);
void own_worker_on_durable(
    struct agb_owner *o, agb_time now, struct own_worker *w);

/* owner_evidence.c: proof that tasks do not run any more */
agb_time own_silence_proof_at(const struct agb_owner *o,
    const struct own_worker *w, const struct own_task *t);
agb_time own_call_not_before(
    const struct agb_owner *o, agb_time now, const struct own_worker *w);
void own_evidence_on_reboot(struct agb_owner *o, agb_time now,
    struct own_worker *w, struct agb_effects *out);
void own_evidence_on_report(struct agb_owner *o, agb_time now,
    struct own_worker *w, struct agb_effects *out);
void own_evidence_on_silence(struct agb_owner *o, agb_time now,
    struct own_worker *w, struct agb_effects *out);
void own_evidence_on_gone(struct agb_owner *o, agb_time now,
    struct own_worker *w, struct agb_effects *out);

/* owner_command.c: commands to worker agents */
void own_command_add(
    struct agb_owner *o, struct own_worker *w, const struct agb_command *cmd);
bool own_command_remove(struct own_worker *w, enum agb_command_kind kind,
    const struct agb_attempt *attempt);
void own_command_flush(
    struct agb_owner *o, agb_time now, struct agb_effects *out);
void own_command_on_answer(struct agb_owner *o, agb_time now,
    const struct agb_ev_commands *c, struct agb_effects *out);
bool own_command_stale_in_flight(
    const struct agb_owner *o, const struct own_worker *w);
void own_command_clear(struct own_worker *w);

/* owner_task.c: placement, start, stop and end of tasks */
void own_task_id(const struct own_task *t, agb_id id);
struct own_task *own_task_find(const struct agb_owner *o, const char *id);
void own_task_place(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out);
void own_task_recall_unsent(struct agb_owner *o, agb_time now,
    struct own_worker *w, struct agb_effects *out);
void own_task_on_durable(
    struct agb_owner *o, struct own_task *t, const struct agb_attempt *attempt);
void own_task_control(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out);
void own_task_started(struct agb_owner *o, agb_time now, struct own_task *t,
    struct agb_effects *out);
void own_task_end(struct agb_owner *o, agb_time now, struct own_task *t,
    enum agb_result result, const char *text, struct own_worker *ack,
    struct agb_effects *out);
void own_task_stop(struct agb_owner *o, const struct own_task *t);
void own_task_detach(struct own_task *t);
void own_task_set_result(struct own_task *t, enum agb_result result);
void own_task_restore(struct agb_owner *o, agb_time now, struct own_task *t,
    struct agb_effects *out);
void own_task_adopt(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct own_task *t, struct agb_effects *out);

/* owner_submit.c: validation and acceptance of jobs */
void own_job_submit(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_submit_args *a, struct agb_effects *out);
void own_job_accept(struct agb_owner *o, agb_time now, struct own_job *j,
    struct agb_effects *out);
void own_job_refuse(const struct agb_owner *o, const struct own_job *j,
    enum agb_outcome outcome, enum agb_reason reason, const char *detail,
    struct agb_effects *out);

/* owner_job.c: queries, cancellation, end and expiry of jobs */
void own_job_get(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_job_get_args *a, struct agb_effects *out);
void own_job_cancel(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_cancel_args *a, struct agb_effects *out);
void own_job_reply_state(const struct own_job *j, enum agb_x_proc proc,
    uint64_t token, const char *detail, struct agb_effects *out);
void own_job_on_done(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out);
void own_job_finish(struct agb_owner *o, agb_time now, struct own_job *j,
    struct agb_effects *out);
void own_job_schedule(struct agb_owner *o, agb_time now, struct own_job *j,
    struct agb_effects *out);
void own_job_sweep(struct agb_owner *o, agb_time now, struct agb_effects *out);
struct own_job *own_job_new(struct agb_owner *o, const agb_j_job *rec);
void own_job_delete(struct agb_owner *o, struct own_job *j);
void own_job_answer_waits(
    struct agb_owner *o, const char *detail, struct agb_effects *out);
char *own_dedup_key(const char *team, const char *key, size_t *len);

/* owner_grant.c: runner slots granted to quick requests */
void own_grant_request(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_grant_args *a, struct agb_effects *out);
void own_grant_on_granted(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out);
void own_grant_on_denied(struct agb_owner *o, agb_time now,
    const struct agb_sched_effect *e, struct agb_effects *out);
void own_grant_on_durable(struct agb_owner *o, agb_time now,
    struct own_grant *g, struct agb_effects *out);
void own_grant_release(struct agb_owner *o, agb_time now,
    const agb_x_release_args *a, struct agb_effects *out);
void own_grant_on_revoked(struct agb_owner *o, agb_time now,
    struct own_worker *w, const struct agb_command_result *r,
    struct agb_effects *out);
void own_grant_reconcile(struct agb_owner *o, agb_time now,
    struct own_worker *w, const struct agb_attempt *slots, size_t len,
    bool session, struct agb_effects *out);
void own_grant_on_worker_gone(struct agb_owner *o, agb_time now,
    struct own_worker *w, struct agb_effects *out);
void own_grant_sweep(
    struct agb_owner *o, agb_time now, struct agb_effects *out);
void own_grant_on_isolated(
    struct agb_owner *o, struct own_grant *g, struct agb_effects *out);
void own_grant_refuse_waiting(struct agb_owner *o, enum agb_reason reason,
    const char *why, struct agb_effects *out);

/* owner_key.c: idempotency keys of quick requests */
struct own_key *own_key_new(struct agb_owner *o, const char *team,
    const char *key, const struct agb_attempt *attempt);
struct own_key *own_key_find(
    const struct agb_owner *o, const char *team, const char *key);
void own_key_set_attempt(
    struct agb_owner *o, struct own_key *k, const struct agb_attempt *attempt);
void own_key_delete(struct agb_owner *o, struct own_key *k);
void own_key_set_outcome(struct own_key *k, enum agb_outcome outcome);
void own_key_resolve(struct agb_owner *o, agb_time now, struct own_key *k,
    enum agb_result result);
void own_key_expire(struct agb_owner *o, agb_time now);

/* owner_explain.c: explanations of the state of a job or request */
void own_explain(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_explain_args *a, struct agb_effects *out);

#endif

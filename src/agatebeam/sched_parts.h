#ifndef AGB_SCHED_PARTS_H
#define AGB_SCHED_PARTS_H

/**
 * DOC: sched_parts
 *
 * Functions that the parts of the scheduler offer to each other. Included by
 * sched_internal.h, which defines the structures. Functions named
 * sched_*_ended() process the end of an attempt, and sched_*_timer() a timer
 * that has expired.
 */

/* sched_timer.c */
void sched_timer_add(struct agb_sched *s, agb_time at,
    enum sched_timer_type type, uint32_t arg1, uint32_t arg2, uint64_t serial);
/* Removes the earliest timer if it is due. */
bool sched_timer_pop(
    struct agb_sched *s, agb_time now, struct sched_timer *out);
uint64_t sched_random(struct agb_sched *s);

/* sched_worker.c */
struct sched_worker *sched_worker_get(struct agb_sched *s, uint32_t handle);
struct sched_worker *sched_worker_put(struct agb_sched *s, uint32_t handle,
    const struct agb_worker_info *info, enum agb_worker_state state);
/* Recomputes all that is derived from the state and the allocations of a
 * worker: available resources, totals, slots and indexes. */
void sched_worker_refresh(struct agb_sched *s, struct sched_worker *w);
void sched_worker_remove(struct agb_sched *s, struct sched_worker *w);
bool sched_worker_accepts(const struct sched_worker *w);
/* Capacity without the resources set aside for its runner. */
struct agb_resources sched_worker_usable(const struct sched_worker *w);
/* Handle of the first worker at or after @from that @need fits on, or
 * AGB_SCHED_NONE. */
uint32_t sched_worker_next_fit(
    const struct agb_sched *s, const struct agb_resources *need, uint32_t from);
uint32_t sched_worker_dirty_pop(struct agb_sched *s);
void sched_worker_dirty_push(struct agb_sched *s, struct sched_worker *w);
struct sched_rack *sched_rack_get(struct agb_sched *s, uint32_t rack);
/* Number of tasks of size @need that fit into @available. */
uint32_t sched_fit_count(
    const struct agb_resources *available, const struct agb_resources *need);

/* sched_att.c */
struct sched_attempt *sched_attempt_find(
    struct agb_sched *s, const struct agb_attempt *id);
/* Allocates resources to a new attempt; @id is NULL for one that starts now. */
struct sched_attempt *sched_attempt_new(struct agb_sched *s,
    const struct agb_attempt *id, uint32_t worker, uint16_t work, uint16_t team,
    const struct agb_resources *allocated, bool quick, agb_time now);
void sched_attempt_resize(struct agb_sched *s, struct sched_attempt *a,
    const struct agb_resources *allocated);
void sched_attempt_move(
    struct agb_sched *s, struct sched_attempt *a, uint32_t worker);
void sched_attempt_free(struct agb_sched *s, struct sched_attempt *a);
void sched_attempt_set_state(struct agb_sched *s, struct sched_attempt *a,
    enum sched_attempt_state state);
void sched_attempt_stop(struct agb_sched *s, struct sched_attempt *a,
    enum agb_reason reason, const char *why);
void sched_attempt_checkpoint(struct agb_sched *s, struct sched_attempt *a,
    enum agb_reason reason, const char *why);
void sched_attempt_throttle(struct agb_sched *s, struct sched_attempt *a,
    const struct agb_resources *allocated, const char *why);

/* sched_env.c */
const struct agb_env_class *sched_work_class(
    const struct agb_sched *s, uint16_t work);
const struct agb_env_team *sched_team_env(
    const struct agb_sched *s, uint16_t team);
const char *sched_work_name(const struct agb_sched *s, uint16_t work);
const char *sched_team_name(const struct agb_sched *s, uint16_t team);
void sched_env_set(
    struct agb_sched *s, agb_time now, const struct agb_env *env);

/* sched_queue.c */
void sched_queue_add(struct agb_sched *s, struct sched_job *j, bool front);
void sched_queue_remove(struct agb_sched *s, struct sched_job *j);
void sched_queue_set_needs_scan(
    struct agb_sched *s, struct sched_bucket *b, bool needs_scan);
void sched_queue_block(
    struct agb_sched *s, struct sched_bucket *b, enum sched_block cause);
/* Returns false if no bucket blocked by headroom can start. */
bool sched_queue_wake_headroom(struct agb_sched *s);
void sched_queue_wake_quota(struct agb_sched *s, uint16_t team);
/* Applies the learned size of a kind of work to its buckets. */
void sched_queue_resize(struct agb_sched *s, uint16_t work);
void sched_queue_init(struct agb_sched *s);
void sched_team_update_usage(struct agb_sched *s, uint16_t team,
    const struct agb_resources *add, const struct agb_resources *sub);
void sched_team_update_shares(struct agb_sched *s);
bool sched_quota_allows_job(
    const struct agb_sched *s, const struct sched_job *j);
bool sched_quota_any_exceeded(const struct agb_sched *s);
/* Whether a team stays within its quota with @units more tasks. */
bool sched_quota_fits(const struct agb_sched *s, uint16_t team,
    const struct agb_resources *need, uint32_t units);

/* sched_job.c */
struct sched_job *sched_job_get(struct agb_sched *s, uint32_t handle);
void sched_job_add(struct agb_sched *s, agb_time now, uint32_t handle,
    const struct agb_job_spec *spec);
void sched_job_cancel(struct agb_sched *s, agb_time now, uint32_t handle);
/* Stops up to @budget attempts of ended jobs. Returns true if some are left. */
bool sched_job_stop_slice(struct agb_sched *s, agb_time now, uint32_t budget);
/* Ends a job: reports it now, or once its attempts have been stopped. */
void sched_job_end(struct agb_sched *s, agb_time now, struct sched_job *j,
    enum agb_reason reason, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));
void sched_job_finish_if_done(
    struct agb_sched *s, agb_time now, struct sched_job *j);
void sched_job_free(struct agb_sched *s, struct sched_job *j);
void sched_job_expire(struct agb_sched *s, agb_time now, struct sched_job *j);
uint32_t sched_job_next_task(struct sched_job *j);
unsigned sched_job_level(const struct agb_sched *s, const struct sched_job *j);
void sched_job_uncount_pending(
    struct agb_sched *s, struct sched_job *j, uint32_t tasks);

/* sched_task.c */
void sched_task_enqueue(
    struct agb_sched *s, struct sched_job *j, uint32_t task);
void sched_task_dequeue(
    struct agb_sched *s, struct sched_job *j, uint32_t task);
void sched_task_start(struct agb_sched *s, agb_time now, struct sched_job *j,
    uint32_t task, struct sched_worker *w, const struct agb_resources *need,
    uint32_t considered, const char *why);
void sched_task_adopt(struct agb_sched *s, agb_time now,
    const struct agb_sched_event *ev, bool intent);
void sched_task_mark_done(
    struct agb_sched *s, agb_time now, uint32_t job, uint32_t task);
void sched_task_ended(struct agb_sched *s, agb_time now,
    struct sched_attempt *a, enum agb_result result);

void sched_task_move(
    struct agb_sched *s, struct sched_attempt *a, uint32_t worker);

/* sched_place.c */
bool sched_place_fits_headroom(
    const struct agb_sched *s, const struct sched_bucket *b);
/* Starts queued tasks. Returns true if the pass has to be continued. */
bool sched_place_pass(struct agb_sched *s, agb_time now);
bool sched_place_work_left(const struct agb_sched *s);

/* sched_spread.c */
extern const struct sched_policy sched_policy_service;
void sched_spread_count(
    struct agb_sched *s, struct sched_job *j, uint32_t worker, int by);

/* sched_gang.c */
extern const struct sched_policy sched_policy_gang;
/* Reserves the workers that are expected to have room first. Returns false
 * if there are not enough or another plan is in force. */
bool sched_gang_reserve(
    struct agb_sched *s, agb_time now, struct sched_bucket *b);
/* Whether the first job of a bucket may use the room of a worker that is
 * reserved for a gang. */
bool sched_gang_allows_backfill(const struct agb_sched *s,
    const struct sched_bucket *b, const struct sched_worker *w);
void sched_gang_schedule_retry(
    struct agb_sched *s, struct sched_bucket *b, agb_time at);
void sched_gang_task_blocked(
    struct agb_sched *s, agb_time now, struct sched_bucket *b);
void sched_gang_report(
    struct agb_sched *s, agb_time now, const struct sched_job *j);
void sched_gang_timer(struct agb_sched *s, agb_time now, struct sched_job *j);

/* sched_resv.c */
/* Returns false if too many jobs hold reservations. */
bool sched_reservation_add(struct agb_sched *s, struct sched_job *j,
    struct sched_worker *w, const struct agb_resources *need, uint32_t units,
    bool gang);
void sched_reservation_drop_all(struct agb_sched *s, struct sched_job *j);
/* Starts a task on the resources reserved for it. Returns false if none fits
 * yet. */
bool sched_reservation_start_task(
    struct agb_sched *s, agb_time now, struct sched_worker *w);
void sched_reservation_drop_worker(struct agb_sched *s, struct sched_worker *w);
void sched_reservation_expire(
    struct agb_sched *s, agb_time now, struct sched_job *j);

/* sched_preempt.c */
/* Makes room for the first job of a bucket. Returns true if it has stopped
 * or throttled others. */
bool sched_preempt_for(
    struct agb_sched *s, agb_time now, struct sched_bucket *b);
void sched_preempt_for_gang(struct agb_sched *s, agb_time now,
    struct sched_worker *w, const struct agb_resources *need,
    const struct sched_job *j);
/* Throttles or stops tasks of a worker that is allocated more than it has. */
void sched_preempt_relieve_worker(
    struct agb_sched *s, agb_time now, struct sched_worker *w);
void sched_preempt_unthrottle(struct agb_sched *s, struct sched_worker *w);

/* sched_leave.c */
void sched_leave_move_services(
    struct agb_sched *s, agb_time now, struct sched_worker *w);

/* sched_shed.c */
/* Refuses requests while the queue is too long. Returns true if the new one
 * must be refused. */
bool sched_shed_quick(
    struct agb_sched *s, agb_time now, uint16_t work, uint16_t team);
void sched_shed_jobs(struct agb_sched *s, agb_time now);
void sched_shed_count_start(struct agb_sched *s, agb_time now);
/* Whether a job is expected to wait beyond its deadline. */
bool sched_shed_misses_deadline(
    const struct agb_sched *s, agb_time now, const struct sched_job *j);

/* sched_health.c */
/* Whether a job may use a worker, given the failures of both. */
bool sched_health_allows(const struct agb_sched *s, const struct sched_job *j,
    const struct sched_worker *w);
/* Allows probes on all ejected workers if no other live worker is left. */
bool sched_health_probe_if_all_ejected(struct agb_sched *s);
void sched_health_schedule_probe_check(
    struct agb_sched *s, agb_time now, struct sched_worker *w);
/* Updates the failures of the worker and of the job. Returns false if it has
 * ended the job. */
bool sched_health_ended(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_attempt_end *e);
void sched_health_timer(
    struct agb_sched *s, agb_time now, const struct sched_timer *t);

/* sched_retry.c */
void sched_retry_credit_start(
    struct agb_sched *s, struct sched_job *j, uint32_t task);
void sched_retry_ended(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_attempt_end *e);
void sched_retry_timer(
    struct agb_sched *s, agb_time now, struct sched_job *j, uint32_t task);

/* sched_quick.c */
void sched_quick_submit(
    struct agb_sched *s, agb_time now, const struct agb_sched_event *ev);
void sched_quick_cancel(struct agb_sched *s, uint64_t tag);
void sched_quick_adopt(
    struct agb_sched *s, agb_time now, const struct agb_sched_event *ev);
void sched_quick_ended(struct agb_sched *s, agb_time now,
    struct sched_attempt *a, enum agb_result result);
void sched_quick_dispatch(struct agb_sched *s, agb_time now, uint16_t work);
void sched_quick_dispatch_all(struct agb_sched *s, agb_time now);
void sched_quick_timer(
    struct agb_sched *s, agb_time now, const struct sched_timer *t);
void sched_quick_requeue(
    struct agb_sched *s, agb_time now, struct sched_quick_request *r);
void sched_quick_deny(struct agb_sched *s, agb_time now,
    struct sched_quick_request *r, enum agb_reason reason, const char *detail);
void sched_quick_update_index(struct agb_sched *s, struct sched_worker *w);
/* Expected wait of a request with @ahead others before it; UINT32_MAX if
 * there is no slot. */
uint32_t sched_quick_wait_us(
    const struct agb_sched *s, uint16_t work, uint32_t ahead);

/* sched_learn.c */
void sched_learn_init(struct sched_work *w);
void sched_learn_ended(struct agb_sched *s, const struct sched_job *j,
    const struct sched_attempt_end *e);
/* Expected end of a task that starts now, or AGB_TIME_MAX. */
agb_time sched_learn_expected_end(
    const struct agb_sched *s, const struct sched_job *j, agb_time now);
void sched_learn_usage(struct agb_sched *s, agb_time now,
    struct sched_attempt *a, const struct agb_resources *used);
struct agb_resources sched_learn_size(const struct agb_sched *s, uint16_t work,
    const struct agb_resources *declared);

/* sched_feasible.c */
/* Whether a task of this size would fit a worker if the fleet were idle. */
bool sched_feasible_size(
    const struct agb_sched *s, const struct agb_resources *need);
bool sched_feasible_job(
    struct agb_sched *s, const struct sched_job *j, char *why, size_t len);
void sched_feasible_schedule_check(struct agb_sched *s, agb_time now);
void sched_feasible_timer(struct agb_sched *s, agb_time now);

#endif

#ifndef WF_FLEET_INTERNAL_H
#define WF_FLEET_INTERNAL_H

/**
 * DOC: wf_fleet_internal
 *
 * Functions and constants that the wf_fleet*.c files share.
 */

#include "wf_leader.h"

/* Lease that each hold grants to a runner. A runner that is cut off continues
 * to work for this long, and its tasks cannot be placed elsewhere before
 * then. */
#define RUNNER_LEASE_MS 4000
/* The runner's clock may run 2% slow, so that a lease lasts up to 1/0.98 of its
 * time; the rest covers rounding. */
#define LEASE_SLOW_PERMILLE 1021
#define LEASE_MARGIN_MS 50
/* A stop is repeated after this time until its run is known to have ended. */
#define STOP_RETRY_MS 350
/* How long no new tasks are placed on a runner that did not answer or rejected
 * an order. */
#define EXCLUDE_UNANSWERED_MS 1000

/* ---- wf_fleet.c ---- */

/**
 * wf_fleet_exclude() - place no new tasks on a runner for a time
 */
void wf_fleet_exclude(struct wf_runner *r, agb_time now, uint32_t ms);

/**
 * wf_fleet_release_or_requeue() - release a task that is certainly not on its
 * runner any more, and queue it again unless it is done
 * @why: reason for the log
 */
void wf_fleet_release_or_requeue(struct wf_leader *l, const struct wf_now *now,
    struct wf_task *t, const char *why, struct wf_effects *out);

/**
 * wf_fleet_requeue_tasks() - requeue all tasks assigned to a runner, which
 * certainly do not run there any more
 * @why: reason for the log
 */
void wf_fleet_requeue_tasks(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, const char *why, struct wf_effects *out);

/* ---- wf_fleet_process.c ---- */

/**
 * enum answer_origin - which process of a runner has given an answer
 * @ORIGIN_CURRENT: the one that the leader knows
 * @ORIGIN_OTHER: another one, which the answer names: the runner has restarted
 * @ORIGIN_UNKNOWN: the answer does not name it, and its clock is not that of the
 *	process that the leader knows
 *
 * Only lists of runs name their process. A runner that restarts under its id
 * accepts orders that were meant for its former process.
 */
enum answer_origin {
	ORIGIN_CURRENT,
	ORIGIN_OTHER,
	ORIGIN_UNKNOWN,
};

/**
 * wf_fleet_answer_origin() - which process of a runner has given an answer
 *
 * The order was sent since the current process became known.
 */
enum answer_origin wf_fleet_answer_origin(
    const struct wf_runner *r, agb_time now, const struct wf_order_result *res);

/**
 * wf_fleet_first_lease_ms() - lease that the process of a runner has at most when
 * it has listed its runs for the first time
 *
 * The deadlines of orders are times on the clock of the process that they are
 * meant for. On the clock of a later process they can grant the longest lease,
 * also when a former leader has sent them.
 */
uint32_t wf_fleet_first_lease_ms(const struct wf_leader *l,
    const struct wf_runner *r, const struct wf_now *now);

/**
 * wf_fleet_lose_identity() - handle an answer of an unknown process: the runner
 * is asked for its lists, which name the process, and gets no tasks until then
 */
void wf_fleet_lose_identity(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out);

/**
 * wf_fleet_next_incarnation() - number of a new incarnation of a runner
 */
uint32_t wf_fleet_next_incarnation(struct wf_leader *l);

/**
 * wf_fleet_handle_restart() - reset the state of a runner that has restarted: it
 * has no memory of earlier orders, and only those tasks whose starts it may have
 * accepted
 */
void wf_fleet_handle_restart(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, int64_t started_ms, struct wf_effects *out);

/* ---- wf_fleet_order.c ---- */

/**
 * wf_fleet_add_order() - add an order to a runner to those that are sent next
 */
struct wf_order *wf_fleet_add_order(struct wf_leader *l,
    const struct wf_now *now, uint32_t ri, enum wf_order_kind kind,
    uint32_t timeout_ms);

/**
 * wf_fleet_clock_ms() - lower bound of a runner's clock
 * @at: not before its clock was read
 *
 * The clock may have run slow since then, and a lease must not end later than
 * the leader assumes.
 */
int64_t wf_fleet_clock_ms(const struct wf_runner *r, agb_time at);

/**
 * wf_fleet_extend_lease() - note that an order sent now may extend the lease of
 * a runner by @ms on the runner's clock
 */
void wf_fleet_extend_lease(struct wf_runner *r, agb_time now, uint32_t ms);

/**
 * wf_fleet_order_start() - send the start order of a task, possibly again
 */
void wf_fleet_order_start(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t);

/**
 * wf_fleet_order_stop() - send the order to stop a run
 */
void wf_fleet_order_stop(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, const struct wf_task_ref *ref, uint32_t run);

/**
 * wf_fleet_order_extra_hold() - send a hold that returns the runner's lists at
 * once, in addition to the regular hold that waits for a run to end
 *
 * It acknowledges no ends, because it follows a lost answer and the runner may
 * have restarted.
 */
void wf_fleet_order_extra_hold(
    struct wf_leader *l, const struct wf_now *now, uint32_t ri);

/**
 * wf_fleet_order_hold() - send the regular hold
 */
void wf_fleet_order_hold(
    struct wf_leader *l, const struct wf_now *now, uint32_t ri);

/* ---- wf_fleet_orphan.c ---- */

/**
 * wf_fleet_find_orphan_run() - find an orphan run of a runner
 * Return: NULL when it is not recorded.
 */
struct wf_orphan_run *wf_fleet_find_orphan_run(
    struct wf_runner *r, const struct wf_task_ref *ref, uint32_t run);

/**
 * wf_fleet_remove_orphan_run() - forget an orphan run and its resources
 * @i: its index
 */
void wf_fleet_remove_orphan_run(
    struct wf_leader *l, struct wf_runner *r, size_t i);

/**
 * wf_fleet_stop_orphan_run() - record and stop an orphan run, which a runner
 * lists but which is not assigned to it
 *
 * Its resources count as used until it is no longer listed.
 */
void wf_fleet_stop_orphan_run(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, const struct wf_active_run *a, struct wf_effects *out);

/**
 * wf_fleet_remove_unlisted_orphan_runs() - forget the orphan runs that the
 * latest list of a runner does not contain
 */
void wf_fleet_remove_unlisted_orphan_runs(
    struct wf_leader *l, struct wf_runner *r);

/**
 * wf_fleet_clear_orphan_runs() - forget all orphan runs of a runner
 */
void wf_fleet_clear_orphan_runs(struct wf_leader *l, struct wf_runner *r);

/* ---- wf_fleet_progress.c ---- */

/**
 * wf_fleet_update_progress() - record the progress of a task as listed by its
 * runner
 */
void wf_fleet_update_progress(const struct wf_runner *r, struct wf_task *t,
    const struct wf_active_run *a);

/**
 * wf_fleet_check_progress() - place no new tasks on a runner on which no task
 * makes progress, and restart tasks elsewhere that have been stalled for too
 * long
 *
 * Members of a gang stall together, so they are no evidence about their runner.
 */
void wf_fleet_check_progress(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, struct wf_effects *out);

/* ---- wf_fleet_pace.c ---- */

/**
 * wf_fleet_adjust_pace() - set the pace of the best-effort tasks on a runner so
 * that the other tasks there meet their response time targets
 */
void wf_fleet_adjust_pace(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, struct wf_effects *out);

/**
 * wf_fleet_handle_pace_result() - handle the answer to an order that sets a
 * pace, or its absence
 */
void wf_fleet_handle_pace_result(
    struct wf_leader *l, const struct wf_order_result *res);

/* ---- wf_fleet_list.c ---- */

/**
 * wf_fleet_handle_lists() - handle the lists of active and ended runs that a
 * hold has returned
 */
void wf_fleet_handle_lists(struct wf_leader *l, const struct wf_now *now,
    uint32_t ri, const struct wf_order_result *res, struct wf_effects *out);

/* ---- wf_fleet_start.c ---- */

/**
 * wf_fleet_handle_start_result() - handle the answer to a start, or its absence
 * @origin: which process has answered
 */
void wf_fleet_handle_start_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, enum answer_origin origin,
    struct wf_effects *out);

/**
 * wf_fleet_handle_stop_result() - handle the answer to a stop, or its absence
 */
void wf_fleet_handle_stop_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out);

/**
 * wf_fleet_retry_stops() - repeat the stops that are due
 * @next: set to the time of the next one, if that is earlier
 */
void wf_fleet_retry_stops(struct wf_leader *l, const struct wf_now *now,
    agb_time *next, struct wf_effects *out);

/* ---- wf_fleet_hold.c ---- */

/**
 * wf_fleet_handle_hold_result() - handle the answer to a hold, or its absence
 */
void wf_fleet_handle_hold_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out);

/**
 * wf_fleet_does_not_answer() - whether a runner was asked for its runs until now
 * without an answer, or cannot be asked as its address is not known
 *
 * A task that it ended in time would be repeated otherwise.
 */
bool wf_fleet_does_not_answer(const struct wf_runner *r, agb_time now);

/**
 * wf_fleet_poll() - send the hold of a runner that is due
 * @next: set to the time of the next one, if that is earlier
 */
void wf_fleet_poll(
    struct wf_leader *l, const struct wf_now *now, uint32_t ri, agb_time *next);

#endif

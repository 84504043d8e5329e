#ifndef WF_LEADER_H
#define WF_LEADER_H

/**
 * DOC: wf_leader
 *
 * State of the leader, the instance that places tasks. It is built at each
 * election from the local copy of the store and dropped when the lease is
 * lost. Runners, units and tasks are referred to by indexes into tables.
 *
 * Terms used here: an incarnation of a runner is one process of it, identified
 * by its start time, started_ms. A hold is the order that renews a runner's
 * lease and returns its lists of active and ended runs. A run is one start of a
 * task on a runner. A gang is a step whose tasks have to run at the same time.
 * A fill task uses only the processor time that other tasks leave.
 *
 * This state exists in memory only. The intent to start a task is therefore
 * stored before the start order is sent, and the end of a task is stored
 * before it is acknowledged to the runner, which then forgets it.
 */

#include "wf_account.h"
#include "wf_estimate.h"
#include "wf_event.h"
#include "wf_flow.h"
#include "wf_meter.h"
#include "wf_outbox.h"
#include "wf_poll.h"
#include "wf_show.h"
#include "wf_table.h"
#include "wf_unit.h"

/* The leader extends the leases of runners for this long after its own lease
 * may have expired. That is safe, as runners refuse orders of a leader that
 * has been replaced. */
#define WF_EXTEND_GRACE_MS 8000

/* A run that a runner lists as active though the leader has not assigned it
 * there. Its resources stay allocated until it is no longer present on the
 * runner. @account: that of its job, or NULL when the job was not known.
 * @request: what it counts for the account. @seen: mark used while a runner's
 * list is processed. */
struct wf_orphan_run {
	struct wf_task_ref task;
	uint32_t run;
	struct agb_resources need;
	struct wf_account_use *account;
	struct agb_resources request;
	agb_time next_stop_at;
	bool seen;
};

/**
 * struct wf_runner - a runner
 * @used: the table entry is in use
 * @listed: the registry lists it
 * @incarnation: number of its current incarnation, higher than all earlier ones
 *	of this leader; part of the fence token of its orders
 * @started_ms: start time of its current process, which that in @info differs
 *	from while its registry entry is the one of another process
 * @named: an answer has named @started_ms; until then it is known from the
 *	registry only
 * @reported: has reported its runs to this leader in this incarnation
 * @silent: the last hold was not answered
 * @missed_holds: number of holds since the last answer that were not answered
 * @missed_at: sending time of the last one of them
 * @relay_retried: a hold that failed through a relay was retried; reset when a
 *	hold is answered
 * @has_left: its registry entry was removed while it was draining and
 *	answering, so that it has probably exited
 * @reserved: room on it is reserved for a gang
 * @poll: its holds
 * @heard_at: sending time of the last hold that was answered
 * @unlisted_at: when it left the registry, or was entered without being listed
 * @lease_until: its tasks stop by then unless the lease is extended
 * @lease_unclear: orders that were meant for a former process may have reached
 *	the current one, which has not listed its runs since
 * @clock_ms: its clock as last reported, at @clock_at on the leader's clock
 * @processed_seq: number of the last end that was processed
 * @durable_seq: number of the last end whose effects are stored; the runner
 *	may forget the ends up to it
 * @allocated: resources of all runs that may be on it
 * @fill_cpu_milli: processors that its fill tasks may use, in thousandths; not
 *	part of @allocated
 * @claimed_cpu_milli: processors, in thousandths, that units with pending calls
 *	or unused tickets may take on it
 * @pace_percent: share of full speed of its fill tasks, set at @pace_set_at
 * @tasks: tasks allocated on it
 * @fail_streak: failed ends since the last success
 * @stalled: none of its tasks makes progress
 * @excluded_until: gets no new tasks before this time
 * @route: how it is reached
 */
struct wf_runner {
	struct wf_runner_info info;
	bool used;
	bool listed;
	uint32_t incarnation;
	int64_t started_ms;
	bool named;
	bool reported;
	bool silent;
	uint32_t missed_holds;
	agb_time missed_at;
	bool relay_retried;
	bool has_left;
	bool reserved;
	struct wf_poll poll;
	agb_time heard_at;
	agb_time unlisted_at;
	agb_time lease_until;
	bool lease_unclear;
	int64_t clock_ms;
	agb_time clock_at;
	uint64_t processed_seq;
	uint64_t durable_seq;
	struct agb_resources allocated;
	int64_t fill_cpu_milli;
	int64_t claimed_cpu_milli;
	uint32_t pace_percent;
	agb_time pace_set_at;
	struct wf_task *tasks;
	uint32_t fail_streak;
	bool stalled;
	agb_time excluded_until;
	struct wf_orphan_run *orphan_runs;
	size_t orphan_runs_len;
	struct wf_route route;
};

/* Hash entry from a runner's id to its index. */
struct wf_runner_by_id {
	agb_id id;
	uint32_t runner;
	UT_hash_handle hh;
};

/* Acknowledgement of the ends up to @seq of an incarnation of a runner. It
 * may be sent once all changes up to @gen are durable. */
struct wf_ack {
	uint64_t gen;
	uint32_t runner;
	uint32_t incarnation;
	uint64_t seq;
};

/**
 * struct wf_advice_client - an instance that calls the advice service for the
 * leader
 * @address: its address, "" for the leader itself
 * @busy_until: when its pending calls are expected to be answered
 * @excluded_until: gets no calls before this time, as one has failed
 * @usable: may be given calls, as of the latest wf_advice_update_clients()
 */
struct wf_advice_client {
	agb_id name;
	agb_addr address;
	agb_time busy_until;
	agb_time excluded_until;
	bool usable;
};

/**
 * struct wf_advice_call - a pending call for advice
 * @client: index of the instance that makes it, WF_NO_HANDLE when the set of
 *	instances has changed since
 * @occurrence, @step: the unit that it is made for
 * @est_ms: expected time to the answer
 * @runners: indexes of the runners that it asks for
 * @incarnations: their incarnations when it was sent
 * @named: number of runners in all calls that were made for the unit together
 */
struct wf_advice_call {
	uint64_t tag;
	uint32_t client;
	wf_job_id job;
	uint32_t occurrence;
	uint32_t step;
	agb_time sent_at;
	uint32_t est_ms;
	uint32_t *runners;
	uint32_t *incarnations;
	size_t runners_len;
	size_t named;
};

/**
 * struct wf_queue_times - what was learned from the tasks of a queue
 * @estimator: run times
 * @named, @approved: runners that the advice service was asked about for the
 *	first time, and approved; the older ones count less
 */
struct wf_queue_times {
	agb_id queue;
	struct wf_estimator estimator;
	double named;
	double approved;
	UT_hash_handle hh;
};

/* Maximum number of pending attempts at one write. */
#define WF_WRITE_ATTEMPTS_MAX 4

/**
 * struct wf_write - a transaction that stores state records or deletes jobs
 * @attempts: attempts that are not answered yet; tag 0 marks a free slot
 * @deletes_jobs: deletes ended jobs; @jobs is empty
 * @retry_at: when it is sent again if there is no answer by then
 * @failures: number of its attempts that have failed
 * @refusals: number of times that the store has refused it
 * @maybe_stored: an attempt was not answered, so that it may have been or may
 *	still be carried out
 * @lease_at_refusal: @valid_until of the leader at the first refusal
 * @jobs: jobs whose records it stores, the revisions that it expects to
 *	replace, and the oldest changes that it contains
 */
struct wf_write {
	struct wf_write_attempt {
		uint64_t tag;
		agb_time sent_at;
	} attempts[WF_WRITE_ATTEMPTS_MAX];
	bool deletes_jobs;
	agb_time retry_at;
	uint32_t failures;
	uint32_t refusals;
	bool maybe_stored;
	agb_time lease_at_refusal;
	struct agb_store_op op;
	struct wf_write_job {
		wf_job_id id;
		uint64_t expected_rev;
		uint64_t gen;
		char *raw;
		size_t len;
	} * jobs;
	size_t jobs_len;
	struct wf_write *prev, *next;
};

/**
 * struct wf_leader - state of a leader
 * @fence: store revision at which it was elected, which is the fence token of
 *	its orders
 * @cfg: configuration of this instance
 * @meter: measurements of this instance
 * @doc: the document in force, owned by the core, or NULL
 * @valid_until: its lease does not end before this time
 * @extend_until: it may extend leases of runners before this time
 * @flow: limit of the starts in flight
 * @accounts: use of the runners by client accounts
 * @registry_seen: the list of runners has been read
 * @queue: units that are ready and have waiting tasks
 * @stops_pending: tasks that have to stop and are not known to have ended
 * @dirty_jobs: number of jobs with changes that no write contains
 * @timed_jobs: number of jobs whose spec gives the time of the first occurrence
 * @refresh: jobs that have finished work to free, or occurrences to open
 * @next_refresh_at: not looked at before this time
 * @reap_pending: an ended job may have no task left on a runner
 * @placement_changed: something that placement depends on has changed since
 *	the last dispatch pass
 * @pass_time: time that the last dispatch pass took; 0 when it is not measured
 * @pass_room: processors as the last dispatch pass left them
 * @gen: number of changes to state records so far
 * @acks: acknowledgements that wait for their changes to become durable
 * @write_time_us: moving average of the time from an attempt at a write to
 *	its answer
 * @advice_clients_usable: number of usable entries of @advice_clients
 * @queue_times: learned run times by queue
 * @long_calls_ms, @short_calls_ms: expected time of the recent long and short
 *	calls for advice, halved regularly
 * @next_occurrence_ms: Unix time of the next occurrence, or an earlier time
 * @starts_deferred: intents became durable while the lease was in doubt, and
 *	their starts are not sent yet
 * @last_incarnation: number of the latest incarnation of any runner
 * @fenced_by: runner that answered last, at @fenced_at, that it has seen a
 *	higher fence token
 * @leadership_lost: another instance leads
 */
struct wf_leader {
	uint64_t fence;
	const struct wf_config *cfg;
	struct wf_meter *meter;
	const struct wf_doc *doc;
	struct wf_table *table;
	agb_time elected_at;
	agb_time valid_until;
	agb_time extend_until;
	struct wf_runner *runners;
	uint32_t runners_len;
	struct wf_runner_by_id *runners_by_id;
	struct wf_outbox outbox;
	struct wf_flow flow;
	struct wf_accounts accounts;
	bool registry_seen;
	struct wf_exec *execs;
	struct wf_unit *queue;
	uint32_t queue_len;
	uint32_t stops_pending;
	uint32_t dirty_jobs;
	uint32_t timed_jobs;
	struct wf_exec *refresh;
	agb_time next_refresh_at;
	bool reap_pending;
	bool placement_changed;
	agb_time last_dispatch_at;
	agb_time pass_time;
	struct wf_pass_room pass_room;
	uint64_t gen;
	struct wf_ack *acks;
	size_t acks_len;
	size_t acks_cap;
	struct wf_write *writes;
	size_t writes_len;
	agb_time write_time_us;
	agb_time next_flush_at;
	agb_time next_reap_at;
	uint64_t next_tag;
	struct wf_advice_client *advice_clients;
	size_t advice_clients_len;
	size_t advice_clients_usable;
	struct wf_advice_call *advice_calls;
	size_t advice_calls_len;
	struct wf_queue_times *queue_times;
	uint64_t long_calls_ms;
	uint64_t short_calls_ms;
	agb_time next_halving_at;
	agb_time next_collect_at;
	struct wf_show show;
	agb_time next_fleet_tick_at;
	int64_t next_occurrence_ms;
	bool starts_deferred;
	uint32_t last_incarnation;
	uint32_t fenced_by;
	agb_time fenced_at;
	bool leadership_lost;
};

/* ---- wf_leader.c ---- */

/**
 * wf_leader_new() - create the state of a leader that was just elected
 * @fence: store revision at which it was elected, which is the fence token of
 *	its orders
 */
struct wf_leader *wf_leader_new(uint64_t fence, const struct wf_config *cfg,
    struct wf_meter *meter, struct wf_table *table, const struct wf_doc *doc,
    const struct wf_now *now, struct wf_effects *out);

/**
 * wf_leader_free() - free the state; pending orders are not awaited
 * @l: may be NULL
 */
void wf_leader_free(struct wf_leader *l);

/**
 * wf_leader_update_job() - handle a job that was submitted or cancelled
 */
void wf_leader_update_job(struct wf_leader *l, const struct wf_now *now,
    struct wf_job *j, struct wf_effects *out);

/**
 * wf_leader_set_doc() - replace the document in force
 */
void wf_leader_set_doc(struct wf_leader *l, const struct wf_doc *doc);

/**
 * wf_leader_update_peers() - handle a change of the set of instances
 */
void wf_leader_update_peers(struct wf_leader *l);

/**
 * wf_leader_tick() - carry out everything that is due
 * Return: when to call again.
 */
agb_time wf_leader_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_leader_get_load() - count the work that waits or is being started
 */
void wf_leader_get_load(const struct wf_leader *l, struct wf_load *out);

/**
 * wf_leader_may_order() - whether orders may be sent: one sent now
 * arrives while the lease is certainly valid
 */
bool wf_leader_may_order(const struct wf_leader *l, agb_time now);

/* ---- wf_run.c: numbers of runs and names of tasks ---- */

/**
 * wf_job_note_run() - note the number of a run of a job's tasks
 */
void wf_job_note_run(struct wf_job *j, uint32_t run);

/**
 * wf_unit_next_run() - number of the next run of a task of a unit
 * @after: highest number of its runs so far
 */
uint32_t wf_unit_next_run(
    const struct wf_leader *l, const struct wf_unit *u, uint32_t after);

/**
 * wf_unit_note_old() - note that a runner has rejected the run of a task as old
 *
 * It has ended a later run of a task with the same name: of a job with the same
 * id, which may have been deleted by now. How much later is not known, and the
 * numbers of the unit rise in growing steps.
 */
void wf_unit_note_old(struct wf_unit *u, const struct wf_task *t);

/**
 * wf_unit_name_taken() - whether a runner has or may have a task with the same
 * name that belongs to another job
 *
 * It gets no second one: an order to stop a run may end lower ones as well.
 *
 * @task: index in the unit
 */
bool wf_unit_name_taken(const struct wf_leader *l, const struct wf_unit *u,
    uint32_t task, uint32_t runner);

/* ---- wf_exec.c ---- */

/**
 * wf_exec_new() - begin to execute a job from its spec and state record
 */
struct wf_exec *wf_exec_new(struct wf_leader *l, const struct wf_now *now,
    struct wf_job *j, struct wf_effects *out);

void wf_exec_free(struct wf_leader *l, struct wf_exec *e);

/**
 * wf_runner_account_task() - add a task's resources to a runner's allocation,
 * or remove them
 * @add: false removes
 */
void wf_runner_account_task(
    struct wf_runner *r, const struct wf_step *step, bool add);

/**
 * wf_exec_open() - find an occurrence, which is opened if it is not open
 * Return: its units.
 */
struct wf_unit *wf_exec_open(
    struct wf_leader *l, struct wf_exec *e, uint32_t number, agb_time now);

/**
 * wf_exec_find_unit() - find a unit of an open occurrence
 * Return: NULL when the occurrence is not open, or the job is not executed.
 */
struct wf_unit *wf_exec_find_unit(const struct wf_leader *l, const char *job,
    uint32_t occurrence, uint32_t step);

/**
 * wf_exec_find_task() - find the task that an order or a list refers to
 * @unit: set to its unit
 * Return: NULL when it belongs to no job that is being executed, has never been
 * assigned, or is done and gone from its runner.
 */
struct wf_task *wf_exec_find_task(
    struct wf_leader *l, const struct wf_task_ref *ref, struct wf_unit **unit);

/**
 * wf_unit_task_ref() - set @ref to the identity of a task of a unit
 * @task: index in the unit
 */
void wf_unit_task_ref(
    const struct wf_unit *u, uint32_t task, struct wf_task_ref *ref);

/**
 * wf_task_ref() - set @ref to the identity of a task that is or was allocated
 * on a runner
 */
void wf_task_ref(const struct wf_task *t, struct wf_task_ref *ref);

/**
 * wf_task_set_checkpoint() - store the newest checkpoint of a task
 * @checkpoint: "" leaves the current one
 */
void wf_task_set_checkpoint(struct wf_task *t, const char *checkpoint);

const struct wf_step *wf_unit_step(const struct wf_unit *u);

/**
 * wf_unit_queue() - queue of a unit's job
 * Return: NULL when there is no document or it has no such queue.
 */
const struct wf_queue *wf_unit_queue(
    const struct wf_leader *l, const struct wf_unit *u);

/**
 * wf_exec_mark_dirty() - note that the state record of a job has to be
 * written
 */
void wf_exec_mark_dirty(struct wf_leader *l, struct wf_exec *e);

/**
 * wf_exec_publish_state() - send the state of a job that is reported to
 * callers to the other instances, unless it was sent before
 */
void wf_exec_publish_state(struct wf_leader *l, struct wf_exec *e);

/**
 * wf_exec_mark_running() - note that a runner has accepted a start of the job,
 * which is not queued any more
 */
void wf_exec_mark_running(struct wf_leader *l, struct wf_exec *e);

/**
 * wf_exec_advance() - queue the units that have become ready, and finish
 * the job if it was cancelled or all its tasks are done
 */
void wf_exec_advance(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out);

/**
 * wf_exec_finish() - set the final state of a job and stop its tasks
 * @why: reason for the record and the log
 */
void wf_exec_finish(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, enum wf_job_state state, const char *why,
    struct wf_effects *out);

/**
 * wf_exec_open_due() - open the occurrences that have become due
 * Return: when to call again.
 */
agb_time wf_exec_open_due(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_exec_tick() - free the work that is done, and open occurrences that have
 * waited for others of their jobs
 * Return: when to call again.
 *
 * Pointers to units and tasks become invalid.
 */
agb_time wf_exec_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_task_assign() - assign a waiting task to a runner and allocate its
 * resources there
 */
void wf_task_assign(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, uint32_t runner, uint32_t run);

/**
 * wf_task_release() - free the resources of a task that is certainly not on
 * its runner any more
 */
void wf_task_release(struct wf_leader *l, struct wf_unit *u, struct wf_task *t);

/**
 * wf_task_requeue() - release a task that has not ended successfully, and
 * queue it for its next start
 * @why: reason for the log
 */
void wf_task_requeue(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, const char *why,
    struct wf_effects *out);

/**
 * wf_task_handle_end() - handle the end of the current run of a task
 * @saved: its last checkpoint, or ""
 */
void wf_task_handle_end(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, enum wf_run_end how,
    const char *saved, struct wf_effects *out);

/**
 * wf_task_done_by_earlier_run() - mark a task done whose earlier run has ended
 * successfully, and stop its current run
 */
void wf_task_done_by_earlier_run(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, struct wf_effects *out);

/**
 * wf_gang_stop() - stop all members of a gang that are still allocated, so that
 * it can start again as a whole
 */
void wf_gang_stop(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_effects *out);

/**
 * wf_task_stop() - stop a task on its runner; one whose start was not sent yet
 * is returned to the queue
 * @why: reason for the log
 */
void wf_task_stop(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, const char *why,
    struct wf_effects *out);

/**
 * wf_task_confirm() - note that a task's runner has carried out its start
 */
void wf_task_confirm(struct wf_leader *l, struct wf_task *t, agb_time now);

/**
 * wf_task_mark_unanswered() - note that a task's start was not answered in time,
 * so that its order and the answer are not on their way any more
 */
void wf_task_mark_unanswered(struct wf_leader *l, struct wf_task *t);

/**
 * wf_task_allocate() - allocate the resources of a task on its runner
 */
void wf_task_allocate(
    struct wf_leader *l, struct wf_unit *u, struct wf_task *t);

/* ---- wf_state.c ---- */

/**
 * wf_state_encode() - encode the state record of a job
 * Return: the record, owned by the caller; NULL when a limit of the record is
 * exceeded.
 */
char *wf_state_encode(
    struct wf_leader *l, const struct wf_exec *e, size_t *len);

/**
 * wf_state_restore() - restore a job from its state record
 *
 * A task that may be running stays allocated on its runner until the runner
 * reports, or its lease ends.
 *
 * Return: false when the record is malformed; nothing is restored then.
 */
bool wf_state_restore(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out);

/* ---- wf_exec_times.c ---- */

/**
 * wf_exec_set_times() - set the expected run times and the due times of the
 * units of an occurrence
 */
void wf_exec_set_times(
    struct wf_leader *l, struct wf_unit *units, agb_time now);

/**
 * wf_exec_last_due_at() - when the last occurrence of a job should be finished
 */
agb_time wf_exec_last_due_at(struct wf_leader *l, const struct wf_exec *e);

/**
 * wf_unit_update_times() - update the expected run time and the due time of a
 * unit, if that was not done recently
 */
void wf_unit_update_times(struct wf_leader *l, struct wf_unit *u, agb_time now);

/**
 * wf_task_run_time_known() - whether this leader has started the current run of
 * a task, and from the beginning, so that the time since @sent_at is its run
 * time
 */
bool wf_task_run_time_known(const struct wf_task *t);

/**
 * wf_task_run_factor() - factor on the run time of a task where it runs: the
 * remote factor of the settings when it is away from its data or its group
 *
 * Only known for a gang that this leader has started.
 */
double wf_task_run_factor(const struct wf_leader *l, const struct wf_task *t);

/**
 * wf_exec_learn_run_time() - learn from a run that has ended successfully
 */
void wf_exec_learn_run_time(
    struct wf_leader *l, const struct wf_task *t, uint32_t run_ms);

/**
 * wf_unit_following_ms() - expected time from the end of a unit to the end of
 * its occurrence
 */
uint64_t wf_unit_following_ms(struct wf_leader *l, const struct wf_unit *u);

/**
 * wf_unit_ready_at() - when a unit became ready
 *
 * For a unit that depends on others, at the latest when this leader saw it: the
 * end of a step is not recorded with its time.
 */
agb_time wf_unit_ready_at(const struct wf_unit *u);

/**
 * wf_exec_queue_times() - what was learned from the tasks of a queue
 */
struct wf_queue_times *wf_exec_queue_times(
    struct wf_leader *l, const char *queue);

/**
 * wf_exec_forget_run_times() - free what was learned
 */
void wf_exec_forget_run_times(struct wf_leader *l);

/* ---- wf_fleet*.c ---- */

/**
 * wf_fleet_find() - index of a runner
 * Return: WF_NO_HANDLE when it is not known.
 */
uint32_t wf_fleet_find(const struct wf_leader *l, const char *id);

/**
 * wf_fleet_clear() - free all runners
 */
void wf_fleet_clear(struct wf_leader *l);

/**
 * wf_fleet_find_or_add() - index of a runner, which is added when it is not
 * known
 */
uint32_t wf_fleet_find_or_add(
    struct wf_leader *l, const char *id, agb_time now);

/**
 * wf_fleet_apply_changes() - apply changes of the registry of runners
 */
void wf_fleet_apply_changes(struct wf_leader *l, const struct wf_now *now,
    const struct wf_registry_update *rs, struct wf_effects *out);

/**
 * wf_fleet_handle_result() - handle the answer to an order, or its absence
 */
void wf_fleet_handle_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out);

/**
 * wf_fleet_tick() - send holds and repeated stops that are due, and requeue the
 * tasks of runners whose lease has expired
 * Return: when to call again.
 */
agb_time wf_fleet_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_fleet_send_start() - send the start of a task whose intent is durable
 */
void wf_fleet_send_start(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, struct wf_effects *out);

/**
 * wf_fleet_usable() - whether a runner may be given new tasks
 */
bool wf_fleet_usable(const struct wf_runner *r, agb_time now);

/**
 * wf_fleet_eligible() - whether a runner may be given new tasks of a step
 */
bool wf_fleet_eligible(const struct wf_runner *r, const struct wf_step *step,
    const char *service, agb_time now);

/**
 * wf_fleet_reported() - whether enough runners have reported their runs, or
 * the time to wait for that after the election has passed
 */
bool wf_fleet_reported(const struct wf_leader *l, agb_time now);

/**
 * wf_runner_free_resources() - capacity that is not allocated
 */
struct agb_resources wf_runner_free_resources(const struct wf_runner *r);

/**
 * wf_runner_rack() - last label of a runner, which names its rack; "" without one
 */
const char *wf_runner_rack(const struct wf_runner *r);

/* ---- wf_commit.c ---- */

/**
 * wf_commit_flush() - write the state records that have changed, send
 * unanswered writes again, and delete jobs that ended long ago
 * Return: when to call again.
 */
agb_time wf_commit_flush(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_commit_handle_result() - handle the answer to an attempt at a write
 * Return: false when the tag belongs to no write.
 */
bool wf_commit_handle_result(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, const struct agb_store_result *res, struct wf_effects *out);

/**
 * wf_commit_queue_ack() - acknowledge the ends up to @seq to their runner once
 * all changes made so far are durable
 */
void wf_commit_queue_ack(struct wf_leader *l, uint32_t runner, uint64_t seq);

/**
 * wf_commit_send_starts() - send the starts of a job whose intents are durable
 */
void wf_commit_send_starts(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out);

void wf_commit_free(struct wf_leader *l);

/* ---- wf_dispatch.c ---- */

/**
 * wf_dispatch() - assign waiting tasks to runners, and request the advice that
 * they need
 * Return: when to call again.
 */
agb_time wf_dispatch(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_dispatch_interval() - minimum time between the beginnings of two passes
 * @queue_len: number of queued units
 * @pass_time: time that the last pass took
 */
agb_time wf_dispatch_interval(uint32_t queue_len, agb_time pass_time);

/* ---- wf_advice.c ---- */

/**
 * wf_advice_update_peers() - update the instances that can call the advice
 * service from the table of instances
 */
void wf_advice_update_peers(struct wf_leader *l);

/**
 * wf_advice_update_clients() - determine which instances can be given calls
 *
 * Called once before the requests and renewals of a dispatch pass.
 */
void wf_advice_update_clients(struct wf_leader *l, agb_time now);

/**
 * wf_advice_request() - request approvals of further runners for a unit unless
 * it has enough or a call is pending
 */
void wf_advice_request(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_effects *out);

/**
 * wf_advice_renew() - request new tickets for approved runners
 * @runners: their indexes
 */
void wf_advice_renew(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, const uint32_t *runners, size_t len,
    struct wf_effects *out);

/**
 * wf_advice_call_capacity() - maximum number of runners that can be named in as
 * many calls as @len of them need
 */
size_t wf_advice_call_capacity(size_t len);

/**
 * wf_advice_call_ms() - expected time to the answers of calls that name this
 * many runners together
 */
uint32_t wf_advice_call_ms(const struct wf_queue *q, size_t runners_len);

/**
 * wf_advice_handle_answer() - handle the answer to a call for advice
 */
void wf_advice_handle_answer(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, const struct wf_advice *advice, struct wf_effects *out);

/**
 * wf_advice_find() - answer of the service for one runner
 * Return: NULL when it was not asked about.
 */
const struct wf_approval *wf_advice_find(
    const struct wf_unit *u, uint32_t runner);

/**
 * wf_advice_is_current() - whether a runner is approved in its current
 * incarnation; its ticket may have expired
 */
bool wf_advice_is_current(
    const struct wf_leader *l, const struct wf_approval *a);

/**
 * wf_advice_has_ticket() - whether a unit has a valid ticket
 */
bool wf_advice_has_ticket(const struct wf_unit *u, agb_time now);

/**
 * wf_advice_update_claims() - compute for each runner what units with
 * pending calls or unused tickets may take on it
 */
void wf_advice_update_claims(struct wf_leader *l, agb_time now);

/**
 * wf_advice_ticket_lasts() - whether a start sent now arrives before its
 * ticket expires
 */
bool wf_advice_ticket_lasts(
    const struct wf_unit *u, uint32_t runner, agb_time now);

void wf_advice_free(struct wf_leader *l);

#endif

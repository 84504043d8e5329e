#ifndef WF_LEADER_H
#define WF_LEADER_H

/**
 * DOC: wf_leader
 *
 * State of the instance that places tasks. It is made anew at each election
 * from the copy of the store, and dropped when the lease is lost. Runners,
 * jobs and tasks are named by handles into tables.
 *
 * Nothing here survives the process: an intent to start a task is durable in
 * the store before the order goes out, and an end is durable before the
 * runner is told to forget it.
 */

#include "wf_event.h"
#include "wf_outbox.h"
#include "wf_show.h"
#include "wf_table.h"

/* Leases of runners are extended for this long after the last certain sign
 * of leadership: runners refuse orders of a leader that has been replaced. */
#define WF_HOLD_GRACE_MS 8000

/**
 * enum wf_task_state - what the leader knows of a task
 * @WF_TASK_WAIT: not at a runner
 * @WF_TASK_INTENT: placed; the record of it is not durable yet
 * @WF_TASK_SENT: a start may be carried out, now or later
 * @WF_TASK_RUN: at work
 * @WF_TASK_DONE: has ended with success
 */
enum wf_task_state {
	WF_TASK_WAIT,
	WF_TASK_INTENT,
	WF_TASK_SENT,
	WF_TASK_RUN,
	WF_TASK_DONE,
};

/**
 * struct wf_task - a task
 * @run: number of its latest start
 * @failures: runs that failed by its own fault or its runner's
 * @born_ms: start of the life of @runner in which it was placed
 * @holds: its need is counted at @runner; after DONE until the end is listed
 * @recovered: started by an earlier leader, not yet seen by this one
 * @stopping: a stop has been decided; repeated until there is evidence
 * @unanswered: the answer to its start was lost
 * @flushing: its intent is part of a write that is under way
 * @sent_at: when the start was sent, or the intent made
 * @answered_at: when the runner took it; 0 while that is open
 * @start_ms: deadline of the start on the runner's clock
 * @avoid: runner on which it failed last
 * @prev, @next: others that are counted at the same runner
 * @listed: scratch of the reading of a runner's list
 * @percent: progress that its runner has listed last, of run @moved_run
 * @moved_ms: when a list showed that progress first, on the runner's clock
 * @still: later lists that showed the same
 * @load: load that its runner has listed last
 * @paced: share at which it was told to work, in percent
 */
struct wf_task {
	enum wf_task_state state;
	uint32_t run;
	uint32_t failures;
	uint32_t runner;
	uint32_t life;
	int64_t born_ms;
	bool holds;
	bool recovered;
	bool stopping;
	bool unanswered;
	bool flushing;
	agb_time sent_at;
	agb_time answered_at;
	agb_time stop_at;
	int64_t start_ms;
	uint32_t avoid;
	char *saved;
	struct wf_unit *unit;
	struct wf_task *prev, *next;
	bool listed;
	uint32_t percent;
	uint32_t moved_run;
	int64_t moved_ms;
	uint32_t still;
	uint32_t load;
	uint32_t paced;
};

/**
 * struct wf_approval - what the advice service said of one runner
 * @until: end of the ticket's life; 0 when it was not approved
 */
struct wf_approval {
	uint32_t runner;
	uint32_t life;
	bool ok;
	agb_time until;
	agb_id ticket;
};

/**
 * struct wf_unit - one step of one occurrence
 * @first: index of its first task
 * @waiting, @active, @done: tasks by state
 * @failures: failed runs of a gang, the last of them @failed_run
 * @run: run of a gang
 * @repair_until: members whose start failed are placed anew in the same run
 * @due: when the job should be finished
 * @queued: member of the list of units that wait
 * @asking: a call for advice is under way, with tag @ask_tag
 * @ask_after: no call before
 */
struct wf_unit {
	struct wf_exec *exec;
	uint32_t occurrence;
	uint32_t step;
	uint32_t first;
	uint32_t waiting;
	uint32_t active;
	uint32_t done;
	uint32_t failures;
	uint32_t failed_run;
	uint32_t run;
	bool ready;
	bool queued;
	bool asking;
	uint64_t ask_tag;
	agb_time ask_after;
	agb_time repair_until;
	agb_time ready_at;
	agb_time due;
	struct wf_approval *approvals;
	size_t approvals_len;
	struct wf_unit *prev, *next;
};

/**
 * struct wf_exec - a job that the leader works on
 * @gen: generation of its oldest change that is not in a write
 * @write_at: when its change has to be written at the latest
 * @in_flight: a write of its record is under way
 * @texts: relays that could not get its text, as a bit set
 */
struct wf_exec {
	struct wf_job *job;
	struct wf_unit *units;
	uint32_t units_len;
	struct wf_task *tasks;
	uint32_t tasks_len;
	enum wf_job_state state;
	int64_t ended_ms;
	char detail[AGB_DETAIL_LEN];
	agb_time accepted_at;
	uint64_t texts[WF_RELAYS_MAX / 64];
	uint64_t gen;
	agb_time write_at;
	bool dirty;
	bool in_flight;
	bool shown;
	enum wf_job_state shown_state;
	struct wf_exec *prev, *next;
};

/* A run that a runner holds though no task is meant to be there. */
struct wf_stray {
	struct wf_task_ref task;
	uint32_t run;
	struct agb_resources need;
	agb_time stop_at;
	bool seen;
};

/**
 * struct wf_runner - a runner
 * @listed: the registry has it
 * @life: counts its lives
 * @met: its lists have been seen under this leader's fence in this life
 * @silent: the last hold was not answered
 * @retried: nor was one through the relay before it
 * @route: how it is reached
 * @has_left: its entry was removed as a draining runner's is that exits
 * @kept: room is kept there for a gang
 * @hold_out: a hold is under way
 * @hold_next: when the next one is due
 * @heard_at: sending time of the last hold that was answered
 * @lease_until: nothing can run there later, unless granted anew
 * @clock_ms, @clock_at: its clock, and when it was read
 * @processed: number of the last end that was taken
 * @observed: number of the last end that is durable
 * @held: needs of all that may be there
 * @filled: processor that tasks which fill may use there, not in @held
 * @pace: share at which these work, in percent, set at @pace_at
 * @claimed: processor that units which wait for approvals may take there
 * @tasks: tasks that are counted there
 * @fail_streak: failed ends since the last success
 * @stalled: none of its tasks makes progress
 * @shun_until: takes no new tasks before
 */
struct wf_runner {
	struct wf_runner_info info;
	bool used;
	bool listed;
	uint32_t life;
	bool met;
	bool silent;
	bool retried;
	bool has_left;
	bool kept;
	bool hold_out;
	agb_time hold_next;
	agb_time heard_at;
	agb_time gone_at;
	agb_time lease_until;
	int64_t clock_ms;
	agb_time clock_at;
	uint64_t processed;
	uint64_t observed;
	struct agb_resources held;
	int64_t filled;
	int64_t claimed;
	uint32_t pace;
	agb_time pace_at;
	struct wf_task *tasks;
	uint32_t fail_streak;
	bool stalled;
	agb_time shun_until;
	struct wf_stray *strays;
	size_t strays_len;
	struct wf_route route;
};

/* Place of a runner by its id. */
struct wf_runner_id {
	agb_id id;
	uint32_t runner;
	UT_hash_handle hh;
};

/* Ends up to @seq of @runner are durable once generation @gen is. */
struct wf_ack {
	uint64_t gen;
	uint32_t runner;
	uint32_t life;
	uint64_t seq;
};

/**
 * struct wf_advisor - an instance that calls the advice service
 * @peer: its address, "" for this instance
 * @busy_until: when the calls that it has are expected to be done
 */
struct wf_advisor {
	agb_id name;
	agb_addr peer;
	agb_time busy_until;
	agb_time bad_until;
};

struct wf_ask_out {
	uint64_t tag;
	uint32_t advisor;
	wf_job_id job;
	uint32_t unit;
	agb_time sent_at;
	uint32_t est_ms;
	uint32_t *runners;
	uint32_t *lives;
	size_t runners_len;
};

/* Attempts at one write that may be under way at once. */
#define WF_WRITE_TRIES 4

/**
 * struct wf_write - a write of records
 * @tries: attempts that have no answer yet; tag 0 is a free place
 * @retry_at: next attempt when there is no answer by then
 */
struct wf_write {
	struct wf_write_try {
		uint64_t tag;
		agb_time sent_at;
	} tries[WF_WRITE_TRIES];
	bool collect;
	agb_time retry_at;
	struct agb_store_op op;
	struct wf_write_job {
		wf_job_id id;
		uint64_t expect;
		uint64_t gen;
		char *raw;
		size_t len;
	} * jobs;
	size_t jobs_len;
	struct wf_write *prev, *next;
};

/**
 * struct wf_leader - what a leader keeps
 * @fence: revision of its election, the token of its orders
 * @cfg: the instance that leads
 * @doc: the document in force; owned by the core
 * @valid_until: end of its lease as far as it is certain
 * @hold_until: until when leases of runners may be extended
 * @stops: tasks whose stop has been decided and not been seen
 * @due_at: when an occurrence falls due
 * @starts_held: intents became durable while the lease was in doubt
 * @lost: another instance leads
 * @dirty: jobs whose record has to be written
 * @store_us: smoothed time of an answered write
 * @long_work_ms, @short_work_ms: time that calls for advice have taken lately
 * @timed: jobs with a time of their first occurrence
 * @ended: a job may have ended and have nothing left at runners
 * @changed: something that placement depends on has changed
 */
struct wf_leader {
	uint64_t fence;
	const struct wf_config *cfg;
	const struct wf_doc *doc;
	struct wf_table *table;
	agb_time elected_at;
	agb_time valid_until;
	agb_time hold_until;
	struct wf_runner *runners;
	uint32_t runners_len;
	struct wf_runner_id *runner_ids;
	struct wf_outbox outbox;
	bool registry_seen;
	struct wf_exec *execs;
	struct wf_unit *queue;
	uint32_t queue_len;
	uint32_t stops;
	uint32_t dirty;
	uint32_t timed;
	bool ended;
	bool changed;
	agb_time dispatch_at;
	uint64_t gen;
	struct wf_ack *acks;
	size_t acks_len;
	size_t acks_cap;
	struct wf_write *writes;
	size_t writes_len;
	agb_time store_us;
	agb_time flush_at;
	agb_time free_at;
	uint64_t next_tag;
	struct wf_advisor *advisors;
	size_t advisors_len;
	struct wf_ask_out *asks;
	size_t asks_len;
	uint64_t long_work_ms;
	uint64_t short_work_ms;
	agb_time work_halve_at;
	agb_time next_collect;
	struct wf_show show;
	agb_time fleet_at;
	agb_time due_at;
	bool starts_held;
	uint32_t fenced_by;
	agb_time fenced_at;
	bool lost;
};

/* ---- wf_leader.c ---- */

/**
 * wf_leader_new() - begin to lead
 * @fence: revision of the election
 */
struct wf_leader *wf_leader_new(uint64_t fence, const struct wf_config *cfg,
    struct wf_table *table, const struct wf_doc *doc, const struct wf_now *now,
    struct wf_effects *out);

/**
 * wf_leader_free() - stop leading; orders under way are left to their fate
 * @l: may be NULL
 */
void wf_leader_free(struct wf_leader *l);

/**
 * wf_leader_job() - a job is new or has been cancelled
 */
void wf_leader_job(struct wf_leader *l, const struct wf_now *now,
    struct wf_job *j, struct wf_effects *out);

/**
 * wf_leader_doc() - another document is in force
 */
void wf_leader_doc(struct wf_leader *l, const struct wf_doc *doc);

/**
 * wf_leader_peers() - the set of instances has changed
 */
void wf_leader_peers(struct wf_leader *l);

/**
 * wf_leader_tick() - do what is due
 * Return: when to call again.
 */
agb_time wf_leader_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_leader_may_order() - whether the lease certainly holds
 */
bool wf_leader_may_order(const struct wf_leader *l, agb_time now);

/* ---- wf_exec.c ---- */

/**
 * wf_exec_new() - begin work on a job from its submission and state record
 */
struct wf_exec *wf_exec_new(struct wf_leader *l, const struct wf_now *now,
    struct wf_job *j, struct wf_effects *out);

void wf_exec_free(struct wf_leader *l, struct wf_exec *e);

/**
 * wf_runner_count() - count a task at a runner, or no longer
 */
void wf_runner_count(
    struct wf_runner *r, const struct wf_step *step, bool there);

/**
 * wf_exec_task() - task that an order or a list names
 * @unit: set to its unit
 * Return: NULL when no job that is worked on has it.
 */
struct wf_task *wf_exec_task(
    struct wf_leader *l, const struct wf_task_ref *ref, struct wf_unit **unit);

void wf_exec_ref(
    const struct wf_unit *u, uint32_t task, struct wf_task_ref *ref);

/**
 * wf_task_ref() - identity of a task that is counted at a runner
 */
void wf_task_ref(const struct wf_task *t, struct wf_task_ref *ref);

/**
 * wf_task_save() - keep the newest checkpoint of a task
 * @saved: "" keeps what there is
 */
void wf_task_save(struct wf_task *t, const char *saved);

const struct wf_step *wf_unit_step(const struct wf_unit *u);

const struct wf_queue *wf_unit_queue(
    const struct wf_leader *l, const struct wf_unit *u);

/**
 * wf_exec_change() - the record of a job has to be written again
 */
void wf_exec_change(struct wf_leader *l, struct wf_exec *e);

/**
 * wf_exec_show() - tell other instances the state of a job if they have not
 * been told
 */
void wf_exec_show(struct wf_leader *l, struct wf_exec *e);

/**
 * wf_exec_begun() - a runner has taken a start of the job, so that it does not
 * wait any more
 */
void wf_exec_begun(struct wf_leader *l, struct wf_exec *e);

/**
 * wf_exec_advance() - look which units are ready and whether the job ended
 */
void wf_exec_advance(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out);

/**
 * wf_exec_finish() - a job has reached its final state
 */
void wf_exec_finish(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, enum wf_job_state state, const char *why,
    struct wf_effects *out);

/**
 * wf_exec_next() - earliest due time of an occurrence that waits for it
 */
agb_time wf_exec_next(const struct wf_leader *l, const struct wf_now *now);

/**
 * wf_task_assign() - place a task: count its need at the runner
 */
void wf_task_assign(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, uint32_t runner, uint32_t run);

/**
 * wf_task_release() - the task is certainly not at its runner any more
 */
void wf_task_release(struct wf_leader *l, struct wf_unit *u, struct wf_task *t);

/**
 * wf_task_requeue() - release a task that has not ended done, and let it
 * wait for its next start
 * @why: for the log
 */
void wf_task_requeue(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, const char *why,
    struct wf_effects *out);

/**
 * wf_task_ended() - a runner lists the end of the task's current run
 */
void wf_task_ended(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, enum wf_run_end how,
    const char *saved, struct wf_effects *out);

/**
 * wf_task_ended_elsewhere() - an earlier run has ended done
 */
void wf_task_ended_elsewhere(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, struct wf_effects *out);

/**
 * wf_gang_stop() - stop what is left of a gang, so that it starts anew
 */
void wf_gang_stop(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_effects *out);

/**
 * wf_task_stop() - decide that a task has to stop where it is
 */
void wf_task_stop(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, const char *why,
    struct wf_effects *out);

/**
 * wf_task_count() - count a task that is placed at its runner
 */
void wf_task_count(struct wf_leader *l, struct wf_unit *u, struct wf_task *t);

/* ---- wf_state.c ---- */

/**
 * wf_state_encode() - bytes of the state record
 */
char *wf_state_encode(
    struct wf_leader *l, const struct wf_exec *e, size_t *len);

/**
 * wf_state_restore() - take over what the state record says; what may be
 * running is counted at its runner until that one tells, or its lease ends
 */
void wf_state_restore(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out);

/* ---- wf_fleet.c ---- */

uint32_t wf_fleet_find(const struct wf_leader *l, const char *id);

/**
 * wf_fleet_free_all() - drop all runners
 */
void wf_fleet_free_all(struct wf_leader *l);

/**
 * wf_fleet_get() - handle of a runner, which is entered when not known
 */
uint32_t wf_fleet_get(struct wf_leader *l, const char *id, agb_time now);

/**
 * wf_fleet_change() - the registry tells of runners
 */
void wf_fleet_change(struct wf_leader *l, const struct wf_now *now,
    const struct wf_registry_update *rs, struct wf_effects *out);

/**
 * wf_fleet_answer() - a runner has answered an order, or has not
 */
void wf_fleet_answer(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out);

/**
 * wf_fleet_tick() - holds, leases that have run out, stops to repeat
 * Return: when to call again.
 */
agb_time wf_fleet_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_fleet_start() - send the start of a task whose intent is durable
 */
void wf_fleet_start(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, struct wf_effects *out);

/**
 * wf_fleet_usable() - whether a runner takes new tasks
 */
bool wf_fleet_usable(const struct wf_runner *r, agb_time now);

/**
 * wf_fleet_eligible() - whether a runner takes new tasks of a step
 */
bool wf_fleet_eligible(const struct wf_runner *r, const struct wf_step *step,
    const char *service, agb_time now);

/**
 * wf_fleet_met() - whether enough runners have shown what they hold
 */
bool wf_fleet_met(const struct wf_leader *l, agb_time now);

struct agb_resources wf_fleet_free(const struct wf_runner *r);

/* ---- wf_commit.c ---- */

/**
 * wf_commit_flush() - write the records that have changed
 * Return: when to call again.
 */
agb_time wf_commit_flush(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/**
 * wf_commit_done() - a write has been answered
 * Return: false when the tag is none of a write.
 */
bool wf_commit_done(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    const struct agb_store_result *res, struct wf_effects *out);

/**
 * wf_commit_ack() - ends up to @seq wait for the writes decided so far
 */
void wf_commit_ack(struct wf_leader *l, uint32_t runner, uint64_t seq);

/**
 * wf_commit_starts() - send the starts of a job whose intents are durable
 */
void wf_commit_starts(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out);

void wf_commit_free(struct wf_leader *l);

/* ---- wf_dispatch.c ---- */

/**
 * wf_dispatch() - place what can be placed
 * Return: when to call again.
 */
agb_time wf_dispatch(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out);

/* ---- wf_advice.c ---- */

/**
 * wf_advice_peers() - the set of instances has changed
 */
void wf_advice_peers(struct wf_leader *l);

/**
 * wf_advice_want() - ask for approvals of a unit when it is time to
 */
void wf_advice_want(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_effects *out);

/**
 * wf_advice_again() - ask for new tickets of approved runners
 * @runners: handles
 */
void wf_advice_again(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, const uint32_t *runners, size_t len,
    struct wf_effects *out);

void wf_advice_answer(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, const struct wf_advice *a, struct wf_effects *out);

const struct wf_approval *wf_advice_of(
    const struct wf_unit *u, uint32_t runner);

/**
 * wf_advice_holds() - whether a runner, in its present life, is approved;
 * its ticket may have run out
 */
bool wf_advice_holds(const struct wf_leader *l, const struct wf_approval *a);

/**
 * wf_advice_fresh() - whether a unit has a valid ticket
 */
bool wf_advice_fresh(const struct wf_unit *u, agb_time now);

/**
 * wf_advice_claims() - count what waiting units may take at each runner
 */
void wf_advice_claims(struct wf_leader *l, agb_time now);

/**
 * wf_advice_lasts() - whether a start sent now arrives with a valid ticket
 */
bool wf_advice_lasts(const struct wf_unit *u, uint32_t runner, agb_time now);

void wf_advice_free(struct wf_leader *l);

#endif

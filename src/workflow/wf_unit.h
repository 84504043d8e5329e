#ifndef WF_UNIT_H
#define WF_UNIT_H

/**
 * DOC: wf_unit
 *
 * The work of a job that the leader executes: its open occurrences, their units
 * and tasks. Memory is used for what is under way only: an occurrence has units
 * from the time that it is due until it is over, and a task has a structure from
 * its first start until it is done. What is over is one bit a task, and what
 * has not begun is nothing. The memory of a leader therefore grows with the
 * tasks that run and not with those that are accepted.
 */

#include "wf_outbox.h"
#include "wf_table.h"

struct wf_account_use;
struct wf_leader;

/* Number of tasks whose structures are allocated and freed together. */
#define WF_TASK_CHUNK 64
/* Number of queued units of a job from which on its further occurrences that are
 * due are not opened: enough for the starts until they are looked at again. */
#define WF_QUEUED_UNITS_MAX 64

/**
 * enum wf_task_state - state of a task as recorded by the leader
 * @WF_TASK_WAITING: not assigned to a runner
 * @WF_TASK_INTENT: assigned to a runner; the state record that says so is not
 *	durable yet
 * @WF_TASK_SENT: the start order was sent; the runner may have executed it, or
 *	may still do so
 * @WF_TASK_RUNNING: its runner has started it
 * @WF_TASK_DONE: ended successfully
 */
enum wf_task_state {
	WF_TASK_WAITING,
	WF_TASK_INTENT,
	WF_TASK_SENT,
	WF_TASK_RUNNING,
	WF_TASK_DONE,
};

/**
 * struct wf_task - a task
 * @index: its index in @unit
 * @run: number of its latest start
 * @failures: failed runs, whether the task or its runner was at fault
 * @runner: index of the runner it is assigned to, or WF_NO_HANDLE
 * @incarnation: number of the incarnation of @runner that it is assigned to
 * @started_ms: start time of the process that its start was meant for; a later
 *	one may have got it
 * @allocated: its resources are counted in @runner's allocation. A task that
 *	an earlier run has completed stays allocated in state DONE until its
 *	current run has ended
 * @recovered: started by an earlier leader, or before its runner restarted; its
 *	runner has not listed it to this leader in this incarnation yet
 * @stopping: has to stop; the order is repeated until the end is confirmed
 * @in_flight: assigned, and its start neither answered nor given up; see struct
 *	wf_flow
 * @start_unanswered: the answer to its start order was lost
 * @listed: a list of its runner has contained its latest run
 * @intent_in_write: a pending write contains its intent
 * @sent_at: when the start was sent, or the task assigned
 * @start_accepted_at: when the runner accepted the start; 0 while unknown
 * @next_stop_at: when the stop order is sent next
 * @start_deadline_ms: deadline of the start order on the runner's clock
 * @avoid_runner: runner that its next start avoids, as it failed or stalled
 *	there last, or WF_NO_HANDLE
 * @checkpoint: newest checkpoint, or NULL
 * @prev, @next: other tasks allocated on the same runner
 * @seen_in_list: mark used while a runner's list is processed
 * @progress_percent: latest reported progress of run @progress_run
 * @progress_ms: when it was first reported, on the runner's clock
 * @unchanged_lists: number of later lists that reported the same progress
 * @resumed: started from a checkpoint, so that its progress did not begin at
 *	zero
 * @load: latest reported load, see struct wf_active_run
 * @pace_percent: share of full speed at which the runner was ordered to
 *	run it
 */
struct wf_task {
	enum wf_task_state state;
	uint32_t index;
	uint32_t run;
	uint32_t failures;
	uint32_t runner;
	uint32_t incarnation;
	int64_t started_ms;
	bool allocated;
	bool recovered;
	bool stopping;
	bool in_flight;
	bool start_unanswered;
	bool listed;
	bool intent_in_write;
	agb_time sent_at;
	agb_time start_accepted_at;
	agb_time next_stop_at;
	int64_t start_deadline_ms;
	uint32_t avoid_runner;
	char *checkpoint;
	struct wf_unit *unit;
	struct wf_task *prev, *next;
	bool seen_in_list;
	uint32_t progress_percent;
	uint32_t progress_run;
	int64_t progress_ms;
	uint32_t unchanged_lists;
	bool resumed;
	uint32_t load;
	uint32_t pace_percent;
};

/**
 * struct wf_task_chunk - consecutive tasks of a unit
 * @tasks: NULL when none of them has ever been assigned, or all are done and
 *	gone from their runners
 */
struct wf_task_chunk {
	struct wf_task *tasks;
};

/**
 * struct wf_approval - answer of the advice service for one runner
 * @incarnation: incarnation of the runner that the answer is for
 * @valid_until: when the ticket has to be renewed; 0 when not approved
 * @received_at: when the ticket was received
 * @ticket: as issued by the service; passed to the runner unread
 *
 * An approval comes with a ticket, which the service issues for one unit and
 * one runner. The start of a task carries it, and the runner rejects the start
 * when the ticket has expired.
 */
struct wf_approval {
	uint32_t runner;
	uint32_t incarnation;
	bool approved;
	agb_time valid_until;
	agb_time received_at;
	agb_id ticket;
};

/**
 * struct wf_unit_locality - wait of a unit for a placement near its data or its
 * group
 * @waits_since: when it was first decided that it waits; 0 before that
 * @expected_ms: time until near room, as expected then
 * @room_short: capacity was short at the last decision
 * @over: the unit does not wait again: near room was found, or a wait does not
 *	pay
 * @near, @remote: tasks started near after a wait, and tasks started remote
 * @gang_remote: the latest run of the gang is remote
 */
struct wf_unit_locality {
	agb_time waits_since;
	uint32_t expected_ms;
	bool room_short;
	bool over;
	uint32_t near;
	uint32_t remote;
	bool gang_remote;
};

/**
 * struct wf_unit - one step of one occurrence of a job
 * @tasks_len: number of its tasks
 * @chunks: its tasks by index, WF_TASK_CHUNK in each but the last
 * @waiting_from: no task with a lower index is waiting
 * @waiting, @active, @done: number of tasks by state
 * @allocated: number of tasks that are allocated on a runner
 * @failures: failed runs of a gang
 * @failed_run: number of the latest failed run of a gang
 * @run: highest run number of its tasks; the members of a gang share it
 * @run_floor: the next run of any of its tasks has a higher number
 * @run_step: latest step of @run_floor; 0 when no start was rejected as old since
 *	one was accepted
 * @ready: its occurrence is due and the steps it depends on are done
 * @queued: linked into the leader's queue
 * @calls_pending: number of pending calls for advice
 * @first_call_tag: tag of the first of them, which were made at the same time
 * @advice_retry_at: no call for advice before this time
 * @repair_deadline: until then gang members whose start failed may be placed
 *	again in the same run; 0 when there are none
 * @due_at: when its occurrence of the job should be finished, as computed at
 *	@due_computed_at
 * @expected_ms: expected run time of its tasks
 * @tickets_until: when its last ticket expires; 0 when it has none, or when a
 *	task was assigned since
 * @locality: its wait for near room
 */
struct wf_unit {
	struct wf_exec *exec;
	uint32_t occurrence;
	uint32_t step;
	uint32_t tasks_len;
	struct wf_task_chunk *chunks;
	uint32_t waiting_from;
	uint32_t waiting;
	uint32_t active;
	uint32_t done;
	uint32_t allocated;
	uint32_t failures;
	uint32_t failed_run;
	uint32_t run;
	uint32_t run_floor;
	uint32_t run_step;
	bool ready;
	bool queued;
	uint32_t calls_pending;
	uint64_t first_call_tag;
	agb_time advice_retry_at;
	agb_time repair_deadline;
	agb_time ready_at;
	agb_time due_at;
	agb_time due_computed_at;
	uint32_t expected_ms;
	agb_time tickets_until;
	struct wf_unit_locality locality;
	struct wf_approval *approvals;
	size_t approvals_len;
	struct wf_unit *prev, *next;
};

/**
 * struct wf_occurrence - an open occurrence of a job: one that has been due and
 * is not over
 * @number: counts from 0
 * @units: one for each step
 */
struct wf_occurrence {
	uint32_t number;
	struct wf_unit *units;
};

/**
 * struct wf_exec - a job that the leader executes
 * @account: client account that it belongs to
 * @open: the open occurrences, in order of their numbers
 * @next_occurrence: no occurrence from this one on has been opened because it
 *	was due
 * @next_due_ms: Unix time at which an occurrence is due next; INT64_MAX when
 *	none is, or when the next one waits for the queued units of others
 * @overdue: an occurrence that is due waits for the queued units of others
 * @tasks_per_occurrence: number of tasks of all steps together
 * @tasks_len, @tasks_done: number of tasks of all occurrences, and of those
 *	that are done
 * @done, @done_len: bit set of the tasks that are done, up to the last one, and
 *	its length in bytes
 * @queued: number of its units in the leader's queue
 * @allocated: number of its tasks that are allocated on a runner
 * @state: current state; that in @job is reported to callers
 * @accepted_at: time of its acceptance on the leader's clock
 * @relays_without_payload: bit set of the relays that could not fetch its
 *	payload
 * @gen: value of the leader's @gen at its oldest change that no write contains
 * @write_at: its state record is not written before this time
 * @dirty: has changes that no write contains
 * @in_flight: a write of its state record is pending
 * @write_alone: its state record is written without those of other jobs, since
 *	the store has refused a write that contained it
 * @unreadable: its state record is malformed; its tasks are not started, since
 *	they may have run
 * @published: @published_state was sent to the other instances
 * @refresh_pending: linked into the leader's list of executions to refresh
 */
struct wf_exec {
	struct wf_job *job;
	struct wf_account_use *account;
	struct wf_occurrence *open;
	size_t open_len;
	size_t open_cap;
	uint32_t next_occurrence;
	int64_t next_due_ms;
	bool overdue;
	uint32_t tasks_per_occurrence;
	uint32_t tasks_len;
	uint32_t tasks_done;
	unsigned char *done;
	uint32_t done_len;
	uint32_t queued;
	uint32_t allocated;
	enum wf_job_state state;
	int64_t ended_ms;
	char detail[AGB_DETAIL_LEN];
	agb_time accepted_at;
	uint64_t relays_without_payload[WF_RELAYS_MAX / 64];
	uint64_t gen;
	agb_time write_at;
	bool dirty;
	bool in_flight;
	bool write_alone;
	bool unreadable;
	bool published;
	enum wf_job_state published_state;
	struct wf_exec *prev, *next;
	bool refresh_pending;
	struct wf_exec *prev_refresh, *next_refresh;
};

/**
 * struct wf_task_cursor - position among the tasks of a job that have a
 * structure
 */
struct wf_task_cursor {
	const struct wf_exec *exec;
	size_t occurrence;
	uint32_t step;
	uint32_t task;
};

/**
 * wf_exec_init_work() - set the lengths of a new execution from its spec
 */
void wf_exec_init_work(struct wf_exec *e);

/**
 * wf_exec_free_work() - free all occurrences; their tasks are on no runner
 */
void wf_exec_free_work(struct wf_exec *e);

/**
 * wf_exec_find_occurrence() - find an open occurrence
 * Return: its units, or NULL when it is not open.
 */
struct wf_unit *wf_exec_find_occurrence(
    const struct wf_exec *e, uint32_t number);

/**
 * wf_exec_open_occurrence() - find an occurrence, which is opened if it is not
 * open
 * Return: its units.
 */
struct wf_unit *wf_exec_open_occurrence(struct wf_exec *e, uint32_t number);

/**
 * wf_exec_occurrence_done() - whether all tasks of an occurrence are done
 */
bool wf_exec_occurrence_done(const struct wf_exec *e, uint32_t number);

/**
 * wf_exec_close_finished() - free the occurrences and tasks that are done and
 * gone from their runners
 *
 * Pointers to them become invalid.
 */
void wf_exec_close_finished(struct wf_exec *e);

/**
 * wf_unit_first_task() - index of a unit's first task in its job
 */
uint32_t wf_unit_first_task(const struct wf_unit *u);

/**
 * wf_unit_find_task() - find a task
 * @i: index in the unit
 * Return: NULL when it has no structure.
 */
struct wf_task *wf_unit_find_task(const struct wf_unit *u, uint32_t i);

/**
 * wf_unit_task() - find a task, which gets a structure if it has none
 * @i: index in the unit
 */
struct wf_task *wf_unit_task(struct wf_unit *u, uint32_t i);

/**
 * wf_unit_is_waiting() - whether a task waits to be assigned
 * @i: index in the unit
 */
bool wf_unit_is_waiting(const struct wf_unit *u, uint32_t i);

/**
 * wf_unit_set_done() - note that a task is done
 * @i: index in the unit
 */
void wf_unit_set_done(struct wf_unit *u, uint32_t i);

/**
 * wf_exec_is_done() - whether a task is done
 * @task: index in the job
 */
bool wf_exec_is_done(const struct wf_exec *e, uint32_t task);

/**
 * wf_exec_set_done() - set which tasks are done
 * @bits: bit set by index in the job
 * @len: its length in bytes
 *
 * Called before any occurrence is opened.
 */
void wf_exec_set_done(struct wf_exec *e, const char *bits, size_t len);

/**
 * wf_task_cursor_init() - begin with the tasks of a job, in order of index
 */
void wf_task_cursor_init(struct wf_task_cursor *c, const struct wf_exec *e);

/**
 * wf_task_cursor_next() - next task that has a structure
 * Return: NULL when there is none left.
 */
struct wf_task *wf_task_cursor_next(struct wf_task_cursor *c);

#endif

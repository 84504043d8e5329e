#ifndef AGB_SCHED_INTERNAL_H
#define AGB_SCHED_INTERNAL_H

/**
 * DOC: sched_internal
 *
 * Structures shared by the parts of the scheduler (sched_<part>.c). sched.c
 * dispatches the events to the parts.
 */

#include <xxhash.h>

#define HASH_FUNCTION(key, len, hashv) \
	((hashv) = (unsigned)XXH3_64bits((key), (len)))
#include <uthash.h>
#include <utlist.h>

#include "env.h"
#include "mem.h"
#include "sched.h"
#include "types.h"

/* A document has at most 64 teams, so a set of teams fits 64 bits. The last
 * entry is for work whose team is no longer in the document. */
#define SCHED_TEAMS 65
#define SCHED_TEAM_NONE 64
#define SCHED_LEVELS 10
#define SCHED_URGENT_LEVEL 8
/* The slot index treats workers with more free slots than this alike. */
#define SCHED_SLOT_LEVELS 64
/* Placements and failed placement attempts in one step. */
#define SCHED_STEP_BUDGET 64
#define SCHED_NO_TASK UINT32_MAX

/**
 * enum sched_attempt_state - state of an attempt
 * @ATTEMPT_UNKNOWN: a recorded intent or a lost request; it may be running
 * @ATTEMPT_STARTING: sent to the worker
 * @ATTEMPT_RUNNING: running on the worker
 * @ATTEMPT_STOPPING: told to stop; keeps its resources until it has ended
 */
enum sched_attempt_state {
	ATTEMPT_UNKNOWN,
	ATTEMPT_STARTING,
	ATTEMPT_RUNNING,
	ATTEMPT_STOPPING,
};

/**
 * struct sched_attempt - one attempt at a task or a quick request
 * @job: AGB_SCHED_NONE for quick requests and for attempts without a job
 * @allocated: resources it takes from the worker now
 * @unthrottled: @allocated before it was throttled
 * @declared: resources that the job declared for the task
 * @used: last reported usage
 * @borrowed: placed while its team was over its quota
 * @probe: its result tells whether a worker that had failures is healthy
 * @end_at: expected end, or AGB_TIME_MAX
 */
struct sched_attempt {
	struct agb_attempt id;
	enum sched_attempt_state state;
	enum agb_reason stop_reason;
	bool quick;
	bool borrowed;
	bool throttled;
	bool probe;
	uint16_t work;
	uint16_t team;
	uint32_t worker;
	uint32_t job;
	uint32_t task;
	struct agb_resources allocated;
	struct agb_resources unthrottled;
	struct agb_resources declared;
	struct agb_resources used;
	agb_time placed_at;
	agb_time throttled_at;
	agb_time end_at;
	struct sched_attempt *prev;
	struct sched_attempt *next;
	UT_hash_handle hh;
};

#define SCHED_WORKER_FAILURES_MAX 4

/**
 * struct sched_worker_failure - one failure that counts against a worker
 * @key: serial of the job, or a key made from the service for quick requests
 * @job: handle of the job, or AGB_SCHED_NONE
 */
struct sched_worker_failure {
	uint64_t key;
	uint32_t job;
};

/**
 * struct sched_worker - one worker
 * @known: the table entry is in use
 * @dirty: on the queue of workers whose @available has grown
 * @tracked: counted in the shard's totals of live workers, with @tracked_cap,
 *           @tracked_free and @tracked_slots
 * @ejected: accepts nothing but probes, since @ejected_at
 * @may_probe: ejected, and may be given a probe now
 * @leaving_timer: the timer that moves its services is running
 * @allocated: resources allocated to tasks
 * @runner_reserved: resources set aside for the slots of its runner
 * @reserved: resources reserved for gangs and for blocked or urgent tasks
 * @backfill: part of @reserved that short tasks may use until the gang starts
 * @available: resources for new tasks; negative while it accepts none
 * @slots: usable slots of its runner
 * @active_probes: probes that are starting or running
 * @tasks: attempts at tasks on it
 * @rack: index of its rack
 * @slot_level: list of the slot index that it is on, or -1
 * @failures: failures of different jobs or services since the last success
 * @last_failed_start_at: start of the latest attempt that failed; the success
 *                        of an older attempt says nothing about the worker now
 * @consecutive_refusals: quick requests that it refused in a row
 * @failed_probes: probes that failed in a row
 * @probe_at: earliest time of the next probe
 * @attempts: attempts placed on it
 */
struct sched_worker {
	bool known;
	bool dirty;
	bool tracked;
	bool ejected;
	bool may_probe;
	bool leaving_timer;
	enum agb_worker_state state;
	struct agb_worker_info info;
	struct agb_resources allocated;
	struct agb_resources runner_reserved;
	struct agb_resources reserved;
	struct agb_resources backfill;
	struct agb_resources available;
	struct agb_resources tracked_cap;
	struct agb_resources tracked_free;
	uint32_t tracked_slots;
	uint32_t slots;
	uint32_t slots_busy;
	uint32_t active_probes;
	uint32_t tasks;
	uint32_t throttled_attempts;
	uint32_t rack;
	int slot_level;
	uint32_t handle;
	struct sched_worker_failure failures[SCHED_WORKER_FAILURES_MAX];
	uint32_t failures_len;
	agb_time last_failed_start_at;
	uint32_t consecutive_refusals;
	uint32_t failed_probes;
	agb_time ejected_at;
	agb_time probe_at;
	agb_time silent_at;
	struct sched_attempt *attempts;
	struct sched_worker *prev;
	struct sched_worker *next;
};

/**
 * struct sched_rack - the workers of one rack
 * @stale: @max_available must be recomputed
 * @max_available: for each resource, the most that one of its workers has
 *                 available
 */
struct sched_rack {
	agb_name name;
	bool stale;
	struct agb_resources max_available;
	uint32_t *workers;
	uint32_t len;
	uint32_t cap;
};

enum sched_task_state {
	TASK_PENDING,
	TASK_BACKOFF,
	TASK_ACTIVE,
	TASK_DONE,
};

/**
 * struct sched_task - one task of a job
 * @state: enum sched_task_state
 * @on_pending_list: linked by @next into the job's list of pending tasks
 * @failures: failed attempts, limited by the retries of the class
 * @refusals: attempts in a row that were lost, stopped or refused; they only
 *            lengthen the delay before the next one
 * @token_taken: the scheduled retry needs no token of the retry budget
 * @attempt: its attempt while it is active
 */
struct sched_task {
	uint8_t state;
	bool on_pending_list;
	uint16_t failures;
	uint16_t refusals;
	bool token_taken;
	uint32_t next;
	struct sched_attempt *attempt;
};

/**
 * struct sched_reservation - resources reserved on a worker for a job
 * @units: number of tasks that @amount is for
 * @gang: part of a plan for a whole gang or a large task; open to backfill
 */
struct sched_reservation {
	uint32_t worker;
	uint32_t units;
	bool gang;
	struct agb_resources amount;
};

#define SCHED_FAILED_WORKERS_MAX 3
/* A job avoids workers on which it failed, but waits no longer than this for
 * another one. */
#define SCHED_AVOID_TIME (30 * AGB_SEC)

/**
 * struct sched_job - one job
 * @serial: order of acceptance; unique, unlike @handle
 * @ending: starts no more tasks; finished when no task is active
 * @on_stop_list: waits on the list of jobs whose attempts are stopped in slices
 * @ran: at least one attempt ran
 * @outcome_unknown: at least one attempt may have run without a known result
 * @started: at least one attempt was started
 * @restarting: a gang of which a task ended early; waits for the other tasks
 * @end_reason: reason reported in JOB_DONE
 * @pending: tasks that wait in the queue
 * @active: tasks with an attempt
 * @backoff: tasks that wait for a retry
 * @done: tasks that have succeeded
 * @pending_head: first task of the list of pending tasks, or SCHED_NO_TASK
 * @stop_cursor: next task whose attempt is to be stopped
 * @rack_tasks: active tasks for each rack; services only
 * @failed_workers: different healthy workers on which it failed
 * @waiting_since: when a task of it last became pending
 */
struct sched_job {
	uint32_t handle;
	uint64_t serial;
	struct agb_job_spec spec;
	agb_time deadline;
	bool ending;
	bool on_stop_list;
	bool ran;
	bool outcome_unknown;
	bool started;
	bool succeeded;
	bool restarting;
	enum agb_reason end_reason;
	char end_detail[AGB_DETAIL_LEN];
	struct sched_task *tasks;
	uint32_t pending;
	uint32_t active;
	uint32_t backoff;
	uint32_t done;
	uint32_t pending_head;
	uint32_t stop_cursor;
	uint32_t *rack_tasks;
	uint32_t rack_tasks_len;
	struct sched_reservation *reservations;
	uint32_t reservations_len;
	agb_time reservation_expires_at;
	uint32_t failed_workers[SCHED_FAILED_WORKERS_MAX];
	uint32_t failed_workers_len;
	agb_time waiting_since;
	struct sched_bucket *bucket;
	struct sched_job *prev;
	struct sched_job *next;
	struct sched_job *stop_list_next;
};

/**
 * enum sched_block - why the first job of a bucket does not start
 * @BLOCK_NONE: not blocked
 * @BLOCK_RESOURCES: no worker has enough available
 * @BLOCK_HEADROOM: it would use the headroom kept for urgent work
 * @BLOCK_QUOTA: its team would exceed its quota
 */
enum sched_block {
	BLOCK_NONE,
	BLOCK_RESOURCES,
	BLOCK_HEADROOM,
	BLOCK_QUOTA,
};

/**
 * struct sched_bucket_key - properties that make queued jobs interchangeable
 * @gang: number of tasks of a gang, else 0
 * @has_deadline: 1 if the jobs have a deadline; the bucket is sorted by it
 * @run_class: declared run time, one class for each power of four; 0 if unknown
 * @need: declared resources of a task
 */
struct sched_bucket_key {
	uint16_t team;
	uint16_t work;
	uint32_t gang;
	uint32_t has_deadline;
	uint32_t run_class;
	struct agb_resources need;
};

/**
 * struct sched_bucket - queued jobs with the same key, oldest first
 *
 * If the first job does not fit, none of the others does, so a full shard is
 * searched by bucket instead of by job.
 *
 * @level: urgency level
 * @needs_scan: must be tried against all workers; otherwise only against those
 *              whose available resources have grown
 * @block: why the first job did not start
 * @need: resources of a task as learned from usage
 * @retry_at: time of the scheduled retry
 */
struct sched_bucket {
	struct sched_bucket_key key;
	uint8_t level;
	bool needs_scan;
	enum sched_block block;
	enum agb_policy policy;
	struct agb_resources need;
	struct sched_job *jobs;
	agb_time retry_at;
	struct sched_bucket *prev;
	struct sched_bucket *next;
	UT_hash_handle hh;
};

/**
 * struct sched_team - queue and usage of one team
 * @used: resources allocated to its work in this shard
 * @other: resources that it uses in other shards
 * @share: weighted dominant share
 * @levels: bit set of the non-empty entries of @buckets
 * @needs_scan_len: number of its buckets with needs_scan set
 * @len: number of its buckets
 * @limit_blocked_len: number of its buckets blocked by quota or headroom
 * @rank: position in the order of shares
 * @buckets: by urgency level
 */
struct sched_team {
	struct agb_resources used;
	struct agb_resources other;
	double share;
	uint32_t levels;
	uint32_t needs_scan_len;
	uint32_t len;
	uint32_t limit_blocked_len;
	uint16_t rank;
	struct sched_bucket *buckets[SCHED_LEVELS];
};

/**
 * struct sched_quick_request - a queued quick request
 * @tag: the caller's id
 * @serial: order of arrival
 * @expires_at: earlier of @deadline and the queue limit of its class
 */
struct sched_quick_request {
	uint64_t tag;
	uint64_t serial;
	uint16_t work;
	uint16_t team;
	agb_time requested_at;
	agb_time expires_at;
	agb_time deadline;
	struct sched_quick_request *prev;
	struct sched_quick_request *next;
	UT_hash_handle hh;
};

/**
 * struct sched_work - state of one service or kind of job
 * @host_workers: workers that host its runner
 * @slots: runner slots on live workers; @slots_busy of them are in use
 * @slot_levels: workers by number of free slots
 * @slot_level_mask: bit set of the non-empty entries of @slot_levels
 * @queue: queued quick requests by team
 * @waiting_teams: bit set of the teams with queued requests
 * @queued: number of queued requests
 * @mean_run_us: moving average of the time from grant to end
 * @ratio_cpu: learned ratio of used to declared processors
 * @ratio_mem: the same for memory
 * @usage_reports: usage reports so far, up to the number that the ratios need
 * @task_run_ratio: learned ratio of actual to declared run time
 * @retry_tokens: retry budget, last refilled at @retry_tokens_at
 */
struct sched_work {
	uint32_t host_workers;
	uint32_t slots;
	uint32_t slots_busy;
	struct sched_worker *slot_levels[SCHED_SLOT_LEVELS + 1];
	uint64_t slot_level_mask;
	struct sched_quick_request *queue[SCHED_TEAMS];
	uint64_t waiting_teams;
	uint32_t queued;
	double mean_run_us;
	double ratio_cpu;
	double ratio_mem;
	uint32_t usage_reports;
	double task_run_ratio;
	double retry_tokens;
	agb_time retry_tokens_at;
};

enum sched_timer_type {
	TIMER_QUICK_EXPIRY,
	TIMER_JOB_EXPIRY,
	TIMER_TASK_RETRY,
	TIMER_PROBE,
	TIMER_BUCKET_RETRY,
	TIMER_FEASIBILITY,
	TIMER_RESERVATION,
	TIMER_LEAVING_WORKER,
};

/**
 * struct sched_timer - one entry of the timer heap
 * @arg1: handle of the job or worker; low half of the tag of a request
 * @arg2: index of the task; high half of the tag of a request
 * @serial: serial of the request or job; the timer is void if the current
 *          holder of the handle or tag has another serial
 */
struct sched_timer {
	agb_time at;
	enum sched_timer_type type;
	uint32_t arg1;
	uint32_t arg2;
	uint64_t serial;
};

/**
 * struct sched_attempt_end - facts about an attempt that has ended
 * @quick: a quick request rather than a task
 * @run_time: time from placement to end
 */
struct sched_attempt_end {
	enum agb_result result;
	enum agb_reason stop_reason;
	uint16_t work;
	uint32_t job;
	uint32_t task;
	uint32_t worker;
	bool quick;
	bool probe;
	agb_time run_time;
};

/**
 * struct sched_policy - how jobs of one kind of work are placed
 * @place: starts one task of the bucket's first job, or all tasks of a gang.
 *         @hint is a worker that is known to fit, or NULL. Returns BLOCK_NONE
 *         if it has started something.
 */
struct sched_policy {
	const char *name;
	enum sched_block (*place)(struct agb_sched *s, agb_time now,
	    struct sched_bucket *b, struct sched_worker *hint);
};

/* Most jobs that can hold reservations at the same time. */
#define SCHED_RESERVING_JOBS_MAX 64

/**
 * struct agb_sched - scheduler of one shard
 * @epoch: epoch of the attempts that the scheduler starts; @seq numbers them
 * @serial: last serial given to a job or request
 * @out: effects of the step in progress
 * @live_capacity: total resources of the tracked workers
 * @live_free: unallocated part of @live_capacity
 * @headroom: resources kept free for urgent work
 * @tree: index of the workers' available resources, with @tree_leaves leaves
 * @dirty: ring buffer of the workers whose available resources have grown
 * @stop_list_head: ended jobs whose attempts are stopped in slices
 * @inline_cancels: cancellations processed at once in the current burst
 * @cancel_deferred: the event was a cancellation left to a later step
 * @needs_scan_len: number of buckets with needs_scan set
 * @headroom_blocked: number of buckets blocked by headroom
 * @headroom_grew: free resources have grown since headroom was last checked
 * @team_order: teams by ascending share
 * @level_teams: number of teams with buckets at each level
 * @level_queued: number of queued tasks at each level
 * @start_count: decaying count of task starts, as of @start_count_at
 * @reserving_jobs: jobs that hold reservations
 * @reservation_holder: job whose plan for a gang or large task is in force
 * @reservation_eta: expected start of that job
 * @reclaim_at: earliest time of the next search for borrowed resources
 * @preempt_cursor: worker at which the last search for victims stopped
 */
struct agb_sched {
	uint64_t epoch;
	uint64_t seq;
	uint64_t serial;
	uint64_t rng;
	agb_name domain;
	const struct agb_env *env;
	struct agb_sched_effects *out;
	agb_time now;

	struct sched_worker *workers;
	uint32_t workers_cap;
	uint32_t workers_len;
	struct agb_resources live_capacity;
	struct agb_resources live_free;
	struct agb_resources headroom;
	struct agb_resources *tree;
	struct sched_rack *racks;
	uint32_t *dirty;
	uint32_t dirty_head;
	uint32_t dirty_len;

	struct sched_attempt *attempts;
	struct sched_job **jobs;
	uint32_t jobs_cap;
	uint32_t jobs_len;
	struct sched_job *stop_list_head;
	struct sched_job **stop_list_tail;
	uint32_t inline_cancels;
	uint32_t stop_list_len;

	struct sched_bucket *buckets;
	uint32_t needs_scan_len;
	uint32_t headroom_blocked;
	struct sched_team teams[SCHED_TEAMS];
	uint16_t team_order[SCHED_TEAMS];
	uint32_t level_teams[SCHED_LEVELS];
	uint32_t tasks_queued;
	uint32_t tasks_running;
	uint32_t level_queued[SCHED_LEVELS];
	double start_count;
	agb_time start_count_at;

	struct sched_work *works;
	struct sched_quick_request *quick_requests;

	struct sched_timer *timers;
	uint32_t timers_len;
	uint32_t timers_cap;

	struct sched_job *reserving_jobs[SCHED_RESERVING_JOBS_MAX];
	struct sched_job *reservation_holder;
	agb_time reservation_eta;
	agb_time reclaim_at;
	uint32_t tree_leaves;
	uint32_t racks_len;
	uint32_t quick_queued;
	uint32_t reserving_jobs_len;
	uint32_t preempt_cursor;
	uint32_t ejected_workers;
	uint16_t domain_index;
	uint16_t works_len;
	bool cancel_deferred;
	bool headroom_grew;
	bool feasibility_timer_armed;
	bool shedding_quick;
	bool shedding_jobs;
};

#include "sched_parts.h"

#endif

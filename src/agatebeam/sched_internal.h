#ifndef AGB_SCHED_INTERNAL_H
#define AGB_SCHED_INTERNAL_H

/**
 * DOC: sched_internal
 *
 * Structures shared by the parts of the placement of one shard. Each part
 * (sched_<part>.c) does one job; sched.c dispatches the events to them.
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

/* Teams of a document fit a 64-bit set; the last entry takes work whose
 * team has left the document. */
#define SCHED_TEAMS 65
#define SCHED_TEAM_NONE 64
#define SCHED_LEVELS 10
#define SCHED_URGENT_LEVEL 8
/* Free slots above this are not told apart by the slot index. */
#define SCHED_SLOT_LEVELS 64
/* Placements and refused candidates of one step. */
#define SCHED_STEP_BUDGET 64
#define SCHED_NO_TASK UINT32_MAX

/**
 * enum sched_attempt_state - where an attempt stands
 * @ATTEMPT_UNKNOWN: an intent whose fate is not known
 * @ATTEMPT_STARTING: sent to the worker
 * @ATTEMPT_RUNNING: the worker runs it
 * @ATTEMPT_STOPPING: told to stop; holds its resources until it has ended
 */
enum sched_attempt_state {
	ATTEMPT_UNKNOWN,
	ATTEMPT_STARTING,
	ATTEMPT_RUNNING,
	ATTEMPT_STOPPING,
};

/**
 * struct sched_attempt - one attempt, of a task or of a quick request
 * @job: AGB_SCHED_NONE for quick requests and for attempts without a job
 * @held: what it takes from the worker now
 * @full: its size before throttling
 * @declared: size that its owner asked for; usage is compared with it
 * @borrowed: placed while its team was beyond its quota
 * @probe: the only attempt on an ejected worker
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
 * struct sched_worker_failure - one failure that speaks against a worker
 * @key: serial of the job, or a mark of the service
 * @job: handle of the job, or AGB_SCHED_NONE
 */
struct sched_worker_failure {
	uint64_t key;
	uint32_t job;
};

/**
 * struct sched_worker - one worker
 * @held: what tasks hold
 * @runner: set aside for the slots of its runner
 * @reserved: kept for gangs and urgent tasks that wait
 * @backfill: of that, what short work may use until the gang starts
 * @room: what a new task may take; negative while it takes none
 * @tracked: part of the shard's sums of live capacity
 * @slot_level: list of the slot index it is on, or -1
 * @evidence: distinct failures since the last success
 * @last_failed_start_at: start of the last attempt that failed; the success of an
 *             older one says nothing of the worker now
 * @refused: quick requests refused in a row
 * @ejected: takes nothing but probes, since @ejected_at
 * @probes: failed probes in a row
 */
struct sched_worker {
	bool known;
	bool dirty;
	bool tracked;
	bool ejected;
	bool probing;
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
	uint32_t throttled;
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
 * @stale: @room has to be computed anew
 * @room: largest room of its workers in each dimension
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
 * @fails: failed attempts that count against the class's retries
 * @refusals: attempts lost or refused in a row; only lengthens the delay
 * @paid: the waiting retry has taken its token from the budget
 * @next: next pending task of the job
 * @att: its attempt while it is active
 */
struct sched_task {
	uint8_t state;
	bool on_pending_list;
	uint16_t failures;
	uint16_t refusals;
	bool token_taken;
	uint32_t next;
	struct sched_attempt *att;
};

/**
 * struct sched_reservation - room kept on one worker for a job
 */
struct sched_reservation {
	uint32_t worker;
	uint32_t units;
	bool gang;
	struct agb_resources amount;
};

#define SCHED_FAIL_WORKERS_MAX 3
/* A job keeps off the workers it failed on for this long, if need be. */
#define SCHED_AVOID_TIME (30 * AGB_SEC)

/**
 * struct sched_job - one job
 * @ending: no task of it is started any more; done when none is active
 * @end_reason: what JOB_DONE will report
 * @ran: at least one attempt ran
 * @unknown: the fate of at least one attempt is unknown
 * @restarting: a gang of which a task ended early; waits for the others
 * @rack_tasks: active tasks by rack, of services only
 * @fail_workers: different healthy workers that it failed on
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
	uint32_t racks;
	struct sched_reservation *reservations;
	uint32_t reservations_len;
	agb_time reservation_expires_at;
	uint32_t fail_workers[SCHED_FAIL_WORKERS_MAX];
	uint32_t fail_workers_len;
	agb_time waiting_since;
	struct sched_bucket *bucket;
	struct sched_job *prev;
	struct sched_job *next;
	struct sched_job *stop_list_next;
};

/**
 * enum sched_block - why a bucket's first job does not start
 */
enum sched_block {
	BLOCK_NONE,
	BLOCK_RESOURCES,
	BLOCK_HEADROOM,
	BLOCK_QUOTA,
};

/**
 * struct sched_bucket_key - what makes two queued jobs interchangeable
 * @gang: number of tasks of a gang, else 0
 * @timed: 1 when the jobs have a deadline; they are kept in its order
 * @run_class: declared run time, by powers of four; 0 is unknown
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
 * struct sched_bucket - queued jobs of one shape, oldest first
 *
 * When the first does not fit, none of the others does, so a full shard is
 * searched by shape and not by job.
 *
 * @need: learned size of a task
 * @fresh: has to be tried against all workers; else only against workers
 *         whose room has grown
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
 * struct sched_team - queue and use of one team
 * @used: what its work holds in this shard
 * @other: what it uses in other shards
 * @share: weighted dominant share
 * @levels: set of non-empty entries of @buckets
 * @fresh: of these buckets, those that have to be tried
 * @len: number of its buckets; @limit_blocked_len: of these, those that wait for
 *       quota or headroom
 * @place: where the team stands in the order of shares
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
 * struct sched_quick_request - a quick request that waits
 */
struct sched_quick_request {
	uint64_t tag;
	uint64_t serial;
	uint16_t work;
	uint16_t team;
	agb_time asked_at;
	agb_time expires_at;
	agb_time deadline;
	struct sched_quick_request *prev;
	struct sched_quick_request *next;
	UT_hash_handle hh;
};

/**
 * struct sched_work - state of one service or kind of job
 * @slots: live runner slots; @busy: of these in use
 * @slot_levels: workers by number of free slots
 * @slot_level_mask: set of non-empty entries of @slot_levels
 * @queue: waiting quick requests by team
 * @waiting: set of teams with waiting requests
 * @run_us: smoothed time from grant to end
 * @ratio_cpu: learned ratio of used to declared size
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
	double run_us;
	double ratio_cpu;
	double ratio_mem;
	uint32_t reports;
	double task_run_ratio;
	double retry_tokens;
	agb_time retry_at;
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
 * @serial: serial of the request or job that it is for; a timer of another
 *          serial is void
 */
struct sched_timer {
	agb_time at;
	enum sched_timer_type type;
	uint32_t arg1;
	uint32_t arg2;
	uint64_t serial;
};

/**
 * struct sched_attempt_end - what is known of an attempt that has ended
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
 * @place: starts one task of the job, or all of a gang; @hint is a worker
 *         that is known to fit, or NULL. Returns BLOCK_NONE when it has
 *         started something.
 */
struct sched_policy {
	const char *name;
	enum sched_block (*place)(struct agb_sched *s, agb_time now,
	    struct sched_bucket *b, struct sched_worker *hint);
};

/* Jobs that hold reservations at one time. */
#define SCHED_RESERVING_JOBS_MAX 64

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
	struct agb_resources cap_live;
	struct agb_resources free_live;
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
	double start_rate;
	agb_time start_rate_at;

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

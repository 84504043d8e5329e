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
#define SCHED_URGENT 8
/* Free slots above this are not told apart by the slot index. */
#define SCHED_SLOT_LEVELS 64
/* Placements and refused candidates of one step. */
#define SCHED_STEP_BUDGET 64
#define SCHED_NO_TASK UINT32_MAX

/**
 * enum sched_att_state - where an attempt stands
 * @ATT_UNKNOWN: an intent whose fate is not known
 * @ATT_STARTING: sent to the worker
 * @ATT_RUNNING: the worker runs it
 * @ATT_STOPPING: told to stop; holds its resources until it has ended
 */
enum sched_att_state {
	ATT_UNKNOWN,
	ATT_STARTING,
	ATT_RUNNING,
	ATT_STOPPING,
};

/**
 * struct sched_att - one attempt, of a task or of a quick request
 * @job: AGB_SCHED_NONE for quick requests and for attempts without a job
 * @held: what it takes from the worker now
 * @full: its size before throttling
 * @declared: size that its owner asked for; usage is compared with it
 * @borrowed: placed while its team was beyond its quota
 * @probe: the only attempt on an ejected worker
 */
struct sched_att {
	struct agb_attempt id;
	enum sched_att_state state;
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
	struct agb_resources held;
	struct agb_resources full;
	struct agb_resources declared;
	struct agb_resources used;
	agb_time placed_at;
	agb_time throttled_at;
	agb_time end_at;
	struct sched_att *prev;
	struct sched_att *next;
	UT_hash_handle hh;
};

#define SCHED_EVIDENCE 4

/**
 * struct sched_evidence - one failure that speaks against a worker
 * @key: serial of the job, or a mark of the service
 * @job: handle of the job, or AGB_SCHED_NONE
 */
struct sched_evidence {
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
 * @bad_since: start of the last attempt that failed; the success of an
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
	struct agb_resources held;
	struct agb_resources runner;
	struct agb_resources reserved;
	struct agb_resources backfill;
	struct agb_resources room;
	struct agb_resources tracked_cap;
	struct agb_resources tracked_free;
	uint32_t tracked_slots;
	uint32_t slots;
	uint32_t slots_busy;
	uint32_t starting;
	uint32_t tasks;
	uint32_t throttled;
	uint32_t rack;
	int slot_level;
	uint32_t self;
	struct sched_evidence evidence[SCHED_EVIDENCE];
	uint32_t evidence_len;
	agb_time bad_since;
	uint32_t refused;
	uint32_t probes;
	agb_time ejected_at;
	agb_time probe_at;
	agb_time silent_at;
	struct sched_att *atts;
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
	struct agb_resources room;
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
	bool on_list;
	uint16_t fails;
	uint16_t refusals;
	bool paid;
	uint32_t next;
	struct sched_att *att;
};

/**
 * struct sched_resv - room kept on one worker for a job
 */
struct sched_resv {
	uint32_t worker;
	uint32_t units;
	bool gang;
	struct agb_resources amount;
};

#define SCHED_FAIL_WORKERS 3
/* A job keeps off the workers it failed on for this long, if need be. */
#define SCHED_AVOID (30 * AGB_SEC)

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
	bool cancel_listed;
	bool ran;
	bool unknown;
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
	struct sched_resv *resv;
	uint32_t resv_len;
	agb_time resv_until;
	uint32_t fail_workers[SCHED_FAIL_WORKERS];
	uint32_t fail_workers_len;
	agb_time waiting_since;
	struct sched_bucket *bucket;
	struct sched_job *prev;
	struct sched_job *next;
	struct sched_job *cancel_next;
};

/**
 * enum sched_block - why a bucket's first job does not start
 */
enum sched_block {
	BLOCK_NONE,
	BLOCK_ROOM,
	BLOCK_HEADROOM,
	BLOCK_QUOTA,
};

/**
 * struct sched_shape - what makes two queued jobs interchangeable
 * @gang: number of tasks of a gang, else 0
 * @timed: 1 when the jobs have a deadline; they are kept in its order
 * @run_class: declared run time, by powers of four; 0 is unknown
 */
struct sched_shape {
	uint16_t team;
	uint16_t work;
	uint32_t gang;
	uint32_t timed;
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
	struct sched_shape shape;
	uint8_t level;
	bool fresh;
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
 * @len: number of its buckets; @held_back: of these, those that wait for
 *       quota or headroom
 * @place: where the team stands in the order of shares
 */
struct sched_team {
	struct agb_resources used;
	struct agb_resources other;
	double share;
	uint32_t levels;
	uint32_t fresh;
	uint32_t len;
	uint32_t held_back;
	uint16_t place;
	struct sched_bucket *buckets[SCHED_LEVELS];
};

/**
 * struct sched_req - a quick request that waits
 */
struct sched_req {
	uint64_t tag;
	uint64_t serial;
	uint16_t work;
	uint16_t team;
	agb_time asked_at;
	agb_time expires_at;
	agb_time deadline;
	struct sched_req *prev;
	struct sched_req *next;
	UT_hash_handle hh;
};

/**
 * struct sched_work - state of one service or kind of job
 * @slots: live runner slots; @busy: of these in use
 * @slot_levels: workers by number of free slots
 * @level_set: set of non-empty entries of @slot_levels
 * @queue: waiting quick requests by team
 * @waiting: set of teams with waiting requests
 * @run_us: smoothed time from grant to end
 * @ratio_cpu: learned ratio of used to declared size
 */
struct sched_work {
	uint32_t hosts;
	uint32_t slots;
	uint32_t busy;
	struct sched_worker *slot_levels[SCHED_SLOT_LEVELS + 1];
	uint64_t level_set;
	struct sched_req *queue[SCHED_TEAMS];
	uint64_t waiting;
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
	TIMER_REQ,
	TIMER_JOB,
	TIMER_TASK,
	TIMER_PROBE,
	TIMER_GANG,
	TIMER_FEASIBLE,
	TIMER_RESV,
	TIMER_LEAVE,
};

/**
 * struct sched_timer - one entry of the timer heap
 * @serial: serial of the request or job that it is for; a timer of another
 *          serial is void
 */
struct sched_timer {
	agb_time at;
	enum sched_timer_type type;
	uint32_t a;
	uint32_t b;
	uint64_t serial;
};

/**
 * struct sched_ending - what is known of an attempt that has ended
 */
struct sched_ending {
	enum agb_result result;
	enum agb_reason stop_reason;
	uint16_t work;
	uint32_t job;
	uint32_t task;
	uint32_t worker;
	bool quick;
	bool probe;
	agb_time ran_for;
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
#define SCHED_RESV_JOBS 64

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
	struct agb_resources keep;
	struct agb_resources *tree;
	struct sched_rack *racks;
	uint32_t *dirty;
	uint32_t dirty_head;
	uint32_t dirty_len;

	struct sched_att *atts;
	struct sched_job **jobs;
	uint32_t jobs_cap;
	uint32_t jobs_len;
	struct sched_job *cancel_head;
	struct sched_job **cancel_tail;
	uint32_t cancel_inline;
	uint32_t cancel_len;

	struct sched_bucket *buckets;
	uint32_t fresh;
	uint32_t headroom_blocked;
	struct sched_team teams[SCHED_TEAMS];
	uint16_t order[SCHED_TEAMS];
	uint32_t level_teams[SCHED_LEVELS];
	uint32_t tasks_queued;
	uint32_t tasks_running;
	uint32_t level_queued[SCHED_LEVELS];
	double start_rate;
	agb_time start_rate_at;

	struct sched_work *works;
	struct sched_req *reqs;

	struct sched_timer *timers;
	uint32_t timers_len;
	uint32_t timers_cap;

	struct sched_job *resv_jobs[SCHED_RESV_JOBS];
	struct sched_job *gang_holder;
	agb_time gang_eta;
	agb_time reclaim_at;
	uint32_t tree_leaves;
	uint32_t racks_len;
	uint32_t quick_queued;
	uint32_t resv_jobs_len;
	uint32_t preempt_cursor;
	uint32_t ejected;
	uint16_t domain_index;
	uint16_t works_len;
	bool cancel_deferred;
	bool headroom_grew;
	bool feasible_armed;
	bool shedding_quick;
	bool shedding_jobs;
};

#include "sched_parts.h"

#endif

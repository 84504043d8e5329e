#ifndef AGB_SCHED_H
#define AGB_SCHED_H

/**
 * DOC: sched
 *
 * The placement of one shard: a reducer that takes one event at a time with
 * the present time, and appends what is to be done to a list of effects. It
 * reads no clock and does no I/O, so the daemon, the tests and the bench run
 * the same code.
 *
 * Workers and jobs are named by small handles that the caller assigns
 * (dense, reused only after the matching GONE or JOB_DONE).
 */

#include "env.h"
#include "types.h"

#define AGB_SCHED_NONE UINT32_MAX

/**
 * struct agb_attempt - identity of one start of a task or request
 * @epoch: epoch of the shard owner that granted it; unique over shards
 * @seq: counter of that owner
 */
struct agb_attempt {
	uint64_t epoch;
	uint64_t seq;
};

/**
 * enum agb_result - how an attempt ended
 * @AGB_RESULT_OK: it ran and succeeded
 * @AGB_RESULT_FAILED: it ran and failed
 * @AGB_RESULT_NOT_STARTED: it certainly did not and will not run
 * @AGB_RESULT_LOST: it may have run; no answer
 * @AGB_RESULT_STOPPED: it was stopped at our request
 * @AGB_RESULT_CHECKPOINTED: it was stopped after a checkpoint
 */
enum agb_result {
	AGB_RESULT_OK,
	AGB_RESULT_FAILED,
	AGB_RESULT_NOT_STARTED,
	AGB_RESULT_LOST,
	AGB_RESULT_STOPPED,
	AGB_RESULT_CHECKPOINTED,
};

/**
 * enum agb_worker_state - what is known of a worker
 * @AGB_WORKER_JOINING: known, session not yet taken over; nothing is placed
 * @AGB_WORKER_LIVE: takes new work
 * @AGB_WORKER_SUSPECT: silent; keeps its work, takes none
 * @AGB_WORKER_LEAVING: finishes its work, takes none
 * @AGB_WORKER_GONE: certainly holds no work any more
 */
enum agb_worker_state {
	AGB_WORKER_JOINING,
	AGB_WORKER_LIVE,
	AGB_WORKER_SUSPECT,
	AGB_WORKER_LEAVING,
	AGB_WORKER_GONE,
};

/**
 * struct agb_worker_info - what a worker offers
 * @name: its instance id
 * @rack: name of its rack
 * @capacity: processors, memory, accelerators
 * @service: index of the work whose runner it hosts, or AGB_ENV_NONE
 * @slots: slots of that runner
 * @connections: connections that the runner takes
 */
struct agb_worker_info {
	agb_name name;
	agb_name rack;
	struct agb_resources capacity;
	uint16_t service;
	uint16_t slots;
	uint16_t connections;
};

/**
 * struct agb_job_spec - a job as accepted
 * @work: index of the kind of job
 * @team: index of the team
 * @tasks: number of tasks, at least 1
 * @need: need of each task
 * @run_ms: declared run time of a task; 0 is unknown or endless
 * @deadline: time by which it must have started; AGB_TIME_MAX is none
 * @accepted_at: time of acceptance
 * @idempotent: tasks may be started again after an unknown end
 */
struct agb_job_spec {
	uint16_t work;
	uint16_t team;
	uint32_t tasks;
	struct agb_resources need;
	uint32_t run_ms;
	agb_time deadline;
	agb_time accepted_at;
	bool idempotent;
};

enum agb_sched_event_type {
	AGB_SCHED_ENV,		 /* env */
	AGB_SCHED_WORKER,	 /* worker, info, state: add or replace */
	AGB_SCHED_WORKER_STATE,	 /* worker, state */
	AGB_SCHED_USAGE,	 /* worker, job, task, attempt, used */
	AGB_SCHED_QUICK_REQUEST, /* tag, work, team, deadline, idempotent */
	AGB_SCHED_QUICK_CANCEL,	 /* tag: the caller has gone */
	AGB_SCHED_QUICK_ADOPT,	 /* worker, attempt, work: found at takeover */
	AGB_SCHED_QUICK_DONE,	 /* attempt, result */
	AGB_SCHED_JOB_ADD,	 /* job, spec */
	AGB_SCHED_JOB_CANCEL,	 /* job */
	AGB_SCHED_TASK_INTENT,	 /* job, task, attempt; see below */
	AGB_SCHED_TASK_ADOPT,	 /* worker, job, task, attempt, used */
	AGB_SCHED_TASK_DONE,	 /* job, task: finished before a takeover */
	AGB_SCHED_TASK_STARTED,	 /* attempt */
	AGB_SCHED_TASK_ENDED,	 /* attempt, result */
	AGB_SCHED_TEAM_USAGE, /* team, used: use of the team in other shards */
	AGB_SCHED_TICK,	      /* nothing: time has passed */
};

/*
 * Recovery. The caller sends AGB_SCHED_ENV, the workers as JOINING, each
 * JOB_ADD with the TASK_DONE events of its finished tasks, and a TASK_INTENT
 * for each start intent without a known end; then for each worker its
 * TASK_ADOPT and QUICK_ADOPT events and WORKER_STATE LIVE. Nothing starts on
 * a worker before that.
 *
 * TASK_INTENT says that a start of the task was decided before the takeover
 * and may still be alive. Until TASK_ADOPT or TASK_ENDED comes for that
 * attempt the task is not started. TASK_ENDED with NOT_STARTED lets the task
 * start, also when it is not idempotent; LOST ends a job that is not
 * idempotent as unknown.
 *
 * A TASK_ADOPT of a job that is not known, or of a task that already runs
 * elsewhere or is done, is answered by STOP with the same job and task; its
 * resources are held until TASK_ENDED comes.
 *
 * QUICK_DONE with LOST says that the asker does not know: the slot stays
 * held until another QUICK_DONE comes for that attempt (for example STOPPED
 * once the worker has reported the slot free) or the worker is GONE.
 *
 * Indexes of works and teams that were given under an earlier document are
 * carried over by name when AGB_SCHED_ENV comes.
 */

/**
 * struct agb_sched_event - one input; the comment of the type names the
 * fields that are read
 * @tag: the asker's own mark of a quick request, returned in GRANT and DENY
 */
struct agb_sched_event {
	enum agb_sched_event_type type;
	const struct agb_env *env;
	const struct agb_worker_info *info;
	const struct agb_job_spec *spec;
	enum agb_worker_state state;
	enum agb_result result;
	uint64_t tag;
	struct agb_attempt attempt;
	uint32_t worker;
	uint32_t job;
	uint32_t task;
	uint16_t work;
	uint16_t team;
	bool idempotent;
	agb_time deadline;
	struct agb_resources used;
};

enum agb_sched_effect_type {
	AGB_SCHED_GRANT,      /* tag, attempt, worker */
	AGB_SCHED_DENY,	      /* tag, outcome, reason, retry_ms, detail */
	AGB_SCHED_START,      /* job, task, attempt, worker, need, run_ms */
	AGB_SCHED_STOP,	      /* job, task, attempt, worker, reason */
	AGB_SCHED_CHECKPOINT, /* job, task, attempt, worker, reason: then stop */
	AGB_SCHED_THROTTLE,   /* job, task, attempt, worker, need */
	AGB_SCHED_JOB_DONE, /* job, outcome, reason, detail; all tasks ended */
	AGB_SCHED_DECISION, /* detail: text for the decision log */
};

/**
 * struct agb_sched_effect - one output
 * @detail: plain text for the caller or the log
 * @considered: number of workers considered for this decision
 */
struct agb_sched_effect {
	enum agb_sched_effect_type type;
	enum agb_outcome outcome;
	enum agb_reason reason;
	uint64_t tag;
	struct agb_attempt attempt;
	uint32_t worker;
	uint32_t job;
	uint32_t task;
	uint32_t retry_ms;
	uint32_t run_ms;
	uint32_t considered;
	struct agb_resources need;
	char detail[AGB_DETAIL_LEN];
};

/**
 * struct agb_sched_effects - a growing array of effects
 * @items: owned; freed by agb_sched_effects_free()
 */
struct agb_sched_effects {
	struct agb_sched_effect *items;
	size_t len;
	size_t cap;
};

/**
 * struct agb_sched_load - summary of a shard for routing
 * @free: what is not promised on live workers
 * @capacity: what live workers have
 * @slots_free: free runner slots
 * @quick_queued: quick requests that wait
 * @tasks_queued: tasks that wait
 * @tasks_running: tasks that hold resources
 * @wait_ms: estimate of the wait of a quick request asked now
 */
struct agb_sched_load {
	struct agb_resources free;
	struct agb_resources capacity;
	uint32_t slots_free;
	uint32_t quick_queued;
	uint32_t tasks_queued;
	uint32_t tasks_running;
	uint32_t wait_ms;
};

struct agb_sched;

/**
 * agb_sched_new() - create an empty shard
 * @epoch: epoch put into each attempt that it grants
 * @domain: name of the failure domain of its workers
 * @seed: seed of the jitter in its delays
 * Return: NULL when out of memory.
 */
struct agb_sched *agb_sched_new(
    uint64_t epoch, const char *domain, uint64_t seed);

/**
 * agb_sched_free() - free a shard
 * @s: may be NULL
 */
void agb_sched_free(struct agb_sched *s);

/**
 * agb_sched_step() - take one event
 * @s: the shard
 * @now: present time
 * @ev: the event; nothing of it is kept, except @ev->env, which must stay
 *      valid until the next AGB_SCHED_ENV event has been taken
 * @out: effects are appended
 *
 * A bounded amount of queued work is looked at in one step; what is left is
 * taken up by the next event or tick.
 */
void agb_sched_step(struct agb_sched *s, agb_time now,
    const struct agb_sched_event *ev, struct agb_sched_effects *out);

/**
 * agb_sched_next_tick() - when the shard wants its next AGB_SCHED_TICK
 * Return: a time, @now when work is left over, or AGB_TIME_MAX.
 */
agb_time agb_sched_next_tick(const struct agb_sched *s, agb_time now);

/**
 * agb_sched_load_get() - summary for routing
 * @s: the shard
 * @now: present time
 * @work: quick service whose wait is estimated, or AGB_ENV_NONE
 * @out: filled in
 */
void agb_sched_load_get(const struct agb_sched *s, agb_time now, uint16_t work,
    struct agb_sched_load *out);

/**
 * agb_sched_team_usage() - what a team's running work holds in this shard
 */
struct agb_resources agb_sched_team_usage(
    const struct agb_sched *s, uint16_t team);

/**
 * agb_sched_feasible() - whether the fleet could hold a job were it empty
 * @s: the shard
 * @work: kind of job; all tasks of a gang are held at once
 * @tasks: its number of tasks
 * @need: need of each task
 * @why: set to the reason when it could not, NUL-terminated
 * @len: size of @why in bytes, at least 1
 * Return: true also while no worker is known.
 */
bool agb_sched_feasible(const struct agb_sched *s, uint16_t work,
    uint32_t tasks, const struct agb_resources *need, char *why, size_t len);

/**
 * agb_sched_explain() - why a job stands where it does
 * @s: the shard
 * @now: present time
 * @job: its handle
 * @buf: destination of one or more lines, NUL-terminated
 * @len: size of @buf in bytes, at least 1
 * Return: bytes written without the NUL.
 */
size_t agb_sched_explain(const struct agb_sched *s, agb_time now, uint32_t job,
    char *buf, size_t len);

/**
 * agb_sched_effects_add() - append one zeroed effect
 * Return: the new effect, valid until the next call; aborts when out of
 * memory.
 */
struct agb_sched_effect *agb_sched_effects_add(
    struct agb_sched_effects *out, enum agb_sched_effect_type type);

/**
 * agb_sched_effects_free() - free the array and empty it
 */
void agb_sched_effects_free(struct agb_sched_effects *out);

#endif

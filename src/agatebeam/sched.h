#ifndef AGB_SCHED_H
#define AGB_SCHED_H

/**
 * DOC: sched
 *
 * Task and request placement for one shard. The scheduler is a reducer: it
 * takes one event at a time together with the current time, and appends the
 * resulting actions to a list of effects. It reads no clock and does no I/O,
 * so the daemon, the tests and the benchmark run the same code.
 *
 * Workers and jobs are identified by small integer handles that the caller
 * assigns. Handles are dense, and a handle is reused only after the worker
 * state GONE or the JOB_DONE effect for it.
 */

#include "env.h"
#include "types.h"

#define AGB_SCHED_NONE UINT32_MAX

/**
 * struct agb_attempt - identity of one start of a task or quick request
 * @epoch: epoch of the shard owner that started it; unique across shards
 * @seq: sequence number within that epoch
 */
struct agb_attempt {
	uint64_t epoch;
	uint64_t seq;
};

/**
 * enum agb_result - how an attempt ended
 * @AGB_RESULT_OK: ran and succeeded
 * @AGB_RESULT_FAILED: ran and failed
 * @AGB_RESULT_NOT_STARTED: known not to have run, and never will
 * @AGB_RESULT_LOST: no answer; it may have run
 * @AGB_RESULT_STOPPED: stopped at the scheduler's request
 * @AGB_RESULT_CHECKPOINTED: stopped after writing a checkpoint
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
 * enum agb_worker_state - scheduling state of a worker
 * @AGB_WORKER_JOINING: known, but its session has not been taken over yet;
 *                      nothing is placed on it
 * @AGB_WORKER_LIVE: accepts new work
 * @AGB_WORKER_SUSPECT: not heard from; keeps its work, accepts none
 * @AGB_WORKER_LEAVING: finishes its work, accepts none
 * @AGB_WORKER_GONE: known to hold no work any more
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
 * @name: instance id
 * @rack: name of its rack
 * @capacity: total processors, memory and accelerators
 * @service: index of the work whose runner it hosts, or AGB_ENV_NONE
 * @slots: concurrent requests that the runner serves
 * @connections: connections that the runner accepts
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
 * struct agb_job_spec - an accepted job
 * @work: index of the kind of work
 * @team: index of the team
 * @tasks: number of tasks, at least 1
 * @need: resources of each task
 * @run_ms: declared run time of a task; 0 if unknown or unbounded
 * @deadline: latest time to start; AGB_TIME_MAX if there is none
 * @accepted_at: when the job was accepted
 * @idempotent: tasks may be started again when it is unknown whether they ran
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
	AGB_SCHED_QUICK_CANCEL,	 /* tag: the caller no longer waits */
	AGB_SCHED_QUICK_ADOPT,	/* worker, attempt, work: running at takeover */
	AGB_SCHED_QUICK_DONE,	/* attempt, result */
	AGB_SCHED_JOB_ADD,	/* job, spec */
	AGB_SCHED_JOB_CANCEL,	/* job */
	AGB_SCHED_TASK_INTENT,	/* job, task, attempt: may be running */
	AGB_SCHED_TASK_ADOPT,	/* worker, job, task, attempt, used */
	AGB_SCHED_TASK_DONE,	/* job, task: finished before a takeover */
	AGB_SCHED_TASK_STARTED, /* attempt */
	AGB_SCHED_TASK_ENDED,	/* attempt, result */
	AGB_SCHED_TEAM_USAGE,	/* team, used: usage in other shards */
	AGB_SCHED_TICK,		/* no fields: time has passed */
};

/*
 * Recovery after a takeover. The caller sends AGB_SCHED_ENV, the workers as
 * JOINING, each JOB_ADD followed by TASK_DONE for its finished tasks, and
 * TASK_INTENT for each recorded start whose end is unknown. Then, for each
 * worker, it sends the TASK_ADOPT and QUICK_ADOPT events and WORKER_STATE LIVE.
 * Nothing starts on a worker before that.
 *
 * TASK_INTENT reports that a start of the task was recorded before the takeover
 * and may be running. The task is not started until TASK_ADOPT or TASK_ENDED
 * arrives for that attempt. TASK_ENDED with NOT_STARTED allows a new start,
 * even if the task is not idempotent. TASK_ENDED with LOST ends a job that is
 * not idempotent with the outcome unknown.
 *
 * TASK_ADOPT for an unknown job, or for a task that is done or runs elsewhere,
 * is answered with STOP for the same job and task. Its resources stay allocated
 * until TASK_ENDED arrives.
 *
 * QUICK_DONE with LOST means that the caller does not know whether the request
 * still runs. The slot stays occupied until another QUICK_DONE arrives for that
 * attempt (for example STOPPED, once the worker has reported the slot free) or
 * the worker is GONE.
 *
 * Indexes of works and teams that refer to an earlier document are mapped to
 * the new one by name when AGB_SCHED_ENV arrives.
 */

/**
 * struct agb_sched_event - one input
 * @tag: the caller's id of a quick request, returned in GRANT and DENY
 *
 * The comment of each type lists the fields that it uses.
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
	AGB_SCHED_CHECKPOINT, /* as AGB_SCHED_STOP, after a checkpoint */
	AGB_SCHED_THROTTLE,   /* job, task, attempt, worker, need */
	AGB_SCHED_JOB_DONE, /* job, outcome, reason, detail; all tasks ended */
	AGB_SCHED_DECISION, /* detail: text for the decision log */
};

/**
 * struct agb_sched_effect - one output
 * @detail: plain text for the caller or the log
 * @considered: number of workers, or of failures, that the decision considered
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
 * struct agb_sched_effects - growable array of effects
 * @items: owned; freed by agb_sched_effects_free()
 */
struct agb_sched_effects {
	struct agb_sched_effect *items;
	size_t len;
	size_t cap;
};

/**
 * struct agb_sched_load - load summary of a shard, used for routing
 * @free: unallocated resources of the live workers
 * @capacity: total resources of the live workers
 * @slots_free: free runner slots
 * @quick_queued: queued quick requests
 * @tasks_queued: queued tasks
 * @tasks_running: tasks that hold resources
 * @wait_ms: estimated queueing time of a quick request made now
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
 * agb_sched_new() - create a scheduler for an empty shard
 * @epoch: epoch of all attempts that it starts
 * @domain: name of the failure domain of its workers
 * @seed: seed of the random jitter in its delays
 * Return: the scheduler; aborts when out of memory.
 */
struct agb_sched *agb_sched_new(
    uint64_t epoch, const char *domain, uint64_t seed);

/**
 * agb_sched_free() - free a scheduler
 * @s: may be NULL
 */
void agb_sched_free(struct agb_sched *s);

/**
 * agb_sched_step() - process one event
 * @s: the scheduler
 * @now: current time
 * @ev: the event; nothing in it is kept except @ev->env, which must stay valid
 *      until the next AGB_SCHED_ENV event has been processed
 * @out: effects are appended to it
 *
 * One step processes a bounded amount of queued work; the next event or tick
 * continues with the rest.
 */
void agb_sched_step(struct agb_sched *s, agb_time now,
    const struct agb_sched_event *ev, struct agb_sched_effects *out);

/**
 * agb_sched_next_tick() - time at which the next AGB_SCHED_TICK is due
 * Return: a time, @now when queued work is left, or AGB_TIME_MAX for never.
 */
agb_time agb_sched_next_tick(const struct agb_sched *s, agb_time now);

/**
 * agb_sched_load_get() - load summary for routing
 * @s: the scheduler
 * @now: current time
 * @work: quick service whose wait is estimated, or AGB_ENV_NONE
 * @out: filled in
 */
void agb_sched_load_get(const struct agb_sched *s, agb_time now, uint16_t work,
    struct agb_sched_load *out);

/**
 * agb_sched_team_usage() - resources allocated to a team in this shard
 */
struct agb_resources agb_sched_team_usage(
    const struct agb_sched *s, uint16_t team);

/**
 * agb_sched_feasible() - whether the job would fit if the fleet were idle
 * @s: the scheduler
 * @work: kind of work; a gang needs room for all tasks at the same time
 * @tasks: number of tasks
 * @need: resources of each task
 * @why: set to the reason when it would not fit, NUL-terminated
 * @len: size of @why in bytes, at least 1
 * Return: true if it would fit, and also as long as no worker is known.
 */
bool agb_sched_feasible(const struct agb_sched *s, uint16_t work,
    uint32_t tasks, const struct agb_resources *need, char *why, size_t len);

/**
 * agb_sched_explain() - describe the state of a job and why it waits
 * @s: the scheduler
 * @now: current time
 * @job: handle of the job
 * @buf: receives one or more lines, NUL-terminated
 * @len: size of @buf in bytes, at least 1
 * Return: bytes written without the NUL.
 */
size_t agb_sched_explain(const struct agb_sched *s, agb_time now, uint32_t job,
    char *buf, size_t len);

/**
 * agb_sched_effects_add() - append a zeroed effect
 * Return: the new effect, valid until the next call; aborts when out of memory.
 */
struct agb_sched_effect *agb_sched_effects_add(
    struct agb_sched_effects *out, enum agb_sched_effect_type type);

/**
 * agb_sched_effects_free() - free the items and reset the array
 */
void agb_sched_effects_free(struct agb_sched_effects *out);

#endif

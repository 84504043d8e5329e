#ifndef WF_TYPES_H
#define WF_TYPES_H

/**
 * DOC: wf_types
 *
 * Types shared by the modules of the workflow scheduler: the description of a
 * job and the runners of the registry.
 */

#include "types.h"

/* Value of a handle (index into a table) that refers to no entry. */
#define WF_NO_HANDLE UINT32_MAX
#define WF_STEPS_MAX 64
/* Upper limit for the tasks of one job over all its occurrences. */
#define WF_TASKS_MAX 65536
#define WF_LABELS_MAX 8
/* Hexadecimal digits of the id that a client chooses for a job. */
#define WF_JOB_DIGITS 16
/* Size of the key of a job, which has the digits first, and its NUL; see
 * wf_job_id.h. */
#define WF_JOB_ID_LEN (WF_JOB_DIGITS + 4)
#define WF_CHECKPOINT_MAX 255

typedef char wf_job_id[WF_JOB_ID_LEN];

/**
 * struct wf_now - current time
 * @mono: monotonic clock that also advances while the machine is suspended
 * @unix_ms: wall clock, which may jump
 */
struct wf_now {
	agb_time mono;
	int64_t unix_ms;
};

struct wf_meter_ops;

/**
 * struct wf_config - settings of this instance that do not change while it runs
 * @name: instance name, unique to this start of the process
 * @rpc: address at which other instances reach it
 * @seed: seed of the random jitter in its delays
 * @cpu_permille: CPU share available to it, in thousandths of a core
 * @link_kbps: bandwidth of its network link; 0 when unknown
 * @memory_mb: memory that its process may use; 0 when unknown
 * @grace_ms: maximum time from SIGTERM to process exit
 * @status_s: how long the state of a finished job can be queried
 * @runner_lease_max_ms: longest lease that a runner accepts
 * @remote_factor: factor by which the run time of a task grows away from its data
 *	or its group; up to 1 placement does not matter to it
 * @locality_wait_max_ms: longest time from when a step is ready that it waits for
 *	a placement near them; 0 disables waiting
 * @meter_ops: what measurements read; NULL measures no times
 * @meter_arg: argument of @meter_ops
 */
struct wf_config {
	agb_id name;
	agb_addr rpc;
	agb_id domain;
	agb_id region;
	uint64_t seed;
	uint32_t cpu_permille;
	uint32_t link_kbps;
	uint32_t memory_mb;
	uint32_t grace_ms;
	uint32_t status_s;
	uint32_t runner_lease_max_ms;
	double remote_factor;
	uint32_t locality_wait_max_ms;
	const struct wf_meter_ops *meter_ops;
	void *meter_arg;
};

/**
 * struct wf_step - group of identical tasks of a job that become ready together
 * @count: number of tasks
 * @after: bit set of the steps that must be done before this one starts
 * @gang: all tasks run at the same time or none does
 * @rack_local: runs slower when its tasks are spread over several racks
 * @checkpointing: its tasks write checkpoints
 * @speculative: a second copy of a running task may be started
 * @long_running: runs until the job is cancelled; a task is restarted whichever
 *	way it ends
 * @best_effort: uses only CPU capacity that other tasks leave idle
 * @spread_max: maximum number of its tasks on one runner; 0 for no limit
 * @target_ms: upper bound for the response time of a long-running task, or 0
 * @max_unavailable: tasks of a long-running step that may be down at the same
 *	time
 * @label: label that the runner must have, or ""
 * @rack: rack that holds the input data, or ""
 */
struct wf_step {
	uint32_t count;
	struct agb_resources need;
	uint32_t estimate_ms;
	uint64_t after;
	bool gang;
	bool rack_local;
	bool checkpointing;
	bool speculative;
	bool long_running;
	bool best_effort;
	uint32_t spread_max;
	uint32_t target_ms;
	uint32_t max_unavailable;
	agb_id label;
	agb_id rack;
	agb_id image;
};

/**
 * struct wf_spec - job as submitted by a client
 * @account: client account that it belongs to; "" for none
 * @submitted_ms: Unix time at which it was accepted
 * @start_at_ms: Unix time of the first occurrence; 0 to start immediately
 * @period_ms: time between two occurrences
 * @repeat_count: number of occurrences, at least 1
 * @origin: address of the instance that accepted the job and has @payload
 * @route_tag: that of the route by which it was submitted, see struct wf_queue;
 *	0 when not known
 * @payload: data passed to each task
 */
struct wf_spec {
	agb_id queue;
	agb_id account;
	int64_t submitted_ms;
	int64_t start_at_ms;
	uint32_t period_ms;
	uint32_t repeat_count;
	agb_addr origin;
	uint32_t route_tag;
	char *payload;
	size_t payload_len;
	struct wf_step *steps;
	uint32_t steps_len;
};

/**
 * struct wf_runner_info - registry entry of a runner
 * @started_ms: start time of the runner process; identifies its incarnation
 * @clock_ms: the runner's monotonic clock when the entry was written
 * @remaining_ms: minimum time until the runner leaves; -1 when unknown
 * @cold_start_ms: time until a runner that is starting up is ready for tasks
 */
struct wf_runner_info {
	agb_id id;
	agb_id service;
	agb_addr addr;
	agb_id domain;
	agb_id labels[WF_LABELS_MAX];
	uint32_t labels_len;
	struct agb_resources capacity;
	int64_t started_ms;
	int64_t clock_ms;
	int64_t remaining_ms;
	uint32_t cold_start_ms;
	bool draining;
};

/**
 * enum wf_job_state - state of a job as reported to clients
 */
enum wf_job_state {
	WF_JOB_QUEUED,
	WF_JOB_RUNNING,
	WF_JOB_COMPLETED,
	WF_JOB_FAILED,
	WF_JOB_CANCELLED,
};

#define wf_job_state_is_final(s) ((s) >= WF_JOB_COMPLETED)

/**
 * wf_job_state_name() - name of a state as reported to clients
 */
const char *wf_job_state_name(enum wf_job_state s);

/**
 * wf_spec_free() - free the memory owned by a job description, but not the
 * structure itself
 */
void wf_spec_free(struct wf_spec *s);

/**
 * wf_spec_task_count() - number of tasks in one occurrence of a job
 */
uint32_t wf_spec_task_count(const struct wf_spec *s);

/**
 * wf_step_reserved() - resources that a task of a step reserves at its runner;
 * a best-effort task reserves no CPU
 */
struct agb_resources wf_step_reserved(const struct wf_step *step);

/**
 * wf_step_fit_count() - number of tasks of a step that fit into the given free
 * resources
 */
uint32_t wf_step_fit_count(
    const struct wf_step *step, struct agb_resources room);

/**
 * wf_runner_has_label() - check whether a runner has a label
 * @label: "" matches every runner
 */
bool wf_runner_has_label(const struct wf_runner_info *r, const char *label);

#endif

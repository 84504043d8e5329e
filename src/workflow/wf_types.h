#ifndef WF_TYPES_H
#define WF_TYPES_H

/**
 * DOC: wf_types
 *
 * Values that the modules of the workflow scheduler share: what a job asks
 * for, what the document says of queues and services, what a runner offers.
 */

#include "types.h"

/* Handle that names nothing. */
#define WF_NO_HANDLE UINT32_MAX
#define WF_STEPS_MAX 64
/* Tasks of one job over all its occurrences. */
#define WF_TASKS_MAX 65536
#define WF_LABELS_MAX 8
/* Job ids are 16 hexadecimal digits. */
#define WF_JOB_ID_LEN 17
#define WF_CHECKPOINT_MAX 255
#define WF_HOST_LEN 256

typedef char wf_job_id[WF_JOB_ID_LEN];

/**
 * struct wf_now - the present time
 * @mono: of a clock that also counts while the machine is suspended
 * @unix_ms: time of day, which may jump
 */
struct wf_now {
	agb_time mono;
	int64_t unix_ms;
};

/**
 * struct wf_config - fixed facts of this instance
 * @name: unique name of this start of the instance
 * @rpc: where other instances reach it
 * @seed: of the jitter of its waits
 * @cpu_permille: its share of a processor
 * @link_kbps: bandwidth of its link; 0 is not known
 * @grace_ms: longest time from SIGTERM to its exit
 * @status_s: how long the state of an ended job stays known
 */
struct wf_config {
	agb_id name;
	agb_addr rpc;
	agb_id domain;
	agb_id region;
	uint64_t seed;
	uint32_t cpu_permille;
	uint32_t link_kbps;
	uint32_t grace_ms;
	uint32_t status_s;
};

/**
 * struct wf_step - tasks of a job that become ready together
 * @after: bit set of the steps that must be done first
 * @gang: the tasks run at the same time or not at all
 * @rack_local: slower when its tasks are on more than one rack
 * @checkpointing: makes checkpoints
 * @speculative: a second copy of a running task is allowed
 * @long_running: runs until the job is cancelled; restarted however it ends
 * @best_effort: uses only capacity that other tasks leave
 * @spread_max: most tasks on one runner; 0 is no limit
 * @target_ms: bound of the response times of a task that lasts, or 0
 * @max_unavailable: tasks of a step that lasts that may be away at once
 * @label: label that the runner must have, or ""
 * @rack: rack that holds the data, or ""
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
 * struct wf_spec - a job as its caller submitted it
 * @submitted_ms: Unix time of its acceptance
 * @start_at_ms: Unix time of its first occurrence; 0 is at once
 * @repeat_count: number of occurrences, at least 1
 * @origin: address of the instance that accepted it, which has @payload
 * @payload: bytes handed to each task
 */
struct wf_spec {
	agb_id queue;
	int64_t submitted_ms;
	int64_t start_at_ms;
	uint32_t period_ms;
	uint32_t repeat_count;
	agb_addr origin;
	char *payload;
	size_t payload_len;
	struct wf_step *steps;
	uint32_t steps_len;
};

/**
 * struct wf_queue - a queue of the document
 * @target_ms: latency objective beyond the work itself
 * @slack_factor: factor on the longest chain of work in that objective
 * @priority: 0 comes first
 * @max_attempts: failed runs after which a job has failed
 * @advice_required: placements need approvals of the advice service
 * @advice_base_ms: time of a call for advice, and @advice_per_runner_ms a runner named
 * @ticket_valid_ms: life of a ticket
 */
struct wf_queue {
	agb_id name;
	agb_id service;
	char host[WF_HOST_LEN];
	char path_prefix[WF_HOST_LEN];
	uint32_t timeout_ms;
	uint32_t target_ms;
	uint32_t priority;
	uint32_t max_attempts;
	double slack_factor;
	bool advice_required;
	double advice_base_ms;
	double advice_per_runner_ms;
	uint32_t ticket_valid_ms;
};

/**
 * struct wf_service - a pool of runners
 * @enforces_capacity: its runners refuse what does not fit
 */
struct wf_service {
	agb_id name;
	bool enforces_capacity;
	bool standby;
};

/**
 * struct wf_doc - the document in force
 */
struct wf_doc {
	uint64_t version;
	struct wf_queue *queues;
	size_t queues_len;
	struct wf_service *services;
	size_t services_len;
	size_t body_max;
};

/**
 * struct wf_runner_info - a runner as the registry lists it
 * @started_ms: start of this life
 * @clock_ms: its steady clock when the entry was written
 * @remaining_ms: least time until it leaves; -1 when not known
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
 * enum wf_job_state - state of a job as its caller sees it
 */
enum wf_job_state {
	WF_JOB_QUEUED,
	WF_JOB_RUNNING,
	WF_JOB_COMPLETED,
	WF_JOB_FAILED,
	WF_JOB_CANCELLED,
};

#define wf_job_final(s) ((s) >= WF_JOB_COMPLETED)

/**
 * wf_job_state_name() - text of a state
 */
const char *wf_job_state_name(enum wf_job_state s);

/**
 * wf_spec_free() - free what a job description owns
 */
void wf_spec_free(struct wf_spec *s);

/**
 * wf_spec_task_count() - tasks of one occurrence
 */
uint32_t wf_spec_task_count(const struct wf_spec *s);

/**
 * wf_doc_free() - free a document
 * @doc: may be NULL
 */
void wf_doc_free(struct wf_doc *doc);

/**
 * wf_doc_queue() - queue by name
 * Return: NULL when the document has none.
 */
const struct wf_queue *wf_doc_queue(const struct wf_doc *doc, const char *name);

/**
 * wf_doc_route() - queue of a request: the longest prefix of its path at
 * its host
 * Return: NULL when the document has none.
 */
const struct wf_queue *wf_doc_route(
    const struct wf_doc *doc, const char *host, const char *path);

/**
 * wf_doc_service() - service by name, or NULL
 */
const struct wf_service *wf_doc_service(
    const struct wf_doc *doc, const char *name);

/**
 * wf_step_reserved() - what a task of a step takes of its runner's capacity; the
 * processor of one that fills is not counted
 */
struct agb_resources wf_step_reserved(const struct wf_step *step);

/**
 * wf_step_fit_count() - how many tasks of a step fit into a room
 */
uint32_t wf_step_fit_count(
    const struct wf_step *step, struct agb_resources room);

/**
 * wf_runner_has_label() - whether a runner has a label
 * @label: "" is had by all
 */
bool wf_runner_has_label(const struct wf_runner_info *r, const char *label);

#endif

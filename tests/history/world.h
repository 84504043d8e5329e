#ifndef HISTORY_WORLD_H
#define HISTORY_WORLD_H

/**
 * DOC: world
 *
 * A deterministic simulation for the history checker: a few real instances
 * (struct agb_node), fakes of the store and the workers, and one queue of
 * pending messages and timers. The seed determines all delays, losses and
 * faults. Bandwidth, machines and realistic workloads are not modelled.
 */

#include "fake_store.h"
#include "node.h"
#include "record.h"

#define W_NODES 3
#define W_WORKERS 5
#define W_TASKS_MAX 64
#define W_CALLS_MAX 400
#define W_POLLS_MAX 8192
/* Call id of explain requests; polls of jobs use the ids above it. */
#define W_POLL_BASE 1000000

/* The comment of each kind names the fields of struct sim_event that it sets. */
enum sim_event_kind {
	SIM_NODE_TICK,	    /* node: its timer is due */
	SIM_NODE_START,	    /* node: a new incarnation starts */
	SIM_NODE_EVENT,	    /* node, ev: an event for the node */
	SIM_RPC_REQ,	    /* node, index of the call, ef: request arrives */
	SIM_RPC_RES,	    /* index of the call, ef: reply arrives */
	SIM_RPC_LOST,	    /* index of the call, flag: call fails */
	SIM_STORE_REQ,	    /* index of the call, ef: operation arrives */
	SIM_STORE_RES,	    /* index of the call, ev: result arrives */
	SIM_STORE_EXPIRE,   /* a lease of the store may have expired */
	SIM_WORKER_REQ,	    /* index of the call, ef: request arrives */
	SIM_WORKER_RES,	    /* index of the call, ev: answer or timeout */
	SIM_RENEWAL_DUE,    /* index of the call: its wait is over */
	SIM_TASK_END,	    /* worker, incarnation, index of the run */
	SIM_SESSION_EXPIRY, /* worker: its session may have expired */
	SIM_UPSTREAM_REQ,   /* index of the attempt: it reaches the runner */
	SIM_UPSTREAM_DONE,  /* index of the attempt, incarnation: it ends */
	SIM_UPSTREAM_RES,   /* index of the attempt, ev, flag: its answer */
	SIM_UPSTREAM_LOST,  /* index of the attempt, call: it is lost; call is 0
			       after a timeout, else the connection broke */
	SIM_CALLER_REQUEST, /* a caller sends a request */
	SIM_JOB_POLL,	    /* call: a caller polls its job */
	SIM_FAULT_BEGIN,    /* index of the fault */
	SIM_FAULT_END,	    /* index of the fault */
	SIM_FAULTS_ENDED,   /* all faults have ended */
	SIM_MASS_CANCEL,    /* callers cancel many jobs */
	SIM_DOCUMENT_CHANGE, /* operators change the document */
};

/**
 * struct sim_event - a pending message or timer
 * @at: simulated time at which it takes effect
 * @seq: order of events that are due at the same time
 * @incarnation: incarnation of the node, or boot count of the worker, that it
 * is for; dropped when that has ended
 * @call: number of a caller's request
 * @index: position in the array of struct world that belongs to the kind
 * @flag: SIM_RPC_LOST: the request was sent; SIM_UPSTREAM_RES: the answer is
 * complete
 * @ev: owned, may be NULL
 * @ef: owned, may be NULL
 */
struct sim_event {
	agb_time at;
	uint64_t seq;
	enum sim_event_kind kind;
	uint32_t node;
	uint32_t incarnation;
	uint32_t worker;
	uint32_t call;
	size_t index;
	bool flag;
	struct agb_event *ev;
	struct agb_effect *ef;
};

/**
 * struct sim_node - a daemon instance
 * @node: state machine under test
 * @incarnation: number of starts
 * @partitioned: the network separates it from the other domain and from the
 * platform's store and instance list
 * @shutting_down: it has been asked to shut down gracefully
 * @next_tick_at: time of the pending SIM_NODE_TICK, 0 when none is pending
 * @version: version of the document that it applies
 */
struct sim_node {
	struct agb_node *node;
	agb_name name;
	agb_name domain;
	agb_addr rpc;
	uint32_t incarnation;
	bool up;
	bool ready;
	bool partitioned;
	bool shutting_down;
	agb_time paused_until;
	agb_time next_tick_at;
	uint64_t version;
};

/**
 * struct task_run - a run of a task, or of a quick request on a runner
 * @running: it has not ended
 * @on_runner: it is a quick request in a slot of the runner
 * @keeps_running: its class keeps tasks running after the session has expired
 * @seen: the run has been added; true for every entry of @runs
 * @call: caller's request that the run belongs to
 * @task_number: number of the task within its job
 * @need: resources in use
 * @autonomy: how long the task may run after the session has expired
 * @fails: the run ends with a failure
 */
struct task_run {
	bool running;
	bool on_runner;
	bool keeps_running;
	bool seen;
	uint32_t call;
	uint32_t task_number;
	agb_id task;
	struct agb_attempt attempt;
	struct agb_resources need;
	agb_time autonomy;
	bool fails;
};

/**
 * struct sim_worker - a worker agent and its runner
 * @runner: address of the runner
 * @boot_count: number of starts
 * @dead: it has left the cluster for good
 * @unreachable: the network drops all its messages
 * @epoch: epoch of the owner that holds the session
 * @runs: runs since the worker started, ended ones too
 * @revoked: attempts that must not start any more
 * @events: events that the owner has not confirmed yet
 * @seq: number of the latest event
 * @renewal_call: index in @worker_calls of struct world of the latest renewal
 * @renewal_pending: that renewal has not been answered
 */
struct sim_worker {
	agb_name name;
	agb_name domain;
	agb_addr addr;
	agb_addr runner;
	struct agb_resources capacity;
	uint32_t boot_count;
	bool dead;
	bool unreachable;
	bool leaving;
	uint64_t epoch;
	agb_time session_expires_at;
	struct task_run *runs;
	size_t runs_len;
	struct agb_attempt *revoked;
	size_t revoked_len;
	struct agb_worker_event *events;
	size_t events_len;
	uint64_t seq;
	size_t renewal_call;
	bool renewal_pending;
};

/**
 * struct rpc_call - a call from one instance to another
 * @node: caller, in the given @incarnation
 * @done: the caller has received a reply or an error
 */
struct rpc_call {
	uint32_t node;
	uint32_t incarnation;
	uint64_t tag;
	bool done;
};

/**
 * struct store_call - an operation sent to the store
 * @done: the client has received the result or given up
 * @drop_answer: the result is lost on its way to the client
 */
struct store_call {
	uint32_t node;
	uint32_t incarnation;
	uint64_t tag;
	bool done;
	bool drop_answer;
};

/**
 * struct worker_call - a call from an instance to a worker agent
 * @after_seq: in a renewal, the last event that the caller has received
 * @done: the caller has received the answer or given up
 */
struct worker_call {
	uint32_t node;
	uint32_t incarnation;
	uint32_t worker;
	enum agb_effect_type type;
	uint64_t tag;
	uint64_t after_seq;
	bool done;
};

/**
 * struct upstream_attempt - an attempt to run a quick request on a runner
 * @run: index in the runs of the worker
 * @done: the client has received the answer, given up or aborted
 */
struct upstream_attempt {
	uint32_t node;
	uint32_t incarnation;
	uint32_t worker;
	uint32_t call;
	struct agb_attempt attempt;
	size_t run;
	bool done;
};

/**
 * struct watch - a node's watch on a key or a range of the store
 * @range_end: first key after the range; NULL watches @key only
 * @last_delivery_at: delivery time of the latest change
 * @broken: closed; no change is delivered any more
 */
struct watch {
	uint32_t node;
	uint32_t incarnation;
	uint64_t tag;
	char *key;
	char *range_end;
	agb_time last_delivery_at;
	bool broken;
};

/**
 * struct caller_request - a request of a caller
 * @node: instance that received it, in the given @incarnation
 * @open: the caller waits for the answer
 * @accepted: the caller received the id of its job
 * @done: the job has reached its final state
 * @cancel_requested: the next poll cancels the job
 * @key: number of the idempotency key, 0 for none
 * @answered_call: call to which the content of the upstream's answer belongs
 * @complete: that answer is not truncated
 */
struct caller_request {
	uint32_t node;
	uint32_t incarnation;
	bool open;
	bool job;
	bool service;
	bool idempotent;
	bool accepted;
	bool done;
	bool cancel_requested;
	uint32_t key;
	agb_id id;
	uint32_t answered_call;
	bool complete;
};

/**
 * struct fault - a scheduled fault
 * @kind: enum fault_kind of world_fault.c
 * @target: random number that selects the node, domain or worker
 */
struct fault {
	int kind;
	agb_time at;
	agb_time duration;
	uint32_t target;
};

enum world_kind {
	W_RANDOM_FAULTS,    /* full workload, faults drawn from the seed */
	W_FAULT_FREE_QUICK, /* a few quick requests, no faults */
	W_FAULT_FREE_JOBS,  /* a few jobs, no faults; services are cancelled */
};

/**
 * struct world - a simulated cluster with its callers and operators
 * @now: simulated time
 * @rng: state of erand48()
 * @heap: binary heap of pending events, ordered by time and sequence number
 * @step_count: events that nodes have handled
 * @store_changes: all changes of the store, for watches that start at an
 * earlier revision
 * @instances: the platform's instance list, as a log of changes
 * @visible_at: time at which each change of @instances becomes visible
 * @calls: requests by number, from 1
 * @calls_len: number of the latest request
 * @polled_call: request that each poll belongs to, by number from 1
 * @message_loss: probability that a message is lost
 * @store_answer_loss: probability that a result of the store is lost
 * @faults_ended: no fault is active or will begin
 * @document_changes: number of documents that operators tried to write
 * @trace: receives log lines of the nodes; NULL discards them
 */
struct world {
	uint64_t seed;
	enum world_kind kind;
	agb_time now;
	unsigned short rng[3];
	struct sim_event *heap;
	size_t heap_len;
	size_t heap_cap;
	uint64_t next_seq;
	uint64_t step_count;
	struct sim_node nodes[W_NODES];
	struct sim_worker workers[W_WORKERS];
	struct fake_store store;
	struct agb_store_kv *store_changes;
	size_t store_changes_len;
	struct watch *watches;
	size_t watches_len;
	struct agb_instance *instances;
	agb_time *visible_at;
	size_t instances_len;
	struct rpc_call *rpcs;
	size_t rpcs_len;
	struct store_call *store_calls;
	size_t store_calls_len;
	struct worker_call *worker_calls;
	size_t worker_calls_len;
	struct upstream_attempt *upstream_attempts;
	size_t upstream_attempts_len;
	struct caller_request calls[W_CALLS_MAX];
	uint32_t calls_len;
	uint32_t poll_count;
	uint32_t polled_call[W_POLLS_MAX];
	struct fault faults[12];
	size_t faults_len;
	double message_loss;
	bool store_down;
	bool store_slow;
	double store_answer_loss;
	bool faults_ended;
	uint64_t document_changes;
	struct history history;
	FILE *trace;
};

/* world.c: event queue, random numbers, nodes */
double w_random(struct world *w);
uint32_t w_random_below(struct world *w, uint32_t n);
agb_time w_random_delay(struct world *w);
struct sim_event *w_schedule(
    struct world *w, agb_time at, enum sim_event_kind kind);
void w_deliver(struct world *w, uint32_t node, struct agb_event *ev);
void w_node_stop(struct world *w, uint32_t n, enum record_type how);
void world_run(struct world *w);
void world_explain(struct world *w, uint32_t call);
void world_free(struct world *w);

/* world_net.c: RPCs between instances, the store, the instance list */
bool w_connected(const struct world *w, uint32_t a, uint32_t b);
void w_rpc_call(struct world *w, uint32_t n, struct agb_effect *ef);
void w_rpc_reply(struct world *w, struct agb_effect *ef);
void w_rpc_msg(struct world *w, struct sim_event *m);
void w_store_call(struct world *w, uint32_t n, struct agb_effect *ef);
void w_store_msg(struct world *w, struct sim_event *m);
void w_store_apply(
    struct world *w, struct agb_store_op *op, struct agb_store_result *res);
void w_watch_open(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_watch_close(struct world *w, uint32_t n, uint64_t tag);
void w_watches_disconnect(struct world *w);
void w_list_instances(struct world *w, uint32_t n, uint64_t since);
void w_list_update(struct world *w, const struct agb_instance *it);

/* world_work.c: workers and their runners */
void w_worker_call(struct world *w, uint32_t n, struct agb_effect *ef);
void w_worker_msg(struct world *w, struct sim_event *m);
void w_worker_kill(struct world *w, uint32_t i, bool restart);
void w_worker_leave(struct world *w, uint32_t i);
void w_worker_publish(struct world *w, uint32_t i, enum agb_instance_state st);
void w_upstream(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_upstream_abort(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_upstream_msg(struct world *w, struct sim_event *m);

/* world_load.c: callers and operators */
void w_caller_request(struct world *w);
void w_job_poll(struct world *w, uint32_t call);
void w_job_explain(struct world *w, uint32_t call);
void w_cancel_many_jobs(struct world *w);
void w_cancel_services(struct world *w);
bool w_requests_final(const struct world *w);
void w_caller_reply(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_caller_forward(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_operators_change_document(struct world *w);
void w_document_create(struct world *w);

/* world_fault.c: schedule of faults and their effects */
void w_faults_schedule(struct world *w);
void w_fault_begin(struct world *w, size_t i);
void w_fault_end(struct world *w, size_t i);

#endif

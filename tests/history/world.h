#ifndef HISTORY_WORLD_H
#define HISTORY_WORLD_H

/**
 * DOC: world
 *
 * The driver of the history checker: a few real reducers, the store and
 * worker fakes, and one queue of pending messages and timers. A seed draws
 * delays, losses and faults. It models no bandwidth, machine or workload.
 */

#include "fake_store.h"
#include "node.h"
#include "record.h"

#define W_NODES 3
#define W_WORKERS 5
#define W_TASKS_MAX 64
#define W_CALLS_MAX 400
#define W_POLLS_MAX 8192
/* Call ids from here on are the callers' own polls for their jobs. */
#define W_POLL_BASE 1000000

enum sim_event_kind {
	SIM_NODE_TICK,	    /* node */
	SIM_NODE_START,	    /* node: a new incarnation */
	SIM_NODE_EVENT,	    /* node, ev */
	SIM_RPC_REQ,	    /* index: rpc, ef */
	SIM_RPC_RES,	    /* index: rpc, ef */
	SIM_RPC_LOST,	    /* index: rpc, flag: it was sent */
	SIM_STORE_REQ,	    /* index: store call, ef */
	SIM_STORE_RES,	    /* index: store call, ev */
	SIM_STORE_EXPIRE,   /* leases */
	SIM_WORKER_REQ,	    /* index: worker call, ef */
	SIM_WORKER_RES,	    /* index: worker call, ev */
	SIM_RENEWAL_DUE,    /* index: worker call: its wait is over */
	SIM_TASK_END,	    /* worker, index: index of the task's run */
	SIM_SESSION_EXPIRY, /* worker: its session may have lapsed */
	SIM_UPSTREAM_REQ,   /* index: attempt at a runner */
	SIM_UPSTREAM_DONE,  /* index: the runner has finished it */
	SIM_UPSTREAM_RES,   /* index, flag: the answer is whole */
	SIM_UPSTREAM_LOST, /* index: given up by the client; call: its connection broke */
	SIM_CALLER_REQUEST,  /* a caller acts */
	SIM_JOB_POLL,	     /* call: a caller asks for its job */
	SIM_FAULT_BEGIN,     /* index: a fault begins */
	SIM_FAULT_END,	     /* index: it ends */
	SIM_FAULTS_ENDED,    /* all faults have ended */
	SIM_MASS_CANCEL,     /* callers cancel many jobs */
	SIM_DOCUMENT_CHANGE, /* operators change the document */
};

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

/* One run of a task, or of a request on a runner. */
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
	size_t pending_renewal;
	bool renewal_pending;
};

struct rpc_call {
	uint32_t node;
	uint32_t incarnation;
	uint64_t tag;
	bool done;
};

struct store_call {
	uint32_t node;
	uint32_t incarnation;
	uint64_t tag;
	bool done;
	bool drop_answer;
};

struct worker_call {
	uint32_t node;
	uint32_t incarnation;
	uint32_t worker;
	enum agb_effect_type type;
	uint64_t tag;
	uint64_t after_seq;
	bool done;
};

struct upstream_attempt {
	uint32_t node;
	uint32_t incarnation;
	uint32_t worker;
	uint32_t call;
	struct agb_attempt attempt;
	size_t run;
	bool done;
};

struct watch {
	uint32_t node;
	uint32_t incarnation;
	uint64_t tag;
	char *key;
	char *range_end;
	agb_time last_delivery_at;
	bool broken;
};

/* A caller's request. */
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

struct fault {
	int kind;
	agb_time at;
	agb_time duration;
	uint32_t target;
};

/* What runs: faults drawn from the seed, or a short session without any. */
enum world_kind {
	W_RANDOM_FAULTS,
	W_FAULT_FREE_QUICK, /* a few quick requests */
	W_FAULT_FREE_JOBS,  /* a few jobs; services are cancelled at the end */
};

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
	FILE *trace; /* decision lines go there; NULL is nowhere */
};

/* world.c: queue, draws, reducers */
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

/* world_net.c: messages between instances, store, list */
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

/* world_fault.c: what fails, and when */
void w_faults_schedule(struct world *w);
void w_fault_begin(struct world *w, size_t i);
void w_fault_end(struct world *w, size_t i);

#endif

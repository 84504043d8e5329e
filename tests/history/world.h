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
/* Call ids from here on are the callers' own polls for their jobs. */
#define W_POLL_BASE 1000000

enum msg_kind {
	M_TICK,		/* node */
	M_START,	/* node: a new incarnation */
	M_EVENT,	/* node, ev */
	M_RPC_REQ,	/* x: rpc, ef */
	M_RPC_RES,	/* x: rpc, ef */
	M_RPC_LOST,	/* x: rpc, flag: it was sent */
	M_STORE_REQ,	/* x: store call, ef */
	M_STORE_RES,	/* x: store call, ev */
	M_STORE_EXPIRE, /* leases */
	M_WORKER_REQ,	/* x: worker call, ef */
	M_WORKER_RES,	/* x: worker call, ev */
	M_WORKER_POLL,	/* x: worker call: its wait is over */
	M_TASK_END,	/* worker, x: index of the task's run */
	M_ISOLATED,	/* worker: its session may have lapsed */
	M_UP_REQ,	/* x: attempt at a runner */
	M_UP_END,	/* x: the runner has finished it */
	M_UP_RES,	/* x, flag: the answer is whole */
	M_UP_LOST,  /* x: given up by the client; call: its connection broke */
	M_CALLER,   /* a caller acts */
	M_POLL,	    /* call: a caller asks for its job */
	M_FAULT,    /* x: a fault begins */
	M_HEAL,	    /* x: it ends */
	M_QUIET,    /* all faults have ended */
	M_WAVE,	    /* callers cancel many jobs */
	M_OPERATOR, /* operators change the document */
};

struct msg {
	agb_time at;
	uint64_t seq;
	enum msg_kind kind;
	uint32_t node;
	uint32_t incarnation;
	uint32_t worker;
	uint32_t call;
	size_t x;
	bool flag;
	struct agb_event *ev;
	struct agb_effect *ef;
};

struct wnode {
	struct agb_node *node;
	agb_name name;
	agb_name domain;
	agb_addr rpc;
	uint32_t incarnation;
	bool up;
	bool ready;
	bool cut;
	bool term;
	agb_time paused_until;
	agb_time tick_at;
	uint64_t version;
};

/* One run of a task, or of a request on a runner. */
struct run {
	bool live;
	bool slot;
	bool keep;
	bool seen;
	uint32_t call;
	uint32_t number;
	agb_id task;
	struct agb_attempt attempt;
	struct agb_resources need;
	agb_time autonomy;
	bool fails;
};

struct wworker {
	agb_name name;
	agb_name domain;
	agb_addr addr;
	agb_addr runner;
	struct agb_resources capacity;
	uint32_t boots;
	bool dead;
	bool silent;
	bool leaving;
	uint64_t epoch;
	agb_time session_until;
	struct run *runs;
	size_t runs_len;
	struct agb_attempt *revoked;
	size_t revoked_len;
	struct agb_worker_event *events;
	size_t events_len;
	uint64_t seq;
	size_t poll;
	bool polling;
};

struct rpc {
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
	bool lose;
};

struct worker_call {
	uint32_t node;
	uint32_t incarnation;
	uint32_t worker;
	enum agb_effect_type type;
	uint64_t tag;
	uint64_t after;
	bool done;
};

struct up {
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
	agb_time last_at;
	bool broken;
};

/* A caller's request. */
struct wcall {
	uint32_t node;
	uint32_t incarnation;
	bool open;
	bool job;
	bool service;
	bool idempotent;
	bool accepted;
	bool done;
	bool cancel;
	uint32_t key;
	agb_id id;
	uint32_t content;
	bool whole;
};

struct wfault {
	int kind;
	agb_time at;
	agb_time length;
	uint32_t who;
};

/* What runs: faults drawn from the seed, or a short session without any. */
enum world_kind {
	W_FAULTS,
	W_CALM_QUICK, /* a few quick requests */
	W_CALM_JOBS,  /* a few jobs; services are cancelled at the end */
};

struct world {
	uint64_t seed;
	enum world_kind kind;
	agb_time now;
	unsigned short rng[3];
	struct msg *heap;
	size_t heap_len;
	size_t heap_cap;
	uint64_t next_seq;
	uint64_t steps;
	struct wnode nodes[W_NODES];
	struct wworker workers[W_WORKERS];
	struct fake_store store;
	struct agb_store_kv *log;
	size_t log_len;
	struct watch *watches;
	size_t watches_len;
	struct agb_instance *list;
	agb_time *list_at;
	size_t list_len;
	struct rpc *rpcs;
	size_t rpcs_len;
	struct store_call *store_calls;
	size_t store_calls_len;
	struct worker_call *worker_calls;
	size_t worker_calls_len;
	struct up *ups;
	size_t ups_len;
	struct wcall calls[W_CALLS_MAX];
	uint32_t calls_len;
	uint32_t polls;
	uint32_t poll_of[8192];
	struct wfault faults[12];
	size_t faults_len;
	double loss;
	bool store_down;
	bool store_slow;
	double store_lose;
	bool quiet;
	uint64_t doc_serial;
	struct history hist;
	FILE *trace; /* decision lines go there; NULL is nowhere */
};

/* world.c: queue, draws, reducers */
double w_draw(struct world *w);
uint32_t w_below(struct world *w, uint32_t n);
agb_time w_delay(struct world *w);
struct msg *w_push(struct world *w, agb_time at, enum msg_kind kind);
void w_event(struct world *w, uint32_t node, struct agb_event *ev);
void w_node_stop(struct world *w, uint32_t n, enum rec_type how);
void world_run(struct world *w);
void world_explain(struct world *w, uint32_t call);
void world_free(struct world *w);

/* world_net.c: messages between instances, store, list */
bool w_linked(const struct world *w, uint32_t a, uint32_t b);
void w_rpc_call(struct world *w, uint32_t n, struct agb_effect *ef);
void w_rpc_reply(struct world *w, struct agb_effect *ef);
void w_rpc_msg(struct world *w, struct msg *m);
void w_store_call(struct world *w, uint32_t n, struct agb_effect *ef);
void w_store_msg(struct world *w, struct msg *m);
void w_store_put(
    struct world *w, struct agb_store_op *op, struct agb_store_result *res);
void w_watch_open(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_watch_close(struct world *w, uint32_t n, uint64_t tag);
void w_watches_break(struct world *w);
void w_list_read(struct world *w, uint32_t n, uint64_t since);
void w_list_add(struct world *w, const struct agb_instance *it);

/* world_work.c: workers and their runners */
void w_worker_call(struct world *w, uint32_t n, struct agb_effect *ef);
void w_worker_msg(struct world *w, struct msg *m);
void w_worker_die(struct world *w, uint32_t i, bool restart);
void w_worker_leave(struct world *w, uint32_t i);
void w_worker_list(struct world *w, uint32_t i, enum agb_instance_state st);
void w_upstream(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_upstream_abort(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_upstream_msg(struct world *w, struct msg *m);

/* world_load.c: callers and operators */
void w_caller_act(struct world *w);
void w_caller_poll(struct world *w, uint32_t call);
void w_caller_explain(struct world *w, uint32_t call);
void w_caller_wave(struct world *w);
void w_caller_finish(struct world *w);
bool w_callers_done(const struct world *w);
void w_reply(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_forward(struct world *w, uint32_t n, const struct agb_effect *ef);
void w_operator(struct world *w);
void w_document_put(struct world *w);

/* world_fault.c: what fails, and when */
void w_faults_draw(struct world *w);
void w_fault_begin(struct world *w, size_t i);
void w_fault_end(struct world *w, size_t i);

#endif

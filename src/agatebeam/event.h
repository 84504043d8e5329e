#ifndef AGB_EVENT_H
#define AGB_EVENT_H

/**
 * DOC: event
 *
 * Everything that can happen to an entry instance, as data. The daemon
 * builds events from sockets and timers, tests build them by hand.
 */

#include "gen/agb_proto.h"
#include "sched.h"
#include "store.h"
#include "types.h"

/*
 * A tag marks a pending operation of the reducer; the answer carries it
 * back. Its top byte names the sub-reducer that asked.
 */
enum agb_tag_module {
	AGB_TAG_ROUTE = 1,
	AGB_TAG_OWNER = 2,
	AGB_TAG_ENVSYNC = 3,
	AGB_TAG_MEMBER = 4,
};

#define AGB_TAG_SHIFT 56
#define AGB_TAG(module, n) (((uint64_t)(module) << AGB_TAG_SHIFT) | (n))
#define AGB_TAG_MODULE(tag) ((enum agb_tag_module)((tag) >> AGB_TAG_SHIFT))

enum agb_event_type {
	AGB_EV_TICK,	    /* time has passed */
	AGB_EV_TERM,	    /* SIGTERM */
	AGB_EV_CALL,	    /* call: a caller's request */
	AGB_EV_CALL_CLOSED, /* call_id: its connection has closed */
	AGB_EV_UPSTREAM,    /* upstream: an attempt at a runner ended */
	AGB_EV_STORE,	    /* tag, store */
	AGB_EV_WATCH,	    /* tag, watch */
	AGB_EV_INSTANCES,   /* list: instance list or a delta of it */
	AGB_EV_SESSION,	    /* session: a worker's answer to a takeover */
	AGB_EV_RENEW,	    /* renew: a worker's report */
	AGB_EV_COMMANDS,    /* commands: a worker's answer to commands */
	AGB_EV_RPC_CALL,    /* token, rpc_args: another instance asks */
	AGB_EV_RPC_REPLY,   /* tag, rpc_ok, rpc_res: its answer */
};

enum agb_call_kind {
	AGB_CALL_QUICK,	     /* POST /v1/services/{service}/... */
	AGB_CALL_JOB_SUBMIT, /* POST /v1/jobs */
	AGB_CALL_JOB_GET,    /* GET /v1/jobs/{id} */
	AGB_CALL_JOB_CANCEL, /* DELETE /v1/jobs/{id} */
	AGB_CALL_STATUS,     /* GET /v1/status */
	AGB_CALL_EXPLAIN,    /* GET /v1/explain/{id} */
};

/**
 * struct agb_ev_call - a caller's request; the body of a quick request
 * stays with the edge
 * @id: the edge's handle of the connection's request
 * @credential: lower-case hex SHA-256 of the bearer credential, or ""
 * @work: service, or kind of job
 * @job: job id of GET, DELETE and explain
 * @key: idempotency key, or ""
 * @deadline_ms: from now; 0 when the caller gave none
 * @wait_ms: how long a GET may wait for the end of the job
 * @body_bytes: size of the request for the cost of crossing regions
 * @tasks: number of tasks of a job
 * @need: need of one task; all zero when the caller gave none
 * @run_ms: declared run time; 0 when not given
 * @args: JSON text for the tasks of a job, owned by the event
 */
struct agb_ev_call {
	uint64_t id;
	enum agb_call_kind kind;
	char credential[65];
	agb_name work;
	agb_id job;
	char key[AGB_X_KEY_MAX + 1];
	bool idempotent;
	uint32_t deadline_ms;
	uint32_t wait_ms;
	uint64_t body_bytes;
	uint32_t tasks;
	struct agb_resources need;
	uint32_t run_ms;
	const char *args;
	size_t args_len;
};

/**
 * struct agb_ev_upstream - how an attempt at a runner ended
 * @call_id: the caller's request
 * @attempt: as sent
 * @result: OK when the whole answer has been received (whatever its status),
 *	NOT_STARTED when the runner refused or was never reached, LOST else
 * @reason: UPSTREAM_REFUSED, UPSTREAM_LOST, UPSTREAM_SHORT or DEADLINE
 * @http_status: of a whole answer
 */
struct agb_ev_upstream {
	uint64_t call_id;
	struct agb_attempt attempt;
	enum agb_result result;
	enum agb_reason reason;
	int http_status;
};

struct agb_ev_watch {
	struct agb_store_kv *kvs;
	size_t kvs_len;
	uint64_t revision;
	bool broken;
};

enum agb_instance_kind {
	AGB_INSTANCE_ENTRY,
	AGB_INSTANCE_WORKER,
};

enum agb_instance_state {
	AGB_INSTANCE_LIVE,
	AGB_INSTANCE_LEAVING,
	AGB_INSTANCE_GONE,
};

/**
 * struct agb_instance - one entry of the platform's lagging list
 * @address: HTTP address of the worker agent or of the edge
 * @rpc: ONC RPC address of an entry instance
 * @runner: HTTP address of a worker's runner, or ""
 * @service: service of that runner, or ""
 */
struct agb_instance {
	agb_name id;
	enum agb_instance_kind kind;
	enum agb_instance_state state;
	agb_name region;
	agb_name domain;
	agb_name rack;
	agb_addr address;
	agb_addr rpc;
	agb_addr runner;
	agb_name service;
	uint16_t slots;
	uint16_t connections;
	struct agb_resources capacity;
};

/**
 * struct agb_ev_instances - the instance list
 * @ok: false when the platform did not answer
 * @full: the items are the whole list, else changes since the last version
 */
struct agb_ev_instances {
	bool ok;
	bool full;
	uint64_t version;
	struct agb_instance *items;
	size_t items_len;
};

/**
 * enum agb_worker_status - what is known of a call to a worker agent
 * @AGB_WORKER_OK: answered
 * @AGB_WORKER_FENCED: refused, @epoch of the event is the higher one seen
 * @AGB_WORKER_LOST: no answer; it may have taken effect
 */
enum agb_worker_status {
	AGB_WORKER_OK,
	AGB_WORKER_FENCED,
	AGB_WORKER_LOST,
};

/**
 * struct agb_worker_task - a task that a worker reports as running
 * @task: "<job id>/<task number>"
 */
struct agb_worker_task {
	agb_id task;
	struct agb_attempt attempt;
	struct agb_resources need;
};

/**
 * struct agb_ev_session - answer to a session takeover
 * @worker: instance id
 * @boot: changes when the worker has restarted with empty memory
 * @slots: attempts that its runner is busy with
 * @seq: number of its last event
 * @leaving: it takes no new work
 */
struct agb_ev_session {
	agb_name worker;
	enum agb_worker_status status;
	uint64_t epoch;
	agb_name boot;
	struct agb_worker_task *tasks;
	size_t tasks_len;
	struct agb_attempt *slots;
	size_t slots_len;
	uint64_t seq;
	bool leaving;
};

/**
 * struct agb_worker_event - a change of a task on a worker
 * @started: it runs; else it has ended with @result
 * @text: result text of the task, owned
 */
struct agb_worker_event {
	uint64_t seq;
	agb_id task;
	struct agb_attempt attempt;
	bool started;
	enum agb_result result;
	char *text;
};

struct agb_worker_usage {
	agb_id task;
	struct agb_resources used;
};

/**
 * struct agb_ev_renew - answer to a renewal
 * @slots: attempts that its runner is busy with now
 */
struct agb_ev_renew {
	agb_name worker;
	enum agb_worker_status status;
	uint64_t epoch;
	uint64_t seq;
	bool leaving;
	struct agb_worker_event *events;
	size_t events_len;
	struct agb_worker_usage *usage;
	size_t usage_len;
	struct agb_attempt *slots;
	size_t slots_len;
};

enum agb_command_kind {
	AGB_COMMAND_START,
	AGB_COMMAND_STOP,
	AGB_COMMAND_THROTTLE,
	AGB_COMMAND_CHECKPOINT,
	AGB_COMMAND_REVOKE, /* attempt of a runner slot */
};

/**
 * struct agb_command_result - answer to one command
 * @ok: taken; of REVOKE: the attempt will never run
 * @busy: of REVOKE: the attempt is running
 */
struct agb_command_result {
	enum agb_command_kind kind;
	struct agb_attempt attempt;
	bool ok;
	bool busy;
	agb_name reason;
};

struct agb_ev_commands {
	agb_name worker;
	uint64_t tag;
	enum agb_worker_status status;
	uint64_t epoch;
	struct agb_command_result *items;
	size_t items_len;
};

/**
 * struct agb_event - one input of the reducer; owns all it points to
 * @token: of RPC_CALL: what AGB_EF_RPC_REPLY must carry
 * @rpc_ok: of RPC_REPLY: false when the peer did not answer
 * @rpc_sent: of a failed RPC_REPLY: the call may have been carried out
 */
struct agb_event {
	enum agb_event_type type;
	uint64_t tag;
	uint64_t token;
	uint64_t call_id;
	bool rpc_ok;
	bool rpc_sent;
	union {
		struct agb_ev_call call;
		struct agb_ev_upstream upstream;
		struct agb_store_result store;
		struct agb_ev_watch watch;
		struct agb_ev_instances list;
		struct agb_ev_session session;
		struct agb_ev_renew renew;
		struct agb_ev_commands commands;
		agb_x_args rpc_args;
		agb_x_res rpc_res;
	} u;
};

/**
 * agb_event_free() - free what an event owns
 * @ev: emptied
 */
void agb_event_free(struct agb_event *ev);

#endif

#ifndef AGB_EVENT_H
#define AGB_EVENT_H

/**
 * DOC: event
 *
 * Input events of the entry instance's reducer. The daemon creates them from
 * sockets, timers and signals; tests construct them directly.
 */

#include "gen/agb_proto.h"
#include "sched.h"
#include "store.h"
#include "types.h"

/*
 * A tag identifies a pending operation of the reducer and is returned with
 * the result. The top byte selects the sub-reducer (see node.h) that started
 * the operation; the remaining bytes are private to that sub-reducer.
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
	AGB_EV_TICK,	    /* timer expired */
	AGB_EV_TERM,	    /* SIGTERM */
	AGB_EV_CALL,	    /* call: request received from a client */
	AGB_EV_CALL_CLOSED, /* call_id: client closed its connection */
	AGB_EV_UPSTREAM,    /* upstream_result: an attempt on a runner ended */
	AGB_EV_STORE,	    /* tag, store: result of a store call */
	AGB_EV_WATCH,	    /* tag, watch: keys changed, or the watch broke */
	AGB_EV_INSTANCES,   /* list: full or incremental instance list */
	AGB_EV_SESSION,	    /* session: reply to a session takeover */
	AGB_EV_RENEW,	    /* renew: reply to a session renewal */
	AGB_EV_COMMANDS,    /* commands: reply to a batch of commands */
	AGB_EV_RPC_CALL,    /* token, rpc_args: RPC from another instance */
	AGB_EV_RPC_REPLY,   /* tag, rpc_ok, rpc_sent, rpc_res */
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
 * struct agb_ev_call - a request received from a client
 * @id: handle of the request in the edge module
 * @credential: lower-case hex SHA-256 of the bearer credential, or ""
 * @work: name of the service, or kind of job
 * @job: job id in GET, DELETE and explain requests
 * @key: idempotency key, or ""
 * @deadline_ms: relative to the arrival of the request; 0 if not specified
 * @wait_ms: long-poll timeout of a GET that waits for the job to finish
 * @body_bytes: request size, used for the cost of cross-region traffic
 * @tasks: number of tasks in a submitted job
 * @need: resources per task; all zero if not specified
 * @run_ms: declared run time of a task; 0 if not specified
 * @args: JSON arguments for the tasks of a job, owned by the event
 *
 * The body of a quick request is not copied; the edge module keeps it.
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
 * struct agb_ev_upstream - result of an attempt on a runner
 * @call_id: client request that the attempt belongs to
 * @result: OK if a complete response was received, with any HTTP status;
 *	NOT_STARTED if the runner refused the attempt or could not be reached;
 *	LOST otherwise
 * @reason: UPSTREAM_REFUSED, UPSTREAM_LOST, UPSTREAM_SHORT or DEADLINE
 * @http_status: status of a complete response
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
 * struct agb_instance - an instance as listed by the platform
 * @address: HTTP address of the worker agent or of the entry instance's edge
 * @rpc: ONC RPC address of an entry instance
 * @runner: HTTP address of a worker's runner, or ""
 * @service: service provided by that runner, or ""
 * @slots: number of requests that the runner serves concurrently
 * @connections: connection limit of the runner
 *
 * The platform's list is eventually consistent and lags by seconds.
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
 * struct agb_ev_instances - result of reading the instance list
 * @ok: false if the platform did not respond
 * @full: @items is the complete list; if false, the changes since the version
 *	requested
 */
struct agb_ev_instances {
	bool ok;
	bool full;
	uint64_t version;
	struct agb_instance *items;
	size_t items_len;
};

/**
 * enum agb_worker_status - result of a call to a worker agent
 * @AGB_WORKER_OK: the agent executed the call
 * @AGB_WORKER_FENCED: the agent rejected the caller's epoch as stale; the
 *	event's epoch field holds the higher epoch that it has seen
 * @AGB_WORKER_LOST: no response; the call may have taken effect
 */
enum agb_worker_status {
	AGB_WORKER_OK,
	AGB_WORKER_FENCED,
	AGB_WORKER_LOST,
};

/**
 * struct agb_worker_task - a running task as reported by a worker
 * @task: "<job id>/<task number>"
 */
struct agb_worker_task {
	agb_id task;
	struct agb_attempt attempt;
	struct agb_resources need;
};

/**
 * struct agb_ev_session - reply to a session takeover
 * @worker: instance id of the worker
 * @boot: boot id; a worker that restarted and lost its state has a new one
 * @slots: attempts that occupy the runner's slots
 * @seq: sequence number of the worker's last event
 * @leaving: the worker accepts no new work
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
 * struct agb_worker_event - state change of a task on a worker
 * @started: the task started; if false, it ended with @result
 * @text: output of the task, owned
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
 * struct agb_ev_renew - reply to a session renewal
 * @seq: sequence number of the worker's last event
 * @slots: attempts that currently occupy the runner's slots
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
	AGB_COMMAND_REVOKE, /* cancel an attempt in a runner slot */
};

/**
 * struct agb_command_result - result of one command
 * @ok: the worker accepted the command; for REVOKE, the attempt will never run
 * @busy: for REVOKE, the attempt is already running
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
 * struct agb_event - one input of the reducer; owns all memory it refers to
 * @token: for RPC_CALL, the token to be returned in AGB_EF_RPC_REPLY
 * @rpc_ok: for RPC_REPLY, false if no reply was received
 * @rpc_sent: for a failed RPC_REPLY, true if the peer may have executed the
 *	call
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
		struct agb_ev_upstream upstream_result;
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
 * agb_event_free() - free the memory owned by an event
 * @ev: zeroed afterwards
 */
void agb_event_free(struct agb_event *ev);

#endif

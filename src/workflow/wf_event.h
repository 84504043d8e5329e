#ifndef WF_EVENT_H
#define WF_EVENT_H

/**
 * DOC: wf_event
 *
 * Inputs and outputs of the workflow reducer, as data.
 */

#include "effect.h"
#include "store.h"
#include "wf_types.h"

/* Runners named in one call for advice. */
#define WF_ADVICE_RUNNERS_MAX 100

enum wf_event_type {
	WF_EV_TICK,	    /* time has passed */
	WF_EV_TERM,	    /* SIGTERM */
	WF_EV_DOC,	    /* doc: taken over by the reducer */
	WF_EV_FEED,	    /* feed: the instances' own keys */
	WF_EV_RUNNERS,	    /* runners: the registry */
	WF_EV_STORE,	    /* tag, store */
	WF_EV_CALL,	    /* call: a caller's request */
	WF_EV_ORDER_RESULT, /* order: a runner's answer */
	WF_EV_ADVICE,	    /* tag, advice: answer of the advice service */
	WF_EV_PEER_ADVICE_REQUEST, /* tag, ask: a peer wants advice fetched */
	WF_EV_PEER_ADVICE,	   /* tag, advice: what a peer fetched */
	WF_EV_PEER_PUSH,	   /* feed: a record that a peer has stored */
	WF_EV_PEER_PUT,		   /* tag, put: a peer wants a record stored */
	WF_EV_PEER_ACK,		   /* tag, on: whether a peer has answered */
	WF_EV_ORDERS,	       /* tag, orders: a leader's, to be carried out */
	WF_EV_ORDERS_ACK,      /* tag, taken: whether a peer took orders */
	WF_EV_RESULTS,	       /* results: of orders that a peer carried out */
	WF_EV_PAYLOAD_REQUEST, /* tag, text: a peer needs the text of a job */
	WF_EV_PAYLOAD,	       /* tag, on, text: what a peer knows of it */
};

enum wf_call_kind {
	WF_CALL_SUBMIT,
	WF_CALL_GET,
	WF_CALL_CANCEL,
	WF_CALL_QUEUE,
};

/**
 * struct wf_call - a caller's request
 * @id: handle of the connection's request
 * @error: why its body is not taken, or ""
 * @spec: of a submission; taken over by the reducer
 * @deadline_ms: how long the caller waits; 0 when it did not say
 */
struct wf_call {
	uint64_t id;
	enum wf_call_kind kind;
	char host[WF_HOST_LEN];
	char path[WF_HOST_LEN];
	char error[AGB_DETAIL_LEN];
	struct wf_spec *spec;
	uint32_t deadline_ms;
};

/**
 * enum wf_feed_id - parts of the instances' keys that are followed apart
 */
enum wf_feed_id {
	WF_FEED_CONTROL,
	WF_FEED_JOBS,
	WF_FEED_STATES,
	WF_FEEDS,
};

/**
 * struct wf_feed - what lies under a prefix of the store
 * @full: the items are all there is at @revision, else changes up to it
 */
struct wf_feed {
	enum wf_feed_id id;
	bool full;
	uint64_t revision;
	const struct agb_store_kv *items;
	size_t items_len;
};

/**
 * struct wf_runner_change - an entry of the registry that changed
 * @removed: the entry was removed; only @info.id holds
 */
struct wf_runner_change {
	bool removed;
	struct wf_runner_info info;
};

struct wf_registry_update {
	bool full;
	const struct wf_runner_change *items;
	size_t items_len;
};

/**
 * struct wf_task_ref - identity of a task
 */
struct wf_task_ref {
	wf_job_id job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

bool wf_task_ref_same(const struct wf_task_ref *a, const struct wf_task_ref *b);

enum wf_order_kind {
	WF_ORDER_START,
	WF_ORDER_STOP,
	WF_ORDER_HOLD,
	WF_ORDER_PACE,
};

/**
 * enum wf_order_status - what is known of an order to a runner
 * @WF_ORDER_OK: carried out
 * @WF_ORDER_UNSENT: certainly did not reach it
 * @WF_ORDER_LOST: no answer; it may have been, or may still be, carried out
 * @WF_ORDER_BUSY: an unhealthy runner has done nothing
 * @WF_ORDER_FENCED: a higher fence token has been seen there
 * @WF_ORDER_OLD: that run or a later one has ended or been stopped there
 * @WF_ORDER_LATE: its deadline had passed
 * @WF_ORDER_NO_ROOM: the runner refuses for want of room
 * @WF_ORDER_TICKET_EXPIRED: the approval has expired
 * @WF_ORDER_OTHER_INCARNATION: another life of the runner answered
 * @WF_ORDER_INVALID: the runner does not take this order at all
 * @WF_ORDER_UNRELAYED: the instance that should have sent it certainly did not
 * @WF_ORDER_NO_PAYLOAD: the same, because it does not have the job's text
 */
enum wf_order_status {
	WF_ORDER_OK,
	WF_ORDER_UNSENT,
	WF_ORDER_LOST,
	WF_ORDER_BUSY,
	WF_ORDER_FENCED,
	WF_ORDER_OLD,
	WF_ORDER_LATE,
	WF_ORDER_NO_ROOM,
	WF_ORDER_TICKET_EXPIRED,
	WF_ORDER_OTHER_INCARNATION,
	WF_ORDER_INVALID,
	WF_ORDER_UNRELAYED,
	WF_ORDER_NO_PAYLOAD,
};

enum wf_run_end {
	WF_END_DONE,
	WF_END_FAILED,
	WF_END_STOPPED,
	WF_END_LEASE_EXPIRED,
	WF_END_GANG_BROKEN,
	WF_END_GANG_TIMEOUT,
};

/**
 * struct wf_active_run - a run that a runner lists as present
 * @load: rough figure of the last half second: response time in ms of a
 *	task that lasts, else thousandths of a core in use
 */
struct wf_active_run {
	struct wf_task_ref task;
	uint32_t run;
	uint32_t percent;
	uint32_t load;
	char checkpoint[WF_CHECKPOINT_MAX + 1];
};

/**
 * struct wf_finished_run - a run that a runner lists as ended
 * @seq: its number in this life of the runner
 */
struct wf_finished_run {
	uint64_t seq;
	struct wf_task_ref task;
	uint32_t run;
	enum wf_run_end end;
	char checkpoint[WF_CHECKPOINT_MAX + 1];
};

/**
 * struct wf_order_result - a runner's answer
 * @fence: of the leader that sent the order
 * @runner, @incarnation: handle of the runner and its life when the order was sent
 * @task, @run, @is_probe, @sent_at: of the order
 * @number: of the order, when it was carried out for another instance
 * @relay: handle of the instance that carried it out, WF_NO_HANDLE for this one
 * @started_ms: start of the life that answered; 0 when it did not say
 * @clock_ms: its steady clock; 0 when it did not say
 */
struct wf_order_result {
	enum wf_order_kind kind;
	enum wf_order_status status;
	uint64_t number;
	uint32_t relay;
	uint64_t fence;
	uint32_t runner;
	uint32_t incarnation;
	struct wf_task_ref task;
	uint32_t run;
	bool is_probe;
	agb_time sent_at;
	int64_t started_ms;
	int64_t clock_ms;
	struct wf_active_run *active;
	size_t active_len;
	struct wf_finished_run *finished;
	size_t finished_len;
};

/**
 * struct wf_advice_request - a call for advice
 * @step: the step, as job id, occurrence and step
 * @estimate_ms: how long the service takes
 */
struct wf_advice_request {
	struct wf_task_ref step;
	uint32_t estimate_ms;
	uint32_t timeout_ms;
	agb_id *runners;
	size_t runners_len;
};

struct wf_ticket {
	agb_id runner;
	agb_id ticket;
};

/**
 * struct wf_advice - answer to a call for advice
 * @answered: the service has answered
 * @busy: it refused for too many waiting calls
 */
struct wf_advice {
	bool answered;
	bool busy;
	uint32_t valid_ms;
	struct wf_ticket *items;
	size_t items_len;
};

/**
 * struct wf_put_request - a record that another instance cannot store itself
 */
struct wf_put_request {
	const char *key;
	const char *val;
	size_t len;
	uint32_t timeout_ms;
};

enum wf_effect_type {
	WF_EF_STORE,		   /* tag, store, timeout_ms */
	WF_EF_REPLY,		   /* call_id, reply */
	WF_EF_ORDER,		   /* order */
	WF_EF_ADVICE_REQUEST,	   /* tag, ask: call the advice service */
	WF_EF_PEER_ADVICE_REQUEST, /* tag, peer, ask: let a peer call it */
	WF_EF_PEER_ADVICE_REPLY,   /* tag, advice: answer a peer */
	WF_EF_PEER_PUSH,    /* peer, push; with a tag, ends as WF_EV_PEER_ACK */
	WF_EF_PEER_PUT,	    /* tag, peer, record; ends as WF_EV_STORE */
	WF_EF_PEER_PING,    /* tag, peer */
	WF_EF_PUT_REPLY,    /* tag, put_res: answer a peer */
	WF_EF_ORDERS,	    /* tag, peer, orders: let a peer carry them out */
	WF_EF_ORDERS_REPLY, /* tag, on, clock: answer a leader's orders */
	WF_EF_RESULTS,	    /* peer, results */
	WF_EF_PAYLOAD_REQUEST, /* tag, peer, text: ends as WF_EV_PAYLOAD */
	WF_EF_PAYLOAD_REPLY,   /* tag, on, text: answer a peer */
	WF_EF_WATCH_REGISTRY,  /* on: follow the registry of runners */
	WF_EF_WATCH_FEED,      /* feed, on: follow a part of the own keys */
	WF_EF_FEED_INTERVAL,   /* feed, gap_ms between its deliveries */
	WF_EF_ALLOW_PEERS,     /* peers: addresses that may call */
	WF_EF_READY,	       /* on */
	WF_EF_LOG,	       /* log */
	WF_EF_EXIT,
};

/**
 * struct wf_reply - answer to a caller
 * @retry_s: seconds after which a refused caller may come back; 0 is none
 */
struct wf_reply {
	enum wf_call_kind kind;
	int http_status;
	uint32_t retry_s;
	enum wf_job_state state;
	uint32_t pending;
	char detail[AGB_DETAIL_LEN];
};

/**
 * struct wf_order - an order to a runner
 * @number: of an order that is carried out for another instance, else 0
 * @send_by: when it may be sent at the latest, on the clock of the instance
 *	that sends it; 0 is no limit
 * @deadline_ms: on the runner's clock; 0 leaves its lease as it is
 * @known_seq: ends up to this number are known already
 * @known_list: list of active runs that the leader has; 0 is none
 * @forget_seq: ends up to this number may be forgotten
 * @is_probe: a look at the lists that does not replace the regular hold
 * @origin: instance that has the text, for an order without it
 * @payload: spec of the job, owned; NULL when another instance has to get it
 */
struct wf_order {
	enum wf_order_kind kind;
	uint64_t number;
	agb_time send_by;
	uint32_t runner;
	uint32_t incarnation;
	agb_time sent_at;
	agb_id runner_id;
	agb_addr addr;
	uint64_t fence;
	int64_t deadline_ms;
	uint32_t timeout_ms;
	struct wf_task_ref task;
	uint32_t run;
	uint64_t forget_seq;
	uint64_t known_seq;
	uint32_t known_list;
	uint32_t percent; /* WF_ORDER_PACE: share at which the task works */
	uint32_t wait_ms;
	bool is_probe;
	char checkpoint[WF_CHECKPOINT_MAX + 1];
	agb_id ticket;
	agb_addr origin;
	char *payload;
	size_t payload_len;
};

/**
 * struct wf_runner_addr - where a runner is, which orders name by a handle of the
 * leader
 */
struct wf_runner_addr {
	uint32_t runner;
	uint32_t incarnation;
	agb_id id;
	agb_addr addr;
};

/**
 * struct wf_order_batch - orders for another instance to carry out
 * @fence: of the leader that sends them
 * @reply_to: where their results go
 */
struct wf_order_batch {
	uint64_t fence;
	agb_addr reply_to;
	struct wf_runner_addr *runners;
	size_t runners_len;
	struct wf_order *items;
	size_t len;
};

/**
 * struct wf_orders_ack - what became of a call that hands over orders
 * @answered: it was answered
 * @may_have_arrived: the other instance may have read it
 * @accepted: the orders are carried out
 * @peer_clock: of the other instance
 */
struct wf_orders_ack {
	bool answered;
	bool may_have_arrived;
	bool accepted;
	agb_time peer_clock;
};

/* A run of an earlier list that is still active. */
struct wf_kept_run {
	uint32_t index;
	uint32_t percent;
	uint32_t load;
};

/* A new checkpoint of the run at a place of an earlier list. */
struct wf_checkpoint_update {
	uint32_t index;
	char checkpoint[WF_CHECKPOINT_MAX + 1];
};

/**
 * struct wf_relayed_result - result of an order that another instance carried out
 * @base_list: list of active runs that @kept and @checkpoints refer to; 0 is none
 * @list: list that they and @new_runs make up; 0 when it is not kept
 */
struct wf_relayed_result {
	uint64_t number;
	enum wf_order_status status;
	int64_t started_ms;
	int64_t clock_ms;
	uint32_t base_list;
	uint32_t list;
	struct wf_kept_run *kept;
	size_t kept_len;
	struct wf_checkpoint_update *checkpoints;
	size_t checkpoints_len;
	struct wf_active_run *new_runs;
	size_t new_runs_len;
	struct wf_finished_run *finished;
	size_t finished_len;
};

/**
 * struct wf_payload - text of a job
 * @job: of the question; not set in the answer
 */
struct wf_payload {
	wf_job_id job;
	char *data;
	size_t len;
};

/**
 * struct wf_result_batch - results for the leader with a fence
 */
struct wf_result_batch {
	uint64_t fence;
	struct wf_relayed_result *items;
	size_t len;
};

/**
 * struct wf_record - a record for a peer
 * @val: owned
 */
struct wf_record {
	char key[AGB_X_KEY_MAX + 1];
	uint64_t revision;
	char *val;
	size_t len;
};

/* Records shown to a peer in one call. */
#define WF_PUSH_RECORDS_MAX 512

/**
 * struct wf_push - records that a peer is shown
 * @forward: it shows them to the other instances of its domain
 */
struct wf_push {
	bool forward;
	struct wf_record *items;
	size_t len;
};

/**
 * struct wf_put_result - what became of a record that a peer has sent
 */
struct wf_put_result {
	enum agb_store_status status;
	bool stored;
	uint64_t revision;
};

struct wf_event {
	enum wf_event_type type;
	uint64_t tag;
	uint64_t call_id;
	bool flag;
	union {
		struct wf_doc *doc;
		struct wf_feed feed;
		struct wf_registry_update runners;
		struct agb_store_result *store;
		struct wf_call *call;
		struct wf_order_result *order;
		struct wf_advice *advice;
		struct wf_advice_request *advice_request;
		struct wf_put_request put;
		struct wf_order_batch *orders;
		struct wf_orders_ack orders_ack;
		struct wf_result_batch *results;
		struct wf_payload payload;
	} u;
};

struct wf_effect {
	enum wf_effect_type type;
	uint64_t tag;
	uint64_t call_id;
	uint32_t timeout_ms;
	uint32_t interval_ms;
	enum wf_feed_id feed;
	bool flag;
	agb_time clock;
	agb_addr peer;
	agb_addr *peers;
	size_t peers_len;
	union {
		struct agb_store_op store;
		struct wf_reply reply;
		struct wf_order order;
		struct wf_advice_request advice_request;
		struct wf_advice advice;
		struct wf_record record;
		struct wf_push push;
		struct wf_put_result put_result;
		struct wf_order_batch orders;
		struct wf_result_batch results;
		struct wf_payload payload;
		struct agb_ef_log log;
	} u;
};

struct wf_effects {
	struct wf_effect *items;
	size_t len;
	size_t cap;
};

/**
 * wf_effects_add() - append one zeroed effect
 * Return: the new effect, valid until the next call.
 */
struct wf_effect *wf_effects_add(
    struct wf_effects *out, enum wf_effect_type type);

/**
 * wf_effects_log() - append a log line
 * @event: static string
 * @fmt: printf format of the "key=value" text
 */
void wf_effects_log(struct wf_effects *out, enum agb_log_level level,
    const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * wf_effects_log_run() - the same of a run of a task at a runner, whose
 * identity comes first in the line
 */
void wf_effects_log_run(struct wf_effects *out, enum agb_log_level level,
    const char *event, const struct wf_task_ref *task, uint32_t run,
    const char *runner, const char *fmt, ...)
    __attribute__((format(printf, 7, 8)));

/**
 * wf_order_result_init() - result of an order, as far as the order tells
 */
void wf_order_result_init(
    struct wf_order_result *res, const struct wf_order *o);

/**
 * wf_orders_free() - free what a list of orders owns
 */
void wf_orders_free(struct wf_order_batch *o);

/**
 * wf_results_free() - free what a list of results owns
 */
void wf_results_free(struct wf_result_batch *r);

/**
 * wf_effects_free() - free all effects and the array
 */
void wf_effects_free(struct wf_effects *out);

#endif

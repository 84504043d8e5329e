#ifndef WF_EVENT_H
#define WF_EVENT_H

/**
 * DOC: wf_event
 *
 * Events that the workflow reducer takes and effects that it returns, as plain
 * data.
 */

#include "effect.h"
#include "store.h"
#include "wf_doc.h"
#include "wf_job_id.h"

/* Maximum number of runners in one request to the advice service. */
#define WF_ADVICE_RUNNERS_MAX 100

enum wf_event_type {
	WF_EV_TICK,	    /* time has passed */
	WF_EV_TERM,	    /* SIGTERM was received */
	WF_EV_DOC,	    /* doc: the reducer takes ownership */
	WF_EV_FEED,	    /* feed: keys written by the instances */
	WF_EV_RUNNERS,	    /* runners: changes of the registry */
	WF_EV_STORE,	    /* tag, store: result; flag: a peer made the call */
	WF_EV_CALL,	    /* call: request of a client */
	WF_EV_ORDER_RESULT, /* order: result of an order to a runner */
	WF_EV_ADVICE,	    /* tag, advice: reply of the advice service */
	WF_EV_PEER_ADVICE_REQUEST, /* tag, advice_request: from a peer */
	WF_EV_PEER_ADVICE, /* tag, advice: a peer's reply to a request */
	WF_EV_PEER_PUSH, /* feed: a peer's push; flag: forward to the domain */
	WF_EV_PEER_PUT,	 /* tag, put: a peer asks to store a record */
	WF_EV_PEER_ACK,	 /* tag, flag: whether a peer answered a ping */
	WF_EV_PUSH_DONE, /* tag, push_outcome: of a push with a tag */
	WF_EV_ORDERS, /* tag, orders: from the leader, to be sent to runners */
	WF_EV_ORDERS_ACK, /* tag, orders_ack: whether a relay accepted orders */
	WF_EV_RESULTS,	  /* results: of orders that a relay has sent */
	WF_EV_PAYLOAD_REQUEST, /* tag, payload: a peer needs a job's payload */
	WF_EV_PAYLOAD, /* tag, flag, payload: reply; flag is false without it */
	WF_EV_PEER_LOST, /* peer: it closed or (flag) refused a connection */
};

enum wf_call_kind {
	WF_CALL_SUBMIT,
	WF_CALL_GET,
	WF_CALL_CANCEL,
	WF_CALL_QUEUE,
};

/**
 * struct wf_call - request of a client
 * @id: identifies the HTTP request that the reply belongs to
 * @error: why the body was rejected, or ""
 * @spec: job to submit; the reducer takes ownership
 * @deadline_ms: how long the client waits; 0 when not specified
 * @key: key of the client's account, or ""; a secret, which is not kept
 */
struct wf_call {
	uint64_t id;
	enum wf_call_kind kind;
	char host[WF_HOST_LEN];
	char path[WF_HOST_LEN];
	char error[AGB_DETAIL_LEN];
	struct wf_spec *spec;
	uint32_t deadline_ms;
	char key[WF_ACCOUNT_KEY_MAX + 1];
};

/**
 * enum wf_feed_id - subsets of the instances' keys that are watched separately
 */
enum wf_feed_id {
	WF_FEED_CONTROL,
	WF_FEED_JOBS,
	WF_FEED_STATES,
	WF_FEEDS,
};

/**
 * struct wf_feed - keys under one prefix of the store
 * @full: @items is the complete content at @revision; otherwise it holds the
 *	changes since the previous delivery, up to @revision
 */
struct wf_feed {
	enum wf_feed_id id;
	bool full;
	uint64_t revision;
	const struct agb_store_kv *items;
	size_t items_len;
};

/**
 * struct wf_runner_change - change of a registry entry
 * @removed: the entry was deleted or is malformed; only @info.id is valid
 * @malformed: it is malformed, which does not show that the runner has left
 */
struct wf_runner_change {
	bool removed;
	bool malformed;
	struct wf_runner_info info;
};

/**
 * struct wf_registry_update - content of the runner registry
 * @full: @items is the complete registry, otherwise the changes to it
 */
struct wf_registry_update {
	bool full;
	const struct wf_runner_change *items;
	size_t items_len;
};

/**
 * struct wf_task_ref - identifies a task
 */
struct wf_task_ref {
	wf_job_id job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
};

bool wf_task_ref_same(const struct wf_task_ref *a, const struct wf_task_ref *b);

/**
 * enum wf_order_kind - what a runner is ordered to do
 * @WF_ORDER_START: start a run
 * @WF_ORDER_STOP: stop a run, and never start it or an earlier one
 * @WF_ORDER_HOLD: extend the runner's lease and report its runs
 * @WF_ORDER_PACE: limit the CPU share of a best-effort task
 */
enum wf_order_kind {
	WF_ORDER_START,
	WF_ORDER_STOP,
	WF_ORDER_HOLD,
	WF_ORDER_PACE,
};

/**
 * enum wf_order_status - outcome of an order to a runner
 * @WF_ORDER_OK: carried out
 * @WF_ORDER_UNSENT: certainly did not reach the runner
 * @WF_ORDER_LOST: no reply; the order may have been or may still be carried out
 * @WF_ORDER_BUSY: the runner is unhealthy and did nothing
 * @WF_ORDER_FENCED: the runner has seen a higher fence token
 * @WF_ORDER_OLD: the runner has already ended or stopped this run or a later
 *	one
 * @WF_ORDER_LATE: the deadline of the order had passed
 * @WF_ORDER_NO_ROOM: the runner rejected the task for lack of free capacity
 * @WF_ORDER_TICKET_EXPIRED: the approval ticket has expired
 * @WF_ORDER_OTHER_INCARNATION: the runner restarted after the order was issued
 * @WF_ORDER_INVALID: the runner rejected the order as malformed
 * @WF_ORDER_UNRELAYED: the relay certainly did not send the order
 * @WF_ORDER_NO_PAYLOAD: the relay did not send the order because it could not
 *	get the payload of the job
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

/**
 * enum wf_run_end - how a run ended
 * @WF_END_DONE: success
 * @WF_END_FAILED: the task itself failed
 * @WF_END_STOPPED: stopped by an order
 * @WF_END_LEASE_EXPIRED: stopped because the runner's lease ran out
 * @WF_END_GANG_BROKEN: stopped because another member of its gang failed
 * @WF_END_GANG_TIMEOUT: the other members of its gang did not start in time
 */
enum wf_run_end {
	WF_END_DONE,
	WF_END_FAILED,
	WF_END_STOPPED,
	WF_END_LEASE_EXPIRED,
	WF_END_GANG_BROKEN,
	WF_END_GANG_TIMEOUT,
};

/**
 * struct wf_active_run - run that a runner reports as active
 * @load: average over the last half second: response time in ms for a
 *	long-running task, otherwise CPU usage in thousandths of a core
 */
struct wf_active_run {
	struct wf_task_ref task;
	uint32_t run;
	uint32_t percent;
	uint32_t load;
	char checkpoint[WF_CHECKPOINT_MAX + 1];
};

/* A runner lists at most this many ends in one reply. A list of this length may
 * leave out further ends, so a run that it does not name may have ended. */
#define WF_ENDS_PER_LIST 500

/**
 * struct wf_finished_run - run that a runner reports as ended
 * @seq: sequence number, counted since the runner process started
 */
struct wf_finished_run {
	uint64_t seq;
	struct wf_task_ref task;
	uint32_t run;
	enum wf_run_end end;
	char checkpoint[WF_CHECKPOINT_MAX + 1];
};

/**
 * struct wf_order_result - result of an order
 * @number: copied from the order
 * @relay: handle of the instance that relayed the order; WF_NO_HANDLE when this
 *	instance sent it
 * @fence: fence token of the leader that issued the order
 * @runner, @incarnation: handle of the runner and its incarnation when the
 *	order was issued
 * @task, @run, @is_probe, @sent_at: copied from the order
 * @started_ms: start time of the process that replied; 0 when not reported
 * @clock_ms: the runner's monotonic clock; 0 when not reported
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
 * struct wf_advice_request - request to the advice service
 * @step: identifies the step by job id, occurrence and step
 * @estimate_ms: expected duration of the call
 */
struct wf_advice_request {
	struct wf_task_ref step;
	uint32_t estimate_ms;
	uint32_t timeout_ms;
	agb_id *runners;
	size_t runners_len;
};

/* Approval of the advice service that a unit is started on a runner. */
struct wf_ticket {
	agb_id runner;
	agb_id ticket;
};

/**
 * struct wf_advice - reply of the advice service
 * @answered: the service replied
 * @busy: rejected because too many calls were waiting
 * @valid_ms: lifetime of the tickets
 */
struct wf_advice {
	bool answered;
	bool busy;
	uint32_t valid_ms;
	struct wf_ticket *items;
	size_t items_len;
};

/**
 * struct wf_put_request - record to be stored on behalf of an instance that
 * cannot reach the store
 */
struct wf_put_request {
	const char *key;
	const char *val;
	size_t len;
	uint32_t timeout_ms;
};

enum wf_effect_type {
	WF_EF_STORE,	      /* tag, store, timeout_ms */
	WF_EF_REPLY,	      /* call_id, reply */
	WF_EF_ORDER,	      /* order: send to its runner */
	WF_EF_ADVICE_REQUEST, /* tag, advice_request: call the advice service */
	WF_EF_PEER_ADVICE_REQUEST, /* tag, peer, advice_request */
	WF_EF_PEER_ADVICE_REPLY,   /* tag, advice: reply to a peer */
	WF_EF_PEER_PUSH, /* peer, push; with a tag, WF_EV_PUSH_DONE follows */
	WF_EF_PEER_PUT,	 /* tag, peer, record; WF_EV_STORE follows */
	WF_EF_PEER_PING, /* tag, peer; WF_EV_PEER_ACK follows */
	WF_EF_PUT_REPLY, /* tag, put_result: reply to a peer */
	WF_EF_ORDERS,	 /* tag, peer, orders: have a peer send them */
	WF_EF_ORDERS_REPLY, /* tag, flag (accepted), clock: reply to a peer */
	WF_EF_RESULTS,	    /* peer, results */
	WF_EF_PAYLOAD_REQUEST, /* tag, peer, payload; WF_EV_PAYLOAD follows */
	WF_EF_PAYLOAD_REPLY,   /* tag, flag (found), payload: reply to a peer */
	WF_EF_WATCH_REGISTRY,  /* flag: whether to watch the runner registry */
	WF_EF_WATCH_FEED,      /* feed, flag: whether to watch it */
	WF_EF_FEED_INTERVAL,   /* feed, interval_ms between two deliveries */
	WF_EF_ALLOW_PEERS,     /* peers: addresses that may make calls */
	WF_EF_READY,	       /* flag: whether the instance is ready */
	WF_EF_LOG,	       /* log */
	WF_EF_EXIT,
};

/**
 * struct wf_reply - reply to a client
 * @retry_s: seconds after which a rejected client may retry; 0 when not sent
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
 * struct wf_order - order to a runner
 * @number: given by the leader to an order that it sends through a relay, else
 *	0
 * @send_by: latest time to send it, on the clock of the instance that sends it;
 *	0 for no limit
 * @deadline_ms: expiry of the runner's lease, on the runner's clock, which the
 *	order extends; a start after it is rejected; 0 leaves the lease as it is
 * @forget_seq: the runner may forget finished runs up to this sequence number
 * @known_seq: finished runs up to this sequence number need not be reported
 *	again
 * @known_list: number of the list of active runs that the leader has, against
 *	which a relay may report differences; 0 for none
 * @percent: WF_ORDER_PACE: CPU share that the task may use
 * @wait_ms: WF_ORDER_HOLD: how long the runner may wait for changes to report
 * @is_probe: extra WF_ORDER_HOLD that fetches the lists without replacing the
 *	regular one
 * @origin: address of the instance that has the payload, for an order without
 *	it
 * @payload: data passed to the task, owned; NULL when the relay has to fetch it
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
	uint32_t percent;
	uint32_t wait_ms;
	bool is_probe;
	char checkpoint[WF_CHECKPOINT_MAX + 1];
	agb_id ticket;
	agb_addr origin;
	char *payload;
	size_t payload_len;
};

/* Number of incarnations of runners that the fence tokens of a leader
 * distinguish. */
#define WF_INCARNATIONS_MAX ((uint32_t)1 << 20)

/**
 * wf_order_token() - fence token of an order
 *
 * Tokens rise with the leaders and, for the orders of one leader, with the
 * incarnations of a runner: a runner that has restarted refuses what was meant
 * for its former process once it has got an order that was meant for it.
 */
uint64_t wf_order_token(const struct wf_order *o);

/**
 * struct wf_runner_addr - address of a runner, which relayed orders refer to by
 * the leader's handle
 */
struct wf_runner_addr {
	uint32_t runner;
	uint32_t incarnation;
	agb_id id;
	agb_addr addr;
};

/**
 * struct wf_order_batch - orders that the leader hands to a relay, which sends
 * them to the runners
 * @fence: fence token of the leader that issued them
 * @reply_to: address to which the results are sent
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
 * struct wf_orders_ack - outcome of the call that hands orders to a relay
 * @answered: the relay replied
 * @may_have_arrived: the relay may have received the call
 * @accepted: the relay sends the orders
 * @peer_clock: clock of the relay
 */
struct wf_orders_ack {
	bool answered;
	bool may_have_arrived;
	bool accepted;
	agb_time peer_clock;
};

/* Entry of an earlier list whose run is still active; index is its position
 * in that list. */
struct wf_kept_run {
	uint32_t index;
	uint32_t percent;
	uint32_t load;
};

/* New checkpoint of the run at a position of an earlier list. */
struct wf_checkpoint_update {
	uint32_t index;
	char checkpoint[WF_CHECKPOINT_MAX + 1];
};

/**
 * struct wf_relayed_result - result of a relayed order
 * @base_list: number of the list of active runs that @kept and @checkpoints
 *	refer to; 0 for none
 * @list: number of the list that results from applying @kept, @checkpoints and
 *	@new_runs; 0 when the relay does not keep it
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
 * struct wf_payload - payload of a job
 * @job: set in the request only
 */
struct wf_payload {
	wf_job_id job;
	char *data;
	size_t len;
};

/**
 * struct wf_result_batch - results of relayed orders
 * @fence: fence token of the leader that issued the orders
 */
struct wf_result_batch {
	uint64_t fence;
	struct wf_relayed_result *items;
	size_t len;
};

/**
 * struct wf_record - record sent to a peer
 * @revision: revision at which it was stored, or 0
 * @val: owned
 */
struct wf_record {
	char key[AGB_X_KEY_MAX + 1];
	uint64_t revision;
	char *val;
	size_t len;
};

/* Maximum number of job states, and of other records, in one push to a peer. A
 * message holds twice as many of each, as a job state may also be encoded as a
 * record. */
#define WF_PUSH_RECORDS_MAX (AGB_X_ITEMS_MAX / 2)

/**
 * struct wf_push - records pushed to a peer
 * @forward: the peer forwards them to the other instances of its failure domain
 */
struct wf_push {
	bool forward;
	struct wf_record *items;
	size_t len;
};

/**
 * enum wf_push_outcome - outcome of a push
 * @WF_PUSH_ACKED: the peer has received it
 * @WF_PUSH_LOST: it was sent, but not acknowledged
 * @WF_PUSH_UNSENT: it was certainly not sent, which tells nothing about the peer
 * @WF_PUSH_UNENCODABLE: no message can hold it, so that it must not be repeated
 */
enum wf_push_outcome {
	WF_PUSH_ACKED,
	WF_PUSH_LOST,
	WF_PUSH_UNSENT,
	WF_PUSH_UNENCODABLE,
};

/**
 * struct wf_put_result - outcome of a put on behalf of a peer
 * @stored: false when the key already existed, or the job of a submission has
 *	been cancelled
 * @revision: that of the key; 0 when it does not exist
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
		enum wf_push_outcome push_outcome;
		struct wf_order_batch *orders;
		struct wf_orders_ack orders_ack;
		struct wf_result_batch *results;
		struct wf_payload payload;
		const char *peer;
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
 * wf_effects_add() - append a zeroed effect
 * Return: the new effect, valid until the next call.
 */
struct wf_effect *wf_effects_add(
    struct wf_effects *out, enum wf_effect_type type);

/**
 * wf_effects_log() - append an effect that writes a log line
 * @event: static string
 * @fmt: printf format of the "key=value" text
 */
void wf_effects_log(struct wf_effects *out, enum agb_log_level level,
    const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * wf_effects_log_run() - append a log line about a run of a task; the line
 * starts with the task, run and runner
 */
void wf_effects_log_run(struct wf_effects *out, enum agb_log_level level,
    const char *event, const struct wf_task_ref *task, uint32_t run,
    const char *runner, const char *fmt, ...)
    __attribute__((format(printf, 7, 8)));

/**
 * wf_order_result_init() - initialize a result with the fields that are copied
 * from its order
 */
void wf_order_result_init(
    struct wf_order_result *res, const struct wf_order *o);

/**
 * wf_order_batch_free() - free the memory owned by a batch of orders
 */
void wf_order_batch_free(struct wf_order_batch *o);

/**
 * wf_result_batch_free() - free the memory owned by a batch of results
 */
void wf_result_batch_free(struct wf_result_batch *r);

/**
 * wf_effects_free() - free all effects and the array
 */
void wf_effects_free(struct wf_effects *out);

#endif

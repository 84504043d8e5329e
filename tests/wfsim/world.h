#ifndef WFSIM_WORLD_H
#define WFSIM_WORLD_H

/**
 * DOC: world
 *
 * State of a simulation, and the functions that its parts share.
 */

#include <uthash.h>

#include "processor.h"
#include "wfsim.h"

#define JOBS_MAX 4096
/* Time that a call for advice takes, and lifetime of an approval, by default.
 */
#define ADVICE_MS 10
#define TICKET_MS 2000
#define UNIX_BASE_MS 1700000000000LL
/* Longest lease that a runner accepts. */
#define HOLD_MAX_MS 10000
/* Age of the runners at the beginning. */
#define RUNNER_AGE_MS 30000
/* What the clock of a runner's first process shows at the beginning. */
#define CLOCK_BASE_MS 5000000
/* Approximate sizes of a start without the payload of its job, of another
 * order, and of a call between instances without its content, in bytes. */
#define START_BYTES 250
#define ORDER_BYTES 120
#define CALL_BYTES 100

struct sim_kv {
	char *key;
	char *val;
	size_t len;
	uint64_t mod_rev;
	uint64_t create_rev;
	int64_t lease;
	bool deleted;
};

struct lease {
	int64_t id;
	agb_time until;
	unsigned ttl_ms;
};

/* Run of a task at a runner. */
struct task_run {
	struct wf_task_ref task;
	uint32_t run;
	struct agb_resources need;
	agb_time started_at;
	agb_time ends_at;     /* 0 while it waits for its gang */
	agb_time works_since; /* when it started to make progress */
	uint32_t percent;
	uint32_t pace; /* CPU share that it may use, in percent */
	bool stopping;
	bool awaits_gang;
	enum wf_run_end end;
};

struct sim_runner {
	struct wf_runner_info info;
	struct wf_runner_info entry; /* what the registry says of it */
	bool up;
	bool unreachable;
	bool stalled;
	bool faulty;
	bool ignores_starts; /* starts are lost without an effect */
	bool loses_hold;     /* the answer to the next hold is lost */
	unsigned start_delay_ms;
	bool crashed_silently; /* unreachable until it is back */
	unsigned wall_clock_back_ms;
	int64_t clock_base_ms;
	bool unregistered;
	bool listed;
	agb_time started_at;
	agb_time lease_until;
	agb_time delist_at;
	uint64_t fence;
	uint64_t seq;
	struct task_run *runs;
	size_t runs_len;
	struct wf_finished_run *finished;
	size_t finished_len;
	struct wf_finished_run *barred; /* runs that must not start any more */
	size_t barred_len;
};

struct sim_core {
	const struct sim *s;
	struct wf_core *core;
	struct sim_processor cpu;
	struct sim_event *waiting; /* events that wait until it is free */
	struct sim_event **waiting_end;
	bool takes_waiting;
	unsigned gen; /* incremented when the process ends and when it starts */
	bool up;
	agb_time frozen_until;
	bool runners_unreachable;
	bool isolated;
	bool watches_registry;
	struct {
		bool watched;
		bool synced;
		unsigned generation;
		uint32_t interval_ms;
		uint64_t delivered_rev;
	} feeds[WF_FEEDS];
	enum sim_store_mode store;
	unsigned late_write_ms;
	agb_time tick_at;
	unsigned link_kbps;
	agb_time advice_free_at; /* when its calls for advice are answered */
	agb_time link_free_at;	 /* when its link has sent what is queued */
	uint64_t bytes_sent;
	bool ready;
};

/* Of a gang, the first task counts the failed runs of the whole, and has the
 * number of the last one. */
struct sim_task {
	uint32_t starts;
	uint32_t failed;
	uint32_t gang_failed;
	uint32_t gang_failed_run;
	bool done;
	bool done_observed;
};

struct sim_job {
	wf_job_id id;
	struct wf_spec spec;
	size_t queue;
	unsigned status;
	unsigned starts;
	unsigned remote;
	unsigned wait_lines;
	char wait_line[256];
	agb_time started_at;
	agb_time done_at;
	agb_time cancel_at;
	bool cancel_acked;
	unsigned cancel_status;
	bool cancel_sent;
	agb_time accepted_at; /* by the first answer 200 */
	unsigned get_status;
	enum wf_job_state get_state; /* most advanced in an answer */
	unsigned elsewhere_status;
	bool cancelled_elsewhere; /* such a call may cancel a later namesake */
	unsigned retry_s;
	unsigned failing_runs; /* runs up to this number fail */
	unsigned run_ms;       /* run time; 0 for that of the estimate */
	agb_time waits_since;  /* since when it waits though there is room */
	struct sim_task *tasks;
	UT_hash_handle hh;
};

/* Event of the simulation; fn interprets tag, data, a and b. An event for an
 * instance is dropped when the process with generation gen has ended. */
struct sim_event {
	agb_time at;
	uint64_t seq; /* order of events at the same time */
	void (*fn)(struct sim *s, struct sim_event *e);
	unsigned core;
	unsigned gen;
	uint64_t tag;
	void *data;
	void (*free_data)(void *data); /* for an event that is dropped */
	uint64_t a, b;
	struct sim_event *next; /* in the list of a busy instance */
};

/* Request for the payload of a job. */
struct payload_request {
	unsigned from;
	unsigned from_gen;
	uint64_t tag;
	wf_job_id job;
};

/* A client account as the latest document has it. Until @before_until its limit
 * may still have been @before for starts that arrive at runners. */
struct sim_account {
	struct wf_account set;
	struct agb_resources before;
	agb_time before_until;
};

struct sim {
	struct sim_options o;
	uint64_t random;
	agb_time now;
	struct sim_event **heap;
	size_t heap_len, heap_cap;
	uint64_t ev_seq;
	struct sim_kv *kvs;
	size_t kvs_len;
	struct sim_kv *history;
	size_t history_len;
	uint64_t compacted_rev;
	uint64_t rev;
	struct lease *leases;
	size_t leases_len;
	int64_t next_lease;
	enum sim_store_mode store;
	unsigned gang_timeouts;
	unsigned store_calls;
	unsigned full_reads;
	unsigned relayed_writes;
	unsigned relayed_orders;
	unsigned direct_orders;
	unsigned payload_bytes;
	unsigned payload_calls;
	struct payload_request *payload_requests;
	size_t payload_requests_len;
	unsigned store_loss_percent;
	unsigned store_slow_ms;
	unsigned advice_calls;
	unsigned advice_runners;
	bool advice_away;
	unsigned load_lines;
	unsigned account_lines;
	uint64_t doc_version;
	struct sim_account *accounts;
	struct sim_core cores[SIM_CORES_MAX];
	struct sim_runner runners[SIM_RUNNERS_MAX];
	struct sim_job *jobs;
	size_t jobs_len;
	struct sim_job *jobs_by_id;
	/* Callers of puts and of order batches, by token minus one. */
	struct {
		unsigned core;
		unsigned gen;
		uint64_t tag;
	} * puts;
	size_t puts_len;
	struct {
		unsigned core;
		unsigned gen;
		uint64_t tag;
		bool answered;
	} * calls;
	size_t calls_len;
	unsigned violations;
	char violation[512];
};

struct store_call {
	struct agb_store_op op;
	struct agb_store_result res;
	bool made_by_peer;
};

/* @gives_up_at: time at which the sender gives the order up as lost */
struct order_call {
	struct wf_order o;
	struct wf_order_result res;
	agb_time wait_until;
	agb_time gives_up_at;
};

/* events.c */
uint32_t sim_rnd(struct sim *s, uint32_t max);
bool sim_chance(struct sim *s, unsigned percent);
struct sim_event *sim_schedule(
    struct sim *s, agb_time in, void (*fn)(struct sim *, struct sim_event *));
struct sim_event *sim_pop_event(struct sim *s);
struct sim_event *sim_schedule_core(struct sim *s, unsigned ci, agb_time in,
    void (*fn)(struct sim *, struct sim_event *));
void sim_attach(struct sim_event *e, void *data, void (*free_data)(void *data));

/* delivery.c */
/* Time that the instance has worked on its current event. What it sends now
 * leaves it that much later. */
agb_time sim_turn_time(const struct sim_core *c);
extern const struct wf_meter_ops sim_meter_ops;
/* Whether an event has to wait because the instance works on another one, or
 * because others wait already. */
bool sim_is_busy(const struct sim *s, const struct sim_core *c);
/* Return: true when the process that the event is for can handle it now. If the
 * process is frozen, the event is scheduled again for when it resumes; if it is
 * busy, the event waits until it is free. Then the new event owns the data. If
 * the process has ended, the event is dropped. */
bool sim_deliver_or_postpone(struct sim *s, struct sim_event *e,
    void (*fn)(struct sim *, struct sim_event *));

/* link.c */
/* Time until a small message of an instance arrives, which no other message
 * delays. */
agb_time sim_message_delay(const struct sim *s, unsigned ci);
/* Time until the timer of a call of an instance ends. */
agb_time sim_call_timeout(
    const struct sim *s, unsigned ci, uint32_t timeout_ms);
/* Queues a message on the link of an instance.
 * Return: the time until it arrives. */
agb_time sim_link_send(struct sim *s, unsigned ci, size_t bytes);
/* Index of the instance with an address. */
unsigned sim_core_by_addr(const char *rpc);
/* Whether calls between two instances arrive. */
bool sim_linked(const struct sim *s, unsigned a, unsigned b);

/* store.c */
void sim_expire_leases(struct sim *s, struct sim_event *e);
void sim_store_call_free(void *data);
void sim_store_answer_arrives(struct sim *s, struct sim_event *e);
void sim_send_store(struct sim *s, unsigned ci, struct wf_effect *ef);
void sim_watch_feed(struct sim *s, unsigned ci, const struct wf_effect *ef);

/* runner.c */
int64_t sim_runner_clock(const struct sim *s, const struct sim_runner *r);
void sim_step_runners(struct sim *s, struct sim_event *e);
/* Response time of a long-running task. Each best-effort task on the same
 * runner adds to it in proportion to its CPU share. */
uint32_t sim_runner_response_ms(struct sim *s, const struct sim_runner *r);
void sim_fill_lists(struct sim *s, struct sim_runner *r, struct order_call *c);
void sim_do_order(struct sim *s, struct sim_runner *r, struct order_call *c);

/* check.c */
/* Whether two tasks have the same name at a runner, which has the digits of the
 * job only. */
bool sim_same_name(const struct wf_task_ref *a, const struct wf_task_ref *b);
/* Checks the answer to a request for the state of a job. */
void sim_check_shown(struct sim *s, struct sim_job *j, enum wf_job_state state);
void sim_report_violation(struct sim *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void sim_check_start(struct sim *s, const struct sim_runner *r,
    struct sim_job *j, const struct wf_order *o);
/* Checks the state that is reported of a job at the end. */
void sim_check_end(struct sim *s, struct sim_job *j);

/* order.c */
void sim_send_order(struct sim *s, unsigned ci, struct wf_effect *ef);

/* registry.c */
void sim_send_first_registry(struct sim *s, struct sim_event *e);
void sim_send_registry_to_all(struct sim *s);
/* Removes a runner that is down or unreachable from the registry after three
 * missed heartbeats, and adds it again when it is back. */
void sim_update_registry(struct sim *s, struct sim_event *e);

/* advice.c */
void sim_send_advice(struct sim *s, unsigned ci, const struct wf_effect *ef);

/* peer.c */
void sim_send_push(struct sim *s, unsigned ci, struct wf_effect *ef);
void sim_send_put(struct sim *s, unsigned ci, struct wf_effect *ef);
void sim_send_ping(struct sim *s, unsigned ci, const struct wf_effect *ef);
void sim_send_put_reply(struct sim *s, unsigned ci, const struct wf_effect *ef);

/* relay.c */
void sim_send_orders(struct sim *s, unsigned ci, struct wf_effect *ef);
void sim_send_orders_reply(
    struct sim *s, unsigned ci, const struct wf_effect *ef);
void sim_send_results(struct sim *s, unsigned ci, struct wf_effect *ef);
void sim_send_payload_request(
    struct sim *s, unsigned ci, const struct wf_effect *ef);
void sim_send_payload_reply(
    struct sim *s, unsigned ci, const struct wf_effect *ef);

/* instance.c */
void sim_handle_event(struct sim *s, unsigned ci, struct wf_event *ev);
/* With relays there are two failure domains. */
const char *sim_domain_of(const struct sim *s, unsigned i);
void sim_core_start(struct sim *s, struct sim_event *e);

/* waits.c */
/* Runs accounts with limits; the caller frees the simulation. */
struct sim *sim_run_accounts(unsigned seed);

/* client.c */
struct sim_job *sim_job_find(const struct sim *s, const char *id);
struct sim_task *sim_task_find(
    struct sim_job *j, const struct wf_task_ref *ref);
void sim_take_reply(struct sim *s, const struct wf_effect *ef);

#endif

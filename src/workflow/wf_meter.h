#ifndef WF_METER_H
#define WF_METER_H

/**
 * DOC: wf_meter
 *
 * Measurements that tell why a leader falls behind: the time that the parts of
 * its turns take, the age of start orders and of approvals, and what became of
 * both. A turn handles one event and carries out its effects. The meter
 * outlives the leader, so that its totals never decrease while the process
 * runs.
 */

#include "wf_event.h"

/* Number of values of enum wf_order_status. */
#define WF_ORDER_STATUSES (WF_ORDER_NO_PAYLOAD + 1)

/* Number of upper bounds in wf_meter_bounds_s. */
#define WF_METER_BOUNDS 12

/* Interval of the log line "load". */
#define WF_METER_LINE_MS 1000

/* Maximum length of the text of the log line "load", with its final 0. */
#define WF_METER_LINE_MAX 768

/**
 * enum wf_part - parts of a turn
 * @WF_PART_EVENT: handling of the event, and all that has no part of its own
 * @WF_PART_FLEET: holds, stops and leases of runners
 * @WF_PART_SORT: sorting of the queue and claims of pending approvals
 * @WF_PART_GANGS: placement of gangs
 * @WF_PART_TASKS: placement of other tasks
 * @WF_PART_COMMIT: writes of job states
 * @WF_PART_SHOW: states and counts sent to the other instances
 * @WF_PART_OUTBOX: routing of orders, their timeouts
 * @WF_PART_EFFECTS: encoding and sending by the I/O modules
 */
enum wf_part {
	WF_PART_EVENT,
	WF_PART_FLEET,
	WF_PART_SORT,
	WF_PART_GANGS,
	WF_PART_TASKS,
	WF_PART_COMMIT,
	WF_PART_SHOW,
	WF_PART_OUTBOX,
	WF_PART_EFFECTS,
	WF_PARTS,
};

/**
 * enum wf_tally - counted decisions
 * @WF_TALLY_ASSIGNED: tasks assigned to a runner
 * @WF_TALLY_CONFIRMED: tasks whose runner has confirmed the start
 * @WF_TALLY_REQUEUED: tasks returned to the queue without success
 * @WF_TALLY_APPROVALS: approvals received
 * @WF_TALLY_EXPIRED: tasks whose approval expired before their start was sent
 * @WF_TALLY_REFUSED: starts refused by the runner as their approval had expired
 * @WF_TALLY_CALLS_FIRST: calls for the first approvals of a step
 * @WF_TALLY_CALLS_FURTHER: calls for approvals of further runners
 * @WF_TALLY_CALLS_RENEWED: calls for new tickets of approved runners
 * @WF_TALLY_SETS_USED: sets of approvals, those of one step that are valid
 *	together, by which a task was assigned
 * @WF_TALLY_SETS_EXPIRED: sets of approvals that expired before that
 * @WF_TALLY_WAITS_NEAR: steps that waited for near room, and started tasks there
 * @WF_TALLY_WAITS_VAIN: steps that waited for near room in vain
 * @WF_TALLY_REMOTE: tasks started remote, see wf_locality.h
 */
enum wf_tally {
	WF_TALLY_ASSIGNED,
	WF_TALLY_CONFIRMED,
	WF_TALLY_REQUEUED,
	WF_TALLY_APPROVALS,
	WF_TALLY_EXPIRED,
	WF_TALLY_REFUSED,
	WF_TALLY_CALLS_FIRST,
	WF_TALLY_CALLS_FURTHER,
	WF_TALLY_CALLS_RENEWED,
	WF_TALLY_SETS_USED,
	WF_TALLY_SETS_EXPIRED,
	WF_TALLY_WAITS_NEAR,
	WF_TALLY_WAITS_VAIN,
	WF_TALLY_REMOTE,
	WF_TALLIES,
};

/**
 * struct wf_backlog - bytes that peers have not been sent yet
 * @bytes: sum over the connections
 * @largest: largest value of a connection
 */
struct wf_backlog {
	size_t bytes;
	size_t largest;
};

/**
 * struct wf_meter_ops - what a meter reads from the process it runs in
 * @clock: time of a clock that never goes back
 * @backlog: bytes that peers have not been sent yet
 */
struct wf_meter_ops {
	agb_time (*clock)(void *arg);
	void (*backlog)(void *arg, struct wf_backlog *out);
};

/**
 * struct wf_histogram - observations by size
 * @buckets: number of observations up to each of wf_meter_bounds_s and above
 *	the previous one; the last bucket has no bound
 */
struct wf_histogram {
	uint64_t buckets[WF_METER_BOUNDS + 1];
	uint64_t count;
	agb_time sum;
};

/**
 * struct wf_meter_totals - sums since the start of the process
 * @examined: queued steps, and runners for them, that dispatch passes have
 *	looked at: the size of the passes, whatever the speed of the machine
 * @queues_compared: queues of the document that lookups by name or by route have
 *	compared
 * @held_by_limit, @held_by_share: accounts whose limit or share has held work
 *	back, counted once a second
 */
struct wf_meter_totals {
	uint64_t turns;
	uint64_t examined;
	uint64_t queues_compared;
	uint64_t held_by_limit;
	uint64_t held_by_share;
	agb_time parts[WF_PARTS];
	uint64_t tallies[WF_TALLIES];
};

/**
 * struct wf_meter - measurements of an instance
 * @ops: NULL when nothing can be read; then no times are measured
 * @depth: number of turns that have begun and not ended: an effect can cause
 *	another event before it returns, which is part of the outer turn
 * @logged: totals at the last log line
 * @longest_turn: since the start of the process
 * @recent_longest_turn, @recent_start_age: largest values since the last log
 *	line
 * @start_results: answers to start orders, or their absence, by outcome
 * @start_age: time from a start order to its result
 * @approval_age: time from an approval to the start order that uses it
 */
struct wf_meter {
	const struct wf_meter_ops *ops;
	void *arg;
	unsigned depth;
	agb_time turn_began_at;
	agb_time lap_began_at;
	struct wf_meter_totals total;
	struct wf_meter_totals logged;
	agb_time logged_at;
	agb_time longest_turn;
	agb_time recent_longest_turn;
	agb_time recent_start_age;
	struct wf_histogram turn_time;
	struct wf_histogram start_age;
	struct wf_histogram approval_age;
	uint64_t start_results[WF_ORDER_STATUSES];
};

/**
 * struct wf_pass_room - processors as the last dispatch pass left them
 * @free_cpu_milli: free on usable runners, in thousandths
 * @reserved_cpu_milli: the part of them that is reserved for gangs
 * @kept_out: steps that had room and approvals, if it were not for reservations
 */
struct wf_pass_room {
	int64_t free_cpu_milli;
	int64_t reserved_cpu_milli;
	uint32_t kept_out;
};

/**
 * struct wf_load - state of the leader that the log line "load" reports
 * @queue: steps with waiting tasks
 * @gangs: gangs among them
 * @in_flight: tasks that are assigned and not confirmed by their runner
 * @limit: upper limit of @in_flight
 * @orders: orders whose relay has not reported a result
 */
struct wf_load {
	uint32_t queue;
	uint32_t gangs;
	uint32_t in_flight;
	uint32_t limit;
	uint32_t orders;
	struct wf_pass_room room;
};

/* Upper bounds of the buckets of all histograms, in seconds. */
extern const double wf_meter_bounds_s[WF_METER_BOUNDS];

const char *wf_part_name(enum wf_part part);
const char *wf_tally_name(enum wf_tally tally);

/**
 * wf_meter_init() - initialize a meter
 * @ops: may be NULL, see struct wf_meter
 */
void wf_meter_init(
    struct wf_meter *m, const struct wf_meter_ops *ops, void *arg);

/**
 * wf_meter_begin_turn() - begin a turn
 */
void wf_meter_begin_turn(struct wf_meter *m);

/**
 * wf_meter_lap() - add the time since the last lap, or since the turn began, to
 * a part
 *
 * Reads the clock once; outside a turn it does nothing.
 */
void wf_meter_lap(struct wf_meter *m, enum wf_part part);

/**
 * wf_meter_end_turn() - end a turn; the time since the last lap is that of
 * its effects
 */
void wf_meter_end_turn(struct wf_meter *m);

void wf_meter_count(struct wf_meter *m, enum wf_tally tally);

void wf_meter_count_many(struct wf_meter *m, enum wf_tally tally, uint64_t n);

/**
 * wf_meter_add_examined() - count steps or runners that a dispatch pass looks at
 */
void wf_meter_add_examined(struct wf_meter *m, uint64_t n);

/**
 * wf_meter_add_result() - count the result of an order, if it is a start
 */
void wf_meter_add_result(
    struct wf_meter *m, const struct wf_order_result *res, agb_time now);

/**
 * wf_meter_add_approval_age() - count the age of an approval whose start is
 * sent
 */
void wf_meter_add_approval_age(struct wf_meter *m, agb_time age);

void wf_histogram_add(struct wf_histogram *h, agb_time value);

/**
 * wf_meter_line_due() - whether the interval of the log line has passed
 */
bool wf_meter_line_due(const struct wf_meter *m, agb_time now);

/**
 * wf_meter_dispatch_time() - time that all dispatch passes have taken
 */
agb_time wf_meter_dispatch_time(const struct wf_meter *m);

/**
 * wf_meter_format_line() - format the log line for the time since the last one
 * @text: buffer of WF_METER_LINE_MAX bytes
 */
void wf_meter_format_line(const struct wf_meter *m, const struct wf_load *load,
    agb_time now, char *text);

/**
 * wf_meter_restart_line() - start the interval of the next log line
 */
void wf_meter_restart_line(struct wf_meter *m, agb_time now);

#endif

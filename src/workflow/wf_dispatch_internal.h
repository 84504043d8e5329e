#ifndef WF_DISPATCH_INTERNAL_H
#define WF_DISPATCH_INTERNAL_H

/**
 * DOC: wf_dispatch_internal
 *
 * State of a pass over the queue of units, and the functions that the
 * wf_dispatch*.c files share.
 */

#include "wf_leader.h"

/* A queued unit with the keys by which the queue is sorted. @over_share: its
 * account has its share of the resources without it. */
struct queued_unit {
	struct wf_unit *unit;
	const struct wf_queue *queue;
	int urgency;
	uint32_t priority;
	agb_time due_at;
	bool over_share;
};

/**
 * struct candidate - a runner that has room for tasks of a unit
 * @fit: how many of them it has room for
 * @free_cpu: free processors, in thousandths
 * @rack_match: it is on the rack of the step's data, if there is one
 * @reserved: room on it is reserved for a gang
 * @rack: its last label, which names its rack
 */
struct candidate {
	uint32_t runner;
	uint32_t fit;
	int64_t free_cpu;
	bool rack_match;
	bool reserved;
	const char *rack;
};

/* Room that is reserved on a runner for gangs; @start_at is when the first of
 * them is expected to start, 0 when there are none. */
struct reservation {
	struct agb_resources need;
	agb_time start_at;
};

/* When a task is expected to end, and the resources that it frees then. */
struct run_end {
	agb_time at;
	struct agb_resources need;
};

/* Expected ends of the tasks of a runner, earliest first: @len items of the
 * pass's @ends from @first on. Computed when needed, and again after a task was
 * assigned to the runner. */
struct run_ends {
	bool valid;
	uint32_t len;
	size_t first;
};

/* A runner and its free processors, in thousandths. */
struct runner_room {
	uint32_t runner;
	int64_t cpu;
};

/* A runner near the data of a step, or one on which its group may be; @rack as
 * in struct candidate. */
struct near_runner {
	uint32_t runner;
	const char *rack;
};

/**
 * struct dispatch_pass - state of one pass over the queue
 * @candidates: scratch list of runners with room for the unit being placed
 * @stale: scratch list of the approved runners whose ticket has expired, or of
 *	all eligible runners, for the unit being placed
 * @reservations, @run_ends: by runner index
 * @ends: expected ends that @run_ends refers to, in one array, as each gang
 *	without room reads those of all its runners
 * @reservations_made: number of gangs for which room was reserved
 * @tasks_with_advice: waiting tasks of units earlier in the queue that have
 *	tickets or pending calls for advice
 * @claimed_cpu_milli: processors that units earlier in the queue will take with
 *	their tickets, or once their calls for advice are answered; of units whose
 *	advice takes no longer than ADVICE_FAST_MS
 * @awaited_cpu_milli: the same for the other units
 * @soon_queue, @rooms_soon, @soon_cpu_milli: see update_rooms_soon(); the rooms by
 *	runner index, and the sum of their processors
 * @rooms: usable runners of @service
 * @free_cpu: sum of the free processors of @rooms, in thousandths
 * @fit_reserved: tasks of the unit being placed for which only reserved room was
 *	found
 * @kept_out: see struct wf_pass_room
 * @lacks_room: a unit that was ready waits for room
 * @units, @units_len: the queued units, in the order in which they are placed
 * @near: scratch list of near runners of the unit being placed, allocated for
 *	the first unit that needs it
 * @short_service, @room_short: whether room is short for this service, as of the
 *	first unit of it that asked
 */
struct dispatch_pass {
	struct wf_leader *l;
	const struct wf_now *now;
	struct candidate *candidates;
	uint32_t *stale;
	struct reservation *reservations;
	struct run_ends *run_ends;
	struct run_end *ends;
	size_t ends_len;
	size_t ends_cap;
	uint32_t reservations_made;
	uint64_t tasks_with_advice;
	int64_t claimed_cpu_milli;
	int64_t awaited_cpu_milli;
	const struct wf_queue *soon_queue;
	struct agb_resources *rooms_soon;
	int64_t soon_cpu_milli;
	const char *service;
	struct runner_room *rooms;
	size_t rooms_len;
	int64_t free_cpu;
	uint64_t fit_reserved;
	uint32_t kept_out;
	bool lacks_room;
	const struct queued_unit *units;
	size_t units_len;
	struct near_runner *near;
	size_t near_len;
	const char *short_service;
	bool room_short;
	struct wf_effects *out;
};

/* A runner and the number of tasks that it is expected to have room for. */
struct runner_offer {
	uint32_t fit;
	uint32_t runner;
};

/**
 * struct gang_plan - when and where a gang that does not fit now can start
 * @start_at: expected time; AGB_TIME_MAX when it is not known
 * @offers: runners that it may use and their room at that time, most first
 * @to_renew: number of the first of these that may be named in one round of
 *	calls: those that it needs, and as many others as the same number of calls
 *	can name
 */
struct gang_plan {
	agb_time start_at;
	struct runner_offer *offers;
	size_t len;
	size_t to_renew;
};

/* ---- wf_dispatch_queue.c ---- */

/**
 * dispatch_sort_queue() - list the queued units in the order in which they are
 * placed
 * @list: set to the list, which the caller frees
 * Return: its length.
 */
size_t dispatch_sort_queue(
    struct wf_leader *l, agb_time now, struct queued_unit **list);

/* ---- wf_dispatch_account.c ---- */

/**
 * dispatch_sort_by_share() - move units whose account is over its share behind
 * the others, if room is short
 */
void dispatch_sort_by_share(
    struct wf_leader *l, agb_time now, struct queued_unit *list, size_t len);

/**
 * dispatch_account_room() - number of waiting tasks of a unit that the limit of
 * its account lets start now; of a gang all or none
 */
uint32_t dispatch_account_room(
    const struct dispatch_pass *p, const struct wf_unit *u);

/**
 * dispatch_note_lack_of_room() - note that a unit waits for room, unless it
 * waits for advice
 */
void dispatch_note_lack_of_room(
    struct dispatch_pass *p, const struct wf_unit *u, const struct wf_queue *q);

/**
 * dispatch_end_accounts() - keep what the pass has found out about accounts,
 * and write the log lines about those that are held back
 */
void dispatch_end_accounts(
    const struct dispatch_pass *p, const struct queued_unit *list, size_t len);

/* ---- wf_dispatch_candidates.c ---- */

/**
 * dispatch_free_cpu_milli() - free processors of all usable runners, in
 * thousandths
 * @service: that of the runners; NULL for any
 */
int64_t dispatch_free_cpu_milli(
    const struct wf_leader *l, const char *service, agb_time now);

/**
 * dispatch_expected_run_time() - expected run time of the tasks of a unit, with
 * the margin that plans use
 */
agb_time dispatch_expected_run_time(const struct wf_unit *u);

/**
 * dispatch_limit_spread() - limit the number of tasks that a runner has room for
 * to what the unit may have on one runner
 */
uint32_t dispatch_limit_spread(
    const struct wf_unit *u, const struct wf_runner *r, uint32_t fit);

/**
 * dispatch_eligible() - whether a unit may run on a runner
 */
bool dispatch_eligible(const struct dispatch_pass *p, const struct wf_unit *u,
    const char *service, uint32_t ri);

/**
 * dispatch_is_placeable() - whether the usable runners could take a task of a
 * unit, or a whole gang, if nothing ran on them
 */
bool dispatch_is_placeable(
    const struct wf_leader *l, const struct queued_unit *x, agb_time now);

/**
 * dispatch_collect_candidates() - list the runners that have room for a unit in
 * the pass's list @candidates
 * @stale_len: number of approved runners whose ticket has expired, which go to
 *	the list @stale instead
 * Return: number of candidates.
 */
size_t dispatch_collect_candidates(struct dispatch_pass *p,
    const struct wf_unit *u, const struct wf_queue *q, size_t *stale_len);

/**
 * dispatch_sort_candidates() - order candidates by preference
 */
void dispatch_sort_candidates(struct candidate *list, size_t len);

/**
 * dispatch_confine_to_one_rack() - for a unit that is slower on several racks:
 * keep only the candidates on one rack
 * @count: number of tasks that the rack must have room for
 *
 * Of the racks with room for all tasks the one with the least room is kept. All
 * candidates are kept when there is no such rack.
 * Return: number of candidates that are left.
 */
size_t dispatch_confine_to_one_rack(
    struct candidate *list, size_t len, uint32_t count);

/**
 * dispatch_place_tasks() - assign the waiting tasks of a unit to candidates, in
 * their order, as far as there is room
 */
void dispatch_place_tasks(const struct dispatch_pass *p, struct wf_unit *u,
    struct candidate *list, size_t len);

/* ---- wf_dispatch_plan.c ---- */

/**
 * dispatch_expected_end() - when a task on a runner is expected to end
 *
 * Not defined for tasks that last.
 */
agb_time dispatch_expected_end(const struct wf_leader *l, uint32_t ri,
    const struct wf_task *t, agb_time now);

/**
 * dispatch_run_ends() - expected ends of the tasks on a runner
 *
 * Valid until a task is assigned to the runner.
 */
const struct run_ends *dispatch_run_ends(struct dispatch_pass *p, uint32_t ri);

/**
 * dispatch_plan_gang() - find out when and where a gang can start that does not
 * fit now
 */
void dispatch_plan_gang(struct dispatch_pass *p, const struct wf_unit *u,
    const struct wf_queue *q, struct gang_plan *plan);

/**
 * dispatch_reserve_tasks() - reserve room on a runner for tasks of a step
 */
void dispatch_reserve_tasks(const struct dispatch_pass *p,
    const struct wf_step *step, uint32_t ri, uint32_t tasks, agb_time start_at);

/**
 * dispatch_reserve_for_gang() - reserve the room that a gang is expected to
 * start in
 *
 * Otherwise small tasks would take all resources as they become free, and the
 * gang would starve.
 */
void dispatch_reserve_for_gang(struct dispatch_pass *p, const struct wf_unit *u,
    const struct gang_plan *plan);

/* ---- wf_dispatch_locality.c ---- */

/**
 * dispatch_wants_near() - whether it matters to a unit where it runs
 */
bool dispatch_wants_near(
    const struct dispatch_pass *p, const struct wf_unit *u);

/**
 * dispatch_prefer_data_rack() - for a gang that wants one rack and names that of
 * its data: keep only the candidates on it if they have room for the gang
 * Return: number of candidates that are left.
 */
size_t dispatch_prefer_data_rack(
    const struct dispatch_pass *p, const struct wf_unit *u, size_t len);

/**
 * dispatch_gang_waits() - whether a gang that has room in @len candidates waits
 * for near room instead; this is reserved for it then
 * @may_reserve: the pass may make a further reservation
 */
bool dispatch_gang_waits(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, size_t len, bool may_reserve);

/**
 * dispatch_gang_keeps_waiting() - whether a gang that waits for near room, and has
 * no other room any more, goes on to wait for it; it is reserved for it then
 * @may_reserve: the pass may make a further reservation
 */
bool dispatch_gang_keeps_waiting(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, bool may_reserve);

/**
 * dispatch_place_near_first() - assign waiting tasks to near candidates, and the
 * others to remote ones unless a wait for near room pays; this is reserved for
 * them then
 * @len: number of candidates, which are sorted
 */
void dispatch_place_near_first(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, size_t len);

/* ---- wf_dispatch_advice.c ---- */

/**
 * dispatch_room_at() - resources of a runner that are expected to be free at a
 * time
 */
struct agb_resources dispatch_room_at(
    struct dispatch_pass *p, uint32_t ri, agb_time when);

/**
 * dispatch_may_request_advice() - whether a unit may request advice now
 *
 * Units whose advice takes long request it before there is room. Of the others
 * only as many do as will find room: handling the answers takes the leader's
 * time, and the tickets would expire while the unit waits.
 */
bool dispatch_may_request_advice(
    struct dispatch_pass *p, const struct wf_unit *u, const struct wf_queue *q);

/**
 * dispatch_gets_tickets() - whether a unit has tickets, or will get some
 */
bool dispatch_gets_tickets(const struct dispatch_pass *p,
    const struct wf_unit *u, const struct wf_queue *q);

/**
 * dispatch_request_advice() - request missing approvals of a unit that may
 * request them and is expected to start at @start_at
 *
 * Requests also new tickets for the first @stale_len runners in the pass's list
 * @stale, unless the start is so far off that this can wait.
 */
void dispatch_request_advice(struct dispatch_pass *p, struct wf_unit *u,
    const struct wf_queue *q, size_t stale_len, agb_time start_at);

/**
 * dispatch_claim_with_tickets() - count what the unit will take with its
 * tickets, if it gets any
 */
void dispatch_claim_with_tickets(
    struct dispatch_pass *p, const struct wf_unit *u, const struct wf_queue *q);

#endif

/**
 * DOC: test_wf_election
 *
 * When an instance leads and what a leader sends, told from the effects of one
 * instance. The store, the runner and the other instances are tables of events.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "suite.h"
#include "wf_core.h"
#include "wf_table.h"

#define SELF "a"
#define JOB "00000000000000aa"
#define LEASE 7
#define EARLIER_LEASE 5
#define ELECTION_REV 5
/* Longer than a leader waits between two passes over its runners, and between
 * two that place tasks. */
#define PASS_MS 20
#define RUNNERS_MAX 2
/* Longer than it waits until it repeats a stop. */
#define STOP_AGAIN_MS 400
/* Clocks of the runners, which the tests let stand still. */
#define CLOCK_MS 1000
/* Longer than the deadline of a start. */
#define LATE_CLOCK_MS 10000

/* One instance at @now, and all effects that it has returned so far. */
struct instance {
	struct wf_core *core;
	struct wf_effects out;
	agb_time now;
};

static void
deliver(struct instance *x, struct wf_event *ev)
{
	const struct wf_now now = {
	    .mono = x->now, .unix_ms = (int64_t)(x->now / AGB_MS)};

	wf_core_handle(x->core, &now, ev, &x->out);
}

static void
tick(struct instance *x)
{
	struct wf_event ev = {.type = WF_EV_TICK};

	deliver(x, &ev);
}

/* Lets enough time pass for all that is due. */
static void
pass(struct instance *x)
{
	x->now += PASS_MS * AGB_MS;
	tick(x);
}

/* Ends the test when an effect is missing. CUnit does not return from this; the
 * static analyzer does not know that. */
static void
require(bool found)
{
	if (found)
		return;
	CU_FAIL_FATAL("an effect is missing");
	abort();
}

/* Latest store operation of a kind, or NULL. */
static const struct wf_effect *
last_op(const struct instance *x, enum agb_store_op_kind kind)
{
	size_t i;

	for (i = x->out.len; i > 0; i--) {
		if (x->out.items[i - 1].type == WF_EF_STORE &&
		    x->out.items[i - 1].u.store.kind == kind)
			return &x->out.items[i - 1];
	}
	return NULL;
}

static unsigned
count_orders(const struct instance *x, enum wf_order_kind kind)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < x->out.len; i++)
		n += x->out.items[i].type == WF_EF_ORDER &&
		    x->out.items[i].u.order.kind == kind;
	return n;
}

static void
answer_op(struct instance *x, const struct wf_effect *op,
    struct agb_store_result *res)
{
	struct wf_event ev = {.type = WF_EV_STORE, .u.store = res};

	require(op != NULL);
	ev.tag = op->tag;
	deliver(x, &ev);
}

static void
answer_renewal(struct instance *x, bool exists)
{
	struct agb_store_result res = {
	    .status = AGB_STORE_OK, .ttl_s = exists ? 1 : 0};

	answer_op(x, last_op(x, AGB_STORE_LEASE_KEEPALIVE), &res);
}

static void
deliver_feed(struct instance *x, enum wf_feed_id id,
    const struct agb_store_kv *items, size_t len)
{
	struct wf_event ev = {.type = WF_EV_FEED,
	    .u.feed = {.id = id,
		.full = true,
		.revision = ELECTION_REV,
		.items = items,
		.items_len = len}};

	deliver(x, &ev);
}

static struct wf_doc *
new_doc(bool advice_required)
{
	struct wf_doc *const doc = agb_xcalloc(1, sizeof(*doc));

	doc->version = 1;
	doc->queues = agb_xcalloc(1, sizeof(*doc->queues));
	doc->queues_len = 1;
	agb_str_copy(doc->queues->name, sizeof(agb_id), "q");
	agb_str_copy(doc->queues->service, sizeof(agb_id), "svc");
	doc->queues->max_attempts = 3;
	doc->queues->slack_factor = 2;
	doc->queues->advice_required = advice_required;
	doc->queues->advice_base_ms = 10;
	wf_doc_build_index(doc);
	return doc;
}

static void
deliver_jobs(struct instance *x)
{
	char key[WF_KEY_MAX];
	struct wf_step step = {.count = 1, .need.cpu_milli = 1000};
	struct wf_spec spec = {
	    .repeat_count = 1, .steps = &step, .steps_len = 1};
	struct agb_store_kv kv = {.key = key, .mod_rev = 3};

	agb_str_copy(spec.queue, sizeof(spec.queue), "q");
	wf_table_make_key(key, 'j', JOB);
	kv.val = wf_table_encode_spec(&spec, &kv.val_len);
	deliver_feed(x, WF_FEED_JOBS, &kv, 1);
	free(kv.val);
}

/* Gives an instance its lease, and the key of the leader, which names it. */
static void
start(struct instance *x, int64_t key_lease, bool advice_required)
{
	const struct wf_config cfg = {
	    .name = SELF, .rpc = "10.0.0.1:1", .seed = 1, .status_s = 120};
	const struct agb_store_kv leader = {.key = (char[]){WF_KEY_LEADER},
	    .val = (char[]){SELF},
	    .val_len = strlen(SELF),
	    .mod_rev = ELECTION_REV,
	    .lease = key_lease};
	struct agb_store_result granted = {
	    .status = AGB_STORE_OK, .lease = LEASE, .ttl_s = 1};
	struct wf_event doc = {
	    .type = WF_EV_DOC, .u.doc = new_doc(advice_required)};

	memset(x, 0, sizeof(*x));
	x->now = 10 * AGB_SEC;
	x->core = wf_core_new(&cfg);
	deliver(x, &doc);
	answer_op(x, last_op(x, AGB_STORE_LEASE_GRANT), &granted);
	deliver_feed(x, WF_FEED_CONTROL, &leader, 1);
	deliver_jobs(x);
	deliver_feed(x, WF_FEED_STATES, NULL, 0);
	tick(x);
}

static void
stop(struct instance *x)
{
	wf_core_free(x->core);
	wf_effects_free(&x->out);
}

static bool
leads(const struct instance *x)
{
	struct wf_gauges g;

	wf_core_get_gauges(x->core, x->now, &g);
	return g.is_leader;
}

/* An instance has given back a lease, the call was lost, and it has a new lease.
 * The key of the leader names it, with either lease. Guards against a leader
 * that counts on its new lease when its key ends with the earlier one, so that
 * another instance is elected while it leads; and against waiting for the end of
 * the earlier lease. */
static void
leader_needs_its_key_to_carry_its_lease(void)
{
	static const struct {
		int64_t key_lease;
		bool leads;
		int64_t ended;
	} cases[] = {
	    {LEASE, true, 0},
	    {EARLIER_LEASE, false, EARLIER_LEASE},
	    {0, false, 0},
	};
	const struct wf_effect *op;
	struct instance x;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		start(&x, cases[i].key_lease, false);
		CU_ASSERT_EQUAL(leads(&x), cases[i].leads);
		op = last_op(&x, AGB_STORE_LEASE_REVOKE);
		CU_ASSERT_EQUAL(
		    op != NULL ? op->u.store.lease : 0, cases[i].ended);
		stop(&x);
	}
}

static void
deliver_registry(struct instance *x, size_t runners)
{
	struct wf_runner_change changes[RUNNERS_MAX];
	struct wf_event ev = {.type = WF_EV_RUNNERS,
	    .u.runners = {
		.full = true, .items = changes, .items_len = runners}};
	size_t i;

	memset(changes, 0, sizeof(changes));
	for (i = 0; i < runners; i++) {
		changes[i].info.started_ms = 1;
		changes[i].info.remaining_ms = -1;
		changes[i].info.capacity.cpu_milli = 8000;
		changes[i].info.capacity.mem_mb = 8000;
		snprintf(changes[i].info.id, sizeof(agb_id), "r-%zu", i);
		snprintf(
		    changes[i].info.addr, sizeof(agb_addr), "10.1.0.%zu:1", i);
		agb_str_copy(changes[i].info.service, sizeof(agb_id), "svc");
	}
	deliver(x, &ev);
}

/* Latest order of a kind, to @runner unless that is NULL, or NULL. */
static const struct wf_order *
last_order(
    const struct instance *x, enum wf_order_kind kind, const char *runner)
{
	const struct wf_order *o;
	size_t i;

	for (i = x->out.len; i > 0; i--) {
		o = &x->out.items[i - 1].u.order;
		if (x->out.items[i - 1].type == WF_EF_ORDER &&
		    o->kind == kind && !o->is_probe &&
		    (runner == NULL || strcmp(o->runner_id, runner) == 0))
			return o;
	}
	return NULL;
}

/* Answers an order; @ended is the only end that a hold lists, or NULL. */
static void
answer_order(struct instance *x, const struct wf_order *o,
    enum wf_order_status status, int64_t clock_ms,
    struct wf_finished_run *ended)
{
	struct wf_order_result res;
	struct wf_event ev = {.type = WF_EV_ORDER_RESULT, .u.order = &res};

	require(o != NULL);
	wf_order_result_init(&res, o);
	res.status = status;
	if (status == WF_ORDER_OK) {
		res.started_ms = 1;
		res.clock_ms = clock_ms;
		res.finished = ended;
		res.finished_len = ended != NULL;
	}
	deliver(x, &ev);
}

/* Answers the last hold of a runner with empty lists. */
static void
answer_hold(struct instance *x, const char *runner, int64_t clock_ms)
{
	answer_order(x, last_order(x, WF_ORDER_HOLD, runner), WF_ORDER_OK,
	    clock_ms, NULL);
}

/* Makes an instance the leader, with one runner that has listed its runs. */
static void
start_with_runner(struct instance *x, bool advice_required)
{
	start(x, LEASE, advice_required);
	deliver_registry(x, 1);
	pass(x);
	answer_hold(x, "r-0", CLOCK_MS);
}

/* Guards against a write of a leader that is carried out late, when another
 * instance has been elected: the state of a job that it creates would hide the
 * starts of the new leader. */
static void
writes_depend_on_the_election(void)
{
	const struct agb_store_op *op;
	const struct wf_effect *ef;
	struct instance x;
	unsigned found = 0;
	size_t i;

	start_with_runner(&x, false);
	ef = last_op(&x, AGB_STORE_TXN);
	require(ef != NULL);
	op = &ef->u.store;
	CU_ASSERT_EQUAL_FATAL(op->writes_len, 1);
	CU_ASSERT_STRING_EQUAL(op->writes[0].key, WF_PREFIX_STATES JOB);
	for (i = 0; i < op->cmps_len; i++)
		found += strcmp(op->cmps[i].key, WF_KEY_LEADER) == 0 &&
		    op->cmps[i].target == AGB_STORE_CMP_MOD_REV &&
		    op->cmps[i].rev == ELECTION_REV;
	CU_ASSERT_EQUAL(found, 1);
	stop(&x);
}

/* A leader pauses while it writes the intent to start a task, and reads the
 * answer first when it resumes. The lease of 1.2 s counts from the request;
 * orders need 100 ms of it. Guards against a start that is sent on a lease which
 * has run out meanwhile, and against one that is forgotten. */
static void
starts_wait_for_the_lease_after_a_pause(void)
{
	static const struct {
		unsigned pause_ms;
		bool lease_exists;
		unsigned starts_before, starts_after;
	} cases[] = {
	    {10, true, 1, 1},
	    {1070, true, 1, 1},
	    {1080, true, 0, 1},
	    {1300, true, 0, 1},
	    {1300, false, 0, 0},
	    {7000, true, 0, 1},
	    {7000, false, 0, 0},
	    {60000, true, 0, 1},
	};
	struct agb_store_result written = {
	    .status = AGB_STORE_OK, .succeeded = true, .revision = 9};
	struct instance x;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		start_with_runner(&x, false);
		x.now += cases[i].pause_ms * AGB_MS;
		answer_op(&x, last_op(&x, AGB_STORE_TXN), &written);
		CU_ASSERT_EQUAL(
		    count_orders(&x, WF_ORDER_START), cases[i].starts_before);
		if (cases[i].pause_ms >= 1080)
			answer_renewal(&x, cases[i].lease_exists);
		CU_ASSERT_EQUAL(
		    count_orders(&x, WF_ORDER_START), cases[i].starts_after);
		CU_ASSERT_EQUAL(leads(&x), cases[i].lease_exists);
		stop(&x);
	}
}

static unsigned
count_effects(const struct instance *x, enum wf_effect_type type)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < x->out.len; i++)
		n += x->out.items[i].type == type;
	return n;
}

/* Answers the only call for advice with a ticket for the runner. */
static void
answer_advice(struct instance *x, uint32_t valid_ms)
{
	struct wf_ticket ticket = {.runner = "r-0", .ticket = "t"};
	struct wf_advice advice = {.answered = true,
	    .valid_ms = valid_ms,
	    .items = &ticket,
	    .items_len = 1};
	struct wf_event ev = {.type = WF_EV_ADVICE, .u.advice = &advice};
	size_t i;

	for (i = 0; i < x->out.len; i++) {
		if (x->out.items[i].type == WF_EF_ADVICE_REQUEST)
			ev.tag = x->out.items[i].tag;
	}
	CU_ASSERT_NOT_EQUAL(ev.tag, 0);
	deliver(x, &ev);
}

/* A leader pauses while it writes the intent of a start that needs a ticket of
 * the advice service. Guards against a start whose ticket has expired meanwhile,
 * and against a task that waits then without a new call for advice. */
static void
starts_with_expired_tickets_are_not_sent(void)
{
	static const struct {
		unsigned valid_ms, pause_ms, starts, calls;
	} cases[] = {
	    {1000, 10, 1, 1},
	    {1000, 950, 1, 1},
	    {1000, 970, 0, 2},
	    {500, 1000, 0, 2},
	};
	struct agb_store_result written = {
	    .status = AGB_STORE_OK, .succeeded = true, .revision = 9};
	struct instance x;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		start_with_runner(&x, true);
		answer_advice(&x, cases[i].valid_ms);
		pass(&x);
		x.now += cases[i].pause_ms * AGB_MS;
		answer_op(&x, last_op(&x, AGB_STORE_TXN), &written);
		pass(&x);
		CU_ASSERT_EQUAL(
		    count_orders(&x, WF_ORDER_START), cases[i].starts);
		CU_ASSERT_EQUAL(
		    count_effects(&x, WF_EF_ADVICE_REQUEST), cases[i].calls);
		stop(&x);
	}
}

/* Answers what a leader has sent, until the lease of the runner @silent has ended
 * and the leader has started its task on the other one. */
static void
start_again_elsewhere(struct instance *x, const char *silent, const char *other)
{
	struct agb_store_result written = {
	    .status = AGB_STORE_OK, .succeeded = true};
	unsigned i;

	for (i = 0; i < 20 && count_orders(x, WF_ORDER_START) < 2; i++) {
		x->now += AGB_SEC / 2;
		tick(x);
		answer_renewal(x, true);
		answer_order(x, last_order(x, WF_ORDER_HOLD, silent),
		    WF_ORDER_LOST, 0, NULL);
		answer_hold(x, other, CLOCK_MS);
		pass(x);
		written.revision = 20 + i;
		answer_op(x, last_op(x, AGB_STORE_TXN), &written);
	}
	CU_ASSERT_PTR_NOT_NULL(last_order(x, WF_ORDER_START, other));
}

static void
deliver_change(struct instance *x, const char *runner, bool removed)
{
	struct wf_runner_change change = {.removed = removed,
	    .info = {.started_ms = 1,
		.remaining_ms = 60000,
		.draining = true,
		.capacity = {.cpu_milli = 8000, .mem_mb = 8000}}};
	struct wf_event ev = {.type = WF_EV_RUNNERS,
	    .u.runners = {.items = &change, .items_len = 1}};

	agb_str_copy(change.info.id, sizeof(agb_id), runner);
	agb_str_copy(change.info.addr, sizeof(agb_addr), "10.1.0.0:1");
	agb_str_copy(change.info.service, sizeof(agb_id), "svc");
	deliver(x, &ev);
}

static unsigned
count_state_writes(const struct instance *x)
{
	const struct wf_effect *ef;
	unsigned n = 0;
	size_t i;

	for (i = 0; i < x->out.len; i++) {
		ef = &x->out.items[i];
		n += ef->type == WF_EF_STORE &&
		    ef->u.store.kind == AGB_STORE_TXN &&
		    strcmp(ef->u.store.writes[0].key, WF_PREFIX_STATES JOB) ==
			0;
	}
	return n;
}

/* Starts an instance that leads, and its only task on one of two runners.
 * Returns the order that starts it, which is not answered yet. */
static const struct wf_order *
start_with_task(struct instance *x)
{
	struct agb_store_result written = {
	    .status = AGB_STORE_OK, .succeeded = true, .revision = 9};
	const struct wf_order *started;

	start(x, LEASE, false);
	deliver_registry(x, RUNNERS_MAX);
	pass(x);
	answer_hold(x, "r-0", CLOCK_MS);
	answer_hold(x, "r-1", CLOCK_MS);
	answer_op(x, last_op(x, AGB_STORE_TXN), &written);
	started = last_order(x, WF_ORDER_START, NULL);
	require(started != NULL);
	return started;
}

/* The entry of a runner that is leaving is removed from the registry, and its
 * next hold fails. Guards against tasks that are started again while their runner
 * lives and only the network or the registry does not reach it, and against
 * waiting for its lease when its process is gone. */
static void
tasks_of_leaving_runner_start_again_when_it_is_gone(void)
{
	static const struct {
		enum wf_order_status status;
		unsigned after_ms;
		bool gone;
	} cases[] = {
	    {WF_ORDER_UNSENT, 10, true},
	    {WF_ORDER_OTHER_INCARNATION, 10, true},
	    {WF_ORDER_UNSENT, 500, false},
	    {WF_ORDER_LOST, 10, false},
	    {WF_ORDER_LOST, 1600, false},
	    {WF_ORDER_BUSY, 10, false},
	};
	const struct wf_order *started;
	const char *leaving;
	struct instance x;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		started = start_with_task(&x);
		leaving =
		    strcmp(started->runner_id, "r-0") == 0 ? "r-0" : "r-1";
		answer_order(&x, started, WF_ORDER_OK, CLOCK_MS, NULL);
		pass(&x);
		deliver_change(&x, leaving, false);
		deliver_change(&x, leaving, true);
		x.now += cases[i].after_ms * AGB_MS;
		answer_order(&x, last_order(&x, WF_ORDER_HOLD, leaving),
		    cases[i].status, 0, NULL);
		pass(&x);
		/* The second one assigns the task to the other runner. */
		CU_ASSERT_EQUAL(count_state_writes(&x), cases[i].gone ? 2 : 1);
		stop(&x);
	}
}

/* A task was started again, as its runner was silent, which then lists that the
 * task has ended. The second start is not answered, and the second runner lists
 * no run, at once or when the stop was lost or answered. Guards against giving up
 * the stop: the start could be carried out late, so that the task ran again
 * though it was done. */
static void
done_task_is_stopped_until_its_start_is_ruled_out(void)
{
	static const struct {
		int64_t clock_ms;
		bool list_at_once;
		enum wf_order_status stop_status;
		unsigned stops;
	} cases[] = {
	    {CLOCK_MS, true, WF_ORDER_LOST, 2},
	    {LATE_CLOCK_MS, true, WF_ORDER_LOST, 0},
	    {CLOCK_MS, false, WF_ORDER_LOST, 2},
	    {LATE_CLOCK_MS, false, WF_ORDER_LOST, 1},
	    {CLOCK_MS, false, WF_ORDER_OK, 1},
	};
	struct wf_finished_run ended = {.seq = 1, .end = WF_END_DONE};
	const struct wf_order *started;
	const char *silent, *other;
	struct instance x;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		started = start_with_task(&x);
		silent = strcmp(started->runner_id, "r-0") == 0 ? "r-0" : "r-1";
		other = strcmp(silent, "r-0") == 0 ? "r-1" : "r-0";
		ended.task = started->task;
		ended.run = started->run;
		answer_order(&x, started, WF_ORDER_OK, CLOCK_MS, NULL);
		start_again_elsewhere(&x, silent, other);
		pass(&x);
		answer_order(&x, last_order(&x, WF_ORDER_HOLD, silent),
		    WF_ORDER_OK, CLOCK_MS, &ended);
		if (!cases[i].list_at_once) {
			pass(&x);
			answer_order(&x, last_order(&x, WF_ORDER_STOP, other),
			    cases[i].stop_status, CLOCK_MS, NULL);
			/* The next hold is sent after that answer. */
			answer_hold(&x, other, CLOCK_MS);
			pass(&x);
		}
		answer_hold(&x, other, cases[i].clock_ms);
		pass(&x);
		x.now += STOP_AGAIN_MS * AGB_MS;
		tick(&x);
		CU_ASSERT_EQUAL(
		    count_orders(&x, WF_ORDER_STOP), cases[i].stops);
		stop(&x);
	}
}

static const struct suite_test tests[] = {
    {"leader's key carries its lease", leader_needs_its_key_to_carry_its_lease},
    {"writes depend on the election", writes_depend_on_the_election},
    {"starts wait for the lease after a pause",
	starts_wait_for_the_lease_after_a_pause},
    {"starts with expired tickets are not sent",
	starts_with_expired_tickets_are_not_sent},
    {"tasks of a leaving runner start again when it is gone",
	tasks_of_leaving_runner_start_again_when_it_is_gone},
    {"done task is stopped until its start is ruled out",
	done_task_is_stopped_until_its_start_is_ruled_out},
};

int
main(void)
{
	return suite_run(
	    "wf_election", tests, sizeof(tests) / sizeof(tests[0]));
}

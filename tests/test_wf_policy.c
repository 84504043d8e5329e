/**
 * DOC: test_wf_policy
 *
 * Policies of the workflow scheduler that need neither a leader nor a network:
 * tables of inputs and the decisions expected for them.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "suite.h"
#include "wf_estimate.h"
#include "wf_failover.h"
#include "wf_flow.h"
#include "wf_front.h"
#include "wf_handover.h"
#include "wf_leader.h"
#include "wf_poll.h"

/* A hold that was sent at 10 s and waits 1 s at the runner: when a probe
 * follows it, and what its failure says. Guards against a runner whose ends stay
 * unseen while the answer to one hold is lost. */
static void
overdue_hold_is_followed_by_probe(void)
{
	static const struct {
		bool pending;
		bool probed;
		uint32_t now_ms;
		enum wf_poll_action action;
	} cases[] = {
	    {false, false, 9999, WF_POLL_NOTHING},
	    {false, false, 10000, WF_POLL_HOLD},
	    {true, false, 10000, WF_POLL_NOTHING},
	    {true, false, 11100, WF_POLL_NOTHING},
	    {true, false, 11150, WF_POLL_PROBE},
	    {true, true, 11150, WF_POLL_NOTHING},
	    {true, true, 60000, WF_POLL_NOTHING},
	};
	struct wf_poll p;
	agb_time when;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&p, 0, sizeof(p));
		p.next_at = 10 * AGB_SEC;
		if (cases[i].pending)
			wf_poll_hold_sent(&p, 10 * AGB_SEC, 1000);
		p.probed = cases[i].probed;
		CU_ASSERT_EQUAL(
		    wf_poll_next(&p, cases[i].now_ms * AGB_MS, &when),
		    cases[i].action);
	}
}

static void
answered_probe_gives_up_overdue_hold(void)
{
	struct wf_poll p = {0};

	wf_poll_hold_sent(&p, 10 * AGB_SEC, 1000);
	/* A probe that was sent for another reason leaves the hold alone. */
	wf_poll_probe_answered(&p, 10500 * AGB_MS);
	CU_ASSERT(p.pending);
	wf_poll_probe_answered(&p, 11200 * AGB_MS);
	CU_ASSERT(!p.pending);
	CU_ASSERT_EQUAL(p.next_at, 11200 * AGB_MS);
	/* The failure of a hold that was given up is no evidence. */
	wf_poll_hold_sent(&p, 11200 * AGB_MS, 1000);
	CU_ASSERT(!wf_poll_hold_ended(&p, 10 * AGB_SEC));
	CU_ASSERT(p.pending);
	CU_ASSERT(wf_poll_hold_ended(&p, 11200 * AGB_MS));
	CU_ASSERT(!p.pending);
}

static struct wf_peer *
add_peer(struct wf_table *t, const char *name, const char *rpc)
{
	struct wf_peer *const p = agb_xcalloc(1, sizeof(*p));

	agb_str_copy(p->name, sizeof(p->name), name);
	agb_str_copy(p->rpc, sizeof(p->rpc), rpc);
	HASH_ADD_STR(t->peers, name, p);
	return p;
}

/* The leader "b" runs at 10.0.0.2:1 with lease 7. Guards against waiting for the
 * lease of a leader that is gone, and against ending that of one that may
 * live. */
static void
lease_of_gone_leader_is_ended(void)
{
	static const struct {
		const char *self;
		const char *rpc;
		const char *refused;
		bool may_succeed;
		int64_t lease;
		int64_t own_lease;
	} cases[] = {
	    /* Nothing speaks against the leader. */
	    {"a", "10.0.0.1:1", NULL, true, 0, 9},
	    /* This instance runs at the leader's address. */
	    {"b2", "10.0.0.2:1", NULL, false, 7, 9},
	    /* The leader's address refuses connections. */
	    {"a", "10.0.0.1:1", "10.0.0.2:1", true, 7, 9},
	    {"a", "10.0.0.1:1", "10.0.0.2:1", false, 0, 9},
	    /* Another instance is gone. */
	    {"a", "10.0.0.1:1", "10.0.0.3:1", true, 0, 9},
	    /* The leader itself. */
	    {"b", "10.0.0.2:1", NULL, true, 0, 7},
	    /* The leader itself, with no lease yet and with a later one. */
	    {"b", "10.0.0.2:1", NULL, true, 0, 0},
	    {"b", "10.0.0.2:1", NULL, true, 7, 8},
	};
	struct wf_failover f;
	struct wf_table t;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&t, 0, sizeof(t));
		memset(&f, 0, sizeof(f));
		add_peer(&t, "b", "10.0.0.2:1");
		add_peer(&t, "c", "10.0.0.3:1");
		agb_str_copy(t.leader, sizeof(t.leader), "b");
		t.leader_rev = 5;
		t.leader_lease = 7;
		if (cases[i].refused != NULL)
			wf_failover_note_refused(&f, &t, cases[i].refused);
		CU_ASSERT_EQUAL(
		    wf_failover_lease(&f, &t, cases[i].self, cases[i].rpc,
			cases[i].own_lease, cases[i].may_succeed, AGB_SEC),
		    cases[i].lease);
		/* Not again at once. */
		CU_ASSERT_EQUAL(
		    wf_failover_lease(&f, &t, cases[i].self, cases[i].rpc,
			cases[i].own_lease, cases[i].may_succeed, AGB_SEC),
		    0);
		/* A refusal says nothing about the next leader. */
		t.leader_rev = 6;
		if (cases[i].refused != NULL)
			CU_ASSERT_EQUAL(wf_failover_lease(&f, &t, cases[i].self,
					    cases[i].rpc, cases[i].own_lease,
					    cases[i].may_succeed, AGB_SEC),
			    0);
		wf_table_free(&t);
	}
}

/* Ended runs of a queue, by estimate and run time, and what is expected for a
 * further estimate afterwards. Guards against jobs that are taken for late, and
 * put behind all others, since their caller's estimate was too low. */
static void
run_time_is_learned_from_ended_runs(void)
{
	static const struct {
		const char *what;
		uint32_t runs;
		uint32_t pairs[4][2];
		uint32_t pairs_len;
		uint32_t estimate_ms;
		uint32_t at_least_ms;
		uint32_t at_most_ms;
	} cases[] = {
	    {"nothing is known", 0, {{1, 1}}, 1, 1000, 1000, 1000},
	    {"one odd run tells little", 1, {{1000, 8000}}, 1, 1000, 1000,
		1300},
	    {"estimates are right", 200,
		{{500, 500}, {1000, 1000}, {4000, 4000}}, 3, 2000, 1900, 2100},
	    {"all take three times as long", 200,
		{{500, 1500}, {1000, 3000}, {4000, 12000}}, 3, 2000, 5500,
		6100},
	    {"run times do not follow the estimates", 400,
		{{500, 2000}, {1000, 2000}, {4000, 2000}, {8000, 2000}}, 4,
		1000, 1800, 2200},
	    {"the correction is limited", 400, {{100, 60000}}, 1, 100, 700,
		800},
	    {"an estimate of zero", 10, {{0, 100}}, 1, 0, 1, 8},
	};
	struct wf_estimator e;
	size_t i, k;
	uint32_t ms;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&e, 0, sizeof(e));
		for (k = 0; k < cases[i].runs; k++)
			wf_estimator_add(&e,
			    cases[i].pairs[k % cases[i].pairs_len][0],
			    cases[i].pairs[k % cases[i].pairs_len][1]);
		ms = wf_estimator_predict(&e, cases[i].estimate_ms);
		if (ms < cases[i].at_least_ms || ms > cases[i].at_most_ms)
			printf("\n%s: %u ms\n", cases[i].what, ms);
		CU_ASSERT(ms >= cases[i].at_least_ms);
		CU_ASSERT(ms <= cases[i].at_most_ms);
	}
}

/* A run that started at 10 s and should take 2 s. Guards against room that is
 * reserved for the time at which a slow run was estimated to end. */
static void
progress_tells_when_a_run_ends(void)
{
	static const struct {
		uint32_t percent;
		uint32_t seen_ms;
		uint32_t end_ms;
	} cases[] = {
	    {0, 0, 12000},
	    {0, 15000, 12000},
	    {4, 10400, 12000},
	    {50, 11000, 12000},
	    {10, 11000, 20000},
	    {80, 10800, 11000},
	    /* The clock of the runner was read wrongly. */
	    {50, 9000, 12000},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(
		    wf_estimate_end(10 * AGB_SEC, 2000, cases[i].percent,
			cases[i].seen_ms * AGB_MS),
		    cases[i].end_ms * AGB_MS);
}

/* A run at 10 s. Guards against a run that is expected to end soon for as long as
 * it goes on, and against one whose end is put off though its progress tells it. */
static void
overdue_run_ends_later(void)
{
	static const struct {
		uint32_t end_ms, due_ms, expected_ms;
	} cases[] = {
	    {12000, 12000, 12000},
	    {10300, 12000, 10300},
	    {10100, 12000, 10300},
	    {9990, 3000, 10300},
	    /* Overdue by its progress, and not by its expected run time. */
	    {9500, 12000, 10500},
	    {2000, 12000, 12000},
	    {2000, 10100, 10300},
	    /* Overdue by both. */
	    {9000, 9000, 11000},
	    {9800, 9800, 10300},
	    {2000, 9000, 11000},
	    {4000, 3000, 16000},
	    /* Slow, but its progress tells its end. */
	    {15000, 3000, 15000},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(
		    wf_estimate_overdue_end(cases[i].end_ms * AGB_MS,
			cases[i].due_ms * AGB_MS, 10 * AGB_SEC),
		    cases[i].expected_ms * AGB_MS);
}

/* The leader "a" and three others, at 60 s; two of them can lead at once. Guards
 * against a leadership that moves to an instance that is cut off, has not read
 * the jobs, or is stopped next. */
static void
successor_of_leader_is_chosen(void)
{
	static const struct {
		const char *what;
		struct {
			int score;
			uint32_t seen_ms;
			uint32_t heard_ms;
			int64_t lease;
		} peers[3];
		const char *successor;
	} cases[] = {
	    {"the highest score",
		{{200, 1000, 60000, 1}, {250, 1000, 60000, 2},
		    {100, 1000, 60000, 3}},
		"c"},
	    {"restarted lately",
		{{200, 40000, 60000, 1}, {250, 1000, 60000, 2},
		    {100, 1000, 60000, 3}},
		"b"},
	    {"has not read the jobs",
		{{200, 59000, 60000, 1}, {250, 1000, 60000, 2},
		    {100, 1000, 60000, 3}},
		"c"},
	    {"does not answer",
		{{200, 1000, 60000, 1}, {250, 1000, 50000, 2},
		    {100, 1000, 60000, 3}},
		"b"},
	    {"has no lease",
		{{200, 1000, 60000, 1}, {250, 1000, 60000, 0},
		    {100, 1000, 60000, 3}},
		"b"},
	    {"only those that follow all jobs",
		{{200, 1000, 50000, 1}, {250, 1000, 50000, 2},
		    {100, 1000, 60000, 3}},
		"none"},
	};
	static const char *const names[] = {"b", "c", "d"};
	const struct wf_peer *found;
	struct wf_table t;
	struct wf_peer *p;
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&t, 0, sizeof(t));
		add_peer(&t, "a", "10.0.0.1:1");
		for (k = 0; k < 3; k++) {
			p = add_peer(&t, names[k], "10.0.0.2:1");
			p->score = cases[i].peers[k].score;
			p->pinged = true;
			p->pinged_since = cases[i].peers[k].seen_ms * AGB_MS;
			p->heard_at = cases[i].peers[k].heard_ms * AGB_MS;
			p->lease = cases[i].peers[k].lease;
		}
		found = wf_handover_choose(&t, "a", 2, 60 * AGB_SEC);
		CU_ASSERT_STRING_EQUAL(
		    found != NULL ? found->name : "none", cases[i].successor);
		wf_table_free(&t);
	}
}

/* ---- records of the store ---- */

/* Guards against a corrupt record of a job whose number of tasks wraps around
 * to a valid one: each leader would allocate memory for all of them. */
static void
jobs_with_too_many_tasks_are_malformed(void)
{
	static const struct {
		uint32_t steps, count, repeat_count;
		bool ok;
	} cases[] = {
	    {1, 1, 1, true},
	    {1, 1, 0, false},
	    {1, 0, 1, false},
	    {1, WF_TASKS_MAX, 1, true},
	    {1, WF_TASKS_MAX + 1, 1, false},
	    {64, 1024, 1, true},
	    {64, 1024, 2, false},
	    {1, 1, WF_TASKS_MAX, true},
	    {1, 1, WF_TASKS_MAX + 1, false},
	    {1, UINT32_MAX, UINT32_MAX, false},
	    /* 2^6 * 2^31 * 2^27 = 2^64 */
	    {64, (uint32_t)1 << 31, (uint32_t)1 << 27, false},
	};
	char key[WF_KEY_MAX];
	struct wf_step steps[WF_STEPS_MAX];
	struct wf_spec spec;
	struct wf_table t;
	struct agb_store_kv kv;
	size_t i, k;

	wf_table_make_key(key, 'j', "00000000000000aa");
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&t, 0, sizeof(t));
		memset(&spec, 0, sizeof(spec));
		memset(steps, 0, sizeof(steps));
		for (k = 0; k < cases[i].steps; k++)
			steps[k].count = cases[i].count;
		spec.repeat_count = cases[i].repeat_count;
		spec.steps = steps;
		spec.steps_len = cases[i].steps;
		kv = (struct agb_store_kv){.key = key, .mod_rev = 7};
		kv.val = wf_table_encode_spec(&spec, &kv.val_len);
		CU_ASSERT_EQUAL(
		    wf_table_apply(&t, &kv).malformed, !cases[i].ok);
		free(kv.val);
		wf_table_free(&t);
	}
}

static void
apply_peer_record(
    struct wf_table *t, const char *name, const char *rpc, uint64_t create_rev)
{
	struct wf_x_peer x = {
	    .rpc = (char *)(uintptr_t)rpc, .domain = "d", .region = "r"};
	char key[WF_KEY_MAX];
	struct agb_store_kv kv = {.key = key, .create_rev = create_rev};

	wf_table_make_key(key, 'n', name);
	kv.val = wf_table_encode((xdrproc_t)xdr_wf_x_peer, &x, &kv.val_len);
	CU_ASSERT(!wf_table_apply(t, &kv).malformed);
	free(kv.val);
}

/* Guards against the use of an instance that has restarted under its earlier
 * name, whose key remains until its lease ends: its address got orders and calls
 * for advice for two, and the leadership could be handed over to it. */
static void
restarted_instance_replaces_its_predecessor(void)
{
	static const struct {
		struct {
			const char *name, *rpc;
			uint64_t create_rev;
		} records[4];
		const char *responding;
	} cases[] = {
	    {{{"a1", "10.0.0.1:1", 5}, {"b1", "10.0.0.2:1", 6}}, "a1 b1 "},
	    {{{"a1", "10.0.0.1:1", 5}, {"b1", "10.0.0.2:1", 6},
		 {"a2", "10.0.0.1:1", 9}},
		"b1 a2 "},
	    /* In the order of a full read. */
	    {{{"a2", "10.0.0.1:1", 9}, {"a3", "10.0.0.1:1", 12},
		 {"a1", "10.0.0.1:1", 5}},
		"a3 "},
	    /* A late write of the earlier one. */
	    {{{"a1", "10.0.0.1:1", 5}, {"a2", "10.0.0.1:1", 9},
		 {"a1", "10.0.0.1:1", 5}},
		"a2 "},
	};
	const struct wf_peer *p;
	struct wf_table t;
	char names[256];
	size_t i, k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&t, 0, sizeof(t));
		for (k = 0; k < 4 && cases[i].records[k].name != NULL; k++)
			apply_peer_record(&t, cases[i].records[k].name,
			    cases[i].records[k].rpc,
			    cases[i].records[k].create_rev);
		names[0] = '\0';
		for (p = t.peers; p != NULL; p = p->hh.next) {
			if (wf_peer_responds(p, AGB_SEC))
				snprintf(names + strlen(names),
				    sizeof(names) - strlen(names), "%s ",
				    p->name);
		}
		CU_ASSERT_STRING_EQUAL(names, cases[i].responding);
		wf_table_free(&t);
	}
}

/* ---- orders without a result ---- */

#define TICK_MS 20

/* Runs the ticks of a leader from @from_ms until before @to_ms. */
static void
tick_outbox(struct wf_leader *l, uint32_t from_ms, uint32_t to_ms,
    struct wf_effects *out)
{
	struct wf_now now;
	uint32_t ms;

	for (ms = from_ms; ms < to_ms; ms += TICK_MS) {
		now = (struct wf_now){.mono = ms * AGB_MS};
		(void)wf_outbox_tick(l, &now, out);
	}
}

/* A leader sends an order through a relay at 1 s, pauses from 1.2 s on, and then
 * takes some time to read the result. Guards against a relay and its runners
 * that count as silent because the leader itself was, and against a relay that
 * never counts as silent. */
static void
pause_of_leader_is_no_silence_of_relays(void)
{
	static const struct {
		uint32_t pause_ms, read_after_ms;
		bool lost;
	} cases[] = {
	    {0, 200, false},
	    {0, 4000, true},
	    {1500, 0, false},
	    {1500, 100, false},
	    {1500, 480, false},
	    {1500, 600, true},
	    {4000, 480, false},
	    {4000, 600, true},
	};
	struct wf_config cfg;
	struct wf_table table;
	struct wf_relay_peer *relay;
	struct wf_relayed_result x = {.number = 1, .status = WF_ORDER_OK};
	struct wf_result_batch results = {.fence = 5, .items = &x, .len = 1};
	struct wf_effects out;
	struct wf_leader l;
	struct wf_now now;
	struct wf_order *o;
	uint32_t resumed_ms, read_ms;
	size_t i;

	memset(&cfg, 0, sizeof(cfg));
	memset(&table, 0, sizeof(table));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(&l, 0, sizeof(l));
		memset(&out, 0, sizeof(out));
		l.fence = results.fence;
		l.cfg = &cfg;
		l.table = &table;
		l.registry_seen = true;
		l.runners = agb_xcalloc(1, sizeof(*l.runners));
		l.runners_len = 1;
		l.runners[0].route.chosen = true;
		l.outbox.check_at = AGB_TIME_MAX;
		l.outbox.relays = relay = agb_xcalloc(1, sizeof(*relay));
		l.outbox.relays_len = 1;
		relay->last_reply_at = AGB_SEC;
		/* The order is not one of this term, so that its end reaches no
		 * other part of the leader. */
		o = wf_outbox_add(&l);
		o->kind = WF_ORDER_STOP;
		o->timeout_ms = 600;
		now = (struct wf_now){.mono = AGB_SEC};
		(void)wf_outbox_tick(&l, &now, &out);
		(void)wf_outbox_flush(&l, &now, &out);
		tick_outbox(&l, 1000 + TICK_MS, 1200, &out);
		resumed_ms = 1200 + cases[i].pause_ms;
		read_ms = resumed_ms + cases[i].read_after_ms;
		tick_outbox(&l, resumed_ms, read_ms + 1, &out);
		CU_ASSERT_EQUAL(relay->excluded_until > 0, cases[i].lost);
		now = (struct wf_now){.mono = read_ms * AGB_MS};
		wf_outbox_handle_results(&l, &now, &results, &out);
		CU_ASSERT_PTR_NULL(l.outbox.pending);
		wf_outbox_free(&l);
		wf_effects_free(&out);
		free(l.runners);
	}
}

/* A leader whose table of relays is full, and which has sent a hold through the
 * first one, "b". */
struct outbox_fixture {
	struct wf_config cfg;
	struct wf_table table;
	struct wf_leader l;
	struct wf_effects out;
	struct wf_now now;
};

static void
send_hold_through_relay(struct outbox_fixture *f)
{
	struct wf_order *const o = wf_outbox_add(&f->l);

	/* It is not of this term, so that its end reaches no other part of the
	 * leader. */
	o->kind = WF_ORDER_HOLD;
	o->timeout_ms = 600;
	(void)wf_outbox_flush(&f->l, &f->now, &f->out);
	f->now.mono += 25 * AGB_MS;
	(void)wf_outbox_flush(&f->l, &f->now, &f->out);
}

static void
outbox_fixture_open(struct outbox_fixture *f)
{
	char name[16];
	uint32_t i;

	memset(f, 0, sizeof(*f));
	agb_str_copy(f->cfg.name, sizeof(f->cfg.name), "a");
	f->l.cfg = &f->cfg;
	f->l.table = &f->table;
	f->l.fence = 5;
	f->l.registry_seen = true;
	f->l.runners = agb_xcalloc(1, sizeof(*f->l.runners));
	f->l.runners_len = 1;
	f->l.runners[0].route.chosen = true;
	f->now.mono = AGB_SEC;
	add_peer(&f->table, "b", "10.0.0.2:1");
	for (i = 1; i < WF_RELAYS_MAX; i++) {
		snprintf(name, sizeof(name), "other-%u", i);
		add_peer(&f->table, name, "10.0.0.9:1");
	}
	wf_outbox_update_peers(&f->l);
	f->l.outbox.check_at = AGB_TIME_MAX;
	(void)wf_outbox_tick(&f->l, &f->now, &f->out);
	send_hold_through_relay(f);
}

/* The relay leaves, and "c" gets its entry. */
static void
replace_relay(struct outbox_fixture *f)
{
	char key[WF_KEY_MAX];
	struct agb_store_kv gone = {.key = key, .deleted = true};

	wf_table_make_key(key, 'n', "b");
	CU_ASSERT(wf_table_apply(&f->table, &gone).peers_changed);
	wf_outbox_update_peers(&f->l);
	add_peer(&f->table, "c", "10.0.0.3:1");
	wf_outbox_update_peers(&f->l);
	f->l.outbox.check_at = AGB_TIME_MAX;
	CU_ASSERT_EQUAL_FATAL(f->l.outbox.relays_len, WF_RELAYS_MAX);
	CU_ASSERT_STRING_EQUAL(f->l.outbox.relays[0].name, "c");
}

static void
outbox_fixture_close(struct outbox_fixture *f)
{
	wf_outbox_free(&f->l);
	wf_effects_free(&f->out);
	wf_table_free(&f->table);
	free(f->l.runners);
}

/* An answer of a relay arrives after its entry has gone to another instance.
 * Guards against the clock of the former one, by which orders to the new one
 * could be sent after they have ended here, and against a new one that is
 * avoided for the silence of the former. */
static void
late_answers_are_not_of_the_next_relay(void)
{
	static const struct {
		const char *what;
		struct wf_orders_ack ack;
		bool call_ends, result, pending;
		uint32_t silent_ms;
	} cases[] = {
	    {"accepted", {true, true, true, 5000 * AGB_SEC}, true, false, true,
		0},
	    {"refused", {true, true, false, 0}, true, false, false, 0},
	    {"not sent", {false, false, false, 0}, true, false, false, 0},
	    {"no answer", {false, true, false, 0}, true, false, false, 0},
	    {"a result", {false, false, false, 0}, false, true, false, 0},
	    {"silent", {false, false, false, 0}, false, false, false, 4000},
	};
	struct wf_relayed_result x = {
	    .number = 1, .status = WF_ORDER_OK, .list = 7};
	struct wf_result_batch results = {.fence = 5, .items = &x, .len = 1};
	const struct wf_relay_peer *c;
	struct outbox_fixture f;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		outbox_fixture_open(&f);
		CU_ASSERT_EQUAL_FATAL(f.out.items[0].type, WF_EF_ORDERS);
		replace_relay(&f);
		if (cases[i].call_ends)
			wf_outbox_call_done(&f.l, &f.now, f.out.items[0].tag,
			    &cases[i].ack, &f.out);
		if (cases[i].result)
			wf_outbox_handle_results(
			    &f.l, &f.now, &results, &f.out);
		tick_outbox(&f.l, 1040, 1040 + cases[i].silent_ms, &f.out);
		c = &f.l.outbox.relays[0];
		if (c->clock_read_at != 0 || c->excluded_until != 0)
			printf("\n%s\n", cases[i].what);
		CU_ASSERT_EQUAL(c->clock_read_at, 0);
		CU_ASSERT_EQUAL(c->last_reply_at, 0);
		CU_ASSERT_EQUAL(c->excluded_until, 0);
		CU_ASSERT_EQUAL(f.l.outbox.pending != NULL, cases[i].pending);
		outbox_fixture_close(&f);
	}
}

/* Guards against a list that is rebuilt from one of the relay that had the entry
 * before: runs that are there would count as missing. */
static void
runners_are_announced_to_the_next_relay(void)
{
	struct wf_relayed_result x = {
	    .number = 1, .status = WF_ORDER_OK, .list = 7};
	struct wf_result_batch results = {.fence = 5, .items = &x, .len = 1};
	const struct wf_order_batch *orders;
	struct outbox_fixture f;
	size_t len;

	outbox_fixture_open(&f);
	wf_outbox_handle_results(&f.l, &f.now, &results, &f.out);
	CU_ASSERT_EQUAL(f.l.runners[0].route.baseline.number, 7);
	/* The same relay is told the runner's address once. */
	len = f.out.len;
	send_hold_through_relay(&f);
	CU_ASSERT_EQUAL_FATAL(f.out.len, len + 1);
	orders = &f.out.items[len].u.orders;
	CU_ASSERT_EQUAL(orders->runners_len, 0);
	CU_ASSERT_EQUAL(orders->items[0].known_list, 7);
	replace_relay(&f);
	len = f.out.len;
	send_hold_through_relay(&f);
	CU_ASSERT_EQUAL_FATAL(f.out.len, len + 1);
	orders = &f.out.items[len].u.orders;
	CU_ASSERT_EQUAL(orders->runners_len, 1);
	CU_ASSERT_EQUAL(orders->items[0].known_list, 0);
	/* The former relay answers the hold that it was sent. */
	x.number = 2;
	x.list = 8;
	wf_outbox_handle_results(&f.l, &f.now, &results, &f.out);
	CU_ASSERT_EQUAL(f.l.runners[0].route.baseline.number, 0);
	outbox_fixture_close(&f);
}

/* ---- flow control of starts ---- */

/* Guards against a limit that stays high while messages are late, that falls
 * for each of the messages which waited in one queue, that single late messages
 * lower, or that does not rise again: then a full link carries only repetitions,
 * or tasks wait though the link is free. */
static void
limit_follows_the_delay_of_answers(void)
{
	static const struct {
		const char *name;
		uint32_t limit, in_flight, late, on_time;
		bool held_back, sent_before_reduction;
		uint32_t limit_after, base_ms;
	} cases[] = {
	    {"most answers are late", 400, 200, 9, 1, false, false, 140, 20},
	    {"the peer is far away", 400, 200, 9, 1, false, false, 400, 250},
	    {"as many are in time", 400, 200, 5, 5, false, false, 400, 0},
	    {"too few to judge", 400, 200, 2, 0, false, false, 400, 0},
	    {"sent before the last reduction", 400, 200, 9, 0, false, true, 400,
		0},
	    {"not below the minimum", 20, 20, 9, 0, true, false, 16, 0},
	    {"tasks are held back", 80, 80, 0, 9, true, false, 90, 0},
	    {"no task is held back", 80, 10, 0, 9, false, false, 80, 0},
	};
	const agb_time start = 10 * AGB_SEC, now = start + AGB_SEC;
	struct wf_flow f;
	uint32_t n;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		wf_flow_init(&f, start);
		f.limit = cases[i].limit;
		f.in_flight = cases[i].in_flight;
		if (cases[i].sent_before_reduction)
			f.reduced_at = now;
		if (cases[i].held_back)
			wf_flow_note_held_back(&f);
		/* The last answer closes the interval. */
		f.interval_start = now;
		for (n = 0; n + 1 < cases[i].late + cases[i].on_time; n++)
			wf_flow_note_answer(&f, now,
			    n < cases[i].late ? now - 300 * AGB_MS
					      : now - 20 * AGB_MS,
			    cases[i].base_ms * AGB_MS);
		f.interval_start = start;
		wf_flow_note_answer(&f, now,
		    cases[i].on_time > 0 ? now - 20 * AGB_MS
					 : now - 300 * AGB_MS,
		    cases[i].base_ms * AGB_MS);
		if (f.limit != cases[i].limit_after)
			printf("\n  %s: limit %u\n", cases[i].name, f.limit);
		CU_ASSERT_EQUAL(f.limit, cases[i].limit_after);
	}
}

/* Guards against more tickets than the limited rate of starts can use before
 * they expire, and against a rate that still limits when nothing is held back
 * any more. */
static void
starts_within_a_time_follow_the_rate(void)
{
	static const struct {
		uint32_t confirmed, later_ms, within_ms, starts;
		bool held_back;
	} cases[] = {
	    {100, 0, 1000, 100, true},
	    {100, 0, 500, 50, true},
	    {100, 499, 1000, 100, true},
	    {100, 501, 1000, UINT32_MAX, true},
	    {100, 0, 1000, UINT32_MAX, false},
	};
	const agb_time start = 10 * AGB_SEC, now = start + AGB_SEC;
	struct wf_flow f;
	uint32_t n;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		wf_flow_init(&f, start);
		f.limit = 50;
		for (n = 0; n < cases[i].confirmed; n++)
			wf_flow_note_confirmed(&f);
		if (cases[i].held_back)
			wf_flow_note_held_back(&f);
		f.on_time = 10;
		wf_flow_note_answer(&f, now, now - 20 * AGB_MS, 0);
		CU_ASSERT_EQUAL(
		    wf_flow_starts_within(&f, now + cases[i].later_ms * AGB_MS,
			cases[i].within_ms),
		    cases[i].starts);
	}
}

/* Guards against a leader that makes passes over a long queue one after the
 * other: orders and answers then wait until they are out of date. */
static void
passes_leave_time_for_other_work(void)
{
	static const struct {
		uint32_t queue_len, pass_ms, interval_ms;
	} cases[] = {
	    {0, 0, 8},
	    {1200, 0, 108},
	    {0, 2, 8},
	    {0, 20, 60},
	    {1200, 20, 108},
	    {1200, 60, 180},
	    {1200, 900, 400},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(wf_dispatch_interval(cases[i].queue_len,
				    cases[i].pass_ms * AGB_MS),
		    cases[i].interval_ms * AGB_MS);
}

/* ---- counts of pending jobs ---- */

/* Answers a question for the number of pending jobs of the only queue.
 * Return: the HTTP status; @pending is set with 200. */
static int
ask_pending(struct wf_table *t, const struct wf_front_knowledge *known,
    uint32_t *pending)
{
	const struct wf_config cfg = {.name = "a"};
	const struct wf_now now = {.mono = 10 * AGB_SEC};
	struct wf_doc *const doc = agb_xcalloc(1, sizeof(*doc));
	struct wf_call call = {.id = 1, .kind = WF_CALL_GET};
	struct wf_front *const f = wf_front_new(t, &cfg);
	struct wf_effects out = {0};
	int status = 0;
	size_t i;

	doc->queues = agb_xcalloc(1, sizeof(*doc->queues));
	doc->queues_len = 1;
	agb_str_copy(doc->queues->name, sizeof(agb_id), "q");
	agb_str_copy(doc->queues->host, sizeof(doc->queues->host), "h");
	agb_str_copy(
	    doc->queues->path_prefix, sizeof(doc->queues->path_prefix), "/q/");
	wf_doc_build_index(doc);
	agb_str_copy(call.host, sizeof(call.host), "h");
	agb_str_copy(call.path, sizeof(call.path), "/q/");
	wf_front_set_knowledge(f, known);
	wf_front_handle_call(f, &now, doc, &call, &out);
	for (i = 0; i < out.len; i++) {
		if (out.items[i].type != WF_EF_REPLY)
			continue;
		status = out.items[i].u.reply.http_status;
		*pending = out.items[i].u.reply.pending;
	}
	wf_effects_free(&out);
	wf_front_free(f);
	wf_doc_free(doc);
	return status;
}

/* Guards against an instance that answers with the number of the jobs that it
 * happens to know: after a restart of all instances callers were told of 14
 * pending jobs when 326 waited, until a leader was elected (users' rule MIXED,
 * small twin of the grown LAMTOI, trouble-1). */
static void
unknown_pending_count_is_refused(void)
{
	static const struct {
		struct wf_front_knowledge known;
		int status;
		uint32_t pending;
	} cases[] = {
	    {{.jobs_complete = true}, 200, 0},
	    {{.counts_current = true}, 200, 326},
	    {{.jobs_complete = true, .counts_current = true}, 200, 0},
	    {{.states_current = true}, 503, 0},
	    {{0}, 503, 0},
	};
	const uint32_t count = 326;
	struct wf_table t;
	uint32_t pending;
	size_t i;

	memset(&t, 0, sizeof(t));
	CU_ASSERT(wf_known_counts_set(
	    &t.counts, "q", (const char *)&count, sizeof(count)));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		pending = 0;
		CU_ASSERT_EQUAL(ask_pending(&t, &cases[i].known, &pending),
		    cases[i].status);
		CU_ASSERT_EQUAL(pending, cases[i].pending);
	}
	wf_known_counts_free(&t.counts);
}

static const struct suite_test tests[] = {
    {"pending jobs: an unknown count is refused",
	unknown_pending_count_is_refused},
    {"passes: they leave time for other work",
	passes_leave_time_for_other_work},
    {"pause of the leader is no silence of relays",
	pause_of_leader_is_no_silence_of_relays},
    {"entry of a relay: late answers are not of the next one",
	late_answers_are_not_of_the_next_relay},
    {"entry of a relay: runners are announced to the next one",
	runners_are_announced_to_the_next_relay},
    {"flow: the limit follows the delay of answers",
	limit_follows_the_delay_of_answers},
    {"flow: starts within a time follow the rate",
	starts_within_a_time_follow_the_rate},
    {"overdue hold: a probe follows", overdue_hold_is_followed_by_probe},
    {"overdue hold: given up when a probe is answered",
	answered_probe_gives_up_overdue_hold},
    {"gone leader: its lease is ended", lease_of_gone_leader_is_ended},
    {"records: too many tasks are malformed",
	jobs_with_too_many_tasks_are_malformed},
    {"peers: a restarted instance replaces its predecessor",
	restarted_instance_replaces_its_predecessor},
    {"hand-over: the successor is chosen", successor_of_leader_is_chosen},
    {"run times: learned from ended runs", run_time_is_learned_from_ended_runs},
    {"run times: progress tells the end", progress_tells_when_a_run_ends},
    {"overdue run ends later", overdue_run_ends_later},
};

int
main(void)
{
	return suite_run("wf_policy", tests, sizeof(tests) / sizeof(tests[0]));
}

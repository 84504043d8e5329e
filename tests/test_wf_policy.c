/**
 * DOC: test_wf_policy
 *
 * Policies of the workflow scheduler that need neither a leader nor a network:
 * tables of inputs and the decisions expected for them.
 */

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "suite.h"
#include "wf_failover.h"
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

static void
add_peer(struct wf_table *t, const char *name, const char *rpc)
{
	struct wf_peer *const p = agb_xcalloc(1, sizeof(*p));

	agb_str_copy(p->name, sizeof(p->name), name);
	agb_str_copy(p->rpc, sizeof(p->rpc), rpc);
	HASH_ADD_STR(t->peers, name, p);
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
	} cases[] = {
	    /* Nothing speaks against the leader. */
	    {"a", "10.0.0.1:1", NULL, true, 0},
	    /* This instance runs at the leader's address. */
	    {"b2", "10.0.0.2:1", NULL, false, 7},
	    /* The leader's address refuses connections. */
	    {"a", "10.0.0.1:1", "10.0.0.2:1", true, 7},
	    {"a", "10.0.0.1:1", "10.0.0.2:1", false, 0},
	    /* Another instance is gone. */
	    {"a", "10.0.0.1:1", "10.0.0.3:1", true, 0},
	    /* The leader itself. */
	    {"b", "10.0.0.2:1", NULL, true, 0},
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
			cases[i].may_succeed, AGB_SEC),
		    cases[i].lease);
		/* Not again at once. */
		CU_ASSERT_EQUAL(
		    wf_failover_lease(&f, &t, cases[i].self, cases[i].rpc,
			cases[i].may_succeed, AGB_SEC),
		    0);
		/* A refusal says nothing about the next leader. */
		t.leader_rev = 6;
		if (cases[i].refused != NULL)
			CU_ASSERT_EQUAL(
			    wf_failover_lease(&f, &t, cases[i].self,
				cases[i].rpc, cases[i].may_succeed, AGB_SEC),
			    0);
		wf_table_free(&t);
	}
}

static const struct suite_test tests[] = {
    {"overdue hold: a probe follows", overdue_hold_is_followed_by_probe},
    {"overdue hold: given up when a probe is answered",
	answered_probe_gives_up_overdue_hold},
    {"gone leader: its lease is ended", lease_of_gone_leader_is_ended},
};

int
main(void)
{
	return suite_run("wf_policy", tests, sizeof(tests) / sizeof(tests[0]));
}

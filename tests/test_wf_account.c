/**
 * DOC: test_wf_account
 *
 * Limits and shares of client accounts: tables of cases for the decisions.
 */

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "suite.h"
#include "wf_account.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

static struct wf_doc *
make_doc(const struct wf_account *accounts, size_t len)
{
	struct wf_doc *const d = agb_xcalloc(1, sizeof(*d));

	d->accounts = agb_xcalloc(len + 1, sizeof(*d->accounts));
	if (len > 0)
		memcpy(d->accounts, accounts, len * sizeof(*accounts));
	d->accounts_len = len;
	return d;
}

/* Number of tasks of a step that may start beside what is kept free for other
 * work, or whatever that is. It is not known when they end. */
static uint32_t
startable(const struct wf_accounts *as, const struct wf_account_use *a,
    const struct wf_step *step, const void *id)
{
	const struct wf_account_work w = {
	    .id = id, .step = step, .count = 1, .ends_at = AGB_TIME_MAX};

	return wf_account_startable(as, a, &w);
}

static void
set_accounts(
    struct wf_accounts *as, const struct wf_account *accounts, size_t len)
{
	struct wf_doc *const d = make_doc(accounts, len);

	wf_accounts_set_doc(as, d);
	wf_doc_free(d);
}

/* Guards against starts beyond a limit in any of the resources, and against a
 * limit of 0, which means none, that stops an account. */
static void
limit_bounds_starts(void)
{
	static const struct {
		struct agb_resources limit, used, need;
		uint32_t n;
	} cases[] = {
	    {{0, 0, 0}, {9000, 900, 9}, {1000, 10, 1}, UINT32_MAX},
	    {{10000, 0, 0}, {0, 0, 0}, {1000, 10, 0}, 10},
	    {{10000, 0, 0}, {6500, 0, 0}, {1000, 10, 0}, 3},
	    {{10000, 0, 0}, {10000, 0, 0}, {1, 0, 0}, 0},
	    /* Lowered below what runs. */
	    {{10000, 0, 0}, {12000, 0, 0}, {1000, 10, 0}, 0},
	    {{10000, 100, 0}, {0, 75, 0}, {1000, 10, 0}, 2},
	    {{10000, 100, 4}, {0, 0, 3}, {1000, 10, 1}, 1},
	    {{10000, 100, 4}, {0, 0, 4}, {1000, 10, 1}, 0},
	    /* The task asks for nothing of the resource that is used up. */
	    {{10000, 100, 4}, {0, 0, 4}, {1000, 10, 0}, 10},
	};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		const struct wf_account account = {
		    .name = "a", .weight = 1, .limit = cases[i].limit};
		/* A best-effort task counts with all that it requests. */
		const struct wf_step step = {
		    .count = 1, .need = cases[i].need, .best_effort = i % 2};
		struct wf_accounts as = {0};
		struct wf_account_use *a;

		set_accounts(&as, &account, 1);
		a = wf_account_get(&as, "a");
		a->used = cases[i].used;
		CU_ASSERT_EQUAL(startable(&as, a, &step, &step), cases[i].n);
		/* The document loses its accounts. */
		set_accounts(&as, NULL, 0);
		CU_ASSERT_EQUAL(startable(&as, a, &step, &step), UINT32_MAX);
		wf_accounts_free(&as);
	}
}

/* Guards against a table that grows with each account that was ever named, and
 * against a removed account that keeps its limit. */
static void
table_has_accounts_of_document_and_jobs(void)
{
	static const struct wf_account accounts[] = {
	    {.name = "a", .weight = 7, .limit = {.cpu_milli = 5000}},
	    {.name = "b", .weight = 0},
	    {.name = "a", .weight = 9},
	};
	struct wf_accounts as = {0};
	struct wf_account_use *a, *c;

	set_accounts(&as, accounts, 3);
	CU_ASSERT_EQUAL(HASH_COUNT(as.by_name), 2);
	a = wf_account_get(&as, "a");
	CU_ASSERT_EQUAL(a->weight, 7);
	CU_ASSERT_EQUAL(a->limit.cpu_milli, 5000);
	c = wf_account_get(&as, "c");
	CU_ASSERT_PTR_EQUAL(wf_account_get(&as, "c"), c);
	CU_ASSERT_EQUAL(c->weight, 1);
	CU_ASSERT_EQUAL(HASH_COUNT(as.by_name), 3);
	wf_account_put(&as, c);
	CU_ASSERT_EQUAL(HASH_COUNT(as.by_name), 3);
	wf_account_put(&as, c);
	CU_ASSERT_EQUAL(HASH_COUNT(as.by_name), 2);
	set_accounts(&as, accounts + 1, 1);
	CU_ASSERT_EQUAL(HASH_COUNT(as.by_name), 2);
	CU_ASSERT_EQUAL(a->weight, 1);
	CU_ASSERT_EQUAL(a->limit.cpu_milli, 0);
	wf_account_put(&as, a);
	CU_ASSERT_EQUAL(HASH_COUNT(as.by_name), 1);
	wf_accounts_free(&as);
}

#define ACCOUNTS 3

/* Guards against shares that have an effect while there is room for all, and
 * against shares that an account gets and does not ask for. */
static void
shares_divide_what_is_asked_for(void)
{
	static const struct {
		struct {
			uint32_t weight;
			int64_t used, waiting, limit;
		} accounts[ACCOUNTS];
		int64_t free;
		bool lacks_room;
		/* 0: not limited by its share. */
		int64_t shares[ACCOUNTS];
	} cases[] = {
	    /* There is room for all. */
	    {{{1, 90, 10, 0}, {1, 0, 10, 0}, {1, 0, 0, 0}}, 20, false,
		{0, 0, 0}},
	    /* Two accounts of the same weight; the third has no work. */
	    {{{1, 90, 100, 0}, {1, 10, 100, 0}, {1, 0, 0, 0}}, 0, false,
		{50, 50, 0}},
	    /* By weight. */
	    {{{1, 50, 100, 0}, {3, 50, 100, 0}, {4, 60, 100, 0}}, 0, false,
		{20, 60, 80}},
	    /* The third asks for less than its share. */
	    {{{1, 60, 100, 0}, {1, 50, 100, 0}, {1, 5, 5, 0}}, 5, false,
		{55, 55, 0}},
	    /* The limit of the first one is below its share. */
	    {{{1, 20, 100, 20}, {1, 60, 100, 0}, {1, 20, 100, 0}}, 0, false,
		{0, 40, 40}},
	    /* Work waits for room though enough processors are free, which are
	     * of no use to it. */
	    {{{1, 90, 10, 0}, {1, 10, 10, 0}, {1, 0, 0, 0}}, 60, true,
		{80, 0, 0}},
	    /* One account alone is not held back. */
	    {{{1, 60, 100, 0}, {1, 0, 0, 0}, {1, 0, 0, 0}}, 10, false,
		{70, 0, 0}},
	};
	static const char *const names[ACCOUNTS] = {"a", "b", "c"};
	size_t i, k;

	for (i = 0; i < LEN(cases); i++) {
		struct wf_account list[ACCOUNTS] = {{.weight = 0}};
		const struct wf_step step = {
		    .count = 1, .need = {.cpu_milli = 1}};
		struct wf_accounts as = {.lacks_room = cases[i].lacks_room};
		struct wf_account_use *a[ACCOUNTS];

		for (k = 0; k < ACCOUNTS; k++) {
			agb_str_copy(
			    list[k].name, sizeof(list[k].name), names[k]);
			list[k].weight = cases[i].accounts[k].weight;
			list[k].limit.cpu_milli = cases[i].accounts[k].limit;
		}
		set_accounts(&as, list, ACCOUNTS);
		wf_accounts_begin_pass(&as);
		for (k = 0; k < ACCOUNTS; k++) {
			const struct wf_account_work w = {.id = &a[k],
			    .step = &step,
			    .count = (uint32_t)cases[i].accounts[k].waiting};

			a[k] = wf_account_get(&as, names[k]);
			a[k]->used.cpu_milli = cases[i].accounts[k].used;
			wf_account_add_waiting(&as, a[k], &w, 0);
		}
		CU_ASSERT_EQUAL(wf_accounts_divide(&as, cases[i].free), i > 0);
		for (k = 0; k < ACCOUNTS; k++) {
			const int64_t share = cases[i].shares[k];

			CU_ASSERT_EQUAL(a[k]->share_cpu_milli,
			    share > 0 ? share : INT64_MAX);
		}
		wf_accounts_free(&as);
	}
}

/* Guards against a share for work that a limit keeps out: the other account would
 * be over its own. */
static void
excluded_work_asks_for_no_share(void)
{
	static const struct wf_account accounts[] = {
	    {.name = "a", .weight = 1, .limit = {.mem_mb = 100}},
	    {.name = "b", .weight = 1},
	};
	static const struct {
		int64_t used_mem_mb;
		struct wf_step step;
		uint32_t count;
		bool is_short;
	} cases[] = {
	    {95, {.need = {.cpu_milli = 10, .mem_mb = 10}}, 8, false},
	    {65, {.need = {.cpu_milli = 10, .mem_mb = 10}}, 8, true},
	    {30, {.gang = true, .need = {.cpu_milli = 10, .mem_mb = 10}}, 8,
		false},
	    {20, {.gang = true, .need = {.cpu_milli = 10, .mem_mb = 10}}, 8,
		true},
	};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		const struct wf_account_work w = {.id = &cases[i],
		    .step = &cases[i].step,
		    .count = cases[i].count};
		struct wf_accounts as = {0};
		struct wf_account_use *a, *b;

		set_accounts(&as, accounts, LEN(accounts));
		a = wf_account_get(&as, "a");
		b = wf_account_get(&as, "b");
		a->used.mem_mb = cases[i].used_mem_mb;
		b->used.cpu_milli = 50;
		wf_accounts_begin_pass(&as);
		wf_account_add_waiting(&as, a, &w, 0);
		CU_ASSERT_EQUAL(wf_accounts_divide(&as, 20), cases[i].is_short);
		CU_ASSERT_EQUAL(a->waiting_cpu_milli, 80);
		wf_accounts_free(&as);
	}
}

/* Guards against one pass that places all work of an account which was below
 * its share when the pass began. */
static void
planned_work_counts_for_share(void)
{
	static const struct wf_account account = {
	    .name = "a", .weight = 1, .limit = {.mem_mb = 100}};
	static const struct {
		struct wf_step step;
		uint32_t count;
		bool over;
	} cases[] = {
	    {{.need = {.cpu_milli = 10}}, 2, false},
	    /* The limit keeps these out, so that they take nothing. */
	    {{.gang = true, .need = {.cpu_milli = 10, .mem_mb = 30}}, 4, false},
	    {{.need = {.cpu_milli = 10, .mem_mb = 101}}, 4, false},
	    {{.need = {.cpu_milli = 10}}, 2, false},
	    {{.need = {.cpu_milli = 10}}, 1, true},
	};
	struct wf_accounts as = {0};
	struct wf_account_use *a;
	size_t i;

	set_accounts(&as, &account, 1);
	a = wf_account_get(&as, "a");
	wf_accounts_begin_pass(&as);
	a->used.cpu_milli = 60;
	a->share_cpu_milli = 100;
	for (i = 0; i < LEN(cases); i++) {
		const struct wf_account_work w = {.id = &cases[i],
		    .step = &cases[i].step,
		    .count = cases[i].count};

		CU_ASSERT_EQUAL(wf_account_plan(&as, a, &w), cases[i].over);
	}
	wf_accounts_free(&as);
}

static void
consider_hold(struct wf_accounts *as, struct wf_account_use *a,
    const struct wf_account_work *w, agb_time now)
{
	if (wf_account_is_hold_candidate(a, w, now))
		wf_account_consider_hold(as, a, w, now);
}

/* Makes the pass in which @w waits beside a run that is expected to end after
 * @ends_ms, or 0 for one that lasts, and others of @lasting that last. */
static void
make_pass(struct wf_accounts *as, struct wf_account_use *a,
    const struct wf_account_work *w, int64_t lasting, uint32_t ends_ms,
    agb_time now)
{
	const struct agb_resources ending = {
	    .cpu_milli = a->used.cpu_milli - lasting};

	wf_accounts_begin_pass(as);
	wf_account_add_waiting(as, a, w, now);
	if (ends_ms > 0)
		wf_account_add_end(a, now + ends_ms * AGB_MS, &ending);
	wf_accounts_sort_ends(as);
	consider_hold(as, a, w, now);
}

/* A gang of 4 tasks of 1000 with a limit of 6000, of which 2000 are in use by runs
 * that last: when the rest of the limit is
 * kept free for it. Guards against a gang that smaller work of its account
 * keeps out for good, against work that waits though its account uses little,
 * and against a hold for what cannot start in a time that is worth it. */
static void
rest_of_limit_is_held(void)
{
	static const struct {
		int64_t used;
		uint32_t count;
		uint32_t waited_ms;
		uint32_t ends_ms;
		uint32_t others;
	} cases[] = {
	    {5000, 4, 999, 2000, 1},
	    {5000, 4, 1000, 2000, 0},
	    /* It fits. */
	    {2000, 4, 5000, 2000, 4},
	    /* The account uses no more than half of its limit. */
	    {3000, 4, 2999, 2000, 0},
	    {3000, 4, 3000, 2000, 3},
	    {3000, 4, 4999, 2000, 3},
	    {3000, 4, 5000, 2000, 0},
	    {3000, 4, 28999, 2000, 3},
	    {3000, 4, 32999, 2000, 0},
	    {3001, 4, 3000, 2000, 0},
	    /* It can never start. */
	    {5000, 7, 5000, 2000, 1},
	    /* The run in its way lasts. */
	    {5000, 4, 1000, 0, 1},
	    {3000, 4, 2999, 0, 3},
	    {3000, 4, 32999, 0, 3},
	    {3000, 4, 300999, 0, 3},
	    /* The run in its way ends later than it may wait for it. */
	    {5000, 4, 1000, 10000, 0},
	    {5000, 4, 1000, 10001, 1},
	    {5000, 4, 16000, 15001, 1},
	    {3000, 4, 32999, 31999, 0},
	    {3000, 4, 32999, 32000, 3},
	};
	static const struct wf_account account = {
	    .name = "a", .weight = 1, .limit = {.cpu_milli = 6000}};
	static const struct wf_step small = {
	    .count = 1, .need = {.cpu_milli = 1000}};
	static const struct wf_step free_of_limit = {
	    .count = 1, .need = {.mem_mb = 1}};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		const struct wf_step gang = {.gang = true,
		    .count = cases[i].count,
		    .need = {.cpu_milli = 1000}};
		const struct wf_account_work w = {.id = &gang,
		    .step = &gang,
		    .count = cases[i].count,
		    .ready_at = AGB_SEC};
		struct wf_accounts as = {0};
		struct wf_account_use *a;
		const uint32_t rest = (uint32_t)(6000 - cases[i].used) / 1000;

		set_accounts(&as, &account, 1);
		a = wf_account_get(&as, "a");
		a->used.cpu_milli = cases[i].used;
		make_pass(&as, a, &w, 2000, cases[i].ends_ms,
		    AGB_SEC + cases[i].waited_ms * AGB_MS);
		CU_ASSERT_EQUAL(a->never_fits, cases[i].count > 6);
		CU_ASSERT_EQUAL(
		    startable(&as, a, &small, &small), cases[i].others);
		CU_ASSERT_EQUAL(startable(&as, a, &gang, &gang), rest);
		CU_ASSERT_EQUAL(startable(&as, a, &small, NULL), rest);
		CU_ASSERT_EQUAL(
		    startable(&as, a, &free_of_limit, &free_of_limit),
		    UINT32_MAX);
		wf_accounts_free(&as);
	}
}

/* Work of the account beside the gang of rest_of_limit_is_held(), for which the
 * limit is kept free from the end of a run of @used on. Guards against work that
 * waits though it puts the gang off by nothing, and against work that puts it
 * off. */
static void
limit_is_lent_until_held_work_starts(void)
{
	static const struct {
		int64_t used, lasting, need;
		uint32_t waited_ms, run_ms;
		bool long_running;
		uint32_t startable;
	} cases[] = {
	    {5000, 2000, 1000, 2000, 2000, false, 1},
	    {5000, 2000, 1000, 2000, 2001, false, 0},
	    /* The gang leaves room for it beside itself. */
	    {5000, 1000, 1000, 2000, 9000, false, 1},
	    {3000, 0, 2000, 2000, 9000, false, 1},
	    {3000, 0, 2500, 2000, 9000, false, 0},
	    /* Work that lasts waits like other work while the account uses
	     * more than half of its limit, and else for one period. */
	    {3000, 2000, 1000, 2000, 0, true, 0},
	    {3000, 2000, 1000, 32000, 0, true, 3},
	    {3001, 2000, 1000, 32000, 0, true, 0},
	};
	static const struct wf_account account = {
	    .name = "a", .weight = 1, .limit = {.cpu_milli = 6000}};
	static const struct wf_step gang = {
	    .gang = true, .count = 4, .need = {.cpu_milli = 1000}};
	static const struct wf_account_work w = {
	    .id = &gang, .step = &gang, .count = 4, .ready_at = AGB_SEC};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		const agb_time now = AGB_SEC + cases[i].waited_ms * AGB_MS;
		const struct wf_step step = {.count = 1,
		    .need = {.cpu_milli = cases[i].need},
		    .long_running = cases[i].long_running};
		const struct wf_account_work other = {.id = &step,
		    .step = &step,
		    .count = 1,
		    .ends_at = cases[i].long_running
			? AGB_TIME_MAX
			: now + cases[i].run_ms * AGB_MS};
		struct wf_accounts as = {0};
		struct wf_account_use *a;

		set_accounts(&as, &account, 1);
		a = wf_account_get(&as, "a");
		a->used.cpu_milli = cases[i].used;
		make_pass(&as, a, &w, cases[i].lasting, 2000, now);
		CU_ASSERT_EQUAL(
		    wf_account_startable(&as, a, &other), cases[i].startable);
		wf_accounts_free(&as);
	}
}

/* Work of an account that waits beside another, in the way of which is a run that
 * ends soon. */
static void
make_pass_beside(struct wf_accounts *as, struct wf_account_use *a,
    const struct wf_account_work *newer, const struct wf_account_work *w,
    agb_time now)
{
	wf_accounts_begin_pass(as);
	wf_account_add_waiting(as, a, newer, now);
	wf_account_add_waiting(as, a, w, now);
	wf_account_add_end(a, now + AGB_SEC, &a->used);
	wf_accounts_sort_ends(as);
	consider_hold(as, a, newer, now);
	consider_hold(as, a, w, now);
}

/* The gang of rest_of_limit_is_held() when all runs end together. Guards
 * against other work that takes the limit before the gang has the advice that
 * it needs. */
static void
rest_of_limit_is_held_for_fitting_gang(void)
{
	static const struct {
		bool kept_out;
		uint32_t fits_for_ms;
		uint32_t others;
	} cases[] = {
	    {false, 10, 6},
	    {true, 10, 2},
	    {true, 799, 2},
	    {true, 800, 6},
	};
	static const struct wf_account account = {
	    .name = "a", .weight = 1, .limit = {.cpu_milli = 6000}};
	static const struct wf_step small = {
	    .count = 1, .need = {.cpu_milli = 1000}};
	static const struct wf_step gang = {
	    .gang = true, .count = 4, .need = {.cpu_milli = 1000}};
	static const struct wf_account_work w = {
	    .id = &gang, .step = &gang, .count = 4, .ready_at = AGB_SEC};
	static const struct wf_account_work newer = {
	    .id = &small, .step = &small, .count = 1, .ready_at = 2 * AGB_SEC};
	uint32_t ms;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct wf_accounts as = {0};
		struct wf_account_use *a;
		agb_time now = 4 * AGB_SEC;

		set_accounts(&as, &account, 1);
		a = wf_account_get(&as, "a");
		if (cases[i].kept_out) {
			a->used.cpu_milli = 6000;
			make_pass_beside(&as, a, &newer, &w, now);
			a->used.cpu_milli = 0;
		}
		for (ms = 0; ms < cases[i].fits_for_ms; ms++) {
			now += AGB_MS;
			make_pass_beside(&as, a, &newer, &w, now);
		}
		CU_ASSERT_EQUAL(
		    startable(&as, a, &small, &small), cases[i].others);
		wf_accounts_free(&as);
	}
}

static const struct suite_test tests[] = {
    {"a limit bounds the starts", limit_bounds_starts},
    {"the table has the accounts of the document and of jobs",
	table_has_accounts_of_document_and_jobs},
    {"shares divide what is asked for", shares_divide_what_is_asked_for},
    {"excluded work asks for no share", excluded_work_asks_for_no_share},
    {"planned work counts for the share", planned_work_counts_for_share},
    {"the rest of a limit is held", rest_of_limit_is_held},
    {"a limit is lent until held work starts",
	limit_is_lent_until_held_work_starts},
    {"the rest of a limit is held for a gang that fits",
	rest_of_limit_is_held_for_fitting_gang},
};

int
main(void)
{
	return suite_run("wf_account", tests, LEN(tests));
}

#ifndef WF_ACCOUNT_H
#define WF_ACCOUNT_H

/**
 * DOC: wf_account
 *
 * Use of the runners by client accounts, as the leader knows it: what may be
 * running, what waits, and what the limit and the fair share of each account
 * allow. The table has the accounts of the document and those of the jobs that
 * are executed. Jobs without an account count as one account with the name "".
 * Nothing is limited and nothing reordered while the document has no accounts.
 */

#include <uthash.h>

#include "wf_doc.h"
#include "wf_types.h"

/* When a run of an account is expected to end, and what it uses until then. */
struct wf_account_end {
	agb_time at;
	struct agb_resources need;
};

/**
 * struct wf_account_use - a client account at the leader
 * @weight: share of the resources relative to that of the other accounts
 * @limit: resources that its tasks may use at the same time; 0 in a field for
 *	no limit
 * @used: requests of all its runs that may be on runners; best-effort tasks
 *	count with all resources that they request
 * @refs: number of jobs and orphan runs that refer to it
 * @in_doc: the document has it
 * @waiting_cpu_milli: processors of its queued tasks, in thousandths, as of the
 *	current pass over the queue
 * @demand_cpu_milli: those of them that its limit lets start, each unit taken
 *	alone
 * @share_cpu_milli: its fair share; INT64_MAX when all that it asks for is
 *	within its share
 * @planned_cpu_milli: processors of its units that the pass has sorted so far
 * @never_fits: number of its queued units that need more than its whole limit, as
 *	of the current pass
 * @excludes_work: its limit has kept work out for a while, as of the current pass
 * @ends, @ends_len, @ends_cap: expected ends of its runs, if it excludes work;
 *	without those that have none
 * @holder: the work that has been kept out by the limit for longest, if the
 *	rest of the limit is kept free for it
 * @holder_since: when that work became ready
 * @held: what is kept free for it, from @held_from on
 * @held_from: when that work is expected to fit
 * @ending: what the runs use that are expected to end until then
 * @holds_back_lasting: work that lasts waits for it, too
 * @excluded_at: when the limit last kept that work out
 * @last_holder, @last_holder_since, @last_excluded_at: the same as of the last
 *	pass
 * @held_by_limit, @held_by_share: work of it was held back since the last log
 *	line
 */
struct wf_account_use {
	agb_id name;
	uint32_t weight;
	struct agb_resources limit;
	struct agb_resources used;
	uint32_t refs;
	bool in_doc;
	int64_t waiting_cpu_milli;
	int64_t demand_cpu_milli;
	int64_t share_cpu_milli;
	int64_t planned_cpu_milli;
	uint32_t never_fits;
	bool excludes_work;
	struct wf_account_end *ends;
	size_t ends_len;
	size_t ends_cap;
	const void *holder;
	agb_time holder_since;
	struct agb_resources held;
	agb_time held_from;
	struct agb_resources ending;
	bool holds_back_lasting;
	agb_time excluded_at;
	const void *last_holder;
	agb_time last_holder_since;
	agb_time last_excluded_at;
	bool held_by_limit;
	bool held_by_share;
	UT_hash_handle hh;
};

/**
 * struct wf_accounts - table of client accounts
 * @enabled: the document has accounts
 * @lacks_room: work that was ready has waited for room after the last pass
 * @next_line_at: log lines are written at this time or later
 */
struct wf_accounts {
	struct wf_account_use *by_name;
	bool enabled;
	bool lacks_room;
	agb_time next_line_at;
};

/**
 * struct wf_account_work - queued work of one step
 * @id: identifies it within a pass; NULL when what is kept free for other work
 *	does not matter to it, as it joins a gang whose other members have started
 * @count: number of tasks
 * @ready_at: when it became ready
 * @ends_at: when a task that starts now is expected to end; AGB_TIME_MAX when
 *	that is not known
 */
struct wf_account_work {
	const void *id;
	const struct wf_step *step;
	uint32_t count;
	agb_time ready_at;
	agb_time ends_at;
};

/**
 * wf_accounts_set_doc() - take the weights and limits of a document
 * @doc: may be NULL
 */
void wf_accounts_set_doc(struct wf_accounts *as, const struct wf_doc *doc);

/**
 * wf_accounts_free() - free all accounts, also those that are referred to
 */
void wf_accounts_free(struct wf_accounts *as);

/**
 * wf_account_get() - find an account, which is added if it is not known
 *
 * The caller refers to it until wf_account_put().
 */
struct wf_account_use *wf_account_get(struct wf_accounts *as, const char *name);

void wf_account_put(struct wf_accounts *as, struct wf_account_use *a);

/**
 * wf_account_startable() - number of further tasks that an account may start now
 * within its limit
 * @w: the work that they belong to
 *
 * What is kept free for other work is left out, unless the tasks are expected to
 * end before that work can start.
 */
uint32_t wf_account_startable(const struct wf_accounts *as,
    const struct wf_account_use *a, const struct wf_account_work *w);

/**
 * wf_accounts_begin_pass() - forget the queued work of the last pass
 */
void wf_accounts_begin_pass(struct wf_accounts *as);

/**
 * wf_account_add_waiting() - count queued work
 */
void wf_account_add_waiting(const struct wf_accounts *as,
    struct wf_account_use *a, const struct wf_account_work *w, agb_time now);

/**
 * wf_account_add_end() - add the expected end of a run of an account that
 * excludes work
 *
 * Runs that have no end, as they last, are not added.
 */
void wf_account_add_end(
    struct wf_account_use *a, agb_time at, const struct agb_resources *need);

/**
 * wf_accounts_sort_ends() - sort the expected ends, after all were added
 */
void wf_accounts_sort_ends(struct wf_accounts *as);

/**
 * wf_account_is_hold_candidate() - whether queued work may get the rest of the
 * limit kept free: it has waited for a while, and for longer than the work for
 * which that is done so far
 */
bool wf_account_is_hold_candidate(const struct wf_account_use *a,
    const struct wf_account_work *w, agb_time now);

/**
 * wf_account_consider_hold() - keep the rest of the limit free for a candidate if
 * it needs that, after all queued work and all expected ends were added
 *
 * Work that has been kept out by the limit for a while gets the rest of the
 * limit kept free, so that smaller work of the same account does not keep it
 * out for good. That is done only for work that can start once runs end, and not
 * while its start is further away than it has waited, or than some seconds. While
 * the account uses less than half of its limit, it is done half of the time at
 * first.
 */
void wf_account_consider_hold(const struct wf_accounts *as,
    struct wf_account_use *a, const struct wf_account_work *w, agb_time now);

/**
 * wf_accounts_divide() - compute the fair share of each account, after all
 * queued work was counted
 * @free_cpu_milli: free processors of all usable runners, in thousandths
 *
 * The processors in use and the free ones are divided by weight among the
 * accounts that have work running or waiting. What an account does not ask for
 * is divided among the others.
 * Return: false when room is not short, so that shares have no effect.
 */
bool wf_accounts_divide(struct wf_accounts *as, int64_t free_cpu_milli);

/**
 * wf_account_plan() - whether an account has used up its share before this
 * work, which is counted as planned
 */
bool wf_account_plan(const struct wf_accounts *as, struct wf_account_use *a,
    const struct wf_account_work *w);

#endif

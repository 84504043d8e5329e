#include "wf_account.h"

#include <stdlib.h>

#include "mem.h"

/* The rest of a limit is kept free for work that the limit has kept out for
 * this long since it became ready. Shorter waits end by themselves when runs
 * end. */
#define HOLD_AFTER_MS 1000
/* Other work of an account that uses less than half of its limit must not wait
 * for 3 s while it has room. */
#define HOLD_PERIOD_MS 2000
/* The rest of the limit is kept free for this long for work that fits now,
 * within which advice for it arrives. Together with HOLD_PERIOD_MS it is below
 * those 3 s.
 */
#define HOLD_FITTING_MS 800
/* Work that was kept out for this long after HOLD_AFTER_MS starts next,
 * whatever its account uses, as it would never start beside a steady load of
 * longer runs.
 */
#define HOLD_ALWAYS_MS 30000
/* The rest of a limit is kept free for no longer than this, or than the work for
 * which it is has waited. */
#define HOLD_HORIZON_MS 10000

static struct wf_account_use *
find(const struct wf_accounts *as, const char *name)
{
	struct wf_account_use *a;

	HASH_FIND_STR(as->by_name, name, a);
	return a;
}

static struct wf_account_use *
find_or_add(struct wf_accounts *as, const char *name)
{
	struct wf_account_use *a = find(as, name);

	if (a != NULL)
		return a;
	a = agb_xcalloc(1, sizeof(*a));
	agb_str_copy(a->name, sizeof(a->name), name);
	a->weight = 1;
	a->share_cpu_milli = INT64_MAX;
	HASH_ADD_STR(as->by_name, name, a);
	return a;
}

static void
remove_unused(struct wf_accounts *as, struct wf_account_use *a)
{
	if (a->refs > 0 || a->in_doc)
		return;
	/* NOLINTBEGIN(clang-analyzer-unix.Malloc): the analyzer does not see
	 * that it is taken off the table. */
	HASH_DEL(as->by_name, a);
	/* NOLINTEND(clang-analyzer-unix.Malloc) */
	free(a->ends);
	free(a);
}

void
wf_accounts_set_doc(struct wf_accounts *as, const struct wf_doc *doc)
{
	struct wf_account_use *a, *next;
	size_t i;

	as->enabled = doc != NULL && doc->accounts_len > 0;
	for (a = as->by_name; a != NULL; a = a->hh.next) {
		a->in_doc = false;
		a->weight = 1;
		a->limit = (struct agb_resources){0};
	}
	for (i = 0; doc != NULL && i < doc->accounts_len; i++) {
		a = find_or_add(as, doc->accounts[i].name);
		/* Of accounts with the same name the first one counts, as in
		 * wf_doc_account(). */
		if (a->in_doc)
			continue;
		a->in_doc = true;
		a->weight =
		    doc->accounts[i].weight > 0 ? doc->accounts[i].weight : 1;
		a->limit = doc->accounts[i].limit;
	}
	for (a = as->by_name; a != NULL; a = next) {
		next = a->hh.next;
		remove_unused(as, a);
	}
}

void
wf_accounts_free(struct wf_accounts *as)
{
	struct wf_account_use *a = as->by_name, *next;

	HASH_CLEAR(hh, as->by_name);
	for (; a != NULL; a = next) {
		next = a->hh.next;
		free(a->ends);
		free(a);
	}
}

struct wf_account_use *
wf_account_get(struct wf_accounts *as, const char *name)
{
	struct wf_account_use *const a = find_or_add(as, name);

	a->refs++;
	return a;
}

void
wf_account_put(struct wf_accounts *as, struct wf_account_use *a)
{
	a->refs--;
	remove_unused(as, a);
}

/* ---- limits ---- */

/* Number of tasks that a limit of one resource lets start. */
static uint32_t
count_within(int64_t limit, int64_t used, int64_t need)
{
	const int64_t rest = limit - used;

	if (limit <= 0 || need <= 0)
		return UINT32_MAX;
	if (rest < need)
		return 0;
	return rest / need < UINT32_MAX ? (uint32_t)(rest / need) : UINT32_MAX;
}

static uint32_t
count_within_limit(const struct wf_account_use *a,
    const struct agb_resources *used, const struct agb_resources *need)
{
	uint32_t n, k;

	n = count_within(a->limit.cpu_milli, used->cpu_milli, need->cpu_milli);
	k = count_within(a->limit.mem_mb, used->mem_mb, need->mem_mb);
	n = k < n ? k : n;
	k = count_within(a->limit.accel, used->accel, need->accel);
	return k < n ? k : n;
}

/* Whether work must leave free what is kept free for other work. */
static bool
respects_hold(const struct wf_account_use *a, const struct wf_account_work *w)
{
	if (a->holder == NULL || w->id == NULL || w->id == a->holder ||
	    w->ends_at <= a->held_from)
		return false;
	return a->holds_back_lasting || !w->step->long_running;
}

uint32_t
wf_account_startable(const struct wf_accounts *as,
    const struct wf_account_use *a, const struct wf_account_work *w)
{
	struct agb_resources used = a->used;
	uint32_t n, later;

	if (!as->enabled)
		return UINT32_MAX;
	n = count_within_limit(a, &used, &w->step->need);
	if (!respects_hold(a, w))
		return n;
	agb_resources_sub(&used, &a->ending);
	agb_resources_add(&used, &a->held);
	later = count_within_limit(a, &used, &w->step->need);
	return later < n ? later : n;
}

/* Number of tasks that start together. */
static uint32_t
start_size(const struct wf_account_work *w)
{
	return w->step->gang ? w->count : 1;
}

/* Number of tasks that the limit lets start, whatever is kept free. */
static uint32_t
count_fitting(const struct wf_accounts *as, const struct wf_account_use *a,
    const struct wf_account_work *w)
{
	return as->enabled ? count_within_limit(a, &a->used, &w->step->need)
			   : UINT32_MAX;
}

/* Whether more than half of a limited resource is in use of which too little is
 * left for a start. */
static bool
field_is_used_up(int64_t limit, int64_t used, int64_t need)
{
	return limit > 0 && need > 0 && limit - used < need && used > limit / 2;
}

static bool
is_used_up(const struct wf_account_use *a, const struct wf_account_work *w)
{
	const struct agb_resources *const need = &w->step->need;
	const int64_t n = start_size(w);

	return field_is_used_up(a->limit.cpu_milli, a->used.cpu_milli,
		   n * need->cpu_milli) ||
	    field_is_used_up(
		a->limit.mem_mb, a->used.mem_mb, n * need->mem_mb) ||
	    field_is_used_up(a->limit.accel, a->used.accel, n * need->accel);
}

/* When work that the limit keeps out is expected to fit; AGB_TIME_MAX when it will
 * not, as the limit is too small or the runs in its way last.
 * @ending: set to what the runs use that end until then */
static agb_time
expected_start(const struct wf_account_use *a, const struct wf_account_work *w,
    struct agb_resources *ending)
{
	struct agb_resources used = a->used;
	size_t i;

	*ending = (struct agb_resources){0};
	for (i = 0; i < a->ends_len; i++) {
		agb_resources_sub(&used, &a->ends[i].need);
		agb_resources_add(ending, &a->ends[i].need);
		if (count_within_limit(a, &used, &w->step->need) >=
		    start_size(w))
			return a->ends[i].at;
	}
	return AGB_TIME_MAX;
}

/* Whether an account is in one of the periods in which it may keep the rest of
 * its limit free though it uses less than half of it. */
static bool
is_hold_period(agb_time kept_out)
{
	return kept_out / (HOLD_PERIOD_MS * AGB_MS) % 2 == 0;
}

/* Whether the rest of the limit is kept free for work that is expected to fit at
 * @from. */
static bool
may_hold(const struct wf_account_use *a, const struct wf_account_work *w,
    agb_time from, agb_time now)
{
	const agb_time kept_out = now - w->ready_at - HOLD_AFTER_MS * AGB_MS;

	if (from == AGB_TIME_MAX ||
	    from - now > agb_time_max(kept_out, HOLD_HORIZON_MS * AGB_MS))
		return false;
	return is_hold_period(kept_out) ||
	    kept_out >= HOLD_ALWAYS_MS * AGB_MS || is_used_up(a, w);
}

void
wf_accounts_begin_pass(struct wf_accounts *as)
{
	struct wf_account_use *a;

	for (a = as->by_name; a != NULL; a = a->hh.next) {
		a->waiting_cpu_milli = 0;
		a->demand_cpu_milli = 0;
		a->planned_cpu_milli = 0;
		a->never_fits = 0;
		a->excludes_work = false;
		a->ends_len = 0;
		a->last_holder = a->holder;
		a->last_holder_since = a->holder_since;
		a->last_excluded_at = a->excluded_at;
		a->holder = NULL;
	}
}

static bool
has_waited(const struct wf_account_work *w, agb_time now)
{
	return now >= w->ready_at + HOLD_AFTER_MS * AGB_MS;
}

void
wf_account_add_waiting(const struct wf_accounts *as, struct wf_account_use *a,
    const struct wf_account_work *w, agb_time now)
{
	static const struct agb_resources nothing;
	const int64_t n = start_size(w);
	const uint32_t fit = count_fitting(as, a, w);

	a->never_fits +=
	    as->enabled && count_within_limit(a, &nothing, &w->step->need) < n;
	a->waiting_cpu_milli += w->count * w->step->need.cpu_milli;
	if (fit >= n)
		a->demand_cpu_milli += w->step->need.cpu_milli *
		    (int64_t)(fit < w->count ? fit : w->count);
	else if (has_waited(w, now))
		a->excludes_work = true;
}

void
wf_account_add_end(
    struct wf_account_use *a, agb_time at, const struct agb_resources *need)
{
	if (a->ends_len == a->ends_cap)
		a->ends = agb_xgrow(a->ends, &a->ends_cap, sizeof(*a->ends));
	a->ends[a->ends_len].at = at;
	a->ends[a->ends_len++].need = *need;
}

static int
compare_ends(const void *pa, const void *pb)
{
	const struct wf_account_end *const a = pa, *const b = pb;

	return (a->at > b->at) - (a->at < b->at);
}

void
wf_accounts_sort_ends(struct wf_accounts *as)
{
	struct wf_account_use *a;

	for (a = as->by_name; a != NULL; a = a->hh.next) {
		if (a->ends_len > 1)
			qsort(a->ends, a->ends_len, sizeof(*a->ends),
			    compare_ends);
	}
}

/* Whether the rest of the limit stays free for work that fits now. That is so
 * for a while, as it may need advice before it can start; runs that end together
 * would otherwise let other work in first. */
static bool
still_holds(const struct wf_account_use *a, const struct wf_account_work *w,
    agb_time now)
{
	return a->last_holder == w->id && a->last_holder_since == w->ready_at &&
	    now < a->last_excluded_at + HOLD_FITTING_MS * AGB_MS;
}

static void
hold(struct wf_account_use *a, const struct wf_account_work *w, agb_time from,
    const struct agb_resources *ending)
{
	const int64_t n = start_size(w);

	a->holder = w->id;
	a->holder_since = w->ready_at;
	a->held_from = from;
	a->ending = *ending;
	a->held = (struct agb_resources){
	    .cpu_milli = n * w->step->need.cpu_milli,
	    .mem_mb = n * w->step->need.mem_mb,
	    .accel = n * w->step->need.accel,
	};
}

bool
wf_account_is_hold_candidate(const struct wf_account_use *a,
    const struct wf_account_work *w, agb_time now)
{
	return (a->excludes_work || a->last_holder == w->id) &&
	    has_waited(w, now) &&
	    (a->holder == NULL || w->ready_at < a->holder_since);
}

void
wf_account_consider_hold(const struct wf_accounts *as, struct wf_account_use *a,
    const struct wf_account_work *w, agb_time now)
{
	struct agb_resources ending = {0};
	agb_time from = now;

	if (count_fitting(as, a, w) >= start_size(w)) {
		if (!still_holds(a, w, now))
			return;
		a->excluded_at = a->last_excluded_at;
		a->holds_back_lasting = true;
	} else {
		from = expected_start(a, w, &ending);
		if (!may_hold(a, w, from, now))
			return;
		a->excluded_at = now;
		a->holds_back_lasting = is_hold_period(now - w->ready_at -
					    HOLD_AFTER_MS * AGB_MS) ||
		    is_used_up(a, w);
	}
	hold(a, w, from, &ending);
}

/* ---- shares ---- */

/* An account's weight, and the processors that it uses and could use. */
struct demand {
	struct wf_account_use *account;
	int64_t cpu_milli;
	double weight;
};

static int64_t
demand_within_limit(const struct wf_account_use *a)
{
	const int64_t rest = a->limit.cpu_milli - a->used.cpu_milli;

	if (a->limit.cpu_milli <= 0)
		return a->demand_cpu_milli;
	if (rest <= 0)
		return 0;
	return a->demand_cpu_milli < rest ? a->demand_cpu_milli : rest;
}

static int
compare_demands(const void *pa, const void *pb)
{
	const struct demand *const a = pa, *const b = pb;
	const double x = (double)a->cpu_milli / a->weight;
	const double y = (double)b->cpu_milli / b->weight;

	return (x > y) - (x < y);
}

/* Divides processors among accounts by weight. Those that ask for less than
 * their part, relative to their weight, come first and leave the rest of it to
 * the others. */
static void
divide(struct demand *list, size_t len, int64_t cpu_milli)
{
	double left = (double)cpu_milli, weights = 0, part;
	size_t i;

	for (i = 0; i < len; i++)
		weights += list[i].weight;
	if (len > 1)
		qsort(list, len, sizeof(*list), compare_demands);
	for (i = 0; i < len; i++) {
		part = left * list[i].weight / weights;
		if ((double)list[i].cpu_milli <= part) {
			left -= (double)list[i].cpu_milli;
			weights -= list[i].weight;
			continue;
		}
		list[i].account->share_cpu_milli = (int64_t)part;
	}
}

bool
wf_accounts_divide(struct wf_accounts *as, int64_t free_cpu_milli)
{
	struct wf_account_use *a;
	struct demand *list;
	int64_t used, waiting, more;
	size_t n;
	bool is_short;

	list = agb_xcalloc(HASH_COUNT(as->by_name) + 1, sizeof(*list));
	used = waiting = 0;
	n = 0;
	for (a = as->by_name; a != NULL; a = a->hh.next) {
		a->share_cpu_milli = INT64_MAX;
		more = demand_within_limit(a);
		if (a->used.cpu_milli + more <= 0)
			continue;
		used += a->used.cpu_milli;
		waiting += more;
		list[n].account = a;
		list[n].cpu_milli = a->used.cpu_milli + more;
		list[n++].weight = a->weight;
	}
	is_short = as->enabled && (as->lacks_room || waiting > free_cpu_milli);
	/* Free processors that would do for all that waits are those that it
	 * cannot use, such as those of another service. */
	if (is_short)
		divide(list, n,
		    waiting > free_cpu_milli ? used + free_cpu_milli : used);
	free(list);
	return is_short;
}

bool
wf_account_plan(const struct wf_accounts *as, struct wf_account_use *a,
    const struct wf_account_work *w)
{
	const uint32_t n = wf_account_startable(as, a, w);
	const bool is_over = a->share_cpu_milli != INT64_MAX &&
	    a->used.cpu_milli + a->planned_cpu_milli >= a->share_cpu_milli;

	if (n >= start_size(w))
		a->planned_cpu_milli += w->step->need.cpu_milli *
		    (int64_t)(n < w->count ? n : w->count);
	return is_over;
}

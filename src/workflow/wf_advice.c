#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_leader.h"

/* Runners named in the first call for a step. */
#define NAMED_FIRST 30
/* Of the runners named about this share is approved at least; for a wide gang
 * more are named, and twice as many as would do if all were empty. */
#define APPROVED_PERCENT 28
#define NAMED_SPARE 2
/* The service takes one call of an instance at a time. Calls longer than
 * this go to a part of the instances, so that short ones do not wait behind
 * them. Their parts follow the time that each kind has taken lately, where a
 * short call counts more, as its callers wait for less. */
#define LONG_MS 200
#define SHORT_WEIGHT 2
#define SHARE_LEAST_PERCENT 20
/* The time that calls have taken is halved this often. */
#define WORK_HALVE_MS 1000
/* An instance that is busy for longer gets no further call. */
#define BACKLOG_LONG_MS 1600
#define BACKLOG_SHORT_MS 250
/* Beyond its expected time a call waits this long for its answer. */
#define ANSWER_SLACK_MS 350
#define ADVISOR_BAD_MS 2000
#define ASK_RETRY_MS 40
/* Time between the service's answer and the arrival of a start; once the
 * start is on its way only the second. */
#define TICKET_MARGIN_MS 120
#define TICKET_WAY_MS 20
/* A unit that has waited this long asks about further runners. */
#define WIDEN_AFTER_MS 1000

const struct wf_approval *
wf_advice_of(const struct wf_unit *u, uint32_t runner)
{
	size_t i;

	for (i = 0; i < u->approvals_len; i++) {
		if (u->approvals[i].runner == runner)
			return &u->approvals[i];
	}
	return NULL;
}

bool
wf_advice_holds(const struct wf_leader *l, const struct wf_approval *a)
{
	return a->ok && a->life == l->runners[a->runner].life;
}

bool
wf_advice_lasts(const struct wf_unit *u, uint32_t runner, agb_time now)
{
	const struct wf_approval *const a = wf_advice_of(u, runner);

	return a != NULL && a->ok &&
	    now < a->until + (TICKET_MARGIN_MS - TICKET_WAY_MS) * AGB_MS;
}

bool
wf_advice_fresh(const struct wf_unit *u, agb_time now)
{
	size_t i;

	for (i = 0; i < u->approvals_len; i++) {
		if (u->approvals[i].until > now)
			return true;
	}
	return false;
}

/* What is known of an adviser that was there before. */
static void
advisor_keep(const struct wf_advisor *a, size_t n, const char *name,
    struct wf_advisor *out)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(a[i].name, name) == 0)
			*out = a[i];
	}
}

static int
advisor_order(const void *a, const void *b)
{
	return strcmp(((const struct wf_advisor *)a)->name,
	    ((const struct wf_advisor *)b)->name);
}

void
wf_advice_peers(struct wf_leader *l)
{
	struct wf_advisor *const old = l->advisors;
	const size_t old_len = l->advisors_len;
	struct wf_peer *p, *p2;
	struct wf_advisor *a;
	size_t i, n;

	n = HASH_COUNT(l->table->peers) + 1;
	l->advisors = agb_xcalloc(n, sizeof(*l->advisors));
	l->advisors_len = 0;
	for (p = l->table->peers; p != NULL; p = p2) {
		p2 = p->hh.next;
		if (strcmp(p->name, l->cfg->name) == 0)
			continue;
		a = &l->advisors[l->advisors_len++];
		advisor_keep(old, old_len, p->name, a);
		agb_name_set(a->name, sizeof(a->name), p->name);
		agb_name_set(a->peer, sizeof(a->peer), p->rpc);
	}
	if (l->advisors_len > 1)
		qsort(l->advisors, l->advisors_len, sizeof(*l->advisors),
		    advisor_order);
	/* The leader's own calls come last: it has the most to do. */
	a = &l->advisors[l->advisors_len++];
	advisor_keep(old, old_len, l->cfg->name, a);
	agb_name_set(a->name, sizeof(a->name), l->cfg->name);
	a->peer[0] = '\0';
	for (i = 0; i < l->asks_len; i++)
		l->asks[i].advisor = WF_NO_HANDLE;
	free(old);
}

void
wf_advice_free(struct wf_leader *l)
{
	size_t i;

	for (i = 0; i < l->asks_len; i++) {
		free(l->asks[i].runners);
		free(l->asks[i].lives);
	}
	free(l->asks);
	free(l->advisors);
}

static bool
advisor_ok(const struct wf_leader *l, const struct wf_advisor *a, agb_time now)
{
	struct wf_peer *p;

	if (now < a->bad_until)
		return false;
	if (a->peer[0] == '\0')
		return true;
	HASH_FIND_STR(l->table->peers, a->name, p);
	return p != NULL && wf_peer_responds(p, now);
}

/* How many of @n instances make the long calls. */
static size_t
long_part(const struct wf_leader *l, size_t n)
{
	const uint64_t weighted =
	    l->long_work_ms + SHORT_WEIGHT * l->short_work_ms;
	size_t share;

	share = weighted > 0 ? (size_t)(100 * l->long_work_ms / weighted) : 50;
	if (share < SHARE_LEAST_PERCENT)
		share = SHARE_LEAST_PERCENT;
	if (share > 100 - SHARE_LEAST_PERCENT)
		share = 100 - SHARE_LEAST_PERCENT;
	share = (share * n + 50) / 100;
	return share < 1 || n < 2 ? 1 : share > n - 1 ? n - 1 : share;
}

static void
note_work(struct wf_leader *l, agb_time now, uint32_t est_ms)
{
	while (now >= l->work_halve_at) {
		l->long_work_ms /= 2;
		l->short_work_ms /= 2;
		l->work_halve_at += WORK_HALVE_MS * AGB_MS;
		if (l->long_work_ms + l->short_work_ms == 0)
			l->work_halve_at = now + WORK_HALVE_MS * AGB_MS;
	}
	if (est_ms > LONG_MS)
		l->long_work_ms += est_ms;
	else
		l->short_work_ms += est_ms;
}

static uint32_t
advisor_choose(const struct wf_leader *l, agb_time now, uint32_t est_ms)
{
	const bool is_long = est_ms > LONG_MS;
	const agb_time limit =
	    now + (is_long ? BACKLOG_LONG_MS : BACKLOG_SHORT_MS) * AGB_MS;
	size_t i, n, at, longs;
	uint32_t best;

	n = 0;
	for (i = 0; i < l->advisors_len; i++)
		n += advisor_ok(l, &l->advisors[i], now);
	longs = long_part(l, n);
	best = WF_NO_HANDLE;
	at = 0;
	for (i = 0; i < l->advisors_len; i++) {
		if (!advisor_ok(l, &l->advisors[i], now))
			continue;
		if (n > 1 && (at++ < longs) != is_long)
			continue;
		if (l->advisors[i].busy_until > limit)
			continue;
		if (best == WF_NO_HANDLE ||
		    l->advisors[i].busy_until < l->advisors[best].busy_until)
			best = (uint32_t)i;
	}
	return best;
}

/* Units that wait will share their tasks out over the runners that they have
 * named: other units better name different ones. */
static void
claim_add(struct wf_leader *l, const struct wf_unit *u, const uint32_t *runners,
    size_t len)
{
	const int64_t each =
	    u->waiting * wf_unit_step(u)->need.cpu_milli / (int64_t)len;
	size_t i;

	for (i = 0; i < len; i++)
		l->runners[runners[i]].claimed += each;
}

/* What units with valid tickets will take. */
static void
claim_tickets(struct wf_leader *l, const struct wf_unit *u, agb_time now)
{
	uint32_t runners[WF_ADVICE_RUNNERS_MAX];
	size_t i, n;

	n = 0;
	for (i = 0; i < u->approvals_len && n < WF_ADVICE_RUNNERS_MAX; i++) {
		if (u->approvals[i].until > now &&
		    wf_advice_holds(l, &u->approvals[i]))
			runners[n++] = u->approvals[i].runner;
	}
	if (n > 0)
		claim_add(l, u, runners, n);
}

void
wf_advice_claims(struct wf_leader *l, agb_time now)
{
	const struct wf_unit *u;
	const struct wf_job *j;
	uint32_t ri;
	size_t i;

	for (ri = 0; ri < l->runners_len; ri++)
		l->runners[ri].claimed = 0;
	for (u = l->queue; u != NULL; u = u->next) {
		if (!u->asking)
			claim_tickets(l, u, now);
	}
	for (i = 0; i < l->asks_len; i++) {
		j = wf_table_job(l->table, l->asks[i].job);
		if (j != NULL && j->exec != NULL)
			claim_add(l, &j->exec->units[l->asks[i].unit],
			    l->asks[i].runners, l->asks[i].runners_len);
	}
}

static void
ask_send(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    const uint32_t *runners, size_t len, struct wf_effects *out)
{
	const struct wf_queue *const q = wf_unit_queue(l, u);
	struct wf_advisor *adv;
	struct wf_ask_out *ask;
	struct wf_effect *ef;
	uint32_t est, ai;
	size_t i;

	est = (uint32_t)(q->advice_base_ms +
		  q->advice_per_runner_ms * (double)len) +
	    1;
	ai = advisor_choose(l, now->mono, est);
	if (ai == WF_NO_HANDLE) {
		u->ask_after = now->mono + ASK_RETRY_MS * AGB_MS;
		return;
	}
	adv = &l->advisors[ai];
	if (adv->busy_until < now->mono)
		adv->busy_until = now->mono;
	adv->busy_until += est * AGB_MS;
	note_work(l, now->mono, est);
	l->asks = agb_xreallocarray(l->asks, l->asks_len + 1, sizeof(*l->asks));
	ask = &l->asks[l->asks_len++];
	memset(ask, 0, sizeof(*ask));
	ask->tag = ++l->next_tag;
	ask->advisor = ai;
	agb_name_set(ask->job, sizeof(ask->job), u->exec->job->id);
	ask->unit = (uint32_t)(u - u->exec->units);
	ask->sent_at = now->mono;
	ask->est_ms = est;
	ask->runners = agb_xcalloc(len, sizeof(*ask->runners));
	ask->lives = agb_xcalloc(len, sizeof(*ask->lives));
	ask->runners_len = len;
	claim_add(l, u, runners, len);
	u->asking = true;
	u->ask_tag = ask->tag;
	ef = wf_effects_add(out,
	    adv->peer[0] != '\0' ? WF_EF_PEER_ADVICE_REQUEST
				 : WF_EF_ADVICE_REQUEST);
	ef->tag = ask->tag;
	agb_name_set(ef->peer, sizeof(ef->peer), adv->peer);
	wf_exec_ref(u, 0, &ef->u.advice_request.step);
	ef->u.advice_request.estimate_ms = est;
	ef->u.advice_request.timeout_ms =
	    (uint32_t)((adv->busy_until - now->mono) / AGB_MS) +
	    ANSWER_SLACK_MS;
	ef->timeout_ms = ef->u.advice_request.timeout_ms;
	ef->u.advice_request.runners = agb_xcalloc(len, sizeof(agb_id));
	ef->u.advice_request.runners_len = len;
	for (i = 0; i < len; i++) {
		ask->runners[i] = runners[i];
		ask->lives[i] = l->runners[runners[i]].life;
		agb_name_set(ef->u.advice_request.runners[i], sizeof(agb_id),
		    l->runners[runners[i]].info.id);
	}
	wf_effects_log(out, AGB_LOG_INFO, "ask",
	    "job=%s occurrence=%" PRIu32 " step=%" PRIu32
	    " runners=%zu through=%s expected_ms=%" PRIu32,
	    ask->job, u->occurrence, u->step, len, adv->name, est);
}

void
wf_advice_again(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, const uint32_t *runners, size_t len,
    struct wf_effects *out)
{
	if (u->asking || now->mono < u->ask_after || len == 0)
		return;
	if (len > WF_ADVICE_RUNNERS_MAX)
		len = WF_ADVICE_RUNNERS_MAX;
	ask_send(l, now, u, runners, len, out);
}

struct choice {
	uint32_t runner;
	int64_t free_cpu;
};

/* Enters a runner into a list of the emptiest ones, in order. */
static void
choice_add(struct choice *list, size_t *len, size_t max, uint32_t runner,
    int64_t free_cpu)
{
	size_t i;

	if (*len == max && free_cpu <= list[max - 1].free_cpu)
		return;
	i = *len < max ? (*len)++ : max - 1;
	for (; i > 0 && list[i - 1].free_cpu < free_cpu; i--)
		list[i] = list[i - 1];
	list[i].runner = runner;
	list[i].free_cpu = free_cpu;
}

/* Runners not asked about that could run the step, those first that are
 * emptiest with what others will take there. */
static size_t
unasked(const struct wf_leader *l, const struct wf_now *now,
    const struct wf_unit *u, const char *service, uint32_t *runners, size_t max)
{
	const struct wf_step *const step = wf_unit_step(u);
	const struct wf_approval *a;
	const struct wf_runner *r;
	struct choice list[WF_ADVICE_RUNNERS_MAX];
	size_t len, i;
	bool *asked;
	uint32_t ri;

	asked = agb_xcalloc(l->runners_len + 1, sizeof(*asked));
	for (i = 0; i < u->approvals_len; i++) {
		a = &u->approvals[i];
		asked[a->runner] = a->life == l->runners[a->runner].life;
	}
	len = 0;
	for (ri = 0; ri < l->runners_len; ri++) {
		r = &l->runners[ri];
		if (!wf_fleet_eligible(r, step, service, now->mono) ||
		    !agb_resources_fit(&step->need, &r->info.capacity))
			continue;
		if (asked[ri])
			continue;
		choice_add(list, &len, max, ri,
		    wf_fleet_free(r).cpu_milli - r->claimed);
	}
	free(asked);
	for (i = 0; i < len; i++)
		runners[i] = list[i].runner;
	return len;
}

static uint32_t
tasks_when_empty(const struct wf_runner *r, const struct wf_step *step)
{
	uint32_t n;

	n = wf_step_fit_count(step, r->info.capacity);
	n = n < step->count ? n : step->count;
	if (step->spread_max > 0 && n > step->spread_max)
		n = step->spread_max;
	return n;
}

/* Whether the approved runners could ever hold what has to start at once. */
static bool
enough_approved(const struct wf_leader *l, const struct wf_unit *u)
{
	const struct wf_step *const step = wf_unit_step(u);
	const uint32_t need = step->gang ? step->count : 1;
	uint32_t n;
	size_t i;

	n = 0;
	for (i = 0; i < u->approvals_len && n < need; i++) {
		const struct wf_runner *const r =
		    &l->runners[u->approvals[i].runner];

		if (wf_advice_holds(l, &u->approvals[i]) && r->listed &&
		    !r->info.draining)
			n += tasks_when_empty(r, step);
	}
	return n >= need;
}

/* Runners to name so that enough of them are approved. */
static size_t
named(const struct wf_leader *l, const struct wf_unit *u, const char *service)
{
	const struct wf_step *const step = wf_unit_step(u);
	uint32_t ri, each;
	size_t n;

	if (!step->gang)
		return NAMED_FIRST;
	each = 0;
	for (ri = 0; ri < l->runners_len && each == 0; ri++) {
		if (l->runners[ri].listed &&
		    strcmp(l->runners[ri].info.service, service) == 0)
			each = tasks_when_empty(&l->runners[ri], step);
	}
	if (each == 0)
		return NAMED_FIRST;
	n = (step->count + each - 1) / each * 100 * NAMED_SPARE /
	    APPROVED_PERCENT;
	return n < NAMED_FIRST		? NAMED_FIRST
	    : n < WF_ADVICE_RUNNERS_MAX ? n
					: WF_ADVICE_RUNNERS_MAX;
}

void
wf_advice_want(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_effects *out)
{
	const struct wf_queue *const q = wf_unit_queue(l, u);
	uint32_t runners[WF_ADVICE_RUNNERS_MAX];
	size_t len;

	if (u->asking || now->mono < u->ask_after || q == NULL)
		return;
	if (u->approvals_len > 0 &&
	    now->mono - u->ready_at < WIDEN_AFTER_MS * AGB_MS &&
	    enough_approved(l, u))
		return;
	len = unasked(l, now, u, q->service, runners, named(l, u, q->service));
	if (len > 0)
		ask_send(l, now, u, runners, len, out);
}

/* @places: place of each runner's approval and one, 0 where there is none */
static struct wf_approval *
approval_slot(struct wf_unit *u, uint32_t runner, uint32_t *places)
{
	struct wf_approval *a;

	if (places[runner] > 0)
		return &u->approvals[places[runner] - 1];
	places[runner] = (uint32_t)u->approvals_len + 1;
	u->approvals = agb_xreallocarray(
	    u->approvals, u->approvals_len + 1, sizeof(*u->approvals));
	a = &u->approvals[u->approvals_len++];
	memset(a, 0, sizeof(*a));
	a->runner = runner;
	return a;
}

/* @from: where the last one was found; tickets mostly come in the order in
 * which their runners were named */
static const struct wf_ticket *
ticket_of(const struct wf_advice *a, const char *runner, size_t *from)
{
	size_t i, k;

	for (i = 0; i < a->items_len; i++) {
		k = (*from + i) % a->items_len;
		if (strcmp(a->items[k].runner, runner) != 0)
			continue;
		*from = k + 1;
		return &a->items[k];
	}
	return NULL;
}

static void
take_answer(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    const struct wf_ask_out *ask, const struct wf_advice *advice,
    struct wf_effects *out)
{
	const struct wf_ticket *t;
	struct wf_approval *a;
	size_t i, n, from = 0;
	uint32_t *places;

	places = agb_xcalloc(l->runners_len + 1, sizeof(*places));
	for (i = 0; i < u->approvals_len; i++)
		places[u->approvals[i].runner] = (uint32_t)i + 1;
	n = 0;
	for (i = 0; i < ask->runners_len; i++) {
		if (l->runners[ask->runners[i]].life != ask->lives[i])
			continue;
		t = ticket_of(
		    advice, l->runners[ask->runners[i]].info.id, &from);
		a = approval_slot(u, ask->runners[i], places);
		a->life = ask->lives[i];
		a->ok = t != NULL;
		a->until = 0;
		if (t == NULL)
			continue;
		n++;
		agb_name_set(a->ticket, sizeof(a->ticket), t->ticket);
		if (advice->valid_ms > TICKET_MARGIN_MS)
			a->until = now->mono +
			    (advice->valid_ms - TICKET_MARGIN_MS) * AGB_MS;
	}
	free(places);
	wf_effects_log(out, AGB_LOG_INFO, "advice",
	    "job=%s occurrence=%" PRIu32 " step=%" PRIu32
	    " asked=%zu approved=%zu took_ms=%" PRIu64 " expected_ms=%" PRIu32,
	    ask->job, u->occurrence, u->step, ask->runners_len, n,
	    (now->mono - ask->sent_at) / AGB_MS, ask->est_ms);
}

void
wf_advice_answer(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    const struct wf_advice *advice, struct wf_effects *out)
{
	struct wf_ask_out ask;
	struct wf_advisor *adv;
	struct wf_unit *u;
	struct wf_job *j;
	size_t i;

	for (i = 0; i < l->asks_len; i++) {
		if (l->asks[i].tag == tag)
			break;
	}
	if (i == l->asks_len)
		return;
	ask = l->asks[i];
	l->asks[i] = l->asks[--l->asks_len];
	adv = ask.advisor < l->advisors_len ? &l->advisors[ask.advisor] : NULL;
	if (adv != NULL && !advice->answered) {
		adv->bad_until = now->mono +
		    (adv->peer[0] != '\0' ? ADVISOR_BAD_MS : ASK_RETRY_MS) *
			AGB_MS;
		adv->busy_until = now->mono;
	}
	j = wf_table_job(l->table, ask.job);
	if (j == NULL || j->exec == NULL)
		goto out;
	u = &j->exec->units[ask.unit];
	if (u->ask_tag != tag)
		goto out;
	u->asking = false;
	if (advice->answered) {
		take_answer(l, now, u, &ask, advice, out);
	} else {
		u->ask_after = now->mono + ASK_RETRY_MS * AGB_MS;
		wf_effects_log(out, AGB_LOG_WARN, "advice",
		    "job=%s step=%" PRIu32 " outcome=%s through=%s"
		    " took_ms=%" PRIu64,
		    ask.job, u->step, advice->busy ? "busy" : "lost",
		    adv != NULL ? adv->name : "?",
		    (now->mono - ask.sent_at) / AGB_MS);
	}
	l->changed = true;
out:
	free(ask.runners);
	free(ask.lives);
}

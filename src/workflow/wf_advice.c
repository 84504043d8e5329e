#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_leader.h"

/* Runners that a call for the first approvals of a step names. */
#define FIRST_CALL_RUNNERS 30
/* Share of the runners named that may be near the data of the step. The others
 * are named so that it can start when near room is not free in time. */
#define NEAR_PERCENT 50
/* Maximum number of runners that are named for a gang at the same time, in
 * several calls. */
#define NAMED_RUNNERS_MAX ((size_t)4 * WF_ADVICE_RUNNERS_MAX)
/* Share of the runners named that the service is expected to approve before its
 * answers tell; it counts like the answers for PRIOR_NAMED runners. */
#define PRIOR_APPROVED 0.28
#define PRIOR_NAMED 50
/* Weight that an answer for one runner keeps when the next one comes. */
#define APPROVED_DECAY 0.9995
/* A gang names as many runners that enough of them are approved except in one
 * case of 40, if each answer is a matter of chance. */
#define APPROVED_DEVIATIONS 2
/* When there is not as much room, it names as many as would be enough if they
 * were empty, times this factor. */
#define GANG_SPARE_FACTOR 3
/* The service handles one call of an instance at a time. Calls expected to
 * take longer than LONG_CALL_MS are made by a subset of the instances, so that
 * short ones do not wait behind them. The size of the subset follows the time
 * that calls of each kind have taken recently. The time of short calls is
 * weighted higher, as their callers expect an answer sooner. Each kind is left
 * at least SHARE_MIN_PERCENT of the instances. */
#define LONG_CALL_MS 200
#define SHORT_CALL_WEIGHT 2
#define SHARE_MIN_PERCENT 20
/* The sums of the time that calls have taken are halved at this interval. */
#define HALVING_INTERVAL_MS 1000
/* An instance whose pending calls are expected to take longer than this gets
 * no further call. The limit depends on whether it makes long or short calls: a
 * long one is sent only when the instance is about to be free, so that it is for
 * the unit that is the most urgent then. */
#define BACKLOG_LONG_MS 100
#define BACKLOG_SHORT_MS 250
/* Time that a call waits for its answer beyond the expected time. */
#define ANSWER_SLACK_MS 350
/* An instance other than the leader that has failed a call gets none for this
 * long. */
#define CLIENT_EXCLUDED_MS 2000
/* Delay before a unit's next call after one that failed or could not be made,
 * and before the next call of the leader itself after a failed one. */
#define CALL_RETRY_MS 40
/* Time from the service's answer to the arrival of the start at the runner,
 * and the part of it that the start order takes. */
#define TICKET_MARGIN_MS 120
#define TICKET_TRANSIT_MS 20
/* A unit that has waited this long requests approvals of further runners. */
#define WIDEN_AFTER_MS 1000

const struct wf_approval *
wf_advice_find(const struct wf_unit *u, uint32_t runner)
{
	size_t i;

	for (i = 0; i < u->approvals_len; i++) {
		if (u->approvals[i].runner == runner)
			return &u->approvals[i];
	}
	return NULL;
}

bool
wf_advice_is_current(const struct wf_leader *l, const struct wf_approval *a)
{
	return a->approved &&
	    a->incarnation == l->runners[a->runner].incarnation;
}

bool
wf_advice_ticket_lasts(const struct wf_unit *u, uint32_t runner, agb_time now)
{
	const struct wf_approval *const a = wf_advice_find(u, runner);

	return a != NULL && a->approved &&
	    now <
	    a->valid_until + (TICKET_MARGIN_MS - TICKET_TRANSIT_MS) * AGB_MS;
}

bool
wf_advice_has_ticket(const struct wf_unit *u, agb_time now)
{
	size_t i;

	for (i = 0; i < u->approvals_len; i++) {
		if (u->approvals[i].valid_until > now)
			return true;
	}
	return false;
}

/* Copies the state of the instance @name from the previous list @a, if it was
 * there. */
static void
client_copy_state(const struct wf_advice_client *a, size_t n, const char *name,
    struct wf_advice_client *out)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(a[i].name, name) == 0)
			*out = a[i];
	}
}

static int
compare_clients(const void *a, const void *b)
{
	return strcmp(((const struct wf_advice_client *)a)->name,
	    ((const struct wf_advice_client *)b)->name);
}

void
wf_advice_update_peers(struct wf_leader *l)
{
	struct wf_advice_client *const old = l->advice_clients;
	const size_t old_len = l->advice_clients_len;
	struct wf_peer *p, *p2;
	struct wf_advice_client *a;
	size_t i, n;

	n = HASH_COUNT(l->table->peers) + 1;
	l->advice_clients = agb_xcalloc(n, sizeof(*l->advice_clients));
	l->advice_clients_len = 0;
	for (p = l->table->peers; p != NULL; p = p2) {
		p2 = p->hh.next;
		if (strcmp(p->name, l->cfg->name) == 0)
			continue;
		a = &l->advice_clients[l->advice_clients_len++];
		client_copy_state(old, old_len, p->name, a);
		agb_str_copy(a->name, sizeof(a->name), p->name);
		agb_str_copy(a->address, sizeof(a->address), p->rpc);
	}
	if (l->advice_clients_len > 1)
		qsort(l->advice_clients, l->advice_clients_len,
		    sizeof(*l->advice_clients), compare_clients);
	/* The leader comes last in the order of choice, as it has the highest
	 * load. */
	a = &l->advice_clients[l->advice_clients_len++];
	client_copy_state(old, old_len, l->cfg->name, a);
	agb_str_copy(a->name, sizeof(a->name), l->cfg->name);
	a->address[0] = '\0';
	for (i = 0; i < l->advice_calls_len; i++)
		l->advice_calls[i].client = WF_NO_HANDLE;
	free(old);
}

void
wf_advice_free(struct wf_leader *l)
{
	size_t i;

	for (i = 0; i < l->advice_calls_len; i++) {
		free(l->advice_calls[i].runners);
		free(l->advice_calls[i].incarnations);
	}
	free(l->advice_calls);
	free(l->advice_clients);
}

static bool
client_is_usable(
    const struct wf_leader *l, const struct wf_advice_client *a, agb_time now)
{
	struct wf_peer *p;

	if (now < a->excluded_until)
		return false;
	if (a->address[0] == '\0')
		return true;
	HASH_FIND_STR(l->table->peers, a->name, p);
	return p != NULL && wf_peer_responds(p, now);
}

void
wf_advice_update_clients(struct wf_leader *l, agb_time now)
{
	struct wf_advice_client *a;
	size_t i;

	l->advice_clients_usable = 0;
	for (i = 0; i < l->advice_clients_len; i++) {
		a = &l->advice_clients[i];
		a->usable = client_is_usable(l, a, now);
		l->advice_clients_usable += a->usable;
	}
}

/* Number of instances, of @n usable ones, that make the long calls. */
static size_t
count_long_call_clients(const struct wf_leader *l, size_t n)
{
	const uint64_t weighted =
	    l->long_calls_ms + SHORT_CALL_WEIGHT * l->short_calls_ms;
	size_t share;

	share = weighted > 0 ? (size_t)(100 * l->long_calls_ms / weighted) : 50;
	if (share < SHARE_MIN_PERCENT)
		share = SHARE_MIN_PERCENT;
	if (share > 100 - SHARE_MIN_PERCENT)
		share = 100 - SHARE_MIN_PERCENT;
	share = (share * n + 50) / 100;
	return share < 1 || n < 2 ? 1 : share > n - 1 ? n - 1 : share;
}

static void
record_call_time(struct wf_leader *l, agb_time now, uint32_t est_ms)
{
	while (now >= l->next_halving_at) {
		l->long_calls_ms /= 2;
		l->short_calls_ms /= 2;
		l->next_halving_at += HALVING_INTERVAL_MS * AGB_MS;
		if (l->long_calls_ms + l->short_calls_ms == 0)
			l->next_halving_at = now + HALVING_INTERVAL_MS * AGB_MS;
	}
	if (est_ms > LONG_CALL_MS)
		l->long_calls_ms += est_ms;
	else
		l->short_calls_ms += est_ms;
}

static uint32_t
choose_client(const struct wf_leader *l, agb_time now, uint32_t est_ms)
{
	const bool is_long = est_ms > LONG_CALL_MS;
	const agb_time limit =
	    now + (is_long ? BACKLOG_LONG_MS : BACKLOG_SHORT_MS) * AGB_MS;
	const size_t n = l->advice_clients_usable;
	const size_t long_clients = count_long_call_clients(l, n);
	uint32_t best;
	size_t i, at;

	best = WF_NO_HANDLE;
	at = 0;
	for (i = 0; i < l->advice_clients_len; i++) {
		if (!l->advice_clients[i].usable)
			continue;
		if (n > 1 && (at++ < long_clients) != is_long)
			continue;
		if (l->advice_clients[i].busy_until > limit)
			continue;
		if (best == WF_NO_HANDLE ||
		    l->advice_clients[i].busy_until <
			l->advice_clients[best].busy_until)
			best = (uint32_t)i;
	}
	return best;
}

/* A waiting unit is expected to spread its tasks over the @named runners that
 * it has named, of which @runners are a part. Counting them there makes other
 * units name different runners. */
static void
add_claim(struct wf_leader *l, const struct wf_unit *u, const uint32_t *runners,
    size_t len, size_t named)
{
	const int64_t each =
	    u->waiting * wf_unit_step(u)->need.cpu_milli / (int64_t)named;
	size_t i;

	for (i = 0; i < len; i++)
		l->runners[runners[i]].claimed_cpu_milli += each;
}

/* Claims what a unit will take on the runners for which it has valid
 * tickets. */
static void
claim_by_tickets(struct wf_leader *l, const struct wf_unit *u, agb_time now)
{
	uint32_t runners[WF_ADVICE_RUNNERS_MAX];
	size_t i, n;

	n = 0;
	for (i = 0; i < u->approvals_len && n < WF_ADVICE_RUNNERS_MAX; i++) {
		if (u->approvals[i].valid_until > now &&
		    wf_advice_is_current(l, &u->approvals[i]))
			runners[n++] = u->approvals[i].runner;
	}
	if (n > 0)
		add_claim(l, u, runners, n, n);
}

void
wf_advice_update_claims(struct wf_leader *l, agb_time now)
{
	const struct wf_advice_call *c;
	const struct wf_unit *u;
	uint32_t ri;
	size_t i;

	for (ri = 0; ri < l->runners_len; ri++)
		l->runners[ri].claimed_cpu_milli = 0;
	for (u = l->queue; u != NULL; u = u->next) {
		if (u->calls_pending == 0)
			claim_by_tickets(l, u, now);
	}
	for (i = 0; i < l->advice_calls_len; i++) {
		c = &l->advice_calls[i];
		u = wf_exec_find_unit(l, c->job, c->occurrence, c->step);
		if (u != NULL)
			add_claim(l, u, c->runners, c->runners_len, c->named);
	}
}

static uint32_t
estimate_call_ms(const struct wf_queue *q, size_t runners_len)
{
	return (uint32_t)(q->advice_base_ms +
		   q->advice_per_runner_ms * (double)runners_len) +
	    1;
}

/* Chooses the instance that makes a call for a unit. When there is none, the
 * call is put off and WF_NO_HANDLE returned. */
static uint32_t
reserve_client(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    uint32_t est_ms)
{
	const uint32_t client = choose_client(l, now->mono, est_ms);

	if (client == WF_NO_HANDLE)
		u->advice_retry_at = now->mono + CALL_RETRY_MS * AGB_MS;
	return client;
}

static void
send_call(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    uint32_t ci, uint32_t est_ms, const uint32_t *runners, size_t len,
    size_t named, struct wf_effects *out)
{
	struct wf_advice_client *const client = &l->advice_clients[ci];
	struct wf_advice_call *call;
	struct wf_effect *ef;
	size_t i;

	if (client->busy_until < now->mono)
		client->busy_until = now->mono;
	client->busy_until += est_ms * AGB_MS;
	record_call_time(l, now->mono, est_ms);
	l->advice_calls = agb_xreallocarray(
	    l->advice_calls, l->advice_calls_len + 1, sizeof(*l->advice_calls));
	call = &l->advice_calls[l->advice_calls_len++];
	memset(call, 0, sizeof(*call));
	call->tag = ++l->next_tag;
	call->client = ci;
	agb_str_copy(call->job, sizeof(call->job), u->exec->job->id);
	call->occurrence = u->occurrence;
	call->step = u->step;
	call->sent_at = now->mono;
	call->est_ms = est_ms;
	call->runners = agb_xcalloc(len, sizeof(*call->runners));
	call->incarnations = agb_xcalloc(len, sizeof(*call->incarnations));
	call->runners_len = len;
	call->named = named;
	add_claim(l, u, runners, len, named);
	if (u->calls_pending++ == 0)
		u->first_call_tag = call->tag;
	ef = wf_effects_add(out,
	    client->address[0] != '\0' ? WF_EF_PEER_ADVICE_REQUEST
				       : WF_EF_ADVICE_REQUEST);
	ef->tag = call->tag;
	agb_str_copy(ef->peer, sizeof(ef->peer), client->address);
	wf_unit_task_ref(u, 0, &ef->u.advice_request.step);
	/* The service knows the id only. */
	wf_job_id_make(ef->u.advice_request.step.job, call->job, 0);
	ef->u.advice_request.estimate_ms = est_ms;
	ef->u.advice_request.timeout_ms =
	    (uint32_t)((client->busy_until - now->mono) / AGB_MS) +
	    ANSWER_SLACK_MS;
	ef->timeout_ms = ef->u.advice_request.timeout_ms;
	ef->u.advice_request.runners = agb_xcalloc(len, sizeof(agb_id));
	ef->u.advice_request.runners_len = len;
	for (i = 0; i < len; i++) {
		call->runners[i] = runners[i];
		call->incarnations[i] = l->runners[runners[i]].incarnation;
		agb_str_copy(ef->u.advice_request.runners[i], sizeof(agb_id),
		    l->runners[runners[i]].info.id);
	}
	wf_effects_log(out, AGB_LOG_INFO, "ask",
	    "job=%s occurrence=%" PRIu32 " step=%" PRIu32
	    " runners=%zu through=%s expected_ms=%" PRIu32,
	    call->job, u->occurrence, u->step, len, client->name, est_ms);
}

/* Number of calls that name @len runners. */
static size_t
call_count(size_t len)
{
	return (len + WF_ADVICE_RUNNERS_MAX - 1) / WF_ADVICE_RUNNERS_MAX;
}

/* Number of runners that each of these calls names at most. */
static size_t
call_share(size_t len)
{
	const size_t calls = call_count(len);

	return calls > 0 ? (len + calls - 1) / calls : 0;
}

/* Asks for runners that one call cannot name by several calls at the same time,
 * so that their tickets are valid together. Calls for which no instance is free
 * are left out. */
static void
send_calls(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    const uint32_t *runners, size_t len, enum wf_tally kind,
    struct wf_effects *out)
{
	const size_t share = call_share(len);
	uint32_t est_ms, client;
	size_t i, n;

	for (i = 0; i < len; i += n) {
		n = len - i < share ? len - i : share;
		est_ms = estimate_call_ms(wf_unit_queue(l, u), n);
		client = reserve_client(l, now, u, est_ms);
		if (client == WF_NO_HANDLE)
			break;
		send_call(l, now, u, client, est_ms, runners + i, n, len, out);
		wf_meter_count(l->meter, kind);
	}
}

void
wf_advice_renew(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, const uint32_t *runners, size_t len,
    struct wf_effects *out)
{
	if (u->calls_pending > 0 || now->mono < u->advice_retry_at)
		return;
	send_calls(l, now, u, runners, len, WF_TALLY_CALLS_RENEWED, out);
}

size_t
wf_advice_call_capacity(size_t len)
{
	return call_count(len) * WF_ADVICE_RUNNERS_MAX;
}

uint32_t
wf_advice_call_ms(const struct wf_queue *q, size_t runners_len)
{
	return estimate_call_ms(q, call_share(runners_len));
}

struct runner_candidate {
	uint32_t runner;
	int64_t free_cpu;
};

/* Inserts a runner into a list of those with the most free processors, which
 * is sorted, most first, and keeps at most @max. */
static void
candidate_insert(struct runner_candidate *list, size_t *len, size_t max,
    uint32_t runner, int64_t free_cpu)
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

/* Lists the runners that could run the step and were not asked about in their
 * current incarnation, in the order of their indexes, up to @max of them. */
static size_t
list_unasked_runners(const struct wf_leader *l, agb_time now,
    const struct wf_unit *u, const char *service, uint32_t *list, size_t max)
{
	const struct wf_step *const step = wf_unit_step(u);
	const struct wf_approval *a;
	const struct wf_runner *r;
	size_t len, i;
	bool *asked;
	uint32_t ri;

	asked = agb_xcalloc(l->runners_len + 1, sizeof(*asked));
	for (i = 0; i < u->approvals_len; i++) {
		a = &u->approvals[i];
		asked[a->runner] =
		    a->incarnation == l->runners[a->runner].incarnation;
	}
	len = 0;
	for (ri = 0; ri < l->runners_len && len < max; ri++) {
		r = &l->runners[ri];
		if (!asked[ri] && wf_fleet_eligible(r, step, service, now) &&
		    agb_resources_fit(&step->need, &r->info.capacity))
			list[len++] = ri;
	}
	free(asked);
	wf_meter_add_examined(l->meter, ri + u->approvals_len);
	return len;
}

/* Selects from a list of runners those that have the most free processors after
 * the claims of other units, up to @max of them. */
static size_t
select_free_runners(const struct wf_leader *l, const uint32_t *from,
    size_t from_len, uint32_t *runners, size_t max)
{
	struct runner_candidate list[NAMED_RUNNERS_MAX];
	const struct wf_runner *r;
	size_t len, i;

	len = 0;
	for (i = 0; i < from_len && max > 0; i++) {
		r = &l->runners[from[i]];
		candidate_insert(list, &len, max, from[i],
		    wf_runner_free_resources(r).cpu_milli -
			r->claimed_cpu_milli);
	}
	for (i = 0; i < len; i++)
		runners[i] = list[i].runner;
	return len;
}

/* Moves the runners near the data of a unit to the front of a list, if it
 * matters where it runs. Return: their number. */
static size_t
move_near_to_front(const struct wf_leader *l, const struct wf_unit *u,
    uint32_t *list, size_t len)
{
	const struct wf_step *const step = wf_unit_step(u);
	uint32_t runner;
	size_t i, n = 0;

	if (l->cfg->remote_factor <= 1 || step->rack[0] == '\0')
		return 0;
	for (i = 0; i < len; i++) {
		runner = list[i];
		if (!wf_runner_has_label(&l->runners[runner].info, step->rack))
			continue;
		list[i] = list[n];
		list[n++] = runner;
	}
	return n;
}

/* Number of runners near the data that are named, of @max: NEAR_PERCENT of them, or
 * more when there are too few others. */
static size_t
near_share(size_t max, size_t near_len, size_t others_len)
{
	size_t share = max * NEAR_PERCENT / 100;

	if (near_len == 0)
		return 0;
	return max - share > others_len ? max - others_len : share;
}

/* Selects from the runners that were not asked about those that have the most
 * free processors after the claims of other units; those near the data of the
 * unit come first. */
static size_t
select_unasked_runners(const struct wf_leader *l, const struct wf_now *now,
    const struct wf_unit *u, const char *service, uint32_t *runners, size_t max)
{
	size_t len, near_len, others_len;
	uint32_t *unasked;

	unasked = agb_xcalloc(l->runners_len + 1, sizeof(*unasked));
	others_len = list_unasked_runners(
	    l, now->mono, u, service, unasked, l->runners_len);
	near_len = move_near_to_front(l, u, unasked, others_len);
	others_len -= near_len;
	len = select_free_runners(l, unasked, near_len, runners,
	    near_share(max, near_len, others_len));
	len += select_free_runners(
	    l, unasked + near_len, others_len, runners + len, max - len);
	free(unasked);
	return len;
}

static uint32_t
tasks_on_empty_runner(const struct wf_runner *r, const struct wf_step *step)
{
	uint32_t n;

	n = wf_step_fit_count(step, r->info.capacity);
	n = n < step->count ? n : step->count;
	if (step->spread_max > 0 && n > step->spread_max)
		n = step->spread_max;
	return n;
}

/* Whether the approved runners, when empty, have room for the tasks that have
 * to start together. */
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

		if (wf_advice_is_current(l, &u->approvals[i]) && r->listed &&
		    !r->info.draining)
			n += tasks_on_empty_runner(r, step);
	}
	return n >= need;
}

/* Share of the runners named that are approved, as far as the answers tell. */
static double
approved_share(struct wf_leader *l, const char *queue)
{
	const struct wf_queue_times *const x = wf_exec_queue_times(l, queue);

	return (x->approved + PRIOR_APPROVED * PRIOR_NAMED) /
	    (x->named + PRIOR_NAMED);
}

static void
learn_approved(struct wf_leader *l, const char *queue, bool approved)
{
	struct wf_queue_times *const x = wf_exec_queue_times(l, queue);

	x->named = x->named * APPROVED_DECAY + 1;
	x->approved = x->approved * APPROVED_DECAY + approved;
}

/* Maximum number of runners to name for a unit. */
static size_t
runners_to_name(
    struct wf_leader *l, const struct wf_unit *u, const struct wf_queue *q)
{
	const struct wf_step *const step = wf_unit_step(u);
	uint32_t ri, each;
	size_t n;

	if (!step->gang)
		return FIRST_CALL_RUNNERS;
	each = 0;
	for (ri = 0; ri < l->runners_len && each == 0; ri++) {
		if (l->runners[ri].listed &&
		    strcmp(l->runners[ri].info.service, q->service) == 0)
			each = tasks_on_empty_runner(&l->runners[ri], step);
	}
	if (each == 0)
		return FIRST_CALL_RUNNERS;
	n = (step->count + each - 1) / each * (size_t)GANG_SPARE_FACTOR;
	n = (size_t)((double)n / approved_share(l, q->name));
	return n < FIRST_CALL_RUNNERS ? FIRST_CALL_RUNNERS
	    : n < NAMED_RUNNERS_MAX   ? n
				      : NAMED_RUNNERS_MAX;
}

/* Number of the runners, those with the most room first, that a gang needs to
 * name so that it has room on those approved; @len when there is not enough. */
static size_t
runners_with_room(struct wf_leader *l, const struct wf_unit *u,
    const struct wf_queue *q, const uint32_t *runners, size_t len)
{
	const struct wf_step *const step = wf_unit_step(u);
	const double share = approved_share(l, q->name);
	struct agb_resources room;
	double fit, sum = 0, squares = 0;
	size_t i;

	if (!step->gang)
		return len;
	for (i = 0; i < len; i++) {
		room = wf_runner_free_resources(&l->runners[runners[i]]);
		room.cpu_milli -= l->runners[runners[i]].claimed_cpu_milli;
		fit = wf_step_fit_count(step, room);
		sum += fit;
		squares += fit * fit;
		if (share * sum -
			APPROVED_DEVIATIONS *
			    sqrt(share * (1 - share) * squares) >=
		    u->waiting)
			return i + 1;
	}
	return len;
}

void
wf_advice_request(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_effects *out)
{
	const struct wf_queue *const q = wf_unit_queue(l, u);
	uint32_t runners[NAMED_RUNNERS_MAX];
	size_t len, max;

	if (u->calls_pending > 0 || now->mono < u->advice_retry_at || q == NULL)
		return;
	if (u->approvals_len > 0 &&
	    now->mono - u->ready_at < WIDEN_AFTER_MS * AGB_MS &&
	    enough_approved(l, u))
		return;
	/* Under a backlog most units find no instance for their call, so the
	 * costly choice of the runners comes after that of the instance. The
	 * length of the call needs only the number of runners. */
	max = runners_to_name(l, u, q);
	len = list_unasked_runners(l, now->mono, u, q->service, runners, max);
	if (len == 0 ||
	    reserve_client(l, now, u, wf_advice_call_ms(q, len)) ==
		WF_NO_HANDLE)
		return;
	len = select_unasked_runners(l, now, u, q->service, runners, max);
	len = runners_with_room(l, u, q, runners, len);
	send_calls(l, now, u, runners, len,
	    u->approvals_len == 0 ? WF_TALLY_CALLS_FIRST
				  : WF_TALLY_CALLS_FURTHER,
	    out);
}

/* Approval of a runner, which is added when there is none. @places: for each
 * runner the index of its approval plus one, or 0. */
static struct wf_approval *
find_or_add_approval(struct wf_unit *u, uint32_t runner, uint32_t *places)
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

/* Ticket of a runner, or NULL. The search begins at @from, the place after the
 * ticket found last, as tickets mostly come in the order in which the runners
 * were named. */
static const struct wf_ticket *
find_ticket(const struct wf_advice *a, const char *runner, size_t *from)
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
record_answer(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    const struct wf_advice_call *call, const struct wf_advice *advice,
    struct wf_effects *out)
{
	const struct wf_ticket *t;
	struct wf_approval *a;
	size_t i, n, from = 0;
	uint32_t *places;
	bool is_new;

	if (u->tickets_until > 0 && u->tickets_until <= now->mono) {
		wf_meter_count(l->meter, WF_TALLY_SETS_EXPIRED);
		u->tickets_until = 0;
	}
	places = agb_xcalloc(l->runners_len + 1, sizeof(*places));
	for (i = 0; i < u->approvals_len; i++)
		places[u->approvals[i].runner] = (uint32_t)i + 1;
	n = 0;
	for (i = 0; i < call->runners_len; i++) {
		if (l->runners[call->runners[i]].incarnation !=
		    call->incarnations[i])
			continue;
		t = find_ticket(
		    advice, l->runners[call->runners[i]].info.id, &from);
		is_new = places[call->runners[i]] == 0;
		a = find_or_add_approval(u, call->runners[i], places);
		if (is_new)
			learn_approved(l, u->exec->job->spec.queue, t != NULL);
		a->incarnation = call->incarnations[i];
		a->approved = t != NULL;
		a->valid_until = 0;
		if (t == NULL)
			continue;
		n++;
		a->received_at = now->mono;
		wf_meter_count(l->meter, WF_TALLY_APPROVALS);
		agb_str_copy(a->ticket, sizeof(a->ticket), t->ticket);
		if (advice->valid_ms > TICKET_MARGIN_MS)
			a->valid_until = now->mono +
			    (advice->valid_ms - TICKET_MARGIN_MS) * AGB_MS;
		u->tickets_until =
		    agb_time_max(u->tickets_until, a->valid_until);
	}
	free(places);
	wf_effects_log(out, AGB_LOG_INFO, "advice",
	    "job=%s occurrence=%" PRIu32 " step=%" PRIu32
	    " asked=%zu approved=%zu took_ms=%" PRIu64 " expected_ms=%" PRIu32,
	    call->job, u->occurrence, u->step, call->runners_len, n,
	    (now->mono - call->sent_at) / AGB_MS, call->est_ms);
}

/* Expected time of the pending calls through an instance. */
static agb_time
pending_calls_time(const struct wf_leader *l, uint32_t client)
{
	agb_time sum = 0;
	size_t i;

	for (i = 0; i < l->advice_calls_len; i++) {
		if (l->advice_calls[i].client == client)
			sum += l->advice_calls[i].est_ms * AGB_MS;
	}
	return sum;
}

void
wf_advice_handle_answer(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, const struct wf_advice *advice, struct wf_effects *out)
{
	struct wf_advice_call call;
	struct wf_advice_client *client;
	struct wf_unit *u;
	size_t i;

	for (i = 0; i < l->advice_calls_len; i++) {
		if (l->advice_calls[i].tag == tag)
			break;
	}
	if (i == l->advice_calls_len)
		return;
	call = l->advice_calls[i];
	l->advice_calls[i] = l->advice_calls[--l->advice_calls_len];
	client = call.client < l->advice_clients_len
	    ? &l->advice_clients[call.client]
	    : NULL;
	if (client != NULL && !advice->answered) {
		client->excluded_until = now->mono +
		    (client->address[0] != '\0' ? CLIENT_EXCLUDED_MS
						: CALL_RETRY_MS) *
			AGB_MS;
		client->busy_until =
		    now->mono + pending_calls_time(l, call.client);
	}
	u = wf_exec_find_unit(l, call.job, call.occurrence, call.step);
	if (u == NULL || u->calls_pending == 0 || tag < u->first_call_tag)
		goto out;
	u->calls_pending--;
	if (advice->answered) {
		record_answer(l, now, u, &call, advice, out);
	} else {
		u->advice_retry_at = now->mono + CALL_RETRY_MS * AGB_MS;
		wf_effects_log(out, AGB_LOG_WARN, "advice",
		    "job=%s occurrence=%" PRIu32 " step=%" PRIu32
		    " outcome=%s through=%s took_ms=%" PRIu64,
		    call.job, u->occurrence, u->step,
		    advice->busy ? "busy" : "lost",
		    client != NULL ? client->name : "?",
		    (now->mono - call.sent_at) / AGB_MS);
	}
	l->placement_changed = true;
out:
	free(call.runners);
	free(call.incarnations);
}

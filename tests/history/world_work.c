#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

/* A worker agent answers within this time beyond the wait of a renewal. */
#define WORKER_TIMEOUT (2 * AGB_SEC)
#define RUNNER_NEED_MILLI 500
#define RUNNER_NEED_MB 128

/* All instances of a domain reach its workers, also while it is cut off. */
static bool
reachable(const struct world *w, uint32_t n, uint32_t i)
{
	const struct wworker *const k = &w->workers[i];

	if (k->dead || k->silent)
		return false;
	return strcmp(k->domain, w->nodes[n].domain) == 0 || !w->nodes[n].cut;
}

static void
rec_run(struct world *w, uint32_t i, const struct run *r, enum rec_type type)
{
	struct rec *const rec = history_add(&w->hist, w->now, type);

	rec->call = r->call;
	rec->task = r->number;
	rec->worker = i;
	rec->need = r->need;
	rec->version = r->attempt.seq;
}

static bool
same(const struct agb_attempt *a, const struct agb_attempt *b)
{
	return a->epoch == b->epoch && a->seq == b->seq;
}

static struct run *
run_find(struct wworker *k, const struct agb_attempt *a)
{
	size_t i;

	for (i = 0; i < k->runs_len; i++) {
		if (k->runs[i].seen && same(&k->runs[i].attempt, a))
			return &k->runs[i];
	}
	return NULL;
}

static struct run *
run_add(struct wworker *k, const struct agb_attempt *a)
{
	struct run *r;

	k->runs = agb_xreallocarray(k->runs, k->runs_len + 1, sizeof(*r));
	r = &k->runs[k->runs_len++];
	memset(r, 0, sizeof(*r));
	r->seen = true;
	r->live = true;
	r->attempt = *a;
	return r;
}

static void
answer(struct world *w, size_t id, struct agb_event *ev)
{
	struct worker_call *const c = &w->worker_calls[id];
	struct msg *m;

	if (!reachable(w, c->node, c->worker) ||
	    (w->loss > 0 && w_draw(w) < w->loss)) {
		agb_event_free(ev);
		free(ev);
		return;
	}
	m = w_push(w, w->now + w_delay(w), M_WORKER_RES);
	m->x = id;
	m->ev = ev;
}

static size_t
slots_of(const struct wworker *k, struct agb_attempt **out)
{
	size_t i, n;

	*out = agb_xcalloc(k->runs_len + 1, sizeof(**out));
	n = 0;
	for (i = 0; i < k->runs_len; i++) {
		if (k->runs[i].live && k->runs[i].slot)
			(*out)[n++] = k->runs[i].attempt;
	}
	return n;
}

static void
poll_answer(struct world *w, uint32_t i)
{
	struct wworker *const k = &w->workers[i];
	struct worker_call *c;
	struct agb_event *ev;
	struct agb_ev_renew *r;
	size_t j;

	if (!k->polling)
		return;
	k->polling = false;
	c = &w->worker_calls[k->poll];
	ev = agb_xcalloc(1, sizeof(*ev));
	ev->type = AGB_EV_RENEW;
	r = &ev->u.renew;
	memcpy(r->worker, k->name, sizeof(r->worker));
	r->epoch = k->epoch;
	r->seq = k->seq;
	r->leaving = k->leaving;
	r->events = agb_xcalloc(k->events_len + 1, sizeof(*r->events));
	for (j = 0; j < k->events_len; j++) {
		if (k->events[j].seq <= c->after)
			continue;
		r->events[r->events_len] = k->events[j];
		r->events[r->events_len].text = agb_xstrdup(k->events[j].text);
		r->events_len++;
	}
	r->slots_len = slots_of(k, &r->slots);
	answer(w, k->poll, ev);
}

static void
add_event(struct world *w, uint32_t i, const struct run *r, bool started,
    enum agb_result result)
{
	struct wworker *const k = &w->workers[i];
	struct agb_worker_event *e;

	k->events = agb_xreallocarray(k->events, k->events_len + 1, sizeof(*e));
	e = &k->events[k->events_len++];
	memset(e, 0, sizeof(*e));
	e->seq = ++k->seq;
	memcpy(e->task, r->task, sizeof(e->task));
	e->attempt = r->attempt;
	e->started = started;
	e->result = result;
	e->text = agb_xstrdup("{}");
	poll_answer(w, i);
}

static void
run_end(struct world *w, uint32_t i, struct run *r, enum agb_result result)
{
	if (!r->live)
		return;
	r->live = false;
	rec_run(w, i, r, REC_END);
	if (!r->slot)
		add_event(w, i, r, false, result);
}

static struct agb_event *
fenced(const struct wworker *k, enum agb_effect_type type, uint64_t tag)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));

	switch (type) {
	case AGB_EF_SESSION:
		ev->type = AGB_EV_SESSION;
		memcpy(ev->u.session.worker, k->name, AGB_NAME_LEN);
		ev->u.session.status = AGB_WORKER_FENCED;
		ev->u.session.epoch = k->epoch;
		break;
	case AGB_EF_RENEW:
		ev->type = AGB_EV_RENEW;
		memcpy(ev->u.renew.worker, k->name, AGB_NAME_LEN);
		ev->u.renew.status = AGB_WORKER_FENCED;
		ev->u.renew.epoch = k->epoch;
		break;
	default:
		ev->type = AGB_EV_COMMANDS;
		memcpy(ev->u.commands.worker, k->name, AGB_NAME_LEN);
		ev->u.commands.tag = tag;
		ev->u.commands.status = AGB_WORKER_FENCED;
		ev->u.commands.epoch = k->epoch;
		break;
	}
	ev->tag = tag;
	return ev;
}

static void
lease_set(struct world *w, uint32_t i, uint32_t ttl_ms)
{
	struct wworker *const k = &w->workers[i];
	struct msg *m;

	k->session_until = w->now + ttl_ms * AGB_MS;
	m = w_push(w, k->session_until, M_ISOLATED);
	m->worker = i;
}

static void
session(struct world *w, uint32_t i, size_t id, const struct agb_effect *ef)
{
	struct wworker *const k = &w->workers[i];
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct agb_ev_session *const s = &ev->u.session;
	size_t j;

	poll_answer(w, i);
	k->epoch = ef->u.worker.epoch;
	lease_set(w, i, ef->u.worker.ttl_ms);
	ev->type = AGB_EV_SESSION;
	ev->tag = ef->tag;
	memcpy(s->worker, k->name, sizeof(s->worker));
	s->epoch = k->epoch;
	s->seq = k->seq;
	s->leaving = k->leaving;
	snprintf(s->boot, sizeof(s->boot), "boot-%u", k->boots);
	s->tasks = agb_xcalloc(k->runs_len + 1, sizeof(*s->tasks));
	for (j = 0; j < k->runs_len; j++) {
		if (!k->runs[j].live || k->runs[j].slot)
			continue;
		memcpy(
		    s->tasks[s->tasks_len].task, k->runs[j].task, AGB_ID_LEN);
		s->tasks[s->tasks_len].attempt = k->runs[j].attempt;
		s->tasks[s->tasks_len].need = k->runs[j].need;
		s->tasks_len++;
	}
	s->slots_len = slots_of(k, &s->slots);
	answer(w, id, ev);
}

static void
renew(struct world *w, uint32_t i, size_t id, const struct agb_effect *ef)
{
	struct wworker *const k = &w->workers[i];
	struct msg *m;
	size_t j, n;

	poll_answer(w, i);
	lease_set(w, i, ef->u.worker.ttl_ms);
	n = 0;
	for (j = 0; j < k->events_len; j++) {
		if (k->events[j].seq <= ef->u.worker.after_seq)
			free(k->events[j].text);
		else
			k->events[n++] = k->events[j];
	}
	k->events_len = n;
	k->polling = true;
	k->poll = id;
	if (n > 0 || k->leaving) {
		/* A worker that leaves says so at once, then at each wait. */
		if (n > 0 || ef->u.worker.wait_ms == 0 ||
		    w->now < k->session_until) {
			m = w_push(w, w->now + (n > 0 ? 0 : 100 * AGB_MS),
			    M_WORKER_POLL);
			m->x = id;
			return;
		}
	}
	m = w_push(w, w->now + ef->u.worker.wait_ms * AGB_MS, M_WORKER_POLL);
	m->x = id;
}

static bool
is_revoked(const struct wworker *k, const struct agb_attempt *a)
{
	size_t i;

	for (i = 0; i < k->revoked_len; i++) {
		if (same(&k->revoked[i], a))
			return true;
	}
	return false;
}

static void
start(struct world *w, uint32_t i, const struct agb_command *c)
{
	struct wworker *const k = &w->workers[i];
	unsigned call, ms, fails;
	const char *slash;
	struct run *r;
	struct msg *m;

	r = run_find(k, &c->attempt);
	if (r != NULL)
		return;
	if (c->args == NULL ||
	    sscanf(c->args, "{\"call\":%u,\"ms\":%u,\"fails\":%u}", &call, &ms,
		&fails) != 3)
		abort();
	r = run_add(k, &c->attempt);
	memcpy(r->task, c->task, sizeof(r->task));
	slash = strrchr(c->task, '/');
	r->number = slash != NULL ? (uint32_t)strtoul(slash + 1, NULL, 10) : 0;
	r->call = call;
	r->need = c->need;
	r->keep = c->on_isolation == AGB_ISOLATION_KEEP;
	r->autonomy = c->autonomy_ms * AGB_MS;
	r->fails = fails != 0;
	rec_run(w, i, r, REC_RUN);
	if (ms > 0) {
		m = w_push(w, w->now + ms * AGB_MS, M_TASK_END);
		m->worker = i;
		m->x = (size_t)(r - k->runs);
		m->incarnation = k->boots;
	}
	add_event(w, i, r, true, AGB_RESULT_OK);
}

static void
revoke_attempt(struct wworker *k, const struct agb_command *c,
    struct agb_command_result *res)
{
	const struct run *const r = run_find(k, &c->attempt);

	res->busy = r != NULL && r->live;
	/* An attempt that has ended will not run again either. */
	res->ok = !res->busy;
	if (r == NULL && !is_revoked(k, &c->attempt)) {
		k->revoked = agb_xreallocarray(
		    k->revoked, k->revoked_len + 1, sizeof(*k->revoked));
		k->revoked[k->revoked_len++] = c->attempt;
	}
}

/* A throttled task holds less, or its full need again later. */
static void
throttle(struct world *w, uint32_t i, const struct agb_command *c)
{
	struct run *const r = run_find(&w->workers[i], &c->attempt);
	struct rec *rec;

	if (r == NULL || !r->live)
		return;
	rec = history_add(&w->hist, w->now, REC_THROTTLE);
	rec->worker = i;
	rec->need = r->need;
	agb_resources_sub(&rec->need, &c->need);
	r->need = c->need;
}

static void
commands(struct world *w, uint32_t i, size_t id, const struct agb_effect *ef)
{
	struct wworker *const k = &w->workers[i];
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct agb_ev_commands *const r = &ev->u.commands;
	const struct agb_command *c;
	struct run *run;
	size_t j;

	ev->type = AGB_EV_COMMANDS;
	ev->tag = ef->tag;
	memcpy(r->worker, k->name, sizeof(r->worker));
	r->tag = ef->tag;
	r->epoch = k->epoch;
	r->items_len = ef->u.worker.items_len;
	r->items = agb_xcalloc(r->items_len + 1, sizeof(*r->items));
	for (j = 0; j < r->items_len; j++) {
		c = &ef->u.worker.items[j];
		r->items[j].kind = c->kind;
		r->items[j].attempt = c->attempt;
		r->items[j].ok = true;
		switch (c->kind) {
		case AGB_COMMAND_START:
			r->items[j].ok = !is_revoked(k, &c->attempt);
			if (r->items[j].ok)
				start(w, i, c);
			break;
		case AGB_COMMAND_STOP:
		case AGB_COMMAND_CHECKPOINT:
			run = run_find(k, &c->attempt);
			if (run != NULL)
				run_end(w, i, run,
				    c->kind == AGB_COMMAND_STOP
					? AGB_RESULT_STOPPED
					: AGB_RESULT_CHECKPOINTED);
			else
				r->items[j].ok = false;
			break;
		case AGB_COMMAND_THROTTLE:
			throttle(w, i, c);
			break;
		case AGB_COMMAND_REVOKE:
			revoke_attempt(k, c, &r->items[j]);
			break;
		}
	}
	answer(w, id, ev);
}

void
w_worker_call(struct world *w, uint32_t n, struct agb_effect *ef)
{
	const struct agb_ef_worker *const e = &ef->u.worker;
	struct worker_call *c;
	struct agb_event *ev;
	struct msg *m;
	uint32_t i;
	size_t id;

	for (i = 0; i < W_WORKERS; i++) {
		if (strcmp(w->workers[i].addr, e->address) == 0)
			break;
	}
	if (i == W_WORKERS)
		abort();
	w->worker_calls = agb_xreallocarray(
	    w->worker_calls, w->worker_calls_len + 1, sizeof(*c));
	id = w->worker_calls_len++;
	c = &w->worker_calls[id];
	memset(c, 0, sizeof(*c));
	c->node = n;
	c->incarnation = w->nodes[n].incarnation;
	c->worker = i;
	c->type = ef->type;
	c->tag = ef->tag;
	c->after = e->after_seq;
	ev = fenced(&w->workers[i], ef->type, ef->tag);
	if (ev->type == AGB_EV_SESSION)
		ev->u.session.status = AGB_WORKER_LOST;
	else if (ev->type == AGB_EV_RENEW)
		ev->u.renew.status = AGB_WORKER_LOST;
	else
		ev->u.commands.status = AGB_WORKER_LOST;
	m = w_push(
	    w, w->now + WORKER_TIMEOUT + e->wait_ms * AGB_MS, M_WORKER_RES);
	m->x = id;
	m->ev = ev;
	if (!reachable(w, n, i) || (w->loss > 0 && w_draw(w) < w->loss)) {
		agb_effect_free(ef);
		return;
	}
	m = w_push(w, w->now + w_delay(w), M_WORKER_REQ);
	m->x = id;
	m->ef = agb_xcalloc(1, sizeof(*ef));
	*m->ef = *ef;
}

static bool
in_session(const struct wworker *k, const struct agb_effect *ef)
{
	agb_name boot;

	snprintf(boot, sizeof(boot), "boot-%u", k->boots);
	return ef->u.worker.epoch == k->epoch &&
	    strcmp(ef->u.worker.boot, boot) == 0;
}

static void
worker_request(struct world *w, struct msg *m)
{
	const uint32_t i = w->worker_calls[m->x].worker;
	struct wworker *const k = &w->workers[i];

	if (k->dead || k->silent)
		return;
	if (m->ef->u.worker.epoch < k->epoch) {
		answer(w, m->x, fenced(k, m->ef->type, m->ef->tag));
		return;
	}
	switch (m->ef->type) {
	case AGB_EF_SESSION:
		session(w, i, m->x, m->ef);
		break;
	case AGB_EF_RENEW:
		/* A worker that has restarted knows no session. */
		if (!in_session(k, m->ef))
			answer(w, m->x, fenced(k, m->ef->type, m->ef->tag));
		else
			renew(w, i, m->x, m->ef);
		break;
	default:
		if (!in_session(k, m->ef))
			answer(w, m->x, fenced(k, m->ef->type, m->ef->tag));
		else
			commands(w, i, m->x, m->ef);
		break;
	}
}

/* Tasks of a class that stops end by themselves some time after the session
 * has lapsed. */
static void
isolated(struct world *w, uint32_t i)
{
	struct wworker *const k = &w->workers[i];
	struct msg *m;
	size_t j;

	if (k->dead || w->now < k->session_until)
		return;
	for (j = 0; j < k->runs_len; j++) {
		if (!k->runs[j].live || k->runs[j].slot || k->runs[j].keep)
			continue;
		if (w->now >= k->session_until + k->runs[j].autonomy) {
			run_end(w, i, &k->runs[j], AGB_RESULT_STOPPED);
			continue;
		}
		m = w_push(
		    w, k->session_until + k->runs[j].autonomy, M_ISOLATED);
		m->worker = i;
	}
}

static void
task_end(struct world *w, const struct msg *m)
{
	struct wworker *const k = &w->workers[m->worker];
	struct run *r;

	if (k->dead || k->boots != m->incarnation)
		return;
	r = &k->runs[m->x];
	run_end(w, m->worker, r, r->fails ? AGB_RESULT_FAILED : AGB_RESULT_OK);
}

void
w_worker_msg(struct world *w, struct msg *m)
{
	struct worker_call *c;

	switch (m->kind) {
	case M_WORKER_REQ:
		worker_request(w, m);
		return;
	case M_WORKER_POLL:
		c = &w->worker_calls[m->x];
		if (w->workers[c->worker].polling &&
		    w->workers[c->worker].poll == m->x)
			poll_answer(w, c->worker);
		return;
	case M_TASK_END:
		task_end(w, m);
		return;
	case M_ISOLATED:
		isolated(w, m->worker);
		return;
	default:
		break;
	}
	c = &w->worker_calls[m->x];
	if (c->done || w->nodes[c->node].incarnation != c->incarnation)
		return;
	c->done = true;
	w_event(w, c->node, m->ev);
}

void
w_worker_list(struct world *w, uint32_t i, enum agb_instance_state state)
{
	const struct wworker *const k = &w->workers[i];
	struct agb_instance it = {.kind = AGB_INSTANCE_WORKER};

	it.state = state;
	memcpy(it.id, k->name, sizeof(it.id));
	agb_name_set(it.region, sizeof(it.region), "r");
	memcpy(it.domain, k->domain, sizeof(it.domain));
	snprintf(it.rack, sizeof(it.rack), "rack-%u", i);
	memcpy(it.address, k->addr, sizeof(it.address));
	memcpy(it.runner, k->runner, sizeof(it.runner));
	agb_name_set(it.service, sizeof(it.service), "quick");
	it.slots = 4;
	it.connections = 16;
	it.capacity = k->capacity;
	w_list_add(w, &it);
}

/* Ends all that a worker runs; it comes back with empty memory, or the
 * platform lists it as gone. */
void
w_worker_die(struct world *w, uint32_t i, bool restart)
{
	struct wworker *const k = &w->workers[i];
	size_t j;

	history_add(&w->hist, w->now, REC_WORKER_DEAD)->worker = i;
	for (j = 0; j < k->events_len; j++)
		free(k->events[j].text);
	free(k->runs);
	free(k->events);
	free(k->revoked);
	k->runs = NULL;
	k->events = NULL;
	k->revoked = NULL;
	k->runs_len = k->events_len = k->revoked_len = 0;
	k->seq = 0;
	k->epoch = 0;
	k->polling = false;
	k->boots++;
	if (restart)
		return;
	k->dead = true;
	w_worker_list(w, i, AGB_INSTANCE_GONE);
}

void
w_worker_leave(struct world *w, uint32_t i)
{
	struct wworker *const k = &w->workers[i];

	if (k->leaving || k->dead)
		return;
	k->leaving = true;
	history_add(&w->hist, w->now, REC_LEAVING)->worker = i;
	w_worker_list(w, i, AGB_INSTANCE_LEAVING);
	poll_answer(w, i);
}

void
w_upstream(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	const struct agb_ef_upstream *const e = &ef->u.upstream;
	struct msg *m;
	struct up *u;
	uint32_t i;
	size_t id;

	for (i = 0; i < W_WORKERS; i++) {
		if (strcmp(w->workers[i].runner, e->runner) == 0)
			break;
	}
	if (i == W_WORKERS)
		abort();
	w->ups = agb_xreallocarray(w->ups, w->ups_len + 1, sizeof(*u));
	id = w->ups_len++;
	u = &w->ups[id];
	memset(u, 0, sizeof(*u));
	u->node = n;
	u->incarnation = w->nodes[n].incarnation;
	u->worker = i;
	u->call = (uint32_t)ef->call_id;
	u->attempt = e->attempt;
	m = w_push(w, w->now + e->timeout_ms * AGB_MS, M_UP_LOST);
	m->x = id;
	if (!reachable(w, n, i) || (w->loss > 0 && w_draw(w) < w->loss))
		return;
	m = w_push(w, w->now + w_delay(w), M_UP_REQ);
	m->x = id;
}

void
w_upstream_abort(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	size_t i;

	for (i = 0; i < w->ups_len; i++) {
		if (w->ups[i].node == n &&
		    w->ups[i].call == (uint32_t)ef->call_id &&
		    same(&w->ups[i].attempt, &ef->u.upstream.attempt))
			w->ups[i].done = true;
	}
}

static void
up_refuse(struct world *w, size_t id)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct msg *m;

	ev->type = AGB_EV_UPSTREAM;
	ev->u.upstream.result = AGB_RESULT_NOT_STARTED;
	ev->u.upstream.reason = AGB_REASON_UPSTREAM_REFUSED;
	m = w_push(w, w->now + w_delay(w), M_UP_RES);
	m->x = id;
	m->ev = ev;
}

/* The request reaches the runner, maybe long after its client gave up. */
static void
up_request(struct world *w, size_t id)
{
	struct up *const u = &w->ups[id];
	struct wworker *const k = &w->workers[u->worker];
	struct msg *m;
	struct run *r;

	if (k->dead || k->silent)
		return;
	if (u->attempt.epoch < k->epoch || is_revoked(k, &u->attempt) ||
	    run_find(k, &u->attempt) != NULL) {
		up_refuse(w, id);
		return;
	}
	r = run_add(k, &u->attempt);
	r->slot = true;
	r->call = u->call;
	r->need.cpu_milli = RUNNER_NEED_MILLI;
	r->need.mem_mb = RUNNER_NEED_MB;
	u->run = (size_t)(r - k->runs);
	rec_run(w, u->worker, r, REC_RUN);
	m = w_push(w,
	    w->now + 5 * AGB_MS + (agb_time)(w_draw(w) * w_draw(w) * 1.5e6),
	    M_UP_END);
	m->x = id;
	m->incarnation = k->boots;
	if (w->loss == 0 || w_draw(w) > 3 * w->loss)
		return;
	/* The connection breaks while the runner goes on. */
	m = w_push(
	    w, w->now + 1 * AGB_MS + (agb_time)(w_draw(w) * 50e3), M_UP_LOST);
	m->x = id;
	m->call = w->ups[id].call;
}

static void
up_finished(struct world *w, const struct msg *m)
{
	struct up *const u = &w->ups[m->x];
	struct wworker *const k = &w->workers[u->worker];
	struct agb_event *ev;
	struct msg *back;
	bool whole;

	if (k->dead || k->boots != m->incarnation)
		return;
	run_end(w, u->worker, &k->runs[u->run], AGB_RESULT_OK);
	if (!reachable(w, u->node, u->worker) ||
	    (w->loss > 0 && w_draw(w) < w->loss))
		return;
	whole = w->loss == 0 || w_draw(w) > w->loss;
	ev = agb_xcalloc(1, sizeof(*ev));
	ev->type = AGB_EV_UPSTREAM;
	ev->u.upstream.result = whole ? AGB_RESULT_OK : AGB_RESULT_LOST;
	ev->u.upstream.reason =
	    whole ? AGB_REASON_NONE : AGB_REASON_UPSTREAM_SHORT;
	ev->u.upstream.http_status = 200;
	back = w_push(w, w->now + w_delay(w), M_UP_RES);
	back->x = m->x;
	back->flag = whole;
	back->ev = ev;
}

void
w_upstream_msg(struct world *w, struct msg *m)
{
	struct agb_event ev = {.type = AGB_EV_UPSTREAM};
	struct up *u;

	if (m->kind == M_UP_REQ) {
		up_request(w, m->x);
		return;
	}
	if (m->kind == M_UP_END) {
		up_finished(w, m);
		return;
	}
	u = &w->ups[m->x];
	if (u->done || w->nodes[u->node].incarnation != u->incarnation)
		return;
	u->done = true;
	if (m->kind == M_UP_LOST) {
		ev.u.upstream.result = AGB_RESULT_LOST;
		ev.u.upstream.reason = m->call != 0 ? AGB_REASON_UPSTREAM_LOST
						    : AGB_REASON_DEADLINE;
	} else {
		ev.u.upstream = m->ev->u.upstream;
	}
	ev.u.upstream.call_id = u->call;
	ev.u.upstream.attempt = u->attempt;
	/* The edge keeps the latest answer that came for a call. */
	if (ev.u.upstream.result != AGB_RESULT_NOT_STARTED) {
		w->calls[u->call].content = u->call;
		w->calls[u->call].whole = m->flag;
	}
	w_event(w, u->node, &ev);
}

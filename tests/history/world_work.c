#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

/* A client gives up a call to a worker agent after this time, plus the wait
 * that it asked for in a renewal. */
#define WORKER_TIMEOUT (2 * AGB_SEC)
/* Resources that a quick request uses on a runner. */
#define RUNNER_NEED_MILLI 500
#define RUNNER_NEED_MB 128

/* Returns whether node @n reaches worker @i. A network partition doesn't
 * separate instances from the workers of their own domain. */
static bool
reachable(const struct world *w, uint32_t n, uint32_t i)
{
	const struct sim_worker *const k = &w->workers[i];

	if (k->dead || k->unreachable)
		return false;
	return strcmp(k->domain, w->nodes[n].domain) == 0 ||
	    !w->nodes[n].partitioned;
}

static void
record_run(struct world *w, uint32_t i, const struct task_run *r,
    enum record_type type)
{
	struct history_record *const rec =
	    history_add(&w->history, w->now, type);

	rec->call = r->call;
	rec->task = r->task_number;
	rec->worker = i;
	rec->need = r->need;
	rec->version = r->attempt.seq;
}

static bool
attempts_equal(const struct agb_attempt *a, const struct agb_attempt *b)
{
	return a->epoch == b->epoch && a->seq == b->seq;
}

static struct task_run *
run_find(struct sim_worker *k, const struct agb_attempt *a)
{
	size_t i;

	for (i = 0; i < k->runs_len; i++) {
		if (k->runs[i].seen && attempts_equal(&k->runs[i].attempt, a))
			return &k->runs[i];
	}
	return NULL;
}

static struct task_run *
run_add(struct sim_worker *k, const struct agb_attempt *a)
{
	struct task_run *r;

	k->runs = agb_xreallocarray(k->runs, k->runs_len + 1, sizeof(*r));
	r = &k->runs[k->runs_len++];
	memset(r, 0, sizeof(*r));
	r->seen = true;
	r->running = true;
	r->attempt = *a;
	return r;
}

/* Sends the answer to worker call @id unless the network loses it; takes
 * ownership of @ev. */
static void
send_worker_answer(struct world *w, size_t id, struct agb_event *ev)
{
	struct worker_call *const c = &w->worker_calls[id];
	struct sim_event *m;

	if (!reachable(w, c->node, c->worker) ||
	    (w->message_loss > 0 && w_random(w) < w->message_loss)) {
		agb_event_free(ev);
		free(ev);
		return;
	}
	m = w_schedule(w, w->now + w_random_delay(w), SIM_WORKER_RES);
	m->index = id;
	m->ev = ev;
}

/* Returns the number of slots in use on a runner and copies their attempts to
 * @out, which the caller frees. */
static size_t
runner_slots(const struct sim_worker *k, struct agb_attempt **out)
{
	size_t i, n;

	*out = agb_xcalloc(k->runs_len + 1, sizeof(**out));
	n = 0;
	for (i = 0; i < k->runs_len; i++) {
		if (k->runs[i].running && k->runs[i].on_runner)
			(*out)[n++] = k->runs[i].attempt;
	}
	return n;
}

/* Answers the pending renewal of worker @i, if there is one, with all events
 * that the owner has not received yet. */
static void
answer_renewal(struct world *w, uint32_t i)
{
	struct sim_worker *const k = &w->workers[i];
	struct worker_call *c;
	struct agb_event *ev;
	struct agb_ev_renew *r;
	size_t j;

	if (!k->renewal_pending)
		return;
	k->renewal_pending = false;
	c = &w->worker_calls[k->renewal_call];
	ev = agb_xcalloc(1, sizeof(*ev));
	ev->type = AGB_EV_RENEW;
	r = &ev->u.renew;
	memcpy(r->worker, k->name, sizeof(r->worker));
	r->epoch = k->epoch;
	r->seq = k->seq;
	r->leaving = k->leaving;
	r->events = agb_xcalloc(k->events_len + 1, sizeof(*r->events));
	for (j = 0; j < k->events_len; j++) {
		if (k->events[j].seq <= c->after_seq)
			continue;
		r->events[r->events_len] = k->events[j];
		r->events[r->events_len].text = agb_xstrdup(k->events[j].text);
		r->events_len++;
	}
	r->slots_len = runner_slots(k, &r->slots);
	send_worker_answer(w, k->renewal_call, ev);
}

/* Queues an event for the owner and answers a pending renewal with it. */
static void
add_event(struct world *w, uint32_t i, const struct task_run *r, bool started,
    enum agb_result result)
{
	struct sim_worker *const k = &w->workers[i];
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
	answer_renewal(w, i);
}

static void
run_end(struct world *w, uint32_t i, struct task_run *r, enum agb_result result)
{
	if (!r->running)
		return;
	r->running = false;
	record_run(w, i, r, REC_RUN_END);
	if (!r->on_runner)
		add_event(w, i, r, false, result);
}

/* Creates the answer for a caller whose epoch or session is out of date. */
static struct agb_event *
build_fenced_answer(
    const struct sim_worker *k, enum agb_effect_type type, uint64_t tag)
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
extend_session(struct world *w, uint32_t i, uint32_t ttl_ms)
{
	struct sim_worker *const k = &w->workers[i];
	struct sim_event *m;

	k->session_expires_at = w->now + ttl_ms * AGB_MS;
	m = w_schedule(w, k->session_expires_at, SIM_SESSION_EXPIRY);
	m->worker = i;
}

/* Opens a session for a new owner and reports the runs of the worker. */
static void
open_session(
    struct world *w, uint32_t i, size_t id, const struct agb_effect *ef)
{
	struct sim_worker *const k = &w->workers[i];
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct agb_ev_session *const s = &ev->u.session;
	size_t j;

	answer_renewal(w, i);
	k->epoch = ef->u.worker.epoch;
	extend_session(w, i, ef->u.worker.ttl_ms);
	ev->type = AGB_EV_SESSION;
	ev->tag = ef->tag;
	memcpy(s->worker, k->name, sizeof(s->worker));
	s->epoch = k->epoch;
	s->seq = k->seq;
	s->leaving = k->leaving;
	snprintf(s->boot, sizeof(s->boot), "boot-%u", k->boot_count);
	s->tasks = agb_xcalloc(k->runs_len + 1, sizeof(*s->tasks));
	for (j = 0; j < k->runs_len; j++) {
		if (!k->runs[j].running || k->runs[j].on_runner)
			continue;
		memcpy(
		    s->tasks[s->tasks_len].task, k->runs[j].task, AGB_ID_LEN);
		s->tasks[s->tasks_len].attempt = k->runs[j].attempt;
		s->tasks[s->tasks_len].need = k->runs[j].need;
		s->tasks_len++;
	}
	s->slots_len = runner_slots(k, &s->slots);
	send_worker_answer(w, id, ev);
}

/* Renews the session, drops events that the owner has received, and schedules
 * the answer. */
static void
renew_session(
    struct world *w, uint32_t i, size_t id, const struct agb_effect *ef)
{
	struct sim_worker *const k = &w->workers[i];
	struct sim_event *m;
	size_t j, n;

	answer_renewal(w, i);
	extend_session(w, i, ef->u.worker.ttl_ms);
	n = 0;
	for (j = 0; j < k->events_len; j++) {
		if (k->events[j].seq <= ef->u.worker.after_seq)
			free(k->events[j].text);
		else
			k->events[n++] = k->events[j];
	}
	k->events_len = n;
	k->renewal_pending = true;
	k->renewal_call = id;
	if (n > 0 || k->leaving) {
		/* A worker with new events answers at once, and a leaving
		 * one after 100 ms in place of the full wait. */
		if (n > 0 || ef->u.worker.wait_ms == 0 ||
		    w->now < k->session_expires_at) {
			m = w_schedule(w, w->now + (n > 0 ? 0 : 100 * AGB_MS),
			    SIM_RENEWAL_DUE);
			m->index = id;
			return;
		}
	}
	m = w_schedule(
	    w, w->now + ef->u.worker.wait_ms * AGB_MS, SIM_RENEWAL_DUE);
	m->index = id;
}

static bool
is_revoked(const struct sim_worker *k, const struct agb_attempt *a)
{
	size_t i;

	for (i = 0; i < k->revoked_len; i++) {
		if (attempts_equal(&k->revoked[i], a))
			return true;
	}
	return false;
}

/* Starts a run unless the attempt is known. The arguments of the job tell the
 * call, the run time (0: until it is stopped) and whether the run fails. */
static void
start_task(struct world *w, uint32_t i, const struct agb_command *c)
{
	struct sim_worker *const k = &w->workers[i];
	unsigned call, ms, fails;
	const char *slash;
	struct task_run *r;
	struct sim_event *m;

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
	r->task_number =
	    slash != NULL ? (uint32_t)strtoul(slash + 1, NULL, 10) : 0;
	r->call = call;
	r->need = c->need;
	r->keeps_running = c->on_isolation == AGB_ISOLATION_KEEP;
	r->autonomy = c->autonomy_ms * AGB_MS;
	r->fails = fails != 0;
	record_run(w, i, r, REC_RUN_START);
	if (ms > 0) {
		m = w_schedule(w, w->now + ms * AGB_MS, SIM_TASK_END);
		m->worker = i;
		m->index = (size_t)(r - k->runs);
		m->incarnation = k->boot_count;
	}
	add_event(w, i, r, true, AGB_RESULT_OK);
}

/* Ensures that an attempt which has not arrived yet never starts. Reports
 * failure while the attempt is running. */
static void
revoke_attempt(struct sim_worker *k, const struct agb_command *c,
    struct agb_command_result *res)
{
	const struct task_run *const r = run_find(k, &c->attempt);

	res->busy = r != NULL && r->running;
	/* A revocation also succeeds for an attempt that has ended, because
	 * that attempt can't run again. */
	res->ok = !res->busy;
	if (r == NULL && !is_revoked(k, &c->attempt)) {
		k->revoked = agb_xreallocarray(
		    k->revoked, k->revoked_len + 1, sizeof(*k->revoked));
		k->revoked[k->revoked_len++] = c->attempt;
	}
}

/* Sets the resources that a task uses: less than it needs while throttled, and
 * its full need afterwards. */
static void
throttle(struct world *w, uint32_t i, const struct agb_command *c)
{
	struct task_run *const r = run_find(&w->workers[i], &c->attempt);
	struct history_record *rec;

	if (r == NULL || !r->running)
		return;
	rec = history_add(&w->history, w->now, REC_THROTTLE);
	rec->worker = i;
	rec->need = r->need;
	agb_resources_sub(&rec->need, &c->need);
	r->need = c->need;
}

static void
execute_commands(
    struct world *w, uint32_t i, size_t id, const struct agb_effect *ef)
{
	struct sim_worker *const k = &w->workers[i];
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct agb_ev_commands *const r = &ev->u.commands;
	const struct agb_command *c;
	struct task_run *run;
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
				start_task(w, i, c);
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
	send_worker_answer(w, id, ev);
}

void
w_worker_call(struct world *w, uint32_t n, struct agb_effect *ef)
{
	const struct agb_ef_worker *const e = &ef->u.worker;
	struct worker_call *c;
	struct agb_event *ev;
	struct sim_event *m;
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
	c->after_seq = e->after_seq;
	ev = build_fenced_answer(&w->workers[i], ef->type, ef->tag);
	if (ev->type == AGB_EV_SESSION)
		ev->u.session.status = AGB_WORKER_LOST;
	else if (ev->type == AGB_EV_RENEW)
		ev->u.renew.status = AGB_WORKER_LOST;
	else
		ev->u.commands.status = AGB_WORKER_LOST;
	m = w_schedule(
	    w, w->now + WORKER_TIMEOUT + e->wait_ms * AGB_MS, SIM_WORKER_RES);
	m->index = id;
	m->ev = ev;
	if (!reachable(w, n, i) ||
	    (w->message_loss > 0 && w_random(w) < w->message_loss)) {
		agb_effect_free(ef);
		return;
	}
	m = w_schedule(w, w->now + w_random_delay(w), SIM_WORKER_REQ);
	m->index = id;
	m->ef = agb_xcalloc(1, sizeof(*ef));
	*m->ef = *ef;
}

static bool
in_session(const struct sim_worker *k, const struct agb_effect *ef)
{
	agb_name boot;

	snprintf(boot, sizeof(boot), "boot-%u", k->boot_count);
	return ef->u.worker.epoch == k->epoch &&
	    strcmp(ef->u.worker.boot, boot) == 0;
}

static void
on_worker_request(struct world *w, struct sim_event *m)
{
	const uint32_t i = w->worker_calls[m->index].worker;
	struct sim_worker *const k = &w->workers[i];

	if (k->dead || k->unreachable)
		return;
	if (m->ef->u.worker.epoch < k->epoch) {
		send_worker_answer(w, m->index,
		    build_fenced_answer(k, m->ef->type, m->ef->tag));
		return;
	}
	switch (m->ef->type) {
	case AGB_EF_SESSION:
		open_session(w, i, m->index, m->ef);
		break;
	case AGB_EF_RENEW:
		/* A worker loses its session when it restarts. */
		if (!in_session(k, m->ef))
			send_worker_answer(w, m->index,
			    build_fenced_answer(k, m->ef->type, m->ef->tag));
		else
			renew_session(w, i, m->index, m->ef);
		break;
	default:
		if (!in_session(k, m->ef))
			send_worker_answer(w, m->index,
			    build_fenced_answer(k, m->ef->type, m->ef->tag));
		else
			execute_commands(w, i, m->index, m->ef);
		break;
	}
}

/* After the session has expired, stops each task whose autonomy has run out
 * and whose class stops tasks on isolation. */
static void
on_session_expiry(struct world *w, uint32_t i)
{
	struct sim_worker *const k = &w->workers[i];
	struct sim_event *m;
	size_t j;

	if (k->dead || w->now < k->session_expires_at)
		return;
	for (j = 0; j < k->runs_len; j++) {
		if (!k->runs[j].running || k->runs[j].on_runner ||
		    k->runs[j].keeps_running)
			continue;
		if (w->now >= k->session_expires_at + k->runs[j].autonomy) {
			run_end(w, i, &k->runs[j], AGB_RESULT_STOPPED);
			continue;
		}
		m = w_schedule(w, k->session_expires_at + k->runs[j].autonomy,
		    SIM_SESSION_EXPIRY);
		m->worker = i;
	}
}

static void
task_end(struct world *w, const struct sim_event *m)
{
	struct sim_worker *const k = &w->workers[m->worker];
	struct task_run *r;

	if (k->dead || k->boot_count != m->incarnation)
		return;
	r = &k->runs[m->index];
	run_end(w, m->worker, r, r->fails ? AGB_RESULT_FAILED : AGB_RESULT_OK);
}

void
w_worker_msg(struct world *w, struct sim_event *m)
{
	struct worker_call *c;

	switch (m->kind) {
	case SIM_WORKER_REQ:
		on_worker_request(w, m);
		return;
	case SIM_RENEWAL_DUE:
		c = &w->worker_calls[m->index];
		if (w->workers[c->worker].renewal_pending &&
		    w->workers[c->worker].renewal_call == m->index)
			answer_renewal(w, c->worker);
		return;
	case SIM_TASK_END:
		task_end(w, m);
		return;
	case SIM_SESSION_EXPIRY:
		on_session_expiry(w, m->worker);
		return;
	default:
		break;
	}
	c = &w->worker_calls[m->index];
	if (c->done || w->nodes[c->node].incarnation != c->incarnation)
		return;
	c->done = true;
	w_deliver(w, c->node, m->ev);
}

void
w_worker_publish(struct world *w, uint32_t i, enum agb_instance_state state)
{
	const struct sim_worker *const k = &w->workers[i];
	struct agb_instance it = {.kind = AGB_INSTANCE_WORKER};

	it.state = state;
	memcpy(it.id, k->name, sizeof(it.id));
	agb_str_copy(it.region, sizeof(it.region), "r");
	memcpy(it.domain, k->domain, sizeof(it.domain));
	snprintf(it.rack, sizeof(it.rack), "rack-%u", i);
	memcpy(it.address, k->addr, sizeof(it.address));
	memcpy(it.runner, k->runner, sizeof(it.runner));
	agb_str_copy(it.service, sizeof(it.service), "quick");
	it.slots = 4;
	it.connections = 16;
	it.capacity = k->capacity;
	w_list_update(w, &it);
}

/* Crashes a worker: all its runs end and its state is lost. It restarts, or the
 * platform lists it as gone. */
void
w_worker_kill(struct world *w, uint32_t i, bool restart)
{
	struct sim_worker *const k = &w->workers[i];
	size_t j;

	history_add(&w->history, w->now, REC_WORKER_DEAD)->worker = i;
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
	k->renewal_pending = false;
	k->boot_count++;
	if (restart)
		return;
	k->dead = true;
	w_worker_publish(w, i, AGB_INSTANCE_GONE);
}

void
w_worker_leave(struct world *w, uint32_t i)
{
	struct sim_worker *const k = &w->workers[i];

	if (k->leaving || k->dead)
		return;
	k->leaving = true;
	history_add(&w->history, w->now, REC_LEAVING)->worker = i;
	w_worker_publish(w, i, AGB_INSTANCE_LEAVING);
	answer_renewal(w, i);
}

void
w_upstream(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	const struct agb_ef_upstream *const e = &ef->u.upstream;
	struct sim_event *m;
	struct upstream_attempt *u;
	uint32_t i;
	size_t id;

	for (i = 0; i < W_WORKERS; i++) {
		if (strcmp(w->workers[i].runner, e->runner) == 0)
			break;
	}
	if (i == W_WORKERS)
		abort();
	w->upstream_attempts = agb_xreallocarray(
	    w->upstream_attempts, w->upstream_attempts_len + 1, sizeof(*u));
	id = w->upstream_attempts_len++;
	u = &w->upstream_attempts[id];
	memset(u, 0, sizeof(*u));
	u->node = n;
	u->incarnation = w->nodes[n].incarnation;
	u->worker = i;
	u->call = (uint32_t)ef->call_id;
	u->attempt = e->attempt;
	m = w_schedule(w, w->now + e->timeout_ms * AGB_MS, SIM_UPSTREAM_LOST);
	m->index = id;
	if (!reachable(w, n, i) ||
	    (w->message_loss > 0 && w_random(w) < w->message_loss))
		return;
	m = w_schedule(w, w->now + w_random_delay(w), SIM_UPSTREAM_REQ);
	m->index = id;
}

void
w_upstream_abort(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	size_t i;

	for (i = 0; i < w->upstream_attempts_len; i++) {
		if (w->upstream_attempts[i].node == n &&
		    w->upstream_attempts[i].call == (uint32_t)ef->call_id &&
		    attempts_equal(&w->upstream_attempts[i].attempt,
			&ef->u.upstream.attempt))
			w->upstream_attempts[i].done = true;
	}
}

static void
upstream_refuse(struct world *w, size_t id)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct sim_event *m;

	ev->type = AGB_EV_UPSTREAM;
	ev->u.upstream_result.result = AGB_RESULT_NOT_STARTED;
	ev->u.upstream_result.reason = AGB_REASON_UPSTREAM_REFUSED;
	m = w_schedule(w, w->now + w_random_delay(w), SIM_UPSTREAM_RES);
	m->index = id;
	m->ev = ev;
}

/* A request reaches the runner, possibly after its client has given it up. */
static void
on_upstream_request(struct world *w, size_t id)
{
	struct upstream_attempt *const u = &w->upstream_attempts[id];
	struct sim_worker *const k = &w->workers[u->worker];
	struct sim_event *m;
	struct task_run *r;

	if (k->dead || k->unreachable)
		return;
	if (u->attempt.epoch < k->epoch || is_revoked(k, &u->attempt) ||
	    run_find(k, &u->attempt) != NULL) {
		upstream_refuse(w, id);
		return;
	}
	r = run_add(k, &u->attempt);
	r->on_runner = true;
	r->call = u->call;
	r->need.cpu_milli = RUNNER_NEED_MILLI;
	r->need.mem_mb = RUNNER_NEED_MB;
	u->run = (size_t)(r - k->runs);
	record_run(w, u->worker, r, REC_RUN_START);
	m = w_schedule(w,
	    w->now + 5 * AGB_MS + (agb_time)(w_random(w) * w_random(w) * 1.5e6),
	    SIM_UPSTREAM_DONE);
	m->index = id;
	m->incarnation = k->boot_count;
	if (w->message_loss == 0 || w_random(w) > 3 * w->message_loss)
		return;
	/* The connection breaks while the runner continues the request. */
	m = w_schedule(w, w->now + 1 * AGB_MS + (agb_time)(w_random(w) * 50e3),
	    SIM_UPSTREAM_LOST);
	m->index = id;
	m->call = w->upstream_attempts[id].call;
}

static void
upstream_finish(struct world *w, const struct sim_event *m)
{
	struct upstream_attempt *const u = &w->upstream_attempts[m->index];
	struct sim_worker *const k = &w->workers[u->worker];
	struct agb_event *ev;
	struct sim_event *back;
	bool complete;

	if (k->dead || k->boot_count != m->incarnation)
		return;
	run_end(w, u->worker, &k->runs[u->run], AGB_RESULT_OK);
	if (!reachable(w, u->node, u->worker) ||
	    (w->message_loss > 0 && w_random(w) < w->message_loss))
		return;
	complete = w->message_loss == 0 || w_random(w) > w->message_loss;
	ev = agb_xcalloc(1, sizeof(*ev));
	ev->type = AGB_EV_UPSTREAM;
	ev->u.upstream_result.result =
	    complete ? AGB_RESULT_OK : AGB_RESULT_LOST;
	ev->u.upstream_result.reason =
	    complete ? AGB_REASON_NONE : AGB_REASON_UPSTREAM_SHORT;
	ev->u.upstream_result.http_status = 200;
	back = w_schedule(w, w->now + w_random_delay(w), SIM_UPSTREAM_RES);
	back->index = m->index;
	back->flag = complete;
	back->ev = ev;
}

void
w_upstream_msg(struct world *w, struct sim_event *m)
{
	struct agb_event ev = {.type = AGB_EV_UPSTREAM};
	struct upstream_attempt *u;

	if (m->kind == SIM_UPSTREAM_REQ) {
		on_upstream_request(w, m->index);
		return;
	}
	if (m->kind == SIM_UPSTREAM_DONE) {
		upstream_finish(w, m);
		return;
	}
	u = &w->upstream_attempts[m->index];
	if (u->done || w->nodes[u->node].incarnation != u->incarnation)
		return;
	u->done = true;
	if (m->kind == SIM_UPSTREAM_LOST) {
		ev.u.upstream_result.result = AGB_RESULT_LOST;
		ev.u.upstream_result.reason = m->call != 0
		    ? AGB_REASON_UPSTREAM_LOST
		    : AGB_REASON_DEADLINE;
	} else {
		ev.u.upstream_result = m->ev->u.upstream_result;
	}
	ev.u.upstream_result.call_id = u->call;
	ev.u.upstream_result.attempt = u->attempt;
	/* The edge forwards the latest answer that it received for a call. */
	if (ev.u.upstream_result.result != AGB_RESULT_NOT_STARTED) {
		w->calls[u->call].answered_call = u->call;
		w->calls[u->call].complete = m->flag;
	}
	w_deliver(w, u->node, &ev);
}

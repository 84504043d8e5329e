#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

/**
 * DOC: fake_worker
 *
 * In-memory model of a worker agent and its runner. It accepts commands only
 * with the highest epoch it has granted, starts each attempt at most once, and
 * keeps ended tasks until a renewal acknowledges them.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "effect.h"
#include "mem.h"

#define FAKE_TASKS_MAX 64

struct fake_task {
	struct agb_worker_task t;
	bool running;
	uint64_t end_seq; /* sequence number of its end event */
};

/**
 * struct fake_worker - simulated worker
 * @boot: number of restarts
 * @seq: sequence number of the last event
 * @unreachable: calls do not reach the worker
 * @drop_responses: number of next command responses that are lost after the
 *	commands have been executed
 * @starts: number of task starts, including those before a restart
 * @stops: number of running tasks stopped by command
 * @events: events that no renewal has acknowledged
 */
struct fake_worker {
	agb_name id;
	unsigned boot;
	uint64_t epoch;
	uint64_t seq;
	bool unreachable;
	bool leaving;
	unsigned drop_responses;
	unsigned starts;
	unsigned stops;
	struct fake_task tasks[FAKE_TASKS_MAX];
	size_t tasks_len;
	struct agb_worker_event events[FAKE_TASKS_MAX];
	size_t events_len;
	struct agb_attempt slots[16];
	size_t slots_len;
	struct agb_attempt revoked[16];
	size_t revoked_len;
};

static inline bool
fake_attempt_eq(const struct agb_attempt *a, const struct agb_attempt *b)
{
	return a->epoch == b->epoch && a->seq == b->seq;
}

static inline void
fake_worker_add_event(struct fake_worker *w, const struct agb_worker_task *t,
    bool started, enum agb_result result, const char *text)
{
	struct agb_worker_event *const e = &w->events[w->events_len++];

	memset(e, 0, sizeof(*e));
	e->seq = ++w->seq;
	agb_str_copy(e->task, sizeof(e->task), t->task);
	e->attempt = t->attempt;
	e->started = started;
	e->result = result;
	e->text = text != NULL ? agb_xstrdup(text) : NULL;
}

/* Ends all running tasks. Return: their number. */
static inline unsigned
fake_worker_finish_tasks(
    struct fake_worker *w, enum agb_result result, const char *text)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < w->tasks_len; i++) {
		if (!w->tasks[i].running)
			continue;
		w->tasks[i].running = false;
		fake_worker_add_event(w, &w->tasks[i].t, false, result, text);
		w->tasks[i].end_seq = w->seq;
		n++;
	}
	return n;
}

static inline unsigned
fake_worker_running(const struct fake_worker *w)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < w->tasks_len; i++)
		n += w->tasks[i].running;
	return n;
}

/* Removes the events up to @after and the tasks that ended with them. */
static inline void
fake_worker_ack_events(struct fake_worker *w, uint64_t after)
{
	size_t i, n = 0;

	for (i = 0; i < w->events_len; i++) {
		if (w->events[i].seq <= after)
			free(w->events[i].text);
		else
			w->events[n++] = w->events[i];
	}
	w->events_len = n;
	n = 0;
	for (i = 0; i < w->tasks_len; i++) {
		if (w->tasks[i].running || w->tasks[i].end_seq > after)
			w->tasks[n++] = w->tasks[i];
	}
	w->tasks_len = n;
}

/* Restarts the worker; it loses its epoch, tasks and events. */
static inline void
fake_worker_reboot(struct fake_worker *w)
{
	fake_worker_ack_events(w, UINT64_MAX);
	w->boot++;
	w->epoch = 0;
	w->seq = 0;
	w->tasks_len = 0;
	w->slots_len = 0;
	w->revoked_len = 0;
}

static inline void
fake_worker_session(struct fake_worker *w, const struct agb_ef_worker *c,
    struct agb_ev_session *s)
{
	size_t i;

	agb_str_copy(s->worker, sizeof(s->worker), w->id);
	s->epoch = w->epoch;
	if (c->epoch < w->epoch) {
		s->status = AGB_WORKER_FENCED;
		return;
	}
	s->status = AGB_WORKER_OK;
	s->epoch = w->epoch = c->epoch;
	snprintf(s->boot, sizeof(s->boot), "boot-%u", w->boot);
	s->tasks = agb_xcalloc(FAKE_TASKS_MAX, sizeof(*s->tasks));
	for (i = 0; i < w->tasks_len; i++) {
		if (w->tasks[i].running)
			s->tasks[s->tasks_len++] = w->tasks[i].t;
	}
	s->slots = (void *)agb_xmemdup(w->slots, sizeof(w->slots));
	s->slots_len = w->slots_len;
	s->seq = w->seq;
}

static inline void
fake_worker_renew(struct fake_worker *w, const struct agb_ef_worker *c,
    struct agb_ev_renew *r)
{
	size_t i;

	agb_str_copy(r->worker, sizeof(r->worker), w->id);
	r->epoch = w->epoch;
	if (c->epoch != w->epoch) {
		r->status = AGB_WORKER_FENCED;
		return;
	}
	r->status = AGB_WORKER_OK;
	fake_worker_ack_events(w, c->after_seq);
	r->seq = w->seq;
	r->leaving = w->leaving;
	r->events = agb_xcalloc(FAKE_TASKS_MAX, sizeof(*r->events));
	for (i = 0; i < w->events_len; i++) {
		r->events[i] = w->events[i];
		if (w->events[i].text != NULL)
			r->events[i].text = agb_xstrdup(w->events[i].text);
	}
	r->events_len = w->events_len;
	r->slots = (void *)agb_xmemdup(w->slots, sizeof(w->slots));
	r->slots_len = w->slots_len;
}

static inline bool
fake_worker_start(struct fake_worker *w, const struct agb_command *c)
{
	struct fake_task *t;
	size_t i;

	for (i = 0; i < w->tasks_len; i++) {
		if (fake_attempt_eq(&w->tasks[i].t.attempt, &c->attempt))
			return true;
	}
	if (w->leaving)
		return false;
	t = &w->tasks[w->tasks_len++];
	memset(t, 0, sizeof(*t));
	agb_str_copy(t->t.task, sizeof(t->t.task), c->task);
	t->t.attempt = c->attempt;
	t->t.need = c->need;
	t->running = true;
	w->starts++;
	return true;
}

static inline bool
fake_worker_stop(struct fake_worker *w, const struct agb_command *c)
{
	size_t i;

	for (i = 0; i < w->tasks_len; i++) {
		if (!fake_attempt_eq(&w->tasks[i].t.attempt, &c->attempt))
			continue;
		if (w->tasks[i].running) {
			w->tasks[i].running = false;
			w->stops++;
			fake_worker_add_event(
			    w, &w->tasks[i].t, false, AGB_RESULT_STOPPED, NULL);
			w->tasks[i].end_seq = w->seq;
		}
		return true;
	}
	return false;
}

static inline void
fake_worker_commands(struct fake_worker *w, const struct agb_ef_worker *c,
    struct agb_ev_commands *r)
{
	size_t i, k;

	agb_str_copy(r->worker, sizeof(r->worker), w->id);
	r->epoch = w->epoch;
	if (c->epoch != w->epoch) {
		r->status = AGB_WORKER_FENCED;
		return;
	}
	r->status = AGB_WORKER_OK;
	r->items = agb_xcalloc(c->items_len, sizeof(*r->items));
	r->items_len = c->items_len;
	for (i = 0; i < c->items_len; i++) {
		const struct agb_command *const cmd = &c->items[i];
		struct agb_command_result *const res = &r->items[i];

		res->kind = cmd->kind;
		res->attempt = cmd->attempt;
		if (cmd->kind == AGB_COMMAND_START) {
			res->ok = fake_worker_start(w, cmd);
		} else if (cmd->kind == AGB_COMMAND_STOP) {
			res->ok = fake_worker_stop(w, cmd);
		} else if (cmd->kind == AGB_COMMAND_REVOKE) {
			w->revoked[w->revoked_len++ % 16] = cmd->attempt;
			res->ok = true;
			for (k = 0; k < w->slots_len; k++)
				res->busy = res->busy ||
				    fake_attempt_eq(
					&w->slots[k], &cmd->attempt);
		} else {
			res->ok = true;
		}
	}
}

#endif

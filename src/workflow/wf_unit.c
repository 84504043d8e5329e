#include "wf_unit.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

static const struct wf_step *
unit_step(const struct wf_unit *u)
{
	return &u->exec->job->spec.steps[u->step];
}

static uint32_t
chunk_count(const struct wf_unit *u)
{
	return (u->tasks_len + WF_TASK_CHUNK - 1) / WF_TASK_CHUNK;
}

/* Number of tasks in a chunk: the last one is as long as needed. */
static uint32_t
chunk_len(const struct wf_unit *u, uint32_t chunk)
{
	const uint32_t left = u->tasks_len - chunk * WF_TASK_CHUNK;

	return left < WF_TASK_CHUNK ? left : WF_TASK_CHUNK;
}

void
wf_exec_init_work(struct wf_exec *e)
{
	const struct wf_spec *const s = &e->job->spec;

	e->tasks_per_occurrence = wf_spec_task_count(s);
	e->tasks_len = s->repeat_count * e->tasks_per_occurrence;
	e->next_due_ms = INT64_MAX;
}

static void
chunk_free(struct wf_unit *u, uint32_t chunk)
{
	struct wf_task *const tasks = u->chunks[chunk].tasks;
	uint32_t i;

	if (tasks == NULL)
		return;
	for (i = 0; i < chunk_len(u, chunk); i++)
		free(tasks[i].checkpoint);
	free(tasks);
	u->chunks[chunk].tasks = NULL;
}

static void
occurrence_free(const struct wf_occurrence *o, uint32_t units_len)
{
	struct wf_unit *u;
	uint32_t i, k;

	for (i = 0; i < units_len; i++) {
		u = &o->units[i];
		for (k = 0; k < chunk_count(u); k++)
			chunk_free(u, k);
		free(u->chunks);
		free(u->approvals);
	}
	free(o->units);
}

void
wf_exec_free_work(struct wf_exec *e)
{
	size_t i;

	for (i = 0; i < e->open_len; i++)
		occurrence_free(&e->open[i], e->job->spec.steps_len);
	free(e->open);
	free(e->done);
	e->open = NULL;
	e->open_len = e->open_cap = 0;
	e->done = NULL;
	e->done_len = 0;
}

/* Position of the first open occurrence whose number is not lower. */
static size_t
open_position(const struct wf_exec *e, uint32_t number)
{
	size_t low = 0, high = e->open_len, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (e->open[mid].number < number)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

struct wf_unit *
wf_exec_find_occurrence(const struct wf_exec *e, uint32_t number)
{
	const size_t at = open_position(e, number);

	if (at == e->open_len || e->open[at].number != number)
		return NULL;
	return e->open[at].units;
}

static void
unit_init(
    struct wf_exec *e, struct wf_unit *u, uint32_t occurrence, uint32_t step)
{
	uint32_t i, first;

	u->exec = e;
	u->occurrence = occurrence;
	u->step = step;
	u->tasks_len = unit_step(u)->count;
	u->chunks = agb_xcalloc(chunk_count(u), sizeof(*u->chunks));
	first = wf_unit_first_task(u);
	for (i = 0; i < u->tasks_len && e->done_len > first / 8; i++)
		u->done += wf_exec_is_done(e, first + i);
	u->waiting = u->tasks_len - u->done;
}

struct wf_unit *
wf_exec_open_occurrence(struct wf_exec *e, uint32_t number)
{
	const uint32_t steps = e->job->spec.steps_len;
	const size_t at = open_position(e, number);
	struct wf_unit *units;
	uint32_t i;

	if (at < e->open_len && e->open[at].number == number)
		return e->open[at].units;
	units = agb_xcalloc(steps, sizeof(*units));
	for (i = 0; i < steps; i++)
		unit_init(e, &units[i], number, i);
	if (e->open_len == e->open_cap)
		e->open = agb_xgrow(e->open, &e->open_cap, sizeof(*e->open));
	memmove(&e->open[at + 1], &e->open[at],
	    (e->open_len - at) * sizeof(*e->open));
	e->open[at].number = number;
	e->open[at].units = units;
	e->open_len++;
	return units;
}

bool
wf_exec_occurrence_done(const struct wf_exec *e, uint32_t number)
{
	const uint32_t first = number * e->tasks_per_occurrence;
	uint32_t i;

	for (i = 0; i < e->tasks_per_occurrence; i++) {
		if (!wf_exec_is_done(e, first + i))
			return false;
	}
	return true;
}

/* Whether all tasks of a chunk are done and on no runner. */
static bool
chunk_finished(const struct wf_unit *u, uint32_t chunk)
{
	const struct wf_task *const tasks = u->chunks[chunk].tasks;
	uint32_t i;

	for (i = 0; i < chunk_len(u, chunk); i++) {
		if (tasks[i].state != WF_TASK_DONE || tasks[i].allocated)
			return false;
	}
	return true;
}

static void
close_finished_chunks(struct wf_unit *u)
{
	uint32_t i;

	for (i = 0; i < chunk_count(u); i++) {
		if (u->chunks[i].tasks != NULL && chunk_finished(u, i))
			chunk_free(u, i);
	}
}

static bool
occurrence_finished(const struct wf_occurrence *o, uint32_t units_len)
{
	uint32_t i;

	for (i = 0; i < units_len; i++) {
		if (o->units[i].done < o->units[i].tasks_len ||
		    o->units[i].allocated > 0 || o->units[i].queued)
			return false;
	}
	return true;
}

void
wf_exec_close_finished(struct wf_exec *e)
{
	const uint32_t steps = e->job->spec.steps_len;
	size_t i, n = 0;
	uint32_t k;

	for (i = 0; i < e->open_len; i++) {
		if (occurrence_finished(&e->open[i], steps)) {
			occurrence_free(&e->open[i], steps);
			continue;
		}
		for (k = 0; k < steps; k++)
			close_finished_chunks(&e->open[i].units[k]);
		e->open[n++] = e->open[i];
	}
	e->open_len = n;
}

uint32_t
wf_unit_first_task(const struct wf_unit *u)
{
	const struct wf_exec *const e = u->exec;
	uint32_t i, first;

	first = u->occurrence * e->tasks_per_occurrence;
	for (i = 0; i < u->step; i++)
		first += e->job->spec.steps[i].count;
	return first;
}

struct wf_task *
wf_unit_find_task(const struct wf_unit *u, uint32_t i)
{
	struct wf_task *const chunk = u->chunks[i / WF_TASK_CHUNK].tasks;

	return chunk != NULL ? &chunk[i % WF_TASK_CHUNK] : NULL;
}

static void
chunk_new(struct wf_unit *u, uint32_t chunk)
{
	const uint32_t base = chunk * WF_TASK_CHUNK;
	const uint32_t first = wf_unit_first_task(u) + base;
	struct wf_task *const tasks =
	    agb_xcalloc(chunk_len(u, chunk), sizeof(*tasks));
	uint32_t i;

	for (i = 0; i < chunk_len(u, chunk); i++) {
		tasks[i].index = base + i;
		tasks[i].unit = u;
		tasks[i].runner = WF_NO_HANDLE;
		tasks[i].avoid_runner = WF_NO_HANDLE;
		if (wf_exec_is_done(u->exec, first + i))
			tasks[i].state = WF_TASK_DONE;
	}
	u->chunks[chunk].tasks = tasks;
}

struct wf_task *
wf_unit_task(struct wf_unit *u, uint32_t i)
{
	if (u->chunks[i / WF_TASK_CHUNK].tasks == NULL)
		chunk_new(u, i / WF_TASK_CHUNK);
	return wf_unit_find_task(u, i);
}

bool
wf_unit_is_waiting(const struct wf_unit *u, uint32_t i)
{
	const struct wf_task *const t = wf_unit_find_task(u, i);

	if (t != NULL)
		return t->state == WF_TASK_WAITING && !t->allocated;
	return !wf_exec_is_done(u->exec, wf_unit_first_task(u) + i);
}

bool
wf_exec_is_done(const struct wf_exec *e, uint32_t task)
{
	return task / 8 < e->done_len && (e->done[task / 8] >> task % 8 & 1);
}

void
wf_unit_set_done(struct wf_unit *u, uint32_t i)
{
	const uint32_t task = wf_unit_first_task(u) + i;
	struct wf_exec *const e = u->exec;
	uint32_t len;

	if (wf_exec_is_done(e, task))
		return;
	if (task / 8 >= e->done_len) {
		len = task / 8 + 1;
		e->done = agb_xreallocarray(e->done, len, 1);
		memset(e->done + e->done_len, 0, len - e->done_len);
		e->done_len = len;
	}
	e->done[task / 8] |= (unsigned char)(1 << task % 8);
	e->tasks_done++;
}

void
wf_exec_set_done(struct wf_exec *e, const char *bits, size_t len)
{
	const size_t max = (e->tasks_len + 7) / 8;
	size_t i;

	if (len > max)
		len = max;
	/* A record ends with bytes that are 0. */
	while (len > 0 && bits[len - 1] == 0)
		len--;
	if (len == 0)
		return;
	e->done = (unsigned char *)agb_xmemdup(bits, len);
	e->done_len = (uint32_t)len;
	if (len == max && e->tasks_len % 8 > 0)
		e->done[len - 1] &=
		    (unsigned char)((1 << e->tasks_len % 8) - 1);
	for (i = 0; i < len; i++)
		e->tasks_done += (uint32_t)__builtin_popcount(e->done[i]);
}

void
wf_task_cursor_init(struct wf_task_cursor *c, const struct wf_exec *e)
{
	memset(c, 0, sizeof(*c));
	c->exec = e;
}

struct wf_task *
wf_task_cursor_next(struct wf_task_cursor *c)
{
	const struct wf_exec *const e = c->exec;
	struct wf_unit *u;
	struct wf_task *t;

	for (; c->occurrence < e->open_len; c->occurrence++) {
		for (; c->step < e->job->spec.steps_len; c->step++) {
			u = &e->open[c->occurrence].units[c->step];
			while (c->task < u->tasks_len) {
				t = wf_unit_find_task(u, c->task);
				if (t != NULL) {
					c->task++;
					return t;
				}
				c->task += WF_TASK_CHUNK;
			}
			c->task = 0;
		}
		c->step = 0;
	}
	return NULL;
}

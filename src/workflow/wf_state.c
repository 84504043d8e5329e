#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "wf_leader.h"

#define FAILURES_SHIFT WF_X_INDEX_BITS
#define ACTIVE_SHIFT (FAILURES_SHIFT + WF_X_FAILURES_BITS)
#define RUNNER_SHIFT (ACTIVE_SHIFT + WF_X_ACTIVE_BITS)
#define RUN_SHIFT (RUNNER_SHIFT + WF_X_RUNNER_BITS)

/* Checkpoints are added to a record up to this size, which the store takes also
 * if its limit applies to the value in base64. Further ones are left out: a task
 * without one starts anew when its run fails under the next leader, while a
 * record that the store refuses stops its job. Those of tasks on no runner come
 * first, as runners report the checkpoints of theirs. */
#define CHECKPOINT_RECORD_MAX (AGB_STORE_VALUE_MAX / 4 * 3)

/* Fields of a task that the state record packs into one integer. @runner is an
 * index into the record's list of runners. */
struct packed_task {
	uint32_t index;
	uint32_t failures;
	uint32_t runner;
	uint32_t run;
	bool active;
};

/* Limits a value to the largest one that fits into @bits bits. */
static uint64_t
saturate(uint64_t value, unsigned bits)
{
	const uint64_t max = ((uint64_t)1 << bits) - 1;

	return value < max ? value : max;
}

static uint64_t
pack_task(const struct packed_task *p)
{
	return saturate(p->index, WF_X_INDEX_BITS) |
	    saturate(p->failures, WF_X_FAILURES_BITS) << FAILURES_SHIFT |
	    (uint64_t)p->active << ACTIVE_SHIFT |
	    saturate(p->runner, WF_X_RUNNER_BITS) << RUNNER_SHIFT |
	    saturate(p->run, WF_X_RUN_BITS) << RUN_SHIFT;
}

static void
unpack_task(uint64_t x, struct packed_task *p)
{
	p->index = x & (((uint64_t)1 << WF_X_INDEX_BITS) - 1);
	p->failures =
	    (x >> FAILURES_SHIFT) & (((uint64_t)1 << WF_X_FAILURES_BITS) - 1);
	p->active = (x >> ACTIVE_SHIFT) & 1;
	p->runner =
	    (x >> RUNNER_SHIFT) & (((uint64_t)1 << WF_X_RUNNER_BITS) - 1);
	p->run = (uint32_t)(x >> RUN_SHIFT);
}

/* Restores a task of the state record. One that may be running stays allocated
 * on its runner until the runner's lists show its state, or the runner's lease
 * ends. */
static void
restore_task(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, const struct packed_task *x, const struct wf_x_state *st)
{
	t->run = x->run;
	wf_job_note_run(u->exec->job, x->run);
	t->failures = x->failures;
	if (x->run > u->run)
		u->run = x->run;
	if (wf_unit_step(u)->gang && x->failures > u->failures)
		u->failures = x->failures;
	if (!x->active)
		return;
	t->runner = wf_fleet_find_or_add(
	    l, st->runners.runners_val[x->runner].id, now->mono);
	/* The runner's first answer shows whether it is still the incarnation
	 * with this start time. */
	t->started_ms = st->runners.runners_val[x->runner].born_ms;
	t->incarnation = l->runners[t->runner].incarnation;
	t->state = WF_TASK_SENT;
	t->recovered = true;
	t->sent_at = now->mono;
	u->waiting--;
	u->active++;
	wf_task_allocate(l, u, t);
}

static bool
is_task_done(const struct wf_x_state *x, uint32_t task)
{
	return task / 8 < x->done.done_len &&
	    ((unsigned char)x->done.done_val[task / 8] >> (task % 8) & 1) != 0;
}

/* Whether the tasks of a record are those of the job, each once, and none of
 * them is done. */
static bool
tasks_valid(const struct wf_exec *e, const struct wf_x_state *x)
{
	struct packed_task p;
	uint32_t next = 0;
	u_int i;

	for (i = 0; i < x->tasks.tasks_len; i++) {
		unpack_task(x->tasks.tasks_val[i], &p);
		if (p.index < next || p.index >= e->tasks_len ||
		    is_task_done(x, p.index) ||
		    (p.active && p.runner >= x->runners.runners_len))
			return false;
		next = p.index + 1;
	}
	return true;
}

/* Task of a job by its index, which gets a structure if it has none. */
static struct wf_task *
open_task(struct wf_leader *l, const struct wf_now *now, struct wf_exec *e,
    uint32_t index)
{
	const struct wf_step *const steps = e->job->spec.steps;
	struct wf_unit *const units =
	    wf_exec_open(l, e, index / e->tasks_per_occurrence, now->mono);
	uint32_t i, step = 0;

	for (i = index % e->tasks_per_occurrence; i >= steps[step].count;
	     step++)
		i -= steps[step].count;
	return wf_unit_task(&units[step], i);
}

static void
restore_checkpoints(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, const struct wf_x_state *x)
{
	const wf_x_saved *s;
	struct wf_task *t;
	u_int i;

	for (i = 0; i < x->saved.saved_len; i++) {
		s = &x->saved.saved_val[i];
		if (s->index >= e->tasks_len)
			continue;
		t = open_task(l, now, e, s->index);
		free(t->checkpoint);
		t->checkpoint =
		    agb_xmemdup(s->saved.saved_val, s->saved.saved_len);
	}
}

static const wf_x_failed_run *
find_failed_run(const struct wf_x_failed_runs *x, uint32_t first_task)
{
	u_int i;

	for (i = 0; i < x->runs.runs_len; i++) {
		if (x->runs.runs_val[i].index == first_task)
			return &x->runs.runs_val[i];
	}
	return NULL;
}

/* Restores which run of a gang counts as failed already, so that the end of
 * another member of it does not count again. The record of an earlier version
 * does not say so. Then it is assumed of a run that a member has left: a job that
 * runs once more than its queue allows does less harm than one that is given up
 * too early. */
static void
restore_failed_run(struct wf_unit *u, const struct wf_x_failed_runs *x)
{
	const wf_x_failed_run *const r =
	    find_failed_run(x, wf_unit_first_task(u));

	if (!wf_unit_step(u)->gang || u->failures == 0)
		return;
	if (r != NULL)
		u->failed_run = r->run;
	else if (u->waiting > 0)
		u->failed_run = u->run;
}

static void
restore_failed_runs(struct wf_exec *e, const struct wf_x_failed_runs *x)
{
	uint32_t k;
	size_t i;

	for (i = 0; i < e->open_len; i++) {
		for (k = 0; k < e->job->spec.steps_len; k++)
			restore_failed_run(&e->open[i].units[k], x);
	}
}

/* Decodes both parts of the state record. */
static bool
decode_record(const struct wf_exec *e, struct wf_x_state *x,
    struct wf_x_failed_runs *failed)
{
	const struct wf_job *const j = e->job;

	memset(failed, 0, sizeof(*failed));
	return wf_table_decode_state(j->state_record, j->state_record_len, x) &&
	    wf_table_decode_failed_runs(
		j->state_record, j->state_record_len, x, failed) &&
	    tasks_valid(e, x);
}

bool
wf_state_restore(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out)
{
	struct wf_x_failed_runs failed;
	struct wf_x_state x;
	struct packed_task p;
	struct wf_task *t;
	uint32_t i;
	bool ok;

	if (e->job->state_record == NULL)
		return true;
	ok = decode_record(e, &x, &failed);
	if (!ok) {
		wf_effects_log(out, AGB_LOG_ERROR, "record",
		    "job=%s malformed=state revision=%" PRIu64, e->job->id,
		    e->job->state_rev);
		goto out;
	}
	e->state = (enum wf_job_state)x.state;
	wf_exec_set_done(e, x.done.done_val, x.done.done_len);
	for (i = 0; i < x.tasks.tasks_len; i++) {
		unpack_task(x.tasks.tasks_val[i], &p);
		t = open_task(l, now, e, p.index);
		restore_task(l, now, t->unit, t, &p, &x);
	}
	restore_checkpoints(l, now, e, &x);
	restore_failed_runs(e, &failed);
out:
	xdr_free((xdrproc_t)xdr_wf_x_failed_runs, (char *)&failed);
	xdr_free((xdrproc_t)xdr_wf_x_state, (char *)&x);
	return ok;
}

static uint32_t
encode_runner(
    struct wf_x_state *x, const struct wf_runner *r, int64_t started_ms)
{
	uint32_t i;

	for (i = 0; i < x->runners.runners_len; i++) {
		if (x->runners.runners_val[i].born_ms == started_ms &&
		    strcmp(x->runners.runners_val[i].id, r->info.id) == 0)
			return i;
	}
	x->runners.runners_val[i].id = (char *)(uintptr_t)r->info.id;
	x->runners.runners_val[i].born_ms = started_ms;
	x->runners.runners_len++;
	return i;
}

/* Index of a task in its job. */
static uint32_t
task_index(const struct wf_task *t)
{
	return wf_unit_first_task(t->unit) + t->index;
}

static void
encode_task(struct wf_leader *l, const struct wf_task *t, struct wf_x_state *x)
{
	struct packed_task p = {
	    .index = task_index(t), .failures = t->failures, .run = t->run};

	p.active = t->allocated;
	if (t->allocated)
		p.runner =
		    encode_runner(x, &l->runners[t->runner], t->started_ms);
	x->tasks.tasks_val[x->tasks.tasks_len++] = pack_task(&p);
}

/* Whether the record lists a task as started and not done. */
static bool
is_recorded(const struct wf_exec *e, const struct wf_task *t)
{
	return !wf_job_state_is_final(e->state) && t->state != WF_TASK_DONE &&
	    t->run > 0;
}

/* Adds the checkpoints of the tasks that are, or are not, on a runner, as long
 * as the record does not exceed CHECKPOINT_RECORD_MAX.
 * Return: size of the record. */
static size_t
add_checkpoints(
    const struct wf_exec *e, struct wf_x_state *x, size_t size, bool on_runner)
{
	struct wf_task_cursor c;
	const struct wf_task *t;
	wf_x_saved *s;
	size_t need;

	wf_task_cursor_init(&c, e);
	while ((t = wf_task_cursor_next(&c)) != NULL) {
		if (t->checkpoint == NULL || t->allocated != on_runner ||
		    !is_recorded(e, t))
			continue;
		s = &x->saved.saved_val[x->saved.saved_len];
		s->index = task_index(t);
		s->saved.saved_val = t->checkpoint;
		s->saved.saved_len = (u_int)strlen(t->checkpoint);
		need = xdr_sizeof((xdrproc_t)xdr_wf_x_saved, s);
		if (size + need > CHECKPOINT_RECORD_MAX)
			break;
		size += need;
		x->saved.saved_len++;
	}
	return size;
}

/* Adds the tasks that have run. Those of an ended job are left out: a later
 * leader stops those that it finds running. */
static void
add_tasks(struct wf_leader *l, const struct wf_exec *e, struct wf_x_state *x)
{
	struct wf_task_cursor c;
	const struct wf_task *t;

	if (wf_job_state_is_final(e->state))
		return;
	if (e->done_len > 0)
		memcpy(x->done.done_val, e->done, e->done_len);
	wf_task_cursor_init(&c, e);
	while ((t = wf_task_cursor_next(&c)) != NULL) {
		if (t->state != WF_TASK_DONE && t->run > 0)
			encode_task(l, t, x);
	}
}

/* Adds the latest failed run of a gang while tasks of it may be on runners, even
 * if it is an earlier one: so the record of an earlier version can be told. */
static void
add_failed_run(const struct wf_unit *u, struct wf_x_failed_runs *x)
{
	wf_x_failed_run *r;

	if (!wf_unit_step(u)->gang || u->failures == 0 || u->allocated == 0)
		return;
	x->runs.runs_val = agb_xreallocarray(
	    x->runs.runs_val, x->runs.runs_len + 1, sizeof(*x->runs.runs_val));
	r = &x->runs.runs_val[x->runs.runs_len++];
	r->index = wf_unit_first_task(u);
	r->run = u->failed_run;
}

static void
add_failed_runs(const struct wf_exec *e, struct wf_x_failed_runs *x)
{
	uint32_t k;
	size_t i;

	if (wf_job_state_is_final(e->state))
		return;
	for (i = 0; i < e->open_len; i++) {
		for (k = 0; k < e->job->spec.steps_len; k++)
			add_failed_run(&e->open[i].units[k], x);
	}
}

/* Upper bound for the number of tasks that a record lists. */
static size_t
count_tasks(const struct wf_exec *e)
{
	struct wf_task_cursor c;
	size_t n = 0;

	wf_task_cursor_init(&c, e);
	while (wf_task_cursor_next(&c) != NULL)
		n++;
	return n;
}

char *
wf_state_encode(struct wf_leader *l, const struct wf_exec *e, size_t *len)
{
	const size_t tasks = count_tasks(e);
	struct wf_x_failed_runs failed = {0};
	struct wf_x_state x;
	size_t size;
	char *raw;

	memset(&x, 0, sizeof(x));
	x.state = (u_int)e->state;
	x.ended_ms = e->ended_ms;
	x.detail = (char *)(uintptr_t)e->detail;
	x.runners.runners_val =
	    agb_xcalloc(tasks + 1, sizeof(struct wf_x_runner));
	x.tasks.tasks_val = agb_xcalloc(tasks + 1, sizeof(*x.tasks.tasks_val));
	x.saved.saved_val = agb_xcalloc(tasks + 1, sizeof(*x.saved.saved_val));
	x.done.done_len = (e->tasks_len + 7) / 8;
	x.done.done_val = agb_xcalloc(x.done.done_len + 1, 1);
	add_tasks(l, e, &x);
	add_failed_runs(e, &failed);
	size = xdr_sizeof((xdrproc_t)xdr_wf_x_state, &x) +
	    xdr_sizeof((xdrproc_t)xdr_wf_x_failed_runs, &failed);
	size = add_checkpoints(e, &x, size, false);
	(void)add_checkpoints(e, &x, size, true);
	raw = wf_table_encode((xdrproc_t)xdr_wf_x_state, &x, len);
	if (raw != NULL && failed.runs.runs_len > 0)
		raw = wf_table_append(
		    raw, len, (xdrproc_t)xdr_wf_x_failed_runs, &failed);
	free(failed.runs.runs_val);
	free(x.runners.runners_val);
	free(x.tasks.tasks_val);
	free(x.saved.saved_val);
	free(x.done.done_val);
	return raw;
}

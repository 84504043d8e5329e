#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* Limits of one call: number of commands and bytes of their arguments. */
#define BATCH_COMMANDS_MAX 256
#define BATCH_BYTES_MAX ((size_t)1024 * 1024)

static void
commands_free(struct agb_command *c, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		free(c[i].args);
	free(c);
}

void
own_command_clear(struct own_worker *w)
{
	commands_free(w->command_queue, w->command_queue_len);
	commands_free(w->commands_in_flight, w->commands_in_flight_len);
	w->command_queue = NULL;
	w->commands_in_flight = NULL;
	w->command_queue_len = 0;
	w->commands_in_flight_len = 0;
	w->commands_tag = 0;
	w->commands_retry_at = 0;
	w->commands_retry_ms = 0;
}

static void
mark_has_commands(struct agb_owner *o, struct own_worker *w)
{
	if (w->has_commands)
		return;
	w->has_commands = true;
	own_vec_add(&o->workers_with_commands, w);
}

/* Queues a command, to be sent at the end of this step. Copies its
 * arguments. */
void
own_command_add(
    struct agb_owner *o, struct own_worker *w, const struct agb_command *cmd)
{
	struct agb_command *c;

	w->command_queue = agb_xreallocarray(w->command_queue,
	    w->command_queue_len + 1, sizeof(*w->command_queue));
	c = &w->command_queue[w->command_queue_len++];
	*c = *cmd;
	if (cmd->args != NULL)
		c->args = agb_xmemdup(cmd->args, cmd->args_len);
	mark_has_commands(o, w);
}

/* Removes a command that has not been sent. Returns false if there is none. */
bool
own_command_remove(struct own_worker *w, enum agb_command_kind kind,
    const struct agb_attempt *attempt)
{
	size_t i;

	for (i = 0; i < w->command_queue_len; i++) {
		if (w->command_queue[i].kind != kind ||
		    !own_attempt_eq(&w->command_queue[i].attempt, attempt))
			continue;
		free(w->command_queue[i].args);
		memmove(&w->command_queue[i], &w->command_queue[i + 1],
		    (--w->command_queue_len - i) * sizeof(*w->command_queue));
		return true;
	}
	return false;
}

static void
mark_sent(const struct agb_owner *o, const struct own_worker *w,
    const struct agb_command *c)
{
	struct own_task *t;

	if (c->kind != AGB_COMMAND_START)
		return;
	t = own_task_find(o, c->task);
	if (t == NULL || !own_attempt_eq(&t->attempt, &c->attempt) ||
	    t->start_sent)
		return;
	t->start_sent = true;
	agb_str_copy(t->boot_id, sizeof(t->boot_id), w->boot_id);
}

/*
 * Inserts a REVOKE before each queued START, for a worker that is leaving. The
 * starts in its queue are repeats of starts whose answer was lost. After the
 * REVOKE the worker refuses such a start unless it received it the first time.
 */
static void
add_revokes(struct own_worker *w)
{
	struct agb_command *const all =
	    agb_xcalloc(2 * w->command_queue_len, sizeof(*all));
	const struct agb_command *c;
	size_t i, n = 0;

	for (i = 0; i < w->command_queue_len; i++) {
		c = &w->command_queue[i];
		if (c->kind == AGB_COMMAND_START &&
		    (n == 0 || all[n - 1].kind != AGB_COMMAND_REVOKE ||
			!own_attempt_eq(&all[n - 1].attempt, &c->attempt))) {
			all[n].kind = AGB_COMMAND_REVOKE;
			all[n].attempt = c->attempt;
			memcpy(all[n].task, c->task, sizeof(all[n].task));
			n++;
		}
		all[n++] = *c;
	}
	free(w->command_queue);
	w->command_queue = all;
	w->command_queue_len = n;
}

static void
send_batch(struct agb_owner *o, struct own_worker *w, struct agb_effects *out)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_COMMANDS);
	struct agb_ef_worker *const e = &ef->u.worker;
	size_t bytes = 0, i, n;

	if (w->sched_state == AGB_WORKER_LEAVING)
		add_revokes(w);
	for (n = 0; n < w->command_queue_len && n < BATCH_COMMANDS_MAX; n++) {
		bytes += w->command_queue[n].args_len;
		if (n > 0 && bytes > BATCH_BYTES_MAX)
			break;
	}
	w->commands_tag = own_tag_new(o);
	ef->tag = w->commands_tag;
	agb_str_copy(e->worker, sizeof(e->worker), w->instance.id);
	agb_str_copy(e->address, sizeof(e->address), w->instance.address);
	e->epoch = o->epoch;
	agb_str_copy(e->boot, sizeof(e->boot), w->boot_id);
	e->items = agb_xcalloc(n, sizeof(*e->items));
	e->items_len = n;
	w->commands_in_flight = agb_xcalloc(n, sizeof(*w->commands_in_flight));
	w->commands_in_flight_len = n;
	for (i = 0; i < n; i++) {
		mark_sent(o, w, &w->command_queue[i]);
		w->commands_in_flight[i] = w->command_queue[i];
		e->items[i] = w->command_queue[i];
		if (w->command_queue[i].args != NULL)
			e->items[i].args = agb_xmemdup(w->command_queue[i].args,
			    w->command_queue[i].args_len);
	}
	w->command_queue_len -= n;
	memmove(w->command_queue, w->command_queue + n,
	    w->command_queue_len * sizeof(*w->command_queue));
}

/* Sends the queued commands, with at most one call to a worker at a time. */
void
own_command_flush(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	size_t i = o->workers_with_commands.len;

	while (i-- > 0) {
		struct own_worker *const w = o->workers_with_commands.items[i];

		if (w->command_queue_len > 0 && w->session_open &&
		    w->commands_tag == 0 && now >= w->commands_retry_at)
			send_batch(o, w, out);
		if (w->command_queue_len > 0)
			continue;
		w->has_commands = false;
		o->workers_with_commands.items[i] =
		    o->workers_with_commands
			.items[--o->workers_with_commands.len];
	}
}

/* Whether a command is a START whose attempt has ended meanwhile. It must not
 * be sent again: a worker that no longer remembers the attempt would run it a
 * second time. */
static bool
start_is_stale(const struct agb_owner *o, const struct agb_command *c)
{
	const struct own_task *t;

	if (c->kind != AGB_COMMAND_START)
		return false;
	t = own_task_find(o, c->task);
	return t == NULL || t->state != OWN_TASK_STARTING ||
	    !own_attempt_eq(&t->attempt, &c->attempt);
}

/* Whether a START is in flight whose attempt has ended. Until it is answered,
 * the end must not be acknowledged, so that the worker remembers the
 * attempt. */
bool
own_command_stale_in_flight(
    const struct agb_owner *o, const struct own_worker *w)
{
	size_t i;

	for (i = 0; i < w->commands_in_flight_len; i++) {
		if (start_is_stale(o, &w->commands_in_flight[i]))
			return true;
	}
	return false;
}

/*
 * Puts the commands in flight back at the front of the queue. They keep their
 * order, so that a STOP follows the START of its task.
 */
static void
requeue(struct agb_owner *o, struct own_worker *w)
{
	struct agb_command *const all = agb_xcalloc(
	    w->commands_in_flight_len + w->command_queue_len, sizeof(*all));
	size_t i, n = 0;

	for (i = 0; i < w->commands_in_flight_len; i++) {
		if (start_is_stale(o, &w->commands_in_flight[i])) {
			free(w->commands_in_flight[i].args);
			continue;
		}
		all[n++] = w->commands_in_flight[i];
	}
	if (w->command_queue_len > 0)
		memcpy(all + n, w->command_queue,
		    w->command_queue_len * sizeof(*all));
	free(w->commands_in_flight);
	free(w->command_queue);
	w->command_queue = all;
	w->command_queue_len += n;
	w->commands_in_flight = NULL;
	w->commands_in_flight_len = 0;
	mark_has_commands(o, w);
}

static const struct agb_command_result *
find_result(const struct agb_ev_commands *c, const struct agb_command *cmd)
{
	size_t i;

	for (i = 0; i < c->items_len; i++) {
		if (c->items[i].kind == cmd->kind &&
		    own_attempt_eq(&c->items[i].attempt, &cmd->attempt))
			return &c->items[i];
	}
	return NULL;
}

static void
on_start_result(struct agb_owner *o, agb_time now, struct own_task *t,
    const struct agb_command_result *r, struct agb_effects *out)
{
	if (r->ok) {
		own_task_started(o, now, t, out);
		return;
	}
	if (t->state != OWN_TASK_STARTING)
		return;
	agb_effects_log(out, AGB_LOG_WARN, "start-refused",
	    "job=%s task=%u worker=%s reason=\"%s\"", t->job->id, t->number,
	    t->worker_id, r->reason);
	own_task_end(o, now, t, AGB_RESULT_NOT_STARTED, NULL, NULL, out);
}

static void
on_stop_result(struct agb_owner *o, agb_time now, struct own_worker *w,
    struct own_task *t, const struct agb_command_result *r)
{
	if (r->ok || t->state == OWN_TASK_ENDED || t->state == OWN_TASK_WAITING)
		return;
	if (r->kind == AGB_COMMAND_CHECKPOINT) {
		/* The task cannot checkpoint, but its resources are needed. */
		own_task_stop(o, t);
		return;
	}
	/* A new session call makes the worker list its tasks, which shows
	 * whether this one still runs. */
	if (w->pending_call == OWN_CALL_NONE)
		w->session_open = false;
	w->next_call_at = now + AGB_SEC;
	own_wake_at(o, w->next_call_at);
}

static void
on_result(struct agb_owner *o, agb_time now, struct own_worker *w,
    const struct agb_command *cmd, const struct agb_command_result *r,
    struct agb_effects *out)
{
	struct own_task *t;

	if (cmd->kind == AGB_COMMAND_REVOKE) {
		own_grant_on_revoked(o, now, w, r, out);
		return;
	}
	t = own_task_find(o, cmd->task);
	if (t == NULL || !own_attempt_eq(&t->attempt, &cmd->attempt))
		return;
	if (cmd->kind == AGB_COMMAND_START)
		on_start_result(o, now, t, r, out);
	else if (cmd->kind == AGB_COMMAND_STOP ||
	    cmd->kind == AGB_COMMAND_CHECKPOINT)
		on_stop_result(o, now, w, t, r);
}

void
own_command_on_answer(struct agb_owner *o, agb_time now,
    const struct agb_ev_commands *c, struct agb_effects *out)
{
	struct own_worker *const w = own_worker_find(o, c->worker);
	struct agb_command *sent;
	size_t len, i;

	if (w == NULL || w->commands_tag == 0 || c->tag != w->commands_tag)
		return;
	w->commands_tag = 0;
	own_wake_at(o, now);
	if (c->status == AGB_WORKER_FENCED && c->epoch > o->epoch) {
		own_step_down(o, now, "a worker obeys a newer owner", out);
		return;
	}
	if (c->status != AGB_WORKER_OK) {
		/* A repeated START carries the same attempt, so the worker
		 * executes it at most once. */
		requeue(o, w);
		w->commands_retry_at =
		    now + own_backoff_ms(o, &w->commands_retry_ms) * AGB_MS;
		own_wake_at(o, w->commands_retry_at);
		if (c->status == AGB_WORKER_FENCED &&
		    w->pending_call == OWN_CALL_NONE)
			w->session_open = false;
		return;
	}
	w->commands_retry_ms = 0;
	sent = w->commands_in_flight;
	len = w->commands_in_flight_len;
	w->commands_in_flight = NULL;
	w->commands_in_flight_len = 0;
	for (i = 0; i < len; i++) {
		const struct agb_command_result *const r =
		    find_result(c, &sent[i]);

		if (r != NULL)
			on_result(o, now, w, &sent[i], r, out);
		else if (!start_is_stale(o, &sent[i]))
			own_command_add(o, w, &sent[i]);
	}
	commands_free(sent, len);
}

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* Tasks of a job that are listed one by one. */
#define TASKS_LISTED_MAX 20
#define SCHED_TEXT_MAX 4096

struct text_buffer {
	char *s;
	size_t len;
};

static void append(struct text_buffer *t, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
append(struct text_buffer *t, const char *fmt, ...)
{
	va_list ap;
	char *line = NULL;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&line, fmt, ap);
	va_end(ap);
	if (n < 0)
		return;
	t->s = agb_xreallocarray(t->s, t->len + (size_t)n + 1, 1);
	memcpy(t->s + t->len, line, (size_t)n + 1);
	t->len += (size_t)n;
	free(line);
}

static void
append_evidence(const struct agb_owner *o, agb_time now, struct text_buffer *x,
    const struct own_task *t)
{
	const struct own_worker *const w = t->worker;
	agb_time at;

	if (w == NULL)
		return;
	if (w->instance.state == AGB_INSTANCE_GONE) {
		append(x,
		    "; the list says that the worker is gone, waits until "
		    "its session has certainly lapsed");
		return;
	}
	if (w->session_open && w->first_report_seen)
		return;
	append(x, "; waits for worker %s to answer", w->instance.id);
	if (w->failed_since != 0)
		append(x, ", silent for %" PRIu64 " ms",
		    (now - w->failed_since) / AGB_MS);
	append(x, ", or for the list to report it gone");
	at = own_silence_proof_at(o, w, t);
	if (at == AGB_TIME_MAX)
		return;
	if (!own_lease_held(o, now))
		append(x,
		    "; its silence proves nothing while the store cannot be "
		    "reached");
	else
		append(x, ", or for its session to lapse in %" PRIu64 " ms",
		    at > now ? (at - now) / AGB_MS : 0);
}

static void
append_task(const struct agb_owner *o, agb_time now, struct text_buffer *x,
    const struct own_task *t)
{
	static const char *const names[] = {
	    [OWN_TASK_WAITING] = "waits",
	    [OWN_TASK_COMMITTING] =
		"is placed, its start intent is not durable",
	    [OWN_TASK_STARTING] = "is being started",
	    [OWN_TASK_RUNNING] = "runs",
	    [OWN_TASK_UNCONFIRMED] = "may run under an older owner's start",
	    [OWN_TASK_ENDED] = "has ended",
	};

	append(x, "task %u %s", t->number, names[t->state]);
	if (t->attempt.epoch != 0)
		append(x, "; attempt %" PRIu64 "-%" PRIu64 " on worker %s",
		    t->attempt.epoch, t->attempt.seq, t->worker_id);
	if (t->stopping)
		append(x, "; being stopped");
	if (t->state == OWN_TASK_COMMITTING && !own_lease_held(o, now))
		append(x, "; the store cannot be reached");
	if (t->state != OWN_TASK_WAITING && t->state != OWN_TASK_ENDED)
		append_evidence(o, now, x, t);
	append(x, "\n");
}

static void
append_job(struct agb_owner *o, agb_time now, struct text_buffer *x,
    const struct own_job *j)
{
	char *buf;
	uint32_t i;

	append(x, "job %s of team %s, work %s, %u tasks, %s\n", j->id, j->team,
	    j->work, j->tasks_len,
	    j->idempotent ? "idempotent" : "non-idempotent");
	append(x, "held by %s as owner of shard %s, epoch %" PRIu64 "\n",
	    o->cfg.instance, o->cfg.domain, o->epoch);
	if (j->done) {
		append(x, "done: %s, %s: %s\n", agb_outcome_name(j->outcome),
		    agb_reason_name(j->reason), j->detail);
		return;
	}
	if (j->cancelled)
		append(x, "cancelled by its caller\n");
	if (j->ended) {
		append(x, "ended; waits for the end to become durable\n");
		return;
	}
	if (!j->durable) {
		append(x, "not accepted yet: its record is being written\n");
		return;
	}
	if (j->sched_handle == AGB_SCHED_NONE) {
		append(
		    x, "waits for a document that names its work and team\n");
		return;
	}
	buf = agb_xcalloc(SCHED_TEXT_MAX, 1);
	(void)agb_sched_explain(
	    o->sched, now, j->sched_handle, buf, SCHED_TEXT_MAX);
	append(x, "%s\n", buf);
	free(buf);
	for (i = 0; i < j->tasks_len && i < TASKS_LISTED_MAX; i++)
		append_task(o, now, x, &j->tasks[i]);
	if (j->tasks_len > TASKS_LISTED_MAX)
		append(
		    x, "and %u more tasks\n", j->tasks_len - TASKS_LISTED_MAX);
}

static void
append_grant(
    const struct agb_owner *o, struct text_buffer *x, const struct own_grant *g)
{
	static const char *const names[] = {
	    [OWN_GRANT_QUEUED] = "waits for a free slot",
	    [OWN_GRANT_COMMITTING] = "has a slot, its key is not durable yet",
	    [OWN_GRANT_GRANTED] = "has been granted a slot",
	    [OWN_GRANT_REVOKING] = "is being revoked",
	    [OWN_GRANT_BUSY] = "is busy until the worker reports its end",
	};

	append(x, "request %s of team %s, service %s, entry instance %s\n",
	    g->request, g->team, g->work, g->instance);
	append(x, "%s", names[g->state]);
	if (g->worker != NULL)
		append(x,
		    "; attempt %" PRIu64 "-%" PRIu64
		    " on worker %s, chosen from %u",
		    g->attempt.epoch, g->attempt.seq, g->worker->instance.id,
		    g->workers_considered);
	append(x, "\nheld by %s as owner of shard %s, epoch %" PRIu64 "\n",
	    o->cfg.instance, o->cfg.domain, o->epoch);
}

static bool
append_request(const struct agb_owner *o, struct text_buffer *x, const char *id)
{
	size_t i;

	for (i = 0; i < o->grants.len; i++) {
		const struct own_grant *const g = o->grants.items[i];

		if (strcmp(g->request, id) == 0) {
			append_grant(o, x, g);
			return true;
		}
	}
	for (i = 1; i <= OWN_PAST_GRANTS && i <= o->past_grants_count; i++) {
		const struct own_past_grant *const p =
		    &o->past_grants[(o->past_grants_count - i) %
			OWN_PAST_GRANTS];

		if (strcmp(p->request, id) == 0) {
			append(x, "request %s: %s\n", id, p->text);
			return true;
		}
	}
	return false;
}

/* Answers an EXPLAIN call with the state of a job or recent request and what it
 * waits for. */
void
own_explain(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_explain_args *a, struct agb_effects *out)
{
	struct own_job *const j =
	    own_map_get(&o->job_ids, a->id, strlen(a->id));
	struct agb_effect *ef;
	struct text_buffer x = {0};
	bool found = true;

	if (j != NULL)
		append_job(o, now, &x, j);
	else if (a->id[0] != '\0')
		found = append_request(o, &x, a->id);
	else
		found = false;
	ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	ef->token = token;
	ef->u.rpc_res.proc = AGB_X_EXPLAIN;
	ef->u.rpc_res.agb_x_res_u.explain.found = found;
	ef->u.rpc_res.agb_x_res_u.explain.text =
	    found ? x.s : agb_xstrdup("no such job or recent request");
}

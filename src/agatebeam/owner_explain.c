#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* Tasks of a job that are told one by one. */
#define TASKS_TOLD 20
#define SCHED_TEXT_MAX 4096

struct text {
	char *s;
	size_t len;
};

static void say(struct text *t, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
say(struct text *t, const char *fmt, ...)
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
say_evidence(const struct agb_owner *o, agb_time now, struct text *x,
    const struct own_task *t)
{
	const struct own_worker *const w = t->at;
	agb_time at;

	if (w == NULL)
		return;
	if (w->inst.state == AGB_INSTANCE_GONE) {
		say(x,
		    "; the list says that the worker is gone, waits until "
		    "its session has certainly lapsed");
		return;
	}
	if (w->answered && w->checked)
		return;
	say(x, "; waits for worker %s to answer", w->inst.id);
	if (w->failed_since != 0)
		say(x, ", silent for %" PRIu64 " ms",
		    (now - w->failed_since) / AGB_MS);
	say(x, ", or for the list to report it gone");
	at = own_silence_proves(o, w, t);
	if (at == AGB_TIME_MAX)
		return;
	if (!own_leased(o, now))
		say(x,
		    "; its silence proves nothing while the store cannot be "
		    "reached");
	else
		say(x, ", or for its session to lapse in %" PRIu64 " ms",
		    at > now ? (at - now) / AGB_MS : 0);
}

static void
say_task(const struct agb_owner *o, agb_time now, struct text *x,
    const struct own_task *t)
{
	static const char *const names[] = {
	    [OWN_TASK_WAITING] = "waits",
	    [OWN_TASK_INTENT] = "is placed, its start intent is not durable",
	    [OWN_TASK_STARTING] = "is being started",
	    [OWN_TASK_RUNNING] = "runs",
	    [OWN_TASK_HELD] = "may run under an older owner's start",
	    [OWN_TASK_ENDED] = "has ended",
	};

	say(x, "task %u %s", t->n, names[t->state]);
	if (t->attempt.epoch != 0)
		say(x, "; attempt %" PRIu64 "-%" PRIu64 " on worker %s",
		    t->attempt.epoch, t->attempt.seq, t->worker);
	if (t->stopping)
		say(x, "; being stopped");
	if (t->state == OWN_TASK_INTENT && !own_leased(o, now))
		say(x, "; the store cannot be reached");
	if (t->state != OWN_TASK_WAITING && t->state != OWN_TASK_ENDED)
		say_evidence(o, now, x, t);
	say(x, "\n");
}

static void
say_job(
    struct agb_owner *o, agb_time now, struct text *x, const struct own_job *j)
{
	char *buf;
	uint32_t i;

	say(x, "job %s of team %s, work %s, %u tasks, %s\n", j->id, j->team,
	    j->work, j->tasks_len,
	    j->idempotent ? "idempotent" : "non-idempotent");
	say(x, "held by %s as owner of shard %s, epoch %" PRIu64 "\n",
	    o->cfg.instance, o->cfg.domain, o->epoch);
	if (j->done) {
		say(x, "done: %s, %s: %s\n", agb_outcome_name(j->outcome),
		    agb_reason_name(j->reason), j->detail);
		return;
	}
	if (j->cancelled)
		say(x, "cancelled by its caller\n");
	if (j->ended) {
		say(x, "ended; waits for the end to become durable\n");
		return;
	}
	if (!j->durable) {
		say(x, "not accepted yet: its record is being written\n");
		return;
	}
	if (j->handle == AGB_SCHED_NONE) {
		say(x, "waits for a document that names its work and team\n");
		return;
	}
	buf = agb_xcalloc(SCHED_TEXT_MAX, 1);
	(void)agb_sched_explain(o->sched, now, j->handle, buf, SCHED_TEXT_MAX);
	say(x, "%s\n", buf);
	free(buf);
	for (i = 0; i < j->tasks_len && i < TASKS_TOLD; i++)
		say_task(o, now, x, &j->tasks[i]);
	if (j->tasks_len > TASKS_TOLD)
		say(x, "and %u more tasks\n", j->tasks_len - TASKS_TOLD);
}

static void
say_grant(const struct agb_owner *o, struct text *x, const struct own_grant *g)
{
	static const char *const names[] = {
	    [OWN_GRANT_ASKED] = "waits for a free slot",
	    [OWN_GRANT_COMMIT] = "has a slot, its key is not durable yet",
	    [OWN_GRANT_GIVEN] = "has been granted a slot",
	    [OWN_GRANT_REVOKED] = "is being revoked",
	    [OWN_GRANT_BUSY] = "is busy until the worker reports its end",
	};

	say(x, "request %s of team %s, service %s, entry instance %s\n",
	    g->request, g->team, g->work, g->instance);
	say(x, "%s", names[g->state]);
	if (g->worker != NULL)
		say(x,
		    "; attempt %" PRIu64 "-%" PRIu64
		    " on worker %s, chosen from %u",
		    g->attempt.epoch, g->attempt.seq, g->worker->inst.id,
		    g->weighed);
	say(x, "\nheld by %s as owner of shard %s, epoch %" PRIu64 "\n",
	    o->cfg.instance, o->cfg.domain, o->epoch);
}

static bool
say_request(const struct agb_owner *o, struct text *x, const char *id)
{
	size_t i;

	for (i = 0; i < o->grants.len; i++) {
		const struct own_grant *const g = o->grants.items[i];

		if (strcmp(g->request, id) == 0) {
			say_grant(o, x, g);
			return true;
		}
	}
	for (i = 1; i <= OWN_PAST_GRANTS && i <= o->past_next; i++) {
		const struct own_past *const p =
		    &o->past[(o->past_next - i) % OWN_PAST_GRANTS];

		if (strcmp(p->request, id) == 0) {
			say(x, "request %s: %s\n", id, p->text);
			return true;
		}
	}
	return false;
}

/* Tells why a job or recent request stands where it does. */
void
own_explain(struct agb_owner *o, agb_time now, uint64_t token,
    const agb_x_explain_args *a, struct agb_effects *out)
{
	struct own_job *const j =
	    own_map_get(&o->job_ids, a->id, strlen(a->id));
	struct agb_effect *ef;
	struct text x = {0};
	bool found = true;

	if (j != NULL)
		say_job(o, now, &x, j);
	else if (a->id[0] != '\0')
		found = say_request(o, &x, a->id);
	else
		found = false;
	ef = agb_effects_add(out, AGB_EF_RPC_REPLY);
	ef->token = token;
	ef->u.rpc_res.proc = AGB_X_EXPLAIN;
	ef->u.rpc_res.agb_x_res_u.explain.found = found;
	ef->u.rpc_res.agb_x_res_u.explain.text =
	    found ? x.s : agb_xstrdup("no such job or recent request");
}

#include "check.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define TASKS_MAX 8
#define CALLS_MAX 4096
#define KEYS_MAX 256
#define WORKERS_MAX 16
#define NODES_MAX 8

/* What is known of one caller's request so far. */
struct call_state {
	bool seen;
	bool job;
	bool idempotent;
	bool answered;
	bool broken;
	bool accepted;
	bool done;
	bool told_not_run;
	uint32_t node;
	uint32_t key;
	uint32_t runs[TASKS_MAX];
	uint32_t running[TASKS_MAX];
	uint32_t where[TASKS_MAX];
	size_t total;
};

struct worker_state {
	struct agb_resources capacity;
	struct agb_resources used;
	agb_time leaving_at;
	bool leaving;
};

struct node_state {
	bool up;
	bool term;
	uint32_t incarnation;
	uint64_t version;
};

struct checker {
	struct call_state *calls;
	struct worker_state workers[WORKERS_MAX];
	struct node_state nodes[NODES_MAX];
	uint32_t key_runs[KEYS_MAX];
	uint32_t key_total[KEYS_MAX];
	uint64_t doc;
	agb_time doc_at;
	agb_time quiet_at;
	bool quiet;
	struct check_result *out;
	size_t at;
};

static const char *const names[V_MAX] = {
    [V_NONE] = "none",
    [V_CAPACITY] = "capacity",
    [V_TWO_PLACES] = "two-places",
    [V_ANSWER] = "answer",
    [V_NOT_RUN] = "not-run-but-ran",
    [V_RAN] = "ran-but-did-not",
    [V_TWICE] = "twice",
    [V_LEAVING] = "leaving",
    [V_SHUTDOWN] = "shutdown",
    [V_DOC_REVERT] = "document-reverted",
    [V_DOC_LATE] = "document-late",
    [V_NO_ANSWER] = "no-answer",
    [V_NOT_FINAL] = "not-final",
};

const char *
check_name(enum violation v)
{
	return v < V_MAX ? names[v] : "?";
}

static bool __attribute__((format(printf, 3, 4)))
fail(struct checker *k, enum violation v, const char *fmt, ...)
{
	va_list ap;

	k->out->violation = v;
	k->out->record = k->at;
	va_start(ap, fmt);
	vsnprintf(k->out->text, sizeof(k->out->text), fmt, ap);
	va_end(ap);
	return false;
}

static bool
told(struct checker *k, struct call_state *c, const struct rec *r)
{
	if (r->outcome == AGB_OUTCOME_NOT_RUN) {
		c->told_not_run = true;
		if (c->total > 0)
			return fail(k, V_NOT_RUN, "call %u had run", r->call);
	}
	/* A repeated key gives the caller the run of an earlier call. */
	if (r->outcome == AGB_OUTCOME_RAN && c->total == 0 &&
	    (c->key == 0 || k->key_total[c->key] == 0))
		return fail(k, V_RAN, "call %u never ran", r->call);
	return true;
}

static bool
on_run(struct checker *k, const struct rec *r)
{
	struct call_state *const c = &k->calls[r->call];
	struct worker_state *const w = &k->workers[r->worker];
	const uint32_t t = r->task;

	if (c->told_not_run)
		return fail(
		    k, V_NOT_RUN, "call %u runs after not-run", r->call);
	if (c->running[t] > 0)
		return fail(k, V_TWO_PLACES,
		    "call %u task %u on workers %u and %u", r->call, t,
		    c->where[t], r->worker);
	c->runs[t]++;
	c->running[t]++;
	c->where[t] = r->worker;
	c->total++;
	k->key_total[c->key]++;
	if (!c->idempotent && c->runs[t] > 1)
		return fail(k, V_TWICE, "call %u task %u", r->call, t);
	if (!c->idempotent && c->key != 0 && t == 0 &&
	    ++k->key_runs[c->key] > 1)
		return fail(k, V_TWICE, "key %u", c->key);
	if (w->leaving && r->at - w->leaving_at > CHECK_LEAVING_MAX)
		return fail(
		    k, V_LEAVING, "worker %u, call %u", r->worker, r->call);
	agb_resources_add(&w->used, &r->need);
	if (!agb_resources_fit(&w->used, &w->capacity))
		return fail(k, V_CAPACITY,
		    "worker %u holds %lld of %lld milli-cores, %lld of %lld "
		    "MB",
		    r->worker, (long long)w->used.cpu_milli,
		    (long long)w->capacity.cpu_milli, (long long)w->used.mem_mb,
		    (long long)w->capacity.mem_mb);
	return true;
}

static bool
on_end(struct checker *k, const struct rec *r)
{
	struct call_state *const c = &k->calls[r->call];

	if (c->running[r->task] > 0)
		c->running[r->task]--;
	agb_resources_sub(&k->workers[r->worker].used, &r->need);
	return true;
}

static bool
on_worker_dead(struct checker *k, const struct rec *r)
{
	struct call_state *c;
	uint32_t i, t;

	memset(
	    &k->workers[r->worker].used, 0, sizeof(k->workers[r->worker].used));
	for (i = 0; i < CALLS_MAX; i++) {
		c = &k->calls[i];
		for (t = 0; c->seen && t < TASKS_MAX; t++) {
			if (c->running[t] > 0 && c->where[t] == r->worker)
				c->running[t] = 0;
		}
	}
	return true;
}

/* A connection that broke is excused when its instance was killed, not when
 * it was asked to shut down. */
static bool
on_broken(struct checker *k, const struct rec *r)
{
	struct call_state *const c = &k->calls[r->call];

	c->answered = true;
	c->broken = true;
	if (k->nodes[r->node].term && !r->killed)
		return fail(
		    k, V_SHUTDOWN, "call %u at node %u", r->call, r->node);
	return true;
}

static bool
docs_in_time(struct checker *k, agb_time now)
{
	agb_time since;
	uint32_t i;

	if (!k->quiet || k->doc == 0)
		return true;
	since = k->doc_at > k->quiet_at ? k->doc_at : k->quiet_at;
	if (now - since < CHECK_DOC_MAX)
		return true;
	for (i = 0; i < NODES_MAX; i++) {
		if (k->nodes[i].up && k->nodes[i].version < k->doc)
			return fail(k, V_DOC_LATE, "node %u has %llu of %llu",
			    i, (unsigned long long)k->nodes[i].version,
			    (unsigned long long)k->doc);
	}
	return true;
}

static bool
on_in_force(struct checker *k, const struct rec *r)
{
	struct node_state *const n = &k->nodes[r->node];

	if (n->up && n->incarnation == r->incarnation &&
	    r->version < n->version)
		return fail(k, V_DOC_REVERT, "node %u from %llu to %llu",
		    r->node, (unsigned long long)n->version,
		    (unsigned long long)r->version);
	if (n->incarnation != r->incarnation)
		n->term = false;
	n->up = true;
	n->incarnation = r->incarnation;
	n->version = r->version;
	return true;
}

static bool
on_finish(struct checker *k, const struct rec *r)
{
	const struct call_state *c;
	uint32_t i;

	for (i = 1; i < CALLS_MAX; i++) {
		c = &k->calls[i];
		if (!c->seen)
			continue;
		if (!c->answered)
			return fail(k, V_NO_ANSWER, "call %u", i);
		if (c->accepted && !c->done) {
			k->out->call = i;
			return fail(k, V_NOT_FINAL, "call %u", i);
		}
	}
	return docs_in_time(k, r->at);
}

static bool
on_call(struct checker *k, const struct rec *r)
{
	struct call_state *const c = &k->calls[r->call];

	c->seen = true;
	c->job = r->job;
	c->idempotent = r->idempotent;
	c->node = r->node;
	c->key = r->key;
	return true;
}

static bool
judge(struct checker *k, const struct rec *r)
{
	struct call_state *const c = &k->calls[r->call];

	switch (r->type) {
	case REC_CALL:
		return on_call(k, r);
	case REC_ANSWER:
		c->answered = true;
		return told(k, c, r);
	case REC_FORWARD:
		c->answered = true;
		if (r->content != r->call || !r->whole)
			return fail(k, V_ANSWER, "call %u got %s of %u",
			    r->call, r->whole ? "the answer" : "a part",
			    r->content);
		return true;
	case REC_BROKEN:
		return on_broken(k, r);
	case REC_ACCEPTED:
		c->answered = true;
		c->accepted = true;
		return true;
	case REC_JOB_DONE:
		c->done = true;
		return told(k, c, r);
	case REC_RUN:
		return on_run(k, r);
	case REC_END:
		return on_end(k, r);
	case REC_THROTTLE:
		agb_resources_sub(&k->workers[r->worker].used, &r->need);
		return true;
	case REC_WORKER_DEAD:
		return on_worker_dead(k, r);
	case REC_CAPACITY:
		k->workers[r->worker].capacity = r->need;
		return true;
	case REC_LEAVING:
		k->workers[r->worker].leaving = true;
		k->workers[r->worker].leaving_at = r->at;
		return true;
	case REC_DOC:
		k->doc = r->version;
		k->doc_at = r->at;
		return true;
	case REC_IN_FORCE:
		return on_in_force(k, r);
	case REC_TERM:
		k->nodes[r->node].term = true;
		return true;
	case REC_EXIT:
	case REC_KILL:
		k->nodes[r->node].up = false;
		k->nodes[r->node].term = false;
		return true;
	case REC_QUIET:
		k->quiet = true;
		k->quiet_at = r->at;
		return true;
	case REC_FINISH:
		return on_finish(k, r);
	}
	return true;
}

bool
check_history(const struct history *h, struct check_result *out)
{
	struct checker *const k = agb_xcalloc(1, sizeof(*k));
	const struct rec *r;
	bool ok;

	memset(out, 0, sizeof(*out));
	k->out = out;
	k->calls = agb_xcalloc(CALLS_MAX, sizeof(*k->calls));
	ok = true;
	for (k->at = 0; ok && k->at < h->len; k->at++) {
		r = &h->items[k->at];
		if (r->call >= CALLS_MAX || r->task >= TASKS_MAX ||
		    r->key >= KEYS_MAX || r->worker >= WORKERS_MAX ||
		    r->node >= NODES_MAX)
			abort();
		ok = judge(k, r) && docs_in_time(k, r->at);
	}
	free(k->calls);
	free(k);
	return ok;
}

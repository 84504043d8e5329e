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

/**
 * struct call_state - what the records so far tell about one call
 * @accepted: the call submitted a job and received its id
 * @done: the job has a final outcome
 * @runs: runs started, by task
 * @running: runs in progress, by task
 * @worker_of_task: worker of the latest run, by task
 * @run_count: runs started, over all tasks
 */
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
	uint32_t worker_of_task[TASKS_MAX];
	size_t run_count;
};

/**
 * struct worker_state - resources and shutdown state of one worker
 * @used: needs of all runs in progress
 * @leaving_at: time at which the worker announced that it leaves
 */
struct worker_state {
	struct agb_resources capacity;
	struct agb_resources used;
	agb_time leaving_at;
	bool leaving;
};

/**
 * struct node_state - state of one daemon instance
 * @shutting_down: it has been asked to shut down
 * @version: version of the document that it applies
 */
struct node_state {
	bool up;
	bool shutting_down;
	uint32_t incarnation;
	uint64_t version;
};

/**
 * struct checker - state while the records of a history are read in order
 * @key_exclusive_runs: by idempotency key, runs of task 0 of non-idempotent
 * calls, of which at most one is allowed
 * @key_runs: by idempotency key, runs of all its calls and tasks
 * @doc_version: latest document version that the store accepted
 * @record_index: index of the record being checked
 */
struct checker {
	struct call_state *calls;
	struct worker_state workers[WORKERS_MAX];
	struct node_state nodes[NODES_MAX];
	uint32_t key_exclusive_runs[KEYS_MAX];
	uint32_t key_runs[KEYS_MAX];
	uint64_t doc_version;
	agb_time doc_accepted_at;
	agb_time faults_ended_at;
	bool faults_ended;
	struct check_result *out;
	size_t record_index;
};

static const char *const names[V_MAX] = {
    [V_NONE] = "none",
    [V_CAPACITY] = "capacity",
    [V_CONCURRENT_RUNS] = "two-places",
    [V_WRONG_ANSWER] = "answer",
    [V_NOT_RUN_BUT_RAN] = "not-run-but-ran",
    [V_RAN_BUT_DID_NOT] = "ran-but-did-not",
    [V_RUN_TWICE] = "twice",
    [V_LEAVING_WORKER] = "leaving",
    [V_SHUTDOWN_BROKE_CONN] = "shutdown",
    [V_DOC_REVERTED] = "document-reverted",
    [V_DOC_LATE] = "document-late",
    [V_NO_ANSWER] = "no-answer",
    [V_NOT_FINAL] = "not-final",
};

const char *
check_violation_name(enum violation v)
{
	return v < V_MAX ? names[v] : "?";
}

static bool __attribute__((format(printf, 3, 4)))
report_violation(struct checker *k, enum violation v, const char *fmt, ...)
{
	va_list ap;

	k->out->violation = v;
	k->out->record_index = k->record_index;
	va_start(ap, fmt);
	vsnprintf(k->out->text, sizeof(k->out->text), fmt, ap);
	va_end(ap);
	return false;
}

static bool
check_outcome(
    struct checker *k, struct call_state *c, const struct history_record *r)
{
	if (r->outcome == AGB_OUTCOME_NOT_RUN) {
		c->told_not_run = true;
		if (c->run_count > 0)
			return report_violation(k, V_NOT_RUN_BUT_RAN,
			    "call %u had run before its outcome not-run",
			    r->call);
	}
	/* A call that repeats an idempotency key gets the outcome of the call
	 * that used the key first, so a run of either counts. */
	if (r->outcome == AGB_OUTCOME_RAN && c->run_count == 0 &&
	    (c->key == 0 || k->key_runs[c->key] == 0))
		return report_violation(k, V_RAN_BUT_DID_NOT,
		    "call %u has outcome ran but never ran", r->call);
	return true;
}

static bool
on_run_start(struct checker *k, const struct history_record *r)
{
	struct call_state *const c = &k->calls[r->call];
	struct worker_state *const w = &k->workers[r->worker];
	const uint32_t t = r->task;

	if (c->told_not_run)
		return report_violation(k, V_NOT_RUN_BUT_RAN,
		    "call %u runs after its outcome not-run", r->call);
	if (c->running[t] > 0)
		return report_violation(k, V_CONCURRENT_RUNS,
		    "call %u task %u on workers %u and %u", r->call, t,
		    c->worker_of_task[t], r->worker);
	c->runs[t]++;
	c->running[t]++;
	c->worker_of_task[t] = r->worker;
	c->run_count++;
	k->key_runs[c->key]++;
	if (!c->idempotent && c->runs[t] > 1)
		return report_violation(
		    k, V_RUN_TWICE, "call %u task %u", r->call, t);
	if (!c->idempotent && c->key != 0 && t == 0 &&
	    ++k->key_exclusive_runs[c->key] > 1)
		return report_violation(
		    k, V_RUN_TWICE, "idempotency key %u", c->key);
	if (w->leaving && r->at - w->leaving_at > CHECK_LEAVING_GRACE)
		return report_violation(k, V_LEAVING_WORKER,
		    "leaving worker %u started call %u", r->worker, r->call);
	agb_resources_add(&w->used, &r->need);
	if (!agb_resources_fit(&w->used, &w->capacity))
		return report_violation(k, V_CAPACITY,
		    "runs on worker %u use %lld of %lld milli-cores, %lld of "
		    "%lld "
		    "MB",
		    r->worker, (long long)w->used.cpu_milli,
		    (long long)w->capacity.cpu_milli, (long long)w->used.mem_mb,
		    (long long)w->capacity.mem_mb);
	return true;
}

static bool
on_run_end(struct checker *k, const struct history_record *r)
{
	struct call_state *const c = &k->calls[r->call];

	if (c->running[r->task] > 0)
		c->running[r->task]--;
	agb_resources_sub(&k->workers[r->worker].used, &r->need);
	return true;
}

static bool
on_worker_dead(struct checker *k, const struct history_record *r)
{
	struct call_state *c;
	uint32_t i, t;

	memset(
	    &k->workers[r->worker].used, 0, sizeof(k->workers[r->worker].used));
	for (i = 0; i < CALLS_MAX; i++) {
		c = &k->calls[i];
		for (t = 0; c->seen && t < TASKS_MAX; t++) {
			if (c->running[t] > 0 &&
			    c->worker_of_task[t] == r->worker)
				c->running[t] = 0;
		}
	}
	return true;
}

/* A killed instance may break its connections; one that is asked to shut down
 * must answer its open requests first. */
static bool
on_connection_broken(struct checker *k, const struct history_record *r)
{
	struct call_state *const c = &k->calls[r->call];

	c->answered = true;
	c->broken = true;
	if (k->nodes[r->node].shutting_down && !r->killed)
		return report_violation(k, V_SHUTDOWN_BROKE_CONN,
		    "connection of call %u broke at node %u", r->call, r->node);
	return true;
}

static bool
check_document_delay(struct checker *k, agb_time now)
{
	agb_time since;
	uint32_t i;

	if (!k->faults_ended || k->doc_version == 0)
		return true;
	since = k->doc_accepted_at > k->faults_ended_at ? k->doc_accepted_at
							: k->faults_ended_at;
	if (now - since < CHECK_DOC_DELAY_MAX)
		return true;
	for (i = 0; i < NODES_MAX; i++) {
		if (k->nodes[i].up && k->nodes[i].version < k->doc_version)
			return report_violation(k, V_DOC_LATE,
			    "node %u applies version %llu instead of %llu", i,
			    (unsigned long long)k->nodes[i].version,
			    (unsigned long long)k->doc_version);
	}
	return true;
}

static bool
on_document_in_force(struct checker *k, const struct history_record *r)
{
	struct node_state *const n = &k->nodes[r->node];

	if (n->up && n->incarnation == r->incarnation &&
	    r->version < n->version)
		return report_violation(k, V_DOC_REVERTED,
		    "node %u went from version %llu to %llu", r->node,
		    (unsigned long long)n->version,
		    (unsigned long long)r->version);
	if (n->incarnation != r->incarnation)
		n->shutting_down = false;
	n->up = true;
	n->incarnation = r->incarnation;
	n->version = r->version;
	return true;
}

static bool
on_finish(struct checker *k, const struct history_record *r)
{
	const struct call_state *c;
	uint32_t i;

	for (i = 1; i < CALLS_MAX; i++) {
		c = &k->calls[i];
		if (!c->seen)
			continue;
		if (!c->answered)
			return report_violation(k, V_NO_ANSWER, "call %u", i);
		if (c->accepted && !c->done) {
			k->out->call = i;
			return report_violation(k, V_NOT_FINAL, "call %u", i);
		}
	}
	return check_document_delay(k, r->at);
}

static bool
on_call(struct checker *k, const struct history_record *r)
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
check_record(struct checker *k, const struct history_record *r)
{
	struct call_state *const c = &k->calls[r->call];

	switch (r->type) {
	case REC_CALL:
		return on_call(k, r);
	case REC_ANSWER:
		c->answered = true;
		return check_outcome(k, c, r);
	case REC_FORWARDED:
		c->answered = true;
		if (r->answered_call != r->call || !r->complete)
			return report_violation(k, V_WRONG_ANSWER,
			    "call %u got %s answer of call %u", r->call,
			    r->complete ? "the complete" : "a truncated",
			    r->answered_call);
		return true;
	case REC_CONN_BROKEN:
		return on_connection_broken(k, r);
	case REC_ACCEPTED:
		c->answered = true;
		c->accepted = true;
		return true;
	case REC_JOB_DONE:
		c->done = true;
		return check_outcome(k, c, r);
	case REC_RUN_START:
		return on_run_start(k, r);
	case REC_RUN_END:
		return on_run_end(k, r);
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
	case REC_DOC_ACCEPTED:
		k->doc_version = r->version;
		k->doc_accepted_at = r->at;
		return true;
	case REC_DOC_IN_FORCE:
		return on_document_in_force(k, r);
	case REC_TERM:
		k->nodes[r->node].shutting_down = true;
		return true;
	case REC_EXIT:
	case REC_KILL:
		k->nodes[r->node].up = false;
		k->nodes[r->node].shutting_down = false;
		return true;
	case REC_FAULTS_ENDED:
		k->faults_ended = true;
		k->faults_ended_at = r->at;
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
	const struct history_record *r;
	bool ok;

	memset(out, 0, sizeof(*out));
	k->out = out;
	k->calls = agb_xcalloc(CALLS_MAX, sizeof(*k->calls));
	ok = true;
	for (k->record_index = 0; ok && k->record_index < h->len;
	     k->record_index++) {
		r = &h->records[k->record_index];
		if (r->call >= CALLS_MAX || r->task >= TASKS_MAX ||
		    r->key >= KEYS_MAX || r->worker >= WORKERS_MAX ||
		    r->node >= NODES_MAX)
			abort();
		ok = check_record(k, r) && check_document_delay(k, r->at);
	}
	free(k->calls);
	free(k);
	return ok;
}

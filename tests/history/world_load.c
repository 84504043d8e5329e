#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

#define DOC_KEY "agatebeam/test/env"
/* The SHA-256 hash of "demo". */
#define CREDENTIAL \
	"2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"
#define KEYS_PER_WORK 20
#define JOB_WORKS_LEN 5

static const char document[] =
    "{\"name\":\"test\",\"headroom_percent\":%u,"
    "\"regions\":[{\"name\":\"r\",\"domains\":[\"a\",\"b\"]}],"
    "\"classes\":["
    "{\"name\":\"quick\",\"policy\":\"quick\",\"urgency\":5,"
    "\"deadline_ms\":4000,\"retries\":2,\"retry_budget_percent\":50},"
    "{\"name\":\"batch\",\"policy\":\"batch\",\"urgency\":2,\"retries\":3,"
    "\"retry_budget_percent\":50,\"preemptible\":true,"
    "\"on_isolation\":\"stop\",\"autonomy_ms\":3000},"
    "{\"name\":\"kept\",\"policy\":\"batch\",\"urgency\":2,\"retries\":3,"
    "\"retry_budget_percent\":50,\"on_isolation\":\"keep\"},"
    "{\"name\":\"urgent\",\"policy\":\"batch\",\"urgency\":9},"
    "{\"name\":\"gang\",\"policy\":\"gang\",\"urgency\":3,\"retries\":3,"
    "\"retry_budget_percent\":50,\"on_isolation\":\"stop\","
    "\"autonomy_ms\":3000},"
    "{\"name\":\"service\",\"policy\":\"service\",\"urgency\":1,"
    "\"retries\":3,\"retry_budget_percent\":50,"
    "\"on_isolation\":\"stop\",\"autonomy_ms\":3000}],"
    "\"teams\":[{\"name\":\"t\",\"credential_sha256\":\"" CREDENTIAL "\","
    "\"quota\":{\"cpu_milli\":20000,\"mem_mb\":20480,\"accel\":0},"
    "\"borrow\":true}],"
    "\"work\":["
    "{\"name\":\"quick\",\"class\":\"quick\",\"run_ms\":100,"
    "\"need\":{\"cpu_milli\":500,\"mem_mb\":128}},"
    "{\"name\":\"batch\",\"class\":\"batch\",\"run_ms\":1000,"
    "\"need\":{\"cpu_milli\":1000,\"mem_mb\":256}},"
    "{\"name\":\"kept\",\"class\":\"kept\",\"run_ms\":1000,"
    "\"need\":{\"cpu_milli\":1000,\"mem_mb\":256}},"
    "{\"name\":\"urgent\",\"class\":\"urgent\",\"run_ms\":500,"
    "\"need\":{\"cpu_milli\":2000,\"mem_mb\":512}},"
    "{\"name\":\"gang\",\"class\":\"gang\",\"run_ms\":1000,"
    "\"need\":{\"cpu_milli\":1500,\"mem_mb\":256}},"
    "{\"name\":\"service\",\"class\":\"service\","
    "\"need\":{\"cpu_milli\":500,\"mem_mb\":128}}]}";

/* Writes a new document if the stored one still has the version that the
 * operator has reviewed. */
static void
swap_document(struct world *w, uint64_t reviewed)
{
	struct agb_store_op op;
	struct agb_store_result res;
	char text[4096];
	int n;

	n = snprintf(text, sizeof(text), document,
	    5 + (unsigned)(w->document_changes++ % 10));
	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_cmp(&op, DOC_KEY, AGB_STORE_CMP_MOD_REV, reviewed);
	agb_store_op_add_put(&op, DOC_KEY, text, (size_t)n, 0);
	w_store_apply(w, &op, &res);
	if (res.succeeded)
		history_add(&w->history, w->now, REC_DOC_ACCEPTED)->version =
		    res.revision;
	agb_store_result_free(&res);
	agb_store_op_free(&op);
}

void
w_document_create(struct world *w)
{
	swap_document(w, 0);
}

/* Two operators change the version of the document that both have reviewed;
 * only the first change succeeds. */
void
w_operators_change_document(struct world *w)
{
	struct agb_store_op op;
	struct agb_store_result res;
	uint64_t reviewed;

	if (w->store_down)
		return;
	agb_store_op_init_range(&op, DOC_KEY, NULL, 1);
	w_store_apply(w, &op, &res);
	reviewed = res.kvs_len > 0 ? res.kvs[0].mod_rev : 0;
	agb_store_result_free(&res);
	agb_store_op_free(&op);
	swap_document(w, reviewed);
	swap_document(w, reviewed);
}

/* Picks a random ready node; may fail, even if there is one, after 8 tries. */
static bool
random_ready_node(struct world *w, uint32_t *n)
{
	uint32_t i;
	int tries;

	for (tries = 0; tries < 8; tries++) {
		i = w_random_below(w, W_NODES);
		if (w->nodes[i].up && w->nodes[i].ready) {
			*n = i;
			return true;
		}
	}
	return false;
}

static uint32_t
request_new(
    struct world *w, uint32_t n, bool job, bool idempotent, uint32_t key)
{
	const uint32_t id = ++w->calls_len;
	struct caller_request *const c = &w->calls[id];
	struct history_record *r;

	c->node = n;
	c->incarnation = w->nodes[n].incarnation;
	c->open = true;
	c->job = job;
	c->idempotent = idempotent;
	c->key = key;
	r = history_add(&w->history, w->now, REC_CALL);
	r->call = id;
	r->node = n;
	r->job = job;
	r->idempotent = idempotent;
	r->key = key;
	return id;
}

/* Queues a call like a message, so that a paused instance handles it when it
 * resumes. */
static void
send_call(struct world *w, uint32_t n, struct agb_ev_call *call)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct sim_event *m;

	agb_str_copy(call->credential, sizeof(call->credential), CREDENTIAL);
	ev->type = AGB_EV_CALL;
	ev->u.call = *call;
	if (call->args != NULL)
		ev->u.call.args = agb_xmemdup(call->args, call->args_len);
	m = w_schedule(w, w->now, SIM_NODE_EVENT);
	m->node = n;
	m->incarnation = w->nodes[n].incarnation;
	m->ev = ev;
}

/* Sends a quick request. 30 % carry an idempotency key. */
static void
send_quick(struct world *w, uint32_t n)
{
	struct agb_ev_call call = {.kind = AGB_CALL_QUICK};
	uint32_t key;

	key = w_random(w) < 0.3 ? 1 + w_random_below(w, KEYS_PER_WORK) : 0;
	call.idempotent = key == 0 && w_random(w) < 0.5;
	if (key != 0)
		snprintf(call.key, sizeof(call.key), "quick-%u", key);
	agb_str_copy(call.work, sizeof(call.work), "quick");
	call.deadline_ms = 500 + w_random_below(w, 4000);
	call.body_bytes = 200;
	call.id = request_new(w, n, false, call.idempotent, key);
	send_call(w, n, &call);
}

/* Submits a job; @kind is an index in works. */
static void
submit_job(struct world *w, uint32_t n, uint32_t kind)
{
	static const char *const works[JOB_WORKS_LEN] = {
	    "batch", "kept", "urgent", "gang", "service"};
	struct agb_ev_call call = {.kind = AGB_CALL_JOB_SUBMIT};
	char args[80];
	uint32_t key, ms;
	unsigned fails;

	/* Each idempotency key belongs to one work name. */
	key = w_random(w) < 0.25
	    ? 100 + kind * KEYS_PER_WORK + w_random_below(w, KEYS_PER_WORK)
	    : 0;
	call.idempotent = kind == 4 || w_random(w) < 0.6;
	if (key != 0)
		snprintf(call.key, sizeof(call.key), "job-%u", key);
	agb_str_copy(call.work, sizeof(call.work), works[kind]);
	call.tasks = kind >= 3 ? 2 : 1 + w_random_below(w, 2);
	ms = kind == 4 ? 0 : 100 + w_random_below(w, 3000);
	call.id = request_new(w, n, true, call.idempotent, key);
	w->calls[call.id].service = kind == 4;
	fails = kind != 4 && w_random(w) < 0.1;
	snprintf(args, sizeof(args), "{\"call\":%u,\"ms\":%u,\"fails\":%u}",
	    (unsigned)call.id, ms, fails);
	call.args = args;
	call.args_len = strlen(args);
	send_call(w, n, &call);
}

void
w_caller_request(struct world *w)
{
	uint32_t n;

	if (w->calls_len + 1 >= W_CALLS_MAX || !random_ready_node(w, &n))
		return;
	if (w->kind == W_FAULT_FREE_JOBS)
		submit_job(w, n, w->calls_len % JOB_WORKS_LEN);
	else if (w->kind == W_FAULT_FREE_QUICK || w_random(w) < 0.65)
		send_quick(w, n);
	else
		submit_job(w, n, w_random_below(w, JOB_WORKS_LEN));
}

static void
schedule_poll(struct world *w, uint32_t call, agb_time pause)
{
	w_schedule(w, w->now + pause, SIM_JOB_POLL)->call = call;
}

/* Polls a job, or cancels it, and schedules the next poll. */
void
w_job_poll(struct world *w, uint32_t call)
{
	struct caller_request *const c = &w->calls[call];
	struct agb_ev_call get = {.kind = AGB_CALL_JOB_GET};
	uint32_t n;

	if (c->done || w->poll_count + 1 >= W_POLLS_MAX)
		return;
	schedule_poll(w, call,
	    (w->faults_ended ? 2 : 3) * AGB_SEC +
		(agb_time)(w_random(w) * 1e6));
	if (!random_ready_node(w, &n))
		return;
	if (c->cancel_requested)
		get.kind = AGB_CALL_JOB_CANCEL;
	get.wait_ms = w_random_below(w, 1500);
	memcpy(get.job, c->id, sizeof(get.job));
	w->polled_call[++w->poll_count] = call;
	get.id = W_POLL_BASE + w->poll_count;
	send_call(w, n, &get);
}

void
w_job_explain(struct world *w, uint32_t call)
{
	struct agb_ev_call ask = {.kind = AGB_CALL_EXPLAIN};
	uint32_t n;

	if (!random_ready_node(w, &n))
		return;
	memcpy(ask.job, w->calls[call].id, sizeof(ask.job));
	ask.id = W_POLL_BASE;
	send_call(w, n, &ask);
}

/* Callers cancel about 60 % of the open jobs at the same time. */
void
w_cancel_many_jobs(struct world *w)
{
	uint32_t i;

	for (i = 1; i <= w->calls_len; i++) {
		if (!w->calls[i].accepted || w->calls[i].done ||
		    w_random(w) < 0.4)
			continue;
		w->calls[i].cancel_requested = true;
		w_job_poll(w, i);
	}
}

/* Cancels all services, because they have no other end. */
void
w_cancel_services(struct world *w)
{
	uint32_t i;

	for (i = 1; i <= w->calls_len; i++) {
		if (w->calls[i].service)
			w->calls[i].cancel_requested = true;
	}
}

bool
w_requests_final(const struct world *w)
{
	uint32_t i;

	for (i = 1; i <= w->calls_len; i++) {
		if (w->calls[i].open ||
		    (w->calls[i].accepted && !w->calls[i].done))
			return false;
	}
	return true;
}

static const char *
json_string(json_object *o, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v))
		return "";
	return json_object_get_string(v);
}

static void
on_poll_reply(struct world *w, uint32_t call, const struct agb_ef_reply *reply)
{
	struct caller_request *const c = &w->calls[call];
	json_object *o;
	struct history_record *r;

	if (reply->body == NULL || c->done)
		return;
	o = json_tokener_parse(reply->body);
	if (o != NULL && strcmp(json_string(o, "state"), "done") == 0) {
		c->done = true;
		r = history_add(&w->history, w->now, REC_JOB_DONE);
		r->call = call;
		r->outcome = reply->outcome;
		r->reason = reply->reason;
	}
	json_object_put(o);
}

/* Returns whether an earlier call received this job. Calls with the same
 * idempotency key get the same job, and only the first call polls it. */
static bool
job_followed(const struct world *w, const char *id)
{
	uint32_t i;

	for (i = 1; i <= w->calls_len; i++) {
		if (w->calls[i].accepted && strcmp(w->calls[i].id, id) == 0)
			return true;
	}
	return false;
}

static void
on_job_accepted(
    struct world *w, uint32_t call, const struct agb_ef_reply *reply)
{
	struct caller_request *const c = &w->calls[call];
	json_object *const o = json_tokener_parse(reply->body);
	const char *const id = json_string(o, "id");
	const bool known = job_followed(w, id);
	struct history_record *r;

	agb_str_copy(c->id, sizeof(c->id), id);
	r = history_add(&w->history, w->now, known ? REC_ANSWER : REC_ACCEPTED);
	r->call = call;
	r->outcome = AGB_OUTCOME_UNKNOWN;
	c->accepted = !known;
	c->cancel_requested =
	    c->cancel_requested || (c->service && w->faults_ended);
	if (c->accepted && w->kind == W_RANDOM_FAULTS &&
	    (call * UINT64_C(7919) + w->seed) % 12 == 0) {
		/* One caller in 12 cancels within 0.2 s, which may be while
		 * a start is being sent. */
		c->cancel_requested = true;
		schedule_poll(w, call, (agb_time)(w_random(w) * 200e3));
	} else if (c->accepted)
		schedule_poll(w, call, (agb_time)(w_random(w) * 2e6));
	json_object_put(o);
}

void
w_caller_reply(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	struct caller_request *c;
	struct history_record *r;

	if (ef->call_id == W_POLL_BASE) {
		printf("explain: %s\n",
		    ef->u.reply.body != NULL ? ef->u.reply.body
					     : ef->u.reply.detail);
		return;
	}
	if (ef->call_id > W_POLL_BASE) {
		on_poll_reply(
		    w, w->polled_call[ef->call_id - W_POLL_BASE], &ef->u.reply);
		return;
	}
	c = &w->calls[ef->call_id];
	if (!c->open || c->node != n)
		return;
	c->open = false;
	if (c->job && ef->u.reply.http_status == 202) {
		on_job_accepted(w, (uint32_t)ef->call_id, &ef->u.reply);
		return;
	}
	r = history_add(&w->history, w->now, REC_ANSWER);
	r->call = (uint32_t)ef->call_id;
	r->node = n;
	r->outcome = ef->u.reply.outcome;
	r->reason = ef->u.reply.reason;
}

void
w_caller_forward(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	struct caller_request *const c = &w->calls[ef->call_id];
	struct history_record *r;

	if (!c->open || c->node != n)
		return;
	c->open = false;
	r = history_add(&w->history, w->now, REC_FORWARDED);
	r->call = (uint32_t)ef->call_id;
	r->node = n;
	r->answered_call = c->answered_call;
	r->complete = c->complete;
}

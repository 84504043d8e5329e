#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

#define DOC_KEY "agatebeam/test/env"
/* SHA-256 of "demo". */
#define CREDENTIAL \
	"2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"
#define KEYS 20
#define JOB_KINDS 5

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

/* An operator changes the document by compare-and-swap on what was read. */
static void
document_swap(struct world *w, uint64_t reviewed)
{
	struct agb_store_op op;
	struct agb_store_result res;
	char text[4096];
	int n;

	n = snprintf(
	    text, sizeof(text), document, 5 + (unsigned)(w->doc_serial++ % 10));
	agb_store_op_init(&op, AGB_STORE_TXN);
	agb_store_op_add_cmp(&op, DOC_KEY, AGB_STORE_CMP_MOD_REV, reviewed);
	agb_store_op_add_put(&op, DOC_KEY, text, (size_t)n, 0);
	w_store_put(w, &op, &res);
	if (res.succeeded)
		history_add(&w->hist, w->now, REC_DOC)->version = res.revision;
	agb_store_result_free(&res);
	agb_store_op_free(&op);
}

void
w_document_put(struct world *w)
{
	document_swap(w, 0);
}

/* Two operators have reviewed the same version; one of them wins. */
void
w_operator(struct world *w)
{
	struct agb_store_op op;
	struct agb_store_result res;
	uint64_t reviewed;

	if (w->store_down)
		return;
	agb_store_op_init_range(&op, DOC_KEY, NULL, 1);
	w_store_put(w, &op, &res);
	reviewed = res.kvs_len > 0 ? res.kvs[0].mod_rev : 0;
	agb_store_result_free(&res);
	agb_store_op_free(&op);
	document_swap(w, reviewed);
	document_swap(w, reviewed);
}

static bool
node_draw(struct world *w, uint32_t *n)
{
	uint32_t i;
	int tries;

	for (tries = 0; tries < 8; tries++) {
		i = w_below(w, W_NODES);
		if (w->nodes[i].up && w->nodes[i].ready) {
			*n = i;
			return true;
		}
	}
	return false;
}

static uint32_t
call_new(struct world *w, uint32_t n, bool job, bool idempotent, uint32_t key)
{
	const uint32_t id = ++w->calls_len;
	struct wcall *const c = &w->calls[id];
	struct rec *r;

	c->node = n;
	c->incarnation = w->nodes[n].incarnation;
	c->open = true;
	c->job = job;
	c->idempotent = idempotent;
	c->key = key;
	r = history_add(&w->hist, w->now, REC_CALL);
	r->call = id;
	r->node = n;
	r->job = job;
	r->idempotent = idempotent;
	r->key = key;
	return id;
}

/* A call arrives like any message, so that a paused instance takes it later. */
static void
call_send(struct world *w, uint32_t n, struct agb_ev_call *call)
{
	struct agb_event *const ev = agb_xcalloc(1, sizeof(*ev));
	struct msg *m;

	agb_name_set(call->credential, sizeof(call->credential), CREDENTIAL);
	ev->type = AGB_EV_CALL;
	ev->u.call = *call;
	if (call->args != NULL)
		ev->u.call.args = agb_xmemdup(call->args, call->args_len);
	m = w_push(w, w->now, M_EVENT);
	m->node = n;
	m->incarnation = w->nodes[n].incarnation;
	m->ev = ev;
}

static void
quick(struct world *w, uint32_t n)
{
	struct agb_ev_call call = {.kind = AGB_CALL_QUICK};
	uint32_t key;

	key = w_draw(w) < 0.3 ? 1 + w_below(w, KEYS) : 0;
	call.idempotent = key == 0 && w_draw(w) < 0.5;
	if (key != 0)
		snprintf(call.key, sizeof(call.key), "quick-%u", key);
	agb_name_set(call.work, sizeof(call.work), "quick");
	call.deadline_ms = 500 + w_below(w, 4000);
	call.body_bytes = 200;
	call.id = call_new(w, n, false, call.idempotent, key);
	call_send(w, n, &call);
}

static void
job(struct world *w, uint32_t n, uint32_t kind)
{
	static const char *const works[JOB_KINDS] = {
	    "batch", "kept", "urgent", "gang", "service"};
	struct agb_ev_call call = {.kind = AGB_CALL_JOB_SUBMIT};
	char args[80];
	uint32_t key, ms;
	unsigned fails;

	/* A key is used for one kind of request only. */
	key = w_draw(w) < 0.25 ? 100 + kind * KEYS + w_below(w, KEYS) : 0;
	call.idempotent = kind == 4 || w_draw(w) < 0.6;
	if (key != 0)
		snprintf(call.key, sizeof(call.key), "job-%u", key);
	agb_name_set(call.work, sizeof(call.work), works[kind]);
	call.tasks = kind >= 3 ? 2 : 1 + w_below(w, 2);
	ms = kind == 4 ? 0 : 100 + w_below(w, 3000);
	call.id = call_new(w, n, true, call.idempotent, key);
	w->calls[call.id].service = kind == 4;
	fails = kind != 4 && w_draw(w) < 0.1;
	snprintf(args, sizeof(args), "{\"call\":%u,\"ms\":%u,\"fails\":%u}",
	    (unsigned)call.id, ms, fails);
	call.args = args;
	call.args_len = strlen(args);
	call_send(w, n, &call);
}

void
w_caller_act(struct world *w)
{
	uint32_t n;

	if (w->calls_len + 1 >= W_CALLS_MAX || !node_draw(w, &n))
		return;
	if (w->kind == W_CALM_JOBS)
		job(w, n, w->calls_len % JOB_KINDS);
	else if (w->kind == W_CALM_QUICK || w_draw(w) < 0.65)
		quick(w, n);
	else
		job(w, n, w_below(w, JOB_KINDS));
}

static void
poll_plan(struct world *w, uint32_t call, agb_time pause)
{
	w_push(w, w->now + pause, M_POLL)->call = call;
}

/* Asks for the state of a job, or cancels it. */
void
w_caller_poll(struct world *w, uint32_t call)
{
	struct wcall *const c = &w->calls[call];
	struct agb_ev_call get = {.kind = AGB_CALL_JOB_GET};
	uint32_t n;

	if (c->done || w->polls + 1 >= 8192)
		return;
	poll_plan(w, call,
	    (w->quiet ? 2 : 3) * AGB_SEC + (agb_time)(w_draw(w) * 1e6));
	if (!node_draw(w, &n))
		return;
	if (c->cancel)
		get.kind = AGB_CALL_JOB_CANCEL;
	get.wait_ms = w_below(w, 1500);
	memcpy(get.job, c->id, sizeof(get.job));
	w->poll_of[++w->polls] = call;
	get.id = W_POLL_BASE + w->polls;
	call_send(w, n, &get);
}

void
w_caller_explain(struct world *w, uint32_t call)
{
	struct agb_ev_call ask = {.kind = AGB_CALL_EXPLAIN};
	uint32_t n;

	if (!node_draw(w, &n))
		return;
	memcpy(ask.job, w->calls[call].id, sizeof(ask.job));
	ask.id = W_POLL_BASE;
	call_send(w, n, &ask);
}

/* Callers give up many jobs at the same moment. */
void
w_caller_wave(struct world *w)
{
	uint32_t i;

	for (i = 1; i <= w->calls_len; i++) {
		if (!w->calls[i].accepted || w->calls[i].done ||
		    w_draw(w) < 0.4)
			continue;
		w->calls[i].cancel = true;
		w_caller_poll(w, i);
	}
}

/* Services end only when they are cancelled. */
void
w_caller_finish(struct world *w)
{
	uint32_t i;

	for (i = 1; i <= w->calls_len; i++) {
		if (w->calls[i].service)
			w->calls[i].cancel = true;
	}
}

bool
w_callers_done(const struct world *w)
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
json_text(json_object *o, const char *key)
{
	json_object *v;

	if (!json_object_object_get_ex(o, key, &v))
		return "";
	return json_object_get_string(v);
}

static void
poll_reply(struct world *w, uint32_t call, const struct agb_ef_reply *reply)
{
	struct wcall *const c = &w->calls[call];
	json_object *o;
	struct rec *r;

	if (reply->body == NULL || c->done)
		return;
	o = json_tokener_parse(reply->body);
	if (o != NULL && strcmp(json_text(o, "state"), "done") == 0) {
		c->done = true;
		r = history_add(&w->hist, w->now, REC_JOB_DONE);
		r->call = call;
		r->outcome = reply->outcome;
		r->reason = reply->reason;
	}
	json_object_put(o);
}

/* Two calls with one key may be given the same job; only the first of them
 * follows it. */
static bool
job_known(const struct world *w, const char *id)
{
	uint32_t i;

	for (i = 1; i <= w->calls_len; i++) {
		if (w->calls[i].accepted && strcmp(w->calls[i].id, id) == 0)
			return true;
	}
	return false;
}

static void
accepted(struct world *w, uint32_t call, const struct agb_ef_reply *reply)
{
	struct wcall *const c = &w->calls[call];
	json_object *const o = json_tokener_parse(reply->body);
	const char *const id = json_text(o, "id");
	const bool known = job_known(w, id);
	struct rec *r;

	agb_name_set(c->id, sizeof(c->id), id);
	r = history_add(&w->hist, w->now, known ? REC_ANSWER : REC_ACCEPTED);
	r->call = call;
	r->outcome = AGB_UNKNOWN;
	c->accepted = !known;
	c->cancel = c->cancel || (c->service && w->quiet);
	if (c->accepted && w->kind == W_FAULTS &&
	    (call * UINT64_C(7919) + w->seed) % 12 == 0) {
		/* Some callers give up at once, while a start is under way. */
		c->cancel = true;
		poll_plan(w, call, (agb_time)(w_draw(w) * 200e3));
	} else if (c->accepted)
		poll_plan(w, call, (agb_time)(w_draw(w) * 2e6));
	json_object_put(o);
}

void
w_reply(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	struct wcall *c;
	struct rec *r;

	if (ef->call_id == W_POLL_BASE) {
		printf("explain: %s\n",
		    ef->u.reply.body != NULL ? ef->u.reply.body
					     : ef->u.reply.detail);
		return;
	}
	if (ef->call_id > W_POLL_BASE) {
		poll_reply(
		    w, w->poll_of[ef->call_id - W_POLL_BASE], &ef->u.reply);
		return;
	}
	c = &w->calls[ef->call_id];
	if (!c->open || c->node != n)
		return;
	c->open = false;
	if (c->job && ef->u.reply.http_status == 202) {
		accepted(w, (uint32_t)ef->call_id, &ef->u.reply);
		return;
	}
	r = history_add(&w->hist, w->now, REC_ANSWER);
	r->call = (uint32_t)ef->call_id;
	r->node = n;
	r->outcome = ef->u.reply.outcome;
	r->reason = ef->u.reply.reason;
}

void
w_forward(struct world *w, uint32_t n, const struct agb_effect *ef)
{
	struct wcall *const c = &w->calls[ef->call_id];
	struct rec *r;

	if (!c->open || c->node != n)
		return;
	c->open = false;
	r = history_add(&w->hist, w->now, REC_FORWARD);
	r->call = (uint32_t)ef->call_id;
	r->node = n;
	r->content = c->content;
	r->whole = c->whole;
}

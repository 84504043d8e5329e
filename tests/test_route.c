#include "route.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "suite.h"

#define NOW (100 * AGB_SEC)
/* SHA-256 of "demo". */
#define CREDENTIAL \
	"2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea"
#define UNKNOWN_CREDENTIAL \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static const char doc[] =
    "{\"name\":\"x\",\"weights\":{\"wait\":1,\"cross_region_kb\":10},"
    "\"regions\":[{\"name\":\"r\",\"domains\":[\"a\",\"c\"]},"
    "{\"name\":\"far\",\"domains\":[\"b\"]}],"
    "\"classes\":[{\"name\":\"q\",\"policy\":\"quick\",\"retries\":1,"
    "\"retry_budget_percent\":100,\"deadline_ms\":1000},"
    "{\"name\":\"j\",\"policy\":\"batch\"}],"
    "\"teams\":[{\"name\":\"t\",\"credential_sha256\":\"" CREDENTIAL "\","
    "\"quota\":{\"cpu_milli\":1,\"mem_mb\":1}},"
    "{\"name\":\"u\",\"credential_sha256\":"
    "\"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\","
    "\"quota\":{\"cpu_milli\":1,\"mem_mb\":1}}],"
    "\"work\":[{\"name\":\"w\",\"class\":\"q\","
    "\"need\":{\"cpu_milli\":1,\"mem_mb\":1}},"
    "{\"name\":\"closed\",\"class\":\"q\",\"teams\":[\"u\"],"
    "\"need\":{\"cpu_milli\":1,\"mem_mb\":1}},"
    "{\"name\":\"job\",\"class\":\"j\","
    "\"need\":{\"cpu_milli\":1,\"mem_mb\":1}}]}";

/* Route module of an entry instance that knows the owner of its domain. */
struct fixture {
	struct agb_env *env;
	struct agb_member *member;
	struct agb_route *route;
	struct agb_route_input in;
	struct agb_effects out;
};

static void
set_up(struct fixture *f)
{
	static const struct agb_member_config mcfg = {
	    .instance = "i", .region = "r", .domain = "a", .rpc = "self:1"};
	static const struct agb_route_config rcfg = {.instance = "i",
	    .region = "r",
	    .domain = "a",
	    .call_timeout_ms = 5000,
	    .seed = 1};
	struct agb_findings *const findings = agb_xcalloc(1, sizeof(*findings));

	memset(f, 0, sizeof(*f));
	agb_env_parse(doc, strlen(doc), 3, &f->env, findings);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->env);
	if (f->env == NULL)
		abort();
	free(findings);
	f->member = agb_member_new(&mcfg);
	f->route = agb_route_new(&rcfg);
	f->in.env = f->env;
	f->in.member = f->member;
	f->in.owner = "owner:1";
}

static void
tear_down(struct fixture *f)
{
	agb_route_free(f->route);
	agb_member_free(f->member);
	agb_env_free(f->env);
	agb_effects_free(&f->out);
}

/* Returns the latest effect of a type, or NULL. */
static struct agb_effect *
find_effect(struct fixture *f, enum agb_effect_type type)
{
	size_t i;

	for (i = f->out.len; i > 0; i--) {
		if (f->out.items[i - 1].type == type)
			return &f->out.items[i - 1];
	}
	return NULL;
}

/* Returns the latest effect of a type; aborts the test if there is none. */
static const struct agb_effect *
require_effect(struct fixture *f, enum agb_effect_type type)
{
	const struct agb_effect *const ef = find_effect(f, type);

	CU_ASSERT_PTR_NOT_NULL_FATAL(ef);
	if (ef == NULL)
		abort();
	return ef;
}

static void
step(struct fixture *f, agb_time now, const struct agb_event *ev)
{
	agb_effects_clear(&f->out);
	agb_route_step(f->route, now, ev, &f->in, &f->out);
}

static void
submit_call(struct fixture *f, const char *work, bool idempotent,
    const char *credential)
{
	struct agb_event ev = {.type = AGB_EV_CALL};

	ev.u.call.id = 7;
	ev.u.call.kind = AGB_CALL_QUICK;
	ev.u.call.idempotent = idempotent;
	agb_str_copy(ev.u.call.work, AGB_NAME_LEN, work);
	agb_str_copy(
	    ev.u.call.credential, sizeof(ev.u.call.credential), credential);
	step(f, NOW, &ev);
}

/* Replies to the pending GRANT. */
static void
reply_grant(struct fixture *f, bool granted, enum agb_reason reason)
{
	struct agb_event ev = {.type = AGB_EV_RPC_REPLY, .rpc_ok = true};
	const struct agb_effect *const rpc = require_effect(f, AGB_EF_RPC_CALL);
	agb_x_grant_res *const g = &ev.u.rpc_res.agb_x_res_u.grant;

	CU_ASSERT_EQUAL(rpc->u.rpc_args.proc, AGB_X_GRANT);
	ev.tag = rpc->tag;
	ev.u.rpc_res.proc = AGB_X_GRANT;
	g->granted = granted;
	g->attempt.epoch = 4;
	g->attempt.seq = 1;
	g->worker = agb_xstrdup("w0");
	g->runner = agb_xstrdup("runner:1");
	g->detail = agb_xstrdup("told");
	g->outcome = AGB_OUTCOME_NOT_RUN;
	g->reason = (int)reason;
	step(f, NOW, &ev);
	agb_event_free(&ev);
}

static void
end_attempt(struct fixture *f, agb_time now, enum agb_result result)
{
	struct agb_event ev = {.type = AGB_EV_UPSTREAM};

	ev.u.upstream_result.call_id = 7;
	ev.u.upstream_result.attempt.epoch = 4;
	ev.u.upstream_result.attempt.seq = 1;
	ev.u.upstream_result.result = result;
	ev.u.upstream_result.reason = AGB_REASON_UPSTREAM_LOST;
	ev.u.upstream_result.http_status = 200;
	step(f, now, &ev);
}

/* Guards against admitting requests that the document does not permit, and
 * against refusals with the wrong reason. */
static void
test_authorize(void)
{
	static const struct {
		const char *work;
		const char *credential;
		bool no_document;
		int status;
		enum agb_reason reason;
	} cases[] = {
	    {"w", CREDENTIAL, true, 503, AGB_REASON_NO_DOCUMENT},
	    {"w", UNKNOWN_CREDENTIAL, false, 401, AGB_REASON_BAD_CREDENTIAL},
	    {"w", "", false, 401, AGB_REASON_BAD_CREDENTIAL},
	    {"none", CREDENTIAL, false, 404, AGB_REASON_NO_SERVICE},
	    {"job", CREDENTIAL, false, 404, AGB_REASON_NO_SERVICE},
	    {"closed", CREDENTIAL, false, 403, AGB_REASON_NOT_ALLOWED},
	};
	const struct agb_effect *ef;
	struct fixture f;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		set_up(&f);
		if (cases[i].no_document)
			f.in.env = NULL;
		submit_call(&f, cases[i].work, false, cases[i].credential);
		ef = require_effect(&f, AGB_EF_REPLY);
		CU_ASSERT_EQUAL(ef->u.reply.http_status, cases[i].status);
		CU_ASSERT_EQUAL(ef->u.reply.reason, cases[i].reason);
		CU_ASSERT_EQUAL(ef->u.reply.outcome, AGB_OUTCOME_NOT_RUN);
		CU_ASSERT_EQUAL(agb_route_pending(f.route), 0);
		tear_down(&f);
	}
}

/* Guards against retrying a non-idempotent request that may have run, and
 * against reporting not-run for a request that may have run. */
static void
test_attempts(void)
{
	static const struct {
		bool idempotent;
		enum agb_result result;
		bool retried;
		bool forwarded;
		enum agb_outcome outcome;
	} cases[] = {
	    {false, AGB_RESULT_OK, false, true, AGB_OUTCOME_RAN},
	    {false, AGB_RESULT_LOST, false, false, AGB_OUTCOME_UNKNOWN},
	    {true, AGB_RESULT_LOST, true, false, AGB_OUTCOME_UNKNOWN},
	    {false, AGB_RESULT_NOT_STARTED, true, false, AGB_OUTCOME_NOT_RUN},
	    {true, AGB_RESULT_NOT_STARTED, true, false, AGB_OUTCOME_NOT_RUN},
	};
	const struct agb_event tick = {.type = AGB_EV_TICK};
	const struct agb_effect *ef;
	struct fixture f;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		set_up(&f);
		submit_call(&f, "w", cases[i].idempotent, CREDENTIAL);
		reply_grant(&f, true, AGB_REASON_NONE);
		ef = require_effect(&f, AGB_EF_UPSTREAM);
		CU_ASSERT_STRING_EQUAL(ef->u.upstream.runner, "runner:1");
		end_attempt(&f, NOW, cases[i].result);
		ef = require_effect(&f, AGB_EF_RPC_CALL);
		CU_ASSERT_EQUAL(ef->u.rpc_args.proc, AGB_X_RELEASE);
		CU_ASSERT_EQUAL(find_effect(&f, AGB_EF_FORWARD) != NULL,
		    cases[i].forwarded);
		ef = find_effect(&f, AGB_EF_REPLY);
		CU_ASSERT_EQUAL(
		    ef == NULL, cases[i].retried || cases[i].forwarded);
		if (!cases[i].retried) {
			if (ef != NULL)
				CU_ASSERT_EQUAL(
				    ef->u.reply.outcome, cases[i].outcome);
			tear_down(&f);
			continue;
		}
		/* The GRANT for the retry is refused. The outcome reported to
		 * the client then depends on whether the first attempt may
		 * have run. */
		step(&f, NOW + 900 * AGB_MS, &tick);
		reply_grant(&f, false, AGB_REASON_DEADLINE);
		ef = require_effect(&f, AGB_EF_REPLY);
		CU_ASSERT_EQUAL(ef->u.reply.outcome, cases[i].outcome);
		tear_down(&f);
	}
}

/* Guards against leaked slots: a grant that arrives after the client has
 * disconnected must be released, and a release must be resent until it is
 * acknowledged. */
static void
test_grant_returned(void)
{
	const struct agb_event tick = {.type = AGB_EV_TICK};
	struct agb_event closed = {.type = AGB_EV_CALL_CLOSED, .call_id = 7};
	struct agb_event lost = {.type = AGB_EV_RPC_REPLY};
	uint64_t grant_tag;
	const struct agb_effect *ef;
	struct fixture f;
	struct agb_event ev = {.type = AGB_EV_RPC_REPLY, .rpc_ok = true};

	set_up(&f);
	submit_call(&f, "w", false, CREDENTIAL);
	grant_tag = require_effect(&f, AGB_EF_RPC_CALL)->tag;
	step(&f, NOW, &closed);
	ev.tag = grant_tag;
	ev.u.rpc_res.proc = AGB_X_GRANT;
	ev.u.rpc_res.agb_x_res_u.grant.granted = true;
	step(&f, NOW, &ev);
	ef = require_effect(&f, AGB_EF_RPC_CALL);
	CU_ASSERT_EQUAL(ef->u.rpc_args.proc, AGB_X_RELEASE);
	CU_ASSERT_EQUAL(
	    ef->u.rpc_args.agb_x_args_u.release.items.items_val[0].result,
	    AGB_RESULT_NOT_STARTED);
	lost.tag = ef->tag;
	step(&f, NOW, &lost);
	CU_ASSERT_EQUAL(agb_route_pending(f.route), 1);
	step(&f, NOW + AGB_SEC, &tick);
	ef = require_effect(&f, AGB_EF_RPC_CALL);
	lost.tag = ef->tag;
	lost.rpc_ok = true;
	lost.u.rpc_res.proc = AGB_X_RELEASE;
	step(&f, NOW + AGB_SEC, &lost);
	CU_ASSERT_EQUAL(agb_route_pending(f.route), 0);
	tear_down(&f);
}

/* Guards against a request that is refused immediately, or never retried, while
 * ownership of a shard changes. */
static void
test_no_owner(void)
{
	const struct agb_event tick = {.type = AGB_EV_TICK};
	const struct agb_effect *ef;
	struct fixture f;

	set_up(&f);
	f.in.owner = "";
	submit_call(&f, "w", false, CREDENTIAL);
	CU_ASSERT_PTR_NULL(find_effect(&f, AGB_EF_REPLY));
	step(&f, NOW + 500 * AGB_MS, &tick);
	CU_ASSERT_PTR_NULL(find_effect(&f, AGB_EF_REPLY));
	f.in.owner = "owner:2";
	step(&f, NOW + 700 * AGB_MS, &tick);
	ef = require_effect(&f, AGB_EF_RPC_CALL);
	CU_ASSERT_STRING_EQUAL(ef->peer, "owner:2");
	tear_down(&f);
}

/* Adds another shard by delivering its owner's summary. */
static void
add_shard(struct fixture *f, const char *domain, uint32_t wait_ms)
{
	static const struct agb_member_input in = {.owner = "owner:1"};
	struct agb_event ev = {.type = AGB_EV_RPC_CALL};
	agb_x_shard *const s = &ev.u.rpc_args.agb_x_args_u.summary.shard;

	ev.u.rpc_args.proc = AGB_X_SUMMARY;
	s->domain = agb_xstrdup(domain);
	s->owner_rpc = agb_xasprintf("owner-%s:1", domain);
	s->epoch = 9;
	s->serial = 1;
	s->wait_ms = wait_ms;
	agb_member_step(f->member, NOW, &ev, &in, &f->out);
	agb_event_free(&ev);
}

/* Guards against sending a request to another domain or region when the shorter
 * wait does not outweigh the cost of the transfer. Weights of the document: 1
 * per millisecond of delay, 10 per KiB of cross-region traffic. */
static void
test_choice(void)
{
	static const struct {
		uint32_t own_ms;
		uint32_t near_ms;
		uint32_t far_ms;
		uint64_t bytes;
		const char *owner;
	} cases[] = {
	    {0, 0, 0, 100, "owner:1"},
	    {2, 0, 0, 100, "owner:1"},
	    {3, 0, 0, 100, "owner-c:1"},
	    {20, 20, 0, 100, "owner:1"},
	    {27, 27, 0, 100, "owner-b:1"},
	    {27, 27, 0, 4096, "owner:1"},
	    {60, 60, 0, 4096, "owner-b:1"},
	};
	struct agb_event ev = {.type = AGB_EV_CALL};
	agb_x_shard own = {.domain = "a", .owner_rpc = "owner:1"};
	struct fixture f;
	size_t i;

	ev.u.call.id = 7;
	agb_str_copy(ev.u.call.work, AGB_NAME_LEN, "w");
	agb_str_copy(
	    ev.u.call.credential, sizeof(ev.u.call.credential), CREDENTIAL);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		set_up(&f);
		own.wait_ms = cases[i].own_ms;
		f.in.shard = &own;
		add_shard(&f, "c", cases[i].near_ms);
		add_shard(&f, "b", cases[i].far_ms);
		ev.u.call.body_bytes = cases[i].bytes;
		step(&f, NOW, &ev);
		CU_ASSERT_STRING_EQUAL(
		    require_effect(&f, AGB_EF_RPC_CALL)->peer, cases[i].owner);
		tear_down(&f);
	}
}

static const struct suite_test tests[] = {
    {"authorize", test_authorize},
    {"attempts", test_attempts},
    {"grant_returned", test_grant_returned},
    {"no_owner", test_no_owner},
    {"choice", test_choice},
};

int
main(void)
{
	return suite_run("route", tests, sizeof(tests) / sizeof(tests[0]));
}

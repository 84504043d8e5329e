/**
 * DOC: test_wf_shared_id
 *
 * Jobs of several queues whose clients have chosen the same id: which job a
 * request means, what is stored, how the runs at the runners are told apart, and
 * what is left when they have ended. The request handler alone, and whole
 * instances in simulated time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "front_fixture.h"
#include "runner.h"
#include "sim_fixture.h"
#include "wf_codec.h"

#define MARK_KEY "ab/j/" JOB ".c"
#define SECOND_MARK_KEY "ab/j/" JOB "~1.c"
#define THIRD_MARK_KEY "ab/j/" JOB "~2.c"

/* ---- requests ---- */

#define ROUTE(name, prefix) \
	"{\"name\":\"" name "\",\"host\":\"h\",\"prefix\":\"/" prefix "/\"}"
#define DOC(version, routes) \
	"{\"version\":" #version ",\"routes\":[" routes "]}"

static const char *const docs[] = {
    DOC(1, ROUTE("q", "q") "," ROUTE("r", "r") "," ROUTE("s", "s")),
    /* The route /q/ gets another name. */
    DOC(2, ROUTE("q9", "q") "," ROUTE("r", "r") "," ROUTE("s", "s")),
    /* The queue q gets another prefix. */
    DOC(2, ROUTE("q", "moved") "," ROUTE("r", "r") "," ROUTE("s", "s")),
    /* The queue q is removed. */
    DOC(2, ROUTE("r", "r") "," ROUTE("s", "s")),
};

enum step_kind {
	END,
	POST,
	GET,
	DELETE,
	OTHER_INSTANCE, /* the next requests reach one that knows nothing */
	DOCUMENT,	/* @status is the index of the new one */
	PUSH,	    /* the leader pushes that the job of @path is completed */
	OLD_RECORD, /* an earlier version has stored a job of the queue @path */
	HAS,	    /* whether a record with the key @path is stored */
};

struct step {
	enum step_kind kind;
	const char *path;
	int status;
	const char *state; /* in the answer to a GET; NULL for any */
};

#define STEPS_MAX 14
#define DO(kind, path, status)             \
	{                                  \
		kind, path, (status), NULL \
	}
#define SHOWN(path, state)            \
	{                             \
		GET, path, 200, state \
	}
#define ELSEWHERE DO(OTHER_INSTANCE, NULL, 0)
#define DOCUMENT_IS(index) DO(DOCUMENT, NULL, index)

/* Pushes the state of a job as the leader does, with the tag of its route. */
static void
push_completed(struct fixture *x, const char *id, const char *path)
{
	const struct wf_queue *const q = wf_doc_route(x->doc, "h", path);
	char val[WF_PUSHED_STATE_MAX], key[WF_KEY_MAX];
	struct agb_store_kv kv = {.key = key, .val = val};

	CU_ASSERT_FATAL(q != NULL && q->route_tag != 0);
	wf_table_make_key(key, 'v', id);
	kv.val_len =
	    wf_table_encode_pushed_state(val, WF_JOB_COMPLETED, q->route_tag);
	wf_table_apply(&x->table, &kv);
}

static int
request(struct fixture *x, const struct step *step)
{
	static const enum wf_call_kind kinds[] = {[POST] = WF_CALL_SUBMIT,
	    [GET] = WF_CALL_GET,
	    [DELETE] = WF_CALL_CANCEL};
	char path[64];

	snprintf(path, sizeof(path), "%s" JOB, step->path);
	return send_call(x, kinds[step->kind], path, "");
}

/* Return: whether the step went as expected. */
static bool
do_step(struct fixture *x, const struct step *step)
{
	switch (step->kind) {
	case OTHER_INSTANCE:
		forget_all(x);
		return true;
	case DOCUMENT:
		set_doc(x, docs[step->status]);
		return true;
	case PUSH:
		push_completed(x, JOB, step->path);
		return true;
	case OLD_RECORD:
		put_submission(x, JOB_KEY, step->path, "");
		return true;
	case HAS:
		return (find_record(x, step->path) != NULL) == step->status;
	default:
		return request(x, step) == step->status &&
		    (step->state == NULL ||
			strcmp(wf_job_state_name(x->reply.state),
			    step->state) == 0);
	}
}

/* Guards against a job that is taken for one of another route with the same id:
 * it is never run and shown in the other's state, or the other one is read or
 * cancelled (review, case 12); and against a job that is not found any more when
 * its route or its queue changes, or that is stored twice. */
static void
requests_mean_jobs_of_their_route(void)
{
	static const struct step cases[][STEPS_MAX] = {
	    {DO(POST, "/q/", 200), DO(POST, "/r/", 200), DO(HAS, JOB_KEY, 1),
		DO(HAS, SECOND_KEY, 1), SHOWN("/q/", "queued"),
		SHOWN("/r/", "queued"), DO(GET, "/s/", 410)},
	    /* Each request reaches another instance. */
	    {DO(POST, "/r/", 200), ELSEWHERE, DO(POST, "/q/", 200), ELSEWHERE,
		SHOWN("/q/", "queued"), ELSEWHERE, SHOWN("/r/", "queued"),
		ELSEWHERE, DO(GET, "/s/", 410), DO(HAS, SECOND_KEY, 1)},
	    /* Requests that arrive again. */
	    {DO(POST, "/q/", 200), DO(POST, "/q/", 200), DO(POST, "/r/", 200),
		DO(POST, "/r/", 200), ELSEWHERE, DO(POST, "/r/", 200),
		DO(POST, "/q/", 200), DO(HAS, SECOND_KEY, 1),
		DO(HAS, "ab/j/" JOB "~2", 0)},
	    /* A job of one route only. */
	    {DO(POST, "/q/", 200), DO(GET, "/r/", 410), DO(DELETE, "/r/", 410),
		SHOWN("/q/", "queued"), DO(HAS, MARK_KEY, 0)},
	    {DO(POST, "/q/", 200), ELSEWHERE, DO(GET, "/r/", 410), ELSEWHERE,
		DO(DELETE, "/r/", 410), ELSEWHERE, SHOWN("/q/", "queued"),
		DO(HAS, MARK_KEY, 0)},
	    /* One of two is cancelled. */
	    {DO(POST, "/q/", 200), DO(POST, "/r/", 200), DO(DELETE, "/r/", 200),
		SHOWN("/q/", "queued"), SHOWN("/r/", "cancelled"),
		DO(HAS, MARK_KEY, 0), DO(HAS, SECOND_MARK_KEY, 1)},
	    {DO(POST, "/q/", 200), DO(POST, "/r/", 200), ELSEWHERE,
		DO(DELETE, "/q/", 200), SHOWN("/r/", "queued"),
		DO(HAS, MARK_KEY, 1), DO(HAS, SECOND_MARK_KEY, 0)},
	    /* A cancellation before the submission keeps it from being stored,
	     * and no other one. */
	    {DO(DELETE, "/r/", 410), DO(POST, "/q/", 200), DO(POST, "/r/", 503),
		DO(POST, "/s/", 200), DO(POST, "/r/", 503), ELSEWHERE,
		DO(POST, "/r/", 503), SHOWN("/q/", "queued"),
		SHOWN("/s/", "queued"), DO(GET, "/r/", 410),
		DO(HAS, MARK_KEY, 0), DO(HAS, THIRD_MARK_KEY, 1)},
	    {DO(DELETE, "/q/", 410), ELSEWHERE, DO(DELETE, "/r/", 410),
		ELSEWHERE, DO(POST, "/s/", 200), ELSEWHERE,
		DO(POST, "/q/", 503), ELSEWHERE, DO(POST, "/r/", 503),
		SHOWN("/s/", "queued"), DO(HAS, MARK_KEY, 0),
		DO(HAS, SECOND_KEY, 0)},
	    /* What the leader pushes is enough for its own route. */
	    {DO(POST, "/q/", 200), ELSEWHERE, DO(PUSH, "/q/", 0),
		SHOWN("/q/", "completed"), DO(GET, "/r/", 410),
		DO(POST, "/r/", 200), SHOWN("/r/", "queued"),
		SHOWN("/q/", "completed"), DO(HAS, SECOND_KEY, 1)},
	    /* The route gets another name, the queue another prefix. */
	    {DO(POST, "/q/", 200), DO(POST, "/r/", 200), DOCUMENT_IS(1),
		SHOWN("/q/", "queued"), DO(POST, "/q/", 200), ELSEWHERE,
		SHOWN("/q/", "queued"), SHOWN("/r/", "queued"),
		DO(GET, "/s/", 410), DO(DELETE, "/s/", 410),
		DO(HAS, "ab/j/" JOB "~2", 0)},
	    {DO(POST, "/q/", 200), DOCUMENT_IS(1), ELSEWHERE,
		DO(DELETE, "/r/", 410), DO(POST, "/s/", 200),
		SHOWN("/q/", "queued"), DO(DELETE, "/q/", 200),
		DO(HAS, MARK_KEY, 1), SHOWN("/s/", "queued")},
	    {DO(POST, "/q/", 200), DO(POST, "/r/", 200), DOCUMENT_IS(2),
		SHOWN("/moved/", "queued"), ELSEWHERE,
		SHOWN("/moved/", "queued"), DO(DELETE, "/moved/", 200),
		SHOWN("/r/", "queued"), DO(HAS, MARK_KEY, 1)},
	    {DO(POST, "/q/", 200), DOCUMENT_IS(3), DO(GET, "/r/", 410),
		DO(POST, "/r/", 200), DO(HAS, SECOND_KEY, 1)},
	    /* An earlier version has stored the job. */
	    {DO(OLD_RECORD, "q", 0), SHOWN("/q/", "queued"),
		DO(GET, "/r/", 410), DO(POST, "/r/", 200), DO(POST, "/q/", 200),
		DO(HAS, SECOND_KEY, 1), DO(DELETE, "/q/", 200),
		SHOWN("/r/", "queued")},
	    {DO(OLD_RECORD, "q", 0), DOCUMENT_IS(1), SHOWN("/q/", "queued"),
		ELSEWHERE, DO(POST, "/q/", 200), DO(HAS, SECOND_KEY, 0)},
	};
	struct fixture x;
	size_t i, k;

	for (i = 0; i < LEN(cases); i++) {
		fixture_init(&x, docs[0]);
		for (k = 0; cases[i][k].kind != END; k++) {
			if (do_step(&x, &cases[i][k]))
				continue;
			printf("\ncase %zu, step %zu: status %d, state %s ", i,
			    k, x.reply.http_status,
			    wf_job_state_name(x.reply.state));
			CU_FAIL("step");
		}
		fixture_free(&x);
	}
}

/* Guards against a job that takes the key of another one when all keys for its id
 * are in use. */
static void
keys_for_one_id_are_limited(void)
{
	char *doc = agb_xstrdup("{\"version\":1,\"routes\":["), *next;
	struct fixture x;
	char path[64];
	unsigned i;

	for (i = 0; i <= WF_JOBS_PER_ID; i++) {
		next = agb_xasprintf("%s%s{\"name\":\"q%u\",\"host\":\"h\","
				     "\"prefix\":\"/q%u/\"}",
		    doc, i > 0 ? "," : "", i, i);
		free(doc);
		doc = next;
	}
	next = agb_xasprintf("%s]}", doc);
	fixture_init(&x, next);
	for (i = 0; i <= WF_JOBS_PER_ID; i++) {
		snprintf(path, sizeof(path), "/q%u/" JOB, i);
		CU_ASSERT_EQUAL(send_call(&x, WF_CALL_SUBMIT, path, ""),
		    i < WF_JOBS_PER_ID ? 200 : 503);
	}
	/* That of the last queue is not stored. */
	CU_ASSERT_EQUAL(send_call(&x, WF_CALL_GET, path, ""), 410);
	CU_ASSERT_EQUAL(send_call(&x, WF_CALL_CANCEL, path, ""), 410);
	for (i = 0; i < WF_JOBS_PER_ID; i++) {
		forget_all(&x);
		snprintf(path, sizeof(path), "/q%u/" JOB, i);
		CU_ASSERT_EQUAL(send_call(&x, WF_CALL_GET, path, ""), 200);
	}
	fixture_free(&x);
	free(next);
	free(doc);
}

/* Guards against two ids that differ in the case of a digit and are taken for
 * one: their tasks have different names. */
static void
case_of_digits_matters(void)
{
	struct fixture x;

	fixture_init(&x, docs[0]);
	CU_ASSERT_EQUAL(send_call(&x, WF_CALL_SUBMIT, "/q/" JOB, ""), 200);
	CU_ASSERT_EQUAL(
	    send_call(&x, WF_CALL_GET, "/q/00000000000000AA", ""), 410);
	CU_ASSERT_EQUAL(
	    send_call(&x, WF_CALL_SUBMIT, "/q/00000000000000AA", ""), 200);
	CU_ASSERT_PTR_NOT_NULL(find_record(&x, "ab/j/00000000000000AA"));
	fixture_free(&x);
}

/* Guards against a write to a key whose job is followed by no other one, after
 * the job before it was deleted: the next request would not find it. */
static void
deleted_job_leaves_no_gap(void)
{
	struct fixture x;

	fixture_init(&x, docs[0]);
	CU_ASSERT_EQUAL(send_call(&x, WF_CALL_SUBMIT, "/q/" JOB, ""), 200);
	remove_record(&x, JOB_KEY);
	CU_ASSERT_EQUAL(send_call(&x, WF_CALL_SUBMIT, "/r/" JOB, ""), 200);
	CU_ASSERT_PTR_NULL(find_record(&x, SECOND_KEY));
	forget_all(&x);
	CU_ASSERT_EQUAL(send_call(&x, WF_CALL_GET, "/r/" JOB, ""), 200);
	CU_ASSERT_EQUAL(send_call(&x, WF_CALL_GET, "/q/" JOB, ""), 410);
	fixture_free(&x);
}

/* ---- records and messages ---- */

/* Guards against a record of an earlier version that is read differently, against
 * one that an earlier version cannot read, and against a period that is taken for
 * the tag of a route. */
static void
records_hold_the_route(void)
{
	static const struct {
		const char *account;
		int64_t start_ms;
		uint32_t tag, period_ms, times;
		uint32_t stored_period_ms, read_tag, read_period_ms;
	} cases[] = {
	    {"", 0, 0, 0, 1, 0, 0, 0},
	    {"", 0, 0xabcdef, 0, 1, 0xffabcdef, 0xabcdef, 0},
	    {"a", 0, 0xabcdef, 0, 1, 0xffabcdef, 0xabcdef, 0},
	    {"", 0, 0xabcdef, 250, 3, 250, 0xabcdef, 250},
	    {"", 1790000000000, 0xabcdef, 250, 3, 250, 0xabcdef, 250},
	    {"a", 1790000000000, 0xabcdef, 250, 1, 250, 0xabcdef, 250},
	    {"", 0, 0, 0xffabcdef, 1, 0, 0, 0},
	    {"", 0, 0, 0xffabcdef, 2, 0xffabcdef, 0, 0xffabcdef},
	};
	struct wf_x_job old;
	struct wf_spec *s, read;
	size_t i, len;
	char *raw;
	XDR xdr;

	for (i = 0; i < LEN(cases); i++) {
		s = new_spec(1, 1000, 100, false);
		agb_str_copy(s->queue, sizeof(s->queue), "q");
		agb_str_copy(s->account, sizeof(s->account), cases[i].account);
		s->route_tag = cases[i].tag;
		s->period_ms = cases[i].period_ms;
		s->repeat_count = cases[i].times;
		s->start_at_ms = cases[i].start_ms;
		raw = wf_table_encode_spec(s, &len);
		CU_ASSERT_FATAL(wf_table_decode_spec(raw, len, &read));
		CU_ASSERT_EQUAL(read.route_tag, cases[i].read_tag);
		CU_ASSERT_EQUAL(read.period_ms, cases[i].read_period_ms);
		CU_ASSERT_STRING_EQUAL(read.account, cases[i].account);
		/* As an earlier version reads it. */
		memset(&old, 0, sizeof(old));
		xdrmem_create(&xdr, raw, (u_int)len, XDR_DECODE);
		CU_ASSERT(xdr_wf_x_job(&xdr, &old));
		CU_ASSERT_STRING_EQUAL(old.queue, "q");
		CU_ASSERT_EQUAL(old.period_ms, cases[i].stored_period_ms);
		xdr_destroy(&xdr);
		xdr_free((xdrproc_t)xdr_wf_x_job, (char *)&old);
		wf_spec_free(&read);
		free(raw);
		spec_destroy(s);
	}
}

/* Guards against two documents' routes that share a tag, so that one would be
 * shown the jobs of the other, and against a tag that a change of the name or of
 * the case of the host changes. */
static void
tags_name_routes(void)
{
	struct wf_doc *const doc =
	    parse_doc("{\"version\":1,\"routes\":["
		      "{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\"},"
		      "{\"name\":\"b\",\"host\":\"h\",\"prefix\":\"/b/\"},"
		      "{\"name\":\"c\",\"host\":\"H2\",\"prefix\":\"/a/\"}]}");
	struct wf_doc *const renamed =
	    parse_doc("{\"version\":2,\"routes\":["
		      "{\"name\":\"z\",\"host\":\"H\",\"prefix\":\"/a/\"},"
		      "{\"name\":\"c\",\"host\":\"h2\",\"prefix\":\"/a/\"}]}");
	const uint32_t a = wf_doc_queue(doc, "a")->route_tag;
	const uint32_t b = wf_doc_queue(doc, "b")->route_tag;
	const uint32_t c = wf_doc_queue(doc, "c")->route_tag;

	CU_ASSERT(a != 0 && b != 0 && c != 0);
	CU_ASSERT(a != b && b != c && a != c);
	CU_ASSERT_EQUAL(a >> WF_ROUTE_TAG_BITS, 0);
	CU_ASSERT_EQUAL(wf_doc_queue(renamed, "z")->route_tag, a);
	CU_ASSERT_EQUAL(wf_doc_queue(renamed, "c")->route_tag, c);
	wf_doc_free(doc);
	wf_doc_free(renamed);
}

/* Guards against a pushed state that loses its route or its state on the way, and
 * against one that an earlier version reads as another state. */
static void
pushes_name_the_route(void)
{
	static const struct {
		const char *key;
		uint32_t tag;
		bool compact;
	} cases[] = {
	    {"ab/v/" JOB, 0, true},
	    {"ab/v/" JOB, 0xabcdef, true},
	    {"ab/v/" JOB "~1", 0xabcdef, false},
	};
	char val[WF_PUSHED_STATE_MAX];
	struct wf_record rec = {.val = val};
	struct wf_effect ef = {0};
	struct wf_codec_push p;
	agb_x_args args;
	uint32_t tag;
	size_t i;

	ef.u.push.items = &rec;
	ef.u.push.len = 1;
	for (i = 0; i < LEN(cases); i++) {
		agb_str_copy(rec.key, sizeof(rec.key), cases[i].key);
		rec.len = wf_table_encode_pushed_state(
		    val, WF_JOB_CANCELLED, cases[i].tag);
		wf_codec_encode_push(&ef, &args);
		CU_ASSERT_EQUAL(
		    args.agb_x_args_u.push.states.states_len, cases[i].compact);
		if (cases[i].compact)
			CU_ASSERT_EQUAL(
			    (char)args.agb_x_args_u.push.states.states_val[0]
				.state,
			    WF_JOB_CANCELLED);
		wf_codec_decode_push(&args.agb_x_args_u.push, &p);
		CU_ASSERT_EQUAL_FATAL(p.len, 1);
		CU_ASSERT_STRING_EQUAL(p.items[0].key, cases[i].key);
		CU_ASSERT_EQUAL(wf_table_decode_pushed_state(
				    p.items[0].val, p.items[0].val_len, &tag),
		    WF_JOB_CANCELLED);
		CU_ASSERT_EQUAL(tag, cases[i].tag);
		wf_codec_push_free(&p);
		free(args.agb_x_args_u.push.records.records_val);
		free(args.agb_x_args_u.push.states.states_val);
	}
}

/* ---- numbers of runs ---- */

/* Guards against a run that is taken for one of another job, and against a number
 * that is not higher than those that a runner may have ended. */
static void
run_numbers_name_jobs(void)
{
	static const struct {
		uint32_t after, ordinal;
		bool shared;
		uint32_t next;
	} cases[] = {
	    {0, 0, false, 1},
	    {41, 0, false, 42},
	    {WF_SHARED_RUN_MIN - 1, 0, false, WF_SHARED_RUN_MIN},
	    {WF_SHARED_RUN_MIN, 0, false, WF_SHARED_RUN_MIN + WF_JOBS_PER_ID},
	    {3, 0, true, WF_SHARED_RUN_MIN},
	    {0, 1, true, WF_SHARED_RUN_MIN + 1},
	    {0, 15, true, WF_SHARED_RUN_MIN + 15},
	    {WF_SHARED_RUN_MIN + 1, 0, true,
		WF_SHARED_RUN_MIN + WF_JOBS_PER_ID},
	    {WF_SHARED_RUN_MIN + WF_JOBS_PER_ID, 1, true,
		WF_SHARED_RUN_MIN + WF_JOBS_PER_ID + 1},
	    {WF_SHARED_RUN_MIN + 2, 1, true,
		WF_SHARED_RUN_MIN + WF_JOBS_PER_ID + 1},
	};
	wf_job_id id;
	uint32_t run;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		run = wf_run_next(
		    cases[i].after, cases[i].ordinal, cases[i].shared);
		CU_ASSERT_EQUAL(run, cases[i].next);
		CU_ASSERT_EQUAL(wf_run_ordinal(run), cases[i].ordinal);
		wf_job_id_of_run(id, JOB, run);
		CU_ASSERT_EQUAL(wf_job_id_ordinal(id), cases[i].ordinal);
		CU_ASSERT(wf_job_id_same_digits(id, JOB));
	}
}

/* Guards against a name at a runner, or a message between instances, that does
 * not lead back to the job: an end of one job would be taken for the other's. */
static void
names_lead_back_to_jobs(void)
{
	static const struct {
		const char *job;
		uint32_t run;
	} cases[] = {
	    {JOB, 1},
	    {JOB, WF_SHARED_RUN_MIN},
	    {JOB "~1", WF_SHARED_RUN_MIN + 1},
	    {JOB "~f", WF_SHARED_RUN_MIN + 31},
	};
	struct wf_order o = {.kind = WF_ORDER_STOP};
	struct wf_effect ef = {0};
	struct wf_order_batch read;
	agb_x_args args;
	struct wf_task_ref named;
	char name[96];
	size_t i;

	ef.u.orders.items = &o;
	ef.u.orders.len = 1;
	for (i = 0; i < LEN(cases); i++) {
		agb_str_copy(o.task.job, sizeof(o.task.job), cases[i].job);
		o.task.index = 7;
		o.run = cases[i].run;
		platform_task_format_name(&o.task, name, sizeof(name));
		CU_ASSERT_STRING_EQUAL(name, JOB ".0.0.7");
		CU_ASSERT(platform_task_parse_name(name, &named));
		wf_job_id_of_run(named.job, JOB, cases[i].run);
		CU_ASSERT(wf_task_ref_same(&named, &o.task));
		wf_codec_encode_orders(&ef, &args);
		wf_codec_decode_orders(&args.agb_x_args_u.orders, &read);
		CU_ASSERT(wf_task_ref_same(&read.items[0].task, &o.task));
		wf_order_batch_free(&read);
		free(args.agb_x_args_u.orders.runners.runners_val);
		free(args.agb_x_args_u.orders.orders.orders_val);
	}
}

/* ---- whole instances ---- */

#define FIRST "0000000000004711"
#define SECOND FIRST "~1"
#define THIRD FIRST "~2"
#define FOURTH FIRST "~3"
/* The records of ended jobs are kept for the default of status_s and some
 * 10 s. */
#define KEPT_MS 140000

static const struct sim_queue queues[] = {
    {.name = "q", .priority = 1, .target_ms = 1000, .slack_factor = 2},
    {.name = "cuts", .priority = 1, .target_ms = 1000, .slack_factor = 2},
    {.name = "more", .priority = 1, .target_ms = 1000, .slack_factor = 2},
};

/* Number of instances; the leader and its standbys watch the jobs in the store,
 * the others know what is pushed to them. */
#define CORES 6

static struct sim *
start_queues(unsigned runners)
{
	const struct sim_options o = {.seed = 1,
	    .cores = CORES,
	    .runners = runners,
	    .cpu_milli = 16000,
	    .queues = queues,
	    .queues_len = LEN(queues),
	    .shared_ids = true};

	return start_sim(&o, 500);
}

/* Whether each instance answers that a job is in a state. */
static bool
all_show(struct sim *s, const char *id, const char *state)
{
	bool shown = true;
	unsigned ci;

	for (ci = 0; ci < CORES; ci++) {
		sim_get(s, ci, id);
		sim_run(s, 200);
		shown = shown && sim_get_status(s, id) == 200 &&
		    strcmp(sim_get_state(s, id), state) == 0;
	}
	return shown;
}

static struct wf_spec *
spec_of(uint32_t count, uint32_t ms, bool gang)
{
	struct wf_spec *const spec = sim_new_spec(count, 1000, ms);

	spec->steps[0].gang = gang;
	return spec;
}

/* Guards against the second of two jobs with one id that never starts and is
 * shown in the state of the first (review, case 12), in whichever order and at
 * whichever instances they arrive, whether the first has ended, and after changes
 * of the leader. */
static void
both_jobs_run(void)
{
	static const struct {
		size_t first_queue;
		unsigned gap_ms, second_at, runners;
		bool gangs, leader_killed, all_killed;
	} cases[] = {
	    {0, 1000, 1, 6, false, false, false},
	    {0, 300, 0, 6, false, false, false},
	    {0, 0, 2, 6, false, false, false},
	    {1, 1000, 1, 6, false, false, false},
	    {0, 5000, 1, 6, false, false, false},
	    {0, 1000, 1, 6, true, false, false},
	    {1, 0, 3, 6, true, false, false},
	    {0, 1000, 1, 6, false, true, false},
	    {0, 1000, 1, 6, true, true, false},
	    {0, 1000, 1, 6, false, false, true},
	    {0, 5000, 1, 6, false, false, true},
	    /* The names of all tasks are taken at the only runner. */
	    {0, 100, 1, 1, false, false, false},
	    {0, 100, 1, 1, true, true, false},
	};
	struct sim *s;
	unsigned ci;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		s = start_queues(cases[i].runners);
		sim_submit_to(s, 0, cases[i].first_queue, FIRST,
		    spec_of(4, 3000, cases[i].gangs));
		sim_run(s, cases[i].gap_ms);
		if (cases[i].leader_killed)
			sim_kill(s, (unsigned)sim_leader(s), 600);
		for (ci = 0; cases[i].all_killed && ci < CORES; ci++)
			sim_kill(s, ci, 600);
		if (cases[i].leader_killed || cases[i].all_killed)
			sim_run(s, 4000);
		sim_submit_to(s, cases[i].second_at, 1 - cases[i].first_queue,
		    SECOND, spec_of(2, 2000, cases[i].gangs));
		sim_run(s, 100);
		if (sim_submit_status(s, SECOND) != 200)
			printf("\ncase %zu: status %u ", i,
			    sim_submit_status(s, SECOND));
		CU_ASSERT_EQUAL(sim_submit_status(s, SECOND), 200);
		sim_run(s, 14000);
		CU_ASSERT(sim_start_count(s, FIRST) >= 4);
		CU_ASSERT_EQUAL(sim_start_count(s, SECOND), 2);
		CU_ASSERT(all_show(s, FIRST, "completed"));
		CU_ASSERT(all_show(s, SECOND, "completed"));
		finish_sim(s);
	}
}

/* Guards against a client that reads, cancels or ends the job of another route
 * with the same id. */
static void
jobs_are_cancelled_apart(void)
{
	static const struct {
		const char *cancelled, *left;
		bool killed;
	} cases[] = {
	    {FIRST, SECOND, false},
	    {SECOND, FIRST, false},
	    {SECOND, FIRST, true},
	};
	struct sim *s;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		s = start_queues(6);
		sim_submit_to(s, 0, 0, FIRST, spec_of(4, 8000, false));
		sim_run(s, 300);
		sim_get_elsewhere(s, 2, 1, FIRST);
		sim_cancel_elsewhere(s, 3, 2, FIRST);
		sim_run(s, 300);
		CU_ASSERT_EQUAL(sim_elsewhere_status(s, FIRST), 410);
		sim_submit_to(s, 1, 1, SECOND, spec_of(4, 8000, false));
		sim_run(s, 1000);
		CU_ASSERT_EQUAL(sim_running_count(s, FIRST), 4);
		CU_ASSERT_EQUAL(sim_running_count(s, SECOND), 4);
		sim_cancel(s, 2, cases[i].cancelled);
		if (cases[i].killed)
			sim_kill(s, (unsigned)sim_leader(s), 600);
		sim_run(s, 4000);
		CU_ASSERT_EQUAL(sim_cancel_status(s, cases[i].cancelled), 200);
		CU_ASSERT_EQUAL(sim_running_count(s, cases[i].cancelled), 0);
		CU_ASSERT_EQUAL(sim_running_count(s, cases[i].left), 4);
		sim_run(s, 10000);
		CU_ASSERT(all_show(s, cases[i].cancelled, "cancelled"));
		CU_ASSERT(all_show(s, cases[i].left, "completed"));
		finish_sim(s);
	}
}

/* Guards against a job that waits for the end of one with the same id that has
 * none, and against one that is stopped together with it. */
static void
job_that_lasts_goes_on(void)
{
	struct sim *const s = start_queues(3);
	struct wf_spec *const spec = spec_of(2, 1000, false);

	spec->steps[0].long_running = true;
	sim_submit_to(s, 0, 0, FIRST, spec);
	sim_set_run_time(s, FIRST, 600000);
	sim_run(s, 500);
	sim_submit_to(s, 1, 1, SECOND, spec_of(2, 1000, false));
	sim_run(s, 3000);
	CU_ASSERT_EQUAL(sim_running_count(s, FIRST), 2);
	CU_ASSERT_EQUAL(sim_start_count(s, FIRST), 2);
	CU_ASSERT_EQUAL(sim_start_count(s, SECOND), 2);
	CU_ASSERT(all_show(s, SECOND, "completed"));
	finish_sim(s);
}

/* Guards against records of jobs with one id that stay for ever, or of which the
 * first ones are deleted before the later ones; and against a job that never
 * starts, as the runners have ended runs with higher numbers of jobs with its id
 * that are deleted by now. */
static void
id_is_used_again(void)
{
	static const bool taken_over[] = {false, true};
	struct sim *s;
	size_t i;

	for (i = 0; i < LEN(taken_over); i++) {
		s = start_queues(1);
		sim_submit_to(s, 0, 0, FIRST, spec_of(2, 500, false));
		sim_fail_runs(s, FIRST, 2);
		sim_submit_to(s, 1, 1, SECOND, spec_of(2, 500, false));
		sim_run(s, 30000);
		CU_ASSERT(sim_has_record(s, 'j', FIRST));
		CU_ASSERT(sim_has_record(s, 'j', SECOND));
		sim_run(s, KEPT_MS);
		CU_ASSERT_FALSE(sim_has_record(s, 'j', FIRST));
		CU_ASSERT_FALSE(sim_has_record(s, 'j', SECOND));
		CU_ASSERT_FALSE(sim_has_record(s, 's', SECOND));
		if (taken_over[i])
			sim_kill(s, (unsigned)sim_leader(s), 600);
		sim_run(s, 5000);
		sim_submit_to(s, 0, 2, THIRD, spec_of(2, 500, false));
		sim_run(s, 8000);
		CU_ASSERT(all_show(s, THIRD, "completed"));
		sim_submit_to(s, 2, 0, FOURTH, spec_of(2, 500, false));
		sim_run(s, 8000);
		CU_ASSERT(all_show(s, FOURTH, "completed"));
		finish_sim(s);
	}
}

/* Runs until the records of a job are deleted. */
static void
wait_until_deleted(struct sim *s, const char *id)
{
	unsigned waited;

	for (waited = 0; sim_has_record(s, 'j', id); waited++) {
		CU_ASSERT_FATAL(waited < 2 * KEPT_MS / 100);
		sim_run(s, 100);
	}
}

/* Guards against an instance that still knows a job whose records are deleted
 * when its id is used again: it would take the new job for the old one, answer
 * that it is accepted and not store it, or show it as completed. */
static void
deleted_job_is_not_shown(void)
{
	struct sim *s;
	unsigned at, ci, i;

	for (at = 0; at < CORES; at++) {
		s = start_queues(6);
		sim_submit_to(s, 0, 0, FIRST, spec_of(2, 500, false));
		sim_run(s, 5000);
		wait_until_deleted(s, FIRST);
		sim_run(s, 1000);
		sim_submit_to(s, at, 0, FOURTH, spec_of(2, 4000, false));
		sim_run(s, 50);
		CU_ASSERT_EQUAL(sim_submit_status(s, FOURTH), 200);
		for (i = 0; i < 10; i++) {
			for (ci = 0; ci < CORES; ci++)
				sim_get(s, ci, FOURTH);
			sim_run(s, 300);
		}
		sim_run(s, 5000);
		CU_ASSERT_EQUAL(sim_start_count(s, FOURTH), 2);
		CU_ASSERT(all_show(s, FOURTH, "completed"));
		finish_sim(s);
	}
}

/* Guards against the same in random runs with faults, in which jobs of two queues
 * often have one id. */
static void
random_runs(void)
{
	const unsigned seeds = 24;
	unsigned seed;

	for (seed = 1; seed <= seeds; seed++)
		CU_ASSERT_EQUAL(
		    sim_run_seed(SIM_FIRST_SHARED_ID_SEED + seed, stdout), 0);
}

static const struct suite_test tests[] = {
    {"requests mean jobs of their route", requests_mean_jobs_of_their_route},
    {"keys for one id are limited", keys_for_one_id_are_limited},
    {"case of digits matters", case_of_digits_matters},
    {"deleted job leaves no gap", deleted_job_leaves_no_gap},
    {"records hold the route", records_hold_the_route},
    {"tags name routes", tags_name_routes},
    {"pushes name the route", pushes_name_the_route},
    {"run numbers name jobs", run_numbers_name_jobs},
    {"names lead back to jobs", names_lead_back_to_jobs},
    {"both jobs run", both_jobs_run},
    {"jobs are cancelled apart", jobs_are_cancelled_apart},
    {"job that lasts goes on", job_that_lasts_goes_on},
    {"id is used again", id_is_used_again},
    {"deleted job is not shown", deleted_job_is_not_shown},
    {"random runs", random_runs},
};

int
main(void)
{
	return suite_run(
	    "wf_shared_id", tests, sizeof(tests) / sizeof(tests[0]));
}

#include "workerc.h"

#include "loop.h"
#include "mem.h"
#include "platform_list.h"
#include "platform_part.h"
#include "suite.h"
#include "upstream.h"
#include "worker_part.h"

#define A1 "0000000000000005-0000000000000001"
#define A2 "0000000000000005-0000000000000002"

/* Iterations of the loop, of up to 20 ms each, after which a test fails. */
#define TURNS_MAX 1000

/**
 * struct fixture - clients under test, scripted server, and copies of the data
 * of the last event, which the client frees after the callback
 * @status: HTTP status of the server's responses
 * @script: body of the server's responses
 * @request: last request that the server received
 */
struct fixture {
	uv_loop_t loop;
	struct agb_workerc *c;
	struct agb_platform_list *list;
	struct loop_server server;
	int status;
	const char *script;
	char request[4096];
	int events;
	struct agb_event ev;
	struct agb_worker_task task;
	struct agb_attempt slot;
	struct agb_worker_event event[4];
	char text[64];
	struct agb_worker_usage usage;
	struct agb_command_result result[4];
	struct agb_instance instance;
};

static void
copy_renew(struct fixture *f, const struct agb_ev_renew *r)
{
	size_t i;

	for (i = 0; i < r->events_len && i < 4; i++)
		f->event[i] = r->events[i];
	if (r->events_len > 0)
		agb_str_copy(f->text, sizeof(f->text), r->events[0].text);
	if (r->usage_len > 0)
		f->usage = r->usage[0];
	if (r->slots_len > 0)
		f->slot = r->slots[0];
}

static void
on_event(void *arg, struct agb_event *ev)
{
	struct fixture *const f = arg;
	size_t i;

	f->ev = *ev;
	f->events++;
	switch (ev->type) {
	case AGB_EV_SESSION:
		if (ev->u.session.tasks_len > 0)
			f->task = ev->u.session.tasks[0];
		if (ev->u.session.slots_len > 0)
			f->slot = ev->u.session.slots[0];
		break;
	case AGB_EV_RENEW:
		copy_renew(f, &ev->u.renew);
		break;
	case AGB_EV_COMMANDS:
		for (i = 0; i < ev->u.commands.items_len && i < 4; i++)
			f->result[i] = ev->u.commands.items[i];
		break;
	case AGB_EV_INSTANCES:
		if (ev->u.list.items_len > 0)
			f->instance = ev->u.list.items[0];
		break;
	default:
		CU_FAIL("unexpected event");
		break;
	}
}

static void
on_data(struct loop_conn *c)
{
	struct fixture *const f = c->server->arg;
	const char *const end = strstr(c->in, "\r\n\r\n");
	const char *const length = strcasestr(c->in, "content-length:");
	char head[128];

	if (end == NULL ||
	    (length != NULL && length < end &&
		strlen(end + 4) < strtoul(length + 15, NULL, 10)))
		return;
	agb_str_copy(f->request, sizeof(f->request), c->in);
	c->in_len = 0;
	snprintf(head, sizeof(head),
	    "HTTP/1.1 %d S\r\nContent-Length: %zu\r\n\r\n", f->status,
	    strlen(f->script));
	loop_conn_write(c, head, strlen(head));
	loop_conn_write(c, f->script, strlen(f->script));
}

static void
setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	uv_loop_init(&f->loop);
	f->c = agb_workerc_new(&f->loop, "entry-1", on_event, f);
	loop_server_start(&f->loop, &f->server, on_data, f);
	f->list = agb_platform_list_new(&f->loop, f->server.addr, on_event, f);
}

static void
teardown(struct fixture *f)
{
	agb_workerc_free(f->c);
	agb_platform_list_free(f->list);
	loop_server_close(&f->server);
	loop_close(&f->loop);
}

/* Makes a call to a worker, with two commands if it is AGB_EF_COMMANDS, and waits
 * for its event. */
static void
call(struct fixture *f, const char *addr, enum agb_effect_type type,
    uint64_t after, uint32_t wait_ms)
{
	struct agb_command cmds[2] = {
	    {.kind = AGB_COMMAND_START,
		.task = "j/0",
		.attempt = {5, 1},
		.need = {1000, 64, 0},
		.run_ms = 1,
		.on_isolation = AGB_ISOLATION_STOP,
		.autonomy_ms = 7,
		.args = (char *)(uintptr_t) "{\"use_percent\":50}",
		.args_len = 18},
	    {.kind = AGB_COMMAND_REVOKE, .attempt = {5, 2}}};
	struct agb_effect ef = {.type = type,
	    .tag = 77,
	    .u.worker = {.worker = "w-1",
		.epoch = 5,
		.after_seq = after,
		.wait_ms = wait_ms,
		.ttl_ms = 10000,
		.items = cmds,
		.items_len = 2}};
	const int before = f->events;

	agb_str_copy(ef.u.worker.address, sizeof(ef.u.worker.address), addr);
	agb_workerc_call(f->c, &ef);
	CU_ASSERT_EQUAL(f->events, before);
	loop_until(&f->loop, &f->events, before + 1);
}

#define SESSION(tasks, slots)                                    \
	"{\"epoch\":5,\"boot\":\"b\",\"seq\":3,\"tasks\":" tasks \
	",\"slots\":" slots "}"
#define RENEW(events)                                             \
	"{\"seq\":9,\"leaving\":false,\"usage\":[],\"slots\":[]," \
	"\"events\":" events "}"
#define TASK                                  \
	"{\"task\":\"j/0\",\"attempt\":\"" A1 \
	"\",\"state\":\"running\",\"cpu_milli\":1,\"mem_mb\":2,\"accel\":3}"
#define EVENT(seq, kind, more)                                \
	"{\"seq\":" seq ",\"task\":\"j/0\",\"attempt\":\"" A1 \
	"\",\"kind\":\"" kind "\"" more "}"
#define RESULT(a) "{\"task\":\"\",\"attempt\":\"" a "\",\"ok\":true}"
#define RESULTS(list) "{\"results\":[" list "]}"

/* Guards against using the valid parts of a response that is otherwise invalid,
 * and against treating an error response as a refusal by a higher epoch. */
static void
test_responses(void)
{
	static const struct {
		const char *name;
		enum agb_effect_type type;
		int status;
		const char *body;
		enum agb_worker_status want;
		int rejected;
	} cases[] = {
	    {"session", AGB_EF_SESSION, 200,
		SESSION("[" TASK "]", "[{\"attempt\":\"" A2 "\"}]"),
		AGB_WORKER_OK, 0},
	    {"session of a higher epoch", AGB_EF_SESSION, 409, "{\"epoch\":6}",
		AGB_WORKER_FENCED, 0},
	    {"worker that has restarted", AGB_EF_SESSION, 409, "{\"epoch\":0}",
		AGB_WORKER_FENCED, 0},
	    {"409 without epoch", AGB_EF_SESSION, 409, "{}", AGB_WORKER_LOST,
		1},
	    {"409 of a proxy", AGB_EF_SESSION, 409, "conflict", AGB_WORKER_LOST,
		1},
	    {"500", AGB_EF_SESSION, 500, "{}", AGB_WORKER_LOST, 0},
	    {"other epoch", AGB_EF_SESSION, 200,
		"{\"epoch\":4,\"boot\":\"b\",\"seq\":3,\"tasks\":[],"
		"\"slots\":[]}",
		AGB_WORKER_LOST, 1},
	    {"no slots", AGB_EF_SESSION, 200,
		"{\"epoch\":5,\"boot\":\"b\",\"seq\":3,\"tasks\":[]}",
		AGB_WORKER_LOST, 1},
	    {"task is no object", AGB_EF_SESSION, 200, SESSION("[1]", "[]"),
		AGB_WORKER_LOST, 1},
	    {"negative size", AGB_EF_SESSION, 200,
		SESSION("[{\"task\":\"j/0\",\"attempt\":\"" A1
			"\",\"cpu_milli\":-1,\"mem_mb\":2,\"accel\":3}]",
		    "[]"),
		AGB_WORKER_LOST, 1},
	    {"bad attempt", AGB_EF_SESSION, 200,
		SESSION("[]", "[{\"attempt\":\"5-1\"}]"), AGB_WORKER_LOST, 1},
	    {"not JSON", AGB_EF_SESSION, 200, "{", AGB_WORKER_LOST, 1},
	    {"null", AGB_EF_SESSION, 200, "null", AGB_WORKER_LOST, 1},
	    {"empty", AGB_EF_SESSION, 200, "", AGB_WORKER_LOST, 1},
	    {"renew", AGB_EF_RENEW, 200,
		RENEW("[" EVENT("4", "started", "") "," EVENT(
		    "5", "ended", ",\"exit\":0,\"result\":\"r\"") "]"),
		AGB_WORKER_OK, 0},
	    {"event received before", AGB_EF_RENEW, 200,
		RENEW("[" EVENT("3", "started", "") "]"), AGB_WORKER_LOST, 1},
	    {"events out of order", AGB_EF_RENEW, 200,
		RENEW("[" EVENT("5", "started", "") "," EVENT(
		    "4", "started", "") "]"),
		AGB_WORKER_LOST, 1},
	    {"event beyond the last", AGB_EF_RENEW, 200,
		RENEW("[" EVENT("10", "started", "") "]"), AGB_WORKER_LOST, 1},
	    {"unknown kind", AGB_EF_RENEW, 200,
		RENEW("[" EVENT("4", "paused", "") "]"), AGB_WORKER_LOST, 1},
	    {"end without exit", AGB_EF_RENEW, 200,
		RENEW("[" EVENT("4", "ended", "") "]"), AGB_WORKER_LOST, 1},
	    {"duplicate key", AGB_EF_RENEW, 200,
		RENEW("[" EVENT("4", "started", ",\"seq\":4") "]"),
		AGB_WORKER_LOST, 1},
	    {"renew fenced", AGB_EF_RENEW, 409, "{\"epoch\":6}",
		AGB_WORKER_FENCED, 0},
	    {"commands", AGB_EF_COMMANDS, 200,
		RESULTS(RESULT(A1) "," RESULT(A2)), AGB_WORKER_OK, 0},
	    {"result missing", AGB_EF_COMMANDS, 200, RESULTS(RESULT(A1)),
		AGB_WORKER_LOST, 1},
	    {"results swapped", AGB_EF_COMMANDS, 200,
		RESULTS(RESULT(A2) "," RESULT(A1)), AGB_WORKER_LOST, 1},
	    {"commands fenced", AGB_EF_COMMANDS, 409, "{\"epoch\":9}",
		AGB_WORKER_FENCED, 0},
	};
	enum agb_worker_status status;
	struct fixture f;
	uint64_t epoch;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup(&f);
		f.status = cases[i].status;
		f.script = cases[i].body;
		call(&f, f.server.addr, cases[i].type, 3, 0);
		status = f.ev.u.session.status;
		epoch = f.ev.u.session.epoch;
		if (cases[i].type == AGB_EF_RENEW) {
			status = f.ev.u.renew.status;
			epoch = f.ev.u.renew.epoch;
		} else if (cases[i].type == AGB_EF_COMMANDS) {
			CU_ASSERT_EQUAL(f.ev.u.commands.tag, 77);
			status = f.ev.u.commands.status;
			epoch = f.ev.u.commands.epoch;
		}
		if (status != cases[i].want)
			printf("\n%s: status %d\n", cases[i].name, status);
		CU_ASSERT_EQUAL(status, cases[i].want);
		if (status == AGB_WORKER_FENCED)
			CU_ASSERT_EQUAL(
			    epoch, strtoull(cases[i].body + 9, NULL, 10));
		CU_ASSERT_EQUAL(
		    agb_workerc_rejected_responses(f.c), cases[i].rejected);
		teardown(&f);
	}
}

/* Guards against fields that are lost between JSON and the event or effect. */
static void
test_fields(void)
{
	struct fixture f;

	setup(&f);
	f.status = 200;
	f.script = SESSION("[" TASK "]", "[{\"attempt\":\"" A2 "\"}]");
	call(&f, f.server.addr, AGB_EF_SESSION, 0, 0);
	CU_ASSERT_STRING_EQUAL(f.ev.u.session.worker, "w-1");
	CU_ASSERT_STRING_EQUAL(f.ev.u.session.boot, "b");
	CU_ASSERT_EQUAL(f.ev.u.session.seq, 3);
	CU_ASSERT_STRING_EQUAL(f.task.task, "j/0");
	CU_ASSERT_EQUAL(f.task.attempt.seq, 1);
	CU_ASSERT_EQUAL(f.task.need.accel, 3);
	CU_ASSERT_EQUAL(f.slot.seq, 2);
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    f.request, "{\"epoch\":5,\"owner\":\"entry-1\",\"ttl_ms\":10000}"));

	f.script = "{\"seq\":9,\"leaving\":true,\"usage\":[{\"task\":\"j/0\","
		   "\"cpu_milli\":5,\"mem_mb\":6}],\"slots\":[\"" A2
		   "\"],\"events\":[" EVENT("4", "ended",
		       ",\"exit\":-1,\"result\":\"r\"") "," EVENT("5",
		       "checkpointed", "") "," EVENT("6", "ended",
		       ",\"exit\":3") "," EVENT("7", "started", "") "]}";
	call(&f, f.server.addr, AGB_EF_RENEW, 3, 0);
	CU_ASSERT_TRUE(f.ev.u.renew.leaving);
	CU_ASSERT_EQUAL(f.ev.u.renew.seq, 9);
	CU_ASSERT_EQUAL(f.usage.used.mem_mb, 6);
	CU_ASSERT_EQUAL(f.event[0].result, AGB_RESULT_STOPPED);
	CU_ASSERT_EQUAL(f.event[1].result, AGB_RESULT_CHECKPOINTED);
	CU_ASSERT_EQUAL(f.event[2].result, AGB_RESULT_FAILED);
	CU_ASSERT_TRUE(f.event[3].started);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.request,
	    "{\"epoch\":5,\"after\":3,\"wait_ms\":0,\"usage_ms\":10000,"
	    "\"ttl_ms\":10000}"));
	CU_ASSERT_STRING_EQUAL(f.text, "r");

	f.script = RESULTS(
	    "{\"attempt\":\"" A1 "\",\"ok\":false,\"reason\":\"capacity\"},"
	    "{\"attempt\":\"" A2 "\",\"ok\":true,"
	    "\"busy\":true}");
	call(&f, f.server.addr, AGB_EF_COMMANDS, 0, 0);
	CU_ASSERT_EQUAL(f.result[0].kind, AGB_COMMAND_START);
	CU_ASSERT_FALSE(f.result[0].ok);
	CU_ASSERT_STRING_EQUAL(f.result[0].reason, "capacity");
	CU_ASSERT_EQUAL(f.result[1].kind, AGB_COMMAND_REVOKE);
	CU_ASSERT_TRUE(f.result[1].busy);
	CU_ASSERT_PTR_NOT_NULL(strstr(f.request,
	    "{\"kind\":\"start\",\"task\":\"j/0\",\"attempt\":\"" A1
	    "\",\"cpu_milli\":1000,\"mem_mb\":64,\"accel\":0,\"run_ms\":1,"
	    "\"args\":{\"use_percent\":50},\"on_isolation\":\"stop\","
	    "\"autonomy_ms\":7}"));
	teardown(&f);
}

/* Guards against a client and a stand-in worker that do not understand each
 * other, and against a task that runs twice when its start is repeated. */
static void
test_worker_standin(void)
{
	static const struct worker_opts opts = {.name = "w-1",
	    .listen = "127.0.0.1",
	    .cpu_milli = 1500,
	    .mem_mb = 100,
	    .slots = 1,
	    .connections = 4};
	const char *starts, *addr;
	struct fixture f;
	struct worker *w;
	uint64_t seq;

	setup(&f);
	w = worker_new(&f.loop, &opts);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w);
	addr = worker_agent_addr(w);
	call(&f, addr, AGB_EF_COMMANDS, 0, 0);
	/* The worker refuses commands without a session. */
	CU_ASSERT_EQUAL(f.ev.u.commands.status, AGB_WORKER_FENCED);
	CU_ASSERT_EQUAL(f.ev.u.commands.epoch, 0);
	call(&f, addr, AGB_EF_SESSION, 0, 0);
	CU_ASSERT_EQUAL(f.ev.u.session.status, AGB_WORKER_OK);
	call(&f, addr, AGB_EF_COMMANDS, 0, 0);
	CU_ASSERT_EQUAL(f.ev.u.commands.status, AGB_WORKER_OK);
	CU_ASSERT_TRUE(f.result[0].ok);
	CU_ASSERT_TRUE(f.result[1].ok);
	CU_ASSERT_FALSE(f.result[1].busy);
	for (seq = 0; seq < 2; seq = f.ev.u.renew.seq) {
		call(&f, addr, AGB_EF_RENEW, seq, 20000);
		CU_ASSERT_EQUAL_FATAL(f.ev.u.renew.status, AGB_WORKER_OK);
	}
	CU_ASSERT_EQUAL(
	    f.event[f.ev.u.renew.events_len - 1].result, AGB_RESULT_OK);
	call(&f, addr, AGB_EF_COMMANDS, 0, 0);
	CU_ASSERT_TRUE(f.result[0].ok);
	starts = strstr(worker_history(w), "task-start");
	CU_ASSERT_PTR_NOT_NULL(starts);
	if (starts != NULL)
		CU_ASSERT_PTR_NULL(strstr(starts + 1, "task-start"));
	CU_ASSERT_EQUAL(worker_violations(w), 0);
	worker_set_faults(w, "{\"leaving\":true}");
	call(&f, addr, AGB_EF_RENEW, 2, 20000);
	CU_ASSERT_TRUE(f.ev.u.renew.leaving);
	worker_free(w);
	uv_run(&f.loop, UV_RUN_NOWAIT);
	call(&f, "127.0.0.1:1", AGB_EF_SESSION, 0, 0);
	CU_ASSERT_EQUAL(f.ev.u.session.status, AGB_WORKER_LOST);
	teardown(&f);
}

/* Guards against a stand-in worker that ignores on_isolation: once the session
 * has expired, a task with "stop" must end by itself and one with "keep" must
 * keep running. */
static void
test_isolation(void)
{
	static const struct worker_opts opts = {.name = "w-1",
	    .listen = "127.0.0.1",
	    .cpu_milli = 2000,
	    .mem_mb = 128,
	    .slots = 1,
	    .connections = 4};
	struct agb_command cmds[2] = {{.kind = AGB_COMMAND_START,
					  .task = "j/0",
					  .attempt = {5, 1},
					  .need = {1000, 64, 0},
					  .on_isolation = AGB_ISOLATION_STOP,
					  .autonomy_ms = 1},
	    {.kind = AGB_COMMAND_START,
		.task = "j/1",
		.attempt = {5, 2},
		.need = {1000, 64, 0},
		.on_isolation = AGB_ISOLATION_KEEP}};
	struct agb_effect ef = {.type = AGB_EF_SESSION,
	    .u.worker = {.worker = "w-1",
		.epoch = 5,
		.ttl_ms = 1,
		.items = cmds,
		.items_len = 2}};
	struct fixture f;
	struct worker *w;
	int turns;

	setup(&f);
	w = worker_new(&f.loop, &opts);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w);
	agb_str_copy(ef.u.worker.address, sizeof(ef.u.worker.address),
	    worker_agent_addr(w));
	agb_workerc_call(f.c, &ef);
	loop_until(&f.loop, &f.events, 1);
	ef.type = AGB_EF_COMMANDS;
	agb_workerc_call(f.c, &ef);
	loop_until(&f.loop, &f.events, 2);
	CU_ASSERT_TRUE(f.result[0].ok && f.result[1].ok);
	for (turns = 0;
	     turns < TURNS_MAX && strstr(worker_history(w), "isolated") == NULL;
	     turns++)
		uv_run(&f.loop, UV_RUN_ONCE);
	/* The next owner finds the task that kept running. */
	ef.type = AGB_EF_SESSION;
	ef.u.worker.epoch = 6;
	ef.u.worker.ttl_ms = 600000;
	agb_workerc_call(f.c, &ef);
	loop_until(&f.loop, &f.events, 3);
	CU_ASSERT_EQUAL(f.ev.u.session.tasks_len, 1);
	CU_ASSERT_STRING_EQUAL(f.task.task, "j/1");
	/* The previous owner is refused. */
	ef.type = AGB_EF_COMMANDS;
	ef.u.worker.epoch = 5;
	agb_workerc_call(f.c, &ef);
	loop_until(&f.loop, &f.events, 4);
	CU_ASSERT_EQUAL(f.ev.u.commands.status, AGB_WORKER_FENCED);
	CU_ASSERT_EQUAL(f.ev.u.commands.epoch, 6);
	worker_free(w);
	teardown(&f);
}

#define INSTANCE(more)                                          \
	"{\"id\":\"w\",\"kind\":\"worker\",\"state\":\"live\"," \
	"\"region\":\"r\",\"domain\":\"d\"" more "}"
#define LIST(items) "{\"version\":8,\"instances\":[" items "]}"

/* Guards against using invalid entries of an instance list, and against one
 * invalid entry that hides all others. */
static void
test_list_responses(void)
{
	static const struct {
		const char *name;
		uint64_t since;
		const char *body;
		uint64_t version;
		size_t len;
		int status;
		bool ok;
		bool full;
	} cases[] = {
	    {"full", 0, LIST(INSTANCE("")), 8, 1, 200, true, true},
	    {"delta", 7, LIST(INSTANCE("")), 8, 1, 200, true, false},
	    {"restarted platform", 9, LIST(INSTANCE("")), 8, 1, 200, true,
		true},
	    {"gone, without other fields", 7,
		LIST("{\"id\":\"w\",\"kind\":\"worker\",\"state\":"
		     "\"gone\"}"),
		8, 1, 200, true, false},
	    {"one of two invalid", 7,
		LIST(INSTANCE(",\"slots\":65536") "," INSTANCE("")), 7, 1, 200,
		true, false},
	    {"bad address", 0, LIST(INSTANCE(",\"address\":\"host:80\"")), 0, 0,
		200, true, true},
	    {"unknown state", 7,
		LIST("{\"id\":\"w\",\"kind\":\"worker\",\"state\":\"ill\","
		     "\"region\":\"r\",\"domain\":\"d\"}"),
		7, 0, 200, true, false},
	    {"no version", 7, "{\"instances\":[]}", 0, 0, 200, false, false},
	    {"500", 7, LIST(""), 0, 0, 500, false, false},
	    {"not JSON", 7, "<html>", 0, 0, 200, false, false},
	};
	struct fixture f;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup(&f);
		f.status = cases[i].status;
		f.script = cases[i].body;
		agb_platform_list_fetch(f.list, cases[i].since);
		loop_until(&f.loop, &f.events, 1);
		if (f.ev.u.list.ok != cases[i].ok ||
		    f.ev.u.list.items_len != cases[i].len)
			printf("\n%s\n", cases[i].name);
		CU_ASSERT_EQUAL(f.ev.u.list.ok, cases[i].ok);
		CU_ASSERT_EQUAL(f.ev.u.list.full, cases[i].full);
		CU_ASSERT_EQUAL(f.ev.u.list.version, cases[i].version);
		CU_ASSERT_EQUAL(f.ev.u.list.items_len, cases[i].len);
		teardown(&f);
	}
}

/* Guards against a worker registration that the list client cannot read. */
static void
test_list_platform(void)
{
	struct worker_opts opts = {.name = "w-1",
	    .listen = "127.0.0.1",
	    .region = "r",
	    .domain = "d",
	    .rack = "k",
	    .service = "s",
	    .cpu_milli = 1500,
	    .mem_mb = 100,
	    .slots = 3,
	    .connections = 4};
	struct fixture f;
	struct platform *p;
	struct worker *w;
	int tries;

	setup(&f);
	p = platform_new(&f.loop, "127.0.0.1:0", 0);
	CU_ASSERT_PTR_NOT_NULL_FATAL(p);
	opts.platform = platform_addr(p);
	w = worker_new(&f.loop, &opts);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w);
	agb_platform_list_free(f.list);
	f.list = agb_platform_list_new(&f.loop, platform_addr(p), on_event, &f);
	for (tries = 0; tries < 10000 && f.instance.id[0] == '\0'; tries++) {
		agb_platform_list_fetch(f.list, 0);
		loop_until(&f.loop, &f.events, f.events + 1);
		CU_ASSERT_TRUE_FATAL(f.ev.u.list.ok);
	}
	CU_ASSERT_STRING_EQUAL(f.instance.id, "w-1");
	CU_ASSERT_EQUAL(f.instance.kind, AGB_INSTANCE_WORKER);
	CU_ASSERT_EQUAL(f.instance.state, AGB_INSTANCE_LIVE);
	CU_ASSERT_STRING_EQUAL(f.instance.rack, "k");
	CU_ASSERT_STRING_EQUAL(f.instance.address, worker_agent_addr(w));
	CU_ASSERT_STRING_EQUAL(f.instance.runner, worker_runner_addr(w));
	CU_ASSERT_STRING_EQUAL(f.instance.service, "s");
	CU_ASSERT_EQUAL(f.instance.slots, 3);
	CU_ASSERT_EQUAL(f.instance.capacity.cpu_milli, 1500);
	worker_free(w);
	platform_free(p);
	teardown(&f);
}

int
main(void)
{
	static const struct suite_test tests[] = {
	    {"responses", test_responses},
	    {"fields", test_fields},
	    {"stand-in worker", test_worker_standin},
	    {"isolation", test_isolation},
	    {"list responses", test_list_responses},
	    {"list of the stand-in platform", test_list_platform},
	};

	return suite_run("workerc", tests, sizeof(tests) / sizeof(tests[0]));
}

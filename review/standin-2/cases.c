/* The two cases that are scripts. */
#define _GNU_SOURCE
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 6
#define RUNNERS 12
#define RUNNER_CPU 16000
#define MEMORY_MB 260
#define MAX_BODY_BYTES 262144
#define HOST "jobs.example"
#define READY_WITHIN_MS 25000

/* Waits until all machines are ready, then goes on with a case. */
static void (*when_ready)(void);

static void
wait_ready(void *arg)
{
	size_t i;

	(void)arg;
	for (i = 0; i < nodes_len; i++) {
		if (!nodes[i].is_ready)
			break;
	}
	if (i == nodes_len) {
		rec("all machines are ready: traffic starts");
		when_ready();
	} else if (world_ms() > READY_WITHIN_MS) {
		world_finish(2, "the machines are not ready");
	} else {
		after(200, wait_ready, NULL);
	}
}

static void
start_deployment(void (*go)(void))
{
	runners_start(RUNNERS, RUNNER_CPU, "wick-orders");
	nodes_start(NODES, MEMORY_MB);
	when_ready = go;
	wait_ready(NULL);
}

/* Writes a manifest as the operator; @spare: with the route "spare". */
static void
put_manifest(unsigned version, bool spare)
{
	static const char route[] =
	    "{\"name\":\"%s\",\"host\":\"" HOST "\",\"prefix\":\"/%s/\","
	    "\"service\":\"wick-orders\",\"timeout_ms\":3000,"
	    "\"target_latency_ms\":3000,\"priority\":1,\"max_attempts\":2,"
	    "\"slack_factor\":2}";
	char main_route[400], spare_route[400], text[1200];

	snprintf(main_route, sizeof(main_route), route, "main", "main");
	snprintf(spare_route, sizeof(spare_route), route, "spare", "spare");
	snprintf(text, sizeof(text),
	    "{\"version\":%u,\"routes\":[%s%s%s],\"services\":"
	    "[{\"name\":\"wick-orders\"}],\"limits\":{\"max_body_bytes\":%d}}",
	    version, main_route, spare ? "," : "", spare ? spare_route : "",
	    MAX_BODY_BYTES);
	store_put("op/config", text);
	rec("operator: manifest %u is acknowledged, routes main%s", version,
	    spare ? ", spare" : "");
}

/* ---- jobs of ordinary clients ---- */

enum job_state { JOB_SENT, JOB_ACCEPTED, JOB_REFUSED, JOB_UNKNOWN };

struct job {
	char id[20];
	char queue[16];
	char body[600];
	enum job_state state;
	int64_t accepted_at;
	unsigned attempts;
	char shown[40]; /* the last answer to a question of its state */
};

static struct job jobs[400];
static size_t jobs_len;

static void submit(void *arg);

static void
on_submitted(void *arg, int status, const char *body)
{
	struct job *const j = arg;

	(void)body;
	rec("client: job %s on %s: %d", j->id, j->queue, status);
	if (status >= 200 && status < 300) {
		j->state = JOB_ACCEPTED;
		j->accepted_at = world_ms();
	} else if (j->attempts < 5) {
		after(300, submit, j);
	} else {
		j->state = status == 503 || status == 429 ? JOB_REFUSED
							  : JOB_UNKNOWN;
	}
}

/* Sends a job, each attempt to the next machine that is ready. */
static void
submit(void *arg)
{
	struct job *const j = arg;
	static unsigned next;
	char path[64];
	size_t i;

	j->attempts++;
	for (i = 0; i < nodes_len && !nodes[next % nodes_len].is_ready; i++)
		next++;
	snprintf(path, sizeof(path), "/%s/%s", j->queue, j->id);
	client_send(nodes[next++ % nodes_len].front, "POST", HOST, path, j->body,
	    strlen(j->body), 3000, on_submitted, j);
}

static struct job *
new_job(const char *queue, const char *spec, const char *phases)
{
	struct job *const j = &jobs[jobs_len++];

	snprintf(j->id, sizeof(j->id), "%08x%08zx",
	    (unsigned)(world_unix_ms() & 0xffffffff), jobs_len);
	snprintf(j->queue, sizeof(j->queue), "%s", queue);
	snprintf(j->body, sizeof(j->body), "{\"spec\":\"%s\",\"phases\":[%s]}",
	    spec, phases);
	submit(j);
	return j;
}

static void
on_state(void *arg, int status, const char *body)
{
	struct job *const j = arg;

	snprintf(j->shown, sizeof(j->shown), "%d %.30s", status, body);
	rec("client: state of job %s on %s: %s", j->id, j->queue, j->shown);
}

static void
ask_state(struct job *j, size_t node)
{
	char path[64];

	snprintf(path, sizeof(path), "/%s/%s", j->queue, j->id);
	client_send(nodes[node % nodes_len].front, "GET", HOST, path, NULL, 0,
	    3000, on_state, j);
}

/* ---- case memory ---- */

/*
 * A client that nobody controls sends a body far over the limit: a list of
 * empty objects. It does so to two machines, three times each.
 */
#define BIG_BODY_BYTES 1048000
#define VICTIMS 2
#define ROUNDS 3

static char *big_body;
static size_t big_body_len;
static unsigned sent_to[VICTIMS];

static void
make_big_body(void)
{
	static const char head[] = "{\"spec\":\"x\",\"phases\":[{}";
	char *p = big_body = malloc(BIG_BODY_BYTES + 100);

	if (p == NULL)
		abort();
	p += sprintf(p, "%s", head);
	while (p - big_body < BIG_BODY_BYTES - 5)
		p += sprintf(p, ",{}");
	p += sprintf(p, "]}");
	big_body_len = (size_t)(p - big_body);
}

static void
on_big_answer(void *arg, int status, const char *body)
{
	(void)body;
	rec("uncontrolled client: %s answers %d", ((struct node *)arg)->name,
	    status);
}

static void
attack(void *arg)
{
	const size_t i = (size_t)(uintptr_t)arg;
	struct node *const n = &nodes[i];

	if (!n->is_ready) {
		after(300, attack, arg);
		return;
	}
	sent_to[i]++;
	if (world_trouble) {
		rec("uncontrolled client: a body of %zu bytes to %s",
		    big_body_len, n->name);
		client_send(n->front, "POST", HOST, "/main/00000000000000aa",
		    big_body, big_body_len, 3000, on_big_answer, n);
	}
	if (sent_to[i] < ROUNDS)
		after(6000, attack, arg);
}

static void
small_job(void *arg)
{
	const int64_t until = (int64_t)(intptr_t)arg;

	if (world_ms() >= until)
		return;
	(void)new_job("main", "300",
	    "{\"count\":2,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":300}");
	after(500, small_job, arg);
}

static void
judge_memory(void *arg)
{
	unsigned victims = 0, accepted = 0;
	size_t i;

	(void)arg;
	for (i = 0; i < nodes_len; i++) {
		rec("judge: %s: %u starts, %u ends over its memory, %u other "
		    "ends by itself, %lld kB at most since the last start",
		    nodes[i].name, nodes[i].starts, nodes[i].memory_ends,
		    nodes[i].own_ends, (long long)nodes[i].peak_kb);
		victims += nodes[i].memory_ends + nodes[i].own_ends >= ROUNDS;
	}
	for (i = 0; i < jobs_len; i++)
		accepted += jobs[i].state == JOB_ACCEPTED;
	rec("judge: ordinary clients: %zu jobs, %u accepted", jobs_len, accepted);
	if (accepted == 0)
		world_finish(2, "no ordinary job was accepted");
	else if (victims >= VICTIMS)
		world_finish(1,
		    "Fault: on %u machines processes ended %d times or more",
		    victims, ROUNDS);
	else
		world_finish(0, "held: %u machines with %d ends", victims,
		    ROUNDS);
}

static void
go_memory(void)
{
	size_t i;

	make_big_body();
	small_job((void *)(intptr_t)(world_ms() + 30000));
	for (i = 0; i < VICTIMS; i++)
		after(2000 + 1000 * (int64_t)i, attack, (void *)(uintptr_t)i);
	after(34000, judge_memory, NULL);
}

void
case_memory(void)
{
	put_manifest(2, true);
	start_deployment(go_memory);
}

/* ---- case route ---- */

/*
 * A job with two steps is accepted on the route "spare". While its first step
 * runs, the operator's next manifest no longer has that route. The first step
 * ends; the second one's turn has come.
 */
#define FINISH_S 14
#define IDLE_MS 3000

static struct job *kept, *dropped;
static unsigned starts_of_dropped;
static int64_t last_start_at;
static bool is_dropped, first_step_seen;
static int64_t idle_since;

static size_t
running_of(const char *id, unsigned *cpu)
{
	size_t i, k, n = 0;

	*cpu = 0;
	for (i = 0; i < runners_len; i++) {
		for (k = 0; k < runners[i].runs_len; k++) {
			n += strncmp(runners[i].runs[k].task, id, 16) == 0;
			*cpu += 1000;
		}
	}
	return n;
}

static void
drop_route(void *arg)
{
	(void)arg;
	is_dropped = true;
	put_manifest(5, !world_trouble);
}

static void
on_route_event(
    const struct runner *r, const char *task, uint32_t run_id, const char *how)
{
	(void)r;
	(void)run_id;
	if (dropped == NULL || strncmp(task, dropped->id, 16) != 0 || how != NULL)
		return;
	starts_of_dropped++;
	last_start_at = world_ms();
	if (!first_step_seen) {
		first_step_seen = true;
		after(500, drop_route, NULL);
	}
}

static void
end_route(void *arg)
{
	const bool done = strstr(kept->shown, "completed") != NULL;

	(void)arg;
	rec("judge: job %s on main: %s; job %s on spare: %s, %u starts in all",
	    kept->id, kept->shown, dropped->id, dropped->shown,
	    starts_of_dropped);
	if (!done)
		world_finish(2, "the job on the other route is not completed");
	else if (starts_of_dropped >= 8)
		world_finish(0, "held: all tasks have started");
	else
		world_finish(1,
		    "LOST: job %s has had nothing running for %lld ms while the "
		    "turn of its second step has come",
		    dropped->id, (long long)(world_ms() - last_start_at));
}

/* Looks once in 100 ms, from finish_s after the end of the traffic on. */
static void
look(void *arg)
{
	unsigned cpu;
	const size_t running = running_of(dropped->id, &cpu);

	if (running > 0 || starts_of_dropped >= 8)
		idle_since = world_ms();
	if (world_ms() - idle_since >= IDLE_MS || starts_of_dropped >= 8) {
		rec("judge: %u of %d thousandths of a core are in use", cpu,
		    RUNNERS * RUNNER_CPU);
		ask_state(kept, 0);
		ask_state(dropped, 1);
		after(1000, end_route, NULL);
		return;
	}
	after(100, look, arg);
}

static void
begin_looks(void *arg)
{
	if (dropped->state != JOB_ACCEPTED || kept->state != JOB_ACCEPTED ||
	    !is_dropped) {
		world_finish(2, "the jobs were not accepted or did not start");
		return;
	}
	rec("judge: %d s after the end of the traffic", FINISH_S);
	idle_since = world_ms();
	look(arg);
}

static void
go_route(void)
{
	static const char phases[] =
	    "{\"count\":4,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":2000},"
	    "{\"count\":4,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":2000,"
	    "\"after\":[0]}";

	on_run_event = on_route_event;
	dropped = new_job("spare", "2000", phases);
	kept = new_job("main", "2000", phases);
	after(1000 * FINISH_S + 500, begin_looks, NULL);
}

void
case_route(void)
{
	put_manifest(2, true);
	start_deployment(go_route);
}

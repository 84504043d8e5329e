#include "soak.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "httpc.h"
#include "json.h"
#include "mem.h"
#include "proxy.h"

/* A machine on which a leader hands its orders to relays. */
#define SMALL_CPU_SHARE "0.01"
#define INSTANCES_MAX 64
#define JOBS_MAX 20000
#define TRIES_MAX 6
#define STEP_MS 20
#define POLL_MS 700
#define CALL_MS 3500
/* An instance that did not come up is a finding of its own. */
#define START_MS 8000
/* Ports of instances; Linux gives out those from 32768 on by itself. Runs
 * beside each other begin this far apart. */
#define PORTS_FROM 20000
#define PORTS_LEN 12000
#define PORTS_APART 64

enum job_state {
	JOB_ASKED,
	JOB_ACCEPTED,
	JOB_REFUSED, /* all tries were answered 429 or 503 */
	JOB_UNKNOWN,
	JOB_FINAL,
};

struct job {
	char id[17];
	enum job_state state;
	char last[16];
	unsigned tries;
	bool doubt; /* a try had no answer, or one that does not tell */
	bool cancelled;
	bool busy;
	uint64_t next_ms;
	char body[256];
};

struct instance {
	pid_t pid;
	bool paused;
	uint64_t back_ms; /* when it is started again, or goes on */
	struct proxy *proxy;
	uint64_t heal_ms;
	char http[64];
	char settings[256];
	char log[256];
};

struct soak {
	const struct soak_options *o;
	uv_loop_t loop;
	uv_timer_t step;
	struct agb_httpc *http;
	pid_t standin;
	char store[64];
	char advice[64];
	struct instance inst[INSTANCES_MAX];
	struct job *jobs;
	size_t jobs_len;
	uint64_t random;
	uint64_t began_ms;
	uint64_t next_fault_ms;
	uint64_t next_job_ms;
	uint64_t store_back_ms;
	uint64_t runner_back_ms;
	int runner;
	bool calm;
	bool done;
	unsigned violations;
	char *report;
	unsigned accepted, refused;
};

/* A call of a client until its answer. */
struct call {
	struct soak *s;
	struct job *job;
	unsigned inst;
	enum { CALL_SUBMIT, CALL_STATE, CALL_CANCEL } kind;
};

static uint32_t
rnd(struct soak *s, uint32_t max)
{
	s->random ^= s->random << 13;
	s->random ^= s->random >> 7;
	s->random ^= s->random << 17;
	return (uint32_t)((s->random >> 11) % max);
}

static uint64_t
now_ms(const struct soak *s)
{
	return uv_now(&s->loop) - s->began_ms;
}

static void
violate(struct soak *s, const char *job, const char *why)
{
	s->violations++;
	printf("seed %u at %u ms: %s: %s\n", s->o->seed, (unsigned)now_ms(s),
	    job, why);
}

/* ---- processes ---- */

static pid_t
spawn(const char *log, const char *const argv[], int *out)
{
	int fds[2], fd;
	pid_t pid;

	if (out != NULL && pipe(fds) != 0)
		abort();
	pid = fork();
	if (pid == 0) {
		fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
		if (fd >= 0) {
			dup2(fd, STDERR_FILENO);
			dup2(fd, STDOUT_FILENO);
		}
		if (out != NULL)
			dup2(fds[1], STDOUT_FILENO);
		/* Only ends a process whose driver has died. */
		alarm(600);
		execv(argv[0], (char *const *)(uintptr_t)argv);
		_exit(127);
	}
	if (out != NULL) {
		close(fds[1]);
		*out = fds[0];
	}
	return pid;
}

static bool
standin_start(struct soak *s)
{
	char path[512], log[512], runners[16], line[160] = "";
	const char *const argv[] = {path, "--runners", runners, "--cpu",
	    "12000", s->o->seed % 2 == 1 ? "--advised" : NULL, NULL};
	FILE *f;
	int fd;

	snprintf(path, sizeof(path), "%s/standin-fleet", s->o->bin);
	snprintf(log, sizeof(log), "%s/standin.log", s->o->log_dir);
	snprintf(runners, sizeof(runners), "%u", s->o->runners);
	s->standin = spawn(log, argv, &fd);
	f = fdopen(fd, "r");
	if (f != NULL && fgets(line, sizeof(line), f) == NULL)
		line[0] = '\0';
	if (f != NULL)
		fclose(f);
	return sscanf(line, "listening %63s %63s", s->store, s->advice) == 2;
}

/* A port that is free, below those that the system gives out by itself: an
 * instance keeps its ports while it is down, and programs that run beside
 * would be given them meanwhile. */
static int
free_port(void)
{
	static unsigned tried;
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const unsigned first = (unsigned)getpid() * PORTS_APART;
	bool is_free;
	int fd, port, left;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (left = PORTS_LEN; left > 0; left--) {
		port = (int)(PORTS_FROM + (first + tried++) % PORTS_LEN);
		sa.sin_port = htons((uint16_t)port);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		if (fd < 0)
			abort();
		is_free = bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0;
		close(fd);
		if (is_free)
			return port;
	}
	abort();
}

static void
instance_start(struct soak *s, struct instance *in)
{
	char path[512];
	const char *const argv[] = {
	    path, "--platform", "--settings", in->settings, NULL};

	snprintf(path, sizeof(path), "%s/agatebeamd", s->o->bin);
	in->pid = spawn(in->log, argv, NULL);
	in->back_ms = 0;
	in->paused = false;
}

static void
instance_prepare(struct soak *s, unsigned i)
{
	struct instance *const in = &s->inst[i];
	FILE *f;

	in->proxy = proxy_new(&s->loop, s->store);
	snprintf(in->http, sizeof(in->http), "127.0.0.1:%d", free_port());
	snprintf(in->settings, sizeof(in->settings), "%s/i%u.json",
	    s->o->log_dir, i);
	snprintf(in->log, sizeof(in->log), "%s/i%u.log", s->o->log_dir, i);
	f = fopen(in->settings, "w");
	if (f == NULL)
		abort();
	fprintf(f,
	    "{\"instance\":\"i%u\",\"domain\":\"z\",\"region\":\"r\","
	    "\"http\":\"%s\",\"ready\":\"127.0.0.1:%d\","
	    "\"rpc\":\"127.0.0.1:%d\",\"metrics\":\"127.0.0.1:%d\","
	    "\"store\":\"127.0.0.1:%d\",\"advice\":\"%s\",\"grace_s\":5,"
	    "\"status_s\":600,\"remote_factor\":2,\"cpu_share\":%s}\n",
	    i, in->http, free_port(), free_port(), free_port(),
	    proxy_port(in->proxy), s->advice,
	    s->o->relays ? SMALL_CPU_SHARE : "1");
	fclose(f);
}

/* ---- clients ---- */

static void send_call(struct soak *s, struct job *j, unsigned inst, int kind);

static void
submit_answer(struct call *c, const struct agb_httpc_res *r)
{
	struct job *const j = c->job;

	if (r->status == AGB_HTTPC_COMPLETE && r->http_status == 200) {
		j->state = JOB_ACCEPTED;
		c->s->accepted++;
		j->next_ms = now_ms(c->s) + POLL_MS;
		return;
	}
	if (r->status != AGB_HTTPC_UNSENT &&
	    !(r->status == AGB_HTTPC_COMPLETE &&
		(r->http_status == 503 || r->http_status == 429)))
		j->doubt = true;
	if (j->tries < TRIES_MAX) {
		j->next_ms = now_ms(c->s) + 300 + rnd(c->s, 700);
		return;
	}
	j->state = j->doubt ? JOB_UNKNOWN : JOB_REFUSED;
	if (!j->doubt)
		c->s->refused++;
}

static bool
is_final(const char *state)
{
	return strcmp(state, "completed") == 0 ||
	    strcmp(state, "failed") == 0 || strcmp(state, "cancelled") == 0;
}

static void
state_answer(struct call *c, const struct agb_httpc_res *r)
{
	struct job *const j = c->job;
	struct json_object *obj;
	const char *state;

	j->next_ms = now_ms(c->s) + POLL_MS;
	if (r->status != AGB_HTTPC_COMPLETE || r->http_status == 503)
		return;
	if (r->http_status == 410) {
		violate(c->s, j->id, "an accepted job is said not to exist");
		return;
	}
	obj = platform_json_parse(r->body, r->body_len);
	state = platform_json_str(obj, "state");
	if (state != NULL) {
		if (is_final(j->last) && strcmp(j->last, state) != 0)
			violate(c->s, j->id, "a final state has changed");
		if (strcmp(state, "cancelled") == 0 && !j->cancelled)
			violate(c->s, j->id, "cancelled without a wish");
		agb_str_copy(j->last, sizeof(j->last), state);
		if (is_final(state))
			j->state = JOB_FINAL;
	}
	json_object_put(obj);
}

static void
on_answer(void *arg, const struct agb_httpc_res *r)
{
	struct call *const c = arg;

	c->job->busy = false;
	if (c->kind == CALL_SUBMIT)
		submit_answer(c, r);
	else if (c->kind == CALL_STATE)
		state_answer(c, r);
	free(c);
}

static void
send_call(struct soak *s, struct job *j, unsigned inst, int kind)
{
	static const struct agb_httpc_header headers[] = {
	    {.name = "Host", .value = "jobs"},
	    {.name = "Deadline-Ms", .value = "3000"},
	};
	static const char *const methods[] = {"POST", "GET", "DELETE"};
	struct call *const c = agb_xcalloc(1, sizeof(*c));
	char path[64];
	const struct agb_httpc_req req = {
	    .addr = s->inst[inst].http,
	    .method = methods[kind],
	    .path = path,
	    .headers = headers,
	    .headers_len = 2,
	    .body = kind == CALL_SUBMIT ? j->body : NULL,
	    .body_len = kind == CALL_SUBMIT ? strlen(j->body) : 0,
	    .timeout_ms = CALL_MS,
	    .cb = on_answer,
	    .arg = c,
	};

	snprintf(path, sizeof(path), "/q/%s", j->id);
	c->s = s;
	c->job = j;
	c->inst = inst;
	c->kind = kind;
	if (kind != CALL_CANCEL)
		j->busy = true;
	agb_httpc_request(s->http, &req);
}

static void
job_new(struct soak *s)
{
	struct job *const j = &s->jobs[s->jobs_len++];
	const unsigned cpu = 1000 * (1 + rnd(s, 4));
	const unsigned ms = 100 + rnd(s, 1500);
	const unsigned count = 1 + rnd(s, 4);
	const bool gang = rnd(s, 4) == 0;

	snprintf(j->id, sizeof(j->id), "%08x%08x", s->o->seed,
	    (unsigned)s->jobs_len);
	snprintf(j->body, sizeof(j->body),
	    "{\"spec\":\"%u %u %u\",\"phases\":[{\"count\":%u,\"cpu\":%u,"
	    "\"mem_mb\":10,\"estimate_ms\":%u%s}]}",
	    ms, cpu, gang ? count : 0, count, cpu, ms,
	    gang ? ",\"gang\":true" : "");
	j->cancelled = rnd(s, 20) == 0;
	j->next_ms = now_ms(s);
}

static void
job_step(struct soak *s, struct job *j)
{
	const unsigned inst = rnd(s, s->o->instances);

	if (j->busy || now_ms(s) < j->next_ms)
		return;
	if (j->state == JOB_ASKED) {
		j->tries++;
		send_call(s, j, inst, CALL_SUBMIT);
	} else if (j->state == JOB_ACCEPTED) {
		if (j->cancelled && j->last[0] == '\0')
			send_call(s, j, inst, CALL_CANCEL);
		send_call(s, j, inst, CALL_STATE);
	}
}

/* ---- faults ---- */

static void
on_ignored(void *arg, const struct agb_httpc_res *r)
{
}

static void
standin_tell(struct soak *s, const char *key, int n)
{
	char body[128];
	struct agb_httpc_req req = {
	    .addr = s->store,
	    .method = "POST",
	    .path = "/standin/faults",
	    .body = body,
	    .timeout_ms = 2000,
	    .cb = on_ignored,
	};

	req.body_len =
	    (size_t)snprintf(body, sizeof(body), "{\"%s\":%d}", key, n);
	agb_httpc_request(s->http, &req);
}

static void
fault_process(struct soak *s, struct instance *in, unsigned which)
{
	if (in->pid == 0 || in->back_ms != 0)
		return;
	in->back_ms = now_ms(s) + 300 + rnd(s, 3500);
	if (which == 1) {
		kill(in->pid, SIGSTOP);
		in->paused = true;
		return;
	}
	kill(in->pid, which == 0 ? SIGKILL : SIGTERM);
	if (which == 0) {
		waitpid(in->pid, NULL, 0);
		in->pid = 0;
	} else {
		in->back_ms = now_ms(s) + 6500;
	}
}

static void
fault(struct soak *s)
{
	struct instance *const in = &s->inst[rnd(s, s->o->instances)];
	const unsigned which = rnd(s, 9);

	if (s->o->verbose)
		printf("%u ms: fault %u at %s\n", (unsigned)now_ms(s), which,
		    in->http);
	if (which < 3) {
		fault_process(s, in, which);
	} else if (which < 6) {
		proxy_set(
		    in->proxy, (enum proxy_mode)(PROXY_DELAY + rnd(s, 4)));
		in->heal_ms = now_ms(s) + 500 + rnd(s, 4000);
	} else if (which == 6 && s->store_back_ms == 0) {
		standin_tell(s, "store", 1 + (int)rnd(s, 2));
		s->store_back_ms = now_ms(s) + 300 + rnd(s, 4000);
	} else if (which == 7 && s->runner_back_ms == 0) {
		s->runner = (int)rnd(s, s->o->runners);
		standin_tell(s, "cut", s->runner);
		s->runner_back_ms = now_ms(s) + 500 + rnd(s, 7000);
	} else {
		standin_tell(s, "crash", (int)rnd(s, s->o->runners));
	}
}

static void
recover(struct soak *s)
{
	struct instance *in;
	unsigned i;

	for (i = 0; i < s->o->instances; i++) {
		in = &s->inst[i];
		if (in->heal_ms != 0 && now_ms(s) >= in->heal_ms) {
			proxy_set(in->proxy, PROXY_PASS);
			in->heal_ms = 0;
		}
		if (in->back_ms == 0 || now_ms(s) < in->back_ms)
			continue;
		if (in->paused) {
			kill(in->pid, SIGCONT);
			in->paused = false;
			in->back_ms = 0;
			continue;
		}
		if (in->pid != 0) {
			kill(in->pid, SIGKILL);
			waitpid(in->pid, NULL, 0);
		}
		instance_start(s, in);
	}
	if (s->store_back_ms != 0 && now_ms(s) >= s->store_back_ms) {
		standin_tell(s, "store", 0);
		s->store_back_ms = 0;
	}
	if (s->runner_back_ms != 0 && now_ms(s) >= s->runner_back_ms) {
		standin_tell(s, "heal", s->runner);
		s->runner_back_ms = 0;
	}
}

/* A process that ends without a signal of ours has crashed. */
static void
check_processes(struct soak *s)
{
	struct instance *in;
	int status;
	unsigned i;

	for (i = 0; i < s->o->instances; i++) {
		in = &s->inst[i];
		if (in->pid == 0 ||
		    waitpid(in->pid, &status, WNOHANG) != in->pid)
			continue;
		if (in->back_ms == 0) {
			violate(s, in->http, "a process has ended by itself");
			in->back_ms = now_ms(s) + 500;
		}
		in->pid = 0;
	}
}

/* ---- the end ---- */

static bool
all_final(const struct soak *s)
{
	size_t i;

	for (i = 0; i < s->jobs_len; i++) {
		if (s->jobs[i].busy || s->jobs[i].state == JOB_ASKED ||
		    s->jobs[i].state == JOB_ACCEPTED)
			return false;
	}
	return true;
}

static void
on_jobs(void *arg, const struct agb_httpc_res *r)
{
	struct soak *const s = arg;
	struct json_object *obj;
	size_t i;

	obj = platform_json_parse(r->body, r->body_len);
	if (r->status != AGB_HTTPC_COMPLETE || obj == NULL)
		violate(s, "stand-in", "its report cannot be read");
	for (i = 0; obj != NULL && i < s->jobs_len; i++) {
		if (s->jobs[i].state == JOB_REFUSED &&
		    platform_json_int(obj, s->jobs[i].id, 0) > 0)
			violate(s, s->jobs[i].id, "was refused and has run");
	}
	json_object_put(obj);
	uv_stop(&s->loop);
}

static void
on_report(void *arg, const struct agb_httpc_res *r)
{
	struct soak *const s = arg;
	const struct agb_httpc_req req = {
	    .addr = s->store,
	    .method = "GET",
	    .path = "/standin/jobs",
	    .timeout_ms = 5000,
	    .cb = on_jobs,
	    .arg = s,
	};
	struct json_object *obj;

	obj = platform_json_parse(r->body, r->body_len);
	if (platform_json_int(obj, "violations", -1) != 0)
		violate(s, "stand-in",
		    obj != NULL ? platform_json_str(obj, "first")
				: "its report cannot be read");
	json_object_put(obj);
	agb_httpc_request(s->http, &req);
}

static void
end_run(struct soak *s)
{
	const struct agb_httpc_req req = {
	    .addr = s->store,
	    .method = "GET",
	    .path = "/standin/report",
	    .timeout_ms = 5000,
	    .cb = on_report,
	    .arg = s,
	};
	size_t i;

	s->done = true;
	for (i = 0; i < s->jobs_len; i++) {
		if (s->jobs[i].state == JOB_ACCEPTED)
			violate(s, s->jobs[i].id,
			    "was accepted and is not final at the end");
	}
	agb_httpc_request(s->http, &req);
}

static void
on_step(uv_timer_t *t)
{
	struct soak *const s = t->data;
	const uint64_t now = now_ms(s);
	size_t i;

	if (s->done)
		return;
	if (now >= START_MS / 4 && now < s->o->load_ms &&
	    now >= s->next_job_ms && s->jobs_len < JOBS_MAX) {
		job_new(s);
		s->next_job_ms = now + 1000 / s->o->jobs_per_s;
	}
	if (s->o->fault_gap_ms > 0 && now >= s->next_fault_ms &&
	    now > START_MS / 2 && now < s->o->load_ms) {
		fault(s);
		s->next_fault_ms =
		    now + s->o->fault_gap_ms / 2 + rnd(s, s->o->fault_gap_ms);
	}
	recover(s);
	check_processes(s);
	for (i = 0; i < s->jobs_len; i++)
		job_step(s, &s->jobs[i]);
	if ((now >= s->o->load_ms && all_final(s)) ||
	    now >= s->o->load_ms + s->o->finish_ms)
		end_run(s);
}

unsigned
soak_run(const struct soak_options *o)
{
	struct soak *const s = agb_xcalloc(1, sizeof(*s));
	unsigned i, violations;

	s->o = o;
	s->random = (uint64_t)o->seed * 2654435761U + 88172645463325252ULL;
	s->jobs = agb_xcalloc(JOBS_MAX, sizeof(*s->jobs));
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&s->loop);
	if (!standin_start(s)) {
		printf("seed %u: the stand-in does not start\n", o->seed);
		return 1;
	}
	s->http = agb_httpc_new(&s->loop, 64);
	for (i = 0; i < o->instances; i++) {
		instance_prepare(s, i);
		instance_start(s, &s->inst[i]);
	}
	uv_update_time(&s->loop);
	s->began_ms = uv_now(&s->loop);
	uv_timer_init(&s->loop, &s->step);
	s->step.data = s;
	uv_timer_start(&s->step, on_step, STEP_MS, STEP_MS);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	for (i = 0; i < o->instances; i++) {
		if (s->inst[i].pid == 0)
			continue;
		kill(s->inst[i].pid, SIGKILL);
		waitpid(s->inst[i].pid, NULL, 0);
	}
	kill(s->standin, SIGKILL);
	waitpid(s->standin, NULL, 0);
	if (o->verbose)
		printf("seed %u: %zu jobs, %u accepted, %u refused\n", o->seed,
		    s->jobs_len, s->accepted, s->refused);
	violations = s->violations;
	/* Handles of the loop end with the process. */
	free(s->jobs);
	return violations;
}

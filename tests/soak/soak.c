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

/* CPU share that is small enough for a leader to send its orders through
 * relays. */
#define RELAY_CPU_SHARE "0.01"
#define INSTANCES_MAX 64
#define JOBS_MAX 20000
#define SUBMIT_ATTEMPTS_MAX 6
#define TICK_MS 20
#define POLL_INTERVAL_MS 700
#define CALL_TIMEOUT_MS 3500
/* Start-up time of the instances. Jobs are submitted after a quarter of it,
 * faults are injected after half of it, so that an instance that does not
 * start is told apart from one that fails because of a fault. */
#define STARTUP_MS 8000
/* Range of the instances' ports, below the ephemeral ports of Linux, which
 * start at 32768. PORT_STRIDE times the process id is the offset of a run's
 * first port, so that concurrent runs use different ports. */
#define PORT_MIN 20000
#define PORT_COUNT 12000
#define PORT_STRIDE 64

enum job_state {
	JOB_SUBMITTING,
	JOB_ACCEPTED,
	JOB_REFUSED, /* all attempts were unsent or answered 429 or 503 */
	JOB_UNKNOWN, /* no attempt was accepted, but one may have had an effect */
	JOB_FINAL,
};

struct job {
	char id[17];
	enum job_state state;
	char last_state[16];
	unsigned submit_attempts;
	bool outcome_unknown; /* an attempt may have had an effect */
	bool cancel_requested;
	bool call_pending;
	uint64_t next_call_ms;
	char body[256];
};

struct instance {
	pid_t pid; /* 0: not running */
	bool paused;
	uint64_t restore_ms; /* when to restart or continue it; 0: no fault */
	struct proxy *proxy; /* to the store */
	uint64_t proxy_restore_ms; /* 0: no fault */
	char http[64];
	char settings[256];
	char log[256];
};

struct soak {
	const struct soak_options *options;
	uv_loop_t loop;
	uv_timer_t tick_timer;
	struct agb_httpc *http;
	pid_t standin_pid;
	char store[64];
	char advice[64];
	struct instance instances[INSTANCES_MAX];
	struct job *jobs;
	size_t jobs_len;
	uint64_t rng_state;
	uint64_t start_ms;
	uint64_t next_fault_ms;
	uint64_t next_job_ms;
	uint64_t store_restore_ms;  /* 0: no fault */
	uint64_t runner_restore_ms; /* 0: no fault */
	int cut_runner;
	bool calm;
	bool done;
	unsigned violations;
	char *report;
	unsigned accepted_count, refused_count;
};

/* HTTP request of a client that has no response yet. */
struct call {
	struct soak *s;
	struct job *job;
	unsigned instance;
	enum { CALL_SUBMIT, CALL_STATE, CALL_CANCEL } kind;
};

static uint32_t
random_below(struct soak *s, uint32_t max)
{
	s->rng_state ^= s->rng_state << 13;
	s->rng_state ^= s->rng_state >> 7;
	s->rng_state ^= s->rng_state << 17;
	return (uint32_t)((s->rng_state >> 11) % max);
}

static uint64_t
now_ms(const struct soak *s)
{
	return uv_now(&s->loop) - s->start_ms;
}

static void
report_violation(struct soak *s, const char *job, const char *why)
{
	s->violations++;
	printf("seed %u at %u ms: %s: %s\n", s->options->seed,
	    (unsigned)now_ms(s), job, why);
}

/* ---- processes ---- */

static pid_t
spawn_process(const char *log, const char *const argv[], int *out)
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
		/* Ends the process if the soak driver has died meanwhile. */
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
start_standin(struct soak *s)
{
	char path[512], log[512], runners[16], line[160] = "";
	const char *const argv[] = {path, "--runners", runners, "--cpu",
	    "12000", s->options->seed % 2 == 1 ? "--advised" : NULL, NULL};
	FILE *f;
	int fd;

	snprintf(path, sizeof(path), "%s/standin-fleet", s->options->bin_dir);
	snprintf(log, sizeof(log), "%s/standin.log", s->options->log_dir);
	snprintf(runners, sizeof(runners), "%u", s->options->runners);
	s->standin_pid = spawn_process(log, argv, &fd);
	f = fdopen(fd, "r");
	if (f != NULL && fgets(line, sizeof(line), f) == NULL)
		line[0] = '\0';
	if (f != NULL)
		fclose(f);
	return sscanf(line, "listening %63s %63s", s->store, s->advice) == 2;
}

/* Returns a free port below the ephemeral range. An instance reuses its ports
 * after a restart; the kernel could give an ephemeral port to another program
 * while the instance is down. */
static int
pick_free_port(void)
{
	static unsigned next_offset;
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const unsigned first = (unsigned)getpid() * PORT_STRIDE;
	bool is_free;
	int fd, port, remaining;

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (remaining = PORT_COUNT; remaining > 0; remaining--) {
		port = (int)(PORT_MIN + (first + next_offset++) % PORT_COUNT);
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
start_instance(struct soak *s, struct instance *in)
{
	char path[512];
	const char *const argv[] = {
	    path, "--platform", "--settings", in->settings, NULL};

	snprintf(path, sizeof(path), "%s/agatebeamd", s->options->bin_dir);
	in->pid = spawn_process(in->log, argv, NULL);
	in->restore_ms = 0;
	in->paused = false;
}

static void
prepare_instance(struct soak *s, unsigned i)
{
	struct instance *const in = &s->instances[i];
	FILE *f;

	in->proxy = proxy_new(&s->loop, s->store);
	snprintf(in->http, sizeof(in->http), "127.0.0.1:%d", pick_free_port());
	snprintf(in->settings, sizeof(in->settings), "%s/i%u.json",
	    s->options->log_dir, i);
	snprintf(
	    in->log, sizeof(in->log), "%s/i%u.log", s->options->log_dir, i);
	f = fopen(in->settings, "w");
	if (f == NULL)
		abort();
	fprintf(f,
	    "{\"instance\":\"i%u\",\"domain\":\"z\",\"region\":\"r\","
	    "\"http\":\"%s\",\"ready\":\"127.0.0.1:%d\","
	    "\"rpc\":\"127.0.0.1:%d\",\"metrics\":\"127.0.0.1:%d\","
	    "\"store\":\"127.0.0.1:%d\",\"advice\":\"%s\",\"grace_s\":5,"
	    "\"status_s\":600,\"remote_factor\":2,\"cpu_share\":%s}\n",
	    i, in->http, pick_free_port(), pick_free_port(), pick_free_port(),
	    proxy_port(in->proxy), s->advice,
	    s->options->use_relays ? RELAY_CPU_SHARE : "1");
	fclose(f);
}

/* ---- clients ---- */

static void send_call(struct soak *s, struct job *j, unsigned target, int kind);

static void
handle_submit_response(struct call *c, const struct agb_httpc_res *r)
{
	struct job *const j = c->job;

	if (r->status == AGB_HTTPC_COMPLETE && r->http_status == 200) {
		j->state = JOB_ACCEPTED;
		c->s->accepted_count++;
		j->next_call_ms = now_ms(c->s) + POLL_INTERVAL_MS;
		return;
	}
	if (r->status != AGB_HTTPC_UNSENT &&
	    !(r->status == AGB_HTTPC_COMPLETE &&
		(r->http_status == 503 || r->http_status == 429)))
		j->outcome_unknown = true;
	if (j->submit_attempts < SUBMIT_ATTEMPTS_MAX) {
		j->next_call_ms = now_ms(c->s) + 300 + random_below(c->s, 700);
		return;
	}
	j->state = j->outcome_unknown ? JOB_UNKNOWN : JOB_REFUSED;
	if (!j->outcome_unknown)
		c->s->refused_count++;
}

static bool
is_final_state(const char *state)
{
	return strcmp(state, "completed") == 0 ||
	    strcmp(state, "failed") == 0 || strcmp(state, "cancelled") == 0;
}

static void
handle_state_response(struct call *c, const struct agb_httpc_res *r)
{
	struct job *const j = c->job;
	struct json_object *obj;
	const char *state;

	j->next_call_ms = now_ms(c->s) + POLL_INTERVAL_MS;
	if (r->status != AGB_HTTPC_COMPLETE || r->http_status == 503)
		return;
	if (r->http_status == 410) {
		report_violation(c->s, j->id,
		    "the API reports that an accepted job does not exist");
		return;
	}
	obj = platform_json_parse(r->body, r->body_len);
	state = platform_json_str(obj, "state");
	if (state != NULL) {
		if (is_final_state(j->last_state) &&
		    strcmp(j->last_state, state) != 0)
			report_violation(c->s, j->id, "a final state changed");
		if (strcmp(state, "cancelled") == 0 && !j->cancel_requested)
			report_violation(
			    c->s, j->id, "job was cancelled without a request");
		agb_str_copy(j->last_state, sizeof(j->last_state), state);
		if (is_final_state(state))
			j->state = JOB_FINAL;
	}
	json_object_put(obj);
}

static void
on_response(void *arg, const struct agb_httpc_res *r)
{
	struct call *const c = arg;

	c->job->call_pending = false;
	if (c->kind == CALL_SUBMIT)
		handle_submit_response(c, r);
	else if (c->kind == CALL_STATE)
		handle_state_response(c, r);
	free(c);
}

static void
send_call(struct soak *s, struct job *j, unsigned target, int kind)
{
	static const struct agb_httpc_header headers[] = {
	    {.name = "Host", .value = "jobs"},
	    {.name = "Deadline-Ms", .value = "3000"},
	};
	static const char *const methods[] = {"POST", "GET", "DELETE"};
	struct call *const c = agb_xcalloc(1, sizeof(*c));
	char path[64];
	const struct agb_httpc_req req = {
	    .addr = s->instances[target].http,
	    .method = methods[kind],
	    .path = path,
	    .headers = headers,
	    .headers_len = 2,
	    .body = kind == CALL_SUBMIT ? j->body : NULL,
	    .body_len = kind == CALL_SUBMIT ? strlen(j->body) : 0,
	    .timeout_ms = CALL_TIMEOUT_MS,
	    .cb = on_response,
	    .arg = c,
	};

	snprintf(path, sizeof(path), "/q/%s", j->id);
	c->s = s;
	c->job = j;
	c->instance = target;
	c->kind = kind;
	if (kind != CALL_CANCEL)
		j->call_pending = true;
	agb_httpc_request(s->http, &req);
}

static void
job_create(struct soak *s)
{
	struct job *const j = &s->jobs[s->jobs_len++];
	const unsigned cpu = 1000 * (1 + random_below(s, 4));
	const unsigned ms = 100 + random_below(s, 1500);
	const unsigned count = 1 + random_below(s, 4);
	const bool gang = random_below(s, 4) == 0;

	snprintf(j->id, sizeof(j->id), "%08x%08x", s->options->seed,
	    (unsigned)s->jobs_len);
	snprintf(j->body, sizeof(j->body),
	    "{\"spec\":\"%u %u %u\",\"phases\":[{\"count\":%u,\"cpu\":%u,"
	    "\"mem_mb\":10,\"estimate_ms\":%u%s}]}",
	    ms, cpu, gang ? count : 0, count, cpu, ms,
	    gang ? ",\"gang\":true" : "");
	j->cancel_requested = random_below(s, 20) == 0;
	j->next_call_ms = now_ms(s);
}

static void
job_poll(struct soak *s, struct job *j)
{
	const unsigned target = random_below(s, s->options->instances);

	if (j->call_pending || now_ms(s) < j->next_call_ms)
		return;
	if (j->state == JOB_SUBMITTING) {
		j->submit_attempts++;
		send_call(s, j, target, CALL_SUBMIT);
	} else if (j->state == JOB_ACCEPTED) {
		if (j->cancel_requested && j->last_state[0] == '\0')
			send_call(s, j, target, CALL_CANCEL);
		send_call(s, j, target, CALL_STATE);
	}
}

/* ---- faults ---- */

static void
ignore_response(void *arg, const struct agb_httpc_res *r)
{
}

/* Sends a fault setting to the stand-in, without regard to its response. */
static void
standin_set_fault(struct soak *s, const char *key, int n)
{
	char body[128];
	struct agb_httpc_req req = {
	    .addr = s->store,
	    .method = "POST",
	    .path = "/standin/faults",
	    .body = body,
	    .timeout_ms = 2000,
	    .cb = ignore_response,
	};

	req.body_len =
	    (size_t)snprintf(body, sizeof(body), "{\"%s\":%d}", key, n);
	agb_httpc_request(s->http, &req);
}

/* Kills (@kind 0), pauses (1) or terminates (2) an instance. */
static void
inject_process_fault(struct soak *s, struct instance *in, unsigned kind)
{
	if (in->pid == 0 || in->restore_ms != 0)
		return;
	in->restore_ms = now_ms(s) + 300 + random_below(s, 3500);
	if (kind == 1) {
		kill(in->pid, SIGSTOP);
		in->paused = true;
		return;
	}
	kill(in->pid, kind == 0 ? SIGKILL : SIGTERM);
	if (kind == 0) {
		waitpid(in->pid, NULL, 0);
		in->pid = 0;
	} else {
		/* Longer than grace_s of the settings. */
		in->restore_ms = now_ms(s) + 6500;
	}
}

/* Injects a random fault: 0 to 2 into an instance, 3 to 5 into its connections
 * to the store, 6 into the store, 7 into the connections of a runner. 8, and 6
 * or 7 while such a fault lasts, crash a runner. */
static void
inject_fault(struct soak *s)
{
	struct instance *const in =
	    &s->instances[random_below(s, s->options->instances)];
	const unsigned kind = random_below(s, 9);

	if (s->options->verbose)
		printf("%u ms: fault %u at %s\n", (unsigned)now_ms(s), kind,
		    in->http);
	if (kind < 3) {
		inject_process_fault(s, in, kind);
	} else if (kind < 6) {
		proxy_set_mode(in->proxy,
		    (enum proxy_mode)(PROXY_DELAY + random_below(s, 4)));
		in->proxy_restore_ms = now_ms(s) + 500 + random_below(s, 4000);
	} else if (kind == 6 && s->store_restore_ms == 0) {
		standin_set_fault(s, "store", 1 + (int)random_below(s, 2));
		s->store_restore_ms = now_ms(s) + 300 + random_below(s, 4000);
	} else if (kind == 7 && s->runner_restore_ms == 0) {
		s->cut_runner = (int)random_below(s, s->options->runners);
		standin_set_fault(s, "cut", s->cut_runner);
		s->runner_restore_ms = now_ms(s) + 500 + random_below(s, 7000);
	} else {
		standin_set_fault(
		    s, "crash", (int)random_below(s, s->options->runners));
	}
}

/* Ends the faults whose time is over. An instance that still runs after
 * SIGTERM is killed before its restart. */
static void
end_expired_faults(struct soak *s)
{
	struct instance *in;
	unsigned i;

	for (i = 0; i < s->options->instances; i++) {
		in = &s->instances[i];
		if (in->proxy_restore_ms != 0 &&
		    now_ms(s) >= in->proxy_restore_ms) {
			proxy_set_mode(in->proxy, PROXY_PASS);
			in->proxy_restore_ms = 0;
		}
		if (in->restore_ms == 0 || now_ms(s) < in->restore_ms)
			continue;
		if (in->paused) {
			kill(in->pid, SIGCONT);
			in->paused = false;
			in->restore_ms = 0;
			continue;
		}
		if (in->pid != 0) {
			kill(in->pid, SIGKILL);
			waitpid(in->pid, NULL, 0);
		}
		start_instance(s, in);
	}
	if (s->store_restore_ms != 0 && now_ms(s) >= s->store_restore_ms) {
		standin_set_fault(s, "store", 0);
		s->store_restore_ms = 0;
	}
	if (s->runner_restore_ms != 0 && now_ms(s) >= s->runner_restore_ms) {
		standin_set_fault(s, "heal", s->cut_runner);
		s->runner_restore_ms = 0;
	}
}

/* Reports instances that exited although no signal was sent to them. */
static void
check_for_exited_processes(struct soak *s)
{
	struct instance *in;
	int status;
	unsigned i;

	for (i = 0; i < s->options->instances; i++) {
		in = &s->instances[i];
		if (in->pid == 0 ||
		    waitpid(in->pid, &status, WNOHANG) != in->pid)
			continue;
		if (in->restore_ms == 0) {
			report_violation(
			    s, in->http, "instance exited unexpectedly");
			in->restore_ms = now_ms(s) + 500;
		}
		in->pid = 0;
	}
}

/* ---- final checks ---- */

static bool
all_jobs_final(const struct soak *s)
{
	size_t i;

	for (i = 0; i < s->jobs_len; i++) {
		if (s->jobs[i].call_pending ||
		    s->jobs[i].state == JOB_SUBMITTING ||
		    s->jobs[i].state == JOB_ACCEPTED)
			return false;
	}
	return true;
}

static void
on_standin_jobs(void *arg, const struct agb_httpc_res *r)
{
	struct soak *const s = arg;
	struct json_object *obj;
	size_t i;

	obj = platform_json_parse(r->body, r->body_len);
	if (r->status != AGB_HTTPC_COMPLETE || obj == NULL)
		report_violation(
		    s, "stand-in", "report is missing or malformed");
	for (i = 0; obj != NULL && i < s->jobs_len; i++) {
		if (s->jobs[i].state == JOB_REFUSED &&
		    platform_json_int(obj, s->jobs[i].id, 0) > 0)
			report_violation(
			    s, s->jobs[i].id, "refused job was run");
	}
	json_object_put(obj);
	uv_stop(&s->loop);
}

static void
on_standin_report(void *arg, const struct agb_httpc_res *r)
{
	struct soak *const s = arg;
	const struct agb_httpc_req req = {
	    .addr = s->store,
	    .method = "GET",
	    .path = "/standin/jobs",
	    .timeout_ms = 5000,
	    .cb = on_standin_jobs,
	    .arg = s,
	};
	struct json_object *obj;

	obj = platform_json_parse(r->body, r->body_len);
	if (platform_json_int(obj, "violations", -1) != 0)
		report_violation(s, "stand-in",
		    obj != NULL ? platform_json_str(obj, "first")
				: "report is missing or malformed");
	json_object_put(obj);
	agb_httpc_request(s->http, &req);
}

static void
start_final_checks(struct soak *s)
{
	const struct agb_httpc_req req = {
	    .addr = s->store,
	    .method = "GET",
	    .path = "/standin/report",
	    .timeout_ms = 5000,
	    .cb = on_standin_report,
	    .arg = s,
	};
	size_t i;

	s->done = true;
	for (i = 0; i < s->jobs_len; i++) {
		if (s->jobs[i].state == JOB_ACCEPTED)
			report_violation(s, s->jobs[i].id,
			    "accepted job did not reach a final state");
	}
	agb_httpc_request(s->http, &req);
}

static void
on_tick(uv_timer_t *t)
{
	struct soak *const s = t->data;
	const uint64_t now = now_ms(s);
	size_t i;

	if (s->done)
		return;
	if (now >= STARTUP_MS / 4 && now < s->options->load_ms &&
	    now >= s->next_job_ms && s->jobs_len < JOBS_MAX) {
		job_create(s);
		s->next_job_ms = now + 1000 / s->options->jobs_per_s;
	}
	if (s->options->fault_interval_ms > 0 && now >= s->next_fault_ms &&
	    now > STARTUP_MS / 2 && now < s->options->load_ms) {
		inject_fault(s);
		s->next_fault_ms = now + s->options->fault_interval_ms / 2 +
		    random_below(s, s->options->fault_interval_ms);
	}
	end_expired_faults(s);
	check_for_exited_processes(s);
	for (i = 0; i < s->jobs_len; i++)
		job_poll(s, &s->jobs[i]);
	if ((now >= s->options->load_ms && all_jobs_final(s)) ||
	    now >= s->options->load_ms + s->options->finish_timeout_ms)
		start_final_checks(s);
}

unsigned
soak_run(const struct soak_options *options)
{
	struct soak *const s = agb_xcalloc(1, sizeof(*s));
	unsigned i, violations;

	s->options = options;
	s->rng_state =
	    (uint64_t)options->seed * 2654435761U + 88172645463325252ULL;
	s->jobs = agb_xcalloc(JOBS_MAX, sizeof(*s->jobs));
	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&s->loop);
	if (!start_standin(s)) {
		printf("seed %u: the stand-in did not start\n", options->seed);
		return 1;
	}
	s->http = agb_httpc_new(&s->loop, 64);
	for (i = 0; i < options->instances; i++) {
		prepare_instance(s, i);
		start_instance(s, &s->instances[i]);
	}
	uv_update_time(&s->loop);
	s->start_ms = uv_now(&s->loop);
	uv_timer_init(&s->loop, &s->tick_timer);
	s->tick_timer.data = s;
	uv_timer_start(&s->tick_timer, on_tick, TICK_MS, TICK_MS);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	for (i = 0; i < options->instances; i++) {
		if (s->instances[i].pid == 0)
			continue;
		kill(s->instances[i].pid, SIGKILL);
		waitpid(s->instances[i].pid, NULL, 0);
	}
	kill(s->standin_pid, SIGKILL);
	waitpid(s->standin_pid, NULL, 0);
	if (options->verbose)
		printf("seed %u: %zu jobs, %u accepted, %u refused\n",
		    options->seed, s->jobs_len, s->accepted_count,
		    s->refused_count);
	violations = s->violations;
	/* The loop and its handles are left to the end of the process. */
	free(s->jobs);
	return violations;
}

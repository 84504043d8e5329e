#include "wf_daemon.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "httpc.h"
#include "log.h"
#include "mem.h"
#include "wf_core.h"
#include "wf_follow.h"
#include "wf_giveup.h"
#include "wf_httpd_log.h"
#include "wf_metrics.h"
#include "wf_registry.h"
#include "wf_rpc.h"
#include "wf_table.h"

#define SETTINGS_BYTES_MAX ((size_t)64 * 1024)
#define EXIT_BAD_SETTINGS 2
/* Maximum request body in bytes at the readiness and metrics addresses, where
 * the body is ignored. */
#define PROBE_BODY_MAX 1024
/* Maximum number of connections at each of these addresses. */
#define PROBE_CONNECTIONS_MAX 64
/* At exit the loop runs on so that the last responses can be written. It stops
 * at the first check that finds no pending request, or at the last check. */
#define EXIT_POLL_MS 100
#define EXIT_POLLS_MAX 3
#define GIVE_UP_LINE_LEN 320
#define REFUSAL_LINE_LEN 256
/* Minimum time between two deliveries of registry changes. */
#define REGISTRY_INTERVAL_MS 200

/* Tags of store calls and watches of the followers; all other tags belong to
 * the reducer. */
#define TAG_FOLLOW ((uint64_t)7 << 60)
#define TAG_FEEDS_BASE (TAG_FOLLOW | 64)
#define TAG_DOCUMENT (TAG_FOLLOW | 2)
/* Each new follower of the registry or of a feed gets a tag of its own, so that
 * late results of an earlier one are ignored. Tags of the registry count up
 * from here, those of feeds from TAG_FEEDS_BASE. */
#define TAG_REGISTRY_BASE (TAG_FOLLOW | (uint64_t)1 << 32)

/**
 * struct daemon - an instance
 * @feeds: followers of the instances' own keys; NULL while not watched
 * @feeds_started: number of feed followers so far, for their tags
 * @document: follower of the configuration document
 * @registry: follower of the runner registry; NULL while not watched
 * @ready: what the readiness address reports
 * @exit_polls_left: remaining checks for pending requests before the loop stops
 */
struct daemon {
	const struct wf_adapter_ops *ops;
	const char *settings_path;
	struct wf_settings settings;
	uv_loop_t loop;
	uv_timer_t tick_timer;
	uv_timer_t exit_timer;
	uv_signal_t sigterm;
	uv_signal_t sighup;
	struct agb_log *log;
	struct wf_metrics *metrics;
	struct wf_core *core;
	struct wf_httpd *http;
	struct wf_httpd *ready_http;
	struct wf_httpd *metrics_http;
	struct wf_rpc *rpc;
	struct agb_store *store;
	struct wf_giveup_log give_ups;
	struct wf_httpd_log refusals;
	struct wf_adapter *adapter;
	struct {
		uint64_t tag;
		struct wf_follow *follow;
	} feeds[WF_FEEDS];
	uint64_t feeds_started;
	struct wf_follow *document;
	struct wf_follow *registry;
	uint64_t registry_tag;
	bool ready;
	int exit_polls_left;
};

static void handle_event(struct daemon *d, struct wf_event *ev);

/* CLOCK_BOOTTIME also advances while the machine is suspended. */
static struct wf_now
get_now(void)
{
	struct timespec boot, real;

	clock_gettime(CLOCK_BOOTTIME, &boot);
	clock_gettime(CLOCK_REALTIME, &real);
	return (struct wf_now){
	    .mono =
		(agb_time)boot.tv_sec * AGB_SEC + (agb_time)boot.tv_nsec / 1000,
	    .unix_ms = (int64_t)real.tv_sec * 1000 + real.tv_nsec / 1000000,
	};
}

/* ---- measurements ---- */

static agb_time
read_meter_clock(void *arg)
{
	return uv_hrtime() / 1000;
}

static void
read_backlog(void *arg, struct wf_backlog *out)
{
	const struct daemon *const d = arg;

	agb_rpc_backlog(wf_rpc_endpoint(d->rpc), &out->bytes, &out->largest);
}

/* ---- events ---- */

static void
on_tick(uv_timer_t *t)
{
	struct wf_event ev = {.type = WF_EV_TICK};

	handle_event(t->data, &ev);
}

static void
on_feed(struct daemon *d, enum wf_feed_id id, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	struct wf_event ev = {.type = WF_EV_FEED};

	ev.u.feed.id = id;
	ev.u.feed.full = full;
	ev.u.feed.revision = revision;
	ev.u.feed.items = kvs;
	ev.u.feed.items_len = len;
	handle_event(d, &ev);
}

static void
on_control(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	on_feed(arg, WF_FEED_CONTROL, full, revision, kvs, len);
}

static void
on_jobs(void *arg, bool full, uint64_t revision, const struct agb_store_kv *kvs,
    size_t len)
{
	on_feed(arg, WF_FEED_JOBS, full, revision, kvs, len);
}

static void
on_states(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	on_feed(arg, WF_FEED_STATES, full, revision, kvs, len);
}

/* Malformed documents are logged; the one in force stays. */
static void
on_document(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	struct wf_event ev = {.type = WF_EV_DOC};
	struct daemon *const d = arg;
	char fault[AGB_DETAIL_LEN];
	size_t i;

	for (i = 0; i < len; i++) {
		if (kvs[i].deleted)
			continue;
		fault[0] = '\0';
		ev.u.doc = d->ops->parse_document(&kvs[i], fault);
		if (ev.u.doc != NULL)
			handle_event(d, &ev);
		else if (fault[0] != '\0')
			agb_log_printf(d->log, AGB_LOG_ERROR, "document",
			    "key=%s revision=%" PRIu64 " fault=\"%s\"",
			    kvs[i].key, kvs[i].mod_rev, fault);
	}
}

static void
on_registry(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	struct wf_event ev = {.type = WF_EV_RUNNERS};
	struct daemon *const d = arg;
	struct wf_runner_change *items;
	char fault[AGB_DETAIL_LEN];
	size_t i, n;

	items = agb_xcalloc(len + 1, sizeof(*items));
	n = 0;
	for (i = 0; i < len; i++) {
		n += wf_registry_read(d->ops, &kvs[i], &items[n], fault);
		if (fault[0] != '\0')
			agb_log_printf(d->log, AGB_LOG_WARN, "registry",
			    "key=%s revision=%" PRIu64 " fault=\"%s\"",
			    kvs[i].key, kvs[i].mod_rev, fault);
	}
	ev.u.runners.full = full;
	ev.u.runners.items = items;
	ev.u.runners.items_len = n;
	handle_event(d, &ev);
	free(items);
}

static struct wf_follow *
find_follow(struct daemon *d, uint64_t tag)
{
	size_t i;

	if (tag == TAG_DOCUMENT)
		return d->document;
	for (i = 0; i < WF_FEEDS; i++) {
		if (d->feeds[i].tag == tag)
			return d->feeds[i].follow;
	}
	return tag == d->registry_tag ? d->registry : NULL;
}

static void
on_store(void *arg, uint64_t tag, struct agb_store_result *res)
{
	struct wf_event ev = {.type = WF_EV_STORE, .tag = tag};
	struct daemon *const d = arg;
	struct wf_follow *f;

	wf_metrics_count_store_result(d->metrics, res->status);
	if ((tag & TAG_FOLLOW) == TAG_FOLLOW) {
		f = find_follow(d, tag);
		if (f != NULL)
			wf_follow_handle_result(f, res);
		return;
	}
	ev.u.store = res;
	handle_event(d, &ev);
}

static void
on_watch(void *arg, uint64_t tag, struct agb_store_kv *kvs, size_t len,
    uint64_t revision, bool broken)
{
	struct daemon *const d = arg;
	struct wf_follow *const f = find_follow(d, tag);

	if (broken)
		agb_log_printf(d->log, AGB_LOG_WARN, "sync",
		    "followed=%s change=history-gone",
		    tag == TAG_DOCUMENT		   ? "document"
			: tag >= TAG_REGISTRY_BASE ? "registry"
						   : "own-keys");
	if (f != NULL)
		wf_follow_handle_watch(f, kvs, len, revision, broken);
}

static void
on_order_result(void *arg, struct wf_order_result *res)
{
	struct wf_event ev = {.type = WF_EV_ORDER_RESULT, .u.order = res};
	struct daemon *const d = arg;

	wf_metrics_count_order(d->metrics, res);
	handle_event(d, &ev);
}

static void
on_advice(void *arg, uint64_t tag, struct wf_advice *a)
{
	struct wf_event ev = {.type = WF_EV_ADVICE, .tag = tag, .u.advice = a};

	handle_event(arg, &ev);
}

static void
on_request(void *arg, const struct wf_http_req *req)
{
	struct wf_event ev = {.type = WF_EV_CALL};
	struct daemon *const d = arg;
	struct wf_call call;

	if (req->body_len > wf_core_body_max(d->core)) {
		wf_httpd_reply(d->http, req->id, 413, "text/plain", 0, "", 0);
		return;
	}
	memset(&call, 0, sizeof(call));
	if (!d->ops->parse_call(req, &call)) {
		wf_httpd_reply(d->http, req->id, 405, "text/plain", 0, "", 0);
		return;
	}
	wf_metrics_record_call(d->metrics, &call, get_now().mono);
	ev.u.call = &call;
	handle_event(d, &ev);
	explicit_bzero(call.key, sizeof(call.key));
	if (call.spec != NULL) {
		wf_spec_free(call.spec);
		free(call.spec);
	}
}

static void
on_ready_request(void *arg, const struct wf_http_req *req)
{
	struct daemon *const d = arg;
	const char *const text = d->ready ? "ok\n" : "not ready\n";

	wf_httpd_reply(d->ready_http, req->id, d->ready ? 200 : 503,
	    "text/plain", 0, text, strlen(text));
}

static void
on_metrics_request(void *arg, const struct wf_http_req *req)
{
	struct daemon *const d = arg;
	struct wf_metrics_sample in;
	char *text;
	size_t len;

	memset(&in, 0, sizeof(in));
	wf_core_get_gauges(d->core, get_now().mono, &in.gauges);
	in.connections = wf_httpd_connections(d->http);
	in.clients = *wf_httpd_budget(d->http);
	in.requests_open = wf_httpd_pending_requests(d->http);
	in.store_calls = d->store->ops->call_count(d->store);
	in.log_dropped = agb_log_dropped(d->log);
	in.runner_bytes = d->ops->runner_bytes(d->adapter);
	in.meter = wf_core_meter(d->core);
	in.rpc = agb_rpc_stats(wf_rpc_endpoint(d->rpc));
	read_backlog(d, &in.backlog);
	text = wf_metrics_format(d->metrics, &in, &len);
	wf_httpd_reply(d->metrics_http, req->id, 200,
	    "text/plain; version=0.0.4", 0, text, len);
	free(text);
}

static void
on_peer_event(void *arg, struct wf_event *ev)
{
	handle_event(arg, ev);
}

static void
on_store_give_up(void *arg, const struct agb_store_give_up *g)
{
	struct daemon *const d = arg;
	char line[GIVE_UP_LINE_LEN];

	wf_metrics_count_give_up(d->metrics, g);
	if (wf_giveup_format(
		&d->give_ups, g, get_now().mono, line, sizeof(line)))
		agb_log_line(d->log, AGB_LOG_WARN, "store", line);
}

static void
on_client_refusal(void *arg, enum wf_httpd_reason reason)
{
	struct daemon *const d = arg;
	char line[REFUSAL_LINE_LEN];

	if (wf_httpd_log_format(&d->refusals, wf_httpd_budget(d->http), reason,
		get_now().mono, line, sizeof(line)))
		agb_log_line(d->log, AGB_LOG_WARN, "clients", line);
}

static void
on_rpc_log(
    void *arg, enum agb_log_level level, const char *event, const char *line)
{
	struct daemon *const d = arg;

	agb_log_line(d->log, level, event, line);
}

/* ---- effects ---- */

static void
send_reply(struct daemon *d, const struct wf_effect *ef)
{
	const char *type;
	size_t len;
	char *body;

	wf_metrics_record_reply(
	    d->metrics, ef->call_id, &ef->u.reply, get_now().mono);
	body = d->ops->format_reply(&ef->u.reply, &len, &type);
	wf_httpd_reply(d->http, ef->call_id, ef->u.reply.http_status, type,
	    ef->u.reply.retry_s, body, len);
	free(body);
}

static void
follow_feed(struct daemon *d, const struct wf_effect *ef)
{
	static const struct {
		const char *prefix;
		wf_follow_cb cb;
	} sources[WF_FEEDS] = {
	    [WF_FEED_CONTROL] = {WF_PREFIX_CONTROL, on_control},
	    [WF_FEED_JOBS] = {WF_PREFIX_JOBS, on_jobs},
	    [WF_FEED_STATES] = {WF_PREFIX_STATES, on_states},
	};

	wf_follow_free(d->feeds[ef->feed].follow);
	d->feeds[ef->feed].follow = NULL;
	if (!ef->flag)
		return;
	d->feeds[ef->feed].tag = TAG_FEEDS_BASE + ++d->feeds_started;
	d->feeds[ef->feed].follow =
	    wf_follow_new(&d->loop, d->store, d->feeds[ef->feed].tag,
		sources[ef->feed].prefix, sources[ef->feed].cb, d);
}

static void
follow_registry(struct daemon *d, bool on)
{
	wf_follow_free(d->registry);
	d->registry = NULL;
	if (!on)
		return;
	/* A new tag, so that late results of the previous follower are
	 * ignored. */
	d->registry_tag++;
	d->registry = wf_follow_new(&d->loop, d->store, d->registry_tag,
	    d->ops->registry_prefix, on_registry, d);
	wf_follow_set_interval(d->registry, REGISTRY_INTERVAL_MS);
}

static void
on_exit_timer(uv_timer_t *t)
{
	struct daemon *const d = t->data;

	if (wf_httpd_pending_requests(d->http) == 0 ||
	    --d->exit_polls_left == 0)
		uv_stop(&d->loop);
}

static void
begin_exit(struct daemon *d)
{
	wf_httpd_stop_listening(d->http);
	d->exit_polls_left = EXIT_POLLS_MAX;
	uv_timer_start(
	    &d->exit_timer, on_exit_timer, EXIT_POLL_MS, EXIT_POLL_MS);
}

static void
perform_effect(struct daemon *d, struct wf_effect *ef)
{
	switch (ef->type) {
	case WF_EF_STORE:
		d->store->ops->call(
		    d->store, ef->tag, &ef->u.store, ef->timeout_ms);
		break;
	case WF_EF_REPLY:
		send_reply(d, ef);
		break;
	case WF_EF_ORDER:
		d->ops->send_order(d->adapter, &ef->u.order);
		break;
	case WF_EF_ADVICE_REQUEST:
		d->ops->request_advice(
		    d->adapter, ef->tag, &ef->u.advice_request, ef->timeout_ms);
		break;
	case WF_EF_WATCH_REGISTRY:
		follow_registry(d, ef->flag);
		break;
	case WF_EF_WATCH_FEED:
		follow_feed(d, ef);
		break;
	case WF_EF_FEED_INTERVAL:
		if (d->feeds[ef->feed].follow != NULL)
			wf_follow_set_interval(
			    d->feeds[ef->feed].follow, ef->interval_ms);
		break;
	case WF_EF_READY:
		d->ready = ef->flag;
		/* Clients with an open connection would not notice that other
		 * instances serve them better, and go on using it. */
		wf_httpd_set_keep_alive(d->http, ef->flag);
		break;
	case WF_EF_LOG:
		wf_metrics_count_event(d->metrics, ef->u.log.event);
		agb_log_line(
		    d->log, ef->u.log.level, ef->u.log.event, ef->u.log.line);
		break;
	case WF_EF_EXIT:
		begin_exit(d);
		break;
	default:
		(void)wf_rpc_perform(d->rpc, ef);
	}
}

static void
schedule_tick(struct daemon *d, agb_time now)
{
	const agb_time at = wf_core_next_tick(d->core);
	const agb_time ms = at > now ? (at - now + AGB_MS - 1) / AGB_MS : 0;

	/* The loop caches its time and does not advance it while callbacks
	 * run. */
	uv_update_time(&d->loop);
	uv_timer_start(&d->tick_timer, on_tick, ms > 0 ? ms : 1, 0);
}

/* Passes an event to the reducer and carries out the effects. An effect can
 * cause another event before it returns, so each call has its own list of
 * effects. */
static void
handle_event(struct daemon *d, struct wf_event *ev)
{
	const struct wf_now now = get_now();
	struct wf_effects out = {0};
	size_t i;

	wf_meter_begin_turn(wf_core_meter(d->core));
	wf_core_handle(d->core, &now, ev, &out);
	for (i = 0; i < out.len; i++)
		perform_effect(d, &out.items[i]);
	wf_effects_free(&out);
	wf_meter_end_turn(wf_core_meter(d->core));
	schedule_tick(d, now.mono);
}

/* ---- start, reload and stop ---- */

static bool
read_settings(const char *path, struct wf_settings *out, FILE *report)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	char text[16384], *raw;
	size_t len;
	FILE *file;
	bool ok;

	ok = false;
	raw = NULL;
	file = fopen(path, "r");
	if (file == NULL) {
		fprintf(report, "agatebeamd: %s: %s\n", path, strerror(errno));
		goto out;
	}
	raw = agb_xcalloc(1, SETTINGS_BYTES_MAX + 1);
	len = fread(raw, 1, SETTINGS_BYTES_MAX, file);
	fclose(file);
	ok = wf_settings_parse(raw, len, out, f);
	if (agb_findings_format(f, path, text, sizeof(text)) > 0)
		fputs(text, report);
out:
	free(raw);
	free(f);
	return ok;
}

static void
on_sighup(uv_signal_t *h, int signum)
{
	struct daemon *const d = h->data;
	struct wf_settings s;
	bool ok;

	/* Only checked: settings take effect at the next start, since clients
	 * and peers use the addresses. */
	ok = read_settings(d->settings_path, &s, stderr);
	agb_log_printf(d->log, ok ? AGB_LOG_INFO : AGB_LOG_ERROR, "reload",
	    "settings=%s outcome=%s", d->settings_path,
	    ok ? "taken" : "refused");
}

static void
on_sigterm(uv_signal_t *h, int signum)
{
	struct wf_event ev = {.type = WF_EV_TERM};
	struct daemon *const d = h->data;

	handle_event(d, &ev);
}

static struct wf_httpd *
listen_on(struct daemon *d, const char *addr, size_t body_max, wf_httpd_cb cb)
{
	struct wf_httpd *const s = wf_httpd_new(&d->loop, addr,
	    d->ops->deadline_header, d->ops->key_header, body_max, cb, d);

	if (s == NULL)
		fprintf(stderr, "agatebeamd: cannot listen on %s: %s\n", addr,
		    strerror(errno));
	return s;
}

static bool
open_endpoints(struct daemon *d)
{
	static const struct wf_rpc_cbs rpc = {
	    .event = on_peer_event, .log = on_rpc_log};
	static const struct wf_adapter_cbs adapter = {
	    .order_result = on_order_result, .advice = on_advice};
	const struct wf_settings *const s = &d->settings;

	d->http = listen_on(d, s->http_addr, s->body_max_bytes, on_request);
	if (d->http != NULL) {
		wf_httpd_set_memory(d->http, s->memory_mb);
		wf_httpd_on_refusal(d->http, on_client_refusal);
	}
	d->ready_http =
	    listen_on(d, s->ready_addr, PROBE_BODY_MAX, on_ready_request);
	d->metrics_http =
	    listen_on(d, s->metrics_addr, PROBE_BODY_MAX, on_metrics_request);
	d->rpc = wf_rpc_new(&d->loop, s->rpc_addr, &rpc, d);
	if (d->rpc == NULL)
		fprintf(
		    stderr, "agatebeamd: cannot listen on %s\n", s->rpc_addr);
	if (d->http == NULL || d->ready_http == NULL ||
	    d->metrics_http == NULL || d->rpc == NULL)
		return false;
	wf_httpd_set_connections_max(d->ready_http, PROBE_CONNECTIONS_MAX);
	wf_httpd_set_connections_max(d->metrics_http, PROBE_CONNECTIONS_MAX);
	d->store =
	    d->ops->open_store(&d->loop, s->store_addr, on_store, on_watch, d);
	d->store->give_up_cb = on_store_give_up;
	d->adapter = d->ops->open(&d->loop, s, &adapter, d);
	return true;
}

static void
create_core(struct daemon *d)
{
	static const struct wf_meter_ops meter = {
	    .clock = read_meter_clock, .backlog = read_backlog};
	struct wf_config cfg;

	memset(&cfg, 0, sizeof(cfg));
	if (uv_random(NULL, NULL, &cfg.seed, sizeof(cfg.seed), 0, NULL) != 0)
		cfg.seed = uv_hrtime();
	/* To the other instances each start is a new instance. */
	snprintf(cfg.name, sizeof(cfg.name), "%.40s.%08x", d->settings.instance,
	    (unsigned)(cfg.seed >> 32));
	agb_str_copy(cfg.rpc, sizeof(cfg.rpc), d->settings.rpc_addr);
	agb_str_copy(cfg.domain, sizeof(cfg.domain), d->settings.domain);
	agb_str_copy(cfg.region, sizeof(cfg.region), d->settings.region);
	cfg.cpu_permille = (uint32_t)(d->settings.cpu_share * 1000);
	cfg.link_kbps = (uint32_t)(d->settings.link_mbps * 1000);
	cfg.memory_mb = d->settings.memory_mb;
	cfg.grace_ms = d->settings.shutdown_grace_ms;
	cfg.status_s = d->settings.status_retention_s;
	cfg.runner_lease_max_ms = d->settings.runner_lease_max_ms;
	cfg.remote_factor = d->settings.remote_run_factor;
	cfg.locality_wait_max_ms = d->settings.locality_wait_max_ms;
	cfg.meter_ops = &meter;
	cfg.meter_arg = d;
	d->core = wf_core_new(&cfg);
	agb_log_printf(d->log, AGB_LOG_INFO, "start",
	    "instance=%s domain=%s http=%s rpc=%s metrics=%s store=%s",
	    cfg.name, cfg.domain, d->settings.http_addr, cfg.rpc,
	    d->settings.metrics_addr, d->settings.store_addr);
}

static bool
init_daemon(struct daemon *d)
{
	uv_loop_init(&d->loop);
	uv_timer_init(&d->loop, &d->tick_timer);
	uv_timer_init(&d->loop, &d->exit_timer);
	uv_signal_init(&d->loop, &d->sigterm);
	uv_signal_init(&d->loop, &d->sighup);
	d->tick_timer.data = d->exit_timer.data = d->sigterm.data =
	    d->sighup.data = d;
	/* SIGPIPE would end the process when a peer closes its connection. A
	 * blocking stdout would stall it when the reader of the log stops. */
	signal(SIGPIPE, SIG_IGN);
	(void)fcntl(
	    STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
	d->log = agb_log_new(&d->loop, STDOUT_FILENO, d->settings.log_json,
	    d->settings.log_level);
	d->metrics = wf_metrics_new();
	return open_endpoints(d);
}

int
wf_daemon_run(const char *path, const struct wf_adapter_ops *ops)
{
	struct wf_event first = {.type = WF_EV_TICK};
	struct daemon *const d = agb_xcalloc(1, sizeof(*d));

	/* Its default action ends a process that does not handle it yet. */
	signal(SIGHUP, SIG_IGN);
	d->settings_path = path;
	d->ops = ops;
	d->registry_tag = TAG_REGISTRY_BASE;
	if (!read_settings(path, &d->settings, stderr)) {
		free(d);
		return EXIT_BAD_SETTINGS;
	}
	if (!init_daemon(d))
		return 1;
	create_core(d);
	d->document = wf_follow_new(&d->loop, d->store, TAG_DOCUMENT,
	    ops->document_prefix, on_document, d);
	uv_signal_start(&d->sigterm, on_sigterm, SIGTERM);
	uv_signal_start(&d->sighup, on_sighup, SIGHUP);
	handle_event(d, &first);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	agb_log_printf(
	    d->log, AGB_LOG_INFO, "stop", "instance=%s", d->settings.instance);
	agb_log_flush(d->log);
	/* Not freed: the process ends here. */
	return 0;
}

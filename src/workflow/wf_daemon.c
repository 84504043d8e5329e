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
#include "wf_metrics.h"
#include "wf_rpc.h"
#include "wf_table.h"

#define SETTINGS_MAX ((size_t)64 * 1024)
#define EXIT_BAD_INPUT 2
/* Requests for readiness and metrics have no body that matters, in bytes. */
#define SMALL_BODY_MAX 1024
/* Time for the last answers to be written before the loop stops. */
#define LINGER_MS 100
#define LINGER_TRIES 3
/* Least time between two reads of the registry's changes. */
#define REGISTRY_GAP_MS 200

/* Tags of what is followed; all others belong to the reducer. */
#define FOLLOW_TAG ((uint64_t)7 << 60)
#define TAG_FEEDS (FOLLOW_TAG | 64)
#define TAG_DOCUMENT (FOLLOW_TAG | 2)
/* Each start of a registry or a feed has a tag of its own: answers to an
 * earlier one are told apart. Registries count from here, feeds from
 * TAG_FEEDS. */
#define TAG_REGISTRY (FOLLOW_TAG | (uint64_t)1 << 32)

struct daemon {
	const struct wf_adapter_ops *ops;
	const char *path;
	struct wf_settings settings;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_timer_t linger;
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
	struct wf_adapter *adapter;
	struct {
		uint64_t tag;
		struct wf_follow *follow;
	} feeds[WF_FEEDS];
	uint64_t feed_starts;
	struct wf_follow *document;
	struct wf_follow *registry;
	uint64_t registry_tag;
	bool ready;
	int linger_left;
};

static void feed(struct daemon *d, struct wf_event *ev);

/* The monotonic part also counts while the machine is suspended. */
static struct wf_now
now_get(void)
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

/* ---- inputs ---- */

static void
on_tick(uv_timer_t *t)
{
	struct wf_event ev = {.type = WF_EV_TICK};

	feed(t->data, &ev);
}

static void
on_own(struct daemon *d, enum wf_feed_id id, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	struct wf_event ev = {.type = WF_EV_FEED};

	ev.u.feed.id = id;
	ev.u.feed.full = full;
	ev.u.feed.revision = revision;
	ev.u.feed.items = kvs;
	ev.u.feed.items_len = len;
	feed(d, &ev);
}

static void
on_control(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	on_own(arg, WF_FEED_CONTROL, full, revision, kvs, len);
}

static void
on_jobs(void *arg, bool full, uint64_t revision, const struct agb_store_kv *kvs,
    size_t len)
{
	on_own(arg, WF_FEED_JOBS, full, revision, kvs, len);
}

static void
on_states(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	on_own(arg, WF_FEED_STATES, full, revision, kvs, len);
}

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
		ev.u.doc = d->ops->document_get(&kvs[i], fault);
		if (ev.u.doc != NULL)
			feed(d, &ev);
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
	const size_t skip = strlen(d->ops->registry_prefix);
	struct wf_runner_change *items;
	char fault[AGB_DETAIL_LEN];
	size_t i, n;

	items = agb_xcalloc(len + 1, sizeof(*items));
	n = 0;
	for (i = 0; i < len; i++) {
		fault[0] = '\0';
		items[n].removed = kvs[i].deleted;
		if (!kvs[i].deleted &&
		    !d->ops->runner_get(&kvs[i], &items[n].info, fault)) {
			agb_log_printf(d->log, AGB_LOG_WARN, "registry",
			    "key=%s revision=%" PRIu64 " fault=\"%s\"",
			    kvs[i].key, kvs[i].mod_rev, fault);
			continue;
		}
		agb_name_set(items[n].info.id, sizeof(items[n].info.id),
		    kvs[i].key + skip);
		n++;
	}
	ev.u.runners.full = full;
	ev.u.runners.items = items;
	ev.u.runners.items_len = n;
	feed(d, &ev);
	free(items);
}

static struct wf_follow *
follow_of(struct daemon *d, uint64_t tag)
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

	wf_metrics_store(d->metrics, res->status);
	if ((tag & FOLLOW_TAG) == FOLLOW_TAG) {
		f = follow_of(d, tag);
		if (f != NULL)
			wf_follow_result(f, res);
		return;
	}
	ev.u.store = res;
	feed(d, &ev);
}

static void
on_watch(void *arg, uint64_t tag, struct agb_store_kv *kvs, size_t len,
    uint64_t revision, bool broken)
{
	struct daemon *const d = arg;
	struct wf_follow *const f = follow_of(d, tag);

	if (broken)
		agb_log_printf(d->log, AGB_LOG_WARN, "sync",
		    "followed=%s change=history-gone",
		    tag == TAG_DOCUMENT	      ? "document"
			: tag >= TAG_REGISTRY ? "registry"
					      : "own-keys");
	if (f != NULL)
		wf_follow_watch(f, kvs, len, revision, broken);
}

static void
on_order(void *arg, struct wf_order_result *res)
{
	struct wf_event ev = {.type = WF_EV_ORDER_RESULT, .u.order = res};
	struct daemon *const d = arg;

	wf_metrics_order(d->metrics, res);
	feed(d, &ev);
}

static void
on_advice(void *arg, uint64_t tag, struct wf_advice *a)
{
	struct wf_event ev = {.type = WF_EV_ADVICE, .tag = tag, .u.advice = a};

	feed(arg, &ev);
}

static void
on_request(void *arg, const struct wf_http_req *req)
{
	struct wf_event ev = {.type = WF_EV_CALL};
	struct daemon *const d = arg;
	struct wf_call call;

	memset(&call, 0, sizeof(call));
	if (!d->ops->call_get(req, &call)) {
		wf_httpd_reply(d->http, req->id, 405, "text/plain", 0, "", 0);
		return;
	}
	wf_metrics_call(d->metrics, &call, now_get().mono);
	ev.u.call = &call;
	feed(d, &ev);
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
	struct wf_metrics_input in;
	char *text;
	size_t len;

	memset(&in, 0, sizeof(in));
	wf_core_get_gauges(d->core, now_get().mono, &in.gauges);
	in.connections = wf_httpd_connections(d->http);
	in.requests_open = wf_httpd_open(d->http);
	in.store_calls = d->store->ops->call_count(d->store);
	in.log_dropped = agb_log_dropped(d->log);
	in.runner_bytes = d->ops->bytes(d->adapter);
	text = wf_metrics_text(d->metrics, &in, &len);
	wf_httpd_reply(d->metrics_http, req->id, 200,
	    "text/plain; version=0.0.4", 0, text, len);
	free(text);
}

static void
on_peer_event(void *arg, struct wf_event *ev)
{
	feed(arg, ev);
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
do_reply(struct daemon *d, const struct wf_effect *ef)
{
	const char *type;
	size_t len;
	char *body;

	wf_metrics_reply(d->metrics, ef->call_id, &ef->u.reply, now_get().mono);
	body = d->ops->reply_put(&ef->u.reply, &len, &type);
	wf_httpd_reply(d->http, ef->call_id, ef->u.reply.http_status, type,
	    ef->u.reply.retry_s, body, len);
	free(body);
}

static void
do_follow(struct daemon *d, const struct wf_effect *ef)
{
	static const struct {
		const char *prefix;
		wf_follow_cb cb;
	} parts[WF_FEEDS] = {
	    [WF_FEED_CONTROL] = {WF_PREFIX_CONTROL, on_control},
	    [WF_FEED_JOBS] = {WF_PREFIX_JOBS, on_jobs},
	    [WF_FEED_STATES] = {WF_PREFIX_STATES, on_states},
	};

	wf_follow_free(d->feeds[ef->feed].follow);
	d->feeds[ef->feed].follow = NULL;
	if (!ef->flag)
		return;
	d->feeds[ef->feed].tag = TAG_FEEDS + ++d->feed_starts;
	d->feeds[ef->feed].follow =
	    wf_follow_new(&d->loop, d->store, d->feeds[ef->feed].tag,
		parts[ef->feed].prefix, parts[ef->feed].cb, d);
}

static void
do_registry(struct daemon *d, bool on)
{
	wf_follow_free(d->registry);
	d->registry = NULL;
	if (!on)
		return;
	/* A new tag, so that answers to an earlier read are told apart. */
	d->registry_tag++;
	d->registry = wf_follow_new(&d->loop, d->store, d->registry_tag,
	    d->ops->registry_prefix, on_registry, d);
	wf_follow_pace(d->registry, REGISTRY_GAP_MS);
}

static void
on_linger(uv_timer_t *t)
{
	struct daemon *const d = t->data;

	if (wf_httpd_open(d->http) == 0 || --d->linger_left == 0)
		uv_stop(&d->loop);
}

static void
do_exit(struct daemon *d)
{
	wf_httpd_stop(d->http);
	d->linger_left = LINGER_TRIES;
	uv_timer_start(&d->linger, on_linger, LINGER_MS, LINGER_MS);
}

static void
carry_out(struct daemon *d, struct wf_effect *ef)
{
	switch (ef->type) {
	case WF_EF_STORE:
		d->store->ops->call(
		    d->store, ef->tag, &ef->u.store, ef->timeout_ms);
		break;
	case WF_EF_REPLY:
		do_reply(d, ef);
		break;
	case WF_EF_ORDER:
		d->ops->order(d->adapter, &ef->u.order);
		break;
	case WF_EF_ADVICE_REQUEST:
		d->ops->advise(
		    d->adapter, ef->tag, &ef->u.advice_request, ef->timeout_ms);
		break;
	case WF_EF_WATCH_REGISTRY:
		do_registry(d, ef->flag);
		break;
	case WF_EF_WATCH_FEED:
		do_follow(d, ef);
		break;
	case WF_EF_FEED_INTERVAL:
		if (d->feeds[ef->feed].follow != NULL)
			wf_follow_pace(
			    d->feeds[ef->feed].follow, ef->interval_ms);
		break;
	case WF_EF_READY:
		d->ready = ef->flag;
		break;
	case WF_EF_LOG:
		wf_metrics_event(d->metrics, ef->u.log.event);
		agb_log_line(
		    d->log, ef->u.log.level, ef->u.log.event, ef->u.log.line);
		break;
	case WF_EF_EXIT:
		do_exit(d);
		break;
	default:
		(void)wf_rpc_perform(d->rpc, ef);
	}
}

static void
plan_tick(struct daemon *d, agb_time now)
{
	const agb_time at = wf_core_next_tick(d->core);
	const agb_time ms = at > now ? (at - now + AGB_MS - 1) / AGB_MS : 0;

	/* The loop's own time lags behind while callbacks run. */
	uv_update_time(&d->loop);
	uv_timer_start(&d->tick, on_tick, ms > 0 ? ms : 1, 0);
}

/* Carrying out an effect may raise the next event at once, so that each call
 * has its own list. */
static void
feed(struct daemon *d, struct wf_event *ev)
{
	const struct wf_now now = now_get();
	struct wf_effects out = {0};
	size_t i;

	wf_core_handle(d->core, &now, ev, &out);
	for (i = 0; i < out.len; i++)
		carry_out(d, &out.items[i]);
	wf_effects_free(&out);
	plan_tick(d, now.mono);
}

/* ---- start, reload, stop ---- */

static bool
settings_read(const char *path, struct wf_settings *out, FILE *report)
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
	raw = agb_xcalloc(1, SETTINGS_MAX + 1);
	len = fread(raw, 1, SETTINGS_MAX, file);
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
on_hup(uv_signal_t *h, int signum)
{
	struct daemon *const d = h->data;
	struct wf_settings s;
	bool ok;

	/* Settings hold until the next start: callers and peers use the
	 * addresses. */
	ok = settings_read(d->path, &s, stderr);
	agb_log_printf(d->log, ok ? AGB_LOG_INFO : AGB_LOG_ERROR, "reload",
	    "settings=%s outcome=%s", d->path, ok ? "taken" : "refused");
}

static void
on_term(uv_signal_t *h, int signum)
{
	struct wf_event ev = {.type = WF_EV_TERM};
	struct daemon *const d = h->data;

	wf_httpd_drain(d->http);
	feed(d, &ev);
}

static struct wf_httpd *
listen_on(struct daemon *d, const char *addr, size_t body_max, wf_httpd_cb cb)
{
	struct wf_httpd *const s = wf_httpd_new(
	    &d->loop, addr, d->ops->deadline_header, body_max, cb, d);

	if (s == NULL)
		fprintf(stderr, "agatebeamd: cannot listen on %s: %s\n", addr,
		    strerror(errno));
	return s;
}

static bool
open_clients(struct daemon *d)
{
	static const struct wf_rpc_cbs rpc = {
	    .event = on_peer_event, .log = on_rpc_log};
	static const struct wf_adapter_cbs adapter = {
	    .order = on_order, .advice = on_advice};
	const struct wf_settings *const s = &d->settings;

	d->http = listen_on(d, s->http, s->body_max, on_request);
	d->ready_http =
	    listen_on(d, s->ready, SMALL_BODY_MAX, on_ready_request);
	d->metrics_http =
	    listen_on(d, s->metrics, SMALL_BODY_MAX, on_metrics_request);
	d->rpc = wf_rpc_new(&d->loop, s->rpc, &rpc, d);
	if (d->rpc == NULL)
		fprintf(stderr, "agatebeamd: cannot listen on %s\n", s->rpc);
	if (d->http == NULL || d->ready_http == NULL ||
	    d->metrics_http == NULL || d->rpc == NULL)
		return false;
	d->store = d->ops->store(&d->loop, s->store, on_store, on_watch, d);
	d->adapter = d->ops->open(&d->loop, s, &adapter, d);
	return true;
}

static void
core_new(struct daemon *d)
{
	struct wf_config cfg;

	memset(&cfg, 0, sizeof(cfg));
	if (uv_random(NULL, NULL, &cfg.seed, sizeof(cfg.seed), 0, NULL) != 0)
		cfg.seed = uv_hrtime();
	/* Each start is an instance of its own to the others. */
	snprintf(cfg.name, sizeof(cfg.name), "%.40s.%08x", d->settings.instance,
	    (unsigned)(cfg.seed >> 32));
	agb_name_set(cfg.rpc, sizeof(cfg.rpc), d->settings.rpc);
	agb_name_set(cfg.domain, sizeof(cfg.domain), d->settings.domain);
	agb_name_set(cfg.region, sizeof(cfg.region), d->settings.region);
	cfg.cpu_permille = (uint32_t)(d->settings.cpu_share * 1000);
	cfg.link_kbps = (uint32_t)(d->settings.link_mbps * 1000);
	cfg.grace_ms = d->settings.grace_ms;
	cfg.status_s = d->settings.status_s;
	d->core = wf_core_new(&cfg);
	agb_log_printf(d->log, AGB_LOG_INFO, "start",
	    "instance=%s domain=%s http=%s rpc=%s metrics=%s store=%s",
	    cfg.name, cfg.domain, d->settings.http, cfg.rpc,
	    d->settings.metrics, d->settings.store);
}

static bool
daemon_open(struct daemon *d)
{
	uv_loop_init(&d->loop);
	uv_timer_init(&d->loop, &d->tick);
	uv_timer_init(&d->loop, &d->linger);
	uv_signal_init(&d->loop, &d->sigterm);
	uv_signal_init(&d->loop, &d->sighup);
	d->tick.data = d->linger.data = d->sigterm.data = d->sighup.data = d;
	/* A peer that closes its connection must not end the process, and a
	 * reader of the log that stops must not hold it up. */
	signal(SIGPIPE, SIG_IGN);
	(void)fcntl(
	    STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
	d->log = agb_log_new(&d->loop, STDOUT_FILENO, d->settings.log_json,
	    d->settings.log_level);
	d->metrics = wf_metrics_new();
	return open_clients(d);
}

int
wf_daemon_run(const char *path, const struct wf_adapter_ops *ops)
{
	struct wf_event first = {.type = WF_EV_TICK};
	struct daemon *const d = agb_xcalloc(1, sizeof(*d));

	d->path = path;
	d->ops = ops;
	d->registry_tag = TAG_REGISTRY;
	if (!settings_read(path, &d->settings, stderr)) {
		free(d);
		return EXIT_BAD_INPUT;
	}
	if (!daemon_open(d))
		return 1;
	core_new(d);
	d->document = wf_follow_new(&d->loop, d->store, TAG_DOCUMENT,
	    ops->document_prefix, on_document, d);
	uv_signal_start(&d->sigterm, on_term, SIGTERM);
	uv_signal_start(&d->sighup, on_hup, SIGHUP);
	feed(d, &first);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	agb_log_printf(
	    d->log, AGB_LOG_INFO, "stop", "instance=%s", d->settings.instance);
	agb_log_flush(d->log);
	/* The process ends here; what it holds ends with it. */
	return 0;
}

#include "daemon.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "edge.h"
#include "log.h"
#include "mem.h"
#include "metrics.h"
#include "node.h"
#include "platform_list.h"
#include "rpc.h"
#include "store_etcd.h"
#include "upstream.h"
#include "workerc.h"

/* Connections per runner; matches the connection limit of the deployed
 * runners. */
#define RUNNER_CONNECTIONS 64
/* Largest runner response that is forwarded to a client. */
#define UPSTREAM_ANSWER_MAX ((size_t)16 * 1024 * 1024)
/* Poll interval and number of polls while the last responses are written out
 * before the loop stops. */
#define FLUSH_POLL_MS 20
#define FLUSH_POLLS_MAX 250

/**
 * struct daemon - state of the process
 * @flush_timer: polls for written responses before the loop stops
 * @peer_ips: addresses that RPCs are accepted from
 * @signals_received: the second SIGTERM or SIGINT aborts the drain
 * @status: exit status
 */
struct daemon {
	struct agb_settings settings;
	uv_loop_t loop;
	uv_timer_t tick_timer;
	uv_timer_t flush_timer;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	struct agb_node *node;
	struct agb_edge *edge;
	struct agb_rpc *rpc;
	struct agb_store *store;
	struct agb_platform_list *list;
	struct agb_workerc *workerc;
	struct agb_upstream *upstream;
	struct agb_log *log;
	struct agb_metrics *metrics;
	agb_addr *peer_ips;
	size_t peer_ips_len;
	unsigned signals_received;
	int flush_polls_left;
	int status;
};

static void process_event(struct daemon *d, const struct agb_event *ev);

/* Monotonic time: unaffected by changes of the system clock, and continues to
 * advance while the process is stopped. */
static agb_time
now_us(void)
{
	return uv_hrtime() / 1000;
}

static void
send_upstream(struct daemon *d, const struct agb_effect *ef)
{
	struct agb_edge_request req;
	struct agb_event ev = {.type = AGB_EV_UPSTREAM};

	if (agb_edge_request_get(d->edge, ef->call_id, &req)) {
		agb_upstream_send(
		    d->upstream, ef->call_id, &ef->u.upstream, &req);
		return;
	}
	/* The call ended in the same loop iteration; nothing was sent. */
	ev.u.upstream_result.call_id = ef->call_id;
	ev.u.upstream_result.attempt = ef->u.upstream.attempt;
	ev.u.upstream_result.result = AGB_RESULT_NOT_STARTED;
	ev.u.upstream_result.reason = AGB_REASON_UPSTREAM_LOST;
	process_event(d, &ev);
}

static void
on_flush_poll(uv_timer_t *t)
{
	struct daemon *const d = t->data;

	if (agb_edge_calls_active(d->edge) > 0 && --d->flush_polls_left > 0)
		return;
	uv_stop(&d->loop);
}

static void
begin_exit(struct daemon *d, bool clean)
{
	if (!clean)
		d->status = 3;
	agb_edge_listen_stop(d->edge);
	d->flush_polls_left = FLUSH_POLLS_MAX;
	uv_timer_start(
	    &d->flush_timer, on_flush_poll, FLUSH_POLL_MS, FLUSH_POLL_MS);
}

static void
perform_effect(struct daemon *d, struct agb_effect *ef)
{
	agb_metrics_count_effect(d->metrics, ef);
	switch (ef->type) {
	case AGB_EF_REPLY:
		agb_edge_reply(d->edge, ef->call_id, &ef->u.reply);
		break;
	case AGB_EF_FORWARD:
		agb_edge_forward(d->edge, ef->call_id);
		break;
	case AGB_EF_UPSTREAM:
		send_upstream(d, ef);
		break;
	case AGB_EF_UPSTREAM_ABORT:
		agb_upstream_abort(
		    d->upstream, ef->call_id, &ef->u.upstream.attempt);
		break;
	case AGB_EF_STORE:
		d->store->ops->call(
		    d->store, ef->tag, &ef->u.store, ef->timeout_ms);
		break;
	case AGB_EF_WATCH:
		d->store->ops->watch(d->store, ef->tag, ef->u.watch.key,
		    ef->u.watch.range_end, ef->u.watch.from_rev);
		break;
	case AGB_EF_UNWATCH:
		d->store->ops->unwatch(d->store, ef->tag);
		break;
	case AGB_EF_LIST_INSTANCES:
		agb_platform_list_fetch(d->list, ef->since);
		break;
	case AGB_EF_SESSION:
	case AGB_EF_RENEW:
	case AGB_EF_COMMANDS:
		agb_workerc_call(d->workerc, ef);
		break;
	case AGB_EF_RPC_CALL:
		agb_rpc_call(
		    d->rpc, ef->tag, ef->peer, &ef->u.rpc_args, ef->timeout_ms);
		break;
	case AGB_EF_RPC_REPLY:
		agb_rpc_reply(d->rpc, ef->token, &ef->u.rpc_res);
		break;
	case AGB_EF_LOG:
		agb_log_line(
		    d->log, ef->u.log.level, ef->u.log.event, ef->u.log.line);
		break;
	case AGB_EF_READY:
		agb_edge_ready_set(d->edge, ef->ready);
		break;
	case AGB_EF_EXIT:
		begin_exit(d, ef->ready);
		break;
	}
}

static void
on_tick(uv_timer_t *t)
{
	const struct agb_event ev = {.type = AGB_EV_TICK};

	process_event(t->data, &ev);
}

static void
schedule_tick(struct daemon *d)
{
	const agb_time now = now_us();
	const agb_time at = agb_node_next_tick(d->node, now);
	agb_time ms;

	if (at == AGB_TIME_MAX) {
		uv_timer_stop(&d->tick_timer);
		return;
	}
	ms = at > now ? (at - now + AGB_MS - 1) / AGB_MS : 0;
	/* libuv caches the time. A stale value would shorten the delay. */
	uv_update_time(&d->loop);
	uv_timer_start(&d->tick_timer, on_tick, ms > 0 ? ms : 1, 0);
}

/* Performing an effect may raise the next event synchronously, so each call
 * has its own effect list. */
static void
process_event(struct daemon *d, const struct agb_event *ev)
{
	const agb_time now = now_us();
	struct agb_effects out = {0};
	size_t i;

	agb_node_step(d->node, now, ev, &out);
	agb_metrics_observe_step(d->metrics, now_us() - now);
	for (i = 0; i < out.len; i++)
		perform_effect(d, &out.items[i]);
	agb_effects_free(&out);
	schedule_tick(d);
}

static void
on_edge_event(void *arg, struct agb_event *ev)
{
	process_event(arg, ev);
}

static void
on_upstream_result(
    void *arg, struct agb_event *ev, const struct agb_edge_response *ans)
{
	struct daemon *const d = arg;

	if (ans != NULL)
		agb_edge_response_set(
		    d->edge, ev->u.upstream_result.call_id, ans);
	process_event(d, ev);
}

static void
on_worker_result(void *arg, struct agb_event *ev)
{
	process_event(arg, ev);
}

/* Copies the address without its port and brackets; "" if it is too long. */
static void
address_ip(const char *address, agb_addr ip)
{
	const char *const colon = strrchr(address, ':');
	const char *from;
	size_t n;

	from = address[0] == '[' ? address + 1 : address;
	n = colon != NULL ? (size_t)(colon - from) : strlen(from);
	if (n > 0 && from[n - 1] == ']')
		n--;
	if (n >= sizeof(agb_addr))
		n = 0;
	memcpy(ip, from, n);
	ip[n] = '\0';
}

/* RPCs are accepted only from entry instances listed by the platform. An
 * address stays allowed after its instance is removed from the list, because
 * the instance may still be completing work in progress. */
static void
allow_peer(struct daemon *d, const char *rpc)
{
	agb_addr ip;
	size_t i;

	address_ip(rpc, ip);
	for (i = 0; i < d->peer_ips_len; i++) {
		if (strcmp(d->peer_ips[i], ip) == 0)
			return;
	}
	d->peer_ips = agb_xreallocarray(
	    d->peer_ips, d->peer_ips_len + 1, sizeof(*d->peer_ips));
	memcpy(d->peer_ips[d->peer_ips_len++], ip, sizeof(ip));
	agb_rpc_set_allowed_ips(d->rpc, d->peer_ips, d->peer_ips_len);
}

static void
on_instances(void *arg, struct agb_event *ev)
{
	struct daemon *const d = arg;
	const struct agb_instance *it;
	size_t i;

	for (i = 0; ev->u.list.ok && i < ev->u.list.items_len; i++) {
		it = &ev->u.list.items[i];
		if (it->kind == AGB_INSTANCE_ENTRY && it->rpc[0] != '\0' &&
		    it->state != AGB_INSTANCE_GONE)
			allow_peer(d, it->rpc);
	}
	process_event(d, ev);
}

static void
on_store(void *arg, uint64_t tag, struct agb_store_result *res)
{
	struct agb_event ev = {.type = AGB_EV_STORE, .tag = tag};

	ev.u.store = *res;
	process_event(arg, &ev);
	agb_event_free(&ev);
}

static void
on_watch(void *arg, uint64_t tag, struct agb_store_kv *kvs, size_t len,
    uint64_t revision, bool broken)
{
	struct agb_event ev = {.type = AGB_EV_WATCH, .tag = tag};

	ev.u.watch.kvs = kvs;
	ev.u.watch.kvs_len = len;
	ev.u.watch.revision = revision;
	ev.u.watch.broken = broken;
	process_event(arg, &ev);
	agb_event_free(&ev);
}

static void
on_rpc_call(void *arg, uint64_t token, const char *peer, agb_x_args *args)
{
	struct agb_event ev = {.type = AGB_EV_RPC_CALL, .token = token};

	ev.u.rpc_args = *args;
	process_event(arg, &ev);
	agb_event_free(&ev);
}

static void
on_rpc_reply(void *arg, uint64_t tag, bool ok, bool sent, agb_x_res *res)
{
	struct agb_event ev = {.type = AGB_EV_RPC_REPLY, .tag = tag};

	ev.rpc_ok = ok;
	ev.rpc_sent = sent;
	if (ok)
		ev.u.rpc_res = *res;
	process_event(arg, &ev);
	agb_event_free(&ev);
}

static void
on_rpc_log(
    void *arg, enum agb_log_level level, const char *event, const char *line)
{
	struct daemon *const d = arg;

	agb_log_line(d->log, level, event, line);
}

static char *
metrics_text(void *arg)
{
	struct daemon *const d = arg;
	const struct agb_env *const env = agb_node_env(d->node);
	const struct agb_metrics_sources in = {
	    .edge = d->edge,
	    .rpc = d->rpc,
	    .store = agb_store_etcd_bytes(d->store),
	    .workers = agb_workerc_bytes(d->workerc),
	    .upstreams = agb_upstream_bytes(d->upstream),
	    .list = agb_platform_list_bytes(d->list),
	    .store_calls = d->store->ops->call_count(d->store),
	    .env_version = env != NULL ? env->version : 0,
	    .log_dropped = agb_log_dropped(d->log),
	    .is_owner = agb_node_is_owner(d->node, now_us()),
	};

	return agb_metrics_format(d->metrics, &in);
}

static void
on_signal(uv_signal_t *h, int signum)
{
	struct daemon *const d = h->data;
	const struct agb_event ev = {.type = AGB_EV_TERM};

	if (++d->signals_received > 1) {
		d->status = 3;
		uv_stop(&d->loop);
		return;
	}
	process_event(d, &ev);
}

static void
node_config(
    const struct agb_settings *s, const char *rpc, struct agb_node_config *cfg)
{
	memset(cfg, 0, sizeof(*cfg));
	memcpy(cfg->instance, s->instance, sizeof(cfg->instance));
	memcpy(cfg->environment, s->environment, sizeof(cfg->environment));
	memcpy(cfg->region, s->region, sizeof(cfg->region));
	memcpy(cfg->domain, s->domain, sizeof(cfg->domain));
	agb_str_copy(cfg->rpc, sizeof(cfg->rpc), rpc);
	cfg->call_timeout_ms = s->call_timeout_ms;
	cfg->drain_ms = s->drain_ms;
	/* Jitter must differ between instances and between restarts. */
	if (uv_random(NULL, NULL, &cfg->seed, sizeof(cfg->seed), 0, NULL) != 0)
		cfg->seed = uv_hrtime();
}

static bool
open_endpoints(struct daemon *d)
{
	const struct agb_settings *const s = &d->settings;
	static const struct agb_edge_cbs edge_cbs = {
	    .on_event = on_edge_event,
	    .metrics = metrics_text,
	};
	static const struct agb_rpc_cbs rpc_cbs = {
	    .call = on_rpc_call,
	    .reply = on_rpc_reply,
	    .log = on_rpc_log,
	};

	d->edge = agb_edge_new(&d->loop, s, &edge_cbs, d);
	if (d->edge == NULL) {
		fprintf(stderr, "agatebeamd: cannot listen on %s: %s\n",
		    s->http, strerror(errno));
		return false;
	}
	d->rpc = agb_rpc_new(&d->loop, s->rpc, &rpc_cbs, d);
	if (d->rpc == NULL) {
		fprintf(stderr, "agatebeamd: cannot listen on %s: %s\n", s->rpc,
		    strerror(errno));
		return false;
	}
	d->store = agb_store_etcd_new(
	    &d->loop, s->store, s->store_len, on_store, on_watch, d);
	d->list = agb_platform_list_new(&d->loop, s->platform, on_instances, d);
	d->workerc =
	    agb_workerc_new(&d->loop, s->instance, on_worker_result, d);
	d->upstream = agb_upstream_new(&d->loop, RUNNER_CONNECTIONS,
	    UPSTREAM_ANSWER_MAX, on_upstream_result, d);
	return true;
}

static void
close_handle(uv_handle_t *h)
{
	if (!uv_is_closing(h))
		uv_close(h, NULL);
}

static void
close_endpoints(struct daemon *d)
{
	agb_upstream_free(d->upstream);
	agb_workerc_free(d->workerc);
	agb_platform_list_free(d->list);
	if (d->store != NULL)
		d->store->ops->close(d->store);
	agb_rpc_free(d->rpc);
	agb_edge_free(d->edge);
	close_handle((uv_handle_t *)&d->tick_timer);
	close_handle((uv_handle_t *)&d->flush_timer);
	close_handle((uv_handle_t *)&d->sigterm);
	close_handle((uv_handle_t *)&d->sigint);
}

int
agb_daemon_run(const struct agb_settings *s)
{
	const struct agb_event first = {.type = AGB_EV_TICK};
	struct agb_node_config cfg;
	struct daemon *const d = agb_xcalloc(1, sizeof(*d));
	int status;

	d->settings = *s;
	d->status = 1;
	uv_loop_init(&d->loop);
	uv_timer_init(&d->loop, &d->tick_timer);
	uv_timer_init(&d->loop, &d->flush_timer);
	uv_signal_init(&d->loop, &d->sigterm);
	uv_signal_init(&d->loop, &d->sigint);
	d->tick_timer.data = d->flush_timer.data = d->sigterm.data =
	    d->sigint.data = d;
	/* Writing to a closed connection must not kill the process. */
	signal(SIGPIPE, SIG_IGN);
	d->log =
	    agb_log_new(&d->loop, STDERR_FILENO, s->log_json, s->log_level);
	d->metrics = agb_metrics_new();
	if (!open_endpoints(d))
		goto out;
	node_config(s, agb_rpc_addr(d->rpc), &cfg);
	d->node = agb_node_new(&cfg);
	uv_signal_start(&d->sigterm, on_signal, SIGTERM);
	uv_signal_start(&d->sigint, on_signal, SIGINT);
	printf("listening http=%s rpc=%s\n", agb_edge_address(d->edge),
	    agb_rpc_addr(d->rpc));
	fflush(stdout);
	d->status = 0;
	process_event(d, &first);
	uv_run(&d->loop, UV_RUN_DEFAULT);
out:
	close_endpoints(d);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	agb_log_free(d->log);
	uv_run(&d->loop, UV_RUN_DEFAULT);
	uv_loop_close(&d->loop);
	agb_node_free(d->node);
	agb_metrics_free(d->metrics);
	free(d->peer_ips);
	status = d->status;
	free(d);
	return status;
}

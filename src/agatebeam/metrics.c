#include "metrics.h"

#include <stdlib.h>

#include "mem.h"

/* Maximum number of RPC peers whose traffic is reported. */
#define PEERS_MAX 64

static const double step_buckets[] = {
    0.00001,
    0.00005,
    0.0001,
    0.0005,
    0.001,
    0.005,
    0.01,
    0.1,
};

static const struct agb_metric answers = {
    .name = "agatebeam_answers_total",
    .help = "Answers to callers by outcome; forwarded is the upstream's own",
    .label = "outcome",
};

static const struct agb_metric reasons = {
    .name = "agatebeam_answer_reasons_total",
    .help = "Answers that are not the upstream's own, by reason",
    .label = "reason",
};

static const struct agb_metric effects = {
    .name = "agatebeam_effects_total",
    .help = "Effects carried out, by kind",
    .label = "kind",
};

static const struct agb_metric steps = {
    .name = "agatebeam_step_seconds",
    .help = "Time of one step of the reducer",
    .buckets = step_buckets,
    .buckets_len = sizeof(step_buckets) / sizeof(step_buckets[0]),
    .type = AGB_METRIC_HISTOGRAM,
};

static const struct agb_metric store_calls = {
    .name = "agatebeam_store_calls_total",
    .help = "Calls of the platform's store, a waiting watch counted as one",
};

static const struct agb_metric http_bytes_in = {
    .name = "agatebeam_http_received_bytes_total",
    .help = "Bytes of HTTP answers to this instance, by the service asked",
    .label = "service",
};

static const struct agb_metric http_bytes_out = {
    .name = "agatebeam_http_sent_bytes_total",
    .help = "Bytes of HTTP requests of this instance, by the service asked",
    .label = "service",
};

static const struct agb_metric rpc_bytes_in = {
    .name = "agatebeam_rpc_received_bytes_total",
    .help = "Bytes from other entry instances, by address",
    .label = "peer",
};

static const struct agb_metric rpc_bytes_out = {
    .name = "agatebeam_rpc_sent_bytes_total",
    .help = "Bytes to other entry instances, by address",
    .label = "peer",
};

static const struct agb_metric rpc_refused = {
    .name = "agatebeam_rpc_refused_total",
    .help = "Connections refused: unlisted address, or too many",
};

static const struct agb_metric rpc_malformed = {
    .name = "agatebeam_rpc_malformed_total",
    .help = "Connections closed for a malformed record",
};

static const struct agb_metric edge_refused = {
    .name = "agatebeam_refused_total",
    .help = "Requests refused before they were routed, by limit",
    .label = "limit",
};

static const struct agb_metric edge_active = {
    .name = "agatebeam_requests_active",
    .help = "Requests in flight",
    .type = AGB_METRIC_GAUGE,
};

static const struct agb_metric edge_connections = {
    .name = "agatebeam_connections",
    .help = "Open connections of callers",
    .type = AGB_METRIC_GAUGE,
};

static const struct agb_metric env_version = {
    .name = "agatebeam_env_version",
    .help = "Store revision of the environment document in force",
    .type = AGB_METRIC_GAUGE,
};

static const struct agb_metric shard_owner = {
    .name = "agatebeam_shard_owner",
    .help = "1 while this instance owns the shard of its failure domain",
    .type = AGB_METRIC_GAUGE,
};

static const struct agb_metric log_dropped = {
    .name = "agatebeam_log_dropped_total",
    .help = "Log lines dropped because the output did not take them",
};

static const char *const effect_names[] = {
    [AGB_EF_REPLY] = "reply",
    [AGB_EF_FORWARD] = "forward",
    [AGB_EF_UPSTREAM] = "upstream",
    [AGB_EF_UPSTREAM_ABORT] = "upstream-abort",
    [AGB_EF_STORE] = "store",
    [AGB_EF_WATCH] = "watch",
    [AGB_EF_UNWATCH] = "unwatch",
    [AGB_EF_LIST_INSTANCES] = "list",
    [AGB_EF_SESSION] = "session",
    [AGB_EF_RENEW] = "renew",
    [AGB_EF_COMMANDS] = "commands",
    [AGB_EF_RPC_CALL] = "rpc-call",
    [AGB_EF_RPC_REPLY] = "rpc-reply",
    [AGB_EF_LOG] = "log",
    [AGB_EF_READY] = "ready",
    [AGB_EF_EXIT] = "exit",
};

struct agb_metrics {
	struct agb_counters *counters;
	struct agb_series *steps;
};

struct agb_metrics *
agb_metrics_new(void)
{
	struct agb_metrics *const m = agb_xcalloc(1, sizeof(*m));

	m->counters = agb_counters_new();
	m->steps = agb_counters_get(m->counters, &steps, NULL);
	return m;
}

static void
increment(
    struct agb_metrics *m, const struct agb_metric *metric, const char *value)
{
	agb_series_add(agb_counters_get(m->counters, metric, value), 1);
}

static void
set_value(struct agb_metrics *m, const struct agb_metric *metric,
    const char *value, double n)
{
	agb_series_set(agb_counters_get(m->counters, metric, value), n);
}

void
agb_metrics_count_effect(struct agb_metrics *m, const struct agb_effect *ef)
{
	increment(m, &effects, effect_names[ef->type]);
	if (ef->type == AGB_EF_FORWARD)
		increment(m, &answers, "forwarded");
	if (ef->type != AGB_EF_REPLY)
		return;
	increment(m, &answers, agb_outcome_name(ef->u.reply.outcome));
	if (ef->u.reply.reason != AGB_REASON_NONE)
		increment(m, &reasons, agb_reason_name(ef->u.reply.reason));
}

void
agb_metrics_observe_step(struct agb_metrics *m, uint64_t us)
{
	agb_series_observe(m->steps, (double)us / 1e6);
}

static void
set_edge_metrics(struct agb_metrics *m, const struct agb_edge *e)
{
	struct agb_edge_counters c;

	agb_edge_counters(e, &c);
	set_value(m, &edge_active, NULL, (double)c.calls_active);
	set_value(m, &edge_connections, NULL, (double)c.connections_open);
	set_value(m, &edge_refused, "request", (double)c.refused_request);
	set_value(m, &edge_refused, "credential", (double)c.refused_credential);
	set_value(m, &edge_refused, "head-size", (double)c.refused_head_size);
	set_value(m, &edge_refused, "body-size", (double)c.refused_body_size);
	set_value(
	    m, &edge_refused, "head-timeout", (double)c.refused_head_timeout);
	set_value(
	    m, &edge_refused, "connections", (double)c.refused_connections);
}

static void
set_rpc_metrics(struct agb_metrics *m, const struct agb_rpc *rpc)
{
	const struct agb_rpc_stats *const s = agb_rpc_stats(rpc);
	struct agb_rpc_traffic peers[PEERS_MAX];
	size_t i, n;

	set_value(m, &rpc_refused, NULL, (double)s->refused_conns);
	set_value(m, &rpc_malformed, NULL, (double)s->malformed);
	n = agb_rpc_traffic(rpc, peers, PEERS_MAX);
	for (i = 0; i < n; i++) {
		set_value(
		    m, &rpc_bytes_in, peers[i].addr, (double)peers[i].bytes_in);
		set_value(m, &rpc_bytes_out, peers[i].addr,
		    (double)peers[i].bytes_out);
	}
}

static void
set_http_bytes(
    struct agb_metrics *m, const char *service, const struct agb_httpc_bytes *b)
{
	set_value(m, &http_bytes_in, service, (double)b->received);
	set_value(m, &http_bytes_out, service, (double)b->sent);
}

char *
agb_metrics_format(struct agb_metrics *m, const struct agb_metrics_sources *in)
{
	size_t len;

	set_edge_metrics(m, in->edge);
	set_rpc_metrics(m, in->rpc);
	set_http_bytes(m, "store", &in->store);
	set_http_bytes(m, "workers", &in->workers);
	set_http_bytes(m, "upstreams", &in->upstreams);
	set_http_bytes(m, "list", &in->list);
	set_value(m, &store_calls, NULL, (double)in->store_calls);
	set_value(m, &env_version, NULL, (double)in->env_version);
	set_value(m, &shard_owner, NULL, in->is_owner ? 1 : 0);
	set_value(m, &log_dropped, NULL, (double)in->log_dropped);
	return agb_counters_format(m->counters, &len);
}

void
agb_metrics_free(struct agb_metrics *m)
{
	if (m == NULL)
		return;
	agb_counters_free(m->counters);
	free(m);
}

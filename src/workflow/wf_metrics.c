#include "wf_metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "mem.h"
#include "wf_giveup.h"

/* Slots for the start times of calls, indexed by call id; a call whose slot has
 * been reused is counted without its duration. */
#define CALL_SLOTS 4096

static const double request_buckets_s[] = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

static const struct agb_metric requests = {
    .name = "agatebeam_requests_total",
    .help = "Answers to callers by call and status.",
    .label = "call_status",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric request_time = {
    .name = "agatebeam_request_seconds",
    .help = "Time from a whole request to its answer.",
    .label = "call",
    .buckets = request_buckets_s,
    .buckets_len = sizeof(request_buckets_s) / sizeof(request_buckets_s[0]),
    .type = AGB_METRIC_HISTOGRAM,
};
static const struct agb_metric orders = {
    .name = "agatebeam_orders_total",
    .help = "Orders to runners by kind and answer.",
    .label = "order_answer",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric store_answers = {
    .name = "agatebeam_store_answers_total",
    .help = "Ended calls of the store by outcome.",
    .label = "outcome",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric store_given_up = {
    .name = "agatebeam_store_given_up_total",
    .help = "Polls and full reads of the store given up, by call and reason.",
    .label = "call_reason",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric decisions = {
    .name = "agatebeam_decisions_total",
    .help = "Lines of the decision log by event.",
    .label = "event",
    .type = AGB_METRIC_COUNTER,
};

static const struct agb_metric turn_time = {
    .name = "agatebeam_turn_seconds",
    .help = "Time to handle one event and to carry out its effects.",
    .buckets = wf_meter_bounds_s,
    .buckets_len = WF_METER_BOUNDS,
    .type = AGB_METRIC_HISTOGRAM,
};
static const struct agb_metric part_time = {
    .name = "agatebeam_turn_part_seconds_total",
    .help = "Time of all turns by part.",
    .label = "part",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric start_age = {
    .name = "agatebeam_start_age_seconds",
    .help = "Time from a start order to its result.",
    .buckets = wf_meter_bounds_s,
    .buckets_len = WF_METER_BOUNDS,
    .type = AGB_METRIC_HISTOGRAM,
};
static const struct agb_metric start_results = {
    .name = "agatebeam_start_results_total",
    .help = "Results of the leader's start orders by outcome.",
    .label = "outcome",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric approval_age = {
    .name = "agatebeam_approval_age_seconds",
    .help = "Time from an approval to the start order that uses it.",
    .buckets = wf_meter_bounds_s,
    .buckets_len = WF_METER_BOUNDS,
    .type = AGB_METRIC_HISTOGRAM,
};
static const struct agb_metric task_decisions = {
    .name = "agatebeam_task_decisions_total",
    .help = "Tasks assigned, confirmed and requeued; approvals received, "
	    "expired before the start, and refused by the runner; steps that "
	    "waited for near room, and remote starts.",
    .label = "decision",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric account_holds = {
    .name = "agatebeam_account_holds_total",
    .help = "Accounts whose limit or share held work back, once a second.",
    .label = "by",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric peer_bytes = {
    .name = "agatebeam_peer_queued_bytes_total",
    .help = "Bytes queued for other instances by kind of message.",
    .label = "message",
    .type = AGB_METRIC_COUNTER,
};
static const struct agb_metric clients_given_up = {
    .name = "agatebeam_clients_given_up_total",
    .help = "Client connections refused or given up, by reason.",
    .label = "reason",
    .type = AGB_METRIC_COUNTER,
};

struct wf_metrics {
	struct agb_counters *counters;
	struct {
		uint64_t id;
		agb_time started;
	} calls[CALL_SLOTS];
};

static const char *const call_labels[] = {
    [WF_CALL_SUBMIT] = "submit",
    [WF_CALL_GET] = "state",
    [WF_CALL_CANCEL] = "cancel",
    [WF_CALL_QUEUE] = "queue",
};

static const char *const outcome_labels[WF_ORDER_STATUSES] = {
    [WF_ORDER_OK] = "ok",
    [WF_ORDER_UNSENT] = "unsent",
    [WF_ORDER_LOST] = "lost",
    [WF_ORDER_BUSY] = "busy",
    [WF_ORDER_FENCED] = "fenced",
    [WF_ORDER_OLD] = "old",
    [WF_ORDER_LATE] = "late",
    [WF_ORDER_NO_ROOM] = "no_room",
    [WF_ORDER_TICKET_EXPIRED] = "ticket",
    [WF_ORDER_OTHER_INCARNATION] = "other_life",
    [WF_ORDER_INVALID] = "invalid",
    [WF_ORDER_UNRELAYED] = "unrelayed",
    [WF_ORDER_NO_PAYLOAD] = "no_payload",
};

struct wf_metrics *
wf_metrics_new(void)
{
	struct wf_metrics *const m = agb_xcalloc(1, sizeof(*m));

	m->counters = agb_counters_new();
	return m;
}

void
wf_metrics_free(struct wf_metrics *m)
{
	if (m == NULL)
		return;
	agb_counters_free(m->counters);
	free(m);
}

void
wf_metrics_record_call(
    struct wf_metrics *m, const struct wf_call *call, agb_time now)
{
	m->calls[call->id % CALL_SLOTS].id = call->id;
	m->calls[call->id % CALL_SLOTS].started = now;
}

void
wf_metrics_record_reply(struct wf_metrics *m, uint64_t call_id,
    const struct wf_reply *r, agb_time now)
{
	const size_t i = call_id % CALL_SLOTS;
	char label[48];

	snprintf(label, sizeof(label), "%s_%d", call_labels[r->kind],
	    r->http_status);
	agb_series_add(agb_counters_get(m->counters, &requests, label), 1);
	if (m->calls[i].id != call_id)
		return;
	agb_series_observe(
	    agb_counters_get(m->counters, &request_time, call_labels[r->kind]),
	    (double)(now - m->calls[i].started) / (double)AGB_SEC);
}

void
wf_metrics_count_order(struct wf_metrics *m, const struct wf_order_result *res)
{
	static const char *const kinds[] = {
	    [WF_ORDER_START] = "start",
	    [WF_ORDER_STOP] = "stop",
	    [WF_ORDER_HOLD] = "hold",
	    [WF_ORDER_PACE] = "pace",
	};
	char label[48];

	snprintf(label, sizeof(label), "%s_%s", kinds[res->kind],
	    outcome_labels[res->status]);
	agb_series_add(agb_counters_get(m->counters, &orders, label), 1);
}

void
wf_metrics_count_store_result(
    struct wf_metrics *m, enum agb_store_status status)
{
	static const char *const names[] = {
	    [AGB_STORE_OK] = "answered",
	    [AGB_STORE_REFUSED] = "refused",
	    [AGB_STORE_LOST] = "lost",
	};

	agb_series_add(
	    agb_counters_get(m->counters, &store_answers, names[status]), 1);
}

void
wf_metrics_count_give_up(
    struct wf_metrics *m, const struct agb_store_give_up *g)
{
	char label[48];

	snprintf(label, sizeof(label), "%s_%s", wf_giveup_call_name(g->read),
	    wf_giveup_reason_name(g->reason));
	agb_series_add(
	    agb_counters_get(m->counters, &store_given_up, label), 1);
}

void
wf_metrics_count_event(struct wf_metrics *m, const char *event)
{
	agb_series_add(agb_counters_get(m->counters, &decisions, event), 1);
}

/* Metrics that have a single value without labels. */
enum scalar_id {
	VAL_DOCUMENT_VERSION,
	VAL_QUEUES_COMPARED,
	VAL_STORE_REVISION,
	VAL_READY,
	VAL_LEADER,
	VAL_FENCE,
	VAL_JOBS,
	VAL_JOBS_OPEN,
	VAL_STEPS_WAITING,
	VAL_RUNNERS,
	VAL_RUNNERS_USABLE,
	VAL_TASKS_ALLOCATED,
	VAL_ADVICE_CALLS,
	VAL_STORE_WRITES,
	VAL_CONNECTIONS,
	VAL_CLIENTS_HELD,
	VAL_CLIENTS_HELD_MAX,
	VAL_REQUESTS_OPEN,
	VAL_STORE_CALLS,
	VAL_LOG_DROPPED,
	VAL_BYTES_SENT,
	VAL_BYTES_RECEIVED,
	VAL_GANGS_WAITING,
	VAL_FREE_CORES,
	VAL_RESERVED_CORES,
	VAL_STEPS_KEPT_OUT,
	VAL_STARTS_IN_FLIGHT,
	VAL_STARTS_LIMIT,
	VAL_ORDERS_PENDING,
	VAL_LONGEST_TURN,
	VAL_UNSENT_BYTES,
	VAL_UNSENT_LARGEST,
	VAL_ENCODE_FAILURES,
	VAL_COUNT,
};

static const struct agb_metric scalars[VAL_COUNT] = {
    [VAL_DOCUMENT_VERSION] = {.name = "agatebeam_document_version",
	.help = "Document in force.",
	.type = AGB_METRIC_GAUGE},
    [VAL_QUEUES_COMPARED] = {.name = "agatebeam_queues_compared_total",
	.help = "Queues that lookups in the document have compared.",
	.type = AGB_METRIC_COUNTER},
    [VAL_STORE_REVISION] = {.name = "agatebeam_store_revision",
	.help = "Revision of the store that is known.",
	.type = AGB_METRIC_GAUGE},
    [VAL_READY] = {.name = "agatebeam_ready",
	.help = "Whether it takes new callers.",
	.type = AGB_METRIC_GAUGE},
    [VAL_LEADER] = {.name = "agatebeam_leader",
	.help = "Whether it places tasks.",
	.type = AGB_METRIC_GAUGE},
    [VAL_FENCE] = {.name = "agatebeam_fence",
	.help = "Token of its orders while it leads.",
	.type = AGB_METRIC_GAUGE},
    [VAL_JOBS] = {.name = "agatebeam_jobs",
	.help = "Jobs that are known.",
	.type = AGB_METRIC_GAUGE},
    [VAL_JOBS_OPEN] = {.name = "agatebeam_jobs_open",
	.help = "Jobs that have not ended.",
	.type = AGB_METRIC_GAUGE},
    [VAL_STEPS_WAITING] = {.name = "agatebeam_steps_waiting",
	.help = "Steps with tasks that wait for a start.",
	.type = AGB_METRIC_GAUGE},
    [VAL_RUNNERS] = {.name = "agatebeam_runners",
	.help = "Runners that are known.",
	.type = AGB_METRIC_GAUGE},
    [VAL_RUNNERS_USABLE] = {.name = "agatebeam_runners_usable",
	.help = "Runners that take new tasks.",
	.type = AGB_METRIC_GAUGE},
    [VAL_TASKS_ALLOCATED] = {.name = "agatebeam_tasks_held",
	.help = "Tasks whose need is counted at a runner.",
	.type = AGB_METRIC_GAUGE},
    [VAL_ADVICE_CALLS] = {.name = "agatebeam_advice_calls",
	.help = "Calls for advice under way.",
	.type = AGB_METRIC_GAUGE},
    [VAL_STORE_WRITES] = {.name = "agatebeam_store_writes",
	.help = "Writes of job states under way.",
	.type = AGB_METRIC_GAUGE},
    [VAL_CONNECTIONS] = {.name = "agatebeam_connections",
	.help = "Connections of callers.",
	.type = AGB_METRIC_GAUGE},
    [VAL_CLIENTS_HELD] = {.name = "agatebeam_clients_held_bytes",
	.help = "Bytes of requests and unread responses of all callers.",
	.type = AGB_METRIC_GAUGE},
    [VAL_CLIENTS_HELD_MAX] = {.name = "agatebeam_clients_held_max_bytes",
	.help = "Upper limit of these bytes.",
	.type = AGB_METRIC_GAUGE},
    [VAL_REQUESTS_OPEN] = {.name = "agatebeam_requests_open",
	.help = "Requests not answered yet.",
	.type = AGB_METRIC_GAUGE},
    [VAL_STORE_CALLS] = {.name = "agatebeam_store_calls_total",
	.help = "Calls of the store.",
	.type = AGB_METRIC_COUNTER},
    [VAL_LOG_DROPPED] = {.name = "agatebeam_log_dropped_total",
	.help = "Log lines that were dropped.",
	.type = AGB_METRIC_COUNTER},
    [VAL_BYTES_SENT] = {.name = "agatebeam_runner_sent_bytes_total",
	.help = "Bytes sent to runners.",
	.type = AGB_METRIC_COUNTER},
    [VAL_BYTES_RECEIVED] = {.name = "agatebeam_runner_received_bytes_total",
	.help = "Bytes received from runners.",
	.type = AGB_METRIC_COUNTER},
    [VAL_GANGS_WAITING] = {.name = "agatebeam_gangs_waiting",
	.help = "Gangs that wait for a start.",
	.type = AGB_METRIC_GAUGE},
    [VAL_FREE_CORES] = {.name = "agatebeam_free_cores",
	.help = "Free processors on usable runners.",
	.type = AGB_METRIC_GAUGE},
    [VAL_RESERVED_CORES] = {.name = "agatebeam_reserved_cores",
	.help = "Free processors that are reserved for gangs.",
	.type = AGB_METRIC_GAUGE},
    [VAL_STEPS_KEPT_OUT] = {.name = "agatebeam_steps_kept_out",
	.help = "Steps that only reservations kept from being placed.",
	.type = AGB_METRIC_GAUGE},
    [VAL_STARTS_IN_FLIGHT] = {.name = "agatebeam_starts_in_flight",
	.help = "Tasks assigned to a runner that has not confirmed the start.",
	.type = AGB_METRIC_GAUGE},
    [VAL_STARTS_LIMIT] = {.name = "agatebeam_starts_limit",
	.help = "Upper limit of the starts in flight.",
	.type = AGB_METRIC_GAUGE},
    [VAL_ORDERS_PENDING] = {.name = "agatebeam_relayed_orders_pending",
	.help = "Orders whose relay has not reported a result.",
	.type = AGB_METRIC_GAUGE},
    [VAL_LONGEST_TURN] = {.name = "agatebeam_longest_turn_seconds",
	.help = "Longest turn since the start.",
	.type = AGB_METRIC_GAUGE},
    [VAL_UNSENT_BYTES] = {.name = "agatebeam_peer_unsent_bytes",
	.help = "Bytes that the sockets to other instances have not taken.",
	.type = AGB_METRIC_GAUGE},
    [VAL_UNSENT_LARGEST] = {.name = "agatebeam_peer_unsent_largest_bytes",
	.help = "Largest number of such bytes on one connection.",
	.type = AGB_METRIC_GAUGE},
    [VAL_ENCODE_FAILURES] = {.name = "agatebeam_peer_encode_failures_total",
	.help = "Messages to other instances that could not be encoded.",
	.type = AGB_METRIC_COUNTER},
};

static double
seconds(agb_time t)
{
	return (double)t / (double)AGB_SEC;
}

static void
set_histogram(struct wf_metrics *m, const struct agb_metric *metric,
    const struct wf_histogram *h)
{
	agb_series_set_histogram(agb_counters_get(m->counters, metric, NULL),
	    h->buckets, h->count, seconds(h->sum));
}

static void
set_counter(struct wf_metrics *m, const struct agb_metric *metric,
    const char *label, double value)
{
	agb_series_set(agb_counters_get(m->counters, metric, label), value);
}

static void
set_meter(struct wf_metrics *m, const struct wf_meter *meter)
{
	size_t i;

	set_histogram(m, &turn_time, &meter->turn_time);
	set_histogram(m, &start_age, &meter->start_age);
	set_histogram(m, &approval_age, &meter->approval_age);
	for (i = 0; i < WF_PARTS; i++)
		set_counter(m, &part_time, wf_part_name(i),
		    seconds(meter->total.parts[i]));
	for (i = 0; i < WF_TALLIES; i++)
		set_counter(m, &task_decisions, wf_tally_name(i),
		    (double)meter->total.tallies[i]);
	set_counter(
	    m, &account_holds, "limit", (double)meter->total.held_by_limit);
	set_counter(
	    m, &account_holds, "share", (double)meter->total.held_by_share);
	for (i = 0; i < WF_ORDER_STATUSES; i++)
		set_counter(m, &start_results, outcome_labels[i],
		    (double)meter->start_results[i]);
}

static void
set_clients(struct wf_metrics *m, const struct wf_httpd_budget *b)
{
	size_t i;

	for (i = WF_HTTPD_KEEP + 1; i < WF_HTTPD_REASONS; i++)
		set_counter(m, &clients_given_up, wf_httpd_reason_name(i),
		    (double)b->counts[i]);
}

static void
set_peer_bytes(struct wf_metrics *m, const struct agb_rpc_stats *stats)
{
	static const struct {
		agb_x_proc proc;
		const char *label;
	} messages[] = {
	    {AGB_X_NULL, "ping"},
	    {AGB_X_ADVISE, "advise"},
	    {AGB_X_PUSH, "push"},
	    {AGB_X_PUT, "put"},
	    {AGB_X_ORDERS, "orders"},
	    {AGB_X_RESULTS, "results"},
	    {AGB_X_PAYLOAD, "text"},
	};
	size_t i;

	for (i = 0; i < sizeof(messages) / sizeof(messages[0]); i++)
		set_counter(m, &peer_bytes, messages[i].label,
		    (double)stats->queued_bytes[messages[i].proc]);
}

char *
wf_metrics_format(
    struct wf_metrics *m, const struct wf_metrics_sample *in, size_t *len)
{
	const struct wf_gauges *const g = &in->gauges;
	const double current[VAL_COUNT] = {
	    [VAL_DOCUMENT_VERSION] = (double)g->document_version,
	    [VAL_QUEUES_COMPARED] = (double)in->meter->total.queues_compared,
	    [VAL_STORE_REVISION] = (double)g->store_revision,
	    [VAL_READY] = g->ready,
	    [VAL_LEADER] = g->is_leader,
	    [VAL_FENCE] = (double)g->fence,
	    [VAL_JOBS] = g->jobs,
	    [VAL_JOBS_OPEN] = g->jobs_open,
	    [VAL_STEPS_WAITING] = g->steps_waiting,
	    [VAL_RUNNERS] = g->runners,
	    [VAL_RUNNERS_USABLE] = g->runners_usable,
	    [VAL_TASKS_ALLOCATED] = g->tasks_allocated,
	    [VAL_ADVICE_CALLS] = g->advice_calls,
	    [VAL_STORE_WRITES] = g->writes,
	    [VAL_CONNECTIONS] = (double)in->connections,
	    [VAL_CLIENTS_HELD] = (double)in->clients.held,
	    [VAL_CLIENTS_HELD_MAX] = (double)in->clients.limits.held_max,
	    [VAL_REQUESTS_OPEN] = (double)in->requests_open,
	    [VAL_STORE_CALLS] = (double)in->store_calls,
	    [VAL_LOG_DROPPED] = (double)in->log_dropped,
	    [VAL_BYTES_SENT] = (double)in->runner_bytes.sent,
	    [VAL_BYTES_RECEIVED] = (double)in->runner_bytes.received,
	    [VAL_GANGS_WAITING] = g->load.gangs,
	    [VAL_FREE_CORES] = (double)g->load.room.free_cpu_milli / 1000,
	    [VAL_RESERVED_CORES] =
		(double)g->load.room.reserved_cpu_milli / 1000,
	    [VAL_STEPS_KEPT_OUT] = g->load.room.kept_out,
	    [VAL_STARTS_IN_FLIGHT] = g->load.in_flight,
	    [VAL_STARTS_LIMIT] = g->load.limit,
	    [VAL_ORDERS_PENDING] = g->load.orders,
	    [VAL_LONGEST_TURN] = seconds(in->meter->longest_turn),
	    [VAL_UNSENT_BYTES] = (double)in->backlog.bytes,
	    [VAL_UNSENT_LARGEST] = (double)in->backlog.largest,
	    [VAL_ENCODE_FAILURES] = (double)in->rpc->encode_failures,
	};
	size_t i;

	for (i = 0; i < VAL_COUNT; i++)
		agb_series_set(agb_counters_get(m->counters, &scalars[i], NULL),
		    current[i]);
	set_meter(m, in->meter);
	set_peer_bytes(m, in->rpc);
	set_clients(m, &in->clients);
	return agb_counters_format(m->counters, len);
}

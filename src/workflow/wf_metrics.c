#include "wf_metrics.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "mem.h"

/* Open calls whose beginning is remembered, by their id. */
#define CALLS_MAX 4096

static const double request_s[] = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

static const struct agb_metric requests = {
    .name = "agatebeam_requests_total",
    .help = "Answers to callers by call and status.",
    .label = "call_status",
    .kind = AGB_COUNTER,
};
static const struct agb_metric request_time = {
    .name = "agatebeam_request_seconds",
    .help = "Time from a whole request to its answer.",
    .label = "call",
    .buckets = request_s,
    .buckets_len = sizeof(request_s) / sizeof(request_s[0]),
    .kind = AGB_HISTOGRAM,
};
static const struct agb_metric orders = {
    .name = "agatebeam_orders_total",
    .help = "Orders to runners by kind and answer.",
    .label = "order_answer",
    .kind = AGB_COUNTER,
};
static const struct agb_metric store_answers = {
    .name = "agatebeam_store_answers_total",
    .help = "Ended calls of the store by outcome.",
    .label = "outcome",
    .kind = AGB_COUNTER,
};
static const struct agb_metric decisions = {
    .name = "agatebeam_decisions_total",
    .help = "Lines of the decision log by event.",
    .label = "event",
    .kind = AGB_COUNTER,
};


struct wf_metrics {
	struct agb_counters *counters;
	struct {
		uint64_t id;
		agb_time began;
	} calls[CALLS_MAX];
};

static const char *const call_names[] = {
    [WF_CALL_SUBMIT] = "submit",
    [WF_CALL_GET] = "state",
    [WF_CALL_CANCEL] = "cancel",
    [WF_CALL_QUEUE] = "queue",
};

struct wf_metrics *
wf_metrics_new(void)
{
	struct wf_metrics *const m = agb_xcalloc(1, sizeof(*m));

	m->counters = agb_counters_new();
	return m;
}

void
wf_metrics_call(
    struct wf_metrics *m, const struct wf_call *call, agb_time now)
{
	m->calls[call->id % CALLS_MAX].id = call->id;
	m->calls[call->id % CALLS_MAX].began = now;
}

void
wf_metrics_reply(struct wf_metrics *m, uint64_t call_id,
    const struct wf_reply *r, agb_time now)
{
	const size_t i = call_id % CALLS_MAX;
	char label[48];

	snprintf(label, sizeof(label), "%s_%d", call_names[r->kind],
	    r->http_status);
	agb_series_add(agb_counters_get(m->counters, &requests, label), 1);
	if (m->calls[i].id != call_id)
		return;
	agb_series_observe(agb_counters_get(m->counters, &request_time,
			       call_names[r->kind]),
	    (double)(now - m->calls[i].began) / (double)AGB_SEC);
}

void
wf_metrics_order(struct wf_metrics *m, const struct wf_order_result *res)
{
	static const char *const kinds[] = {
	    [WF_ORDER_START] = "start",
	    [WF_ORDER_STOP] = "stop",
	    [WF_ORDER_HOLD] = "hold",
	};
	static const char *const answers[] = {
	    [WF_ORDER_OK] = "ok",
	    [WF_ORDER_UNSENT] = "unsent",
	    [WF_ORDER_LOST] = "lost",
	    [WF_ORDER_BUSY] = "busy",
	    [WF_ORDER_FENCED] = "fenced",
	    [WF_ORDER_OLD] = "old",
	    [WF_ORDER_LATE] = "late",
	    [WF_ORDER_NO_ROOM] = "no_room",
	    [WF_ORDER_TICKET] = "ticket",
	    [WF_ORDER_OTHER_LIFE] = "other_life",
	    [WF_ORDER_INVALID] = "invalid",
	};
	char label[48];

	snprintf(label, sizeof(label), "%s_%s", kinds[res->kind],
	    answers[res->status]);
	agb_series_add(agb_counters_get(m->counters, &orders, label), 1);
}

void
wf_metrics_store(struct wf_metrics *m, enum agb_store_status status)
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
wf_metrics_event(struct wf_metrics *m, const char *event)
{
	agb_series_add(agb_counters_get(m->counters, &decisions, event), 1);
}

static void
gauge(struct wf_metrics *m, const struct agb_metric *g, double value)
{
	agb_series_set(agb_counters_get(m->counters, g, NULL), value);
}

#define GAUGE(m, n, h, v)                                                      \
	do {                                                                   \
		static const struct agb_metric metric_ = {                     \
		    .name = "agatebeam_" n, .help = h, .kind = AGB_GAUGE};     \
		gauge(m, &metric_, (double)(v));                               \
	} while (0)

#define COUNT(m, n, h, v)                                                      \
	do {                                                                   \
		static const struct agb_metric metric_ = {                     \
		    .name = "agatebeam_" n, .help = h, .kind = AGB_COUNTER};   \
		gauge(m, &metric_, (double)(v));                               \
	} while (0)

char *
wf_metrics_text(
    struct wf_metrics *m, const struct wf_metrics_input *in, size_t *len)
{
	const struct wf_gauges *const g = &in->gauges;

	GAUGE(m, "document_version", "Document in force.", g->document);
	GAUGE(m, "store_revision", "Revision of the store that is known.",
	    g->store_revision);
	GAUGE(m, "ready", "Whether it takes new callers.", g->ready);
	GAUGE(m, "leader", "Whether it places tasks.", g->leads);
	GAUGE(m, "fence", "Token of its orders while it leads.", g->fence);
	GAUGE(m, "jobs", "Jobs that are known.", g->jobs);
	GAUGE(m, "jobs_open", "Jobs that have not ended.", g->jobs_open);
	GAUGE(m, "steps_waiting", "Steps with tasks that wait for a start.",
	    g->units_waiting);
	GAUGE(m, "runners", "Runners that are known.", g->runners);
	GAUGE(m, "runners_usable", "Runners that take new tasks.",
	    g->runners_usable);
	GAUGE(m, "tasks_held", "Tasks whose need is counted at a runner.",
	    g->tasks_held);
	GAUGE(m, "advice_calls", "Calls for advice under way.", g->asks);
	GAUGE(m, "store_writes", "Writes of job states under way.",
	    g->writes);
	GAUGE(m, "connections", "Connections of callers.", in->connections);
	GAUGE(m, "requests_open", "Requests not answered yet.",
	    in->requests_open);
	COUNT(m, "store_calls_total", "Calls of the store.",
	    in->store_calls);
	COUNT(m, "log_dropped_total", "Log lines that were dropped.",
	    in->log_dropped);
	COUNT(m, "runner_sent_bytes_total", "Bytes sent to runners.",
	    in->runner_bytes.sent);
	COUNT(m, "runner_received_bytes_total", "Bytes received from runners.",
	    in->runner_bytes.received);
	return agb_counters_text(m->counters, len);
}

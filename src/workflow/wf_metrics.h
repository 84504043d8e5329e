#ifndef WF_METRICS_H
#define WF_METRICS_H

/**
 * DOC: wf_metrics
 *
 * What an instance counts: requests by outcome with their times, orders to
 * runners by answer, calls of the store, decisions.
 */

#include "httpc.h"
#include "wf_core.h"

struct wf_metrics;

/**
 * struct wf_metrics_sample - what is read when the metrics are asked for
 */
struct wf_metrics_sample {
	struct wf_gauges gauges;
	size_t connections;
	size_t requests_open;
	uint64_t store_calls;
	uint64_t log_dropped;
	struct agb_httpc_bytes runner_bytes;
};

struct wf_metrics *wf_metrics_new(void);

void wf_metrics_record_call(
    struct wf_metrics *m, const struct wf_call *call, agb_time now);

void wf_metrics_record_reply(struct wf_metrics *m, uint64_t call_id,
    const struct wf_reply *r, agb_time now);

void wf_metrics_count_order(
    struct wf_metrics *m, const struct wf_order_result *res);

void wf_metrics_count_store_result(
    struct wf_metrics *m, enum agb_store_status status);

/**
 * wf_metrics_count_event() - count a line of the decision log
 */
void wf_metrics_count_event(struct wf_metrics *m, const char *event);

/**
 * wf_metrics_format() - all metrics in the Prometheus text format
 * Return: a new string, freed by the caller.
 */
char *wf_metrics_format(
    struct wf_metrics *m, const struct wf_metrics_sample *in, size_t *len);

#endif

#ifndef WF_METRICS_H
#define WF_METRICS_H

/**
 * DOC: wf_metrics
 *
 * Metrics of an instance: client requests by status and duration, orders to
 * runners by outcome, store calls by outcome, and logged decisions.
 */

#include "httpc.h"
#include "rpc.h"
#include "wf_core.h"
#include "wf_httpd_budget.h"

struct wf_metrics;

/**
 * struct wf_metrics_sample - values read at the time of a scrape
 * @connections: open client connections
 * @clients: what they hold, and how many were refused or given up
 * @requests_open: client requests without a response
 * @store_calls: calls made to the store since the start
 * @log_dropped: log lines dropped since the start
 * @meter: times of turns, ages of orders and approvals
 * @rpc: calls between instances
 * @backlog: bytes that other instances have not been sent yet
 */
struct wf_metrics_sample {
	struct wf_gauges gauges;
	size_t connections;
	struct wf_httpd_budget clients;
	size_t requests_open;
	uint64_t store_calls;
	uint64_t log_dropped;
	struct agb_httpc_bytes runner_bytes;
	const struct wf_meter *meter;
	const struct agb_rpc_stats *rpc;
	struct wf_backlog backlog;
};

struct wf_metrics *wf_metrics_new(void);

/**
 * wf_metrics_free() - free the metrics
 * @m: may be NULL
 */
void wf_metrics_free(struct wf_metrics *m);

/**
 * wf_metrics_record_call() - note the start time of a client request
 */
void wf_metrics_record_call(
    struct wf_metrics *m, const struct wf_call *call, agb_time now);

/**
 * wf_metrics_record_reply() - count a reply and measure its duration
 */
void wf_metrics_record_reply(struct wf_metrics *m, uint64_t call_id,
    const struct wf_reply *r, agb_time now);

/**
 * wf_metrics_count_order() - count an order by kind and outcome
 */
void wf_metrics_count_order(
    struct wf_metrics *m, const struct wf_order_result *res);

/**
 * wf_metrics_count_store_result() - count a finished store call by outcome
 */
void wf_metrics_count_store_result(
    struct wf_metrics *m, enum agb_store_status status);

/**
 * wf_metrics_count_give_up() - count a poll or read of the store that was given
 * up
 */
void wf_metrics_count_give_up(
    struct wf_metrics *m, const struct agb_store_give_up *g);

/**
 * wf_metrics_count_event() - count a line of the decision log by event name
 */
void wf_metrics_count_event(struct wf_metrics *m, const char *event);

/**
 * wf_metrics_format() - write all metrics in the Prometheus text format
 * Return: a new string, freed by the caller.
 */
char *wf_metrics_format(
    struct wf_metrics *m, const struct wf_metrics_sample *in, size_t *len);

#endif

#ifndef AGB_METRICS_H
#define AGB_METRICS_H

/**
 * DOC: metrics
 *
 * Metrics of an entry instance: the effects that it carries out, its HTTP and
 * RPC traffic, and its state.
 */

#include "counters.h"
#include "edge.h"
#include "effect.h"
#include "httpc.h"
#include "rpc.h"

struct agb_metrics;

/**
 * agb_metrics_new() - create metrics with all counters at zero
 */
struct agb_metrics *agb_metrics_new(void);

/**
 * agb_metrics_count_effect() - count one effect
 */
void agb_metrics_count_effect(
    struct agb_metrics *m, const struct agb_effect *ef);

/**
 * agb_metrics_observe_step() - record the duration of one step of the reducer
 * @us: duration in microseconds
 */
void agb_metrics_observe_step(struct agb_metrics *m, uint64_t us);

/**
 * struct agb_metrics_sources - values read when the metrics are requested
 * @store: HTTP traffic with the platform's key-value store
 * @workers: HTTP traffic with workers
 * @upstreams: HTTP traffic with upstreams
 * @list: HTTP traffic for the platform's instance list
 * @store_calls: number of store calls since the start
 * @env_version: store revision of the environment document in force
 * @log_dropped: number of dropped log lines since the start
 * @is_owner: this instance owns the shard of its failure domain
 */
struct agb_metrics_sources {
	const struct agb_edge *edge;
	const struct agb_rpc *rpc;
	struct agb_httpc_bytes store;
	struct agb_httpc_bytes workers;
	struct agb_httpc_bytes upstreams;
	struct agb_httpc_bytes list;
	uint64_t store_calls;
	uint64_t env_version;
	uint64_t log_dropped;
	bool is_owner;
};

/**
 * agb_metrics_format() - write all metrics in the Prometheus text format
 * Return: a new string, freed by the caller.
 */
char *agb_metrics_format(
    struct agb_metrics *m, const struct agb_metrics_sources *in);

/**
 * agb_metrics_free() - free all counters
 * @m: may be NULL
 */
void agb_metrics_free(struct agb_metrics *m);

#endif

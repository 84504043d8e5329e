#ifndef AGB_METRICS_H
#define AGB_METRICS_H

/**
 * DOC: metrics
 *
 * What an entry instance counts of the effects that it carries out and of
 * the clients that it uses.
 */

#include "counters.h"
#include "edge.h"
#include "effect.h"
#include "httpc.h"
#include "rpc.h"

struct agb_metrics;

/**
 * agb_metrics_new() - all counters at zero
 */
struct agb_metrics *agb_metrics_new(void);

/**
 * agb_metrics_count_effect() - count one effect
 */
void agb_metrics_count_effect(
    struct agb_metrics *m, const struct agb_effect *ef);

/**
 * agb_metrics_observe_step() - note how long one step of the reducer took
 */
void agb_metrics_observe_step(struct agb_metrics *m, uint64_t us);

/**
 * struct agb_metrics_sources - what is read when the metrics are asked for
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
	bool owner;
};

/**
 * agb_metrics_format() - all metrics in the Prometheus text format
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

#ifndef AGB_COUNTERS_H
#define AGB_COUNTERS_H

/**
 * DOC: counters
 *
 * Counters, gauges and histograms with fixed buckets, written in the
 * Prometheus text format.
 */

#include "types.h"

/* Label values per metric; further values share a series named "other". */
#define AGB_COUNTERS_LABEL_VALUES_MAX 256

enum agb_metric_type {
	AGB_METRIC_COUNTER,
	AGB_METRIC_GAUGE,
	AGB_METRIC_HISTOGRAM,
};

/**
 * struct agb_metric - static description of a metric
 * @name: such as "agatebeam_requests_total"
 * @help: description in one line
 * @label: name of its only label, or NULL
 * @buckets: upper bounds of a histogram's buckets, ascending, without +Inf
 * @buckets_len: number of entries in @buckets
 */
struct agb_metric {
	const char *name;
	const char *help;
	const char *label;
	const double *buckets;
	size_t buckets_len;
	enum agb_metric_type type;
};

struct agb_counters;
struct agb_series;

struct agb_counters *agb_counters_new(void);

/**
 * agb_counters_get() - get the series of a metric for a label value,
 * creating it when necessary
 * @m: static data; metrics are identified by their address
 * @value: label value; NULL when the metric has no label
 * Return: the series, valid until agb_counters_free(). Calls with the same
 * metric and value return the same series.
 */
struct agb_series *agb_counters_get(
    struct agb_counters *c, const struct agb_metric *m, const char *value);

/**
 * agb_series_add() - add to a counter or gauge
 */
void agb_series_add(struct agb_series *s, double n);

/**
 * agb_series_set() - set a gauge, or a counter that is maintained elsewhere
 */
void agb_series_set(struct agb_series *s, double n);

/**
 * agb_series_observe() - add one observation to a histogram
 */
void agb_series_observe(struct agb_series *s, double x);

/**
 * agb_series_set_histogram() - set a histogram that is maintained elsewhere
 * @buckets: observations per bucket, not cumulative; as many as the metric has
 * @count: number of all observations
 * @sum: their sum
 */
void agb_series_set_histogram(
    struct agb_series *s, const uint64_t *buckets, uint64_t count, double sum);

/**
 * agb_series_value() - value of a counter or gauge, sum of a histogram
 */
double agb_series_value(const struct agb_series *s);

/**
 * agb_counters_format() - write all metrics in the Prometheus text format
 * @len: set to the length of the text
 * Return: a new string, freed by the caller.
 */
char *agb_counters_format(const struct agb_counters *c, size_t *len);

/**
 * agb_counters_free() - free all metrics and series
 * @c: may be NULL
 */
void agb_counters_free(struct agb_counters *c);

#endif

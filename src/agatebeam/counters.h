#ifndef AGB_COUNTERS_H
#define AGB_COUNTERS_H

/**
 * DOC: counters
 *
 * Counters, gauges and histograms with fixed buckets, and their text form
 * for Prometheus.
 */

#include "types.h"

/* Label values of one metric; further ones are counted as "other". */
#define AGB_COUNTERS_LABEL_VALUES_MAX 256

enum agb_metric_type {
	AGB_METRIC_COUNTER,
	AGB_METRIC_GAUGE,
	AGB_METRIC_HISTOGRAM,
};

/**
 * struct agb_metric - what a metric is; static data
 * @name: such as "agatebeam_requests_total"
 * @help: one line
 * @label: name of its one label, or NULL
 * @buckets: upper bounds of a histogram, ascending, without infinity
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
 * agb_counters_get() - series of a metric with a label value
 * @m: static, known by its address
 * @value: of the label; NULL when the metric has none
 * Return: a series that stays valid until agb_counters_free(), the same one
 * for the same metric and value.
 */
struct agb_series *agb_counters_get(
    struct agb_counters *c, const struct agb_metric *m, const char *value);

/**
 * agb_series_add() - add to a counter or gauge
 */
void agb_series_add(struct agb_series *s, double n);

/**
 * agb_series_set() - set a gauge, or a counter that is kept elsewhere
 */
void agb_series_set(struct agb_series *s, double n);

/**
 * agb_series_observe() - add one observation to a histogram
 */
void agb_series_observe(struct agb_series *s, double x);

/**
 * agb_series_value() - sum of a histogram, value of the others
 */
double agb_series_value(const struct agb_series *s);

/**
 * agb_counters_format() - all metrics in the Prometheus text format
 * @len: set to the length
 * Return: a new string, freed by the caller.
 */
char *agb_counters_format(const struct agb_counters *c, size_t *len);

/**
 * agb_counters_free() - free all metrics and series
 * @c: may be NULL
 */
void agb_counters_free(struct agb_counters *c);

#endif

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counters.h"
#include "suite.h"

static const double bounds[] = {0.5, 1, 10};

static const struct agb_metric requests = {.name = "requests_total",
    .help = "Requests.",
    .label = "outcome",
    .type = AGB_METRIC_COUNTER};
static const struct agb_metric busy = {
    .name = "busy", .help = "Busy slots.", .type = AGB_METRIC_GAUGE};
static const struct agb_metric wait_s = {.name = "wait_seconds",
    .help = "Wait.",
    .buckets = bounds,
    .buckets_len = 3,
    .type = AGB_METRIC_HISTOGRAM};

/* Guards against text that Prometheus misreads: buckets that are not
 * cumulative, labels that are not escaped, and an observation equal to a
 * bound that is counted in the wrong bucket. */
static void
test_text(void)
{
	static const char want[] =
	    "# HELP requests_total Requests.\n"
	    "# TYPE requests_total counter\n"
	    "requests_total{outcome=\"ran\"} 3\n"
	    "requests_total{outcome=\"a\\\"\\\\\\n\"} 1\n"
	    "# HELP busy Busy slots.\n"
	    "# TYPE busy gauge\n"
	    "busy 2.5\n"
	    "# HELP wait_seconds Wait.\n"
	    "# TYPE wait_seconds histogram\n"
	    "wait_seconds_bucket{le=\"0.5\"} 1\n"
	    "wait_seconds_bucket{le=\"1\"} 2\n"
	    "wait_seconds_bucket{le=\"10\"} 2\n"
	    "wait_seconds_bucket{le=\"+Inf\"} 3\n"
	    "wait_seconds_sum 21.25\n"
	    "wait_seconds_count 3\n";
	struct agb_counters *const c = agb_counters_new();
	struct agb_series *s;
	size_t len;
	char *text;

	agb_series_add(agb_counters_get(c, &requests, "ran"), 1);
	agb_series_add(agb_counters_get(c, &requests, "ran"), 2);
	agb_series_add(agb_counters_get(c, &requests, "a\"\\\n"), 1);
	s = agb_counters_get(c, &busy, NULL);
	agb_series_set(s, 7);
	agb_series_set(s, 2.5);
	CU_ASSERT_EQUAL(agb_series_value(s), 2.5);
	s = agb_counters_get(c, &wait_s, NULL);
	agb_series_observe(s, 0.25);
	agb_series_observe(s, 1);
	agb_series_observe(s, 20);
	text = agb_counters_format(c, &len);
	CU_ASSERT_STRING_EQUAL(text, want);
	CU_ASSERT_EQUAL(len, strlen(want));
	free(text);
	agb_counters_free(c);
}

/* Guards against label values from clients that exhaust the memory: values
 * beyond the limit must share one series. */
static void
test_label_limit(void)
{
	struct agb_counters *const c = agb_counters_new();
	const struct agb_series *other;
	char value[16];
	int i;

	for (i = 0; i < AGB_COUNTERS_LABEL_VALUES_MAX + 50; i++) {
		snprintf(value, sizeof(value), "v%d", i);
		agb_series_add(agb_counters_get(c, &requests, value), 1);
	}
	other = agb_counters_get(c, &requests, "other");
	CU_ASSERT_EQUAL(agb_series_value(other), 50);
	agb_counters_free(c);
}

static const struct suite_test tests[] = {
    {"text", test_text},
    {"label_limit", test_label_limit},
};

int
main(void)
{
	return suite_run("counters", tests, sizeof(tests) / sizeof(tests[0]));
}

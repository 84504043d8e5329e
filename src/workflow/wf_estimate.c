#include "wf_estimate.h"

#include <math.h>

/* Weight that a run keeps when the next one ends: some 500 runs count. */
#define DECAY 0.998
/* The estimates count like this many runs that took as long as estimated, so
 * that a few odd runs do not decide. */
#define PRIOR_RUNS 10
/* Variance of the logarithm of the estimates of these runs. */
#define PRIOR_VARIANCE 0.25
/* A prediction differs from the estimate by this factor at most. */
#define CORRECTION_MAX 8.0
/* A run that is overdue is expected to take this much longer at least. */
#define OVERDUE_MIN_MS 300
/* Less progress than this tells little about the rest of a run. */
#define PROGRESS_MIN_PERCENT 5

void
wf_estimator_add(struct wf_estimator *e, uint32_t estimate_ms, uint32_t run_ms)
{
	const double x = log(estimate_ms > 0 ? estimate_ms : 1);
	const double y = log(run_ms > 0 ? run_ms : 1);

	e->weight = e->weight * DECAY + 1;
	e->sum_x = e->sum_x * DECAY + x;
	e->sum_y = e->sum_y * DECAY + y;
	e->sum_xx = e->sum_xx * DECAY + x * x;
	e->sum_xy = e->sum_xy * DECAY + x * y;
}

uint32_t
wf_estimator_predict(const struct wf_estimator *e, uint32_t estimate_ms)
{
	const double x = log(estimate_ms > 0 ? estimate_ms : 1);
	double mean_x, mean_y, slope, offset, y;

	if (e->weight <= 0)
		return estimate_ms;
	mean_x = e->sum_x / e->weight;
	mean_y = e->sum_y / e->weight;
	slope = (e->sum_xy - e->weight * mean_x * mean_y +
		    PRIOR_RUNS * PRIOR_VARIANCE) /
	    (e->sum_xx - e->weight * mean_x * mean_x +
		PRIOR_RUNS * PRIOR_VARIANCE);
	offset = (mean_y - mean_x) * e->weight / (e->weight + PRIOR_RUNS);
	y = mean_x + offset + slope * (x - mean_x);
	y = fmin(fmax(y, x - log(CORRECTION_MAX)), x + log(CORRECTION_MAX));
	return (uint32_t)exp(y);
}

agb_time
wf_estimate_end(agb_time started_at, uint32_t expected_ms, uint32_t percent,
    agb_time seen_at)
{
	if (percent < PROGRESS_MIN_PERCENT || seen_at <= started_at)
		return started_at + (agb_time)expected_ms * AGB_MS;
	return started_at + (seen_at - started_at) * 100 / percent;
}

agb_time
wf_estimate_overdue_end(agb_time end, agb_time due, agb_time now)
{
	const agb_time least = OVERDUE_MIN_MS * AGB_MS;
	agb_time overdue;

	if (end >= now + least)
		return end;
	overdue = end < now ? now - end : 0;
	overdue = agb_time_min(overdue, due > now ? due - now : now - due);
	return now + agb_time_max(overdue, least);
}

#ifndef WF_ESTIMATE_H
#define WF_ESTIMATE_H

/**
 * DOC: wf_estimate
 *
 * Expected run times. The estimates that callers submit are off by a factor
 * that differs by queue, and small ones are more often too low, large ones too
 * high. An estimator learns from ended runs how the run time follows the
 * estimate: a line through the logarithms of both, with newer runs weighted
 * higher.
 */

#include "types.h"

/**
 * struct wf_estimator - what the ended runs of a queue have shown
 * @weight: number of runs, decayed
 * @sum_x, @sum_xx: of the logarithms of the estimates, and of their squares
 * @sum_y, @sum_xy: of the logarithms of the run times, and of the products
 */
struct wf_estimator {
	double weight;
	double sum_x;
	double sum_y;
	double sum_xx;
	double sum_xy;
};

/**
 * wf_estimator_add() - learn from a run that has ended successfully
 */
void wf_estimator_add(
    struct wf_estimator *e, uint32_t estimate_ms, uint32_t run_ms);

/**
 * wf_estimator_predict() - expected run time in ms of a task
 *
 * Without ended runs it is close to the estimate.
 */
uint32_t wf_estimator_predict(
    const struct wf_estimator *e, uint32_t estimate_ms);

/**
 * wf_estimate_end() - expected end of a run that is in progress
 * @percent: progress at @seen_at; 0 when unknown
 *
 * The progress seen so far decides once it is large enough to tell.
 */
agb_time wf_estimate_end(agb_time started_at, uint32_t expected_ms,
    uint32_t percent, agb_time seen_at);

/**
 * wf_estimate_overdue_end() - when a run is expected to end, seen from @now
 * @end: when it should end by its progress, see wf_estimate_end()
 * @due: when it should end by its expected run time
 *
 * A run that goes on after @end is expected to take as much longer as it is
 * overdue: the longer it goes on, the less is known of its end. That is no later
 * than @due while this is to come, and counts from @due once that is over.
 */
agb_time wf_estimate_overdue_end(agb_time end, agb_time due, agb_time now);

#endif

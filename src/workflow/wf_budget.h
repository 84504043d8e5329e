#ifndef WF_BUDGET_H
#define WF_BUDGET_H

/**
 * DOC: wf_budget
 *
 * Memory that accepted jobs may take. Any instance may have to lead, and a
 * leader holds all jobs: an instance only accepts a job if it still fits into a
 * part of the memory of the smallest instance. Only the leader knows how much
 * the accepted jobs take. It tells the others while that is a large part of the
 * limit; without its word an instance accepts.
 */

#include "wf_table.h"

/**
 * wf_budget_spec_bytes() - upper bound of the memory that a job takes at a
 * leader while none of its tasks runs
 */
uint64_t wf_budget_spec_bytes(const struct wf_spec *s);

/**
 * wf_budget_used() - memory that the jobs in the table take at a leader
 */
uint64_t wf_budget_used(const struct wf_table *t);

/**
 * wf_budget_limit() - memory that accepted jobs may take
 * @memory_mb: memory of this instance; 0 when unknown
 * Return: UINT64_MAX when no instance tells its memory.
 */
uint64_t wf_budget_limit(const struct wf_table *t, uint32_t memory_mb);

/**
 * wf_budget_must_tell() - whether the leader tells the other instances how much
 * is used
 */
bool wf_budget_must_tell(uint64_t used, uint64_t limit);

#endif

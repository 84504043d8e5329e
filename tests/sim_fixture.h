#ifndef SIM_FIXTURE_H
#define SIM_FIXTURE_H

/**
 * DOC: sim_fixture
 *
 * Start and end of a simulation (tests/wfsim) in a test.
 */

#include <stdio.h>

#include "suite.h"
#include "wfsim.h"

/**
 * start_sim() - create a simulation and run it until an instance should lead
 */
static inline struct sim *
start_sim(const struct sim_options *o, unsigned ms)
{
	struct sim *const s = sim_new(o);

	sim_run(s, ms);
	CU_ASSERT_FATAL(sim_leader(s) >= 0);
	return s;
}

/**
 * finish_sim() - check that no guarantee was violated, and free the simulation
 */
static inline void
finish_sim(struct sim *s)
{
	if (sim_violation_count(s) > 0)
		printf("\n%s\n", sim_first_violation(s));
	CU_ASSERT_EQUAL(sim_violation_count(s), 0);
	sim_free(s);
}

#endif

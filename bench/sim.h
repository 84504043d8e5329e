#ifndef SIM_H
#define SIM_H

/**
 * DOC: sim
 *
 * Event queue for simulations: a binary heap ordered by time.
 */

#include "bench.h"

/* @kind and @n are defined by the simulation. */
struct sim_event {
	agb_time at;
	int kind;
	uint32_t n;
	uint32_t worker;
	struct agb_attempt attempt;
};

struct sim {
	struct sim_event *heap;
	size_t len;
	size_t cap;
};

void sim_add(struct sim *s, struct sim_event ev);
bool sim_pop(struct sim *s, struct sim_event *ev);

#endif

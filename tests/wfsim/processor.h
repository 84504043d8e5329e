#ifndef WFSIM_PROCESSOR_H
#define WFSIM_PROCESSOR_H

/**
 * DOC: processor
 *
 * The processor of a simulated instance. Each event that the instance handles,
 * each effect that it carries out and each step or runner that a dispatch pass
 * examines takes processor time. The instance handles one event at a time, and
 * events that arrive meanwhile wait.
 */

#include "wf_event.h"
#include "wf_meter.h"

/**
 * struct sim_processor - processor of an instance
 * @speed_percent: its speed, in percent of a full core; 0 when work takes no
 *	time
 * @in_turn: an event is being handled
 * @turn_ns: work of the current turn without that of dispatch passes, as
 *	nanoseconds of a full core
 * @examined: what dispatch passes had examined when the turn began
 * @busy_until: end of the last turn, on the clock of the simulation
 */
struct sim_processor {
	unsigned speed_percent;
	bool in_turn;
	uint64_t turn_ns;
	uint64_t examined;
	agb_time busy_until;
};

/**
 * sim_processor_begin_turn() - begin to handle an event
 * @m: of the instance
 */
void sim_processor_begin_turn(struct sim_processor *p, const struct wf_meter *m,
    const struct wf_event *ev);

void sim_processor_add_effect(
    struct sim_processor *p, const struct wf_effect *ef);

/**
 * sim_processor_turn_time() - time that the current turn has taken so far
 * Return: 0 outside a turn.
 */
agb_time sim_processor_turn_time(
    const struct sim_processor *p, const struct wf_meter *m);

void sim_processor_end_turn(
    struct sim_processor *p, const struct wf_meter *m, agb_time now);

#endif

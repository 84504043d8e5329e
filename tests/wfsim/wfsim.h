#ifndef WFSIM_H
#define WFSIM_H

/**
 * DOC: wfsim
 *
 * Instances of the workflow reducer in simulated time, without sockets: a
 * store, runners and an advice service in memory, and faults at set times.
 * The promises are checked from what the runners and callers see.
 */

#include <stdio.h>

#include "wf_core.h"

#define SIM_CORES_MAX 8
#define SIM_RUNNERS_MAX 512
#define SIM_MS AGB_MS
#define SIM_FIRST_STALL_SEED 1000000
#define SIM_FIRST_RELAY_SEED 2000000

struct sim;

/**
 * struct sim_options - what is simulated
 * @latency_ms: one way to store, runners and advice
 * @advice_required: placements need approvals
 * @fail_percent: share of the runs that fail
 * @answer_lost_percent: share of the orders whose answer is lost
 * @order_late_percent: share of the orders that are carried out seconds later
 * @store_lost_percent: share of the writes whose answer is lost
 * @small_cores: instances that start first, with half the processor
 * @run_time_factor: factor on the run times beyond the estimate; 0 is 1
 * @runner_stalls: runners also stand still on random days
 * @relays: the machines are too small to speak with all runners themselves
 */
struct sim_options {
	uint64_t seed;
	unsigned cores;
	unsigned runners;
	int64_t cpu_milli;
	unsigned latency_ms;
	bool advice_required;
	unsigned max_attempts;
	unsigned fail_percent;
	unsigned answer_lost_percent;
	unsigned order_late_percent;
	unsigned store_lost_percent;
	unsigned small_cores;
	unsigned run_time_factor;
	bool runner_stalls;
	bool relays;
	unsigned jobs_per_s;
	unsigned load_ms;
	unsigned fault_gap_ms;
};

enum sim_store_mode {
	SIM_STORE_UP,
	SIM_STORE_REFUSES,
	SIM_STORE_SILENT,
};

struct sim *sim_new(const struct sim_options *o);
void sim_free(struct sim *s);

/**
 * sim_run() - let time pass
 */
void sim_run(struct sim *s, unsigned ms);

unsigned sim_now_ms(const struct sim *s);

/**
 * sim_submit() - hand a job in at an instance; the sim takes over @spec
 * @id: 16 hexadecimal digits
 */
void sim_submit(
    struct sim *s, unsigned ci, const char *id, struct wf_spec *spec);
void sim_cancel(struct sim *s, unsigned ci, const char *id);

/**
 * sim_new_spec() - a job of one step
 */
struct wf_spec *sim_new_spec(uint32_t count, uint32_t cpu, uint32_t ms);

/**
 * sim_add_step() - add a step after the last one
 */
struct wf_step *sim_add_step(
    struct wf_spec *spec, uint32_t count, uint32_t cpu, uint32_t ms);

/* Faults. */
void sim_kill(struct sim *s, unsigned ci, unsigned back_ms);
void sim_freeze(struct sim *s, unsigned ci, unsigned ms);
/* An instance reaches no runner; or no other instance, and they not it. */
void sim_core_cut_runners(struct sim *s, unsigned ci, bool cut);
void sim_core_isolate(struct sim *s, unsigned ci, bool alone);
void sim_sigterm(struct sim *s, unsigned ci);
void sim_set_store_mode(struct sim *s, enum sim_store_mode mode);
/* Share of the writes and renewals whose answer is lost, carried out at once or
 * later. */
void sim_set_store_loss(struct sim *s, unsigned percent);
void sim_set_store_delay(struct sim *s, unsigned ms);
void sim_set_core_store_mode(
    struct sim *s, unsigned ci, enum sim_store_mode mode);
void sim_compact_store(struct sim *s);
void sim_runner_cut(struct sim *s, unsigned ri, bool cut);
void sim_runner_crash(struct sim *s, unsigned ri, unsigned back_ms);
void sim_runner_drain(struct sim *s, unsigned ri, unsigned leave_ms);
void sim_runner_stall(struct sim *s, unsigned ri, bool on);
void sim_runner_ignore_starts(struct sim *s, unsigned ri, bool on);
void sim_runner_faulty(struct sim *s, unsigned ri, bool on);

/* What was seen. */
int sim_leader(const struct sim *s);
const char *sim_state(struct sim *s, const char *id);
unsigned sim_start_count(const struct sim *s, const char *id);
unsigned sim_started_at_ms(const struct sim *s, const char *id);
unsigned sim_running_count(const struct sim *s, const char *id);
unsigned sim_runner_of(const struct sim *s, const char *id);
unsigned sim_response_ms(struct sim *s, const char *id);
unsigned sim_submit_status(const struct sim *s, const char *id);
unsigned sim_store_calls(const struct sim *s);
unsigned sim_relayed_writes(const struct sim *s);
/* Orders that instances carried out for the leader, and those that it sent
 * itself. */
unsigned sim_relayed_orders(const struct sim *s);
unsigned sim_direct_orders(const struct sim *s);
/* Bytes of job texts that the leader handed to relays. */
unsigned sim_payload_bytes(const struct sim *s);
/* Full reads of the jobs that instances have begun. */
unsigned sim_full_reads(const struct sim *s);
unsigned sim_advice_calls(const struct sim *s);
unsigned sim_job_count(const struct sim *s);
unsigned sim_final_job_count(struct sim *s);

/**
 * sim_violation_count() - broken promises, with the first one described
 */
unsigned sim_violation_count(const struct sim *s);
const char *sim_first_violation(const struct sim *s);

/**
 * sim_random_run() - a load of mixed jobs with faults at random times, then
 * time to finish; what is not finished is a violation
 */
void sim_random_run(struct sim *s);

/**
 * sim_run_seed() - a random day whose sizes and faults come from the seed;
 * from seed SIM_FIRST_STALL_SEED on, runners also stand still, and from
 * SIM_FIRST_RELAY_SEED on orders go through relays
 * @report: gets a line when a promise is broken; may be NULL
 * Return: number of broken promises.
 */
unsigned sim_run_seed(unsigned seed, FILE *report);

#endif

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
#define SIM_STALL_SEEDS 1000000
#define SIM_RELAY_SEEDS 2000000

struct sim;

/**
 * struct sim_options - what is simulated
 * @latency_ms: one way to store, runners and advice
 * @advised: placements need approvals
 * @fail_percent: share of the runs that fail
 * @lost_percent: share of the orders whose answer is lost
 * @late_percent: share of the orders that are carried out seconds later
 * @store_lost_percent: share of the writes whose answer is lost
 * @small_cores: instances that start first, with half the processor
 * @stretch: factor on the run times beyond the estimate; 0 is 1
 * @stalls: runners also stand still on random days
 * @relays: the machines are too small to speak with all runners themselves
 */
struct sim_options {
	uint64_t seed;
	unsigned cores;
	unsigned runners;
	int64_t cpu_milli;
	unsigned latency_ms;
	bool advised;
	unsigned attempts;
	unsigned fail_percent;
	unsigned lost_percent;
	unsigned late_percent;
	unsigned store_lost_percent;
	unsigned small_cores;
	unsigned stretch;
	bool stalls;
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
 * sim_spec() - a job of one step
 */
struct wf_spec *sim_spec(uint32_t count, uint32_t cpu, uint32_t ms);

/**
 * sim_then() - add a step after the last one
 */
struct wf_step *sim_then(
    struct wf_spec *spec, uint32_t count, uint32_t cpu, uint32_t ms);

/* Faults. */
void sim_kill(struct sim *s, unsigned ci, unsigned back_ms);
void sim_freeze(struct sim *s, unsigned ci, unsigned ms);
/* An instance reaches no runner; or no other instance, and they not it. */
void sim_core_cut(struct sim *s, unsigned ci, bool cut);
void sim_core_alone(struct sim *s, unsigned ci, bool alone);
void sim_term(struct sim *s, unsigned ci);
void sim_store(struct sim *s, enum sim_store_mode mode);
/* Share of the writes and renewals whose answer is lost, carried out at once or
 * later. */
void sim_store_loses(struct sim *s, unsigned percent);
void sim_store_slow(struct sim *s, unsigned ms);
void sim_core_store(struct sim *s, unsigned ci, enum sim_store_mode mode);
void sim_forget_history(struct sim *s);
void sim_runner_cut(struct sim *s, unsigned ri, bool cut);
void sim_runner_crash(struct sim *s, unsigned ri, unsigned back_ms);
void sim_runner_drain(struct sim *s, unsigned ri, unsigned leave_ms);
void sim_runner_hang(struct sim *s, unsigned ri, bool on);
void sim_runner_deaf(struct sim *s, unsigned ri, bool on);
void sim_runner_faulty(struct sim *s, unsigned ri, bool on);

/* What was seen. */
int sim_leader(const struct sim *s);
const char *sim_state(struct sim *s, const char *id);
unsigned sim_starts(const struct sim *s, const char *id);
unsigned sim_started_at(const struct sim *s, const char *id);
unsigned sim_running(const struct sim *s, const char *id);
unsigned sim_runner_of(const struct sim *s, const char *id);
unsigned sim_tail(struct sim *s, const char *id);
unsigned sim_submit_status(const struct sim *s, const char *id);
unsigned sim_store_calls(const struct sim *s);
unsigned sim_relays(const struct sim *s);
/* Orders that instances carried out for the leader, and those that it sent
 * itself. */
unsigned sim_relayed(const struct sim *s);
unsigned sim_direct(const struct sim *s);
/* Bytes of job texts that the leader handed to relays. */
unsigned sim_text_bytes(const struct sim *s);
/* Full reads of the jobs that instances have begun. */
unsigned sim_full_reads(const struct sim *s);
unsigned sim_advice_calls(const struct sim *s);
unsigned sim_jobs(const struct sim *s);
unsigned sim_jobs_final(struct sim *s);

/**
 * sim_violations() - broken promises, with the first one described
 */
unsigned sim_violations(const struct sim *s);
const char *sim_violation(const struct sim *s);

/**
 * sim_random_day() - a load of mixed jobs with faults at random times, then
 * time to finish; what is not finished is a violation
 */
void sim_random_day(struct sim *s);

/**
 * sim_run_seed() - a random day whose sizes and faults come from the seed;
 * from seed SIM_STALL_SEEDS on, runners also stand still, and from
 * SIM_RELAY_SEEDS on orders go through relays
 * @report: gets a line when a promise is broken; may be NULL
 * Return: number of broken promises.
 */
unsigned sim_run_seed(unsigned seed, FILE *report);

#endif

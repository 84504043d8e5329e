#ifndef WFSIM_H
#define WFSIM_H

/**
 * DOC: wfsim
 *
 * Simulates instances of the workflow reducer in virtual time and without
 * sockets. The store, the runners and the advice service are in memory, and
 * faults are injected at given times. The guarantees are checked by what the
 * runners and the clients observe.
 */

#include <stdio.h>

#include "wf_core.h"

#define SIM_CORES_MAX 40
#define SIM_RUNNERS_MAX 512
#define SIM_MS AGB_MS
#define SIM_FIRST_STALL_SEED 1000000
#define SIM_FIRST_RELAY_SEED 2000000
#define SIM_FIRST_GANG_SEED 3000000
#define SIM_FIRST_ACCOUNT_SEED 4000000
#define SIM_FIRST_SHARED_ID_SEED 5000000

struct sim;

/**
 * struct sim_queue - a queue
 * @advice_ms: time that a call for advice takes
 * @advice_per_runner_us: added to @advice_ms for each runner named
 * @approved_percent: share of the runners that the advice service approves for a
 *	step; 0 when the queue needs no approval
 */
struct sim_queue {
	const char *name;
	uint32_t priority;
	uint32_t target_ms;
	double slack_factor;
	unsigned advice_ms;
	unsigned advice_per_runner_us;
	unsigned approved_percent;
};

/**
 * struct sim_options - parameters of a simulation
 * @latency_ms: one-way latency to the store, the runners and the advice service
 * @advice_required: placements need approval by the advice service
 * @fail_percent: share of the runs that fail; members of gangs do not
 * @gang_fail_percent: share of the runs of gangs in which all members fail at the
 *	same time
 * @answer_lost_percent: share of the orders whose reply is lost
 * @order_late_percent: share of the orders that are carried out seconds later
 * @store_lost_percent: share of the writes whose reply is lost
 * @small_cores: number of instances, the first to start, that have half the CPU
 *	of the others
 * @run_time_factor: run times as a multiple of the estimate; 0 means 1
 * @runner_stalls: runners may also stall in randomized runs
 * @relays: the instances are too small to call all runners themselves
 * @link_kbps: bandwidth at which each instance sends; 0 for no limit
 * @memory_mb: memory of each instance; 0 when unknown
 * @processor_percent: speed of each instance's processor, in percent of a full
 *	core; 0 when work takes no time
 * @advice_ms: time that a call for advice takes
 * @advice_per_runner_ms: added to @advice_ms for each runner named
 * @advice_in_turn: the advice service handles one call of an instance at a time
 * @ticket_ms: lifetime of an approval; 0 means 2000
 * @queues: queues for sim_submit_to(), in place of the single default one
 * @shared_ids: in randomized runs jobs of different queues have the same id, and
 *	clients ask for states and for jobs of other queues
 * @accounts: client accounts of the document; a job belongs to the one that its
 *	spec names
 * @rack_size: number of consecutive runners on one rack, "rack-0" and so on;
 *	0 for no racks
 * @remote_factor: factor on the run time of a task away from the rack of its
 *	data, and of a gang that wants one rack and runs on several; 0 for none
 * @locality_wait_ms: longest wait for a placement near them
 * @target_ms: target of the default queue; 0 means 1000
 * @fault_gap_ms: mean time between two faults in randomized runs; 0 for none
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
	unsigned gang_fail_percent;
	unsigned answer_lost_percent;
	unsigned order_late_percent;
	unsigned store_lost_percent;
	unsigned small_cores;
	unsigned run_time_factor;
	bool runner_stalls;
	bool relays;
	unsigned link_kbps;
	unsigned memory_mb;
	unsigned processor_percent;
	unsigned advice_ms;
	unsigned advice_per_runner_ms;
	bool advice_in_turn;
	unsigned ticket_ms;
	const struct sim_queue *queues;
	size_t queues_len;
	bool shared_ids;
	const struct wf_account *accounts;
	size_t accounts_len;
	unsigned rack_size;
	double remote_factor;
	unsigned locality_wait_ms;
	unsigned target_ms;
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
 * sim_run() - advance the virtual time
 */
void sim_run(struct sim *s, unsigned ms);

unsigned sim_now_ms(const struct sim *s);

/**
 * sim_submit() - submit a job to an instance; the simulation takes ownership of
 * @spec
 * @id: 16 hexadecimal digits. What follows them, from a '~' on, is not sent: it
 *	names a job of another queue with the same digits, and is its payload.
 */
void sim_submit(
    struct sim *s, unsigned ci, const char *id, struct wf_spec *spec);
/* A client sends a submission once more. */
void sim_submit_again(struct sim *s, unsigned ci, const char *id);
void sim_cancel(struct sim *s, unsigned ci, const char *id);

/**
 * sim_get() - ask an instance for the state of a job; a wrong answer is a
 * violation
 */
void sim_get(struct sim *s, unsigned ci, const char *id);

/**
 * sim_get_elsewhere(), sim_cancel_elsewhere() - ask for the digits of a job, or
 * cancel them, by a queue to which no job with them was submitted
 * @queue: index of that queue
 */
void sim_get_elsewhere(
    struct sim *s, unsigned ci, size_t queue, const char *id);
void sim_cancel_elsewhere(
    struct sim *s, unsigned ci, size_t queue, const char *id);

/**
 * sim_submit_to() - as sim_submit(), to a queue of the options
 * @queue: its index
 */
void sim_submit_to(struct sim *s, unsigned ci, size_t queue, const char *id,
    struct wf_spec *spec);

/**
 * sim_new_spec() - create a job with one step
 */
struct wf_spec *sim_new_spec(uint32_t count, uint32_t cpu, uint32_t ms);

/**
 * sim_add_step() - add a step that depends on the previous one
 */
struct wf_step *sim_add_step(
    struct wf_spec *spec, uint32_t count, uint32_t cpu, uint32_t ms);

/* Faults. ci is the index of an instance, ri that of a runner. */
/* The machine of an instance loses power, or only the process is killed: then
 * its address refuses connections. */
void sim_kill(struct sim *s, unsigned ci, unsigned back_ms);
void sim_kill_process(struct sim *s, unsigned ci, unsigned back_ms);
void sim_freeze(struct sim *s, unsigned ci, unsigned ms);
/* Cuts an instance off from all runners, or from all other instances. */
void sim_core_cut_runners(struct sim *s, unsigned ci, bool cut);
void sim_core_isolate(struct sim *s, unsigned ci, bool isolated);
void sim_sigterm(struct sim *s, unsigned ci);
/* Bandwidth at which an instance sends; 0 for no limit. What is sent already
 * keeps the time at which it arrives. */
void sim_core_set_link(struct sim *s, unsigned ci, unsigned kbps);
/* Speed of the processor of an instance, from its next event on; not 0. */
void sim_core_set_processor(struct sim *s, unsigned ci, unsigned percent);
void sim_set_store_mode(struct sim *s, enum sim_store_mode mode);
/* Share of the writes and renewals whose reply is lost; they are carried out at
 * once or later. */
void sim_set_store_loss(struct sim *s, unsigned percent);
void sim_set_store_delay(struct sim *s, unsigned ms);
/* Lets all leases run anew from now on, like a store that was down and has paused
 * them. */
void sim_restart_leases(struct sim *s);
void sim_set_core_store_mode(
    struct sim *s, unsigned ci, enum sim_store_mode mode);
/* The next submission that an instance writes is not answered, and carried out
 * after @ms. */
void sim_delay_submission(struct sim *s, unsigned ci, unsigned ms);
bool sim_has_record(struct sim *s, char kind, const char *id);
/* Discards the history, so that feeds that lag behind read everything again. */
void sim_compact_store(struct sim *s);
/* State record of a job in the store; NULL when there is none. The caller frees
 * the copy. */
char *sim_state_record(struct sim *s, const char *id, size_t *len);
void sim_set_state_record(
    struct sim *s, const char *id, const char *val, size_t len);
/* While the advice service is away, calls to it are not answered. */
void sim_set_advice(struct sim *s, bool up);
/* Cuts a runner off from all instances. */
void sim_runner_cut(struct sim *s, unsigned ri, bool cut);
void sim_runner_crash(struct sim *s, unsigned ri, unsigned back_ms);
/* As sim_runner_crash(); its address does not answer until it is back. */
void sim_runner_crash_silently(struct sim *s, unsigned ri, unsigned back_ms);
/* Its entry says so from its next heartbeat on. */
void sim_runner_set_addr(struct sim *s, unsigned ri, const char *addr);
void sim_runner_set_label(struct sim *s, unsigned ri, const char *label);
/* Its next process reads a wall clock that is behind by @ms. */
void sim_runner_set_clock_back(struct sim *s, unsigned ri, unsigned ms);
/* Cuts a runner off from the registry only, where it expires. */
void sim_runner_cut_registry(struct sim *s, unsigned ri, bool cut);
/* Marks a runner as leaving; it stops after the time and later restarts. */
void sim_runner_drain(struct sim *s, unsigned ri, unsigned leave_ms);
/* The tasks of a stalled runner make no progress. */
void sim_runner_stall(struct sim *s, unsigned ri, bool on);
/* Starts are lost at the runner without a reply. */
void sim_runner_ignore_starts(struct sim *s, unsigned ri, bool on);
/* Starts that arrive at a runner are carried out after @ms, by whichever process
 * runs there then, and are not answered; 0 for none. */
void sim_runner_delay_starts(struct sim *s, unsigned ri, unsigned ms);
/* The next hold at a runner is carried out, but not answered. */
void sim_runner_lose_hold(struct sim *s, unsigned ri);
/* All tasks fail at a faulty runner. */
void sim_runner_faulty(struct sim *s, unsigned ri, bool on);
/* The runs of a job's tasks up to this number fail; those of a gang all at the
 * same time, at the end of their run time. */
void sim_fail_runs(struct sim *s, const char *id, unsigned upto);
/* The tasks of a job run for this long, whatever their estimate. */
void sim_set_run_time(struct sim *s, const char *id, unsigned ms);

/**
 * sim_set_account() - store a new version of the document in which an account
 * has another limit
 * @i: its index in the options
 * @limit: its limit
 */
void sim_set_account(struct sim *s, size_t i, struct agb_resources limit);

/* Observations. */
/* Index of the instance that leads, or -1. */
int sim_leader(const struct sim *s);
/* Most advanced state of a job that an instance reports. */
const char *sim_state(struct sim *s, const char *id);
unsigned sim_start_count(const struct sim *s, const char *id);
/* Starts of all jobs at runners. */
unsigned sim_total_start_count(const struct sim *s);
/* Processors of all running tasks, in thousandths. */
int64_t sim_running_cpu_milli(const struct sim *s);
/* Order batches, writes and other messages that instances have sent. */
uint64_t sim_bytes_sent(const struct sim *s, unsigned ci);
unsigned sim_started_at_ms(const struct sim *s, const char *id);
/* Runs that ended as the other members of their gang did not start in time. */
unsigned sim_gang_timeouts(const struct sim *s);
/* When the run of a job that ended last was done; 0 while none is. */
unsigned sim_done_at_ms(const struct sim *s, const char *id);
/* Starts of a job's tasks away from the rack of their data, and of members of
 * gangs that want one rack and run on several. */
unsigned sim_remote_count(const struct sim *s, const char *id);
/* Log lines "wait" of all instances about a job, and the last of them. */
unsigned sim_wait_lines(const struct sim *s, const char *id);
const char *sim_wait_line(const struct sim *s, const char *id);
unsigned sim_running_count(const struct sim *s, const char *id);
/* Index of a runner that runs a task of the job, or UINT32_MAX. */
unsigned sim_runner_of(const struct sim *s, const char *id);
/* Resources that the runs of an account request at all runners, also those of
 * runs that are being stopped. */
struct agb_resources sim_account_used(const struct sim *s, const char *account);
/* When the last task of a job ended; 0 when some have not. */
unsigned sim_ended_at_ms(const struct sim *s, const char *id);
/* Log lines "account" of all instances. */
unsigned sim_account_lines(const struct sim *s);
/* Response time of a long-running task at a runner. */
unsigned sim_response_ms(struct sim *s, const char *id);
unsigned sim_submit_status(const struct sim *s, const char *id);
/* Status of the latest answer to sim_get(), and the most advanced state in any. */
unsigned sim_get_status(const struct sim *s, const char *id);
const char *sim_get_state(const struct sim *s, const char *id);
/* Status of the latest answer to sim_get_elsewhere() or
 * sim_cancel_elsewhere(). */
unsigned sim_elsewhere_status(const struct sim *s, const char *id);
/* Seconds of the Retry-After of the latest answer to the submission. */
unsigned sim_submit_retry_s(const struct sim *s, const char *id);
unsigned sim_cancel_status(const struct sim *s, const char *id);
unsigned sim_store_calls(const struct sim *s);
unsigned sim_relayed_writes(const struct sim *s);
/* Orders that instances relayed for the leader, and orders that the leader sent
 * itself. */
unsigned sim_relayed_orders(const struct sim *s);
unsigned sim_direct_orders(const struct sim *s);
/* Bytes of job payloads that the leader sent to relays. */
unsigned sim_payload_bytes(const struct sim *s);
/* Full reads of all jobs that instances have started. */
unsigned sim_full_reads(const struct sim *s);
unsigned sim_advice_calls(const struct sim *s);
/* Runners named in these calls. */
unsigned sim_advice_runners(const struct sim *s);
/* Time that the dispatch passes of an instance have taken. */
unsigned sim_dispatch_ms(const struct sim *s, unsigned ci);
/* Queued steps, and runners for them, that its passes have looked at. */
uint64_t sim_examined(const struct sim *s, unsigned ci);
/* Decisions of an instance. */
uint64_t sim_tally(const struct sim *s, unsigned ci, enum wf_tally tally);
/* Log lines "load" of all instances. */
unsigned sim_load_lines(const struct sim *s);
unsigned sim_job_count(const struct sim *s);
unsigned sim_final_job_count(struct sim *s);

/**
 * sim_violation_count() - number of violated guarantees; sim_first_violation()
 * describes the first one
 */
unsigned sim_violation_count(const struct sim *s);
const char *sim_first_violation(const struct sim *s);

/**
 * sim_random_run() - run a load of mixed jobs with faults at random times, then
 * let it finish; an accepted job that does not finish is a violation
 */
void sim_random_run(struct sim *s);

/**
 * sim_run_seed() - randomized run whose parameters and faults are derived from
 * the seed; from SIM_FIRST_STALL_SEED on, runners also stall, from
 * SIM_FIRST_RELAY_SEED on, orders are relayed, and from SIM_FIRST_GANG_SEED on,
 * gangs also fail. From SIM_FIRST_ACCOUNT_SEED on, it is a run of accounts with
 * limits instead, in which no small job may wait while there is room
 * @report: gets a line when a guarantee is violated; may be NULL
 * Return: number of violated guarantees.
 */
unsigned sim_run_seed(unsigned seed, FILE *report);

#endif

#ifndef AGB_OWNER_STATE_H
#define AGB_OWNER_STATE_H

/**
 * DOC: owner_state
 *
 * State of the shard owner, private to the owner_*.c files.
 */

#include "journal.h"
#include "owner.h"

#define OWN_LEASE_TTL_S 2
/* A process may run 10% slow against the store's clock. */
#define OWN_LEASE_DRIFT_MARGIN (200 * AGB_MS)
#define OWN_KEEPALIVE_INTERVAL (600 * AGB_MS)
#define OWN_STORE_TIMEOUT_MS 500
/* Pace of the journal: at most 10 writes a second. */
#define OWN_COMMIT_INTERVAL (100 * AGB_MS)
/* A record that nobody waits for may be gathered this long. */
#define OWN_COMMIT_DELAY_MAX (500 * AGB_MS)
#define OWN_SESSION_TTL_MS 10000
#define OWN_RENEW_WAIT_MS 3000
/* 10% of the session TTL for drift, 2 s for a call that arrives late. */
#define OWN_SESSION_MARGIN (3 * AGB_SEC)
#define OWN_SUSPECT_AFTER (1 * AGB_SEC)
#define OWN_RETRY_MIN_MS 100
#define OWN_RETRY_MAX_MS 2000
/* Finished jobs and used keys are kept this long, or the latest so many. */
#define OWN_RETENTION (600 * AGB_SEC)
#define OWN_RETAINED_JOBS_MAX 2000
#define OWN_CALL_PAUSE_MAX (60 * AGB_SEC)
#define OWN_TASKS_MAX 10000
#define OWN_HANDOVER_TIMEOUT (4 * AGB_SEC)

enum own_role {
	OWN_FOLLOWER,
	OWN_CANDIDATE,
	OWN_RECOVERING,
	OWN_ACTIVE,
	OWN_HANDOVER,
	OWN_DRAINED,
};

/* Map from bytes that the value itself holds to the value. */
struct own_map {
	struct own_map_entry {
		const void *key;
		size_t len;
		void *val;
		uint64_t hash;
	} * entries;
	size_t cap;
	size_t used;
};

/* Growing array of pointers without an order. */
struct own_vec {
	void **items;
	size_t len;
	size_t cap;
	size_t free_hint;
};

/* An array of structures whose first member is their place in it. */

/* An array whose index is a small handle; NULL where it is free. */

enum own_task_state {
	OWN_TASK_WAITING,    /* not started, or to be started again */
	OWN_TASK_COMMITTING, /* placed; the intent is not durable yet */
	OWN_TASK_STARTING,   /* the worker has not answered the start */
	OWN_TASK_RUNNING,
	OWN_TASK_UNCONFIRMED, /* intent of an older epoch, no evidence yet */
	OWN_TASK_ENDED,
};

enum own_call_kind {
	OWN_CALL_NONE,
	OWN_CALL_SESSION,
	OWN_CALL_RENEW,
};

struct own_worker;

/**
 * struct own_task - a task of a job
 * @worker_id: instance id of the worker it was placed on
 * @boot_id: that worker's boot id at the time
 * @start_sent: a START has been handed to the daemon
 * @stopping: sched wants it stopped
 * @report_expected: it was there before the latest session call was sent
 * @reported: the answer to that call named it
 */
struct own_task {
	size_t index;
	struct own_job *job;
	struct own_worker *worker;
	uint32_t number;
	struct agb_resources need;
	uint32_t run_ms;
	enum own_task_state state;
	enum agb_result result;
	struct agb_attempt attempt;
	agb_name worker_id;
	agb_name boot_id;
	bool start_sent;
	bool stopping;
	bool report_expected;
	bool reported;
	char *result_text;
};

/**
 * struct own_job - an accepted job
 * @sched_handle: of sched, or AGB_SCHED_NONE
 * @submit_tokens: of the SUBMIT calls that wait for the record
 * @record_refs: records on their way that point here
 * @durable: its record is in the store
 * @ended: sched has ended it; @done: and that is durable
 * @any_ran: an attempt of it ran; @any_lost: an attempt of it may have run
 */
struct own_job {
	size_t index;
	agb_id id;
	uint32_t sched_handle;
	uint64_t *submit_tokens;
	size_t submit_tokens_len;
	uint32_t record_refs;
	agb_name work;
	agb_name team;
	char *dedup_key;
	size_t dedup_key_len;
	uint32_t tasks_len;
	struct own_task *tasks;
	struct agb_resources need;
	uint32_t run_ms;
	uint32_t deadline_ms;
	agb_time accepted_at;
	bool idempotent;
	bool durable;
	bool cancelled;
	bool ended;
	bool done;
	bool any_ran;
	bool any_lost;
	enum agb_outcome outcome;
	enum agb_reason reason;
	char detail[AGB_DETAIL_LEN];
	char *args;
	size_t args_len;
	char *result;
	size_t result_len;
	agb_time done_at;
};

/* A JOB_GET that waits for the end of a job. */
struct own_job_wait {
	size_t index;
	uint64_t token;
	struct own_job *job;
	agb_time deadline;
};

enum own_grant_state {
	OWN_GRANT_QUEUED,     /* waits in sched */
	OWN_GRANT_COMMITTING, /* its intent is not durable yet */
	OWN_GRANT_GRANTED,
	OWN_GRANT_REVOKING, /* REVOKE sent, no answer yet */
	OWN_GRANT_BUSY,	    /* revoked or adopted; its runner is busy with it */
};

/**
 * struct own_grant - a runner slot asked for or given
 * @sched_tag: sched's mark of the question; 0 of an adopted one
 * @key: entry of its idempotency key, or NULL
 * @busy_since_renew: renewals sent up to here cannot prove that it has ended
 * @ended: has ended while its record is on its way
 */
struct own_grant {
	size_t index;
	uint64_t sched_tag;
	uint64_t reply_token;
	enum own_grant_state state;
	struct agb_attempt attempt;
	agb_id request;
	agb_name instance;
	agb_name team;
	agb_name work;
	struct own_worker *worker;
	struct own_key *key;
	agb_time revoke_at;
	uint64_t busy_since_renew;
	uint32_t workers_considered;
	bool ended;
};

/**
 * struct own_key - use of an idempotency key by a quick request
 * @outcome: of the request, once @ended
 * @has_grant: a grant points here
 */
struct own_key {
	size_t index;
	char *dedup_key;
	size_t dedup_key_len;
	agb_name team;
	char key[AGB_X_KEY_MAX + 1];
	struct agb_attempt attempt;
	agb_name worker_id;
	enum agb_outcome outcome;
	bool durable;
	bool ended;
	bool has_grant;
	agb_time created_at;
};

/**
 * struct own_worker - a worker of the domain and the session with it
 * @session_open: it has answered a session of this epoch
 * @first_report_seen: and the first renewal after it
 * @obeyed: it has answered one in this epoch at some time
 * @listed: it is in the instance list
 * @event_seq: highest event number taken; @acked_seq: and durable
 * @undurable_events: records of its events that are not durable yet
 * @pending_call: the session or renewal that has not been answered
 * @stale_session, @stale_renew: a call of an earlier epoch of this instance
 *	has not been answered yet; its answer is to be ignored
 * @call_ttl_ms: TTL that the call carries
 * @lease_until: no call so far can have renewed its lease beyond this time,
 *	not counting drift and late arrival
 * @failed_since: first failure since the last answer, or 0
 * @next_call_at: when the next call is due
 * @renew_count: renewals sent so far
 * @renews_before_pause: those sent before the process was last paused
 * @orphans: tasks it runs that no job of ours knows
 */
struct own_worker {
	size_t index;
	struct agb_instance instance;
	bool listed;
	bool obeyed;
	uint32_t sched_handle;
	enum agb_worker_state sched_state;
	bool leaving;
	bool session_open;
	bool first_report_seen;
	enum own_call_kind pending_call;
	bool stale_session;
	bool stale_renew;
	uint32_t call_ttl_ms;
	agb_name boot_id;
	uint64_t event_seq;
	uint64_t acked_seq;
	uint32_t undurable_events;
	agb_time lease_until;
	agb_time failed_since;
	agb_time next_call_at;
	uint32_t retry_ms;
	uint64_t renew_count;
	uint64_t renews_before_pause;
	struct own_vec orphans;
	struct own_vec tasks;
	struct own_vec grants;
	struct agb_command *command_queue;
	size_t command_queue_len;
	struct agb_command *commands_in_flight;
	size_t commands_in_flight_len;
	uint64_t commands_tag;
	agb_time commands_retry_at;
	uint32_t commands_retry_ms;
	bool has_commands;
};

enum own_waiter_kind {
	OWN_WAITER_NONE,
	OWN_WAITER_SUBMIT, /* ref: job */
	OWN_WAITER_START,  /* ref: task */
	OWN_WAITER_DONE,   /* ref: job */
	OWN_WAITER_GRANT,  /* ref: grant */
	OWN_WAITER_CANCEL, /* ref: job, token */
	OWN_WAITER_ACK,	   /* ref: worker */
};

/* A record on its way into the store, and who waits for it. */
struct own_record {
	char *bytes;
	size_t len;
	enum own_waiter_kind waiter_kind;
	void *waiter;
	struct agb_attempt attempt;
	uint64_t reply_token;
};

struct own_records {
	struct own_record *items;
	size_t len;
	size_t cap;
};

/**
 * struct own_commit - group commit
 * @pending: gathered; @in_flight: in the value now being written
 * @answer_lost: an answer for this value was lost, so it may have taken effect
 * @compare_failed: the latest transaction's comparison failed
 * @chunks: snapshot values still to be written, @next_chunk the next of them
 */
struct own_commit {
	struct own_records pending;
	struct own_records in_flight;
	bool writing;
	bool answer_lost;
	bool compare_failed;
	bool reading_back;
	bool urgent;
	char *key;
	struct agb_journal_value value;
	uint64_t seq;
	uint64_t tag;
	agb_time begun_at;
	agb_time sent_at;
	agb_time pending_since;
	agb_time retry_at;
	uint32_t retry_ms;
	size_t journal_bytes;
	size_t journal_keys;
	size_t snapshot_bytes;
	struct agb_journal_value *chunks;
	size_t chunks_len;
	size_t next_chunk;
	uint64_t snapshot_seq;
	bool writing_chunk;
};

struct own_elect {
	char *shard_prefix;
	char *owner_key;
	char *owner_value;
	int64_t lease_id;
	agb_time lease_sent_at;
	agb_time lease_valid_until;
	agb_time campaign_at;
	agb_time keepalive_at;
	agb_time read_at;
	agb_time campaign_not_before;
	uint32_t retry_ms;
	uint64_t tag_read;
	uint64_t tag_watch;
	uint64_t tag_grant;
	uint64_t tag_create;
	uint64_t tag_keepalive;
	uint64_t tag_release;
	bool watching;
	bool key_absent;
	bool create_answer_lost;
	agb_addr owner_rpc;
	agb_name owner_instance;
};

/**
 * struct own_recover - reading of snapshot and journal after an election
 * @kvs: values read so far, in key order
 */
struct own_recover {
	bool reading_journal;
	uint64_t tag;
	agb_time retry_at;
	uint32_t retry_ms;
	char *next_key;
	struct agb_store_kv *kvs;
	size_t kvs_len;
	size_t snapshot_len;
	uint64_t last_epoch;
	uint64_t last_at_ms;
};

#define OWN_PAST_GRANTS 256

/* What became of a recent grant, for explain. */
struct own_past_grant {
	agb_id request;
	char text[160];
};

struct agb_owner {
	struct agb_owner_config cfg;
	enum own_role role;
	uint64_t epoch;
	uint64_t rng_state;
	uint64_t last_tag;
	bool term;
	agb_time term_at;
	agb_time elected_at;
	agb_time wake_at;
	agb_time swept_at;
	agb_time last_step_at;
	const struct agb_env *env;
	struct agb_sched *sched;
	struct agb_sched_effects sched_effects;
	size_t sched_effects_next;
	bool in_sched_step;
	struct own_elect elect;
	struct own_commit commit;
	struct own_recover recover;
	struct own_vec workers;
	struct own_map worker_names;
	struct own_vec worker_handles;
	struct own_vec workers_with_commands;
	struct own_vec jobs;
	struct own_map job_ids;
	struct own_map job_keys;
	struct own_vec job_handles;
	uint64_t job_seq;
	struct own_vec done_jobs;
	size_t done_jobs_head;
	agb_time expire_at;
	bool have_list;
	struct own_vec job_waits;
	struct own_vec grants;
	struct own_map grant_tags;
	struct own_map grant_attempts;
	struct own_vec keys;
	struct own_map key_names;
	struct own_map key_attempts;
	struct own_past_grant *past_grants;
	size_t past_grants_count;
};

#endif

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
#define OWN_LEASE_DRIFT (200 * AGB_MS)
#define OWN_KEEP_EVERY (600 * AGB_MS)
#define OWN_STORE_TIMEOUT_MS 500
/* Pace of the journal: at most 10 writes a second. */
#define OWN_COMMIT_EVERY (100 * AGB_MS)
/* A record that nobody waits for may be gathered this long. */
#define OWN_COMMIT_LAZY (500 * AGB_MS)
#define OWN_SESSION_TTL_MS 10000
#define OWN_RENEW_WAIT_MS 3000
/* 10% of the session TTL for drift, 2 s for a call that arrives late. */
#define OWN_SESSION_DRIFT (3 * AGB_SEC)
#define OWN_SUSPECT_AFTER (1 * AGB_SEC)
#define OWN_RETRY_MIN_MS 100
#define OWN_RETRY_MAX_MS 2000
/* Finished jobs and used keys are kept this long, or the latest so many. */
#define OWN_KEEP_DONE (600 * AGB_SEC)
#define OWN_KEEP_DONE_MAX 2000
#define OWN_QUIET_MAX (60 * AGB_SEC)
#define OWN_TASKS_MAX 10000
#define OWN_HANDOVER_MAX (4 * AGB_SEC)

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
	struct own_slot {
		const void *key;
		size_t len;
		void *val;
		uint64_t hash;
	} * slots;
	size_t cap;
	size_t used;
};

/* Growing array of pointers without an order. */
struct own_vec {
	void **items;
	size_t len;
	size_t cap;
	size_t hint;
};

/* An array of structures whose first member is their place in it. */

/* An array whose index is a small handle; NULL where it is free. */

enum own_task_state {
	OWN_TASK_WAITING,  /* not started, or to be started again */
	OWN_TASK_INTENT,   /* placed; the intent is not durable yet */
	OWN_TASK_STARTING, /* the worker has not answered the start */
	OWN_TASK_RUNNING,
	OWN_TASK_HELD, /* intent of an older epoch, no evidence yet */
	OWN_TASK_ENDED,
};

enum own_call {
	OWN_CALL_NONE,
	OWN_CALL_SESSION,
	OWN_CALL_RENEW,
};

struct own_worker;

/**
 * struct own_task - a task of a job
 * @worker: instance id of the worker it was placed on
 * @boot: that worker's boot id at the time
 * @sent: a START has been handed to the daemon
 * @stopping: sched wants it stopped
 * @expected: it was there before the latest session call was sent
 * @in_list: the answer to that call named it
 */
struct own_task {
	size_t slot;
	struct own_job *job;
	struct own_worker *at;
	uint32_t n;
	struct agb_resources need;
	uint32_t run_ms;
	enum own_task_state state;
	enum agb_result result;
	struct agb_attempt attempt;
	agb_name worker;
	agb_name boot;
	bool sent;
	bool stopping;
	bool expected;
	bool in_list;
	char *text;
};

/**
 * struct own_job - an accepted job
 * @handle: of sched, or AGB_SCHED_NONE
 * @tokens: of the SUBMIT calls that wait for the record
 * @refs: records on their way that point here
 * @durable: its record is in the store
 * @ended: sched has ended it; @done: and that is durable
 * @ran: an attempt of it ran; @lost: an attempt of it may have run
 */
struct own_job {
	size_t slot;
	agb_id id;
	uint32_t handle;
	uint64_t *tokens;
	size_t tokens_len;
	uint32_t refs;
	agb_name work;
	agb_name team;
	char *dedup;
	size_t dedup_len;
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
	bool ran;
	bool lost;
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
struct own_wait {
	size_t slot;
	uint64_t token;
	struct own_job *job;
	agb_time until;
};

enum own_grant_state {
	OWN_GRANT_ASKED,  /* waits in sched */
	OWN_GRANT_COMMIT, /* its intent is not durable yet */
	OWN_GRANT_GIVEN,
	OWN_GRANT_REVOKED, /* REVOKE sent, no answer yet */
	OWN_GRANT_BUSY,	   /* revoked or adopted; its runner is busy with it */
};

/**
 * struct own_grant - a runner slot asked for or given
 * @tag: sched's mark of the question; 0 of an adopted one
 * @dedup: entry of its idempotency key, or NULL
 * @busy_since: renewals sent up to here cannot prove that it has ended
 * @dead: has ended while its record is on its way
 */
struct own_grant {
	size_t slot;
	uint64_t tag;
	uint64_t token;
	enum own_grant_state state;
	struct agb_attempt attempt;
	agb_id request;
	agb_name instance;
	agb_name team;
	agb_name work;
	struct own_worker *worker;
	struct own_key *dedup;
	agb_time revoke_at;
	uint64_t busy_since;
	uint32_t weighed;
	bool dead;
};

/**
 * struct own_key - use of an idempotency key by a quick request
 * @outcome: of the request, once @ended
 * @held: a grant points here
 */
struct own_key {
	size_t slot;
	char *dedup;
	size_t dedup_len;
	agb_name team;
	char key[AGB_X_KEY_MAX + 1];
	struct agb_attempt attempt;
	agb_name worker;
	enum agb_outcome outcome;
	bool durable;
	bool ended;
	bool held;
	agb_time at;
};

/**
 * struct own_worker - a worker of the domain and the session with it
 * @answered: it has answered a session of this epoch
 * @checked: and the first renewal after it
 * @met: it has answered one in this epoch at some time
 * @known: it is in the instance list
 * @taken: highest event number taken; @acked: and durable
 * @undurable: records of its events that are not durable yet
 * @call: the session or renewal that has not been answered
 * @stale_session, @stale_renew: a call of an earlier epoch of this instance
 *	has not been answered yet; its answer is to be ignored
 * @call_ttl_ms: TTL that the call carries
 * @lease_until: no call so far can have renewed its lease beyond this time,
 *	not counting drift and late arrival
 * @failed_since: first failure since the last answer, or 0
 * @call_at: when the next call is due
 * @renews: renewals sent so far
 * @stale_renews: those sent before the process was last paused
 * @orphans: tasks it runs that no job of ours knows
 */
struct own_worker {
	size_t slot;
	struct agb_instance inst;
	bool known;
	bool met;
	uint32_t handle;
	enum agb_worker_state told;
	bool leaving;
	bool answered;
	bool checked;
	enum own_call call;
	bool stale_session;
	bool stale_renew;
	uint32_t call_ttl_ms;
	agb_name boot;
	uint64_t taken;
	uint64_t acked;
	uint32_t undurable;
	agb_time lease_until;
	agb_time failed_since;
	agb_time call_at;
	uint32_t retry_ms;
	uint64_t renews;
	uint64_t stale_renews;
	struct own_vec orphans;
	struct own_vec tasks;
	struct own_vec grants;
	struct agb_command *queue;
	size_t queue_len;
	struct agb_command *flight;
	size_t flight_len;
	uint64_t commands_tag;
	agb_time commands_at;
	uint32_t commands_retry_ms;
	bool dirty;
};

enum own_waiter_kind {
	OWN_WAIT_NONE,
	OWN_WAIT_SUBMIT, /* ref: job */
	OWN_WAIT_START,	 /* ref: task */
	OWN_WAIT_DONE,	 /* ref: job */
	OWN_WAIT_GRANT,	 /* ref: grant */
	OWN_WAIT_CANCEL, /* ref: job, token */
	OWN_WAIT_ACK,	 /* ref: worker */
};

/* A record on its way into the store, and who waits for it. */
struct own_record {
	char *bytes;
	size_t len;
	enum own_waiter_kind kind;
	void *ref;
	struct agb_attempt attempt;
	uint64_t token;
};

struct own_records {
	struct own_record *items;
	size_t len;
	size_t cap;
};

/**
 * struct own_commit - group commit
 * @pending: gathered; @flight: in the value now being written
 * @lost: an answer for this value was lost, so it may have taken effect
 * @compared: the latest transaction's comparison failed
 * @chunks: snapshot values still to be written, @chunk the next of them
 */
struct own_commit {
	struct own_records pending;
	struct own_records flight;
	bool busy;
	bool lost;
	bool compared;
	bool reading;
	bool urgent;
	char *key;
	struct agb_journal_value value;
	uint64_t seq;
	uint64_t tag;
	agb_time begun_at;
	agb_time sent_at;
	agb_time first_at;
	agb_time retry_at;
	uint32_t retry_ms;
	size_t journal_bytes;
	size_t journal_keys;
	size_t snapshot_bytes;
	struct agb_journal_value *chunks;
	size_t chunks_len;
	size_t chunk;
	uint64_t covered;
	bool chunk_flight;
};

struct own_elect {
	char *shard;
	char *key;
	char *value;
	int64_t lease;
	agb_time lease_sent;
	agb_time bound;
	agb_time campaign_at;
	agb_time keep_at;
	agb_time look_at;
	agb_time not_before;
	uint32_t retry_ms;
	uint64_t tag_look;
	uint64_t tag_watch;
	uint64_t tag_grant;
	uint64_t tag_create;
	uint64_t tag_keep;
	uint64_t tag_end;
	bool watching;
	bool absent;
	bool create_lost;
	agb_addr known;
	agb_name known_instance;
};

/**
 * struct own_recover - reading of snapshot and journal after an election
 * @kvs: values read so far, in key order
 */
struct own_recover {
	bool journal;
	uint64_t tag;
	agb_time retry_at;
	uint32_t retry_ms;
	char *from;
	struct agb_store_kv *kvs;
	size_t kvs_len;
	size_t snapshot_len;
	uint64_t head_epoch;
	uint64_t head_at;
};

#define OWN_PAST_GRANTS 256

/* What became of a recent grant, for explain. */
struct own_past {
	agb_id request;
	char text[160];
};

struct agb_owner {
	struct agb_owner_config cfg;
	enum own_role role;
	uint64_t epoch;
	uint64_t rng;
	uint64_t serial;
	bool term;
	agb_time term_at;
	agb_time since;
	agb_time wake_at;
	agb_time swept_at;
	agb_time stepped_at;
	const struct agb_env *env;
	struct agb_sched *sched;
	struct agb_sched_effects effects;
	size_t effects_at;
	bool stepping;
	struct own_elect elect;
	struct own_commit commit;
	struct own_recover recover;
	struct own_vec workers;
	struct own_map worker_names;
	struct own_vec worker_handles;
	struct own_vec dirty;
	struct own_vec jobs;
	struct own_map job_ids;
	struct own_map job_keys;
	struct own_vec job_handles;
	uint64_t job_seq;
	struct own_vec done;
	size_t done_head;
	agb_time retain_at;
	bool listed;
	struct own_vec waits;
	struct own_vec grants;
	struct own_map grant_tags;
	struct own_map grant_attempts;
	struct own_vec keys;
	struct own_map key_names;
	struct own_map key_attempts;
	struct own_past *past;
	size_t past_next;
};

#endif

#ifndef WF_TABLE_H
#define WF_TABLE_H

/**
 * DOC: wf_table
 *
 * Local copy of the data that the instances keep in the store: submitted jobs,
 * their cancellations and progress, and the addresses of the instances. Each
 * instance watches the store, so that any of them can answer clients and the
 * next leader can start from its own copy.
 */

#include <uthash.h>

#include "gen/wf_record.h"
#include "store.h"
#include "wf_counts.h"
#include "wf_job_id.h"

/* Prefix of all keys of the instances, and the prefixes that are watched
 * separately: the leader and the list of instances; submissions and
 * cancellations; the progress of jobs. */
#define WF_KEY_PREFIX "ab/"
#define WF_PREFIX_CONTROL "ab/c/"
#define WF_PREFIX_JOBS "ab/j/"
#define WF_PREFIX_STATES "ab/s/"
#define WF_KEY_LEADER "ab/c/leader"
/* Written with each election. Once a feed delivers this key, it has delivered
 * everything that earlier leaders wrote. */
#define WF_KEY_BARRIER_JOBS "ab/j/!"
#define WF_KEY_BARRIER_STATES "ab/s/!"
/* Not stored but only pushed by the leader: bytes that the accepted jobs take. */
#define WF_KEY_JOB_BYTES "ab/m!"
/* Maximum length of a key, including the NUL. */
#define WF_KEY_MAX 128

struct wf_exec;

/**
 * struct wf_job - what this instance knows about a job
 * @id: its key, see wf_job_id.h
 * @spec_rev: revision of its submission; 0 while only its other keys are known
 * @owner_rev: the same, as read together with the owner; 0 when not read
 * @cancel_rev: revision of its cancellation, or 0
 * @cancelled_ms: Unix time of its cancellation, or 0
 * @cancel_tag: tag of the route that the cancellation is meant for; 0 for any
 * @route_tag: tag of the route by which it was submitted; 0 while not known
 * @state_rev: revision of @state_record, or 0
 * @state: reported to clients; never goes back to an earlier state
 * @state_known: @state comes from a state record or a push of the leader
 * @owner_known: the queue and the account in @spec are valid, even while
 *	@spec_rev is 0
 * @final_seen_at: when this instance first found it in a final state, or 0
 * @exec: scheduling data of the leader, or NULL
 * @found_in_read: found in the full read that is in progress
 * @shares_id: another job has or had the same digits in its key
 * @delete_refused: its records were not deleted, as the store has a job with the
 *	next ordinal that was not known
 * @top_run: highest number of a run of its tasks that this leader knows of
 */
struct wf_job {
	wf_job_id id;
	struct wf_spec spec;
	uint64_t spec_rev;
	uint64_t owner_rev;
	uint64_t cancel_rev;
	int64_t cancelled_ms;
	uint32_t cancel_tag;
	uint32_t route_tag;
	uint64_t state_rev;
	char *state_record;
	size_t state_record_len;
	enum wf_job_state state;
	bool state_known;
	bool owner_known;
	int64_t ended_ms;
	agb_time final_seen_at;
	struct wf_exec *exec;
	bool found_in_read;
	bool shares_id;
	bool delete_refused;
	uint32_t top_run;
	UT_hash_handle hh;
};

/**
 * struct wf_peer - another instance
 * @score: the instance with the highest score stands for election first
 * @memory_mb: memory that its process may use; 0 when unknown
 * @relay_capacity: capacity for relaying orders, in thousandths of a core
 * @pinged: this instance pings the peer
 * @pinged_since: when it was first pinged
 * @heard_at: when it last answered, or 0
 * @ping_tag: tag of the ping that is in flight, or 0
 * @lease: lease that its key is attached to
 * @create_rev: revision at which its key was created
 * @replaced: another instance has been started at its address since
 * @found_in_read: found in the full read that is in progress
 */
struct wf_peer {
	agb_id name;
	int32_t score;
	uint32_t memory_mb;
	uint32_t relay_capacity;
	bool pinged;
	agb_time pinged_since;
	agb_time heard_at;
	uint64_t ping_tag;
	agb_addr rpc;
	agb_id domain;
	agb_id region;
	int64_t lease;
	uint64_t create_rev;
	bool replaced;
	bool found_in_read;
	UT_hash_handle hh;
};

/**
 * struct wf_table_change - effect of a key on the table
 * @job: job whose keys changed, or NULL
 * @peers_changed: an instance was added, changed or removed
 * @leader_changed: the leader key changed
 * @malformed: the key or its value could not be decoded
 * @barrier_jobs, @barrier_states: revision of the election up to which the feed
 *	of jobs or of states is complete, or 0
 */
struct wf_table_change {
	struct wf_job *job;
	bool peers_changed;
	bool leader_changed;
	bool malformed;
	uint64_t barrier_jobs;
	uint64_t barrier_states;
};

/**
 * struct wf_table - local copy of the store
 * @further_jobs: number of jobs whose key has an ordinal, as another job has the
 *	same digits
 * @counts: pushed by the leader
 * @job_bytes: bytes that the accepted jobs take, as pushed by the leader
 * @job_bytes_pushes: number of times that it was received
 * @leader: name of the leader, or ""
 * @leader_rev: store revision at which it was elected
 * @leader_lease: lease that its key is attached to
 */
struct wf_table {
	struct wf_job *jobs;
	unsigned further_jobs;
	struct wf_peer *peers;
	struct wf_known_counts counts;
	uint64_t job_bytes;
	uint64_t job_bytes_pushes;
	agb_id leader;
	uint64_t leader_rev;
	int64_t leader_lease;
};

/**
 * wf_table_free() - free all entries
 */
void wf_table_free(struct wf_table *t);

/**
 * wf_table_job() - find a job by its key; NULL when there is none
 */
struct wf_job *wf_table_job(struct wf_table *t, const char *id);

/**
 * wf_table_namesake() - find a job with the digits of a key
 * @ordinal: its ordinal
 * Return: NULL when there is none.
 */
struct wf_job *wf_table_namesake(
    struct wf_table *t, const char *id, uint32_t ordinal);

/**
 * wf_table_forget() - remove a job that the store no longer has
 *
 * Nothing is done when the leader executes it.
 */
void wf_table_forget(struct wf_table *t, struct wf_job *j);

/**
 * wf_table_put_spec() - add a submission that has been stored
 * @spec: the table takes ownership
 */
struct wf_job *wf_table_put_spec(struct wf_table *t, const char *id,
    uint64_t revision, struct wf_spec *spec);

/**
 * wf_table_put_owner() - note the queue, the route and the account of a job
 * without its submission, which takes much more memory
 * @kv: its submission as read from the store
 * Return: the job, or NULL when the submission is malformed.
 */
struct wf_job *wf_table_put_owner(
    struct wf_table *t, const char *id, const struct agb_store_kv *kv);

/**
 * wf_table_put_state() - add a state record that has been stored
 * @raw: copied
 */
void wf_table_put_state(
    struct wf_job *j, uint64_t revision, const char *raw, size_t len);

/**
 * wf_table_apply() - apply a key to the table
 * @kv: as read, changed or deleted in the store
 */
struct wf_table_change wf_table_apply(
    struct wf_table *t, const struct agb_store_kv *kv);

/**
 * wf_table_leader() - the leader's entry among the instances
 * Return: NULL when nobody leads or the leader is not listed.
 */
struct wf_peer *wf_table_leader(const struct wf_table *t);

/**
 * wf_table_rank() - number of instances that stand for election before one
 * @except: name of an instance that does not count, as it leads
 */
uint32_t wf_table_rank(
    const struct wf_table *t, const struct wf_peer *p, const char *except);

/**
 * wf_peer_responds() - check whether an instance answers pings; true while it
 * is not pinged, false when another one answers at its address
 */
bool wf_peer_responds(const struct wf_peer *p, agb_time now);

/**
 * wf_table_begin_control_read() - begin a full read of the leader and the
 * instances
 */
void wf_table_begin_control_read(struct wf_table *t);

/**
 * wf_table_sweep_control() - end the read: remove the instances that were not
 * found
 */
void wf_table_sweep_control(struct wf_table *t);

/**
 * wf_table_begin_jobs_read() - begin a full read of the jobs
 */
void wf_table_begin_jobs_read(struct wf_table *t);

/**
 * wf_table_sweep_jobs() - end the read at a revision: remove the jobs that were
 * not found and are not newer
 * @dropped: called for each job before it is freed
 */
void wf_table_sweep_jobs(struct wf_table *t, uint64_t revision,
    void (*dropped)(void *arg, struct wf_job *j), void *arg);

/**
 * wf_table_expire() - remove jobs that were first found in a final state before
 * a given time
 * @now: recorded for jobs that are found in a final state for the first time
 */
void wf_table_expire(struct wf_table *t, agb_time now, agb_time before);

/**
 * wf_job_is_cancel_mark() - check whether only the cancellation of a job is
 * known
 *
 * Such a cancellation keeps a submission that may still be carried out from
 * being stored.
 */
bool wf_job_is_cancel_mark(const struct wf_job *j);

/**
 * wf_job_pending() - check whether a job is accepted and has not started
 */
bool wf_job_pending(const struct wf_job *j);

/**
 * wf_table_pending_count() - number of pending jobs in a queue
 */
uint32_t wf_table_pending_count(const struct wf_table *t, const char *queue);

/**
 * wf_table_make_key() - build the key of a record
 * @kind: 'j' submission, 'k' cancellation, 's' state, 'n' instance; two kinds
 *	are not stored but only pushed by the leader: 'v' durable state of a
 *	job and tag of its route, 'q' number of pending jobs in a queue
 */
void wf_table_make_key(char key[WF_KEY_MAX], char kind, const char *id);

/**
 * wf_table_init_put() - make the transaction that stores a submission or a
 * cancellation if there is none
 *
 * A submission is not stored either when its job has been cancelled: a caller
 * whose cancellation was answered must not see the job run because the store
 * carries out the submission late.
 */
void wf_table_init_put(
    struct agb_store_op *op, const char *key, const char *val, size_t len);

/**
 * wf_table_stored_revision() - revision of a key after a transaction of
 * wf_table_init_put()
 * @res: the transaction was carried out, or its conditions did not hold
 * Return: 0 when the key does not exist.
 */
uint64_t wf_table_stored_revision(
    const struct agb_store_result *res, const char *key);

/**
 * wf_table_stored_kv() - submission or cancellation that kept a transaction of
 * wf_table_init_put() from being carried out
 * @res: the conditions of the transaction did not hold
 * Return: NULL when the key does not exist.
 */
const struct agb_store_kv *wf_table_stored_kv(
    const struct agb_store_result *res, const char *key);

/* Longest value of a pushed state. */
#define WF_PUSHED_STATE_MAX 4

/**
 * wf_table_encode_pushed_state() - encode the state of a job for a push
 * @route_tag: tag of the route of the job, or 0
 * Return: length of the value.
 */
size_t wf_table_encode_pushed_state(
    char val[WF_PUSHED_STATE_MAX], enum wf_job_state state, uint32_t route_tag);

/**
 * wf_table_decode_pushed_state() - decode the state of a job that was pushed
 * @route_tag: set to the tag of the route of the job, or to 0
 * Return: the state, or a number that is no state.
 */
unsigned wf_table_decode_pushed_state(
    const char *val, size_t len, uint32_t *route_tag);

/**
 * wf_table_format_cancellation() - make the value of a cancellation
 * @unix_ms: its time
 * @route_tag: tag of the route that it is meant for; 0 for any
 * Return: new string, freed by the caller.
 */
char *wf_table_format_cancellation(int64_t unix_ms, uint32_t route_tag);

/**
 * wf_table_cancellation_tag() - read the tag of a route from a cancellation
 * Return: 0 when it has none.
 */
uint32_t wf_table_cancellation_tag(const struct agb_store_kv *kv);

/**
 * wf_table_parse_state_key() - get the job id from the key of a pushed state
 * Return: false when the key is of another kind.
 */
bool wf_table_parse_state_key(const char *key, wf_job_id job);

/**
 * wf_table_encode_spec() - encode a submission
 * Return: new buffer, freed by the caller; NULL when it cannot be encoded.
 */
char *wf_table_encode_spec(const struct wf_spec *s, size_t *len);

/**
 * wf_table_decode_spec() - decode a submission
 * @s: freed with wf_spec_free()
 * Return: false when it is malformed; @s then owns nothing.
 */
bool wf_table_decode_spec(const char *raw, size_t len, struct wf_spec *s);

/**
 * wf_table_encode_peer() - encode the entry of an instance
 * @memory_mb: memory that its process may use; 0 when unknown
 * Return: new buffer, freed by the caller.
 */
char *wf_table_encode_peer(
    struct wf_x_peer *x, uint32_t memory_mb, size_t *len);

/**
 * wf_table_encode() - encode a record
 * Return: new buffer, freed by the caller; NULL when it cannot be encoded.
 */
char *wf_table_encode(xdrproc_t proc, void *rec, size_t *len);

/**
 * wf_table_append() - append a second record to an encoded one
 * @raw: the first record, which the function takes over
 * @len: its length, which is updated
 * Return: new buffer, freed by the caller; NULL when it cannot be encoded.
 */
char *wf_table_append(char *raw, size_t *len, xdrproc_t proc, void *rec);

/**
 * wf_table_decode_state() - decode the state record of a job
 * @out: freed with xdr_free()
 */
bool wf_table_decode_state(const char *raw, size_t len, struct wf_x_state *out);

/**
 * wf_table_decode_failed_runs() - decode what follows the state record of a job
 * @state: the decoded state record
 * @out: empty when nothing follows it; freed with xdr_free()
 */
bool wf_table_decode_failed_runs(const char *raw, size_t len,
    struct wf_x_state *state, struct wf_x_failed_runs *out);

#endif

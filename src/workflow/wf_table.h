#ifndef WF_TABLE_H
#define WF_TABLE_H

/**
 * DOC: wf_table
 *
 * Copy of what the instances keep in the store: submitted jobs, their
 * cancellations, how far they are, and the addresses of the instances. Each
 * instance follows the store, so that any of them answers callers, and the
 * next leader starts from its own copy.
 */

#include <uthash.h>

#include "gen/wf_record.h"
#include "store.h"
#include "wf_types.h"

/* All keys of the instances, and the parts that are followed apart: who leads
 * and who is there; what callers have handed in; how far that is. */
#define WF_KEY_PREFIX "ab/"
#define WF_PREFIX_CONTROL "ab/c/"
#define WF_PREFIX_JOBS "ab/j/"
#define WF_PREFIX_STATES "ab/s/"
#define WF_KEY_LEADER "ab/c/leader"
/* Written with each election, so that a feed shows when it has reached it. */
#define WF_KEY_BARRIER_JOBS "ab/j/!"
#define WF_KEY_BARRIER_STATES "ab/s/!"
/* Longest key, with the NUL. */
#define WF_KEY_MAX 128

struct wf_exec;

/**
 * struct wf_job - a job as far as this instance knows it
 * @spec_rev: revision of its submission; 0 while only other keys are known
 * @cancel_rev: revision of its cancellation, or 0
 * @state_rev: revision of @state_record, or 0
 * @state: what callers are told; it never goes back
 * @state_known: a state record, or the leader, has told @state
 * @detail: why it failed, or ""
 * @final_seen_at: when this instance first looked at it as ended, or 0
 * @exec: what the leader keeps of it, or NULL
 * @marked: seen in the read that is going on
 */
struct wf_job {
	wf_job_id id;
	struct wf_spec spec;
	uint64_t spec_rev;
	uint64_t cancel_rev;
	uint64_t state_rev;
	char *state_record;
	size_t state_record_len;
	enum wf_job_state state;
	bool state_known;
	int64_t ended_ms;
	agb_time final_seen_at;
	struct wf_exec *exec;
	bool marked;
	UT_hash_handle hh;
};

/**
 * struct wf_peer - another instance
 * @score: the highest stands for election first
 * @relay_capacity: work for others that it can take, in permille of a processor
 * @pinged: it is asked whether it answers
 * @pinged_since: when it was first asked
 * @heard_at: when it last answered, or 0
 * @ping_tag: of the call that asks whether it answers; 0 when none is out
 */
struct wf_peer {
	agb_id name;
	int32_t score;
	uint32_t relay_capacity;
	bool pinged;
	agb_time pinged_since;
	agb_time heard_at;
	uint64_t ping_tag;
	agb_addr rpc;
	agb_id domain;
	agb_id region;
	bool marked;
	UT_hash_handle hh;
};

/**
 * struct wf_table_change - what a feed event meant
 * @job: the job whose keys changed, or NULL
 * @peers_changed: the set of instances changed
 * @leader_changed: the leader's key changed
 * @barrier_jobs, @barrier_states: revision of an election that the feed of
 *	jobs or of states has reached, or 0
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
 * struct wf_queue_count - accepted jobs of a queue that have not begun, as the
 * leader has told
 */
struct wf_queue_count {
	agb_id queue;
	uint32_t pending;
};

/**
 * struct wf_table - the copy
 * @leader: name of the leader, or ""
 * @leader_rev: revision in which it was elected
 */
struct wf_table {
	struct wf_job *jobs;
	struct wf_peer *peers;
	struct wf_queue_count *counts;
	size_t counts_len;
	agb_id leader;
	uint64_t leader_rev;
};

/**
 * wf_table_free() - free all entries
 */
void wf_table_free(struct wf_table *t);

/**
 * wf_table_job() - job by id, or NULL
 */
struct wf_job *wf_table_job(struct wf_table *t, const char *id);

/**
 * wf_table_put_spec() - enter a submission that the store has taken
 * @spec: taken over
 */
struct wf_job *wf_table_put_spec(struct wf_table *t, const char *id,
    uint64_t revision, struct wf_spec *spec);

/**
 * wf_table_put_state() - enter a state record that the store has taken
 * @raw: copied
 */
void wf_table_put_state(
    struct wf_job *j, uint64_t revision, const char *raw, size_t len);

/**
 * wf_table_apply() - take one key of the feed
 * @kv: as read or changed
 */
struct wf_table_change wf_table_apply(
    struct wf_table *t, const struct agb_store_kv *kv);

/**
 * wf_peer_responds() - whether an instance answers, as far as is known
 */
bool wf_peer_responds(const struct wf_peer *p, agb_time now);

/**
 * wf_table_mark_control() - begin a full read of who leads and who is there
 */
void wf_table_mark_control(struct wf_table *t);

/**
 * wf_table_sweep_control() - end it: drop what was not in it
 */
void wf_table_sweep_control(struct wf_table *t);

/**
 * wf_table_mark_jobs() - begin a full read of jobs
 */
void wf_table_mark_jobs(struct wf_table *t);

/**
 * wf_table_sweep_jobs() - end it at a revision: drop what was not in it
 * @dropped: called for each job before it is freed
 */
void wf_table_sweep_jobs(struct wf_table *t, uint64_t revision,
    void (*dropped)(void *arg, struct wf_job *j), void *arg);

/**
 * wf_table_expire() - drop jobs that were seen as ended before a time
 * @now: noted for those seen as ended for the first time
 */
void wf_table_expire(struct wf_table *t, agb_time now, agb_time before);

/**
 * wf_job_pending() - whether an accepted job has not begun
 */
bool wf_job_pending(const struct wf_job *j);

/**
 * wf_table_pending_count() - jobs of a queue that have not begun
 */
uint32_t wf_table_pending_count(const struct wf_table *t, const char *queue);

/**
 * wf_table_make_key() - key of a record
 * @kind: 'j' submission, 'k' cancellation, 's' state, 'n' instance; not
 *	stored, but shown to others by the leader: 'v' a durable state, 'q' the
 *	count of a queue
 */
void wf_table_make_key(char key[WF_KEY_MAX], char kind, const char *id);

/**
 * wf_table_parse_state_key() - job of the key of a durable state that is shown
 * Return: false when the key is another one.
 */
bool wf_table_parse_state_key(const char *key, wf_job_id job);

/**
 * wf_table_encode_spec() - bytes of a submission
 * Return: new bytes, freed by the caller; NULL when it cannot be encoded.
 */
char *wf_table_encode_spec(const struct wf_spec *s, size_t *len);

/**
 * wf_table_encode() - bytes of a record
 * Return: as above.
 */
char *wf_table_encode(xdrproc_t proc, void *rec, size_t *len);

/**
 * wf_table_decode_state() - state record of a job
 * @out: freed by xdr_free()
 */
bool wf_table_decode_state(const char *raw, size_t len, struct wf_x_state *out);

#endif

#ifndef WF_FRONT_INTERNAL_H
#define WF_FRONT_INTERNAL_H

/**
 * DOC: wf_front_internal
 *
 * Shared by the files of the request handler: the requests that wait for the
 * store and what they send (wf_front_call.c), the replies to clients
 * (wf_front_reply.c), and which stored job a request means (wf_front_lookup.c).
 */

#include "wf_front.h"
#include "wf_front_auth.h"

/**
 * struct wf_front_target - key with which the job of a request is looked up
 * @key: "" when all keys are those of other jobs
 * @previous_rev: see struct wf_front_call
 * @cancelled: a cancellation that keeps its submission from being stored is known
 *	here
 */
struct wf_front_target {
	wf_job_id key;
	uint64_t previous_rev;
	bool cancelled;
};

/**
 * struct wf_front_call - request that waits for the store
 * @job: key of the job that it means or may mean
 * @found: the job with that key is known to be the one that it means
 * @previous_rev: revision of the submission with the previous ordinal, which a
 *	write to @job depends on; 0 when its ordinal is 0
 * @last_ordinal: a write depends on the keys from that of @job up to the one with
 *	this ordinal, see wf_front_init_put()
 * @keys_tried: number of keys that were looked at or written to
 * @tag: tag of the store operation in flight, or 0
 * @record: encoded record to write
 * @retry_at: when the write is repeated, or 0
 * @relay_at: when the write is handed to another instance
 * @relay_tag: tag of the write by another instance, or 0
 * @relays_tried: number of instances that were asked to write
 * @caller: on whose behalf the request is made
 * @reading: it reads the submission, or the state if @read_state is set
 * @submission_read: the submission with its present key has been read
 * @unless_submitted: a cancellation is stored only while there is no submission
 *	with its key
 * @maybe_stored: a write was sent whose outcome is unknown
 * @cancel_rev: revision of the cancellation that is stored, or 0
 * @refused_full: the accepted jobs leave no room for this submission; it is only
 *	read whether it was stored before
 * @refused_limit: the limit of its account excludes it; likewise
 */
struct wf_front_call {
	struct wf_front_call *prev, *next;
	uint64_t tag;
	uint64_t call_id;
	enum wf_call_kind kind;
	wf_job_id job;
	struct wf_caller caller;
	struct wf_spec *spec;
	char *record;
	size_t record_len;
	agb_time started_at;
	agb_time deadline;
	agb_time retry_at;
	agb_time relay_at;
	uint64_t relay_tag;
	uint32_t relays_tried;
	bool reading;
	bool found;
	uint64_t previous_rev;
	uint32_t last_ordinal;
	uint32_t keys_tried;
	bool unless_submitted;
	bool read_state;
	bool submission_read;
	bool maybe_stored;
	uint64_t cancel_rev;
	bool refused_full;
	bool refused_limit;
};

/**
 * struct wf_front_request - request whose queue and caller are known
 * @job: digits of its job
 * @known: the job that it means, if that is known here
 * @target: the key that it is looked up with otherwise
 */
struct wf_front_request {
	const struct wf_doc *doc;
	const struct wf_queue *queue;
	struct wf_call *call;
	struct wf_caller caller;
	wf_job_id job;
	struct wf_job *known;
	struct wf_front_target target;
};

/**
 * struct wf_front - state of the request handler
 * @doc: document in force, or NULL
 * @self, @rpc: name and address of this instance
 * @known: how up to date the table is
 * @memory_mb: memory that this process may use; 0 when unknown
 * @sent_bytes: memory that the submissions take which were written since the
 *	leader told how much is taken
 * @calls: requests that wait for the store
 * @denials: limits the log lines about requests without a valid key
 */
struct wf_front {
	struct wf_table *table;
	const struct wf_doc *doc;
	bool store_silent;
	agb_time store_latency;
	struct wf_front_knowledge known;
	uint32_t memory_mb;
	uint64_t sent_bytes;
	agb_id self;
	agb_addr rpc;
	struct wf_front_call *calls;
	size_t calls_len;
	uint64_t next_tag;
	struct wf_denial_log denials;
};

/* Set in the tags of the request handler; never set in the tags of the leader. */
#define WF_FRONT_TAG ((uint64_t)1 << 63)

/* ---- requests that wait for the store ---- */

struct wf_front_call *wf_front_call_add(struct wf_front *f,
    const struct wf_now *now, const struct wf_front_request *r);

/**
 * wf_front_call_free() - end a request that has been answered
 */
void wf_front_call_free(struct wf_front *f, struct wf_front_call *w);

/**
 * wf_front_call_destroy() - free a request that is not listed any more
 */
void wf_front_call_destroy(struct wf_front_call *w);

/**
 * wf_front_call_set_cancellation() - make the record of a cancellation
 */
void wf_front_call_set_cancellation(
    struct wf_front *f, const struct wf_now *now, struct wf_front_call *w);

/**
 * wf_front_call_key() - key of the record that a submission or a cancellation
 * writes
 */
void wf_front_call_key(const struct wf_front_call *w, char key[WF_KEY_MAX]);

/**
 * wf_front_call_send() - send the read or the write that a request waits for
 */
void wf_front_call_send(
    struct wf_front *f, struct wf_front_call *w, struct wf_effects *out);

/**
 * wf_front_call_write() - send the first write of a request
 *
 * While the store is silent, it goes only through a peer that the store answers: a
 * write without an answer could be neither rejected nor retried.
 */
void wf_front_call_write(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out);

/**
 * wf_front_call_read() - read the submission of the job of a request; writes that
 * are still in flight do not matter any more
 */
void wf_front_call_read(
    struct wf_front *f, struct wf_front_call *w, struct wf_effects *out);

/**
 * wf_front_call_relay() - ask another instance to write the record, which is the
 * same record under the same key whichever instance writes it
 * Return: false when no instance is left, or peers cannot make the write.
 */
bool wf_front_call_relay(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out);

/**
 * wf_front_call_push() - push a stored record to the leader, whose feed would
 * deliver it later
 */
void wf_front_call_push(const struct wf_front *f, const struct wf_front_call *w,
    uint64_t revision, struct wf_effects *out);

/**
 * wf_front_call_give_up() - answer and end a request that does not wait any longer
 */
void wf_front_call_give_up(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out);

/* ---- replies ---- */

/**
 * wf_front_add_reply() - reply to a request
 * Return: the reply, for further fields.
 */
struct wf_reply *wf_front_add_reply(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, int http_status);

/**
 * wf_front_refuse() - reject a request that the same client may send again later
 * @job: id of the job, or the path of the request
 */
void wf_front_refuse(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, int http_status, const char *job, const char *why);

/**
 * wf_front_refuse_full() - reject a submission as the accepted jobs take all
 * memory that is set aside for them
 */
void wf_front_refuse_full(
    struct wf_effects *out, const struct wf_front_call *w);

/**
 * wf_front_refuse_cancelled() - reject a submission that would be rejected
 * again: without a Retry-After
 */
void wf_front_refuse_cancelled(
    struct wf_effects *out, const struct wf_front_call *w);

/**
 * wf_front_refuse_limit() - reject a submission that the limit of its account
 * excludes: without a Retry-After, as it can never run
 */
void wf_front_refuse_limit(
    struct wf_effects *out, const struct wf_front_call *w);

/**
 * wf_front_refuse_shared() - reject a request as all keys for the digits of its
 * job are those of jobs of other queues: there is none that it could mean
 */
void wf_front_refuse_shared(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, const char *job);

/**
 * wf_front_refuse_owner() - reject a request for a job of another account
 */
void wf_front_refuse_owner(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, const char *job);

/**
 * wf_front_refuse_key() - reject a request without a valid key
 * @denials: limits the log lines
 */
void wf_front_refuse_key(struct wf_denial_log *denials,
    const struct wf_now *now, const struct wf_call *call,
    struct wf_effects *out);

/**
 * wf_front_reply_accepted() - reply that a submission or a cancellation is
 * stored
 * @how: since when, for the log
 */
void wf_front_reply_accepted(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, const char *job, const char *how, uint64_t revision,
    agb_time took);

/**
 * wf_front_reply_state() - reply with the state of a job
 */
void wf_front_reply_state(
    struct wf_effects *out, uint64_t call_id, const struct wf_job *j);

/* ---- which job a request means ---- */

/**
 * wf_front_find_job() - find the job that a request means
 * @digits: of its id, or the key of a job with them
 * @t: set to the key of that job. If it is not known here, the first key that is
 *	not known to be that of another queue's job: the job has this key or a
 *	later one, or is not stored.
 * Return: NULL when it is not known here.
 */
struct wf_job *wf_front_find_job(struct wf_front *f,
    const struct wf_caller *caller, const char *digits,
    struct wf_front_target *t);

/**
 * wf_front_submission_rev() - revision of the submission of a job
 * Return: 0 when it is not known here to be stored.
 */
uint64_t wf_front_submission_rev(const struct wf_job *j);

/**
 * wf_front_init_put() - make the write of a submission, or of a cancellation of a
 * job that is not known here
 *
 * While its key has a cancellation for another route, a submission takes the key
 * and moves that cancellation to the first free key after it, and a cancellation
 * is written there itself. Submissions thus have the first of the keys, and the
 * cancellations that may still have to keep one from being stored follow them.
 */
void wf_front_init_put(
    struct wf_front *f, struct wf_front_call *w, struct agb_store_op *op);

/**
 * wf_front_put_spans_keys() - whether a write of wf_front_init_put() depends on
 * more keys than its own
 */
bool wf_front_put_spans_keys(struct wf_front *f, const struct wf_front_call *w);

/**
 * wf_front_owner_missing() - whether the account of a job that a request means
 * has to be read before the request goes on
 */
bool wf_front_owner_missing(
    const struct wf_caller *caller, const struct wf_job *j);

/**
 * wf_front_learn() - note the submission that was read, or what kept a write of
 * wf_front_init_put() from being carried out
 * Return: false when a submission is malformed.
 */
bool wf_front_learn(struct wf_front *f, const struct wf_front_call *w,
    const struct agb_store_result *res);

/* ---- accounts of stored jobs ---- */

/**
 * wf_front_denies_known() - whether a job is known here to be of another account
 * @j: NULL for a job that is not known here
 */
bool wf_front_denies_known(
    const struct wf_caller *caller, const struct wf_job *j);

#endif

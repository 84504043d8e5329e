#ifndef WF_FRONT_INTERNAL_H
#define WF_FRONT_INTERNAL_H

/**
 * DOC: wf_front_internal
 *
 * Shared by the files of the request handler: the requests that wait for the
 * store, the replies to clients (wf_front_reply.c), and the accounts of stored
 * jobs (wf_front_owner.c).
 */

#include "wf_front.h"
#include "wf_front_auth.h"

/**
 * struct wf_front_call - request that waits for the store
 * @tag: tag of the store operation in flight, or 0
 * @record: encoded record to write
 * @retry_at: when the write is repeated, or 0
 * @relay_at: when the write is handed to another instance
 * @relay_tag: tag of the write by another instance, or 0
 * @relays_tried: number of instances that were asked to write
 * @caller: on whose behalf the request is made
 * @reading: it reads the submission, or the state if @read_state is set
 * @read_owner: it reads the submission first, as the account of the job is not
 *	known here
 * @no_owner: there was no submission when it was read; a cancellation is stored
 *	only while that is so
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
	bool read_owner;
	bool no_owner;
	bool read_state;
	bool maybe_stored;
	uint64_t cancel_rev;
	bool refused_full;
	bool refused_limit;
};

/**
 * struct wf_front_request - request whose queue and caller are known
 */
struct wf_front_request {
	const struct wf_doc *doc;
	const struct wf_queue *queue;
	struct wf_call *call;
	struct wf_caller caller;
	wf_job_id job;
};

/**
 * struct wf_front - state of the request handler
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

/* ---- accounts of stored jobs ---- */

/**
 * wf_front_owner_missing() - whether the account of a job has to be read before
 * a request goes on
 * @j: NULL for a job that is not known here
 */
bool wf_front_owner_missing(
    const struct wf_caller *caller, const struct wf_job *j);

/**
 * wf_front_denies_known() - whether a job is known here to be of another account
 * @j: NULL for a job that is not known here
 */
bool wf_front_denies_known(
    const struct wf_caller *caller, const struct wf_job *j);

/**
 * wf_front_check_stored() - compare the account of a stored submission with that
 * of the caller, and reject the request when they differ
 * @kv: the submission as read from the store
 * Return: false when the request was rejected; @w is then still listed.
 */
bool wf_front_check_stored(struct wf_table *t, const struct wf_front_call *w,
    const struct agb_store_kv *kv, struct wf_effects *out);

/**
 * wf_front_must_read_stored() - whether a submission that was stored before has
 * to be read to learn what its write did not tell
 * @by_peer: another instance made the write; it tells at most the revision
 * @revision: that of the stored submission, or 0 when it is not known to exist
 * @before: the stored submission, if the result of the write had it
 */
bool wf_front_must_read_stored(const struct wf_front_call *w, bool by_peer,
    uint64_t revision, const struct agb_store_kv *before);

#endif

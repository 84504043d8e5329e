#ifndef AGB_ROUTE_INTERNAL_H
#define AGB_ROUTE_INTERNAL_H

/**
 * DOC: route_internal
 *
 * State shared by the files of the route module: request handling (route.c),
 * admission (route_admit.c), shard selection (route_choose.c), job requests
 * (route_job.c), retries and the retry budget (route_retry.c), and delivery of
 * releases to shard owners (route_release.c).
 */

#include <uthash.h>

#include "route.h"

/* Retry delay of a request while no owner of an allowed shard is known. */
#define ROUTE_OWNER_RETRY (100 * AGB_MS)
/* Maximum time that a request waits for a shard to get an owner. A takeover
 * takes less than 3 s. */
#define ROUTE_OWNER_WAIT (5 * AGB_SEC)

enum route_phase {
	ROUTE_AWAITING_OWNER, /* an RPC to a shard owner is pending */
	ROUTE_RUNNING,	      /* an attempt is in progress on a runner */
	ROUTE_BACKOFF,	      /* waiting until wake_at */
};

/**
 * struct route_call - a client request in progress
 * @id: handle of the request in the edge module
 * @rpc_tag: tag of the latest RPC to a shard owner
 * @deadline: deadline of this request
 * @owner_deadline: how long to wait for a shard to get an owner
 * @wake_at: end of the current backoff
 * @wait_ms: long-poll timeout of a job GET; for a submit, the deadline of the
 *	job, which applies to its start
 * @request_id: id of the request in the decision log
 * @job_id: job that the request refers to; for explain, the id to be explained
 * @refused_domains: bit set of the domains that have refused the request, by
 *	their index in the environment document of version
 *	@refused_env_version
 * @pinned_domain: only domain that the request may be sent to, or ""
 * @domain: domain of the latest RPC
 * @may_have_run: an attempt or a submit was lost, so a later refusal must not
 *	report that the request did not run
 * @lost_attempt: the last lost attempt, on worker @lost_worker
 * @refused: the request has been refused at least once; @refusal_* hold the
 *	reply to send if no further try succeeds
 * @rpcs_sent: number of RPCs sent to shard owners
 * @attempts: number of attempts sent to runners
 */
struct route_call {
	uint64_t id;
	uint64_t rpc_tag;
	uint64_t body_bytes;
	uint64_t refused_env_version;
	agb_time deadline;
	agb_time owner_deadline;
	agb_time wake_at;
	struct agb_attempt attempt;
	struct agb_attempt lost_attempt;
	struct agb_resources need;
	char *args;
	size_t args_len;
	UT_hash_handle hh;
	enum agb_call_kind kind;
	enum route_phase phase;
	enum agb_outcome refusal_outcome;
	enum agb_reason refusal_reason;
	uint32_t refusal_retry_ms;
	uint32_t refused_domains;
	uint32_t wait_ms;
	uint32_t rpcs_sent;
	uint32_t attempts;
	uint32_t tasks;
	uint32_t run_ms;
	bool idempotent;
	bool may_have_run;
	bool refused;
	agb_id request_id;
	agb_id job_id;
	agb_name work;
	agb_name team;
	agb_name pinned_domain;
	agb_name domain;
	agb_name worker;
	agb_name lost_worker;
	char key[AGB_X_KEY_MAX + 1];
	char refusal_detail[AGB_DETAIL_LEN];
};

/**
 * struct route_rpc - a pending RPC to a shard owner
 * @call_id: request that it was sent for; may have ended since
 */
struct route_rpc {
	uint64_t tag;
	uint64_t call_id;
	agb_name domain;
	UT_hash_handle hh;
};

/**
 * struct route_release_queue - releases to be delivered to the owner of a
 * domain's shard
 * @in_flight: number of items at the front of @items that are being sent
 * @tag: tag of the RPC that sends them
 */
struct route_release_queue {
	agb_name domain;
	agb_x_release *items;
	size_t len;
	size_t cap;
	size_t in_flight;
	uint64_t tag;
	agb_time retry_at;
	UT_hash_handle hh;
};

/**
 * struct route_budget - retry budget of a service
 * @tokens: number of retries currently allowed
 */
struct route_budget {
	agb_name work;
	double tokens;
	UT_hash_handle hh;
};

/**
 * struct agb_route - state of the route sub-reducer
 * @calls: requests in progress, by id
 * @rpcs: pending RPCs to shard owners, by tag; without RELEASE
 * @release_queues: by domain
 * @budgets: by service
 * @last_request: number of the last request; part of its id
 * @next_wake_at: no backoff ends before this time
 */
struct agb_route {
	struct agb_route_config cfg;
	struct route_call *calls;
	struct route_rpc *rpcs;
	struct route_release_queue *release_queues;
	struct route_budget *budgets;
	uint64_t last_tag;
	uint64_t last_request;
	agb_time next_wake_at;
	unsigned short rng[3];
};

/**
 * struct route_target - shard that a request is sent to
 * @address: RPC address of the shard's owner
 */
struct route_target {
	agb_name domain;
	agb_addr address;
};

/**
 * enum route_choice - result of selecting a shard
 * @ROUTE_FOUND: a shard was selected
 * @ROUTE_NO_OWNER: none of the remaining shards has a known owner
 * @ROUTE_EXHAUSTED: every allowed shard has refused the request, or the
 *	environment document allows none
 */
enum route_choice {
	ROUTE_FOUND,
	ROUTE_NO_OWNER,
	ROUTE_EXHAUSTED,
};

/**
 * route_choose() - select the shard with the least cost for a request
 * @c: the request; its set of refused domains is reset if the environment
 *	document has changed
 * @t: filled in if the result is ROUTE_FOUND
 *
 * Logs the candidates with their costs.
 */
enum route_choice route_choose(const struct agb_route *r, agb_time now,
    struct route_call *c, const struct agb_route_input *in,
    struct route_target *t, struct agb_effects *out);

/**
 * route_mark_refused() - exclude a domain that refused a request from selection
 */
void route_mark_refused(
    struct route_call *c, const struct agb_route_input *in, const char *domain);

/**
 * route_owner_address() - RPC address of the owner of a domain's shard
 * Return: "" if no owner is known.
 */
const char *route_owner_address(const struct agb_route *r, agb_time now,
    const struct agb_route_input *in, const char *domain);

/**
 * route_release_add() - queue the result of an attempt for a domain's owner
 *
 * The owner uses it to free the attempt's slot.
 */
void route_release_add(struct agb_route *r, agb_time now, const char *domain,
    struct agb_attempt attempt, enum agb_result result,
    const struct agb_route_input *in, struct agb_effects *out);

/**
 * route_release_flush() - send the releases that are due
 */
void route_release_flush(struct agb_route *r, agb_time now,
    const struct agb_route_input *in, struct agb_effects *out);

/**
 * route_release_reply() - process the reply to a RELEASE RPC
 * @ok: a reply was received
 * Return: false if the tag does not belong to a RELEASE.
 */
bool route_release_reply(struct agb_route *r, agb_time now, uint64_t tag,
    bool ok, const struct agb_route_input *in, struct agb_effects *out);

/**
 * route_release_pending() - number of unacknowledged releases
 */
size_t route_release_pending(const struct agb_route *r);

/**
 * route_release_next() - time at which the next release is due, or AGB_TIME_MAX
 */
agb_time route_release_next(const struct agb_route *r);

/**
 * route_release_free() - discard all releases
 */
void route_release_free(struct agb_route *r);

/**
 * route_tag() - allocate a tag for an RPC to an owner
 */
uint64_t route_tag(struct agb_route *r);

/**
 * route_call_free() - free a request that is not in the table of requests
 */
void route_call_free(struct route_call *c);

/**
 * route_call_remove() - remove a completed request and free it
 */
void route_call_remove(struct agb_route *r, struct route_call *c);

/**
 * route_reply_refusal() - reply to a request with an error and remove it
 * @outcome: AGB_OUTCOME_NOT_RUN is replaced by AGB_OUTCOME_UNKNOWN if the
 *	request may have run
 * @retry_ms: retry hint for the client; 0 for none
 */
void route_reply_refusal(struct agb_route *r, struct route_call *c,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *detail, struct agb_effects *out);

/**
 * route_backoff() - retry a request at the given time or at its deadline,
 * whichever is earlier
 */
void route_backoff(struct agb_route *r, struct route_call *c, agb_time at);

/**
 * route_dispatch() - select a shard and send the request to its owner
 *
 * Backs off if no owner is known; refuses the request if no shard is left or
 * its deadline has passed.
 */
void route_dispatch(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_route_input *in, struct agb_effects *out);

/**
 * route_rpc_send() - append an RPC to a shard owner for a request
 * Return: the effect; the caller fills in the RPC arguments.
 */
struct agb_effect *route_rpc_send(struct agb_route *r, struct route_call *c,
    const struct route_target *t, agb_x_proc proc, uint32_t timeout_ms,
    struct agb_effects *out);

/**
 * route_on_refusal() - handle a refusal by an owner: retry, try another shard
 * or reply to the client
 */
void route_on_refusal(struct agb_route *r, agb_time now, struct route_call *c,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *detail, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * route_remaining_ms() - time left until a request's deadline, 0 if it has
 * passed
 */
uint32_t route_remaining_ms(const struct route_call *c, agb_time now);

/**
 * route_job_send() - send a job request (submit, get, cancel or explain) to a
 * shard's owner
 */
void route_job_send(struct agb_route *r, agb_time now, struct route_call *c,
    const struct route_target *t, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * route_job_reply() - process an owner's reply to a job request
 * @ev: the RPC_REPLY event
 */
void route_job_reply(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * route_job_domain() - extract the failure domain from a job id
 * @id: "<domain>-<epoch hex>-<number hex>"
 * @domain: set to the name of the domain
 * Return: false if the id is malformed.
 */
bool route_job_domain(const char *id, char domain[AGB_NAME_LEN]);

/**
 * route_http_status() - HTTP status code for a refusal reason
 */
int route_http_status(enum agb_reason reason);

/**
 * route_admit() - authorize a client request and start it, or refuse it
 */
void route_admit(struct agb_route *r, agb_time now,
    const struct agb_ev_call *call, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * route_class() - class of the requested work in the environment document
 * Return: NULL if the active document does not define the requested work.
 */
const struct agb_env_class *route_class(
    const struct route_call *c, const struct agb_route_input *in);

/**
 * route_budget_earn() - credit the retry budget for a new request
 */
void route_budget_earn(struct agb_route *r, const struct route_call *c,
    const struct agb_route_input *in);

/**
 * route_may_retry() - whether a request may be retried after an attempt
 * @u: result of the attempt
 *
 * If the attempt was lost and a retry is allowed, one token is taken from the
 * retry budget.
 */
bool route_may_retry(struct agb_route *r, struct route_call *c,
    const struct agb_ev_upstream *u, const struct agb_route_input *in);

/**
 * route_retry_at() - time of the next retry: exponential backoff with jitter
 * @attempt: number of attempts or RPCs so far
 */
agb_time route_retry_at(struct agb_route *r, agb_time now, uint32_t attempt);

#endif

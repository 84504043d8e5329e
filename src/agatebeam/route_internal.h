#ifndef AGB_ROUTE_INTERNAL_H
#define AGB_ROUTE_INTERNAL_H

/**
 * DOC: route_internal
 *
 * State shared by the files of the route module: requests (route.c), their
 * admission (route_admit.c), the choice of a shard (route_choose.c), jobs
 * (route_job.c), retries and their budget (route_retry.c), and the releases
 * that owners still have to take (route_release.c).
 */

#include <uthash.h>

#include "route.h"

/* Pause before a request without a reachable shard is tried again. */
#define ROUTE_OWNER_RETRY (100 * AGB_MS)
/* Longest time that a request waits for a shard to get an owner. A takeover
 * takes under 3 s. */
#define ROUTE_OWNER_WAIT (5 * AGB_SEC)

enum route_phase {
	ROUTE_ASKING,  /* an owner has been asked */
	ROUTE_RUNNING, /* a runner has the request */
	ROUTE_BACKOFF, /* waits for wake_at */
};

/**
 * struct route_call - one request of a caller
 * @request: id in the decision log
 * @deadline: end of the time that the caller gave
 * @owner_deadline: end of the wait for an owner
 * @wake_at: end of a backoff
 * @tried: bit set of domain indexes of document @tried_version that refused
 * @pinned: name of the only domain that may be asked, or ""
 * @domain: name of the domain asked last
 * @may_have_run: an attempt or a submit was lost, so that no later refusal
 *	can say that it did not run
 * @lost: the attempt that was lost last, on worker @lost_worker
 * @denied: a shard has refused; @deny_* tell how
 * @asks: owners asked so far; the tag of the latest is @ask_tag
 * @attempts: attempts sent to runners so far
 */
struct route_call {
	uint64_t id;
	uint64_t ask_tag;
	uint64_t body_bytes;
	uint64_t tried_version;
	agb_time deadline;
	agb_time owner_deadline;
	agb_time wake_at;
	struct agb_attempt attempt;
	struct agb_attempt lost;
	struct agb_resources need;
	char *args;
	size_t args_len;
	UT_hash_handle hh;
	enum agb_call_kind kind;
	enum route_phase phase;
	enum agb_outcome deny_outcome;
	enum agb_reason deny_reason;
	uint32_t deny_retry_ms;
	uint32_t tried;
	uint32_t wait_ms;
	uint32_t asks;
	uint32_t attempts;
	uint32_t tasks;
	uint32_t run_ms;
	bool idempotent;
	bool may_have_run;
	bool denied;
	agb_id request;
	agb_id job;
	agb_name work;
	agb_name team;
	agb_name pinned;
	agb_name domain;
	agb_name worker;
	agb_name lost_worker;
	char key[AGB_X_KEY_MAX + 1];
	char deny_detail[AGB_DETAIL_LEN];
};

/**
 * struct route_ask - a call to an owner that has not been answered
 */
struct route_ask {
	uint64_t tag;
	uint64_t call_id;
	agb_name domain;
	UT_hash_handle hh;
};

/**
 * struct route_outbox - releases for the owner of one domain
 * @sending: items of @items, from the front, that are on their way
 */
struct route_outbox {
	agb_name domain;
	agb_x_release *items;
	size_t len;
	size_t cap;
	size_t sending;
	uint64_t tag;
	agb_time retry_at;
	UT_hash_handle hh;
};

/**
 * struct route_budget - retry budget of one kind of work
 * @tokens: retries that may be made now
 */
struct route_budget {
	agb_name work;
	double tokens;
	UT_hash_handle hh;
};

struct agb_route {
	struct agb_route_config cfg;
	struct route_call *calls;
	struct route_ask *asks;
	struct route_outbox *boxes;
	struct route_budget *budgets;
	uint64_t next_tag;
	uint64_t next_request;
	agb_time next_wake;
	unsigned short rng[3];
};

/**
 * struct route_target - a shard to be asked
 * @address: RPC address of its owner
 */
struct route_target {
	agb_name domain;
	agb_addr address;
};

/**
 * enum route_choice - result of a choice
 * @ROUTE_FOUND: a shard is to be asked
 * @ROUTE_NO_OWNER: shards are left, none with a known owner
 * @ROUTE_EXHAUSTED: every allowed shard has refused
 */
enum route_choice {
	ROUTE_FOUND,
	ROUTE_NO_OWNER,
	ROUTE_EXHAUSTED,
};

/**
 * route_choose() - choose the shard that is asked for a request
 * @c: the request; its set of tried domains is kept up to date
 * @t: filled in when the result is ROUTE_FOUND
 *
 * Logs the candidates with their costs.
 */
enum route_choice route_choose(const struct agb_route *r, agb_time now,
    struct route_call *c, const struct agb_route_input *in,
    struct route_target *t, struct agb_effects *out);

/**
 * route_choose_tried() - note that a domain has refused a request
 */
void route_choose_tried(
    struct route_call *c, const struct agb_route_input *in, const char *domain);

/**
 * route_choose_owner() - RPC address of the owner of a domain's shard
 * Return: "" while none is known.
 */
const char *route_choose_owner(const struct agb_route *r, agb_time now,
    const struct agb_route_input *in, const char *domain);

/**
 * route_release() - tell a domain's owner how an attempt ended
 */
void route_release(struct agb_route *r, agb_time now, const char *domain,
    struct agb_attempt attempt, enum agb_result result,
    const struct agb_route_input *in, struct agb_effects *out);

/**
 * route_release_flush() - send what is due
 */
void route_release_flush(struct agb_route *r, agb_time now,
    const struct agb_route_input *in, struct agb_effects *out);

/**
 * route_release_reply() - take the answer to a RELEASE
 * Return: false when the tag is not that of a RELEASE.
 */
bool route_release_reply(struct agb_route *r, agb_time now, uint64_t tag,
    bool ok, const struct agb_route_input *in, struct agb_effects *out);

/**
 * route_release_pending() - releases that no owner has taken
 */
size_t route_release_pending(const struct agb_route *r);

/**
 * route_release_next() - when the next release is due, or AGB_TIME_MAX
 */
agb_time route_release_next(const struct agb_route *r);

/**
 * route_release_free() - drop all releases
 */
void route_release_free(struct agb_route *r);

/**
 * route_tag() - tag for the next call to an owner
 */
uint64_t route_tag(struct agb_route *r);

/**
 * route_call_free() - free a request that is in no table
 */
void route_call_free(struct route_call *c);

/**
 * route_call_end() - drop an answered request
 */
void route_call_end(struct agb_route *r, struct route_call *c);

/**
 * route_refuse() - answer a request without an upstream's answer, and drop it
 * @outcome: AGB_OUTCOME_NOT_RUN becomes AGB_OUTCOME_UNKNOWN when it may have run
 * @retry_ms: hint for the caller; 0 is none
 */
void route_refuse(struct agb_route *r, struct route_call *c,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *detail, struct agb_effects *out);

/**
 * route_backoff() - try the request again at a time
 */
void route_backoff(struct agb_route *r, struct route_call *c, agb_time at);

/**
 * route_ask_start() - ask the shard chosen for a request, or refuse it
 */
void route_ask_start(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_route_input *in, struct agb_effects *out);

/**
 * route_ask_send() - begin the effect that asks an owner
 * Return: the effect; the caller fills in the arguments.
 */
struct agb_effect *route_ask_send(struct agb_route *r, struct route_call *c,
    const struct route_target *t, agb_x_proc proc, uint32_t timeout_ms,
    struct agb_effects *out);

/**
 * route_denied() - an owner has refused: ask another or tell the caller
 */
void route_denied(struct agb_route *r, agb_time now, struct route_call *c,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *detail, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * route_remaining_ms() - time left until a request's deadline
 */
uint32_t route_remaining_ms(const struct route_call *c, agb_time now);

/**
 * route_job_send() - ask an owner about a job: submit, get, cancel, explain
 */
void route_job_send(struct agb_route *r, agb_time now, struct route_call *c,
    const struct route_target *t, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * route_job_reply() - take an owner's answer about a job
 * @ev: the RPC_REPLY
 */
void route_job_reply(struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_event *ev, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * route_job_domain() - failure domain named in a job id
 * @id: "<domain>-<epoch hex>-<number hex>"
 * @domain: filled in
 * Return: false when the id has another form.
 */
bool route_job_domain(const char *id, char domain[AGB_NAME_LEN]);

/**
 * route_status_code() - HTTP status of a refusal
 */
int route_status_code(enum agb_reason reason);

/**
 * route_admit() - check a caller's request and begin with it, or refuse it
 */
void route_admit(struct agb_route *r, agb_time now,
    const struct agb_ev_call *call, const struct agb_route_input *in,
    struct agb_effects *out);

/**
 * route_class() - class of a request's work
 * Return: NULL when the document in force does not name it.
 */
const struct agb_env_class *route_class(
    const struct route_call *c, const struct agb_route_input *in);

/**
 * route_budget_earn() - count a first attempt towards the retry budget
 */
void route_budget_earn(struct agb_route *r, const struct route_call *c,
    const struct agb_route_input *in);

/**
 * route_may_retry() - whether a request may be tried again after an attempt
 * @u: how the attempt ended; a retry after a lost one is paid from the budget
 */
bool route_may_retry(struct agb_route *r, struct route_call *c,
    const struct agb_ev_upstream *u, const struct agb_route_input *in);

/**
 * route_retry_at() - time of the next try, jittered
 * @attempt: attempts or asks so far
 */
agb_time route_retry_at(struct agb_route *r, agb_time now, uint32_t attempt);

#endif

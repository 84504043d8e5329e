#ifndef WF_DOC_H
#define WF_DOC_H

/**
 * DOC: wf_doc
 *
 * The configuration document with its queues and services, and lookups in it.
 */

#include "types.h"

#define WF_HOST_LEN 256
/* The leader sends the tag of a job's route together with its state, which takes
 * the other bits of 32. */
#define WF_ROUTE_TAG_BITS 24

/**
 * struct wf_queue - queue of the configuration document
 * @host, @path_prefix: requests to this host and path belong to the queue
 * @target_ms: latency objective on top of the run time
 * @slack_factor: factor applied to the critical path of the job in the latency
 *	objective
 * @priority: lower values are placed first; 0 is the highest priority
 * @max_attempts: failed runs of one task after which the job fails
 * @advice_required: placements need approval by the advice service
 * @advice_base_ms: expected duration of a call to the advice service
 * @advice_per_runner_ms: added to @advice_base_ms for each runner in the call
 * @ticket_valid_ms: lifetime of an approval ticket
 * @is_public: its callers need no key of a client account
 * @route_tag: number of at most WF_ROUTE_TAG_BITS bits that names its host and
 *	prefix, whichever name it has; 0 when another route of the document would
 *	have the same
 */
struct wf_queue {
	agb_id name;
	agb_id service;
	char host[WF_HOST_LEN];
	char path_prefix[WF_HOST_LEN];
	uint32_t timeout_ms;
	uint32_t target_ms;
	uint32_t priority;
	uint32_t max_attempts;
	double slack_factor;
	bool advice_required;
	double advice_base_ms;
	double advice_per_runner_ms;
	uint32_t ticket_valid_ms;
	bool is_public;
	uint32_t route_tag;
};

/* Longest key of a client account. */
#define WF_ACCOUNT_KEY_MAX 127

/**
 * struct wf_account - client account
 * @weight: its share of the resources relative to that of the other accounts
 * @limit: resources that its tasks may use at the same time; 0 in a field for no
 *	limit
 */
struct wf_account {
	agb_id name;
	uint32_t weight;
	struct agb_resources limit;
};

/**
 * struct wf_account_key - key of a client account; a secret, which is not written
 * to logs, metrics, records or error messages
 * @account: index of the account in the document
 */
struct wf_account_key {
	char key[WF_ACCOUNT_KEY_MAX + 1];
	uint32_t account;
};

/**
 * struct wf_service - pool of runners
 * @enforces_capacity: its runners reject tasks that exceed their free capacity
 */
struct wf_service {
	agb_id name;
	bool enforces_capacity;
	bool standby;
};

/**
 * struct wf_doc_route - host and path prefix of a queue, in sorted order
 * @parent: route at the same host with the longest shorter prefix that this
 *	one begins with, or NULL
 */
struct wf_doc_route {
	const struct wf_queue *queue;
	const struct wf_doc_route *parent;
};

/**
 * struct wf_doc - configuration document in force
 * @keys_required: calls need a key of an account, unless their queue is public
 * @accounts: client accounts
 * @account_keys: their keys; once indexed, sorted and each one once, with the
 *	first account that lists it
 * @shared_keys: keys that several accounts list
 * @shared_owner, @shared_other: indices of two accounts that list the same key,
 *	the first of which has it; valid when @shared_keys is not 0
 * @names: queues sorted by name; of those with one name the first
 * @account_names: accounts sorted by name; of those with one name the first
 * @routes: sorted by host in any case, then by prefix; of queues with the same
 *	host and prefix the first
 * @compared: incremented for each queue that a lookup compares; NULL when
 *	nothing is counted
 */
struct wf_doc {
	uint64_t version;
	struct wf_queue *queues;
	size_t queues_len;
	struct wf_service *services;
	size_t services_len;
	bool keys_required;
	struct wf_account *accounts;
	size_t accounts_len;
	struct wf_account_key *account_keys;
	size_t account_keys_len;
	size_t shared_keys;
	uint32_t shared_owner;
	uint32_t shared_other;
	size_t body_max;
	const struct wf_queue **names;
	size_t names_len;
	const struct wf_account **account_names;
	size_t account_names_len;
	struct wf_doc_route *routes;
	size_t routes_len;
	uint64_t *compared;
};

/**
 * wf_doc_free() - free a document
 * @doc: may be NULL
 */
void wf_doc_free(struct wf_doc *doc);

/**
 * wf_doc_build_index() - prepare lookups in a document whose queues and accounts
 * are complete
 *
 * Without it no queue, account or key is found. They must not be moved or
 * changed afterwards unless it is called again.
 */
void wf_doc_build_index(struct wf_doc *doc);

/**
 * wf_doc_free_index() - free the index alone, of a document whose queues are
 * freed by the caller
 */
void wf_doc_free_index(struct wf_doc *doc);

/**
 * wf_doc_queue() - find a queue by name, the first of the document with it
 * Return: NULL when the document has no such queue.
 */
const struct wf_queue *wf_doc_queue(const struct wf_doc *doc, const char *name);

/**
 * wf_doc_route() - find the queue of a request, which is the one with the
 * longest matching path prefix at the host; of queues with the same host and
 * prefix the first of the document
 * Return: NULL when no queue matches.
 */
const struct wf_queue *wf_doc_route(
    const struct wf_doc *doc, const char *host, const char *path);

/**
 * wf_doc_service() - find a service by name
 * Return: NULL when the document has no such service.
 */
const struct wf_service *wf_doc_service(
    const struct wf_doc *doc, const char *name);

/**
 * wf_doc_account() - find a client account by name, the first of the document
 * with it
 * Return: NULL when the document has no such account.
 */
const struct wf_account *wf_doc_account(
    const struct wf_doc *doc, const char *name);

/**
 * wf_doc_account_by_key() - find the client account that a key belongs to, the
 * first of the document with it
 * Return: NULL when no account has the key.
 */
const struct wf_account *wf_doc_account_by_key(
    const struct wf_doc *doc, const char *key);

#endif

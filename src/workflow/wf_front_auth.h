#ifndef WF_FRONT_AUTH_H
#define WF_FRONT_AUTH_H

/**
 * DOC: wf_front_auth
 *
 * Decides which requests of clients are allowed when the document has client
 * accounts: whose key a request carries, which jobs that account may use, and
 * which submissions its limit excludes for good. Nothing here keeps a key.
 */

#include "wf_doc.h"
#include "wf_types.h"

/**
 * struct wf_caller - on whose behalf a request is made
 * @restricted: the document asks for keys, so that not every job may be used
 * @is_public: the request came by a public queue, and no key was asked for
 * @queue: name of the queue that the request came by
 * @route_tag: tag of the route that it came by, see struct wf_queue
 * @account: name of the account that the key belongs to; "" without a key
 */
struct wf_caller {
	bool restricted;
	bool is_public;
	agb_id queue;
	uint32_t route_tag;
	agb_id account;
};

/**
 * wf_caller_identify() - find out on whose behalf a request is made
 * @q: queue of the request
 * @key: key that the request carries, or ""; not looked at when none is needed
 * @out: overwritten
 * Return: false when a key is needed, and @key is none of the document.
 */
bool wf_caller_identify(const struct wf_doc *doc, const struct wf_queue *q,
    const char *key, struct wf_caller *out);

/**
 * wf_caller_may_use() - whether a request may use a job
 *
 * Jobs without an account, which were submitted by a public queue or before the
 * document had accounts, may be used by every caller.
 *
 * @s: submission of the job; only its queue and its account are read
 */
bool wf_caller_may_use(const struct wf_caller *c, const struct wf_spec *s);

/**
 * wf_account_excludes() - whether the limit of an account excludes a job
 * whatever else is running: one task, or a gang as a whole, needs more
 * @a: NULL for no limit
 */
bool wf_account_excludes(const struct wf_account *a, const struct wf_spec *s);

/**
 * struct wf_denial_log - limit on log lines about requests without a valid key;
 * zero at the start
 * @next_at: when the next line may be written
 * @omitted: requests without a line since the last one
 */
struct wf_denial_log {
	agb_time next_at;
	uint64_t omitted;
};

/**
 * wf_denial_log_take() - note a request without a valid key
 * @omitted: set to the number of requests without a line since the last one
 * Return: false when the line must be omitted.
 */
bool wf_denial_log_take(
    struct wf_denial_log *l, agb_time now, uint64_t *omitted);

#endif

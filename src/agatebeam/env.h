#ifndef AGB_ENV_H
#define AGB_ENV_H

/**
 * DOC: env
 *
 * The environment document defines which work may run, where, under which
 * policy and for which teams. A parsed document is immutable; references
 * inside it are indexes into its tables.
 */

#include "finding.h"
#include "types.h"

/*
 * A document and the header of its history entry must fit into one value of
 * the store (1 MiB); 4 KiB are reserved for the header.
 */
#define AGB_ENV_TEXT_MAX ((size_t)1020 * 1024)
/* Sets of domains and teams are bit sets of 32 and 64 bits. */
#define AGB_ENV_DOMAINS_MAX 32
#define AGB_ENV_TEAMS_MAX 64
#define AGB_ENV_REGIONS_MAX 16
#define AGB_ENV_CLASSES_MAX 64
#define AGB_ENV_WORKS_MAX 256
/* Index that refers to no entry. */
#define AGB_ENV_NONE UINT16_MAX

/**
 * enum agb_policy - placement policy of a class of work
 * @AGB_POLICY_QUICK: requests take the runner slot with the shortest wait
 * @AGB_POLICY_BATCH: tasks are packed onto few workers
 * @AGB_POLICY_GANG: all tasks of a job are started together or not at all
 * @AGB_POLICY_SERVICE: long-running tasks are spread over workers and kept
 *	at the requested count
 */
enum agb_policy {
	AGB_POLICY_QUICK,
	AGB_POLICY_BATCH,
	AGB_POLICY_GANG,
	AGB_POLICY_SERVICE,
};

/**
 * enum agb_isolation - what happens to a running task while its worker cannot
 * reach the owner of the shard, the instance that placed the task
 * @AGB_ISOLATION_KEEP: the task keeps running and is not placed a second time
 *	during the isolation
 * @AGB_ISOLATION_STOP: the worker stops the task after the autonomy time of its
 *	class
 */
enum agb_isolation {
	AGB_ISOLATION_KEEP,
	AGB_ISOLATION_STOP,
};

/**
 * struct agb_env_class - a class of work and its policy
 * @name: unique in the document
 * @urgency: 0 (lowest) to 9; 8 and 9 are urgent and may preempt other work
 * @preemptible: may be throttled, checkpointed or stopped for urgent work
 * @checkpoint: tasks can checkpoint before they are stopped
 * @on_isolation: see enum agb_isolation
 * @autonomy_ms: with AGB_ISOLATION_STOP, time from the expiry of the worker's
 *	session until the worker stops an isolated task
 * @deadline_ms: default deadline, counted from acceptance; 0 is none
 * @queue_max_ms: longest wait before a request is refused; 0 is no limit
 * @retries: attempts after the first, for idempotent work
 * @retry_budget_percent: retries allowed per 100 first attempts
 */
struct agb_env_class {
	agb_name name;
	enum agb_policy policy;
	uint8_t urgency;
	bool preemptible;
	bool checkpoint;
	enum agb_isolation on_isolation;
	uint32_t autonomy_ms;
	uint32_t deadline_ms;
	uint32_t queue_max_ms;
	uint16_t retries;
	uint16_t retry_budget_percent;
};

/**
 * struct agb_env_team - a team that shares the cluster
 * @name: unique in the document
 * @credential_sha256: lower-case hex SHA-256 of the team's bearer credential
 * @quota: resources that the team may use while other teams need theirs
 * @weight: weight in the fair queue, at least 1
 * @may_borrow: the team may use idle capacity beyond its quota and returns
 *	it on demand
 */
struct agb_env_team {
	agb_name name;
	char credential_sha256[65];
	struct agb_resources quota;
	uint32_t weight;
	bool may_borrow;
};

/**
 * struct agb_env_domain - a failure domain
 * @name: unique in the document
 * @region: index into the regions
 */
struct agb_env_domain {
	agb_name name;
	uint16_t region;
};

/**
 * struct agb_env_work - one service or one kind of job that may run
 * @name: service name in the URL, or value of the "work" key of a job
 * @class_index: index into the classes
 * @need: default resources of one task, or of one runner slot
 * @need_max: most resources that a job may request; 0 in a field is no limit
 * @run_ms: declared run time of one task or request; 0 is unknown
 * @domains: bit set of the domain indexes where it may run
 * @teams: bit set of the team indexes that may request it
 */
struct agb_env_work {
	agb_name name;
	uint16_t class_index;
	struct agb_resources need;
	struct agb_resources need_max;
	uint32_t run_ms;
	uint32_t domains;
	uint64_t teams;
};

/**
 * struct agb_env_weights - cost factors of placement decisions
 * @wait: cost of one millisecond of expected waiting
 * @cross_region_kb: cost of one KiB sent over the paid link between regions
 * @packing: cost of using an idle worker; 0 spreads the work
 */
struct agb_env_weights {
	double wait;
	double cross_region_kb;
	double packing;
};

/**
 * struct agb_env - a checked environment document
 * @version: store revision at which it took effect; 0 while unknown
 * @name: deployment that it is written for, such as "lagos-tramway"; the
 *	same in trial and production, because promotion copies a document
 *	unchanged
 * @headroom_percent: share of each shard that is kept free for urgent work
 * @eject_max_percent: largest share of a shard's workers that may be ejected
 *	at the same time; an ejected worker gets no work but probes
 * @text: source text of the document, @text_len bytes and a NUL
 */
struct agb_env {
	uint64_t version;
	agb_name name;
	struct agb_env_weights weights;
	uint16_t headroom_percent;
	uint16_t eject_max_percent;
	uint16_t regions_len;
	uint16_t domains_len;
	uint16_t teams_len;
	uint16_t classes_len;
	uint16_t works_len;
	agb_name *regions;
	struct agb_env_domain *domains;
	struct agb_env_team *teams;
	struct agb_env_class *classes;
	struct agb_env_work *works;
	char *text;
	size_t text_len;
};

/**
 * agb_env_parse() - parse and check an environment document
 * @text: JSON with comments; need not be NUL-terminated
 * @len: its length in bytes, at most AGB_ENV_TEXT_MAX
 * @version: store revision of the text
 * @out: set to a new document on success, else to NULL
 * @findings: every problem found is added, with its line and JSON pointer
 *
 * Return: true when the document has no finding of level error.
 */
bool agb_env_parse(const char *text, size_t len, uint64_t version,
    struct agb_env **out, struct agb_findings *findings);

/**
 * agb_env_free() - free a document; NULL is allowed
 */
void agb_env_free(struct agb_env *env);

/**
 * agb_env_work_find() - index of a service or kind of job by name
 * Return: AGB_ENV_NONE when there is none of that name.
 */
uint16_t agb_env_work_find(const struct agb_env *env, const char *name);

/**
 * agb_env_domain_find() - index of a failure domain by name
 * Return: AGB_ENV_NONE when there is none of that name.
 */
uint16_t agb_env_domain_find(const struct agb_env *env, const char *name);

/**
 * agb_env_team_find() - index of a team by name
 * Return: AGB_ENV_NONE when there is none of that name.
 */
uint16_t agb_env_team_find(const struct agb_env *env, const char *name);

/**
 * agb_env_team_by_credential() - index of the team with a credential hash
 * @sha256: lower-case hex SHA-256 of the bearer credential
 * Return: AGB_ENV_NONE when no team has it. The run time is the same for
 * every hash of the right length, so that it reveals nothing about the
 * hashes of the document.
 */
uint16_t agb_env_team_by_credential(
    const struct agb_env *env, const char *sha256);

#endif

#ifndef AGB_ENV_H
#define AGB_ENV_H

/**
 * DOC: env
 *
 * The environment document: which work may run, where, under which policy,
 * and for which teams. A parsed document is immutable; every reference
 * inside it is an index into one of its tables.
 */

#include "finding.h"
#include "types.h"

/*
 * A document has to fit one value of the store, 1 MiB, together with the head
 * of its entry in the history, for which 4 KiB are left.
 */
#define AGB_ENV_TEXT_MAX ((size_t)1020 * 1024)
/* Bit sets of domains and teams have 32 and 64 bits. */
#define AGB_ENV_DOMAINS_MAX 32
#define AGB_ENV_TEAMS_MAX 64
#define AGB_ENV_REGIONS_MAX 16
#define AGB_ENV_CLASSES_MAX 64
#define AGB_ENV_WORKS_MAX 256
#define AGB_ENV_NONE UINT16_MAX

/**
 * enum agb_policy - how one class of work is placed
 * @AGB_POLICY_QUICK: a slot of a runner, least waiting
 * @AGB_POLICY_BATCH: packed onto few workers
 * @AGB_POLICY_GANG: all tasks at once or none
 * @AGB_POLICY_SERVICE: long-running, spread, kept at count
 */
enum agb_policy {
	AGB_POLICY_QUICK,
	AGB_POLICY_BATCH,
	AGB_POLICY_GANG,
	AGB_POLICY_SERVICE,
};

/**
 * enum agb_isolation - what running work does when its owner is cut off
 * @AGB_ISOLATION_KEEP: keeps running and is never placed again meanwhile
 * @AGB_ISOLATION_STOP: stops after the class's autonomy time
 */
enum agb_isolation {
	AGB_ISOLATION_KEEP,
	AGB_ISOLATION_STOP,
};

/**
 * struct agb_env_class - a class of work and its policy
 * @name: unique in the document
 * @policy: placement policy
 * @urgency: 0 (least) to 9; 8 and 9 are urgent and may preempt
 * @preemptible: may be throttled, checkpointed or stopped for urgent work
 * @checkpoint: tasks can checkpoint before they are stopped
 * @on_isolation: see enum agb_isolation
 * @autonomy_ms: time after which isolated work stops by itself
 * @deadline_ms: default deadline from acceptance; 0 is none
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
 * @quota: the amount the team may use when others want theirs
 * @weight: share in the fair queue, at least 1
 * @may_borrow: may use idle capacity beyond its quota, given back on demand
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
 * @name: the service name in the URL, or the "work" key of a job
 * @class_index: index into the classes
 * @need: default need of one task, or of one runner slot
 * @need_max: largest need that a job may ask for; zero fields mean no limit
 * @run_ms: declared run time of one task or request; 0 is unknown
 * @domains: bit set of domain indexes where it may run
 * @teams: bit set of team indexes that may ask for it
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
 * struct agb_env_weights - what the deployment weighs in a choice of place
 * @wait: cost of one millisecond of expected waiting
 * @cross_region_kb: cost of one KiB over the paid link
 * @packing: cost of opening an idle worker, 0 to spread
 */
struct agb_env_weights {
	double wait;
	double cross_region_kb;
	double packing;
};

/**
 * struct agb_env - a checked environment document
 * @version: store revision that put it in force; 0 while unknown
 * @name: the deployment that it is written for, such as "lagos-tramway"; the
 *	same in trial and production, since promotion copies a document whole
 * @headroom_percent: part of each shard kept free for urgent work
 * @eject_max_percent: largest part of a shard's workers ejected at once
 * @text: the document as written, @text_len bytes and a NUL
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
 * @findings: every problem found, each with its JSON pointer or line
 *
 * Return: true when the document has no finding of level error.
 */
bool agb_env_parse(const char *text, size_t len, uint64_t version,
    struct agb_env **out, struct agb_findings *findings);

/**
 * agb_env_free() - free a document
 * @env: may be NULL
 */
void agb_env_free(struct agb_env *env);

/**
 * agb_env_work_find() - index of a service or kind of job
 * Return: AGB_ENV_NONE when there is none of that name.
 */
uint16_t agb_env_work_find(const struct agb_env *env, const char *name);

/**
 * agb_env_domain_find() - index of a failure domain
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
 * Return: AGB_ENV_NONE when no team has it. Takes the same time for every
 * hash of the right length.
 */
uint16_t agb_env_team_by_credential(
    const struct agb_env *env, const char *sha256);

#endif

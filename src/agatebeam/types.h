#ifndef AGB_TYPES_H
#define AGB_TYPES_H

/**
 * DOC: types
 *
 * Value types shared by all modules: time, names, resources, outcomes and
 * reasons. No function here allocates memory.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Microseconds of a monotonic clock; only differences are meaningful. */
typedef uint64_t agb_time;

#define AGB_MS ((agb_time)1000)
#define AGB_SEC ((agb_time)1000000)
#define AGB_TIME_MAX UINT64_MAX

static inline agb_time
agb_time_min(agb_time a, agb_time b)
{
	return a < b ? a : b;
}

static inline agb_time
agb_time_max(agb_time a, agb_time b)
{
	return a > b ? a : b;
}

/* Size of a name of an instance, domain, team, class or service, with NUL. */
#define AGB_NAME_LEN 48
/* Size of a job, task or request id as clients see it, with the NUL. */
#define AGB_ID_LEN 64
/* Size of "address:port" of an IPv4 or IPv6 endpoint, with the NUL. */
#define AGB_ADDR_LEN 64
/* Size of the detail text in an answer or a decision line, with the NUL. */
#define AGB_DETAIL_LEN 192

typedef char agb_name[AGB_NAME_LEN];
typedef char agb_id[AGB_ID_LEN];
typedef char agb_addr[AGB_ADDR_LEN];

/**
 * struct agb_resources - amount of worker resources
 * @cpu_milli: CPU in thousandths of a core
 * @mem_mb: memory in MiB
 * @accel: number of accelerators
 */
struct agb_resources {
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t accel;
};

/**
 * enum agb_outcome - what a client may conclude about its request
 * @AGB_OUTCOME_NOT_RUN: it did not run and will not run
 * @AGB_OUTCOME_UNKNOWN: it may have run
 * @AGB_OUTCOME_RAN: it ran; the answer contains the result
 */
enum agb_outcome {
	AGB_OUTCOME_NOT_RUN,
	AGB_OUTCOME_UNKNOWN,
	AGB_OUTCOME_RAN,
};

/**
 * enum agb_reason - reason for an answer or a decision
 */
enum agb_reason {
	AGB_REASON_NONE,
	AGB_REASON_NO_DOCUMENT,	   /* no environment document known yet */
	AGB_REASON_BAD_CREDENTIAL, /* no team has this credential */
	AGB_REASON_BAD_REQUEST,	   /* malformed, or a field out of range */
	AGB_REASON_NO_SERVICE,	   /* the document names no such service */
	AGB_REASON_NOT_ALLOWED,	   /* the team may not use this service */
	AGB_REASON_NOT_FOUND,	   /* no such job */
	AGB_REASON_NO_OWNER,	   /* no reachable owner of a suitable shard */
	AGB_REASON_NEVER_FITS,	   /* needs more than the largest worker has */
	AGB_REASON_QUOTA,	   /* over the team's quota */
	AGB_REASON_OVERLOAD,	   /* rejected to shed load */
	AGB_REASON_DEADLINE,	   /* cannot or did not meet its deadline */
	AGB_REASON_CANCELLED,	   /* cancelled by the client */
	AGB_REASON_ISOLATED,	   /* needs the store, which is unreachable */
	AGB_REASON_DUPLICATE,	   /* the key is in use by another request */
	AGB_REASON_DRAINING,	   /* this instance is shutting down */
	AGB_REASON_UPSTREAM_REFUSED, /* the runner refused to run it */
	AGB_REASON_UPSTREAM_LOST,    /* the connection to the runner broke */
	AGB_REASON_UPSTREAM_SHORT,   /* the runner's answer was incomplete */
	AGB_REASON_WORKER_LOST,	     /* the worker was lost while it ran */
	AGB_REASON_FAILS_EVERYWHERE, /* failed on several healthy workers */
	AGB_REASON_PREEMPTED,	     /* stopped in favour of urgent work */
	AGB_REASON_LEAVING,	     /* the worker is leaving the cluster */
	AGB_REASON_STORE_UNKNOWN,    /* result of a durable write is unknown */
	AGB_REASON_MAX
};

/**
 * agb_reason_name() - wire name of a reason, such as "never-fits"
 * Return: a static string; "none" for values out of range.
 */
const char *agb_reason_name(enum agb_reason r);

/**
 * agb_outcome_name() - wire name of an outcome
 * Return: "not-run", "unknown" or "ran"; "unknown" for values out of range.
 */
const char *agb_outcome_name(enum agb_outcome o);

/**
 * agb_str_copy() - copy a string into a buffer, truncating it to fit
 * @dst: always NUL-terminated
 * @len: size of @dst in bytes, at least 1
 * @src: NULL is copied as ""
 * Return: false when @src was truncated.
 */
bool agb_str_copy(char *dst, size_t len, const char *src);

/**
 * agb_resources_fit() - whether @need is at most @available in every
 * dimension
 */
bool agb_resources_fit(
    const struct agb_resources *need, const struct agb_resources *available);

/**
 * agb_resources_add() - add @b to @a
 */
void agb_resources_add(struct agb_resources *a, const struct agb_resources *b);

/**
 * agb_resources_sub() - subtract @b from @a; the result may be negative
 */
void agb_resources_sub(struct agb_resources *a, const struct agb_resources *b);

#endif

#ifndef AGB_EFFECT_H
#define AGB_EFFECT_H

/**
 * DOC: effect
 *
 * Everything that the reducer may ask to be done, as data.
 */

#include "event.h"

enum agb_effect_type {
	AGB_EF_REPLY,	 /* call_id, reply: answer a caller */
	AGB_EF_FORWARD,	 /* call_id: pass on the upstream's whole answer */
	AGB_EF_UPSTREAM, /* call_id, upstream: send a request to a runner */
	AGB_EF_UPSTREAM_ABORT, /* call_id, attempt */
	AGB_EF_STORE,	       /* tag, store, timeout_ms */
	AGB_EF_WATCH,	       /* tag, watch */
	AGB_EF_UNWATCH,	       /* tag */
	AGB_EF_LIST_INSTANCES, /* since: read the instance list */
	AGB_EF_SESSION,	       /* worker: take its session over */
	AGB_EF_RENEW,	       /* worker: renew and wait for its report */
	AGB_EF_COMMANDS,       /* worker, tag */
	AGB_EF_RPC_CALL,       /* tag, peer, rpc_args, timeout_ms */
	AGB_EF_RPC_REPLY,      /* token, rpc_res */
	AGB_EF_LOG,	       /* log: one line of the decision log */
	AGB_EF_READY,	       /* ready: what /readyz answers */
	AGB_EF_EXIT,	       /* all in flight has ended; leave */
};

/**
 * struct agb_ef_reply - answer to a caller that is not the upstream's own
 * @body: JSON text; NULL for the standard body made of the other fields
 */
struct agb_ef_reply {
	int http_status;
	enum agb_outcome outcome;
	enum agb_reason reason;
	uint32_t retry_ms;
	char detail[AGB_DETAIL_LEN];
	char *body;
	size_t body_len;
};

struct agb_ef_upstream {
	struct agb_attempt attempt;
	agb_addr runner;
	uint32_t timeout_ms;
};

struct agb_ef_watch {
	char *key;
	char *range_end;
	uint64_t from_rev;
};

/**
 * struct agb_command - one command to a worker agent
 * @args: JSON text for the task, owned
 */
struct agb_command {
	enum agb_command_kind kind;
	agb_id task;
	struct agb_attempt attempt;
	struct agb_resources need;
	uint32_t run_ms;
	enum agb_isolation on_isolation;
	uint32_t autonomy_ms;
	char *args;
	size_t args_len;
};

/**
 * struct agb_ef_worker - a call to a worker agent
 * @worker: instance id, returned in the event
 * @address: HTTP address of the agent
 * @epoch: epoch of the shard owner
 * @boot: boot that RENEW and COMMANDS are meant for; a worker that has
 *	restarted since refuses them, so that a late one does nothing
 * @after_seq: number of the last event taken
 */
struct agb_ef_worker {
	agb_name worker;
	agb_addr address;
	uint64_t epoch;
	agb_name boot;
	uint64_t after_seq;
	uint32_t wait_ms;
	uint32_t ttl_ms;
	struct agb_command *items;
	size_t items_len;
};

enum agb_log_level {
	AGB_LOG_DEBUG,
	AGB_LOG_INFO,
	AGB_LOG_WARN,
	AGB_LOG_ERROR,
};

/**
 * struct agb_ef_log - a log line without time stamp
 * @event: what happened, such as "route" or "place"
 * @line: "key=value ..." with values quoted where needed, owned
 */
struct agb_ef_log {
	enum agb_log_level level;
	const char *event;
	char *line;
};

/**
 * struct agb_effect - one output of the reducer; owns all it points to
 */
struct agb_effect {
	enum agb_effect_type type;
	uint64_t tag;
	uint64_t token;
	uint64_t call_id;
	uint64_t since;
	uint32_t timeout_ms;
	bool ready;
	agb_addr peer;
	union {
		struct agb_ef_reply reply;
		struct agb_ef_upstream upstream;
		struct agb_store_op store;
		struct agb_ef_watch watch;
		struct agb_ef_worker worker;
		struct agb_ef_log log;
		agb_x_args rpc_args;
		agb_x_res rpc_res;
	} u;
};

/**
 * struct agb_effects - a growing array of effects
 */
struct agb_effects {
	struct agb_effect *items;
	size_t len;
	size_t cap;
};

/**
 * agb_effects_add() - append one zeroed effect
 * Return: the new effect, valid until the next call; aborts when out of
 * memory.
 */
struct agb_effect *agb_effects_add(
    struct agb_effects *out, enum agb_effect_type type);

/**
 * agb_effects_log() - append a log line
 * @event: static string
 * @fmt: printf format of the "key=value" text
 */
void agb_effects_log(struct agb_effects *out, enum agb_log_level level,
    const char *event, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * agb_effects_reply() - append an answer with the standard body
 * @fmt: printf format of the detail text
 */
void agb_effects_reply(struct agb_effects *out, uint64_t call_id,
    int http_status, enum agb_outcome outcome, enum agb_reason reason,
    uint32_t retry_ms, const char *fmt, ...)
    __attribute__((format(printf, 7, 8)));

/**
 * agb_effect_free() - free what an effect owns
 */
void agb_effect_free(struct agb_effect *ef);

/**
 * agb_effects_clear() - free all effects, keep the array
 */
void agb_effects_clear(struct agb_effects *out);

/**
 * agb_effects_free() - free all effects and the array
 */
void agb_effects_free(struct agb_effects *out);

#endif

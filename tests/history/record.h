#ifndef HISTORY_RECORD_H
#define HISTORY_RECORD_H

/**
 * DOC: record
 *
 * What callers, workers and operators saw of one run, in order of time. The
 * checker reads nothing else.
 */

#include <stdio.h>

#include "types.h"

enum record_type {
	REC_CALL,	  /* call, node, job, idempotent, key */
	REC_ANSWER,	  /* call, outcome, reason */
	REC_FORWARDED,	  /* call, content, whole: an upstream's answer */
	REC_CONN_BROKEN,  /* call, node, killed: its connection broke */
	REC_ACCEPTED,	  /* call: a job got its id */
	REC_JOB_DONE,	  /* call, outcome, reason: final state as read */
	REC_RUN_START,	  /* call, task, worker, need: work starts */
	REC_RUN_END,	  /* call, task, worker: it has ended */
	REC_THROTTLE,	  /* worker, need: what a task there gives up */
	REC_WORKER_DEAD,  /* worker: all it ran has ended */
	REC_CAPACITY,	  /* worker, need: what it offers */
	REC_LEAVING,	  /* worker: it has said that it leaves */
	REC_DOC_ACCEPTED, /* version: an operator's change was accepted */
	REC_DOC_IN_FORCE, /* node, incarnation, version */
	REC_TERM,	  /* node: asked to shut down */
	REC_EXIT,	  /* node: it has shut down by itself */
	REC_KILL,	  /* node: killed, or gone after a limit */
	REC_FAULTS_ENDED, /* all faults have healed */
	REC_FINISH,	  /* end of the run */
};

/**
 * struct rec - one observation
 * @call: number of the caller's request; 0 is none
 * @key: number of its idempotency key; 0 is none
 * @job: it asks for a job, else for a quick request
 */
struct history_record {
	agb_time at;
	enum record_type type;
	uint32_t call;
	uint32_t task;
	uint32_t worker;
	uint32_t node;
	uint32_t incarnation;
	uint32_t key;
	uint32_t answered_call;
	bool job;
	bool idempotent;
	bool complete;
	bool killed;
	enum agb_outcome outcome;
	enum agb_reason reason;
	uint64_t version;
	struct agb_resources need;
};

struct history {
	struct history_record *records;
	size_t len;
	size_t cap;
};

/**
 * history_add() - append a zeroed record
 * Return: the record, valid until the next call.
 */
struct history_record *history_add(
    struct history *h, agb_time at, enum record_type type);

/**
 * history_free() - free all records
 */
void history_free(struct history *h);

/**
 * history_print() - one line a record
 * @to: where they are written
 * @from: index of the first record printed
 */
void history_print(const struct history *h, size_t from, FILE *to);

#endif

#ifndef HISTORY_RECORD_H
#define HISTORY_RECORD_H

/**
 * DOC: record
 *
 * The history of one simulation run: events as callers, workers and operators
 * observe them, in order of time. It is the only input of the checker.
 */

#include <stdio.h>

#include "types.h"

/* The comment of each type names the fields that it sets, and its meaning. */
enum record_type {
	REC_CALL,   /* call, node, job, idempotent, key */
	REC_ANSWER, /* call, outcome, reason */
	REC_FORWARDED, /* call, node, answered_call, complete: an upstream's answer */
	REC_CONN_BROKEN, /* call, node, killed: the connection of its caller broke */
	REC_ACCEPTED, /* call: the caller received the id of its job */
	REC_JOB_DONE, /* call, outcome, reason: final state that a poll returned */
	REC_RUN_START, /* call, task, worker, need, version: a run started */
	REC_RUN_END,   /* call, task, worker, need, version: a run ended */
	REC_THROTTLE, /* worker, need: resources released by a throttled task */
	REC_WORKER_DEAD, /* worker: it crashed and all its runs ended */
	REC_CAPACITY,	 /* worker, need: total capacity of the worker */
	REC_LEAVING,	 /* worker: it announced that it leaves */
	REC_DOC_ACCEPTED, /* version: the store accepted an operator's document */
	REC_DOC_IN_FORCE, /* node, incarnation, version: it applies this document */
	REC_TERM,	  /* node: asked to shut down gracefully */
	REC_EXIT,	  /* node: its graceful shutdown is complete */
	REC_KILL,	  /* node: killed, or ended at a time limit */
	REC_FAULTS_ENDED, /* all faults have ended */
	REC_FINISH,	  /* end of the run */
};

/**
 * struct history_record - one observed event
 * @call: number of the caller's request; 0 is none
 * @task: number of the task within its job
 * @incarnation: start count of the instance
 * @key: number of the idempotency key of the request; 0 is none
 * @answered_call: call to which the content of a forwarded answer belongs
 * @job: true for a job submission, false for a quick request
 * @complete: the forwarded answer is not truncated
 * @killed: the connection broke because the instance was killed
 * @version: version of a document; for runs, sequence number of the attempt
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
 * history_add() - append a record whose other fields are zero
 * Return: pointer to the record, valid until the next call.
 */
struct history_record *history_add(
    struct history *h, agb_time at, enum record_type type);

void history_free(struct history *h);

/**
 * history_print() - print one line for each record
 * @from: index of the first record to print
 */
void history_print(const struct history *h, size_t from, FILE *to);

#endif

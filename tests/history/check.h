#ifndef HISTORY_CHECK_H
#define HISTORY_CHECK_H

/**
 * DOC: check
 *
 * Checks a history against the eight safety invariants of the design page and
 * two liveness rules: at the end of a run every request has been answered and
 * every accepted job has a final outcome.
 */

#include "record.h"

enum violation {
	V_NONE,
	V_CAPACITY, /* 1: running work exceeds the capacity of a worker */
	V_CONCURRENT_RUNS, /* 2: two runs of one task overlap */
	V_WRONG_ANSWER, /* 3: the answer is truncated or belongs to another call */
	V_NOT_RUN_BUT_RAN,     /* 4: outcome not-run, but the work ran */
	V_RAN_BUT_DID_NOT,     /* 4: outcome ran, but no work ran */
	V_RUN_TWICE,	       /* 5: non-idempotent work ran twice */
	V_LEAVING_WORKER,      /* 6: a run started on a leaving worker */
	V_SHUTDOWN_BROKE_CONN, /* 7: a graceful shutdown broke an open request */
	V_DOC_REVERTED, /* 8: an instance went back to an older document */
	V_DOC_LATE,	/* 8: an accepted document was not applied in time */
	V_NO_ANSWER,	/* a request has no answer at the end */
	V_NOT_FINAL,	/* an accepted job has no final outcome at the end */
	V_MAX
};

/* Runs may still start on a worker for this long after it announced that it
 * leaves. */
#define CHECK_LEAVING_GRACE (5 * AGB_SEC)
/* Once the faults have ended, every running instance must apply an accepted
 * document within this time. */
#define CHECK_DOC_DELAY_MAX (8 * AGB_SEC)

/**
 * struct check_result - the first violation of a history
 * @violation: V_NONE when the history is correct
 * @record_index: index of the record that violates the rule
 * @call: call without a final outcome, set for V_NOT_FINAL only
 * @text: description of the violation for the report
 */
struct check_result {
	enum violation violation;
	size_t record_index;
	uint32_t call;
	char text[160];
};

/**
 * check_history() - find the first violation in a history
 * @h: history that ends with REC_FINISH
 * @out: overwritten with the result
 * Return: true when the history has no violation.
 */
bool check_history(const struct history *h, struct check_result *out);

/**
 * check_violation_name() - name of a violation as printed in reports
 */
const char *check_violation_name(enum violation v);

#endif

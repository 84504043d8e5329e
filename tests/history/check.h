#ifndef HISTORY_CHECK_H
#define HISTORY_CHECK_H

/**
 * DOC: check
 *
 * Judges a history: the eight invariants of the design page, and that each
 * accepted request has reached a final and true outcome at the end.
 */

#include "record.h"

enum violation {
	V_NONE,
	V_CAPACITY,	       /* 1: more work than an instance has room for */
	V_CONCURRENT_RUNS,     /* 2: a task runs in two places at once */
	V_WRONG_ANSWER,	       /* 3: an answer that is short or another's */
	V_NOT_RUN_BUT_RAN,     /* 4: told not-run, but it ran */
	V_RAN_BUT_DID_NOT,     /* 4: told that it ran, but it did not */
	V_RUN_TWICE,	       /* 5: non-idempotent work ran twice */
	V_LEAVING_WORKER,      /* 6: new work on a leaving upstream */
	V_SHUTDOWN_BROKE_CONN, /* 7: a graceful shutdown cut a request off */
	V_DOC_REVERTED,	       /* 8: an older document came back into force */
	V_DOC_LATE,	       /* 8: an accepted document is not in force */
	V_NO_ANSWER,	       /* a request without an answer at the end */
	V_NOT_FINAL,	       /* an accepted job without a final outcome */
	V_MAX
};

/* New work on a leaving upstream is allowed for this long. */
#define CHECK_LEAVING_GRACE (5 * AGB_SEC)
/* An accepted document is in force everywhere after this long without
 * faults. */
#define CHECK_DOC_DELAY_MAX (8 * AGB_SEC)

/**
 * struct finding - a violation and the record that shows it
 */
struct check_result {
	enum violation violation;
	size_t record_index;
	uint32_t call;
	char text[160];
};

/**
 * check_history() - first violation of a history
 * @h: ends with REC_FINISH
 * @out: filled in
 * Return: true when there is none.
 */
bool check_history(const struct history *h, struct check_result *out);

/**
 * check_name() - short name of a violation
 */
const char *check_violation_name(enum violation v);

#endif

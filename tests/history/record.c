#include "record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

static const char *const names[] = {
    [REC_CALL] = "call",
    [REC_ANSWER] = "answer",
    [REC_FORWARDED] = "forward",
    [REC_CONN_BROKEN] = "broken",
    [REC_ACCEPTED] = "accepted",
    [REC_JOB_DONE] = "job-done",
    [REC_RUN_START] = "run",
    [REC_RUN_END] = "end",
    [REC_THROTTLE] = "throttle",
    [REC_WORKER_DEAD] = "worker-dead",
    [REC_CAPACITY] = "capacity",
    [REC_LEAVING] = "leaving",
    [REC_DOC_ACCEPTED] = "document",
    [REC_DOC_IN_FORCE] = "in-force",
    [REC_TERM] = "term",
    [REC_EXIT] = "exit",
    [REC_KILL] = "kill",
    [REC_FAULTS_ENDED] = "quiet",
    [REC_FINISH] = "finish",
};

struct history_record *
history_add(struct history *h, agb_time at, enum record_type type)
{
	struct history_record *r;

	if (h->len == h->cap) {
		h->cap = h->cap > 0 ? h->cap * 2 : 256;
		h->records = agb_xreallocarray(h->records, h->cap, sizeof(*r));
	}
	r = &h->records[h->len++];
	memset(r, 0, sizeof(*r));
	r->at = at;
	r->type = type;
	return r;
}

void
history_free(struct history *h)
{
	free(h->records);
	memset(h, 0, sizeof(*h));
}

void
history_print(const struct history *h, size_t from, FILE *to)
{
	const struct history_record *r;
	size_t i;

	for (i = from; i < h->len; i++) {
		r = &h->records[i];
		fprintf(to,
		    "%10.3f %-11s call=%u task=%u worker=%u node=%u.%u "
		    "key=%u %s%s outcome=%s reason=%s version=%llu "
		    "content=%u%s\n",
		    (double)r->at / 1e6, names[r->type], r->call, r->task,
		    r->worker, r->node, r->incarnation, r->key,
		    r->job ? "job " : "", r->idempotent ? "idempotent" : "",
		    agb_outcome_name(r->outcome), agb_reason_name(r->reason),
		    (unsigned long long)r->version, r->answered_call,
		    r->complete ? " whole" : "");
	}
}

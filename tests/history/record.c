#include "record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

static const char *const names[] = {
    [REC_CALL] = "call",
    [REC_ANSWER] = "answer",
    [REC_FORWARD] = "forward",
    [REC_BROKEN] = "broken",
    [REC_ACCEPTED] = "accepted",
    [REC_JOB_DONE] = "job-done",
    [REC_RUN] = "run",
    [REC_END] = "end",
    [REC_THROTTLE] = "throttle",
    [REC_WORKER_DEAD] = "worker-dead",
    [REC_CAPACITY] = "capacity",
    [REC_LEAVING] = "leaving",
    [REC_DOC] = "document",
    [REC_IN_FORCE] = "in-force",
    [REC_TERM] = "term",
    [REC_EXIT] = "exit",
    [REC_KILL] = "kill",
    [REC_QUIET] = "quiet",
    [REC_FINISH] = "finish",
};

struct rec *
history_add(struct history *h, agb_time at, enum rec_type type)
{
	struct rec *r;

	if (h->len == h->cap) {
		h->cap = h->cap > 0 ? h->cap * 2 : 256;
		h->items = agb_xreallocarray(h->items, h->cap, sizeof(*r));
	}
	r = &h->items[h->len++];
	memset(r, 0, sizeof(*r));
	r->at = at;
	r->type = type;
	return r;
}

void
history_free(struct history *h)
{
	free(h->items);
	memset(h, 0, sizeof(*h));
}

void
history_print(const struct history *h, size_t from, FILE *to)
{
	const struct rec *r;
	size_t i;

	for (i = from; i < h->len; i++) {
		r = &h->items[i];
		fprintf(to,
		    "%10.3f %-11s call=%u task=%u worker=%u node=%u.%u "
		    "key=%u %s%s outcome=%s reason=%s version=%llu "
		    "content=%u%s\n",
		    (double)r->at / 1e6, names[r->type], r->call, r->task,
		    r->worker, r->node, r->incarnation, r->key,
		    r->job ? "job " : "", r->idempotent ? "idempotent" : "",
		    agb_outcome_name(r->outcome), agb_reason_name(r->reason),
		    (unsigned long long)r->version, r->content,
		    r->whole ? " whole" : "");
	}
}

#include "sched_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Policy of gangs: all tasks at once or none. A gang that has waited for
 * long reserves room on the workers that will have it first; until then the
 * rest of the shard is filled by others.
 */

/* A gang is tried again at most this often. */
#define GANG_RETRY (50 * AGB_MS)

struct place {
	struct sched_worker *worker;
	uint32_t units;
};

static uint32_t
find_places(struct agb_sched *s, const struct agb_resources *need,
    uint32_t want, struct place *places, uint32_t *len)
{
	uint32_t h = 0, n, got = 0;

	*len = 0;
	while (got < want) {
		h = sched_worker_next_fit(s, need, h);
		if (h == AGB_SCHED_NONE)
			break;
		n = sched_units(&s->workers[h].room, need);
		if (n > want - got)
			n = want - got;
		places[(*len)++] = (struct place){&s->workers[h], n};
		got += n;
		h++;
	}
	return got;
}

static void
start_all(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct agb_resources *need, const struct place *places, uint32_t len,
    uint32_t weighed)
{
	const uint32_t want = j->pending;
	uint32_t i, k;
	char why[64];

	snprintf(why, sizeof(why), "gang of %u on %u workers", want, len);
	for (i = 0; i < len; i++) {
		for (k = 0; k < places[i].units; k++)
			sched_task_start(s, now, j, sched_job_next_task(j),
			    places[i].worker, need, weighed, why);
	}
}

static enum sched_block
gang_place(struct agb_sched *s, agb_time now, struct sched_bucket *b,
    struct sched_worker *hint)
{
	const struct agb_resources need = b->need;
	struct sched_job *const j = b->jobs;
	struct place *places;
	uint32_t len, got;

	places = agb_xcalloc(j->pending, sizeof(*places));
	got = find_places(s, &need, j->pending, places, &len);
	if (got >= j->pending) {
		start_all(s, now, j, &need, places, len, len);
		free(places);
		return BLOCK_NONE;
	}
	free(places);
	sched_timer_add(
	    s, now + GANG_RETRY, TIMER_GANG, j->handle, 0, j->serial);
	return BLOCK_ROOM;
}

void
sched_gang_timer(struct agb_sched *s, agb_time now, struct sched_job *j)
{
	if (j->bucket != NULL && j->bucket->jobs == j)
		sched_queue_fresh(s, j->bucket, true);
}

void
sched_gang_release(struct agb_sched *s, struct sched_job *j)
{
}

const struct sched_policy sched_policy_gang = {
    .name = "gang",
    .place = gang_place,
};

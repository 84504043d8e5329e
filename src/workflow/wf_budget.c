#include "wf_budget.h"

#include "wf_leader.h"

/* Part of an instance's memory that is set aside for accepted jobs: the rest is
 * for the program, connections, runners and the tasks that run. */
#define MEMORY_DIVISOR 2
/* The leader tells what is used from this part of the limit on: long before the
 * jobs that are accepted between two of its pushes can reach the limit. */
#define TELL_DIVISOR 4

static uint64_t
spec_bytes(const struct wf_spec *s)
{
	return s->payload_len + s->steps_len * sizeof(*s->steps);
}

/* Memory of the units of one occurrence. */
static uint64_t
occurrence_bytes(const struct wf_spec *s)
{
	uint64_t chunks = 0;
	uint32_t i;

	for (i = 0; i < s->steps_len; i++)
		chunks += s->steps[i].count / WF_TASK_CHUNK + 1;
	return sizeof(struct wf_occurrence) +
	    s->steps_len * sizeof(struct wf_unit) +
	    chunks * sizeof(struct wf_task_chunk);
}

uint64_t
wf_budget_spec_bytes(const struct wf_spec *s)
{
	/* The tasks that are done, in memory, in the state record and in a
	 * write of it. */
	const uint64_t done =
	    3 * ((uint64_t)wf_spec_task_count(s) * s->repeat_count / 8);
	const uint32_t open = s->repeat_count < WF_QUEUED_UNITS_MAX
	    ? s->repeat_count
	    : WF_QUEUED_UNITS_MAX;

	return sizeof(struct wf_job) + sizeof(struct wf_exec) + spec_bytes(s) +
	    done + open * occurrence_bytes(s);
}

static uint64_t
job_bytes(const struct wf_job *j)
{
	if (j->spec_rev == 0 || wf_job_state_is_final(j->state))
		return sizeof(*j) + spec_bytes(&j->spec) + j->state_record_len;
	return wf_budget_spec_bytes(&j->spec);
}

uint64_t
wf_budget_used(const struct wf_table *t)
{
	const struct wf_job *j;
	uint64_t bytes = 0;

	for (j = t->jobs; j != NULL; j = j->hh.next)
		bytes += job_bytes(j);
	return bytes;
}

uint64_t
wf_budget_limit(const struct wf_table *t, uint32_t memory_mb)
{
	const struct wf_peer *p;
	uint32_t min_mb = memory_mb > 0 ? memory_mb : UINT32_MAX;

	for (p = t->peers; p != NULL; p = p->hh.next) {
		if (p->memory_mb > 0 && p->memory_mb < min_mb)
			min_mb = p->memory_mb;
	}
	if (min_mb == UINT32_MAX)
		return UINT64_MAX;
	return (uint64_t)min_mb * 1024 * 1024 / MEMORY_DIVISOR;
}

bool
wf_budget_must_tell(uint64_t used, uint64_t limit)
{
	return used > limit / TELL_DIVISOR;
}

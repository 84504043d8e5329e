/* What a test can observe. */

#include <string.h>

#include "world.h"

int
sim_leader(const struct sim *s)
{
	struct wf_gauges g;
	unsigned i;

	for (i = 0; i < s->o.cores; i++) {
		if (!s->cores[i].up || s->now < s->cores[i].frozen_until)
			continue;
		wf_core_get_gauges(s->cores[i].core, s->now + AGB_SEC, &g);
		if (g.is_leader)
			return (int)i;
	}
	return -1;
}

const char *
sim_state(struct sim *s, const char *id)
{
	const char *state, *best;
	unsigned i;

	best = NULL;
	for (i = 0; i < s->o.cores; i++) {
		if (!s->cores[i].up)
			continue;
		state = wf_core_job_state(s->cores[i].core, id);
		if (state != NULL &&
		    (best == NULL || strcmp(state, "queued") != 0) &&
		    (best == NULL || strcmp(best, "queued") == 0 ||
			strcmp(state, "running") != 0))
			best = state;
	}
	return best != NULL ? best : "unknown";
}

unsigned
sim_start_count(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->starts : 0;
}

unsigned
sim_total_start_count(const struct sim *s)
{
	unsigned n = 0;
	size_t i;

	for (i = 0; i < s->jobs_len; i++)
		n += s->jobs[i].starts;
	return n;
}

int64_t
sim_running_cpu_milli(const struct sim *s)
{
	int64_t sum = 0;
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; s->runners[ri].up && i < s->runners[ri].runs_len;
		     i++)
			sum += s->runners[ri].runs[i].need.cpu_milli;
	}
	return sum;
}

uint64_t
sim_bytes_sent(const struct sim *s, unsigned ci)
{
	return s->cores[ci].bytes_sent;
}

unsigned
sim_started_at_ms(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? (unsigned)(j->started_at / SIM_MS) : 0;
}

struct agb_resources
sim_account_used(const struct sim *s, const char *account)
{
	struct agb_resources sum = {0};
	const struct sim_job *j;
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; s->runners[ri].up && i < s->runners[ri].runs_len;
		     i++) {
			const struct wf_task_ref *const t =
			    &s->runners[ri].runs[i].task;

			j = sim_job_find(s, t->job);
			if (j != NULL && strcmp(j->spec.account, account) == 0)
				agb_resources_add(
				    &sum, &j->spec.steps[t->step].need);
		}
	}
	return sum;
}

unsigned
sim_ended_at_ms(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	uint32_t i, len;

	if (j == NULL)
		return 0;
	len = j->spec.repeat_count * wf_spec_task_count(&j->spec);
	for (i = 0; i < len; i++) {
		if (!j->tasks[i].done)
			return 0;
	}
	return (unsigned)(j->done_at / SIM_MS);
}

unsigned
sim_account_lines(const struct sim *s)
{
	return s->account_lines;
}

unsigned
sim_gang_timeouts(const struct sim *s)
{
	return s->gang_timeouts;
}

unsigned
sim_done_at_ms(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? (unsigned)(j->done_at / SIM_MS) : 0;
}

unsigned
sim_remote_count(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->remote : 0;
}

unsigned
sim_wait_lines(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->wait_lines : 0;
}

const char *
sim_wait_line(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->wait_line : "";
}

unsigned
sim_running_count(const struct sim *s, const char *id)
{
	unsigned ri, n;
	size_t i;

	n = 0;
	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; s->runners[ri].up && i < s->runners[ri].runs_len;
		     i++)
			n += strcmp(s->runners[ri].runs[i].task.job, id) == 0;
	}
	return n;
}

unsigned
sim_runner_of(const struct sim *s, const char *id)
{
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; i < s->runners[ri].runs_len; i++) {
			if (strcmp(s->runners[ri].runs[i].task.job, id) == 0)
				return ri;
		}
	}
	return UINT32_MAX;
}

unsigned
sim_response_ms(struct sim *s, const char *id)
{
	const unsigned ri = sim_runner_of(s, id);

	return ri == UINT32_MAX ? 0
				: sim_runner_response_ms(s, &s->runners[ri]);
}

unsigned
sim_submit_status(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->status : 0;
}

unsigned
sim_get_status(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->get_status : 0;
}

const char *
sim_get_state(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? wf_job_state_name(j->get_state) : "";
}

unsigned
sim_elsewhere_status(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->elsewhere_status : 0;
}

unsigned
sim_submit_retry_s(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->retry_s : 0;
}

unsigned
sim_cancel_status(const struct sim *s, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	return j != NULL ? j->cancel_status : 0;
}

unsigned
sim_store_calls(const struct sim *s)
{
	return s->store_calls;
}

unsigned
sim_relayed_writes(const struct sim *s)
{
	return s->relayed_writes;
}

unsigned
sim_relayed_orders(const struct sim *s)
{
	return s->relayed_orders;
}

unsigned
sim_direct_orders(const struct sim *s)
{
	return s->direct_orders;
}

unsigned
sim_payload_bytes(const struct sim *s)
{
	return s->payload_bytes;
}

unsigned
sim_full_reads(const struct sim *s)
{
	return s->full_reads;
}

unsigned
sim_dispatch_ms(const struct sim *s, unsigned ci)
{
	return (
	    unsigned)(wf_meter_dispatch_time(wf_core_meter(s->cores[ci].core)) /
	    SIM_MS);
}

uint64_t
sim_examined(const struct sim *s, unsigned ci)
{
	return wf_core_meter(s->cores[ci].core)->total.examined;
}

uint64_t
sim_tally(const struct sim *s, unsigned ci, enum wf_tally tally)
{
	return wf_core_meter(s->cores[ci].core)->total.tallies[tally];
}

unsigned
sim_load_lines(const struct sim *s)
{
	return s->load_lines;
}

unsigned
sim_advice_calls(const struct sim *s)
{
	return s->advice_calls;
}

unsigned
sim_advice_runners(const struct sim *s)
{
	return s->advice_runners;
}

unsigned
sim_job_count(const struct sim *s)
{
	return (unsigned)s->jobs_len;
}

unsigned
sim_final_job_count(struct sim *s)
{
	const char *state;
	unsigned n;
	size_t i;

	n = 0;
	for (i = 0; i < s->jobs_len; i++) {
		state = sim_state(s, s->jobs[i].id);
		n += strcmp(state, "completed") == 0 ||
		    strcmp(state, "failed") == 0 ||
		    strcmp(state, "cancelled") == 0;
	}
	return n;
}

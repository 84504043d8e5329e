#include <stdio.h>
#include <stdlib.h>

#include "mem.h"
#include "world.h"

static void
set_rack(struct wf_runner_info *info, unsigned rack)
{
	snprintf(info->labels[0], sizeof(info->labels[0]), "rack-%u", rack);
	info->labels_len = 1;
}

struct sim *
sim_new(const struct sim_options *o)
{
	struct sim *const s = agb_xcalloc(1, sizeof(*s));
	struct sim_runner *r;
	unsigned i;

	s->o = *o;
	if (s->o.max_attempts == 0)
		s->o.max_attempts = 3;
	if (s->o.ticket_ms == 0)
		s->o.ticket_ms = TICKET_MS;
	if (s->o.latency_ms == 0)
		s->o.latency_ms = 2;
	s->random = o->seed * 2654435761U + 88172645463325252ULL;
	s->rev = 1;
	s->jobs = agb_xcalloc(JOBS_MAX, sizeof(*s->jobs));
	s->doc_version = 1;
	s->accounts = agb_xcalloc(o->accounts_len + 1, sizeof(*s->accounts));
	for (i = 0; i < o->accounts_len; i++)
		s->accounts[i].set = o->accounts[i];
	for (i = 0; i < o->runners; i++) {
		r = &s->runners[i];
		snprintf(r->info.id, sizeof(r->info.id), "r-%u", i);
		snprintf(r->info.addr, sizeof(r->info.addr), "10.1.0.%u:1", i);
		agb_str_copy(r->info.service, sizeof(agb_id), "svc");
		agb_str_copy(
		    r->info.domain, sizeof(agb_id), sim_domain_of(s, i));
		r->info.capacity.cpu_milli = o->cpu_milli;
		r->info.capacity.mem_mb = 65536;
		r->info.started_ms = UNIX_BASE_MS - RUNNER_AGE_MS;
		r->info.remaining_ms = -1;
		if (o->rack_size > 0)
			set_rack(&r->info, i / o->rack_size);
		r->clock_base_ms = CLOCK_BASE_MS;
		r->entry = r->info;
		r->up = true;
		r->listed = true;
	}
	for (i = 0; i < o->cores; i++) {
		s->cores[i].s = s;
		s->cores[i].cpu.speed_percent = o->processor_percent;
		s->cores[i].link_kbps = o->link_kbps;
		sim_schedule(s, (agb_time)(i + 1) * 10 * SIM_MS, sim_core_start)
		    ->core = i;
	}
	sim_schedule(s, SIM_MS, sim_expire_leases);
	sim_schedule(s, SIM_MS, sim_step_runners);
	sim_schedule(s, SIM_MS, sim_update_registry);
	return s;
}

/* Frees an event that is dropped. */
static void
event_free(struct sim_event *e)
{
	if (e->free_data != NULL && e->data != NULL)
		e->free_data(e->data);
	free(e);
}

void
sim_free(struct sim *s)
{
	struct sim_event *e;
	unsigned i;
	size_t k;

	while (s->heap_len > 0)
		event_free(sim_pop_event(s));
	for (i = 0; i < s->o.cores; i++) {
		while ((e = s->cores[i].waiting) != NULL) {
			s->cores[i].waiting = e->next;
			event_free(e);
		}
	}
	free(s->heap);
	for (i = 0; i < s->o.cores; i++)
		wf_core_free(s->cores[i].core);
	for (i = 0; i < s->o.runners; i++) {
		free(s->runners[i].runs);
		free(s->runners[i].finished);
		free(s->runners[i].barred);
	}
	HASH_CLEAR(hh, s->jobs_by_id);
	for (k = 0; k < s->jobs_len; k++) {
		wf_spec_free(&s->jobs[k].spec);
		free(s->jobs[k].tasks);
	}
	for (k = 0; k < s->kvs_len; k++) {
		free(s->kvs[k].key);
		free(s->kvs[k].val);
	}
	for (k = 0; k < s->history_len; k++) {
		free(s->history[k].key);
		free(s->history[k].val);
	}
	free(s->kvs);
	free(s->history);
	free(s->leases);
	free(s->puts);
	free(s->calls);
	free(s->payload_requests);
	free(s->jobs);
	free(s->accounts);
	free(s);
}

void
sim_run(struct sim *s, unsigned ms)
{
	const agb_time until = s->now + ms * SIM_MS;
	struct sim_event *e;

	while (s->heap_len > 0 && s->heap[0]->at <= until) {
		e = sim_pop_event(s);
		s->now = e->at;
		e->fn(s, e);
		free(e);
	}
	s->now = until;
}

unsigned
sim_now_ms(const struct sim *s)
{
	return (unsigned)(s->now / SIM_MS);
}

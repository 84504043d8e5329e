/* Clients: jobs, their submission and cancellation. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

/* Request of a client. */
struct client_call {
	struct wf_call call;
};

struct sim_job *
sim_job_find(const struct sim *s, const char *id)
{
	struct sim_job *j;

	HASH_FIND_STR(s->jobs_by_id, id, j);
	return j;
}

struct sim_task *
sim_task_find(struct sim_job *j, const struct wf_task_ref *ref)
{
	uint32_t i, at;

	at = ref->occurrence * wf_spec_task_count(&j->spec);
	for (i = 0; i < ref->step; i++)
		at += j->spec.steps[i].count;
	return &j->tasks[at + ref->index];
}

/* Calls are numbered by job and kind. */
enum {
	CALL_SUBMIT,
	CALL_CANCEL,
	CALL_GET,
	CALL_ELSEWHERE,
	CALLS_PER_JOB,
};

static void
take_cancel_reply(struct sim *s, struct sim_job *j, const struct wf_effect *ef)
{
	j->cancel_status = (unsigned)ef->u.reply.http_status;
	if (j->cancel_status == 200 || j->cancel_status == 410) {
		j->cancel_acked = true;
		j->cancel_at = s->now;
	}
}

void
sim_take_reply(struct sim *s, const struct wf_effect *ef)
{
	struct sim_job *j;
	wf_job_id namesake;
	size_t i;

	i = ef->call_id / CALLS_PER_JOB;
	if (i >= s->jobs_len)
		return;
	j = &s->jobs[i];
	switch (ef->call_id % CALLS_PER_JOB) {
	case CALL_SUBMIT:
		j->status = (unsigned)ef->u.reply.http_status;
		j->retry_s = ef->u.reply.retry_s;
		if (j->status == 200 && j->accepted_at == 0)
			j->accepted_at = s->now;
		break;
	case CALL_CANCEL:
		take_cancel_reply(s, j, ef);
		break;
	case CALL_GET:
		j->get_status = (unsigned)ef->u.reply.http_status;
		sim_check_shown(s, j, ef->u.reply.state);
		break;
	default:
		j->elsewhere_status = (unsigned)ef->u.reply.http_status;
		wf_job_id_make(namesake, j->id, 1);
		if (j->elsewhere_status == 200 &&
		    sim_job_find(s, namesake) == NULL)
			sim_report_violation(s,
			    "elsewhere: %s is shown or cancelled by a queue to "
			    "which it was not submitted",
			    j->id);
	}
}

static void
client_call_free(void *data)
{
	struct client_call *const c = data;

	if (c->call.spec != NULL) {
		wf_spec_free(c->call.spec);
		free(c->call.spec);
	}
	free(c);
}

static void
client_call_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_CALL};
	struct client_call *const c = e->data;

	if (sim_deliver_or_postpone(s, e, client_call_arrives)) {
		ev.u.call = &c->call;
		sim_handle_event(s, e->core, &ev);
	} else if (e->data == NULL) {
		return;
	}
	client_call_free(c);
}

struct wf_spec *
sim_new_spec(uint32_t count, uint32_t cpu, uint32_t ms)
{
	struct wf_spec *const spec = agb_xcalloc(1, sizeof(*spec));

	spec->repeat_count = 1;
	spec->payload = agb_xstrdup("x");
	spec->payload_len = 1;
	sim_add_step(spec, count, cpu, ms);
	return spec;
}

struct wf_step *
sim_add_step(struct wf_spec *spec, uint32_t count, uint32_t cpu, uint32_t ms)
{
	struct wf_step *step;

	spec->steps = agb_xreallocarray(
	    spec->steps, spec->steps_len + 1, sizeof(*spec->steps));
	step = &spec->steps[spec->steps_len];
	memset(step, 0, sizeof(*step));
	if (spec->steps_len > 0)
		step->after = (uint64_t)1 << (spec->steps_len - 1);
	spec->steps_len++;
	step->count = count;
	step->need.cpu_milli = cpu;
	step->need.mem_mb = 16;
	step->estimate_ms = ms;
	return step;
}

static void
spec_copy(const struct wf_spec *src, struct wf_spec *dst)
{
	*dst = *src;
	dst->payload = agb_xmemdup(src->payload, src->payload_len);
	dst->steps = agb_xcalloc(src->steps_len, sizeof(*dst->steps));
	memcpy(dst->steps, src->steps, src->steps_len * sizeof(*dst->steps));
}

static void
send_call_to(struct sim *s, unsigned ci, uint64_t id, enum wf_call_kind kind,
    size_t queue, const char *job, struct wf_spec *spec)
{
	struct client_call *const c = agb_xcalloc(1, sizeof(*c));
	struct wf_event ev = {.type = WF_EV_CALL, .u.call = &c->call};

	c->call.id = id;
	c->call.kind = kind;
	c->call.spec = spec;
	agb_str_copy(c->call.host, sizeof(c->call.host), "h");
	snprintf(c->call.path, sizeof(c->call.path), "/%s/%.*s",
	    s->o.queues_len > 0 ? s->o.queues[queue].name : "q",
	    (int)wf_job_id_digits_len(job), job);
	if (s->cores[ci].up && s->now >= s->cores[ci].frozen_until) {
		if (sim_is_busy(s, &s->cores[ci])) {
			sim_attach(
			    sim_schedule_core(s, ci, 0, client_call_arrives), c,
			    client_call_free);
			return;
		}
		sim_handle_event(s, ci, &ev);
	}
	client_call_free(c);
}

static void
send_call(struct sim *s, unsigned ci, unsigned call, enum wf_call_kind kind,
    const char *id, struct wf_spec *spec)
{
	const struct sim_job *const j = sim_job_find(s, id);

	send_call_to(s, ci, (uint64_t)(j - s->jobs) * CALLS_PER_JOB + call,
	    kind, j->queue, id, spec);
}

void
sim_submit(struct sim *s, unsigned ci, const char *id, struct wf_spec *spec)
{
	sim_submit_to(s, ci, 0, id, spec);
}

void
sim_submit_to(struct sim *s, unsigned ci, size_t queue, const char *id,
    struct wf_spec *spec)
{
	struct sim_job *const j = &s->jobs[s->jobs_len++];

	j->queue = queue;
	agb_str_copy(j->id, sizeof(j->id), id);
	HASH_ADD_STR(s->jobs_by_id, id, j);
	if (id[wf_job_id_digits_len(id)] != '\0') {
		free(spec->payload);
		spec->payload = agb_xstrdup(id + wf_job_id_digits_len(id));
		spec->payload_len = strlen(spec->payload);
	}
	spec_copy(spec, &j->spec);
	j->tasks =
	    agb_xcalloc((size_t)spec->repeat_count * wf_spec_task_count(spec),
		sizeof(*j->tasks));
	send_call(s, ci, CALL_SUBMIT, WF_CALL_SUBMIT, id, spec);
}

void
sim_submit_again(struct sim *s, unsigned ci, const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);
	struct wf_spec *const spec = agb_xcalloc(1, sizeof(*spec));

	spec_copy(&j->spec, spec);
	send_call(s, ci, CALL_SUBMIT, WF_CALL_SUBMIT, id, spec);
}

void
sim_cancel(struct sim *s, unsigned ci, const char *id)
{
	sim_job_find(s, id)->cancel_sent = true;
	send_call(s, ci, CALL_CANCEL, WF_CALL_CANCEL, id, NULL);
}

void
sim_get(struct sim *s, unsigned ci, const char *id)
{
	send_call(s, ci, CALL_GET, WF_CALL_GET, id, NULL);
}

static void
send_elsewhere(struct sim *s, unsigned ci, enum wf_call_kind kind, size_t queue,
    const char *id)
{
	const struct sim_job *const j = sim_job_find(s, id);

	send_call_to(s, ci,
	    (uint64_t)(j - s->jobs) * CALLS_PER_JOB + CALL_ELSEWHERE, kind,
	    queue, id, NULL);
}

void
sim_get_elsewhere(struct sim *s, unsigned ci, size_t queue, const char *id)
{
	send_elsewhere(s, ci, WF_CALL_GET, queue, id);
}

void
sim_cancel_elsewhere(struct sim *s, unsigned ci, size_t queue, const char *id)
{
	sim_job_find(s, id)->cancelled_elsewhere = true;
	send_elsewhere(s, ci, WF_CALL_CANCEL, queue, id);
}

#include "wf_types.h"

#include <stdlib.h>
#include <string.h>

const char *
wf_job_state_name(enum wf_job_state s)
{
	static const char *const names[] = {
	    [WF_JOB_QUEUED] = "queued",
	    [WF_JOB_RUNNING] = "running",
	    [WF_JOB_COMPLETED] = "completed",
	    [WF_JOB_FAILED] = "failed",
	    [WF_JOB_CANCELLED] = "cancelled",
	};

	return names[s];
}

void
wf_spec_free(struct wf_spec *s)
{
	free(s->payload);
	free(s->steps);
	memset(s, 0, sizeof(*s));
}

uint32_t
wf_spec_task_count(const struct wf_spec *s)
{
	uint32_t i, n;

	n = 0;
	for (i = 0; i < s->steps_len; i++)
		n += s->steps[i].count;
	return n;
}

void
wf_doc_free(struct wf_doc *doc)
{
	if (doc == NULL)
		return;
	free(doc->queues);
	free(doc->services);
	free(doc);
}

static void
count_compared(const struct wf_doc *doc)
{
	if (doc->compared != NULL)
		(*doc->compared)++;
}

const struct wf_queue *
wf_doc_queue(const struct wf_doc *doc, const char *name)
{
	size_t i;

	for (i = 0; doc != NULL && i < doc->queues_len; i++) {
		count_compared(doc);
		if (strcmp(doc->queues[i].name, name) == 0)
			return &doc->queues[i];
	}
	return NULL;
}

const struct wf_queue *
wf_doc_route(const struct wf_doc *doc, const char *host, const char *path)
{
	const struct wf_queue *best, *q;
	size_t best_len, len, i;

	best = NULL;
	best_len = 0;
	for (i = 0; doc != NULL && i < doc->queues_len; i++) {
		count_compared(doc);
		q = &doc->queues[i];
		len = strlen(q->path_prefix);
		if (strcasecmp(q->host, host) != 0 ||
		    strncmp(q->path_prefix, path, len) != 0 ||
		    (best != NULL && len <= best_len))
			continue;
		best = q;
		best_len = len;
	}
	return best;
}

const struct wf_service *
wf_doc_service(const struct wf_doc *doc, const char *name)
{
	size_t i;

	for (i = 0; doc != NULL && i < doc->services_len; i++) {
		if (strcmp(doc->services[i].name, name) == 0)
			return &doc->services[i];
	}
	return NULL;
}

struct agb_resources
wf_step_reserved(const struct wf_step *step)
{
	struct agb_resources need = step->need;

	if (step->best_effort)
		need.cpu_milli = 0;
	return need;
}

static uint32_t
units_that_fit(int64_t room, int64_t need)
{
	if (need <= 0)
		return UINT32_MAX;
	if (room < need)
		return 0;
	return (uint32_t)(room / need);
}

uint32_t
wf_step_fit_count(const struct wf_step *step, struct agb_resources room)
{
	uint32_t n, k;

	n = units_that_fit(room.cpu_milli, step->need.cpu_milli);
	k = units_that_fit(room.mem_mb, step->need.mem_mb);
	n = k < n ? k : n;
	k = units_that_fit(room.accel, step->need.accel);
	return k < n ? k : n;
}

bool
wf_runner_has_label(const struct wf_runner_info *r, const char *label)
{
	uint32_t i;

	if (label[0] == '\0')
		return true;
	for (i = 0; i < r->labels_len; i++) {
		if (strcmp(r->labels[i], label) == 0)
			return true;
	}
	return false;
}

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

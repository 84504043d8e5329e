#include "wf_job_id.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEPARATOR '~'

size_t
wf_job_id_digits_len(const char *id)
{
	return strcspn(id, (const char[]){SEPARATOR, '\0'});
}

void
wf_job_id_make(wf_job_id id, const char *digits, uint32_t ordinal)
{
	const size_t len = wf_job_id_digits_len(digits);
	const int shown = (int)(len < WF_JOB_DIGITS ? len : WF_JOB_DIGITS);

	if (ordinal == 0)
		snprintf(id, WF_JOB_ID_LEN, "%.*s", shown, digits);
	else
		snprintf(id, WF_JOB_ID_LEN, "%.*s%c%" PRIx32, shown, digits,
		    SEPARATOR, ordinal % WF_JOBS_PER_ID);
}

uint32_t
wf_job_id_ordinal(const char *id)
{
	const char *const end = id + wf_job_id_digits_len(id);

	return *end == SEPARATOR ? (uint32_t)strtoul(end + 1, NULL, 16) : 0;
}

bool
wf_job_id_same_digits(const char *a, const char *b)
{
	const size_t len = wf_job_id_digits_len(a);

	return len == wf_job_id_digits_len(b) && strncmp(a, b, len) == 0;
}

uint32_t
wf_run_ordinal(uint32_t run)
{
	return run < WF_SHARED_RUN_MIN ? 0 : run % WF_JOBS_PER_ID;
}

void
wf_job_id_of_run(wf_job_id id, const char *digits, uint32_t run)
{
	wf_job_id_make(id, digits, wf_run_ordinal(run));
}

uint32_t
wf_run_next(uint32_t after, uint32_t ordinal, bool shared)
{
	uint32_t run = after + 1;

	if (!shared && ordinal == 0 && run < WF_SHARED_RUN_MIN)
		return run;
	if (run < WF_SHARED_RUN_MIN)
		run = WF_SHARED_RUN_MIN;
	return run +
	    (ordinal + WF_JOBS_PER_ID - run % WF_JOBS_PER_ID) % WF_JOBS_PER_ID;
}

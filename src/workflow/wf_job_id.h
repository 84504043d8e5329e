#ifndef WF_JOB_ID_H
#define WF_JOB_ID_H

/**
 * DOC: wf_job_id
 *
 * Keys of jobs. A client chooses the digits of a job's id, which are unique
 * within one queue only. The key of the first job with some digits is the digits
 * themselves; that of each further one, which belongs to another queue, ends with
 * '~' and its ordinal. Everything that refers to a job within the product uses
 * its key.
 *
 * The names of tasks at the runners have the digits only, so that the tasks of
 * jobs with the same digits have the same names there. Their runs are told apart
 * by their numbers: a number from WF_SHARED_RUN_MIN on holds the ordinal of the
 * job, and lower ones belong to the job with ordinal 0. A runner rejects each run
 * that is not higher than one that it has ended, whichever job that belonged to:
 * jobs that share their digits therefore take their numbers from one rising
 * sequence.
 */

#include "wf_types.h"

/* Number of jobs that may have the same digits at the same time. */
#define WF_JOBS_PER_ID 16
/* Lowest number of a run that holds the ordinal of its job. A task without a
 * namesake reaches it after a million restarts. */
#define WF_SHARED_RUN_MIN ((uint32_t)1 << 20)

/**
 * wf_job_id_make() - make the key of a job
 * @digits: digits of its id; what follows them is left out
 */
void wf_job_id_make(wf_job_id id, const char *digits, uint32_t ordinal);

/**
 * wf_job_id_ordinal() - ordinal of a job among those with the same digits
 */
uint32_t wf_job_id_ordinal(const char *id);

/**
 * wf_job_id_digits_len() - length of the digits that a key begins with
 */
size_t wf_job_id_digits_len(const char *id);

/**
 * wf_job_id_same_digits() - whether two keys have the same digits
 */
bool wf_job_id_same_digits(const char *a, const char *b);

/**
 * wf_run_ordinal() - ordinal of the job that a run belongs to
 */
uint32_t wf_run_ordinal(uint32_t run);

/**
 * wf_job_id_of_run() - make the key of the job that a run at a runner belongs to
 * @digits: digits in the name of its task
 */
void wf_job_id_of_run(wf_job_id id, const char *digits, uint32_t run);

/**
 * wf_run_next() - number of the next run of a task
 * @after: highest number so far of this task, and if the job shares its digits,
 *	of all tasks that may have the same name
 * @shared: whether the job shares its digits with another one
 */
uint32_t wf_run_next(uint32_t after, uint32_t ordinal, bool shared);

#endif

#include "sched_internal.h"

/*
 * Bad workers and bad jobs, told apart by who else fails.
 */

void
sched_health_ended(struct agb_sched *s, agb_time now, struct sched_job *j,
    const struct sched_ending *e)
{
}

void
sched_health_timer(
    struct agb_sched *s, agb_time now, const struct sched_timer *t)
{
}

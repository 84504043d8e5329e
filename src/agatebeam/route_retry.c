#include <stdlib.h>

#include "mem.h"
#include "route_internal.h"

/* Base of the retry delay, which doubles with each attempt. */
#define RETRY_DELAY_BASE (10 * AGB_MS)
#define RETRY_DELAY_MAX (1 * AGB_SEC)
/* Capacity of a service's retry budget, available to a burst of failures. */
#define BUDGET_TOKENS_MAX 20.0
/* Maximum number of retries after refusals by runners. A refused request has
 * not run, so these need no budget. */
#define REFUSED_RETRIES_MAX 5

static struct route_budget *
budget_get(struct agb_route *r, const char *work)
{
	struct route_budget *b;

	HASH_FIND_STR(r->budgets, work, b);
	if (b == NULL) {
		b = agb_xcalloc(1, sizeof(*b));
		agb_str_copy(b->work, sizeof(b->work), work);
		b->tokens = BUDGET_TOKENS_MAX / 2;
		HASH_ADD_STR(r->budgets, work, b);
	}
	return b;
}

const struct agb_env_class *
route_class(const struct route_call *c, const struct agb_route_input *in)
{
	uint16_t w;

	if (in->env == NULL)
		return NULL;
	w = agb_env_work_find(in->env, c->work);
	if (w == AGB_ENV_NONE)
		return NULL;
	return &in->env->classes[in->env->works[w].class_index];
}

/* Each new request earns a fraction of a retry, so that retries increase the
 * load by at most that fraction, whatever the failure rate. */
void
route_budget_earn(struct agb_route *r, const struct route_call *c,
    const struct agb_route_input *in)
{
	struct route_budget *const b = budget_get(r, c->work);
	const struct agb_env_class *const k = route_class(c, in);

	b->tokens += k != NULL ? k->retry_budget_percent / 100.0 : 0;
	if (b->tokens > BUDGET_TOKENS_MAX)
		b->tokens = BUDGET_TOKENS_MAX;
}

static bool
budget_take(struct agb_route *r, const struct route_call *c)
{
	struct route_budget *const b = budget_get(r, c->work);

	if (b->tokens < 1.0)
		return false;
	b->tokens -= 1.0;
	return true;
}

agb_time
route_retry_at(struct agb_route *r, agb_time now, uint32_t attempt)
{
	agb_time pause;

	pause = RETRY_DELAY_BASE << (attempt < 7 ? attempt : 7);
	if (pause > RETRY_DELAY_MAX)
		pause = RETRY_DELAY_MAX;
	/* Full jitter prevents requests that failed at the same time from
	 * being retried at the same time. */
	return now + (agb_time)(erand48(r->rng) * (double)pause) + 1;
}

bool
route_may_retry(struct agb_route *r, struct route_call *c,
    const struct agb_ev_upstream *u, const struct agb_route_input *in)
{
	const struct agb_env_class *const k = route_class(c, in);

	if (u->result == AGB_RESULT_NOT_STARTED)
		return c->attempts <= REFUSED_RETRIES_MAX;
	if (!c->idempotent || k == NULL || c->attempts > k->retries)
		return false;
	return budget_take(r, c);
}

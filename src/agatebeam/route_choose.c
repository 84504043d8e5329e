#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "route_internal.h"

/* Assumed round-trip times between failure domains of one region, and between
 * regions. */
#define RTT_SAME_REGION_MS 2.0
#define RTT_CROSS_REGION_MS 16.0
/* Minimum traffic charged for a request and its response across regions. */
#define CROSS_REGION_MIN_KB 1.0

struct candidate {
	uint16_t domain;
	double cost;
	const char *owner;
};

const char *
route_owner_address(const struct agb_route *r, agb_time now,
    const struct agb_route_input *in, const char *domain)
{
	const struct agb_shard_view *v;

	if (strcmp(domain, r->cfg.domain) == 0)
		return in->owner;
	v = agb_member_shard_find(in->member, now, domain);
	return v != NULL ? v->owner : "";
}

static void
refused_domains_sync(struct route_call *c, const struct agb_env *env)
{
	if (c->refused_env_version == env->version)
		return;
	c->refused_env_version = env->version;
	c->refused_domains = 0;
}

void
route_mark_refused(
    struct route_call *c, const struct agb_route_input *in, const char *domain)
{
	uint16_t d;

	if (in->env == NULL)
		return;
	refused_domains_sync(c, in->env);
	d = agb_env_domain_find(in->env, domain);
	if (d != AGB_ENV_NONE)
		c->refused_domains |= UINT32_C(1) << d;
}

static uint32_t
expected_wait_ms(const struct agb_route *r, agb_time now,
    const struct agb_route_input *in, const char *domain)
{
	const struct agb_shard_view *v;

	if (in->shard != NULL && strcmp(domain, r->cfg.domain) == 0)
		return in->shard->wait_ms;
	v = agb_member_shard_find(in->member, now, domain);
	return v != NULL ? v->wait_ms : 0;
}

/* Cost of sending a request to a domain, in units of the document's weights:
 * the expected queueing delay plus the round-trip time, and the billed
 * cross-region traffic. */
static double
domain_cost(const struct agb_route *r, agb_time now, const struct route_call *c,
    const struct agb_route_input *in, uint16_t d)
{
	const struct agb_env *const env = in->env;
	const struct agb_env_domain *const dom = &env->domains[d];
	const double wait = expected_wait_ms(r, now, in, dom->name);
	double kb;

	if (strcmp(dom->name, r->cfg.domain) == 0)
		return env->weights.wait * wait;
	if (strcmp(env->regions[dom->region], r->cfg.region) == 0)
		return env->weights.wait * (wait + RTT_SAME_REGION_MS);
	kb = (double)c->body_bytes / 1024.0;
	if (kb < CROSS_REGION_MIN_KB)
		kb = CROSS_REGION_MIN_KB;
	return env->weights.wait * (wait + RTT_CROSS_REGION_MS) +
	    env->weights.cross_region_kb * kb;
}

/* Maps an idempotency key to a domain by rendezvous hashing over the allowed
 * domains, so that all requests with the same key reach the same owner. */
static uint16_t
keyed_domain(
    const struct route_call *c, const struct agb_env *env, uint32_t allowed)
{
	uint64_t h, best_hash;
	uint16_t d, best;

	best = AGB_ENV_NONE;
	best_hash = 0;
	for (d = 0; d < env->domains_len; d++) {
		if ((allowed & UINT32_C(1) << d) == 0)
			continue;
		h = XXH64(c->team, strlen(c->team) + 1, 0);
		h = XXH64(c->key, strlen(c->key) + 1, h);
		h = XXH64(
		    env->domains[d].name, strlen(env->domains[d].name), h);
		if (best == AGB_ENV_NONE || h > best_hash) {
			best = d;
			best_hash = h;
		}
	}
	return best;
}

static uint32_t
allowed_domains(const struct route_call *c, const struct agb_env *env)
{
	const uint16_t w = agb_env_work_find(env, c->work);
	uint32_t allowed;
	uint16_t d;

	if (w == AGB_ENV_NONE)
		return 0;
	allowed = env->works[w].domains;
	if (c->pinned_domain[0] != '\0') {
		d = agb_env_domain_find(env, c->pinned_domain);
		return d != AGB_ENV_NONE ? allowed & UINT32_C(1) << d : 0;
	}
	if (c->key[0] != '\0' &&
	    (c->kind == AGB_CALL_JOB_SUBMIT || !c->idempotent)) {
		d = keyed_domain(c, env, allowed);
		return d != AGB_ENV_NONE ? UINT32_C(1) << d : 0;
	}
	return allowed;
}

static void
log_choice(const struct agb_route *r, const struct route_call *c,
    const struct agb_env *env, const struct candidate *cand, size_t len,
    const struct candidate *best, struct agb_effects *out)
{
	char buf[512];
	size_t used, i;
	int n;

	buf[0] = '\0';
	used = 0;
	for (i = 0; i < len && used < sizeof(buf) - 1; i++) {
		n = snprintf(buf + used, sizeof(buf) - used, "%s%s:%.2f",
		    i > 0 ? "," : "", env->domains[cand[i].domain].name,
		    cand[i].cost);
		if (n > 0)
			used += (size_t)n;
	}
	agb_effects_log(out, AGB_LOG_INFO, "route",
	    "request=%s team=%s work=%s ask=%u candidates=\"%s\" choice=%s "
	    "reason=%s",
	    c->request_id, c->team, c->work, c->rpcs_sent + 1, buf,
	    best != NULL ? env->domains[best->domain].name : "none",
	    best == NULL ? "no-owner"
		: strcmp(env->domains[best->domain].name, r->cfg.domain) == 0
		? "own-domain"
		: "least-cost");
}

enum route_choice
route_choose(const struct agb_route *r, agb_time now, struct route_call *c,
    const struct agb_route_input *in, struct route_target *t,
    struct agb_effects *out)
{
	struct candidate cand[AGB_ENV_DOMAINS_MAX];
	const struct candidate *best;
	uint32_t allowed;
	size_t len;
	uint16_t d;

	refused_domains_sync(c, in->env);
	allowed = allowed_domains(c, in->env) & ~c->refused_domains;
	if (allowed == 0)
		return ROUTE_EXHAUSTED;
	len = 0;
	best = NULL;
	for (d = 0; d < in->env->domains_len; d++) {
		if ((allowed & UINT32_C(1) << d) == 0)
			continue;
		cand[len].domain = d;
		cand[len].owner =
		    route_owner_address(r, now, in, in->env->domains[d].name);
		if (cand[len].owner[0] == '\0')
			continue;
		cand[len].cost = domain_cost(r, now, c, in, d);
		if (best == NULL || cand[len].cost < best->cost)
			best = &cand[len];
		len++;
	}
	if (best == NULL)
		return ROUTE_NO_OWNER;
	log_choice(r, c, in->env, cand, len, best, out);
	agb_str_copy(
	    t->domain, sizeof(t->domain), in->env->domains[best->domain].name);
	agb_str_copy(t->address, sizeof(t->address), best->owner);
	return ROUTE_FOUND;
}

#include "sched_internal.h"

/*
 * Timers, kept in a binary heap. A timer is not removed with the
 * job, worker or request that it is for; when it is due, its serial no longer
 * matches and it is ignored.
 */

static bool
is_earlier(const struct sched_timer *a, const struct sched_timer *b)
{
	return a->at < b->at;
}

void
sched_timer_add(struct agb_sched *s, agb_time at, enum sched_timer_type type,
    uint32_t arg1, uint32_t arg2, uint64_t serial)
{
	const struct sched_timer t = {at, type, arg1, arg2, serial};
	uint32_t i, up;

	if (at == AGB_TIME_MAX)
		return;
	if (s->timers_len == s->timers_cap) {
		s->timers_cap = s->timers_cap > 0 ? s->timers_cap * 2 : 64;
		s->timers = agb_xreallocarray(
		    s->timers, s->timers_cap, sizeof(*s->timers));
	}
	i = s->timers_len++;
	while (i > 0) {
		up = (i - 1) / 2;
		if (!is_earlier(&t, &s->timers[up]))
			break;
		s->timers[i] = s->timers[up];
		i = up;
	}
	s->timers[i] = t;
}

bool
sched_timer_pop(struct agb_sched *s, agb_time now, struct sched_timer *out)
{
	struct sched_timer last;
	uint32_t i = 0, down;

	if (s->timers_len == 0 || s->timers[0].at > now)
		return false;
	*out = s->timers[0];
	last = s->timers[--s->timers_len];
	for (;;) {
		down = 2 * i + 1;
		if (down >= s->timers_len)
			break;
		if (down + 1 < s->timers_len &&
		    is_earlier(&s->timers[down + 1], &s->timers[down]))
			down++;
		if (!is_earlier(&s->timers[down], &last))
			break;
		s->timers[i] = s->timers[down];
		i = down;
	}
	s->timers[i] = last;
	return true;
}

/* SplitMix64. The jitter must be the same in each run with the same seed. */
uint64_t
sched_random(struct agb_sched *s)
{
	uint64_t z = (s->rng += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

/* Queue of the events of the simulation, and its random numbers. */

#include "mem.h"
#include "world.h"

uint32_t
sim_rnd(struct sim *s, uint32_t max)
{
	s->random ^= s->random << 13;
	s->random ^= s->random >> 7;
	s->random ^= s->random << 17;
	return (uint32_t)((s->random >> 11) % max);
}

bool
sim_chance(struct sim *s, unsigned percent)
{
	return percent > 0 && sim_rnd(s, 100) < percent;
}

static bool
is_earlier(const struct sim_event *a, const struct sim_event *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

struct sim_event *
sim_schedule(
    struct sim *s, agb_time in, void (*fn)(struct sim *, struct sim_event *))
{
	struct sim_event *const e = agb_xcalloc(1, sizeof(*e));
	size_t i;

	e->at = s->now + in;
	e->seq = ++s->ev_seq;
	e->fn = fn;
	if (s->heap_len == s->heap_cap) {
		s->heap_cap = s->heap_cap > 0 ? 2 * s->heap_cap : 256;
		s->heap = agb_xreallocarray(
		    s->heap, s->heap_cap, sizeof(struct sim_event *));
	}
	i = s->heap_len++;
	s->heap[i] = e;
	while (i > 0 && is_earlier(s->heap[i], s->heap[(i - 1) / 2])) {
		struct sim_event *const t = s->heap[i];

		s->heap[i] = s->heap[(i - 1) / 2];
		s->heap[(i - 1) / 2] = t;
		i = (i - 1) / 2;
	}
	return e;
}

struct sim_event *
sim_pop_event(struct sim *s)
{
	struct sim_event *const top = s->heap[0], *t;
	size_t i, c;

	s->heap[0] = s->heap[--s->heap_len];
	i = 0;
	for (;;) {
		c = 2 * i + 1;
		if (c >= s->heap_len)
			break;
		if (c + 1 < s->heap_len &&
		    is_earlier(s->heap[c + 1], s->heap[c]))
			c++;
		if (!is_earlier(s->heap[c], s->heap[i]))
			break;
		t = s->heap[i];
		s->heap[i] = s->heap[c];
		s->heap[c] = t;
		i = c;
	}
	return top;
}

struct sim_event *
sim_schedule_core(struct sim *s, unsigned ci, agb_time in,
    void (*fn)(struct sim *, struct sim_event *))
{
	struct sim_event *const e = sim_schedule(s, in, fn);

	e->core = ci;
	e->gen = s->cores[ci].gen;
	return e;
}

void
sim_attach(struct sim_event *e, void *data, void (*free_data)(void *data))
{
	e->data = data;
	e->free_data = free_data;
}

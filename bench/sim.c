#include "sim.h"

void
sim_add(struct sim *s, struct sim_event ev)
{
	size_t i, up;

	if (s->len == s->cap) {
		s->cap = s->cap > 0 ? s->cap * 2 : 1024;
		s->heap = agb_xreallocarray(s->heap, s->cap, sizeof(ev));
	}
	for (i = s->len++; i > 0; i = up) {
		up = (i - 1) / 2;
		if (s->heap[up].at <= ev.at)
			break;
		s->heap[i] = s->heap[up];
	}
	s->heap[i] = ev;
}

bool
sim_pop(struct sim *s, struct sim_event *ev)
{
	struct sim_event last;
	size_t i = 0, d;

	if (s->len == 0)
		return false;
	*ev = s->heap[0];
	last = s->heap[--s->len];
	while ((d = 2 * i + 1) < s->len) {
		if (d + 1 < s->len && s->heap[d + 1].at < s->heap[d].at)
			d++;
		if (s->heap[d].at >= last.at)
			break;
		s->heap[i] = s->heap[d];
		i = d;
	}
	s->heap[i] = last;
	return true;
}

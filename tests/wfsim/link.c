/* Links of the instances and which of them reach each other. */

#include <stdlib.h>
#include <string.h>

#include "world.h"

agb_time
sim_message_delay(const struct sim *s, unsigned ci)
{
	return sim_turn_time(&s->cores[ci]) + s->o.latency_ms * SIM_MS;
}

agb_time
sim_call_timeout(const struct sim *s, unsigned ci, uint32_t timeout_ms)
{
	return sim_turn_time(&s->cores[ci]) + timeout_ms * SIM_MS;
}

agb_time
sim_link_send(struct sim *s, unsigned ci, size_t bytes)
{
	struct sim_core *const c = &s->cores[ci];
	const agb_time sent_at = s->now + sim_turn_time(c);

	c->bytes_sent += bytes;
	if (c->link_free_at < sent_at)
		c->link_free_at = sent_at;
	if (c->link_kbps > 0)
		c->link_free_at += bytes * 8 * SIM_MS / c->link_kbps;
	return c->link_free_at - s->now + s->o.latency_ms * SIM_MS;
}

unsigned
sim_core_by_addr(const char *rpc)
{
	return (unsigned)strtoul(rpc + strlen("10.0.0."), NULL, 10);
}

bool
sim_linked(const struct sim *s, unsigned a, unsigned b)
{
	return a == b || (!s->cores[a].isolated && !s->cores[b].isolated);
}

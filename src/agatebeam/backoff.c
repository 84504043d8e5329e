#include "backoff.h"

#include <uv.h>

uint32_t
agb_backoff_delay_ms(
    const struct agb_backoff *b, unsigned failures, uint32_t random)
{
	uint64_t ms = b->first_ms;
	uint32_t half;

	for (; failures > 1 && ms < b->max_ms; failures--)
		ms *= 2;
	if (ms > b->max_ms)
		ms = b->max_ms;
	half = (uint32_t)ms / 2;
	return (uint32_t)ms - half + random % (half + 1);
}

uint32_t
agb_backoff_random(void)
{
	uint32_t n;

	if (uv_random(NULL, NULL, &n, sizeof(n), 0, NULL) != 0)
		n = (uint32_t)uv_hrtime();
	return n;
}

#ifndef AGB_BACKOFF_H
#define AGB_BACKOFF_H

/**
 * DOC: backoff
 *
 * Delays between attempts that keep failing. They double up to a limit, so that
 * the attempts of many instances do not use up what they wait for, and half of
 * each is random, so that the instances do not try at the same time.
 */

#include <stdint.h>

/**
 * struct agb_backoff - limits of the delays
 * @first_ms: longest delay after the first failure
 * @max_ms: longest delay after any failure
 */
struct agb_backoff {
	uint32_t first_ms;
	uint32_t max_ms;
};

/**
 * agb_backoff_delay_ms() - delay before the next attempt
 * @failures: failures since the last success, this one included
 * @random: any value; the delay is between half the limit and the limit
 */
uint32_t agb_backoff_delay_ms(
    const struct agb_backoff *b, unsigned failures, uint32_t random);

/**
 * agb_backoff_random() - random value for agb_backoff_delay_ms()
 */
uint32_t agb_backoff_random(void);

#endif

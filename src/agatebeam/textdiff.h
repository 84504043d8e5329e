#ifndef AGB_TEXTDIFF_H
#define AGB_TEXTDIFF_H

/**
 * DOC: textdiff
 *
 * Line by line difference of two texts, by Myers' greedy algorithm.
 */

#include <stddef.h>

/* Edits past which the middle is shown as replaced; bounds the memory. */
#define AGB_TEXTDIFF_EDITS_MAX 1000

/**
 * agb_textdiff() - unified difference with two lines of context
 * @a: older text, @a_len bytes
 * @b: newer text, @b_len bytes
 *
 * Control characters other than tabs become '?', so that a text cannot
 * steer the operator's terminal.
 *
 * Return: a new string, "" when both are the same line by line; freed by the
 * caller.
 */
char *agb_textdiff(const char *a, size_t a_len, const char *b, size_t b_len);

#endif

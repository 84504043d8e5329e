#ifndef AGB_TEXTDIFF_H
#define AGB_TEXTDIFF_H

/**
 * DOC: textdiff
 *
 * Line-based diff of two texts with Myers' greedy algorithm.
 */

#include <stddef.h>

/*
 * Largest number of edits that the search tries; it bounds the memory, which
 * grows with the square of the edits. Beyond it the diff shows all lines
 * between the common first and last lines as replaced.
 */
#define AGB_TEXTDIFF_EDITS_MAX 1000

/**
 * agb_textdiff() - make a unified diff with two lines of context
 * @a: older text, @a_len bytes
 * @b: newer text, @b_len bytes
 *
 * Control characters other than tabs are replaced by '?', so that a text cannot
 * send escape sequences to the operator's terminal.
 *
 * Return: a new string, freed by the caller; "" when all lines are equal. A
 * missing newline at the end of a text is not a difference.
 */
char *agb_textdiff(const char *a, size_t a_len, const char *b, size_t b_len);

#endif

#ifndef AGB_MEM_H
#define AGB_MEM_H

/**
 * DOC: mem
 *
 * Allocation that aborts when memory is out. An entry instance keeps nothing
 * of its own, so that a restart is the right answer.
 */

#include <stddef.h>

/**
 * agb_xcalloc() - zeroed array
 * Return: never NULL, also for an empty array.
 */
void *agb_xcalloc(size_t n, size_t size);

/**
 * agb_xreallocarray() - change the size of an array; new items are not
 * zeroed
 * Return: never NULL.
 */
void *agb_xreallocarray(void *p, size_t n, size_t size);

/**
 * agb_xgrow() - double the capacity of an array that is full
 * @cap: its items; 0 for an array that is not there yet
 * Return: never NULL.
 */
void *agb_xgrow(void *p, size_t *cap, size_t size);

/**
 * agb_xstrdup() - copy of a string
 * @s: NULL counts as ""
 * Return: never NULL.
 */
char *agb_xstrdup(const char *s);

/**
 * agb_xmemdup() - copy of @len bytes with a NUL after them
 * Return: never NULL.
 */
char *agb_xmemdup(const void *p, size_t len);

/**
 * agb_xasprintf() - formatted string
 * Return: never NULL.
 */
char *agb_xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif

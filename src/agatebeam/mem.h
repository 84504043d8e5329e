#ifndef AGB_MEM_H
#define AGB_MEM_H

/**
 * DOC: mem
 *
 * Allocation functions that abort the process when memory is exhausted. An
 * entry instance holds no state that a restart would lose.
 */

#include <stddef.h>

/**
 * agb_xcalloc() - allocate a zeroed array
 * Return: never NULL, also for an empty array.
 */
void *agb_xcalloc(size_t n, size_t size);

/**
 * agb_xreallocarray() - resize an array; new items are not zeroed
 * Return: never NULL.
 */
void *agb_xreallocarray(void *p, size_t n, size_t size);

/**
 * agb_xgrow() - double the capacity of an array
 * @cap: capacity in items, updated; 0 for an array not yet allocated
 * Return: never NULL.
 */
void *agb_xgrow(void *p, size_t *cap, size_t size);

/**
 * agb_xappend() - append a zeroed item to an array
 * @len: number of items, incremented
 * @cap: capacity in items, updated; 0 for an array not yet allocated
 * Return: the array, never NULL.
 */
void *agb_xappend(void *p, size_t *len, size_t *cap, size_t size);

/**
 * agb_xstrdup() - copy a string
 * @s: NULL is copied as ""
 * Return: never NULL.
 */
char *agb_xstrdup(const char *s);

/**
 * agb_xmemdup() - copy @len bytes and append a NUL
 * Return: never NULL.
 */
char *agb_xmemdup(const void *p, size_t len);

/**
 * agb_xasprintf() - format a new string
 * Return: never NULL.
 */
char *agb_xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif

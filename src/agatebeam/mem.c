#include "mem.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Capacity, in items, that agb_xgrow() gives to an empty array. */
#define INITIAL_CAPACITY 16

static void *
abort_if_null(void *p)
{
	if (p == NULL) {
		fputs("agatebeam: out of memory\n", stderr);
		abort();
	}
	return p;
}

void *
agb_xcalloc(size_t n, size_t size)
{
	return abort_if_null(calloc(n > 0 ? n : 1, size > 0 ? size : 1));
}

void *
agb_xreallocarray(void *p, size_t n, size_t size)
{
	if (n == 0 || size == 0)
		n = size = 1;
	return abort_if_null(reallocarray(p, n, size));
}

void *
agb_xgrow(void *p, size_t *cap, size_t size)
{
	*cap = *cap > 0 ? 2 * *cap : INITIAL_CAPACITY;
	return agb_xreallocarray(p, *cap, size);
}

void *
agb_xappend(void *p, size_t *len, size_t *cap, size_t size)
{
	if (*len == *cap)
		p = agb_xgrow(p, cap, size);
#ifdef __SANITIZE_ADDRESS__
	/* AddressSanitizer moves each array that is reallocated, so that it
	 * reports pointers into the array that are kept for too long. */
	else
		p = agb_xreallocarray(p, *cap, size);
#endif
	memset((char *)p + *len * size, 0, size);
	++*len;
	return p;
}

char *
agb_xstrdup(const char *s)
{
	return abort_if_null(strdup(s != NULL ? s : ""));
}

char *
agb_xmemdup(const void *p, size_t len)
{
	char *copy;

	if (len == SIZE_MAX)
		return abort_if_null(NULL);
	copy = abort_if_null(malloc(len + 1));
	if (len > 0)
		memcpy(copy, p, len);
	copy[len] = '\0';
	return copy;
}

char *
agb_xasprintf(const char *fmt, ...)
{
	va_list ap;
	char *s;
	int n;

	va_start(ap, fmt);
	n = vasprintf(&s, fmt, ap);
	va_end(ap);
	return abort_if_null(n < 0 ? NULL : s);
}

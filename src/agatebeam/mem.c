#include "mem.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Items of an array that grows, at first. */
#define GROW_FIRST 16

static void *
checked(void *p)
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
	return checked(calloc(n > 0 ? n : 1, size > 0 ? size : 1));
}

void *
agb_xreallocarray(void *p, size_t n, size_t size)
{
	if (n == 0 || size == 0)
		n = size = 1;
	return checked(reallocarray(p, n, size));
}

void *
agb_xgrow(void *p, size_t *cap, size_t size)
{
	*cap = *cap > 0 ? 2 * *cap : GROW_FIRST;
	return agb_xreallocarray(p, *cap, size);
}

char *
agb_xstrdup(const char *s)
{
	return checked(strdup(s != NULL ? s : ""));
}

char *
agb_xmemdup(const void *p, size_t len)
{
	char *copy;

	if (len == SIZE_MAX)
		return checked(NULL);
	copy = checked(malloc(len + 1));
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
	return checked(n < 0 ? NULL : s);
}

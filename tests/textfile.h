#ifndef TEXTFILE_H
#define TEXTFILE_H

/**
 * DOC: textfile
 *
 * Text files and golden files for tests. When the environment variable
 * AGB_GOLDEN_UPDATE is set, golden files are written instead of compared.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "finding.h"
#include "mem.h"

/**
 * textfile_read() - read at most 4 MiB of a file
 * @len: set to the number of bytes read; may be NULL
 * Return: the bytes and a NUL, freed by the caller; NULL when the file cannot
 * be opened.
 */
static inline char *
textfile_read(const char *path, size_t *len)
{
	const size_t most = (size_t)4 << 20;
	FILE *const f = fopen(path, "r");
	char *text;
	size_t n;

	if (f == NULL)
		return NULL;
	text = agb_xcalloc(most + 1, 1);
	n = fread(text, 1, most, f);
	fclose(f);
	if (len != NULL)
		*len = n;
	return text;
}

/**
 * textfile_read_or_abort() - textfile_read() for a file that must exist
 * Return: never NULL; a file that cannot be opened aborts the test program.
 */
static inline char *
textfile_read_or_abort(const char *path, size_t *len)
{
	char *const text = textfile_read(path, len);

	if (text == NULL) {
		fprintf(stderr, "%s cannot be read\n", path);
		abort();
	}
	return text;
}

/**
 * textfile_matches_golden() - compare a text with a golden file
 * Return: 1 when they are equal; otherwise 0, and both are written to stderr.
 */
static inline int
textfile_matches_golden(const char *path, const char *got)
{
	char *want;
	FILE *f;
	int same;

	if (getenv("AGB_GOLDEN_UPDATE") != NULL) {
		f = fopen(path, "w");
		if (f == NULL)
			return 0;
		fputs(got, f);
		return fclose(f) == 0;
	}
	want = textfile_read(path, NULL);
	same = want != NULL && strcmp(want, got) == 0;
	if (!same)
		fprintf(stderr, "%s differs; wanted:\n%s\ngot:\n%s\n", path,
		    want != NULL ? want : "(no such file)", got);
	free(want);
	return same;
}

/**
 * textfile_format_findings() - write findings as text
 * @name: name of the input, shown at the start of each line
 * Return: a new string, freed by the caller.
 */
static inline char *
textfile_format_findings(const struct agb_findings *f, const char *name)
{
	const size_t size = (size_t)32 << 10;
	char *const text = agb_xcalloc(size, 1);

	agb_findings_format(f, name, text, size);
	return text;
}

/**
 * textfile_replace() - copy a text and replace the first @from with @to
 * Return: a new string, freed by the caller. A text without @from aborts the
 * test program.
 */
static inline char *
textfile_replace(const char *text, const char *from, const char *to)
{
	const char *const at = strstr(text, from);

	if (at == NULL) {
		fprintf(stderr, "not in the text: %s\n", from);
		abort();
	}
	return agb_xasprintf(
	    "%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
}

#endif

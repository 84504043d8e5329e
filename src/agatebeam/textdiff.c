#include "textdiff.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define CONTEXT ((size_t)2)

struct line {
	const char *at;
	size_t len;
};

/*
 * struct side - one of the two texts
 * @changed: whether each line is not in the other text
 */
struct side {
	struct line *lines;
	size_t len;
	bool *changed;
};

static void
split(struct side *s, const char *text, size_t len)
{
	const char *const end = text + len;
	const char *p, *nl;
	size_t n = 0;

	for (p = text; p < end; p++)
		n += *p == '\n';
	s->lines = agb_xcalloc(n + 1, sizeof(*s->lines));
	s->changed = agb_xcalloc(n + 1, sizeof(*s->changed));
	s->len = 0;
	for (p = text; p < end; p = nl + 1) {
		nl = memchr(p, '\n', (size_t)(end - p));
		if (nl == NULL)
			nl = end;
		s->lines[s->len].at = p;
		s->lines[s->len++].len = (size_t)(nl - p);
	}
}

static bool
same(const struct side *a, size_t i, const struct side *b, size_t j)
{
	return a->lines[i].len == b->lines[j].len &&
	    memcmp(a->lines[i].at, b->lines[j].at, a->lines[i].len) == 0;
}

/*
 * struct myers - search for the shortest edit of a[from, a_end) into
 * b[from, b_end)
 * @rows: for each number of edits, the furthest line of @a on each diagonal
 */
struct myers {
	const struct side *a;
	const struct side *b;
	size_t from;
	long n;
	long m;
	int *rows[AGB_TEXTDIFF_EDITS_MAX + 1];
};

/* Line of @a where edit @d reaches diagonal @k, before equal lines. */
static long
step_from(const struct myers *s, long d, long k)
{
	const int *prev;

	if (d == 0)
		return 0;
	prev = s->rows[d - 1] + d - 1;
	if (k == -d || (k != d && prev[k - 1] < prev[k + 1]))
		return prev[k + 1];
	return prev[k - 1] + 1;
}

/* Returns the number of edits, or -1 when there are too many. */
static long
search(struct myers *s)
{
	long d, k, x;

	for (d = 0; d <= AGB_TEXTDIFF_EDITS_MAX; d++) {
		s->rows[d] =
		    agb_xcalloc(2 * (size_t)d + 1, sizeof(*s->rows[d]));
		for (k = -d; k <= d; k += 2) {
			x = step_from(s, d, k);
			while (x < s->n && x - k < s->m && x - k >= 0 &&
			    same(s->a, s->from + (size_t)x, s->b,
				s->from + (size_t)(x - k)))
				x++;
			s->rows[d][k + d] = (int)x;
			if (k == s->n - s->m && x >= s->n)
				return d;
		}
	}
	return -1;
}

/* Marks the changed lines on the way back from the end. */
static void
mark(const struct myers *s, struct side *a, struct side *b, long edits)
{
	long x = s->n, y = s->m;
	long d, k, start;
	const int *prev;
	bool insert;

	for (d = edits; d > 0; d--) {
		k = x - y;
		prev = s->rows[d - 1] + d - 1;
		insert = k == -d || (k != d && prev[k - 1] < prev[k + 1]);
		start = insert ? prev[k + 1] : prev[k - 1];
		x = start;
		y = start - (insert ? k + 1 : k - 1);
		if (insert)
			b->changed[s->from + (size_t)y] = true;
		else
			a->changed[s->from + (size_t)x] = true;
	}
}

static void
compare(struct side *a, struct side *b)
{
	struct myers *s;
	size_t from = 0, a_end = a->len, b_end = b->len;
	long edits, d;

	while (from < a_end && from < b_end && same(a, from, b, from))
		from++;
	while (a_end > from && b_end > from && same(a, a_end - 1, b, b_end - 1))
		a_end--, b_end--;
	s = agb_xcalloc(1, sizeof(*s));
	s->a = a;
	s->b = b;
	s->from = from;
	s->n = (long)(a_end - from);
	s->m = (long)(b_end - from);
	edits = search(s);
	if (edits >= 0) {
		mark(s, a, b, edits);
	} else {
		memset(a->changed + from, true, a_end - from);
		memset(b->changed + from, true, b_end - from);
	}
	for (d = 0; d <= AGB_TEXTDIFF_EDITS_MAX; d++)
		free(s->rows[d]);
	free(s);
}

static void
put_line(FILE *f, char mark_char, const struct line *line)
{
	size_t i;

	putc(mark_char, f);
	for (i = 0; i < line->len; i++)
		putc((unsigned char)line->at[i] >= ' ' || line->at[i] == '\t'
			? line->at[i]
			: '?',
		    f);
	putc('\n', f);
}

/* Writes the lines from (i, j) to (i_end, j_end) as one hunk. */
static void
put_hunk(FILE *f, const struct side *a, size_t i, size_t i_end,
    const struct side *b, size_t j, size_t j_end)
{
	fprintf(
	    f, "@@ -%zu,%zu +%zu,%zu @@\n", i + 1, i_end - i, j + 1, j_end - j);
	while (i < i_end || j < j_end) {
		if (i < i_end && a->changed[i])
			put_line(f, '-', &a->lines[i++]);
		else if (j < j_end && b->changed[j])
			put_line(f, '+', &b->lines[j++]);
		else
			put_line(f, ' ', &a->lines[i++]), j++;
	}
}

static void
put_hunks(FILE *f, const struct side *a, const struct side *b)
{
	size_t i = 0, j = 0, same_len;
	size_t i_from, j_from;

	for (;;) {
		while (i < a->len && j < b->len && !a->changed[i] &&
		    !b->changed[j])
			i++, j++;
		if (i == a->len && j == b->len)
			return;
		i_from = i > CONTEXT ? i - CONTEXT : 0;
		j_from = j - (i - i_from);
		/* A hunk goes on while fewer equal lines than twice the
		 * context lie between two changes. */
		for (same_len = 0;
		     same_len <= 2 * CONTEXT && (i < a->len || j < b->len);) {
			if (i < a->len && a->changed[i]) {
				i++;
				same_len = 0;
			} else if (j < b->len && b->changed[j]) {
				j++;
				same_len = 0;
			} else {
				i++;
				j++;
				same_len++;
			}
		}
		if (same_len > CONTEXT) {
			i -= same_len - CONTEXT;
			j -= same_len - CONTEXT;
		}
		put_hunk(f, a, i_from, i, b, j_from, j);
	}
}

char *
agb_textdiff(const char *a, size_t a_len, const char *b, size_t b_len)
{
	struct side old, new;
	char *text = NULL;
	size_t len;
	FILE *f;

	split(&old, a, a_len);
	split(&new, b, b_len);
	compare(&old, &new);
	f = open_memstream(&text, &len);
	if (f != NULL) {
		put_hunks(f, &old, &new);
		fclose(f);
	}
	free(old.lines);
	free(old.changed);
	free(new.lines);
	free(new.changed);
	return text != NULL ? text : agb_xstrdup("");
}

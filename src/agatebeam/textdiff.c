#include "textdiff.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define CONTEXT_LINES ((size_t)2)

struct text_line {
	const char *start;
	size_t len;
};

/*
 * struct diff_text - one of the two texts, split into lines
 * @changed: for each line, whether it is deleted (older text) or inserted
 *	(newer text)
 */
struct diff_text {
	struct text_line *lines;
	size_t len;
	bool *changed;
};

static void
split_lines(struct diff_text *s, const char *text, size_t len)
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
		s->lines[s->len].start = p;
		s->lines[s->len++].len = (size_t)(nl - p);
	}
}

static bool
lines_equal(
    const struct diff_text *a, size_t i, const struct diff_text *b, size_t j)
{
	return a->lines[i].len == b->lines[j].len &&
	    memcmp(a->lines[i].start, b->lines[j].start, a->lines[i].len) == 0;
}

/*
 * struct myers_search - search for the shortest edit script from @a to @b,
 * without their common first and last lines
 * @prefix_len: number of common first lines
 * @a_len, @b_len: number of lines compared after @prefix_len
 * @furthest: for each number of edits d, the furthest line of @a reached on
 *	each diagonal k = x - y; diagonal k is at index k + d. x and y are
 *	line numbers in @a and @b, counted from @prefix_len.
 */
struct myers_search {
	const struct diff_text *a;
	const struct diff_text *b;
	size_t prefix_len;
	long a_len;
	long b_len;
	int *furthest[AGB_TEXTDIFF_EDITS_MAX + 1];
};

/*
 * Returns the line of @a that the path with @d edits reaches on diagonal @k,
 * before it follows equal lines.
 */
static long
diagonal_start(const struct myers_search *s, long d, long k)
{
	const int *prev;

	if (d == 0)
		return 0;
	prev = s->furthest[d - 1] + d - 1;
	if (k == -d || (k != d && prev[k - 1] < prev[k + 1]))
		return prev[k + 1];
	return prev[k - 1] + 1;
}

/*
 * Returns the length of the shortest edit script, or -1 when it exceeds
 * AGB_TEXTDIFF_EDITS_MAX.
 */
static long
find_edit_count(struct myers_search *s)
{
	long d, k, x;

	for (d = 0; d <= AGB_TEXTDIFF_EDITS_MAX; d++) {
		s->furthest[d] =
		    agb_xcalloc(2 * (size_t)d + 1, sizeof(*s->furthest[d]));
		for (k = -d; k <= d; k += 2) {
			x = diagonal_start(s, d, k);
			while (x < s->a_len && x - k < s->b_len && x - k >= 0 &&
			    lines_equal(s->a, s->prefix_len + (size_t)x, s->b,
				s->prefix_len + (size_t)(x - k)))
				x++;
			s->furthest[d][k + d] = (int)x;
			if (k == s->a_len - s->b_len && x >= s->a_len)
				return d;
		}
	}
	return -1;
}

/* Marks the changed lines by following the path of the edits backwards. */
static void
mark_changed(const struct myers_search *s, struct diff_text *a,
    struct diff_text *b, long edits)
{
	long x = s->a_len, y = s->b_len;
	long d, k, prev_x;
	const int *prev;
	bool insert;

	for (d = edits; d > 0; d--) {
		k = x - y;
		prev = s->furthest[d - 1] + d - 1;
		insert = k == -d || (k != d && prev[k - 1] < prev[k + 1]);
		prev_x = insert ? prev[k + 1] : prev[k - 1];
		x = prev_x;
		y = prev_x - (insert ? k + 1 : k - 1);
		if (insert)
			b->changed[s->prefix_len + (size_t)y] = true;
		else
			a->changed[s->prefix_len + (size_t)x] = true;
	}
}

static void
mark_differences(struct diff_text *a, struct diff_text *b)
{
	struct myers_search *s;
	size_t prefix_len = 0, a_end = a->len, b_end = b->len;
	long edits, d;

	while (prefix_len < a_end && prefix_len < b_end &&
	    lines_equal(a, prefix_len, b, prefix_len))
		prefix_len++;
	while (a_end > prefix_len && b_end > prefix_len &&
	    lines_equal(a, a_end - 1, b, b_end - 1))
		a_end--, b_end--;
	s = agb_xcalloc(1, sizeof(*s));
	s->a = a;
	s->b = b;
	s->prefix_len = prefix_len;
	s->a_len = (long)(a_end - prefix_len);
	s->b_len = (long)(b_end - prefix_len);
	edits = find_edit_count(s);
	if (edits >= 0) {
		mark_changed(s, a, b, edits);
	} else {
		memset(a->changed + prefix_len, true, a_end - prefix_len);
		memset(b->changed + prefix_len, true, b_end - prefix_len);
	}
	for (d = 0; d <= AGB_TEXTDIFF_EDITS_MAX; d++)
		free(s->furthest[d]);
	free(s);
}

static void
write_line(FILE *f, char prefix, const struct text_line *line)
{
	size_t i;

	putc(prefix, f);
	for (i = 0; i < line->len; i++)
		putc((unsigned char)line->start[i] >= ' ' ||
			    line->start[i] == '\t'
			? line->start[i]
			: '?',
		    f);
	putc('\n', f);
}

/* Writes lines [i, i_end) of @a and [j, j_end) of @b as one hunk. */
static void
write_hunk(FILE *f, const struct diff_text *a, size_t i, size_t i_end,
    const struct diff_text *b, size_t j, size_t j_end)
{
	fprintf(
	    f, "@@ -%zu,%zu +%zu,%zu @@\n", i + 1, i_end - i, j + 1, j_end - j);
	while (i < i_end || j < j_end) {
		if (i < i_end && a->changed[i])
			write_line(f, '-', &a->lines[i++]);
		else if (j < j_end && b->changed[j])
			write_line(f, '+', &b->lines[j++]);
		else
			write_line(f, ' ', &a->lines[i++]), j++;
	}
}

static void
write_hunks(FILE *f, const struct diff_text *a, const struct diff_text *b)
{
	size_t i = 0, j = 0, equal_len;
	size_t i_start, j_start;

	for (;;) {
		while (i < a->len && j < b->len && !a->changed[i] &&
		    !b->changed[j])
			i++, j++;
		if (i == a->len && j == b->len)
			return;
		i_start = i > CONTEXT_LINES ? i - CONTEXT_LINES : 0;
		j_start = j - (i - i_start);
		/*
		 * Changes with at most twice the context between them share a
		 * hunk, because their context lines would meet or overlap.
		 */
		for (equal_len = 0; equal_len <= 2 * CONTEXT_LINES &&
		     (i < a->len || j < b->len);) {
			if (i < a->len && a->changed[i]) {
				i++;
				equal_len = 0;
			} else if (j < b->len && b->changed[j]) {
				j++;
				equal_len = 0;
			} else {
				i++;
				j++;
				equal_len++;
			}
		}
		if (equal_len > CONTEXT_LINES) {
			i -= equal_len - CONTEXT_LINES;
			j -= equal_len - CONTEXT_LINES;
		}
		write_hunk(f, a, i_start, i, b, j_start, j);
	}
}

char *
agb_textdiff(const char *a, size_t a_len, const char *b, size_t b_len)
{
	struct diff_text old, new;
	char *text = NULL;
	size_t len;
	FILE *f;

	split_lines(&old, a, a_len);
	split_lines(&new, b, b_len);
	mark_differences(&old, &new);
	f = open_memstream(&text, &len);
	if (f != NULL) {
		write_hunks(f, &old, &new);
		fclose(f);
	}
	free(old.lines);
	free(old.changed);
	free(new.lines);
	free(new.changed);
	return text != NULL ? text : agb_xstrdup("");
}

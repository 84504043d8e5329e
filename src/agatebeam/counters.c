#include "counters.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

struct agb_series {
	const struct agb_metric *metric;
	struct agb_series *next;
	char *label_value;
	double sum; /* or the value of a counter or gauge */
	uint64_t count;
	uint64_t *buckets; /* observations per bucket, not cumulative */
};

struct metric_family {
	const struct agb_metric *metric;
	struct metric_family *next;
	struct agb_series *series;
	struct agb_series **tail;
	size_t series_len;
};

struct agb_counters {
	struct metric_family *families;
	struct metric_family **tail;
};

struct agb_counters *
agb_counters_new(void)
{
	struct agb_counters *const c = agb_xcalloc(1, sizeof(*c));

	c->tail = &c->families;
	return c;
}

static struct metric_family *
get_family(struct agb_counters *c, const struct agb_metric *m)
{
	struct metric_family *f;

	for (f = c->families; f != NULL; f = f->next) {
		if (f->metric == m)
			return f;
	}
	f = agb_xcalloc(1, sizeof(*f));
	f->metric = m;
	f->tail = &f->series;
	*c->tail = f;
	c->tail = &f->next;
	return f;
}

static struct agb_series *
find_series(const struct metric_family *f, const char *value)
{
	struct agb_series *s;

	for (s = f->series; s != NULL; s = s->next) {
		if (strcmp(s->label_value, value) == 0)
			return s;
	}
	return NULL;
}

struct agb_series *
agb_counters_get(
    struct agb_counters *c, const struct agb_metric *m, const char *value)
{
	struct metric_family *const f = get_family(c, m);
	struct agb_series *s;

	if (value == NULL)
		value = "";
	s = find_series(f, value);
	/* Label values may come from clients, which must not be able to
	 * exhaust the memory. */
	if (s == NULL && f->series_len >= AGB_COUNTERS_LABEL_VALUES_MAX) {
		value = "other";
		s = find_series(f, value);
	}
	if (s != NULL)
		return s;
	s = agb_xcalloc(1, sizeof(*s));
	s->metric = m;
	s->label_value = agb_xstrdup(value);
	s->buckets = agb_xcalloc(m->buckets_len, sizeof(*s->buckets));
	*f->tail = s;
	f->tail = &s->next;
	f->series_len++;
	return s;
}

void
agb_series_add(struct agb_series *s, double n)
{
	s->sum += n;
}

void
agb_series_set(struct agb_series *s, double n)
{
	s->sum = n;
}

void
agb_series_observe(struct agb_series *s, double x)
{
	size_t i;

	s->sum += x;
	s->count++;
	for (i = 0; i < s->metric->buckets_len; i++) {
		if (x <= s->metric->buckets[i]) {
			s->buckets[i]++;
			return;
		}
	}
}

void
agb_series_set_histogram(
    struct agb_series *s, const uint64_t *buckets, uint64_t count, double sum)
{
	memcpy(
	    s->buckets, buckets, s->metric->buckets_len * sizeof(*s->buckets));
	s->count = count;
	s->sum = sum;
}

double
agb_series_value(const struct agb_series *s)
{
	return s->sum;
}

/* Writes {label="value",le="bound"}, or nothing for a series without labels. */
static void
write_labels(FILE *f, const struct agb_series *s, const char *le)
{
	const bool label = s->metric->label != NULL;
	const char *p;

	if (!label && le == NULL)
		return;
	fputc('{', f);
	if (label) {
		fprintf(f, "%s=\"", s->metric->label);
		for (p = s->label_value; *p != '\0'; p++) {
			if (*p == '\n')
				fputs("\\n", f);
			else if (*p == '"' || *p == '\\')
				fprintf(f, "\\%c", *p);
			else
				fputc(*p, f);
		}
		fputc('"', f);
	}
	if (le != NULL)
		fprintf(f, "%sle=\"%s\"", label ? "," : "", le);
	fputc('}', f);
}

static void
write_histogram(FILE *f, const struct agb_series *s)
{
	const struct agb_metric *const m = s->metric;
	uint64_t below = 0;
	char bound[32];
	size_t i;

	for (i = 0; i <= m->buckets_len; i++) {
		if (i < m->buckets_len) {
			below += s->buckets[i];
			snprintf(bound, sizeof(bound), "%g", m->buckets[i]);
		} else {
			below = s->count;
			snprintf(bound, sizeof(bound), "+Inf");
		}
		fprintf(f, "%s_bucket", m->name);
		write_labels(f, s, bound);
		fprintf(f, " %llu\n", (unsigned long long)below);
	}
	fprintf(f, "%s_sum", m->name);
	write_labels(f, s, NULL);
	fprintf(f, " %.17g\n%s_count", s->sum, m->name);
	write_labels(f, s, NULL);
	fprintf(f, " %llu\n", (unsigned long long)s->count);
}

char *
agb_counters_format(const struct agb_counters *c, size_t *len)
{
	static const char *const kinds[] = {"counter", "gauge", "histogram"};
	const struct metric_family *fam;
	const struct agb_series *s;
	char *text = NULL;
	FILE *const f = open_memstream(&text, len);

	if (f == NULL)
		abort();
	for (fam = c->families; fam != NULL; fam = fam->next) {
		fprintf(f, "# HELP %s %s\n# TYPE %s %s\n", fam->metric->name,
		    fam->metric->help, fam->metric->name,
		    kinds[fam->metric->type]);
		for (s = fam->series; s != NULL; s = s->next) {
			if (fam->metric->type == AGB_METRIC_HISTOGRAM) {
				write_histogram(f, s);
				continue;
			}
			fputs(fam->metric->name, f);
			write_labels(f, s, NULL);
			fprintf(f, " %.17g\n", s->sum);
		}
	}
	if (fclose(f) != 0)
		abort();
	return text;
}

void
agb_counters_free(struct agb_counters *c)
{
	struct metric_family *f, *next;
	struct agb_series *s, *next_series;

	if (c == NULL)
		return;
	for (f = c->families; f != NULL; f = next) {
		next = f->next;
		for (s = f->series; s != NULL; s = next_series) {
			next_series = s->next;
			free(s->label_value);
			free(s->buckets);
			free(s);
		}
		free(f);
	}
	free(c);
}

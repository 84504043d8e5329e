#include "finding.h"

#include <stdarg.h>
#include <stdio.h>

#include "types.h"

void
agb_findings_add(struct agb_findings *f, enum agb_finding_level level,
    const char *location, const char *fmt, ...)
{
	struct agb_finding *finding;
	va_list ap;

	if (level == AGB_FINDING_ERROR)
		f->errors++;
	if (f->len == AGB_FINDINGS_MAX) {
		f->dropped++;
		return;
	}
	finding = &f->items[f->len++];
	finding->level = level;
	agb_str_copy(finding->location, sizeof(finding->location), location);
	va_start(ap, fmt);
	vsnprintf(finding->text, sizeof(finding->text), fmt, ap);
	va_end(ap);
}

/* Appends formatted text to the @used bytes in @buf, truncated to fit. Returns
 * the number of bytes then used; does nothing when the buffer is full. */
static size_t __attribute__((format(printf, 4, 5)))
append(char *buf, size_t len, size_t used, const char *fmt, ...)
{
	va_list ap;
	int n;

	if (used + 1 >= len)
		return used;
	va_start(ap, fmt);
	n = vsnprintf(buf + used, len - used, fmt, ap);
	va_end(ap);
	return used + ((size_t)n < len - used ? (size_t)n : len - used - 1);
}

size_t
agb_findings_format(
    const struct agb_findings *f, const char *file, char *buf, size_t len)
{
	const struct agb_finding *finding;
	size_t used = 0, i;

	buf[0] = '\0';
	for (i = 0; i < f->len; i++) {
		finding = &f->items[i];
		used = append(buf, len, used, "%s: %s: %s: %s\n", file,
		    finding->location,
		    finding->level == AGB_FINDING_ERROR ? "error" : "warning",
		    finding->text);
	}
	if (f->dropped > 0)
		used =
		    append(buf, len, used, "%s: %zu more\n", file, f->dropped);
	return used;
}

void
agb_findings_join(const struct agb_findings *f, char *buf, size_t len)
{
	const struct agb_finding *finding;
	size_t used = 0, i;

	buf[0] = '\0';
	for (i = 0; i < f->len; i++) {
		finding = &f->items[i];
		used = append(buf, len, used, "%s%s%s%s", i > 0 ? "; " : "",
		    finding->location, finding->location[0] ? ": " : "",
		    finding->text);
	}
	if (f->dropped > 0)
		append(buf, len, used, "; %zu more", f->dropped);
}

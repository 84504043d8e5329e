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

size_t
agb_findings_format(
    const struct agb_findings *f, const char *file, char *buf, size_t len)
{
	const struct agb_finding *finding;
	size_t used, i;
	int n;

	used = 0;
	buf[0] = '\0';
	for (i = 0; i < f->len && used + 1 < len; i++) {
		finding = &f->items[i];
		n = snprintf(buf + used, len - used, "%s: %s: %s: %s\n", file,
		    finding->location,
		    finding->level == AGB_FINDING_ERROR ? "error" : "warning",
		    finding->text);
		used += (size_t)n < len - used ? (size_t)n : len - used - 1;
	}
	if (f->dropped > 0 && used + 1 < len) {
		n = snprintf(
		    buf + used, len - used, "%s: %zu more\n", file, f->dropped);
		used += (size_t)n < len - used ? (size_t)n : len - used - 1;
	}
	return used;
}

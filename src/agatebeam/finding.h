#ifndef AGB_FINDING_H
#define AGB_FINDING_H

/**
 * DOC: finding
 *
 * Problems found while an input is checked, each with its location. Checks
 * continue after the first problem, so that one run reports all of them.
 */

#include <stdbool.h>
#include <stddef.h>

/* Findings stored per input; further ones are only counted. */
#define AGB_FINDINGS_MAX 64

/**
 * enum agb_finding_level - severity of a finding
 * @AGB_FINDING_WARNING: the input is accepted
 * @AGB_FINDING_ERROR: the input is rejected
 */
enum agb_finding_level {
	AGB_FINDING_WARNING,
	AGB_FINDING_ERROR,
};

/**
 * struct agb_finding - one problem
 * @location: "line 4", or with a JSON pointer "line 4 /teams/2/weight"
 * @text: describes the error and the allowed values
 */
struct agb_finding {
	enum agb_finding_level level;
	char location[128];
	char text[192];
};

/**
 * struct agb_findings - the problems of one input
 * @len: number of findings in @items
 * @dropped: number of findings that did not fit into @items
 * @errors: number of findings of level error, including dropped ones
 */
struct agb_findings {
	size_t len;
	size_t dropped;
	size_t errors;
	struct agb_finding items[AGB_FINDINGS_MAX];
};

/**
 * agb_findings_add() - record a problem
 * @location: line or JSON pointer
 * @fmt: printf format of the text
 */
void agb_findings_add(struct agb_findings *f, enum agb_finding_level level,
    const char *location, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * agb_findings_format() - write the findings as text, one per line:
 * "FILE: LOCATION: LEVEL: TEXT"
 * @file: name of the input
 * @buf: destination; the text is truncated to fit and NUL-terminated
 * @len: size of @buf in bytes, at least 1
 * Return: number of bytes written, without the NUL.
 */
size_t agb_findings_format(
    const struct agb_findings *f, const char *file, char *buf, size_t len);

/**
 * agb_findings_join() - write the findings on one line, separated by "; "
 * @buf: destination; the text is truncated to fit and NUL-terminated
 * @len: size of @buf in bytes, at least 1
 */
void agb_findings_join(const struct agb_findings *f, char *buf, size_t len);

#endif

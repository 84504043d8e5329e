#ifndef AGB_FINDING_H
#define AGB_FINDING_H

/**
 * DOC: finding
 *
 * Problems found while input is checked, each with its place. A check goes
 * on after the first problem, so that all are reported together.
 */

#include <stdbool.h>
#include <stddef.h>

/* Findings kept of one input; the rest are only counted. */
#define AGB_FINDINGS_MAX 64

/**
 * enum agb_finding_level - weight of a finding
 * @AGB_FINDING_WARNING: the input is usable
 * @AGB_FINDING_ERROR: the input is refused
 */
enum agb_finding_level {
	AGB_FINDING_WARNING,
	AGB_FINDING_ERROR,
};

/**
 * struct agb_finding - one problem
 * @level: its weight
 * @location: "line 4", or with a JSON pointer "line 4 /teams/2/weight"
 * @text: what is wrong and what is allowed
 */
struct agb_finding {
	enum agb_finding_level level;
	char location[128];
	char text[192];
};

/**
 * struct agb_findings - the problems of one input
 * @len: entries of @items in use
 * @dropped: further findings that were only counted
 * @errors: findings of level error, dropped ones included
 */
struct agb_findings {
	size_t len;
	size_t dropped;
	size_t errors;
	struct agb_finding items[AGB_FINDINGS_MAX];
};

/**
 * agb_findings_add() - record a problem
 * @f: the collection
 * @level: weight
 * @place: line or JSON pointer
 * @fmt: printf format of the text
 */
void agb_findings_add(struct agb_findings *f, enum agb_finding_level level,
    const char *place, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * agb_findings_format() - one line a finding: "FILE: PLACE: LEVEL: TEXT"
 * @f: the collection
 * @file: name of the input, put before each place
 * @buf: destination, NUL-terminated
 * @len: size of @buf in bytes, at least 1
 * Return: bytes written without the NUL; output is cut at @len.
 */
size_t agb_findings_format(
    const struct agb_findings *f, const char *file, char *buf, size_t len);

#endif

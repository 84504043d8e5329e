#ifndef AGB_JSONC_SCAN_H
#define AGB_JSONC_SCAN_H

/**
 * DOC: jsonc_scan
 *
 * The scanner of jsonc: checks a text by the grammar of RFC 8259 plus
 * comments, and notes the line of every value. Private to jsonc.
 */

#include "finding.h"
#include "types.h"

struct agb_jsonc_line {
	uint64_t hash;
	uint32_t line;
};

/**
 * struct agb_jsonc_lines - line of each value by the hash of its pointer
 * @items: open-addressed; a line of 0 marks an empty place
 * @cap: a power of two
 * @seed: hash of the root
 */
struct agb_jsonc_lines {
	struct agb_jsonc_line *items;
	size_t len;
	size_t cap;
	uint64_t seed;
};

/**
 * agb_jsonc_hash_key() - hash of a key's pointer from its parent's
 */
uint64_t agb_jsonc_hash_key(uint64_t parent, const char *key, size_t len);

/**
 * agb_jsonc_hash_index() - hash of an item's pointer from its parent's
 */
uint64_t agb_jsonc_hash_index(uint64_t parent, size_t index);

/**
 * agb_jsonc_lines_get() - line of a value
 * Return: 0 when there is none.
 */
uint32_t agb_jsonc_lines_get(
    const struct agb_jsonc_lines *lines, uint64_t hash);

/**
 * agb_jsonc_scan() - check a text
 * @text: NUL-terminated copy; comments and what can be mended are
 *	overwritten by blanks
 * @wire: no comments, as for agb_jsonc_parse_wire(); values may have
 *	\u0000, halves of surrogate pairs and numbers past a double, and
 *	only keys get a line
 * @lines: empty but for its seed; filled in; its items are freed by the
 *	caller
 * Return: true when the text now is strict JSON.
 */
bool agb_jsonc_scan(char *text, size_t len, bool wire,
    struct agb_jsonc_lines *lines, struct agb_findings *findings);

#endif

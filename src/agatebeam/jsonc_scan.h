#ifndef AGB_JSONC_SCAN_H
#define AGB_JSONC_SCAN_H

/**
 * DOC: jsonc_scan
 *
 * Scanner of jsonc, used by jsonc.c only. It validates a text by the grammar
 * of RFC 8259 plus comments and records the line of each value.
 */

#include "finding.h"
#include "types.h"

struct agb_jsonc_line {
	uint64_t hash;
	uint32_t line;
};

/**
 * struct agb_jsonc_lines - hash table of the line of each value, by the hash
 * of its JSON pointer
 * @items: slots, with open addressing; line 0 marks an empty slot
 * @len: number of values
 * @cap: number of slots, a power of two
 * @seed: hash of the root
 */
struct agb_jsonc_lines {
	struct agb_jsonc_line *items;
	size_t len;
	size_t cap;
	uint64_t seed;
};

/**
 * agb_jsonc_hash_key() - hash of the JSON pointer of an object's member
 * @parent: hash of the object's pointer
 */
uint64_t agb_jsonc_hash_key(uint64_t parent, const char *key, size_t len);

/**
 * agb_jsonc_hash_index() - hash of the JSON pointer of an array's item
 * @parent: hash of the array's pointer
 */
uint64_t agb_jsonc_hash_index(uint64_t parent, size_t index);

/**
 * agb_jsonc_lines_get() - look up the line of a value
 * Return: 0 when none is recorded.
 */
uint32_t agb_jsonc_lines_get(
    const struct agb_jsonc_lines *lines, uint64_t hash);

/**
 * agb_jsonc_scan() - validate a text
 * @text: NUL-terminated; comments and errors that can be corrected are
 *	overwritten
 * @wire: comments are errors, as described for agb_jsonc_parse_wire().
 *	Values may contain \u0000, unpaired surrogates and numbers out of the
 *	range of a double. Lines are recorded for keys only.
 * @lines: empty except for its seed; filled in; its items are freed by the
 *	caller
 * Return: true when the text, as overwritten, is strict JSON.
 */
bool agb_jsonc_scan(char *text, size_t len, bool wire,
    struct agb_jsonc_lines *lines, struct agb_findings *findings);

#endif

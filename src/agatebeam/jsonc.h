#ifndef AGB_JSONC_H
#define AGB_JSONC_H

/**
 * DOC: jsonc
 *
 * Strict reading of JSON with comments. A scanner checks the text, blanks
 * its comments and hands the rest to json-c in strict mode. json-c alone
 * takes comments only outside strict mode, where it also takes duplicate
 * keys, trailing commas, single quotes, leading zeros and NaN, and clamps
 * integers past 64 bits without a word.
 *
 * All readers record findings and go on, so that one pass reports every
 * problem. The place of a finding is "line N" or "line N /json/pointer".
 *
 * JSON from the wire takes the same path with agb_jsonc_parse_wire(): it has
 * no comments, its strings and arrays may be empty, and findings at its
 * values have the pointer alone as their place.
 */

#include <json-c/json.h>

#include "finding.h"
#include "types.h"

/* Deeper documents are refused; ours need a depth of 5. */
#define AGB_JSONC_DEPTH_MAX 24

/* The same for JSON from the wire, where arguments nest as callers like. */
#define AGB_JSONC_WIRE_DEPTH_MAX 32

struct agb_jsonc;

/**
 * struct agb_jsonc_node - a value and where it stands
 * @doc: document that it is part of
 * @obj: the value; NULL for JSON null
 * @parent: the object or array around it; NULL for the root
 * @key: its key in an object, or NULL
 * @index: its index in an array
 * @hash: hash of its JSON pointer, the key of the table of lines
 */
struct agb_jsonc_node {
	struct agb_jsonc *doc;
	struct json_object *obj;
	const struct agb_jsonc_node *parent;
	const char *key;
	size_t index;
	uint64_t hash;
};

/**
 * agb_jsonc_parse() - check and read a text
 * @text: need not be NUL-terminated
 * @len: its length in bytes
 * @len_max: longest text taken
 * @findings: every problem found
 *
 * Return: the document, also after errors that leave its structure clear
 * (duplicate keys, trailing commas, leading zeros, integers out of range,
 * bad UTF-8), so that its content can be checked too; NULL when its
 * structure is not clear. Freed by agb_jsonc_free().
 */
struct agb_jsonc *agb_jsonc_parse(const char *text, size_t len, size_t len_max,
    struct agb_findings *findings);

/**
 * agb_jsonc_parse_wire() - check and read JSON from another process
 * @text: need not be NUL-terminated
 *
 * Return: the document; NULL after any finding in its text.
 */
struct agb_jsonc *agb_jsonc_parse_wire(
    const char *text, size_t len, struct agb_findings *findings);

/**
 * agb_jsonc_free() - free a document; nodes and strings of it end with it
 * @doc: may be NULL
 */
void agb_jsonc_free(struct agb_jsonc *doc);

/**
 * agb_jsonc_get_root() - the outermost value
 * Return: false, with a finding, when it is not an object.
 */
bool agb_jsonc_get_root(struct agb_jsonc *doc, struct agb_jsonc_node *out);

/**
 * agb_jsonc_report() - record a finding at a node, or at a key of it
 * @key: NULL for the node itself; a key that is absent gets the node's line
 */
void agb_jsonc_report(const struct agb_jsonc_node *node, const char *key,
    enum agb_finding_level level, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * agb_jsonc_report_item() - record a finding at an item of an array
 */
void agb_jsonc_report_item(const struct agb_jsonc_node *array, size_t index,
    enum agb_finding_level level, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * agb_jsonc_check_keys() - report each key that is not in a list, with the
 * nearest known key as a hint
 */
void agb_jsonc_check_keys(
    const struct agb_jsonc_node *node, const char *const *keys, size_t len);

/**
 * agb_jsonc_get_object() - an object below a key
 * Return: true when it is there and an object. A missing one is a finding
 * only with @required.
 */
bool agb_jsonc_get_object(const struct agb_jsonc_node *node, const char *key,
    bool required, struct agb_jsonc_node *out);

/**
 * agb_jsonc_get_array() - an array below a key
 * @len_max: a longer array is a finding; items past it are not read
 * @out: set when true is returned
 * @len: items to read
 * Return: true when it is there and an array. An empty one is a finding,
 * but not in JSON from the wire.
 */
bool agb_jsonc_get_array(const struct agb_jsonc_node *node, const char *key,
    bool required, size_t len_max, struct agb_jsonc_node *out, size_t *len);

/**
 * agb_jsonc_get_item_object() - an item of an array that must be an object
 */
bool agb_jsonc_get_item_object(const struct agb_jsonc_node *array, size_t index,
    struct agb_jsonc_node *out);

/**
 * agb_jsonc_get_item_str() - an item of an array that must be a string
 * Return: the string, part of the document; NULL after a finding.
 */
const char *agb_jsonc_get_item_str(
    const struct agb_jsonc_node *array, size_t index, size_t len_max);

/**
 * agb_jsonc_get_str() - a string
 * @dst: unchanged when the key is absent or wrong
 * @size: size of @dst; the string may have @size - 1 bytes
 * Return: true when @dst was set.
 */
bool agb_jsonc_get_str(const struct agb_jsonc_node *node, const char *key,
    bool required, char *dst, size_t size);

/**
 * agb_jsonc_dup_str() - a string of at most @len_max bytes
 * @dst: to be freed; unchanged when the key is absent or wrong
 */
bool agb_jsonc_dup_str(const struct agb_jsonc_node *node, const char *key,
    bool required, size_t len_max, char **dst);

/**
 * agb_jsonc_name_valid() - whether a string is a name as documents and
 * settings use them
 *
 * Names stand in URLs, store keys and log lines, so that only a-z, 0-9 and
 * inner hyphens are allowed.
 */
bool agb_jsonc_name_valid(const char *s);

/* Format of the finding for a string that is not a name. */
#define AGB_JSONC_BAD_NAME_FMT \
	"\"%s\" is not a name; allowed are a-z, 0-9 and inner hyphens"

/**
 * agb_jsonc_get_name() - a required name
 * @dst: AGB_NAME_LEN bytes; unchanged when the key is absent or wrong
 * Return: true when @dst was set.
 */
bool agb_jsonc_get_name(
    const struct agb_jsonc_node *node, const char *key, char *dst);

/**
 * struct agb_jsonc_range - integers allowed
 * @unit: such as "ms", put into the finding; "" for none
 */
struct agb_jsonc_range {
	int64_t min;
	int64_t max;
	const char *unit;
};

/**
 * agb_jsonc_get_int() - an integer in a range
 * @dst: unchanged when the key is absent or wrong
 * Return: true when @dst was set.
 */
bool agb_jsonc_get_int(const struct agb_jsonc_node *node, const char *key,
    bool required, const struct agb_jsonc_range *range, int64_t *dst);

/**
 * agb_jsonc_get_u64() - agb_jsonc_get_int() for unsigned fields of 64 bits
 */
bool agb_jsonc_get_u64(const struct agb_jsonc_node *node, const char *key,
    bool required, const struct agb_jsonc_range *range, uint64_t *dst);

/**
 * agb_jsonc_get_u32() - agb_jsonc_get_int() for fields of 32 bits
 */
bool agb_jsonc_get_u32(const struct agb_jsonc_node *node, const char *key,
    bool required, const struct agb_jsonc_range *range, uint32_t *dst);

/**
 * agb_jsonc_get_u16() - agb_jsonc_get_int() for fields of 16 bits
 */
bool agb_jsonc_get_u16(const struct agb_jsonc_node *node, const char *key,
    bool required, const struct agb_jsonc_range *range, uint16_t *dst);

/**
 * agb_jsonc_get_double() - a number from @min to @max
 */
bool agb_jsonc_get_double(const struct agb_jsonc_node *node, const char *key,
    bool required, double min, double max, double *dst);

/**
 * agb_jsonc_get_bool() - true or false
 */
bool agb_jsonc_get_bool(const struct agb_jsonc_node *node, const char *key,
    bool required, bool *dst);

/**
 * agb_jsonc_get_enum() - one of a list of words
 * @dst: set to the index of the word
 */
bool agb_jsonc_get_enum(const struct agb_jsonc_node *node, const char *key,
    bool required, const char *const *words, size_t len, size_t *dst);

/**
 * agb_jsonc_find_similar() - the word of a list that is nearest to another
 * Return: NULL when none differs by at most two edits or a third of it.
 */
const char *agb_jsonc_find_similar(
    const char *word, const char *const *words, size_t len);

/**
 * agb_jsonc_copy_printable() - printable ASCII copy of untrusted text for messages
 * @dst: cut at @size; other bytes become '?'
 */
void agb_jsonc_copy_printable(
    char *dst, size_t size, const char *src, size_t len);

#endif

#ifndef AGB_JSONC_H
#define AGB_JSONC_H

/**
 * DOC: jsonc
 *
 * Strict parser for JSON with comments. A scanner validates the text,
 * overwrites its comments with blanks and passes the result to json-c in
 * strict mode. json-c itself accepts comments only outside strict mode, where
 * it also accepts duplicate keys, trailing commas, single quotes, leading
 * zeros and NaN, and silently clamps integers beyond 64 bits.
 *
 * All functions record findings and continue, so that one pass reports every
 * problem. The location of a finding is "line N" or "line N /json/pointer".
 *
 * agb_jsonc_parse_wire() parses JSON from another process in the same way,
 * with these differences: comments are errors, strings and arrays may be
 * empty, and the location of a finding about a value is its JSON pointer
 * alone.
 */

#include <json-c/json.h>

#include "finding.h"
#include "types.h"

/* Maximum depth of a document or settings file; the real ones need 5. */
#define AGB_JSONC_DEPTH_MAX 24

/* Maximum depth of JSON from the wire, where clients nest arguments freely. */
#define AGB_JSONC_WIRE_DEPTH_MAX 32

struct agb_jsonc;

/**
 * struct agb_jsonc_node - a value and its position in a document
 * @obj: the value; NULL for JSON null
 * @parent: the enclosing object or array; NULL for the root
 * @key: its key in an object; NULL for the root and for items of an array
 * @index: its index in an array
 * @hash: hash of its JSON pointer; the key of its line in the table of lines
 *	that the scanner recorded
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
 * agb_jsonc_parse() - validate and parse a text
 * @text: need not be NUL-terminated
 * @len: its length in bytes
 * @len_max: longest text accepted
 * @findings: every problem found is added
 *
 * Return: the document, freed by agb_jsonc_free(). It is returned also after
 * errors that leave its structure unambiguous (duplicate keys, trailing
 * commas, leading zeros, integers out of range, invalid UTF-8), so that its
 * content can be checked too. NULL after other errors.
 */
struct agb_jsonc *agb_jsonc_parse(const char *text, size_t len, size_t len_max,
    struct agb_findings *findings);

/**
 * agb_jsonc_parse_wire() - validate and parse JSON from another process
 * @text: need not be NUL-terminated
 *
 * Return: the document, freed by agb_jsonc_free(); NULL after any finding.
 */
struct agb_jsonc *agb_jsonc_parse_wire(
    const char *text, size_t len, struct agb_findings *findings);

/**
 * agb_jsonc_free() - free a document with its nodes and strings
 * @doc: may be NULL
 */
void agb_jsonc_free(struct agb_jsonc *doc);

/**
 * agb_jsonc_get_root() - get the root, which must be an object
 * Return: false, after a finding, when it is not an object.
 */
bool agb_jsonc_get_root(struct agb_jsonc *doc, struct agb_jsonc_node *out);

/**
 * agb_jsonc_report() - record a finding about a node or one of its keys
 * @key: NULL for the node itself; a missing key is reported with the line of
 *	the node
 */
void agb_jsonc_report(const struct agb_jsonc_node *node, const char *key,
    enum agb_finding_level level, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * agb_jsonc_report_item() - record a finding about an item of an array
 */
void agb_jsonc_report_item(const struct agb_jsonc_node *array, size_t index,
    enum agb_finding_level level, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/**
 * agb_jsonc_check_keys() - report each key of an object that is not in a
 * list, and suggest the most similar key of the list
 */
void agb_jsonc_check_keys(
    const struct agb_jsonc_node *node, const char *const *keys, size_t len);

/**
 * agb_jsonc_get_object() - get an object by its key
 * @required: a missing key is a finding; the same holds for the other getters
 * Return: true when the key is present and its value is an object.
 */
bool agb_jsonc_get_object(const struct agb_jsonc_node *node, const char *key,
    bool required, struct agb_jsonc_node *out);

/**
 * agb_jsonc_get_array() - get an array by its key
 * @len_max: a longer array is a finding, and @len is limited to @len_max
 * @out: set when true is returned
 * @len: set to the number of items to read
 * Return: true when the key is present and its value is an array. An empty
 * array is a finding, except in JSON from the wire.
 */
bool agb_jsonc_get_array(const struct agb_jsonc_node *node, const char *key,
    bool required, size_t len_max, struct agb_jsonc_node *out, size_t *len);

/**
 * agb_jsonc_get_item_object() - get an item of an array, which must be an
 * object
 */
bool agb_jsonc_get_item_object(const struct agb_jsonc_node *array, size_t index,
    struct agb_jsonc_node *out);

/**
 * agb_jsonc_get_item_str() - get an item of an array, which must be a string
 * Return: the string, owned by the document; NULL after a finding.
 */
const char *agb_jsonc_get_item_str(
    const struct agb_jsonc_node *array, size_t index, size_t len_max);

/**
 * agb_jsonc_get_str() - copy a string into a buffer
 * @dst: unchanged when the key is missing or its value is invalid
 * @size: size of @dst in bytes; a string of @size bytes or more is a finding
 * Return: true when @dst was set.
 */
bool agb_jsonc_get_str(const struct agb_jsonc_node *node, const char *key,
    bool required, char *dst, size_t size);

/**
 * agb_jsonc_dup_str() - copy a string of at most @len_max bytes
 * @dst: set to a new string, freed by the caller; unchanged when the key is
 *	missing or its value is invalid
 * Return: true when @dst was set.
 */
bool agb_jsonc_dup_str(const struct agb_jsonc_node *node, const char *key,
    bool required, size_t len_max, char **dst);

/**
 * agb_jsonc_name_valid() - whether a string is a valid name in documents and
 * settings
 *
 * Names become part of URLs, store keys and log lines, so that only a-z, 0-9
 * and inner hyphens are allowed.
 */
bool agb_jsonc_name_valid(const char *s);

/* Format of the finding about an invalid name, which is its argument. */
#define AGB_JSONC_BAD_NAME_FMT \
	"\"%s\" is not a name; allowed are a-z, 0-9 and inner hyphens"

/**
 * agb_jsonc_get_name() - copy a required name into a buffer
 * @dst: AGB_NAME_LEN bytes; unchanged when the key is missing or its value
 *	is invalid
 * Return: true when @dst was set.
 */
bool agb_jsonc_get_name(
    const struct agb_jsonc_node *node, const char *key, char *dst);

/**
 * struct agb_jsonc_range - allowed range of an integer
 * @min: smallest allowed value
 * @max: largest allowed value
 * @unit: unit to name in a finding, such as "ms"; "" for none
 */
struct agb_jsonc_range {
	int64_t min;
	int64_t max;
	const char *unit;
};

/**
 * agb_jsonc_get_int() - get an integer within a range
 * @dst: unchanged when the key is missing or its value is invalid
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
 * agb_jsonc_get_double() - get a number from @min to @max
 */
bool agb_jsonc_get_double(const struct agb_jsonc_node *node, const char *key,
    bool required, double min, double max, double *dst);

/**
 * agb_jsonc_get_bool() - get a boolean
 */
bool agb_jsonc_get_bool(const struct agb_jsonc_node *node, const char *key,
    bool required, bool *dst);

/**
 * agb_jsonc_get_enum() - get a string that must be one of a list of words
 * @dst: set to the index of the word in the list
 */
bool agb_jsonc_get_enum(const struct agb_jsonc_node *node, const char *key,
    bool required, const char *const *words, size_t len, size_t *dst);

/**
 * agb_jsonc_find_similar() - find the word of a list with the smallest edit
 * distance to @word
 * Return: NULL when every word is more than two edits, and more than a third
 * of the length of @word, away from it.
 */
const char *agb_jsonc_find_similar(
    const char *word, const char *const *words, size_t len);

/**
 * agb_jsonc_copy_printable() - copy untrusted text for use in a message
 * @dst: NUL-terminated and truncated to @size bytes; bytes that are not
 *	printable ASCII are replaced with '?'
 */
void agb_jsonc_copy_printable(
    char *dst, size_t size, const char *src, size_t len);

#endif

#ifndef AGB_JSON_STRICT_H
#define AGB_JSON_STRICT_H

/**
 * DOC: json_strict
 *
 * JSON from outside, read with json-c after a check of our own. json-c
 * accepts duplicate keys and clamps large integers even in its strict mode;
 * here both are findings. Each getter records what is wrong and goes on, so
 * that all findings of one text are reported together.
 */

#include <json-c/json.h>

#include "finding.h"
#include "types.h"

/* Deeper nesting is refused; the check recurses once for each level. */
#define AGB_JSON_DEPTH_MAX 32

/**
 * agb_json_strict_parse() - parse one JSON text (RFC 8259, UTF-8)
 * @text: need not end with a NUL
 * @f: gets the findings
 * Return: the value, to be released with json_object_put(); NULL when there
 * was an error or the text is "null".
 */
struct json_object *agb_json_strict_parse(
    const char *text, size_t len, struct agb_findings *f);

/**
 * struct agb_json_obj - an object being read and its place
 * @obj: may be NULL; then each getter acts as if its key were absent
 * @place: JSON pointer of @obj, "" for the whole text
 * @f: gets the findings
 */
struct agb_json_obj {
	struct json_object *obj;
	char place[128];
	struct agb_findings *f;
};

/**
 * agb_json_root() - start reading a parsed text
 * Return: false, with a finding, when it is not an object.
 */
bool agb_json_root(
    struct agb_json_obj *o, struct json_object *root, struct agb_findings *f);

/**
 * agb_json_only() - record each key that is not in @keys
 * @keys: ended by NULL
 */
void agb_json_only(const struct agb_json_obj *o, const char *const *keys);

/**
 * agb_json_uint() - integer from @min to @max
 * @out: unchanged unless the key holds a valid value
 * Return: true when the key holds a valid value.
 */
bool agb_json_uint(const struct agb_json_obj *o, const char *key, bool required,
    uint64_t min, uint64_t max, uint64_t *out);

/**
 * agb_json_int() - agb_json_uint() for signed integers
 */
bool agb_json_int(const struct agb_json_obj *o, const char *key, bool required,
    int64_t min, int64_t max, int64_t *out);

/**
 * agb_json_text() - string without NUL of at most @max bytes
 * @out: to be freed; unchanged unless the key holds a valid value
 */
bool agb_json_text(const struct agb_json_obj *o, const char *key, bool required,
    size_t max, char **out);

/**
 * agb_json_bool() - true or false
 */
bool agb_json_bool(
    const struct agb_json_obj *o, const char *key, bool required, bool *out);

/**
 * agb_json_str() - string without NUL that fits @dst
 */
bool agb_json_str(const struct agb_json_obj *o, const char *key, bool required,
    char *dst, size_t len);

/**
 * agb_json_sub() - object inside an object
 * Return: false when the key is absent or no object; @out is then empty.
 */
bool agb_json_sub(const struct agb_json_obj *o, const char *key, bool required,
    struct agb_json_obj *out);

/**
 * agb_json_array() - array inside an object
 * @max: most items allowed
 * Return: NULL when the key is absent or holds no valid array.
 */
struct json_object *agb_json_array(
    const struct agb_json_obj *o, const char *key, bool required, size_t max);

/**
 * agb_json_item() - object inside an array
 * @key: key of the array in @o
 */
bool agb_json_item(const struct agb_json_obj *o, const char *key,
    struct json_object *array, size_t i, struct agb_json_obj *out);

#endif

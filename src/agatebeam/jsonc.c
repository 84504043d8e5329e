#include "jsonc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "jsonc_scan.h"
#include "mem.h"

/* Longest word for which a similar one is searched. */
#define HINT_WORD_MAX 48

struct agb_jsonc {
	struct json_object *root;
	struct agb_findings *findings;
	bool wire;
	struct agb_jsonc_lines lines;
};

void
agb_jsonc_copy_printable(char *dst, size_t size, const char *src, size_t len)
{
	size_t i;

	for (i = 0; i < len && i + 1 < size; i++)
		dst[i] = (char)(src[i] >= ' ' && src[i] <= '~' ? src[i] : '?');
	dst[i] = '\0';
}

static struct agb_jsonc *
parse(const char *text, size_t len, size_t len_max, bool wire,
    struct agb_findings *findings)
{
	const size_t errors = findings->errors;
	struct json_tokener *tok = NULL;
	struct agb_jsonc *doc = NULL;
	char *copy = NULL;

	if (len > len_max) {
		agb_findings_add(findings, AGB_FINDING_ERROR, "line 1",
		    "text has %zu bytes; at most %zu are allowed", len,
		    len_max);
		return NULL;
	}
	copy = agb_xmemdup(text, len);
	doc = agb_xcalloc(1, sizeof(*doc));
	doc->findings = findings;
	doc->wire = wire;
	/* A random seed prevents a sender from choosing keys that collide. */
	if (wire &&
	    getrandom(&doc->lines.seed, sizeof(doc->lines.seed), 0) !=
		(ssize_t)sizeof(doc->lines.seed))
		abort();
	if (!agb_jsonc_scan(copy, len, wire, &doc->lines, findings) ||
	    (wire && findings->errors != errors))
		goto fail;
	tok = json_tokener_new_ex(
	    wire ? AGB_JSONC_WIRE_DEPTH_MAX + 2 : AGB_JSONC_DEPTH_MAX + 2);
	if (tok == NULL)
		abort();
	json_tokener_set_flags(tok, JSON_TOKENER_STRICT);
	/* Includes the NUL: json-c would otherwise expect more digits after a
	 * number at the end. */
	doc->root = json_tokener_parse_ex(tok, copy, (int)len + 1);
	if (json_tokener_get_error(tok) != json_tokener_success) {
		agb_findings_add(findings, AGB_FINDING_ERROR, "line 1",
		    "json-c: %s",
		    json_tokener_error_desc(json_tokener_get_error(tok)));
		goto fail;
	}
	json_tokener_free(tok);
	free(copy);
	return doc;
fail:
	if (tok != NULL)
		json_tokener_free(tok);
	free(copy);
	agb_jsonc_free(doc);
	return NULL;
}

struct agb_jsonc *
agb_jsonc_parse(
    const char *text, size_t len, size_t len_max, struct agb_findings *findings)
{
	return parse(text, len, len_max, false, findings);
}

struct agb_jsonc *
agb_jsonc_parse_wire(
    const char *text, size_t len, struct agb_findings *findings)
{
	/* json-c takes the length, including the NUL, as an int. */
	return parse(text, len, INT32_MAX - 1, true, findings);
}

void
agb_jsonc_free(struct agb_jsonc *doc)
{
	if (doc == NULL)
		return;
	json_object_put(doc->root);
	free(doc->lines.items);
	free(doc);
}

static size_t
format_pointer(char *buf, size_t size, const struct agb_jsonc_node *node)
{
	size_t n = 0;
	const char *p;

	if (node->parent == NULL)
		return 0;
	n = format_pointer(buf, size, node->parent);
	if (node->key == NULL) {
		n += (size_t)snprintf(buf + n, size - n, "/%zu", node->index);
		return n < size ? n : size - 1;
	}
	if (n + 1 < size)
		buf[n++] = '/';
	for (p = node->key; *p != '\0' && n + 2 < size; p++) {
		if (*p == '~' || *p == '/') {
			buf[n++] = '~';
			buf[n++] = *p == '~' ? '0' : '1';
		} else {
			buf[n++] = (char)(*p >= ' ' && *p <= '~' ? *p : '?');
		}
	}
	buf[n] = '\0';
	return n;
}

static struct agb_jsonc_node
child_key(const struct agb_jsonc_node *node, const char *key)
{
	const struct agb_jsonc_node child = {
	    .doc = node->doc,
	    .parent = node,
	    .key = key,
	    .hash = agb_jsonc_hash_key(node->hash, key, strlen(key)),
	};

	return child;
}

static struct agb_jsonc_node
child_index(const struct agb_jsonc_node *array, size_t index)
{
	const struct agb_jsonc_node child = {
	    .doc = array->doc,
	    .obj = json_object_array_get_idx(array->obj, index),
	    .parent = array,
	    .index = index,
	    .hash = agb_jsonc_hash_index(array->hash, index),
	};

	return child;
}

/* Line of a node, or of its nearest ancestor when it is not in the text. */
static uint32_t
line_of(const struct agb_jsonc_node *node)
{
	uint32_t line;

	for (; node->parent != NULL; node = node->parent) {
		line = agb_jsonc_lines_get(&node->doc->lines, node->hash);
		if (line != 0)
			return line;
	}
	return 1;
}

static void report(const struct agb_jsonc_node *node,
    enum agb_finding_level level, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void
vreport(const struct agb_jsonc_node *node, enum agb_finding_level level,
    const char *fmt, va_list ap)
{
	char pointer[96] = "";
	char location[128];
	char text[192];

	format_pointer(pointer, sizeof(pointer), node);
	if (node->doc->wire)
		snprintf(location, sizeof(location), "%s", pointer);
	else
		snprintf(location, sizeof(location), "line %u%s%s",
		    line_of(node), pointer[0] != '\0' ? " " : "", pointer);
	vsnprintf(text, sizeof(text), fmt, ap);
	agb_findings_add(node->doc->findings, level, location, "%s", text);
}

static void
report(const struct agb_jsonc_node *node, enum agb_finding_level level,
    const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vreport(node, level, fmt, ap);
	va_end(ap);
}

void
agb_jsonc_report(const struct agb_jsonc_node *node, const char *key,
    enum agb_finding_level level, const char *fmt, ...)
{
	struct agb_jsonc_node child;
	va_list ap;

	if (key != NULL) {
		child = child_key(node, key);
		node = &child;
	}
	va_start(ap, fmt);
	vreport(node, level, fmt, ap);
	va_end(ap);
}

void
agb_jsonc_report_item(const struct agb_jsonc_node *array, size_t index,
    enum agb_finding_level level, const char *fmt, ...)
{
	const struct agb_jsonc_node child = child_index(array, index);
	va_list ap;

	va_start(ap, fmt);
	vreport(&child, level, fmt, ap);
	va_end(ap);
}

static const char *
type_name(struct json_object *obj)
{
	switch (json_object_get_type(obj)) {
	case json_type_null:
		return "null";
	case json_type_boolean:
		return "a boolean";
	case json_type_double:
		return "a number with a fraction";
	case json_type_int:
		return "an integer";
	case json_type_object:
		return "an object";
	case json_type_array:
		return "an array";
	case json_type_string:
		break;
	}
	return "a string";
}

/* Returns whether a value has a type; reports a finding if it does not. */
static bool
expect_type(
    const struct agb_jsonc_node *node, enum json_type type, const char *want)
{
	if (json_object_get_type(node->obj) == type)
		return true;
	report(node, AGB_FINDING_ERROR, "is %s; expected %s",
	    type_name(node->obj), want);
	return false;
}

/* Looks up a key, and reports a missing one when it is required. */
static bool
find_key(const struct agb_jsonc_node *node, const char *key, bool required,
    struct agb_jsonc_node *out)
{
	*out = child_key(node, key);
	if (json_object_object_get_ex(node->obj, key, &out->obj))
		return true;
	if (required)
		report(out, AGB_FINDING_ERROR, "is missing");
	return false;
}

bool
agb_jsonc_get_root(struct agb_jsonc *doc, struct agb_jsonc_node *out)
{
	memset(out, 0, sizeof(*out));
	out->doc = doc;
	out->obj = doc->root;
	return expect_type(out, json_type_object, "an object");
}

/* Levenshtein distance of two words of at most HINT_WORD_MAX bytes. */
static size_t
edit_distance(const char *a, size_t a_len, const char *b, size_t b_len)
{
	size_t row[HINT_WORD_MAX + 1];
	size_t i, j, diag, cost, best;

	for (j = 0; j <= b_len; j++)
		row[j] = j;
	for (i = 1; i <= a_len; i++) {
		diag = row[0];
		row[0] = i;
		for (j = 1; j <= b_len; j++) {
			cost = diag + (a[i - 1] != b[j - 1]);
			diag = row[j];
			best = row[j] < row[j - 1] ? row[j] : row[j - 1];
			row[j] = cost < best + 1 ? cost : best + 1;
		}
	}
	return row[b_len];
}

const char *
agb_jsonc_find_similar(const char *word, const char *const *words, size_t len)
{
	const size_t word_len = strnlen(word, HINT_WORD_MAX + 1);
	const size_t max_distance = word_len / 3 > 2 ? word_len / 3 : 2;
	const char *nearest = NULL;
	size_t best = max_distance + 1;
	size_t i, d;

	if (word_len > HINT_WORD_MAX)
		return NULL;
	for (i = 0; i < len; i++) {
		if (strlen(words[i]) > HINT_WORD_MAX)
			continue;
		d = edit_distance(word, word_len, words[i], strlen(words[i]));
		if (d < best && d < strlen(words[i])) {
			best = d;
			nearest = words[i];
		}
	}
	return nearest;
}

void
agb_jsonc_check_keys(
    const struct agb_jsonc_node *node, const char *const *keys, size_t len)
{
	struct agb_jsonc_node child;
	const char *hint;
	size_t i;

	json_object_object_foreach(node->obj, key, value)
	{
		(void)value;
		for (i = 0; i < len && strcmp(key, keys[i]) != 0; i++)
			continue;
		if (i < len)
			continue;
		child = child_key(node, key);
		hint = agb_jsonc_find_similar(key, keys, len);
		if (hint != NULL)
			report(&child, AGB_FINDING_ERROR,
			    "unknown key; did you mean \"%s\"?", hint);
		else
			report(&child, AGB_FINDING_ERROR, "unknown key");
	}
}

bool
agb_jsonc_get_object(const struct agb_jsonc_node *node, const char *key,
    bool required, struct agb_jsonc_node *out)
{
	return find_key(node, key, required, out) &&
	    expect_type(out, json_type_object, "an object");
}

bool
agb_jsonc_get_array(const struct agb_jsonc_node *node, const char *key,
    bool required, size_t len_max, struct agb_jsonc_node *out, size_t *len)
{
	*len = 0;
	if (!find_key(node, key, required, out) ||
	    !expect_type(out, json_type_array, "an array"))
		return false;
	*len = json_object_array_length(out->obj);
	if (*len == 0 && !node->doc->wire)
		report(out, AGB_FINDING_ERROR,
		    "is empty; expected 1 to %zu items", len_max);
	if (*len > len_max) {
		report(out, AGB_FINDING_ERROR,
		    "has %zu items; at most %zu are allowed", *len, len_max);
		*len = len_max;
	}
	return true;
}

bool
agb_jsonc_get_item_object(const struct agb_jsonc_node *array, size_t index,
    struct agb_jsonc_node *out)
{
	*out = child_index(array, index);
	return expect_type(out, json_type_object, "an object");
}

/* Returns the string of a node, or NULL after reporting a finding. */
static const char *
get_checked_str(const struct agb_jsonc_node *node, size_t len_max)
{
	const char *s;
	size_t len;

	if (!expect_type(node, json_type_string, "a string"))
		return NULL;
	len = (size_t)json_object_get_string_len(node->obj);
	if (len == 0 && !node->doc->wire) {
		report(node, AGB_FINDING_ERROR, "is empty");
		return NULL;
	}
	if (len > len_max) {
		report(node, AGB_FINDING_ERROR,
		    "has %zu bytes; at most %zu are allowed", len, len_max);
		return NULL;
	}
	s = json_object_get_string(node->obj);
	if (strlen(s) == len)
		return s;
	report(node, AGB_FINDING_ERROR, "\\u0000 is not allowed here");
	return NULL;
}

const char *
agb_jsonc_get_item_str(
    const struct agb_jsonc_node *array, size_t index, size_t len_max)
{
	const struct agb_jsonc_node child = child_index(array, index);

	return get_checked_str(&child, len_max);
}

bool
agb_jsonc_get_str(const struct agb_jsonc_node *node, const char *key,
    bool required, char *dst, size_t size)
{
	struct agb_jsonc_node child;
	const char *s;

	if (!find_key(node, key, required, &child))
		return false;
	s = get_checked_str(&child, size - 1);
	return s != NULL && agb_str_copy(dst, size, s);
}

bool
agb_jsonc_dup_str(const struct agb_jsonc_node *node, const char *key,
    bool required, size_t len_max, char **dst)
{
	struct agb_jsonc_node child;
	const char *s;

	if (!find_key(node, key, required, &child))
		return false;
	s = get_checked_str(&child, len_max);
	if (s == NULL)
		return false;
	*dst = agb_xstrdup(s);
	return true;
}

bool
agb_jsonc_name_valid(const char *s)
{
	const char *p;

	for (p = s; *p != '\0'; p++) {
		if (!((*p >= 'a' && *p <= 'z') || (*p >= '0' && *p <= '9') ||
			(*p == '-' && p > s && p[1] != '\0')))
			return false;
	}
	return p > s;
}

bool
agb_jsonc_get_name(
    const struct agb_jsonc_node *node, const char *key, char *dst)
{
	char got[AGB_NAME_LEN];
	agb_name name;

	if (!agb_jsonc_get_str(node, key, true, name, sizeof(name)))
		return false;
	if (!agb_jsonc_name_valid(name)) {
		agb_jsonc_copy_printable(got, sizeof(got), name, strlen(name));
		agb_jsonc_report(
		    node, key, AGB_FINDING_ERROR, AGB_JSONC_BAD_NAME_FMT, got);
		return false;
	}
	return agb_str_copy(dst, AGB_NAME_LEN, name);
}

bool
agb_jsonc_get_int(const struct agb_jsonc_node *node, const char *key,
    bool required, const struct agb_jsonc_range *range, int64_t *dst)
{
	const char *const separator = range->unit[0] != '\0' ? " " : "";
	struct agb_jsonc_node child;
	int64_t v;

	if (!find_key(node, key, required, &child) ||
	    !expect_type(&child, json_type_int, "an integer"))
		return false;
	v = json_object_get_int64(child.obj);
	if (v < range->min || v > range->max) {
		report(&child, AGB_FINDING_ERROR,
		    "is %lld; allowed are %lld to %lld%s%s", (long long)v,
		    (long long)range->min, (long long)range->max, separator,
		    range->unit);
		return false;
	}
	*dst = v;
	return true;
}

bool
agb_jsonc_get_u64(const struct agb_jsonc_node *node, const char *key,
    bool required, const struct agb_jsonc_range *range, uint64_t *dst)
{
	int64_t v;

	if (!agb_jsonc_get_int(node, key, required, range, &v))
		return false;
	*dst = (uint64_t)v;
	return true;
}

bool
agb_jsonc_get_u32(const struct agb_jsonc_node *node, const char *key,
    bool required, const struct agb_jsonc_range *range, uint32_t *dst)
{
	int64_t v;

	if (!agb_jsonc_get_int(node, key, required, range, &v))
		return false;
	*dst = (uint32_t)v;
	return true;
}

bool
agb_jsonc_get_u16(const struct agb_jsonc_node *node, const char *key,
    bool required, const struct agb_jsonc_range *range, uint16_t *dst)
{
	int64_t v;

	if (!agb_jsonc_get_int(node, key, required, range, &v))
		return false;
	*dst = (uint16_t)v;
	return true;
}

bool
agb_jsonc_get_double(const struct agb_jsonc_node *node, const char *key,
    bool required, double min, double max, double *dst)
{
	struct agb_jsonc_node child;
	double v;

	if (!find_key(node, key, required, &child))
		return false;
	if (json_object_get_type(child.obj) != json_type_int &&
	    !expect_type(&child, json_type_double, "a number"))
		return false;
	v = json_object_get_double(child.obj);
	if (!(v >= min && v <= max)) {
		report(&child, AGB_FINDING_ERROR, "is %g; allowed are %g to %g",
		    v, min, max);
		return false;
	}
	*dst = v;
	return true;
}

bool
agb_jsonc_get_bool(const struct agb_jsonc_node *node, const char *key,
    bool required, bool *dst)
{
	struct agb_jsonc_node child;

	if (!find_key(node, key, required, &child) ||
	    !expect_type(&child, json_type_boolean, "true or false"))
		return false;
	*dst = json_object_get_boolean(child.obj) != 0;
	return true;
}

bool
agb_jsonc_get_enum(const struct agb_jsonc_node *node, const char *key,
    bool required, const char *const *words, size_t len, size_t *dst)
{
	struct agb_jsonc_node child;
	char list[128];
	char got[32];
	const char *s;
	size_t i, n;

	if (!find_key(node, key, required, &child))
		return false;
	s = get_checked_str(&child, SIZE_MAX);
	if (s == NULL)
		return false;
	for (i = 0; i < len; i++) {
		if (strcmp(s, words[i]) == 0) {
			*dst = i;
			return true;
		}
	}
	list[0] = '\0';
	for (i = 0, n = 0; i < len && n < sizeof(list); i++)
		n += (size_t)snprintf(list + n, sizeof(list) - n, "%s%s",
		    i > 0 ? ", " : "", words[i]);
	agb_jsonc_copy_printable(got, sizeof(got), s, strlen(s));
	report(&child, AGB_FINDING_ERROR, "is \"%s\"; expected one of %s", got,
	    list);
	return false;
}

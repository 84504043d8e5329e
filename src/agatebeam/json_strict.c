#include "json_strict.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

struct scan {
	const char *text;
	const char *p;
	const char *end;
	unsigned depth;
	size_t keys;
	struct agb_findings *f;
};

struct span {
	const char *p;
	size_t len;
};

static void
place_at(const struct scan *s, const char *p, char *buf, size_t len)
{
	const char *q;
	unsigned line;

	line = 1;
	for (q = s->text; q < p; q++) {
		if (*q == '\n')
			line++;
	}
	snprintf(buf, len, "line %u", line);
}

static bool
fail(struct scan *s, const char *what)
{
	char place[32];

	place_at(s, s->p, place, sizeof(place));
	agb_findings_add(s->f, AGB_FINDING_ERROR, place, "%s", what);
	return false;
}

static void
skip_space(struct scan *s)
{
	while (s->p < s->end &&
	    (*s->p == ' ' || *s->p == '\t' || *s->p == '\n' || *s->p == '\r'))
		s->p++;
}

static bool
is_hex(char c)
{
	return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
	    (c >= 'A' && c <= 'F');
}

static bool
scan_escape(struct scan *s)
{
	int i;

	if (s->p == s->end)
		return fail(s, "string without an end");
	if (*s->p != 'u') {
		if (strchr("\"\\/bfnrt", *s->p) == NULL || *s->p == '\0')
			return fail(s, "unknown escape in a string");
		s->p++;
		return true;
	}
	s->p++;
	for (i = 0; i < 4; i++) {
		if (s->p == s->end || !is_hex(*s->p))
			return fail(s, "\\u needs four hexadecimal digits");
		s->p++;
	}
	return true;
}

static bool
scan_string(struct scan *s, struct span *out)
{
	if (s->p == s->end || *s->p != '"')
		return fail(s, "expected a string in double quotes");
	out->p = ++s->p;
	while (s->p < s->end && *s->p != '"') {
		if ((unsigned char)*s->p < 0x20)
			return fail(s, "control character in a string");
		if (*s->p++ == '\\' && !scan_escape(s))
			return false;
	}
	if (s->p == s->end)
		return fail(s, "string without an end");
	out->len = (size_t)(s->p++ - out->p);
	return true;
}

static bool
scan_digits(struct scan *s)
{
	const char *const from = s->p;

	while (s->p < s->end && *s->p >= '0' && *s->p <= '9')
		s->p++;
	return s->p > from ? true : fail(s, "number needs a digit");
}

static bool
check_integer(struct scan *s, const char *from)
{
	char buf[24];
	size_t n;

	n = (size_t)(s->p - from);
	if (n < sizeof(buf)) {
		memcpy(buf, from, n);
		buf[n] = '\0';
		errno = 0;
		(void)strtoll(buf, NULL, 10);
		if (errno == 0)
			return true;
	}
	return fail(s, "integer does not fit 64 bits");
}

static bool
scan_number(struct scan *s)
{
	const char *const from = s->p;
	bool integer;

	if (*s->p == '-')
		s->p++;
	if (s->p < s->end && *s->p == '0') {
		s->p++;
		if (s->p < s->end && *s->p >= '0' && *s->p <= '9')
			return fail(s, "number with a leading zero");
	} else if (!scan_digits(s))
		return false;
	integer = true;
	if (s->p < s->end && *s->p == '.') {
		integer = false;
		s->p++;
		if (!scan_digits(s))
			return false;
	}
	if (s->p < s->end && (*s->p == 'e' || *s->p == 'E')) {
		integer = false;
		s->p++;
		if (s->p < s->end && (*s->p == '+' || *s->p == '-'))
			s->p++;
		if (!scan_digits(s))
			return false;
	}
	return integer ? check_integer(s, from) : true;
}

static bool
scan_word(struct scan *s, const char *word)
{
	const size_t n = strlen(word);

	if ((size_t)(s->end - s->p) < n || memcmp(s->p, word, n) != 0)
		return fail(s, "expected a JSON value");
	s->p += n;
	return true;
}

static int
span_order(const void *va, const void *vb)
{
	const struct span *const a = va;
	const struct span *const b = vb;
	int n;

	n = memcmp(a->p, b->p, a->len < b->len ? a->len : b->len);
	if (n != 0)
		return n;
	if (a->len != b->len)
		return a->len < b->len ? -1 : 1;
	return a->p < b->p ? -1 : a->p > b->p;
}

static void
check_duplicates(struct scan *s, struct span *keys, size_t len)
{
	char place[32];
	size_t i;

	if (len < 2)
		return;
	qsort(keys, len, sizeof(*keys), span_order);
	for (i = 1; i < len; i++) {
		if (keys[i].len != keys[i - 1].len ||
		    memcmp(keys[i].p, keys[i - 1].p, keys[i].len) != 0)
			continue;
		place_at(s, keys[i].p, place, sizeof(place));
		agb_findings_add(s->f, AGB_FINDING_ERROR, place,
		    "key \"%.*s\" is given twice",
		    (int)(keys[i].len < 64 ? keys[i].len : 64), keys[i].p);
	}
}

static bool scan_value(struct scan *s);

static bool
scan_members(struct scan *s, struct span **keys, size_t *len)
{
	size_t cap;

	cap = 0;
	for (;;) {
		if (*len == cap) {
			cap = cap > 0 ? cap * 2 : 8;
			*keys = agb_xreallocarray(*keys, cap, sizeof(**keys));
		}
		skip_space(s);
		if (!scan_string(s, &(*keys)[*len]))
			return false;
		(*len)++;
		s->keys++;
		skip_space(s);
		if (s->p == s->end || *s->p != ':')
			return fail(s, "expected ':' after a key");
		s->p++;
		if (!scan_value(s))
			return false;
		skip_space(s);
		if (s->p == s->end || (*s->p != ',' && *s->p != '}'))
			return fail(s, "expected ',' or '}' in an object");
		if (*s->p++ == '}')
			return true;
	}
}

static bool
scan_object(struct scan *s)
{
	struct span *keys;
	size_t len;
	bool ok;

	s->p++;
	skip_space(s);
	if (s->p < s->end && *s->p == '}') {
		s->p++;
		return true;
	}
	keys = NULL;
	len = 0;
	ok = scan_members(s, &keys, &len);
	if (ok)
		check_duplicates(s, keys, len);
	free(keys);
	return ok;
}

static bool
scan_array(struct scan *s)
{
	s->p++;
	skip_space(s);
	if (s->p < s->end && *s->p == ']') {
		s->p++;
		return true;
	}
	for (;;) {
		if (!scan_value(s))
			return false;
		skip_space(s);
		if (s->p == s->end || (*s->p != ',' && *s->p != ']'))
			return fail(s, "expected ',' or ']' in an array");
		if (*s->p++ == ']')
			return true;
	}
}

static bool
scan_nested(struct scan *s)
{
	bool ok;

	if (s->depth == AGB_JSON_DEPTH_MAX)
		return fail(s, "nested too deeply");
	s->depth++;
	ok = *s->p == '{' ? scan_object(s) : scan_array(s);
	s->depth--;
	return ok;
}

static bool
scan_value(struct scan *s)
{
	struct span ignored;

	skip_space(s);
	if (s->p == s->end)
		return fail(s, "expected a JSON value");
	switch (*s->p) {
	case '{':
	case '[':
		return scan_nested(s);
	case '"':
		return scan_string(s, &ignored);
	case 't':
		return scan_word(s, "true");
	case 'f':
		return scan_word(s, "false");
	case 'n':
		return scan_word(s, "null");
	default:
		if (*s->p == '-' || (*s->p >= '0' && *s->p <= '9'))
			return scan_number(s);
		return fail(s, "expected a JSON value");
	}
}

static size_t
count_keys(struct json_object *v)
{
	size_t n, i;

	n = 0;
	if (json_object_is_type(v, json_type_object)) {
		json_object_object_foreach(v, key, child)
		{
			(void)key;
			n += 1 + count_keys(child);
		}
	} else if (json_object_is_type(v, json_type_array)) {
		for (i = 0; i < json_object_array_length(v); i++)
			n += count_keys(json_object_array_get_idx(v, i));
	}
	return n;
}

struct json_object *
agb_json_strict_parse(const char *text, size_t len, struct agb_findings *f)
{
	struct scan s = {.text = text, .p = text, .end = text + len, .f = f};
	const size_t errors = f->errors;
	struct json_tokener *tok;
	struct json_object *root;

	if (len > INT32_MAX) {
		agb_findings_add(f, AGB_FINDING_ERROR, "", "text too long");
		return NULL;
	}
	if (!scan_value(&s))
		return NULL;
	skip_space(&s);
	if (s.p != s.end)
		(void)fail(&s, "further text after the JSON value");
	if (f->errors != errors)
		return NULL;
	tok = json_tokener_new_ex(AGB_JSON_DEPTH_MAX + 1);
	if (tok == NULL)
		abort();
	json_tokener_set_flags(
	    tok, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
	root = json_tokener_parse_ex(tok, text, (int)len);
	/* A number alone only ends with the text. */
	if (root == NULL &&
	    json_tokener_get_error(tok) == json_tokener_continue)
		root = json_tokener_parse_ex(tok, "", 1);
	if (json_tokener_get_error(tok) != json_tokener_success)
		agb_findings_add(f, AGB_FINDING_ERROR, "", "%s",
		    json_tokener_error_desc(json_tokener_get_error(tok)));
	else if (count_keys(root) != s.keys)
		/* Equal only once their escapes are decoded. */
		agb_findings_add(
		    f, AGB_FINDING_ERROR, "", "a key is given twice");
	json_tokener_free(tok);
	if (f->errors == errors)
		return root;
	json_object_put(root);
	return NULL;
}

bool
agb_json_root(
    struct agb_json_obj *o, struct json_object *root, struct agb_findings *f)
{
	memset(o, 0, sizeof(*o));
	o->f = f;
	if (!json_object_is_type(root, json_type_object)) {
		agb_findings_add(
		    f, AGB_FINDING_ERROR, "", "must be a JSON object");
		return false;
	}
	o->obj = root;
	return true;
}

static void __attribute__((format(printf, 3, 4)))
add(const struct agb_json_obj *o, const char *key, const char *fmt, ...)
{
	char place[128], text[192];
	va_list ap;

	snprintf(place, sizeof(place), "%.80s/%.40s", o->place, key);
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	agb_findings_add(o->f, AGB_FINDING_ERROR, place, "%s", text);
}

void
agb_json_only(const struct agb_json_obj *o, const char *const *keys)
{
	size_t i;

	if (o->obj == NULL)
		return;
	json_object_object_foreach(o->obj, key, child)
	{
		(void)child;
		for (i = 0; keys[i] != NULL && strcmp(keys[i], key) != 0; i++)
			;
		if (keys[i] == NULL)
			add(o, key, "unknown key");
	}
}

static bool
get(const struct agb_json_obj *o, const char *key, bool required,
    struct json_object **out)
{
	if (o->obj != NULL && json_object_object_get_ex(o->obj, key, out))
		return true;
	if (required)
		add(o, key, "is required");
	return false;
}

bool
agb_json_int(const struct agb_json_obj *o, const char *key, bool required,
    int64_t min, int64_t max, int64_t *out)
{
	struct json_object *v;
	int64_t n;

	if (!get(o, key, required, &v))
		return false;
	n = json_object_get_int64(v);
	if (!json_object_is_type(v, json_type_int) || n < min || n > max) {
		add(o, key, "must be an integer from %lld to %lld",
		    (long long)min, (long long)max);
		return false;
	}
	*out = n;
	return true;
}

bool
agb_json_uint(const struct agb_json_obj *o, const char *key, bool required,
    uint64_t min, uint64_t max, uint64_t *out)
{
	int64_t n;

	if (!agb_json_int(o, key, required, (int64_t)min,
		max < INT64_MAX ? (int64_t)max : INT64_MAX, &n))
		return false;
	*out = (uint64_t)n;
	return true;
}

bool
agb_json_bool(
    const struct agb_json_obj *o, const char *key, bool required, bool *out)
{
	struct json_object *v;

	if (!get(o, key, required, &v))
		return false;
	if (!json_object_is_type(v, json_type_boolean)) {
		add(o, key, "must be true or false");
		return false;
	}
	*out = json_object_get_boolean(v);
	return true;
}

static bool
get_string(const struct agb_json_obj *o, const char *key, bool required,
    size_t max, const char **out, size_t *len)
{
	struct json_object *v;

	if (!get(o, key, required, &v))
		return false;
	if (!json_object_is_type(v, json_type_string)) {
		add(o, key, "must be a string");
		return false;
	}
	*out = json_object_get_string(v);
	*len = (size_t)json_object_get_string_len(v);
	if (*len > max || strlen(*out) != *len) {
		add(o, key, "must have at most %zu bytes, none of them NUL",
		    max);
		return false;
	}
	return true;
}

bool
agb_json_str(const struct agb_json_obj *o, const char *key, bool required,
    char *dst, size_t len)
{
	const char *s;
	size_t n;

	if (!get_string(o, key, required, len - 1, &s, &n))
		return false;
	memcpy(dst, s, n + 1);
	return true;
}

bool
agb_json_text(const struct agb_json_obj *o, const char *key, bool required,
    size_t max, char **out)
{
	const char *s;
	size_t n;

	if (!get_string(o, key, required, max, &s, &n))
		return false;
	*out = agb_xmemdup(s, n);
	return true;
}

bool
agb_json_sub(const struct agb_json_obj *o, const char *key, bool required,
    struct agb_json_obj *out)
{
	struct json_object *v;

	memset(out, 0, sizeof(*out));
	out->f = o->f;
	snprintf(out->place, sizeof(out->place), "%.80s/%.40s", o->place, key);
	if (!get(o, key, required, &v))
		return false;
	if (!json_object_is_type(v, json_type_object)) {
		add(o, key, "must be an object");
		return false;
	}
	out->obj = v;
	return true;
}

struct json_object *
agb_json_array(
    const struct agb_json_obj *o, const char *key, bool required, size_t max)
{
	struct json_object *v;

	if (!get(o, key, required, &v))
		return NULL;
	if (!json_object_is_type(v, json_type_array)) {
		add(o, key, "must be an array");
		return NULL;
	}
	if (json_object_array_length(v) > max) {
		add(o, key, "must have at most %zu items", max);
		return NULL;
	}
	return v;
}

bool
agb_json_item(const struct agb_json_obj *o, const char *key,
    struct json_object *array, size_t i, struct agb_json_obj *out)
{
	struct json_object *const v = json_object_array_get_idx(array, i);

	memset(out, 0, sizeof(*out));
	out->f = o->f;
	snprintf(out->place, sizeof(out->place), "%.70s/%.30s/%zu", o->place,
	    key, i);
	if (!json_object_is_type(v, json_type_object)) {
		agb_findings_add(
		    o->f, AGB_FINDING_ERROR, out->place, "must be an object");
		return false;
	}
	out->obj = v;
	return true;
}

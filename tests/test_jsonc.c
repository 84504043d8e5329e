#include "jsonc.h"
#include "suite.h"
#include "textfile.h"

/* Returns the findings of a text, with an empty file name. */
static char *
findings_of(const char *text, size_t len, bool *usable)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_jsonc *doc;
	char *got;

	doc = agb_jsonc_parse(text, len, 4096, f);
	*usable = doc != NULL;
	agb_jsonc_free(doc);
	got = textfile_format_findings(f, "");
	free(f);
	return got;
}

/* Compares the findings of a text with the expected ones, and frees them. */
static void
check_findings(const char *text, char *got, const char *want)
{
	if (strcmp(got, want) != 0)
		fprintf(stderr, "%s\n%s", text, got);
	CU_ASSERT_STRING_EQUAL(got, want);
	free(got);
}

#define E(place, text) ": " place ": error: " text "\n"

/*
 * Guards against invalid texts that are accepted or changed without a finding,
 * as json-c alone does.
 */
static void
test_strict(void)
{
	static const struct {
		const char *text;
		const char *want;
		bool usable;
	} cases[] = {
	    {"{}", "", true},
	    {"// a\n{/* b\n */\"a\": 1 // c\n}\n/* d */", "", true},
	    {"{\"a\": \"// no /* comment */\"}", "", true},
	    {"[-0, 0, 10, 1.5e-3, -9223372036854775808]", "", true},
	    {"\"\\ud83d\\ude00 \\n \xc3\xa9\"", "", true},
	    {"{\"a\": 1,\n\"a\": 2}",
		E("line 2 /a", "duplicate key; first given on line 1"), true},
	    {"{\"a\": 1, \"\\u0061\": 2}",
		E("line 1 /a", "duplicate key; first given on line 1"), true},
	    {"{\"a\": {\"b\": 1}, \"b\": 1}", "", true},
	    {"[1,\n2,\n]", E("line 2", "trailing comma"), true},
	    {"{\"a\": 1,}", E("line 1", "trailing comma"), true},
	    {"[007, -08.5]",
		E("line 1 /0", "number with leading zeros")
		    E("line 1 /1", "number with leading zeros"),
		true},
	    {"[9223372036854775808]",
		E("line 1 /0", "integer is larger than 64 bits"), true},
	    {"[-9223372036854775809]",
		E("line 1 /0", "integer is larger than 64 bits"), true},
	    {"[1e999]",
		E("line 1 /0", "number is larger than a double can hold"),
		true},
	    {"[\"\xff\"]", E("line 1 /0", "invalid UTF-8"), true},
	    {"[\"\xc0\xaf\"]",
		E("line 1 /0", "invalid UTF-8") E("line 1 /0", "invalid UTF-8"),
		true},
	    {"[\"\xed\xa0\x80\"]",
		E("line 1 /0", "invalid UTF-8") E("line 1 /0", "invalid UTF-8")
		    E("line 1 /0", "invalid UTF-8"),
		true},
	    {"\xef\xbb\xbf{}",
		E("line 1", "text starts with a byte order mark"), true},
	    {"{'a': 1, 'a': 2}",
		E("line 1", "single quotes; strings take double quotes")
		    E("line 1", "single quotes; strings take double quotes")
			E("line 1 /a", "duplicate key; first given on line 1"),
		false},
	    {"{\"a\": NaN,\n\"b\": -Infinity}",
		E("line 1 /a", "NaN and Infinity are not allowed")
		    E("line 2 /b", "NaN and Infinity are not allowed"),
		false},
	    {"[+1]", E("line 1 /0", "number with a plus sign"), false},
	    {"[.5]", E("line 1 /0", "number without digits before its point"),
		false},
	    {"[1.]", E("line 1 /0", "number without digits after its point"),
		false},
	    {"[1e]", E("line 1 /0", "number without digits in its exponent"),
		false},
	    {"[0x10]", E("line 1", "expected a comma or ]"), false},
	    {"[yes]",
		E("line 1 /0", "unknown word; strings take double quotes"),
		false},
	    {"{a: 1}", E("line 1", "expected a key in double quotes"), false},
	    {"{\"a\" 1}", E("line 1 /a", "expected a colon after the key"),
		false},
	    {"{\"a\": 1 \"b\": 2}", E("line 1", "expected a comma or }"),
		false},
	    {"[1,,2]", E("line 1 /1", "expected a value"), false},
	    {"", E("line 1", "text ends where a value is expected"), false},
	    {"{\"a\":", E("line 1 /a", "text ends where a value is expected"),
		false},
	    {"{} x", E("line 1", "text goes on after the end of the document"),
		false},
	    {"\n{} /* x", E("line 2", "comment has no end; expected */"),
		false},
	    {"[\"ab\n\"]", E("line 1 /0", "string has no end"), false},
	    {"[\"a\tb\"]", E("line 1 /0", "control character in a string"),
		false},
	    {"[\"\\x41\"]", E("line 1 /0", "unknown escape in a string"),
		false},
	    {"[\"\\u12g4\"]",
		E("line 1 /0", "\\u needs four hexadecimal digits"), false},
	    {"[\"\\u0000\"]",
		E("line 1 /0", "\\u0000 is not allowed in a string"), false},
	    {"[\"\\ud83d\"]",
		E("line 1 /0", "\\u escape is half of a surrogate pair"),
		false},
	    {"[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]]",
		E("line 1 /0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0",
		    "nested too deeply"),
		false},
	};
	bool usable;
	char *got;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		got =
		    findings_of(cases[i].text, strlen(cases[i].text), &usable);
		check_findings(cases[i].text, got, cases[i].want);
		CU_ASSERT_EQUAL(usable, cases[i].usable);
	}
}

/* Guards against reads beyond the end of a text without a NUL, and against
 * texts longer than the limit. */
static void
test_bounds(void)
{
	static const char whole[] = "{\"a\": [1, \"\\u0041\", tru]} // c";
	bool usable;
	char *copy, *got;
	size_t i;

	/* A copy of the exact size lets AddressSanitizer detect the read of
	 * one byte too many. */
	for (i = 0; i < sizeof(whole); i++) {
		copy = agb_xcalloc(1, i);
		memcpy(copy, whole, i);
		got = findings_of(copy, i, &usable);
		CU_ASSERT_FALSE(usable);
		free(got);
		free(copy);
	}
	copy = agb_xcalloc(1, 5000);
	got = findings_of(copy, 5000, &usable);
	CU_ASSERT_FALSE(usable);
	CU_ASSERT_STRING_EQUAL(
	    got, E("line 1", "text has 5000 bytes; at most 4096 are allowed"));
	free(got);
	free(copy);
}

static const char *const words[] = {"alpha", "beta"};
static const struct agb_jsonc_range range = {1, 9, "ms"};

static void
get_int(const struct agb_jsonc_node *n)
{
	int64_t v;

	agb_jsonc_get_int(n, "v", true, &range, &v);
}

static void
get_num(const struct agb_jsonc_node *n)
{
	double v;

	agb_jsonc_get_double(n, "v", true, 0, 1, &v);
}

static void
get_bool(const struct agb_jsonc_node *n)
{
	bool v;

	agb_jsonc_get_bool(n, "v", false, &v);
}

static void
get_str(const struct agb_jsonc_node *n)
{
	char v[4];

	agb_jsonc_get_str(n, "v", true, v, sizeof(v));
}

static void
get_name(const struct agb_jsonc_node *n)
{
	agb_name v;

	agb_jsonc_get_name(n, "v", v);
}

static void
get_choice(const struct agb_jsonc_node *n)
{
	size_t v;

	agb_jsonc_get_enum(n, "v", true, words, 2, &v);
}

static void
get_object(const struct agb_jsonc_node *n)
{
	struct agb_jsonc_node v;

	agb_jsonc_get_object(n, "v", true, &v);
}

static void
get_array(const struct agb_jsonc_node *n)
{
	struct agb_jsonc_node v, item;
	size_t len, i;

	agb_jsonc_get_array(n, "v", true, 2, &v, &len);
	for (i = 0; i < len; i++)
		agb_jsonc_get_item_object(&v, i, &item);
}

static void
get_keys(const struct agb_jsonc_node *n)
{
	agb_jsonc_check_keys(n, words, 2);
}

/* Guards against a getter that accepts an invalid value without a finding. */
static void
test_getters(void)
{
	static const struct {
		const char *text;
		void (*get)(const struct agb_jsonc_node *);
		const char *want;
	} cases[] = {
	    {"{\"v\": 9}", get_int, ""},
	    {"{\n}", get_int, E("line 1 /v", "is missing")},
	    {"{\n\"v\": 10}", get_int,
		E("line 2 /v", "is 10; allowed are 1 to 9 ms")},
	    {"{\"v\": 1.0}", get_int,
		E("line 1 /v",
		    "is a number with a fraction; expected an integer")},
	    {"{\"v\": \"1\"}", get_int,
		E("line 1 /v", "is a string; expected an integer")},
	    {"{\"v\": null}", get_int,
		E("line 1 /v", "is null; expected an integer")},
	    {"{\"v\": 1}", get_num, ""},
	    {"{\"v\": 1.5}", get_num,
		E("line 1 /v", "is 1.5; allowed are 0 to 1")},
	    {"{\"v\": true}", get_num,
		E("line 1 /v", "is a boolean; expected a number")},
	    {"{}", get_bool, ""},
	    {"{\"v\": 1}", get_bool,
		E("line 1 /v", "is an integer; expected true or false")},
	    {"{\"v\": \"abc\"}", get_str, ""},
	    {"{\"v\": \"abcd\"}", get_str,
		E("line 1 /v", "has 4 bytes; at most 3 are allowed")},
	    {"{\"v\": \"\"}", get_str, E("line 1 /v", "is empty")},
	    {"{\"v\": []}", get_str,
		E("line 1 /v", "is an array; expected a string")},
	    {"{\"v\": \"a-1\"}", get_name, ""},
	    {"{\"v\": \"a-\"}", get_name,
		E("line 1 /v",
		    "\"a-\" is not a name; allowed are a-z, 0-9 and inner "
		    "hyphens")},
	    {"{\"v\": \"A\\nb\xc3\xa9\"}", get_name,
		E("line 1 /v",
		    "\"A?b??\" is not a name; allowed are a-z, 0-9 and inner "
		    "hyphens")},
	    {"{\"v\": \"beta\"}", get_choice, ""},
	    {"{\"v\": \"gamma\"}", get_choice,
		E("line 1 /v", "is \"gamma\"; expected one of alpha, beta")},
	    {"{\"v\": 1}", get_object,
		E("line 1 /v", "is an integer; expected an object")},
	    {"{\"v\": {}}", get_array,
		E("line 1 /v", "is an object; expected an array")},
	    {"{\"v\": []}", get_array,
		E("line 1 /v", "is empty; expected 1 to 2 items")},
	    {"{\"v\": [{},\n2,3]}", get_array,
		E("line 1 /v", "has 3 items; at most 2 are allowed")
		    E("line 2 /v/1", "is an integer; expected an object")},
	    {"{\"alpa\": 1, \"x\": 2, \"beta\": 3}", get_keys,
		E("line 1 /alpa", "unknown key; did you mean \"alpha\"?")
		    E("line 1 /x", "unknown key")},
	    {"{\"a/b~c\": 1}", get_keys, E("line 1 /a~1b~0c", "unknown key")},
	};
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_jsonc_node root;
	struct agb_jsonc *doc;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(f, 0, sizeof(*f));
		doc = agb_jsonc_parse(
		    cases[i].text, strlen(cases[i].text), 4096, f);
		CU_ASSERT_PTR_NOT_NULL_FATAL(doc);
		CU_ASSERT_TRUE_FATAL(agb_jsonc_get_root(doc, &root));
		cases[i].get(&root);
		agb_jsonc_free(doc);
		check_findings(cases[i].text, textfile_format_findings(f, ""),
		    cases[i].want);
	}
	free(f);
}

/*
 * Guards against JSON from the wire to which the rules of settings files are
 * applied, and against different keys that json-c would silently merge.
 */
static void
test_wire(void)
{
	static const struct {
		const char *text;
		const char *want;
	} cases[] = {
	    {"{\"a\":[],\"s\":\"\"}", ""},
	    {"{\"b\":[\"\\u0000\"],\"a\":[],\"s\":\"\"}", ""},
	    {"{\"a\":[1,2],\"s\":\"abc\"}",
		E("/a", "has 2 items; at most 1 are allowed")
		    E("/s", "has 3 bytes; at most 2 are allowed")},
	    {"{\"s\":\"\\u0000\"}",
		E("/a", "is missing") E("/s", "\\u0000 is not allowed here")},
	    {"{}", E("/a", "is missing") E("/s", "is missing")},
	    {"null", E("", "is null; expected an object")},
	    {"{\"a\":[], // c\n\"s\":\"\"}",
		E("line 1", "expected a key in double quotes")},
	    {"/* c */ {}", E("line 1", "expected a value")},
	    {"{} // c",
		E("line 1", "text goes on after the end of the document")},
	    {"{\"a\":[],}", E("line 1", "trailing comma")},
	    {"{\"a\":[],\n\"\\u0061\":1}",
		E("line 2 /a", "duplicate key; first given on line 1")},
	    {"{\"a\\u0000b\":1,\"a\":[]}",
		E("line 1", "\\u0000 is not allowed in a string")},
	    {"{\"\\ud83d\":1,\"a\":[]}",
		E("line 1", "\\u escape is half of a surrogate pair")},
	    {"{\"b\":[\"\\ud83d\",1e999],\"a\":[],\"s\":\"\"}", ""},
	};
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_jsonc_node root, list;
	struct agb_jsonc *doc;
	char *text;
	size_t i, len;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(f, 0, sizeof(*f));
		doc = agb_jsonc_parse_wire(
		    cases[i].text, strlen(cases[i].text), f);
		CU_ASSERT_EQUAL(doc != NULL, f->errors == 0);
		if (doc != NULL && agb_jsonc_get_root(doc, &root)) {
			agb_jsonc_get_array(&root, "a", true, 1, &list, &len);
			text = NULL;
			agb_jsonc_dup_str(&root, "s", true, 2, &text);
			free(text);
		}
		agb_jsonc_free(doc);
		check_findings(cases[i].text, textfile_format_findings(f, ""),
		    cases[i].want);
	}
	free(f);
}

/* Guards against nested JSON from the wire that exhausts the stack. */
static void
test_wire_depth(void)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	char text[2 * (AGB_JSONC_WIRE_DEPTH_MAX + 1)];
	struct agb_jsonc *doc;
	size_t depth;

	for (depth = AGB_JSONC_WIRE_DEPTH_MAX;
	     depth <= AGB_JSONC_WIRE_DEPTH_MAX + 1; depth++) {
		memset(text, '[', depth);
		memset(text + depth, ']', depth);
		doc = agb_jsonc_parse_wire(text, 2 * depth, f);
		CU_ASSERT_EQUAL(doc != NULL, depth == AGB_JSONC_WIRE_DEPTH_MAX);
		agb_jsonc_free(doc);
	}
	CU_ASSERT_EQUAL(f->errors, 1);
	free(f);
}

static const struct suite_test tests[] = {
    {"strict", test_strict},
    {"bounds", test_bounds},
    {"getters", test_getters},
    {"wire", test_wire},
    {"wire depth", test_wire_depth},
};

int
main(void)
{
	return suite_run("jsonc", tests, sizeof(tests) / sizeof(tests[0]));
}

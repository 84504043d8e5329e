#include <json-c/json.h>
#include <json-c/json_pointer.h>
#include <unistd.h>

#include "env.h"
#include "settings.h"
#include "suite.h"
#include "textfile.h"
#include "wf_settings.h"

/* Parses one kind of document and adds its findings. */
typedef void (*check_fn)(const char *text, struct agb_findings *f);

static void
check_env(const char *text, struct agb_findings *f)
{
	struct agb_env *env;

	agb_env_parse(text, strlen(text), 1, &env, f);
	agb_env_free(env);
}

static void
check_settings(const char *text, struct agb_findings *f)
{
	struct agb_settings s;

	agb_settings_parse(text, strlen(text), &s, f);
}

static void
check_platform_settings(const char *text, struct agb_findings *f)
{
	struct wf_settings s;

	wf_settings_parse(text, strlen(text), &s, f);
}

/*
 * struct page - a page of docs/ whose examples are checked
 * @text: text of the page
 * @base_document: its first JSON example, without comments
 * @expected_findings: findings given by its examples of rejected documents,
 *	one per line
 * @examples: number of those examples
 */
struct page {
	const char *path;
	check_fn check;
	char *text;
	char *base_document;
	char *expected_findings;
	unsigned examples;
};

/* Whether a finding is among those of a text. Line numbers are compared only
 * with @lines. */
static bool
has_finding(
    const struct page *page, const char *text, const char *want, bool lines)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	const char *location;
	bool found = false;
	char *got;
	size_t i;

	page->check(text, f);
	for (i = 0; i < f->len && !found; i++) {
		location = f->items[i].location;
		if (!lines && strchr(location, '/') != NULL)
			location = strchr(location, '/');
		got = agb_xasprintf("%s: %s: %s", location,
		    f->items[i].level == AGB_FINDING_ERROR ? "error"
							   : "warning",
		    f->items[i].text);
		found = strcmp(got, want) == 0;
		free(got);
	}
	if (!found) {
		got = textfile_format_findings(f, page->path);
		fprintf(stderr, "not found: %s\n%s", want, got);
		free(got);
	}
	free(f);
	return found;
}

/* Changes a document as told by a line "/json/pointer = JSON". */
static bool
apply_assignment(struct json_object **doc, const char *line)
{
	const char *const equals = strstr(line, " = ");
	char *pointer;
	bool ok;

	if (equals == NULL)
		return false;
	pointer = agb_xmemdup(line, (size_t)(equals - line));
	ok =
	    json_pointer_set(doc, pointer, json_tokener_parse(equals + 3)) == 0;
	free(pointer);
	return ok;
}

/*
 * Checks a block of rejected examples. A line "=> FINDING" gives a finding of
 * the lines before it, which change the page's first example. With
 * @full_documents, the line before it is a whole document. The block is
 * modified.
 */
static void
check_rejected_examples(struct page *page, char *block, bool full_documents)
{
	struct json_object *doc = json_tokener_parse(page->base_document);
	char *line, *save = NULL, *expected_findings;
	const char *text = "";

	for (line = strtok_r(block, "\n", &save); line != NULL;
	     line = strtok_r(NULL, "\n", &save)) {
		if (strncmp(line, "=> ", 3) != 0) {
			if (full_documents)
				text = line;
			else
				CU_ASSERT_TRUE(apply_assignment(&doc, line));
			continue;
		}
		if (!full_documents)
			text = json_object_to_json_string(doc);
		CU_ASSERT_TRUE(
		    has_finding(page, text, line + 3, full_documents));
		expected_findings =
		    agb_xasprintf("%s%s\n", page->expected_findings, line + 3);
		free(page->expected_findings);
		page->expected_findings = expected_findings;
		page->examples++;
		json_object_put(doc);
		doc = json_tokener_parse(page->base_document);
	}
	json_object_put(doc);
}

static void
check_example(struct page *page, const char *block)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct json_object *doc;
	char *got;

	page->check(block, f);
	got = textfile_format_findings(f, page->path);
	CU_ASSERT_STRING_EQUAL(got, "");
	if (got[0] != '\0')
		fputs(got, stderr);
	free(got);
	free(f);
	if (page->base_document != NULL)
		return;
	doc = json_tokener_parse(block);
	page->base_document = agb_xstrdup(json_object_to_json_string(doc));
	json_object_put(doc);
}

/* Checks that each key in a table of the page has a rejected example. */
static void
check_tables(const struct page *page)
{
	const char *p, *end;
	char *key;

	for (p = page->text; (p = strstr(p, "\n| `")) != NULL; p = end) {
		p += strlen("\n| `");
		end = strchr(p, '`');
		key = agb_xasprintf("/%.*s: ", (int)(end - p), p);
		if (strstr(page->expected_findings, key) == NULL)
			fprintf(
			    stderr, "%s: no refusal of %s\n", page->path, key);
		CU_ASSERT_PTR_NOT_NULL(strstr(page->expected_findings, key));
		free(key);
	}
}

static void
check_page(const char *path, check_fn check)
{
	struct page page = {.path = path, .check = check};
	const char *p, *end;
	char *kind, *block;

	page.text = textfile_read_or_abort(path, NULL);
	page.expected_findings = agb_xstrdup("");
	for (p = page.text; (p = strstr(p, "\n```")) != NULL; p = end + 4) {
		p += 4;
		kind = agb_xmemdup(p, strcspn(p, "\n"));
		p += strlen(kind) + 1;
		end = strstr(p, "\n```");
		block = agb_xmemdup(p, (size_t)(end - p));
		if (strcmp(kind, "json") == 0)
			check_example(&page, block);
		else if (strcmp(kind, "refused") == 0)
			check_rejected_examples(&page, block, false);
		else if (strcmp(kind, "refused-text") == 0)
			check_rejected_examples(&page, block, true);
		free(kind);
		free(block);
	}
	CU_ASSERT_PTR_NOT_NULL(page.base_document);
	CU_ASSERT(page.examples > 10);
	check_tables(&page);
	free(page.text);
	free(page.base_document);
	free(page.expected_findings);
}

/* Guards against examples in docs/environment.md that the parser treats
 * differently. */
static void
test_environment(void)
{
	check_page("docs/environment.md", check_env);
}

/* Guards against examples in docs/settings.md that the parser treats
 * differently. */
static void
test_settings(void)
{
	check_page("docs/settings.md", check_settings);
}

/* Guards against examples in docs/settings-platform.md that the parser treats
 * differently. */
static void
test_platform_settings(void)
{
	check_page("docs/settings-platform.md", check_platform_settings);
}

/* Guards against metrics in docs/OPERATIONS.md that are not exported. */
static void
test_alerts(void)
{
	char *const page = textfile_read_or_abort("docs/OPERATIONS.md", NULL);
	char *const code =
	    textfile_read_or_abort("src/workflow/wf_metrics.c", NULL);
	unsigned named = 0;
	const char *p;
	char *name;

	for (p = page; (p = strstr(p, "agatebeam_")) != NULL; p++) {
		name = agb_xmemdup(p, strspn(p, "abcdefghijklmnopqrstuvwxyz_"));
		if (strstr(code, name) == NULL)
			fprintf(stderr, "no metric %s\n", name);
		CU_ASSERT_PTR_NOT_NULL(strstr(code, name));
		free(name);
		named++;
	}
	CU_ASSERT(named > 5);
	free(code);
	free(page);
}

/* Guards against a reason that is missing from docs/callers.md. */
static void
test_reasons(void)
{
	char *const text = textfile_read_or_abort("docs/callers.md", NULL);
	char *row;
	int r;

	for (r = AGB_REASON_NONE + 1; r < AGB_REASON_MAX; r++) {
		row = agb_xasprintf("\n| `%s` |", agb_reason_name(r));
		CU_ASSERT_PTR_NOT_NULL(strstr(text, row));
		if (strstr(text, row) == NULL)
			fprintf(stderr, "missing: %s\n", row);
		free(row);
	}
	free(text);
}

/* Guards against links in the documentation to files that do not exist. */
static void
test_links(void)
{
	static const char *const pages[] = {"README.md", "docs/agatectl.md",
	    "docs/architecture.md", "docs/callers.md", "docs/environment.md",
	    "docs/failures.md", "docs/getting-started.md", "docs/glossary.md",
	    "docs/operating.md", "docs/security.md", "docs/settings.md",
	    "docs/settings-platform.md", "docs/OPERATIONS.md",
	    "docs/troubleshooting.md"};
	char *path, *text;
	const char *p;
	size_t i, n;

	for (i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		text = textfile_read_or_abort(pages[i], NULL);
		for (p = text; (p = strstr(p, "](")) != NULL; p++) {
			n = strcspn(p + 2, ")#");
			path = agb_xasprintf("%s%.*s",
			    strchr(pages[i], '/') != NULL ? "docs/" : "",
			    (int)n, p + 2);
			CU_ASSERT_EQUAL(access(path, R_OK), 0);
			free(path);
		}
		free(text);
	}
}

static const struct suite_test tests[] = {
    {"environment", test_environment},
    {"settings", test_settings},
    {"platform settings", test_platform_settings},
    {"alerts", test_alerts},
    {"reasons", test_reasons},
    {"links", test_links},
};

int
main(void)
{
	return suite_run("docs", tests, sizeof(tests) / sizeof(tests[0]));
}

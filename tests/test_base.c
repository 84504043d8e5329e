#include <stdlib.h>
#include <string.h>

#include "backoff.h"
#include "effect.h"
#include "finding.h"
#include "mem.h"
#include "store.h"
#include "suite.h"
#include "types.h"

/* Guards against a truncated copy without a NUL, and against a truncation
 * that is not reported. */
static void
test_str_copy(void)
{
	static const struct {
		const char *src;
		const char *want;
		bool fits;
	} cases[] = {
	    {"", "", true},
	    {NULL, "", true},
	    {"abc", "abc", true},
	    {"abcd", "abc", false},
	};
	char buf[4];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT_EQUAL(agb_str_copy(buf, sizeof(buf), cases[i].src),
		    cases[i].fits);
		CU_ASSERT_STRING_EQUAL(buf, cases[i].want);
	}
}

/* Guards against a reason without a wire name. */
static void
test_reason_names(void)
{
	int r;

	for (r = 0; r < AGB_REASON_MAX; r++)
		CU_ASSERT_PTR_NOT_NULL_FATAL(agb_reason_name(r));
	CU_ASSERT_STRING_EQUAL(agb_reason_name(AGB_REASON_MAX), "none");
}

/* Guards against findings beyond the limit that are dropped but not counted. */
static void
test_findings_overflow(void)
{
	struct agb_findings *f = agb_xcalloc(1, sizeof(*f));
	char buf[64];
	int i;

	for (i = 0; i < AGB_FINDINGS_MAX + 3; i++)
		agb_findings_add(f, AGB_FINDING_ERROR, "/a", "bad %d", i);
	CU_ASSERT_EQUAL(f->len, AGB_FINDINGS_MAX);
	CU_ASSERT_EQUAL(f->dropped, 3);
	CU_ASSERT_EQUAL(f->errors, AGB_FINDINGS_MAX + 3);
	CU_ASSERT_EQUAL(
	    agb_findings_format(f, "x", buf, sizeof(buf)), strlen(buf));
	free(f);
}

/* Guards against a range of a key prefix that omits or adds keys, which
 * happens when a last byte of 0xff is incremented. */
static void
test_prefix_end(void)
{
	static const struct {
		const char *prefix;
		const char *want;
	} cases[] = {
	    {"a/", "a0"},
	    {"a\xff", "b"},
	};
	char *end;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		end = agb_store_prefix_end(cases[i].prefix);
		CU_ASSERT_STRING_EQUAL(end, cases[i].want);
		free(end);
	}
}

/* Guards against effects that leak their memory or share it with others. */
static void
test_effects_own(void)
{
	struct agb_effects out = {0};
	struct agb_effect *ef;

	agb_effects_log(&out, AGB_LOG_INFO, "route", "a=%d", 1);
	ef = agb_effects_add(&out, AGB_EF_STORE);
	agb_store_op_init(&ef->u.store, AGB_STORE_TXN);
	agb_store_op_add_cmp(&ef->u.store, "k", AGB_STORE_CMP_CREATE_REV, 0);
	agb_store_op_add_put(&ef->u.store, "k", "v", 1, 0);
	agb_store_op_add_delete(&ef->u.store, "j", "k");
	agb_effects_reply(&out, 7, 503, AGB_OUTCOME_NOT_RUN,
	    AGB_REASON_OVERLOAD, 50, "queue is full");
	CU_ASSERT_EQUAL(out.len, 3);
	CU_ASSERT_STRING_EQUAL(out.items[0].u.log.line, "a=1");
	agb_effects_free(&out);
	CU_ASSERT_EQUAL(out.len, 0);
}

/* Guards against delays that do not grow, that grow without a limit or overflow,
 * and that are the same for all instances. */
static void
test_backoff_delays(void)
{
	static const struct agb_backoff b = {.first_ms = 200, .max_ms = 800};
	static const struct {
		unsigned failures;
		uint32_t random;
		uint32_t want_ms;
	} cases[] = {
	    {0, 0, 100},
	    {1, 0, 100},
	    {1, 100, 200},
	    {1, 101, 100},
	    {2, 0, 200},
	    {2, 200, 400},
	    {3, 0, 400},
	    {3, 400, 800},
	    {4, 0, 400},
	    {4, 400, 800},
	    {UINT32_MAX, 400, 800},
	    {UINT32_MAX, UINT32_MAX, 400 + UINT32_MAX % 401},
	};
	static const struct agb_backoff none = {0, 0};
	static const struct agb_backoff longest = {1, UINT32_MAX};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(agb_backoff_delay_ms(
				    &b, cases[i].failures, cases[i].random),
		    cases[i].want_ms);
	CU_ASSERT_EQUAL(agb_backoff_delay_ms(&none, 5, 7), 0);
	CU_ASSERT_EQUAL(agb_backoff_delay_ms(&longest, 100, 0),
	    UINT32_MAX - UINT32_MAX / 2);
}

static const struct suite_test tests[] = {
    {"str_copy", test_str_copy},
    {"reason_names", test_reason_names},
    {"findings_overflow", test_findings_overflow},
    {"prefix_end", test_prefix_end},
    {"effects_own", test_effects_own},
    {"backoff_delays", test_backoff_delays},
};

int
main(void)
{
	return suite_run("base", tests, sizeof(tests) / sizeof(tests[0]));
}

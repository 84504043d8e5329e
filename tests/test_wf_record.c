/**
 * DOC: test_wf_record
 *
 * Records of submissions with and without an account, beside those of earlier
 * versions, and what a full read of them keeps of other records.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "suite.h"
#include "wf_table.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define JOB "00000000000000aa"

/* Record of spec_of() without an account, as versions before accounts write it;
 * made from the definition in wf_record.x by another program. */
static const char old_record[] =
    "0000000171000000000001a0c4506c7b00000000000000000000000000000001"
    "00000004646174610000000100000003000007d00000020000000001000002bc"
    "0000000000000000000000050000000200000000000000000000000367707500"
    "000000027231000000000003696d67000000000a31302e302e302e313a370000";

static char *
unhex(const char *text, size_t *len)
{
	char *const raw = agb_xcalloc(strlen(text) / 2 + 1, 1);
	unsigned byte;
	size_t i;

	*len = strlen(text) / 2;
	for (i = 0; i < *len; i++) {
		CU_ASSERT_EQUAL(sscanf(text + 2 * i, "%2x", &byte), 1);
		raw[i] = (char)byte;
	}
	return raw;
}

static struct wf_spec *
spec_of(const char *account)
{
	struct wf_spec *const s = agb_xcalloc(1, sizeof(*s));

	agb_str_copy(s->queue, sizeof(s->queue), "q");
	agb_str_copy(s->account, sizeof(s->account), account);
	agb_str_copy(s->origin, sizeof(s->origin), "10.0.0.1:7");
	s->submitted_ms = 1790000000123;
	s->repeat_count = 1;
	s->payload = agb_xstrdup("data");
	s->payload_len = 4;
	s->steps = agb_xcalloc(1, sizeof(*s->steps));
	s->steps_len = 1;
	s->steps->count = 3;
	s->steps->need.cpu_milli = 2000;
	s->steps->need.mem_mb = 512;
	s->steps->need.accel = 1;
	s->steps->estimate_ms = 700;
	s->steps->gang = true;
	s->steps->checkpointing = true;
	s->steps->spread_max = 2;
	agb_str_copy(s->steps->label, sizeof(s->steps->label), "gpu");
	agb_str_copy(s->steps->rack, sizeof(s->steps->rack), "r1");
	agb_str_copy(s->steps->image, sizeof(s->steps->image), "img");
	return s;
}

static void
spec_destroy(struct wf_spec *s)
{
	wf_spec_free(s);
	free(s);
}

static void
check_spec(const struct wf_spec *s, const char *account)
{
	CU_ASSERT_STRING_EQUAL(s->account, account);
	CU_ASSERT_STRING_EQUAL(s->queue, "q");
	CU_ASSERT_STRING_EQUAL(s->origin, "10.0.0.1:7");
	CU_ASSERT_EQUAL(s->payload_len, 4);
	CU_ASSERT_EQUAL_FATAL(s->steps_len, 1);
	CU_ASSERT_EQUAL(s->steps->need.cpu_milli, 2000);
	CU_ASSERT(s->steps->gang && s->steps->checkpointing);
	CU_ASSERT_STRING_EQUAL(s->steps->image, "img");
}

/* Guards against a record of a job without an account that earlier versions
 * cannot read, and against an old record that this one cannot read. */
static void
test_without_account(void)
{
	struct wf_spec *const s = spec_of("");
	size_t old_len, len;
	char *const old = unhex(old_record, &old_len);
	char *const raw = wf_table_encode_spec(s, &len);
	struct wf_spec back;

	CU_ASSERT_EQUAL_FATAL(len, old_len);
	CU_ASSERT_EQUAL(memcmp(raw, old, len), 0);
	CU_ASSERT_FATAL(wf_table_decode_spec(old, old_len, &back));
	check_spec(&back, "");
	wf_spec_free(&back);
	free(raw);
	free(old);
	spec_destroy(s);
}

/* Guards against an account that a leader does not find in the record, and
 * against a record that earlier versions, which read only its first part, take
 * for another job. */
static void
test_with_account(void)
{
	static const char *const accounts[] = {"a", "kaje80",
	    "0123456789012345678901234567890123456789"
	    "01234567890123456789012"};
	struct agb_store_kv kv = {
	    .key = (char *)(uintptr_t)("ab/j/" JOB), .mod_rev = 7};
	struct wf_table table = {0};
	struct wf_spec *s, back;
	size_t i, old_len;
	char *const old = unhex(old_record, &old_len);

	for (i = 0; i < LEN(accounts); i++) {
		s = spec_of(accounts[i]);
		kv.val = wf_table_encode_spec(s, &kv.val_len);
		CU_ASSERT_FATAL(kv.val_len > old_len);
		CU_ASSERT_EQUAL(memcmp(kv.val, old, old_len), 0);
		CU_ASSERT_FATAL(
		    wf_table_decode_spec(kv.val, kv.val_len, &back));
		check_spec(&back, accounts[i]);
		wf_spec_free(&back);
		wf_table_apply(&table, &kv);
		CU_ASSERT_PTR_NOT_NULL_FATAL(wf_table_job(&table, JOB));
		check_spec(&wf_table_job(&table, JOB)->spec, accounts[i]);
		wf_table_free(&table);
		memset(&table, 0, sizeof(table));
		free(kv.val);
		spec_destroy(s);
	}
	free(old);
}

/* Guards against a damaged record whose job passes for one without an account,
 * which anyone may use. */
static void
test_damaged_account(void)
{
	struct wf_spec *const s = spec_of("kaje80");
	size_t old_len, len, cut;
	char *const old = unhex(old_record, &old_len);
	char *const raw = wf_table_encode_spec(s, &len);
	struct wf_spec back;

	for (cut = old_len + 1; cut < len; cut++)
		CU_ASSERT_FALSE(wf_table_decode_spec(raw, cut, &back));
	/* Length of the name. */
	raw[old_len] = 0x7f;
	CU_ASSERT_FALSE(wf_table_decode_spec(raw, len, &back));
	free(raw);
	free(old);
	spec_destroy(s);
}

static void
ignore_dropped(void *arg, struct wf_job *j)
{
}

/* Guards against an instance that begins to follow the store and drops the state
 * of a job whose submission its read of the jobs did not have yet: the state does
 * not come again, and as a leader it starts or stops the tasks of the job anew. */
static void
test_record_before_submission(void)
{
	static const struct {
		uint64_t revision;
		char kind;
		bool kept;
	} cases[] = {
	    {21, 's', true},
	    {20, 's', false},
	    {21, 'k', true},
	    {20, 'k', false},
	};
	char key[WF_KEY_MAX];
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		struct wf_table table = {0};
		const struct agb_store_kv kv = {.key = key,
		    .val = "1",
		    .val_len = 1,
		    .mod_rev = cases[i].revision};

		wf_table_make_key(key, cases[i].kind, JOB);
		wf_table_begin_jobs_read(&table);
		wf_table_apply(&table, &kv);
		wf_table_begin_jobs_read(&table);
		wf_table_sweep_jobs(&table, 20, ignore_dropped, NULL);
		CU_ASSERT_EQUAL(
		    wf_table_job(&table, JOB) != NULL, cases[i].kept);
		wf_table_free(&table);
	}
}

/* Guards against a state record that earlier versions cannot read, and against
 * failed runs that are read from a damaged one. */
static void
test_failed_runs(void)
{
	static const struct {
		size_t cut;
		u_int runs;
		bool readable;
	} cases[] = {
	    {0, 0, true},
	    {0, 2, true},
	    {4, 2, false},
	    /* Without all that follows: as earlier versions write it. */
	    {20, 2, true},
	};
	static wf_x_failed_run list[] = {{0, 1}, {65535, 7}};
	size_t i, len;

	for (i = 0; i < LEN(cases); i++) {
		struct wf_x_state state = {.state = WF_JOB_RUNNING,
		    .detail = (char *)(uintptr_t) "reason"};
		struct wf_x_failed_runs runs = {.runs = {cases[i].runs, list}};
		char *raw =
		    wf_table_encode((xdrproc_t)xdr_wf_x_state, &state, &len);
		u_int left = cases[i].cut == 0 ? cases[i].runs : 0;

		raw = wf_table_append(
		    raw, &len, (xdrproc_t)xdr_wf_x_failed_runs, &runs);
		len -= cases[i].cut;
		CU_ASSERT(wf_table_decode_state(raw, len, &state));
		CU_ASSERT_STRING_EQUAL(state.detail, "reason");
		CU_ASSERT_EQUAL(
		    wf_table_decode_failed_runs(raw, len, &state, &runs),
		    cases[i].readable);
		if (cases[i].readable)
			CU_ASSERT_EQUAL(runs.runs.runs_len, left);
		for (; cases[i].readable && left > 0; left--)
			CU_ASSERT_EQUAL(runs.runs.runs_val[left - 1].run,
			    list[left - 1].run);
		xdr_free((xdrproc_t)xdr_wf_x_failed_runs, (char *)&runs);
		xdr_free((xdrproc_t)xdr_wf_x_state, (char *)&state);
		free(raw);
	}
}

static const struct suite_test tests[] = {
    {"records: jobs without an account are as before", test_without_account},
    {"records: jobs with an account", test_with_account},
    {"records: damaged accounts are malformed", test_damaged_account},
    {"records: failed runs of gangs", test_failed_runs},
    {"record before its submission", test_record_before_submission},
};

int
main(void)
{
	return suite_run("wf_record", tests, LEN(tests));
}

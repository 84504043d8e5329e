#include <stdlib.h>
#include <string.h>

#include "journal.h"
#include "mem.h"
#include "suite.h"
#include "types.h"

static void
add_record(struct agb_journal_value *v, agb_j_record *rec)
{
	size_t len = 0;
	char *const bytes = agb_journal_encode(rec, &len);

	CU_ASSERT_PTR_NOT_NULL_FATAL(bytes);
	agb_journal_add(v, bytes, len);
	free(bytes);
}

static char str[] = "x";
static char text[] = "some text";

static void
make_value(struct agb_journal_value *v)
{
	agb_j_head head = {.epoch = 7, .seq = 9, .at_ms = 11, .last = true};
	agb_j_record rec = {.type = AGB_J_JOB};
	agb_j_job *const j = &rec.agb_j_record_u.job;
	agb_j_ended *const e = &rec.agb_j_record_u.ended;

	j->job = j->work = j->team = j->key = str;
	j->tasks = 3;
	j->cpu_milli = -1;
	j->idempotent = true;
	j->args.args_val = text;
	j->args.args_len = sizeof(text);
	add_record(v, &rec);
	memset(&rec, 0, sizeof(rec));
	rec.type = AGB_J_ENDED;
	e->job = str;
	e->task = 2;
	e->epoch = UINT64_MAX;
	e->seq = 5;
	e->result = 3;
	add_record(v, &rec);
	agb_journal_seal(v, &head);
}

struct read_result {
	unsigned calls;
	agb_j_head head;
	bool job;
	bool ended;
};

static void
check_record(void *arg, const agb_j_head *head, agb_j_record *rec)
{
	struct read_result *const s = arg;
	const agb_j_job *const j = &rec->agb_j_record_u.job;
	const agb_j_ended *const e = &rec->agb_j_record_u.ended;

	s->calls++;
	s->head = *head;
	if (rec->type == AGB_J_JOB)
		s->job = j->tasks == 3 && j->cpu_milli == -1 && j->idempotent &&
		    j->args.args_len == sizeof(text) &&
		    memcmp(j->args.args_val, text, sizeof(text)) == 0;
	if (rec->type == AGB_J_ENDED)
		s->ended = e->epoch == UINT64_MAX && e->seq == 5 &&
		    e->result == 3 && e->task == 2;
}

/* Guards against fields that are lost or changed by encoding and decoding. */
static void
test_round_trip(void)
{
	struct agb_journal_value v = {0};
	struct read_result s = {0};

	make_value(&v);
	CU_ASSERT_TRUE(agb_journal_read(v.data, v.len, check_record, &s));
	CU_ASSERT_EQUAL(s.calls, 2);
	CU_ASSERT_TRUE(s.job);
	CU_ASSERT_TRUE(s.ended);
	CU_ASSERT_EQUAL(s.head.epoch, 7);
	CU_ASSERT_EQUAL(s.head.seq, 9);
	CU_ASSERT_EQUAL(s.head.at_ms, 11);
	agb_journal_value_free(&v);
}

/* Guards against a damaged value of which some records are used. */
static void
test_damage(void)
{
	struct agb_journal_value v = {0};
	struct read_result s = {0};
	size_t len;

	make_value(&v);
	for (len = 0; len < v.len; len++)
		CU_ASSERT_FALSE(
		    agb_journal_read(v.data, len, check_record, &s));
	CU_ASSERT_FALSE(agb_journal_read(NULL, 0, check_record, &s));
	/* Bytes 4 to 7 hold the format version, 40 to 43 the record count. */
	v.data[7]++;
	CU_ASSERT_FALSE(agb_journal_read(v.data, v.len, check_record, &s));
	v.data[7]--;
	v.data[43]++;
	CU_ASSERT_FALSE(agb_journal_read(v.data, v.len, check_record, &s));
	v.data[40] = 0x7f;
	CU_ASSERT_FALSE(agb_journal_read(v.data, v.len, check_record, &s));
	CU_ASSERT_EQUAL(s.calls, 0);
	agb_journal_value_free(&v);
}

/* Guards against a value without records, such as an empty snapshot, that
 * cannot be read. */
static void
test_empty(void)
{
	struct agb_journal_value v = {0};
	agb_j_head head = {.last = true};
	struct read_result s = {0};

	agb_journal_seal(&v, &head);
	CU_ASSERT_TRUE(agb_journal_read(v.data, v.len, check_record, &s));
	CU_ASSERT_EQUAL(s.calls, 0);
	agb_journal_value_free(&v);
}

/* Guards against store keys that do not sort in the order of writing. */
static void
test_key_order(void)
{
	static const struct {
		uint64_t epoch;
		uint64_t seq;
	} order[] = {{1, 1}, {1, 2}, {1, 16}, {2, 0}, {16, 0}, {UINT64_MAX, 1}};
	char *prev, *key;
	size_t i;

	prev = agb_xstrdup("");
	for (i = 0; i < sizeof(order) / sizeof(order[0]); i++) {
		key = agb_journal_key("s/", order[i].epoch, order[i].seq);
		CU_ASSERT_TRUE(strcmp(prev, key) < 0);
		free(prev);
		prev = key;
	}
	free(prev);
	key = agb_journal_chunk_key("s/", 2, 3, 4);
	CU_ASSERT_STRING_EQUAL(
	    key, "s/snapshot/0000000000000002-0000000000000003/00000004");
	free(key);
}

/* Guards against a field that exceeds its limit and is truncated. */
static void
test_limits(void)
{
	agb_j_record rec = {.type = AGB_J_CANCEL};
	char id[AGB_ID_LEN + 1];
	size_t len;

	memset(id, 'a', sizeof(id));
	id[AGB_ID_LEN] = '\0';
	rec.agb_j_record_u.cancel.job = id;
	CU_ASSERT_PTR_NULL(agb_journal_encode(&rec, &len));
}

static const struct suite_test tests[] = {
    {"round_trip", test_round_trip},
    {"damage", test_damage},
    {"empty", test_empty},
    {"key_order", test_key_order},
    {"limits", test_limits},
};

int
main(void)
{
	return suite_run("journal", tests, sizeof(tests) / sizeof(tests[0]));
}

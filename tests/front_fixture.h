#ifndef FRONT_FIXTURE_H
#define FRONT_FIXTURE_H

/**
 * DOC: front_fixture
 *
 * A request handler of an instance alone, with a store in memory that answers at
 * once, and shorthands for requests.
 */

#include <stdlib.h>
#include <string.h>

#include "manifest.h"
#include "mem.h"
#include "suite.h"
#include "wf_front_internal.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define RECORDS_MAX 40
#define JOB "00000000000000aa"
#define JOB_KEY "ab/j/" JOB
#define CANCEL_KEY "ab/j/" JOB ".c"
#define SECOND_KEY "ab/j/" JOB "~1"

/**
 * struct fixture - a request handler and its store
 * @status: answers that all store operations get
 * @late: owner of a submission that is stored after the next read that finds
 *	none; NULL for none
 * @log: all log lines and details of replies, with newlines
 * @reply: the latest reply; its status is 0 while there is none
 */
struct fixture {
	struct wf_table table;
	struct wf_front *front;
	struct wf_doc *doc;
	struct wf_now now;
	enum agb_store_status status;
	struct agb_store_kv records[RECORDS_MAX];
	size_t records_len;
	const char *late;
	uint64_t revision;
	uint64_t next_id;
	unsigned store_calls;
	struct wf_reply reply;
	char *log;
	size_t log_lines;
};

static inline struct wf_doc *
parse_doc(const char *text)
{
	char fault[AGB_DETAIL_LEN];
	const struct agb_store_kv kv = {
	    .key = (char *)(uintptr_t) "op/config",
	    .val = (char *)(uintptr_t)text,
	    .val_len = strlen(text),
	};
	struct wf_doc *const doc = platform_manifest_parse(&kv, fault);

	CU_ASSERT_PTR_NOT_NULL_FATAL(doc);
	return doc;
}

static inline void
set_doc(struct fixture *x, const char *text)
{
	struct wf_doc *const old = x->doc;

	x->doc = parse_doc(text);
	wf_front_set_doc(x->front, x->doc);
	wf_doc_free(old);
}

static inline void
fixture_init(struct fixture *x, const char *doc)
{
	const struct wf_config cfg = {.name = "i1", .rpc = "10.0.0.1:7"};
	const struct wf_front_knowledge known = {
	    .states_current = true, .counts_current = true};

	memset(x, 0, sizeof(*x));
	x->now.mono = 100 * AGB_SEC;
	x->now.unix_ms = 1790000000000;
	x->front = wf_front_new(&x->table, &cfg);
	x->log = agb_xstrdup("");
	wf_front_set_knowledge(x->front, &known);
	if (doc != NULL)
		set_doc(x, doc);
}

static inline void
fixture_free(struct fixture *x)
{
	size_t i;

	CU_ASSERT_EQUAL(wf_front_open_count(x->front), 0);
	for (i = 0; i < x->records_len; i++) {
		free(x->records[i].key);
		free(x->records[i].val);
	}
	wf_front_free(x->front);
	wf_table_free(&x->table);
	wf_doc_free(x->doc);
	free(x->log);
}

static inline struct wf_spec *
new_spec(uint32_t count, int64_t cpu, int64_t mem, bool gang)
{
	struct wf_spec *const s = agb_xcalloc(1, sizeof(*s));

	s->repeat_count = 1;
	s->payload = agb_xstrdup("x");
	s->payload_len = 1;
	s->steps = agb_xcalloc(1, sizeof(*s->steps));
	s->steps_len = 1;
	s->steps->count = count;
	s->steps->need.cpu_milli = cpu;
	s->steps->need.mem_mb = mem;
	s->steps->gang = gang;
	return s;
}

static inline void
spec_destroy(struct wf_spec *s)
{
	if (s == NULL)
		return;
	wf_spec_free(s);
	free(s);
}

/* The next requests reach an instance that knows nothing. */
static inline void
forget_all(struct fixture *x)
{
	wf_table_free(&x->table);
	memset(&x->table, 0, sizeof(x->table));
}

/* ---- store ---- */

static inline struct agb_store_kv *
find_record(struct fixture *x, const char *key)
{
	size_t i;

	for (i = 0; i < x->records_len; i++) {
		if (strcmp(x->records[i].key, key) == 0)
			return &x->records[i];
	}
	return NULL;
}

static inline void
put_record(struct fixture *x, const char *key, const char *val, size_t len)
{
	struct agb_store_kv *const kv = &x->records[x->records_len++];

	CU_ASSERT_FATAL(x->records_len <= RECORDS_MAX);
	kv->key = agb_xstrdup(key);
	kv->val = agb_xmemdup(val, len);
	kv->val_len = len;
	kv->mod_rev = kv->create_rev = ++x->revision;
}

/* Stores a submission with a key, as another instance or an earlier version has
 * done. */
static inline void
put_submission(
    struct fixture *x, const char *key, const char *queue, const char *account)
{
	struct wf_spec *const s = new_spec(1, 1000, 100, false);
	size_t len;
	char *raw;

	agb_str_copy(s->queue, sizeof(s->queue), queue);
	agb_str_copy(s->account, sizeof(s->account), account);
	raw = wf_table_encode_spec(s, &len);
	put_record(x, key, raw, len);
	free(raw);
	spec_destroy(s);
}

static inline void
remove_record(struct fixture *x, const char *key)
{
	struct agb_store_kv *const kv = find_record(x, key);

	if (kv == NULL)
		return;
	free(kv->key);
	free(kv->val);
	*kv = x->records[--x->records_len];
}

/* Answers a read of one key; the result borrows the record. */
static inline void
run_read(struct fixture *x, const struct agb_store_op *op,
    struct agb_store_result *res)
{
	const struct agb_store_kv *const kv = find_record(x, op->key);

	if (kv != NULL)
		res->kvs[res->kvs_len++] = *kv;
	else if (x->late != NULL)
		put_submission(x, JOB_KEY, "q", x->late);
	x->late = NULL;
}

/* Answers a transaction; the result borrows the records. */
static inline void
run_txn(struct fixture *x, const struct agb_store_op *op,
    struct agb_store_result *res)
{
	const struct agb_store_kv *kv;
	bool holds = true;
	size_t i;

	for (i = 0; i < op->cmps_len; i++) {
		kv = find_record(x, op->cmps[i].key);
		holds &= (kv != NULL ? kv->mod_rev : 0) == op->cmps[i].rev;
		if (kv != NULL)
			res->kvs[res->kvs_len++] = *kv;
	}
	if (!holds)
		return;
	res->kvs_len = 0;
	for (i = 0; i < op->writes_len; i++) {
		remove_record(x, op->writes[i].key);
		if (!op->writes[i].is_delete)
			put_record(x, op->writes[i].key, op->writes[i].val,
			    op->writes[i].val_len);
	}
	res->succeeded = true;
	res->revision = x->revision;
}

static inline void
run_store(struct fixture *x, const struct agb_store_op *op,
    struct agb_store_result *res, struct agb_store_kv found[RECORDS_MAX])
{
	memset(res, 0, sizeof(*res));
	x->store_calls++;
	res->status = x->status;
	res->kvs = found;
	if (x->status != AGB_STORE_OK)
		return;
	if (op->kind == AGB_STORE_RANGE)
		run_read(x, op, res);
	else
		run_txn(x, op, res);
}

/* ---- requests ---- */

static inline void
note_text(struct fixture *x, const char *text)
{
	char *const all = agb_xasprintf("%s%s\n", x->log, text);

	free(x->log);
	x->log = all;
}

static inline void
perform(struct fixture *x, struct wf_effects *done)
{
	struct agb_store_kv found[RECORDS_MAX];
	struct agb_store_result res;
	struct wf_effects out = {0};
	struct wf_job *job;
	size_t i;

	for (i = 0; i < done->len; i++) {
		if (done->items[i].type == WF_EF_REPLY) {
			x->reply = done->items[i].u.reply;
			note_text(x, x->reply.detail);
		} else if (done->items[i].type == WF_EF_LOG) {
			note_text(x, done->items[i].u.log.line);
			x->log_lines++;
		} else if (done->items[i].type == WF_EF_STORE) {
			run_store(x, &done->items[i].u.store, &res, found);
			CU_ASSERT(wf_front_handle_store_result(x->front,
			    &x->now, done->items[i].tag, &res, &job, &out));
		}
	}
	wf_effects_free(done);
	if (out.len > 0)
		perform(x, &out);
}

/* Sends a request; returns the status of the reply. */
static inline int
send_spec(struct fixture *x, enum wf_call_kind kind, const char *path,
    const char *key, struct wf_spec *spec)
{
	struct wf_call call = {.id = ++x->next_id, .kind = kind, .spec = spec};
	struct wf_effects out = {0};

	agb_str_copy(call.host, sizeof(call.host), "h");
	agb_str_copy(call.path, sizeof(call.path), path);
	agb_str_copy(call.key, sizeof(call.key), key);
	memset(&x->reply, 0, sizeof(x->reply));
	wf_front_handle_call(x->front, &x->now, x->doc, &call, &out);
	perform(x, &out);
	spec_destroy(call.spec);
	return x->reply.http_status;
}

static inline int
send_call(struct fixture *x, enum wf_call_kind kind, const char *path,
    const char *key)
{
	return send_spec(x, kind, path, key,
	    kind == WF_CALL_SUBMIT ? new_spec(1, 1000, 100, false) : NULL);
}

#endif

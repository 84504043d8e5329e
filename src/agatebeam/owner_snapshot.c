#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* A new owner reads 16 journal values per call, so reading this many takes 64
 * calls. */
#define JOURNAL_KEYS_MAX 1024
#define JOURNAL_BYTES_MAX ((size_t)4 * 1024 * 1024)

struct snapshot_writer {
	struct agb_owner *o;
	agb_time now;
	struct agb_journal_value *chunks;
	size_t len;
	size_t bytes;
};

static void
emit_record(struct snapshot_writer *w, agb_j_record *rec)
{
	struct agb_journal_value *v;
	size_t len = 0;
	char *const bytes = agb_journal_encode(rec, &len);

	if (bytes == NULL)
		abort();
	v = w->len > 0 ? &w->chunks[w->len - 1] : NULL;
	if (v == NULL || v->len + len > AGB_JOURNAL_CHUNK_MAX) {
		w->chunks = agb_xreallocarray(
		    w->chunks, w->len + 1, sizeof(*w->chunks));
		v = &w->chunks[w->len++];
		memset(v, 0, sizeof(*v));
	}
	agb_journal_add(v, bytes, len);
	w->bytes += len;
	free(bytes);
}

static void
emit_task(struct snapshot_writer *w, struct own_task *t)
{
	agb_j_record rec = {0};
	agb_j_start *const s = &rec.agb_j_record_u.start;
	agb_j_ended *const e = &rec.agb_j_record_u.ended;

	if (t->attempt.epoch == 0)
		return;
	rec.type = AGB_J_START;
	s->job = t->job->id;
	s->task = t->number;
	s->epoch = t->attempt.epoch;
	s->seq = t->attempt.seq;
	s->worker = t->worker_id;
	s->boot = t->boot_id;
	emit_record(w, &rec);
	if (t->state != OWN_TASK_ENDED && t->state != OWN_TASK_WAITING)
		return;
	memset(&rec, 0, sizeof(rec));
	rec.type = AGB_J_ENDED;
	e->job = t->job->id;
	e->task = t->number;
	e->epoch = t->attempt.epoch;
	e->seq = t->attempt.seq;
	e->result = (int)t->result;
	if (t->result_text != NULL) {
		e->text.text_val = t->result_text;
		e->text.text_len = (u_int)strlen(t->result_text);
	}
	emit_record(w, &rec);
}

static void
emit_job(struct snapshot_writer *w, struct own_job *j)
{
	agb_j_record rec = {0};
	agb_j_job *const r = &rec.agb_j_record_u.job;
	agb_j_done *const d = &rec.agb_j_record_u.done;
	uint32_t i;

	/* A job that is not durable may still be refused. */
	if (!j->durable)
		return;
	rec.type = AGB_J_JOB;
	r->job = j->id;
	r->work = j->work;
	r->team = j->team;
	r->key = j->dedup_key != NULL ? j->dedup_key + strlen(j->team) + 1 : "";
	r->tasks = j->tasks_len;
	r->cpu_milli = j->need.cpu_milli;
	r->mem_mb = j->need.mem_mb;
	r->accel = j->need.accel;
	r->run_ms = j->run_ms;
	r->deadline_ms = j->deadline_ms;
	r->age_ms = (w->now - j->accepted_at) / AGB_MS;
	r->idempotent = j->idempotent;
	/* A finished job is not started again, so it needs no arguments. */
	if (!j->done) {
		r->args.args_val = j->args;
		r->args.args_len = (u_int)j->args_len;
	}
	emit_record(w, &rec);
	if (j->cancelled) {
		memset(&rec, 0, sizeof(rec));
		rec.type = AGB_J_CANCEL;
		rec.agb_j_record_u.cancel.job = j->id;
		emit_record(w, &rec);
	}
	for (i = 0; i < j->tasks_len && !j->done; i++)
		emit_task(w, &j->tasks[i]);
	if (!j->done)
		return;
	memset(&rec, 0, sizeof(rec));
	rec.type = AGB_J_DONE;
	d->job = j->id;
	d->outcome = (int)j->outcome;
	d->reason = (int)j->reason;
	d->detail = j->detail;
	d->age_ms = (w->now - j->done_at) / AGB_MS;
	d->result.result_val = j->result;
	d->result.result_len = (u_int)j->result_len;
	emit_record(w, &rec);
}

static void
emit_key(struct snapshot_writer *w, struct own_key *k)
{
	agb_j_record rec = {0};
	agb_j_quick *const q = &rec.agb_j_record_u.quick;
	agb_j_quick_done *const d = &rec.agb_j_record_u.quick_done;

	if (!k->durable)
		return;
	rec.type = AGB_J_QUICK;
	q->team = k->team;
	q->key = k->key;
	q->epoch = k->attempt.epoch;
	q->seq = k->attempt.seq;
	q->worker = k->worker_id;
	q->age_ms = (w->now - k->created_at) / AGB_MS;
	emit_record(w, &rec);
	if (!k->ended)
		return;
	memset(&rec, 0, sizeof(rec));
	rec.type = AGB_J_QUICK_DONE;
	d->team = k->team;
	d->key = k->key;
	d->epoch = k->attempt.epoch;
	d->seq = k->attempt.seq;
	d->outcome = (int)k->outcome;
	emit_record(w, &rec);
}

/*
 * Starts a snapshot when the journal exceeds its size limits. This is called
 * right after a commit, so the state in memory includes all journal values up
 * to c->seq. Whatever it includes beyond them is also written by the following
 * journal values; replaying a record a second time changes nothing.
 */
void
own_snapshot_start_if_due(
    struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	struct snapshot_writer w = {.o = o, .now = now};
	size_t i;

	if (c->next_chunk < c->chunks_len ||
	    (c->journal_keys < JOURNAL_KEYS_MAX &&
		(c->journal_bytes < JOURNAL_BYTES_MAX ||
		    c->journal_bytes < 2 * c->snapshot_bytes)))
		return;
	for (i = 0; i < o->jobs.len; i++)
		emit_job(&w, o->jobs.items[i]);
	for (i = 0; i < o->keys.len; i++)
		emit_key(&w, o->keys.items[i]);
	if (w.len == 0) {
		w.chunks = agb_xcalloc(1, sizeof(*w.chunks));
		w.len = 1;
	}
	for (i = 0; i < w.len; i++) {
		agb_j_head head = {.epoch = o->epoch,
		    .seq = c->seq,
		    .at_ms = now / AGB_MS,
		    .chunk = (u_int)i,
		    .last = i + 1 == w.len};

		agb_journal_seal(&w.chunks[i], &head);
	}
	own_snapshot_free(o);
	c->chunks = w.chunks;
	c->chunks_len = w.len;
	c->snapshot_seq = c->seq;
	c->snapshot_bytes = w.bytes;
	c->journal_bytes = 0;
	c->journal_keys = 0;
	agb_effects_log(out, AGB_LOG_INFO, "snapshot",
	    "domain=%s epoch=%llu covers=%llu chunks=%zu bytes=%zu",
	    o->cfg.domain, (unsigned long long)o->epoch,
	    (unsigned long long)c->snapshot_seq, w.len, w.bytes);
}

/*
 * Adds to the write of the last chunk the deletion of the journal values and
 * older snapshots that this snapshot replaces. Both take effect in one
 * transaction, so a reader finds either the old state or the new one.
 */
void
own_snapshot_add_deletes(struct agb_owner *o, struct agb_store_op *op)
{
	struct own_commit *const c = &o->commit;
	char *from, *to;

	if (c->next_chunk + 1 < c->chunks_len)
		return;
	from = agb_xasprintf("%sjournal/", o->elect.shard_prefix);
	to = agb_journal_key(
	    o->elect.shard_prefix, o->epoch, c->snapshot_seq + 1);
	agb_store_op_add_delete(op, from, to);
	free(from);
	free(to);
	from = agb_xasprintf("%ssnapshot/", o->elect.shard_prefix);
	to = agb_journal_chunk_key(
	    o->elect.shard_prefix, o->epoch, c->snapshot_seq, 0);
	agb_store_op_add_delete(op, from, to);
	free(from);
	free(to);
}

void
own_snapshot_free(struct agb_owner *o)
{
	struct own_commit *const c = &o->commit;
	size_t i;

	for (i = 0; i < c->chunks_len; i++)
		agb_journal_value_free(&c->chunks[i]);
	free(c->chunks);
	c->chunks = NULL;
	c->chunks_len = 0;
	c->next_chunk = 0;
}

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* While the store cannot be reached: time after which a caller that waits for
 * a write in progress is told that its outcome is unknown. */
#define WRITE_WAIT_MAX (3 * AGB_SEC)

static void
records_free(struct own_records *r)
{
	size_t i;

	for (i = 0; i < r->len; i++)
		free(r->items[i].bytes);
	free(r->items);
	memset(r, 0, sizeof(*r));
}

static struct own_record *
records_add(struct own_records *r)
{
	if (r->len == r->cap)
		r->items = agb_xgrow(r->items, &r->cap, sizeof(*r->items));
	memset(&r->items[r->len], 0, sizeof(*r->items));
	return &r->items[r->len++];
}

/*
 * Adds a record to the next commit.
 * @waiter: object to notify once the record is durable, or NULL; its type
 *	depends on @kind
 * @reply_token: the CANCEL call that OWN_WAITER_CANCEL answers, or 0
 */
void
own_commit_add(struct agb_owner *o, agb_time now, agb_j_record *rec,
    enum own_waiter_kind kind, void *waiter, uint64_t reply_token)
{
	struct own_commit *const c = &o->commit;
	struct own_record *r;
	size_t len = 0;
	char *bytes;

	bytes = agb_journal_encode(rec, &len);
	/* The callers limit each field. A record that exceeds a limit is a bug
	 * in this program, and to continue would lose accepted work. */
	if (bytes == NULL)
		abort();
	r = records_add(&c->pending);
	r->bytes = bytes;
	r->len = len;
	r->waiter_kind = kind;
	r->waiter = waiter;
	if (kind == OWN_WAITER_START)
		r->attempt = ((struct own_task *)waiter)->attempt;
	r->reply_token = reply_token;
	if (kind == OWN_WAITER_SUBMIT || kind == OWN_WAITER_DONE ||
	    kind == OWN_WAITER_CANCEL)
		((struct own_job *)waiter)->record_refs++;
	if (kind == OWN_WAITER_ACK)
		((struct own_worker *)waiter)->undurable_events++;
	if (c->pending.len == 1)
		c->pending_since = now;
	if (kind != OWN_WAITER_NONE)
		c->urgent = true;
}

bool
own_commit_idle(const struct agb_owner *o)
{
	return o->commit.pending.len == 0 && !o->commit.writing;
}

/* Earliest time of the next write, given that there is something to write. */
static agb_time
next_write_at(const struct agb_owner *o)
{
	const struct own_commit *const c = &o->commit;
	agb_time at = c->sent_at + OWN_COMMIT_INTERVAL;
	agb_time delayed;

	if (c->sent_at == 0)
		at = 0;
	if (c->next_chunk < c->chunks_len || c->urgent || o->term)
		return at;
	delayed = c->pending_since + OWN_COMMIT_DELAY_MAX;
	return delayed > at ? delayed : at;
}

static void
write_value(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_STORE);
	struct agb_store_op *const op = &ef->u.store;

	c->tag = own_tag_new(o);
	c->sent_at = now;
	c->reading_back = false;
	ef->tag = c->tag;
	ef->timeout_ms = OWN_STORE_TIMEOUT_MS * 2;
	agb_store_op_init(op, AGB_STORE_TXN);
	/* Fencing: fails once another instance has become the owner. */
	agb_store_op_add_cmp(
	    op, o->elect.owner_key, AGB_STORE_CMP_CREATE_REV, o->epoch);
	/* Fails when an earlier try of this write has taken effect. */
	agb_store_op_add_cmp(op, c->key, AGB_STORE_CMP_CREATE_REV, 0);
	agb_store_op_add_put(op, c->key, c->value.data, c->value.len, 0);
	if (c->writing_chunk)
		own_snapshot_add_deletes(o, op);
}

static void
read_back(struct agb_owner *o, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_STORE);

	c->tag = own_tag_new(o);
	c->reading_back = true;
	ef->tag = c->tag;
	ef->timeout_ms = OWN_STORE_TIMEOUT_MS;
	agb_store_op_init_range(&ef->u.store, c->key, NULL, 1);
}

/* Fills a journal value with as many of the pending records as it can hold. */
static void
fill_value(struct agb_owner *o, agb_time now)
{
	struct own_commit *const c = &o->commit;
	agb_j_head head = {.epoch = o->epoch, .last = true};
	size_t i, rest;

	for (i = 0; i < c->pending.len; i++) {
		const struct own_record *const r = &c->pending.items[i];

		if (i > 0 && c->value.len + r->len > AGB_JOURNAL_VALUE_MAX)
			break;
		agb_journal_add(&c->value, r->bytes, r->len);
		*records_add(&c->in_flight) = *r;
	}
	rest = c->pending.len - i;
	memmove(c->pending.items, c->pending.items + i,
	    rest * sizeof(*c->pending.items));
	c->pending.len = rest;
	c->pending_since = now;
	if (rest == 0)
		c->urgent = false;
	head.seq = ++c->seq;
	head.at_ms = now / AGB_MS;
	agb_journal_seal(&c->value, &head);
	c->key = agb_journal_key(o->elect.shard_prefix, o->epoch, c->seq);
}

/* Answers the caller that waits for a record while the store cannot be reached.
 * @in_flight: a write of the record has been sent */
static void
answer_isolated(struct agb_owner *o, struct own_record *r, bool in_flight,
    struct agb_effects *out)
{
	struct own_job *const j = r->waiter;

	if (r->waiter_kind == OWN_WAITER_GRANT) {
		own_grant_on_isolated(o, r->waiter, out);
	} else if (r->waiter_kind == OWN_WAITER_CANCEL && r->reply_token != 0) {
		own_job_reply_state(j, AGB_X_CANCEL, r->reply_token,
		    "being cancelled, but the store cannot be reached to "
		    "make that durable",
		    out);
		r->reply_token = 0;
	} else if (r->waiter_kind == OWN_WAITER_SUBMIT && in_flight) {
		own_job_refuse(o, j, AGB_OUTCOME_UNKNOWN,
		    AGB_REASON_STORE_UNKNOWN,
		    "the store did not tell whether it took the job", out);
		j->submit_tokens_len = 0;
	}
}

/*
 * Called while the store lease may have expired. A job whose record has not
 * been sent is refused and its record removed, so that the job cannot be
 * accepted after all once the store can be reached again. Records that have
 * been sent are kept until the store answers.
 */
static void
refuse_isolated(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	size_t i, n = 0;

	for (i = 0; i < c->in_flight.len && now >= c->begun_at + WRITE_WAIT_MAX;
	     i++)
		answer_isolated(o, &c->in_flight.items[i], true, out);
	for (i = 0; i < c->pending.len; i++) {
		struct own_record *const r = &c->pending.items[i];

		if (r->waiter_kind == OWN_WAITER_SUBMIT) {
			own_job_refuse(o, r->waiter, AGB_OUTCOME_NOT_RUN,
			    AGB_REASON_ISOLATED,
			    "the store cannot be reached to accept the job",
			    out);
			own_job_delete(o, r->waiter);
			free(r->bytes);
			continue;
		}
		answer_isolated(o, r, false, out);
		c->pending.items[n++] = *r;
	}
	c->pending.len = n;
}

void
own_commit_tick(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;

	if (!own_serving(o))
		return;
	if (!own_lease_held(o, now)) {
		refuse_isolated(o, now, out);
		return;
	}
	if (c->writing) {
		if (c->tag != 0 || now < c->retry_at)
			return;
		if (c->answer_lost || c->compare_failed)
			read_back(o, out);
		else
			write_value(o, now, out);
		return;
	}
	if (c->pending.len == 0 && c->next_chunk >= c->chunks_len)
		return;
	if (now < next_write_at(o))
		return;
	c->writing = true;
	c->begun_at = now;
	c->answer_lost = false;
	c->compare_failed = false;
	/* Records go first: callers wait for them, but not for a snapshot. */
	c->writing_chunk = c->pending.len == 0;
	if (c->writing_chunk) {
		c->value = c->chunks[c->next_chunk];
		memset(&c->chunks[c->next_chunk], 0, sizeof(*c->chunks));
		c->key = agb_journal_chunk_key(o->elect.shard_prefix, o->epoch,
		    c->snapshot_seq, (uint32_t)c->next_chunk);
	} else {
		fill_value(o, now);
	}
	write_value(o, now, out);
}

static void
end_write(struct own_commit *c)
{
	records_free(&c->in_flight);
	agb_journal_value_free(&c->value);
	free(c->key);
	c->key = NULL;
	c->writing = false;
	c->retry_ms = 0;
	c->tag = 0;
}

static void
notify_durable(struct agb_owner *o, agb_time now, const struct own_record *r,
    struct agb_effects *out)
{
	switch (r->waiter_kind) {
	case OWN_WAITER_SUBMIT:
		((struct own_job *)r->waiter)->record_refs--;
		own_job_accept(o, now, r->waiter, out);
		break;
	case OWN_WAITER_START:
		own_task_on_durable(o, r->waiter, &r->attempt);
		break;
	case OWN_WAITER_DONE:
		((struct own_job *)r->waiter)->record_refs--;
		own_job_finish(o, now, r->waiter, out);
		break;
	case OWN_WAITER_GRANT:
		own_grant_on_durable(o, now, r->waiter, out);
		break;
	case OWN_WAITER_ACK:
		own_worker_on_durable(o, now, r->waiter);
		break;
	case OWN_WAITER_NONE:
	case OWN_WAITER_CANCEL:
		break;
	}
}

/* The value that was being written is in the store. */
static void
on_write_durable(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	struct own_records done = c->in_flight;
	size_t i;

	memset(&c->in_flight, 0, sizeof(c->in_flight));
	if (c->writing_chunk) {
		end_write(c);
		c->next_chunk++;
		return;
	}
	c->journal_bytes += c->value.len;
	c->journal_keys++;
	end_write(c);
	for (i = 0; i < done.len; i++)
		notify_durable(o, now, &done.items[i], out);
	/* Cancellations are answered last, with the state that all records of
	 * this value lead to. */
	for (i = 0; i < done.len; i++) {
		struct own_job *const j = done.items[i].waiter;

		if (done.items[i].waiter_kind != OWN_WAITER_CANCEL)
			continue;
		j->record_refs--;
		if (done.items[i].reply_token != 0)
			own_job_reply_state(j, AGB_X_CANCEL,
			    done.items[i].reply_token, NULL, out);
	}
	records_free(&done);
	own_snapshot_start_if_due(o, now, out);
}

bool
own_commit_on_store_result(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_store_result *r, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;

	if (!c->writing || c->tag == 0 || tag != c->tag)
		return false;
	c->tag = 0;
	if (!c->reading_back) {
		if (r->status == AGB_STORE_OK && r->succeeded) {
			on_write_durable(o, now, out);
			return true;
		}
		c->compare_failed = r->status == AGB_STORE_OK;
		if (r->status == AGB_STORE_LOST)
			c->answer_lost = true;
		c->retry_at = c->compare_failed || c->answer_lost
		    ? now
		    : now + own_backoff_ms(o, &c->retry_ms) * AGB_MS;
		return true;
	}
	if (r->status != AGB_STORE_OK) {
		c->retry_at = now + own_backoff_ms(o, &c->retry_ms) * AGB_MS;
		return true;
	}
	if (r->kvs_len > 0) {
		on_write_durable(o, now, out);
	} else if (c->compare_failed) {
		own_step_down(o, now, "a journal write was fenced", out);
	} else {
		/* Not found, but the write whose answer was lost may still
		 * take effect. Writing the same value again is safe. */
		write_value(o, now, out);
	}
	return true;
}

/* Answers the caller that waits for a record that is discarded.
 * @maybe_written: a write of the record may have taken effect */
static void
answer_discarded(struct agb_owner *o, const struct own_record *r,
    bool maybe_written, struct agb_effects *out)
{
	if (r->waiter_kind == OWN_WAITER_SUBMIT && maybe_written)
		own_job_refuse(o, r->waiter, AGB_OUTCOME_UNKNOWN,
		    AGB_REASON_STORE_UNKNOWN,
		    "the store did not tell whether it took the job", out);
	else if (r->waiter_kind == OWN_WAITER_SUBMIT)
		own_job_refuse(o, r->waiter, AGB_OUTCOME_NOT_RUN,
		    AGB_REASON_NO_OWNER, "the shard has a new owner", out);
	else if (r->waiter_kind == OWN_WAITER_CANCEL && r->reply_token != 0)
		own_job_reply_state(r->waiter, AGB_X_CANCEL, r->reply_token,
		    "the shard has a new owner; cancel again", out);
}

/*
 * Discards all records when this instance loses the role. A write may have
 * taken effect while it has not been answered. It also may have when its answer
 * was lost and the key was not found afterwards: a new owner may have read the
 * value and compacted the journal in between.
 */
void
own_commit_discard(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	const bool maybe_written =
	    c->writing && (c->answer_lost || (c->tag != 0 && !c->reading_back));
	size_t i;

	(void)now;
	for (i = 0; i < c->in_flight.len; i++)
		answer_discarded(o, &c->in_flight.items[i], maybe_written, out);
	for (i = 0; i < c->pending.len; i++)
		answer_discarded(o, &c->pending.items[i], false, out);
	records_free(&c->pending);
	end_write(c);
	own_snapshot_free(o);
	memset(c, 0, sizeof(*c));
}

agb_time
own_commit_next_tick(const struct agb_owner *o, agb_time now)
{
	const struct own_commit *const c = &o->commit;
	agb_time at;

	if (!own_serving(o))
		return AGB_TIME_MAX;
	if (!own_lease_held(o, now)) {
		at = c->begun_at + WRITE_WAIT_MAX;
		return c->writing && at > now ? at : AGB_TIME_MAX;
	}
	if (c->writing)
		return c->tag != 0 ? AGB_TIME_MAX : c->retry_at;
	if (c->pending.len == 0 && c->next_chunk >= c->chunks_len)
		return AGB_TIME_MAX;
	at = next_write_at(o);
	return at > now ? at : now;
}

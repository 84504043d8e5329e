#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* Callers wait this long for a write whose answer is out before they are
 * told that its fate is not known. */
#define FLIGHT_MAX (3 * AGB_SEC)

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
 * Gathers a record for the next commit; @ref names who waits for it, and
 * @token the call that OWN_WAIT_CANCEL answers.
 */
void
own_commit_add(struct agb_owner *o, agb_time now, agb_j_record *rec,
    enum own_waiter_kind kind, void *ref, uint64_t token)
{
	struct own_commit *const c = &o->commit;
	struct own_record *r;
	size_t len = 0;
	char *bytes;

	bytes = agb_journal_encode(rec, &len);
	/* Callers bound each field; a record over the bound is a fault of
	 * this program, and going on would lose accepted work. */
	if (bytes == NULL)
		abort();
	r = records_add(&c->pending);
	r->bytes = bytes;
	r->len = len;
	r->kind = kind;
	r->ref = ref;
	if (kind == OWN_WAIT_START)
		r->attempt = ((struct own_task *)ref)->attempt;
	r->token = token;
	if (kind == OWN_WAIT_SUBMIT || kind == OWN_WAIT_DONE ||
	    kind == OWN_WAIT_CANCEL)
		((struct own_job *)ref)->refs++;
	if (kind == OWN_WAIT_ACK)
		((struct own_worker *)ref)->undurable++;
	if (c->pending.len == 1)
		c->first_at = now;
	if (kind != OWN_WAIT_NONE)
		c->urgent = true;
}

bool
own_commit_idle(const struct agb_owner *o)
{
	return o->commit.pending.len == 0 && !o->commit.busy;
}

static agb_time
due_at(const struct agb_owner *o)
{
	const struct own_commit *const c = &o->commit;
	agb_time at = c->sent_at + OWN_COMMIT_EVERY;
	agb_time lazy;

	if (c->sent_at == 0)
		at = 0;
	if (c->chunk < c->chunks_len || c->urgent || o->term)
		return at;
	lazy = c->first_at + OWN_COMMIT_LAZY;
	return lazy > at ? lazy : at;
}

static void
write_value(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_STORE);
	struct agb_store_op *const op = &ef->u.store;

	c->tag = own_tag(o);
	c->sent_at = now;
	c->reading = false;
	ef->tag = c->tag;
	ef->timeout_ms = OWN_STORE_TIMEOUT_MS * 2;
	agb_store_op_init(op, AGB_STORE_TXN);
	/* Fences out an owner that lost its shard. */
	agb_store_op_cmp(op, o->elect.key, AGB_STORE_CREATE_REV, o->epoch);
	/* Makes a repeated write of the same key harmless. */
	agb_store_op_cmp(op, c->key, AGB_STORE_CREATE_REV, 0);
	agb_store_op_put(op, c->key, c->value.data, c->value.len, 0);
	if (c->chunk_flight)
		own_snapshot_op(o, op);
}

static void
read_back(struct agb_owner *o, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_STORE);

	c->tag = own_tag(o);
	c->reading = true;
	ef->tag = c->tag;
	ef->timeout_ms = OWN_STORE_TIMEOUT_MS;
	agb_store_op_range(&ef->u.store, c->key, NULL, 1);
}

/* Moves as many pending records as one value takes into the flight. */
static void
fill(struct agb_owner *o, agb_time now)
{
	struct own_commit *const c = &o->commit;
	agb_j_head head = {.epoch = o->epoch, .last = true};
	size_t i, rest;

	for (i = 0; i < c->pending.len; i++) {
		const struct own_record *const r = &c->pending.items[i];

		if (i > 0 && c->value.len + r->len > AGB_JOURNAL_VALUE_MAX)
			break;
		agb_journal_add(&c->value, r->bytes, r->len);
		*records_add(&c->flight) = *r;
	}
	rest = c->pending.len - i;
	memmove(c->pending.items, c->pending.items + i,
	    rest * sizeof(*c->pending.items));
	c->pending.len = rest;
	c->first_at = now;
	if (rest == 0)
		c->urgent = false;
	head.seq = ++c->seq;
	head.at_ms = now / AGB_MS;
	agb_journal_seal(&c->value, &head);
	c->key = agb_journal_key(o->elect.shard, o->epoch, c->seq);
}

/* Answers who waits for a record that may not become durable for long. */
static void
record_isolated(struct agb_owner *o, struct own_record *r, bool flight,
    struct agb_effects *out)
{
	struct own_job *const j = r->ref;

	if (r->kind == OWN_WAIT_GRANT) {
		own_grant_isolated(o, r->ref, out);
	} else if (r->kind == OWN_WAIT_CANCEL && r->token != 0) {
		own_job_state(j, AGB_X_CANCEL, r->token,
		    "being cancelled, but the store cannot be reached to "
		    "make that durable",
		    out);
		r->token = 0;
	} else if (r->kind == OWN_WAIT_SUBMIT && flight) {
		own_job_refuse(o, j, AGB_UNKNOWN, AGB_REASON_STORE_UNKNOWN,
		    "the store did not tell whether it took the job", out);
		j->tokens_len = 0;
	}
}

/*
 * Past the lease bound: a job whose record has not been sent is refused and
 * its record taken back, so that the refusal stays true once the store is
 * back. What has been sent stays open until the store tells.
 */
static void
isolated(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	size_t i, n = 0;

	for (i = 0; i < c->flight.len && now >= c->begun_at + FLIGHT_MAX; i++)
		record_isolated(o, &c->flight.items[i], true, out);
	for (i = 0; i < c->pending.len; i++) {
		struct own_record *const r = &c->pending.items[i];

		if (r->kind == OWN_WAIT_SUBMIT) {
			own_job_refuse(o, r->ref, AGB_NOT_RUN,
			    AGB_REASON_ISOLATED,
			    "the store cannot be reached to accept the job",
			    out);
			own_job_delete(o, r->ref);
			free(r->bytes);
			continue;
		}
		record_isolated(o, r, false, out);
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
	if (!own_leased(o, now)) {
		isolated(o, now, out);
		return;
	}
	if (c->busy) {
		if (c->tag != 0 || now < c->retry_at)
			return;
		if (c->lost || c->compared)
			read_back(o, out);
		else
			write_value(o, now, out);
		return;
	}
	if (c->pending.len == 0 && c->chunk >= c->chunks_len)
		return;
	if (now < due_at(o))
		return;
	c->busy = true;
	c->begun_at = now;
	c->lost = false;
	c->compared = false;
	/* Records go first: callers wait for them, nobody for a snapshot. */
	c->chunk_flight = c->pending.len == 0;
	if (c->chunk_flight) {
		c->value = c->chunks[c->chunk];
		memset(&c->chunks[c->chunk], 0, sizeof(*c->chunks));
		c->key = agb_journal_chunk_key(
		    o->elect.shard, o->epoch, c->covered, (uint32_t)c->chunk);
	} else {
		fill(o, now);
	}
	write_value(o, now, out);
}

static void
flight_end(struct own_commit *c)
{
	records_free(&c->flight);
	agb_journal_value_free(&c->value);
	free(c->key);
	c->key = NULL;
	c->busy = false;
	c->retry_ms = 0;
	c->tag = 0;
}

static void
record_durable(struct agb_owner *o, agb_time now, const struct own_record *r,
    struct agb_effects *out)
{
	switch (r->kind) {
	case OWN_WAIT_SUBMIT:
		((struct own_job *)r->ref)->refs--;
		own_job_submitted(o, now, r->ref, out);
		break;
	case OWN_WAIT_START:
		own_task_durable(o, r->ref, &r->attempt);
		break;
	case OWN_WAIT_DONE:
		((struct own_job *)r->ref)->refs--;
		own_job_finish(o, now, r->ref, out);
		break;
	case OWN_WAIT_GRANT:
		own_grant_durable(o, now, r->ref, out);
		break;
	case OWN_WAIT_ACK:
		own_worker_acked(o, now, r->ref);
		break;
	case OWN_WAIT_NONE:
	case OWN_WAIT_CANCEL:
		break;
	}
}

static void
durable(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	struct own_records done = c->flight;
	size_t i;

	memset(&c->flight, 0, sizeof(c->flight));
	if (c->chunk_flight) {
		flight_end(c);
		c->chunk++;
		return;
	}
	c->journal_bytes += c->value.len;
	c->journal_keys++;
	flight_end(c);
	for (i = 0; i < done.len; i++)
		record_durable(o, now, &done.items[i], out);
	/* Answers to cancellations tell the state after all of the rest. */
	for (i = 0; i < done.len; i++) {
		struct own_job *const j = done.items[i].ref;

		if (done.items[i].kind != OWN_WAIT_CANCEL)
			continue;
		j->refs--;
		if (done.items[i].token != 0)
			own_job_state(
			    j, AGB_X_CANCEL, done.items[i].token, NULL, out);
	}
	records_free(&done);
	own_snapshot_check(o, now, out);
}

bool
own_commit_store(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_store_result *r, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;

	if (!c->busy || c->tag == 0 || tag != c->tag)
		return false;
	c->tag = 0;
	if (!c->reading) {
		if (r->status == AGB_STORE_OK && r->succeeded) {
			durable(o, now, out);
			return true;
		}
		c->compared = r->status == AGB_STORE_OK;
		if (r->status == AGB_STORE_LOST)
			c->lost = true;
		c->retry_at = c->compared || c->lost
		    ? now
		    : now + own_backoff(o, &c->retry_ms) * AGB_MS;
		return true;
	}
	if (r->status != AGB_STORE_OK) {
		c->retry_at = now + own_backoff(o, &c->retry_ms) * AGB_MS;
		return true;
	}
	if (r->kvs_len > 0) {
		durable(o, now, out);
	} else if (c->compared) {
		own_drop(o, now, "a journal write was fenced", out);
	} else {
		/* Not there, but the lost call may still arrive: the same
		 * write again settles it. */
		write_value(o, now, out);
	}
	return true;
}

static void
record_drop(struct agb_owner *o, const struct own_record *r, bool maybe,
    struct agb_effects *out)
{
	if (r->kind == OWN_WAIT_SUBMIT && maybe)
		own_job_refuse(o, r->ref, AGB_UNKNOWN, AGB_REASON_STORE_UNKNOWN,
		    "the store did not tell whether it took the job", out);
	else if (r->kind == OWN_WAIT_SUBMIT)
		own_job_refuse(o, r->ref, AGB_NOT_RUN, AGB_REASON_NO_OWNER,
		    "the shard has a new owner", out);
	else if (r->kind == OWN_WAIT_CANCEL && r->token != 0)
		own_job_state(r->ref, AGB_X_CANCEL, r->token,
		    "the shard has a new owner; cancel again", out);
}

/*
 * Drops all records when the role ends. A write may have taken effect while
 * its answer is out, and also after an answer for it was lost and the key was
 * not found: a new owner may have read and compacted the value by then.
 */
void
own_commit_drop(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_commit *const c = &o->commit;
	const bool maybe = c->busy && (c->lost || (c->tag != 0 && !c->reading));
	size_t i;

	(void)now;
	for (i = 0; i < c->flight.len; i++)
		record_drop(o, &c->flight.items[i], maybe, out);
	for (i = 0; i < c->pending.len; i++)
		record_drop(o, &c->pending.items[i], false, out);
	records_free(&c->pending);
	flight_end(c);
	own_snapshot_free(o);
	memset(c, 0, sizeof(*c));
}

agb_time
own_commit_next(const struct agb_owner *o, agb_time now)
{
	const struct own_commit *const c = &o->commit;
	agb_time at;

	if (!own_serving(o))
		return AGB_TIME_MAX;
	if (!own_leased(o, now)) {
		at = c->begun_at + FLIGHT_MAX;
		return c->busy && at > now ? at : AGB_TIME_MAX;
	}
	if (c->busy)
		return c->tag != 0 ? AGB_TIME_MAX : c->retry_at;
	if (c->pending.len == 0 && c->chunk >= c->chunks_len)
		return AGB_TIME_MAX;
	at = due_at(o);
	return at > now ? at : now;
}

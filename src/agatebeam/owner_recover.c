#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "owner_internal.h"

/* Values per read. A snapshot chunk has at most 900 KB and a journal value at
 * most 512 KB, so a read takes less than a second on a slow link. */
#define SNAPSHOT_READ_MAX 4
#define JOURNAL_READ_MAX 16

struct replay {
	struct agb_owner *o;
	agb_time now;
	uint64_t last_at_ms;
};

static void
read_next(struct agb_owner *o, struct agb_effects *out)
{
	struct own_recover *const r = &o->recover;
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_STORE);
	char *prefix, *end;

	prefix = agb_xasprintf("%s%s", o->elect.shard_prefix,
	    r->reading_journal ? "journal/" : "snapshot/");
	end = agb_store_prefix_end(prefix);
	r->tag = own_tag_new(o);
	ef->tag = r->tag;
	ef->timeout_ms = 2000;
	agb_store_op_init_range(&ef->u.store,
	    r->next_key != NULL ? r->next_key : prefix, end,
	    r->reading_journal ? JOURNAL_READ_MAX : SNAPSHOT_READ_MAX);
	free(prefix);
	free(end);
}

void
own_recover_start(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	(void)now;
	own_recover_free(o);
	read_next(o, out);
}

void
own_recover_free(struct agb_owner *o)
{
	struct own_recover *const r = &o->recover;

	agb_store_kvs_free(r->kvs, r->kvs_len);
	free(r->next_key);
	memset(r, 0, sizeof(*r));
}

void
own_recover_tick(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_recover *const r = &o->recover;

	if (r->retry_at == 0 || now < r->retry_at)
		return;
	r->retry_at = 0;
	read_next(o, out);
}

static struct own_job *
job_find(const struct replay *p, const char *id)
{
	return own_map_get(&p->o->job_ids, id, strlen(id));
}

static struct own_task *
task_find(const struct replay *p, const char *job, uint32_t n)
{
	struct own_job *const j = job_find(p, job);

	return j != NULL && n < j->tasks_len ? &j->tasks[n] : NULL;
}

/* Converts the age that a record gives to a time of this process's clock. */
static agb_time
to_local_time(const struct replay *p, const agb_j_head *head, uint64_t age_ms)
{
	uint64_t age = age_ms;

	/* Clocks of different epochs cannot be compared. The age that the event
	 * had at the last journal value of the same epoch is a lower bound. */
	if (head->epoch == p->o->recover.last_epoch &&
	    p->o->recover.last_at_ms > head->at_ms)
		age += p->o->recover.last_at_ms - head->at_ms;
	return p->now > age * AGB_MS ? p->now - age * AGB_MS : 0;
}

static void
replay_job(struct replay *p, const agb_j_head *head, const agb_j_job *r)
{
	struct own_job *j;

	if (job_find(p, r->job) != NULL)
		return;
	j = own_job_new(p->o, r);
	j->durable = true;
	j->accepted_at = to_local_time(p, head, r->age_ms);
}

static void
replay_start(const struct replay *p, const agb_j_start *r)
{
	struct own_task *const t = task_find(p, r->job, r->task);

	if (t == NULL)
		return;
	t->state = OWN_TASK_UNCONFIRMED;
	t->attempt.epoch = r->epoch;
	t->attempt.seq = r->seq;
	agb_str_copy(t->worker_id, sizeof(t->worker_id), r->worker);
	agb_str_copy(t->boot_id, sizeof(t->boot_id), r->boot);
	free(t->result_text);
	t->result_text = NULL;
}

static void
replay_ended(const struct replay *p, const agb_j_ended *r)
{
	struct own_task *const t = task_find(p, r->job, r->task);

	if (t == NULL || t->attempt.epoch != r->epoch ||
	    t->attempt.seq != r->seq)
		return;
	own_task_set_result(t, (enum agb_result)r->result);
	free(t->result_text);
	t->result_text = r->text.text_len > 0
	    ? agb_xmemdup(r->text.text_val, r->text.text_len)
	    : NULL;
}

static void
replay_done(struct replay *p, const agb_j_head *head, const agb_j_done *r)
{
	struct own_job *const j = job_find(p, r->job);

	if (j == NULL)
		return;
	if (!j->done)
		own_vec_add(&p->o->done_jobs, j);
	j->ended = true;
	j->done = true;
	j->outcome = (enum agb_outcome)r->outcome;
	j->reason = (enum agb_reason)r->reason;
	agb_str_copy(j->detail, sizeof(j->detail), r->detail);
	free(j->result);
	j->result = agb_xmemdup(r->result.result_val, r->result.result_len);
	j->result_len = r->result.result_len;
	j->done_at = to_local_time(p, head, r->age_ms);
}

static void
replay_quick(struct replay *p, const agb_j_head *head, const agb_j_quick *r)
{
	const struct agb_attempt a = {r->epoch, r->seq};
	struct own_key *k = own_key_find(p->o, r->team, r->key);

	if (k != NULL)
		own_key_delete(p->o, k);
	k = own_key_new(p->o, r->team, r->key, &a);
	agb_str_copy(k->worker_id, sizeof(k->worker_id), r->worker);
	k->durable = true;
	k->created_at = to_local_time(p, head, r->age_ms);
}

static void
replay_quick_done(const struct replay *p, const agb_j_quick_done *r)
{
	struct own_key *const k = own_key_find(p->o, r->team, r->key);

	if (k == NULL || k->attempt.epoch != r->epoch ||
	    k->attempt.seq != r->seq)
		return;
	if (r->outcome == AGB_OUTCOME_NOT_RUN)
		own_key_delete(p->o, k);
	else
		own_key_set_outcome(k, (enum agb_outcome)r->outcome);
}

static void
replay_record(void *arg, const agb_j_head *head, agb_j_record *rec)
{
	struct replay *const p = arg;
	struct own_job *j;

	switch (rec->type) {
	case AGB_J_JOB:
		replay_job(p, head, &rec->agb_j_record_u.job);
		break;
	case AGB_J_START:
		replay_start(p, &rec->agb_j_record_u.start);
		break;
	case AGB_J_ENDED:
		replay_ended(p, &rec->agb_j_record_u.ended);
		break;
	case AGB_J_DONE:
		replay_done(p, head, &rec->agb_j_record_u.done);
		break;
	case AGB_J_CANCEL:
		j = job_find(p, rec->agb_j_record_u.cancel.job);
		if (j != NULL)
			j->cancelled = true;
		break;
	case AGB_J_QUICK:
		replay_quick(p, head, &rec->agb_j_record_u.quick);
		break;
	case AGB_J_QUICK_DONE:
		replay_quick_done(p, &rec->agb_j_record_u.quick_done);
		break;
	}
}

/* Index after the last chunk of the snapshot that starts at @i, or 0 when that
 * snapshot is not complete. */
static size_t
snapshot_end(const struct own_recover *r, size_t i)
{
	agb_j_head first, h;
	size_t n;

	if (!agb_journal_read_head(r->kvs[i].val, r->kvs[i].val_len, &first) ||
	    first.chunk != 0)
		return 0;
	for (n = 0; i + n < r->snapshot_len; n++) {
		if (!agb_journal_read_head(
			r->kvs[i + n].val, r->kvs[i + n].val_len, &h) ||
		    h.epoch != first.epoch || h.seq != first.seq ||
		    h.chunk != n)
			return 0;
		if (h.last)
			return i + n + 1;
	}
	return 0;
}

/* Replays the latest complete snapshot and the journal values after it.
 * @bad: set to the key of the value that cannot be read, on failure */
static bool
replay_all(struct replay *p, const char **bad)
{
	struct own_recover *const r = &p->o->recover;
	struct own_commit *const c = &p->o->commit;
	agb_j_head from = {0}, h;
	size_t i, end, start = 0, stop = 0;

	for (i = 0; i < r->snapshot_len; i++) {
		end = snapshot_end(r, i);
		if (end != 0) {
			start = i;
			stop = end;
		}
	}
	if (stop != 0)
		(void)agb_journal_read_head(
		    r->kvs[start].val, r->kvs[start].val_len, &from);
	for (i = start; i < r->kvs_len; i++) {
		const struct agb_store_kv *const kv = &r->kvs[i];

		if (i >= stop && i < r->snapshot_len)
			continue;
		*bad = kv->key;
		if (!agb_journal_read_head(kv->val, kv->val_len, &h))
			return false;
		if (i >= r->snapshot_len) {
			c->journal_keys++;
			c->journal_bytes += kv->val_len;
			if (h.epoch < from.epoch ||
			    (h.epoch == from.epoch && h.seq <= from.seq))
				continue;
		} else {
			c->snapshot_bytes += kv->val_len;
		}
		if (!agb_journal_read(kv->val, kv->val_len, replay_record, p))
			return false;
	}
	return true;
}

/* Snapshot and journal have been read: replays them and starts to serve. */
static void
finish_reading(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	struct own_recover *const r = &o->recover;
	struct replay p = {.o = o, .now = now};
	const char *bad = "";
	agb_j_head h;

	if (r->kvs_len > 0 &&
	    agb_journal_read_head(r->kvs[r->kvs_len - 1].val,
		r->kvs[r->kvs_len - 1].val_len, &h)) {
		r->last_epoch = h.epoch;
		r->last_at_ms = h.at_ms;
	}
	if (!replay_all(&p, &bad)) {
		/* Serving the shard now could lose accepted jobs. An operator
		 * has to resolve this. */
		agb_effects_log(out, AGB_LOG_ERROR, "journal-unreadable",
		    "domain=%s key=\"%s\"", o->cfg.domain, bad);
		own_step_down(o, now, "the journal cannot be read", out);
		o->elect.campaign_not_before = now + 5 * AGB_SEC;
		return;
	}
	own_recover_free(o);
	own_recover_activate(o, now, out);
}

bool
own_recover_on_store_result(struct agb_owner *o, agb_time now, uint64_t tag,
    const struct agb_store_result *res, struct agb_effects *out)
{
	struct own_recover *const r = &o->recover;
	size_t i;

	if (r->tag == 0 || tag != r->tag)
		return false;
	r->tag = 0;
	if (res->status != AGB_STORE_OK) {
		r->retry_at = now + own_backoff_ms(o, &r->retry_ms) * AGB_MS;
		return true;
	}
	r->retry_ms = 0;
	r->kvs = agb_xreallocarray(
	    r->kvs, r->kvs_len + res->kvs_len, sizeof(*r->kvs));
	for (i = 0; i < res->kvs_len; i++) {
		struct agb_store_kv *const kv = &r->kvs[r->kvs_len++];

		*kv = res->kvs[i];
		kv->key = agb_xstrdup(res->kvs[i].key);
		kv->val = agb_xmemdup(res->kvs[i].val, res->kvs[i].val_len);
	}
	free(r->next_key);
	r->next_key = NULL;
	if (res->more && res->kvs_len > 0) {
		/* This sorts directly after the last key that was read, since
		 * keys have no characters below the space. */
		r->next_key =
		    agb_xasprintf("%s ", res->kvs[res->kvs_len - 1].key);
	} else if (!r->reading_journal) {
		r->reading_journal = true;
		r->snapshot_len = r->kvs_len;
	} else {
		finish_reading(o, now, out);
		return true;
	}
	read_next(o, out);
	return true;
}

/* Starts to serve the shard: creates the scheduler from the recovered state
 * and takes over the sessions with the workers. */
void
own_recover_activate(struct agb_owner *o, agb_time now, struct agb_effects *out)
{
	const struct agb_sched_event env = {
	    .type = AGB_SCHED_ENV, .env = o->env};
	size_t i;

	o->sched = agb_sched_new(o->epoch, o->cfg.domain, o->cfg.seed);
	if (o->sched == NULL)
		abort();
	o->role = OWN_ACTIVE;
	agb_effects_log(out, AGB_LOG_INFO, "recovered",
	    "domain=%s epoch=%llu jobs=%zu done=%zu keys=%zu workers=%zu "
	    "ms=%llu",
	    o->cfg.domain, (unsigned long long)o->epoch, o->jobs.len,
	    o->done_jobs.len, o->keys.len, o->workers.len,
	    (unsigned long long)((now - o->elected_at) / AGB_MS));
	own_sched_step(o, now, &env, out);
	for (i = 0; i < o->workers.len; i++)
		own_worker_join(o, now, o->workers.items[i], out);
	for (i = 0; i < o->jobs.len; i++)
		own_job_schedule(o, now, o->jobs.items[i], out);
	own_wake_at(o, now);
}

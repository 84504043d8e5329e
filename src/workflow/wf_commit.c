#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_leader.h"

/* The store accepts 32 entries in a transaction: one compares the leader's
 * key, then each job has a comparison and a put, or a comparison and up to three
 * deletes. */
#define JOBS_PER_WRITE 15
#define DELETED_JOBS_PER_WRITE 7
/* Number of writes in one deletion of the records of ended jobs. */
#define DELETING_WRITES_MAX 2
/* Number of cancellations of jobs that were not submitted in one deletion. */
#define DELETED_MARKS_MAX 10
/* A write with several records is not larger than this: far below what the store
 * takes as a request, and a link of 2 Mbit/s carries it in 1.4 s. */
#define WRITE_BYTES_MAX ((size_t)256 * 1024)
/* Maximum number of pending writes. A slow store answers after some hundred
 * milliseconds, and the record of a job is written several times. */
#define WRITES_MAX 24
/* Minimum time between two flushes, so that changes are written in batches. */
#define FLUSH_INTERVAL_MS 40
#define WRITE_TIMEOUT_MS 1500
/* Delay before a write that has failed is sent again. It doubles up to
 * WRITE_RETRY_MAX_MS once the write has failed WRITE_QUICK_RETRIES times: the
 * failures of a short outage have ended by then, and a record that the store
 * refuses for good, or on which it closes the connection, would be sent for
 * ever. */
#define WRITE_RETRY_MS 60
#define WRITE_QUICK_RETRIES 10
#define WRITE_RETRY_MAX_MS 500
/* After this many refusals, the records of a write are written one by one if
 * the store has renewed the leader's lease meanwhile: then the refusals are due
 * to one of the records and not to the store. */
#define REFUSALS_TO_SPLIT 5
/* An unanswered write is sent again after RESEND_MIN_MS, or after
 * RESEND_FACTOR times the present average time of a write if that is longer.
 * Only the attempt that arrives first is executed, as the revisions that the
 * others expect no longer exist then. */
#define RESEND_MIN_MS 150
#define RESEND_FACTOR 4
/* The newest write has a weight of 1/WRITE_TIME_SMOOTHING in the average time
 * of a write. */
#define WRITE_TIME_SMOOTHING 4
/* Time after which a record that could not be encoded is tried again. */
#define ENCODE_RETRY_MS 1000
/* Minimum time between two deletions of the records of ended jobs. */
#define COLLECT_INTERVAL_MS 2000
/* Minimum time between two searches for ended jobs that can be freed. */
#define REAP_INTERVAL_MS 100
/* Ended jobs are kept this much longer than the settings require. */
#define COLLECT_SLACK_MS 10000

static void
write_free(struct wf_leader *l, struct wf_write *w)
{
	size_t i;

	for (i = 0; i < w->jobs_len; i++)
		free(w->jobs[i].raw);
	free(w->jobs);
	agb_store_op_free(&w->op);
	DL_DELETE(l->writes, w);
	l->writes_len--;
	free(w);
}

void
wf_commit_free(struct wf_leader *l)
{
	while (l->writes != NULL)
		write_free(l, l->writes);
	free(l->acks);
}

void
wf_commit_queue_ack(struct wf_leader *l, uint32_t runner, uint64_t seq)
{
	struct wf_ack *a;

	if (l->acks_len == l->acks_cap)
		l->acks = agb_xgrow(l->acks, &l->acks_cap, sizeof(*l->acks));
	a = &l->acks[l->acks_len++];
	a->gen = l->gen;
	a->runner = runner;
	a->incarnation = l->runners[runner].incarnation;
	a->seq = seq;
}

/* Acknowledges the ends whose changes are all durable: the next hold lets the
 * runner forget them. */
static void
release_acks(struct wf_leader *l, agb_time now)
{
	const struct wf_exec *e;
	const struct wf_write *w;
	struct wf_runner *r;
	uint64_t durable_gen;
	size_t i, n;

	durable_gen = l->gen;
	for (e = l->execs; e != NULL; e = e->next) {
		if (e->dirty && e->gen <= durable_gen)
			durable_gen = e->gen - 1;
	}
	for (w = l->writes; w != NULL; w = w->next) {
		for (i = 0; i < w->jobs_len; i++) {
			if (w->jobs[i].gen <= durable_gen)
				durable_gen = w->jobs[i].gen - 1;
		}
	}
	for (n = 0; n < l->acks_len && l->acks[n].gen <= durable_gen; n++) {
		r = &l->runners[l->acks[n].runner];
		if (r->incarnation != l->acks[n].incarnation)
			continue;
		r->durable_seq = l->acks[n].seq;
		if (r->durable_seq == r->processed_seq && !r->poll.pending)
			r->poll.next_at = now;
	}
	l->acks_len -= n;
	if (n > 0 && l->acks_len > 0)
		memmove(l->acks, l->acks + n, l->acks_len * sizeof(*l->acks));
}

static void
op_copy(struct agb_store_op *dst, const struct agb_store_op *src)
{
	size_t i;

	agb_store_op_init(dst, src->kind);
	for (i = 0; i < src->cmps_len; i++)
		agb_store_op_add_cmp(dst, src->cmps[i].key, src->cmps[i].target,
		    src->cmps[i].rev);
	for (i = 0; i < src->writes_len; i++) {
		if (src->writes[i].is_delete)
			agb_store_op_add_delete(dst, src->writes[i].key, NULL);
		else
			agb_store_op_add_put(dst, src->writes[i].key,
			    src->writes[i].val, src->writes[i].val_len,
			    src->writes[i].lease);
	}
}

static size_t
attempts_pending(const struct wf_write *w)
{
	size_t i, n;

	n = 0;
	for (i = 0; i < WF_WRITE_ATTEMPTS_MAX; i++)
		n += w->attempts[i].tag != 0;
	return n;
}

/* Time that the link needs for the values of a write, which are sent in
 * base64. */
static uint64_t
link_time_ms(const struct wf_leader *l, const struct agb_store_op *op)
{
	uint64_t bytes = 0;
	size_t i;

	for (i = 0; i < op->writes_len; i++)
		bytes += op->writes[i].val_len;
	return bytes * 4 / 3 * 8 / l->cfg->link_kbps;
}

/* Time in which the link sends a number of attempts at a write besides those at
 * the other pending ones, with which it shares the link equally: small ones do
 * not wait for large ones. It is 0 when that is less than the time after which
 * each write is repeated, which covers it. */
static uint32_t
sending_ms(const struct wf_leader *l, const struct wf_write *w, size_t attempts)
{
	const struct wf_write *other;
	uint64_t own_ms, other_ms, ms;

	if (l->cfg->link_kbps == 0)
		return 0;
	own_ms = link_time_ms(l, &w->op);
	ms = attempts * own_ms;
	for (other = l->writes; other != NULL; other = other->next) {
		if (other == w)
			continue;
		other_ms = link_time_ms(l, &other->op);
		ms += attempts_pending(other) *
		    (other_ms < own_ms ? other_ms : own_ms);
	}
	return ms > RESEND_MIN_MS ? (uint32_t)ms : 0;
}

static agb_time
resend_after(const struct wf_leader *l)
{
	return agb_time_max(
	    RESEND_FACTOR * l->write_time_us, RESEND_MIN_MS * AGB_MS);
}

/* Sends a write, or sends it again while earlier attempts are pending. */
static void
write_send(struct wf_leader *l, const struct wf_now *now, struct wf_write *w,
    struct wf_effects *out)
{
	const uint32_t link_ms = sending_ms(l, w, attempts_pending(w) + 1);
	struct wf_effect *ef;
	size_t i;

	w->retry_at = now->mono + resend_after(l) + link_ms * AGB_MS;
	for (i = 0; i < WF_WRITE_ATTEMPTS_MAX && w->attempts[i].tag != 0; i++)
		continue;
	if (i == WF_WRITE_ATTEMPTS_MAX)
		return;
	w->attempts[i].tag = ++l->next_tag;
	w->attempts[i].sent_at = now->mono;
	ef = wf_effects_add(out, WF_EF_STORE);
	ef->tag = w->attempts[i].tag;
	ef->timeout_ms = WRITE_TIMEOUT_MS + link_ms;
	op_copy(&ef->u.store, &w->op);
}

/* Sends a write again, unless the link may still be sending the last attempt
 * because of writes that were added after it. */
static void
write_resend(struct wf_leader *l, const struct wf_now *now, struct wf_write *w,
    struct wf_effects *out)
{
	const uint32_t link_ms = sending_ms(l, w, attempts_pending(w));
	const agb_time expected = resend_after(l) + link_ms * AGB_MS;
	agb_time sent_at = 0;
	size_t i;

	for (i = 0; i < WF_WRITE_ATTEMPTS_MAX; i++) {
		if (w->attempts[i].tag != 0)
			sent_at = agb_time_max(sent_at, w->attempts[i].sent_at);
	}
	if (link_ms > 0 && sent_at > 0 && now->mono < sent_at + expected)
		w->retry_at = sent_at + expected;
	else
		write_send(l, now, w, out);
}

static struct wf_write *
write_new(struct wf_leader *l)
{
	struct wf_write *const w = agb_xcalloc(1, sizeof(*w));

	agb_store_op_init(&w->op, AGB_STORE_TXN);
	agb_store_op_add_cmp(
	    &w->op, WF_KEY_LEADER, AGB_STORE_CMP_MOD_REV, l->fence);
	DL_APPEND(l->writes, w);
	l->writes_len++;
	return w;
}

static void
write_add_job(struct wf_leader *l, struct wf_write *w, struct wf_exec *e,
    char *raw, size_t len)
{
	struct wf_write_job *const wj = &w->jobs[w->jobs_len++];
	struct wf_task_cursor c;
	struct wf_task *t;
	char key[WF_KEY_MAX];

	agb_str_copy(wj->id, sizeof(wj->id), e->job->id);
	wj->expected_rev = e->job->state_rev;
	wj->gen = e->gen;
	wj->raw = raw;
	wj->len = len;
	wf_table_make_key(key, 's', wj->id);
	agb_store_op_add_cmp(
	    &w->op, key, AGB_STORE_CMP_MOD_REV, wj->expected_rev);
	agb_store_op_add_put(&w->op, key, wj->raw, wj->len, 0);
	e->dirty = false;
	l->dirty_jobs--;
	e->in_flight = true;
	wf_task_cursor_init(&c, e);
	while ((t = wf_task_cursor_next(&c)) != NULL) {
		if (t->state == WF_TASK_INTENT)
			t->intent_in_write = true;
	}
}

/* Unix time of the end of the jobs, and of the cancellations without a job,
 * that need not be kept any longer. */
static int64_t
expired_before_ms(const struct wf_leader *l, const struct wf_now *now)
{
	return now->unix_ms - (int64_t)l->cfg->status_s * 1000 -
	    COLLECT_SLACK_MS;
}

/* A job is deleted only while there is none with the next ordinal: a request
 * finds that one by following the ordinals. */
static void
add_job_deletes(struct wf_write *w, const struct wf_job *j)
{
	const uint32_t ordinal = wf_job_id_ordinal(j->id);
	char key[WF_KEY_MAX];
	wf_job_id next;

	if (ordinal + 1 < WF_JOBS_PER_ID) {
		wf_job_id_make(next, j->id, ordinal + 1);
		wf_table_make_key(key, 'j', next);
		agb_store_op_add_cmp(&w->op, key, AGB_STORE_CMP_MOD_REV, 0);
	}
	wf_table_make_key(key, 'j', j->id);
	agb_store_op_add_delete(&w->op, key, NULL);
	wf_table_make_key(key, 'k', j->id);
	if (j->cancel_rev > 0)
		agb_store_op_add_delete(&w->op, key, NULL);
	wf_table_make_key(key, 's', j->id);
	agb_store_op_add_delete(&w->op, key, NULL);
}

/* The feed may deliver a cancellation before the job that it belongs to: it is
 * only deleted while there is none. */
static void
add_mark_delete(struct wf_write *w, const struct wf_job *j)
{
	char key[WF_KEY_MAX];

	wf_table_make_key(key, 'j', j->id);
	agb_store_op_add_cmp(&w->op, key, AGB_STORE_CMP_MOD_REV, 0);
	wf_table_make_key(key, 'k', j->id);
	agb_store_op_add_delete(&w->op, key, NULL);
}

static bool
job_expired(const struct wf_job *j, int64_t before)
{
	return wf_job_state_is_final(j->state) && j->exec == NULL &&
	    j->ended_ms <= before;
}

/* Whether the records of a job can be deleted. Those of jobs with the same digits
 * are kept until all of them have expired, which also keeps the numbers of their
 * runs apart, and are deleted in reverse order of their ordinals. */
static bool
is_deletable(struct wf_leader *l, const struct wf_job *j, int64_t before)
{
	const uint32_t ordinal = wf_job_id_ordinal(j->id);
	const struct wf_job *other;
	uint32_t i;

	if (!job_expired(j, before) || j->delete_refused)
		return false;
	for (i = 0; j->shares_id && i < WF_JOBS_PER_ID; i++) {
		other = wf_table_namesake(l->table, j->id, i);
		if (other == NULL || other == j)
			continue;
		if (i > ordinal || !job_expired(other, before))
			return false;
	}
	return true;
}

static void
send_deletes(struct wf_leader *l, const struct wf_now *now, struct wf_write *w,
    size_t jobs, struct wf_effects *out)
{
	w->deletes_jobs = true;
	write_send(l, now, w, out);
	wf_effects_log(out, AGB_LOG_INFO, "collect", "jobs=%zu", jobs);
}

/* Deletes the records of jobs whose state need not be kept any longer. */
static void
delete_expired_jobs(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	const int64_t before = expired_before_ms(l, now);
	struct wf_write *w = NULL;
	size_t writes = 0, n = 0;
	const struct wf_job *j;

	for (j = l->table->jobs; j != NULL && writes < DELETING_WRITES_MAX;
	     j = j->hh.next) {
		if (!is_deletable(l, j, before))
			continue;
		if (w == NULL)
			w = write_new(l);
		add_job_deletes(w, j);
		if (++n < DELETED_JOBS_PER_WRITE)
			continue;
		send_deletes(l, now, w, n, out);
		writes++;
		w = NULL;
		n = 0;
	}
	if (w != NULL)
		send_deletes(l, now, w, n, out);
}

/* Handles a deletion whose conditions did not hold: the jobs that are followed by
 * one with the next ordinal are kept. */
static void
note_refused_deletes(struct wf_leader *l, const struct agb_store_result *res)
{
	struct wf_job *j;
	char key[WF_KEY_MAX];
	wf_job_id next;
	size_t i;

	for (j = l->table->jobs; j != NULL; j = j->hh.next) {
		if (!wf_job_state_is_final(j->state) || j->exec != NULL)
			continue;
		wf_job_id_make(next, j->id, wf_job_id_ordinal(j->id) + 1);
		wf_table_make_key(key, 'j', next);
		for (i = 0; i < res->kvs_len; i++) {
			if (strcmp(res->kvs[i].key, key) == 0)
				j->delete_refused = true;
		}
	}
}

/* Deletes the cancellations of jobs that have not been submitted: no submission
 * that was sent before them is carried out any more. Each has its own write, as
 * a job that cannot be read holds back its cancellation for good. */
static void
delete_expired_marks(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	const int64_t before = expired_before_ms(l, now);
	const struct wf_job *j;
	struct wf_write *w;
	size_t n = 0;

	for (j = l->table->jobs; j != NULL && n < DELETED_MARKS_MAX;
	     j = j->hh.next) {
		if (!wf_job_is_cancel_mark(j) || j->cancelled_ms > before)
			continue;
		w = write_new(l);
		w->deletes_jobs = true;
		add_mark_delete(w, j);
		write_send(l, now, w, out);
		n++;
	}
	if (n > 0)
		wf_effects_log(
		    out, AGB_LOG_INFO, "collect", "cancellations=%zu", n);
}

static void
reap_ended_jobs(struct wf_leader *l)
{
	struct wf_exec *e, *e2;

	for (e = l->execs; e != NULL; e = e2) {
		e2 = e->next;
		if (wf_job_state_is_final(e->state) && !e->dirty &&
		    !e->in_flight && e->allocated == 0)
			wf_exec_free(l, e);
	}
}

static bool
flush_batch(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_write *w;
	struct wf_exec *e;
	size_t len, bytes;
	char *raw;

	w = NULL;
	bytes = 0;
	for (e = l->execs; e != NULL; e = e->next) {
		if (!e->dirty || e->in_flight || now->mono < e->write_at ||
		    (w != NULL && e->write_alone))
			continue;
		raw = wf_state_encode(l, e, &len);
		if (raw == NULL) {
			e->write_at = now->mono + ENCODE_RETRY_MS * AGB_MS;
			wf_effects_log(out, AGB_LOG_ERROR, "commit",
			    "job=%s outcome=unencodable", e->job->id);
			continue;
		}
		if (w != NULL && bytes + len > WRITE_BYTES_MAX) {
			free(raw);
			break;
		}
		if (w == NULL) {
			w = write_new(l);
			w->jobs = agb_xcalloc(JOBS_PER_WRITE, sizeof(*w->jobs));
		}
		write_add_job(l, w, e, raw, len);
		bytes += len;
		if (w->jobs_len == JOBS_PER_WRITE || e->write_alone)
			break;
	}
	if (w == NULL)
		return false;
	write_send(l, now, w, out);
	return true;
}

agb_time
wf_commit_flush(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_write *w;
	agb_time next;
	bool wrote;

	next = AGB_TIME_MAX;
	for (w = l->writes; w != NULL; w = w->next) {
		if (now->mono >= w->retry_at)
			write_resend(l, now, w, out);
		if (w->retry_at < next)
			next = w->retry_at;
	}
	if (l->dirty_jobs > 0 && now->mono < l->next_flush_at &&
	    l->next_flush_at < next)
		next = l->next_flush_at;
	else if (l->dirty_jobs > 0)
		next =
		    agb_time_min(next, now->mono + FLUSH_INTERVAL_MS * AGB_MS);
	wrote = false;
	while (l->dirty_jobs > 0 && now->mono >= l->next_flush_at &&
	    l->writes_len < WRITES_MAX && flush_batch(l, now, out))
		wrote = true;
	if (wrote)
		l->next_flush_at = now->mono + FLUSH_INTERVAL_MS * AGB_MS;
	if (l->reap_pending && now->mono >= l->next_reap_at) {
		l->reap_pending = false;
		l->next_reap_at = now->mono + REAP_INTERVAL_MS * AGB_MS;
		reap_ended_jobs(l);
	}
	if (now->mono >= l->next_collect_at && l->writes_len < WRITES_MAX) {
		l->next_collect_at = now->mono + COLLECT_INTERVAL_MS * AGB_MS;
		delete_expired_jobs(l, now, out);
		delete_expired_marks(l, now, out);
	}
	return next;
}

/* Whether a task whose intent is durable must not be started any more. */
static bool
is_start_void(const struct wf_leader *l, const struct wf_queue *q,
    const struct wf_task *t, agb_time now, const char **why)
{
	/* The runner may be another process than the one that was chosen. */
	if (!l->runners[t->runner].reported) {
		*why = "process of the runner is unknown";
		return true;
	}
	if (q == NULL || !q->advice_required ||
	    wf_advice_ticket_lasts(t->unit, t->runner, now))
		return false;
	/* The runner would refuse it. */
	wf_meter_count(l->meter, WF_TALLY_EXPIRED);
	*why = "approval expired before the start";
	return true;
}

/* Requeues the tasks of a unit that must not be started any more. When one is a
 * member of a gang, all members that were not sent yet are assigned anew. */
static void
requeue_void_starts(struct wf_leader *l, const struct wf_now *now,
    const struct wf_queue *q, struct wf_unit *u, struct wf_effects *out)
{
	struct wf_task *t;
	const char *why;
	uint32_t i;

	for (i = 0; i < u->tasks_len; i++) {
		t = wf_unit_find_task(u, i);
		if (t != NULL && t->state == WF_TASK_INTENT &&
		    t->intent_in_write &&
		    is_start_void(l, q, t, now->mono, &why))
			wf_task_requeue(l, now, u, t, why, out);
	}
}

void
wf_commit_send_starts(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out)
{
	const struct wf_queue *const q =
	    wf_doc_queue(l->doc, e->job->spec.queue);
	struct wf_task_cursor c;
	struct wf_task *t;
	size_t i;
	uint32_t k;

	for (i = 0; i < e->open_len; i++) {
		for (k = 0; k < e->job->spec.steps_len; k++)
			requeue_void_starts(
			    l, now, q, &e->open[i].units[k], out);
	}
	wf_task_cursor_init(&c, e);
	while ((t = wf_task_cursor_next(&c)) != NULL) {
		if (t->state != WF_TASK_INTENT || !t->intent_in_write)
			continue;
		t->intent_in_write = false;
		wf_fleet_send_start(l, now, t->unit, t, out);
	}
}

static void
handle_committed(struct wf_leader *l, const struct wf_now *now,
    struct wf_write *w, uint64_t revision, struct wf_effects *out)
{
	struct wf_job *j;
	size_t i;

	for (i = 0; i < w->jobs_len; i++) {
		j = wf_table_job(l->table, w->jobs[i].id);
		if (j == NULL)
			continue;
		wf_table_put_state(j, revision, w->jobs[i].raw, w->jobs[i].len);
		if (j->exec == NULL)
			continue;
		wf_exec_publish_state(l, j->exec);
		j->exec->in_flight = false;
		j->exec->write_alone = false;
		l->reap_pending =
		    l->reap_pending || wf_job_state_is_final(j->exec->state);
		if (wf_leader_may_order(l, now->mono))
			wf_commit_send_starts(l, now, j->exec, out);
		else
			l->starts_deferred = true;
	}
	write_free(l, w);
	release_acks(l, now->mono);
}

/* The conditions of a write did not hold. That is no conflict if an attempt
 * whose answer was lost has executed the write, so that all keys hold what it
 * contains.
 * Return: the revision of that attempt, or 0 for a conflict. */
static uint64_t
applied_revision(const struct wf_leader *l, const struct wf_write *w,
    const struct agb_store_result *res)
{
	const struct agb_store_kv *kv;
	char key[WF_KEY_MAX];
	uint64_t revision;
	size_t i, k;

	revision = 0;
	for (i = 0; i < w->jobs_len; i++) {
		wf_table_make_key(key, 's', w->jobs[i].id);
		for (k = 0; k < res->kvs_len; k++) {
			if (strcmp(res->kvs[k].key, key) == 0)
				break;
		}
		if (k == res->kvs_len)
			return 0;
		kv = &res->kvs[k];
		if (kv->val_len != w->jobs[i].len || kv->val == NULL ||
		    memcmp(kv->val, w->jobs[i].raw, kv->val_len) != 0 ||
		    kv->mod_rev == w->jobs[i].expected_rev)
			return 0;
		revision = kv->mod_rev;
	}
	for (k = 0; k < res->kvs_len; k++) {
		if (strcmp(res->kvs[k].key, WF_KEY_LEADER) == 0 &&
		    res->kvs[k].mod_rev != l->fence)
			return 0;
	}
	return revision;
}

/* Finds the write of an attempt that was answered, and frees the attempt's
 * slot. */
static struct wf_write *
take_attempt(struct wf_leader *l, uint64_t tag, agb_time *sent_at)
{
	struct wf_write *w;
	size_t i;

	for (w = l->writes; w != NULL; w = w->next) {
		for (i = 0; i < WF_WRITE_ATTEMPTS_MAX; i++) {
			if (w->attempts[i].tag != tag)
				continue;
			w->attempts[i].tag = 0;
			*sent_at = w->attempts[i].sent_at;
			return w;
		}
	}
	return NULL;
}

/* Takes a job out of a write that was certainly not carried out, so that its
 * record is written anew and alone. */
static void
rewrite_alone(struct wf_leader *l, struct wf_exec *e, uint64_t gen)
{
	struct wf_task_cursor c;
	struct wf_task *t;

	e->in_flight = false;
	e->write_alone = true;
	e->write_at = 0;
	l->dirty_jobs += !e->dirty;
	e->dirty = true;
	e->gen = gen;
	wf_task_cursor_init(&c, e);
	while ((t = wf_task_cursor_next(&c)) != NULL)
		t->intent_in_write = false;
}

static void
split_write(struct wf_leader *l, struct wf_write *w, struct wf_effects *out)
{
	const struct wf_job *j;
	size_t i;

	wf_effects_log(out, AGB_LOG_ERROR, "commit",
	    "jobs=%zu outcome=split refusals=%" PRIu32, w->jobs_len,
	    w->refusals);
	for (i = 0; i < w->jobs_len; i++) {
		j = wf_table_job(l->table, w->jobs[i].id);
		if (j != NULL && j->exec != NULL)
			rewrite_alone(l, j->exec, w->jobs[i].gen);
	}
	write_free(l, w);
}

static agb_time
retry_delay(const struct wf_write *w)
{
	uint32_t ms = WRITE_RETRY_MS, i;

	for (i = WRITE_QUICK_RETRIES; i < w->failures; i++) {
		ms *= 2;
		if (ms >= WRITE_RETRY_MAX_MS)
			return WRITE_RETRY_MAX_MS * AGB_MS;
	}
	return ms * AGB_MS;
}

/* Handles the failure of an attempt at a write. */
static void
write_failed(struct wf_leader *l, const struct wf_now *now, struct wf_write *w,
    enum agb_store_status status, struct wf_effects *out)
{
	const size_t pending = attempts_pending(w);

	wf_effects_log(out, AGB_LOG_WARN, "commit",
	    "jobs=%zu first=%s outcome=%s refusals=%" PRIu32
	    " attempts_out=%zu",
	    w->jobs_len, w->jobs_len > 0 ? w->jobs[0].id : "",
	    status == AGB_STORE_LOST ? "unknown" : "refused", w->refusals,
	    pending);
	if (status == AGB_STORE_REFUSED && w->refusals++ == 0)
		w->lease_at_refusal = l->valid_until;
	w->failures++;
	w->maybe_stored = w->maybe_stored || status != AGB_STORE_REFUSED;
	if (pending > 0) {
		w->retry_at =
		    agb_time_min(w->retry_at, now->mono + retry_delay(w));
		return;
	}
	w->retry_at = now->mono + retry_delay(w);
	if (w->jobs_len > 1 && w->refusals >= REFUSALS_TO_SPLIT &&
	    !w->maybe_stored && l->valid_until > w->lease_at_refusal)
		split_write(l, w, out);
}

bool
wf_commit_handle_result(struct wf_leader *l, const struct wf_now *now,
    uint64_t tag, const struct agb_store_result *res, struct wf_effects *out)
{
	agb_time sent_at;
	struct wf_write *const w = take_attempt(l, tag, &sent_at);
	uint64_t revision;

	if (w == NULL)
		return false;
	if (res->status != AGB_STORE_OK) {
		write_failed(l, now, w, res->status, out);
		return true;
	}
	l->write_time_us -= l->write_time_us / WRITE_TIME_SMOOTHING;
	l->write_time_us += (now->mono - sent_at) / WRITE_TIME_SMOOTHING;
	if (w->deletes_jobs) {
		if (!res->succeeded)
			note_refused_deletes(l, res);
		write_free(l, w);
		return true;
	}
	revision = res->succeeded ? res->revision : applied_revision(l, w, res);
	if (revision > 0) {
		handle_committed(l, now, w, revision, out);
		return true;
	}
	/* Another instance leads, or has written: the state in memory is out
	 * of date. */
	wf_effects_log(out, AGB_LOG_WARN, "commit",
	    "jobs=%zu outcome=conflict fence=%" PRIu64, w->jobs_len, l->fence);
	l->leadership_lost = true;
	return true;
}

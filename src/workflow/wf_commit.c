#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_leader.h"

/* The store takes 32 entries a transaction: one for the leader's key, then
 * an expectation and a write for each job. */
#define JOBS_A_WRITE 15
#define REMOVES_A_WRITE 10
/* Writes under way at once: a slow store answers after some hundred
 * milliseconds, and each job is written several times in its life. */
#define WRITES_MAX 24
/* Least time between two writes, so that changes come in batches. */
#define FLUSH_GAP_MS 20
#define WRITE_TIMEOUT_MS 1500
#define WRITE_RETRY_MS 60
/* A write without an answer is sent again after this, or after so many times
 * what writes take at present: it is carried out once, whichever attempt
 * arrives first, as its conditions hold only once. */
#define WRITE_AGAIN_MS 150
#define WRITE_AGAIN_TIMES 4
/* Weight of the newest write in the smoothed time: one in so many. */
#define WRITE_SMOOTH 4
#define COLLECT_EVERY_MS 2000
/* Least time between two looks for jobs that have ended. */
#define FREE_GAP_MS 100
/* Jobs stay known this much longer than promised. */
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
wf_commit_ack(struct wf_leader *l, uint32_t runner, uint64_t seq)
{
	struct wf_ack *a;

	if (l->acks_len == l->acks_cap)
		l->acks = agb_xgrow(l->acks, &l->acks_cap, sizeof(*l->acks));
	a = &l->acks[l->acks_len++];
	a->gen = l->gen;
	a->runner = runner;
	a->life = l->runners[runner].life;
	a->seq = seq;
}

/* Lets runners forget the ends whose changes are all durable. */
static void
release_acks(struct wf_leader *l, agb_time now)
{
	const struct wf_exec *e;
	const struct wf_write *w;
	struct wf_runner *r;
	uint64_t safe;
	size_t i, n;

	safe = l->gen;
	for (e = l->execs; e != NULL; e = e->next) {
		if (e->dirty && e->gen <= safe)
			safe = e->gen - 1;
	}
	for (w = l->writes; w != NULL; w = w->next) {
		for (i = 0; i < w->jobs_len; i++) {
			if (w->jobs[i].gen <= safe)
				safe = w->jobs[i].gen - 1;
		}
	}
	for (n = 0; n < l->acks_len && l->acks[n].gen <= safe; n++) {
		r = &l->runners[l->acks[n].runner];
		if (r->life != l->acks[n].life)
			continue;
		r->observed = l->acks[n].seq;
		if (r->observed == r->processed && !r->hold_out)
			r->hold_next = now;
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
		agb_store_op_cmp(
		    dst, src->cmps[i].key, src->cmps[i].what, src->cmps[i].rev);
	for (i = 0; i < src->puts_len; i++) {
		if (src->puts[i].is_delete)
			agb_store_op_delete(dst, src->puts[i].key, NULL);
		else
			agb_store_op_put(dst, src->puts[i].key,
			    src->puts[i].val, src->puts[i].val_len,
			    src->puts[i].lease);
	}
}

static agb_time
again_after(const struct wf_leader *l)
{
	return agb_time_max(
	    WRITE_AGAIN_TIMES * l->store_us, WRITE_AGAIN_MS * AGB_MS);
}

static size_t
tries_out(const struct wf_write *w)
{
	size_t i, n;

	n = 0;
	for (i = 0; i < WF_WRITE_TRIES; i++)
		n += w->tries[i].tag != 0;
	return n;
}

/* Sends a write, or sends it once more beside attempts without an answer. */
static void
write_send(struct wf_leader *l, const struct wf_now *now, struct wf_write *w,
    struct wf_effects *out)
{
	struct wf_effect *ef;
	size_t i;

	w->retry_at = now->mono + again_after(l);
	for (i = 0; i < WF_WRITE_TRIES && w->tries[i].tag != 0; i++)
		continue;
	if (i == WF_WRITE_TRIES)
		return;
	w->tries[i].tag = ++l->next_tag;
	w->tries[i].sent_at = now->mono;
	ef = wf_effects_add(out, WF_EF_STORE);
	ef->tag = w->tries[i].tag;
	ef->timeout_ms = WRITE_TIMEOUT_MS;
	op_copy(&ef->u.store, &w->op);
}

static struct wf_write *
write_new(struct wf_leader *l)
{
	struct wf_write *const w = agb_xcalloc(1, sizeof(*w));

	agb_store_op_init(&w->op, AGB_STORE_TXN);
	agb_store_op_cmp(&w->op, WF_KEY_LEADER, AGB_STORE_MOD_REV, l->fence);
	DL_APPEND(l->writes, w);
	l->writes_len++;
	return w;
}

static void
write_add(struct wf_leader *l, struct wf_write *w, struct wf_exec *e)
{
	struct wf_write_job *const wj = &w->jobs[w->jobs_len++];
	char key[WF_KEY_MAX];
	uint32_t i;

	agb_name_set(wj->id, sizeof(wj->id), e->job->id);
	wj->expect = e->job->state_rev;
	wj->gen = e->gen;
	wj->raw = wf_state_encode(l, e, &wj->len);
	wf_table_make_key(key, 's', wj->id);
	agb_store_op_cmp(&w->op, key, AGB_STORE_MOD_REV, wj->expect);
	agb_store_op_put(&w->op, key, wj->raw, wj->len, 0);
	e->dirty = false;
	l->dirty--;
	e->in_flight = true;
	for (i = 0; i < e->tasks_len; i++) {
		if (e->tasks[i].state == WF_TASK_INTENT)
			e->tasks[i].flushing = true;
	}
}

/* Removes jobs that have ended longer ago than their state must be known. */
static void
collect(struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	const int64_t before =
	    now->unix_ms - (int64_t)l->cfg->status_s * 1000 - COLLECT_SLACK_MS;
	char key[WF_KEY_MAX];
	struct wf_write *w;
	struct wf_job *j, *j2;
	size_t n;

	w = NULL;
	n = 0;
	for (j = l->table->jobs; j != NULL; j = j2) {
		j2 = j->hh.next;
		if (n == REMOVES_A_WRITE)
			break;
		if (!wf_job_final(j->state) || j->exec != NULL ||
		    j->ended_ms > before)
			continue;
		if (w == NULL)
			w = write_new(l);
		wf_table_make_key(key, 'j', j->id);
		agb_store_op_delete(&w->op, key, NULL);
		wf_table_make_key(key, 'k', j->id);
		if (j->cancel_rev > 0)
			agb_store_op_delete(&w->op, key, NULL);
		wf_table_make_key(key, 's', j->id);
		agb_store_op_delete(&w->op, key, NULL);
		n++;
	}
	if (w == NULL)
		return;
	w->collect = true;
	write_send(l, now, w, out);
	wf_effects_log(out, AGB_LOG_INFO, "collect", "jobs=%zu", n);
}

static void
free_ended(struct wf_leader *l)
{
	struct wf_exec *e, *e2;
	uint32_t i;

	for (e = l->execs; e != NULL; e = e2) {
		e2 = e->next;
		if (!wf_job_final(e->state) || e->dirty || e->in_flight)
			continue;
		for (i = 0; i < e->tasks_len; i++) {
			if (e->tasks[i].holds)
				break;
		}
		if (i == e->tasks_len)
			wf_exec_free(l, e);
	}
}

static bool
flush_one(struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_write *w;
	struct wf_exec *e;

	w = NULL;
	for (e = l->execs; e != NULL; e = e->next) {
		if (!e->dirty || e->in_flight || now->mono < e->write_at)
			continue;
		if (w == NULL) {
			w = write_new(l);
			w->jobs = agb_xcalloc(JOBS_A_WRITE, sizeof(*w->jobs));
		}
		write_add(l, w, e);
		if (w->jobs_len == JOBS_A_WRITE)
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
			write_send(l, now, w, out);
		if (w->retry_at < next)
			next = w->retry_at;
	}
	if (l->dirty > 0 && now->mono < l->flush_at && l->flush_at < next)
		next = l->flush_at;
	else if (l->dirty > 0)
		next = agb_time_min(next, now->mono + FLUSH_GAP_MS * AGB_MS);
	wrote = false;
	while (l->dirty > 0 && now->mono >= l->flush_at &&
	    l->writes_len < WRITES_MAX && flush_one(l, now, out))
		wrote = true;
	if (wrote)
		l->flush_at = now->mono + FLUSH_GAP_MS * AGB_MS;
	if (l->ended && now->mono >= l->free_at) {
		l->ended = false;
		l->free_at = now->mono + FREE_GAP_MS * AGB_MS;
		free_ended(l);
	}
	if (now->mono >= l->next_collect && l->writes_len < WRITES_MAX) {
		l->next_collect = now->mono + COLLECT_EVERY_MS * AGB_MS;
		collect(l, now, out);
	}
	return next;
}

/* A start whose ticket ran out while its intent was written would be refused.
 * With one member of a gang all that are not sent yet are placed anew. */
static void
drop_expired(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_effects *out)
{
	struct wf_task *t;
	uint32_t i;

	for (i = 0; i < wf_unit_step(u)->count; i++) {
		t = &u->exec->tasks[u->first + i];
		if (t->state == WF_TASK_INTENT && t->flushing &&
		    !wf_advice_lasts(u, t->runner, now->mono))
			wf_task_requeue(l, now, u, t,
			    "approval ran out before the start", out);
	}
}

void
wf_commit_starts(struct wf_leader *l, const struct wf_now *now,
    struct wf_exec *e, struct wf_effects *out)
{
	const struct wf_queue *q;
	struct wf_unit *u;
	struct wf_task *t;
	uint32_t i, k;

	for (i = 0; i < e->units_len; i++) {
		u = &e->units[i];
		q = wf_unit_queue(l, u);
		if (q != NULL && q->advice_required)
			drop_expired(l, now, u, out);
		for (k = 0; k < wf_unit_step(u)->count; k++) {
			t = &e->tasks[u->first + k];
			if (t->state != WF_TASK_INTENT || !t->flushing)
				continue;
			t->flushing = false;
			wf_fleet_start(l, now, u, t, out);
		}
	}
}

static void
committed(struct wf_leader *l, const struct wf_now *now, struct wf_write *w,
    uint64_t revision, struct wf_effects *out)
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
		wf_exec_show(l, j->exec);
		j->exec->in_flight = false;
		l->ended = l->ended || wf_job_final(j->exec->state);
		if (wf_leader_may_order(l, now->mono))
			wf_commit_starts(l, now, j->exec, out);
		else
			l->starts_held = true;
	}
	write_free(l, w);
	release_acks(l, now->mono);
}

/* A write whose answer was lost has been sent again, and its conditions do
 * not hold any more: that is so because it had been carried out the first
 * time if all keys hold what it wrote. */
static uint64_t
carried_out(const struct wf_leader *l, const struct wf_write *w,
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
		    kv->mod_rev == w->jobs[i].expect)
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

/* Write of an attempt, which has ended. */
static struct wf_write *
write_of(struct wf_leader *l, uint64_t tag, agb_time *sent_at)
{
	struct wf_write *w;
	size_t i;

	for (w = l->writes; w != NULL; w = w->next) {
		for (i = 0; i < WF_WRITE_TRIES; i++) {
			if (w->tries[i].tag != tag)
				continue;
			w->tries[i].tag = 0;
			*sent_at = w->tries[i].sent_at;
			return w;
		}
	}
	return NULL;
}

bool
wf_commit_done(struct wf_leader *l, const struct wf_now *now, uint64_t tag,
    const struct agb_store_result *res, struct wf_effects *out)
{
	agb_time sent_at;
	struct wf_write *const w = write_of(l, tag, &sent_at);
	uint64_t revision;

	if (w == NULL)
		return false;
	if (res->status != AGB_STORE_OK) {
		wf_effects_log(out, AGB_LOG_WARN, "commit",
		    "jobs=%zu outcome=%s retry_ms=%d attempts_out=%zu",
		    w->jobs_len,
		    res->status == AGB_STORE_LOST ? "unknown" : "refused",
		    WRITE_RETRY_MS, tries_out(w));
		w->retry_at = agb_time_min(
		    w->retry_at, now->mono + WRITE_RETRY_MS * AGB_MS);
		return true;
	}
	l->store_us -= l->store_us / WRITE_SMOOTH;
	l->store_us += (now->mono - sent_at) / WRITE_SMOOTH;
	if (w->collect) {
		write_free(l, w);
		return true;
	}
	revision = res->succeeded ? res->revision : carried_out(l, w, res);
	if (revision > 0) {
		committed(l, now, w, revision, out);
		return true;
	}
	/* Another instance leads, or has written: what is kept here is not
	 * what holds. */
	wf_effects_log(out, AGB_LOG_WARN, "commit",
	    "jobs=%zu outcome=conflict fence=%" PRIu64, w->jobs_len, l->fence);
	l->lost = true;
	return true;
}

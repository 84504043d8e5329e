#include "wf_front.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_budget.h"
#include "wf_front_internal.h"

/* Delay before a write whose outcome is unknown is repeated. */
#define WRITE_RETRY_MS 50
/* Number of peers that are tried while the store does not answer this
 * instance. */
#define RELAYS_MAX 3
/* Number of keys that one request looks at or writes to: the jobs with the same
 * digits, and some of them again when they change meanwhile. */
#define KEYS_TRIED_MAX (2 * WF_JOBS_PER_ID)

struct wf_front *
wf_front_new(struct wf_table *table, const struct wf_config *cfg)
{
	struct wf_front *const f = agb_xcalloc(1, sizeof(*f));

	f->table = table;
	f->memory_mb = cfg->memory_mb;
	agb_str_copy(f->self, sizeof(f->self), cfg->name);
	agb_str_copy(f->rpc, sizeof(f->rpc), cfg->rpc);
	return f;
}

void
wf_front_free(struct wf_front *f)
{
	struct wf_front_call *w, *next;

	for (w = f->calls; w != NULL; w = next) {
		next = w->next;
		wf_front_call_destroy(w);
	}
	free(f);
}

void
wf_front_set_doc(struct wf_front *f, const struct wf_doc *doc)
{
	f->doc = doc;
}

void
wf_front_set_knowledge(
    struct wf_front *f, const struct wf_front_knowledge *known)
{
	if (known->job_bytes_updates != f->known.job_bytes_updates)
		f->sent_bytes = 0;
	f->known = *known;
}

void
wf_front_set_store_silent(struct wf_front *f, bool silent)
{
	f->store_silent = silent;
}

void
wf_front_set_store_latency(struct wf_front *f, agb_time latency)
{
	f->store_latency = latency;
}

size_t
wf_front_open_count(const struct wf_front *f)
{
	return f->calls_len;
}

/* Gets the digits of a job's id from the last component of a path. */
static bool
parse_job_id(const struct wf_queue *q, const char *path, wf_job_id id)
{
	const char *const rest = path + strlen(q->path_prefix);

	if (strlen(rest) != WF_JOB_DIGITS ||
	    strspn(rest, "0123456789abcdefABCDEF") != WF_JOB_DIGITS)
		return false;
	agb_str_copy(id, WF_JOB_ID_LEN, rest);
	return true;
}

static bool
job_state_known(const struct wf_job *j)
{
	return j != NULL && (j->spec_rev > 0 || j->state_known);
}

/* Whether the accepted jobs leave room for one more. */
static bool
memory_suffices(struct wf_front *f, const struct wf_spec *s)
{
	const uint64_t bytes = wf_budget_spec_bytes(s);

	if (f->known.job_bytes == 0)
		return true;
	if (f->known.job_bytes + f->sent_bytes + bytes >
	    wf_budget_limit(f->table, f->memory_mb))
		return false;
	f->sent_bytes += bytes;
	return true;
}

static void
make_submission(const struct wf_front *f, const struct wf_now *now,
    const struct wf_front_request *r, struct wf_spec *s)
{
	agb_str_copy(s->queue, sizeof(s->queue), r->queue->name);
	if (r->caller.restricted)
		agb_str_copy(s->account, sizeof(s->account), r->caller.account);
	s->route_tag = r->caller.route_tag;
	s->submitted_ms = now->unix_ms;
	agb_str_copy(s->origin, sizeof(s->origin), f->rpc);
}

static void
handle_submit(struct wf_front *f, const struct wf_now *now,
    const struct wf_front_request *r, struct wf_effects *out)
{
	struct wf_call *const call = r->call;
	struct wf_front_call *w;

	if (r->known != NULL && wf_front_submission_rev(r->known) > 0) {
		wf_front_reply_accepted(out, call->id, call->kind,
		    r->target.key, "known", wf_front_submission_rev(r->known),
		    0);
		return;
	}
	if (call->spec == NULL) {
		wf_front_refuse(
		    out, call->id, call->kind, 400, r->job, call->error);
		return;
	}
	w = wf_front_call_add(f, now, r);
	w->refused_limit = wf_account_excludes(
	    wf_doc_account(r->doc, r->caller.account), call->spec);
	w->refused_full = !w->refused_limit && !memory_suffices(f, call->spec);
	if (w->refused_limit || w->refused_full) {
		wf_front_call_read(f, w, out);
		return;
	}
	w->spec = call->spec;
	call->spec = NULL;
	make_submission(f, now, r, w->spec);
	w->record = wf_table_encode_spec(w->spec, &w->record_len);
	if (w->record == NULL) {
		wf_front_refuse(out, call->id, call->kind, 400, r->job,
		    "the job is too large to be stored");
		wf_front_call_free(f, w);
		return;
	}
	/* A state of the job has been pushed: it is stored. */
	if (w->found)
		wf_front_call_read(f, w, out);
	else
		wf_front_call_write(f, now, w, out);
}

static void
refuse_unknown(struct wf_effects *out, const struct wf_front_request *r)
{
	wf_front_refuse(out, r->call->id, r->call->kind, 503, r->job,
	    "the job is not known here and the store is silent");
}

static void
handle_get(struct wf_front *f, const struct wf_now *now,
    const struct wf_front_request *r, struct wf_effects *out)
{
	const struct wf_job *const j = r->known;
	const bool usable = j != NULL && !wf_front_owner_missing(&r->caller, j);
	const struct wf_call *const call = r->call;
	struct wf_front_call *w;

	if (usable && job_state_known(j) &&
	    (f->known.states_current || f->store_silent ||
		wf_job_state_is_final(j->state))) {
		wf_front_reply_state(out, call->id, j);
		return;
	}
	if (f->store_silent) {
		refuse_unknown(out, r);
		return;
	}
	/* Another instance may have accepted the job, and the local state may
	 * be outdated. */
	w = wf_front_call_add(f, now, r);
	w->reading = true;
	w->read_state = usable;
	wf_front_call_send(f, w, out);
}

static void
handle_cancel(struct wf_front *f, const struct wf_now *now,
    const struct wf_front_request *r, struct wf_effects *out)
{
	const struct wf_job *const j = r->known;
	const bool usable = j != NULL && !wf_front_owner_missing(&r->caller, j);
	const struct wf_call *const call = r->call;
	struct wf_front_call *w;

	if (usable && job_state_known(j) &&
	    (j->cancel_rev > 0 || wf_job_state_is_final(j->state))) {
		wf_front_reply_accepted(out, call->id, call->kind,
		    r->target.key, "known", j->cancel_rev, 0);
		return;
	}
	if (!usable && f->store_silent) {
		refuse_unknown(out, r);
		return;
	}
	/* Also for a job that is not known: a write that submits it may still
	 * be carried out, and must then find the cancellation. */
	w = wf_front_call_add(f, now, r);
	w->unless_submitted = !usable;
	if (usable)
		w->previous_rev = 0;
	wf_front_call_set_cancellation(f, now, w);
	/* The account of the job decides first. */
	if (!usable && r->caller.restricted)
		wf_front_call_read(f, w, out);
	else
		wf_front_call_write(f, now, w, out);
}

static void
handle_queue(struct wf_front *f, const struct wf_queue *q, uint64_t call_id,
    struct wf_effects *out)
{
	struct wf_reply *r;

	if (!f->known.jobs_complete && !f->known.counts_current) {
		wf_front_refuse(out, call_id, WF_CALL_QUEUE, 503,
		    q->path_prefix,
		    "the number of pending jobs is not known here at present");
		return;
	}
	r = wf_front_add_reply(out, call_id, WF_CALL_QUEUE, 200);
	r->pending = f->known.jobs_complete
	    ? wf_table_pending_count(f->table, q->name)
	    : wf_known_counts_get(&f->table->counts, q->name);
}

void
wf_front_handle_call(struct wf_front *f, const struct wf_now *now,
    const struct wf_doc *doc, struct wf_call *call, struct wf_effects *out)
{
	struct wf_front_request r = {.doc = doc, .call = call};
	const struct wf_queue *q;

	if (doc == NULL) {
		wf_front_refuse(out, call->id, call->kind, 503, call->path,
		    "no document is known yet");
		return;
	}
	q = wf_doc_route(doc, call->host, call->path);
	if (q == NULL) {
		wf_front_refuse(out, call->id, call->kind, 404, call->path,
		    "no queue has this host and path");
		return;
	}
	if (!wf_caller_identify(doc, q, call->key, &r.caller)) {
		wf_front_refuse_key(&f->denials, now, call, out);
		return;
	}
	r.queue = q;
	if (call->kind == WF_CALL_GET &&
	    strcmp(call->path, q->path_prefix) == 0) {
		handle_queue(f, q, call->id, out);
		return;
	}
	if (!parse_job_id(q, call->path, r.job)) {
		wf_front_refuse(out, call->id, call->kind,
		    call->kind == WF_CALL_SUBMIT ? 400 : 410, call->path,
		    "the path does not end with a job id of 16 digits");
		return;
	}
	r.known = wf_front_find_job(f, &r.caller, r.job, &r.target);
	if (wf_front_denies_known(&r.caller, r.known))
		wf_front_refuse_owner(out, call->id, call->kind, r.target.key);
	else if (r.target.key[0] == '\0')
		wf_front_refuse_shared(out, call->id, call->kind, r.job);
	else if (call->kind == WF_CALL_SUBMIT)
		handle_submit(f, now, &r, out);
	else if (call->kind == WF_CALL_GET)
		handle_get(f, now, &r, out);
	else
		handle_cancel(f, now, &r, out);
}

/* Goes on with a request whose key turned out to be that of another queue's job,
 * or to be free: with the next key that its job may have. */
static void
try_next_key(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out)
{
	struct wf_front_target t;
	const struct wf_job *const j =
	    wf_front_find_job(f, &w->caller, w->job, &t);

	if (t.key[0] == '\0') {
		wf_front_refuse_shared(out, w->call_id, w->kind, w->job);
		wf_front_call_free(f, w);
		return;
	}
	if (++w->keys_tried > KEYS_TRIED_MAX) {
		wf_front_refuse(out, w->call_id, w->kind, 503, w->job,
		    "the jobs with this id keep changing");
		wf_front_call_free(f, w);
		return;
	}
	/* Writes to the former key that are still in flight cannot succeed any
	 * more. */
	if (strcmp(w->job, t.key) != 0)
		w->maybe_stored = false;
	w->relay_tag = 0;
	agb_str_copy(w->job, sizeof(w->job), t.key);
	w->previous_rev = t.previous_rev;
	w->found = j != NULL;
	/* A state of the job has been pushed: it is stored. */
	if (w->found && w->kind == WF_CALL_SUBMIT)
		w->reading = true;
	if (w->reading)
		wf_front_call_send(f, w, out);
	else
		wf_front_call_write(f, now, w, out);
}

/* Goes on with a request that means a stored job: its queue and its account are
 * known by now. */
static void
on_job_found(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_job *j, struct wf_effects *out)
{
	w->found = true;
	w->previous_rev = 0;
	if (wf_front_denies_known(&w->caller, j)) {
		wf_front_refuse_owner(out, w->call_id, w->kind, w->job);
	} else if (w->kind == WF_CALL_SUBMIT) {
		wf_front_reply_accepted(out, w->call_id, w->kind, w->job,
		    "stored-before", wf_front_submission_rev(j),
		    now->mono - w->started_at);
	} else if (w->kind == WF_CALL_CANCEL && w->cancel_rev > 0) {
		j->cancel_rev = w->cancel_rev;
		wf_front_call_give_up(f, now, w, out);
		return;
	} else if (w->kind == WF_CALL_CANCEL) {
		w->reading = false;
		w->unless_submitted = false;
		wf_front_call_set_cancellation(f, now, w);
		wf_front_call_write(f, now, w, out);
		return;
	} else if (job_state_known(j) && f->known.states_current) {
		wf_front_reply_state(out, w->call_id, j);
	} else {
		w->read_state = true;
		wf_front_call_send(f, w, out);
		return;
	}
	wf_front_call_free(f, w);
}

static void
refuse_malformed(
    struct wf_front *f, struct wf_front_call *w, struct wf_effects *out)
{
	wf_front_refuse(
	    out, w->call_id, w->kind, 503, w->job, "its record cannot be read");
	wf_front_call_free(f, w);
}

static void
refuse_cancelled(
    struct wf_front *f, struct wf_front_call *w, struct wf_effects *out)
{
	if (w->kind == WF_CALL_SUBMIT)
		wf_front_refuse_cancelled(out, w);
	else
		wf_front_refuse(out, w->call_id, w->kind, 410, w->job,
		    "no such job is known");
	wf_front_call_free(f, w);
}

/* Goes on with a request once it is known what its key has. */
static void
on_keys_learned(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out)
{
	struct wf_front_target t;
	struct wf_job *const j = wf_front_find_job(f, &w->caller, w->job, &t);

	if (j != NULL && wf_front_submission_rev(j) > 0) {
		agb_str_copy(w->job, sizeof(w->job), j->id);
		on_job_found(f, now, w, j, out);
	} else if (t.cancelled && w->kind != WF_CALL_GET) {
		refuse_cancelled(f, w, out);
	} else {
		try_next_key(f, now, w, out);
	}
}

/* Handles a write whose conditions did not hold: a job with its key is stored, or
 * a cancellation is, or the job with the previous ordinal has gone. */
static void
on_write_conflict(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, const struct agb_store_result *res,
    struct wf_effects *out)
{
	const struct agb_store_kv *kv;
	char key[WF_KEY_MAX];

	wf_table_make_key(key, 'j', w->job);
	kv = wf_table_stored_kv(res, key);
	/* A store may leave out the value. */
	if (kv != NULL && kv->val == NULL)
		wf_front_call_read(f, w, out);
	else if (wf_front_learn(f, w, res))
		on_keys_learned(f, now, w, out);
	else
		refuse_malformed(f, w, out);
}

/* Handles a submission that its write has stored. */
static struct wf_job *
on_submission_stored(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, uint64_t revision, struct wf_effects *out)
{
	struct wf_job *const j =
	    wf_table_put_spec(f->table, w->job, revision, w->spec);

	w->spec = NULL;
	wf_front_reply_accepted(out, w->call_id, w->kind, w->job, "stored",
	    revision, now->mono - w->started_at);
	wf_front_call_free(f, w);
	return j;
}

/* Handles a cancellation that is stored. Whether there was a job to cancel is
 * read unless it is known here.
 * Return: the job, or NULL when it is not known here. */
static struct wf_job *
on_cancellation_stored(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, uint64_t revision, struct wf_effects *out)
{
	struct wf_job *const j = wf_table_job(f->table, w->job);

	w->cancel_rev = revision;
	if (w->unless_submitted) {
		wf_front_refuse(out, w->call_id, w->kind, 410, w->job,
		    "no such job is known");
		wf_front_call_free(f, w);
		return NULL;
	}
	if (!job_state_known(j)) {
		wf_front_call_read(f, w, out);
		return NULL;
	}
	j->cancel_rev = revision;
	wf_front_reply_accepted(out, w->call_id, w->kind, w->job, "stored",
	    revision, now->mono - w->started_at);
	wf_front_call_free(f, w);
	return j;
}

/* Handles the result of a write.
 * @by_peer: another instance made it, and tells the leader itself; it does not
 *	tell which record kept its write from being carried out */
static void
on_written(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, bool by_peer, const struct agb_store_result *res,
    struct wf_job **changed_job, struct wf_effects *out)
{
	uint64_t revision = res->revision;
	char key[WF_KEY_MAX];

	wf_front_call_key(w, key);
	if (!by_peer)
		revision = wf_table_stored_revision(res, key);
	if (res->succeeded && !by_peer)
		wf_front_call_push(f, w, revision, out);
	if (w->kind == WF_CALL_CANCEL && revision > 0 &&
	    (res->succeeded || !w->unless_submitted)) {
		*changed_job = on_cancellation_stored(f, now, w, revision, out);
	} else if (res->succeeded) {
		*changed_job = on_submission_stored(f, now, w, revision, out);
	} else if (by_peer) {
		w->maybe_stored = true;
		wf_front_call_read(f, w, out);
	} else {
		on_write_conflict(f, now, w, res, out);
	}
}

/* Handles that the store has no submission with the key of a request. */
static void
on_no_submission(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out)
{
	struct wf_job *const j = wf_table_job(f->table, w->job);

	/* A job that was known has been deleted since. */
	if (w->found && w->kind == WF_CALL_SUBMIT && w->record != NULL &&
	    j != NULL && j->exec == NULL) {
		wf_table_forget(f->table, j);
		w->reading = false;
		try_next_key(f, now, w, out);
		return;
	}
	if (w->kind == WF_CALL_CANCEL && w->unless_submitted) {
		w->reading = false;
		wf_front_call_write(f, now, w, out);
		return;
	}
	if (w->refused_full)
		wf_front_refuse_full(out, w);
	else if (w->refused_limit)
		wf_front_refuse_limit(out, w);
	else if (w->kind == WF_CALL_SUBMIT)
		wf_front_refuse_cancelled(out, w);
	else
		wf_front_refuse(out, w->call_id, w->kind, 410, w->job,
		    "no such job is known");
	wf_front_call_free(f, w);
}

/* Handles the state that was read of a job that a GET means. A job without one is
 * still queued. */
static void
on_state_read(struct wf_front *f, struct wf_front_call *w,
    const struct agb_store_result *res, struct wf_effects *out)
{
	struct wf_job *j;

	if (res->kvs_len > 0)
		wf_table_apply(f->table, &res->kvs[0]);
	j = wf_table_job(f->table, w->job);
	if (j == NULL || (res->kvs_len == 0 && !w->submission_read)) {
		w->read_state = false;
		wf_front_call_send(f, w, out);
		return;
	}
	if (res->kvs_len == 0)
		j->state_known = true;
	if (job_state_known(j)) {
		wf_front_reply_state(out, w->call_id, j);
		wf_front_call_free(f, w);
		return;
	}
	refuse_malformed(f, w, out);
}

static void
on_read(struct wf_front *f, const struct wf_now *now, struct wf_front_call *w,
    const struct agb_store_result *res, struct wf_effects *out)
{
	if (w->read_state) {
		on_state_read(f, w, res, out);
		return;
	}
	if (res->kvs_len == 0) {
		on_no_submission(f, now, w, out);
		return;
	}
	if (!wf_front_learn(f, w, res)) {
		refuse_malformed(f, w, out);
		return;
	}
	w->submission_read = true;
	/* A submission that is not stored with this key is written with the
	 * next one. */
	w->reading = w->kind != WF_CALL_SUBMIT || w->record == NULL;
	on_keys_learned(f, now, w, out);
}

/* Handles a store operation that was rejected or not answered. */
static void
on_store_failure(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out)
{
	const struct wf_job *j;

	if (w->kind == WF_CALL_GET) {
		/* An outdated state is better than no answer. */
		j = wf_table_job(f->table, w->job);
		if (w->found && job_state_known(j) &&
		    !wf_front_owner_missing(&w->caller, j)) {
			wf_front_reply_state(out, w->call_id, j);
			wf_front_call_free(f, w);
			return;
		}
	}
	if (w->cancel_rev > 0) {
		wf_front_call_give_up(f, now, w, out);
		return;
	}
	if (w->relay_tag == 0 &&
	    (!f->store_silent || w->relays_tried < RELAYS_MAX) &&
	    wf_front_call_relay(f, now, w, out))
		return;
	if (w->tag != 0 || w->relay_tag != 0)
		return;
	/* A request that was certainly not stored is rejected at once, so that
	 * the client can try another instance. */
	if (!w->maybe_stored ||
	    now->mono + WRITE_RETRY_MS * AGB_MS >= w->deadline) {
		wf_front_call_give_up(f, now, w, out);
		return;
	}
	w->relays_tried = 0;
	w->retry_at = now->mono + WRITE_RETRY_MS * AGB_MS;
}

bool
wf_front_handle_store_result(struct wf_front *f, const struct wf_now *now,
    uint64_t tag, const struct agb_store_result *res,
    struct wf_job **changed_job, struct wf_effects *out)
{
	struct wf_front_call *w;
	bool by_peer;

	*changed_job = NULL;
	if ((tag & WF_FRONT_TAG) == 0)
		return false;
	for (w = f->calls; w != NULL; w = w->next) {
		if (w->tag == tag || w->relay_tag == tag)
			break;
	}
	if (w == NULL)
		return true;
	by_peer = w->tag != tag;
	if (by_peer)
		w->relay_tag = 0;
	else
		w->tag = 0;
	if (res->status == AGB_STORE_OK) {
		if (w->reading)
			on_read(f, now, w, res, out);
		else
			on_written(f, now, w, by_peer, res, changed_job, out);
		return true;
	}
	if (res->status == AGB_STORE_LOST && !w->reading)
		w->maybe_stored = true;
	on_store_failure(f, now, w, out);
	return true;
}

agb_time
wf_front_tick(
    struct wf_front *f, const struct wf_now *now, struct wf_effects *out)
{
	struct wf_front_call *w, *w2;
	agb_time next;

	next = AGB_TIME_MAX;
	for (w = f->calls; w != NULL; w = w2) {
		w2 = w->next;
		if (now->mono >= w->deadline) {
			/* A write in flight may still take effect. */
			if (!w->reading && (w->tag != 0 || w->relay_tag != 0))
				w->maybe_stored = true;
			wf_front_call_give_up(f, now, w, out);
			continue;
		}
		if (w->retry_at != 0 && now->mono >= w->retry_at)
			wf_front_call_send(f, w, out);
		if (!w->reading && now->mono >= w->relay_at) {
			w->relay_at = w->deadline;
			(void)wf_front_call_relay(f, now, w, out);
		}
		if (w->relay_at < next)
			next = w->relay_at;
		if (w->deadline < next)
			next = w->deadline;
		if (w->retry_at != 0 && w->retry_at < next)
			next = w->retry_at;
	}
	return next;
}

void
wf_front_send_payload(const struct wf_front *f, uint64_t token, const char *job,
    struct wf_effects *out)
{
	const struct wf_job *const j = wf_table_job(f->table, job);
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_PAYLOAD_REPLY);

	ef->tag = token;
	ef->flag = j != NULL && j->spec_rev > 0;
	if (!ef->flag)
		return;
	ef->u.payload.data = agb_xmemdup(j->spec.payload, j->spec.payload_len);
	ef->u.payload.len = j->spec.payload_len;
}

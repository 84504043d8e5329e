#include "wf_front_internal.h"

#include <stdlib.h>
#include <string.h>

/* How a job that is stored relates to the route of a request. */
enum relation {
	RELATION_UNKNOWN,
	RELATION_OTHER,
	RELATION_SAME_NAME,
	RELATION_SAME_ROUTE,
};

/* A route keeps its jobs when its queue gets another name, and a queue keeps
 * them when its route gets another host or prefix. A record of an earlier version
 * does not name its route: if its queue has gone, the job may be anyone's. */
static enum relation
relate(const struct wf_front *f, const struct wf_caller *caller,
    const struct wf_job *j)
{
	if (j == NULL)
		return RELATION_UNKNOWN;
	if (j->route_tag != 0 && j->route_tag == caller->route_tag)
		return RELATION_SAME_ROUTE;
	if (!j->owner_known)
		return RELATION_UNKNOWN;
	if (strcmp(j->spec.queue, caller->queue) == 0 ||
	    (j->route_tag == 0 && f->doc != NULL &&
		wf_doc_queue(f->doc, j->spec.queue) == NULL))
		return RELATION_SAME_NAME;
	return RELATION_OTHER;
}

uint64_t
wf_front_submission_rev(const struct wf_job *j)
{
	return j->spec_rev > 0 ? j->spec_rev : j->owner_rev;
}

/* Whether only a cancellation of a job is known. */
static bool
is_mark(const struct wf_job *j)
{
	return wf_job_is_cancel_mark(j) && !j->owner_known;
}

/* Whether a cancellation keeps a submission by the route of a request from being
 * stored. Those of earlier versions do not name their route. */
static bool
is_own_mark(const struct wf_caller *caller, const struct wf_job *mark)
{
	return mark->cancel_tag == 0 || caller->route_tag == 0 ||
	    mark->cancel_tag == caller->route_tag;
}

static void
set_target(struct wf_front_target *t, const char *key, uint64_t previous_rev)
{
	agb_str_copy(t->key, sizeof(t->key), key);
	t->previous_rev = previous_rev;
}

struct wf_job *
wf_front_find_job(struct wf_front *f, const struct wf_caller *caller,
    const char *digits, struct wf_front_target *t)
{
	struct wf_job *j, *same_name = NULL;
	uint64_t previous_rev = 0;
	bool target_set = false;
	enum relation relation;
	wf_job_id key;
	uint32_t i;

	t->key[0] = '\0';
	t->cancelled = false;
	for (i = 0; i < WF_JOBS_PER_ID; i++) {
		wf_job_id_make(key, digits, i);
		j = wf_table_job(f->table, key);
		relation = relate(f, caller, j);
		if (relation == RELATION_SAME_ROUTE) {
			set_target(t, key, previous_rev);
			return j;
		}
		if (relation == RELATION_SAME_NAME && same_name == NULL)
			same_name = j;
		if (j != NULL && is_mark(j) && is_own_mark(caller, j))
			t->cancelled = true;
		if (!target_set && relation != RELATION_OTHER) {
			target_set = true;
			set_target(t, key, previous_rev);
		}
		if (j == NULL && f->table->further_jobs == 0)
			break;
		previous_rev = j != NULL ? wf_front_submission_rev(j) : 0;
	}
	if (same_name != NULL)
		set_target(t, same_name->id, 0);
	return same_name;
}

bool
wf_front_owner_missing(const struct wf_caller *caller, const struct wf_job *j)
{
	return caller->restricted && !j->owner_known;
}

bool
wf_front_denies_known(const struct wf_caller *caller, const struct wf_job *j)
{
	return j != NULL && j->owner_known &&
	    !wf_caller_may_use(caller, &j->spec);
}

/* ---- writes ---- */

/* Whether only a cancellation of a job is known, and it is meant for another
 * route. */
static bool
has_foreign_mark(const struct wf_caller *caller, const struct wf_job *j)
{
	return j != NULL && is_mark(j) && !is_own_mark(caller, j);
}

static void
add_absent(struct agb_store_op *op, char kind, const char *id)
{
	char key[WF_KEY_MAX];

	wf_table_make_key(key, kind, id);
	agb_store_op_add_cmp(op, key, AGB_STORE_CMP_MOD_REV, 0);
}

/* Adds the condition that the keys from that of a request on have nothing but the
 * cancellations that are known here, up to the first one that is free.
 * Return: whether there is a free one. */
static bool
add_marks(struct wf_front *f, struct wf_front_call *w, struct agb_store_op *op,
    wf_job_id free_id)
{
	const struct wf_job *j;
	char key[WF_KEY_MAX];
	uint32_t i;

	for (i = wf_job_id_ordinal(w->job); i < WF_JOBS_PER_ID; i++) {
		wf_job_id_make(free_id, w->job, i);
		w->last_ordinal = i;
		j = wf_table_job(f->table, free_id);
		add_absent(op, 'j', free_id);
		if (!has_foreign_mark(&w->caller, j)) {
			add_absent(op, 'k', free_id);
			return true;
		}
		wf_table_make_key(key, 'k', free_id);
		agb_store_op_add_cmp(
		    op, key, AGB_STORE_CMP_MOD_REV, j->cancel_rev);
	}
	return false;
}

static void
add_put(struct agb_store_op *op, char kind, const char *id, const char *val,
    size_t len)
{
	char key[WF_KEY_MAX];

	wf_table_make_key(key, kind, id);
	agb_store_op_add_put(op, key, val, len, 0);
}

/* Moves a cancellation to a free key. */
static void
add_move(const struct wf_job *mark, const char *to, struct agb_store_op *op)
{
	char *const val =
	    wf_table_format_cancellation(mark->cancelled_ms, mark->cancel_tag);
	char key[WF_KEY_MAX];

	wf_table_make_key(key, 'k', mark->id);
	agb_store_op_add_delete(op, key, NULL);
	add_put(op, 'k', to, val, strlen(val));
	free(val);
}

/* A job has an ordinal only while there is one with the previous ordinal: a
 * request that looks for it finds it by following them, and a submission that is
 * repeated never finds a free key before that of its job. */
static void
add_previous(const struct wf_front_call *w, struct agb_store_op *op)
{
	char key[WF_KEY_MAX];
	wf_job_id previous;

	if (w->previous_rev == 0)
		return;
	wf_job_id_make(previous, w->job, wf_job_id_ordinal(w->job) - 1);
	wf_table_make_key(key, 'j', previous);
	agb_store_op_add_cmp(op, key, AGB_STORE_CMP_MOD_REV, w->previous_rev);
}

bool
wf_front_put_spans_keys(struct wf_front *f, const struct wf_front_call *w)
{
	return w->previous_rev > 0 ||
	    (w->kind == WF_CALL_SUBMIT &&
		has_foreign_mark(&w->caller, wf_table_job(f->table, w->job)));
}

void
wf_front_init_put(
    struct wf_front *f, struct wf_front_call *w, struct agb_store_op *op)
{
	const struct wf_job *const j = wf_table_job(f->table, w->job);
	const bool moves = has_foreign_mark(&w->caller, j);
	wf_job_id free_id;
	bool found;

	agb_store_op_init(op, AGB_STORE_TXN);
	found = add_marks(f, w, op, free_id);
	add_previous(w, op);
	if (w->kind == WF_CALL_SUBMIT)
		add_put(op, 'j', w->job, w->record, w->record_len);
	else
		add_put(op, 'k', free_id, w->record, w->record_len);
	if (w->kind == WF_CALL_SUBMIT && moves && found)
		add_move(j, free_id, op);
}

/* ---- what the store has told ---- */

/* Notes the submission that is stored with a key, or that there is none. */
static bool
learn_submission(
    struct wf_front *f, const char *id, const struct agb_store_result *res)
{
	struct wf_job *const j = wf_table_job(f->table, id);
	const struct agb_store_kv *kv;
	char key[WF_KEY_MAX];

	wf_table_make_key(key, 'j', id);
	kv = wf_table_stored_kv(res, key);
	/* The job that was known has been deleted since. */
	if (j != NULL && wf_front_submission_rev(j) > 0 &&
	    (kv == NULL || kv->mod_rev != wf_front_submission_rev(j)))
		wf_table_forget(f->table, j);
	return kv == NULL || wf_table_put_owner(f->table, id, kv) != NULL;
}

/* Notes the cancellation that is stored with a key, or that there is none. */
static void
learn_mark(
    struct wf_front *f, const char *id, const struct agb_store_result *res)
{
	struct wf_job *const j = wf_table_job(f->table, id);
	const struct agb_store_kv *kv;
	char key[WF_KEY_MAX];

	wf_table_make_key(key, 'k', id);
	kv = wf_table_stored_kv(res, key);
	if (kv != NULL)
		(void)wf_table_apply(f->table, kv);
	else if (j != NULL && is_mark(j))
		wf_table_forget(f->table, j);
}

bool
wf_front_learn(struct wf_front *f, const struct wf_front_call *w,
    const struct agb_store_result *res)
{
	uint32_t i = wf_job_id_ordinal(w->job);
	wf_job_id id;

	if (w->reading)
		return learn_submission(f, w->job, res);
	if (w->previous_rev > 0) {
		wf_job_id_make(id, w->job, i - 1);
		if (!learn_submission(f, id, res))
			return false;
	}
	for (; i <= w->last_ordinal; i++) {
		wf_job_id_make(id, w->job, i);
		if (!learn_submission(f, id, res))
			return false;
		learn_mark(f, id, res);
	}
	return true;
}

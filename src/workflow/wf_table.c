#include "wf_table.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* An instance that has not answered pings for this long is not called. */
#define PEER_SILENT_MS 1700
/* Size of the text of a cancellation. */
#define CANCELLATION_SIZE 24

static const struct {
	unsigned flag;
	size_t at;
} step_flags[] = {
    {WF_X_GANG, offsetof(struct wf_step, gang)},
    {WF_X_RACK_BOUND, offsetof(struct wf_step, rack_local)},
    {WF_X_SAVES, offsetof(struct wf_step, checkpointing)},
    {WF_X_COPIES, offsetof(struct wf_step, speculative)},
    {WF_X_LASTS, offsetof(struct wf_step, long_running)},
    {WF_X_FILLS, offsetof(struct wf_step, best_effort)},
};

#define STEP_FLAGS_LEN (sizeof(step_flags) / sizeof(step_flags[0]))

static const struct {
	char kind;
	const char *prefix;
	const char *suffix;
} key_kinds[] = {
    {'n', WF_PREFIX_CONTROL "n/", ""},
    {'k', WF_PREFIX_JOBS, ".c"},
    {'j', WF_PREFIX_JOBS, ""},
    {'s', WF_PREFIX_STATES, ""},
    {'v', WF_KEY_PREFIX "v/", ""},
    {'q', WF_KEY_PREFIX "q/", ""},
};

#define KEY_KINDS_LEN (sizeof(key_kinds) / sizeof(key_kinds[0]))

void
wf_table_make_key(char key[WF_KEY_MAX], char kind, const char *id)
{
	size_t i;

	key[0] = '\0';
	for (i = 0; i < KEY_KINDS_LEN; i++) {
		if (key_kinds[i].kind == kind)
			snprintf(key, WF_KEY_MAX, "%s%s%s", key_kinds[i].prefix,
			    id, key_kinds[i].suffix);
	}
}

/* Splits a key into its kind, which is returned, and its id. Returns 0 when the
 * key has no known kind. */
static char
parse_key(const char *key, char id[AGB_ID_LEN])
{
	const size_t len = strlen(key);
	size_t i, skip, tail;

	for (i = 0; i < KEY_KINDS_LEN; i++) {
		skip = strlen(key_kinds[i].prefix);
		tail = strlen(key_kinds[i].suffix);
		if (len <= skip + tail || len - skip - tail >= AGB_ID_LEN ||
		    strncmp(key, key_kinds[i].prefix, skip) != 0 ||
		    strcmp(key + len - tail, key_kinds[i].suffix) != 0)
			continue;
		memcpy(id, key + skip, len - skip - tail);
		id[len - skip - tail] = '\0';
		return key_kinds[i].kind;
	}
	return 0;
}

void
wf_table_init_put(
    struct agb_store_op *op, const char *key, const char *val, size_t len)
{
	char id[AGB_ID_LEN], cancel_key[WF_KEY_MAX];

	agb_store_op_init(op, AGB_STORE_TXN);
	agb_store_op_add_cmp(op, key, AGB_STORE_CMP_MOD_REV, 0);
	if (parse_key(key, id) == 'j') {
		wf_table_make_key(cancel_key, 'k', id);
		agb_store_op_add_cmp(op, cancel_key, AGB_STORE_CMP_MOD_REV, 0);
	}
	agb_store_op_add_put(op, key, val != NULL ? val : "", len, 0);
}

const struct agb_store_kv *
wf_table_stored_kv(const struct agb_store_result *res, const char *key)
{
	size_t i;

	for (i = 0; i < res->kvs_len; i++) {
		if (strcmp(res->kvs[i].key, key) == 0)
			return &res->kvs[i];
	}
	return NULL;
}

uint64_t
wf_table_stored_revision(const struct agb_store_result *res, const char *key)
{
	const struct agb_store_kv *kv;

	if (res->succeeded)
		return res->revision;
	kv = wf_table_stored_kv(res, key);
	return kv != NULL ? kv->mod_rev : 0;
}

bool
wf_table_parse_state_key(const char *key, wf_job_id job)
{
	char id[AGB_ID_LEN];

	if (parse_key(key, id) != 'v')
		return false;
	agb_str_copy(job, WF_JOB_ID_LEN, id);
	return strlen(id) < WF_JOB_ID_LEN;
}

char *
wf_table_encode(xdrproc_t proc, void *rec, size_t *len)
{
	const size_t size = xdr_sizeof(proc, rec);
	char *buf;
	XDR x;

	buf = agb_xcalloc(1, size + 1);
	xdrmem_create(&x, buf, (u_int)size, XDR_ENCODE);
	if (!proc(&x, rec)) {
		free(buf);
		buf = NULL;
	}
	xdr_destroy(&x);
	*len = size;
	return buf;
}

char *
wf_table_append(char *raw, size_t *len, xdrproc_t proc, void *rec)
{
	size_t tail_len;
	char *const tail = wf_table_encode(proc, rec, &tail_len);

	if (tail == NULL) {
		free(raw);
		return NULL;
	}
	raw = agb_xreallocarray(raw, *len + tail_len, 1);
	memcpy(raw + *len, tail, tail_len);
	*len += tail_len;
	free(tail);
	return raw;
}

static bool
decode(xdrproc_t proc, const char *raw, size_t len, void *out)
{
	bool ok;
	XDR x;

	xdrmem_create(&x, (char *)(uintptr_t)raw, (u_int)len, XDR_DECODE);
	ok = proc(&x, out);
	xdr_destroy(&x);
	return ok;
}

bool
wf_table_decode_state(const char *raw, size_t len, struct wf_x_state *out)
{
	memset(out, 0, sizeof(*out));
	if (raw != NULL && decode((xdrproc_t)xdr_wf_x_state, raw, len, out) &&
	    out->state <= WF_JOB_CANCELLED)
		return true;
	xdr_free((xdrproc_t)xdr_wf_x_state, (char *)out);
	memset(out, 0, sizeof(*out));
	return false;
}

bool
wf_table_decode_failed_runs(const char *raw, size_t len,
    struct wf_x_state *state, struct wf_x_failed_runs *out)
{
	const size_t at = xdr_sizeof((xdrproc_t)xdr_wf_x_state, state);

	memset(out, 0, sizeof(*out));
	return len <= at ||
	    decode((xdrproc_t)xdr_wf_x_failed_runs, raw + at, len - at, out);
}

static void
encode_step(const struct wf_step *s, struct wf_x_step *x)
{
	size_t i;

	x->count = s->count;
	x->cpu_milli = (unsigned)s->need.cpu_milli;
	x->mem_mb = (unsigned)s->need.mem_mb;
	x->accel = (unsigned)s->need.accel;
	x->estimate_ms = s->estimate_ms;
	x->after = s->after;
	x->spread_max = s->spread_max;
	x->target_ms = s->target_ms;
	x->may_miss = s->max_unavailable;
	x->label = (char *)(uintptr_t)s->label;
	x->rack = (char *)(uintptr_t)s->rack;
	x->image = (char *)(uintptr_t)s->image;
	for (i = 0; i < STEP_FLAGS_LEN; i++) {
		if (*(const bool *)((const char *)s + step_flags[i].at))
			x->flags |= step_flags[i].flag;
	}
}

static void
decode_step(const struct wf_x_step *x, struct wf_step *s)
{
	size_t i;

	s->count = x->count;
	s->need.cpu_milli = x->cpu_milli;
	s->need.mem_mb = x->mem_mb;
	s->need.accel = x->accel;
	s->estimate_ms = x->estimate_ms;
	s->after = x->after;
	s->spread_max = x->spread_max;
	s->target_ms = x->target_ms;
	s->max_unavailable = x->may_miss;
	agb_str_copy(s->label, sizeof(s->label), x->label);
	agb_str_copy(s->rack, sizeof(s->rack), x->rack);
	agb_str_copy(s->image, sizeof(s->image), x->image);
	for (i = 0; i < STEP_FLAGS_LEN; i++)
		*(bool *)((char *)s + step_flags[i].at) =
		    (x->flags & step_flags[i].flag) != 0;
}

/* Whether a job has no use for a period. */
static bool
runs_once(const struct wf_spec *s)
{
	return s->start_at_ms == 0 && s->repeat_count == 1;
}

/* Appends the account and the route to the record of a job, unless it has no
 * account and its period holds the route. */
static char *
append_owner(const struct wf_spec *s, char *raw, size_t *len)
{
	struct wf_x_job_owner owner = {
	    .account = (char *)(uintptr_t)s->account};
	struct wf_x_job_route route = {.tag = s->route_tag};
	const bool has_route = s->route_tag != 0 && !runs_once(s);

	if (s->account[0] == '\0' && !has_route)
		return raw;
	raw = wf_table_append(raw, len, (xdrproc_t)xdr_wf_x_job_owner, &owner);
	if (raw == NULL || !has_route)
		return raw;
	return wf_table_append(raw, len, (xdrproc_t)xdr_wf_x_job_route, &route);
}

/* Reads the route that follows the owner of a job, if there is one. */
static bool
decode_route(const char *raw, size_t len, struct wf_spec *s)
{
	struct wf_x_job_route x = {0};

	if (len == 0)
		return true;
	if (!decode((xdrproc_t)xdr_wf_x_job_route, raw, len, &x))
		return false;
	s->route_tag = x.tag;
	return true;
}

/* Reads the account and the route that follow the record of a job. Returns false
 * when what follows is malformed: the job must not pass for one without an
 * account. */
static bool
decode_owner(
    struct wf_x_job *job, const char *raw, size_t len, struct wf_spec *s)
{
	const size_t at = xdr_sizeof((xdrproc_t)xdr_wf_x_job, job);
	struct wf_x_job_owner x = {0};
	size_t owner_len;
	bool ok;

	if (len <= at)
		return true;
	ok = decode((xdrproc_t)xdr_wf_x_job_owner, raw + at, len - at, &x);
	if (ok) {
		agb_str_copy(s->account, sizeof(s->account), x.account);
		owner_len = xdr_sizeof((xdrproc_t)xdr_wf_x_job_owner, &x);
		ok =
		    decode_route(raw + at + owner_len, len - at - owner_len, s);
	}
	xdr_free((xdrproc_t)xdr_wf_x_job_owner, (char *)&x);
	return ok;
}

char *
wf_table_encode_spec(const struct wf_spec *s, size_t *len)
{
	struct wf_x_job x;
	char *raw;
	uint32_t i;

	memset(&x, 0, sizeof(x));
	x.queue = (char *)(uintptr_t)s->queue;
	x.submitted_ms = s->submitted_ms;
	x.first_ms = s->start_at_ms;
	x.period_ms = s->period_ms;
	if (runs_once(s))
		x.period_ms =
		    s->route_tag != 0 ? WF_X_ROUTE_MARK | s->route_tag : 0;
	x.times = s->repeat_count;
	x.home = (char *)(uintptr_t)s->origin;
	x.spec.spec_val = s->payload;
	x.spec.spec_len = (u_int)s->payload_len;
	x.steps.steps_len = s->steps_len;
	x.steps.steps_val = agb_xcalloc(s->steps_len, sizeof(struct wf_x_step));
	for (i = 0; i < s->steps_len; i++)
		encode_step(&s->steps[i], &x.steps.steps_val[i]);
	raw = wf_table_encode((xdrproc_t)xdr_wf_x_job, &x, len);
	free(x.steps.steps_val);
	return raw != NULL ? append_owner(s, raw, len) : NULL;
}

/* Checks the invariants of a stored submission that later code relies on. */
static bool
spec_valid(const struct wf_spec *s)
{
	uint64_t tasks;
	uint32_t i;

	if (s->steps_len == 0 || s->steps_len > WF_STEPS_MAX ||
	    s->repeat_count == 0)
		return false;
	tasks = 0;
	for (i = 0; i < s->steps_len; i++) {
		if (s->steps[i].count == 0 || s->steps[i].after >> i != 0)
			return false;
		tasks += s->steps[i].count;
	}
	/* The product of a corrupt record can exceed 64 bits. */
	return tasks <= WF_TASKS_MAX / s->repeat_count;
}

bool
wf_table_decode_spec(const char *raw, size_t len, struct wf_spec *s)
{
	struct wf_x_job x;
	uint32_t i;
	bool ok;

	memset(&x, 0, sizeof(x));
	memset(s, 0, sizeof(*s));
	ok = raw != NULL && decode((xdrproc_t)xdr_wf_x_job, raw, len, &x);
	if (!ok)
		goto out;
	agb_str_copy(s->queue, sizeof(s->queue), x.queue);
	s->submitted_ms = x.submitted_ms;
	s->start_at_ms = x.first_ms;
	s->period_ms = x.period_ms;
	s->repeat_count = x.times;
	if (runs_once(s) &&
	    (x.period_ms & WF_X_ROUTE_MARK) == WF_X_ROUTE_MARK) {
		s->route_tag = x.period_ms & ~WF_X_ROUTE_MARK;
		s->period_ms = 0;
	}
	agb_str_copy(s->origin, sizeof(s->origin), x.home);
	s->payload = agb_xmemdup(x.spec.spec_val, x.spec.spec_len);
	s->payload_len = x.spec.spec_len;
	s->steps_len = x.steps.steps_len;
	s->steps = agb_xcalloc(s->steps_len, sizeof(*s->steps));
	for (i = 0; i < s->steps_len; i++)
		decode_step(&x.steps.steps_val[i], &s->steps[i]);
	ok = spec_valid(s) && decode_owner(&x, raw, len, s);
	if (!ok)
		wf_spec_free(s);
out:
	xdr_free((xdrproc_t)xdr_wf_x_job, (char *)&x);
	return ok;
}

struct wf_job *
wf_table_job(struct wf_table *t, const char *id)
{
	struct wf_job *j;

	HASH_FIND_STR(t->jobs, id, j);
	return j;
}

struct wf_job *
wf_table_namesake(struct wf_table *t, const char *id, uint32_t ordinal)
{
	wf_job_id key;

	wf_job_id_make(key, id, ordinal);
	return wf_table_job(t, key);
}

static void
job_free(struct wf_table *t, struct wf_job *j)
{
	const uint32_t ordinal = wf_job_id_ordinal(j->id);
	struct wf_job *previous;

	HASH_DEL(t->jobs, j);
	if (ordinal > 0) {
		t->further_jobs--;
		previous = wf_table_namesake(t, j->id, ordinal - 1);
		if (previous != NULL)
			previous->delete_refused = false;
	}
	wf_spec_free(&j->spec);
	free(j->state_record);
	free(j);
}

void
wf_table_free(struct wf_table *t)
{
	struct wf_job *j, *j_next;
	struct wf_peer *p, *p_next;

	/* The entries stay linked after the hash table is cleared. */
	j = t->jobs;
	p = t->peers;
	HASH_CLEAR(hh, t->jobs);
	HASH_CLEAR(hh, t->peers);
	for (; j != NULL; j = j_next) {
		j_next = j->hh.next;
		wf_spec_free(&j->spec);
		free(j->state_record);
		free(j);
	}
	for (; p != NULL; p = p_next) {
		p_next = p->hh.next;
		free(p);
	}
	wf_known_counts_free(&t->counts);
}

/* Notes which jobs share their digits once a new one is in the table. */
static void
note_namesakes(struct wf_table *t, struct wf_job *j)
{
	struct wf_job *other;
	uint32_t i;

	t->further_jobs += wf_job_id_ordinal(j->id) > 0;
	if (t->further_jobs == 0)
		return;
	for (i = 0; i < WF_JOBS_PER_ID; i++) {
		other = wf_table_namesake(t, j->id, i);
		if (other == NULL || other == j)
			continue;
		other->shares_id = true;
		j->shares_id = true;
	}
}

static struct wf_job *
get_or_add_job(struct wf_table *t, const char *id)
{
	struct wf_job *j;

	j = wf_table_job(t, id);
	if (j != NULL)
		return j;
	j = agb_xcalloc(1, sizeof(*j));
	agb_str_copy(j->id, sizeof(j->id), id);
	HASH_ADD_STR(t->jobs, id, j);
	note_namesakes(t, j);
	return j;
}

void
wf_table_forget(struct wf_table *t, struct wf_job *j)
{
	if (j->exec == NULL)
		job_free(t, j);
}

/* Drops a cancellation that is meant for a job of another route. */
static void
drop_foreign_cancellation(struct wf_job *j)
{
	if (j->cancel_tag == 0 || j->route_tag == 0 ||
	    j->cancel_tag == j->route_tag)
		return;
	j->cancel_rev = 0;
	j->cancelled_ms = 0;
	j->cancel_tag = 0;
}

static void
set_route_tag(struct wf_job *j, uint32_t route_tag)
{
	if (route_tag == 0)
		return;
	j->route_tag = route_tag;
	drop_foreign_cancellation(j);
}

struct wf_job *
wf_table_put_spec(
    struct wf_table *t, const char *id, uint64_t revision, struct wf_spec *spec)
{
	struct wf_job *const j = get_or_add_job(t, id);

	if (j->spec_rev == 0) {
		j->spec_rev = revision;
		j->spec = *spec;
		set_route_tag(j, spec->route_tag);
	} else {
		wf_spec_free(spec);
	}
	j->owner_known = true;
	j->found_in_read = true;
	free(spec);
	return j;
}

struct wf_job *
wf_table_put_owner(
    struct wf_table *t, const char *id, const struct agb_store_kv *kv)
{
	struct wf_spec spec;
	struct wf_job *j;

	if (!wf_table_decode_spec(kv->val, kv->val_len, &spec))
		return NULL;
	j = get_or_add_job(t, id);
	j->owner_rev = kv->mod_rev;
	if (!j->owner_known) {
		j->owner_known = true;
		agb_str_copy(j->spec.queue, sizeof(j->spec.queue), spec.queue);
		agb_str_copy(
		    j->spec.account, sizeof(j->spec.account), spec.account);
		set_route_tag(j, spec.route_tag);
	}
	wf_spec_free(&spec);
	return j;
}

static void
advance_state(struct wf_job *j, unsigned state)
{
	if (state > WF_JOB_CANCELLED)
		return;
	j->state_known = true;
	if ((enum wf_job_state)state > j->state)
		j->state = (enum wf_job_state)state;
}

void
wf_table_put_state(
    struct wf_job *j, uint64_t revision, const char *raw, size_t len)
{
	struct wf_x_state x;

	if (revision <= j->state_rev)
		return;
	j->state_rev = revision;
	free(j->state_record);
	j->state_record = agb_xmemdup(raw, len);
	j->state_record_len = len;
	if (!wf_table_decode_state(raw, len, &x))
		return;
	advance_state(j, x.state);
	j->ended_ms = x.ended_ms;
	xdr_free((xdrproc_t)xdr_wf_x_state, (char *)&x);
}

static void
apply_spec(struct wf_table *t, const char *id, const struct agb_store_kv *kv,
    struct wf_table_change *ch)
{
	struct wf_spec *spec;
	struct wf_job *j;

	j = wf_table_job(t, id);
	if (j != NULL && j->spec_rev == kv->mod_rev) {
		j->found_in_read = true;
		ch->job = j;
		return;
	}
	spec = agb_xcalloc(1, sizeof(*spec));
	if (!wf_table_decode_spec(kv->val, kv->val_len, spec)) {
		free(spec);
		ch->malformed = true;
		return;
	}
	ch->job = wf_table_put_spec(t, id, kv->mod_rev, spec);
}

/* An instance that has restarted has a new name. Of the instances at one
 * address only the latest can run, although the keys of the others remain until
 * their leases end. */
static void
mark_replaced_peers(struct wf_table *t, const struct wf_peer *changed)
{
	const struct wf_peer *latest = changed;
	struct wf_peer *p;

	for (p = t->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->rpc, changed->rpc) == 0 &&
		    p->create_rev > latest->create_rev)
			latest = p;
	}
	for (p = t->peers; p != NULL; p = p->hh.next) {
		if (strcmp(p->rpc, changed->rpc) == 0)
			p->replaced = p != latest;
	}
}

/* The memory follows the entry, which earlier versions wrote without it. */
char *
wf_table_encode_peer(struct wf_x_peer *x, uint32_t memory_mb, size_t *len)
{
	const uint32_t tail = htonl(memory_mb);
	char *raw = wf_table_encode((xdrproc_t)xdr_wf_x_peer, x, len);

	if (raw == NULL || memory_mb == 0)
		return raw;
	raw = agb_xreallocarray(raw, *len + sizeof(tail), 1);
	memcpy(raw + *len, &tail, sizeof(tail));
	*len += sizeof(tail);
	return raw;
}

static uint32_t
decode_peer_memory(struct wf_x_peer *x, const struct agb_store_kv *kv)
{
	const size_t len = xdr_sizeof((xdrproc_t)xdr_wf_x_peer, x);
	uint32_t tail;

	if (kv->val_len < len + sizeof(tail))
		return 0;
	memcpy(&tail, kv->val + len, sizeof(tail));
	return ntohl(tail);
}

static void
apply_peer(struct wf_table *t, const char *name, const struct agb_store_kv *kv,
    struct wf_table_change *ch)
{
	struct wf_x_peer x;
	struct wf_peer *p;

	HASH_FIND_STR(t->peers, name, p);
	ch->peers_changed = true;
	if (kv->deleted) {
		if (p != NULL) {
			HASH_DEL(t->peers, p);
			free(p);
		}
		return;
	}
	memset(&x, 0, sizeof(x));
	if (!decode((xdrproc_t)xdr_wf_x_peer, kv->val, kv->val_len, &x)) {
		ch->malformed = true;
		goto out;
	}
	if (p == NULL) {
		p = agb_xcalloc(1, sizeof(*p));
		agb_str_copy(p->name, sizeof(p->name), name);
		HASH_ADD_STR(t->peers, name, p);
	}
	p->found_in_read = true;
	p->score = x.score;
	p->memory_mb = decode_peer_memory(&x, kv);
	p->relay_capacity = x.capacity;
	p->lease = kv->lease;
	agb_str_copy(p->rpc, sizeof(p->rpc), x.rpc);
	agb_str_copy(p->domain, sizeof(p->domain), x.domain);
	agb_str_copy(p->region, sizeof(p->region), x.region);
	p->create_rev = kv->create_rev;
	mark_replaced_peers(t, p);
out:
	xdr_free((xdrproc_t)xdr_wf_x_peer, (char *)&x);
}

static void
apply_leader(struct wf_table *t, const struct agb_store_kv *kv)
{
	char name[AGB_ID_LEN];

	if (kv->deleted) {
		t->leader[0] = '\0';
		t->leader_rev = 0;
		t->leader_lease = 0;
		return;
	}
	snprintf(name, sizeof(name), "%.*s", (int)kv->val_len, kv->val);
	agb_str_copy(t->leader, sizeof(t->leader), name);
	t->leader_rev = kv->mod_rev;
	t->leader_lease = kv->lease;
}

static void
apply_deleted(
    struct wf_table *t, char kind, const char *id, struct wf_table_change *ch)
{
	struct wf_job *const j = wf_table_job(t, id);

	if (j == NULL ||
	    (kind != 'j' && !(kind == 'k' && wf_job_is_cancel_mark(j))))
		return;
	/* Jobs are deleted by the leader only, with all their keys in one
	 * transaction. A cancellation alone is also deleted by the submission
	 * that takes its key. */
	if (j->exec == NULL)
		job_free(t, j);
	else
		ch->job = j;
}

char *
wf_table_format_cancellation(int64_t unix_ms, uint32_t route_tag)
{
	if (route_tag == 0)
		return agb_xasprintf("%" PRId64, unix_ms);
	return agb_xasprintf("%" PRId64 " %" PRIx32, unix_ms, route_tag);
}

/* Reads the value of a cancellation: the Unix time in ms, and the tag of a route.
 * Earlier versions left out the tag, or both. They ignore what follows the time,
 * and read no value of CANCELLATION_SIZE bytes or more. */
static void
parse_cancellation(
    const struct agb_store_kv *kv, int64_t *unix_ms, uint32_t *route_tag)
{
	char text[CANCELLATION_SIZE];
	char *end;

	*unix_ms = 0;
	*route_tag = 0;
	if (kv->val == NULL || kv->val_len >= sizeof(text))
		return;
	memcpy(text, kv->val, kv->val_len);
	text[kv->val_len] = '\0';
	*unix_ms = strtoll(text, &end, 10);
	if (*end == ' ')
		*route_tag = (uint32_t)strtoul(end + 1, NULL, 16);
}

uint32_t
wf_table_cancellation_tag(const struct agb_store_kv *kv)
{
	uint32_t route_tag;
	int64_t unix_ms;

	parse_cancellation(kv, &unix_ms, &route_tag);
	return route_tag;
}

static void
apply_cancel(struct wf_job *j, const struct agb_store_kv *kv)
{
	j->cancel_rev = kv->mod_rev;
	parse_cancellation(kv, &j->cancelled_ms, &j->cancel_tag);
	if (j->spec_rev == 0)
		j->found_in_read = true;
	drop_foreign_cancellation(j);
}

size_t
wf_table_encode_pushed_state(
    char val[WF_PUSHED_STATE_MAX], enum wf_job_state state, uint32_t route_tag)
{
	size_t i;

	val[0] = (char)state;
	if (route_tag == 0)
		return 1;
	for (i = 1; i < WF_PUSHED_STATE_MAX; i++) {
		val[i] = (char)(route_tag & 0xff);
		route_tag >>= 8;
	}
	return WF_PUSHED_STATE_MAX;
}

unsigned
wf_table_decode_pushed_state(const char *val, size_t len, uint32_t *route_tag)
{
	size_t i;

	*route_tag = 0;
	if (len != 1 && len != WF_PUSHED_STATE_MAX)
		return UINT_MAX;
	for (i = len; i > 1; i--)
		*route_tag = *route_tag << 8 | (unsigned char)val[i - 1];
	return (unsigned char)val[0];
}

static void
apply_pushed_state(struct wf_job *j, const struct agb_store_kv *kv)
{
	uint32_t route_tag;

	advance_state(
	    j, wf_table_decode_pushed_state(kv->val, kv->val_len, &route_tag));
	set_route_tag(j, route_tag);
}

static void
apply_job(struct wf_table *t, char kind, const char *id,
    const struct agb_store_kv *kv, struct wf_table_change *ch)
{
	switch (kind) {
	case 'j':
		apply_spec(t, id, kv, ch);
		break;
	case 'k':
		ch->job = get_or_add_job(t, id);
		apply_cancel(ch->job, kv);
		break;
	case 's':
		ch->job = get_or_add_job(t, id);
		wf_table_put_state(ch->job, kv->mod_rev, kv->val, kv->val_len);
		break;
	default:
		ch->job = get_or_add_job(t, id);
		apply_pushed_state(ch->job, kv);
	}
}

static bool
apply_job_bytes(struct wf_table *t, const struct agb_store_kv *kv)
{
	if (kv->val_len != sizeof(t->job_bytes))
		return false;
	memcpy(&t->job_bytes, kv->val, sizeof(t->job_bytes));
	t->job_bytes_pushes++;
	return true;
}

struct wf_table_change
wf_table_apply(struct wf_table *t, const struct agb_store_kv *kv)
{
	struct wf_table_change ch = {0};
	char id[AGB_ID_LEN];
	char kind;

	if (strcmp(kv->key, WF_KEY_LEADER) == 0) {
		apply_leader(t, kv);
		ch.leader_changed = true;
		return ch;
	}
	if (strcmp(kv->key, WF_KEY_BARRIER_JOBS) == 0) {
		ch.barrier_jobs = kv->mod_rev;
		return ch;
	}
	if (strcmp(kv->key, WF_KEY_BARRIER_STATES) == 0) {
		ch.barrier_states = kv->mod_rev;
		return ch;
	}
	if (strcmp(kv->key, WF_KEY_COUNTS_ROUND) == 0) {
		ch.malformed = !wf_known_counts_set_round(
		    &t->counts, kv->val, kv->val_len);
		return ch;
	}
	if (strcmp(kv->key, WF_KEY_JOB_BYTES) == 0) {
		ch.malformed = !apply_job_bytes(t, kv);
		return ch;
	}
	kind = parse_key(kv->key, id);
	if (kind == 'n')
		apply_peer(t, id, kv, &ch);
	else if (kind == 'q')
		ch.malformed =
		    !wf_known_counts_set(&t->counts, id, kv->val, kv->val_len);
	else if (kind == 0 || strlen(id) >= WF_JOB_ID_LEN)
		ch.malformed = true;
	else if (kv->deleted)
		apply_deleted(t, kind, id, &ch);
	else
		apply_job(t, kind, id, kv, &ch);
	return ch;
}

struct wf_peer *
wf_table_leader(const struct wf_table *t)
{
	struct wf_peer *p;

	HASH_FIND_STR(t->peers, t->leader, p);
	return p;
}

uint32_t
wf_table_rank(
    const struct wf_table *t, const struct wf_peer *p, const char *except)
{
	const struct wf_peer *q;
	uint32_t n = 0;

	for (q = t->peers; q != NULL; q = q->hh.next) {
		if (q == p || strcmp(q->name, except) == 0)
			continue;
		n += q->score > p->score ||
		    (q->score == p->score && strcmp(q->name, p->name) < 0);
	}
	return n;
}

bool
wf_peer_responds(const struct wf_peer *p, agb_time now)
{
	const agb_time last = p->heard_at > 0 ? p->heard_at : p->pinged_since;

	return !p->replaced &&
	    (!p->pinged || last == 0 || now - last < PEER_SILENT_MS * AGB_MS);
}

void
wf_table_begin_control_read(struct wf_table *t)
{
	struct wf_peer *p;

	for (p = t->peers; p != NULL; p = p->hh.next)
		p->found_in_read = false;
	t->leader[0] = '\0';
	t->leader_rev = 0;
}

static struct wf_peer *
first_peer_not_found(const struct wf_table *t)
{
	struct wf_peer *p;

	/* NOLINTBEGIN(clang-analyzer-unix.Malloc): the analyzer does not see
	 * that uthash unlinks an entry before it is freed. */
	for (p = t->peers; p != NULL && p->found_in_read; p = p->hh.next)
		;
	return p;
	/* NOLINTEND(clang-analyzer-unix.Malloc) */
}

void
wf_table_sweep_control(struct wf_table *t)
{
	struct wf_peer *p;

	/* NOLINTBEGIN(clang-analyzer-*): as above. */
	while ((p = first_peer_not_found(t)) != NULL) {
		HASH_DEL(t->peers, p);
		free(p);
	}
	/* NOLINTEND(clang-analyzer-*) */
}

void
wf_table_begin_jobs_read(struct wf_table *t)
{
	struct wf_job *j;

	for (j = t->jobs; j != NULL; j = j->hh.next)
		j->found_in_read = false;
}

/* Whether an entry that a full read of the jobs did not contain was stored after
 * it. Of a new job, the state or the cancellation may arrive before the
 * submission, and does not come again. */
static bool
stored_after(const struct wf_job *j, uint64_t revision)
{
	if (j->spec_rev > 0)
		return j->spec_rev > revision;
	return j->cancel_rev > revision || j->state_rev > revision;
}

void
wf_table_sweep_jobs(struct wf_table *t, uint64_t revision,
    void (*dropped)(void *arg, struct wf_job *j), void *arg)
{
	struct wf_job *j, *next;

	for (j = t->jobs; j != NULL; j = next) {
		next = j->hh.next;
		if (j->found_in_read || stored_after(j, revision))
			continue;
		dropped(arg, j);
		job_free(t, j);
	}
}

void
wf_table_expire(struct wf_table *t, agb_time now, agb_time before)
{
	struct wf_job *j, *next;

	for (j = t->jobs; j != NULL; j = next) {
		next = j->hh.next;
		if ((!wf_job_state_is_final(j->state) &&
			!wf_job_is_cancel_mark(j)) ||
		    j->exec != NULL)
			continue;
		if (j->final_seen_at == 0)
			j->final_seen_at = now;
		else if (j->final_seen_at < before)
			job_free(t, j);
	}
}

bool
wf_job_is_cancel_mark(const struct wf_job *j)
{
	return j->cancel_rev > 0 && j->spec_rev == 0 && !j->state_known;
}

bool
wf_job_pending(const struct wf_job *j)
{
	return j->spec_rev > 0 && j->state == WF_JOB_QUEUED &&
	    j->cancel_rev == 0;
}

uint32_t
wf_table_pending_count(const struct wf_table *t, const char *queue)
{
	const struct wf_job *j;
	uint32_t n;

	n = 0;
	for (j = t->jobs; j != NULL; j = j->hh.next)
		n += wf_job_pending(j) && strcmp(j->spec.queue, queue) == 0;
	return n;
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_front_internal.h"

/* Time limit of a store operation, after which it is repeated. */
#define STORE_TIMEOUT_MS 900
/* When the store does not answer this instance, another one is asked to write
 * the record after RELAY_DELAY_MS, or after this many times the current latency
 * of the store if that is longer: while the store is slow for all instances,
 * writes through others only add to its load and to the leader's. Another
 * instance is tried after RELAY_NEXT_MS. */
#define RELAY_DELAY_MS 250
#define RELAY_DELAY_LATENCIES 3
#define RELAY_NEXT_MS 400
#define RELAY_TIMEOUT_MS 1000
/* Deadline of a request that does not specify one. */
#define DEFAULT_DEADLINE_MS 3000
/* Answers are sent this long before the deadline, so that they reach the client
 * before it gives up. */
#define ANSWER_MARGIN_MS 100

void
wf_front_call_destroy(struct wf_front_call *w)
{
	if (w->spec != NULL) {
		wf_spec_free(w->spec);
		free(w->spec);
	}
	free(w->record);
	free(w);
}

void
wf_front_call_free(struct wf_front *f, struct wf_front_call *w)
{
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): w is listed. */
	DL_DELETE(f->calls, w);
	f->calls_len--;
	wf_front_call_destroy(w);
}

static agb_time
relay_delay(const struct wf_front *f)
{
	/* While the store is silent, other instances write immediately. */
	if (f->store_silent)
		return 0;
	return agb_time_max(
	    RELAY_DELAY_LATENCIES * f->store_latency, RELAY_DELAY_MS * AGB_MS);
}

void
wf_front_call_key(const struct wf_front_call *w, char key[WF_KEY_MAX])
{
	wf_job_id id;

	wf_job_id_make(id, w->job,
	    w->unless_submitted ? w->last_ordinal : wf_job_id_ordinal(w->job));
	wf_table_make_key(key, w->kind == WF_CALL_SUBMIT ? 'j' : 'k', id);
}

static void
copy_record(const struct wf_front_call *w, struct wf_record *r)
{
	wf_front_call_key(w, r->key);
	r->val = agb_xmemdup(w->record, w->record_len);
	r->len = w->record_len;
}

void
wf_front_call_send(
    struct wf_front *f, struct wf_front_call *w, struct wf_effects *out)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_STORE);
	char key[WF_KEY_MAX];

	w->tag = WF_FRONT_TAG | ++f->next_tag;
	w->retry_at = 0;
	ef->tag = w->tag;
	ef->timeout_ms = STORE_TIMEOUT_MS;
	if (w->reading) {
		wf_table_make_key(key, w->read_state ? 's' : 'j', w->job);
		agb_store_op_init_range(&ef->u.store, key, NULL, 1);
		return;
	}
	if (w->kind == WF_CALL_SUBMIT || w->unless_submitted) {
		wf_front_init_put(f, w, &ef->u.store);
		return;
	}
	wf_front_call_key(w, key);
	wf_table_init_put(&ef->u.store, key, w->record, w->record_len);
}

/* Returns a peer that responds, after skipping some. The leader comes first,
 * because the store answers it. */
static const struct wf_peer *
choose_relay(const struct wf_front *f, agb_time now, uint32_t skip)
{
	const struct wf_peer *const leader = wf_table_leader(f->table);
	struct wf_peer *p, *p2;

	if (leader != NULL && strcmp(leader->name, f->self) != 0 &&
	    wf_peer_responds(leader, now) && skip-- == 0)
		return leader;
	for (p = f->table->peers; p != NULL; p = p2) {
		p2 = p->hh.next;
		if (p == leader || strcmp(p->name, f->self) == 0 ||
		    !wf_peer_responds(p, now))
			continue;
		if (skip-- == 0)
			return p;
	}
	return NULL;
}

bool
wf_front_call_relay(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out)
{
	const struct wf_peer *const p =
	    choose_relay(f, now->mono, w->relays_tried);
	struct wf_effect *ef;

	if (w->reading || p == NULL)
		return false;
	/* Peers add no conditions on other keys. */
	if (w->unless_submitted || wf_front_put_spans_keys(f, w))
		return false;
	/* The outcome of an abandoned write is unknown. */
	if (w->relay_tag != 0)
		w->maybe_stored = true;
	w->relays_tried++;
	w->relay_tag = WF_FRONT_TAG | ++f->next_tag;
	w->relay_at = now->mono + RELAY_NEXT_MS * AGB_MS;
	ef = wf_effects_add(out, WF_EF_PEER_PUT);
	ef->tag = w->relay_tag;
	ef->timeout_ms = RELAY_TIMEOUT_MS;
	agb_str_copy(ef->peer, sizeof(ef->peer), p->rpc);
	copy_record(w, &ef->u.record);
	wf_effects_log(out, AGB_LOG_INFO, "relay",
	    "job=%s through=%s waited_ms=%" PRIu64, w->job, p->name,
	    (now->mono - w->started_at) / AGB_MS);
	return true;
}

void
wf_front_call_push(const struct wf_front *f, const struct wf_front_call *w,
    uint64_t revision, struct wf_effects *out)
{
	const struct wf_peer *const p = wf_table_leader(f->table);
	struct wf_record *r;
	struct wf_effect *ef;

	if (p == NULL || strcmp(p->name, f->self) == 0)
		return;
	ef = wf_effects_add(out, WF_EF_PEER_PUSH);
	agb_str_copy(ef->peer, sizeof(ef->peer), p->rpc);
	r = agb_xcalloc(1, sizeof(*r));
	copy_record(w, r);
	r->revision = revision;
	ef->u.push.items = r;
	ef->u.push.len = 1;
}

struct wf_front_call *
wf_front_call_add(struct wf_front *f, const struct wf_now *now,
    const struct wf_front_request *r)
{
	struct wf_front_call *const w = agb_xcalloc(1, sizeof(*w));
	const struct wf_call *const call = r->call;
	uint32_t ms;

	ms = call->deadline_ms > 0     ? call->deadline_ms
	    : r->queue->timeout_ms > 0 ? r->queue->timeout_ms
				       : DEFAULT_DEADLINE_MS;
	ms = ms > 2 * ANSWER_MARGIN_MS ? ms - ANSWER_MARGIN_MS : ms;
	w->call_id = call->id;
	w->kind = call->kind;
	w->caller = r->caller;
	agb_str_copy(w->job, sizeof(w->job), r->target.key);
	w->previous_rev = r->target.previous_rev;
	w->found = r->known != NULL;
	w->started_at = now->mono;
	w->deadline = now->mono + ms * AGB_MS;
	w->relay_at = now->mono + relay_delay(f);
	DL_APPEND(f->calls, w);
	f->calls_len++;
	return w;
}

void
wf_front_call_read(
    struct wf_front *f, struct wf_front_call *w, struct wf_effects *out)
{
	w->reading = true;
	w->relay_tag = 0;
	wf_front_call_send(f, w, out);
}

void
wf_front_call_give_up(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out)
{
	/* The job does not run, whether or not it had been submitted. */
	if (w->cancel_rev > 0)
		wf_front_reply_accepted(out, w->call_id, w->kind, w->job,
		    "stored", w->cancel_rev, now->mono - w->started_at);
	else if (w->maybe_stored)
		wf_front_refuse(out, w->call_id, w->kind, 504, w->job,
		    "the store has not answered; it may have been stored");
	else
		wf_front_refuse(out, w->call_id, w->kind, 503, w->job,
		    "the store cannot be reached; nothing was stored");
	wf_front_call_free(f, w);
}

void
wf_front_call_write(struct wf_front *f, const struct wf_now *now,
    struct wf_front_call *w, struct wf_effects *out)
{
	if (!f->store_silent) {
		wf_front_call_send(f, w, out);
		return;
	}
	if (!wf_front_call_relay(f, now, w, out))
		wf_front_call_give_up(f, now, w, out);
}

void
wf_front_call_set_cancellation(
    struct wf_front *f, const struct wf_now *now, struct wf_front_call *w)
{
	const struct wf_job *const j =
	    w->found ? wf_table_job(f->table, w->job) : NULL;

	free(w->record);
	w->record = wf_table_format_cancellation(
	    now->unix_ms, j != NULL ? j->route_tag : w->caller.route_tag);
	w->record_len = strlen(w->record);
}

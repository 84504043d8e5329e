#include <inttypes.h>

#include "wf_front_internal.h"

/* Retry-After of a rejected request; a client still has attempts left after a
 * store outage of a few seconds. */
#define RETRY_AFTER_S 2
/* The same while there is no memory for further jobs: others have to end first. */
#define RETRY_AFTER_FULL_S 10

struct wf_reply *
wf_front_add_reply(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, int http_status)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_REPLY);

	ef->call_id = call_id;
	ef->u.reply.kind = kind;
	ef->u.reply.http_status = http_status;
	return &ef->u.reply;
}

/* The reply is complete before the log line is added: adding an effect moves
 * those that are in the list. A @retry_s of 0 stands for no Retry-After. */
static void
add_refusal(struct wf_effects *out, uint64_t call_id, enum wf_call_kind kind,
    int http_status, uint32_t retry_s, const char *job, const char *why)
{
	struct wf_reply *const r =
	    wf_front_add_reply(out, call_id, kind, http_status);

	agb_str_copy(r->detail, sizeof(r->detail), why);
	r->retry_s = retry_s;
	wf_effects_log(out, AGB_LOG_INFO, "answer",
	    "job=%s status=%d outcome=%s reason=\"%s\"", job, http_status,
	    http_status == 504 ? "unknown" : "not-run", why);
}

void
wf_front_refuse(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, int http_status, const char *job, const char *why)
{
	const bool may_retry = http_status == 503 || http_status == 429;

	add_refusal(out, call_id, kind, http_status,
	    may_retry ? RETRY_AFTER_S : 0, job, why);
}

void
wf_front_refuse_full(struct wf_effects *out, const struct wf_front_call *w)
{
	add_refusal(out, w->call_id, w->kind, 503, RETRY_AFTER_FULL_S, w->job,
	    "the accepted jobs take all memory that is set aside for them");
}

void
wf_front_refuse_cancelled(struct wf_effects *out, const struct wf_front_call *w)
{
	add_refusal(out, w->call_id, w->kind, 503, 0, w->job,
	    "the job was cancelled before it was accepted");
}

void
wf_front_refuse_limit(struct wf_effects *out, const struct wf_front_call *w)
{
	add_refusal(out, w->call_id, w->kind, 429, 0, w->job,
	    "a task or a gang needs more than the limit of its account");
}

void
wf_front_refuse_shared(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, const char *job)
{
	if (kind != WF_CALL_SUBMIT) {
		add_refusal(
		    out, call_id, kind, 410, 0, job, "no such job is known");
		return;
	}
	add_refusal(out, call_id, kind, 503, RETRY_AFTER_FULL_S, job,
	    "too many jobs of other queues have this id");
}

void
wf_front_refuse_owner(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, const char *job)
{
	add_refusal(out, call_id, kind, 403, 0, job,
	    "the job belongs to another account");
}

void
wf_front_refuse_key(struct wf_denial_log *denials, const struct wf_now *now,
    const struct wf_call *call, struct wf_effects *out)
{
	static const char why[] = "a valid key of an account is needed";
	struct wf_reply *const r =
	    wf_front_add_reply(out, call->id, call->kind, 401);
	uint64_t omitted;

	agb_str_copy(r->detail, sizeof(r->detail), why);
	if (wf_denial_log_take(denials, now->mono, &omitted))
		wf_effects_log(out, AGB_LOG_INFO, "answer",
		    "job=%s status=401 outcome=not-run reason=\"%s\" "
		    "omitted=%" PRIu64,
		    call->path, why, omitted);
}

void
wf_front_reply_accepted(struct wf_effects *out, uint64_t call_id,
    enum wf_call_kind kind, const char *job, const char *how, uint64_t revision,
    agb_time took)
{
	wf_front_add_reply(out, call_id, kind, 200)->state = WF_JOB_QUEUED;
	wf_effects_log(out, AGB_LOG_INFO, "answer",
	    "job=%s status=200 call=%s how=%s revision=%" PRIu64
	    " took_ms=%" PRIu64,
	    job, kind == WF_CALL_SUBMIT ? "submit" : "cancel", how, revision,
	    took / AGB_MS);
}

void
wf_front_reply_state(
    struct wf_effects *out, uint64_t call_id, const struct wf_job *j)
{
	struct wf_reply *const r =
	    wf_front_add_reply(out, call_id, WF_CALL_GET, 200);

	r->state = j->state;
	if (j->cancel_rev > 0 && !wf_job_state_is_final(j->state))
		r->state = WF_JOB_CANCELLED;
}

#include "upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "edge_parse.h"
#include "mem.h"

/* Time limit of an attempt if the effect gives none. */
#define TIMEOUT_MS 60000U
/* Time limit until the request is written. Past it the attempt ends as not
 * started, so that the request can still be sent to another runner. */
#define CONNECT_TIMEOUT_MS 1000U

struct attempt_key {
	uint64_t call_id;
	struct agb_attempt attempt;
};

/**
 * struct upstream_attempt - attempt in progress
 * @next_aborted: link in agb_upstream.aborted
 * @call: NULL once it has been cancelled
 * @abort_result: result to report for an aborted attempt
 */
struct upstream_attempt {
	struct attempt_key key;
	UT_hash_handle hh;
	struct upstream_attempt *next_aborted;
	struct agb_upstream *u;
	struct agb_httpc_call *call;
	enum agb_result abort_result;
};

/**
 * struct agb_upstream - HTTP client for the runners
 * @aborted: aborted attempts whose end has not been reported yet
 * @abort_timer: reports them from the loop, after agb_upstream_abort() returned
 */
struct agb_upstream {
	uv_loop_t *loop;
	struct agb_httpc *httpc;
	size_t response_body_max;
	agb_upstream_cb cb;
	void *arg;
	struct upstream_attempt *attempts;
	struct upstream_attempt *aborted;
	size_t active;
	uv_timer_t abort_timer;
};

void
agb_attempt_format(const struct agb_attempt *a, char out[AGB_ATTEMPT_TEXT_LEN])
{
	snprintf(out, AGB_ATTEMPT_TEXT_LEN, "%016llx-%016llx",
	    (unsigned long long)a->epoch, (unsigned long long)a->seq);
}

static bool
parse_hex16(const char *p, uint64_t *out)
{
	int i;

	*out = 0;
	for (i = 0; i < 16; i++) {
		if (p[i] >= '0' && p[i] <= '9')
			*out = *out << 4 | (uint64_t)(p[i] - '0');
		else if (p[i] >= 'a' && p[i] <= 'f')
			*out = *out << 4 | (uint64_t)(p[i] - 'a' + 10);
		else
			return false;
	}
	return true;
}

bool
agb_attempt_parse(const char *text, struct agb_attempt *out)
{
	return strlen(text) == AGB_ATTEMPT_TEXT_LEN - 1 && text[16] == '-' &&
	    parse_hex16(text, &out->epoch) && parse_hex16(text + 17, &out->seq);
}

/* Return: value of the header, or NULL if it is missing or occurs twice. */
static const char *
find_unique_header(const struct agb_httpc_res *res, const char *name)
{
	const char *found;
	size_t i;

	found = NULL;
	for (i = 0; i < res->headers_len; i++) {
		if (strcmp(res->headers[i].name, name) != 0)
			continue;
		if (found != NULL)
			return NULL;
		found = res->headers[i].value;
	}
	return found;
}

/*
 * A response without the attempt's id may belong to another request, and so may
 * all later responses on the connection: httpc closes the connection when this
 * function returns false.
 */
static bool
response_matches_attempt(void *arg, const struct agb_httpc_res *res)
{
	const struct upstream_attempt *const att = arg;
	const char *const echo = find_unique_header(res, "agatebeam-attempt");
	struct agb_attempt a;

	return echo != NULL && agb_attempt_parse(echo, &a) &&
	    a.epoch == att->key.attempt.epoch && a.seq == att->key.attempt.seq;
}

static bool
is_not_run_refusal(const struct agb_httpc_res *res)
{
	const char *const outcome =
	    find_unique_header(res, "agatebeam-outcome");

	return res->http_status == 503 && outcome != NULL &&
	    strcmp(outcome, "not-run") == 0;
}

static void
classify_response(const struct agb_httpc_res *res, struct agb_ev_upstream *out)
{
	out->http_status = res->http_status;
	switch (res->status) {
	case AGB_HTTPC_UNSENT:
		out->result = AGB_RESULT_NOT_STARTED;
		out->reason = res->timed_out ? AGB_REASON_DEADLINE
					     : AGB_REASON_UPSTREAM_LOST;
		return;
	case AGB_HTTPC_LOST:
		out->result = AGB_RESULT_LOST;
		if (res->timed_out)
			out->reason = AGB_REASON_DEADLINE;
		else if (res->http_status != 0)
			out->reason = AGB_REASON_UPSTREAM_SHORT;
		else
			out->reason = AGB_REASON_UPSTREAM_LOST;
		return;
	case AGB_HTTPC_COMPLETE:
		break;
	}
	if (is_not_run_refusal(res)) {
		out->result = AGB_RESULT_NOT_STARTED;
		out->reason = AGB_REASON_UPSTREAM_REFUSED;
	} else {
		out->result = AGB_RESULT_OK;
		out->reason = AGB_REASON_NONE;
	}
}

static bool
listed_in_connection_header(const struct agb_httpc_res *res, const char *name)
{
	const struct agb_httpc_header *h;
	size_t i;

	for (i = 0; i < res->headers_len; i++) {
		h = &res->headers[i];
		if (strcmp(h->name, "connection") == 0 &&
		    agb_edge_list_has_token(
			h->value, strlen(h->value), name, strlen(name)))
			return true;
	}
	return false;
}

static void
attempt_finish(struct upstream_attempt *att, struct agb_event *ev,
    const struct agb_edge_response *rsp)
{
	struct agb_upstream *const u = att->u;

	ev->type = AGB_EV_UPSTREAM;
	ev->call_id = att->key.call_id;
	ev->u.upstream_result.call_id = att->key.call_id;
	ev->u.upstream_result.attempt = att->key.attempt;
	free(att);
	u->active--;
	u->cb(u->arg, ev, rsp);
}

static void
on_response(void *arg, const struct agb_httpc_res *res)
{
	struct upstream_attempt *const att = arg;
	struct agb_event ev = {0};
	struct agb_edge_response rsp = {0};
	struct agb_httpc_header *headers;
	size_t i;

	HASH_DEL(att->u->attempts, att);
	classify_response(res, &ev.u.upstream_result);
	if (ev.u.upstream_result.result != AGB_RESULT_OK) {
		attempt_finish(att, &ev, NULL);
		return;
	}
	headers = agb_xcalloc(res->headers_len, sizeof(*headers));
	for (i = 0; i < res->headers_len; i++) {
		if (!agb_edge_must_drop_header(
			res->headers[i].name, strlen(res->headers[i].name)) &&
		    !listed_in_connection_header(res, res->headers[i].name))
			headers[rsp.headers_len++] = res->headers[i];
	}
	rsp.http_status = res->http_status;
	rsp.headers = headers;
	rsp.body = res->body;
	rsp.body_len = res->body_len;
	attempt_finish(att, &ev, &rsp);
	free(headers);
}

void
agb_upstream_send(struct agb_upstream *u, uint64_t call_id,
    const struct agb_ef_upstream *ef, const struct agb_edge_request *req)
{
	struct upstream_attempt *const att = agb_xcalloc(1, sizeof(*att));
	char attempt[AGB_ATTEMPT_TEXT_LEN], epoch[20];
	struct agb_httpc_header *headers;
	struct agb_httpc_req r = {
	    .addr = ef->runner,
	    .method = req->method,
	    .path = req->path,
	    .body = req->body,
	    .body_len = req->body_len,
	    .timeout_ms = ef->timeout_ms > 0 ? ef->timeout_ms : TIMEOUT_MS,
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .body_max = u->response_body_max,
	    .cb = on_response,
	    .on_head = response_matches_attempt,
	    .arg = att,
	};

	att->u = u;
	att->key.call_id = call_id;
	att->key.attempt = ef->attempt;
	agb_attempt_format(&att->key.attempt, attempt);
	snprintf(epoch, sizeof(epoch), "%016llx",
	    (unsigned long long)att->key.attempt.epoch);
	headers = agb_xcalloc(req->headers_len + 2, sizeof(*headers));
	if (req->headers_len > 0)
		memcpy(
		    headers, req->headers, req->headers_len * sizeof(*headers));
	headers[req->headers_len].name = "agatebeam-attempt";
	headers[req->headers_len].value = attempt;
	headers[req->headers_len + 1].name = "agatebeam-epoch";
	headers[req->headers_len + 1].value = epoch;
	r.headers = headers;
	r.headers_len = req->headers_len + 2;
	HASH_ADD(hh, u->attempts, key, sizeof(att->key), att);
	u->active++;
	att->call = agb_httpc_request(u->httpc, &r);
	free(headers);
}

static void
report_aborted(uv_timer_t *h)
{
	struct agb_upstream *const u = h->data;
	struct agb_event ev;
	struct upstream_attempt *att, *next;

	att = u->aborted;
	u->aborted = NULL;
	for (; att != NULL; att = next) {
		next = att->next_aborted;
		memset(&ev, 0, sizeof(ev));
		ev.u.upstream_result.result = att->abort_result;
		ev.u.upstream_result.reason = AGB_REASON_CANCELLED;
		attempt_finish(att, &ev, NULL);
	}
}

void
agb_upstream_abort(
    struct agb_upstream *u, uint64_t call_id, const struct agb_attempt *a)
{
	struct attempt_key key;
	struct upstream_attempt *att;

	memset(&key, 0, sizeof(key));
	key.call_id = call_id;
	key.attempt = *a;
	HASH_FIND(hh, u->attempts, &key, sizeof(key), att);
	if (att == NULL)
		return;
	HASH_DEL(u->attempts, att);
	att->abort_result = agb_httpc_cancel(att->call) ? AGB_RESULT_NOT_STARTED
							: AGB_RESULT_LOST;
	att->call = NULL;
	att->next_aborted = u->aborted;
	u->aborted = att;
	uv_timer_start(&u->abort_timer, report_aborted, 0, 0);
}

struct agb_httpc_bytes
agb_upstream_bytes(const struct agb_upstream *u)
{
	return agb_httpc_bytes(u->httpc);
}

struct agb_upstream *
agb_upstream_new(uv_loop_t *loop, unsigned connections_max,
    size_t response_body_max, agb_upstream_cb cb, void *arg)
{
	struct agb_upstream *const u = agb_xcalloc(1, sizeof(*u));

	u->loop = loop;
	u->httpc = agb_httpc_new(loop, connections_max);
	u->response_body_max = response_body_max;
	u->cb = cb;
	u->arg = arg;
	uv_timer_init(loop, &u->abort_timer);
	u->abort_timer.data = u;
	return u;
}

size_t
agb_upstream_attempts_active(const struct agb_upstream *u)
{
	return u->active;
}

static void
abort_timer_closed(uv_handle_t *h)
{
	free(h->data);
}

void
agb_upstream_free(struct agb_upstream *u)
{
	struct upstream_attempt *att, *next;

	if (u == NULL)
		return;
	agb_httpc_free(u->httpc);
	att = u->attempts;
	HASH_CLEAR(hh, u->attempts);
	for (; att != NULL; att = next) {
		next = att->hh.next;
		free(att);
	}
	while ((att = u->aborted) != NULL) {
		u->aborted = att->next_aborted;
		free(att);
	}
	uv_close((uv_handle_t *)&u->abort_timer, abort_timer_closed);
}

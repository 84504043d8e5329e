#include "upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "edge_parse.h"
#include "mem.h"

/* Time for a runner to answer when the effect gives none. */
#define TIMEOUT_MS 60000U
/* Time until the request is written. A runner that takes no connection in it
 * is given up while the request can still go elsewhere. */
#define CONNECT_TIMEOUT_MS 1000U

struct send_key {
	uint64_t call_id;
	struct agb_attempt attempt;
};

/**
 * struct send - one attempt
 * @call: NULL once it has been cancelled
 */
struct send {
	struct send_key key;
	UT_hash_handle hh;
	struct send *next_aborted;
	struct agb_upstream *u;
	struct agb_httpc_call *call;
	enum agb_result aborted;
};

/**
 * struct agb_upstream - the client
 * @aborted: attempts whose end is still to be told
 * @later: tells them, outside of agb_upstream_abort()
 */
struct agb_upstream {
	uv_loop_t *loop;
	struct agb_httpc *httpc;
	size_t answer_max;
	agb_upstream_cb cb;
	void *arg;
	struct send *sends;
	struct send *aborted;
	size_t active;
	uv_timer_t later;
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

/* Return: the only header line with this name, or NULL. */
static const char *
only_header(const struct agb_httpc_res *res, const char *name)
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

/* An answer without the attempt's id may belong to another request. Further
 * answers on its connection would too, so that it is closed. */
static bool
is_echoed(void *arg, const struct agb_httpc_res *res)
{
	const struct send *const s = arg;
	const char *const echo = only_header(res, "agatebeam-attempt");
	struct agb_attempt a;

	return echo != NULL && agb_attempt_parse(echo, &a) &&
	    a.epoch == s->key.attempt.epoch && a.seq == s->key.attempt.seq;
}

static bool
is_refusal(const struct agb_httpc_res *res)
{
	const char *const outcome = only_header(res, "agatebeam-outcome");

	return res->http_status == 503 && outcome != NULL &&
	    strcmp(outcome, "not-run") == 0;
}

static void
judge(const struct agb_httpc_res *res, struct agb_ev_upstream *out)
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
	case AGB_HTTPC_WHOLE:
		break;
	}
	if (is_refusal(res)) {
		out->result = AGB_RESULT_NOT_STARTED;
		out->reason = AGB_REASON_UPSTREAM_REFUSED;
	} else {
		out->result = AGB_RESULT_OK;
		out->reason = AGB_REASON_NONE;
	}
}

static bool
named_by_connection(const struct agb_httpc_res *res, const char *name)
{
	const struct agb_httpc_header *h;
	size_t i;

	for (i = 0; i < res->headers_len; i++) {
		h = &res->headers[i];
		if (strcmp(h->name, "connection") == 0 &&
		    agb_edge_in_list(
			h->value, strlen(h->value), name, strlen(name)))
			return true;
	}
	return false;
}

static void
finish(struct send *s, struct agb_event *ev, const struct agb_edge_answer *ans)
{
	struct agb_upstream *const u = s->u;

	ev->type = AGB_EV_UPSTREAM;
	ev->call_id = s->key.call_id;
	ev->u.upstream.call_id = s->key.call_id;
	ev->u.upstream.attempt = s->key.attempt;
	free(s);
	u->active--;
	u->cb(u->arg, ev, ans);
}

static void
on_res(void *arg, const struct agb_httpc_res *res)
{
	struct send *const s = arg;
	struct agb_event ev = {0};
	struct agb_edge_answer ans = {0};
	struct agb_httpc_header *headers;
	size_t i;

	HASH_DEL(s->u->sends, s);
	judge(res, &ev.u.upstream);
	if (ev.u.upstream.result != AGB_RESULT_OK) {
		finish(s, &ev, NULL);
		return;
	}
	headers = agb_xcalloc(res->headers_len, sizeof(*headers));
	for (i = 0; i < res->headers_len; i++) {
		if (!agb_edge_is_hop(
			res->headers[i].name, strlen(res->headers[i].name)) &&
		    !named_by_connection(res, res->headers[i].name))
			headers[ans.headers_len++] = res->headers[i];
	}
	ans.http_status = res->http_status;
	ans.headers = headers;
	ans.body = res->body;
	ans.body_len = res->body_len;
	finish(s, &ev, &ans);
	free(headers);
}

void
agb_upstream_send(struct agb_upstream *u, uint64_t call_id,
    const struct agb_ef_upstream *ef, const struct agb_edge_request *req)
{
	struct send *const s = agb_xcalloc(1, sizeof(*s));
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
	    .body_max = u->answer_max,
	    .cb = on_res,
	    .on_head = is_echoed,
	    .arg = s,
	};

	s->u = u;
	s->key.call_id = call_id;
	s->key.attempt = ef->attempt;
	agb_attempt_format(&s->key.attempt, attempt);
	snprintf(epoch, sizeof(epoch), "%016llx",
	    (unsigned long long)s->key.attempt.epoch);
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
	HASH_ADD(hh, u->sends, key, sizeof(s->key), s);
	u->active++;
	s->call = agb_httpc_request(u->httpc, &r);
	free(headers);
}

static void
on_later(uv_timer_t *h)
{
	struct agb_upstream *const u = h->data;
	struct agb_event ev;
	struct send *s, *next;

	s = u->aborted;
	u->aborted = NULL;
	for (; s != NULL; s = next) {
		next = s->next_aborted;
		memset(&ev, 0, sizeof(ev));
		ev.u.upstream.result = s->aborted;
		ev.u.upstream.reason = AGB_REASON_CANCELLED;
		finish(s, &ev, NULL);
	}
}

void
agb_upstream_abort(
    struct agb_upstream *u, uint64_t call_id, const struct agb_attempt *a)
{
	struct send_key key;
	struct send *s;

	memset(&key, 0, sizeof(key));
	key.call_id = call_id;
	key.attempt = *a;
	HASH_FIND(hh, u->sends, &key, sizeof(key), s);
	if (s == NULL)
		return;
	HASH_DEL(u->sends, s);
	s->aborted = agb_httpc_cancel(s->call) ? AGB_RESULT_NOT_STARTED
					       : AGB_RESULT_LOST;
	s->call = NULL;
	s->next_aborted = u->aborted;
	u->aborted = s;
	uv_timer_start(&u->later, on_later, 0, 0);
}

struct agb_httpc_bytes
agb_upstream_bytes(const struct agb_upstream *u)
{
	return agb_httpc_bytes(u->httpc);
}

struct agb_upstream *
agb_upstream_new(uv_loop_t *loop, unsigned connections_max, size_t answer_max,
    agb_upstream_cb cb, void *arg)
{
	struct agb_upstream *const u = agb_xcalloc(1, sizeof(*u));

	u->loop = loop;
	u->httpc = agb_httpc_new(loop, connections_max);
	u->answer_max = answer_max;
	u->cb = cb;
	u->arg = arg;
	uv_timer_init(loop, &u->later);
	u->later.data = u;
	return u;
}

size_t
agb_upstream_active(const struct agb_upstream *u)
{
	return u->active;
}

static void
later_closed(uv_handle_t *h)
{
	free(h->data);
}

void
agb_upstream_free(struct agb_upstream *u)
{
	struct send *s, *next;

	if (u == NULL)
		return;
	agb_httpc_free(u->httpc);
	s = u->sends;
	HASH_CLEAR(hh, u->sends);
	for (; s != NULL; s = next) {
		next = s->hh.next;
		free(s);
	}
	while ((s = u->aborted) != NULL) {
		u->aborted = s->next_aborted;
		free(s);
	}
	uv_close((uv_handle_t *)&u->later, later_closed);
}

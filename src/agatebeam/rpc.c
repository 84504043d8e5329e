#include "rpc.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "mem.h"
#include "rpc_internal.h"

#define SWEEP_INTERVAL_MS 1000
/* Messages that cannot be encoded are logged at most this often: they may be made
 * as fast as the loop runs. */
#define ENCODE_LOG_INTERVAL_MS 1000

void
agb_rpc_log(struct agb_rpc *r, enum agb_log_level level, const char *event,
    const char *fmt, ...)
{
	char line[256];
	va_list ap;

	if (r->cbs.log == NULL)
		return;
	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	r->cbs.log(r->arg, level, event, line);
}

void
agb_rpc_note_encode_failure(
    struct agb_rpc *r, const char *peer, agb_x_proc proc)
{
	const uint64_t now = uv_now(r->loop);

	r->stats.encode_failures++;
	if (now < r->encode_log_at_ms) {
		r->encode_unlogged++;
		return;
	}
	agb_rpc_log(r, AGB_LOG_ERROR, "rpc-encode-failed",
	    "peer=%s proc=%d suppressed=%" PRIu64, peer, (int)proc,
	    r->encode_unlogged);
	r->encode_log_at_ms = now + ENCODE_LOG_INTERVAL_MS;
	r->encode_unlogged = 0;
}

uint64_t
agb_rpc_random(struct agb_rpc *r)
{
	r->rng_state ^= r->rng_state << 13;
	r->rng_state ^= r->rng_state >> 7;
	r->rng_state ^= r->rng_state << 17;
	return r->rng_state;
}

struct agb_rpc_traffic_entry *
agb_rpc_traffic_get(struct agb_rpc *r, const char *addr)
{
	struct agb_rpc_traffic_entry *t;

	HASH_FIND_STR(r->traffic, addr, t);
	if (t != NULL || HASH_COUNT(r->traffic) >= 2 * AGB_RPC_PEERS_MAX)
		return t;
	t = agb_xcalloc(1, sizeof(*t));
	agb_str_copy(t->counters.addr, sizeof(t->counters.addr), addr);
	HASH_ADD_STR(r->traffic, counters.addr, t);
	return t;
}

/* Runs before the loop polls for I/O: writes the calls and replies queued since
 * the last time, with one write per connection. */
static void
on_prepare(uv_prepare_t *h)
{
	struct agb_rpc *const r = h->data;
	struct agb_rpc_conn *conn, *next;

	agb_rpc_call_deliver_failed(r);
	while (r->dirty && !r->closing) {
		r->dirty = false;
		for (conn = r->conns; conn != NULL; conn = next) {
			next = conn->next;
			agb_rpc_conn_resume(conn);
			agb_rpc_conn_flush(conn);
		}
	}
	if (r->failed == NULL && !r->closing)
		uv_idle_stop(&r->idle);
}

static void
on_sweep(uv_timer_t *t)
{
	struct agb_rpc *const r = t->data;
	const uint64_t now = uv_now(r->loop);
	struct agb_rpc_conn *conn, *next;
	struct agb_rpc_peer *p, *next_peer;

	for (conn = r->conns; conn != NULL; conn = next) {
		next = conn->next;
		agb_rpc_conn_sweep(conn, now);
	}
	for (p = r->peers; p != NULL; p = next_peer) {
		next_peer = p->hh.next;
		agb_rpc_peer_sweep(p, now);
	}
}

void
agb_rpc_set_allowed_ips(struct agb_rpc *r, const agb_addr *ips, size_t len)
{
	free(r->allowed);
	r->allowed = agb_xcalloc(len, sizeof(*r->allowed));
	if (len > 0)
		memcpy(r->allowed, ips, len * sizeof(*r->allowed));
	r->allowed_len = len;
}

const char *
agb_rpc_addr(const struct agb_rpc *r)
{
	return r->addr;
}

const struct agb_rpc_stats *
agb_rpc_stats(const struct agb_rpc *r)
{
	return &r->stats;
}

void
agb_rpc_backlog(const struct agb_rpc *r, size_t *bytes, size_t *largest)
{
	const struct agb_rpc_conn *conn;
	size_t n;

	*bytes = *largest = 0;
	for (conn = r->conns; conn != NULL; conn = conn->next) {
		if (conn->closing)
			continue;
		n = agb_rpc_conn_backlog(conn);
		*bytes += n;
		*largest = n > *largest ? n : *largest;
	}
}

size_t
agb_rpc_traffic(
    const struct agb_rpc *r, struct agb_rpc_traffic *out, size_t max)
{
	const struct agb_rpc_traffic_entry *t;
	size_t n = 0;

	for (t = r->traffic; t != NULL && n < max; t = t->hh.next)
		out[n++] = t->counters;
	return n;
}

static void
on_handle_closed(uv_handle_t *h)
{
	struct agb_rpc *const r = h->data;

	if (--r->open_handles == 0)
		free(r);
}

struct agb_rpc *
agb_rpc_new(uv_loop_t *loop, const char *listen_addr,
    const struct agb_rpc_cbs *cbs, void *arg)
{
	struct agb_rpc *const r = agb_xcalloc(1, sizeof(*r));

	r->loop = loop;
	r->cbs = *cbs;
	r->arg = arg;
	uv_tcp_init(loop, &r->listener);
	uv_prepare_init(loop, &r->prepare);
	uv_idle_init(loop, &r->idle);
	uv_timer_init(loop, &r->sweep);
	r->listener.data = r->prepare.data = r->idle.data = r->sweep.data = r;
	r->open_handles = 4;
	/* Seeds the jitter of reconnections and the first xid. After a restart,
	 * xids must differ from those of calls that a peer still answers. */
	r->rng_state = uv_hrtime() | 1;
	r->next_xid = (uint32_t)agb_rpc_random(r);
	if (!agb_rpc_conn_listen(r, listen_addr)) {
		agb_rpc_free(r);
		return NULL;
	}
	uv_prepare_start(&r->prepare, on_prepare);
	uv_unref((uv_handle_t *)&r->prepare);
	uv_timer_start(
	    &r->sweep, on_sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
	uv_unref((uv_handle_t *)&r->sweep);
	return r;
}

static void
free_calls(struct agb_rpc_outbound_call **list)
{
	struct agb_rpc_outbound_call *call, *next;

	for (call = *list; call != NULL; call = next) {
		next = call->next;
		agb_rpc_call_free(call);
	}
	*list = NULL;
}

static void
free_tables(struct agb_rpc *r)
{
	struct agb_rpc_peer *p = r->peers, *next_peer;
	struct agb_rpc_traffic_entry *t = r->traffic, *next_traffic;

	free_calls(&r->failed);
	free_calls(&r->unqueued);
	/* HASH_CLEAR() does not change the links of the items. */
	HASH_CLEAR(hh, r->peers);
	for (; p != NULL; p = next_peer) {
		next_peer = p->hh.next;
		free(p);
	}
	HASH_CLEAR(hh, r->traffic);
	for (; t != NULL; t = next_traffic) {
		next_traffic = t->hh.next;
		free(t);
	}
}

void
agb_rpc_free(struct agb_rpc *r)
{
	struct agb_rpc_conn *conn, *next;

	if (r == NULL)
		return;
	r->closing = true;
	/* Closing a connection moves its calls to the list of failed calls. Calls
	 * without a connection are in that list or in that of unqueued ones. */
	for (conn = r->conns; conn != NULL; conn = next) {
		next = conn->next;
		agb_rpc_conn_close(conn);
	}
	free_tables(r);
	free(r->allowed);
	uv_close((uv_handle_t *)&r->listener, on_handle_closed);
	uv_close((uv_handle_t *)&r->prepare, on_handle_closed);
	uv_close((uv_handle_t *)&r->idle, on_handle_closed);
	uv_close((uv_handle_t *)&r->sweep, on_handle_closed);
}

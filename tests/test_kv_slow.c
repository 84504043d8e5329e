/**
 * DOC: test_kv_slow
 *
 * The platform's store behind a slow link. A response that makes progress is
 * waited for; one that stops is given up in time; a failed poll is repeated at
 * growing intervals. A client that gives up a response that is still arriving
 * and asks again keeps the link full, and nobody on it gets the value.
 */

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "http_part.h"
#include "kv.h"
#include "loop.h"
#include "mem.h"
#include "suite.h"
#include "wf_follow.h"
#include "wf_giveup.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

#define TICK_MS 10
#define ANSWERS_MAX 10
#define DELIVERIES_MAX 4
/* Tolerance of the measured times, for a busy machine. */
#define LATE_MS 700
/* Revision before the first event of a watch. */
#define FIRST_REVISION 9

/**
 * struct answer - how a server answers a request
 * @status: 0 is no response at all
 * @takes_ms: time over which the bytes are sent; 0 sends as the link allows
 * @stops_at: part of the response, in percent, after which nothing more is
 *	sent; 0 sends all
 */
struct answer {
	int status;
	uint32_t takes_ms;
	unsigned stops_at;
};

enum share {
	SHARE_EQUALLY, /* all transfers advance together */
	SHARE_IN_TURN, /* one transfer after the other */
};

/**
 * struct link - limits what the servers behind it send in a unit of time
 * @bytes_per_ms: 0 is no limit
 * @sent: bytes so far
 */
struct link {
	uv_timer_t timer;
	uint64_t ticked_ms;
	uint64_t bytes_per_ms;
	enum share share;
	uint64_t sent;
	struct transfer *transfers;
};

/* A response that is being sent. */
struct transfer {
	struct link *link;
	struct http_conn *conn;
	struct transfer *prev, *next;
	struct answer answer;
	uint64_t begun_ms;
	char *bytes;
	size_t len;
	size_t sent;
};

/**
 * struct client - a client of the store with a server of its own
 * @follow: NULL unless a follower uses the client
 * @answers: answers to the requests in order; later requests are not answered,
 *	or as the first one if @repeats and they equal the first one
 * @watch_status: status of all polls; 0 as @answers tells
 * @value_len: length of the encoded value in each answer
 * @pages: number of pages of a full read
 * @requests: all requests so far
 * @repeated: those equal to the first one; @repeated_ms: their times, since
 *	@begun_ms
 * @deliveries: deliveries with events, or results, so far
 * @delivered_ms: times of the deliveries, since @begun_ms
 * @give_ups: polls and reads given up before the first delivery, of which
 *	@give_up is the last
 */
struct client {
	uv_loop_t *loop;
	struct link *link;
	struct http_server *server;
	struct agb_store *store;
	struct wf_follow *follow;
	const struct answer *answers;
	size_t value_len;
	uint64_t begun_ms;
	uint64_t repeated_ms[64];
	uint64_t delivered_ms[DELIVERIES_MAX];
	size_t kvs;
	struct agb_store_give_up give_up;
	char first_path[128];
	unsigned pages;
	unsigned requests;
	unsigned repeated;
	unsigned deliveries;
	unsigned give_ups;
	int watch_status;
	enum agb_store_status status;
	bool repeats;
};

static size_t
min_size(size_t a, size_t b)
{
	return a < b ? a : b;
}

static uint64_t
elapsed_ms(const struct client *c)
{
	return uv_now(c->loop) - c->begun_ms;
}

static void
free_transfer(struct transfer *t)
{
	DL_DELETE(t->link->transfers, t);
	free(t->bytes);
	free(t);
}

static void
on_conn_closed(void *arg, void *user_data)
{
	(void)arg;
	free_transfer(user_data);
}

/* Number of bytes that may have been sent by @now if the link is free. */
static size_t
sendable(const struct transfer *t, uint64_t now)
{
	const uint64_t ms = now - t->begun_ms;
	size_t len = t->len;

	if (t->answer.stops_at > 0)
		len = len * t->answer.stops_at / 100;
	if (ms < t->answer.takes_ms)
		len = min_size(len, (size_t)(t->len * ms / t->answer.takes_ms));
	return len;
}

static void
advance_transfer(struct transfer *t, size_t len)
{
	struct http_conn *const conn = t->conn;

	http_write_raw(conn, t->bytes + t->sent, len);
	t->sent += len;
	t->link->sent += len;
	if (t->sent < t->len)
		return;
	http_set_user_data(conn, NULL);
	free_transfer(t);
	http_finish_raw(conn);
}

static void
on_tick(uv_timer_t *timer)
{
	struct link *const l = timer->data;
	const uint64_t now = uv_now(timer->loop);
	size_t budget = l->bytes_per_ms > 0
	    ? (size_t)(l->bytes_per_ms * (now - l->ticked_ms))
	    : SIZE_MAX;
	struct transfer *t, *next;
	size_t count, n;

	l->ticked_ms = now;
	DL_COUNT(l->transfers, t, count);
	for (t = l->transfers; t != NULL; t = next, count--) {
		next = t->next;
		n = l->share == SHARE_EQUALLY ? budget / count : budget;
		n = min_size(n, sendable(t, now) - t->sent);
		budget -= n;
		if (n > 0)
			advance_transfer(t, n);
	}
}

static void
link_open(struct link *l, uv_loop_t *loop)
{
	memset(l, 0, sizeof(*l));
	uv_timer_init(loop, &l->timer);
	l->timer.data = l;
	l->ticked_ms = uv_now(loop);
	uv_timer_start(&l->timer, on_tick, TICK_MS, TICK_MS);
}

static void
write_item(FILE *f, size_t value_len, unsigned number)
{
	size_t i;

	fprintf(f, "{\"key\":\"a%u\",\"value\":\"", number);
	for (i = 0; i < value_len / 4; i++)
		fputs("AAAA", f);
	fprintf(f, "\",\"revision\":%u,\"created_rev\":1,\"lease_id\":0}",
	    FIRST_REVISION + number);
}

static char *
format_body(const struct client *c, const char *path, int status, size_t *len)
{
	const bool is_watch = strncmp(path, "/kv-watch", 9) == 0;
	char *body;
	FILE *f;

	f = open_memstream(&body, len);
	if (f == NULL)
		abort();
	if (status == 200 && strncmp(path, "/kv-key", 7) == 0) {
		write_item(f, c->value_len, c->requests);
	} else if (status == 200) {
		fputs(is_watch ? "{\"events\":[" : "{\"items\":[", f);
		write_item(f, c->value_len, c->requests);
		fprintf(f, "],\"has_more\":%s,\"at\":%u,\"revision\":1}",
		    !is_watch && c->requests < c->pages ? "true" : "false",
		    FIRST_REVISION + c->requests);
	} else {
		fputs("{}", f);
	}
	fclose(f);
	return body;
}

static void
begin_transfer(struct client *c, struct http_conn *conn, const char *path,
    struct answer answer)
{
	struct transfer *const t = agb_xcalloc(1, sizeof(*t));
	size_t body_len;
	char *const body = format_body(c, path, answer.status, &body_len);
	FILE *f;

	f = open_memstream(&t->bytes, &t->len);
	if (f == NULL)
		abort();
	fprintf(f, "HTTP/1.1 %d Answer\r\nContent-Length: %zu\r\n\r\n",
	    answer.status, body_len);
	fwrite(body, 1, body_len, f);
	fclose(f);
	free(body);
	t->link = c->link;
	t->conn = conn;
	t->answer = answer;
	t->begun_ms = uv_now(c->loop);
	DL_APPEND(c->link->transfers, t);
	http_set_user_data(conn, t);
}

static void
on_request(void *arg, struct http_conn *conn, const struct http_request *m)
{
	struct client *const c = arg;
	struct answer answer = {0};
	const unsigned i = c->requests++;
	bool equal;

	if (i == 0)
		agb_str_copy(c->first_path, sizeof(c->first_path), m->path);
	equal = strcmp(c->first_path, m->path) == 0;
	if (equal && c->repeated < LEN(c->repeated_ms))
		c->repeated_ms[c->repeated] = elapsed_ms(c);
	c->repeated += equal;
	if (c->repeats && equal)
		answer = c->answers[0];
	else if (!c->repeats && i < ANSWERS_MAX)
		answer = c->answers[i];
	if (c->watch_status != 0 && strncmp(m->path, "/kv-watch", 9) == 0)
		answer.status = c->watch_status;
	if (answer.status != 0)
		begin_transfer(c, conn, m->path, answer);
}

static void
note_delivery(struct client *c)
{
	if (c->deliveries < LEN(c->delivered_ms))
		c->delivered_ms[c->deliveries] = elapsed_ms(c);
	c->deliveries++;
}

static void
on_result(void *arg, uint64_t tag, struct agb_store_result *res)
{
	struct client *const c = arg;

	(void)tag;
	if (c->follow != NULL) {
		wf_follow_handle_result(c->follow, res);
		return;
	}
	c->status = res->status;
	c->kvs = res->kvs_len;
	note_delivery(c);
}

static void
on_changes(void *arg, uint64_t tag, struct agb_store_kv *kvs, size_t len,
    uint64_t revision, bool broken)
{
	struct client *const c = arg;

	(void)tag;
	if (c->follow != NULL) {
		wf_follow_handle_watch(c->follow, kvs, len, revision, broken);
		return;
	}
	CU_ASSERT_FALSE(broken);
	if (len > 0)
		note_delivery(c);
}

static void
on_give_up(void *arg, const struct agb_store_give_up *g)
{
	struct client *const c = arg;

	CU_ASSERT_STRING_EQUAL(g->prefix, "a");
	if (c->deliveries > 0)
		return;
	c->give_ups++;
	c->give_up = *g;
}

static void
client_open(struct client *c, uv_loop_t *loop, struct link *l)
{
	c->loop = loop;
	c->link = l;
	c->begun_ms = uv_now(loop);
	c->server =
	    http_server_new(loop, "127.0.0.1:0", on_request, on_conn_closed, c);
	CU_ASSERT_PTR_NOT_NULL_FATAL(c->server);
	c->store = platform_kv_new(
	    loop, http_server_addr(c->server), on_result, on_changes, c);
	c->store->give_up_cb = on_give_up;
}

static void
client_close(struct client *c)
{
	wf_follow_free(c->follow);
	c->store->ops->close(c->store);
	http_server_free(c->server);
}

static void
start_watch(struct client *c)
{
	c->store->ops->watch(c->store, 1, "a", "b", FIRST_REVISION + 1);
}

static void
on_timeout(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

/* Runs the loop until each client has @deliveries, or for @ms. */
static void
run_clients(uv_loop_t *loop, const struct client *clients, size_t len,
    const unsigned *deliveries, uint32_t ms)
{
	bool expired = false, missing = true;
	uv_timer_t timer;
	size_t i;

	uv_timer_init(loop, &timer);
	timer.data = &expired;
	uv_timer_start(&timer, on_timeout, ms, 0);
	while (missing && !expired) {
		uv_run(loop, UV_RUN_ONCE);
		missing = false;
		for (i = 0; i < len; i++)
			missing |= clients[i].deliveries < deliveries[i];
	}
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
}

enum call_kind {
	WATCH,
	READ_PREFIX,
	READ_KEY,
	WRITE,
	KEEP_LEASE,
};

/**
 * struct slow_case - one client, whose server answers slowly
 * @timeout_ms: limit that the caller gives, except for a watch
 * @from_ms, @to_ms: when the last delivery must happen
 * @apart_ms: longest time between the first delivery and the last; 0 does not
 *	matter
 * @repeated: number of equal requests
 * @give_up: reason for which one poll or read is reported as given up; 0 is
 *	none
 * @total_ms: limit of the client for a poll or page; 0 is the default
 */
struct slow_case {
	const char *name;
	uint64_t from_ms;
	uint64_t to_ms;
	uint64_t apart_ms;
	size_t kvs;
	enum call_kind kind;
	uint32_t timeout_ms;
	uint32_t total_ms;
	unsigned pages;
	unsigned deliveries;
	unsigned repeated;
	enum agb_store_give_up_reason give_up;
	enum agb_store_status status;
	struct answer answers[ANSWERS_MAX];
};

static const struct slow_case slow_cases[] = {
    {.name = "watch: a slow response is waited for",
	.kind = WATCH,
	.answers = {{200, 3200, 0}},
	.deliveries = 1,
	.from_ms = 3000,
	.to_ms = 3200 + LATE_MS,
	.repeated = 1},
    {.name = "watch: a response that stops is given up 1.5 s later",
	.kind = WATCH,
	.answers = {{200, 200, 50}, {200, 0, 0}},
	.deliveries = 1,
	.from_ms = 1500,
	.to_ms = 1800 + LATE_MS,
	.repeated = 2,
	.give_up = AGB_STORE_STALLED},
    {.name = "watch: a response that stops late is given up 1.5 s later",
	.kind = WATCH,
	.answers = {{200, 4000, 50}, {200, 0, 0}},
	.deliveries = 1,
	.from_ms = 3400,
	.to_ms = 3700 + LATE_MS,
	.repeated = 2,
	.give_up = AGB_STORE_STALLED},
    {.name = "watch: a response that trickles is given up",
	.kind = WATCH,
	.total_ms = 1000,
	.answers = {{200, 600000, 0}, {200, 0, 0}},
	.deliveries = 1,
	.from_ms = 1000,
	.to_ms = 1300 + LATE_MS,
	.repeated = 2,
	.give_up = AGB_STORE_TOO_SLOW},
    {.name = "watch: no response",
	.kind = WATCH,
	.answers = {{0, 0, 0}, {200, 0, 0}},
	.deliveries = 1,
	.from_ms = 2500,
	.to_ms = 2700 + LATE_MS,
	.repeated = 2,
	.give_up = AGB_STORE_NO_RESPONSE},
    {.name = "watch: a success ends the growth of the delays",
	.kind = WATCH,
	.answers = {{503, 0, 0}, {503, 0, 0}, {503, 0, 0}, {200, 0, 0},
	    {503, 0, 0}, {200, 0, 0}, {503, 0, 0}, {200, 0, 0}, {503, 0, 0},
	    {200, 0, 0}},
	.deliveries = 4,
	.from_ms = 0,
	.to_ms = 2000 + LATE_MS,
	.apart_ms = 1000,
	.repeated = 4},
    {.name = "full read: slow pages are waited for",
	.kind = READ_PREFIX,
	.timeout_ms = 600,
	.pages = 3,
	.answers = {{200, 1000, 0}, {200, 0, 0}, {200, 1500, 0}},
	.deliveries = 1,
	.from_ms = 2400,
	.to_ms = 2600 + LATE_MS,
	.repeated = 1,
	.status = AGB_STORE_OK,
	.kvs = 3},
    {.name = "full read: a page that stops ends it",
	.kind = READ_PREFIX,
	.timeout_ms = 600,
	.pages = 2,
	.answers = {{200, 0, 0}, {200, 1600, 50}},
	.deliveries = 1,
	.from_ms = 1300,
	.to_ms = 1500 + LATE_MS,
	.repeated = 1,
	.give_up = AGB_STORE_STALLED,
	.status = AGB_STORE_LOST},
    {.name = "full read: a page that trickles ends it",
	.kind = READ_PREFIX,
	.timeout_ms = 600,
	.total_ms = 1000,
	.pages = 2,
	.answers = {{200, 600000, 0}},
	.deliveries = 1,
	.from_ms = 1000,
	.to_ms = 1000 + LATE_MS,
	.repeated = 1,
	.give_up = AGB_STORE_TOO_SLOW,
	.status = AGB_STORE_LOST},
    {.name = "full read: no response",
	.kind = READ_PREFIX,
	.timeout_ms = 600,
	.answers = {{0}},
	.deliveries = 1,
	.from_ms = 600,
	.to_ms = 600 + LATE_MS,
	.repeated = 1,
	.give_up = AGB_STORE_NO_RESPONSE,
	.status = AGB_STORE_LOST},
    {.name = "one key: the limit covers the whole response",
	.kind = READ_KEY,
	.timeout_ms = 600,
	.answers = {{200, 2000, 0}},
	.deliveries = 1,
	.from_ms = 600,
	.to_ms = 600 + LATE_MS,
	.repeated = 1,
	.status = AGB_STORE_LOST},
    {.name = "write: the limit covers the whole response",
	.kind = WRITE,
	.timeout_ms = 600,
	.answers = {{200, 2000, 0}},
	.deliveries = 1,
	.from_ms = 600,
	.to_ms = 600 + LATE_MS,
	.repeated = 1,
	.status = AGB_STORE_LOST},
    {.name = "lease: the limit covers the whole response",
	.kind = KEEP_LEASE,
	.timeout_ms = 600,
	.answers = {{200, 2000, 0}},
	.deliveries = 1,
	.from_ms = 600,
	.to_ms = 600 + LATE_MS,
	.repeated = 1,
	.status = AGB_STORE_LOST},
};

static void
start_call(struct client *c, enum call_kind kind, uint32_t timeout_ms)
{
	struct agb_store_op op;

	switch (kind) {
	case WATCH:
		start_watch(c);
		return;
	case READ_PREFIX:
		agb_store_op_init_range(&op, "a", "b", 0);
		break;
	case READ_KEY:
		agb_store_op_init_range(&op, "a", NULL, 0);
		break;
	case WRITE:
		agb_store_op_init(&op, AGB_STORE_TXN);
		agb_store_op_add_put(&op, "a", "v", 1, 0);
		break;
	case KEEP_LEASE:
		agb_store_op_init(&op, AGB_STORE_LEASE_KEEPALIVE);
		op.lease = 7;
		break;
	}
	c->store->ops->call(c->store, 1, &op, timeout_ms);
}

static void
start_slow_case(const struct slow_case *sc, struct client *c)
{
	struct platform_kv_limits limits = platform_kv_default_limits;

	if (sc->total_ms > 0)
		limits.total_ms = sc->total_ms;
	platform_kv_set_limits(c->store, &limits);
	start_call(c, sc->kind, sc->timeout_ms);
}

static void
check_give_up(const struct slow_case *sc, const struct client *c)
{
	const struct agb_store_give_up *const g = &c->give_up;

	CU_ASSERT_EQUAL(c->give_ups, sc->give_up != 0);
	if (sc->give_up == 0 || c->give_ups == 0)
		return;
	CU_ASSERT_EQUAL(g->reason, sc->give_up);
	CU_ASSERT_EQUAL(g->read == AGB_STORE_POLL, sc->kind == WATCH);
	CU_ASSERT_EQUAL(g->received > 0, g->reason != AGB_STORE_NO_RESPONSE);
	CU_ASSERT(g->elapsed_ms >= 600);
	CU_ASSERT(g->elapsed_ms <= c->delivered_ms[0]);
}

static void
check_slow_case(const struct slow_case *sc, const struct client *c)
{
	const uint64_t ms = c->delivered_ms[sc->deliveries - 1];

	printf("\n  %s: %u deliveries, last after %" PRIu64
	       " ms, %u equal requests of %u, status %d",
	    sc->name, c->deliveries, ms, c->repeated, c->requests, c->status);
	CU_ASSERT_EQUAL(c->deliveries, sc->deliveries);
	CU_ASSERT(ms >= sc->from_ms);
	CU_ASSERT(ms <= sc->to_ms);
	if (sc->apart_ms > 0)
		CU_ASSERT(ms - c->delivered_ms[0] <= sc->apart_ms);
	CU_ASSERT_EQUAL(c->repeated, sc->repeated);
	check_give_up(sc, c);
	if (sc->kind == WATCH)
		return;
	CU_ASSERT_EQUAL(c->status, sc->status);
	if (sc->status == AGB_STORE_OK)
		CU_ASSERT_EQUAL(c->kvs, sc->kvs);
}

/* Guards against a limit of a read that does not tell a response that arrives
 * slowly from one that does not arrive, and against a limit of a write or lease
 * that such a response extends. The cases run at the same time. */
static void
slow_is_not_stalled(void)
{
	struct client clients[LEN(slow_cases)] = {{0}};
	unsigned deliveries[LEN(slow_cases)];
	struct link links[LEN(slow_cases)];
	uv_loop_t loop;
	size_t i;

	uv_loop_init(&loop);
	for (i = 0; i < LEN(slow_cases); i++) {
		clients[i].answers = slow_cases[i].answers;
		clients[i].pages = slow_cases[i].pages;
		clients[i].value_len = 20000;
		deliveries[i] = slow_cases[i].deliveries;
		link_open(&links[i], &loop);
		client_open(&clients[i], &loop, &links[i]);
		start_slow_case(&slow_cases[i], &clients[i]);
	}
	run_clients(&loop, clients, LEN(clients), deliveries, 6000);
	for (i = 0; i < LEN(slow_cases); i++) {
		check_slow_case(&slow_cases[i], &clients[i]);
		client_close(&clients[i]);
		uv_close((uv_handle_t *)&links[i].timer, NULL);
	}
	loop_close(&loop);
}

#define SHARED_CLIENTS 12
#define SHARED_VALUE ((size_t)60 * 1000)
/* All values together take longer than the limit of a poll, 2.5 s. */
#define SHARED_TOTAL_MS 3200

/* Lets many clients get the same value over one link; each must get it once, in
 * little more than the time that the link needs. */
static void
check_shared_link(enum share share)
{
	static const struct answer answers[ANSWERS_MAX] = {{200, 0, 0}};
	struct client clients[SHARED_CLIENTS] = {{0}};
	unsigned deliveries[SHARED_CLIENTS], served = 0;
	const uint64_t least = SHARED_CLIENTS * SHARED_VALUE;
	struct link l;
	uint64_t last_ms = 0;
	uv_loop_t loop;
	size_t i;

	uv_loop_init(&loop);
	link_open(&l, &loop);
	l.share = share;
	l.bytes_per_ms = least / SHARED_TOTAL_MS;
	for (i = 0; i < SHARED_CLIENTS; i++) {
		clients[i].answers = answers;
		clients[i].repeats = true;
		clients[i].value_len = SHARED_VALUE;
		deliveries[i] = 1;
		client_open(&clients[i], &loop, &l);
		start_watch(&clients[i]);
	}
	run_clients(&loop, clients, SHARED_CLIENTS, deliveries, 8000);
	for (i = 0; i < SHARED_CLIENTS; i++) {
		served += clients[i].deliveries > 0;
		if (clients[i].delivered_ms[0] > last_ms)
			last_ms = clients[i].delivered_ms[0];
		client_close(&clients[i]);
	}
	printf("\n  share %d: %u of %u clients served, last after %" PRIu64
	       " ms, %.2f times the bytes",
	    share, served, SHARED_CLIENTS, last_ms,
	    (double)l.sent / (double)least);
	CU_ASSERT_EQUAL(served, SHARED_CLIENTS);
	CU_ASSERT(last_ms <= SHARED_TOTAL_MS + 2 * LATE_MS);
	CU_ASSERT((double)l.sent <= 1.25 * (double)least);
	uv_close((uv_handle_t *)&l.timer, NULL);
	loop_close(&loop);
}

/* Guards against clients that keep a link full for good, as each asks again for
 * what is still arriving. */
static void
shared_link_serves_all(void)
{
	check_shared_link(SHARE_EQUALLY);
	check_shared_link(SHARE_IN_TURN);
}

#define FAILING_CLIENTS 6
#define FAILING_MS 3000

/**
 * struct failing_case - what fails as long as it is repeated
 * @follows: a follower reads all keys, then watches; else a watch alone
 * @answer: answer to the first request and all equal ones
 * @watch_status: status of all polls; 0 for that of @answer
 */
struct failing_case {
	const char *name;
	bool follows;
	struct answer answer;
	int watch_status;
};

static const struct failing_case failing_cases[] = {
    {"polls", false, {503, 0, 0}, 0},
    {"full reads", true, {503, 0, 0}, 0},
    {"full reads after a loss of history", true, {200, 0, 0}, 410},
};

static void
on_followed(void *arg, bool full, uint64_t revision,
    const struct agb_store_kv *kvs, size_t len)
{
	(void)arg;
	(void)full;
	(void)revision;
	(void)kvs;
	(void)len;
}

static void
start_failing(struct client *c, const struct failing_case *fc)
{
	c->answers = &fc->answer;
	c->repeats = true;
	c->watch_status = fc->watch_status;
	if (fc->follows)
		c->follow =
		    wf_follow_new(c->loop, c->store, 1, "a", on_followed, c);
	else
		start_watch(c);
}

static void
check_failing(const struct failing_case *fc, const struct client *clients)
{
	uint64_t first_ms = UINT64_MAX, last_ms = 0, ms;
	size_t i;

	printf("\n  %s in %d ms:", fc->name, FAILING_MS);
	for (i = 0; i < FAILING_CLIENTS; i++) {
		printf(" %u", clients[i].repeated);
		CU_ASSERT(clients[i].repeated >= 4);
		CU_ASSERT(clients[i].repeated <= 9);
		ms = clients[i].repeated_ms[3];
		first_ms = ms < first_ms ? ms : first_ms;
		last_ms = ms > last_ms ? ms : last_ms;
	}
	printf(", the fourth ones within %" PRIu64 " ms", last_ms - first_ms);
	CU_ASSERT(last_ms - first_ms >= 50);
}

/* Guards against calls that are repeated at a constant rate, or by all clients
 * at the same time, while they fail. The cases run at the same time. */
static void
failures_back_off(void)
{
	struct client clients[LEN(failing_cases)][FAILING_CLIENTS] = {{{0}}};
	const unsigned never[1] = {1};
	struct link l;
	uv_loop_t loop;
	size_t i, k;

	uv_loop_init(&loop);
	link_open(&l, &loop);
	for (i = 0; i < LEN(failing_cases); i++) {
		for (k = 0; k < FAILING_CLIENTS; k++) {
			client_open(&clients[i][k], &loop, &l);
			start_failing(&clients[i][k], &failing_cases[i]);
		}
	}
	run_clients(&loop, clients[0], 1, never, FAILING_MS);
	for (i = 0; i < LEN(failing_cases); i++) {
		check_failing(&failing_cases[i], clients[i]);
		for (k = 0; k < FAILING_CLIENTS; k++)
			client_close(&clients[i][k]);
	}
	uv_close((uv_handle_t *)&l.timer, NULL);
	loop_close(&loop);
}

/* Guards against a line for each of many calls, against a line that does not
 * tell an answer that was slow from one that never began, and against calls
 * that no line counts. */
static void
give_ups_are_logged(void)
{
	static const struct {
		agb_time at_ms;
		struct agb_store_give_up g;
		const char *line; /* NULL if it is omitted */
	} cases[] = {
	    {0, {AGB_STORE_POLL, AGB_STORE_NO_RESPONSE, "op/", 2505, 0},
		"change=given-up call=poll prefix=\"op/\" reason=no-response "
		"elapsed_ms=2505 received=0 omitted=0"},
	    {1, {AGB_STORE_POLL, AGB_STORE_STALLED, "op/", 1, 1}, NULL},
	    {999, {AGB_STORE_POLL, AGB_STORE_STALLED, "op/", 1, 1}, NULL},
	    {1000, {AGB_STORE_FULL_READ, AGB_STORE_STALLED, "s/", 1900, 64000},
		"change=given-up call=read prefix=\"s/\" reason=stalled "
		"elapsed_ms=1900 received=64000 omitted=2"},
	    {5000, {AGB_STORE_POLL, AGB_STORE_TOO_SLOW, "op/", 20005, 9000},
		"change=given-up call=poll prefix=\"op/\" reason=too-slow "
		"elapsed_ms=20005 received=9000 omitted=0"},
	};
	struct wf_giveup_log l = {0};
	char line[320];
	bool written;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		written = wf_giveup_format(&l, &cases[i].g,
		    cases[i].at_ms * AGB_MS, line, sizeof(line));
		CU_ASSERT_EQUAL(written, cases[i].line != NULL);
		if (written && cases[i].line != NULL)
			CU_ASSERT_STRING_EQUAL(line, cases[i].line);
	}
}

static const struct suite_test tests[] = {
    {"slow store: slow is not stalled", slow_is_not_stalled},
    {"slow store: a shared link serves all", shared_link_serves_all},
    {"slow store: failures back off", failures_back_off},
    {"slow store: give-ups are logged", give_ups_are_logged},
};

int
main(void)
{
	/* A server may write to a connection that its client has closed. */
	signal(SIGPIPE, SIG_IGN);
	return suite_run("kv_slow", tests, LEN(tests));
}

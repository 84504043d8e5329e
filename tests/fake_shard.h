#ifndef FAKE_SHARD_H
#define FAKE_SHARD_H

/**
 * DOC: fake_shard
 *
 * Simulation of one shard: entry instances (owner sub-reducers), workers and the
 * store. Messages take SHARD_DELAY; the test advances the clock.
 */

#include <rpc/xdr.h>

#include "fake_store.h"
#include "fake_worker.h"
#include "owner.h"

#define SHARD_NODES 2
#define SHARD_WORKERS 4
#define SHARD_EVENTS_MAX 1024
#define SHARD_REPLIES_MAX 512
#define SHARD_DELAY (1 * AGB_MS)
/* A call that is not answered fails after this time. */
#define SHARD_TIMEOUT (300 * AGB_MS)

/**
 * struct shard_event - an event in flight to an entry instance
 * @at: when it arrives
 * @node: index of the entry instance
 * @incarnation: incarnation that it is for; a later one does not receive it
 * @held_renewal: the event is the answer to a renewal that the worker holds
 *	until it has something to report, at the latest until @at
 * @call: the renewal
 */
struct shard_event {
	agb_time at;
	unsigned node;
	unsigned incarnation;
	bool held_renewal;
	struct agb_event ev;
	struct agb_ef_worker call;
};

struct shard_rpc_reply {
	uint64_t token;
	agb_x_res res;
};

/**
 * struct shard_node - an entry instance
 * @owner: NULL while it does not run
 * @incarnation: number of starts
 * @paused: it does not process events
 * @store_unreachable: its calls to the store are lost
 * @watch_tag, @watch_from, @watch_key: its watch
 * @watch_next: index of the next change of the store to be examined
 */
struct shard_node {
	struct agb_owner *owner;
	unsigned incarnation;
	bool paused;
	bool store_unreachable;
	uint64_t watch_tag;
	uint64_t watch_from;
	char *watch_key;
	size_t watch_next;
};

/**
 * struct shard - a simulated shard
 * @worker_unreachable: [n][w]: node n cannot reach worker w
 * @events: events in flight
 * @replies: RPC replies of the nodes
 * @last_token: token of the latest RPC call
 * @log: all log lines as "event line\n"
 */
struct shard {
	agb_time now;
	struct fake_store *store;
	struct shard_node nodes[SHARD_NODES];
	struct fake_worker workers[SHARD_WORKERS];
	bool worker_unreachable[SHARD_NODES][SHARD_WORKERS];
	struct shard_event events[SHARD_EVENTS_MAX];
	size_t events_len;
	struct shard_rpc_reply replies[SHARD_REPLIES_MAX];
	size_t replies_len;
	uint64_t last_token;
	char *log;
	size_t log_len;
};

static struct agb_env_class shard_classes[] = {
    {.name = "quick", .policy = AGB_POLICY_QUICK},
    {.name = "batch",
	.policy = AGB_POLICY_BATCH,
	.on_isolation = AGB_ISOLATION_STOP,
	.autonomy_ms = 1000},
    {.name = "kept",
	.policy = AGB_POLICY_BATCH,
	.on_isolation = AGB_ISOLATION_KEEP},
};
static struct agb_env_work shard_works[] = {
    {.name = "check",
	.class_index = 0,
	.need = {100, 10, 0},
	.run_ms = 10,
	.domains = 1,
	.teams = 3},
    {.name = "plan",
	.class_index = 1,
	.need = {1000, 100, 0},
	.run_ms = 1000,
	.domains = 1,
	.teams = 3},
    {.name = "cut",
	.class_index = 2,
	.need = {1000, 100, 0},
	.run_ms = 1000,
	.domains = 1,
	.teams = 1},
};
static struct agb_env_team shard_teams[] = {
    {.name = "red",
	.quota = {100000, 100000, 0},
	.weight = 1,
	.may_borrow = true},
    {.name = "blue",
	.quota = {100000, 100000, 0},
	.weight = 1,
	.may_borrow = true},
};
static struct agb_env_domain shard_domains[] = {{.name = "d1"}};
static agb_name shard_regions[] = {"r1"};
static const struct agb_env shard_env = {
    .version = 5,
    .name = "trial",
    .weights = {1, 1, 1},
    .eject_max_percent = 50,
    .regions_len = 1,
    .domains_len = 1,
    .teams_len = 2,
    .classes_len = 3,
    .works_len = 3,
    .regions = shard_regions,
    .domains = shard_domains,
    .teams = shard_teams,
    .classes = shard_classes,
    .works = shard_works,
};

static inline void shard_send_event(
    struct shard *s, unsigned node, struct agb_event *ev);

static inline struct shard_event *
shard_post_event(struct shard *s, unsigned node, agb_time at,
    enum agb_event_type type, uint64_t tag)
{
	struct shard_event *const m = &s->events[s->events_len];

	if (s->events_len + 1 >= SHARD_EVENTS_MAX)
		abort();
	s->events_len++;
	memset(m, 0, sizeof(*m));
	m->at = at;
	m->node = node;
	m->incarnation = s->nodes[node].incarnation;
	m->ev.type = type;
	m->ev.tag = tag;
	return m;
}

static inline int
shard_worker_index(const struct shard *s, const char *id)
{
	int i;

	for (i = 0; i < SHARD_WORKERS; i++) {
		if (strcmp(s->workers[i].id, id) == 0)
			return i;
	}
	return -1;
}

static inline void
shard_worker_call(struct shard *s, unsigned node, struct agb_effect *ef)
{
	const int i = shard_worker_index(s, ef->u.worker.worker);
	struct fake_worker *const w = i >= 0 ? &s->workers[i] : NULL;
	const bool lost =
	    w == NULL || w->unreachable || s->worker_unreachable[node][i];
	const agb_time at = s->now + (lost ? SHARD_TIMEOUT : SHARD_DELAY);
	struct shard_event *m;

	if (ef->type == AGB_EF_SESSION) {
		m = shard_post_event(s, node, at, AGB_EV_SESSION, 0);
		agb_str_copy(m->ev.u.session.worker,
		    sizeof(m->ev.u.session.worker), ef->u.worker.worker);
		m->ev.u.session.status = AGB_WORKER_LOST;
		if (!lost)
			fake_worker_session(w, &ef->u.worker, &m->ev.u.session);
	} else if (ef->type == AGB_EF_RENEW) {
		m = shard_post_event(s, node, at, AGB_EV_RENEW, 0);
		m->held_renewal = true;
		m->call = ef->u.worker;
		m->at = s->now + ef->u.worker.wait_ms * AGB_MS + SHARD_DELAY;
	} else {
		m = shard_post_event(s, node, at, AGB_EV_COMMANDS, ef->tag);
		agb_str_copy(m->ev.u.commands.worker,
		    sizeof(m->ev.u.commands.worker), ef->u.worker.worker);
		m->ev.u.commands.tag = ef->tag;
		m->ev.u.commands.status = AGB_WORKER_LOST;
		if (lost)
			return;
		fake_worker_commands(w, &ef->u.worker, &m->ev.u.commands);
		if (w->drop_responses > 0) {
			w->drop_responses--;
			m->ev.u.commands.status = AGB_WORKER_LOST;
			m->at = s->now + SHARD_TIMEOUT;
		}
	}
}

static inline void
shard_apply_effect(struct shard *s, unsigned node, struct agb_effect *ef)
{
	struct shard_node *const n = &s->nodes[node];
	struct shard_event *m;

	switch (ef->type) {
	case AGB_EF_STORE:
		m = shard_post_event(
		    s, node, s->now + SHARD_DELAY, AGB_EV_STORE, ef->tag);
		if (n->store_unreachable)
			m->ev.u.store.status = AGB_STORE_LOST;
		else
			m->ev.u.store =
			    fake_store_call(s->store, s->now, &ef->u.store);
		if (m->ev.u.store.status == AGB_STORE_LOST)
			m->at = s->now + SHARD_TIMEOUT;
		break;
	case AGB_EF_WATCH:
		free(n->watch_key);
		n->watch_tag = ef->tag;
		n->watch_key = agb_xstrdup(ef->u.watch.key);
		n->watch_from = ef->u.watch.from_rev;
		n->watch_next = 0;
		break;
	case AGB_EF_SESSION:
	case AGB_EF_RENEW:
	case AGB_EF_COMMANDS:
		shard_worker_call(s, node, ef);
		break;
	case AGB_EF_RPC_REPLY:
		if (s->replies_len == SHARD_REPLIES_MAX)
			abort();
		s->replies[s->replies_len].token = ef->token;
		s->replies[s->replies_len++].res = ef->u.rpc_res;
		memset(&ef->u.rpc_res, 0, sizeof(ef->u.rpc_res));
		break;
	case AGB_EF_LOG:
		s->log = agb_xreallocarray(
		    s->log, s->log_len + strlen(ef->u.log.line) + 64, 1);
		s->log_len += (size_t)sprintf(s->log + s->log_len, "%s %s\n",
		    ef->u.log.event, ef->u.log.line);
		break;
	default:
		break;
	}
}

static inline void
shard_apply_effects(struct shard *s, unsigned node, struct agb_effects *out)
{
	size_t i;

	for (i = 0; i < out->len; i++)
		shard_apply_effect(s, node, &out->items[i]);
	agb_effects_free(out);
}

static inline void
shard_send_event(struct shard *s, unsigned node, struct agb_event *ev)
{
	struct agb_effects out = {0};

	agb_owner_step(s->nodes[node].owner, s->now, ev, &out);
	shard_apply_effects(s, node, &out);
	agb_event_free(ev);
}

/* Fills in the answer to a renewal that the worker has held. */
static inline void
shard_answer_renewal(struct shard *s, struct shard_event *m)
{
	struct agb_ev_renew *const r = &m->ev.u.renew;
	const int i = shard_worker_index(s, m->call.worker);

	m->held_renewal = false;
	agb_str_copy(r->worker, sizeof(r->worker), m->call.worker);
	r->status = AGB_WORKER_LOST;
	if (i >= 0 && !s->workers[i].unreachable &&
	    !s->worker_unreachable[m->node][i])
		fake_worker_renew(&s->workers[i], &m->call, r);
}

/* Whether the worker has a reason to answer a held renewal now. */
static inline bool
shard_renewal_ready(const struct shard *s, const struct shard_event *m)
{
	const int i = shard_worker_index(s, m->call.worker);
	const struct fake_worker *const w = i >= 0 ? &s->workers[i] : NULL;

	if (w == NULL || w->unreachable || s->worker_unreachable[m->node][i])
		return false;
	return w->epoch != m->call.epoch || w->leaving ||
	    (w->events_len > 0 &&
		w->events[w->events_len - 1].seq > m->call.after_seq);
}

static inline void
shard_post_watch_events(struct shard *s)
{
	unsigned i;

	for (i = 0; i < SHARD_NODES; i++) {
		struct shard_node *const n = &s->nodes[i];
		struct shard_event *m;

		if (n->owner == NULL || n->watch_key == NULL ||
		    n->store_unreachable || s->store->down)
			continue;
		for (; n->watch_next < s->store->changes_len; n->watch_next++) {
			const struct agb_store_kv *const kv =
			    &s->store->changes[n->watch_next];

			if (strcmp(kv->key, n->watch_key) != 0 ||
			    kv->mod_rev < n->watch_from)
				continue;
			m = shard_post_event(s, i, s->now + SHARD_DELAY,
			    AGB_EV_WATCH, n->watch_tag);
			m->ev.u.watch.kvs =
			    agb_xcalloc(1, sizeof(*m->ev.u.watch.kvs));
			m->ev.u.watch.kvs[0] = fake_kv_copy(kv);
			m->ev.u.watch.kvs_len = 1;
		}
	}
}

static inline void
shard_deliver_events(struct shard *s)
{
	size_t i = 0;

	while (i < s->events_len) {
		struct shard_event m = s->events[i];
		const bool outdated = s->nodes[m.node].owner == NULL ||
		    s->nodes[m.node].incarnation != m.incarnation;

		if (!outdated &&
		    (s->nodes[m.node].paused ||
			(s->now < m.at &&
			    !(m.held_renewal && shard_renewal_ready(s, &m))))) {
			i++;
			continue;
		}
		memmove(&s->events[i], &s->events[i + 1],
		    (--s->events_len - i) * sizeof(m));
		if (outdated) {
			agb_event_free(&m.ev);
			continue;
		}
		if (m.held_renewal)
			shard_answer_renewal(s, &m);
		shard_send_event(s, m.node, &m.ev);
		i = 0;
	}
}

/* Advances the clock by @span in steps of 1 ms and delivers the events. */
static inline void
shard_run(struct shard *s, agb_time span)
{
	const agb_time end = s->now + span;
	struct agb_event tick = {.type = AGB_EV_TICK};
	unsigned i;

	while (s->now < end) {
		s->now += AGB_MS;
		fake_store_expire(s->store, s->now);
		shard_post_watch_events(s);
		shard_deliver_events(s);
		for (i = 0; i < SHARD_NODES; i++) {
			struct shard_node *const n = &s->nodes[i];

			if (n->owner != NULL && !n->paused &&
			    agb_owner_next_tick(n->owner, s->now) <= s->now) {
				tick.type = AGB_EV_TICK;
				shard_send_event(s, i, &tick);
			}
		}
	}
}

/* Sends a full instance list to a node: worker 0 with the given state, the
 * others live. */
static inline void
shard_send_list(struct shard *s, unsigned node, unsigned workers,
    enum agb_instance_state state)
{
	struct agb_event ev = {.type = AGB_EV_INSTANCES};
	unsigned i;

	ev.u.list.ok = true;
	ev.u.list.full = true;
	ev.u.list.items = agb_xcalloc(workers, sizeof(*ev.u.list.items));
	ev.u.list.items_len = workers;
	for (i = 0; i < workers; i++) {
		struct agb_instance *const in = &ev.u.list.items[i];

		agb_str_copy(in->id, sizeof(in->id), s->workers[i].id);
		in->kind = AGB_INSTANCE_WORKER;
		in->state = i == 0 ? state : AGB_INSTANCE_LIVE;
		agb_str_copy(in->domain, sizeof(in->domain), "d1");
		snprintf(in->rack, sizeof(in->rack), "rack%u", i);
		agb_str_copy(in->service, sizeof(in->service), "check");
		snprintf(in->runner, sizeof(in->runner), "10.0.0.%u:80", i);
		in->slots = 2;
		in->connections = 8;
		in->capacity.cpu_milli = 4000;
		in->capacity.mem_mb = 4000;
	}
	shard_send_event(s, node, &ev);
}

/* Starts an entry instance, or restarts it with empty memory. */
static inline void
shard_node_start(struct shard *s, unsigned node, unsigned workers)
{
	struct agb_owner_config cfg = {.seed = node + 1};
	struct agb_effects out = {0};
	struct shard_node *const n = &s->nodes[node];

	snprintf(cfg.instance, sizeof(cfg.instance), "entry%u", node);
	snprintf(cfg.rpc, sizeof(cfg.rpc), "10.0.1.%u:7000", node);
	agb_str_copy(cfg.domain, sizeof(cfg.domain), "d1");
	agb_str_copy(cfg.environment, sizeof(cfg.environment), "trial");
	n->owner = agb_owner_new(&cfg);
	n->incarnation++;
	n->paused = false;
	n->store_unreachable = false;
	agb_owner_env_set(n->owner, s->now, &shard_env, &out);
	shard_apply_effects(s, node, &out);
	shard_send_list(s, node, workers, AGB_INSTANCE_LIVE);
}

static inline void
shard_node_kill(struct shard *s, unsigned node)
{
	struct shard_node *const n = &s->nodes[node];

	agb_owner_free(n->owner);
	n->owner = NULL;
	free(n->watch_key);
	n->watch_key = NULL;
	shard_deliver_events(s);
}

/* Creates a shard that node 0 owns and that has @workers live workers. */
static inline struct shard *
shard_new(unsigned workers)
{
	struct shard *const s = agb_xcalloc(1, sizeof(*s));
	int i;

	s->now = 100 * AGB_SEC;
	s->store = agb_xcalloc(1, sizeof(*s->store));
	s->store->revision = 10;
	s->log = agb_xstrdup("");
	for (i = 0; i < SHARD_WORKERS; i++)
		snprintf(
		    s->workers[i].id, sizeof(s->workers[i].id), "worker%d", i);
	shard_node_start(s, 0, workers);
	shard_run(s, 300 * AGB_MS);
	return s;
}

static inline void
shard_free(struct shard *s)
{
	unsigned i;
	size_t k;

	for (i = 0; i < SHARD_NODES; i++)
		shard_node_kill(s, i);
	for (k = 0; k < s->replies_len; k++)
		xdr_free((xdrproc_t)xdr_agb_x_res, (char *)&s->replies[k].res);
	for (i = 0; i < SHARD_WORKERS; i++)
		fake_worker_ack_events(&s->workers[i], UINT64_MAX);
	fake_store_free(s->store);
	free(s->log);
	free(s);
}

static inline struct agb_event
shard_rpc_event(struct shard *s, enum agb_x_proc proc)
{
	struct agb_event ev = {.type = AGB_EV_RPC_CALL};

	ev.token = ++s->last_token;
	ev.u.rpc_args.proc = proc;
	return ev;
}

static inline uint64_t
shard_submit(struct shard *s, unsigned node, const char *work, uint32_t tasks,
    bool idempotent, const char *key)
{
	struct agb_event ev = shard_rpc_event(s, AGB_X_SUBMIT);
	agb_x_submit_args *const a = &ev.u.rpc_args.agb_x_args_u.submit;
	const uint64_t token = ev.token;

	a->work = agb_xstrdup(work);
	a->team = agb_xstrdup("red");
	a->tasks = tasks;
	a->idempotent = idempotent;
	a->key = agb_xstrdup(key);
	shard_send_event(s, node, &ev);
	return token;
}

static inline uint64_t
shard_grant(
    struct shard *s, unsigned node, const char *key, uint32_t deadline_ms)
{
	struct agb_event ev = shard_rpc_event(s, AGB_X_GRANT);
	agb_x_grant_args *const a = &ev.u.rpc_args.agb_x_args_u.grant;
	const uint64_t token = ev.token;

	a->request = agb_xasprintf("req%llu", (unsigned long long)token);
	a->work = agb_xstrdup("check");
	a->team = agb_xstrdup("red");
	a->instance = agb_xstrdup("entry1");
	a->deadline_ms = deadline_ms;
	a->key = agb_xstrdup(key);
	shard_send_event(s, node, &ev);
	return token;
}

static inline void
shard_release(struct shard *s, unsigned node, const agb_x_attempt *attempt,
    enum agb_result result)
{
	struct agb_event ev = shard_rpc_event(s, AGB_X_RELEASE);
	agb_x_release_args *const a = &ev.u.rpc_args.agb_x_args_u.release;

	a->items.items_val = agb_xcalloc(1, sizeof(*a->items.items_val));
	a->items.items_len = 1;
	a->items.items_val[0].attempt = *attempt;
	a->items.items_val[0].result = (int)result;
	shard_send_event(s, node, &ev);
}

static inline uint64_t
shard_job_call(struct shard *s, unsigned node, enum agb_x_proc proc,
    const char *job, const char *team, uint32_t wait_ms)
{
	struct agb_event ev = shard_rpc_event(s, proc);
	const uint64_t token = ev.token;

	/* The arguments of CANCEL and EXPLAIN begin with the same members as
	 * those of JOB_GET. */
	ev.u.rpc_args.agb_x_args_u.job_get.job = agb_xstrdup(job);
	if (proc != AGB_X_EXPLAIN)
		ev.u.rpc_args.agb_x_args_u.job_get.team = agb_xstrdup(team);
	if (proc == AGB_X_JOB_GET)
		ev.u.rpc_args.agb_x_args_u.job_get.wait_ms = wait_ms;
	shard_send_event(s, node, &ev);
	return token;
}

/* Returns the latest reply to a call, or NULL while there is none.
 * @count: set to the number of replies, unless NULL */
static inline agb_x_res *
shard_find_reply(struct shard *s, uint64_t token, unsigned *count)
{
	agb_x_res *res = NULL;
	unsigned n = 0;
	size_t i;

	for (i = 0; i < s->replies_len; i++) {
		if (s->replies[i].token == token) {
			res = &s->replies[i].res;
			n++;
		}
	}
	if (count != NULL)
		*count = n;
	return res;
}

#endif

/* Processes of the instances: events and effects of the reducer, start, end. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "world.h"

/* Link bandwidth at which the leader cannot even send one runner its holds, the
 * orders that renew the runner's lease, so that all orders are relayed. */
#define RELAYS_LINK_KBPS 80
/* Starts that were decided before a document arrives are at their runner after
 * this time: a write to the store and an order. */
#define DOC_STARTS_MS 100

static void
on_tick(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_TICK};

	if (!sim_deliver_or_postpone(s, e, on_tick))
		return;
	if (s->cores[e->core].tick_at > s->now)
		return;
	s->cores[e->core].tick_at = 0;
	sim_handle_event(s, e->core, &ev);
}

/* A line "wait" begins with "job=" and the id of the job. */
static void
keep_wait_line(struct sim *s, const char *line)
{
	struct sim_job *j;
	wf_job_id id;

	if (sscanf(line, "job=%16s", id) != 1)
		return;
	j = sim_job_find(s, id);
	if (j == NULL)
		return;
	j->wait_lines++;
	agb_str_copy(j->wait_line, sizeof(j->wait_line), line);
}

/* A task is named by its job, its occurrence, its step and its index: a line that
 * leaves one out may speak of several tasks. */
static void
check_log_line(struct sim *s, const char *line)
{
	const bool names_task = strstr(line, " task=") != NULL;
	const bool names_step = strstr(line, " step=") != NULL;

	if ((names_task && !names_step) ||
	    (names_step && strstr(line, " occurrence=") == NULL))
		sim_report_violation(s, "log: %.200s", line);
}

static void
apply_effect(struct sim *s, unsigned ci, struct wf_effect *ef)
{
	struct sim_core *const c = &s->cores[ci];

	switch (ef->type) {
	case WF_EF_STORE:
		sim_send_store(s, ci, ef);
		break;
	case WF_EF_REPLY:
		sim_take_reply(s, ef);
		break;
	case WF_EF_ORDER:
		sim_send_order(s, ci, ef);
		break;
	case WF_EF_ADVICE_REQUEST:
	case WF_EF_PEER_ADVICE_REQUEST:
		/* Advice is not routed through the peer in the simulation. */
		sim_send_advice(s, ci, ef);
		break;
	case WF_EF_PEER_PUSH:
		sim_send_push(s, ci, ef);
		break;
	case WF_EF_PEER_PUT:
		sim_send_put(s, ci, ef);
		break;
	case WF_EF_PEER_PING:
		sim_send_ping(s, ci, ef);
		break;
	case WF_EF_PUT_REPLY:
		sim_send_put_reply(s, ci, ef);
		break;
	case WF_EF_ORDERS:
		sim_send_orders(s, ci, ef);
		break;
	case WF_EF_ORDERS_REPLY:
		sim_send_orders_reply(s, ci, ef);
		break;
	case WF_EF_PAYLOAD_REQUEST:
		sim_send_payload_request(s, ci, ef);
		break;
	case WF_EF_PAYLOAD_REPLY:
		sim_send_payload_reply(s, ci, ef);
		break;
	case WF_EF_RESULTS:
		sim_send_results(s, ci, ef);
		break;
	case WF_EF_WATCH_REGISTRY:
		c->watches_registry = ef->flag;
		if (ef->flag)
			sim_schedule_core(
			    s, ci, 5 * SIM_MS, sim_send_first_registry);
		break;
	case WF_EF_WATCH_FEED:
		sim_watch_feed(s, ci, ef);
		break;
	case WF_EF_FEED_INTERVAL:
		c->feeds[ef->feed].interval_ms = ef->interval_ms;
		break;
	case WF_EF_READY:
		c->ready = ef->flag;
		break;
	case WF_EF_LOG:
		check_log_line(s, ef->u.log.line);
		s->load_lines += strcmp(ef->u.log.event, "load") == 0;
		s->account_lines += strcmp(ef->u.log.event, "account") == 0;
		if (strcmp(ef->u.log.event, "wait") == 0)
			keep_wait_line(s, ef->u.log.line);
		if (getenv("SIM_LOG") != NULL)
			printf("%7u %u %s %s\n", sim_now_ms(s), ci,
			    ef->u.log.event, ef->u.log.line);
		break;
	case WF_EF_EXIT:
		sim_kill(s, ci, 500);
		break;
	default:
		break;
	}
}

/* A tick that is due may wait until the instance is free. */
static bool
is_tick_pending(const struct sim *s, const struct sim_core *c)
{
	return c->tick_at > s->now ||
	    (c->tick_at > 0 && c->cpu.speed_percent > 0);
}

void
sim_handle_event(struct sim *s, unsigned ci, struct wf_event *ev)
{
	const struct wf_now now = {.mono = s->now + AGB_SEC,
	    .unix_ms = UNIX_BASE_MS + (int64_t)(s->now / SIM_MS)};
	struct sim_core *const c = &s->cores[ci];
	struct wf_meter *const meter = wf_core_meter(c->core);
	struct wf_effects out = {0};
	agb_time next;
	size_t i;

	wf_meter_begin_turn(meter);
	sim_processor_begin_turn(&c->cpu, meter, ev);
	wf_core_handle(c->core, &now, ev, &out);
	for (i = 0; i < out.len; i++) {
		sim_processor_add_effect(&c->cpu, &out.items[i]);
		apply_effect(s, ci, &out.items[i]);
	}
	wf_effects_free(&out);
	wf_meter_end_turn(meter);
	sim_processor_end_turn(&c->cpu, meter, s->now);
	if (!c->up)
		return;
	next = wf_core_next_tick(c->core);
	next = next > now.mono ? next - now.mono : SIM_MS;
	next = (next + SIM_MS - 1) / SIM_MS * SIM_MS;
	if (is_tick_pending(s, c) && c->tick_at <= s->now + next)
		return;
	c->tick_at = s->now + next;
	sim_schedule_core(s, ci, next, on_tick);
}

static void
queue_init(const struct sim *s, struct wf_queue *q, const char *name)
{
	agb_str_copy(q->name, sizeof(q->name), name);
	agb_str_copy(q->service, sizeof(q->service), "svc");
	agb_str_copy(q->host, sizeof(q->host), "h");
	snprintf(q->path_prefix, sizeof(q->path_prefix), "/%s/", name);
	q->timeout_ms = 3000;
	q->target_ms = s->o.target_ms > 0 ? s->o.target_ms : 1000;
	q->max_attempts = s->o.max_attempts;
	q->slack_factor = 2;
	q->advice_required = s->o.advice_required;
	q->advice_base_ms = s->o.advice_ms > 0 ? s->o.advice_ms : ADVICE_MS;
	q->advice_per_runner_ms = s->o.advice_per_runner_ms;
	q->ticket_valid_ms = s->o.ticket_ms;
}

static void
queue_init_as(
    const struct sim *s, struct wf_queue *q, const struct sim_queue *sq)
{
	queue_init(s, q, sq->name);
	q->priority = sq->priority;
	q->target_ms = sq->target_ms;
	q->slack_factor = sq->slack_factor;
	q->advice_required = sq->approved_percent > 0;
	q->advice_base_ms = sq->advice_ms;
	q->advice_per_runner_ms = sq->advice_per_runner_us / 1000.0;
}

static struct wf_doc *
doc_new(const struct sim *s)
{
	struct wf_doc *const d = agb_xcalloc(1, sizeof(*d));
	size_t i;

	d->version = s->doc_version;
	d->queues_len = s->o.queues_len > 0 ? s->o.queues_len : 1;
	d->queues = agb_xcalloc(d->queues_len, sizeof(*d->queues));
	d->services = agb_xcalloc(1, sizeof(*d->services));
	d->services_len = 1;
	agb_str_copy(d->services[0].name, sizeof(agb_id), "svc");
	queue_init(s, &d->queues[0], "q");
	for (i = 0; i < s->o.queues_len; i++)
		queue_init_as(s, &d->queues[i], &s->o.queues[i]);
	d->accounts_len = s->o.accounts_len;
	d->accounts = agb_xcalloc(d->accounts_len + 1, sizeof(*d->accounts));
	for (i = 0; i < d->accounts_len; i++)
		d->accounts[i] = s->accounts[i].set;
	wf_doc_build_index(d);
	return d;
}

const char *
sim_domain_of(const struct sim *s, unsigned i)
{
	return s->o.relays && i % 2 == 1 ? "d2" : "d";
}

void
sim_core_start(struct sim *s, struct sim_event *e)
{
	struct wf_event doc = {.type = WF_EV_DOC};
	struct sim_core *const c = &s->cores[e->core];
	struct wf_config cfg;

	if (c->up)
		return;
	memset(&cfg, 0, sizeof(cfg));
	snprintf(cfg.name, sizeof(cfg.name), "core-%u.%u", e->core, ++c->gen);
	snprintf(cfg.rpc, sizeof(cfg.rpc), "10.0.0.%u:1", e->core);
	cfg.seed = s->o.seed * 31 + (uint64_t)e->core * 7 + c->gen;
	cfg.cpu_permille = e->core < s->o.small_cores ? 125 : 250;
	cfg.link_kbps = s->o.link_kbps > 0 ? s->o.link_kbps
	    : s->o.relays		   ? RELAYS_LINK_KBPS
					   : 0;
	agb_str_copy(cfg.domain, sizeof(cfg.domain), sim_domain_of(s, e->core));
	cfg.memory_mb = s->o.memory_mb;
	cfg.grace_ms = 6000;
	cfg.status_s = 120;
	cfg.runner_lease_max_ms = HOLD_MAX_MS;
	cfg.remote_factor = s->o.remote_factor;
	cfg.locality_wait_max_ms = s->o.locality_wait_ms;
	cfg.meter_ops = &sim_meter_ops;
	cfg.meter_arg = c;
	wf_core_free(c->core);
	c->core = wf_core_new(&cfg);
	c->up = true;
	c->cpu.busy_until = 0;
	memset(c->feeds, 0, sizeof(c->feeds));
	c->runners_unreachable = false;
	c->isolated = false;
	c->watches_registry = false;
	c->tick_at = 0;
	c->frozen_until = 0;
	c->link_free_at = 0;
	c->advice_free_at = 0;
	doc.u.doc = doc_new(s);
	sim_handle_event(s, e->core, &doc);
}

static void
doc_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_DOC};

	if (!sim_deliver_or_postpone(s, e, doc_arrives))
		return;
	ev.u.doc = doc_new(s);
	sim_handle_event(s, e->core, &ev);
}

void
sim_set_account(struct sim *s, size_t i, struct agb_resources limit)
{
	unsigned ci;

	s->accounts[i].before = s->accounts[i].set.limit;
	s->accounts[i].before_until = s->now + DOC_STARTS_MS * SIM_MS;
	s->accounts[i].set.limit = limit;
	s->doc_version++;
	for (ci = 0; ci < s->o.cores; ci++)
		sim_schedule_core(s, ci, 0, doc_arrives);
}

void
sim_kill(struct sim *s, unsigned ci, unsigned back_ms)
{
	struct sim_core *const c = &s->cores[ci];

	if (!c->up)
		return;
	c->up = false;
	c->gen++;
	if (back_ms > 0)
		sim_schedule(s, back_ms * SIM_MS, sim_core_start)->core = ci;
	/* Freed when it restarts or the simulation ends, since one of its
	 * events may be in progress. */
}

static void
refusal_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_PEER_LOST, .flag = true};
	char rpc[32];

	if (!sim_deliver_or_postpone(s, e, refusal_arrives))
		return;
	snprintf(rpc, sizeof(rpc), "10.0.0.%u:1", (unsigned)e->a);
	ev.u.peer = rpc;
	sim_handle_event(s, e->core, &ev);
}

void
sim_kill_process(struct sim *s, unsigned ci, unsigned back_ms)
{
	unsigned i;

	sim_kill(s, ci, back_ms);
	for (i = 0; i < s->o.cores; i++) {
		if (i != ci && s->cores[i].up && sim_linked(s, i, ci))
			sim_schedule_core(
			    s, i, 2 * SIM_MS * s->o.latency_ms, refusal_arrives)
			    ->a = ci;
	}
}

void
sim_freeze(struct sim *s, unsigned ci, unsigned ms)
{
	s->cores[ci].frozen_until = s->now + ms * SIM_MS;
}

void
sim_core_cut_runners(struct sim *s, unsigned ci, bool cut)
{
	s->cores[ci].runners_unreachable = cut;
}

void
sim_core_isolate(struct sim *s, unsigned ci, bool isolated)
{
	s->cores[ci].isolated = isolated;
}

void
sim_core_set_processor(struct sim *s, unsigned ci, unsigned percent)
{
	s->cores[ci].cpu.speed_percent = percent;
}

void
sim_core_set_link(struct sim *s, unsigned ci, unsigned kbps)
{
	s->cores[ci].link_kbps = kbps;
}

static void
sigterm_arrives(struct sim *s, struct sim_event *e)
{
	struct wf_event ev = {.type = WF_EV_TERM};

	if (sim_deliver_or_postpone(s, e, sigterm_arrives))
		sim_handle_event(s, e->core, &ev);
}

void
sim_sigterm(struct sim *s, unsigned ci)
{
	struct wf_event ev = {.type = WF_EV_TERM};

	if (!s->cores[ci].up || s->now < s->cores[ci].frozen_until)
		return;
	if (sim_is_busy(s, &s->cores[ci]))
		sim_schedule_core(s, ci, 0, sigterm_arrives);
	else
		sim_handle_event(s, ci, &ev);
}

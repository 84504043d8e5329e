#include "processor.h"

/* Time of a full core for the parts of a turn. The time for each step or runner
 * that a dispatch pass examines is that of measure_leader_turn; the others are
 * of its order, with the reading and writing of the messages. */
#define EXAMINED_NS 40
#define EVENT_NS 20000
#define RUNNER_ANSWER_NS 40000
#define RELAYED_RESULT_NS 10000
#define FEED_ITEM_NS 10000
#define REGISTRY_ITEM_NS 5000
#define ADVICE_ANSWER_NS 40000
#define CLIENT_CALL_NS 60000
#define EFFECT_NS 5000
#define LOG_NS 2000
#define RUNNER_ORDER_NS 40000
#define CALL_NS 20000
#define RELAYED_ORDER_NS 4000
#define ADVICE_CALL_NS 30000
#define ADVICE_RUNNER_NS 1000
#define STORE_CALL_NS 30000
#define STORE_WRITE_NS 10000
#define PUSHED_RECORD_NS 1000
#define PERCENT 100
#define NS_PER_US 1000

static uint64_t
event_ns(const struct wf_event *ev)
{
	switch (ev->type) {
	case WF_EV_FEED:
	case WF_EV_PEER_PUSH:
		return EVENT_NS + FEED_ITEM_NS * ev->u.feed.items_len;
	case WF_EV_RUNNERS:
		return EVENT_NS + REGISTRY_ITEM_NS * ev->u.runners.items_len;
	case WF_EV_CALL:
		return EVENT_NS + CLIENT_CALL_NS;
	case WF_EV_ORDER_RESULT:
		return EVENT_NS + RUNNER_ANSWER_NS;
	case WF_EV_ORDERS:
		return EVENT_NS + RELAYED_ORDER_NS * ev->u.orders->len;
	case WF_EV_RESULTS:
		return EVENT_NS + RELAYED_RESULT_NS * ev->u.results->len;
	case WF_EV_ADVICE:
		return EVENT_NS + ADVICE_ANSWER_NS;
	default:
		return EVENT_NS;
	}
}

static uint64_t
effect_ns(const struct wf_effect *ef)
{
	switch (ef->type) {
	case WF_EF_STORE:
		return STORE_CALL_NS + STORE_WRITE_NS * ef->u.store.writes_len;
	case WF_EF_LOG:
		return LOG_NS;
	case WF_EF_ORDER:
		return RUNNER_ORDER_NS;
	case WF_EF_ORDERS:
		return CALL_NS + RELAYED_ORDER_NS * ef->u.orders.len;
	case WF_EF_RESULTS:
		return CALL_NS + RELAYED_RESULT_NS * ef->u.results.len;
	case WF_EF_ADVICE_REQUEST:
	case WF_EF_PEER_ADVICE_REQUEST:
		return ADVICE_CALL_NS +
		    ADVICE_RUNNER_NS * ef->u.advice_request.runners_len;
	case WF_EF_PEER_PUSH:
		return CALL_NS + PUSHED_RECORD_NS * ef->u.push.len;
	case WF_EF_PEER_PUT:
	case WF_EF_PEER_PING:
		return CALL_NS;
	default:
		return EFFECT_NS;
	}
}

void
sim_processor_begin_turn(struct sim_processor *p, const struct wf_meter *m,
    const struct wf_event *ev)
{
	p->in_turn = true;
	p->turn_ns = event_ns(ev);
	p->examined = m->total.examined;
}

void
sim_processor_add_effect(struct sim_processor *p, const struct wf_effect *ef)
{
	p->turn_ns += effect_ns(ef);
}

agb_time
sim_processor_turn_time(const struct sim_processor *p, const struct wf_meter *m)
{
	const uint64_t ns =
	    p->turn_ns + EXAMINED_NS * (m->total.examined - p->examined);

	if (!p->in_turn || p->speed_percent == 0)
		return 0;
	return ns * PERCENT / p->speed_percent / NS_PER_US;
}

void
sim_processor_end_turn(
    struct sim_processor *p, const struct wf_meter *m, agb_time now)
{
	p->busy_until = now + sim_processor_turn_time(p, m);
	p->in_turn = false;
}

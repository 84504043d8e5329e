#include "mem.h"
#include "world.h"

/* Every fault begins and ends in this window of simulated time. */
#define FAULT_WINDOW_START (12 * AGB_SEC)
#define FAULT_WINDOW_END (34 * AGB_SEC)

enum fault_kind {
	F_KILL,
	F_PAUSE,
	F_PARTITION,
	F_STORE_DOWN,
	F_STORE_SLOW,
	F_STORE_ANSWER_LOSS,
	F_WORKER_KILL,
	F_WORKER_RESTART,
	F_WORKER_UNREACHABLE,
	F_WORKER_LEAVE,
	F_TERM,
	F_MASS_CANCEL,
	F_MESSAGE_LOSS,
	F_MAX
};

/* Schedules up to six random faults. With a probability of 30 % a fault starts
 * together with the previous one. */
void
w_faults_schedule(struct world *w)
{
	struct fault *f;
	uint32_t i, n;

	n = w_random_below(w, 7);
	for (i = 0; i < n; i++) {
		f = &w->faults[w->faults_len];
		f->kind = (int)w_random_below(w, F_MAX);
		f->at = i > 0 && w_random(w) < 0.3 ? w->faults[i - 1].at
						   : FAULT_WINDOW_START +
			(agb_time)(w_random(w) *
			    (double)(FAULT_WINDOW_END - FAULT_WINDOW_START));
		f->duration = 200 * AGB_MS + (agb_time)(w_random(w) * 9e6);
		if (f->at + f->duration > FAULT_WINDOW_END)
			f->duration = FAULT_WINDOW_END - f->at;
		f->target = w_random_below(w, 60);
		w_schedule(w, f->at, SIM_FAULT_BEGIN)->index = w->faults_len;
		w_schedule(w, f->at + f->duration, SIM_FAULT_END)->index =
		    w->faults_len;
		w->faults_len++;
	}
}

/* Picks a worker that a fault may kill or drain. Workers 0 and 3 always stay,
 * so that each domain can finish the jobs that it has accepted. */
static uint32_t
removable_worker(uint32_t target)
{
	static const uint32_t removable[] = {1, 2, 4};

	return removable[target % 3];
}

static void
partition_domain(struct world *w, uint32_t target, bool partitioned)
{
	const bool a = target % 2 == 0;
	uint32_t i;

	for (i = 0; i < W_NODES; i++) {
		if ((w->nodes[i].domain[0] == 'a') == a)
			w->nodes[i].partitioned = partitioned;
	}
	if (!partitioned)
		w_watches_disconnect(w);
}

/* Asks a node to shut down gracefully. The request is queued like a message, so
 * that a paused instance handles it in order when it resumes. */
static void
send_term(struct world *w, uint32_t n)
{
	struct sim_event *m;

	if (!w->nodes[n].up || w->nodes[n].shutting_down)
		return;
	w->nodes[n].shutting_down = true;
	history_add(&w->history, w->now, REC_TERM)->node = n;
	m = w_schedule(w, w->now, SIM_NODE_EVENT);
	m->node = n;
	m->incarnation = w->nodes[n].incarnation;
	m->ev = agb_xcalloc(1, sizeof(*m->ev));
	m->ev->type = AGB_EV_TERM;
}

void
w_fault_begin(struct world *w, size_t i)
{
	const struct fault *const f = &w->faults[i];
	const uint32_t n = f->target % W_NODES;

	switch (f->kind) {
	case F_KILL:
		if (w->nodes[n].up)
			w_node_stop(w, n, REC_KILL);
		break;
	case F_PAUSE:
		if (!w->nodes[n].shutting_down)
			w->nodes[n].paused_until = w->now + f->duration;
		break;
	case F_PARTITION:
		partition_domain(w, f->target, true);
		break;
	case F_STORE_DOWN:
		w->store_down = true;
		break;
	case F_STORE_SLOW:
		w->store_slow = true;
		break;
	case F_STORE_ANSWER_LOSS:
		w->store_answer_loss = 0.3;
		break;
	case F_WORKER_KILL:
		if (!w->workers[removable_worker(f->target)].dead)
			w_worker_kill(w, removable_worker(f->target), false);
		break;
	case F_WORKER_RESTART:
		if (!w->workers[f->target % W_WORKERS].dead)
			w_worker_kill(w, f->target % W_WORKERS, true);
		break;
	case F_WORKER_UNREACHABLE:
		w->workers[f->target % W_WORKERS].unreachable = true;
		break;
	case F_WORKER_LEAVE:
		w_worker_leave(w, removable_worker(f->target));
		break;
	case F_TERM:
		send_term(w, n);
		break;
	case F_MASS_CANCEL:
		w_schedule(w, w->now, SIM_MASS_CANCEL);
		break;
	case F_MESSAGE_LOSS:
		w->message_loss = 0.08;
		break;
	default:
		break;
	}
}

void
w_fault_end(struct world *w, size_t i)
{
	const struct fault *const f = &w->faults[i];

	switch (f->kind) {
	case F_PARTITION:
		partition_domain(w, f->target, false);
		break;
	case F_STORE_DOWN:
		w->store_down = false;
		w_watches_disconnect(w);
		break;
	case F_STORE_SLOW:
		w->store_slow = false;
		break;
	case F_STORE_ANSWER_LOSS:
		w->store_answer_loss = 0;
		break;
	case F_WORKER_UNREACHABLE:
		w->workers[f->target % W_WORKERS].unreachable = false;
		break;
	case F_MESSAGE_LOSS:
		w->message_loss = 0;
		break;
	default:
		break;
	}
}

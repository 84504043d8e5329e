#include "mem.h"
#include "world.h"

#define FAULTS_FROM (12 * AGB_SEC)
#define FAULTS_UNTIL (34 * AGB_SEC)

enum fault_kind {
	F_KILL,
	F_PAUSE,
	F_CUT,
	F_STORE_DOWN,
	F_STORE_SLOW,
	F_STORE_LOSE,
	F_WORKER_DIE,
	F_WORKER_RESTART,
	F_WORKER_SILENT,
	F_WORKER_LEAVE,
	F_TERM,
	F_WAVE,
	F_LOSS,
	F_MAX
};

/* None to six faults, two of them often at the same moment. */
void
w_faults_draw(struct world *w)
{
	struct wfault *f;
	uint32_t i, n;

	n = w_below(w, 7);
	for (i = 0; i < n; i++) {
		f = &w->faults[w->faults_len];
		f->kind = (int)w_below(w, F_MAX);
		f->at = i > 0 && w_draw(w) < 0.3 ? w->faults[i - 1].at
						 : FAULTS_FROM +
			(agb_time)(w_draw(w) *
			    (double)(FAULTS_UNTIL - FAULTS_FROM));
		f->length = 200 * AGB_MS + (agb_time)(w_draw(w) * 9e6);
		if (f->at + f->length > FAULTS_UNTIL)
			f->length = FAULTS_UNTIL - f->at;
		f->who = w_below(w, 60);
		w_push(w, f->at, M_FAULT)->x = w->faults_len;
		w_push(w, f->at + f->length, M_HEAL)->x = w->faults_len;
		w->faults_len++;
	}
}

/* Workers 0 and 3 never die or leave, so that each domain can finish what it
 * has accepted. */
static uint32_t
mortal_worker(uint32_t who)
{
	static const uint32_t mortal[] = {1, 2, 4};

	return mortal[who % 3];
}

static void
cut_domain(struct world *w, uint32_t who, bool cut)
{
	const bool a = who % 2 == 0;
	uint32_t i;

	for (i = 0; i < W_NODES; i++) {
		if ((w->nodes[i].domain[0] == 'a') == a)
			w->nodes[i].cut = cut;
	}
	if (!cut)
		w_watches_break(w);
}

/* The signal arrives like a message, so that a paused instance takes it, and
 * what came before it, when it wakes up. */
static void
term(struct world *w, uint32_t n)
{
	struct msg *m;

	if (!w->nodes[n].up || w->nodes[n].term)
		return;
	w->nodes[n].term = true;
	history_add(&w->hist, w->now, REC_TERM)->node = n;
	m = w_push(w, w->now, M_EVENT);
	m->node = n;
	m->incarnation = w->nodes[n].incarnation;
	m->ev = agb_xcalloc(1, sizeof(*m->ev));
	m->ev->type = AGB_EV_TERM;
}

void
w_fault_begin(struct world *w, size_t i)
{
	const struct wfault *const f = &w->faults[i];
	const uint32_t n = f->who % W_NODES;

	switch (f->kind) {
	case F_KILL:
		if (w->nodes[n].up)
			w_node_stop(w, n, REC_KILL);
		break;
	case F_PAUSE:
		if (!w->nodes[n].term)
			w->nodes[n].paused_until = w->now + f->length;
		break;
	case F_CUT:
		cut_domain(w, f->who, true);
		break;
	case F_STORE_DOWN:
		w->store_down = true;
		break;
	case F_STORE_SLOW:
		w->store_slow = true;
		break;
	case F_STORE_LOSE:
		w->store_lose = 0.3;
		break;
	case F_WORKER_DIE:
		if (!w->workers[mortal_worker(f->who)].dead)
			w_worker_die(w, mortal_worker(f->who), false);
		break;
	case F_WORKER_RESTART:
		if (!w->workers[f->who % W_WORKERS].dead)
			w_worker_die(w, f->who % W_WORKERS, true);
		break;
	case F_WORKER_SILENT:
		w->workers[f->who % W_WORKERS].silent = true;
		break;
	case F_WORKER_LEAVE:
		w_worker_leave(w, mortal_worker(f->who));
		break;
	case F_TERM:
		term(w, n);
		break;
	case F_WAVE:
		w_push(w, w->now, M_WAVE);
		break;
	case F_LOSS:
		w->loss = 0.08;
		break;
	default:
		break;
	}
}

void
w_fault_end(struct world *w, size_t i)
{
	const struct wfault *const f = &w->faults[i];

	switch (f->kind) {
	case F_CUT:
		cut_domain(w, f->who, false);
		break;
	case F_STORE_DOWN:
		w->store_down = false;
		w_watches_break(w);
		break;
	case F_STORE_SLOW:
		w->store_slow = false;
		break;
	case F_STORE_LOSE:
		w->store_lose = 0;
		break;
	case F_WORKER_SILENT:
		w->workers[f->who % W_WORKERS].silent = false;
		break;
	case F_LOSS:
		w->loss = 0;
		break;
	default:
		break;
	}
}

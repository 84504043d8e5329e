/* Stand-in of the runners: runs of tasks, gangs, leases, effects of orders. */

#include <string.h>

#include "mem.h"
#include "world.h"

#define KILL_MS 300
#define GANG_WAIT_MS 3000
/* Response time of a long-running task, and what each best-effort task on the
 * same runner adds to it. */
#define RESPONSE_ALONE_MS 20
#define RESPONSE_BEST_EFFORT_MS 100

int64_t
sim_runner_clock(const struct sim *s, const struct sim_runner *r)
{
	return (int64_t)((s->now - r->started_at) / SIM_MS) + r->clock_base_ms;
}

/* The ends of several members count as one failed run of their gang. */
static void
count_failure(struct sim_job *j, const struct task_run *run)
{
	struct wf_task_ref ref = run->task;
	struct sim_task *first;

	sim_task_find(j, &ref)->failed++;
	ref.index = 0;
	first = sim_task_find(j, &ref);
	if (!j->spec.steps[ref.step].gang || first->gang_failed_run == run->run)
		return;
	first->gang_failed_run = run->run;
	first->gang_failed++;
}

static void
finish_run(struct sim *s, struct sim_runner *r, const struct task_run *run,
    enum wf_run_end how)
{
	struct sim_job *const j = sim_job_find(s, run->task.job);
	struct wf_finished_run *f;

	r->finished = agb_xreallocarray(
	    r->finished, r->finished_len + 1, sizeof(*r->finished));
	f = &r->finished[r->finished_len++];
	memset(f, 0, sizeof(*f));
	f->seq = ++r->seq;
	f->task = run->task;
	f->run = run->run;
	f->end = how;
	s->gang_timeouts += how == WF_END_GANG_TIMEOUT;
	r->barred =
	    agb_xreallocarray(r->barred, r->barred_len + 1, sizeof(*r->barred));
	r->barred[r->barred_len++] = *f;
	if (j == NULL)
		return;
	if (how == WF_END_DONE) {
		sim_task_find(j, &run->task)->done = true;
		j->done_at = s->now;
	}
	if (how == WF_END_FAILED)
		count_failure(j, run);
}

/* Whether two runs are of one gang: all but the index of the task is the same. */
static bool
same_gang(const struct task_run *a, const struct task_run *b)
{
	return a->run == b->run && a->task.step == b->task.step &&
	    a->task.occurrence == b->task.occurrence &&
	    wf_job_id_same_digits(a->task.job, b->task.job);
}

/* Counts the active members of a gang, which share their step and run
 * number. */
static unsigned
gang_members_present(struct sim *s, const struct task_run *g)
{
	unsigned ri, n;
	size_t i;

	n = 0;
	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; i < s->runners[ri].runs_len; i++) {
			const struct task_run *const x =
			    &s->runners[ri].runs[i];

			if (same_gang(x, g))
				n++;
		}
	}
	return n;
}

static void
for_gang_members(struct sim *s, const struct task_run *g,
    void (*fn)(struct sim *s, struct task_run *x, uint64_t a), uint64_t a)
{
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		for (i = 0; i < s->runners[ri].runs_len; i++) {
			struct task_run *const x = &s->runners[ri].runs[i];

			if (same_gang(x, g))
				fn(s, x, a);
		}
	}
}

static const char *
rack_of(const struct sim_runner *r)
{
	return r->info.labels_len > 0 ? r->info.labels[r->info.labels_len - 1]
				      : "";
}

/* Whether the members of a gang are on several racks, or one of them is away from
 * the rack of its data. */
static bool
gang_is_remote(
    struct sim *s, const struct wf_step *step, const struct task_run *g)
{
	const struct sim_runner *first = NULL, *r;
	bool remote = false;
	unsigned ri;
	size_t i;

	for (ri = 0; ri < s->o.runners; ri++) {
		r = &s->runners[ri];
		for (i = 0; i < r->runs_len; i++) {
			if (!same_gang(&r->runs[i], g))
				continue;
			if (first == NULL)
				first = r;
			remote |= !wf_runner_has_label(&r->info, step->rack) ||
			    (step->rack_local &&
				strcmp(rack_of(r), rack_of(first)) != 0);
		}
	}
	return remote;
}

/* Run time of a task or of a whole gang. */
static agb_time
run_time(const struct sim *s, const struct sim_job *j,
    const struct wf_step *step, bool remote)
{
	const uint64_t stretch =
	    s->o.run_time_factor > 0 ? s->o.run_time_factor : 1;
	const agb_time time =
	    (j->run_ms > 0 ? j->run_ms : step->estimate_ms) * stretch * SIM_MS;

	return remote && s->o.remote_factor > 1
	    ? (agb_time)((double)time * s->o.remote_factor)
	    : time;
}

static void
start_member(struct sim *s, struct task_run *x, uint64_t ends)
{
	x->awaits_gang = false;
	x->works_since = s->now;
	x->ends_at = ends;
	x->end = WF_END_DONE;
}

static void
start_failing_member(struct sim *s, struct task_run *x, uint64_t ends)
{
	start_member(s, x, ends);
	x->end = WF_END_FAILED;
}

static void
break_member(struct sim *s, struct task_run *x, uint64_t a)
{
	if (x->ends_at > s->now || x->awaits_gang || x->ends_at == 0) {
		x->ends_at = s->now;
		x->awaits_gang = false;
		x->end = WF_END_GANG_BROKEN;
	}
}

/* The tasks of a stalled runner make no progress. */
static void
update_progress(struct sim *s, const struct sim_runner *r, struct task_run *x)
{
	const agb_time step = 5 * SIM_MS;

	if (x->awaits_gang || x->ends_at <= x->works_since || x->stopping)
		return;
	if (r->stalled) {
		x->works_since += step;
		x->ends_at += step;
		return;
	}
	if (s->now >= x->ends_at)
		return;
	x->percent = (uint32_t)((s->now - x->works_since) * 100 /
	    (x->ends_at - x->works_since));
}

static void
run_remove(struct sim_runner *r, size_t i)
{
	r->runs[i] = r->runs[--r->runs_len];
}

/* Ends the runs whose end time has come. */
static void
runner_step(struct sim *s, struct sim_runner *r)
{
	struct task_run x;
	size_t i;

	if (!r->up)
		return;
	for (i = r->runs_len; i > 0; i--) {
		if (s->o.runner_stalls)
			update_progress(s, r, &r->runs[i - 1]);
		x = r->runs[i - 1];
		if (r->lease_until <= s->now) {
			run_remove(r, i - 1);
			finish_run(s, r, &x, WF_END_LEASE_EXPIRED);
			for_gang_members(s, &x, break_member, 0);
			continue;
		}
		if (x.awaits_gang &&
		    s->now - x.started_at > GANG_WAIT_MS * SIM_MS) {
			run_remove(r, i - 1);
			finish_run(s, r, &x, WF_END_GANG_TIMEOUT);
			continue;
		}
		if (x.awaits_gang || x.ends_at == 0 || s->now < x.ends_at ||
		    (r->stalled && !x.stopping))
			continue;
		run_remove(r, i - 1);
		finish_run(s, r, &x, x.end);
		if (x.end != WF_END_DONE) {
			const struct sim_job *const j =
			    sim_job_find(s, x.task.job);

			if (j != NULL && j->spec.steps[x.task.step].gang)
				for_gang_members(s, &x, break_member, 0);
		}
	}
}

void
sim_step_runners(struct sim *s, struct sim_event *e)
{
	unsigned ri;

	for (ri = 0; ri < s->o.runners; ri++)
		runner_step(s, &s->runners[ri]);
	sim_schedule(s, 5 * SIM_MS, sim_step_runners);
}

static bool
run_is_barred(const struct sim_runner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->barred_len; i++) {
		if (sim_same_name(&r->barred[i].task, &o->task) &&
		    o->run <= r->barred[i].run)
			return true;
	}
	return false;
}

static void
extend_runner_lease(struct sim *s, struct sim_runner *r, int64_t deadline_ms)
{
	int64_t ms;

	if (deadline_ms == 0)
		return;
	ms = deadline_ms - sim_runner_clock(s, r);
	if (ms > HOLD_MAX_MS)
		ms = HOLD_MAX_MS;
	if (ms > 0 && s->now + (agb_time)ms * SIM_MS > r->lease_until)
		r->lease_until = s->now + (agb_time)ms * SIM_MS;
}

/* Finds the job of a start by its digits and its payload, which is all that a
 * runner is told. */
static struct sim_job *
job_of_start(const struct sim *s, const struct wf_order *o)
{
	const bool further = o->payload_len > 0 && o->payload[0] == '~';
	char id[2 * WF_JOB_ID_LEN];

	snprintf(id, sizeof(id), "%.*s%.*s",
	    (int)wf_job_id_digits_len(o->task.job), o->task.job,
	    further ? (int)o->payload_len : 0, further ? o->payload : "");
	return sim_job_find(s, id);
}

static enum wf_order_status
do_start(struct sim *s, struct sim_runner *r, struct wf_order *o)
{
	struct sim_job *const j = job_of_start(s, o);
	const struct wf_step *step;
	struct task_run *x;
	bool remote, fails;
	size_t i;

	if (j == NULL) {
		sim_report_violation(
		    s, "unknown: %s was never submitted", o->task.job);
		return WF_ORDER_INVALID;
	}
	if (o->deadline_ms < sim_runner_clock(s, r))
		return WF_ORDER_LATE;
	extend_runner_lease(s, r, o->deadline_ms);
	for (i = 0; i < r->runs_len; i++) {
		if (sim_same_name(&r->runs[i].task, &o->task) &&
		    r->runs[i].run == o->run)
			return WF_ORDER_OK;
	}
	if (run_is_barred(r, o))
		return WF_ORDER_OLD;
	/* What the runner has of the job is found by the simulation's name. */
	agb_str_copy(o->task.job, sizeof(o->task.job), j->id);
	sim_check_start(s, r, j, o);
	step = &j->spec.steps[o->task.step];
	j->starts++;
	if (j->started_at == 0)
		j->started_at = s->now;
	sim_task_find(j, &o->task)->starts++;
	r->runs = agb_xreallocarray(r->runs, r->runs_len + 1, sizeof(*r->runs));
	x = &r->runs[r->runs_len++];
	memset(x, 0, sizeof(*x));
	x->task = o->task;
	x->run = o->run;
	x->need = step->need;
	x->started_at = s->now;
	x->pace = 100;
	x->end = r->faulty || sim_chance(s, s->o.fail_percent) ||
		o->run <= j->failing_runs
	    ? WF_END_FAILED
	    : WF_END_DONE;
	if (step->gang && step->count > 1) {
		x->awaits_gang = true;
		if (gang_members_present(s, x) != step->count)
			return WF_ORDER_OK;
		remote = gang_is_remote(s, step, x);
		j->remote += remote ? step->count : 0;
		fails = o->run <= j->failing_runs ||
		    (s->o.gang_fail_percent > 0 &&
			sim_chance(s, s->o.gang_fail_percent));
		for_gang_members(s, x,
		    fails ? start_failing_member : start_member,
		    s->now + run_time(s, j, step, remote));
	} else {
		remote = !wf_runner_has_label(&r->info, step->rack);
		j->remote += remote;
		x->works_since = s->now;
		x->ends_at = s->now +
		    (x->end == WF_END_FAILED ? 50 * SIM_MS
					     : run_time(s, j, step, remote));
	}
	return WF_ORDER_OK;
}

static enum wf_order_status
do_stop(struct sim *s, struct sim_runner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (!sim_same_name(&r->runs[i].task, &o->task) ||
		    r->runs[i].run > o->run)
			continue;
		if (!r->runs[i].stopping) {
			r->runs[i].stopping = true;
			r->runs[i].awaits_gang = false;
			r->runs[i].end = WF_END_STOPPED;
			r->runs[i].ends_at =
			    s->now + sim_rnd(s, KILL_MS) * SIM_MS;
		}
		return WF_ORDER_OK;
	}
	r->barred =
	    agb_xreallocarray(r->barred, r->barred_len + 1, sizeof(*r->barred));
	memset(&r->barred[r->barred_len], 0, sizeof(*r->barred));
	r->barred[r->barred_len].task = o->task;
	r->barred[r->barred_len++].run = o->run;
	return WF_ORDER_OK;
}

static void
forget_ends(struct sim *s, struct sim_runner *r, uint64_t upto)
{
	struct sim_job *j;
	size_t i, n;

	n = 0;
	for (i = 0; i < r->finished_len; i++) {
		if (r->finished[i].seq > upto) {
			r->finished[n++] = r->finished[i];
			continue;
		}
		j = sim_job_find(s, r->finished[i].task.job);
		if (j != NULL && r->finished[i].end == WF_END_DONE)
			sim_task_find(j, &r->finished[i].task)->done_observed =
			    true;
	}
	r->finished_len = n;
}

uint32_t
sim_runner_response_ms(struct sim *s, const struct sim_runner *r)
{
	const struct sim_job *j;
	uint32_t ms = RESPONSE_ALONE_MS;
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		j = sim_job_find(s, r->runs[i].task.job);
		if (j != NULL &&
		    j->spec.steps[r->runs[i].task.step].best_effort)
			ms += RESPONSE_BEST_EFFORT_MS * r->runs[i].pace / 100;
	}
	return ms;
}

static void
do_pace(struct sim_runner *r, const struct wf_order *o)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		if (sim_same_name(&r->runs[i].task, &o->task) &&
		    r->runs[i].run == o->run)
			r->runs[i].pace = o->percent;
	}
}

/* Makes the key of the job from what a runner lists, as the platform does. */
static void
read_name(struct wf_task_ref *t, uint32_t run)
{
	wf_job_id digits;

	wf_job_id_make(digits, t->job, 0);
	wf_job_id_of_run(t->job, digits, run);
}

void
sim_fill_lists(struct sim *s, struct sim_runner *r, struct order_call *c)
{
	const uint32_t load = sim_runner_response_ms(s, r);
	size_t i;

	c->res.active = agb_xcalloc(r->runs_len + 1, sizeof(*c->res.active));
	for (i = 0; i < r->runs_len; i++) {
		c->res.active[i].task = r->runs[i].task;
		c->res.active[i].run = r->runs[i].run;
		read_name(&c->res.active[i].task, r->runs[i].run);
		c->res.active[i].percent =
		    s->o.runner_stalls ? r->runs[i].percent : 100;
		c->res.active[i].load = load;
	}
	c->res.active_len = r->runs_len;
	c->res.finished =
	    agb_xcalloc(r->finished_len + 1, sizeof(*c->res.finished));
	c->res.finished_len = r->finished_len < WF_ENDS_PER_LIST
	    ? r->finished_len
	    : WF_ENDS_PER_LIST;
	if (r->finished_len > 0)
		memcpy(c->res.finished, r->finished,
		    c->res.finished_len * sizeof(*r->finished));
	for (i = 0; i < c->res.finished_len; i++)
		read_name(&c->res.finished[i].task, c->res.finished[i].run);
}

void
sim_do_order(struct sim *s, struct sim_runner *r, struct order_call *c)
{
	const uint64_t token = wf_order_token(&c->o);

	if (token < r->fence) {
		c->res.status = WF_ORDER_FENCED;
		return;
	}
	r->fence = token;
	switch (c->o.kind) {
	case WF_ORDER_START:
		c->res.status = do_start(s, r, &c->o);
		break;
	case WF_ORDER_STOP:
		c->res.status = do_stop(s, r, &c->o);
		break;
	case WF_ORDER_PACE:
		do_pace(r, &c->o);
		c->res.status = WF_ORDER_OK;
		break;
	case WF_ORDER_HOLD:
		extend_runner_lease(s, r, c->o.deadline_ms);
		forget_ends(s, r, c->o.forget_seq);
		c->res.status = WF_ORDER_OK;
		break;
	}
	c->res.clock_ms = sim_runner_clock(s, r);
	/* Only the answers to holds say which process has given them. */
	c->res.started_ms = c->o.kind == WF_ORDER_HOLD ? r->info.started_ms : 0;
}

void
sim_runner_cut(struct sim *s, unsigned ri, bool cut)
{
	s->runners[ri].unreachable = cut;
}

void
sim_runner_cut_registry(struct sim *s, unsigned ri, bool cut)
{
	s->runners[ri].unregistered = cut;
}

static void
runner_clear(struct sim_runner *r)
{
	r->runs_len = 0;
	r->finished_len = 0;
	r->barred_len = 0;
	r->seq = 0;
	r->fence = 0;
	r->lease_until = 0;
}

/* The clock of a new process has nothing to do with that of the former one. It
 * may be far ahead of it or far behind. */
static int64_t
new_clock_base_ms(const struct sim *s)
{
	return 1000 +
	    (int64_t)(s->now / SIM_MS * 7919 % ((uint64_t)2 * CLOCK_BASE_MS));
}

static void
restart_runner(struct sim *s, struct sim_event *e)
{
	struct sim_runner *const r = &s->runners[e->a];

	r->up = true;
	r->info.started_ms = UNIX_BASE_MS + (int64_t)(s->now / SIM_MS) -
	    (int64_t)r->wall_clock_back_ms;
	r->started_at = s->now;
	r->clock_base_ms = new_clock_base_ms(s);
	r->unreachable = r->unreachable && !r->crashed_silently;
	r->crashed_silently = false;
	r->info.draining = false;
	r->info.remaining_ms = -1;
}

static void
break_lost_gangs(struct sim *s, struct sim_runner *r)
{
	size_t i;

	for (i = 0; i < r->runs_len; i++) {
		const struct sim_job *const j =
		    sim_job_find(s, r->runs[i].task.job);

		if (j != NULL && j->spec.steps[r->runs[i].task.step].gang)
			for_gang_members(s, &r->runs[i], break_member, 0);
	}
}

void
sim_runner_crash(struct sim *s, unsigned ri, unsigned back_ms)
{
	struct sim_runner *const r = &s->runners[ri];

	if (!r->up)
		return;
	r->up = false;
	break_lost_gangs(s, r);
	runner_clear(r);
	if (back_ms > 0)
		sim_schedule(s, back_ms * SIM_MS, restart_runner)->a = ri;
}

void
sim_runner_crash_silently(struct sim *s, unsigned ri, unsigned back_ms)
{
	struct sim_runner *const r = &s->runners[ri];

	if (!r->up || r->unreachable)
		return;
	sim_runner_crash(s, ri, back_ms);
	r->unreachable = true;
	r->crashed_silently = true;
}

void
sim_runner_set_clock_back(struct sim *s, unsigned ri, unsigned ms)
{
	s->runners[ri].wall_clock_back_ms = ms;
}

void
sim_runner_set_addr(struct sim *s, unsigned ri, const char *addr)
{
	struct wf_runner_info *const info = &s->runners[ri].info;

	agb_str_copy(info->addr, sizeof(info->addr), addr);
}

void
sim_runner_set_label(struct sim *s, unsigned ri, const char *label)
{
	struct wf_runner_info *const info = &s->runners[ri].info;

	agb_str_copy(info->labels[0], sizeof(info->labels[0]), label);
	info->labels_len = 1;
}

static void
stop_drained_runner(struct sim *s, struct sim_event *e)
{
	struct sim_runner *const r = &s->runners[e->a];

	if (!r->up || !r->info.draining)
		return;
	r->up = false;
	r->listed = false;
	break_lost_gangs(s, r);
	runner_clear(r);
	sim_send_registry_to_all(s);
	if (e->b > 0)
		sim_schedule(s, e->b * SIM_MS, restart_runner)->a = e->a;
}

void
sim_runner_drain(struct sim *s, unsigned ri, unsigned leave_ms)
{
	struct sim_event *e;

	s->runners[ri].info.draining = true;
	s->runners[ri].info.remaining_ms = leave_ms;
	s->runners[ri].entry = s->runners[ri].info;
	sim_send_registry_to_all(s);
	e = sim_schedule(s, leave_ms * SIM_MS, stop_drained_runner);
	e->a = ri;
	e->b = 3000;
}

void
sim_runner_stall(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].stalled = on;
}

void
sim_runner_lose_hold(struct sim *s, unsigned ri)
{
	s->runners[ri].loses_hold = true;
}

void
sim_runner_faulty(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].faulty = on;
}

void
sim_fail_runs(struct sim *s, const char *id, unsigned upto)
{
	sim_job_find(s, id)->failing_runs = upto;
}

void
sim_set_run_time(struct sim *s, const char *id, unsigned ms)
{
	sim_job_find(s, id)->run_ms = ms;
}

void
sim_runner_ignore_starts(struct sim *s, unsigned ri, bool on)
{
	s->runners[ri].ignores_starts = on;
}

void
sim_runner_delay_starts(struct sim *s, unsigned ri, unsigned ms)
{
	s->runners[ri].start_delay_ms = ms;
}

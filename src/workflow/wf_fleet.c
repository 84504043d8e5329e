#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "mem.h"
#include "wf_leader.h"

/* Lease given to a runner with each hold. A runner that is cut off works on
 * for this long, and its tasks cannot be placed elsewhere before. */
#define HOLD_MS 4000
/* The runner's clock may be 2% slow; the rest covers rounding. */
#define LEASE_SLOW_PERMILLE 1021
#define LEASE_MARGIN_MS 50
/* A start that is not carried out by then is refused by its deadline. */
#define START_MS 1500
#define START_TIMEOUT_MS 300
#define STOP_TIMEOUT_MS 400
#define STOP_REPEAT_MS 350
/* Longest wait of a hold for an end. */
#define HOLD_WAIT_MS 1000
#define HOLD_TIMEOUT_MS 1600
#define HOLD_GAP_MS 10
#define TICK_GAP_MS 3
/* A hold would return at once while ends are listed that are not durable. */
#define HOLD_ACK_GAP_MS 80
#define HOLD_ACK_GAP_RELAYED_MS 120
#define HOLD_RETRY_MS 200
/* A runner that has not answered takes no new tasks for this long. */
#define SHUN_LOST_MS 1000
#define FENCED_MS 3000
#define SHUN_BUSY_MS 500
/* Failed ends in a row, without a success, after which a runner is taken as
 * faulty, and for how long. */
#define FAIL_STREAK_MAX 2
#define SHUN_FAULTY_MS 5000
/* A task that shows the same progress for this long and for a quarter of its
 * estimate stands still; one that is ten times too slow does not. */
#define STILL_MS 700
#define STILL_LISTS 2
#define STILL_ESTIMATE_SHARE 4
/* Before its first progress a task loads its data or its checkpoint. */
#define STILL_BEGIN_MS 1500
#define SHUN_STILL_MS 1500
/* A task that stands still is stopped no sooner, and not before it has stood
 * for as long as the work that a stop throws away has taken. */
#define STILL_STOP_MS 1200
/* Work since the last checkpoint, at most. */
#define STILL_SAVED_MS 1000
/* Tasks that fill are slowed when the response times of a task beside them
 * are over this share of their bound, and work faster again when they are
 * under the lower one. A change shows after about half a second. */
#define TAIL_HIGH_PERCENT 85
#define TAIL_LOW_PERCENT 60
#define PACE_DOWN_MS 700
#define PACE_UP_MS 2000
#define PACE_UP_PERCENT 20
#define PACE_LEAST_PERCENT 10
#define PACE_TIMEOUT_MS 400
/* Not a share: the order to set it was not answered. */
#define PACE_UNKNOWN UINT32_MAX
#define LISTED_WAIT_MS 3000
/* Heartbeats have to be missing for longer before an entry lapses. */
#define LEFT_HEARD_MS 2500
/* After an election, time for the runners to show what they hold. */
#define MEET_MS 300
#define MEET_SHARE_PERCENT 85
/* A runner that is not listed and has no tasks is forgotten after this. */
#define FORGET_MS 30000

bool
wf_fleet_usable(const struct wf_runner *r, agb_time now)
{
	return r->used && r->listed && r->reported && !r->info.draining &&
	    now >= r->excluded_until;
}

struct agb_resources
wf_runner_free_resources(const struct wf_runner *r)
{
	struct agb_resources room = r->info.capacity;

	agb_resources_sub(&room, &r->allocated);
	return room;
}

bool
wf_fleet_eligible(const struct wf_runner *r, const struct wf_step *step,
    const char *service, agb_time now)
{
	return wf_fleet_usable(r, now) &&
	    strcmp(r->info.service, service) == 0 &&
	    wf_runner_has_label(&r->info, step->label);
}

bool
wf_fleet_reported(const struct wf_leader *l, agb_time now)
{
	uint32_t i, listed, met;

	if (!l->registry_seen)
		return false;
	if (now > l->elected_at + MEET_MS * AGB_MS)
		return true;
	listed = 0;
	met = 0;
	for (i = 0; i < l->runners_len; i++) {
		listed += l->runners[i].used && l->runners[i].listed;
		met += l->runners[i].used && l->runners[i].reported;
	}
	return met * 100 >= listed * MEET_SHARE_PERCENT;
}

uint32_t
wf_fleet_find(const struct wf_leader *l, const char *id)
{
	const struct wf_runner_by_id *x;

	HASH_FIND_STR(l->runners_by_id, id, x);
	return x != NULL ? x->runner : WF_NO_HANDLE;
}

static void
id_add(struct wf_leader *l, const char *id, uint32_t runner)
{
	struct wf_runner_by_id *const x = agb_xcalloc(1, sizeof(*x));

	agb_name_set(x->id, sizeof(x->id), id);
	x->runner = runner;
	HASH_ADD_STR(l->runners_by_id, id, x);
}

static void
id_drop(struct wf_leader *l, const char *id)
{
	struct wf_runner_by_id *x;

	HASH_FIND_STR(l->runners_by_id, id, x);
	if (x == NULL)
		return;
	HASH_DEL(l->runners_by_id, x);
	free(x);
}

static uint32_t
runner_slot(struct wf_leader *l)
{
	uint32_t i;

	for (i = 0; i < l->runners_len; i++) {
		if (!l->runners[i].used)
			return i;
	}
	l->runners = agb_xreallocarray(
	    l->runners, l->runners_len + 1, sizeof(*l->runners));
	memset(&l->runners[l->runners_len], 0, sizeof(*l->runners));
	return l->runners_len++;
}

uint32_t
wf_fleet_find_or_add(struct wf_leader *l, const char *id, agb_time now)
{
	struct wf_runner *r;
	uint32_t i, life;

	i = wf_fleet_find(l, id);
	if (i != WF_NO_HANDLE)
		return i;
	i = runner_slot(l);
	r = &l->runners[i];
	life = r->life;
	wf_seen_free(&r->route.seen);
	memset(r, 0, sizeof(*r));
	r->pace_percent = 100;
	r->used = true;
	r->life = life + 1;
	r->unlisted_at = now;
	r->next_hold_at = now;
	/* An earlier leader may have extended leases until its own right to
	 * do so ended. */
	r->lease_until = l->elected_at +
	    (agb_time)(WF_EXTEND_GRACE_MS + HOLD_MS) * LEASE_SLOW_PERMILLE;
	agb_name_set(r->info.id, sizeof(r->info.id), id);
	id_add(l, id, i);
	return i;
}

static void
task_gone(struct wf_leader *l, const struct wf_now *now, struct wf_task *t,
    const char *why, struct wf_effects *out)
{
	if (t->state == WF_TASK_DONE)
		wf_task_release(l, t->unit, t);
	else
		wf_task_requeue(l, now, t->unit, t, why, out);
}

/* All tasks that are counted at a runner are certainly not there any more. */
static void
requeue_all(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const char *why, struct wf_effects *out)
{
	while (l->runners[ri].tasks != NULL)
		task_gone(l, now, l->runners[ri].tasks, why, out);
}

/* A start without an answer may have reached the new life: only a stop that
 * is answered there tells. */
static bool
may_be_in_new_life(const struct wf_task *t)
{
	return t->state == WF_TASK_INTENT ||
	    (t->state == WF_TASK_SENT && !t->recovered &&
		t->start_accepted_at == 0);
}

/* The same for the tasks of earlier lives. */
static void
requeue_earlier(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    int64_t born_ms, struct wf_effects *out)
{
	struct wf_task *t;
	bool again;

	do {
		again = false;
		for (t = l->runners[ri].tasks; t != NULL; t = t->next) {
			if (t->born_ms == born_ms)
				continue;
			again = true;
			if (may_be_in_new_life(t)) {
				t->born_ms = born_ms;
				t->life = l->runners[ri].life + 1;
				t->start_deadline_ms = 0;
				wf_task_stop(l, now, t->unit, t,
				    "runner restarted", out);
				break;
			}
			task_gone(l, now, t, "runner restarted", out);
			break;
		}
	} while (again);
}

static void
strays_clear(struct wf_runner *r)
{
	size_t i;

	for (i = 0; i < r->orphan_runs_len; i++)
		agb_resources_sub(&r->allocated, &r->orphan_runs[i].need);
	free(r->orphan_runs);
	r->orphan_runs = NULL;
	r->orphan_runs_len = 0;
}

void
wf_fleet_clear(struct wf_leader *l)
{
	struct wf_runner_by_id *x, *next;
	uint32_t i;

	for (i = 0; i < l->runners_len; i++)
		free(l->runners[i].orphan_runs);
	free(l->runners);
	x = l->runners_by_id;
	HASH_CLEAR(hh, l->runners_by_id);
	for (; x != NULL; x = next) {
		next = x->hh.next;
		free(x);
	}
}

/* The runner has started again: it holds and knows nothing of before. */
static void
new_life(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    int64_t born_ms, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];

	if (r->info.started_ms > 0)
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=restarted born_ms=%" PRId64
		    " born_before_ms=%" PRId64,
		    r->info.id, born_ms, r->info.started_ms);
	requeue_earlier(l, now, ri, born_ms, out);
	strays_clear(r);
	r->life++;
	r->info.started_ms = born_ms;
	r->reported = false;
	r->hold_pending = false;
	r->next_hold_at = now->mono;
	r->processed_seq = 0;
	r->durable_seq = 0;
	r->clock_ms = 0;
	r->fail_streak = 0;
	r->pace_percent = 100;
	if (r->tasks == NULL)
		r->lease_until = now->mono;
	l->placement_changed = true;
}

static void
runner_gone(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];

	if (!r->listed)
		return;
	r->listed = false;
	r->unlisted_at = now->mono;
	/* An entry lapses after a long silence only; one that was draining and
	 * has answered lately was removed because it has left. */
	r->has_left = r->info.draining && r->heard_at > 0 &&
	    now->mono - r->heard_at < LEFT_HEARD_MS * AGB_MS;
	wf_effects_log(out, AGB_LOG_INFO, "runner",
	    "runner=%s change=unlisted heard_ms_ago=%" PRIu64 " left=%s",
	    r->info.id, (now->mono - r->heard_at) / AGB_MS,
	    r->has_left ? "yes" : "no");
}

static void
runner_entry(struct wf_leader *l, const struct wf_now *now,
    const struct wf_runner_info *info, struct wf_effects *out)
{
	const uint32_t ri = wf_fleet_find_or_add(l, info->id, now->mono);
	struct wf_runner *const r = &l->runners[ri];
	const bool was_listed = r->listed;
	const bool was_draining = r->info.draining;
	const bool is_new = r->info.addr[0] == '\0';

	/* An entry may be older than what the runner has said itself. */
	if (info->started_ms < r->info.started_ms)
		return;
	if (info->started_ms != r->info.started_ms)
		new_life(l, now, ri, info->started_ms, out);
	r->info = *info;
	r->listed = true;
	if (!was_listed)
		r->next_hold_at = now->mono;
	/* Those that were there before this leader are counted in one line. */
	if (!was_listed && (l->registry_seen || !is_new)) {
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=listed service=%s domain=%s"
		    " cpu_milli=%" PRId64 " mem_mb=%" PRId64 " born_ms=%" PRId64
		    " draining=%d",
		    info->id, info->service, info->domain,
		    info->capacity.cpu_milli, info->capacity.mem_mb,
		    info->started_ms, info->draining);
	}
	if (info->draining && !was_draining)
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=draining remaining_ms=%" PRId64, info->id,
		    info->remaining_ms);
	if (!was_listed || info->draining != was_draining)
		l->placement_changed = true;
}

void
wf_fleet_apply_changes(struct wf_leader *l, const struct wf_now *now,
    const struct wf_registry_update *rs, struct wf_effects *out)
{
	uint32_t ri;
	size_t i;

	if (rs->full) {
		for (ri = 0; ri < l->runners_len; ri++) {
			for (i = 0; i < rs->items_len; i++) {
				if (strcmp(rs->items[i].info.id,
					l->runners[ri].info.id) == 0)
					break;
			}
			if (i == rs->items_len && l->runners[ri].used)
				runner_gone(l, now, ri, out);
		}
	}
	for (i = 0; i < rs->items_len; i++) {
		if (!rs->items[i].removed) {
			runner_entry(l, now, &rs->items[i].info, out);
			continue;
		}
		ri = wf_fleet_find(l, rs->items[i].info.id);
		if (ri != WF_NO_HANDLE)
			runner_gone(l, now, ri, out);
	}
	if (rs->full)
		wf_effects_log(out, AGB_LOG_INFO, "fleet",
		    "runners=%zu first=%s", rs->items_len,
		    l->registry_seen ? "no" : "yes");
	l->registry_seen = true;
	/* Relays are chosen for the runners that are there. */
	if (rs->full)
		l->outbox.check_at = 0;
}

/* A runner's clock, at least: it may be slow since it was read, and a lease
 * must not end later than the leader believes. */
static int64_t
clock_now(const struct wf_runner *r, agb_time now)
{
	const agb_time since = (now - r->clock_at) / AGB_MS;

	return r->clock_ms + (int64_t)(since * 1000 / LEASE_SLOW_PERMILLE);
}

static struct wf_order *
order_new(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    enum wf_order_kind kind, uint32_t timeout_ms)
{
	const struct wf_runner *const r = &l->runners[ri];
	struct wf_order *const o = wf_outbox_add(l);

	o->kind = kind;
	o->runner = ri;
	o->incarnation = r->life;
	o->sent_at = now->mono;
	agb_name_set(o->runner_id, sizeof(o->runner_id), r->info.id);
	agb_name_set(o->addr, sizeof(o->addr), r->info.addr);
	o->fence = l->fence;
	o->timeout_ms = timeout_ms;
	return o;
}

static void
lease_extend(struct wf_runner *r, agb_time now, uint32_t ms)
{
	const agb_time until =
	    now + (agb_time)ms * LEASE_SLOW_PERMILLE + LEASE_MARGIN_MS * AGB_MS;

	if (until > r->lease_until)
		r->lease_until = until;
}

static void
send_start(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t)
{
	struct wf_runner *const r = &l->runners[t->runner];
	const struct wf_spec *const spec = &u->exec->job->spec;
	const struct wf_approval *a;
	struct wf_order *o;

	t->start_deadline_ms = clock_now(r, now->mono) + START_MS;
	lease_extend(r, now->mono, START_MS);
	o = order_new(l, now, t->runner, WF_ORDER_START, START_TIMEOUT_MS);
	wf_task_ref(t, &o->task);
	o->run = t->run;
	o->deadline_ms = t->start_deadline_ms;
	o->payload = agb_xmemdup(spec->payload, spec->payload_len);
	o->payload_len = spec->payload_len;
	if (t->checkpoint != NULL)
		agb_name_set(
		    o->checkpoint, sizeof(o->checkpoint), t->checkpoint);
	a = wf_advice_find(u, t->runner);
	if (a != NULL && a->approved)
		agb_name_set(o->ticket, sizeof(o->ticket), a->ticket);
}

void
wf_fleet_send_start(struct wf_leader *l, const struct wf_now *now,
    struct wf_unit *u, struct wf_task *t, struct wf_effects *out)
{
	const struct wf_runner *const r = &l->runners[t->runner];
	struct wf_task_ref ref;

	t->state = WF_TASK_SENT;
	t->sent_at = now->mono;
	t->progress_run = 0;
	t->pace_percent = 100;
	send_start(l, now, u, t);
	wf_task_ref(t, &ref);
	wf_effects_log_run(out, AGB_LOG_INFO, "start", &ref, t->run, r->info.id,
	    "fence=%" PRIu64 " document=%" PRIu64 " waited_ms=%" PRIu64
	    " free_cpu=%" PRId64,
	    l->fence, l->doc != NULL ? l->doc->version : 0,
	    (now->mono - u->ready_at) / AGB_MS,
	    wf_runner_free_resources(r).cpu_milli);
}

static void
send_stop(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_task_ref *ref, uint32_t run)
{
	struct wf_order *const o =
	    order_new(l, now, ri, WF_ORDER_STOP, STOP_TIMEOUT_MS);

	o->task = *ref;
	o->run = run;
}

/* A look at the lists beside the hold that waits for an end. It acknowledges
 * none: it follows a lost answer, and the runner may have restarted. */
static void
send_look(struct wf_leader *l, const struct wf_now *now, uint32_t ri)
{
	struct wf_order *const o =
	    order_new(l, now, ri, WF_ORDER_HOLD, START_TIMEOUT_MS);

	o->is_probe = true;
}

static void
send_hold(struct wf_leader *l, const struct wf_now *now, uint32_t ri)
{
	struct wf_runner *const r = &l->runners[ri];
	struct wf_order *const o =
	    order_new(l, now, ri, WF_ORDER_HOLD, HOLD_TIMEOUT_MS);

	r->hold_pending = true;
	/* The first one only reads the lists and the clock. One to a runner
	 * that does not answer must not extend its lease, which has to run out
	 * before its tasks start elsewhere. Nor does it acknowledge ends: the
	 * runner may have restarted and count them anew, and an order that is
	 * carried out late would remove ends that nobody has read. */
	if (!r->reported || r->clock_ms == 0 || r->silent)
		return;
	o->forget_seq = r->durable_seq;
	o->known_seq = r->processed_seq;
	o->wait_ms = r->processed_seq > r->durable_seq ? 0 : HOLD_WAIT_MS;
	o->deadline_ms = clock_now(r, now->mono) + HOLD_MS;
	lease_extend(r, now->mono, HOLD_MS);
}

static void
shun(struct wf_runner *r, agb_time now, uint32_t ms)
{
	const agb_time until = now + (agb_time)ms * AGB_MS;

	if (until > r->excluded_until)
		r->excluded_until = until;
}

static void
note_end(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    enum wf_run_end how, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];

	if (how == WF_END_DONE)
		r->fail_streak = 0;
	if (how != WF_END_FAILED)
		return;
	if (++r->fail_streak < FAIL_STREAK_MAX)
		return;
	shun(r, now->mono, SHUN_FAULTY_MS);
	wf_effects_log(out, AGB_LOG_WARN, "runner",
	    "runner=%s change=faulty failures_in_a_row=%" PRIu32
	    " shunned_ms=%d",
	    r->info.id, r->fail_streak, SHUN_FAULTY_MS);
}

static void
stray_drop(struct wf_runner *r, size_t i)
{
	agb_resources_sub(&r->allocated, &r->orphan_runs[i].need);
	r->orphan_runs[i] = r->orphan_runs[--r->orphan_runs_len];
}

static struct wf_orphan_run *
stray_find(struct wf_runner *r, const struct wf_task_ref *ref, uint32_t run)
{
	size_t i;

	for (i = 0; i < r->orphan_runs_len; i++) {
		if (r->orphan_runs[i].run == run &&
		    wf_task_ref_same(&r->orphan_runs[i].task, ref))
			return &r->orphan_runs[i];
	}
	return NULL;
}

static void
stray_add(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_active_run *a, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	const struct wf_job *const j = wf_table_job(l->table, a->task.job);
	struct wf_orphan_run *s;

	s = stray_find(r, &a->task, a->run);
	if (s == NULL) {
		r->orphan_runs = agb_xreallocarray(r->orphan_runs,
		    r->orphan_runs_len + 1, sizeof(*r->orphan_runs));
		s = &r->orphan_runs[r->orphan_runs_len++];
		memset(s, 0, sizeof(*s));
		s->task = a->task;
		s->run = a->run;
		if (j != NULL && j->spec_rev > 0 &&
		    a->task.step < j->spec.steps_len)
			s->need =
			    wf_step_reserved(&j->spec.steps[a->task.step]);
		agb_resources_add(&r->allocated, &s->need);
		wf_effects_log_run(out, AGB_LOG_WARN, "stray", &a->task, a->run,
		    r->info.id, "reason=\"not meant to run here\"");
	}
	s->seen = true;
	if (now->mono < s->next_stop_at)
		return;
	s->next_stop_at = now->mono + STOP_REPEAT_MS * AGB_MS;
	send_stop(l, now, ri, &a->task, a->run);
}

/* An end of a run that had been given up: when it is done and no other run
 * has been, the task is done all the same. */
static void
late_end(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, const struct wf_finished_run *f, struct wf_effects *out)
{
	if (f->end != WF_END_DONE || t->state == WF_TASK_DONE ||
	    wf_unit_step(u)->long_running || wf_job_final(u->exec->state))
		return;
	wf_effects_log(out, AGB_LOG_INFO, "end",
	    "job=%s task=%" PRIu32 " run=%" PRIu32
	    " how=done reason=\"an earlier run has finished the task\"",
	    f->task.job, f->task.index, f->run);
	wf_task_done_by_earlier_run(l, now, u, t, out);
}

static const char *
end_name(enum wf_run_end how)
{
	static const char *const names[] = {
	    [WF_END_DONE] = "done",
	    [WF_END_FAILED] = "failed",
	    [WF_END_STOPPED] = "stopped",
	    [WF_END_LEASE_EXPIRED] = "lapsed",
	    [WF_END_GANG_BROKEN] = "broken",
	    [WF_END_GANG_TIMEOUT] = "alone",
	};

	return names[how];
}

static void
take_end(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_finished_run *f, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	struct wf_orphan_run *s;
	struct wf_unit *u;
	struct wf_task *t;

	s = stray_find(r, &f->task, f->run);
	if (s != NULL)
		stray_drop(r, (size_t)(s - r->orphan_runs));
	t = wf_exec_find_task(l, &f->task, &u);
	if (t == NULL)
		return;
	if (!t->allocated || t->runner != ri || t->run != f->run) {
		late_end(l, now, u, t, f, out);
		return;
	}
	wf_effects_log_run(out, AGB_LOG_INFO, "end", &f->task, f->run,
	    r->info.id,
	    "how=%s seq=%" PRIu64 " ran_ms=%" PRIu64 " estimate_ms=%" PRIu32,
	    end_name(f->end), f->seq, (now->mono - t->sent_at) / AGB_MS,
	    wf_unit_step(u)->estimate_ms);
	note_end(l, now, ri, f->end, out);
	wf_task_handle_end(l, now, u, t, f->end, f->checkpoint, out);
}

/* How long a task has shown no progress, on its runner's clock; 0 when that
 * tells nothing. */
static int64_t
still_ms(const struct wf_runner *r, const struct wf_task *t)
{
	const struct wf_step *const step = wf_unit_step(t->unit);
	int64_t ms, least;

	if (t->state != WF_TASK_RUNNING || t->unchanged_lists < STILL_LISTS ||
	    t->progress_percent >= 100 || step->long_running ||
	    step->best_effort || (step->gang && t->progress_percent == 0))
		return 0;
	ms = r->clock_ms - t->progress_ms;
	least = step->estimate_ms / STILL_ESTIMATE_SHARE;
	least = least > STILL_MS ? least : STILL_MS;
	if (t->progress_percent == 0)
		least += STILL_BEGIN_MS;
	return ms >= least ? ms : 0;
}

static bool
still_too_long(const struct wf_task *t, int64_t ms)
{
	const struct wf_step *const step = wf_unit_step(t->unit);
	int64_t lost;

	lost = (int64_t)step->estimate_ms * t->progress_percent / 100;
	if (step->checkpointing && lost > STILL_SAVED_MS)
		lost = STILL_SAVED_MS;
	lost = lost > STILL_STOP_MS ? lost : STILL_STOP_MS;
	/* With a member of a gang the work of all is thrown away. */
	return ms >= (step->gang ? 2 * lost : lost);
}

/* A runner on which nothing makes progress takes no new tasks, and what has
 * stood still for too long starts elsewhere. The members of a gang stand
 * still together, so that they say nothing of their runner. */
static void
judge_progress(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	unsigned still = 0, moving = 0;
	struct wf_task *t;
	int64_t ms;

	for (t = r->tasks; t != NULL; t = t->next) {
		if (!t->seen_in_list || wf_unit_step(t->unit)->gang)
			continue;
		if (still_ms(r, t) > 0)
			still++;
		else if (t->unchanged_lists == 0)
			moving++;
	}
	if (r->stalled != (still > 0 && moving == 0)) {
		r->stalled = !r->stalled;
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=%s tasks=%u", r->info.id,
		    r->stalled ? "stalled" : "moving", still + moving);
	}
	if (!r->stalled)
		return;
	shun(r, now->mono, SHUN_STILL_MS);
	for (t = r->tasks; t != NULL; t = t->next) {
		ms = t->seen_in_list && !t->stopping ? still_ms(r, t) : 0;
		if (ms == 0 || !still_too_long(t, ms))
			continue;
		t->avoid_runner = ri;
		wf_task_stop(
		    l, now, t->unit, t, "it makes no progress there", out);
	}
}

/* Worst response time beside the bound of its task, in percent; 0 when there
 * is no such task. */
static uint32_t
worst_tail(const struct wf_runner *r)
{
	const struct wf_step *step;
	const struct wf_task *t;
	uint32_t worst = 0, share;

	for (t = r->tasks; t != NULL; t = t->next) {
		step = wf_unit_step(t->unit);
		if (!t->seen_in_list || !step->long_running ||
		    step->target_ms == 0)
			continue;
		share = (uint32_t)((uint64_t)t->load * 100 / step->target_ms);
		worst = share > worst ? share : worst;
	}
	return worst;
}

static uint32_t
next_pace(const struct wf_runner *r, agb_time now, uint32_t tail)
{
	const agb_time since = now - r->pace_set_at;

	if (tail >= TAIL_HIGH_PERCENT && since >= PACE_DOWN_MS * AGB_MS)
		return r->pace_percent / 2 < PACE_LEAST_PERCENT
		    ? 0
		    : r->pace_percent / 2;
	if (tail < TAIL_LOW_PERCENT && since >= PACE_UP_MS * AGB_MS)
		return r->pace_percent + PACE_UP_PERCENT < 100
		    ? r->pace_percent + PACE_UP_PERCENT
		    : 100;
	return r->pace_percent;
}

/* Slows the tasks that fill as far as the tasks beside them need it. */
static void
judge_pace(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];
	const uint32_t tail = worst_tail(r);
	const uint32_t pace = next_pace(r, now->mono, tail);
	struct wf_order *o;
	struct wf_task *t;

	if (pace != r->pace_percent) {
		wf_effects_log(out, AGB_LOG_INFO, "pace",
		    "runner=%s percent=%" PRIu32 " before=%" PRIu32
		    " tail_percent=%" PRIu32,
		    r->info.id, pace, r->pace_percent, tail);
		r->pace_percent = pace;
		r->pace_set_at = now->mono;
	}
	for (t = r->tasks; t != NULL; t = t->next) {
		if (!t->seen_in_list || !wf_unit_step(t->unit)->best_effort ||
		    t->pace_percent == r->pace_percent || t->stopping)
			continue;
		t->pace_percent = r->pace_percent;
		o = order_new(l, now, ri, WF_ORDER_PACE, PACE_TIMEOUT_MS);
		wf_task_ref(t, &o->task);
		o->run = t->run;
		o->percent = t->pace_percent;
	}
}

static void
pace_answer(struct wf_leader *l, const struct wf_order_result *res)
{
	struct wf_unit *u;
	struct wf_task *t;

	t = wf_exec_find_task(l, &res->task, &u);
	if (t != NULL && t->allocated && t->run == res->run &&
	    t->runner == res->runner && res->status != WF_ORDER_OK)
		t->pace_percent = PACE_UNKNOWN;
}

static void
take_progress(
    const struct wf_runner *r, struct wf_task *t, const struct wf_active_run *a)
{
	t->load = a->load;
	if (t->progress_run != a->run || a->percent != t->progress_percent) {
		t->progress_run = a->run;
		t->progress_percent = a->percent;
		t->progress_ms = r->clock_ms;
		t->unchanged_lists = 0;
		return;
	}
	t->unchanged_lists++;
}

static void
take_active(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_active_run *a, struct wf_effects *out)
{
	struct wf_unit *u;
	struct wf_task *t;

	t = wf_exec_find_task(l, &a->task, &u);
	if (t == NULL || !t->allocated || t->runner != ri || t->run != a->run) {
		stray_add(l, now, ri, a, out);
		return;
	}
	t->seen_in_list = true;
	t->recovered = false;
	wf_exec_mark_running(l, u->exec);
	if (t->state == WF_TASK_SENT) {
		t->state = WF_TASK_RUNNING;
		if (t->start_accepted_at == 0)
			t->start_accepted_at = now->mono;
	}
	t->start_unanswered = false;
	take_progress(&l->runners[ri], t, a);
	wf_task_set_checkpoint(t, a->checkpoint);
}

/* Whether a runner's list, read by a hold sent at @sent, proves that a task
 * which it does not name is not there and will not be. */
static bool
proves_absent(const struct wf_runner *r, const struct wf_task *t, agb_time sent,
    int64_t clock_ms)
{
	if (t->state == WF_TASK_INTENT)
		return false;
	/* Orders of earlier leaders have a lower fence and do nothing. */
	if (t->recovered)
		return true;
	if (t->state == WF_TASK_DONE)
		return sent > t->sent_at;
	if (t->start_accepted_at > 0)
		return sent >= t->start_accepted_at;
	return t->start_deadline_ms > 0 && clock_ms > t->start_deadline_ms;
}

/* A start without an answer that the runner does not show may be carried out
 * later: a stop keeps it from that. */
static void
stop_unanswered(struct wf_leader *l, const struct wf_now *now,
    struct wf_task *t, struct wf_effects *out)
{
	if (t->state == WF_TASK_SENT && t->start_unanswered && !t->stopping)
		wf_task_stop(l, now, t->unit, t, "start was not answered", out);
}

static void
take_absent(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_task *t;
	bool again;

	do {
		again = false;
		for (t = l->runners[ri].tasks; t != NULL; t = t->next) {
			if (t->seen_in_list)
				continue;
			if (!proves_absent(&l->runners[ri], t, res->sent_at,
				res->clock_ms)) {
				stop_unanswered(l, now, t, out);
				continue;
			}
			task_gone(l, now, t,
			    t->recovered ? "not there at takeover"
					 : "not at its runner",
			    out);
			again = true;
			break;
		}
	} while (again);
}

static void
sweep_strays(struct wf_runner *r)
{
	size_t i;

	for (i = r->orphan_runs_len; i > 0; i--) {
		if (!r->orphan_runs[i - 1].seen)
			stray_drop(r, i - 1);
	}
}

static void
take_lists(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    const struct wf_order_result *res, struct wf_effects *out)
{
	const uint64_t before = l->runners[ri].processed_seq;
	struct wf_runner *const r = &l->runners[ri];
	struct wf_task *t;
	size_t i;

	for (t = r->tasks; t != NULL; t = t->next)
		t->seen_in_list = false;
	for (i = 0; i < r->orphan_runs_len; i++)
		r->orphan_runs[i].seen = false;
	for (i = 0; i < res->active_len; i++)
		take_active(l, now, ri, &res->active[i], out);
	for (i = 0; i < res->finished_len; i++) {
		if (res->finished[i].seq <= r->processed_seq)
			continue;
		r->processed_seq = res->finished[i].seq;
		take_end(l, now, ri, &res->finished[i], out);
	}
	if (r->processed_seq > before)
		wf_commit_queue_ack(l, ri, r->processed_seq);
	take_absent(l, now, ri, res, out);
	judge_progress(l, now, ri, out);
	judge_pace(l, now, ri, out);
	sweep_strays(r);
	if (!r->reported) {
		r->reported = true;
		r->lease_until = now->mono;
		lease_extend(r, now->mono, HOLD_MS);
		l->placement_changed = true;
	}
}

/* An order through another instance was lost on the way or at the runner: that
 * tells nothing of the runner until a second way has failed, too. */
static bool
second_way(struct wf_runner *r, const struct wf_now *now,
    enum wf_order_status status, uint32_t relay)
{
	const bool lost = status == WF_ORDER_LOST || status == WF_ORDER_UNSENT;

	if (relay == WF_NO_HANDLE || (!lost && status != WF_ORDER_UNRELAYED))
		return false;
	if (lost || r->relay_retried)
		wf_outbox_avoid(r, relay);
	if (r->relay_retried)
		return false;
	r->relay_retried = true;
	r->next_hold_at = now->mono;
	return true;
}

static agb_time
hold_gap(const struct wf_leader *l, const struct wf_runner *r)
{
	if (r->processed_seq == r->durable_seq)
		return HOLD_GAP_MS;
	return l->outbox.through ? HOLD_ACK_GAP_RELAYED_MS : HOLD_ACK_GAP_MS;
}

static void
hold_answer(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[res->runner];

	if (res->is_probe) {
		if (res->status == WF_ORDER_OK)
			take_lists(l, now, res->runner, res, out);
		return;
	}
	r->hold_pending = false;
	if (second_way(r, now, res->status, res->relay))
		return;
	if (res->status != WF_ORDER_OK) {
		r->next_hold_at = now->mono + HOLD_RETRY_MS * AGB_MS;
		if (!r->silent)
			wf_effects_log(out, AGB_LOG_WARN, "runner",
			    "runner=%s change=silent heard_ms_ago=%" PRIu64
			    " lease_left_ms=%" PRIu64,
			    r->info.id, (now->mono - r->heard_at) / AGB_MS,
			    r->lease_until > now->mono
				? (r->lease_until - now->mono) / AGB_MS
				: 0);
		r->silent = true;
		shun(r, now->mono, SHUN_LOST_MS);
		if (r->has_left) {
			requeue_all(
			    l, now, res->runner, "its runner has left", out);
			r->reported = false;
		}
		return;
	}
	if (r->heard_at == 0 || r->silent ||
	    now->mono - r->heard_at > 2 * AGB_SEC)
		wf_effects_log(out, AGB_LOG_INFO, "runner",
		    "runner=%s change=reached active=%zu ended=%zu", r->info.id,
		    res->active_len, res->finished_len);
	r->silent = false;
	r->relay_retried = false;
	r->has_left = false;
	r->heard_at = res->sent_at;
	take_lists(l, now, res->runner, res, out);
	r->next_hold_at = now->mono + hold_gap(l, r) * AGB_MS;
}

static void
start_refused(struct wf_leader *l, const struct wf_now *now, struct wf_unit *u,
    struct wf_task *t, const struct wf_order_result *res,
    struct wf_effects *out)
{
	static const char *const why[] = {
	    [WF_ORDER_UNSENT] = "runner not reached",
	    [WF_ORDER_BUSY] = "runner refused as unhealthy",
	    [WF_ORDER_FENCED] = "runner has seen a higher fence",
	    [WF_ORDER_OLD] = "runner knows a later run",
	    [WF_ORDER_LATE] = "start came too late",
	    [WF_ORDER_NO_ROOM] = "runner has no room",
	    [WF_ORDER_TICKET_EXPIRED] = "approval has expired",
	    [WF_ORDER_OTHER_INCARNATION] = "runner restarted",
	    [WF_ORDER_INVALID] = "runner does not take the start",
	    [WF_ORDER_UNRELAYED] = "its relay did not send the start",
	    [WF_ORDER_NO_PAYLOAD] = "its relay could not get the text",
	};
	struct wf_runner *const r = &l->runners[t->runner];
	struct wf_approval *a;

	if (res->status == WF_ORDER_TICKET_EXPIRED) {
		a = (struct wf_approval *)(uintptr_t)wf_advice_find(
		    u, t->runner);
		if (a != NULL)
			a->valid_until = 0;
	} else if (res->status == WF_ORDER_BUSY ||
	    res->status == WF_ORDER_UNSENT || res->status == WF_ORDER_NO_ROOM) {
		shun(r, now->mono, SHUN_BUSY_MS);
	} else if (res->status == WF_ORDER_INVALID) {
		shun(r, now->mono, SHUN_LOST_MS);
	}
	wf_task_requeue(l, now, u, t, why[res->status], out);
}

static void
start_answer(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_unit *u;
	struct wf_task *t;

	t = wf_exec_find_task(l, &res->task, &u);
	if (t == NULL || !t->allocated || t->run != res->run ||
	    t->runner != res->runner || t->life != res->incarnation)
		return;
	if (res->status == WF_ORDER_OK) {
		wf_exec_mark_running(l, u->exec);
		if (t->state == WF_TASK_SENT)
			t->state = WF_TASK_RUNNING;
		if (t->start_accepted_at == 0)
			t->start_accepted_at = now->mono;
		return;
	}
	/* A list may have shown it at work before the answer was lost. */
	if (t->state != WF_TASK_SENT)
		return;
	if (res->status == WF_ORDER_NO_PAYLOAD && !t->stopping) {
		wf_outbox_text_lost(u->exec, res->relay);
		send_start(l, now, u, t);
		return;
	}
	if (res->status != WF_ORDER_LOST) {
		start_refused(l, now, u, t, res, out);
		return;
	}
	wf_outbox_avoid(&l->runners[t->runner], res->relay);
	shun(&l->runners[t->runner], now->mono, SHUN_LOST_MS);
	t->start_unanswered = true;
	wf_effects_log_run(out, AGB_LOG_INFO, "unanswered", &res->task, t->run,
	    l->runners[t->runner].info.id, "%s", "");
	send_look(l, now, t->runner);
}

static void
stop_answer(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_unit *u;
	struct wf_task *t;

	t = wf_exec_find_task(l, &res->task, &u);
	if (t == NULL || !t->allocated || t->run != res->run ||
	    t->runner != res->runner || t->life != res->incarnation)
		return;
	/* From now on a list without the run proves that it is not there. */
	if (res->status != WF_ORDER_OK || t->start_accepted_at != 0)
		return;
	t->start_accepted_at = now->mono;
	send_look(l, now, t->runner);
}

static void
order_answer(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	switch (res->kind) {
	case WF_ORDER_START:
		start_answer(l, now, res, out);
		break;
	case WF_ORDER_STOP:
		stop_answer(l, now, res, out);
		break;
	case WF_ORDER_HOLD:
		hold_answer(l, now, res, out);
		break;
	case WF_ORDER_PACE:
		pace_answer(l, res);
		break;
	}
}

void
wf_fleet_handle_result(struct wf_leader *l, const struct wf_now *now,
    const struct wf_order_result *res, struct wf_effects *out)
{
	struct wf_runner *r;

	/* Handles of an earlier time as leader mean nothing now. */
	if (res->fence != l->fence || res->runner >= l->runners_len)
		return;
	r = &l->runners[res->runner];
	if (!r->used || r->life != res->incarnation)
		return;
	if (res->status == WF_ORDER_FENCED) {
		wf_effects_log(out, AGB_LOG_WARN, "fenced",
		    "runner=%s fence=%" PRIu64, r->info.id, l->fence);
		shun(r, now->mono, SHUN_LOST_MS);
		/* One faulty runner may say so; another leader shows at
		 * several. */
		if (l->fenced_at > 0 && l->fenced_by != res->runner &&
		    now->mono - l->fenced_at < FENCED_MS * AGB_MS)
			l->leadership_lost = true;
		l->fenced_at = now->mono;
		l->fenced_by = res->runner;
		order_answer(l, now, res, out);
		return;
	}
	if (res->started_ms > r->info.started_ms) {
		new_life(l, now, res->runner, res->started_ms, out);
		return;
	}
	if (res->clock_ms > 0 && res->status == WF_ORDER_OK) {
		r->clock_ms = res->clock_ms;
		r->clock_at = now->mono;
	}
	order_answer(l, now, res, out);
}

static void
tick_stops(struct wf_leader *l, const struct wf_now *now, agb_time *next,
    struct wf_effects *out)
{
	struct wf_task_ref ref;
	struct wf_task *t;
	uint32_t ri;

	for (ri = 0; l->stops_pending > 0 && ri < l->runners_len; ri++) {
		for (t = l->runners[ri].tasks; t != NULL; t = t->next) {
			if (!t->stopping)
				continue;
			if (now->mono >= t->next_stop_at) {
				t->next_stop_at =
				    now->mono + STOP_REPEAT_MS * AGB_MS;
				wf_task_ref(t, &ref);
				send_stop(l, now, ri, &ref, t->run);
			}
			if (t->next_stop_at < *next)
				*next = t->next_stop_at;
		}
	}
}

/* How long after its lease the work of a runner starts elsewhere. One that the
 * registry lists is alive and only not reached: what it has finished in time
 * would be done twice. */
static agb_time
lost_after(const struct wf_runner *r)
{
	return r->listed ? LISTED_WAIT_MS * AGB_MS : 0;
}

static void
tick_runner(struct wf_leader *l, const struct wf_now *now, uint32_t ri,
    agb_time *next, struct wf_effects *out)
{
	struct wf_runner *const r = &l->runners[ri];

	if (r->tasks != NULL && now->mono > r->lease_until + lost_after(r) &&
	    now->mono - r->heard_at > HOLD_MS * AGB_MS) {
		requeue_all(l, now, ri, "its lease has run out", out);
		r->reported = false;
	}
	if (!r->listed && r->tasks == NULL &&
	    now->mono - r->unlisted_at > FORGET_MS * AGB_MS) {
		strays_clear(r);
		id_drop(l, r->info.id);
		r->used = false;
		return;
	}
	if (r->hold_pending || r->info.addr[0] == '\0')
		return;
	/* A runner that has left the registry is asked while tasks may be
	 * there. */
	if (!r->listed && r->tasks == NULL)
		return;
	if (now->mono >= r->next_hold_at && now->mono < l->extend_until &&
	    !wf_outbox_waits(l, r, now->mono))
		send_hold(l, now, ri);
	else if (r->next_hold_at < *next)
		*next = r->next_hold_at;
}

agb_time
wf_fleet_tick(
    struct wf_leader *l, const struct wf_now *now, struct wf_effects *out)
{
	agb_time next;
	uint32_t ri;

	/* Many events come within one such gap on a large fleet. */
	if (now->mono < l->next_fleet_tick_at)
		return l->next_fleet_tick_at;
	l->next_fleet_tick_at = now->mono + TICK_GAP_MS * AGB_MS;
	next = now->mono + AGB_SEC;
	for (ri = 0; ri < l->runners_len; ri++) {
		if (l->runners[ri].used)
			tick_runner(l, now, ri, &next, out);
	}
	tick_stops(l, now, &next, out);
	return next;
}

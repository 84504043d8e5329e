#ifndef SCHED_FIXTURE_H
#define SCHED_FIXTURE_H

/**
 * DOC: sched_fixture
 *
 * Environment document and shorthands for events, for tests of the scheduler.
 */

#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "sched.h"
#include "suite.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

enum {
	WORK_QUICK,
	WORK_BATCH,
	WORK_GANG,
	WORK_SERVICE,
	WORK_URGENT,
	WORK_NOT_PREEMPTIBLE,
	WORK_CHECKPOINT,
	WORK_MAX
};
enum { TEAM_A, TEAM_B, TEAM_CAPPED, TEAM_MAX };

struct fixture {
	struct agb_sched *s;
	struct agb_sched_effects out;
	agb_time now;
	struct agb_env env;
	struct agb_env_class classes[WORK_MAX];
	struct agb_env_work works[WORK_MAX];
	struct agb_env_team teams[TEAM_MAX];
	struct agb_env_domain domains[1];
	agb_name regions[1];
};

static inline struct agb_resources
resources(int64_t cpu_milli, int64_t mem_mb, int64_t accel)
{
	return (struct agb_resources){cpu_milli, mem_mb, accel};
}

static inline struct agb_sched_event
event(enum agb_sched_event_type type)
{
	return (struct agb_sched_event){
	    .type = type,
	    .worker = AGB_SCHED_NONE,
	    .job = AGB_SCHED_NONE,
	    .deadline = AGB_TIME_MAX,
	};
}

static inline void
step(struct fixture *f, const struct agb_sched_event *ev)
{
	agb_sched_step(f->s, f->now, ev, &f->out);
}

static inline void
fixture_env(struct fixture *f)
{
	struct agb_sched_event ev = event(AGB_SCHED_ENV);

	ev.env = &f->env;
	step(f, &ev);
}

static inline void
fixture_init(struct fixture *f)
{
	static const struct {
		const char *name;
		enum agb_policy policy;
		uint8_t urgency;
		bool preemptible;
		bool checkpoint;
	} work_kinds[WORK_MAX] = {
	    [WORK_QUICK] = {"check", AGB_POLICY_QUICK, 6, false, false},
	    [WORK_BATCH] = {"sort", AGB_POLICY_BATCH, 3, true, false},
	    [WORK_GANG] = {"plan", AGB_POLICY_GANG, 4, false, false},
	    [WORK_SERVICE] = {"findings", AGB_POLICY_SERVICE, 5, false, false},
	    [WORK_URGENT] = {"alarm", AGB_POLICY_BATCH, 9, false, false},
	    [WORK_NOT_PREEMPTIBLE] = {"cut", AGB_POLICY_BATCH, 3, false, false},
	    [WORK_CHECKPOINT] = {"profile", AGB_POLICY_BATCH, 3, true, true},
	};
	size_t i;

	memset(f, 0, sizeof(*f));
	f->now = 1000 * AGB_SEC;
	f->s = agb_sched_new(7, "yaba", 1);
	agb_str_copy(f->domains[0].name, sizeof(agb_name), "yaba");
	for (i = 0; i < WORK_MAX; i++) {
		agb_str_copy(
		    f->classes[i].name, sizeof(agb_name), work_kinds[i].name);
		f->classes[i].policy = work_kinds[i].policy;
		f->classes[i].urgency = work_kinds[i].urgency;
		f->classes[i].preemptible = work_kinds[i].preemptible;
		f->classes[i].checkpoint = work_kinds[i].checkpoint;
		f->classes[i].retries = 5;
		f->classes[i].retry_budget_percent = 50;
		agb_str_copy(
		    f->works[i].name, sizeof(agb_name), work_kinds[i].name);
		f->works[i].class_index = (uint16_t)i;
		f->works[i].need = resources(1000, 1000, 0);
		f->works[i].domains = 1;
		f->works[i].teams = (1u << TEAM_MAX) - 1;
	}
	for (i = 0; i < TEAM_MAX; i++) {
		agb_str_copy(f->teams[i].name, sizeof(agb_name),
		    ((const char *[]){"a", "b", "capped"})[i]);
		f->teams[i].weight = 1;
		f->teams[i].may_borrow = i != TEAM_CAPPED;
		f->teams[i].quota = i == TEAM_CAPPED
		    ? resources(2000, 4000, 0)
		    : resources(64000, 256000, 16);
	}
	f->env = (struct agb_env){
	    .eject_max_percent = 30,
	    .regions_len = 1,
	    .domains_len = 1,
	    .teams_len = TEAM_MAX,
	    .classes_len = WORK_MAX,
	    .works_len = WORK_MAX,
	    .regions = f->regions,
	    .domains = f->domains,
	    .teams = f->teams,
	    .classes = f->classes,
	    .works = f->works,
	};
	fixture_env(f);
}

static inline void
fixture_free(struct fixture *f)
{
	agb_sched_free(f->s);
	agb_sched_effects_free(&f->out);
}

static inline void
clear_effects(struct fixture *f)
{
	f->out.len = 0;
}

static inline void
add_worker_full(struct fixture *f, uint32_t worker, const char *rack,
    struct agb_resources cap, uint16_t slots, enum agb_worker_state state)
{
	struct agb_sched_event ev = event(AGB_SCHED_WORKER);
	struct agb_worker_info info = {
	    .capacity = cap,
	    .service = slots > 0 ? WORK_QUICK : AGB_ENV_NONE,
	    .slots = slots,
	    .connections = (uint16_t)(slots * 2),
	};

	agb_str_copy(info.rack, sizeof(info.rack), rack);
	ev.worker = worker;
	ev.info = &info;
	ev.state = state;
	step(f, &ev);
}

/* A live worker with so many cores and 4000 MiB for each core. */
static inline void
add_worker(struct fixture *f, uint32_t handle, int64_t cores)
{
	add_worker_full(f, handle, handle % 2 == 0 ? "r0" : "r1",
	    resources(cores * 1000, cores * 4000, 0), 0, AGB_WORKER_LIVE);
}

static inline void
set_worker_state(
    struct fixture *f, uint32_t handle, enum agb_worker_state state)
{
	struct agb_sched_event ev = event(AGB_SCHED_WORKER_STATE);

	ev.worker = handle;
	ev.state = state;
	step(f, &ev);
}

static inline struct agb_job_spec
job_spec(const struct fixture *f, uint16_t work, uint16_t team, uint32_t tasks,
    int64_t cores)
{
	return (struct agb_job_spec){
	    .work = work,
	    .team = team,
	    .tasks = tasks,
	    .need = resources(cores * 1000, cores * 1000, 0),
	    .deadline = AGB_TIME_MAX,
	    .accepted_at = f->now,
	    .idempotent = true,
	};
}

static inline void
add_job_spec(struct fixture *f, uint32_t job, const struct agb_job_spec *sp)
{
	struct agb_sched_event ev = event(AGB_SCHED_JOB_ADD);

	ev.job = job;
	ev.spec = sp;
	step(f, &ev);
}

static inline void
add_job(struct fixture *f, uint32_t handle, uint16_t work, uint16_t team,
    uint32_t tasks, int64_t cores)
{
	const struct agb_job_spec sp = job_spec(f, work, team, tasks, cores);

	add_job_spec(f, handle, &sp);
}

static inline void
cancel_job(struct fixture *f, uint32_t handle)
{
	struct agb_sched_event ev = event(AGB_SCHED_JOB_CANCEL);

	ev.job = handle;
	step(f, &ev);
}

static inline void
end_task(struct fixture *f, struct agb_attempt attempt, enum agb_result result)
{
	struct agb_sched_event ev = event(AGB_SCHED_TASK_ENDED);

	ev.attempt = attempt;
	ev.result = result;
	step(f, &ev);
}

static inline void
quick_request(struct fixture *f, uint64_t tag, uint16_t team, agb_time deadline)
{
	struct agb_sched_event ev = event(AGB_SCHED_QUICK_REQUEST);

	ev.tag = tag;
	ev.work = WORK_QUICK;
	ev.team = team;
	ev.deadline = deadline;
	step(f, &ev);
}

static inline void
end_quick(struct fixture *f, struct agb_attempt attempt, enum agb_result result)
{
	struct agb_sched_event ev = event(AGB_SCHED_QUICK_DONE);

	ev.attempt = attempt;
	ev.result = result;
	step(f, &ev);
}

static inline void
report_usage(
    struct fixture *f, struct agb_attempt attempt, struct agb_resources used)
{
	struct agb_sched_event ev = event(AGB_SCHED_USAGE);

	ev.attempt = attempt;
	ev.used = used;
	step(f, &ev);
}

/* Advances the time, with every tick that the scheduler asks for. */
static inline void
advance_time(struct fixture *f, agb_time by)
{
	const struct agb_sched_event ev = event(AGB_SCHED_TICK);
	const agb_time end = f->now + by;
	agb_time at;
	int n;

	for (n = 0; n < 100000; n++) {
		at = agb_sched_next_tick(f->s, f->now);
		if (at > end)
			break;
		f->now = at;
		step(f, &ev);
	}
	f->now = end;
	step(f, &ev);
}

static inline uint32_t
count_effects(const struct fixture *f, enum agb_sched_effect_type type)
{
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < f->out.len; i++)
		n += f->out.items[i].type == type;
	return n;
}

/* The @nth effect of a type, or a zeroed one if there are fewer. */
static inline const struct agb_sched_effect *
nth_effect(
    const struct fixture *f, enum agb_sched_effect_type type, uint32_t nth)
{
	static const struct agb_sched_effect none;
	size_t i;

	for (i = 0; i < f->out.len; i++) {
		if (f->out.items[i].type == type && nth-- == 0)
			return &f->out.items[i];
	}
	return &none;
}

static inline const struct agb_sched_effect *
last_effect(const struct fixture *f, enum agb_sched_effect_type type)
{
	const uint32_t n = count_effects(f, type);

	return nth_effect(f, type, n > 0 ? n - 1 : 0);
}

#endif

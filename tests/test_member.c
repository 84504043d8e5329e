#include <string.h>

#include "env.h"
#include "member.h"
#include "suite.h"

#define PEER "127.0.0.1:2"

static char here[] = "127.0.0.1:1";
static char there[] = PEER;
static char domain_a[] = "a";
static char domain_b[] = "b";
static char team[] = "depot";

/* Summary that the owner of domain a sent to the owner of domain b. */
struct summary_sent {
	bool sent;
	bool has_teams;
	size_t teams;
};

static struct agb_member *
member_new(void)
{
	const struct agb_member_config cfg = {
	    .instance = "a-1", .domain = "a", .rpc = "127.0.0.1:1", .seed = 1};

	return agb_member_new(&cfg);
}

/* Delivers a summary from the owner of domain b. Without has_teams it carries
 * no list of teams; with cpu_milli 0 the list is empty. */
static void
receive_summary(struct agb_member *m, agb_time now, uint64_t epoch,
    uint64_t serial, bool has_teams, int64_t cpu_milli)
{
	const struct agb_member_input in = {.owner = ""};
	agb_x_team_use use = {.team = team, .used = {cpu_milli, 0, 0}};
	struct agb_event ev = {.type = AGB_EV_RPC_CALL};
	struct agb_effects out = {0};
	agb_x_summary_args *const a = &ev.u.rpc_args.agb_x_args_u.summary;

	ev.u.rpc_args.proc = AGB_X_SUMMARY;
	a->shard.domain = domain_b;
	a->shard.owner_rpc = there;
	a->shard.epoch = epoch;
	a->shard.serial = serial;
	a->has_teams = has_teams;
	a->teams.teams_val = &use;
	a->teams.teams_len = cpu_milli > 0 ? 1 : 0;
	agb_member_step(m, now, &ev, &in, &out);
	agb_effects_free(&out);
}

static struct summary_sent
tick(struct agb_member *m, agb_time now)
{
	static struct agb_env_team teams[1] = {{.name = "depot"}};
	const struct agb_env env = {.teams = teams, .teams_len = 1};
	const struct agb_resources used = {500, 0, 0};
	const agb_x_shard shard = {.domain = domain_a, .owner_rpc = here};
	const struct agb_member_input in = {.env = &env,
	    .env_version = 1,
	    .owner = here,
	    .is_owner = true,
	    .shard = &shard,
	    .team_used = &used};
	const struct agb_event ev = {.type = AGB_EV_TICK};
	struct agb_effects out = {0};
	const agb_x_summary_args *a;
	struct summary_sent t = {0};
	size_t i;

	agb_member_step(m, now, &ev, &in, &out);
	for (i = 0; i < out.len; i++) {
		if (out.items[i].type != AGB_EF_RPC_CALL ||
		    out.items[i].u.rpc_args.proc != AGB_X_SUMMARY)
			continue;
		a = &out.items[i].u.rpc_args.agb_x_args_u.summary;
		t.sent = true;
		t.has_teams = a->has_teams;
		t.teams = a->teams.teams_len;
	}
	agb_effects_free(&out);
	return t;
}

/* Guards against sending the list of teams in every summary, which made up most
 * of an owner's traffic, and against delaying the first list to a new owner. */
static void
test_teams_interval(void)
{
	struct agb_member *const m = member_new();
	struct summary_sent t;
	int s;

	receive_summary(m, AGB_SEC, 7, 1, true, 0);
	for (s = 10; s < 26; s++) {
		receive_summary(
		    m, (agb_time)s * AGB_SEC, 7, (uint64_t)s, false, 0);
		t = tick(m, (agb_time)s * AGB_SEC);
		CU_ASSERT_TRUE(t.sent);
		CU_ASSERT_EQUAL(t.has_teams, (s - 10) % 4 == 0);
		CU_ASSERT_EQUAL(t.teams, t.has_teams ? 1 : 0);
	}
	receive_summary(m, 26 * AGB_SEC, 8, 1, false, 0);
	t = tick(m, 27 * AGB_SEC);
	CU_ASSERT_TRUE(t.has_teams);
	t = tick(m, 28 * AGB_SEC);
	CU_ASSERT_TRUE(t.sent);
	CU_ASSERT_FALSE(t.has_teams);
	agb_member_free(m);
}

/* Guards against reading a summary without a list of teams as zero usage, which
 * would lend out quota that is in use, and against usage that is never
 * cleared. */
static void
test_teams_kept(void)
{
	struct agb_member *const m = member_new();

	receive_summary(m, 1 * AGB_SEC, 7, 1, true, 900);
	CU_ASSERT_EQUAL(agb_member_remote_team_usage(m, team).cpu_milli, 900);
	receive_summary(m, 2 * AGB_SEC, 7, 2, false, 0);
	CU_ASSERT_EQUAL(agb_member_remote_team_usage(m, team).cpu_milli, 900);
	receive_summary(m, 3 * AGB_SEC, 7, 3, true, 0);
	CU_ASSERT_EQUAL(agb_member_remote_team_usage(m, team).cpu_milli, 0);
	agb_member_free(m);
}

static const struct suite_test tests[] = {
    {"teams interval", test_teams_interval},
    {"teams kept", test_teams_kept},
};

int
main(void)
{
	return suite_run("member", tests, sizeof(tests) / sizeof(tests[0]));
}

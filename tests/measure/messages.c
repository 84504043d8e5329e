/*
 * Prints the encoded size of the RPC messages between entry instances as lines
 * "name value bytes". The last part of a name is the size that varies: the
 * number of teams, members, shards or released items, or the length of the
 * environment document in bytes; 1 for messages of fixed size.
 */

#include <stdio.h>
#include <stdlib.h>

#include "agb_proto.h"
#include "mem.h"

/* Size of the ONC RPC header. A call has a record mark, xid, message type, RPC
 * version, program, version, procedure and two empty authenticators. */
#define RPC_CALL_HEADER_BYTES 44
#define RPC_REPLY_HEADER_BYTES 28

static char sample_name[] = "bac-ninh-worker-107";
static char sample_team[] = "team-00-inspection";
static char sample_addr[] = "10.120.130.140:7102";

static void
print_size(const char *what, unsigned n, unsigned long bytes)
{
	printf("message_%s_%u %lu bytes\n", what, n, bytes);
}

static unsigned long
call_bytes(agb_x_args *a)
{
	return RPC_CALL_HEADER_BYTES + xdr_sizeof((xdrproc_t)xdr_agb_x_args, a);
}

static unsigned long
reply_bytes(agb_x_res *r)
{
	return RPC_REPLY_HEADER_BYTES + xdr_sizeof((xdrproc_t)xdr_agb_x_res, r);
}

static unsigned long
summary_bytes(unsigned teams, unsigned members)
{
	agb_x_args a = {.proc = AGB_X_SUMMARY};
	agb_x_summary_args *const s = &a.agb_x_args_u.summary;
	unsigned long bytes;
	unsigned i;

	s->shard.domain = sample_name;
	s->shard.owner_rpc = sample_addr;
	s->teams.teams_len = teams;
	s->teams.teams_val = agb_xcalloc(teams + 1, sizeof(agb_x_team_use));
	for (i = 0; i < teams; i++)
		s->teams.teams_val[i].team = sample_team;
	s->members.members_len = members;
	s->members.members_val = agb_xcalloc(members + 1, sizeof(agb_x_member));
	for (i = 0; i < members; i++)
		s->members.members_val[i] =
		    (agb_x_member){.instance = sample_name,
			.domain = sample_name,
			.rpc = sample_addr};
	bytes = call_bytes(&a);
	free(s->teams.teams_val);
	free(s->members.members_val);
	return bytes;
}

static unsigned long
heartbeat_bytes(void)
{
	agb_x_args a = {.proc = AGB_X_HEARTBEAT};

	a.agb_x_args_u.heartbeat.from = (agb_x_member){
	    .instance = sample_name, .domain = sample_name, .rpc = sample_addr};
	return call_bytes(&a);
}

static unsigned long
heartbeat_reply_bytes(unsigned shards)
{
	agb_x_res r = {.proc = AGB_X_HEARTBEAT};
	agb_x_heartbeat_res *const h = &r.agb_x_res_u.heartbeat;
	unsigned long bytes;
	unsigned i;

	h->shards.shards_len = shards;
	h->shards.shards_val = agb_xcalloc(shards + 1, sizeof(agb_x_shard));
	for (i = 0; i < shards; i++) {
		h->shards.shards_val[i].domain = sample_name;
		h->shards.shards_val[i].owner_rpc = sample_addr;
	}
	bytes = reply_bytes(&r);
	free(h->shards.shards_val);
	return bytes;
}

static unsigned long
document_bytes(unsigned len)
{
	agb_x_res r = {.proc = AGB_X_ENV_GET};
	agb_x_env_get_res *const e = &r.agb_x_res_u.env_get;
	unsigned long bytes;

	e->text.text_len = len;
	e->text.text_val = agb_xcalloc(len, 1);
	bytes = reply_bytes(&r);
	free(e->text.text_val);
	return bytes;
}

static unsigned long
grant_bytes(void)
{
	agb_x_args a = {.proc = AGB_X_GRANT};
	agb_x_grant_args *const g = &a.agb_x_args_u.grant;

	g->request = sample_name;
	g->work = sample_name;
	g->team = sample_team;
	g->instance = sample_name;
	g->key = (char[]){""};
	return call_bytes(&a);
}

static unsigned long
grant_reply_bytes(void)
{
	agb_x_res r = {.proc = AGB_X_GRANT};
	agb_x_grant_res *const g = &r.agb_x_res_u.grant;

	g->granted = TRUE;
	g->worker = sample_name;
	g->runner = sample_addr;
	g->detail = (char[]){""};
	return reply_bytes(&r);
}

static unsigned long
release_bytes(unsigned items)
{
	agb_x_args a = {.proc = AGB_X_RELEASE};
	agb_x_release_args *const r = &a.agb_x_args_u.release;
	unsigned long bytes;

	r->items.items_len = items;
	r->items.items_val = agb_xcalloc(items, sizeof(agb_x_release));
	bytes = call_bytes(&a);
	free(r->items.items_val);
	return bytes;
}

int
main(void)
{
	static const unsigned teams[] = {2, 10, 20, 39, 64};
	static const unsigned members[] = {1, 3, 6, 12};
	static const unsigned shards[] = {1, 3, 6, 9, 18};
	static const unsigned documents[] = {1024, 16384, 131072, 1048576};
	unsigned i;

	for (i = 0; i < sizeof(teams) / sizeof(teams[0]); i++)
		print_size(
		    "summary_teams", teams[i], summary_bytes(teams[i], 3));
	for (i = 0; i < sizeof(members) / sizeof(members[0]); i++)
		print_size("summary_members", members[i],
		    summary_bytes(39, members[i]));
	print_size("heartbeat", 1, heartbeat_bytes());
	for (i = 0; i < sizeof(shards) / sizeof(shards[0]); i++)
		print_size("heartbeat_reply_shards", shards[i],
		    heartbeat_reply_bytes(shards[i]));
	for (i = 0; i < sizeof(documents) / sizeof(documents[0]); i++)
		print_size(
		    "document", documents[i], document_bytes(documents[i]));
	print_size("grant", 1, grant_bytes());
	print_size("grant_reply", 1, grant_reply_bytes());
	print_size("release", 1, release_bytes(1));
	print_size("release", 10, release_bytes(10));
	return 0;
}

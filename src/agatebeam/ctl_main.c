/**
 * DOC: ctl_main
 *
 * Main program of agatectl: one libuv loop on one thread, a client of the
 * store and one of an entry instance.
 */

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#include "ctl_args.h"
#include "httpc.h"
#include "mem.h"
#include "store_etcd.h"

/* Variable with the bearer credential; an argument would show in ps. */
#define CREDENTIAL_VARIABLE "AGATEBEAM_CREDENTIAL"

struct net {
	uv_loop_t loop;
	uv_timer_t timer;
	struct agb_httpc *httpc;
	const char *entry;
	struct agb_ctl_reply *reply;
	bool done;
};

static void
net_turn(void *arg)
{
	struct net *const net = arg;

	uv_run(&net->loop, UV_RUN_ONCE);
}

static void
on_timer(uv_timer_t *timer)
{
	struct net *const net = timer->data;

	net->done = true;
}

static void
net_pause(void *arg, unsigned ms)
{
	struct net *const net = arg;

	net->done = false;
	uv_timer_start(&net->timer, on_timer, ms, 0);
	while (!net->done)
		uv_run(&net->loop, UV_RUN_ONCE);
}

static void
on_answer(void *arg, const struct agb_httpc_res *res)
{
	struct net *const net = arg;
	struct agb_ctl_reply *const reply = net->reply;

	net->done = true;
	reply->body = agb_xmemdup(res->body, res->body_len);
	reply->body_len = res->body_len;
	if (res->status == AGB_HTTPC_COMPLETE)
		reply->http_status = res->http_status;
	else
		agb_name_set(reply->error, sizeof(reply->error), res->error);
}

static void
net_get(void *arg, const char *path, struct agb_ctl_reply *out)
{
	const char *const credential = getenv(CREDENTIAL_VARIABLE);
	char *const value =
	    agb_xasprintf("Bearer %s", credential != NULL ? credential : "");
	const struct agb_httpc_header header = {"authorization", value};
	struct net *const net = arg;
	const struct agb_httpc_req req = {
	    .addr = net->entry,
	    .method = "GET",
	    .path = path,
	    .headers = &header,
	    .headers_len = credential != NULL ? 1 : 0,
	    .timeout_ms = AGB_CTL_CALL_MS,
	    .cb = on_answer,
	    .arg = net,
	};

	net->reply = out;
	net->done = false;
	agb_httpc_request(net->httpc, &req);
	while (!net->done)
		uv_run(&net->loop, UV_RUN_ONCE);
	free(value);
}

static const struct agb_ctl_io net_io = {
    .turn = net_turn,
    .pause = net_pause,
    .get = net_get,
};

static void
name_operator(struct agb_ctl *ctl)
{
	const char *user = getenv("USER");
	char host[64] = "";
	char uid[24];

	if (user == NULL || user[0] == '\0') {
		snprintf(uid, sizeof(uid), "uid %u", (unsigned)getuid());
		user = uid;
	}
	if (gethostname(host, sizeof(host) - 1) != 0)
		host[0] = '\0';
	snprintf(ctl->who, sizeof(ctl->who), "%s@%s", user, host);
}

static bool
make_id(struct agb_ctl *ctl)
{
	unsigned char bytes[16];
	size_t i;

	if (getrandom(bytes, sizeof(bytes), 0) != (ssize_t)sizeof(bytes))
		return false;
	for (i = 0; i < sizeof(bytes); i++)
		snprintf(ctl->id + 2 * i, 3, "%02x", bytes[i]);
	return true;
}

static enum agb_ctl_exit
run(const struct agb_ctl_options *o)
{
	struct net net = {.entry = o->entry};
	struct agb_ctl ctl = {
	    .io = &net_io,
	    .io_arg = &net,
	    .has_entry = o->entry[0] != '\0',
	    .out = stdout,
	    .err = stderr,
	    .json = o->json,
	    .now_s = (int64_t)time(NULL),
	};
	enum agb_ctl_exit code;

	name_operator(&ctl);
	if (!make_id(&ctl) || uv_loop_init(&net.loop) != 0)
		return agb_ctl_fail(
		    &ctl, AGB_CTL_FAILED, "no random bytes or no event loop");
	uv_timer_init(&net.loop, &net.timer);
	net.timer.data = &net;
	net.httpc = agb_httpc_new(&net.loop, 1);
	if (o->store_len > 0)
		ctl.store = agb_store_etcd_new(
		    &net.loop, o->store, o->store_len, NULL, NULL, NULL);
	agb_ctl_init(&ctl);
	code = o->run(&ctl, &o->args);
	agb_ctl_done(&ctl);
	if (ctl.store != NULL)
		ctl.store->ops->close(ctl.store);
	agb_httpc_free(net.httpc);
	uv_close((uv_handle_t *)&net.timer, NULL);
	uv_run(&net.loop, UV_RUN_DEFAULT);
	uv_loop_close(&net.loop);
	if (fflush(stdout) != 0 && code == AGB_CTL_DONE) {
		perror("agatectl: standard output");
		code = AGB_CTL_FAILED;
	}
	return code;
}

int
main(int argc, char **argv)
{
	struct agb_ctl_options o;
	enum agb_ctl_exit code;

	code = agb_ctl_args_parse(argc, argv, &o, stdout, stderr);
	return o.run != NULL ? run(&o) : code;
}

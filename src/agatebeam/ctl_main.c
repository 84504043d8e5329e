/**
 * DOC: ctl_main
 *
 * Main program of agatectl. One libuv loop on one thread serves a store client
 * and an HTTP client for the entry instance.
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

/*
 * Environment variable with the bearer credential. A command line argument
 * would be visible to other users in the process list.
 */
#define CREDENTIAL_ENV_VAR "AGATEBEAM_CREDENTIAL"

/*
 * struct loop_io - implementation of agb_ctl_io on a libuv loop
 * @response: where to store the response of the pending HTTP request
 * @done: whether the pending sleep or HTTP request has completed
 */
struct loop_io {
	uv_loop_t loop;
	uv_timer_t timer;
	struct agb_httpc *httpc;
	const char *entry_addr;
	struct agb_ctl_http_response *response;
	bool done;
};

static void
loop_io_run_once(void *arg)
{
	struct loop_io *const io = arg;

	uv_run(&io->loop, UV_RUN_ONCE);
}

static void
on_timer(uv_timer_t *timer)
{
	struct loop_io *const io = timer->data;

	io->done = true;
}

static void
loop_io_sleep(void *arg, unsigned ms)
{
	struct loop_io *const io = arg;

	io->done = false;
	uv_timer_start(&io->timer, on_timer, ms, 0);
	while (!io->done)
		uv_run(&io->loop, UV_RUN_ONCE);
}

static void
on_http_response(void *arg, const struct agb_httpc_res *res)
{
	struct loop_io *const io = arg;
	struct agb_ctl_http_response *const response = io->response;

	io->done = true;
	response->body = agb_xmemdup(res->body, res->body_len);
	response->body_len = res->body_len;
	if (res->status == AGB_HTTPC_COMPLETE)
		response->http_status = res->http_status;
	else
		agb_str_copy(
		    response->error, sizeof(response->error), res->error);
}

static void
loop_io_http_get(void *arg, const char *path, struct agb_ctl_http_response *out)
{
	const char *const credential = getenv(CREDENTIAL_ENV_VAR);
	char *const value =
	    agb_xasprintf("Bearer %s", credential != NULL ? credential : "");
	const struct agb_httpc_header header = {"authorization", value};
	struct loop_io *const io = arg;
	const struct agb_httpc_req req = {
	    .addr = io->entry_addr,
	    .method = "GET",
	    .path = path,
	    .headers = &header,
	    .headers_len = credential != NULL ? 1 : 0,
	    .timeout_ms = AGB_CTL_CALL_TIMEOUT_MS,
	    .cb = on_http_response,
	    .arg = io,
	};

	io->response = out;
	io->done = false;
	agb_httpc_request(io->httpc, &req);
	while (!io->done)
		uv_run(&io->loop, UV_RUN_ONCE);
	free(value);
}

static const struct agb_ctl_io loop_io_ops = {
    .run_once = loop_io_run_once,
    .sleep = loop_io_sleep,
    .http_get = loop_io_http_get,
};

static void
set_operator_name(struct agb_ctl *ctl)
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
	snprintf(ctl->operator_name, sizeof(ctl->operator_name), "%s@%s", user,
	    host);
}

static bool
generate_change_id(struct agb_ctl *ctl)
{
	unsigned char bytes[16];
	size_t i;

	if (getrandom(bytes, sizeof(bytes), 0) != (ssize_t)sizeof(bytes))
		return false;
	for (i = 0; i < sizeof(bytes); i++)
		snprintf(ctl->change_id + 2 * i, 3, "%02x", bytes[i]);
	return true;
}

static enum agb_ctl_exit
run_command(const struct agb_ctl_options *o)
{
	struct loop_io io = {.entry_addr = o->entry_addr};
	struct agb_ctl ctl = {
	    .io = &loop_io_ops,
	    .io_arg = &io,
	    .has_entry = o->entry_addr[0] != '\0',
	    .out = stdout,
	    .err = stderr,
	    .json = o->json,
	    .now_s = (int64_t)time(NULL),
	};
	enum agb_ctl_exit code;

	set_operator_name(&ctl);
	if (!generate_change_id(&ctl) || uv_loop_init(&io.loop) != 0)
		return agb_ctl_fail(&ctl, AGB_CTL_FAILED,
		    "cannot get random bytes or create the event loop");
	uv_timer_init(&io.loop, &io.timer);
	io.timer.data = &io;
	io.httpc = agb_httpc_new(&io.loop, 1);
	if (o->store_addrs_len > 0)
		ctl.store = agb_store_etcd_new(&io.loop, o->store_addrs,
		    o->store_addrs_len, NULL, NULL, NULL);
	agb_ctl_init(&ctl);
	code = o->run(&ctl, &o->args);
	agb_ctl_cleanup(&ctl);
	if (ctl.store != NULL)
		ctl.store->ops->close(ctl.store);
	agb_httpc_free(io.httpc);
	uv_close((uv_handle_t *)&io.timer, NULL);
	uv_run(&io.loop, UV_RUN_DEFAULT);
	uv_loop_close(&io.loop);
	if (fflush(stdout) != 0 && code == AGB_CTL_OK) {
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
	return o.run != NULL ? run_command(&o) : code;
}

#include "platform_list.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "httpc.h"
#include "jsonc.h"
#include "mem.h"

#define CPU_MILLI_MAX 100000000
#define MEM_MB_MAX 100000000
#define ACCEL_MAX 10000

struct list_request {
	struct list_request *prev, *next;
	struct agb_platform_list *p;
	uint64_t since;
};

struct agb_platform_list {
	struct agb_httpc *httpc;
	agb_addr addr;
	agb_platform_list_cb cb;
	void *arg;
	struct list_request *requests;
};

static size_t
get_enum(const struct agb_jsonc_node *o, const char *key,
    const char *const *words, size_t len)
{
	char text[16];
	size_t i;

	if (!agb_jsonc_get_str(o, key, true, text, sizeof(text)))
		return 0;
	for (i = 0; i < len; i++) {
		if (strcmp(words[i], text) == 0)
			return i;
	}
	agb_jsonc_report(o, NULL, AGB_FINDING_ERROR, "unknown %s", key);
	return 0;
}

static void
get_addr(const struct agb_jsonc_node *o, const char *key, agb_addr dst)
{
	struct sockaddr_storage ss;

	if (agb_jsonc_get_str(o, key, false, dst, AGB_ADDR_LEN) &&
	    dst[0] != '\0' && !agb_httpc_parse_addr(dst, &ss))
		agb_jsonc_report(o, NULL, AGB_FINDING_ERROR,
		    "%s is no IP address with a port", key);
}

static void
parse_instance(const struct agb_jsonc_node *o, struct agb_instance *out)
{
	static const char *const kinds[] = {"entry", "worker"};
	static const char *const states[] = {"live", "leaving", "gone"};
	bool live;

	agb_jsonc_get_str(o, "id", true, out->id, sizeof(out->id));
	if (out->id[0] == '\0')
		agb_jsonc_report(o, NULL, AGB_FINDING_ERROR, "id is empty");
	out->state = (enum agb_instance_state)get_enum(o, "state", states, 3);
	out->kind = (enum agb_instance_kind)get_enum(o, "kind", kinds, 2);
	/* For an instance that is gone, the platform may omit the other
	 * fields. */
	live = out->state != AGB_INSTANCE_GONE;
	agb_jsonc_get_str(o, "region", live, out->region, sizeof(out->region));
	agb_jsonc_get_str(o, "domain", live, out->domain, sizeof(out->domain));
	agb_jsonc_get_str(o, "rack", false, out->rack, sizeof(out->rack));
	agb_jsonc_get_str(
	    o, "service", false, out->service, sizeof(out->service));
	get_addr(o, "address", out->address);
	get_addr(o, "rpc", out->rpc);
	get_addr(o, "runner", out->runner);
	agb_jsonc_get_u16(o, "slots", false,
	    &(const struct agb_jsonc_range){0, UINT16_MAX, ""}, &out->slots);
	agb_jsonc_get_u16(o, "connections", false,
	    &(const struct agb_jsonc_range){0, UINT16_MAX, ""},
	    &out->connections);
	agb_jsonc_get_int(o, "cpu_milli", false,
	    &(const struct agb_jsonc_range){0, CPU_MILLI_MAX, ""},
	    &out->capacity.cpu_milli);
	agb_jsonc_get_int(o, "mem_mb", false,
	    &(const struct agb_jsonc_range){0, MEM_MB_MAX, ""},
	    &out->capacity.mem_mb);
	agb_jsonc_get_int(o, "accel", false,
	    &(const struct agb_jsonc_range){0, ACCEL_MAX, ""},
	    &out->capacity.accel);
}

/*
 * Skips an instance that fails a check, so that one malformed entry does not
 * hide the others. The version is then not advanced, so that the next read
 * returns the entry again.
 */
static void
parse_list(const struct agb_jsonc_node *o, const struct agb_findings *f,
    uint64_t since, struct agb_ev_instances *out)
{
	struct agb_jsonc_node list, it;
	size_t errors, i, len;

	errors = f->errors;
	agb_jsonc_get_array(
	    o, "instances", true, AGB_PLATFORM_LIST_MAX, &list, &len);
	agb_jsonc_get_u64(o, "version", true,
	    &(const struct agb_jsonc_range){0, INT64_MAX, ""}, &out->version);
	if (f->errors != errors)
		return;
	out->ok = true;
	/* The platform sends the complete list when the request asks for it
	 * (@since is 0), and also when @since is above its own version: it has
	 * then restarted and numbers its versions from the beginning. */
	out->full = since == 0 || out->version < since;
	out->items = agb_xcalloc(len, sizeof(*out->items));
	for (i = 0; i < len; i++) {
		errors = f->errors;
		memset(&out->items[out->items_len], 0, sizeof(*out->items));
		if (!agb_jsonc_get_item_object(&list, i, &it))
			continue;
		parse_instance(&it, &out->items[out->items_len]);
		if (f->errors == errors)
			out->items_len++;
	}
	if (f->errors > 0)
		out->version = out->full ? 0 : since;
}

static void
list_request_free(struct list_request *req)
{
	DL_DELETE(req->p->requests, req);
	free(req);
}

static void
on_response(void *arg, const struct agb_httpc_res *res)
{
	struct list_request *const req = arg;
	struct agb_platform_list *const p = req->p;
	struct agb_event ev = {.type = AGB_EV_INSTANCES};
	struct agb_jsonc *doc;
	struct agb_findings *f;
	struct agb_jsonc_node o;

	if (res->status == AGB_HTTPC_COMPLETE && res->http_status == 200) {
		f = agb_xcalloc(1, sizeof(*f));
		doc = agb_jsonc_parse_wire(
		    res->body != NULL ? res->body : "", res->body_len, f);
		if (doc != NULL && agb_jsonc_get_root(doc, &o))
			parse_list(&o, f, req->since, &ev.u.list);
		agb_jsonc_free(doc);
		free(f);
	}
	list_request_free(req);
	p->cb(p->arg, &ev);
	agb_event_free(&ev);
}

void
agb_platform_list_fetch(struct agb_platform_list *p, uint64_t since)
{
	struct list_request *const req = agb_xcalloc(1, sizeof(*req));
	char path[64];
	struct agb_httpc_req r = {
	    .addr = p->addr,
	    .method = "GET",
	    .path = path,
	    .timeout_ms = AGB_PLATFORM_LIST_TIMEOUT_MS,
	    .cb = on_response,
	    .arg = req,
	};

	req->p = p;
	req->since = since;
	DL_APPEND(p->requests, req);
	snprintf(path, sizeof(path), "/platform/instances?since=%llu",
	    (unsigned long long)since);
	(void)agb_httpc_request(p->httpc, &r);
}

struct agb_httpc_bytes
agb_platform_list_bytes(const struct agb_platform_list *p)
{
	return agb_httpc_bytes(p->httpc);
}

struct agb_platform_list *
agb_platform_list_new(
    uv_loop_t *loop, const char *addr, agb_platform_list_cb cb, void *arg)
{
	struct agb_platform_list *const p = agb_xcalloc(1, sizeof(*p));

	p->httpc = agb_httpc_new(loop, 1);
	agb_str_copy(p->addr, sizeof(p->addr), addr);
	p->cb = cb;
	p->arg = arg;
	return p;
}

void
agb_platform_list_free(struct agb_platform_list *p)
{
	struct list_request *req, *next;

	if (p == NULL)
		return;
	agb_httpc_free(p->httpc);
	for (req = p->requests; req != NULL; req = next) {
		next = req->next;
		free(req);
	}
	free(p);
}

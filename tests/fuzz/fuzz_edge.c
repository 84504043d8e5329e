/*
 * Fuzz target for the checks of HTTP requests in the edge. The input is an
 * HTTP/1 request with head and body. Fails when a request that passes the
 * checks yields a call outside its limits.
 */

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "edge_parse.h"
#include "mem.h"

#define FIELDS_MAX 100
#define HEAD_MAX 8192

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Splits a head that has passed the check into its parts, as the HTTP server
 * does. */
static void
split_head(char *p, size_t len, struct agb_edge_raw_request *raw,
    struct agb_edge_field *fields)
{
	char *const end = p + len;
	char *nl, *colon;

	if (p[0] == '\r')
		p += 2;
	raw->method.p = p;
	raw->method.len = strcspn(p, " ");
	raw->path.p = p + raw->method.len + 1;
	raw->path.len = strcspn(raw->path.p, " ");
	raw->fields = fields;
	for (p = strchr(p, '\n') + 1; p < end; p = nl + 1) {
		nl = memchr(p, '\n', (size_t)(end - p));
		colon = memchr(p, ':', (size_t)(nl - p));
		if (colon == NULL || raw->fields_len == FIELDS_MAX)
			break;
		fields[raw->fields_len].name.p = p;
		fields[raw->fields_len].name.len = (size_t)(colon - p);
		for (; p < colon; p++)
			*p = (char)tolower((unsigned char)*p);
		for (p = colon + 1; *p == ' '; p++)
			;
		fields[raw->fields_len].value.p = p;
		fields[raw->fields_len].value.len = (size_t)(nl - 1 - p);
		raw->fields_len++;
	}
}

static void
check_call(const struct agb_ev_call *call)
{
	if (memchr(call->work, '\0', sizeof(call->work)) == NULL ||
	    memchr(call->job, '\0', sizeof(call->job)) == NULL ||
	    memchr(call->key, '\0', sizeof(call->key)) == NULL)
		abort();
	if ((call->kind == AGB_CALL_QUICK ||
		call->kind == AGB_CALL_JOB_SUBMIT) &&
	    call->work[0] == '\0')
		abort();
	if (call->kind == AGB_CALL_JOB_SUBMIT &&
	    (call->tasks < 1 || call->tasks > AGB_EDGE_TASKS_MAX ||
		call->need.cpu_milli < 0 || call->need.mem_mb < 0 ||
		call->need.accel < 0))
		abort();
	if (call->args_len > AGB_X_ARGS_MAX ||
	    (call->args != NULL && strlen(call->args) != call->args_len))
		abort();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct agb_edge_field fields[FIELDS_MAX];
	struct agb_edge_raw_request raw = {0};
	struct agb_edge_refusal refusal;
	struct agb_edge_head head;
	struct agb_ev_call call;
	char *text;

	text = agb_xmemdup(data, len);
	if (agb_edge_head_check(text, len, HEAD_MAX, &head) ==
	    AGB_HEAD_COMPLETE) {
		split_head(text, head.len, &raw, fields);
		raw.body.p = text + head.len;
		raw.body.len = len - head.len;
		switch (agb_edge_parse_request(&raw, &call, &refusal)) {
		case AGB_TARGET_CALL:
			check_call(&call);
			free((char *)(uintptr_t)call.args);
			break;
		case AGB_TARGET_REFUSED:
			if (refusal.detail[0] == '\0' ||
			    refusal.http_status < 400)
				abort();
			break;
		default:
			break;
		}
	}
	free(text);
	return 0;
}

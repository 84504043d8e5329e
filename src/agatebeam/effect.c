#include "effect.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

struct agb_effect *
agb_effects_add(struct agb_effects *out, enum agb_effect_type type)
{
	struct agb_effect *ef;

	out->items =
	    agb_xappend(out->items, &out->len, &out->cap, sizeof(*out->items));
	ef = &out->items[out->len - 1];
	ef->type = type;
	return ef;
}

void
agb_effects_log(struct agb_effects *out, enum agb_log_level level,
    const char *event, const char *fmt, ...)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_LOG);
	va_list ap;

	ef->u.log.level = level;
	ef->u.log.event = event;
	va_start(ap, fmt);
	if (vasprintf(&ef->u.log.line, fmt, ap) < 0)
		ef->u.log.line = agb_xstrdup("");
	va_end(ap);
}

void
agb_effects_reply(struct agb_effects *out, uint64_t call_id, int http_status,
    enum agb_outcome outcome, enum agb_reason reason, uint32_t retry_ms,
    const char *fmt, ...)
{
	struct agb_effect *const ef = agb_effects_add(out, AGB_EF_REPLY);
	va_list ap;

	ef->call_id = call_id;
	ef->u.reply.http_status = http_status;
	ef->u.reply.outcome = outcome;
	ef->u.reply.reason = reason;
	ef->u.reply.retry_ms = retry_ms;
	va_start(ap, fmt);
	vsnprintf(ef->u.reply.detail, sizeof(ef->u.reply.detail), fmt, ap);
	va_end(ap);
}

static void
worker_free(struct agb_ef_worker *w)
{
	size_t i;

	for (i = 0; i < w->items_len; i++)
		free(w->items[i].args);
	free(w->items);
}

void
agb_effect_free(struct agb_effect *ef)
{
	switch (ef->type) {
	case AGB_EF_REPLY:
		free(ef->u.reply.body);
		break;
	case AGB_EF_STORE:
		agb_store_op_free(&ef->u.store);
		break;
	case AGB_EF_WATCH:
		free(ef->u.watch.key);
		free(ef->u.watch.range_end);
		break;
	case AGB_EF_SESSION:
	case AGB_EF_RENEW:
	case AGB_EF_COMMANDS:
		worker_free(&ef->u.worker);
		break;
	case AGB_EF_RPC_CALL:
		xdr_free((xdrproc_t)xdr_agb_x_args, (char *)&ef->u.rpc_args);
		break;
	case AGB_EF_RPC_REPLY:
		xdr_free((xdrproc_t)xdr_agb_x_res, (char *)&ef->u.rpc_res);
		break;
	case AGB_EF_LOG:
		free(ef->u.log.line);
		break;
	case AGB_EF_FORWARD:
	case AGB_EF_UPSTREAM:
	case AGB_EF_UPSTREAM_ABORT:
	case AGB_EF_UNWATCH:
	case AGB_EF_LIST_INSTANCES:
	case AGB_EF_READY:
	case AGB_EF_EXIT:
		break;
	}
	memset(ef, 0, sizeof(*ef));
}

void
agb_effects_clear(struct agb_effects *out)
{
	size_t i;

	for (i = 0; i < out->len; i++)
		agb_effect_free(&out->items[i]);
	out->len = 0;
}

void
agb_effects_free(struct agb_effects *out)
{
	agb_effects_clear(out);
	free(out->items);
	memset(out, 0, sizeof(*out));
}

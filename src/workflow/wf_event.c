#include "wf_event.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* Maximum length of the text of a log line, without its time and event. */
#define LOG_TEXT_MAX 768

struct wf_effect *
wf_effects_add(struct wf_effects *out, enum wf_effect_type type)
{
	struct wf_effect *ef;

	out->items =
	    agb_xappend(out->items, &out->len, &out->cap, sizeof(*out->items));
	ef = &out->items[out->len - 1];
	ef->type = type;
	return ef;
}

void
wf_effects_log(struct wf_effects *out, enum agb_log_level level,
    const char *event, const char *fmt, ...)
{
	struct wf_effect *const ef = wf_effects_add(out, WF_EF_LOG);
	char text[LOG_TEXT_MAX];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	ef->u.log.level = level;
	ef->u.log.event = event;
	ef->u.log.line = agb_xstrdup(text);
}

void
wf_effects_log_run(struct wf_effects *out, enum agb_log_level level,
    const char *event, const struct wf_task_ref *task, uint32_t run,
    const char *runner, const char *fmt, ...)
{
	char text[LOG_TEXT_MAX];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	wf_effects_log(out, level, event,
	    "job=%s occurrence=%" PRIu32 " step=%" PRIu32 " task=%" PRIu32
	    " run=%" PRIu32 " runner=%s%s%s",
	    task->job, task->occurrence, task->step, task->index, run, runner,
	    text[0] != '\0' ? " " : "", text);
}

uint64_t
wf_order_token(const struct wf_order *o)
{
	return o->fence * WF_INCARNATIONS_MAX + o->incarnation;
}

bool
wf_task_ref_same(const struct wf_task_ref *a, const struct wf_task_ref *b)
{
	return a->occurrence == b->occurrence && a->step == b->step &&
	    a->index == b->index && strcmp(a->job, b->job) == 0;
}

static void
push_free(struct wf_push *p)
{
	size_t i;

	for (i = 0; i < p->len; i++)
		free(p->items[i].val);
	free(p->items);
}

void
wf_order_result_init(struct wf_order_result *res, const struct wf_order *o)
{
	memset(res, 0, sizeof(*res));
	res->kind = o->kind;
	res->number = o->number;
	res->relay = WF_NO_HANDLE;
	res->fence = o->fence;
	res->runner = o->runner;
	res->incarnation = o->incarnation;
	res->task = o->task;
	res->run = o->run;
	res->is_probe = o->is_probe;
	res->sent_at = o->sent_at;
}

void
wf_order_batch_free(struct wf_order_batch *o)
{
	size_t i;

	for (i = 0; i < o->len; i++)
		free(o->items[i].payload);
	free(o->items);
	free(o->runners);
	memset(o, 0, sizeof(*o));
}

void
wf_result_batch_free(struct wf_result_batch *r)
{
	size_t i;

	for (i = 0; i < r->len; i++) {
		free(r->items[i].kept);
		free(r->items[i].checkpoints);
		free(r->items[i].new_runs);
		free(r->items[i].finished);
	}
	free(r->items);
	memset(r, 0, sizeof(*r));
}

static void
effect_free(struct wf_effect *ef)
{
	switch (ef->type) {
	case WF_EF_STORE:
		agb_store_op_free(&ef->u.store);
		break;
	case WF_EF_ORDER:
		free(ef->u.order.payload);
		break;
	case WF_EF_ADVICE_REQUEST:
	case WF_EF_PEER_ADVICE_REQUEST:
		free(ef->u.advice_request.runners);
		break;
	case WF_EF_PEER_ADVICE_REPLY:
		free(ef->u.advice.items);
		break;
	case WF_EF_PEER_PUSH:
		push_free(&ef->u.push);
		break;
	case WF_EF_PEER_PUT:
		free(ef->u.record.val);
		break;
	case WF_EF_ORDERS:
		wf_order_batch_free(&ef->u.orders);
		break;
	case WF_EF_PAYLOAD_REQUEST:
	case WF_EF_PAYLOAD_REPLY:
		free(ef->u.payload.data);
		break;
	case WF_EF_RESULTS:
		wf_result_batch_free(&ef->u.results);
		break;
	case WF_EF_ALLOW_PEERS:
		free(ef->peers);
		break;
	case WF_EF_LOG:
		free(ef->u.log.line);
		break;
	default:
		break;
	}
}

void
wf_effects_free(struct wf_effects *out)
{
	size_t i;

	for (i = 0; i < out->len; i++)
		effect_free(&out->items[i]);
	free(out->items);
	memset(out, 0, sizeof(*out));
}

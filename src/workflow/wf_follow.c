#include "wf_follow.h"

#include <stdlib.h>

#include "backoff.h"
#include "mem.h"
#include "types.h"

#define READ_TIMEOUT_MS 1500

/* A read repeats a whole transfer, and may take longer than the store keeps its
 * history, so that the watch after it is broken at once. */
static const struct agb_backoff read_retry = {.first_ms = 200, .max_ms = 800};

struct wf_follow {
	uv_timer_t timer;
	struct agb_store *store;
	uint64_t tag;
	char *prefix;
	char *range_end;
	wf_follow_cb cb;
	void *arg;
	uint32_t min_interval_ms;
	unsigned failures; /* reads in vain since the watch last reported */
	bool watching;
	bool reading;
	bool freed;
};

static void
start_read(struct wf_follow *f)
{
	struct agb_store_op op;

	agb_store_op_init_range(&op, f->prefix, f->range_end, 0);
	f->reading = true;
	f->store->ops->call(f->store, f->tag, &op, READ_TIMEOUT_MS);
}

static void
on_timer(uv_timer_t *t)
{
	start_read(t->data);
}

static void
schedule_read(struct wf_follow *f)
{
	uv_timer_start(&f->timer, on_timer,
	    agb_backoff_delay_ms(
		&read_retry, ++f->failures, agb_backoff_random()),
	    0);
}

struct wf_follow *
wf_follow_new(uv_loop_t *loop, struct agb_store *store, uint64_t tag,
    const char *prefix, wf_follow_cb cb, void *arg)
{
	struct wf_follow *const f = agb_xcalloc(1, sizeof(*f));

	uv_timer_init(loop, &f->timer);
	f->timer.data = f;
	f->store = store;
	f->tag = tag;
	f->prefix = agb_xstrdup(prefix);
	f->range_end = agb_store_prefix_end(prefix);
	f->cb = cb;
	f->arg = arg;
	start_read(f);
	return f;
}

static void
timer_closed(uv_handle_t *h)
{
	struct wf_follow *const f = h->data;

	free(f->prefix);
	free(f->range_end);
	free(f);
}

void
wf_follow_free(struct wf_follow *f)
{
	if (f == NULL)
		return;
	if (f->watching)
		f->store->ops->unwatch(f->store, f->tag);
	uv_close((uv_handle_t *)&f->timer, timer_closed);
}

void
wf_follow_handle_result(struct wf_follow *f, struct agb_store_result *res)
{
	f->reading = false;
	if (res->status != AGB_STORE_OK || res->revision == 0) {
		schedule_read(f);
		return;
	}
	f->watching = true;
	f->store->ops->watch(
	    f->store, f->tag, f->prefix, f->range_end, res->revision + 1);
	if (f->store->ops->set_watch_interval != NULL)
		f->store->ops->set_watch_interval(
		    f->store, f->tag, f->min_interval_ms);
	f->cb(f->arg, true, res->revision, res->kvs, res->kvs_len);
}

void
wf_follow_handle_watch(struct wf_follow *f, const struct agb_store_kv *kvs,
    size_t len, uint64_t revision, bool broken)
{
	if (broken) {
		f->watching = false;
		schedule_read(f);
		return;
	}
	f->failures = 0;
	f->cb(f->arg, false, revision, kvs, len);
}

void
wf_follow_set_interval(struct wf_follow *f, uint32_t min_interval_ms)
{
	f->min_interval_ms = min_interval_ms;
	if (f->watching && f->store->ops->set_watch_interval != NULL)
		f->store->ops->set_watch_interval(
		    f->store, f->tag, min_interval_ms);
}

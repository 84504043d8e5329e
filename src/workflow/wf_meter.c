#include "wf_meter.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

const double wf_meter_bounds_s[WF_METER_BOUNDS] = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

const char *
wf_part_name(enum wf_part part)
{
	static const char *const names[WF_PARTS] = {
	    [WF_PART_EVENT] = "event",
	    [WF_PART_FLEET] = "fleet",
	    [WF_PART_SORT] = "sort",
	    [WF_PART_GANGS] = "gangs",
	    [WF_PART_TASKS] = "tasks",
	    [WF_PART_COMMIT] = "commit",
	    [WF_PART_SHOW] = "show",
	    [WF_PART_OUTBOX] = "outbox",
	    [WF_PART_EFFECTS] = "effects",
	};

	return names[part];
}

const char *
wf_tally_name(enum wf_tally tally)
{
	static const char *const names[WF_TALLIES] = {
	    [WF_TALLY_ASSIGNED] = "assigned",
	    [WF_TALLY_CONFIRMED] = "confirmed",
	    [WF_TALLY_REQUEUED] = "requeued",
	    [WF_TALLY_APPROVALS] = "approvals",
	    [WF_TALLY_EXPIRED] = "expired",
	    [WF_TALLY_REFUSED] = "refused",
	    [WF_TALLY_CALLS_FIRST] = "calls_first",
	    [WF_TALLY_CALLS_FURTHER] = "calls_further",
	    [WF_TALLY_CALLS_RENEWED] = "calls_renewed",
	    [WF_TALLY_SETS_USED] = "sets_used",
	    [WF_TALLY_SETS_EXPIRED] = "sets_expired",
	    [WF_TALLY_WAITS_NEAR] = "waits_near",
	    [WF_TALLY_WAITS_VAIN] = "waits_vain",
	    [WF_TALLY_REMOTE] = "remote",
	};

	return names[tally];
}

void
wf_meter_init(struct wf_meter *m, const struct wf_meter_ops *ops, void *arg)
{
	memset(m, 0, sizeof(*m));
	m->ops = ops;
	m->arg = arg;
}

/* ---- turns ---- */

void
wf_meter_begin_turn(struct wf_meter *m)
{
	if (m->ops == NULL)
		return;
	/* An event within a turn is caused by one of its effects. */
	if (m->depth++ > 0) {
		wf_meter_lap(m, WF_PART_EFFECTS);
		return;
	}
	m->turn_began_at = m->lap_began_at = m->ops->clock(m->arg);
}

void
wf_meter_lap(struct wf_meter *m, enum wf_part part)
{
	agb_time now;

	if (m->depth == 0)
		return;
	now = m->ops->clock(m->arg);
	m->total.parts[part] += now - m->lap_began_at;
	m->lap_began_at = now;
}

void
wf_meter_end_turn(struct wf_meter *m)
{
	agb_time time;

	if (m->depth == 0)
		return;
	wf_meter_lap(m, WF_PART_EFFECTS);
	if (--m->depth > 0)
		return;
	time = m->lap_began_at - m->turn_began_at;
	m->total.turns++;
	m->longest_turn = agb_time_max(m->longest_turn, time);
	m->recent_longest_turn = agb_time_max(m->recent_longest_turn, time);
	wf_histogram_add(&m->turn_time, time);
}

/* ---- orders and approvals ---- */

void
wf_histogram_add(struct wf_histogram *h, agb_time value)
{
	const double seconds = (double)value / (double)AGB_SEC;
	size_t i;

	for (i = 0; i < WF_METER_BOUNDS && seconds > wf_meter_bounds_s[i]; i++)
		;
	h->buckets[i]++;
	h->count++;
	h->sum += value;
}

void
wf_meter_count(struct wf_meter *m, enum wf_tally tally)
{
	m->total.tallies[tally]++;
}

void
wf_meter_count_many(struct wf_meter *m, enum wf_tally tally, uint64_t n)
{
	m->total.tallies[tally] += n;
}

void
wf_meter_add_examined(struct wf_meter *m, uint64_t n)
{
	m->total.examined += n;
}

void
wf_meter_add_result(
    struct wf_meter *m, const struct wf_order_result *res, agb_time now)
{
	const agb_time age = now > res->sent_at ? now - res->sent_at : 0;

	if (res->kind != WF_ORDER_START)
		return;
	m->start_results[res->status]++;
	m->recent_start_age = agb_time_max(m->recent_start_age, age);
	wf_histogram_add(&m->start_age, age);
	if (res->status == WF_ORDER_TICKET_EXPIRED)
		wf_meter_count(m, WF_TALLY_REFUSED);
}

void
wf_meter_add_approval_age(struct wf_meter *m, agb_time age)
{
	wf_histogram_add(&m->approval_age, age);
}

/* ---- log line ---- */

bool
wf_meter_line_due(const struct wf_meter *m, agb_time now)
{
	return now >= m->logged_at + WF_METER_LINE_MS * AGB_MS;
}

/* Appends formatted text; what does not fit is dropped. */
static void __attribute__((format(printf, 3, 4)))
append(char *text, size_t *len, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text + *len, WF_METER_LINE_MAX - *len, fmt, ap);
	va_end(ap);
	if (n > 0)
		*len += (size_t)n;
	if (*len >= WF_METER_LINE_MAX)
		*len = WF_METER_LINE_MAX - 1;
}

void
wf_meter_format_line(const struct wf_meter *m, const struct wf_load *load,
    agb_time now, char *text)
{
	struct wf_backlog backlog = {0};
	size_t len, i;

	if (m->ops != NULL)
		m->ops->backlog(m->arg, &backlog);
	len = 0;
	append(text, &len,
	    "span_ms=%" PRIu64 " queue=%" PRIu32 " gangs=%" PRIu32
	    " in_flight=%" PRIu32 " limit=%" PRIu32 " orders=%" PRIu32,
	    (now - m->logged_at) / AGB_MS, load->queue, load->gangs,
	    load->in_flight, load->limit, load->orders);
	append(text, &len,
	    " free_cores=%" PRId64 " reserved_cores=%" PRId64
	    " kept_out=%" PRIu32,
	    load->room.free_cpu_milli / 1000,
	    load->room.reserved_cpu_milli / 1000, load->room.kept_out);
	for (i = 0; i < WF_TALLIES; i++)
		append(text, &len, " %s=%" PRIu64, wf_tally_name(i),
		    m->total.tallies[i] - m->logged.tallies[i]);
	append(text, &len,
	    " examined=%" PRIu64 " start_age_ms=%" PRIu64 " turns=%" PRIu64
	    " longest_turn_ms=%" PRIu64,
	    m->total.examined - m->logged.examined,
	    m->recent_start_age / AGB_MS, m->total.turns - m->logged.turns,
	    m->recent_longest_turn / AGB_MS);
	for (i = 0; i < WF_PARTS; i++)
		append(text, &len, " %s_ms=%" PRIu64, wf_part_name(i),
		    (m->total.parts[i] - m->logged.parts[i]) / AGB_MS);
	append(text, &len, " unsent_bytes=%zu unsent_largest_bytes=%zu",
	    backlog.bytes, backlog.largest);
}

void
wf_meter_restart_line(struct wf_meter *m, agb_time now)
{
	m->logged = m->total;
	m->logged_at = now;
	m->recent_longest_turn = 0;
	m->recent_start_age = 0;
}

agb_time
wf_meter_dispatch_time(const struct wf_meter *m)
{
	return m->total.parts[WF_PART_SORT] + m->total.parts[WF_PART_GANGS] +
	    m->total.parts[WF_PART_TASKS];
}

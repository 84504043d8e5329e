#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "mem.h"

/* Size of the line buffer, with the NUL; longer log lines are split. */
#define LOG_LINE_MAX_BYTES 2048

/* Stages of a job that log lines belong to, in causal order. */
enum stage {
	STAGE_ACCEPT,	    /* an instance relays or answers a request */
	STAGE_LEADER,	    /* events of the leaders; sorted by fence */
	STAGE_LATER_ANSWER, /* answers about a job that is already stored */
};

/*
 * struct log_line - log line about the traced job
 * @fence: fencing token of the leader that wrote the line; 0 when unknown
 * @position: position among the lines of this job in the input
 * @instance: instance that wrote the line; "" when unknown
 */
struct log_line {
	enum stage stage;
	uint64_t fence;
	size_t position;
	agb_id instance;
	char *text;
};

/*
 * struct trace - log lines collected about a job
 * @current_instance: instance whose log is being read, from its start line
 * @current_fence: last fence read about the job in that log; applies to lines
 *	without a fence
 */
struct trace {
	struct log_line *lines;
	size_t len;
	agb_id current_instance;
	uint64_t current_fence;
};

/*
 * Copies the value of the field @key to @dst, without quotes and truncated to
 * @size. Returns false when the line has no such field.
 */
static bool
log_field(const char *text, const char *key, char *dst, size_t size)
{
	const size_t len = strlen(key);
	const char *p = text;
	size_t n;

	while ((p = strstr(p, key)) != NULL) {
		if ((p == text || p[-1] == ' ') && p[len] == '=')
			break;
		p += len;
	}
	if (p == NULL)
		return false;
	p += len + 1;
	n = *p == '"' ? strcspn(++p, "\"\n") : strcspn(p, " \n");
	n = n < size ? n : size - 1;
	memcpy(dst, p, n);
	dst[n] = '\0';
	return true;
}

/*
 * Adds a log line to the trace if it is about the job @id. A line "event=start"
 * with an instance begins the log of that instance.
 */
static void
add_line(struct trace *t, const char *id, const char *text)
{
	char event[32], value[64];
	struct log_line *l;

	if (!log_field(text, "event", event, sizeof(event)))
		return;
	if (strcmp(event, "start") == 0 &&
	    log_field(text, "instance", value, sizeof(value))) {
		agb_str_copy(
		    t->current_instance, sizeof(t->current_instance), value);
		t->current_fence = 0;
	}
	if (!log_field(text, "job", value, sizeof(value)) ||
	    strcmp(value, id) != 0)
		return;
	if (log_field(text, "fence", value, sizeof(value)))
		t->current_fence = strtoull(value, NULL, 10);
	t->lines = agb_xreallocarray(t->lines, t->len + 1, sizeof(*t->lines));
	l = &t->lines[t->len];
	memset(l, 0, sizeof(*l));
	l->position = t->len++;
	l->fence = t->current_fence;
	agb_str_copy(l->instance, sizeof(l->instance), t->current_instance);
	l->text = agb_xstrdup(text);
	l->text[strcspn(l->text, "\n")] = '\0';
	l->stage = STAGE_LEADER;
	if (strcmp(event, "answer") == 0 || strcmp(event, "relay") == 0)
		l->stage = log_field(text, "how", value, sizeof(value)) &&
			strcmp(value, "known") == 0
		    ? STAGE_LATER_ANSWER
		    : STAGE_ACCEPT;
}

static int
compare_lines(const void *a, const void *b)
{
	const struct log_line *const x = a, *const y = b;

	if (x->stage != y->stage)
		return x->stage < y->stage ? -1 : 1;
	if (x->stage == STAGE_LEADER && x->fence != y->fence)
		return x->fence < y->fence ? -1 : 1;
	return x->position < y->position ? -1 : 1;
}

/* Whether a line is of an event; the names of others may begin in the same
 * way. */
static bool
is_event(const struct log_line *l, const char *event)
{
	char value[32];

	return log_field(l->text, "event", value, sizeof(value)) &&
	    strcmp(value, event) == 0;
}

/* Counts the lines of an event and sets @last to the last one, if any. */
static size_t
count_events(const struct trace *t, const char *event, const char **last)
{
	size_t i, n;

	n = 0;
	for (i = 0; i < t->len; i++) {
		if (!is_event(&t->lines[i], event))
			continue;
		n++;
		*last = t->lines[i].text;
	}
	return n;
}

/* Writes the total time of the advice calls and why tasks were restarted. */
static void
write_delays(const struct trace *t, FILE *f)
{
	char reason[128], took[32];
	uint64_t ms;
	size_t i;

	ms = 0;
	for (i = 0; i < t->len; i++) {
		if (is_event(&t->lines[i], "advice") &&
		    log_field(t->lines[i].text, "took_ms", took, sizeof(took)))
			ms += strtoull(took, NULL, 10);
	}
	if (ms > 0)
		fprintf(f, "advice: %" PRIu64 " ms in all\n", ms);
	for (i = 0; i < t->len; i++) {
		if (is_event(&t->lines[i], "requeue") &&
		    log_field(
			t->lines[i].text, "reason", reason, sizeof(reason)))
			fprintf(f, "started again: %s\n", reason);
	}
}

static void
write_job_end(const struct trace *t, FILE *f)
{
	char value[128], state[32];
	const char *last = NULL;

	if (count_events(t, "job_end", &last) > 0) {
		if (!log_field(last, "state", state, sizeof(state)))
			agb_str_copy(state, sizeof(state), "state not logged");
		if (!log_field(last, "reason", value, sizeof(value)))
			agb_str_copy(value, sizeof(value), "reason not logged");
		fprintf(f, "ended: %s, %s\n", state, value);
	} else if (count_events(t, "start", &last) > 0) {
		fprintf(f,
		    "missing: its end; it may still run, or the log of "
		    "a later leader is not given\n");
	}
}

static void
write_summary(const struct trace *t, FILE *f)
{
	char value[128];
	const char *last = NULL;
	size_t i;

	for (i = 0; i < t->len; i++) {
		if (t->lines[i].stage != STAGE_ACCEPT ||
		    !log_field(
			t->lines[i].text, "reason", value, sizeof(value)))
			continue;
		fprintf(f, "%s by %s: %s\n",
		    strstr(t->lines[i].text, "outcome=not-run") != NULL
			? "refused"
			: "in doubt",
		    t->lines[i].instance, value);
	}
	if (t->len > 0 && t->lines[0].stage != STAGE_ACCEPT)
		fprintf(
		    f, "missing: the log of the instance that accepted it\n");
	if (count_events(t, "job", &last) == 0)
		fprintf(f, "missing: the log of a leader; none has seen it\n");
	else if (count_events(t, "start", &last) == 0)
		fprintf(f, "never started\n");
	for (i = 0; i < t->len; i++) {
		if (!is_event(&t->lines[i], "start") ||
		    !log_field(
			t->lines[i].text, "waited_ms", value, sizeof(value)))
			continue;
		fprintf(f, "first start after %s ms\n", value);
		break;
	}
	write_delays(t, f);
	write_job_end(t, f);
}

static void
print_text(struct agb_ctl *ctl, const struct trace *t, const char *summary)
{
	const struct log_line *l;
	size_t i;

	for (i = 0; i < t->len; i++) {
		l = &t->lines[i];
		fprintf(ctl->out, "%-24s %s\n",
		    l->instance[0] != '\0' ? l->instance : "?", l->text);
	}
	fputs(summary, ctl->out);
}

static void
print_json(struct agb_ctl *ctl, const struct trace *t, const char *summary)
{
	struct json_object *const o = json_object_new_object();
	struct json_object *const lines = json_object_new_array();
	struct json_object *const summary_lines = json_object_new_array();
	struct json_object *item;
	size_t i, n;

	for (i = 0; i < t->len; i++) {
		item = json_object_new_object();
		json_object_object_add(item, "instance",
		    json_object_new_string(t->lines[i].instance));
		json_object_object_add(
		    item, "line", json_object_new_string(t->lines[i].text));
		json_object_array_add(lines, item);
	}
	for (; *summary != '\0'; summary += n + 1) {
		n = strcspn(summary, "\n");
		json_object_array_add(
		    summary_lines, json_object_new_string_len(summary, (int)n));
	}
	json_object_object_add(o, "lines", lines);
	json_object_object_add(o, "summary", summary_lines);
	agb_ctl_print_json(ctl, o);
}

static void
print_trace(struct agb_ctl *ctl, const struct trace *t)
{
	char *summary = NULL;
	size_t len = 0;
	FILE *const f = open_memstream(&summary, &len);

	if (f == NULL)
		abort();
	write_summary(t, f);
	fclose(f);
	if (ctl->json)
		print_json(ctl, t, summary);
	else
		print_text(ctl, t, summary);
	free(summary);
}

enum agb_ctl_exit
agb_ctl_trace(struct agb_ctl *ctl, const struct agb_ctl_args *args)
{
	const bool from_stdin = strcmp(args->operand, "-") == 0;
	struct trace t = {0};
	char text[LOG_LINE_MAX_BYTES];
	enum agb_ctl_exit code = AGB_CTL_OK;
	bool read_failed;
	FILE *in;
	size_t i;

	in = from_stdin ? stdin : fopen(args->operand, "r");
	if (in == NULL)
		return agb_ctl_fail(
		    ctl, AGB_CTL_BAD_INPUT, "%s cannot be read", args->operand);
	while (fgets(text, sizeof(text), in) != NULL)
		add_line(&t, args->env, text);
	read_failed = ferror(in) != 0;
	if (!from_stdin)
		fclose(in);
	if (read_failed) {
		code = agb_ctl_fail(
		    ctl, AGB_CTL_BAD_INPUT, "%s cannot be read", args->operand);
	} else if (t.len == 0) {
		code = agb_ctl_fail(
		    ctl, AGB_CTL_FAILED, "no line is about %s", args->env);
	} else {
		qsort(t.lines, t.len, sizeof(*t.lines), compare_lines);
		print_trace(ctl, &t);
	}
	for (i = 0; i < t.len; i++)
		free(t.lines[i].text);
	free(t.lines);
	return code;
}

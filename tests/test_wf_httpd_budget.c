/**
 * DOC: test_wf_httpd_budget
 *
 * Limits on what the clients of an HTTP server hold, without a network.
 */

#include <stdio.h>
#include <string.h>

#include "suite.h"
#include "wf_httpd_log.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define MB ((size_t)1024 * 1024)
#define KB ((size_t)1024)

/* Guards against limits that exceed the memory or the descriptors of the
 * process, or that a single request of legal size meets. */
static void
test_limits(void)
{
	static const struct {
		uint32_t memory_mb;
		size_t body_max;
		size_t descriptors;
		size_t held_max;
		size_t connections_max;
		size_t descriptor_max;
	} cases[] = {
	    {0, MB, 1024, 32 * MB, 721, 824},
	    {160, MB, 4100, 20 * MB, 3413, 3900},
	    {260, MB, 8192, 260 * MB / 8, 6993, 7992},
	    {48, MB, 500, 6 * MB, 263, 300},
	    /* Two of the largest requests. */
	    {8, MB, 500, 2 * MB + 144 * KB, 263, 300},
	    {1, 1024, 216, 146 * KB, 14, 16},
	    {0, MB, 100, 32 * MB, 14, 16},
	    {0, MB, 8, 32 * MB, 14, 8},
	};
	struct wf_httpd_limits l;
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		wf_httpd_limits_init(&l, cases[i].memory_mb, cases[i].body_max,
		    cases[i].descriptors);
		CU_ASSERT_EQUAL(l.held_max, cases[i].held_max);
		CU_ASSERT_EQUAL(l.connections_max, cases[i].connections_max);
		CU_ASSERT_EQUAL(l.descriptor_max, cases[i].descriptor_max);
		CU_ASSERT(l.held_low < l.held_max);
		CU_ASSERT(l.held_low >= cases[i].body_max);
	}
}

/* Guards against connections beyond each of the three limits. */
static void
test_admission(void)
{
	static const struct {
		size_t connections;
		size_t held;
		size_t descriptor;
		enum wf_httpd_reason reason;
	} cases[] = {
	    {0, 0, 10, WF_HTTPD_KEEP},
	    {9, 99, 99, WF_HTTPD_KEEP},
	    {10, 0, 10, WF_HTTPD_CONNECTIONS},
	    {0, 0, 100, WF_HTTPD_CONNECTIONS},
	    {1, 100, 10, WF_HTTPD_MEMORY},
	};
	struct wf_httpd_budget b = {.limits = {.held_max = 100,
					.held_low = 90,
					.connections_max = 10,
					.descriptor_max = 100}};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		b.connections = cases[i].connections;
		b.held = cases[i].held;
		CU_ASSERT_EQUAL(wf_httpd_budget_admit(&b, cases[i].descriptor),
		    cases[i].reason);
	}
}

/* Guards against a sum that differs from what the connections hold, and against
 * buffers of incomplete requests that are not counted. */
static void
test_sum(void)
{
	static const struct {
		enum wf_httpd_phase phase;
		size_t bytes;
		size_t held;
	} cases[] = {
	    {WF_HTTPD_IDLE, 0, 0},
	    {WF_HTTPD_HEAD, 5, 5 + WF_HTTPD_REQUEST_BYTES},
	    {WF_HTTPD_BODY, 700, 700 + WF_HTTPD_REQUEST_BYTES},
	    {WF_HTTPD_PENDING, 710, 710},
	    {WF_HTTPD_RESPONSE, 30, 30 + WF_HTTPD_RESPONSE_BYTES},
	    {WF_HTTPD_CLOSED, 0, 0},
	};
	struct wf_httpd_load a = {0}, c = {0};
	struct wf_httpd_budget b = {0};
	size_t i;

	wf_httpd_budget_add(&b, &a);
	wf_httpd_budget_add(&b, &c);
	wf_httpd_budget_set_bytes(&b, &c, 40);
	for (i = 0; i < LEN(cases); i++) {
		a.phase = cases[i].phase;
		wf_httpd_budget_set_bytes(&b, &a, cases[i].bytes);
		CU_ASSERT_EQUAL(b.held, cases[i].held + 40);
	}
	CU_ASSERT_EQUAL(b.connections, 2);
	wf_httpd_budget_remove(&b, &c);
	CU_ASSERT_EQUAL(b.held, 0);
	wf_httpd_budget_remove(&b, &a);
	CU_ASSERT_EQUAL(b.connections, 0);
}

/* @worst and @stalest are indexes of @loads; -1: none. */
struct choice {
	const char *name;
	struct wf_httpd_load loads[3];
	int worst;
	int stalest;
};

static const struct choice choices[] = {
    {"the same age: the largest",
	{{.phase = WF_HTTPD_BODY, .bytes = 300, .since = 90 * AGB_SEC},
	    {.phase = WF_HTTPD_BODY, .bytes = 400, .since = 90 * AGB_SEC},
	    {.phase = WF_HTTPD_BODY, .bytes = 200, .since = 90 * AGB_SEC}},
	1, 0},
    {"the same size: the one that takes longest",
	{{.phase = WF_HTTPD_BODY, .bytes = 300, .since = 99 * AGB_SEC},
	    {.phase = WF_HTTPD_HEAD, .bytes = 300, .since = 90 * AGB_SEC},
	    {.phase = WF_HTTPD_RESPONSE, .bytes = 300, .since = 98 * AGB_SEC}},
	1, 0},
    {"a small one that takes long stays; one that grew for some time goes",
	{{.phase = WF_HTTPD_BODY, .bytes = 10, .since = 91 * AGB_SEC},
	    {.phase = WF_HTTPD_BODY, .bytes = 900, .since = 99 * AGB_SEC},
	    {.phase = WF_HTTPD_BODY, .bytes = 900, .since = 100 * AGB_SEC}},
	1, 0},
    {"a complete request may have run",
	{{.phase = WF_HTTPD_PENDING, .bytes = 900},
	    {.phase = WF_HTTPD_CLOSED, .bytes = 900},
	    {.phase = WF_HTTPD_HEAD,
		.bytes = 1,
		.since = 100 * AGB_SEC,
		.progress_at = 100 * AGB_SEC}},
	2, -1},
    {"idle connections hold nothing; the unused one has had its time",
	{{.phase = WF_HTTPD_IDLE,
	     .was_used = true,
	     .progress_at = 85 * AGB_SEC},
	    {.phase = WF_HTTPD_IDLE, .progress_at = 96 * AGB_SEC},
	    {.phase = WF_HTTPD_IDLE, .progress_at = 98 * AGB_SEC}},
	-1, 1},
    {"a used one after its own time",
	{{.phase = WF_HTTPD_IDLE, .progress_at = 98 * AGB_SEC},
	    {.phase = WF_HTTPD_IDLE,
		.was_used = true,
		.progress_at = 80 * AGB_SEC},
	    {.phase = WF_HTTPD_IDLE,
		.was_used = true,
		.progress_at = 99 * AGB_SEC}},
	-1, 1},
};

/* Guards against a client that suffers for others: one whose request is
 * complete, that makes progress, or that holds little. */
static void
test_choices(void)
{
	const agb_time now = 100 * AGB_SEC;
	struct wf_httpd_budget b;
	struct choice c;
	size_t i, j;

	for (i = 0; i < LEN(choices); i++) {
		c = choices[i];
		memset(&b, 0, sizeof(b));
		for (j = 0; j < LEN(c.loads); j++)
			wf_httpd_budget_add(&b, &c.loads[j]);
		if (wf_httpd_budget_worst(&b, now) !=
			(c.worst < 0 ? NULL : &c.loads[c.worst]) ||
		    wf_httpd_budget_stalest(&b, now) !=
			(c.stalest < 0 ? NULL : &c.loads[c.stalest])) {
			printf("\ncase \"%s\"\n", c.name);
			CU_FAIL("another connection is chosen");
		}
	}
}

/* Guards against limits that a client within those of a document meets (head of
 * 16,384 bytes within 3,000 ms, 15,000 ms without a byte), and against ones
 * that do not end. */
static void
test_limits_of_one(void)
{
	static const struct {
		enum wf_httpd_phase phase;
		enum wf_httpd_reason reason;
		size_t bytes;
		agb_time age;
		agb_time stalled;
	} cases[] = {
	    {WF_HTTPD_IDLE, WF_HTTPD_KEEP, 0, AGB_TIME_MAX / 2,
		AGB_TIME_MAX / 2},
	    {WF_HTTPD_HEAD, WF_HTTPD_KEEP, 16384, 3000 * AGB_MS, 3000 * AGB_MS},
	    {WF_HTTPD_HEAD, WF_HTTPD_HEAD_SIZE, 65537, 0, 0},
	    /* Progress does not prolong the time of a head. */
	    {WF_HTTPD_HEAD, WF_HTTPD_HEAD_TIME, 100, 10000 * AGB_MS, 0},
	    {WF_HTTPD_BODY, WF_HTTPD_KEEP, 16 * MB, 50000 * AGB_MS,
		15000 * AGB_MS},
	    {WF_HTTPD_BODY, WF_HTTPD_BODY_TIME, 1, 50000 * AGB_MS,
		20000 * AGB_MS},
	    {WF_HTTPD_PENDING, WF_HTTPD_KEEP, 16 * MB, AGB_TIME_MAX / 2,
		AGB_TIME_MAX / 2},
	    {WF_HTTPD_RESPONSE, WF_HTTPD_KEEP, 16 * MB, 50000 * AGB_MS,
		15000 * AGB_MS},
	    {WF_HTTPD_RESPONSE, WF_HTTPD_RESPONSE_TIME, 1, 50000 * AGB_MS,
		20000 * AGB_MS},
	};
	const agb_time now = AGB_TIME_MAX / 2;
	struct wf_httpd_load l = {0};
	size_t i;

	for (i = 0; i < LEN(cases); i++) {
		l.phase = cases[i].phase;
		l.bytes = cases[i].bytes;
		l.since = now - cases[i].age;
		l.progress_at = now - cases[i].stalled;
		CU_ASSERT_EQUAL(wf_httpd_load_check(&l, now), cases[i].reason);
	}
}

/* Guards against a refusal with a status that does not promise that nothing was
 * run. */
static void
test_reasons(void)
{
	int status;
	size_t i;

	for (i = WF_HTTPD_KEEP + 1; i < WF_HTTPD_REASONS; i++) {
		status = wf_httpd_reason_status(i);
		CU_ASSERT(status == 408 || status == 413 || status == 503);
		CU_ASSERT(strlen(wf_httpd_reason_name(i)) > 0);
	}
}

/* Guards against a log whose volume clients decide. */
static void
test_log(void)
{
	const struct wf_httpd_budget b = {
	    .limits = {.held_max = 20 * MB, .connections_max = 700},
	    .held = 19 * MB,
	    .connections = 33};
	struct wf_httpd_log l = {0};
	char line[256];

	CU_ASSERT(wf_httpd_log_format(
	    &l, &b, WF_HTTPD_MEMORY, AGB_SEC, line, sizeof(line)));
	CU_ASSERT_FALSE(wf_httpd_log_format(
	    &l, &b, WF_HTTPD_MEMORY, 2 * AGB_SEC - 1, line, sizeof(line)));
	CU_ASSERT(wf_httpd_log_format(
	    &l, &b, WF_HTTPD_HEAD_TIME, 2 * AGB_SEC, line, sizeof(line)));
	CU_ASSERT_STRING_EQUAL(line,
	    "change=given-up reason=head-time held_kb=19456 limit_kb=20480 "
	    "connections=33 connections_max=700 omitted=1");
}

static const struct suite_test tests[] = {
    {"httpd budget: limits", test_limits},
    {"httpd budget: admission", test_admission},
    {"httpd budget: sum", test_sum},
    {"httpd budget: choices", test_choices},
    {"httpd budget: limits of one connection", test_limits_of_one},
    {"httpd budget: reasons", test_reasons},
    {"httpd budget: log", test_log},
};

int
main(void)
{
	return suite_run("wf_httpd_budget", tests, LEN(tests));
}

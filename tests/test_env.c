#include <openssl/sha.h>

#include "env.h"
#include "suite.h"
#include "textfile.h"

#define SHA_A "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define SHA_B "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define SHA_EMPTY \
	"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

static const char base[] =
    "{\"name\": \"test\",\n"
    "\"weights\": {\"wait\": 2.5},\n"
    "\"regions\": [{\"name\": \"r\", \"domains\": [\"d1\", \"d2\"]}],\n"
    "\"classes\": [\n"
    "{\"name\": \"q\", \"policy\": \"quick\", \"deadline_ms\": 5000},\n"
    "{\"name\": \"b\", \"policy\": \"batch\", \"urgency\": 8}],\n"
    "\"teams\": [\n"
    "{\"name\": \"t1\", \"credential_sha256\": \"" SHA_A "\",\n"
    "\"quota\": {\"cpu_milli\": 4000, \"mem_mb\": 4096}},\n"
    "{\"name\": \"t2\", \"credential_sha256\": \"" SHA_B "\",\n"
    "\"quota\": {\"cpu_milli\": 4000, \"mem_mb\": 4096, \"accel\": 1},\n"
    "\"borrow\": true}],\n"
    "\"work\": [\n"
    "{\"name\": \"w1\", \"class\": \"q\", \"run_ms\": 200,\n"
    "\"need\": {\"cpu_milli\": 500, \"mem_mb\": 64}},\n"
    "{\"name\": \"w2\", \"class\": \"b\", \"domains\": [\"d2\"],\n"
    "\"teams\": [\"t2\"],\n"
    "\"need\": {\"cpu_milli\": 500, \"mem_mb\": 64, \"accel\": 2},\n"
    "\"need_max\": {\"mem_mb\": 128}}]}\n";

/* Guards against fields of a document that are not read, are read into the
 * wrong field, or have a wrong default. */
static void
test_fields(void)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_env *env;

	CU_ASSERT_TRUE_FATAL(agb_env_parse(base, strlen(base), 7, &env, f));
	CU_ASSERT_EQUAL(f->len, 0);
	CU_ASSERT_EQUAL(env->version, 7);
	CU_ASSERT_STRING_EQUAL(env->name, "test");
	CU_ASSERT_EQUAL(env->weights.wait, 2.5);
	CU_ASSERT_EQUAL(env->weights.packing, 1);
	CU_ASSERT_EQUAL(env->headroom_percent, 5);
	CU_ASSERT_EQUAL(env->eject_max_percent, 10);
	CU_ASSERT_EQUAL(env->regions_len, 1);
	CU_ASSERT_EQUAL(env->domains_len, 2);
	CU_ASSERT_EQUAL(agb_env_domain_find(env, "d2"), 1);
	CU_ASSERT_EQUAL(agb_env_domain_find(env, "d3"), AGB_ENV_NONE);
	CU_ASSERT_EQUAL(env->classes_len, 2);
	CU_ASSERT_EQUAL(env->classes[0].policy, AGB_POLICY_QUICK);
	CU_ASSERT_EQUAL(env->classes[0].urgency, 4);
	CU_ASSERT_EQUAL(env->classes[0].deadline_ms, 5000);
	CU_ASSERT_EQUAL(env->classes[0].retry_budget_percent, 10);
	CU_ASSERT_EQUAL(env->classes[1].policy, AGB_POLICY_BATCH);
	CU_ASSERT_EQUAL(env->classes[1].urgency, 8);
	CU_ASSERT_EQUAL(env->teams_len, 2);
	CU_ASSERT_EQUAL(env->teams[1].quota.accel, 1);
	CU_ASSERT_EQUAL(env->teams[0].weight, 1);
	CU_ASSERT_FALSE(env->teams[0].may_borrow);
	CU_ASSERT_TRUE(env->teams[1].may_borrow);
	CU_ASSERT_EQUAL(agb_env_team_find(env, "t2"), 1);
	CU_ASSERT_EQUAL(agb_env_team_by_credential(env, SHA_B), 1);
	CU_ASSERT_EQUAL(agb_env_team_by_credential(env, ""), AGB_ENV_NONE);
	CU_ASSERT_EQUAL(
	    agb_env_team_by_credential(env, SHA_EMPTY), AGB_ENV_NONE);
	CU_ASSERT_EQUAL(agb_env_work_find(env, "w2"), 1);
	CU_ASSERT_EQUAL(env->works[0].domains, 3);
	CU_ASSERT_EQUAL(env->works[0].teams, 3);
	CU_ASSERT_EQUAL(env->works[0].run_ms, 200);
	CU_ASSERT_EQUAL(env->works[1].class_index, 1);
	CU_ASSERT_EQUAL(env->works[1].domains, 2);
	CU_ASSERT_EQUAL(env->works[1].teams, 2);
	CU_ASSERT_EQUAL(env->works[1].need.accel, 2);
	CU_ASSERT_EQUAL(env->works[1].need_max.cpu_milli, 0);
	CU_ASSERT_EQUAL(env->works[1].need_max.mem_mb, 128);
	CU_ASSERT_STRING_EQUAL(env->text, base);
	agb_env_free(env);
	free(f);
}

#define E(place, text) "x: " place ": error: " text "\n"
#define W(place, text) "x: " place ": warning: " text "\n"

/* Guards against a single error in a document that is accepted, or reported
 * with the wrong text or location. */
static void
test_findings(void)
{
	static const struct {
		const char *from;
		const char *to;
		const char *want;
	} cases[] = {
	    {"2.5", "0, \"cross_region_kb\": 0, \"packing\": 0",
		E("line 2 /weights",
		    "all weights are 0; every place would be equally good")},
	    {"2.5", "-1",
		E("line 2 /weights/wait", "is -1; allowed are 0 to 1e+06")},
	    {"\"wait\"", "\"wiat\"",
		E("line 2 /weights/wiat",
		    "unknown key; did you mean \"wait\"?")},
	    {"\"name\": \"test\",", "", E("line 1 /name", "is missing")},
	    {"\"regions\"", "\"headroom_percent\": 91, \"regions\"",
		E("line 3 /headroom_percent",
		    "is 91; allowed are 0 to 90 percent")},
	    {"\"d1\", \"d2\"", "\"d1\", \"d1\", \"d2\"",
		E("line 3 /regions/0/domains/1",
		    "\"d1\" is already a failure domain of region \"r\"")},
	    {"\"d1\"", "\"D1\"",
		E("line 3 /regions/0/domains/0",
		    "\"D1\" is not a name; allowed are a-z, 0-9 and inner "
		    "hyphens")},
	    {"\"name\": \"b\"", "\"name\": \"q\"",
		E("line 6 /classes/1/name",
		    "\"q\" is already the name of entry 0")
		    E("line 16 /work/1/class",
			"\"b\" is no class of this document")},
	    {"\"quick\"", "\"quick\", \"on_isolation\": \"stop\"",
		E("line 5 /classes/0/autonomy_ms",
		    "is missing; on_isolation \"stop\" needs it")},
	    {"\"quick\"", "\"quick\", \"autonomy_ms\": 5000",
		W("line 5 /classes/0/autonomy_ms",
		    "has no effect with on_isolation \"keep\"")},
	    {"\"quick\"", "\"quick\", \"preemptible\": true",
		E("line 5 /classes/0/preemptible",
		    "is not possible with policy \"quick\"")},
	    {"\"batch\", \"urgency\": 8", "\"batch\", \"checkpoint\": true",
		W("line 6 /classes/1/checkpoint",
		    "has no effect while preemptible is false")},
	    {"\"batch\"", "\"batch\", \"preemptible\": true",
		E("line 6 /classes/1/preemptible",
		    "contradicts urgency 8; work of urgency 8 and 9 is what "
		    "others are preempted for")},
	    {"\"quick\"", "\"quick\", \"queue_max_ms\": 6000",
		W("line 5 /classes/0/queue_max_ms",
		    "is 6000 ms, longer than deadline_ms of 5000 ms")},
	    {"\"quick\"",
		"\"quick\", \"retries\": 1, \"retry_budget_percent\": 0",
		W("line 5 /classes/0/retries",
		    "has no effect while retry_budget_percent is 0")},
	    {"\"batch\"", "\"service\", \"deadline_ms\": 9000",
		W("line 6 /classes/1/deadline_ms",
		    "limits only how long a service may wait for its start")},
	    {SHA_B, SHA_A,
		E("line 10 /teams/1/credential_sha256",
		    "is also the credential of team \"t1\"")},
	    {SHA_A, SHA_EMPTY,
		E("line 8 /teams/0/credential_sha256",
		    "is the SHA-256 of an empty credential")},
	    {SHA_A, "AAAA",
		E("line 8 /teams/0/credential_sha256",
		    "is not a SHA-256; expected 64 digits 0-9 and a-f")},
	    {"\"name\": \"t2\"", "\"name\": \"t1\"",
		E("line 10 /teams/1/name",
		    "\"t1\" is already the name of entry 0")
		    E("line 17 /work/1/teams/0",
			"\"t2\" is no team of this document; did you mean "
			"\"t1\"?")},
	    {"\"cpu_milli\": 4000", "\"cpu_milli\": 256000001",
		W("line 9 /teams/0/quota",
		    "is larger than 2000 workers of 128 cores, 1 TiB and 8 "
		    "accelerators; check the units")},
	    {"\"borrow\": true", "\"weight\": 0",
		E("line 12 /teams/1/weight", "is 0; allowed are 1 to 1000")
		    W("line 18 /work/1/need",
			"is larger than the quota of team \"t2\", which may "
			"not borrow")},
	    {"\"run_ms\": 200", "\"run_ms\": 6000",
		E("line 14 /work/0/run_ms",
		    "is 6000 ms, longer than deadline_ms of class \"q\", "
		    "5000 ms")},
	    {"[\"t2\"]", "[\"t2\", \"t2\"]",
		W("line 17 /work/1/teams/1",
		    "\"t2\" stands in the list twice")},
	    {"[\"d2\"]", "[\"other\"]",
		E("line 16 /work/1/domains/0",
		    "\"other\" is no failure domain of this document")},
	    {"\"mem_mb\": 128", "\"mem_mb\": 63",
		E("line 18 /work/1/need", "is larger than need_max")},
	    {"\"name\": \"w2\"", "\"name\": \"w1\"",
		E("line 16 /work/1/name",
		    "\"w1\" is already the name of entry 0")},
	    {"{\"name\": \"w1\",", "{\"name\": \"w1\", \"teams\": [\"t2\"],",
		W("line 7 /teams", "team \"t1\" may ask for no work")},
	    {"{\"name\": \"w1\",", "{\"name\": \"w1\", \"domains\": [\"d2\"],",
		W("line 3 /regions",
		    "no work may run in failure domain \"d1\"")},
	    {"\"class\": \"b\"", "\"class\": \"q\"",
		W("line 4 /classes", "class \"b\" has no work")},
	};
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_env *env;
	char *text, *got;
	size_t i;
	bool ok;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		text = textfile_replace(base, cases[i].from, cases[i].to);
		memset(f, 0, sizeof(*f));
		ok = agb_env_parse(text, strlen(text), 1, &env, f);
		CU_ASSERT_EQUAL(ok, strstr(cases[i].want, "error:") == NULL);
		CU_ASSERT_EQUAL(ok, env != NULL);
		got = textfile_format_findings(f, "x");
		if (strcmp(got, cases[i].want) != 0)
			fprintf(stderr, "%zu: %s", i, got);
		CU_ASSERT_STRING_EQUAL(got, cases[i].want);
		agb_env_free(env);
		free(got);
		free(text);
	}
	free(f);
}

static struct agb_env *
load_environment(const char *path, char **got)
{
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_env *env;
	size_t len = 0;
	char *const text = textfile_read_or_abort(path, &len);

	agb_env_parse(text, len, 1, &env, f);
	*got = textfile_format_findings(f, "x");
	free(text);
	free(f);
	return env;
}

/* Guards against findings that change, and against an error that hides
 * others. */
static void
test_golden(void)
{
	char *got;

	CU_ASSERT_PTR_NULL(
	    load_environment("tests/golden/env/many.json", &got));
	CU_ASSERT_TRUE(
	    textfile_matches_golden("tests/golden/env/many.txt", got));
	free(got);
}

/* Guards against sample documents with findings, and against credentials in
 * their comments that do not match the hashes of their teams. */
static void
test_samples(void)
{
	static const char *const files[] = {
	    "samples/lagos/environment.json",
	    "samples/bac-ninh/environment.json",
	};
	static const char mark[] = "Demonstration credential: ";
	unsigned char digest[SHA256_DIGEST_LENGTH];
	struct agb_env *env;
	char hex[65];
	size_t i, n, found;
	const char *p;
	char *got;

	for (i = 0; i < sizeof(files) / sizeof(files[0]); i++) {
		env = load_environment(files[i], &got);
		CU_ASSERT_STRING_EQUAL(got, "");
		free(got);
		CU_ASSERT_PTR_NOT_NULL(env);
		if (env == NULL)
			continue;
		found = 0;
		for (p = env->text; (p = strstr(p, mark)) != NULL; found++) {
			p += strlen(mark);
			SHA256(
			    (const unsigned char *)p, strcspn(p, "\n"), digest);
			for (n = 0; n < sizeof(digest); n++)
				snprintf(hex + 2 * n, 3, "%02x", digest[n]);
			CU_ASSERT_EQUAL(
			    agb_env_team_by_credential(env, hex), found);
		}
		CU_ASSERT_EQUAL(found, env->teams_len);
		agb_env_free(env);
	}
}

/* Creates a document with @teams teams, and @regions regions of three failure
 * domains each. */
static char *
make_document(unsigned teams, unsigned regions)
{
	size_t len;
	char *text = NULL;
	unsigned i;
	FILE *const f = open_memstream(&text, &len);

	fputs("{\"name\": \"large\", \"regions\": [", f);
	for (i = 0; i < regions; i++)
		fprintf(f,
		    "%s{\"name\": \"r%u\", "
		    "\"domains\": [\"d%ua\", \"d%ub\", \"d%uc\"]}",
		    i > 0 ? ", " : "", i, i, i, i);
	fputs("], \"classes\": [{\"name\": \"b\", \"policy\": \"batch\"}]"
	      ", \"teams\": [",
	    f);
	for (i = 0; i < teams; i++)
		fprintf(f,
		    "%s{\"name\": \"t%u\", \"credential_sha256\": \"%064x\", "
		    "\"quota\": {\"cpu_milli\": 1000, \"mem_mb\": 1000}}",
		    i > 0 ? ", " : "", i, i);
	fputs("], \"work\": [{\"name\": \"w\", \"class\": \"b\", "
	      "\"need\": {\"cpu_milli\": 1, \"mem_mb\": 1}}]}",
	    f);
	fclose(f);
	return text;
}

/* Guards against limits on teams and domains that are missing, or below the
 * target size of a cluster. */
static void
test_limits(void)
{
	static const struct {
		unsigned teams;
		unsigned regions;
		const char *want;
	} cases[] = {
	    {39, 3, ""},
	    {64, 10, ""},
	    {65, 3, E("line 1 /teams", "has 65 items; at most 64 are allowed")},
	    {1, 11,
		E("line 1 /regions/10/domains/2",
		    "is one failure domain too many; at most 32 are allowed "
		    "in all regions together")},
	};
	struct agb_findings *const f = agb_xcalloc(1, sizeof(*f));
	struct agb_env *env;
	char *text, *got;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		memset(f, 0, sizeof(*f));
		text = make_document(cases[i].teams, cases[i].regions);
		agb_env_parse(text, strlen(text), 1, &env, f);
		got = textfile_format_findings(f, "x");
		CU_ASSERT_STRING_EQUAL(got, cases[i].want);
		if (env != NULL) {
			CU_ASSERT_EQUAL(
			    env->works[0].teams >> (cases[i].teams - 1), 1);
			CU_ASSERT_EQUAL(
			    env->works[0].domains >> (cases[i].regions * 3 - 1),
			    1);
		}
		agb_env_free(env);
		free(got);
		free(text);
	}
	free(f);
}

static const struct suite_test tests[] = {
    {"fields", test_fields},
    {"findings", test_findings},
    {"golden", test_golden},
    {"samples", test_samples},
    {"limits", test_limits},
};

int
main(void)
{
	return suite_run("env", tests, sizeof(tests) / sizeof(tests[0]));
}

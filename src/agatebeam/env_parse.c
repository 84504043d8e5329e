#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "env.h"
#include "jsonc.h"
#include "mem.h"

#define HOUR_MS ((int64_t)3600 * 1000)
#define DAY_MS (24 * HOUR_MS)

/* Upper limits of amounts in a document, far above any cluster's size. */
#define CPU_MILLI_MAX ((int64_t)1000 * 1000 * 1000)
#define MEM_MB_MAX ((int64_t)1000 * 1000 * 1000 * 1000)
#define ACCEL_MAX ((int64_t)1000 * 1000)

/*
 * A larger quota is most likely written in the wrong unit. The limit is 2000
 * workers, twice the target size of a cluster, with 128 cores, 1 TiB and 8
 * accelerators each.
 */
#define PLAUSIBLE_QUOTA_CPU_MILLI ((int64_t)2000 * 128 * 1000)
#define PLAUSIBLE_QUOTA_MEM_MB ((int64_t)2000 * 1024 * 1024)
#define PLAUSIBLE_QUOTA_ACCEL ((int64_t)2000 * 8)

#define LEN(a) (sizeof(a) / sizeof((a)[0]))

/* SHA-256 of the empty string. */
static const char empty_sha256[] =
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

static const char *const root_keys[] = {"name", "weights", "headroom_percent",
    "eject_max_percent", "regions", "classes", "teams", "work"};
static const char *const weight_keys[] = {"wait", "cross_region_kb", "packing"};
static const char *const region_keys[] = {"name", "domains"};
static const char *const class_keys[] = {"name", "policy", "urgency",
    "preemptible", "checkpoint", "on_isolation", "autonomy_ms", "deadline_ms",
    "queue_max_ms", "retries", "retry_budget_percent"};
static const char *const team_keys[] = {
    "name", "credential_sha256", "quota", "weight", "borrow"};
static const char *const work_keys[] = {
    "name", "class", "need", "need_max", "run_ms", "domains", "teams"};
static const char *const resource_keys[] = {"cpu_milli", "mem_mb", "accel"};
static const char *const policies[] = {"quick", "batch", "gang", "service"};
static const char *const isolations[] = {"keep", "stop"};

static const struct agb_jsonc_range headroom_range = {0, 90, "percent"};
static const struct agb_jsonc_range eject_max_range = {0, 50, "percent"};
static const struct agb_jsonc_range urgency_range = {0, 9, ""};
static const struct agb_jsonc_range autonomy_range = {1000, DAY_MS, "ms"};
static const struct agb_jsonc_range deadline_range = {0, 30 * DAY_MS, "ms"};
static const struct agb_jsonc_range retries_range = {0, 20, ""};
static const struct agb_jsonc_range retry_budget_range = {0, 100, "percent"};
static const struct agb_jsonc_range team_weight_range = {1, 1000, ""};
static const struct agb_jsonc_range run_time_range = {0, 40 * DAY_MS, "ms"};

static const char *
domain_name(const struct agb_env *env, size_t i)
{
	return env->domains[i].name;
}

static const char *
team_name(const struct agb_env *env, size_t i)
{
	return env->teams[i].name;
}

static const char *
class_name(const struct agb_env *env, size_t i)
{
	return env->classes[i].name;
}

static const char *
work_name(const struct agb_env *env, size_t i)
{
	return env->works[i].name;
}

static const char *
region_name(const struct agb_env *env, size_t i)
{
	return env->regions[i];
}

typedef const char *(*entry_name_fn)(const struct agb_env *, size_t);

/*
 * Index of the entry called @name among the first @len entries of a table, or
 * @len when there is none. @name_of returns the name of an entry.
 */
static size_t
find_entry(const struct agb_env *env, entry_name_fn name_of, size_t len,
    const char *name)
{
	size_t i;

	for (i = 0; i < len && strcmp(name_of(env, i), name) != 0; i++)
		continue;
	return i;
}

/*
 * Reads the name of entry @i of a table into @dst. With @name_of, reports a
 * name that an earlier entry of the table has too.
 */
static void
parse_name(const struct agb_jsonc_node *node, const struct agb_env *env,
    entry_name_fn name_of, size_t i, char *dst)
{
	size_t first;

	if (!agb_jsonc_get_name(node, "name", dst))
		return;
	first = name_of != NULL ? find_entry(env, name_of, i, dst) : i;
	if (first < i)
		agb_jsonc_report(node, "name", AGB_FINDING_ERROR,
		    "\"%s\" is already the name of entry %zu", dst, first);
}

static void
parse_resources(const struct agb_jsonc_node *node, const char *key,
    bool required, int64_t min, struct agb_resources *out)
{
	const struct agb_jsonc_range cpu = {
	    min, CPU_MILLI_MAX, "thousandths of a core"};
	const struct agb_jsonc_range mem = {min, MEM_MB_MAX, "MiB"};
	const struct agb_jsonc_range accel = {0, ACCEL_MAX, "accelerators"};
	struct agb_jsonc_node obj;

	if (!agb_jsonc_get_object(node, key, required, &obj))
		return;
	agb_jsonc_check_keys(&obj, resource_keys, LEN(resource_keys));
	agb_jsonc_get_int(&obj, "cpu_milli", required, &cpu, &out->cpu_milli);
	agb_jsonc_get_int(&obj, "mem_mb", required, &mem, &out->mem_mb);
	agb_jsonc_get_int(&obj, "accel", false, &accel, &out->accel);
}

static void
parse_weights(const struct agb_jsonc_node *root, struct agb_env *env)
{
	struct agb_env_weights *const w = &env->weights;
	struct agb_jsonc_node node;
	const double max = 1e6;

	w->wait = 1;
	w->cross_region_kb = 1;
	w->packing = 1;
	if (!agb_jsonc_get_object(root, "weights", false, &node))
		return;
	agb_jsonc_check_keys(&node, weight_keys, LEN(weight_keys));
	agb_jsonc_get_double(&node, "wait", false, 0, max, &w->wait);
	agb_jsonc_get_double(
	    &node, "cross_region_kb", false, 0, max, &w->cross_region_kb);
	agb_jsonc_get_double(&node, "packing", false, 0, max, &w->packing);
	if (w->wait <= 0 && w->cross_region_kb <= 0 && w->packing <= 0)
		agb_jsonc_report(root, "weights", AGB_FINDING_ERROR,
		    "all weights are 0; every place would be equally good");
}

static void
parse_domains(
    const struct agb_jsonc_node *node, struct agb_env *env, uint16_t region)
{
	struct agb_env_domain *d;
	struct agb_jsonc_node list;
	char got[AGB_NAME_LEN];
	const char *name;
	size_t len, i;

	if (!agb_jsonc_get_array(
		node, "domains", true, AGB_ENV_DOMAINS_MAX, &list, &len))
		return;
	for (i = 0; i < len; i++) {
		name = agb_jsonc_get_item_str(&list, i, AGB_NAME_LEN - 1);
		if (name == NULL)
			continue;
		if (!agb_jsonc_name_valid(name)) {
			agb_jsonc_copy_printable(
			    got, sizeof(got), name, strlen(name));
			agb_jsonc_report_item(&list, i, AGB_FINDING_ERROR,
			    AGB_JSONC_BAD_NAME_FMT, got);
			continue;
		}
		if (agb_env_domain_find(env, name) != AGB_ENV_NONE) {
			agb_jsonc_report_item(&list, i, AGB_FINDING_ERROR,
			    "\"%s\" is already a failure domain of region "
			    "\"%s\"",
			    name,
			    env->regions[env->domains[agb_env_domain_find(
							  env, name)]
					     .region]);
			continue;
		}
		if (env->domains_len == AGB_ENV_DOMAINS_MAX) {
			agb_jsonc_report_item(&list, i, AGB_FINDING_ERROR,
			    "is one failure domain too many; at most %d are "
			    "allowed in all regions together",
			    AGB_ENV_DOMAINS_MAX);
			return;
		}
		d = &env->domains[env->domains_len++];
		agb_str_copy(d->name, sizeof(d->name), name);
		d->region = region;
	}
}

static void
parse_regions(const struct agb_jsonc_node *root, struct agb_env *env)
{
	struct agb_jsonc_node list, node;
	size_t len, i;

	env->domains = agb_xcalloc(AGB_ENV_DOMAINS_MAX, sizeof(*env->domains));
	if (!agb_jsonc_get_array(
		root, "regions", true, AGB_ENV_REGIONS_MAX, &list, &len))
		return;
	env->regions = agb_xcalloc(len, sizeof(*env->regions));
	for (i = 0; i < len; i++) {
		env->regions_len = (uint16_t)(i + 1);
		if (!agb_jsonc_get_item_object(&list, i, &node))
			continue;
		agb_jsonc_check_keys(&node, region_keys, LEN(region_keys));
		parse_name(&node, env, region_name, i, env->regions[i]);
		parse_domains(&node, env, (uint16_t)i);
	}
}

/* Reports fields of a class that contradict each other. */
static void
check_class(const struct agb_jsonc_node *node, const struct agb_env_class *c)
{
	const bool is_service = c->policy == AGB_POLICY_SERVICE;

	if (c->on_isolation == AGB_ISOLATION_STOP && c->autonomy_ms == 0)
		agb_jsonc_report(node, "autonomy_ms", AGB_FINDING_ERROR,
		    "is missing; on_isolation \"stop\" needs it");
	if (c->on_isolation == AGB_ISOLATION_KEEP && c->autonomy_ms > 0)
		agb_jsonc_report(node, "autonomy_ms", AGB_FINDING_WARNING,
		    "has no effect with on_isolation \"keep\"");
	if (c->policy == AGB_POLICY_QUICK && (c->checkpoint || c->preemptible))
		agb_jsonc_report(node,
		    c->checkpoint ? "checkpoint" : "preemptible",
		    AGB_FINDING_ERROR, "is not possible with policy \"quick\"");
	if (c->checkpoint && !c->preemptible)
		agb_jsonc_report(node, "checkpoint", AGB_FINDING_WARNING,
		    "has no effect while preemptible is false");
	if (c->urgency >= 8 && c->preemptible)
		agb_jsonc_report(node, "preemptible", AGB_FINDING_ERROR,
		    "contradicts urgency %d; work of urgency 8 and 9 is what "
		    "others are preempted for",
		    c->urgency);
	if (c->deadline_ms > 0 && c->queue_max_ms > c->deadline_ms)
		agb_jsonc_report(node, "queue_max_ms", AGB_FINDING_WARNING,
		    "is %u ms, longer than deadline_ms of %u ms",
		    c->queue_max_ms, c->deadline_ms);
	if (c->retries > 0 && c->retry_budget_percent == 0)
		agb_jsonc_report(node, "retries", AGB_FINDING_WARNING,
		    "has no effect while retry_budget_percent is 0");
	if (is_service && c->deadline_ms > 0)
		agb_jsonc_report(node, "deadline_ms", AGB_FINDING_WARNING,
		    "limits only how long a service may wait for its start");
}

static void
parse_class(const struct agb_jsonc_node *node, struct agb_env *env, size_t i)
{
	struct agb_env_class *const c = &env->classes[i];
	uint16_t urgency = 4;
	size_t n = 0;

	agb_jsonc_check_keys(node, class_keys, LEN(class_keys));
	parse_name(node, env, class_name, i, c->name);
	if (agb_jsonc_get_enum(
		node, "policy", true, policies, LEN(policies), &n))
		c->policy = (enum agb_policy)n;
	agb_jsonc_get_u16(node, "urgency", false, &urgency_range, &urgency);
	c->urgency = (uint8_t)urgency;
	agb_jsonc_get_bool(node, "preemptible", false, &c->preemptible);
	agb_jsonc_get_bool(node, "checkpoint", false, &c->checkpoint);
	n = AGB_ISOLATION_KEEP;
	agb_jsonc_get_enum(
	    node, "on_isolation", false, isolations, LEN(isolations), &n);
	c->on_isolation = (enum agb_isolation)n;
	agb_jsonc_get_u32(
	    node, "autonomy_ms", false, &autonomy_range, &c->autonomy_ms);
	agb_jsonc_get_u32(
	    node, "deadline_ms", false, &deadline_range, &c->deadline_ms);
	agb_jsonc_get_u32(
	    node, "queue_max_ms", false, &deadline_range, &c->queue_max_ms);
	agb_jsonc_get_u16(node, "retries", false, &retries_range, &c->retries);
	c->retry_budget_percent = 10;
	agb_jsonc_get_u16(node, "retry_budget_percent", false,
	    &retry_budget_range, &c->retry_budget_percent);
	check_class(node, c);
}

static void
parse_classes(const struct agb_jsonc_node *root, struct agb_env *env)
{
	struct agb_jsonc_node list, node;
	size_t len, i;

	if (!agb_jsonc_get_array(
		root, "classes", true, AGB_ENV_CLASSES_MAX, &list, &len))
		return;
	env->classes = agb_xcalloc(len, sizeof(*env->classes));
	for (i = 0; i < len; i++) {
		env->classes_len = (uint16_t)(i + 1);
		if (agb_jsonc_get_item_object(&list, i, &node))
			parse_class(&node, env, i);
	}
}

static void
parse_credential(
    const struct agb_jsonc_node *node, struct agb_env *env, size_t i)
{
	char *const sha = env->teams[i].credential_sha256;
	size_t k;

	if (!agb_jsonc_get_str(node, "credential_sha256", true, sha,
		sizeof(env->teams[i].credential_sha256)))
		return;
	if (strspn(sha, "0123456789abcdef") != 64) {
		agb_jsonc_report(node, "credential_sha256", AGB_FINDING_ERROR,
		    "is not a SHA-256; expected 64 digits 0-9 and a-f");
		/* A malformed hash must not authenticate any client. */
		sha[0] = '\0';
		return;
	}
	if (strcmp(sha, empty_sha256) == 0)
		agb_jsonc_report(node, "credential_sha256", AGB_FINDING_ERROR,
		    "is the SHA-256 of an empty credential");
	for (k = 0; k < i; k++) {
		if (strcmp(env->teams[k].credential_sha256, sha) == 0)
			agb_jsonc_report(node, "credential_sha256",
			    AGB_FINDING_ERROR,
			    "is also the credential of team \"%s\"",
			    env->teams[k].name);
	}
}

static void
parse_team(const struct agb_jsonc_node *node, struct agb_env *env, size_t i)
{
	struct agb_env_team *const t = &env->teams[i];

	agb_jsonc_check_keys(node, team_keys, LEN(team_keys));
	parse_name(node, env, team_name, i, t->name);
	parse_credential(node, env, i);
	parse_resources(node, "quota", true, 1, &t->quota);
	if (t->quota.cpu_milli > PLAUSIBLE_QUOTA_CPU_MILLI ||
	    t->quota.mem_mb > PLAUSIBLE_QUOTA_MEM_MB ||
	    t->quota.accel > PLAUSIBLE_QUOTA_ACCEL)
		agb_jsonc_report(node, "quota", AGB_FINDING_WARNING,
		    "is larger than 2000 workers of 128 cores, 1 TiB and 8 "
		    "accelerators; check the units");
	t->weight = 1;
	agb_jsonc_get_u32(
	    node, "weight", false, &team_weight_range, &t->weight);
	agb_jsonc_get_bool(node, "borrow", false, &t->may_borrow);
}

static void
parse_teams(const struct agb_jsonc_node *root, struct agb_env *env)
{
	struct agb_jsonc_node list, node;
	size_t len, i;

	if (!agb_jsonc_get_array(
		root, "teams", true, AGB_ENV_TEAMS_MAX, &list, &len))
		return;
	env->teams = agb_xcalloc(len, sizeof(*env->teams));
	for (i = 0; i < len; i++) {
		env->teams_len = (uint16_t)(i + 1);
		if (agb_jsonc_get_item_object(&list, i, &node))
			parse_team(&node, env, i);
	}
}

/*
 * Reports a name that is not in a table, and suggests the most similar one.
 * The finding is about @key of @node, or about item @index when @key is NULL.
 */
static void
report_unknown(const struct agb_jsonc_node *node, const char *key, size_t index,
    const char *what, const struct agb_env *env, entry_name_fn name_of,
    size_t len, const char *name)
{
	const char *words[AGB_ENV_WORKS_MAX];
	char text[160], got[AGB_NAME_LEN];
	const char *hint;
	size_t i;

	for (i = 0; i < len; i++)
		words[i] = name_of(env, i);
	hint = agb_jsonc_find_similar(name, words, len);
	agb_jsonc_copy_printable(got, sizeof(got), name, strlen(name));
	snprintf(text, sizeof(text), "\"%s\" is no %s of this document%s%s%s",
	    got, what, hint != NULL ? "; did you mean \"" : "",
	    hint != NULL ? hint : "", hint != NULL ? "\"?" : "");
	if (key != NULL)
		agb_jsonc_report(node, key, AGB_FINDING_ERROR, "%s", text);
	else
		agb_jsonc_report_item(
		    node, index, AGB_FINDING_ERROR, "%s", text);
}

/*
 * Reads a list of names as a bit set of indexes into a table. A missing list
 * selects all entries.
 */
static uint64_t
parse_index_set(const struct agb_jsonc_node *node, const char *key,
    const char *what, const struct agb_env *env, entry_name_fn name_of,
    size_t len, size_t len_max)
{
	struct agb_jsonc_node list;
	const char *name;
	uint64_t set = 0;
	size_t n, i, k;

	if (!agb_jsonc_get_array(node, key, false, len_max, &list, &n))
		return len >= 64 ? UINT64_MAX : ((uint64_t)1 << len) - 1;
	for (i = 0; i < n; i++) {
		name = agb_jsonc_get_item_str(&list, i, AGB_NAME_LEN - 1);
		if (name == NULL)
			continue;
		k = find_entry(env, name_of, len, name);
		if (k == len) {
			report_unknown(
			    &list, NULL, i, what, env, name_of, len, name);
			continue;
		}
		if (set >> k & 1)
			agb_jsonc_report_item(&list, i, AGB_FINDING_WARNING,
			    "\"%s\" stands in the list twice", name);
		set |= (uint64_t)1 << k;
	}
	return set;
}

static bool
exceeds(int64_t need, int64_t limit)
{
	return limit > 0 && need > limit;
}

static void
check_work(const struct agb_jsonc_node *node, const struct agb_env *env,
    const struct agb_env_work *w)
{
	const struct agb_env_class *c;
	const struct agb_env_team *t;
	size_t i;

	if (exceeds(w->need.cpu_milli, w->need_max.cpu_milli) ||
	    exceeds(w->need.mem_mb, w->need_max.mem_mb) ||
	    exceeds(w->need.accel, w->need_max.accel))
		agb_jsonc_report(
		    node, "need", AGB_FINDING_ERROR, "is larger than need_max");
	for (i = 0; i < env->teams_len; i++) {
		t = &env->teams[i];
		if (!(w->teams >> i & 1) || t->may_borrow ||
		    agb_resources_fit(&w->need, &t->quota))
			continue;
		agb_jsonc_report(node, "need", AGB_FINDING_WARNING,
		    "is larger than the quota of team \"%s\", which may not "
		    "borrow",
		    t->name);
	}
	if (w->class_index == AGB_ENV_NONE)
		return;
	c = &env->classes[w->class_index];
	if (c->policy == AGB_POLICY_QUICK && c->deadline_ms > 0 &&
	    w->run_ms > c->deadline_ms)
		agb_jsonc_report(node, "run_ms", AGB_FINDING_ERROR,
		    "is %u ms, longer than deadline_ms of class \"%s\", %u ms",
		    w->run_ms, c->name, c->deadline_ms);
}

static void
parse_work(const struct agb_jsonc_node *node, struct agb_env *env, size_t i)
{
	struct agb_env_work *const w = &env->works[i];
	char name[AGB_NAME_LEN];
	size_t k;

	agb_jsonc_check_keys(node, work_keys, LEN(work_keys));
	parse_name(node, env, work_name, i, w->name);
	w->class_index = AGB_ENV_NONE;
	if (agb_jsonc_get_str(node, "class", true, name, sizeof(name))) {
		k = find_entry(env, class_name, env->classes_len, name);
		if (k < env->classes_len)
			w->class_index = (uint16_t)k;
		else
			report_unknown(node, "class", 0, "class", env,
			    class_name, env->classes_len, name);
	}
	parse_resources(node, "need", true, 1, &w->need);
	parse_resources(node, "need_max", false, 0, &w->need_max);
	agb_jsonc_get_u32(node, "run_ms", false, &run_time_range, &w->run_ms);
	w->domains =
	    (uint32_t)parse_index_set(node, "domains", "failure domain", env,
		domain_name, env->domains_len, AGB_ENV_DOMAINS_MAX);
	w->teams = parse_index_set(node, "teams", "team", env, team_name,
	    env->teams_len, AGB_ENV_TEAMS_MAX);
	check_work(node, env, w);
}

static void
parse_works(const struct agb_jsonc_node *root, struct agb_env *env)
{
	struct agb_jsonc_node list, node;
	size_t len, i;

	if (!agb_jsonc_get_array(
		root, "work", true, AGB_ENV_WORKS_MAX, &list, &len))
		return;
	env->works = agb_xcalloc(len, sizeof(*env->works));
	for (i = 0; i < len; i++) {
		env->works_len = (uint16_t)(i + 1);
		if (agb_jsonc_get_item_object(&list, i, &node))
			parse_work(&node, env, i);
	}
}

/* Reports teams, domains and classes that no work refers to; most likely a
 * name is misspelt. */
static void
check_unused(const struct agb_jsonc_node *root, const struct agb_env *env)
{
	uint64_t teams = 0, classes = 0;
	uint32_t domains = 0;
	size_t i;

	for (i = 0; i < env->works_len; i++) {
		teams |= env->works[i].teams;
		domains |= env->works[i].domains;
		if (env->works[i].class_index != AGB_ENV_NONE)
			classes |= (uint64_t)1 << env->works[i].class_index;
	}
	for (i = 0; i < env->teams_len; i++) {
		if (!(teams >> i & 1))
			agb_jsonc_report(root, "teams", AGB_FINDING_WARNING,
			    "team \"%s\" may ask for no work",
			    env->teams[i].name);
	}
	for (i = 0; i < env->domains_len; i++) {
		if (!(domains >> i & 1))
			agb_jsonc_report(root, "regions", AGB_FINDING_WARNING,
			    "no work may run in failure domain \"%s\"",
			    env->domains[i].name);
	}
	for (i = 0; i < env->classes_len; i++) {
		if (!(classes >> i & 1))
			agb_jsonc_report(root, "classes", AGB_FINDING_WARNING,
			    "class \"%s\" has no work", env->classes[i].name);
	}
}

static void
parse_root(const struct agb_jsonc_node *root, struct agb_env *env)
{
	agb_jsonc_check_keys(root, root_keys, LEN(root_keys));
	parse_name(root, env, NULL, 0, env->name);
	parse_weights(root, env);
	env->headroom_percent = 5;
	agb_jsonc_get_u16(root, "headroom_percent", false, &headroom_range,
	    &env->headroom_percent);
	env->eject_max_percent = 10;
	agb_jsonc_get_u16(root, "eject_max_percent", false, &eject_max_range,
	    &env->eject_max_percent);
	parse_regions(root, env);
	parse_classes(root, env);
	parse_teams(root, env);
	parse_works(root, env);
}

bool
agb_env_parse(const char *text, size_t len, uint64_t version,
    struct agb_env **out, struct agb_findings *findings)
{
	const size_t errors = findings->errors;
	struct agb_jsonc_node root;
	struct agb_jsonc *doc;
	struct agb_env *env;

	*out = NULL;
	doc = agb_jsonc_parse(text, len, AGB_ENV_TEXT_MAX, findings);
	if (doc == NULL)
		return false;
	env = agb_xcalloc(1, sizeof(*env));
	if (agb_jsonc_get_root(doc, &root)) {
		parse_root(&root, env);
		/* Errors may have dropped references, so that entries only
		 * seem unused. */
		if (findings->errors == errors)
			check_unused(&root, env);
	}
	agb_jsonc_free(doc);
	if (findings->errors > errors) {
		agb_env_free(env);
		return false;
	}
	env->version = version;
	env->text = agb_xmemdup(text, len);
	env->text_len = len;
	*out = env;
	return true;
}

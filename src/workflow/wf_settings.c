#include "wf_settings.h"

#include <string.h>

#include "jsonc.h"
#include "settings.h"

#define LEN(a) (sizeof(a) / sizeof((a)[0]))
#define BODY_MAX_LIMIT_BYTES 16777216
#define SETTINGS_BYTES_MAX ((size_t)64 * 1024)
#define LINK_MBPS_MAX 100000
#define MEMORY_MB_MAX 16777216
#define RUNNER_LEASE_MAX_MS 3600000
#define DEFAULT_RUNNER_LEASE_MAX_MS 10000
#define LOCALITY_WAIT_LIMIT_MS 10000
/* A job must not wait for 3 s while there is room for it twice over. */
#define DEFAULT_LOCALITY_WAIT_MAX_MS 2000

static const char *const keys[] = {
    "instance",
    "domain",
    "region",
    "http",
    "ready",
    "metrics",
    "rpc",
    "store",
    "advice",
    "fleet",
    "grace_s",
    "status_s",
    "runner_lease_max_ms",
    "remote_factor",
    "locality_wait_max_ms",
    "cpu_share",
    "link_mbps",
    "memory_mb",
    "body_max",
    "log_json",
    "log_level",
};
static const char *const log_levels[] = {"debug", "info", "warn", "error"};

/* Reads an address and reports a finding when it is malformed. */
static void
parse_addr(const struct agb_jsonc_node *root, const char *key, bool required,
    char *dst)
{
	const char *fault;

	if (!agb_jsonc_get_str(root, key, required, dst, AGB_ADDR_LEN) ||
	    dst[0] == '\0')
		return;
	fault = agb_settings_addr_error(dst);
	if (fault != NULL)
		agb_jsonc_report(root, key, AGB_FINDING_ERROR, "%s", fault);
}

static void
parse_fields(const struct agb_jsonc_node *root, struct wf_settings *out)
{
	static const struct agb_jsonc_range body_range = {
	    .min = 1024, .max = BODY_MAX_LIMIT_BYTES, .unit = "bytes"};
	static const struct agb_jsonc_range memory_range = {
	    .min = 0, .max = MEMORY_MB_MAX, .unit = "MiB"};
	static const struct agb_jsonc_range lease_range = {
	    .min = 1, .max = RUNNER_LEASE_MAX_MS, .unit = "ms"};
	static const struct agb_jsonc_range locality_range = {
	    .min = 0, .max = LOCALITY_WAIT_LIMIT_MS, .unit = "ms"};
	double grace_s = 10, status_s = 120;
	size_t level = AGB_LOG_INFO;

	agb_jsonc_check_keys(root, keys, LEN(keys));
	agb_jsonc_get_str(
	    root, "instance", true, out->instance, sizeof(out->instance));
	agb_jsonc_get_str(
	    root, "domain", true, out->domain, sizeof(out->domain));
	agb_jsonc_get_str(
	    root, "region", true, out->region, sizeof(out->region));
	parse_addr(root, "http", true, out->http_addr);
	parse_addr(root, "ready", true, out->ready_addr);
	parse_addr(root, "metrics", true, out->metrics_addr);
	parse_addr(root, "rpc", true, out->rpc_addr);
	parse_addr(root, "store", true, out->store_addr);
	parse_addr(root, "advice", false, out->advice_addr);
	parse_addr(root, "fleet", false, out->machines_addr);
	agb_jsonc_get_double(root, "grace_s", false, 1, 3600, &grace_s);
	agb_jsonc_get_double(root, "status_s", false, 1, 86400, &status_s);
	agb_jsonc_get_u32(root, "runner_lease_max_ms", false, &lease_range,
	    &out->runner_lease_max_ms);
	agb_jsonc_get_double(
	    root, "remote_factor", false, 1, 100, &out->remote_run_factor);
	agb_jsonc_get_u32(root, "locality_wait_max_ms", false, &locality_range,
	    &out->locality_wait_max_ms);
	agb_jsonc_get_double(
	    root, "cpu_share", false, 0, 1024, &out->cpu_share);
	agb_jsonc_get_double(
	    root, "link_mbps", false, 0, LINK_MBPS_MAX, &out->link_mbps);
	agb_jsonc_get_u32(
	    root, "memory_mb", false, &memory_range, &out->memory_mb);
	agb_jsonc_get_u32(
	    root, "body_max", false, &body_range, &out->body_max_bytes);
	agb_jsonc_get_bool(root, "log_json", false, &out->log_json);
	agb_jsonc_get_enum(
	    root, "log_level", false, log_levels, LEN(log_levels), &level);
	out->shutdown_grace_ms = (uint32_t)(grace_s * 1000);
	out->status_retention_s = (uint32_t)status_s;
	out->log_level = (enum agb_log_level)level;
}

bool
wf_settings_parse(const char *text, size_t len, struct wf_settings *out,
    struct agb_findings *findings)
{
	const size_t errors = findings->errors;
	struct agb_jsonc_node root;
	struct agb_jsonc *doc;

	memset(out, 0, sizeof(*out));
	out->remote_run_factor = 1;
	out->locality_wait_max_ms = DEFAULT_LOCALITY_WAIT_MAX_MS;
	out->cpu_share = 1;
	out->runner_lease_max_ms = DEFAULT_RUNNER_LEASE_MAX_MS;
	out->body_max_bytes = 1024 * 1024;
	doc = agb_jsonc_parse(text, len, SETTINGS_BYTES_MAX, findings);
	if (doc == NULL)
		return false;
	if (agb_jsonc_get_root(doc, &root))
		parse_fields(&root, out);
	agb_jsonc_free(doc);
	return findings->errors == errors;
}

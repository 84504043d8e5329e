#include "settings.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "jsonc.h"

/* Settings have a page or two; a larger file is most likely another one. */
#define TEXT_MAX ((size_t)64 * 1024)
#define KIB ((int64_t)1024)
#define HOUR_MS ((int64_t)3600 * 1000)
#define LEN(a) (sizeof(a) / sizeof((a)[0]))

static const char *const root_keys[] = {"instance", "environment", "region",
    "domain", "http", "rpc", "store", "platform", "drain_ms", "head_max",
    "body_max", "connections_max", "head_timeout_ms", "call_timeout_ms",
    "log_json", "log_level"};
static const char *const log_levels[] = {"debug", "info", "warn", "error"};

static const struct agb_jsonc_range drain_range = {0, HOUR_MS, "ms"};
static const struct agb_jsonc_range head_size_range = {KIB, 64 * KIB, "bytes"};
static const struct agb_jsonc_range body_size_range = {
    0, 64 * KIB *KIB, "bytes"};
static const struct agb_jsonc_range connections_range = {
    1, 100000, "connections"};
static const struct agb_jsonc_range head_timeout_range = {100, 600000, "ms"};
static const struct agb_jsonc_range call_timeout_range = {100, HOUR_MS, "ms"};

enum addr_use {
	ADDR_LISTEN,  /* bound only; wildcard address and port 0 are allowed */
	ADDR_PUBLISH, /* bound, and given to others with the actual port;
			 port 0 is allowed */
	ADDR_CONNECT, /* others connect to it */
};

/* Whether @host is an IP address; sets whether it is the wildcard address. */
static bool
host_valid(const char *host, bool v6, bool *wildcard)
{
	static const struct in6_addr any6;
	struct in6_addr a6;
	struct in_addr a4;

	if (v6) {
		if (inet_pton(AF_INET6, host, &a6) != 1)
			return false;
		*wildcard = memcmp(&a6, &any6, sizeof(a6)) == 0;
		return true;
	}
	if (inet_pton(AF_INET, host, &a4) != 1)
		return false;
	*wildcard = a4.s_addr == 0;
	return true;
}

/* Describes the error of an address; NULL when it is valid. */
static const char *
addr_error(const char *addr, enum addr_use use)
{
	const bool v6 = addr[0] == '[';
	const size_t bracket = v6 ? 1 : 0;
	const char *const colon = strrchr(addr, ':');
	char host[AGB_ADDR_LEN];
	bool wildcard = false;
	size_t len;
	long port;

	if (strstr(addr, "://") != NULL)
		return "has a scheme; expected only ADDRESS:PORT";
	if (colon == NULL || colon[1] == '\0' ||
	    strspn(colon + 1, "0123456789") != strlen(colon + 1))
		return "has no port; expected ADDRESS:PORT";
	len = (size_t)(colon - addr);
	if (v6 && (len < 2 || addr[len - 1] != ']'))
		return "is not an address; IPv6 is written [ADDRESS]:PORT";
	len -= 2 * bracket;
	memcpy(host, addr + bracket, len);
	host[len] = '\0';
	if (!host_valid(host, v6, &wildcard))
		return "is not an IPv4 or IPv6 address and port; host names "
		       "are not looked up";
	port = strtol(colon + 1, NULL, 10);
	if (port > 65535)
		return "has a port past 65535";
	if (use != ADDR_LISTEN && wildcard)
		return "is a wildcard address; others cannot connect to it";
	if (use == ADDR_CONNECT && port == 0)
		return "has port 0; others cannot connect to it";
	return NULL;
}

const char *
agb_settings_addr_error(const char *addr)
{
	return addr_error(addr, ADDR_CONNECT);
}

static void
parse_addr(const struct agb_jsonc_node *root, const char *key,
    enum addr_use use, char *dst)
{
	const char *error;

	if (!agb_jsonc_get_str(root, key, true, dst, AGB_ADDR_LEN))
		return;
	error = addr_error(dst, use);
	if (error != NULL)
		agb_jsonc_report(root, key, AGB_FINDING_ERROR, "%s", error);
}

static bool
port_is_zero(const char *addr)
{
	const char *const colon = strrchr(addr, ':');

	return colon != NULL && strtol(colon + 1, NULL, 10) == 0;
}

static void
parse_store(const struct agb_jsonc_node *root, struct agb_settings *out)
{
	struct agb_jsonc_node list;
	const char *addr, *error;
	size_t len, i, k;

	if (!agb_jsonc_get_array(
		root, "store", true, AGB_STORE_ENDPOINTS_MAX, &list, &len))
		return;
	for (i = 0; i < len; i++) {
		addr = agb_jsonc_get_item_str(&list, i, AGB_ADDR_LEN - 1);
		if (addr == NULL)
			continue;
		error = addr_error(addr, ADDR_CONNECT);
		if (error != NULL) {
			agb_jsonc_report_item(
			    &list, i, AGB_FINDING_ERROR, "%s", error);
			continue;
		}
		for (k = 0; k < out->store_len; k++) {
			if (strcmp(out->store[k], addr) == 0)
				agb_jsonc_report_item(&list, i,
				    AGB_FINDING_WARNING,
				    "\"%s\" stands in the list twice", addr);
		}
		agb_str_copy(out->store[out->store_len++], AGB_ADDR_LEN, addr);
	}
}

static void
parse_root(const struct agb_jsonc_node *root, struct agb_settings *out)
{
	size_t level = AGB_LOG_INFO;

	agb_jsonc_check_keys(root, root_keys, LEN(root_keys));
	agb_jsonc_get_name(root, "instance", out->instance);
	agb_jsonc_get_name(root, "environment", out->environment);
	agb_jsonc_get_name(root, "region", out->region);
	agb_jsonc_get_name(root, "domain", out->domain);
	parse_addr(root, "http", ADDR_LISTEN, out->http);
	parse_addr(root, "rpc", ADDR_PUBLISH, out->rpc);
	if (out->http[0] != '\0' && strcmp(out->http, out->rpc) == 0 &&
	    !port_is_zero(out->http))
		agb_jsonc_report(root, "rpc", AGB_FINDING_ERROR,
		    "is the same address and port as http");
	parse_store(root, out);
	parse_addr(root, "platform", ADDR_CONNECT, out->platform);
	agb_jsonc_get_u32(
	    root, "drain_ms", false, &drain_range, &out->drain_ms);
	agb_jsonc_get_u32(
	    root, "head_max", false, &head_size_range, &out->head_max);
	agb_jsonc_get_u32(
	    root, "body_max", false, &body_size_range, &out->body_max);
	agb_jsonc_get_u32(root, "connections_max", false, &connections_range,
	    &out->connections_max);
	agb_jsonc_get_u32(root, "head_timeout_ms", false, &head_timeout_range,
	    &out->head_timeout_ms);
	agb_jsonc_get_u32(root, "call_timeout_ms", false, &call_timeout_range,
	    &out->call_timeout_ms);
	if (out->drain_ms > 0 && out->drain_ms < out->call_timeout_ms)
		agb_jsonc_report(root, "drain_ms", AGB_FINDING_WARNING,
		    "is %u ms, shorter than call_timeout_ms of %u ms; a stop "
		    "may cut off requests",
		    out->drain_ms, out->call_timeout_ms);
	agb_jsonc_get_bool(root, "log_json", false, &out->log_json);
	agb_jsonc_get_enum(
	    root, "log_level", false, log_levels, LEN(log_levels), &level);
	out->log_level = (enum agb_log_level)level;
}

bool
agb_settings_parse(const char *text, size_t len, struct agb_settings *out,
    struct agb_findings *findings)
{
	const size_t errors = findings->errors;
	struct agb_jsonc_node root;
	struct agb_jsonc *doc;

	memset(out, 0, sizeof(*out));
	out->drain_ms = 60000;
	out->head_max = 16 * 1024;
	out->body_max = 1024 * 1024;
	out->connections_max = 1024;
	out->head_timeout_ms = 10000;
	out->call_timeout_ms = 60000;
	out->log_level = AGB_LOG_INFO;
	doc = agb_jsonc_parse(text, len, TEXT_MAX, findings);
	if (doc == NULL)
		return false;
	if (agb_jsonc_get_root(doc, &root))
		parse_root(&root, out);
	agb_jsonc_free(doc);
	return findings->errors == errors;
}

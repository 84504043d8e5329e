#ifndef AGB_SETTINGS_H
#define AGB_SETTINGS_H

/**
 * DOC: settings
 *
 * Settings of the daemon: a file of JSON with comments, read once at startup.
 */

#include "effect.h"
#include "finding.h"
#include "types.h"

#define AGB_STORE_ENDPOINTS_MAX 8

/**
 * struct agb_settings - validated settings of the daemon
 * @instance: unique name of this entry instance
 * @environment: environment that it serves, such as "production"
 * @region: region of this instance
 * @domain: failure domain of this instance
 * @http: IPv4 or IPv6 address and port for clients
 * @rpc: IPv4 or IPv6 address and port for other entry instances
 * @store: HTTP addresses of the platform's key-value store
 * @store_len: number of addresses in @store
 * @platform: HTTP address of the platform's instance list
 * @drain_ms: longest time from SIGTERM to exit
 * @head_max: largest request head in bytes
 * @body_max: largest request body in bytes
 * @connections_max: maximum number of open client connections
 * @head_timeout_ms: longest time for a request's head to arrive
 * @call_timeout_ms: longest time for a request without a deadline
 * @log_json: write log lines as JSON instead of key=value text
 * @log_level: log lines of a lower level are discarded
 */
struct agb_settings {
	agb_name instance;
	agb_name environment;
	agb_name region;
	agb_name domain;
	agb_addr http;
	agb_addr rpc;
	agb_addr store[AGB_STORE_ENDPOINTS_MAX];
	size_t store_len;
	agb_addr platform;
	uint32_t drain_ms;
	uint32_t head_max;
	uint32_t body_max;
	uint32_t connections_max;
	uint32_t head_timeout_ms;
	uint32_t call_timeout_ms;
	bool log_json;
	enum agb_log_level log_level;
};

/**
 * agb_settings_parse() - parse and validate settings
 * @text: JSON with comments
 * @len: its length in bytes
 * @out: filled in, with the defaults of missing keys
 * @findings: every problem found is added, with its line and JSON pointer
 * Return: true when there is no finding of level error.
 */
bool agb_settings_parse(const char *text, size_t len, struct agb_settings *out,
    struct agb_findings *findings);

/**
 * agb_settings_addr_error() - validate an address to connect to
 * @addr: expected to be like "1.2.3.4:80" or "[::1]:80"
 * Return: static text of the error, such as "has no port; ..."; NULL when the
 * address is valid.
 */
const char *agb_settings_addr_error(const char *addr);

#endif

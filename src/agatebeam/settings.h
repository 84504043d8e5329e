#ifndef AGB_SETTINGS_H
#define AGB_SETTINGS_H

/**
 * DOC: settings
 *
 * Settings of one daemon: JSON with comments, read once at the start.
 */

#include "effect.h"
#include "finding.h"
#include "types.h"

#define AGB_STORE_ENDPOINTS_MAX 8

/**
 * struct agb_settings - checked settings of the daemon
 * @instance: unique name of this entry instance
 * @environment: environment that it serves, such as "production"
 * @region: its region
 * @domain: its failure domain
 * @http: IPv4 or IPv6 address and port that callers reach
 * @rpc: address and port for other entry instances
 * @store: HTTP addresses of the platform's key-value service
 * @store_len: entries of @store in use
 * @platform: HTTP address of the platform's instance list
 * @drain_ms: longest time from SIGTERM to exit
 * @head_max: largest request head in bytes
 * @body_max: largest request body in bytes
 * @connections_max: most callers' connections at once
 * @head_timeout_ms: longest time for a request's head to arrive
 * @call_timeout_ms: longest time for a request, when it has no deadline
 * @log_json: log lines as JSON instead of key=value
 * @log_level: lines below it are dropped
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
 * agb_settings_parse() - parse and check settings
 * @text: JSON with comments
 * @len: its length in bytes
 * @out: filled in; holds the defaults where a key is absent
 * @findings: every problem found, each with its line or JSON pointer
 * Return: true when there is no finding of level error.
 */
bool agb_settings_parse(const char *text, size_t len, struct agb_settings *out,
    struct agb_findings *findings);

/**
 * agb_settings_addr_error() - what is wrong with an address to connect to
 * @addr: expected to be "1.2.3.4:80" or "[::1]:80"
 * Return: static text such as "has no port; ..."; NULL when it is right.
 */
const char *agb_settings_addr_error(const char *addr);

#endif

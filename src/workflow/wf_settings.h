#ifndef WF_SETTINGS_H
#define WF_SETTINGS_H

/**
 * DOC: wf_settings
 *
 * Settings of an instance on a platform that keeps its state: JSON with
 * comments, read at the start and after SIGHUP.
 */

#include "effect.h"
#include "finding.h"
#include "types.h"

/**
 * struct wf_settings - checked settings
 * @instance: name of this instance
 * @http_addr: where callers reach it
 * @ready_addr: where the platform asks whether it is ready
 * @metrics_addr: where its metrics are served
 * @rpc_addr: where other instances reach it
 * @store_addr: address of the platform's store
 * @advice_addr: address of the advice service, or ""
 * @machines_addr: address of the list of machines, or ""
 * @shutdown_grace_ms: time from SIGTERM to the end of the process
 * @status_retention_s: how long the state of an ended job stays known
 * @remote_run_factor: factor on run times away from data
 * @cpu_share: share of a processor that the machine gives
 * @link_mbps: bandwidth of the machine's link; 0 is not known
 * @body_max_bytes: largest request body in bytes
 */
struct wf_settings {
	agb_id instance;
	agb_id domain;
	agb_id region;
	agb_addr http_addr;
	agb_addr ready_addr;
	agb_addr metrics_addr;
	agb_addr rpc_addr;
	agb_addr store_addr;
	agb_addr advice_addr;
	agb_addr machines_addr;
	uint32_t shutdown_grace_ms;
	uint32_t status_retention_s;
	double remote_run_factor;
	double cpu_share;
	double link_mbps;
	uint32_t body_max_bytes;
	bool log_json;
	enum agb_log_level log_level;
};

/**
 * wf_settings_parse() - parse and check settings
 * Return: false when @findings has an error; @out is then not usable.
 */
bool wf_settings_parse(const char *text, size_t len, struct wf_settings *out,
    struct agb_findings *findings);

#endif

#ifndef WF_SETTINGS_H
#define WF_SETTINGS_H

/**
 * DOC: wf_settings
 *
 * Settings of an instance on a platform whose store holds its state. The file
 * is JSON with comments; it is read at the start and checked after SIGHUP.
 */

#include "effect.h"
#include "finding.h"
#include "types.h"

/**
 * struct wf_settings - checked settings
 * @instance: name of this instance in the settings; wf_config.name adds a
 *	suffix for each start
 * @http_addr: address for clients
 * @ready_addr: address of the readiness check
 * @metrics_addr: address at which metrics are served
 * @rpc_addr: address for other instances
 * @store_addr: address of the platform's store
 * @advice_addr: address of the advice service, or ""
 * @machines_addr: address of the service that lists the machines, or ""
 * @shutdown_grace_ms: maximum time from SIGTERM to process exit
 * @status_retention_s: how long the state of a finished job can be queried
 * @runner_lease_max_ms: longest lease that a runner accepts
 * @remote_run_factor: factor by which run time grows away from the input data
 * @locality_wait_max_ms: longest time that a step waits for a placement near its
 *	data or its group; 0 disables waiting
 * @cpu_share: CPU share available to the instance, in cores
 * @link_mbps: bandwidth of the machine's network link; 0 when unknown
 * @memory_mb: memory that the process may use; 0 when unknown
 * @body_max_bytes: maximum request body
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
	uint32_t runner_lease_max_ms;
	double remote_run_factor;
	uint32_t locality_wait_max_ms;
	double cpu_share;
	double link_mbps;
	uint32_t memory_mb;
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

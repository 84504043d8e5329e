#ifndef WF_DAEMON_H
#define WF_DAEMON_H

/**
 * DOC: wf_daemon
 *
 * An instance on a platform: one loop that turns sockets, timers and signals
 * into events of the workflow reducer, and carries out its effects.
 */

#include "wf_adapter.h"

/**
 * wf_daemon_run() - run until SIGTERM has been followed by a drain
 * @path: settings file, read again after SIGHUP
 * Return: exit status of the process.
 */
int wf_daemon_run(const char *path, const struct wf_adapter_ops *ops);

#endif

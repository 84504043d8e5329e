#ifndef WF_DAEMON_H
#define WF_DAEMON_H

/**
 * DOC: wf_daemon
 *
 * Event loop of an instance on a platform. It turns messages, timers and
 * signals into events of the workflow reducer (wf_core) and carries out the
 * effects that the reducer returns.
 */

#include "wf_adapter.h"

/**
 * wf_daemon_run() - run an instance until it has drained after SIGTERM
 * @path: settings file; SIGHUP checks it again but does not apply it
 * Return: exit status of the process.
 */
int wf_daemon_run(const char *path, const struct wf_adapter_ops *ops);

#endif
